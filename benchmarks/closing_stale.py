"""Stale answers after a close: ``python -m benchmarks.closing_stale [--seeds 1000] [--jobs 2]``.

Fleets of 3 to 8 limiters in virtual time (``tests/closing/world.py``): clocks off within the bound, datagrams late and
lost, late ticks, pauses over closings with requests in the buffer, cuts of one and both ways, limiters killed and
started again, clocks that step or run, slow answers, calendars that change 8 to 15 s ahead, changes of accounts at any
limiter, purges by hand. Each kept answer that is served is held against what is true. Beside it the same days with
limiters that each run their own timer, as exact as a process's can be, and gossip calendars in the same way.

Prints for both: answers served from what is kept, how many were stale after a close, a change, a purge; and for
closing: closings that were told twice or not at all, the time between the first and the last limiter, the share of time
for which keeping was off on account of doubt, and on calm days the share of lookups that no server was asked for. Exit
code 1 where closing served anything stale or told a closing twice or not, or the baseline served nothing stale.
With ``--mutants``: the limiter with one of its guards taken out, each over days until one convicts it.
"""

from __future__ import annotations

import argparse
import asyncio
import math
import sys
import time as machine
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from datetime import UTC, datetime, time
from functools import partial

from cypresspulley.closing.cache import AnswerCache, CachedAnswer, CacheKey, SendStamp
from cypresspulley.closing.calendar import Calendar, Place
from cypresspulley.closing.calendar_store import decode_calendar, encode_calendar
from cypresspulley.closing.limiter import ClosingCache
from cypresspulley.closing.options import Options
from cypresspulley.closing.row import LimiterRow, decode_row, encode_row
from cypresspulley.histories.events import Kind
from cypresspulley.operators import OperatorsError
from tests.closing.mutants import MUTANTS, applied
from tests.closing.world import BEGIN, Clients, Limiter, RecordedHistory, Truth, View, World

BOUND, LEASE = 0.25, 4.0
SECONDS = 40.0  # of a day
QUIET = 12.0  # seconds of its end, without faults
ACCOUNTS = {f"{0x1000 + n:016x}": ("v", "w")[n % 2] for n in range(4)}
DENSE = 0.02  # seconds between two lookups of one limiter, round a closing
SPARSE = 0.1  # otherwise
PROBE = 0.01  # seconds between two looks at whether a limiter would serve what is old
ROUND = 0.6  # seconds on either side of a closing


