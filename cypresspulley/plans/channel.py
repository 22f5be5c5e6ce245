"""The limiter's way to a book's writer: a connection that is kept up, its lines to the follower, its wishes back."""

from __future__ import annotations

import asyncio
import json
import logging
import time
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any

from cypresspulley.plans import book as books
from cypresspulley.plans.book import Book, Stamp
from cypresspulley.plans.follow import Follower, FollowerAction

log = logging.getLogger(__name__)

MOST_LINE = 65_536  # bytes
MOST_CHANGES = 2_000_000  # of a whole book
SILENT = 4.0  # seconds without a line, after which the writer is taken for gone
WAITS = (0.1, 0.5, 2.0, 5.0)  # seconds between two dials, by how many failed in a row
TICK = 0.1  # seconds between two looks at the lease


class EndedError(Exception):
    """The connection cannot be used any more; the text says why."""


@dataclass(frozen=True, slots=True)
class Where:
    """A writer's address and the token it wants."""

    host: str
    port: int
    token: str


class Channel:
    """Follows one writer. ``changed`` is called whenever what binds may have changed."""

    def __init__(
        self, where: Where, follower: Follower, changed: Callable[[], None],
        clock: Callable[[], int] = lambda: time.time_ns() // 1_000_000, seed: int = 0,
    ) -> None:  # fmt: skip
        self._where, self.follower, self._changed, self._clock = where, follower, changed, clock
        self._rng = Random(seed)
        self._tasks = set[asyncio.Task[None]]()
        self._failed = 0
        self._ask_all = False
        self.why = ""  # the last connection ended

    def start(self) -> None:
        loop = asyncio.get_running_loop()
        self._tasks = {loop.create_task(self._keep()), loop.create_task(self._watch())}

    def close(self) -> None:
        for task in self._tasks:
            task.cancel()

    async def _watch(self) -> None:
        while True:
            await asyncio.sleep(TICK)
            if self.follower.check_lease(self._clock()):
                log.warning("plans: the lease is over: the lowest ceiling holds from now on")
                self._changed()

    async def _keep(self) -> None:
        while True:
            try:
                await self._follow()
            except (OSError, EOFError, EndedError, asyncio.LimitOverrunError, ValueError) as error:
                if str(error) != self.why:  # once for a row of the same
                    log.warning("plans: the connection to the writer ended: %s", error or repr(error))
                self.why = str(error)
            wait = WAITS[min(self._failed, len(WAITS) - 1)]
            self._failed += 1
            await asyncio.sleep(wait * (0.5 + self._rng.random()))

    async def _follow(self) -> None:
        async with asyncio.timeout(SILENT):
            reader, writer = await asyncio.open_connection(
                self._where.host, self._where.port, limit=MOST_LINE
            )
        try:
            since = 0 if self._ask_all else self.follower.book.last_stamp.seq
            writer.write(
                f"GET /v1/plans?epoch={self.follower.epoch}&since={since} HTTP/1.1\r\nHost: plans\r\n"
                f"Authorization: Bearer {self._where.token}\r\n\r\n".encode()
            )
            async with asyncio.timeout(SILENT):
                head = await reader.readuntil(b"\r\n\r\n")
            if b" 200 " not in head.split(b"\r\n", 1)[0]:
                raise EndedError(f"answered {head.split(chr(13).encode(), 1)[0].decode('latin-1')!r:.60}")
            while True:
                self._carry_out(await self._line(reader))
                self._failed = 0
        finally:
            writer.transport.abort()

    async def _line(self, reader: asyncio.StreamReader) -> tuple[FollowerAction, ...]:
        """What the next message leads to."""
        line = await self._json(reader)
        kind, epoch = line.get("kind"), line.get("epoch")
        if isinstance(epoch, bool) or not isinstance(epoch, int):
            raise EndedError(f"epoch: expected a whole number, got {epoch!r:.60}")
        if kind == "change":
            return self.follower.receive_change(epoch, books.parse_change(line.get("change"), "change"))
        sent, lease = line.get("sent"), line.get("lease")
        if not isinstance(sent, int) or not isinstance(lease, int):
            raise EndedError("sent, lease: expected whole milliseconds")
        if kind == "beat":
            last = line.get("last")
            if not isinstance(last, list) or len(last) != 2 or not all(isinstance(n, int) for n in last):
                raise EndedError(f"last: expected [epoch, number], got {last!r:.60}")
            return self.follower.receive_heartbeat(epoch, Stamp(*last), sent, lease)
        if kind == "whole":
            return self.follower.receive_book(epoch, await self._book(reader, line), sent, lease)
        raise EndedError(f"kind: expected whole, change or beat, got {kind!r:.60}")

    async def _book(self, reader: asyncio.StreamReader, line: dict[str, Any]) -> Book:
        count, installation = line.get("changes"), line.get("installation")
        if isinstance(count, bool) or not isinstance(count, int) or not 0 <= count <= MOST_CHANGES:
            raise EndedError(f"changes: expected a number up to {MOST_CHANGES}, got {count!r:.60}")
        book = Book(str(installation))
        for number in range(count):
            book = book.with_change(books.parse_change(await self._json(reader), f"change {number}"))
        return book

    async def _json(self, reader: asyncio.StreamReader) -> dict[str, Any]:
        async with asyncio.timeout(SILENT):
            text = await reader.readuntil(b"\n")
        try:
            line = json.loads(text)
        except (ValueError, RecursionError):
            raise EndedError(f"a line that is no JSON: {text!r:.60}") from None
        if not isinstance(line, dict):
            raise EndedError(f"a line that is no object: {text!r:.60}")
        return line

    def _carry_out(self, actions: tuple[FollowerAction, ...]) -> None:
        """What the follower wants; the connection ends where it needs another answer."""
        if FollowerAction.DROP in actions:
            raise EndedError(f"a writer of an epoch before {self.follower.epoch}, or of another installation")
        if {FollowerAction.REPLACE, FollowerAction.APPLY, FollowerAction.RECOVER} & set(actions):
            self._ask_all = False
            self._changed()
        if FollowerAction.ASK_ALL in actions:
            self._ask_all = True
            raise EndedError("another writer: its whole book is asked for")
        if FollowerAction.ASK_FROM in actions:
            raise EndedError("changes are missing: asked for behind the last one here")
