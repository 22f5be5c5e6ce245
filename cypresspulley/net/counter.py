"""The client of the shared counter: pipelined calls, each answered once, in order."""

from __future__ import annotations

import asyncio
import logging
import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import cast

from cypresspulley.interface import Status

log = logging.getLogger(__name__)

CHECK = 0.5  # seconds between two looks at the line
PING = 2.0  # silent seconds until a ping keeps the connection: an idle one is closed
DEAD = 1.5  # seconds that the oldest unanswered line may wait before the connection is given up
DIAL_TIMEOUT = 1.0
MAX_LINE = 4096
Done = Callable[[Status, float], None]


@dataclass(slots=True, eq=False)
class _Call:
    line: bytes
    sent: float
    done: Done | None  # None once it was given up, and for a ping
    timer: asyncio.TimerHandle | None = None

    def finish(self, status: Status, total: float = 0.0) -> None:
        if self.timer is not None:
            self.timer.cancel()
        done, self.done = self.done, None
        if done is not None:
            done(status, total)


class CounterClient(asyncio.Protocol):
    """One connection to the counter, kept open."""

    def __init__(self, host: str, port: int, timeout: float) -> None:
        self._address, self._timeout = (host, port), timeout
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._queued, self._written = deque[_Call](), deque[_Call]()
        self._buffer, self._paused, self._used = b"", False, 0.0
        self._failing = False
        self._dial: asyncio.Task[None] | None = None
        self._check_at: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Connect, and from then on keep a connection."""
        self._check()

    def call(self, name: int, amount: float, lifetime: float, done: Done) -> None:
        """Add to a number; ``done`` gets the status and the total, later than this call returns."""
        milliseconds = max(1, min(60_000, round(lifetime * 1000)))
        call = _Call(b"tally %d %.6f %d\r\n" % (name, amount, milliseconds), self._loop.time(), done)
        call.timer = self._loop.call_later(self._timeout, self._give_up, call)
        self._put(call)

    def close(self) -> None:
        if self._check_at is not None:
            self._check_at.cancel()
        if self._dial is not None:
            self._dial.cancel()
        if self._transport is not None:
            self._transport.abort()

    def _put(self, call: _Call) -> None:
        self._queued.append(call)
        self._flush()

    def _flush(self) -> None:
        # One line at a time goes to the transport: what stands in the queue is known not to be written.
        while self._queued and self._transport is not None and not self._paused:
            call = self._queued.popleft()
            self._written.append(call)
            call.sent = self._used = self._loop.time()
            self._transport.write(call.line)

    def _give_up(self, call: _Call) -> None:
        if call in self._queued:
            self._queued.remove(call)
            call.finish(Status.UNREACHABLE)
        else:
            call.finish(Status.TIMEOUT)  # it keeps its place: its answer is still to come

    def _check(self) -> None:
        """Redial a lost connection, ping an idle one, give up a silent one."""
        self._check_at = self._loop.call_later(CHECK, self._check)
        now = self._loop.time()
        if self._transport is None:
            if self._dial is None:
                self._dial = self._loop.create_task(self._connect())
        elif self._written and now - self._written[0].sent > DEAD:
            log.warning("the counter is silent: connecting anew")
            self._transport.abort()
        elif now - self._used > PING:
            self._put(_Call(b"ping\r\n", now, None))

    async def _connect(self) -> None:
        try:
            async with asyncio.timeout(DIAL_TIMEOUT):
                await self._loop.create_connection(lambda: self, *self._address)
        except (OSError, TimeoutError) as error:
            if not self._failing:  # once for a row of failures
                log.warning("no connection to the counter: %r", error)
            self._failing = True
        finally:
            self._dial = None

    # The connection.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        transport = cast(asyncio.Transport, transport)  # uvloop's are no subclass of it
        transport.set_write_buffer_limits(high=0)  # pause_writing then tells that a line is not out whole
        self._transport, self._buffer, self._paused = transport, b"", False
        self._used, self._failing = self._loop.time(), False
        self._flush()

    def pause_writing(self) -> None:
        self._paused = True

    def resume_writing(self) -> None:
        self._paused = False
        self._flush()

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        written, self._written = self._written, deque()
        partly = written.pop() if self._paused and written else None
        for call in written:
            call.finish(Status.TIMEOUT)  # the counter may have added it
        for call in ([partly] if partly else []) + list(self._queued):
            call.finish(Status.UNREACHABLE)
        self._queued.clear()

    def data_received(self, data: bytes) -> None:
        *lines, self._buffer = (self._buffer + data).split(b"\n")
        for line in lines:
            self._answered(line.rstrip(b"\r"))
        if len(self._buffer) > MAX_LINE and self._transport is not None:
            log.warning("the counter sent a line without an end")
            self._transport.abort()

    def _answered(self, line: bytes) -> None:
        if not self._written:
            log.warning("dropped a counter line that nothing asked for: %.80r", line)
            return
        call = self._written.popleft()
        word, _, rest = line.partition(b" ")
        if word == b"ok":
            try:
                total = float(rest)
            except ValueError:
                total = math.nan
            if math.isfinite(total):
                return call.finish(Status.OK, total)
        if word in (b"busy", b"error"):
            return call.finish(Status.FULL if word == b"busy" else Status.ERROR)
        if word != b"pong":
            log.warning("dropped an unreadable counter line: %.80r", line)
        call.finish(Status.TIMEOUT)  # unknown, but the place in line is used up
