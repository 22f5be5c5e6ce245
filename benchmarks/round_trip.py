"""A rehearsal captured from both sides, its clocks skewed, read back and played again: what is kept of it.

    python -m benchmarks.round_trip [--scenario calm-morning] [--json FILE]

Three limiters write access logs and the scripted clients a HAR. The logs' clocks are then set wrong (90 s ahead and
200 ppm fast; 45 s behind; right). All four files are merged, compared with the truth, and replayed.
"""

from __future__ import annotations

import argparse
import json
import sys
import tempfile
from collections import Counter
from pathlib import Path
from typing import Any

import uvloop

from cypresspulley.capture.arrivals import Stretch
from cypresspulley.capture.command import Input, plan_of, read
from cypresspulley.capture.har_writer import write_har
from cypresspulley.rehearsal import records as log
from cypresspulley.rehearsal.judge import judge
from cypresspulley.rehearsal.play import play
from cypresspulley.rehearsal.scenario import Load, Scenario, load_scenario

SKEWS = ((0.0, 0.0), (90.0, 2e-4), (-45.0, 0.0))  # seconds, and seconds a second


def capture(scenario: Scenario, seed: int, folder: Path) -> tuple[list[log.Record], list[str]]:
    """Play a day with access logs on; its records and the names of the captures, the HAR first."""
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
    """Set a log's clock wrong."""
    rows = [json.loads(line) for line in path.read_text().splitlines()]
    start = rows[0]["time"]
    for row in rows:
        for key in ("time", "answered", "first_byte", "last_byte"):
            if key in row:
                row[key] = row[key] + offset + drift * (row[key] - start)
    path.write_text("".join(json.dumps(row) + "\n" for row in rows))


def apart(a: Counter[Any], b: Counter[Any]) -> float:
    """Share by which two counts differ: what must be moved to make one of the other."""
    return sum(abs(a[key] - b[key]) for key in a.keys() | b.keys()) / max(1, sum(a.values()))


def measure(scenario: Scenario, seed: int) -> dict[str, Any]:
    """The figures of one round trip."""
    with tempfile.TemporaryDirectory() as name:
        records, files = capture(scenario, seed, Path(name))
        entries, _, clocks = read(Input(tuple(files)))
    sent = [r for r in records if isinstance(r, log.Sent)]
    made, plan = plan_of(entries, scenario.model_copy(update={"load": Load()}), Stretch(), seed)
    again = uvloop.run(play(made, seed, plan=plan))
    resent = [r for r in again if isinstance(r, log.Sent)]
    retries = {r.id for r in sent if r.number > 0}
    said = {e.id for e in entries if e.repeats >= 0}
    planned = {a.number: a.t for a in plan.arrivals}
    late = sorted(
        abs(r.t - planned[n]) for n, r in enumerate(sorted(resent, key=lambda r: r.t)) if n in planned
    )
    return {
        "tries": len(sent), "read": len(entries), "replayed": len(resent),
        "mix_apart": round(apart(Counter(r.cls for r in sent), Counter(r.cls for r in resent)), 5),
        "accounts_apart": round(apart(Counter(r.account for r in sent), Counter(r.account for r in resent)), 5),
        "retry_precision": round(len(said & retries) / max(1, len(said)), 4),
        "retry_recall": round(len(said & retries) / max(1, len(retries)), 4),
        "clocks": [(Path(c.source).name, round(c.offset, 4), round(c.error, 4)) for c in clocks],
        "true_offsets": [-offset for offset, _ in SKEWS],
        "send_p99_ms": round(late[int(0.99 * (len(late) - 1))] * 1000, 2) if late else 0.0,
        "rules_kept": [rule.kept for rule in judge(again).rules],
    }  # fmt: skip


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--scenario", default="calm-morning")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", type=Path)
    options = parser.parse_args()
    found = measure(load_scenario(options.scenario), options.seed)
    for key, value in found.items():
        print(f"{key:16} {value}")
    if options.json:
        options.json.write_text(json.dumps(found, indent=1) + "\n")


if __name__ == "__main__":
    main()
