"""What one limiter holds of its fleet: members, rows, and what is still to be sent on. No I/O and no clock.

The view is a lattice. Of one name it holds a pair: the member, a chain ordered by rank (life, ended, incarnation,
state) and, between equal ranks, by zone and address; and for each subsystem a row, a chain ordered by (life, version,
body). A merge takes the larger of each: a product of chains, so that it is commutative, associative and idempotent,
and any order and any doubling of the same claims ends in the same view. A row counts only while its owner is present
in the very life of the row; rows of lower lives are dropped, which no later merge can tell from keeping them. (A row
of an unknown member is not taken: it comes again with the member, by the next exchange.)

Two things are no part of the lattice, and of no digest: how old a row is (it only ever gets younger by a merge), and
that a tombstone is forgotten after ``TOMBSTONE`` seconds or beyond ``MOST_TOMBSTONES``.

The digest of members is over those that are present, so that one who has forgotten a tombstone agrees with one who
has not. The digest of rows is over those that have not changed for a while: what its owner says anew every period
would otherwise let no two members ever agree.
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

MAX_MEMBERS = 4096  # present ones; a new name beyond is not taken
MAX_TOMBSTONES = 4096
TOMBSTONE_SECONDS = 48 * 3600.0  # seconds: twice what a datagram's clock may be off (``detector.STALE``)
# Seconds after which a row that has not changed counts for the digest, in a fleet of ``QUIET_SIZE`` members at most. In
# a larger one rows take longer to go round, as each member sends no more than in a small one.
ROW_QUIET_SECONDS = 10.0
ROW_QUIET_MEMBERS = 40


@dataclass(frozen=True, slots=True)
class StoredRow:
    """A row as it is held. ``confirmed`` and ``changed`` are instants of the clock that never steps."""

    life: int
    version: int
    body: bytes
    confirmed: float
    changed: float


class View:
    """``me`` is this limiter as it starts."""

    def __init__(self, me: Member) -> None:
        self.local_name = me.name
        self.gossip_queue = GossipQueue()
        self.members_changed_at = float("-inf")  # when the digest of members last changed
        self.digest = self.rows_digest = 0
        self._members = dict[str, Member]()
        self._rows = dict[str, dict[str, StoredRow]]()
        self._tombstones = dict[str, float]()  # tombstones by name, in order of their instants
        self._digest_contributions = dict[str, tuple[int, int]]()  # what each name adds to the two digests
        self._buckets = [0] * BUCKET_COUNT
        self._bucket_names = [set[str]() for _ in range(BUCKET_COUNT)]
        self._quiet_at = dict[str, float]()  # when to look whether a name's rows have gone quiet
        self._present_count = 0
        self._other_names: tuple[str, ...] | None = None  # until who is present changes
        self.store(float("-inf"), me)

    def __repr__(self) -> str:
        ended = len(self._tombstones)
        return f"<View of {self.local_name}: {self._present_count} present, {ended} tombstones, digest {self.digest:016x}>"

    @property
    def local_member(self) -> Member:
        return self._members[self.local_name]

    @property
    def present_count(self) -> int:
        """How many members are present, this one among them."""
        return self._present_count

    @property
    def row_quiet_seconds(self) -> float:
        """Seconds without a change after which a row counts for the digest."""
        return ROW_QUIET_SECONDS * max(1.0, self._present_count / ROW_QUIET_MEMBERS)

    def get(self, name: str) -> Member | None:
        return self._members.get(name)

    def other_names(self) -> Sequence[str]:
        """Names of all other present members, in the order in which they were first heard of."""
        if self._other_names is None:
            held = self._members.items()
            self._other_names = tuple(
                name for name, member in held if member.state.present and name != self.local_name
            )
        return self._other_names

    def members(self) -> tuple[Member, ...]:
        found = (member for member in self._members.values() if member.state.present)
        return tuple(sorted(found, key=attrgetter("name")))

    def all_other_members(self) -> tuple[Member, ...]:
        """All that is held of others, tombstones among it, sorted by name."""
        found = (member for name, member in self._members.items() if name != self.local_name)
        return tuple(sorted(found, key=attrgetter("name")))

    def recently_dead(self, now: float, within: float) -> list[Member]:
        """Members that are held dead since so many seconds at most."""
        recent = (self._members[name] for name, at in self._tombstones.items() if now - at <= within)
        return [member for member in recent if member.state is MemberState.DEAD]

    def merge(self, now: float, member: Member) -> bool:
        """Join a claim into the view; whether this changed it."""
        held = self._members.get(member.name)
        if held is None:
            if member.state.present and self._present_count >= MAX_MEMBERS:
                return False
        elif _claim_order(member) <= _claim_order(held):
            return False
        self.store(now, member)
        return True

    def store(self, now: float, member: Member) -> None:
        """Hold this of a member in place of what was held; the caller knows that it is the larger."""
        name = member.name
        held = self._members.get(name)
        if change := member.state.present - (held is not None and held.state.present):
            self._present_count += change
            self._other_names = None
        self._members[name] = member
        self._tombstones.pop(name, None)
        if not member.state.present:
            self._tombstones[name] = now
        if (
            name != self.local_name
            and held is not None
            and held.life != member.life
            and (rows := self._rows.get(name))
        ):
            self._rows[name] = {key: row for key, row in rows.items() if row.life >= member.life}
            for key in rows.keys() - self._rows[name].keys():
                self.gossip_queue.drop((name, key))
        self._bucket_names[bucket_of(name)].add(name)
        self._update_digests(now, name)
        self.prune_tombstones(now)

    def prune_tombstones(self, now: float) -> None:
        """Forget tombstones that are old, or the oldest where there are too many."""
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
        """A row of this member's own. ``ValueError`` where it is too long or one subsystem too many."""
        if len(body) > MAX_ROW_BYTES:
            raise ValueError(f"row of {subsystem}: expected at most {MAX_ROW_BYTES} bytes, got {len(body)}")
        mine = self._rows.setdefault(self.local_name, {})
        if subsystem not in mine and len(mine) >= MAX_SUBSYSTEMS:
            raise ValueError(f"row of {subsystem}: expected at most {MAX_SUBSYSTEMS} subsystems")
        version = mine[subsystem].version + 1 if subsystem in mine else 1
        self._store_row(
            now, self.local_name, subsystem, StoredRow(self.local_member.life, version, body, now, now)
        )

    def row_life(self, owner: str, subsystem: str) -> int | None:
        """The life of which a row is held; None where none is."""
        held = self._rows.get(owner, {}).get(subsystem)
        return None if held is None else held.life

    def merge_row(self, now: float, cell: RowRecord) -> bool:
        """Join a row that another told; whether it changed what is held. Nobody tells this member its own."""
        member = self._members.get(cell.owner)
        if member is None or cell.owner == self.local_name or cell.life < member.life:
            return False
        rows = self._rows.setdefault(cell.owner, {})
        held = rows.get(cell.subsystem)
        if held is None and len(rows) >= MAX_SUBSYSTEMS:
            return False
        confirmed = now - cell.age_ms / 1000
        if held is not None:
            known, told = (held.life, held.version, held.body), (cell.life, cell.version, cell.body)
            if told < known:
                return False
            if told == known:
                if confirmed > held.confirmed:
                    rows[cell.subsystem] = replace(held, confirmed=confirmed)
                return False
        self._store_row(
            now, cell.owner, cell.subsystem, StoredRow(cell.life, cell.version, cell.body, confirmed, now)
        )
        return True

    def confirm_rows(self, now: float, owner: str, life: int, versions: int) -> None:
        """The owner has just said the sum of its rows' versions: if that is the sum of those held, they are young."""
        rows = self._rows.get(owner)
        if rows and versions == sum(row.version for row in rows.values() if row.life == life):
            for key, row in rows.items():
                if row.life == life:
                    rows[key] = replace(row, confirmed=now)

    def own_row_versions(self) -> int:
        """The sum of this member's own rows' versions, as told in each datagram."""
        return sum(row.version for row in self._rows.get(self.local_name, {}).values())

    def republish_rows(self, now: float) -> None:
        """This member has a new life: its own rows are said again in it."""
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
        found = list[Row]()
        for name, rows in self._rows.items():
            row, member = rows.get(subsystem), self._members[name]
            if row is not None and member.state.present and row.life == member.life:
                age = 0.0 if name == self.local_name else max(0.0, now - row.confirmed)
                found.append(Row(name, row.life, row.version, member.state, age, row.body))
        return tuple(sorted(found, key=attrgetter("owner")))

    def refresh(self, now: float) -> None:
        """Let rows that have gone quiet count for the digest, and forget old tombstones. Once a period."""
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

    # For datagrams

    def bucket_digests(self) -> bytes:
        return b"".join(value.to_bytes(8, "big") for value in self._buckets)

    def differing_buckets(self, buckets: bytes) -> int:
        """The mask of buckets whose digests are not these."""
        mine = self.bucket_digests()
        return sum(
            1 << n for n in range(BUCKET_COUNT) if mine[8 * n : 8 * n + 8] != buckets[8 * n : 8 * n + 8]
        )

    def list_keys(self, mask: int) -> list[tuple[int, str, str]]:
        """Keys of what is held of present members in these buckets, in order."""
        found = list[tuple[int, str, str]]()
        for number in range(BUCKET_COUNT):
            if mask >> number & 1:
                for name in sorted(self._bucket_names[number]):
                    if self._members[name].state.present:
                        found.append((number, name, ""))
                        found.extend((number, name, key) for key in sorted(self._valid_rows(name)))
        return found

    def encode_member(self, name: str, by: str = "") -> Raw:
        """A member as it is told to others."""
        member = self._members[name]
        return encode_record(
            MemberRecord(name, member.life, member.incarnation, member.state, member.zone, member.address, by)
        )

    def encode_row(self, now: float, name: str, subsystem: str) -> Raw | None:
        """A row as it is told to others; None where there is none to tell."""
        row = self._valid_rows(name).get(subsystem)
        if row is None or not self._members[name].state.present:
            return None
        age = 0 if name == self.local_name else max(0, round((now - row.confirmed) * 1000))
        return encode_record(RowRecord(name, subsystem, row.life, row.version, age, row.body))

    def has_newer_row(self, name: str, subsystem: str, cell: RowRecord | None) -> bool:
        """Whether the row held is larger than the one told, None for none told."""
        row = self._valid_rows(name).get(subsystem)
        if row is None:
            return False
        return cell is None or (row.life, row.version, row.body) > (cell.life, cell.version, cell.body)

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
        """Bring what this name adds to the digests up to date."""
        member = self._members[name]
        whole = rows = 0
        if member.state.present:
            whole = _hash(
                f"{member.life}/{member.incarnation}/{int(member.state)}/{name}/{member.zone}/{member.address}".encode()
            )
            for key, row in self._rows.get(name, {}).items():
                if row.life == member.life and now - row.changed >= self.row_quiet_seconds:
                    rows ^= _hash(f"{name}/{key}/{row.life}/{row.version}/".encode() + row.body)
        before = self._digest_contributions.get(name, (0, 0))
        if before == (whole, rows):
            return
        if before[0] != whole:
            self.members_changed_at = now
        self._digest_contributions[name] = (whole, rows)
        self.digest ^= before[0] ^ whole
        self.rows_digest ^= before[1] ^ rows
        self._buckets[bucket_of(name)] ^= before[0] ^ whole ^ before[1] ^ rows


