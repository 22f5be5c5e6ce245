"""The clients' side: takes requests off connections and writes exactly one answer to each."""

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
from typing import TYPE_CHECKING, NamedTuple, Protocol, cast

import httptools

from cypresspulley import interface as api
from cypresspulley.lifecycle import LEAVING, Do, Phase, Place
from cypresspulley.net.arrival import ArrivalClock
from cypresspulley.net.http import MAX_BODY_BYTES, MAX_HEAD_BYTES, UNFORWARDED_HEADERS
from cypresspulley.net.listener import Listener, SocketListener, bind, open_listener
from cypresspulley.net.relay import (
    HIGH_WATER_MOST,
    LARGEST,
    LAST_CHUNK,
    RATE,
    READER,
    WINDOW,
    Download,
    Relay,
    Upload,
    framing,
)
from cypresspulley.net.requests import (
    CLASS_HEADER,
    IDEMPOTENCY_KEY_HEADER,
    PARSED_HEADERS,
    REQUEST_ID_HEADER,
    TIMEOUT_HEADER,
    WHOLE_NUMBER_PATTERN,
    BadRequestError,
    RequestReader,
    ShutdownRequestReader,
)

if TYPE_CHECKING:
    from cypresspulley.net.upstream import Exchange

log = logging.getLogger(__name__)

MAX_PIPELINED_REQUESTS = 8  # unanswered requests of one connection: clients send one at a time
LISTEN_BACKLOG = 1024
SWEEP_INTERVAL = 0.2  # seconds between two looks for silent and slow clients: one timer for all of them
IDLE_TIMEOUT = (
    2.05  # seconds without an open request: a keep-alive may be closed after 2, a bad client must be by 3
)
DRAIN_NOTICE_TIME = 0.6  # seconds of a drain in which clients have not heard of it yet
DRAIN_IDLE_TIMEOUT = 0.3  # seconds for which a connection may be idle after them
SHUTDOWN_RETRY_AFTER = (
    0.5  # seconds until a client that is refused at the very end has heard of other limiters
)
HEAD_TIMEOUT = 2.5  # seconds that a head may take to come: clients take 2, and this process may be late
BODY_RATE_WINDOW = 2.0  # seconds over which a small body must come at ``RATE``
LINGER_TIMEOUT = 0.5  # seconds for which a connection is read on behind our half-close, or a reset might eat its last answer
UPLOAD_LINGER_TIMEOUT = 2.0  # seconds: the same where a large body was under way
UPLOAD_LINGER_MAX_BYTES = 8 * 1024 * 1024  # and how much is read then
MAX_TRAILERS = 32
MAX_EVICTION_CANDIDATES = 4  # connections at most that are looked at before one of them makes room
ABORTIVE_LINGER = struct.pack("ii", 1, 0)  # SO_LINGER: on, for no time
LINGER_MAX_BYTES = 128 * 1024  # and how much is read: draining 60 MB would be the sender's to command
# Of the most connections; where more have asked something, every answer closes its own. Clients that ask once
# and keep their connection for good use up what their side may open here, and then ask elsewhere or nowhere:
# so many a second come as connections end by IDLE_TIMEOUT. It guards as well against leaks in a client's pool and
# against more clients than there are descriptors. It could do harm where that many clients ask all the time
# and connecting is dear (TLS, long ways): each request beyond the share then pays for a connection.
KEEP_ALIVE_SHARE = 0.5
REASON_PHRASES = {
    200: b"OK", 400: b"Bad Request", 403: b"Forbidden", 404: b"Not Found", 405: b"Method Not Allowed",
    406: b"Not Acceptable", 408: b"Request Timeout", 409: b"Conflict", 413: b"Content Too Large",
    415: b"Unsupported Media Type", 429: b"Too Many Requests", 500: b"Internal Server Error",
    502: b"Bad Gateway", 503: b"Service Unavailable", 504: b"Gateway Timeout",
}  # fmt: skip
STATUS_LINES = {code: b"HTTP/1.1 %d %b\r\n" % (code, reason) for code, reason in REASON_PHRASES.items()}
WHITESPACE = frozenset((b" ", b"\t"))
TARGET_PATTERN = re.compile(rb"[!-~]+")


class Dialect(Protocol):
    """How a request's client is spoken to where it is not by the plain protocol."""

    def error(
        self, status: int, retry_after: float | None, why: str, left: float
    ) -> tuple[int, bytes, bytes, float | None]:
        """Status, headers, body and Retry-After of an answer that no server gave."""
        ...

    def answered(self, exchange: Exchange) -> None:
        """A server's 200 has come: it may become another outcome, and tell the true units."""
        ...


