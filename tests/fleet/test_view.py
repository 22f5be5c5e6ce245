"""The membership view: lattice properties, digests, rows, tombstones and the gossip queue."""

from __future__ import annotations

import random
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cypresspulley.fleet import view as module
from cypresspulley.fleet.records import Member, MemberState
from cypresspulley.fleet.view import ROW_QUIET_SECONDS, TOMBSTONE_SECONDS, View
from cypresspulley.fleet.wire import RowRecord

ME = Member("me", 10, 0, MemberState.ALIVE, "a", "me:1")

members = st.builds(
    Member, st.sampled_from(["x", "y", "z"]), st.integers(1, 3), st.integers(0, 2), st.sampled_from(MemberState),
    st.sampled_from("ab"), st.sampled_from("pq"),
)  # fmt: skip
cells = st.builds(
    RowRecord, st.sampled_from(["x", "y", "z"]), st.sampled_from(["lanes", "closing"]), st.integers(1, 3),
    st.integers(1, 3), st.integers(0, 5_000), st.sampled_from([b"1", b"2"]),
)  # fmt: skip
claims = st.lists(st.one_of(members, cells), max_size=12)


def apply_claims(view: View, claims: list[Member | RowRecord], now: float = 0.0) -> View:
    for claim in claims:
        if isinstance(claim, Member):
            view.merge(now, claim)
        else:
            view.merge_row(now, claim)
    return view


def snapshot(view: View) -> Any:
    """Return all records of the view and its digests."""
    held = {name: view.get(name) for name in "xyz"}
    rows = [
        (row.owner, row.life, row.version, row.body)
        for key in ("lanes", "closing")
        for row in view.rows(0.0, key)
    ]
    return held, rows, view.digest, view.bucket_digests()


def sort_members_first(claims: list[Member | RowRecord]) -> list[Member | RowRecord]:
    """Sort members before rows: the view rejects rows of unknown members until the next exchange."""
    return sorted(claims, key=lambda claim: isinstance(claim, RowRecord))


@given(claims, st.randoms(use_true_random=False))
def test_any_order_and_any_doubling_of_members_ends_in_one_view(
    claims: list[Member | RowRecord], rng: random.Random
) -> None:
    only = [claim for claim in claims if isinstance(claim, Member)]
    mixed: list[Member | RowRecord] = [*only, *rng.choices(only, k=len(only))] if only else []
    rng.shuffle(mixed)
    assert snapshot(apply_claims(View(ME), [*only])) == snapshot(apply_claims(View(ME), mixed))


@given(claims, st.randoms(use_true_random=False))
def test_any_order_and_any_doubling_of_rows_ends_in_one_view(
    claims: list[Member | RowRecord], rng: random.Random
) -> None:
    first = [Member(name, 1, 0, MemberState.ALIVE) for name in "xyz"]
    mixed = [*claims, *rng.choices(claims, k=len(claims))] if claims else []
    rng.shuffle(mixed)
    one, other = View(ME), View(ME)
    assert snapshot(apply_claims(one, [*first, *claims])) == snapshot(apply_claims(other, [*first, *mixed]))


@given(claims, claims, claims)
def test_a_merge_of_views_is_commutative_associative_and_idempotent(
    a: list[Member | RowRecord], b: list[Member | RowRecord], c: list[Member | RowRecord]
) -> None:
    a, b, c = sort_members_first(a), sort_members_first(b), sort_members_first(c)
    whole = snapshot(apply_claims(View(ME), sort_members_first([*a, *b, *c])))
    assert (
        whole
        == snapshot(apply_claims(View(ME), sort_members_first([*c, *b, *a])))
        == snapshot(apply_claims(View(ME), sort_members_first([*a, *a, *b, *c, *b])))
    )


@given(claims)
def test_a_claim_never_lowers_what_is_held(claims: list[Member | RowRecord]) -> None:
    view = View(ME)
    for claim in claims:
        before = {name: held.rank for name in "xyz" if (held := view.get(name)) is not None}
        apply_claims(view, [claim])
        for name, rank in before.items():
            held = view.get(name)
            assert held is not None and held.rank >= rank


@given(claims)
def test_the_digest_is_that_of_the_members_present(claims: list[Member | RowRecord]) -> None:
    view = apply_claims(View(ME), claims)
    fresh = View(ME)
    for member in view.members():
        fresh.merge(0.0, member)
    assert fresh.digest == view.digest and fresh.present_count == view.present_count == len(view.members())


