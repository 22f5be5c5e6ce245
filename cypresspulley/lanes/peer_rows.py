"""The rows of the other limiters: fresh, stale, or of a dead limiter whose lease runs. Time is always an argument."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from cypresspulley.fleet.records import Member, MemberState, Row
from cypresspulley.lanes.allocation import LimiterReport
from cypresspulley.lanes.rows import LanesRow, decode

MAX_OWNERS = 4096  # owners whose rows are kept


@dataclass(slots=True)
class _PeerRow:
    """The last row of an owner; ``gone_at`` is when this limiter first found its owner dead or silent."""

    life: int
    row: LanesRow
    is_stale: bool = False
    gone_at: float | None = None


class PeerRows:
    """Keeps the last row of each other limiter.

    ``max_age`` is the age in seconds past which a row is stale; ``lease_seconds`` is how long a dead limiter keeps its
    share.
    """

    def __init__(self, lanes: int, max_age: float, lease_seconds: float) -> None:
        self._lanes, self._max_age, self._lease_seconds = lanes, max_age, lease_seconds
        self._rows = dict[str, _PeerRow]()
        self.unreadable = 0  # rows that could not be decoded

    def __repr__(self) -> str:
        stale = sum(peer.is_stale for peer in self._rows.values())
        return f"<PeerRows {len(self._rows)} rows, {stale} stale, {self.unreadable} unreadable>"

    def update(
        self, now: float, me: str, rows: Iterable[Row], member: Callable[[str], Member | None]
    ) -> None:  # fmt: skip
        """Read the view's rows except this limiter's own, and drop the rows that no longer count."""
        seen = set[str]()
        for row in rows:
            if row.owner == me:
                continue
            if (decoded := decode(row.body, self._lanes)) is None:
                self.unreadable += 1
                continue
            known = self._rows.get(row.owner)
            if known is not None and row.life < known.life:
                continue  # a row of an earlier life
            if known is None and len(self._rows) >= MAX_OWNERS:
                continue
            seen.add(row.owner)
            self._rows[row.owner] = _PeerRow(row.life, decoded, row.age > self._max_age)
        for owner in [owner for owner in self._rows if owner not in seen]:
            self._handle_missing(now, owner, member(owner))

    def _handle_missing(self, now: float, owner: str, found: Member | None) -> None:
        peer = self._rows[owner]
        if found is None or found.life > peer.life or found.state is MemberState.LEFT:
            # The owner was forgotten, has restarted without a row yet, or has shut down: it admits nothing.
            del self._rows[owner]
            return
        peer.is_stale = True
        peer.gone_at = now if peer.gone_at is None else peer.gone_at
        if now - peer.gone_at >= self._lease_seconds:
            del self._rows[owner]

    def reports(self) -> list[LimiterReport]:
        """Return the rows of the others as input of the allocation."""
        return [
            LimiterReport(owner, peer.row.rates, peer.row.load, peer.is_stale)
            for owner, peer in self._rows.items()
        ]

    def rows(self) -> list[LanesRow]:
        """Return the rows whose policies count; these include stale rows, as a policy does not age."""
        return [peer.row for peer in self._rows.values() if peer.gone_at is None]

    def fresh_owners(self) -> list[str]:
        """Return the owners of fresh rows, sorted."""
        return sorted(owner for owner, peer in self._rows.items() if not peer.is_stale)
