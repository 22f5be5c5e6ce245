"""Each state that a request may be in lasts for ever: its client is answered at its deadline all the same.

The table is in docs/design/endings.md, "States of a request".
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass

import pytest

from cypresspulley import interface as api
from tests.loopback import Limiter, Script, ask, forward, listening, run
from tests.pressure.deployment import read_fields
from tests.test_endings_servers import Peer as BusyServer
from tests.test_relay import chunked

TTL_SECONDS = 0.4
ANSWER_SLACK_SECONDS = 0.5
SMALL_BUFFER = 8192  # bytes of the server's kernel
POST = "/post?account=00000000b4d65521"
Talk = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


async def never(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Read nothing and write nothing."""
    await asyncio.Event().wait()


def stop_after(response: bytes) -> Talk:
    """Return a server that reads a whole request, writes the beginning of a response and stops."""

    async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        _, fields = await read_fields(reader)
        await reader.readexactly(int(fields.get("content-length", "0")))
        writer.write(response)
        await asyncio.Event().wait()

    return talk


def drip(head: bytes, seconds: float) -> Talk:
    """Return a server that goes on writing a byte of its response at a time for ever."""

    async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_fields(reader)
        writer.write(head)
        while True:
            writer.write(b"x")
            await writer.drain()
            await asyncio.sleep(seconds)

    return talk


def post(size: int, framing: str) -> bytes:
    request = ask(POST, b"x" * size, ttl=int(1000 * TTL_SECONDS))
    if framing == "length":
        return request
    head, _, body = request.partition(b"\r\n\r\n")
    head = head.replace(b"Content-Length: %d" % size, b"Transfer-Encoding: chunked")
    return head + b"\r\n\r\n" + chunked(body)


def get() -> bytes:
    return ask(ttl=int(1000 * TTL_SECONDS))


@dataclass(frozen=True)
class State:
    """A state, entered by a request to a server that keeps it there."""

    request: Callable[[], bytes]
    server: Talk


LENGTH_HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 9000\r\n"
STATES = {
    "sending a small body": State(lambda: post(60_000, "length"), never),
    "sending a small body in chunks": State(lambda: post(60_000, "chunked"), never),
    "sending a large body": State(lambda: post(200_000, "length"), never),
    "sending a large body in chunks": State(lambda: post(200_000, "chunked"), never),
    "waiting for the first byte": State(get, stop_after(b"")),
    "receiving an interim response": State(get, stop_after(b"HTTP/1.1 103 Early Hints\r\n\r\n")),
    "receiving the status line": State(get, stop_after(b"HTTP/1.1 2")),
    "receiving the head": State(get, stop_after(LENGTH_HEAD)),
    "receiving the head for ever": State(get, drip(b"HTTP/1.1 200 OK\r\nX-Long: ", 0.02)),
    "receiving the body": State(get, stop_after(LENGTH_HEAD + b"\r\nhal")),
    "receiving the body for ever": State(get, drip(LENGTH_HEAD + b"\r\n", 0.02)),
    "receiving a failure": State(get, stop_after(b"HTTP/1.1 500 No\r\nContent-Length: 9\r\n\r\nhal")),
    "receiving after a post": State(lambda: post(10, "length"), stop_after(LENGTH_HEAD + b"\r\nhal")),
}


def send_only(event: api.Event) -> list[api.Action]:
    """Send each request, and decide nothing about what becomes of it."""
    return [api.Send(event.id, "s1", event.ttl)] if isinstance(event, api.Request) else []


async def check_answered(limiter: Limiter, request: bytes) -> None:
    """Send a request; its answer has to come by its deadline, and leave nothing open."""
    reader, writer = await limiter.connect()
    started = time.monotonic()
    writer.write(request)
    async with asyncio.timeout(5.0):
        first, _ = await read_fields(reader)
    assert time.monotonic() - started <= TTL_SECONDS + ANSWER_SLACK_SECONDS
    assert int(first.split(" ")[1]) in (429, 500, 502, 504)
    assert not limiter.node.open_requests
    writer.transport.abort()


@asynccontextmanager
async def limiter_before(
    dial: str, decide: Callable[[api.Event], list[api.Action]]
) -> AsyncIterator[Limiter]:
    async with Limiter(Script(decide), {"s1": dial}) as limiter:
        limiter.frontend.relay = limiter.upstream.relay
        yield limiter


@pytest.mark.parametrize("decide", [forward, send_only], ids=["decisions refuse", "decisions are silent"])
@pytest.mark.parametrize("state", STATES.values(), ids=STATES.keys())
def test_a_state_that_lasts_for_ever_ends_at_the_deadline(
    state: State, decide: Callable[[api.Event], list[api.Action]]
) -> None:
    async def main() -> None:
        async with (
            listening(state.server, SMALL_BUFFER) as dial,
            limiter_before(dial, decide) as limiter,
        ):
            await check_answered(limiter, state.request())

    run(main())


@pytest.mark.parametrize("decide", [forward, send_only], ids=["decisions refuse", "decisions are silent"])
@pytest.mark.parametrize("size", [0, 10, 200_000])
def test_a_connection_that_never_comes_up_is_waited_for_until_the_deadline(
    size: int, decide: Callable[[api.Event], list[api.Action]]
) -> None:
    async def main() -> None:
        server = BusyServer()
        server.fill()
        async with limiter_before(server.dial, decide) as limiter:
            limiter.upstream.retune(dial_timeout=60.0, conn_idle=30.0)
            await check_answered(limiter, post(size, "length") if size else get())
        server.close()

    run(main())


def test_a_request_without_a_decision_is_answered_at_its_deadline() -> None:
    async def main() -> None:
        async with limiter_before("127.0.0.1:9", lambda _event: []) as limiter:
            await check_answered(limiter, get())

    run(main())


def test_an_answer_that_waits_behind_an_earlier_one_waits_until_that_deadline() -> None:
    """The second response is ready at once, and written behind the first, whose deadline is the bound of both."""

    def refuse_second(event: api.Event) -> list[api.Action]:
        is_second = isinstance(event, api.Request) and event.id == 2
        return [api.Refuse(2, 0.1)] if is_second else []

    async def main() -> None:
        async with limiter_before("127.0.0.1:9", refuse_second) as limiter:
            reader, writer = await limiter.connect()
            started = time.monotonic()
            writer.write(get() + get())
            statuses = [(await read_fields(reader))[0].split(" ")[1] for _ in range(2)]
            assert statuses == ["504", "429"]
            assert time.monotonic() - started <= TTL_SECONDS + ANSWER_SLACK_SECONDS
            writer.transport.abort()

    run(main())
