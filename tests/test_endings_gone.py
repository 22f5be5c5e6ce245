"""No attempt begins for a client that has disconnected, whatever its request was waiting for.

The tests put the event that the request waits for and the client's disconnect into the kernel within one iteration of
the loop, as happens while the loop is blocked; the loop then reads them in the order in which they arrived.
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
from tests.test_endings_clients import POST, DisconnectMethod, Peer, until, yield_to_loop

NOT_PROCESSED_RESPONSE = b"HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"
DISCONNECTS = pytest.mark.parametrize("leaves", [Peer.fin, Peer.rst], ids=["fin", "rst"])
BOTH_ORDERS = pytest.mark.parametrize("client_first", [True, False], ids=["end before", "end behind"])


def retry_once(event: api.Event) -> list[api.Action]:
    """Send each request to ``s1``, and once more if the first attempt fails."""
    if isinstance(event, api.Outcome) and not event.finished and event.attempt == 0:
        return [api.Send(event.id, "s1", 5.0)]
    return forward(event)


class Server:
    """A server whose connections a test accepts and reads itself."""

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
        """Return what arrives on a connection up to the end of a request head; it has to arrive whole."""
        data = b""
        while b"\r\n\r\n" not in data:
            part = await asyncio.get_running_loop().sock_recv(sock, 65536)
            assert part, f"the connection ended after {len(data)} bytes, such as by a dial that took too long"
            data += part
        return data

    def close(self) -> None:
        for sock in (self._listener, *self.taken):
            sock.close()


def nothing_sent(limiter: Limiter, server: Server) -> bool:
    """Whether the server has received nothing, neither on its connections nor as a new connection."""
    for sock in server.taken:
        try:
            if sock.recv(1, socket.MSG_PEEK):
                return False
        except (BlockingIOError, ConnectionResetError):
            pass
    return not select.select([server._listener], [], [], 0)[0]


async def open_idle_connections(limiter: Limiter, server: Server, connections: int = 1) -> None:
    """Open ``connections`` idle connections to the server that may be reused at once."""
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
    mark_reusable(limiter)


def mark_reusable(limiter: Limiter) -> None:
    """Make the idle connections old enough for reuse, however slow this machine is."""
    for connection in limiter.upstream._servers["s1"].idle:
        connection.idle_since = limiter.upstream.now() - 1.0


async def wait_until_gone(limiter: Limiter, script: Script, requests: int = 1) -> None:
    """Wait until all clients are gone and check that each request was reported once and none remains."""
    await script.until(api.ClientDisconnected, requests)
    await until(lambda: not limiter.frontend._clients)
    await yield_to_loop(20)
    assert len(await script.until(api.ClientDisconnected)) == requests
    assert not limiter.node.open_requests and not limiter.frontend.open_ids


@DISCONNECTS
@pytest.mark.parametrize("poll", [True, False], ids=["poll", "no poll"])
@pytest.mark.parametrize("new", [False, True], ids=["standing connection", "new connection"])
def test_a_request_that_is_read_behind_its_clients_end_is_not_sent(
    new: bool, poll: bool, leaves: DisconnectMethod, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The request is in the accept queue or unread on a connection, and the limiter reads it before the end of file."""

    async def main() -> None:
        server, script = Server(), Script(forward)
        async with Limiter(script, {"s1": server.dial}) as limiter:
            await open_idle_connections(limiter, server)
            if not poll:
                monkeypatch.setattr("select.poll", unavailable)
            peer = Peer(limiter)
            if not new:
                await until(lambda: limiter.frontend._clients)
            peer.send(ask())
            leaves(peer)
            await wait_until_gone(limiter, script)
            assert nothing_sent(limiter, server), "it was sent on"
            assert limiter.upstream._servers["s1"].idle, "the connection is kept"
        server.close()

    def unavailable() -> None:
        raise OSError(38, "Function not implemented")

    run(main())


