"""SIGHUP and SIGTERM in each state of the process: whole new settings, files that are cut, both signals at once.

The configuration is a named pipe where a moment has to be held: the process stands in its reading until the test has
written, and the test knows that it stands there.
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
from tests.test_discovery import HEAD, chunk
from tests.test_program import WIRE_SETTINGS, Program, config, free_port, started

LAST = 3.7  # seconds after SIGTERM at which SIGKILL may come
READY = 10.0  # seconds within which a restarted limiter is to be ready
HANGUP, TERM = signal.SIGHUP, signal.SIGTERM

# Another customer: no name is the one before's, and one plan of each kind.
OTHER: dict[str, Any] = WIRE_SETTINGS | {
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


def of_other(name: str, body: bytes = b"") -> bytes:
    if name == "grab":
        return ask(path(name), body, X_Plan="gold", Idempotency_Key="5c0f6e1a")
    return ask(path(name), body, X_Plan="gold")


def write(folder: Path, raw: dict[str, Any]) -> None:
    """As a platform does: whole at once."""
    (folder / "new.json").write_text(json.dumps(raw))
    (folder / "new.json").rename(folder / "config.json")


# Whole new settings.


def test_another_customers_settings_hold_as_a_whole(tmp_path: Path) -> None:
    async def main() -> None:
        origin = Origin()
        async with listening(origin.talk) as dial:
            raw = config(dial)
            async with started(raw, tmp_path) as program:
                assert await status(program, ask()) == 200
                assert await status(program, of_other("fetch")) == 404
                write(tmp_path, raw | {"settings": OTHER})
                program.process.send_signal(HANGUP)
                await until(program, lambda: of_other("fetch"), 200)
                assert await status(program, of_other("grab", b"x")) == 200
                assert origin.seen[-1][1]["idempotency-key"] == "5c0f6e1a"
                assert await status(program, ask(path("grab"), X_Plan="gold")) == 405
                write(tmp_path, raw)  # and back: the other one's names are known for a moment only
                program.process.send_signal(HANGUP)
                await until(program, ask, 200)
                assert await status(program, ask(X_Plan="gold")) == 200  # some are on their way still
                await until(program, lambda: ask(X_Plan="gold"), 400)

    run(main())


def test_a_class_that_changes_its_effect_is_read_in_both_forms_for_a_moment(tmp_path: Path) -> None:
    """An open request keeps the record that it came under: safe, so its failure is a refusal."""

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
                program.process.send_signal(HANGUP)
                await until(program, lambda: ask(body=b"x"), 200)
                release.set()
                first, _, _ = await read_message(reader)
                assert " 429 " in first, "it was safe to repeat when it came"

    run(main())


def test_calls_to_the_counter_are_waited_for_as_the_new_settings_say(tmp_path: Path) -> None:
    """Each try of a plan that limits what is out asks a counter that never answers, for 1.6 s and then for 0.05 s."""

    async def mute(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.read()

    def counted(wait: float, *plans: dict[str, Any]) -> dict[str, Any]:
        limited = WIRE_SETTINGS["tariffs"][0] | {"parallel": 2}
        specifics = {"has_counter": True, "count_wait_s": wait, "max_units": 1}
        return WIRE_SETTINGS | {"tariffs": [limited, *plans], "specifics": specifics}

    async def main() -> None:
        async with listening(Origin().talk) as dial, listening(mute) as counter:
            raw = config(dial) | {"counter": counter, "settings": counted(1.6)}
            async with started(raw, tmp_path) as program:
                unlimited = WIRE_SETTINGS["tariffs"][0] | {"name": "gold", "parallel": 0}
                write(tmp_path, raw | {"settings": counted(0.05, unlimited)})
                program.process.send_signal(HANGUP)
                await until(
                    program, lambda: ask(X_Plan="gold"), 200
                )  # the new settings hold, and nothing was asked
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
                    new | {"settings": OTHER | {"specifics": {"has_counter": False, "count_wait_s": 0.05}}},
                )
                program.process.send_signal(HANGUP)
                await until(program, lambda: of_other("fetch"), 200)

    run(main())


@pytest.mark.parametrize("cut", [0, 1, 40, 300, -60, -2, -1])
def test_a_file_that_is_cut_changes_nothing_and_holds_once_it_is_whole(cut: int, tmp_path: Path) -> None:
    """Written in two goes, and the signal in between: there is no second one."""

    async def main() -> None:
        origin = Origin()
        async with listening(origin.talk) as dial:
            raw = config(dial)
            async with started(raw, tmp_path) as program:
                text = json.dumps(raw | {"settings": OTHER})
                (tmp_path / "config.json").write_text(text[:cut])
                program.process.send_signal(HANGUP)
                assert await status(program, ask()) == 200
                assert await status(program, of_other("fetch")) == 404
                (tmp_path / "config.json").write_text(text)
                await until(program, lambda: of_other("fetch"), 200)

    run(main())


def test_a_key_that_is_lost_changes_nothing(tmp_path: Path) -> None:
    async def main() -> None:
        origin = Origin()
        async with listening(origin.talk) as dial:
            raw = config(dial)
            async with started(raw, tmp_path) as program:
                for key in ("classes", "tariffs", "me", "n_instances", "contract", "limits"):
                    write(tmp_path, raw | {"settings": {k: v for k, v in OTHER.items() if k != key}})
                    program.process.send_signal(HANGUP)
                    assert await status(program, ask()) == 200
                    assert await status(program, of_other("fetch")) == 404

    run(main())


class CallRecorder:
    """What Reload moves: it notes each call."""

    def __init__(self) -> None:
        self.calls = list[str]()

    def __getattr__(self, name: str) -> Callable[..., None]:
        return lambda *arguments: self.calls.append(name)


def test_a_refused_file_is_said_once_however_often_it_is_looked_at(caplog: pytest.LogCaptureFixture) -> None:
    whole = parse_config(config("127.0.0.1:1"))
    files = [config("127.0.0.1:1") | {"settings": {}} for _ in range(5)]
    parts: Any = CallRecorder()
    reload = ConfigReloader(whole, parts, lambda: parse_config(files.pop()), parts.retune)
    while files:
        assert not reload()
    assert parts.calls == []
    assert len([each for each in caplog.records if "not reloaded" in each.message]) == 1


# Signals in each state.


@asynccontextmanager
async def piped(folder: Path) -> AsyncIterator[tuple[asyncio.subprocess.Process, Callable[..., None], Any]]:
    """A process whose configuration is a pipe; with what writes to it and what tells that it is being read."""
    pipe = folder / "config.pipe"
    os.mkfifo(pipe)
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "cypresspulley", env={**os.environ, "LB_CONFIG": str(pipe)},
        stderr=asyncio.subprocess.PIPE,
    )  # fmt: skip
    held = list[int]()

    async def reading() -> None:
        while not held:
            try:
                held.append(os.open(pipe, os.O_WRONLY | os.O_NONBLOCK))
            except OSError as error:
                assert error.errno == errno.ENXIO and process.returncode is None, "it ended"
                await asyncio.sleep(0.005)

    def say(text: str, last: bool = False) -> None:
        """The next reading finds a pipe of its own, or the same text in a file."""
        after = folder / "after"
        if last:
            after.write_text(text)
        else:
            os.mkfifo(after)
        after.rename(pipe)
        at = held.pop()
        os.write(at, text.encode())
        os.close(at)

    try:
        yield process, say, reading
    finally:
        for at in held:
            os.close(at)
        if process.returncode is None:
            process.kill()
            await process.wait()


async def said(process: asyncio.subprocess.Process) -> str:
    assert process.stderr is not None
    return (await process.stderr.read()).decode()


def test_a_sighup_before_ready_is_heeded_once_it_is(tmp_path: Path) -> None:
    async def main() -> None:
        origin = Origin()
        async with listening(origin.talk) as dial, piped(tmp_path) as (process, say, reading):
            raw = config(dial)
            await reading()
            process.send_signal(HANGUP)
            say(json.dumps(raw))
            await reading()  # it reads it again by itself
            say(json.dumps(raw | {"settings": OTHER}))
            program = Program(process, raw["listen"])
            await program.ready()
            await until(program, lambda: of_other("fetch"), 200)
            process.send_signal(TERM)
            assert await process.wait() == 0

    run(main())


def test_a_sigterm_before_it_serves_ends_it_at_once_without_a_trace(tmp_path: Path) -> None:
    async def main() -> None:
        async with piped(tmp_path) as (process, _say, reading):
            await reading()
            process.send_signal(TERM)
            assert await process.wait() in (0, -TERM)
            assert "Traceback" not in await said(process)

    run(main())


def test_a_sigterm_while_it_starts_ends_it_before_it_takes_anybody() -> None:
    async def main() -> None:
        loop, raw = asyncio.get_running_loop(), config("127.0.0.1:1")
        at, tried = loop.time(), list[Any]()

        def opened(service: Any) -> None:
            os.kill(os.getpid(), TERM)
            tried.append(service)

        await serve(parse_config(raw), Operators(), on_service_created=opened)
        assert tried and loop.time() - at < 1.0, "nobody came: nobody is waited for"
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

        async with listening(talk) as dial, piped(tmp_path) as (process, say, reading):
            raw = config(dial)
            await reading()
            say(json.dumps(raw))
            program = Program(process, raw["listen"])
            await program.ready()
            reader, writer = await program.connect()
            writer.write(ask())
            await taken.wait()
            process.send_signal(HANGUP)
            await reading()
            process.send_signal(TERM)
            at = time.monotonic()
            say(json.dumps(raw | {"settings": OTHER})[: None if file == "whole" else 50], last=True)
            release.set()
            first, _, body = await read_message(reader)
            assert " 200 " in first and body == b"hi"
            assert await process.wait() == 0 and time.monotonic() - at < LAST
            assert "Traceback" not in await said(process)

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
                program.process.send_signal(TERM)
                while " 200 " in await program.health():
                    pass
                write(tmp_path, raw | {"settings": OTHER, "discovery": "127.0.0.1:2"})
                program.process.send_signal(HANGUP)
                await program.health()  # the loop has had its turns
                program.process.send_signal(TERM)
                release.set()
                first, _, body = await read_message(reader)
                assert " 200 " in first and body == b"hi" and await reader.read() == b""
                assert await program.process.wait() == 0

    run(main())


def test_a_sighup_while_discovery_is_down_is_followed_at_once(tmp_path: Path) -> None:
    async def main() -> None:
        origin, asked, listed = Origin(), asyncio.Event(), asyncio.Event()

        async def mute(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            asked.set()
            await asyncio.Event().wait()

        async with listening(origin.talk) as dial, listening(mute) as down:
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
                program.process.send_signal(HANGUP)
                await listed.wait()
                assert time.monotonic() - at < 2.0
                await until(program, ask, 200)

    run(main())


@pytest.mark.parametrize("times", [1, 2])
def test_a_sigterm_with_hung_servers_and_resting_clients(times: int, tmp_path: Path) -> None:
    """During an outage of discovery and the counter, too: everybody gets an end, and the process its own, in time."""

    async def main() -> None:
        hung = asyncio.Event()

        async def hangs(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await read_message(reader)
            hung.set()
            await asyncio.Event().wait()

        async def mute(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await asyncio.Event().wait()

        async with listening(hangs) as dial, listening(mute) as down, listening(mute) as counter:
            raw = config(dial, down) | {"counter": counter}
            raw["settings"] = WIRE_SETTINGS | {"specifics": {"has_counter": True, "count_wait_s": 0.05}}
            async with started(raw, tmp_path) as program:
                waits, asks = await program.connect()
                asks.write(ask(ttl=20_000))
                await hung.wait()
                rests = [await program.connect() for _ in range(3)]
                rests[0][1].write(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
                await read_message(rests[0][0])
                at = time.monotonic()
                for _ in range(times):
                    program.process.send_signal(TERM)
                    await asyncio.sleep(0)
                first, _, _ = await read_message(waits)
                assert " 504 " in first or " 429 " in first
                for reader, _ in rests:
                    assert await reader.read() == b"", "an end, and no reset"
                assert await program.process.wait() == 0
                assert time.monotonic() - at < LAST

    run(main())


def backlog() -> socket.socket:
    """A listener that takes nobody: connections come up and are mute, until its queue is full."""
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
                assert time.monotonic() - at < READY
                assert await status(program, ask()) == (200 if known == "old" else 429)
        for each in sockets:
            each.close()

    run(main())


def test_the_settings_that_serve_are_those_of_the_last_file() -> None:
    """Two in a row before the loop has had a turn: the second is held against the first, not against the start."""
    first, second = config("127.0.0.1:1"), config("127.0.0.1:1") | {"settings": OTHER}
    second["discovery"] = "127.0.0.1:3"
    files, held = [parse_config(second), parse_config(first)], list[Any]()
    follower: Any = CallRecorder()

    def retune(settings: Any, timing: Any) -> None:
        held.append(settings)

    reload = ConfigReloader(parse_config(first | {"settings": OTHER}), follower, files.pop, retune)
    reload()
    reload()
    assert [each.classes[0].name for each in held] == ["lookup", "fetch"]
    assert follower.calls == ["follow", "follow"]
