"""Measures whether the search finds each mutant, after how many seeds, and how far it shrinks the scenario.

    python -m benchmarks.mutants [--seeds 500] [--jobs 7] [--json FILE]

The mutants are those of the tests, patched in memory; each is searched for in a process of its own.
"""

from __future__ import annotations

import argparse
import json
import multiprocessing
import sys
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from pathlib import Path
from typing import Any

from cypresspulley.explore.search import SearchOptions, search
from tests.explore.mutants import MUTANTS, applied, scenario_of


def search_mutant(seeds: int, number: int) -> dict[str, Any]:
    """Searches for one mutant and returns its row of the report."""
    mutant = MUTANTS[number]
    with applied(mutant):
        result = search(scenario_of(mutant), SearchOptions(seeds=seeds, inside=mutant.inside))
    row: dict[str, Any] = {"mutant": mutant.name, "scenario": mutant.scenario, "seeds": result.seeds}
    for found in result.found[:1]:
        row |= {
            "seed": found.seed, "sort": found.failure.category,
            "as_expected": found.failure.category in mutant.categories,
            "faults": len(found.scenario.faults), "size": found.size, "plays": found.plays, "text": found.failure.text,
        }  # fmt: skip
    return row


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--seeds", type=int, default=500)
    parser.add_argument("--jobs", type=int, default=7)
    parser.add_argument("--json", type=Path)
    options = parser.parse_args()
    with ProcessPoolExecutor(options.jobs, mp_context=multiprocessing.get_context("spawn")) as pool:
        rows = list(pool.map(partial(search_mutant, options.seeds), range(len(MUTANTS))))
    for row in rows:
        print(row if "seed" in row else f"NOT FOUND {row}")
    if options.json:
        options.json.write_text(json.dumps(rows, indent=1) + "\n")
    return 0 if all(row.get("as_expected") and row["faults"] <= 3 for row in rows) else 1


if __name__ == "__main__":
    sys.exit(main())
