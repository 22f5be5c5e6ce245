"""One play of a scenario on sockets: stand-ins and clients in this process, limiters in their own.

The director turns the plan's faults into what happens to limiters, servers, halls, the keeper and discovery.
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
    KitError,
    LimiterProcess,
    free_datagram_port,
    free_port,
    unseen,
    wire_settings,
)
from cypresspulley.rehearsal.plan import Plan, PlannedFault, draw, random_for, work_of
from cypresspulley.rehearsal.scenario import VIRTUAL_ONLY, Scenario, limiter_names, server_names
from cypresspulley.rehearsal.spells import Spells, Value
from cypresspulley.rehearsal.standins.bagserver import BagServer, KeyedResponseCache
from cypresspulley.rehearsal.standins.clients import ClientFleet, FrontBalancer
from cypresspulley.rehearsal.standins.counter_server import CounterServer
from cypresspulley.rehearsal.standins.discovery import Agent, Host
from cypresspulley.rehearsal.standins.network import Link
from cypresspulley.rehearsal.standins.processor import Machine
from cypresspulley.rehearsal.standins.run_context import KnownRequest, RunContext

if TYPE_CHECKING:
    from cypresspulley.rehearsal.standins.plan_book_server import PlanBookServer
    from cypresspulley.rehearsal.together import Ground, Side

SHIPPED_LIMITER = [sys.executable, "-m", "cypresspulley"]
WARM_UP = 0.3  # seconds between the last limiter's readiness and the first request
BEAT = 0.05  # seconds between two looks at the kit's own lateness
# Objects more than before at which the collector looks, and how many such looks until it looks at older ones: a day
# makes few cycles, and looking through all that it recorded held the kit up for 170 ms.
YOUNG, SELDOM = 5_000, 100_000
SAMPLE = 0.5  # and at what the limiters use
# SIGKILL comes no sooner than so many seconds, or the longest deadline where that is less, and 0.7 s after SIGTERM.
KILL_AFTER_DEADLINE, KILL_AFTER = 3.0, 0.7
AFTER = 12.0  # seconds after the last arrival for what is still open
CELL = 4  # servers of a cell
DESCRIPTORS = 8192  # that the kit asks for itself; 64 a server and limiter are plenty
PLAYS = count()
START_WITHIN = (
    4.0,
    0.4,
)  # seconds, and for each limiter, from a day's setting up to its second 0, if that is placed
# What each fault sets, to its size and back to 0: the share of a server's requests that it strikes.
SERVER_SHARES = {
    "server-errors": "error_share",
    "server-resets": "reset_share",
    "server-spoilt": "spoilt_share",
    "server-doubled": "doubled_share",
    "server-lies": "lie_share",
}


def points_per_unit(scenario: Scenario) -> float:
    """Of a GraphQL day, as the operators' file of its limiters says; 0 on a plain day."""
    if scenario.graphql is None:
        return 0.0
    from cypresspulley.graphql.options import load_options
    from cypresspulley.rehearsal.standins.graphql import OPERATORS_PATH

    return load_options(str(OPERATORS_PATH)).points_per_unit


def operators_of(scenario: Scenario) -> str | None:
    """The operators' file of a day's limiters, where there is one."""
    if scenario.graphql is None:
        return None
    from cypresspulley.rehearsal.standins.graphql import OPERATORS_PATH

    return str(OPERATORS_PATH)


MakeLimiter = Callable[[str, str], LimiterProcess]  # of a name and the host where it listens
Progress = Callable[[float, "Director"], None]


def describe(scenario: Scenario, plan: Plan) -> log.Day:
    """The facts that the judge goes by."""
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
    """CPU seconds of a request in the mean over the classes, by their shares."""
    return sum(c.share * c.work_ms for c in scenario.classes) / sum(c.share for c in scenario.classes) / 1000


def lowest_part(scenario: Scenario) -> float:
    """Of a plan with a ceiling, the least that a day's changes of plans leave."""
    return min((fault.size for fault in scenario.faults if fault.kind == "plan-churn"), default=1.0)


