"""The writer's HTTP server: publishes a plan book as lines of JSON and accepts operations.

    GET /v1/plans?epoch=E&since=N        Authorization: Bearer TOKEN
    POST /v1/plans                       the same header; the body is one JSON operation of ``operations.py``

GET is answered with 200 and a stream of lines that goes on until one side closes the connection. The stream begins with
``whole`` and all changes where the follower has another epoch or no changes (``since=0``), else with the changes after
number N. Each new change follows, and a ``beat`` (heartbeat) each second. Errors are 400, 401 for a wrong token, 404,
405, and 503 for too many followers or where the store cannot be written. POST is answered with 200 and the result, or
with 409 and the reason. The command line listens on loopback by default.
"""

from __future__ import annotations

import asyncio
import hmac
import json
import logging
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qs, urlsplit

from cypresspulley.plans import book as books
from cypresspulley.plans.book import Change
from cypresspulley.plans.lease import LEASE_MS
from cypresspulley.plans.operations import apply_operation
from cypresspulley.plans.plan_writer import PlanWriter

log = logging.getLogger(__name__)

HEARTBEAT_INTERVAL_SECONDS = 1.0
MAX_HEAD_BYTES = 8192
READ_TIMEOUT_SECONDS = 5.0  # seconds for a request's head, and for its body
MAX_FOLLOWERS = 4096  # as many limiters as a fleet's membership view holds (``fleet.view.MAX_MEMBERS``)
ACCEPT_BACKLOG = 1024  # connections waiting to be accepted: a fleet that restarts connects all at once
WRITE_TIMEOUT_SECONDS = 5.0  # seconds in which a follower must read what is written to it
PLANS_PATH = "/v1/plans"
MAX_BODY_BYTES = 768 << 10  # of an operation: older limiters send usage records of some 500 KiB
REASON_PHRASES = {
    200: "OK", 400: "Bad Request", 401: "Unauthorized", 404: "Not Found", 405: "Method Not Allowed",
    409: "Conflict", 413: "Too Large", 503: "Unavailable",
}  # fmt: skip


def unix_ms() -> int:
    return time.time_ns() // 1_000_000


class RejectedCallError(Exception):
    """A call is answered with an error status. The text becomes the body."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


@dataclass(frozen=True, slots=True)
class Call:
    """An accepted call: a follower's (``body`` is None), or an operation with ``body`` bytes of JSON."""

    epoch: int = 0
    since: int = 0
    body: int | None = None


def parse_request_head(head: bytes, token: str) -> Call:
    """Parse the head of a request. Raise ``RejectedCallError`` for anything but the two defined calls."""
    try:
        lines = head.decode("ascii").split("\r\n")
        method, target, version = lines[0].split(" ")
    except (UnicodeDecodeError, ValueError):
        raise RejectedCallError(400, "expected GET /v1/plans?epoch=E&since=N HTTP/1.1") from None
    url = urlsplit(target)
    if not version.startswith("HTTP/1."):
        raise RejectedCallError(400, f"expected HTTP/1.1, got {version!r:.20}")
    if url.path != PLANS_PATH:
        raise RejectedCallError(404, f"expected {PLANS_PATH}")
    if method not in ("GET", "POST"):
        raise RejectedCallError(405, "expected GET or POST")
    fields = {
        name.strip().lower(): value.strip() for name, _, value in (line.partition(":") for line in lines[1:])
    }
    if not hmac.compare_digest(fields.get("authorization", "").encode(), f"Bearer {token}".encode()):
        raise RejectedCallError(401, "expected Authorization: Bearer TOKEN with this book's token")
    if method == "POST":
        length = fields.get("content-length", "")
        if not length.isdigit() or len(length) > 9 or "transfer-encoding" in fields:
            raise RejectedCallError(400, "Content-Length: expected a whole number, and no Transfer-Encoding")
        if int(length) > MAX_BODY_BYTES:
            raise RejectedCallError(413, f"expected a body of at most {MAX_BODY_BYTES} bytes")
        return Call(body=int(length))
    query = parse_qs(url.query)
    try:
        epoch, since = (int(query.get(name, ["0"])[-1]) for name in ("epoch", "since"))
    except ValueError:
        raise RejectedCallError(400, "epoch, since: expected whole numbers") from None
    if epoch < 0 or since < 0:
        raise RejectedCallError(400, "epoch, since: expected numbers from 0 on")
    return Call(epoch, since)


