"""What operators may ask of an office, as plain objects: the command line and the writer's HTTP side speak the same.

``carry_out`` checks a wish whole, does it, and tells what was done; nothing is changed by a wish that is refused.
"""

from __future__ import annotations

import logging
from dataclasses import dataclass
from typing import Any

from cypresspulley.plans import book as books
from cypresspulley.plans.book import Book, BookError, Change, Version, Withdrawal
from cypresspulley.plans.lease import LEASE_MS
from cypresspulley.plans.plan_writer import PlanWriter
from cypresspulley.plans.reservations import MICRO_PER_UNIT, Reservation, ReservationError, ReservationRequest
from cypresspulley.plans.usage import parse_usage_record

log = logging.getLogger(__name__)

OPERATION_KEYS = {
    "change": {"plan", "terms", "effective"},
    "assign": {"account", "plan", "effective"},
    "reserve": {"key", "account", "start", "end", "units", "purpose", "fleet_rate"},
    "release": {"key"},
    "use": {"record"},
}
COMMON_KEYS = {"wish", "author", "reason", "dry_run"}


class OperationError(ValueError):
    """A wish that cannot be read; the text names the key and what was expected."""


@dataclass(frozen=True, slots=True)
class _OperationFields:
    """A wish's keys, each read with a check."""

    keys: dict[str, Any]

    def text(self, name: str, default: str | None = None) -> str:
        value = self.keys.get(name, default)
        if not isinstance(value, str) or (not value and default is None):
            raise OperationError(f"{name}: expected a text, got {value!r:.60}")
        return value

    def instant(self, name: str, now: int, default: int | None = None) -> int:
        """Unix milliseconds; a text ``+SECONDS`` counts from now."""
        value = self.keys.get(name, default)
        if isinstance(value, str) and value.startswith("+"):
            try:
                ahead = float(value[1:])
            except ValueError:
                ahead = float("nan")
            if not 0 <= ahead < 1e9:
                raise OperationError(f"{name}: expected +SECONDS, got {value!r:.60}")
            return now + round(ahead * 1000)
        if isinstance(value, bool) or not isinstance(value, int) or not 0 <= value < 2**53:
            raise OperationError(f"{name}: expected Unix milliseconds or +SECONDS, got {value!r:.60}")
        return value

    def number(self, name: str) -> float:
        value = self.keys.get(name)
        if (
            isinstance(value, bool)
            or not isinstance(value, int | float)
            or not 0 < value <= books.MAX_TERM_VALUE
        ):
            raise OperationError(f"{name}: expected a number above 0, got {value!r:.60}")
        return float(value)


def apply_operation(plan_writer: PlanWriter, raw: Any, now: int) -> dict[str, Any]:
    """Do it; ``BookError``, ``ReservationError`` or ``WishError`` say why not, and nothing has changed then."""
    if not isinstance(raw, dict) or raw.get("wish") not in OPERATION_KEYS:
        raise OperationError(f"wish: expected one of {', '.join(OPERATION_KEYS)}")
    kind = raw["wish"]
    if extra := set(raw) - OPERATION_KEYS[kind] - COMMON_KEYS:
        raise OperationError(
            f"{min(extra)}: unknown; expected {', '.join(sorted(OPERATION_KEYS[kind] | COMMON_KEYS))}"
        )
    keys = _OperationFields(raw)
    author, dry = keys.text("author"), raw.get("dry_run", False) is True
    if kind in ("change", "assign"):
        done = _change(plan_writer, kind, keys, author, now, dry)
    elif kind == "reserve":
        done = _reserve(plan_writer, keys, now, dry)
    elif kind == "use":
        record = parse_usage_record(raw.get("record"))
        return {"acknowledged": plan_writer.accept_usage(record), "key": record.idempotency_key}
    else:
        done = reservation_as_json(plan_writer.release(keys.text("key"), now))
    if not dry:
        log.info("plans: %s by %s: %s (%s)", kind, author, done, keys.text("reason", ""))
    return {"wish": kind, "dry_run": dry, **done}


def _change(
    plan_writer: PlanWriter, kind: str, keys: _OperationFields, author: str, now: int, dry: bool
) -> dict[str, Any]:
    effective, reason = keys.instant("effective", now, now + LEASE_MS), keys.text("reason", "")
    change: Change
    if kind == "change":
        terms = books.parse_terms(keys.keys.get("terms"), "terms")
        change = plan_writer.set_terms(keys.text("plan"), terms, effective, now, author, reason, dry=True)
    else:
        told = keys.text("account"), keys.text("plan")
        change = plan_writer.assign_plan(*told, effective, now, author, reason, dry=True)
    passed = plan_writer.find_ceiling_overshoots(change, now)
    if not dry:
        plan_writer.write_change(change, now)
    return {"change": books.as_json(change), "passed_by": passed}


def _reserve(plan_writer: PlanWriter, keys: _OperationFields, now: int, dry: bool) -> dict[str, Any]:
    wish = ReservationRequest(
        keys.text("key"), keys.text("account"), keys.instant("start", now), keys.instant("end", now),
        round(keys.number("units") * MICRO_PER_UNIT), keys.text("purpose", ""),
    )  # fmt: skip
    return reservation_as_json(plan_writer.reserve(wish, now, keys.number("fleet_rate"), dry))


def reservation_as_json(one: Reservation) -> dict[str, Any]:
    """A reservation for people and programs: units as numbers."""
    w = one.request
    return {
        "key": w.key, "account": w.account, "start": w.start, "end": w.end, "purpose": w.purpose, "at": one.state.value,
        "units": w.units / MICRO_PER_UNIT, "drawn": one.drawn / MICRO_PER_UNIT, "given_back": one.given_back / MICRO_PER_UNIT,
    }  # fmt: skip


def find_added_changes(old: Book, new: Book) -> list[Change]:
    """Changes that only the second one has, by stamp."""
    return [change for change in new.changes() if change.stamp not in old.changes_by_stamp]


def _subject_of(book: Book, change: Change) -> str:
    """The account or plan that a change is of."""
    if isinstance(change, Withdrawal):
        target = book.changes_by_stamp.get(change.target)
        return "" if target is None else _subject_of(book, target)
    return change.plan if isinstance(change, Version) else change.account


def find_history(book: Book, name: str) -> list[Change]:
    """All that ever was said of an account, or of a plan, by instant."""
    found = [change for change in book.changes() if _subject_of(book, change) == name]
    if not found:
        raise BookError(f"{name!r}: neither an account nor a plan of {book.installation}")
    return sorted(found, key=lambda change: change.key)


__all__ = [
    "OperationError",
    "ReservationError",
    "apply_operation",
    "find_added_changes",
    "find_history",
    "reservation_as_json",
]
