"""Reads the other limiters' rows from the fleet view and publishes this limiter's row. No I/O and no clock."""

from __future__ import annotations

from hashlib import blake2s

from cypresspulley.closing.calendar import TZDATA_VERSION
from cypresspulley.closing.calendar_store import CalendarStore
from cypresspulley.closing.lease import Instance, Lease
from cypresspulley.closing.membership import Membership
from cypresspulley.closing.options import Options
from cypresspulley.closing.purge_counters import AppliedPurges, IssuedPurges
from cypresspulley.closing.row import VIEW_DIGEST_BYTES, LimiterRow, decode_row, encode_row
from cypresspulley.fleet.records import FleetView, Member, Row

SUBSYSTEM = "closing"


class Peers:
    """``rows`` are the rows of the other limiters that are present, None for one without a valid row."""

    def __init__(self, view: FleetView, options: Options, configured_limiters: int) -> None:
        self._view, self._configured_limiters = view, configured_limiters
        self.membership = Membership(options.lost_seconds, configured_limiters)
        self.issued, self.applied = IssuedPurges(), AppliedPurges()
        self.rows = dict[Instance, LimiterRow | None]()
        self._decoded = dict[str, tuple[int, int, LimiterRow | None]]()  # by owner: life, version, row
        self._published: tuple[object, ...] = ()  # the values from which the last published row was built
        self._view_digest: tuple[tuple[object, ...], bytes] = ((), b"")  # the values digested, and the digest
        self._members: tuple[Member, ...] = ()
        # Part of the view digest: limiters with other bounds or other time zone data must not rely on each other.
        self._environment = (
            f"{TZDATA_VERSION} {options.lease_seconds} {options.clock_bound} {options.lost_seconds}"
        )

    def __repr__(self) -> str:
        return f"<Peers {len(self.rows)} present, {self.membership!r}>"

    @property
    def own_instance(self) -> Instance:
        return Instance(self._view.local_name, self._view.life)

    def is_alone(self) -> bool:
        """Return whether no other limiter belongs to the installation: none is configured and none was ever seen."""
        return self._configured_limiters <= 1 and self.membership.size <= 1

    def refresh(self, now: float) -> bool:
        """Read the view; return whether another limiter's instance has gone since the last call."""
        members = self._view.members()
        gone = frozenset[Instance]()
        if members != self._members or self.membership.lost_count:
            gone, self._members = self.membership.update(now, members, self._view.get_member), members
        rows = self._view.rows(now, SUBSYSTEM)
        self._decoded = {row.owner: self._decode(row) for row in rows if row.owner != self._view.local_name}
        self.rows = {
            Instance(member.name, member.life): self._find_row(member.name, member.life)
            for member in members
            if member.name != self._view.local_name
        }
        self.membership.record_peer_sizes(
            each.known_limiters for each in self.rows.values() if each is not None
        )
        self.applied.prune(set(self.rows))
        return any(instance.name != self._view.local_name for instance in gone)

    def _decode(self, row: Row) -> tuple[int, int, LimiterRow | None]:
        known = self._decoded.get(row.owner)
        if known is not None and known[:2] == (row.life, row.version):
            return known
        return row.life, row.version, decode_row(row.body)

    def _find_row(self, name: str, life: int) -> LimiterRow | None:
        decoded = self._decoded.get(name)
        return decoded[2] if decoded is not None and decoded[0] == life else None

    def collect_new_purges(self) -> list[tuple[Instance, list[tuple[int, str]], bool]]:
        """Return the purges of other limiters that are new here.

        Each entry has the issuer, the numbers and accounts, and whether there were more than the row names.
        """
        found = list[tuple[Instance, list[tuple[int, str]], bool]]()
        for instance, row in self.rows.items():
            purges, more = self.applied.collect_new(instance, row) if row is not None else ([], False)
            if purges or more:
                found.append((instance, purges, more))
        return found

    def newest_calendar(self) -> tuple[int, str] | None:
        """Return version and digest of the newest calendar of the other limiters, or None."""
        return max(
            (
                (row.calendar_version, row.calendar_digest.hex())
                for row in self.rows.values()
                if row is not None
            ),
            default=None,
        )

    def required_rows(self) -> dict[Instance, LimiterRow | None] | None:
        """Return the rows of all other limiters that have to agree.

        Return None if these limiters and this one are no majority, or if no other limiter was ever seen.
        """
        others = [instance for instance in self.membership.required if instance.name != self._view.local_name]
        if not others or not self.membership.is_majority(len(others) + 1):
            return None
        return {instance: self.rows.get(instance) for instance in others}

    def view_digest(self, store: CalendarStore) -> bytes:
        """Return the digest of the required instances, the newest calendar and the environment."""
        values = (self.membership.required, self.own_instance, store.rank)
        if self._view_digest[0] != values:
            instances = {
                instance for instance in self.membership.required if instance.name != self._view.local_name
            } | {self.own_instance}
            text = repr((sorted(map(tuple, instances)), store.rank, self._environment))
            self._view_digest = values, blake2s(text.encode(), digest_size=VIEW_DIGEST_BYTES).digest()
        return self._view_digest[1]

    def publish_row(self, store: CalendarStore, lease: Lease) -> None:
        """Publish this limiter's row if it has changed."""
        version, digest = store.rank
        values = (
            lease.round, lease.since_round, lease.view_digest, version, digest, self.membership.size,
            self.issued.count, self.applied.acks,
        )  # fmt: skip
        if values != self._published:
            self._published = values
            row = LimiterRow(
                lease.round, lease.since_round, lease.view_digest, version, bytes.fromhex(digest),
                self.membership.size, self.issued.count, self.issued.recent, self.applied.acks,
            )  # fmt: skip
            self._view.publish(SUBSYSTEM, encode_row(row))
