"""Processor time of a request's decisions with 12 and with 60 servers: ``python -m benchmarks.fleet_size_cpu``.

One gateway without sockets handles the same requests at the same rate, with answers, load reports and ticks. The sizes
alternate, so that a slow period of the machine affects both. Prints the microseconds per request at each size and their
ratio, for one of 3 limiters, which sends to each server often, and for one of 40, which sends to each rarely. The exit
code is 1 where the ratio is over ``--most``.
"""

from __future__ import annotations

import argparse
import heapq
import statistics
import sys
import time
from random import Random

from cypresspulley import interface as api
from cypresspulley.policy.gateway import Gateway

SIZES = (12, 60)
REQUEST_RATE = 60.0  # requests per second: a limiter's share of heavy traffic
MEAN_LATENCY = 0.15  # seconds


def settings(gateways: int) -> api.Settings:
    classes = (
        api.RequestClass("lookup", aim=1.2, worth=2.0, effect=api.Effect.SAFE),
        api.RequestClass("post", aim=2.0, worth=5.0, effect=api.Effect.UNSAFE),
    )
    plans = (api.Plan("standard", rate=50.0, burst=200.0, over_cost=0.5),)
    return api.Settings(
        index=0, gateways=gateways, zone="a", classes=classes, plans=plans, max_attempts=4, may_cancel=True,
        cold_share=0.3, warm_after=10.0, fall_multiple=2.5, fall_window=2.0,
    )  # fmt: skip


def run(servers: int, gateways: int, requests: int, seed: int) -> float:
    """Return the seconds of processor time that a gateway takes for a number of requests."""
    rng = Random(seed)
    gateway = Gateway(settings(gateways), seed, 0.0)
    entries = tuple(api.ServerEntry(f"s{n}", api.Health.UP, "abc"[n % 3], n // 3) for n in range(servers))
    gateway.handle(0.0, api.ServerList(entries, True))
    coming = list[tuple[float, int, api.Event]]()  # time, tie-breaker, event
    at, number = 0.0, 0
    for id in range(requests):
        at += rng.expovariate(REQUEST_RATE)
        kind = "lookup" if rng.random() < 0.7 else "post"
        coming.append((at, id, api.Request(id, kind, "standard", 3.0, f"a{id % 50}", 1.0, 3)))
    number = requests
    heapq.heapify(coming)
    began = time.process_time()
    while coming:
        now, _, event = heapq.heappop(coming)
        for action in gateway.handle(now, event):
            number += 1
            if isinstance(action, api.Send):
                took = rng.expovariate(1 / MEAN_LATENCY)
                report = {"inflight": float(rng.randint(0, 6))}
                ended = api.Outcome(action.id, 0, action.server, api.Status.OK, took, True, report)
                if took < action.timeout:
                    heapq.heappush(coming, (now + took, number, ended))
            elif isinstance(action, api.SetTimer) and now < at:
                heapq.heappush(coming, (now + action.delay, number, api.TimerFired(action.token)))
    return time.process_time() - began


def main(arguments: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(description=__doc__.split("\n", 1)[0])
    parser.add_argument("--requests", type=int, default=6000)
    parser.add_argument("--rounds", type=int, default=7)
    parser.add_argument("--most", type=float, default=1.6, help="the ratio that is still right")
    options = parser.parse_args(arguments)
    worst = 0.0
    for gateways in (3, 40):
        took: dict[int, list[float]] = {size: [] for size in SIZES}
        for seed in range(options.rounds):
            for size in SIZES:
                took[size].append(run(size, gateways, options.requests, seed) / options.requests * 1e6)
        few, many = (statistics.median(took[size]) for size in SIZES)
        worst = max(worst, many / few)
        spread = ", ".join(f"{size}: {min(took[size]):.0f} to {max(took[size]):.0f}" for size in SIZES)
        print(
            f"of {gateways:2} limiters: {few:.0f} us at 12 servers, {many:.0f} at 60, {many / few:.2f} times ({spread})"
        )
    return int(worst > options.most)


if __name__ == "__main__":
    sys.exit(main())
