"""One account at many gateways while the wall clock steps, gateways restart and the counter has trouble.

``Play`` drives real gateways in virtual time. Each process reads the wall clock once, at its start, and goes on by
real time from there; what ``api.WallClock`` tells it of a step comes within ``NOTICED`` seconds. The counter forgets
by real time. The account's ceiling is kept beside it as it truly is, and its lowest level is what a play is judged by.
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

BURST = 16.0  # units of the ceiling's store
BEGIN = 1_000_000.0  # wall time at which a play begins, in seconds
NOTICED = 0.2  # seconds within which a process looks at the wall clock
TIMEOUT = 0.05  # seconds until a call to the counter is given up
DEMAND = 5.0  # requests for each unit of the ceiling's rate
# Lengths of a play around its step, in windows of the ceiling.
WINDOWS_BEFORE = 6
WINDOWS_AFTER = 8


class Trouble(Enum):
    """What the counter does from one window before the step to two windows behind it."""

    NONE = "none"
    SLOW = "slow"  # a call is added late, up to a second after it was given up
    SILENT = "silent"  # a call is not answered; two of three are added
    BROKEN = "broken"  # connections break under calls; two of three are added


@dataclass(frozen=True)
class Case:
    """A play. Times are in windows of the ceiling where they are not in seconds."""

    seed: int
    window: float  # seconds
    gateways: int
    steps: tuple[float, ...]  # seconds, one after the other
    phase: float = 0.0  # of a window, at which the first step comes
    between: float = 0.35  # windows between two steps
    restarted: float = 0.0  # share of the gateways
    restart: float = 0.0  # windows behind the first step, below 0: before it
    trouble: Trouble = Trouble.NONE


@dataclass(frozen=True)
class Result:
    lowest: float  # of the ceiling's store, in units
    slack: float  # units by which the rule lets it fall below nothing
    sent: int  # behind the first step
    granted: float  # units that the ceiling's rate gave in that time

    @property
    def beyond(self) -> float:
        """Units beyond the rule's slack; 0 where it is kept."""
        return max(0.0, -self.lowest - self.slack)


