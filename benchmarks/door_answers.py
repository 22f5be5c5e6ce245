"""Response times of the admin API on an idle and on an overloaded limiter, compared with the clients' /healthz.

    python -m benchmarks.door_answers [--calls 200] [--json FILE]

Overloaded: more clients than it can serve send requests without a pause, and 50 callers keep connections to the admin
API with incomplete requests. Each call must be answered within 1 s.
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

from benchmarks.cpu_per_request import HOST, SERVERS, Server, build_request, limiter_config
from benchmarks.upgrade_door import start, wait_until_ready
from cypresspulley.rehearsal.limiters import free_port

FLOODING_CLIENTS = 80  # connections that send requests without a pause
INCOMPLETE_CALLERS = 50  # callers that never complete a request
MAX_RESPONSE_SECONDS = 1.0  # longest permitted response time in seconds
CALL = b"PUT /v1/servers/s%d/%b HTTP/1.1\r\nHost: door\r\n\r\n"
HEALTH = b"GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"


async def measure_response_time(port: int, data: bytes) -> float:
    """Return the seconds until the first line of the response, or infinity unless its status is 200."""
    started_at = time.perf_counter()
    reader, writer = await asyncio.open_connection(HOST, port)
    writer.write(data)
    line = await reader.readline()
    writer.close()
    return time.perf_counter() - started_at if b" 200 " in line else float("inf")


async def send_without_pause(port: int) -> None:
    while True:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection(HOST, port)
            while True:
                writer.write(build_request())
                head = await reader.readuntil(b"\r\n\r\n")
                await reader.readexactly(
                    int(head.lower().partition(b"content-length: ")[2].partition(b"\r")[0])
                )


async def hold_incomplete_call(admin_port: int) -> None:
    while True:
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection(HOST, admin_port)
            writer.write(b"GET /v1/rea")
            await reader.read()
            writer.close()


async def measure(calls: int) -> dict[str, list[float]]:
    loop = asyncio.get_running_loop()
    servers = [await loop.create_server(Server, HOST, 0) for _ in range(SERVERS)]
    port, admin_port, times_by_name = free_port(HOST), free_port(HOST), dict[str, list[float]]()
    with tempfile.TemporaryDirectory() as folder:
        path = limiter_config(Path(folder), port, [s.sockets[0].getsockname()[1] for s in servers])
        path.write_text(json.dumps(json.loads(path.read_text()) | {"operator": f"{HOST}:{admin_port}"}))
        process = await start(path, folder)
        await wait_until_ready(admin_port)
        load = list[asyncio.Task[None]]()
        for state in ("idle", "overloaded"):
            if state == "overloaded":
                load += [loop.create_task(send_without_pause(port)) for _ in range(FLOODING_CLIENTS)]
                load += [
                    loop.create_task(hold_incomplete_call(admin_port)) for _ in range(INCOMPLETE_CALLERS)
                ]
                await asyncio.sleep(1.0)
            times_by_name[f"{state}: call"], times_by_name[f"{state}: healthz"] = [], []
            for n in range(calls):
                action = b"suspend" if n % 2 == 0 else b"resume"
                times_by_name[f"{state}: call"].append(
                    await measure_response_time(admin_port, CALL % (n // 2 % SERVERS, action))
                )
                times_by_name[f"{state}: healthz"].append(await measure_response_time(port, HEALTH))
        for task in load:
            task.cancel()
        process.send_signal(signal.SIGTERM)
        await process.wait()
    for server in servers:
        server.close()
    return times_by_name


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--calls", type=int, default=200)
    parser.add_argument("--json", type=Path)
    options = parser.parse_args()
    times_by_name = uvloop.run(measure(options.calls))
    for name, times in times_by_name.items():
        print(
            f"{name}: worst {1e3 * max(times):.1f} ms, median {1e3 * sorted(times)[len(times) // 2]:.1f} ms"
        )
    for state in ("idle", "overloaded"):
        ratio = max(times_by_name[f"{state}: call"]) / max(times_by_name[f"{state}: healthz"])
        print(f"{state}: worst call {ratio:.2f} times the worst healthz")
    if options.json:
        options.json.write_text(json.dumps(times_by_name, indent=1) + "\n")
    return (
        0
        if all(
            t < MAX_RESPONSE_SECONDS for name, times in times_by_name.items() if "call" in name for t in times
        )
        else 1
    )


if __name__ == "__main__":
    sys.exit(main())
