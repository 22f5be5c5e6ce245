"""Simulates one account at many gateways while the wall clock steps, gateways restart and the counter fails.

``Play`` drives real gateways in virtual time. Each process reads the wall clock once, when it starts, and follows real
time from there; ``api.WallClockStep`` tells it of a step within ``STEP_NOTICE_SECONDS``. The counter expires counts by
real time. The true level of the account's ceiling is tracked beside it, and a run is judged by its lowest value.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import Enum
from functools import partial
from random import Random

from cypresspulley import interface as api
from cypresspulley.policy.gateway import Gateway
from tests import world as w

BURST = 16.0  # units of the ceiling's bucket
BEGIN = 1_000_000.0  # wall time at the start of a run, in seconds
STEP_NOTICE_SECONDS = 0.2  # seconds within which a process notices a step of the wall clock
COUNTER_TIMEOUT = 0.05  # seconds until a call to the counter times out
REQUESTS_PER_UNIT = 5.0  # requests per unit of the ceiling's rate
# Length of a run before and after its first step, in windows of the ceiling.
WINDOWS_BEFORE = 6
WINDOWS_AFTER = 8


class Trouble(Enum):
    """How the counter fails, from one window before the first step to two windows after it."""

    NONE = "none"
    SLOW = "slow"  # a call is added late, up to a second after it was made
    SILENT = "silent"  # a call is not answered; two of three are added
    BROKEN = "broken"  # connections break under calls; two of three are added


@dataclass(frozen=True)
class Case:
    """The parameters of a run. Times are in windows of the ceiling unless they are in seconds."""

    seed: int
    window: float  # seconds
    gateways: int
    steps: tuple[float, ...]  # seconds, one step after the other
    phase: float = 0.0  # part of a window at which the first step comes
    between: float = 0.35  # windows between two steps
    restarted: float = 0.0  # share of the gateways that restart
    restart: float = 0.0  # windows after the first step; below 0: before it
    trouble: Trouble = Trouble.NONE


@dataclass(frozen=True)
class Result:
    lowest: float  # lowest level of the ceiling, in units
    slack: float  # units by which the rule lets it fall below 0
    sent: int  # requests after the first step
    granted: float  # units that the ceiling's rate gave in that time

    @property
    def beyond(self) -> float:
        """Units drawn beyond the rule's slack; 0 where the rule is kept."""
        return max(0.0, -self.lowest - self.slack)


