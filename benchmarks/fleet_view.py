"""Benchmarks of the view: ``python -m benchmarks.fleet_view WHAT [--sizes 8 40 200] [--seeds N] [--jobs N]``.

    detect   seconds from a kill until every survivor holds the member dead, with the stated bound
    mass     the same with 30 % of the members killed at once
    heal     seconds from the end of a partition (5 to 3) until all digests agree, with the stated bound
    settle   the same until every other member has reported its digest to each member
    false    deaths of running members: runs of 60 s with 5 % loss and one member paused for 5 s
    load     datagrams and bytes sent by a member a second, compared with all-to-all heartbeats
    cpu      processor time of one process with a view of 200 on loopback sockets, compared with one without

All but ``cpu`` run the real detectors and datagrams in virtual time. Exit code 1 if a bound is exceeded, a running
member is held dead, or the load differs by more than 20 % between sizes.
"""

from __future__ import annotations

import argparse
import asyncio
import gc
import multiprocessing
import socket
import statistics
import subprocess
import sys
import time
from collections.abc import Callable
from random import Random

import uvloop

from benchmarks.fleet_bed import EPOCH, KEY, SimulatedFleet, address
from cypresspulley.fleet import timing, wire
from cypresspulley.fleet.limiter import FleetMember
from cypresspulley.fleet.options import FleetOptions
from cypresspulley.fleet.records import Member, MemberState
from cypresspulley.histories.writer import NoHistory

PERIOD = 0.5  # seconds
LOSS = 0.05
FLAT = 0.2
Task = tuple[int, int, float]  # size, seed, share of datagrams lost


def started_fleet(size: int, seed: int, loss: float = 0.0) -> SimulatedFleet:
    fleet = SimulatedFleet(seed, PERIOD, loss=loss)
    fleet.start_members(size)
    fleet.run(2 * PERIOD + fleet.rng.random())
    return fleet


def detect(task: Task) -> float:
    """Return the seconds taken; infinity beyond three times the bound."""
    size, seed, loss = task
    fleet = started_fleet(size, seed, loss)
    victim = f"l{Random(seed).randrange(size)}"
    fleet.kill(victim)
    return _until(
        fleet, lambda: fleet.states(victim) == {MemberState.DEAD}, timing.detect_bound(size, PERIOD)
    )


