"""The end of client connections under SIGTERM and under floods, and TCP_NODELAY on every socket."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import socket
import time
from pathlib import Path

import pytest

from cypresspulley import interface as api
from cypresspulley.net import counter as net_counter
from cypresspulley.net import discovery as net_discovery
from cypresspulley.net import frontend
from cypresspulley.net import upstream as net_upstream
from cypresspulley.net.frontend import LINGER_MAX_BYTES, MAX_PIPELINED_REQUESTS, _ClientConnection
from tests.loopback import Limiter, Origin, Script, ask, forward, listening, read_message, run
from tests.test_endings_clients import (
    Peer,
    fast_sweep,
    no_actions,
    only_client,
    record_connections,
    refuse,
    until,
    yield_to_loop,
)
from tests.test_program import config, started

__all__ = ["fast_sweep"]
POST = "/post?account=00000000b4d65521"


# The phases of a shutdown.


@pytest.mark.usefixtures("fast_sweep")
def test_a_new_connection_that_speaks_too_late_meets_a_tidy_end(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a reset or an attempt for a request that arrives right after the half-close."""
    monkeypatch.setattr(frontend, "DRAIN_IDLE_TIMEOUT", 0.05)

    async def main() -> None:
        script = Script(refuse)
        async with Limiter(script, {}) as limiter:
            peer = Peer(limiter)
            await until(lambda: limiter.frontend._clients)
            half_close = _ClientConnection._half_close

            def racing(client: _ClientConnection) -> None:
                half_close(client)
                peer.send(ask())

            monkeypatch.setattr(_ClientConnection, "_half_close", racing)
            limiter.frontend.drain()
            closing = asyncio.create_task(limiter.frontend.close(10))
            assert await peer.end() == []
            await yield_to_loop(50)
            assert not peer.reset() and not [e for e in script.events if isinstance(e, api.Request)]
            peer.socket.close()
            await closing
            assert not limiter.frontend._clients and limiter.frontend.connections_with_data == 0

    run(main())


