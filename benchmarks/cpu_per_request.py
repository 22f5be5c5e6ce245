"""Measures a limiter's CPU time per request, next to a bare uvloop byte pipe on the same traffic in the same run.

    python -m benchmarks.cpu_per_request [--requests 6000] [--rounds 3] [--log] [--together] [--beside CHECKOUT]

Both run between the same clients and the same servers, and are measured in alternating turns so that slow phases of
the machine affect both. ``--beside`` adds the limiter of another checkout, to show the cost of a change;
``--together`` adds one with a fleet, lanes and closing enabled, for accounts that keep nothing. CPU is the
process's user and system time, read before and after each turn.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import statistics
import subprocess
import sys
import tempfile
from itertools import count
from pathlib import Path
from typing import cast

import psutil
import uvloop

from cypresspulley.rehearsal.limiters import free_port, wire_settings
from cypresspulley.rehearsal.scenario import parse_scenario

CONNECTIONS = 8
SERVERS = 4
HOST = "127.0.0.1"
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 64\r\n\r\n" + b"x" * 64
REQUEST_IDS = count(1)


class Server(asyncio.Protocol):
    """Responds to each request immediately; runs outside the measured processes."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        self._transport.write(ANSWER * data.count(b"\r\n\r\n"))


class PipeProtocol(asyncio.Protocol):
    """One end of the baseline proxy; forwards received bytes to the other end."""

    def __init__(self, other: PipeProtocol | None = None) -> None:
        self._other = other
        self._transport = cast(asyncio.Transport, None)
        self._buffered = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        if self._other is None:
            self._task = asyncio.ensure_future(self._dial())

    async def _dial(self) -> None:
        host, port = os.environ["PIPE_TO"].split(":")
        loop = asyncio.get_running_loop()
        _, self._other = await loop.create_connection(lambda: PipeProtocol(self), host, int(port))
        self._other._transport.write(self._buffered)

    def data_received(self, data: bytes) -> None:
        if self._other is None or self._other._transport is None:
            self._buffered += data
        else:
            self._other._transport.write(data)


async def serve_pipe(port: int) -> None:
    server = await asyncio.get_running_loop().create_server(PipeProtocol, HOST, port)
    await server.serve_forever()


def build_request() -> bytes:
    id = next(REQUEST_IDS)
    return (
        f"GET /bag-lookup?account={id % 500:016x} HTTP/1.1\r\nHost: bags.internal\r\n"
        f"X-Request-ID: {id:016x}\r\nX-Priority-Class: bag-lookup\r\nX-Plan: free\r\nX-Timeout-Ms: 2000\r\n"
        "X-Quota: units=1,spread=1,first=0\r\n\r\n"
    ).encode()


