"""Small stand-ins for a test: servers, discovery, the counter and a client, and the start of the limiters.

Only the standard library is used. All addresses are loopback ones with free ports. Every stand-in follows the operators'
pages: PROTOCOL-fawnseam.md for the wire, DEPLOY-fawnseam.md for the configuration.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
import time
import tomllib
from collections.abc import Awaitable, Callable
from itertools import count
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
REQUEST_NUMBERS = count(0x5A10_0000_0000_0001)


class Record:
    """What was sent, answered and run, one line an event, with the time since the start of the test."""

    def __init__(self, folder: Path | None) -> None:
        self._file = open(os.devnull if folder is None else folder / "record.txt", "w", encoding="utf-8")
        self.started = time.time()

    @classmethod
    def silent(cls) -> Record:
        """A record that keeps nothing, for stand-ins that count by themselves."""
        return cls(None)

    def __call__(self, text: str) -> None:
        self._file.write(f"{time.time() - self.started:8.3f} {text}\n")
        self._file.flush()

    def say(self, text: str) -> None:
        self(text)
        print(text, flush=True)


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


def settings(**changes: Any) -> dict[str, Any]:
    """The settings object of WIRE-fawnseam.md's example, for a small deployment; ``changes`` replace whole keys."""
    plan = {"hard_burst": 0.0, "never_over_rate": 0.0, "over_cost": 0.5, "over_worth": 0.0, "parallel": 0,
            "tolerance": 0.0}
    base: dict[str, Any] = {
        "classes": [
            {"aim_s": 1.2, "effect": "idempotent", "group": "all", "hard_limit_s": 4.0, "late_worth": 0.0,
             "name": "bag-lookup", "streaming": False, "window_s": 5.0, "worth": 2.0},
            {"aim_s": 2.0, "effect": "at_most_once", "group": "all", "hard_limit_s": 5.0, "late_worth": 0.0,
             "name": "handover-post", "streaming": False, "window_s": 5.0, "worth": 5.0},
        ],
        "clients": {"marks_retry": True},
        "contract": {"answer_slack_s": 0.008, "cold_from": 0.15, "fall_multiple": 2.5, "fall_s": 2.0,
                     "must_ask_in_s": 10.0, "stop_sending_within_s": 2.0, "warm_after_s": 15.0},
        "discovery": "push", "failure_domains": ["east-hall", "west-hall", "dock-hall"], "family": "gate",
        "kinds": ["small-2core"], "layers": ["bag-servers"],
        "limits": {"cancel": True, "conn_idle_s": 30.0, "cpu_us_per_request": 0.0, "cpu_us_per_s": 500000,
                   "dial_timeout_s": 0.25, "max_attempts": 4, "max_retry_after_s": 1.0, "max_streams": 32,
                   "may_duplicate": True, "open_cap": 20000, "peers": False, "probes": True, "retry_after": True},
        "me": 0, "my_zone": "east-hall", "n_instances": 3, "period_s": 0.002,
        "prices": {"connection": 0.0, "cross_zone": 0.01, "discovery": 0.0, "handshake": 0.0, "late_fail": 0.05,
                   "moves": 0.0, "origin": 0.0, "peer": 0.0, "probe": 0.01, "waste": 0.08},
        "report": {"fields": ["queue", "qps", "inflight"], "how": "inline"},
        "result_mix": {"whole": 0.55, "worst_class": 0.0, "worst_tenant": 0.25, "worst_window": 0.2},
        "specifics": {"call_price": 0.005, "cost_after": False, "count_wait_s": 0.05, "has_counter": True,
                      "inbox_per_s": 0.0, "max_units": 1, "meter_s": 0.0},
        "tariffs": [
            plan | {"name": "guesthouse", "price": 0.5, "quota_rate": 0.95, "store_size": 4.0},
            plan | {"name": "standard", "price": 0.88, "quota_rate": 1.0, "store_size": 5.0},
            plan | {"name": "business", "price": 1.2, "quota_rate": 2.7, "store_size": 16.0,
                    "never_over_rate": 4.8, "hard_burst": 28.0, "tolerance": 3.0},
            plan | {"name": "chain", "price": 1.8, "quota_rate": 6.6, "store_size": 10.0, "parallel": 40},
        ],
        "tier": 0, "weights": "off",
    }
    return base | changes


