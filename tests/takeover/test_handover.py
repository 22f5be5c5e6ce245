"""Takeovers between two limiter instances in one process that share a directory, over loopback sockets."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import pytest

from cypresspulley import interface as api
from cypresspulley.config import Config
from cypresspulley.lifecycle import Lifecycle, LifecycleState
from cypresspulley.net.discovery import Listing
from cypresspulley.net.frontend import Frontend
from cypresspulley.net.listener import SocketListener
from cypresspulley.net.node import Node, UnixClock
from cypresspulley.net.peer_link import PeerLink
from cypresspulley.net.upstream import REUSE_DELAY_SECONDS, Upstream
from cypresspulley.policy.gateway import Gateway
from cypresspulley.service import Service
from cypresspulley.takeover import handover
from cypresspulley.takeover.channel import Channel, Folder
from cypresspulley.takeover.states import STATE_TIMEOUT_SECONDS, TakeoverMachine, TakeoverState
from tests.loopback import OK, SETTINGS, Origin, ask, listening, listing, read_message, run

HEALTH = b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"


class Process:
    """One process of a limiter, set up like ``__main__.serve`` does."""

    def __init__(self, folder: Path, dial: str, config: Config | None = None) -> None:
        """``config`` gives the addresses for messages between limiters; None: there are none."""
        self.clock, self.dial, self.config = UnixClock(), dial, config
        self.service = Service(Lifecycle(), Folder(str(folder), "test"))
        self.upstream = Upstream(self.clock, 0.25, 30.0, 64)
        self.gateway = Gateway(SETTINGS, 1, self.clock())
        self.node = Node(SETTINGS, self.gateway, self.clock, self.upstream, None)
        self.frontend = Frontend(self.node, SETTINGS, 64)
        self.address = ("", 0)
        self.inherited = False

    async def start(self, port: int = 0) -> Process:
        offer = await self.service.wait_for_offer(self.clock)
        self.gateway = Gateway(SETTINGS, 1, self.clock())
        self.node = Node(SETTINGS, self.gateway, self.clock, self.upstream, None)
        self.frontend = Frontend(self.node, SETTINGS, 64)
        if offer is not None and not self.service.adopt(self.gateway, self.clock(), offer, self.upstream):
            offer = None
        self.inherited = offer is not None
        if offer is None:
            self.node.apply_listing(listing({"s1": self.dial, "s2": self.dial}))
        if self.config is not None:
            self.service.peer_link = PeerLink(self.node)
            self.service.peer_link.start(self.config, None if offer is None else offer.peer_socket)
        listener = offer.listener if offer is not None else None
        self.address = await self.frontend.listen_shared("127.0.0.1", port, listener)
        self.service.serve(self.node, self.frontend, self.gateway, self.upstream, self.clock, self.inherited)
        return self

    @property
    def machine(self) -> TakeoverMachine:
        assert self.service._predecessor is not None
        return self.service._predecessor.machine

    async def end(self) -> None:
        self.service.leave()
        await self.frontend.close(1.0)
        self.upstream.close()
        self.service.close()
        if self.service.peer_link is not None:
            self.service.peer_link.close()

    def die(self) -> None:
        """Close every descriptor without notice, as a SIGKILL does."""
        if self.frontend._listener is not None:
            self.frontend._listener.close()
        for client in list(self.frontend._clients):
            client.abort()
        self.upstream.close()
        if self.service.peer_link is not None:
            self.service.peer_link.close()
        self.service.close()


def accepting(process: Process) -> bool:
    """Return whether a process accepts new connections."""
    listener = process.frontend._listener
    assert isinstance(listener, SocketListener)
    return not listener.paused


@asynccontextmanager
async def upgrade(folder: Path, origin: Origin) -> AsyncIterator[tuple[Process, Process]]:
    """Yield a serving process and its successor, right after the takeover."""
    async with listening(origin.talk) as dial:
        old = await Process(folder, dial).start()
        new = await Process(folder, dial).start()
        assert new.inherited and new.address == old.address
        try:
            yield old, new
        finally:
            await old.end()
            await new.end()


async def until(condition: object) -> None:
    while not condition():  # type: ignore[operator]
        await asyncio.sleep(0.001)


def test_kept_connections_and_new_ones_go_on_and_none_is_closed(tmp_path: Path) -> None:
    async def main() -> None:
        origin = Origin()
        async with listening(origin.talk) as dial:
            old = await Process(tmp_path, dial).start()
            kept = [await asyncio.open_connection(*old.address) for _ in range(8)]
            for reader, writer in kept:
                writer.write(ask())
                assert " 200 " in (await read_message(reader))[0]
            new = await Process(tmp_path, dial).start()
            await until(lambda: old.service.lifecycle.handed_over)
            for reader, writer in kept:  # each connection is served, whichever process holds it
                writer.write(ask())
                status, headers, _ = await read_message(reader)
                assert " 200 " in status and "connection" not in headers
            await until(lambda: not old.frontend._clients)
            assert len(new.frontend._clients) == 8
            await old.end()  # the connections outlast the old process
            await until(lambda: new.service.lifecycle.state is LifecycleState.READY)
            for reader, writer in kept:
                writer.write(ask())
                assert " 200 " in (await read_message(reader))[0]
                writer.close()
            await new.end()

    run(main())


def test_a_successor_takes_no_server_for_restarted_that_started_before_it(tmp_path: Path) -> None:
    async def main() -> None:
        origin = Origin()
        async with listening(origin.talk) as dial:
            old = await Process(tmp_path, dial).start()
            row = api.ServerEntry("s1", api.Health.UP, "a", born=100.0)
            news = Listing(2, api.ServerList((row,), True), {"s1": dial})
            old.node.apply_listing(news)
            new = await Process(tmp_path, dial).start()
            reader, writer = await asyncio.open_connection(*new.address)
            for expected in (1, 1):  # the first list after the takeover repeats known births
                writer.write(ask())
                assert " 200 " in (await read_message(reader))[0]
                await asyncio.sleep(2 * REUSE_DELAY_SECONDS)  # a connection is not reused for this time
                new.node.apply_listing(news)
                assert origin.connections == expected
            writer.close()
            await old.end()
            await new.end()

    run(main())


def test_connections_in_the_accept_queue_are_served_by_the_successor(tmp_path: Path) -> None:
    async def main() -> None:
        origin = Origin()
        async with listening(origin.talk) as dial:
            old = await Process(tmp_path, dial).start()
            old.frontend.pause()  # as between the offer and the successor's "serving"
            waiting = [socket.create_connection(old.address) for _ in range(12)]
            for sock in waiting:
                sock.sendall(ask())
            new = await Process(tmp_path, dial).start()
            for sock in waiting:
                sock.setblocking(False)
                reader, writer = await asyncio.open_connection(sock=sock)
                assert " 200 " in (await read_message(reader))[0]
                writer.close()
            await old.end()
            await new.end()

    run(main())


@pytest.mark.parametrize("step", [-3600.0, -5.0, 5.0, 3600.0])
def test_a_wall_clock_that_stepped_between_two_starts_moves_no_instant(step: float, tmp_path: Path) -> None:
    """Guards against a stepped wall clock that shifts slow starts, births or quotas in the new process."""

    async def main() -> None:
        async with listening(Origin().talk) as dial:
            old = await Process(tmp_path, dial).start()
            old.gateway.load_balancer.servers["s1"].cold_since = begun = old.clock() - 2.0
            new = Process(tmp_path, dial)
            new.clock.offset += step
            await new.start()
            assert new.inherited
            assert new.gateway.load_balancer.servers["s1"].cold_since == begun
            assert abs(new.clock() - old.clock()) < 1.0
            assert new.gateway.load_balancer.births == old.gateway.load_balancer.births
            assert new.gateway.quotas._started_at == old.gateway.quotas._started_at <= new.clock()
            await old.end()
            await new.end()

    run(main())


def test_a_request_under_way_is_answered_by_the_old_process_and_its_connection_goes_over(
    tmp_path: Path,
) -> None:
    async def main() -> None:
        release = asyncio.Event()

        async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                await read_message(reader)
                taken.set()
                await release.wait()
                writer.write(OK)

        taken = asyncio.Event()
        async with listening(talk) as dial:
            old = await Process(tmp_path, dial).start()
            reader, writer = await asyncio.open_connection(*old.address)
            writer.write(ask())
            await taken.wait()
            new = await Process(tmp_path, dial).start()
            await until(lambda: old.service.lifecycle.handed_over)
            predecessor_attempts = [a.open_attempts for a in new.gateway.quotas.accounts.values()]
            await until(lambda: sum(a.open_attempts for a in new.gateway.quotas.accounts.values()) == 1)
            assert sum(predecessor_attempts) <= 1
            leaving = asyncio.create_task(old.end())
            await asyncio.sleep(0)
            release.set()
            assert " 200 " in (await read_message(reader))[0]
            await until(lambda: len(new.frontend._clients) == 1)
            await leaving
            await until(lambda: sum(a.open_attempts for a in new.gateway.quotas.accounts.values()) == 0)
            writer.write(ask())
            assert " 200 " in (await read_message(reader))[0]
            writer.close()
            await new.end()

    run(main())


def test_bans_hold_in_both_processes_either_way_round_and_over_a_second_upgrade(tmp_path: Path) -> None:
    async def main() -> None:
        async with upgrade(tmp_path, Origin()) as (old, new):
            assert (await old.service.call("suspend", "s1")).status == 200
            assert new.gateway.load_balancer.bans == old.gateway.load_balancer.bans == {"s1"}
            assert (await new.service.call("resume", "s1")).status == 200
            assert new.gateway.load_balancer.bans == old.gateway.load_balancer.bans == set()
            assert (await new.service.call("suspend", "s2")).status == 200
            assert old.gateway.load_balancer.bans == {"s2"}
            assert (await old.service.call("resume", "s2")).status == 200
            assert (await old.service.call("suspend", "s1")).status == 200
            old.die()
            await until(lambda: new.service.lifecycle.state is LifecycleState.READY)
            third = await Process(tmp_path, new.dial).start()
            assert third.inherited and third.gateway.load_balancer.bans == {"s1"}
            assert not third.upstream._servers["s1"].usable and third.upstream._servers["s2"].usable
            assert (await third.service.call("resume", "s1")).status == 200
            assert new.gateway.load_balancer.bans == set()
            await third.end()

    run(main())


def test_a_drain_goes_over_and_its_end_reaches_both(tmp_path: Path) -> None:
    async def main() -> None:
        origin = Origin()
        async with listening(origin.talk) as dial:
            old = await Process(tmp_path, dial).start()
            assert (await old.service.call("drain", "")).status == 200
            new = await Process(tmp_path, dial).start()
            await until(lambda: old.service.lifecycle.handed_over)
            assert new.frontend.draining and (await new.service.call("readyz", "")).status == 200
            assert (await new.service.call("activate", "")).status == 200
            assert not old.service.lifecycle.drained and not new.frontend.draining
            assert (await old.service.call("drain", "")).status == 200
            await old.end()
            await until(lambda: new.service.lifecycle.state is LifecycleState.DRAINING)
            reader, writer = await asyncio.open_connection(*new.address)
            writer.write(HEALTH)
            assert " 503 " in (await read_message(reader))[0]
            writer.close()
            await new.end()

    run(main())


def test_a_successor_that_dies_before_it_serves_changes_nothing(tmp_path: Path) -> None:
    async def main() -> None:
        origin = Origin()
        async with listening(origin.talk) as dial:
            old = await Process(tmp_path, dial).start()
            dying = Process(tmp_path, dial)
            assert await dying.service.wait_for_offer() is not None
            await until(
                lambda: (
                    old.service._predecessor is not None
                    and old.service._predecessor.machine.state is TakeoverState.OFFERED
                )
            )
            dying.service.close()
            await until(
                lambda: (
                    old.service._predecessor is not None
                    and old.service._predecessor.machine.state is TakeoverState.WATCHING
                )
            )
            await until(lambda: accepting(old))
            reader, writer = await asyncio.open_connection(*old.address)
            writer.write(ask())
            assert " 200 " in (await read_message(reader))[0]
            writer.close()
            assert old.service.lifecycle.state is LifecycleState.READY and old.service._split is None
            new = await Process(tmp_path, dial).start()  # the next successor finds it
            assert new.inherited
            await old.end()
            await new.end()

    run(main())


def test_a_successor_that_dies_after_its_word_leaves_the_old_process_serving(tmp_path: Path) -> None:
    async def main() -> None:
        origin = Origin()
        async with upgrade(tmp_path, origin) as (old, new):
            await until(lambda: old.service.lifecycle.handed_over)
            new.die()
            await until(lambda: old.service.lifecycle.state is LifecycleState.READY and accepting(old))
            reader, writer = await asyncio.open_connection(*old.address)
            writer.write(ask())
            assert " 200 " in (await read_message(reader))[0]
            writer.close()

    run(main())


def test_a_predecessor_that_stalls_is_not_waited_for(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setitem(STATE_TIMEOUT_SECONDS, TakeoverState.ASKING, 0.05)

    async def main() -> None:
        folder, origin = Folder(str(tmp_path), "test"), Origin()
        stalled = folder.listen()  # the kernel accepts the connection, but nobody reads
        async with listening(origin.talk) as dial:
            new = await Process(tmp_path, dial).start()
            assert not new.inherited and new.service.lifecycle.state is LifecycleState.READY
            reader, writer = await asyncio.open_connection(*new.address)
            writer.write(ask())
            assert " 200 " in (await read_message(reader))[0]
            writer.close()
            await new.end()
        stalled.close()

    run(main())


def test_a_dead_processs_leftover_is_no_predecessor_and_its_bans_are_read(tmp_path: Path) -> None:
    async def main() -> None:
        origin = Origin()
        async with listening(origin.talk) as dial:
            dead = await Process(tmp_path, dial).start()
            assert (await dead.service.call("suspend", "s1")).status == 200
            dead.die()
            new = await Process(tmp_path, dial).start()
            assert not new.inherited and new.gateway.load_balancer.bans == {"s1"}
            await new.end()

    run(main())


@pytest.mark.parametrize(
    "message",
    [b"", b"\xff", b"[]", b'{"is":"offer"}', b'{"is":"offer","parts":1,"checksum":"x"}', b'{"is":"part"}'],
)
def test_a_predecessor_that_talks_nonsense_is_left(tmp_path: Path, message: bytes) -> None:
    async def main() -> None:
        folder, origin, loop = Folder(str(tmp_path), "test"), Origin(), asyncio.get_running_loop()
        sock = folder.listen()

        async def talk() -> None:
            peer, _ = await loop.sock_accept(sock)
            peer.setblocking(False)
            if message:
                peer.send(message)
            await asyncio.sleep(0)
            peer.close()

        task = loop.create_task(talk())
        async with listening(origin.talk) as dial:
            new = await Process(tmp_path, dial).start()
            assert not new.inherited and new.service.lifecycle.state is LifecycleState.READY
            await new.end()
        await task
        sock.close()

    run(main())


def test_a_snapshot_that_cannot_be_used_leaves_both_serving(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def main() -> None:
        origin = Origin()
        async with listening(origin.talk) as dial:
            old = await Process(tmp_path, dial).start()
            monkeypatch.setattr(old.service, "take_snapshot", lambda: {"decisions": {}, "dials": {}})
            new = await Process(tmp_path, dial).start(old.address[1])  # on the same port, by SO_REUSEPORT
            assert not new.inherited
            await until(lambda: accepting(old))
            assert old.service.lifecycle.state is LifecycleState.READY and old.service._split is None
            await old.end()
            await new.end()

    run(main())


def test_who_connects_and_says_nothing_makes_way_for_a_successor(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setitem(STATE_TIMEOUT_SECONDS, TakeoverState.ASKING, 0.1)

    async def main() -> None:
        async with listening(Origin().talk) as dial:
            old = await Process(tmp_path, dial).start()
            silent = Folder(str(tmp_path), "test").connect()
            assert silent is not None
            await until(lambda: old.service._predecessor is not None and old.service._predecessor.connected)
            await until(
                lambda: old.service._predecessor is not None and not old.service._predecessor.connected
            )
            silent.close()
            monkeypatch.setitem(STATE_TIMEOUT_SECONDS, TakeoverState.ASKING, 1.5)
            new = await Process(tmp_path, dial).start()
            assert new.inherited
            await old.end()
            await new.end()

    run(main())


def test_a_channel_ends_on_what_is_too_large(tmp_path: Path) -> None:
    async def main() -> None:
        ours, theirs = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        ended = asyncio.Event()
        channel = Channel(ours, lambda *_: None, lambda _c: ended.set())
        theirs.send(b"[" + b" " * 70_000 + b"]")
        await ended.wait()
        assert not channel.is_open
        theirs.close()

    run(main())


def test_parts_of_a_snapshot_fit_in_a_message() -> None:
    from cypresspulley.takeover.channel import MAX_MESSAGE_BYTES

    assert 2 * handover.MAX_PART_CHARACTERS + 100 < MAX_MESSAGE_BYTES and api.Health.UP.value == "up"


def test_the_successor_of_a_successor_is_found_while_the_first_process_still_leaves(tmp_path: Path) -> None:
    """Guards against a leaving process that takes the takeover socket from the one that serves, and has no listener."""

    async def main() -> None:
        async with listening(Origin().talk) as dial:
            first, second = [await Process(tmp_path, dial).start() for _ in range(2)]
            await until(lambda: first.service.lifecycle.handed_over)
            first.service.leave()
            third = await Process(tmp_path, dial).start()
            await until(lambda: second.service.lifecycle.handed_over)
            await second.end()  # before the first one
            await until(lambda: first.machine.state is TakeoverState.LEAVING)
            fourth = await Process(tmp_path, dial).start()
            assert third.inherited and fourth.inherited
            await until(lambda: third.service.lifecycle.handed_over)
            for process in (first, third, fourth):
                await process.end()

    run(main())


def test_a_process_that_leaves_alone_is_not_asked_for_its_listener(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against EBADF at a listener that is closed: the new process starts alone instead, at once."""

    async def main() -> None:
        async with listening(Origin().talk) as dial:
            old = await Process(tmp_path, dial).start()
            old.service.leave()
            old.service.stop_offering()
            await old.frontend.close(0.0)
            new = await Process(tmp_path, dial).start(old.address[1])
            assert not new.inherited
            await old.end()
            await new.end()

    run(main())
    assert "failed" not in caplog.text
