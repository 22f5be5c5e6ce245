"""The client of the shared counter. Calls are pipelined; each gets one result, in the order of the calls for a name."""

from __future__ import annotations

import asyncio
import logging
import re
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol, cast

from cypresspulley.interface import Status

log = logging.getLogger(__name__)

CHECK_INTERVAL = 0.5  # seconds between two checks of the connection
PING_INTERVAL = 2.0  # idle seconds until a ping is sent: the counter closes idle connections
ANSWER_TIMEOUT = 1.5  # seconds that the oldest unanswered line may wait before the connection is closed
DIAL_TIMEOUT = 1.0  # seconds
# Seconds from one dial to the next after a break, which prevents a busy loop if the peer closes each connection.
REDIAL_DELAY = 0.05
MAX_LINE_BYTES = 64  # of a response
TOTAL_ANSWER = re.compile(rb"ok ([+-]?[0-9]{1,20}(?:\.[0-9]{0,20})?(?:[eE][+-]?[0-9]{1,2})?)")
PARTIAL_TOTAL_ANSWER = re.compile(rb"ok [-+.0-9eE]*\r?")
STATUS_BY_ANSWER = {b"busy": Status.FULL, b"error": Status.ERROR, b"pong": Status.OK}
Address = tuple[str, int]
ResultCallback = Callable[[Status, float], None]


@dataclass(slots=True, eq=False)
class _Call:
    line: bytes
    sent_at: float
    name: int | None = None  # of the count; None for a ping
    done: ResultCallback | None = None
    timer: asyncio.TimerHandle | None = None
    result: tuple[Status, float] | None = None  # held until the earlier calls for the name have theirs


class _Connection(asyncio.Protocol):
    """One connection to the counter."""

    def __init__(self, client: CounterClient, address: Address) -> None:
        self._client = client
        self.address = address
        self._transport: asyncio.Transport | None = None
        self.unanswered = deque[_Call]()
        self._buffer = b""
        self.is_paused = False
        self.last_used_at = 0.0
        self._closes_when_answered = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        transport = cast(asyncio.Transport, transport)  # uvloop's transports are not subclasses of it
        # With this limit, pause_writing is called whenever a line is only partly written.
        transport.set_write_buffer_limits(high=0)
        self._transport = transport

    @property
    def is_usable(self) -> bool:
        return self._transport is not None and not self._transport.is_closing()

    def write(self, call: _Call, now: float) -> None:
        assert self._transport is not None
        self.unanswered.append(call)
        call.sent_at = self.last_used_at = now
        self._transport.write(call.line)

    def close_when_answered(self) -> None:
        """Close once all calls on it have been answered; no new ones may be written."""
        self._closes_when_answered = True
        if not self.unanswered:
            self.abort()

    def abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()

    def pause_writing(self) -> None:
        self.is_paused = True

    def resume_writing(self) -> None:
        self.is_paused = False
        self._client.flush()

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._finish_all(Status.BROKEN)
        self._client.on_connection_lost(self)

    def data_received(self, data: bytes) -> None:
        *lines, self._buffer = (self._buffer + data).split(b"\n")
        for line in lines:
            if not self.is_usable:
                return
            self._handle_answer(line.rstrip(b"\r"))
        if self._closes_when_answered and not self.unanswered:
            self.abort()
        elif not _may_start_answer(self._buffer):
            self._fail_malformed(self._buffer)  # malformed data may have no line end to wait for

    def _handle_answer(self, line: bytes) -> None:
        match = TOTAL_ANSWER.fullmatch(line)
        status = Status.OK if match else STATUS_BY_ANSWER.get(line)
        if status is None or not self.unanswered:
            return self._fail_malformed(line)
        self._client.finish(self.unanswered.popleft(), status, float(match[1]) if match else 0.0)

    def _fail_malformed(self, line: bytes) -> None:
        """Close the connection: a malformed line says nothing about the count, and the next may answer any call."""
        log.warning("the counter sent a malformed line; reconnecting: %.80r", line)
        self.abort()  # before the results, which may cause new calls: none may be written to this connection
        self._finish_all(Status.MALFORMED)

    def _finish_all(self, status: Status) -> None:
        """Finish all unanswered calls. The last one cannot have been counted while its line is only partly written."""
        unanswered, self.unanswered = self.unanswered, deque()
        partly_written = unanswered.pop() if self.is_paused and unanswered else None
        for call in unanswered:
            self._client.finish(call, status)
        if partly_written is not None:
            self._client.finish(partly_written, Status.UNREACHABLE)


def _may_start_answer(text: bytes) -> bool:
    if len(text) > MAX_LINE_BYTES:
        return False
    is_keyword = any(word.startswith(text.rstrip(b"\r")) for word in (b"ok ", *STATUS_BY_ANSWER))
    return is_keyword or PARTIAL_TOTAL_ANSWER.fullmatch(text) is not None


class Counter(Protocol):
    """The shared counter. Each call is sent at most once and gets one result, in the order of the calls for a name."""

    def start(self) -> None: ...

    def move(self, host: str, port: int) -> None: ...

    def set_timeout(self, timeout: float) -> None: ...

    def call(self, name: int, amount: float, lifetime: float, done: ResultCallback) -> None: ...

    def close(self) -> None: ...


