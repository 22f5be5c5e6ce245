"""An upgrade gives a customer on a reservation's plan a full ceiling again."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))
import book
import rig

ACCOUNT = "00000000b4d65521"
LIMITERS = 3
SPREAD = 2  # the customer's requests come through limiters 0 and 1
BURST, RATE = 28.0, 4.8  # of the ceiling of ``business``; a reservation leaves it unchanged
# "a slack of 10% or one of the largest requests, whichever is more" (the settings' ``tolerance``), "wider by what the
# ceiling's rate gives in 150 ms".
SLACK = 3.0 + 0.15 * RATE
# 14 at each of two limiters every 1.5 s are 18.7 a second, inside "up to 4.3 times their quota for long spells": the
# quota with the reservation is 4.38 a second.
AT_ONCE, EVERY = 14, 1.5
TIMEOUT_MS = 2000


async def press(record: rig.Record, port: int, until: list[float]) -> int:
    """Send some requests of the customer at once, again and again; return how many were served."""
    clients, served = [rig.Client(port) for _ in range(AT_ONCE)], 0
    while record.now() < until[0]:
        requests = [
            rig.request_bytes(rig.new_id(), "bag-lookup", ACCOUNT, "business", TIMEOUT_MS, spread=SPREAD)
            for _ in clients
        ]
        began = record.now()
        answers = await asyncio.gather(
            *(client.ask(request, TIMEOUT_MS / 1000 + 0.5) for client, request in zip(clients, requests, strict=True))
        )
        statuses = [status for status, _ in answers]
        served += statuses.count(200)
        record.put(f"sent {AT_ONCE} at {began:.2f} to port {port}: {statuses.count(200)} served, {statuses}")
        await asyncio.sleep(EVERY)
    return served


def lowest_level(arrivals: list[float], record: rig.Record) -> float:
    """Return the lowest level of the ceiling's store: it starts full, and each try takes a unit as it comes whole."""
    level, at, lowest = BURST, arrivals[0], BURST
    for arrived in arrivals:
        level, at = min(BURST, level + RATE * (arrived - at)) - 1, arrived
        if level < lowest:
            lowest = level
            if lowest < 1:
                record.put(f"the ceiling's store falls to {lowest:.2f} at {arrived:.3f}")
    return lowest


async def play(record: rig.Record, processes: rig.Processes, trouble: bool) -> bool:
    discovery, counter = rig.Discovery(), rig.Counter()
    await discovery.start()
    await counter.start()
    servers = [rig.BagServer(f"s{number}", record, work=0.01) for number in range(9)]
    for server in servers:
        await server.start()
        discovery.tell(server.name, server.dial)
    plans = book.Book(record, processes)
    await plans.start()
    await plans.call("assign", f"{ACCOUNT} business --effective +0.3")
    await plans.call("reserve", f"wedding {ACCOUNT} 110 --start +1 --end +60 --fleet-rate 60")
    ports = [rig.free_port() for _ in range(LIMITERS)]

    async def start(index: int, name: str) -> tuple[asyncio.subprocess.Process, int]:
        door, shared = rig.free_port(), processes.folder / f"shared-{index}"
        shared.mkdir(exist_ok=True)
        config = rig.write_config(
            processes.folder, f"n{index}", index, discovery, counter, ports[index], operator=door
        )
        variables = {"LB_CONFIG": str(config), "FAWNSEAM_PLANS_TOKEN": book.TOKEN, "TMPDIR": str(shared)}
        return await processes.start(name, rig.run_command(plans.operators), **variables), door

    started = [await start(index, f"n{index}") for index in range(LIMITERS)]
    for _, door in started:
        await rig.wait_ready(door, "/v1/readyz")
    await asyncio.sleep(2.0)
    until = [record.now() + 16.0]
    pressing = [asyncio.create_task(press(record, ports[index], until)) for index in range(SPREAD)]
    await asyncio.sleep(10.0)
    if trouble:
        new, door = await start(0, "n0-new")
        await rig.wait_ready(door, "/v1/readyz")
        record.put("the new process of limiter 0 says yes; SIGTERM to the old one")
        started[0][0].send_signal(signal.SIGTERM)
        started.append((new, door))
    served = await asyncio.gather(*pressing)
    crashed = [process for process, _ in started[1:] if process.returncode is not None]
    if crashed:
        record.say("a limiter ended by itself")
        return False
    first = dict[str, float]()  # a try counts once, when its first attempt has come whole
    for at, id, _, _ in sorted(row for server in servers for row in server.arrivals):
        first.setdefault(id, at)
    arrivals = sorted(first.values())
    lowest = lowest_level(arrivals, record)
    record.say(f"sent on for the customer: {len(arrivals)} tries; served at each limiter: {served}")
    record.say(f"lowest level of the ceiling's store: {lowest:.2f} units; at least {-SLACK:.2f} is allowed")
    return lowest >= -SLACK


rig.run_case(Path(__file__).parent, play)
