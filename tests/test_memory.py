"""Tests the shares of the memory, and who is ended when requests hold too much."""

from __future__ import annotations

import asyncio
import json
import subprocess
import sys
from pathlib import Path

import pytest

from cypresspulley import interface as api
from cypresspulley.config import ConfigError, parse_config
from cypresspulley.lifecycle import Lifecycle
from cypresspulley.memory import (
    ACCOUNT_BYTES,
    BYTES_PER_MEGABYTE,
    CONNECTION_BYTES,
    CONSUMERS,
    divide_memory,
    find_least_limit,
)
from cypresspulley.net.frontend import REQUEST_OBJECT_BYTES
from cypresspulley.net.memory_ledger import MemoryLedger
from cypresspulley.policy.gateway import Gateway
from cypresspulley.resident import TRIM_INTERVAL_SECONDS, TRIM_SLACK_BYTES, MemoryTrimmer
from cypresspulley.service import Service
from cypresspulley.takeover.channel import Folder
from tests.loopback import SETTINGS, Limiter, Script, ask, forward, run
from tests.test_program import config

AT_REST = 27 * BYTES_PER_MEGABYTE
CONNECTIONS = 483
REQUESTS_AT_ONCE = 20
POST = "/post?account=00000000b4d65521"


@pytest.mark.parametrize("limit", [40, 64, 96, 128, 192])
def test_the_shares_and_all_connections_fit_into_the_limit(limit: int) -> None:
    budget = divide_memory(limit * BYTES_PER_MEGABYTE, AT_REST, CONNECTIONS)
    shares = budget.request_bytes + budget.transfer_bytes + budget.accounts * ACCOUNT_BYTES
    assert AT_REST + CONNECTIONS * CONNECTION_BYTES + shares < limit * BYTES_PER_MEGABYTE
    assert sum(each.share for each in CONSUMERS) < 1.0


@pytest.mark.parametrize("limit", [96, 128, 192])
def test_the_two_processes_of_an_upgrade_fit_into_one_limit(limit: int) -> None:
    budget = divide_memory(limit * BYTES_PER_MEGABYTE, AT_REST, CONNECTIONS, processes=2)
    held = AT_REST + CONNECTIONS * CONNECTION_BYTES // 2 + budget.request_bytes + budget.transfer_bytes
    assert 2 * held < limit * BYTES_PER_MEGABYTE


def test_both_sides_of_an_upgrade_share_the_memory_until_one_has_ended(tmp_path: Path) -> None:
    async def main() -> None:
        told = list[int]()
        async with Limiter(Script(forward), {}) as limiter:
            service = Service(Lifecycle(), Folder(str(tmp_path), "limiter"))
            service.share_memory = told.append
            service.serve(limiter.node, limiter.frontend)
            predecessor = service._predecessor
            assert predecessor is not None
            service.set_successor(predecessor)
            service.set_successor(None)
            service.set_successor(predecessor)
            service.predecessor_ended()
            assert told == [2, 1, 2, 1]
            service.close()

    run(main())


class Holding:
    def __init__(self, ledger: MemoryLedger, size: int) -> None:
        self.ledger, self.held_bytes = ledger, size
        ledger.adjust(size)

    def shed(self) -> None:
        self.ledger.adjust(-self.held_bytes)
        self.held_bytes = 0


def test_the_largest_are_ended_first_and_of_equals_the_newest() -> None:
    ledger = MemoryLedger()
    ledger.limit_bytes = 100
    small, old, new = Holding(ledger, 10), Holding(ledger, 50), Holding(ledger, 50)
    assert ledger.is_exceeded
    ledger.shed([small, old, new])
    assert (small.held_bytes, old.held_bytes, new.held_bytes) == (10, 50, 0) and ledger.held_bytes == 60


def test_bodies_beyond_the_bound_are_answered_and_small_requests_go_on() -> None:
    """Guards against a process that is killed for memory: whoever holds most is given up, with an answer."""

    async def main() -> None:
        async with Limiter(Script(lambda _event: []), {}) as limiter:
            limiter.frontend.memory.limit_bytes = 8 * 60_000
            clients = []
            for _ in range(REQUESTS_AT_ONCE):
                reader, writer = await limiter.connect()
                writer.write(ask(POST, b"x" * 60_000, ttl=60_000)[:-1])
                clients.append((reader, writer))
            answered = list[asyncio.StreamReader]()
            while len(answered) < REQUESTS_AT_ONCE // 2:
                await asyncio.sleep(0.01)
                answered = [reader for reader, _ in clients if reader._buffer]  # type: ignore[attr-defined]
            assert all(b" 503 " in bytes(reader._buffer) for reader in answered)  # type: ignore[attr-defined]
            assert limiter.frontend.memory.held_bytes <= limiter.frontend.memory.limit_bytes
            limiter.script.answer = lambda event: (
                [api.Refuse(event.id, 0.1)] if isinstance(event, api.Request) else []
            )
            assert " 429 " in (await limiter.fetch(ask()))[0]
            for _, writer in clients:
                writer.transport.abort()
            while limiter.frontend._clients:
                await asyncio.sleep(0.01)
            assert limiter.frontend.memory.held_bytes == 0

    run(main())


