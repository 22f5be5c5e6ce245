"""Sums the event counts of a fleet of limiters: ``python -m benchmarks.fleet_counts DIR``.

Reads the limiters' logs (``*.log`` in DIR), written with ``[tally]`` in the operators' file. Prints a table with a row
for each kind and a column for each interval (``--spell`` seconds, 1 by default; ``[tally]`` records at least 0.1).
``--kinds`` selects kinds by a regular expression. Exit code 1 if no log holds a count.
"""

from __future__ import annotations

import argparse
import json
import re
import sys
from collections import Counter, defaultdict
from pathlib import Path

from cypresspulley.tally import LINE_PREFIX


def read_counts(path: Path) -> list[tuple[float, dict[str, int]]]:
    """Return the counts of a log by start of the interval (Unix time). Lines truncated by a kill are skipped."""
    rows = []
    for line in path.read_text(errors="replace").splitlines():
        at = line.find(LINE_PREFIX + "{")
        if at < 0:
            continue
        try:
            row = json.loads(line[at + len(LINE_PREFIX) :])
            rows.append((float(row["from"]), {str(k): int(v) for k, v in row["counts"].items()}))
        except (ValueError, KeyError, TypeError, AttributeError):
            continue
    return rows


def sum_counts(
    logs: list[list[tuple[float, dict[str, int]]]], interval: float
) -> tuple[dict[str, Counter[int]], dict[str, int]]:
    """Return, by kind, the counts by number of the interval and the number of limiters that have any."""
    # The first interval of a limiter has no start time; the others determine when the fleet started.
    start = min(t for rows in logs for t, _ in rows if t > 0)
    table, limiters = defaultdict[str, Counter[int]](Counter), Counter[str]()
    for rows in logs:
        seen = set[str]()
        for at, counts in rows:
            for kind, number in counts.items():
                table[kind][max(0, int((at - start) / interval))] += number
                seen.add(kind)
        limiters.update(seen)
    return table, limiters


def main(arguments: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("dir", type=Path)
    parser.add_argument("--spell", type=float, default=1.0, metavar="SECONDS")
    parser.add_argument(
        "--kinds", default="^(?!cold|bad)", metavar="REGEX", help="all but single servers by itself"
    )
    options = parser.parse_args(arguments)
    logs = [rows for path in sorted(options.dir.glob("*.log")) if (rows := read_counts(path))]
    if not any(at > 0 for rows in logs for at, _ in rows):
        print(
            f"{options.dir}: no log holds a count; is [tally] on in the operators' file?",
            file=sys.stderr,
        )
        return 1
    table, limiters = sum_counts(logs, options.spell)
    last = max(max(row) for row in table.values())
    print(f"{'kind':34} {'all':>8} {'by':>4}  each {options.spell:g} s")
    for kind in sorted(kind for kind in table if re.search(options.kinds, kind)):
        cells = " ".join(f"{table[kind][n]:4}" for n in range(last + 1))
        print(f"{kind:34} {sum(table[kind].values()):8} {limiters[kind]:4}  {cells}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
