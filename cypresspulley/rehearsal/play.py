"""Plays a scenario on sockets: stand-ins and clients run in this process, each limiter in a process of its own.

``ScenarioRunner`` applies the plan's faults to limiters, servers, halls, the keeper (counter) and discovery.
"""

from __future__ import annotations

import asyncio
import contextlib
import gc
import os
import resource
import shutil
import signal
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import replace
from functools import partial
from itertools import count
from pathlib import Path
from typing import TYPE_CHECKING, Any

from cypresspulley.net.node import UnixClock
from cypresspulley.rehearsal import records as log
from cypresspulley.rehearsal.limiters import (
    HarnessError,
    LimiterProcess,
    free_datagram_port,
    free_port,
    virtual_time_only,
    wire_settings,
)
from cypresspulley.rehearsal.overlapping_faults import OverlappingFaults, Value
from cypresspulley.rehearsal.plan import Plan, PlannedFault, draw_plan, random_for, sample_work
from cypresspulley.rehearsal.scenario import VIRTUAL_ONLY_TRIGGERS, Scenario, limiter_names, server_names
from cypresspulley.rehearsal.standins.bagserver import BagServer, KeyedResponseCache
from cypresspulley.rehearsal.standins.clients import ClientFleet, FrontBalancer
from cypresspulley.rehearsal.standins.counter_server import CounterServer
from cypresspulley.rehearsal.standins.discovery import Agent, Host
from cypresspulley.rehearsal.standins.network import Link
from cypresspulley.rehearsal.standins.processor import Machine
from cypresspulley.rehearsal.standins.run_context import KnownRequest, RunContext

if TYPE_CHECKING:
    from cypresspulley.rehearsal.standins.plan_book_server import PlanBookServer
    from cypresspulley.rehearsal.together import FleetEnvironment, FleetHarness

SHIPPED_LIMITER = [sys.executable, "-m", "cypresspulley"]
WARM_UP_SECONDS = 0.3  # between the last limiter's readiness and the first request
HEARTBEAT_SECONDS = 0.05  # between measurements of this process's own lateness
# Garbage collector thresholds during a run: new objects per young collection, and young collections per older one. A
# run makes few reference cycles, and a collection of everything that it recorded stalled this process for 170 ms.
GC_YOUNG_OBJECTS = 5_000
GC_OLD_THRESHOLD = 100_000
USAGE_SAMPLE_SECONDS = 0.5  # between samples of the limiters' CPU time and memory
# SIGKILL follows SIGTERM after the longest deadline, but at most MAX_KILL_WAIT_SECONDS, plus 0.7 s of grace.
MAX_KILL_WAIT_SECONDS = 3.0
KILL_GRACE_SECONDS = 0.7
FINISH_TIMEOUT_SECONDS = 12.0  # after the last arrival, for requests that are still open
SERVERS_PER_CELL = 4
MAX_DESCRIPTORS = 8192  # limit that this process sets for itself; 64 per server and limiter are plenty
RUN_NUMBERS = count()
START_ALLOWANCE_SECONDS = (
    4.0,
    0.4,
)  # from setup to second 0 if that is a fixed Unix second: a base, and an addition per limiter
# The server attribute that each fault sets to its size, and later back to 0: the share of requests that it affects.
SERVER_SHARES = {
    "server-errors": "error_share",
    "server-resets": "reset_share",
    "server-spoilt": "spoilt_share",
    "server-doubled": "doubled_share",
    "server-lies": "lie_share",
}


def points_per_unit(scenario: Scenario) -> float:
    """Return the points per unit from the operators' file of a GraphQL scenario, or 0 for other scenarios."""
    if scenario.graphql is None:
        return 0.0
    from cypresspulley.graphql.options import load_options
    from cypresspulley.rehearsal.standins.graphql import OPERATORS_PATH

    return load_options(str(OPERATORS_PATH)).points_per_unit


def operators_path(scenario: Scenario) -> str | None:
    """Return the path of the limiters' operators' file, if the scenario has one."""
    if scenario.graphql is None:
        return None
    from cypresspulley.rehearsal.standins.graphql import OPERATORS_PATH

    return str(OPERATORS_PATH)


MakeLimiter = Callable[[str, str], LimiterProcess]  # from its name and the host that it listens on
Progress = Callable[[float, "ScenarioRunner"], None]


def describe_run(scenario: Scenario, plan: Plan) -> log.Day:
    """Return the record of the facts that the judge needs."""
    halls, fleet = scenario.fleet.halls, scenario.fleet
    return log.Day(
        t=-60.0, scenario=scenario.name, seed=plan.seed, digest=plan.digest(), seconds=scenario.seconds,
        goal=scenario.goal.service,
        classes=tuple(
            log.ClassFacts(c.name, c.aim_ms / 1000, c.worth, c.effect, c.group, c.window,
                           c.work_ms / 1000)
            for c in scenario.classes
        ),
        plans=tuple(
            log.PlanFacts(p.name, p.rate, p.burst, p.price, p.over_worth, p.over_cost, p.open_limit,
                          p.rate * p.ceiling, p.burst * p.ceiling)
            for p in scenario.plans
        ),
        limiters={name: halls[i % len(halls)] for i, name in enumerate(limiter_names(scenario))},
        max_units=1.0, drain_grace=fleet.drain_grace, fall_multiple=fleet.fall_multiple,
        fall_seconds=fleet.fall_seconds, mean_work=mean_work(scenario),
    )  # fmt: skip


