"""Clients leave while connections to servers come up late: use is exported for tries that no server was ever sent."""

import asyncio
import contextlib
import json
import socket
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))
import book
import rig

ACCOUNT = "00000000b4d65521"
SERVERS, LATE = 9, 3  # "a third of the connections to servers come up late (up to 1.5 s)"
LATE_SECONDS = 1.2
BURSTS = 3
BURST = 14  # clients that ask at once and leave: what one limiter may let in at once
PATIENCE = 0.15  # seconds after which they leave
RESERVED = 50
WINDOW = 24.0  # seconds of the reservation, which holds all bursts
SETTLED = 15.0  # seconds after its end until it is settled (docs/operators/plans.md)


class LateServer:
    """A server's address where connections do not come up for a while: its accept queue is full."""

    def __init__(self) -> None:
        self._sock = socket.socket()
        self._sock.bind((rig.HOST, 0))
        self._sock.listen(0)
        self.port = self._sock.getsockname()[1]
        self._held = list[socket.socket]()

    def fill(self) -> None:
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((rig.HOST, self.port))
            self._held.append(filler)

    def release(self) -> socket.socket:
        """Let connections come up again; return the listening socket."""
        for filler in self._held:
            filler.close()
        self._held.clear()
        self._sock.setblocking(False)
        with contextlib.suppress(BlockingIOError):
            while True:
                self._sock.accept()[0].close()
        return self._sock


async def ask_and_leave(record: rig.Record, port: int, stay: float) -> int:
    """Ask once and go away after ``stay`` seconds; return the status, 0 where the client left before the answer."""
    request = rig.request_bytes(rig.new_id(), "bag-lookup", ACCOUNT, "business", 4000, spread=2)
    status, _ = await rig.Client(port).ask(request, stay)
    record.put(f"client: status {status or 'none, left'}")
    return status


async def play(record: rig.Record, processes: rig.Processes, trouble: bool) -> bool:
    discovery, counter = rig.Discovery(), rig.Counter()
    await discovery.start()
    await counter.start()
    servers = [rig.BagServer(f"s{number}", record) for number in range(SERVERS)]
    late = [LateServer() for _ in range(LATE if trouble else 0)]
    for number, server in enumerate(servers):
        if number < len(late):
            discovery.tell(server.name, f"{rig.HOST}:{late[number].port}")
        else:
            await server.start()
            discovery.tell(server.name, server.dial)
    plans = book.Book(record, processes)
    await plans.start()
    await plans.call("assign", f"{ACCOUNT} business --effective +0.3")
    await plans.call("reserve", f"wedding {ACCOUNT} {RESERVED} --start +1 --end +{WINDOW + 1:g} --fleet-rate 60")
    port = rig.free_port()
    config = rig.write_config(processes.folder, "n0", 0, discovery, counter, port)
    variables = {"LB_CONFIG": str(config), "FAWNSEAM_PLANS_TOKEN": book.TOKEN}
    await processes.start("n0", rig.run_command(plans.operators), **variables)
    await rig.wait_ready(port)
    await asyncio.sleep(7.0)
    statuses = list[int]()
    for number in range(BURSTS):
        for each in late:
            each.fill()
        await asyncio.sleep(0.2)
        record.put(f"burst {number} begins")
        statuses += await asyncio.gather(*(ask_and_leave(record, port, PATIENCE) for _ in range(BURST)))
        await asyncio.sleep(LATE_SECONDS - 0.2 - PATIENCE)
        for each in late:
            each.release()
        await asyncio.sleep(3.0)
    for server, each in zip(servers, late, strict=False):
        await server.adopt(each.release())
    await asyncio.sleep(WINDOW + SETTLED)
    show = await processes.start("show", f"exec {book.PLANS} show {processes.folder}/book --json")
    await show.wait()
    text = processes.log_of("show")
    reservation = next(each for each in json.loads(text)["reservations"] if each["key"] == "wedding")
    record.put(json.dumps(reservation))
    ran = len({id for server in servers for _, id, _, _ in server.arrivals})
    record.say(f"clients: {statuses.count(200)} served, {statuses.count(429)} refused, {statuses.count(0)} left")
    record.say(f"tries that came whole to a server: {ran}; use exported and drawn: {reservation['drawn']:g} units")
    return abs(reservation["drawn"] - ran) < 1e-6


rig.run_case(Path(__file__).parent, play)
