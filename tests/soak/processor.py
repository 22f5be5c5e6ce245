"""Measures from the kernel's schedstat how long a limiter was runnable but did not run: load, not its own fault."""

from __future__ import annotations

import os
import threading
import time
from collections import defaultdict
from collections.abc import Callable
from pathlib import Path

SAMPLE_INTERVAL_SECONDS = 0.02
MIN_WAIT_SECONDS = 0.002  # shorter waits are not written
NANOSECOND = 1e-9
FOLDER_VARIABLE = "SOAK_WAITS"  # environment variable with the folder that limiters write to


def cpu_wait_seconds(pid: int | str = "self") -> float:
    """Returns the seconds for which the process's main thread has been runnable but did not run."""
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[1]) * NANOSECOND


def write_waits(folder: Path, name: str, clock: Callable[[], float]) -> None:
    """Writes the end (Unix seconds by ``clock``) and length of each wait for as long as the process lives."""
    with open(folder / f"{name}-{os.getpid()}", "w", buffering=1) as file:
        before = cpu_wait_seconds()
        while True:
            time.sleep(SAMPLE_INTERVAL_SECONDS)
            if (waited := cpu_wait_seconds()) - before >= MIN_WAIT_SECONDS:
                file.write(f"{clock():.6f} {waited - before:.6f}\n")
                before = waited


def start_wait_writer(name: str, clock: Callable[[], float]) -> None:
    """Starts a thread that writes this process's waits, if the soak test has set a folder for them."""
    if folder := os.environ.get(FOLDER_VARIABLE):
        arguments = (Path(folder), name, clock)
        threading.Thread(target=write_waits, args=arguments, daemon=True).start()


class CpuWaits:
    """The waits that the limiters of a play wrote. Times are seconds of the play."""

    def __init__(self, folder: Path, play_start: float) -> None:
        """``play_start`` is the Unix time of second 0 of the play."""
        self._waits = defaultdict[str, list[tuple[float, float]]](list)
        for path in folder.iterdir():
            name = path.name.rpartition("-")[0]
            for line in path.read_text().splitlines():
                at, length = map(float, line.split())
                self._waits[name].append((at - play_start, length))

    def total_between(self, name: str, begin: float, end: float) -> float:
        """Returns an upper bound of the seconds that a limiter waited for a CPU from ``begin`` to ``end``."""
        return sum(length for at, length in self._waits[name] if begin <= at <= end + SAMPLE_INTERVAL_SECONDS)
