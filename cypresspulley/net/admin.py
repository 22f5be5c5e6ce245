"""The operators' door: HTTP/1.1 at an address of its own, one call to a connection. It decides nothing.

Callers are not trusted to finish what they begin: heads, connections and silence have bounds of their own, so that
half a call keeps nobody out. Who calls is not asked; the address belongs on a network of the operators' own.
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

MAX_CONNECTIONS = (
    64  # at once; the longest silent gives way: to lose a call, so many must come before its bytes are read
)
LISTEN_BACKLOG = 128
MAX_REQUEST_BYTES = 8192  # bytes of a call, head and body: the longest has a server's id in its path
REQUEST_TIMEOUT_SECONDS = 1.5  # seconds for a call to come whole
UNREAD_DATA_GRACE_SECONDS = 0.05  # and, where bytes of it lie unread then, for those to be read
RESPONSE_TIMEOUT_SECONDS = 0.8  # seconds for its answer, which is due within one
LINGER_SECONDS = 0.5  # seconds for which a connection is read on behind its answer, or a reset might eat that
MAX_LINGER_BYTES = 128 * 1024  # and how much is read
PURGE_TIMEOUT_SECONDS = (
    61.0  # and for that to a purge, which waits for all other limiters: closing.purge_ms bounds it
)
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
    """An answer to a call: 2xx is yes, anything else is no, and ``body`` says why."""

    status: int
    body: dict[str, Any]
    allow: str = ""


Handler = Callable[[str, str], Awaitable[Reply]]


def route(method: str, target: str) -> tuple[str, str] | Reply:
    """The call that a request makes and the server's id in it, or the answer that says what is wrong."""
    path = target.partition("?")[0]
    for form, wanted, name in ROUTES:
        if (found := form.fullmatch(path)) is None:
            continue
        if method != wanted:
            return Reply(405, {"error": f"{path[:80]} takes {wanted}, not {method}"}, wanted)
        return name, unquote(found[1]) if found.groups() else ""
    known = ", ".join(f"{wanted} {form.pattern}" for form, wanted, _ in ROUTES)
    return Reply(404, {"error": f"no such path: {path[:80]}", "expected": known})


def render(reply: Reply) -> bytes:
    """The answer's bytes; its connection ends behind it."""
    body = json.dumps(reply.body).encode() + b"\n"
    allow = f"Allow: {reply.allow}\r\n" if reply.allow else ""
    head = (
        f"HTTP/1.1 {reply.status} {REASONS[reply.status]}\r\nContent-Type: application/json\r\n{allow}"
        f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
    )
    return head.encode() + body


class _AdminConnection(asyncio.Protocol):
    """One connection and the one call on it."""

    def __init__(self, server: AdminServer) -> None:
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._url = b""
        self._request_size = 0  # bytes of the call
        self.complete = False  # the call has come whole
        self.answered = False
        self._discarded_size = 0  # bytes read and dropped
        self._grace_used = False  # the unread bytes have been looked at
        # Until the call is whole: its silence. Behind its answer: the linger.
        self._timer = asyncio.get_running_loop().call_later(REQUEST_TIMEOUT_SECONDS, self._on_request_timeout)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)  # uvloop's are no subclass of it
        self._server.add_connection(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._timer.cancel()
        self._server.remove_connection(self)

    def data_received(self, data: bytes) -> None:
        if self.complete:  # one call to a connection: the rest is read and dropped
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
        """Say it and end by a lingering close: write, half-close, read to the connection's end with bounds, close.

        A close over unread bytes would be a reset, which may eat the answer.
        """
        self.complete = self.answered = True
        self._timer.cancel()
        transport = self._transport
        if transport is not None and not transport.is_closing():
            transport.write(render(reply))
            transport.write_eof()
            self._discarded_size = 0
            self._timer = asyncio.get_running_loop().call_later(LINGER_SECONDS, transport.close)

    def _on_request_timeout(self) -> None:
        """A loop that was held comes to its timers before it reads: what lies unread is looked at first, once."""
        if self._unread and not self._grace_used:
            self._grace_used = True
            self._timer = asyncio.get_running_loop().call_later(
                UNREAD_DATA_GRACE_SECONDS, self._on_request_timeout
            )
        else:
            self.answer(Reply(408, {"error": f"no whole call within {REQUEST_TIMEOUT_SECONDS:g} s"}))

    @property
    def _unread(self) -> bool:
        transport = self._transport
        if transport is None or transport.is_closing():
            return False
        size = fcntl.ioctl(transport.get_extra_info("socket").fileno(), termios.FIONREAD, b"\0" * 4)
        return any(size)

    def abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()


class AdminServer:
    """The listener. ``handler`` gets each call's name and server id, and returns once it is in force."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._listener: Listener | None = None
        self._connections = dict[_AdminConnection, None]()  # in the order of their coming
        self._tasks = set[asyncio.Task[None]]()

    async def listen(self, host: str, port: int) -> tuple[str, int]:
        """Raises OSError where the address cannot be had."""
        self._listener = await open_listener(host, port, LISTEN_BACKLOG, lambda: _AdminConnection(self))
        return self._listener.address

    def add_connection(self, connection: _AdminConnection) -> None:
        self._connections[connection] = None
        if len(self._connections) > MAX_CONNECTIONS:
            # A whole call is answered within a second: what is silent makes room first, then who has its answer.
            silent = (each for each in self._connections if not each.complete and each is not connection)
            answered = (each for each in self._connections if each.answered)
            out = next(silent, None) or next(answered, connection)
            self._connections.pop(out, None)
            out.abort()

    def remove_connection(self, connection: _AdminConnection) -> None:
        self._connections.pop(connection, None)

    def handle_request(self, connection: _AdminConnection, method: str, target: str) -> None:
        """A whole call has come."""
        routed = route(method, target)
        if isinstance(routed, Reply):
            log.info("operators: %s %.120s: %d", method, target, routed.status)
            return connection.answer(routed)
        task = asyncio.get_running_loop().create_task(self._serve(connection, *routed))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, connection: _AdminConnection, name: str, id: str) -> None:
        within = PURGE_TIMEOUT_SECONDS if name == "purge" else RESPONSE_TIMEOUT_SECONDS
        try:
            async with asyncio.timeout(within):
                reply = await self._handler(name, id)
        except TimeoutError:
            reply = Reply(503, {"error": f"not in force within {within:g} s"})
        except Exception:
            log.exception("a call of the operators failed")
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
