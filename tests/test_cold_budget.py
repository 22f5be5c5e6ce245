"""What 200 limiters together send to a server that has just started, against the figure at which it falls.

A cold server falls at more than N + 2 sqrt(N) + 2 requests of mean work in the settings' time, N being what the
settings allow it then. No limiter sees what the others send; see ``docs/design/large-fleet.md``.
"""

from __future__ import annotations

import heapq
import math
from dataclasses import dataclass, field, replace
from random import Random

import pytest

from cypresspulley import interface as api
from cypresspulley.interface import Status
from cypresspulley.policy.gateway import Gateway
from tests import world as w

LIMITERS, SERVERS, BEFORE, NEW = 200, 24, 8.0, "new"
SETTINGS = w.settings(
    gateways=LIMITERS, has_counter=False, cold_share=0.25, warm_after=10.0, fall_multiple=2.5, fall_window=2.0
)


@dataclass
class Day:
    """Steady traffic, spread unevenly; after ``BEFORE`` seconds a server starts cold. Times are seconds of the day.

    ``able``: requests a second that a warm server bears. ``busy``: the share of it that each warm server is asked for.
    ``told``: when limiters hear of the start, after it.
    """

    seed: int
    able: float = 25.0
    busy: float = 1.0
    even: bool = False
    told: tuple[float, float] = (0.2, 1.0)
    fresh: float = 0.0  # share of the limiters that start with the server, and know nothing
    wave: bool = False  # a second of silence at all limiters, then twice the traffic for two
    sent: list[float] = field(default_factory=list)  # when requests went to the new server, after its start

    def play(self) -> Day:
        rng, names = Random(self.seed), [f"s{n}" for n in range(SERVERS)]
        weights = [1.0 if self.even else rng.lognormvariate(0, 1.0) for _ in range(LIMITERS)]
        rates = [self.able * self.busy * SERVERS * weight / sum(weights) for weight in weights]
        base, self.sent = 1000.0, []
        fleet: list[Gateway | None] = [None] * LIMITERS
        due = list[tuple[float, int, int, api.Event]]()
        number = 0

        def put(at: float, index: int, event: api.Event) -> None:
            nonlocal number
            number += 1
            heapq.heappush(due, (at, number, index, event))

        entry = api.ServerEntry(NEW, api.Health.UP, "a", 0, 1.0, base + BEFORE)
        for index in range(LIMITERS):
            late = index < self.fresh * LIMITERS
            begin = base + (BEFORE if late else 0.0) + 0.01 * rng.random()
            put(begin, index, w.servers(*names))
            put(max(begin, base + BEFORE + rng.uniform(*self.told)), index, api.ServerList((entry,), False))
            put(begin + rng.expovariate(rates[index]), index, w.request(0))
        until = base + BEFORE + SETTINGS.warm_after + 1
        while due and (now := due[0][0]) < until:
            _, _, index, event = heapq.heappop(due)
            gateway = fleet[index]
            if gateway is None:
                gateway = fleet[index] = Gateway(
                    replace(SETTINGS, index=index), self.seed * 1000 + index, now
                )
            if isinstance(event, api.Request):
                number += 1
                event = replace(event, id=number)
                put(now + rng.expovariate(2 * rates[index]), index, event)
                if rng.random() >= self.level(now - base - BEFORE) / 2:
                    continue
            for action in gateway.handle(now, event):
                if isinstance(action, api.SetTimer):
                    put(now + action.delay, index, api.TimerFired(action.token))
                elif isinstance(action, api.Send):
                    if action.server == NEW:
                        self.sent.append(now - base - BEFORE)
                    put(now + 0.1, index, w.outcome(action.id, 0, action.server, Status.OK))
        return self

    def level(self, age: float) -> float:
        """Traffic beside the steady."""
        return 1.0 if not self.wave or not 2 <= age < 5 else 0.0 if age < 3 else 2.0

    def allowed(self, age: float) -> float:
        """N of the time that begins at an age."""
        low = SETTINGS.cold_share
        able = self.able * min(1.0, low + (1 - low) * max(0.0, age) / SETTINGS.warm_after)
        return SETTINGS.fall_multiple * able * SETTINGS.fall_window

    def nearest(self) -> float:
        """The most that was sent within the settings' time, as a part of what fells the server."""
        worst = 0.0
        for first, at in enumerate(self.sent):
            n = self.allowed(at)
            much = sum(at <= other < at + SETTINGS.fall_window for other in self.sent[first:])
            worst = max(worst, much / (n + 2 * math.sqrt(n) + 2))
        return worst

    def used(self) -> float:
        """What was sent from when all knew until it was warm, beside as much as keeps it as busy as the others."""
        begin, end = self.told[1] + SETTINGS.fall_window, SETTINGS.warm_after
        does = self.allowed((begin + end) / 2) / SETTINGS.fall_multiple / SETTINGS.fall_window
        return sum(begin <= at < end for at in self.sent) / (does * self.busy * (end - begin))


@pytest.mark.parametrize(
    "day",
    [Day(1), Day(2, even=True), Day(3, able=12.0), Day(4, fresh=0.7), Day(5, told=(0.0, 0.0), wave=True)],
    ids=["uneven", "even", "thin", "restarted", "silent, then a burst"],
)
def test_two_hundred_limiters_keep_a_cold_server_as_busy_as_the_others_and_never_push_it_over(
    day: Day,
) -> None:
    day.play()
    assert day.nearest() < 1.0
    assert day.used() > 0.7