class Net:
    """Addresses in 127.0.0.0/8, and the links between halls."""

    def __init__(self, scenario: Scenario, base: str) -> None:
        self._base = base
        self._network = scenario.network
        self.links = list[tuple[Link, str, str]]()  # with the halls at both ends

    def host(self, group: int, number: int) -> str:
        """An address for stand-in ``number`` (0..249) as a limiter sees it, by group (0..249)."""
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


class Director:
    """All that is on the stage of one play."""

    def __init__(
        self, scenario: Scenario, plan: Plan, limiter: MakeLimiter, sink: Callable[[log.Record], None],
        base: str, clock: Callable[[], float] = time.monotonic, unix: Callable[[], float] = time.time,
        ground: Ground | None = None,
    ) -> None:  # fmt: skip
        classes = {c.name: c for c in scenario.classes}
        self.scenario, self.plan = scenario, plan
        self.side: Side | None = None  # what the limiters do together
        self._sink = sink
        self.context = RunContext(
            self._seen, lambda id, cls: work_of(plan.seed, id, classes[cls]), clock, unix
        )
        self.context.on_arrival = self._on_arrival
        self.net, self._spells = Net(scenario, base), Spells()
        self.day = describe(scenario, plan)
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
            name: limiter(name, self.net.host(250, i)) for i, name in enumerate(limiter_names(scenario))
        }
        for each in self.limiters.values():
            each.operated = scenario.operated
        self.front = FrontBalancer(list(self.limiters))
        self.clients = ClientFleet(
            self.context, self.front, lambda name: self.limiters[name].address, scenario.clients, classes,
            plan.seed, scenario.seconds, points_per_unit(scenario),
        )  # fmt: skip
        self._rng = random_for(plan.seed, "director")
        self._tasks = set[asyncio.Task[None]]()
        self._waiting_kills = list[tuple[str, PlannedFault]]()
        self._failure: BaseException | None = None
        self._next_server = scenario.fleet.servers
        self._watched = dict[str, object]()  # the process of each limiter whose end is watched
        self.returning = set[str]()  # limiters that are away and to come back
        self.failed = asyncio.Event()
        self.books: PlanBookServer | None = None
        if ground is not None:
            from cypresspulley.rehearsal.together import Side

            self.side = Side(scenario, plan, self.context, self.limiters, self.day.limiters, ground)
            self.returning |= self.side.late  # away until their time

    def _seen(self, record: log.Record) -> None:
        """Each record goes into the log, and what is of the kit's own history there too."""
        self._sink(record)
        if self.side is not None:
            self.side.harness.record(record)

    # The stage is set.

    def build(self) -> None:
        """Start all stand-ins, with nothing cold and every agent told the whole list."""
        fleet = self.scenario.fleet
        for number, name in enumerate(server_names(self.scenario)):
            hall = fleet.halls[number % len(fleet.halls)]
            self._add_server(name, hall, number // len(fleet.halls) // CELL, number).start(cold=False)
        for index, limiter in enumerate(self.limiters):
            link = self.net.link(limiter, self.day.limiters[limiter], self.halls[-1])
            self._keeper_links[limiter] = link
            self._keeper_at[limiter] = self.keeper.listen(link, self.net.host(251, index)).address
            self._agent_at[limiter] = self.agents[limiter].listen(self.net.host(252, index))
            agent = self.agents[limiter]
            agent.publish(*(self._host(server, limiter, "ready") for server in self.servers.values()))
            agent.delivered, agent.delivered_seq = dict(agent.hosts), agent.seq

    async def open_books(self) -> None:
        """The plan book's writer, with a way to it for each limiter, before any of them starts."""
        if not self.scenario.booked:
            return
        from cypresspulley.rehearsal.standins.plan_book_server import PlanBookServer

        rng = random_for(self.plan.seed, "books")
        self.books = PlanBookServer(self.context, self.scenario.plans, lowest_part(self.scenario), rng)
        for index, limiter in enumerate(self.limiters):
            host = self.net.host(253, index)
            self.books.addresses[limiter] = host, free_port(host)
            await self.books.open(limiter)
            self.limiters[limiter].follow(*self.books.addresses[limiter])

    async def open_side(self) -> None:
        """What the limiters do together has its relay and files, before any of them starts."""
        if self.side is not None:
            await self.side.open()

    def begin(self) -> None:
        """All limiters are ready: the day begins, at a whole Unix second where closings are placed by it."""
        if self.side is None:
            return self.context.begin(WARM_UP)
        after = self.side.until_start()
        if after < WARM_UP:
            raise KitError(f"the limiters were ready {WARM_UP - after:.1f} s too late: give them idle cores")
        self.context.begin(after)
        asyncio.get_running_loop().call_later(after, self.side.begin)

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
            if like is not None:  # another server's address of before
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
        if self.books is not None:  # what holds until a limiter has its book is the lowest that it may say
            part = lowest_part(self.scenario)
            for row in settings["tariffs"]:
                if row["never_over_rate"] > 0:
                    for key in ("quota_rate", "store_size"):
                        row[key] *= part
                    for key in ("never_over_rate", "hard_burst"):
                        row[key] *= part * part
        return settings

    # Limiters.

    async def start_limiter(self, name: str, known: str = "last") -> None:
        """Start it with the list that it had last (stale by now), or with one that names only dead ones."""
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
        await limiter.start()
        self._watched[name] = limiter.process
        self._spawn(self._watch_end(limiter))
        await limiter.ready()
        self.context.record(log.LimiterState(self.context.now(), name, "ready"))
        self.front.mark_up(name)

    def _dead_host(self, limiter: str, number: int) -> Host:
        """A server that is gone: nobody listens at its address."""
        index = list(self.limiters).index(limiter)
        host = self.net.host(index, 240 + number)
        return Host(f"bag-gone-{number}", f"{host}:9", self.halls[0], 0, "ready")

    async def _watch_end(self, limiter: LimiterProcess) -> None:
        process = limiter.process
        code = await limiter.ended()
        if limiter.process is not process:
            # A second process has taken over: the limiter's life goes on, unless this one crashed.
            if code != 0:
                self.context.complain(f"the old process of {limiter.name} ended with {code}")
            return
        what = "exited" if limiter.expected_end else "crashed"
        self.context.record(log.LimiterState(self.context.now(), limiter.name, what, code))
        notice = self._rng.uniform(*self.scenario.clients.notice)
        asyncio.get_running_loop().call_later(notice, self._front_notices, limiter)

    def _front_notices(self, limiter: LimiterProcess) -> None:
        if not limiter.running:
            self.front.mark_down(limiter.name)

    def kill(self, name: str) -> None:
        """SIGKILL, recorded just before: whatever breaks from now on was held by a dead process."""
        limiter = self.limiters[name]
        if limiter.running and not limiter.expected_end:
            self.context.record(log.LimiterState(self.context.now(), name, "killed"))
            limiter.signal(signal.SIGKILL)

    async def _kill_and_return(self, name: str, spec_known: str, back_after: float) -> None:
        if name in self.returning:
            return  # it is away already, and is started once
        self.returning.add(name)
        self.kill(name)
        await self.limiters[name].gone()
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
        kill = asyncio.get_running_loop().call_later(self._kill_after, limiter.signal, signal.SIGKILL)
        await asyncio.sleep(0.3)  # a planned restart is announced: the front stops a little late
        if not self.scenario.clients.until_closed:
            self.front.mark_down(name)
        await limiter.gone()
        self.front.mark_down(name)
        kill.cancel()
        await asyncio.sleep(back_after)
        await self.start_limiter(name)
        self.returning.discard(name)

    @property
    def _kill_after(self) -> float:
        """Seconds after SIGTERM at which the platform may send SIGKILL at the earliest."""
        longest = max(row.deadline_ms for row in self.scenario.classes) / 1000
        return min(KILL_AFTER_DEADLINE, longest) + KILL_AFTER

    async def _restart_but(self, name: str, back_after: float) -> None:
        """All the others at once."""
        await asyncio.gather(*(self._restart(other, back_after) for other in self.limiters if other != name))

    async def _start_late(self, name: str) -> None:
        if self.limiters[name].lives == 0:
            await self.start_limiter(name)
            self.returning.discard(name)

    async def _purge(self, name: str) -> None:
        if self.side is not None and self.limiters[name].running:
            await self.side.purge(name)

    # What operators do at the door.

    async def _upgrade(self, name: str) -> None:
        limiter = self.limiters[name]
        if name in self.returning or not limiter.running:
            return
        self.returning.add(name)
        watch = asyncio.ensure_future(limiter.upgrade())
        while limiter.process is not None and not watch.done() and limiter.lives:
            await asyncio.sleep(0.01)
            if self._watched.get(name) is not limiter.process:
                self._watched[name] = limiter.process
                self._spawn(self._watch_end(limiter))
        if await watch:
            self.context.record(log.LimiterState(self.context.now(), name, "upgraded"))
        self.returning.discard(name)

    async def _drain_limiter(self, name: str, lasts: float) -> None:
        limiter = self.limiters[name]
        if name in self.returning or await limiter.call("PUT", "/v1/limiter/drain") != 200:
            return
        self.context.record(log.LimiterState(self.context.now(), name, "drained"))
        await asyncio.sleep(0.3)  # the front asks again and again, and stops a little late
        self.front.mark_down(name)
        await asyncio.sleep(lasts)
        if limiter.running and await limiter.call("PUT", "/v1/limiter/activate") == 200:
            self.context.record(log.LimiterState(self.context.now(), name, "activated"))
            self.front.mark_up(name)

    async def _server_by_hand(self, name: str, lasts: float) -> None:
        """Taken out at every limiter, restarted once its work is done, and called back cold."""
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
        if not out:  # from the call on it may serve, whenever the answer comes
            self.context.record(log.Banned(self.context.now(), limiter.name, server, False))
        status = await limiter.call("PUT", f"/v1/servers/{server}/{'suspend' if out else 'resume'}")
        if out and status == 200:
            self.context.record(log.Banned(self.context.now(), limiter.name, server, True))
        elif status != 200 and limiter.running and limiter.name not in self.returning:
            self.context.complain(f"{limiter.name} answered {status} to an operators' call on {server}")

    def _reload(self, name: str) -> None:
        """Discovery and keeper move; the file is replaced and the program told."""
        index = list(self.limiters).index(name)
        agent, limiter = self.agents[name], self.limiters[name]
        self._agent_at[name] = agent.listen(self.net.host(252, index))
        self._keeper_at[name] = self.keeper.listen(
            self._keeper_links[name], self.net.host(251, index)
        ).address
        limiter.configure(self._config(name, agent.delivered_list()))
        if limiter.running:
            self.context.record(log.LimiterState(self.context.now(), name, "reloaded"))
            limiter.signal(signal.SIGHUP)

    # Servers.

    def _on_arrival(self, server: BagServer, limiter: str, known: KnownRequest) -> None:
        """An attempt is whole at a server: the moment at which a waiting kill strikes its sender."""
        for wait in self._waiting_kills:
            name, fault = wait
            if name == limiter and known.effect == "unsafe":
                self._waiting_kills.remove(wait)
                self._happened(fault, name)
                self._spawn(self._kill_and_return(name, fault.spec.known, fault.spec.back_after))
                self.kill(name)  # now, not when the task has its turn
                return

    def _struck(self, name: str, fault: PlannedFault) -> None:
        """A limiter reached the turn or the write behind which it dies: nothing of it runs from here on."""
        limiter = self.limiters[name]
        if limiter.running and not limiter.expected_end:
            self._happened(fault, name)
            self.kill(name)
            self._spawn(self._kill_and_return(name, fault.spec.known, fault.spec.back_after))

    def _pause(self, name: str, on: bool) -> None:
        """Stopped and continued by signals: time goes on, its code does not. SIGCONT to a new one does nothing."""
        limiter = self.limiters[name]
        if limiter.running:
            limiter.signal(signal.SIGSTOP if on else signal.SIGCONT)

    def _publish(self, server: BagServer, health: str) -> None:
        """Discovery learns of it and tells each agent, each at its own time."""
        loop = asyncio.get_running_loop()
        for limiter, agent in self.agents.items():
            notice = self._rng.uniform(*self.scenario.discovery.notice)
            loop.call_later(notice, self._tell, agent, self._host(server, limiter, health))

    def _tell(self, agent: Agent, host: Host) -> None:
        held = agent.hosts.get(host.host)
        if held is not None and held.born_ms > host.born_ms:
            host = replace(host, born_ms=held.born_ms)  # the later news came first
        agent.publish(host)

    async def _crash_server(self, name: str, back_after: float) -> None:
        server = self.servers[name]
        server.crash()
        await asyncio.sleep(back_after)
        if server.gone or server.alive:
            return  # another took its place meanwhile, or it is back from another crash
        server.start(cold=True)
        self._publish(server, "ready")

    async def _move_server(self, name: str, back_after: float) -> None:
        """It dies; its id comes back at another address, and another server at its old one."""
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
        """A rolling release: each drains and goes; a new one comes under a new id, maybe at its address."""
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
            return  # it was replaced twice at once: one new server takes its place
        old.crash("gone")
        self._publish(old, "gone")
        number, self._next_server = self._next_server, self._next_server + 1
        like = old if fault.spec.reuse_address else None
        new = self._add_server(f"bag-{number:02d}", old.hall, old.cell, number, like)
        new.start(cold=True)
        self._publish(new, "ready")

    # Faults.

    def schedule(self) -> None:
        """Set a timer for each fault of the plan."""
        loop, now = asyncio.get_running_loop(), self.context.now()
        for fault in self.plan.faults:
            loop.call_later(max(0.0, fault.at - now), self._strike, fault)

    def _happened(self, fault: PlannedFault, target: str) -> None:
        now = self.context.now()
        until = max(now, fault.until if fault.spec.lasts else now)
        self.context.record(log.Happened(now, until, fault.kind, target))

    def _strike(self, fault: PlannedFault) -> None:
        if fault.kind == "limiter-kill" and fault.spec.when == "handover-written":
            self._waiting_kills += [(name, fault) for name in fault.targets]
            return
        if fault.kind == "limiter-kill" and fault.spec.when in VIRTUAL_ONLY:
            for name in fault.targets:
                self.limiters[name].strike_after(
                    fault.spec.when, fault.spec.after, partial(self._struck, name, fault)
                )
            return
        for target in fault.targets or ("",):
            self._happened(fault, target)
        try:
            self._start_fault(fault)
        except OSError as error:
            self.fail(KitError(f"{fault.kind}: {error}"))

    def _start_fault(self, fault: PlannedFault) -> None:
        if self.side is not None:
            self.side.strike(fault)
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
            "limiter-off-book": lambda name: self._off_book(name, lasts),
            "limiter-late": lambda name: self._start_late(name),
            "limiter-restart-all-but-one": lambda name: self._restart_but(name, spec.back_after),
            "purge": lambda name: self._purge(name),
        }
        if fault.kind in each:
            for target in fault.targets:
                self._spawn(each[fault.kind](target))
        elif (spell := self._spell(fault)) is not None:
            value, applied = spell
            for target in fault.targets or ("",):
                apply = partial(applied, target)
                self._spells.begin(fault.kind, target, value, apply)
                loop = asyncio.get_running_loop()
                loop.call_later(lasts, self._spells.end, fault.kind, target, value, apply)
        elif fault.kind == "limiter-reload":
            for target in fault.targets:
                self._reload(target)
        elif fault.kind == "server-replace":
            self._spawn(self._replace_servers(fault))
        elif fault.kind == "plan-churn" and self.books is not None:
            accounts = [(account.id, account.plan) for account in self.plan.accounts]
            busiest = sorted(accounts, key=lambda a: (-self._asked[a[0]], a[0]))
            few = [a for a in busiest if self._ceiling_of(a[1]) > 0][: spec.count]
            self._spawn(self.books.churn(few, fault.until, spec.every, spec.ahead))
        elif fault.kind == "plan-reserve" and self.books is not None:
            asked = [(account.id, account.plan) for account in self.plan.accounts if self._asked[account.id]]
            most = sorted(asked, key=lambda a: (-self._asked[a[0]], a[0]))[: spec.count]
            self._spawn(self.books.reserve(most, lasts, spec.size))
        elif fault.kind == "writer-stop" and self.books is not None:
            self._spawn(self.books.restart(spec.back_after))
        elif fault.kind == "keeper-empty":
            self.keeper.clear()
        elif fault.kind == "keeper-break":
            self.keeper.break_connections()
        # A flood or a surge is in the arrivals.

    def _spell(self, fault: PlannedFault) -> tuple[Value, Callable[[str, Value], None]] | None:
        """Of a fault that lasts, its value while it does, and what sets a target to one; None for others."""
        spec, late = fault.spec, fault.spec.add_ms / 1000
        if fault.kind in SERVER_SHARES:
            share = SERVER_SHARES[fault.kind]
            return spec.size, lambda name, value: setattr(self.servers[name], share, value)
        spells: dict[str, tuple[Value, Callable[[str, Value], None]]] = {
            "server-hang": (True, lambda name, on: self.servers[name].set_hung(bool(on))),
            "server-slow": (late, lambda name, by: setattr(self.servers[name], "slow_by", by)),
            "limiter-pause": (True, lambda name, on: self._pause(name, bool(on))),
            "keeper-spoilt": (spec.size, lambda _, share: setattr(self.keeper, "spoilt_share", share)),
            "hall-cut": (True, lambda hall, on: self.net.cut(hall, bool(on), self.context.now())),
            "keeper-slow": (late, lambda _, by: setattr(self.keeper, "slow_by", by)),
            "keeper-stop": (True, lambda _, on: setattr(self.keeper, "stopped", on)),
            "discovery-silent": (True, lambda _, on: self._silence(bool(on))),
        }
        return spells.get(fault.kind)

    @property
    def _asked(self) -> Counter[str]:
        return Counter(arrival.account for arrival in self.plan.arrivals)

    def _ceiling_of(self, plan: str) -> float:
        return next(row.ceiling for row in self.scenario.plans if row.name == plan)

    async def _off_book(self, name: str, lasts: float) -> None:
        if self.books is not None:
            await self.books.disconnect(name)
            await asyncio.sleep(lasts)
            await self.books.open(name)

    def _silence(self, on: bool) -> None:
        for agent in self.agents.values():
            if on:
                agent.silent = True
            else:
                agent.resume()

    def abuse(self) -> asyncio.Task[None] | None:
        """Abusive clients beside the usual ones, where the scenario has them."""
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
            except (KitError, OSError) as error:
                self.fail(error)

        task = asyncio.get_running_loop().create_task(guarded())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def fail(self, error: BaseException) -> None:
        """The kit cannot go on: the play ends with this."""
        self._failure = self._failure or error
        self.failed.set()

    def check(self) -> None:
        if self._failure is not None:
            raise KitError(str(self._failure))

    async def beat(self) -> None:
        """Watch the kit's own lateness and what the limiters use, until cancelled."""
        clock = self.context.clock
        due, sampled = clock() + BEAT, 0.0
        while True:
            await asyncio.sleep(max(0.0, due - clock()))
            now = clock()
            late = max(0.0, now - due)
            # Until the day begins it sets the stage, in long turns, and keeps no client waiting by that.
            if self.keeper.is_serving and self.context.now() - late >= 0:
                self.context.record(log.Lateness(self.context.now(), late))
            due = max(due + BEAT, now)
            if now - sampled > SAMPLE:
                sampled = now
                for limiter in self.limiters.values():
                    limiter.sample()

    async def close(self) -> None:
        """End everything; nothing of this play stays behind."""
        for task in list(self._tasks):
            task.cancel()
        running = [x for x in self.limiters.values() if x.running]
        for limiter in running:
            limiter.signal(signal.SIGKILL)
        for limiter in running:
            with contextlib.suppress(KitError):
                await limiter.gone()
        for server in self.servers.values():
            server.crash()
        for agent in self.agents.values():
            agent.close()
        self.keeper.close()
        if self.side is not None:
            self.side.close()
        if self.books is not None:
            await self.books.close()


