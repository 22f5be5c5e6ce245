"""The calendars of a day's places of business: closings at seconds of the day, written as local times; free of I/O."""

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
DAY = 86_400.0
SPARE = 0.5  # seconds by which a told version comes into force after its notice is over


def caching_accounts(section: Closing, plan: Plan) -> dict[str, str]:
    """Which accounts of the plan ask for keeping, and each one's place, from the plan's seed."""
    rng = random_for(plan.seed, "keepers")
    chosen = [account.id for account in plan.accounts if rng.random() < section.share]
    return {id: section.places[n % len(section.places)].name for n, id in enumerate(sorted(chosen))}


class CalendarVersions:
    """The versions of one day. ``start`` is the Unix second of its second 0, a whole one."""

    def __init__(self, section: Closing, accounts: dict[str, str], start: int) -> None:
        self._section = section
        self._accounts = accounts
        self._start = start
        self._zones = {place.name: place.zone for place in section.places}
        self.closings = {place.name: sorted(start + s for s in place.closes) for place in section.places}
        self._told = dict[str, list[int]]()  # what came at short notice, by place
        self.version = INITIAL_VERSION

    def __repr__(self) -> str:
        return f"<CalendarVersions up to version {self.version}, {len(self._accounts)} accounts, from {self._start}>"

    def last_week(self) -> dict[str, Any]:
        """Last week's: it knows none of the day's closings."""
        return self._file(LAST_WEEK_VERSION, self._start - 8 * DAY, dict.fromkeys(self._zones, ()), {})

    def initial(self) -> dict[str, Any]:
        """The file that limiters start with."""
        return self._file(INITIAL_VERSION, self._start - DAY, self.closings, {})

    def add_closing(self, place: str, at: int, now: float) -> dict[str, Any]:
        """A new version with one more closing at the Unix second ``at``, in force once its notice is over."""
        self._told.setdefault(place, []).append(at)
        self.version += 1
        in_force = ceil(now + self._section.notice + SPARE)
        return self._file(self.version, in_force, self.closings, self._told)

    def expected_closings(self) -> list[list[Any]]:
        """Pairs of an account and the Unix second of a closing that the day began with."""
        rows = sorted(self._accounts.items())
        return [[account, float(at)] for account, place in rows for at in self.closings[place]]

    def _file(
        self, version: int, in_force: float, closings: dict[str, Any], told: dict[str, list[int]]
    ) -> dict[str, Any]:
        places = dict[str, Any]()
        for name, zone in self._zones.items():
            table: dict[str, Any] = {
                "zone": zone,
                "weekdays": {},
                "special": local_times_by_date(zone, closings[name]),
            }
            if name in told:
                days = local_times_by_date(zone, [*closings[name], *told[name]])
                table["changes"] = [{"date": day, "closes": times} for day, times in days.items()]
            places[name] = table
        return {
            "version": version, "in_force": datetime.fromtimestamp(in_force, UTC), "places": places,
            "accounts": self._accounts,
        }  # fmt: skip


def local_times_by_date(zone: str, seconds: Iterable[int]) -> dict[str, list[str]]:
    """Unix seconds as a zone's dates, each with its local times."""
    days = defaultdict[str, list[str]](list)
    for second in sorted(set(seconds)):
        local = datetime.fromtimestamp(second, ZoneInfo(zone))
        days[local.date().isoformat()].append(local.time().isoformat())
    return dict(days)
