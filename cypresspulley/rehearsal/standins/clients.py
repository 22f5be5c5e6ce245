"""Scripted clients: open-loop arrivals through a front, kept connections, retries of their own."""

from __future__ import annotations

import asyncio
import contextlib
import errno
from collections import defaultdict
from dataclasses import dataclass
from typing import Protocol, cast

import httptools

from cypresspulley.rehearsal import records as log
from cypresspulley.rehearsal.plan import Arrival, random_for, request_id
from cypresspulley.rehearsal.scenario import ClassRow, Clients
from cypresspulley.rehearsal.standins.run_context import KnownRequest, RunContext

DIAL = 0.5  # seconds that a client waits for a connection
OVERTIME = 0.1  # seconds past its time that a client stays, so that a late answer is seen
MAX_WAIT = 2.0  # seconds of Retry-After that a client honours at most
SHIFT = 12.0  # seconds after which an account's requests come through other limiters more than others
LENGTHS = (24, 240)  # bytes of a body
MAX_ANSWER = 256 * 1024


@dataclass(frozen=True, slots=True)
class Outcome:
    """How one sending ended: an HTTP status, or 0 for a connection that broke or was left."""

    status: int
    retry_after: float | None = None
    broke: bool = False
    begun: bool = False  # part of an answer had come


