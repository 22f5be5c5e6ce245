"""A fake fleet view for tests and benchmarks: rows arrive late or never, members die and are partitioned.

It implements what ``fleet.records.FleetView`` promises of rows and members, without any probes: a death is detected
after ``detection_seconds``, and a row arrives after a random delay of up to ``max_delay`` seconds. Time comes from
``clock``; reading a view first delivers the rows that are due by then.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from random import Random

from cypresspulley.fleet.records import MAX_ROW_BYTES, Member, MemberState, Row


@dataclass(slots=True)
class _StoredRow:
    life: int
    version: int
    confirmed_at: float  # when its owner last confirmed it
    body: bytes


@dataclass
class FakeFleet:
    """The views of all members.

    ``max_delay`` is the longest time in seconds until a row arrives, and ``loss`` the share of rows that never arrive.
    """

    clock: Callable[[], float]
    seed: int = 1
    max_delay: float = 0.5
    loss: float = 0.0
    detection_seconds: float = 5.0
    views: dict[str, FakeView] = field(default_factory=dict)
    cuts: dict[frozenset[str], float] = field(default_factory=dict)  # by pair of members: when it was cut
    dead: dict[str, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.rng = Random(self.seed)

    def join(self, name: str, life: int = 1) -> FakeView:
        """Add a member, or restart it in a new life."""
        self.dead.pop(name, None)
        view = self.views[name] = FakeView(self, name, life)
        return view

    def kill(self, name: str) -> None:
        self.dead[name] = self.clock()

    def cut(self, one_side: list[str], other_side: list[str]) -> None:
        """Drop everything between two sides from now on."""
        now = self.clock()
        self.cuts |= {frozenset((a, b)): now for a in one_side for b in other_side}

    def heal(self) -> None:
        self.cuts.clear()

    def is_cut(self, a: str, b: str) -> bool:
        return frozenset((a, b)) in self.cuts

    def silent_since(self, me: str, other: str) -> float | None:
        """Return since when a member has been silent to another; None while it is not."""
        times = (self.dead.get(other), self.cuts.get(frozenset((me, other))))
        return min((t for t in times if t is not None), default=None)


class FakeView:
    """The view of one member; see ``FleetView`` for the contract of each method."""

    def __init__(self, fleet: FakeFleet, name: str, life: int) -> None:
        self._fleet, self.local_name, self.life = fleet, name, life
        self._version = 0
        self._stored = dict[str, _StoredRow]()
        self._in_transit = list[tuple[float, str, _StoredRow]]()
        self.extra_age = 0.0  # seconds added to the age of every row, to simulate a view that lags

    def members(self) -> tuple[Member, ...]:
        found = [self.get_member(name) for name in sorted(self._fleet.views)]
        return tuple(m for m in found if m is not None and m.state.present)

    def get_member(self, name: str) -> Member | None:
        view = self._fleet.views.get(name)
        if view is None:
            return None
        silent_since, now = self._fleet.silent_since(self.local_name, name), self._fleet.clock()
        is_dead = silent_since is not None and now - silent_since >= self._fleet.detection_seconds
        is_suspected = silent_since is not None and now - silent_since >= self._fleet.detection_seconds / 2
        state = MemberState.DEAD if is_dead else MemberState.SUSPECTED if is_suspected else MemberState.ALIVE
        return Member(name, view.life, 0, state)

    def rows(self, now: float, subsystem: str) -> tuple[Row, ...]:
        self._receive_due(now)
        rows = list[Row]()
        for owner, stored in sorted(self._stored.items()):
            member = self.get_member(owner)
            if member is not None and member.state.present and member.life == stored.life:
                age = 0.0 if owner == self.local_name else now - stored.confirmed_at + self.extra_age
                rows.append(Row(owner, stored.life, stored.version, member.state, age, stored.body))
        return tuple(rows)

    def publish(self, subsystem: str, body: bytes) -> None:
        if len(body) > MAX_ROW_BYTES:
            raise ValueError(f"a row of {len(body)} bytes; expected at most {MAX_ROW_BYTES}")
        fleet, now = self._fleet, self._fleet.clock()
        self._version += 1
        stored = self._stored[self.local_name] = _StoredRow(self.life, self._version, now, body)
        for name, view in fleet.views.items():
            arrives = fleet.rng.uniform(0.1, 1.0) * fleet.max_delay
            if (
                name == self.local_name
                or fleet.is_cut(self.local_name, name)
                or fleet.rng.random() < fleet.loss
            ):
                continue
            view._in_transit.append((now + arrives, self.local_name, replace(stored)))

    def _receive_due(self, now: float) -> None:
        due = [entry for entry in self._in_transit if entry[0] <= now]
        self._in_transit = [entry for entry in self._in_transit if entry[0] > now]
        for _, owner, stored in sorted(due, key=lambda entry: entry[0]):
            known = self._stored.get(owner)
            if known is None or (stored.life, stored.version) > (known.life, known.version):
                self._stored[owner] = stored

    def is_settled(self, now: float) -> bool:
        return True

    def count_responsive(self, now: float, within: float) -> int:
        self._receive_due(now)
        return sum(
            now - h.confirmed_at <= within for owner, h in self._stored.items() if owner != self.local_name
        )

    def clock_error(self, now: float) -> tuple[float, float] | None:
        return None

    def store_document(self, body: bytes) -> str:
        raise NotImplementedError

    def request_document(self, digest: str) -> None:
        raise NotImplementedError

    def get_document(self, digest: str) -> bytes | None:
        return None
