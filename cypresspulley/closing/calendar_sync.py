"""Distribution of calendars: loads them from this limiter's operators and fetches newer ones from other limiters."""

from __future__ import annotations

import logging
import math
from collections.abc import Callable

from cypresspulley.closing.calendar import Calendar
from cypresspulley.closing.calendar_store import AddResult, CalendarStore, decode_calendar, encode_calendar
from cypresspulley.closing.options import Options, load_calendar
from cypresspulley.fleet.records import FleetView
from cypresspulley.histories.events import Kind
from cypresspulley.histories.writer import AnyHistory
from cypresspulley.operators import OperatorsError

log = logging.getLogger(__name__)

MAX_REJECTED_DIGESTS = 64  # remembered digests of documents that are not valid calendars


class CalendarSync:
    """Adds calendars to the store and records each change in the history.

    ``on_late_calendar`` is called when a version is in force as soon as it arrives: it was announced too late to come
    into force everywhere at one instant.
    """

    def __init__(
        self, options: Options, view: FleetView, store: CalendarStore, history: AnyHistory,
        is_alone: Callable[[], bool], on_late_calendar: Callable[[], None],
    ) -> None:  # fmt: skip
        self._options, self._view, self._store, self._history = options, view, store, history
        self._is_alone, self._on_late_calendar = is_alone, on_late_calendar
        self._rejected_digests = set[str]()
        self._first_fetch: float | None = None  # time of the first call of ``fetch_newest``

    def reload(self, wall: float, latest_trusted: float) -> None:
        """Read the calendar file again. An invalid file is logged and recorded; the current calendar stays."""
        if not self._options.calendar_path:
            return
        try:
            self.announce(load_calendar(self._options.calendar_path), wall, latest_trusted)
        except OperatorsError as error:
            log.error("closing: the calendar was not reloaded, the previous one stays in use: %s", error)
            self._record_rejection(self._store.rank[0], str(error))

    def announce(self, calendar: Calendar, wall: float, latest_trusted: float) -> None:
        """Take over a calendar from this limiter's operators. Raise ``OperatorsError`` if it cannot be used."""
        body, source = (
            encode_calendar(calendar),
            self._options.calendar_path or f"calendar {calendar.version}",
        )
        known, ahead = self._store.rank[0], calendar.in_force - wall
        digest = self._view.store_document(body)
        if (calendar.version, digest) == self._store.rank:
            return
        if calendar.version <= known:
            raise OperatorsError(f"{source}: version: expected one above {known}, got {calendar.version}")
        if not self._is_alone() and ahead < self._options.min_notice_seconds:
            # Other limiters could miss the deadline and would go on with the old calendar until their leases expire.
            raise OperatorsError(
                f"{source}: in_force: expected an instant at least {self._options.min_notice_seconds:g} s ahead, "
                f"got one {ahead:.1f} s ahead"
            )
        self.adopt(calendar, body, latest_trusted)

    def adopt(self, calendar: Calendar, body: bytes, latest_trusted: float) -> None:
        """Store a calendar if it is newer. ``latest_trusted`` is the latest instant that has certainly passed."""
        result = self._store.add(calendar, self._view.store_document(body), latest_trusted)
        if result in (AddResult.SCHEDULED, AddResult.IN_FORCE):
            self.record(calendar, result)
            if result is AddResult.IN_FORCE:
                self._on_late_calendar()

    def record(self, calendar: Calendar, state: AddResult) -> None:
        """Log a calendar's new state and write it to the history."""
        log.info("closing: calendar state is now %s: %r", state.value, calendar)
        self._history.put(
            Kind.CALENDAR, version=calendar.version, state=state.value, in_force=calendar.in_force, why=""
        )

    def fetch_newest(self, now: float, newest: tuple[int, str] | None, latest_trusted: float) -> None:
        """Fetch the newest calendar of the other limiters, given by version and digest, if it is newer than ours."""
        if self._first_fetch is None:
            self._first_fetch = now
        if newest is None or newest <= self._store.rank or newest[1] in self._rejected_digests:
            return
        # Only a trusted clock can tell which version is in force until the new one is. Wait two leases for one: by
        # then the clock is trusted, or it will not be.
        if latest_trusted == -math.inf and now < self._first_fetch + 2 * self._options.lease_seconds:
            return
        version, digest = newest
        body = self._view.get_document(digest)
        if body is None:
            return self._view.request_document(digest)
        try:
            calendar = decode_calendar(body)
            if calendar.version != version:
                raise OperatorsError(f"a calendar from another limiter: version: expected {version}")
        except OperatorsError as error:
            if len(self._rejected_digests) >= MAX_REJECTED_DIGESTS:
                self._rejected_digests.clear()
            self._rejected_digests.add(digest)
            log.error("closing: rejected a calendar from another limiter: %s", error)
            self._record_rejection(version, str(error))
        else:
            self.adopt(calendar, body, latest_trusted)

    def _record_rejection(self, version: int, why: str) -> None:
        self._history.put(Kind.CALENDAR, version=version, state="refused", in_force=0.0, why=why)
