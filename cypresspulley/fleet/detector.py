"""The failure detector: from events (datagrams, the passing of time) to actions (datagrams, news). No I/O, no clock.

What one member holds of another, and what changes it (SWIM; Lifeguard for suspicion and local health). A claim counts
only where its rank is larger than the one held; "told" is a claim by any other member, "says" one by itself:

    held           what happens                                      held from then on
    -------------  ------------------------------------------------  ----------------------------------------------
    unknown        says or told joining, alive, leaving, suspected   that
    unknown        told left, dead                                   that (a tombstone)
    joining        says alive                                        alive
    joining,alive  a probe fails, direct and by others               suspected, by me
    joining,alive  told suspected                                    suspected, by the teller
    joining,alive  told dead                                         suspected, for a shorter time (see ``timing.told``)
    joining,alive  says leaving (incarnation + 1)                    leaving
    suspected      says alive with a larger incarnation              alive (refuted)
    suspected      told suspected by one more, or my probe fails     suspected, for a shorter time
    suspected      told dead                                         suspected, for the shorter time at most
    suspected      its time is over, and I stand in no doubt         dead
    leaving        a probe fails                                     left: a leaver is never suspected
    leaving        says or told left                                 left
    left, dead     says or told a larger incarnation or life         that
    any            a larger life                                     that, in the state it comes with

And of itself:

    joining        another's whole view is here, or no seed to ask   alive
    any            told of itself suspected, left or dead            the same state, incarnation above the one told
    any            told of a later life of its own name              the same state, a life one above it
    joining,alive  leave                                             leaving, incarnation + 1
    any            end                                               left; nothing is said or heard from then on

Only a member itself ever raises its incarnation or life. That a death that is told is first held as a suspicion gives
the dead one the time to refute it before each view that hears of it: so no single member, slow or wrong, kills another.

A process that stood still (its timers come late) has no ground to accuse: it lets its open probes go, gives its
suspicions the time that it lost, and doubts itself for a while (local health).
"""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from random import Random

from msgspec import Raw

from cypresspulley.fleet import timing, wire
from cypresspulley.fleet.clocks import Clocks
from cypresspulley.fleet.documents import Documents
from cypresspulley.fleet.records import Member, State
from cypresspulley.fleet.view import View, bucket
from cypresspulley.fleet.wire import Envelope

STALE = 24 * 3600.0  # seconds that a datagram's wall clock may differ from this one
MOST_PIECES = 24  # datagrams of one answer to a comparison
MOST_RELAYS = 64  # indirect probes under way for others
MOST_RISES = 8  # of this process's life: beyond, another process has its name
RECALLED = 3600.0  # seconds after its death that a member is still called
GOSSIPS = 2  # datagrams a period that carry nothing but news
LEAVE_WORDS = 8  # members that are told of an end directly


# Events


@dataclass(frozen=True, slots=True)
class Begin:
    """The channel is open."""


@dataclass(frozen=True, slots=True)
class Tick:
    """``Detector.due`` has come."""


@dataclass(frozen=True, slots=True)
class Datagram:
    data: bytes


@dataclass(frozen=True, slots=True)
class Leave:
    """This process has begun to end."""


@dataclass(frozen=True, slots=True)
class End:
    """This process is about to end."""


Event = Begin | Tick | Datagram | Leave | End

# Actions


@dataclass(frozen=True, slots=True)
class Send:
    """``address`` is ``host:port`` as a member tells it: it may be no address at all."""

    address: str
    data: bytes


@dataclass(frozen=True, slots=True)
class Changed:
    """The view has another state of a member. ``cause`` as in ``histories.events``: self, probe, told or refuted."""

    member: Member
    cause: str


@dataclass(frozen=True, slots=True)
class Rose:
    """This member has a new life."""

    life: int


@dataclass(frozen=True, slots=True)
class Settled:
    settled: bool
    digest: int
    members: int


Action = Send | Changed | Rose | Settled


# What is under way


@dataclass(slots=True)
class Probe:
    """One probe of mine. ``asked`` counts the helpers, ``missed`` those who say that they did not reach it either."""

    target: str
    life: int
    sent: float
    counts: bool = True  # whether its failing accuses: a word to the dead or a seed does not
    asked: int = 0
    missed: int = 0


