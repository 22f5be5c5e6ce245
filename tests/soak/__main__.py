"""Runs the soak test: ``python -m tests.soak [--seeds 50] [--first 1] [--jobs 2] [--mutant NAME]``.

Each seed is a play of 9 s on real processes. A seed with failures prints them and the command that plays it alone. A
void play is a fault of the rehearsal kit itself and is repeated once. Exit code 0: no failures; 1: failures; 3: some
plays stayed void.
"""

from __future__ import annotations

import argparse
import sys
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context

from tests.soak.mutants import MUTANTS
from tests.soak.run import play_seed


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--jobs", type=int, default=2, help="days at one time")
    parser.add_argument("--mutant", choices=MUTANTS, default="", help="play a limiter with this fault")
    options = parser.parse_args()
    seeds = range(options.first, options.first + options.seeds)
    with ProcessPoolExecutor(options.jobs, get_context("spawn"), max_tasks_per_child=1) as pool:
        results = list(pool.map(play_seed, seeds, [options.mutant] * len(seeds)))
    found, void = [r for r in results if r.failures], [r for r in results if r.void and not r.failures]
    for result in found:
        mutant = f" --mutant {options.mutant!r}" if options.mutant else ""
        print(f"seed {result.seed}: python -m tests.soak --first {result.seed} --seeds 1{mutant}")
        for failure in result.failures[:8]:
            print(f"    {failure}")
    for result in void:
        print(f"seed {result.seed} void: {result.void}")
    tries, attempts = sum(r.tries for r in results), sum(r.attempts for r in results)
    print(
        f"{len(results)} days, {tries} tries, {attempts} attempts: {len(found)} with finds, {len(void)} void"
    )
    return 1 if found else 3 if void else 0


if __name__ == "__main__":
    sys.exit(main())
