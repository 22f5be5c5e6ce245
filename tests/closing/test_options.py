"""The table and the calendar file: valid as a whole or rejected, with file, key and expectation in the error."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cypresspulley.closing.options import calendar_from, load_calendar, options_from
from cypresspulley.operators import OperatorsError
from tests.loopback import SETTINGS

EXAMPLE = Path(__file__).parents[2] / "examples" / "calendars" / "two-places.toml"
TABLE: dict[str, Any] = {"calendars": EXAMPLE.name, "keep": ["lookup"]}


def test_the_example_is_read_with_the_numbers_that_stand_for_missing_ones() -> None:
    options = options_from(TABLE, str(EXAMPLE.parent / "operators.toml"), SETTINGS)
    assert options.calendar.version == 7 and set(options.calendar.places) == {"vadodara", "halifax"}
    assert (options.clock_bound, options.lease_seconds, options.cached_classes) == (
        0.25,
        8.0,
        frozenset({"lookup"}),
    )


@pytest.mark.parametrize(
    ("change", "key"),
    [
        (
            {"keep": ["post"]},
            "closing.keep: expected a list of classes that are safe to repeat, out of lookup",
        ),
        ({"keep": []}, "closing.keep"),
        ({"calendars": 3}, "closing.calendars: expected the path"),
        ({"lease_ms": 10}, "closing.lease_ms: expected a whole number from 500 to 60000, got 10"),
        ({"lease_ms": True}, "closing.lease_ms"),
        ({"colour": 1}, "closing.colour: unknown"),
    ],
)
def test_a_wrong_table_is_named(change: dict[str, Any], key: str) -> None:
    path = str(EXAMPLE.parent / "operators.toml")
    with pytest.raises(OperatorsError) as error:
        options_from(TABLE | change, path, SETTINGS)
    assert str(error.value).startswith(f"{path}: ") and key in str(error.value)


GOOD = """
version = 3
in_force = 2026-12-01T00:00:00Z
[places.v]
zone = "Asia/Kolkata"
weekdays = { mon = "18:00" }
special = { 2026-12-24 = "14:00" }
changes = [{ date = 2026-12-02, closes = "16:30" }]
[accounts]
00000000b4d65521 = "v"
"""


@pytest.mark.parametrize(
    ("old", "new", "expected"),
    [
        ("version = 3", "version = 0", "version: expected a whole number from 1"),
        ("00:00:00Z", "00:00:00", "in_force: expected a date and time with its offset"),
        (
            "Asia/Kolkata",
            "Asia/Atlantis",
            "places.v.zone: expected a time zone such as Asia/Kolkata, got 'Asia/Atl",
        ),
        ("mon =", "mo =", "places.v.weekdays.mo: unknown; expected mon"),
        ('"18:00"', '"24:00"', "places.v.weekdays.mon: expected local times"),
        ("2026-12-24", "2026-12-41", "places.v.special.2026-12-41: expected a date"),
        (', closes = "16:30"', "", "places.v.changes[0].closes: expected local times"),
        ('= "v"', '= "w"', "accounts.00000000b4d65521: expected one of the places v, got 'w'"),
        ("00000000b4d65521", "00000002b4d65521", "accounts.00000002b4d65521: expected 16 hex digits"),
        ("[accounts]", "[acounts]", "acounts: unknown; expected version"),
        ("[places.v]", "[places.v", "not readable as TOML"),
    ],
)
def test_a_calendar_with_an_error_is_refused_whole(tmp_path: Path, old: str, new: str, expected: str) -> None:
    path = tmp_path / "calendar.toml"
    path.write_text(GOOD)
    assert load_calendar(str(path)).version == 3
    assert old in GOOD
    path.write_text(GOOD.replace(old, new, 1))
    with pytest.raises(OperatorsError) as error:
        load_calendar(str(path))
    assert str(error.value).startswith(f"{path}: ") and expected in str(error.value)


def test_a_file_that_is_too_large_or_not_there_is_named(tmp_path: Path) -> None:
    path = tmp_path / "calendar.toml"
    with pytest.raises(OperatorsError, match="not readable"):
        load_calendar(str(path))
    path.write_text("#" * (1 << 20) + "\n#")
    with pytest.raises(OperatorsError, match="at most 1048576 bytes"):
        load_calendar(str(path))


VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.text(max_size=12)
    | st.dates()
    | st.datetimes()
    | st.times(),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=8), inner, max_size=3),
    max_leaves=6,
)


@settings(derandomize=True, deadline=None, max_examples=60)
@given(st.data())
def test_whatever_stands_in_a_calendar_it_is_taken_or_named(data: st.DataObject) -> None:
    """Replaces one value anywhere in a valid calendar."""
    raw = tomllib.loads(GOOD)
    owner: Any = raw
    while True:
        key = data.draw(st.sampled_from(sorted(owner) if isinstance(owner, dict) else range(len(owner))))
        if not isinstance(owner[key], dict | list) or not owner[key] or data.draw(st.booleans()):
            break
        owner = owner[key]
    owner[key] = data.draw(VALUES)
    try:
        calendar = calendar_from(raw, "file")
    except OperatorsError as error:
        assert str(error).startswith("file: ")
    else:
        for place in calendar.places:
            calendar.generation(place, calendar.in_force)
