"""Reads from connections in pieces, so that no peer holds the event loop for long or fills the memory at once.

The event loop reads a socket up to 32 times in a row while each read fills the buffer that it is given (libuv).
Buffers are therefore small at first and grow while their contents are processed quickly. A peer whose data takes too
long is not read again before all others have had their turn: what it sends waits in the kernel.
"""

from __future__ import annotations

import asyncio
import time
from collections import deque
from collections.abc import Callable
from typing import cast

# Sizes of one read in bytes. All connections share one buffer, because its contents are copied at once.
READ_SIZES = (4 * 1024, 16 * 1024, 64 * 1024)
SMALL_READ_BYTES = 1024  # a read of no more than these is not timed
MAX_TURN_SECONDS = 0.001  # of processing what one peer sent, until the others have their turn
FAST_READ_SECONDS = 0.0002  # a full read that is processed in less may be followed by a larger one


class ReadScheduler:
    """Shares the event loop among the connections whose data takes long to process."""

    def __init__(self, available_bytes: Callable[[], int] = lambda: READ_SIZES[-1]) -> None:
        """``available_bytes`` returns how much one read may add to what is held in memory."""
        self._loop = asyncio.get_running_loop()
        self.clock = self._loop.time
        self._available_bytes = available_bytes
        self._deferred = deque[MeteredReader]()
        buffer = memoryview(bytearray(READ_SIZES[-1]))
        self.views = tuple(buffer[:size] for size in READ_SIZES)

    def __repr__(self) -> str:
        return f"<ReadScheduler {len(self._deferred)} deferred>"

    def largest_index(self) -> int:
        """Return the index of the largest size in ``READ_SIZES`` that memory allows, or of the smallest."""
        available = self._available_bytes()
        return max(index for index, size in enumerate(READ_SIZES) if index == 0 or size <= available)

    def defer(self, reader: MeteredReader) -> None:
        """Read a connection again after those that were deferred before it, one in each iteration of the loop."""
        if not self._deferred:
            self._loop.call_soon(self._resume_next)
        self._deferred.append(reader)

    def _resume_next(self) -> None:
        self._deferred.popleft().end_deferral()
        if self._deferred:
            self._loop.call_soon(self._resume_next)


class MeteredReader:
    """The reading half of a protocol; ``data_received`` processes what one read returned.

    It follows ``asyncio.BufferedProtocol``, which the event loop recognizes by its methods.
    """

    def __init__(self, scheduler: ReadScheduler) -> None:
        self._scheduler = scheduler
        self._size_index = 0  # into READ_SIZES
        self._view = scheduler.views[0]  # buffer of the next read
        self._turn_seconds = 0.0  # of processing since the loop last read another connection
        self._is_deferred = False
        self._is_held = False
        self._is_paused = False  # as the transport was last told
        self._unread_since: float | None = None  # since when data may lie unread, because reading was paused

    def data_received(self, data: bytes) -> None:
        """Process received bytes."""
        raise NotImplementedError

    def reading_transport(self) -> asyncio.Transport | None:
        """Return the transport that reads, or None if the connection has ended."""
        raise NotImplementedError

    @property
    def is_reading_paused(self) -> bool:
        """Whether reading is paused for the sake of backpressure."""
        return self._is_held

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read."""
        return self._view

    def buffer_updated(self, count: int) -> None:
        """Process the ``count`` bytes of a read, and let others have their turn if that took long."""
        data = bytes(self._view[:count])
        if count <= SMALL_READ_BYTES:
            return self.data_received(data)
        started = time.perf_counter()
        self.data_received(data)
        seconds = time.perf_counter() - started
        is_full = count == len(self._view)
        self._turn_seconds += seconds
        if self._turn_seconds > MAX_TURN_SECONDS:
            self._set_read_size(0)
            self._defer()
        elif not is_full:  # the loop reads others before this connection
            self._turn_seconds = 0.0
        else:
            growth = 1 if seconds < FAST_READ_SECONDS else 0
            self._set_read_size(min(self._size_index + growth, self._scheduler.largest_index()))

    def _set_read_size(self, index: int) -> None:
        self._size_index, self._view = index, self._scheduler.views[index]

    @property
    def unread_seconds(self) -> float:
        """For how long what is read now may have waited, because reading was paused; 0 if it was not."""
        return 0.0 if self._unread_since is None else self._scheduler.clock() - self._unread_since

    def end_read(self, count: int) -> None:
        """Note that a read of ``count`` bytes has been processed; one that is not full leaves nothing unread."""
        if count < READ_SIZES[0] and not self._is_paused:
            self._unread_since = None

    def hold_reading(self, held: bool) -> None:
        """Pause reading for the sake of backpressure, or end that."""
        self._is_held = held
        self._apply_reading()

    def end_deferral(self) -> None:
        """Read again, unless backpressure forbids it."""
        self._is_deferred = False
        self._apply_reading()

    def _defer(self) -> None:
        self._turn_seconds = 0.0
        if not self._is_deferred:
            self._is_deferred = True
            self._scheduler.defer(self)
            self._apply_reading()

    def _apply_reading(self) -> None:
        transport = self.reading_transport()
        must_pause = self._is_held or self._is_deferred
        if transport is None or transport.is_closing() or must_pause is self._is_paused:
            return
        self._is_paused = must_pause
        if must_pause and self._unread_since is None:
            self._unread_since = self._scheduler.clock()
        if must_pause:
            transport.pause_reading()
        else:
            transport.resume_reading()


def as_protocol(reader: MeteredReader) -> asyncio.Protocol:
    """Return the reader as the type that the event loop's annotations ask for."""
    return cast(asyncio.Protocol, reader)
