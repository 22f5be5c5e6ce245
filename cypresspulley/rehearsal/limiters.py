"""Runs the limiters of a rehearsal as real processes: writes their configuration, starts, signals and stops them."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import resource
import signal
import socket
import subprocess
from collections.abc import Callable
from pathlib import Path
from typing import Any, BinaryIO

import psutil

from cypresspulley.histories.clock import Shift
from cypresspulley.rehearsal.plan import random_for
from cypresspulley.rehearsal.scenario import Scenario

READY_TIMEOUT_SECONDS = 20.0  # from the start to the first 200 from /healthz
STOP_TIMEOUT_SECONDS = 6.0  # from SIGTERM to SIGKILL
UPGRADE_TIMEOUT_SECONDS = 6.0  # for the successor process to report ready
LOG_TAIL_BYTES = 400  # of a limiter's log that an error message quotes
MAX_ANSWER_BYTES = 64 * 1024  # of an answer on the operator address


class HarnessError(Exception):
    """Raised when the rehearsal itself cannot go on. The message says what to do."""


def write_atomically(path: Path, text: str) -> None:
    """Replace a file atomically, so that a concurrent reader sees either the old text or the new one.

    Raise ``HarnessError`` if it cannot be written.
    """
    partial = path.with_name(path.name + ".part")
    try:
        partial.write_text(text, encoding="utf-8")
        partial.replace(path)
    except OSError as error:
        raise HarnessError(f"cannot write {path}: {error.strerror}: free the disk or choose --logs") from None


def wire_settings(scenario: Scenario, index: int, hall: str) -> dict[str, Any]:
    """Return the settings object of a limiter's configuration, with the protocol's keys and times in seconds."""
    effects = {"safe": "idempotent", "keyed": "deduplicated", "unsafe": "at_most_once"}
    fleet = scenario.fleet
    return {
        "me": index, "n_instances": scenario.limiters.count, "my_zone": hall,
        "classes": [
            {"name": c.name, "aim_s": c.aim_ms / 1000, "hard_limit_s": c.deadline_ms / 1000, "worth": c.worth,
             "effect": effects[c.effect], "group": c.group, "window_s": c.window, "late_worth": 0.0}
            for c in scenario.classes
        ],
        "tariffs": [
            {"name": p.name, "price": p.price, "quota_rate": p.rate, "store_size": p.burst,
             "parallel": p.open_limit, "over_worth": p.over_worth, "over_cost": p.over_cost,
             "never_over_rate": p.rate * p.ceiling, "hard_burst": p.burst * p.ceiling,
             "tolerance": max(0.1 * p.burst * p.ceiling, 1.0)}
            for p in scenario.plans
        ],
        "limits": {
            "max_attempts": scenario.limiters.max_attempts, "may_duplicate": True, "cancel": True,
            "probes": True, "retry_after": True, "max_retry_after_s": 1.0, "dial_timeout_s": 0.25,
            "conn_idle_s": fleet.idle_seconds,
        },
        "report": {"how": "inline", "fields": ["queue", "qps", "inflight"]},
        "contract": {
            "cold_from": fleet.cold_share, "warm_after_s": fleet.cold_seconds,
            "fall_multiple": fleet.fall_multiple, "fall_s": fleet.fall_seconds,
            "stop_sending_within_s": fleet.drain_grace, "answer_slack_s": 0.008,
        },
        "specifics": {
            "has_counter": True, "count_wait_s": scenario.keeper.give_up_ms / 1000, "max_units": 1.0,
        },
    }  # fmt: skip


def free_port(host: str) -> int:
    """Return a free TCP port of ``host``. It stays free, because no other run uses the address."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        port: int = probe.getsockname()[1]
        return port


