"""Whose time runs while an upload stands still: the client's, unless the client has not sent the rest."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from cypresspulley.net import frontend
from cypresspulley.net.relay import MAX_CLIENT_SOCKET_BYTES, Relay, Upload
from cypresspulley.net.upload_clock import CATCH_UP_SECONDS, UploadClock
from tests.loopback import OK, Limiter, Script, ask, forward, listening, read_message, run

TTL_MS = 400
SLACK_SECONDS = 0.5
BODY = b"x" * 200_000
POST = "/post?account=00000000b4d65521"
SMALL_BUFFER = 8192  # of the server's kernel, in bytes


class PausingServer:
    """A server that reads a head, waits until it may read on, and answers once it has the body."""

    def __init__(self) -> None:
        self.may_read = asyncio.Event()
        self.has_read = 0

    async def talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        await self.may_read.wait()
        while self.has_read < len(BODY):
            piece = await reader.read(65536)
            if not piece:
                return
            self.has_read += len(piece)
        writer.write(OK)


@asynccontextmanager
async def limiter_without_read_ahead(server: PausingServer) -> AsyncIterator[Limiter]:
    async with (
        listening(server.talk, SMALL_BUFFER) as dial,
        Limiter(Script(forward), {"s1": dial}) as limiter,
    ):
        limiter.frontend.relay = limiter.upstream.relay
        limiter.upstream.relay.limit_bytes = 0
        yield limiter


async def status(reader: asyncio.StreamReader, seconds: float) -> str:
    async with asyncio.timeout(seconds):
        return (await read_message(reader))[0].split(" ")[1]


def test_a_held_upload_is_answered_at_its_deadline_where_memory_allows_no_read_ahead() -> None:
    async def main() -> None:
        async with limiter_without_read_ahead(PausingServer()) as limiter:
            reader, writer = await limiter.connect()
            writer.write(ask(POST, BODY, ttl=TTL_MS))
            assert await status(reader, TTL_MS / 1000 + SLACK_SECONDS) == "504"
            writer.transport.abort()

    run(main())


@pytest.mark.parametrize("held_first", [False, True])
def test_the_time_of_a_client_that_has_not_sent_the_rest_does_not_run(held_first: bool) -> None:
    """Guards against a 504 for a client that pauses while it writes, also when its server held it up before."""

    async def main() -> None:
        server = PausingServer()
        async with limiter_without_read_ahead(server) as limiter:
            reader, writer = await limiter.connect()
            request = ask(POST, BODY, ttl=TTL_MS)
            writer.write(request[: len(request) // 2])
            if held_first:
                await asyncio.sleep(frontend.SWEEP_INTERVAL)
            server.may_read.set()
            await asyncio.sleep(TTL_MS / 1000 + 2 * frontend.SWEEP_INTERVAL)
            writer.write(request[len(request) // 2 :])
            assert await status(reader, 2.0) == "200"
            writer.transport.abort()

    run(main())


def test_a_client_that_cannot_have_sent_the_rest_is_not_answered_early() -> None:
    """The rest is larger than what kernels hold of it, so the client still writes."""

    async def main() -> None:
        async with limiter_without_read_ahead(PausingServer()) as limiter:
            reader, writer = await limiter.connect()
            length = MAX_CLIENT_SOCKET_BYTES + 2 * len(BODY)
            head = ask(POST, b"x", ttl=TTL_MS).removesuffix(b"x")
            writer.write(head.replace(b"Content-Length: 1\r\n", b"Content-Length: %d\r\n" % length) + BODY)
            with pytest.raises(TimeoutError):
                await status(reader, TTL_MS / 1000 + SLACK_SECONDS)
            writer.transport.abort()

    run(main())


def test_a_client_that_has_left_behind_unread_bytes_is_noticed() -> None:
    """Guards against an upload that goes on for a client whose end lies behind more than a receive buffer holds."""

    async def main() -> None:
        script = Script(lambda _event: [])
        async with Limiter(script, {}) as limiter:
            client = socket.socket()
            client.connect(limiter._address)
            client.setblocking(False)
            await asyncio.get_running_loop().sock_sendall(
                client, ask(POST, 5 * BODY, ttl=60_000)[: 4 * len(BODY)]
            )
            client.close()
            while limiter.frontend._clients or not script.events:
                await asyncio.sleep(0)

    run(main())


def test_the_clock_of_an_upload_runs_only_while_the_client_may_have_sent_all() -> None:
    upload, clock = Upload(1000, lambda _held: None, Relay()), UploadClock(0.0)
    assert clock.seconds_waited(1.0) == 0.0
    clock.hold(1.0, upload)
    clock.hold(2.0, upload)
    assert clock.seconds_waited(3.0) == 2.0, "it runs from the first pause"
    clock.resume(3.0)
    clock.record_read(3.0 + CATCH_UP_SECONDS / 2)
    assert clock.seconds_waited(4.0) == 3.0, "the client was ahead all the time"
    clock.record_read(4.0)
    assert clock.seconds_waited(5.0) == 0.0, "there was nothing to read: it had not sent this"
    clock.hold(5.0, Upload(MAX_CLIENT_SOCKET_BYTES + 1, lambda _held: None, Relay()))
    assert clock.seconds_waited(6.0) == 0.0, "more is missing than kernels hold"
