"""Connections to servers: one exchange at a time on each, and how it ended.

An exchange that has not reached its server whole proves that the request never ran; from the last
byte on it may have. Nothing here sends anything twice: what to do next is the caller's decision.
"""

from __future__ import annotations

import asyncio
import errno
import fcntl
import logging
import math
import re
import struct
import termios
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import cast

import httptools

from cypresspulley.interface import Status
from cypresspulley.net.http import (
    MAX_BODY_BYTES,
    MAX_HEAD_BYTES,
    UNFORWARDED_HEADERS,
    join_address,
    split_address,
)
from cypresspulley.net.relay import (
    MAX_STREAMED_BODY_BYTES,
    SERVER_STALL_SECONDS,
    Download,
    Relay,
    Upload,
    limit_receive_buffer,
)

log = logging.getLogger(__name__)

PER_SERVER = 64  # connections to one server
IDLE_SHARE = 0.5  # of the time after which servers close: a request must not cross that closing
SWEEP = 1.0  # seconds between two looks for idle connections
# Seconds that a connection rests before its next request: what a server sends behind an answer (a second
# copy, noise) comes when nothing waits there, and closes it. On a fresh one it would answer the next request.
REST = 0.03
# Seconds from an answer's first byte to its last. A length that promises more than comes would else end as a
# time-out, much later, and that speaks of a server that gives no sign of life.
BEGUN = 0.5
HOLD = 0.05  # seconds that an answer of unknown length is held, to be handed over whole if it is small
# Where kept connections break at their next request, before any byte of an answer, they were closed in
# silence: for so many seconds none is kept that has been idle for so long.
DISTRUST = 10.0
MAX_ANSWER = (
    MAX_HEAD_BYTES + 2 * MAX_BODY_BYTES
)  # all bytes of an answer: interim ones, chunk sizes and trailers too
SAME_BIRTH = 1e-6  # seconds by which two births may differ and be one
# Failures of connect that are this machine's own: no descriptor, buffer, port or route. They say nothing of a server.
OWN_FAILURES = frozenset({
    errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL, errno.EADDRINUSE, errno.ENETUNREACH,
    errno.ENETDOWN, errno.EPERM,
})  # fmt: skip
LENGTH = re.compile(rb"[0-9]{1,9}")
LOAD, NOT_PROCESSED = b"x-server-load", b"x-not-processed"
USED, CHARGED = b"x-quota-used", b"x-units-charged"
FIGURE = re.compile(rb"[0-9]{1,9}(?:\.[0-9]{1,9})?")
Clock = Callable[[], float]


def load_report(text: str) -> dict[str, float]:
    """``inflight=7,queue=2`` as numbers; empty where it cannot be read."""
    report = {}
    try:
        for part in text.split(","):
            name, _, value = part.partition("=")
            number = float(value)
            if not name.strip() or not math.isfinite(number):
                raise ValueError("not a number")
            report[name.strip()] = number
    except ValueError:
        log.warning("dropped an unreadable load report: %.80r", text)
        return {}
    return report


def _figure(text: bytes) -> float | None:
    """A number of a header; None where it cannot be read: the answer is good all the same."""
    if FIGURE.fullmatch(text):
        return float(text)
    log.warning("passed over a figure on use that cannot be read: %.40r", text)
    return None


@dataclass(slots=True, eq=False)
class Exchange:
    """One request on its way to one server, and what came of it."""

    server: str
    head: bytes
    body: bytes
    expires: float  # infinite while an upload comes
    done: Callable[[Exchange], None]
    latest: float = math.inf  # its first byte goes out by then, or it never runs
    started: float = 0.0
    written: bool = False
    ended: bool = False
    status: Status = Status.NOT_SENT
    elapsed: float = 0.0
    answer_headers: bytes = b""
    answer: bytes = b""
    report: dict[str, float] = field(default_factory=dict)
    used: float | None = None  # the customer's use, a share of its rate
    units: float | None = None  # the request's true units
    upload: Upload | None = None  # in place of a body that is there
    wait: float = math.inf  # seconds for an answer, from the upload's last byte
    present: Callable[[], bool] | None = None  # a look whether its client is still there; None: it has none
    # Takes a large answer as it comes; where it is None, an answer is whole or spoilt.
    begun: Callable[[Exchange, Download], None] | None = None
    download: Download | None = None
    connection: _Connection | None = None
    timer: asyncio.TimerHandle | None = None


