"""The timeout that an attempt sends to its server is at most the client's remaining time, whatever it waited for.

The tests use their own clock; a blocked loop, a late connect and a slow server are jumps of that clock.
"""

from __future__ import annotations

import asyncio
import re
import time
from collections.abc import Callable

import pytest

from cypresspulley import interface as api
from cypresspulley.net.relay import MAX_REPLAYABLE_BYTES
from cypresspulley.net.upstream import Exchange, _Connection
from tests.loopback import Limiter, Script, ask, run
from tests.test_endings_clients import POST, Peer, only_client, until
from tests.test_endings_gone import NOT_PROCESSED_RESPONSE, Server

TTL = 5.0  # seconds
CLOSED_ADDRESS = "127.0.0.1:1"  # refuses connections
TIMEOUT_HEADER = re.compile(rb"X-Timeout-Ms: ([0-9]+)")


class Clock:
    """The monotonic clock, with jumps on request."""

    def __init__(self) -> None:
        self.jumped = 0.0

    def __call__(self) -> float:
        return time.monotonic() + self.jumped

    def jump(self, seconds: float = 1.0) -> None:
        self.jumped += seconds


class TimeoutDecisions:
    """Gives each attempt the time that is left at that instant, like the real decision module."""

    def __init__(self, clock: Clock, held: bool = False, first: str = "s1") -> None:
        self._clock, self._held, self._first, self._due = clock, held, first, 0.0

    def __call__(self, event: api.Event) -> list[api.Action]:
        if isinstance(event, api.Request):
            self._due = self._clock() + event.ttl
            send = api.Send(event.id, self._first, event.ttl)
            if self._held:
                self._clock.jump()  # the loop is blocked between the decision and its actions
            return [send]
        if isinstance(event, api.BodyProgress) and event.complete:
            self._due = self._clock() + TTL
        if isinstance(event, api.Outcome) and not event.finished and event.attempt == 0:
            return [api.Send(event.id, "s2", self._due - self._clock())]
        return []


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    clock = Clock()
    monkeypatch.setattr("tests.loopback.UnixClock", lambda: clock)
    return clock


def delay_connects(clock: Clock, monkeypatch: pytest.MonkeyPatch) -> None:
    """Make each connect to a server take a second."""
    original = _Connection.connection_made

    def delayed(connection: _Connection, transport: asyncio.BaseTransport) -> None:
        clock.jump()
        original(connection, transport)

    monkeypatch.setattr(_Connection, "connection_made", delayed)


def timeout_in(head: bytes) -> float:
    """Return the timeout in seconds of a request head, which contains it exactly once."""
    (milliseconds,) = TIMEOUT_HEADER.findall(head)
    return int(milliseconds) / 1000


@pytest.mark.parametrize("late", [False, True], ids=["prompt dial", "late dial"])
@pytest.mark.parametrize("held", [False, True], ids=["prompt loop", "held loop"])
@pytest.mark.parametrize("slow", [False, True], ids=["first", "further"])
def test_an_attempt_tells_what_is_left(
    slow: bool, held: bool, late: bool, clock: Clock, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def main() -> None:
        server = Server()
        script = Script(TimeoutDecisions(clock, held))
        if late:
            delay_connects(clock, monkeypatch)
        async with Limiter(script, {"s1": server.dial, "s2": server.dial}) as limiter:
            peer = Peer(limiter)
            peer.send(ask(ttl=int(TTL * 1000)))
            sock = await server.accept()
            head = await server.request(sock)
            assert clock.jumped == held + late
            if slow:
                clock.jump(0.5)
                sock.send(NOT_PROCESSED_RESPONSE)
                head = await server.request(await server.accept())
                assert clock.jumped == held + 2 * late + 0.5
            assert TTL - clock.jumped - 0.5 < timeout_in(head) <= TTL - clock.jumped
            peer.socket.close()
        server.close()

    run(main())


@pytest.mark.parametrize("first", ["s1", "s2"], ids=["further", "first"])
def test_an_upload_that_is_whole_before_its_dial_is_up_tells_what_is_left(
    first: str, clock: Clock, monkeypatch: pytest.MonkeyPatch
) -> None:
    """For a further attempt the first one is refused. The limiter waits for as long as it tells the server."""

    async def main() -> None:
        server = Server()
        script = Script(TimeoutDecisions(clock, first=first))
        delay_connects(clock, monkeypatch)
        async with Limiter(script, {"s1": CLOSED_ADDRESS, "s2": server.dial}) as limiter:
            peer = Peer(limiter)
            await until(lambda: limiter.frontend._clients)
            # The whole upload arrives in one read.
            only_client(limiter).data_received(
                ask(POST, b"x" * (MAX_REPLAYABLE_BYTES + 2000), ttl=int(TTL * 1000))
            )
            head = await server.request(await server.accept())
            assert clock.jumped == 1.0
            assert TTL - 1.5 < timeout_in(head) <= TTL - 1.0
            (opened,) = limiter.node._open_requests.values()
            assert opened.attempts[-1].timer is not None
            assert opened.attempts[-1].expires <= opened.deadline + 0.01
            peer.socket.close()
        server.close()

    run(main())


def test_an_upload_that_still_comes_tells_what_there_will_be_from_its_last_byte_on(clock: Clock) -> None:
    """The time of a request counts from its last byte."""

    async def main() -> None:
        server = Server()
        script = Script(TimeoutDecisions(clock, first="s2"))
        async with Limiter(script, {"s2": server.dial}) as limiter:
            peer = Peer(limiter)
            request = ask(POST, b"x" * (MAX_REPLAYABLE_BYTES + 20_000), ttl=int(TTL * 1000))
            peer.send(request[:2000])
            sock = await server.accept()
            assert TTL - 0.5 < timeout_in(await server.request(sock)) <= TTL
            clock.jump(3.0)
            peer.send(request[2000:])
            await script.until(api.BodyProgress)
            await until(lambda: script.events[-1] == api.BodyProgress(1, True, False))
            (opened,) = limiter.node._open_requests.values()
            (attempt,) = opened.attempts
            assert attempt.timer is not None
            assert clock() + TTL - 0.5 < attempt.expires <= opened.deadline + 0.01
            peer.socket.close()
        server.close()

    run(main())


@pytest.mark.parametrize("window", [2.0, 60.0], ids=["the window ends first", "the time ends first"])
def test_a_dial_of_an_upload_that_is_whole_waits_for_the_earlier_of_its_window_and_its_time(
    window: float, clock: Clock, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def main() -> None:
        server = Server()

        def decide(event: api.Event) -> list[api.Action]:
            if isinstance(event, api.Request):
                return [api.Send(event.id, "s2", event.ttl, clock() + window)]
            return []

        async with Limiter(Script(decide), {"s2": server.dial}) as limiter:
            peer = Peer(limiter)
            await until(lambda: limiter.frontend._clients)
            waits = list[float]()
            set_timer: Callable[..., None] = limiter.upstream._set_timeout

            def recording_timer(exchange: Exchange, wait: float) -> None:
                waits.append(wait)
                set_timer(exchange, wait)

            monkeypatch.setattr(limiter.upstream, "_set_timeout", recording_timer)
            only_client(limiter).data_received(
                ask(POST, b"x" * (MAX_REPLAYABLE_BYTES + 2000), ttl=int(TTL * 1000))
            )
            assert min(window, TTL) - 0.5 < waits[-1] <= min(window, TTL)
            await server.request(await server.accept())
            assert TTL - 0.5 < waits[-1] <= TTL, "its answer has longer"
            peer.socket.close()
        server.close()

    run(main())