class Publisher:
    """Serves a plan writer's book to followers.

    Whoever changes the plan writer outside the publisher calls ``notify_followers``.
    """

    def __init__(
        self,
        plan_writer: PlanWriter,
        token: str,
        clock: Callable[[], int] = unix_ms,
        heartbeat_s: float = HEARTBEAT_INTERVAL_SECONDS,
    ) -> None:
        if not token:
            raise ValueError("token: expected one that is not empty")
        self._plan_writer, self._token, self._clock, self._heartbeat_s = (
            plan_writer,
            token,
            clock,
            heartbeat_s,
        )
        self._server: asyncio.Server | None = None
        self._change_event = asyncio.Event()
        self._follower_streams = set[asyncio.StreamWriter]()

    @property
    def follower_count(self) -> int:
        """The number of connections that the book is published to."""
        return len(self._follower_streams)

    async def listen(self, host: str, port: int) -> tuple[str, int]:
        """Start to listen; return the address, with the port that the system chose for port 0."""
        self._server = await asyncio.start_server(
            self._serve, host, port, limit=MAX_HEAD_BYTES, backlog=ACCEPT_BACKLOG
        )
        name = self._server.sockets[0].getsockname()
        return str(name[0]), int(name[1])

    def notify_followers(self) -> None:
        """Send the changes since the last call to all followers."""
        change_event, self._change_event = self._change_event, asyncio.Event()
        change_event.set()

    async def close(self) -> None:
        if self._server is not None:
            self._server.close()
            for writer in self._follower_streams:
                writer.transport.abort()
            self.notify_followers()  # a stream that waits for changes finds its connection closed
            await self._server.wait_closed()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            call = await self._read_call(reader)
            if call.body is not None:
                return self._send_answer(writer, 200, await self._handle_operation(reader, call.body))
        except RejectedCallError as rejection:
            return self._send_answer(writer, rejection.status, {"error": str(rejection)})
        except (OSError, asyncio.IncompleteReadError):
            return writer.transport.abort()
        self._follower_streams.add(writer)
        try:
            writer.write(
                b"HTTP/1.1 200 OK\r\nContent-Type: application/x-ndjson\r\nConnection: close\r\n\r\n"
            )
            await self._stream_book(writer, call.epoch, call.since)
        except (OSError, TimeoutError, asyncio.CancelledError):
            pass
        finally:
            self._follower_streams.discard(writer)
            writer.transport.abort()

    async def _read_call(self, reader: asyncio.StreamReader) -> Call:
        try:
            async with asyncio.timeout(READ_TIMEOUT_SECONDS):
                head = await reader.readuntil(b"\r\n\r\n")
        except (asyncio.LimitOverrunError, asyncio.IncompleteReadError, TimeoutError):
            raise RejectedCallError(
                400, f"expected a head of at most {MAX_HEAD_BYTES} bytes within {READ_TIMEOUT_SECONDS:g} s"
            ) from None
        call = parse_request_head(head[:-4], self._token)
        if call.body is None and self.follower_count >= MAX_FOLLOWERS:
            raise RejectedCallError(503, f"expected at most {MAX_FOLLOWERS} followers")
        return call

    async def _handle_operation(self, reader: asyncio.StreamReader, size: int) -> dict[str, Any]:
        try:
            async with asyncio.timeout(READ_TIMEOUT_SECONDS):
                body = await reader.readexactly(size)
            result = apply_operation(self._plan_writer, json.loads(body), self._clock())
        except TimeoutError:
            raise RejectedCallError(
                400, f"expected the whole body within {READ_TIMEOUT_SECONDS:g} s"
            ) from None
        except RecursionError:
            raise RejectedCallError(400, "expected JSON of little depth") from None
        except OSError as error:
            raise RejectedCallError(503, f"the store: {error}") from None
        except ValueError as error:
            raise RejectedCallError(409, str(error)) from None
        self.notify_followers()
        return result

    @staticmethod
    def _send_answer(writer: asyncio.StreamWriter, status: int, answer: dict[str, Any]) -> None:
        body = json.dumps(answer).encode() + b"\n"
        allow = "Allow: GET, POST\r\n" if status == 405 else ""
        writer.write(
            f"HTTP/1.1 {status} {REASON_PHRASES[status]}\r\n{allow}Content-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n".encode()
            + body
        )
        writer.close()

    async def _stream_book(self, writer: asyncio.StreamWriter, epoch: int, since: int) -> None:
        plan_writer = self._plan_writer
        known = since if epoch == plan_writer.epoch else 0
        if not known or known > plan_writer.book.last_stamp.seq:
            known = await self._send_whole_book(writer)
        while True:
            change_event = self._change_event
            for change in self._changes_after(known):
                await self._send_line(
                    writer, {"kind": "change", "epoch": plan_writer.epoch, "change": books.as_json(change)}
                )
            known = plan_writer.book.last_stamp.seq
            await self._send_line(
                writer, {**self._message_fields("beat"), "last": [plan_writer.book.last_stamp.epoch, known]}
            )
            with suppress(TimeoutError):
                await asyncio.wait_for(change_event.wait(), self._heartbeat_s)

    def _changes_after(self, known: int) -> list[Change]:
        if known == self._plan_writer.book.last_stamp.seq:
            return []
        return self._plan_writer.changes[known:]

    def _message_fields(self, kind: str) -> dict[str, Any]:
        return {"kind": kind, "epoch": self._plan_writer.epoch, "sent": self._clock(), "lease": LEASE_MS}

    async def _send_whole_book(self, writer: asyncio.StreamWriter) -> int:
        count = len(self._plan_writer.changes)  # changes that arrive meanwhile are sent afterwards
        description = {"installation": self._plan_writer.book.installation, "changes": count}
        await self._send_line(writer, {**self._message_fields("whole"), **description})
        for number in range(count):
            await self._send_line(writer, books.as_json(self._plan_writer.changes[number]))
        return count

    @staticmethod
    async def _send_line(writer: asyncio.StreamWriter, line: dict[str, Any]) -> None:
        writer.write(json.dumps(line, separators=(",", ":")).encode() + b"\n")
        async with asyncio.timeout(WRITE_TIMEOUT_SECONDS):
            await writer.drain()
