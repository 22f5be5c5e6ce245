"""A simulated fleet in virtual time, for tests and ``benchmarks/closing_stale.py``.

Its limiters have clocks of their own and a gossiping view whose datagrams are delayed, lost and blocked by partitions;
they are paused and restarted. Lookups, writes and purges go to them, and each answer is compared with what is true.

Time is the world's true time. A limiter's ``mono`` is offset by a base of its own, and its ``wall`` is the true time
plus its clock offset. Nothing sleeps: events run in the order of their instants.
"""

from __future__ import annotations

import heapq
from bisect import bisect_right
from collections.abc import Callable
from dataclasses import dataclass, field
from hashlib import blake2s
from random import Random
from statistics import median
from typing import Any, Protocol

from cypresspulley.closing.cache import CachedAnswer, CacheKey, SendStamp
from cypresspulley.closing.limiter import POLL_INTERVAL_SECONDS, ClosingCache
from cypresspulley.closing.options import Options
from cypresspulley.fleet.records import Member, MemberState, Row
from cypresspulley.histories.events import FACTS, Kind
from cypresspulley.histories.writer import NoHistory

BEGIN = 1_796_083_200.0  # 2026-12-01T00:00:00Z
GOSSIP_INTERVAL = 0.2  # seconds between two datagrams of a limiter's view
MAX_DATAGRAM_DELAY = 0.02  # seconds
SUSPECT_TIMEOUT, DEAD_TIMEOUT = 1.2, 3.0  # seconds without news of a member
CLOCK_MEASUREMENT_MAX_AGE = 5.0  # seconds for which a comparison of two clocks is used


class RecordedHistory(NoHistory):
    """A history in memory that checks that each event has its facts."""

    def __init__(self, now: Callable[[], float] = float) -> None:
        self.events, self.times, self._now = list[tuple[Kind, dict[str, Any]]](), list[float](), now

    def open_life(self, life: int) -> None: ...

    def put(self, kind: Kind, **facts: Any) -> None:
        assert set(facts) == set(FACTS[kind]), kind
        self.events.append((kind, facts))
        self.times.append(self._now())

    def close(self) -> None: ...

    def facts_of(self, kind: Kind) -> list[dict[str, Any]]:
        return [facts for each, facts in self.events if each is kind]


@dataclass(slots=True)
class KnownMember:
    """What a view knows about one member: its last heartbeat, its row and the difference of the clocks."""

    member: Member
    heartbeat: int
    heard_at: float
    row: tuple[int, bytes] | None = None
    clock: tuple[float, float, float] | None = None  # lowest and highest offset, time of the measurement