class ClientRequest:
    """One try of a client, and the place in its connection where the answer goes."""

    __slots__ = (
        "_client", "accepts_chunked", "body", "closes_connection", "dialect", "event", "head", "id", "keep_alive",
        "receive_delay", "response", "stream", "upload",
    )  # fmt: skip

    @property
    def seconds_since_first_byte(self) -> float:
        """Seconds from the request's first byte to now, for one that has just come whole."""
        return max(0.0, self._client.frontend.clock() - self._client.last_active_at)

    def __init__(self, client: _ClientConnection, keep_alive: bool) -> None:
        self._client, self.keep_alive = client, keep_alive
        self.event: api.Request | None = None
        self.dialect: Dialect | None = None
        self.id = self.head = self.body = b""
        self.response: tuple[bytes, bytes] | None = None
        self.upload: Upload | None = None  # a body that is on its way still
        self.stream: Download | None = None  # an answer that flows
        self.closes_connection = False  # its connection ends behind it
        self.accepts_chunked = True  # it may come in chunks
        self.receive_delay = 0.0  # seconds for which its last byte may have lain in the machine

    def begin_stream(self, stream: Download) -> None:
        """The one final answer, as it comes."""
        if self.response is not None or self.stream is not None:
            raise RuntimeError("a request was answered twice")
        self.stream = stream
        self._client.flush()

    def end_stream(self, whole: bool) -> None:
        """The answer that flows has come to its end, or broke off: then its client must see that."""
        assert self.stream is not None
        if not whole and self.stream.write is None:
            # Nothing of it has been said. A reset might eat the answers that were just written before it.
            self.stream = None
            return self.respond(502)
        self._client.frontend.open_ids.discard(self.id)
        self.stream.whole, self.stream.broken = whole, not whole
        self._client.flush()

    @property
    def client_gone(self) -> bool:
        """Whether its client has gone away."""
        return self._client.is_disconnected

    def check_client_present(self) -> bool:
        """Whether its client is still there, by a look at the socket; if not, all its requests depart here."""
        return self._client.check_client_present()

    def respond(
        self, status: int, body: bytes = b"", headers: bytes = b"", retry_after: float | None = None,
        why: str = "", left: float = -1.0,
    ) -> None:  # fmt: skip
        """Give the one final answer; the connection writes it when its turn has come."""
        if self.dialect is not None and status != 200:
            status, headers, body, retry_after = self.dialect.error(status, retry_after, why, left)
        self.send_response(status, headers, body, retry_after)

    def reject(self, status: int) -> None:
        """Answer one that is not passed on; only a limiter that ends says 503, and others are a moment away."""
        self.respond(status, retry_after=SHUTDOWN_RETRY_AFTER if status == 503 else None)

    def send_response(self, status: int, headers: bytes, body: bytes, retry_after: float | None) -> None:
        """The one final answer, as it is."""
        if self.response is not None or self.stream is not None:
            raise RuntimeError("a request was answered twice")
        self._client.frontend.open_ids.discard(self.id)
        retry = b"" if retry_after is None else b"Retry-After: %.3f\r\n" % retry_after
        length = b"Content-Length: %d\r\n\r\n" % len(body)
        self.response = b"".join((STATUS_LINES[status], headers, retry)), length + body
        self._client.flush()


class Handler(Protocol):
    """What the clients' side tells of its requests."""

    def arrived(self, request: ClientRequest) -> None: ...

    def departed(self, request: ClientRequest) -> None: ...


class ParsedRequest(NamedTuple):
    """A whole request at another front's path, and what that front may do with it."""

    frontend: Frontend
    method: bytes
    target: bytes
    query: str
    fields: dict[bytes, bytes]
    header_lines: list[bytes]  # of its head, as they are passed on

    @property
    def reader(self) -> RequestReader:
        return self.frontend.reader

    def claim_request_id(self, request: ClientRequest) -> None:
        """Its id is in use from now on until its answer; BadRequestError where it is already."""
        self.frontend.claim_request_id(request, self.fields[REQUEST_ID_HEADER].lower())

    def build_head(self, name: str, key: bytes | None) -> bytes:
        """The head to pass on: its class and key are the front's word, whatever the client's said."""
        own = (CLASS_HEADER + b":", IDEMPOTENCY_KEY_HEADER + b":")
        header_lines = [line for line in self.header_lines if not line.lower().startswith(own)]
        header_lines.append(b"X-Priority-Class: %b\r\n" % name.encode("latin-1"))
        if key is not None:
            header_lines.append(b"Idempotency-Key: %b\r\n" % key)
        return b"%b %b HTTP/1.1\r\n%b" % (self.method, self.target, b"".join(header_lines))

    def submit(self, request: ClientRequest) -> None:
        self.frontend.handler.arrived(request)


class PathHandler(Protocol):
    """Takes requests at a path of its own."""

    path: str
    headers: frozenset[bytes]  # that it reads beside the protocol's

    def handle_request(self, request: ClientRequest, came: ParsedRequest) -> None: ...