class Play:
    def __init__(self, case: Case) -> None:
        self.case, self.rng, self.time, self.wall = case, Random(case.seed), 0.0, BEGIN
        rate = BURST / (2 * case.window)
        self.plan = api.Plan("capped", 1.0, rate, BURST, 0, 0.0, 0.5, rate, BURST)
        self._counter, self._serial = w.SharedCounts(), 0
        self._queue = list[tuple[float, int, Callable[[], object]]]()
        self._level = BURST
        self._drawn_at = 0.0
        self.lowest = BURST
        self.sent = 0
        self._clock_offsets = [0.0] * case.gateways  # each process's clock minus the simulated time
        self._told_shifts = [0.0] * case.gateways  # the step that each process was told of last
        self._starts = [0] * case.gateways
        self._gateways = [self._start_gateway(index) for index in range(case.gateways)]
        self._step_at = (WINDOWS_BEFORE + case.phase) * case.window

    def run(self) -> Result:
        case, sent = self.case, [0]
        self._arrive()
        for number, shift in enumerate(case.steps):
            at = self._step_at + number * case.between * case.window
            self._schedule(at, partial(self._step, shift))
        if case.restarted:
            self._schedule(self._step_at + case.restart * case.window, self._restart)
        self._schedule(self._step_at, lambda: sent.append(self.sent))
        end = self._step_at + WINDOWS_AFTER * case.window
        while self._queue and self._queue[0][0] <= end:
            self.time, _, event = heapq.heappop(self._queue)
            event()
        slack = max(0.1 * BURST, 1.0) + 0.15 * self.plan.ceiling_rate
        return Result(
            self.lowest, slack, self.sent - sent[-1], self.plan.ceiling_rate * (end - self._step_at)
        )

    def _schedule(self, at: float, event: Callable[[], object]) -> None:
        self._serial += 1
        heapq.heappush(self._queue, (at, self._serial, event))

    def _start_gateway(self, index: int) -> Gateway:
        self._clock_offsets[index], self._told_shifts[index] = self.wall, 0.0
        self._starts[index] += 1
        settings = replace(
            w.settings(plans=(self.plan,), gateways=self.case.gateways, index=index, cold_share=1.0),
            has_counter=True, counter_timeout=COUNTER_TIMEOUT, max_units=1.0,
        )  # fmt: skip
        gateway = Gateway(settings, self.rng.randrange(10**6), self.time + self.wall)
        self._feed(index, w.servers("s0", "s1", "s2"), gateway)
        return gateway

    def _step(self, shift: float) -> None:
        self.wall += shift
        for index in range(self.case.gateways):
            at = self.time + self.rng.random() * STEP_NOTICE_SECONDS
            self._schedule(at, partial(self._notice, index, self._starts[index]))

    def _notice(self, index: int, start: int) -> None:
        shift = self.wall - self._clock_offsets[index]
        if start == self._starts[index] and shift != self._told_shifts[index]:
            self._told_shifts[index] = shift
            self._feed(index, api.WallClockStep(shift))

    def _restart(self) -> None:
        for index in self.rng.sample(
            range(self.case.gateways), math.ceil(self.case.restarted * self.case.gateways)
        ):
            self._gateways[index] = self._start_gateway(index)

    def _arrive(self) -> None:
        self._schedule(
            self.time + self.rng.expovariate(REQUESTS_PER_UNIT * self.plan.ceiling_rate), self._arrive
        )
        self._serial += 1
        request = api.Request(self._serial, "read", "capped", 3.0, "x", 1.0, self.case.gateways)
        self._feed(self.rng.randrange(self.case.gateways), request)

    def _feed(self, index: int, event: api.Event, gateway: Gateway | None = None) -> None:
        gateway = gateway or self._gateways[index]
        for action in gateway.handle(self.time + self._clock_offsets[index], event):
            if isinstance(action, api.Count):
                self._call(index, action)
            elif isinstance(action, api.SetTimer):
                self._schedule_event(action.delay, index, api.TimerFired(action.token))
            elif isinstance(action, api.Send):
                self._draw()
                self._schedule_event(0.02, index, w.outcome(action.id, 0, action.server, api.Status.OK, 0.02))

    def _schedule_event(self, delay: float, index: int, event: api.Event) -> None:
        """Schedule an event for the process that runs at this index now; its successor does not get it."""
        start = self._starts[index]

        def fire() -> None:
            if start == self._starts[index]:
                self._feed(index, event)

        self._schedule(self.time + delay, fire)

    def _call(self, index: int, call: api.Count) -> None:
        window = self.case.window
        is_failing = self._step_at - window <= self.time < self._step_at + 2 * window
        trouble = self.case.trouble if is_failing else Trouble.NONE
        delay = self.rng.uniform(0.0005, 0.002)
        if trouble is Trouble.NONE:
            self._schedule(self.time + delay, partial(self._answer, index, call, delay, self._starts[index]))
            return
        if trouble is Trouble.SLOW:
            delay = (
                self.rng.uniform(0.0, 2 * COUNTER_TIMEOUT)
                if self.rng.random() < 0.8
                else self.rng.uniform(0.0, 1.0)
            )
        if trouble is Trouble.SLOW and delay < COUNTER_TIMEOUT:
            self._schedule(self.time + delay, partial(self._answer, index, call, delay, self._starts[index]))
            return
        if trouble is Trouble.SLOW or self.rng.random() < 2 / 3:
            self._schedule(self.time + delay, partial(self._add, call))
        status = api.Status.BROKEN if trouble is Trouble.BROKEN else api.Status.TIMEOUT
        self._schedule_event(COUNTER_TIMEOUT, index, api.Counted(call.name, status))

    def _add(self, call: api.Count) -> float:
        return self._counter.add(self.time, call)

    def _answer(self, index: int, call: api.Count, delay_back: float, start: int) -> None:
        total = self._add(call)
        if start == self._starts[index]:
            self._schedule_event(delay_back, index, api.Counted(call.name, api.Status.OK, total))

    def _draw(self) -> None:
        refilled = self._level + self.plan.ceiling_rate * (self.time - self._drawn_at)
        self._level, self._drawn_at = min(BURST, refilled) - 1.0, self.time
        self.lowest, self.sent = min(self.lowest, self._level), self.sent + 1


def drawn(seed: int) -> Case:
    """Draw a random case by its seed."""
    rng = Random(seed)
    window = rng.choice((0.5, 2.0, 2.0, 10.0, 60.0))
    # Steps that enter a window again are the worst: those of a few windows, or of about the lifetime of a count.
    near_step = rng.choice(
        (rng.uniform(-4, 4) * window, rng.uniform(-70, 70), rng.choice((-7200.0, -3600.0, 3600.0, 7200.0)))
    )
    first = near_step if rng.random() < 0.8 else rng.uniform(-7200, 7200)
    steps = rng.choice(((first,), (first,), (first, -first), (first, first)))
    return Case(
        seed, window, rng.choice((3, 30, 30)), steps, rng.random(), rng.uniform(0.05, 1.5),
        rng.choice((0.0, 0.01, 0.5, 1.0)), rng.uniform(-1.0, 3.0), rng.choice((Trouble.NONE, *Trouble)),
    )  # fmt: skip
