"""What GraphQL costs a limiter's core: CPU a query beside a plain request, and how long reading holds the loop.

    python -m benchmarks.graphql_cost [--requests 4000] [--rounds 3]

One limiter with GraphQL on and one without take turns between the same clients and servers: plain requests through
both, then queries whose documents are known, then queries whose documents are all new (as many as the reading budget
takes in that time; the rest is answered ANALYSIS_BUSY and not counted). Then abuse is read in this process, and each
turn of reading timed.
"""

from __future__ import annotations

import argparse
import asyncio
import gc
import json
import os
import statistics
import subprocess
import sys
import tempfile
import tracemalloc
from collections.abc import Callable
from itertools import count
from pathlib import Path
from time import perf_counter
from typing import Any, cast

import psutil
import uvloop
from graphql import parse

from benchmarks.cpu_per_request import CONNECTIONS, HOST, build_request, limiter_config, wait_until_listening
from cypresspulley.graphql.command import finished
from cypresspulley.graphql.document import Ask, Documents, priced_request
from cypresspulley.graphql.errors import GraphQLRefusedError
from cypresspulley.graphql.request import read_post
from cypresspulley.graphql.scan import Bounds, scan
from cypresspulley.rehearsal.limiters import free_port
from cypresspulley.rehearsal.standins.graphql import (
    DEEP,
    FLOOR,
    HIDDEN,
    MORNING,
    OPERATORS,
    SMALL,
    abuses,
    priced_schema,
)

BODY = b'{"extensions":{"cost":{"actual":3}},"data":{"bag":{"id":"b1"}}}'
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(BODY), BODY)
IDS = count(1 << 40)


class Server(asyncio.Protocol):
    """Answers each request at once: one write of a limiter is one request."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        self._transport.write(ANSWER)


def query(text: str, variables: dict[str, Any]) -> bytes:
    id = next(IDS)
    body = json.dumps({"query": text, "variables": variables}).encode()
    head = (
        f"POST /graphql?account={id % 500:016x} HTTP/1.1\r\nHost: bags.internal\r\nX-Request-ID: {id:016x}\r\n"
        "X-Plan: free\r\nX-Timeout-Ms: 2000\r\nX-Quota: units=1,spread=1,first=0\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


KINDS: dict[str, Callable[[], bytes]] = {
    "plain": build_request,
    "known, small": lambda: query(SMALL, {"b": "1"}),
    "known, floor": lambda: query(FLOOR, {"id": "1", "n": 20}),
    "new, floor": lambda: query(FLOOR.replace("Floor(", f"Floor{next(IDS)}("), {"id": "1", "n": 20}),
}


async def turn(port: int, requests: int, make: Callable[[], bytes]) -> int:
    """Send so many over a few connections, one at a time on each; how many were served."""

    async def one(share: int) -> int:
        reader, writer = await asyncio.open_connection(HOST, port)
        served = 0
        for _ in range(share):
            writer.write(make())
            head = await reader.readuntil(b"\r\n\r\n")
            served += b" 200 " in head
            await reader.readexactly(int(head.lower().partition(b"content-length: ")[2].partition(b"\r")[0]))
            if b"connection: close" in head.lower():
                writer.close()
                reader, writer = await asyncio.open_connection(HOST, port)
        writer.close()
        return served

    return sum(await asyncio.gather(*(one(requests // CONNECTIONS) for _ in range(CONNECTIONS))))


async def measure(requests: int, rounds: int) -> dict[str, list[float]]:
    """Microseconds of CPU a served request, by kind; and the limiters' memory in MB."""
    loop = asyncio.get_running_loop()
    server = await loop.create_server(Server, HOST, 0)
    at = server.sockets[0].getsockname()[1]
    found: dict[str, list[float]] = {"off: plain": [], "memory MB, off": [], "memory MB, on": []}
    found |= {f"on: {kind}": [] for kind in KINDS}
    with tempfile.TemporaryDirectory() as folder:
        operators = Path(folder) / "operators.toml"
        text = OPERATORS.read_text().replace("floor.graphql", str(OPERATORS.with_name("floor.graphql")))
        operators.write_text(text.replace("points_per_unit = 20", "points_per_unit = 20\nreading = 0.9"))
        children, ports = dict[str, subprocess.Popen[bytes]](), dict[str, int]()
        for who, more in (("off", []), ("on", ["--operators", str(operators)])):
            ports[who] = free_port(HOST)
            config = limiter_config(Path(folder), ports[who], [at] * 4, f"{who}.json")
            command = [sys.executable, "-m", "cypresspulley", *more]
            env = {**os.environ, "LB_CONFIG": str(config)}
            children[who] = subprocess.Popen(command, env=env, stderr=subprocess.DEVNULL)
        try:
            for who, child in children.items():
                await wait_until_listening(ports[who])
                found[f"memory MB, {who}"].append(psutil.Process(child.pid).memory_info().rss / 2**20)
                await turn(ports[who], requests, build_request)
            for _ in range(rounds):
                for name in [n for n in found if ":" in n]:
                    who, _, kind = name.partition(": ")
                    child, many = children[who], requests if not kind.startswith("new") else requests // 10
                    before = sum(psutil.Process(child.pid).cpu_times()[:2])
                    served = await turn(ports[who], many, KINDS[kind])
                    spent = sum(psutil.Process(child.pid).cpu_times()[:2]) - before
                    found[name].append(spent / max(1, served) * 1e6)
        finally:
            for child in children.values():
                child.terminate()
                child.wait()
    return found


