"""Scenarios and plans: shipped scenarios are valid, errors name the key, and one seed gives one plan."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest

from cypresspulley.rehearsal.plan import draw_plan, request_id, sample_work
from cypresspulley.rehearsal.scenario import (
    FAULT_KEYS,
    FLEET_KINDS,
    PLAN_BOOK_KINDS,
    ScenarioError,
    load_scenario,
    shipped_scenarios,
)
from tests.rehearsal.small import small

NAMES = (
    "account-flood", "calm-morning", "config-reload", "fast-errors", "hall-cut", "killed-mid-handover",
    "rolling-release", "server-out-by-hand", "slow-keeper", "stale-return", "upgrade-under-load", "wedding-weekend",
)  # fmt: skip


def test_twelve_scenarios_are_shipped_and_each_stays_in_its_bounds() -> None:
    assert set(NAMES) <= set(shipped_scenarios())
    kinds = set[str]()
    for name in NAMES:
        scenario = load_scenario(name)
        assert scenario.name == name and 10 <= scenario.seconds <= 60
        assert 3 <= scenario.limiters.count <= 8 and 9 <= scenario.fleet.servers <= 17
        kinds |= {fault.kind for fault in scenario.faults}
    drawn_by_explore = {
        k
        for k in FAULT_KEYS
        if k.endswith(("pause", "spoilt", "doubled", "break", "server-slow", "server-move", "server-lies"))
    }
    assert kinds == set(FAULT_KEYS) - {"server-hang"} - drawn_by_explore - PLAN_BOOK_KINDS - FLEET_KINDS


def test_all_that_changes_plans_is_in_a_shipped_day() -> None:
    booked = [scenario for name in shipped_scenarios() if (scenario := load_scenario(name)).uses_plan_book]
    assert {fault.kind for scenario in booked for fault in scenario.faults} >= PLAN_BOOK_KINDS and len(
        booked
    ) == 5


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("name = ", "not readable as TOML"),
        ('name="x"\nabout="y"\n', "seconds: Field required"),
        ('name="x"\nabout="y"\nseconds=0\n', "seconds: Input should be greater than or equal to 1 (got 0)"),
        ('name="x"\nabout="y"\nseconds=5\nspeed=2\n', "speed: Extra inputs are not permitted"),
        (
            'name="x"\nabout="y"\nseconds=5\n[fleet]\nservers="many"\n',
            "fleet.servers: Input should be a valid",
        ),
        (
            'name="x"\nabout="y"\nseconds=5\n[[fault]]\nkind="quake"\nat=1\n',
            "kind 'quake' is none of account",
        ),
        ('name="x"\nabout="y"\nseconds=5\n[[fault]]\nkind="hall-cut"\nat=1\n', "a hall-cut needs lasts"),
        (
            'name="x"\nabout="y"\nseconds=5\n[[fault]]\nkind="keeper-empty"\nat=1\nsize=0.5\n',
            "a keeper-empty has no size; expected none",
        ),
        ('name="x"\nabout="y"\nseconds=5\n[[fault]]\nkind="limiter-kill"\nat=7\n', "fault.0.at: 7.0 is past"),
        (
            'name="x"\nabout="y"\nseconds=5\n[[fault]]\nkind="limiter-kill"\nat=1\ntargets=["limiter-9"]\n',
            "fault.0.targets: 'limiter-9' is none of limiter-0, limiter-1, limiter-2",
        ),
        ('name="x"\nabout="y"\nseconds=5\n[load]\nspread=[3,9]\n', "load.spread: 3..9; expected 1 <= low"),
    ],
)
def test_a_wrong_scenario_is_named_by_file_key_and_expectation(
    tmp_path: Path, text: str, expected: str
) -> None:
    path = tmp_path / "mine.toml"
    path.write_text(text)
    with pytest.raises(ScenarioError) as error:
        load_scenario(str(path))
    assert str(error.value).startswith(str(path)) and expected in str(error.value)


def test_a_name_that_is_nothing_lists_what_there_is() -> None:
    with pytest.raises(ScenarioError, match=r"expected .*calm-morning"):
        load_scenario("no-such-thing")


def test_one_seed_gives_one_plan_in_any_process() -> None:
    text = (
        "from tests.rehearsal.small import small; from cypresspulley.rehearsal.plan import draw_plan;"
        "print(draw_plan(small(), 7).digest(), draw_plan(small(), 8).digest())"
    )
    digests = {
        subprocess.run(
            [sys.executable, "-c", text], env={**os.environ, "PYTHONHASHSEED": seed}, check=True,
            capture_output=True, text=True,
        ).stdout
        for seed in ("1", "2")
    }  # fmt: skip
    here = f"{draw_plan(small(), 7).digest()} {draw_plan(small(), 8).digest()}\n"
    assert digests == {here} and len(set(here.split())) == 2


def test_a_plan_asks_what_the_scenario_says() -> None:
    scenario = small(seconds=60, fault=[])
    plan = draw_plan(scenario, 3)
    assert len({a.number for a in plan.arrivals}) == len(plan.arrivals)
    assert all(0 <= a.t < 60 for a in plan.arrivals)
    assert len(plan.arrivals) / 60 == pytest.approx(scenario.load.inside, rel=0.2)
    looks = sum(a.cls == "look" for a in plan.arrivals) / len(plan.arrivals)
    assert looks == pytest.approx(0.6, abs=0.05)
    works = [sample_work(3, request_id(3, n, 0), scenario.classes[0]) for n in range(4000)]
    assert sum(works) / len(works) == pytest.approx(0.02, rel=0.08)


def test_a_flood_comes_from_accounts_that_ask_once() -> None:
    fault = [{"kind": "account-flood", "at": 1, "lasts": 2, "size": 1.0}]
    calm, flooded = draw_plan(small(fault=[]), 4), draw_plan(small(fault=fault), 4)
    known = {a.account for a in calm.arrivals}
    extra = [a for a in flooded.arrivals if a.account not in known]
    assert len(extra) == len({a.account for a in extra}) > 40
    assert all(1 <= a.t < 3 for a in extra)
