"""Requests whose client left while they waited: how many attempts begin for them all the same.

    python -m benchmarks.left_waiting [--beside CHECKOUT] [--json FILE]

The limiter runs as a process, on loopback. Its clients leave by FIN or by RST while their requests wait: for a dial
that comes up late (a listener with a full backlog), for a counter that answers late or never, behind a full pipeline
or behind an answer that is not taken, where the limiter does not read and so is not told of the end, or for a further
attempt, with the first one out at a server that turns it away once the client has left. Kinds that are "held" stop the
limiter (SIGSTOP) for 150 ms (950 ms for a dial), and the client leaves then: its end and what its request waits for
lie in the machine together when the loop goes on, the end before or behind. "Bytes" are requests that are themselves
sent in that time, on a connection that stands or on a new one.

Of each kind are counted the requests that still waited when their client left, those of them for which an attempt came
to a server within 0.1 s of that, and those for which one came later: wanted are none. First and further attempts are
counted apart: a request waits for a further one if a server had seen the first. ``--beside`` plays the same to the
limiter of another checkout behind it. Takes 15 to 20 s, most of it for full backlogs; exits with 1 where this one sends
any on later, or too few of a kind waited.
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

from benchmarks.cpu_per_request import HOST, limiter_config, up

SERVERS = 32
DUE = 0.1  # seconds after the client left, from which on no attempt may begin
WAITED = 0.25  # seconds that a request waits before its client leaves
HELD = 0.15  # seconds for which the limiter is held, from just before its clients leave
BEHIND = 0.12  # seconds behind the leaving, where nothing is held, at which servers turn first attempts away
# A dial to a full backlog is tried again by the machine after 1 s and after 3: these let it up at either.
ADMITTED = (0.5, 1.4)  # seconds after the requests until a listener has room
HELD_FOR_DIAL = 0.95  # the same where dials come up then, 1 s behind the requests
WARM = 64  # requests that are served together before, so that connections to servers are kept
RESTED = 0.1  # seconds until these may be used again
DIAL_TIMEOUT = 5.0
COUNTED = 1.2  # seconds that a late counter takes for each answer, of the ``COUNT_WAIT`` that it has
COUNT_WAIT = 2.0
TAKEN = 0.8  # seconds after it left by FIN until a client takes the answer that it had left lying
SEEN_BY = 4.5  # seconds after the requests until nothing more can be sent on
TTL = 20_000  # milliseconds that clients would wait
PIPELINE = 8  # requests of one connection that are read at once
LARGE = b"HTTP/1.1 200 OK\r\nContent-Length: 8000000\r\n\r\n" + b"x" * 8_000_000
SMALL = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"
FULL = b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"
ID = re.compile(rb"x-request-id: ([0-9a-f]{16})", re.IGNORECASE)
IDS = count(0x9B1F03AA5C7E2D41)
LEAST = 5  # that have to wait for a share of them to tell something
ENDS = ("fin", "rst")


class Kind(NamedTuple):
    """What a request waits for, where on its connection it stands, how its client leaves, and when."""

    waits: (
        str  # for a "dial", a "late", a "mute" or a "released" counter, its "turn", its "bytes" or a "retry"
    )
    place: str
    end: str
    held: bool = False

    def __str__(self) -> str:
        return f"{self.waits} {self.place} {self.end}{' held' * self.held}"


class Servers:
    """What all servers of a scene have seen, and whether they withhold their answers for now."""

    def __init__(self) -> None:
        self.at = dict[bytes, list[float]]()  # of each request: when an attempt has come whole
        self.withholding = False
        self._withheld = list[asyncio.Transport]()

    def came(self, id: bytes, head: bytes, transport: asyncio.Transport) -> None:
        self.at.setdefault(id, []).append(time.monotonic())
        if self.withholding:
            self._withheld.append(transport)
        else:
            transport.write(LARGE if b"X-Large" in head else SMALL)

    def answer(self, answer: bytes) -> None:
        """All that is withheld gets this; from now on what comes is served."""
        self.withholding = False
        withheld, self._withheld = self._withheld, []
        for transport in withheld:
            if not transport.is_closing():
                transport.write(answer)


class Seen(asyncio.Protocol):
    """A server's connection."""

    def __init__(self, servers: Servers) -> None:
        self._servers, self._buffer = servers, b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        *heads, self._buffer = (self._buffer + data).split(b"\r\n\r\n")
        for head in heads:
            if (id := ID.search(head)) is not None:
                self._servers.came(id[1], head, self._transport)
            else:
                self._transport.write(SMALL)