@pytest.mark.parametrize("kept", [True, False])
def test_at_the_last_moment_too_the_end_is_there_before_what_crosses_it_is_read(
    kept: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    order, peers = list[bool](), list[Peer]()
    receive = _ClientConnection.data_received

    def received(self: _ClientConnection, data: bytes) -> None:
        if peers:
            order.append(peers[0].heard_end())
        receive(self, data)

    monkeypatch.setattr(_ClientConnection, "data_received", received)
    monkeypatch.setattr(frontend, "DRAIN_IDLE_TIMEOUT", 1e6)

    async def main() -> None:
        script = Script(refuse)
        async with Limiter(script, {}) as limiter:
            peer = Peer(limiter)
            await until(lambda: limiter.frontend._clients)
            limiter.frontend.drain()
            await limiter.frontend.close(0.05)
            client = only_client(limiter)
            if kept:  # a response whose head was sent before the drain began
                limiter.frontend.draining = False
                peer.send(ask())
                await peer.until(b"\r\n\r\n")
                limiter.frontend.draining = True
            assert client._transport is not None
            leave = _ClientConnection.apply_shutdown_action

            def racing(self: _ClientConnection, do: object) -> None:
                peers.append(peer)
                peer.send(ask())
                leave(self, do)  # type: ignore[arg-type]

            monkeypatch.setattr(_ClientConnection, "apply_shutdown_action", racing)
            closing = asyncio.create_task(limiter.frontend.close(10))
            assert await peer.end() == [429] * kept
            await until(lambda: order)
            assert order == [True] and not peer.reset()
            assert len([e for e in script.events if isinstance(e, api.Request)]) == kept
            peer.socket.close()
            await closing

    run(main())


@pytest.mark.parametrize("first", ["rest", "refusal"])
def test_half_a_request_and_the_last_moment_in_both_orders(first: str) -> None:
    async def main() -> None:
        script = Script(refuse)
        async with Limiter(script, {}) as limiter:
            peer, request = Peer(limiter), ask(POST, b"some body")
            peer.send(request[:60])
            await until(lambda: limiter.frontend._clients and only_client(limiter)._receiving)
            limiter.frontend.drain()
            await limiter.frontend.close(0.05)

            async def last() -> None:
                if first == "rest":
                    peer.send(request[60:])  # the loop does not run before the close
                await limiter.frontend.close(10)

            closing = asyncio.create_task(last())
            if first == "refusal":
                await peer.until(b" 503 ")
                peer.send(request[60:])
            assert await peer.end() == [503] and b"Retry-After: 0.500\r\n" in peer.seen
            await yield_to_loop(20)
            assert not peer.reset() and not [e for e in script.events if isinstance(e, api.Request)]
            peer.socket.close()
            await closing

    run(main())


def test_sigterm_twice_with_hanging_servers_and_connections_that_rest(tmp_path: Path) -> None:
    """All requests, with deadlines before and after SIGKILL, are answered before it, and no connection is reset."""

    async def main() -> None:
        origin = Origin(lambda _n: None)
        async with listening(origin.talk) as dial, started(config(dial), tmp_path) as program:
            loop = asyncio.get_running_loop()

            async def connected(data: bytes = b"") -> socket.socket:
                sock = socket.socket()
                sock.setblocking(False)
                host, port = program._listen.split(":")
                await loop.sock_connect(sock, (host, int(port)))
                if data:
                    await loop.sock_sendall(sock, data)
                return sock

            async def ended(sock: socket.socket) -> tuple[list[int], float]:
                """Return the status codes up to an orderly end, and the time of that end."""
                seen = b""
                while data := await loop.sock_recv(sock, 65536):
                    seen += data
                return [int(part.split(b" ")[1]) for part in seen.split(b"HTTP/1.1")[1:]], time.monotonic()

            kept = await connected(b"GET /healthz HTTP/1.1\r\n\r\n")
            assert (await loop.sock_recv(kept, 65536)).startswith(b"HTTP/1.1 200")
            silent_one, half = await connected(), await connected(ask()[:50])
            long, short = await connected(ask(ttl=30_000)), await connected(ask(ttl=800))
            while len(origin.seen) < 2:
                await asyncio.sleep(0.01)
            terminated_at = time.monotonic()
            program.process.send_signal(signal.SIGTERM)
            while b" 200 " in (answer := await _health(program._listen)):
                pass
            assert b" 503 " in answer, "it still accepts connections and reports 503"
            late = await connected(ask(ttl=30_000))
            ends = [asyncio.create_task(ended(s)) for s in (kept, silent_one, half, long, short, late)]
            await ends[0]
            program.process.send_signal(signal.SIGTERM)
            answers = [await end for end in ends]
            assert [codes for codes, _ in answers[:4]] == [[], [], [408], [504]]
            assert answers[4][0] in ([429], [504]) and answers[5][0] == [504]
            assert all(at - terminated_at < 3.6 for _, at in answers), "before SIGKILL"
            assert answers[4][1] - terminated_at < 1.3 and answers[0][1] - terminated_at < 1.0
            assert await program.process.wait() == 0 and time.monotonic() - terminated_at < 3.7
            assert len(origin.seen) == 3, "no request was sent twice"

    run(main())


async def _health(address: str) -> bytes:
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(b"GET /healthz HTTP/1.1\r\n\r\n")
    head = await reader.readuntil(b"\r\n\r\n")
    writer.close()
    return head


# Data that is unread when a timeout expires, and responses that a reset would destroy.


@pytest.mark.parametrize("cut", [20, -5, 70_000])
@pytest.mark.parametrize("first", ["rest", "timer"])
def test_what_lies_unread_is_no_slowness_of_its_client(cut: int, first: str) -> None:
    """Guards against 408 for data already in the socket: after the loop was blocked, timers run before reads.

    The unread data completes a head, a small body or a large one.
    """

    async def main() -> None:
        script = Script(lambda event: refuse(event) if isinstance(event, api.Request) and cut < 100 else [])
        async with Limiter(script, {}) as limiter:
            peer = Peer(limiter)
            request = ask(POST, b"x" * (200_000 if cut > 100 else 100), ttl=60_000)
            peer.send(request[:cut])
            await until(lambda: limiter.frontend._clients and only_client(limiter)._receiving)
            await yield_to_loop(20)
            client = only_client(limiter)
            if cut > 100:
                await until(lambda: client._upload is not None)
                assert client._upload is not None
                client._upload.hold(False)
            client.last_active_at -= 2 * frontend.HEAD_TIMEOUT
            client._progress, client._progress_at = 1 << 20, client._progress_at - 60.0
            if first == "rest":
                peer.send(request[cut:])
            limiter.frontend._sweep()
            if first == "timer":
                assert await peer.end() == [408]
                return
            await script.until(api.Request)
            await yield_to_loop()
            if cut < 100:
                await peer.until(b" 429 ")
            else:
                assert client._upload is None or client._upload.size > 0
                assert client._pending and client._pending[0].response is None
            assert b" 408 " not in peer.seen
            peer.socket.close()
            await until(lambda: not limiter.frontend._clients)

    run(main())


def test_an_answer_that_breaks_before_its_turn_resets_nothing() -> None:
    """Guards against a reset that destroys the earlier responses, which have just been written."""

    async def main() -> None:
        gate, broken = asyncio.Event(), asyncio.Event()

        async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while "y=1" in (await read_message(reader))[0]:
                await gate.wait()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n")
            await broken.wait()

        script = Script(forward)
        async with listening(talk) as dial, Limiter(script, {"s1": dial}) as limiter:
            peer = Peer(limiter)
            peer.send(ask("/lookup?account=00000000b4d65521&y=1") + ask())
            await script.until(api.ResponseStarted)
            broken.set()
            await script.until(api.Outcome)  # nothing of the second response has been sent
            gate.set()
            await peer.until(b"hi")
            await peer.until(b" 502 ")
            peer.send(ask("/lookup?account=00000000b4d65521&y=1"))
            while peer.seen.count(b"hi") < 2:
                peer.seen += await asyncio.get_running_loop().sock_recv(peer.socket, 65536)
            peer.socket.close()
            await until(lambda: not limiter.frontend._clients)
            assert limiter.frontend.relay.buffered == 0 and limiter.upstream.relay.active == 0

    run(main())


# Floods.


def test_what_is_pipelined_before_too_much_is_answered_in_order() -> None:
    async def main() -> None:
        async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                _, headers, _ = await read_message(reader)
                id = headers["x-request-id"].encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(id), id))

        script = Script(forward)
        async with listening(talk) as dial, Limiter(script, {"s1": dial}) as limiter:
            peer, ids = Peer(limiter), [f"{n:016x}" for n in range(500)]
            peer.send(b"".join(ask(X_Request_ID=id) for id in ids))
            assert await peer.end() == [200] * MAX_PIPELINED_REQUESTS + [400]
            bodies = [part.rpartition(b"\r\n\r\n")[2].decode() for part in peer.seen.split(b"HTTP/1.1")[1:]]
            assert bodies == [*ids[:MAX_PIPELINED_REQUESTS], ""]
            assert len(await script.until(api.Request)) == MAX_PIPELINED_REQUESTS
            peer.socket.close()
            await until(lambda: not limiter.frontend._clients)
            assert not limiter.frontend.open_ids

    run(main())


