"""Captures a rehearsal on both sides, skews its clocks, and compares the merged capture and its replay with the truth.

    python -m benchmarks.round_trip [--scenario calm-morning] [--rate 100 --rate 1000] [--speed 1] [--json FILE]

Three limiters write access logs and the scripted clients a HAR. The clocks of the logs are then skewed (90 s ahead and
200 ppm fast; 45 s behind; correct). All four files are merged, compared with the truth, and replayed.
"""

from __future__ import annotations

import argparse
import json
import sys
import tempfile
from collections import Counter
from itertools import pairwise
from math import ceil
from pathlib import Path
from typing import Any

import uvloop

from benchmarks.replay_timing import interval_error_p99, sleep_until_times
from cypresspulley.capture.arrivals import ReplayOptions
from cypresspulley.capture.har_writer import write_har
from cypresspulley.capture.model import Entry
from cypresspulley.capture.planning import CaptureInput, build_plan, read_captures
from cypresspulley.capture.replay import percentile
from cypresspulley.rehearsal import records as log
from cypresspulley.rehearsal.judge import judge
from cypresspulley.rehearsal.play import play
from cypresspulley.rehearsal.scenario import Load, Scenario, load_scenario

TRIES_PER_SECOND = 105.0  # of calm-morning as shipped, with the retries of refused requests
SKEWS = ((0.0, 0.0), (90.0, 2e-4), (-45.0, 0.0))  # offset in seconds, drift in seconds per second


def record_rehearsal(scenario: Scenario, seed: int, folder: Path) -> tuple[list[log.Record], list[str]]:
    """Run a rehearsal with access logs, and return its records and the capture files, the HAR first."""
    operators = folder / "operators.toml"
    operators.write_text(f'[access_log]\npath = "{folder}/access-{{name}}.jsonl"\n')
    command = [sys.executable, "-m", "cypresspulley", "--operators", str(operators)]
    records = uvloop.run(play(scenario, seed, command=command))
    har = folder / "clients.har"
    with har.open("w") as file:
        write_har(records, file)
    logs = sorted(folder.glob("access-*.jsonl"))
    for path, skew in zip(logs, SKEWS, strict=False):
        skew_file(path, *skew)
    return records, [str(har), *map(str, logs)]


def skew_file(path: Path, offset: float, drift: float) -> None:
    """Add an offset and a drift to all times of a log."""
    rows = [json.loads(line) for line in path.read_text().splitlines()]
    start = rows[0]["time"]
    for row in rows:
        for key in ("time", "answered", "first_byte", "last_byte"):
            if key in row:
                row[key] = row[key] + offset + drift * (row[key] - start)
    path.write_text("".join(json.dumps(row) + "\n" for row in rows))


def relative_difference(a: Counter[Any], b: Counter[Any]) -> float:
    """Return the difference of two counts as a share of the first."""
    return sum(abs(a[key] - b[key]) for key in a.keys() | b.keys()) / max(1, sum(a.values()))


def scale_to_rate(scenario: Scenario, rate: float) -> Scenario:
    """Return the scenario at about ``rate`` attempts per second, with servers scaled like the load."""
    factor = rate / TRIES_PER_SECOND
    fleet, keeper, load = scenario.fleet, scenario.keeper, scenario.load
    return scenario.model_copy(
        update={
            "fleet": fleet.model_copy(update={"servers": max(3, ceil(fleet.servers * factor))}),
            "keeper": keeper.model_copy(
                update={"calls_per_second": keeper.calls_per_second * max(1.0, factor)}
            ),
            "load": load.model_copy(update={"inside": load.inside * factor}),
        }
    )


def first_records(records: list[log.Record]) -> list[log.Sent]:
    """Return the first record of each attempt; one that is sent again on a new connection is the same attempt."""
    firsts = dict[str, log.Sent]()
    for record in records:
        if isinstance(record, log.Sent):
            firsts.setdefault(record.id, record)
    return sorted(firsts.values(), key=lambda sent: sent.t)


