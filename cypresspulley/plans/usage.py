"""Use by account, plan version and period: gathered at a limiter, exported once and only once. No I/O, no clock.

Amounts are whole micro-units, so that sums are exact. A writer (one limiter's place, through all its lives) cuts what
it gathered into records, numbered without gaps within an epoch, one epoch for each life. A record is told until it is
acknowledged; whoever takes records in keeps each (writer, epoch, number) once. Together that is exactly once, as long
as a record that was told is never told with other content, which is why it is stored before it is told.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from hashlib import blake2b
from typing import Any, TypeVar

from cypresspulley.plans.book import Stamp

RECORD_FORMAT = 1
MAX_ROWS = 10_000  # rows gathered, or in one record
MAX_UNACKNOWLEDGED_RECORDS = 1_000  # records that wait for their acknowledgement
MAX_RECORDS_PER_EPOCH = 1_000_000  # numbers that an intake keeps apart for one writer's epoch


class UsageError(ValueError):
    """A record that cannot be taken; the text names the key and what was expected."""


@dataclass(frozen=True, slots=True, order=True)
class UsageKey:
    """What use is attributed to: the version that the request was admitted under, and the period of its end
    (its number: Unix time over the period's length)."""

    account: str
    plan: str
    version: Stamp
    period: int


@dataclass(frozen=True, slots=True)
class UsageRecord:
    """What one writer tells at once."""

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
        rows = [_row_json(key, units) for key, units in self.rows]
        return {
            "kind": "use", "format": RECORD_FORMAT, "writer": self.writer, "epoch": self.epoch, "seq": self.seq, "rows": rows,
        }  # fmt: skip


def parse_usage_record(raw: Any, where: str = "record") -> UsageRecord:
    """A record from JSON, checked whole."""
    if not isinstance(raw, dict) or raw.get("kind") != "use":
        raise UsageError(f"{where}.kind: expected use")
    if raw.get("format") != RECORD_FORMAT:
        raise UsageError(f"{where}.format: expected {RECORD_FORMAT}, got {raw.get('format')!r:.60}")
    writer, rows = raw.get("writer"), raw.get("rows")
    epoch, seq = _whole(raw.get("epoch"), f"{where}.epoch"), _whole(raw.get("seq"), f"{where}.seq")
    if not isinstance(writer, str) or not 0 < len(writer) <= 80:
        raise UsageError(f"{where}.writer: expected 1 to 80 characters, got {writer!r:.60}")
    if not isinstance(rows, list) or len(rows) > MAX_ROWS:
        raise UsageError(f"{where}.rows: expected a list of at most {MAX_ROWS}")
    return UsageRecord(
        writer, epoch, seq, tuple(_row(row, f"{where}.rows.{n}") for n, row in enumerate(rows))
    )


def _whole(raw: Any, where: str, least: int = 0) -> int:
    if isinstance(raw, bool) or not isinstance(raw, int) or not least <= raw < 2**53:
        raise UsageError(f"{where}: expected a whole number from {least} to 2^53, got {raw!r:.60}")
    return int(raw)


T = TypeVar("T")
SNAPSHOT_PART_SIZE = 1_000  # entries of a part of a state


def _parts(entries: list[T]) -> Iterator[list[T]]:
    return (entries[n : n + SNAPSHOT_PART_SIZE] for n in range(0, len(entries), SNAPSHOT_PART_SIZE))


def _row_json(key: UsageKey, units: int) -> list[Any]:
    return [key.account, key.plan, key.version.epoch, key.version.seq, key.period, units]


def _row(raw: Any, where: str) -> tuple[UsageKey, int]:
    if not isinstance(raw, list) or len(raw) != 6 or not all(isinstance(text, str) for text in raw[:2]):
        raise UsageError(
            f"{where}: expected [account, plan, epoch, seq, period, micro-units], got {raw!r:.60}"
        )
    epoch, seq, period = (_whole(number, where) for number in raw[2:5])
    return UsageKey(raw[0], raw[1], Stamp(epoch, seq), period), _whole(raw[5], where, 1 - 2**53)


class UsageRecorder:
    """One life of a writer. What is gathered and not cut dies with it: at most what was used since the last cut."""

    def __init__(self, writer: str, epoch: int) -> None:
        self.writer, self.epoch, self._seq = writer, epoch, 0
        self._rows = dict[UsageKey, int]()
        self.unacknowledged = dict[
            tuple[int, int], UsageRecord
        ]()  # by epoch and number, not acknowledged yet
        self.dropped_units = 0  # micro-units that found no room

    def __repr__(self) -> str:
        return f"<UsageRecorder {self.writer}/{self.epoch}: {len(self._rows)} rows, {len(self.unacknowledged)} records wait>"

    def add_usage(self, key: UsageKey, units: int) -> None:
        """Add use (below 0: a settlement); where no more fits it is counted as lost, and said so."""
        if key not in self._rows and len(self._rows) >= MAX_ROWS:
            self.dropped_units += units
        else:
            self._rows[key] = self._rows.get(key, 0) + units

    @property
    def pending_units(self) -> int:
        """Micro-units that a crash now would lose where there is no disk: what was not cut."""
        return sum(self._rows.values())

    def cut_record(self) -> UsageRecord | None:
        """What was gathered as a record, to be stored before it is told; None for nothing, or no room."""
        rows = tuple(sorted((k, u) for k, u in self._rows.items() if u))
        if not rows or len(self.unacknowledged) >= MAX_UNACKNOWLEDGED_RECORDS:
            return None
        self._rows.clear()
        self._seq += 1
        record = self.unacknowledged[self.epoch, self._seq] = UsageRecord(
            self.writer, self.epoch, self._seq, rows
        )
        return record

    def restore_record(self, record: UsageRecord) -> None:
        """A record of an earlier life that was stored and not acknowledged."""
        if record.writer != self.writer or record.epoch >= self.epoch:
            raise UsageError(
                f"{record.idempotency_key}: expected {self.writer}, an epoch before {self.epoch}"
            )
        self.unacknowledged[record.epoch, record.seq] = record

    def acknowledge(self, epoch: int, seq: int) -> bool:
        """Whether that one was waiting; a second acknowledgement changes nothing."""
        return self.unacknowledged.pop((epoch, seq), None) is not None


class UsageLedger:
    """The other side: each record once, in any order; one of the same number with other content is put aside."""

    def __init__(self) -> None:
        self.totals = dict[UsageKey, int]()
        self._seen = dict[tuple[str, int], dict[int, str]]()  # digests by writer and epoch
        self.quarantined = list[UsageRecord]()

    def accept(self, record: UsageRecord) -> bool:
        """Whether it may be acknowledged: it was taken, now or before. False: it conflicts with one that was."""
        seen = self._seen.setdefault((record.writer, record.epoch), {})
        known = seen.get(record.seq)
        if known is not None:
            if known != record.digest:
                self.quarantined.append(record)
            return known == record.digest
        if len(seen) >= MAX_RECORDS_PER_EPOCH:
            raise UsageError(
                f"{record.idempotency_key}: expected at most {MAX_RECORDS_PER_EPOCH} records of an epoch"
            )
        seen[record.seq] = record.digest
        for key, units in record.rows:
            self.totals[key] = self.totals.get(key, 0) + units
        return True

    def contains(self, record: UsageRecord) -> bool:
        """Whether one of that number was taken."""
        return record.seq in self._seen.get((record.writer, record.epoch), {})

    def snapshot(self) -> Iterator[dict[str, Any]]:
        """All that was taken, in parts, for a store."""
        for (writer, epoch), seen in self._seen.items():
            for part in _parts(sorted(seen.items())):
                yield {"kind": "taken", "writer": writer, "epoch": epoch, "seen": [list(one) for one in part]}
        for rows in _parts(sorted(self.totals.items())):
            yield {"kind": "totals", "rows": [_row_json(*row) for row in rows]}

    def restore(self, part: dict[str, Any]) -> None:
        """A part of an earlier state."""
        if part["kind"] == "taken":
            seen = self._seen.setdefault((part["writer"], part["epoch"]), {})
            seen.update((number, digest) for number, digest in part["seen"])
            return
        for raw in part["rows"]:
            key, units = _row(raw, "totals")
            self.totals[key] = self.totals.get(key, 0) + units

    def missing_numbers(self, writer: str, epoch: int) -> list[int]:
        """Numbers below the highest that have not come."""
        seen = self._seen.get((writer, epoch), {})
        return [n for n in range(1, max(seen, default=0)) if n not in seen]
