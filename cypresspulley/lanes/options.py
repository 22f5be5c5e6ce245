"""The operators' table ``[lanes]``: checked key by key before anything starts.

    [lanes]
    period_ms = 500          # of rows; 100 to 5000
    spell_s = 20.0           # for which the same accounts give way; 1 to 600
    lease_s = 5.0            # from a limiter's death until its share is free; 1 to 600

    [[lanes.lane]]           # in order: the first gives way last
    name = "premium"
    plans = ["chain", "business"]
    floor = 0.5              # share of what the fleet bears that the others cannot take; 0 to 1, default 0

    [[lanes.lane]]
    name = "standard"
    plans = ["standard"]
    floor = 0.1

    [[lanes.lane]]
    name = "guest"
    plans = ["guesthouse"]
    floor_units = 2.0        # or in units a second over the whole fleet; where the fleet bears less than all
                             # such floors, the first lanes have theirs

Each plan of the settings is in exactly one lane. A plan that comes later, by other settings or a plan book, is in the
last lane until a restart.
"""

from __future__ import annotations

import math
import re
from dataclasses import dataclass
from typing import Any

from cypresspulley import interface as api
from cypresspulley.fleet.records import NAME_PATTERN
from cypresspulley.operators import OperatorsError

MOST_LANES = 6  # a row of the fleet's view has room for no more
PERIODS = (100, 5_000)  # ms
SPANS = (1.0, 600.0)  # seconds, of spells and leases
MOST_FLOOR = 1e6  # units a second
PERIOD = 500  # ms, where the table does not say
SPELL = 20.0  # seconds, where the table does not say
LEASE = 5.0  # seconds, where the table does not say
KEYS = ("period_ms", "spell_s", "lease_s", "lane")
LANE_KEYS = ("name", "plans", "floor", "floor_units")


@dataclass(frozen=True, slots=True)
class Lane:
    """``floor``: share of what the fleet bears, 0 to 1; ``floor_units``: units a second. One of both is 0."""

    name: str
    plans: tuple[str, ...]
    floor: float = 0.0
    floor_units: float = 0.0

    def kept(self, bears: float) -> float:
        """Units a second that the other lanes cannot take where the fleet bears so many."""
        return min(bears, self.floor * bears + self.floor_units)


@dataclass(frozen=True, slots=True)
class LanesOptions:
    """``lanes`` in order, the premium first; ``period``, ``spell`` and ``lease`` in seconds."""

    lanes: tuple[Lane, ...]
    period: float = PERIOD / 1000
    spell: float = SPELL
    lease: float = LEASE

    def lane_of(self, plan: str) -> int:
        """The number of a plan's lane; the last one for a plan that no lane names."""
        return next((n for n, lane in enumerate(self.lanes) if plan in lane.plans), len(self.lanes) - 1)


def options_from(table: dict[str, Any], path: str, settings: api.Settings) -> LanesOptions:
    """The table as options; ``OperatorsError`` names file, key and what was expected."""
    if extra := set(table) - set(KEYS):
        raise OperatorsError(f"{path}: lanes.{min(extra)}: unknown; expected {', '.join(KEYS)}")
    period = table.get("period_ms", PERIOD)
    if not isinstance(period, int) or isinstance(period, bool) or not PERIODS[0] <= period <= PERIODS[1]:
        raise _wrong(path, "period_ms", f"whole milliseconds from {PERIODS[0]} to {PERIODS[1]}", period)
    spans = {}
    for key, missing in (("spell_s", SPELL), ("lease_s", LEASE)):
        spans[key] = _number(table, key, missing)
        if not SPANS[0] <= spans[key] <= SPANS[1]:
            raise _wrong(path, key, f"seconds from {SPANS[0]:g} to {SPANS[1]:g}", table.get(key))
    if spans["spell_s"] < 2 * period / 1000:
        raise _wrong(path, "spell_s", "at least two periods", table.get("spell_s", SPELL))
    rows = table.get("lane")
    if not isinstance(rows, list) or not 2 <= len(rows) <= MOST_LANES:
        raise _wrong(path, "lane", f"2 to {MOST_LANES} tables [[lanes.lane]]", rows)
    lanes = tuple(_lane(row, path, f"lane.{n}") for n, row in enumerate(rows))
    _check_together(lanes, path, settings)
    return LanesOptions(lanes, period / 1000, spans["spell_s"], spans["lease_s"])


def _lane(row: Any, path: str, place: str) -> Lane:
    if not isinstance(row, dict):
        raise _wrong(path, place, "a table", row)
    if extra := set(row) - set(LANE_KEYS):
        raise OperatorsError(f"{path}: lanes.{place}.{min(extra)}: unknown; expected {', '.join(LANE_KEYS)}")
    name, plans = row.get("name"), row.get("plans")
    if not isinstance(name, str) or not re.fullmatch(NAME_PATTERN, name):
        raise _wrong(path, f"{place}.name", "a name of at most 40 letters, digits, dots and dashes", name)
    if not isinstance(plans, list) or not plans or not all(isinstance(plan, str) for plan in plans):
        raise _wrong(path, f"{place}.plans", "a list of names of plans", plans)
    if "floor" in row and "floor_units" in row:
        raise _wrong(path, f"{place}.floor_units", "either this or floor", row["floor_units"])
    floor, units = _number(row, "floor", 0.0), _number(row, "floor_units", 0.0)
    if not 0 <= floor <= 1:
        raise _wrong(path, f"{place}.floor", "a share from 0 to 1", row.get("floor"))
    if not 0 <= units <= MOST_FLOOR:
        raise _wrong(path, f"{place}.floor_units", "units a second, 0 or more", row.get("floor_units"))
    return Lane(name, tuple(plans), floor, units)


def _check_together(lanes: tuple[Lane, ...], path: str, settings: api.Settings) -> None:
    """What holds over all lanes: names and plans once each, every plan somewhere, floors that fit."""
    known = {plan.name for plan in settings.plans}
    names, placed = set[str](), dict[str, str]()
    for n, lane in enumerate(lanes):
        if lane.name in names:
            raise _wrong(path, f"lane.{n}.name", "each name once", lane.name)
        names.add(lane.name)
        for plan in lane.plans:
            if plan in placed:
                raise _wrong(path, f"lane.{n}.plans", f"each plan once; it is in {placed[plan]} too", plan)
            if plan not in known:
                expected = f"plans of the settings ({', '.join(sorted(known))})"
                raise _wrong(path, f"lane.{n}.plans", expected, plan)
            placed[plan] = lane.name
    if missing := known - set(placed):
        raise _wrong(path, "lane", f"each plan of the settings in one lane; {min(missing)} is in none", None)
    if (total := math.fsum(lane.floor for lane in lanes)) > 1 + 1e-9:
        raise _wrong(path, "lane", "floors that sum to 1 at most", total)


def _number(row: dict[str, Any], key: str, missing: float) -> float:
    """NaN, which is in no range, for what is no number."""
    value = row.get(key, missing)
    fits = isinstance(value, int | float) and not isinstance(value, bool) and math.isfinite(value)
    return float(value) if fits else math.nan


def _wrong(path: str, key: str, expected: str, got: object) -> OperatorsError:
    return OperatorsError(f"{path}: lanes.{key}: expected {expected}, got {got!r:.60}")