class View:
    """A simulated fleet view: gossips, and detects failed members by their silence."""

    def __init__(self, limiter: Limiter, life: int) -> None:
        self._limiter, self.local_name, self.life = limiter, limiter.name, life
        self.known = {
            self.local_name: KnownMember(
                Member(self.local_name, life, 0, MemberState.ALIVE), 0, limiter.mono()
            )
        }
        self.documents, self.wanted = dict[str, bytes](), set[str]()
        self._version = 0

    def members(self) -> tuple[Member, ...]:
        return tuple(
            self.known[name].member for name in sorted(self.known) if self.known[name].member.state.present
        )

    def get_member(self, name: str) -> Member | None:
        return self.known[name].member if name in self.known else None

    def rows(self, now: float, subsystem: str) -> tuple[Row, ...]:
        return tuple(
            Row(name, k.member.life, k.row[0], k.member.state, now - k.heard_at, k.row[1])
            for name, k in sorted(self.known.items())
            if k.row is not None and k.member.state.present
        )

    def publish(self, subsystem: str, body: bytes) -> None:
        assert len(body) <= 200
        self._version += 1
        self.known[self.local_name].row = (self._version, body)

    def is_settled(self, now: float) -> bool:
        return True

    def count_responsive(self, now: float, within: float) -> int:
        return sum(now - k.heard_at <= within for name, k in self.known.items() if name != self.local_name)

    def clock_error(self, now: float) -> tuple[float, float] | None:
        found = [
            k.clock
            for k in self.known.values()
            if k.clock is not None and now - k.clock[2] <= CLOCK_MEASUREMENT_MAX_AGE
        ]
        if 2 * len(found) < len(self.members()) - 1 or not found:
            return None
        return median(each[0] for each in found), median(each[1] for each in found)

    def store_document(self, body: bytes) -> str:
        digest = blake2s(body, digest_size=16).hexdigest()
        self.documents[digest] = body
        return digest

    def request_document(self, digest: str) -> None:
        self.wanted.add(digest)

    def get_document(self, digest: str) -> bytes | None:
        return self.documents.get(digest)

    # Gossip.

    def make_datagram(self) -> tuple[float, list[KnownMember], dict[str, bytes]]:
        """Returns a datagram: this wall clock, all known members, and the documents."""
        me = self.known[self.local_name]
        me.heartbeat, me.heard_at = me.heartbeat + 1, self._limiter.mono()
        rows = [KnownMember(k.member, k.heartbeat, k.heard_at, k.row) for k in self.known.values()]
        return self._limiter.wall(), rows, dict(self.documents)

    def receive_datagram(
        self, sender: str, wall: float, rows: list[KnownMember], documents: dict[str, bytes]
    ) -> None:
        now = self._limiter.mono()
        for received in rows:
            self._merge(now, received)
        if sender in self.known:
            offset = self._limiter.wall() - wall
            self.known[sender].clock = (offset - MAX_DATAGRAM_DELAY, offset, now)
        for digest in self.wanted & set(documents):
            self.documents[digest] = documents[digest]
        self.wanted -= set(self.documents)

    def _merge(self, now: float, received: KnownMember) -> None:
        name = received.member.name
        if name == self.local_name:
            return
        known = self.known.get(name)
        if known is None or (received.member.life, received.heartbeat) > (known.member.life, known.heartbeat):
            clock = known.clock if known is not None and known.member.life == received.member.life else None
            state = MemberState.LEFT if received.member.state is MemberState.LEFT else MemberState.ALIVE
            member = Member(name, received.member.life, 0, state)
            self.known[name] = KnownMember(member, received.heartbeat, now, received.row, clock)

    def detect_failures(self) -> None:
        """Suspects members that have been silent for too long, and later declares them dead."""
        now = self._limiter.mono()
        for name, k in self.known.items():
            if name == self.local_name or not k.member.state.present:
                continue
            silent = now - k.heard_at
            state = (
                MemberState.DEAD
                if silent > DEAD_TIMEOUT
                else MemberState.SUSPECTED
                if silent > SUSPECT_TIMEOUT
                else MemberState.ALIVE
            )
            if state is not k.member.state:
                k.member = Member(name, k.member.life, 0, state)


class CacheUnderTest(Protocol):
    """The interface that the world uses; implemented by ``ClosingCache`` and by a baseline."""

    def initialize(self) -> None: ...
    def poll(self) -> None: ...
    def find_answer(self, id: str, account: str, key: CacheKey) -> tuple[CachedAnswer, float] | None: ...
    def stamp_lookup(self, account: str) -> SendStamp | None: ...
    def store_answer(
        self, account: str, key: CacheKey, stamp: SendStamp, headers: bytes, body: bytes
    ) -> None: ...
    def begin_write(self, account: str) -> None: ...
    def end_write(self, account: str, reached_server: bool, is_finished: bool) -> None: ...


CacheFactory = Callable[
    [Options, View, Callable[[], float], Callable[[], float], RecordedHistory, int], CacheUnderTest
]


