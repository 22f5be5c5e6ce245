"""The client-facing HTTP server: parses requests and writes exactly one response to each."""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import logging
import os
import re
import select
import socket
import struct
import termios
import time
from collections import deque
from collections.abc import Callable, Iterator
from heapq import nsmallest
from typing import cast

import httptools

from cypresspulley import interface as api
from cypresspulley.lifecycle import SHUTDOWN_ACTIONS, ConnectionAction, ConnectionState, ShutdownPhase
from cypresspulley.net.arrival import ArrivalClock
from cypresspulley.net.client_request import (
    STATUS_LINES,
    ClientRequest,
    Handler,
    ParsedRequest,
    PathHandler,
)
from cypresspulley.net.connection_log import ConnectionLog, EndCause
from cypresspulley.net.http import MAX_BODY_BYTES, MAX_HEAD_BYTES, UNFORWARDED_HEADERS
from cypresspulley.net.listener import Listener, SocketListener, bind, open_listener
from cypresspulley.net.memory_ledger import MemoryLedger
from cypresspulley.net.metered_reader import MeteredReader, ReadScheduler, as_protocol
from cypresspulley.net.relay import (
    CLIENT_STALL_SECONDS,
    LAST_CHUNK,
    MAX_HIGH_WATER_BYTES,
    MAX_STREAMED_BODY_BYTES,
    MIN_BODY_BYTES_PER_SECOND,
    UPLOAD_RATE_WINDOW_SECONDS,
    Download,
    Relay,
    Upload,
    framing,
)
from cypresspulley.net.request_ids import RequestIds
from cypresspulley.net.requests import (
    PARSED_HEADERS,
    REQUEST_ID_HEADER,
    TIMEOUT_HEADER,
    WHOLE_NUMBER_PATTERN,
    BadRequestError,
    RequestReader,
    ShutdownRequestReader,
)
from cypresspulley.net.upload_clock import UploadClock

log = logging.getLogger(__name__)

MAX_PIPELINED_REQUESTS = 8  # unanswered requests on one connection; well-behaved clients send one at a time
LISTEN_BACKLOG = 1024
SWEEP_INTERVAL = 0.2  # seconds between checks for idle and slow clients; one timer serves all connections
# Seconds without an open request. A keep-alive connection may be closed after 2 s, and a misbehaving client must
# be disconnected within 3 s.
IDLE_TIMEOUT = 2.05
DRAIN_NOTICE_TIME = 0.6  # seconds after a drain begins until clients have learned of it
DRAIN_IDLE_TIMEOUT = 0.3  # idle timeout in seconds that applies after ``DRAIN_NOTICE_TIME``
HEAD_TIMEOUT = 2.5  # seconds to receive a request head: clients take up to 2 s, and this process may be late
BODY_RATE_WINDOW = 2.0  # seconds over which a small body must arrive at ``MIN_BODY_BYTES_PER_SECOND``
# Seconds for which a connection is still read after our half-close. Closing with unread bytes would send a reset,
# which may destroy the last response.
LINGER_TIMEOUT = 0.5
UPLOAD_LINGER_TIMEOUT = 2.0  # seconds: ``LINGER_TIMEOUT`` for a connection with an unfinished large upload
UPLOAD_LINGER_MAX_BYTES = 8 * 1024 * 1024  # ``LINGER_MAX_BYTES`` for the same case
MAX_HEAD_FIELDS = 256  # each takes time to parse, however short it is
# A body may come in this many pieces of any size, and in more if the mean is larger: each takes time to parse.
MAX_SMALL_PIECES = 1024
MIN_MEAN_PIECE_BYTES = 16
MAX_TRAILERS = 32
# What a connection may hold without being counted: an ordinary request. Its share is that of a connection.
UNCOUNTED_BYTES = 2048
REQUEST_OBJECT_BYTES = (
    2048  # of the objects for a pipelined request; those of the first belong to its connection
)
FIELD_LINE_OVERHEAD = len(b": \r\n")  # bytes of a field's line beside its name and value
NEW_CONNECTION_SECONDS = (
    0.3  # after it was opened, within which the first request of a connection may be on its way
)
MAX_EVICTION_CANDIDATES = 64  # connections that are checked for unread data before one of them is evicted
ABORTIVE_LINGER = struct.pack("ii", 1, 0)  # SO_LINGER on with a timeout of 0: closing sends a reset
# Bytes that are read and discarded after our half-close. Without a bound a sender could make this process drain 60 MB.
LINGER_MAX_BYTES = 128 * 1024
# Share of the maximum number of connections. While more connections than that have sent data, every response closes
# its connection. Clients that send one request and keep their connection forever exhaust the connections that their
# side may open here, and then go elsewhere or nowhere: only as many get through a second as connections end by
# IDLE_TIMEOUT. The bound also protects against connection leaks in a client's pool and against more clients than file
# descriptors. It can do harm where that many clients send requests all the time and connecting is expensive (TLS, long
# round trips): each request beyond the share then pays for a new connection.
KEEP_ALIVE_SHARE = 0.5
POLLED_EVENTS = select.POLLIN | select.POLLRDHUP
WHITESPACE = frozenset((b" ", b"\t"))
TARGET_PATTERN = re.compile(rb"[!-~]+")


