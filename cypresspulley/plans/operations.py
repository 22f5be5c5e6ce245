"""The operations that operators may request of a plan writer, as plain objects.

The command line and the writer's HTTP server accept the same operations. ``apply_operation`` validates an operation,
applies it and returns the result; a refused operation changes nothing.
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
    """An operation is malformed. The text names the key and the expected value."""


@dataclass(frozen=True, slots=True)
class _OperationFields:
    """The fields of an operation. Each accessor validates the value and raises ``OperationError``."""

    values: dict[str, Any]

    def text(self, name: str, default: str | None = None) -> str:
        value = self.values.get(name, default)
        if not isinstance(value, str) or (not value and default is None):
            raise OperationError(f"{name}: expected a text, got {value!r:.60}")
        return value

    def instant(self, name: str, now: int, default: int | None = None) -> int:
        """Return an instant in Unix milliseconds; the text ``+SECONDS`` is relative to ``now``."""
        value = self.values.get(name, default)
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
        value = self.values.get(name)
        if (
            isinstance(value, bool)
            or not isinstance(value, int | float)
            or not 0 < value <= books.MAX_TERM_VALUE
        ):
            raise OperationError(f"{name}: expected a number above 0, got {value!r:.60}")
        return float(value)


def apply_operation(plan_writer: PlanWriter, raw: Any, now: int) -> dict[str, Any]:
    """Apply an operation and return its result.

    Raise ``BookError``, ``ReservationError``, ``UsageError`` or ``OperationError`` with the reason where it is
    refused; nothing has changed then.
    """
    if not isinstance(raw, dict) or raw.get("wish") not in OPERATION_KEYS:
        raise OperationError(f"wish: expected one of {', '.join(OPERATION_KEYS)}")
    kind = raw["wish"]
    if extra := set(raw) - OPERATION_KEYS[kind] - COMMON_KEYS:
        raise OperationError(
            f"{min(extra)}: unknown; expected {', '.join(sorted(OPERATION_KEYS[kind] | COMMON_KEYS))}"
        )
    fields = _OperationFields(raw)
    author, dry = fields.text("author"), raw.get("dry_run", False) is True
    if kind in ("change", "assign"):
        result = _apply_change(plan_writer, kind, fields, author, now, dry)
    elif kind == "reserve":
        result = _apply_reservation(plan_writer, fields, now, dry)
    elif kind == "use":
        record = parse_usage_record(raw.get("record"))
        return {"acknowledged": plan_writer.accept_usage(record), "key": record.idempotency_key}
    else:
        result = reservation_as_json(plan_writer.release(fields.text("key"), now))
    if not dry:
        log.info("plans: %s by %s: %s (%s)", kind, author, result, fields.text("reason", ""))
    return {"wish": kind, "dry_run": dry, **result}


def _apply_change(
    plan_writer: PlanWriter, kind: str, fields: _OperationFields, author: str, now: int, dry: bool
) -> dict[str, Any]:
    effective, reason = fields.instant("effective", now, now + LEASE_MS), fields.text("reason", "")
    change: Change
    if kind == "change":
        terms = books.parse_terms(fields.values.get("terms"), "terms")
        change = plan_writer.set_terms(fields.text("plan"), terms, effective, now, author, reason, dry=True)
    else:
        account_and_plan = fields.text("account"), fields.text("plan")
        change = plan_writer.assign_plan(*account_and_plan, effective, now, author, reason, dry=True)
    overshoots = plan_writer.find_ceiling_overshoots(change, now)
    if not dry:
        plan_writer.write_change(change, now)
    return {"change": books.as_json(change), "passed_by": overshoots}


def _apply_reservation(
    plan_writer: PlanWriter, fields: _OperationFields, now: int, dry: bool
) -> dict[str, Any]:
    request = ReservationRequest(
        fields.text("key"), fields.text("account"), fields.instant("start", now), fields.instant("end", now),
        round(fields.number("units") * MICRO_PER_UNIT), fields.text("purpose", ""),
    )  # fmt: skip
    return reservation_as_json(plan_writer.reserve(request, now, fields.number("fleet_rate"), dry))


def reservation_as_json(reservation: Reservation) -> dict[str, Any]:
    """Return a reservation for people and programs, with amounts in units instead of micro-units."""
    request = reservation.request
    return {
        "key": request.key, "account": request.account, "start": request.start, "end": request.end,
        "purpose": request.purpose, "at": reservation.state.value,
        "units": request.units / MICRO_PER_UNIT, "drawn": reservation.drawn / MICRO_PER_UNIT,
        "given_back": reservation.given_back / MICRO_PER_UNIT,
    }  # fmt: skip


def find_added_changes(old: Book, new: Book) -> list[Change]:
    """Return the changes that only the second book has, by stamp."""
    return [change for change in new.changes() if change.stamp not in old.changes_by_stamp]


def _subject_of(book: Book, change: Change) -> str:
    """Return the name of the account or plan that a change concerns."""
    if isinstance(change, Withdrawal):
        target = book.changes_by_stamp.get(change.target)
        return "" if target is None else _subject_of(book, target)
    return change.plan if isinstance(change, Version) else change.account


def find_history(book: Book, name: str) -> list[Change]:
    """Return all changes of an account or a plan, by effective instant. Raise ``BookError`` for an unknown name."""
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
