"""A small view of the fleet for tests and benchmarks: rows travel late or not at all, members die and are cut off.

It keeps what ``fleet.records.FleetView`` says of rows and members and knows nothing of probes: a death is seen after
``detect`` seconds, a row arrives after a delay drawn up to ``spread``. Time comes from ``clock``; whoever reads a view
first gets all that is due by then.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from random import Random

from cypresspulley.fleet.records import MAX_ROW_BYTES, Member, MemberState, Row


@dataclass(slots=True)
class _Held:
    life: int
    version: int
    made: float  # when its owner last confirmed it
    body: bytes


@dataclass
class Fabric:
    """All members' views. ``spread``: seconds that a row travels at most; ``loss``: share of rows that never arrive."""

    clock: Callable[[], float]
    seed: int = 1
    spread: float = 0.5
    loss: float = 0.0
    detect: float = 5.0
    views: dict[str, View] = field(default_factory=dict)
    cuts: dict[frozenset[str], float] = field(default_factory=dict)  # pairs, since when
    dead: dict[str, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.rng = Random(self.seed)

    def join(self, name: str, life: int = 1) -> View:
        """A member comes, or returns in a new life."""
        self.dead.pop(name, None)
        view = self.views[name] = View(self, name, life)
        return view

    def kill(self, name: str) -> None:
        self.dead[name] = self.clock()

    def cut(self, one: list[str], other: list[str]) -> None:
        """Nothing passes between two sides from now on."""
        now = self.clock()
        self.cuts |= {frozenset((a, b)): now for a in one for b in other}

    def heal(self) -> None:
        self.cuts.clear()

    def apart(self, a: str, b: str) -> bool:
        return frozenset((a, b)) in self.cuts

    def since(self, me: str, other: str) -> float | None:
        """Since when a member has been silent to another; None while it is not."""
        times = (self.dead.get(other), self.cuts.get(frozenset((me, other))))
        return min((t for t in times if t is not None), default=None)


class View:
    """One member's view; see ``FleetView`` for what each method promises."""

    def __init__(self, fabric: Fabric, name: str, life: int) -> None:
        self._fabric, self.local_name, self.life = fabric, name, life
        self._version = 0
        self._held = dict[str, _Held]()
        self._coming = list[tuple[float, str, _Held]]()
        self.age_by = 0.0  # seconds by which every row seems older: a view that lags

    def members(self) -> tuple[Member, ...]:
        found = [self.get_member(name) for name in sorted(self._fabric.views)]
        return tuple(m for m in found if m is not None and m.state.present)

    def get_member(self, name: str) -> Member | None:
        view = self._fabric.views.get(name)
        if view is None:
            return None
        since, now = self._fabric.since(self.local_name, name), self._fabric.clock()
        over = since is not None and now - since >= self._fabric.detect
        suspected = since is not None and now - since >= self._fabric.detect / 2
        state = MemberState.DEAD if over else MemberState.SUSPECTED if suspected else MemberState.ALIVE
        return Member(name, view.life, 0, state)

    def rows(self, now: float, subsystem: str) -> tuple[Row, ...]:
        self._take(now)
        rows = list[Row]()
        for owner, held in sorted(self._held.items()):
            member = self.get_member(owner)
            if member is not None and member.state.present and member.life == held.life:
                age = 0.0 if owner == self.local_name else now - held.made + self.age_by
                rows.append(Row(owner, held.life, held.version, member.state, age, held.body))
        return tuple(rows)

    def publish(self, subsystem: str, body: bytes) -> None:
        if len(body) > MAX_ROW_BYTES:
            raise ValueError(f"a row of {len(body)} bytes; expected at most {MAX_ROW_BYTES}")
        fabric, now = self._fabric, self._fabric.clock()
        self._version += 1
        held = self._held[self.local_name] = _Held(self.life, self._version, now, body)
        for name, view in fabric.views.items():
            arrives = fabric.rng.uniform(0.1, 1.0) * fabric.spread
            if (
                name == self.local_name
                or fabric.apart(self.local_name, name)
                or fabric.rng.random() < fabric.loss
            ):
                continue
            view._coming.append((now + arrives, self.local_name, replace(held)))

    def _take(self, now: float) -> None:
        due = [one for one in self._coming if one[0] <= now]
        self._coming = [one for one in self._coming if one[0] > now]
        for _, owner, held in sorted(due, key=lambda one: one[0]):
            known = self._held.get(owner)
            if known is None or (held.life, held.version) > (known.life, known.version):
                self._held[owner] = held

    def is_settled(self, now: float) -> bool:
        return True

    def count_heard(self, now: float, within: float) -> int:
        self._take(now)
        return sum(now - h.made <= within for owner, h in self._held.items() if owner != self.local_name)

    def clock_error(self, now: float) -> tuple[float, float] | None:
        return None

    def store_document(self, body: bytes) -> str:
        raise NotImplementedError

    def request_document(self, digest: str) -> None:
        raise NotImplementedError

    def get_document(self, digest: str) -> bytes | None:
        return None
