"""Compares the throughput of each reader with plain parsing of the same file, and measures memory on a large file.

    python -m benchmarks.readers [--megabytes 20] [--large 1000]

Plain parsing is ``json.loads`` of each line or of the whole HAR, and ``str.split`` of each line of the other logs.
``--large`` generates a log of the given size in MB and prints the growth of memory while it is read.
"""

from __future__ import annotations

import argparse
import json
import resource
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

from cypresspulley.capture.load import read_records
from tests.capture.test_readers import LINES, har_entry


def write_capture(folder: Path, kind: str, megabytes: float) -> Path:
    """Write a file of the given format and size."""
    path = folder / f"{kind}.capture"
    wanted = int(megabytes * 1e6)
    if kind == "har":
        entry = json.dumps(har_entry())
        with path.open("w") as file:
            file.write(
                '{"log":{"version":"1.2","entries":[' + ",".join([entry] * (wanted // len(entry))) + "]}}"
            )
        return path
    block = (LINES[kind] + "\n") * 1000
    with path.open("w") as file:
        for _ in range(max(1, wanted // len(block))):
            file.write(block)
    return path


def parse_plain(path: Path, kind: str) -> int:
    if kind == "har":
        return len(json.loads(path.read_bytes())["log"]["entries"])
    with path.open("rb") as file:
        return sum(bool(json.loads(line) if kind == "json" else line.decode().split(" ")) for line in file)


def measure_throughput(work: Callable[[], int], size: float) -> tuple[float, int]:
    began = time.perf_counter()
    count = work()
    return size / (time.perf_counter() - began), count


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--megabytes", type=float, default=20.0)
    parser.add_argument("--large", type=float, default=0.0)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as name:
        if options.large:  # first, because the peak memory of plain parsing would hide the growth
            for kind in ("json", "har"):
                path = write_capture(
                    Path(name), kind, options.large if kind == "json" else options.large * 0.3
                )
                before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1e3
                count = sum(1 for _ in read_records(str(path)))
                grown = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1e3 - before
                print(
                    f"{kind:9} {path.stat().st_size / 1e6:.0f} MB, {count} records: memory grew by {grown:.1f} MB"
                )
                path.unlink()
        for kind in (*LINES, "har"):
            path = write_capture(Path(name), kind, options.megabytes)
            size = path.stat().st_size / 1e6
            read, count = measure_throughput(lambda p=path: sum(1 for _ in read_records(str(p))), size)  # type: ignore[misc]
            bare, _ = measure_throughput(lambda p=path, k=kind: parse_plain(p, k), size)  # type: ignore[misc]
            print(f"{kind:9} {read:6.1f} MB/s, {count / size * read:9.0f} a second; plain {bare:6.1f} MB/s: "
                  f"ratio {bare / read:.1f}")  # fmt: skip
            path.unlink()


if __name__ == "__main__":
    main()