def mean_work(scenario: Scenario) -> float:
    """Return the mean CPU seconds of a request over all classes, weighted by their shares."""
    return sum(c.share * c.work_ms for c in scenario.classes) / sum(c.share for c in scenario.classes) / 1000


def min_plan_fraction(scenario: Scenario) -> float:
    """Return the smallest fraction of a plan with a ceiling that the scenario's plan changes leave."""
    return min((fault.size for fault in scenario.faults if fault.kind == "plan-churn"), default=1.0)


class LoopbackNetwork:
    """Addresses in 127.0.0.0/8 and the links between halls."""

    def __init__(self, scenario: Scenario, base: str) -> None:
        self._base = base
        self._network = scenario.network
        self.links = list[tuple[Link, str, str]]()  # each with the halls at its ends

    def host(self, group: int, number: int) -> str:
        """Return the address of stand-in ``number`` (0..249) in address group ``group`` (0..254)."""
        return f"{self._base}.{group}.{number + 1}"

    def link(self, limiter: str, here: str, there: str) -> Link:
        ms = self._network.same_ms if here == there else self._network.cross_ms
        link = Link(limiter, ms / 1000)
        self.links.append((link, here, there))
        return link

    def cut(self, hall: str, cut: bool, now: float) -> None:
        for link, here, there in self.links:
            if here != there and hall in (here, there):
                link.cut(now) if cut else link.heal()