class OwnTimer:
    """The baseline: what is kept goes when this process's own timer says so; calendars are taken as they come."""

    def __init__(
        self, options: Options, view: View, clock: Callable[[], float], wall: Callable[[], float], history: RecordedHistory,
        named: int,
    ) -> None:  # fmt: skip
        self._view, self._clock, self._wall, self._calendar = view, clock, wall, options.calendar
        self._keep = AnswerCache(options.most_answers, options.most_bytes, options.keep_seconds)
        self._next = dict[str, float]()  # by place: when its timer fires, by the clock that never steps
        self._looked = -math.inf

    def initialize(self) -> None:
        self.announce(self._calendar)
        self.poll()

    def announce(self, calendar: Calendar) -> None:
        """Take a calendar, and say so."""
        self._calendar = calendar
        digest = bytes.fromhex(self._view.offer(encode_calendar(calendar)))
        self._view.publish(
            "closing", encode_row(LimiterRow(0, 0, b"12345678", calendar.version, digest, 0, 0, b"", b""))
        )
        now, wall = self._clock(), self._wall()
        for place in calendar.places:
            found = calendar.timeline(place).closings_between(wall, wall + 2 * 86_400)
            self._next[place] = now + found[0][1] - wall if found else math.inf

    def poll(self) -> None:
        for row in self._view.rows(self._clock(), "closing"):
            said = decode_row(row.body)
            if said is not None and said.calendar_version > self._calendar.version:
                body = self._view.document(said.calendar_digest.hex())
                if body is None:
                    self._view.want(said.calendar_digest.hex())
                else:
                    self.announce(decode_calendar(body))
        self._fire()
        self._looked = self._clock()

    def _fire(self) -> None:
        now = self._clock()
        for place, at in self._next.items():
            if now >= at:
                for account, home in self._calendar.accounts.items():
                    if home == place:
                        self._keep.purge(account, -math.inf, now)
                        self._keep.begin_write(account)
                        self._keep.end_write(account, -math.inf, now)
                wall = self._wall()
                later = self._calendar.timeline(place).closings_between(
                    max(wall, wall + at - now), wall + 2 * 86_400
                )
                self._next[place] = now + later[0][1] - wall if later else math.inf

    def find_answer(self, id: str, account: str, key: CacheKey) -> tuple[CachedAnswer, float] | None:
        if self._clock() - self._looked < 0.15:
            self._fire()  # timers fire on time; only who has just woken reads its buffers before them
        found = self._keep.get(key, 0, self._clock())
        return None if found is None else (found, 0.0)

    def stamp_lookup(self, account: str) -> SendStamp | None:
        return SendStamp(self._clock(), self._wall(), 0)

    def store_answer(
        self, account: str, key: CacheKey, stamp: SendStamp, headers: bytes, body: bytes
    ) -> None:
        self._keep.put(key, CachedAnswer(account, 0, stamp.mono, stamp.wall, headers, body), self._clock())

    def begin_write(self, account: str) -> None:
        self._keep.begin_write(account)

    def end_write(self, account: str, reached_server: bool, is_finished: bool) -> None:
        self._keep.end_write(account, self._clock(), self._clock())


def calendar(version: int, in_force: float, closes: dict[str, list[float]]) -> Calendar:
    """Two places, one of them in another zone, each day with the same closings."""
    zones = {"v": ("Etc/UTC", 0.0), "w": ("Asia/Kolkata", 5.5 * 3600)}
    places = dict[str, Place]()
    for name, (zone, east) in zones.items():
        times = [datetime.fromtimestamp(at + east, UTC).time() for at in closes[name]]
        day: tuple[time, ...] = tuple(sorted(times))
        places[name] = Place(name, zone, (day,) * 7)
    return Calendar(version, in_force, places, ACCOUNTS)


@dataclass
class Told:
    """Of one day, or of all."""

    asked: int = 0
    hits: int = 0
    stale: dict[str, int] = field(default_factory=dict)
    twice: int = 0
    lost: int = 0
    closings: int = 0  # that were to be told, over limiters
    up: float = 0.0  # limiter seconds
    doubted: float = 0.0
    causes: dict[str, float] = field(default_factory=dict)
    spread: float = 0.0  # worst, between the first and the last limiter that is sure, of giving up the old
    overlap: float = -math.inf  # worst, from the first new answer anywhere to the last old one anywhere
    purges: list[float] = field(default_factory=list)  # seconds to a yes
    refused: int = 0  # purges that got no yes
    examples: list[str] = field(default_factory=list)

    def add(self, other: Told) -> None:
        self.asked, self.hits = self.asked + other.asked, self.hits + other.hits
        self.twice, self.lost, self.closings = (
            self.twice + other.twice,
            self.lost + other.lost,
            self.closings + other.closings,
        )
        self.up, self.doubted, self.refused = (
            self.up + other.up,
            self.doubted + other.doubted,
            self.refused + other.refused,
        )
        self.spread, self.overlap = max(self.spread, other.spread), max(self.overlap, other.overlap)
        self.purges += other.purges
        self.examples = (self.examples + other.examples)[:5]
        for mine, theirs in ((self.stale, other.stale),):
            for name, count in theirs.items():
                mine[name] = mine.get(name, 0) + count
        for name, seconds in other.causes.items():
            self.causes[name] = self.causes.get(name, 0.0) + seconds


