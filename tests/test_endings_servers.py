"""How exchanges with servers end. Each race is forced on loopback sockets, in both orders."""

from __future__ import annotations

import asyncio
import contextlib
import math
import re
import select
import socket
import struct
from collections.abc import Callable, Iterable
from dataclasses import replace
from typing import Any

import pytest
import uvloop
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from cypresspulley import interface as api
from cypresspulley.interface import Status
from cypresspulley.net import upstream as net_upstream
from cypresspulley.net.counter import CounterClient
from cypresspulley.net.discovery import Listing
from cypresspulley.net.frontend import Frontend
from cypresspulley.net.http import split_address
from cypresspulley.net.node import Node, UnixClock
from cypresspulley.net.relay import MAX_REPLAYABLE_BYTES, Download, Relay, Upload
from cypresspulley.net.upstream import Exchange, Upstream
from cypresspulley.policy.gateway import Gateway
from cypresspulley.rehearsal.virtual.loop import VirtualLoop, run_virtual
from tests.loopback import OK, SETTINGS, ask, listing, read_message, run

HEAD = b"GET /lookup HTTP/1.1\r\nHost: x\r\n"
# The response is delimited by the end of the connection.
UNSIZED_RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"


class Peer:
    """A server that is controlled by the test, which accepts, reads and writes on its sockets."""

    def __init__(self, backlog: int = 16) -> None:
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(backlog)
        self.listener.setblocking(False)
        self.dial = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.taken = list[socket.socket]()
        self.held = list[socket.socket]()

    def fill(self) -> None:
        """Fill the backlog: a dial from now on waits until ``admit``, and then for the next SYN (1 s)."""
        self.listener.listen(0)
        while True:
            client = socket.socket()
            client.setblocking(False)
            client.connect_ex(self.listener.getsockname())
            if not select.select([], [client], [], 0.1)[1]:
                return client.close()
            self.held.append(client)

    async def admit(self) -> None:
        """Empty the backlog, so that waiting dials complete."""
        for _ in self.held:
            (await self.accept()).close()
        self.listener.listen(16)

    async def accept(self) -> socket.socket:
        sock, _ = await asyncio.get_running_loop().sock_accept(self.listener)
        sock.setblocking(False)
        self.taken.append(sock)
        return sock

    async def request(self) -> tuple[socket.socket, bytes]:
        """Accept a connection; return it and the request head that arrives on it."""
        sock = await self.accept()
        return sock, await read_head(sock)

    def close(self) -> None:
        for sock in (self.listener, *self.taken, *self.held):
            sock.close()


async def read_head(sock: socket.socket) -> bytes:
    data = b""
    while b"\r\n\r\n" not in data:
        more = await asyncio.get_running_loop().sock_recv(sock, 65536)
        assert more, "the connection ended"
        data += more
    return data


async def end_of(sock: socket.socket) -> str:
    """Discard what the limiter sends until it ends a connection; return how it did."""
    try:
        while await asyncio.get_running_loop().sock_recv(sock, 65536):
            pass
    except ConnectionResetError:
        return "RST"
    return "FIN"


