"""A restarted process is ready whatever discovery and the counter do: it waits for nobody, and knows its old list."""

from __future__ import annotations

import asyncio
import socket
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any

from tests.loopback import Origin, ask, listening, read_message, run
from tests.test_discovery import HEAD, chunk
from tests.test_program import WIRE_SETTINGS, config, started

READY = 10.0  # seconds within which nine in ten restarted processes have to be ready
COUNTED = {"specifics": {"has_counter": True, "count_wait_s": 0.05}}


def refuses(stack: AsyncExitStack) -> str:
    """Bound and not listening: nobody else gets the port."""
    bound = stack.enter_context(socket.socket())
    bound.bind(("127.0.0.1", 0))
    return "{}:{}".format(*bound.getsockname())


def hangs(stack: AsyncExitStack) -> str:
    """A listener with a full queue."""
    listener = stack.enter_context(socket.socket())
    listener.bind(("127.0.0.1", 0))
    listener.listen(0)
    for _ in range(3):
        full = stack.enter_context(socket.socket())
        full.setblocking(False)
        full.connect_ex(listener.getsockname())
    return "{}:{}".format(*listener.getsockname())


async def mute(reader: asyncio.StreamReader, _writer: asyncio.StreamWriter) -> None:
    await reader.read()


async def discovers(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """A watch on which nothing changes."""
    await reader.readuntil(b"\r\n\r\n")
    writer.write(HEAD + chunk(b"\n"))
    await reader.read()


async def counts(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    while line := await reader.readline():
        writer.write(b"pong\r\n" if line.startswith(b"ping") else b"ok 1\r\n")


async def address(stack: AsyncExitStack, how: str) -> str:
    """Where something behaves so."""
    sockets = {"refuses": refuses, "hangs": hangs}
    if how in sockets:
        return sockets[how](stack)
    talk = {"mute": mute, "discovers": discovers, "counts": counts}[how]
    return await stack.enter_async_context(listening(talk))


def old_list(dial: str) -> dict[str, Any]:
    """200 servers of which one is left: the others' machines refuse."""
    rows = [
        {
            "host": f"s{at}",
            "dial": dial if at == 1 else "127.0.0.1:1",
            "site": "a",
            "block": at % 7,
            "health": "ready",
        }
        for at in range(1, 201)
    ]
    return {"seq": 3, "whole": True, "hosts": rows}


def test_a_process_is_ready_with_discovery_and_the_counter_down_and_an_old_list(tmp_path: Path) -> None:
    """Six at once: discovery down, the counter down, both, each in another way; with lists pushed and asked for."""
    cases = [
        ("refuses", "counts", "push"), ("hangs", "counts", "ask"), ("discovers", "refuses", "ask"),
        ("discovers", "hangs", "push"), ("hangs", "mute", "push"), ("mute", "hangs", "ask"),
    ]  # fmt: skip

    async def main() -> None:
        loop, origin = asyncio.get_running_loop(), Origin()
        async with listening(origin.talk) as dial, AsyncExitStack() as stack:

            async def begin(number: int, discovery: str, counter: str, mode: str) -> float:
                folder = tmp_path / str(number)
                folder.mkdir()
                raw = config(dial, await address(stack, discovery))
                raw |= {"known": old_list(dial), "settings": WIRE_SETTINGS | COUNTED | {"discovery": mode}}
                raw["counter"] = await address(stack, counter)
                began = loop.time()
                program = await stack.enter_async_context(started(raw, folder))
                waited = loop.time() - began
                reader, writer = await program.connect()
                writer.write(ask())
                status, _, _ = await read_message(reader)
                writer.close()
                assert status.split()[1] in ("200", "429", "503"), "served or refused: it has its old list"
                return waited

            waits = await asyncio.gather(*(begin(number, *case) for number, case in enumerate(cases)))
            assert max(waits) < READY

    run(main())