@dataclass(slots=True, eq=False)
class _Server:
    name: str
    address: tuple[str, int]
    up: bool = True  # as the list has it
    banned: bool = False  # by operators
    open: int = 0
    stale_after: float = math.inf  # idle seconds that a kept connection here has not outlived
    stale_until: float = 0.0
    idle: list[_Connection] = field(default_factory=list)  # the freshest last
    born: float = 0.0  # as the list has it
    life: int = 0  # counts its moves and restarts: what was dialled in another one is not used again
    waiting: dict[Exchange, None] = field(default_factory=dict)  # for dials

    @property
    def usable(self) -> bool:
        return self.up and not self.banned


class _Connection(asyncio.Protocol):
    """A connection to a server; it carries one exchange at a time."""

    def __init__(self, upstream: Upstream, server: _Server) -> None:
        self._upstream, self.server, self.life = upstream, server, server.life
        self.transport: asyncio.Transport | None = None
        self.exchange: Exchange | None = None
        self.idle_since: float | None = None  # None: it carries its first request
        self.rested = 0.0
        self._parser = httptools.HttpResponseParser(self)
        self.unwritten = self._keep_alive = self._begun = self._flows = self._eof = False
        self._late: asyncio.TimerHandle | None = None
        self.held, self.moved = False, 0.0  # the client waits to be read; when a byte last came
        self._clear()

    def _clear(self) -> None:
        self._headers, self._body = list[bytes](), list[bytes]()
        self._head_size = self._size = self._received = 0
        self._load: bytes | None = None
        self._used = self._charged = b""
        self._length: int | None = None
        self._chunked = self._head_read = self._to_the_end = False
        self._not_processed = self._surplus = False
        self._code: int | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        transport = cast(asyncio.Transport, transport)  # uvloop's are no subclass of it
        self.transport = transport
        # At 0 a write goes out in the call itself, and pause_writing tells that some of it did not.
        transport.set_write_buffer_limits(high=0)
        limit_receive_buffer(transport.get_extra_info("socket"))

    def pause_writing(self) -> None:
        self.unwritten = True

    def resume_writing(self) -> None:
        self.unwritten = False
        exchange = self.exchange
        if exchange is None:
            return
        if exchange.upload is None or exchange.upload.complete:
            exchange.written = True
        else:
            self.moved = self._upstream.now()
            exchange.upload.hold(False)

    def send(self, exchange: Exchange, data: bytes) -> None:
        assert self.transport is not None
        self._clear()
        self.exchange, exchange.connection = exchange, self
        self.transport.write(data)
        if self.transport.is_closing():  # the write itself failed: nothing has left
            self._upstream.end(exchange, Status.DROPPED)
        elif exchange.upload is None:
            exchange.written = not self.unwritten
        else:
            self._begin_flow()
            if not exchange.upload.attach(self):
                self._upstream.cancel(exchange)

    # An upload's sink.

    def put(self, data: bytes) -> None:
        exchange = self.exchange
        if self.transport is None or exchange is None or self.transport.is_closing():
            return
        self.transport.write(data)
        if self.unwritten and exchange.upload is not None and not exchange.upload.complete:
            exchange.upload.hold(True)

    def put_end(self) -> None:
        if (exchange := self.exchange) is not None:
            exchange.written = not self.unwritten
            self._upstream.whole(exchange)

    # A download's source.

    def hold(self, held: bool) -> None:
        if self.transport is None or held is self.held:
            return
        self.held, self.moved = held, self._upstream.now()
        if held:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    def drop(self) -> None:
        if self.exchange is not None:
            self._upstream.cancel(self.exchange)

    def stalled(self, now: float) -> bool:
        """Whether a server gives nothing of a large answer, though it is read, or takes nothing of an upload."""
        exchange = self.exchange
        if exchange is None or now - self.moved <= SERVER_STALL_SECONDS:
            return False
        return not self.held if exchange.download is not None else self.unwritten

    def stall(self) -> None:
        """Leave a server that has stalled."""
        exchange = self.exchange
        assert exchange is not None
        if exchange.download is not None:
            self._spoilt(TimeoutError("it began and stalled"))
        else:  # the request's last byte never left
            log.warning("%s took nothing of an upload for %g s", exchange.server, SERVER_STALL_SECONDS)
            self._upstream.give_up(exchange, Status.DROPPED)

    def leave(self) -> None:
        """The exchange no longer has this connection."""
        if self._flows and self.exchange is not None and self.exchange.upload is not None:
            self.exchange.upload.detach(self)
        if self._flows:
            self._flows = False
            self._upstream.streaming.discard(self)
            self._upstream.relay.end()
        if self.held and self.transport is not None and not self.transport.is_closing():
            self.held = False
            self.transport.resume_reading()

    def eof_received(self) -> None:
        # A close or an abort of our own brings None to ``connection_lost`` as well, and is no end of an answer.
        self._eof = True

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        if self.exchange is not None and self.idle_since is not None and self._received == 0:
            self._upstream.was_stale(self)
        self._upstream.lost(self)
        self._calm()
        if (exchange := self.exchange) is not None:
            if exc is None and self._eof and self._to_the_end and self._code is None:
                # It ends with its connection, and the server ended that in order.
                return self._complete(self._parser.get_status_code())
            self.leave()
            self.exchange = None
            self._upstream.end(exchange, Status.BROKEN if exchange.written else Status.DROPPED)

    def data_received(self, data: bytes) -> None:
        if self.exchange is None:
            self.abort()  # nobody asked: whatever it is, it must not meet the next request
            return
        exchange = self.exchange
        if not exchange.written and (exchange.upload is None or exchange.upload.complete):
            return self.abort()  # an answer before its request is whole is none, and the request never ran
        self._received += len(data)
        if exchange.download is not None:
            self.moved = self._upstream.now()
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if self._code is None:
                return self._spoilt(error.__context__ or error)
            self._surplus = True
        # Only now, with all input read, may the connection be used again.
        if self._code is not None:
            self._complete(self._code)
        elif exchange.download is not None or self.exchange is None:
            pass
        elif self._received > MAX_ANSWER:
            self._spoilt(ValueError("an answer without an end"))  # its head would grow inside the parser
        elif self._begun and self._late is None:
            wait = HOLD if self._unknown and exchange.begun is not None else BEGUN
            self._late = asyncio.get_running_loop().call_later(
                wait, self._never_whole, exchange, self._received
            )

    def _never_whole(self, exchange: Exchange, received: int) -> None:
        if self.exchange is not exchange or exchange.download is not None:
            return
        self._late = None
        if self._unknown and exchange.begun is not None:
            self._flow()
        elif self._received > received:  # it still comes, slowly
            self._late = asyncio.get_running_loop().call_later(
                BEGUN, self._never_whole, exchange, self._received
            )
        else:
            self._spoilt(TimeoutError("it began and was not finished"))

    @property
    def _unknown(self) -> bool:
        """Whether a good answer is coming whose length nobody knows."""
        good = self._head_read and self._parser.get_status_code() == 200
        return good and (self._chunked or self._to_the_end)

    def _flow(self) -> None:
        """The answer is large, or may be: pass it on as it comes."""
        exchange = self.exchange
        assert exchange is not None and exchange.begun is not None and self.transport is not None
        self._calm()
        self._begin_flow()
        self._read_figures(exchange, 200)
        if exchange.timer is not None:
            exchange.timer.cancel()  # the rest takes what it takes
        exchange.elapsed = self._upstream.now() - exchange.started
        body, self._body = b"".join(self._body), []
        download = exchange.download = Download(self._length, b"".join(self._headers), self)
        exchange.begun(exchange, download)
        if body and exchange.download is not None:
            download.put(body)

    def _begin_flow(self) -> None:
        """A large body is under way here, one way or the other."""
        assert self.transport is not None
        self.moved = self._upstream.now()
        if not self._flows:
            self._flows = True
            self._upstream.relay.begin(self.transport.get_extra_info("socket"))
            self._upstream.streaming.add(self)

    def _calm(self) -> None:
        if self._late is not None:
            self._late.cancel()
            self._late = None

    def _spoilt(self, error: BaseException) -> None:
        """An answer that cannot be read: the request may have run, and the server lives. All of them may
        answer like that on a bad day, so it must not count as a break, which speaks of a dead server."""
        exchange = self.exchange
        assert exchange is not None
        self.leave()
        self.exchange = None
        log.warning("an answer of %s could not be read: %s", exchange.server, error)
        exchange.connection = None
        self.abort()
        self._upstream.end(exchange, Status.ERROR)

    @property
    def unread(self) -> bool:
        """Whether bytes have come that the loop has not read yet."""
        assert self.transport is not None
        size = fcntl.ioctl(self.transport.get_extra_info("socket").fileno(), termios.FIONREAD, b"\0" * 4)
        return bool(struct.unpack("i", size)[0])

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    # The parser's callbacks.

    def on_header(self, name: bytes, value: bytes) -> None:
        key = name.lower()
        if self._surplus or self._head_read:
            return  # trailers say nothing that is read here
        self._head_size += len(name) + len(value)
        if self._head_size > MAX_HEAD_BYTES:
            raise ValueError("too large")
        value = value.rstrip(b" \t")  # no part of it, and the parser leaves it there
        if key == b"content-length":
            # The first length that does not fit is enough: nothing of 3 GB need come before it is known.
            if (
                self._length is not None
                or not LENGTH.fullmatch(value)
                or int(value) > MAX_STREAMED_BODY_BYTES
            ):
                raise ValueError("a length that is wrong, stands twice or is too large")
            self._length = int(value)
        elif key == b"transfer-encoding":
            if self._chunked or value.lower() != b"chunked":
                raise ValueError("an unknown transfer coding")
            self._chunked = True
        elif key == LOAD:
            self._load = value
        elif key == USED:
            self._used = value
        elif key == CHARGED:
            self._charged = value
        elif key == NOT_PROCESSED:
            self._not_processed = value == b"1"
        elif key not in UNFORWARDED_HEADERS:
            self._headers.append(b"%b: %b\r\n" % (name, value))

    def on_headers_complete(self) -> None:
        code = self._parser.get_status_code()
        if self._surplus or code < 200:
            return
        self._head_read = True
        exchange = self.exchange
        bare = code in (204, 304)  # they have no body, whatever their head says
        if self._chunked and self._length is not None:
            raise ValueError("an answer has a length or chunks, and not both")
        if not self._chunked and self._length is None and not bare:
            # The end of the connection is the answer's, where the head says that it will end.
            if self._parser.should_keep_alive():
                raise ValueError("an answer needs a length, chunks or an end of its connection")
            self._to_the_end = True
        flows = exchange is not None and exchange.begun is not None and code == 200
        if self._length is not None and self._length > MAX_BODY_BYTES:
            if not flows:
                raise ValueError("too large")
            self._flow()

    def on_body(self, body: bytes) -> None:
        exchange = self.exchange
        if self._surplus or exchange is None:
            return
        self._size += len(body)
        if self._size > MAX_STREAMED_BODY_BYTES:
            raise ValueError("too large")
        if exchange.download is not None:
            return exchange.download.put(body)
        self._body.append(body)
        if self._size > MAX_BODY_BYTES:
            if exchange.begun is None or not self._unknown:
                raise ValueError("too large")
            self._flow()

    def on_message_begin(self) -> None:
        self._surplus, self._begun = self._code is not None, True

    def on_message_complete(self) -> None:
        self._begun, code = False, self._parser.get_status_code()
        if self._surplus or code >= 200:
            self._code, self._keep_alive = self._code or code, self._parser.should_keep_alive()
        else:
            received = self._received
            self._clear()  # an interim answer; the real one follows, and the bound is on all of them
            self._received = received

    def _complete(self, code: int) -> None:
        exchange = self.exchange
        assert exchange is not None
        self._calm()
        reusable = self._keep_alive and not self._surplus and not self.unwritten and exchange.written
        self.leave()
        self.exchange = exchange.connection = None
        if exchange.download is None:
            exchange.answer_headers, exchange.answer = b"".join(self._headers), b"".join(self._body)
            self._read_figures(exchange, code)
        else:
            exchange.download.complete = True
        # Bytes behind the answer, or of a request not yet out whole, must not meet the next request.
        self._upstream.release(self, reusable)
        self._upstream.end(exchange, self._outcome(code))

    def _read_figures(self, exchange: Exchange, code: int) -> None:
        """What the head tells beside the answer."""
        if self._load is not None:
            exchange.report = load_report(self._load.decode("latin-1"))
        if self._used and (used := _figure(self._used)) is not None:
            exchange.used = used / 100
        if self._charged and code == 200:
            exchange.units = _figure(self._charged)

    def _outcome(self, code: int) -> Status:
        if code == 200:
            return Status.OK
        if 400 <= code < 500:
            return Status.REJECTED
        # Without the mark a 503 or 504 says nothing about whether the request ran.
        return Status.FULL if code in (503, 504) and self._not_processed else Status.ERROR