@BOTH_ORDERS
@DISCONNECTS
def test_no_further_attempt_follows_a_failure_that_meets_the_clients_end(
    leaves: DisconnectMethod, client_first: bool
) -> None:
    async def main() -> None:
        server, script = Server(), Script(retry_once)
        async with Limiter(script, {"s1": server.dial}) as limiter:
            await open_idle_connections(limiter, server, 2)
            peer = Peer(limiter)
            peer.send(ask())
            await script.until(api.Request, 3)
            used = await connection_with_request(server)
            await server.request(used)
            mark_reusable(limiter)
            run_in_order(client_first, lambda: leaves(peer), lambda: used.send(NOT_PROCESSED_RESPONSE))
            await wait_until_gone(limiter, script)
            assert nothing_sent(limiter, server), "it was sent once more"
        server.close()

    run(main())


@DISCONNECTS
@pytest.mark.parametrize("more", [0, 2], ids=["nothing behind", "unread requests behind"])
def test_no_further_attempt_is_made_for_a_client_that_is_not_read(
    more: int, leaves: DisconnectMethod
) -> None:
    """With a full pipeline the connection is not read, so its end is not seen before the next sweep."""

    async def main() -> None:
        server, script = Server(), Script(retry_once)
        async with Limiter(script, {"s1": server.dial}) as limiter:
            assert limiter.frontend._sweep_at is not None
            limiter.frontend._sweep_at.cancel()
            await open_idle_connections(limiter, server, MAX_PIPELINED_REQUESTS + 1)
            peer = Peer(limiter)
            peer.send(b"".join(ask() for _ in range(MAX_PIPELINED_REQUESTS)))
            await script.until(api.Request, 2 * MAX_PIPELINED_REQUESTS + 1)
            used = await connection_with_request(server)
            await server.request(used)
            await until(lambda: all(each.is_reading_paused for each in limiter.frontend._clients))
            mark_reusable(limiter)
            peer.send(b"".join(ask() for _ in range(more)))
            leaves(peer)
            assert len(limiter.upstream._servers["s1"].idle) == 1
            used.send(NOT_PROCESSED_RESPONSE)
            await wait_until_gone(limiter, script, MAX_PIPELINED_REQUESTS)
            sends = sum(event.attempt for event in await script.until(api.Outcome))
            assert sends == 1, "the decisions wanted a further attempt"
            others = [sock for sock in server.taken if sock is not used]
            received = [await read_available(sock) for sock in others]
            assert sum(head.count(b"HTTP/1.1") for head in received) == MAX_PIPELINED_REQUESTS - 1, (
                "one was sent once more"
            )
        server.close()

    run(main())


@DISCONNECTS
def test_who_leaves_in_an_answer_departs_at_once_with_all_that_waits_behind_it(
    leaves: DisconnectMethod,
) -> None:
    """A useless attempt would use up part of the limit on attempts of other requests."""
    sent = list[int]()

    def always_resend(event: api.Event) -> list[api.Action]:
        if isinstance(event, api.Request) or (
            isinstance(event, api.Outcome) and not event.finished and len(sent) < 9
        ):
            sent.append(event.id)
            return [api.Send(event.id, "s1", 5.0)]
        return []

    async def main() -> None:
        server, script = Server(), Script(always_resend)
        async with Limiter(script, {"s1": server.dial}) as limiter:
            peer = Peer(limiter, receive_buffer=65536)
            peer.send(ask() + ask())
            first, second = await server.accept(), await server.accept()
            for sock in (first, second):
                await server.request(sock)
            first.send(b"HTTP/1.1 200 OK\r\nContent-Length: 12000000\r\n\r\n" + b"x" * 100_000)
            await script.until(api.ResponseStarted)
            await yield_to_loop()
            second.send(NOT_PROCESSED_RESPONSE)
            leaves(peer)
            await wait_until_gone(limiter, script, 2)
            assert sent == [1, 2, 2], "one further attempt was wanted, and it found the client gone"
            peer.socket.close()
        server.close()

    run(main())


