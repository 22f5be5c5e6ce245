"""Measures how long restarted processes take to become ready, many at once, with discovery and the counter up or down.

    python -m benchmarks.ready_times [--count 40] [--servers 200] [--json FILE]

Each process has an outdated list of ``--servers`` servers in its configuration. Discovery and the counter listen with a
full backlog (dials hang), refuse connections or, for discovery, respond to each call with 503. A process is ready at
the first 200 to ``GET /healthz``, polled every 50 ms and timed from the start of the process; polling ends after
``GIVE_UP_SECONDS``. Printed are the median, the 90th percentile and the maximum, the CPU time of a process, and how
many were ready within 10 s. All processes of a case start at once and are killed when all are ready. Takes about 20 s
on 8 cores of an otherwise idle machine.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import os
import socket
import statistics
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from benchmarks.cpu_per_request import HOST, limiter_config

CASES = (
    ("503", "hangs"), ("hangs", "up"), ("refuses", "refuses"), ("hangs", "hangs"),
)  # fmt: skip
WANTED_SECONDS, GIVE_UP_SECONDS = 10.0, 30.0
UNAVAILABLE_RESPONSE = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"


def free_ports(count: int) -> list[int]:
    """Return different free ports. They are reserved together, because a released port may be given out again."""
    with contextlib.ExitStack() as stack:
        probes = [stack.enter_context(socket.socket()) for _ in range(count)]
        for probe in probes:
            probe.bind((HOST, 0))
        return [int(probe.getsockname()[1]) for probe in probes]


async def respond_unavailable(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    with contextlib.suppress(OSError, asyncio.IncompleteReadError):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(UNAVAILABLE_RESPONSE)
    writer.close()


async def serve_counter(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    with contextlib.suppress(OSError):
        while line := await reader.readline():
            writer.write(b"pong\r\n" if line.startswith(b"ping") else b"ok 1\r\n")
    writer.close()


async def start_peer(behavior: str, stack: contextlib.AsyncExitStack) -> str:
    """Start a peer that behaves as named in ``CASES``; return its address."""
    talk: dict[str, Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]] = {
        "503": respond_unavailable, "up": serve_counter,
    }  # fmt: skip
    if behavior in talk:
        server = await asyncio.start_server(talk[behavior], HOST, 0, backlog=1024)
        stack.callback(server.close)
        return "{}:{}".format(*server.sockets[0].getsockname())
    bound = stack.enter_context(socket.socket())
    bound.bind((HOST, 0))
    if behavior == "hangs":
        bound.listen(0)
        for _ in range(3):
            full = stack.enter_context(socket.socket())
            full.setblocking(False)
            full.connect_ex(bound.getsockname())
    return "{}:{}".format(*bound.getsockname())


async def is_healthy(port: int) -> bool:
    try:
        reader, writer = await asyncio.open_connection(HOST, port)
        writer.write(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
        line = await reader.readline()
        writer.close()
    except OSError:
        return False
    return b" 200 " in line


def read_cpu_seconds(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def read_peak_memory_mb(pid: int) -> float:
    """Return the peak resident memory of a process in MB."""
    status = Path(f"/proc/{pid}/status").read_text()
    return int(status.partition("VmHWM:")[2].split()[0]) / 1024


@dataclass(frozen=True)
class Start:
    """The start of a process. ``waited`` is infinite if it did not become ready; ``exit_code`` is set if it exited."""

    waited: float  # seconds until it was ready
    cpu_seconds: float = 0.0
    peak_memory_mb: float = 0.0
    exit_code: int | None = None


async def measure_start(path: Path, port: int) -> Start:
    """Start a process and wait until it is ready, or exits, or polling ends; the process is killed then."""
    began = time.monotonic()
    child = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "cypresspulley", env={**os.environ, "LB_CONFIG": str(path)},
        stderr=asyncio.subprocess.DEVNULL,
    )  # fmt: skip
    try:
        while time.monotonic() - began < GIVE_UP_SECONDS and child.returncode is None:
            if await is_healthy(port):
                waited = time.monotonic() - began
                return Start(waited, read_cpu_seconds(child.pid), read_peak_memory_mb(child.pid))
            await asyncio.sleep(0.05)
        return Start(float("inf"), exit_code=child.returncode)
    finally:
        if child.returncode is None:
            child.kill()
        await child.wait()


async def run_case(count: int, servers: int, discovery: str, counter: str) -> dict[str, Any]:
    async with contextlib.AsyncExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        addresses = {
            "discovery": await start_peer(discovery, stack),
            "counter": await start_peer(counter, stack),
        }
        ports = free_ports(count)
        paths = []
        for number, port in enumerate(ports):
            path = limiter_config(folder, port, [9] * servers, f"{number}.json")
            raw = json.loads(path.read_text()) | addresses | {"seed": f"{number:x}"}
            raw["settings"]["specifics"] = {"has_counter": True, "count_wait_s": 0.05}
            path.write_text(json.dumps(raw))
            paths.append(path)
        results = await asyncio.gather(
            *(measure_start(path, port) for path, port in zip(paths, ports, strict=True))
        )
    times = sorted(start.waited for start in results)
    return {
        "discovery": discovery, "counter": counter, "count": count, "median_s": round(statistics.median(times), 2),
        "p90_s": round(times[-(-9 * count // 10) - 1], 2), "worst_s": round(times[-1], 2),
        "cpu_s": round(statistics.median(start.cpu_seconds for start in results), 2),
        "most_mb": round(max(start.peak_memory_mb for start in results), 1),
        "ended": sorted({start.exit_code for start in results if start.exit_code is not None}),
        "within_10_s": sum(waited <= WANTED_SECONDS for waited in times),
    }  # fmt: skip


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--count", type=int, default=40)
    parser.add_argument("--servers", type=int, default=200)
    parser.add_argument("--json", help="a file for the figures")
    options = parser.parse_args()
    rows = []
    for discovery, counter in CASES:
        rows.append(asyncio.run(run_case(options.count, options.servers, discovery, counter)))
        print(rows[-1], flush=True)
    if options.json:
        Path(options.json).write_text(json.dumps(rows, indent=1) + "\n")
    return 0 if all(row["within_10_s"] >= 0.9 * row["count"] for row in rows) else 1


if __name__ == "__main__":
    sys.exit(main())
