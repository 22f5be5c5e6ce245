"""The watch on discovery over loopback sockets: chunk boundaries, versions, timeouts and malformed lines."""

from __future__ import annotations

import asyncio
import json
import time
from random import Random
from typing import Any

import pytest

from cypresspulley import interface as api
from cypresspulley.net import discovery
from cypresspulley.net.discovery import (
    INITIAL_BACKOFF,
    MAX_BACKOFF,
    MAX_BACKOFF_BUSY,
    MAX_CALL_INTERVAL,
    TIMEOUTS,
    Discovery,
    DiscoveryClient,
    Listing,
    WatchState,
    parse_listing,
)  # fmt: skip
from tests.loopback import listening, run

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def message(seq: int, health: str = "ready", **changes: Any) -> bytes:
    host = {
        "host": "s1", "dial": "10.1.0.18:7070", "site": "a", "class": "m2", "block": 3,
        "health": health, "share": 1.5, "born_ms": 1_800_000_000_250,
    } | changes  # fmt: skip
    return json.dumps({"seq": seq, "whole": seq == 1, "hosts": [host]}).encode() + b"\n"


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


class Agent:
    """An agent of discovery: each connection is sent the pieces of the next script, one per turn of the loop."""

    def __init__(self, *scripts: list[bytes], end: bool = True) -> None:
        self.scripts, self.asked, self._end = list(scripts), list[str](), end
        self.connections = 0

    async def talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self.asked.append((await reader.readuntil(b"\r\n\r\n")).decode().split()[1])
        for piece in self.scripts.pop(0) if self.scripts else []:
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(0)
        if not self._end or not self.scripts:
            await asyncio.Event().wait()


async def follow(agent: Agent, count: int, connections: int = 1) -> list[Listing]:
    received, all_received = list[Listing](), asyncio.Event()

    def on_listing(listing: Listing) -> None:
        received.append(listing)
        if len(received) >= count and len(agent.asked) >= connections:
            all_received.set()

    async with listening(agent.talk) as address:
        host, port = address.split(":")
        task = asyncio.create_task(Discovery(host, int(port), 41, on_listing).follow())
        await all_received.wait()
        task.cancel()
    return received


def test_an_entry_is_read_in_full() -> None:
    listing = parse_listing(json.loads(message(1)))
    born = 1_800_000_000.25
    assert listing.servers.entries == (api.ServerEntry("s1", api.Health.UP, "a", 3, 1.5, born),)
    assert listing.servers.complete and listing.version == 1 and listing.addresses == {"s1": "10.1.0.18:7070"}


def test_chunks_end_where_they_like() -> None:
    async def main() -> None:
        data = message(42) + b"\n" + message(43, "draining") + message(44, "gone", dial="")
        pieces = [HEAD] + [chunk(data[at : at + 11]) for at in range(0, len(data), 11)]
        received = await follow(Agent(pieces), 3)
        states = [listing.servers.entries[0].health for listing in received]
        assert states == [api.Health.UP, api.Health.DRAINING, api.Health.GONE]

    run(main())


def test_a_watch_that_ends_goes_on_from_the_last_version() -> None:
    async def main() -> None:
        agent = Agent([HEAD, chunk(message(57))], [HEAD, chunk(message(58))])
        await follow(agent, 2, 2)
        assert agent.asked == ["/v1/servers?follow=1&since=41", "/v1/servers?follow=1&since=57"]

    run(main())


