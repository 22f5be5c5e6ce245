"""Tests of SIGHUP and SIGTERM in each state of the process: new settings, truncated files, both signals at once.

Where a test needs the process in the middle of reading its configuration, the file is a named pipe: the process blocks
in the read until the test has written, and the test can see that the read has begun.
"""

from __future__ import annotations

import asyncio
import errno
import json
import os
import signal
import socket
import sys
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest

from cypresspulley.__main__ import serve
from cypresspulley.config import parse_config
from cypresspulley.operators import Operators
from cypresspulley.reload import ConfigReloader
from tests.loopback import OK, Origin, ask, listening, read_message, run
from tests.ports import free_port
from tests.test_discovery import HEAD, chunk
from tests.test_program import WIRE_SETTINGS, Program, config, started

KILL_SECONDS = 3.7  # after SIGTERM, SIGKILL may follow from then on
READY_SECONDS = 10.0  # a restarted limiter has to be ready within this time
SIGHUP, SIGTERM = signal.SIGHUP, signal.SIGTERM

# Settings of another customer without any class or plan name of ``WIRE_SETTINGS``, with one of each kind.
OTHER_SETTINGS: dict[str, Any] = WIRE_SETTINGS | {
    "classes": [
        {
            "name": "fetch",
            "aim_s": 3.0,
            "effect": "idempotent",
            "worth": 1.0,
            "group": "all",
        },
        {
            "name": "grab",
            "aim_s": 3.0,
            "effect": "deduplicated",
            "worth": 2.0,
            "group": "cell",
            "window_s": 0.7,
        },
    ],
    "tariffs": [{"name": "gold", "quota_rate": 50.0, "store_size": 50.0}],
    "my_zone": "b",
}


def with_class(**changes: Any) -> dict[str, Any]:
    return WIRE_SETTINGS | {"classes": [WIRE_SETTINGS["classes"][0] | changes]}


async def status(program: Program, request: bytes) -> int:
    reader, writer = await program.connect()
    writer.write(request)
    first, _, _ = await read_message(reader)
    writer.close()
    return int(first.split()[1])


async def until(program: Program, request: Callable[[], bytes], wanted: int) -> None:
    while await status(program, request()) != wanted:
        await asyncio.sleep(0.01)


def path(name: str) -> str:
    return f"/{name}?account=00000000b4d65521"


def other_request(name: str, body: bytes = b"") -> bytes:
    if name == "grab":
        return ask(path(name), body, X_Plan="gold", Idempotency_Key="5c0f6e1a")
    return ask(path(name), body, X_Plan="gold")


def write(folder: Path, raw: dict[str, Any]) -> None:
    """Replace the file atomically, as the platform does."""
    (folder / "new.json").write_text(json.dumps(raw))
    (folder / "new.json").rename(folder / "config.json")


# New settings.


def test_another_customers_settings_hold_as_a_whole(tmp_path: Path) -> None:
    async def main() -> None:
        origin = Origin()
        async with listening(origin.talk) as dial:
            raw = config(dial)
            async with started(raw, tmp_path) as program:
                assert await status(program, ask()) == 200
                assert await status(program, other_request("fetch")) == 404
                write(tmp_path, raw | {"settings": OTHER_SETTINGS})
                program.process.send_signal(SIGHUP)
                await until(program, lambda: other_request("fetch"), 200)
                assert await status(program, other_request("grab", b"x")) == 200
                assert origin.seen[-1][1]["idempotency-key"] == "5c0f6e1a"
                assert await status(program, ask(path("grab"), X_Plan="gold")) == 405
                write(tmp_path, raw)  # back again: the other names are accepted for a short time only
                program.process.send_signal(SIGHUP)
                await until(program, ask, 200)
                # Requests that were sent before the change may still arrive.
                assert await status(program, ask(X_Plan="gold")) == 200
                await until(program, lambda: ask(X_Plan="gold"), 400)

    run(main())


