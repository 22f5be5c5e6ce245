"""The clients' side: takes requests off connections and writes exactly one answer to each."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import re
from collections import deque
from typing import Protocol, cast

import httptools

from cypresspulley import interface as api
from cypresspulley.net.http import MAX_BODY, MAX_HEAD, NOT_FORWARDED

log = logging.getLogger(__name__)

MAX_PIPELINE = 16  # unanswered requests of one connection until it is no longer read
BACKLOG = 1024
LINGER = 1.0  # seconds that a refused sender's input is still drained, or it would not see why
REASONS = {
    200: b"OK", 400: b"Bad Request", 404: b"Not Found", 405: b"Method Not Allowed",
    413: b"Content Too Large", 429: b"Too Many Requests", 500: b"Internal Server Error",
    502: b"Bad Gateway", 503: b"Service Unavailable", 504: b"Gateway Timeout",
}  # fmt: skip
STATUS_LINES = {code: b"HTTP/1.1 %d %b\r\n" % (code, reason) for code, reason in REASONS.items()}
REQUEST_ID, CLASS, PLAN = b"x-request-id", b"x-priority-class", b"x-plan"
TIMEOUT, QUOTA, RETRIED = b"x-timeout-ms", b"x-quota", b"x-retried"
READ = frozenset((REQUEST_ID, CLASS, PLAN, TIMEOUT, QUOTA, RETRIED))
ACCOUNT = re.compile(r"(?:.*&)?account=([0-9a-fA-F]{16})(?:&.*)?")
WHOLE = re.compile(rb"[0-9]{1,9}")
QUOTA_FORM = re.compile(rb"units=([0-9]{1,9}(?:\.[0-9]{1,9})?),spread=([0-9]{1,9}),first=[0-9]{1,9}")


class BadRequestError(Exception):
    """A request that is answered here, with the status that says why."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


class ClientRequest:
    """One try of a client, and the place in its connection where the answer goes."""

    __slots__ = ("_client", "answer", "body", "event", "head", "keep_alive")

    def __init__(self, client: _Client, keep_alive: bool) -> None:
        self._client, self.keep_alive = client, keep_alive
        self.event: api.Request | None = None
        self.head = self.body = b""
        self.answer: tuple[bytes, bytes] | None = None

    def respond(
        self, status: int, body: bytes = b"", headers: bytes = b"", retry_after: float | None = None
    ) -> None:
        """Give the one final answer; the connection writes it when its turn has come."""
        if self.answer is not None:
            raise RuntimeError("a request was answered twice")
        retry = b"" if retry_after is None else b"Retry-After: %.3f\r\n" % retry_after
        length = b"Content-Length: %d\r\n\r\n" % len(body)
        self.answer = b"".join((STATUS_LINES[status], headers, retry)), length + body
        self._client.flush()


class Handler(Protocol):
    """What the clients' side tells of its requests."""

    def arrived(self, request: ClientRequest) -> None: ...

    def departed(self, request: ClientRequest) -> None: ...


class RequestReader:
    """Turns a request's headers and target into the event that the decisions want."""

    def __init__(self, settings: api.Settings) -> None:
        self._classes = {c.name for c in settings.classes}
        self._plans = {p.name for p in settings.plans}
        self._gateways, self._max_units = settings.gateways, max(1.0, settings.max_units)
        self._last_id = 0

    def read(self, target: str, fields: dict[bytes, bytes]) -> api.Request:
        path, _, query = target.partition("?")
        name = path[1:].partition("/")[0]
        if name not in self._classes:
            raise BadRequestError(404, "unknown path")
        for header in (REQUEST_ID, CLASS, PLAN, TIMEOUT, QUOTA):
            if not fields.get(header):
                raise BadRequestError(400, f"{header.decode()} is missing")
        plan = fields[PLAN].decode("latin-1")
        if fields[CLASS].decode("latin-1") != name or plan not in self._plans:
            raise BadRequestError(400, "unknown class or plan")
        account = ACCOUNT.fullmatch(query)
        if account is None:
            raise BadRequestError(400, "account is missing or wrong")
        if not WHOLE.fullmatch(fields[TIMEOUT]) or int(fields[TIMEOUT]) == 0:
            raise BadRequestError(400, "x-timeout-ms is wrong")
        units, spread = self._quota(fields[QUOTA])
        self._last_id += 1
        ttl, repeat = int(fields[TIMEOUT]) / 1000, fields.get(RETRIED) == b"1"
        return api.Request(self._last_id, name, plan, ttl, account[1].lower(), units, spread, repeat)

    def _quota(self, text: bytes) -> tuple[float, int]:
        form = QUOTA_FORM.fullmatch(text)
        if form is None:
            raise BadRequestError(400, "x-quota is wrong")
        units, spread = float(form[1]), int(form[2])
        if not 0 < units <= self._max_units or not 1 <= spread <= self._gateways:
            raise BadRequestError(400, "x-quota is wrong")
        return units, spread