def test_a_flood_behind_a_full_pipeline_costs_its_answers_nothing() -> None:
    """The flood exceeds what is read of a rejected client; the rest stays unread until the responses are sent."""

    async def main() -> None:
        script = Script(no_actions)
        async with Limiter(script, {}) as limiter:
            peer = Peer(limiter)
            peer.send(b"".join(ask(ttl=60_000) for _ in range(20)))
            requests = await script.until(api.Request, MAX_PIPELINED_REQUESTS)
            sent = 0
            while not only_client(limiter).is_reading_paused:
                with contextlib.suppress(BlockingIOError):
                    sent += peer.socket.send(b"x" * 65536)
                await yield_to_loop(2)
            assert sent > LINGER_MAX_BYTES
            script.answer = lambda _event: [api.Refuse(each.id, 0.1) for each in requests]
            limiter.node.feed(api.TimerFired(1))
            await peer.until(b" 400 ")
            assert peer.seen.count(b" 429 ") == MAX_PIPELINED_REQUESTS
            peer.socket.close()
            await until(lambda: not limiter.frontend._clients)

    run(main())


def test_who_sends_much_at_once_and_goes_leaves_nothing_and_costs_nobody_an_answer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def main() -> None:
        origin = Origin(lambda _n: None)
        script = Script(forward)
        async with listening(origin.talk) as dial, Limiter(script, {"s1": dial}) as limiter:
            other = Peer(limiter)
            other.send(ask(ttl=60_000))
            (first,) = await script.until(api.Request)
            await until(lambda: origin.seen)
            connections = record_connections(limiter, monkeypatch)
            for _ in range(20):
                peer = Peer(limiter)
                peer.send(b"".join(ask() for _ in range(500)))
                peer.socket.close()
            await until(lambda: len(connections) == 20 and len(limiter.frontend._clients) == 1)
            assert limiter.node.open_requests == 1 and len(limiter.frontend.open_ids) == 1
            assert len(await script.until(api.Request)) <= 1 + 20 * MAX_PIPELINED_REQUESTS
            assert limiter.upstream.relay.active == 0
            script.answer = lambda _event: [api.Fail(first.id)]
            limiter.node.feed(api.TimerFired(1))
            await other.until(b" 502 ")

    run(main())