class Limiter:
    """One limiter across its restarts."""

    def __init__(self, world: World, name: str, options: Options, clock_offset: float = 0.0) -> None:
        self.world, self.name, self.options, self.clock_offset = world, name, options, clock_offset
        self._base = world.rng.uniform(0, 1e6)
        self.paused_until = 0.0
        self.is_running = False
        self.life = 0
        self.delayed_calls = list[Callable[[], None]]()  # calls that arrived while it was paused
        self.start()

    def __repr__(self) -> str:
        return f"<{self.name} life {self.life}, {self.clock_offset:+.3f} s, {self.cache!r}>"

    def mono(self) -> float:
        return self.world.now + self._base

    def wall(self) -> float:
        return self.world.now + self.clock_offset

    def start(self) -> None:
        """Starts a new process, which shares only the name with the previous one."""
        self.life = max(self.life + 1, int(self.wall() * 1000))
        self.is_running, self.paused_until, self.delayed_calls = True, 0.0, []
        self.view, self.history = View(self, self.life), RecordedHistory(lambda: self.world.now)
        self.cache = self.world.make_cache(
            self.options, self.view, self.mono, self.wall, self.history, self.world.configured_limiters
        )
        self.cache.initialize()
        life = self.life
        self.world.call_at(
            self.world.now + self.world.rng.uniform(0, POLL_INTERVAL_SECONDS), lambda: self._tick(life)
        )
        self.world.call_at(
            self.world.now + self.world.rng.uniform(0, GOSSIP_INTERVAL), lambda: self._gossip(life)
        )

    @property
    def closing(self) -> ClosingCache:
        assert isinstance(self.cache, ClosingCache)
        return self.cache

    def kill(self) -> None:
        self.is_running = False

    def pause(self, seconds: float) -> None:
        """Suspends the process. Calls are buffered and run first when it resumes, before its timers."""
        self.paused_until = self.world.now + seconds
        self.world.call_at(self.paused_until, self._resume)

    def _resume(self) -> None:
        if not self.is_running or self.world.now < self.paused_until:
            return
        calls, self.delayed_calls = self.delayed_calls, []
        for call in calls:
            call()

    def deliver(self, call: Callable[[], None]) -> None:
        """Runs a call now, or when the process resumes; drops it if the process is not running."""
        if not self.is_running:
            return
        if self.world.now < self.paused_until:
            self.delayed_calls.append(call)
        else:
            call()

    def _tick(self, life: int) -> None:
        if not self.is_running or life != self.life:
            return
        delay = self.world.rng.uniform(0, self.world.max_tick_delay)
        if self.world.now >= self.paused_until:
            self.view.detect_failures()
            self.cache.poll()
        self.world.call_at(
            max(self.world.now, self.paused_until) + POLL_INTERVAL_SECONDS + delay, lambda: self._tick(life)
        )

    def _gossip(self, life: int) -> None:
        if not self.is_running or life != self.life:
            return
        if self.world.now >= self.paused_until:
            self.world.send_datagrams(self)
        self.world.call_at(
            max(self.world.now, self.paused_until) + GOSSIP_INTERVAL, lambda: self._gossip(life)
        )


@dataclass
class World:
    """The true time, the network and the limiters; ``configured_limiters`` is how many the operators' file names."""

    seed: int
    make_cache: CacheFactory = ClosingCache
    configured_limiters: int = 3
    max_tick_delay: float = 0.02  # seconds
    loss_share: float = 0.0  # of datagrams
    now: float = BEGIN
    limiters: dict[str, Limiter] = field(default_factory=dict)
    cuts: set[tuple[str, str]] = field(default_factory=set)  # (sender, receiver)
    _events: list[tuple[float, int, Callable[[], None]]] = field(default_factory=list)
    _event_count: int = 0

    def __post_init__(self) -> None:
        self.rng = Random(self.seed)

    def call_at(self, when: float, call: Callable[[], None]) -> None:
        self._event_count += 1
        heapq.heappush(self._events, (when, self._event_count, call))

    def run(self, until: float) -> None:
        while self._events and self._events[0][0] <= until:
            self.now, _, call = heapq.heappop(self._events)
            call()
        self.now = until

    def add(self, name: str, options: Options, clock_offset: float = 0.0) -> Limiter:
        self.limiters[name] = Limiter(self, name, options, clock_offset)
        return self.limiters[name]

    def cut(self, left: set[str], right: set[str]) -> None:
        """Blocks all datagrams between two groups, in both directions."""
        self.cuts |= {(a, b) for a in left for b in right} | {(b, a) for a in left for b in right}

    def send_datagrams(self, sender: Limiter) -> None:
        """Sends a datagram to two other limiters."""
        others = [each for name, each in self.limiters.items() if name != sender.name]
        for other in self.rng.sample(others, min(2, len(others))):
            if (sender.name, other.name) in self.cuts or self.rng.random() < self.loss_share:
                continue
            self._transmit(sender, other, self.rng.uniform(0, MAX_DATAGRAM_DELAY))

    def _transmit(self, sender: Limiter, receiver: Limiter, delay: float) -> None:
        view, datagram = receiver.view, sender.view.make_datagram()

        def arrive() -> None:
            if view is receiver.view:
                view.receive_datagram(sender.name, *datagram)

        self.call_at(self.now + delay, lambda: receiver.deliver(arrive))


