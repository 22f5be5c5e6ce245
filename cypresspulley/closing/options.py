"""The operators' table ``[closing]`` and the calendar file that it names: both checked key by key, refused whole.

    [closing]
    calendars = "calendars.toml"    # as seen from the operators' file; SIGHUP reads it again
    keep = ["lookup"]               # classes of the settings whose answers may be kept: those that are safe to repeat
    clock_bound_ms = 250            # by which a wall clock may be off; within it of a close nothing is kept
    lease_ms = 8000                 # after which a limiter that is cut off keeps nothing
    lost_seconds = 600              # for which a limiter that was lost without leaving holds up keeping at all others
    purge_ms = 5000                 # for the answer to a purge by hand
    keep_seconds = 3600             # for which an answer is kept, at most
    most_answers = 20000            # that are kept at one limiter
    most_bytes = 33554432

The calendar file:

    version = 7                             # a whole number; a higher one replaces a lower one at all limiters
    in_force = 2026-12-01T00:00:00Z         # from when on; with its offset
    [places.vadodara]
    zone = "Asia/Kolkata"
    holidays = [2026-12-25]                 # days without a closing
    weekdays = { mon = "18:00", tue = ["13:00", "18:00"], sat = "14:00" }   # the other days have no closing
    special = { 2026-12-24 = "14:00" }      # days with times of their own, [] for none
    [[places.vadodara.changes]]             # at short notice: they hold over everything else
    date = 2026-12-02
    closes = "16:30:00"
    [accounts]                              # which accounts ask for keeping, and where each is at home
    00000000b4d65521 = "vadodara"
"""

from __future__ import annotations

import re
import tomllib
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from datetime import date, datetime, time
from pathlib import Path
from typing import Any

from cypresspulley import interface as api
from cypresspulley.closing.calendar import Calendar, Place, load_zone
from cypresspulley.fleet.records import NAME_FORM
from cypresspulley.operators import OperatorsError

MOST_FILE = 1 << 20  # bytes of a calendar file
MOST_PLACES = 64
MOST_ACCOUNTS = 8192
MOST_DATES = 400  # of one place: holidays, special days and changes each
MOST_TIMES = 8  # closings of one day
MOST_VERSION = 1_000_000_000
ACCOUNT = re.compile(r"[0-9a-f]{16}")
ACCOUNTS = 2**33  # of the protocol's account numbers
TIME = re.compile(r"([01][0-9]|2[0-3]):([0-5][0-9])(?::([0-5][0-9]))?")
DAYS = ("mon", "tue", "wed", "thu", "fri", "sat", "sun")
LEASE_WAIT_FACTOR = (
    1.1  # of a lease, for who waits for its end: clocks that never step may yet run at other rates
)
YEARS = (2000, 2200)  # of what an instant and a date may be


@dataclass(frozen=True, slots=True)
class Options:
    """What is on; times in seconds."""

    calendar: Calendar
    keep: frozenset[str]
    path: str = ""  # of the calendar file; "": it is never read again
    clock_bound: float = 0.25
    lease_seconds: float = 8.0
    lost_seconds: float = 600.0
    purge_seconds: float = 5.0
    keep_seconds: float = 3600.0
    most_answers: int = 20_000
    most_bytes: int = 32 * 1024 * 1024

    @property
    def bounds(self) -> dict[str, float]:
        """The promises' bounds in seconds, as histories name them. What changed at one limiter is gone at all others
        when they have heard of it, or by the end of the lease that they had from it, half a second for late looks."""
        return {"clock": self.clock_bound, "purge": self.lease_seconds + 0.5}

    @property
    def notice(self) -> float:
        """Seconds ahead of its instant at which a version is told at least, so that all have it or keep nothing."""
        return LEASE_WAIT_FACTOR * self.lease_seconds + 2 * self.clock_bound + 0.5


# Keys of milliseconds, seconds and plain numbers: least, most, and what stands for one that is not there.
NUMBERS: dict[str, tuple[int, int, int]] = {
    "clock_bound_ms": (50, 60_000, 250),
    "lease_ms": (500, 60_000, 8000),
    "lost_seconds": (0, 86_400, 600),
    "purge_ms": (100, 60_000, 5000),
    "keep_seconds": (1, 7 * 86_400, 3600),
    "most_answers": (1, 1_000_000, 20_000),
    "most_bytes": (1024, 1 << 30, 32 * 1024 * 1024),
}