@contextlib.contextmanager
def _borrow_socket(transport: asyncio.BaseTransport) -> Iterator[socket.socket]:
    """Yield a transport's socket for calls that transports lack. Raise OSError if the connection has ended."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM, 0, transport.get_extra_info("socket").fileno())
    try:
        yield sock
    finally:
        sock.detach()


class _ClientConnection(MeteredReader):
    """One client connection: parses requests and writes their responses in order.

    The regular way to end it is ``_close``: it flushes the last response, half-closes our side and reads until the
    client closes. ``_reset_connection`` is for responses that the client must see as broken, ``abort`` for when no time
    is left.
    """

    def __init__(self, frontend: Frontend) -> None:
        super().__init__(frontend.read_scheduler)
        self.frontend, self._parsed_headers = frontend, frontend.parsed_headers
        self._transport: asyncio.Transport | None = None
        self._lingering: asyncio.Transport | None = None  # the transport while the connection is being closed
        self._half_closed = False
        self._parser = httptools.HttpRequestParser(self)
        self._pending = deque[ClientRequest]()
        self._target, self._fields = b"", dict[bytes, bytes]()
        # Joined as they arrive: kept as objects of their own, short fragments would take many times their size.
        self._head, self._body = bytearray(), bytearray()
        self._size = 0
        self._unparsed_head_bytes = 0  # received of an unfinished head, parsed or not
        self._body_in_read = bytearray()  # of an upload, in the current read
        self._field_count = self._trailers = 0
        self._piece_count = 0  # of the body, cut by chunks and by reads
        self._head_read = False
        self._receiving = False
        self._length: int | None = None
        self._chunked = self._expects = False
        self._upload: Upload | None = None  # the body that is passed on while it arrives
        self._progress = 0  # bytes of the transfer or of the write buffer when progress was last seen
        self._progress_at = 0.0  # time of that
        self._upload_clock = UploadClock(0.0)
        self._linger_timeout, self._linger_max_bytes = LINGER_TIMEOUT, LINGER_MAX_BYTES
        self._buffered = 0  # unwritten bytes as last added to ``relay.buffered``
        self._input = b""  # the data that is being parsed
        self._rejected = self._writing_paused = False
        self._requests_in_read = 0  # requests that began in the data of the current read
        self.has_sent_data = False
        # Time of the last activity: connecting, the first byte of a request, a response, or our half-close.
        self.last_active_at = frontend.clock()
        self._discarded = 0  # bytes that were read and discarded
        self.held_bytes = 0  # as last counted in the ledger
        self._poll: select.poll | None = None  # of the socket, made once because it is asked for each attempt

    @property
    def is_disconnected(self) -> bool:
        """Whether responses can no longer be written."""
        return self._transport is None

    @property
    def idle(self) -> bool:
        return not self._pending and not self._receiving

    @property
    def has_unread_data(self) -> bool:
        """Whether the kernel holds bytes that the loop has not read yet; timers run before the loop polls sockets."""
        transport = self._transport or self._lingering
        if transport is None or transport.is_closing():
            return False
        size = fcntl.ioctl(transport.get_extra_info("socket").fileno(), termios.FIONREAD, b"\0" * 4)
        return any(size)

    @property
    def peer_closed(self) -> bool:
        """Whether the client has closed or reset its side, possibly after bytes that have not been read yet.

        It costs one system call (0.5 us) if there is nothing to read.
        """
        transport = self._transport
        if transport is None or transport.is_closing():
            return False
        try:
            if self._poll is None:
                self._poll = select.poll()
                self._poll.register(transport.get_extra_info("socket").fileno(), POLLED_EVENTS)
            if not (events := self._poll.poll(0)):
                return False
            if events[0][1] & select.POLLRDHUP:
                return True
        except OSError:  # poll is unavailable
            self._poll = None
        try:
            with _borrow_socket(transport) as sock:
                return sock.recv(1, socket.MSG_PEEK) == b""
        except ConnectionError:
            return True
        except OSError:  # there is nothing to read
            return False

    def check_client_present(self) -> bool:
        """Check the socket for whether the client is still connected.

        If the client has closed, its requests are abandoned at once, even if the loop has not read the end yet.
        """
        transport = self._transport
        if transport is not None and not transport.is_closing() and not self.peer_closed:
            return True
        if transport is not None:
            self._handle_client_gone()
        return False

    def place(self, now: float) -> ConnectionState:
        """Return the state of the connection that decides what happens to it while the process shuts down."""
        if self._transport is None or self._rejected:
            return ConnectionState.LINGERING
        if self._pending:
            if self._upload is not None:
                return ConnectionState.UPLOAD
            return (
                ConnectionState.AWAITING_ANSWER
                if self._pending[0].stream is None
                else ConnectionState.ANSWERING
            )
        if self._receiving:
            return ConnectionState.PARTIAL
        if self.has_unread_data:
            return ConnectionState.UNREAD
        return (
            ConnectionState.NEW
            if not self.has_sent_data and now - self.last_active_at < DRAIN_IDLE_TIMEOUT
            else ConnectionState.IDLE
        )

    @property
    def eviction_rank(self) -> tuple[int, float] | None:
        """Rank for eviction at the connection limit, lowest first; None if the connection must stay.

        The order is: lingering connections, those that have been open for a while and never sent data, those with a
        partial request, the ones idle for longest, those that still receive a response, and last those that were only
        just opened, whose first request may be on its way.
        """
        transport = self._transport or self._lingering
        if transport is None or self._pending:
            return None
        if transport.get_write_buffer_size():
            return 4, self.last_active_at
        if self._transport is None:
            return None if transport.is_closing() else (0, self.last_active_at)
        if self.has_sent_data:
            return (2 if self._receiving else 3), self.last_active_at
        is_new = self.frontend.clock() - self.last_active_at < NEW_CONNECTION_SECONDS
        return (5 if is_new else 1), self.last_active_at

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        transport = cast(asyncio.Transport, transport)  # uvloop's transports are not subclasses of it
        self._transport = transport
        self.frontend.add_connection(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = self._lingering = None
        self._update_buffered()
        self._uncount_data_sent()
        self.frontend.remove_connection(self)
        self._abandon_requests()
        self._free_input()

    def _uncount_data_sent(self) -> None:
        """Stop counting the connection among those that have sent data."""
        self.frontend.connections_with_data -= self.has_sent_data
        self.has_sent_data = False

    def eof_received(self) -> None:
        """Treat the client as gone, as the protocol defines; the transport then flushes and closes."""
        self._handle_client_gone()

    def _handle_client_gone(self) -> None:
        """Abandon all requests of a client that has gone and close the connection."""
        stream = self._pending[0].stream if self._pending else None
        if stream is not None and stream.write is not None:
            self._reset_connection()  # the streamed response has begun and will not be completed
            self._abandon_requests()
        else:
            self._close()

    def _abandon_requests(self) -> None:
        """Drop all requests and notify the handler of those that have no response yet."""
        waiting, self._pending = self._pending, deque()
        for request in waiting:
            if request.response is None:
                request.release_body()
                self.frontend.handler.departed(request)
                request.release_id()

    def data_received(self, data: bytes) -> None:
        if self._rejected:  # discarded without parsing, because closing over unread bytes would send a reset
            self._discarded += len(data)
            if self._discarded > self._linger_max_bytes:
                self._handle_linger_overflow()
            return
        if self._upload is not None:
            self._upload_clock.record_read(self.frontend.clock())
        if self._upload is not None and not self.check_client_present():
            return  # the last bytes of the upload would start an attempt for a client that has gone
        self.frontend.connections_with_data += not self.has_sent_data
        self.has_sent_data, self._requests_in_read = True, 0
        self._input = data
        try:
            self._parse(data)
        except httptools.HttpParserError as error:
            cause = error.__context__
            if self._rejected:
                pass  # the response has been set already
            elif isinstance(cause, BadRequestError):
                self._reject(cause.status, str(cause))
            elif isinstance(error, httptools.HttpParserCallbackError):
                log.error("unexpected error while handling a request; responding with 500", exc_info=cause)
                self._reject(500, "unexpected error")
            else:
                self._reject(400, type(error).__name__)
            return
        finally:
            self._input = b""
        self._feed_upload()
        # A field that has not ended grows inside the parser, where no callback sees it.
        if self._receiving and not self._head_read:
            self._unparsed_head_bytes += len(data)
            if self._unparsed_head_bytes > MAX_HEAD_BYTES:
                self._reject(400, "head too large")
        if self.unread_seconds:
            self.end_read(len(data))
        is_large = len(data) > UNCOUNTED_BYTES or self._size > UNCOUNTED_BYTES
        if is_large or self.held_bytes or len(self._pending) > 1:
            self.count_memory()

    def _parse(self, data: bytes) -> None:
        """Feed the parser with what a read returned."""
        while data:
            try:
                return self._parser.feed_data(data)
            except httptools.HttpParserUpgrade as offer:
                # The upgrade is ignored (RFC 9110, 7.8): the request has been handled, and what follows is HTTP/1.1.
                self._parser = httptools.HttpRequestParser(self)
                data = data[offer.args[0] :]

    # What the connection holds in memory.

    def count_memory(self) -> None:
        """Count what the connection holds; the largest holders are ended if all together hold too much."""
        self._recount()
        if self.frontend.memory.is_exceeded:
            self.frontend.shed_memory()

    def _recount(self) -> None:
        # The parser may hold a part of an unfinished head besides.
        held = len(self._head) + len(self._body) + self._unparsed_head_bytes
        held += sum(request.held_bytes for request in self._pending)
        held += max(0, len(self._pending) - 1) * REQUEST_OBJECT_BYTES
        transport = self._transport or self._lingering
        if transport is not None and not self._is_streaming_response:
            held += transport.get_write_buffer_size()
        self.frontend.memory.adjust(held - self.held_bytes)
        self.held_bytes = held

    @property
    def _is_streaming_response(self) -> bool:
        """Whether unwritten bytes belong to a streamed response, which has a bound of its own."""
        return bool(self._pending) and self._pending[0].stream is not None

    def shed(self) -> None:
        """End what holds memory here: answer an error where that is possible, or reset the connection."""
        self.frontend.connection_log.count_end(EndCause.MEMORY)
        if self._receiving and self._upload is None and self._transport is not None and not self._rejected:
            self._reject(503, EndCause.MEMORY.value)
        for request in list(self._pending):
            if request.awaits_response and request.upload is None:
                self.frontend.handler.give_up(request)
        transport = self._transport or self._lingering
        if transport is not None and transport.get_write_buffer_size() and not self._is_streaming_response:
            self._reset_connection()  # its client does not read its responses
        self._recount()

    def _free_input(self) -> None:
        """Give up what was received of an unfinished request, of which nothing more is parsed."""
        self._head, self._body, self._unparsed_head_bytes = bytearray(), bytearray(), 0
        if self.held_bytes:
            self._recount()

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        self._target, self._fields = b"", {}
        self._head, self._body, self._size, self._unparsed_head_bytes = bytearray(), bytearray(), 0, 0
        self._field_count = self._piece_count = 0
        self._head_read, self._receiving = False, True
        self._length, self._chunked, self._expects = None, False, False
        if not self._pending:
            self.last_active_at = self.frontend.clock()
        self._requests_in_read += 1
        if self._requests_in_read > MAX_PIPELINED_REQUESTS or len(self._pending) >= MAX_PIPELINED_REQUESTS:
            # Reading pauses at this many, but one read may contain hundreds, which would block the loop.
            raise BadRequestError(400, "too many pipelined requests")

    def on_url(self, url: bytes) -> None:
        self._target += url  # called once per fragment if the input was split
        self._size += len(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        key = name.lower()
        self._size += len(name) + len(value) + FIELD_LINE_OVERHEAD
        if self._head_read:
            return self._drop_trailer()
        self._field_count += 1
        if self._size > MAX_HEAD_BYTES or self._field_count > MAX_HEAD_FIELDS:
            raise BadRequestError(400, "head too large")
        # Trailing white space is not part of a value (RFC 9110, 5.5); the parser strips only leading white space.
        if value[-1:] in WHITESPACE:
            value = value.rstrip(b" \t")
        if key in self._parsed_headers:
            if key in self._fields:
                raise BadRequestError(400, "a protocol header occurs more than once")
            self._fields[key] = value
        if key not in UNFORWARDED_HEADERS and key != TIMEOUT_HEADER:
            self._head += b"%b: %b\r\n" % (name, value)
        elif key == b"content-length":
            if self._length is not None or not WHOLE_NUMBER_PATTERN.fullmatch(value):
                raise BadRequestError(400, "content-length is repeated or not a decimal number")
            self._length = int(value)
            if self._length > MAX_STREAMED_BODY_BYTES:
                raise BadRequestError(413, "body too large")
        elif key == b"transfer-encoding":
            if self._chunked or value.lower() != b"chunked":
                raise BadRequestError(400, "transfer-encoding is repeated or not chunked")
            self._chunked = True
        elif key == b"expect":
            self._expects = value.lower() == b"100-continue"

    def _drop_trailer(self) -> None:
        """Drop a trailer field: the protocol has none, and they must not be mixed with the fields of the head."""
        self._trailers += 1
        if self._trailers > MAX_TRAILERS:
            raise BadRequestError(400, "too many trailers")

    def on_headers_complete(self) -> None:
        if self._size > MAX_HEAD_BYTES:
            raise BadRequestError(400, "head too large")
        if self._chunked and self._length is not None:
            raise BadRequestError(
                400, "content-length and transfer-encoding together could hide a second request"
            )
        self._head_read, self._size, self._trailers = True, 0, 0
        if self._length or self._chunked:
            self._progress, self._progress_at = 0, self.frontend.clock()
        if self._length is not None and self._length > MAX_BODY_BYTES:
            self._start_upload()
        if self._expects:
            self._send_continue()

    def _send_continue(self) -> None:
        """Send 100 Continue to a client that waits for it, once all earlier responses have been written."""
        is_next = not self._pending or (self._upload is not None and self._pending[0].upload is self._upload)
        if self._receiving and is_next and not self._rejected and self._transport is not None:
            self._expects = False
            if self._parser.get_http_version() != "1.0":
                self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        if self._rejected:
            return
        self._size += len(body)
        self._piece_count += 1
        if self._piece_count > MAX_SMALL_PIECES + self._size // MIN_MEAN_PIECE_BYTES:
            raise BadRequestError(400, "chunks too small")
        if self._upload is not None:
            if self._size > MAX_STREAMED_BODY_BYTES:
                raise BadRequestError(413, "body too large")
            self._body_in_read += body
            return
        self._body += body
        if self._size > MAX_BODY_BYTES:
            self._start_upload()

    def _start_upload(self) -> None:
        """Dispatch a request with a large body before it is complete, and pass the body on as it arrives."""
        if self._transport is None:
            return  # an earlier response closes the connection
        request = ClientRequest(self, keep_alive=True)
        upload = request.upload = self._upload = Upload(
            self._length, self._set_upload_held, self.frontend.relay
        )
        self._upload_clock = UploadClock(self.frontend.clock())
        self._progress, self._progress_at = 0, self.frontend.clock()
        self.frontend.relay.limit_socket_buffers(self._transport.get_extra_info("socket"))
        if self._body:
            upload.feed(bytes(self._body))
            self._body = bytearray()
        self._pending.append(request)
        try:
            self._dispatch(request)
        except BadRequestError:
            self._pending.remove(request)
            self._upload = None
            raise

    def _set_upload_held(self, held: bool) -> None:
        """Pause or resume reading, as the upload's ``held`` says."""
        now, upload = self.frontend.clock(), self._upload
        if upload is not None and held:
            self._upload_clock.hold(now, upload)
        else:
            self._upload_clock.resume(now)
        self._apply_backpressure()

    def _feed_upload(self) -> None:
        """Pass on what the current read brought of a large body, in one piece."""
        if self._body_in_read:
            body, self._body_in_read = bytes(self._body_in_read), bytearray()
            if self._upload is not None:
                self._upload.feed(body)

    def _finish_upload(self, upload: Upload) -> None:
        """Complete a body that was passed on while it arrived."""
        self._feed_upload()
        for request in self._pending:
            if request.upload is upload:
                request.keep_alive = self._parser.should_keep_alive()
                request.receive_delay = self._receive_delay()
        self._upload = None
        upload.finish()
        self._apply_backpressure()

    def on_message_complete(self) -> None:
        if self._rejected:
            return
        self._receiving, self._size = False, 0
        if self._upload is not None:
            return self._finish_upload(self._upload)
        request = ClientRequest(self, self._parser.should_keep_alive())
        self._pending.append(request)
        try:
            self._dispatch(request)
        except BadRequestError as error:
            # A client that sends an invalid request is likely to send more of them, so close the connection.
            self._rejected, request.keep_alive = True, False
            self.frontend.connection_log.count_rejection(error.status, str(error))
            request.reject(error.status)
            raise  # stops the parser: nothing after this request is parsed
        except Exception:
            log.exception("unexpected error while handling a request; responding with 500")
            self._rejected, request.keep_alive = True, False
            self.frontend.connection_log.count_rejection(500, "unexpected error")
            request.fail(self.frontend.handler)
            raise
        self._apply_backpressure()

    def _receive_delay(self) -> float:
        """Upper bound in seconds of how long the last byte being parsed waited in the kernel before it was read."""
        if self._transport is None:
            return 0.0
        # The clock of an upload knows better how long its client may have waited.
        unread_seconds = self.unread_seconds if self._upload is None else 0.0
        age = self.frontend.arrivals.data_age(self._transport, self._input, unread_seconds)
        if self._upload is None:
            return age
        return max(age, self._upload_clock.seconds_waited(self.frontend.clock()))

    def _dispatch(self, request: ClientRequest) -> None:
        """Validate the request and pass it to its handler. Raise BadRequestError if it is invalid."""
        request.receive_delay = self._receive_delay()
        method = self._parser.get_method()
        if method not in (b"GET", b"POST"):
            raise BadRequestError(405, "the method is neither GET nor POST")
        if not TARGET_PATTERN.fullmatch(self._target) or self._parser.get_http_version() not in (
            "1.0",
            "1.1",
        ):
            raise BadRequestError(400, "request target or HTTP version is invalid")
        target = self._target.decode("latin-1")
        request.accepts_chunked = self._parser.get_http_version() != "1.0"
        path_handler, upload = self.frontend.path_handler, request.upload
        if upload is not None and target.partition("?")[0] in (
            "/healthz",
            path_handler and path_handler.path,
        ):
            raise BadRequestError(413, "body too large")
        if target.partition("?")[0] == "/healthz":
            return request.respond(503 if self.frontend.draining else 200)
        request.body, self._body = bytes(self._body), bytearray()
        if method == b"POST":
            self._head += upload.framing if upload else b"Content-Length: %d\r\n" % len(request.body)
        elif request.body or upload is not None:
            raise BadRequestError(400, "a GET request has a body")
        if path_handler is not None and target.partition("?")[0] == path_handler.path:
            query = target.partition("?")[2]
            header_lines = bytes(self._head).splitlines(keepends=True)
            parsed = ParsedRequest(self.frontend, method, self._target, query, self._fields, header_lines)
            return path_handler.handle_request(request, parsed)
        event = self.frontend.reader.read(method, target, self._fields)
        self.frontend.claim_request_id(request, self._fields[REQUEST_ID_HEADER].lower())
        request.event = event
        request.head = b"%b %b HTTP/1.1\r\n%b" % (method, self._target, bytes(self._head))
        self._head = bytearray()
        self.frontend.handler.arrived(request)

    # Responses.

    def flush(self) -> None:
        """Write all responses that are next in order."""
        while self._pending and self._transport is not None:
            request = self._pending[0]
            if request.stream is not None:
                if not self._write_stream(request, request.stream):
                    break
                continue
            if request.response is None:
                break
            self._pending.popleft()
            self.last_active_at = self.frontend.clock()
            start, rest = request.response
            close = self._closes_after(request)
            self._transport.write(start + (b"Connection: close\r\n" if close else b"") + rest)
            if close:
                self._close()
        if self._expects:
            self._send_continue()
        self._apply_backpressure()
        if self.held_bytes or self._writing_paused:
            self.count_memory()
        if self.frontend.pass_descriptor is not None and self.idle:
            asyncio.get_running_loop().call_soon(self.hand_off)

    def _closes_after(self, request: ClientRequest) -> bool:
        """Return whether the connection closes after the response to ``request``."""
        if request.upload is not None and not request.upload.complete:
            # Nobody needs the rest of the body. It is read and discarded for a while, because closing over unread
            # bytes would send a reset, which may destroy the response.
            self._rejected, self._linger_timeout, self._linger_max_bytes = (
                True,
                UPLOAD_LINGER_TIMEOUT,
                UPLOAD_LINGER_MAX_BYTES,
            )
            return True
        # Among pipelined requests only the last response closes, because the later ones have been accepted too.
        has_following = len(self._pending) > (request.stream is not None)
        return not request.keep_alive or (
            self.frontend.announces_close and not has_following and self.frontend.pass_descriptor is None
        )

    def _write_stream(self, request: ClientRequest, stream: Download) -> bool:
        """Write what there is of the streamed response that is next in order; return whether it is complete."""
        transport = self._transport
        assert transport is not None
        if stream.broken:
            self.frontend.connection_log.count_end(EndCause.RESPONSE_BROKEN)
            self._reset_connection()
            return False
        if stream.write is None:
            request.closes_connection = self._closes_after(request) or (
                stream.length is None and not request.accepts_chunked
            )
            framing_line = framing(stream.length, request.accepts_chunked)
            close = b"Connection: close\r\n" if request.closes_connection else b""
            transport.set_write_buffer_limits(high=MAX_HIGH_WATER_BYTES)
            self.frontend.relay.limit_socket_buffers(transport.get_extra_info("socket"))
            transport.write(b"".join((STATUS_LINES[200], stream.headers, framing_line, close, b"\r\n")))
            self._progress, self._progress_at = 0, self.frontend.clock()
            stream.start(self._write_body, stream.length is None and request.accepts_chunked)
            if self._writing_paused:
                stream.hold(True)
        if not stream.complete:
            return False
        if stream.chunked:
            transport.write(LAST_CHUNK)
        transport.set_write_buffer_limits()
        self._pending.popleft()
        self.last_active_at = self.frontend.clock()
        if request.closes_connection:
            self._close()
        return True

    def _write_body(self, data: bytes) -> None:
        """Write a piece of the streamed response and lower the transport's high-water mark if memory is short."""
        if self._transport is None:
            return
        self._transport.write(data)
        high, size = self.frontend.relay.high_water(), self._update_buffered()
        if size > high and not self._writing_paused:
            # Above this mark the transport calls ``pause_writing`` at once, below a quarter of it ``resume_writing``.
            self._transport.set_write_buffer_limits(high=high // 2)

    def _update_buffered(self) -> int:
        """Return the unwritten bytes of this connection and add the change to the total over all connections.

        Bytes of finished responses are counted as well.
        """
        transport = self._transport or self._lingering
        size = transport.get_write_buffer_size() if transport is not None else 0
        self.frontend.relay.buffered += size - self._buffered
        self._buffered = size
        return size

    def _set_download_held(self, held: bool) -> None:
        """Pause the server while the client reads its streamed response too slowly; resume when it has caught up."""
        self._update_buffered()
        stream = self._pending[0].stream if self._pending else None
        if stream is not None and stream.write is not None and not stream.complete and not stream.broken:
            if not held and self._transport is not None:
                self._transport.set_write_buffer_limits(
                    high=MAX_HIGH_WATER_BYTES
                )  # more memory may be free by now
            stream.hold(held)

    def hand_off(self) -> None:
        """Pass the connection to another process if it is idle and all responses have been written."""
        transport, pass_descriptor = self._transport, self.frontend.pass_descriptor
        if (
            pass_descriptor is None
            or transport is None
            or not self.idle
            or self._rejected
            or transport.is_closing()
        ):
            return
        if transport.get_write_buffer_size() > 0:
            return  # the sweep will retry
        try:
            fd = os.dup(transport.get_extra_info("socket").fileno())
        except OSError:  # the process has no file descriptors left for now
            return
        transport.pause_reading()  # further bytes stay in the kernel for the process that reads next
        if pass_descriptor(fd):
            self._transport = None
            transport.abort()
        elif not self.is_reading_paused:
            transport.resume_reading()

    def pause_writing(self) -> None:
        self._writing_paused = True
        self._progress, self._progress_at = -1, self.frontend.clock()
        self._set_download_held(True)
        self._apply_backpressure()

    def resume_writing(self) -> None:
        self._writing_paused = False
        self._set_download_held(False)
        self._apply_backpressure()
        if self.held_bytes:
            self._recount()
        if self._lingering is not None:
            self._half_close()  # the last response has been written completely

    def _apply_backpressure(self) -> None:
        """Pause reading while the client does not read its responses, which would otherwise fill the memory.

        While reading is paused the client's end of file is not seen, so the sweep checks for it. A rejected connection
        is read on up to its bound, because its data is discarded.
        """
        if self._rejected:
            must_pause = self._discarded > self._linger_max_bytes
        else:
            must_pause = self._writing_paused or len(self._pending) >= MAX_PIPELINED_REQUESTS
            must_pause = must_pause or (self._upload is not None and self._upload.held)
        self.hold_reading(must_pause)

    def reading_transport(self) -> asyncio.Transport | None:
        return self._transport or self._lingering

    def _reject(self, status: int, why: str) -> None:
        """Respond with an error and parse nothing more of this connection. ``why`` is for the log."""
        self._rejected = True
        self._free_input()
        self.frontend.connection_log.count_rejection(status, why)
        if self._upload is not None:
            return self._abort_upload(self._upload, status)
        last = ClientRequest(self, keep_alive=False)
        self._pending.append(last)
        last.reject(status)

    def _close(self) -> None:
        """Start the lingering close: flush, half-close, read until the client closes, close.

        Closing over unread bytes would send a reset, which may destroy the response that was just written, and clients
        keep sending until they have seen the end. What is read from here on is discarded.
        """
        transport, self._transport = self._transport, None
        if transport is None:
            return
        self._lingering, self._rejected = transport, True
        self._uncount_data_sent()
        self._abandon_requests()
        if transport.get_write_buffer_size():
            if not transport.is_closing():
                transport.set_write_buffer_limits(0)  # ``resume_writing`` is called when all is written
            self._apply_backpressure()
        else:
            self._half_close()

    def _half_close(self) -> None:
        """Half-close our side at once.

        The transport's own ``write_eof`` would do it some reads later, and data read in between would be lost.
        """
        transport = self._lingering
        if transport is None or transport.is_closing() or self._half_closed:
            return
        self._half_closed, self._discarded, self.last_active_at = True, 0, self.frontend.clock()
        try:
            with _borrow_socket(transport) as sock:
                sock.shutdown(socket.SHUT_WR)
        except OSError:  # the connection has been reset, which the transport will notice
            transport.write_eof()
        self._apply_backpressure()

    def _handle_linger_overflow(self) -> None:
        """Handle a client that sends more than is discarded for the sake of its response."""
        if self._half_closed:
            self.frontend.connection_log.count_end(EndCause.LINGER_OVERFLOW)
            self.abort()
        else:
            self._apply_backpressure()  # write its responses first

    def _reset_connection(self) -> None:
        """Reset the connection within a response.

        After an orderly close, a client that takes the end of the connection for the end of the body would accept a
        truncated body.
        """
        transport = self._transport or self._lingering
        if transport is not None:
            with contextlib.suppress(OSError):  # the connection has ended already
                transport.get_extra_info("socket").setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, ABORTIVE_LINGER
                )
        self.abort()

    def apply_shutdown_action(self, action: ConnectionAction) -> None:
        """Apply an action of the shutdown table to this connection."""
        if action is ConnectionAction.HALF_CLOSE:
            self._close()
        elif action is ConnectionAction.REFUSE:
            self._reject(503, "the limiter is shutting down")

    def check_timeouts(self, now: float, idle_timeout: float) -> None:
        """Close the connection if it is idle, and reject a request that arrives too slowly.

        Both would hold a file descriptor and memory. ``idle_timeout`` is in seconds. After the loop was
        blocked, this runs before sockets are read, so a connection with unread data does not count as idle.
        """
        age = now - self.last_active_at
        if self._buffered:
            self._update_buffered()
        if self.held_bytes:
            self._recount()
        if self._transport is None:
            return self._check_linger(age, now)
        if self.is_reading_paused and self.peer_closed:
            return self._handle_client_gone()
        if self._pending:
            if self._upload is not None or self._pending[0].stream is not None:
                self._check_transfer(now)
            return
        if self._writing_paused:
            self._check_reader(now)
        elif not self._receiving:
            if age > idle_timeout and not self.has_unread_data:
                self.frontend.connection_log.count_end(EndCause.IDLE)
                self._close()
        elif not self._head_read:
            if age > HEAD_TIMEOUT and not self.has_unread_data:
                self._reject(408, EndCause.HEAD_TIMEOUT.value)
        elif not self._keeps_pace(self._size, BODY_RATE_WINDOW, now):
            # Measured from the end of the head, so that a slow head does not shorten the time for the body.
            self._reject(408, EndCause.BODY_TIMEOUT.value)

    def _keeps_pace(self, received: int, window: float, now: float) -> bool:
        """Return whether a body still comes at ``MIN_BODY_BYTES_PER_SECOND``.

        ``received`` is its size so far, in bytes. A window, in seconds, starts anew as soon as its bytes have arrived:
        what came at once at the beginning is no credit for a client that stops afterwards.
        """
        if received - self._progress >= MIN_BODY_BYTES_PER_SECOND * window:
            self._progress, self._progress_at = received, now
        return now - self._progress_at <= window or self.has_unread_data

    def _check_linger(self, age: float, now: float) -> None:
        """Close a half-closed connection whose client has not closed within the linger timeout."""
        transport = self._lingering
        if transport is None:
            return
        if not self._half_closed:
            self._check_reader(now)  # the last response may take as long as the client keeps reading it
        elif age > self._linger_timeout and (age > 2 * self._linger_timeout or not self.has_unread_data):
            transport.close()

    def _check_reader(self, now: float) -> None:
        """Reset the connection if the client has read nothing of its responses for ``CLIENT_STALL_SECONDS`` seconds."""
        transport = self._transport or self._lingering
        assert transport is not None
        unwritten = transport.get_write_buffer_size()
        if unwritten != self._progress:
            self._progress, self._progress_at = unwritten, now
        elif now - self._progress_at > CLIENT_STALL_SECONDS:
            self.frontend.connection_log.count_end(EndCause.READER_STALLED)
            self._reset_connection()

    def _check_transfer(self, now: float) -> None:
        """End a transfer that the client stalls, or whose deadline passes while the server holds it up."""
        upload = self._upload
        if upload is not None and upload.held:
            self._upload_clock.hold(now, upload)
        elif upload is not None and not self.has_unread_data:
            self._upload_clock.record_silence(now)
        if upload is not None and self._is_overdue(upload, now):
            return self._handle_overdue_upload(upload)
        if (
            upload is not None and not self.is_reading_paused
        ):  # while reading is paused the client cannot make progress
            if not self._keeps_pace(upload.size, UPLOAD_RATE_WINDOW_SECONDS, now):
                self.frontend.connection_log.count_end(EndCause.UPLOAD_STALLED)
                self._abort_upload(upload, 408)
            return
        if upload is not None:
            self._progress, self._progress_at = upload.size, now
        elif self._writing_paused:
            self._check_reader(now)

    def _is_overdue(self, upload: Upload, now: float) -> bool:
        """Whether the client may have waited for its whole timeout since it sent the last byte."""
        request = self._find_request(upload)
        if request is None or request.event is None or not request.awaits_response:
            return False
        return self._upload_clock.seconds_waited(now) > request.event.ttl

    def _find_request(self, upload: Upload) -> ClientRequest | None:
        return next((request for request in self._pending if request.upload is upload), None)

    def _handle_overdue_upload(self, upload: Upload) -> None:
        request = self._find_request(upload)
        assert request is not None
        self.frontend.connection_log.count_end(EndCause.UPLOAD_HELD_UP)
        self.frontend.handler.overdue(request)

    def _abort_upload(self, upload: Upload, status: int) -> None:
        """Abort a request whose body has stalled or is invalid: its attempt ends and is not retried."""
        self._upload = None
        for request in self._pending:
            if request.upload is upload and request.response is None and request.stream is None:
                self.frontend.handler.departed(request)
                return request.respond(status)
        self._reset_connection()  # the response is being streamed already

    def abort(self) -> None:
        """Close at once and discard all unwritten and unread data."""
        transport = self._transport or self._lingering
        self._transport = self._lingering = None
        self._free_input()
        if transport is not None:
            transport.abort()


