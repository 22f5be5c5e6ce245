"""The fleet's view as closing reads it, and the row that this limiter says through it. No I/O and no clock."""

from __future__ import annotations

from hashlib import blake2s

from cypresspulley.closing.calendar import TZDATA_VERSION
from cypresspulley.closing.calendar_store import CalendarStore
from cypresspulley.closing.lease import Instance, Lease
from cypresspulley.closing.membership import Roster
from cypresspulley.closing.options import Options
from cypresspulley.closing.purge_counters import Applied, Issued
from cypresspulley.closing.row import VIEW_DIGEST_BYTES, LimiterRow, decode_row, encode_row
from cypresspulley.fleet.records import FleetView, Member, Row

SUBSYSTEM = "closing"


class Peers:
    """``rows`` are those of the others that are present; None where one says nothing that can be read."""

    def __init__(self, view: FleetView, options: Options, named: int) -> None:
        self._view, self._named = view, named
        self.roster = Roster(options.lost_seconds, named)
        self.issued, self.applied = Issued(), Applied()
        self.rows = dict[Instance, LimiterRow | None]()
        self._read = dict[str, tuple[int, int, LimiterRow | None]]()  # by owner: life, version, its row
        self._said: tuple[object, ...] = ()  # of which the row was made that was said last
        self._agreed: tuple[tuple[object, ...], bytes] = ((), b"")  # of what, and its digest
        self._members: tuple[Member, ...] = ()
        # Limiters that reckon with other bounds or other time zones must not rely on each other.
        self._ground = (
            f"{TZDATA_VERSION} {options.lease_seconds} {options.clock_bound} {options.lost_seconds}"
        )

    def __repr__(self) -> str:
        return f"<Peers {len(self.rows)} present, {self.roster!r}>"

    @property
    def me(self) -> Instance:
        return Instance(self._view.me, self._view.life)

    def alone(self) -> bool:
        """Whether no other limiter belongs to the installation: none is named, and none was ever seen."""
        return self._named <= 1 and self.roster.size <= 1

    def look(self, now: float) -> bool:
        """Take the view in; whether a life that was there has gone."""
        members = self._view.members()
        gone = frozenset[Instance]()
        if members != self._members or self.roster.lost:
            gone, self._members = self.roster.look(now, members, self._view.member), members
        rows = self._view.rows(now, SUBSYSTEM)
        self._read = {row.owner: self._reading(row) for row in rows if row.owner != self._view.me}
        self.rows = {
            Instance(member.name, member.life): self._of(member.name, member.life)
            for member in members
            if member.name != self._view.me
        }
        self.roster.told(said.known_limiters for said in self.rows.values() if said is not None)
        self.applied.forget(set(self.rows))
        return any(life.name != self._view.me for life in gone)

    def _reading(self, row: Row) -> tuple[int, int, LimiterRow | None]:
        known = self._read.get(row.owner)
        if known is not None and known[:2] == (row.life, row.version):
            return known
        return row.life, row.version, decode_row(row.body)

    def _of(self, name: str, life: int) -> LimiterRow | None:
        read = self._read.get(name)
        return read[2] if read is not None and read[0] == life else None

    def news(self) -> list[tuple[Instance, list[tuple[int, str]], bool]]:
        """Purges of others that are new here: issuer, numbers and accounts, whether there were more than are named."""
        found = list[tuple[Instance, list[tuple[int, str]], bool]]()
        for life, said in self.rows.items():
            numbers, more = self.applied.hear(life, said) if said is not None else ([], False)
            if numbers or more:
                found.append((life, numbers, more))
        return found

    def newest(self) -> tuple[int, str] | None:
        """Version and digest of the newest calendar that another holds."""
        return max(
            ((s.calendar_version, s.calendar_digest.hex()) for s in self.rows.values() if s is not None),
            default=None,
        )

    def needed(self) -> dict[Instance, LimiterRow | None] | None:
        """The rows of all that have to agree; None where they are no majority, or nobody else was ever seen."""
        others = [life for life in self.roster.needed if life.name != self._view.me]
        if not others or not self.roster.enough(len(others) + 1):
            return None
        return {life: self.rows.get(life) for life in others}

    def agreed(self, book: CalendarStore) -> bytes:
        """What this limiter agrees to: who is needed, which calendar is the newest, and by which bounds it reckons."""
        of = (self.roster.needed, self.me, book.rank)
        if self._agreed[0] != of:
            lives = {life for life in self.roster.needed if life.name != self._view.me} | {self.me}
            text = repr((sorted(map(tuple, lives)), book.rank, self._ground))
            self._agreed = of, blake2s(text.encode(), digest_size=VIEW_DIGEST_BYTES).digest()
        return self._agreed[1]

    def say(self, book: CalendarStore, lease: Lease) -> None:
        """This limiter's row, where it has changed."""
        version, digest = book.rank
        of = (
            lease.round, lease.since_round, lease.view_digest, version, digest, self.roster.size, self.issued.count,
            self.applied.echoes,
        )  # fmt: skip
        if of != self._said:
            self._said = of
            said = LimiterRow(
                lease.round, lease.since_round, lease.view_digest, version, bytes.fromhex(digest), self.roster.size,
                self.issued.count, self.issued.recent, self.applied.echoes,
            )  # fmt: skip
            self._view.publish(SUBSYSTEM, encode_row(said))
