"""A fleet in virtual time, for tests and ``benchmarks/closing_stale.py``: limiters with clocks of their own, a view
that gossips late, loses and is cut, pauses, restarts; lookups, changes and purges, each held against what is true.

Time is the world's true time; a limiter's ``mono`` is a base of its own further on, its ``wall`` the true time plus
what it is off. Nothing here sleeps: events run in the order of their instants.
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

from cypresspulley.closing.keep import Kept, Key, Sent
from cypresspulley.closing.limiter import TICK, Closing
from cypresspulley.closing.options import Options
from cypresspulley.fleet.records import Member, MemberState, Row
from cypresspulley.histories.events import FACTS, Kind
from cypresspulley.histories.writer import NoHistory

BEGIN = 1_796_083_200.0  # 2026-12-01T00:00:00Z
PERIOD = 0.2  # seconds between two datagrams of a limiter's view
LATE = 0.02  # seconds that a datagram takes at most
SUSPECT, DEAD = 1.2, 3.0  # seconds without news of a member
MEASURED = 5.0  # seconds for which a comparison of two clocks counts


class Record(NoHistory):
    """A history in memory; checks that each event has its facts."""

    def __init__(self, now: Callable[[], float] = float) -> None:
        self.events, self.times, self._now = list[tuple[Kind, dict[str, Any]]](), list[float](), now

    def open_life(self, life: int) -> None: ...

    def put(self, kind: Kind, **facts: Any) -> None:
        assert set(facts) == set(FACTS[kind]), kind
        self.events.append((kind, facts))
        self.times.append(self._now())

    def close(self) -> None: ...

    def of(self, kind: Kind) -> list[dict[str, Any]]:
        return [facts for each, facts in self.events if each is kind]


@dataclass(slots=True)
class Known:
    """What a view knows of one member: its last heartbeat, when that came, its rows, and how the clocks compare."""

    member: Member
    beat: int
    at: float
    row: tuple[int, bytes] | None = None
    clock: tuple[float, float, float] | None = None  # low, high, measured at


class View:
    """A stand-in for the fleet's view: it gossips, and finds out by silence who is gone."""

    def __init__(self, limiter: Limiter, life: int) -> None:
        self._limiter, self.local_name, self.life = limiter, limiter.name, life
        self.known = {
            self.local_name: Known(Member(self.local_name, life, 0, MemberState.ALIVE), 0, limiter.mono())
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
            Row(name, k.member.life, k.row[0], k.member.state, now - k.at, k.row[1])
            for name, k in sorted(self.known.items())
            if k.row is not None and k.member.state.present
        )

    def publish(self, subsystem: str, body: bytes) -> None:
        assert len(body) <= 200
        self._version += 1
        self.known[self.local_name].row = (self._version, body)

    def is_settled(self, now: float) -> bool:
        return True

    def count_heard(self, now: float, within: float) -> int:
        return sum(now - k.at <= within for name, k in self.known.items() if name != self.local_name)

    def clock_error(self, now: float) -> tuple[float, float] | None:
        found = [k.clock for k in self.known.values() if k.clock is not None and now - k.clock[2] <= MEASURED]
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

    # Between views.

    def says(self) -> tuple[float, list[Known], dict[str, bytes]]:
        """A datagram: this wall clock, all that is known, and the documents."""
        me = self.known[self.local_name]
        me.beat, me.at = me.beat + 1, self._limiter.mono()
        rows = [Known(k.member, k.beat, k.at, k.row) for k in self.known.values()]
        return self._limiter.wall(), rows, dict(self.documents)

    def hears(self, sender: str, wall: float, rows: list[Known], documents: dict[str, bytes]) -> None:
        now = self._limiter.mono()
        for told in rows:
            self._hear(now, told)
        if sender in self.known:
            off = self._limiter.wall() - wall
            self.known[sender].clock = (off - LATE, off, now)
        for digest in self.wanted & set(documents):
            self.documents[digest] = documents[digest]
        self.wanted -= set(self.documents)

    def _hear(self, now: float, told: Known) -> None:
        name = told.member.name
        if name == self.local_name:
            return
        known = self.known.get(name)
        if known is None or (told.member.life, told.beat) > (known.member.life, known.beat):
            clock = known.clock if known is not None and known.member.life == told.member.life else None
            state = MemberState.LEFT if told.member.state is MemberState.LEFT else MemberState.ALIVE
            member = Member(name, told.member.life, 0, state)
            self.known[name] = Known(member, told.beat, now, told.row, clock)

    def look(self) -> None:
        """Who has been silent for too long is suspected, then dead."""
        now = self._limiter.mono()
        for name, k in self.known.items():
            if name == self.local_name or not k.member.state.present:
                continue
            silent = now - k.at
            state = (
                MemberState.DEAD
                if silent > DEAD
                else MemberState.SUSPECTED
                if silent > SUSPECT
                else MemberState.ALIVE
            )
            if state is not k.member.state:
                k.member = Member(name, k.member.life, 0, state)


