"""Measures how well a replay keeps the captured intervals between requests, by rate and speed.

    python -m benchmarks.replay_timing [--seconds 8]

A server in a separate process responds immediately. For each captured rate and speed, prints the 99th percentile of
the difference between the planned and actual intervals of two requests, next to that of a bare loop that only sleeps
and records the time (the baseline, which shows the precision of the machine's timers).
"""

from __future__ import annotations

import argparse
import asyncio
import subprocess
import sys
import time
from random import Random

import uvloop

from benchmarks.cpu_per_request import HOST, Server, wait_until_listening
from cypresspulley.capture.arrivals import ReplayOptions
from cypresspulley.capture.planning import build_plan
from cypresspulley.capture.replay import percentile, replay_against
from cypresspulley.rehearsal.limiters import free_port
from cypresspulley.rehearsal.scenario import load_scenario
from tests.capture.truth import generate_traffic


async def run_server(port: int) -> None:
    server = await asyncio.get_running_loop().create_server(Server, HOST, port)
    await server.serve_forever()


async def sleep_until_times(times: list[float]) -> list[float]:
    """Return the times at which a loop that does nothing else wakes up, in seconds from its start."""
    start, real = time.monotonic(), list[float]()
    for t in times:
        if (wait := start + t - time.monotonic()) > 0:
            await asyncio.sleep(wait)
        real.append(time.monotonic() - start)
    return real


def interval_error_p99(wanted: list[float], real: list[float]) -> float:
    """Return the 99th percentile of the deviation of intervals from the planned ones, in milliseconds."""
    pairs = zip(wanted, wanted[1:], real, real[1:], strict=False)
    return percentile([abs((d - c) - (b - a)) * 1000 for a, b, c, d in pairs], 99)


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--serve", type=int, help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.serve:
        return uvloop.run(run_server(options.serve))
    port = free_port(HOST)
    child = subprocess.Popen([sys.executable, "-m", "benchmarks.replay_timing", "--serve", str(port)])
    try:
        uvloop.run(wait_until_listening(port))
        for rate in (100, 1000):
            for speed in (0.5, 1.0, 4.0):
                measure_replay(rate, speed, options.seconds, f"{HOST}:{port}")
    finally:
        child.terminate()
        child.wait()
    return None


def measure_replay(rate: float, speed: float, seconds: float, target: str) -> None:
    base = load_scenario("calm-morning")
    truth = generate_traffic(Random(1), seconds * speed, rate / 1.2, accounts=200)  # a fifth is retried
    replay_scenario, plan = build_plan(truth.attempts, base, ReplayOptions(speed), 1)
    report = uvloop.run(replay_against(replay_scenario, plan, (target,)))
    wanted = [a.t for a in plan.arrivals]
    real = [t + late / 1000 for t, late in zip(wanted, report.late, strict=True)]
    bare_error = interval_error_p99(wanted, uvloop.run(sleep_until_times(wanted)))
    replay_error, late = interval_error_p99(wanted, real), percentile(report.late, 99)
    print(
        f"{rate:5g}/s captured, speed {speed:g}: {report.sent} sent, distances off by {replay_error:.2f} ms (p99), "
        f"bare loop {bare_error:.2f} ms; late p99 {late:.1f} ms; answers {dict(report.statuses)}"
    )


if __name__ == "__main__":
    main()
