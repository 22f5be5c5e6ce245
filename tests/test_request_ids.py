"""A request that may not be repeated runs once, whoever sends its id again and wherever."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest

from cypresspulley import interface as api
from cypresspulley.net import request_ids
from cypresspulley.net.request_ids import RequestIds
from tests.loopback import OK, Limiter, Origin, Script, ask, forward, listening, read_message, run
from tests.ports import free_port
from tests.test_program import WIRE_SETTINGS, Program, call_operators, config, started

POST = "/post?account=00000000b4d65521"
CLASSES: list[dict[str, Any]] = [
    *WIRE_SETTINGS["classes"],
    {
        "name": "post",
        "aim_s": 3.0,
        "effect": "at_most_once",
        "worth": 1.0,
        "group": "all",
        "hard_limit_s": 5.0,
    },
]


def test_an_id_is_taken_while_it_is_open_and_for_a_time_if_it_may_have_run() -> None:
    now = [0.0]
    ids = RequestIds(lambda: now[0])
    for id in (b"ran", b"never ran"):
        ids.claim(id)
        ids.announce(id)
        assert ids.is_taken(id)
        ids.release(id, may_have_run=id == b"ran")
    assert ids.is_taken(b"ran") and not ids.is_taken(b"never ran") and ids.known() == [b"ran"]
    now[0] = request_ids.REMEMBERED_SECONDS
    assert not ids.is_taken(b"ran")


def test_the_oldest_ids_are_forgotten_beyond_the_bound(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(request_ids, "MAX_REMEMBERED_IDS", 3)
    ids = RequestIds(lambda: 0.0)
    ids.remember(b"%d" % number for number in range(5))
    assert ids.known() == [b"2", b"3", b"4"]


def test_each_id_is_announced_once_before_its_first_attempt() -> None:
    ids, told = RequestIds(lambda: 0.0), list[bytes]()
    ids.on_announced = told.append
    ids.announce(b"unknown")
    ids.claim(b"a")
    ids.announce(b"a")
    ids.announce(b"a")
    assert told == [b"a"]


async def status(reader: asyncio.StreamReader) -> str:
    return (await read_message(reader))[0].split(" ")[1]


@pytest.mark.parametrize("is_answered", [False, True])
def test_an_id_that_comes_again_after_its_client_has_left_runs_once(is_answered: bool) -> None:
    async def main() -> None:
        origin = Origin(lambda _number: OK if is_answered else None)
        async with listening(origin.talk) as dial, Limiter(Script(forward), {"s1": dial}) as limiter:
            request = ask(POST, b"x")
            reader, writer = await limiter.connect()
            writer.write(request)
            await origin.got.wait()
            if is_answered:
                assert await status(reader) == "200"
            writer.transport.abort()
            while limiter.frontend._clients:
                await asyncio.sleep(0)
            again, writer = await limiter.connect()
            writer.write(request)
            assert await status(again) == "409" and len(origin.seen) == 1
            writer.close()

    run(main())


def test_an_id_whose_request_never_ran_may_come_again() -> None:
    async def main() -> None:
        origin = Origin()
        refuse = Script(lambda event: [api.Refuse(event.id, 0.1)] if isinstance(event, api.Request) else [])
        async with listening(origin.talk) as dial, Limiter(refuse, {"s1": dial}) as limiter:
            request = ask(POST, b"x")
            assert " 429 " in (await limiter.fetch(request))[0]
            limiter.script.answer = forward
            assert " 200 " in (await limiter.fetch(request))[0]

    run(main())


def test_an_id_of_a_request_that_may_be_repeated_is_free_after_its_answer() -> None:
    async def main() -> None:
        origin = Origin()
        async with listening(origin.talk) as dial, Limiter(Script(forward), {"s1": dial}) as limiter:
            request = ask()
            for _ in range(2):
                assert " 200 " in (await limiter.fetch(request))[0]

    run(main())


@asynccontextmanager
async def upgrading(
    folder: Path, origin: Origin, raw: dict[str, Any], first: bytes
) -> AsyncIterator[tuple[asyncio.StreamReader, asyncio.StreamWriter, Program]]:
    """Send ``first`` to the old process, and yield its connection and the new process once that serves."""
    doors = [f"127.0.0.1:{free_port()}" for _ in range(2)]
    async with started(raw | {"operator": doors[0]}, folder) as old:
        reader, writer = await old.connect()
        writer.write(first)
        await origin.got.wait()
        async with started(raw | {"operator": doors[1]}, folder) as new:
            while await call_operators(doors[1], "GET", "/v1/readyz") != 200:
                await asyncio.sleep(0.01)
            yield reader, writer, new


@pytest.mark.parametrize("direction", ["to the new process", "to the old process"])
def test_an_id_that_comes_again_at_the_other_process_of_an_upgrade_runs_once(
    direction: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setenv("TMPDIR", str(tmp_path))

    async def main() -> None:
        origin, release = Origin(), asyncio.Event()

        async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                message = await read_message(reader)
                origin.seen.append(message)
                origin.got.set()
                if message[2] == b"slow":
                    await release.wait()
                writer.write(OK)

        async with listening(talk) as dial:
            raw = config(dial) | {"settings": WIRE_SETTINGS | {"classes": CLASSES}}
            slow, quick = ask(POST, b"slow"), ask(POST, b"quick")
            async with upgrading(tmp_path, origin, raw, slow) as (old_reader, old_writer, new):
                if direction == "to the new process":
                    old_writer.transport.abort()
                    reader, writer = await new.connect()
                    writer.write(slow)
                    assert await status(reader) == "409"
                else:
                    reader, writer = await new.connect()
                    writer.write(quick)
                    assert await status(reader) == "200"
                    old_writer.write(quick)
                    release.set()
                    assert [await status(old_reader), await status(old_reader)] == ["200", "409"]
                    old_writer.close()
                writer.close()
        bodies = [body for _, _, body in origin.seen]
        assert len(bodies) == len(set(bodies))

    run(main())
