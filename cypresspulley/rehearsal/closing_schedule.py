"""The closings of one day: each limiter's calendar file, what is told on the way, and what of it was true."""

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
    """``start`` is the Unix second of the day's second 0."""

    def __init__(self, section: Closing, plan: Plan, limiters: dict[str, LimiterProcess], start: int) -> None:
        self._section = section
        self._plan = plan
        self._limiters = limiters
        self._start = start
        self.caching_accounts = caching_accounts(
            section, plan
        )  # accounts that ask for keeping, and their places
        self._calendars = CalendarVersions(section, self.caching_accounts, start)
        self._told = list[tuple[str, int, int]]()  # on the way: place, Unix second, version

    def __repr__(self) -> str:
        return f"<ClosingSchedule {self._calendars!r}, {len(self._told)} told on the way>"

    def write_initial_calendars(self) -> None:
        """Write each limiter the calendar that it starts with: last week's, where a fault at 0 wants it."""
        old = {
            name for fault in self._plan.faults if fault.kind == "limiter-old-calendar" and fault.at <= 0
            for name in fault.targets
        }  # fmt: skip
        for name, limiter in self._limiters.items():
            limiter.write_calendar(self._calendars.last_week() if name in old else self._calendars.initial())

    def apply_fault(self, fault: PlannedFault, now: float) -> None:
        """Tell a calendar, where the fault is to: ``now`` in Unix seconds."""
        if fault.kind == "limiter-old-calendar" and fault.at > 0:
            self._tell(fault.targets, self._calendars.last_week())
        elif fault.kind == "closing-told":
            place = fault.spec.place or self._section.places[0].name
            at = ceil(self._start + fault.at + fault.spec.ahead)
            calendar = self._calendars.add_closing(place, at, now)
            self._told.append((place, at, self._calendars.version))
            self._tell(fault.targets, calendar)

    def _tell(self, names: Iterable[str], calendar: dict[str, Any]) -> None:
        for name in names:
            self._limiters[name].write_calendar(calendar, reload=True)

    def busiest(self) -> str | None:
        """Of the accounts that ask for keeping the one that asks most; None where none does."""
        asked = Counter(arrival.account for arrival in self._plan.arrivals)
        return max(sorted(self.caching_accounts), key=lambda id: asked[id], default=None)

    def expected_closings(self, calendars: Iterable[dict[str, Any]]) -> list[list[Any]]:
        """Pairs of an account and the Unix second of a closing; ``calendars`` are the events that limiters wrote.

        One that was told on the way counts where a limiter took it with the notice that all need: who was stopped, or
        whose clock was off, may have refused it.
        """
        taken = {
            event["version"] for event in calendars
            if event["state"] in ("held", "force") and event["mono"] <= event["in_force"] - self._section.notice
        }  # fmt: skip
        told = [[account, float(at)] for place, at, version in self._told if version in taken
                for account, home in self.caching_accounts.items() if home == place]  # fmt: skip
        return sorted([*self._calendars.expected_closings(), *told])
