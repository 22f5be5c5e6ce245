"""Compares what a limiter needs with sixteen times the usual number of servers and with the usual number.

    python -m benchmarks.many_servers [--usual 200] [--limiters 200] [--seconds 20] [--rate 40] [--json FILE]

One limiter of ``--limiters`` runs as a real process at each size, both under the same load at the same time: clients
keep their connections, servers respond after 50 ms, a tenth of the servers is replaced during the run, and discovery
breaks its watch once. The bounds are those of the operators' standing test, "fleets with up to sixteen times the
servers". Each figure is printed for both sizes with its bound; the exit code is 1 if a bound is violated.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import subprocess
import sys
import tempfile
import time
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import asdict, dataclass
from pathlib import Path
from random import Random
from typing import Any

import psutil
import uvloop

from benchmarks.cpu_per_request import HOST, build_request, limiter_config, wait_until_listening
from cypresspulley.rehearsal.limiters import free_port

SIZE_FACTOR = 16
LATENCY_SECONDS = 0.05  # of a server
PORTS = 16  # listening sockets, each shared by several servers
REPLACED_SHARE = 0.1  # share of the servers that is replaced during the run
CLIENTS = 16  # client connections
HEARTBEAT_SECONDS = 2.0  # between two empty messages of a watch
UPDATE_INTERVAL_SECONDS = 0.2  # between two changes of the server list
WATCH_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"


@dataclass
class Figures:
    """Resources that one limiter used during the run."""

    cpu_seconds: float = 0.0
    peak_memory_mb: float = 0.0
    descriptors: float = 0.0
    connections: float = 0.0
    list_kb: float = 0.0
    served: float = 0.0


def compute_bounds(usual: Figures, thousands: float) -> Figures:
    """Return the bounds for a fleet of ``thousands`` thousand servers: upper bounds, but a lower one for ``served``."""
    return Figures(
        cpu_seconds=1.4 * usual.cpu_seconds + 0.02 + 0.12 * thousands,
        peak_memory_mb=1.5 * usual.peak_memory_mb + 8 + 4 * thousands,
        descriptors=2 * usual.descriptors + 40,
        connections=2.5 * usual.connections + 40,
        list_kb=2 * usual.list_kb + 64 + 500 * thousands,
        served=0.85 * usual.served,
    )


class BenchmarkRun:
    """A run of one limiter with its servers, its discovery and its clients."""

    def __init__(self, servers: int, limiters: int, seconds: float, rate: float, seed: int) -> None:
        self.servers, self.limiters, self.seconds, self.rate = servers, limiters, seconds, rate
        self.figures, self._rng = Figures(), Random(seed)
        self._watches = set[asyncio.StreamWriter]()
        self._version, self._changes = 1, list[tuple[int, dict[str, Any]]]()
        self._ports, self._responses = list[int](), Counter[bool]()

    async def run(self) -> Figures:
        async with AsyncExitStack() as stack:
            for _ in range(PORTS):
                self._ports.append(await stack.enter_async_context(listening(self._serve_requests)))
            discovery = await stack.enter_async_context(listening(self._serve_watch))
            folder, port = Path(stack.enter_context(tempfile.TemporaryDirectory())), free_port(HOST)
            path = limiter_config(folder, port, [self._ports[n % PORTS] for n in range(self.servers)])
            raw = json.loads(path.read_text()) | {"discovery": f"{HOST}:{discovery}"}
            raw["limits"]["sockets"] = 1024
            raw["settings"] |= {"n_instances": self.limiters, "me": 0}
            self._hosts = {host["host"]: host for host in raw["known"]["hosts"]}
            path.write_text(json.dumps(raw))
            child = subprocess.Popen(
                [sys.executable, "-m", "cypresspulley"], env={**os.environ, "LB_CONFIG": str(path)},
                stderr=subprocess.DEVNULL,
            )  # fmt: skip
            try:
                await wait_until_listening(port, child)
                await self._run_clients(port, psutil.Process(child.pid))
            finally:
                child.kill()
                child.wait()
        self.figures.served = self._responses[True] / max(1, self._responses.total())
        return self.figures

    async def _run_clients(self, port: int, process: psutil.Process) -> None:
        tasks = [asyncio.create_task(self._run_client(port)) for _ in range(CLIENTS)]
        tasks.append(asyncio.create_task(self._replace_servers()))
        end = time.monotonic() + self.seconds
        while time.monotonic() < end:
            await asyncio.sleep(0.25)
            memory = process.memory_full_info().uss / 1e6
            self.figures.peak_memory_mb = max(self.figures.peak_memory_mb, memory)
            self.figures.descriptors = max(self.figures.descriptors, process.num_fds())
        self.figures.cpu_seconds = sum(process.cpu_times()[:2])
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _run_client(self, port: int) -> None:
        reader, writer = await asyncio.open_connection(HOST, port)
        while True:
            await asyncio.sleep(self._rng.expovariate(self.rate / CLIENTS))
            writer.write(build_request())
            head = await reader.readuntil(b"\r\n\r\n")
            length = int(head.lower().partition(b"content-length: ")[2].partition(b"\r")[0])
            await reader.readexactly(length)
            self._responses[b" 200 " in head] += 1
            if b"Connection: close" in head:
                writer.close()
                reader, writer = await asyncio.open_connection(HOST, port)

    async def _serve_requests(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.figures.connections += 1
        while await reader.readuntil(b"\r\n\r\n"):
            await asyncio.sleep(LATENCY_SECONDS)
            writer.write(RESPONSE)

    # Discovery.

    async def _replace_servers(self) -> None:
        """Replace servers, a few in each step, and break the watches halfway."""
        steps = int(self.seconds / UPDATE_INTERVAL_SECONDS)
        names = self._rng.sample(sorted(self._hosts), int(REPLACED_SHARE * self.servers))
        for step in range(steps):
            await asyncio.sleep(UPDATE_INTERVAL_SECONDS)
            rows = list[dict[str, Any]]()
            for name in names[step * len(names) // steps : (step + 1) * len(names) // steps]:
                gone = self._hosts.pop(name)
                new = gone | {"host": f"{name}-new", "born_ms": int(time.time() * 1000)}
                self._hosts[new["host"]] = new
                rows += [gone | {"health": "gone"}, new]
            if rows:
                self._version += 1
                self._changes += [(self._version, row) for row in rows]
                self._send_update(rows)
            if step == steps // 2:
                for writer in self._watches:
                    writer.transport.abort()
                self._watches.clear()

    def _send_update(self, rows: list[dict[str, Any]]) -> None:
        for writer in self._watches:
            self._write(
                writer, json.dumps({"seq": self._version, "whole": False, "hosts": rows}).encode() + b"\n"
            )

    def _write(self, writer: asyncio.StreamWriter, line: bytes) -> None:
        writer.write(b"%x\r\n%b\r\n" % (len(line), line))
        self.figures.list_kb += len(line) / 1000

    async def _serve_watch(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        since = int(head.partition("since=")[2].partition(" ")[0] or 0)
        whole = since < 1
        rows = list(self._hosts.values()) if whole else [row for seq, row in self._changes if seq > since]
        writer.write(WATCH_HEAD)
        text = json.dumps({"seq": self._version, "whole": whole, "hosts": rows}).encode() + b"\n"
        self._write(writer, text if rows else b"\n")
        self._watches.add(writer)
        while await asyncio.sleep(HEARTBEAT_SECONDS, writer in self._watches):
            if writer in self._watches:
                self._write(writer, b"\n")


@asynccontextmanager
async def listening(talk: Any) -> AsyncIterator[int]:
    """Listen on a free port, where ``talk`` serves each connection; yield the port."""
    tasks = set[asyncio.Task[None]]()

    async def guarded(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        tasks.add(task)
        try:
            await talk(reader, writer)
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            pass
        finally:
            tasks.discard(task)
            writer.transport.abort()

    server = await asyncio.start_server(guarded, HOST, 0, backlog=1024)
    try:
        yield server.sockets[0].getsockname()[1]
    finally:
        server.close()
        for task in list(tasks):
            task.cancel()


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--usual", type=int, default=200)
    parser.add_argument("--limiters", type=int, default=200)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--rate", type=float, default=40.0)
    parser.add_argument("--json", help="a file for the figures")
    options = parser.parse_args()

    async def both() -> list[Figures]:
        runs = [
            BenchmarkRun(servers, options.limiters, options.seconds, options.rate, 1)
            for servers in (options.usual, SIZE_FACTOR * options.usual)
        ]
        return list(await asyncio.gather(*(each.run() for each in runs)))

    usual, many = (asdict(figures) for figures in uvloop.run(both()))
    bounds = asdict(compute_bounds(Figures(**usual), SIZE_FACTOR * options.usual / 1000))
    violations = 0
    for name, bound in bounds.items():
        within_bound = many[name] >= bound if name == "served" else many[name] <= bound
        violations += not within_bound
        print(
            f"{name:15} {usual[name]:9.2f} {many[name]:9.2f}  allowed {bound:9.2f}{'' if within_bound else '  BROKEN'}"
        )
    if options.json:
        Path(options.json).write_text(
            json.dumps({"usual": usual, "many": many, "allowed": bounds}, indent=1) + "\n"
        )
    return int(violations > 0)


if __name__ == "__main__":
    sys.exit(main())
