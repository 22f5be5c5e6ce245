"""Tests of the whole program as a process: configuration, readiness, SIGTERM, SIGKILL, takeover."""

from __future__ import annotations

import asyncio
import json
import logging
import os
import signal
import socket
import subprocess
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest

from cypresspulley.__main__ import MAX_LOG_RECORD_CHARACTERS, BoundedFormatter, LogRateLimiter
from cypresspulley.config import parse_config
from cypresspulley.rehearsal.standins.counter_server import CounterServer
from cypresspulley.rehearsal.standins.discovery import Agent, Host
from cypresspulley.rehearsal.standins.network import Link
from cypresspulley.rehearsal.standins.run_context import RunContext
from tests.loopback import Origin, ask, listening, read_message, run
from tests.ports import free_port

WIRE_SETTINGS: dict[str, Any] = {
    "classes": [{"name": "lookup", "aim_s": 5.0, "effect": "idempotent", "worth": 1.0, "group": "all"}],
    "tariffs": [{"name": "basic", "quota_rate": 100.0, "store_size": 100.0}],
    "n_instances": 3, "me": 0, "my_zone": "a",
    "limits": {"max_attempts": 2, "retry_after": True, "max_retry_after_s": 1.0, "dial_timeout_s": 1.0},
    "contract": {"cold_from": 1.0, "warm_after_s": 0.0, "fall_multiple": 2.0, "fall_s": 1.0},
}  # fmt: skip


def stand_in_stage() -> RunContext:
    """Return a stage that records nothing, for stand-ins outside a rehearsal."""
    return RunContext(lambda _record: None, lambda _id, _cls: 0.0)


def config(dial: str, discovery: str = "127.0.0.1:1") -> dict[str, Any]:
    host = {"host": "s1", "dial": dial, "site": "a", "block": 0, "health": "ready", "born_ms": 0}
    return {
        "name": "n0", "listen": f"127.0.0.1:{free_port()}", "discovery": discovery,
        "seed": "8c1f30d27a5be964", "limits": {"sockets": 256},
        "known": {"seq": 41, "whole": True, "hosts": [host]}, "settings": WIRE_SETTINGS,
    }  # fmt: skip


class Program:
    """A running limiter process."""

    def __init__(self, process: asyncio.subprocess.Process, listen: str) -> None:
        self.process, self._listen = process, listen

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        host, port = self._listen.split(":")
        return await asyncio.open_connection(host, int(port))

    async def health(self) -> str:
        """Return the status line of the response to GET /healthz."""
        reader, writer = await self.connect()
        writer.write(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
        first, _, _ = await read_message(reader)
        writer.close()
        return first

    async def ready(self) -> None:
        while True:
            try:
                assert " 200 " in await self.health()
                return
            except ConnectionRefusedError:
                await asyncio.sleep(0.02)


@asynccontextmanager
async def started(raw: dict[str, Any], folder: Path, *arguments: str) -> AsyncIterator[Program]:
    path = folder / "config.json"
    path.write_text(json.dumps(raw))
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "cypresspulley", *arguments, env={**os.environ, "LB_CONFIG": str(path)}
    )
    program = Program(process, raw["listen"])
    try:
        await program.ready()
        yield program
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()


def test_sigterm_answers_what_was_taken_and_takes_late_comers(tmp_path: Path) -> None:
    async def main() -> None:
        release = asyncio.Event()

        async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                await read_message(reader)
                taken.set()
                await release.wait()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi")

        taken = asyncio.Event()
        async with listening(talk) as dial, started(config(dial), tmp_path) as program:
            before, writer = await program.connect()
            writer.write(ask())
            await taken.wait()
            program.process.send_signal(signal.SIGTERM)
            while " 200 " in await program.health():
                pass
            late, late_writer = await program.connect()
            late_writer.write(ask())
            release.set()
            for reader in (before, late):
                status, headers, body = await read_message(reader)
                assert " 200 " in status and body == b"hi"
                assert await reader.read() == b"" and headers["connection"] == "close"
            assert await program.process.wait() == 0

    run(main())


