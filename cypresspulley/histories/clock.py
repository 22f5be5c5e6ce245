"""A wall clock shifted by the contents of a file, for rehearsals that give a limiter a wrong clock. Not for production.

The file holds three numbers, ``offset ppm since``: the clock is ahead by ``offset`` seconds and, from the Unix second
``since`` on, runs fast by ``ppm`` parts per million. The file is checked for changes at most every 50 ms.
"""

from __future__ import annotations

import logging
import math
import os
import time
from collections.abc import Callable
from dataclasses import dataclass

log = logging.getLogger(__name__)

CHECK_INTERVAL_SECONDS = 0.05  # shortest time between two checks of the file
MAX_FILE_BYTES = 200  # read from the file at most


@dataclass(frozen=True, slots=True)
class Shift:
    """A clock error: seconds ahead, parts per million fast, and the true Unix second since which it runs fast."""

    offset: float = 0.0
    ppm: float = 0.0
    since: float = 0.0

    def at(self, true: float) -> float:
        """Return what the clock shows at a true Unix second."""
        return true + self.offset + self.ppm * 1e-6 * max(0.0, true - self.since)

    def line(self) -> str:
        return f"{self.offset!r} {self.ppm!r} {self.since!r}\n"


def parse_shift(text: str) -> Shift:
    """Parse the contents of a shift file. Raise ``ValueError`` unless they are three finite numbers."""
    words = text.split()
    if len(words) != 3:
        raise ValueError(f"expected three numbers, offset ppm since; got {text!r:.60}")
    numbers = [float(word) for word in words]
    if not all(math.isfinite(number) for number in numbers):
        raise ValueError(f"expected finite numbers; got {text!r:.60}")
    return Shift(*numbers)


class ShiftedClock:
    """Returns Unix seconds of the true clock ``base`` shifted by the file at ``path``.

    ``steady`` is a monotonic clock in seconds that limits how often the file is checked.
    """

    def __init__(
        self,
        path: str,
        base: Callable[[], float] = time.time,
        steady: Callable[[], float] = time.monotonic,
    ) -> None:
        self._path, self._base, self._steady = path, base, steady
        self._shift, self._file_stamp, self._next_check_at = Shift(), (-1, -1), -math.inf

    def __repr__(self) -> str:
        return f"<ShiftedClock {self._path} {self._shift}>"

    def __call__(self) -> float:
        now = self._steady()
        if now >= self._next_check_at:
            self._next_check_at = now + CHECK_INTERVAL_SECONDS
            self._reload_file()
        return self._shift.at(self._base())

    def _reload_file(self) -> None:
        """Reload the file if it has changed. An unreadable or invalid file is logged and keeps the current shift."""
        try:
            status = os.stat(self._path)
            if (stamp := (status.st_mtime_ns, status.st_ino)) == self._file_stamp:
                return
            self._file_stamp = stamp
            with open(self._path, encoding="ascii") as file:
                self._shift = parse_shift(file.read(MAX_FILE_BYTES))
        except (OSError, ValueError) as error:
            log.error("cannot read clock shift file; keeping the current shift: %s: %s", self._path, error)