def test_what_a_request_held_is_counted_no_longer_when_it_is_answered() -> None:
    async def main() -> None:
        async with Limiter(Script(forward), {}) as limiter:
            limiter.script.answer = lambda event: (
                [api.Refuse(event.id, 0.1)] if isinstance(event, api.Request) else []
            )
            for size in (10, 3000, 60_000):
                await limiter.fetch(ask(POST, b"x" * size))
            assert limiter.frontend.memory.held_bytes == 0 and limiter.upstream.relay.buffered == 0

    run(main())


def request(number: int) -> api.Request:
    return api.Request(number, "lookup", "basic", 1.0, f"{number:016x}", 1.0, 1)


def test_ever_new_accounts_are_kept_up_to_a_bound_and_make_room_when_they_are_as_new() -> None:
    """Guards against memory that grows with each name: new customers beyond the bound are refused at once."""
    gateway = Gateway(SETTINGS, 1, 0.0)
    gateway.quotas.max_accounts = 4
    gateway.handle(0.0, api.ServerList((api.ServerEntry("s1", api.Health.UP, "a"),), True))
    for number in range(1, 5):
        gateway.handle(1.0, request(number))
    actions = gateway.handle(1.0, request(5))
    assert any(isinstance(each, api.Refuse) and each.why == "accounts" for each in actions)
    assert len(gateway.quotas.accounts) == 4
    for number in range(1, 5):
        gateway.handle(1.1, api.Outcome(number, 0, "s1", api.Status.OK, 0.1, True, {}))
    actions = gateway.handle(9.0, request(52))
    assert not any(isinstance(each, api.Refuse) for each in actions)
    assert len(gateway.quotas.accounts) == 4


@pytest.mark.parametrize("value", [0, -1, "64", 1.5, True])
def test_a_limit_that_is_no_number_of_megabytes_is_refused(value: object) -> None:
    raw = config("127.0.0.1:1") | {"limits": {"memory_mb": value}}
    with pytest.raises(ConfigError, match=r"limits\.memory_mb: expected a whole number"):
        parse_config(raw)


def test_a_limit_under_which_no_limiter_works_is_refused_with_the_number_wanted(tmp_path: Path) -> None:
    raw = config("127.0.0.1:1") | {"limits": {"memory_mb": 8}}
    (tmp_path / "config.json").write_text(json.dumps(raw))
    done = subprocess.run(
        [sys.executable, "-m", "cypresspulley"], env={"LB_CONFIG": str(tmp_path / "config.json")},
        capture_output=True, text=True, timeout=30,
    )  # fmt: skip
    assert done.returncode == 2 and "limits.memory_mb: expected at least " in done.stderr
    assert find_least_limit(AT_REST) == 29


def test_memory_is_given_back_while_the_process_holds_more_than_at_rest() -> None:
    resident, released = [AT_REST + TRIM_SLACK_BYTES], list[float]()
    trimmer = MemoryTrimmer(AT_REST, lambda: resident[0], lambda: released.append(now))
    for now in (0.0, TRIM_INTERVAL_SECONDS):
        trimmer.check(now)
    assert released == []
    resident[0] += 1
    for now in (2 * TRIM_INTERVAL_SECONDS, 2.5 * TRIM_INTERVAL_SECONDS, 3 * TRIM_INTERVAL_SECONDS):
        trimmer.check(now)
    assert released == [2 * TRIM_INTERVAL_SECONDS, 3 * TRIM_INTERVAL_SECONDS]


def test_the_objects_of_pipelined_requests_count_as_memory() -> None:
    """Guards against requests that are small on the wire, and take memory by their number."""

    async def main() -> None:
        async with Limiter(Script(lambda _event: []), {}) as limiter:
            reader, writer = await limiter.connect()
            writer.write(b"".join(ask() for _ in range(5)))
            await limiter.script.until(api.Request, 5)
            while not limiter.frontend.memory.held_bytes:
                await asyncio.sleep(0)
            assert limiter.frontend.memory.held_bytes >= 4 * REQUEST_OBJECT_BYTES
            writer.transport.abort()
            while limiter.frontend._clients:
                await asyncio.sleep(0)
            assert limiter.frontend.memory.held_bytes == 0
            assert not await reader.read()

    run(main())
