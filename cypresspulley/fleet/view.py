"""The membership view of one limiter: members, rows and the gossip queue. No I/O and no clock.

The view is a lattice. For each name it holds the member, a chain ordered by rank (life, ended, incarnation, state) and,
between equal ranks, by zone and address; and for each subsystem a row, a chain ordered by (life, version, body). A
merge takes the larger of each. This is a product of chains, so that merging is commutative, associative and idempotent,
and any order and duplication of the same claims gives the same view. A row counts only while its owner is present in
the life of the row. Rows of lower lives are dropped, which no later merge can distinguish from keeping them. (A row of
an unknown member is rejected: the next anti-entropy exchange sends it again together with the member.)

Two things are neither part of the lattice nor of a digest: the age of a row, which a merge only ever lowers, and the
removal of tombstones after ``TOMBSTONE_SECONDS`` or beyond ``MAX_TOMBSTONES``.

The digest of members covers the present ones only, so that a member that has removed a tombstone agrees with one that
has not. The digest of rows covers rows that have not changed for a while: otherwise rows that are published every
period would keep any two members from ever agreeing.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, replace
from functools import lru_cache
from hashlib import blake2b
from operator import attrgetter

from msgspec import Raw

from cypresspulley.fleet import timing
from cypresspulley.fleet.records import MAX_ROW_BYTES, MAX_SUBSYSTEMS, Member, MemberState, Rank, Row
from cypresspulley.fleet.wire import BUCKET_COUNT, MemberRecord, RowRecord, encode_record, encoded_size

MAX_MEMBERS = 4096  # present members; a full view rejects new names
MAX_TOMBSTONES = 4096
TOMBSTONE_SECONDS = 48 * 3600.0  # twice ``detector.MAX_CLOCK_DIFFERENCE_SECONDS``
# A row enters the digest once unchanged for this time, in a fleet of at most ``ROW_QUIET_MEMBERS``. In a larger
# fleet rows take longer to spread, because each member sends no more than in a small one.
ROW_QUIET_SECONDS = 10.0
ROW_QUIET_MEMBERS = 40


@dataclass(frozen=True, slots=True)
class StoredRow:
    """A row in the view. ``confirmed`` and ``changed`` are instants of the monotonic clock."""

    life: int
    version: int
    body: bytes
    confirmed: float
    changed: float


class View:
    """The members and rows known to one limiter, whose own record at the start is ``me``."""

    def __init__(self, me: Member) -> None:
        self.local_name = me.name
        self.gossip_queue = GossipQueue()
        self.members_changed_at = float("-inf")  # when the digest of members last changed
        self.digest = self.rows_digest = 0
        self._members = dict[str, Member]()
        self._rows = dict[str, dict[str, StoredRow]]()
        self._tombstones = dict[str, float]()  # instants of the end by name, oldest first
        self._digest_contributions = dict[str, tuple[int, int]]()  # each name's part of the two digests
        self._buckets = [0] * BUCKET_COUNT
        self._bucket_names = [set[str]() for _ in range(BUCKET_COUNT)]
        self._quiet_at = dict[str, float]()  # by owner: when to check for unchanged rows
        self._present_count = 0
        self._other_names: tuple[str, ...] | None = None  # cache, until the present members change
        self.store(float("-inf"), me)

    def __repr__(self) -> str:
        ended = len(self._tombstones)
        return f"<View of {self.local_name}: {self._present_count} present, {ended} ended, digest {self.digest:016x}>"

    @property
    def local_member(self) -> Member:
        """The record of this limiter itself."""
        return self._members[self.local_name]

    @property
    def present_count(self) -> int:
        """The number of present members, this one included."""
        return self._present_count

    @property
    def row_quiet_seconds(self) -> float:
        """Seconds without a change after which a row enters the digest."""
        return ROW_QUIET_SECONDS * max(1.0, self._present_count / ROW_QUIET_MEMBERS)

    def get(self, name: str) -> Member | None:
        """Return the record of a member, ended ones included; None for an unknown name."""
        return self._members.get(name)

    def other_names(self) -> Sequence[str]:
        """Return the names of all other present members, in the order in which they became known."""
        if self._other_names is None:
            current = self._members.items()
            self._other_names = tuple(
                name for name, member in current if member.state.present and name != self.local_name
            )
        return self._other_names

    def members(self) -> tuple[Member, ...]:
        """Return all present members, sorted by name."""
        found = (member for member in self._members.values() if member.state.present)
        return tuple(sorted(found, key=attrgetter("name")))

    def all_other_members(self) -> tuple[Member, ...]:
        """Return the records of all other members, tombstones included, sorted by name."""
        found = (member for name, member in self._members.items() if name != self.local_name)
        return tuple(sorted(found, key=attrgetter("name")))

    def recently_dead(self, now: float, within: float) -> list[Member]:
        """Return the members that died within the last ``within`` seconds."""
        recent = (self._members[name] for name, at in self._tombstones.items() if now - at <= within)
        return [member for member in recent if member.state is MemberState.DEAD]

    def merge(self, now: float, member: Member) -> bool:
        """Merge a claim into the view and return whether the view changed."""
        current = self._members.get(member.name)
        if current is None:
            if member.state.present and self._present_count >= MAX_MEMBERS:
                return False
        elif _claim_order(member) <= _claim_order(current):
            return False
        self.store(now, member)
        return True

    def store(self, now: float, member: Member) -> None:
        """Replace the record of a member; the caller ensures that the new one is larger."""
        name = member.name
        current = self._members.get(name)
        if change := member.state.present - (current is not None and current.state.present):
            self._present_count += change
            self._other_names = None
        self._members[name] = member
        self._tombstones.pop(name, None)
        if not member.state.present:
            self._tombstones[name] = now
        if (
            name != self.local_name
            and current is not None
            and current.life != member.life
            and (rows := self._rows.get(name))
        ):
            self._rows[name] = {key: row for key, row in rows.items() if row.life >= member.life}
            for key in rows.keys() - self._rows[name].keys():
                self.gossip_queue.drop((name, key))
        self._bucket_names[bucket_of(name)].add(name)
        self._update_digests(now, name)
        self.prune_tombstones(now)

    def prune_tombstones(self, now: float) -> None:
        """Remove expired tombstones, and the oldest ones over ``MAX_TOMBSTONES``."""
        while self._tombstones:
            name, at = next(iter(self._tombstones.items()))
            if now - at < TOMBSTONE_SECONDS and len(self._tombstones) <= MAX_TOMBSTONES:
                return
            del self._tombstones[name], self._members[name]
            self._rows.pop(name, None)
            self._bucket_names[bucket_of(name)].discard(name)
            self._digest_contributions.pop(name, None)
            self.gossip_queue.drop_name(name)

    # Rows

    def publish(self, now: float, subsystem: str, body: bytes) -> None:
        """Publish a row of this member. Raise ``ValueError`` if it is too long or of one subsystem too many."""
        if len(body) > MAX_ROW_BYTES:
            raise ValueError(f"row of {subsystem}: expected at most {MAX_ROW_BYTES} bytes, got {len(body)}")
        own_rows = self._rows.setdefault(self.local_name, {})
        if subsystem not in own_rows and len(own_rows) >= MAX_SUBSYSTEMS:
            raise ValueError(f"row of {subsystem}: expected at most {MAX_SUBSYSTEMS} subsystems")
        version = own_rows[subsystem].version + 1 if subsystem in own_rows else 1
        self._store_row(
            now, self.local_name, subsystem, StoredRow(self.local_member.life, version, body, now, now)
        )

    def row_life(self, owner: str, subsystem: str) -> int | None:
        """Return the life of a stored row; None without one."""
        current = self._rows.get(owner, {}).get(subsystem)
        return None if current is None else current.life

    def merge_row(self, now: float, row_record: RowRecord) -> bool:
        """Merge a row from another member and return whether the view changed; rows of this member are ignored."""
        member = self._members.get(row_record.owner)
        if member is None or row_record.owner == self.local_name or row_record.life < member.life:
            return False
        rows = self._rows.setdefault(row_record.owner, {})
        current = rows.get(row_record.subsystem)
        if current is None and len(rows) >= MAX_SUBSYSTEMS:
            return False
        confirmed = now - row_record.age_ms / 1000
        if current is not None:
            stored, received = (
                (current.life, current.version, current.body),
                (row_record.life, row_record.version, row_record.body),
            )
            if received < stored:
                return False
            if received == stored:
                if confirmed > current.confirmed:
                    rows[row_record.subsystem] = replace(current, confirmed=confirmed)
                return False
        self._store_row(
            now,
            row_record.owner,
            row_record.subsystem,
            StoredRow(row_record.life, row_record.version, row_record.body, confirmed, now),
        )
        return True

    def confirm_rows(self, now: float, owner: str, life: int, versions: int) -> None:
        """Mark the rows of an owner as confirmed now if the sum of their versions is the one that it reports."""
        rows = self._rows.get(owner)
        if rows and versions == sum(row.version for row in rows.values() if row.life == life):
            for key, row in rows.items():
                if row.life == life:
                    rows[key] = replace(row, confirmed=now)

    def own_row_versions(self) -> int:
        """Return the sum of the versions of this member's rows, which each datagram reports."""
        return sum(row.version for row in self._rows.get(self.local_name, {}).values())

    def republish_rows(self, now: float) -> None:
        """Publish this member's rows again in its new life."""
        rows = self._rows.pop(self.local_name, {})
        self._rows[self.local_name] = {}
        for key, row in rows.items():
            self._store_row(
                now,
                self.local_name,
                key,
                replace(row, life=self.local_member.life, confirmed=now, changed=now),
            )

    def rows(self, now: float, subsystem: str) -> tuple[Row, ...]:
        """Return the rows of all present members for a subsystem, sorted by owner."""
        found = list[Row]()
        for name, rows in self._rows.items():
            row, member = rows.get(subsystem), self._members[name]
            if row is not None and member.state.present and row.life == member.life:
                age = 0.0 if name == self.local_name else max(0.0, now - row.confirmed)
                found.append(Row(name, row.life, row.version, member.state, age, row.body))
        return tuple(sorted(found, key=attrgetter("owner")))

    def refresh(self, now: float) -> None:
        """Add rows that have become quiet to the digest and remove old tombstones; called once a period."""
        while self._quiet_at:
            name, at = next(iter(self._quiet_at.items()))
            if at > now:
                break
            del self._quiet_at[name]
            if name in self._members:
                self._update_digests(now, name)
                changed = max(
                    (row.changed for row in self._rows.get(name, {}).values()), default=float("-inf")
                )
                if changed + self.row_quiet_seconds > now:
                    self._quiet_at[name] = changed + self.row_quiet_seconds
        self.prune_tombstones(now)

    # Encoding and comparison

    def bucket_digests(self) -> bytes:
        """Return the digests of all buckets, 8 bytes each."""
        return b"".join(value.to_bytes(8, "big") for value in self._buckets)

    def differing_buckets(self, buckets: bytes) -> int:
        """Return the bit mask of the buckets whose digests differ from the given ones."""
        own = self.bucket_digests()
        return sum(
            1 << n for n in range(BUCKET_COUNT) if own[8 * n : 8 * n + 8] != buckets[8 * n : 8 * n + 8]
        )

    def list_keys(self, mask: int) -> list[tuple[int, str, str]]:
        """Return the sorted keys of the members and rows in the buckets of ``mask``, for present members."""
        found = list[tuple[int, str, str]]()
        for number in range(BUCKET_COUNT):
            if mask >> number & 1:
                for name in sorted(self._bucket_names[number]):
                    if self._members[name].state.present:
                        found.append((number, name, ""))
                        found.extend((number, name, key) for key in sorted(self._valid_rows(name)))
        return found

    def encode_member(self, name: str, by: str = "") -> Raw:
        """Encode the record of a member, with the accuser ``by`` if any."""
        member = self._members[name]
        return encode_record(
            MemberRecord(name, member.life, member.incarnation, member.state, member.zone, member.address, by)
        )

    def encode_row(self, now: float, name: str, subsystem: str) -> Raw | None:
        """Encode the row of a member; None if it has no valid row or is not present."""
        row = self._valid_rows(name).get(subsystem)
        if row is None or not self._members[name].state.present:
            return None
        age = 0 if name == self.local_name else max(0, round((now - row.confirmed) * 1000))
        return encode_record(RowRecord(name, subsystem, row.life, row.version, age, row.body))

    def has_newer_row(self, name: str, subsystem: str, row_record: RowRecord | None) -> bool:
        """Return whether the stored row is larger than a received one; None stands for no received row."""
        row = self._valid_rows(name).get(subsystem)
        if row is None:
            return False
        return row_record is None or (row.life, row.version, row.body) > (
            row_record.life,
            row_record.version,
            row_record.body,
        )

    def _valid_rows(self, name: str) -> dict[str, StoredRow]:
        member = self._members.get(name)
        if member is None:
            return {}
        return {key: row for key, row in self._rows.get(name, {}).items() if row.life == member.life}

    def _store_row(self, now: float, owner: str, subsystem: str, row: StoredRow) -> None:
        self._rows.setdefault(owner, {})[subsystem] = row
        self._quiet_at.setdefault(owner, now + self.row_quiet_seconds)
        self.gossip_queue.add((owner, subsystem), None)
        self._update_digests(now, owner)

    def _update_digests(self, now: float, name: str) -> None:
        """Update the contribution of a name to the digests."""
        member = self._members[name]
        member_hash = rows_hash = 0
        if member.state.present:
            member_hash = _hash(
                f"{member.life}/{member.incarnation}/{int(member.state)}/{name}/{member.zone}/{member.address}".encode()
            )
            for key, row in self._rows.get(name, {}).items():
                if row.life == member.life and now - row.changed >= self.row_quiet_seconds:
                    rows_hash ^= _hash(f"{name}/{key}/{row.life}/{row.version}/".encode() + row.body)
        before = self._digest_contributions.get(name, (0, 0))
        if before == (member_hash, rows_hash):
            return
        if before[0] != member_hash:
            self.members_changed_at = now
        self._digest_contributions[name] = (member_hash, rows_hash)
        self.digest ^= before[0] ^ member_hash
        self.rows_digest ^= before[1] ^ rows_hash
        self._buckets[bucket_of(name)] ^= before[0] ^ member_hash ^ before[1] ^ rows_hash


