"""Checks that ceilings hold while the wall clock steps, over many drawn cases and the grid of the worst ones.

    python -m benchmarks.stepped_clock [--seeds 2000] [--first 0] [--jobs 4]

Prints how many cases pass the ceiling beyond the rule's slack, the worst of them, and which share of the ceiling is
used after a step and without a step. The exit code is 1 where a ceiling is passed.
"""

from __future__ import annotations

import argparse
import sys
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace
from statistics import median

from tests.stepped_clock import Case, Play, Result, Trouble, drawn

WINDOWS = (0.5, 2.0, 10.0, 60.0)  # seconds
STEP_SIZES = (0.5, 1.0, 2.0, 2.125, 2.25, 2.375, 2.5, 3.0)  # windows
PHASES = (0.0, 0.05, 0.5)  # of a window
RESTARTS = ((0.0, 0.0), (0.04, 0.15), (0.5, 0.0), (0.5, 1.05), (1.0, 0.0), (1.0, 1.05))  # share, windows
MAX_PRINTED = 5  # cases to print


def grid() -> list[Case]:
    """Return the cases whose steps are about as long as windows and counts live."""
    return [
        Case(seed, window, 30, (sign * back * window,), phase, restarted=restarted, restart=restart)
        for seed in range(2)
        for window in WINDOWS
        for sign in (-1, 1)
        for back in STEP_SIZES
        for phase in PHASES
        for restarted, restart in RESTARTS
    ]


def run_case(case: Case) -> tuple[Case, Result, float]:
    """Return the case, its result, and the share of its ceiling that is used with no step and no restart."""
    unstepped = Play(replace(case, steps=(0.0,), restarted=0.0)).run()
    return case, Play(case).run(), unstepped.sent / unstepped.granted


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--seeds", type=int, default=2000)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--jobs", type=int, default=4)
    options = parser.parse_args()
    cases = grid() + [drawn(seed) for seed in range(options.first, options.first + options.seeds)]
    with ProcessPoolExecutor(options.jobs) as pool:
        results = list(pool.map(run_case, cases, chunksize=8))
    broken = sorted(
        ((result.beyond, case) for case, result, _ in results if result.beyond > 0), key=lambda each: each[0]
    )
    healthy = [
        (r.sent / r.granted, unstepped) for case, r, unstepped in results if case.trouble is Trouble.NONE
    ]
    print(
        f"{len(cases)} cases, {len(broken)} pass the ceiling; lowest level {min(r.lowest for _, r, _ in results):.2f}"
    )
    for beyond, case in broken[-MAX_PRINTED:]:
        print(f"  {beyond:.2f} units beyond the slack: {case}")
    print(
        f"used behind a step: median {median(u for u, _ in healthy):.3f}, least {min(u for u, _ in healthy):.3f}"
    )
    print(
        f"with no step:       median {median(s for _, s in healthy):.3f}, least {min(s for _, s in healthy):.3f}"
    )
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
