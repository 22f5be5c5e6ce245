"""The limiter's connection to the plan book's writer: reconnects when it ends, passes messages to the follower."""

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

MAX_LINE_BYTES = 65_536  # bytes
MAX_BOOK_CHANGES = 2_000_000  # changes in a whole book
SILENCE_TIMEOUT_SECONDS = 4.0  # seconds without a line after which the writer is considered gone
RECONNECT_DELAYS_SECONDS = (0.1, 0.5, 2.0, 5.0)  # seconds before the next attempt, by consecutive failures
LEASE_CHECK_INTERVAL_SECONDS = 0.1  # seconds


class ConnectionEndedError(Exception):
    """The connection can no longer be used. The text gives the reason."""


@dataclass(frozen=True, slots=True)
class WriterAddress:
    """The address of a writer and the token that it expects."""

    host: str
    port: int
    token: str


class WriterChannel:
    """Follows one writer. Calls ``on_change`` whenever the terms in force may have changed."""

    def __init__(
        self, address: WriterAddress, follower: Follower, on_change: Callable[[], None],
        clock: Callable[[], int] = lambda: time.time_ns() // 1_000_000, seed: int = 0,
    ) -> None:  # fmt: skip
        self._address, self.follower, self._on_change, self._clock = address, follower, on_change, clock
        self._rng = Random(seed)
        self._tasks = set[asyncio.Task[None]]()
        self._failed_attempts = 0
        self._wants_whole_book = False
        self.last_error = ""  # why the last connection ended

    def start(self) -> None:
        loop = asyncio.get_running_loop()
        self._tasks = {loop.create_task(self._run_connections()), loop.create_task(self._watch_lease())}

    def close(self) -> None:
        for task in self._tasks:
            task.cancel()

    async def _watch_lease(self) -> None:
        while True:
            await asyncio.sleep(LEASE_CHECK_INTERVAL_SECONDS)
            if self.follower.check_lease(self._clock()):
                log.warning("plans: the lease is over: the lowest ceiling holds from now on")
                self._on_change()

    async def _run_connections(self) -> None:
        while True:
            try:
                await self._follow_writer()
            except (OSError, EOFError, ConnectionEndedError, asyncio.LimitOverrunError, ValueError) as error:
                if str(error) != self.last_error:  # the same error in a row is logged once
                    log.warning("plans: the connection to the writer ended: %s", error or repr(error))
                self.last_error = str(error)
            delay = RECONNECT_DELAYS_SECONDS[min(self._failed_attempts, len(RECONNECT_DELAYS_SECONDS) - 1)]
            self._failed_attempts += 1
            await asyncio.sleep(delay * (0.5 + self._rng.random()))

    async def _follow_writer(self) -> None:
        async with asyncio.timeout(SILENCE_TIMEOUT_SECONDS):
            reader, writer = await asyncio.open_connection(
                self._address.host, self._address.port, limit=MAX_LINE_BYTES
            )
        try:
            since = 0 if self._wants_whole_book else self.follower.book.last_stamp.seq
            writer.write(
                f"GET /v1/plans?epoch={self.follower.epoch}&since={since} HTTP/1.1\r\nHost: plans\r\n"
                f"Authorization: Bearer {self._address.token}\r\n\r\n".encode()
            )
            async with asyncio.timeout(SILENCE_TIMEOUT_SECONDS):
                head = await reader.readuntil(b"\r\n\r\n")
            if b" 200 " not in head.split(b"\r\n", 1)[0]:
                raise ConnectionEndedError(
                    f"answered {head.split(chr(13).encode(), 1)[0].decode('latin-1')!r:.60}"
                )
            while True:
                self._apply_actions(await self._handle_message(reader))
                self._failed_attempts = 0
        finally:
            writer.transport.abort()

    async def _handle_message(self, reader: asyncio.StreamReader) -> tuple[FollowerAction, ...]:
        """Read the next message, pass it to the follower and return the resulting actions."""
        line = await self._read_line(reader)
        kind, epoch = line.get("kind"), line.get("epoch")
        if isinstance(epoch, bool) or not isinstance(epoch, int):
            raise ConnectionEndedError(f"epoch: expected a whole number, got {epoch!r:.60}")
        if kind == "change":
            return self.follower.receive_change(epoch, books.parse_change(line.get("change"), "change"))
        sent, lease = line.get("sent"), line.get("lease")
        if not isinstance(sent, int) or not isinstance(lease, int):
            raise ConnectionEndedError("sent, lease: expected whole milliseconds")
        if kind == "beat":
            last = line.get("last")
            if not isinstance(last, list) or len(last) != 2 or not all(isinstance(n, int) for n in last):
                raise ConnectionEndedError(f"last: expected [epoch, number], got {last!r:.60}")
            return self.follower.receive_heartbeat(epoch, Stamp(*last), sent, lease)
        if kind == "whole":
            return self.follower.receive_book(epoch, await self._read_book(reader, line), sent, lease)
        raise ConnectionEndedError(f"kind: expected whole, change or beat, got {kind!r:.60}")

    async def _read_book(self, reader: asyncio.StreamReader, line: dict[str, Any]) -> Book:
        count, installation = line.get("changes"), line.get("installation")
        if isinstance(count, bool) or not isinstance(count, int) or not 0 <= count <= MAX_BOOK_CHANGES:
            raise ConnectionEndedError(
                f"changes: expected a number up to {MAX_BOOK_CHANGES}, got {count!r:.60}"
            )
        book = Book(str(installation))
        for number in range(count):
            book = book.with_change(books.parse_change(await self._read_line(reader), f"change {number}"))
        return book

    async def _read_line(self, reader: asyncio.StreamReader) -> dict[str, Any]:
        async with asyncio.timeout(SILENCE_TIMEOUT_SECONDS):
            text = await reader.readuntil(b"\n")
        try:
            line = json.loads(text)
        except (ValueError, RecursionError):
            raise ConnectionEndedError(f"expected a line of JSON, got {text!r:.60}") from None
        if not isinstance(line, dict):
            raise ConnectionEndedError(f"expected a JSON object, got {text!r:.60}")
        return line

    def _apply_actions(self, actions: tuple[FollowerAction, ...]) -> None:
        """Carry out the follower's actions. Raise ``ConnectionEndedError`` where it needs a new connection."""
        if FollowerAction.DROP in actions:
            raise ConnectionEndedError(
                f"a writer of an epoch before {self.follower.epoch}, or of another installation"
            )
        if {FollowerAction.REPLACE, FollowerAction.APPLY, FollowerAction.RECOVER} & set(actions):
            self._wants_whole_book = False
            self._on_change()
        if FollowerAction.ASK_ALL in actions:
            self._wants_whole_book = True
            raise ConnectionEndedError("the writer has changed: requesting its whole book")
        if FollowerAction.ASK_FROM in actions:
            raise ConnectionEndedError("changes are missing: requesting those after the last one received")