def test_a_class_that_changes_its_effect_is_read_in_both_forms_for_a_moment(tmp_path: Path) -> None:
    """An open request keeps the class record that it arrived under, which was safe, so its failure is a refusal."""

    async def main() -> None:
        taken, release = asyncio.Event(), asyncio.Event()

        async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                first, _, _ = await read_message(reader)
                if first.startswith("GET"):
                    taken.set()
                    await release.wait()
                    return
                writer.write(OK)

        async with listening(talk) as dial:
            raw = config(dial)
            raw["settings"] = WIRE_SETTINGS | {"limits": WIRE_SETTINGS["limits"] | {"max_attempts": 1}}
            async with started(raw, tmp_path) as program:
                reader, writer = await program.connect()
                writer.write(ask())
                await taken.wait()
                new = raw["settings"] | {"classes": with_class(effect="at_most_once")["classes"]}
                write(tmp_path, raw | {"settings": new})
                program.process.send_signal(SIGHUP)
                await until(program, lambda: ask(body=b"x"), 200)
                release.set()
                first, _, _ = await read_message(reader)
                assert " 429 " in first, "it was safe to repeat when it came"

    run(main())


def test_calls_to_the_counter_are_waited_for_as_the_new_settings_say(tmp_path: Path) -> None:
    """Each request of a plan that limits open requests waits for a silent counter, first for 1.6 s, then for 0.05 s."""

    async def never_answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.read()

    def counted(wait: float, *plans: dict[str, Any]) -> dict[str, Any]:
        limited = WIRE_SETTINGS["tariffs"][0] | {"parallel": 2}
        specifics = {"has_counter": True, "count_wait_s": wait, "max_units": 1}
        return WIRE_SETTINGS | {"tariffs": [limited, *plans], "specifics": specifics}

    async def main() -> None:
        async with listening(Origin().talk) as dial, listening(never_answer) as counter:
            raw = config(dial) | {"counter": counter, "settings": counted(1.6)}
            async with started(raw, tmp_path) as program:
                unlimited = WIRE_SETTINGS["tariffs"][0] | {"name": "gold", "parallel": 0}
                write(tmp_path, raw | {"settings": counted(0.05, unlimited)})
                program.process.send_signal(SIGHUP)
                # The new settings are in force as soon as a plan that doesn't call the counter is known.
                await until(program, lambda: ask(X_Plan="gold"), 200)
                assert await status(program, ask(ttl=1000)) == 200

    run(main())


def test_a_customer_without_a_counter_may_follow_one_with(tmp_path: Path) -> None:
    async def main() -> None:
        origin = Origin()
        async with listening(origin.talk) as dial:
            raw = config(dial) | {"counter": f"127.0.0.1:{free_port()}"}
            raw["settings"] = WIRE_SETTINGS | {"specifics": {"has_counter": True, "count_wait_s": 0.05}}
            async with started(raw, tmp_path) as program:
                new = {key: value for key, value in raw.items() if key != "counter"}
                write(
                    tmp_path,
                    new
                    | {
                        "settings": OTHER_SETTINGS
                        | {"specifics": {"has_counter": False, "count_wait_s": 0.05}}
                    },
                )
                program.process.send_signal(SIGHUP)
                await until(program, lambda: other_request("fetch"), 200)

    run(main())


@pytest.mark.parametrize("cut", [0, 1, 40, 300, -60, -2, -1])
def test_a_file_that_is_cut_changes_nothing_and_holds_once_it_is_whole(cut: int, tmp_path: Path) -> None:
    """The file is written in two steps with the only signal between them."""

    async def main() -> None:
        origin = Origin()
        async with listening(origin.talk) as dial:
            raw = config(dial)
            async with started(raw, tmp_path) as program:
                text = json.dumps(raw | {"settings": OTHER_SETTINGS})
                (tmp_path / "config.json").write_text(text[:cut])
                program.process.send_signal(SIGHUP)
                assert await status(program, ask()) == 200
                assert await status(program, other_request("fetch")) == 404
                (tmp_path / "config.json").write_text(text)
                await until(program, lambda: other_request("fetch"), 200)

    run(main())


