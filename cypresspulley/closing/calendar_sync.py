"""Calendars on their way: from this limiter's operators, and from other limiters."""

from __future__ import annotations

import logging
import math
from collections.abc import Callable

from cypresspulley.closing.calendar import Calendar
from cypresspulley.closing.calendar_store import Book, Taken, decode, encode
from cypresspulley.closing.options import Options, load_calendar
from cypresspulley.fleet.records import FleetView
from cypresspulley.histories.events import Kind
from cypresspulley.histories.writer import AnyHistory
from cypresspulley.operators import OperatorsError

log = logging.getLogger(__name__)

MOST_REFUSED = 64  # digests of documents that are no calendars


class Calendars:
    """``late`` is called when a version is in force as soon as it is here: it was told too late for one instant."""

    def __init__(
        self, options: Options, view: FleetView, book: Book, history: AnyHistory, alone: Callable[[], bool],
        late: Callable[[], None],
    ) -> None:  # fmt: skip
        self._options, self._view, self._book, self._history = options, view, book, history
        self._alone, self._late = alone, late
        self._refused = set[str]()
        self._since: float | None = None  # when the first one was taken

    def reload(self, wall: float, highest: float) -> None:
        """Read the calendar file again; one that cannot be taken changes nothing but the log and the history."""
        if not self._options.path:
            return
        try:
            self.tell(load_calendar(self._options.path), wall, highest)
        except OperatorsError as error:
            log.error("closing: the calendar was not reloaded, the last good one holds: %s", error)
            self._refuse(self._book.rank[0], str(error))

    def tell(self, calendar: Calendar, wall: float, highest: float) -> None:
        """A calendar of this limiter's operators; ``OperatorsError`` says why it cannot be taken."""
        body, source = encode(calendar), self._options.path or f"calendar {calendar.version}"
        known, ahead = self._book.rank[0], calendar.in_force - wall
        digest = self._view.offer(body)
        if (calendar.version, digest) == self._book.rank:
            return
        if calendar.version <= known:
            raise OperatorsError(f"{source}: version: expected one above {known}, got {calendar.version}")
        if not self._alone() and ahead < self._options.notice:
            # Others could not have it by then, and would go on by the old one until their leases end.
            raise OperatorsError(
                f"{source}: in_force: expected an instant at least {self._options.notice:g} s ahead, "
                f"got one {ahead:.1f} s ahead"
            )
        self.take(calendar, body, highest)

    def take(self, calendar: Calendar, body: bytes, highest: float) -> None:
        """Hold a calendar, if it is newer. ``highest``: the latest instant that is surely over."""
        taken = self._book.take(calendar, self._view.offer(body), highest)
        if taken in (Taken.HELD, Taken.FORCE):
            self.told(calendar, taken)
            if taken is Taken.FORCE:
                self._late()

    def told(self, calendar: Calendar, state: Taken) -> None:
        log.info("closing: %s: %r", state.value, calendar)
        self._history.put(
            Kind.CALENDAR, version=calendar.version, state=state.value, in_force=calendar.in_force, why=""
        )

    def fetch(self, now: float, newest: tuple[int, str] | None, highest: float) -> None:
        """Another limiter may hold a newer version."""
        if self._since is None:
            self._since = now
        if newest is None or newest <= self._book.rank or newest[1] in self._refused:
            return
        # Which version is in force until the new one is, only a clock that is trusted can tell: it is soon, or never.
        if highest == -math.inf and now < self._since + 2 * self._options.lease_seconds:
            return
        version, digest = newest
        body = self._view.document(digest)
        if body is None:
            return self._view.want(digest)
        try:
            calendar = decode(body)
            if calendar.version != version:
                raise OperatorsError(f"a calendar from another limiter: version: expected {version}")
        except OperatorsError as error:
            if len(self._refused) >= MOST_REFUSED:
                self._refused.clear()
            self._refused.add(digest)
            log.error("closing: a calendar was refused: %s", error)
            self._refuse(version, str(error))
        else:
            self.take(calendar, body, highest)

    def _refuse(self, version: int, why: str) -> None:
        self._history.put(Kind.CALENDAR, version=version, state="refused", in_force=0.0, why=why)
