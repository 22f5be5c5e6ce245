"""The writer: book, reservations and unexported use over one store. Each change is safe before it is in force.

A start opens a new epoch, stored before anything is written under it. What was stored is all that is known: the office
is the sum of its records, so that a start after any crash is the office as it was acknowledged, and at most what was
written and not yet acknowledged besides.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import replace

from cypresspulley.plans import book as books
from cypresspulley.plans.book import (
    Assignment,
    Book,
    BookError,
    Change,
    ChangeT,
    Stamp,
    Terms,
    Version,
    Withdrawal,
    check_new_change,
)  # fmt: skip
from cypresspulley.plans.bucket_level import max_ceiling_overshoot
from cypresspulley.plans.lease import LEASE_MS
from cypresspulley.plans.reservation_plans import (
    NAME_SEPARATOR,
    drawn_units,
    reservation_plan_name,
    reservation_plan_terms,
)
from cypresspulley.plans.reservations import (
    MICRO_PER_UNIT,
    TERMINAL_STATES,
    Capacity,
    Reservation,
    ReservationRequest,
    Reservations,
    ReservationState,
)
from cypresspulley.plans.store import Record, Store, StoreError
from cypresspulley.plans.usage import UsageLedger, UsageRecord, parse_usage_record

FLEET_DRAW_KEY = "limiters"  # what stands for all their draws while a reservation is drawn on
SETTLE_DELAY_MS = 15_000  # milliseconds in which limiters end what they have in hand under the event's plan, and tell their use


class PlanWriter:
    """One installation's plans. ``now`` is Unix time in milliseconds, from whoever calls."""

    def __init__(self, store: Store, installation: str = "", new_epoch: bool = True) -> None:
        self._store = store
        self.book, self.epoch = Book(installation), 0
        self.reservations, self.usage_ledger = Reservations(), UsageLedger()
        self.changes = list[Change]()  # by number: the one of number n stands at n - 1
        for number, record in enumerate(store.records):
            self._replay(record, f"record {number}")
        if not self.book.installation:
            raise StoreError("installation: expected a name for a new store")
        if new_epoch:
            self.epoch += 1
            self._store.add({"kind": "epoch", "epoch": self.epoch, "installation": self.book.installation})
            self._store.commit()

    def __repr__(self) -> str:
        return f"<PlanWriter epoch {self.epoch}, {self.book!r}, {len(self.reservations.by_key)} reservations>"

    # Reading what is there.

    def _replay(self, record: Record, where: str) -> None:
        kind = record.get("kind")
        if kind == "epoch":
            if self.book.installation not in ("", record["installation"]):
                raise StoreError(
                    f"{where}: of {record['installation']!r}; expected {self.book.installation!r}"
                )
            self.epoch = max(self.epoch, record["epoch"])
            self.book = replace(self.book, installation=record["installation"])
        elif kind in ("version", "assignment", "withdrawal"):
            change = books.parse_change(record, where)
            if change.stamp.seq != len(self.changes) + 1:
                raise StoreError(f"{where}: number {change.stamp.seq}; expected {len(self.changes) + 1}")
            self._apply_change(self.book.with_change(change), change)
        elif kind == "use":
            use = parse_usage_record(record, where)
            self._record_corrections(use)
            self.usage_ledger.accept(use)
        elif kind in ("taken", "totals"):
            self.usage_ledger.restore(record)
        elif kind == "reservation":
            self._replay_reservation(record)
        elif kind != "whole":
            raise StoreError(f"{where}.kind: unknown: {kind!r:.60}")

    def _apply_change(self, book: Book, change: Change) -> None:
        self.book = book
        self.changes.append(change)

    def _replay_reservation(self, record: Record) -> None:
        request = ReservationRequest(**record["wish"])
        one = Reservation(request, ReservationState(record["at"]), record["drawn"], {}, record["given_back"])
        one.corrections, one.window_ended = record["corrections"], record["past"]
        one.plan, one.draining_since = record["plan"], record["since"]
        if one.state in (ReservationState.ACTIVE, ReservationState.DRAINING):
            one.in_flight[FLEET_DRAW_KEY] = 0
        self.reservations.by_key[request.key] = one

    def _records(self) -> Iterator[Record]:
        """All that is known, for a new generation."""
        yield {"kind": "epoch", "epoch": self.epoch, "installation": self.book.installation}
        yield from map(books.as_json, self.changes)
        yield from map(_reservation_record, self.reservations.by_key.values())
        yield from self.usage_ledger.snapshot()

    def compact(self) -> None:
        self._store.compact(self._records())

    def _commit(self, *records: Record) -> None:
        for record in records:
            self._store.add(record)
        self._store.commit()
        if self._store.needs_compaction:
            self.compact()

    # Changes.

    @property
    def _next_stamp(self) -> Stamp:
        return Stamp(self.epoch, self.book.last_stamp.seq + 1)

    def set_terms(
        self, plan: str, terms: Terms, effective: int, now: int, author: str, reason: str = "", dry: bool = False
    ) -> Version:  # fmt: skip
        """A plan's terms from an instant on."""
        return self._write(Version(plan, effective, self._next_stamp, terms, author, reason), now, dry)

    def assign_plan(
        self, account: str, plan: str, effective: int, now: int, author: str, reason: str = "", dry: bool = False
    ) -> Assignment:  # fmt: skip
        """An account's plan from an instant on."""
        return self._write(Assignment(account, effective, self._next_stamp, plan, author, reason), now, dry)

    def _write(self, change: ChangeT, now: int, dry: bool) -> ChangeT:
        if dry:
            self._check_change(change, now)
        else:
            self.write_change(change, now)
        return change

    def _check_change(self, change: Change, now: int) -> Book:
        books.parse_change(books.as_json(change), "change")  # what a start could not read must not be stored
        check_new_change(self.book, change, now)
        if isinstance(change, Assignment):
            for one in self.reservations.by_key.values():
                held = (
                    one.state in (ReservationState.HELD, ReservationState.ACTIVE)
                    and one.request.account == change.account
                )
                if held and one.request.start <= change.effective < one.request.end:
                    raise BookError(
                        f"account: {change.account} has reservation {one.request.key} then; release it first"
                    )
        return self.book.with_change(change)

    def write_change(self, change: Change, now: int) -> None:
        """A new change: checked, stored, then in the book."""
        book = self._check_change(change, now)
        self._commit(books.as_json(change))
        self._apply_change(book, change)

    def find_ceiling_overshoots(self, change: Change, now: int) -> dict[str, float]:
        """Accounts whose ceiling the change lowers, and by how many units it may be passed: those that the last limiter
        to hear admits. Nothing where the change was announced a lease ahead."""
        late = max(0.0, (LEASE_MS - (change.effective - now)) / 1000)
        accounts = list[str]()
        new: Version | None = None
        if isinstance(change, Assignment):
            accounts = [change.account]
            new = self.book.version_at(change.plan, change.effective)
        elif isinstance(change, Version):
            held = ((a, self.book.assignment_at(a, change.effective)) for a in self.book.accounts)
            accounts = [a for a, on in held if on is not None and on.plan == change.plan]
            new = change
        found = dict[str, float]()
        for account in accounts:
            old = self.book.binding_version(account, change.effective - 1)
            if old is None or new is None or old.terms.ceiling_rate <= 0 or new.terms.ceiling_rate <= 0:
                continue
            by = max_ceiling_overshoot(
                (old.terms.ceiling_rate, old.terms.ceiling_burst),
                (new.terms.ceiling_rate, new.terms.ceiling_burst),
                late,
            )
            if by > 0:
                found[account] = by
        return found

    # Use.

    def accept_usage(self, record: UsageRecord) -> bool:
        """Whether a limiter's record may be acknowledged: it is stored, now or before."""
        if self.usage_ledger.contains(record):
            return self.usage_ledger.accept(record)
        self._commit(record.as_json())
        self._record_corrections(record)
        return self.usage_ledger.accept(record)

    # Reservations.

    def capacity_for(self, account: str, at: int, fleet_rate: float) -> Capacity:
        """What the fleet (units a second that may be set aside) and the account's plan can hold."""
        found = self.book.binding_version(account, at)
        if found is None:
            raise BookError(f"account: {account!r} has no plan at {at}; expected one that is assigned")
        terms = found.terms
        return Capacity(
            int(fleet_rate * MICRO_PER_UNIT),
            int(terms.ceiling_rate * MICRO_PER_UNIT),
            int(terms.ceiling_burst * MICRO_PER_UNIT),
        )

    def reserve(
        self, request: ReservationRequest, now: int, fleet_rate: float, dry: bool = False
    ) -> Reservation:
        """Set aside, or refuse; stored before it is said, with the event's plan that limiters go by."""
        if request.end <= now:
            raise BookError(f"end: expected an instant after {now}, got {request.end}, which is past")
        capacity = self.capacity_for(request.account, request.start, fleet_rate)
        if request.key in self.reservations.by_key:
            return self.reservations.reserve(request, capacity)
        try:
            one = self.reservations.reserve(request, capacity)
            changes = self._changes_for_reservation(one, now) if one.state is ReservationState.HELD else []
            self._store_reservation(one, changes, dry)
        except (OSError, BookError):
            self.reservations.by_key.pop(request.key, None)
            raise
        if dry:
            del self.reservations.by_key[request.key]
        return one

    def _changes_for_reservation(self, one: Reservation, now: int) -> list[Change]:
        """The event's plan, the account's way to it at the window's begin, and back at its end."""
        request = one.request
        start = max(request.start, now)
        base = self.book.binding_version(request.account, start)
        assert base is not None  # there is room by its terms
        if any(
            self._overlaps(request, other) for other in self.reservations.by_key.values() if other is not one
        ):
            raise BookError(
                f"start, end: {request.account} has another reservation then; expected one at a time"
            )
        one.plan = reservation_plan_name(base.plan, request.key)
        epoch, seq, end = (
            self.epoch,
            self._next_stamp.seq,
            self._next_free_instant(request.account, request.end),
        )
        told = ("reservations", f"reservation {request.key}")
        return [
            Version(one.plan, start, Stamp(epoch, seq), reservation_plan_terms(base.terms, request), *told),
            Assignment(
                request.account,
                self._next_free_instant(request.account, start),
                Stamp(epoch, seq + 1),
                one.plan,
                *told,
            ),
            Assignment(request.account, end, Stamp(epoch, seq + 2), base.plan, *told),
        ]

    @staticmethod
    def _overlaps(request: ReservationRequest, other: Reservation) -> bool:
        """Whether both are of one account, and open at one time."""
        there = other.request
        together = there.start < request.end and request.start < there.end
        return other.state not in TERMINAL_STATES and there.account == request.account and together

    def _next_free_instant(self, account: str, instant: int) -> int:
        """The instant, or the next one that no other assignment of the account has."""
        taken = {one.effective for one in self.book.accounts.get(account, ())}
        while instant in taken:
            instant += 1
        return instant

    def _store_reservation(self, one: Reservation, changes: list[Change], dry: bool = False) -> None:
        """One commit for the reservation and what limiters hear of it; then it is in force."""
        book = self.book
        for change in changes:
            books.parse_change(books.as_json(change), "change")
            book = book.with_change(change)
        if dry:
            return
        self._commit(_reservation_record(one), *map(books.as_json, changes))
        for change in changes:
            self._apply_change(self.book.with_change(change), change)

    def release(self, key: str, now: int) -> Reservation:
        """No new draws from now on; what is not drawn is given back once limiters have told all they used."""
        known = self.reservations.by_key.get(key)
        before = replace(known, in_flight=dict(known.in_flight)) if known is not None else None
        if known is not None and known.state in (ReservationState.HELD, ReservationState.ACTIVE):
            known.draining_since = now
        one = self.reservations.release(key)
        if before is not None and one.state is not before.state:
            try:
                self._store_reservation(one, self._changes_for_release(one, now))
            except OSError:
                self.reservations.by_key[key] = before
                raise
        return one

    def _changes_for_release(self, one: Reservation, now: int) -> list[Change]:
        """The account's way off the event's plan at once; what would have put it there or back later is withdrawn."""
        plan, _, _ = one.plan.rpartition(NAME_SEPARATOR)
        if not plan:
            return []
        account, seq = one.request.account, self._next_stamp.seq
        reason = "reservations", f"release of {one.request.key}"
        mine = [
            a for a in self.book.accounts.get(account, ()) if f"reservation {one.request.key}" == a.reason
        ]
        changes: list[Change] = [
            Withdrawal(a.stamp, now, Stamp(self.epoch, seq + n), *reason)
            for n, a in enumerate(a for a in mine if a.effective > now)
        ]
        assigned = self.book.assignment_at(account, now)
        if assigned is not None and assigned.plan == one.plan:
            back = Stamp(self.epoch, seq + len(changes))
            changes.append(
                Assignment(account, self._next_free_instant(account, now + 1), back, plan, *reason)
            )
        return changes

    def tick(self, now: int) -> list[Reservation]:
        """Windows of reservations begin and end; what drains settles once all use has had time to come."""
        changed = self.reservations.tick(now)
        for one in self.reservations.by_key.values():
            if one.state is ReservationState.ACTIVE:
                one.in_flight.setdefault(FLEET_DRAW_KEY, 0)
            elif one.state is ReservationState.DRAINING:
                one.draining_since = one.draining_since or now
                if now >= one.draining_since + SETTLE_DELAY_MS:
                    self.reservations.settle(
                        one.request.key, FLEET_DRAW_KEY, drawn_units(one.request, self._reported_usage(one))
                    )
                    changed.append(one)
        unique = {id(one): one for one in changed}
        self._commit(*map(_reservation_record, unique.values()))
        return list(unique.values())

    def _reported_usage(self, one: Reservation) -> int:
        """Micro-units that limiters have told of under the event's plan."""
        return sum(units for key, units in self.usage_ledger.totals.items() if key.plan == one.plan)

    def _record_corrections(self, record: UsageRecord) -> None:
        """Use that comes after its reservation has settled is a correction of it, and changes nothing given back."""
        over = {
            one.plan: one
            for one in self.reservations.by_key.values()
            if one.plan and one.state in TERMINAL_STATES
        }
        for key, units in record.rows:
            if (one := over.get(key.plan)) is not None:
                self.reservations.correct(one.request.key, units)


def _reservation_record(one: Reservation) -> Record:
    wish = {name: getattr(one.request, name) for name in ReservationRequest.__slots__}
    return {
        "kind": "reservation", "wish": wish, "at": one.state.value, "drawn": one.drawn,
        "given_back": one.given_back, "corrections": one.corrections, "past": one.window_ended,
        "plan": one.plan, "since": one.draining_since,
    }  # fmt: skip