class Upstream:
    """The servers by name and the connections to them."""

    def __init__(self, clock: Clock, dial_timeout: float, conn_idle: float, max_connections: int) -> None:
        self._clock, self._dial_timeout, self._max = clock, dial_timeout, max_connections
        self._idle_for = conn_idle * IDLE_SHARE
        self._servers = dict[str, _Server]()
        self.relay, self.streaming = Relay(), set[_Connection]()  # connections with a large answer under way
        self.now = clock
        self._banned = set[str]()  # names that operators took out, listed or not
        self._open = self.dials = 0  # connections; dials begun so far
        self._dials = set[asyncio.Task[None]]()
        self._sweep_at = asyncio.get_running_loop().call_later(SWEEP, self._sweep)

    def retune(self, dial_timeout: float, conn_idle: float) -> None:
        """Other connection times, in seconds."""
        self._dial_timeout, self._idle_for = dial_timeout, conn_idle * IDLE_SHARE

    def update(self, name: str, dial: str, up: bool, born: float = 0.0) -> None:
        """What discovery says of a server: where it is dialled, whether it is up, when it last started."""
        address = split_address(dial) if dial else None
        server = self._servers.get(name)
        if server is None:
            if address is not None:
                self._servers[name] = _Server(name, address, up, name in self._banned, born=born)
            return
        moved, server.up = address not in (None, server.address), up
        restarted = born > 0 and abs(born - server.born) > SAME_BIRTH  # also where the wall clock went back
        if anew := moved or restarted:
            server.address, server.life = address or server.address, server.life + 1
            server.born = born or server.born
        if anew or not up:
            self._leave(server)
        self._drop(server)

    def ban(self, name: str, out: bool) -> None:
        """Nothing new goes to a server that operators took out: no dial, no kept connection, none that waits."""
        (self._banned.add if out else self._banned.discard)(name)
        if (server := self._servers.get(name)) is not None:
            server.banned = out
            if out:
                self._leave(server)

    def dials_by_name(self) -> dict[str, str]:
        """Where each server is dialled."""
        return {name: join_address(server.address) for name, server in self._servers.items()}

    def keep_only(self, names: set[str]) -> None:
        """A whole list: servers that it leaves out are gone."""
        for name, server in list(self._servers.items()):
            if name not in names:
                server.up = False
                self._leave(server)
                self._drop(server)

    def _leave(self, server: _Server) -> None:
        """Nothing new goes to a server as it was: what waits for a dial ends unsent, at once, while there is time
        to send it elsewhere. What is out there goes on."""
        self._close_idle(server)
        waiting, server.waiting = server.waiting, {}
        for exchange in waiting:
            self.give_up(exchange, Status.NOT_SENT)

    def _drop(self, server: _Server) -> None:
        """Forget what is not up once nothing is open there: ids are ever new, the table would grow."""
        if not server.up and server.open == 0 and self._servers.get(server.name) is server:
            del self._servers[server.name]

    def _closed(self, server: _Server) -> None:
        server.open, self._open = server.open - 1, self._open - 1
        self._drop(server)

    def start(self, exchange: Exchange) -> None:
        """Send a request; ``exchange.done`` is called once, maybe before this returns."""
        exchange.started = self._clock()
        server, left = self._servers.get(exchange.server), exchange.expires - exchange.started
        if server is None or not server.usable or left <= 0:
            return self.end(exchange, Status.NOT_SENT)
        if self._left(exchange):
            return None
        if (connection := self._take_idle(server)) is not None:
            return self._write(connection, exchange)
        if server.open >= PER_SERVER or (self._open >= self._max and not self._make_room()):
            return self.end(exchange, Status.FULL)
        self._time(exchange, min(left, exchange.latest - exchange.started))
        server.open, self._open, self.dials = server.open + 1, self._open + 1, self.dials + 1
        server.waiting[exchange] = None
        dial = asyncio.get_running_loop().create_task(self._dial(server, exchange))
        self._dials.add(dial)
        dial.add_done_callback(self._dials.discard)

    def whole(self, exchange: Exchange) -> None:
        """An upload's last byte is on its way: the time for its answer begins, be its dial up or not."""
        if exchange.wait < math.inf and not exchange.ended and exchange.expires == math.inf:
            now = exchange.started = self._clock()
            exchange.expires = now + exchange.wait
            latest = exchange.latest - now if exchange.connection is None else math.inf
            self._time(exchange, min(exchange.wait, latest))

    def cancel(self, exchange: Exchange) -> None:
        """Stop waiting; the connection goes with it, so that no late answer meets another request."""
        self.give_up(exchange, Status.CANCELLED)

    def end(self, exchange: Exchange, status: Status) -> None:
        """Report an exchange once."""
        if exchange.ended:
            return
        exchange.ended, exchange.status = True, status
        if exchange.download is None:
            exchange.elapsed = self._clock() - exchange.started
        if exchange.timer is not None:
            exchange.timer.cancel()
        exchange.done(exchange)

    def release(self, connection: _Connection, reusable: bool) -> None:
        """A connection whose exchange is over goes back to the idle ones, or is closed."""
        server, transport = connection.server, connection.transport
        if transport is None or transport.is_closing():
            return
        if reusable and server.usable and connection.life == server.life:
            connection.idle_since = self._clock()
            server.idle.append(connection)
        elif connection.unwritten:
            connection.abort()  # a close would wait for a server that has answered and reads no more
        else:
            transport.close()

    def was_stale(self, connection: _Connection) -> None:
        """A kept connection broke under its next request."""
        server, now = connection.server, self._clock()
        known = server.stale_after if now < server.stale_until else math.inf
        server.stale_after, server.stale_until = min(known, 0.5 * connection.rested), now + DISTRUST

    def lost(self, connection: _Connection) -> None:
        """A connection has ended."""
        if connection in connection.server.idle:
            connection.server.idle.remove(connection)
        self._closed(connection.server)

    def close(self) -> None:
        self._sweep_at.cancel()
        for dial in self._dials:
            dial.cancel()
        for server in self._servers.values():
            self._close_idle(server)

    async def _dial(self, server: _Server, exchange: Exchange) -> None:
        connection = _Connection(self, server)
        loop = asyncio.get_running_loop()
        if exchange.ended:  # before its first turn
            server.waiting.pop(exchange, None)
            return self._closed(server)
        try:
            async with asyncio.timeout(self._dial_timeout):
                await loop.create_connection(lambda: connection, *server.address)
        except (OSError, TimeoutError) as error:
            connection.abort()
            if connection.transport is None:  # no connection_lost will count it off
                self._closed(server)
            if isinstance(error, OSError) and error.errno in OWN_FAILURES:
                return self.end(exchange, Status.FULL)
            # Only who has taken a connection can reset it; a port where nobody listens refuses.
            reset = isinstance(error, ConnectionResetError)
            return self.end(exchange, Status.DROPPED if reset else Status.UNREACHABLE)
        finally:
            server.waiting.pop(exchange, None)
        if exchange.ended or self._left(exchange):
            self.release(connection, True)  # nothing was written on it
        elif connection.transport is not None and connection.unread:
            connection.abort()  # an answer before there is a request is none
            self.end(exchange, Status.DROPPED)
        else:
            self._write(connection, exchange)

    def _left(self, exchange: Exchange) -> bool:
        """Whether the client has closed, maybe unread yet: then the attempt ends before its first byte."""
        if exchange.present is None or exchange.present():
            return False
        self.cancel(exchange)
        return True

    def _write(self, connection: _Connection, exchange: Exchange) -> None:
        # Time has passed if this waited for a dial: the server may drain, the try may be over.
        now, server = self._clock(), connection.server
        left = exchange.expires - now
        late = left <= 0 or now >= exchange.latest
        if late or not server.usable or connection.life != server.life:
            self.release(connection, True)
            return self.end(exchange, Status.NOT_SENT)
        if exchange.timer is None or exchange.latest < exchange.expires:
            self._time(exchange, left)  # a dial was timed by its latest instant, an answer has longer
        # What is left, or, of a body that still comes, what there will be from its last byte on.
        timeout = b"X-Timeout-Ms: %d\r\n\r\n" % max(1, int(min(left, exchange.wait) * 1000))
        connection.send(exchange, exchange.head + timeout + exchange.body)

    def _time(self, exchange: Exchange, wait: float) -> None:
        """From now on it has so many seconds; infinite: as long as it takes."""
        if exchange.timer is not None:
            exchange.timer.cancel()
            exchange.timer = None
        if wait < math.inf:
            exchange.timer = asyncio.get_running_loop().call_later(wait, self._expired, exchange)

    def _expired(self, exchange: Exchange) -> None:
        # Not yet written on a connection, it is known not to have run, and says nothing of the server.
        self.give_up(exchange, Status.NOT_SENT if exchange.connection is None else Status.TIMEOUT)

    def give_up(self, exchange: Exchange, status: Status) -> None:
        """End an exchange that is still out; its connection goes with it."""
        if exchange.ended:
            return
        if (connection := exchange.connection) is not None:
            connection.leave()
            connection.exchange = exchange.connection = None
            connection.abort()
        self.end(exchange, status)

    def _take_idle(self, server: _Server) -> _Connection | None:
        """The freshest connection that has rested: the least likely to be closing at the other end."""
        now = self._clock()
        longest = min(self._idle_for, server.stale_after) if now < server.stale_until else self._idle_for
        for at in range(len(server.idle) - 1, -1, -1):
            connection = server.idle[at]
            connection.rested = now - (connection.idle_since or 0.0)
            if connection.rested < REST:
                continue
            del server.idle[at]
            if connection.transport is None or connection.transport.is_closing():
                continue
            # After a stall of this process a rest is over at once, with what came in it still unread.
            if connection.rested < longest and not connection.unread:
                return connection
            connection.transport.close()
        return None

    def _make_room(self) -> bool:
        """Close the longest idle connection of all, for the limit on descriptors."""
        oldest = min(
            (s.idle[0] for s in self._servers.values() if s.idle),
            key=lambda c: c.idle_since or 0.0,
            default=None,
        )
        if oldest is None:
            return False
        oldest.server.idle.remove(oldest)
        oldest.abort()
        return True

    def _close_idle(self, server: _Server, until: float = math.inf) -> None:
        while server.idle and (server.idle[0].idle_since or 0.0) <= until:
            connection = server.idle.pop(0)
            if connection.transport is not None:
                connection.transport.close()

    def _sweep(self) -> None:
        self._sweep_at = asyncio.get_running_loop().call_later(SWEEP, self._sweep)
        for server in self._servers.values():
            self._close_idle(server, self._clock() - self._idle_for)
        now = self._clock()
        for connection in [each for each in self.streaming if each.stalled(now)]:
            connection.stall()
