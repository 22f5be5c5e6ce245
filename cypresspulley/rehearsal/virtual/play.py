"""Runs a scenario in virtual time: limiters and stand-ins on one loop, with the same director and judge."""

from __future__ import annotations

import asyncio
import gc
import json
import logging
import os
import signal
import tempfile
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from contextvars import copy_context
from dataclasses import replace
from functools import partial
from hashlib import blake2b
from pathlib import Path
from typing import Any

import msgspec

from cypresspulley.__main__ import serve
from cypresspulley.config import Config, parse_config
from cypresspulley.histories.clock import Shift
from cypresspulley.histories.events import Kind
from cypresspulley.histories.read import from_memory
from cypresspulley.histories.writer import MemoryHistory
from cypresspulley.net.admin import Reply, route
from cypresspulley.net.node import DecisionModule
from cypresspulley.operators import Operators, load_operators
from cypresspulley.policy.gateway import Gateway
from cypresspulley.rehearsal import records as log
from cypresspulley.rehearsal.checks import check_histories
from cypresspulley.rehearsal.limiters import HarnessError, KillCallback, LimiterProcess
from cypresspulley.rehearsal.plan import Plan, draw_plan, random_for
from cypresspulley.rehearsal.play import LoopbackNetwork, ScenarioRunner, operators_path, play_scenario
from cypresspulley.rehearsal.scenario import Scenario, limiter_names
from cypresspulley.rehearsal.together import KEY, FleetEnvironment
from cypresspulley.rehearsal.virtual.loop import VirtualLoop, run_virtual
from cypresspulley.rehearsal.virtual.owner import OWNER, Owner
from cypresspulley.service import Service

UNIX_START = 1_800_000_000.0  # at second 0 of the virtual loop; the wall clock is not used
LIMITER_PORT = 7000
DATAGRAM_PORT = 8700
START_DELAY = 2.5  # seconds between the setup of a run and its second 0, if limiters act together
CALENDAR_NOT_RELOADED = "closing: the calendar was not reloaded"
GC_THRESHOLD = 100_000  # net allocations of objects before a collection of the youngest generation
RESERVED_DESCRIPTORS = 16  # descriptors of a limiter that are not connections: log, event loop and listener


class Observer:
    """Receives the events of a run; this one ignores them."""

    now: Callable[[], float]  # seconds of the run; set when the run begins

    def wrap_gateway(self, name: str, gateway: Gateway) -> DecisionModule:
        """Return the decision module for a limiter: its gateway or a wrapper of it."""
        return gateway

    def record(self, record: log.Record) -> None: ...

    def on_resumed(self, name: str, now: float) -> None:
        """Called when a stopped limiter resumes, with the Unix time."""

    def on_exited(self, name: str, owner: Owner, loop: VirtualLoop) -> None:
        """Called when a limiter has exited in order, before its timers and tasks are dropped."""


