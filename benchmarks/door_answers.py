"""How long an operators' call takes, idle and while the limiter is overloaded, beside a healthz of clients.

    python -m benchmarks.door_answers [--calls 200] [--json FILE]

Overloaded: more clients than it can serve ask without a pause, 50 silent ones sit at the door, and half calls come
with every call. Each answer is due within one second.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import signal
import sys
import tempfile
import time
from pathlib import Path

import uvloop

from benchmarks.cpu_per_request import HOST, SERVERS, Server, limiter_config, request
from benchmarks.upgrade_door import ready, start
from cypresspulley.rehearsal.limiters import free_port

FLOOD = 80  # connections that ask without a pause
SILENT = 50  # callers who say nothing
DUE = 1.0
CALL = b"PUT /v1/servers/s%d/%b HTTP/1.1\r\nHost: door\r\n\r\n"
HEALTH = b"GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"


async def timed(port: int, data: bytes) -> float:
    """Seconds until the first line of the answer."""
    begun = time.perf_counter()
    reader, writer = await asyncio.open_connection(HOST, port)
    writer.write(data)
    line = await reader.readline()
    writer.close()
    return time.perf_counter() - begun if b" 200 " in line else float("inf")


async def flood(port: int) -> None:
    while True:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection(HOST, port)
            while True:
                writer.write(request())
                head = await reader.readuntil(b"\r\n\r\n")
                await reader.readexactly(
                    int(head.lower().partition(b"content-length: ")[2].partition(b"\r")[0])
                )


async def silent(door: int) -> None:
    while True:
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection(HOST, door)
            writer.write(b"GET /v1/rea")
            await reader.read()
            writer.close()


async def rows(calls: int) -> dict[str, list[float]]:
    loop = asyncio.get_running_loop()
    servers = [await loop.create_server(Server, HOST, 0) for _ in range(SERVERS)]
    port, door, found = free_port(HOST), free_port(HOST), dict[str, list[float]]()
    with tempfile.TemporaryDirectory() as folder:
        path = limiter_config(Path(folder), port, [s.sockets[0].getsockname()[1] for s in servers])
        path.write_text(json.dumps(json.loads(path.read_text()) | {"operator": f"{HOST}:{door}"}))
        process = await start(path, folder)
        await ready(door)
        load = list[asyncio.Task[None]]()
        for state in ("idle", "overloaded"):
            if state == "overloaded":
                load += [loop.create_task(flood(port)) for _ in range(FLOOD)]
                load += [loop.create_task(silent(door)) for _ in range(SILENT)]
                await asyncio.sleep(1.0)
            found[f"{state}: call"], found[f"{state}: healthz"] = [], []
            for n in range(calls):
                word = b"suspend" if n % 2 == 0 else b"resume"
                found[f"{state}: call"].append(await timed(door, CALL % (n // 2 % SERVERS, word)))
                found[f"{state}: healthz"].append(await timed(port, HEALTH))
        for task in load:
            task.cancel()
        process.send_signal(signal.SIGTERM)
        await process.wait()
    for server in servers:
        server.close()
    return found


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--calls", type=int, default=200)
    parser.add_argument("--json", type=Path)
    options = parser.parse_args()
    found = uvloop.run(rows(options.calls))
    for name, times in found.items():
        print(
            f"{name}: worst {1e3 * max(times):.1f} ms, median {1e3 * sorted(times)[len(times) // 2]:.1f} ms"
        )
    for state in ("idle", "overloaded"):
        ratio = max(found[f"{state}: call"]) / max(found[f"{state}: healthz"])
        print(f"{state}: worst call {ratio:.2f} times the worst healthz")
    if options.json:
        options.json.write_text(json.dumps(found, indent=1) + "\n")
    return 0 if all(t < DUE for name, times in found.items() if "call" in name for t in times) else 1


if __name__ == "__main__":
    sys.exit(main())