def test_a_key_that_is_lost_changes_nothing(tmp_path: Path) -> None:
    async def main() -> None:
        origin = Origin()
        async with listening(origin.talk) as dial:
            raw = config(dial)
            async with started(raw, tmp_path) as program:
                for key in ("classes", "tariffs", "me", "n_instances", "contract", "limits"):
                    write(tmp_path, raw | {"settings": {k: v for k, v in OTHER_SETTINGS.items() if k != key}})
                    program.process.send_signal(SIGHUP)
                    assert await status(program, ask()) == 200
                    assert await status(program, other_request("fetch")) == 404

    run(main())


class CallRecorder:
    """Stands in for the objects that ``ConfigReloader`` calls, and records each call."""

    def __init__(self) -> None:
        self.calls = list[str]()

    def __getattr__(self, name: str) -> Callable[..., None]:
        return lambda *arguments: self.calls.append(name)


def test_a_refused_file_is_said_once_however_often_it_is_looked_at(caplog: pytest.LogCaptureFixture) -> None:
    current_config = parse_config(config("127.0.0.1:1"))
    files = [config("127.0.0.1:1") | {"settings": {}} for _ in range(5)]
    recorder: Any = CallRecorder()
    reload = ConfigReloader(current_config, recorder, lambda: parse_config(files.pop()), recorder.retune)
    while files:
        assert not reload()
    assert recorder.calls == []
    assert len([each for each in caplog.records if "not reloaded" in each.message]) == 1


# Signals in each state of the process.


@asynccontextmanager
async def started_with_pipe(
    folder: Path,
) -> AsyncIterator[tuple[asyncio.subprocess.Process, Callable[..., None], Any]]:
    """Start a process whose configuration is a pipe.

    Yields the process, a function that writes the configuration, and one that waits until it is being read.
    """
    pipe = folder / "config.pipe"
    os.mkfifo(pipe)
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "cypresspulley", env={**os.environ, "LB_CONFIG": str(pipe)},
        stderr=asyncio.subprocess.PIPE,
    )  # fmt: skip
    pipe_ends = list[int]()

    async def wait_for_read() -> None:
        while not pipe_ends:
            try:
                pipe_ends.append(os.open(pipe, os.O_WRONLY | os.O_NONBLOCK))
            except OSError as error:
                assert error.errno == errno.ENXIO and process.returncode is None, "it ended"
                await asyncio.sleep(0.005)

    def write_config(text: str, last: bool = False) -> None:
        """Answer the current read; the next one finds a new pipe or, if ``last``, the same text in a file."""
        after = folder / "after"
        if last:
            after.write_text(text)
        else:
            os.mkfifo(after)
        after.rename(pipe)
        at = pipe_ends.pop()
        os.write(at, text.encode())
        os.close(at)

    try:
        yield process, write_config, wait_for_read
    finally:
        for at in pipe_ends:
            os.close(at)
        if process.returncode is None:
            process.kill()
            await process.wait()


async def read_stderr(process: asyncio.subprocess.Process) -> str:
    assert process.stderr is not None
    return (await process.stderr.read()).decode()


def test_a_sighup_before_ready_is_heeded_once_it_is(tmp_path: Path) -> None:
    async def main() -> None:
        origin = Origin()
        async with (
            listening(origin.talk) as dial,
            started_with_pipe(tmp_path) as (process, write_config, wait_for_read),
        ):
            raw = config(dial)
            await wait_for_read()
            process.send_signal(SIGHUP)
            write_config(json.dumps(raw))
            await wait_for_read()  # the process reads the file again without another signal
            write_config(json.dumps(raw | {"settings": OTHER_SETTINGS}))
            program = Program(process, raw["listen"])
            await program.ready()
            await until(program, lambda: other_request("fetch"), 200)
            process.send_signal(SIGTERM)
            assert await process.wait() == 0

    run(main())


def test_a_sigterm_before_it_serves_ends_it_at_once_without_a_trace(tmp_path: Path) -> None:
    async def main() -> None:
        async with started_with_pipe(tmp_path) as (process, _write_config, wait_for_read):
            await wait_for_read()
            process.send_signal(SIGTERM)
            assert await process.wait() in (0, -SIGTERM)
            assert "Traceback" not in await read_stderr(process)

    run(main())


