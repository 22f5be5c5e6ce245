"""Publishing a book: the writer's HTTP side. Lines of JSON, one for each change, and a beat each second.

    GET /v1/plans?epoch=E&since=N        Authorization: Bearer TOKEN
    POST /v1/plans                       the same; a body of JSON, one wish of ``wishes.py``

answers 200 with lines that go on until one side ends: first ``whole`` with all changes where the follower's epoch is
another or nothing is known there (``since=0``), else the changes behind number N; then each new change, and ``beat``.
401 without the right token, 404, 405, 400; 503 where there are too many followers, or the disk takes nothing more. A
wish is answered 200 with what was done, 409 with why not. Loopback unless told otherwise.
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
from cypresspulley.plans.plan_writer import PlanWriter
from cypresspulley.plans.wishes import carry_out

log = logging.getLogger(__name__)

BEAT = 1.0  # seconds
MOST_HEAD = 8192  # bytes
HEAD_WAIT = 5.0  # seconds for a head
MOST_FOLLOWERS = 4096  # as many limiters as a fleet's view holds (``fleet.view.MOST_MEMBERS``)
BACKLOG = 1024  # dials that wait to be accepted: a fleet that restarts dials as one
STALLED = 5.0  # seconds in which a follower must take what is written to it
PATH = "/v1/plans"
MOST_BODY = 65_536  # bytes of a wish
REASONS = {
    200: "OK", 400: "Bad Request", 401: "Unauthorized", 404: "Not Found", 405: "Method Not Allowed",
    409: "Conflict", 413: "Too Large", 503: "Unavailable",
}  # fmt: skip


def unix_ms() -> int:
    return time.time_ns() // 1_000_000


class RefusedError(Exception):
    """A call that is answered with a status and no lines."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


@dataclass(frozen=True, slots=True)
class Call:
    """A call that may be answered: a follower's (``body`` is None), or a wish of so many bytes."""

    epoch: int = 0
    since: int = 0
    body: int | None = None


def parse_head(head: bytes, token: str) -> Call:
    """What is asked; ``RefusedError`` for anything but the two calls there are."""
    try:
        lines = head.decode("ascii").split("\r\n")
        method, target, version = lines[0].split(" ")
    except (UnicodeDecodeError, ValueError):
        raise RefusedError(400, "expected GET /v1/plans?epoch=E&since=N HTTP/1.1") from None
    url = urlsplit(target)
    if not version.startswith("HTTP/1."):
        raise RefusedError(400, f"expected HTTP/1.1, got {version!r:.20}")
    if url.path != PATH:
        raise RefusedError(404, f"expected {PATH}")
    if method not in ("GET", "POST"):
        raise RefusedError(405, "expected GET or POST")
    fields = {
        name.strip().lower(): value.strip() for name, _, value in (line.partition(":") for line in lines[1:])
    }
    if not hmac.compare_digest(fields.get("authorization", "").encode(), f"Bearer {token}".encode()):
        raise RefusedError(401, "expected Authorization: Bearer TOKEN with this book's token")
    if method == "POST":
        length = fields.get("content-length", "")
        if not length.isdigit() or len(length) > 9 or "transfer-encoding" in fields:
            raise RefusedError(400, "Content-Length: expected a whole number, and no Transfer-Encoding")
        if int(length) > MOST_BODY:
            raise RefusedError(413, f"expected a body of at most {MOST_BODY} bytes")
        return Call(body=int(length))
    asked = parse_qs(url.query)
    try:
        epoch, since = (int(asked.get(name, ["0"])[-1]) for name in ("epoch", "since"))
    except ValueError:
        raise RefusedError(400, "epoch, since: expected whole numbers") from None
    if epoch < 0 or since < 0:
        raise RefusedError(400, "epoch, since: expected numbers from 0 on")
    return Call(epoch, since)


