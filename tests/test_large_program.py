"""Tests of the whole program as a process among 1,024 limiters, with 1,024 servers on its list."""

from __future__ import annotations

import asyncio
import json
import os
import re
import signal
import socket
import sys
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager, suppress
from pathlib import Path
from typing import Any

from cypresspulley.rehearsal.standins.discovery import Agent, Host
from tests.loopback import Origin, ask, read_message, run
from tests.ports import free_port
from tests.test_large_lists import KEY, LARGE_FLEET_SIZE, fleet_table, loopback
from tests.test_program import Program, config, stand_in_stage

LISTENERS = 16  # shared by all servers
READY_SECONDS = 10.0  # a restarted limiter has to be ready within this time
PEAK_MEMORY_LINE = re.compile(r"VmHWM:\s+(\d+) kB")


@asynccontextmanager
async def servers(origin: Origin) -> AsyncIterator[list[Host]]:
    """Yield ``LARGE_FLEET_SIZE`` servers behind a few listeners."""

    async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            await origin.talk(reader, writer)

    async with AsyncExitStack() as stack:
        dials = list[str]()
        for number in range(LISTENERS):
            listener = await asyncio.start_server(talk, f"127.1.0.{1 + number}", 0)
            stack.callback(listener.close)
            dials.append("{}:{}".format(*listener.sockets[0].getsockname()))
        yield [
            Host(f"s{n:04d}", dials[n % LISTENERS], "abc"[n % 3], n % 8, "ready")
            for n in range(LARGE_FLEET_SIZE)
        ]


def large_config(discovery: str, known: list[Host]) -> dict[str, Any]:
    """Return the configuration of the last of ``LARGE_FLEET_SIZE`` limiters, which may send each other messages.

    Its limits are those of the scored rehearsals.
    """
    raw = config("127.0.0.1:1", discovery)
    here = f"127.0.0.1:{free_port()}"
    raw["settings"] = raw["settings"] | {
        "n_instances": LARGE_FLEET_SIZE,
        "me": LARGE_FLEET_SIZE - 1,
        "specifics": {"inbox_per_s": 60.0},
    }
    raw["settings"]["limits"] = raw["settings"]["limits"] | {"peers": True}
    raw["limits"] = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
    raw["known"] = {"seq": 0, "whole": True, "hosts": [host.row() for host in known]}
    raw |= {
        "peer_listen": here,
        "peers": [loopback(n) for n in range(LARGE_FLEET_SIZE - 1)] + [here],
        "peers_all": here,
    }
    return raw


@asynccontextmanager
async def started(raw: dict[str, Any], folder: Path, *arguments: str) -> AsyncIterator[Program]:
    """Run the program in its own process, with its output in the file ``log`` of the folder."""
    (folder / "config.json").write_text(json.dumps(raw))
    env = {**os.environ, "LB_CONFIG": str(folder / "config.json"), "FAWNSEAM_FLEET_KEY": KEY}
    with open(folder / "log", "wb") as log:
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "cypresspulley", *arguments, env=env, stdout=log, stderr=log
        )
    program = Program(process, raw["listen"])
    try:
        async with asyncio.timeout(READY_SECONDS):
            await program.ready()
        yield program
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()


async def fetch(program: Program) -> tuple[str, bytes]:
    reader, writer = await program.connect()
    writer.write(ask())
    status, _, body = await read_message(reader)
    writer.close()
    return status, body


async def suspend(door: str, server: str) -> int:
    """Return the status of an operators' call to suspend a server."""
    host, _, port = door.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(f"PUT /v1/servers/{server}/suspend HTTP/1.1\r\nHost: x\r\n\r\n".encode())
    status = (await reader.read()).split(b" ", 2)[1]
    writer.close()
    return int(status)


def peak_memory_mb(pid: int) -> float:
    """Return the peak memory of the process in MB."""
    found = PEAK_MEMORY_LINE.search(Path(f"/proc/{pid}/status").read_text())
    assert found is not None
    return int(found[1]) / 1024


async def terminate(program: Program) -> None:
    program.process.send_signal(signal.SIGTERM)
    assert await program.process.wait() == 0


def test_a_limiter_among_many_hears_the_whole_list_and_keeps_below_its_memory(tmp_path: Path) -> None:
    async def main() -> None:
        origin, agent = Origin(), Agent(stand_in_stage(), "n0")
        async with servers(origin) as hosts:
            agent.publish(*hosts)
            raw = large_config(agent.listen("127.0.0.1"), [])
            raw["operator"] = f"127.0.0.1:{free_port()}"
            async with started(raw, tmp_path) as program:
                while not agent.watchers:
                    await asyncio.sleep(0.01)
                status, body = await fetch(program)
                while " 200 " not in status:  # the list has not arrived yet
                    status, body = await fetch(program)
                assert body == b"hi"
                assert [await suspend(raw["operator"], name) for name in ("s0000", "s0512", "s1023")] == [
                    200
                ] * 3
                assert await suspend(raw["operator"], "s1024") == 404  # never listed
                used_mb, limit_mb = peak_memory_mb(program.process.pid), raw["limits"]["memory_mb"]
                assert used_mb < limit_mb / 2, f"{used_mb:.1f} MB of {limit_mb}"
                await terminate(program)
        agent.close()

    run(main())


def test_a_limiter_that_is_back_has_the_whole_list_and_seeds_of_the_whole_fleet(tmp_path: Path) -> None:
    """The list comes from the configuration, discovery is down, and the operators' file has all limiters as seeds."""

    async def main() -> None:
        origin = Origin()
        with socket.socket(type=socket.SOCK_DGRAM) as probe:
            probe.bind(("127.0.0.1", 0))
            here = f"127.0.0.1:{probe.getsockname()[1]}"
        table = fleet_table(listen=here, seeds=[*fleet_table()["seeds"][1:], here])
        text = "\n".join(f"{key} = {json.dumps(value)}" for key, value in table.items())
        (tmp_path / "operators.toml").write_text(f"[fleet]\n{text}\n")
        async with servers(origin) as hosts:
            raw = large_config("127.0.0.1:1", hosts)
            async with started(raw, tmp_path, "--operators", str(tmp_path / "operators.toml")) as program:
                assert (await fetch(program))[1] == b"hi"
                used_mb, limit_mb = peak_memory_mb(program.process.pid), raw["limits"]["memory_mb"]
                assert used_mb < limit_mb / 2, f"{used_mb:.1f} MB of {limit_mb}"
                await terminate(program)
        summary = re.search(r"left the fleet; datagrams: .*'sent': (\d+)", (tmp_path / "log").read_text())
        assert summary is not None and int(summary[1]) >= 3  # it contacts three seeds at a time

    run(main())