class Tally:
    """The counter: answers each call so many seconds late, or when it is released, or never."""

    def __init__(self, late: float | None) -> None:
        self.late, self._totals = late, Counter[bytes]()
        self._owed = list[tuple[asyncio.Transport, bytes]]()

    def called(self, transport: asyncio.Transport, name: bytes) -> None:
        if self.late is not None:
            asyncio.get_running_loop().call_later(self.late, self._answer, transport, name)
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


class Calls(asyncio.Protocol):
    """A connection to the counter."""

    def __init__(self, tally: Tally) -> None:
        self._tally = tally

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        for line in data.splitlines():
            words = line.split()
            if words[:1] == [b"ping"]:
                self._transport.write(b"pong\r\n")
            elif words[:1] == [b"tally"]:
                self._tally.called(self._transport, words[1])


class Full:
    """A server whose backlog is full until it is admitted."""

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

    async def admit(self, servers: Servers) -> asyncio.Server:
        for client in self._held:
            with contextlib.suppress(BlockingIOError):
                self.listener.accept()[0].close()
            client.close()
        self.listener.listen(128)
        return await asyncio.get_running_loop().create_server(lambda: Seen(servers), sock=self.listener)


def request(large: bool = False) -> tuple[bytes, bytes]:
    """Its id and its bytes; each is of an account of its own."""
    id = b"%016x" % next(IDS)
    account = int(id, 16) % 2**33
    head = (
        b"GET /bag-lookup?account=%016x HTTP/1.1\r\nHost: bags.internal\r\nX-Request-ID: %b\r\n"
        b"X-Priority-Class: bag-lookup\r\nX-Plan: free\r\nX-Timeout-Ms: %d\r\n"
        b"X-Quota: units=1,spread=3,first=0\r\n%b\r\n"
    )
    return id, head % (account, id, TTL, b"X-Large: 1\r\n" if large else b"")


class Client:
    """One connection, its requests, and when it left."""

    def __init__(self, port: int, kind: Kind, requests: int) -> None:
        self.kind, self.left, self._address = kind, 0.0, (HOST, port)
        self._socket = socket.socket()
        if kind.waits == "turn":
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        if kind.place != "on a new connection":
            self._connect()
        pairs = [request(large=kind.waits == "turn" and n == 0) for n in range(requests)]
        self.ids, self._requests = [id for id, _ in pairs], [data for _, data in pairs]

    def _connect(self) -> None:
        self._socket.connect(self._address)
        self._socket.setblocking(False)

    async def ask(self) -> None:
        loop = asyncio.get_running_loop()
        if self.kind.waits == "turn":
            await loop.sock_sendall(self._socket, self._requests.pop(0))
            await asyncio.sleep(2 * WAITED)  # the answer is there, and is not taken
        elif self.kind.place == "unread behind a pipeline":
            await loop.sock_sendall(self._socket, b"".join(self._requests[:PIPELINE]))
            await asyncio.sleep(WAITED / 2)
            self._requests = self._requests[PIPELINE:]
        if self.kind.waits != "bytes":
            await loop.sock_sendall(self._socket, b"".join(self._requests))

    def leave(self) -> None:
        if self.kind.place == "on a new connection":
            self._connect()
        if self.kind.waits == "bytes":
            self._socket.sendall(b"".join(self._requests))
        elif self.kind.waits != "turn":
            with contextlib.suppress(BlockingIOError):  # what has its answer waits no longer
                self.ids = self.ids[self._socket.recv(1 << 20).count(b"HTTP/1.1 ") :]
        self.left = time.monotonic()
        if self.kind.end == "rst":
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            return self._socket.close()
        self._socket.shutdown(socket.SHUT_WR)

    async def end(self) -> None:
        """Take the answer that was left lying, behind a FIN, and close."""
        if self.kind.waits == "turn" and self.kind.end == "fin":
            await asyncio.sleep(TAKEN)
            with contextlib.suppress(OSError):
                while await asyncio.get_running_loop().sock_recv(self._socket, 1 << 20):
                    pass


