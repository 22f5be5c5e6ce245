"""Limits on open attempts over all gateways, kept by a counter whose answers come late, wrong or not at all."""

from __future__ import annotations

from dataclasses import replace
from random import Random

import pytest

from cypresspulley import interface as api
from cypresspulley.explore.examine import open_counts
from cypresspulley.interface import Status
from cypresspulley.policy.counts import count_name
from cypresspulley.policy.slots import PERIOD_SECONDS
from tests import world as w

LIMIT = 3
PLAN = api.Plan("chain", open_limit=LIMIT, over_cost=0.5)
SETTINGS = w.settings(plans=(PLAN,), max_attempts=2)
BEGIN = 125 * PERIOD_SECONDS + 0.5  # soon after the start of a period


class Fleet:
    """Three gateways and one counter. With ``exact``, each call is answered before anything else happens."""

    def __init__(self, settings: api.Settings = SETTINGS, exact: bool = True) -> None:
        self.now, self.exact, self.totals, self.id = BEGIN, exact, w.SharedCounts(), 0
        self.worlds = [w.World(replace(settings, index=n), n + 1, BEGIN) for n in range(3)]
        for world in self.worlds:
            world.totals = self.totals
            world.feed(w.servers(*(f"s{n}" for n in range(8))))

    def advance(self, seconds: float) -> None:
        self.now += seconds
        for world in self.worlds:
            world.advance(self.now)
        self.settle()

    def settle(self, status: Status = Status.OK) -> None:
        for world in self.worlds if self.exact else ():
            world.answer_counts(status)

    def ask(self, at: int, kind: str = "read", **changes: object) -> int:
        """Feed a request to one gateway and return its id."""
        self.id += 1
        self.worlds[at].feed(replace(w.request(self.id, kind, "chain", "hotel"), **changes))  # type: ignore[arg-type]
        self.settle()
        return self.id

    def end(self, at: int, id: int) -> None:
        (key,) = (key for key in self.worlds[at].open_attempts if key[0] == id)
        self.worlds[at].feed(w.outcome(*key, self.worlds[at].open_attempts[key][0], Status.OK))
        self.settle()

    @property
    def out(self) -> list[tuple[int, int]]:
        """Gateway and id of each open attempt."""
        return [(n, id) for n, world in enumerate(self.worlds) for id, _ in world.open_attempts]

    def ends_clean(self) -> bool:
        for at, id in self.out:
            self.end(at, id)
        self.advance(1.1)
        counted = self.totals.get(count_name("out chain hotel", int(self.now // PERIOD_SECONDS)), 0.0)
        return counted == 0 and not any(any(open_counts(e.gateway).values()) for e in self.worlds)


def test_one_gateway_may_use_all_that_the_others_leave() -> None:
    fleet = Fleet()
    ids = [fleet.ask(0) for _ in range(LIMIT + 1)]
    assert fleet.out == [(0, id) for id in ids[:LIMIT]], "an even share would have been one"
    assert fleet.worlds[0].answered[ids[LIMIT]] == "refused"
    fleet.ask(1)
    assert len(fleet.out) == LIMIT, "another gateway is told that all are out"
    fleet.end(0, ids[0])
    fleet.advance(0.5)
    fleet.ask(1)
    assert [at for at, _ in fleet.out] == [0, 0, 1]
    assert fleet.ends_clean()


@pytest.mark.parametrize("seed", range(8))
def test_no_more_are_out_than_the_limit_while_the_counter_answers(seed: int) -> None:
    fleet, rng, max_open = Fleet(), Random(seed), 0
    for _ in range(400):
        if rng.random() < 0.5:
            fleet.ask(rng.choice((0, 0, 0, 1, 2)))
        elif fleet.out:
            fleet.end(*rng.choice(fleet.out))
        max_open = max(max_open, len(fleet.out))
        # Not in the second after a period starts, while not everything is reported yet.
        if rng.random() < 0.2:
            fleet.advance(0.05 if fleet.now % PERIOD_SECONDS < PERIOD_SECONDS - 0.1 else 1.3)
            while fleet.out and fleet.now % PERIOD_SECONDS < 1.3:
                fleet.end(*fleet.out[0])
    assert max_open == LIMIT
    assert fleet.ends_clean()


def test_what_is_still_out_goes_over_to_the_next_spell() -> None:
    settings = replace(SETTINGS, classes=(replace(w.SAFE, aim=60.0),))
    fleet = Fleet(settings)
    for _ in range(LIMIT):
        fleet.ask(0, ttl=30.0)
    fleet.advance(PERIOD_SECONDS)
    fleet.advance(1.1)  # the new period's count has been told
    fleet.ask(1)
    assert [at for at, _ in fleet.out] == [0] * LIMIT
    assert fleet.ends_clean()


@pytest.mark.parametrize("status", [Status.UNREACHABLE, Status.TIMEOUT, Status.FULL])
def test_without_the_counter_each_keeps_to_its_even_share(status: Status) -> None:
    fleet = Fleet(exact=False)
    for world in fleet.worlds:
        for _ in range(3):
            fleet.id += 1
            world.feed(w.request(fleet.id, "read", "chain", "hotel"))
            world.answer_counts(status)
    assert [at for at, _ in fleet.out] == [0, 1, 2]


def test_what_went_unasked_is_told_when_the_counter_is_back() -> None:
    fleet = Fleet(replace(SETTINGS, classes=(replace(w.SAFE, aim=60.0),)), exact=False)
    for world in fleet.worlds[:2]:
        fleet.id += 1
        world.feed(w.request(fleet.id, "read", "chain", "hotel", ttl=30.0))
        world.answer_counts(Status.UNREACHABLE)
    assert not any(fleet.totals.values()) and len(fleet.out) == 2
    fleet.exact = True
    fleet.advance(1.1)
    assert sum(fleet.totals.values()) == 2
    fleet.ask(2, ttl=30.0)
    fleet.advance(1.0)
    fleet.ask(2, ttl=30.0)
    assert len(fleet.out) == LIMIT, "two of the others count"
    assert fleet.ends_clean()


def test_a_late_answer_that_was_added_is_taken_off_with_its_try() -> None:
    fleet = Fleet(exact=False)
    world = fleet.worlds[0]
    world.feed(w.request(1, "read", "chain", "hotel"))
    (call,) = (call for call in world.counts if call.amount)
    fleet.totals[call.name] = 1.0  # added, but the answer came too late
    world.answer_counts(Status.TIMEOUT)
    assert len(world.open_attempts) == 1
    fleet.exact = True
    assert fleet.ends_clean()


def test_a_client_that_leaves_while_the_counter_is_asked_holds_nothing() -> None:
    fleet = Fleet(exact=False)
    world = fleet.worlds[0]
    world.feed(w.request(1, "read", "chain", "hotel"))
    world.feed(api.ClientDisconnected(1))
    world.answer_counts()
    assert not world.open_attempts and not any(fleet.totals.values())


def test_a_body_on_its_way_is_not_out_until_its_last_byte() -> None:
    fleet = Fleet()
    id = fleet.ask(0, "post", body_pending=True)
    fleet.advance(1.1)
    assert len(fleet.out) == 1 and not any(fleet.totals.values())
    fleet.worlds[0].feed(api.BodyProgress(id, complete=True, replayable=False))
    fleet.advance(1.1)
    assert sum(fleet.totals.values()) == 1
    assert fleet.ends_clean()


def test_units_are_given_back_where_too_many_are_out() -> None:
    plan = replace(PLAN, rate=2.0, burst=8.0)
    fleet = Fleet(replace(SETTINGS, plans=(plan,)))
    for _ in range(LIMIT):
        fleet.ask(0)
    account = fleet.worlds[0].gateway.quotas.accounts["chain", "hotel"]
    level = account.level
    fleet.ask(0)
    assert len(fleet.out) == LIMIT and account.level == level


def test_an_account_that_nobody_shares_asks_nobody() -> None:
    fleet = Fleet()
    for _ in range(LIMIT + 1):
        fleet.ask(0, gateways=1)
    assert len(fleet.out) == LIMIT and not fleet.totals


def test_no_more_are_out_than_the_limit_where_a_step_of_the_wall_clock_enters_a_spell_again() -> None:
    """A period's count lives for two periods. Where the clock steps back by more than one period and enters one again,
    its count may therefore expire in the middle, with all open attempts that were reported to it."""
    settings = replace(SETTINGS, classes=(replace(w.SAFE, aim=60.0),))
    fleet = Fleet(settings)
    fleet.ask(1, ttl=1.0)  # the first period's count starts
    fleet.advance(14.0)  # into the next period
    for world in fleet.worlds:
        world.feed(api.WallClockStep(-11.0))  # back into the first one
    for _ in range(LIMIT):
        fleet.ask(0, ttl=40.0)
    fleet.advance(1.0)
    assert len(fleet.out) == LIMIT
    fleet.advance(1.5)  # the count has expired by now
    fleet.ask(1, ttl=40.0)
    assert len(fleet.out) == LIMIT
