"""Connection pool to the servers. Each connection carries one exchange at a time.

The status of an exchange states what is known about its execution: a request that did not reach the server completely
never ran; once its last byte has left this process, it may have run. Nothing is sent twice here. Whether to retry is
the caller's decision.
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
from cypresspulley.net.metered_reader import MeteredReader, ReadScheduler, as_protocol
from cypresspulley.net.relay import (
    MAX_STREAMED_BODY_BYTES,
    SERVER_STALL_SECONDS,
    Download,
    Relay,
    Upload,
    limit_receive_buffer,
)

log = logging.getLogger(__name__)

MAX_CONNECTIONS_PER_SERVER = 64
# Share of the servers' idle timeout after which a pooled connection is closed here, so that a request does not cross
# the server's own close.
IDLE_TIMEOUT_SHARE = 0.5
SWEEP_INTERVAL_SECONDS = 1.0  # between two checks for expired idle connections and stalled transfers
# Minimum idle time of a connection before its next request. Bytes that a server sends after its response (a second
# copy, garbage) then arrive while no request is pending and close the connection. On a connection that is reused at
# once they would be taken for the response to the next request.
REUSE_DELAY_SECONDS = 0.03
# Longest time without a new byte of a response that has begun, until its head shows that it is a good one: a server may
# take as long as the client waits for the rest of that.
RESPONSE_PROGRESS_TIMEOUT_SECONDS = 0.5
# Time for which a response of unknown length is buffered. A small one is usually complete by then and is
# passed on whole.
UNSIZED_RESPONSE_HOLD_SECONDS = 0.05
# When a pooled connection breaks at its next request before any byte of the response, the server had closed it
# silently. For this time, connections to that server are not reused after half that idle time.
IDLE_LIMIT_LIFETIME_SECONDS = 10.0
# All bytes of a response, including interim responses, chunk sizes and trailers.
MAX_RESPONSE_BYTES = MAX_HEAD_BYTES + 2 * MAX_BODY_BYTES
START_TIME_TOLERANCE_SECONDS = 1e-6  # two start times of a server that differ by less are the same start
# Errors of connect() that are caused by this machine (no descriptor, buffer, port or route) and say nothing about the
# server.
LOCAL_DIAL_ERRNOS = frozenset({
    errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL, errno.EADDRINUSE, errno.ENETUNREACH,
    errno.ENETDOWN, errno.EPERM,
})  # fmt: skip
CONTENT_LENGTH_PATTERN = re.compile(rb"[0-9]{1,9}")
SERVER_LOAD_HEADER = b"x-server-load"
NOT_PROCESSED_HEADER = b"x-not-processed"
QUOTA_USED_HEADER = b"x-quota-used"
UNITS_CHARGED_HEADER = b"x-units-charged"
DECIMAL_PATTERN = re.compile(rb"[0-9]{1,9}(?:\.[0-9]{1,9})?")
Clock = Callable[[], float]


def parse_load_report(text: str) -> dict[str, float]:
    """Parse a load report such as ``inflight=7,queue=2``; return an empty dict if it is malformed."""
    report = {}
    try:
        for part in text.split(","):
            name, _, value = part.partition("=")
            number = float(value)
            if not name.strip() or not math.isfinite(number):
                raise ValueError("load report has a field without a name or without a finite number")
            report[name.strip()] = number
    except ValueError:
        log.warning("ignored a malformed load report: %.80r", text)
        return {}
    return report


def _parse_decimal(text: bytes) -> float | None:
    """Parse the decimal value of a response header. A malformed value gives None and does not fail the response."""
    if DECIMAL_PATTERN.fullmatch(text):
        return float(text)
    log.warning("ignored a malformed number in a quota header: %.40r", text)
    return None


@dataclass(slots=True, eq=False)
class Exchange:
    """One request sent to one server, and its result."""

    server: str
    head: bytes
    body: bytes
    expires: float  # deadline for the response, by the clock of ``Upstream``; infinite while an upload is incomplete
    on_done: Callable[[Exchange], None]
    latest_start: float = math.inf  # if its first byte has not been written by then, it is not sent
    # Until when a response that has begun may go on, beyond ``expires``; the client's deadline.
    deadline: float = 0.0
    started_at: float = 0.0
    written: bool = False  # its last byte has been passed to the kernel
    ended: bool = False
    status: Status = Status.NOT_SENT
    elapsed: float = 0.0
    response_headers: bytes = b""
    response_body: bytes = b""
    report: dict[str, float] = field(default_factory=dict)
    quota_used_share: float | None = None  # the account's use over all gateways, as a share of its rate
    charged_units: float | None = None  # actual cost of the request in units
    upload: Upload | None = None  # streams the body; ``body`` is empty then
    response_timeout: float = math.inf  # seconds, counted from the last byte of the upload
    # Returns whether the client is still connected; None for an exchange without a client (a probe).
    check_client_present: Callable[[], bool] | None = None
    # Receives a large response as a stream. If None, a response that exceeds the limits is an error.
    on_download: Callable[[Exchange, Download], None] | None = None
    download: Download | None = None
    connection: _Connection | None = None
    timer: asyncio.TimerHandle | None = None

    @property
    def may_have_run(self) -> bool:
        """Whether the server has the whole request, as far as is known, and did not say that it never ran."""
        return self.written and self.status is not Status.FULL

    @property
    def phase(self) -> str:
        """What the exchange waits for, for the log."""
        if self.ended:
            return self.status.name.lower()
        if self.connection is None:
            return "connecting"
        if self.download is not None:
            return "streaming the response"
        return "waiting for the response" if self.written else "sending"


@dataclass(slots=True, eq=False)
class _Server:
    name: str
    address: tuple[str, int]
    up: bool = True  # as listed by discovery
    banned: bool = False  # by an operator
    open_connections: int = 0
    stale_idle_limit: float = math.inf  # seconds; connections idle for longer are not reused
    stale_limit_expires_at: float = 0.0
    idle: list[_Connection] = field(default_factory=list)  # the most recently used one last
    born: float = 0.0  # Unix time of its last start, as listed by discovery; 0: unknown
    generation: int = 0  # address changes and restarts so far; connections of an earlier one are not reused
    waiting_for_dial: dict[Exchange, None] = field(default_factory=dict)  # ordered set of exchanges

    @property
    def usable(self) -> bool:
        return self.up and not self.banned


class _Connection(MeteredReader):
    """A connection to a server, which carries one exchange at a time."""

    def __init__(self, upstream: Upstream, server: _Server) -> None:
        super().__init__(upstream.read_scheduler)
        self._upstream = upstream
        self.server = server
        self.generation = server.generation
        self.transport: asyncio.Transport | None = None
        self.exchange: Exchange | None = None
        self.idle_since: float | None = None  # None until its first exchange has ended
        self.idle_seconds = 0.0
        self._parser = httptools.HttpResponseParser(self)
        self.has_unwritten_data = False
        self._keep_alive = False
        self._response_started = False
        self._is_streaming = False
        self._got_eof = False
        self._progress_timer: asyncio.TimerHandle | None = None
        self._unwritten_bytes = 0  # of an upload, as last added to ``relay.buffered``
        self.last_progress_at = 0.0  # when a byte of the transfer last moved or reading was paused or resumed
        self._reset_response()

    def _reset_response(self) -> None:
        # Joined as they arrive: kept as objects of their own, short fragments would take many times their size.
        self._headers = bytearray()
        self._body = bytearray()
        self._header_bytes = 0
        self._body_bytes = 0
        self._received_bytes = 0
        self.is_response_stalled = False  # nothing more of it came for ``RESPONSE_PROGRESS_TIMEOUT_SECONDS``
        self._load_value: bytes | None = None
        self._quota_used_value = b""
        self._units_charged_value = b""
        self._content_length: int | None = None
        self._is_chunked = False
        self._is_head_complete = False
        self._ends_with_connection = False
        self._not_processed = False
        self._has_surplus_data = False
        self._status_code: int | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # uvloop's transports are not a subclass of asyncio.Transport.
        transport = cast(asyncio.Transport, transport)
        self.transport = transport
        # With a high-water mark of 0, write() passes the data to the kernel at once, and pause_writing() is called if
        # some of it had to be buffered.
        transport.set_write_buffer_limits(high=0)
        limit_receive_buffer(transport.get_extra_info("socket"))

    def pause_writing(self) -> None:
        self.has_unwritten_data = True

    def resume_writing(self) -> None:
        self.has_unwritten_data = False
        self._count_unwritten()
        exchange = self.exchange
        if exchange is None:
            return
        if exchange.upload is None or exchange.upload.complete:
            exchange.written = True
        else:
            self.last_progress_at = self._upstream.now()
            exchange.upload.hold(False)

    def send(self, exchange: Exchange, data: bytes) -> None:
        """Write the request of an exchange, or its head if the body is an upload, and receive its response."""
        assert self.transport is not None
        self._reset_response()
        self.exchange, exchange.connection = exchange, self
        self.transport.write(data)
        if self.transport.is_closing():  # the write itself failed, so nothing was sent
            self._upstream.finish(exchange, Status.DROPPED)
        elif exchange.upload is None:
            exchange.written = not self.has_unwritten_data
        else:
            self._begin_transfer()
            if not exchange.upload.attach(self):
                self._upstream.cancel(exchange)

    # Protocol ``relay.Sink`` (uploads).

    def put(self, data: bytes) -> None:
        exchange = self.exchange
        if self.transport is None or exchange is None or self.transport.is_closing():
            return
        self.transport.write(data)
        if self.has_unwritten_data and exchange.upload is not None and not exchange.upload.complete:
            exchange.upload.hold(self._count_unwritten() > self._upstream.relay.high_water())

    def _count_unwritten(self) -> int:
        """Return the bytes of an upload that the server has not accepted, and count the change for all transfers."""
        is_open = self._is_streaming and self.transport is not None
        size = self.transport.get_write_buffer_size() if is_open and self.transport is not None else 0
        self._upstream.relay.buffered += size - self._unwritten_bytes
        self._unwritten_bytes = size
        return size

    def put_end(self) -> None:
        if (exchange := self.exchange) is not None:
            exchange.written = not self.has_unwritten_data
            self._upstream.start_response_timeout(exchange)

    # Protocol ``relay.Source`` (downloads).

    def hold(self, held: bool) -> None:
        if self.transport is None or held is self.is_reading_paused:
            return
        self.last_progress_at = self._upstream.now()
        self.hold_reading(held)

    def reading_transport(self) -> asyncio.Transport | None:
        return self.transport

    def drop(self) -> None:
        if self.exchange is not None:
            self._upstream.cancel(self.exchange)

    def is_stalled(self, now: float) -> bool:
        """Return whether the server has sent nothing of a large response that is being read, or has accepted nothing
        of an upload, for ``STALL`` seconds."""
        exchange = self.exchange
        unwritten = self._unwritten_bytes
        if self._count_unwritten() != unwritten:
            self.last_progress_at = now
        if exchange is None or now - self.last_progress_at <= SERVER_STALL_SECONDS:
            return False
        return not self.is_reading_paused if exchange.download is not None else self.has_unwritten_data

    def abort_stalled(self) -> None:
        """End the exchange of a connection for which ``is_stalled`` holds."""
        exchange = self.exchange
        assert exchange is not None
        if exchange.download is not None:
            self._fail_response(TimeoutError("it began and stalled"))
        else:  # the last byte of the request was never sent
            log.warning(
                "server %s accepted no data for %g s: %r",
                exchange.server,
                SERVER_STALL_SECONDS,
                exchange.upload,
            )
            self._upstream.abort_exchange(exchange, Status.DROPPED)

    def detach_exchange(self) -> None:
        """Stop the transfers of the exchange, which gives up this connection."""
        if self._is_streaming and self.exchange is not None and self.exchange.upload is not None:
            self.exchange.upload.detach(self)
        if self._is_streaming:
            self._is_streaming = False
            self._count_unwritten()
            self._upstream.streaming_connections.discard(self)
            self._upstream.relay.end()
        self.hold_reading(False)

    def eof_received(self) -> None:
        # A local close() or abort() also calls ``connection_lost`` with None, but does not end a response.
        self._got_eof = True

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self._count_unwritten()
        if self.exchange is not None and self.idle_since is not None and self._received_bytes == 0:
            self._upstream.record_stale_connection(self)
        self._upstream.remove_connection(self)
        self._cancel_progress_timer()
        if (exchange := self.exchange) is not None:
            if exc is None and self._got_eof and self._ends_with_connection and self._status_code is None:
                # The response is delimited by the end of the connection, which the server closed properly.
                return self._complete_response(self._parser.get_status_code())
            self.detach_exchange()
            self.exchange = None
            self._upstream.finish(exchange, Status.BROKEN if exchange.written else Status.DROPPED)

    def data_received(self, data: bytes) -> None:
        if self.exchange is None:
            self.abort()  # unsolicited data must not be taken for the response to the next request
            return
        exchange = self.exchange
        if not exchange.written and (exchange.upload is None or exchange.upload.complete):
            return self.abort()  # not a valid response: the request is incomplete and never ran
        self._received_bytes += len(data)
        if exchange.download is not None:
            self.last_progress_at = self._upstream.now()
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if self._status_code is None:
                return self._fail_response(error.__context__ or error)
            self._has_surplus_data = True
        self._pass_on_body()
        # The connection may be reused only now, when all input has been parsed.
        if self._status_code is not None:
            self._complete_response(self._status_code)
        elif exchange.download is not None or self.exchange is None:
            pass
        elif self._received_bytes > MAX_RESPONSE_BYTES:
            # The parser buffers an incomplete header without a limit.
            self._fail_response(ValueError("response exceeds the size limit"))
        elif self._response_started and self._progress_timer is None:
            wait = (
                UNSIZED_RESPONSE_HOLD_SECONDS
                if self._has_unknown_length and exchange.on_download is not None
                else RESPONSE_PROGRESS_TIMEOUT_SECONDS
            )
            self._progress_timer = asyncio.get_running_loop().call_later(
                wait, self._check_progress, exchange, self._received_bytes
            )

    def _check_progress(self, exchange: Exchange, received: int) -> None:
        if self.exchange is not exchange or exchange.download is not None:
            return
        self._progress_timer = None
        self.is_response_stalled = self._received_bytes == received
        if self._has_unknown_length and exchange.on_download is not None:
            self._start_streaming()
        elif self._received_bytes > received or self.has_good_response_begun:  # slow, or still to come
            self._progress_timer = asyncio.get_running_loop().call_later(
                RESPONSE_PROGRESS_TIMEOUT_SECONDS, self._check_progress, exchange, self._received_bytes
            )
        else:
            self._fail_response(TimeoutError("the response is incomplete and no more of it arrives"))

    @property
    def has_good_response_begun(self) -> bool:
        """Whether the head of a response with status 200 has been received, and the response is not complete."""
        is_ok = self._is_head_complete and self._parser.get_status_code() == 200
        return is_ok and self._status_code is None

    @property
    def _has_unknown_length(self) -> bool:
        """Whether a response with status 200 and without a Content-Length is being received."""
        return self.has_good_response_begun and (self._is_chunked or self._ends_with_connection)

    def _start_streaming(self) -> None:
        """Pass a response that is or may be large on to the client as it arrives."""
        exchange = self.exchange
        assert exchange is not None and exchange.on_download is not None and self.transport is not None
        self._cancel_progress_timer()
        self._begin_transfer()
        self._read_metadata(exchange, 200)
        if exchange.timer is not None:
            exchange.timer.cancel()  # the rest of the response has no deadline
        exchange.elapsed = self._upstream.now() - exchange.started_at
        exchange.download = Download(self._content_length, bytes(self._headers), self)
        exchange.on_download(exchange, exchange.download)
        self._pass_on_body()

    def _pass_on_body(self) -> None:
        """Pass what was received of a streamed response on to the client, in one piece."""
        exchange = self.exchange
        if self._body and exchange is not None and exchange.download is not None:
            body, self._body = bytes(self._body), bytearray()
            exchange.download.put(body)

    def _begin_transfer(self) -> None:
        """Register a streamed body, in either direction, with the relay and the sweep."""
        assert self.transport is not None
        self.last_progress_at = self._upstream.now()
        if not self._is_streaming:
            self._is_streaming = True
            self._upstream.relay.begin(self.transport.get_extra_info("socket"))
            self._upstream.streaming_connections.add(self)

    def _cancel_progress_timer(self) -> None:
        if self._progress_timer is not None:
            self._progress_timer.cancel()
            self._progress_timer = None

    def _fail_response(self, error: BaseException) -> None:
        """End the exchange with ``Status.ERROR`` because its response is malformed or stalled.

        The request may have run, and the server is alive. A fault may make all servers respond like that, so it must
        not count as a broken connection, which is a sign of a dead server.
        """
        exchange = self.exchange
        assert exchange is not None
        self.detach_exchange()
        self.exchange = None
        log.warning("invalid response from server %s: %s", exchange.server, error)
        exchange.connection = None
        self.abort()
        self._upstream.finish(exchange, Status.ERROR)

    @property
    def has_unread_data(self) -> bool:
        """Whether the kernel holds received bytes that the event loop has not read yet."""
        assert self.transport is not None
        size = fcntl.ioctl(self.transport.get_extra_info("socket").fileno(), termios.FIONREAD, b"\0" * 4)
        return bool(struct.unpack("i", size)[0])

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    # Callbacks of httptools.HttpResponseParser.

    def on_header(self, name: bytes, value: bytes) -> None:
        key = name.lower()
        if self._has_surplus_data or self._is_head_complete:
            return  # trailers are ignored
        self._header_bytes += len(name) + len(value)
        if self._header_bytes > MAX_HEAD_BYTES:
            raise ValueError("header section is too large")
        value = value.rstrip(b" \t")  # trailing whitespace is not part of the value, but the parser keeps it
        if key == b"content-length":
            # An invalid length is rejected before any of the body arrives, which may be 3 GB.
            if (
                self._content_length is not None
                or not CONTENT_LENGTH_PATTERN.fullmatch(value)
                or int(value) > MAX_STREAMED_BODY_BYTES
            ):
                raise ValueError("Content-Length is malformed, repeated or too large")
            self._content_length = int(value)
        elif key == b"transfer-encoding":
            if self._is_chunked or value.lower() != b"chunked":
                raise ValueError("Transfer-Encoding is not supported or repeated")
            self._is_chunked = True
        elif key == SERVER_LOAD_HEADER:
            self._load_value = value
        elif key == QUOTA_USED_HEADER:
            self._quota_used_value = value
        elif key == UNITS_CHARGED_HEADER:
            self._units_charged_value = value
        elif key == NOT_PROCESSED_HEADER:
            self._not_processed = value == b"1"
        elif key not in UNFORWARDED_HEADERS:
            self._headers += b"%b: %b\r\n" % (name, value)

    def on_headers_complete(self) -> None:
        code = self._parser.get_status_code()
        if self._has_surplus_data or code < 200:
            return
        self._is_head_complete = True
        exchange = self.exchange
        has_no_body = code in (204, 304)  # these have no body, whatever their headers say
        if self._is_chunked and self._content_length is not None:
            raise ValueError("response has both Content-Length and Transfer-Encoding")
        if not self._is_chunked and self._content_length is None and not has_no_body:
            # The body is delimited by the end of the connection, provided that the headers announce the close.
            if self._parser.should_keep_alive():
                raise ValueError(
                    "response has no Content-Length, no Transfer-Encoding and keeps its connection open"
                )
            self._ends_with_connection = True
        may_stream = exchange is not None and exchange.on_download is not None and code == 200
        if self._content_length is not None and self._content_length > MAX_BODY_BYTES:
            if not may_stream:
                raise ValueError("body is too large for a response that is not streamed")
            self._start_streaming()

    def on_body(self, body: bytes) -> None:
        exchange = self.exchange
        if self._has_surplus_data or exchange is None:
            return
        self._body_bytes += len(body)
        if self._body_bytes > MAX_STREAMED_BODY_BYTES:
            raise ValueError("body is too large")
        self._body += body
        if exchange.download is None and self._body_bytes > MAX_BODY_BYTES:
            if exchange.on_download is None or not self._has_unknown_length:
                raise ValueError("body is too large for a response that is not streamed")
            self._start_streaming()

    def on_message_begin(self) -> None:
        self._has_surplus_data, self._response_started = self._status_code is not None, True

    def on_message_complete(self) -> None:
        self._response_started, code = False, self._parser.get_status_code()
        if self._has_surplus_data or code >= 200:
            self._status_code, self._keep_alive = self._status_code or code, self._parser.should_keep_alive()
        else:
            received = self._received_bytes
            # An interim response; the final one follows, and the size limit applies to all of them together.
            self._reset_response()
            self._received_bytes = received

    def _complete_response(self, code: int) -> None:
        exchange = self.exchange
        assert exchange is not None
        self._cancel_progress_timer()
        reusable = (
            self._keep_alive
            and not self._has_surplus_data
            and not self.has_unwritten_data
            and exchange.written
        )
        self.detach_exchange()
        self.exchange = exchange.connection = None
        if exchange.download is None:
            exchange.response_headers, exchange.response_body = bytes(self._headers), bytes(self._body)
            self._headers, self._body = bytearray(), bytearray()
            self._read_metadata(exchange, code)
        else:
            exchange.download.complete = True
        # A connection with bytes after the response, or with unsent bytes of its request, is not reused: they would be
        # mixed up with the next exchange.
        self._upstream.release(self, reusable)
        self._upstream.finish(exchange, self._status_for(code))

    def _read_metadata(self, exchange: Exchange, code: int) -> None:
        """Store the load report and the quota figures of the response headers in the exchange."""
        if self._load_value is not None:
            exchange.report = parse_load_report(self._load_value.decode("latin-1"))
        if self._quota_used_value and (used := _parse_decimal(self._quota_used_value)) is not None:
            exchange.quota_used_share = used / 100
        if self._units_charged_value and code == 200:
            exchange.charged_units = _parse_decimal(self._units_charged_value)

    def _status_for(self, code: int) -> Status:
        if code == 200:
            return Status.OK
        if 400 <= code < 500:
            return Status.REJECTED
        # Without the X-Not-Processed header, a 503 or 504 does not show whether the request ran.
        return Status.FULL if code in (503, 504) and self._not_processed else Status.ERROR


class Upstream:
    """The servers known by name and the pooled connections to them.

    All times are in seconds; instants are by ``clock``.
    """

    def __init__(self, clock: Clock, dial_timeout: float, conn_idle: float, max_connections: int) -> None:
        self._clock = clock
        self._dial_timeout = dial_timeout
        self._max_connections = max_connections
        self._idle_timeout = conn_idle * IDLE_TIMEOUT_SHARE
        self._servers = dict[str, _Server]()
        self.relay = Relay()
        self.read_scheduler = ReadScheduler(self.relay.high_water)
        self.streaming_connections = set[_Connection]()  # with a streamed body in progress
        self.now = clock
        self._banned = set[str]()  # servers banned by an operator, whether listed or not
        self._open_connections = 0  # including dials in progress
        self.dials_started = 0  # since the start of the process
        self._dial_tasks = set[asyncio.Task[None]]()
        self._sweep_timer = asyncio.get_running_loop().call_later(SWEEP_INTERVAL_SECONDS, self._sweep)

    def retune(self, dial_timeout: float, conn_idle: float) -> None:
        """Change the timeout of dials and the idle timeout of the servers, both in seconds."""
        self._dial_timeout, self._idle_timeout = dial_timeout, conn_idle * IDLE_TIMEOUT_SHARE

    def update_server(self, name: str, dial: str, up: bool, born: float = 0.0) -> None:
        """Apply what discovery says about a server.

        ``dial`` is its address as ``host:port``, or empty if discovery gives none; ``up`` says whether it takes new
        requests; ``born`` is the Unix time of its last start, or 0 if unknown. Raise ``ValueError`` for a malformed
        address.
        """
        address = split_address(dial) if dial else None
        server = self._servers.get(name)
        if server is None:
            if address is not None:
                self._servers[name] = _Server(name, address, up, name in self._banned, born=born)
            return
        moved, server.up = address not in (None, server.address), up
        # An earlier start time also means a restart: the server's wall clock may have been set back.
        restarted = born > 0 and abs(born - server.born) > START_TIME_TOLERANCE_SECONDS
        if is_replaced := moved or restarted:
            server.address, server.generation = address or server.address, server.generation + 1
            server.born = born or server.born
        if is_replaced or not up:
            self._stop_using(server)
        self._forget_if_unused(server)

    def set_banned(self, name: str, is_banned: bool) -> None:
        """Ban a server, or lift its ban with ``is_banned`` false.

        A banned server gets no new requests: its idle connections are closed, and exchanges that wait for a dial end
        unsent.
        """
        (self._banned.add if is_banned else self._banned.discard)(name)
        if (server := self._servers.get(name)) is not None:
            server.banned = is_banned
            if is_banned:
                self._stop_using(server)

    def server_addresses(self) -> dict[str, str]:
        """Return the address of each server, by name."""
        return {name: join_address(server.address) for name, server in self._servers.items()}

    def retain_servers(self, names: set[str]) -> None:
        """Remove all servers that a complete list does not name."""
        for name, server in list(self._servers.items()):
            if name not in names:
                server.up = False
                self._stop_using(server)
                self._forget_if_unused(server)

    def _stop_using(self, server: _Server) -> None:
        """Close the idle connections of a server and end the exchanges that wait for a dial.

        They end at once as not sent, while there is time to send them to another server. Requests that have been sent
        go on.
        """
        self._close_idle(server)
        waiting, server.waiting_for_dial = server.waiting_for_dial, {}
        for exchange in waiting:
            self.abort_exchange(exchange, Status.NOT_SENT)

    def _forget_if_unused(self, server: _Server) -> None:
        """Remove a server that is not up once it has no open connections. Server ids are not reused, so the table
        would grow without bound."""
        if not server.up and server.open_connections == 0 and self._servers.get(server.name) is server:
            del self._servers[server.name]

    def _count_closed(self, server: _Server) -> None:
        server.open_connections -= 1
        self._open_connections -= 1
        self._forget_if_unused(server)

    def start(self, exchange: Exchange) -> None:
        """Send a request. ``exchange.on_done`` is called exactly once, possibly before this method returns."""
        exchange.started_at = self._clock()
        server, left = self._servers.get(exchange.server), exchange.expires - exchange.started_at
        if server is None or not server.usable or left <= 0:
            return self.finish(exchange, Status.NOT_SENT)
        if self._cancel_if_client_left(exchange):
            return None
        if (connection := self._take_idle_connection(server)) is not None:
            return self._send_request(connection, exchange)
        if server.open_connections >= MAX_CONNECTIONS_PER_SERVER or (
            self._open_connections >= self._max_connections and not self._close_oldest_idle()
        ):
            return self.finish(exchange, Status.FULL)
        self._set_timeout(exchange, min(left, exchange.latest_start - exchange.started_at))
        server.open_connections += 1
        self._open_connections += 1
        self.dials_started += 1
        server.waiting_for_dial[exchange] = None
        dial = asyncio.get_running_loop().create_task(self._dial(server, exchange))
        self._dial_tasks.add(dial)
        dial.add_done_callback(self._dial_tasks.discard)

    def start_response_timeout(self, exchange: Exchange) -> None:
        """Start the response timeout of an upload whose last byte has arrived, whether or not it is connected."""
        if exchange.response_timeout < math.inf and not exchange.ended and exchange.expires == math.inf:
            now = exchange.started_at = self._clock()
            exchange.expires = now + exchange.response_timeout
            time_to_send = exchange.latest_start - now if exchange.connection is None else math.inf
            self._set_timeout(exchange, min(exchange.response_timeout, time_to_send))

    def cancel(self, exchange: Exchange) -> None:
        """Cancel an exchange and close its connection, so that a late response is not taken for that of another
        request."""
        self.abort_exchange(exchange, Status.CANCELLED)

    def finish(self, exchange: Exchange, status: Status) -> None:
        """Report the end of an exchange, unless that has been done already."""
        if exchange.ended:
            return
        exchange.ended, exchange.status = True, status
        if exchange.download is None:
            exchange.elapsed = self._clock() - exchange.started_at
        if exchange.timer is not None:
            exchange.timer.cancel()
        exchange.on_done(exchange)

    def release(self, connection: _Connection, reusable: bool) -> None:
        """Return a connection whose exchange has ended to the pool, or close it."""
        server, transport = connection.server, connection.transport
        if transport is None or transport.is_closing():
            return
        if reusable and server.usable and connection.generation == server.generation:
            connection.idle_since = self._clock()
            server.idle.append(connection)
        elif connection.has_unwritten_data:
            connection.abort()  # close() would wait for a server that has responded and reads no more
        else:
            transport.close()

    def record_stale_connection(self, connection: _Connection) -> None:
        """Shorten the idle time after which connections to this server are reused, because one broke at its next
        request."""
        server, now = connection.server, self._clock()
        current_limit = server.stale_idle_limit if now < server.stale_limit_expires_at else math.inf
        server.stale_idle_limit = min(current_limit, 0.5 * connection.idle_seconds)
        server.stale_limit_expires_at = now + IDLE_LIMIT_LIFETIME_SECONDS

    def remove_connection(self, connection: _Connection) -> None:
        """Forget a connection that has ended."""
        if connection in connection.server.idle:
            connection.server.idle.remove(connection)
        self._count_closed(connection.server)

    def close(self) -> None:
        """Cancel all dials and close all idle connections; exchanges in progress are left alone."""
        self._sweep_timer.cancel()
        for dial in self._dial_tasks:
            dial.cancel()
        for server in self._servers.values():
            self._close_idle(server)

    async def _dial(self, server: _Server, exchange: Exchange) -> None:
        connection = _Connection(self, server)
        loop = asyncio.get_running_loop()
        if exchange.ended:  # before this task first ran
            server.waiting_for_dial.pop(exchange, None)
            return self._count_closed(server)
        try:
            async with asyncio.timeout(self._dial_timeout):
                await loop.create_connection(lambda: as_protocol(connection), *server.address)
        except (OSError, TimeoutError) as error:
            connection.abort()
            if connection.transport is None:  # connection_lost will not be called
                self._count_closed(server)
            if isinstance(error, OSError) and error.errno in LOCAL_DIAL_ERRNOS:
                return self.finish(exchange, Status.FULL)
            # A reset shows that the connection had been accepted; a port without a listener refuses it.
            reset = isinstance(error, ConnectionResetError)
            return self.finish(exchange, Status.DROPPED if reset else Status.UNREACHABLE)
        finally:
            server.waiting_for_dial.pop(exchange, None)
        if exchange.ended or self._cancel_if_client_left(exchange):
            self.release(connection, True)  # nothing was written to it
        elif connection.transport is not None and connection.has_unread_data:
            connection.abort()  # not a response: no request has been sent
            self.finish(exchange, Status.DROPPED)
        else:
            self._send_request(connection, exchange)

    def _cancel_if_client_left(self, exchange: Exchange) -> bool:
        """Return whether the client has disconnected, even if its FIN has not been read yet. The exchange is then
        cancelled before its first byte is sent."""
        if exchange.check_client_present is None or exchange.check_client_present():
            return False
        self.cancel(exchange)
        return True

    def _send_request(self, connection: _Connection, exchange: Exchange) -> None:
        # After a dial the server may be draining or the deadline may have passed.
        now, server = self._clock(), connection.server
        left = exchange.expires - now
        late = left <= 0 or now >= exchange.latest_start
        if late or not server.usable or connection.generation != server.generation:
            self.release(connection, True)
            return self.finish(exchange, Status.NOT_SENT)
        if exchange.timer is None or exchange.latest_start < exchange.expires:
            self._set_timeout(exchange, left)  # the dial was limited by latest_start
        # The time left; for an incomplete body the time that there will be from its last byte on.
        timeout = b"X-Timeout-Ms: %d\r\n\r\n" % max(1, int(min(left, exchange.response_timeout) * 1000))
        connection.send(exchange, exchange.head + timeout + exchange.body)

    def _set_timeout(self, exchange: Exchange, wait: float) -> None:
        """Restart the timeout of an exchange, in seconds from now; infinite removes it."""
        if exchange.timer is not None:
            exchange.timer.cancel()
            exchange.timer = None
        if wait < math.inf:
            exchange.timer = asyncio.get_running_loop().call_later(wait, self._expired, exchange)

    def _expired(self, exchange: Exchange) -> None:
        connection = exchange.connection
        if connection is None:  # it was not sent, did not run, and says nothing about the server
            return self.abort_exchange(exchange, Status.NOT_SENT)
        if not connection.has_good_response_begun:
            return self.abort_exchange(exchange, Status.TIMEOUT)
        left = exchange.deadline - self._clock()
        if left > 0:
            self._set_timeout(
                exchange, left
            )  # the server is writing the response: its client decides how long
        else:
            # A response that stands still is a fault of the response, and no silence of the server.
            self.abort_exchange(exchange, Status.ERROR if connection.is_response_stalled else Status.TIMEOUT)

    def abort_exchange(self, exchange: Exchange, status: Status) -> None:
        """End an exchange that is still in progress and close its connection."""
        if exchange.ended:
            return
        if (connection := exchange.connection) is not None:
            connection.detach_exchange()
            connection.exchange = exchange.connection = None
            connection.abort()
        self.finish(exchange, status)

    def _take_idle_connection(self, server: _Server) -> _Connection | None:
        """Take the most recently used connection that has been idle for ``REUSE_DELAY_SECONDS``: it is the one least
        likely to be closed by the server right now."""
        now = self._clock()
        max_idle = (
            min(self._idle_timeout, server.stale_idle_limit)
            if now < server.stale_limit_expires_at
            else self._idle_timeout
        )
        for index in range(len(server.idle) - 1, -1, -1):
            connection = server.idle[index]
            connection.idle_seconds = now - (connection.idle_since or 0.0)
            if connection.idle_seconds < REUSE_DELAY_SECONDS:
                continue
            del server.idle[index]
            if connection.transport is None or connection.transport.is_closing():
                continue
            # If this process was stalled, the reuse delay has passed, but bytes that arrived meanwhile are unread.
            if connection.idle_seconds < max_idle and not connection.has_unread_data:
                return connection
            connection.transport.close()
        return None

    def _close_oldest_idle(self) -> bool:
        """Close the longest idle connection of all servers to stay within the limit on descriptors; return whether
        there was one."""
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
        self._sweep_timer = asyncio.get_running_loop().call_later(SWEEP_INTERVAL_SECONDS, self._sweep)
        for server in self._servers.values():
            self._close_idle(server, self._clock() - self._idle_timeout)
        now = self._clock()
        for connection in [each for each in self.streaming_connections if each.is_stalled(now)]:
            connection.abort_stalled()
