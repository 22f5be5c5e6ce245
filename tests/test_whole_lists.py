"""What a whole list does not name is gone, also while it still answers: from discovery's bytes to the decisions."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable

import pytest

from cypresspulley import interface as api
from cypresspulley.net.discovery import HEALTH_BY_NAME, DiscoveryClient
from tests.loopback import Limiter, Origin, Script, ask, forward, listening, run
from tests.test_discovery import HEAD, chunk

END = b"0\r\n\r\n"
Writer = asyncio.StreamWriter
Way = Callable[[Writer, bytes], Awaitable[None]]


def servers(seq: int, dial: str, *hosts: tuple[str, str], whole: bool, indent: int | None = None) -> bytes:
    rows = [
        {"host": name, "dial": dial, "site": "a", "block": 0, "health": health, "born_ms": 0}
        for name, health in hosts
    ]
    return json.dumps({"seq": seq, "whole": whole, "hosts": rows}, indent=indent).encode() + b"\n"


async def at_once(writer: Writer, text: bytes) -> None:
    writer.write(HEAD + chunk(text))


async def in_pieces(writer: Writer, text: bytes) -> None:
    writer.write(HEAD)
    for at in range(0, len(text), 40):
        writer.write(chunk(text[at : at + 40]))
        await writer.drain()
        await asyncio.sleep(0)


async def behind_a_beat(writer: Writer, text: bytes) -> None:
    writer.write(HEAD + chunk(b"\n"))
    await asyncio.sleep(0)
    writer.write(chunk(text))


async def and_ends(writer: Writer, text: bytes) -> None:
    writer.write(HEAD + chunk(text) + END)


async def ends_first(writer: Writer, text: bytes) -> None:
    """The watch ends instead of telling, twice: the third call is told."""
    calls.append(text)
    writer.write(HEAD + (END if len(calls) < 3 else chunk(text)))


calls = list[bytes]()
WAYS: list[Way] = [at_once, in_pieces, behind_a_beat, and_ends, ends_first]


@pytest.mark.parametrize("health", ["draining", "ready"])
@pytest.mark.parametrize("seq", [40, 57, 58], ids=["older", "same", "newer"])
@pytest.mark.parametrize("way", WAYS, ids=lambda way: way.__name__)
def test_a_server_that_a_whole_list_leaves_out_gets_nothing_more(way: Way, seq: int, health: str) -> None:
    """The watch breaks, and the first answer to the next call is the whole list. Its number may be any."""
    indent = 1 if way is in_pieces else None

    async def main() -> None:
        origin, first, go = Origin(), True, asyncio.Event()
        calls.clear()

        async def talk(reader: asyncio.StreamReader, writer: Writer) -> None:
            nonlocal first
            await reader.readuntil(b"\r\n\r\n")
            if first:
                first = False
                both = (("s1", "ready"), ("s2", "ready"))
                writer.write(HEAD + chunk(servers(56, dial, *both, whole=True)))
                writer.write(chunk(servers(57, dial, ("s1", health), whole=False)))
                await go.wait()
                writer.transport.abort()
            else:
                await way(writer, servers(seq, dial, ("s2", "ready"), whole=True, indent=indent))
                await reader.read()

        script = Script(forward)
        async with (
            listening(origin.talk) as dial,
            listening(talk) as discovery,
            Limiter(script, {"s1": dial, "s2": dial}) as limiter,
        ):
            assert " 200 " in (await limiter.fetch(ask()))[0], "s1 serves"
            host, port = discovery.split(":")
            follower = DiscoveryClient(limiter.node.apply_listing, lambda: 0.0, pushed=True)
            follower.follow(host, int(port), 41)
            lists = await script.until(api.ServerList, 3)  # the one it began with, and two of discovery
            assert lists[2].entries[0].health is HEALTH_BY_NAME[health]
            go.set()
            (*_, last) = await script.until(api.ServerList, 4)
            assert last.complete and [entry.name for entry in last.entries] == ["s2"]
            seen = len(origin.seen)
            assert " 200 " not in (await limiter.fetch(ask()))[0], "the sockets heed it as well"
            assert len(origin.seen) == seen, (
                "nothing is sent to a server that is gone, though it still answers"
            )
            follower.close()

    run(main())
