"""The admin API: an HTTP/1.1 server for operators' calls on an address of its own, with one request per connection.

Callers are not trusted to complete their requests: the request size, the number of connections and the time without
a complete request are limited, so that incomplete requests cannot block other callers. Callers are not authenticated;
the address must be on a network that only the operators can reach. This module makes no decisions.
"""

from __future__ import annotations

import asyncio
import fcntl
import json
import logging
import re
import termios
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, cast
from urllib.parse import unquote

import httptools

from cypresspulley.net.listener import Listener, open_listener

log = logging.getLogger(__name__)

# Default limit on open connections. At the limit the oldest one without a complete request is aborted, unless it has
# unread bytes or is younger than ``MIN_CONNECTION_SECONDS``; without such a one, callers wait in the accept queue.
MAX_CONNECTIONS = 64
MIN_CONNECTION_SECONDS = 0.05  # for a caller's request to arrive
LISTEN_BACKLOG = 128
MAX_REQUEST_BYTES = 8192  # head and body; the longest request has a server's id in its path
REQUEST_TIMEOUT_SECONDS = 1.5  # time for a request to arrive completely
UNREAD_DATA_GRACE_SECONDS = 0.05  # extra time to read data that is already in the socket at that timeout
RESPONSE_TIMEOUT_SECONDS = 0.8  # time to process a request, whose response is due within 1 s
# Time for which a connection is still read after its response. Closing with unread bytes would send a reset, which may
# destroy the response.
LINGER_SECONDS = 0.5
MAX_LINGER_BYTES = 128 * 1024  # limit on the bytes read during that time
# Time to process a purge, which waits for all other limiters; closing.purge_ms limits it.
PURGE_TIMEOUT_SECONDS = 61.0
REASONS = {
    200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed", 408: "Request Timeout",
    409: "Conflict", 413: "Content Too Large", 500: "Internal Server Error", 503: "Service Unavailable",
}  # fmt: skip
ROUTES = (
    (re.compile(r"/v1/readyz"), "GET", "readyz"),
    (re.compile(r"/v1/servers/([^/]{1,1024})/suspend"), "PUT", "suspend"),
    (re.compile(r"/v1/servers/([^/]{1,1024})/resume"), "PUT", "resume"),
    (re.compile(r"/v1/limiter/drain"), "PUT", "drain"),
    (re.compile(r"/v1/limiter/activate"), "PUT", "activate"),
    (re.compile(r"/v1/accounts/([^/]{1,64})/purge"), "PUT", "purge"),
)


@dataclass(frozen=True, slots=True)
class Reply:
    """The response to a request; with a status other than 2xx, ``body`` contains the reason."""

    status: int
    body: dict[str, Any]
    allow: str = ""


Handler = Callable[[str, str], Awaitable[Reply]]


def route(method: str, target: str) -> tuple[str, str] | Reply:
    """Return the name of the requested call and the id in its path, or an error response if there is no such call."""
    path = target.partition("?")[0]
    for pattern, allowed, name in ROUTES:
        if (match := pattern.fullmatch(path)) is None:
            continue
        if method != allowed:
            return Reply(405, {"error": f"{path[:80]} takes {allowed}, not {method}"}, allowed)
        return name, unquote(match[1]) if match.groups() else ""
    known = ", ".join(f"{allowed} {pattern.pattern}" for pattern, allowed, _ in ROUTES)
    return Reply(404, {"error": f"no such path: {path[:80]}", "expected": known})


def render(reply: Reply) -> bytes:
    """Encode the response as bytes, with ``Connection: close``."""
    body = json.dumps(reply.body).encode() + b"\n"
    allow = f"Allow: {reply.allow}\r\n" if reply.allow else ""
    head = (
        f"HTTP/1.1 {reply.status} {REASONS[reply.status]}\r\nContent-Type: application/json\r\n{allow}"
        f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
    )
    return head.encode() + body


