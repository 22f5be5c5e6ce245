"""Many limiters in one process, and servers that start cold among warm ones: what all send to each, and what fells it.

A cold server falls at more than N + 2 sqrt(N) + 2 requests of mean work in the settings' time, N being what the
settings allow it then. No limiter sees what the others send; see ``docs/design/large-fleet.md``.
"""

from __future__ import annotations

import heapq
import math
from dataclasses import dataclass, field, replace
from random import Random

from cypresspulley import interface as api
from cypresspulley.interface import Status
from cypresspulley.policy.gateway import Gateway
from tests import world as w

BEFORE = 8.0  # seconds of traffic before the start
ROOM = 0.3  # seconds of work that wait at a server, from where it turns away
SETTINGS = w.settings(
    gateways=200, has_counter=False, cold_share=0.25, warm_after=10.0, fall_multiple=2.5, fall_window=2.0
)


@dataclass
class Day:
    """Steady traffic; after ``BEFORE`` seconds servers start cold. Times are seconds of the day.

    ``able``: requests a second that a warm server bears. ``busy``: the share of it that each warm server is asked for.
    ``told``: when limiters hear of the start, after it.
    """

    seed: int
    able: float = 25.0
    busy: float = 1.0
    even: bool = False  # traffic; else log-normal, sigma 1
    told: tuple[float, float] = (0.2, 1.0)
    fresh: float = 0.0  # share of the limiters that start with the server, and know nothing
    joining: float = 0.0  # share of the limiters that start during the ramp, and know nothing
    wave: tuple[float, float, float] = (
        0.0,
        0.0,
        0.0,
    )  # silence at all limiters from, until; then a burst until
    burst: float = 2.0  # traffic of the burst, beside the steady
    limiters: int = 200
    servers: int = 24  # that are warm
    starts: int = 1  # servers that start together
    replaced: int = 0  # warm ones that go with the start
    unseen: bool = (
        False  # they started cold long before, crash for the last 1.5 s before, and no list tells of it
    )
    queues: bool = (
        False  # servers bear ``able`` a second, more waits or is refused; else all answer after 0.1 s
    )
    settings: api.Settings = SETTINGS
    probes: list[float] = field(
        default_factory=list
    )  # ages of new servers when they were probed, not the crashed
    sent: dict[str, list[float]] = field(
        default_factory=dict
    )  # when requests went to a new server, after its start

    def play(self) -> Day:
        rng, names = Random(self.seed), [f"s{n}" for n in range(self.servers)]
        weights = [1.0 if self.even else rng.lognormvariate(0, 1.0) for _ in range(self.limiters)]
        rates = [self.able * self.busy * self.servers * weight / sum(weights) for weight in weights]
        base, number = 1000.0, 0
        self.sent = {f"new{n}": [] for n in range(self.starts)}
        settings = replace(self.settings, gateways=self.limiters)
        fleet: list[Gateway | None] = [None] * self.limiters
        due, attempts, free = list[tuple[float, int, int, api.Event]](), dict[int, int](), dict[str, float]()
        begins = list[float]()

        def put(at: float, index: int, event: api.Event) -> None:
            nonlocal number
            number += 1
            heapq.heappush(due, (at, number, index, event))

        first = base if self.unseen else base + BEFORE
        new = tuple(api.ServerEntry(name, api.Health.UP, "a", 0, 1.0, first) for name in self.sent)
        gone = tuple(api.ServerEntry(n, api.Health.GONE, "a", 0, 1.0, 0.0) for n in names[: self.replaced])
        for index in range(self.limiters):
            late = BEFORE if index < self.fresh * self.limiters else 0.0
            if index >= self.limiters - self.joining * self.limiters:
                late = BEFORE + settings.warm_after * rng.random()
            begins.append(base + late + 0.01 * rng.random())
            put(begins[index], index, w.servers(*names))
            told = max(begins[index], base + (0.0 if self.unseen else BEFORE) + rng.uniform(*self.told))
            put(told, index, api.ServerList(new + gone, False))
            asked = base if self.queues else begins[index]
            put(asked + rng.expovariate(rates[index]), index, w.request(0))
        until = base + BEFORE + settings.warm_after + 1
        while due and (now := due[0][0]) < until:
            _, _, index, event = heapq.heappop(due)
            if isinstance(event, api.Request):
                number += 1
                event = replace(event, id=number)
                put(now + rng.expovariate(self.burst * rates[index]), index, event)
                if rng.random() >= self.level(now - base - BEFORE) / self.burst:
                    continue
                if now < begins[index]:  # its clients come by another one until it is there
                    index = rng.choice([n for n, begin in enumerate(begins) if begin <= now] or [index])
                    if now < begins[index]:
                        continue
            gateway = fleet[index]
            if gateway is None:
                made = replace(settings, index=index)
                gateway = fleet[index] = Gateway(made, self.seed * 1000 + index, now)
            for action in gateway.handle(now, event):
                if isinstance(action, api.SetTimer):
                    put(now + action.delay, index, api.TimerFired(action.token))
                elif isinstance(action, api.Probe):
                    down = self.unseen and action.server in self.sent and -1.5 <= now - base - BEFORE < 0
                    self.probes += [now - base - BEFORE] * (action.server in self.sent and not down)
                    status = Status.UNREACHABLE if down else Status.OK
                    put(now + 0.05, index, api.Probed(action.server, status, 0.05, {}))
                elif isinstance(action, api.Send):
                    if action.server in self.sent and now >= base + BEFORE:
                        self.sent[action.server].append(now - base - BEFORE)
                    attempt = attempts[action.id] = attempts.get(action.id, -1) + 1
                    takes, status = 0.1, Status.OK
                    if self.queues:
                        cold = action.server in self.sent
                        able = self.able * (self.warmth(now - base - BEFORE) if cold else 1.0)
                        begin = max(now, free.get(action.server, 0.0) - max(0.1, 1 / able))
                        if begin - now > ROOM:
                            takes, status = 0.005, Status.FULL
                        else:
                            free[action.server] = max(now, free.get(action.server, 0.0)) + 1 / able
                            takes += begin - now
                        if takes > action.timeout:
                            takes, status = action.timeout, Status.TIMEOUT
                    if self.unseen and action.server in self.sent and -1.5 <= now - base - BEFORE < 0:
                        takes, status = 0.01, Status.UNREACHABLE
                    put(now + takes, index, w.outcome(action.id, attempt, action.server, status, takes))
        return self

    def level(self, age: float) -> float:
        """Traffic beside the steady."""
        silent, loud, over = self.wave
        return 1.0 if not silent <= age < over else 0.0 if age < loud else self.burst

    def warmth(self, age: float) -> float:
        low = self.settings.cold_share
        return min(1.0, low + (1 - low) * max(0.0, age) / max(1e-9, self.settings.warm_after))

    def allowed(self, age: float) -> float:
        """N of the time that begins at an age."""
        return self.settings.fall_multiple * self.able * self.warmth(age) * self.settings.fall_window

    def nearest(self, name: str) -> float:
        """The most that was sent to a new server within the settings' time, as a part of what fells it."""
        worst, sent = 0.0, self.sent[name]
        for first, at in enumerate(sent):
            n = self.allowed(at)
            much = 0
            for other in sent[first:]:
                if other >= at + self.settings.fall_window:
                    break
                much += 1
            worst = max(worst, much / (n + 2 * math.sqrt(n) + 2))
        return worst

    def worst(self) -> float:
        return max(self.nearest(name) for name in self.sent)

    def fell(self) -> int:
        """Servers that fell."""
        return sum(self.nearest(name) > 1 for name in self.sent)

    def used(self) -> float:
        """What was sent from when all knew until all were warm, beside as much as keeps them as busy as the others."""
        begin, end = self.told[1] + self.settings.fall_window, self.settings.warm_after
        does = self.able * self.warmth((begin + end) / 2)
        late = sum(begin <= at < end for sent in self.sent.values() for at in sent)
        return late / (does * self.busy * (end - begin)) / self.starts