class VirtualLimiter(LimiterProcess):
    """The production limiter as an owner on the loop, with its start, signals and exit."""

    def __init__(
        self,
        name: str,
        address: tuple[str, int],
        loop: VirtualLoop,
        seed: int,
        sockets: int = 0,
        observer: Observer | None = None,
        operators: str | None = None,
        folder: Path | None = None,
    ) -> None:
        super().__init__(name, address, folder or Path(), [], seed, sockets)
        self._shift, self._writes_history = Shift(), False
        self.histories = list[MemoryHistory]()  # one for each of its processes
        self._operators = load_operators(operators) if operators else Operators()
        self._observer = observer
        self._loop, self._raw_config = loop, dict[str, Any]()
        self._owner: Owner | None = None
        self._service: Service | None = None
        self._exit_code: asyncio.Future[int] = loop.create_future()
        self._end_reason = "no error was seen"

    def __repr__(self) -> str:
        return f"<VirtualLimiter {self.name} {self._owner!r}, life {self.start_count}>"

    @property
    def running(self) -> bool:
        return self._owner is not None and not self._owner.is_killed and not self._exit_code.done()

    def configure(self, raw: dict[str, Any]) -> None:
        listen = f"{self.address[0]}:{self.address[1]}"
        seed = f"{random_for(self._seed, 'limiter', self.name, self.start_count).getrandbits(64):016x}"
        self._raw_config = {"name": self.name, "listen": listen, "seed": seed, **raw}

    def configure_plan_book(self, host: str, port: int) -> None:
        self._operators = replace(self._operators, plans=(f"{host}:{port}", "rehearsal"))

    def configure_fleet(self, tables: dict[str, dict[str, Any]], key: str) -> None:
        where, found = (
            str(self._sibling_path("-operators.toml")),
            {name: dict(table) for name, table in tables.items()},
        )
        if "closing" in found:
            found["closing"]["calendars"] = self._sibling_path("-calendars.toml").name
        own = {name: (where, table) for name, table in found.items()}
        self._operators = Operators(
            fleet=own.get("fleet"), lanes=own.get("lanes"), closing=own.get("closing")
        )
        self._writes_history = True

    def set_clock_shift(self, shift: Shift) -> None:
        self._shift = shift

    def _wall_time(self) -> float:
        return self._shift.at(self._unix_time())

    def _config(self) -> Config:
        return parse_config(json.loads(json.dumps(self._raw_config)))

    async def start(self) -> None:
        self.start_count += 1
        self.expected_end = False
        self._owner, self._exit_code = Owner(f"{self.name}.{self.start_count}"), self._loop.create_future()
        self._owner.descriptors = max(0, self._sockets - RESERVED_DESCRIPTORS)
        context = copy_context()
        context.run(OWNER.set, self._owner)
        clock = self._unix_time
        observer = self._observer
        watched = partial(observer.wrap_gateway, self.name) if observer is not None else None
        history = None
        if self._writes_history:
            history = MemoryHistory(clock, self._wall_time)
            self.histories.append(history)
        work = serve(
            self._config(), self._operators, clock=clock, read_config=self._config, wrap_gateway=watched,
            on_service_created=self._on_service_opened, wall_clock=self._wall_time, history=history,
        )  # fmt: skip
        task = self._loop.create_task(work, context=context)
        task.add_done_callback(self._on_task_done)

    def _on_service_opened(self, service: Service) -> None:
        self._service = service

    async def call_for_json(self, method: str, path: str, within: float) -> tuple[int, dict[str, Any]]:
        """Call the admin interface directly, without a connection that could fail."""
        routed = route(method, path)
        if isinstance(routed, Reply):
            return routed.status, routed.body
        if not self.running or self._service is None:
            return 0, {}
        reply = await self._service.call(*routed)
        return reply.status, reply.body

    async def upgrade(self) -> bool:
        raise HarnessError("a limiter-upgrade needs two processes: it can be played on sockets only")

    def _unix_time(self) -> float:
        return UNIX_START + self._loop.time()

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        if self._exit_code.done() or self._owner is None:
            return
        failed = task.cancelled() or task.exception() is not None
        if failed and not task.cancelled():
            self._end_reason = repr(task.exception())
        if self._observer is not None and not failed:
            self._observer.on_exited(self.name, self._owner, self._loop)
        # The process has exited: its timers are dropped and its connections closed.
        self._loop.kill(self._owner)
        self._exit_code.set_result(1 if failed else 0)

    def signal(self, number: int) -> None:
        self.expected_end |= number in (signal.SIGKILL, signal.SIGTERM)
        if not self.running or self._owner is None:
            return
        if number == signal.SIGSTOP:
            self._loop.stop_owner(self._owner)
        elif number == signal.SIGCONT:
            self._loop.resume_owner(self._owner)
            if self._observer is not None:
                self._observer.on_resumed(self.name, self._unix_time())
        elif number == signal.SIGKILL:
            self._loop.kill(self._owner)
            self._exit_code.set_result(-signal.SIGKILL)
        else:
            self._loop.deliver_signal(self._owner, number)

    def call_after_steps(self, when: str, count: int, callback: KillCallback) -> None:
        if self._owner is not None:
            turns, writes = (count, 0) if when == "turn" else (0, count)
            self._owner.set_countdown(turns, writes, callback)

    def log_tail(self) -> str:
        return self._end_reason

    async def wait_for_exit(self) -> int:
        return await asyncio.shield(self._exit_code)

    async def wait_or_kill(self) -> int:
        return await asyncio.shield(self._exit_code)

    def sample_usage(self) -> None: ...  # CPU and memory are not measurable per limiter in one process


class _ErrorHandler(logging.Handler):
    """Records an error in the log of a limiter as a complaint, which voids the run."""

    def __init__(self, runner: ScenarioRunner) -> None:
        super().__init__(logging.ERROR)
        self._runner = runner

    def emit(self, record: logging.LogRecord) -> None:
        if record.msg.startswith(CALENDAR_NOT_RELOADED) and self._runner.fleet_harness is not None:
            return  # expected: a scenario may hold an outdated calendar or a clock that is off
        self._runner.context.complain(f"a limiter logged an error: {record.getMessage()[:200]}")


@contextmanager
def _errors_void_run(runner: ScenarioRunner) -> Iterator[None]:
    logger, handler = logging.getLogger("cypresspulley"), _ErrorHandler(runner)
    propagated, logger.propagate = logger.propagate, False
    logger.addHandler(handler)
    try:
        yield
    finally:
        logger.removeHandler(handler)
        logger.propagate = propagated