class ScenarioRunner:
    """Runs one play: owns its stand-ins, clients and limiters, and applies the faults."""

    def __init__(
        self, scenario: Scenario, plan: Plan, make_limiter: MakeLimiter, sink: Callable[[log.Record], None],
        base: str, clock: Callable[[], float] = time.monotonic, unix: Callable[[], float] = time.time,
        environment: FleetEnvironment | None = None,
    ) -> None:  # fmt: skip
        classes = {c.name: c for c in scenario.classes}
        self.scenario = scenario
        self.plan = plan
        self.fleet_harness: FleetHarness | None = None  # for scenarios with [together]
        self._sink = sink
        self.context = RunContext(
            self._record, lambda id, cls: sample_work(plan.seed, id, classes[cls]), clock, unix
        )
        self.context.on_arrival = self._on_arrival
        self.net = LoopbackNetwork(scenario, base)
        self._overlapping = OverlappingFaults()
        self.day = describe_run(scenario, plan)
        self.halls = scenario.fleet.halls
        k = scenario.keeper
        self.keeper = CounterServer(self.context, k.parts, k.calls_per_second, k.waiting_ms / 1000, k.call_ms / 1000,
                             random_for(plan.seed, "keeper"))  # fmt: skip
        self._keeper_links = dict[str, Link]()
        self._keeper_at = dict[str, str]()
        self.agents = {name: Agent(self.context, name) for name in limiter_names(scenario)}
        self._agent_at = dict[str, str]()
        self.servers = dict[str, BagServer]()
        self._memories = dict[tuple[str, int], KeyedResponseCache]()
        self.limiters = {
            name: make_limiter(name, self.net.host(250, i)) for i, name in enumerate(limiter_names(scenario))
        }
        for each in self.limiters.values():
            each.has_operator_address = scenario.uses_operator_calls
        self.front = FrontBalancer(list(self.limiters))
        self.clients = ClientFleet(
            self.context, self.front, lambda name: self.limiters[name].address, scenario.clients, classes,
            plan.seed, scenario.seconds, points_per_unit(scenario),
        )  # fmt: skip
        self._random = random_for(plan.seed, "director")
        self._tasks = set[asyncio.Task[None]]()
        self._waiting_kills = list[tuple[str, PlannedFault]]()
        self._failure: BaseException | None = None
        self._next_server = scenario.fleet.servers
        self._watched_processes = dict[str, object]()  # by limiter, the process whose exit is awaited
        self._starting = set[str]()  # limiters that are not ready yet
        self._reload_when_ready = set[str]()
        self.returning = set[str]()  # limiters that are down and will be started again
        self.failed = asyncio.Event()
        self.books: PlanBookServer | None = None
        if environment is not None:
            from cypresspulley.rehearsal.together import FleetHarness

            self.fleet_harness = FleetHarness(
                scenario, plan, self.context, self.limiters, self.day.limiters, environment
            )
            self.returning |= self.fleet_harness.late  # they start at the time of their fault

    def _record(self, record: log.Record) -> None:
        """Write a record to the log and, with [together], to the harness's history."""
        self._sink(record)
        if self.fleet_harness is not None:
            self.fleet_harness.harness.record(record)

    # Setup.

    def start_stand_ins(self) -> None:
        """Start all stand-ins. The servers are warm, and every discovery agent has the whole list."""
        fleet = self.scenario.fleet
        for number, name in enumerate(server_names(self.scenario)):
            hall = fleet.halls[number % len(fleet.halls)]
            self._add_server(name, hall, number // len(fleet.halls) // SERVERS_PER_CELL, number).start(
                cold=False
            )
        for index, limiter in enumerate(self.limiters):
            link = self.net.link(limiter, self.day.limiters[limiter], self.halls[-1])
            self._keeper_links[limiter] = link
            self._keeper_at[limiter] = self.keeper.listen(link, self.net.host(251, index)).address
            self._agent_at[limiter] = self.agents[limiter].listen(self.net.host(252, index))
            agent = self.agents[limiter]
            agent.publish(*(self._host(server, limiter, "ready") for server in self.servers.values()))
            agent.delivered, agent.delivered_seq = dict(agent.hosts), agent.seq

    async def start_plan_book(self) -> None:
        """Start the plan book's writer, with an address for each limiter, before any limiter starts."""
        if not self.scenario.uses_plan_book:
            return
        from cypresspulley.rehearsal.standins.plan_book_server import PlanBookServer

        rng = random_for(self.plan.seed, "books")
        self.books = PlanBookServer(self.context, self.scenario.plans, min_plan_fraction(self.scenario), rng)
        for index, limiter in enumerate(self.limiters):
            host = self.net.host(253, index)
            self.books.addresses[limiter] = host, free_port(host)
            await self.books.open(limiter)
            self.limiters[limiter].configure_plan_book(*self.books.addresses[limiter])

    async def open_fleet_harness(self) -> None:
        """Open the datagram relay and write the limiters' fleet files, before any limiter starts."""
        if self.fleet_harness is not None:
            await self.fleet_harness.open()

    def begin_run(self) -> None:
        """Start the clock of the run once all limiters are ready, with [together] at a whole Unix second.

        Raise ``HarnessError`` if the limiters were not ready in time.
        """
        if self.fleet_harness is None:
            return self.context.begin(WARM_UP_SECONDS)
        after = self.fleet_harness.seconds_until_start()
        if after < WARM_UP_SECONDS:
            raise HarnessError(
                f"the limiters were ready {WARM_UP_SECONDS - after:.1f} s too late: give them idle cores"
            )
        self.context.begin(after)
        asyncio.get_running_loop().call_later(after, self.fleet_harness.begin)

    def _add_server(
        self, name: str, hall: str, cell: int, place: int, like: BagServer | None = None
    ) -> BagServer:
        fleet = self.scenario.fleet
        machine = Machine(
            fleet.cores, fleet.slots, fleet.waiting, fleet.thrash, fleet.cold_share, fleet.cold_seconds,
            fleet.fall_multiple, fleet.fall_seconds, self.day.mean_work,
        )  # fmt: skip
        server = BagServer(
            self.context, name, hall, cell, machine, self._memories.setdefault((hall, cell), KeyedResponseCache()),
            random_for(self.plan.seed, "server", name), fleet.report_ms / 1000, fleet.idle_seconds,
            fleet.connections, fleet.stops_running,
        )  # fmt: skip
        for index, limiter in enumerate(self.limiters):
            link = self.net.link(limiter, self.day.limiters[limiter], hall)
            host, port = self.net.host(index, place), 0
            if like is not None:  # the former address of another server
                host, text = like.get_address(limiter).rsplit(":", 1)
                port = int(text)
            server.add_address(link, host, port)
        self.servers[name] = server
        return server

    def _host(self, server: BagServer, limiter: str, health: str) -> Host:
        dial = server.get_address(limiter)
        return Host(server.name, dial, server.hall, server.cell, health, server.born_ms)

    def _config(self, limiter: str, known: dict[str, Any]) -> dict[str, Any]:
        index = list(self.limiters).index(limiter)
        limits = self.scenario.limiters
        return {
            "discovery": self._agent_at[limiter], "counter": self._keeper_at[limiter],
            "limits": {"cores": 1.0, "memory_mb": limits.memory_mb, "sockets": limits.sockets},
            "known": known,
            "settings": self._settings(index, limiter),
        }  # fmt: skip

    def _settings(self, index: int, limiter: str) -> dict[str, Any]:
        settings = wire_settings(self.scenario, index, self.day.limiters[limiter])
        if self.books is not None:  # until a limiter has its plan book, the lowest possible plans apply
            part = min_plan_fraction(self.scenario)
            for row in settings["tariffs"]:
                if row["never_over_rate"] > 0:
                    for key in ("quota_rate", "store_size"):
                        row[key] *= part
                    for key in ("never_over_rate", "hard_burst"):
                        row[key] *= part * part
        return settings

    # Limiters.

    async def start_limiter(self, name: str, known: str = "last") -> None:
        """Start a limiter and wait until it is ready.

        Its configuration has the last (stale) server list, or for ``known`` "gone" one of servers that do not exist.
        """
        limiter, agent = self.limiters[name], self.agents[name]
        listed = agent.delivered_list()
        if known == "gone":
            listed = {"seq": 0, "whole": True, "hosts": [self._dead_host(name, n).row() for n in range(3)]}
        limiter.configure(self._config(name, listed))
        now = self.context.now()
        self.context.record(log.LimiterState(now, name, "started"))
        hosts = {
            row["host"]: (
                row["health"],
                row["born_ms"] / 1000 - self.context.unix_ms(0) / 1000 if row["born_ms"] else -1e9,
            )
            for row in listed["hosts"]
        }
        self.context.record(log.Listed(now, name, True, True, hosts))
        self._starting.add(name)
        await limiter.start()
        self._watched_processes[name] = limiter.process
        self._spawn(self._watch_end(limiter))
        try:
            await limiter.wait_until_ready()
        finally:
            self._starting.discard(name)
        self.context.record(log.LimiterState(self.context.now(), name, "ready"))
        if name in self._reload_when_ready:
            self._reload_when_ready.discard(name)
            self._signal_reload(limiter)
        self.front.mark_up(name)

    def _dead_host(self, limiter: str, number: int) -> Host:
        """Return a server that no longer exists: nothing listens on its address."""
        index = list(self.limiters).index(limiter)
        host = self.net.host(index, 240 + number)
        return Host(f"bag-gone-{number}", f"{host}:9", self.halls[0], 0, "ready")

    async def _watch_end(self, limiter: LimiterProcess) -> None:
        process = limiter.process
        code = await limiter.wait_for_exit()
        if limiter.process is not process:
            # A successor process has taken over, so only a crash of the old process matters.
            if code != 0:
                self.context.complain(f"the old process of {limiter.name} ended with {code}")
            return
        what = "exited" if limiter.expected_end else "crashed"
        self.context.record(log.LimiterState(self.context.now(), limiter.name, what, code))
        notice = self._random.uniform(*self.scenario.clients.notice)
        asyncio.get_running_loop().call_later(notice, self._notice_exit, limiter)

    def _notice_exit(self, limiter: LimiterProcess) -> None:
        if not limiter.running:
            self.front.mark_down(limiter.name)

    def kill(self, name: str) -> None:
        """Kill a limiter. The record precedes SIGKILL, so that the judge excuses the connections that break."""
        limiter = self.limiters[name]
        if limiter.running and not limiter.expected_end:
            self.context.record(log.LimiterState(self.context.now(), name, "killed"))
            limiter.signal(signal.SIGKILL)

    async def _kill_and_return(self, name: str, spec_known: str, back_after: float) -> None:
        if name in self.returning:
            return  # already down, and will be started once
        self.returning.add(name)
        self.kill(name)
        await self.limiters[name].wait_or_kill()
        await asyncio.sleep(back_after)
        await self.start_limiter(name, spec_known)
        self.returning.discard(name)

    async def _restart(self, name: str, back_after: float) -> None:
        limiter = self.limiters[name]
        if name in self.returning:
            return
        self.returning.add(name)
        self.context.record(log.LimiterState(self.context.now(), name, "stopping"))
        limiter.signal(signal.SIGTERM)
        kill = asyncio.get_running_loop().call_later(self._kill_delay, limiter.signal, signal.SIGKILL)
        await asyncio.sleep(
            0.3
        )  # the front stops using the limiter shortly after the announcement of the restart
        if not self.scenario.clients.until_closed:
            self.front.mark_down(name)
        await limiter.wait_or_kill()
        self.front.mark_down(name)
        kill.cancel()
        await asyncio.sleep(back_after)
        await self.start_limiter(name)
        self.returning.discard(name)

    @property
    def _kill_delay(self) -> float:
        """Seconds after SIGTERM at which the platform sends SIGKILL at the earliest."""
        longest = max(row.deadline_ms for row in self.scenario.classes) / 1000
        return min(MAX_KILL_WAIT_SECONDS, longest) + KILL_GRACE_SECONDS

    async def _restart_all_but(self, name: str, back_after: float) -> None:
        """Restart all other limiters at once."""
        await asyncio.gather(*(self._restart(other, back_after) for other in self.limiters if other != name))

    async def _start_late(self, name: str) -> None:
        if self.limiters[name].start_count == 0:
            await self.start_limiter(name)
            self.returning.discard(name)

    async def _purge(self, name: str) -> None:
        if self.fleet_harness is not None and self.limiters[name].running:
            await self.fleet_harness.purge(name)

    # Operators' calls.

    async def _upgrade(self, name: str) -> None:
        limiter = self.limiters[name]
        if name in self.returning or not limiter.running:
            return
        self.returning.add(name)
        watch = asyncio.ensure_future(limiter.upgrade())
        while limiter.process is not None and not watch.done() and limiter.start_count:
            await asyncio.sleep(0.01)
            if self._watched_processes.get(name) is not limiter.process:
                self._watched_processes[name] = limiter.process
                self._spawn(self._watch_end(limiter))
        if await watch:
            self.context.record(log.LimiterState(self.context.now(), name, "upgraded"))
        self.returning.discard(name)

    async def _drain_limiter(self, name: str, lasts: float) -> None:
        limiter = self.limiters[name]
        if name in self.returning or await limiter.call("PUT", "/v1/limiter/drain") != 200:
            return
        self.context.record(log.LimiterState(self.context.now(), name, "drained"))
        await asyncio.sleep(0.3)  # the front polls readiness, so it stops using the limiter a little later
        self.front.mark_down(name)
        await asyncio.sleep(lasts)
        if limiter.running and await limiter.call("PUT", "/v1/limiter/activate") == 200:
            self.context.record(log.LimiterState(self.context.now(), name, "activated"))
            self.front.mark_up(name)

    async def _server_by_hand(self, name: str, lasts: float) -> None:
        """Ban a server at every limiter, restart it once its work is done and lift the ban while it is cold."""
        server = self.servers[name]
        await asyncio.gather(*(self._ban(limiter, name, True) for limiter in self.limiters.values()))
        await asyncio.sleep(min(lasts / 2, self.scenario.fleet.drain_grace + 1.0))
        if not server.gone and server.alive:
            server.crash()
            await asyncio.sleep(0.1)
            server.start(cold=True)
            self._publish(server, "ready")
        await asyncio.sleep(lasts / 2)
        await asyncio.gather(*(self._ban(limiter, name, False) for limiter in self.limiters.values()))

    async def _ban(self, limiter: LimiterProcess, server: str, out: bool) -> None:
        if not limiter.running:
            return
        if not out:  # the server may be used from the call on, whenever the answer arrives
            self.context.record(log.Banned(self.context.now(), limiter.name, server, False))
        status = await limiter.call("PUT", f"/v1/servers/{server}/{'suspend' if out else 'resume'}")
        if out and status == 200:
            self.context.record(log.Banned(self.context.now(), limiter.name, server, True))
        elif status != 200 and limiter.running and limiter.name not in self.returning:
            self.context.complain(f"{limiter.name} answered {status} to an operators' call on {server}")

    def _reload(self, name: str) -> None:
        """Move discovery and counter to new ports, replace the limiter's configuration file and send SIGHUP."""
        index = list(self.limiters).index(name)
        agent, limiter = self.agents[name], self.limiters[name]
        self._agent_at[name] = agent.listen(self.net.host(252, index))
        self._keeper_at[name] = self.keeper.listen(
            self._keeper_links[name], self.net.host(251, index)
        ).address
        limiter.configure(self._config(name, agent.delivered_list()))
        if name in self._starting:
            self._reload_when_ready.add(name)  # before it is ready, SIGHUP may end the process
        elif limiter.running:
            self._signal_reload(limiter)

    def _signal_reload(self, limiter: LimiterProcess) -> None:
        self.context.record(log.LimiterState(self.context.now(), limiter.name, "reloaded"))
        limiter.signal(signal.SIGHUP)

    # Servers.

    def _on_arrival(self, server: BagServer, limiter: str, known: KnownRequest) -> None:
        """Apply a pending kill to the limiter whose unsafe attempt has arrived whole at a server."""
        for wait in self._waiting_kills:
            name, fault = wait
            if name == limiter and known.effect == "unsafe":
                self._waiting_kills.remove(wait)
                self._record_fault(fault, name)
                self._spawn(self._kill_and_return(name, fault.spec.known, fault.spec.back_after))
                self.kill(name)  # at once, not when the task runs
                return

    def _kill_at_step(self, name: str, fault: PlannedFault) -> None:
        """Kill a limiter that has reached the turn or write of its fault. It runs no further code."""
        limiter = self.limiters[name]
        if limiter.running and not limiter.expected_end:
            self._record_fault(fault, name)
            self.kill(name)
            self._spawn(self._kill_and_return(name, fault.spec.known, fault.spec.back_after))

    def _pause(self, name: str, on: bool) -> None:
        """Stop a limiter with SIGSTOP or continue it with SIGCONT, which has no effect on a new process."""
        limiter = self.limiters[name]
        if limiter.running:
            limiter.signal(signal.SIGSTOP if on else signal.SIGCONT)

    def _publish(self, server: BagServer, health: str) -> None:
        """Publish a server's state to each discovery agent after a random delay of its own."""
        loop = asyncio.get_running_loop()
        for limiter, agent in self.agents.items():
            notice = self._random.uniform(*self.scenario.discovery.notice)
            loop.call_later(notice, self._deliver_news, agent, self._host(server, limiter, health))

    def _deliver_news(self, agent: Agent, host: Host) -> None:
        held = agent.hosts.get(host.host)
        if held is not None and held.born_ms > host.born_ms:
            host = replace(host, born_ms=held.born_ms)  # newer news arrived first
        agent.publish(host)

    async def _crash_server(self, name: str, back_after: float) -> None:
        server = self.servers[name]
        server.crash()
        await asyncio.sleep(back_after)
        if server.gone or server.alive:
            return  # it was replaced meanwhile, or is back from another crash
        server.start(cold=True)
        self._publish(server, "ready")

    async def _move_server(self, name: str, back_after: float) -> None:
        """Crash a server. Its id returns at another address, and a new server at its old address."""
        server = self.servers[name]
        server.crash()
        await asyncio.sleep(back_after)
        if server.gone or server.alive:
            return
        number, self._next_server = self._next_server, self._next_server + 1
        other = self._add_server(f"bag-{number:02d}", server.hall, server.cell, number, like=server)
        server.release_ports()
        for each in (server, other):
            each.start(cold=True)
            self._publish(each, "ready")

    async def _drain_server(self, name: str, lasts: float) -> None:
        server = self.servers[name]
        server.drain()
        self._publish(server, "draining")
        await asyncio.sleep(lasts)
        server.undrain()
        self._publish(server, "ready")

    async def _replace_servers(self, fault: PlannedFault) -> None:
        """Does a rolling release: each server drains and stops, and a new one with a new id replaces it."""
        for name in fault.targets:
            await self._replace_server(name, fault)

    async def _replace_server(self, name: str, fault: PlannedFault) -> None:
        old = self.servers[name]
        old.drain()
        self._publish(old, "draining")
        grace = self.scenario.fleet.drain_grace + self.scenario.discovery.notice[1] + 0.5
        self._spawn(self._finish_replacement(old, fault, grace))
        await asyncio.sleep(fault.spec.every)

    async def _finish_replacement(self, old: BagServer, fault: PlannedFault, grace: float) -> None:
        await asyncio.sleep(grace)
        if old.gone:
            return  # replaced twice at once: only one new server takes its place
        old.crash("gone")
        self._publish(old, "gone")
        number, self._next_server = self._next_server, self._next_server + 1
        like = old if fault.spec.reuse_address else None
        new = self._add_server(f"bag-{number:02d}", old.hall, old.cell, number, like)
        new.start(cold=True)
        self._publish(new, "ready")

    # Faults.

    def schedule_faults(self) -> None:
        """Set a timer for each fault of the plan."""
        loop, now = asyncio.get_running_loop(), self.context.now()
        for fault in self.plan.faults:
            loop.call_later(max(0.0, fault.at - now), self._apply_fault, fault)

    def _record_fault(self, fault: PlannedFault, target: str) -> None:
        now = self.context.now()
        until = max(now, fault.until if fault.spec.lasts else now)
        self.context.record(log.Happened(now, until, fault.kind, target))

    def _apply_fault(self, fault: PlannedFault) -> None:
        if fault.kind == "limiter-kill" and fault.spec.when == "handover-written":
            self._waiting_kills += [(name, fault) for name in fault.targets]
            return
        if fault.kind == "limiter-kill" and fault.spec.when in VIRTUAL_ONLY_TRIGGERS:
            for name in fault.targets:
                self.limiters[name].call_after_steps(
                    fault.spec.when, fault.spec.after, partial(self._kill_at_step, name, fault)
                )
            return
        for target in fault.targets or ("",):
            self._record_fault(fault, target)
        try:
            self._start_effect(fault)
        except OSError as error:
            self.fail(HarnessError(f"{fault.kind}: {error}"))

    def _start_effect(self, fault: PlannedFault) -> None:
        if self.fleet_harness is not None:
            self.fleet_harness.apply_fault(fault)
        spec, lasts = fault.spec, fault.until - fault.at
        each: dict[str, Callable[[str], Awaitable[None]]] = {
            "limiter-kill": lambda name: self._kill_and_return(name, spec.known, spec.back_after),
            "limiter-restart": lambda name: self._restart(name, spec.back_after),
            "server-crash": lambda name: self._crash_server(name, spec.back_after),
            "server-move": lambda name: self._move_server(name, spec.back_after),
            "server-drain": lambda name: self._drain_server(name, lasts),
            "server-by-hand": lambda name: self._server_by_hand(name, lasts),
            "limiter-drain": lambda name: self._drain_limiter(name, lasts),
            "limiter-upgrade": lambda name: self._upgrade(name),
            "limiter-off-book": lambda name: self._cut_plan_book(name, lasts),
            "limiter-late": lambda name: self._start_late(name),
            "limiter-restart-all-but-one": lambda name: self._restart_all_but(name, spec.back_after),
            "purge": lambda name: self._purge(name),
        }
        if fault.kind in each:
            for target in fault.targets:
                self._spawn(each[fault.kind](target))
        elif (setter := self._lasting_effect(fault)) is not None:
            value, applied = setter
            for target in fault.targets or ("",):
                apply = partial(applied, target)
                self._overlapping.begin(fault.kind, target, value, apply)
                loop = asyncio.get_running_loop()
                loop.call_later(lasts, self._overlapping.end, fault.kind, target, value, apply)
        elif fault.kind == "limiter-reload":
            for target in fault.targets:
                self._reload(target)
        elif fault.kind == "server-replace":
            self._spawn(self._replace_servers(fault))
        elif fault.kind == "plan-churn" and self.books is not None:
            accounts = [(account.id, account.plan) for account in self.plan.accounts]
            busiest = sorted(accounts, key=lambda a: (-self._arrivals_by_account[a[0]], a[0]))
            few = [a for a in busiest if self._ceiling_of(a[1]) > 0][: spec.count]
            self._spawn(self.books.churn(few, fault.until, spec.every, spec.ahead))
        elif fault.kind == "plan-reserve" and self.books is not None:
            asked = [
                (account.id, account.plan)
                for account in self.plan.accounts
                if self._arrivals_by_account[account.id]
            ]
            most = sorted(asked, key=lambda a: (-self._arrivals_by_account[a[0]], a[0]))[: spec.count]
            self._spawn(self.books.reserve(most, lasts, spec.size))
        elif fault.kind == "writer-stop" and self.books is not None:
            self._spawn(self.books.restart(spec.back_after))
        elif fault.kind == "keeper-empty":
            self.keeper.clear()
        elif fault.kind == "keeper-break":
            self.keeper.break_connections()
        # Floods and surges are part of the plan's arrivals.

    def _lasting_effect(self, fault: PlannedFault) -> tuple[Value, Callable[[str, Value], None]] | None:
        """Return the value of a lasting fault and the function that sets it on a target, or None for other faults."""
        spec, late = fault.spec, fault.spec.add_ms / 1000
        if fault.kind in SERVER_SHARES:
            share = SERVER_SHARES[fault.kind]
            return spec.size, lambda name, value: setattr(self.servers[name], share, value)
        setters: dict[str, tuple[Value, Callable[[str, Value], None]]] = {
            "server-hang": (True, lambda name, on: self.servers[name].set_hung(bool(on))),
            "server-slow": (late, lambda name, by: setattr(self.servers[name], "slow_by", by)),
            "limiter-pause": (True, lambda name, on: self._pause(name, bool(on))),
            "keeper-spoilt": (spec.size, lambda _, share: setattr(self.keeper, "spoilt_share", share)),
            "hall-cut": (True, lambda hall, on: self.net.cut(hall, bool(on), self.context.now())),
            "keeper-slow": (late, lambda _, by: setattr(self.keeper, "slow_by", by)),
            "keeper-stop": (True, lambda _, on: setattr(self.keeper, "stopped", on)),
            "discovery-silent": (True, lambda _, on: self._set_discovery_silent(bool(on))),
        }
        return setters.get(fault.kind)

    @property
    def _arrivals_by_account(self) -> Counter[str]:
        return Counter(arrival.account for arrival in self.plan.arrivals)

    def _ceiling_of(self, plan: str) -> float:
        return next(row.ceiling for row in self.scenario.plans if row.name == plan)

    async def _cut_plan_book(self, name: str, lasts: float) -> None:
        if self.books is not None:
            await self.books.disconnect(name)
            await asyncio.sleep(lasts)
            await self.books.open(name)

    def _set_discovery_silent(self, on: bool) -> None:
        for agent in self.agents.values():
            if on:
                agent.silent = True
            else:
                agent.resume()

    def start_abuse(self) -> asyncio.Task[None] | None:
        """Start the abusive clients, if the scenario has any."""
        graphql = self.scenario.graphql
        if graphql is None or graphql.abuse <= 0:
            return None
        from cypresspulley.rehearsal.standins.abuse import AbusiveClients

        self.abusers = AbusiveClients(
            self.context, self.front, lambda name: self.limiters[name].address, self.plan.seed, graphql.abuse,
            self.scenario.seconds, self.scenario.plans[0].name,
        )  # fmt: skip
        return asyncio.get_running_loop().create_task(self.abusers.play())

    # Running.

    def _spawn(self, work: Awaitable[None]) -> None:
        async def guarded() -> None:
            try:
                await work
            except (HarnessError, OSError) as error:
                self.fail(error)

        task = asyncio.get_running_loop().create_task(guarded())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def fail(self, error: BaseException) -> None:
        """End the play with this error."""
        self._failure = self._failure or error
        self.failed.set()

    def raise_failure(self) -> None:
        if self._failure is not None:
            raise HarnessError(str(self._failure))

    async def watch_lateness(self) -> None:
        """Record this process's own lateness and sample the limiters' usage, until cancelled."""
        clock = self.context.clock
        due, sampled = clock() + HEARTBEAT_SECONDS, 0.0
        while True:
            await asyncio.sleep(max(0.0, due - clock()))
            now = clock()
            late = max(0.0, now - due)
            # Before the start this process sets up the run, in long steps that delay no client.
            if self.keeper.is_serving and self.context.now() - late >= 0:
                self.context.record(log.Lateness(self.context.now(), late))
            due = max(due + HEARTBEAT_SECONDS, now)
            if now - sampled > USAGE_SAMPLE_SECONDS:
                sampled = now
                for limiter in self.limiters.values():
                    limiter.sample_usage()

    async def close(self) -> None:
        """Stop everything that the play started."""
        for task in list(self._tasks):
            task.cancel()
        running = [x for x in self.limiters.values() if x.running]
        for limiter in running:
            limiter.signal(signal.SIGKILL)
        for limiter in running:
            with contextlib.suppress(HarnessError):
                await limiter.wait_or_kill()
        for server in self.servers.values():
            server.crash()
        for agent in self.agents.values():
            agent.close()
        self.keeper.close()
        if self.fleet_harness is not None:
            self.fleet_harness.close()
        if self.books is not None:
            await self.books.close()