class Frontend:
    """Owns the listener and the client connections."""

    def __init__(
        self, handler: Handler, settings: api.Settings, max_connections: int, path_handler: PathHandler | None = None,
        now: Callable[[], float] = time.monotonic, resident_bytes: Callable[[], int] | None = None,
    ) -> None:  # fmt: skip
        """Create a frontend for at most ``max_connections`` connections.

        ``now`` must advance within one iteration of the event loop; the loop's own clock need not. ``resident_bytes``
        returns the memory of this process; None if other limiters share the process.
        """
        self.clock = asyncio.get_running_loop().time
        self.connection_log = ConnectionLog(self.clock(), resident_bytes)
        self.handler, self.reader, self.path_handler = (
            handler,
            RequestReader(settings, self.clock),
            path_handler,
        )
        self.parsed_headers = (
            PARSED_HEADERS if path_handler is None else PARSED_HEADERS | path_handler.headers
        )
        self._settings = settings
        self.draining = False
        self._drained_at = 0.0
        self.request_ids = RequestIds(self.clock)
        self._max = max_connections
        self.connections_with_data = 0  # open connections that have sent data
        self._sweep_at: asyncio.TimerHandle | None = None
        self.arrivals = ArrivalClock(now, SWEEP_INTERVAL)
        self._clients = dict[_ClientConnection, None]()  # in order of arrival
        self._accepted = set[_ClientConnection]()  # accepted, but ``connection_made`` was not called yet
        self._listener: Listener | None = None
        self.on_sweep: Callable[[], None] | None = None  # called by each sweep, five times a second
        # Passes file descriptors of idle connections to another process; None if there is no such process.
        self.pass_descriptor: Callable[[int], bool] | None = None
        self.phase = ShutdownPhase.ACCEPTING
        self.memory = MemoryLedger()
        self._is_shedding = False
        self.read_scheduler = ReadScheduler()  # replaced by that of the upstream if there is one
        self.relay = (
            Relay()
        )  # bound on the memory of large transfers; replaced by that of the upstream if there is one
        self._all_closed = asyncio.Event()

    async def listen(self, host: str, port: int) -> tuple[str, int]:
        """Accept connections at an address; return the actual host and port.

        Raise OSError if the address is not available.
        """
        return self._serve(await open_listener(host, port, LISTEN_BACKLOG, self.create_connection, self))

    async def listen_shared(
        self, host: str, port: int, listener: socket.socket | None = None
    ) -> tuple[str, int]:
        """Listen on a socket that a successor can take over, or on ``listener``, the socket of a predecessor.

        Connections in the accept queue are reset when the last descriptor of the listener closes; with a takeover one
        always stays open. The port is shared, because a successor that receives no socket must be able to start next to
        a process that has stalled. Raise OSError if the address is not available.
        """
        sock = bind(host, port, LISTEN_BACKLOG, share_port=True) if listener is None else listener
        shared_listener = SocketListener(sock, self.create_connection, self)
        shared_listener.resume()
        return self._serve(shared_listener)

    def _serve(self, listener: Listener) -> tuple[str, int]:
        self._listener = listener
        self._sweep_at = asyncio.get_running_loop().call_later(SWEEP_INTERVAL, self._sweep)
        return listener.address

    def create_connection(self) -> asyncio.Protocol:
        """Create the protocol of an accepted connection."""
        client = _ClientConnection(self)
        self._accepted.add(client)
        return as_protocol(client)

    def duplicate_listener(self) -> int:
        """Return a duplicate file descriptor of the shared listener, which the caller has to close."""
        assert isinstance(self._listener, SocketListener)
        return os.dup(self._listener.sock.fileno())

    def pause(self) -> None:
        """Stop accepting connections for now; they wait in the kernel."""
        if self._listener is not None:
            self._listener.pause()

    def resume(self) -> None:
        """Accept connections again."""
        if self._listener is not None:
            self._listener.resume()

    def set_handoff(self, pass_descriptor: Callable[[int], bool] | None) -> None:
        """Pass idle connections to another process from now on, as file descriptors; None ends that."""
        self.pass_descriptor = pass_descriptor
        self.hand_off()

    def hand_off(self) -> None:
        """Pass all idle connections to the other process."""
        if self.pass_descriptor is not None:
            for client in list(self._clients):
                client.hand_off()

    async def adopt_connection(self, sock: socket.socket) -> None:
        """Serve a connection that another process has passed to this one."""
        sock.setblocking(False)
        try:
            await asyncio.get_running_loop().connect_accepted_socket(
                lambda: as_protocol(_ClientConnection(self)), sock
            )
        except OSError as error:
            log.warning("a connection received from another process had already ended: %s", error)
            sock.close()

    @property
    def full(self) -> bool:
        """Whether the connection limit is reached, including connections that were only just accepted."""
        return len(self._clients) + len(self._accepted) >= self._max

    def make_room(self) -> bool:
        """Evict an idle connection; return whether there was one.

        A connection with unread bytes is kept, because it has sent a request or is still sending, and a reset might
        destroy its response. New connections then wait in the accept queue.
        """
        ranked = [(rank, client) for client in self._clients if (rank := client.eviction_rank) is not None]
        candidates = (
            client for _, client in nsmallest(MAX_EVICTION_CANDIDATES, ranked, key=lambda each: each[0])
        )
        evicted = next((client for client in candidates if not client.has_unread_data), None)
        if evicted is None:
            return False
        self._clients.pop(evicted)
        self.connection_log.count_end(EndCause.EVICTED)
        evicted.abort()
        return True

    def shed_memory(self) -> None:
        """End the connections that hold most, until all together are below the bound."""
        if self._is_shedding:
            return
        self._is_shedding = True
        try:
            self.memory.shed(self._clients)
        finally:
            self._is_shedding = False

    def add_connection(self, client: _ClientConnection) -> None:
        """Register a connection, or close it if it came from another process and the limit is reached."""
        if len(self._clients) >= self._max and not self.make_room():
            self.connection_log.count_end(EndCause.EVICTED)
            client.abort()
        self._accepted.discard(client)
        self._clients[client] = None

    def claim_request_id(self, request: ClientRequest, id: bytes) -> None:
        """Reserve a request id, so that responses and outcomes cannot be assigned to the wrong request.

        Raise BadRequestError (409) if an open request has the id, or one that may have run a short time ago.
        """
        if self.request_ids.is_taken(id):
            raise BadRequestError(409, "the request id is in use, or its request may have run")
        self.request_ids.claim(id)
        request.id = id

    @property
    def open_ids(self) -> set[bytes]:
        """The ids of the open requests."""
        return self.request_ids.open

    def _sweep(self) -> None:
        self._sweep_at = asyncio.get_running_loop().call_later(SWEEP_INTERVAL, self._sweep)
        self.arrivals.record_heartbeat()
        if self.on_sweep is not None:
            self.on_sweep()
        now, idle_timeout = self.clock(), self.idle_timeout
        self.hand_off()
        if self.is_shutting_down:
            self._apply_leaving_table()
        for client in list(self._clients):
            client.check_timeouts(now, idle_timeout)
        self.connection_log.report(now, len(self._clients), self.relay.buffered + self.memory.held_bytes)

    def remove_connection(self, client: _ClientConnection) -> None:
        """Unregister a connection that has ended."""
        self._clients.pop(client, None)
        self._accepted.discard(client)
        if not self._clients:
            self._all_closed.set()

    @property
    def announces_close(self) -> bool:
        """Whether responses announce that their connection closes."""
        return self.draining or self.connections_with_data > KEEP_ALIVE_SHARE * self._max

    def drain(self) -> None:
        """Start a drain: every response closes its connection, and idle connections are closed soon after."""
        if not self.draining:
            self.draining, self._drained_at = True, self.clock()

    def activate(self) -> None:
        """End a drain."""
        self.draining = False

    @property
    def idle_timeout(self) -> float:
        """Seconds for which a connection may stay open without a request."""
        # Load balancers keep sending new connections for a moment after the health check fails; those are served.
        drained = self.draining and self.clock() - self._drained_at > DRAIN_NOTICE_TIME
        return DRAIN_IDLE_TIMEOUT if drained else IDLE_TIMEOUT

    @property
    def is_shutting_down(self) -> bool:
        """Whether the shutdown has begun, so that no new connections are accepted."""
        return self.phase is not ShutdownPhase.ACCEPTING

    def _apply_leaving_table(self) -> None:
        now = self.clock()
        for client in list(self._clients):
            client.apply_shutdown_action(SHUTDOWN_ACTIONS[self.phase, client.place(now)])

    async def _stop_listening(self, deadline: float) -> None:
        """Stop listening, after accepting what waits in the accept queue unless a successor will do so."""
        if self._listener is None:
            return
        if self.pass_descriptor is None:
            await self._listener.drain(deadline)
        else:
            self._listener.close()

    async def close(self, grace: float) -> None:
        """Stop listening, close idle connections, and wait up to ``grace`` seconds until the others have ended.

        The first call lets accepted requests finish. The second call is for the last moment of the process: requests
        that still arrive are rejected with 503.
        """
        deadline = self.clock() + grace
        if self.is_shutting_down:
            self.phase = ShutdownPhase.FINAL
            self.reader = ShutdownRequestReader(self._settings, self.clock)
        else:
            await self._stop_listening(deadline)
            self.phase = ShutdownPhase.FINISHING
        self.hand_off()
        self._apply_leaving_table()
        self._all_closed.clear()
        if self._clients:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._all_closed.wait(), max(0.0, deadline - self.clock()))
        if self._sweep_at is not None and (self.phase is ShutdownPhase.FINAL or not self._clients):
            self._sweep_at.cancel()
