"""A simulation of many limiters in one process and of servers that start cold among warm ones.

It records what all limiters together send to each cold server, and whether that overloads it. A cold server is
overloaded by more than N + 2 sqrt(N) + 2 requests of mean work in the settings' window, N being what the settings allow
it then. No limiter sees what the others send; see ``docs/design/large-fleet.md``.
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

LEAD_SECONDS = 8.0  # traffic before the start
MAX_QUEUE_SECONDS = 0.3  # work that waits at a server before it refuses more
SETTINGS = w.settings(
    gateways=200, has_counter=False, cold_share=0.25, warm_after=10.0, fall_multiple=2.5, fall_window=2.0
)


@dataclass
class ColdStartSimulation:
    """Steady traffic during which servers start cold after ``LEAD_SECONDS``.

    Ages are in seconds since the start.
    """

    seed: int
    server_rate: float = 25.0  # requests per second that a warm server can finish
    utilization: float = 1.0  # share of that rate that the traffic asks of each warm server
    is_even: bool = False  # traffic is the same at each limiter; else log-normal with sigma 1
    notice_ages: tuple[float, float] = (0.2, 1.0)  # range of ages at which limiters learn of the start
    fresh_share: float = 0.0  # share of the limiters that start together with the servers, without any state
    joining_share: float = 0.0  # share of the limiters that start during the slow start, without any state
    # Ages at which traffic stops at all limiters, at which it resumes as a burst, and at which the burst ends.
    gap_and_burst: tuple[float, float, float] = (0.0, 0.0, 0.0)
    burst_factor: float = 2.0  # traffic of the burst relative to the steady traffic
    limiters: int = 200
    servers: int = 24  # warm ones
    starts: int = 1  # servers that start together
    replaced: int = 0  # warm servers that leave at the start
    # The servers started cold long before, are unreachable for the last 1.5 s before the start, and no server list
    # tells of it.
    is_unlisted_restart: bool = False
    # Servers finish ``server_rate`` requests per second, and more waits or is refused; else all answer after 0.1 s.
    has_queues: bool = False
    settings: api.Settings = SETTINGS
    probe_ages: list[float] = field(
        default_factory=list
    )  # of probes of new servers, but for unreachable ones
    send_ages: dict[str, list[float]] = field(default_factory=dict)  # of requests to each new server

    def run(self) -> ColdStartSimulation:
        """Run the simulation to the end of the slow start."""
        rng, names = Random(self.seed), [f"s{n}" for n in range(self.servers)]
        weights = [1.0 if self.is_even else rng.lognormvariate(0, 1.0) for _ in range(self.limiters)]
        rates = [
            self.server_rate * self.utilization * self.servers * weight / sum(weights) for weight in weights
        ]
        base, number = 1000.0, 0
        self.send_ages = {f"new{n}": [] for n in range(self.starts)}
        settings = replace(self.settings, gateways=self.limiters)
        gateways: list[Gateway | None] = [None] * self.limiters
        events, attempts, free_at = (
            list[tuple[float, int, int, api.Event]](),
            dict[int, int](),
            dict[str, float](),
        )
        begins = list[float]()

        def put(at: float, index: int, event: api.Event) -> None:
            nonlocal number
            number += 1
            heapq.heappush(events, (at, number, index, event))

        born = base if self.is_unlisted_restart else base + LEAD_SECONDS
        new = tuple(api.ServerEntry(name, api.Health.UP, "a", 0, 1.0, born) for name in self.send_ages)
        gone = tuple(api.ServerEntry(n, api.Health.GONE, "a", 0, 1.0, 0.0) for n in names[: self.replaced])
        for index in range(self.limiters):
            delay = LEAD_SECONDS if index < self.fresh_share * self.limiters else 0.0
            if index >= self.limiters - self.joining_share * self.limiters:
                delay = LEAD_SECONDS + settings.warm_after * rng.random()
            begins.append(base + delay + 0.01 * rng.random())
            put(begins[index], index, w.servers(*names))
            notice_at = max(
                begins[index],
                base + (0.0 if self.is_unlisted_restart else LEAD_SECONDS) + rng.uniform(*self.notice_ages),
            )
            put(notice_at, index, api.ServerList(new + gone, False))
            traffic_from = base if self.has_queues else begins[index]
            put(traffic_from + rng.expovariate(rates[index]), index, w.request(0))
        until = base + LEAD_SECONDS + settings.warm_after + 1
        while events and (now := events[0][0]) < until:
            _, _, index, event = heapq.heappop(events)
            if isinstance(event, api.Request):
                number += 1
                event = replace(event, id=number)
                put(now + rng.expovariate(self.burst_factor * rates[index]), index, event)
                if rng.random() >= self.traffic_factor(now - base - LEAD_SECONDS) / self.burst_factor:
                    continue
                if now < begins[index]:  # until this limiter has started, its clients use another one
                    index = rng.choice([n for n, begin in enumerate(begins) if begin <= now] or [index])
                    if now < begins[index]:
                        continue
            gateway = gateways[index]
            if gateway is None:
                gateway_settings = replace(settings, index=index)
                gateway = gateways[index] = Gateway(gateway_settings, self.seed * 1000 + index, now)
            for action in gateway.handle(now, event):
                if isinstance(action, api.SetTimer):
                    put(now + action.delay, index, api.TimerFired(action.token))
                elif isinstance(action, api.Probe):
                    down = (
                        self.is_unlisted_restart
                        and action.server in self.send_ages
                        and -1.5 <= now - base - LEAD_SECONDS < 0
                    )
                    self.probe_ages += [now - base - LEAD_SECONDS] * (
                        action.server in self.send_ages and not down
                    )
                    status = Status.UNREACHABLE if down else Status.OK
                    put(now + 0.05, index, api.Probed(action.server, status, 0.05, {}))
                elif isinstance(action, api.Send):
                    if action.server in self.send_ages and now >= base + LEAD_SECONDS:
                        self.send_ages[action.server].append(now - base - LEAD_SECONDS)
                    attempt = attempts[action.id] = attempts.get(action.id, -1) + 1
                    latency, status = 0.1, Status.OK
                    if self.has_queues:
                        cold = action.server in self.send_ages
                        rate = self.server_rate * (self.warmth(now - base - LEAD_SECONDS) if cold else 1.0)
                        begin = max(now, free_at.get(action.server, 0.0) - max(0.1, 1 / rate))
                        if begin - now > MAX_QUEUE_SECONDS:
                            latency, status = 0.005, Status.FULL
                        else:
                            free_at[action.server] = max(now, free_at.get(action.server, 0.0)) + 1 / rate
                            latency += begin - now
                        if latency > action.timeout:
                            latency, status = action.timeout, Status.TIMEOUT
                    if (
                        self.is_unlisted_restart
                        and action.server in self.send_ages
                        and -1.5 <= now - base - LEAD_SECONDS < 0
                    ):
                        latency, status = 0.01, Status.UNREACHABLE
                    put(now + latency, index, w.outcome(action.id, attempt, action.server, status, latency))
        return self

    def traffic_factor(self, age: float) -> float:
        """Return the traffic relative to the steady traffic."""
        gap_from, burst_from, burst_until = self.gap_and_burst
        return 1.0 if not gap_from <= age < burst_until else 0.0 if age < burst_from else self.burst_factor

    def warmth(self, age: float) -> float:
        """Return the share of its warm rate that a cold server can do, by the settings."""
        low = self.settings.cold_share
        return min(1.0, low + (1 - low) * max(0.0, age) / max(1e-9, self.settings.warm_after))

    def allowed_requests(self, age: float) -> float:
        """Return N, the requests that the settings allow in the window that begins at an age."""
        return self.settings.fall_multiple * self.server_rate * self.warmth(age) * self.settings.fall_window

    def worst_window_of(self, name: str) -> float:
        """Return the most that was sent to a new server in any window, relative to what overloads it."""
        worst, ages = 0.0, self.send_ages[name]
        for first, age in enumerate(ages):
            n = self.allowed_requests(age)
            count = 0
            for other in ages[first:]:
                if other >= age + self.settings.fall_window:
                    break
                count += 1
            worst = max(worst, count / (n + 2 * math.sqrt(n) + 2))
        return worst

    def worst_window(self) -> float:
        """Return the most that was sent to any new server in any window, relative to what overloads it."""
        return max(self.worst_window_of(name) for name in self.send_ages)

    def overloaded_servers(self) -> int:
        """Return the number of new servers that were overloaded."""
        return sum(self.worst_window_of(name) > 1 for name in self.send_ages)

    def used_share(self) -> float:
        """Return what was sent to the new servers relative to what keeps them as busy as the others.

        Counted from when all limiters know of the start until the servers are warm.
        """
        begin, end = self.notice_ages[1] + self.settings.fall_window, self.settings.warm_after
        rate = self.server_rate * self.warmth((begin + end) / 2)
        sent = sum(begin <= age < end for ages in self.send_ages.values() for age in ages)
        return sent / (rate * self.utilization * (end - begin)) / self.starts
