"""The plan book: immutable plan versions and assignment histories, each entry with an effective instant.

A book is an immutable value. ``Book.with_change`` returns a new book that shares the unchanged parts with the old one
(hash array mapped tries, ``immutables``), so a request keeps the version that it was admitted under by holding a
reference. The same changes applied in any order give the same book: histories are sorted by effective instant, then by
the writer's stamp.

Instants are Unix time in whole milliseconds; rates are units per second. The module does no I/O and reads no clock.
"""

from __future__ import annotations

import math
from bisect import bisect_right, insort
from collections.abc import Iterator
from dataclasses import dataclass, field
from hashlib import blake2b
from typing import Any, TypeVar

from immutables import Map

MAX_NAME_LENGTH = 80  # characters in the name of a plan, account or author
MAX_REASON_LENGTH = 400  # characters
MAX_TERM_VALUE = 1e12  # units, or units per second


class BookError(ValueError):
    """A change is invalid for the book. The text names the key and the expected value."""


@dataclass(frozen=True, slots=True, order=True)
class Stamp:
    """Identifies a change: the writer's epoch, and a sequence number that has no gaps across all epochs."""

    epoch: int
    seq: int

    def __str__(self) -> str:
        return f"{self.epoch}.{self.seq}"


@dataclass(frozen=True, slots=True)
class Terms:
    """The limits of a plan.

    ``rate`` is in units per second and ``burst`` in units; the ceiling is a hard limit (0: none). ``worth`` is the
    value of a unit, ``cap`` the number of concurrent requests (0: unlimited).
    """

    rate: float
    burst: float
    ceiling_rate: float = 0.0
    ceiling_burst: float = 0.0
    worth: float = 1.0
    cap: int = 0

    def problems(self) -> Iterator[str]:
        """Yield a description of each invalid term: its key and the expected value."""
        for name in ("rate", "burst"):
            value = getattr(self, name)
            if not (math.isfinite(value) and 0 < value <= MAX_TERM_VALUE):
                yield f"{name}: expected a number above 0 and at most {MAX_TERM_VALUE:g}, got {value!r}"
        for name in ("ceiling_rate", "ceiling_burst", "worth"):
            value = getattr(self, name)
            if not (math.isfinite(value) and 0 <= value <= MAX_TERM_VALUE):
                yield f"{name}: expected a number from 0 to {MAX_TERM_VALUE:g}, got {value!r}"
        if (self.ceiling_rate > 0) != (self.ceiling_burst > 0):
            yield "ceiling_rate, ceiling_burst: expected both above 0, or both 0 for no ceiling"
        elif self.ceiling_rate and not (self.ceiling_rate >= self.rate and self.ceiling_burst >= self.burst):
            yield (
                f"ceiling: expected at least the quota ({self.rate:g} a second, {self.burst:g}), "
                f"got {self.ceiling_rate:g}, {self.ceiling_burst:g}"
            )
        if isinstance(self.cap, bool) or not isinstance(self.cap, int) or not 0 <= self.cap <= 1_000_000:
            yield f"cap: expected a whole number from 0 to 1000000, got {self.cap!r}"


@dataclass(frozen=True, slots=True)
class Version:
    """The terms of a plan from the instant ``effective`` on."""

    plan: str
    effective: int
    stamp: Stamp
    terms: Terms
    author: str = ""
    reason: str = ""

    @property
    def key(self) -> tuple[int, Stamp]:
        return self.effective, self.stamp

    def __str__(self) -> str:
        return f"{self.plan}@{self.stamp} from {self.effective}"


@dataclass(frozen=True, slots=True)
class Assignment:
    """The plan of an account from the instant ``effective`` on."""

    account: str
    effective: int
    stamp: Stamp
    plan: str
    author: str = ""
    reason: str = ""

    @property
    def key(self) -> tuple[int, Stamp]:
        return self.effective, self.stamp

    def __str__(self) -> str:
        return f"{self.account} on {self.plan}@{self.stamp} from {self.effective}"


@dataclass(frozen=True, slots=True)
class Withdrawal:
    """Cancels an assignment before it takes effect. The list of changes keeps both."""

    target: Stamp
    effective: int  # when the withdrawal was made
    stamp: Stamp
    author: str = ""
    reason: str = ""

    @property
    def key(self) -> tuple[int, Stamp]:
        return self.effective, self.stamp

    def __str__(self) -> str:
        return f"withdrawal of {self.target} by {self.stamp}"


Change = Version | Assignment | Withdrawal
ChangeT = TypeVar("ChangeT", Version, Assignment)


def as_json(change: Change) -> dict[str, Any]:
    """Return the change in the form that is stored and published."""
    stamp = [change.stamp.epoch, change.stamp.seq]
    common = {"effective": change.effective, "stamp": stamp, "author": change.author, "reason": change.reason}
    if isinstance(change, Withdrawal):
        return {"kind": "withdrawal", "target": [change.target.epoch, change.target.seq], **common}
    if isinstance(change, Assignment):
        return {"kind": "assignment", "account": change.account, "plan": change.plan, **common}
    # Whole numbers are written as floats too: the digest of a book that was read back must be the same.
    terms = {name: float(getattr(change.terms, name)) for name in Terms.__slots__} | {"cap": change.terms.cap}
    return {"kind": "version", "plan": change.plan, "terms": terms, **common}


