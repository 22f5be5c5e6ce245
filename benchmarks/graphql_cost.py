"""Measures the CPU time of GraphQL queries and of plain requests, and how long analysis blocks the event loop.

    python -m benchmarks.graphql_cost [--requests 4000] [--rounds 3]

Two limiters, one with GraphQL enabled, take turns between the same clients and servers: plain requests through both,
then queries with cached documents, then queries that all have new documents. The analysis budget limits the new
documents; requests rejected with ANALYSIS_BUSY are not counted. Then abusive documents are analyzed in this process,
and each step of the analysis is timed.
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
from cypresspulley.graphql.command import run_to_completion
from cypresspulley.graphql.document import DocumentCache, OperationRequest, price_request
from cypresspulley.graphql.errors import GraphQLRefusedError
from cypresspulley.graphql.request import parse_post
from cypresspulley.graphql.scan import Bounds, count_tokens
from cypresspulley.rehearsal.limiters import free_port
from cypresspulley.rehearsal.standins.graphql import (
    DEEP,
    FLOOR,
    HIDDEN,
    MORNING,
    OPERATORS_PATH,
    SMALL,
    abusive_bodies,
    priced_schema,
)

RESPONSE_BODY = b'{"extensions":{"cost":{"actual":3}},"data":{"bag":{"id":"b1"}}}'
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(RESPONSE_BODY), RESPONSE_BODY)
REQUEST_IDS = count(1 << 40)


class Server(asyncio.Protocol):
    """Responds to each request immediately. Every write of a limiter is one request."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        self._transport.write(RESPONSE)


