"""Closings and their ordinals: daylight saving time, holidays, changes; compared with a search by UTC offset."""

from __future__ import annotations

from datetime import UTC, date, datetime, time, timedelta
from zoneinfo import ZoneInfo

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cypresspulley.closing.calendar import (
    GENERATIONS_PER_VERSION,
    MAX_TIMELINE_DAYS,
    Calendar,
    Place,
    Timeline,
    load_zone,
)

NEVER: tuple[tuple[time, ...], ...] = ((),) * 7


def daily(*times: time) -> tuple[tuple[time, ...], ...]:
    return (times,) * 7


def at(text: str) -> float:
    return datetime.fromisoformat(text).timestamp()


def closings(place: Place, begin: str, end: str) -> list[str]:
    line = Timeline(place, at(begin) - 86_400)
    found = line.closings_between(at(begin), at(end))
    return [f"{datetime.fromtimestamp(instant, UTC):%m-%d %H:%M}" for _, instant in found]


def test_an_hour_that_comes_twice_closes_once_at_its_first_occurrence() -> None:
    place = Place("h", "America/New_York", daily(time(1, 30)))
    assert closings(place, "2026-11-01T00:00Z", "2026-11-03T00:00Z") == ["11-01 05:30", "11-02 06:30"]


def test_an_hour_that_is_skipped_closes_as_long_after_the_change() -> None:
    place = Place("h", "America/New_York", daily(time(2, 30)))
    assert closings(place, "2026-03-08T00:00Z", "2026-03-10T00:00Z") == ["03-08 07:30", "03-09 06:30"]


def test_two_closings_that_a_change_of_clocks_puts_on_one_instant_are_one() -> None:
    place = Place("h", "America/New_York", daily(time(2, 30), time(3, 30)))
    assert closings(place, "2026-03-08T00:00Z", "2026-03-09T00:00Z") == ["03-08 07:30"]


def test_a_zone_that_left_out_a_day_keeps_its_closings_in_order() -> None:
    place = Place("apia", "Pacific/Apia", daily(time(18), time(23)))
    line = Timeline(place, at("2011-12-20T00:00Z"))
    found = [
        instant for _, instant in line.closings_between(at("2011-12-29T00:00Z"), at("2012-01-02T00:00Z"))
    ]
    assert found == sorted(set(found)) and len(found) == 8


def test_changes_hold_over_special_days_over_holidays_over_weekdays() -> None:
    christmas, eve, next_day = date(2026, 12, 25), date(2026, 12, 24), date(2026, 12, 26)
    place = Place(
        "v", "Asia/Kolkata", daily(time(18)), frozenset({christmas, next_day, eve}),
        {eve: (time(14),), next_day: (time(15),)}, {next_day: (time(12),)},
    )  # fmt: skip
    assert place.closing_times(date(2026, 12, 23)) == (time(18),)
    assert place.closing_times(christmas) == () and place.closing_times(eve) == (time(14),)
    assert place.closing_times(next_day) == (time(12),)


def test_two_zones_may_close_at_one_instant() -> None:
    places = [Place("v", "Asia/Kolkata", daily(time(18, 30))), Place("l", "Europe/Lisbon", daily(time(13)))]
    assert {str(closings(each, "2026-12-01T00:00Z", "2026-12-02T00:00Z")) for each in places} == {
        "['12-01 13:00']"
    }


def test_near_is_within_the_bound_on_both_sides() -> None:
    line = Timeline(Place("v", "Etc/UTC", daily(time(18))), at("2026-12-01T00:00Z"))
    close = at("2026-12-01T18:00Z")
    told = [line.is_near_closing(close + by, 0.25) for by in (-0.26, -0.25, 0.0, 0.25, 0.26)]
    assert told == [False, True, True, True, False]


