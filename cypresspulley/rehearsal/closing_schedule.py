"""The closings of a run: each limiter's calendar file, closings added during the run, and those that count."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from math import ceil
from typing import Any

from cypresspulley.rehearsal.calendars import CalendarVersions, caching_accounts
from cypresspulley.rehearsal.limiters import LimiterProcess
from cypresspulley.rehearsal.plan import Plan, PlannedFault
from cypresspulley.rehearsal.sections import Closing


class ClosingSchedule:
    """Writes calendars to the limiters and knows the true closings. ``start`` is the run's second 0 (Unix)."""

    def __init__(self, section: Closing, plan: Plan, limiters: dict[str, LimiterProcess], start: int) -> None:
        self._section = section
        self._plan = plan
        self._limiters = limiters
        self._start = start
        self.caching_accounts = caching_accounts(section, plan)  # with the place of each
        self._calendars = CalendarVersions(section, self.caching_accounts, start)
        self._added = list[tuple[str, int, int]]()  # place, Unix second, version

    def __repr__(self) -> str:
        return f"<ClosingSchedule {self._calendars!r}, {len(self._added)} added>"

    def write_initial_calendars(self) -> None:
        """Write the calendar that each limiter starts with: last week's if a fault at second 0 says so."""
        old = {
            name for fault in self._plan.faults if fault.kind == "limiter-old-calendar" and fault.at <= 0
            for name in fault.targets
        }  # fmt: skip
        for name, limiter in self._limiters.items():
            limiter.write_calendar(self._calendars.last_week() if name in old else self._calendars.initial())

    def apply_fault(self, fault: PlannedFault, now: float) -> None:
        """Send the calendar of a fault, if it has one, to its targets. ``now`` is in Unix seconds."""
        if fault.kind == "limiter-old-calendar" and fault.at > 0:
            self._send_calendar(fault.targets, self._calendars.last_week())
        elif fault.kind == "closing-told":
            place = fault.spec.place or self._section.places[0].name
            at = ceil(self._start + fault.at + fault.spec.ahead)
            calendar = self._calendars.add_closing(place, at, now)
            self._added.append((place, at, self._calendars.version))
            self._send_calendar(fault.targets, calendar)

    def _send_calendar(self, names: Iterable[str], calendar: dict[str, Any]) -> None:
        for name in names:
            self._limiters[name].write_calendar(calendar, reload=True)

    def busiest(self) -> str | None:
        """Return the account with the most requests among those that ask for cached answers, or None."""
        asked = Counter(arrival.account for arrival in self._plan.arrivals)
        return max(sorted(self.caching_accounts), key=lambda id: asked[id], default=None)

    def expected_closings(self, calendars: Iterable[dict[str, Any]]) -> list[list[Any]]:
        """Return pairs of an account and the Unix second of a closing. ``calendars`` are events that limiters wrote.

        A closing added during the run counts only if some limiter accepted its version with the required notice. A
        limiter that was stopped, or whose clock was off, may have refused it.
        """
        accepted = {
            event["version"] for event in calendars
            if event["state"] in ("held", "force") and event["mono"] <= event["in_force"] - self._section.notice
        }  # fmt: skip
        added = [[account, float(at)] for place, at, version in self._added if version in accepted
                for account, home in self.caching_accounts.items() if home == place]  # fmt: skip
        return sorted([*self._calendars.expected_closings(), *added])
