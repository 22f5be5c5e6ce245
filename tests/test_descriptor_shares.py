"""Descriptors at their limit on a real process: slow uploads, idle clients and operators' callers all at once."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any

import pytest

from cypresspulley.descriptors import (
    ALWAYS_OPEN,
    MIN_FULL_LIMIT,
    OPTIONAL,
    divide_descriptors,
    find_least_limit,
)
from cypresspulley.net.discovery import MAX_CALLS_LOCAL
from cypresspulley.net.http import split_address
from cypresspulley.operators import Operators
from tests.loopback import Origin, ask, listening, read_message, run
from tests.ports import free_port
from tests.test_endings_descriptors import IdleClients
from tests.test_program import WIRE_SETTINGS, Program, call_operators, config, started

LOOKUPS = 19
SERVERS = 4
UPLOAD_BYTES = 1 << 20
UPLOADED_BYTES = 70_000  # more than is read before an upload is passed on
ANSWER_SECONDS = 4.0  # the time of a lookup
ADMIN_ANSWER_SECONDS = 1.0
ADMIN_CALLERS = 50  # who send half a call


def wide_config(dials: list[str], limit: int) -> dict[str, Any]:
    """Return a configuration with an operators' interface, an upload's class and a wide quota."""
    post = {"name": "post", "aim_s": 5.0, "effect": "at_most_once", "worth": 1.0, "group": "all"}
    plan = {"name": "basic", "quota_rate": 10_000.0, "store_size": 10_000.0}
    raw = config(dials[0])
    (host,) = raw["known"]["hosts"]
    hosts = [host | {"host": f"s{number}", "dial": dial} for number, dial in enumerate(dials)]
    return raw | {
        "operator": f"127.0.0.1:{free_port()}",
        "limits": {"sockets": limit},
        "known": {"seq": 41, "whole": True, "hosts": hosts},
        "settings": WIRE_SETTINGS | {"classes": [*WIRE_SETTINGS["classes"], post], "tariffs": [plan]},
    }


def open_half_call(address: str) -> socket.socket:
    caller = socket.create_connection(split_address(address))
    caller.sendall(b"GET /v1/rea")
    return caller


async def send_lookup(program: Program) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Send a lookup on a new connection at once: one that stays silent may be closed to make room."""
    reader, writer = await program.connect()
    writer.write(ask())
    return reader, writer


@pytest.mark.parametrize("limit", [256, 320, 384, 410, 512, 1024])
def test_lookups_behind_slow_uploads_are_read_and_operators_answered(
    limit: int, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against review/2: with an operators' interface, lookups behind 66 uploads were never read."""
    monkeypatch.setenv("TMPDIR", str(tmp_path))

    async def main() -> None:
        async with AsyncExitStack() as stack:
            origins = [Origin() for _ in range(SERVERS)]
            dials = [await stack.enter_async_context(listening(origin.talk)) for origin in origins]
            raw = wide_config(dials, limit)
            program = await stack.enter_async_context(started(raw, tmp_path))
            uploads = list[tuple[asyncio.StreamReader, asyncio.StreamWriter]]()
            for _ in range(limit // 3 - LOOKUPS):
                uploads.append(await program.connect())
                body = b"u" * UPLOAD_BYTES
                uploads[-1][1].write(ask("/post?account=00000000b4d65521", body)[:UPLOADED_BYTES])
            idle_clients = IdleClients(raw["listen"])
            await idle_clients.until(limit)
            callers = [open_half_call(raw["operator"]) for _ in range(ADMIN_CALLERS)]
            async with asyncio.timeout(ADMIN_ANSWER_SECONDS):
                assert await call_operators(raw["operator"], "GET", "/v1/readyz") == 200
            lookups = [await send_lookup(program) for _ in range(LOOKUPS)]
            async with asyncio.timeout(ANSWER_SECONDS):
                for reader, writer in lookups:
                    await read_message(reader)
                    writer.close()
            assert len(os.listdir(f"/proc/{program.process.pid}/fd")) <= limit
            assert not any(reader.at_eof() for reader, _ in uploads)
            idle_clients.close()
            for _, writer in uploads:
                writer.close()
            for caller in callers:
                caller.close()
            program.process.send_signal(signal.SIGTERM)

    run(main())


def test_the_operators_interface_answers_a_caller_behind_more_silent_ones_than_it_may_hold(
    tmp_path: Path,
) -> None:
    """Guards against a small share: callers who come again at once pushed out requests that were not read yet."""

    async def main() -> None:
        async with listening(Origin().talk) as dial:
            raw = wide_config([dial], 256)
            async with started(raw, tmp_path):
                silent = list[socket.socket]()

                async def come_again() -> None:
                    while True:
                        silent.append(open_half_call(raw["operator"]))
                        await asyncio.sleep(0.005)

                flood = asyncio.create_task(come_again())
                while len(silent) < ADMIN_CALLERS:
                    await asyncio.sleep(0.005)
                for _ in range(20):
                    async with asyncio.timeout(ADMIN_ANSWER_SECONDS):
                        assert await call_operators(raw["operator"], "GET", "/v1/readyz") == 200
                flood.cancel()
                for each in silent:
                    each.close()

    run(main())


def test_a_process_with_nothing_switched_on_holds_what_the_budget_says(tmp_path: Path) -> None:
    async def main() -> None:
        async with listening(Origin().talk) as dial, started(config(dial), tmp_path) as program:
            paths = f"/proc/{program.process.pid}/fd"
            links = [os.readlink(f"{paths}/{number}") for number in os.listdir(paths)]
            assert len(links) <= ALWAYS_OPEN[0].most + MAX_CALLS_LOCAL, links

    run(main())


@pytest.mark.parametrize("door", [False, True])
def test_the_least_limit_leaves_a_connection_for_each_purpose(door: bool) -> None:
    """Guards against a start with a limit that leaves some part of the limiter nothing."""
    operators = Operators(access_log="log", plans=("127.0.0.1:1", "vadodara"))
    least = find_least_limit(door, operators)
    budget = divide_descriptors(least, door, operators)
    assert min(budget.clients, budget.servers) >= 1 and least < MIN_FULL_LIMIT
    assert least - find_least_limit(door, Operators()) == sum(
        OPTIONAL[key].most for key in ("access_log", "plans")
    )
