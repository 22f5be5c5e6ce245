"""The client of the counter over loopback sockets: order of results, timeouts and broken connections."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from cypresspulley.interface import Status
from cypresspulley.net import counter
from cypresspulley.net.counter import CounterClient
from tests.loopback import listening, run


class CounterServer:
    """A counter whose answers the test writes; ``lines`` holds the calls it received."""

    def __init__(self) -> None:
        self.lines = asyncio.Queue[bytes]()
        self.connections = asyncio.Queue[asyncio.StreamWriter]()

    async def talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections.put_nowait(writer)
        while line := await reader.readline():
            self.lines.put_nowait(line)


@asynccontextmanager
async def connected(
    timeout: float,
) -> AsyncIterator[tuple[CounterServer, asyncio.StreamWriter, CounterClient]]:
    server = CounterServer()
    async with listening(server.talk) as address:
        host, port = address.split(":")
        client = CounterClient(host, int(port), timeout)
        client.start()
        try:
            yield server, await server.connections.get(), client
        finally:
            client.close()


def call(client: CounterClient, name: int, amount: float = 1.0) -> asyncio.Future[tuple[Status, float]]:
    future = asyncio.get_running_loop().create_future()
    client.call(name, amount, 4.0, lambda status, total: future.set_result((status, total)))
    return future


def test_calls_are_pipelined_and_answered_in_order() -> None:
    async def main() -> None:
        async with connected(10.0) as (server, writer, client):
            results = [call(client, 7, -2.5), call(client, 8), call(client, 9), call(client, 10)]
            assert await server.lines.get() == b"tally 7 -2.500000 4000\r\n"
            for _ in range(3):
                await server.lines.get()
            for piece in (b"ok 1", b"2.5\r", b"\nbusy\r\ner", b"ror\r\nok 3e2\r\n"):
                writer.write(piece)
                await asyncio.sleep(0)
            assert [await result for result in results] == [
                (Status.OK, 12.5), (Status.FULL, 0.0), (Status.ERROR, 0.0), (Status.OK, 300.0),
            ]  # fmt: skip

    run(main())


def test_a_call_given_up_keeps_its_place_in_line() -> None:
    async def main() -> None:
        async with connected(0.05) as (server, writer, client):
            assert await call(client, 1) == (Status.TIMEOUT, 0.0)
            client._timeout = 10.0
            second = call(client, 2)
            for _ in range(2):
                await server.lines.get()
            writer.write(b"ok 1\r\nok 2\r\n")
            assert await second == (Status.OK, 2.0)

    run(main())


def test_a_break_leaves_written_calls_unknown_and_adds_nothing_for_the_others() -> None:
    async def main() -> None:
        async with connected(10.0) as (server, writer, client):
            written = call(client, 1)
            await server.lines.get()
            link = client._connection
            assert link is not None
            link.pause_writing()  # as when the socket's buffer is full
            partly = call(client, 2)
            link.resume_writing()
            link.pause_writing()
            waiting = call(client, 3)
            await server.lines.get()
            writer.transport.abort()
            assert (await written)[0] is Status.BROKEN
            assert (await partly)[0] is Status.UNREACHABLE  # the last line passed on while writing was paused
            writer = await server.connections.get()  # the client reconnects at once for the queued call
            assert (await server.lines.get()).startswith(b"tally 3 ")
            writer.write(b"ok 4\r\n")
            assert await waiting == (Status.OK, 4.0)

    run(main())


def test_without_a_connection_a_call_is_given_up_unsent() -> None:
    async def main() -> None:
        client = CounterClient("127.0.0.1", 1, 0.05)
        client.start()
        assert await call(client, 1) == (Status.UNREACHABLE, 0.0)
        client.close()

    run(main())


@pytest.mark.parametrize(
    "answer",
    [
        b"ok many\r\n",
        b"ok nan\r\n",
        b"ok\r\n",
        b"what\r\n",
        b"\xff\r\n",
        b"noise without an end",
        b"ok 1_0\r\n",
    ],
)
def test_a_spoilt_answer_leaves_all_behind_it_unknown_and_a_new_connection_serves(answer: bytes) -> None:
    async def main() -> None:
        async with connected(10.0) as (server, writer, client):
            first, second = call(client, 1), call(client, 2)
            for _ in range(2):
                await server.lines.get()
            # The second line must not be taken for the answer to the second call.
            writer.write(answer + b"ok 5\r\n" * answer.endswith(b"\n"))
            assert [await first, await second] == [(Status.MALFORMED, 0.0)] * 2
            third = call(client, 3)  # waits for the new connection
            writer = await server.connections.get()
            assert (await server.lines.get()).startswith(b"tally 3 ")
            writer.write(b"ok 7\r\n")
            assert await third == (Status.OK, 7.0)

    run(main())


def test_a_move_is_made_before_the_break_and_results_keep_their_order() -> None:
    async def main() -> None:
        new_server = CounterServer()
        async with connected(10.0) as (old_server, old, client), listening(new_server.talk) as address:
            owed = call(client, 7)
            await old_server.lines.get()
            host, port = address.split(":")
            client.move(host, int(port))
            during = call(client, 8)  # the new connection is not established, so the old one is used
            assert (await old_server.lines.get()).startswith(b"tally 8 ")
            new = await new_server.connections.get()
            while client._connection is None or client._connection.address[1] != int(port):
                await asyncio.sleep(0.001)
            late, other = call(client, 7), call(client, 9)
            assert (await new_server.lines.get()).startswith(b"tally 7 ")
            await new_server.lines.get()
            new.write(b"ok 2\r\nok 9\r\n")
            assert await other == (Status.OK, 9.0)
            assert not late.done()  # the old connection still owes an earlier answer for this name
            old.write(b"ok 1\r\nok 8\r\n")
            assert [await owed, await late, await during] == [(Status.OK, float(n)) for n in (1, 2, 8)]
            assert not client._calls_by_name
            while client._draining:  # the old connection closes by itself
                await asyncio.sleep(0.001)

    run(main())


def test_a_second_move_overtakes_the_first_and_a_dead_address_leaves_the_old_one_in_use() -> None:
    async def main() -> None:
        new_server = CounterServer()
        async with connected(10.0) as (old_server, old, client), listening(new_server.talk) as address:
            host, port = address.split(":")
            client.move("127.0.0.1", 1)
            first = call(client, 1)
            await old_server.lines.get()
            old.write(b"ok 1\r\n")
            assert await first == (Status.OK, 1.0)
            client.move("127.0.0.1", 2)
            client.move(host, int(port))
            (await new_server.connections.get()).write(b"")

    run(main())


def test_an_idle_connection_is_kept_by_pings_and_a_silent_one_replaced(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(counter, "CHECK_INTERVAL", 0.01)
    monkeypatch.setattr(counter, "PING_INTERVAL", 0.02)
    monkeypatch.setattr(counter, "ANSWER_TIMEOUT", 0.1)

    async def main() -> None:
        async with connected(10.0) as (server, _, _):
            assert await server.lines.get() == b"ping\r\n"
            await server.connections.get()  # no pong arrived, so the connection is replaced

    run(main())