@contextlib.contextmanager
def _borrow_socket(transport: asyncio.BaseTransport) -> Iterator[socket.socket]:
    """A transport's socket, for calls that transports do not have. OSError where the connection has ended."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM, 0, transport.get_extra_info("socket").fileno())
    try:
        yield sock
    finally:
        sock.detach()


class _ClientConnection(asyncio.Protocol):
    """One client connection: parses requests, keeps their answers in order.

    It ends in one way, ``_close``: the last answer is flushed, our side half-closed, the client's read to its end.
    Only what must be seen as broken is reset (``_break``), and only what has no time left is aborted.
    """

    def __init__(self, frontend: Frontend) -> None:
        self.frontend, self._parsed_headers = frontend, frontend.parsed_headers
        self._transport: asyncio.Transport | None = None
        self._lingering: asyncio.Transport | None = None  # it is being closed
        self._half_closed = False
        self._parser = httptools.HttpRequestParser(self)
        self._pending = deque[ClientRequest]()
        self._target, self._fields = b"", dict[bytes, bytes]()
        self._head, self._body = list[bytes](), list[bytes]()
        self._size = 0
        self._trailers = 0
        self._head_read = False
        self._receiving = False
        self._length: int | None = None
        self._chunked = self._expects = False
        self._upload: Upload | None = None  # the body that is being read and passed on
        self._progress = 0  # of a transfer, when it last got on
        self._progress_at = 0.0
        self._linger_timeout, self._linger_max_bytes = LINGER_TIMEOUT, LINGER_MAX_BYTES
        self._buffered = 0  # bytes that wait for it, when it last moved
        self._input = b""  # what is being parsed
        self._rejected = self._writing_paused = self._reading_paused = False
        self._requests_in_read = 0  # requests in one read
        self.has_sent_data = False
        self.last_active_at = (
            frontend.clock()
        )  # of the last thing that counts: coming, a request's begin, an answer
        self._discarded = 0

    @property
    def is_disconnected(self) -> bool:
        """Whether no answer can reach it any more."""
        return self._transport is None

    @property
    def idle(self) -> bool:
        return not self._pending and not self._receiving

    @property
    def has_unread_data(self) -> bool:
        """Whether bytes have come that the loop has not read yet: timers run before it looks."""
        transport = self._transport or self._lingering
        if transport is None or transport.is_closing():
            return False
        size = fcntl.ioctl(transport.get_extra_info("socket").fileno(), termios.FIONREAD, b"\0" * 4)
        return any(size)

    @property
    def peer_closed(self) -> bool:
        """Whether the client has closed or reset its side, maybe behind bytes that are not read yet. One system call
        where nothing lies there, 0.5 us."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return False
        with contextlib.suppress(OSError):  # the machine may not tell
            poll = select.poll()
            poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN | select.POLLRDHUP)
            if not (events := poll.poll(0)):
                return False
            if events[0][1] & select.POLLRDHUP:
                return True
        try:
            with _borrow_socket(transport) as sock:
                return sock.recv(1, socket.MSG_PEEK) == b""
        except ConnectionError:
            return True
        except OSError:  # nothing lies there
            return False

    def check_client_present(self) -> bool:
        """Whether the client is still there, by a look at its socket. One that has closed departs here, however late
        the loop is to read its end."""
        transport = self._transport
        if transport is not None and not transport.is_closing() and not self.peer_closed:
            return True
        if transport is not None:
            self._handle_client_gone()
        return False

    def place(self, now: float) -> Place:
        """Where the connection stands for a process that leaves."""
        if self._transport is None or self._rejected:
            return Place.LINGERING
        if self._pending:
            if self._upload is not None:
                return Place.UPLOAD
            return Place.ASKED if self._pending[0].stream is None else Place.ANSWERING
        if self._receiving:
            return Place.PART
        if self.has_unread_data:
            return Place.UNREAD
        return (
            Place.NEW
            if not self.has_sent_data and now - self.last_active_at < DRAIN_IDLE_TIMEOUT
            else Place.IDLE
        )

    @property
    def eviction_rank(self) -> tuple[int, float] | None:
        """Who makes room first at the limit: those that linger, never spoke, are half read, idle longest, and at
        the very end those that still take an answer."""
        transport = self._transport or self._lingering
        if transport is None or self._pending:
            return None
        if transport.get_write_buffer_size():
            return 4, self.last_active_at
        if self._transport is None:
            return None if transport.is_closing() else (0, self.last_active_at)
        return (1 if not self.has_sent_data else 2 if self._receiving else 3), self.last_active_at

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        transport = cast(asyncio.Transport, transport)  # uvloop's are no subclass of it
        self._transport = transport
        self.frontend.add_connection(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = self._lingering = None
        self._update_buffered()
        self._uncount_data_sent()
        self.frontend.remove_connection(self)
        self._abandon_requests()

    def _uncount_data_sent(self) -> None:
        """It counts no longer among those that ask."""
        self.frontend.connections_with_data -= self.has_sent_data
        self.has_sent_data = False

    def eof_received(self) -> None:
        """By the protocol a client that closes its side has gone; the transport flushes what it has and closes."""
        self._handle_client_gone()

    def _handle_client_gone(self) -> None:
        """The client has gone: nothing that it waits for is of use."""
        stream = self._pending[0].stream if self._pending else None
        if stream is not None and stream.write is not None:
            self._reset_connection()  # its answer has begun and will not come whole
            self._abandon_requests()
        else:
            self._close()

    def _abandon_requests(self) -> None:
        waiting, self._pending = self._pending, deque()
        for request in waiting:
            if request.response is None:
                self.frontend.open_ids.discard(request.id)
                self.frontend.handler.departed(request)

    def data_received(self, data: bytes) -> None:
        if self._rejected:  # read and dropped: not passed on, and no reset
            self._discarded += len(data)
            if self._discarded > self._linger_max_bytes:
                self._handle_linger_overflow()
            return
        if self._upload is not None and not self.check_client_present():
            return  # its last bytes would begin an attempt
        self.frontend.connections_with_data += not self.has_sent_data
        self.has_sent_data, self._requests_in_read = True, 0
        self._input = data
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as offer:
            # The offer is passed over (RFC 9110, 7.8): the request has been taken, what follows is HTTP/1.1.
            self._parser = httptools.HttpRequestParser(self)
            return self.data_received(data[offer.args[0] :])
        except httptools.HttpParserError as error:
            cause = error.__context__
            if self._rejected:
                pass  # answered already
            elif isinstance(cause, BadRequestError):
                self._reject(cause.status)
            elif isinstance(error, httptools.HttpParserCallbackError):
                log.error("a request could not be handled", exc_info=cause)
                self._reject(500)
            else:
                self._reject(400)
            return
        finally:
            self._input = b""
        # A head without an end would grow inside the parser, where no callback sees it. What was seen of
        # one that came in pieces counts twice: a bound on memory need not be exact.
        if self._receiving and not self._head_read:
            self._size += len(data)
            if self._size > MAX_HEAD_BYTES:
                self._reject(400)

    # The parser's callbacks.

    def on_message_begin(self) -> None:
        self._target, self._fields = b"", {}
        self._head, self._body, self._size = [], [], 0
        self._head_read, self._receiving = False, True
        self._length, self._chunked, self._expects = None, False, False
        if not self._pending:
            self.last_active_at = self.frontend.clock()
        self._requests_in_read += 1
        if self._requests_in_read > MAX_PIPELINED_REQUESTS or len(self._pending) >= MAX_PIPELINED_REQUESTS:
            # Reading stops at this many, but one read may bring hundreds: they would hold the loop, answered or not.
            raise BadRequestError(400, "too many requests at once")

    def on_url(self, url: bytes) -> None:
        self._target += url  # comes in pieces where the input was split
        self._size += len(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        key = name.lower()
        self._size += len(name) + len(value)
        if self._head_read:
            return self._trailer()
        # White space behind a value is no part of it (RFC 9110, 5.5); the parser takes off only what stands before.
        if value[-1:] in WHITESPACE:
            value = value.rstrip(b" \t")
        if key in self._parsed_headers:
            if key in self._fields:
                raise BadRequestError(400, "a header stands twice")
            self._fields[key] = value
        if key not in UNFORWARDED_HEADERS and key != TIMEOUT_HEADER:
            self._head.append(b"%b: %b\r\n" % (name, value))
        elif key == b"content-length":
            if self._length is not None or not WHOLE_NUMBER_PATTERN.fullmatch(value):
                raise BadRequestError(400, "content-length is wrong")
            self._length = int(value)
            if self._length > LARGEST:
                raise BadRequestError(413, "body too large")
        elif key == b"transfer-encoding":
            if self._chunked or value.lower() != b"chunked":
                raise BadRequestError(400, "transfer-encoding is wrong")
            self._chunked = True
        elif key == b"expect":
            self._expects = value.lower() == b"100-continue"

    def _trailer(self) -> None:
        """Fields behind a body are dropped: none is part of the protocol, and they must not meet the head's."""
        self._trailers += 1
        if self._trailers > MAX_TRAILERS:
            raise BadRequestError(400, "too many trailers")

    def on_headers_complete(self) -> None:
        if self._size > MAX_HEAD_BYTES:
            raise BadRequestError(400, "head too large")
        if self._chunked and self._length is not None:
            raise BadRequestError(400, "two framings: one of them may hide a request")
        self._head_read, self._size, self._trailers = True, 0, 0
        if self._length or self._chunked:
            self._progress, self._progress_at = 0, self.frontend.clock()
        if self._length is not None and self._length > MAX_BODY_BYTES:
            self._start_upload()
        if self._expects:
            self._send_continue()

    def _send_continue(self) -> None:
        """Who waits to be told to send its body is told, once all answers before its own are written."""
        first = not self._pending or (self._upload is not None and self._pending[0].upload is self._upload)
        if self._receiving and first and not self._rejected and self._transport is not None:
            self._expects = False
            if self._parser.get_http_version() != "1.0":
                self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        if self._rejected:
            return
        self._size += len(body)
        if self._upload is not None:
            if self._size > LARGEST:
                raise BadRequestError(413, "body too large")
            return self._upload.feed(body)
        self._body.append(body)
        if self._size > MAX_BODY_BYTES:
            self._start_upload()

    def _start_upload(self) -> None:
        """The body is large: the request is dispatched before it is whole."""
        if self._transport is None:
            return  # it stands behind an answer that closes
        request = ClientRequest(self, keep_alive=True)
        upload = request.upload = self._upload = Upload(self._length, self._set_upload_held)
        self._progress, self._progress_at = 0, self.frontend.clock()
        self.frontend.relay.cut(self._transport.get_extra_info("socket"))
        pieces, self._body = self._body, []
        for piece in pieces:
            upload.feed(piece)
        self._pending.append(request)
        try:
            self._dispatch(request)
        except BadRequestError:
            self._pending.remove(request)
            self._upload = None
            raise

    def _set_upload_held(self, held: bool) -> None:
        self._apply_backpressure()

    def _finish_upload(self, upload: Upload) -> None:
        """The last byte of a body that flowed has come."""
        self._upload = None
        for request in self._pending:
            if request.upload is upload:
                request.keep_alive = self._parser.should_keep_alive()
                request.receive_delay = self._receive_delay()
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
            # Whoever sends this sends more of it: the connection goes with the answer.
            self._rejected, request.keep_alive = True, False
            request.reject(error.status)
            raise  # and nothing behind it is parsed
        self._apply_backpressure()

    def _receive_delay(self) -> float:
        """Seconds for which the last byte that is being parsed may have lain in the machine."""
        if self._transport is None:
            return 0.0
        return self.frontend.arrivals.data_age(self._transport, self._input)

    def _dispatch(self, request: ClientRequest) -> None:
        request.receive_delay = self._receive_delay()
        method = self._parser.get_method()
        if method not in (b"GET", b"POST"):
            raise BadRequestError(405, "method")
        if not TARGET_PATTERN.fullmatch(self._target) or self._parser.get_http_version() not in (
            "1.0",
            "1.1",
        ):
            raise BadRequestError(400, "target or version")
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
        request.body = b"".join(self._body)
        if method == b"POST":
            self._head.append(upload.framing if upload else b"Content-Length: %d\r\n" % len(request.body))
        elif request.body or upload is not None:
            raise BadRequestError(400, "a body where none belongs")
        if path_handler is not None and target.partition("?")[0] == path_handler.path:
            query = target.partition("?")[2]
            came = ParsedRequest(self.frontend, method, self._target, query, self._fields, self._head)
            return path_handler.handle_request(request, came)
        event = self.frontend.reader.read(method, target, self._fields)
        self.frontend.claim_request_id(request, self._fields[REQUEST_ID_HEADER].lower())
        request.event = event
        request.head = b"%b %b HTTP/1.1\r\n%b" % (method, self._target, b"".join(self._head))
        self.frontend.handler.arrived(request)

    # Answers.

    def flush(self) -> None:
        """Write the answers whose turn has come."""
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
        if self.frontend.pass_descriptor is not None and self.idle:
            asyncio.get_running_loop().call_soon(self.hand_off)

    def _closes_after(self, request: ClientRequest) -> bool:
        """Whether the connection ends behind an answer."""
        if request.upload is not None and not request.upload.whole:
            # What of its body is still on its way is nobody's: it is read for a while, or a reset would eat the answer.
            self._rejected, self._linger_timeout, self._linger_max_bytes = (
                True,
                UPLOAD_LINGER_TIMEOUT,
                UPLOAD_LINGER_MAX_BYTES,
            )
            return True
        # Of what is pipelined only the last answer closes: what stands behind it has been taken too.
        has_following = len(self._pending) > (request.stream is not None)
        return not request.keep_alive or (
            self.frontend.announces_close and not has_following and self.frontend.pass_descriptor is None
        )

    def _write_stream(self, request: ClientRequest, stream: Download) -> bool:
        """An answer that flows has its turn; whether it is over."""
        transport = self._transport
        assert transport is not None
        if stream.broken:
            self._reset_connection()
            return False
        if stream.write is None:
            request.closes_connection = self._closes_after(request) or (
                stream.length is None and not request.accepts_chunked
            )
            framing_line = framing(stream.length, request.accepts_chunked)
            close = b"Connection: close\r\n" if request.closes_connection else b""
            transport.set_write_buffer_limits(high=HIGH_WATER_MOST)
            self.frontend.relay.cut(transport.get_extra_info("socket"))
            transport.write(b"".join((STATUS_LINES[200], stream.headers, framing_line, close, b"\r\n")))
            self._progress, self._progress_at = 0, self.frontend.clock()
            stream.turn(self._write_body, stream.length is None and request.accepts_chunked)
            if self._writing_paused:
                stream.hold(True)
        if not stream.whole:
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
        if self._transport is None:
            return
        self._transport.write(data)
        high, size = self.frontend.relay.high_water(), self._update_buffered()
        if size > high and not self._writing_paused:
            # Above this the transport says at once that it is full, and below a quarter of it that it is not.
            self._transport.set_write_buffer_limits(high=high // 2)

    def _update_buffered(self) -> int:
        """Bytes that wait for this client, noted for the bound on all of them, also behind an answer's end."""
        transport = self._transport or self._lingering
        size = transport.get_write_buffer_size() if transport is not None else 0
        self.frontend.relay.buffered += size - self._buffered
        self._buffered = size
        return size

    def _set_download_held(self, held: bool) -> None:
        """The client takes its answer slower than the server gives it, or has caught up."""
        self._update_buffered()
        stream = self._pending[0].stream if self._pending else None
        if stream is not None and stream.write is not None and not stream.whole and not stream.broken:
            if not held and self._transport is not None:
                self._transport.set_write_buffer_limits(
                    high=HIGH_WATER_MOST
                )  # the room may have grown meanwhile
            stream.hold(held)

    def hand_off(self) -> None:
        """Pass the connection on where it is at rest between two requests, with nothing of an answer unwritten."""
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
            return  # the sweep looks again
        try:
            fd = os.dup(transport.get_extra_info("socket").fileno())
        except OSError:  # no descriptor is left for now
            return
        transport.pause_reading()  # what comes from here on waits in the kernel, for whoever reads next
        if pass_descriptor(fd):
            self._transport = None
            transport.abort()
        elif not self._reading_paused:
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
        if self._lingering is not None:
            self._half_close()  # the last byte of its last answer has gone out

    def _apply_backpressure(self) -> None:
        """Read on only while answers are taken off: what one client does not read would fill the memory.

        What is not read hides the client's end: the sweep looks for it. What is dropped unparsed is read on.
        """
        if self._rejected:
            stop = self._discarded > self._linger_max_bytes
        else:
            stop = self._writing_paused or len(self._pending) >= MAX_PIPELINED_REQUESTS
            stop = stop or (self._upload is not None and self._upload.held)
        transport = self._transport or self._lingering
        if transport is None or transport.is_closing() or stop is self._reading_paused:
            return
        self._reading_paused = stop
        if stop:
            transport.pause_reading()
        else:
            transport.resume_reading()

    def _reject(self, status: int) -> None:
        self._rejected = True
        if self._upload is not None:
            return self._abort_upload(self._upload, status)
        last = ClientRequest(self, keep_alive=False)
        self._pending.append(last)
        last.reject(status)

    def _close(self) -> None:
        """The lingering close: flush, half-close, read to the client's end, close.

        A close over unread bytes would be a reset, which may eat the answer just written, and clients send on until
        they have heard of the end. What is read from here on is never passed on.
        """
        transport, self._transport = self._transport, None
        if transport is None:
            return
        self._lingering, self._rejected = transport, True
        self._uncount_data_sent()
        self._abandon_requests()
        if transport.get_write_buffer_size():
            if not transport.is_closing():
                transport.set_write_buffer_limits(0)  # ``resume_writing`` tells when all is out
            self._apply_backpressure()
        else:
            self._half_close()

    def _half_close(self) -> None:
        """End our side at once: a transport's own does it some reads later, and what it read then would be lost."""
        transport = self._lingering
        if transport is None or transport.is_closing() or self._half_closed:
            return
        self._half_closed, self._discarded, self.last_active_at = True, 0, self.frontend.clock()
        try:
            with _borrow_socket(transport) as sock:
                sock.shutdown(socket.SHUT_WR)
        except OSError:  # it has been reset: the transport finds that out
            transport.write_eof()
        self._apply_backpressure()

    def _handle_linger_overflow(self) -> None:
        """It sends more than is read for the sake of its answer."""
        if self._half_closed:
            self.abort()
        else:
            self._apply_backpressure()  # its answers come first

    def _reset_connection(self) -> None:
        """End in an answer. A tidy end would make a short body of it, for who goes by the connection's end."""
        transport = self._transport or self._lingering
        if transport is not None:
            with contextlib.suppress(OSError):  # it has ended already
                transport.get_extra_info("socket").setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, ABORTIVE_LINGER
                )
        self.abort()

    def leave(self, do: Do) -> None:
        """Do what the table of a process that leaves says of this connection."""
        if do is Do.HALF_CLOSE:
            self._close()
        elif do is Do.REFUSE:
            self._reject(503)

    def check(self, now: float, idle_timeout: float) -> None:
        """Close what is silent, and answer what comes too slowly: both hold a descriptor and memory.

        A loop that was held comes here before it reads: who has bytes unread is not silent.
        """
        age = now - self.last_active_at
        if self._buffered:
            self._update_buffered()
        if self._transport is None:
            return self._check_linger(age, now)
        if self._reading_paused and self.peer_closed:
            return self._handle_client_gone()
        if self._pending:
            if self._upload is not None or self._pending[0].stream is not None:
                self._check_transfer(now)
            return
        if self._writing_paused:
            self._check_reader(now)
        elif not self._receiving:
            if age > idle_timeout and not self.has_unread_data:
                self._close()
        elif not self._head_read:
            if age > HEAD_TIMEOUT and not self.has_unread_data:
                self._reject(408)
        elif now - self._progress_at > BODY_RATE_WINDOW and not self.has_unread_data:
            # Counted from the head's end: a slow head leaves its body's time alone.
            if self._size - self._progress < RATE * BODY_RATE_WINDOW:
                return self._reject(408)
            self._progress, self._progress_at = self._size, now

    def _check_linger(self, age: float, now: float) -> None:
        """Close behind a half-close whose client does not, once that has had its time."""
        transport = self._lingering
        if transport is None:
            return
        if not self._half_closed:
            self._check_reader(now)  # an answer on its way has the time that its client takes it
        elif age > self._linger_timeout and (age > 2 * self._linger_timeout or not self.has_unread_data):
            transport.close()

    def _check_reader(self, now: float) -> None:
        """End with who takes nothing of what is written for it."""
        transport = self._transport or self._lingering
        assert transport is not None
        left = transport.get_write_buffer_size()
        if left != self._progress:
            self._progress, self._progress_at = left, now
        elif now - self._progress_at > READER:
            log.warning("a client has taken nothing of its answer for %g s", READER)
            self._reset_connection()

    def _check_transfer(self, now: float) -> None:
        """End a transfer whose client does not get on with it; one that is held up by the server is left alone."""
        upload = self._upload
        if upload is not None and not self._reading_paused:  # who is not read cannot get on
            if now - self._progress_at > WINDOW and not self.has_unread_data:
                if upload.size - self._progress < RATE * WINDOW:
                    return self._abort_upload(upload, 408)
                self._progress, self._progress_at = upload.size, now
            return
        if upload is not None:
            self._progress, self._progress_at = upload.size, now
        elif self._writing_paused:
            self._check_reader(now)

    def _abort_upload(self, upload: Upload, status: int) -> None:
        """Its body no longer comes, or is none: the attempt ends and is not repeated."""
        self._upload = None
        for request in self._pending:
            if request.upload is upload and request.response is None and request.stream is None:
                self.frontend.handler.departed(request)
                return request.respond(status)
        self._reset_connection()  # its answer flows already

    def abort(self) -> None:
        """Close at once, whatever is unwritten or unread."""
        transport = self._transport or self._lingering
        self._transport = self._lingering = None
        if transport is not None:
            transport.abort()


class Frontend:
    """The listener and its connections."""

    def __init__(
        self, handler: Handler, settings: api.Settings, max_connections: int, path_handler: PathHandler | None = None,
        now: Callable[[], float] = time.monotonic,
    ) -> None:  # fmt: skip
        """``now`` moves on within a turn of the loop, as the loop's own time need not."""
        self.clock = asyncio.get_running_loop().time
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
        self.open_ids = set[bytes]()
        self._max = max_connections
        self.connections_with_data = 0  # connections that have sent something
        self._sweep_at: asyncio.TimerHandle | None = None
        self.arrivals = ArrivalClock(now, SWEEP_INTERVAL)
        self._clients = dict[_ClientConnection, None]()  # in the order of their coming
        self._accepted = set[_ClientConnection]()  # accepted, and not begun yet
        self._listener: Listener | None = None
        self.on_sweep: Callable[[], None] | None = None  # called by the sweep, five times a second
        # Takes the descriptors of connections at rest to another process; None: there is none.
        self.pass_descriptor: Callable[[int], bool] | None = None
        self.phase = Phase.TAKING
        self.relay = Relay()  # the bound on large transfers: of the servers' side, where that is known
        self._all_closed = asyncio.Event()

    async def listen(self, host: str, port: int) -> tuple[str, int]:
        """Take connections at an address from now on; the host and port that it is. Raises OSError."""
        return self._serve(await open_listener(host, port, LISTEN_BACKLOG, self.create_connection, self))

    async def listen_shared(
        self, host: str, port: int, listener: socket.socket | None = None
    ) -> tuple[str, int]:
        """Listen so that a successor may go on with the very same socket, or with ``listener``, a predecessor's.

        What waits in a listener's queue is reset where the last descriptor of it closes; here there is always one.
        A successor that is handed nothing must be able to start beside a process that has stalled: the port is shared.
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
        """The protocol of a connection that has been accepted."""
        client = _ClientConnection(self)
        self._accepted.add(client)
        return client

    def duplicate_listener(self) -> int:
        """A descriptor of the shared listener, the caller's own."""
        assert isinstance(self._listener, SocketListener)
        return os.dup(self._listener.sock.fileno())

    def pause(self) -> None:
        """Take no connections for now: they wait in the kernel."""
        if self._listener is not None:
            self._listener.pause()

    def resume(self) -> None:
        """Take connections again."""
        if self._listener is not None:
            self._listener.resume()

    def set_handoff(self, pass_descriptor: Callable[[int], bool] | None) -> None:
        """Connections at rest go to another process from now on, as descriptors; None: they stay."""
        self.pass_descriptor = pass_descriptor
        self.hand_off()

    def hand_off(self) -> None:
        """Pass on all connections that are at rest."""
        if self.pass_descriptor is not None:
            for client in list(self._clients):
                client.hand_off()

    async def adopt_connection(self, sock: socket.socket) -> None:
        """A connection that another process has passed on."""
        sock.setblocking(False)
        try:
            await asyncio.get_running_loop().connect_accepted_socket(lambda: _ClientConnection(self), sock)
        except OSError as error:
            log.warning("a connection that was passed on had ended: %s", error)
            sock.close()

    @property
    def full(self) -> bool:
        """Whether there are as many connections as there may be, with those that were accepted just now."""
        return len(self._clients) + len(self._accepted) >= self._max

    def make_room(self) -> bool:
        """Close a connection that has nothing to lose; whether there was one.

        One with bytes unread has sent a request, or sends on still: a reset might eat its answer. New connections wait
        in the accept queue then.
        """
        ranked = [(rank, client) for client in self._clients if (rank := client.eviction_rank) is not None]
        first = (client for _, client in nsmallest(MAX_EVICTION_CANDIDATES, ranked, key=lambda each: each[0]))
        victim = next((client for client in first if not client.has_unread_data), None)
        if victim is None:
            return False
        self._clients.pop(victim)
        victim.abort()
        return True

    def add_connection(self, client: _ClientConnection) -> None:
        """Count a connection. One that another process has passed on, and that finds no room, is closed."""
        if len(self._clients) >= self._max and not self.make_room():
            log.warning("out of client connections")
            client.abort()
        self._accepted.discard(client)
        self._clients[client] = None

    def claim_request_id(self, request: ClientRequest, id: bytes) -> None:
        """One that is open here belongs to another: answers and outcomes must not meet the wrong one."""
        if id in self.open_ids:
            raise BadRequestError(409, "the request id is in use")
        self.open_ids.add(id)
        request.id = id

    def _sweep(self) -> None:
        self._sweep_at = asyncio.get_running_loop().call_later(SWEEP_INTERVAL, self._sweep)
        self.arrivals.record_heartbeat()
        if self.on_sweep is not None:
            self.on_sweep()
        now, idle_timeout = self.clock(), self.idle_timeout
        self.hand_off()
        if self.closed:
            self._apply_leaving_table()
        for client in list(self._clients):
            client.check(now, idle_timeout)

    def remove_connection(self, client: _ClientConnection) -> None:
        self._clients.pop(client, None)
        self._accepted.discard(client)
        if not self._clients:
            self._all_closed.set()

    @property
    def announces_close(self) -> bool:
        """Whether answers say that their connection closes."""
        return self.draining or self.connections_with_data > KEEP_ALIVE_SHARE * self._max

    def drain(self) -> None:
        """From now on every answer says that its connection closes, and soon none is left that asks nothing."""
        if not self.draining:
            self.draining, self._drained_at = True, self.clock()

    def activate(self) -> None:
        """The end of a drain."""
        self.draining = False

    @property
    def idle_timeout(self) -> float:
        """Seconds for which a connection may stay without a request."""
        # Fronts go on sending new connections for a moment after they were told no; those that come are served.
        drained = self.draining and self.clock() - self._drained_at > DRAIN_NOTICE_TIME
        return DRAIN_IDLE_TIMEOUT if drained else IDLE_TIMEOUT

    @property
    def closed(self) -> bool:
        """Whether no new connections are taken any more."""
        return self.phase is not Phase.TAKING

    def _apply_leaving_table(self) -> None:
        now = self.clock()
        for client in list(self._clients):
            client.leave(LEAVING[self.phase, client.place(now)])

    async def _stop_listening(self, deadline: float) -> None:
        """Take what the machine has accepted, unless a successor does, and listen no longer."""
        if self._listener is None:
            return
        if self.pass_descriptor is None:
            await self._listener.drain(deadline)
        else:
            self._listener.close()

    async def close(self, grace: float) -> None:
        """Stop listening, close what is idle, and wait ``grace`` seconds for the rest to be answered and closed.

        The first call is for what was taken. The second is the last moment: what still comes is refused.
        """
        deadline = self.clock() + grace
        if self.closed:
            self.phase = Phase.LAST
            self.reader = ShutdownRequestReader(self._settings, self.clock)
        else:
            await self._stop_listening(deadline)
            self.phase = Phase.FINISHING
        self.hand_off()
        self._apply_leaving_table()
        self._all_closed.clear()
        if self._clients:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._all_closed.wait(), max(0.0, deadline - self.clock()))
        if self._sweep_at is not None and (self.phase is Phase.LAST or not self._clients):
            self._sweep_at.cancel()
