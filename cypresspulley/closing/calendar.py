"""Calendars of places of business and the closing instants that they define. No I/O; the only clock data is tzdata.

A *closing* is an instant. The *ordinal* of an instant is the number of closings of its place at or before it, so it
only grows with time, whatever daylight saving time does. As in RFC 5545, 3.3.5, a local time that occurs twice closes
once, at its first occurrence, and a local time that is skipped is read with the UTC offset from before the gap.
Closings of one place that fall on one instant count as one closing.

The times of a day come from the first of these that has it: a change at short notice, a special day, a holiday (no
closing), the weekday.

Time zones come from the pinned package ``tzdata``, never from the machine, because limiters have to agree on its
version.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Mapping
from dataclasses import dataclass, field
from datetime import UTC, date, datetime, time, timedelta
from functools import lru_cache
from importlib import import_module, resources
from zoneinfo import ZoneInfo

TZDATA_VERSION = str(import_module("tzdata").IANA_VERSION)
MAX_TIMELINE_DAYS = 20_000  # days of closings per version; an instant beyond them has no ordinal
TIMELINE_STEP_DAYS = 400  # days computed at a time
# Days computed on either side. In a zone that skips a calendar day, closings of one date can come after those of the
# next date.
ZONE_MARGIN_DAYS = 3
GENERATIONS_PER_VERSION = 1_000_000  # exclusive upper bound of the ordinals within one version


@lru_cache(maxsize=128)
def load_zone(key: str) -> ZoneInfo:
    """Return a zone of the pinned package. Raise ``ValueError`` if the package does not have it."""
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
    """Local closing times of one place.

    ``weekdays`` has seven entries, starting with Monday. A day without times has no closing.
    """

    name: str
    zone: str
    weekdays: tuple[tuple[time, ...], ...]
    holidays: frozenset[date] = frozenset()
    special: Mapping[date, tuple[time, ...]] = field(default_factory=dict)
    changes: Mapping[date, tuple[time, ...]] = field(default_factory=dict)

    def closing_times(self, day: date) -> tuple[time, ...]:
        """Return the local times of a day's closings."""
        for days in (self.changes, self.special):
            if day in days:
                return days[day]
        return () if day in self.holidays else self.weekdays[day.weekday()]

    def closing_instants(self, day: date) -> list[int]:
        """Return the closings of a day in Unix seconds."""
        zone = load_zone(self.zone)
        return [int(datetime.combine(day, at, zone).timestamp()) for at in self.closing_times(day)]


class Timeline:
    """The closings of one place, starting ``ZONE_MARGIN_DAYS`` before ``since`` and computed on demand."""

    def __init__(self, place: Place, since: float) -> None:
        self.place = place
        self._first_day = datetime.fromtimestamp(since, UTC).date() - timedelta(days=ZONE_MARGIN_DAYS)
        self._computed_days = 0
        self._instants = set[int]()
        self._closings = list[int]()
        self._complete_until = float("-inf")  # ``_closings`` has every closing before this instant

    def __repr__(self) -> str:
        return f"<Timeline {self.place.name}, {len(self._closings)} closings over {self._computed_days} days>"

    def _extend_to(self, t: float) -> None:
        """Compute all closings up to ``t``. Raise ``ValueError`` beyond ``MAX_TIMELINE_DAYS``."""
        while t >= self._complete_until:
            if self._computed_days >= MAX_TIMELINE_DAYS:
                raise ValueError(f"beyond {MAX_TIMELINE_DAYS} days of a calendar")
            for _ in range(TIMELINE_STEP_DAYS):
                self._instants.update(
                    self.place.closing_instants(self._first_day + timedelta(days=self._computed_days))
                )
                self._computed_days += 1
            self._closings = sorted(self._instants)
            end = datetime.combine(
                self._first_day + timedelta(days=self._computed_days - ZONE_MARGIN_DAYS), time(), UTC
            )
            self._complete_until = end.timestamp()

    def ordinal(self, t: float) -> int:
        """Return the number of closings at or before an instant (Unix seconds)."""
        self._extend_to(t)
        return bisect_right(self._closings, t)

    def closings_between(self, t0: float, t1: float) -> list[tuple[int, int]]:
        """Return ordinal and instant of each closing in (t0, t1]."""
        self._extend_to(t1)
        first, last = bisect_right(self._closings, t0), bisect_right(self._closings, t1)
        return [(at + 1, self._closings[at]) for at in range(first, last)]

    def is_near_closing(self, t: float, bound: float) -> bool:
        """Return whether a closing lies at most ``bound`` seconds before or after an instant."""
        self._extend_to(t + bound)
        at = bisect_right(self._closings, t + bound)
        return at > 0 and self._closings[at - 1] >= t - bound


class Calendar:
    """One version: its places, the place of each account, and the instant from which it is in force."""

    def __init__(
        self, version: int, in_force: float, places: Mapping[str, Place], accounts: Mapping[str, str]
    ) -> None:  # fmt: skip
        self.version, self.in_force, self.places, self.accounts = version, in_force, places, accounts
        self._timelines = {name: Timeline(place, in_force) for name, place in places.items()}

    def __repr__(self) -> str:
        return (
            f"<Calendar {self.version} from {datetime.fromtimestamp(self.in_force, UTC):%Y-%m-%d %H:%M:%S}Z, "
            f"{len(self.places)} places, {len(self.accounts)} accounts>"
        )

    def timeline(self, place: str) -> Timeline:
        return self._timelines[place]

    def covers(self, t: float) -> bool:
        """Return whether the closings around an instant are known, which ends decades after it came into force."""
        return t < self.in_force + (MAX_TIMELINE_DAYS - 2 * TIMELINE_STEP_DAYS) * 86_400

    def generation(self, place: str, t: float) -> int:
        """Return the generation of answers cached at ``t``, which grows with each closing and each version."""
        return self.version * GENERATIONS_PER_VERSION + min(
            self._timelines[place].ordinal(t), GENERATIONS_PER_VERSION - 1
        )
