"""Ends at the operators' door, of a takeover's channel and of the process, each crossed by what may meet it."""

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

LONG = 400  # connections in a queue: more than 256 turns of the loop take
CALL = b"GET /v1/readyz HTTP/1.1\r\nHost: door\r\n\r\n"


async def yes(_name: str, _id: str) -> Reply:
    return Reply(200, {"ok": True})


class Caller:
    """A caller's socket. What it sends is in the door's machine when ``send`` returns."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.socket = socket.socket()
        self.socket.connect(address)
        self.socket.setblocking(False)
        self.seen = b""

    def send(self, data: bytes) -> None:
        self.socket.sendall(data)

    async def end(self) -> bytes:
        """All that came up to an orderly end; a reset is an error."""
        while data := await asyncio.get_running_loop().sock_recv(self.socket, 65536):
            self.seen += data
        return self.seen

    def reset(self) -> bool:
        return self.socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) != 0


async def turns(count: int = 20) -> None:
    for _ in range(count):
        await asyncio.sleep(0)


async def until(true: Any) -> None:
    while not true():
        await asyncio.sleep(0.001)


@pytest.mark.parametrize("before", [True, False])
def test_bytes_that_cross_a_calls_answer_do_not_reset_it(
    before: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Unread when the answer is written, or sent once it has come."""
    answer, crossing = _AdminConnection.answer, list[Caller]()

    def answered(caller: _AdminConnection, reply: Reply) -> None:
        if before and crossing:
            crossing.pop().send(b"and more" * 100)
        answer(caller, reply)

    monkeypatch.setattr(_AdminConnection, "answer", answered)

    async def main() -> None:
        door = AdminServer(yes)
        caller = Caller(await door.listen("127.0.0.1", 0))
        crossing.append(caller)
        caller.send(CALL)
        assert b" 200 " in await caller.end()
        if not before:
            caller.send(b"and more" * 100)
        await turns(50)
        assert not caller.reset()
        caller.socket.close()
        await until(lambda: not door._connections)
        door.close()

    run(main())


def test_a_flood_or_silence_behind_an_answer_ends_at_its_bounds(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(net_admin, "LINGER_SECONDS", 0.05, raising=False)

    async def main() -> None:
        door = AdminServer(yes)
        address = await door.listen("127.0.0.1", 0)
        silent, floods = Caller(address), Caller(address)
        for caller in (silent, floods):
            caller.send(CALL)
            assert b" 200 " in await caller.end()
        with pytest.raises(ConnectionError):
            while True:
                await asyncio.get_running_loop().sock_sendall(floods.socket, b"x" * 65536)
        await until(lambda: not door._connections)
        silent.socket.close()
        door.close()

    run(main())


@pytest.mark.parametrize("rest", [b"eadyz HTTP/1.1\r\nHost: door\r\n\r\n", b""])
def test_a_calls_last_bytes_that_lie_unread_are_no_silence(
    rest: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Where the loop was held its timer runs first. With nothing unread it is silence."""
    monkeypatch.setattr(net_admin, "REQUEST_TIMEOUT_SECONDS", 60.0)

    async def main() -> None:
        door = AdminServer(yes)
        caller = Caller(await door.listen("127.0.0.1", 0))
        caller.send(b"GET /v1/r")
        await until(lambda: door._connections and next(iter(door._connections))._request_size)
        if rest:
            caller.send(rest)
        next(iter(door._connections))._on_request_timeout()
        assert (b" 200 " if rest else b" 408 ") in await caller.end()
        caller.socket.close()
        await until(lambda: not door._connections)
        door.close()

    run(main())


def test_who_lingers_makes_room_for_a_call(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(net_admin, "MAX_CONNECTIONS", 3)
    monkeypatch.setattr(net_admin, "LINGER_SECONDS", 60.0)

    async def main() -> None:
        door = AdminServer(yes)
        address = await door.listen("127.0.0.1", 0)
        callers = list[Caller]()
        for _ in range(8):  # none of them closes
            callers.append(caller := Caller(address))
            caller.send(CALL)
            assert b" 200 " in await caller.end()
            assert len(door._connections) <= 3
        for caller in callers:
            caller.socket.close()
        await until(lambda: not door._connections)
        door.close()

    run(main())


# A takeover's channel that ends.


class Host:
    """What a predecessor needs of its process to pass clients on."""

    def __init__(self, limiter: Limiter) -> None:
        self._limiter = limiter
        self.tasks = list[asyncio.Task[None]]()

    def adopt_connection(self, sock: socket.socket) -> None:
        self.tasks.append(
            asyncio.get_running_loop().create_task(self._limiter.frontend.adopt_connection(sock))
        )


@pytest.mark.parametrize("dies", ["full", "before"])
def test_a_client_that_its_successor_never_got_is_served_on_here(dies: str, tmp_path: Path) -> None:
    """The successor takes nothing until its socket is full, and dies; or it is dead when the client is passed on."""

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
            assert len(limiter.frontend._clients) == 1, "one connection, one who reads it"
            client.socket.shutdown(socket.SHUT_WR)
            assert (await client.end()).count(b"HTTP/1.1 429") == 2
            client.socket.close()
            await until(lambda: not limiter.frontend._clients)
            assert len(host.tasks) == (dies == "full")
            predecessor.close()

    run(main())


# The end of the process.


def test_a_connection_that_was_passed_on_at_the_end_is_taken_and_answered() -> None:
    """The task that takes it has had no turn when the process is told to end."""

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
            clients = [Caller(limiter._address) for _ in range(LONG)]
            for client in clients:
                client.send(ask())
            closing = asyncio.create_task(limiter.frontend.close(10))
            for client in clients:
                assert b" 429 " in await client.end()
                client.socket.close()
            await closing

    run(main())