async def _day(director: Director, progress: Progress | None) -> None:
    """From the first limiter's start to the last one's end."""
    director.clients.prepare(director.plan.arrivals)
    director.build()
    director.context.record(director.day)
    for plan, least in director.scenario.goal.plans.items():
        director.context.record(log.Wanted(director.context.now(), plan, least))
    await director.open_books()
    await director.open_side()
    early = [name for name in director.limiters if name not in director.returning]
    await asyncio.gather(*(director.start_limiter(name) for name in early))
    director.begin()
    director.keeper.is_serving = True
    director.schedule()
    abuse = director.abuse()
    await director.clients.play(director.plan.arrivals)
    await asyncio.sleep(max(0.0, director.scenario.seconds - director.context.now()))
    await director.clients.finish(AFTER)
    if abuse is not None:
        await abuse
    await _stop_limiters(director)


async def _stop_limiters(director: Director) -> None:
    loop = asyncio.get_running_loop()
    limit = loop.time() + READY_FOR_STOP
    while director.returning and loop.time() < limit:
        await asyncio.sleep(0.05)  # one that was to come back comes back first: its end is judged too
    if director.side is not None:
        director.side.over()
    for limiter in director.limiters.values():
        if limiter.running:
            director.context.record(log.LimiterState(director.context.now(), limiter.name, "stopping"))
            limiter.signal(signal.SIGTERM)
    await asyncio.gather(*(limiter.gone() for limiter in director.limiters.values()))
    if director.books is not None:
        told = sum(director.books.plan_writer.usage_ledger.totals.values())
        director.context.record(log.Exported(director.context.now(), told))
    for limiter in director.limiters.values():
        director.context.record(
            log.Usage(
                director.context.now(),
                limiter.name,
                limiter.cpu_seconds,
                limiter.memory_mb,
                limiter.lives - 1,
            )
        )