class _Client(asyncio.Protocol):
    """One client connection: parses requests, keeps their answers in order."""

    def __init__(self, frontend: Frontend) -> None:
        self.frontend = frontend
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._waiting = deque[ClientRequest]()
        self._target, self._fields = b"", dict[bytes, bytes]()
        self._head, self._body = list[bytes](), list[bytes]()
        self._size, self._head_read, self._reading = 0, False, False
        self._rejected = self._clogged = self._paused = False

    @property
    def idle(self) -> bool:
        return not self._waiting and not self._reading

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        transport = cast(asyncio.Transport, transport)  # uvloop's are no subclass of it
        self._transport = transport
        self.frontend.connected(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self.frontend.disconnected(self)
        waiting, self._waiting = self._waiting, deque()
        for request in waiting:
            if request.answer is None:
                self.frontend.handler.departed(request)

    def data_received(self, data: bytes) -> None:
        if self._rejected:
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as offer:
            # The offer is passed over (RFC 9110, 7.8): the request has been taken, what follows is HTTP/1.1.
            self._parser = httptools.HttpRequestParser(self)
            return self.data_received(data[offer.args[0] :])
        except httptools.HttpParserError as error:
            cause = error.__context__
            if isinstance(cause, BadRequestError):
                self._reject(cause.status)
            elif isinstance(error, httptools.HttpParserCallbackError):
                log.error("a request could not be handled", exc_info=cause)
                self._reject(500)
            else:
                self._reject(400)
            return
        # A head without an end would grow inside the parser, where no callback sees it. What was seen of
        # one that came in pieces counts twice: a bound on memory need not be exact.
        if self._reading and not self._head_read:
            self._size += len(data)
            if self._size > MAX_HEAD:
                self._reject(400)

    # The parser's callbacks.

    def on_message_begin(self) -> None:
        self._target, self._fields = b"", {}
        self._head, self._body, self._size = [], [], 0
        self._head_read, self._reading = False, True

    def on_url(self, url: bytes) -> None:
        self._target += url  # comes in pieces where the input was split
        self._size += len(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        key = name.lower()
        self._size += len(name) + len(value)
        if key in READ:
            if key in self._fields:
                raise BadRequestError(400, "a header stands twice")
            self._fields[key] = value
        if key not in NOT_FORWARDED and key != TIMEOUT:
            self._head.append(b"%b: %b\r\n" % (name, value))
        if key == b"content-length" and WHOLE.fullmatch(value) and int(value) > MAX_BODY:
            raise BadRequestError(413, "body too large")

    def on_headers_complete(self) -> None:
        if self._size > MAX_HEAD:
            raise BadRequestError(400, "head too large")
        self._head_read, self._size = True, 0

    def on_body(self, body: bytes) -> None:
        self._body.append(body)
        self._size += len(body)
        if self._size > MAX_BODY:
            raise BadRequestError(413, "body too large")

    def on_message_complete(self) -> None:
        if self._rejected:
            return
        self._reading, self._size = False, 0
        request = ClientRequest(self, self._parser.should_keep_alive())
        self._waiting.append(request)
        try:
            self._dispatch(request)
        except BadRequestError as error:
            request.respond(error.status)
        self._throttle()

    def _dispatch(self, request: ClientRequest) -> None:
        method = self._parser.get_method()
        if method not in (b"GET", b"POST"):
            raise BadRequestError(405, "method")
        target = self._target.decode("latin-1")
        if target.partition("?")[0] == "/healthz":
            return request.respond(503 if self.frontend.draining else 200)
        request.body = b"".join(self._body)
        if request.body or method == b"POST":
            self._head.append(b"Content-Length: %d\r\n" % len(request.body))
        request.event = self.frontend.reader.read(target, self._fields)
        request.head = b"%b %b HTTP/1.1\r\n%b" % (method, self._target, b"".join(self._head))
        self.frontend.handler.arrived(request)

    # Answers.

    def flush(self) -> None:
        """Write the answers whose turn has come."""
        while self._waiting and self._waiting[0].answer is not None and self._transport is not None:
            request = self._waiting.popleft()
            assert request.answer is not None
            start, rest = request.answer
            # While draining only the last answer closes: what is pipelined behind has been taken too.
            close = not request.keep_alive or (self.frontend.draining and not self._waiting)
            self._transport.write(start + (b"Connection: close\r\n" if close else b"") + rest)
            if close:
                self._close()
        self._throttle()

    def pause_writing(self) -> None:
        self._clogged = True
        self._throttle()

    def resume_writing(self) -> None:
        self._clogged = False
        self._throttle()

    def _throttle(self) -> None:
        """Read on only while answers are taken off: what one client does not read would fill the memory."""
        stop = self._clogged or len(self._waiting) >= MAX_PIPELINE
        if self._transport is None or self._transport.is_closing() or stop is self._paused:
            return
        self._paused = stop
        if stop:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def _reject(self, status: int) -> None:
        self._rejected = True
        last = ClientRequest(self, keep_alive=False)
        self._waiting.append(last)
        last.respond(status)

    def _close(self) -> None:
        """Close behind an answer; a sender still busy is drained first, or a reset would eat the answer."""
        transport, self._transport = self._transport, None
        if transport is None:
            return
        for request in self._waiting:
            if request.answer is None:
                self.frontend.handler.departed(request)
        self._waiting.clear()
        if self._rejected and transport.can_write_eof() and not transport.is_closing():
            transport.write_eof()
            asyncio.get_running_loop().call_later(LINGER, transport.close)
        else:
            self._rejected = True
            transport.close()

    def close_if_idle(self) -> bool:
        """Close between two requests, which a client takes as the end of a keep-alive."""
        if self.idle and self._transport is not None:
            self._close()
            return True
        return False

    def abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()


class Frontend:
    """The listener and its connections."""

    def __init__(self, handler: Handler, settings: api.Settings, max_connections: int) -> None:
        self.handler, self.reader = handler, RequestReader(settings)
        self.draining = False
        self._max = max_connections
        self._clients = dict[_Client, None]()  # in the order of their coming
        self._server: asyncio.Server | None = None
        self._empty = asyncio.Event()

    async def listen(self, host: str, port: int) -> tuple[str, int]:
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: _Client(self), host, port, backlog=BACKLOG)
        address = self._server.sockets[0].getsockname()
        return address[0], address[1]

    def connected(self, client: _Client) -> None:
        """Count a connection; at the limit an idle one makes room, and with none idle the new one goes."""
        if len(self._clients) >= self._max and not any(c.close_if_idle() for c in list(self._clients)):
            log.warning("out of client connections")
            client.abort()
        self._clients[client] = None

    def disconnected(self, client: _Client) -> None:
        self._clients.pop(client, None)
        if not self._clients:
            self._empty.set()

    def drain(self) -> None:
        """From now on every answer says that its connection closes."""
        self.draining = True

    async def close(self, grace: float) -> None:
        """Stop listening, close what is idle, and wait for the rest to be answered and closed."""
        if self._server is not None:
            self._server.close()
        for client in list(self._clients):
            client.close_if_idle()
        self._empty.clear()
        if self._clients:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._empty.wait(), grace)
