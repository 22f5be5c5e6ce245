"""Fleets on loopback sockets with uvloop and free ports."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
import pytest

from cypresspulley.fleet.actions import DatagramReceived
from cypresspulley.fleet.limiter import FleetMember
from cypresspulley.fleet.options import FleetOptions
from cypresspulley.fleet.records import Member, MemberState
from cypresspulley.fleet.wire import Codec, Gossip, MemberRecord, encode_record
from cypresspulley.histories.events import FACTS, Kind
from cypresspulley.histories.writer import AnyHistory, History, MemoryHistory, NoHistory
from cypresspulley.operators import OperatorsError
from tests.loopback import run
from tests.ports import free_port

PERIOD = 0.05  # seconds
KEY = b"0123456789abcdef"


def new_member(
    name: str, at: int, *seeds: int, history: AnyHistory | None = None, back: float = 0.0,
    advertise: int | None = None,
) -> FleetMember:  # fmt: skip
    addresses = tuple(f"127.0.0.1:{seed}" for seed in seeds)
    own = f"127.0.0.1:{advertise or at}"
    options = FleetOptions("test", ("127.0.0.1", at), own, addresses, PERIOD, KEY)
    wall = (lambda: time.time() - back) if back else time.time
    return FleetMember(options, name, "a", 1, time.monotonic, wall, history or NoHistory())


async def wait_until(is_met: Callable[[], bool]) -> None:
    """Wait for a condition; ``run`` bounds the wait."""
    while not is_met():
        await asyncio.sleep(PERIOD / 5)


def read_events(path: Path) -> list[dict[str, Any]]:
    return [msgspec.json.decode(line) for line in path.read_bytes().splitlines()]


def test_three_limiters_settle_share_rows_and_documents_and_one_leaves(tmp_path: Path) -> None:
    async def main() -> None:
        ports = [free_port(socket.SOCK_DGRAM) for _ in range(3)]
        history = History(str(tmp_path / "l0-{life}.jsonl"), time.monotonic, time.time)
        all_of = [
            new_member(f"l{n}", ports[n], *ports[:2], history=history if n == 0 else None) for n in range(3)
        ]
        for one in all_of:
            await one.start()
        views = [one.view for one in all_of]
        await wait_until(
            lambda: all(len(view.members()) == 3 and view.is_settled(time.monotonic()) for view in views)
        )
        views[2].publish("lanes", b"row of l2")
        digest = views[1].store_document(b"calendar" * 5_000)
        views[0].request_document(digest)
        await wait_until(
            lambda: any(row.body == b"row of l2" for row in views[0].rows(time.monotonic(), "lanes"))
        )
        await wait_until(lambda: views[0].get_document(digest) == b"calendar" * 5_000)
        await wait_until(lambda: views[0].clock_error(time.monotonic()) is not None)
        low, high = views[0].clock_error(time.monotonic()) or (1.0, -1.0)
        assert low <= 0.05 and high >= -0.05 and high - low < 1.0
        assert views[0].count_responsive(time.monotonic(), 60.0) == 2
        all_of[2].leave()
        await asyncio.sleep(PERIOD)
        await all_of[2].close()
        await wait_until(
            lambda: all(
                (m := view.get_member("l2")) is not None and m.state is MemberState.LEFT for view in views[:2]
            )
        )
        await all_of[0].close()
        await all_of[1].close()
        (path,) = tmp_path.iterdir()
        written = read_events(path)
        assert written[0]["kind"] == Kind.START and set(written[0]["bounds"]) == {"detect", "settle"}
        assert written[-1]["kind"] == Kind.END
        for event in written:
            assert set(FACTS[Kind(event["kind"])]) <= set(event)
        states = [event["state"] for event in written if event.get("member") == "l2"]
        assert states[-1] == "left" and "suspected" not in states
        assert any(event["kind"] == Kind.SETTLED and event["settled"] for event in written)

    run(main())


def test_one_that_returns_with_its_clock_set_back_has_a_new_life_and_a_new_history(tmp_path: Path) -> None:
    async def main() -> None:
        first, second = free_port(socket.SOCK_DGRAM), free_port(socket.SOCK_DGRAM)
        a, b = new_member("a", first, first), new_member("b", second, first)
        await a.start()
        await b.start()
        await wait_until(lambda: len(a.view.members()) == 2)
        life = b.view.life
        b._transport.abort()  # type: ignore[union-attr]  # like a SIGKILL: no leave message
        assert b._timer is not None
        b._timer.cancel()
        history = History(str(tmp_path / "b-{life}.jsonl"), time.monotonic, time.time)
        again = new_member("b", second, first, history=history, back=3600.0)
        await asyncio.sleep(PERIOD)
        await again.start()
        await wait_until(
            lambda: (
                (m := a.view.get_member("b")) is not None
                and m.life == life + 1
                and m.state is MemberState.ALIVE
            )
        )
        assert again.view.life == life + 1
        await wait_until(lambda: again.view.clock_error(time.monotonic()) is not None)
        low, high = again.view.clock_error(time.monotonic()) or (0.0, 0.0)
        assert -3601 < low <= high < -3599
        await again.close()
        await a.close()
        lives = [read_events(path)[0]["life"] for path in sorted(tmp_path.iterdir())]
        assert len(lives) == 2 and lives[0] < life and lives[1] == life + 1

    run(main())


def test_a_life_that_rises_tells_its_new_history_what_is_held() -> None:
    """Datagrams are encoded by hand, so that one of them carries both claims."""

    async def main() -> None:
        history = MemoryHistory(time.monotonic, time.time)
        one = new_member("me", free_port(socket.SOCK_DGRAM), history=history)
        await one.start()
        codec, life = Codec("test", KEY), one.view.life

        def hear(number: int, *told: MemberRecord) -> None:
            head = (number, round(time.time() * 1000), 1, 1, 0)
            x = MemberRecord("x", 7, 0, MemberState.ALIVE, "b", "127.0.0.1:9", "")
            one.handle_event(
                DatagramReceived(
                    codec.encode(
                        head,
                        encode_record(x),
                        encode_record(Gossip()),
                        [encode_record(entry) for entry in told],
                        [],
                    )
                )
            )

        y = MemberRecord("y", 7, 0, MemberState.ALIVE, "b", "127.0.0.1:9", "")
        gone = MemberRecord("gone", 7, 3, MemberState.DEAD, "b", "127.0.0.1:9", "x")
        hear(1, y, gone)
        me = MemberRecord("me", life + 9, 0, MemberState.ALIVE, "a", "127.0.0.1:9", "x")
        y_doubted = MemberRecord("y", 7, 0, MemberState.SUSPECTED, "b", "127.0.0.1:9", "x")
        hear(2, me, y_doubted)
        await one.close()
        start, *seen = history.lives[1][:6]
        assert (start["kind"], start["life"]) == (Kind.START, life + 10)
        told = [(e["member"], e["life"], e["state"], e["cause"]) for e in seen if e["kind"] == Kind.MEMBER]
        assert told == [
            ("gone", 7, "dead", "told"),
            ("x", 7, "alive", "told"),
            ("y", 7, "alive", "told"),
            ("me", life + 10, "alive", "self"),
        ]
        assert seen[3]["kind"] == Kind.SETTLED
        assert (seen[3]["settled"], seen[3]["members"]) == (False, 3)
        assert history.lives[1][6]["state"] == "suspected"  # later changes follow the records of the new life

    run(main())


def test_replies_go_to_the_advertised_address_and_rubbish_ends_nothing() -> None:
    async def main() -> None:
        loop = asyncio.get_running_loop()
        heard = list[bytes]()

        class Relay(asyncio.DatagramProtocol):
            def datagram_received(self, data: bytes, addr: object) -> None:
                heard.append(data)
                out.sendto(data, ("127.0.0.1", second))

        first, second, front = (
            free_port(socket.SOCK_DGRAM),
            free_port(socket.SOCK_DGRAM),
            free_port(socket.SOCK_DGRAM),
        )
        out, _ = await loop.create_datagram_endpoint(asyncio.DatagramProtocol, local_addr=("127.0.0.1", 0))
        relay, _ = await loop.create_datagram_endpoint(Relay, local_addr=("127.0.0.1", front))
        a, b = new_member("a", first, first), new_member("b", second, first, advertise=front)
        await a.start()
        await b.start()
        for rubbish in (b"", b"\x01", bytes(2_000), b"\x01" + bytes(100)):
            out.sendto(rubbish, ("127.0.0.1", first))
        await wait_until(lambda: a.view.is_settled(0.0) and len(a.view.members()) == 2)
        await wait_until(lambda: sum(a.detector.counts[cause] for cause in ("cut", "long", "digest")) >= 3)
        assert heard  # b receives all datagrams through the relay
        a.detector.view.merge(0.0, Member("bad", 1, 0, MemberState.ALIVE, "", "no address"))
        await wait_until(lambda: a.detector.counts["no address"] > 0)
        for one in (a, b):
            await one.close()
            one.leave()
        relay.close()
        out.close()

    run(main())


def test_members_may_be_told_by_the_names_of_their_hosts() -> None:
    async def main() -> None:
        first, second = free_port(socket.SOCK_DGRAM), free_port(socket.SOCK_DGRAM)
        a = new_member("a", first, first)
        options = FleetOptions(
            "test", ("127.0.0.1", second), f"localhost:{second}", (f"localhost:{first}",), PERIOD, KEY
        )
        b = FleetMember(options, "b", "a", 1, time.monotonic, time.time, NoHistory())
        await a.start()
        await b.start()
        await wait_until(
            lambda: a.view.is_settled(0.0) and b.view.is_settled(0.0) and len(a.view.members()) == 2
        )
        await a.close()
        await b.close()

    run(main())


def test_a_name_that_cannot_be_told_is_an_error_of_the_operators() -> None:
    with pytest.raises(OperatorsError, match="LB_NAME: expected at most 40 letters"):
        new_member("a/b", 1)