class Play:
    def __init__(self, case: Case) -> None:
        self.case, self.rng, self.time, self.wall = case, Random(case.seed), 0.0, BEGIN
        rate = BURST / (2 * case.window)
        self.plan = api.Plan("capped", 1.0, rate, BURST, 0, 0.0, 0.5, rate, BURST)
        self._counter, self._serial = w.SharedCounts(), 0
        self._queue = list[tuple[float, int, Callable[[], object]]]()
        self._store = BURST
        self._drawn_at = 0.0
        self.lowest = BURST
        self.sent = 0
        self._ahead = [0.0] * case.gateways  # of each process's clock over the play's
        self._told = [0.0] * case.gateways  # what each process believes the wall clock to be ahead of its own
        self._lives = [0] * case.gateways
        self._gateways = [self._fresh(place) for place in range(case.gateways)]
        self._step_at = (WINDOWS_BEFORE + case.phase) * case.window

    def run(self) -> Result:
        case, sent = self.case, [0]
        self._arrive()
        for number, shift in enumerate(case.steps):
            at = self._step_at + number * case.between * case.window
            self._later(at, partial(self._step, shift))
        if case.restarted:
            self._later(self._step_at + case.restart * case.window, self._restart)
        self._later(self._step_at, lambda: sent.append(self.sent))
        end = self._step_at + WINDOWS_AFTER * case.window
        while self._queue and self._queue[0][0] <= end:
            self.time, _, event = heapq.heappop(self._queue)
            event()
        slack = max(0.1 * BURST, 1.0) + 0.15 * self.plan.ceiling_rate
        return Result(
            self.lowest, slack, self.sent - sent[-1], self.plan.ceiling_rate * (end - self._step_at)
        )

    def _later(self, at: float, event: Callable[[], object]) -> None:
        self._serial += 1
        heapq.heappush(self._queue, (at, self._serial, event))

    def _fresh(self, place: int) -> Gateway:
        self._ahead[place], self._told[place] = self.wall, 0.0
        self._lives[place] += 1
        settings = replace(
            w.settings(plans=(self.plan,), gateways=self.case.gateways, index=place, cold_share=1.0),
            has_counter=True, counter_timeout=TIMEOUT, max_units=1.0,
        )  # fmt: skip
        gateway = Gateway(settings, self.rng.randrange(10**6), self.time + self.wall)
        self._feed(place, w.servers("s0", "s1", "s2"), gateway)
        return gateway

    def _step(self, shift: float) -> None:
        self.wall += shift
        for place in range(self.case.gateways):
            at = self.time + self.rng.random() * NOTICED
            self._later(at, partial(self._notice, place, self._lives[place]))

    def _notice(self, place: int, life: int) -> None:
        shift = self.wall - self._ahead[place]
        if life == self._lives[place] and shift != self._told[place]:
            self._told[place] = shift
            self._feed(place, api.WallClock(shift))

    def _restart(self) -> None:
        for place in self.rng.sample(
            range(self.case.gateways), math.ceil(self.case.restarted * self.case.gateways)
        ):
            self._gateways[place] = self._fresh(place)

    def _arrive(self) -> None:
        self._later(self.time + self.rng.expovariate(DEMAND * self.plan.ceiling_rate), self._arrive)
        self._serial += 1
        request = api.Request(self._serial, "read", "capped", 3.0, "x", 1.0, self.case.gateways)
        self._feed(self.rng.randrange(self.case.gateways), request)

    def _feed(self, place: int, event: api.Event, gateway: Gateway | None = None) -> None:
        gateway = gateway or self._gateways[place]
        for action in gateway.handle(self.time + self._ahead[place], event):
            if isinstance(action, api.Count):
                self._call(place, action)
            elif isinstance(action, api.SetTimer):
                self._reply(action.delay, place, api.TimerFired(action.token))
            elif isinstance(action, api.Send):
                self._draw()
                self._reply(0.02, place, w.outcome(action.id, 0, action.server, api.Status.OK, 0.02))

    def _reply(self, delay: float, place: int, event: api.Event) -> None:
        """An event for the process that is at this place now; a successor does not get it."""
        life = self._lives[place]

        def fire() -> None:
            if life == self._lives[place]:
                self._feed(place, event)

        self._later(self.time + delay, fire)

    def _call(self, place: int, call: api.Count) -> None:
        window = self.case.window
        troubled = self._step_at - window <= self.time < self._step_at + 2 * window
        trouble = self.case.trouble if troubled else Trouble.NONE
        delay = self.rng.uniform(0.0005, 0.002)
        if trouble is Trouble.NONE:
            self._later(self.time + delay, partial(self._answer, place, call, delay, self._lives[place]))
            return
        if trouble is Trouble.SLOW:
            delay = (
                self.rng.uniform(0.0, 2 * TIMEOUT) if self.rng.random() < 0.8 else self.rng.uniform(0.0, 1.0)
            )
        if trouble is Trouble.SLOW and delay < TIMEOUT:
            self._later(self.time + delay, partial(self._answer, place, call, delay, self._lives[place]))
            return
        if trouble is Trouble.SLOW or self.rng.random() < 2 / 3:
            self._later(self.time + delay, partial(self._add, call))
        status = api.Status.BROKEN if trouble is Trouble.BROKEN else api.Status.TIMEOUT
        self._reply(TIMEOUT, place, api.Counted(call.name, status))

    def _add(self, call: api.Count) -> float:
        return self._counter.add(self.time, call)

    def _answer(self, place: int, call: api.Count, way_back: float, life: int) -> None:
        total = self._add(call)
        if life == self._lives[place]:
            self._reply(way_back, place, api.Counted(call.name, api.Status.OK, total))

    def _draw(self) -> None:
        grown = self._store + self.plan.ceiling_rate * (self.time - self._drawn_at)
        self._store, self._drawn_at = min(BURST, grown) - 1.0, self.time
        self.lowest, self.sent = min(self.lowest, self._store), self.sent + 1


def drawn(seed: int) -> Case:
    """A case of the grid, drawn by its seed."""
    rng = Random(seed)
    window = rng.choice((0.5, 2.0, 2.0, 10.0, 60.0))
    # Windows that come again are the worst: steps of some windows and of the times for which counts are kept.
    near = rng.choice(
        (rng.uniform(-4, 4) * window, rng.uniform(-70, 70), rng.choice((-7200.0, -3600.0, 3600.0, 7200.0)))
    )
    first = near if rng.random() < 0.8 else rng.uniform(-7200, 7200)
    steps = rng.choice(((first,), (first,), (first, -first), (first, first)))
    return Case(
        seed, window, rng.choice((3, 30, 30)), steps, rng.random(), rng.uniform(0.05, 1.5),
        rng.choice((0.0, 0.01, 0.5, 1.0)), rng.uniform(-1.0, 3.0), rng.choice((Trouble.NONE, *Trouble)),
    )  # fmt: skip
