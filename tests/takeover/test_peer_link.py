"""Which process of an upgrade listens for the messages of other limiters, over loopback sockets."""

from __future__ import annotations

import asyncio
import signal
import socket
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest

from cypresspulley.config import Config, ConfigError, parse_config
from cypresspulley.net import peer_link
from cypresspulley.net.peer_link import PeerLink
from cypresspulley.net.peers import open_datagram_socket
from cypresspulley.takeover.channel import Channel, Folder
from cypresspulley.takeover.states import STATE_TIMEOUT_SECONDS, TakeoverState
from tests.loopback import Limiter, Origin, Script, ask, forward, listening, read_message, run
from tests.ports import free_port
from tests.takeover.test_handover import Process, until
from tests.test_program import WIRE_SETTINGS, call_operators, config, started

RETRY_SECONDS = 0.01


@pytest.fixture(autouse=True)
def short_retries(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(peer_link, "BIND_RETRY_SECONDS", RETRY_SECONDS)


@pytest.fixture
def heard(monkeypatch: pytest.MonkeyPatch) -> list[tuple[PeerLink, str]]:
    """Each message that was read, with the link that read it."""
    messages = list[tuple[PeerLink, str]]()
    monkeypatch.setattr(PeerLink, "_receive", lambda link, _sender, text: messages.append((link, text)))
    return messages


@pytest.fixture
def other_limiter() -> Iterator[socket.socket]:
    with open_datagram_socket("127.0.0.1") as sock:
        yield sock


def address_of(sock: socket.socket) -> str:
    return "{}:{}".format(*sock.getsockname())


def raw_config(other: socket.socket, dial: str = "127.0.0.1:1", **changes: Any) -> dict[str, Any]:
    """Return a configuration with messages: one other limiter sends them, and gets all."""
    limits = WIRE_SETTINGS["limits"] | {"peers": True}
    specifics = {"has_counter": False, "count_wait_s": 0.0, "inbox_per_s": 40.0}
    messages = {
        "peer_listen": f"127.0.0.1:{free_port()}",
        "peers": ["127.0.0.1:1", address_of(other)],
        "peers_all": address_of(other),
        "settings": WIRE_SETTINGS | {"limits": limits, "specifics": specifics},
    }
    return config(dial) | messages | changes


def listen_address(loaded: Config) -> tuple[str, int]:
    assert loaded.peers is not None
    return loaded.peers.listen


def is_free(address: tuple[str, int]) -> bool:
    try:
        open_datagram_socket(*address).close()
    except OSError:
        return False
    return True


@asynccontextmanager
async def deployment(other: socket.socket) -> AsyncIterator[tuple[Config, tuple[str, int], str]]:
    """Yield a configuration with messages, the address that it listens at, and a server's address."""
    loaded = parse_config(raw_config(other))
    async with listening(Origin().talk) as dial:
        yield loaded, listen_address(loaded), dial


@asynccontextmanager
async def link() -> AsyncIterator[PeerLink]:
    async with Limiter(Script(forward), {}) as limiter:
        one = PeerLink(limiter.node)
        try:
            yield one
        finally:
            one.close()


def test_an_upgrade_beside_a_process_that_listens_for_messages_says_yes(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, other_limiter: socket.socket
) -> None:
    """Guards against review/1: the new process ended with 2 because the old one held ``peer_listen``."""
    monkeypatch.setenv("TMPDIR", str(tmp_path))
    doors = [f"127.0.0.1:{free_port()}" for _ in range(2)]

    async def main() -> None:
        origin = Origin()
        async with listening(origin.talk) as dial:
            raw = raw_config(other_limiter, dial)
            address = listen_address(parse_config(raw))
            async with (
                started(raw | {"operator": doors[0]}, tmp_path) as old,
                started(raw | {"operator": doors[1]}, tmp_path) as new,
            ):
                while await call_operators(doors[1], "GET", "/v1/readyz") != 200:
                    assert new.process.returncode is None
                old.process.send_signal(signal.SIGTERM)
                assert await old.process.wait() == 0
                assert not is_free(address)  # the new process holds it
                reader, writer = await new.connect()
                writer.write(ask())
                assert " 200 " in (await read_message(reader))[0]
                writer.close()
                new.process.send_signal(signal.SIGTERM)
                assert await new.process.wait() == 0
            assert is_free(address)

    run(main())


def test_a_first_start_where_a_stranger_holds_the_address_serves_and_sends(
    tmp_path: Path, other_limiter: socket.socket
) -> None:
    """Guards against the end of a process that shares no takeover folder with the holder of the address."""

    async def main() -> None:
        origin = Origin()
        async with listening(origin.talk) as dial:
            raw = raw_config(other_limiter, dial)
            address = listen_address(parse_config(raw))
            with open_datagram_socket(*address):
                async with started(raw, tmp_path) as program:
                    reader, writer = await program.connect()
                    writer.write(ask())
                    assert " 200 " in (await read_message(reader))[0]
                    assert await asyncio.get_running_loop().sock_recv(other_limiter, 256)
                    writer.close()
                    program.process.send_signal(signal.SIGTERM)
                    assert await program.process.wait() == 0

    run(main())


def test_messages_that_arrive_in_a_takeover_reach_the_successor(
    tmp_path: Path, heard: list[tuple[PeerLink, str]], other_limiter: socket.socket
) -> None:
    async def main() -> None:
        async with deployment(other_limiter) as (loaded, address, dial):
            old = await Process(tmp_path, dial, loaded).start()
            other_limiter.sendto(b"before", address)
            await until(lambda: heard)
            offer = old.service.take_snapshot

            def send_behind_the_snapshot() -> dict[str, Any]:
                state = offer()
                other_limiter.sendto(b"meanwhile", address)
                return state

            old.service.take_snapshot = send_behind_the_snapshot  # type: ignore[method-assign]
            new = await Process(tmp_path, dial, loaded).start()
            await until(lambda: old.service.lifecycle.handed_over)
            other_limiter.sendto(b"after", address)
            await until(lambda: len(heard) == 3)
            readers = [old.service.peer_link, new.service.peer_link, new.service.peer_link]
            assert heard == list(zip(readers, ["before", "meanwhile", "after"], strict=True))
            assert old.node.broadcast is not None
            old.node.broadcast("use of the old process")  # is still told
            assert await asyncio.get_running_loop().sock_recv(other_limiter, 256) == b"use of the old process"
            await old.end()
            other_limiter.sendto(b"alone", address)
            await until(lambda: len(heard) == 4)
            await new.end()
        assert is_free(address)

    run(main())


@pytest.mark.parametrize("end", ["dies before its word", "dies serving", "gets SIGTERM first"])
def test_a_predecessor_reads_again_when_its_successor_ends(
    end: str, tmp_path: Path, heard: list[tuple[PeerLink, str]], other_limiter: socket.socket
) -> None:
    async def main() -> None:
        async with deployment(other_limiter) as (loaded, address, dial):
            old, new = await Process(tmp_path, dial, loaded).start(), Process(tmp_path, dial, loaded)
            if end == "dies before its word":
                assert await new.service.wait_for_offer(new.clock) is not None
            else:
                await new.start()
                await until(lambda: old.service.lifecycle.handed_over)
            if end == "gets SIGTERM first":
                await new.end()
            else:
                new.die()
            other_limiter.sendto(b"orphan", address)
            await until(lambda: heard)
            assert heard == [(old.service.peer_link, "orphan")]
            await old.end()

    run(main())


def test_a_third_process_gets_the_socket_from_the_second_while_the_first_is_there(
    tmp_path: Path, heard: list[tuple[PeerLink, str]], other_limiter: socket.socket
) -> None:
    async def main() -> None:
        async with deployment(other_limiter) as (loaded, address, dial):
            processes = [await Process(tmp_path, dial, loaded).start() for _ in range(2)]
            await until(lambda: processes[0].service.lifecycle.handed_over)
            processes.append(await Process(tmp_path, dial, loaded).start())
            await until(lambda: processes[1].service.lifecycle.handed_over)
            for text in ("with all three", "with two", "alone"):
                other_limiter.sendto(text.encode(), address)
                await until(lambda: heard)
                assert heard.pop() == (processes[-1].service.peer_link, text)
                await processes.pop(0).end()
        assert is_free(address)

    run(main())


def test_a_successor_that_was_stopped_for_longer_than_its_predecessor_waits_reads_in_the_end(
    tmp_path: Path,
    heard: list[tuple[PeerLink, str]],
    other_limiter: socket.socket,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Both processes read the socket until the predecessor ends; no message is left unread."""
    monkeypatch.setitem(STATE_TIMEOUT_SECONDS, TakeoverState.OFFERED, 0.05)

    async def main() -> None:
        async with deployment(other_limiter) as (loaded, address, dial), link() as late:
            old, new = await Process(tmp_path, dial, loaded).start(), Process(tmp_path, dial, loaded)
            offer = await new.service.wait_for_offer(new.clock)
            assert offer is not None
            await until(lambda: old.machine.state is TakeoverState.WATCHING)
            other_limiter.sendto(b"0", address)
            await until(lambda: heard)
            assert heard == [(old.service.peer_link, "0")]
            late.start(loaded, offer.peer_socket)
            for number in range(1, 9):
                other_limiter.sendto(b"%d" % number, address)
            await until(lambda: len(heard) == 9)
            await old.end()
            other_limiter.sendto(b"9", address)
            await until(lambda: len(heard) == 10)
            assert heard[-1] == (late, "9")
            offer.listener.close()
            new.die()

    run(main())


def test_a_successor_of_an_older_version_finds_the_address_free(
    tmp_path: Path, heard: list[tuple[PeerLink, str]], other_limiter: socket.socket
) -> None:
    """Guards against a rollback that fails: an older version ends if it cannot bind the address itself."""

    async def main() -> None:
        async with deployment(other_limiter) as (loaded, address, dial):
            old = await Process(tmp_path, dial, loaded).start()
            sock = Folder(str(tmp_path), "test").connect()
            assert sock is not None
            offers = asyncio.Event()
            older_version = Channel(sock, lambda *_: offers.set(), lambda _: None)
            older_version.send({"is": "hello"})
            await offers.wait()
            assert old.machine.state is TakeoverState.OFFERED and is_free(address)
            older_version.close()
            await until(lambda: not is_free(address))  # the predecessor has bound it again
            other_limiter.sendto(b"back", address)
            await until(lambda: heard)
            await old.end()

    run(main())


def test_an_address_that_another_process_holds_is_bound_once_it_is_free(
    heard: list[tuple[PeerLink, str]], other_limiter: socket.socket, caplog: pytest.LogCaptureFixture
) -> None:
    """The predecessor may be of a version that passes no socket on."""

    async def main() -> None:
        loaded = parse_config(raw_config(other_limiter))
        address = listen_address(loaded)
        async with link() as one:
            with open_datagram_socket(*address):
                one.start(loaded)
                one._node.broadcast("hello")  # type: ignore[misc]
                data, source = other_limiter.recvfrom(256)  # loopback: it has arrived when it is sent
                assert data == b"hello" and source != address
                await asyncio.sleep(3 * RETRY_SECONDS)
            await until(lambda: not is_free(address))
            other_limiter.sendto(b"heard", address)
            await until(lambda: heard)
        logged = [record.message for record in caplog.records if "cannot listen" in record.message]
        assert len(logged) == 1 and "trying again every" in logged[0]

    run(main())


def test_a_reload_to_an_address_that_a_stranger_holds_puts_itself_right(
    heard: list[tuple[PeerLink, str]], other_limiter: socket.socket
) -> None:
    async def main() -> None:
        first, second = (parse_config(raw_config(other_limiter)) for _ in range(2))
        off = parse_config(raw_config(other_limiter, settings=WIRE_SETTINGS))
        async with link() as one:
            one.start(off)
            assert one._node.broadcast is None
            one.apply(first)
            assert not is_free(listen_address(first))
            with open_datagram_socket(*listen_address(second)):
                one.apply(second)
                assert is_free(listen_address(first)) and one._node.broadcast is not None
            await until(lambda: not is_free(listen_address(second)))
            one.apply(off)
            assert is_free(listen_address(second)) and one._node.broadcast is None

    run(main())


def test_a_process_that_has_handed_over_or_leaves_binds_no_address(other_limiter: socket.socket) -> None:
    """Guards against a leaving process that takes the address before its successor does."""

    async def main() -> None:
        first, second = (parse_config(raw_config(other_limiter)) for _ in range(2))
        async with link() as one:
            one.start(first)
            one.pause()
            one.apply(second)
            await asyncio.sleep(3 * RETRY_SECONDS)
            assert is_free(listen_address(first)) and is_free(listen_address(second))
            one.resume()
            assert not is_free(listen_address(second))
            with open_datagram_socket(*listen_address(first)):
                one.apply(first)
                one.leave()
            await asyncio.sleep(3 * RETRY_SECONDS)
            assert is_free(listen_address(first))

    run(main())


def test_a_socket_of_another_address_is_closed_and_the_configured_one_bound(
    other_limiter: socket.socket,
) -> None:
    async def main() -> None:
        loaded = parse_config(raw_config(other_limiter))
        async with link() as one:
            inherited = open_datagram_socket("127.0.0.1")
            one.start(loaded, inherited)
            assert inherited.fileno() < 0 and not is_free(listen_address(loaded))

    run(main())


def test_an_address_that_is_not_of_this_machine_is_a_configuration_error(
    other_limiter: socket.socket,
) -> None:
    async def main() -> None:
        async with link() as one:
            with pytest.raises(ConfigError, match=r"cannot listen for messages of limiters: .*assign"):
                one.start(parse_config(raw_config(other_limiter, peer_listen="192.0.2.1:7946")))
            assert one._node.broadcast is None

    run(main())
