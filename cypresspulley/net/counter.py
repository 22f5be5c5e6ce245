"""The client of the shared counter: pipelined calls, each answered once, in order for each name."""

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

CHECK_INTERVAL = 0.5  # seconds between two looks at the line
PING_INTERVAL = 2.0  # silent seconds until a ping keeps the connection: an idle one is closed
ANSWER_TIMEOUT = 1.5  # seconds that the oldest unanswered line may wait before the connection is given up
DIAL_TIMEOUT = 1.0
REDIAL_DELAY = 0.05  # seconds between two dials after breaks, so that a peer that only closes is no busy loop
MAX_LINE_BYTES = 64
TOTAL_ANSWER = re.compile(rb"ok ([+-]?[0-9]{1,20}(?:\.[0-9]{0,20})?(?:[eE][+-]?[0-9]{1,2})?)")
PARTIAL_TOTAL_ANSWER = re.compile(rb"ok [-+.0-9eE]*\r?")
STATUS_BY_ANSWER = {b"busy": Status.FULL, b"error": Status.ERROR, b"pong": Status.OK}
Address = tuple[str, int]
Done = Callable[[Status, float], None]


@dataclass(slots=True, eq=False)
class _Call:
    line: bytes
    sent: float
    name: int | None = None  # None for a ping
    done: Done | None = None
    timer: asyncio.TimerHandle | None = None
    result: tuple[Status, float] | None = None


class _Connection(asyncio.Protocol):
    """One connection to the counter."""

    def __init__(self, client: CounterClient, address: Address) -> None:
        self._client = client
        self.address = address
        self._transport: asyncio.Transport | None = None
        self.written = deque[_Call]()
        self._buffer = b""
        self.paused = False
        self.used = 0.0
        self._closes_when_answered = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        transport = cast(asyncio.Transport, transport)  # uvloop's are no subclass of it
        transport.set_write_buffer_limits(high=0)  # pause_writing then tells that a line is not out whole
        self._transport = transport

    @property
    def is_usable(self) -> bool:
        return self._transport is not None and not self._transport.is_closing()

    def write(self, call: _Call, now: float) -> None:
        assert self._transport is not None
        self.written.append(call)
        call.sent = self.used = now
        self._transport.write(call.line)

    def close_when_answered(self) -> None:
        """Take no new calls, and close once those that are out have been answered."""
        self._closes_when_answered = True
        if not self.written:
            self.abort()

    def abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()

    def pause_writing(self) -> None:
        self.paused = True

    def resume_writing(self) -> None:
        self.paused = False
        self._client.flush()

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._fail(Status.BROKEN)
        self._client.lost(self)

    def data_received(self, data: bytes) -> None:
        *lines, self._buffer = (self._buffer + data).split(b"\n")
        for line in lines:
            if not self.is_usable:
                return
            self._answered(line.rstrip(b"\r"))
        if self._closes_when_answered and not self.written:
            self.abort()
        elif not _may_begin_an_answer(self._buffer):
            self._spoilt(self._buffer)  # noise need not end its line, and the wait for that would be silence

    def _answered(self, line: bytes) -> None:
        form = TOTAL_ANSWER.fullmatch(line)
        status = Status.OK if form else STATUS_BY_ANSWER.get(line)
        if status is None or not self.written:
            return self._spoilt(line)
        self._client.finish(self.written.popleft(), status, float(form[1]) if form else 0.0)

    def _spoilt(self, line: bytes) -> None:
        """What cannot be read says nothing of the count, and what follows may belong to any call."""
        log.warning("an unreadable counter line: connecting anew: %.80r", line)
        self.abort()  # first: the results may bring new calls, and none must be written here
        self._fail(Status.MALFORMED)

    def _fail(self, status: Status) -> None:
        written, self.written = self.written, deque()
        partly = written.pop() if self.paused and written else None
        for call in written:
            self._client.finish(call, status)
        if partly is not None:
            self._client.finish(partly, Status.UNREACHABLE)


def _may_begin_an_answer(text: bytes) -> bool:
    if len(text) > MAX_LINE_BYTES:
        return False
    words = any(word.startswith(text.rstrip(b"\r")) for word in (b"ok ", *STATUS_BY_ANSWER))
    return words or PARTIAL_TOTAL_ANSWER.fullmatch(text) is not None


class Counter(Protocol):
    """The shared counter, whatever keeps it. Each call is made once and answered once, in order for each name."""

    def start(self) -> None: ...

    def move(self, host: str, port: int) -> None: ...

    def set_timeout(self, timeout: float) -> None: ...

    def call(self, name: int, amount: float, lifetime: float, done: Done) -> None: ...

    def close(self) -> None: ...


