"""Clients that have gone: no attempt begins for them, whatever their requests waited for.

What a request waits for and its client's end are put into the machine in one turn of the loop, as they lie there when a
loop goes on that was held; the loop meets them in the order in which they came.
"""

from __future__ import annotations

import asyncio
import select
import socket
from collections.abc import Callable

import pytest

from cypresspulley import interface as api
from cypresspulley.net.counter import CounterClient
from cypresspulley.net.frontend import MAX_PIPELINED_REQUESTS
from cypresspulley.net.http import split_address
from cypresspulley.net.upstream import _Connection
from tests.loopback import OK, Limiter, Origin, Script, ask, forward, listening, run
from tests.test_endings_clients import POST, Ends, Peer, until, yield_to_loop

FULL = b"HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"
LEAVES = pytest.mark.parametrize("leaves", [Peer.fin, Peer.rst], ids=["fin", "rst"])
FIRST = pytest.mark.parametrize("client_first", [True, False], ids=["end before", "end behind"])


def again(event: api.Event) -> list[api.Action]:
    """Sends each request on, and once more where that does not serve it."""
    if isinstance(event, api.Outcome) and not event.finished and event.attempt == 0:
        return [api.Send(event.id, "s1", 5.0)]
    return forward(event)


class Server:
    """A server that a test plays by hand."""

    def __init__(self) -> None:
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._listener.setblocking(False)
        self.dial = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self.taken = list[socket.socket]()

    async def accept(self) -> socket.socket:
        sock, _ = await asyncio.get_running_loop().sock_accept(self._listener)
        sock.setblocking(False)
        self.taken.append(sock)
        return sock

    async def request(self, sock: socket.socket) -> bytes:
        """What has come on a connection up to the end of a head."""
        data = b""
        while b"\r\n\r\n" not in data:
            data += await asyncio.get_running_loop().sock_recv(sock, 65536)
        return data

    def close(self) -> None:
        for sock in (self._listener, *self.taken):
            sock.close()


def unsent(limiter: Limiter, server: Server) -> bool:
    """Whether nothing lies at the server, on any connection that it has or could take."""
    for sock in server.taken:
        try:
            if sock.recv(1, socket.MSG_PEEK):
                return False
        except (BlockingIOError, ConnectionResetError):
            pass
    return not select.select([server._listener], [], [], 0)[0]


async def warm(limiter: Limiter, server: Server, connections: int = 1) -> None:
    """So many connections to the server are kept, and have rested."""
    peers = [Peer(limiter) for _ in range(connections)]
    for peer in peers:
        peer.send(ask())
    socks = [await server.accept() for _ in peers]
    for sock in socks:
        await server.request(sock)
    for sock in socks:
        sock.send(OK)
    for peer in peers:
        await peer.until(b"hi")
        peer.socket.close()
    kept = limiter.upstream._servers["s1"].idle
    await until(lambda: len(kept) == connections and not limiter.frontend._clients)
    rest(limiter)


def rest(limiter: Limiter) -> None:
    """What is kept has rested, whatever this machine has to do."""
    for connection in limiter.upstream._servers["s1"].idle:
        connection.idle_since = limiter.upstream.now() - 1.0


async def gone(limiter: Limiter, script: Script, requests: int = 1) -> None:
    """All that was open has departed, once, and nothing is owed."""
    await script.until(api.Departed, requests)
    await until(lambda: not limiter.frontend._clients)
    await yield_to_loop(20)
    assert len(await script.until(api.Departed)) == requests
    assert not limiter.node.open_requests and not limiter.frontend.open_ids


@LEAVES
@pytest.mark.parametrize("poll", [True, False], ids=["poll", "no poll"])
@pytest.mark.parametrize("new", [False, True], ids=["standing connection", "new connection"])
def test_a_request_that_is_read_behind_its_clients_end_is_not_sent(
    new: bool, poll: bool, leaves: Ends, monkeypatch: pytest.MonkeyPatch
) -> None:
    """In the accept queue, or unread on a connection: the request is read before the end."""

    async def main() -> None:
        server, script = Server(), Script(forward)
        async with Limiter(script, {"s1": server.dial}) as limiter:
            await warm(limiter, server)
            if not poll:
                monkeypatch.setattr("select.poll", unknown)
            peer = Peer(limiter)
            if not new:
                await until(lambda: limiter.frontend._clients)
            peer.send(ask())
            leaves(peer)
            await gone(limiter, script)
            assert unsent(limiter, server), "it was sent on"
            assert limiter.upstream._servers["s1"].idle, "the connection is kept"
        server.close()

    def unknown() -> None:
        raise OSError(38, "Function not implemented")

    run(main())