async def send_requests(port: int, requests: int) -> int:
    """Send requests over ``CONNECTIONS`` connections, one at a time on each, and return the number served."""

    async def one(share: int) -> int:
        reader, writer = await asyncio.open_connection(HOST, port)
        served = 0
        for _ in range(share):
            writer.write(build_request())
            head = await reader.readuntil(b"\r\n\r\n")
            served += b" 200 " in head
            length = int(head.lower().partition(b"content-length: ")[2].partition(b"\r")[0])
            await reader.readexactly(length)
        writer.close()
        return served

    return sum(await asyncio.gather(*(one(requests // CONNECTIONS) for _ in range(CONNECTIONS))))


def limiter_config(folder: Path, port: int, servers: list[int], name: str = "config.json") -> Path:
    scenario = parse_scenario(
        {"name": "bench", "about": "-", "seconds": 1, "limiters": {"count": 1}, "load": {"spread": [1, 1]},
         "plan": [{"name": name, "share": 1, "rate": 1e5, "burst": 1e5} for name in ("free", "dear")]}, "bench",
    )  # fmt: skip
    settings = wire_settings(scenario, 0, "east-hall") | {"specifics": {"has_counter": False}}
    hosts = [
        {"host": f"s{n}", "dial": f"{HOST}:{at}", "site": "east-hall", "block": 0, "health": "ready"}
        for n, at in enumerate(servers)
    ]
    raw = {
        "listen": f"{HOST}:{port}", "discovery": f"{HOST}:9", "seed": "1", "limits": {"sockets": 512},
        "known": {"seq": 1, "whole": True, "hosts": hosts}, "settings": settings,
    }  # fmt: skip
    path = folder / name
    path.write_text(json.dumps(raw))
    return path


async def wait_until_listening(port: int, child: subprocess.Popen[bytes] | None = None) -> None:
    """Wait until the port accepts connections; raises ``SystemExit`` if ``child`` exits before."""
    while child is None or child.poll() is None:
        try:
            (await asyncio.open_connection(HOST, port))[1].close()
            return
        except OSError:
            await asyncio.sleep(0.02)
    raise SystemExit(f"one ended with {child.returncode} before it served: {child.args!r}")


def together_table(folder: Path) -> str:
    """Return settings that enable fleet, lanes and closing, in a fleet of one whose accounts keep nothing."""
    calendar = folder / "calendars.toml"
    calendar.write_text(
        'version = 1\nin_force = 2026-01-01T00:00:00Z\n[places.here]\nzone = "Asia/Kolkata"\n'
    )
    address = f"{HOST}:{free_port(HOST)}"
    return (
        f'[fleet]\ninstallation = "bench"\nlisten = "{address}"\nseeds = []\n'
        '[lanes]\n[[lanes.lane]]\nname = "first"\nplans = ["dear"]\n'
        '[[lanes.lane]]\nname = "last"\nplans = ["free"]\n'
        f'[closing]\ncalendars = "{calendar}"\nkeep = ["bag-lookup"]\n'
    )


TABLES = {
    "logged": lambda folder: f'[access_log]\npath = "{folder}/access.jsonl"\n',
    "together": together_table,
}


async def measure(requests: int, rounds: int, extra: list[str], beside: str | None) -> dict[str, list[float]]:
    """Return the CPU microseconds per request of each proxy, one value per round."""
    loop = asyncio.get_running_loop()
    started = [await loop.create_server(Server, HOST, 0) for _ in range(SERVERS)]
    servers = [server.sockets[0].getsockname()[1] for server in started]
    ports = {"limiter": free_port(HOST), "pipe": free_port(HOST)}
    with tempfile.TemporaryDirectory() as folder:
        config = limiter_config(Path(folder), ports["limiter"], servers)
        env = {**os.environ, "LB_CONFIG": str(config), "PIPE_TO": f"{HOST}:{servers[0]}"}
        env["FAWNSEAM_FLEET_KEY"] = "the benchmark's own"
        commands = {
            "limiter": [sys.executable, "-m", "cypresspulley"],
            "pipe": [sys.executable, "-m", "benchmarks.cpu_per_request", "--pipe", str(ports["pipe"])],
        }
        for who in extra:
            table = TABLES[who](Path(folder))
            operators = Path(folder) / f"{who}.toml"
            operators.write_text(table)
            ports[who] = free_port(HOST)
            path = limiter_config(Path(folder), ports[who], servers, f"{who}.json")
            commands[who] = ["env", f"LB_CONFIG={path}", *commands["limiter"], "--operators", str(operators)]
        if beside is not None:
            ports["beside"] = free_port(HOST)
            other = limiter_config(Path(folder), ports["beside"], servers, "beside.json")
            commands["beside"] = ["env", f"LB_CONFIG={other}", "PYTHONPATH=", *commands["limiter"]]
        children = {
            who: subprocess.Popen(
                command, env=env, stderr=subprocess.DEVNULL, cwd=beside if who == "beside" else None
            )
            for who, command in commands.items()
        }
        cpu_us: dict[str, list[float]] = {who: [] for who in children}
        try:
            for who, child in children.items():
                await wait_until_listening(ports[who], child)
                # Warm-up: the gate is new and all requests arrive at once.
                await send_requests(ports[who], requests)
            for _ in range(rounds):
                for who, child in children.items():
                    before = sum(psutil.Process(child.pid).cpu_times()[:2])
                    served = await send_requests(ports[who], requests)
                    spent = sum(psutil.Process(child.pid).cpu_times()[:2]) - before
                    if served < 0.99 * requests:
                        print(f"{who}: only {served} of {requests} were served", file=sys.stderr)
                    cpu_us[who].append(spent / max(1, served) * 1e6)
        finally:
            for child in children.values():
                child.terminate()
                child.wait()
    return cpu_us


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--requests", type=int, default=6000)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--log", action="store_true", help="a limiter with its access log on as well")
    parser.add_argument("--together", action="store_true", help="one with fleet, lanes and closing as well")
    parser.add_argument("--beside", metavar="CHECKOUT", help="the limiter of another checkout as well")
    parser.add_argument("--pipe", type=int, help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.pipe:
        return uvloop.run(serve_pipe(options.pipe))
    extra = [who for who, on in (("logged", options.log), ("together", options.together)) if on]
    cpu_us = uvloop.run(measure(options.requests, options.rounds, extra, options.beside))
    limiter, bare = (statistics.median(cpu_us[who]) for who in ("limiter", "pipe"))
    for who, figures in cpu_us.items():
        print(f"{who:8} {' '.join(f'{x:7.1f}' for x in figures)}  us of CPU a request")
    for who in extra:
        more = statistics.median(cpu_us[who])
        print(f"{who}: {more - limiter:+.0f} us, {more / limiter:.2f} times the limiter without")
    if options.beside:
        print(f"this one is {limiter / statistics.median(cpu_us['beside']):.2f} times the one beside it")
    print(f"ratio    {limiter / bare:.1f} (limiter {limiter:.0f} us, byte pipe {bare:.0f} us)")
    return None


if __name__ == "__main__":
    main()
