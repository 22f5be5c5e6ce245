"""Conformance tests for three event loops: asyncio and uvloop on loopback sockets, and the virtual loop in memory."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from contextvars import copy_context
from typing import Any, cast

import pytest
import uvloop

from cypresspulley.rehearsal.virtual.loop import DeadlockError, VirtualLoop, run_virtual
from cypresspulley.rehearsal.virtual.network import MAX_BACKLOG
from cypresspulley.rehearsal.virtual.owner import OWNER, Owner

LOOPS = ("asyncio", "uvloop", "virtual")
Pair = tuple["RecordingProtocol", "RecordingProtocol"]


class RecordingProtocol(asyncio.Protocol):
    """Records the callbacks of its transport."""

    def __init__(self) -> None:
        self.events = list[str]()
        self.data = b""
        self.transport = cast(asyncio.Transport, None)
        self.keep_open = False
        self._changed = asyncio.Event()

    def _record_event(self, event: str) -> None:
        self.events.append(event)
        self._changed.set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self._record_event("made")

    def data_received(self, data: bytes) -> None:
        assert data
        self.data += data
        self._changed.set()

    def eof_received(self) -> bool:
        self._record_event("eof")
        return self.keep_open

    def connection_lost(self, exc: Exception | None) -> None:
        self._record_event("lost" if exc is None else f"lost {type(exc).__name__}")

    def pause_writing(self) -> None:
        self._record_event("pause")

    def resume_writing(self) -> None:
        self._record_event("resume")

    async def until(self, condition: Callable[[], object]) -> None:
        while not condition():
            self._changed.clear()
            await self._changed.wait()


async def pair() -> tuple[Pair, Any]:
    """Connect two ends; returns the connecting one, the accepted one and the server."""
    loop, accepted = asyncio.get_running_loop(), RecordingProtocol()
    server = await loop.create_server(lambda: accepted, "127.0.0.1", 0)
    address = server.sockets[0].getsockname()
    _, dialed = await loop.create_connection(RecordingProtocol, *address)
    await accepted.until(lambda: accepted.events)
    return (dialed, accepted), server


def play(kind: str, main: Callable[[], Awaitable[None]], seed: int = 0) -> None:
    async def bounded() -> None:
        await asyncio.wait_for(main(), 20)

    if kind == "virtual":
        run_virtual(lambda _loop: bounded(), seed)
    elif kind == "uvloop":
        uvloop.run(bounded())
    else:
        asyncio.run(bounded())


on_each_loop = pytest.mark.parametrize("kind", LOOPS)


@on_each_loop
def test_bytes_come_whole_and_in_order(kind: str) -> None:
    async def main() -> None:
        (near, far), server = await pair()
        sent = b"".join(b"%d," % n for n in range(20_000))
        for at in range(0, len(sent), 977):
            near.transport.write(sent[at : at + 977])
        await far.until(lambda: len(far.data) == len(sent))
        assert far.data == sent
        far.transport.write(b"back")
        await near.until(lambda: near.data == b"back")
        server.close()

    for seed in range(5 if kind == "virtual" else 1):
        play(kind, main, seed)


@on_each_loop
def test_close_sends_what_was_written_then_the_end(kind: str) -> None:
    async def main() -> None:
        (near, far), server = await pair()
        near.transport.write(b"x" * 200_000)
        near.transport.close()
        assert near.transport.is_closing()
        near.transport.write(b"too late")
        await far.until(lambda: "lost" in far.events)
        assert far.data == b"x" * 200_000 and far.events == ["made", "eof", "lost"]
        await near.until(lambda: "lost" in near.events)
        assert near.events[-1] == "lost"
        server.close()

    play(kind, main)


@on_each_loop
def test_a_half_closed_end_can_still_answer(kind: str) -> None:
    async def main() -> None:
        (near, far), server = await pair()
        far.keep_open = True
        near.transport.write(b"question")
        near.transport.write_eof()
        await far.until(lambda: "eof" in far.events)
        assert far.data == b"question" and "lost" not in far.events
        far.transport.write(b"answer")
        far.transport.close()
        await near.until(lambda: "lost" in near.events)
        assert near.data == b"answer" and near.events == ["made", "eof", "lost"]
        server.close()

    play(kind, main)


@on_each_loop
def test_abort_is_heard_by_both_and_not_inside_the_call(kind: str) -> None:
    async def main() -> None:
        (near, far), server = await pair()
        far.transport.pause_reading()
        near.transport.write(
            b"x" * 1000
        )  # never read: loops differ in what a reset does to it, but not in that the connection ends
        far.transport.abort()
        assert "lost" not in far.events
        await far.until(lambda: "lost" in far.events)
        near.transport.write(b"more")
        await near.until(lambda: near.events[-1].startswith("lost"))
        assert far.data == b"" and len([e for e in near.events if e.startswith("lost")]) == 1
        far.transport.abort()
        near.transport.close()  # a second close must not call back again
        await asyncio.sleep(0.01)
        assert len([e for e in near.events + far.events if e.startswith("lost")]) == 2
        server.close()

    play(kind, main)


@on_each_loop
def test_a_full_buffer_pauses_its_writer_until_it_is_read(kind: str) -> None:
    async def main() -> None:
        (near, far), server = await pair()
        far.transport.pause_reading()
        near.transport.write(b"x" * (16 << 20))
        assert near.events[-1] == "pause" and near.transport.get_write_buffer_size() > 0
        await asyncio.sleep(0.02)
        assert far.data == b"" and near.events[-1] == "pause"
        far.transport.resume_reading()
        await near.until(lambda: near.events[-1] == "resume")
        await far.until(lambda: len(far.data) == 16 << 20)
        assert near.transport.get_write_buffer_size() == 0
        server.close()

    play(kind, main)


@on_each_loop
def test_with_no_room_at_all_writing_pauses_only_while_something_waits(kind: str) -> None:
    async def main() -> None:
        (near, far), server = await pair()
        near.transport.set_write_buffer_limits(high=0)
        near.transport.write(b"small")  # sent at once
        await far.until(lambda: far.data == b"small")
        assert near.events.count("pause") == near.events.count("resume")
        server.close()

    play(kind, main)


@on_each_loop
def test_nobody_there_is_refused_and_a_taken_address_too(kind: str) -> None:
    async def main() -> None:
        loop = asyncio.get_running_loop()
        server = await loop.create_server(RecordingProtocol, "127.0.0.1", 0)
        address = server.sockets[0].getsockname()
        with pytest.raises(OSError):
            await loop.create_server(RecordingProtocol, *address)
        server.close()
        await asyncio.sleep(0.01)
        with pytest.raises(ConnectionRefusedError):
            await loop.create_connection(RecordingProtocol, *address)

    play(kind, main)


@on_each_loop
def test_streams_work_on_it(kind: str) -> None:
    async def main() -> None:
        async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while line := await reader.readline():
                writer.write(line.upper())
                await writer.drain()
            writer.close()

        server = await asyncio.start_server(echo, "127.0.0.1", 0)
        reader, writer = await asyncio.open_connection(*server.sockets[0].getsockname())
        writer.write(b"one\ntwo\n")
        writer.write_eof()
        assert await reader.read() == b"ONE\nTWO\n"
        writer.close()
        server.close()

    play(kind, main)


# Features of the virtual loop only.


def test_time_jumps_and_one_seed_is_one_trace() -> None:
    async def main(loop: VirtualLoop) -> list[tuple[float, int]]:
        trace, (near, far), server = list[tuple[float, int]](), *(await pair())
        for n in range(50):
            near.transport.write(b"x" * (n * 37 + 1))
            await asyncio.sleep(60)
            trace.append((loop.time(), len(far.data)))
        server.close()
        return trace

    one, same, other = (run_virtual(main, seed) for seed in (1, 1, 2))
    assert one == same != other and one[-1][0] > 3000


def test_a_cut_is_silence_until_it_heals() -> None:
    async def main(loop: VirtualLoop) -> None:
        (near, far), server = await pair()
        loop.network.cut("127.0.0.1", "127.0.0.1")
        near.transport.write(b"lost in between")
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(100):
                await loop.create_connection(RecordingProtocol, *server.sockets[0].getsockname())
        assert far.data == b"" and far.events == ["made"]
        loop.network.heal("127.0.0.1", "127.0.0.1")
        await far.until(lambda: far.data == b"lost in between")

    run_virtual(main)


def test_a_process_without_descriptors_dials_no_more_until_one_is_closed() -> None:
    async def main(loop: VirtualLoop) -> None:
        _, server = await pair()
        address = server.sockets[0].getsockname()
        dialer = Owner("dialer")
        dialer.descriptors = 1

        async def dial() -> RecordingProtocol:
            return (await loop.create_connection(RecordingProtocol, *address))[1]  # type: ignore[return-value]

        context = copy_context()
        context.run(OWNER.set, dialer)
        first = await loop.create_task(dial(), context=context)
        with pytest.raises(OSError, match="Too many open files"):
            await loop.create_task(dial(), context=context)
        assert first.transport is not None
        first.transport.abort()
        await asyncio.sleep(1)
        await loop.create_task(dial(), context=context)

    run_virtual(main)


def test_what_a_process_cannot_accept_waits_and_past_the_backlog_nothing_comes_up() -> None:
    async def main(loop: VirtualLoop) -> None:
        process, accepted = Owner("server"), list[RecordingProtocol]()
        process.descriptors = 1

        def factory() -> RecordingProtocol:
            accepted.append(RecordingProtocol())
            return accepted[-1]

        context = copy_context()
        context.run(OWNER.set, process)
        server = await loop.create_task(loop.create_server(factory, "127.0.0.1", 0), context=context)
        address = server.sockets[0].getsockname()
        dialed = [
            (await loop.create_connection(RecordingProtocol, *address))[0] for _ in range(MAX_BACKLOG + 1)
        ]
        dialed[1].write(b"early")
        await asyncio.sleep(1)
        assert len(accepted) == 1
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(5):
                await loop.create_connection(RecordingProtocol, *address)
        dialed[0].close()
        await asyncio.sleep(1)
        assert len(accepted) == 2 and accepted[1].data == b"early"

    run_virtual(main)


def test_what_a_process_never_accepted_is_reset_when_it_dies() -> None:
    async def main(loop: VirtualLoop) -> None:
        process = Owner("server")
        process.descriptors = 1
        context = copy_context()
        context.run(OWNER.set, process)
        server = await loop.create_task(
            loop.create_server(RecordingProtocol, "127.0.0.1", 0), context=context
        )
        dialed = [
            (await loop.create_connection(RecordingProtocol, *server.sockets[0].getsockname()))[1]
            for _ in range(3)
        ]
        loop.kill(process)
        for end in dialed:
            await cast(RecordingProtocol, end).until(lambda end=end: "lost" in " ".join(end.events))  # type: ignore[misc]

    run_virtual(main)


@pytest.mark.parametrize("unread", [False, True])
@pytest.mark.parametrize("lingers", [False, True])
def test_an_abort_delivers_what_was_written_unless_it_resets(lingers: bool, unread: bool) -> None:
    async def main(loop: VirtualLoop) -> None:
        (near, far), _ = await pair()
        assert near.transport is not None and far.transport is not None
        if unread:
            near.transport.pause_reading()
            far.transport.write(b"never read")
            await asyncio.sleep(1)
        if lingers:
            near.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"")
        near.transport.write(b"written")
        near.transport.abort()
        await asyncio.sleep(1)
        if lingers or unread:
            assert far.data == b"" and far.events[-1] == "lost ConnectionResetError"
        else:
            assert far.data == b"written" and far.events[-2:] == ["eof", "lost"]

    run_virtual(main)


def test_a_narrow_way_takes_its_time() -> None:
    async def main(loop: VirtualLoop) -> None:
        (near, far), _ = await pair()
        loop.network.bandwidth, start = 10_000.0, loop.time()
        assert near.transport is not None
        near.transport.write(b"x" * 50_000)
        await far.until(lambda: len(far.data) == 50_000)
        assert 2.0 < loop.time() - start < 6.0

    run_virtual(main)


def test_a_wait_for_nothing_is_told_and_not_hung() -> None:
    async def main(loop: VirtualLoop) -> None:
        await loop.create_future()

    with pytest.raises(DeadlockError, match="nothing is left to happen"):
        run_virtual(main)
