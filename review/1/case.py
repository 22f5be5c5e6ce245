"""In a deployment whose limiters send each other messages, the new process of an upgrade ends with exit code 2."""

from __future__ import annotations

import asyncio
import signal
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))
from world import Discovery, Limiter, Record, Server, free_port, read_head, read_message, request_bytes, run_main, settings

READY_S = 6.0  # the page: the new process has 6 s to say yes
LONGEST_DEADLINE_S = 3.0  # counted as 3 s where it is longer; SIGKILL follows SIGTERM after this and 0.7 s
LIMITERS = 2


class Datagrams(asyncio.DatagramProtocol):
    def __init__(self, receive: Any = None) -> None:
        self.receive = receive

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        if self.receive is not None:
            self.receive(data)


class Messages:
    """What carries datagrams between limiters: from limiter i to `peers_all`, and on to each other limiter j, where they
    arrive from the address that j's `peers` has for i (users/PROTOCOL, "Between limiters")."""

    def __init__(self, listens: list[tuple[str, int]]) -> None:
        self._listens = listens
        self.everyone, self.peers = list[str](), [[""] * len(listens) for _ in listens]
        self.delivered = 0
        self._ends = list[asyncio.DatagramTransport]()

    async def _socket(self, receive: Any = None) -> tuple[Any, str]:
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(lambda: Datagrams(receive), local_addr=("127.0.0.1", 0))
        self._ends.append(transport)
        host, port = transport.get_extra_info("sockname")
        return transport, f"{host}:{port}"

    async def start(self) -> None:
        count = len(self._listens)
        links: dict[tuple[int, int], Any] = {}
        for j in range(count):
            for i in range(count):
                links[j, i], self.peers[j][i] = await self._socket()
        for i in range(count):
            def fan_out(data: bytes, i: int = i) -> None:
                for j in range(count):
                    if j != i and len(data) <= 256:
                        links[j, i].sendto(data, self._listens[j])
                        self.delivered += 1

            _, address = await self._socket(fan_out)
            self.everyone.append(address)

    def close(self) -> None:
        for end in self._ends:
            end.abort()


def hut_settings(index: int) -> dict[str, Any]:
    """The settings of hut-booking-main.toml: messages between limiters, no counter, units settled afterwards."""
    classes = [
        {"aim_s": 1.0, "effect": "idempotent", "group": "all", "hard_limit_s": 4.0, "late_worth": 0.0, "name": "bed-check",
         "streaming": False, "window_s": 1.5, "worth": 1.0},
        {"aim_s": 1.0, "effect": "deduplicated", "group": "all", "hard_limit_s": 2.5, "late_worth": 0.0, "name": "bed-hold",
         "streaming": False, "window_s": 1.5, "worth": 2.0},
        {"aim_s": 0.5, "effect": "at_most_once", "group": "all", "hard_limit_s": 1.5, "late_worth": 0.0,
         "name": "deposit-take", "streaming": False, "window_s": 1.5, "worth": 2.0},
    ]
    plan = {"hard_burst": 0.0, "never_over_rate": 0.0, "tolerance": 0.0, "parallel": 0}
    limits = settings()["limits"] | {"peers": True, "max_attempts": 5, "may_duplicate": False, "max_retry_after_s": 0.5}
    return settings(
        me=index, n_instances=LIMITERS, my_zone="room-1", failure_domains=["room-1", "room-2"], classes=classes,
        limits=limits, layers=["booking-fleet"], kinds=["std-2core", "slow-2core"],
        specifics={"call_price": 0.0, "cost_after": True, "count_wait_s": 0.0, "has_counter": False, "inbox_per_s": 40.0,
                   "max_units": 8, "meter_s": 1.0},
        tariffs=[
            plan | {"name": "basic", "price": 0.72, "quota_rate": 1.6, "store_size": 7.0, "over_worth": 0.1, "over_cost": 0.0},
            plan | {"name": "standard", "price": 1.2, "quota_rate": 5.5, "store_size": 23.0, "over_worth": 0.0, "over_cost": 0.6},
            plan | {"name": "partner", "price": 1.8, "quota_rate": 22.0, "store_size": 44.0, "over_worth": 0.0, "over_cost": 0.5},
        ],
    )


async def call(address: str, method: str, path: str) -> int:
    """Make one call; return the status, 0 for none."""
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode())
            first, _ = await read_head(reader)
            writer.transport.abort()
            return int(first.split(" ")[1])
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0


