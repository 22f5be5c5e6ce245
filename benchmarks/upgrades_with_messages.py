"""Upgrades of limiters that send each other messages, under load: what is lost, and who hears the messages after it.

    python -m benchmarks.upgrades_with_messages [--upgrades 50] [--clients 6] [--json FILE]

Three limiters send each other messages through a relay, as the platform delivers them, and are upgraded in turn. The
exit code is 1 if a request ended without an answer, if a process exited with another code than 0, or if the messages to
a limiter are not read by exactly one socket after its last upgrade.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import signal
import socket
import sys
import tempfile
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, cast

import uvloop

from benchmarks.cpu_per_request import HOST, SERVERS, Server, limiter_config, wait_until_listening
from benchmarks.upgrade_door import run_client, start, wait_until_ready
from cypresspulley.rehearsal.limiters import free_port

LIMITERS = 3
PAUSE_SECONDS = 0.2  # between two upgrades
YES_SECONDS = 6.0  # time for the new process to say that it is ready
EXIT_SECONDS = 3.7  # from SIGTERM to SIGKILL


class RelaySocket(asyncio.DatagramProtocol):
    """One socket of the relay; passes each datagram of a limiter to the other ones."""

    def __init__(self) -> None:
        self.transport: asyncio.DatagramTransport
        self.routes = list[tuple[RelaySocket, tuple[str, int]]]()  # sender's socket and receiver's address

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        for sender, receiver in self.routes:
            sender.transport.sendto(data, receiver)

    @property
    def address(self) -> str:
        host, port = self.transport.get_extra_info("sockname")[:2]
        return f"{host}:{port}"


async def open_relay_socket() -> RelaySocket:
    loop = asyncio.get_running_loop()
    _, protocol = await loop.create_datagram_endpoint(RelaySocket, local_addr=(HOST, 0))
    return protocol


@dataclass
class Counts:
    """What the upgrades led to."""

    requests: Counter[str] = field(default_factory=Counter)
    exit_codes: Counter[str] = field(default_factory=Counter)
    slowest_yes_seconds: float = 0.0
    unheard: list[str] = field(default_factory=list)

    def is_good(self) -> bool:
        return not self.requests["ended at the door"] and set(self.exit_codes) == {"0"} and not self.unheard


def free_datagram_port() -> int:
    with socket.socket(type=socket.SOCK_DGRAM) as sock:
        sock.bind((HOST, 0))
        port: int = sock.getsockname()[1]
        return port


def socket_queues(port: int) -> list[int]:
    """Return the unread bytes of each UDP socket that is bound to a port, on IPv4."""
    rows = [line.split() for line in Path("/proc/net/udp").read_text().splitlines()[1:]]
    return [int(row[4].split(":")[1], 16) for row in rows if int(row[1].split(":")[1], 16) == port]


class Limiter:
    """One limiter, whose process is replaced by each upgrade."""

    def __init__(self, folder: Path, raw: dict[str, Any], counts: Counts) -> None:
        folder.mkdir()
        self.folder, self.raw, self.counts = folder, raw, counts
        self.number = 0
        self.process: asyncio.subprocess.Process

    async def start_process(self) -> asyncio.subprocess.Process:
        self.number += 1
        path, admin_port = self.folder / f"{self.number}.json", free_port(HOST)
        path.write_text(json.dumps(self.raw | {"operator": f"{HOST}:{admin_port}"}))
        started_at = time.monotonic()
        process = await start(path, str(self.folder))
        async with asyncio.timeout(YES_SECONDS):
            await wait_until_ready(admin_port)
        seconds = time.monotonic() - started_at
        self.counts.slowest_yes_seconds = max(self.counts.slowest_yes_seconds, seconds)
        return process

    async def end(self, process: asyncio.subprocess.Process) -> None:
        process.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(EXIT_SECONDS):
                code = str(await process.wait())
        except TimeoutError:
            code = "killed"
            process.kill()
        self.counts.exit_codes[code] += 1

    async def upgrade(self) -> None:
        new = await self.start_process()
        await self.end(self.process)
        self.process = new


async def build_limiters(folder: Path, server_ports: list[int], counts: Counts) -> list[Limiter]:
    """Return limiters that send their messages to the relay, which is running."""
    listens = [free_datagram_port() for _ in range(LIMITERS)]
    inlets = [await open_relay_socket() for _ in range(LIMITERS)]
    limiters = list[Limiter]()
    for receiver in range(LIMITERS):
        links = [await open_relay_socket() for _ in range(LIMITERS)]
        for sender in set(range(LIMITERS)) - {receiver}:
            inlets[sender].routes.append((links[sender], (HOST, listens[receiver])))
        raw = json.loads(limiter_config(folder, free_port(HOST), server_ports).read_text())
        raw["settings"] |= {"me": receiver, "n_instances": LIMITERS}
        raw["settings"]["limits"] |= {"peers": True}
        raw["settings"]["specifics"] |= {"inbox_per_s": 40.0}
        raw |= {"peer_listen": f"{HOST}:{listens[receiver]}", "peers": [each.address for each in links]}
        limiters.append(
            Limiter(folder / f"n{receiver}", raw | {"peers_all": inlets[receiver].address}, counts)
        )
    return limiters


async def measure(upgrades: int, clients: int) -> Counts:
    loop, counts, stop = asyncio.get_running_loop(), Counts(), asyncio.Event()
    servers = [await loop.create_server(Server, HOST, 0) for _ in range(SERVERS)]
    with tempfile.TemporaryDirectory() as folder:
        ports = [each.sockets[0].getsockname()[1] for each in servers]
        limiters = await build_limiters(Path(folder), ports, counts)
        load = list[asyncio.Task[None]]()
        for limiter in limiters:
            limiter.process = await limiter.start_process()
            port = int(limiter.raw["listen"].partition(":")[2])
            await wait_until_listening(port)
            load += [
                loop.create_task(run_client(port, n % 2 == 0, stop, counts.requests)) for n in range(clients)
            ]
        for number in range(upgrades):
            await asyncio.sleep(PAUSE_SECONDS)
            await limiters[number % LIMITERS].upgrade()
        stop.set()
        await asyncio.gather(*load)
        for limiter in limiters:
            port = int(limiter.raw["peer_listen"].partition(":")[2])
            if (queues := socket_queues(port)) != [0]:
                counts.unheard.append(f"port {port}: unread bytes by socket: {queues}")
        for limiter in limiters:
            await limiter.end(limiter.process)
    for server in servers:
        server.close()
    return counts


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--upgrades", type=int, default=50)
    parser.add_argument("--clients", type=int, default=6, help="of each limiter")
    parser.add_argument("--json", type=Path)
    options = parser.parse_args()
    counts = uvloop.run(measure(options.upgrades, options.clients))
    print(f"{counts.requests['ended at the door']} of {counts.requests['requests']} requests ended at the door in "
          f"{options.upgrades} upgrades; exit codes {dict(counts.exit_codes)}; slowest yes "
          f"{counts.slowest_yes_seconds:.2f} s; not heard: {counts.unheard or 'none'}")  # fmt: skip
    if options.json:
        rows = {"requests": counts.requests, "exit_codes": counts.exit_codes, "unheard": counts.unheard}
        options.json.write_text(json.dumps(rows, indent=1) + "\n")
    return 0 if counts.is_good() else 1


if __name__ == "__main__":
    sys.exit(main())