class Keeper(Protocol):
    """What the world asks of a limiter: ``Closing``, or a baseline."""

    def begin(self) -> None: ...
    def look(self) -> None: ...
    def served(self, id: str, account: str, key: Key) -> tuple[Kept, float] | None: ...
    def sending(self, account: str) -> Sent | None: ...
    def answered(self, account: str, key: Key, sent: Sent, headers: bytes, body: bytes) -> None: ...
    def changing(self, account: str) -> None: ...
    def changed(self, account: str, tried: bool, sure: bool) -> None: ...


Make = Callable[[Options, View, Callable[[], float], Callable[[], float], Record, int], Keeper]


class Limiter:
    """One limiter through its lives."""

    def __init__(self, world: World, name: str, options: Options, off: float = 0.0) -> None:
        self.world, self.name, self.options, self.off = world, name, options, off
        self._base = world.rng.uniform(0, 1e6)
        self.paused = 0.0  # until then
        self.up = False
        self.life = 0
        self.waits = list[Callable[[], None]]()  # what came while it was paused
        self.start()

    def __repr__(self) -> str:
        return f"<{self.name} life {self.life}, {self.off:+.3f} s, {self.keeper!r}>"

    def mono(self) -> float:
        return self.world.now + self._base

    def wall(self) -> float:
        return self.world.now + self.off

    def start(self) -> None:
        """A new life: nothing of the one before is left but its name."""
        self.life = max(self.life + 1, int(self.wall() * 1000))
        self.up, self.paused, self.waits = True, 0.0, []
        self.view, self.history = View(self, self.life), Record(lambda: self.world.now)
        self.keeper = self.world.make(
            self.options, self.view, self.mono, self.wall, self.history, self.world.named
        )
        self.keeper.begin()
        life = self.life
        self.world.at(self.world.now + self.world.rng.uniform(0, TICK), lambda: self._tick(life))
        self.world.at(self.world.now + self.world.rng.uniform(0, PERIOD), lambda: self._gossip(life))

    @property
    def closing(self) -> Closing:
        assert isinstance(self.keeper, Closing)
        return self.keeper

    def kill(self) -> None:
        self.up = False

    def pause(self, seconds: float) -> None:
        """Stopped: what comes waits in buffers, and is what it sees first when it wakes."""
        self.paused = self.world.now + seconds
        self.world.at(self.paused, self._wake)

    def _wake(self) -> None:
        if not self.up or self.world.now < self.paused:
            return
        waits, self.waits = self.waits, []
        for what in waits:
            what()

    def does(self, what: Callable[[], None]) -> None:
        """Now, or when it wakes; never where its life has ended."""
        if not self.up:
            return
        if self.world.now < self.paused:
            self.waits.append(what)
        else:
            what()

    def _tick(self, life: int) -> None:
        if not self.up or life != self.life:
            return
        late = self.world.rng.uniform(0, self.world.late)
        if self.world.now >= self.paused:
            self.view.look()
            self.keeper.look()
        self.world.at(max(self.world.now, self.paused) + TICK + late, lambda: self._tick(life))

    def _gossip(self, life: int) -> None:
        if not self.up or life != self.life:
            return
        if self.world.now >= self.paused:
            self.world.spread(self)
        self.world.at(max(self.world.now, self.paused) + PERIOD, lambda: self._gossip(life))


