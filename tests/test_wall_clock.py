"""Tests of steps of the wall clock by 5 s or an hour in either direction; servers report their start by that clock."""

from __future__ import annotations

import asyncio
import json
from dataclasses import replace
from typing import Any

import pytest

from cypresspulley import interface as api
from cypresspulley.net.discovery import DiscoveryClient
from tests import world as w
from tests.loopback import Limiter, Origin, Script, ask, forward, listening, run
from tests.test_discovery import HEAD, chunk
from tests.test_endings_clients import until

START = 100_000.0  # in seconds of the decisions' clock
STEPS = [-3600.0, -5.0, 0.0, 5.0, 3600.0]
NAMES = ("s0", "s1", "s2", "s3")
WARM_AFTER_SECONDS = 10.0
QUIET_SECONDS = 7200.0  # since the last change of the server list
DISCOVERY_INTERVAL_SECONDS = 2.0  # between two messages of discovery
REQUESTS = 200  # within a second after a list


class Fleet:
    """Four servers that have long been warm, under steady traffic."""

    def __init__(self) -> None:
        self.world = w.World(w.settings(gateways=1, warm_after=WARM_AFTER_SECONDS), now=START)
        self.world.feed(w.servers(*NAMES))
        self.sent = 0
        self.ask(REQUESTS)
        self.world.advance(self.world.now + QUIET_SECONDS)
        self.ask(REQUESTS)

    def ask(self, count: int, over: float = 1.0) -> dict[str, int]:
        """Send requests, each answered after 20 ms; return how many each server got."""
        world = self.world
        seen = len(world.sends)
        for _ in range(count):
            self.sent += 1
            world.feed(w.request(self.sent))
            world.advance(world.now + over / count)
            if self.sent % 4 == 0:
                world.serve(elapsed=0.02)
        world.serve(elapsed=0.02)
        servers = [server for _, server, _ in world.sends[seen:]]
        return {name: servers.count(name) for name in (*NAMES, "new")}

    def report(self, name: str, birth: float, health: api.Health = api.Health.UP) -> None:
        """Report a change of one server after a message of discovery that did not have it."""
        entry = api.ServerEntry(name, health, "a", 0, 1.0, birth)
        self.world.feed(api.ServerList((entry,), False, previous=self.world.now - DISCOVERY_INTERVAL_SECONDS))

    def cold_at(self, name: str) -> float | None:
        return self.world.gateway.load_balancer.servers[name].cold_since


def test_a_start_is_as_old_as_the_last_word_allows_whatever_the_clock_says() -> None:
    """A start counts from a time between the previous message of discovery and the one that reported it."""
    for step in STEPS:
        for name in ("s1", "new"):
            fleet = Fleet()
            reported_at = fleet.world.now
            fleet.report(name, reported_at + step)
            cold_at = fleet.cold_at(name)
            assert (
                cold_at is not None and reported_at - DISCOVERY_INTERVAL_SECONDS <= cold_at <= reported_at
            ), (
                step,
                name,
            )
            got = fleet.ask(REQUESTS)
            assert got[name] < 0.6 * max(got.values()), (step, name)
            for _ in range(12):
                fleet.ask(REQUESTS)
            got = fleet.ask(REQUESTS)
            assert fleet.cold_at(name) is None, (step, name)
            assert got[name] > 0.5 * max(got.values()), (step, name)


def test_a_start_counts_that_the_list_at_the_process_start_or_one_of_a_draining_server_tells() -> None:
    for step in STEPS:
        world = w.World(w.settings(gateways=1, warm_after=WARM_AFTER_SECONDS), now=START)
        world.feed(w.servers(*NAMES, born=START - 60.0))
        world.advance(START + 0.5)
        entry = replace(world.up["s0"], born=world.now + step)
        world.feed(api.ServerList((entry,), False, previous=START))
        cold_at = world.gateway.load_balancer.servers["s0"].cold_since
        assert cold_at is not None and START <= cold_at <= world.now, step
        fleet = Fleet()
        birth = fleet.world.now + step
        fleet.report("s1", birth, api.Health.DRAINING)
        fleet.report("s1", birth)
        assert fleet.cold_at("s1") is not None, step


