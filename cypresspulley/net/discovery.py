"""The list of servers: reads discovery's form and follows its watch."""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import httptools

from cypresspulley import interface as api
from cypresspulley.net.http import split_address

log = logging.getLogger(__name__)

SILENCE = 5.0  # an empty line comes every 2 s: past this the watch is dead, whatever the socket says
FIRST = (
    2.5  # the same for one that has said nothing yet: its first line comes at once, or when its turn has come
)
# Seconds until a watch is begun anew: the first time, and at most after a row of failures, each give or take a half.
# A fixed time had a restarted fleet ask a busy discovery for whole lists together, 100 times a second, and get none:
# so one that says it is busy is left alone for long. One that is silent or breaks is not: what it has to tell counts
# as told 6 s later, and a limiter that waited 16 s for it sent to drained servers past the grace.
RETRY, RETRY_BUSY, RETRY_BROKEN = 0.25, 16.0, 1.0
BUSY = frozenset(
    (429, 500, 502, 503, 504)
)  # of discovery itself; any other refusal may be of the version asked for
MAX_LINE = 4 * 1024 * 1024
HEALTH = {"ready": api.Health.UP, "draining": api.Health.DRAINING, "gone": api.Health.GONE}


@dataclass(frozen=True, slots=True)
class Listing:
    """One message of discovery: the list, or a part of it, and where to dial."""

    version: int
    servers: api.ServerList
    dials: dict[str, str]


def listing_from(raw: Any) -> Listing:
    """A message of discovery; ``ValueError`` where it cannot be read."""
    try:
        entries, dials = [], {}
        for row in raw["hosts"]:
            health = HEALTH[row["health"]]
            dial = str(row.get("dial") or "")
            if dial or health is not api.Health.GONE:
                split_address(dial)
            name, born = str(row["host"]), float(row.get("born_ms") or 0) / 1000
            size, cell = float(row.get("share") or 1.0), int(row.get("block") or 0)
            entries.append(api.ServerEntry(name, health, str(row.get("site") or ""), cell, size, born))
            dials[name] = dial
        return Listing(int(raw["seq"]), api.ServerList(tuple(entries), bool(raw.get("whole"))), dials)
    except (KeyError, TypeError, AttributeError, ValueError) as error:
        raise ValueError(f"not a list of servers: {error!r:.80}") from None


class Discovery:
    """Follows the watch for ever; a broken or silent one is begun anew and the list kept."""

    def __init__(
        self, host: str, port: int, since: int | None, tell: Callable[[Listing], None],
        draw: Callable[[], float] = lambda: 0.5,
    ) -> None:  # fmt: skip
        self._host, self._port, self._since, self._tell = host, port, since, tell
        self._draw, self._wait = draw, RETRY
        self._buffer, self._failing, self._busy = b"", False, False

    async def follow(self) -> None:
        while True:
            try:
                await self._watch()
            except (OSError, TimeoutError, httptools.HttpParserError) as error:
                if not self._failing:  # once for a row of failures
                    silent = isinstance(error, TimeoutError)
                    log.warning(
                        "the watch on discovery ended: %s",
                        "silence" if silent else repr(error.__context__ or error),
                    )
                self._failing = True
            except Exception:
                log.exception("the watch on discovery failed")
            await asyncio.sleep(self.pause())

    def pause(self) -> float:
        """Seconds until the next try: longer after each failure, and not those of other limiters."""
        most = RETRY_BUSY if self._busy else RETRY_BROKEN
        wait, self._wait = min(most, self._wait), min(most, 4 * self._wait)
        return wait * (0.5 + self._draw())

    async def _watch(self) -> None:
        self._busy, silence = False, FIRST
        async with asyncio.timeout(FIRST):
            reader, writer = await asyncio.open_connection(self._host, self._port)
        try:
            since = "" if self._since is None else f"&since={self._since}"
            request = f"GET /v1/servers?follow=1{since} HTTP/1.1\r\nHost: {self._host}:{self._port}\r\n\r\n"
            writer.write(request.encode())
            self._buffer = b""
            self._parser = httptools.HttpResponseParser(self)
            while True:
                async with asyncio.timeout(silence):
                    data = await reader.read(65536)
                if not data:
                    raise ConnectionError("closed by discovery")
                self._parser.feed_data(data)
                silence = SILENCE
        finally:
            writer.transport.abort()

    # The parser's callbacks.

    def on_headers_complete(self) -> None:
        if (code := self._parser.get_status_code()) != 200:
            self._busy = code in BUSY
            if not self._busy:
                self._since = None  # it may be the version that is not taken
            raise ConnectionError(f"status {code}")

    def on_body(self, body: bytes) -> None:
        # Chunks end where they like; only line ends part the messages.
        *lines, self._buffer = (self._buffer + body).split(b"\n")
        for line in lines:
            self._line(line.strip())
        if len(self._buffer) > MAX_LINE:
            raise ConnectionError("a line without an end")

    def on_message_complete(self) -> None:
        raise ConnectionError("the watch was ended")

    def _line(self, line: bytes) -> None:
        if not line:
            return
        try:
            listing = listing_from(json.loads(line))
        except ValueError as error:
            log.warning("dropped an unreadable line of discovery: %s", error)
            return
        self._since, self._failing, self._wait = listing.version, False, RETRY
        self._tell(listing)


class Follower:
    """Follows discovery at the newest address; the one before is followed until the newest has spoken."""

    def __init__(self, tell: Callable[[Listing], None], draw: Callable[[], float] = lambda: 0.5) -> None:
        """``draw`` gives numbers from 0 to 1 of the limiter's own, so that many do not ask together."""
        self._tell, self._draw = tell, draw
        self._heard: asyncio.Task[None] | None = None  # the watch that has spoken last
        self._coming: asyncio.Task[None] | None = None
        self._address: tuple[str, int] | None = None

    def follow(self, host: str, port: int, since: int | None = None) -> None:
        if (host, port) == self._address:
            return
        self._address = (host, port)
        if self._coming is not None:
            self._coming.cancel()  # told to move again before it said anything
        # Without a version another discovery tells the whole list: its numbers need not be the old one's.
        watch = Discovery(host, port, since, lambda listing: self._said(task, listing), self._draw)
        task = self._coming = asyncio.get_running_loop().create_task(watch.follow())

    def close(self) -> None:
        for task in (self._heard, self._coming):
            if task is not None:
                task.cancel()

    def _said(self, task: asyncio.Task[None], listing: Listing) -> None:
        if task is self._coming:
            old, self._heard, self._coming = self._heard, task, None
            if old is not None:
                old.cancel()
        if task is self._heard:  # else it was cancelled and has not noticed yet
            self._tell(listing)
