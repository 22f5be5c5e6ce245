"""Calls to the counter end once and in order for a name, whatever coincides with the end of a connection."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from cypresspulley.interface import NEVER_ADDED, Status
from cypresspulley.net.counter import CounterClient
from tests.loopback import run
from tests.test_endings_servers import Peer, end_of, reset


async def read_lines(sock: socket.socket, count: int) -> list[bytes]:
    data = b""
    while data.count(b"\r\n") < count:
        more = await asyncio.get_running_loop().sock_recv(sock, 65536)
        assert more, "the connection ended"
        data += more
    return [line for line in data.split(b"\r\n") if line]


class Calls:
    """Makes calls and records their results in the order in which they ended."""

    def __init__(self, peer: Peer, timeout: float = 15.0) -> None:
        host, port = peer.dial.split(":")
        self.client = CounterClient(host, int(port), timeout)
        self.ended = list[tuple[int, Status, float]]()
        self.made = 0
        self.changed = asyncio.Event()

    def call(self, name: int = 7, amount: float = 1.0) -> int:
        number, self.made = self.made, self.made + 1

        def done(status: Status, total: float) -> None:
            self.ended.append((number, status, total))
            self.changed.set()

        self.client.call(name, amount, 4.0, done)
        return number

    async def until(self, count: int) -> list[tuple[int, Status, float]]:
        while len(self.ended) < count:
            self.changed.clear()
            await self.changed.wait()
        return self.ended

    def assert_all_ended(self) -> None:
        """Check that each call has ended once and that the client holds no state of it."""
        assert sorted(number for number, _, _ in self.ended) == list(range(self.made))
        assert not self.client._calls_by_name and not self.client._queue


@asynccontextmanager
async def connected(timeout: float = 15.0) -> AsyncIterator[tuple[Peer, socket.socket, Calls]]:
    peer = Peer()
    calls = Calls(peer, timeout)
    calls.client.start()
    sock = await peer.accept()
    while calls.client._connection is None:
        await asyncio.sleep(0.001)
    try:
        yield peer, sock, calls
    finally:
        calls.client.close()
        peer.close()


@pytest.mark.parametrize("half", [b"ok 5", b"ok 1\r", b"bus", b"o", b"error", b""])
@pytest.mark.parametrize("end", ["FIN", "RST", "ours"])
def test_half_a_line_at_the_end_of_its_connection_answers_nothing(half: bytes, end: str) -> None:
    async def main() -> None:
        async with connected() as (peer, sock, calls):
            for _ in range(3):
                calls.call()
            await read_lines(sock, 3)
            sock.send(b"ok 1\r\n" + half)
            await calls.until(1)
            if end == "RST":
                reset(sock)
            elif end == "FIN":
                sock.close()
            else:
                assert calls.client._connection is not None
                calls.client._connection.abort()
            results = await calls.until(3)
            assert results == [(0, Status.OK, 1.0), (1, Status.BROKEN, 0.0), (2, Status.BROKEN, 0.0)]
            calls.call()  # is sent on the next connection, which owes no answers of the previous one
            again = await peer.accept()
            assert await read_lines(again, 1) == [b"tally 7 1.000000 4000"]
            again.send(b"ok 9\r\n")
            assert (await calls.until(4))[-1] == (3, Status.OK, 9.0)
            calls.assert_all_ended()

    run(main())


@pytest.mark.parametrize("answer", ["before its line is out", "behind"])
def test_a_call_whose_line_is_not_out_whole_was_never_added(answer: str) -> None:
    """While writing is paused, the last line may be partly written, so that nothing can have answered it."""

    async def main() -> None:
        async with connected() as (_, sock, calls):
            link = calls.client._connection
            assert link is not None
            calls.call()
            link.pause_writing()  # as when the socket's buffer took half of it
            calls.call()
            await read_lines(sock, 1)
            if answer == "behind":
                link.resume_writing()
                await read_lines(sock, 1)
            reset(sock)
            results = await calls.until(1 if answer == "before its line is out" else 2)
            expected = [Status.UNREACHABLE] if answer == "before its line is out" else [Status.BROKEN] * 2
            assert [status for _, status, _ in results] == expected

    run(main())


@pytest.mark.parametrize("first", ["answer", "time-out"])
def test_an_answer_that_crosses_its_time_out_ends_the_call_once(first: str) -> None:
    async def main() -> None:
        async with connected() as (_, sock, calls):
            calls.call()
            calls.call()
            await read_lines(sock, 2)
            (one, two) = calls.client._calls_by_name[7]
            if first == "time-out":
                calls.client._give_up(one)
                sock.send(b"ok 1\r\nok 2\r\n")
                results = await calls.until(2)
                assert results == [(0, Status.TIMEOUT, 0.0), (1, Status.OK, 2.0)]
            else:
                sock.send(b"ok 1\r\nok 2\r\n")
                results = await calls.until(2)
                calls.client._give_up(one)  # after a stall of the loop, its timer is due in the same turn
                calls.client._give_up(two)
                assert results == [(0, Status.OK, 1.0), (1, Status.OK, 2.0)]
            calls.assert_all_ended()

    run(main())


def test_a_call_given_up_while_it_waits_for_a_connection_is_not_sent_when_one_comes_up() -> None:
    """The dial completes late."""

    async def main() -> None:
        peer = Peer()
        peer.fill()
        calls = Calls(peer)
        calls.client.start()
        calls.call()
        calls.call()
        calls.client._give_up(calls.client._queue[0])
        assert calls.ended == [(0, Status.UNREACHABLE, 0.0)]
        await peer.admit()
        sock = await peer.accept()
        assert await read_lines(sock, 1) == [b"tally 7 1.000000 4000"]
        sock.send(b"ok 1\r\n")
        assert (await calls.until(2))[1] == (1, Status.OK, 1.0)
        calls.assert_all_ended()
        calls.client.close()
        peer.close()

    run(main())


@pytest.mark.parametrize("owed", ["answered", "broken", "spoilt"])
def test_a_move_with_calls_out_ends_each_once_and_in_order(owed: str) -> None:
    """After SIGHUP, the old connection answers the calls already written, and the new one takes new calls."""

    async def main() -> None:
        there = Peer()
        async with connected() as (_, old, calls):
            for _ in range(2):
                calls.call()
            await read_lines(old, 2)
            host, port = there.dial.split(":")
            calls.client.move(host, int(port))
            new = await there.accept()
            while calls.client._connection is None or calls.client._connection.address[1] != int(port):
                await asyncio.sleep(0.001)
            calls.call()
            assert len(await read_lines(new, 1)) == 1
            new.send(b"ok 30\r\n")
            if owed == "answered":
                old.send(b"ok 1\r\nok 2\r\n")
            elif owed == "broken":
                old.send(b"ok 1\r\nok")
                reset(old)
            else:
                old.send(b"ok 1\r\nwhat\r\nok 2\r\n")
            second = {"answered": (1, Status.OK, 2.0), "broken": (1, Status.BROKEN, 0.0)}
            assert await calls.until(3) == [
                (0, Status.OK, 1.0), second.get(owed, (1, Status.MALFORMED, 0.0)), (2, Status.OK, 30.0),
            ]  # fmt: skip
            calls.assert_all_ended()
            while calls.client._draining:
                await asyncio.sleep(0.001)
            if owed != "broken":
                assert await end_of(old) in ("FIN", "RST")
        there.close()

    run(main())


def test_moves_one_behind_the_other_leave_one_connection() -> None:
    """A change of address during the dial to the previous one, before and just after that dial completes."""

    async def main() -> None:
        peers = [Peer(), Peer(), Peer()]
        async with connected() as (_, old, calls):
            calls.call()
            await read_lines(old, 1)
            for peer in peers:
                host, port = peer.dial.split(":")
                calls.client.move(host, int(port))
                if peer is peers[1]:  # this dial has completed, and the client has not noticed
                    assert not peer.taken
                    await peer.accept()
            last = await peers[2].accept()
            old.send(b"ok 1\r\n")
            assert await calls.until(1) == [(0, Status.OK, 1.0)]
            while calls.client._draining or calls.client._connection is None:
                await asyncio.sleep(0.001)
            calls.call()
            assert len(await read_lines(last, 1)) == 1
            last.send(b"ok 2\r\n")
            await calls.until(2)
            calls.assert_all_ended()
            for sock in (old, *peers[1].taken):
                assert await end_of(sock) in ("FIN", "RST")
        for peer in peers:
            peer.close()

    run(main())


@pytest.mark.parametrize("out", [False, True], ids=["queued", "written"])
def test_a_client_that_is_closed_ends_its_calls_and_dials_no_more(out: bool) -> None:
    async def main() -> None:
        peer = Peer()
        if not out:
            peer.fill()
        calls = Calls(peer)
        calls.client.start()
        calls.call()
        calls.call()
        sock = None
        if out:
            sock = await peer.accept()
            await read_lines(sock, 2)
        calls.client.close()
        assert len(calls.ended) == (0 if out else 2), "queued calls end at once"
        results = await calls.until(2)
        status = Status.BROKEN if out else Status.UNREACHABLE
        assert [each[1] for each in results] == [status] * 2
        calls.assert_all_ended()
        if sock is not None:
            assert await end_of(sock) in ("FIN", "RST")
        calls.client._timeout = 0.02
        calls.call()  # after close: nothing can be added, and the status says so
        assert (await calls.until(3))[2][1] in NEVER_ADDED
        calls.client.move("127.0.0.1", 1)
        while calls.client._dial_task is not None:
            await asyncio.sleep(0.001)
        assert calls.client._connection is None
        peer.close()

    run(main())


def test_all_calls_are_turned_away_until_the_run_begins() -> None:
    async def main() -> None:
        async with connected() as (_, sock, calls):
            for _ in range(4):
                calls.call()
            await read_lines(sock, 4)
            sock.send(b"busy\r\nbusy\r\nbusy\r\nok 1\r\n")
            results = await calls.until(4)
            assert [each[1] for each in results] == [Status.FULL] * 3 + [Status.OK]
            calls.assert_all_ended()

    run(main())