class _AdminConnection(asyncio.Protocol):
    """One connection, which carries one request."""

    def __init__(self, server: AdminServer) -> None:
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._loop = asyncio.get_running_loop()
        self._accepted_at = self._loop.time()
        self._parser = httptools.HttpRequestParser(self)
        self._url = b""
        self._request_size = 0  # bytes received of the request
        self.complete = False  # the request has been received completely
        self.answered = False
        self._discarded_size = 0  # bytes read and discarded after the request
        self._grace_used = False  # the timeout has been extended once for unread data
        # The request timeout, and after the response the end of the linger.
        self._timer = self._loop.call_later(REQUEST_TIMEOUT_SECONDS, self._on_request_timeout)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)  # uvloop's transports are not subclasses of it

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._timer.cancel()
        self._server.remove_connection(self)

    def data_received(self, data: bytes) -> None:
        if self.complete:  # only one request per connection: the rest is read and discarded
            self._discarded_size += len(data)
            if self._discarded_size > MAX_LINGER_BYTES:
                self.abort()
            return
        self._request_size += len(data)
        if self._request_size > MAX_REQUEST_BYTES:
            return self.answer(Reply(413, {"error": f"a call has {MAX_REQUEST_BYTES} bytes at most"}))
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if not self.complete:
                self.answer(Reply(400, {"error": f"not a request in HTTP/1.1: {error}"}))

    def on_url(self, url: bytes) -> None:
        self._url += url

    def on_message_complete(self) -> None:
        if self.complete:
            return
        self.complete = True
        self._timer.cancel()
        self._server.handle_request(
            self, self._parser.get_method().decode("latin-1"), self._url.decode("latin-1")
        )

    def answer(self, reply: Reply) -> None:
        """Send the response and close with a linger: half-close, discard input up to the limits, then close.

        Closing with unread bytes would send a reset, which may destroy the response.
        """
        self.complete = self.answered = True
        self._timer.cancel()
        transport = self._transport
        if transport is not None and not transport.is_closing():
            transport.write(render(reply))
            transport.write_eof()
            self._discarded_size = 0
            self._timer = self._loop.call_later(LINGER_SECONDS, transport.close)

    def _on_request_timeout(self) -> None:
        """Fail the request, unless unread data is in the socket, which extends the timeout once.

        After the event loop was blocked, its timers run before it reads from sockets.
        """
        if self._has_unread_data and not self._grace_used:
            self._grace_used = True
            self._timer = self._loop.call_later(UNREAD_DATA_GRACE_SECONDS, self._on_request_timeout)
        else:
            self.answer(Reply(408, {"error": f"no whole call within {REQUEST_TIMEOUT_SECONDS:g} s"}))

    @property
    def is_silent(self) -> bool:
        """Whether it had time to send a request and has none that is complete or unread."""
        if self.complete or self._transport is None:
            return False
        had_time = self._loop.time() - self._accepted_at >= MIN_CONNECTION_SECONDS
        return had_time and not self._has_unread_data

    @property
    def _has_unread_data(self) -> bool:
        transport = self._transport
        if transport is None or transport.is_closing():
            return False
        size = fcntl.ioctl(transport.get_extra_info("socket").fileno(), termios.FIONREAD, b"\0" * 4)
        return any(size)

    def abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()


class AdminServer:
    """The server of the admin API.

    ``handler`` is called with the name of the call and the id in its path, and returns once the call has taken effect.
    """

    def __init__(self, handler: Handler, max_connections: int | None = None) -> None:
        self._handler = handler
        self._max_connections = MAX_CONNECTIONS if max_connections is None else max_connections
        self._listener: Listener | None = None
        self._connections = dict[_AdminConnection, None]()  # in order of arrival
        self._tasks = set[asyncio.Task[None]]()

    async def listen(self, host: str, port: int) -> tuple[str, int]:
        """Start listening and return the bound address. Raise OSError if the address cannot be bound."""
        self._listener = await open_listener(host, port, LISTEN_BACKLOG, self._create_connection, self)
        return self._listener.address

    def _create_connection(self) -> _AdminConnection:
        connection = _AdminConnection(self)
        self._connections[connection] = None
        return connection

    @property
    def full(self) -> bool:
        """Whether the limit on open connections is reached."""
        return len(self._connections) >= self._max_connections

    def make_room(self) -> bool:
        """Abort a connection without a request, or else one that has its response; return whether there was one."""
        silent = (each for each in self._connections if each.is_silent)
        answered = (each for each in self._connections if each.answered)
        evicted = next(silent, None) or next(answered, None)
        if evicted is None:
            return False
        self.remove_connection(evicted)
        evicted.abort()
        return True

    def remove_connection(self, connection: _AdminConnection) -> None:
        self._connections.pop(connection, None)

    def handle_request(self, connection: _AdminConnection, method: str, target: str) -> None:
        """Process a complete request."""
        routed = route(method, target)
        if isinstance(routed, Reply):
            log.info("operators: %s %.120s: %d", method, target, routed.status)
            return connection.answer(routed)
        task = asyncio.get_running_loop().create_task(self._serve(connection, *routed))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, connection: _AdminConnection, name: str, id: str) -> None:
        timeout = PURGE_TIMEOUT_SECONDS if name == "purge" else RESPONSE_TIMEOUT_SECONDS
        try:
            async with asyncio.timeout(timeout):
                reply = await self._handler(name, id)
        except TimeoutError:
            reply = Reply(503, {"error": f"not in force within {timeout:g} s"})
        except Exception:
            log.exception("admin call failed")
            reply = Reply(500, {"error": "a fault of the limiter; its log says more"})
        log.info("operators: %s %.120s: %d", name, id, reply.status)
        connection.answer(reply)

    def close(self) -> None:
        if self._listener is not None:
            self._listener.close()
        for task in self._tasks:
            task.cancel()
        for connection in list(self._connections):
            connection.abort()
