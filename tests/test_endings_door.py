"""Races at the end of admin connections, of a takeover's channel and of the process."""

from __future__ import annotations

import asyncio
import socket
from pathlib import Path
from typing import Any

import pytest

from cypresspulley import interface as api
from cypresspulley.lifecycle import Lifecycle
from cypresspulley.net import admin as net_admin
from cypresspulley.net.admin import AdminServer, Reply, _AdminConnection
from cypresspulley.service import Service
from cypresspulley.takeover.channel import Channel, Folder
from cypresspulley.takeover.handover import Predecessor
from tests.loopback import Limiter, Script, ask, run

LONG_QUEUE = 400  # connections in a queue; more than are accepted in 256 iterations of the loop
CALL = b"GET /v1/readyz HTTP/1.1\r\nHost: door\r\n\r\n"


async def accept_call(_name: str, _id: str) -> Reply:
    return Reply(200, {"ok": True})


class Caller:
    """A caller's socket. Data is in the receive buffer of the admin API when ``send`` returns."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.socket = socket.socket()
        self.socket.connect(address)
        self.socket.setblocking(False)
        self.seen = b""

    def send(self, data: bytes) -> None:
        self.socket.sendall(data)

    async def end(self) -> bytes:
        """Return everything received up to an orderly end; a reset raises ConnectionError."""
        while data := await asyncio.get_running_loop().sock_recv(self.socket, 65536):
            self.seen += data
        return self.seen

    def reset(self) -> bool:
        return self.socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) != 0


async def yield_to_loop(count: int = 20) -> None:
    for _ in range(count):
        await asyncio.sleep(0)


async def until(condition: Any) -> None:
    while not condition():
        await asyncio.sleep(0.001)


@pytest.mark.parametrize("before", [True, False])
def test_bytes_that_cross_a_calls_answer_do_not_reset_it(
    before: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a reset by bytes that are unread when the response is written, or sent after it."""
    answer, late_senders = _AdminConnection.answer, list[Caller]()

    def answered(caller: _AdminConnection, reply: Reply) -> None:
        if before and late_senders:
            late_senders.pop().send(b"and more" * 100)
        answer(caller, reply)

    monkeypatch.setattr(_AdminConnection, "answer", answered)

    async def main() -> None:
        server = AdminServer(accept_call)
        caller = Caller(await server.listen("127.0.0.1", 0))
        late_senders.append(caller)
        caller.send(CALL)
        assert b" 200 " in await caller.end()
        if not before:
            caller.send(b"and more" * 100)
        await yield_to_loop(50)
        assert not caller.reset()
        caller.socket.close()
        await until(lambda: not server._connections)
        server.close()

    run(main())


