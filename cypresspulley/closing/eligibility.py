"""Decides whether this limiter may use its cache now, and an account's current generation. No I/O and no clock."""

from __future__ import annotations

import math
from collections.abc import Callable

from cypresspulley.closing.bypass import BypassReason, SuspendDetector, WallClockMonitor
from cypresspulley.closing.calendar_store import CalendarStore
from cypresspulley.closing.lease import Lease
from cypresspulley.closing.options import Options
from cypresspulley.fleet.records import FleetView

STEPS_PER_LEASE = (
    16  # the lease's rounds are at least a lease divided by this apart, or MAX_STEP_SECONDS if shorter
)
MAX_STEP_SECONDS = 0.5


class Eligibility:
    """Combines calendar, lease, clock and sleep detection into one reason to bypass the cache.

    ``is_alone`` returns whether no other limiter belongs to the installation. ``now`` is monotonic; ``wall`` may step.
    """

    def __init__(self, options: Options, view: FleetView, is_alone: Callable[[], bool]) -> None:
        self._clock_bound, self._view, self._is_alone = options.clock_bound, view, is_alone
        self.store = CalendarStore()
        self.lease = Lease(
            options.lease_seconds, min(MAX_STEP_SECONDS, options.lease_seconds / STEPS_PER_LEASE)
        )
        self.wall_clock, self.suspend_detector = (
            WallClockMonitor(options.clock_bound, options.lease_seconds),
            SuspendDetector(),
        )

    def __repr__(self) -> str:
        return f"<Eligibility {self.store!r}, {self.lease!r}, {self.wall_clock!r}>"

    def find_bypass_reason(self, now: float, wall: float) -> BypassReason:
        """Return the first reason of the table of ``BypassReason`` that applies."""
        self.suspend_detector.check(now)
        if not self._is_alone():
            if not self.lease.is_held(now):
                return (
                    BypassReason.STARTING
                    if self.lease.acknowledged_at == -math.inf
                    else BypassReason.LEASE_EXPIRED
                )
            if self.lease.acknowledged_at <= self.suspend_detector.resumed_at:
                return BypassReason.RESUMED
        if reason := self.check_clock(now, wall):
            return reason
        calendar = self.store.in_force_at(wall)
        return (
            BypassReason.NO_CALENDAR if calendar is None or not calendar.covers(wall) else BypassReason.NONE
        )

    def check_clock(self, now: float, wall: float) -> BypassReason:
        """Return why the wall clock cannot be trusted, or ``NONE``."""
        return self.wall_clock.check(now, wall, None if self._is_alone() else self._view.clock_error)

    def generation(self, account: str, wall: float) -> int | None:
        """Return an account's generation at an instant; there has to be no reason to bypass the cache.

        Return None for an account whose answers are not cached, and within the clock bound of a closing or of the
        change to another calendar version.
        """
        calendar = self.store.in_force_at(wall)
        place = calendar.accounts.get(account) if calendar is not None else None
        if calendar is None or place is None or self.store.is_near_switch(wall, self._clock_bound):
            return None
        if calendar.timeline(place).is_near_closing(wall, self._clock_bound):
            return None
        return calendar.generation(place, wall)
