"""Helpers for tests over loopback sockets: scripted peers and decisions. All listeners use port 0."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine
from contextlib import asynccontextmanager
from itertools import count
from typing import Any

import uvloop

from cypresspulley import interface as api
from cypresspulley.net.counter import CounterClient
from cypresspulley.net.discovery import Listing
from cypresspulley.net.frontend import Frontend
from cypresspulley.net.node import Node, UnixClock
from cypresspulley.net.upstream import Upstream

DEFAULT_READ_AHEAD = 1 << 16  # bytes that a stand-in takes beyond what it reads
TEST_TIMEOUT = 20.0  # seconds; only a test that hangs takes this long
ConnectionHandler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]
REQUEST_IDS = count(0x9B1F03AA5C7E2D41)  # each request takes the next one
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"

SETTINGS = api.Settings(
    index=0,
    gateways=3,
    zone="a",
    classes=(
        api.RequestClass("lookup", 1.0, 1.0, api.Effect.SAFE),
        api.RequestClass("post", 2.0, 5.0, api.Effect.UNSAFE),
    ),
    plans=(api.Plan("basic", rate=100.0, burst=100.0),),
    max_attempts=2,
    max_retry_after=1.0,
)


def run(main: Coroutine[Any, Any, None]) -> None:
    """Run the coroutine of a test on uvloop with a timeout."""
    uvloop.run(asyncio.wait_for(main, TEST_TIMEOUT))


def ask(
    path: str = "/lookup?account=00000000b4d65521", body: bytes = b"", ttl: int = 5000, **headers: str
) -> bytes:
    """Return the bytes of a client's request; a header whose value is empty is omitted.

    ``ttl`` is in milliseconds.
    """
    method = "POST" if body else "GET"
    fields = {
        "Host": "origin.svc", "X-Request-ID": f"{next(REQUEST_IDS):016x}",
        "X-Priority-Class": path[1:].partition("?")[0], "X-Plan": "basic", "X-Timeout-Ms": str(ttl),
        "X-Quota": "units=1,spread=3,first=1",
    }  # fmt: skip
    fields |= {name.replace("_", "-"): value for name, value in headers.items()}
    if body:
        fields["Content-Length"] = str(len(body))
    head = "".join(f"{name}: {value}\r\n" for name, value in fields.items() if value)
    return f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode() + body


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """Read one HTTP message with a Content-Length; return its first line, headers and body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    first, *lines = head.rstrip().split("\r\n")
    headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
    return first, headers, await reader.readexactly(int(headers.get("content-length", "0")))


@asynccontextmanager
async def listening(talk: ConnectionHandler, receive_buffer: int | None = None) -> AsyncIterator[str]:
    """Serve connections with ``talk``; yield the address of the listener.

    ``receive_buffer`` limits what the kernel takes of a connection that ``talk`` does not read, in bytes.
    """
    tasks = set[asyncio.Task[None]]()

    async def guarded(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        tasks.add(task)
        try:
            await talk(reader, writer)
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            tasks.discard(task)
            writer.transport.abort()

    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    if receive_buffer is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
    sock.bind(("127.0.0.1", 0))
    limit = DEFAULT_READ_AHEAD if receive_buffer is None else receive_buffer // 2
    server = await asyncio.start_server(guarded, sock=sock, limit=limit)
    host, port = sock.getsockname()
    try:
        yield f"{host}:{port}"
    finally:
        server.close()
        for task in list(tasks):
            task.cancel()


class Origin:
    """A server that sends what ``reply`` returns for the number of requests so far.

    It sends nothing for None and closes the connection for empty bytes.
    """

    def __init__(self, reply: Callable[[int], bytes | None] = lambda _n: OK) -> None:
        self.reply = reply
        self.seen = list[tuple[str, dict[str, str], bytes]]()
        self.connections = 0
        self.got = asyncio.Event()
        self.left = asyncio.Event()

    async def talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        try:
            while True:
                self.seen.append(await read_message(reader))
                self.got.set()
                reply = self.reply(len(self.seen))
                if reply == b"":
                    return
                if reply is not None:
                    writer.write(reply)
        finally:
            self.left.set()


class Script:
    """A decision module whose actions a test supplies; it records the events that it receives."""

    def __init__(self, answer: Callable[[api.Event], list[api.Action]]) -> None:
        self.answer, self.events = answer, list[api.Event]()
        self.changed = asyncio.Event()

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        self.events.append(event)
        self.changed.set()
        return self.answer(event)

    async def until(self, kind: type, count: int = 1) -> list[Any]:
        """Wait until there are ``count`` events of a type; return all events of that type."""
        while len(found := [e for e in self.events if isinstance(e, kind)]) < count:
            self.changed.clear()
            await self.changed.wait()
        return found


def forward(event: api.Event) -> list[api.Action]:
    """Send each request to ``s1`` and refuse it if that attempt is not served."""
    if isinstance(event, api.Request):
        return [api.Send(event.id, "s1", event.ttl)]
    if isinstance(event, api.Outcome) and not event.finished:
        return [api.Refuse(event.id, 0.25)]
    return []


def entry(name: str, health: api.Health = api.Health.UP) -> api.ServerEntry:
    return api.ServerEntry(name, health, "a")


def listing(dials: dict[str, str], health: api.Health = api.Health.UP, whole: bool = True) -> Listing:
    return Listing(1, api.ServerList(tuple(entry(name, health) for name in dials), whole), dials)


class Limiter:
    """A node with its frontend and upstream, in this process."""

    def __init__(
        self,
        script: Script,
        dials: dict[str, str],
        conn_idle: float = 30.0,
        counter: CounterClient | None = None,
    ) -> None:
        clock = UnixClock()
        self.script = script
        self.upstream = Upstream(clock, dial_timeout=0.25, conn_idle=conn_idle, max_connections=64)
        self.node = Node(SETTINGS, script, clock, self.upstream, counter)
        self.frontend = Frontend(self.node, SETTINGS, max_connections=64)
        self.node.apply_listing(listing(dials))
        self._address = ("", 0)

    async def __aenter__(self) -> Limiter:
        self._address = await self.frontend.listen("127.0.0.1", 0)
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.frontend.close(0.1)
        self.upstream.close()

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection(*self._address)

    async def fetch(self, request: bytes) -> tuple[str, dict[str, str], bytes]:
        reader, writer = await self.connect()
        writer.write(request)
        answer = await read_message(reader)
        writer.close()
        return answer
