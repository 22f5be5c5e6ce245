"""Tests that a restarted process is ready while discovery and the counter are down, with its old list of servers."""

from __future__ import annotations

import asyncio
import socket
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any

from tests.loopback import Origin, ask, listening, read_message, run
from tests.test_discovery import HEAD, chunk
from tests.test_program import WIRE_SETTINGS, config, started

READY_SECONDS = 10.0  # nine in ten restarted processes have to be ready within this time
COUNTER_SETTINGS = {"specifics": {"has_counter": True, "count_wait_s": 0.05}}


def refusing_address(stack: AsyncExitStack) -> str:
    """Return an address that refuses connections: bound but not listening, so that nobody else gets the port."""
    bound = stack.enter_context(socket.socket())
    bound.bind(("127.0.0.1", 0))
    return "{}:{}".format(*bound.getsockname())


def hanging_address(stack: AsyncExitStack) -> str:
    """Return the address of a listener with a full accept queue."""
    listener = stack.enter_context(socket.socket())
    listener.bind(("127.0.0.1", 0))
    listener.listen(0)
    for _ in range(3):
        full = stack.enter_context(socket.socket())
        full.setblocking(False)
        full.connect_ex(listener.getsockname())
    return "{}:{}".format(*listener.getsockname())


async def never_answer(reader: asyncio.StreamReader, _writer: asyncio.StreamWriter) -> None:
    await reader.read()


async def answer_watch(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Answer a discovery watch with no changes."""
    await reader.readuntil(b"\r\n\r\n")
    writer.write(HEAD + chunk(b"\n"))
    await reader.read()


async def answer_counter(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    while line := await reader.readline():
        writer.write(b"pong\r\n" if line.startswith(b"ping") else b"ok 1\r\n")


async def start_stand_in(stack: AsyncExitStack, how: str) -> str:
    """Start a stand-in with the behaviour and return its address."""
    sockets = {"refuses": refusing_address, "hangs": hanging_address}
    if how in sockets:
        return sockets[how](stack)
    talk = {"mute": never_answer, "discovers": answer_watch, "counts": answer_counter}[how]
    return await stack.enter_async_context(listening(talk))


def stale_server_list(dial: str) -> dict[str, Any]:
    """Return a list of 200 servers, of which all but one refuse connections."""
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
    """Starts six processes at once with discovery, the counter or both down in different ways, pushed or polled."""
    cases = [
        ("refuses", "counts", "push"), ("hangs", "counts", "ask"), ("discovers", "refuses", "ask"),
        ("discovers", "hangs", "push"), ("hangs", "mute", "push"), ("mute", "hangs", "ask"),
    ]  # fmt: skip

    async def main() -> None:
        loop, origin = asyncio.get_running_loop(), Origin()
        async with listening(origin.talk) as dial, AsyncExitStack() as stack:

            async def start_and_measure(number: int, discovery: str, counter: str, mode: str) -> float:
                folder = tmp_path / str(number)
                folder.mkdir()
                raw = config(dial, await start_stand_in(stack, discovery))
                raw |= {
                    "known": stale_server_list(dial),
                    "settings": WIRE_SETTINGS | COUNTER_SETTINGS | {"discovery": mode},
                }
                raw["counter"] = await start_stand_in(stack, counter)
                began = loop.time()
                program = await stack.enter_async_context(started(raw, folder))
                waited = loop.time() - began
                reader, writer = await program.connect()
                writer.write(ask())
                status, _, _ = await read_message(reader)
                writer.close()
                assert status.split()[1] in ("200", "429", "503"), "served or refused: it has its old list"
                return waited

            waits = await asyncio.gather(
                *(start_and_measure(number, *case) for number, case in enumerate(cases))
            )
            assert max(waits) < READY_SECONDS

    run(main())
