"""Tests the turns of connections on the event loop: how large a read is, and who waits for whom."""

from __future__ import annotations

import asyncio
import socket
import time
from collections import deque

import pytest

from cypresspulley.net import metered_reader
from cypresspulley.net.metered_reader import READ_SIZES, MeteredReader, ReadScheduler, as_protocol
from tests.loopback import run

DATA = b"x" * 4 * READ_SIZES[-1]


class Reader(MeteredReader):
    """Takes ``seconds`` for each read and notes its size in a list that it shares with others."""

    def __init__(
        self, scheduler: ReadScheduler, name: str, seconds: float, reads: list[tuple[str, int]]
    ) -> None:
        super().__init__(scheduler)
        self.name, self.seconds, self.reads = name, seconds, reads
        self.transport: asyncio.Transport | None = None
        self.received = 0
        self.changed = asyncio.Event()

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport

    def connection_lost(self, error: Exception | None) -> None:
        self.transport = None

    def reading_transport(self) -> asyncio.Transport | None:
        return self.transport

    def data_received(self, data: bytes) -> None:
        until = time.perf_counter() + self.seconds
        while time.perf_counter() < until:
            pass
        self.received += len(data)
        self.reads.append((self.name, len(data)))
        self.changed.set()

    async def until(self, count: int) -> None:
        while self.received < count:
            self.changed.clear()
            await self.changed.wait()


async def connected(reader: Reader, data: bytes) -> socket.socket:
    """Connect a socket pair whose far end has written ``data``, as far as the kernel takes it."""
    near, far = socket.socketpair()
    near.setblocking(False)
    far.setblocking(False)
    far.send(data)
    await asyncio.get_running_loop().create_connection(lambda: as_protocol(reader), sock=near)
    return far


def test_reads_grow_while_they_are_processed_quickly(monkeypatch: pytest.MonkeyPatch) -> None:
    async def main() -> None:
        monkeypatch.setattr(metered_reader, "FAST_READ_SECONDS", 10.0)
        monkeypatch.setattr(metered_reader, "MAX_TURN_SECONDS", 10.0)
        reads = list[tuple[str, int]]()
        reader = Reader(ReadScheduler(), "a", 0.0, reads)
        far = await connected(reader, DATA)
        await reader.until(sum(READ_SIZES))
        assert [size for _, size in reads[: len(READ_SIZES)]] == list(READ_SIZES)
        far.close()

    run(main())


def test_a_peer_whose_data_takes_long_lets_others_read_between_its_reads() -> None:
    async def main() -> None:
        reads, scheduler = list[tuple[str, int]](), ReadScheduler()
        heavy = Reader(scheduler, "heavy", 2 * metered_reader.MAX_TURN_SECONDS, reads)
        far = [await connected(heavy, DATA)]
        await heavy.until(READ_SIZES[0])
        light = Reader(scheduler, "light", 0.0, reads)
        far.append(await connected(light, b"x"))
        await light.until(1)
        await heavy.until(10 * READ_SIZES[0])
        before = deque(name for name, _ in reads).index("light")
        assert before <= 3  # it waited for few reads of the other, which goes on reading
        assert {size for name, size in reads if name == "heavy"} == {READ_SIZES[0]}
        for each in far:
            each.close()

    run(main())


def test_a_reader_that_is_held_is_not_read_when_its_turn_comes() -> None:
    async def main() -> None:
        reads, scheduler = list[tuple[str, int]](), ReadScheduler()
        reader = Reader(scheduler, "a", 2 * metered_reader.MAX_TURN_SECONDS, reads)
        far = await connected(reader, DATA)
        await reader.until(READ_SIZES[0])
        reader.hold_reading(True)
        count = len(reads)
        for _ in range(20):
            await asyncio.sleep(0)
        assert len(reads) == count and reader.is_reading_paused
        reader.hold_reading(False)
        await reader.until(READ_SIZES[0] * (count + 3))
        far.close()

    run(main())


def test_reads_stay_small_while_memory_is_short(monkeypatch: pytest.MonkeyPatch) -> None:
    async def main() -> None:
        monkeypatch.setattr(metered_reader, "FAST_READ_SECONDS", 10.0)
        monkeypatch.setattr(metered_reader, "MAX_TURN_SECONDS", 10.0)
        available = [READ_SIZES[1]]
        reads = list[tuple[str, int]]()
        reader = Reader(ReadScheduler(lambda: available[0]), "a", 0.0, reads)
        far = await connected(reader, DATA)
        await reader.until(READ_SIZES[0] + 2 * READ_SIZES[1])
        assert max(size for _, size in reads) == READ_SIZES[1]
        available[0] = 0
        reads.clear()
        far.send(DATA)
        await reader.until(reader.received + 5 * READ_SIZES[1])
        assert {size for _, size in reads[1:]} == {READ_SIZES[0]}
        far.close()

    run(main())