def test_one_read_of_one_client_brings_no_more_than_a_pipeline(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against one client that blocks the loop with hundreds of requests, even if all are answered at once."""

    async def main() -> None:
        script = Script(refuse)
        async with Limiter(script, {}) as limiter:
            peer = Peer(limiter)
            peer.send(b"".join(ask() for _ in range(500)))
            assert await peer.end() == [429] * MAX_PIPELINED_REQUESTS + [400]
            # There is no limit on requests that are sent one after another.
            usual = Peer(limiter)
            for n in range(1, 3 * MAX_PIPELINED_REQUESTS):
                usual.send(ask())
                await until(lambda n=n: len(script.events) >= MAX_PIPELINED_REQUESTS + n)  # type: ignore[misc]
                await usual.until(b" 429 ")

    run(main())


# Descriptors and small writes.


def test_a_connection_that_cannot_be_passed_on_for_want_of_a_descriptor_is_served_on(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def main() -> None:
        async with Limiter(Script(refuse), {}) as limiter:
            peer = Peer(limiter)
            await until(lambda: limiter.frontend._clients)

            def none_left(_fd: int) -> int:
                raise OSError(24, "Too many open files")

            monkeypatch.setattr(os, "dup", none_left)
            limiter.frontend.set_handoff(lambda _fd: True)
            peer.send(ask())
            await peer.until(b" 429 ")

    run(main())


def test_no_socket_holds_small_writes_back(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a missing TCP_NODELAY: data that the kernel delays is lost with a reset."""
    nodelay_values = dict[str, list[int]]()

    def record_nodelay(kind: type, name: str) -> None:
        made = kind.connection_made  # type: ignore[attr-defined]

        def connection_made(self: object, transport: asyncio.Transport) -> None:
            sock = transport.get_extra_info("socket")
            value = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
            nodelay_values.setdefault(name, []).append(value)
            made(self, transport)

        monkeypatch.setattr(kind, "connection_made", connection_made)

    record_nodelay(net_upstream._Connection, "server")
    record_nodelay(net_counter._Connection, "counter")
    record_nodelay(net_discovery._Watch, "discovery")

    async def main() -> None:
        async def never_answer(reader: asyncio.StreamReader, _writer: asyncio.StreamWriter) -> None:
            await reader.read()

        script = Script(forward)
        async with (
            listening(Origin().talk) as dial,
            listening(never_answer) as other,
            Limiter(script, {"s1": dial}) as limiter,
        ):
            record_nodelay(_ClientConnection, "client")
            await limiter.fetch(ask())
            await until(lambda: len(nodelay_values["client"]) == 1)
            # A shared listener that is paused and resumed, and a connection that is handed over.
            shared = frontend.Frontend(limiter.node, limiter.frontend._settings, 64)
            host, port = await shared.listen_shared("127.0.0.1", 0)
            for _ in range(2):
                peer = socket.create_connection((host, port))
                await until(lambda: shared._clients)
                peer.close()
                await until(lambda: not shared._clients)
                shared.pause()
                shared.resume()
            listener = socket.socket(fileno=shared.duplicate_listener())
            successor = frontend.Frontend(limiter.node, limiter.frontend._settings, 64)
            await successor.listen_shared("127.0.0.1", 0, listener)
            shared.pause()
            peer = socket.create_connection((host, port))
            await until(lambda: successor._clients)
            fds = list[int]()
            successor.set_handoff(lambda fd: not fds.append(fd))  # type: ignore[func-returns-value]
            await shared.adopt_connection(socket.socket(fileno=fds[0]))
            await until(lambda: shared._clients and not successor._clients)
            follower = net_discovery.DiscoveryClient(lambda _listing: None, lambda: 0.5)
            follower.follow(*split_host_port(other))
            counter = net_counter.CounterClient(*split_host_port(other), 0.2)
            counter.start()
            counter.call(1, 1.0, 1000, lambda _status, _total: None)
            await until(lambda: {"client", "server", "counter", "discovery"} <= set(nodelay_values))
            follower.close()
            counter.close()
            peer.close()
            for each in (shared, successor):
                await each.close(0.1)
            assert len(nodelay_values["client"]) == 5
            assert all(all(values) for values in nodelay_values.values()), nodelay_values

    run(main())


def split_host_port(address: str) -> tuple[str, int]:
    host, port = address.split(":")
    return host, int(port)