async def _run_scenario(runner: ScenarioRunner, progress: Progress | None) -> None:
    """Play everything from the first limiter's start to the last one's exit."""
    runner.clients.prepare(runner.plan.arrivals)
    runner.start_stand_ins()
    runner.context.record(runner.day)
    for plan, least in runner.scenario.goal.plans.items():
        runner.context.record(log.Wanted(runner.context.now(), plan, least))
    await runner.start_plan_book()
    await runner.open_fleet_harness()
    early = [name for name in runner.limiters if name not in runner.returning]
    await asyncio.gather(*(runner.start_limiter(name) for name in early))
    runner.begin_run()
    runner.keeper.is_serving = True
    runner.schedule_faults()
    abuse = runner.start_abuse()
    await runner.clients.play(runner.plan.arrivals)
    await asyncio.sleep(max(0.0, runner.scenario.seconds - runner.context.now()))
    await runner.clients.finish(FINISH_TIMEOUT_SECONDS)
    if abuse is not None:
        await abuse
    await _stop_limiters(runner)


async def _stop_limiters(runner: ScenarioRunner) -> None:
    loop = asyncio.get_running_loop()
    limit = loop.time() + RETURN_TIMEOUT_SECONDS
    while runner.returning and loop.time() < limit:
        await asyncio.sleep(
            0.05
        )  # limiters that are being restarted return first, so that their exit is judged too
    if runner.fleet_harness is not None:
        runner.fleet_harness.end_run()
    for limiter in runner.limiters.values():
        if limiter.running:
            runner.context.record(log.LimiterState(runner.context.now(), limiter.name, "stopping"))
            limiter.signal(signal.SIGTERM)
    await asyncio.gather(*(limiter.wait_or_kill() for limiter in runner.limiters.values()))
    if runner.books is not None:
        reported_units = sum(runner.books.plan_writer.usage_ledger.totals.values())
        runner.context.record(log.Exported(runner.context.now(), reported_units))
    for limiter in runner.limiters.values():
        runner.context.record(
            log.Usage(
                runner.context.now(),
                limiter.name,
                limiter.cpu_seconds,
                limiter.memory_mb,
                limiter.start_count - 1,
            )
        )


