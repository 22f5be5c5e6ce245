"""Checks that the decisions are unchanged: replays recorded events to the adapter and compares its replies.

    python -m benchmarks.same_actions STREAMS

STREAMS is a folder of pairs NAME.in and NAME.out: what the adapter of an earlier commit, the baseline, read and wrote
on a simulated day. They can be recorded with ``tee`` on both sides of the ``sim`` command of that commit.
"""

from __future__ import annotations

import argparse
import io
import sys
from pathlib import Path
from time import process_time

from cypresspulley.benchlink import main as adapter


def first_difference(old: str, new: str) -> int | None:
    """Return the number of the first reply that differs, counted from 1; None where all are the same."""
    before, after = old.splitlines(), new.splitlines()
    for number, (a, b) in enumerate(zip(before, after, strict=False), 1):
        if a != b:
            return number
    return None if len(before) == len(after) else min(len(before), len(after)) + 1


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("streams", type=Path)
    streams = sorted(parser.parse_args().streams.glob("*.in"))
    if not streams:
        print("no NAME.in there; expected pairs of NAME.in and NAME.out", file=sys.stderr)
        return 2
    differ = 0
    for stream in streams:
        recorded, replies = stream.with_suffix(".out").read_text(), io.StringIO()
        began = process_time()
        with stream.open() as events:
            adapter(events, replies)
        number = first_difference(recorded, replies.getvalue())
        differ += number is not None
        said = "the same" if number is None else f"differs at reply {number}"
        print(
            f"{stream.stem}: {len(recorded.splitlines())} replies, {said}, {process_time() - began:.1f} s of CPU"
        )
    return 1 if differ else 0


if __name__ == "__main__":
    sys.exit(main())
