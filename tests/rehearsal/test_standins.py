"""The stand-ins follow their protocols. Scripted peers talk to them on loopback."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from random import Random
from typing import Any

import pytest

from cypresspulley.rehearsal import records as log
from cypresspulley.rehearsal.standins.bagserver import BagServer, KeyedResponseCache
from cypresspulley.rehearsal.standins.counter_server import CounterServer
from cypresspulley.rehearsal.standins.discovery import Agent, Host
from cypresspulley.rehearsal.standins.network import Link, Listener
from cypresspulley.rehearsal.standins.processor import Job, Machine, Processor, crash_bound, warm_up_share
from cypresspulley.rehearsal.standins.run_context import KnownRequest, RunContext
from tests.loopback import read_message, run

MACHINE = Machine(2.0, 2, 1, 0.0, 0.1, 10.0, 2.5, 1.0, 0.1)
ID = "00000000000000aa"


class RecordingContext(RunContext):
    """A run context that keeps its records and gives each attempt the same work."""

    def __init__(self, work: float = 0.01) -> None:
        self.kept = list[log.Record]()
        super().__init__(self.kept.append, lambda _id, _cls: work)

    def records_of(self, kind: type[log.Record]) -> list[Any]:
        return [r for r in self.kept if type(r) is kind]

    def register_request(self, id: str = ID, effect: str = "safe") -> bytes:
        """Register a request as sent by a client; returns it as a limiter forwards it."""
        method = "GET" if effect == "safe" else "POST"
        self.add_request(KnownRequest(id, method, "/look?account=1", b"", "look", effect, 5.0))
        length = "" if method == "GET" else "Content-Length: 0\r\n"
        return f"{method} /look?account=1 HTTP/1.1\r\nX-Request-ID: {id}\r\n{length}\r\n".encode()


def server(context: RunContext, link: Link, machine: Machine = MACHINE, **more: Any) -> BagServer:
    options: dict[str, Any] = {"report_every": 0.1, "idle": 30.0, "connections": 10, "stops_running": False}
    bag_server = BagServer(
        context, "s1", "east", 0, machine, KeyedResponseCache(), Random(1), **(options | more)
    )
    bag_server.add_address(link, "127.0.0.1")
    return bag_server


async def dial(address: str) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    host, port = address.split(":")
    return await asyncio.open_connection(host, int(port))


async def ask(address: str, request: bytes) -> tuple[str, dict[str, str], bytes]:
    reader, writer = await dial(address)
    writer.write(request)
    try:
        return await read_message(reader)
    finally:
        writer.close()


async def until(condition: Callable[[], bool]) -> None:
    while not condition():
        await asyncio.sleep(0.005)


# The processor model, which takes the time as an argument.


def test_running_jobs_share_the_cores() -> None:
    cpu = Processor(Machine(1.0, 2, 1, 0.0, 0.1, 10.0, 2.5, 1.0, 0.1), 0.0, cold=False)
    jobs = [Job(n, 1.0) for n in range(4)]
    assert [cpu.add(job) for job in jobs[:2]] == [True, True] and len(cpu.admit()) == 2
    assert cpu.add(jobs[2]) and not cpu.add(jobs[3])  # the queue holds one
    assert cpu.seconds_until_done(0.0) == pytest.approx(2.0)
    assert cpu.advance(1.0) == [] and jobs[0].left == pytest.approx(0.5)
    assert cpu.advance(2.0) == jobs[:2] and cpu.admit() == [jobs[2]]
    assert cpu.seconds_until_done(2.0) == pytest.approx(1.0)


def test_a_cold_machine_is_slow_and_falls_when_pushed() -> None:
    assert (
        warm_up_share(0, 0.1, 10) == 0.1
        and warm_up_share(5, 0.1, 10) == pytest.approx(0.55)
        and warm_up_share(11, 0.1, 10) == 1
    )
    cpu = Processor(MACHINE, 0.0, cold=True)
    assert cpu.capacity(0.0) == pytest.approx(0.2)
    # 2.5 times 0.2 in 1 s are N = 5 requests of mean work: 5 + 2 sqrt(5) + 2 = 11.5.
    assert crash_bound(0.5, 0.1) == pytest.approx(1.1472, abs=1e-4)
    assert not any(cpu.record_load(0.0, 0.1) for _ in range(11))
    assert cpu.record_load(0.0, 0.1)
    assert not Processor(MACHINE, 0.0, cold=False).record_load(0.0, 100.0)


def test_what_waits_goes_with_its_limiter_and_what_runs_stays() -> None:
    cpu = Processor(Machine(1.0, 1, 5, 0.0, 0.1, 10.0, 2.5, 1.0, 0.1), 0.0, cold=False)
    first, second = Job(0, 1.0), Job(1, 1.0)
    cpu.add(first), cpu.add(second), cpu.admit()
    cpu.drop(second, running_too=False)
    cpu.drop(first, running_too=False)
    assert list(cpu.queue) == [] and cpu.running == [first]
    cpu.drop(first, running_too=True)
    assert cpu.running == []


# The bag server.


def test_a_request_is_run_and_answered_with_a_load_report() -> None:
    async def main() -> None:
        context, link = RecordingContext(), Link("n0")
        bag_server = server(context, link)
        bag_server.start(cold=False)
        status, headers, body = await ask(bag_server.get_address("n0"), context.register_request())
        assert " 200 " in status and json.loads(body)["id"] == ID
        assert headers["x-server-load"].startswith("queue=0,qps=")
        kinds = [type(r).__name__ for r in context.kept]
        assert kinds == ["ServerState", "Arrived", "Ran", "Replied"]
        status, _, _ = await ask(
            bag_server.get_address("n0"), context.register_request().replace(b"/look", b"/took")
        )
        assert " 400 " in status and "no client made" in context.complaints[0]
        assert " 200 " in (await ask(bag_server.get_address("n0"), b"GET /healthz HTTP/1.1\r\n\r\n"))[0]
        bag_server.crash()

    run(main())


def test_a_full_waiting_room_and_a_full_table_turn_away_with_proof() -> None:
    async def main() -> None:
        context, link = RecordingContext(work=5.0), Link("n0")
        bag_server = server(context, link, connections=4)
        bag_server.start(cold=False)
        held = [await dial(bag_server.get_address("n0")) for _ in range(3)]
        for n, (_, writer) in enumerate(held):
            writer.write(context.register_request(f"{n:016x}"))
        await until(lambda: len(context.records_of(log.Arrived)) == 3)
        for expected in (
            1,
            2,
        ):  # the fourth finds the queue full, the fifth the connection limit reached as well
            status, headers, _ = await ask(
                bag_server.get_address("n0"), context.register_request(f"{expected + 10:016x}")
            )
            assert " 503 " in status and headers["x-not-processed"] == "1"
        assert [r.not_processed for r in context.records_of(log.Replied)] == [True, True]
        bag_server.crash()
        for reader, _ in held:
            with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
                await reader.readexactly(1)

    run(main())


def test_keyed_repeats_are_dropped_and_answered_alike() -> None:
    async def main() -> None:
        context, link = RecordingContext(), Link("n0")
        bag_server = server(context, link)
        bag_server.start(cold=False)
        request = context.register_request(effect="keyed")
        first, second = (
            await ask(bag_server.get_address("n0"), request),
            await ask(bag_server.get_address("n0"), request),
        )
        assert first[2] == second[2]
        assert [r.repeat for r in context.records_of(log.Ran)] == [False, True]
        bag_server.crash()

    run(main())


def test_a_crashed_server_refuses_and_returns_at_its_address_cold() -> None:
    async def main() -> None:
        context, link = RecordingContext(), Link("n0")
        bag_server = server(context, link)
        bag_server.start(cold=False)
        address = bag_server.get_address("n0")
        bag_server.crash()
        with pytest.raises(ConnectionRefusedError):
            await dial(address)
        bag_server.start(cold=True)
        assert bag_server.get_address("n0") == address and bag_server.born_ms > 0
        assert " 200 " in (await ask(address, context.register_request()))[0]
        assert [r.what for r in context.records_of(log.ServerState)] == ["up", "crashed", "started"]
        bag_server.crash()

    run(main())


def test_errors_resets_hangs_and_idle_ends() -> None:
    async def main() -> None:
        context, link = RecordingContext(), Link("n0")
        bag_server = server(context, link, idle=0.0)
        bag_server.start(cold=False)
        bag_server.error_share = 1.0
        assert " 500 " in (await ask(bag_server.get_address("n0"), context.register_request()))[0]
        bag_server.error_share, bag_server.reset_share = 0.0, 1.0
        with pytest.raises(ConnectionResetError):
            await ask(bag_server.get_address("n0"), context.register_request())
        bag_server.reset_share = 0.0
        bag_server.set_hung(True)
        waiting = asyncio.ensure_future(ask(bag_server.get_address("n0"), context.register_request()))
        await until(lambda: len(context.records_of(log.Arrived)) == 3)
        assert not waiting.done()
        bag_server.set_hung(False)
        assert " 200 " in (await waiting)[0]
        reader, _ = await dial(bag_server.get_address("n0"))
        assert await reader.read() == b""  # closed after the idle timeout
        bag_server.crash()

    run(main())


# The network.


def test_a_cut_is_silence_and_no_reset() -> None:
    async def main() -> None:
        context, link = RecordingContext(), Link("n0", 0.001)
        bag_server = server(context, link)
        bag_server.start(cold=False)
        reader, writer = await dial(bag_server.get_address("n0"))
        writer.write(context.register_request())
        assert " 200 " in (await read_message(reader))[0]
        link.cut(context.now())
        cut_at = context.now()
        writer.write(context.register_request("00000000000000bb"))
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.15):
                await reader.read(1)
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.15):
                await dial(bag_server.get_address("n0"))
        assert len(context.records_of(log.Arrived)) == 1
        link.heal()
        assert " 200 " in (await read_message(reader))[0]
        # The time within the cut at which it was sent is unknown, so it counts from the start of the cut.
        assert (
            context.records_of(log.Arrived)[1].began <= cut_at + 0.01 < context.records_of(log.Arrived)[1].t
        )
        assert (
            " 200 "
            in (await ask(bag_server.get_address("n0"), context.register_request("00000000000000cc")))[0]
        )
        bag_server.crash()

    run(main())


def test_a_port_in_use_is_named() -> None:
    async def main() -> None:
        first = Listener("127.0.0.1", Link("n0"), lambda link: pytest.fail("nobody dials"))
        with pytest.raises(OSError, match=f"cannot listen on 127.0.0.1:{first.port}"):
            Listener("127.0.0.1", Link("n0"), lambda link: pytest.fail("nobody dials"), first.port)
        first.close()

    run(main())


# The counter server.


async def read_lines(reader: asyncio.StreamReader, count: int) -> list[bytes]:
    return [(await reader.readline()).rstrip() for _ in range(count)]


def test_the_keeper_adds_forgets_and_answers_in_order() -> None:
    async def main() -> None:
        context, link = RecordingContext(), Link("n0")
        keeper = CounterServer(context, 2, 10_000, 1.0, 0.001)
        reader, writer = await dial(keeper.listen(link, "127.0.0.1").address)
        writer.write(b"tally a 1 50\r\n")
        assert await read_lines(reader, 1) == [b"busy"]  # before the run begins
        keeper.is_serving = True
        writer.write(
            b"tally a 1.5 60\r\ntally b 2 60000\r\nping\r\ntally a -0.5 60\r\nsum a\r\ntally a 1 0\r\n"
        )
        assert await read_lines(reader, 6) == [b"ok 1.5", b"ok 2", b"pong", b"ok 1", b"error", b"error"]
        await asyncio.sleep(0.07)
        writer.write(b"tally a 0 60\r\ntally b 0 60\r\n")
        assert await read_lines(reader, 2) == [b"ok 0", b"ok 2"]
        keeper.clear()
        with pytest.raises(ConnectionResetError):
            await reader.readline()
        keeper.close()

    run(main())


def test_a_crowded_keeper_turns_calls_away_and_a_stopped_one_is_silent() -> None:
    async def main() -> None:
        context, link = RecordingContext(), Link("n0")
        keeper = CounterServer(context, 1, 10, 0.15, 0.0)  # a call takes 0.1 s
        keeper.is_serving = True
        reader, writer = await dial(keeper.listen(link, "127.0.0.1").address)
        writer.write(b"tally a 1 60000\r\n" * 4)
        assert await read_lines(reader, 4) == [b"ok 1", b"ok 2", b"busy", b"busy"]
        assert [r.added for r in context.records_of(log.Tallied)].count(True) == 2
        keeper.stopped = True
        writer.write(b"tally a 1 60000\r\nping\r\n")
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.1):
                await reader.readline()
        keeper.close()

    run(main())


def test_the_keeper_resets_what_goes_beyond_its_connections() -> None:
    async def main() -> None:
        keeper, link = CounterServer(RecordingContext(), 1, 1000, 1.0, 0.0), Link("n0")
        address = keeper.listen(link, "127.0.0.1").address
        opened = [await dial(address) for _ in range(33)]
        with pytest.raises(ConnectionResetError):
            await opened[-1][0].read(1)
        opened[0][1].write(b"ping\r\n")
        assert await read_lines(opened[0][0], 1) == [b"pong"]
        keeper.close()

    run(main())


# Discovery.


def host(name: str, health: str = "ready") -> Host:
    return Host(name, "127.0.0.1:9", "east", 0, health)


async def read_chunk(reader: asyncio.StreamReader) -> Any:
    size = int(await reader.readline(), 16)
    text = (await reader.readexactly(size + 2)).strip()
    return json.loads(text) if text else None


def test_a_watch_tells_changes_and_goes_on_from_a_version() -> None:
    async def main() -> None:
        context = RecordingContext()
        agent = Agent(context, "n0")
        address = agent.listen("127.0.0.1")
        agent.publish(host("s1"), host("s2"))
        reader, writer = await dial(address)
        writer.write(b"GET /v1/servers?follow=1 HTTP/1.1\r\n\r\n")
        await reader.readuntil(b"\r\n\r\n")
        whole = await read_chunk(reader)
        assert whole["whole"] and [h["host"] for h in whole["hosts"]] == ["s1", "s2"]
        agent.publish(host("s2", "gone"))
        change = await read_chunk(reader)
        assert not change["whole"] and change["hosts"][0]["health"] == "gone"
        assert agent.delivered_list()["seq"] == change["seq"] and [
            h["host"] for h in agent.delivered_list()["hosts"]
        ] == ["s1"]
        writer.close()
        await until(lambda: not agent.watchers)
        agent.publish(host("s3"))  # not delivered to anyone, so a restart still uses the old list
        assert [h["host"] for h in agent.delivered_list()["hosts"]] == ["s1"]
        reader, writer = await dial(address)
        writer.write(b"GET /v1/servers?follow=1&since=%d HTTP/1.1\r\n\r\n" % change["seq"])
        await reader.readuntil(b"\r\n\r\n")
        assert [h["host"] for h in (await read_chunk(reader))["hosts"]] == ["s3"]
        status, _, body = await ask(address, b"GET /v1/servers HTTP/1.1\r\n\r\n")
        assert " 200 " in status and len(json.loads(body)["hosts"]) == 2
        told = [r.told for r in context.records_of(log.Listed)]
        assert told == [False, True, False, True, False, True, True]
        agent.close()

    run(main())


def test_a_silent_agent_says_nothing_and_tells_all_when_it_wakes() -> None:
    async def main() -> None:
        agent = Agent(RecordingContext(), "n0")
        address = agent.listen("127.0.0.1")
        agent.publish(host("s1"))
        agent.silent = True
        agent.publish(host("s1", "draining"))
        reader, writer = await dial(address)
        writer.write(b"GET /v1/servers?follow=1 HTTP/1.1\r\n\r\n")
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.1):
                await reader.read(1)
        assert agent.hosts["s1"].health == "ready"
        agent.resume()
        assert agent.hosts["s1"].health == "draining"
        agent.close()

    run(main())
