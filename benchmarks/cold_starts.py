"""Measured falls of cold servers beside the bound on their chance: ``python -m benchmarks.cold_starts [--seeds 8]``.

All limiters' decisions stand in one process with servers that bear so much a second, some of which start cold; see
``tests/cold_start.py`` and "Cold servers" in ``docs/design/large-fleet.md``. A row is a fleet, a traffic and a size of
N; each server that starts is one start. Printed: starts, falls, the bound on the chance of a fall at a start, the most
that was sent in any window as a part of what fells the server, and what was sent beside what keeps it as busy as the
others (once all limiters know of it).
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
from tests.cold_start import SETTINGS, Day

STEP = 0.05  # seconds of the sum over the ramp
JOBS = 2


def poisson_tail(mean: float, least: int) -> float:
    """The chance that a Poisson variable of a mean is ``least`` or more."""
    if least <= 0:
        return 1.0
    term, total = math.exp(least * math.log(mean) - mean - math.lgamma(least + 1)) if mean > 0 else 0.0, 0.0
    while term > 1e-18:
        total, least = total + term, least + 1
        term *= mean / least
    return min(1.0, total)


def chance(able: float, settings: api.Settings, silent_until: float = 0.0) -> float:
    """A bound on the chance that a server falls at one start; ``able``: requests a second that it bears warm.

    A window of the rule may as well begin with a request. What all send is taken for a Poisson stream of ``STEADY``
    of N at most in a window: the sum runs over the requests that are expected in the ramp, each with the chance that
    it and those behind it are too many. In the windows behind a common silence (its end's age; 0: none) what was
    saved up comes on top: ``COLD`` of N in all.
    """
    low, ramp, window = settings.cold_share, settings.warm_after, settings.fall_window
    part, total, age = min(STEADY_COLD_LOAD_SHARE, 1 / settings.fall_multiple), 0.0, 0.0

    def allowed(age: float) -> float:
        return settings.fall_multiple * able * window * min(1.0, low + (1 - low) * age / ramp)

    while age < ramp:
        n = allowed(age)
        saved = (MAX_COLD_LOAD_SHARE - part) * n if silent_until and 0 <= age - silent_until < window else 0.0
        least = math.floor(n + 2 * math.sqrt(n) + 2) + 1
        behind = part * (n + allowed(age + window)) / 2 + saved
        total += (part * n + saved) / window * STEP * poisson_tail(behind, least - 1)
        age += STEP
    return min(1.0, total)


@dataclass(frozen=True)
class Row:
    """A fleet, a traffic, a size."""

    name: str
    day: Day
    silent_until: float = 0.0

    def play(self, seed: int) -> Day:
        return replace(self.day, seed=seed, sent={}, probes=[]).play()

    def bound(self) -> float:
        return chance(self.day.able, self.day.settings, self.silent_until)


# N from 1 to 4, 3 to 12, 12 to 50, 31 to 125 over the ramp.
SIZES = {
    "N 1": (4.0, replace(SETTINGS, fall_window=0.5, fall_multiple=2.0)),
    "N 3": (6.0, replace(SETTINGS, fall_window=1.0, fall_multiple=2.0)),
    "N 12": (10.0, SETTINGS),
    "N 31": (25.0, SETTINGS),
}


def rows() -> Iterator[Row]:
    for limiters in (20, 30, 230):
        for size, (able, settings) in SIZES.items():
            base = Day(0, able, 0.85, limiters=limiters, starts=4, queues=True, settings=settings)
            for even in (True, False):
                which = f"{limiters}, {size}, {'even' if even else 'uneven'}"
                yield Row(which, replace(base, even=even))
            yield Row(f"{limiters}, {size}, starting together", replace(base, fresh=0.7))
            yield Row(f"{limiters}, {size}, joining", replace(base, joining=0.5))
            most = replace(base, even=True, replaced=16, starts=16)
            yield Row(f"{limiters}, {size}, two thirds replaced", most)
            wave = replace(base, told=(0.0, 0.0), wave=(0.2, 4.0, 7.0), burst=3.0)
            yield Row(f"{limiters}, {size}, silence, then a burst", wave, silent_until=4.0)


ROWS = tuple(rows())


def play(job: tuple[Row, int]) -> tuple[int, int, float, float]:
    day = job[0].play(job[1])
    return len(day.sent), day.fell(), day.worst(), day.used()


def main() -> int:
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    parser.add_argument("--seeds", type=int, default=8, help="days of a row; each has 4 or 16 starts")
    parser.add_argument("--jobs", type=int, default=JOBS)
    options = parser.parse_args()
    starts = falls = 0
    with ProcessPoolExecutor(options.jobs) as pool:
        print(f"{'limiters, N at the start, traffic':44} starts falls   bound worst  used")
        for row in ROWS:
            done = list(pool.map(play, [(row, seed) for seed in range(1, options.seeds + 1)]))
            count, fell = sum(d[0] for d in done), sum(d[1] for d in done)
            used = sum(d[3] for d in done) / len(done)
            worst = max(d[2] for d in done)
            print(f"{row.name:44} {count:6} {fell:5} {row.bound():7.1e} {worst:5.2f} {used:5.2f}", flush=True)
            starts, falls = starts + count, falls + fell
    print(f"{falls} of {starts} starts fell")
    return 1 if falls else 0


if __name__ == "__main__":
    sys.exit(main())