def options_from(table: dict[str, Any], path: str, settings: api.Settings) -> Options:
    """The table as options, with the calendar read; ``OperatorsError`` names file, key and what was expected."""

    def fail(name: str, expected: str) -> OperatorsError:
        return OperatorsError(f"{path}: closing.{name}: expected {expected}, got {table.get(name)!r:.60}")

    known = ("calendars", "keep", *NUMBERS)
    if extra := set(table) - set(known):
        raise OperatorsError(f"{path}: closing.{min(extra)}: unknown; expected {', '.join(known)}")
    values = {}
    for key, (least, most, missing) in NUMBERS.items():
        value = table.get(key, missing)
        if not isinstance(value, int) or isinstance(value, bool) or not least <= value <= most:
            raise fail(key, f"a whole number from {least} to {most}")
        values[key] = value
    safe = [c.name for c in settings.classes if c.effect is api.Effect.SAFE]
    keep = table.get("keep")
    if not isinstance(keep, list) or not keep or not all(name in safe for name in keep):
        raise fail("keep", f"a list of classes that are safe to repeat, out of {', '.join(safe) or 'none'}")
    calendars = table.get("calendars")
    if not isinstance(calendars, str) or not calendars:
        raise fail("calendars", "the path of a calendar file")
    file = str(Path(path).parent / calendars)
    calendar = load_calendar(file)
    return Options(
        calendar, frozenset(keep), file, values["clock_bound_ms"] / 1000, values["lease_ms"] / 1000,
        float(values["lost_seconds"]), values["purge_ms"] / 1000, float(values["keep_seconds"]),
        values["most_answers"], values["most_bytes"],
    )  # fmt: skip


def load_calendar(path: str) -> Calendar:
    """The calendar of a file; ``OperatorsError`` names file, key and what was expected: nothing of it is taken then."""
    try:
        with open(path, "rb") as file:
            data = file.read(MOST_FILE + 1)
        if len(data) > MOST_FILE:
            raise OperatorsError(f"{path}: expected at most {MOST_FILE} bytes")
        raw = tomllib.loads(data.decode("utf-8"))
    except OSError as error:
        raise OperatorsError(f"{path}: not readable: {error.strerror}") from None
    except (UnicodeDecodeError, tomllib.TOMLDecodeError, RecursionError) as error:
        raise OperatorsError(f"{path}: not readable as TOML: {error}") from None
    return calendar_from(raw, path)


def calendar_from(raw: Mapping[str, Any], source: str) -> Calendar:
    """A calendar file's tables as a calendar; ``OperatorsError`` names ``source``, key and what was expected."""
    check = _Check(source)
    check.keys("", raw, ("version", "in_force", "places", "accounts"))
    version = raw.get("version")
    if not isinstance(version, int) or isinstance(version, bool) or not 1 <= version <= MOST_VERSION:
        raise check.fail("version", f"a whole number from 1 to {MOST_VERSION}", version)
    in_force = check.instant("in_force", raw.get("in_force"))
    places = check.table("places", raw.get("places"), MOST_PLACES)
    if not places:
        raise check.fail("places", "at least one place", places)
    read = {name: _place(check, name, table) for name, table in places.items()}
    accounts = check.table("accounts", raw.get("accounts", {}), MOST_ACCOUNTS)
    for account, place in accounts.items():
        if not ACCOUNT.fullmatch(account) or int(account, 16) >= ACCOUNTS:
            raise check.fail(f"accounts.{account:.40}", "16 hex digits in lower case, below 2**33", account)
        if not isinstance(place, str) or place not in read:
            raise check.fail(
                f"accounts.{account}", f"one of the places {', '.join(sorted(read))[:80]}", place
            )
    return Calendar(version, in_force, read, dict(accounts))


