"""The count keeper: lines of text, counts by name on a few parts, each part one call after another."""

from __future__ import annotations

import asyncio
import re
from collections import deque
from random import Random
from zlib import crc32

from cypresspulley.rehearsal import records as log
from cypresspulley.rehearsal.standins.network import Link, LinkedProtocol, Listening, listen
from cypresspulley.rehearsal.standins.run_context import RunContext

MAX_LINE = 256
CONNECTIONS = 32  # of one limiter; further ones are reset
IDLE, SWEEP = 10.0, 1.0  # seconds that a silent connection is kept; between two looks
MOST_MS, MOST = 60_000, 1e9
CALL = re.compile(rb"tally ([!-~]{1,64}) ([+-]?[0-9]{1,12}(?:\.[0-9]{1,9})?) ([0-9]{1,9})")


class _Part:
    """Counts of some names, and the line of calls for them."""

    def __init__(self) -> None:
        self.free_at = 0.0
        self.counts = dict[str, tuple[float, float]]()  # name to total and when it is forgotten

    def add(self, now: float, name: str, amount: float, life: float) -> float:
        total, until = self.counts.get(name, (0.0, 0.0))
        if until <= now:
            total, until = 0.0, now + life
        self.counts[name] = total + amount, until
        return total + amount


class _Reply:
    __slots__ = ("text",)

    def __init__(self, text: bytes | None = None) -> None:
        self.text = text


class _Connection(LinkedProtocol):
    def __init__(self, keeper: CounterServer, link: Link) -> None:
        super().__init__(link)
        self._keeper = keeper
        self._buffer = b""
        self._replies = deque[_Reply]()
        self.used = 0.0

    def opened(self) -> None:
        self.used = self._keeper.context.now()
        if len(self.link.connections) > CONNECTIONS:
            self.reset()

    def received(self, data: bytes) -> None:
        self.used = self._keeper.context.now()
        *lines, self._buffer = (self._buffer + data).split(b"\n")
        for line in lines:
            reply = _Reply()
            self._replies.append(reply)
            self._keeper.called(self, reply, line.rstrip(b"\r"))
        if len(self._buffer) > MAX_LINE:
            self.reset()

    def done(self, reply: _Reply, text: bytes) -> None:
        """Answers come in the order of the calls."""
        reply.text = text
        while self._replies and (first := self._replies[0].text) is not None:
            self._replies.popleft()
            self.send(first + b"\r\n")


class CounterServer:
    """The one thing that limiters share. ``call_seconds`` is what a call costs its part."""

    def __init__(
        self,
        context: RunContext,
        parts: int,
        per_second: float,
        waiting: float,
        call: float,
        rng: Random | None = None,
    ) -> None:
        self.context = context
        self._parts = [_Part() for _ in range(parts)]
        self._cost, self._waiting, self._call = parts / per_second, waiting, call
        self._listeners = list[Listening]()
        self._links = dict[Link, None]()
        self._sweeper: asyncio.TimerHandle | None = None
        self.slow_by, self.stopped, self.is_serving = 0.0, False, False
        self.spoilt_share, self._rng = 0.0, rng or Random(0)

    def __repr__(self) -> str:
        held = sum(len(part.counts) for part in self._parts)
        return f"<CounterServer {len(self._parts)} parts, {held} counts{' stopped' * self.stopped}>"

    def listen(self, link: Link, host: str) -> Listening:
        listener = listen(host, link, lambda of: _Connection(self, of))
        self._listeners.append(listener)
        self._links[link] = None
        if self._sweeper is None:
            self._sweep()
        return listener

    def clear(self) -> None:
        """Replaced by one that knows nothing: connections are reset, counts gone."""
        for part in self._parts:
            part.counts.clear()
        self.break_connections()

    def break_connections(self) -> None:
        """All connections are reset, with what calls are out on them; counts stay."""
        for link in self._links:
            for end in list(link.connections):
                end.reset()

    def close(self) -> None:
        if self._sweeper is not None:
            self._sweeper.cancel()
        for listener in self._listeners:
            listener.close()

    def _sweep(self) -> None:
        self._sweeper = asyncio.get_running_loop().call_later(SWEEP, self._sweep)
        for link in self._links:
            for end in list(link.connections):
                if isinstance(end, _Connection) and self.context.now() - end.used > IDLE:
                    end.close()

    def called(self, connection: _Connection, reply: _Reply, line: bytes) -> None:
        if line == b"ping":
            return None if self.stopped else connection.done(reply, b"pong")
        form = CALL.fullmatch(line)
        if form is None or abs(float(form[2])) > MOST or int(form[3]) < 1:
            return connection.done(reply, b"error")
        if self.stopped:
            return None  # it never answers, and adds nothing
        if not self.is_serving:
            return connection.done(reply, b"busy")
        now, part = self.context.now(), self._parts[crc32(form[1]) % len(self._parts)]
        start = max(now, part.free_at)
        name, amount, limiter = form[1].decode(), float(form[2]), connection.link.limiter
        if start - now > self._waiting:
            self.context.record(log.Tallied(now, limiter, name, amount, 0.0, False))
            return connection.done(reply, b"busy")
        part.free_at = start + self._cost
        wait = start - now + self._call + self.slow_by
        life = min(int(form[3]), MOST_MS) / 1000

        def add() -> None:
            total = part.add(self.context.now(), name, amount, life)
            self.context.record(log.Tallied(self.context.now(), limiter, name, amount, total, True))
            spoilt = self.spoilt_share > 0 and self._rng.random() < self.spoilt_share
            connection.done(reply, b"ok then" if spoilt else b"ok %.9g" % total)

        asyncio.get_running_loop().call_later(wait, add)
        return None
