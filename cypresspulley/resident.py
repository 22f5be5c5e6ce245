"""Reads how much memory this process occupies, and gives back what it no longer uses."""

from __future__ import annotations

import resource
from collections.abc import Callable

STATM = "/proc/self/statm"
TRIM_INTERVAL_SECONDS = 2.0
TRIM_SLACK_BYTES = 4 * 1024 * 1024  # over the memory at rest, up to which nothing is given back
RESIDENT_FIELD = 1  # of /proc/self/statm, in pages (proc(5))


def resident_bytes() -> int:
    """Return the resident memory of this process in bytes; 0 if the system does not tell."""
    try:
        with open(STATM, encoding="ascii") as statm:
            pages = int(statm.read().split()[RESIDENT_FIELD])
    except (OSError, ValueError, IndexError):
        return 0
    return pages * resource.getpagesize()


def release_free_memory() -> None:
    """Give the free pages of the C library's heap back to the system, where the library can (malloc_trim(3))."""
    import ctypes  # only a process that has grown needs it

    trim = getattr(ctypes.CDLL(None), "malloc_trim", None)
    if trim is not None:
        trim(0)


class MemoryTrimmer:
    """Gives memory back after a load, because the C library keeps free pages between used ones."""

    def __init__(
        self,
        at_rest: int,
        read_resident: Callable[[], int] = resident_bytes,
        release: Callable[[], None] = release_free_memory,
    ) -> None:
        """``at_rest`` is the memory of the process at its start, in bytes."""
        self._at_rest = at_rest
        self._read_resident = read_resident
        self._release = release
        self._next_check_at = 0.0

    def check(self, now: float) -> None:
        """Give memory back if the process occupies more than at rest; ``now`` is in seconds."""
        if now < self._next_check_at:
            return
        self._next_check_at = now + TRIM_INTERVAL_SECONDS
        if self._read_resident() > self._at_rest + TRIM_SLACK_BYTES:
            self._release()
