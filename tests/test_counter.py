"""The counter's client over loopback sockets: order, give-ups, breaks."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from cypresspulley.interface import Status
from cypresspulley.net import counter
from cypresspulley.net.counter import CounterClient
from tests.loopback import listening, run


class Tally:
    """A counter whose answers a test writes; ``lines`` is what it was asked."""

    def __init__(self) -> None:
        self.lines = asyncio.Queue[bytes]()
        self.connections = asyncio.Queue[asyncio.StreamWriter]()

    async def talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections.put_nowait(writer)
        while line := await reader.readline():
            self.lines.put_nowait(line)


@asynccontextmanager
async def connected(timeout: float) -> AsyncIterator[tuple[Tally, asyncio.StreamWriter, CounterClient]]:
    tally = Tally()
    async with listening(tally.talk) as address:
        host, port = address.split(":")
        client = CounterClient(host, int(port), timeout)
        client.start()
        try:
            yield tally, await tally.connections.get(), client
        finally:
            client.close()


def call(client: CounterClient, name: int, amount: float = 1.0) -> asyncio.Future[tuple[Status, float]]:
    future = asyncio.get_running_loop().create_future()
    client.call(name, amount, 4.0, lambda status, total: future.set_result((status, total)))
    return future


def test_calls_are_pipelined_and_answered_in_order() -> None:
    async def main() -> None:
        async with connected(10.0) as (tally, writer, client):
            results = [call(client, 7, -2.5), call(client, 8), call(client, 9), call(client, 10)]
            assert await tally.lines.get() == b"tally 7 -2.500000 4000\r\n"
            for _ in range(3):
                await tally.lines.get()
            for piece in (b"ok 1", b"2.5\r", b"\nbusy\r\ner", b"ror\r\nok 3e2\r\n"):
                writer.write(piece)
                await asyncio.sleep(0)
            assert [await result for result in results] == [
                (Status.OK, 12.5), (Status.FULL, 0.0), (Status.ERROR, 0.0), (Status.OK, 300.0),
            ]  # fmt: skip

    run(main())


def test_a_call_given_up_keeps_its_place_in_line() -> None:
    async def main() -> None:
        async with connected(0.05) as (tally, writer, client):
            assert await call(client, 1) == (Status.TIMEOUT, 0.0)
            client._timeout = 10.0
            second = call(client, 2)
            for _ in range(2):
                await tally.lines.get()
            writer.write(b"ok 1\r\nok 2\r\n")
            assert await second == (Status.OK, 2.0)

    run(main())


def test_a_break_leaves_written_calls_unknown_and_adds_nothing_for_the_others() -> None:
    async def main() -> None:
        async with connected(10.0) as (tally, writer, client):
            written = call(client, 1)
            await tally.lines.get()
            client.pause_writing()  # as when the socket's buffer is full
            queued = call(client, 2)
            client.resume_writing()
            client.pause_writing()
            partly, waiting = call(client, 3), call(client, 4)
            await tally.lines.get()
            writer.transport.abort()
            assert (await written)[0] is Status.TIMEOUT
            assert (await queued)[0] is Status.UNREACHABLE  # the last handed over, while writing was held up
            assert [(await f)[0] for f in (partly, waiting)] == [Status.UNREACHABLE] * 2
            await tally.connections.get()  # and it connects anew by itself

    run(main())


def test_without_a_connection_a_call_is_given_up_unsent() -> None:
    async def main() -> None:
        client = CounterClient("127.0.0.1", 1, 0.05)
        client.start()
        assert await call(client, 1) == (Status.UNREACHABLE, 0.0)
        client.close()

    run(main())


@pytest.mark.parametrize("answer", [b"ok many\r\n", b"ok nan\r\n", b"what\r\n", b"\xff\r\n"])
def test_an_unreadable_answer_is_unknown_and_the_next_one_still_fits(answer: bytes) -> None:
    async def main() -> None:
        async with connected(10.0) as (tally, writer, client):
            first, second = call(client, 1), call(client, 2)
            for _ in range(2):
                await tally.lines.get()
            writer.write(answer + b"ok 5\r\n")
            assert (await first)[0] is Status.TIMEOUT
            assert await second == (Status.OK, 5.0)

    run(main())


def test_an_idle_connection_is_kept_by_pings_and_a_silent_one_replaced(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(counter, "CHECK", 0.01)
    monkeypatch.setattr(counter, "PING", 0.02)
    monkeypatch.setattr(counter, "DEAD", 0.1)

    async def main() -> None:
        async with connected(10.0) as (tally, _, _):
            assert await tally.lines.get() == b"ping\r\n"
            await tally.connections.get()  # no pong came: given up for a new one

    run(main())