class CounterClient:
    """Keeps a connection to the counter, and changes to another address without interrupting calls."""

    def __init__(self, host: str, port: int, timeout: float) -> None:
        self._address = (host, port)
        self._timeout = timeout
        self._loop = asyncio.get_running_loop()
        self._connection: _Connection | None = None
        self._draining = set[_Connection]()  # connections that only answer the calls already written
        self._queue = deque[_Call]()
        # The decision module matches results to calls by their order for a name. With two connections, one draining and
        # one new, a result that overtakes an earlier one waits for it here, at most until the call's timeout.
        self._calls_by_name = dict[int, deque[_Call]]()
        self._failure_logged = False
        self._dialed_at = 0.0
        self._dial_task: asyncio.Task[None] | None = None
        self._check_timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Connect, and reconnect from then on."""
        self._check_connection()

    def move(self, host: str, port: int) -> None:
        """Change to another address. The current connection takes calls until the new one is established."""
        if (host, port) == self._address:
            return
        self._address = (host, port)
        if self._dial_task is not None:
            self._dial_task.cancel()
            self._dial_task = None
        self._redial()

    def set_timeout(self, timeout: float) -> None:
        """Set the timeout of new calls, in seconds."""
        self._timeout = timeout

    def call(self, name: int, amount: float, lifetime: float, done: ResultCallback) -> None:
        """Add ``amount`` to the count of a name; a new count lives for ``lifetime`` seconds, from 0.001 to 60.

        ``done`` gets the status and the total, after this method has returned.
        """
        milliseconds = max(1, min(60_000, round(lifetime * 1000)))
        line = b"tally %d %.6f %d\r\n" % (name, amount, milliseconds)
        call = _Call(line, self._loop.time(), name, done)
        call.timer = self._loop.call_later(self._timeout, self._give_up, call)
        self._calls_by_name.setdefault(name, deque()).append(call)
        self._enqueue(call)

    def close(self) -> None:
        if self._check_timer is not None:
            self._check_timer.cancel()
        if self._dial_task is not None:
            self._dial_task.cancel()
        for connection in (*self._draining, self._connection):
            if connection is not None:
                connection.abort()
        queued, self._queue = self._queue, deque()
        for call in queued:
            self.finish(call, Status.UNREACHABLE)

    def flush(self) -> None:
        # Lines are passed to the transport one at a time, so that those in the queue are known not to have been sent.
        while (
            self._queue
            and (connection := self._connection) is not None
            and connection.is_usable
            and not connection.is_paused
        ):
            connection.write(self._queue.popleft(), self._loop.time())

    def finish(self, call: _Call, status: Status, total: float = 0.0) -> None:
        """Finish a call once. Its result is delivered after those of the earlier calls for its name."""
        if call.result is not None or call.name is None:
            return
        call.result = status, total
        if call.timer is not None:
            call.timer.cancel()
        line = self._calls_by_name[call.name]
        while line and (result := line[0].result) is not None:
            first = line.popleft()
            if not line:
                # Names come from outside: unused ones must not accumulate.
                del self._calls_by_name[call.name]
            assert first.done is not None
            first.done(*result)

    def on_connection_lost(self, connection: _Connection) -> None:
        """Handle the end of a connection. The current one is replaced at once; queued calls are sent on the next."""
        self._draining.discard(connection)
        if connection is self._connection:
            self._connection = None
            self._loop.call_later(max(0.0, self._dialed_at + REDIAL_DELAY - self._loop.time()), self._redial)

    def _enqueue(self, call: _Call) -> None:
        self._queue.append(call)
        self.flush()

    def _give_up(self, call: _Call) -> None:
        if call in self._queue:
            self._queue.remove(call)
            self.finish(call, Status.UNREACHABLE)
        else:
            self.finish(call, Status.TIMEOUT)  # it stays in ``unanswered``: its answer is still to come

    def _check_connection(self) -> None:
        """Redial a lost connection, ping an idle one, and close one that does not answer."""
        self._check_timer = self._loop.call_later(CHECK_INTERVAL, self._check_connection)
        now, connection = self._loop.time(), self._connection
        for draining in list(self._draining):
            if draining.unanswered and now - draining.unanswered[0].sent_at > ANSWER_TIMEOUT:
                draining.abort()
        if (
            connection is not None
            and connection.unanswered
            and now - connection.unanswered[0].sent_at > ANSWER_TIMEOUT
        ):
            log.warning("the counter did not answer in time; reconnecting")
            connection.abort()
        elif connection is not None and now - connection.last_used_at > PING_INTERVAL:
            self._enqueue(_Call(b"ping\r\n", now))
        self._redial()

    def _redial(self) -> None:
        is_connected = self._connection is not None and self._connection.address == self._address
        if (
            self._check_timer is None
            or self._check_timer.cancelled()
            or self._dial_task is not None
            or is_connected
        ):
            return
        self._dialed_at = self._loop.time()
        self._dial_task = self._loop.create_task(self._connect(self._address))

    async def _connect(self, address: Address) -> None:
        connection = _Connection(self, address)
        try:
            async with asyncio.timeout(DIAL_TIMEOUT):
                await self._loop.create_connection(lambda: connection, *address)
        except (OSError, TimeoutError) as error:
            if not self._failure_logged:  # once for a series of failures
                log.warning("cannot connect to the counter: %r", error)
            self._failure_logged, self._dial_task = True, None
            return connection.abort()
        except asyncio.CancelledError:
            return connection.abort()  # the caller that cancelled the task has dropped it
        self._dial_task, self._failure_logged, connection.last_used_at = None, False, self._loop.time()
        old, self._connection = self._connection, connection
        if old is not None:
            self._draining.add(old)
            old.close_when_answered()
        if connection.is_usable:
            self.flush()
        else:
            self.on_connection_lost(connection)  # it broke before this task ran again