@dataclass(slots=True)
class Suspicion:
    """``since`` is when it began here, ``told`` whether another holds the member dead."""

    since: float
    accusers: set[str] = field(default_factory=set)
    told: bool = False

    def until(self, members: int, period: float) -> float:
        periods = timing.suspicion(members, max(0, len(self.accusers) - 1))
        if self.told:
            periods = min(periods, timing.told(members))
        return self.since + periods * period


class Window:
    """Which of a sender's datagrams have come, by number: each counts once, one older than 64 others not at all."""

    __slots__ = ("bits", "life", "top")

    def __init__(self, life: int) -> None:
        self.life, self.top, self.bits = life, -1, 0

    def take(self, number: int) -> bool:
        """Whether this one is new."""
        if number > self.top:
            shift = min(64, number - self.top)
            self.bits = ((self.bits << shift) | 1) & (2**64 - 1)
            self.top = number
            return True
        bit = self.top - number
        if bit >= 64 or self.bits >> bit & 1:
            return False
        self.bits |= 1 << bit
        return True


@dataclass(slots=True)
class Peer:
    """What this member knows of another by its own datagrams, of its present life."""

    window: Window
    heard: float
    digest: int = -1  # as last told
    rows: int = -1
    top: int = -1  # number of the datagram that told it
    at: float = float("-inf")  # when it was told
    amended: float = float("-inf")  # when it was last told better of itself