# How many connections each kind has, and how many requests stand on one.
PLACES = {
    "alone": (30, 1),
    "in a full pipeline": (4, PIPELINE),
    "unread behind a pipeline": (4, PIPELINE + 2),
}
IN_HOLD = {
    ("dial", "alone"): (30, 1),
    ("released", "alone"): (30, 1),
    ("released", "in a full pipeline"): (4, PIPELINE),
    ("retry", "alone"): (30, 1),
    ("retry", "in a full pipeline"): (4, PIPELINE),
    ("bytes", "alone"): (30, 1),
    ("bytes", "on a new connection"): (30, 1),
    ("turn", "behind an answer not taken"): (30, 2),
}
KINDS = (
    {
        Kind(waits, place, end): asks
        for waits in ("dial", "late", "mute", "retry")
        for place, asks in PLACES.items()
        for end in ENDS
    }
    | {Kind("turn", "behind an answer not taken", end): (30, 2) for end in ENDS}
    | {Kind(waits, place, end, True): asks for (waits, place), asks in IN_HOLD.items() for end in ENDS}
)


def adjusted(path: Path, counter: int | None) -> None:
    """Long waits, and plans that ask the counter."""
    raw = json.loads(path.read_text())
    settings = raw["settings"]
    settings["n_instances"] = 3
    settings["limits"]["dial_timeout_s"] = DIAL_TIMEOUT
    settings["contract"]["cold_from"] = 1.0
    for row in settings["classes"]:
        row["aim_s"], row["deadline_s"] = 5.0, 10.0
    if counter is not None:
        raw["counter"] = f"{HOST}:{counter}"
        settings["specifics"] |= {"has_counter": True, "count_wait_s": COUNT_WAIT}
        for row in settings["tariffs"]:
            row |= {"parallel": 100}  # open requests that all limiters count together
    path.write_text(json.dumps(raw))