RETURN_TIMEOUT_SECONDS = 8.0  # for limiters that are still down at the end of the run


def _raise_descriptor_limit(scenario: Scenario) -> None:
    """Raise the limit of file descriptors to what the run may need.

    This process holds one end of each client connection and of each server connection.
    Raise ``HarnessError`` if the hard limit is too low.
    """
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    want = MAX_DESCRIPTORS if hard == resource.RLIM_INFINITY else min(MAX_DESCRIPTORS, hard)
    need = 100 + scenario.limiters.count * (4 * scenario.fleet.servers + 40) + int(2 * scenario.load.inside)
    if want < need:
        raise HarnessError(f"this run needs {need} file descriptors and may have {hard}: raise `ulimit -n`")
    if soft < want:
        resource.setrlimit(resource.RLIMIT_NOFILE, (want, hard))


async def play(
    scenario: Scenario, seed: int, *, logs: Path | None = None, command: list[str] | None = None,
    progress: Progress | None = None, records: list[log.Record] | None = None, plan: Plan | None = None,
) -> list[log.Record]:  # fmt: skip
    """Play a scenario and return the records. Draws the plan from the seed unless ``plan`` is given.

    ``logs`` is a folder that keeps the limiters' logs, configurations and ``records.jsonl``.
    ``records`` is a list to append to, so that a caller that is interrupted still has the records so far.
    Raise ``HarnessError`` if the run cannot go on. No process is left behind in either case.
    """
    for fault in scenario.faults:
        if fault.when in VIRTUAL_ONLY_TRIGGERS:
            raise virtual_time_only(fault.when)
    plan, kept = plan or draw_plan(scenario, seed), records if records is not None else []
    folder = logs or Path(tempfile.mkdtemp(prefix="fawnseam-"))
    try:
        folder.mkdir(parents=True, exist_ok=True)
    except OSError as error:
        raise HarnessError(f"cannot make {folder}: {error.strerror}") from None
    _raise_descriptor_limit(scenario)

    def limiter(name: str, host: str) -> LimiterProcess:
        address, sockets = (host, free_port(host)), scenario.limiters.sockets
        words = list(command or SHIPPED_LIMITER)
        if (operators := operators_path(scenario)) is not None:
            words += ["--operators", operators]
        return LimiterProcess(name, address, folder, words, plan.seed, sockets)

    # Each run has its own address range, so that concurrent runs do not collide. All ports are chosen by the system.
    base = f"127.{16 + (os.getpid() * 7 + next(RUN_NUMBERS)) % 200}"
    environment = None if scenario.together is None else _socket_environment(scenario, folder, base)
    runner = ScenarioRunner(scenario, plan, limiter, kept.append, base, environment=environment)
    try:
        with reduced_gc():
            await play_scenario(runner, progress)
    except OSError as error:
        raise HarnessError(f"{error.strerror or error}: the rehearsal could not go on") from None
    finally:
        await runner.close()
        if logs is None:
            shutil.rmtree(folder, ignore_errors=True)
    if logs is not None:
        write_records(kept, folder / "records.jsonl")
    return kept