class GossipQueue:
    """Records to disseminate: members before rows, and of each the least often sent ones first.

    Level n holds the records that have been sent n times.
    """

    def __init__(self) -> None:
        self._levels: tuple[list[dict[tuple[str, str], Raw | None]], ...] = ([], [])
        self._level_of = dict[tuple[str, str], int]()  # by key

    def __len__(self) -> int:
        return len(self._level_of)

    def add(self, key: tuple[str, str], record: Raw | None) -> None:
        """Add or reset a record. ``key`` is a name and a subsystem, "" for the member itself, whose record is given.

        The record of a row is None: rows are encoded when they are sent.
        """
        self.drop(key)
        levels = self._levels[bool(key[1])]
        if not levels:
            levels.append({})
        levels[0][key] = record
        self._level_of[key] = 0

    def drop(self, key: tuple[str, str]) -> None:
        level = self._level_of.pop(key, None)
        if level is not None:
            del self._levels[bool(key[1])][level][key]

    def drop_name(self, name: str) -> None:
        for key in [key for key in self._level_of if key[0] == name]:
            self.drop(key)

    def take_records(self, now: float, view: View, space: int) -> tuple[list[Raw], list[Raw]]:
        """Return member and row records of at most ``space`` bytes for one datagram; each counts as sent once."""
        limit = timing.transmission_limit(view.present_count)
        records: tuple[list[Raw], list[Raw]] = ([], [])
        sent = list[tuple[tuple[str, str], Raw | None]]()
        for kind in (0, 1):
            for level in self._levels[kind]:
                for key, record in level.items():
                    encoded = record if record is not None else view.encode_row(now, *key)
                    if encoded is None:  # the row is no longer valid
                        sent.append((key, None))
                        self._level_of[key] = limit
                        continue
                    if encoded_size(encoded) > space:
                        break
                    space -= encoded_size(encoded)
                    records[kind].append(encoded)
                    sent.append((key, record))
                else:
                    continue
                break  # less often sent records have priority, even if a smaller record would still fit
        for key, record in sent:
            self._record_transmission(key, record, limit)
        return records

    def _record_transmission(self, key: tuple[str, str], record: Raw | None, limit: int) -> None:
        level = self._level_of[key]
        if level + 1 >= limit:
            levels = self._levels[bool(key[1])]
            for records in levels:
                records.pop(key, None)
            del self._level_of[key]
            return
        levels = self._levels[bool(key[1])]
        del levels[level][key]
        if len(levels) <= level + 1:
            levels.append({})
        levels[level + 1][key] = record
        self._level_of[key] = level + 1


@lru_cache(maxsize=2 * (MAX_MEMBERS + MAX_TOMBSTONES))
def bucket_of(name: str) -> int:
    """Return the bucket of a name, which is the same at all members."""
    return blake2b(name.encode(), digest_size=1).digest()[0] % BUCKET_COUNT


def _hash(data: bytes) -> int:
    return int.from_bytes(blake2b(data, digest_size=8).digest(), "big")


def _claim_order(member: Member) -> tuple[Rank, str, str]:
    return member.rank, member.zone, member.address