READY_FOR_STOP = 8.0  # seconds for limiters that are still away at the day's end


def _raise_descriptors(scenario: Scenario) -> None:
    """As many as this day may want: both ends of the clients' connections are not ours, the servers' are."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    want = DESCRIPTORS if hard == resource.RLIM_INFINITY else min(DESCRIPTORS, hard)
    need = 100 + scenario.limiters.count * (4 * scenario.fleet.servers + 40) + int(2 * scenario.load.inside)
    if want < need:
        raise KitError(f"this day wants {need} descriptors and may have {hard}: raise `ulimit -n`")
    if soft < want:
        resource.setrlimit(resource.RLIMIT_NOFILE, (want, hard))


async def play(
    scenario: Scenario, seed: int, *, logs: Path | None = None, command: list[str] | None = None,
    progress: Progress | None = None, records: list[log.Record] | None = None, plan: Plan | None = None,
) -> list[log.Record]:  # fmt: skip
    """Play a day (of ``plan``, by default the one drawn from the seed); the records of it.

    ``logs`` keeps the limiters' logs, configurations and ``records.jsonl``.
    ``records`` may be given so that a caller that is interrupted still has what was seen.
    Raises ``KitError`` where the kit cannot do its work; no process is left behind either way.
    """
    for fault in scenario.faults:
        if fault.when in VIRTUAL_ONLY:
            raise unseen(fault.when)
    plan, kept = plan or draw(scenario, seed), records if records is not None else []
    folder = logs or Path(tempfile.mkdtemp(prefix="fawnseam-"))
    try:
        folder.mkdir(parents=True, exist_ok=True)
    except OSError as error:
        raise KitError(f"cannot make {folder}: {error.strerror}") from None
    _raise_descriptors(scenario)

    def limiter(name: str, host: str) -> LimiterProcess:
        address, sockets = (host, free_port(host)), scenario.limiters.sockets
        words = list(command or SHIPPED_LIMITER)
        if (operators := operators_of(scenario)) is not None:
            words += ["--operators", operators]
        return LimiterProcess(name, address, folder, words, plan.seed, sockets)

    # A range of its own for each run: two at once never meet, and no port is asked for by number.
    base = f"127.{16 + (os.getpid() * 7 + next(PLAYS)) % 200}"
    ground = None if scenario.together is None else _ground(scenario, folder, base)
    director = Director(scenario, plan, limiter, kept.append, base, ground=ground)
    try:
        with uncollected():
            await play_day(director, progress)
    except OSError as error:
        raise KitError(f"{error.strerror or error}: the kit could not go on") from None
    finally:
        await director.close()
        if logs is None:
            shutil.rmtree(folder, ignore_errors=True)
    if logs is not None:
        keep(kept, folder / "records.jsonl")
    return kept


def _ground(scenario: Scenario, folder: Path, base: str) -> Ground:
    """On sockets: histories are files, and each address is one of this run's own."""
    from cypresspulley.histories.read import read_folder
    from cypresspulley.histories.writer import History
    from cypresspulley.rehearsal.checks import calendar_events, checked
    from cypresspulley.rehearsal.together import Ground

    histories, net, names = folder / "histories", Net(scenario, base), limiter_names(scenario)
    histories.mkdir(exist_ok=True)
    clock = UnixClock()
    hosts = {(name, way_in): net.host(254 if way_in else 250, at)
             for at, name in enumerate(names) for way_in in (False, True)}  # fmt: skip
    ports = {key: free_datagram_port(host) for key, host in hosts.items()}
    return Ground(
        History(str(histories / "harness.jsonl"), clock, clock),
        lambda name, way_in: (hosts[name, way_in], ports[name, way_in]),
        lambda wanted: checked(read_folder(histories), wanted, scenario.seconds),
        lambda: calendar_events(histories),
        START_WITHIN[0] + START_WITHIN[1] * len(names),
    )