@contextmanager
def _rare_gc() -> Iterator[None]:
    """Collect garbage rarely: runs make many objects and few cycles; the default threshold cost a fifth of the time."""
    previous = gc.get_threshold()
    gc.set_threshold(GC_THRESHOLD, *previous[1:])
    try:
        yield
    finally:
        gc.set_threshold(*previous)


def play_virtual(
    scenario: Scenario,
    seed: int,
    plan: Plan | None = None,
    progress: Callable[[float, ScenarioRunner], None] | None = None,
    observer: Observer | None = None,
    max_turns: int = 0,
    logs: Path | None = None,
) -> list[log.Record]:
    """Run a scenario and return its records. The same scenario, seed and plan give the same records, byte for byte.

    Raise TurnLimitError after ``max_turns`` of the loop (0 for no limit). ``logs`` is a folder for the histories that
    limiters and the harness write, if any."""
    plan, records = plan or draw_plan(scenario, seed), list[log.Record]()

    def sink(record: log.Record) -> None:
        records.append(record)
        if observer is not None:
            observer.record(record)

    async def main(loop: VirtualLoop) -> None:
        limiters = list[VirtualLimiter]()

        def limiter(name: str, host: str) -> LimiterProcess:
            sockets, operators = scenario.limiters.sockets, operators_path(scenario)
            limiters.append(
                VirtualLimiter(
                    name, (host, LIMITER_PORT), loop, plan.seed, sockets, observer, operators, folder
                )
            )
            return limiters[-1]

        loop.turns_left = max_turns

        runner = ScenarioRunner(
            scenario,
            plan,
            limiter,
            sink,
            clock=loop.time,
            unix=lambda: UNIX_START + loop.time(),
            base="127.1",
            environment=None if scenario.together is None else _make_ground(scenario, loop, limiters, logs),
        )
        if observer is not None:
            observer.now = runner.context.now
        with _errors_void_run(runner):
            try:
                await play_scenario(runner, progress)
            finally:
                await runner.close()

    with _rare_gc(), _temporary_folder(scenario) as folder:
        run_virtual(main, seed)
    return records


def _make_ground(
    scenario: Scenario, loop: VirtualLoop, limiters: list[VirtualLimiter], logs: Path | None
) -> FleetEnvironment:
    """The environment of limiters that act together; in virtual time histories are lists."""

    def clock() -> float:
        return UNIX_START + loop.time()

    names, net = limiter_names(scenario), LoopbackNetwork(scenario, "127.1")
    history = MemoryHistory(clock, clock)

    def check(wanted: list[str]) -> list[log.Checked]:
        lives = [life for each in limiters for one in each.histories for life in one.lives]
        if logs is not None:
            _write_histories([*history.lives, *lives], logs / "histories")
        return check_histories(from_memory([*history.lives, *lives]), wanted, scenario.seconds)

    def address(name: str, in_relay: bool) -> tuple[str, int]:
        return net.host(254 if in_relay else 250, names.index(name)), DATAGRAM_PORT

    def calendars() -> list[dict[str, Any]]:
        lives = (life for each in limiters for one in each.histories for life in one.lives)
        return [event for life in lives for event in life if event["kind"] == Kind.CALENDAR]

    return FleetEnvironment(history, address, check, calendars, START_DELAY)


def _write_histories(lives: list[list[dict[str, Any]]], folder: Path) -> None:
    """Write one file for each process and life, as a run on sockets does."""
    folder.mkdir(parents=True, exist_ok=True)
    encoder = msgspec.json.Encoder()
    for events in lives:
        if events:
            name = f"{events[0]['name']}-{events[0]['life']}.jsonl"
            (folder / name).write_bytes(encoder.encode_lines(events))


@contextmanager
def _temporary_folder(scenario: Scenario) -> Iterator[Path | None]:
    """Provide a folder for the calendar files and set the fleet's key, if the scenario lets limiters act together."""
    if scenario.together is None:
        yield None
        return
    previous = os.environ.get("FAWNSEAM_FLEET_KEY")
    os.environ["FAWNSEAM_FLEET_KEY"] = KEY
    try:
        with tempfile.TemporaryDirectory(prefix="fawnseam-") as folder:
            yield Path(folder)
    finally:
        del os.environ["FAWNSEAM_FLEET_KEY"]
        if previous is not None:
            os.environ["FAWNSEAM_FLEET_KEY"] = previous


def digest(records: list[log.Record]) -> str:
    """Hash a whole trace, in its order, to 16 hex digits."""
    state = blake2b(digest_size=8)
    for record in records:
        state.update(log.to_line(record).encode() + b"\n")
    return state.hexdigest()