def make_query(text: str, variables: dict[str, Any]) -> bytes:
    id = next(REQUEST_IDS)
    body = json.dumps({"query": text, "variables": variables}).encode()
    head = (
        f"POST /graphql?account={id % 500:016x} HTTP/1.1\r\nHost: bags.internal\r\nX-Request-ID: {id:016x}\r\n"
        "X-Plan: free\r\nX-Timeout-Ms: 2000\r\nX-Quota: units=1,spread=1,first=0\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


REQUEST_MAKERS: dict[str, Callable[[], bytes]] = {
    "plain": build_request,
    "known, small": lambda: make_query(SMALL, {"b": "1"}),
    "known, floor": lambda: make_query(FLOOR, {"id": "1", "n": 20}),
    "new, floor": lambda: make_query(
        FLOOR.replace("Floor(", f"Floor{next(REQUEST_IDS)}("), {"id": "1", "n": 20}
    ),
}


async def send_requests(port: int, requests: int, make: Callable[[], bytes]) -> int:
    """Send requests over CONNECTIONS connections, one at a time on each, and return how many were served."""

    async def send_share(share: int) -> int:
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

    return sum(await asyncio.gather(*(send_share(requests // CONNECTIONS) for _ in range(CONNECTIONS))))


async def measure(requests: int, rounds: int) -> dict[str, list[float]]:
    """Return microseconds of CPU time per served request by kind of request, and the memory of the limiters in MB."""
    loop = asyncio.get_running_loop()
    server = await loop.create_server(Server, HOST, 0)
    server_port = server.sockets[0].getsockname()[1]
    found: dict[str, list[float]] = {"off: plain": [], "memory MB, off": [], "memory MB, on": []}
    found |= {f"on: {kind}": [] for kind in REQUEST_MAKERS}
    with tempfile.TemporaryDirectory() as folder:
        operators = Path(folder) / "operators.toml"
        text = OPERATORS_PATH.read_text().replace(
            "floor.graphql", str(OPERATORS_PATH.with_name("floor.graphql"))
        )
        operators.write_text(text.replace("points_per_unit = 20", "points_per_unit = 20\nreading = 0.9"))
        children, ports = dict[str, subprocess.Popen[bytes]](), dict[str, int]()
        for who, more in (("off", []), ("on", ["--operators", str(operators)])):
            ports[who] = free_port(HOST)
            config = limiter_config(Path(folder), ports[who], [server_port] * 4, f"{who}.json")
            command = [sys.executable, "-m", "cypresspulley", *more]
            env = {**os.environ, "LB_CONFIG": str(config)}
            children[who] = subprocess.Popen(command, env=env, stderr=subprocess.DEVNULL)
        try:
            for who, child in children.items():
                await wait_until_listening(ports[who])
                found[f"memory MB, {who}"].append(psutil.Process(child.pid).memory_info().rss / 2**20)
                await send_requests(ports[who], requests, build_request)
            for _ in range(rounds):
                for name in [n for n in found if ":" in n]:
                    who, _, kind = name.partition(": ")
                    child, many = children[who], requests if not kind.startswith("new") else requests // 10
                    before = sum(psutil.Process(child.pid).cpu_times()[:2])
                    served = await send_requests(ports[who], many, REQUEST_MAKERS[kind])
                    spent = sum(psutil.Process(child.pid).cpu_times()[:2]) - before
                    found[name].append(spent / max(1, served) * 1e6)
        finally:
            for child in children.values():
                child.terminate()
                child.wait()
    return found


def time_steps(rounds: int) -> list[float]:
    """Return the seconds of each step of the analysis of abusive documents and of one document at the bounds."""
    bounds, steps = Bounds(), list[float]()
    full = "{bag(id:1){" + " ".join(f"a{n}:floor{{id}}" for n in range(bounds.aliases)) + " id" * 40 + "}}"
    bodies = [*abusive_bodies().values(), json.dumps({"query": full}).encode()]
    run_to_completion(
        price_request(DocumentCache(priced_schema(), bounds), [OperationRequest("{__typename}")])
    )
    gc.collect()
    gc.freeze()  # as the limiter does when it starts
    for _ in range(rounds):
        documents = DocumentCache(priced_schema(), bounds)
        for body in bodies:
            started_at = perf_counter()
            try:
                graphql_request = parse_post("application/json", "", body)
                analysis = price_request(documents, list(graphql_request.operations))
                while True:
                    next(analysis)
                    now = perf_counter()
                    steps.append(now - started_at)
                    started_at = now
            except (GraphQLRefusedError, StopIteration):
                steps.append(perf_counter() - started_at)
    return steps


def measure_documents(rounds: int) -> tuple[float, float]:
    """Return the maximum memory of a parsed document per byte of its text, and the median analysis time per token.

    The time is in seconds. The documents are typical of clients.
    """
    priced, sizes, times = priced_schema(), list[float](), list[float]()
    for text in (SMALL, FLOOR, MORNING, DEEP, HIDDEN):
        tracemalloc.start()
        kept = parse(text)
        sizes.append(tracemalloc.get_traced_memory()[0] / len(text))
        tracemalloc.stop()
        assert kept.definitions
        for _ in range(rounds):
            documents, started_at = DocumentCache(priced, Bounds()), perf_counter()
            run_to_completion(documents.read(text))
            times.append((perf_counter() - started_at) / count_tokens(text, Bounds()))
    return max(sizes), statistics.median(times)


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--requests", type=int, default=4000)
    parser.add_argument("--rounds", type=int, default=3)
    options = parser.parse_args()
    found = uvloop.run(measure(options.requests, options.rounds))
    log_summary = statistics.median(found["on: plain"])
    for name, figures in found.items():
        middle = statistics.median(figures)
        ratio = f"{middle / log_summary:6.2f} times a plain one" if ":" in name else ""
        print(f"{name:18} {' '.join(f'{x:8.1f}' for x in figures)}  {ratio}")
    size, token = measure_documents(50)
    print(f"a parsed document: {size:.0f} bytes for each of its text; reading: {token * 1e3:.3f} ms a token")
    steps = sorted(time_steps(100))
    for share in (0.5, 0.99, 0.999, 1.0):
        step = steps[min(len(steps) - 1, int(share * len(steps)))]
        print(f"a step of reading, {share:.1%} of {len(steps)}: {step * 1e3:.2f} ms")


if __name__ == "__main__":
    main()
