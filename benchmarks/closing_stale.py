"""Stale answers after a close: ``python -m benchmarks.closing_stale [--seeds 1000] [--jobs 2]``.

Simulates fleets of 3 to 8 limiters in virtual time (``tests/closing/world.py``) with these faults: clocks off within
the bound, delayed and lost datagrams, late polls, pauses over closings with buffered requests, partitions in one and
both directions, limiters that are killed and restarted, clocks that step or drift, slow answers, calendars that are
announced 8 to 15 s ahead, writes at any limiter, operators' purges. Each answer that is served from a cache is compared
with what is true. For comparison, the same days are simulated with a baseline whose limiters each run a timer of their
own, as precise as a process can run one, and distribute calendars in the same way.

Prints for both the answers served from caches, and how many of them were stale after a closing, a write or a purge.
Prints for the closing cache the closings that were reported twice or not at all, the time between the first and the
last limiter to drop the old answers, the share of time in which the cache was bypassed, and, on days without
faults, the share of lookups that needed no server. Exits with 1 if the closing cache served a stale answer or reported
a closing twice or not at all, or if the baseline served no stale answer.

With ``--mutants``, each mutant of the limiter is simulated until a day detects it.
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
DAY_SECONDS = 40.0
FAULT_FREE_SECONDS = 12.0  # at the end of each day
ACCOUNTS = {f"{0x1000 + n:016x}": ("v", "w")[n % 2] for n in range(4)}
LOOKUP_INTERVAL_NEAR_CLOSING = 0.02  # seconds between two lookups at one limiter
LOOKUP_INTERVAL = 0.1  # seconds, away from closings
PROBE_INTERVAL = 0.01  # seconds between two checks whether a limiter would serve an old answer
NEAR_CLOSING_SECONDS = 0.6  # before and after a closing


class OwnTimer:
    """The baseline: a cache invalidated by a timer in each process, which applies calendars as soon as they arrive."""

    def __init__(
        self, options: Options, view: View, clock: Callable[[], float], wall: Callable[[], float],
        history: RecordedHistory, configured_limiters: int,
    ) -> None:  # fmt: skip
        self._view, self._clock, self._wall, self._calendar = view, clock, wall, options.calendar
        self._cache = AnswerCache(options.most_answers, options.most_bytes, options.keep_seconds)
        self._next = dict[str, float]()  # by place: when its timer fires, in monotonic time
        self._polled_at = -math.inf

    def initialize(self) -> None:
        self.announce(self._calendar)
        self.poll()

    def announce(self, calendar: Calendar) -> None:
        """Applies a calendar and publishes it."""
        self._calendar = calendar
        digest = bytes.fromhex(self._view.store_document(encode_calendar(calendar)))
        self._view.publish(
            "closing", encode_row(LimiterRow(0, 0, b"12345678", calendar.version, digest, 0, 0, b"", b""))
        )
        now, wall = self._clock(), self._wall()
        for place in calendar.places:
            found = calendar.timeline(place).closings_between(wall, wall + 2 * 86_400)
            self._next[place] = now + found[0][1] - wall if found else math.inf

    def poll(self) -> None:
        for row in self._view.rows(self._clock(), "closing"):
            peer = decode_row(row.body)
            if peer is not None and peer.calendar_version > self._calendar.version:
                body = self._view.get_document(peer.calendar_digest.hex())
                if body is None:
                    self._view.request_document(peer.calendar_digest.hex())
                else:
                    self.announce(decode_calendar(body))
        self._fire_timers()
        self._polled_at = self._clock()

    def _fire_timers(self) -> None:
        now = self._clock()
        for place, at in self._next.items():
            if now >= at:
                for account, home in self._calendar.accounts.items():
                    if home == place:
                        self._cache.purge(account, -math.inf, now)
                        self._cache.begin_write(account)
                        self._cache.end_write(account, -math.inf, now)
                wall = self._wall()
                later = self._calendar.timeline(place).closings_between(
                    max(wall, wall + at - now), wall + 2 * 86_400
                )
                self._next[place] = now + later[0][1] - wall if later else math.inf

    def find_answer(self, id: str, account: str, key: CacheKey) -> tuple[CachedAnswer, float] | None:
        if self._clock() - self._polled_at < 0.15:
            self._fire_timers()  # timers fire on time, except that a resumed process handles buffered requests first
        found = self._cache.get(key, 0, self._clock())
        return None if found is None else (found, 0.0)

    def stamp_lookup(self, account: str) -> SendStamp | None:
        return SendStamp(self._clock(), self._wall(), 0)

    def store_answer(
        self, account: str, key: CacheKey, stamp: SendStamp, headers: bytes, body: bytes
    ) -> None:
        self._cache.put(key, CachedAnswer(account, 0, stamp.mono, stamp.wall, headers, body), self._clock())

    def begin_write(self, account: str) -> None:
        self._cache.begin_write(account)

    def end_write(self, account: str, reached_server: bool, is_finished: bool) -> None:
        self._cache.end_write(account, self._clock(), self._clock())


def calendar(version: int, in_force: float, closes: dict[str, list[float]]) -> Calendar:
    """Builds a calendar of two places in different time zones with the same closings each day."""
    zones = {"v": ("Etc/UTC", 0.0), "w": ("Asia/Kolkata", 5.5 * 3600)}
    places = dict[str, Place]()
    for name, (zone, east) in zones.items():
        times = [datetime.fromtimestamp(at + east, UTC).time() for at in closes[name]]
        day: tuple[time, ...] = tuple(sorted(times))
        places[name] = Place(name, zone, (day,) * 7)
    return Calendar(version, in_force, places, ACCOUNTS)


@dataclass
class Result:
    """The result of one simulated day, or the sum of several."""

    lookups: int = 0
    hits: int = 0
    stale: dict[str, int] = field(default_factory=dict)
    reported_twice: int = 0
    not_reported: int = 0
    closings: int = 0  # closings that should be reported, summed over limiters
    limiter_seconds: float = 0.0
    bypass_seconds: float = 0.0
    bypass_causes: dict[str, float] = field(default_factory=dict)
    spread: float = 0.0  # worst time between the first and the last eligible limiter dropping old answers
    overlap: float = (
        -math.inf
    )  # worst time from the first new answer at any limiter to the last old answer at any limiter
    purge_seconds: list[float] = field(default_factory=list)  # time until the confirmation
    unconfirmed_purges: int = 0
    examples: list[str] = field(default_factory=list)

    def add(self, other: Result) -> None:
        self.lookups, self.hits = self.lookups + other.lookups, self.hits + other.hits
        self.reported_twice, self.not_reported, self.closings = (
            self.reported_twice + other.reported_twice,
            self.not_reported + other.not_reported,
            self.closings + other.closings,
        )
        self.limiter_seconds, self.bypass_seconds, self.unconfirmed_purges = (
            self.limiter_seconds + other.limiter_seconds,
            self.bypass_seconds + other.bypass_seconds,
            self.unconfirmed_purges + other.unconfirmed_purges,
        )
        self.spread, self.overlap = max(self.spread, other.spread), max(self.overlap, other.overlap)
        self.purge_seconds += other.purge_seconds
        self.examples = (self.examples + other.examples)[:5]
        for mine, theirs in ((self.stale, other.stale),):
            for name, count in theirs.items():
                mine[name] = mine.get(name, 0) + count
        for name, seconds in other.bypass_causes.items():
            self.bypass_causes[name] = self.bypass_causes.get(name, 0.0) + seconds


class Simulation:
    """The simulated day of one seed."""

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
        self.result, self.is_calendar_changed = Result(), False
        self.last_old_answers = dict[
            tuple[float, str], dict[str, float]
        ]()  # by closing and account, then limiter: time of the last old answer
        self.served_until = dict[
            tuple[float, str], dict[str, float]
        ]()  # by closing and place, then limiter: last time at which it would serve an old answer
        self.first_new_answers = dict[
            tuple[float, str], float
        ]()  # by closing and account: time of the first new answer
        self.histories = list[tuple[Limiter, RecordedHistory]]()
        self.faulted = dict[str, list[tuple[float, float]]]()
        self.clients.on_hit = self._record_hit
        self.pending_purges = list[tuple[float, str, asyncio.Task[tuple[str, ...]]]]()
        for number in range(self.count):
            limiter = self.world.add(
                f"n{number}", self.options, rng.uniform(-1, 1) * (0.1 if calm else 0.4) * BOUND
            )
            self.histories.append((limiter, limiter.history))
            self._send_lookup(limiter)
            if not own_timer:
                for closing in {*self.closes["v"], *self.closes["w"]}:
                    self.world.call_at(
                        closing - 2 * BOUND, partial(self._probe_old_answers, limiter, closing)
                    )
        self._send_write()
        if not calm:
            self._schedule_faults()

    def _probe_old_answers(self, limiter: Limiter, closing: float) -> None:
        """Records the last moment at which an eligible limiter would serve an answer from before a closing."""
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
                self.served_until.setdefault((closing, place), {})[limiter.name] = now
            if limiter.cache.bypass_reason:
                self.served_until.get((closing, place), {}).pop(limiter.name, None)
                return  # it bypasses the cache for another reason than the closing
            self.world.call_at(now + PROBE_INTERVAL, partial(self._probe_old_answers, limiter, closing))

    # Clients.

    def _record_hit(self, limiter: Limiter, account: str, made: float) -> None:
        now = self.world.now
        for closing in self.closes[ACCOUNTS[account]]:
            if abs(now - closing) < 2.0 and made < closing:
                self.last_old_answers.setdefault((closing, account), {})[limiter.name] = now
            elif abs(now - closing) < 2.0:
                self.first_new_answers.setdefault((closing, account), now)

    def _send_lookup(self, limiter: Limiter) -> None:
        now, rng = self.world.now, self.rng
        account = rng.choice(list(ACCOUNTS))
        slow = rng.uniform(0.3, 2.0) if rng.random() < 0.05 else None
        self.clients.lookup(limiter, account, f"/lookup/{rng.randint(1, 2)}", slow)
        near = any(abs(now - at) < NEAR_CLOSING_SECONDS for at in self.truth.closings[account])
        self.world.call_at(
            now + (LOOKUP_INTERVAL_NEAR_CLOSING if near else LOOKUP_INTERVAL),
            lambda: self._send_lookup(limiter),
        )

    def _send_write(self) -> None:
        if self.world.now > BEGIN + 1 and not self.own_timer:
            limiter = self.rng.choice(list(self.world.limiters.values()))
            self.clients.write(limiter, self.rng.choice(list(ACCOUNTS)), self.rng.uniform(0.02, 0.5))
        self.world.call_at(self.world.now + self.rng.uniform(0.5, 2.0), self._send_write)

    def _send_purge(self) -> None:
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
            self.pending_purges.append((self.world.now, account, task))

    # Faults.

    def _schedule_faults(self) -> None:
        rng, world = self.rng, self.world
        for _ in range(rng.randint(1, 4)):
            at = BEGIN + rng.uniform(4, DAY_SECONDS - FAULT_FREE_SECONDS - 1)
            if rng.random() < 0.5:  # half of the faults fall close to a closing
                at = rng.choice(self.closes["v"]) + rng.uniform(-4, 1)
            world.call_at(
                at,
                rng.choice(
                    (
                        self._pause_limiter,
                        self._partition,
                        self._partition_one_way,
                        self._kill_limiter,
                        self._step_clock,
                        self._drift_clock,
                    )
                ),
            )
        if rng.random() < 0.5:
            world.call_at(BEGIN + rng.uniform(5, 12), self._announce_calendar)
        world.call_at(BEGIN + DAY_SECONDS - FAULT_FREE_SECONDS, self._heal_partitions)

    def _pick_limiter(self) -> Limiter:
        return self.rng.choice(list(self.world.limiters.values()))

    def _pause_limiter(self) -> None:
        self._pick_limiter().pause(self.rng.choice((0.3, 1.0, 2.0, 4.5, 8.0)) * self.rng.uniform(0.8, 1.2))

    def _partition(self) -> None:
        names = list(self.world.limiters)
        left = set(self.rng.sample(names, self.rng.randint(1, len(names) - 1)))
        self.world.cut(left, set(names) - left)
        self.world.call_at(self.world.now + self.rng.uniform(1, 20), self.world.cuts.clear)

    def _partition_one_way(self) -> None:
        one = self._pick_limiter().name
        self.world.cuts |= {(one, other) for other in self.world.limiters if other != one}
        self.world.call_at(self.world.now + self.rng.uniform(1, 20), self.world.cuts.clear)

    def _kill_limiter(self) -> None:
        limiter = self._pick_limiter()
        limiter.kill()

        def again() -> None:
            if not limiter.is_running:
                limiter.start()
                self.histories.append((limiter, limiter.history))

        self.world.call_at(self.world.now + self.rng.uniform(0.2, 10), again)

    def _step_clock(self) -> None:
        limiter = self._pick_limiter()
        by = self.rng.choice((-3600.0, -20.0, -2.0, -0.5, -0.1, 0.1, 0.5, 3600.0))
        limiter.clock_offset += by
        self.world.call_at(
            self.world.now + self.rng.uniform(1, 10), lambda: self._step_clock_back(limiter, by)
        )

    def _step_clock_back(self, limiter: Limiter, by: float) -> None:
        limiter.clock_offset -= by

    def _drift_clock(self) -> None:
        limiter, rate, end = (
            self._pick_limiter(),
            self.rng.choice((-0.01, 0.003, 0.01, 0.03)),
            self.world.now + 15,
        )

        def run() -> None:
            limiter.clock_offset += rate * 0.05
            if self.world.now < end:
                self.world.call_at(self.world.now + 0.05, run)
            else:
                limiter.clock_offset = self.rng.uniform(-0.4, 0.4) * BOUND

        run()

    def _announce_calendar(self) -> None:
        """Announces an earlier closing at one limiter, whose calendar file keeps the new version across restarts."""
        limiter, now = self._pick_limiter(), self.world.now
        if not limiter.is_running or now < limiter.paused_until:
            return
        early = float(int(now + self.rng.uniform(9, 15)))
        closes = {"v": [early, *(at for at in self.closes["v"] if at > early)], "w": self.closes["w"]}
        newer = calendar(2, now + 6.5 + self.rng.uniform(0, early - now - 6.5 - 2 * BOUND), closes)
        try:
            assert isinstance(limiter.cache, ClosingCache | OwnTimer)
            limiter.cache.announce(newer)
        except OperatorsError:
            return  # rejected because the limiter's clock is far ahead
        self.is_calendar_changed = True
        limiter.options = Options(newer, frozenset({"lookup"}), "", BOUND, LEASE)
        for account, place in ACCOUNTS.items():
            before = [at for at in self.closes[place] if at < newer.in_force]
            after = [at for at in closes[place] if at >= newer.in_force]
            self.truth.closings[account] = sorted(int(at) for at in before + after)
        self.closes["v"] = sorted(
            [at for at in self.closes["v"] if at < newer.in_force]
            + [at for at in closes["v"] if at >= newer.in_force]
        )

    def _heal_partitions(self) -> None:
        self.world.cuts.clear()

    # Running and evaluating the day.

    async def play(self) -> Result:
        purges = (
            sorted(BEGIN + self.rng.uniform(8, DAY_SECONDS - 8) for _ in range(2))
            if not self.own_timer
            else []
        )
        while self.world.now < BEGIN + DAY_SECONDS:
            if purges and self.world.now >= purges[0]:
                purges.pop(0)
                self._send_purge()
                await asyncio.sleep(0)
            self.world.run(self.world.now + (0.05 if self.pending_purges else 0.5))
            await self._collect_purge_answers()
        result = self.result
        result.lookups, result.hits = self.clients.lookups, self.clients.hits
        for why, now, name, account, made in self.clients.stale:
            result.stale[why] = result.stale.get(why, 0) + 1
            result.examples.append(
                f"seed {self.world.seed}: {why} {now - BEGIN:.3f} {name} {account} made {made - BEGIN:.3f}"
            )
        if not self.own_timer:
            self._measure_spread()
            for limiter, history in self.histories:
                self._evaluate_history(limiter, history)
        return result

    async def _collect_purge_answers(self) -> None:
        if not self.pending_purges:
            return
        await asyncio.sleep(0)
        for each in list(self.pending_purges):
            issued, account, task = each
            if task.done():
                self.pending_purges.remove(each)
                if task.result():
                    self.result.unconfirmed_purges += 1
                else:
                    self.result.purge_seconds.append(self.world.now - issued)
                    self.truth.purges.setdefault(account, []).append((self.world.now, issued))

    def _measure_spread(self) -> None:
        for (closing, account), each in self.last_old_answers.items():
            if (closing, account) in self.first_new_answers:
                self.result.overlap = max(
                    self.result.overlap, max(each.values()) - self.first_new_answers[closing, account]
                )
        for last in self.served_until.values():
            if len(last) > 1:
                self.result.spread = max(self.result.spread, max(last.values()) - min(last.values()))

    def _evaluate_history(self, limiter: Limiter, history: RecordedHistory) -> None:
        alive = limiter.is_running and history is limiter.history
        end = BEGIN + DAY_SECONDS if alive else history.times[-1]
        seen, since, doubt, cause, sure = (
            set[tuple[str, float]](),
            history.times[0],
            True,
            "starting",
            math.inf,
        )
        self.result.limiter_seconds += end - since
        for (kind, facts), at in zip(history.events, history.times, strict=True):
            if kind is Kind.CLOSED:
                identity = facts["place"], facts["at"]
                self.result.reported_twice += identity in seen
                seen.add(identity)
            elif kind is Kind.CALENDAR and facts["state"] == "force":
                sure = min(sure, at)
            elif kind is Kind.DOUBT:
                if doubt:
                    self._add_bypass(cause, at - since)
                doubt, cause, since = facts["doubt"], facts["cause"], at
        if doubt:
            self._add_bypass(cause, end - since)
        if (
            alive
            and not self.is_calendar_changed
            and isinstance(limiter.cache, ClosingCache)
            and not limiter.cache.eligibility.wall_clock.reason
        ):
            wanted = {
                (place, at) for place, ats in self.closes.items() for at in ats if sure + BOUND < at < end - 1
            }
            self.result.closings += len(wanted)
            self.result.not_reported += len(wanted - seen)

    def _add_bypass(self, cause: str, seconds: float) -> None:
        self.result.bypass_seconds += seconds
        self.result.bypass_causes[cause] = self.result.bypass_causes.get(cause, 0.0) + seconds


def play(seed: int, own_timer: bool, calm: bool) -> Result:
    return asyncio.run(Simulation(seed, own_timer, calm).play())


def main(arguments: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else "")
    parser.add_argument("--seeds", type=int, default=1000)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--jobs", type=int, default=2)
    parser.add_argument("--mutants", action="store_true", help="play the limiter without its guards instead")
    options = parser.parse_args(arguments)
    if options.mutants:
        return check_mutants(options.first, options.seeds, options.jobs)
    began, bad = machine.monotonic(), False
    seeds = range(options.first, options.first + options.seeds)
    few = range(options.first, options.first + max(1, options.seeds // 10))
    with ProcessPoolExecutor(options.jobs) as pool:
        for name, own_timer, calm, which in (
            ("closing", False, False, seeds), ("own timers", True, False, few), ("closing, calm", False, True, few),
        ):  # fmt: skip
            result = Result()
            for each in pool.map(partial(play, own_timer=own_timer, calm=calm), which, chunksize=4):
                result.add(each)
            bad |= report(name, result, len(which), own_timer)
    print(f"{machine.monotonic() - began:.0f} s")
    return 1 if bad else 0


def describe_faults(result: Result) -> str:
    """Describes the faults that a day has shown, or returns "" if there were none."""
    shown = [f"{count} stale by a {why}" for why, count in sorted(result.stale.items())]
    shown += [f"{result.reported_twice} closings told twice"] if result.reported_twice else []
    shown += [f"{result.not_reported} closings not told"] if result.not_reported else []
    return ", ".join(shown + ([f"old {result.overlap:.3f} s after new"] if result.overlap > 0 else []))


def find_detecting_seed(name: str, first: int, seeds: int) -> str:
    """Returns the first seed that detects a mutant, with its faults, or "" if none does."""
    with applied(name):
        for seed in range(first, first + seeds):
            if shown := describe_faults(play(seed, False, False)):
                return f"seed {seed}: {shown}"
    return ""


def check_mutants(first: int, seeds: int, jobs: int) -> int:
    """Simulates each mutant until a day detects it; returns 1 if one is not detected."""
    with ProcessPoolExecutor(jobs) as pool:
        found = dict(
            zip(
                MUTANTS,
                pool.map(partial(find_detecting_seed, first=first, seeds=seeds), MUTANTS),
                strict=True,
            )
        )
    for name, shown in found.items():
        print(f"{name}: {shown or 'NOT FOUND OUT'}")
    return 0 if all(found.values()) else 1


def report(name: str, result: Result, seeds: int, own_timer: bool) -> bool:
    """Prints a result; returns whether it is a failure."""
    stale = ", ".join(f"{count} {why}" for why, count in sorted(result.stale.items())) or "none"
    print(
        f"{name}: {seeds} seeds, {result.hits} of {result.lookups} lookups from what is kept, stale: {stale}"
    )
    for example in result.examples:
        print(f"    {example}")
    if own_timer:
        return not result.stale
    causes = ", ".join(
        f"{c} {s / result.limiter_seconds:.3f}"
        for c, s in sorted(result.bypass_causes.items(), key=lambda each: -each[1])
    )
    print(
        f"    closings told twice {result.reported_twice}, not told {result.not_reported} of {result.closings}"
    )
    print(f"    the old given up at first and at last: {result.spread:.3f} s apart, bound {2 * BOUND:.2f}")
    print(
        f"    from the first new answer anywhere to the last old one anywhere: {result.overlap:.3f} s, bound 0"
    )
    print(
        f"    off by doubt {result.bypass_seconds / result.limiter_seconds:.3f} "
        f"of {result.limiter_seconds:.0f} limiter seconds: {causes}"
    )
    times = sorted(result.purge_seconds)
    if times:
        middle, worst = times[len(times) // 2], times[-1]
        print(
            f"    purges by hand: yes {len(times)} (median {middle:.2f} s, worst {worst:.2f}), "
            f"no {result.unconfirmed_purges}"
        )
    return bool(
        result.stale
        or result.reported_twice
        or result.not_reported
        or result.overlap > 0
        or result.spread > 2 * BOUND
        or not result.closings
    )


if __name__ == "__main__":
    sys.exit(main())
