"""Estimates how long the data of a read waited in the kernel.

When the event loop was blocked it reads late, and the data may have waited in the kernel for as long. A request's time
counts from its last byte, so its deadline and the timeout that is sent to servers depend on this delay. The kernel
records for each socket when its last data arrived. The sockets are queried after a pause in which the loop may have
been blocked for longer than the tolerance of those times allows, and until all data that had arrived by then has been
read: connections are accepted one per iteration of the loop, so that takes several iterations.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable

from cypresspulley.net.metered_reader import READ_SIZES

# Seconds without activity of the loop after which sockets are queried. The time reported to servers may be up to
# 0.15 s too long.
MAX_UNCHECKED_PAUSE = 0.1
TIMER_TOLERANCE = 0.02  # seconds by which a heartbeat may be late, and up to which data counts as fresh
FRESH_READS_UNTIL_SKIP = 32  # consecutive queries with fresh data after which sockets are no longer queried
REQUEST_LINE_END = b" HTTP/1."  # occurs once in each request
AFTER_STALL_WINDOW = 0.1  # seconds after a late heartbeat in which reads may return data from before it
# struct tcp_info (linux/tcp.h): tcpi_state is a byte at offset 0, tcpi_last_data_recv 32 bits at 52, milliseconds.
TCP_INFO_SIZE = 56
LAST_DATA_OFFSET = 52
CONNECTED_STATES = (1, 8)  # TCP_ESTABLISHED, TCP_CLOSE_WAIT
MAX_DATA_AGE = 60.0  # seconds; more than any request may take, so a larger value from the socket is not valid


def seconds_since_last_data(transport: asyncio.BaseTransport) -> float | None:
    """Return the seconds since a connection last received data; None if the platform does not report it."""
    try:
        info = transport.get_extra_info("socket").getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_SIZE
        )
    except (OSError, AttributeError):
        return None
    if len(info) < TCP_INFO_SIZE or info[0] not in CONNECTED_STATES:
        return None
    seconds = struct.unpack_from("I", info, LAST_DATA_OFFSET)[0] / 1000
    return seconds if seconds <= MAX_DATA_AGE else None


class ArrivalClock:
    """Gives an upper bound of how long ago the last byte of a read arrived."""

    def __init__(self, clock: Callable[[], float], heartbeat_interval: float) -> None:
        """Create a clock; ``record_heartbeat`` must be called every ``heartbeat_interval`` seconds."""
        self._clock, self._heartbeat_interval = clock, heartbeat_interval
        self._last_run_at = self._last_heartbeat_at = clock()  # the loop's last activity and heartbeat
        self._fresh_reads = 0  # consecutive queries of sockets with fresh data
        self._stalled_from = self._stalled_until = float("-inf")

    def record_heartbeat(self) -> None:
        """Record a heartbeat from a timer; a late one shows that the loop was blocked."""
        now = self._clock()
        if self._overdue(now):
            self._stalled_from, self._stalled_until, self._fresh_reads = self._last_heartbeat_at, now, 0
        self._last_run_at = self._last_heartbeat_at = now

    def _overdue(self, now: float) -> bool:
        """Return whether the heartbeat is late at ``now``."""
        return now - self._last_heartbeat_at > self._heartbeat_interval + TIMER_TOLERANCE

    def data_age(self, transport: asyncio.BaseTransport, data: bytes, unread_seconds: float = 0.0) -> float:
        """Return for how many seconds ``data``, which was read just now, may have waited in the kernel.

        ``unread_seconds`` is for how long this process had paused reading the connection, if it had.
        Delays within ``MAX_UNCHECKED_PAUSE`` may be returned as 0. If ``data`` contains several requests, the socket
        reports the time of the last one only; the others are known to have arrived since the loop became blocked. The
        same holds if ``data`` filled the smallest buffer of a read, because more may follow it.
        """
        now = self._clock()
        if now - self._last_run_at > MAX_UNCHECKED_PAUSE:
            self._fresh_reads = 0
        self._last_run_at = now
        if self._fresh_reads >= FRESH_READS_UNTIL_SKIP and not unread_seconds:
            return 0.0
        age = seconds_since_last_data(transport)
        if not unread_seconds:  # the age of data that was left unread says nothing about the loop
            self._fresh_reads = self._fresh_reads + 1 if (age or 0.0) <= TIMER_TOLERANCE else 0
        if age is None or len(data) >= READ_SIZES[0] or data.count(REQUEST_LINE_END) > 1:
            return max(age or 0.0, self._seconds_since_stall(), unread_seconds)
        return age

    def _seconds_since_stall(self) -> float:
        """Return the seconds since the loop became blocked, or 0 if it has been running for ``AFTER_STALL_WINDOW``.

        An iteration of the loop may read before its timers run; the heartbeat is overdue then.
        """
        now = self._clock()
        if self._overdue(now):
            return now - self._last_heartbeat_at
        return now - self._stalled_from if now - self._stalled_until <= AFTER_STALL_WINDOW else 0.0