def test_sighup_moves_to_the_new_addresses_and_a_bad_file_changes_nothing(tmp_path: Path) -> None:
    async def main() -> None:
        origin, path, context, link = Origin(), tmp_path / "config.json", stand_in_stage(), Link("n0")
        agent, keeper = Agent(context, "n0"), CounterServer(context, 1, 1000.0, 0.1, 0.001)
        there, count = agent.listen("127.0.0.1"), keeper.listen(link, "127.0.0.1").address
        async with listening(origin.talk) as dial:
            agent.publish(Host("s1", dial, "a", 0, "ready"))
            raw = config("127.0.0.1:1") | {"counter": "127.0.0.1:1"}
            raw["settings"] = WIRE_SETTINGS | {"specifics": {"has_counter": True, "count_wait_s": 0.05}}
            async with started(raw, tmp_path) as program:
                for text in ("{", "[]", json.dumps(raw | {"counter": 5})):
                    path.write_text(text)
                    program.process.send_signal(signal.SIGHUP)
                    assert " 200 " in await program.health()
                path.write_text(json.dumps(raw | {"discovery": there, "counter": count}))
                program.process.send_signal(signal.SIGHUP)
                while not (agent.watchers and link.connections):
                    await asyncio.sleep(0.01)
                while not origin.seen:  # the new list has the server's actual address
                    reader, writer = await program.connect()
                    writer.write(ask())
                    await read_message(reader)
                program.process.send_signal(signal.SIGTERM)
                program.process.send_signal(signal.SIGHUP)
                assert await program.process.wait() == 0
        agent.close()
        keeper.close()

    run(main())


def test_sigkill_and_a_restart_under_the_same_address(tmp_path: Path) -> None:
    async def main() -> None:
        async with listening(Origin().talk) as dial:
            raw = config(dial)
            for _ in range(2):
                async with started(raw, tmp_path) as program:
                    reader, writer = await program.connect()
                    writer.write(ask())
                    assert (await read_message(reader))[2] == b"hi"
                    program.process.kill()
                    assert await program.process.wait() == -signal.SIGKILL

    run(main())


def test_a_list_from_discovery_replaces_the_known_one(tmp_path: Path) -> None:
    async def main() -> None:
        origin, agent = Origin(), Agent(stand_in_stage(), "n0")
        async with listening(origin.talk) as dial:
            agent.publish(Host("s1", dial, "a", 0, "ready"))
            raw = config("127.0.0.1:1", agent.listen("127.0.0.1"))
            raw["known"]["seq"] = 0
            async with started(raw, tmp_path) as program:
                while not origin.seen:
                    reader, writer = await program.connect()
                    writer.write(ask())
                    await read_message(reader)
        agent.close()

    run(main())


@pytest.mark.parametrize(
    "change",
    [
        {"listen": "nowhere"}, {"listen": None}, {"discovery": 7}, {"seed": "xyz"}, {"settings": None},
        {"settings": {"classes": 3}}, {"settings": {"n_instances": 0}}, {"known": {"seq": "x"}},
        {"limits": {"sockets": "many"}}, {"limits": {"sockets": 20}}, {"counter": "x"},
        {"settings": {"limits": {"dial_timeout_s": -1}}},
    ],
)  # fmt: skip
def test_a_bad_configuration_is_one_plain_line_and_exit_2(change: dict[str, Any], tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(config("127.0.0.1:1") | change))
    check_refused(str(path))


def test_a_taken_address_too(tmp_path: Path) -> None:
    path, raw = tmp_path / "config.json", config("127.0.0.1:1")
    with socket.create_server(("127.0.0.1", 0)) as taken:
        raw["listen"] = f"127.0.0.1:{taken.getsockname()[1]}"
        path.write_text(json.dumps(raw))
        check_refused(str(path))