class Message:
    """One HTTP message: first line, headers with lower-case names, body."""

    def __init__(self, first: str, fields: dict[str, str], body: bytes) -> None:
        self.first, self.fields, self.body = first, fields, body


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.rstrip().split("\r\n")
    return first, {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read a message with a Content-Length or a chunked body."""
    first, fields = await read_head(reader)
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readuntil(b"\r\n")
        return Message(first, fields, body)
    return Message(first, fields, await reader.readexactly(int(fields.get("content-length", "0"))))


class Listener:
    """A TCP listener whose connections are served by ``talk``."""

    def __init__(self, talk: Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]) -> None:
        self._talk = talk
        self._writers = set[asyncio.StreamWriter]()
        self.address = ""

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, backlog=1024)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            await self._talk(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the other side has gone, or the test is over
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    def close(self) -> None:
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()


class Server:
    """A bag server. A request begins when its last byte has come; ``behave`` may replace the sound behaviour."""

    def __init__(self, name: str, record: Record, work_s: float = 0.12) -> None:
        self.name, self.record, self.work_s = name, record, work_s
        self.ran = list[tuple[float, str, str]]()  # time, request id, class
        self.inflight = 0
        self.headers = ""  # further lines of each good answer, such as the true units where they are settled afterwards
        self.kind = "small-2core"
        self.behave: Callable[[Message, asyncio.StreamWriter], Awaitable[bool]] | None = None
        self.listener = Listener(self._talk)

    def entry(self, health: str = "ready", born_ms: int = 0, zone: str = "east-hall") -> dict[str, Any]:
        return {"host": self.name, "dial": self.listener.address, "site": zone, "class": self.kind, "block": 1,
                "health": health, "share": 1.0, "born_ms": born_ms}

    async def _talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            message = await read_message(reader)
            method, target, _ = message.first.split(" ")
            if target.startswith(("/healthz", "/load")):
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                continue
            id, kind = message.fields.get("x-request-id", "?"), message.fields.get("x-priority-class", "?")
            self.ran.append((time.time(), id, kind))
            self.record(f"{self.name} ran {id} {method} {kind} body {len(message.body)}")
            if self.behave is not None and await self.behave(message, writer):
                continue
            self.inflight += 1
            try:
                await asyncio.sleep(self.work_s)
            finally:
                self.inflight -= 1
            body = f"{self.name} {id}".encode()
            writer.write(
                f"HTTP/1.1 200 OK\r\nX-Server-Load: queue=0,qps=5,inflight={self.inflight}\r\n"
                f"{self.headers}Content-Length: {len(body)}\r\n\r\n".encode() + body
            )
            self.record(f"{self.name} answered {id}")
            await writer.drain()


class Discovery:
    """The agent of discovery: the whole list, and a watch with the changes."""

    def __init__(self) -> None:
        self.seq, self.hosts = 1, dict[str, dict[str, Any]]()
        self._changes = list[tuple[int, dict[str, Any]]]()
        self._changed = asyncio.Event()
        self.listener = Listener(self._talk)

    def whole(self) -> dict[str, Any]:
        return {"seq": self.seq, "whole": True, "hosts": list(self.hosts.values())}

    def change(self, *entries: dict[str, Any]) -> None:
        self.seq += 1
        for entry in entries:
            self._changes.append((self.seq, entry))
            if entry["health"] == "gone":
                self.hosts.pop(entry["host"], None)
            else:
                self.hosts[entry["host"]] = entry
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        first, _ = await read_head(reader)
        if "follow=1" not in first:
            body = json.dumps(self.whole()).encode()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
            return await writer.drain()
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        known = self._line(writer, self.whole())
        while True:
            try:
                await asyncio.wait_for(self._changed.wait(), 2.0)
            except TimeoutError:
                writer.write(b"1\r\n\n\r\n")
            if known < self.seq:
                hosts = [entry for seq, entry in self._changes if seq > known]
                known = self._line(writer, {"seq": self.seq, "whole": False, "hosts": hosts})
            await writer.drain()

    @staticmethod
    def _line(writer: asyncio.StreamWriter, value: dict[str, Any]) -> int:
        line = json.dumps(value).encode() + b"\n"
        writer.write(b"%x\r\n%b\r\n" % (len(line), line))
        return int(value["seq"])


class Counter:
    """The count keeper: adds to a named count that lives for a time from its first call."""

    def __init__(self) -> None:
        self._counts = dict[str, tuple[float, float]]()
        self.listener = Listener(self._talk)

    async def _talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while line := await reader.readline():
            words = line.decode().split()
            if words == ["ping"]:
                writer.write(b"pong\r\n")
                continue
            if len(words) != 4 or words[0] != "tally":
                writer.write(b"error\r\n")
                continue
            now, (total, until) = time.monotonic(), self._counts.get(words[1], (0.0, 0.0))
            if now >= until:
                total, until = 0.0, now + min(60.0, float(words[3]) / 1000)
            self._counts[words[1]] = total + float(words[2]), until
            writer.write(b"ok %.6f\r\n" % (total + float(words[2])))


class Limiter:
    """One limiter, started by the deploy file's ``run``."""

    def __init__(self, folder: Path, name: str, config: dict[str, Any], arguments: str = "") -> None:
        self.folder, self.name, self.config, self.arguments = folder, name, config, arguments
        self.path = folder / f"{name}.json"
        self.log = folder / f"{name}.log"
        self.process: asyncio.subprocess.Process | None = None
        self.environment = dict[str, str]()

    @property
    def address(self) -> tuple[str, int]:
        host, _, port = self.config["listen"].rpartition(":")
        return host, int(port)

    def write_config(self) -> None:
        partial = self.path.with_suffix(".new")
        partial.write_text(json.dumps(self.config))
        os.replace(partial, self.path)

    async def start(self) -> None:
        self.write_config()
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        environment = os.environ | {
            "LB_CONFIG": str(self.path), "LB_NAME": self.name, "LB_LISTEN": self.config["listen"],
            "LB_DISCOVERY": self.config["discovery"], "TMPDIR": str(self.folder),
        } | self.environment
        with open(self.log, "a") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", run + self.arguments, cwd=ROOT, env=environment, stdout=log, stderr=log,
                start_new_session=True,
            )

    async def ready(self, seconds: float = 30.0) -> None:
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            try:
                reader, writer = await asyncio.open_connection(*self.address)
                writer.write(b"GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                first, _ = await asyncio.wait_for(read_head(reader), 1.0)
                writer.transport.abort()
                if " 200 " in first:
                    return
            except (OSError, TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} was not ready in {seconds} s")

    def signal(self, number: int) -> None:
        assert self.process is not None
        if self.process.returncode is None:
            self.process.send_signal(number)

    @property
    def exit_code(self) -> int | None:
        return None if self.process is None else self.process.returncode

    async def kill(self) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()


class CannotRun(Exception):
    """The case could not run; exit code 2."""


def request_bytes(
    kind: str, account: int, plan: str = "guesthouse", ttl_ms: int = 4000, body: bytes | None = None,
    length: int | None = None, spread: int = 3, first: int = 0, extra: str = "", units: str = "1", id: str = "",
) -> tuple[str, bytes]:
    """Return id and bytes of a request; with ``length`` the head announces a body that is written later."""
    id = id or f"{next(REQUEST_NUMBERS):016x}"
    size = length if length is not None else (None if body is None else len(body))
    method = "GET" if size is None else "POST"
    framing = "" if size is None else f"Content-Length: {size}\r\n"
    head = (
        f"{method} /{kind}?account={account:016x} HTTP/1.1\r\nHost: origin.svc\r\nX-Request-ID: {id}\r\n"
        f"X-Priority-Class: {kind}\r\nX-Plan: {plan}\r\nX-Timeout-Ms: {ttl_ms}\r\n{extra}{framing}"
        f"X-Quota: units={units},spread={spread},first={first}\r\n\r\n"
    )
    return id, head.encode() + (body or b"")


def run_main(main: Callable[[Path, Record, bool], Awaitable[int]], folder: Path, seconds: float = 115.0) -> None:
    """Run a case and exit with its code: 1 the rule was broken, 0 it held, 2 it could not run."""
    record, trouble = Record(folder), os.environ.get("TROUBLE", "1") != "0"

    async def bounded() -> int:
        async with asyncio.timeout(seconds):
            return await main(folder, record, trouble)

    try:
        code = asyncio.run(bounded())
    except (CannotRun, OSError, TimeoutError) as error:
        record.say(f"could not run: {error!r}")
        code = 2
    record.say(f"exit {code}")
    sys.exit(code)
