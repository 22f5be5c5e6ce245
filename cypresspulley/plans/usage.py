"""Usage by account, plan version and period: recorded at a limiter and exported exactly once. No I/O, no clock.

Amounts are whole micro-units, so that sums are exact. A record's ``writer`` is one limiter, identified by its name
across restarts. It cuts its usage into records that are numbered without gaps within an epoch, one epoch for each
start. A record is sent until it is acknowledged, and the receiver counts each (writer, epoch, number) once. Together
this is exactly once, as long as a number is never sent again with other content; where the limiter has a disk, a record
is therefore stored before it is sent.
"""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from hashlib import blake2b
from typing import Any, TypeVar

from cypresspulley.plans.book import Stamp

RECORD_FORMAT = 1
MAX_ROWS = 10_000  # rows in one record, or pending at a recorder
# JSON of the rows of one record, unless a single row is longer. A call with it fits into 65,536 bytes, which every
# version of the writer accepts.
MAX_RECORD_BYTES = 48 << 10
MAX_UNACKNOWLEDGED_RECORDS = 1_000
MAX_RECORDS_PER_EPOCH = 1_000_000  # record numbers that a ledger remembers for one writer's epoch


class UsageError(ValueError):
    """A record cannot be accepted. The text names the key and the expected value."""


@dataclass(frozen=True, slots=True, order=True)
class UsageKey:
    """What usage is attributed to: account, plan, version and period.

    ``version`` is the one that the request was admitted under, ``period`` a number: Unix time divided by the period's
    length.
    """

    account: str
    plan: str
    version: Stamp
    period: int


@dataclass(frozen=True, slots=True)
class UsageRecord:
    """Usage that one writer reports at once, in micro-units for each key."""

    writer: str
    epoch: int
    seq: int
    rows: tuple[tuple[UsageKey, int], ...]

    @property
    def idempotency_key(self) -> str:
        return f"{self.writer}/{self.epoch}/{self.seq}"

    @property
    def digest(self) -> str:
        return blake2b(repr(self.rows).encode(), digest_size=8).hexdigest()

    def as_json(self) -> dict[str, Any]:
        rows = [_row_as_json(key, units) for key, units in self.rows]
        return {
            "kind": "use", "format": RECORD_FORMAT, "writer": self.writer, "epoch": self.epoch, "seq": self.seq,
            "rows": rows,
        }  # fmt: skip


def parse_usage_record(raw: Any, where: str = "record") -> UsageRecord:
    """Parse and validate a record from JSON. Raise ``UsageError``."""
    if not isinstance(raw, dict) or raw.get("kind") != "use":
        raise UsageError(f"{where}.kind: expected use")
    if raw.get("format") != RECORD_FORMAT:
        raise UsageError(f"{where}.format: expected {RECORD_FORMAT}, got {raw.get('format')!r:.60}")
    writer, rows = raw.get("writer"), raw.get("rows")
    epoch, seq = _parse_int(raw.get("epoch"), f"{where}.epoch"), _parse_int(raw.get("seq"), f"{where}.seq")
    if not isinstance(writer, str) or not 0 < len(writer) <= 80:
        raise UsageError(f"{where}.writer: expected 1 to 80 characters, got {writer!r:.60}")
    if not isinstance(rows, list) or len(rows) > MAX_ROWS:
        raise UsageError(f"{where}.rows: expected a list of at most {MAX_ROWS}")
    return UsageRecord(
        writer, epoch, seq, tuple(_parse_row(row, f"{where}.rows.{n}") for n, row in enumerate(rows))
    )


def _parse_int(raw: Any, where: str, minimum: int = 0) -> int:
    if isinstance(raw, bool) or not isinstance(raw, int) or not minimum <= raw < 2**53:
        raise UsageError(f"{where}: expected a whole number from {minimum} to 2^53, got {raw!r:.60}")
    return int(raw)


