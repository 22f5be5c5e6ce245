"""The operators' table [lanes]: the options read from it, and errors that name file, key and expectation."""

from __future__ import annotations

import tomllib
from typing import Any

import pytest

from cypresspulley import interface as api
from cypresspulley.lanes import options
from cypresspulley.operators import OperatorsError
from tests.world import settings

PLANS = (api.Plan("chain"), api.Plan("business"), api.Plan("standard"), api.Plan("guesthouse"))
SETTINGS = settings(plans=PLANS)


def example() -> dict[str, Any]:
    """Return the table of the module's docstring, which operators copy."""
    lines = [line[4:] for line in (options.__doc__ or "").splitlines() if line.startswith("    ")]
    table: dict[str, Any] = tomllib.loads("\n".join(lines))["lanes"]
    return table


def test_the_example_of_the_docstring_is_taken() -> None:
    parsed = options.options_from(example(), "lanes.toml", SETTINGS)
    assert [lane.name for lane in parsed.lanes] == ["premium", "standard", "guest"]
    assert (parsed.period_seconds, parsed.rotation_seconds, parsed.lease_seconds) == (0.5, 20.0, 5.0)
    assert [parsed.lane_of(plan) for plan in ("business", "standard", "guesthouse", "unheard")] == [
        0,
        1,
        2,
        2,
    ]
    assert [lane.floor_rate(40.0) for lane in parsed.lanes] == [20.0, 4.0, 2.0]


def test_defaults() -> None:
    table = {key: value for key, value in example().items() if key == "lane"}
    parsed = options.options_from(table, "lanes.toml", SETTINGS)
    assert (parsed.period_seconds, parsed.rotation_seconds, parsed.lease_seconds) == (0.5, 20.0, 5.0)


def _change_lane(table: dict[str, Any], number: int, **changes: object) -> None:
    table["lane"][number] |= changes


@pytest.mark.parametrize(
    ("change", "said"),
    [
        (lambda t: t.update(speed=1), "lanes.speed: unknown; expected period_ms"),
        (lambda t: t.update(period_ms=99), "lanes.period_ms: expected whole milliseconds from 100 to 5000"),
        (lambda t: t.update(period_ms=True), "lanes.period_ms: expected"),
        (lambda t: t.update(spell_s="long"), "lanes.spell_s: expected seconds from 1 to 600, got 'long'"),
        (lambda t: t.update(period_ms=5000, spell_s=9), "lanes.spell_s: expected at least two periods"),
        (lambda t: t.update(lease_s=float("inf")), "lanes.lease_s: expected seconds from 1 to 600, got inf"),
        (lambda t: t.pop("lane"), "lanes.lane: expected 2 to 6 tables"),
        (lambda t: t.update(lane=t["lane"][:1]), "lanes.lane: expected 2 to 6 tables"),
        (lambda t: t["lane"].append(7), "lanes.lane.3: expected a table, got 7"),
        (lambda t: _change_lane(t, 1, colour="red"), "lanes.lane.1.colour: unknown; expected name, plans"),
        (lambda t: _change_lane(t, 1, name="a b"), "lanes.lane.1.name: expected a name"),
        (
            lambda t: _change_lane(t, 1, name="premium"),
            "lanes.lane.1.name: expected each name once, got 'premium'",
        ),
        (lambda t: _change_lane(t, 1, plans=[]), "lanes.lane.1.plans: expected a list of names of plans"),
        (
            lambda t: _change_lane(t, 1, plans=["chain"]),
            "lanes.lane.1.plans: expected each plan once; it is in pre",
        ),
        (
            lambda t: _change_lane(t, 1, plans=["gold"]),
            "lanes.lane.1.plans: expected plans of the settings (busin",
        ),
        (
            lambda t: _change_lane(t, 0, plans=["chain"]),
            "lanes.lane: expected each plan of the settings in one la",
        ),
        (
            lambda t: _change_lane(t, 1, floor=1.5),
            "lanes.lane.1.floor: expected a share from 0 to 1, got 1.5",
        ),
        (
            lambda t: _change_lane(t, 1, floor=0.6),
            "lanes.lane: expected floors that sum to 1 at most, got 1.1",
        ),
        (
            lambda t: _change_lane(t, 1, floor_units=1),
            "lanes.lane.1.floor_units: expected either this or floor",
        ),
        (lambda t: _change_lane(t, 2, floor_units=-1), "lanes.lane.2.floor_units: expected units a second"),
    ],
)
def test_what_is_wrong_is_named(change: Any, said: str) -> None:
    table = example()
    change(table)
    with pytest.raises(OperatorsError) as error:
        options.options_from(table, "lanes.toml", SETTINGS)
    assert str(error.value).startswith(f"lanes.toml: {said}")