class Clients:
    """A light load on one limiter: ten requests a second, each on a new connection."""

    def __init__(self, address: tuple[str, int], record: Record) -> None:
        self.address, self.record = address, record
        self.results = list[tuple[float, str]]()  # when it was sent, status or what went wrong

    async def play(self) -> None:
        number = 0
        while True:
            number += 1
            asyncio.ensure_future(self._one(number))
            await asyncio.sleep(0.1)

    async def _one(self, number: int) -> None:
        id, data = request_bytes("bed-check", number % 40 + 1, "partner", 2000, spread=LIMITERS)
        sent = time.monotonic()
        try:
            reader, writer = await asyncio.open_connection(*self.address)
            writer.write(data)
            self.record(f"client sent {id}")
            async with asyncio.timeout(2.5):
                status = (await read_message(reader)).first.split(" ")[1]
            writer.transport.abort()
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            status = type(error).__name__
        self.results.append((sent, status))
        self.record(f"client {id}: {status}")

    def count(self, since: float, until: float) -> dict[str, int]:
        found: dict[str, int] = {}
        for sent, status in self.results:
            if since <= sent < until:
                found[status] = found.get(status, 0) + 1
        return found


async def main(folder: Path, record: Record, trouble: bool) -> int:
    with tempfile.TemporaryDirectory(prefix="fawnseam-review-") as name:
        servers, discovery = [Server(f"s-{n:02}", record, 0.08) for n in range(9)], Discovery()
        for each in (*servers, discovery):
            await each.listener.start()
        for number, each in enumerate(servers):
            each.kind, each.headers = ("std-2core", "slow-2core")[number % 2], "X-Units-Charged: 1\r\n"
        discovery.hosts = {each.name: each.entry(zone=f"room-{n % 2 + 1}") for n, each in enumerate(servers)}
        listens = [("127.0.0.1", free_port()) for _ in range(LIMITERS)]
        messages = Messages(listens)
        await messages.start()
        limiters = list[Limiter]()
        for index in range(LIMITERS):
            work = Path(name) / f"n{index}"
            work.mkdir()
            limiters.append(Limiter(work, f"n{index}", {
                "name": f"n{index}", "listen": f"127.0.0.1:{free_port()}", "discovery": discovery.listener.address,
                "operator": f"127.0.0.1:{free_port()}", "seed": f"8c1f30d27a5be96{index}",
                "limits": {"cores": 0.4, "memory_mb": 192, "sockets": 1024}, "known": discovery.whole(),
                "peer_listen": f"127.0.0.1:{listens[index][1]}", "peers": messages.peers[index],
                "peers_all": messages.everyone[index], "settings": hut_settings(index),
            }))
        started = list(limiters)
        load = None
        try:
            for limiter in limiters:
                await limiter.start()
            for limiter in limiters:
                await limiter.ready()
            old = limiters[0]
            clients = Clients(old.address, record)
            load = asyncio.ensure_future(clients.play())
            await asyncio.sleep(4.0)
            before = time.monotonic()
            broken = False
            if trouble:
                # The same file but for the second address, the same name and TMPDIR.
                new = Limiter(old.folder, old.name, old.config | {"operator": f"127.0.0.1:{free_port()}", "known": discovery.whole()})
                new.path, new.log = old.folder / "new.json", old.folder / "new.log"
                started.append(new)
                await new.start()
                record.say("upgrade: the platform started `run` once more beside the old process")
                yes = None
                while time.monotonic() < before + READY_S and yes is None and new.exit_code is None:
                    if await call(new.config["operator"], "GET", "/v1/readyz") == 200:
                        yes = time.monotonic() - before
                    else:
                        await asyncio.sleep(0.1)
                record.say(f"new process: yes after {yes} s, exit code {new.exit_code}, "
                           f"log: {new.log.read_text().strip().splitlines()[-1:]}")
                if yes is None:
                    await asyncio.sleep(max(0.0, before + READY_S - time.monotonic()))
                old.signal(signal.SIGTERM)
                record.say("SIGTERM to the old process")
                ended = time.monotonic()
                while old.exit_code is None and time.monotonic() < ended + LONGEST_DEADLINE_S + 0.7:
                    await asyncio.sleep(0.05)
                record.say(f"old process: exit code {old.exit_code} {time.monotonic() - ended:.2f} s after SIGTERM")
                await old.kill()
                broken = yes is None or new.exit_code is not None
            else:
                await asyncio.sleep(READY_S)
                broken = old.exit_code is not None
            after = time.monotonic()
            await asyncio.sleep(4.0)
            until = time.monotonic()
            health = await call(f"{old.address[0]}:{old.address[1]}", "GET", "/healthz")
            await asyncio.sleep(2.6)
            record.say(f"messages between limiters: {messages.delivered}; healthz at the clients' address: {health or 'none'}")
            record.say(f"clients before: {clients.count(0, before)}, meanwhile: {clients.count(before, after)}, "
                       f"in the 4 s after it: {clients.count(after, until)}")
            # The rule as written: the new process says yes within 6 s, and does not end. What clients meet is only shown.
            return 1 if broken else 0
        finally:
            if load is not None:
                load.cancel()
            for limiter in started:
                await limiter.kill()
                if limiter.log.exists():
                    record(f"log of {limiter.log.name}: {limiter.log.read_text()[-1500:]}")
            for each in (*servers, discovery):
                each.listener.close()
            messages.close()


run_main(main, HERE)