T = TypeVar("T")
SNAPSHOT_PART_SIZE = 1_000  # entries per part of a snapshot
SNAPSHOT_PART_CHARACTERS = 40_000  # names in a part; JSON writes up to six bytes for each


def _split_parts(entries: list[T]) -> Iterator[list[T]]:
    return (entries[n : n + SNAPSHOT_PART_SIZE] for n in range(0, len(entries), SNAPSHOT_PART_SIZE))


def _split_rows(rows: Iterable[tuple[UsageKey, int]]) -> Iterator[list[tuple[UsageKey, int]]]:
    """Yield the rows in parts that are limited by number and by the length of their names."""
    part, characters = list[tuple[UsageKey, int]](), 0
    for row in rows:
        size = len(row[0].account) + len(row[0].plan)
        if part and (len(part) >= SNAPSHOT_PART_SIZE or characters + size > SNAPSHOT_PART_CHARACTERS):
            yield part
            part, characters = [], 0
        part.append(row)
        characters += size
    if part:
        yield part


def _row_as_json(key: UsageKey, units: int) -> list[Any]:
    return [key.account, key.plan, key.version.epoch, key.version.seq, key.period, units]


def _parse_row(raw: Any, where: str) -> tuple[UsageKey, int]:
    if not isinstance(raw, list) or len(raw) != 6 or not all(isinstance(text, str) for text in raw[:2]):
        raise UsageError(
            f"{where}: expected [account, plan, epoch, seq, period, micro-units], got {raw!r:.60}"
        )
    epoch, seq, period = (_parse_int(number, where) for number in raw[2:5])
    return UsageKey(raw[0], raw[1], Stamp(epoch, seq), period), _parse_int(raw[5], where, 1 - 2**53)


def _end_of_record(rows: list[tuple[UsageKey, int]], begin: int) -> int:
    """Return the index behind the last row that fits into a record with those from ``begin`` on; one always does."""
    size = 0
    for index in range(begin, len(rows)):
        size += len(json.dumps(_row_as_json(*rows[index]), separators=(",", ":"))) + 1
        if size > MAX_RECORD_BYTES:
            return max(begin + 1, index)
    return len(rows)


class UsageRecorder:
    """Records the usage of a limiter during one epoch. A crash loses the usage since the last ``cut_records``."""

    def __init__(self, writer: str, epoch: int) -> None:
        self.writer, self.epoch, self._seq = writer, epoch, 0
        self._rows = dict[UsageKey, int]()
        self.unacknowledged = dict[tuple[int, int], UsageRecord]()  # by epoch and number
        self.dropped_units = 0  # micro-units beyond ``MAX_ROWS``

    def __repr__(self) -> str:
        return (
            f"<UsageRecorder {self.writer}/{self.epoch}: {len(self._rows)} rows, "
            f"{len(self.unacknowledged)} records wait>"
        )

    def add_usage(self, key: UsageKey, units: int) -> None:
        """Add micro-units (negative for a correction); beyond ``MAX_ROWS`` keys they count as ``dropped_units``."""
        if key not in self._rows and len(self._rows) >= MAX_ROWS:
            self.dropped_units += units
        else:
            self._rows[key] = self._rows.get(key, 0) + units

    @property
    def pending_units(self) -> int:
        """The micro-units that are not in a record yet and that a crash would lose."""
        return sum(self._rows.values())

    def cut_records(self) -> list[UsageRecord]:
        """Move the pending usage into records, to be stored before they are sent.

        What would make more than ``MAX_UNACKNOWLEDGED_RECORDS`` stays pending.
        """
        rows, records = sorted((k, u) for k, u in self._rows.items() if u), list[UsageRecord]()
        begin = 0
        while begin < len(rows) and len(self.unacknowledged) < MAX_UNACKNOWLEDGED_RECORDS:
            end = _end_of_record(rows, begin)
            records.append(self._add_record(tuple(rows[begin:end])))
            begin = end
        self._rows = dict(rows[begin:])
        return records

    def _add_record(self, rows: tuple[tuple[UsageKey, int], ...]) -> UsageRecord:
        """Number a new record. After ``MAX_RECORDS_PER_EPOCH`` the next epoch begins."""
        if self._seq >= MAX_RECORDS_PER_EPOCH:
            self.epoch, self._seq = self.epoch + 1, 0
        self._seq += 1
        record = UsageRecord(self.writer, self.epoch, self._seq, rows)
        self.unacknowledged[self.epoch, self._seq] = record
        return record

    def restore_record(self, record: UsageRecord) -> None:
        """Add an unacknowledged record of an earlier epoch. Raise ``UsageError`` for any other one."""
        if record.writer != self.writer or record.epoch >= self.epoch:
            raise UsageError(
                f"{record.idempotency_key}: expected {self.writer}, an epoch before {self.epoch}"
            )
        self.unacknowledged[record.epoch, record.seq] = record

    def acknowledge(self, epoch: int, seq: int) -> bool:
        """Remove an acknowledged record; return whether it was unacknowledged."""
        return self.unacknowledged.pop((epoch, seq), None) is not None