@pytest.mark.parametrize("birth", [0.0, START - 60.0], ids=["long ago", "as it was"])
def test_what_is_no_new_start_leaves_a_server_warm(birth: float) -> None:
    fleet = Fleet()
    for name in NAMES:
        fleet.report(name, START - 60.0)
    fleet.world.advance(fleet.world.now + 60.0)
    for _ in range(12):
        fleet.ask(REQUESTS)
    for name in NAMES:
        fleet.report(name, birth)
        assert fleet.cold_at(name) is None
        fleet.report(name, START - 60.0, api.Health.GONE)
    fleet.world.advance(fleet.world.now + 5.0)
    for name in NAMES:
        fleet.report(name, START - 60.0)
        assert fleet.cold_at(name) is None, "it was away from the list, and did not restart"


def test_a_connection_to_the_server_before_its_restart_is_not_used_again() -> None:
    async def main() -> None:
        origin, birth = Origin(), 7200.0
        async with listening(origin.talk) as dial, Limiter(Script(forward), {}) as limiter:
            limiter.upstream.update_server("s1", dial, True, birth)
            assert "200" in (await limiter.fetch(ask()))[0]
            for count, step in enumerate((5.0, -5.0, 3600.0, -3600.0), 2):
                await asyncio.sleep(0.05)  # so that the kept connection is idle and could be reused
                limiter.upstream.update_server("s1", dial, True, birth + step)
                birth += step
                assert "200" in (await limiter.fetch(ask()))[0]
                assert origin.connections == count

    run(main())


def test_each_list_tells_when_discovery_spoke_before(monkeypatch: pytest.MonkeyPatch) -> None:
    """Empty lines count as contact: they say that nothing has changed."""

    async def main() -> None:
        release, said = asyncio.Event(), asyncio.Event()

        async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(HEAD + chunk(row(1, 1000)))
            await said.wait()
            writer.write(chunk(b"\n"))
            await release.wait()
            writer.write(chunk(row(2, 2000)))
            await reader.read()

        script = Script(lambda _event: [])
        async with listening(talk) as address, Limiter(script, {}) as limiter:
            clock = limiter.node._clock
            host, port = address.split(":")
            follower = DiscoveryClient(
                limiter.node.apply_listing, lambda: 0.5, on_contact=limiter.node.record_discovery_contact
            )
            follower.follow(host, int(port))
            await until(lambda: len(lists(script)) == 2)
            first_at = clock()
            said.set()
            await until(
                lambda: (
                    limiter.node._discovery_contact_at is not None
                    and limiter.node._discovery_contact_at > first_at
                )
            )
            beat_at = limiter.node._discovery_contact_at
            release.set()
            await until(lambda: len(lists(script)) == 3)
            last = lists(script)[-1]
            assert last.previous == beat_at and last.entries[0].born == 2.0
            follower.close()

    run(main())


def row(version: int, birth_ms: int) -> bytes:
    host: dict[str, Any] = {
        "host": "s1", "dial": "127.0.0.1:1", "site": "a", "block": 0, "health": "ready", "born_ms": birth_ms,
    }  # fmt: skip
    return json.dumps({"seq": version, "whole": version == 1, "hosts": [host]}).encode() + b"\n"


def lists(script: Script) -> list[api.ServerList]:
    return [event for event in script.events if isinstance(event, api.ServerList)]


@pytest.mark.parametrize("step", [-3600.0, -5.0, 5.0, 3600.0])
def test_a_step_of_the_wall_clock_is_told_once_and_soon(step: float) -> None:
    async def main() -> None:
        script = Script(lambda event: [api.Refuse(event.id, 0.1)] if isinstance(event, api.Request) else [])
        async with Limiter(script, {}) as limiter:
            ahead = [0.0]
            limiter.frontend.on_sweep = lambda: limiter.node.check_wall_clock(
                lambda: limiter.node._clock() + ahead[0]
            )
            await limiter.fetch(ask())
            ahead[0] = step
            await script.until(api.WallClockStep)
            await limiter.fetch(ask())
            kinds = [type(event) for event in script.events if not isinstance(event, api.ServerList)]
            assert kinds == [api.Request, api.WallClockStep, api.Request]
            (step_event,) = [event for event in script.events if isinstance(event, api.WallClockStep)]
            assert step_event.shift == pytest.approx(step, abs=0.01)

    run(main())