def request_interval_error_p99(sent: list[log.Sent], resent: list[log.Sent], speed: float) -> float:
    """Return the 99th percentile, in ms, of the deviation of request intervals from the captured ones."""
    wanted = [(b.t - a.t) / speed for a, b in pairwise(sent)]
    real = [b.t - a.t for a, b in pairwise(resent)]
    return percentile([abs(a - b) * 1000 for a, b in zip(wanted, real, strict=False)], 99)


def measure(scenario: Scenario, seed: int, speeds: list[float]) -> dict[str, Any]:
    """Return the results of one capture and of its replay at each speed."""
    with tempfile.TemporaryDirectory() as name:
        records, files = record_rehearsal(scenario, seed, Path(name))
        entries, _, clocks = read_captures(CaptureInput(tuple(files)))
    sent = first_records(records)
    retries = {r.id for r in sent if r.number > 0}
    detected_retries = {e.id for e in entries if e.repeats >= 0}
    return {
        "tries": len(sent), "tries_per_second": round(len(sent) / (sent[-1].t - sent[0].t)), "read": len(entries),
        "retry_precision": round(len(detected_retries & retries) / max(1, len(detected_retries)), 4),
        "retry_recall": round(len(detected_retries & retries) / max(1, len(retries)), 4),
        "clocks": [(Path(c.source).name, round(c.offset, 4), round(c.error, 4)) for c in clocks],
        "true_offsets": [-offset for offset, _ in SKEWS],
        "replays": [measure_replay(scenario, seed, entries, sent, speed) for speed in speeds],
    }  # fmt: skip


def measure_replay(
    scenario: Scenario, seed: int, entries: list[Entry], sent: list[log.Sent], speed: float
) -> dict[str, Any]:
    """Compare one replay with the capture and with a bare loop that only sleeps (the baseline)."""
    empty_scenario = scenario.model_copy(update={"load": Load()})
    replay_scenario, plan = build_plan(entries, empty_scenario, ReplayOptions(speed=speed), seed)
    replay_records = uvloop.run(play(replay_scenario, seed, plan=plan))
    resent = first_records(replay_records)
    due = [a.t for a in plan.arrivals]
    return {
        "speed": speed, "tries": len(resent),
        "mix_apart": round(relative_difference(Counter(r.cls for r in sent), Counter(r.cls for r in resent)), 5),
        "accounts_apart": round(
            relative_difference(Counter(r.account for r in sent), Counter(r.account for r in resent)), 5
        ),
        "gaps_p99_ms": round(request_interval_error_p99(sent, resent, speed), 2),
        "bare_loop_p99_ms": round(interval_error_p99(due, uvloop.run(sleep_until_times(due))), 2),
        "kit_late_p99_ms": round(
            percentile([r.late * 1000 for r in replay_records if isinstance(r, log.Lateness)], 99), 2
        ),
        "rules_kept": [rule.kept for rule in judge(replay_records).rules],
    }  # fmt: skip


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--scenario", default="calm-morning")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--rate", type=float, action="append", help="tries a second: 100 and 1000 by default")
    parser.add_argument("--speed", type=float, action="append", help="0.5, 1 and 4 by default")
    parser.add_argument("--json", type=Path)
    options = parser.parse_args()
    found = dict[str, Any]()
    for rate in options.rate or (100.0, 1000.0):
        scenario = scale_to_rate(load_scenario(options.scenario), rate)
        found[f"{rate:g}"] = measure(scenario, options.seed, options.speed or [0.5, 1.0, 4.0])
        print(f"{rate:g} tries a second wanted")
        for key, value in found[f"{rate:g}"].items():
            for row in value if key == "replays" else [value]:
                print(f"  {key:16} {row}", flush=True)
    if options.json:
        options.json.write_text(json.dumps(found, indent=1) + "\n")


if __name__ == "__main__":
    main()