class Day:
    """One seed's day."""

    def __init__(self, seed: int, own_timer: bool, calm: bool) -> None:
        self.own_timer, self.calm = own_timer, calm
        self.world = World(seed, configured_limiters=1, make_cache=OwnTimer if own_timer else ClosingCache)
        rng = self.rng = self.world.rng
        self.count = self.world.configured_limiters = rng.randint(3, 8)
        self.world.loss_share = 0.0 if calm else rng.choice((0.0, 0.02, 0.1))
        first = BEGIN + rng.uniform(10, 14)
        self.closes = {
            "v": [float(int(first)), float(int(first) + rng.randint(9, 14))],
            "w": [float(int(first))],
        }
        if rng.random() < 0.5:
            self.closes["w"].append(float(int(first) + rng.randint(2, 12)))
        usual = calendar(1, BEGIN - 86_400, self.closes)
        self.options = Options(usual, frozenset({"lookup"}), "", BOUND, LEASE)
        self.truth = Truth(
            {account: sorted(int(at) for at in self.closes[place]) for account, place in ACCOUNTS.items()}
        )
        self.clients = Clients(self.world, self.truth, LEASE + 0.3)
        self.told, self.changed = Told(), False
        self.old = dict[
            tuple[float, str], dict[str, float]
        ]()  # by closing, account and limiter: last old answer
        self.until = dict[
            tuple[float, str], dict[str, float]
        ]()  # by closing, place, limiter: when it would still serve
        self.new = dict[tuple[float, str], float]()  # by closing and account: first answer of after it
        self.records = list[tuple[Limiter, RecordedHistory]]()
        self.faulted = dict[str, list[tuple[float, float]]]()
        self.clients.on_hit = self._watch
        self.waiting = list[tuple[float, str, asyncio.Task[tuple[str, ...]]]]()
        for number in range(self.count):
            limiter = self.world.add(
                f"n{number}", self.options, rng.uniform(-1, 1) * (0.1 if calm else 0.4) * BOUND
            )
            self.records.append((limiter, limiter.history))
            self._lookups(limiter)
            if not own_timer:
                for closing in {*self.closes["v"], *self.closes["w"]}:
                    self.world.call_at(closing - 2 * BOUND, partial(self._probe, limiter, closing))
        self._changes()
        if not calm:
            self._faults()

    def _probe(self, limiter: Limiter, closing: float) -> None:
        """Up to which moment a limiter that is sure would serve an old answer."""
        now, place = self.world.now, "v" if closing in self.closes["v"] else "w"
        account = next(account for account, home in ACCOUNTS.items() if home == place)
        if (
            limiter.is_running
            and now >= limiter.paused_until
            and now < closing + BOUND
            and isinstance(limiter.cache, ClosingCache)
        ):
            generation = limiter.cache.generation(account)
            if generation is not None and now < closing:
                self.until.setdefault((closing, place), {})[limiter.name] = now
            if limiter.cache.bypass_reason:
                self.until.get((closing, place), {}).pop(limiter.name, None)
                return  # it gave up for another reason
            self.world.call_at(now + PROBE, partial(self._probe, limiter, closing))

    # What clients do.

    def _watch(self, limiter: Limiter, account: str, made: float) -> None:
        now = self.world.now
        for closing in self.closes[ACCOUNTS[account]]:
            if abs(now - closing) < 2.0 and made < closing:
                self.old.setdefault((closing, account), {})[limiter.name] = now
            elif abs(now - closing) < 2.0:
                self.new.setdefault((closing, account), now)

    def _lookups(self, limiter: Limiter) -> None:
        now, rng = self.world.now, self.rng
        account = rng.choice(list(ACCOUNTS))
        slow = rng.uniform(0.3, 2.0) if rng.random() < 0.05 else None
        self.clients.lookup(limiter, account, f"/lookup/{rng.randint(1, 2)}", slow)
        near = any(abs(now - at) < ROUND for at in self.truth.closings[account])
        self.world.call_at(now + (DENSE if near else SPARSE), lambda: self._lookups(limiter))

    def _changes(self) -> None:
        if self.world.now > BEGIN + 1 and not self.own_timer:
            limiter = self.rng.choice(list(self.world.limiters.values()))
            self.clients.write(limiter, self.rng.choice(list(ACCOUNTS)), self.rng.uniform(0.02, 0.5))
        self.world.call_at(self.world.now + self.rng.uniform(0.5, 2.0), self._changes)

    def _purge(self) -> None:
        limiter, account = (
            self.rng.choice(list(self.world.limiters.values())),
            self.rng.choice(list(ACCOUNTS)),
        )
        if (
            limiter.is_running
            and self.world.now >= limiter.paused_until
            and isinstance(limiter.cache, ClosingCache)
        ):
            task = asyncio.get_running_loop().create_task(limiter.cache.purge(account))
            self.waiting.append((self.world.now, account, task))

    # What goes wrong.

    def _faults(self) -> None:
        rng, world = self.rng, self.world
        for _ in range(rng.randint(1, 4)):
            at = BEGIN + rng.uniform(4, SECONDS - QUIET - 1)
            if rng.random() < 0.5:  # faults and closings like each other's company
                at = rng.choice(self.closes["v"]) + rng.uniform(-4, 1)
            world.call_at(
                at, rng.choice((self._pause, self._cut, self._one_way, self._kill, self._step, self._run))
            )
        if rng.random() < 0.5:
            world.call_at(BEGIN + rng.uniform(5, 12), self._tell)
        world.call_at(BEGIN + SECONDS - QUIET, self._heal)

    def _any(self) -> Limiter:
        return self.rng.choice(list(self.world.limiters.values()))

    def _pause(self) -> None:
        self._any().pause(self.rng.choice((0.3, 1.0, 2.0, 4.5, 8.0)) * self.rng.uniform(0.8, 1.2))

    def _cut(self) -> None:
        names = list(self.world.limiters)
        left = set(self.rng.sample(names, self.rng.randint(1, len(names) - 1)))
        self.world.cut(left, set(names) - left)
        self.world.call_at(self.world.now + self.rng.uniform(1, 20), self.world.cuts.clear)

    def _one_way(self) -> None:
        one = self._any().name
        self.world.cuts |= {(one, other) for other in self.world.limiters if other != one}
        self.world.call_at(self.world.now + self.rng.uniform(1, 20), self.world.cuts.clear)

    def _kill(self) -> None:
        limiter = self._any()
        limiter.kill()

        def again() -> None:
            if not limiter.is_running:
                limiter.start()
                self.records.append((limiter, limiter.history))

        self.world.call_at(self.world.now + self.rng.uniform(0.2, 10), again)

    def _step(self) -> None:
        limiter = self._any()
        by = self.rng.choice((-3600.0, -20.0, -2.0, -0.5, -0.1, 0.1, 0.5, 3600.0))
        limiter.clock_offset += by
        self.world.call_at(self.world.now + self.rng.uniform(1, 10), lambda: self._step_back(limiter, by))

    def _step_back(self, limiter: Limiter, by: float) -> None:
        limiter.clock_offset -= by

    def _run(self) -> None:
        limiter, rate, end = self._any(), self.rng.choice((-0.01, 0.003, 0.01, 0.03)), self.world.now + 15

        def run() -> None:
            limiter.clock_offset += rate * 0.05
            if self.world.now < end:
                self.world.call_at(self.world.now + 0.05, run)
            else:
                limiter.clock_offset = self.rng.uniform(-0.4, 0.4) * BOUND

        run()

    def _tell(self) -> None:
        """A limiter's operators tell it that a closing comes forward; their file stays as it is from then on."""
        limiter, now = self._any(), self.world.now
        if not limiter.is_running or now < limiter.paused_until:
            return
        early = float(int(now + self.rng.uniform(9, 15)))
        closes = {"v": [early, *(at for at in self.closes["v"] if at > early)], "w": self.closes["w"]}
        newer = calendar(2, now + 6.5 + self.rng.uniform(0, early - now - 6.5 - 2 * BOUND), closes)
        try:
            assert isinstance(limiter.cache, ClosingCache | OwnTimer)
            limiter.cache.announce(newer)
        except OperatorsError:
            return  # its clock is far ahead
        self.changed = True
        limiter.options = Options(newer, frozenset({"lookup"}), "", BOUND, LEASE)
        for account, place in ACCOUNTS.items():
            before = [at for at in self.closes[place] if at < newer.in_force]
            after = [at for at in closes[place] if at >= newer.in_force]
            self.truth.closings[account] = sorted(int(at) for at in before + after)
        self.closes["v"] = sorted(
            [at for at in self.closes["v"] if at < newer.in_force]
            + [at for at in closes["v"] if at >= newer.in_force]
        )

    def _heal(self) -> None:
        self.world.cuts.clear()

    # The day, and what is told of it.

    async def play(self) -> Told:
        purges = (
            sorted(BEGIN + self.rng.uniform(8, SECONDS - 8) for _ in range(2)) if not self.own_timer else []
        )
        while self.world.now < BEGIN + SECONDS:
            if purges and self.world.now >= purges[0]:
                purges.pop(0)
                self._purge()
                await asyncio.sleep(0)
            self.world.run(self.world.now + (0.05 if self.waiting else 0.5))
            await self._answered()
        told = self.told
        told.asked, told.hits = self.clients.lookups, self.clients.hits
        for why, now, name, account, made in self.clients.stale:
            told.stale[why] = told.stale.get(why, 0) + 1
            told.examples.append(
                f"seed {self.world.seed}: {why} {now - BEGIN:.3f} {name} {account} made {made - BEGIN:.3f}"
            )
        if not self.own_timer:
            self._spread()
            for limiter, record in self.records:
                self._count(limiter, record)
        return told

    async def _answered(self) -> None:
        if not self.waiting:
            return
        await asyncio.sleep(0)
        for each in list(self.waiting):
            issued, account, task = each
            if task.done():
                self.waiting.remove(each)
                if task.result():
                    self.told.refused += 1
                else:
                    self.told.purges.append(self.world.now - issued)
                    self.truth.purges.setdefault(account, []).append((self.world.now, issued))

    def _spread(self) -> None:
        for (closing, account), each in self.old.items():
            if (closing, account) in self.new:
                self.told.overlap = max(self.told.overlap, max(each.values()) - self.new[closing, account])
        for last in self.until.values():
            if len(last) > 1:
                self.told.spread = max(self.told.spread, max(last.values()) - min(last.values()))

    def _count(self, limiter: Limiter, record: RecordedHistory) -> None:
        alive = limiter.is_running and record is limiter.history
        end = BEGIN + SECONDS if alive else record.times[-1]
        seen, since, doubt, cause, sure = (
            set[tuple[str, float]](),
            record.times[0],
            True,
            "starting",
            math.inf,
        )
        self.told.up += end - since
        for (kind, facts), at in zip(record.events, record.times, strict=True):
            if kind is Kind.CLOSED:
                identity = facts["place"], facts["at"]
                self.told.twice += identity in seen
                seen.add(identity)
            elif kind is Kind.CALENDAR and facts["state"] == "force":
                sure = min(sure, at)
            elif kind is Kind.DOUBT:
                if doubt:
                    self._doubted(cause, at - since)
                doubt, cause, since = facts["doubt"], facts["cause"], at
        if doubt:
            self._doubted(cause, end - since)
        if (
            alive
            and not self.changed
            and isinstance(limiter.cache, ClosingCache)
            and not limiter.cache.eligibility.wall_clock.reason
        ):
            wanted = {
                (place, at) for place, ats in self.closes.items() for at in ats if sure + BOUND < at < end - 1
            }
            self.told.closings += len(wanted)
            self.told.lost += len(wanted - seen)

    def _doubted(self, cause: str, seconds: float) -> None:
        self.told.doubted += seconds
        self.told.causes[cause] = self.told.causes.get(cause, 0.0) + seconds


