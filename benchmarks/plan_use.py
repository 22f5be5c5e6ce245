"""Compares exported usage with the requests that servers ran: ``python -m benchmarks.plan_use [--seeds 20]``.

Runs rehearsals of changing plans in virtual time, without kills and with one limiter killed. Compares the usage that
the writer received with the number of requests of which a server ran an attempt, and prints the difference. A positive
one is requests that ran and were not reported (the client left, or the limiter was killed first); a negative one is
requests that were reported and never ran.
"""

from __future__ import annotations

import argparse
import sys
from concurrent.futures import ProcessPoolExecutor

from cypresspulley.plans.reservations import MICRO_PER_UNIT
from cypresspulley.rehearsal import records as log
from cypresspulley.rehearsal.scenario import load_scenario
from cypresspulley.rehearsal.virtual.play import play_virtual


def play_seed(seed: int, kills: bool) -> tuple[int, int, int]:
    """Plays one rehearsal.

    Returns the requests that a server ran, the reported micro-units, and the requests whose client left during an
    attempt.
    """
    scenario = load_scenario("plan-churn")
    faults = tuple(f for f in scenario.faults if f.at < 18 and (kills or f.kind != "limiter-kill"))
    records = play_virtual(scenario.model_copy(update={"seconds": 20.0, "faults": faults}), seed)
    arrived = {r.attempt: r.id for r in records if isinstance(r, log.Arrived)}
    ran = {arrived[r.attempt] for r in records if isinstance(r, log.Ran)}
    reported = sum(r.units for r in records if isinstance(r, log.Exported))
    left = {r.id for r in records if isinstance(r, log.Left)} & ran
    return len(ran), reported, len(left)


def main(arguments: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(description=__doc__.split("\n", 1)[0])
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--jobs", type=int, default=7)
    options = parser.parse_args(arguments)
    for kills in (False, True):
        with ProcessPoolExecutor(options.jobs) as pool:
            found = list(pool.map(play_seed, range(options.seeds), [kills] * options.seeds))
        ran, reported, left = (sum(row[n] for row in found) for n in range(3))
        print(
            f"{'a limiter killed' if kills else 'no kills'}, {options.seeds} seeds: servers ran {ran} tries, "
            f"{reported / MICRO_PER_UNIT:g} units were told; {ran - reported / MICRO_PER_UNIT:+g} not told, "
            f"{left} of all were left by their clients"
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
