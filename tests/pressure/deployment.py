"""One real limiter with stand-in servers, a well-behaved client beside it, and what the limiter's process used."""

from __future__ import annotations

import asyncio
import json
import os
import socket
import sys
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field
from itertools import count
from pathlib import Path
from random import Random
from typing import Any

from tests.loopback import OK, listening
from tests.ports import free_port
from tests.test_program import Program

SERVERS = 6
LOOKUPS_PER_SECOND = 20
LOOKUP_TTL_MS = 2000
ANSWER_SLACK_SECONDS = 0.5  # after its deadline an answer counts as lost
ACCOUNTS = 40
START_SECONDS = 10.0

CLASSES: list[dict[str, Any]] = [
    {"name": "lookup", "aim_s": 1.2, "effect": "idempotent", "worth": 2.0, "group": "all", "hard_limit_s": 4.0},
    {"name": "post", "aim_s": 2.0, "effect": "at_most_once", "worth": 5.0, "group": "all", "hard_limit_s": 5.0},
]  # fmt: skip
SETTINGS: dict[str, Any] = {
    "classes": CLASSES, "n_instances": 1, "me": 0, "my_zone": "a",
    "tariffs": [{"name": "basic", "quota_rate": 1000.0, "store_size": 1000.0}],
    "limits": {
        "max_attempts": 3, "retry_after": True, "max_retry_after_s": 1.0, "dial_timeout_s": 0.25, "conn_idle_s": 30.0,
    },
    "contract": {"cold_from": 1.0, "warm_after_s": 0.0, "fall_multiple": 2.0, "fall_s": 1.0},
}  # fmt: skip

_request_numbers = count(int(time.time() * 1000) << 20)


@dataclass(frozen=True, slots=True)
class ServerRequest:
    """A request as a server received it; ``body`` is empty where the server left the body unread."""

    method: str
    kind: str
    fields: dict[str, str]
    body: bytes


