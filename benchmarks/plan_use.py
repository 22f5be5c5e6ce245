"""Use exported beside use that servers counted: ``python -m benchmarks.plan_use [--seeds 20]``.

Plays days of changing plans in virtual time, without kills and with one limiter killed, and adds up what the writer has
been told beside the tries of which a server ran an attempt. Prints the difference: above 0, tries that a server ran and
nobody told of (the client left, or the limiter died first); below 0, tries that were told of and never ran.
"""

from __future__ import annotations

import argparse
import sys
from concurrent.futures import ProcessPoolExecutor

from cypresspulley.plans.reservations import MICRO_PER_UNIT
from cypresspulley.rehearsal import records as log
from cypresspulley.rehearsal.scenario import load_scenario
from cypresspulley.rehearsal.virtual.play import play_virtual


def played(seed: int, kills: bool) -> tuple[int, int, int]:
    """Tries that a server ran, micro-units that were told, tries of which the client left while an attempt was out."""
    scenario = load_scenario("plan-churn")
    faults = tuple(f for f in scenario.faults if f.at < 18 and (kills or f.kind != "limiter-kill"))
    records = play_virtual(scenario.model_copy(update={"seconds": 20.0, "faults": faults}), seed)
    arrived = {r.attempt: r.id for r in records if isinstance(r, log.Arrived)}
    ran = {arrived[r.attempt] for r in records if isinstance(r, log.Ran)}
    told = sum(r.units for r in records if isinstance(r, log.Exported))
    left = {r.id for r in records if isinstance(r, log.Left)} & ran
    return len(ran), told, len(left)


def main(arguments: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(description=__doc__.split("\n", 1)[0])
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--jobs", type=int, default=7)
    options = parser.parse_args(arguments)
    for kills in (False, True):
        with ProcessPoolExecutor(options.jobs) as pool:
            found = list(pool.map(played, range(options.seeds), [kills] * options.seeds))
        ran, told, left = (sum(row[n] for row in found) for n in range(3))
        print(
            f"{'a limiter killed' if kills else 'no kills'}, {options.seeds} seeds: servers ran {ran} tries, "
            f"{told / MICRO_PER_UNIT:g} units were told; {ran - told / MICRO_PER_UNIT:+g} not told, "
            f"{left} of all were left by their clients"
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
