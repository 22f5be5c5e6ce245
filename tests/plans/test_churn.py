"""Ceilings while plans change: the code keeps them, and each mutant of the code that keeps them fails a check."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from benchmarks.plan_churn import LIMITERS, ChurnSimulation, max_overshoot
from cypresspulley import interface as api
from cypresspulley.plans import reservations, usage
from cypresspulley.plans.book import Book, Stamp, Version
from cypresspulley.plans.follow import Follower, FollowerEvent
from cypresspulley.plans.limiter import PlanBookDecisions
from cypresspulley.plans.reservations import ReservationState
from tests.plans import test_follow, test_reservations, test_use

SEEDS = range(6)


def lowest_level_when_announced(
    decisions_type: type[PlanBookDecisions] = PlanBookDecisions, follower_type: type[Follower] = Follower
) -> float:
    """The lowest level in simulations that allow no overshoot: each change is announced a lease ahead."""
    return min(
        ChurnSimulation(seed, 20.0, 1.0, decisions_type, follower_type, calm=True).run().lowest_level
        for seed in SEEDS
    )


def test_no_ceiling_is_passed_beyond_the_slack() -> None:
    simulations = [ChurnSimulation(seed, 20.0, every).run() for seed in SEEDS for every in (1.0, 5.0)]
    assert (
        -max_overshoot() <= min(simulation.lowest_level for simulation in simulations) < 0
        and sum(simulation.sent for simulation in simulations) > 500
    )


def test_what_is_announced_a_lease_ahead_leaves_no_slack() -> None:
    assert -LIMITERS <= lowest_level_when_announced() < 5


def test_one_seed_is_one_day() -> None:
    first, second = (ChurnSimulation(3, 10.0, 1.0).run() for _ in range(2))
    assert (first.lowest_level, first.sent) == (second.lowest_level, second.sent)


class Forgiving(PlanBookDecisions):
    """Starts an account with a full bucket on each plan."""

    def _carry_level(self, now: float, ev: api.Request) -> None:
        for key in self._account_keys(ev):
            if key[0] != ev.plan:
                self._gateway.quotas.accounts.pop(key, None)


class Forgetful(PlanBookDecisions):
    """Ignores the plans that an account was on between two requests."""

    def _carry_level(self, now: float, ev: api.Request) -> None:
        book, self.follower.book = self.follower.book, Book("churn")
        try:
            super()._carry_level(now, ev)
        finally:
            self.follower.book = book


class Old(PlanBookDecisions):
    """Applies the first plan that an account was seen on for ever."""

    def _bind_request(self, now: float, ev: api.Request) -> api.Request:
        self._first_book = getattr(self, "_first_book", None) or self.follower.book
        book, self.follower.book = self.follower.book, self._first_book
        try:
            return super()._bind_request(now, ev)
        finally:
            self.follower.book = book

    def _carry_moved_accounts(self, at: int) -> None:
        """Move no account."""


@pytest.mark.parametrize("mutant", [Forgiving, Forgetful, Old])
def test_a_limiter_that_does_not_go_by_the_change_is_convicted(mutant: type[PlanBookDecisions]) -> None:
    assert lowest_level_when_announced(mutant) < -2 * LIMITERS


class NeverExpiringFollower(Follower):
    """A follower whose lease never expires."""

    def check_lease(self, now: int) -> tuple[Any, ...]:
        return ()


def test_without_its_lease_a_limiter_that_is_cut_off_goes_on_by_the_higher_ceiling() -> None:
    follower = test_follow.make_follower(2)
    follower.__class__ = NeverExpiringFollower
    follower.receive_change(1, Version("low", 10, Stamp(1, 3), test_follow.SMALL))
    follower.check_lease(10**9)
    found = follower.binding_version("hotel", 10**9)
    assert found is not None and found.terms == test_follow.LARGE


def check_fails(check: Callable[[], object]) -> bool:
    try:
        check()
    except AssertionError:
        return True
    return False


def test_an_epoch_ignored_is_convicted(monkeypatch: pytest.MonkeyPatch) -> None:
    check = test_follow.test_a_writer_that_was_replaced_is_fenced
    assert not check_fails(check)
    monkeypatch.setattr(Follower, "_compare_epoch", lambda self, epoch: None)
    assert check_fails(check)


def test_a_reservation_released_early_is_convicted(monkeypatch: pytest.MonkeyPatch) -> None:
    check = test_reservations.test_a_release_while_drawn_on_settles_by_what_is_in_flight
    assert not check_fails(check)
    monkeypatch.setitem(
        reservations.TRANSITIONS,
        (ReservationState.ACTIVE, reservations.ReservationEvent.RELEASE),
        ReservationState.RELEASED,
    )
    assert check_fails(check)


def test_use_taken_twice_is_convicted(monkeypatch: pytest.MonkeyPatch) -> None:
    check = test_use.test_a_record_is_taken_once_and_acknowledged_each_time
    assert not check_fails(check)

    def accept(usage_ledger: usage.UsageLedger, record: usage.UsageRecord) -> bool:
        for key, units in record.rows:
            usage_ledger.totals[key] = usage_ledger.totals.get(key, 0) + units
        return True

    monkeypatch.setattr(usage.UsageLedger, "accept", accept)
    assert check_fails(check)


def test_the_table_fences_everywhere() -> None:
    from cypresspulley.plans.follow import TRANSITIONS, FollowerAction, FollowerState

    assert all(TRANSITIONS[at, FollowerEvent.STALE] == (at, (FollowerAction.DROP,)) for at in FollowerState)