def test_a_silent_watch_is_begun_anew(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setitem(discovery.TIMEOUTS, WatchState.FOLLOWING, 0.2)

    async def main() -> None:
        agent = Agent([HEAD], [HEAD, chunk(message(58))], end=False)
        await follow(agent, 1, 2)
        assert len(agent.asked) == 2

    run(main())


@pytest.mark.parametrize("turns", [1, 2, 3, 4])
def test_a_dial_that_came_up_while_the_loop_was_held_is_used(turns: int) -> None:
    async def main() -> None:
        agent, received = Agent([HEAD, chunk(message(57))]), asyncio.Event()
        async with listening(agent.talk) as address:
            host, port = address.split(":")
            task = asyncio.create_task(Discovery(host, int(port), 41, lambda _: received.set()).follow())
            for _ in range(turns):
                await asyncio.sleep(0)
            # The timer is due before the loop sees that the dial has completed.
            time.sleep(TIMEOUTS[WatchState.DIALING] + 0.1)
            await received.wait()
            task.cancel()
        assert len(agent.asked) == 1 and agent.connections == 1

    run(main())


def test_odd_lines_are_dropped_and_the_watch_goes_on() -> None:
    async def main() -> None:
        malformed_lines = [
            b"not json\n", b"[]\n", b'{"seq":1}\n', b'{"seq":1,"whole":true,"hosts":[3]}\n', b"\xff\n",
            message(9, "upbeat"), message(9, dial="nowhere"), message(9, born_ms="then"),
        ]  # fmt: skip
        malformed_first, malformed_again = (
            [HEAD, chunk(malformed_lines[0])],
            [HEAD, chunk(b"".join(malformed_lines) + message(60))],
        )
        agent = Agent(malformed_first, malformed_again)
        received = await follow(agent, 1)
        assert [listing.version for listing in received] == [60]
        assert len(agent.asked) == 2 and agent.asked[1].endswith("since=41"), (
            "the version is requested once more"
        )

    run(main())


def test_a_refused_version_is_not_asked_for_again() -> None:
    async def main() -> None:
        agent = Agent([b"HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n"], [HEAD, chunk(message(1))])
        await follow(agent, 1, 2)
        assert agent.asked[1] == "/v1/servers?follow=1"

    run(main())


def test_a_busy_discovery_is_asked_for_the_same_version_again() -> None:
    async def main() -> None:
        agent = Agent(
            [b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"], [HEAD, chunk(message(1))]
        )
        await follow(agent, 1, 2)
        assert agent.asked[1].endswith("since=41"), (
            "a whole list costs a busy discovery more than what changed"
        )

    run(main())


def draw_backoffs(seed: int, busy: bool) -> list[float]:
    watch = Discovery("127.0.0.1", 1, 41, lambda _: None, Random(seed).random)
    watch._is_overloaded = busy
    return [watch.backoff() for _ in range(9)]


def test_a_discovery_that_is_silent_or_breaks_is_asked_again_before_its_news_count_as_told() -> None:
    """A change counts as known after 6 s. Longer waits once let the limiter hear of a drain 10 s too late and more."""
    assert TIMEOUTS[WatchState.FOLLOWING] + TIMEOUTS[WatchState.AWAITING_ANSWER] + 1.5 * MAX_BACKOFF < 6
    assert all(max(draw_backoffs(seed, busy=False)) <= 1.5 * MAX_BACKOFF for seed in range(40))


def test_a_watch_that_was_busy_once_and_then_silent_does_not_wait_as_for_a_busy_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setitem(discovery.TIMEOUTS, WatchState.AWAITING_ANSWER, 0.05)
    monkeypatch.setattr(discovery, "INITIAL_BACKOFF", 0.01)
    waited = list[float]()

    async def main() -> None:
        busy = [b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"]
        agent = Agent(busy, busy, busy, [], [HEAD, chunk(message(1))])
        backoff = Discovery.backoff

        def recorded_backoff(watch: Discovery) -> float:
            waited.append(backoff(watch))
            return 0.0

        monkeypatch.setattr(Discovery, "backoff", recorded_backoff)
        await follow(agent, 1, 5)

    run(main())
    assert len(waited) >= 4 and waited[3] <= 1.5 * MAX_BACKOFF


def test_each_try_waits_longer_than_the_one_before_and_apart_from_other_limiters() -> None:
    each = [draw_backoffs(seed, busy=True) for seed in range(40)]
    assert sum(first[0] for first in each) / 40 == pytest.approx(INITIAL_BACKOFF, rel=0.2)
    assert all(
        MAX_BACKOFF_BUSY / 2 <= last[-1] <= 1.5 * MAX_BACKOFF_BUSY <= MAX_CALL_INTERVAL + 1e-9
        for last in each
    )
    # The number of calls of 40 limiters in the busiest 0.1 s, at the fifth call of each.
    at = sorted(sum(waits[:5]) for waits in each)
    assert max(sum(t <= other < t + 0.1 for other in at) for t in at) <= 10


def test_a_move_follows_the_old_until_the_new_has_spoken() -> None:
    async def main() -> None:
        speak, versions, received = asyncio.Event(), list[int](), asyncio.Event()
        old = Agent([HEAD, chunk(message(57))], end=False)

        async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            asked.append((await reader.readuntil(b"\r\n\r\n")).decode().split()[1])
            requested.set()
            await speak.wait()
            writer.write(HEAD + chunk(message(3)))
            await asyncio.Event().wait()

        def on_listing(listing: Listing) -> None:
            versions.append(listing.version)
            received.set()

        asked, requested = list[str](), asyncio.Event()
        async with listening(old.talk) as first, listening(talk) as second:
            follower = DiscoveryClient(on_listing)
            for address in (first, "127.0.0.1:1", second, second):  # the third address replaces the second
                host, port = address.split(":")
                follower.follow(host, int(port), 41 if address == first else None)
                if address == first:
                    await received.wait()
            await requested.wait()
            assert follower._current is not None and not follower._current.cancelled()
            task = follower._current
            received.clear()
            speak.set()
            await received.wait()
            assert versions == [57, 3] and asked == ["/v1/servers?follow=1"]
            await asyncio.wait([task])
            assert task.cancelled()
            follower.close()

    run(main())