def test_a_sigterm_while_it_starts_ends_it_before_it_takes_anybody() -> None:
    async def main() -> None:
        loop, raw = asyncio.get_running_loop(), config("127.0.0.1:1")
        at, services = loop.time(), list[Any]()

        def opened(service: Any) -> None:
            os.kill(os.getpid(), SIGTERM)
            services.append(service)

        await serve(parse_config(raw), Operators(), on_service_created=opened)
        assert services and loop.time() - at < 1.0, "nobody came: nobody is waited for"
        with socket.socket() as probe:
            assert probe.connect_ex(("127.0.0.1", int(raw["listen"].split(":")[1]))) == errno.ECONNREFUSED

    run(main())


@pytest.mark.parametrize("file", ["whole", "cut"])
def test_a_sigterm_while_a_sighup_is_applied(file: str, tmp_path: Path) -> None:
    async def main() -> None:
        taken, release = asyncio.Event(), asyncio.Event()

        async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await read_message(reader)
            taken.set()
            await release.wait()
            writer.write(OK)
            await asyncio.Event().wait()

        async with (
            listening(talk) as dial,
            started_with_pipe(tmp_path) as (process, write_config, wait_for_read),
        ):
            raw = config(dial)
            await wait_for_read()
            write_config(json.dumps(raw))
            program = Program(process, raw["listen"])
            await program.ready()
            reader, writer = await program.connect()
            writer.write(ask())
            await taken.wait()
            process.send_signal(SIGHUP)
            await wait_for_read()
            process.send_signal(SIGTERM)
            at = time.monotonic()
            write_config(
                json.dumps(raw | {"settings": OTHER_SETTINGS})[: None if file == "whole" else 50], last=True
            )
            release.set()
            first, _, body = await read_message(reader)
            assert " 200 " in first and body == b"hi"
            assert await process.wait() == 0 and time.monotonic() - at < KILL_SECONDS
            assert "Traceback" not in await read_stderr(process)

    run(main())


def test_a_sighup_while_it_drains_is_harmless(tmp_path: Path) -> None:
    async def main() -> None:
        taken, release = asyncio.Event(), asyncio.Event()

        async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await read_message(reader)
            taken.set()
            await release.wait()
            writer.write(OK)
            await asyncio.Event().wait()

        async with listening(talk) as dial:
            raw = config(dial)
            async with started(raw, tmp_path) as program:
                reader, writer = await program.connect()
                writer.write(ask())
                await taken.wait()
                program.process.send_signal(SIGTERM)
                while " 200 " in await program.health():
                    pass
                write(tmp_path, raw | {"settings": OTHER_SETTINGS, "discovery": "127.0.0.1:2"})
                program.process.send_signal(SIGHUP)
                await program.health()  # by the answer, the loop has handled the signal
                program.process.send_signal(SIGTERM)
                release.set()
                first, _, body = await read_message(reader)
                assert " 200 " in first and body == b"hi" and await reader.read() == b""
                assert await program.process.wait() == 0

    run(main())