# Writes the response; the connection ends when it raises OSError. Called before the body is read.
Behaviour = Callable[[ServerRequest, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class Run:
    """The beginning of a request at a server: when its last byte had come, its id and the server."""

    at: float
    id: str
    server: str


async def read_fields(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Read the head of a message; return its first line and its fields by lower-case name."""
    first, *lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").rstrip().split("\r\n")
    return first, {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}


async def read_body(reader: asyncio.StreamReader, fields: dict[str, str]) -> bytes:
    """Read a body with a length or in chunks."""
    if fields.get("transfer-encoding", "").lower() != "chunked":
        return await reader.readexactly(int(fields.get("content-length", "0")))
    body = bytearray()
    while size := int((await reader.readuntil(b"\r\n")).partition(b";")[0], 16):
        body += await reader.readexactly(size)
        await reader.readexactly(2)
    await reader.readuntil(b"\r\n")
    return bytes(body)


async def answer_at_once(
    request: ServerRequest, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Read the body and answer."""
    await read_body(reader, request.fields)
    writer.write(OK)


class StandIn:
    """A server that behaves as told for some classes and soundly for the others; it records what ran."""

    def __init__(self, name: str, behaviours: dict[str, Behaviour], runs: list[Run]) -> None:
        self.name = name
        self._behaviours = behaviours
        self._runs = runs

    async def talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            first, fields = await read_fields(reader)
            method, target, _ = first.split(" ")
            kind = target[1:].partition("?")[0]
            if kind in ("healthz", "load"):
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                continue
            request = ServerRequest(method, kind, fields, b"")
            self._runs.append(Run(time.monotonic(), fields.get("x-request-id", "?"), self.name))
            await self._behaviours.get(kind, answer_at_once)(request, reader, writer)
            await writer.drain()


def request_head(
    kind: str,
    method: str = "GET",
    ttl_ms: int = LOOKUP_TTL_MS,
    framing: str = "",
    id: str = "",
    account: int = 1,
    extra: str = "",
) -> bytes:
    """Return the head of a request in the protocol's form, with a new id unless one is given."""
    id = id or f"{next(_request_numbers) & (1 << 64) - 1:016x}"
    return (
        f"{method} /{kind}?account={account:016x} HTTP/1.1\r\nHost: origin.svc\r\nX-Request-ID: {id}\r\n"
        f"X-Priority-Class: {kind}\r\nX-Plan: basic\r\nX-Timeout-Ms: {ttl_ms}\r\n"
        f"X-Quota: units=1,spread=1,first=0\r\n{extra}{framing}\r\n"
    ).encode()


@dataclass(slots=True)
class Lookups:
    """What became of the well-behaved client's requests: seconds until each answer, and how many had none."""

    seconds: list[float] = field(default_factory=list)
    statuses: list[int] = field(default_factory=list)
    unanswered: int = 0

    @property
    def served(self) -> int:
        return self.statuses.count(200)

    @property
    def slowest(self) -> float:
        return max(self.seconds, default=0.0)


class Deployment:
    """A running limiter with its servers."""

    def __init__(self, program: Program, listen: str, runs: list[Run], log: Path) -> None:
        self.program, self.listen, self.runs, self.log = program, listen, runs, log

    @property
    def address(self) -> tuple[str, int]:
        host, _, port = self.listen.rpartition(":")
        return host, int(port)

    async def connect(
        self, receive_buffer: int | None = None
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Connect as a client; ``receive_buffer`` limits the kernel's buffer for what the limiter sends, in bytes."""
        sock = socket.socket()
        sock.setblocking(False)
        if receive_buffer is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        try:
            await asyncio.get_running_loop().sock_connect(sock, self.address)
        except OSError:
            sock.close()
            raise
        return await asyncio.open_connection(sock=sock)

    def memory_mb(self, field_name: str = "VmRSS") -> float:
        """Return a figure of the limiter's memory: VmRSS is the present, VmHWM the peak since its start."""
        for line in Path(f"/proc/{self.program.process.pid}/status").read_text().splitlines():
            if line.startswith(f"{field_name}:"):
                return int(line.split()[1]) / 1024
        raise ProcessLookupError("the limiter's process has ended")

    async def fetch(self, request: bytes, seconds: float) -> tuple[int, bytes, float]:
        """Send a request on a new connection; return status, body and seconds. Raise TimeoutError or OSError."""
        started = time.monotonic()
        async with asyncio.timeout(seconds):
            reader, writer = await self.connect()
            try:
                writer.write(request)
                first, fields = await read_fields(reader)
                body = await read_body(reader, fields)
            finally:
                writer.transport.abort()
        return int(first.split(" ")[1]), body, time.monotonic() - started

    async def look_up(self, found: Lookups, account: int) -> None:
        """Send one lookup on a connection of its own, and note what became of it."""
        patience = LOOKUP_TTL_MS / 1000 + ANSWER_SLACK_SECONDS
        try:
            status, _, seconds = await self.fetch(request_head("lookup", account=account), patience)
        except (TimeoutError, OSError, asyncio.IncompleteReadError):
            found.unanswered += 1
            return
        found.statuses.append(status)
        found.seconds.append(seconds)

    async def look_up_for(self, seconds: float) -> Lookups:
        """Send lookups at a steady rate for some seconds, and wait for their answers."""
        found = Lookups()
        async with asyncio.TaskGroup() as group:
            for number in range(int(seconds * LOOKUPS_PER_SECOND)):
                group.create_task(self.look_up(found, number % ACCOUNTS + 1))
                await asyncio.sleep(1 / LOOKUPS_PER_SECOND)
        return found


def limiter_config(
    folder: Path, hosts: Sequence[dict[str, Any]], limits: dict[str, Any], settings: dict[str, Any]
) -> dict[str, Any]:
    return {
        "name": "n0", "listen": f"127.0.0.1:{free_port()}", "discovery": "127.0.0.1:1",
        "seed": f"{Random(str(folder)).getrandbits(60):016x}", "limits": {"sockets": 1024} | limits,
        "known": {"seq": 41, "whole": True, "hosts": list(hosts)}, "settings": settings,
    }  # fmt: skip


@asynccontextmanager
async def deployed(
    folder: Path, behaviours: dict[str, Behaviour] | None = None, settings: dict[str, Any] = SETTINGS,
    receive_buffer: int | None = None, **limits: int,
) -> AsyncIterator[Deployment]:  # fmt: skip
    """Start servers and a limiter with these ``limits``, such as ``memory_mb``; end them afterwards.

    ``receive_buffer`` limits the kernel's buffers of the servers, in bytes.
    """
    runs = list[Run]()
    async with AsyncExitStack() as stack:
        hosts = []
        for number in range(SERVERS):
            server = StandIn(f"s{number}", behaviours or {}, runs)
            dial = await stack.enter_async_context(listening(server.talk, receive_buffer))
            hosts.append(
                {"host": server.name, "dial": dial, "site": "a", "block": 0, "health": "ready", "born_ms": 0}
            )
        raw = limiter_config(folder, hosts, limits, settings)
        (folder / "config.json").write_text(json.dumps(raw))
        log_path = folder / "limiter.log"
        with log_path.open("w") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "cypresspulley", stderr=log,
                env={**os.environ, "LB_CONFIG": str(folder / "config.json")},
            )  # fmt: skip
        program = Program(process, raw["listen"])
        try:
            async with asyncio.timeout(START_SECONDS):
                await program.ready()
            yield Deployment(program, raw["listen"], runs, log_path)
        finally:
            if process.returncode is None:
                process.kill()
            await process.wait()
