"""Measures how many attempts begin for requests whose client disconnected while they were waiting.

    python -m benchmarks.left_waiting [--beside CHECKOUT] [--json FILE]

The limiter runs as a process on loopback. Its clients disconnect by FIN or by RST while their requests wait: for a
connection to a server that is established late because the listener's backlog is full ("dial"); for a counter that
answers late or never; behind a full pipeline or behind a response that the client does not read, where the limiter does
not read either and so does not see the disconnect; or for a further attempt, while a server has the first one and
refuses it after the client has left ("retry"). Cases that are "held" stop the limiter (SIGSTOP) for 150 ms (950 ms for
a dial), during which the client leaves: when the loop continues, the kernel holds both the disconnect and the event
that the request waits for, in either order. "Bytes" are requests that are themselves sent during that time, on an
existing or a new connection.

For each case the benchmark counts the requests that were still waiting when their client left, those of them for which
an attempt reached a server within 0.1 s, and those for which one came later; the goal is zero later attempts. First and
further attempts are counted separately: a request waits for a further one if a server had received the first.
``--beside`` afterwards runs the same against the limiter of another checkout. The run takes 15 to 20 s, mostly for full
backlogs. It exits with 1 if this limiter starts any attempt later, or if too few requests of a case were waiting.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import os
import re
import select
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
from collections import Counter
from itertools import count
from pathlib import Path
from typing import NamedTuple, cast

import uvloop

from benchmarks.cpu_per_request import HOST, limiter_config, wait_until_listening

SERVERS = 32
MAX_ATTEMPT_DELAY = 0.1  # seconds after the client left in which attempts may still begin
WAIT_BEFORE_LEAVING = 0.25  # seconds that a request waits before its client leaves
STALL_TIME = 0.15  # seconds for which the limiter is stopped, from just before its clients leave
# Seconds after the clients left until servers refuse first attempts, if the limiter is not stopped.
REFUSAL_DELAY = 0.12
# The kernel retries a connection attempt to a full backlog after 1 s and after 3 s; these delays cover both retries.
ADMIT_DELAYS = (0.5, 1.4)  # seconds from the requests until a listener has room
# ``STALL_TIME`` for dials, so that the first retry, 1 s after the requests, falls into it.
STALL_TIME_FOR_DIAL = 0.95
WARM_UP_REQUESTS = 64  # concurrent requests before each case, which leave idle connections to the servers
WARM_UP_REST = 0.1  # seconds until those connections may be reused
DIAL_TIMEOUT = 5.0
LATE_COUNTER_DELAY = 1.2  # seconds that a late counter takes for each answer, out of ``COUNTER_TIMEOUT``
COUNTER_TIMEOUT = 2.0
READ_DELAY = 0.8  # seconds after a FIN until the client reads the response that it has left unread
OBSERVATION_TIME = 4.5  # seconds after the requests in which attempts can still begin
CLIENT_TIMEOUT_MS = 20_000
PIPELINE_SIZE = 8  # requests that the limiter reads ahead on one connection
LARGE_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 8000000\r\n\r\n" + b"x" * 8_000_000
SMALL_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"
REFUSED_RESPONSE = b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"
REQUEST_ID_PATTERN = re.compile(rb"x-request-id: ([0-9a-f]{16})", re.IGNORECASE)
REQUEST_IDS = count(0x9B1F03AA5C7E2D41)
MIN_WAITING = 5  # waiting requests per case below which the result is not significant
DISCONNECTS = ("fin", "rst")


class Case(NamedTuple):
    """What a request waits for, its position on the connection, and how and when its client disconnects."""

    # A "dial", a "late", "mute" or "released" counter, its "turn" on the connection, its own "bytes" or a "retry".
    waits_for: str
    position: str
    disconnect: str
    stalled: bool = False

    def __str__(self) -> str:
        return f"{self.waits_for} {self.position} {self.disconnect}{' held' * self.stalled}"


class ServerLog:
    """Records the attempts that the servers of a case receive, and can withhold their responses."""

    def __init__(self) -> None:
        self.arrival_times = dict[bytes, list[float]]()  # by request id: when each attempt was received
        self.withholding = False
        self._withheld = list[asyncio.Transport]()

    def record_attempt(self, id: bytes, head: bytes, transport: asyncio.Transport) -> None:
        self.arrival_times.setdefault(id, []).append(time.monotonic())
        if self.withholding:
            self._withheld.append(transport)
        else:
            transport.write(LARGE_RESPONSE if b"X-Large" in head else SMALL_RESPONSE)

    def answer(self, answer: bytes) -> None:
        """Send ``answer`` to all withheld attempts and serve later ones at once."""
        self.withholding = False
        withheld, self._withheld = self._withheld, []
        for transport in withheld:
            if not transport.is_closing():
                transport.write(answer)


class ServerConnection(asyncio.Protocol):
    """A connection to a server."""

    def __init__(self, servers: ServerLog) -> None:
        self._servers, self._buffer = servers, b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        *heads, self._buffer = (self._buffer + data).split(b"\r\n\r\n")
        for head in heads:
            if (id := REQUEST_ID_PATTERN.search(head)) is not None:
                self._servers.record_attempt(id[1], head, self._transport)
            else:
                self._transport.write(SMALL_RESPONSE)


class CounterServer:
    """The counter; it answers each call after ``delay`` seconds, or for None when it is released, if ever."""

    def __init__(self, delay: float | None) -> None:
        self.delay, self._totals = delay, Counter[bytes]()
        self._owed = list[tuple[asyncio.Transport, bytes]]()

    def handle_call(self, transport: asyncio.Transport, name: bytes) -> None:
        if self.delay is not None:
            asyncio.get_running_loop().call_later(self.delay, self._answer, transport, name)
        else:
            self._owed.append((transport, name))

    def release(self) -> None:
        owed, self._owed = self._owed, []
        for transport, name in owed:
            self._answer(transport, name)

    def _answer(self, transport: asyncio.Transport, name: bytes) -> None:
        self._totals[name] += 1
        if not transport.is_closing():
            transport.write(b"ok %d\r\n" % self._totals[name])


class CounterConnection(asyncio.Protocol):
    """A connection to the counter."""

    def __init__(self, counter_server: CounterServer) -> None:
        self._tally = counter_server

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        for line in data.splitlines():
            words = line.split()
            if words[:1] == [b"ping"]:
                self._transport.write(b"pong\r\n")
            elif words[:1] == [b"tally"]:
                self._tally.handle_call(self._transport, words[1])


class FullBacklogServer:
    """A server whose backlog is full until ``admit`` is called."""

    def __init__(self) -> None:
        self.listener = socket.create_server((HOST, 0), backlog=0)
        self.listener.setblocking(False)
        self.port: int = self.listener.getsockname()[1]
        self._held = list[socket.socket]()
        while True:
            client = socket.socket()
            client.setblocking(False)
            client.connect_ex(self.listener.getsockname())
            poll = select.poll()
            poll.register(client, select.POLLOUT)
            if not poll.poll(20):
                return client.close()
            self._held.append(client)

    async def admit(self, servers: ServerLog) -> asyncio.Server:
        for client in self._held:
            with contextlib.suppress(BlockingIOError):
                self.listener.accept()[0].close()
            client.close()
        self.listener.listen(128)
        return await asyncio.get_running_loop().create_server(
            lambda: ServerConnection(servers), sock=self.listener
        )


def build_request(large: bool = False) -> tuple[bytes, bytes]:
    """Return the id and the bytes of a request; each request has its own account."""
    id = b"%016x" % next(REQUEST_IDS)
    account = int(id, 16) % 2**33
    head = (
        b"GET /bag-lookup?account=%016x HTTP/1.1\r\nHost: bags.internal\r\nX-Request-ID: %b\r\n"
        b"X-Priority-Class: bag-lookup\r\nX-Plan: free\r\nX-Timeout-Ms: %d\r\n"
        b"X-Quota: units=1,spread=3,first=0\r\n%b\r\n"
    )
    return id, head % (account, id, CLIENT_TIMEOUT_MS, b"X-Large: 1\r\n" if large else b"")


class Client:
    """One client connection with its requests and the time at which it disconnected."""

    def __init__(self, port: int, case: Case, requests: int) -> None:
        self.case, self.left_at, self._address = case, 0.0, (HOST, port)
        self._socket = socket.socket()
        if case.waits_for == "turn":
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        if case.position != "on a new connection":
            self._connect()
        pairs = [build_request(large=case.waits_for == "turn" and n == 0) for n in range(requests)]
        self.ids, self._requests = [id for id, _ in pairs], [data for _, data in pairs]

    def _connect(self) -> None:
        self._socket.connect(self._address)
        self._socket.setblocking(False)

    async def send_requests(self) -> None:
        loop = asyncio.get_running_loop()
        if self.case.waits_for == "turn":
            await loop.sock_sendall(self._socket, self._requests.pop(0))
            await asyncio.sleep(2 * WAIT_BEFORE_LEAVING)  # the response has arrived and stays unread
        elif self.case.position == "unread behind a pipeline":
            await loop.sock_sendall(self._socket, b"".join(self._requests[:PIPELINE_SIZE]))
            await asyncio.sleep(WAIT_BEFORE_LEAVING / 2)
            self._requests = self._requests[PIPELINE_SIZE:]
        if self.case.waits_for != "bytes":
            await loop.sock_sendall(self._socket, b"".join(self._requests))

    def disconnect(self) -> None:
        if self.case.position == "on a new connection":
            self._connect()
        if self.case.waits_for == "bytes":
            self._socket.sendall(b"".join(self._requests))
        elif self.case.waits_for != "turn":
            with contextlib.suppress(BlockingIOError):  # requests with a response are no longer waiting
                self.ids = self.ids[self._socket.recv(1 << 20).count(b"HTTP/1.1 ") :]
        self.left_at = time.monotonic()
        if self.case.disconnect == "rst":
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            return self._socket.close()
        self._socket.shutdown(socket.SHUT_WR)

    async def finish(self) -> None:
        """After a FIN, read the response that was left unread, and close."""
        if self.case.waits_for == "turn" and self.case.disconnect == "fin":
            await asyncio.sleep(READ_DELAY)
            with contextlib.suppress(OSError):
                while await asyncio.get_running_loop().sock_recv(self._socket, 1 << 20):
                    pass


# The number of connections of each case and the number of requests on each connection.
REQUESTS_BY_POSITION = {
    "alone": (30, 1),
    "in a full pipeline": (4, PIPELINE_SIZE),
    "unread behind a pipeline": (4, PIPELINE_SIZE + 2),
}
STALLED_CASES = {
    ("dial", "alone"): (30, 1),
    ("released", "alone"): (30, 1),
    ("released", "in a full pipeline"): (4, PIPELINE_SIZE),
    ("retry", "alone"): (30, 1),
    ("retry", "in a full pipeline"): (4, PIPELINE_SIZE),
    ("bytes", "alone"): (30, 1),
    ("bytes", "on a new connection"): (30, 1),
    ("turn", "behind an answer not taken"): (30, 2),
}
CASES = (
    {
        Case(waits_for, position, disconnect): size
        for waits_for in ("dial", "late", "mute", "retry")
        for position, size in REQUESTS_BY_POSITION.items()
        for disconnect in DISCONNECTS
    }
    | {Case("turn", "behind an answer not taken", disconnect): (30, 2) for disconnect in DISCONNECTS}
    | {
        Case(waits_for, position, disconnect, True): size
        for (waits_for, position), size in STALLED_CASES.items()
        for disconnect in DISCONNECTS
    }
)


def adjust_config(path: Path, counter_port: int | None) -> None:
    """Configure long timeouts, and plans that use the counter if there is a port for it."""
    raw = json.loads(path.read_text())
    settings = raw["settings"]
    settings["n_instances"] = 3
    settings["limits"]["dial_timeout_s"] = DIAL_TIMEOUT
    settings["contract"]["cold_from"] = 1.0
    for row in settings["classes"]:
        row["aim_s"], row["deadline_s"] = 5.0, 10.0
    if counter_port is not None:
        raw["counter"] = f"{HOST}:{counter_port}"
        settings["specifics"] |= {"has_counter": True, "count_wait_s": COUNTER_TIMEOUT}
        for row in settings["tariffs"]:
            row |= {"parallel": 100}  # limit on open requests, counted over all limiters
    path.write_text(json.dumps(raw))


async def run_case(
    checkout_path: str | None,
    case: Case,
    full_servers: list[FullBacklogServer],
    folder: Path,
    start_barrier: asyncio.Barrier,
) -> Counter[tuple[Case, str]]:
    """Run one limiter with the clients of one case; return the counts of its requests by outcome."""
    loop, server_log = asyncio.get_running_loop(), ServerLog()
    servers, counter_port, counter_server = (
        list[asyncio.Server](),
        None,
        CounterServer(LATE_COUNTER_DELAY if case.waits_for == "late" else None),
    )
    if not full_servers:
        servers = [
            await loop.create_server(lambda: ServerConnection(server_log), HOST, 0) for _ in range(SERVERS)
        ]
    ports = [each.port for each in full_servers] or [each.sockets[0].getsockname()[1] for each in servers]
    if case.waits_for in ("late", "mute", "released"):
        servers.append(await loop.create_server(lambda: CounterConnection(counter_server), HOST, 0))
        counter_port = servers[-1].sockets[0].getsockname()[1]
    bound = socket.socket()  # reserves the port; the limiter listens on it as well
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bound.bind((HOST, 0))
    port = bound.getsockname()[1]
    path = limiter_config(folder, port, ports, f"{port}.json")
    adjust_config(path, counter_port)
    env = {**os.environ, "LB_CONFIG": str(path)} | ({"PYTHONPATH": ""} if checkout_path else {})
    child = subprocess.Popen(
        [sys.executable, "-m", "cypresspulley"], env=env, stderr=subprocess.DEVNULL, cwd=checkout_path
    )

    async def admit(each: FullBacklogServer, after: float) -> None:
        await asyncio.sleep(after)
        servers.append(await each.admit(server_log))

    def release_waits() -> None:
        """Trigger the event that the requests wait for, if the benchmark controls it."""
        server_log.answer(REFUSED_RESPONSE)
        if case.waits_for == "released":
            counter_server.release()

    async def warm_up() -> None:
        server_log.withholding, delay, counter_server.delay = True, counter_server.delay, 0.0
        _, writers = zip(
            *[await asyncio.open_connection(HOST, port) for _ in range(WARM_UP_REQUESTS)], strict=True
        )
        for writer in writers:
            writer.write(build_request()[1])
        await asyncio.sleep(WAIT_BEFORE_LEAVING)
        server_log.answer(SMALL_RESPONSE)
        await asyncio.sleep(WARM_UP_REST)
        server_log.withholding, counter_server.delay = case.waits_for == "retry", delay
        for writer in writers:
            writer.close()

    async def disconnect() -> None:
        """Disconnect the clients; if the limiter is stopped, half of them before the awaited event and half after."""
        if not case.stalled:
            for client in clients:
                client.disconnect()
            await asyncio.sleep(REFUSAL_DELAY)
            return release_waits()
        child.send_signal(signal.SIGSTOP)
        until = time.monotonic() + (STALL_TIME_FOR_DIAL if case.waits_for == "dial" else STALL_TIME)
        for client in clients[::2]:
            client.disconnect()
        release_waits()
        for client in clients[1::2]:
            client.disconnect()
        await asyncio.sleep(until - time.monotonic())
        child.send_signal(signal.SIGCONT)

    try:
        await wait_until_listening(port, child)
        if not full_servers:
            await warm_up()
        await start_barrier.wait()  # starting processes would delay other cases
        client_count, request_count = CASES[case]
        clients = [Client(port, case, request_count) for _ in range(client_count)]
        observation_end = asyncio.create_task(asyncio.sleep(OBSERVATION_TIME))
        times = ADMIT_DELAYS[:1] if case.stalled else ADMIT_DELAYS
        admitting = [
            asyncio.create_task(admit(each, times[n % len(times)])) for n, each in enumerate(full_servers)
        ]
        await asyncio.gather(*(client.send_requests() for client in clients))
        await asyncio.sleep(WAIT_BEFORE_LEAVING)
        await disconnect()
        await asyncio.gather(*(client.finish() for client in clients), *admitting, observation_end)
    finally:
        child.kill()
        child.wait()
        bound.close()
        for server in servers:
            server.close()
    counts = Counter[tuple[Case, str]]()
    for client in clients:
        for id in client.ids:
            before = [arrived for arrived in server_log.arrival_times.get(id, []) if arrived < client.left_at]
            after = [
                arrived - client.left_at
                for arrived in server_log.arrival_times.get(id, [])
                if arrived >= client.left_at
            ]
            if bool(before) is (case.waits_for == "retry"):  # otherwise it was not waiting for this
                counts[case, "waiting"] += 1
                counts[case, "soon"] += any(each <= MAX_ATTEMPT_DELAY for each in after)
                counts[case, "later"] += any(each > MAX_ATTEMPT_DELAY for each in after)
    return counts


async def measure(checkout_path: str | None) -> Counter[tuple[Case, str]]:
    """Run all cases concurrently, each with its own limiter."""
    full_servers = {
        case: [FullBacklogServer() for _ in range(SERVERS * (case.waits_for == "dial"))] for case in CASES
    }
    start_barrier = asyncio.Barrier(len(CASES))
    with tempfile.TemporaryDirectory() as folder:
        scenes = [
            run_case(checkout_path, case, full_servers[case], Path(folder), start_barrier) for case in CASES
        ]
        return sum(await asyncio.gather(*scenes), Counter())


COLUMNS = ("waiting", "soon", "later")


def print_table(name: str, counts: Counter[tuple[Case, str]]) -> int:
    """Print a table; return the number of requests for which an attempt began later."""
    print(f"{name:52} {'waiting':>8} {'in 0.1 s':>8} {'later':>8}")
    for case in CASES:
        print(f"  {case!s:50} " + " ".join(f"{counts[case, what]:8}" for what in COLUMNS))
    later = 0
    for attempts, retries in (("first attempts", False), ("further attempts", True)):
        cases = [case for case in CASES if (case.waits_for == "retry") is retries]
        row = [sum(counts[case, what] for case in cases) for what in COLUMNS]
        print(
            f"  {attempts:50} " + " ".join(f"{n:8}" for n in row) + f"  share {row[2] / max(1, row[0]):.3f}"
        )
        later += row[2]
    return later


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--beside", metavar="CHECKOUT", help="the limiter of another checkout as well")
    parser.add_argument("--json", type=Path)
    options = parser.parse_args()

    results = [uvloop.run(measure(each)) for each in ([None, options.beside] if options.beside else [None])]
    later = [print_table(name, counts) for name, counts in zip(("this", "beside"), results, strict=False)]
    if options.json:
        rows = [{f"{case} {what}": n for (case, what), n in counts.items()} for counts in results]
        options.json.write_text(json.dumps(rows, indent=1) + "\n")
    insufficient = [case for case in CASES if results[0][case, "waiting"] < MIN_WAITING]
    for case in insufficient:
        print(f"{case}: too few waited to tell", file=sys.stderr)
    return int(later[0] > 0 or bool(insufficient))


if __name__ == "__main__":
    sys.exit(main())
