"""Checks that one seed gives one trace in processes with different hash seeds, time zones and dates.

python -m benchmarks.same_trace [--scenario NAME] [--plays 100] [--seconds 5]
"""

from __future__ import annotations

import argparse
import os
import subprocess
import sys
import time
from collections import Counter

from cypresspulley.explore.schedule import scale_down
from cypresspulley.rehearsal.scenario import load_scenario
from cypresspulley.rehearsal.virtual.play import digest, play_virtual

# Hash seed, time zone, and days by which the date is set forward.
ENVIRONMENTS = (
    ("1", "UTC", 0.0),
    ("2", "Asia/Kolkata", 3.0),
    ("77", "America/Lima", 400.0),
    ("4242", "UTC", -30.0),
)


def digests(name: str, seconds: float, plays: int, days: float) -> list[str]:
    """Return the digests of several runs, with this process's clock shifted by ``days``."""
    real = time.time
    time.time = lambda: real() + days * 86_400
    day = scale_down(load_scenario(name), seconds, 30.0)
    return [digest(play_virtual(day, 1)) for _ in range(plays)]


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--scenario", default="wedding-weekend")
    parser.add_argument("--plays", type=int, default=100)
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--days", type=float, help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.days is not None:
        print("\n".join(digests(options.scenario, options.seconds, options.plays, options.days)))
        return 0
    share = str(-(-options.plays // len(ENVIRONMENTS)))
    command = [
        sys.executable,
        "-m",
        "benchmarks.same_trace",
        "--scenario",
        options.scenario,
        "--plays",
        share,
    ]
    running = [
        subprocess.Popen(
            [*command, "--seconds", str(options.seconds), "--days", str(days)], text=True, stdout=subprocess.PIPE,
            env={**os.environ, "PYTHONHASHSEED": hash_seed, "TZ": zone},
        )
        for hash_seed, zone, days in ENVIRONMENTS
    ]  # fmt: skip
    found = Counter(line for process in running for line in process.communicate()[0].split())
    print(f"{found.total()} plays in {len(ENVIRONMENTS)} processes: {dict(found)}")
    return 0 if len(found) == 1 and found.total() >= options.plays else 1


if __name__ == "__main__":
    sys.exit(main())