def free_datagram_port(host: str) -> int:
    """Return a free UDP port of ``host``."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        probe.bind((host, 0))
        port: int = probe.getsockname()[1]
        return port


def virtual_time_only(when: str) -> HarnessError:
    """Return the error for a kill at a turn or write, which only the virtual event loop can observe."""
    return HarnessError(
        f"a limiter-kill with when = {when!r} can be played in virtual time only: add --virtual"
    )


KillCallback = Callable[[], object]


class LimiterProcess:
    """One limiter: starts it from its configuration file, signals it and waits for its exit."""

    def __init__(
        self, name: str, address: tuple[str, int], folder: Path, command: list[str], seed: int, sockets: int
    ) -> None:  # fmt: skip
        self.name = name
        self.address = address
        self._folder = folder
        self._command = command
        self._seed = seed
        self._sockets = sockets
        self._config_path = folder / f"{name}.json"
        self.log_path = folder / f"{name}.log"
        self.process: asyncio.subprocess.Process | None = None
        self._ps_process: psutil.Process | None = None
        self._log_file: BinaryIO | None = None
        self.start_count = 0
        self.cpu_seconds = 0.0
        self.memory_mb = 0.0
        self._process_cpu_seconds = 0.0
        self.expected_end = False
        self.has_operator_address = False  # whether it listens for operators' calls
        self._operator_address: tuple[str, int] | None = None
        self._raw_config = dict[str, Any]()
        self._environment = dict[str, str]()

    def __repr__(self) -> str:
        state = f"pid {self.process.pid}" if self.process and self.process.returncode is None else "down"
        return f"<LimiterProcess {self.name} {state}, life {self.start_count}>"

    @property
    def running(self) -> bool:
        return self.process is not None and self.process.returncode is None

    def configure(self, raw: dict[str, Any]) -> None:
        """Write its configuration file atomically, because a reload may read it at any time."""
        listen = f"{self.address[0]}:{self.address[1]}"
        seed = f"{random_for(self._seed, 'limiter', self.name, self.start_count).getrandbits(64):016x}"
        self._raw_config = raw
        if self.has_operator_address:
            self._operator_address = self.address[0], free_port(self.address[0])
            raw = raw | {"operator": f"{self._operator_address[0]}:{self._operator_address[1]}"}
        text = json.dumps({"name": self.name, "listen": listen, "seed": seed, **raw}, indent=1)
        write_atomically(self._config_path, text)

    def configure_plan_book(self, host: str, port: int) -> None:
        """Set the address of the plan book's writer, which the limiter follows from its next start on."""
        path = self._folder / f"{self.name}-operators.toml"
        path.write_text(f'[plans]\nwriter = "{host}:{port}"\ninstallation = "rehearsal"\n')
        self._command = [*self._command, "--operators", str(path)]

    def configure_fleet(self, tables: dict[str, dict[str, Any]], key: str) -> None:
        """Set operators' tables, fleet key, history and clock file, all from the next start on."""
        import tomli_w  # only needed for scenarios with [together]

        tables = {name: dict(table) for name, table in tables.items()}
        histories = self._folder / "histories"
        histories.mkdir(exist_ok=True)
        path = str(histories / f"{self.name}-{{life}}.jsonl")
        tables["history"] = {"path": path, "clock": str(self._sibling_path(".clock"))}
        if "closing" in tables:
            tables["closing"]["calendars"] = self._sibling_path("-calendars.toml").name
        operators = self._sibling_path("-operators.toml")
        write_atomically(operators, tomli_w.dumps(tables))
        self._command = [*self._command, "--operators", str(operators)]
        self._environment["FAWNSEAM_FLEET_KEY"] = key
        self.set_clock_shift(Shift())

    def write_calendar(self, raw: dict[str, Any], reload: bool = False) -> None:
        """Replace its calendar file. With ``reload``, SIGHUP makes the limiter read it now."""
        import tomli_w

        write_atomically(self._sibling_path("-calendars.toml"), tomli_w.dumps(raw))
        if reload:
            self.signal(signal.SIGHUP)

    def set_clock_shift(self, shift: Shift) -> None:
        """Shift its wall clock from now on. Its steady clock stays as it is."""
        write_atomically(self._sibling_path(".clock"), shift.line())

    def _sibling_path(self, ending: str) -> Path:
        return self._folder / f"{self.name}{ending}"

    async def start(self) -> None:
        self.start_count += 1
        await self._start_process()

    async def _start_process(self) -> None:
        self.expected_end = False
        env = {**os.environ, "LB_CONFIG": str(self._config_path), "LB_NAME": self.name}
        env |= self._environment
        if self.has_operator_address:
            shared = self._folder / f"{self.name}-tmp"
            shared.mkdir(exist_ok=True)
            env["TMPDIR"] = str(shared)
        try:
            self._log_file = open(self.log_path, "ab")  # noqa: SIM115 -- inherited by the child process
            self.process = await asyncio.create_subprocess_exec(
                *self._command, env=env, stdin=subprocess.DEVNULL, stdout=self._log_file, stderr=self._log_file,
                start_new_session=True, preexec_fn=self._limit_descriptors,
            )  # fmt: skip
        except OSError as error:
            raise HarnessError(f"{self.name} does not start: {error}: see {self.log_path}") from None
        finally:
            if self._log_file is not None:
                self._log_file.close()
        self._process_cpu_seconds = 0.0
        with contextlib.suppress(psutil.Error):
            self._ps_process = psutil.Process(self.process.pid)

    async def call(self, method: str, path: str) -> int:
        """Send an operators' call and return the status, or 0 if there is no answer within a second."""
        return (await self.call_for_json(method, path, 1.0))[0]

    async def call_for_json(self, method: str, path: str, within: float) -> tuple[int, dict[str, Any]]:
        """Send an operators' call and return the answer's status and object.

        Return 0 and an empty object if there is no valid answer ``within`` so many seconds.
        """
        if self._operator_address is None:
            return 0, {}
        try:
            async with asyncio.timeout(within):
                reader, writer = await asyncio.open_connection(*self._operator_address)
                try:
                    writer.write(f"{method} {path} HTTP/1.1\r\nHost: door\r\n\r\n".encode())
                    head, _, body = (await reader.read(MAX_ANSWER_BYTES)).partition(b"\r\n\r\n")
                    while more := await reader.read(MAX_ANSWER_BYTES):
                        body += more
                        if len(body) > MAX_ANSWER_BYTES:
                            break
                    raw = json.loads(body or b"{}")
                    return int(head.split()[1]), raw if isinstance(raw, dict) else {}
                finally:
                    writer.transport.abort()
        except (OSError, TimeoutError, IndexError, ValueError):
            return 0, {}

    async def upgrade(self) -> bool:
        """Start a successor process, wait until it is ready and stop the old process.

        Return False if the limiter is not running. Raise ``HarnessError`` if either process takes too long.
        """
        old = self.process
        if old is None or not self.running:
            return False
        self.configure(self._raw_config)  # the same but for the operator address
        await self._start_process()
        try:
            async with asyncio.timeout(UPGRADE_TIMEOUT_SECONDS):
                while await self.call("GET", "/v1/readyz") != 200:
                    await asyncio.sleep(0.03)
        except TimeoutError:
            raise HarnessError(
                f"{self.name}: the new process was not ready within {UPGRADE_TIMEOUT_SECONDS:g} s"
            ) from None
        old.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(STOP_TIMEOUT_SECONDS):
                await old.wait()
        except TimeoutError:
            old.kill()
            raise HarnessError(
                f"{self.name}: the old process ignored SIGTERM for {STOP_TIMEOUT_SECONDS:g} s"
            ) from None
        return True

    def _limit_descriptors(self) -> None:
        """Run in the child before exec: limit its file descriptors to the configured number."""
        resource.setrlimit(resource.RLIMIT_NOFILE, (self._sockets, self._sockets))

    async def wait_until_ready(self) -> None:
        """Wait until /healthz answers 200. Raise ``HarnessError`` if it exits first or takes too long."""
        try:
            async with asyncio.timeout(READY_TIMEOUT_SECONDS):
                while not await self._is_healthy():
                    if not self.running:
                        code = self.process.returncode if self.process else None
                        raise HarnessError(
                            f"{self.name} ended with code {code} before it was ready: {self.log_tail()}"
                        )
                    await asyncio.sleep(0.03)
        except TimeoutError:
            raise HarnessError(
                f"{self.name} was not ready within {READY_TIMEOUT_SECONDS:g} s: {self.log_tail()}"
            ) from None

    async def _is_healthy(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(*self.address)
        except OSError:
            return False
        try:
            writer.write(b"GET /healthz HTTP/1.1\r\nHost: rehearsal\r\nConnection: close\r\n\r\n")
            async with asyncio.timeout(1.0):
                return (await reader.readline()).startswith(b"HTTP/1.1 200")
        except (OSError, TimeoutError):
            return False
        finally:
            writer.transport.abort()

    def log_tail(self) -> str:
        try:
            return (
                self.log_path.read_bytes()[-LOG_TAIL_BYTES:].decode("utf-8", "replace").strip()
                or "its log is empty"
            )
        except OSError:
            return f"see {self.log_path}"

    def signal(self, number: int) -> None:
        """Send it a signal, unless it has exited."""
        self.sample_usage()
        self.expected_end |= number in (signal.SIGKILL, signal.SIGTERM)
        if self.process is not None and self.running:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(number)

    async def wait_for_exit(self) -> int:
        """Wait for its exit without a time limit and return the exit code."""
        return await self.process.wait() if self.process is not None else 0

    async def wait_or_kill(self) -> int:
        """Wait for its exit and return the exit code.

        Kills a process that ignores SIGTERM, and raises ``HarnessError``.
        """
        within = STOP_TIMEOUT_SECONDS
        if self.process is None:
            return 0
        try:
            async with asyncio.timeout(within):
                return await self.process.wait()
        except TimeoutError:
            self.signal(signal.SIGKILL)
            await self.process.wait()
            raise HarnessError(f"{self.name} ignored SIGTERM for {within:g} s and was killed") from None

    def sample_usage(self) -> None:
        """Update the CPU time and peak memory that it has used so far."""
        if self._ps_process is None:
            return
        with contextlib.suppress(psutil.Error):
            times, memory = self._ps_process.cpu_times(), self._ps_process.memory_info().rss / 1e6
            now = times.user + times.system
            self.cpu_seconds += max(0.0, now - self._process_cpu_seconds)
            self._process_cpu_seconds, self.memory_mb = (
                max(self._process_cpu_seconds, now),
                max(self.memory_mb, memory),
            )

    def call_after_steps(self, when: str, count: int, callback: KillCallback) -> None:
        """Call ``callback`` after ``count`` turns or writes. Raise always, since a real process does not show them."""
        raise virtual_time_only(when)