async def scene(
    checkout: str | None, kind: Kind, full: list[Full], folder: Path, begin: asyncio.Barrier
) -> Counter[tuple[Kind, str]]:
    """One limiter and the clients of one kind: how many requests, and what became of them."""
    loop, seen = asyncio.get_running_loop(), Servers()
    servers, counter, tally = list[asyncio.Server](), None, Tally(COUNTED if kind.waits == "late" else None)
    if not full:
        servers = [await loop.create_server(lambda: Seen(seen), HOST, 0) for _ in range(SERVERS)]
    ports = [each.port for each in full] or [each.sockets[0].getsockname()[1] for each in servers]
    if kind.waits in ("late", "mute", "released"):
        servers.append(await loop.create_server(lambda: Calls(tally), HOST, 0))
        counter = servers[-1].sockets[0].getsockname()[1]
    bound = socket.socket()  # so that nothing else here gets the port; the limiter listens beside it
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bound.bind((HOST, 0))
    port = bound.getsockname()[1]
    path = limiter_config(folder, port, ports, f"{port}.json")
    adjusted(path, counter)
    env = {**os.environ, "LB_CONFIG": str(path)} | ({"PYTHONPATH": ""} if checkout else {})
    child = subprocess.Popen(
        [sys.executable, "-m", "cypresspulley"], env=env, stderr=subprocess.DEVNULL, cwd=checkout
    )

    async def admit(each: Full, after: float) -> None:
        await asyncio.sleep(after)
        servers.append(await each.admit(seen))

    def happen() -> None:
        """What the requests wait for, where that is ours to say."""
        seen.answer(FULL)
        if kind.waits == "released":
            tally.release()

    async def warm() -> None:
        seen.withholding, late, tally.late = True, tally.late, 0.0
        _, writers = zip(*[await asyncio.open_connection(HOST, port) for _ in range(WARM)], strict=True)
        for writer in writers:
            writer.write(request()[1])
        await asyncio.sleep(WAITED)
        seen.answer(SMALL)
        await asyncio.sleep(RESTED)
        seen.withholding, tally.late = kind.waits == "retry", late
        for writer in writers:
            writer.close()

    async def leave() -> None:
        """Half of the clients before what their requests wait for, and half behind, where the limiter is held."""
        if not kind.held:
            for client in clients:
                client.leave()
            await asyncio.sleep(BEHIND)
            return happen()
        child.send_signal(signal.SIGSTOP)
        until = time.monotonic() + (HELD_FOR_DIAL if kind.waits == "dial" else HELD)
        for client in clients[::2]:
            client.leave()
        happen()
        for client in clients[1::2]:
            client.leave()
        await asyncio.sleep(until - time.monotonic())
        child.send_signal(signal.SIGCONT)

    try:
        await up(port, child)
        if not full:
            await warm()
        await begin.wait()  # what starts up would make others late
        many, asks = KINDS[kind]
        clients = [Client(port, kind, asks) for _ in range(many)]
        over = asyncio.create_task(asyncio.sleep(SEEN_BY))
        times = ADMITTED[:1] if kind.held else ADMITTED
        admitting = [asyncio.create_task(admit(each, times[n % len(times)])) for n, each in enumerate(full)]
        await asyncio.gather(*(client.ask() for client in clients))
        await asyncio.sleep(WAITED)
        await leave()
        await asyncio.gather(*(client.end() for client in clients), *admitting, over)
    finally:
        child.kill()
        child.wait()
        bound.close()
        for server in servers:
            server.close()
    found = Counter[tuple[Kind, str]]()
    for client in clients:
        for id in client.ids:
            before = [at for at in seen.at.get(id, []) if at < client.left]
            after = [at - client.left for at in seen.at.get(id, []) if at >= client.left]
            if bool(before) is (kind.waits == "retry"):  # else it was sent on, or has not been yet
                found[kind, "waiting"] += 1
                found[kind, "soon"] += any(each <= DUE for each in after)
                found[kind, "later"] += any(each > DUE for each in after)
    return found


async def measure(checkout: str | None) -> Counter[tuple[Kind, str]]:
    """All kinds at once, each at a limiter of its own."""
    full = {kind: [Full() for _ in range(SERVERS * (kind.waits == "dial"))] for kind in KINDS}
    begin = asyncio.Barrier(len(KINDS))
    with tempfile.TemporaryDirectory() as folder:
        scenes = [scene(checkout, kind, full[kind], Path(folder), begin) for kind in KINDS]
        return sum(await asyncio.gather(*scenes), Counter())


COLUMNS = ("waiting", "soon", "later")


def shown(name: str, found: Counter[tuple[Kind, str]]) -> int:
    """Print a table; how many in all were sent on later."""
    print(f"{name:52} {'waiting':>8} {'in 0.1 s':>8} {'later':>8}")
    for kind in KINDS:
        print(f"  {kind!s:50} " + " ".join(f"{found[kind, what]:8}" for what in COLUMNS))
    later = 0
    for attempts, retries in (("first attempts", False), ("further attempts", True)):
        kinds = [kind for kind in KINDS if (kind.waits == "retry") is retries]
        row = [sum(found[kind, what] for kind in kinds) for what in COLUMNS]
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
    later = [shown(name, found) for name, found in zip(("this", "beside"), results, strict=False)]
    if options.json:
        rows = [{f"{kind} {what}": n for (kind, what), n in found.items()} for found in results]
        options.json.write_text(json.dumps(rows, indent=1) + "\n")
    void = [kind for kind in KINDS if results[0][kind, "waiting"] < LEAST]
    for kind in void:
        print(f"{kind}: too few waited to tell", file=sys.stderr)
    return int(later[0] > 0 or bool(void))


if __name__ == "__main__":
    sys.exit(main())