def _socket_environment(scenario: Scenario, folder: Path, base: str) -> FleetEnvironment:
    """Return the environment of a run on sockets, where histories are files in ``folder``."""
    from cypresspulley.histories.read import read_folder
    from cypresspulley.histories.writer import History
    from cypresspulley.rehearsal.checks import calendar_events, check_histories
    from cypresspulley.rehearsal.together import FleetEnvironment

    histories, net, names = folder / "histories", LoopbackNetwork(scenario, base), limiter_names(scenario)
    histories.mkdir(exist_ok=True)
    clock = UnixClock()
    hosts = {(name, way_in): net.host(254 if way_in else 250, at)
             for at, name in enumerate(names) for way_in in (False, True)}  # fmt: skip
    ports = {key: free_datagram_port(host) for key, host in hosts.items()}
    return FleetEnvironment(
        History(str(histories / "harness.jsonl"), clock, clock),
        lambda name, way_in: (hosts[name, way_in], ports[name, way_in]),
        lambda wanted: check_histories(read_folder(histories), wanted, scenario.seconds),
        lambda: calendar_events(histories),
        START_ALLOWANCE_SECONDS[0] + START_ALLOWANCE_SECONDS[1] * len(names),
    )


@contextlib.contextmanager
def reduced_gc() -> Iterator[None]:
    """Freeze the existing objects and make garbage collections rare while the context is active."""
    usual = gc.get_threshold()
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_YOUNG_OBJECTS, GC_OLD_THRESHOLD, GC_OLD_THRESHOLD)
    try:
        yield
    finally:
        gc.set_threshold(*usual)
        gc.unfreeze()


