"""The plan book: immutable versions of plans and histories of assignments, each with an instant. No I/O, no clock.

A book is a value. ``Book.with_change`` gives a new one that shares all but what changed with the old (hash array mapped
tries, ``immutables``), so that a request keeps the version that it was admitted under by keeping a reference. The same
changes in any order give the same book: a history is sorted by effective instant, then by the writer's stamp.

Instants are Unix time in whole milliseconds; rates are units a second.
"""

from __future__ import annotations

import math
from bisect import bisect_right, insort
from collections.abc import Iterator
from dataclasses import dataclass, field
from hashlib import blake2b
from typing import Any, TypeVar

from immutables import Map

MAX_NAME_LENGTH = 80  # characters of a plan's, account's or author's name
MAX_REASON_LENGTH = 400  # of a reason
MAX_TERM_VALUE = 1e12


class BookError(ValueError):
    """What a book cannot take; the text names the place and what was expected."""


@dataclass(frozen=True, slots=True, order=True)
class Stamp:
    """Who wrote a change, and in which order: a writer's epoch, and a number without gaps within it."""

    epoch: int
    seq: int

    def __str__(self) -> str:
        return f"{self.epoch}.{self.seq}"


@dataclass(frozen=True, slots=True)
class Terms:
    """What a plan gives: ``rate`` units a second with a store of ``burst``, a hard ceiling (0: none), ``worth`` a unit,
    and at most ``cap`` requests out at once (0: no cap)."""

    rate: float
    burst: float
    ceiling_rate: float = 0.0
    ceiling_burst: float = 0.0
    worth: float = 1.0
    cap: int = 0

    def problems(self) -> Iterator[str]:
        """What is wrong with it: key and expectation."""
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
    """A plan's terms from an instant on."""

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
    """An account's plan from an instant on."""

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
    """An assignment that is not to come into force after all; the history keeps both."""

    target: Stamp
    effective: int  # when it was said
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
    """A change as it is stored and published."""
    stamp = [change.stamp.epoch, change.stamp.seq]
    told = {"effective": change.effective, "stamp": stamp, "author": change.author, "reason": change.reason}
    if isinstance(change, Withdrawal):
        return {"kind": "withdrawal", "target": [change.target.epoch, change.target.seq], **told}
    if isinstance(change, Assignment):
        return {"kind": "assignment", "account": change.account, "plan": change.plan, **told}
    # Figures as floats, whole ones too: a book must read back what it wrote, to the digest.
    terms = {name: float(getattr(change.terms, name)) for name in Terms.__slots__} | {"cap": change.terms.cap}
    return {"kind": "version", "plan": change.plan, "terms": terms, **told}


def _whole(raw: Any, where: str) -> int:
    if isinstance(raw, bool) or not isinstance(raw, int) or not 0 <= raw < 2**53:
        raise BookError(f"{where}: expected a whole number from 0 to 2^53, got {raw!r:.60}")
    return int(raw)


def _stamp(raw: Any, where: str) -> Stamp:
    if not isinstance(raw, list) or len(raw) != 2:
        raise BookError(f"{where}: expected [epoch, seq], got {raw!r:.60}")
    return Stamp(_whole(raw[0], where), _whole(raw[1], where))


def _text(raw: Any, where: str, most: int = MAX_NAME_LENGTH, least: int = 1) -> str:
    if not isinstance(raw, str) or not least <= len(raw) <= most or not raw.isprintable():
        raise BookError(f"{where}: expected {least} to {most} printable characters, got {raw!r:.60}")
    return raw


def _number(raw: Any, where: str) -> float:
    if isinstance(raw, bool) or not isinstance(raw, int | float):
        raise BookError(f"{where}: expected a number, got {raw!r:.60}")
    return float(raw)


def parse_terms(raw: Any, where: str) -> Terms:
    """Terms from JSON or TOML; ``BookError`` names the key and what was expected."""
    if not isinstance(raw, dict):
        raise BookError(f"{where}: expected a table of terms, got {raw!r:.60}")
    if extra := set(raw) - set(Terms.__slots__):
        raise BookError(f"{where}.{min(extra)}: unknown; expected {', '.join(Terms.__slots__)}")
    if missing := {"rate", "burst"} - set(raw):
        raise BookError(f"{where}.{min(missing)}: missing; expected a number above 0")
    figures = {name: _number(value, f"{where}.{name}") for name, value in raw.items() if name != "cap"}
    terms = Terms(**figures, cap=raw.get("cap", 0))
    if (problem := next(terms.problems(), None)) is not None:
        raise BookError(f"{where}.{problem}")
    return terms


def parse_change(raw: Any, where: str) -> Change:
    """A change from JSON, checked whole."""
    if not isinstance(raw, dict) or raw.get("kind") not in ("version", "assignment", "withdrawal"):
        raise BookError(f"{where}.kind: expected version, assignment or withdrawal")
    stamp = _stamp(raw.get("stamp"), f"{where}.stamp")
    told = _whole(raw.get("effective"), f"{where}.effective"), stamp
    plan = "" if raw["kind"] == "withdrawal" else _text(raw.get("plan"), f"{where}.plan")
    author = _text(raw.get("author", ""), f"{where}.author", least=0)
    reason = _text(raw.get("reason", ""), f"{where}.reason", MAX_REASON_LENGTH, 0)
    if raw["kind"] == "withdrawal":
        return Withdrawal(_stamp(raw.get("target"), f"{where}.target"), *told, author, reason)
    if raw["kind"] == "version":
        return Version(plan, *told, parse_terms(raw.get("terms"), f"{where}.terms"), author, reason)
    return Assignment(_text(raw.get("account"), f"{where}.account"), *told, plan, author, reason)