class CounterClient:
    """Keeps a connection to the counter, and moves to another one without a gap."""

    def __init__(self, host: str, port: int, timeout: float) -> None:
        self._address = (host, port)
        self._timeout = timeout
        self._loop = asyncio.get_running_loop()
        self._connection: _Connection | None = None
        self._draining = set[_Connection]()  # they only answer what they owe
        self._queue = deque[_Call]()
        # The decisions match results to calls by their order for a name: with two connections, one left
        # and one new, an answer that overtakes another waits for it here (for the time-out at most).
        self._calls_by_name = dict[int, deque[_Call]]()
        self._failing = False
        self._dialed = 0.0
        self._dial: asyncio.Task[None] | None = None
        self._check_at: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Connect, and from then on keep a connection."""
        self._check()

    def move(self, host: str, port: int) -> None:
        """Go on at another address; the connection in use serves until the new one is up."""
        if (host, port) == self._address:
            return
        self._address = (host, port)
        if self._dial is not None:
            self._dial.cancel()
            self._dial = None
        self._redial()

    def set_timeout(self, timeout: float) -> None:
        """Other settings: calls from now on are waited for so many seconds."""
        self._timeout = timeout

    def call(self, name: int, amount: float, lifetime: float, done: Done) -> None:
        """Add to a number; ``done`` gets the status and the total, later than this call returns."""
        milliseconds = max(1, min(60_000, round(lifetime * 1000)))
        line = b"tally %d %.6f %d\r\n" % (name, amount, milliseconds)
        call = _Call(line, self._loop.time(), name, done)
        call.timer = self._loop.call_later(self._timeout, self._give_up, call)
        self._calls_by_name.setdefault(name, deque()).append(call)
        self._put(call)

    def close(self) -> None:
        if self._check_at is not None:
            self._check_at.cancel()
        if self._dial is not None:
            self._dial.cancel()
        for link in (*self._draining, self._connection):
            if link is not None:
                link.abort()
        queued, self._queue = self._queue, deque()
        for call in queued:
            self.finish(call, Status.UNREACHABLE)

    def flush(self) -> None:
        # One line at a time goes to the transport: what stands in the queue is known not to be written.
        while self._queue and (link := self._connection) is not None and link.is_usable and not link.paused:
            link.write(self._queue.popleft(), self._loop.time())

    def finish(self, call: _Call, status: Status, total: float = 0.0) -> None:
        """Settle a call once, behind the earlier ones for its name."""
        if call.result is not None or call.name is None:
            return
        call.result = status, total
        if call.timer is not None:
            call.timer.cancel()
        line = self._calls_by_name[call.name]
        while line and (result := line[0].result) is not None:
            first = line.popleft()
            if not line:
                del self._calls_by_name[call.name]  # names come from outside: those at rest are not kept
            assert first.done is not None
            first.done(*result)

    def lost(self, link: _Connection) -> None:
        """A connection has ended: the one in use is replaced at once, and what waits goes out on the next."""
        self._draining.discard(link)
        if link is self._connection:
            self._connection = None
            self._loop.call_later(max(0.0, self._dialed + REDIAL_DELAY - self._loop.time()), self._redial)

    def _put(self, call: _Call) -> None:
        self._queue.append(call)
        self.flush()

    def _give_up(self, call: _Call) -> None:
        if call in self._queue:
            self._queue.remove(call)
            self.finish(call, Status.UNREACHABLE)
        else:
            self.finish(call, Status.TIMEOUT)  # it keeps its place: its answer is still to come

    def _check(self) -> None:
        """Redial a lost connection, ping an idle one, give up a silent one."""
        self._check_at = self._loop.call_later(CHECK_INTERVAL, self._check)
        now, link = self._loop.time(), self._connection
        for left in list(self._draining):
            if left.written and now - left.written[0].sent > ANSWER_TIMEOUT:
                left.abort()
        if link is not None and link.written and now - link.written[0].sent > ANSWER_TIMEOUT:
            log.warning("the counter is silent: connecting anew")
            link.abort()
        elif link is not None and now - link.used > PING_INTERVAL:
            self._put(_Call(b"ping\r\n", now))
        self._redial()

    def _redial(self) -> None:
        settled = self._connection is not None and self._connection.address == self._address
        if self._check_at is None or self._check_at.cancelled() or self._dial is not None or settled:
            return
        self._dialed = self._loop.time()
        self._dial = self._loop.create_task(self._connect(self._address))

    async def _connect(self, address: Address) -> None:
        link = _Connection(self, address)
        try:
            async with asyncio.timeout(DIAL_TIMEOUT):
                await self._loop.create_connection(lambda: link, *address)
        except (OSError, TimeoutError) as error:
            if not self._failing:  # once for a row of failures
                log.warning("no connection to the counter: %r", error)
            self._failing, self._dial = True, None
            return link.abort()
        except asyncio.CancelledError:
            return link.abort()  # whoever cancelled it has forgotten it
        self._dial, self._failing, link.used = None, False, self._loop.time()
        old, self._connection = self._connection, link
        if old is not None:
            self._draining.add(old)
            old.close_when_answered()
        if link.is_usable:
            self.flush()
        else:
            self.lost(link)  # it broke before it was known here
