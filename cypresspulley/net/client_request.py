"""A client's request between the connection that it came on and the handler that answers it."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple, Protocol

from cypresspulley import interface as api
from cypresspulley.net.relay import Download, Upload
from cypresspulley.net.request_ids import RequestIds
from cypresspulley.net.requests import (
    CLASS_HEADER,
    IDEMPOTENCY_KEY_HEADER,
    REQUEST_ID_HEADER,
    RequestReader,
)

if TYPE_CHECKING:
    from cypresspulley.net.upstream import Exchange

# Seconds: Retry-After of a 503 during the last phase of shutdown, until the client has learned of other limiters.
SHUTDOWN_RETRY_AFTER = 0.5
REASON_PHRASES = {
    200: b"OK", 400: b"Bad Request", 403: b"Forbidden", 404: b"Not Found", 405: b"Method Not Allowed",
    406: b"Not Acceptable", 408: b"Request Timeout", 409: b"Conflict", 413: b"Content Too Large",
    415: b"Unsupported Media Type", 429: b"Too Many Requests", 500: b"Internal Server Error",
    502: b"Bad Gateway", 503: b"Service Unavailable", 504: b"Gateway Timeout",
}  # fmt: skip
STATUS_LINES = {code: b"HTTP/1.1 %d %b\r\n" % (code, reason) for code, reason in REASON_PHRASES.items()}


class RequestFrontend(Protocol):
    """What a request needs of the frontend."""

    clock: Callable[[], float]
    reader: RequestReader
    handler: Handler
    request_ids: RequestIds

    def claim_request_id(self, request: ClientRequest, id: bytes) -> None: ...


class RequestConnection(Protocol):
    """What a request needs of its connection."""

    last_active_at: float

    @property
    def frontend(self) -> RequestFrontend: ...

    @property
    def is_disconnected(self) -> bool: ...

    def check_client_present(self) -> bool: ...

    def flush(self) -> None:
        """Write the responses that are due."""
        ...


class Dialect(Protocol):
    """Translates responses for a client that does not use the plain protocol."""

    def format_error(
        self, status: int, retry_after: float | None, why: str, units_left: float
    ) -> tuple[int, bytes, bytes, float | None]:
        """Return status, headers, body and Retry-After (seconds) of a response that the limiter itself generates."""
        ...

    def process_response(self, exchange: Exchange) -> None:
        """Process a server's 200. This may change the outcome of the exchange and set the units that it cost."""
        ...