class UsageLedger:
    """The receiving side: counts each record once, in any order, and sets aside conflicting ones."""

    def __init__(self) -> None:
        self.totals = dict[UsageKey, int]()
        self._seen = dict[tuple[str, int], dict[int, str]]()  # digests by number, by writer and epoch
        self.quarantined = list[UsageRecord]()  # records with the number of an accepted one and other content

    def check_room(self, record: UsageRecord) -> None:
        """Raise ``UsageError`` if a new record is one too many of its epoch."""
        if len(self._seen.get((record.writer, record.epoch), {})) >= MAX_RECORDS_PER_EPOCH:
            raise UsageError(
                f"{record.idempotency_key}: expected at most {MAX_RECORDS_PER_EPOCH} records of an epoch"
            )

    def accept(self, record: UsageRecord, is_stored: bool = False) -> bool:
        """Count a record unless it was counted before; return whether it may be acknowledged.

        Return False for a record that conflicts with an accepted one. Raise ``UsageError`` for too many records, unless
        ``is_stored``: what a store holds is counted.
        """
        seen = self._seen.setdefault((record.writer, record.epoch), {})
        known = seen.get(record.seq)
        if known is not None:
            if known != record.digest:
                self.quarantined.append(record)
            return known == record.digest
        if not is_stored:
            self.check_room(record)
        seen[record.seq] = record.digest
        for key, units in record.rows:
            self.totals[key] = self.totals.get(key, 0) + units
        return True

    def contains(self, record: UsageRecord) -> bool:
        """Return whether a record with the same number was accepted."""
        return record.seq in self._seen.get((record.writer, record.epoch), {})

    def snapshot(self) -> Iterator[dict[str, Any]]:
        """Yield the whole state in parts, for a store."""
        for (writer, epoch), seen in self._seen.items():
            for part in _split_parts(sorted(seen.items())):
                yield {"kind": "taken", "writer": writer, "epoch": epoch, "seen": [list(one) for one in part]}
        for rows in _split_rows(sorted(self.totals.items())):
            yield {"kind": "totals", "rows": [_row_as_json(*row) for row in rows]}

    def restore(self, part: dict[str, Any]) -> None:
        """Add one part of a stored snapshot."""
        if part["kind"] == "taken":
            seen = self._seen.setdefault((part["writer"], part["epoch"]), {})
            seen.update((number, digest) for number, digest in part["seen"])
            return
        for raw in part["rows"]:
            key, units = _parse_row(raw, "totals")
            self.totals[key] = self.totals.get(key, 0) + units

    def missing_numbers(self, writer: str, epoch: int) -> list[int]:
        """Return the record numbers below the highest that have not been received."""
        seen = self._seen.get((writer, epoch), {})
        return [n for n in range(1, max(seen, default=0)) if n not in seen]
