"""The operators' table ``[lanes]``, whose keys are all checked before the limiter starts.

    [lanes]
    period_ms = 500          # between two rows; 100 to 5000
    spell_s = 20.0           # rotation period, in which the same accounts are shed; 1 to 600
    lease_s = 5.0            # from a limiter's death until its share is free; 1 to 600

    [[lanes.lane]]           # in order of priority: the first lane is shed last
    name = "premium"
    plans = ["chain", "business"]
    floor = 0.5              # share of the fleet's capacity that the others cannot take; 0 to 1, default 0

    [[lanes.lane]]
    name = "standard"
    plans = ["standard"]
    floor = 0.1

    [[lanes.lane]]
    name = "guest"
    plans = ["guesthouse"]
    floor_units = 2.0        # or in units a second over the whole fleet; where the fleet's capacity is below
                             # the sum of such floors, the first lanes get theirs

Each plan of the settings is in exactly one lane. A plan that is added later, by a reload of the settings or by a plan
book, is in the last lane until a restart.
"""

from __future__ import annotations

import math
import re
from dataclasses import dataclass
from typing import Any

from cypresspulley import interface as api
from cypresspulley.fleet.records import NAME_PATTERN
from cypresspulley.operators import OperatorsError

MAX_LANES = 6  # a row of the fleet's view can hold no more
PERIOD_RANGE_MS = (100, 5_000)
DURATION_RANGE = (1.0, 600.0)  # seconds, of rotation periods and leases
MAX_FLOOR_UNITS = 1e6  # units a second
DEFAULT_PERIOD_MS = 500
DEFAULT_ROTATION_SECONDS = 20.0
DEFAULT_LEASE_SECONDS = 5.0
KEYS = ("period_ms", "spell_s", "lease_s", "lane")
LANE_KEYS = ("name", "plans", "floor", "floor_units")


@dataclass(frozen=True, slots=True)
class Lane:
    """``floor`` is a share of the fleet's capacity, 0 to 1; ``floor_units`` is in units a second. One of them is 0."""

    name: str
    plans: tuple[str, ...]
    floor: float = 0.0
    floor_units: float = 0.0

    def floor_rate(self, capacity: float) -> float:
        """Return the units a second that the other lanes cannot take, at this capacity of the fleet."""
        return min(capacity, self.floor * capacity + self.floor_units)


@dataclass(frozen=True, slots=True)
class LanesOptions:
    """``lanes`` are in order of priority, the highest first. The same accounts are shed for ``rotation_seconds``."""

    lanes: tuple[Lane, ...]
    period_seconds: float = DEFAULT_PERIOD_MS / 1000
    rotation_seconds: float = DEFAULT_ROTATION_SECONDS
    lease_seconds: float = DEFAULT_LEASE_SECONDS

    def lane_of(self, plan: str) -> int:
        """Return the index of a plan's lane; it is the last one for a plan that no lane names."""
        return next((n for n, lane in enumerate(self.lanes) if plan in lane.plans), len(self.lanes) - 1)