def reset(sock: socket.socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


class Pool:
    """An ``Upstream`` that knows the peer as ``s1``, and exchanges that can be awaited."""

    def __init__(self, peer: Peer, dial_timeout: float = 10.0, max_connections: int = 64) -> None:
        self.clock = UnixClock()
        self.upstream = Upstream(self.clock, dial_timeout, 1000.0, max_connections)
        self.upstream.update_server("s1", peer.dial, True)
        self.streamed = bytearray()  # what the client received of a streamed response
        self.streaming_started = asyncio.Event()

    def start(
        self, timeout: float = 15.0, flows: bool = False, server: str = "s1", **more: Any
    ) -> tuple[Exchange, asyncio.Future[Exchange]]:
        ended = asyncio.get_running_loop().create_future()
        exchange = Exchange(server, HEAD, b"", self.clock() + timeout, ended.set_result, **more)
        if flows:
            exchange.on_download = self._on_download
        self.upstream.start(exchange)
        return exchange, ended

    def _on_download(self, _exchange: Exchange, download: Download) -> None:
        def write(data: bytes) -> None:
            self.streamed.extend(data)
            self.streaming_started.set()

        download.start(write, chunked=False)
        self.streaming_started.set()

    @property
    def server(self) -> Any:
        return self.upstream._servers["s1"]

    async def at_rest(self) -> None:
        """Wait until no connection and no dial is open. This does not return if something is leaked."""
        while self.upstream._open_connections or self.upstream._dial_tasks:
            await asyncio.sleep(0.001)
        assert not self.upstream.streaming_connections and self.upstream.relay.active == 0
        assert all(s.open_connections == 0 and not s.idle for s in self.upstream._servers.values())


# A response without a length is delimited by the end of its connection, and only a received EOF counts as that.


@pytest.mark.parametrize("flows", [False, True], ids=["held", "flowing"])
@pytest.mark.parametrize("end", ["FIN", "RST behind the last byte", "RST before it", "nothing"])
def test_only_a_received_end_of_file_ends_an_answer_without_a_length(flows: bool, end: str) -> None:
    async def main() -> None:
        peer = Peer()
        pool = Pool(peer)
        exchange, ended = pool.start(flows=flows)
        sock, _ = await peer.request()
        sock.send(UNSIZED_RESPONSE_HEAD + (b"hel" if end == "RST before it" else b"hello"))
        if flows:
            await pool.streaming_started.wait()
        if end == "FIN":
            sock.close()
        elif end == "nothing":
            while not exchange.connection or not exchange.connection._received_bytes:
                await asyncio.sleep(0.001)
            pool.upstream.cancel(exchange)
        else:
            reset(sock)
        done = await ended
        assert done.status is {"FIN": Status.OK, "nothing": Status.CANCELLED}.get(end, Status.BROKEN)
        if flows:
            assert done.download is not None and done.download.complete is (end == "FIN")
        else:
            assert done.response_body == (b"hello" if end == "FIN" else b"")
        await pool.at_rest()
        pool.upstream.close()
        peer.close()

    run(main())


def test_a_stalled_transfer_without_a_length_is_not_whole(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(net_upstream, "SWEEP_INTERVAL_SECONDS", 0.01)
    monkeypatch.setattr(net_upstream, "SERVER_STALL_SECONDS", 0.05)

    async def main() -> None:
        peer = Peer()
        pool = Pool(peer)
        _, ended = pool.start(flows=True)
        sock, _ = await peer.request()
        sock.send(UNSIZED_RESPONSE_HEAD + b"hello")
        done = await ended
        assert done.status is Status.ERROR and done.download is not None and not done.download.complete
        assert await end_of(sock) in ("FIN", "RST")
        await pool.at_rest()
        pool.upstream.close()
        peer.close()

    run(main())


@pytest.mark.parametrize("end", ["abort", "close"])
def test_our_own_end_of_a_connection_ends_no_answer(end: str) -> None:
    """A transport that this process closes or aborts during an exchange, for whatever reason, is not a received EOF."""

    async def main() -> None:
        peer = Peer()
        pool = Pool(peer)
        exchange, ended = pool.start()
        sock, _ = await peer.request()
        sock.send(UNSIZED_RESPONSE_HEAD + b"hello")
        while not exchange.connection or not exchange.connection._received_bytes:
            await asyncio.sleep(0.001)
        assert exchange.connection.transport is not None
        getattr(exchange.connection.transport, end)()
        assert (await ended).status is Status.BROKEN and exchange.response_body == b""
        await pool.at_rest()
        pool.upstream.close()
        peer.close()

    run(main())


def test_an_early_answer_whose_connection_we_abort_is_none() -> None:
    """A response without a length begins before the upload is complete. Data that arrives after the last byte of the
    upload, while that is still unwritten, makes this process abort the connection."""

    async def main() -> None:
        peer = Peer()
        pool = Pool(peer)
        body = Upload(64_000_000, lambda _held: None, Relay())
        exchange, ended = pool.start(upload=body, response_timeout=15.0)
        sock, _ = await peer.request()
        sock.send(UNSIZED_RESPONSE_HEAD + b"hel")
        while not exchange.connection or not exchange.connection._received_bytes:
            await asyncio.sleep(0.001)
        body.feed(b"x" * 64_000_000)  # more than the kernel buffers, and the peer does not read
        body.finish()
        assert not exchange.written
        sock.send(b"lo")
        assert (await ended).status is Status.DROPPED and exchange.response_body == b""
        await pool.at_rest()
        pool.upstream.close()
        peer.close()

    run(main())


# The first byte of a request is written by its ``latest_start``, or the request is not sent.


def test_a_dial_that_comes_up_behind_the_latest_instant_of_its_send_carries_nothing() -> None:
    async def main() -> None:
        peer = Peer()
        peer.fill()
        pool = Pool(peer)
        exchange, ended = pool.start(latest_start=pool.clock() + 0.2)
        done = await ended
        # It is reported at once, not when the dial ends.
        assert done.status is Status.NOT_SENT and pool.upstream._dial_tasks
        assert exchange.timer is not None and exchange.timer.cancelled()
        await peer.admit()
        sock = await peer.accept()
        while not pool.server.idle:
            await asyncio.sleep(0.001)
        # The connection is kept for the next request, which is the first one that the peer sees.
        again, answered = pool.start()
        assert again.connection is None or len(pool.server.idle) == 0
        if again.connection is None:  # the reuse delay is not over, so it has dialled
            sock, _ = await peer.request()
        else:
            await read_head(sock)
        sock.send(OK)
        assert (await answered).response_body == b"hi"
        pool.upstream.close()
        for each in peer.taken:
            each.close()
        await pool.at_rest()
        peer.close()

    run(main())


def test_a_dial_that_comes_up_before_it_carries_the_request_and_its_answer_may_take_longer() -> None:
    async def main() -> None:
        peer = Peer()
        peer.fill()
        pool = Pool(peer)
        exchange, ended = pool.start(latest_start=pool.clock() + 5.0)
        await peer.admit()
        sock, _ = await peer.request()
        assert exchange.timer is not None
        # The timer is that of the response, no longer that of the send.
        assert exchange.timer.when() > asyncio.get_running_loop().time() + 8.0
        sock.send(OK)
        assert (await ended).status is Status.OK
        pool.upstream.close()
        sock.close()
        await pool.at_rest()
        peer.close()

    run(main())


@pytest.mark.parametrize("kept", [False, True])
def test_a_loop_held_behind_the_latest_instant_writes_nothing(
    kept: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(net_upstream, "REUSE_DELAY_SECONDS", 0.0)

    async def main() -> None:
        peer = Peer()
        pool = Pool(peer)
        if kept:
            _, ended = pool.start()
            sock, _ = await peer.request()
            sock.send(OK)
            await ended
        held = pool.clock() - 0.001 if kept else pool.clock() + 10.0
        exchange, ended = pool.start(latest_start=held)
        if not kept:
            await asyncio.sleep(0)  # the dial task starts
            exchange.latest_start = pool.clock()  # not checked before the dial completes
        assert (await ended).status is Status.NOT_SENT
        if not kept:
            sock = await peer.accept()
        while pool.upstream._dial_tasks:
            await asyncio.sleep(0.001)
        pool.upstream.close()
        assert await asyncio.get_running_loop().sock_recv(sock, 10) == b"", "it received data"
        await pool.at_rest()
        peer.close()

    run(main())


class FullLimiter:
    """A limiter with the real decision module, in this process."""

    def __init__(
        self, dials: dict[str, str], counter: Any = None, dial_timeout: float = 5.0, **more: Any
    ) -> None:
        clock = UnixClock()
        settings = replace(SETTINGS, **more)
        self.upstream = Upstream(clock, dial_timeout, 30.0, 64)
        self.gateway = Gateway(settings, 1, clock())
        self.node = Node(settings, self.gateway, clock, self.upstream, counter)
        self.frontend = Frontend(self.node, settings, max_connections=64)
        self.node.apply_listing(listing(dials))

    async def __aenter__(self) -> FullLimiter:
        self._address = await self.frontend.listen("127.0.0.1", 0)
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.frontend.close(0.1)
        self.upstream.close()

    async def ask(self, request: bytes) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        reader, writer = await asyncio.open_connection(*self._address)
        writer.write(request)
        return reader, writer

    def at_rest(self) -> None:
        assert not self.node.open_requests and not self.gateway._requests
        assert all(a.open_attempts == 0 for a in self.gateway.quotas.accounts.values())
        assert all(s.outstanding_work == 0.0 for s in self.gateway.load_balancer.servers.values())


def test_a_slow_dial_does_not_carry_a_keyed_repeat_past_its_window() -> None:
    keyed = api.RequestClass("entry", 3.0, 1.0, api.Effect.KEYED, window=0.5)

    async def main() -> None:
        first, second = Peer(), Peer()
        second.fill()
        async with FullLimiter({"s1": first.dial}, classes=(keyed,)) as limiter:
            asked = ask("/entry?account=00000000b4d65521", b"x", ttl=3000, Idempotency_Key="k1")
            reader, writer = await limiter.ask(asked)
            sock, _ = await first.request()
            limiter.node.apply_listing(listing({"s1": first.dial, "s2": second.dial}))
            reset(sock)
            while (
                len(limiter.upstream._dial_tasks) != 1
                or limiter.upstream._servers["s2"].open_connections != 1
            ):
                await asyncio.sleep(0.001)
            await asyncio.sleep(0.5)  # until the window has ended
            await second.admit()
            late = await second.accept()
            while limiter.upstream._dial_tasks:
                await asyncio.sleep(0.001)
            limiter.node.apply_listing(listing({}))  # closes the connection that the dial made
            assert await asyncio.get_running_loop().sock_recv(late, 10) == b"", "it was sent after its window"
            assert " 429 " in (await read_message(reader))[0]
            limiter.at_rest()
            writer.close()
        first.close()
        second.close()

    run(main())


def test_a_keyed_repeat_whose_window_ends_is_answered_then_and_not_when_its_dial_is_over() -> None:
    keyed = api.RequestClass("entry", 15.0, 1.0, api.Effect.KEYED, window=0.5)

    async def main() -> None:
        first, second = Peer(), Peer()
        second.fill()
        async with FullLimiter({"s1": first.dial}, dial_timeout=15.0, classes=(keyed,)) as limiter:
            asked = ask("/entry?account=00000000b4d65521", b"x", ttl=15000, Idempotency_Key="k1")
            reader, writer = await limiter.ask(asked)
            sock, _ = await first.request()
            limiter.node.apply_listing(listing({"s1": first.dial, "s2": second.dial}))
            (opened,) = limiter.node._open_requests.values()
            reset(sock)
            status, _, _ = await read_message(reader)
            assert " 429 " in status and limiter.upstream._dial_tasks
            assert UnixClock()() < opened.deadline - 5.0
            limiter.at_rest()
            writer.close()
        first.close()
        second.close()

    run(main())


# A server that drains, is gone, is banned, has moved or has restarted.

ELSEWHERE = "127.0.0.1:1"
REMOVALS: dict[str, Callable[[Upstream, str], None]] = {
    "drains": lambda u, dial: u.update_server("s1", dial, False, 5.0),
    "gone": lambda u, _dial: u.update_server("s1", "", False),
    "off the list": lambda u, _dial: u.retain_servers({"s2"}),
    "banned": lambda u, _dial: u.set_banned("s1", True),
    "moved": lambda u, _dial: u.update_server("s1", ELSEWHERE, True, 5.0),
    "restarted": lambda u, dial: u.update_server("s1", dial, True, 9.0),
}


@pytest.mark.parametrize("tell", REMOVALS.values(), ids=REMOVALS)
def test_what_waits_for_a_dial_to_a_server_that_leaves_ends_at_once_and_unsent(
    tell: Callable[[Upstream, str], None],
) -> None:
    async def main() -> None:
        peer = Peer()
        peer.fill()
        pool = Pool(peer)
        pool.upstream.update_server("s1", peer.dial, True, 5.0)
        exchange, ended = pool.start()
        for _ in range(3):  # until the dial is in progress
            await asyncio.sleep(0)
        tell(pool.upstream, peer.dial)
        assert ended.done() and exchange.status is Status.NOT_SENT and pool.upstream._dial_tasks
        assert exchange.timer is not None and exchange.timer.cancelled()
        await peer.admit()
        sock = await peer.accept()
        assert await asyncio.get_running_loop().sock_recv(sock, 10) == b"", (
            "it received data, or the connection is kept"
        )
        await pool.at_rest()
        pool.upstream.close()
        peer.close()

    run(main())


@pytest.mark.parametrize("tell", REMOVALS.values(), ids=REMOVALS)
def test_a_kept_connection_to_a_server_that_leaves_is_closed(tell: Callable[[Upstream, str], None]) -> None:
    async def main() -> None:
        peer = Peer()
        pool = Pool(peer)
        pool.upstream.update_server("s1", peer.dial, True, 5.0)
        _, ended = pool.start()
        sock, _ = await peer.request()
        sock.send(OK)
        await ended
        assert len(pool.server.idle) == 1
        pool.upstream.update_server("s1", peer.dial, True, 5.0)  # an unchanged entry has no effect
        assert len(pool.server.idle) == 1
        tell(pool.upstream, peer.dial)
        assert await asyncio.get_running_loop().sock_recv(sock, 10) == b""
        await pool.at_rest()
        pool.upstream.close()
        peer.close()

    run(main())


@pytest.mark.parametrize("tell", REMOVALS.values(), ids=REMOVALS)
def test_a_request_that_is_out_at_a_server_that_leaves_is_answered_and_its_connection_not_kept(
    tell: Callable[[Upstream, str], None],
) -> None:
    async def main() -> None:
        peer = Peer()
        pool = Pool(peer)
        pool.upstream.update_server("s1", peer.dial, True, 5.0)
        _, ended = pool.start()
        sock, _ = await peer.request()
        tell(pool.upstream, peer.dial)
        sock.send(OK)
        assert (await ended).response_body == b"hi"
        assert await asyncio.get_running_loop().sock_recv(sock, 10) == b"", "the connection is kept"
        await pool.at_rest()
        pool.upstream.close()
        peer.close()

    run(main())


@pytest.mark.parametrize("tell", REMOVALS.values(), ids=REMOVALS)
def test_a_request_whose_first_bytes_have_left_goes_on_when_its_server_leaves(
    tell: Callable[[Upstream, str], None],
) -> None:
    """A request counts as sent before a drain once its first byte has been sent."""

    async def main() -> None:
        peer = Peer()
        pool = Pool(peer)
        pool.upstream.update_server("s1", peer.dial, True, 5.0)
        body = Upload(200_000, lambda _held: None, Relay())
        _, ended = pool.start(upload=body, response_timeout=15.0)
        sock, _ = await peer.request()
        body.feed(b"a" * 100_000)
        tell(pool.upstream, peer.dial)
        body.feed(b"b" * 100_000)
        body.finish()
        got = b""
        while len(got) < 200_000:
            got += await asyncio.get_running_loop().sock_recv(sock, 65536)
        assert got == b"a" * 100_000 + b"b" * 100_000
        sock.send(OK)
        assert (await ended).response_body == b"hi"
        pool.upstream.close()
        await pool.at_rest()
        peer.close()

    run(main())


def test_what_ends_before_its_dial_has_begun_dials_nobody() -> None:
    async def main() -> None:
        peer = Peer()
        pool = Pool(peer)
        exchange, _ = pool.start()
        pool.upstream.cancel(exchange)
        assert exchange.status is Status.CANCELLED
        await pool.at_rest()
        with pytest.raises(BlockingIOError):
            peer.listener.accept()
        pool.upstream.close()
        peer.close()

    run(main())


def test_a_request_that_waits_for_a_dial_to_a_server_that_drains_is_served_elsewhere_in_time() -> None:
    """The decision module handles the complete list before the outcomes of the attempts that it ended. Otherwise the
    second and last attempt of this request would go to another server that drains."""

    async def main() -> None:
        peers = [Peer() for _ in range(6)]
        peers[0].fill()
        dials = {f"s{n}": peer.dial for n, peer in enumerate(peers)}
        slow = api.RequestClass("lookup", 15.0, 1.0, api.Effect.SAFE)
        async with FullLimiter({"s0": dials["s0"]}, dial_timeout=15.0, classes=(slow,)) as limiter:
            reader, writer = await limiter.ask(ask(ttl=15000))
            while not limiter.upstream._dial_tasks:
                await asyncio.sleep(0.001)
            limiter.node.apply_listing(listing({name: dials[name] for name in list(dials)[:5]}))
            told = tuple(
                api.ServerEntry(name, api.Health.UP if name == "s5" else api.Health.DRAINING, "a")
                for name in dials
            )
            limiter.node.apply_listing(Listing(2, api.ServerList(told, False), dials))
            sock, _ = await peers[5].request()
            (opened,) = limiter.node._open_requests.values()
            assert UnixClock()() < opened.deadline - 6.0, "it waited for the dial"
            sock.send(OK)
            assert (await read_message(reader))[2] == b"hi"
            await peers[0].admit()
            late = await peers[0].accept()
            assert await asyncio.get_running_loop().sock_recv(late, 10) == b"", (
                "it received data, or the connection is kept"
            )
            limiter.at_rest()
            writer.close()
        for peer in peers:
            peer.close()

    run(main())


# A client that disconnects while its request waits.


@pytest.mark.parametrize("first", ["client", "dial"])
def test_nothing_is_sent_for_a_client_that_left_while_its_dial_waited(first: str) -> None:
    """The dial may complete before or after the client disconnects. A connection without a request is kept and
    serves the next one."""

    async def main() -> None:
        peer = Peer()
        peer.fill()
        async with FullLimiter({"s1": peer.dial}) as limiter:
            _, writer = await limiter.ask(ask())
            while not limiter.upstream._dial_tasks:
                await asyncio.sleep(0.001)
            if first == "client":
                writer.close()
                while limiter.node.open_requests:
                    await asyncio.sleep(0.001)
                limiter.at_rest()
                assert limiter.upstream._dial_tasks, "the dial is not over"
            await peer.admit()
            sock = await peer.accept()
            if first == "dial":  # the request has been sent, so the disconnect closes its connection
                await read_head(sock)
                writer.close()
                assert await end_of(sock) in ("FIN", "RST")
                while limiter.node.open_requests:
                    await asyncio.sleep(0.001)
            else:
                (server,) = limiter.upstream._servers.values()
                while not server.idle:
                    await asyncio.sleep(0.001)
                assert server.open_connections == 1 and not server.waiting_for_dial
                server.idle[0].idle_since = 0.0  # the reuse delay is over, however busy the machine is
                limiter.upstream._idle_timeout = math.inf
                reader, writer = await limiter.ask(ask())
                head = await read_head(sock)
                assert head.count(b"HTTP/1.1") == 1, "it carries one request, the second"
                sock.send(OK)
                assert (await read_message(reader))[2] == b"hi"
                writer.close()
            limiter.at_rest()
        peer.close()

    run(main())


# Responses that never end, and data that is not a valid response.


@pytest.mark.parametrize(
    "head",
    [
        b"HTTP/1.1 500 Error\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n",
        b"HTTP/1.1 503 Full\r\nConnection: close\r\n\r\nno",
        b"HTTP/1.1 404 Not Found\r\nTransfer-Encoding: chunked\r\nX-A: 1\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-A: 1\r\nX-",
        b"HTTP/1.1 103 Hints\r\nTransfer-Encoding: chunked\r\nX-A: 1\r\n",
    ],
    ids=["500 in chunks", "503 to the end", "404, half a head", "200, half a head", "103, half a head"],
)
def test_only_a_good_answer_flows(head: bytes, monkeypatch: pytest.MonkeyPatch) -> None:
    """A response that takes longer than it is buffered is streamed only if its status is 200."""
    monkeypatch.setattr(net_upstream, "UNSIZED_RESPONSE_HOLD_SECONDS", 0.01)
    monkeypatch.setattr(net_upstream, "RESPONSE_PROGRESS_TIMEOUT_SECONDS", 0.05)

    async def main() -> None:
        peer = Peer()
        pool = Pool(peer)
        _, ended = pool.start(flows=True)
        sock, _ = await peer.request()
        sock.send(head)
        done = await ended
        assert done.status is Status.ERROR and done.download is None and not pool.streamed
        assert await end_of(sock) in ("FIN", "RST")
        await pool.at_rest()
        pool.upstream.close()
        peer.close()

    run(main())


@pytest.mark.parametrize("status", ["500 Error", "404 Not Found"])
def test_an_answer_that_is_no_good_one_is_read_to_its_end(
    status: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(net_upstream, "UNSIZED_RESPONSE_HOLD_SECONDS", 0.01)

    async def main() -> None:
        peer = Peer()
        pool = Pool(peer)
        exchange, ended = pool.start(flows=True)
        sock, _ = await peer.request()
        sock.send(f"HTTP/1.1 {status}\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n".encode())
        while not exchange.connection or exchange.connection._progress_timer is None:
            await asyncio.sleep(0.001)
        await asyncio.sleep(0.02)  # the time for which a response with status 200 would be buffered
        sock.send(b"0\r\n\r\n")
        done = await ended
        assert done.status is (Status.ERROR if status[0] == "5" else Status.REJECTED)
        assert done.response_body == b"no" and done.download is None and not pool.streamed
        pool.upstream.close()
        await pool.at_rest()
        peer.close()

    run(main())


SECOND_RESPONSE = OK.replace(b"hi", b"no")


@pytest.mark.parametrize("when", ["unread when it is taken", "read while it rests", "in the same piece"])
def test_a_second_copy_of_an_answer_meets_no_other_request(
    when: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """An event loop that is blocked between a response and the next request checks for data that arrived meanwhile."""

    async def main() -> None:
        peer = Peer()
        pool = Pool(peer)
        _, ended = pool.start()
        sock, _ = await peer.request()
        sock.send(OK + SECOND_RESPONSE if when == "in the same piece" else OK)
        await ended
        for connection in pool.server.idle:
            connection.idle_since -= 1.0  # the reuse delay is over
        if when != "in the same piece":
            sock.send(SECOND_RESPONSE)
        if when == "read while it rests":
            while pool.server.open_connections:
                await asyncio.sleep(0.001)
        _, ended = pool.start()
        fresh, _ = await peer.request()  # on a new connection
        fresh.send(OK)
        assert (await ended).response_body == b"hi"
        assert await end_of(sock) in ("FIN", "RST")
        pool.upstream.close()
        fresh.close()
        await pool.at_rest()
        peer.close()

    run(main())


@pytest.mark.parametrize("first", [OK, b"noise", b"HTTP/1.1 408 Too Late\r\nContent-Length: 0\r\n\r\n"])
def test_what_a_server_says_before_it_is_asked_answers_nothing(
    first: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The data arrives on a new connection in the loop iteration in which the dial completes."""
    peer = Peer()
    connect = uvloop.Loop.create_connection

    async def up(*where: Any) -> Any:
        made = await connect(*where)
        sock, _ = peer.listener.accept()  # the peer goes on while the event loop is blocked
        peer.taken.append(sock)
        sock.send(first)
        return made

    monkeypatch.setattr(uvloop.Loop, "create_connection", up)

    async def main() -> None:
        pool = Pool(peer)
        _, ended = pool.start()
        done = await ended
        assert done.status is Status.DROPPED and done.response_body == b""
        sock = peer.taken[0]
        sock.setblocking(False)
        with contextlib.suppress(ConnectionResetError):
            assert await asyncio.get_running_loop().sock_recv(sock, 10) == b"", "it received a request"
        await pool.at_rest()
        pool.upstream.close()
        peer.close()

    run(main())


def test_an_answer_to_a_request_that_is_not_out_whole_is_none_also_on_a_kept_connection() -> None:
    """A late copy of a response arrives while the next request is still being written: that request never ran."""

    async def main() -> None:
        peer = Peer()
        pool = Pool(peer)
        _, ended = pool.start()
        sock, _ = await peer.request()
        sock.send(OK)
        await ended
        for connection in pool.server.idle:
            connection.idle_since -= 1.0
        exchange = Exchange("s1", HEAD, b"x" * 32_000_000, pool.clock() + 15.0, lambda _done: None)
        pool.upstream.start(exchange)
        assert exchange.connection is not None and not exchange.written
        sock.send(SECOND_RESPONSE)
        while not exchange.ended:
            await asyncio.sleep(0.001)
        assert exchange.status is Status.DROPPED and exchange.response_body == b""
        await pool.at_rest()
        pool.upstream.close()
        peer.close()

    run(main())


def test_interim_answers_for_ever_are_no_answer_and_end_with_the_time() -> None:
    async def main() -> None:
        peer = Peer()
        pool = Pool(peer)
        _, ended = pool.start(timeout=0.2, flows=True)
        sock, _ = await peer.request()

        async def talk() -> None:
            while True:
                sock.send(b"HTTP/1.1 100 Continue\r\n\r\n")
                await asyncio.sleep(0.001)

        talking = asyncio.create_task(talk())
        done = await ended
        talking.cancel()
        assert done.status in (Status.TIMEOUT, Status.ERROR) and done.download is None
        assert await end_of(sock) in ("FIN", "RST")
        await pool.at_rest()
        pool.upstream.close()
        peer.close()

    run(main())


@pytest.mark.parametrize("flows", [False, True], ids=["held", "flowing"])
def test_half_an_answer_and_then_nothing_is_left(flows: bool, monkeypatch: pytest.MonkeyPatch) -> None:
    for name, value in (
        ("RESPONSE_PROGRESS_TIMEOUT_SECONDS", 0.02),
        ("UNSIZED_RESPONSE_HOLD_SECONDS", 0.02),
        ("SWEEP_INTERVAL_SECONDS", 0.02),
        ("SERVER_STALL_SECONDS", 0.05),
    ):
        monkeypatch.setattr(net_upstream, name, value)

    async def main() -> None:
        peer = Peer()
        pool = Pool(peer)
        _, ended = pool.start(flows=flows)
        sock, _ = await peer.request()
        sock.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhal")
        done = await ended
        assert done.status is Status.ERROR and (done.download is not None) is flows
        assert done.download is None or not done.download.complete
        assert await end_of(sock) in ("FIN", "RST")
        await pool.at_rest()
        pool.upstream.close()
        peer.close()

    run(main())


@pytest.mark.parametrize("answer", ["500", "413", "200"])
def test_an_early_answer_to_an_upload_leaves_no_connection_that_waits_to_be_read(answer: str) -> None:
    """The server responds before the upload is complete and reads no more of it, so that the unwritten rest can never
    be sent."""

    async def main() -> None:
        peer = Peer()
        pool = Pool(peer)
        body = Upload(64_000_000, lambda _held: None, Relay())
        exchange, ended = pool.start(upload=body, response_timeout=15.0)
        sock, _ = await peer.request()
        body.feed(b"x" * 32_000_000)
        assert exchange.connection is not None and exchange.connection.has_unwritten_data
        sock.send(f"HTTP/1.1 {answer} X\r\nContent-Length: 2\r\n\r\nhi".encode())
        assert (await ended).response_body == b"hi"
        await pool.at_rest()
        body.feed(b"x" * 32_000_000)  # is discarded
        body.finish()
        pool.upstream.close()
        peer.close()

    run(main())


# The process exits.


def test_a_process_that_ends_leaves_no_dial_and_no_kept_connection(monkeypatch: pytest.MonkeyPatch) -> None:
    """One dial does not complete; another has just completed, but its request has not been written yet."""
    made = net_upstream._Connection.connection_made

    async def main() -> None:
        peer, late = Peer(), Peer()
        late.fill()
        pool = Pool(peer)
        pool.upstream.update_server("s2", late.dial, True)
        _, ended = pool.start()
        kept, _ = await peer.request()
        kept.send(OK)
        await ended

        def up(connection: Any, transport: Any) -> None:
            made(connection, transport)
            pool.upstream.close()

        monkeypatch.setattr(net_upstream._Connection, "connection_made", up)
        waiting, _ = pool.start(server="s2")
        begun, _ = pool.start()
        sock = await peer.accept()
        while pool.upstream._dial_tasks:
            await asyncio.sleep(0.001)
        assert await end_of(kept) == "FIN" and not waiting.written and not begun.written
        assert await asyncio.get_running_loop().sock_recv(sock, 10) == b"", "it received data"
        peer.close()
        late.close()

    run(main())


@pytest.mark.parametrize("side", ["server", "counter"])
def test_small_writes_are_not_held_back(side: str) -> None:
    """TCP_NODELAY is set on connections to servers and to the counter; uvloop does so on each connection it makes."""

    async def main() -> None:
        peer = Peer()
        if side == "server":
            pool = Pool(peer)
            exchange, _ = pool.start()
            await peer.request()
            assert exchange.connection is not None and exchange.connection.transport is not None
            transport: Any = exchange.connection.transport
            close: Callable[[], None] = pool.upstream.close
        else:
            host, port = peer.dial.split(":")
            client = CounterClient(host, int(port), 1.0)
            client.start()
            await peer.accept()
            while client._connection is None:
                await asyncio.sleep(0.001)
            transport, close = client._connection._transport, client.close
        sock = transport.get_extra_info("socket")
        assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
        transport.abort()
        close()
        peer.close()

    run(main())


# All of these events in random order, on an event loop in virtual time.

ANSWERS: tuple[Callable[[Any], None], ...] = (
    lambda t: t.write(OK),
    lambda t: t.write(OK),
    lambda t: t.write(b"HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n"),
    lambda t: t.write(b"HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"),
    lambda t: t.write(OK + SECOND_RESPONSE),
    lambda t: t.write(b"what is this\r\n\r\n"),
    lambda t: t.write(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhal"),
    lambda t: t.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n"),
    lambda t: t.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"),
    lambda t: end_with(t, b"hi", t.close),
    lambda t: end_with(t, b"h", lambda: reset_of(t)),
    lambda t: reset_of(t),
    lambda t: t.close(),
)
NOT_RUN = 3  # index of the answer that proves that the request did not run


def end_with(transport: Any, body: bytes, end: Callable[[], None]) -> None:
    transport.write(UNSIZED_RESPONSE_HEAD + body)
    end()


def reset_of(transport: Any) -> None:
    transport.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )
    transport.abort()


class ServerProtocol(asyncio.Protocol):
    """A server's connection: complete requests wait until ``Play`` responds to them."""

    def __init__(self, play: Play) -> None:
        self.play, self.data = play, b""

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.data += data
        head, found, body = self.data.partition(b"\r\n\r\n")
        length = re.search(rb"content-length: (\d+)", head.lower())
        if found and len(body) >= int(length[1] if length else 0):
            self.data = b""
            id = re.search(rb"x-request-id: (\w+)", head.lower())
            assert id is not None
            self.play.came(id[1].decode(), self.transport)


class CounterProtocol(asyncio.Protocol):
    """A counter's connection: lines wait until ``Play`` answers them."""

    def __init__(self, play: Play) -> None:
        self.play, self.data = play, b""

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        *lines, self.data = (self.data + data).split(b"\r\n")
        self.play.lines += [(line, self.transport) for line in lines]


class Play:
    """One limiter with scripted clients, servers and a scripted counter."""

    def __init__(self, loop: Any, config: api.Settings) -> None:
        self.loop, self.config = loop, config
        self.asked = list[tuple[str, Any]]()  # complete at a server, without a response
        # By request id: when each attempt had arrived completely, and whether it certainly did not run.
        self.seen = dict[str, list[tuple[float, bool]]]()
        self.lines, self.totals = list[tuple[bytes, Any]](), dict[bytes, float]()
        self.clients = list[dict[str, Any]]()
        self.late = 0.0  # seconds by which dials to servers are delayed; they never complete if negative
        self.born = 0.0
        clock = loop.time
        self.upstream = Upstream(clock, 2.0, 30.0, 64)
        self.counter = CounterClient("10.0.9.9", 9000, config.counter_timeout)
        self.gateway = Gateway(config, 5, clock())
        self.node = Node(config, self.gateway, clock, self.upstream, self.counter)
        self.frontend = Frontend(self.node, config, max_connections=64)
        self.dials = {f"s{n}": f"10.0.1.{n}:80" for n in range(4)}

    async def open(self) -> None:
        connect = self.loop.network.connect

        async def dial(factory: Any, host: str, port: int, source: str = "127.0.0.1") -> Any:
            if host.startswith("10.0.1."):
                await (asyncio.sleep(self.late) if self.late >= 0 else self.loop.create_future())
            return await connect(factory, host, port, source)

        self.loop.network.connect = dial
        for address in self.dials.values():
            await self.loop.create_server(lambda: ServerProtocol(self), *split_address(address))
        await self.loop.create_server(lambda: CounterProtocol(self), "10.0.9.9", 9000)
        self.counter.start()
        self.address = await self.frontend.listen("10.0.0.1", 80)
        self.tell(api.Health.UP, range(4), True)

    def tell(self, health: api.Health, which: Iterable[int], whole: bool) -> None:
        names = [f"s{n}" for n in which]
        entries = tuple(api.ServerEntry(name, health, "a", 0, 1.0, self.born) for name in names)
        self.node.apply_listing(
            Listing(1, api.ServerList(entries, whole), {name: self.dials[name] for name in names})
        )

    def came(self, id: str, transport: Any) -> None:
        self.seen.setdefault(id, []).append((self.loop.time(), False))
        self.asked.append((id, transport))

    # Steps, called by name.

    def client_comes(self, a: int, b: int) -> None:
        kind = ("lookup", "entry", "post")[a % 3]
        more = {"Idempotency_Key": f"k{len(self.clients)}"} if kind == "entry" else {}
        body = b"" if kind == "lookup" else b"x" * (10, 70_000)[b % 5 == 0]
        plan, ttl = ("free", "slots", "thin")[b % 3], (200, 1000, 3000)[a % 7 % 3]
        text = ask(f"/{kind}?account=00000000b4d6552{b % 2}", body, ttl, X_Plan=plan, **more)
        id = re.search(rb"X-Request-ID: (\w+)", text)
        assert id is not None
        client = {"id": id[1].decode(), "kind": kind, "got": b"", "over": math.inf, "left": False}
        client["task"] = self.loop.create_task(self.talk(client, text, b % 11 == 0))
        self.clients.append(client)

    async def talk(self, client: dict[str, Any], text: bytes, slowly: bool) -> None:
        reader, client["writer"] = await asyncio.open_connection(*self.address)
        half = len(text) // 2 if slowly else len(text)
        client["writer"].write(text[:half])
        if slowly:
            await asyncio.sleep(0.3)
            client["writer"].write(text[half:])
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                client["got"] += data
                client["over"] = min(client["over"], self.loop.time())

    def client_leaves(self, a: int, b: int) -> None:
        waiting = [c for c in self.clients if "writer" in c and not c["got"] and not c["left"]]
        if waiting:
            client = waiting[a % len(waiting)]
            client["left"], client["over"] = True, self.loop.time()
            client["task"].cancel()
            if b % 2:
                reset_of(client["writer"].transport)
            else:
                client["writer"].close()

    def server_answers(self, a: int, b: int) -> None:
        if self.asked:
            id, transport = self.asked.pop(a % len(self.asked))
            if b % len(ANSWERS) == NOT_RUN and not transport.is_closing():
                last = max(n for n, (_, unrun) in enumerate(self.seen[id]) if not unrun)
                self.seen[id][last] = self.seen[id][last][0], True
            if not transport.is_closing():
                ANSWERS[b % len(ANSWERS)](transport)

    def counter_answers(self, a: int, b: int) -> None:
        if self.lines and b % 9 == 0:
            reset_of(self.lines[0][1])
            self.lines = [each for each in self.lines if each[1] is not self.lines[0][1]]
        for line, transport in self.lines[: 1 + a % 5]:
            words = line.split()
            if words[0] == b"ping":
                transport.write(b"pong\r\n")
            elif b % 4 == 1:
                transport.write(b"busy\r\n")
            else:
                self.totals[words[1]] = self.totals.get(words[1], 0.0) + float(words[2])
                transport.write(b"ok %.6f\r\n" % self.totals[words[1]] if b % 13 else b"ok wh")
        del self.lines[: 1 + a % 5]

    def list_changes(self, a: int, b: int) -> None:
        self.born = self.loop.time() if b % 3 == 0 else self.born
        self.tell(tuple(api.Health)[a % 3], [n for n in range(4) if b >> n & 1], b % 5 == 0)

    def operators(self, a: int, b: int) -> None:
        self.node.suspend(f"s{a % 4}", b % 2 == 0)

    def dials_change(self, a: int, _b: int) -> None:
        self.late = (0.0, 0.0, 0.05, 1.5, -1.0)[a % 5]

    def retune(self, a: int, b: int) -> None:
        effects = list(api.Effect)
        classes = tuple(replace(c, effect=effects[(a + n) % 3]) for n, c in enumerate(self.config.classes))
        self.node.retune(replace(self.config, classes=classes, max_attempts=1 + b % 3))

    def counter_moves(self, a: int, _b: int) -> None:
        self.counter.move(("10.0.9.9", "10.0.9.8")[a % 2], 9000)

    # The final state.

    def settled(self) -> None:
        assert not self.node.open_requests and not self.gateway._requests
        for account in self.gateway.quotas.accounts.values():
            assert account.open_attempts == 0 and (account.slots is None or account.slots.open_attempts == 0)
        assert all(
            s.outstanding_work == 0.0 and s.silent_since is None
            for s in self.gateway.load_balancer.servers.values()
        )
        assert (
            not self.upstream._dial_tasks
            and not self.upstream.streaming_connections
            and self.upstream.relay.active == 0
        )
        servers = self.upstream._servers.values()
        assert all(s.open_connections == len(s.idle) and not s.waiting_for_dial for s in servers)
        assert self.upstream._open_connections == sum(s.open_connections for s in servers)
        assert not self.counter._calls_by_name and not self.counter._draining
        for client in self.clients:
            got, id = client["got"], client["id"]
            assert got.count(b"HTTP/1.1 ") == 1 if not client["left"] else not got, f"{id}: {got!r:.200}"
            assert b" 200 " not in got[:15] or b"no" not in got, "it got another request's response"
            came = self.seen.get(id, [])
            assert all(at <= client["over"] + 0.01 for at, _ in came), f"{id} was sent after its end"
            unsafe = self.config.classes[-1].name == client["kind"] and not self.retuned
            assert not unsafe or sum(not unrun for _, unrun in came) <= 1, f"{id} ran twice"

    retuned = False


STEPS = (
    *["client_comes"] * 6, *["server_answers"] * 5, *["counter_answers"] * 4, "client_leaves", "client_leaves",
    "list_changes", "operators", "dials_change", "retune", "counter_moves",
)  # fmt: skip
turns = st.lists(
    st.tuples(
        st.sampled_from(STEPS), st.integers(0, 1000), st.integers(0, 1000), st.sampled_from((0.0, 0.001, 0.05, 0.4))
    ),
    min_size=30, max_size=90,
)  # fmt: skip


@settings(max_examples=60, suppress_health_check=list(HealthCheck))
@given(turns, st.integers(0, 99))
def test_whatever_crosses_each_client_gets_one_answer_and_nothing_is_owed(
    moves: list[tuple[str, int, int, float]], seed: int
) -> None:
    config = replace(
        SETTINGS,
        classes=(
            api.RequestClass("lookup", 1.0, 1.0, api.Effect.SAFE),
            api.RequestClass("entry", 1.0, 1.0, api.Effect.KEYED, window=1.0),
            api.RequestClass("post", 2.0, 5.0, api.Effect.UNSAFE),
        ),
        plans=(
            api.Plan("free"), api.Plan("slots", 1.0, 50.0, 50.0, 3),
            api.Plan("thin", 1.0, 50.0, 50.0, ceiling_rate=6.0, ceiling_burst=12.0),
        ),
        max_attempts=3, has_counter=True, counter_timeout=0.05, max_units=4.0, may_cancel=True,
    )  # fmt: skip

    async def main(loop: VirtualLoop) -> None:
        play = Play(loop, config)
        await play.open()
        for name, a, b, pause in moves:
            play.retuned = play.retuned or name == "retune"
            getattr(play, name)(a, b)
            await asyncio.sleep(pause)
        play.late = 0.0
        for _ in range(70):
            play.counter_answers(4, 2)
            await asyncio.sleep(0.25)
        # A counter call of the last tick gets its answer or, if nothing listens at the counter's address, times out.
        await asyncio.sleep(2 * config.counter_timeout)
        while play.lines:
            play.counter_answers(4, 2)
            await asyncio.sleep(0.01)
        play.settled()
        await play.frontend.close(0.1)
        play.upstream.close()
        play.counter.close()

    run_virtual(main, seed)


def test_an_upload_that_is_whole_before_its_dial_is_up_has_a_time_for_its_answer() -> None:
    """Otherwise the decision module would not be told, and the node would respond 504 for a request that was never
    sent."""

    async def main() -> None:
        peer = Peer()
        peer.fill()
        async with FullLimiter({"s1": peer.dial}, dial_timeout=15.0) as limiter:
            reader, writer = await limiter.ask(b"")
            while not limiter.frontend._clients:
                await asyncio.sleep(0.001)
            (client,) = limiter.frontend._clients  # one read delivers the whole request
            client.data_received(
                ask("/post?account=00000000b4d65521", b"x" * (MAX_REPLAYABLE_BYTES + 2000), ttl=500)
            )
            assert " 429 " in (await read_message(reader))[0] and limiter.upstream._dial_tasks
            limiter.at_rest()
            writer.close()
        peer.close()

    run(main())