@dataclass
class World:
    """``truth`` gives each account's closings as they are true. ``named``: limiters that the operators' file names."""

    seed: int
    make: Make = Closing
    named: int = 3
    late: float = 0.02  # seconds that a tick is late at most
    loss: float = 0.0
    now: float = BEGIN
    limiters: dict[str, Limiter] = field(default_factory=dict)
    cuts: set[tuple[str, str]] = field(default_factory=set)  # from, to
    _coming: list[tuple[float, int, Callable[[], None]]] = field(default_factory=list)
    _count: int = 0

    def __post_init__(self) -> None:
        self.rng = Random(self.seed)

    def at(self, when: float, what: Callable[[], None]) -> None:
        self._count += 1
        heapq.heappush(self._coming, (when, self._count, what))

    def run(self, until: float) -> None:
        while self._coming and self._coming[0][0] <= until:
            self.now, _, what = heapq.heappop(self._coming)
            what()
        self.now = until

    def add(self, name: str, options: Options, off: float = 0.0) -> Limiter:
        self.limiters[name] = Limiter(self, name, options, off)
        return self.limiters[name]

    def cut(self, left: set[str], right: set[str]) -> None:
        """Nothing passes between the two, either way."""
        self.cuts |= {(a, b) for a in left for b in right} | {(b, a) for a in left for b in right}

    def spread(self, sender: Limiter) -> None:
        """A datagram to two others."""
        others = [each for name, each in self.limiters.items() if name != sender.name]
        for other in self.rng.sample(others, min(2, len(others))):
            if (sender.name, other.name) in self.cuts or self.rng.random() < self.loss:
                continue
            self._pass(sender, other, self.rng.uniform(0, LATE))

    def _pass(self, sender: Limiter, other: Limiter, late: float) -> None:
        to, said = other.view, sender.view.says()

        def comes() -> None:
            if to is other.view:
                to.hears(sender.name, *said)

        self.at(self.now + late, lambda: other.does(comes))


@dataclass(slots=True)
class Truth:
    """What may no longer be served. All instants are true ones."""

    closings: dict[str, list[int]] = field(default_factory=dict)  # by account, sorted
    changes: dict[str, list[tuple[float, float, str]]] = field(
        default_factory=dict
    )  # ended, made by, at which limiter
    purges: dict[str, list[tuple[float, float]]] = field(default_factory=dict)  # the yes, issued

    def stale(self, account: str, made: float, now: float, limiter: str, bound: float) -> str:
        """Why an answer of ``made`` may not be served at ``now``; "" where it may."""
        closings = self.closings.get(account, [])
        at = bisect_right(closings, now)
        if at and made < closings[at - 1]:
            return "close"
        for ended, done, where in self.changes.get(account, ()):
            if made < done and now > ended + (0 if where == limiter else bound):
                return "change"
        if any(made < issued and now > yes for yes, issued in self.purges.get(account, ())):
            return "purge"
        return ""


@dataclass
class Clients:
    """Lookups and changes at the limiters' own methods, each judged. ``worst`` is by how much an answer was too old."""

    world: World
    truth: Truth
    bound: float  # seconds for others to drop what a change at one limiter made old
    took: float = 0.05  # seconds of a server's answer, at most
    asked: int = 0
    hits: int = 0
    stale: list[tuple[str, float, str, str, float]] = field(default_factory=list)
    under_way: list[tuple[Keeper, str]] = field(default_factory=list)  # changes, and where
    watch: Callable[[Limiter, str, float], None] | None = None  # each hit: at whom, whose, when it was made

    def lookup(
        self, limiter: Limiter, account: str, target: str = "/lookup", took: float | None = None
    ) -> None:
        limiter.does(lambda: self._lookup(limiter, account, target, took))

    def _lookup(self, limiter: Limiter, account: str, target: str, took: float | None) -> None:
        self.asked += 1
        key: Key = ("lookup", "basic", f"{target}?account={account}".encode())
        keeper, now = limiter.keeper, self.world.now
        found = keeper.served(str(self.asked), account, key)
        if found is not None:
            self.hits += 1
            made = float(found[0].body)
            why = self.truth.stale(account, made, now, limiter.name, self.bound)
            if not why and (keeper, account) in self.under_way:
                why = "change under way"
            if why:
                self.stale.append((why, now, limiter.name, account, made))
            if self.watch is not None:
                self.watch(limiter, account, made)
            return
        sent = keeper.sending(account)
        if sent is None:
            return
        took = self.world.rng.uniform(0.005, self.took) if took is None else took

        def answered() -> None:
            if limiter.keeper is keeper:
                keeper.answered(account, key, sent, b"", repr(now).encode())

        self.world.at(now + took, lambda: limiter.does(answered))

    def change(self, limiter: Limiter, account: str, took: float = 0.05) -> None:
        """A request that is not safe to repeat; a server carries it out in the middle of its time."""
        limiter.does(lambda: self._change(limiter, account, took))

    def _change(self, limiter: Limiter, account: str, took: float) -> None:
        keeper, done = limiter.keeper, self.world.now + took / 2
        keeper.changing(account)
        self.under_way.append((keeper, account))

        def changed() -> None:
            self.under_way.remove((keeper, account))
            if limiter.keeper is keeper:
                keeper.changed(account, True, True)
                self.truth.changes.setdefault(account, []).append((self.world.now, done, limiter.name))

        self.world.at(self.world.now + took, lambda: limiter.does(changed))

    def rate(self) -> float:
        return self.hits / max(1, self.asked)