@dataclass(slots=True)
class Truth:
    """The true closings, writes and purges, which decide what may no longer be served. All instants are true time."""

    closings: dict[str, list[int]] = field(default_factory=dict)  # by account, sorted
    writes: dict[str, list[tuple[float, float, str]]] = field(
        default_factory=dict
    )  # (end, time at the server, name of the limiter)
    purges: dict[str, list[tuple[float, float]]] = field(default_factory=dict)  # (confirmation, issue)

    def find_stale_cause(self, account: str, made: float, now: float, limiter: str, bound: float) -> str:
        """Returns why an answer made at ``made`` may not be served at ``now``, or "" if it may."""
        closings = self.closings.get(account, [])
        at = bisect_right(closings, now)
        if at and made < closings[at - 1]:
            return "close"
        for ended, done, name in self.writes.get(account, ()):
            if made < done and now > ended + (0 if name == limiter else bound):
                return "change"
        if any(made < issued and now > confirmed for confirmed, issued in self.purges.get(account, ())):
            return "purge"
        return ""


@dataclass
class Clients:
    """Sends lookups and writes through the limiters' own methods and judges each answer from a cache."""

    world: World
    truth: Truth
    bound: float  # seconds for other limiters to drop the answers that a write at one limiter has made stale
    max_server_seconds: float = 0.05
    lookups: int = 0
    hits: int = 0
    stale: list[tuple[str, float, str, str, float]] = field(default_factory=list)
    open_writes: list[tuple[CacheUnderTest, str]] = field(default_factory=list)  # cache and account
    on_hit: Callable[[Limiter, str, float], None] | None = (
        None  # called with limiter, account, time of the answer
    )

    def lookup(
        self, limiter: Limiter, account: str, target: str = "/lookup", server_seconds: float | None = None
    ) -> None:
        limiter.deliver(lambda: self._lookup(limiter, account, target, server_seconds))

    def _lookup(self, limiter: Limiter, account: str, target: str, server_seconds: float | None) -> None:
        self.lookups += 1
        key: CacheKey = ("lookup", "basic", f"{target}?account={account}".encode())
        cache, now = limiter.cache, self.world.now
        found = cache.find_answer(str(self.lookups), account, key)
        if found is not None:
            self.hits += 1
            made = float(found[0].body)
            why = self.truth.find_stale_cause(account, made, now, limiter.name, self.bound)
            if not why and (cache, account) in self.open_writes:
                why = "change under way"
            if why:
                self.stale.append((why, now, limiter.name, account, made))
            if self.on_hit is not None:
                self.on_hit(limiter, account, made)
            return
        stamp = cache.stamp_lookup(account)
        if stamp is None:
            return
        server_seconds = (
            self.world.rng.uniform(0.005, self.max_server_seconds)
            if server_seconds is None
            else server_seconds
        )

        def receive_answer() -> None:
            if limiter.cache is cache:
                cache.store_answer(account, key, stamp, b"", repr(now).encode())

        self.world.call_at(now + server_seconds, lambda: limiter.deliver(receive_answer))

    def write(self, limiter: Limiter, account: str, server_seconds: float = 0.05) -> None:
        """Sends a request that is not safe to repeat; the server applies it after half of its time."""
        limiter.deliver(lambda: self._write(limiter, account, server_seconds))

    def _write(self, limiter: Limiter, account: str, server_seconds: float) -> None:
        cache, done = limiter.cache, self.world.now + server_seconds / 2
        cache.begin_write(account)
        self.open_writes.append((cache, account))

        def finish() -> None:
            self.open_writes.remove((cache, account))
            if limiter.cache is cache:
                cache.end_write(account, True, True)
                self.truth.writes.setdefault(account, []).append((self.world.now, done, limiter.name))

        self.world.call_at(self.world.now + server_seconds, lambda: limiter.deliver(finish))

    def hit_rate(self) -> float:
        return self.hits / max(1, self.lookups)