def _in_force(history: tuple[ChangeT, ...], at: int) -> ChangeT | None:
    """The last one whose instant has come."""
    number = bisect_right(history, at, key=lambda one: one.effective)
    return history[number - 1] if number else None


def _with(history: tuple[ChangeT, ...], one: ChangeT) -> tuple[ChangeT, ...]:
    whole = list(history)
    insort(whole, one, key=lambda each: each.key)
    return tuple(whole)


@dataclass(frozen=True)
class Book:
    """All versions and assignments that were ever taken. Equal where the same changes were taken."""

    installation: str
    plans: Map[str, tuple[Version, ...]] = field(default_factory=Map)
    accounts: Map[str, tuple[Assignment, ...]] = field(default_factory=Map)
    changes_by_stamp: Map[Stamp, Change] = field(default_factory=Map)
    last_stamp: Stamp = Stamp(0, 0)  # the newest; 0.0 in a book without changes
    withdrawals: Map[Stamp, Stamp] = field(
        default_factory=Map
    )  # assignments that do not hold, by what withdrew them

    def __repr__(self) -> str:
        return f"<Book of {self.installation}: {len(self.plans)} plans, {len(self.accounts)} accounts, {self.last_stamp}>"

    def with_change(self, change: Change) -> Book:
        """A book that holds the change as well; itself where it does. ``BookError`` for another one of that stamp."""
        known = self.changes_by_stamp.get(change.stamp)
        if known == change:
            return self
        if known is not None:
            raise BookError(f"stamp {change.stamp}: {change}; the book has {known} under it")
        plans, accounts, withdrawn = self.plans, self.accounts, self.withdrawals
        if isinstance(change, Version):
            plans = plans.set(change.plan, _with(plans.get(change.plan, ()), change))
        elif isinstance(change, Withdrawal):
            first = min(change.stamp, withdrawn.get(change.target, change.stamp))
            withdrawn = withdrawn.set(change.target, first)
            if isinstance(target := self.changes_by_stamp.get(change.target), Assignment):
                left = tuple(one for one in accounts.get(target.account, ()) if one.stamp != target.stamp)
                accounts = accounts.set(target.account, left)
        elif change.stamp not in withdrawn:
            accounts = accounts.set(change.account, _with(accounts.get(change.account, ()), change))
        elif change.account not in accounts:
            accounts = accounts.set(change.account, ())
        stamps = self.changes_by_stamp.set(change.stamp, change)
        return Book(self.installation, plans, accounts, stamps, max(self.last_stamp, change.stamp), withdrawn)

    def version_at(self, plan: str, at: int) -> Version | None:
        """The version of a plan in force at an instant."""
        return _in_force(self.plans.get(plan, ()), at)

    def assignment_at(self, account: str, at: int) -> Assignment | None:
        return _in_force(self.accounts.get(account, ()), at)

    def binding_version(self, account: str, at: int, fallback: str = "") -> Version | None:
        """What binds a request of an account: by its assignment, or by ``fallback``, the plan that it came under."""
        assigned = self.assignment_at(account, at)
        return self.version_at(assigned.plan if assigned else fallback, at)

    def change_instants(self, account: str, after: int, until: int) -> list[int]:
        """When other terms came to bind an account, later than one instant and up to another, in order; empty where
        its plan has not changed."""
        history = self.accounts.get(account, ())
        if not history or history[-1].effective <= after:
            return []
        moves = {one.effective for one in history if after < one.effective <= until}
        if not moves:
            return []
        plans = {one.plan for one in history if one.effective <= until}
        versions = (v.effective for plan in plans for v in self.plans.get(plan, ()))
        return sorted(moves | {at for at in versions if after < at <= until})

    def lowest_ceiling(self, at: int) -> tuple[float, float]:
        """The lowest ceiling's rate and burst of all plans, by versions now and to come; (0, 0) where none has one."""
        found = [v.terms for history in self.plans.values() for v in history if v.effective >= at]
        found += [v.terms for plan in self.plans if (v := self.version_at(plan, at)) is not None]
        limits = [(t.ceiling_rate, t.ceiling_burst) for t in found if t.ceiling_rate > 0]
        return (min(r for r, _ in limits), min(b for _, b in limits)) if limits else (0.0, 0.0)

    def changes(self) -> list[Change]:
        """All changes, by stamp."""
        return [self.changes_by_stamp[stamp] for stamp in sorted(self.changes_by_stamp)]

    def digest(self) -> str:
        """16 hex digits: alike for books of one installation that took the same changes, in whatever order."""
        parts = (repr((str(change.stamp), as_json(change))) for change in self.changes())
        return blake2b("\n".join((self.installation, *parts)).encode(), digest_size=8).hexdigest()


def check_new_change(book: Book, change: Change, now: int) -> None:
    """What only the writer can tell: whether a new change may be taken. ``BookError`` says why not."""
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
    if any(one.effective == change.effective for one in history):
        raise BookError(
            f"effective: {change.effective} is taken by another change of the same; expected another"
        )
