"""Ceilings over all gateways while the wall clock steps and half of the gateways restart after the step."""

from __future__ import annotations

from dataclasses import replace
from random import Random

import pytest

from cypresspulley import interface as api
from cypresspulley.policy.gateway import Gateway
from tests import world as w

GATEWAYS = 30
PLAN = api.Plan("capped", rate=4.0, burst=16.0, ceiling_rate=4.0, ceiling_burst=16.0)
SLACK = max(0.1 * PLAN.ceiling_burst, 1.0) + 0.15 * PLAN.ceiling_rate
WINDOW = PLAN.ceiling_burst / (2 * PLAN.ceiling_rate)  # seconds
BEGIN = 10_000.0  # seconds of the decision clock
STEP_AT = 20.0  # seconds after the start
END = 40.0  # seconds after the start
REQUESTS_PER_SECOND = 60.0  # far beyond the ceiling
STEPS = [3600.0, -3600.0, 5.0, -5.0, 0.9, 0.0]


def settings(index: int) -> api.Settings:
    return replace(
        w.settings(plans=(PLAN,), gateways=GATEWAYS, index=index, cold_share=1.0),
        has_counter=True,
        max_units=1.0,
    )


class Fleet:
    """Gateways, the counter that they share, and the true level of the account's ceiling."""

    def __init__(self, seed: int) -> None:
        self.rng, self.time = Random(seed), 0.0
        self.clock_offsets = [BEGIN] * GATEWAYS  # each process's clock minus the simulated time
        self.totals = dict[int, tuple[float, float]]()  # by name: total, and when it expires
        self.level = self.lowest = PLAN.ceiling_burst
        self.drawn_at = 0.0
        self.gateways = [self.start_gateway(index) for index in range(GATEWAYS)]
        self.sent = 0

    def start_gateway(self, index: int) -> Gateway:
        now = self.time + self.clock_offsets[index]
        gateway = Gateway(settings(index), self.rng.randrange(10**6), now)
        gateway.handle(now, w.servers("s0", "s1", "s2"))
        return gateway

    def step(self, shift: float) -> None:
        """Step the wall clock and tell all gateways."""
        for index in range(GATEWAYS if shift else 0):
            self.feed(index, api.WallClockStep(shift))

    def restart(self, shift: float) -> None:
        """Restart every second gateway on the stepped clock."""
        for index in range(1, GATEWAYS, 2):
            self.clock_offsets[index] += shift
            self.gateways[index] = self.start_gateway(index)

    def feed(self, index: int, event: api.Event) -> None:
        events = [event]
        while events:
            now = self.time + self.clock_offsets[index]
            for action in self.gateways[index].handle(now, events.pop(0)):
                if isinstance(action, api.Count):
                    total, until = self.totals.get(action.name, (0.0, self.time + action.lifetime))
                    if until <= self.time:
                        total, until = 0.0, self.time + action.lifetime
                    self.totals[action.name] = total + action.amount, until
                    events.append(api.Counted(action.name, api.Status.OK, total + action.amount))
                elif isinstance(action, api.Send):
                    self.draw()
                    events.append(w.outcome(action.id, 0, action.server, api.Status.OK, 0.01))

    def draw(self) -> None:
        refilled = self.level + PLAN.ceiling_rate * (self.time - self.drawn_at)
        self.level, self.drawn_at = min(PLAN.ceiling_burst, refilled) - 1.0, self.time
        self.lowest, self.sent = min(self.lowest, self.level), self.sent + 1

    def run(self, until: float) -> None:
        ids = self.rng.randrange(10**9)
        while self.time < until:
            self.time += self.rng.expovariate(REQUESTS_PER_SECOND)
            ids += 1
            request = api.Request(ids, "read", PLAN.name, 3.0, "x", 1.0, GATEWAYS)
            self.feed(self.rng.randrange(GATEWAYS), request)


def check_over_step(seed: int, shift: float, restart_after: float) -> None:
    """Check that the ceiling holds and is used where gateways restart ``restart_after`` seconds after a step."""
    fleet = Fleet(seed)
    fleet.run(STEP_AT)
    before = fleet.sent
    assert before > 0.6 * PLAN.ceiling_rate * STEP_AT, "it is used"
    fleet.step(shift)
    fleet.run(STEP_AT + restart_after)
    fleet.restart(shift)
    fleet.run(END)
    assert fleet.lowest >= -SLACK, shift
    assert fleet.sent - before > 0.5 * PLAN.ceiling_rate * (END - STEP_AT), ("and goes on being used", shift)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_no_ceiling_is_passed_over_a_step_of_the_wall_clock(seed: int) -> None:
    for shift in STEPS:
        check_over_step(seed, shift, 0.0)
        check_over_step(seed, shift, WINDOW + 0.1)


def test_no_ceiling_is_passed_where_limiters_restart_in_the_very_window_of_a_step() -> None:
    check_over_step(32, -5.0, 0.0)


def fill_next_window(fleet: Fleet) -> float:
    """Run through the start of the next window until it is full, and return when it started."""
    while True:
        before, at = fleet.sent, fleet.time
        fleet.run(at + 0.01)
        if fleet.sent > before:
            break
    fleet.run(at + WINDOW / 2)
    assert fleet.sent - before == PLAN.ceiling_burst / 2, "all that a window holds"
    return at


@pytest.mark.parametrize("shift", [shift for shift in STEPS if shift])
def test_a_full_window_ends_by_real_time_whatever_the_clock_says(shift: float) -> None:
    """A step neither ends the current window nor starts the next one.

    This replaces a test that nothing is sent for a window's length after a step, which held only while windows were
    named by wall time, so that a step started the next one.
    """
    fleet = Fleet(1)
    fleet.run(STEP_AT)
    began = fill_next_window(fleet)
    before = fleet.sent
    fleet.step(shift)
    fleet.run(began + WINDOW - 0.01)
    assert fleet.sent == before
    fleet.run(began + 2 * WINDOW)
    assert fleet.sent > before
