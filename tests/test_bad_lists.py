"""An empty server list is applied. A malformed one is dropped: the last valid list stays, and the watch continues."""

from __future__ import annotations

import asyncio
import json
import math
from pathlib import Path
from typing import Any

import pytest

from cypresspulley.config import ConfigError, parse_config
from cypresspulley.rehearsal.standins.discovery import Agent, Host
from tests.loopback import Origin, ask, listening, read_message, run
from tests.test_program import Program, config, stand_in_stage, started

ROW: dict[str, Any] = {"host": "s1", "dial": "127.0.0.1:7070", "site": "a", "health": "ready"}
MALFORMED: dict[str, Any] = {
    "no object": "x", "a list": [ROW], "no servers": {"seq": 9, "whole": True},
    "servers that are none": {"seq": 9, "whole": True, "hosts": None},
    "a text for them": {"seq": 9, "whole": True, "hosts": "s1"},
    "a number among them": {"seq": 9, "whole": True, "hosts": [ROW, 3]},
    "one without a health": {"seq": 9, "whole": True, "hosts": [ROW, {"host": "s2", "dial": "127.0.0.1:1"}]},
    "one without an address": {"seq": 9, "whole": True, "hosts": [ROW | {"dial": ""}]},
    "an address that is none": {"seq": 9, "whole": True, "hosts": [ROW | {"dial": "127.0.0.1:99999"}]},
    "a birth that is none": {"seq": 9, "whole": True, "hosts": [ROW | {"born_ms": "then"}]},
    "an endless birth": {"seq": 9, "whole": True, "hosts": [ROW | {"born_ms": math.inf}]},
    "a birth of 400 digits": {"seq": 9, "whole": True, "hosts": [ROW | {"born_ms": 10**400}]},
    "a share below nothing": {"seq": 9, "whole": True, "hosts": [ROW | {"share": -1}]},
    "an endless number": {"seq": math.inf, "whole": True, "hosts": [ROW]},
    "no number": {"whole": True, "hosts": [ROW]}, "a number that is none": {"seq": "x", "hosts": [ROW]},
}  # fmt: skip


async def fetch_status(program: Program) -> int:
    reader, writer = await program.connect()
    writer.write(ask())
    first, _, _ = await read_message(reader)
    writer.close()
    return int(first.split()[1])


async def wait_for_status(program: Program, wanted: int) -> None:
    while await fetch_status(program) != wanted:
        await asyncio.sleep(0.01)


def test_an_empty_list_refuses_at_once_and_the_next_one_serves_again(tmp_path: Path) -> None:
    async def main() -> None:
        origin, agent = Origin(), Agent(stand_in_stage(), "n0")
        async with listening(origin.talk) as dial:
            raw = config(dial, agent.listen("127.0.0.1"))
            # Older than discovery's version, so that it sends the complete list, which is empty.
            raw["known"]["seq"] = 0
            async with started(raw, tmp_path) as program:
                await wait_for_status(program, 429)
                agent.publish(Host("s1", dial, "a", 0, "ready"))
                await wait_for_status(program, 200)
        agent.close()

    run(main())


def test_a_spoilt_list_leaves_the_last_good_one(tmp_path: Path) -> None:
    async def main() -> None:
        origin, agent = Origin(), Agent(stand_in_stage(), "n0")
        async with listening(origin.talk) as dial:
            agent.publish(Host("s1", dial, "a", 0, "ready"))
            async with started(config("127.0.0.1:1", agent.listen("127.0.0.1")), tmp_path) as program:
                await wait_for_status(program, 200)
                for text in (
                    *map(json.dumps, MALFORMED.values()),
                    "{",
                    '{"seq": 1e400, "whole": true, "hosts": []}',
                ):
                    while not agent.watchers:
                        await asyncio.sleep(0.005)
                    for watcher in list(agent.watchers):
                        watcher.send_chunk(text.encode() + b"\n")
                    assert await fetch_status(program) == 200
                agent.publish(Host("s1", dial, "a", 0, "gone"))
                await wait_for_status(program, 429)  # the next message is applied
        agent.close()

    run(main())


@pytest.mark.parametrize("known", MALFORMED.values(), ids=MALFORMED)
def test_a_spoilt_list_in_the_configuration_is_named(known: object) -> None:
    with pytest.raises(ConfigError, match=r"^not a list of servers: "):
        parse_config(config("127.0.0.1:1") | {"known": known})


@pytest.mark.parametrize(
    "sockets", [0, -5, 1.5, True, "many", 10**400, math.inf, math.nan], ids=lambda value: f"{value!r:.8}"
)
def test_a_number_of_descriptors_that_is_none_is_named(sockets: object) -> None:
    with pytest.raises(ConfigError, match=r"^limits\.sockets: expected a whole number from 1 to "):
        parse_config(config("127.0.0.1:1") | {"limits": {"sockets": sockets}})


def test_limits_that_are_no_object_are_named() -> None:
    with pytest.raises(ConfigError, match=r"^limits: expected an object"):
        parse_config(config("127.0.0.1:1") | {"limits": 64})


def test_an_empty_list_in_the_configuration_is_one() -> None:
    read = parse_config(config("127.0.0.1:1") | {"known": {"seq": 9, "whole": True, "hosts": []}}).known
    assert read is not None and read.servers.complete and not read.servers.entries
