"""The search gives the same result for any number of processes, favours unmet pairs, and shrinks failures to scenarios
that reproduce them.
"""

from __future__ import annotations

import json
import subprocess
import sys
from dataclasses import replace
from pathlib import Path

import pytest
import tomli_w
from click.testing import CliRunner

from cypresspulley.cli import main
from cypresspulley.explore.coverage import UNMET_WEIGHT, Coverage
from cypresspulley.explore.examine import Failure, PlayResult, examine
from cypresspulley.explore.lifecycle import TRANSITIONS
from cypresspulley.explore.schedule import FAULT_KINDS, draw_scenario, drawable_kinds, scale_down, to_raw
from cypresspulley.explore.search import SearchOptions, search, write_scenario
from cypresspulley.explore.shrink import shrink
from cypresspulley.rehearsal import records as log
from cypresspulley.rehearsal.judge import judge
from cypresspulley.rehearsal.plan import draw_plan
from cypresspulley.rehearsal.scenario import Scenario, load_scenario, parse_scenario, shipped_scenarios
from cypresspulley.rehearsal.virtual.play import digest, play_virtual
from tests.explore.mutants import MUTANTS, Mutant, applied, scenario_of
from tests.rehearsal.small import small

EQUAL_WEIGHTS = dict.fromkeys(FAULT_KINDS, 1.0)
# Scenarios and seeds that CI plays with every check.
FIXED_SEEDS = [
    (name, seed)
    for name in sorted(shipped_scenarios())
    for seed in range(6 if load_scenario(name).together is None else 2)  # cooperating limiters play slower
    if not load_scenario(name).on_sockets_only
]


@pytest.mark.parametrize(("name", "seed"), FIXED_SEEDS)
def test_a_fixed_list_of_seeds_shows_nothing(name: str, seed: int) -> None:
    scenario = load_scenario(name)
    kinds = dict.fromkeys(drawable_kinds(scenario), 1.0)
    drawn = draw_scenario(scale_down(scenario, 3.0, 15.0), seed, kinds)
    assert examine(drawn).failures == ()


@pytest.mark.parametrize("mutant", MUTANTS, ids=lambda m: m.name)
def test_a_mutant_is_found_where_the_right_limiter_is_acquitted(mutant: Mutant) -> None:
    base = scale_down(scenario_of(mutant), 6.0, mutant.inside)
    scenario = draw_scenario(base, mutant.shown_by, EQUAL_WEIGHTS)
    with applied(mutant):
        played = examine(scenario)
    assert any(failure.category in mutant.categories for failure in played.failures), played.failures
    assert examine(scenario).failures == ()


def test_the_days_do_not_depend_on_the_number_of_processes(tmp_path: Path) -> None:
    scenario, report = tmp_path / "small.toml", tmp_path / "two.json"
    scenario.write_text(tomli_w.dumps(to_raw(small())))
    # Runs in a separate process, so that the helper processes that Python starts for a pool end with it.
    options = ["--seeds", "6", "--seconds", "1.5", "--inside", "10", "--jobs", "2", "--out", str(tmp_path)]
    command = [
        sys.executable,
        "-m",
        "cypresspulley.cli",
        "explore",
        str(scenario),
        *options,
        "--json",
        str(report),
    ]
    subprocess.run(command, check=True, capture_output=True, timeout=60)
    one = search(small(), SearchOptions(seeds=6, seconds=1.5, inside=10.0))
    two = json.loads(report.read_text())[0]
    assert two["coverage"]["met"] == one.coverage.as_json()["met"] and two["tries"] == one.tries > 0
    assert one.seeds == 6 and one.coverage.unlisted_transitions() == []


def test_kinds_that_met_little_are_drawn_more_often() -> None:
    coverage = Coverage(("a", "b"))
    coverage.add([((name, "a"), 1) for name in TRANSITIONS])
    assert coverage.weights() == {"a": 1.0, "b": 1.0 + UNMET_WEIGHT}
    assert coverage.unmet_pairs() == [(name, "b") for name in TRANSITIONS]


def test_a_drawn_day_says_all_that_it_plays(tmp_path: Path) -> None:
    drawn = draw_scenario(scale_down(load_scenario("wedding-weekend"), 2.0, 10.0), 7, EQUAL_WEIGHTS)
    again = parse_scenario(to_raw(drawn), "again")
    assert again == drawn and draw_plan(again, again.seed).digest() == draw_plan(drawn, drawn.seed).digest()
    assert digest(play_virtual(again, 7)) == digest(play_virtual(drawn, 7))