@FIRST
@LEAVES
def test_no_further_attempt_follows_a_failure_that_meets_the_clients_end(
    leaves: Ends, client_first: bool
) -> None:
    async def main() -> None:
        server, script = Server(), Script(again)
        async with Limiter(script, {"s1": server.dial}) as limiter:
            await warm(limiter, server, 2)
            peer = Peer(limiter)
            peer.send(ask())
            await script.until(api.Request, 3)
            out = await first_with_bytes(server)
            await server.request(out)
            rest(limiter)
            in_order(client_first, lambda: leaves(peer), lambda: out.send(FULL))
            await gone(limiter, script)
            assert unsent(limiter, server), "it was sent once more"
        server.close()

    run(main())


@LEAVES
@pytest.mark.parametrize("more", [0, 2], ids=["nothing behind", "unread requests behind"])
def test_no_further_attempt_is_made_for_a_client_that_is_not_read(more: int, leaves: Ends) -> None:
    """Behind a full pipeline its end is seen by no read, and a sweep may be a while away."""

    async def main() -> None:
        server, script = Server(), Script(again)
        async with Limiter(script, {"s1": server.dial}) as limiter:
            assert limiter.frontend._sweep_at is not None
            limiter.frontend._sweep_at.cancel()
            await warm(limiter, server, MAX_PIPELINED_REQUESTS + 1)
            peer = Peer(limiter)
            peer.send(b"".join(ask() for _ in range(MAX_PIPELINED_REQUESTS)))
            await script.until(api.Request, 2 * MAX_PIPELINED_REQUESTS + 1)
            out = await first_with_bytes(server)
            await server.request(out)
            await until(lambda: all(each._reading_paused for each in limiter.frontend._clients))
            rest(limiter)
            peer.send(b"".join(ask() for _ in range(more)))
            leaves(peer)
            assert len(limiter.upstream._servers["s1"].idle) == 1
            out.send(FULL)
            await gone(limiter, script, MAX_PIPELINED_REQUESTS)
            sends = sum(event.attempt for event in await script.until(api.Outcome))
            assert sends == 1, "the decisions wanted a further attempt"
            others = [sock for sock in server.taken if sock is not out]
            heads = [await until_end(sock) for sock in others]
            assert sum(head.count(b"HTTP/1.1") for head in heads) == MAX_PIPELINED_REQUESTS - 1, (
                "one was sent once more"
            )
        server.close()

    run(main())


@LEAVES
def test_who_leaves_in_an_answer_departs_at_once_with_all_that_waits_behind_it(leaves: Ends) -> None:
    """Each attempt in vain would take one from those that others may have."""
    sent = list[int]()

    def insisting(event: api.Event) -> list[api.Action]:
        if isinstance(event, api.Request) or (
            isinstance(event, api.Outcome) and not event.finished and len(sent) < 9
        ):
            sent.append(event.id)
            return [api.Send(event.id, "s1", 5.0)]
        return []

    async def main() -> None:
        server, script = Server(), Script(insisting)
        async with Limiter(script, {"s1": server.dial}) as limiter:
            peer = Peer(limiter, receive_buffer=65536)
            peer.send(ask() + ask())
            first, second = await server.accept(), await server.accept()
            for sock in (first, second):
                await server.request(sock)
            first.send(b"HTTP/1.1 200 OK\r\nContent-Length: 12000000\r\n\r\n" + b"x" * 100_000)
            await script.until(api.Began)
            await yield_to_loop()
            second.send(FULL)
            leaves(peer)
            await gone(limiter, script, 2)
            assert sent == [1, 2, 2], "one further attempt was wanted, and it found the client gone"
            peer.socket.close()
        server.close()

    run(main())


