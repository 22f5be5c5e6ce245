"""A server that a complete list leaves out is gone, even if it still responds, from discovery's bytes to decisions."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable

import pytest

from cypresspulley import interface as api
from cypresspulley.net.discovery import HEALTH_BY_NAME, DiscoveryClient
from tests.loopback import Limiter, Origin, Script, ask, forward, listening, run
from tests.test_discovery import HEAD, chunk

LAST_CHUNK = b"0\r\n\r\n"
Writer = asyncio.StreamWriter
Sender = Callable[[Writer, bytes], Awaitable[None]]


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
    writer.write(HEAD + chunk(text) + LAST_CHUNK)


async def ends_first(writer: Writer, text: bytes) -> None:
    """End the watch without a list twice; the third call gets the list."""
    calls.append(text)
    writer.write(HEAD + (LAST_CHUNK if len(calls) < 3 else chunk(text)))


calls = list[bytes]()
SENDERS: list[Sender] = [at_once, in_pieces, behind_a_beat, and_ends, ends_first]


@pytest.mark.parametrize("health", ["draining", "ready"])
@pytest.mark.parametrize("seq", [40, 57, 58], ids=["older", "same", "newer"])
@pytest.mark.parametrize("way", SENDERS, ids=lambda way: way.__name__)
def test_a_server_that_a_whole_list_leaves_out_gets_nothing_more(way: Sender, seq: int, health: str) -> None:
    """The watch breaks, and the next call gets a complete list, whose version may be any."""
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
            lists = await script.until(api.ServerList, 3)  # the initial one, and two from discovery
            assert lists[2].entries[0].health is HEALTH_BY_NAME[health]
            go.set()
            (*_, last) = await script.until(api.ServerList, 4)
            assert last.complete and [entry.name for entry in last.entries] == ["s2"]
            seen = len(origin.seen)
            assert " 200 " not in (await limiter.fetch(ask()))[0], "the proxy applies the list as well"
            assert len(origin.seen) == seen, (
                "nothing is sent to a server that is gone, though it still answers"
            )
            follower.close()

    run(main())
