"""Whether this limiter may keep and serve at this moment, and an account's generation then. No I/O and no clock."""

from __future__ import annotations

import math
from collections.abc import Callable

from cypresspulley.closing.bypass import BypassReason, Sleep, WallClockMonitor
from cypresspulley.closing.calendar_store import CalendarStore
from cypresspulley.closing.lease import Lease
from cypresspulley.closing.options import Options
from cypresspulley.fleet.records import FleetView

STEPS = 16  # of the lease's rounds in a lease, at most
MOST_STEP = 0.5  # seconds


class Certainty:
    """``alone`` says that no other limiter belongs to the installation. ``now`` never steps, ``wall`` may."""

    def __init__(self, options: Options, view: FleetView, alone: Callable[[], bool]) -> None:
        self._bound, self._view, self._alone = options.clock_bound, view, alone
        self.book = CalendarStore()
        self.lease = Lease(options.lease_seconds, min(MOST_STEP, options.lease_seconds / STEPS))
        self.trust, self.sleep = WallClockMonitor(options.clock_bound, options.lease_seconds), Sleep()

    def __repr__(self) -> str:
        return f"<Certainty {self.book!r}, {self.lease!r}, {self.trust!r}>"

    def doubt(self, now: float, wall: float) -> BypassReason:
        """The table of ``Doubt``, from its top."""
        self.sleep.check(now)
        if not self._alone():
            if not self.lease.is_held(now):
                return BypassReason.STARTING if self.lease.acknowledged_at == -math.inf else BypassReason.CUT
            if self.lease.acknowledged_at <= self.sleep.woke:
                return BypassReason.WOKEN
        if clock := self.clock(now, wall):
            return clock
        calendar = self.book.in_force_at(wall)
        return BypassReason.CALENDAR if calendar is None or not calendar.covers(wall) else BypassReason.NONE

    def clock(self, now: float, wall: float) -> BypassReason:
        """Whether the wall clock may be acted on."""
        return self.trust.check(now, wall, None if self._alone() else self._view.clock_error)

    def generation(self, account: str, wall: float) -> int | None:
        """Where there is no doubt: the account's generation at an instant; None for one that does not ask for keeping,
        and within the clocks' bound of a closing or of another version."""
        calendar = self.book.in_force_at(wall)
        place = calendar.accounts.get(account) if calendar is not None else None
        if calendar is None or place is None or self.book.is_near_switch(wall, self._bound):
            return None
        if calendar.timeline(place).is_near_closing(wall, self._bound):
            return None
        return calendar.generation(place, wall)