class Publisher:
    """Serves an office's book to followers. The office changes elsewhere; ``changed`` tells of it."""

    def __init__(
        self, plan_writer: PlanWriter, token: str, clock: Callable[[], int] = unix_ms, beat: float = BEAT
    ) -> None:
        if not token:
            raise ValueError("token: expected one that is not empty")
        self._plan_writer, self._token, self._clock, self._beat = plan_writer, token, clock, beat
        self._server: asyncio.Server | None = None
        self._news = asyncio.Event()
        self._writers = set[asyncio.StreamWriter]()

    @property
    def followers(self) -> int:
        """Connections that the book is published to."""
        return len(self._writers)

    async def listen(self, host: str, port: int) -> tuple[str, int]:
        """Serve; the address taken."""
        self._server = await asyncio.start_server(self._serve, host, port, limit=MOST_HEAD, backlog=BACKLOG)
        name = self._server.sockets[0].getsockname()
        return str(name[0]), int(name[1])

    def changed(self) -> None:
        """The office has changed: all followers are told."""
        news, self._news = self._news, asyncio.Event()
        news.set()

    async def close(self) -> None:
        if self._server is not None:
            self._server.close()
            for writer in self._writers:
                writer.transport.abort()
            self.changed()  # whoever waits for news finds its connection gone
            await self._server.wait_closed()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            call = await self._call(reader)
            if call.body is not None:
                return self._answer(writer, 200, await self._wish(reader, call.body))
        except RefusedError as no:
            return self._answer(writer, no.status, {"error": str(no)})
        except (OSError, asyncio.IncompleteReadError):
            return writer.transport.abort()
        self._writers.add(writer)
        try:
            writer.write(
                b"HTTP/1.1 200 OK\r\nContent-Type: application/x-ndjson\r\nConnection: close\r\n\r\n"
            )
            await self._tell(writer, call.epoch, call.since)
        except (OSError, TimeoutError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _call(self, reader: asyncio.StreamReader) -> Call:
        try:
            async with asyncio.timeout(HEAD_WAIT):
                head = await reader.readuntil(b"\r\n\r\n")
        except (asyncio.LimitOverrunError, asyncio.IncompleteReadError, TimeoutError):
            raise RefusedError(
                400, f"expected a head of at most {MOST_HEAD} bytes within {HEAD_WAIT:g} s"
            ) from None
        call = parse_head(head[:-4], self._token)
        if call.body is None and self.followers >= MOST_FOLLOWERS:
            raise RefusedError(503, f"expected at most {MOST_FOLLOWERS} followers")
        return call

    async def _wish(self, reader: asyncio.StreamReader, size: int) -> dict[str, Any]:
        try:
            async with asyncio.timeout(HEAD_WAIT):
                body = await reader.readexactly(size)
            done = carry_out(self._plan_writer, json.loads(body), self._clock())
        except TimeoutError:
            raise RefusedError(400, f"expected the whole body within {HEAD_WAIT:g} s") from None
        except RecursionError:
            raise RefusedError(400, "expected JSON of little depth") from None
        except OSError as error:
            raise RefusedError(503, f"the store: {error}") from None
        except ValueError as error:
            raise RefusedError(409, str(error)) from None
        self.changed()
        return done

    @staticmethod
    def _answer(writer: asyncio.StreamWriter, status: int, told: dict[str, Any]) -> None:
        body = json.dumps(told).encode() + b"\n"
        allow = "Allow: GET, POST\r\n" if status == 405 else ""
        writer.write(
            f"HTTP/1.1 {status} {REASONS[status]}\r\n{allow}Content-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n".encode()
            + body
        )
        writer.close()

    async def _tell(self, writer: asyncio.StreamWriter, epoch: int, since: int) -> None:
        plan_writer = self._plan_writer
        known = since if epoch == plan_writer.epoch else 0
        if not known or known > plan_writer.book.last_stamp.seq:
            known = await self._whole(writer)
        while True:
            news = self._news
            for change in self._behind(known):
                await self._write(
                    writer, {"kind": "change", "epoch": plan_writer.epoch, "change": books.as_json(change)}
                )
            known = plan_writer.book.last_stamp.seq
            await self._write(
                writer, {**self._head("beat"), "last": [plan_writer.book.last_stamp.epoch, known]}
            )
            with suppress(TimeoutError):
                await asyncio.wait_for(news.wait(), self._beat)

    def _behind(self, known: int) -> list[Change]:
        if known == self._plan_writer.book.last_stamp.seq:
            return []
        return self._plan_writer.changes[known:]

    def _head(self, kind: str) -> dict[str, Any]:
        return {"kind": kind, "epoch": self._plan_writer.epoch, "sent": self._clock(), "lease": LEASE_MS}

    async def _whole(self, writer: asyncio.StreamWriter) -> int:
        count = len(self._plan_writer.changes)  # what comes meanwhile is told after it
        told = {"installation": self._plan_writer.book.installation, "changes": count}
        await self._write(writer, {**self._head("whole"), **told})
        for number in range(count):
            await self._write(writer, books.as_json(self._plan_writer.changes[number]))
        return count

    @staticmethod
    async def _write(writer: asyncio.StreamWriter, line: dict[str, Any]) -> None:
        writer.write(json.dumps(line, separators=(",", ":")).encode() + b"\n")
        async with asyncio.timeout(STALLED):
            await writer.drain()