class GossipQueue:
    """What is to be sent on: members before rows, and of each what was sent least before what was sent more."""

    def __init__(self) -> None:
        self._levels: tuple[list[dict[tuple[str, str], Raw | None]], ...] = ([], [])
        self._level_of = dict[tuple[str, str], int]()  # the level in which a key stands

    def __len__(self) -> int:
        return len(self._level_of)

    def add(self, key: tuple[str, str], told: Raw | None) -> None:
        """``key`` is a name and a subsystem, "" for the member itself, whose record is ``told``."""
        self.drop(key)
        levels = self._levels[bool(key[1])]
        if not levels:
            levels.append({})
        levels[0][key] = told
        self._level_of[key] = 0

    def drop(self, key: tuple[str, str]) -> None:
        level = self._level_of.pop(key, None)
        if level is not None:
            del self._levels[bool(key[1])][level][key]

    def drop_name(self, name: str) -> None:
        for key in [key for key in self._level_of if key[0] == name]:
            self.drop(key)

    def take(self, now: float, view: View, room: int) -> tuple[list[Raw], list[Raw]]:
        """Records of members and rows for one datagram, ``room`` bytes at most; each counts as sent once."""
        most = timing.transmission_limit(view.present_count)
        told: tuple[list[Raw], list[Raw]] = ([], [])
        sent = list[tuple[tuple[str, str], Raw | None]]()
        for kind in (0, 1):
            for level in self._levels[kind]:
                for key, record in level.items():
                    ready = record if record is not None else view.encode_row(now, *key)
                    if ready is None:  # a row that has ended meanwhile
                        sent.append((key, None))
                        self._level_of[key] = most
                        continue
                    if encoded_size(ready) > room:
                        break
                    room -= encoded_size(ready)
                    told[kind].append(ready)
                    sent.append((key, record))
                else:
                    continue
                break  # whoever was sent least comes first, also where a smaller one would still fit
        for key, record in sent:
            self._record_transmission(key, record, most)
        return told

    def _record_transmission(self, key: tuple[str, str], record: Raw | None, most: int) -> None:
        level = self._level_of[key]
        if level + 1 >= most:
            levels = self._levels[bool(key[1])]
            for one in levels:
                one.pop(key, None)
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
    """The bucket of a name, the same at all members."""
    return blake2b(name.encode(), digest_size=1).digest()[0] % BUCKET_COUNT


def _hash(data: bytes) -> int:
    return int.from_bytes(blake2b(data, digest_size=8).digest(), "big")


def _claim_order(member: Member) -> tuple[Rank, str, str]:
    return member.rank, member.zone, member.address