class _Connection(asyncio.Protocol):
    """One kept connection to a limiter; one request at a time."""

    def __init__(self, context: RunContext, limiter: str) -> None:
        self._context, self._limiter = context, limiter
        self.transport: asyncio.Transport | None = None
        self.uses, self.reusable = 0, True
        self._id, self._last = "", ""
        self._waiter: asyncio.Future[Outcome] | None = None
        self._reset_answer()

    def _reset_answer(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._body, self._size, self._begun = list[bytes](), 0, False
        self._retry_after: float | None = None
        self._age: float | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport, self.reusable = None, False
        if self._waiter is not None and not self._waiter.done():
            self._context.record(log.Broke(self._context.now(), self._id, self._begun))
            self._finish(Outcome(0, broke=True, begun=self._begun))

    def data_received(self, data: bytes) -> None:
        if self._waiter is None:
            self._context.record(log.Surplus(self._context.now(), self._limiter, self._last, len(data)))
            return self.close()
        self._begun = True
        self._size += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.close()
        if self._size > MAX_ANSWER:
            self.close()

    def ask(self, id: str, request: bytes) -> asyncio.Future[Outcome]:
        assert self.transport is not None
        self.uses += 1
        self._id = id
        self._reset_answer()
        self._waiter = asyncio.get_running_loop().create_future()
        self.transport.write(request)
        return self._waiter

    def close(self) -> None:
        self.reusable = False
        if self.transport is not None:
            self.transport.abort()

    def leave(self) -> None:
        """The client goes away with its request open."""
        self._waiter = None
        self.close()

    def on_header(self, name: bytes, value: bytes) -> None:
        key = name.lower()
        if key == b"retry-after":
            with contextlib.suppress(ValueError):
                self._retry_after = float(value)
        elif key == b"age":
            with contextlib.suppress(ValueError):
                self._age = float(value)
        elif key == b"connection" and value.lower() == b"close":
            self.reusable = False

    def on_body(self, body: bytes) -> None:
        self._body.append(body)

    def on_message_complete(self) -> None:
        status = self._parser.get_status_code()
        if status < 200:
            return self._reset_answer()
        if self._waiter is None:  # a second answer in the same bytes
            self._context.record(log.Surplus(self._context.now(), self._limiter, self._last, self._size))
            return None
        text = b"".join(self._body).decode("latin-1")[:400]
        if self._age is not None:
            self._context.record(log.FromKept(self._context.now(), self._id, self._age))
        self._context.record(log.Answered(self._context.now(), self._id, status, self._retry_after, text))
        return self._finish(Outcome(status, self._retry_after))

    def _finish(self, outcome: Outcome) -> None:
        waiter, self._waiter, self._last = self._waiter, None, self._id
        if waiter is not None and not waiter.done():
            waiter.set_result(outcome)


class FrontBalancer:
    """Which limiters clients are sent to: in from the first good answer on, out some time after a death."""

    def __init__(self, limiters: list[str]) -> None:
        self._limiters, self._up = limiters, set[str]()

    def mark_up(self, limiter: str) -> None:
        self._up.add(limiter)

    def mark_down(self, limiter: str) -> None:
        self._up.discard(limiter)

    @property
    def up_now(self) -> set[str]:
        return self._up

    def choose(self, seed: int, arrival: Arrival, now: float, attempt: int) -> str:
        """A member of the account's set, unevenly, the uneven shares changing every ``SHIFT`` seconds."""
        count = len(self._limiters)
        members = [self._limiters[(arrival.first + k) % count] for k in range(arrival.spread)]
        shares = random_for(seed, "shares", arrival.account, int(max(0.0, now) / SHIFT))
        weights = {name: 0.15 + shares.random() ** 2 for name in members}
        there = [name for name in members if name in self._up] or members
        rng = random_for(seed, "front", arrival.number, attempt)
        return rng.choices(there, [weights[name] for name in there])[0]


class Dialer(Protocol):
    def __call__(self, limiter: str) -> tuple[str, int]: ...


class ClientFleet:
    """All clients of the day; ``play`` sends each arrival at its time, whatever answers do."""

    def __init__(
        self, context: RunContext, front: FrontBalancer, address: Dialer, options: Clients,
        classes: dict[str, ClassRow], seed: int, seconds: float, points_per_unit: float = 0.0,
    ) -> None:  # fmt: skip
        self._context, self.front, self._address = context, front, address
        self._options, self._classes = options, classes
        self._seed, self._seconds = seed, seconds
        self._points_per_unit = points_per_unit  # of GraphQL requests; 0: plain ones
        self._idle = defaultdict[str, list[_Connection]](list)
        self._open = set[asyncio.Task[None]]()
        self.lateness = list[float]()  # seconds by which each arrival was sent late

    @property
    def open(self) -> int:
        return len(self._open)

    def prepare(self, arrivals: tuple[Arrival, ...]) -> None:
        """Make what GraphQL clients will ask and get before the day: executing it on the way made the kit late."""
        if not self._points_per_unit:
            return
        from cypresspulley.rehearsal.standins.graphql import (
            build_request,  # an extra that plain days do not need
        )

        for arrival in arrivals:
            build_request(self._seed, arrival, self._classes[arrival.cls].effect == "unsafe")

    async def play(self, arrivals: tuple[Arrival, ...]) -> None:
        loop = asyncio.get_running_loop()
        for arrival in arrivals:
            wait = arrival.t - self._context.now()
            if wait > 0:
                await asyncio.sleep(wait)
            self.lateness.append(max(0.0, self._context.now() - arrival.t))
            task = loop.create_task(self._request(arrival))
            self._open.add(task)
            task.add_done_callback(self._open.discard)

    async def finish(self, within: float) -> int:
        """Wait for the requests that are open; gives how many still were and were left."""
        if self._open:
            await asyncio.wait(self._open, timeout=within)
        left = list(self._open)
        for task in left:
            task.cancel()
        if left:
            await asyncio.wait(left)
        for connections in self._idle.values():
            for connection in connections:
                connection.close()
        return len(left)

    async def _request(self, arrival: Arrival) -> None:
        """All tries of one request."""
        cls, asked = self._classes[arrival.cls], self._context.now()
        first = request_id(self._seed, arrival.number if arrival.repeats < 0 else arrival.repeats, 0)
        for own in range(self._options.retries + 1):
            attempt = arrival.attempt + own
            rng = random_for(self._seed, "client", arrival.number, attempt)
            id = request_id(self._seed, arrival.number, own)
            limiter = self.front.choose(self._seed, arrival, self._context.now(), attempt)
            share, impatient = rng.uniform(*self._options.try_share), rng.random()
            leave = rng.uniform(0.1, 0.9) if impatient < self._options.impatient else None
            outcome = await self._try(arrival, cls, limiter, id, first, attempt, share, leave)
            pause, honours = self._pause(own, rng.random()), rng.random() < self._options.honour
            if outcome.status == 200 or leave is not None or not self._may_repeat(cls, outcome):
                return
            if outcome.retry_after is not None and honours:
                pause = max(pause, min(MAX_WAIT, outcome.retry_after))
            if self._context.now() + pause - asked > cls.deadline_ms / 1000:
                return
            await asyncio.sleep(pause)

    def _pause(self, attempt: int, draw: float) -> float:
        base = self._options.backoff_ms / 1000 * (0.5 + draw)
        return {"none": 0.0, "fixed": base, "exp": base * float(2**attempt)}[self._options.backoff]

    def _may_repeat(self, cls: ClassRow, outcome: Outcome) -> bool:
        """A refusal is harmless to repeat; a broken connection the client repeats at its own risk."""
        if outcome.status in (429, 503) or outcome.broke:
            return True
        return cls.effect == "safe" or (cls.effect == "keyed" and cls.group == "all")

    async def _try(
        self, arrival: Arrival, cls: ClassRow, limiter: str, id: str, first: str, attempt: int,
        share: float, leave: float | None,
    ) -> Outcome:  # fmt: skip
        ttl = max(1, int(cls.deadline_ms * share))
        head, known = self._request_bytes(arrival, cls, id, attempt, ttl)
        for again in (False, True):
            connection = None if again else self._take(limiter)
            connection = connection or await self._dial(limiter)
            if connection is None:
                self._context.record(log.Unreached(self._context.now(), id, first, limiter))
                return Outcome(0, broke=True)
            kept = connection.uses > 0
            self._context.sent(known)
            self._context.record(
                log.Sent(
                    self._context.now(), id, first, attempt, limiter, arrival.account, arrival.plan, cls.name,
                    known.units if self._points_per_unit else arrival.units, ttl / 1000, not kept,
                )
            )  # fmt: skip
            outcome = await self._wait(connection, id, head, ttl / 1000, leave)
            if connection.reusable and connection.transport is not None:
                self._idle[limiter].append(connection)
            # A kept connection may have been closed just then, with the request unread: it goes once more on a
            # new one. What the limiter had read and sent on before it closed is the judge's matter.
            if not (outcome.broke and kept and not outcome.begun):
                return outcome
        return outcome

    async def _wait(
        self, connection: _Connection, id: str, request: bytes, ttl: float, leave: float | None
    ) -> Outcome:
        waiter = connection.ask(id, request)
        limit = ttl * leave if leave is not None else ttl + OVERTIME
        try:
            done, _ = await asyncio.wait((waiter,), timeout=limit)
        except asyncio.CancelledError:
            connection.leave()
            raise
        if done:
            return waiter.result()
        self._context.record(log.Left(self._context.now(), id, "over" if leave is None else "impatient"))
        connection.leave()
        return Outcome(0)

    def _take(self, limiter: str) -> _Connection | None:
        idle = self._idle[limiter]
        while idle:
            connection = idle.pop()
            if (
                connection.reusable
                and connection.transport is not None
                and not connection.transport.is_closing()
            ):
                return connection
        return None

    async def _dial(self, limiter: str) -> _Connection | None:
        connection = _Connection(self._context, limiter)
        try:
            async with asyncio.timeout(DIAL):
                await asyncio.get_running_loop().create_connection(
                    lambda: connection, *self._address(limiter)
                )
        except (OSError, TimeoutError) as error:
            if isinstance(error, OSError) and error.errno in (errno.EMFILE, errno.ENFILE):
                self._context.no_descriptors()  # else it would pass for a limiter that refuses
            connection.close()
            return None
        return connection if connection.transport is not None else None

    def _request_bytes(
        self, arrival: Arrival, cls: ClassRow, id: str, attempt: int, ttl: int
    ) -> tuple[bytes, KnownRequest]:
        if self._points_per_unit:
            return self._graphql_bytes(arrival, cls, id, attempt, ttl)
        target = f"/{cls.name}?account={arrival.account}"
        method, body = ("GET", b"") if cls.effect == "safe" else ("POST", self._body(arrival))
        head = (
            f"{method} {target} HTTP/1.1\r\nHost: bags.internal\r\nX-Request-ID: {id}\r\n"
            f"X-Priority-Class: {cls.name}\r\nX-Plan: {arrival.plan}\r\nX-Timeout-Ms: {ttl}\r\n"
            f"X-Quota: units={arrival.units:g},spread={arrival.spread},first={arrival.first}\r\n"
        )
        head += "X-Retried: 1\r\n" if attempt else ""
        head += f"Idempotency-Key: {id}{id}\r\n" if cls.effect == "keyed" else ""
        head += f"Content-Length: {len(body)}\r\n" if method == "POST" else ""
        known = KnownRequest(id, method, target, body, cls.name, cls.effect, cls.window)
        return f"{head}\r\n".encode() + body, known

    def _graphql_bytes(
        self, arrival: Arrival, cls: ClassRow, id: str, attempt: int, ttl: int
    ) -> tuple[bytes, KnownRequest]:
        from cypresspulley.rehearsal.standins.graphql import (
            build_request,  # an extra that plain days do not need
        )

        asked = build_request(self._seed, arrival, cls.effect == "unsafe")
        target = f"/graphql?account={arrival.account}"
        head = (
            f"POST {target} HTTP/1.1\r\nHost: bags.internal\r\nX-Request-ID: {id}\r\nX-Plan: {arrival.plan}\r\n"
            f"X-Timeout-Ms: {ttl}\r\nX-Quota: units=1,spread={arrival.spread},first={arrival.first}\r\n"
            "Content-Type: application/json\r\nAccept: application/graphql-response+json\r\n"
            f"Content-Length: {len(asked.body)}\r\n"
        )
        head += "X-Retried: 1\r\n" if attempt else ""
        units = max(asked.points, 1.0) / self._points_per_unit
        known = KnownRequest(
            id,
            "POST",
            target,
            asked.body,
            cls.name,
            cls.effect,
            cls.window,
            units,
            asked.answer,
            asked.points,
        )
        return f"{head}\r\n".encode() + asked.body, known

    def _body(self, arrival: Arrival) -> bytes:
        rng = random_for(self._seed, "body", arrival.number)
        return rng.randbytes(rng.randint(*LENGTHS)).hex().encode()
