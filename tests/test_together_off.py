"""Tests that the fleet services are off and not imported by default, and that wrong tables are refused in one line."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

from cypresspulley.closing.options import options_from as closing_options
from cypresspulley.fleet.options import options_from as fleet_options
from cypresspulley.lanes.options import options_from as lanes_options
from cypresspulley.operators import OperatorsError, load_operators
from cypresspulley.rehearsal.limiters import wire_settings
from cypresspulley.rehearsal.scenario import load_scenario
from cypresspulley.settings import parse_settings

FLEET_SERVICES = ("fleet", "lanes", "closing", "histories", "together")
# Only the fleet services need these modules; a start without the services must not import them.
LIBRARIES = ("msgspec", "cachetools", "tzdata", "zoneinfo")


def test_off_nothing_of_it_is_imported() -> None:
    asked = "import sys, cypresspulley.__main__; print(*sys.modules)"
    loaded = subprocess.run([sys.executable, "-c", asked], capture_output=True, text=True, check=True)
    found = {name.removeprefix("cypresspulley.").split(".")[0] for name in loaded.stdout.split()}
    assert not found & {*FLEET_SERVICES, *LIBRARIES}


@pytest.mark.parametrize("table", ["lanes", "closing", "history"])
def test_a_table_without_the_fleet_it_goes_by_is_refused(tmp_path: Path, table: str) -> None:
    file = tmp_path / "operators.toml"
    file.write_text(f'[{table}]\npath = "history.jsonl"\n')
    with pytest.raises(OperatorsError, match=rf"operators\.toml: {table}: expected \[fleet\] beside it"):
        load_operators(str(file))


def test_the_tables_reach_the_tools_that_check_them(tmp_path: Path) -> None:
    file = tmp_path / "operators.toml"
    file.write_text('[fleet]\nlisten = "127.0.0.1:1"\n[history]\npath = "of-{name}-{life}.jsonl"\n')
    operators = load_operators(str(file))
    assert operators.fleet == (str(file), {"listen": "127.0.0.1:1"})
    assert operators.history == "of-limiter-{life}.jsonl"
    assert operators.lanes is None and operators.closing is None


def test_the_shipped_file_is_one_that_limiters_take() -> None:
    shipped = Path(__file__).parent.parent / "deploy" / "together.toml"
    operators = load_operators(str(shipped))
    scenario = load_scenario("wedding-weekend")
    settings = parse_settings(wire_settings(scenario, 0, scenario.fleet.halls[0]))
    assert operators.fleet and operators.lanes and operators.closing and operators.history
    assert fleet_options(operators.fleet[1], str(shipped), "k" * 16).installation == "vadodara"
    lanes = lanes_options(operators.lanes[1], str(shipped), settings).lanes
    assert [lane.name for lane in lanes] == ["premium", "standard", "guest"]
    assert closing_options(operators.closing[1], str(shipped), settings).cached_classes == {"bag-lookup"}