def _place(check: _Check, name: str, raw: Any) -> Place:
    key = f"places.{name:.40}"
    if not re.fullmatch(NAME_FORM, name):
        raise check.fail(key, "a name of at most 40 letters, digits, dots and dashes", name)
    table = check.table(key, raw, 8)
    check.keys(key + ".", table, ("zone", "weekdays", "holidays", "special", "changes"))
    zone = table.get("zone")
    try:
        load_zone(zone if isinstance(zone, str) else "")
    except ValueError:
        raise check.fail(f"{key}.zone", "a time zone such as Asia/Kolkata", zone) from None
    weekdays = check.table(f"{key}.weekdays", table.get("weekdays", {}), len(DAYS))
    check.keys(f"{key}.weekdays.", weekdays, DAYS)
    week = tuple(check.times(f"{key}.weekdays.{day}", weekdays.get(day, [])) for day in DAYS)
    holidays = check.rows(f"{key}.holidays", table.get("holidays", []))
    free = frozenset(check.day(f"{key}.holidays[{at}]", day) for at, day in enumerate(holidays))
    special = check.table(f"{key}.special", table.get("special", {}), MOST_DATES)
    days = {
        check.day(f"{key}.special.{day:.20}", day): check.times(f"{key}.special.{day:.20}", times)
        for day, times in special.items()
    }
    changes = dict[date, tuple[time, ...]]()
    for at, change in enumerate(check.rows(f"{key}.changes", table.get("changes", []))):
        here = f"{key}.changes[{at}]"
        check.keys(here + ".", check.table(here, change, 3), ("date", "closes", "note"))
        day = check.day(f"{here}.date", change.get("date"))
        if day in changes:
            raise check.fail(f"{here}.date", "one change for a day", str(day))
        changes[day] = check.times(f"{here}.closes", change.get("closes"))
    return Place(name, str(zone), week, free, days, changes)


class _Check:
    """Reads values of a calendar; each error names file, key and what was expected."""

    def __init__(self, source: str) -> None:
        self._source = source

    def fail(self, key: str, expected: str, got: object) -> OperatorsError:
        return OperatorsError(f"{self._source}: {key}: expected {expected}, got {got!r:.60}")

    def keys(self, prefix: str, table: Mapping[str, Any], known: tuple[str, ...]) -> None:
        if extra := set(table) - set(known):
            raise OperatorsError(
                f"{self._source}: {prefix}{min(extra):.40}: unknown; expected {', '.join(known)}"
            )

    def table(self, key: str, value: Any, most: int) -> dict[str, Any]:
        if (
            not isinstance(value, dict)
            or len(value) > most
            or not all(isinstance(each, str) for each in value)
        ):
            raise self.fail(key, f"a table of at most {most} entries", value)
        return value

    def rows(self, key: str, value: Any) -> list[Any]:
        if not isinstance(value, list) or len(value) > MOST_DATES:
            raise self.fail(key, f"a list of at most {MOST_DATES}", value)
        return value

    def instant(self, key: str, value: Any) -> float:
        found = self._read(datetime.fromisoformat, value) if isinstance(value, str) else value
        if not isinstance(found, datetime) or found.tzinfo is None or not YEARS[0] <= found.year < YEARS[1]:
            raise self.fail(key, "a date and time with its offset, as 2026-12-01T00:00:00Z", value)
        return found.timestamp()

    def day(self, key: str, value: Any) -> date:
        found = self._read(date.fromisoformat, value) if isinstance(value, str) else value
        if (
            not isinstance(found, date)
            or isinstance(found, datetime)
            or not YEARS[0] <= found.year < YEARS[1]
        ):
            raise self.fail(key, "a date, as 2026-12-25", value)
        return found

    def times(self, key: str, value: Any) -> tuple[time, ...]:
        """One local time or a list of them, sorted."""
        found = value if isinstance(value, list) else [value]
        if len(found) > MOST_TIMES:
            raise self.fail(key, f"at most {MOST_TIMES} times", value)
        return tuple(sorted({self._time(key, each) for each in found}))

    def _time(self, key: str, value: Any) -> time:
        if isinstance(value, str) and (form := TIME.fullmatch(value)):
            return time(int(form[1]), int(form[2]), int(form[3] or 0))
        if isinstance(value, time) and not value.microsecond:
            return value
        raise self.fail(key, "local times such as 18:00 or 18:00:30", value)

    def _read(self, read: Callable[[str], Any], value: str) -> Any:
        try:
            return read(value)
        except ValueError:
            return None
