"""A bundled scenario finds a limiter that breaks its rule, and passes the unchanged limiter on the same seeds."""

from __future__ import annotations

import pytest

from cypresspulley.rehearsal.judge import judge
from cypresspulley.rehearsal.rules import RULES
from cypresspulley.rehearsal.scenario import Scenario, load_scenario
from cypresspulley.rehearsal.virtual.play import play_virtual
from tests.explore.mutants import MUTANTS, applied

# The mutant, the scenario that shows it, the rule that it breaks, and the seconds of the scenario that are run.
ROWS = (
    ("every server taken for a long-running one", "rolling-release", RULES[3], 11.0),
    ("every class taken for safe to repeat", "killed-mid-handover", RULES[1], 10.0),
)
SEEDS = (8, 424242)


def first_seconds(name: str, seconds: float) -> Scenario:
    """The first seconds of a bundled scenario."""
    whole = load_scenario(name)
    faults = tuple(fault for fault in whole.faults if fault.at < seconds)
    return whole.model_copy(update={"seconds": seconds, "faults": faults})


@pytest.mark.long
@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize(("name", "day", "rule", "seconds"), ROWS, ids=lambda part: str(part))
def test_the_day_convicts_the_mutant_and_acquits_the_right_one(
    name: str, day: str, rule: str, seconds: float, seed: int
) -> None:
    scenario, mutant = first_seconds(day, seconds), next(m for m in MUTANTS if m.name == name)
    with applied(mutant):
        broken = judge(play_virtual(scenario, seed))
    assert [row.rule for row in broken.rules if not row.kept] == [rule] and not broken.void
    right = judge(play_virtual(scenario, seed))
    assert right.kept and not right.void and not right.crash