def mass(task: Task) -> float:
    size, seed, loss = task
    fleet = started_fleet(size, seed, loss)
    gone = set(Random(seed).sample(sorted(fleet.hosts), size * 3 // 10))
    for name in gone:
        fleet.kill(name)
    duration = _until(fleet, fleet.agree, timing.detect_bound(size, PERIOD))
    return duration if {change.member.name for change in fleet.deaths()} == gone else float("inf")


def heal(task: Task) -> float:
    return _healed(task, SimulatedFleet.agree)


def _healed(task: Task, done: Callable[[SimulatedFleet], bool]) -> float:
    """Heal a partition that lasts 20 s, or until each side holds the other one dead; return the seconds taken."""
    size, seed, loss = task
    fleet = started_fleet(size, seed, loss)
    few = set(Random(seed).sample(sorted(fleet.hosts), size * 3 // 8))
    fleet.cuts.append(lambda a, b: (a in few) != (b in few))
    fleet.run(fleet.now + max(20.0, timing.detect_bound(size, PERIOD)))
    fleet.cuts.clear()
    return _until(fleet, lambda: done(fleet), timing.settle_bound(size, PERIOD))


def settle(task: Task) -> float:
    """Like ``heal``, until each member knows that all digests agree."""
    return _healed(
        task,
        lambda fleet: fleet.agree() and all(host.detector.is_settled() for host in fleet.live()),
    )


def _until(fleet: SimulatedFleet, done: Callable[[], bool], bound: float) -> float:
    began = fleet.now
    return fleet.now - began if fleet.run(began + 3 * bound, done) else float("inf")


def false_deaths(task: tuple[int, int, float]) -> tuple[int, int, int]:
    """Return the numbers of deaths, of suspicions of the paused member, and of suspicions of others."""
    size, seed, length = task
    fleet = SimulatedFleet(seed, PERIOD, loss=LOSS)
    fleet.start_members(size)
    paused = f"l{Random(seed).randrange(size)}"
    begin = 5 + (length - 20) * Random(seed).random()
    fleet.at(begin, lambda: fleet.pause(paused))
    fleet.at(begin + 5, lambda: fleet.resume(paused))
    fleet.run(length)
    suspected = [
        change.member.name for change in fleet.changes if change.member.state is MemberState.SUSPECTED
    ]
    return len(fleet.deaths()), suspected.count(paused), len(suspected) - suspected.count(paused)


def load(size: int, rows: bool) -> tuple[float, float, float, float]:
    """Return the datagrams and bytes sent by a member a second, and the median and maximum age of rows in seconds.

    With ``rows`` each member publishes a row of 120 bytes each period; without, the fleet is idle.
    """
    fleet = started_fleet(size, 1)

    def publish() -> None:
        for host in fleet.live():
            host.detector.view.publish(fleet.now, "lanes", repr(fleet.now).encode().ljust(120))
        fleet.at(fleet.now + PERIOD, publish)

    if rows:
        publish()
    fleet.run(15)
    began, before = fleet.now, _sent(fleet)
    fleet.run(began + 20)
    after = _sent(fleet)
    held = [row.age for host in fleet.live()[:20] for row in host.detector.view.rows(fleet.now, "lanes")]
    ages = (statistics.median(held), max(held)) if held else (0.0, 0.0)
    return (after[0] - before[0]) / 20 / size, (after[1] - before[1]) / 20 / size, *ages


def _sent(fleet: SimulatedFleet) -> tuple[int, int]:
    counts = [host.detector.counts for host in fleet.live()]
    return sum(count["sent"] for count in counts), sum(count["sent bytes"] for count in counts)


def heartbeat_load(size: int) -> tuple[float, float]:
    """Return the load of the baseline: each member sends its record to every other one each period."""
    codec, sent, total = wire.Codec("bed", KEY), 0, 0
    for sequence in range(4):
        me = wire.encode_record(
            wire.MemberRecord("l1", round(EPOCH * 1000), 0, MemberState.ALIVE, "a", address("l1"))
        )
        for _ in range(size - 1):
            data = codec.encode(
                (sequence, round(EPOCH * 1000), 0, 0, 0), me, wire.encode_record(wire.Gossip()), [], []
            )
            sent, total = sent + 1, total + len(data)
    return sent / (4 * PERIOD), total / (4 * PERIOD)


# Processor time on sockets


def _port() -> int:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


def _member(name: str, port: int, seed: int) -> FleetMember:
    seeds = (f"127.0.0.1:{seed}",)
    options = FleetOptions("bench", ("127.0.0.1", port), f"127.0.0.1:{port}", seeds, PERIOD, KEY)
    return FleetMember(options, name, "a", port, time.monotonic, time.time, NoHistory())


async def _run_measured(port: int, seed: int, seconds: float) -> None:
    """Run the measured process, idle or with a member (``port`` > 0), and print its milliseconds a second."""
    one = _member("one", port, seed) if port else None
    if one is not None:
        await one.start()
        await asyncio.sleep(20)  # until the join and the digest checks after it are over
    began = time.process_time()
    await asyncio.sleep(seconds)
    used = (time.process_time() - began) / seconds * 1000
    print(f"{used:.3f} {len(one.view.members()) if one else 0}")


async def _measure_cpu(size: int, seconds: float) -> None:
    ports = [_port() for _ in range(size)]
    fleet = [_member(f"l{n}", port, ports[0]) for n, port in enumerate(ports[1:])]
    life = round(time.time() * 1000)
    known = [
        Member(one.view.local_name, life, 0, MemberState.ALIVE, "a", f"127.0.0.1:{p}")
        for one, p in zip(fleet, ports[1:], strict=True)
    ]
    for one in fleet:  # they know each other from the start, as only the joining member is measured
        for member in known:
            (one.detector.view.store if member.name == one.view.local_name else one.detector.view.merge)(
                0.0, member
            )
        await one.start()
    for port in (0, ports[0]):
        command = [sys.executable, "-m", "benchmarks.fleet_view", "one", "--port", str(port)]
        command += ["--seed-port", str(ports[1]), "--seconds", str(seconds)]
        process = await asyncio.create_subprocess_exec(*command, stdout=subprocess.PIPE)
        out, _ = await process.communicate()
        used, members = out.decode().split()
        print(f"{'a view of ' + members if port else 'none':>14}: {used} ms of processor time a second")
    for one in fleet:
        await one.close()


# Command line


def _print_durations(name: str, sizes: list[int], seeds: int, jobs: int, loss: float) -> bool:
    measurements: dict[str, Callable[[Task], float]] = {
        "detect": detect,
        "mass": mass,
        "heal": heal,
        "settle": settle,
    }
    bounds = {"heal": timing.agree_bound, "settle": timing.settle_bound}
    measure, bound = measurements[name], bounds.get(name, timing.detect_bound)
    print(
        f"{name}: seconds at a period of {PERIOD:g} s\n{'members':>8}{'plays':>7}{'median':>9}{'worst':>9}{'bound':>9}"
    )
    within_bounds = True
    with multiprocessing.Pool(jobs) as pool:
        for size in sizes:
            runs = min(seeds, max(3, 4_000 // size))
            durations = pool.map(measure, [(size, seed, loss) for seed in range(runs)], chunksize=1)
            limit = bound(size, PERIOD)
            within_bounds = within_bounds and max(durations) <= limit
            print(
                f"{size:8}{runs:7}{statistics.median(durations):9.2f}{max(durations):9.2f}{limit:9.2f}",
                flush=True,
            )
    return within_bounds


def _print_false_deaths(size: int, first: int, seeds: int, jobs: int, length: float) -> bool:
    with multiprocessing.Pool(jobs, initializer=gc.disable, maxtasksperchild=20) as pool:
        found = list(pool.imap_unordered(false_deaths, [(size, first + n, length) for n in range(seeds)]))
    deaths, paused, others = (sum(one[n] for one in found) for n in range(3))
    print(
        f"{seeds} seeds from {first} of {length:g} s, {size} members, {LOSS:.0%} lost, one paused 5 s: {deaths} deaths;"
    )
    print(f"suspicions held of the paused one {paused}, of others {others}")
    return deaths == 0 and paused > 0


def _print_load(sizes: list[int]) -> bool:
    flat = True
    for rows in (False, True):
        print("each member with a new row a period" if rows else "at rest")
        head = f"{'members':>8}{'datagrams/s':>13}{'bytes/s':>9}{'of ' + str(sizes[0]):>8}"
        print(f"{head}      everyone to everyone{'    age of rows: median, worst' if rows else ''}")
        first = 0.0
        for size in sizes:
            datagrams, total, median_age, max_age = load(size, rows)
            first = first or total
            each = heartbeat_load(size)
            flat = flat and (rows or abs(total / first - 1) <= FLAT)
            told = f"{each[0]:11.1f} /s{each[1]:11.0f} B/s"
            ages = f"{median_age:14.2f} s{max_age:8.2f} s" if rows else ""
            print(f"{size:8}{datagrams:13.2f}{total:9.0f}{total / first:8.2f}{told}{ages}", flush=True)
    return flat


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("what", choices=("detect", "mass", "heal", "settle", "false", "load", "cpu", "one"))
    parser.add_argument(
        "--sizes", type=int, nargs="+", help="members; default 8 40 200, of false 40, of cpu 200"
    )
    parser.add_argument("--seeds", type=int, default=20, help="at most so many plays a size")
    parser.add_argument("--first", type=int, default=0, help="the first seed of false")
    parser.add_argument("--length", type=float, default=60.0, help="seconds of each play of false")
    parser.add_argument(
        "--loss", type=float, default=0.0, help="share of datagrams lost, of detect, mass, heal, settle"
    )
    parser.add_argument("--jobs", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20.0, help="of cpu's measuring")
    parser.add_argument("--port", type=int, default=0, help=argparse.SUPPRESS)
    parser.add_argument("--seed-port", type=int, default=0, help=argparse.SUPPRESS)
    args = parser.parse_args()
    sizes = args.sizes or {"false": [40], "cpu": [200]}.get(args.what, [8, 40, 200])
    match args.what:
        case "false":
            within_bounds = _print_false_deaths(sizes[0], args.first, args.seeds, args.jobs, args.length)
        case "load":
            within_bounds = _print_load(sizes)
        case "cpu":
            uvloop.run(_measure_cpu(sizes[0], args.seconds))
            within_bounds = True
        case "one":
            uvloop.run(_run_measured(args.port, args.seed_port, args.seconds))
            within_bounds = True
        case _:
            within_bounds = _print_durations(args.what, sizes, args.seeds, args.jobs, args.loss)
    return 0 if within_bounds else 1


if __name__ == "__main__":
    sys.exit(main())