@BOTH_ORDERS
@DISCONNECTS
def test_what_waits_for_the_counter_is_not_sent_once_its_client_has_gone(
    leaves: DisconnectMethod, client_first: bool
) -> None:
    def count_repeats(event: api.Event) -> list[api.Action]:
        if isinstance(event, api.Request) and event.repeat:
            asked.append(event.id)
            return [api.Count(7, 1.0, 1.0)]
        if isinstance(event, api.Counted):
            return [api.Send(asked[-1], "s1", 5.0)]
        return forward(event)

    asked = list[int]()

    async def main() -> None:
        server, counter, script = Server(), Server(), Script(count_repeats)
        client = CounterClient(*split_address(counter.dial), 5.0)
        client.start()
        async with Limiter(script, {"s1": server.dial}, counter=client) as limiter:
            counter_socket = await counter.accept()
            await open_idle_connections(limiter, server)
            peer = Peer(limiter)
            peer.send(ask(X_Retried="1"))
            assert b"tally 7" in await asyncio.get_running_loop().sock_recv(counter_socket, 100)
            run_in_order(client_first, lambda: leaves(peer), lambda: counter_socket.send(b"ok 1\r\n"))
            await wait_until_gone(limiter, script)
            await script.until(api.Counted)
            assert nothing_sent(limiter, server), "it was sent on"
            client.close()
        server.close()
        counter.close()

    run(main())


@DISCONNECTS
def test_a_dial_that_comes_up_just_before_its_client_leaves_carries_nothing(
    leaves: DisconnectMethod, monkeypatch: pytest.MonkeyPatch
) -> None:
    """``test_nothing_is_sent_for_a_client_that_left_while_its_dial_waited`` covers the other order."""

    async def main() -> None:
        server, script = Server(), Script(forward)
        async with Limiter(script, {"s1": server.dial}) as limiter:
            peer = Peer(limiter)
            original = _Connection.connection_made

            def disconnecting(connection: _Connection, transport: asyncio.BaseTransport) -> None:
                original(connection, transport)
                asyncio.get_running_loop().call_soon(leaves, peer)

            monkeypatch.setattr(_Connection, "connection_made", disconnecting)
            peer.send(ask())
            await server.accept()
            await wait_until_gone(limiter, script)
            assert nothing_sent(limiter, server), "it was sent on"
            assert len(limiter.upstream._servers["s1"].idle) == 1, "the connection is kept"
        server.close()

    run(main())


@DISCONNECTS
def test_the_last_bytes_of_an_upload_are_not_passed_on_behind_its_clients_end(
    leaves: DisconnectMethod,
) -> None:
    """The attempt begins with the last byte of the upload."""

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
            await wait_until_gone(limiter, script)
            assert not await read_available(sock), "it is whole at the server"
        server.close()

    run(main())


def test_a_client_that_stays_is_served_whatever_lies_unread_behind() -> None:
    """Unread bytes after a request do not mean that the client has gone: a further attempt is made."""

    async def main() -> None:
        def reply(_n: int) -> bytes:
            """Refuse the first attempt of each request."""
            ids = [headers["x-request-id"] for _, headers, _ in origin.seen]
            return OK if ids.count(ids[-1]) > 1 else NOT_PROCESSED_RESPONSE

        origin, script = Origin(reply), Script(retry_once)
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


def run_in_order(first: bool, one: Callable[[], object], other: Callable[[], object]) -> None:
    for happens in (one, other) if first else (other, one):
        happens()


async def connection_with_request(server: Server) -> socket.socket:
    """Return the connection on which the server has received a request."""
    while True:
        if ready := select.select(server.taken, [], [], 0)[0]:
            return ready[0]
        await asyncio.sleep(0.001)


async def read_available(sock: socket.socket) -> bytes:
    """Return all bytes that have arrived on a connection."""
    data = b""
    try:
        while more := sock.recv(1 << 20):
            data += more
    except (BlockingIOError, ConnectionResetError):
        pass
    return data
