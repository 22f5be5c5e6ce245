"""Reads how much memory this process occupies."""

from __future__ import annotations

import resource
from pathlib import Path

STATM = Path("/proc/self/statm")
RESIDENT_FIELD = 1  # of /proc/self/statm, in pages (proc(5))


def resident_bytes() -> int:
    """Return the resident memory of this process in bytes; 0 if the system does not tell."""
    try:
        pages = int(STATM.read_text().split()[RESIDENT_FIELD])
    except (OSError, ValueError, IndexError):
        return 0
    return pages * resource.getpagesize()
