"""Scripted clients: open-loop arrivals through a load balancer, reused connections and client-side retries."""

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

CONNECT_TIMEOUT = 0.5  # seconds that a client waits for a connection
ANSWER_GRACE = 0.1  # seconds past its timeout that a client still waits, so that a late answer is recorded
MAX_RETRY_AFTER = 2.0  # longest Retry-After, in seconds, that a client honours
WEIGHT_PERIOD = 12.0  # seconds after which an account's requests are weighted anew among its limiters
BODY_LENGTH_RANGE = (24, 240)  # least and most bytes of a request body
MAX_RESPONSE_BYTES = 256 * 1024


@dataclass(frozen=True, slots=True)
class Outcome:
    """How one attempt ended: an HTTP status, or 0 if the connection broke or the client abandoned the request."""

    status: int
    retry_after: float | None = None
    is_broken: bool = False
    has_data: bool = False  # part of a response had been received


class _Connection(asyncio.Protocol):
    """One keep-alive connection to a limiter, which carries one request at a time."""

    def __init__(self, context: RunContext, limiter: str) -> None:
        self._context, self._limiter = context, limiter
        self.transport: asyncio.Transport | None = None
        self.uses, self.reusable = 0, True
        self._id, self._previous_id = "", ""
        self._waiter: asyncio.Future[Outcome] | None = None
        self._reset_answer()

    def _reset_answer(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._body, self._received_size, self._has_data = list[bytes](), 0, False
        self._retry_after: float | None = None
        self._age: float | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport, self.reusable = None, False
        if self._waiter is not None and not self._waiter.done():
            self._context.record(log.Broke(self._context.now(), self._id, self._has_data))
            self._finish(Outcome(0, is_broken=True, has_data=self._has_data))

    def data_received(self, data: bytes) -> None:
        if self._waiter is None:
            self._context.record(
                log.Surplus(self._context.now(), self._limiter, self._previous_id, len(data))
            )
            return self.close()
        self._has_data = True
        self._received_size += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.close()
        if self._received_size > MAX_RESPONSE_BYTES:
            self.close()

    def send_request(self, id: str, request: bytes) -> asyncio.Future[Outcome]:
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

    def abandon(self) -> None:
        """Close the connection with its request open, as a client does that no longer waits."""
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
        if self._waiter is None:  # a second response to one request
            self._context.record(
                log.Surplus(self._context.now(), self._limiter, self._previous_id, self._received_size)
            )
            return None
        text = b"".join(self._body).decode("latin-1")[:400]
        if self._age is not None:
            self._context.record(log.FromKept(self._context.now(), self._id, self._age))
        self._context.record(log.Answered(self._context.now(), self._id, status, self._retry_after, text))
        return self._finish(Outcome(status, self._retry_after))

    def _finish(self, outcome: Outcome) -> None:
        waiter, self._waiter, self._previous_id = self._waiter, None, self._id
        if waiter is not None and not waiter.done():
            waiter.set_result(outcome)


class FrontBalancer:
    """Chooses the limiter for each attempt. The director marks limiters up once they answer and down after they die."""

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
        """Choose a limiter of the account's set at random, by weights that change every ``WEIGHT_PERIOD`` seconds."""
        count = len(self._limiters)
        members = [self._limiters[(arrival.first + k) % count] for k in range(arrival.spread)]
        shares = random_for(seed, "shares", arrival.account, int(max(0.0, now) / WEIGHT_PERIOD))
        weights = {name: 0.15 + shares.random() ** 2 for name in members}
        available = [name for name in members if name in self._up] or members
        rng = random_for(seed, "front", arrival.number, attempt)
        return rng.choices(available, [weights[name] for name in available])[0]


class Dialer(Protocol):
    def __call__(self, limiter: str) -> tuple[str, int]: ...


class ClientFleet:
    """All clients of the run; ``play`` sends each arrival at its time, whether or not earlier ones were answered."""

    def __init__(
        self, context: RunContext, front: FrontBalancer, address: Dialer, options: Clients,
        classes: dict[str, ClassRow], seed: int, seconds: float, points_per_unit: float = 0.0,
    ) -> None:  # fmt: skip
        self._context, self.front, self._address = context, front, address
        self._options, self._classes = options, classes
        self._seed, self._seconds = seed, seconds
        self._points_per_unit = points_per_unit  # of GraphQL requests; 0 for plain ones
        self._idle = defaultdict[str, list[_Connection]](list)
        self._tasks = set[asyncio.Task[None]]()
        self.lateness = list[float]()  # seconds by which each arrival was sent after its time

    @property
    def open(self) -> int:
        return len(self._tasks)

    def prepare(self, arrivals: tuple[Arrival, ...]) -> None:
        """Build the GraphQL requests and their answers before the run: executing queries during it delayed arrivals."""
        if not self._points_per_unit:
            return
        # Imported here because plain scenarios do not need the graphql extra.
        from cypresspulley.rehearsal.standins.graphql import build_request

        for arrival in arrivals:
            build_request(self._seed, arrival, self._classes[arrival.cls].effect == "unsafe")

    async def play(self, arrivals: tuple[Arrival, ...]) -> None:
        loop = asyncio.get_running_loop()
        for arrival in arrivals:
            wait = arrival.t - self._context.now()
            if wait > 0:
                await asyncio.sleep(wait)
            self.lateness.append(max(0.0, self._context.now() - arrival.t))
            task = loop.create_task(self._run_request(arrival))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def finish(self, within: float) -> int:
        """Wait up to ``within`` seconds for open requests; cancels the rest and returns their number."""
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=within)
        left = list(self._tasks)
        for task in left:
            task.cancel()
        if left:
            await asyncio.wait(left)
        for connections in self._idle.values():
            for connection in connections:
                connection.close()
        return len(left)

    async def _run_request(self, arrival: Arrival) -> None:
        """Send one request, with all its retries."""
        cls, started_at = self._classes[arrival.cls], self._context.now()
        first = request_id(self._seed, arrival.number if arrival.repeats < 0 else arrival.repeats, 0)
        for try_number in range(self._options.retries + 1):
            attempt = arrival.attempt + try_number
            rng = random_for(self._seed, "client", arrival.number, attempt)
            id = request_id(self._seed, arrival.number, try_number)
            limiter = self.front.choose(self._seed, arrival, self._context.now(), attempt)
            share, impatient = rng.uniform(*self._options.try_share), rng.random()
            abandon_share = rng.uniform(0.1, 0.9) if impatient < self._options.impatient else None
            outcome = await self._send_attempt(
                arrival, cls, limiter, id, first, attempt, share, abandon_share
            )
            backoff, honors_retry_after = (
                self._draw_backoff(try_number, rng.random()),
                rng.random() < self._options.honour,
            )
            if outcome.status == 200 or abandon_share is not None or not self._may_retry(cls, outcome):
                return
            if outcome.retry_after is not None and honors_retry_after:
                backoff = max(backoff, min(MAX_RETRY_AFTER, outcome.retry_after))
            if self._context.now() + backoff - started_at > cls.deadline_ms / 1000:
                return
            await asyncio.sleep(backoff)

    def _draw_backoff(self, attempt: int, draw: float) -> float:
        base = self._options.backoff_ms / 1000 * (0.5 + draw)
        return {"none": 0.0, "fixed": base, "exp": base * float(2**attempt)}[self._options.backoff]

    def _may_retry(self, cls: ClassRow, outcome: Outcome) -> bool:
        """True if the client may retry. A refusal had no effect; a broken connection may have had one."""
        if outcome.status in (429, 503) or outcome.is_broken:
            return True
        return cls.effect == "safe" or (cls.effect == "keyed" and cls.group == "all")

    async def _send_attempt(
        self, arrival: Arrival, cls: ClassRow, limiter: str, id: str, first: str, attempt: int,
        share: float, abandon_share: float | None,
    ) -> Outcome:  # fmt: skip
        ttl = max(1, int(cls.deadline_ms * share))
        head, known = self._request_bytes(arrival, cls, id, attempt, ttl)
        for again in (False, True):
            connection = None if again else self._take_idle(limiter)
            connection = connection or await self._connect(limiter)
            if connection is None:
                self._context.record(log.Unreached(self._context.now(), id, first, limiter))
                return Outcome(0, is_broken=True)
            is_reused = connection.uses > 0
            self._context.add_request(known)
            self._context.record(
                log.Sent(
                    self._context.now(), id, first, attempt, limiter, arrival.account, arrival.plan, cls.name,
                    known.units if self._points_per_unit else arrival.units, ttl / 1000, not is_reused,
                )
            )  # fmt: skip
            outcome = await self._await_outcome(connection, id, head, ttl / 1000, abandon_share)
            if connection.reusable and connection.transport is not None:
                self._idle[limiter].append(connection)
            # The limiter may have closed a reused connection before it read the request: the client sends it
            # once more on a new one. The judge checks whether the limiter had forwarded it before it closed.
            if not (outcome.is_broken and is_reused and not outcome.has_data):
                return outcome
        return outcome

    async def _await_outcome(
        self, connection: _Connection, id: str, request: bytes, ttl: float, abandon_share: float | None
    ) -> Outcome:
        waiter = connection.send_request(id, request)
        limit = ttl * abandon_share if abandon_share is not None else ttl + ANSWER_GRACE
        try:
            done, _ = await asyncio.wait((waiter,), timeout=limit)
        except asyncio.CancelledError:
            connection.abandon()
            raise
        if done:
            return waiter.result()
        self._context.record(
            log.Left(self._context.now(), id, "over" if abandon_share is None else "impatient")
        )
        connection.abandon()
        return Outcome(0)

    def _take_idle(self, limiter: str) -> _Connection | None:
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

    async def _connect(self, limiter: str) -> _Connection | None:
        connection = _Connection(self._context, limiter)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT):
                await asyncio.get_running_loop().create_connection(
                    lambda: connection, *self._address(limiter)
                )
        except (OSError, TimeoutError) as error:
            if isinstance(error, OSError) and error.errno in (errno.EMFILE, errno.ENFILE):
                self._context.no_descriptors()  # without this it would count as a limiter that refuses connections
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
        # Imported here because plain scenarios do not need the graphql extra.
        from cypresspulley.rehearsal.standins.graphql import build_request

        request = build_request(self._seed, arrival, cls.effect == "unsafe")
        target = f"/graphql?account={arrival.account}"
        head = (
            f"POST {target} HTTP/1.1\r\nHost: bags.internal\r\nX-Request-ID: {id}\r\nX-Plan: {arrival.plan}\r\n"
            f"X-Timeout-Ms: {ttl}\r\nX-Quota: units=1,spread={arrival.spread},first={arrival.first}\r\n"
            "Content-Type: application/json\r\nAccept: application/graphql-response+json\r\n"
            f"Content-Length: {len(request.body)}\r\n"
        )
        head += "X-Retried: 1\r\n" if attempt else ""
        units = max(request.points, 1.0) / self._points_per_unit
        known = KnownRequest(
            id,
            "POST",
            target,
            request.body,
            cls.name,
            cls.effect,
            cls.window,
            units,
            request.answer,
            request.points,
        )
        return f"{head}\r\n".encode() + request.body, known

    def _body(self, arrival: Arrival) -> bytes:
        rng = random_for(self._seed, "body", arrival.number)
        return rng.randbytes(rng.randint(*BODY_LENGTH_RANGE)).hex().encode()
