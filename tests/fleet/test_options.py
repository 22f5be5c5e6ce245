"""Errors of the operators' table ``[fleet]`` name the key and the expected value."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

from cypresspulley.fleet.options import options_from
from cypresspulley.operators import OperatorsError, load_operators

KEY = "a key of the tests only"
TABLE: dict[str, Any] = {"installation": "vadodara", "listen": "127.0.0.1:8700", "seeds": ["127.0.0.1:8700"]}
SEEDS = "a list of at most 4096 addresses host:port"
PERIOD = "whole milliseconds from 50 to 10000"


ADDRESS = "an address host:port"
WRONG: tuple[tuple[str, str, list[object]], ...] = (
    ("seeds", SEEDS, [None, "127.0.0.1:8700", 3, {}, [3], [None], [""], ["here"], [*TABLE["seeds"], ":1"]]),
    ("seeds", SEEDS, [["127.0.0.1:99999"], ["127.0.0.1:0"], ["127.0.0.1:-1"]]),
    ("period_ms", PERIOD, [0, -500, 49, 10_001, 10**400, 500.0, "500", True, float("nan"), float("inf")]),
    ("listen", ADDRESS, [None, 8700, "8700", "127.0.0.1:0", ""]),
    ("advertise", ADDRESS, [8700, "127.0.0.1:-1"]),
    ("installation", "a name of at most 40", [None, "", 3, "a b", "x" * 41]),
)


@pytest.mark.parametrize(
    ("key", "expected", "value"),
    [(key, expected, value) for key, expected, values in WRONG for value in values],
)
def test_what_no_fleet_can_go_by_is_named(key: str, expected: str, value: object) -> None:
    with pytest.raises(OperatorsError, match=rf"^operators\.toml: fleet\.{key}: expected {expected}"):
        options_from(TABLE | {key: value}, "operators.toml", KEY)


def test_no_seed_at_all_is_a_fleet_of_one() -> None:
    assert options_from(TABLE | {"seeds": []}, "operators.toml", KEY).seeds == ()


def test_an_unknown_key_and_a_short_secret_are_named() -> None:
    with pytest.raises(OperatorsError, match=r"fleet\.period: unknown; expected installation, "):
        options_from(TABLE | {"period": 500}, "operators.toml", KEY)
    with pytest.raises(OperatorsError, match="FAWNSEAM_FLEET_KEY: expected a key of at least 16 characters"):
        options_from(TABLE, "operators.toml", KEY[:15])


@pytest.mark.parametrize("every", ["0.0", "-1.0", "0.09", "inf", "nan", "1", '"often"'])
def test_a_spell_of_the_tally_that_is_none_is_named(tmp_path: Path, every: str) -> None:
    file = tmp_path / "operators.toml"
    file.write_text(f"[tally]\nevery = {every}\n")
    with pytest.raises(OperatorsError, match=r"operators\.toml: tally\.every: expected "):
        load_operators(str(file))