class Detector:
    """One member's detector. ``handle`` takes every event in order; ``due`` is when it next wants a ``Tick``.

    ``period`` in seconds; ``seeds`` are addresses, this member's own may be among them. All draws are from ``rng``.
    """

    def __init__(
        self, me: Member, codec: wire.Codec, seeds: tuple[str, ...], period: float, rng: Random
    ) -> None:
        self.view = View(me)
        self.clocks = Clocks()
        self.documents = Documents()
        self.counts = Counter[str]()  # datagrams sent, taken, and dropped by cause
        self.health = 0  # the local health multiplier, 0 (good) to timing.MOST_HEALTH
        self._codec, self._period, self._rng = codec, period, rng
        self._seeds = tuple(seed for seed in dict.fromkeys(seeds) if seed != me.address)
        self._peers = dict[str, Peer]()
        self._probes = dict[int, Probe]()  # by nonce
        self._relays = dict[int, tuple[str, int, str]]()  # by my nonce: who asked, its nonce, the target
        self._suspicions = dict[str, Suspicion]()
        self._round = list[str]()  # of targets, the next one last
        self._timers = list[tuple[float, int, str, str]]()
        self._actions = list[Action]()
        self._number = self._drawn = self._rises = self._periods = 0
        self._compared = self._doubt_until = float("-inf")
        self._awaited = 0  # number of my comparison that is under way
        self._backoff = 1
        self._checked = -1  # place among the others of who was last asked for its digest
        self._tried = 0  # members asked this period for documents
        self._settled = False
        self._ended = False
        self._record = self.view.entry(me.name)

    def __repr__(self) -> str:
        return f"<Detector {self.view!r}, health {self.health}, {len(self._suspicions)} suspected>"

    @property
    def due(self) -> float:
        """The instant of the next ``Tick``; infinity before ``Begin`` and after ``End``."""
        return self._timers[0][0] if self._timers and not self._ended else float("inf")

    def handle(self, now: float, wall: float, event: Event) -> list[Action]:
        """``now`` in seconds of a clock that never steps, ``wall`` Unix seconds by the wall clock."""
        if self._ended:
            return []
        self._now, self._wall = now, wall
        stall = max(timing.STALL * self._period, timing.STALL_LEAST)
        if self._timers and (late := now - self._timers[0][0]) > stall:
            self._stood_still(late)
        match event:
            case Datagram(data):
                self._receive(data)
            case Tick():
                self._tick()
            case Begin():
                self._begin()
            case Leave():
                self._leave()
            case End():
                self._end()
        done, self._actions = self._actions, []
        return done

    # What others ask of it

    def settled(self) -> bool:
        """Whether every other present member has last told the digest that is this one's own."""
        if self.view.myself.state is State.JOINING:
            return False
        digest, peers = self.view.digest, self._peers
        told = (peers.get(name) for name in self.view.others())
        return all(peer is not None and peer.digest == digest for peer in told)

    def heard(self, now: float, within: float) -> int:
        """Present members that have been heard from directly in so many seconds."""
        found = ((name, peer) for name, peer in self._peers.items() if now - peer.heard <= within)
        return sum(1 for name, _ in found if (held := self.view.get(name)) is not None and held.state.present)

    # Time

    def _after(self, periods: float, kind: str, key: str = "") -> None:
        self._drawn += 1
        heapq.heappush(self._timers, (self._now + periods * self._period, self._drawn, kind, key))

    def _tick(self) -> None:
        while self._timers and self._timers[0][0] <= self._now:
            _, _, kind, key = heapq.heappop(self._timers)
            _TIMERS[kind](self, key)

    def _stood_still(self, late: float) -> None:
        """Timers are late by so many seconds: what was not heard meanwhile says nothing about others."""
        self._timers = [(at + late, *rest) for at, *rest in self._timers]  # type: ignore[misc]
        heapq.heapify(self._timers)
        for probe in self._probes.values():
            probe.counts = False
        for suspicion in self._suspicions.values():
            suspicion.since += late
        self._doubt_until = self._now + (1 + min(late / self._period, 1.0)) * self._period
        self._feel(1 + int(min(late / self._period, 2.0)))
        self.counts["stalls"] += 1

    def _feel(self, change: int) -> None:
        self.health = min(timing.MOST_HEALTH, max(0, self.health + change))

    # Beginning and end

    def _begin(self) -> None:
        self._record = self.view.entry(self.view.me)  # the view may have been filled before
        self._changed(self.view.myself, "self")
        self._after(self._rng.random(), "period")
        if self._seeds:
            self._seed("")
        else:
            self._arrive()

    def _seed(self, _: str) -> None:
        """Knock at some seeds, ever more seldom, until there is somebody."""
        if self.view.present > 1 and self.view.myself.state is not State.JOINING:
            return
        for address in self._rng.sample(self._seeds, min(3, len(self._seeds))):
            self._ping("", address, counts=False)
        self._after(self._backoff * (0.75 + 0.5 * self._rng.random()), "seed")
        self._backoff = min(16, 2 * self._backoff)

    def _arrive(self) -> None:
        if self.view.myself.state is State.JOINING:
            self._become(replace(self.view.myself, state=State.ALIVE), "self")

    def _leave(self) -> None:
        me = self.view.myself
        if me.state < State.LEAVING:
            self._become(replace(me, incarnation=me.incarnation + 1, state=State.LEAVING), "self")
            for name in self._others(LEAVE_WORDS):
                self._say(name, wire.Gossip())

    def _end(self) -> None:
        me = self.view.myself
        raised = me.incarnation + (me.state < State.LEAVING)
        self._become(replace(me, incarnation=raised, state=State.LEFT), "self")
        for name in self._others(LEAVE_WORDS):
            self._say(name, wire.Gossip())
        self._ended = True

    def _become(self, me: Member, cause: str) -> None:
        """Hold this of myself, and say it."""
        rose = me.life != self.view.myself.life
        self.view.put(self._now, me)
        self._record = self.view.entry(me.name)
        if rose:
            self.view.relive(self._now)
            self._number = 0
            self._actions.append(Rose(me.life))
        self.view.queue.add((me.name, ""), self._record)
        self._changed(me, cause)

    # A period

    def _period_over(self, _: str) -> None:
        self._after(1, "period")
        self._periods += 1
        self._tried = 0
        self.view.turn(self._now)
        if target := self._next_target():
            self._ping(target, self._address(target))
        if len(self.view.queue):
            for name in self._others(GOSSIPS):
                self._say(name, wire.Gossip())
        recent = self._now - self.view.changed <= timing.CHECKED * self._period
        if recent and not self._suspicions:  # what is in suspense changes again
            for name in self._differing(timing.CHECKS):
                self._ping(name, self._address(name), counts=False)
        if self._periods % timing.RECALL == 0:
            self._recall()
            for name in [name for name in self._peers if self.view.get(name) is None]:
                self._forget(name)  # its tombstone is gone
        for digest in self.documents.wanted():
            self._fetch(digest)
        self._see_settled()

    def _next_target(self) -> str | None:
        """Each member once a round, in an order drawn for it (SWIM, section 4.3)."""
        for _ in range(2):
            while self._round:
                name = self._round.pop()
                held = self.view.get(name)
                if held is not None and held.state.present:
                    return name
            self._round = list(self.view.others())
            self._rng.shuffle(self._round)
        return None

    def _differing(self, most: int) -> list[str]:
        """Members whose digest, as last told, is not mine: all in turn."""
        others, peers, found = self.view.others(), self._peers, list[str]()
        for _ in range(len(others)):
            self._checked = (self._checked + 1) % len(others)
            peer = peers.get(others[self._checked])
            if peer is None or peer.digest != self.view.digest:
                found.append(others[self._checked])
                if len(found) == most:
                    break
        return found

    def _recall(self) -> None:
        """A word to one that is held dead, or to a seed nobody in the view has: so a cut that ends is noticed."""
        dead = [(m.name, m.address) for m in self.view.ended(self._now, RECALLED)]
        held = {m.address for m in self.view.members()} if self._seeds else set()
        seeds = [("", seed) for seed in self._seeds if seed not in held]
        if choice := dead + seeds:
            name, address = self._rng.choice(choice)
            self._ping(name, address, counts=False)

    def _see_settled(self) -> None:
        settled = self.settled()
        if settled != self._settled:
            self._settled = settled
            self._actions.append(Settled(settled, self.view.digest, self.view.present))

    def _others(self, most: int) -> list[str]:
        names = self.view.others()
        return self._rng.sample(names, min(most, len(names)))

    def _address(self, name: str) -> str:
        member = self.view.get(name)
        return "" if member is None else member.address

    # Probes

    def _ping(self, name: str, address: str, counts: bool = True) -> None:
        self._drawn += 1
        nonce = self._drawn << 20 | self._rng.getrandbits(20)
        held = self.view.get(name)
        self._probes[nonce] = Probe(name, held.life if held else 0, self._now, counts)
        if counts:
            self._after(timing.DIRECT * (1 + self.health), "direct", str(nonce))
        self._after(timing.WHOLE * (1 + self.health), "failed", str(nonce))
        doubted = [name] if held is not None and held.state >= State.SUSPECTED else []
        self._post(address, wire.Ping(nonce, name), doubted)

    def _direct_over(self, key: str) -> None:
        probe = self._probes.get(int(key))
        if probe is None or not probe.counts:
            return
        helpers = [name for name in self._others(timing.ASKED + 1) if name != probe.target][: timing.ASKED]
        probe.asked = len(helpers)
        for name in helpers:
            self._say(name, wire.Ask(int(key), probe.target, self._address(probe.target)))

    def _failed(self, key: str) -> None:
        probe = self._probes.pop(int(key), None)
        if probe is None or not probe.counts:
            return
        if (
            probe.missed < probe.asked or not probe.asked
        ):  # a helper that says nothing: it may be me who hears badly
            self._feel(1)
        held = self.view.get(probe.target)
        if held is None or held.life != probe.life or self._now < self._doubt_until:
            return
        if held.state is State.LEAVING:
            self._take(replace(held, state=State.LEFT), "probe", self.view.me)
        elif held.state <= State.SUSPECTED:
            self._take(replace(held, state=State.SUSPECTED), "probe", self.view.me)

    def _acked(self, sender: str, life: int, nonce: int, wall: float) -> None:
        probe = self._probes.get(nonce)
        if probe is None or (probe.target and (probe.target != sender or probe.life > life)):
            self.counts["unasked"] += 1
            return
        del self._probes[nonce]
        if probe.counts:
            self._feel(-1)
        self.clocks.answered(sender, probe.sent, self._now, wall)

    def _relay(self, envelope: Envelope, ask: wire.Ask) -> None:
        if len(self._relays) >= MOST_RELAYS:
            self.counts["relays refused"] += 1
            return
        self._drawn += 1
        nonce = self._drawn << 20 | self._rng.getrandbits(20)
        self._relays[nonce] = (envelope.me.address, ask.nonce, ask.to)
        self._after(timing.DIRECT, "relay", str(nonce))
        self._post(ask.address, wire.Ping(nonce, ask.to))

    def _relay_over(self, key: str) -> None:
        if relay := self._relays.pop(int(key), None):
            self._post(relay[0], wire.Missed(relay[1]))

    # Suspicion

    def _suspicion_over(self, name: str) -> None:
        suspicion, held = self._suspicions.get(name), self.view.get(name)
        if suspicion is None or held is None:
            return
        until = suspicion.until(self.view.present, self._period)
        if until > self._now or self._now < self._doubt_until:
            self._watch(name, max(until, self._doubt_until))
            return
        del self._suspicions[name]
        cause = "told" if suspicion.told else "probe"
        self._hold(replace(held, state=State.DEAD), cause, self.view.me)

    def _watch(self, name: str, until: float) -> None:
        self._drawn += 1
        heapq.heappush(self._timers, (max(until, self._now + 1e-3), self._drawn, "suspicion", name))

    def _accuse(self, name: str, by: str, told: bool) -> None:
        """One more that suspects the member, or holds it dead: the time is shorter from here on."""
        suspicion = self._suspicions.setdefault(name, Suspicion(self._now))
        before = suspicion.until(self.view.present, self._period) if suspicion.accusers else float("inf")
        if by not in suspicion.accusers and len(suspicion.accusers) <= timing.ACCUSERS:
            suspicion.accusers.add(by)
            self.view.queue.add((name, ""), self.view.entry(name, by))
        suspicion.told = suspicion.told or told
        if (until := suspicion.until(self.view.present, self._period)) < before:
            self._watch(name, until)

    # Claims

    def _known(self, entry: wire.Entry, by: str) -> bool:
        """Whether the claim surely changes nothing: most do not, and this is quicker than to take them."""
        held = self.view.get(entry.name)
        if held is None or entry.life != held.life or entry.incarnation != held.incarnation:
            return held is not None and (entry.life, entry.incarnation) < (held.life, held.incarnation)
        if entry.state < held.state:
            return True
        suspicion = self._suspicions.get(entry.name)
        if suspicion is None:
            return entry.state == held.state and entry.zone == held.zone and entry.address == held.address
        accused = by in suspicion.accusers or len(suspicion.accusers) > timing.ACCUSERS
        return accused and (entry.state is State.SUSPECTED or (suspicion.told and entry.state is State.DEAD))

    def _take(self, claim: Member, cause: str, by: str) -> None:
        """A claim about a member, ``by`` its maker where it accuses."""
        if claim.name == self.view.me:
            self._take_of_me(claim)
            return
        held = self.view.get(claim.name)
        if claim.state is State.DEAD and held is not None and held.state.present and claim.rank > held.rank:
            said = replace(claim, state=State.SUSPECTED)
            if said.rank > held.rank:
                self._hold(said, cause, by)
            self._accuse(claim.name, by, True)
            return
        if held is not None and claim.rank == held.rank:
            if claim.state is State.SUSPECTED:
                self._accuse(claim.name, by, False)
            if self.view.merge(self._now, claim):  # another zone or address: the same life has spoken twice
                self.view.queue.add((claim.name, ""), self.view.entry(claim.name, by))
            return
        self._hold(claim, cause, by)
        if claim.state is State.SUSPECTED and self.view.get(claim.name) == claim:
            self._accuse(claim.name, by, False)

    def _hold(self, claim: Member, cause: str, by: str) -> None:
        held = self.view.get(claim.name)
        if not self.view.merge(self._now, claim):
            return
        if claim.state is not State.SUSPECTED or (held is not None and held.rank[:2] != claim.rank[:2]):
            self._suspicions.pop(claim.name, None)
        if held is not None and held.life != claim.life:
            self._forget(claim.name)
        if held is not None and held.state >= State.SUSPECTED and claim.state < State.SUSPECTED:
            cause = "refuted"
        self.view.queue.add((claim.name, ""), self.view.entry(claim.name, by))
        if held is None and claim.state.present:
            self._round.insert(self._rng.randint(0, len(self._round)), claim.name)
        if held is not None or claim.state.present:  # one that was never held here has not died here
            self._changed(claim, cause)

    def _forget(self, name: str) -> None:
        self._peers.pop(name, None)
        self.clocks.forget(name)

    def _take_of_me(self, claim: Member) -> None:
        me = self.view.myself
        if claim.life > me.life:
            if self._rises >= MOST_RISES:
                self.counts["usurped"] += 1
                return
            self._rises += 1
            self._become(replace(me, life=claim.life + 1, incarnation=0), "self")
        elif claim.life == me.life and claim.rank > me.rank:
            if claim.state >= State.SUSPECTED:
                self._feel(1)
            self._become(replace(me, incarnation=claim.incarnation + 1), "refuted")

    def _changed(self, member: Member, cause: str) -> None:
        self._actions.append(Changed(member, cause))
        if self._settled:
            self._see_settled()

    # Datagrams out

    def _say(self, name: str, message: wire.Message) -> None:
        self._post(self._address(name), message)

    def _post(self, address: str, message: wire.Message, first: list[str] | None = None) -> None:
        """Send it with as much news beside it as there is room; ``first`` are members whose records go in any case."""
        told = wire.raw(message)
        entries = [self.view.entry(name) for name in first or ()]
        room = self._room(told) - sum(wire.size(entry) for entry in entries)
        news, cells = self.view.queue.take(self._now, self.view, room)
        self._send(address, told, entries + news, cells)

    def _room(self, told: Raw) -> int:
        """Bytes for records beside a message: 140 are more than the rest of an envelope takes."""
        return wire.MOST_BYTES - wire.HEAD - 140 - wire.size(self._record) - wire.size(told)

    def _send(self, address: str, told: Raw, entries: list[Raw], cells: list[Raw]) -> None:
        view = self.view
        head = (
            self._number,
            max(0, round(self._wall * 1000)),
            view.digest,
            view.rows_digest,
            view.versions(),
        )
        self._number += 1
        data = self._codec.encode(head, self._record, told, entries, cells)
        self.counts["sent"] += 1
        self.counts["sent bytes"] += len(data)
        self._actions.append(Send(address, data))

    # Datagrams in

    def _receive(self, data: bytes) -> None:
        try:
            envelope = self._codec.decode(data)
        except wire.Unreadable as error:
            self.counts[error.cause] += 1
            return
        sender = envelope.me
        if abs(envelope.wall / 1000 - self._wall) > STALE:
            self.counts["stale"] += 1
            return
        if sender.name == self.view.me:  # an echo, or a former life of mine that still speaks
            self.counts["own"] += 1
            self._take_of_me(sender.member())
            return
        if not self._fresh(envelope):
            self.counts["replayed"] += 1
            return
        self.counts["taken"] += 1
        self._take(sender.member(), "told", sender.by)
        for entry in envelope.entries:
            if not self._known(entry, entry.by or sender.name):
                self._take(entry.member(), "told", entry.by or sender.name)
        for cell in envelope.cells:
            self.view.merge_row(self._now, cell)
        self._note(envelope)
        _MESSAGES[type(envelope.message)](self, envelope)
        self._see_difference(envelope)

    def _fresh(self, envelope: Envelope) -> bool:
        """Whether it has not come before. One of a life that is over is: its claims are merged, and change nothing."""
        sender = envelope.me
        peer = self._peers.get(sender.name)
        if peer is None or peer.window.life < sender.life:
            return True
        return peer.window.life > sender.life or peer.window.take(envelope.number)

    def _note(self, envelope: Envelope) -> None:
        """What the sender tells of itself beside its message."""
        sender, held = envelope.me, self.view.get(envelope.me.name)
        if held is None:  # no room for it
            self.counts["full"] += 1
            return
        if held.life != sender.life:
            return
        peer = self._peers.get(sender.name)
        if peer is None or peer.window.life != sender.life:
            peer = self._peers[sender.name] = Peer(Window(sender.life), self._now)
            peer.window.take(envelope.number)
        peer.heard = self._now
        if envelope.number >= peer.top:
            peer.top, peer.at = envelope.number, self._now
            peer.digest, peer.rows = envelope.members, envelope.rows
        self.view.confirm(self._now, sender.name, sender.life, envelope.versions)

    def _see_difference(self, envelope: Envelope) -> None:
        """Tell the sender what it does not know of itself; compare views where digests differ for long."""
        sender, held = envelope.me, self.view.get(envelope.me.name)
        if held is None:
            return
        if held.rank > sender.member().rank and not isinstance(envelope.message, wire.Ping):
            peer = self._peers.get(sender.name)
            if peer is None or self._now - peer.amended >= self._period:
                if peer is not None:
                    peer.amended = self._now
                self._post(sender.address, wire.Gossip(), [sender.name])
        joining = self.view.myself.state is State.JOINING
        differ = (envelope.members, envelope.rows) != (self.view.digest, self.view.rows_digest)
        if not (differ or joining) or not held.state.present:
            return
        moving = self._now - self.view.changed < 2 * self._period and not joining
        if self._now - self._compared >= (4 if moving else 1) * self._period:
            self._compared = self._now
            self._drawn += 1
            self._awaited = self._drawn
            compare = wire.Compare(self._awaited, self.view.bucket_digests())
            self._post(sender.address, compare)

    def _on_ping(self, envelope: Envelope) -> None:
        ping, sender = envelope.message, envelope.me
        assert isinstance(ping, wire.Ping)
        if ping.to and ping.to != self.view.me:
            self.counts["astray"] += 1
            return
        held = self.view.get(sender.name)
        better = [sender.name] if held is not None and held.rank > sender.member().rank else []
        self._post(sender.address, wire.Ack(ping.nonce), better)

    def _on_ack(self, envelope: Envelope) -> None:
        ack, sender = envelope.message, envelope.me
        assert isinstance(ack, wire.Ack)
        if (relay := self._relays.get(ack.nonce)) is not None:
            if relay[2] == sender.name:
                del self._relays[ack.nonce]
                self._post(relay[0], wire.Reached(relay[1]))
            return
        self._acked(sender.name, sender.life, ack.nonce, envelope.wall / 1000)

    def _on_ask(self, envelope: Envelope) -> None:
        assert isinstance(envelope.message, wire.Ask)
        self._relay(envelope, envelope.message)

    def _on_reached(self, envelope: Envelope) -> None:
        assert isinstance(envelope.message, wire.Reached)
        probe = self._probes.get(envelope.message.nonce)
        if probe is not None and probe.counts and probe.asked:
            del self._probes[envelope.message.nonce]
            self._feel(-1)

    def _on_missed(self, envelope: Envelope) -> None:
        assert isinstance(envelope.message, wire.Missed)
        probe = self._probes.get(envelope.message.nonce)
        if probe is not None and probe.missed < probe.asked:
            probe.missed += 1

    def _on_gossip(self, envelope: Envelope) -> None:
        pass

    # Whole exchange

    def _on_compare(self, envelope: Envelope) -> None:
        """Answer with all that I hold in the buckets that differ, in pieces."""
        compare, address = envelope.message, envelope.me.address
        assert isinstance(compare, wire.Compare)
        mask = self.view.differing(compare.buckets)
        after, end = (0, "", ""), (wire.BUCKETS, "", "")
        room = (
            self._room(wire.raw(wire.Piece(compare.number, 2**64 - 1, after, end, False))) - 200
        )  # two keys
        entries, cells, used, sent, upto = list[Raw](), list[Raw](), 0, 0, after
        for key in self.view.keys(mask):
            record = self.view.cell(self._now, *key[1:]) if key[2] else self.view.entry(key[1])
            if record is None:
                continue
            if used + wire.size(record) > room:
                sent += 1
                done = sent == MOST_PIECES
                piece = wire.Piece(compare.number, mask, after, upto, done)
                self._send(address, wire.raw(piece), entries, cells)
                if done:  # the rest is compared again
                    return
                after, entries, cells, used = upto, [], [], 0
            (cells if key[2] else entries).append(record)
            used += wire.size(record)
            upto = key
        self._send(address, wire.raw(wire.Piece(compare.number, mask, after, end, True)), entries, cells)

    def _on_piece(self, envelope: Envelope) -> None:
        """Answer with what I hold better in the range that the piece is whole in."""
        piece = envelope.message
        assert isinstance(piece, wire.Piece)
        if piece.number != self._awaited:
            self.counts["unasked"] += 1
            return
        if piece.last:
            self._awaited = 0
            self._arrive()
        told = {entry.name: entry.member() for entry in envelope.entries}
        rows = {(cell.owner, cell.subsystem): cell for cell in envelope.cells}
        better = [key for key in self.view.keys(piece.mask) if piece.after < key <= piece.upto]
        covered = {name for _, name, _ in better}
        better += [(bucket(name), name, "") for name in told if name not in covered]
        entries, cells = list[Raw](), list[Raw]()
        for _, name, subsystem in better:
            if subsystem and self.view.better_row(name, subsystem, rows.get((name, subsystem))):
                if (record := self.view.cell(self._now, name, subsystem)) is not None:
                    cells.append(record)
            elif not subsystem and self._better(name, told.get(name)):
                entries.append(self.view.entry(name))
        self._amend(envelope.me.address, wire.Amend(), entries, cells)

    def _on_amend(self, envelope: Envelope) -> None:
        better = [self.view.entry(e.name) for e in envelope.entries if self._better(e.name, e.member())]
        self._amend(envelope.me.address, wire.Gossip(), better, [])

    def _better(self, name: str, told: Member | None) -> bool:
        held = self.view.get(name)
        return held is not None and (told is None or held.rank > told.rank)

    def _amend(self, address: str, message: wire.Message, entries: list[Raw], cells: list[Raw]) -> None:
        """Send all of it, in as many datagrams as it takes, ``MOST_PIECES`` at most."""
        told = wire.raw(message)
        whole = self._room(told)
        parts: tuple[list[Raw], list[Raw]] = ([], [])
        room, sent = whole, 0
        for kind, records in enumerate((entries, cells)):
            for record in records:
                if wire.size(record) > room:
                    self._send(address, told, *parts)
                    parts, room, sent = ([], []), whole, sent + 1
                    if sent == MOST_PIECES:
                        return
                parts[kind].append(record)
                room -= wire.size(record)
        if parts[0] or parts[1]:
            self._send(address, told, *parts)

    # Documents

    def _fetch(self, digest: bytes, name: str = "") -> None:
        """Ask one member, drawn where none is named, for the next parts."""
        request = self.documents.request(digest)
        names = [name] if name else self._others(1)
        if request is not None and names:
            self._say(names[0], request)

    def _on_fetch(self, envelope: Envelope) -> None:
        assert isinstance(envelope.message, wire.Fetch)
        address = envelope.me.address
        parts = self.documents.parts(envelope.message)
        if parts is None:
            self._post(address, wire.Lacks(envelope.message.digest))
        for part in parts or ():
            self._send(address, wire.raw(part), [], [])

    def _on_part(self, envelope: Envelope) -> None:
        assert isinstance(envelope.message, wire.Part)
        if self.documents.take(envelope.message):
            self._fetch(envelope.message.digest, envelope.me.name)

    def _on_lacks(self, envelope: Envelope) -> None:
        assert isinstance(envelope.message, wire.Lacks)
        if self._tried < 8:
            self._tried += 1
            self._fetch(envelope.message.digest)


_TIMERS: dict[str, Callable[[Detector, str], None]] = {
    "period": Detector._period_over,
    "seed": Detector._seed,
    "direct": Detector._direct_over,
    "failed": Detector._failed,
    "relay": Detector._relay_over,
    "suspicion": Detector._suspicion_over,
}

_MESSAGES: dict[type, Callable[[Detector, Envelope], None]] = {
    wire.Ping: Detector._on_ping,
    wire.Ack: Detector._on_ack,
    wire.Ask: Detector._on_ask,
    wire.Reached: Detector._on_reached,
    wire.Missed: Detector._on_missed,
    wire.Gossip: Detector._on_gossip,
    wire.Compare: Detector._on_compare,
    wire.Piece: Detector._on_piece,
    wire.Amend: Detector._on_amend,
    wire.Fetch: Detector._on_fetch,
    wire.Part: Detector._on_part,
    wire.Lacks: Detector._on_lacks,
}