def test_a_sighup_while_discovery_is_down_is_followed_at_once(tmp_path: Path) -> None:
    async def main() -> None:
        origin, asked, listed = Origin(), asyncio.Event(), asyncio.Event()

        async def never_answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            asked.set()
            await asyncio.Event().wait()

        async with listening(origin.talk) as dial, listening(never_answer) as down:
            raw = config("127.0.0.1:1", down)

            async def agent(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                await reader.readuntil(b"\r\n\r\n")
                host = raw["known"]["hosts"][0] | {"dial": dial}
                text = json.dumps({"seq": 3, "whole": True, "hosts": [host]}).encode() + b"\n"
                writer.write(HEAD + chunk(text))
                listed.set()
                await asyncio.Event().wait()

            async with listening(agent) as up, started(raw, tmp_path) as program:
                await asked.wait()
                write(tmp_path, raw | {"discovery": up})
                at = time.monotonic()
                program.process.send_signal(SIGHUP)
                await listed.wait()
                assert time.monotonic() - at < 2.0
                await until(program, ask, 200)

    run(main())


@pytest.mark.parametrize("times", [1, 2])
def test_a_sigterm_with_hung_servers_and_resting_clients(times: int, tmp_path: Path) -> None:
    """Even with discovery and the counter down, all clients are answered or closed and the process exits in time."""

    async def main() -> None:
        is_hanging = asyncio.Event()

        async def accept_and_hang(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await read_message(reader)
            is_hanging.set()
            await asyncio.Event().wait()

        async def never_answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await asyncio.Event().wait()

        async with (
            listening(accept_and_hang) as dial,
            listening(never_answer) as down,
            listening(never_answer) as counter,
        ):
            raw = config(dial, down) | {"counter": counter}
            raw["settings"] = WIRE_SETTINGS | {"specifics": {"has_counter": True, "count_wait_s": 0.05}}
            async with started(raw, tmp_path) as program:
                waiting_reader, waiting_writer = await program.connect()
                waiting_writer.write(ask(ttl=20_000))
                await is_hanging.wait()
                idle_connections = [await program.connect() for _ in range(3)]
                idle_connections[0][1].write(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
                await read_message(idle_connections[0][0])
                at = time.monotonic()
                for _ in range(times):
                    program.process.send_signal(SIGTERM)
                    await asyncio.sleep(0)
                first, _, _ = await read_message(waiting_reader)
                assert " 504 " in first or " 429 " in first
                for reader, _ in idle_connections:
                    assert await reader.read() == b"", "an end, and no reset"
                assert await program.process.wait() == 0
                assert time.monotonic() - at < KILL_SECONDS

    run(main())


def backlog() -> socket.socket:
    """Return a listener that never accepts: connections open and stay silent until its queue is full."""
    sock = socket.socket()
    sock.bind(("127.0.0.1", 0))
    sock.listen(1)
    return sock


@pytest.mark.parametrize("known", ["old", "none"])
@pytest.mark.parametrize("counter", ["none", "refuses", "mute"])
@pytest.mark.parametrize("discovery", ["refuses", "mute"])
def test_it_is_ready_at_once_with_discovery_or_the_counter_down(
    discovery: str, counter: str, known: str, tmp_path: Path
) -> None:
    async def main() -> None:
        origin, sockets = Origin(), [backlog(), backlog()]
        addresses = [f"127.0.0.1:{each.getsockname()[1]}" for each in sockets]
        async with listening(origin.talk) as dial:
            raw = config(dial, addresses[0] if discovery == "mute" else f"127.0.0.1:{free_port()}")
            if counter != "none":
                raw["counter"] = addresses[1] if counter == "mute" else f"127.0.0.1:{free_port()}"
                raw["settings"] = WIRE_SETTINGS | {"specifics": {"has_counter": True, "count_wait_s": 0.05}}
            if known == "none":
                del raw["known"]
            at = time.monotonic()
            async with started(raw, tmp_path) as program:
                assert time.monotonic() - at < READY_SECONDS
                assert await status(program, ask()) == (200 if known == "old" else 429)
        for each in sockets:
            each.close()

    run(main())


def test_the_settings_that_serve_are_those_of_the_last_file() -> None:
    """The second of two reloads in a row is compared with the first, not with the configuration at the start."""
    first, second = config("127.0.0.1:1"), config("127.0.0.1:1") | {"settings": OTHER_SETTINGS}
    second["discovery"] = "127.0.0.1:3"
    files, pipe_ends = [parse_config(second), parse_config(first)], list[Any]()
    follower: Any = CallRecorder()

    def retune(settings: Any, timing: Any) -> None:
        pipe_ends.append(settings)

    reload = ConfigReloader(parse_config(first | {"settings": OTHER_SETTINGS}), follower, files.pop, retune)
    reload()
    reload()
    assert [each.classes[0].name for each in pipe_ends] == ["lookup", "fetch"]
    assert follower.calls == ["follow", "follow"]