def play(seed: int, own_timer: bool, calm: bool) -> Told:
    return asyncio.run(Day(seed, own_timer, calm).play())


def main(arguments: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else "")
    parser.add_argument("--seeds", type=int, default=1000)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--jobs", type=int, default=2)
    parser.add_argument("--mutants", action="store_true", help="play the limiter without its guards instead")
    options = parser.parse_args(arguments)
    if options.mutants:
        return mutants(options.first, options.seeds, options.jobs)
    began, bad = machine.monotonic(), False
    seeds = range(options.first, options.first + options.seeds)
    few = range(options.first, options.first + max(1, options.seeds // 10))
    with ProcessPoolExecutor(options.jobs) as pool:
        for name, own_timer, calm, which in (
            ("closing", False, False, seeds), ("own timers", True, False, few), ("closing, calm", False, True, few),
        ):  # fmt: skip
            told = Told()
            for each in pool.map(partial(play, own_timer=own_timer, calm=calm), which, chunksize=4):
                told.add(each)
            bad |= report(name, told, len(which), own_timer)
    print(f"{machine.monotonic() - began:.0f} s")
    return 1 if bad else 0


def convicted(told: Told) -> str:
    """What a day shows against the program; "" for nothing."""
    shown = [f"{count} stale by a {why}" for why, count in sorted(told.stale.items())]
    shown += [f"{told.twice} closings told twice"] if told.twice else []
    shown += [f"{told.lost} closings not told"] if told.lost else []
    return ", ".join(shown + ([f"old {told.overlap:.3f} s after new"] if told.overlap > 0 else []))


def without(name: str, first: int, seeds: int) -> str:
    """The first day that convicts the limiter without one of its guards."""
    with applied(name):
        for seed in range(first, first + seeds):
            if shown := convicted(play(seed, False, False)):
                return f"seed {seed}: {shown}"
    return ""


def mutants(first: int, seeds: int, jobs: int) -> int:
    """Each must be convicted by one of the days."""
    with ProcessPoolExecutor(jobs) as pool:
        found = dict(zip(MUTANTS, pool.map(partial(without, first=first, seeds=seeds), MUTANTS), strict=True))
    for name, shown in found.items():
        print(f"{name}: {shown or 'NOT FOUND OUT'}")
    return 0 if all(found.values()) else 1


def report(name: str, told: Told, seeds: int, own_timer: bool) -> bool:
    """Prints it; whether it is not as it has to be."""
    stale = ", ".join(f"{count} {why}" for why, count in sorted(told.stale.items())) or "none"
    print(f"{name}: {seeds} seeds, {told.hits} of {told.asked} lookups from what is kept, stale: {stale}")
    for example in told.examples:
        print(f"    {example}")
    if own_timer:
        return not told.stale
    causes = ", ".join(
        f"{c} {s / told.up:.3f}" for c, s in sorted(told.causes.items(), key=lambda each: -each[1])
    )
    print(f"    closings told twice {told.twice}, not told {told.lost} of {told.closings}")
    print(f"    the old given up at first and at last: {told.spread:.3f} s apart, bound {2 * BOUND:.2f}")
    print(
        f"    from the first new answer anywhere to the last old one anywhere: {told.overlap:.3f} s, bound 0"
    )
    print(f"    off by doubt {told.doubted / told.up:.3f} of {told.up:.0f} limiter seconds: {causes}")
    times = sorted(told.purges)
    if times:
        middle, worst = times[len(times) // 2], times[-1]
        print(
            f"    purges by hand: yes {len(times)} (median {middle:.2f} s, worst {worst:.2f}), no {told.refused}"
        )
    return bool(
        told.stale
        or told.twice
        or told.lost
        or told.overlap > 0
        or told.spread > 2 * BOUND
        or not told.closings
    )


if __name__ == "__main__":
    sys.exit(main())
