"""The follower: each transition, lost and late messages in any order, fencing by epochs, and expiring leases."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cypresspulley.plans.book import Assignment, Book, Change, Stamp, Terms, Version
from cypresspulley.plans.follow import (
    MAX_CLOCK_SKEW_MS,
    TRANSITIONS,
    Follower,
    FollowerAction,
    FollowerEvent,
    FollowerState,
)

LARGE, SMALL = Terms(3.0, 12.0, 5.0, 24.0), Terms(1.0, 4.0, 2.0, 8.0)
LEASE_MS = 3000


def change(seq: int, epoch: int = 1, at: int = 0) -> Change:
    if seq % 2:
        return Version("p", at + seq, Stamp(epoch, seq), LARGE if seq % 4 == 1 else SMALL)
    return Assignment("hotel", at + seq, Stamp(epoch, seq), "p")


def book(last: int, epoch: int = 1) -> Book:
    result = Book("vadodara")
    for seq in range(1, last + 1):
        result = result.with_change(change(seq, epoch))
    return result


def make_follower(last: int = 4, epoch: int = 1, sent: int = 0) -> Follower:
    follower = Follower("vadodara")
    assert FollowerAction.REPLACE in follower.receive_book(epoch, book(last, epoch), sent, LEASE_MS)
    return follower


def test_the_table_has_a_row_for_all_that_may_come() -> None:
    expected = {(at, heard) for at in FollowerState for heard in FollowerEvent} - {
        *((at, FollowerEvent.KNOWN) for at in FollowerState),  # changes nothing anywhere
        (FollowerState.EMPTY, FollowerEvent.OVER), (FollowerState.LAPSED, FollowerEvent.OVER),  # no lease
        (FollowerState.BEHIND, FollowerEvent.GAP), (FollowerState.BEHIND, FollowerEvent.AHEAD),  # already requested
    }  # fmt: skip
    assert set(TRANSITIONS) == expected


def test_a_gap_is_asked_for_and_nothing_behind_it_is_taken() -> None:
    follower = make_follower()
    assert follower.receive_change(1, change(6)) == (FollowerAction.ASK_FROM,)
    assert [follower.state] == [FollowerState.BEHIND]
    assert follower.book == book(4) and follower.receive_change(1, change(7)) == ()
    assert FollowerAction.APPLY in follower.receive_change(
        1, change(5)
    ) and FollowerAction.APPLY in follower.receive_change(1, change(6))
    assert follower.receive_heartbeat(1, Stamp(1, 6), 10, LEASE_MS) == (FollowerAction.RENEW,)
    assert [follower.state] == [FollowerState.CURRENT]
    assert follower.receive_change(1, change(6)) == () and follower.book == book(6)


def test_a_writer_that_was_replaced_is_fenced() -> None:
    follower = make_follower(4, epoch=2)
    for actions in (
        follower.receive_change(1, change(5)),
        follower.receive_heartbeat(1, Stamp(1, 9), 10, LEASE_MS),
        follower.receive_book(1, book(9), 10, LEASE_MS),
    ):
        assert actions == (FollowerAction.DROP,)
    assert follower.book == book(4, 2) and follower.lease_until == LEASE_MS - MAX_CLOCK_SKEW_MS


def test_a_new_writer_s_book_replaces_the_one_here() -> None:
    follower = make_follower(6)
    assert follower.receive_change(2, change(5, 2)) == (FollowerAction.ASK_ALL,) and follower.book == book(6)
    assert FollowerAction.REPLACE in follower.receive_book(2, book(4, 2), 10, LEASE_MS)
    assert follower.epoch == 2 and follower.book == book(4, 2)


def test_a_book_of_another_installation_is_dropped() -> None:
    follower = make_follower()
    assert follower.receive_book(9, Book("semien"), 0, LEASE_MS) == (
        FollowerAction.DROP,
    ) and follower.book == book(4)


def test_a_book_that_is_older_than_what_is_here_changes_nothing() -> None:
    follower = make_follower(6)
    assert follower.receive_book(1, book(4), 10, LEASE_MS) == () and follower.book == book(6)


def test_when_the_lease_is_over_the_lower_ceiling_holds() -> None:
    follower = make_follower(2)  # the hotel is on LARGE
    follower.receive_change(1, Version("low", 10, Stamp(1, 3), SMALL))
    assert follower.check_lease(LEASE_MS - MAX_CLOCK_SKEW_MS - 1) == ()
    version = follower.binding_version("hotel", 100)
    assert version is not None and version.terms == LARGE
    assert (
        follower.check_lease(LEASE_MS - MAX_CLOCK_SKEW_MS) == (FollowerAction.FALL_BACK,)
        and follower.check_lease(LEASE_MS) == ()
    )
    version = follower.binding_version("hotel", LEASE_MS)
    assert version is not None and (version.terms.ceiling_rate, version.terms.ceiling_burst) == (2.0, 8.0)
    assert version.terms.rate <= 2.0 and version.terms.burst <= 8.0
    assert follower.receive_heartbeat(1, Stamp(1, 3), 9000, LEASE_MS) == (
        FollowerAction.RENEW,
        FollowerAction.RECOVER,
    )
    version = follower.binding_version("hotel", 9001)
    assert version is not None and version.terms == LARGE


def test_a_beat_that_was_long_under_way_carries_little_lease() -> None:
    follower = make_follower()
    follower.receive_heartbeat(1, Stamp(1, 4), 1000, LEASE_MS)
    assert follower.lease_until == 1000 + LEASE_MS - MAX_CLOCK_SKEW_MS
    # An overtaken heartbeat does not shorten the lease.
    follower.receive_heartbeat(1, Stamp(1, 4), 500, LEASE_MS)
    assert follower.lease_until == 1000 + LEASE_MS - MAX_CLOCK_SKEW_MS


@settings(max_examples=200)
@given(st.integers(0, 2**32), st.integers(5, 30))
def test_whatever_is_lost_doubled_or_swapped_the_book_is_a_prefix_and_ends_whole(
    seed: int, last: int
) -> None:
    """Two writers send messages, and the first does not know that it was replaced."""
    rng, follower = Random(seed), Follower("vadodara")
    books = {1: book(last), 2: book(last, 2)}
    for _ in range(last * 4):
        epoch = rng.choice((1, 2))
        seq = rng.randint(1, last)
        before = follower.epoch
        kind = rng.random()
        if kind < 0.6:
            follower.receive_change(epoch, change(seq, epoch))
        elif kind < 0.8:
            follower.receive_heartbeat(epoch, Stamp(epoch, seq), rng.randint(0, 5000), LEASE_MS)
        else:
            follower.receive_book(epoch, book(seq, epoch), 0, LEASE_MS)
        follower.check_lease(rng.randint(0, 9000))
        assert follower.epoch >= before
        known = follower.book.last_stamp.seq
        assert follower.book == (book(known, follower.epoch) if known else Book("vadodara"))
    follower.receive_book(2, books[2], 9000, LEASE_MS)
    assert follower.book == books[2] and follower.state is FollowerState.CURRENT


@pytest.mark.parametrize("account", ["hotel", "unknown"])
def test_without_a_book_nothing_binds(account: str) -> None:
    assert Follower("vadodara").binding_version(account, 5, "p") is None