@contextlib.contextmanager
def uncollected() -> Iterator[None]:
    """What was there before is not looked through by the collector, and what comes to stay only seldom."""
    usual = gc.get_threshold()
    gc.collect()
    gc.freeze()
    gc.set_threshold(YOUNG, SELDOM, SELDOM)
    try:
        yield
    finally:
        gc.set_threshold(*usual)
        gc.unfreeze()


async def play_day(director: Director, progress: Progress | None) -> None:
    """The day from its first limiter's start to its end, with the kit's own lateness watched."""
    day = asyncio.ensure_future(_day(director, progress))
    beat = asyncio.ensure_future(director.beat())
    failed = asyncio.ensure_future(director.failed.wait())
    shown = asyncio.ensure_future(_show(director, progress)) if progress else None
    try:
        await asyncio.wait((day, failed), return_when=asyncio.FIRST_COMPLETED)
        director.check()
        await day
        beat.cancel()  # the kit is late from here on, and harms nobody by it
        if director.side is not None:
            director.side.check()
        director.context.record(log.End(director.context.now(), director.context.unix_ms(0) / 1000))
    finally:
        tasks = [task for task in (day, beat, failed, shown) if task is not None]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def keep(records: list[log.Record], path: Path) -> None:
    """Write a log that ``fawnseam judge`` reads."""
    try:
        with path.open("w", encoding="utf-8") as file:
            log.write_log(file, records)
    except OSError as error:
        raise KitError(
            f"cannot write {path}: {error.strerror}: free the disk or choose another place"
        ) from None


async def _show(director: Director, progress: Progress) -> None:
    while True:
        progress(director.context.now(), director)
        await asyncio.sleep(0.25)
