"""Overloads of cold servers in a simulation, and a bound on them: ``python -m benchmarks.cold_starts [--seeds 8]``.

The decisions of all limiters run in one process, with servers of a fixed rate, some of which start cold; see
``tests/cold_start.py`` and "Cold servers" in ``docs/design/large-fleet.md``. A case is a fleet, a traffic and a size of
N; each server that starts is one start. For each case the command prints the starts, the overloaded servers, the bound
on the probability that a start overloads the server, the most that was sent in any window relative to what overloads
it, and what was sent relative to what keeps it as busy as the others, once all limiters know of it.
"""

from __future__ import annotations

import argparse
import math
import sys
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, replace

from cypresspulley import interface as api
from cypresspulley.policy.load_balancer import MAX_COLD_LOAD_SHARE, STEADY_COLD_LOAD_SHARE
from tests.cold_start import SETTINGS, ColdStartSimulation

STEP_SECONDS = 0.05  # of the sum over the slow start
DEFAULT_JOBS = 2


def poisson_tail(mean: float, least: int) -> float:
    """Return the probability that a Poisson variable of a mean is ``least`` or more."""
    if least <= 0:
        return 1.0
    term, total = math.exp(least * math.log(mean) - mean - math.lgamma(least + 1)) if mean > 0 else 0.0, 0.0
    while term > 1e-18:
        total, least = total + term, least + 1
        term *= mean / least
    return min(1.0, total)


def overload_probability(server_rate: float, settings: api.Settings, silent_until: float = 0.0) -> float:
    """Return a bound on the probability that a start overloads the server.

    ``server_rate`` is the number of requests per second that it can finish when warm. A window of the rule may be
    assumed to begin with a request. What all limiters send is taken for a Poisson stream of at most
    ``STEADY_COLD_LOAD_SHARE`` of N in a window. The sum runs over the requests that are expected during the slow start,
    each with the probability that it and those after it are too many. In the windows after a common silence, which ends
    at the age ``silent_until`` (0: none), the saved budget is added: ``MAX_COLD_LOAD_SHARE`` of N in all.
    """
    low, slow_start, window = settings.cold_share, settings.warm_after, settings.fall_window
    share, total, age = min(STEADY_COLD_LOAD_SHARE, 1 / settings.fall_multiple), 0.0, 0.0

    def allowed(age: float) -> float:
        return settings.fall_multiple * server_rate * window * min(1.0, low + (1 - low) * age / slow_start)

    while age < slow_start:
        n = allowed(age)
        saved = (
            (MAX_COLD_LOAD_SHARE - share) * n if silent_until and 0 <= age - silent_until < window else 0.0
        )
        least = math.floor(n + 2 * math.sqrt(n) + 2) + 1
        following = share * (n + allowed(age + window)) / 2 + saved
        total += (share * n + saved) / window * STEP_SECONDS * poisson_tail(following, least - 1)
        age += STEP_SECONDS
    return min(1.0, total)


@dataclass(frozen=True)
class Case:
    """A fleet, a traffic and a size of N."""

    name: str
    simulation: ColdStartSimulation
    silent_until: float = 0.0

    def run(self, seed: int) -> ColdStartSimulation:
        return replace(self.simulation, seed=seed, send_ages={}, probe_ages=[]).run()

    def bound(self) -> float:
        return overload_probability(self.simulation.server_rate, self.simulation.settings, self.silent_until)


# N grows from 1 to 4, 3 to 12, 12 to 50 and 31 to 125 during the slow start.
SIZES = {
    "N 1": (4.0, replace(SETTINGS, fall_window=0.5, fall_multiple=2.0)),
    "N 3": (6.0, replace(SETTINGS, fall_window=1.0, fall_multiple=2.0)),
    "N 12": (10.0, SETTINGS),
    "N 31": (25.0, SETTINGS),
}


def cases() -> Iterator[Case]:
    for limiters in (20, 30, 230):
        for size, (server_rate, settings) in SIZES.items():
            base = ColdStartSimulation(
                0, server_rate, 0.85, limiters=limiters, starts=4, has_queues=True, settings=settings
            )
            for even in (True, False):
                which = f"{limiters}, {size}, {'even' if even else 'uneven'}"
                yield Case(which, replace(base, is_even=even))
            yield Case(f"{limiters}, {size}, starting together", replace(base, fresh_share=0.7))
            yield Case(f"{limiters}, {size}, joining", replace(base, joining_share=0.5))
            most = replace(base, is_even=True, replaced=16, starts=16)
            yield Case(f"{limiters}, {size}, two thirds replaced", most)
            wave = replace(base, notice_ages=(0.0, 0.0), gap_and_burst=(0.2, 4.0, 7.0), burst_factor=3.0)
            yield Case(f"{limiters}, {size}, silence, then a burst", wave, silent_until=4.0)


CASES = tuple(cases())


def run_case(job: tuple[Case, int]) -> tuple[int, int, float, float]:
    simulation = job[0].run(job[1])
    return (
        len(simulation.send_ages),
        simulation.overloaded_servers(),
        simulation.worst_window(),
        simulation.used_share(),
    )


def main() -> int:
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    parser.add_argument("--seeds", type=int, default=8, help="days of a row; each has 4 or 16 starts")
    parser.add_argument("--jobs", type=int, default=DEFAULT_JOBS)
    options = parser.parse_args()
    starts = falls = 0
    with ProcessPoolExecutor(options.jobs) as pool:
        print(f"{'limiters, N at the start, traffic':44} starts falls   bound worst  used")
        for case in CASES:
            done = list(pool.map(run_case, [(case, seed) for seed in range(1, options.seeds + 1)]))
            count, fell = sum(d[0] for d in done), sum(d[1] for d in done)
            used = sum(d[3] for d in done) / len(done)
            worst = max(d[2] for d in done)
            print(
                f"{case.name:44} {count:6} {fell:5} {case.bound():7.1e} {worst:5.2f} {used:5.2f}", flush=True
            )
            starts, falls = starts + count, falls + fell
    print(f"{falls} of {starts} starts fell")
    return 1 if falls else 0


if __name__ == "__main__":
    sys.exit(main())