@FIRST
@LEAVES
def test_what_waits_for_the_counter_is_not_sent_once_its_client_has_gone(
    leaves: Ends, client_first: bool
) -> None:
    def counting(event: api.Event) -> list[api.Action]:
        if isinstance(event, api.Request) and event.repeat:
            asked.append(event.id)
            return [api.Count(7, 1.0, 1.0)]
        if isinstance(event, api.Counted):
            return [api.Send(asked[-1], "s1", 5.0)]
        return forward(event)

    asked = list[int]()

    async def main() -> None:
        server, counter, script = Server(), Server(), Script(counting)
        client = CounterClient(*split_address(counter.dial), 5.0)
        client.start()
        async with Limiter(script, {"s1": server.dial}, counter=client) as limiter:
            line = await counter.accept()
            await warm(limiter, server)
            peer = Peer(limiter)
            peer.send(ask(X_Retried="1"))
            assert b"tally 7" in await asyncio.get_running_loop().sock_recv(line, 100)
            in_order(client_first, lambda: leaves(peer), lambda: line.send(b"ok 1\r\n"))
            await gone(limiter, script)
            await script.until(api.Counted)
            assert unsent(limiter, server), "it was sent on"
            client.close()
        server.close()
        counter.close()

    run(main())


@LEAVES
def test_a_dial_that_comes_up_just_before_its_client_leaves_carries_nothing(
    leaves: Ends, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The other order: ``test_nothing_is_sent_for_a_client_that_left_while_its_dial_waited``."""

    async def main() -> None:
        server, script = Server(), Script(forward)
        async with Limiter(script, {"s1": server.dial}) as limiter:
            peer = Peer(limiter)
            made = _Connection.connection_made

            def up(connection: _Connection, transport: asyncio.BaseTransport) -> None:
                made(connection, transport)
                asyncio.get_running_loop().call_soon(leaves, peer)

            monkeypatch.setattr(_Connection, "connection_made", up)
            peer.send(ask())
            await server.accept()
            await gone(limiter, script)
            assert unsent(limiter, server), "it was sent on"
            assert len(limiter.upstream._servers["s1"].idle) == 1, "the connection is kept"
        server.close()

    run(main())


@LEAVES
def test_the_last_bytes_of_an_upload_are_not_passed_on_behind_its_clients_end(leaves: Ends) -> None:
    """An attempt counts from its last byte."""

    async def main() -> None:
        server, script = Server(), Script(forward)
        async with Limiter(script, {"s1": server.dial}) as limiter:
            peer, size = Peer(limiter), 100_000
            request = ask(POST, b"x" * size)
            peer.send(request[:-10])
            sock = await server.accept()
            data = await server.request(sock)
            while len(data.partition(b"\r\n\r\n")[2]) < size - 10:
                data += await asyncio.get_running_loop().sock_recv(sock, 1 << 20)
            peer.send(request[-10:])
            leaves(peer)
            await gone(limiter, script)
            assert not await until_end(sock), "it is whole at the server"
        server.close()

    run(main())


def test_a_client_that_stays_is_served_whatever_lies_unread_behind() -> None:
    """Bytes behind a request are no end of its client: a further attempt is made."""

    async def main() -> None:
        def reply(_n: int) -> bytes:
            """Each request is turned away once."""
            ids = [headers["x-request-id"] for _, headers, _ in origin.seen]
            return OK if ids.count(ids[-1]) > 1 else FULL

        origin, script = Origin(reply), Script(again)
        async with listening(origin.talk) as dial, Limiter(script, {"s1": dial}) as limiter:
            peer = Peer(limiter)
            peer.send(b"".join(ask() for _ in range(MAX_PIPELINED_REQUESTS)))
            await script.until(api.Request, MAX_PIPELINED_REQUESTS)
            peer.send(ask())
            while peer.seen.count(b"hi") < MAX_PIPELINED_REQUESTS + 1:
                peer.seen += await asyncio.get_running_loop().sock_recv(peer.socket, 65536)
            assert len(origin.seen) == 2 * (MAX_PIPELINED_REQUESTS + 1)
            peer.socket.close()

    run(main())


def in_order(first: bool, one: Callable[[], object], other: Callable[[], object]) -> None:
    for happens in (one, other) if first else (other, one):
        happens()


async def first_with_bytes(server: Server) -> socket.socket:
    """The connection on which the server has been asked."""
    while True:
        if ready := select.select(server.taken, [], [], 0)[0]:
            return ready[0]
        await asyncio.sleep(0.001)


async def until_end(sock: socket.socket) -> bytes:
    """All that still comes on a connection, up to its end or for now."""
    data = b""
    try:
        while more := sock.recv(1 << 20):
            data += more
    except (BlockingIOError, ConnectionResetError):
        pass
    return data