def options_from(table: dict[str, Any], path: str, settings: api.Settings) -> LanesOptions:
    """Return the options of the table.

    ``OperatorsError`` is raised for a wrong table; it names the file, the key and what was expected.
    """
    if extra := set(table) - set(KEYS):
        raise OperatorsError(f"{path}: lanes.{min(extra)}: unknown; expected {', '.join(KEYS)}")
    period_ms = table.get("period_ms", DEFAULT_PERIOD_MS)
    if (
        not isinstance(period_ms, int)
        or isinstance(period_ms, bool)
        or not PERIOD_RANGE_MS[0] <= period_ms <= PERIOD_RANGE_MS[1]
    ):
        raise _error(
            path,
            "period_ms",
            f"whole milliseconds from {PERIOD_RANGE_MS[0]} to {PERIOD_RANGE_MS[1]}",
            period_ms,
        )
    durations = {}
    for key, default in (("spell_s", DEFAULT_ROTATION_SECONDS), ("lease_s", DEFAULT_LEASE_SECONDS)):
        durations[key] = _number(table, key, default)
        if not DURATION_RANGE[0] <= durations[key] <= DURATION_RANGE[1]:
            raise _error(
                path, key, f"seconds from {DURATION_RANGE[0]:g} to {DURATION_RANGE[1]:g}", table.get(key)
            )
    if durations["spell_s"] < 2 * period_ms / 1000:
        raise _error(path, "spell_s", "at least two periods", table.get("spell_s", DEFAULT_ROTATION_SECONDS))
    rows = table.get("lane")
    if not isinstance(rows, list) or not 2 <= len(rows) <= MAX_LANES:
        raise _error(path, "lane", f"2 to {MAX_LANES} tables [[lanes.lane]]", rows)
    lanes = tuple(_parse_lane(row, path, f"lane.{n}") for n, row in enumerate(rows))
    _check_lanes(lanes, path, settings)
    return LanesOptions(lanes, period_ms / 1000, durations["spell_s"], durations["lease_s"])


def _parse_lane(row: Any, path: str, key: str) -> Lane:
    if not isinstance(row, dict):
        raise _error(path, key, "a table", row)
    if extra := set(row) - set(LANE_KEYS):
        raise OperatorsError(f"{path}: lanes.{key}.{min(extra)}: unknown; expected {', '.join(LANE_KEYS)}")
    name, plans = row.get("name"), row.get("plans")
    if not isinstance(name, str) or not re.fullmatch(NAME_PATTERN, name):
        raise _error(path, f"{key}.name", "a name of at most 40 letters, digits, dots and dashes", name)
    if not isinstance(plans, list) or not plans or not all(isinstance(plan, str) for plan in plans):
        raise _error(path, f"{key}.plans", "a list of names of plans", plans)
    if "floor" in row and "floor_units" in row:
        raise _error(path, f"{key}.floor_units", "either this or floor", row["floor_units"])
    floor, units = _number(row, "floor", 0.0), _number(row, "floor_units", 0.0)
    if not 0 <= floor <= 1:
        raise _error(path, f"{key}.floor", "a share from 0 to 1", row.get("floor"))
    if not 0 <= units <= MAX_FLOOR_UNITS:
        raise _error(path, f"{key}.floor_units", "units a second, 0 or more", row.get("floor_units"))
    return Lane(name, tuple(plans), floor, units)


def _check_lanes(lanes: tuple[Lane, ...], path: str, settings: api.Settings) -> None:
    """Check all lanes: names and plans are unique, every plan is in a lane, and floors sum to at most 1."""
    known = {plan.name for plan in settings.plans}
    names, lane_of = set[str](), dict[str, str]()
    for n, lane in enumerate(lanes):
        if lane.name in names:
            raise _error(path, f"lane.{n}.name", "each name once", lane.name)
        names.add(lane.name)
        for plan in lane.plans:
            if plan in lane_of:
                raise _error(path, f"lane.{n}.plans", f"each plan once; it is in {lane_of[plan]} too", plan)
            if plan not in known:
                expected = f"plans of the settings ({', '.join(sorted(known))})"
                raise _error(path, f"lane.{n}.plans", expected, plan)
            lane_of[plan] = lane.name
    if missing := known - set(lane_of):
        raise _error(path, "lane", f"each plan of the settings in one lane; {min(missing)} is in none", None)
    if (total := math.fsum(lane.floor for lane in lanes)) > 1 + 1e-9:
        raise _error(path, "lane", "floors that sum to 1 at most", total)


def _number(row: dict[str, Any], key: str, default: float) -> float:
    """Return a number of the table; NaN, which is in no range, where the value is no finite number."""
    value = row.get(key, default)
    is_number = isinstance(value, int | float) and not isinstance(value, bool) and math.isfinite(value)
    return float(value) if is_number else math.nan


def _error(path: str, key: str, expected: str, got: object) -> OperatorsError:
    return OperatorsError(f"{path}: lanes.{key}: expected {expected}, got {got!r:.60}")
