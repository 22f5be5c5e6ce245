"""Stand-ins and helpers for the cases 6 to 10: discovery, counter, servers, clients, and limiters as processes.

Only the standard library is used. Everything listens on 127.0.0.1, on ports that the system chooses.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
SETTINGS = {
    "classes": [
        {"aim_s": 1.2, "effect": "idempotent", "group": "all", "hard_limit_s": 4.0, "late_worth": 0.0,
         "name": "bag-lookup", "streaming": False, "window_s": 5.0, "worth": 2.0},
        {"aim_s": 2.0, "effect": "at_most_once", "group": "all", "hard_limit_s": 5.0, "late_worth": 0.0,
         "name": "handover-post", "streaming": False, "window_s": 5.0, "worth": 5.0},
    ],
    "clients": {"marks_retry": True},
    "contract": {"answer_slack_s": 0.008, "cold_from": 0.15, "fall_multiple": 2.5, "fall_s": 2.0,
                 "must_ask_in_s": 10.0, "stop_sending_within_s": 2.0, "warm_after_s": 15.0},
    "discovery": "push",
    "failure_domains": ["east-hall", "west-hall", "dock-hall"],
    "family": "gate",
    "kinds": ["small-2core"],
    "layers": ["bag-servers"],
    "limits": {"cancel": True, "conn_idle_s": 30.0, "cpu_us_per_request": 0.0, "cpu_us_per_s": 500000,
               "dial_timeout_s": 0.25, "max_attempts": 4, "max_retry_after_s": 1.0, "max_streams": 32,
               "may_duplicate": True, "open_cap": 20000, "peers": False, "probes": True, "retry_after": True},
    "me": 0,
    "my_zone": "east-hall",
    "n_instances": 3,
    "period_s": 0.002,
    "prices": {},
    "report": {"fields": ["queue", "qps", "inflight"], "how": "inline"},
    "result_mix": {},
    "specifics": {"call_price": 0.005, "cost_after": False, "count_wait_s": 0.05, "has_counter": True,
                  "inbox_per_s": 0.0, "max_units": 1, "meter_s": 0.0},
    "tariffs": [
        {"hard_burst": 0.0, "name": "standard", "never_over_rate": 0.0, "over_cost": 0.5, "over_worth": 0.0,
         "parallel": 0, "price": 0.88, "quota_rate": 1.0, "store_size": 5.0, "tolerance": 0.0},
        {"hard_burst": 28.0, "name": "business", "never_over_rate": 4.8, "over_cost": 0.5, "over_worth": 0.0,
         "parallel": 0, "price": 1.2, "quota_rate": 2.7, "store_size": 16.0, "tolerance": 3.0},
        {"hard_burst": 0.0, "name": "chain", "never_over_rate": 0.0, "over_cost": 0.5, "over_worth": 0.0,
         "parallel": 0, "price": 1.8, "quota_rate": 6.6, "store_size": 10.0, "tolerance": 0.0},
    ],
    "tier": 0,
    "weights": "off",
}


def free_port() -> int:
    """Return a port that nobody listens at now."""
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return int(sock.getsockname()[1])


class CannotRunError(Exception):
    """The case could not be set up; its verdict is 2."""


class Record:
    """Writes record.txt: one line an event, with the seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self._file = open(folder / "record.txt", "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self.start

    def put(self, text: str) -> None:
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()

    def say(self, text: str) -> None:
        self.put(text)
        print(text, flush=True)


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """Return the first line of a message and its headers by lower-case name; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    return first, {k.strip().lower(): v.strip() for k, _, v in (line.partition(":") for line in lines if line)}


class Discovery:
    """The agent of the protocol page: the whole list, and a watch with an empty line every 2 s."""

    def __init__(self) -> None:
        self.seq = 1
        self.hosts = dict[str, dict]()  # as listed now
        self._changes = list[tuple[int, dict]]()
        self._wake = asyncio.Event()
        self.port = 0

    async def start(self) -> None:
        server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = server.sockets[0].getsockname()[1]

    def tell(self, host: str, dial: str, health: str = "ready", born_ms: int = 0, site: str = "east-hall") -> None:
        """Tell all watches of one server."""
        row = {"host": host, "dial": dial, "site": site, "class": "m2", "block": 1, "health": health,
               "share": 1.0, "born_ms": born_ms}  # fmt: skip
        self.seq += 1
        self._changes.append((self.seq, row))
        if health == "gone":
            self.hosts.pop(host, None)
        else:
            self.hosts[host] = row
        wake, self._wake = self._wake, asyncio.Event()
        wake.set()

    def whole(self) -> dict:
        return {"seq": self.seq, "whole": True, "hosts": list(self.hosts.values())}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            if (head := await read_head(reader)) is None:
                return
            target = head[0].split(" ")[1]
            if "follow=1" not in target:
                body = json.dumps(self.whole()).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
                await writer.drain()
                return
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            since = int(target.partition("since=")[2] or -1)
            known = self.seq
            if since < 0:
                self._line(writer, self.whole())
            else:
                rows = {row["host"]: row for seq, row in self._changes if seq > since}
                self._line(writer, {"seq": self.seq, "whole": False, "hosts": list(rows.values())})
            while True:
                wake = self._wake
                if known == self.seq:
                    try:
                        await asyncio.wait_for(wake.wait(), 2.0)
                    except TimeoutError:
                        self._line(writer, None)
                        await writer.drain()
                        continue
                rows = {row["host"]: row for seq, row in self._changes if seq > known}
                known = self.seq
                self._line(writer, {"seq": known, "whole": False, "hosts": list(rows.values())})
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    @staticmethod
    def _line(writer: asyncio.StreamWriter, message: dict | None) -> None:
        data = b"\n" if message is None else json.dumps(message).encode() + b"\n"
        writer.write(b"%x\r\n%b\r\n" % (len(data), data))


class Counter:
    """The counter of the protocol page."""

    def __init__(self) -> None:
        self.port = 0
        self._counts = dict[str, tuple[float, float]]()  # total, and when it is forgotten

    async def start(self) -> None:
        server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while line := await reader.readline():
                words = line.decode("latin-1").split()
                if words == ["ping"]:
                    writer.write(b"pong\r\n")
                    continue
                await asyncio.sleep(0.001)
                now = time.monotonic()
                total, until = self._counts.get(words[1], (0.0, 0.0))
                if until <= now:
                    total, until = 0.0, now + min(int(words[3]), 60_000) / 1000
                self._counts[words[1]] = total + float(words[2]), until
                writer.write(b"ok %.7g\r\n" % self._counts[words[1]][0])
        except (ConnectionError, IndexError, ValueError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class BagServer:
    """A sound server: it takes ``work`` seconds a request and answers with the id that it was sent.

    ``arrivals`` holds a row for each request that came whole: time, id, path with query, body.
    """

    def __init__(self, name: str, record: Record, work: float = 0.02) -> None:
        self.name, self._record, self.work = name, record, work
        self.arrivals = list[tuple[float, str, str, bytes]]()
        self.port = 0
        self._server: asyncio.Server | None = None
        self._connections = set[asyncio.StreamWriter]()

    @property
    def dial(self) -> str:
        return f"{HOST}:{self.port}"

    async def start(self, port: int = 0) -> None:
        self._server = await asyncio.start_server(self._serve, HOST, port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def adopt(self, sock: socket.socket) -> None:
        """Listen at a socket that exists already."""
        self._server = await asyncio.start_server(self._serve, sock=sock)
        self.port = sock.getsockname()[1]

    def stop(self) -> None:
        """End as a killed process does: connections are reset, new ones are refused."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._connections):
            writer.transport.abort()

    async def answer(self, id: str, target: str, body: bytes, writer: asyncio.StreamWriter) -> bool:
        """Answer a request; return whether the connection goes on."""
        await asyncio.sleep(self.work)
        text = self.body_of(id, target, body)
        writer.write(
            b"HTTP/1.1 200 OK\r\nX-Server-Load: queue=0,qps=10,inflight=1\r\nContent-Length: %d\r\n\r\n%b"
            % (len(text), text)
        )
        await writer.drain()
        return True

    def body_of(self, id: str, target: str, body: bytes) -> bytes:
        return json.dumps({"id": id, "server": self.name}).encode()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._connections.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                target, headers = head[0].split(" ")[1], head[1]
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                if target in ("/healthz", "/load"):
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                    continue
                id = headers.get("x-request-id", "")
                self.arrivals.append((self._record.now(), id, target, body))
                self._record.put(f"server {self.name} got {id} {target}")
                if not await self.answer(id, target, body, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._connections.discard(writer)
            writer.close()


class Processes:
    """Processes that the case started; all of them are ended with it."""

    def __init__(self, record: Record, folder: str) -> None:
        self._record, self.folder = record, Path(folder)
        self.all = list[asyncio.subprocess.Process]()

    async def start(self, name: str, command: str, **variables: str) -> asyncio.subprocess.Process:
        """Start a command by the shell from the project's root; its output goes to a file of the temporary folder."""
        output = open(self.folder / f"{name}.log", "ab")
        process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", command, cwd=ROOT, env={**os.environ, **variables}, stdin=asyncio.subprocess.DEVNULL,
            stdout=output, stderr=output,
        )  # fmt: skip
        output.close()
        self.all.append(process)
        self._record.put(f"started {name}, process {process.pid}")
        return process

    def log_of(self, name: str) -> str:
        return (self.folder / f"{name}.log").read_text(encoding="utf-8", errors="replace")

    async def end(self) -> None:
        for process in self.all:
            if process.returncode is None:
                process.kill()
        for process in self.all:
            await process.wait()


def run_command(operators: Path | None = None) -> str:
    """Return the deploy file's ``run``; with operators' features, by the venv that has their extras."""
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
    command = str(deploy["run"])
    if operators is None:
        return command
    return command.replace(".venv/bin/python", ".venv-dev/bin/python") + f" --operators {operators}"


def write_config(
    folder: Path, name: str, index: int, discovery: Discovery, counter: Counter | None, listen: int,
    operator: int | None = None, settings: dict | None = None, sockets: int = 1024, memory_mb: int = 192,
) -> Path:  # fmt: skip
    """Write the configuration of one limiter and return its path."""
    config = {
        "name": name, "listen": f"{HOST}:{listen}", "discovery": f"{HOST}:{discovery.port}",
        "seed": f"8c1f30d27a5be9{index:02x}", "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
        "known": discovery.whole(), "settings": {**(settings or SETTINGS), "me": index},
    }  # fmt: skip
    if counter is not None:
        config["counter"] = f"{HOST}:{counter.port}"
    if operator is not None:
        config["operator"] = f"{HOST}:{operator}"
    path = folder / f"{name}.json"
    path.write_text(json.dumps(config), encoding="utf-8")
    return path


async def get_status(port: int, method: str, target: str, timeout: float = 1.0) -> int:
    """Return the status of a call without a body; 0 where there was no answer in time."""
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(HOST, port)
            try:
                writer.write(f"{method} {target} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode())
                head = await read_head(reader)
                return int(head[0].split(" ")[1]) if head is not None else 0
            finally:
                writer.close()
    except (OSError, TimeoutError):
        return 0


async def wait_ready(port: int, target: str = "/healthz", seconds: float = 30.0) -> None:
    until = time.monotonic() + seconds
    while await get_status(port, "GET", target) != 200:
        if time.monotonic() > until:
            raise CannotRunError(f"nobody says yes at port {port}{target}")
        await asyncio.sleep(0.05)


_last_id = int(time.time() * 1000) << 16


def new_id() -> str:
    global _last_id
    _last_id += 1
    return f"{_last_id & 0xFFFFFFFFFFFFFFFF:016x}"


def request_bytes(
    id: str, cls: str, account: str, plan: str, timeout_ms: int, spread: int = 3, first: int = 0, body: bytes = b"",
    path: str = "", method: str = "", extra: str = "", units: str = "1",
) -> bytes:  # fmt: skip
    """Return a client's request in the form of the protocol page."""
    method = method or ("GET" if cls == "bag-lookup" else "POST")
    length = f"Content-Length: {len(body)}\r\n" if method == "POST" else ""
    class_line = f"X-Priority-Class: {cls}\r\n" if cls else ""
    return (
        f"{method} /{path or cls}?account={account} HTTP/1.1\r\nHost: origin.svc\r\nX-Request-ID: {id}\r\n"
        f"{class_line}X-Plan: {plan}\r\nX-Timeout-Ms: {timeout_ms}\r\n"
        f"X-Quota: units={units},spread={spread},first={first}\r\n{extra}{length}\r\n"
    ).encode() + body


class Client:
    """One client connection, which is opened when it is needed and carries one request at a time."""

    def __init__(self, port: int) -> None:
        self.port = port
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def ask(self, request: bytes, timeout: float) -> tuple[int, bytes]:
        """Return status and body of the answer; status 0 where there is none in time, -1 where the connection ended."""
        try:
            async with asyncio.timeout(timeout):
                if self._streams is None:
                    self._streams = await asyncio.open_connection(HOST, self.port)
                reader, writer = self._streams
                writer.write(request)
                head = await read_head(reader)
                if head is None:
                    self.close()
                    return -1, b""
                body = await reader.readexactly(int(head[1].get("content-length", "0")))
                if head[1].get("connection", "").lower() == "close":
                    self.close()
                return int(head[0].split(" ")[1]), body
        except TimeoutError:
            self.close()
            return 0, b""
        except (OSError, asyncio.IncompleteReadError):
            self.close()
            return -1, b""

    def close(self) -> None:
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None


def run_case(folder: Path, play) -> None:  # noqa: ANN001
    """Play a case and exit with its verdict: ``play(record, processes, trouble)`` returns whether the rule held."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder)
    record.put(f"trouble: {'yes' if trouble else 'no'}")

    async def main() -> int:
        with tempfile.TemporaryDirectory() as temporary:
            processes = Processes(record, temporary)
            try:
                async with asyncio.timeout(110):
                    held = await play(record, processes, trouble)
            except (CannotRunError, TimeoutError, OSError) as error:
                record.say(f"the case could not run: {error!r}")
                return 2
            finally:
                await processes.end()
        record.say("the rule held" if held else "THE RULE WAS BROKEN")
        return 0 if held else 1

    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: sys.exit(2))
    sys.exit(asyncio.run(main()))
