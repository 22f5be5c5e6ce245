"""Requests lost to upgrades under load: handing over the listener, compared with sharing the port only.

    python -m benchmarks.upgrade_door [--upgrades 10] [--clients 24] [--json FILE]

Both modes run the same limiter and the same load. With a directory that both processes share (TMPDIR), the new process
takes over the listener, the state and the connections. Without one they only share the port, and the old process closes
its listener and its connections after SIGTERM. Half of the clients keep their connection, half open a new one for each
request. A request is lost ("ended at the door") if its connection fails or closes without any byte of a response.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import signal
import sys
import tempfile
from collections import Counter
from pathlib import Path

import uvloop

from benchmarks.cpu_per_request import (
    HOST,
    SERVERS,
    Server,
    build_request,
    limiter_config,
    wait_until_listening,
)
from cypresspulley.rehearsal.limiters import free_port

REQUEST_PAUSE_SECONDS = 0.004  # seconds between two requests of a client
UPGRADE_INTERVAL_SECONDS = 0.6  # seconds between two upgrades
MODES = ("listener passed on", "port sharing alone")


async def send_request(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
    """Send one request, and return whether the connection stays open.

    Raises OSError or IncompleteReadError if the request was lost.
    """
    writer.write(build_request())
    head = await reader.readuntil(b"\r\n\r\n")
    await reader.readexactly(int(head.lower().partition(b"content-length: ")[2].partition(b"\r")[0]))
    return b"connection: close" not in head.lower()


async def run_client(port: int, keep_alive: bool, stop: asyncio.Event, counts: Counter[str]) -> None:
    kept: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
    while not stop.is_set():
        try:
            if kept is None:
                kept = await asyncio.open_connection(HOST, port)
                counts["connections"] += 1
            counts["requests"] += 1
            stays_open = await send_request(*kept)
            if not (keep_alive and stays_open):
                kept[1].close()
                kept = None
        except (OSError, asyncio.IncompleteReadError):
            counts["ended at the door"] += 1
            kept = None
        await asyncio.sleep(REQUEST_PAUSE_SECONDS)
    if kept is not None:
        kept[1].close()


async def start(config: Path, shared: str | None) -> asyncio.subprocess.Process:
    env = {**os.environ, "LB_CONFIG": str(config)}
    env.pop("TMPDIR", None)
    if shared is not None:
        env["TMPDIR"] = shared
    command = (sys.executable, "-m", "cypresspulley")
    return await asyncio.create_subprocess_exec(*command, env=env, stderr=asyncio.subprocess.DEVNULL)


async def wait_until_ready(admin_port: int) -> None:
    """Wait until the admin API reports that the limiter is ready."""
    while True:
        try:
            reader, writer = await asyncio.open_connection(HOST, admin_port)
            writer.write(b"GET /v1/readyz HTTP/1.1\r\nHost: door\r\n\r\n")
            if b" 200 " in await reader.readline():
                return writer.close()
            writer.close()
        except OSError:
            pass
        await asyncio.sleep(0.02)


async def measure(mode: str, upgrades: int, clients: int) -> Counter[str]:
    loop, counts, stop = asyncio.get_running_loop(), Counter[str](), asyncio.Event()
    servers = [await loop.create_server(Server, HOST, 0) for _ in range(SERVERS)]
    port = free_port(HOST)
    with tempfile.TemporaryDirectory() as folder:
        base = limiter_config(Path(folder), port, [s.sockets[0].getsockname()[1] for s in servers])
        raw = json.loads(base.read_text())

        async def next_process(number: int) -> asyncio.subprocess.Process:
            path, admin_port = Path(folder) / f"{number}.json", free_port(HOST)
            path.write_text(json.dumps(raw | {"operator": f"{HOST}:{admin_port}"}))
            process = await start(path, folder if mode == MODES[0] else None)
            await wait_until_ready(admin_port)
            return process

        old = await next_process(0)
        await wait_until_listening(port)
        load = [loop.create_task(run_client(port, n % 2 == 0, stop, counts)) for n in range(clients)]
        for number in range(1, upgrades + 1):
            await asyncio.sleep(UPGRADE_INTERVAL_SECONDS)
            new = await next_process(number)
            old.send_signal(signal.SIGTERM)
            await old.wait()
            old = new
        await asyncio.sleep(UPGRADE_INTERVAL_SECONDS)
        stop.set()
        await asyncio.gather(*load)
        old.send_signal(signal.SIGTERM)
        await old.wait()
    for server in servers:
        server.close()
    return counts


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--upgrades", type=int, default=10)
    parser.add_argument("--clients", type=int, default=24)
    parser.add_argument("--json", type=Path)
    options = parser.parse_args()
    rows = {mode: uvloop.run(measure(mode, options.upgrades, options.clients)) for mode in MODES}
    for mode, counts in rows.items():
        print(f"{mode}: {counts['ended at the door']} of {counts['requests']} requests ended at the door in "
              f"{options.upgrades} upgrades, over {counts['connections']} connections")  # fmt: skip
    if options.json:
        options.json.write_text(json.dumps(rows, indent=1) + "\n")
    return 0 if rows[MODES[0]]["ended at the door"] <= rows[MODES[1]]["ended at the door"] else 1


if __name__ == "__main__":
    sys.exit(main())
