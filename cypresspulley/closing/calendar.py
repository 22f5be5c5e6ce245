"""Calendars of places of business, and the closings that they come to. No I/O and no clock but the pinned time zones.

A *closing* is an instant; the *ordinal* of an instant is how many closings of its place lie at or before it. It only
grows with time, whatever summer time does: a local time that a change of the clocks repeats closes once, at its first
occurrence, and one that it skips closes as long after the change as it would have stood after its begin (both as RFC
5545, 3.3.5 has it). Closings of one place that fall on one instant are one closing.

Which times a day has, from strong to weak: a change at short notice, a special day, a holiday (none), its weekday's.
Zones are those of the pinned package ``tzdata``, never the machine's: its version is part of what limiters agree on.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Mapping
from dataclasses import dataclass, field
from datetime import UTC, date, datetime, time, timedelta
from functools import lru_cache
from importlib import import_module, resources
from zoneinfo import ZoneInfo

ZONES_VERSION = str(import_module("tzdata").IANA_VERSION)
MOST_DAYS = 20_000  # of one version's closings: beyond these no instant has an ordinal
STEP_DAYS = 400  # worked out at a time
EDGE_DAYS = 3  # a zone that leaves out a day puts closings of one date behind those of the next
GENERATIONS = 1_000_000  # of one version: ordinals stay below


@lru_cache(maxsize=128)
def zone_of(key: str) -> ZoneInfo:
    """A zone of the pinned package. ``ValueError`` for one that it does not have."""
    parts = key.split("/")
    if len(key) > 64 or any(not part or part.startswith(".") for part in parts):
        raise ValueError(f"no time zone: {key!r:.80}")
    try:
        with resources.files("tzdata").joinpath("zoneinfo", *parts).open("rb") as file:
            return ZoneInfo.from_file(file, key=key)
    except (OSError, ValueError):
        raise ValueError(f"no time zone: {key!r:.80}") from None


@dataclass(frozen=True, slots=True)
class Place:
    """Local times of closings. ``weekdays`` has seven entries, Monday's first; a day of no times has no closing."""

    name: str
    zone: str
    weekdays: tuple[tuple[time, ...], ...]
    holidays: frozenset[date] = frozenset()
    special: Mapping[date, tuple[time, ...]] = field(default_factory=dict)
    changes: Mapping[date, tuple[time, ...]] = field(default_factory=dict)

    def times(self, day: date) -> tuple[time, ...]:
        """The local times at which a day has a closing."""
        for days in (self.changes, self.special):
            if day in days:
                return days[day]
        return () if day in self.holidays else self.weekdays[day.weekday()]

    def instants(self, day: date) -> list[int]:
        """The closings of a day, Unix seconds."""
        zone = zone_of(self.zone)
        return [int(datetime.combine(day, at, zone).timestamp()) for at in self.times(day)]


class Timeline:
    """The closings of one place from a day on, worked out as far as they are asked for."""

    def __init__(self, place: Place, since: float) -> None:
        self.place = place
        self._first = datetime.fromtimestamp(since, UTC).date() - timedelta(days=EDGE_DAYS)
        self._days = 0
        self._found = set[int]()
        self._closings = list[int]()
        self._sure = float("-inf")  # instants up to which ``_closings`` is whole

    def __repr__(self) -> str:
        return f"<Timeline {self.place.name}, {len(self._closings)} closings over {self._days} days>"

    def _until(self, t: float) -> None:
        """``ValueError`` for an instant beyond ``MOST_DAYS``."""
        while t >= self._sure:
            if self._days >= MOST_DAYS:
                raise ValueError(f"beyond {MOST_DAYS} days of a calendar")
            for _ in range(STEP_DAYS):
                self._found.update(self.place.instants(self._first + timedelta(days=self._days)))
                self._days += 1
            self._closings = sorted(self._found)
            end = datetime.combine(self._first + timedelta(days=self._days - EDGE_DAYS), time(), UTC)
            self._sure = end.timestamp()

    def ordinal(self, t: float) -> int:
        """How many closings lie at or before an instant (Unix seconds)."""
        self._until(t)
        return bisect_right(self._closings, t)

    def closings_between(self, t0: float, t1: float) -> list[tuple[int, int]]:
        """Ordinal and instant of each closing in (t0, t1]."""
        self._until(t1)
        first, last = bisect_right(self._closings, t0), bisect_right(self._closings, t1)
        return [(at + 1, self._closings[at]) for at in range(first, last)]

    def is_near_closing(self, t: float, bound: float) -> bool:
        """Whether a closing lies within ``bound`` seconds of an instant, either way."""
        self._until(t + bound)
        at = bisect_right(self._closings, t + bound)
        return at > 0 and self._closings[at - 1] >= t - bound


class Calendar:
    """One version: places, which account is at which, and the instant from which it is in force."""

    def __init__(
        self, version: int, in_force: float, places: Mapping[str, Place], accounts: Mapping[str, str]
    ) -> None:  # fmt: skip
        self.version, self.in_force, self.places, self.accounts = version, in_force, places, accounts
        self._lines = {name: Timeline(place, in_force) for name, place in places.items()}

    def __repr__(self) -> str:
        return (
            f"<Calendar {self.version} from {datetime.fromtimestamp(self.in_force, UTC):%Y-%m-%d %H:%M:%S}Z, "
            f"{len(self.places)} places, {len(self.accounts)} accounts>"
        )

    def timeline(self, place: str) -> Timeline:
        return self._lines[place]

    def reaches(self, t: float) -> bool:
        """Whether it can tell the closings round an instant: not centuries after it came into force."""
        return t < self.in_force + (MOST_DAYS - 2 * STEP_DAYS) * 86_400

    def generation(self, place: str, t: float) -> int:
        """Of what is kept there: it grows with each closing and each version, and says which one."""
        return self.version * GENERATIONS + min(self._lines[place].ordinal(t), GENERATIONS - 1)
