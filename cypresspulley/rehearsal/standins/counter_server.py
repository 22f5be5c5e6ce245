"""A simulated server of shared counters with a line protocol; each of its partitions handles one call at a time."""

from __future__ import annotations

import asyncio
import re
from collections import deque
from random import Random
from zlib import crc32

from cypresspulley.rehearsal import records as log
from cypresspulley.rehearsal.standins.network import Link, LinkedProtocol, Listening, listen
from cypresspulley.rehearsal.standins.run_context import RunContext

MAX_LINE_BYTES = 256
MAX_CONNECTIONS = 32  # of one limiter; further ones are reset
IDLE_TIMEOUT = 10.0  # seconds until an idle connection is closed
IDLE_SWEEP_INTERVAL = 1.0  # seconds between two checks for idle connections
MAX_TTL_MS = 60_000  # longer ones are shortened to it
MAX_AMOUNT = 1e9  # calls beyond it get an error
CALL_PATTERN = re.compile(rb"tally ([!-~]{1,64}) ([+-]?[0-9]{1,12}(?:\.[0-9]{1,9})?) ([0-9]{1,9})")


class _Partition:
    """The counts of some names, and the time until which calls for them occupy the partition."""

    def __init__(self) -> None:
        self.free_at = 0.0
        self.counts = dict[str, tuple[float, float]]()  # by name, each with the time at which it expires

    def add(self, now: float, name: str, amount: float, ttl: float) -> float:
        total, expires_at = self.counts.get(name, (0.0, 0.0))
        if expires_at <= now:
            total, expires_at = 0.0, now + ttl
        self.counts[name] = total + amount, expires_at
        return total + amount


class _Reply:
    __slots__ = ("text",)

    def __init__(self, text: bytes | None = None) -> None:
        self.text = text


class _Connection(LinkedProtocol):
    def __init__(self, server: CounterServer, link: Link) -> None:
        super().__init__(link)
        self._server = server
        self._buffer = b""
        self._replies = deque[_Reply]()
        self.last_used = 0.0

    def opened(self) -> None:
        self.last_used = self._server.context.now()
        if len(self.link.connections) > MAX_CONNECTIONS:
            self.reset()

    def received(self, data: bytes) -> None:
        self.last_used = self._server.context.now()
        *lines, self._buffer = (self._buffer + data).split(b"\n")
        for line in lines:
            reply = _Reply()
            self._replies.append(reply)
            self._server.handle_call(self, reply, line.rstrip(b"\r"))
        if len(self._buffer) > MAX_LINE_BYTES:
            self.reset()

    def send_reply(self, reply: _Reply, text: bytes) -> None:
        """Set the reply to a call; replies are sent in the order of the calls."""
        reply.text = text
        while self._replies and (first := self._replies[0].text) is not None:
            self._replies.popleft()
            self.send(first + b"\r\n")


class CounterServer:
    """The counter server that all limiters share.

    A call waits at most ``max_queueing`` seconds for its partition, else it is answered with "busy". Its reply is sent
    ``call_seconds`` after the partition starts on it.
    """

    def __init__(
        self,
        context: RunContext,
        partitions: int,
        calls_per_second: float,
        max_queueing: float,
        call_seconds: float,
        rng: Random | None = None,
    ) -> None:
        self.context = context
        self._partitions = [_Partition() for _ in range(partitions)]
        self._call_cost, self._max_queueing, self._call_seconds = (
            partitions / calls_per_second,
            max_queueing,
            call_seconds,
        )
        self._listeners = list[Listening]()
        self._links = dict[Link, None]()
        self._sweep_timer: asyncio.TimerHandle | None = None
        self.slow_by, self.stopped, self.is_serving = 0.0, False, False
        self.spoilt_share, self._rng = 0.0, rng or Random(0)

    def __repr__(self) -> str:
        held = sum(len(partition.counts) for partition in self._partitions)
        return f"<CounterServer {len(self._partitions)} partitions, {held} counts{' stopped' * self.stopped}>"

    def listen(self, link: Link, host: str) -> Listening:
        listener = listen(host, link, lambda of: _Connection(self, of))
        self._listeners.append(listener)
        self._links[link] = None
        if self._sweep_timer is None:
            self._sweep()
        return listener

    def clear(self) -> None:
        """Drop all counts and reset all connections, as if the server was replaced by an empty one."""
        for partition in self._partitions:
            partition.counts.clear()
        self.break_connections()

    def break_connections(self) -> None:
        """Reset all connections, which fails the calls open on them; the counts stay."""
        for link in self._links:
            for connection in list(link.connections):
                connection.reset()

    def close(self) -> None:
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
        for listener in self._listeners:
            listener.close()

    def _sweep(self) -> None:
        self._sweep_timer = asyncio.get_running_loop().call_later(IDLE_SWEEP_INTERVAL, self._sweep)
        for link in self._links:
            for connection in list(link.connections):
                if (
                    isinstance(connection, _Connection)
                    and self.context.now() - connection.last_used > IDLE_TIMEOUT
                ):
                    connection.close()

    def handle_call(self, connection: _Connection, reply: _Reply, line: bytes) -> None:
        if line == b"ping":
            return None if self.stopped else connection.send_reply(reply, b"pong")
        parsed = CALL_PATTERN.fullmatch(line)
        if parsed is None or abs(float(parsed[2])) > MAX_AMOUNT or int(parsed[3]) < 1:
            return connection.send_reply(reply, b"error")
        if self.stopped:
            return None  # a stopped server neither answers nor counts
        if not self.is_serving:
            return connection.send_reply(reply, b"busy")
        now, partition = self.context.now(), self._partitions[crc32(parsed[1]) % len(self._partitions)]
        starts_at = max(now, partition.free_at)
        name, amount, limiter = parsed[1].decode(), float(parsed[2]), connection.link.limiter
        if starts_at - now > self._max_queueing:
            self.context.record(log.Tallied(now, limiter, name, amount, 0.0, False))
            return connection.send_reply(reply, b"busy")
        partition.free_at = starts_at + self._call_cost
        delay = starts_at - now + self._call_seconds + self.slow_by
        ttl = min(int(parsed[3]), MAX_TTL_MS) / 1000

        def add() -> None:
            total = partition.add(self.context.now(), name, amount, ttl)
            self.context.record(log.Tallied(self.context.now(), limiter, name, amount, total, True))
            spoilt = self.spoilt_share > 0 and self._rng.random() < self.spoilt_share
            connection.send_reply(reply, b"ok then" if spoilt else b"ok %.9g" % total)

        asyncio.get_running_loop().call_later(delay, add)
        return None
