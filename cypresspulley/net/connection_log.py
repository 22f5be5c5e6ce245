"""Counts why client connections ended and why requests were rejected; one log line for each interval tells them."""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Callable
from enum import Enum

log = logging.getLogger(__name__)

REPORT_INTERVAL_SECONDS = 10.0
BYTES_PER_MEGABYTE = 1024 * 1024
MAX_CAUSES = 64  # distinct causes in one interval; further ones are counted together
OTHER_CAUSES = "other causes"


class EndCause(Enum):
    """Why the limiter ended a client connection."""

    IDLE = "idle"
    MEMORY = "memory is short"
    EVICTED = "evicted at the connection limit"
    HEAD_TIMEOUT = "head too slow"
    BODY_TIMEOUT = "body too slow"
    UPLOAD_STALLED = "upload stalled"
    UPLOAD_HELD_UP = "upload held up by its server beyond the deadline"
    READER_STALLED = "response not read"
    RESPONSE_BROKEN = "response broken off"
    LINGER_OVERFLOW = "sent on after its response"


class ConnectionLog:
    """Collects the causes of one interval."""

    def __init__(self, now: float, resident_bytes: Callable[[], int] | None = None) -> None:
        """``now`` is in seconds. ``resident_bytes`` returns the memory of this process; None if it is shared."""
        self._reported_at = now
        self._causes = Counter[str]()
        self._resident_bytes = resident_bytes

    def count_end(self, cause: EndCause) -> None:
        """Count a connection that the limiter ends."""
        self._count(cause.value)

    def count_rejection(self, status: int, why: str) -> None:
        """Count a request that is rejected before the decisions see it; ``why`` must not quote input."""
        self._count(f"{status} {why}")

    def _count(self, cause: str) -> None:
        known = cause in self._causes or len(self._causes) < MAX_CAUSES
        self._causes[cause if known else OTHER_CAUSES] += 1

    def report(self, now: float, connections: int, buffered_bytes: int) -> None:
        """Log the causes of the past interval if it is over and there were any."""
        if now - self._reported_at < REPORT_INTERVAL_SECONDS:
            return
        self._reported_at = now
        if not self._causes:
            return
        causes = ", ".join(f"{cause} {count}" for cause, count in self._causes.most_common())
        self._causes.clear()
        memory = ""
        if self._resident_bytes is not None:
            memory = f", memory {self._resident_bytes() / BYTES_PER_MEGABYTE:.1f} MB"
        held = buffered_bytes / BYTES_PER_MEGABYTE
        log.info("clients: %d connections, %.1f MB held%s; ended: %s", connections, held, memory, causes)