def test_generations_grow_with_closings_and_versions() -> None:
    place, begin = Place("v", "Etc/UTC", daily(time(18))), at("2026-12-01T00:00Z")
    old, new = (Calendar(n, begin + n * 86_400, {"v": place}, {}) for n in (1, 2))
    t = begin + 5 * 86_400
    assert old.generation("v", t + 86_400) == old.generation("v", t) + 1
    assert (
        new.generation("v", t) > old.generation("v", t + 300 * 86_400)
        and GENERATIONS_PER_VERSION > MAX_TIMELINE_DAYS * 8
    )


def test_an_instant_beyond_all_days_has_no_ordinal() -> None:
    line = Timeline(Place("v", "Etc/UTC", NEVER), 0.0)
    with pytest.raises(ValueError, match="beyond"):
        line.ordinal((MAX_TIMELINE_DAYS + 10) * 86_400.0)


def test_zones_are_the_packages_own() -> None:
    for bad in (
        "",
        "../etc/passwd",
        "Asia/Nowhere",
        "Asia",
        "/etc/localtime",
        ".",
        "Asia/Kolkata/x",
        "a" * 99,
        "zone.tab",
    ):
        with pytest.raises(ValueError, match="no time zone"):
            load_zone(bad)
    assert load_zone("Asia/Kolkata").key == "Asia/Kolkata"


ZONES = ("Asia/Kolkata", "America/New_York", "Australia/Lord_Howe", "Europe/Lisbon", "Africa/Casablanca")
SECONDS = st.integers(0, 86_399).map(lambda n: (datetime(2026, 1, 1) + timedelta(seconds=n)).time())
DAYS = st.dates(date(2026, 3, 1), date(2026, 4, 10))


@st.composite
def some_places(draw: st.DrawFn) -> Place:
    times = st.lists(SECONDS, max_size=3).map(lambda found: tuple(sorted(set(found))))
    week = tuple(draw(times) for _ in range(7))
    special = draw(st.dictionaries(DAYS, times, max_size=4))
    changes = draw(st.dictionaries(DAYS, times, max_size=4))
    return Place(
        "p", draw(st.sampled_from(ZONES)), week, frozenset(draw(st.sets(DAYS, max_size=4))), special, changes
    )


def brute(place: Place, begin: int, end: int) -> list[int]:
    """Finds the closings by trying every UTC offset in use around each local closing time; the first match counts."""
    zone = ZoneInfo(place.zone)
    found = set[int]()
    day = datetime.fromtimestamp(begin, UTC).date() - timedelta(days=3)
    while day <= datetime.fromtimestamp(end, UTC).date() + timedelta(days=3):
        for wanted in place.closing_times(day):
            local = datetime.combine(day, wanted)
            guess = int(local.replace(tzinfo=UTC).timestamp())
            hits = [
                instant
                for offset in sorted({_offset(zone, guess + h * 3600) for h in range(-30, 31)}, reverse=True)
                if datetime.fromtimestamp(instant := guess - offset, zone).replace(tzinfo=None) == local
            ]
            # A skipped local time: read with the offset from before the change.
            found.add(min(hits) if hits else guess - _offset(zone, guess - 30 * 3600))
        day += timedelta(days=1)
    return sorted(each for each in found if begin < each <= end)


def _offset(zone: ZoneInfo, instant: int) -> int:
    offset = datetime.fromtimestamp(instant, zone).utcoffset()
    assert offset is not None
    return int(offset.total_seconds())


@settings(derandomize=True, max_examples=40, deadline=None)
@given(some_places())
def test_ordinals_only_grow_and_agree_with_looking_one_by_one(place: Place) -> None:
    begin, end = int(at("2026-03-27T00:00Z")), int(at("2026-04-08T00:00Z"))
    line = Timeline(place, begin)
    wanted = brute(place, begin, end)
    assert [instant for _, instant in line.closings_between(begin, end)] == wanted
    first, last = line.ordinal(begin), -1
    for count, instant in enumerate(wanted, 1):
        assert line.ordinal(instant) == first + count > last
        assert line.ordinal(instant - 1) == (
            last if last >= 0 and wanted[count - 2] == instant - 1 else first + count - 1
        )
        last = first + count
