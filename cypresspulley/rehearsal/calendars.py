"""Builds the calendars of a run's places of business: closings at seconds of the run, as local times. No I/O."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from datetime import UTC, datetime
from math import ceil
from typing import Any
from zoneinfo import ZoneInfo

from cypresspulley.rehearsal.plan import Plan, random_for
from cypresspulley.rehearsal.sections import Closing

LAST_WEEK_VERSION = 1  # version of last week's calendar
INITIAL_VERSION = 2  # version that the run starts with
DAY_SECONDS = 86_400.0
IN_FORCE_MARGIN_SECONDS = 0.5  # from the end of a version's notice until it comes into force


def caching_accounts(section: Closing, plan: Plan) -> dict[str, str]:
    """Draw the accounts that ask for cached answers from the plan's seed, and return the place of each."""
    rng = random_for(plan.seed, "keepers")
    chosen = [account.id for account in plan.accounts if rng.random() < section.share]
    return {id: section.places[n % len(section.places)].name for n, id in enumerate(sorted(chosen))}


class CalendarVersions:
    """The calendar versions of one run. ``start`` is its second 0 as a whole Unix second."""

    def __init__(self, section: Closing, accounts: dict[str, str], start: int) -> None:
        self._section = section
        self._accounts = accounts
        self._start = start
        self._zones = {place.name: place.zone for place in section.places}
        self.closings = {place.name: sorted(start + s for s in place.closes) for place in section.places}
        self._added = dict[str, list[int]]()  # closings added during the run, by place
        self.version = INITIAL_VERSION

    def __repr__(self) -> str:
        return f"<CalendarVersions up to version {self.version}, {len(self._accounts)} accounts, from {self._start}>"

    def last_week(self) -> dict[str, Any]:
        """Return last week's version, which has none of the run's closings."""
        return self._calendar_file(
            LAST_WEEK_VERSION, self._start - 8 * DAY_SECONDS, dict.fromkeys(self._zones, ()), {}
        )

    def initial(self) -> dict[str, Any]:
        """Return the version that limiters start with."""
        return self._calendar_file(INITIAL_VERSION, self._start - DAY_SECONDS, self.closings, {})

    def add_closing(self, place: str, at: int, now: float) -> dict[str, Any]:
        """Return a new version with one more closing at the Unix second ``at``, in force once its notice is over."""
        self._added.setdefault(place, []).append(at)
        self.version += 1
        in_force = ceil(now + self._section.notice + IN_FORCE_MARGIN_SECONDS)
        return self._calendar_file(self.version, in_force, self.closings, self._added)

    def expected_closings(self) -> list[list[Any]]:
        """Return pairs of an account and the Unix second of a closing of the initial version."""
        rows = sorted(self._accounts.items())
        return [[account, float(at)] for account, place in rows for at in self.closings[place]]

    def _calendar_file(
        self, version: int, in_force: float, closings: dict[str, Any], added: dict[str, list[int]]
    ) -> dict[str, Any]:
        places = dict[str, Any]()
        for name, zone in self._zones.items():
            table: dict[str, Any] = {
                "zone": zone,
                "weekdays": {},
                "special": local_times_by_date(zone, closings[name]),
            }
            if name in added:
                days = local_times_by_date(zone, [*closings[name], *added[name]])
                table["changes"] = [{"date": day, "closes": times} for day, times in days.items()]
            places[name] = table
        return {
            "version": version, "in_force": datetime.fromtimestamp(in_force, UTC), "places": places,
            "accounts": self._accounts,
        }  # fmt: skip


def local_times_by_date(zone: str, seconds: Iterable[int]) -> dict[str, list[str]]:
    """Convert Unix seconds to local times of a zone, grouped by date."""
    days = defaultdict[str, list[str]](list)
    for second in sorted(set(seconds)):
        local = datetime.fromtimestamp(second, ZoneInfo(zone))
        days[local.date().isoformat()].append(local.time().isoformat())
    return dict(days)