def holds(rounds: int) -> list[float]:
    """Seconds that each step of reading abuse (and one document at the bound) held the loop."""
    bounds, steps = Bounds(), list[float]()
    full = "{bag(id:1){" + " ".join(f"a{n}:floor{{id}}" for n in range(bounds.aliases)) + " id" * 40 + "}}"
    bodies = [*abuses().values(), json.dumps({"query": full}).encode()]
    finished(priced_request(Documents(priced_schema(), bounds), [Ask("{__typename}")]))
    gc.collect()
    gc.freeze()  # as the limiter does at its start
    for _ in range(rounds):
        documents = Documents(priced_schema(), bounds)
        for body in bodies:
            began = perf_counter()
            try:
                asked = read_post("application/json", "", body)
                work = priced_request(documents, list(asked.asks))
                while True:
                    next(work)
                    now = perf_counter()
                    steps.append(now - began)
                    began = now
            except (GraphQLRefusedError, StopIteration):
                steps.append(perf_counter() - began)
    return steps


def parsed(rounds: int) -> tuple[float, float]:
    """Of documents as clients send them: bytes that a parsed one takes for each byte of its text, at most, and
    seconds of reading for each token, in the median."""
    priced, sizes, times = priced_schema(), list[float](), list[float]()
    for text in (SMALL, FLOOR, MORNING, DEEP, HIDDEN):
        tracemalloc.start()
        kept = parse(text)
        sizes.append(tracemalloc.get_traced_memory()[0] / len(text))
        tracemalloc.stop()
        assert kept.definitions
        for _ in range(rounds):
            documents, began = Documents(priced, Bounds()), perf_counter()
            finished(documents.read(text))
            times.append((perf_counter() - began) / scan(text, Bounds()))
    return max(sizes), statistics.median(times)


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--requests", type=int, default=4000)
    parser.add_argument("--rounds", type=int, default=3)
    options = parser.parse_args()
    found = uvloop.run(measure(options.requests, options.rounds))
    plain = statistics.median(found["on: plain"])
    for name, figures in found.items():
        middle = statistics.median(figures)
        ratio = f"{middle / plain:6.2f} times a plain one" if ":" in name else ""
        print(f"{name:18} {' '.join(f'{x:8.1f}' for x in figures)}  {ratio}")
    size, token = parsed(50)
    print(f"a parsed document: {size:.0f} bytes for each of its text; reading: {token * 1e3:.3f} ms a token")
    steps = sorted(holds(100))
    for share in (0.5, 0.99, 0.999, 1.0):
        step = steps[min(len(steps) - 1, int(share * len(steps)))]
        print(f"a step of reading, {share:.1%} of {len(steps)}: {step * 1e3:.2f} ms")


if __name__ == "__main__":
    main()