def test_a_flood_or_silence_behind_an_answer_ends_at_its_bounds(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(net_admin, "LINGER_SECONDS", 0.05, raising=False)

    async def main() -> None:
        server = AdminServer(accept_call)
        address = await server.listen("127.0.0.1", 0)
        silent, flooding = Caller(address), Caller(address)
        for caller in (silent, flooding):
            caller.send(CALL)
            assert b" 200 " in await caller.end()
        with pytest.raises(ConnectionError):
            while True:
                await asyncio.get_running_loop().sock_sendall(flooding.socket, b"x" * 65536)
        await until(lambda: not server._connections)
        silent.socket.close()
        server.close()

    run(main())


@pytest.mark.parametrize("rest", [b"eadyz HTTP/1.1\r\nHost: door\r\n\r\n", b""])
def test_a_calls_last_bytes_that_lie_unread_are_no_silence(
    rest: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """After the loop was blocked, the timeout runs before the read; only without unread data it must fail."""
    monkeypatch.setattr(net_admin, "REQUEST_TIMEOUT_SECONDS", 60.0)

    async def main() -> None:
        server = AdminServer(accept_call)
        caller = Caller(await server.listen("127.0.0.1", 0))
        caller.send(b"GET /v1/r")
        await until(lambda: server._connections and next(iter(server._connections))._request_size)
        if rest:
            caller.send(rest)
        next(iter(server._connections))._on_request_timeout()
        assert (b" 200 " if rest else b" 408 ") in await caller.end()
        caller.socket.close()
        await until(lambda: not server._connections)
        server.close()

    run(main())


def test_who_lingers_makes_room_for_a_call(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(net_admin, "MAX_CONNECTIONS", 3)
    monkeypatch.setattr(net_admin, "LINGER_SECONDS", 60.0)

    async def main() -> None:
        server = AdminServer(accept_call)
        address = await server.listen("127.0.0.1", 0)
        callers = list[Caller]()
        for _ in range(8):  # no caller closes its connection
            callers.append(caller := Caller(address))
            caller.send(CALL)
            assert b" 200 " in await caller.end()
            assert len(server._connections) <= 3
        for caller in callers:
            caller.socket.close()
        await until(lambda: not server._connections)
        server.close()

    run(main())


def test_only_a_caller_that_was_silent_for_a_while_makes_room() -> None:
    """Guards against a request that is pushed out by other callers before it is read."""

    async def main() -> None:
        server = AdminServer(accept_call, max_connections=2)
        address = await server.listen("127.0.0.1", 0)
        asking, silent = Caller(address), Caller(address)
        await until(lambda: server.full and all(each._transport for each in server._connections))
        assert not server.make_room(), "both may still send their request"
        for connection in server._connections:
            connection._accepted_at -= net_admin.MIN_CONNECTION_SECONDS
        asking.send(CALL)  # lies unread in the kernel
        assert server.make_room() and not server.make_room()
        assert b" 200 " in await asking.end()
        assert await silent.end() == b""
        for caller in (asking, silent):
            caller.socket.close()
        await until(lambda: not server._connections)
        server.close()

    run(main())


# The end of a takeover's channel.


class Host:
    """The host operations that a predecessor needs to hand over clients."""

    def __init__(self, limiter: Limiter) -> None:
        self._limiter = limiter
        self.tasks = list[asyncio.Task[None]]()

    def adopt_connection(self, sock: socket.socket) -> None:
        self.tasks.append(
            asyncio.get_running_loop().create_task(self._limiter.frontend.adopt_connection(sock))
        )


@pytest.mark.parametrize("dies", ["full", "before"])
def test_a_client_that_its_successor_never_got_is_served_on_here(dies: str, tmp_path: Path) -> None:
    """The successor reads nothing until its socket is full and dies, or is dead when the client is handed over."""

    async def main() -> None:
        ours, theirs = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        script = Script(lambda event: [api.Refuse(event.id, 0.25)] if isinstance(event, api.Request) else [])
        async with Limiter(script, {}) as limiter:
            client = Caller(limiter._address)
            client.send(ask())
            while b"\r\n\r\n" not in client.seen:
                client.seen += await asyncio.get_running_loop().sock_recv(client.socket, 65536)
            host: Any = Host(limiter)
            predecessor = Predecessor(host, Folder(str(tmp_path), "x"))
            channel = predecessor._channel = Channel(ours, predecessor._receive, lambda _channel: None)
            if dies == "full":
                while not channel._queue:
                    channel.send({"is": "held", "rows": []})
            else:
                theirs.close()
            limiter.frontend.set_handoff(predecessor.pass_client)
            if dies == "full":
                await until(lambda: not limiter.frontend._clients)
                client.send(ask())
                theirs.close()
            else:
                client.send(ask())
            await until(lambda: not channel.is_open)
            limiter.frontend.set_handoff(None)
            await until(lambda: len([e for e in script.events if isinstance(e, api.Request)]) == 2)
            assert len(limiter.frontend._clients) == 1, "one connection with one reader"
            client.socket.shutdown(socket.SHUT_WR)
            assert (await client.end()).count(b"HTTP/1.1 429") == 2
            client.socket.close()
            await until(lambda: not limiter.frontend._clients)
            assert len(host.tasks) == (dies == "full")
            predecessor.close()

    run(main())


# The end of the process.


def test_a_connection_that_was_passed_on_at_the_end_is_taken_and_answered() -> None:
    """The task that adopts the connection has not run yet when the process starts to shut down."""

    async def main() -> None:
        script = Script(lambda event: [api.Refuse(event.id, 0.25)] if isinstance(event, api.Request) else [])
        async with Limiter(script, {}) as limiter:
            service = Service(Lifecycle())
            service.serve(limiter.node, limiter.frontend)
            with socket.create_server(("127.0.0.1", 0)) as other:
                client = Caller(other.getsockname())
                passed, _ = other.accept()
            client.send(ask())
            service.adopt_connection(passed)
            service.leave()
            await limiter.frontend.close(10)
            assert b" 429 " in await client.end()

    run(main())


def test_a_long_queue_is_taken_before_the_listener_goes() -> None:
    async def main() -> None:
        script = Script(lambda event: [api.Refuse(event.id, 0.25)] if isinstance(event, api.Request) else [])
        async with Limiter(script, {}) as limiter:
            limiter.frontend._max = 2000
            limiter.frontend.drain()
            clients = [Caller(limiter._address) for _ in range(LONG_QUEUE)]
            for client in clients:
                client.send(ask())
            closing = asyncio.create_task(limiter.frontend.close(10))
            for client in clients:
                assert b" 429 " in await client.end()
                client.socket.close()
            await closing

    run(main())