class ClientRequest:
    """A client's request and its slot in the order of responses on the connection."""

    __slots__ = (
        "_client", "accepts_chunked", "body", "closes_connection", "dialect", "event", "head", "id", "keep_alive",
        "may_have_run", "receive_delay", "response", "stream", "upload",
    )  # fmt: skip

    @property
    def seconds_since_first_byte(self) -> float:
        """Seconds from the request's first byte to now. Valid only when the request has just been received in full."""
        return max(0.0, self._client.frontend.clock() - self._client.last_active_at)

    def __init__(self, client: RequestConnection, keep_alive: bool) -> None:
        self._client, self.keep_alive = client, keep_alive
        self.event: api.Request | None = None
        self.dialect: Dialect | None = None
        self.id = self.head = self.body = b""
        self.response: tuple[bytes, bytes] | None = None
        self.upload: Upload | None = None  # set if the body is passed on while it arrives
        self.stream: Download | None = None  # set if the response is streamed
        self.closes_connection = False  # the connection closes after the streamed response
        self.accepts_chunked = True  # False for HTTP/1.0 clients
        self.may_have_run = False  # an attempt of a request that may not be repeated may have run
        self.receive_delay = 0.0  # upper bound in seconds of how long its last byte waited in the kernel

    def begin_stream(self, stream: Download) -> None:
        """Respond with ``stream``, passing it on as it arrives. Raise RuntimeError if there is a response already."""
        if self.response is not None or self.stream is not None:
            raise RuntimeError("the request has a response already")
        self.stream = stream
        self.release_body()
        self._client.flush()

    def end_stream(self, whole: bool) -> None:
        """Complete the streamed response; if it is not ``whole``, the client's connection is reset to show that."""
        assert self.stream is not None
        if not whole and self.stream.write is None:
            # Nothing of it was written. A reset might destroy responses that were written just before, so send 502.
            self.stream = None
            return self.respond(502)
        self.release_id()
        self.stream.complete, self.stream.broken = whole, not whole
        self._client.flush()

    @property
    def awaits_response(self) -> bool:
        """Whether there is neither a response nor the beginning of one."""
        return self.response is None and self.stream is None

    @property
    def held_bytes(self) -> int:
        """Bytes that the request holds, with the copy of it that the connection to a server may hold."""
        response = 0 if self.response is None else len(self.response[1])
        return 2 * (len(self.head) + len(self.body)) + response

    def announce_attempt(self) -> None:
        """Note that an attempt of this request, which may not be repeated, is about to begin."""
        self._client.frontend.request_ids.announce(self.id)

    def release_id(self) -> None:
        """Let the id be used again, unless a repeat could run twice."""
        self._client.frontend.request_ids.release(self.id, self.may_have_run)

    def release_body(self) -> None:
        """Give up what is kept of the body for further attempts."""
        if self.upload is not None:
            self.upload.release()

    @property
    def client_gone(self) -> bool:
        """Whether the client has disconnected."""
        return self._client.is_disconnected

    def check_client_present(self) -> bool:
        """Check the socket for whether the client is still connected; if not, abandon all its requests."""
        return self._client.check_client_present()

    def respond(
        self, status: int, body: bytes = b"", headers: bytes = b"", retry_after: float | None = None,
        why: str = "", units_left: float = -1.0,
    ) -> None:  # fmt: skip
        """Set the final response, which the connection writes after those of earlier requests.

        ``retry_after`` is in seconds; ``why`` and ``units_left`` are passed to the dialect. Raise RuntimeError if
        there is a response already.
        """
        if self.dialect is not None and status != 200:
            status, headers, body, retry_after = self.dialect.format_error(
                status, retry_after, why, units_left
            )
        self.send_response(status, headers, body, retry_after)

    def reject(self, status: int) -> None:
        """Respond to a request that is not forwarded.

        Only a limiter that shuts down sends 503; the client can reach another one after the Retry-After time.
        """
        self.respond(status, retry_after=SHUTDOWN_RETRY_AFTER if status == 503 else None)

    def fail(self, handler: Handler) -> None:
        """Respond with 500 after an unexpected error, unless there is a response already; nobody else responds."""
        if self.response is None and self.stream is None:
            handler.departed(self)
            self.respond(500)

    def send_response(self, status: int, headers: bytes, body: bytes, retry_after: float | None) -> None:
        """Set the final response without translation by the dialect. Raise RuntimeError if there is one already."""
        if self.response is not None or self.stream is not None:
            raise RuntimeError("the request has a response already")
        self.release_id()
        self.release_body()
        retry = b"" if retry_after is None else b"Retry-After: %.3f\r\n" % retry_after
        length = b"Content-Length: %d\r\n\r\n" % len(body)
        self.response = b"".join((STATUS_LINES[status], headers, retry)), length + body
        self._client.flush()


class Handler(Protocol):
    """Receives the requests of the frontend."""

    def arrived(self, request: ClientRequest) -> None:
        """Handle a new request."""
        ...

    def departed(self, request: ClientRequest) -> None:
        """Drop a request whose client has gone."""
        ...

    def give_up(self, request: ClientRequest) -> None:
        """Respond with an error to a request that cannot be kept any longer."""
        ...

    def overdue(self, request: ClientRequest) -> None:
        """Respond to a request whose deadline has passed before its body was read to the end."""
        ...


class ParsedRequest(NamedTuple):
    """A complete request to the path of a ``PathHandler``, with the operations that the handler may apply to it."""

    frontend: RequestFrontend
    method: bytes
    target: bytes
    query: str
    fields: dict[bytes, bytes]
    header_lines: list[bytes]  # as they are forwarded

    @property
    def reader(self) -> RequestReader:
        return self.frontend.reader

    def claim_request_id(self, request: ClientRequest) -> None:
        """Reserve the request id until the response. Raise BadRequestError if the id is in use."""
        self.frontend.claim_request_id(request, self.fields[REQUEST_ID_HEADER].lower())

    def build_head(self, name: str, key: bytes | None) -> bytes:
        """Return the head to forward, with the given class name and key in place of those that the client sent."""
        own = (CLASS_HEADER + b":", IDEMPOTENCY_KEY_HEADER + b":")
        header_lines = [line for line in self.header_lines if not line.lower().startswith(own)]
        header_lines.append(b"X-Priority-Class: %b\r\n" % name.encode("latin-1"))
        if key is not None:
            header_lines.append(b"Idempotency-Key: %b\r\n" % key)
        return b"%b %b HTTP/1.1\r\n%b" % (self.method, self.target, b"".join(header_lines))

    def submit(self, request: ClientRequest) -> None:
        """Pass the request to the frontend's handler."""
        self.frontend.handler.arrived(request)


class PathHandler(Protocol):
    """Serves the requests to one path."""

    path: str
    headers: frozenset[bytes]  # lower-case names of headers that it reads in addition to the protocol's

    def handle_request(self, request: ClientRequest, parsed: ParsedRequest) -> None:
        """Respond to the request or submit it. Raise BadRequestError if it is invalid."""
        ...

    def retune(self, settings: api.Settings) -> None:
        """Apply new settings to the requests from now on."""
        ...