@pytest.mark.parametrize("text", ["", "{", "[]", "{}"])
def test_an_unreadable_configuration_too(text: str, tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(text)
    check_refused(str(path))


def test_a_missing_configuration_too() -> None:
    check_refused("")
    check_refused("/nonexistent/config.json")


def check_refused(path: str) -> None:
    done = subprocess.run(
        [sys.executable, "-m", "cypresspulley"],
        env={**os.environ, "LB_CONFIG": path}, capture_output=True, text=True, timeout=60,
    )  # fmt: skip
    assert done.returncode == 2 and done.stdout == ""
    assert len(done.stderr.splitlines()) == 1 and done.stderr.startswith("cypresspulley: ")


def test_the_configuration_is_read() -> None:
    read = parse_config(config("127.0.0.1:7070") | {"counter": "127.0.0.1:6400"})
    assert read.counter == ("127.0.0.1", 6400) and read.seed == 0x8C1F30D27A5BE964
    assert read.known is not None and read.known.version == 41 and read.known.servers.complete
    assert read.timing.dial_timeout == 1.0 and read.settings.max_attempts == 2


def test_a_long_record_is_cut() -> None:
    record = logging.LogRecord("x", logging.ERROR, "", 0, "%s", ("y" * 1_000_000,), None)
    text = BoundedFormatter("%(message)s").format(record)
    assert len(text) < MAX_LOG_RECORD_CHARACTERS + 50 and text.endswith("(996000 more characters)")


def test_a_flood_of_log_lines_is_cut() -> None:
    limit = LogRateLimiter(3)
    record = logging.LogRecord("x", 20, "", 0, "text", (), None)
    passed = sum(limit.filter(record) for _ in range(1000))
    assert 3 <= passed <= 9  # three per second; a slow machine may span several seconds


async def call_operators(address: str, method: str, path: str) -> int:
    """Return the status of a call to the operators' interface; 0 if the connection is refused."""
    host, port = address.split(":")
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
    except ConnectionRefusedError:
        return 0
    writer.write(f"{method} {path} HTTP/1.1\r\nHost: door\r\n\r\n".encode())
    first, _, _ = await read_message(reader)
    writer.close()
    return int(first.split()[1])


def test_a_second_process_takes_over_under_load_and_nothing_ends_at_the_door(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setenv("TMPDIR", str(tmp_path))
    operator_addresses = [f"127.0.0.1:{free_port()}" for _ in range(2)]

    async def load(program: Program, stop: asyncio.Event) -> int:
        served = 0
        reader, writer = await program.connect()
        while not stop.is_set():
            writer.write(ask())
            status, headers, _ = await read_message(reader)
            assert " 200 " in status or " 429 " in status
            assert "connection" not in headers, "no connection is closed for an upgrade"
            served += 1
            await asyncio.sleep(0.002)
        writer.close()
        return served

    async def main() -> None:
        origin, stop = Origin(), asyncio.Event()
        async with listening(origin.talk) as dial:
            raw = config(dial)
            old_raw, new_raw = (raw | {"operator": each} for each in operator_addresses)
            async with started(old_raw, tmp_path) as old:
                assert await call_operators(operator_addresses[0], "GET", "/v1/readyz") == 200
                assert await call_operators(operator_addresses[0], "PUT", "/v1/servers/s9/suspend") == 404
                clients = [asyncio.create_task(load(old, stop)) for _ in range(6)]
                async with started(new_raw, tmp_path) as new:
                    while await call_operators(operator_addresses[1], "GET", "/v1/readyz") != 200:
                        await asyncio.sleep(0.01)
                    old.process.send_signal(signal.SIGTERM)
                    assert await old.process.wait() == 0
                    before = len(origin.seen)
                    while len(origin.seen) < before + 30:
                        await asyncio.sleep(0.01)
                    stop.set()
                    assert all(await asyncio.gather(*clients))
                    assert await call_operators(operator_addresses[1], "PUT", "/v1/servers/s1/suspend") == 200
                    new.process.send_signal(signal.SIGTERM)
                    assert await new.process.wait() == 0

    run(main())


def test_sighup_brings_other_settings_and_a_broken_file_keeps_the_old_ones_whole(tmp_path: Path) -> None:
    async def main() -> None:
        origin, path = Origin(), tmp_path / "config.json"
        async with listening(origin.talk) as dial:
            raw = config(dial)
            raw["settings"] = WIRE_SETTINGS | {
                "classes": [row | {"hard_limit_s": 5.0} for row in WIRE_SETTINGS["classes"]]
            }
            new = json.loads(json.dumps(raw))
            new["settings"]["classes"].append(new["settings"]["classes"][0] | {"name": "scan"})
            async with started(raw, tmp_path) as program:

                async def status(path: str) -> str:
                    reader, writer = await program.connect()
                    writer.write(ask(path))
                    first, _, _ = await read_message(reader)
                    writer.close()
                    return first.split()[1]

                scan = "/scan?account=00000000b4d65521"
                assert await status(scan) == "404"
                broken = json.loads(json.dumps(new))
                broken["settings"]["classes"][0]["hard_limit_s"] = 0
                for text in ("", json.dumps(new)[:-40], json.dumps(broken)):
                    path.write_text(text)
                    program.process.send_signal(signal.SIGHUP)
                    assert (
                        await status(scan) == "404"
                        and await status("/lookup?account=00000000b4d65521") == "200"
                    )
                path.write_text(json.dumps(new))
                program.process.send_signal(signal.SIGHUP)
                while await status(scan) == "404":
                    await asyncio.sleep(0.01)
                assert await status(scan) == "200"

    run(main())


@pytest.mark.parametrize("operator", ["nowhere", "127.0.0.1:99999", 7])
def test_a_door_that_cannot_be_is_refused(operator: object, tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(config("127.0.0.1:1") | {"operator": operator}))
    check_refused(str(path))
