"""Simulates the detectors of a fleet in virtual time, with faults of the network and of processes.

The network loses, delays, duplicates and cuts off datagrams. Used by ``benchmarks/fleet_view.py`` and the tests. Only
the detectors run, with encoded datagrams, without an event loop, sockets or limiters. A seed determines the whole run.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from random import Random

from cypresspulley.fleet.actions import (
    Action,
    DatagramReceived,
    Event,
    LeaveRequested,
    MemberChanged,
    Send,
    Settled,
    Started,
    Stopped,
    TimerFired,
)
from cypresspulley.fleet.detector import Detector
from cypresspulley.fleet.records import Member, MemberState
from cypresspulley.fleet.wire import Codec

EPOCH = 1_800_000_000.0  # Unix seconds at the start of the simulation
KEY = b"a key of the bed only"
MAX_BUFFERED_DATAGRAMS = 2_000  # for a paused process

Cut = Callable[[str, str], bool]  # from sender and receiver to whether the link is cut


@dataclass
class Host:
    """A process. ``offset`` is its wall clock minus the true one, in seconds."""

    name: str
    detector: Detector
    offset: float = 0.0
    lag: float = 0.0  # additional delay, in seconds, of all datagrams that it receives
    running: bool = True
    paused: bool = False
    timer: float = float("inf")
    buffer: list[bytes] = field(default_factory=list)


@dataclass(frozen=True)
class ViewChange:
    """A change of a record in the view of ``observer``."""

    at: float
    observer: str
    member: Member
    cause: str


class SimulatedFleet:
    """A fleet on a simulated network.

    Datagrams take ``min_delay`` plus an exponential time of mean ``delay``, in seconds; ``loss`` and ``duplication``
    are probabilities.
    """

    def __init__(
        self, seed: int, period: float = 0.5, loss: float = 0.0, delay: float = 0.002, min_delay: float = 0.0002,
        duplication: float = 0.0,
    ) -> None:  # fmt: skip
        self.rng, self.period = Random(seed), period
        self.loss, self.delay, self.min_delay, self.duplication = loss, delay, min_delay, duplication
        self.now = 0.0
        self.hosts = dict[str, Host]()
        self.cuts = list[Cut]()
        self.changes = list[ViewChange]()
        self.settled = list[tuple[float, str, bool]]()
        self.tap: Callable[[str, str, bytes], None] | None = None
        self.sent = 0
        self._queue = list[tuple[float, int, str, str, bytes]]()
        self._last_number = 0
        self._callbacks = dict[int, Callable[[], None]]()

    # Processes

    def start(
        self, name: str, seeds: Sequence[str] = (), offset: float = 0.0, known: Iterable[Member] = (),
        installation: str = "bed", key: bytes = KEY, rows: dict[str, bytes] | None = None,
    ) -> Host:  # fmt: skip
        """Start a process now; ``seeds`` are names, ``known`` are the members in its view from the start."""
        life = round((EPOCH + self.now + offset) * 1000)
        me = Member(name, life, 0, MemberState.JOINING, "abc"[len(self.hosts) % 3], address(name))
        rng = Random(self.rng.getrandbits(64))
        seeded = tuple(address(seed) for seed in seeds)
        detector = Detector(me, Codec(installation, key), seeded, self.period, rng)
        host = self.hosts[name] = Host(name, detector, offset)
        for member in known:
            if member.name == name:
                detector.view.store(self.now, member)
            else:
                detector.view.merge(self.now, member)
        for subsystem, body in (rows or {}).items():
            detector.view.publish(self.now, subsystem, body)
        self._deliver(host, Started())
        return host

    def start_members(self, size: int, warm: bool = True, seeds: int = 2) -> list[str]:
        """Start ``size`` members and return their names; ``warm`` ones know each other from the start."""
        names = [f"l{n}" for n in range(size)]
        life = round(EPOCH * 1000)
        known = [
            Member(name, life, 0, MemberState.ALIVE, "abc"[n % 3], address(name))
            for n, name in enumerate(names)
        ]
        for name in names:
            self.start(name, names[:seeds], known=known if warm else ())
        return names

    def kill(self, name: str) -> None:
        self.hosts[name].running = False

    def pause(self, name: str) -> None:
        self.hosts[name].paused = True

    def resume(self, name: str) -> None:
        host = self.hosts[name]
        host.paused = False
        buffered, host.buffer = host.buffer, []
        for data in buffered:
            self._deliver(host, DatagramReceived(data))
        self._schedule_timer(host)

    def leave(self, name: str, after: float = 1.0) -> None:
        """Announce that a member leaves, and stop it ``after`` so many seconds."""
        host = self.hosts[name]
        self._deliver(host, LeaveRequested())

        def end() -> None:
            self._deliver(host, Stopped())
            host.running = False

        self.at(self.now + after, end)

    def live(self) -> list[Host]:
        return [host for host in self.hosts.values() if host.running]

    # Time

    def at(self, when: float, call: Callable[[], None]) -> None:
        self._last_number += 1
        self._callbacks[self._last_number] = call
        heapq.heappush(self._queue, (when, self._last_number, "", "call", b""))

    def run(self, until: float, stop: Callable[[], bool] | None = None, every: float = 0.1) -> bool:
        """Run to the instant ``until``, or until ``stop`` is true; returns whether it is.

        ``stop`` is called every ``every`` seconds.
        """
        next_check = self.now + every
        while self._queue and self._queue[0][0] <= until:
            when, number, name, what, data = heapq.heappop(self._queue)
            while stop is not None and next_check <= when:
                self.now = next_check
                next_check += every
                if stop():
                    heapq.heappush(self._queue, (when, number, name, what, data))
                    return True
            self.now = when
            if what == "call":
                self._callbacks.pop(number)()
                continue
            host = self.hosts[name]
            if not host.running:
                continue
            if what == "tick":
                if host.timer == when and not host.paused:
                    host.timer = float("inf")
                    self._deliver(host, TimerFired())
            elif not host.paused:
                self._deliver(host, DatagramReceived(data))
            elif len(host.buffer) < MAX_BUFFERED_DATAGRAMS:
                host.buffer.append(data)
        self.now = until
        return stop is not None and stop()

    # Observation

    def agree(self) -> bool:
        """Whether all running processes have the same digest, and it covers exactly them."""
        live = self.live()
        first = live[0].detector.view
        return first.present_count == len(live) and all(h.detector.view.digest == first.digest for h in live)

    def deaths(self) -> list[ViewChange]:
        return [change for change in self.changes if change.member.state is MemberState.DEAD]

    def states(self, name: str) -> set[MemberState | None]:
        """Return the states of a member in the views of the other running processes."""
        held = [host.detector.view.get(name) for host in self.live() if host.name != name]
        return {member.state if member else None for member in held}

    # Internals

    def wall(self, host: Host) -> float:
        return EPOCH + self.now + host.offset

    def _deliver(self, host: Host, event: Event) -> None:
        for action in host.detector.handle(self.now, self.wall(host), event):
            self._execute(host, action)
        self._schedule_timer(host)

    def _schedule_timer(self, host: Host) -> None:
        due = max(self.now, host.detector.due)
        if due < host.timer or host.timer < self.now:
            host.timer = due
            if due < float("inf"):
                self._push(due, host.name, "tick", b"")

    def _execute(self, host: Host, action: Action) -> None:
        match action:
            case Send(where, data):
                self.carry(host.name, where.partition(":")[0], data)
            case MemberChanged(member, cause):
                self.changes.append(ViewChange(self.now, host.name, member, cause))
            case Settled(settled, _, _):
                self.settled.append((self.now, host.name, settled))

    def carry(self, source: str, target: str, data: bytes) -> None:
        """Transmit a datagram: it may arrive late, twice or not at all."""
        self.sent += 1
        if self.tap is not None:
            self.tap(source, target, data)
        host = self.hosts.get(target)
        if host is None or any(cut(source, target) for cut in self.cuts):
            return
        rng = self.rng
        for _ in range(1 + (self.duplication > 0 and rng.random() < self.duplication)):
            if self.loss == 0 or rng.random() >= self.loss:
                delay = self.min_delay + rng.expovariate(1 / self.delay) + host.lag
                self._push(self.now + delay, target, "datagram", data)

    def _push(self, when: float, name: str, what: str, data: bytes) -> None:
        self._last_number += 1
        heapq.heappush(self._queue, (when, self._last_number, name, what, data))


def address(name: str) -> str:
    return f"{name}:7000"
