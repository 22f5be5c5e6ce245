"""The single writer of a plan book: book, reservations and reported usage over one store.

Each change is on the disk before it takes effect. Each start opens a new epoch, which is stored before anything is
written under it. The state is rebuilt from the stored records alone: after a crash it holds everything that was
acknowledged and at most what was written and not yet acknowledged.
"""

from __future__ import annotations

import logging
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

log = logging.getLogger(__name__)

FLEET_DRAW_KEY = "limiters"  # stands for the draws of all limiters on a reservation
# Time in which limiters finish the requests admitted under a reservation's plan and export their usage, milliseconds.
SETTLE_DELAY_MS = 15_000


class PlanWriter:
    """The plans, reservations and usage of one installation. ``now`` is Unix time in milliseconds, from the caller."""

    def __init__(self, store: Store, installation: str = "", new_epoch: bool = True) -> None:
        self._store = store
        self.book, self.epoch = Book(installation), 0
        self.reservations, self.usage_ledger = Reservations(), UsageLedger()
        self.changes = list[Change]()  # the change with sequence number n is at index n - 1
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

    # Recovery from the stored records.

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
            if change.stamp.seq <= len(self.changes):
                log.warning("plans: %s: number %d is a repeat, ignored: %s", where, change.stamp.seq, change)
                return
            if change.stamp.seq != len(self.changes) + 1:
                raise StoreError(f"{where}: number {change.stamp.seq}; expected {len(self.changes) + 1}")
            self._apply_change(self.book.with_change(change), change)
        elif kind == "use":
            use = parse_usage_record(record, where)
            self._record_corrections(use)
            self.usage_ledger.accept(use, is_stored=True)
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
        reservation = Reservation(
            request, ReservationState(record["at"]), record["drawn"], {}, record["given_back"]
        )
        reservation.corrections, reservation.window_ended = record["corrections"], record["past"]
        reservation.plan, reservation.draining_since = record["plan"], record["since"]
        if reservation.state in (ReservationState.ACTIVE, ReservationState.DRAINING):
            reservation.in_flight[FLEET_DRAW_KEY] = 0
        self.reservations.by_key[request.key] = reservation

    def _records(self) -> Iterator[Record]:
        """Yield the whole state as records, for a new generation of the store."""
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

    def _compact_if_needed(self) -> None:
        """Compact the store once the last commit is part of the state.

        A failure is logged and refuses nothing: what was committed is in the old generation, which stays in service.
        """
        if not self._store.needs_compaction:
            return
        try:
            self.compact()
        except (OSError, StoreError) as error:
            log.error("plans: the store was not compacted, and will be later: %s", error)

    # Changes.

    @property
    def _next_stamp(self) -> Stamp:
        return Stamp(self.epoch, self.book.last_stamp.seq + 1)

    def set_terms(
        self, plan: str, terms: Terms, effective: int, now: int, author: str, reason: str = "", dry: bool = False
    ) -> Version:  # fmt: skip
        """Set the terms of a plan from the instant ``effective`` on. A dry run only checks the change."""
        return self._write(Version(plan, effective, self._next_stamp, terms, author, reason), now, dry)

    def assign_plan(
        self, account: str, plan: str, effective: int, now: int, author: str, reason: str = "", dry: bool = False
    ) -> Assignment:  # fmt: skip
        """Assign an account to a plan from the instant ``effective`` on. A dry run only checks the change."""
        return self._write(Assignment(account, effective, self._next_stamp, plan, author, reason), now, dry)

    def _write(self, change: ChangeT, now: int, dry: bool) -> ChangeT:
        if dry:
            self._check_change(change, now)
        else:
            self.write_change(change, now)
        return change

    def _check_change(self, change: Change, now: int) -> Book:
        # A record that a start cannot read must not be stored.
        books.parse_change(books.as_json(change), "change")
        check_new_change(self.book, change, now)
        if isinstance(change, Assignment):
            for reservation in self.reservations.by_key.values():
                is_open = (
                    reservation.state in (ReservationState.HELD, ReservationState.ACTIVE)
                    and reservation.request.account == change.account
                )
                if is_open and reservation.request.start <= change.effective < reservation.request.end:
                    raise BookError(
                        f"account: {change.account} has reservation {reservation.request.key} then; release it first"
                    )
        return self.book.with_change(change)

    def write_change(self, change: Change, now: int) -> None:
        """Check a new change, store it and add it to the book. Raise ``BookError`` or ``OSError``."""
        book = self._check_change(change, now)
        self._commit(books.as_json(change))
        self._apply_change(book, change)
        self._compact_if_needed()

    def find_ceiling_overshoots(self, change: Change, now: int) -> dict[str, float]:
        """Return the accounts whose ceiling a change lowers, with the units by which it may be exceeded.

        These are the units that the last limiter to receive the change may still admit. The result is empty where the
        change is announced at least a lease ahead.
        """
        late = max(0.0, (LEASE_MS - (change.effective - now)) / 1000)
        accounts = list[str]()
        new: Version | None = None
        if isinstance(change, Assignment):
            accounts = [change.account]
            new = self.book.version_at(change.plan, change.effective)
        elif isinstance(change, Version):
            assigned = ((a, self.book.assignment_at(a, change.effective)) for a in self.book.accounts)
            accounts = [a for a, on in assigned if on is not None and on.plan == change.plan]
            new = change
        overshoots = dict[str, float]()
        for account in accounts:
            old = self.book.binding_version(account, change.effective - 1)
            if old is None or new is None or old.terms.ceiling_rate <= 0 or new.terms.ceiling_rate <= 0:
                continue
            units = max_ceiling_overshoot(
                (old.terms.ceiling_rate, old.terms.ceiling_burst),
                (new.terms.ceiling_rate, new.terms.ceiling_burst),
                late,
            )
            if units > 0:
                overshoots[account] = units
        return overshoots

    # Usage.

    def accept_usage(self, record: UsageRecord) -> bool:
        """Store a limiter's usage record; return whether it may be acknowledged, because it is stored now or was.

        Raise ``UsageError`` or ``OSError``; the record is not stored then.
        """
        if self.usage_ledger.contains(record):
            return self.usage_ledger.accept(record)
        self.usage_ledger.check_room(record)
        self._commit(record.as_json())
        self._record_corrections(record)
        is_accepted = self.usage_ledger.accept(record, is_stored=True)
        self._compact_if_needed()
        return is_accepted

    # Reservations.

    def capacity_for(self, account: str, at: int, fleet_rate: float) -> Capacity:
        """Return the capacity that reservations of an account may use.

        ``fleet_rate`` is what the fleet may set aside, in units per second. Raise ``BookError`` for an account without
        a plan.
        """
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
        """Admit or refuse a reservation, and store it with the plan that limiters apply during its window.

        Raise ``BookError``, ``ReservationError`` or ``OSError``; no new reservation is kept then.
        """
        if request.end <= now:
            raise BookError(f"end: expected an instant after {now}, got {request.end}, which is past")
        capacity = self.capacity_for(request.account, request.start, fleet_rate)
        if request.key in self.reservations.by_key:
            return self.reservations.reserve(request, capacity)
        try:
            reservation = self.reservations.reserve(request, capacity)
            changes = (
                self._changes_for_reservation(reservation, now)
                if reservation.state is ReservationState.HELD
                else []
            )
            self._store_reservation(reservation, changes, dry)
        except (OSError, BookError):
            self.reservations.by_key.pop(request.key, None)
            raise
        if dry:
            del self.reservations.by_key[request.key]
        return reservation

    def _changes_for_reservation(self, reservation: Reservation, now: int) -> list[Change]:
        """Return the reservation's plan, the assignment to it at the window's start and the one back at its end."""
        request = reservation.request
        start = max(request.start, now)
        base = self.book.binding_version(request.account, start)
        assert base is not None  # the capacity was computed from its terms
        if any(
            self._overlaps(request, other)
            for other in self.reservations.by_key.values()
            if other is not reservation
        ):
            raise BookError(
                f"start, end: {request.account} has another reservation then; expected one at a time"
            )
        reservation.plan = reservation_plan_name(base.plan, request.key)
        epoch, seq, end = (
            self.epoch,
            self._next_stamp.seq,
            self._next_free_instant(request.account, request.end),
        )
        origin = ("reservations", f"reservation {request.key}")
        return [
            Version(
                reservation.plan,
                start,
                Stamp(epoch, seq),
                reservation_plan_terms(base.terms, request),
                *origin,
            ),
            Assignment(
                request.account,
                self._next_free_instant(request.account, start),
                Stamp(epoch, seq + 1),
                reservation.plan,
                *origin,
            ),
            Assignment(request.account, end, Stamp(epoch, seq + 2), base.plan, *origin),
        ]

    @staticmethod
    def _overlaps(request: ReservationRequest, other: Reservation) -> bool:
        """Return whether both are of one account and their windows overlap."""
        booked = other.request
        overlapping = booked.start < request.end and request.start < booked.end
        return other.state not in TERMINAL_STATES and booked.account == request.account and overlapping

    def _next_free_instant(self, account: str, instant: int) -> int:
        """Return the first instant from ``instant`` on at which no assignment of the account takes effect."""
        used_instants = {assignment.effective for assignment in self.book.accounts.get(account, ())}
        while instant in used_instants:
            instant += 1
        return instant

    def _store_reservation(self, reservation: Reservation, changes: list[Change], dry: bool = False) -> None:
        """Store the reservation and its changes in one commit, then add the changes to the book."""
        book = self.book
        for change in changes:
            books.parse_change(books.as_json(change), "change")
            book = book.with_change(change)
        if dry:
            return
        self._commit(_reservation_record(reservation), *map(books.as_json, changes))
        for change in changes:
            self._apply_change(self.book.with_change(change), change)
        self._compact_if_needed()

    def release(self, key: str, now: int) -> Reservation:
        """End a reservation: it takes no new draws, and the undrawn rest is given back once all usage is reported."""
        known = self.reservations.by_key.get(key)
        before = replace(known, in_flight=dict(known.in_flight)) if known is not None else None
        if known is not None and known.state in (ReservationState.HELD, ReservationState.ACTIVE):
            known.draining_since = now
        reservation = self.reservations.release(key)
        if before is not None and reservation.state is not before.state:
            try:
                self._store_reservation(reservation, self._changes_for_release(reservation, now))
            except OSError:
                self.reservations.by_key[key] = before
                raise
        return reservation

    def _changes_for_release(self, reservation: Reservation, now: int) -> list[Change]:
        """Return the changes that move the account back to its own plan at once and withdraw its later assignments."""
        plan, _, _ = reservation.plan.rpartition(NAME_SEPARATOR)
        if not plan:
            return []
        account, seq = reservation.request.account, self._next_stamp.seq
        origin = "reservations", f"release of {reservation.request.key}"
        own_assignments = [
            a
            for a in self.book.accounts.get(account, ())
            if f"reservation {reservation.request.key}" == a.reason
        ]
        changes: list[Change] = [
            Withdrawal(a.stamp, now, Stamp(self.epoch, seq + n), *origin)
            for n, a in enumerate(a for a in own_assignments if a.effective > now)
        ]
        assigned = self.book.assignment_at(account, now)
        if assigned is not None and assigned.plan == reservation.plan:
            stamp = Stamp(self.epoch, seq + len(changes))
            changes.append(
                Assignment(account, self._next_free_instant(account, now + 1), stamp, plan, *origin)
            )
        return changes

    def tick(self, now: int) -> list[Reservation]:
        """Start and end the windows of reservations, and settle draining ones after ``SETTLE_DELAY_MS``.

        Return the reservations that changed.
        """
        changed = self.reservations.tick(now)
        for reservation in self.reservations.by_key.values():
            if reservation.state is ReservationState.ACTIVE:
                reservation.in_flight.setdefault(FLEET_DRAW_KEY, 0)
            elif reservation.state is ReservationState.DRAINING:
                reservation.draining_since = reservation.draining_since or now
                if now >= reservation.draining_since + SETTLE_DELAY_MS:
                    self.reservations.settle(
                        reservation.request.key,
                        FLEET_DRAW_KEY,
                        drawn_units(reservation.request, self._reported_usage(reservation)),
                    )
                    changed.append(reservation)
        changed_by_id = {id(reservation): reservation for reservation in changed}
        self._commit(*map(_reservation_record, changed_by_id.values()))
        self._compact_if_needed()
        return list(changed_by_id.values())

    def _reported_usage(self, reservation: Reservation) -> int:
        """Return the micro-units that limiters reported under the reservation's plan."""
        return sum(units for key, units in self.usage_ledger.totals.items() if key.plan == reservation.plan)

    def _record_corrections(self, record: UsageRecord) -> None:
        """Record usage that arrives after its reservation has settled as a correction; nothing more is given back."""
        settled_by_plan = {
            reservation.plan: reservation
            for reservation in self.reservations.by_key.values()
            if reservation.plan and reservation.state in TERMINAL_STATES
        }
        for key, units in record.rows:
            if (reservation := settled_by_plan.get(key.plan)) is not None:
                self.reservations.correct(reservation.request.key, units)


def _reservation_record(reservation: Reservation) -> Record:
    wish = {name: getattr(reservation.request, name) for name in ReservationRequest.__slots__}
    return {
        "kind": "reservation", "wish": wish, "at": reservation.state.value, "drawn": reservation.drawn,
        "given_back": reservation.given_back, "corrections": reservation.corrections, "past": reservation.window_ended,
        "plan": reservation.plan, "since": reservation.draining_since,
    }  # fmt: skip