def _parse_int(raw: Any, where: str) -> int:
    if isinstance(raw, bool) or not isinstance(raw, int) or not 0 <= raw < 2**53:
        raise BookError(f"{where}: expected a whole number from 0 to 2^53, got {raw!r:.60}")
    return int(raw)


def _parse_stamp(raw: Any, where: str) -> Stamp:
    if not isinstance(raw, list) or len(raw) != 2:
        raise BookError(f"{where}: expected [epoch, seq], got {raw!r:.60}")
    return Stamp(_parse_int(raw[0], where), _parse_int(raw[1], where))


def _parse_text(raw: Any, where: str, max_length: int = MAX_NAME_LENGTH, min_length: int = 1) -> str:
    if not isinstance(raw, str) or not min_length <= len(raw) <= max_length or not raw.isprintable():
        raise BookError(
            f"{where}: expected {min_length} to {max_length} printable characters, got {raw!r:.60}"
        )
    return raw


def _parse_number(raw: Any, where: str) -> float:
    if isinstance(raw, bool) or not isinstance(raw, int | float):
        raise BookError(f"{where}: expected a number, got {raw!r:.60}")
    return float(raw)


def parse_terms(raw: Any, where: str) -> Terms:
    """Parse terms from JSON or TOML. Raise ``BookError`` with the key and the expected value."""
    if not isinstance(raw, dict):
        raise BookError(f"{where}: expected a table of terms, got {raw!r:.60}")
    if extra := set(raw) - set(Terms.__slots__):
        raise BookError(f"{where}.{min(extra)}: unknown; expected {', '.join(Terms.__slots__)}")
    if missing := {"rate", "burst"} - set(raw):
        raise BookError(f"{where}.{min(missing)}: missing; expected a number above 0")
    numbers = {name: _parse_number(value, f"{where}.{name}") for name, value in raw.items() if name != "cap"}
    terms = Terms(**numbers, cap=raw.get("cap", 0))
    if (problem := next(terms.problems(), None)) is not None:
        raise BookError(f"{where}.{problem}")
    return terms


def parse_change(raw: Any, where: str) -> Change:
    """Parse and validate a change from JSON. Raise ``BookError``."""
    if not isinstance(raw, dict) or raw.get("kind") not in ("version", "assignment", "withdrawal"):
        raise BookError(f"{where}.kind: expected version, assignment or withdrawal")
    stamp = _parse_stamp(raw.get("stamp"), f"{where}.stamp")
    position = _parse_int(raw.get("effective"), f"{where}.effective"), stamp
    plan = "" if raw["kind"] == "withdrawal" else _parse_text(raw.get("plan"), f"{where}.plan")
    author = _parse_text(raw.get("author", ""), f"{where}.author", min_length=0)
    reason = _parse_text(raw.get("reason", ""), f"{where}.reason", MAX_REASON_LENGTH, 0)
    if raw["kind"] == "withdrawal":
        return Withdrawal(_parse_stamp(raw.get("target"), f"{where}.target"), *position, author, reason)
    if raw["kind"] == "version":
        return Version(plan, *position, parse_terms(raw.get("terms"), f"{where}.terms"), author, reason)
    return Assignment(_parse_text(raw.get("account"), f"{where}.account"), *position, plan, author, reason)


def _entry_at(history: tuple[ChangeT, ...], at: int) -> ChangeT | None:
    """Return the last entry that is effective at an instant, or None."""
    number = bisect_right(history, at, key=lambda entry: entry.effective)
    return history[number - 1] if number else None


def _insert(history: tuple[ChangeT, ...], entry: ChangeT) -> tuple[ChangeT, ...]:
    entries = list(history)
    insort(entries, entry, key=lambda other: other.key)
    return tuple(entries)


