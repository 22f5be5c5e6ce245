"""Every place that takes a list of limiters or servers has room for 1,024 of them."""

from __future__ import annotations

import asyncio
import json
import socket
from pathlib import Path
from typing import Any

import pytest

from cypresspulley.fleet.options import MAX_SEEDS, options_from
from cypresspulley.fleet.view import MAX_MEMBERS
from cypresspulley.keeper.engine import EngineCounter, parse_engine_url
from cypresspulley.net.discovery import MessageDecoder, parse_listing
from cypresspulley.net.peers import Peers, open_datagram_socket
from cypresspulley.operators import OperatorsError
from cypresspulley.plans import serve
from cypresspulley.plans.follow import FollowerState
from cypresspulley.plans.plan_writer import PlanWriter
from cypresspulley.plans.serve import Publisher
from cypresspulley.plans.store import Store
from cypresspulley.service import RECORD_FILE
from cypresspulley.takeover.channel import Folder
from cypresspulley.takeover.snapshot import decode_snapshot, encode_snapshot, restore_snapshot, take_snapshot
from tests import world as w
from tests.loopback import run
from tests.plans.disk import Disk
from tests.plans.test_serve import TOKEN, Followed

LARGE_FLEET_SIZE = 1024
KEY = "a key of the tests only"
MAX_ID_LENGTH = 1024  # characters of a server's id that the operators' endpoint accepts


def loopback(number: int, port: int = 7000) -> str:
    """Return a distinct loopback address for each number."""
    return f"127.{1 + number // 65_536}.{number // 256 % 256}.{number % 256}:{port}"


def fleet_table(**change: Any) -> dict[str, Any]:
    seeds = [loopback(number) for number in range(LARGE_FLEET_SIZE)]
    return {"installation": "vadodara", "listen": "127.0.0.1:1", "seeds": seeds} | change


def test_every_limiter_of_a_large_fleet_may_be_a_seed() -> None:
    options = options_from(fleet_table(), "operators.toml", KEY)
    assert options.seeds == tuple(loopback(number) for number in range(LARGE_FLEET_SIZE))
    with pytest.raises(OperatorsError, match=rf"fleet\.seeds: expected a list of at most {MAX_MEMBERS} addr"):
        options_from(fleet_table(seeds=[loopback(0)] * (MAX_SEEDS + 1)), "operators.toml", KEY)


def test_a_message_of_the_last_limiter_is_heard_under_its_number() -> None:
    async def main() -> None:
        heard, came = list[tuple[int, str]](), asyncio.Event()

        def hear(sender: int, text: str) -> None:
            heard.append((sender, text))
            came.set()

        with socket.socket(type=socket.SOCK_DGRAM) as last, socket.socket(type=socket.SOCK_DGRAM) as probe:
            for peer in (last, probe):
                peer.bind(("127.0.0.1", 0))
            port = probe.getsockname()[1]
            probe.close()
            names = [loopback(number) for number in range(LARGE_FLEET_SIZE - 1)]
            peers = Peers([*names, "{}:{}".format(*last.getsockname())], names[0], hear)
            peers.use_socket(open_datagram_socket("127.0.0.1", port))
            peers.start_reading()
            last.sendto(b"good", ("127.0.0.1", port))
            await came.wait()
            peers.close()
        assert heard == [(LARGE_FLEET_SIZE - 1, "good")]

    run(main())


def test_a_list_of_servers_with_long_names_is_one_message() -> None:
    name, hosts = "s" * 1000, list[dict[str, Any]]()
    for number in range(LARGE_FLEET_SIZE):
        row = {"host": f"{name}{number}", "dial": loopback(number), "site": "z" * 64, "health": "ready"}
        hosts.append(row)
    line = json.dumps({"seq": 7, "whole": True, "hosts": hosts}, indent=1).encode() + b"\n"
    messages, read = MessageDecoder(), 65_536
    (message,) = [one for at in range(0, len(line), read) for one in messages.feed(line[at : at + read])]
    listing = parse_listing(message)
    assert len(listing.servers.entries) == LARGE_FLEET_SIZE and listing.addresses[
        f"{name}{LARGE_FLEET_SIZE - 1}"
    ] == loopback(LARGE_FLEET_SIZE - 1)


def test_every_limiter_of_a_large_fleet_follows_one_plan_book() -> None:
    """Most followers are stubs: as many real ones would take two file descriptors each in this process."""

    class FollowerStub:
        """A follower as the publisher holds it."""

        transport = asyncio.Transport()

    async def main() -> None:
        publisher = Publisher(PlanWriter(Store(Disk()), "vadodara"), TOKEN, heartbeat_s=0.05)
        address = await publisher.listen("127.0.0.1", 0)
        others: list[Any] = [FollowerStub() for _ in range(LARGE_FLEET_SIZE - 1)]
        publisher._follower_streams.update(others)
        one = Followed(address)
        await one.until(lambda: one.follower.state is FollowerState.CURRENT)
        assert publisher.follower_count == LARGE_FLEET_SIZE <= serve.MAX_FOLLOWERS
        one.channel.close()
        publisher._follower_streams.difference_update(others)
        await publisher.close()

    asyncio.run(main())


def test_servers_that_were_taken_out_outlast_a_takeover_however_many_and_long_their_names(
    tmp_path: Path,
) -> None:
    """The record must be read back whole. A character beyond ASCII takes six in JSON, the most that any does."""
    folder, names = (
        Folder(str(tmp_path), "test"),
        [f"{n:04d}".ljust(MAX_ID_LENGTH, "\xe9") for n in range(LARGE_FLEET_SIZE)],
    )
    folder.write(RECORD_FILE, json.dumps({"bans": names, "drained": False}))
    assert json.loads(folder.read(RECORD_FILE) or "{}")["bans"] == names


def test_a_takeover_hands_over_a_large_fleet_whole() -> None:
    names = [f"s{number}" for number in range(LARGE_FLEET_SIZE)]
    settings = w.settings(gateways=LARGE_FLEET_SIZE, index=LARGE_FLEET_SIZE - 1)
    before, after = w.World(settings), w.World(settings)
    before.feed(w.servers(*names))
    before.gateway.load_balancer.bans.update(names)
    text, checksum = encode_snapshot(take_snapshot(before.gateway))
    restore_snapshot(after.gateway, after.now, decode_snapshot(text, checksum))
    assert set(after.gateway.load_balancer.servers) == set(names) == after.gateway.load_balancer.bans


def test_a_cluster_of_the_keeper_has_as_many_nodes_as_it_likes() -> None:
    async def main() -> None:
        counter = EngineCounter(parse_engine_url("redis://127.0.0.1:1/"), 1.0)
        nodes = {id(counter._get_node(("127.0.0.1", 1 + number))) for number in range(LARGE_FLEET_SIZE)}
        assert len(nodes) == LARGE_FLEET_SIZE
        counter.close()

    run(main())
