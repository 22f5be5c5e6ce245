"""Tests how the policy charges requests with a bound: reservation, settlement of actual costs, and mutants of both."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from random import Random
from typing import Any

import hypothesis
import pytest
from hypothesis import strategies as st

from cypresspulley import interface as api
from cypresspulley.policy.gateway import Gateway
from cypresspulley.policy.quota import Quotas
from tests import world as w

CAPPED_PLAN = api.Plan("capped", 1.0, 6.0, 20.0, ceiling_rate=8.0, ceiling_burst=30.0)

# A plan whose quota never limits, so that only the accounting of the ceiling can keep the ceiling.
CEILING_ONLY_PLAN = api.Plan("capped", 1.0, 500.0, 500.0, ceiling_rate=8.0, ceiling_burst=30.0)


def make_request(id: int, units: float, bound: float, plan: str = "capped", spread: int = 1) -> api.Request:
    return api.Request(id, "read", plan, 3.0, "acct", units, spread, False, bound)


def feed_outcome(
    world: w.World, id: int, units: float | None, status: api.Status = api.Status.OK, attempt: int = 0
) -> None:
    server = world.open_attempts[(id, attempt)][0]
    world.feed(api.Outcome(id, attempt, server, status, 0.1, status is api.Status.OK, {}, None, units))


def make_world(gateways: int = 1, **changes: object) -> w.World:
    world = w.World(
        w.settings(plans=(CAPPED_PLAN, api.Plan("small", rate=2.0, burst=8.0)), gateways=gateways, **changes)
    )
    world.feed(w.servers("s0", "s1", "s2", "s3"))
    world.advance(150.0)
    return world


def only_account(world: w.World) -> Any:
    return next(iter(world.gateway.quotas.accounts.values()))


def lowest_ceiling_level(seed: int) -> float:
    """Return the lowest level of a ceiling that is charged the actual costs, in units; below 0, it was exceeded.

    One or three gateways (by the seed) crash, lose their state, and receive valid, implausible and failed outcomes.
    """
    rng = Random(seed)
    config = w.settings(plans=(CEILING_ONLY_PLAN,), max_attempts=1)
    # A single gateway has the whole ceiling, so that no unused share hides an error.
    count = 1 if seed % 2 else 3
    worlds = [w.World(replace(config, index=n, gateways=count), seed + n) for n in range(count)]
    totals = worlds[0].totals  # the counter is shared by the gateways and survives their crashes
    for world in worlds:
        world.totals = totals
        world.feed(w.servers("s0", "s1", "s2", "s3"))
    # The ceiling starts full only for first incarnations, which the shared counter tells from later ones.
    confirmed_at = 104.0
    for world in worlds:
        while world.now < confirmed_at:
            world.advance(world.now + 0.5)
            world.answer_counts()
        assert world.gateway.quotas.incarnation.is_first
    level, lowest, last, now = CAPPED_PLAN.ceiling_burst, 0.0, confirmed_at, confirmed_at
    actual_costs = dict[int, float]()
    for id in range(400):
        now += rng.choice((0.001, 0.02, 0.05, 0.2))
        index = rng.choice((0, 0, 0, 1, 2)) % count
        if rng.random() < 0.02:
            # The gateway crashes, and what it has not settled is lost.
            worlds[index] = w.World(replace(config, index=index, gateways=count), seed + id, now)
            worlds[index].totals = totals
            worlds[index].feed(w.servers("s0", "s1", "s2", "s3"))
        world = worlds[index]
        world.advance(now)
        bound = rng.uniform(0.1, 9.0)
        actual = bound * rng.choice((0.0, 0.02, 0.5, 1.0, rng.random()))
        actual_costs[id] = actual
        sends_before = len(world.sends)
        world.feed(make_request(id, bound * rng.choice((0.05, 0.5, 1.0)), bound, spread=count))
        world.answer_counts(rng.choice((api.Status.OK, api.Status.TIMEOUT, api.Status.BROKEN)))
        level = min(CAPPED_PLAN.ceiling_burst, level + CAPPED_PLAN.ceiling_rate * (now - last))
        last = now
        if len(world.sends) > sends_before:
            level -= actual
            lowest = min(lowest, level)
        for open_id, attempt in list(world.open_attempts):
            if rng.random() < 0.7:
                reported = rng.choice((*[actual_costs[open_id]] * 6, -3.0, 1e9, float("nan"), None))
                status = api.Status.OK if rng.random() < 0.8 else api.Status.BROKEN
                feed_outcome(world, open_id, reported, status, attempt)
    return lowest


@hypothesis.settings(derandomize=True, deadline=None, max_examples=60)
@hypothesis.given(st.integers(0, 2**32))
def test_true_costs_never_pass_the_ceiling(seed: int) -> None:
    assert lowest_ceiling_level(seed) >= -1e-6


def _patch_method(monkeypatch: pytest.MonkeyPatch, name: str, make: Callable[[Any], Any]) -> None:
    owner = Gateway if hasattr(Gateway, name) else Quotas
    monkeypatch.setattr(owner, name, make(getattr(owner, name)))


def _expected_only(launch: Any) -> Any:
    def mutant(self: Gateway, now: float, r: Any, *rest: Any, **more: Any) -> None:
        r.max_units = r.units
        launch(self, now, r, *rest, **more)

    return mutant


def _negative_believed(settle: Any) -> Any:
    def mutant(self: Quotas, now: float, r: Any, ev: api.Outcome) -> None:
        if ev.units is not None and ev.units < 0:
            r.account.ceiling_level += r.max_units - ev.units
        else:
            settle(self, now, r, ev)

    return mutant


def _given_back_on_a_lost_answer(settle: Any) -> Any:
    def mutant(self: Quotas, now: float, r: Any, ev: api.Outcome) -> None:
        if ev.status is not api.Status.OK:
            r.account.ceiling_level += r.max_units
        settle(self, now, r, ev)

    return mutant


def _settled_twice(settle: Any) -> Any:
    def mutant(self: Quotas, now: float, r: Any, ev: api.Outcome) -> None:
        settle(self, now, r, ev)
        settle(self, now, r, ev)

    return mutant


@pytest.mark.parametrize(
    "name, mutant",
    [
        ("_dispatch", _expected_only), ("settle", _negative_believed), ("settle", _given_back_on_a_lost_answer),
        ("settle", _settled_twice),
    ],
)  # fmt: skip
def test_wrong_accounting_is_convicted(monkeypatch: pytest.MonkeyPatch, name: str, mutant: Any) -> None:
    _patch_method(monkeypatch, name, mutant)
    assert min(lowest_ceiling_level(seed) for seed in range(40)) < -1e-6


def test_a_guess_fifty_times_too_low_is_taken_afterwards_and_the_next_ones_pay() -> None:
    world = make_world(has_counter=False)
    world.feed(make_request(1, 0.3, 15.0))
    feed_outcome(world, 1, 15.0)
    account = only_account(world)
    assert account.level <= CAPPED_PLAN.burst - 14 and account.unreported == pytest.approx(15.0)


def test_what_turned_out_cheaper_comes_back_to_quota_and_ceiling() -> None:
    world = make_world()
    world.feed(make_request(1, 8.0, 16.0))
    account = only_account(world)
    before = account.ceiling_level, account.level
    feed_outcome(world, 1, 2.0)
    assert account.ceiling_level == pytest.approx(before[0] + 14.0) and account.level == pytest.approx(
        before[1] + 6.0
    )


@pytest.mark.parametrize("units", [None, -1.0, 1e9, float("nan")])
@pytest.mark.parametrize("status", [api.Status.OK, api.Status.BROKEN, api.Status.TIMEOUT])
def test_nothing_comes_back_on_what_is_lost_or_cannot_be_true(
    units: float | None, status: api.Status
) -> None:
    world = make_world(max_attempts=1)
    world.feed(make_request(1, 8.0, 16.0))
    account = only_account(world)
    before = account.ceiling_level, account.level
    feed_outcome(world, 1, units, status)
    assert (account.ceiling_level, account.level) == before


def test_debt_of_a_settlement_is_paid_by_the_next_refill_not_forgiven() -> None:
    world = make_world(has_counter=True)
    world.feed(make_request(1, 1.0, 20.0))
    world.answer_counts()
    account = only_account(world)
    account.level = 0.5
    feed_outcome(world, 1, 19.0)
    assert account.level == 0.0 and account.debt == pytest.approx(17.5)
    account.refill(world.now + 2.0)  # all 12 units of the refill pay the debt
    assert account.level == 0.0 and account.debt == pytest.approx(5.5)
    account.refill(world.now + 3.0)
    assert account.debt == 0.0 and account.level == pytest.approx(0.5)


def test_what_no_store_can_ever_hold_is_refused_as_too_dear_and_says_what_is_left() -> None:
    world = make_world(gateways=1)
    refused = [a for a in world.feed(make_request(1, 2.0, 31.0)) if isinstance(a, api.Refuse)]
    assert [a.why for a in refused] == ["too dear"]
    refused = [a for a in world.feed(make_request(2, 21.0, 25.0)) if isinstance(a, api.Refuse)]
    assert [a.why for a in refused] == ["too dear"]
    world.answer_counts()
    refused = [
        a for n in range(9) for a in world.feed(make_request(3 + n, 7.0, 7.0)) if isinstance(a, api.Refuse)
    ]
    # Two requests of 7 units each were admitted, of a burst of 20.
    assert refused and all(a.quota_left == pytest.approx(6.0) for a in refused)


def test_a_plain_request_is_never_too_dear() -> None:
    world = make_world()
    world.feed(api.Request(1, "read", "small", 3.0, "acct", 9.0, 3))
    assert world.answered.get(1) != "too dear" and world.gateway.refusal_counts.get("too dear", 0) == 0