def test_a_row_ends_with_its_life() -> None:
    view = apply_claims(
        View(ME), [Member("x", 5, 0, MemberState.ALIVE), RowRecord("x", "lanes", 5, 9, 250, b"old")]
    )
    assert [(row.owner, row.body) for row in view.rows(1.0, "lanes")] == [("x", b"old")]
    assert view.rows(1.0, "lanes")[0].age == pytest.approx(1.25)
    view.merge(1.0, Member("x", 5, 0, MemberState.DEAD))
    assert view.rows(1.0, "lanes") == ()
    view.merge(2.0, Member("x", 6, 0, MemberState.ALIVE))
    assert not view.merge_row(2.0, RowRecord("x", "lanes", 5, 10, 0, b"older still"))
    assert view.rows(2.0, "lanes") == ()
    assert view.merge_row(2.0, RowRecord("x", "closing", 7, 1, 0, b"of a life not heard of yet"))
    assert view.rows(2.0, "closing") == ()
    view.merge_row(2.0, RowRecord("x", "lanes", 6, 1, 0, b"new"))
    assert [row.body for row in view.rows(2.0, "lanes")] == [b"new"]
    view.merge(3.0, Member("x", 7, 0, MemberState.ALIVE))
    assert [row.life for row in view.rows(3.0, "closing")] == [7] and view.rows(3.0, "lanes") == ()


def test_nobody_else_writes_this_members_row() -> None:
    view = View(ME)
    view.publish(0.0, "lanes", b"mine")
    assert not view.merge_row(0.0, RowRecord("me", "lanes", 10, 99, 0, b"theirs"))
    assert [(row.version, row.age, row.body) for row in view.rows(9.0, "lanes")] == [(1, 0.0, b"mine")]
    with pytest.raises(ValueError, match="at most 200 bytes, got 201"):
        view.publish(0.0, "lanes", bytes(201))
    for name in ("b", "c", "d"):
        view.publish(0.0, name, b"")
    with pytest.raises(ValueError, match="at most 4 subsystems"):
        view.publish(0.0, "e", b"")


def test_an_owner_that_names_its_versions_makes_its_rows_young() -> None:
    view = apply_claims(
        View(ME), [Member("x", 5, 0, MemberState.ALIVE), RowRecord("x", "lanes", 5, 9, 0, b"")]
    )
    view.confirm_rows(30.0, "x", 5, 8)
    assert view.rows(30.0, "lanes")[0].age == 30.0
    view.confirm_rows(30.0, "x", 5, 9)
    assert view.rows(30.0, "lanes")[0].age == 0.0


def test_rows_count_for_the_digest_when_they_have_gone_quiet() -> None:
    view, other = View(ME), View(ME)
    view.publish(0.0, "lanes", b"1")
    view.refresh(1.0)
    assert view.rows_digest == other.rows_digest and not view.differing_buckets(other.bucket_digests())
    view.refresh(ROW_QUIET_SECONDS + 0.1)
    assert view.rows_digest != other.rows_digest and view.differing_buckets(other.bucket_digests())
    view.publish(11.0, "lanes", b"2")
    assert view.rows_digest == other.rows_digest and view.digest == other.digest


def test_tombstones_hold_against_old_claims_and_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "MAX_TOMBSTONES", 3)
    view = View(ME)
    for n in range(5):
        view.merge(n, Member(f"x{n}", 5, 0, MemberState.DEAD))
    assert [name for n in range(5) if view.get(name := f"x{n}")] == ["x2", "x3", "x4"]
    assert not view.merge(9.0, Member("x4", 5, 0, MemberState.SUSPECTED)) and not view.merge(
        9.0, Member("x4", 4, 7, MemberState.ALIVE)
    )
    view.refresh(TOMBSTONE_SECONDS + 3.5)
    assert view.get("x3") is None and view.get("x4") is not None


def test_the_view_takes_no_more_members_than_it_has_room_for(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "MAX_MEMBERS", 3)
    view = View(ME)
    taken = [view.merge(0.0, Member(f"x{n}", 5, 0, MemberState.ALIVE)) for n in range(4)]
    assert taken == [True, True, False, False] and view.present_count == 3


def test_what_was_sent_least_goes_first_and_so_often_as_the_size_asks() -> None:
    view = View(ME)
    for n in range(8):
        view.merge(0.0, Member(f"x{n}", 5, 0, MemberState.ALIVE))
        view.gossip_queue.add((f"x{n}", ""), view.encode_member(f"x{n}"))
    one = len(view.encode_member("x0"))
    sent = list[bytes]()
    while len(view.gossip_queue):
        told, _ = view.gossip_queue.take_records(0.0, view, 3 * one + 1)
        assert 0 < len(told) <= 3
        sent += [bytes(record) for record in told]
    assert len(set(sent[:8])) == 8 and {sent.count(record) for record in sent} == {5}
