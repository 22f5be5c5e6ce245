"""Tests that new settings reach what limiters share: counter calls, messages, and values divided by their number."""

from __future__ import annotations

import asyncio
import json
import signal
import socket
from dataclasses import replace
from pathlib import Path

import pytest

from cypresspulley import interface as api
from tests import world as w
from tests.loopback import Origin, ask, listening, run
from tests.ports import free_port
from tests.test_program import WIRE_SETTINGS, config, started

PLAN = api.Plan("small", rate=2.0, burst=8.0, open_limit=4)


def settings(**changes: object) -> api.Settings:
    base = w.settings(plans=(PLAN,), gateways=3, has_counter=False)
    return replace(base, **changes)  # type: ignore[arg-type]


def test_the_decisions_follow_the_number_of_limiters_and_the_ways_between_them() -> None:
    """The result equals that of a gateway started with the new settings; the learnt counter rate is scaled."""
    world = w.World(settings())
    world.feed(w.servers("s0", "s1"))
    world.feed(w.request(1, plan="small"))
    world.serve()
    quotas = world.gateway.quotas
    (account,) = quotas.accounts.values()
    rate = quotas.counter_calls.rate
    world.feed(api.SettingsChanged(settings(gateways=200, has_counter=True)))
    assert quotas.counter_calls.rate == pytest.approx(rate * 3 / 200)
    assert (
        quotas.counter_calls.min_rate == w.World(settings(gateways=200)).gateway.quotas.counter_calls.min_rate
    )
    assert account.slots is not None, "what is out is counted"
    world.feed(api.SettingsChanged(settings(gateways=200)))
    assert account.slots is None
    world.feed(api.SettingsChanged(settings(gateways=200, may_message_peers=True, inbox_rate=40.0)))
    assert quotas.usage_broadcast is not None
    interval = quotas.usage_broadcast.interval
    world.feed(api.SettingsChanged(settings(gateways=400, may_message_peers=True, inbox_rate=40.0)))
    assert quotas.usage_broadcast.interval == pytest.approx(interval * 399 / 199)
    world.feed(api.SettingsChanged(settings(gateways=400)))
    assert quotas.usage_broadcast is None


def test_a_reload_brings_the_counter_and_the_other_limiters(tmp_path: Path) -> None:
    async def main() -> None:
        called = asyncio.Event()

        async def count(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while line := await reader.readline():
                if line.startswith(b"tally"):
                    called.set()
                writer.write(b"pong\r\n" if line.startswith(b"ping") else b"ok 1\r\n")

        origin = Origin()
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as peer_socket:
            peer_socket.bind(("127.0.0.1", 0))
            peer_socket.setblocking(False)
            address = "{}:{}".format(*peer_socket.getsockname())
            async with listening(origin.talk) as dial, listening(count) as counter:
                raw = config(dial)
                async with started(raw, tmp_path) as program:
                    capped = {"name": "basic", "quota_rate": 1.0, "store_size": 2.0}
                    counted = {"tariffs": [capped], "specifics": {"has_counter": True, "count_wait_s": 0.05}}
                    new = raw | {"counter": counter, "settings": WIRE_SETTINGS | counted}
                    (tmp_path / "config.json").write_text(json.dumps(new))
                    program.process.send_signal(signal.SIGHUP)
                    reader, writer = await program.connect()
                    while not called.is_set():
                        writer.write(ask())
                        head = await reader.readuntil(b"\r\n\r\n")
                        await reader.readexactly(2 * (b" 200 " in head))
                    limits = WIRE_SETTINGS["limits"] | {"peers": True}
                    off = {"has_counter": False, "count_wait_s": 0.05, "inbox_per_s": 40.0}
                    told = {"limits": limits, "specifics": off}
                    new = raw | {"settings": WIRE_SETTINGS | told}
                    new |= {
                        "peer_listen": f"127.0.0.1:{free_port()}",
                        "peers": [address],
                        "peers_all": address,
                    }
                    (tmp_path / "config.json").write_text(json.dumps(new))
                    program.process.send_signal(signal.SIGHUP)
                    assert await asyncio.get_running_loop().sock_recv(peer_socket, 256)
                    writer.close()

    run(main())
