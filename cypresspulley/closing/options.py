"""The operators' table ``[closing]`` and the calendar file that it names, validated key by key.

A table or file with an error is rejected as a whole.

    [closing]
    calendars = "calendars.toml"    # path relative to the operators' file; SIGHUP reads the file again
    keep = ["lookup"]               # request classes whose answers may be cached; only classes that are safe to repeat
    clock_bound_ms = 250            # maximum error of a wall clock; nothing is cached this close to a closing
    lease_ms = 8000                 # time after which a limiter that is cut off stops serving from its cache
    lost_seconds = 600              # time for which a limiter lost without leaving keeps all others from caching
    purge_ms = 5000                 # time limit for the answer to an operator's purge
    keep_seconds = 3600             # maximum age of a cached answer
    most_answers = 20000            # maximum number of answers cached at one limiter
    most_bytes = 33554432

The calendar file:

    version = 7                             # a whole number; a higher one replaces a lower one at all limiters
    in_force = 2026-12-01T00:00:00Z         # instant from which the version applies, with its UTC offset
    [places.vadodara]
    zone = "Asia/Kolkata"
    holidays = [2026-12-25]                 # days without a closing
    weekdays = { mon = "18:00", tue = ["13:00", "18:00"], sat = "14:00" }   # the other days have no closing
    special = { 2026-12-24 = "14:00" }      # days with times of their own, [] for none
    [[places.vadodara.changes]]             # changes at short notice; they override everything else
    date = 2026-12-02
    closes = "16:30:00"
    [accounts]                              # the accounts whose answers are cached, and the place of each
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
from cypresspulley.fleet.records import NAME_PATTERN
from cypresspulley.operators import OperatorsError

MAX_FILE_BYTES = 1 << 20  # of a calendar file
MAX_PLACES = 64
MAX_ACCOUNTS = 8192
MAX_DATES = 400  # per place, for each of holidays, special days and changes
MAX_TIMES_PER_DAY = 8
MAX_VERSION = 1_000_000_000
ACCOUNT_PATTERN = re.compile(r"[0-9a-f]{16}")
ACCOUNT_LIMIT = 2**33  # exclusive upper bound of the protocol's account numbers
LOCAL_TIME_PATTERN = re.compile(r"([01][0-9]|2[0-3]):([0-5][0-9])(?::([0-5][0-9]))?")
WEEKDAY_KEYS = ("mon", "tue", "wed", "thu", "fri", "sat", "sun")
# A limiter that waits for the end of another one's lease waits this many times its length, because their monotonic
# clocks can run at different rates.
LEASE_WAIT_FACTOR = 1.1
YEAR_RANGE = (2000, 2200)  # allowed years of instants and dates; the end is exclusive


@dataclass(frozen=True, slots=True)
class Options:
    """The settings of the table; times are in seconds."""

    calendar: Calendar
    cached_classes: frozenset[str]
    calendar_path: str = ""  # "" if there is no calendar file to read again
    clock_bound: float = 0.25
    lease_seconds: float = 8.0
    lost_seconds: float = 600.0
    purge_seconds: float = 5.0
    keep_seconds: float = 3600.0
    most_answers: int = 20_000
    most_bytes: int = 32 * 1024 * 1024

    @property
    def bounds(self) -> dict[str, float]:
        """The time bounds that histories are checked against, in seconds, by their names there.

        After a purge at one limiter, every other limiter stops serving the purged answers when it receives the purge,
        or at the latest when the lease granted by that limiter expires. Half a second allows for late polls.
        """
        return {"clock": self.clock_bound, "purge": self.lease_seconds + 0.5}

    @property
    def min_notice_seconds(self) -> float:
        """The minimum time from announcing a calendar until it is in force.

        By then every limiter has either received it or lost its lease and stopped caching.
        """
        return LEASE_WAIT_FACTOR * self.lease_seconds + 2 * self.clock_bound + 0.5


# Minimum, maximum and default of each numeric key.
NUMERIC_KEYS: dict[str, tuple[int, int, int]] = {
    "clock_bound_ms": (50, 60_000, 250),
    "lease_ms": (500, 60_000, 8000),
    "lost_seconds": (0, 86_400, 600),
    "purge_ms": (100, 60_000, 5000),
    "keep_seconds": (1, 7 * 86_400, 3600),
    "most_answers": (1, 1_000_000, 20_000),
    "most_bytes": (1024, 1 << 30, 32 * 1024 * 1024),
}


def options_from(table: dict[str, Any], path: str, settings: api.Settings) -> Options:
    """Validate the table and load the calendar.

    Raise ``OperatorsError`` with the file, the key and the expected value.
    """

    def fail(name: str, expected: str) -> OperatorsError:
        return OperatorsError(f"{path}: closing.{name}: expected {expected}, got {table.get(name)!r:.60}")

    known = ("calendars", "keep", *NUMERIC_KEYS)
    if extra := set(table) - set(known):
        raise OperatorsError(f"{path}: closing.{min(extra)}: unknown; expected {', '.join(known)}")
    values = {}
    for key, (minimum, maximum, default) in NUMERIC_KEYS.items():
        value = table.get(key, default)
        if not isinstance(value, int) or isinstance(value, bool) or not minimum <= value <= maximum:
            raise fail(key, f"a whole number from {minimum} to {maximum}")
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
    """Load the calendar of a file.

    Raise ``OperatorsError`` with the file, the key and the expected value; the file is then rejected as a whole.
    """
    try:
        with open(path, "rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
        if len(data) > MAX_FILE_BYTES:
            raise OperatorsError(f"{path}: expected at most {MAX_FILE_BYTES} bytes")
        raw = tomllib.loads(data.decode("utf-8"))
    except OSError as error:
        raise OperatorsError(f"{path}: not readable: {error.strerror}") from None
    except (UnicodeDecodeError, tomllib.TOMLDecodeError, RecursionError) as error:
        raise OperatorsError(f"{path}: not readable as TOML: {error}") from None
    return calendar_from(raw, path)


def calendar_from(raw: Mapping[str, Any], source: str) -> Calendar:
    """Build a calendar from the tables of a calendar file.

    Raise ``OperatorsError`` with ``source``, the key and the expected value.
    """
    reader = _CalendarReader(source)
    reader.check_keys("", raw, ("version", "in_force", "places", "accounts"))
    version = raw.get("version")
    if not isinstance(version, int) or isinstance(version, bool) or not 1 <= version <= MAX_VERSION:
        raise reader.error("version", f"a whole number from 1 to {MAX_VERSION}", version)
    in_force = reader.read_instant("in_force", raw.get("in_force"))
    places = reader.read_table("places", raw.get("places"), MAX_PLACES)
    if not places:
        raise reader.error("places", "at least one place", places)
    parsed = {name: _read_place(reader, name, table) for name, table in places.items()}
    accounts = reader.read_table("accounts", raw.get("accounts", {}), MAX_ACCOUNTS)
    for account, place in accounts.items():
        if not ACCOUNT_PATTERN.fullmatch(account) or int(account, 16) >= ACCOUNT_LIMIT:
            raise reader.error(f"accounts.{account:.40}", "16 hex digits in lower case, below 2**33", account)
        if not isinstance(place, str) or place not in parsed:
            raise reader.error(
                f"accounts.{account}", f"one of the places {', '.join(sorted(parsed))[:80]}", place
            )
    return Calendar(version, in_force, parsed, dict(accounts))


def _read_place(reader: _CalendarReader, name: str, raw: Any) -> Place:
    key = f"places.{name:.40}"
    if not re.fullmatch(NAME_PATTERN, name):
        raise reader.error(key, "a name of at most 40 letters, digits, dots and dashes", name)
    table = reader.read_table(key, raw, 8)
    reader.check_keys(key + ".", table, ("zone", "weekdays", "holidays", "special", "changes"))
    zone = table.get("zone")
    try:
        load_zone(zone if isinstance(zone, str) else "")
    except ValueError:
        raise reader.error(f"{key}.zone", "a time zone such as Asia/Kolkata", zone) from None
    weekdays = reader.read_table(f"{key}.weekdays", table.get("weekdays", {}), len(WEEKDAY_KEYS))
    reader.check_keys(f"{key}.weekdays.", weekdays, WEEKDAY_KEYS)
    week = tuple(reader.read_times(f"{key}.weekdays.{day}", weekdays.get(day, [])) for day in WEEKDAY_KEYS)
    holidays = reader.read_list(f"{key}.holidays", table.get("holidays", []))
    free = frozenset(reader.read_date(f"{key}.holidays[{at}]", day) for at, day in enumerate(holidays))
    special = reader.read_table(f"{key}.special", table.get("special", {}), MAX_DATES)
    days = {
        reader.read_date(f"{key}.special.{day:.20}", day): reader.read_times(
            f"{key}.special.{day:.20}", times
        )
        for day, times in special.items()
    }
    changes = dict[date, tuple[time, ...]]()
    for at, change in enumerate(reader.read_list(f"{key}.changes", table.get("changes", []))):
        here = f"{key}.changes[{at}]"
        reader.check_keys(here + ".", reader.read_table(here, change, 3), ("date", "closes", "note"))
        day = reader.read_date(f"{here}.date", change.get("date"))
        if day in changes:
            raise reader.error(f"{here}.date", "one change for a day", str(day))
        changes[day] = reader.read_times(f"{here}.closes", change.get("closes"))
    return Place(name, str(zone), week, free, days, changes)


class _CalendarReader:
    """Reads and validates values of a calendar; each error names the source, the key and the expected value."""

    def __init__(self, source: str) -> None:
        self._source = source

    def error(self, key: str, expected: str, got: object) -> OperatorsError:
        return OperatorsError(f"{self._source}: {key}: expected {expected}, got {got!r:.60}")

    def check_keys(self, prefix: str, table: Mapping[str, Any], known: tuple[str, ...]) -> None:
        if extra := set(table) - set(known):
            raise OperatorsError(
                f"{self._source}: {prefix}{min(extra):.40}: unknown; expected {', '.join(known)}"
            )

    def read_table(self, key: str, value: Any, max_entries: int) -> dict[str, Any]:
        if (
            not isinstance(value, dict)
            or len(value) > max_entries
            or not all(isinstance(each, str) for each in value)
        ):
            raise self.error(key, f"a table of at most {max_entries} entries", value)
        return value

    def read_list(self, key: str, value: Any) -> list[Any]:
        if not isinstance(value, list) or len(value) > MAX_DATES:
            raise self.error(key, f"a list of at most {MAX_DATES}", value)
        return value

    def read_instant(self, key: str, value: Any) -> float:
        found = self._parse(datetime.fromisoformat, value) if isinstance(value, str) else value
        if (
            not isinstance(found, datetime)
            or found.tzinfo is None
            or not YEAR_RANGE[0] <= found.year < YEAR_RANGE[1]
        ):
            raise self.error(key, "a date and time with its offset, as 2026-12-01T00:00:00Z", value)
        return found.timestamp()

    def read_date(self, key: str, value: Any) -> date:
        found = self._parse(date.fromisoformat, value) if isinstance(value, str) else value
        if (
            not isinstance(found, date)
            or isinstance(found, datetime)
            or not YEAR_RANGE[0] <= found.year < YEAR_RANGE[1]
        ):
            raise self.error(key, "a date, as 2026-12-25", value)
        return found

    def read_times(self, key: str, value: Any) -> tuple[time, ...]:
        """Read one local time or a list of them; return them sorted, without duplicates."""
        found = value if isinstance(value, list) else [value]
        if len(found) > MAX_TIMES_PER_DAY:
            raise self.error(key, f"at most {MAX_TIMES_PER_DAY} times", value)
        return tuple(sorted({self._read_time(key, each) for each in found}))

    def _read_time(self, key: str, value: Any) -> time:
        if isinstance(value, str) and (form := LOCAL_TIME_PATTERN.fullmatch(value)):
            return time(int(form[1]), int(form[2]), int(form[3] or 0))
        if isinstance(value, time) and not value.microsecond:
            return value
        raise self.error(key, "local times such as 18:00 or 18:00:30", value)

    def _parse(self, parse: Callable[[str], Any], value: str) -> Any:
        try:
            return parse(value)
        except ValueError:
            return None
