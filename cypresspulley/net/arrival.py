"""When the bytes that a read has brought came to this machine.

A loop that was held up reads late, and what it reads may have lain in the machine for as long as that. A request's
time counts from its last byte, so deadlines and what servers are told hang on the answer. The socket knows when its
last data came. It is asked behind a pause in which the loop may have been held up for longer than the slack of those
times bears, until all that had come by then has been read: connections are accepted one a turn.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable

PAUSE = 0.1  # seconds without a sign of the loop, above which sockets are asked: servers may be told 0.15 s too much
LATE = 0.02  # seconds by which a beat may be late, and for which data is young
YOUNG_IN_A_ROW = 32  # sockets that were asked and told of young data, behind which no more are asked
REQUEST_LINE_END = b" HTTP/1."  # what each request has once
AFTER_HOLD = 0.1  # seconds behind a late beat in which what is read may have come before it
# struct tcp_info (linux/tcp.h): tcpi_state, a byte at 0; tcpi_last_data_recv, milliseconds, 32 bits at 52.
TCP_INFO_SIZE = 56
LAST_DATA_AT = 52
CONNECTED = (1, 8)  # TCP_ESTABLISHED, TCP_CLOSE_WAIT
LONGEST = 60.0  # seconds, more than any request may take: what a socket says beyond is no answer


def since_last_data(transport: asyncio.BaseTransport) -> float | None:
    """Seconds since a connection's last data came to the machine; None where the platform does not tell."""
    try:
        info = transport.get_extra_info("socket").getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_SIZE
        )
    except (OSError, AttributeError):
        return None
    if len(info) < TCP_INFO_SIZE or info[0] not in CONNECTED:
        return None
    seconds = struct.unpack_from("I", info, LAST_DATA_AT)[0] / 1000
    return seconds if seconds <= LONGEST else None


class ArrivalClock:
    """Tells how long ago the last byte of a read came, at the most that can be known."""

    def __init__(self, clock: Callable[[], float], beat: float) -> None:
        """``beat``: seconds between two calls of ``beat`` while the loop is not held up."""
        self._clock, self._beat = clock, beat
        self._seen_at = self._beat_at = clock()  # the loop's last sign, and the last beat
        self._young = 0  # sockets in a row that told of young data
        self._held_from = self._held_until = float("-inf")

    def record_heartbeat(self) -> None:
        """Called by a timer: one that is late tells that the loop was held up."""
        now = self._clock()
        if self._overdue(now):
            self._held_from, self._held_until, self._young = self._beat_at, now, 0
        self._seen_at = self._beat_at = now

    def _overdue(self, now: float) -> bool:
        return now - self._beat_at > self._beat + LATE

    def data_age(self, transport: asyncio.BaseTransport, data: bytes) -> float:
        """Seconds for which ``data``, read just now, may have lain in the machine, where that is over ``PAUSE``.

        Where requests stand behind one another in it, the socket knows only of the last one, and of the others no more
        is known than that they came since the loop was held up.
        """
        now = self._clock()
        if now - self._seen_at > PAUSE:
            self._young = 0
        self._seen_at = now
        if self._young >= YOUNG_IN_A_ROW:
            return 0.0
        age = since_last_data(transport)
        self._young = self._young + 1 if (age or 0.0) <= LATE else 0
        if age is None or data.count(REQUEST_LINE_END) > 1:
            return max(age or 0.0, self._since_held_up())
        return age

    def _since_held_up(self) -> float:
        """Seconds since the loop was held up last, where that was a moment ago; else 0. A turn may read before its
        timers run: then the beat is overdue."""
        now = self._clock()
        if self._overdue(now):
            return now - self._beat_at
        return now - self._held_from if now - self._held_until <= AFTER_HOLD else 0.0
