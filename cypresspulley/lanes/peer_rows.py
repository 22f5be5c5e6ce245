"""What the fleet's rows are worth: fresh, stale, or of the dead whose lease runs. No clock: time is an argument."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from cypresspulley.fleet.records import Member, MemberState, Row
from cypresspulley.lanes.allocation import Told
from cypresspulley.lanes.rows import LanesRow, decode

MOST_OWNERS = 4096  # rows that are kept


@dataclass(slots=True)
class _Kept:
    """The last row of an owner; ``gone_at``: since when its owner is dead here."""

    life: int
    row: LanesRow
    stale: bool = False
    gone_at: float | None = None


class Heard:
    """``bound``: age in seconds past which a row is stale; ``lease``: seconds for which a dead one keeps its share."""

    def __init__(self, lanes: int, bound: float, lease: float) -> None:
        self._lanes, self._bound, self._lease = lanes, bound, lease
        self._kept = dict[str, _Kept]()
        self.unreadable = 0  # rows that were none

    def __repr__(self) -> str:
        stale = sum(kept.stale for kept in self._kept.values())
        return f"<Heard {len(self._kept)} rows, {stale} stale, {self.unreadable} unreadable>"

    def update(
        self, now: float, me: str, rows: Iterable[Row], member: Callable[[str], Member | None]
    ) -> None:  # fmt: skip
        """Take the view's rows but one's own; let go of what no longer counts."""
        seen = set[str]()
        for row in rows:
            if row.owner == me:
                continue
            if (told := decode(row.body, self._lanes)) is None:
                self.unreadable += 1
                continue
            known = self._kept.get(row.owner)
            if known is not None and row.life < known.life:
                continue  # of a life that is over
            if known is None and len(self._kept) >= MOST_OWNERS:
                continue
            seen.add(row.owner)
            self._kept[row.owner] = _Kept(row.life, told, row.age > self._bound)
        for owner in [owner for owner in self._kept if owner not in seen]:
            self._missing(now, owner, member(owner))

    def _missing(self, now: float, owner: str, found: Member | None) -> None:
        kept = self._kept[owner]
        if found is None or found.life > kept.life or found.state is MemberState.LEFT:
            del self._kept[
                owner
            ]  # forgotten, begun anew without a row yet, or ended in order: nothing passes there
            return
        kept.stale = True
        kept.gone_at = now if kept.gone_at is None else kept.gone_at
        if now - kept.gone_at >= self._lease:
            del self._kept[owner]

    def told(self) -> list[Told]:
        """The rows of the others as shares count them."""
        return [
            Told(owner, kept.row.figures, kept.row.load, kept.stale) for owner, kept in self._kept.items()
        ]

    def rows(self) -> list[LanesRow]:
        """Those whose spells count: stale ones too, a spell does not age."""
        return [kept.row for kept in self._kept.values() if kept.gone_at is None]

    def fresh(self) -> list[str]:
        """Owners of fresh rows, sorted."""
        return sorted(owner for owner, kept in self._kept.items() if not kept.stale)
