"""Compares service and verdicts of rehearsals in virtual time and on sockets, by scenario and seed.

    python -m benchmarks.agreement [--seconds 15] [--seeds 5] [--jobs 3] [--json FILE]

Each scenario runs for ``--seconds``, with its full load and its faults at proportional times, on sockets and in virtual
time. A void run on sockets is repeated up to ``MAX_VOID_RETRIES`` (2) times.
"""

from __future__ import annotations

import argparse
import json
import multiprocessing
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from pathlib import Path
from time import perf_counter, process_time
from typing import Any

import uvloop

from cypresspulley.explore.schedule import scale_fault, to_raw
from cypresspulley.rehearsal.judge import Verdict, judge
from cypresspulley.rehearsal.play import play
from cypresspulley.rehearsal.scenario import Scenario, load_scenario, parse_scenario, shipped_scenarios
from cypresspulley.rehearsal.virtual.play import play_virtual

MAX_VOID_RETRIES = 2  # void runs that are repeated


def shorten_scenario(scenario: Scenario, seconds: float) -> Scenario:
    """Return the scenario shortened to ``seconds``, with its faults at proportional times."""
    raw, fraction = to_raw(scenario), min(1.0, seconds / scenario.seconds)
    raw["seconds"] = scenario.seconds * fraction
    raw["fault"] = [scale_fault(fault, fraction) for fault in raw["fault"]]
    raw["discovery"]["notice"] = [t * fraction for t in scenario.discovery.notice]
    raw["clients"]["notice"] = [t * fraction for t in scenario.clients.notice]
    return parse_scenario(raw, scenario.name)


def judge_on_sockets(scenario: Scenario, seed: int) -> Verdict:
    for _ in range(MAX_VOID_RETRIES + 1):
        verdict = judge(uvloop.run(play(scenario, seed)))
        if not verdict.void:
            break
    return verdict


def compare(seconds: float, case: tuple[str, int]) -> dict[str, Any]:
    name, seed = case
    scenario = shorten_scenario(load_scenario(name), seconds)
    socket_verdict = judge_on_sockets(scenario, seed)
    wall, cpu = perf_counter(), process_time()
    virtual_verdict = judge(play_virtual(scenario, seed))
    wall, cpu = perf_counter() - wall, process_time() - cpu
    broken = [
        [rule.rule for rule in verdict.rules if not rule.kept]
        for verdict in (socket_verdict, virtual_verdict)
    ]
    return {
        "scenario": name, "seed": seed, "sockets": round(socket_verdict.service.service, 4),
        "virtual": round(virtual_verdict.service.service, 4),
        "void": socket_verdict.void or virtual_verdict.void, "broken": broken,
        "apart": round(abs(socket_verdict.service.service - virtual_verdict.service.service), 4),
        "speed": round(scenario.seconds / cpu, 1),
    }  # fmt: skip


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--jobs", type=int, default=3)
    parser.add_argument("--json", type=Path)
    options = parser.parse_args()
    cases = [(name, seed) for name in shipped_scenarios() for seed in range(1, options.seeds + 1)]
    rows = list[dict[str, Any]]()
    with ProcessPoolExecutor(options.jobs, mp_context=multiprocessing.get_context("spawn")) as pool:
        for row in pool.map(partial(compare, options.seconds), cases):
            rows.append(row)
            print(" ".join(f"{key} {value}" for key, value in row.items()), flush=True)
    valid_rows = [row for row in rows if not row["void"]]
    within = sum(row["apart"] <= 0.03 for row in valid_rows)
    same_verdicts = sum(row["broken"][0] == row["broken"][1] for row in valid_rows)
    mean = sum(row["virtual"] - row["sockets"] for row in valid_rows) / max(1, len(valid_rows))
    print(f"{len(valid_rows)} of {len(rows)} pairs count: {within} within 0.03, "
          f"{same_verdicts} with the same verdicts, virtual {mean:+.4f} in the mean")  # fmt: skip
    if options.json:
        options.json.write_text(json.dumps(rows, indent=1) + "\n")


if __name__ == "__main__":
    main()
