"""A wall clock that is off as a file says: for rehearsals, in which a limiter's clock is to be wrong. Never in service.

The file holds three numbers, ``offset ppm since``: from the Unix second ``since`` on the clock is ahead by ``offset``
seconds and runs fast by ``ppm`` millionths. It is read anew when it changes, looked at each 50 ms at most.
"""

from __future__ import annotations

import logging
import math
import os
import time
from collections.abc import Callable
from dataclasses import dataclass

log = logging.getLogger(__name__)

CHECK_INTERVAL_SECONDS = 0.05  # seconds between two looks at the file
MAX_FILE_BYTES = 200  # bytes of it


@dataclass(frozen=True, slots=True)
class Shift:
    """How a clock is off: seconds ahead, millionths fast, and since which true Unix second it runs fast."""

    offset: float = 0.0
    ppm: float = 0.0
    since: float = 0.0

    def at(self, true: float) -> float:
        """What the clock shows at a true Unix second."""
        return true + self.offset + self.ppm * 1e-6 * max(0.0, true - self.since)

    def line(self) -> str:
        return f"{self.offset!r} {self.ppm!r} {self.since!r}\n"


def parse_shift(text: str) -> Shift:
    """``ValueError`` where it is no three finite numbers."""
    words = text.split()
    if len(words) != 3:
        raise ValueError(f"expected three numbers, offset ppm since; got {text!r:.60}")
    numbers = [float(word) for word in words]
    if not all(math.isfinite(number) for number in numbers):
        raise ValueError(f"expected finite numbers; got {text!r:.60}")
    return Shift(*numbers)


class ShiftedClock:
    """Unix seconds of a wall clock that the file at ``path`` sets off. ``base`` is the true one."""

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
        """What cannot be read changes nothing: the clock goes on as it went."""
        try:
            found = os.stat(self._path)
            if (stamp := (found.st_mtime_ns, found.st_ino)) == self._file_stamp:
                return
            self._file_stamp = stamp
            with open(self._path, encoding="ascii") as file:
                self._shift = parse_shift(file.read(MAX_FILE_BYTES))
        except (OSError, ValueError) as error:
            log.error("the clock of this rehearsal stays as it is: %s: %s", self._path, error)