def _play_failing_on_kill(scenario: Scenario) -> PlayResult:
    """Returns a result that fails if the second limiter is killed."""
    is_killed = any(f.kind == "limiter-kill" and "limiter-1" in f.targets for f in scenario.faults)
    return PlayResult(scenario.seed, (Failure("made up", "x"),) if is_killed else (), (), "")


def test_shrinking_keeps_what_the_find_needs_and_drops_the_rest() -> None:
    kill = {"kind": "limiter-kill", "at": 1.0, "targets": ["limiter-0", "limiter-1"]}
    other = [{"kind": "keeper-stop", "at": t / 2, "lasts": 1} for t in range(5)]
    scenario = small(fault=[*other, kill, *other])
    smallest, plays = shrink(scenario, lambda s: _play_failing_on_kill(s).has_failure("made up"))
    assert [f.kind for f in smallest.faults] == ["limiter-kill"] and smallest.limiters.count == 2
    assert smallest.load.inside < 4 and 1.0 < smallest.seconds < 2 and plays <= 150
    assert shrink(scenario, lambda s: True, plays=3)[1] == 3


def test_a_find_is_written_so_that_it_plays_again(tmp_path: Path) -> None:
    mutant = next(m for m in MUTANTS if m.name == "a timer not cancelled")
    with applied(mutant):
        result = search(small(), SearchOptions(seeds=2, seconds=2.0, inside=10.0))
        found = result.found[0]
        assert found.failure.category == "leak" and len(found.scenario.faults) == 0
        path = write_scenario(found, tmp_path)
        run = CliRunner().invoke(main, ["explore", str(path), "--again"])
        assert run.exit_code == 1 and "leak:" in run.output
    run = CliRunner().invoke(main, ["explore", str(path), "--again"])
    assert run.exit_code == 0 and "nothing found" in run.output


def test_the_command_searches_writes_and_says_what_is_wrong(tmp_path: Path) -> None:
    arguments = [
        "explore",
        "calm-morning",
        "--seeds",
        "2",
        "--seconds",
        "1",
        "--inside",
        "5",
        "--out",
        str(tmp_path),
    ]
    picture, report = tmp_path / "c.png", tmp_path / "r.json"
    run = CliRunner().invoke(main, [*arguments, "--png", str(picture), "--json", str(report)])
    assert run.exit_code == 0, run.output
    assert picture.read_bytes().startswith(b"\x89PNG") and '"pairs_met"' in report.read_text()
    assert "nothing found" in run.output and "never met" in run.output
    assert CliRunner().invoke(main, ["explore", "no-such"]).exit_code == 2
    assert CliRunner().invoke(main, ["explore", "calm-morning", "--json", "/nowhere/x"]).exit_code == 2


def test_a_kill_at_a_write_strikes_at_that_write() -> None:
    """A kill at each of a limiter's first writes: what was written before arrives, and nothing after it does."""
    for after in range(1, 12):
        kill = {"kind": "limiter-kill", "at": 0.0, "targets": ["limiter-0"], "when": "write", "after": after}
        records = play_virtual(small(seconds=2, fault=[{**kill, "back_after": 0.2}]), 5)
        killed = [r for r in records if isinstance(r, log.LimiterState) and r.what == "killed"]
        verdict = judge(records)
        assert len(killed) == 1 and verdict.kept and not verdict.void, after


def test_an_hour_asleep_ends_no_rule_and_no_limiter() -> None:
    """A limiter is paused for an hour with requests in flight; once resumed it answers them and serves new ones."""
    scenario = small(
        seconds=5, fault=[{"kind": "limiter-pause", "at": 2.0, "lasts": 3, "targets": ["limiter-0"]}]
    )
    plan = draw_plan(scenario, 3)
    late = [replace(a, t=a.t + 3600.0, number=a.number + 100_000) for a in plan.arrivals]
    faults = [replace(f, until=f.at + 3600.0) for f in plan.faults]
    long = scenario.model_copy(update={"seconds": 3606.0})
    records = play_virtual(long, 3, replace(plan, arrivals=(*plan.arrivals, *late), faults=tuple(faults)))
    verdict = judge(records)
    assert verdict.kept and not verdict.void and not verdict.crash
    sent = {r.id for r in records if isinstance(r, log.Sent) and r.limiter == "limiter-0" and r.t > 3603.0}
    served = {r.id for r in records if isinstance(r, log.Answered) and r.status == 200}
    assert sent and len(sent & served) > 0.8 * len(sent)