async def play_scenario(runner: ScenarioRunner, progress: Progress | None) -> None:
    """Play a run to its end while measuring this process's own lateness.

    Raise ``HarnessError`` if the run cannot go on.
    """
    run = asyncio.ensure_future(_run_scenario(runner, progress))
    heartbeat = asyncio.ensure_future(runner.watch_lateness())
    failed = asyncio.ensure_future(runner.failed.wait())
    shown = asyncio.ensure_future(_show_progress(runner, progress)) if progress else None
    try:
        await asyncio.wait((run, failed), return_when=asyncio.FIRST_COMPLETED)
        runner.raise_failure()
        await run
        heartbeat.cancel()  # lateness no longer affects the result
        if runner.fleet_harness is not None:
            runner.fleet_harness.check()
        runner.context.record(log.End(runner.context.now(), runner.context.unix_ms(0) / 1000))
    finally:
        tasks = [task for task in (run, heartbeat, failed, shown) if task is not None]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def write_records(records: list[log.Record], path: Path) -> None:
    """Write a log that ``fawnseam judge`` reads. Raise ``HarnessError`` if it cannot be written."""
    try:
        with path.open("w", encoding="utf-8") as file:
            log.write_log(file, records)
    except OSError as error:
        raise HarnessError(
            f"cannot write {path}: {error.strerror}: free the disk or choose another place"
        ) from None


async def _show_progress(runner: ScenarioRunner, progress: Progress) -> None:
    while True:
        progress(runner.context.now(), runner)
        await asyncio.sleep(0.25)