@dataclass(frozen=True)
class Book:
    """All plan versions and assignments of an installation. Books that hold the same changes are equal."""

    installation: str
    plans: Map[str, tuple[Version, ...]] = field(default_factory=Map)
    accounts: Map[str, tuple[Assignment, ...]] = field(default_factory=Map)
    changes_by_stamp: Map[Stamp, Change] = field(default_factory=Map)
    last_stamp: Stamp = Stamp(0, 0)  # of the newest change; 0.0 in a book without changes
    # Stamps of withdrawn assignments, each with the stamp of its withdrawal.
    withdrawals: Map[Stamp, Stamp] = field(default_factory=Map)

    def __repr__(self) -> str:
        return (
            f"<Book of {self.installation}: {len(self.plans)} plans, "
            f"{len(self.accounts)} accounts, {self.last_stamp}>"
        )

    def with_change(self, change: Change) -> Book:
        """Return a book that also holds ``change``, or this one where it already does.

        Raise ``BookError`` where the stamp belongs to a different change.
        """
        known = self.changes_by_stamp.get(change.stamp)
        if known == change:
            return self
        if known is not None:
            raise BookError(f"stamp {change.stamp}: {change}; the book has {known} under it")
        plans, accounts, withdrawn = self.plans, self.accounts, self.withdrawals
        if isinstance(change, Version):
            plans = plans.set(change.plan, _insert(plans.get(change.plan, ()), change))
        elif isinstance(change, Withdrawal):
            first = min(change.stamp, withdrawn.get(change.target, change.stamp))
            withdrawn = withdrawn.set(change.target, first)
            if isinstance(target := self.changes_by_stamp.get(change.target), Assignment):
                remaining = tuple(
                    entry for entry in accounts.get(target.account, ()) if entry.stamp != target.stamp
                )
                accounts = accounts.set(target.account, remaining)
        elif change.stamp not in withdrawn:
            accounts = accounts.set(change.account, _insert(accounts.get(change.account, ()), change))
        elif change.account not in accounts:
            accounts = accounts.set(change.account, ())
        stamps = self.changes_by_stamp.set(change.stamp, change)
        return Book(self.installation, plans, accounts, stamps, max(self.last_stamp, change.stamp), withdrawn)

    def version_at(self, plan: str, at: int) -> Version | None:
        """Return the version of a plan in force at an instant, or None."""
        return _entry_at(self.plans.get(plan, ()), at)

    def assignment_at(self, account: str, at: int) -> Assignment | None:
        return _entry_at(self.accounts.get(account, ()), at)

    def binding_version(self, account: str, at: int, fallback: str = "") -> Version | None:
        """Return the version that limits an account at an instant.

        An account without an assignment is limited by the plan ``fallback``, the one that its request names.
        """
        assigned = self.assignment_at(account, at)
        return self.version_at(assigned.plan if assigned else fallback, at)

    def change_instants(self, account: str, after: int, until: int) -> list[int]:
        """Return, in order, the instants after ``after`` and up to ``until`` at which the terms of an account changed.

        The list is empty where its plan has not changed.
        """
        history = self.accounts.get(account, ())
        if not history or history[-1].effective <= after:
            return []
        reassigned = {entry.effective for entry in history if after < entry.effective <= until}
        if not reassigned:
            return []
        plans = {entry.plan for entry in history if entry.effective <= until}
        versions = (v.effective for plan in plans for v in self.plans.get(plan, ()))
        return sorted(reassigned | {at for at in versions if after < at <= until})

    def lowest_ceiling(self, at: int) -> tuple[float, float]:
        """Return the lowest ceiling rate and burst of the versions in force or still to come; (0, 0) for none."""
        found = [v.terms for history in self.plans.values() for v in history if v.effective >= at]
        found += [v.terms for plan in self.plans if (v := self.version_at(plan, at)) is not None]
        limits = [(t.ceiling_rate, t.ceiling_burst) for t in found if t.ceiling_rate > 0]
        return (min(r for r, _ in limits), min(b for _, b in limits)) if limits else (0.0, 0.0)

    def changes(self) -> list[Change]:
        """Return all changes, ordered by stamp."""
        return [self.changes_by_stamp[stamp] for stamp in sorted(self.changes_by_stamp)]

    def digest(self) -> str:
        """Return 16 hex digits that are equal for books of one installation with the same changes."""
        parts = (repr((str(change.stamp), as_json(change))) for change in self.changes())
        return blake2b("\n".join((self.installation, *parts)).encode(), digest_size=8).hexdigest()


def check_new_change(book: Book, change: Change, now: int) -> None:
    """Check at the writer whether a new change may be added. Raise ``BookError`` with the reason."""
    if change.effective < now:
        raise BookError(
            f"effective: expected an instant from {now} on, got {change.effective}, which is past"
        )
    if change.stamp <= book.last_stamp:
        raise BookError(f"stamp: expected one above {book.last_stamp}, got {change.stamp}")
    if isinstance(change, Withdrawal):
        target = book.changes_by_stamp.get(change.target)
        if not isinstance(target, Assignment) or change.target in book.withdrawals or target.effective <= now:
            raise BookError(f"target: expected an assignment to come after {now}, got {target}")
        return
    if isinstance(change, Version):
        if (problem := next(change.terms.problems(), None)) is not None:
            raise BookError(f"terms.{problem}")
        history: tuple[Change, ...] = book.plans.get(change.plan, ())
    else:
        if book.version_at(change.plan, change.effective) is None:
            known = ", ".join(sorted(book.plans)) or "none yet"
            raise BookError(
                f"plan: {change.plan!r} is in force at no time before then; expected one of {known}"
            )
        history = book.accounts.get(change.account, ())
    if any(entry.effective == change.effective for entry in history):
        raise BookError(
            f"effective: {change.effective} is taken by another change of the same; expected another"
        )
