"""The judge against deliberately broken limiters, which run as real processes on the same traffic."""

from __future__ import annotations

import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest

from cypresspulley.rehearsal.judge import Verdict, judge
from cypresspulley.rehearsal.records import read_log
from cypresspulley.rehearsal.rules import RULES
from tests.rehearsal.broken import FAULTS

pytestmark = pytest.mark.timed
CONCURRENT_PLAYS = 4  # each is a process with two limiters
MAX_PLAYS = 3  # a run is void and repeated if the harness itself was late
SEED = "5"


def judge_limiter(fault: str, folder: Path) -> Verdict:
    """Plays with this limiter and returns the verdict."""
    for number in range(MAX_PLAYS):
        logs = folder / f"{fault}-{number}"
        line = [sys.executable, "-m", "tests.rehearsal.small", fault, SEED, str(logs)]
        subprocess.run(line, check=True, timeout=60)
        with (logs / "records.jsonl").open() as file:
            verdict = judge(read_log(file, fault))
        if not verdict.void:
            break
    return verdict


@pytest.fixture(scope="module")
def verdicts(tmp_path_factory: pytest.TempPathFactory) -> dict[str, Verdict]:
    folder, faults = tmp_path_factory.mktemp("plays"), ("right", *FAULTS)
    with ThreadPoolExecutor(CONCURRENT_PLAYS) as pool:
        return dict(zip(faults, pool.map(lambda fault: judge_limiter(fault, folder), faults), strict=True))


def test_the_right_one_is_acquitted(verdicts: dict[str, Verdict]) -> None:
    right = verdicts["right"]
    assert not right.void and not right.crash
    assert [v for rule in right.rules for v in rule.violations] == []
    assert all(rule.checked > 0 for rule in right.rules)


@pytest.mark.parametrize("fault", FAULTS)
def test_each_broken_one_is_convicted_of_its_rule_and_no_other(
    verdicts: dict[str, Verdict], fault: str
) -> None:
    verdict = verdicts[fault]
    assert not verdict.void and not verdict.crash
    broken = {rule.rule: rule.violations[:3] for rule in verdict.rules if not rule.kept}
    assert set(broken) == {RULES[FAULTS[fault]]}, broken


def test_all_met_the_same_plan(verdicts: dict[str, Verdict]) -> None:
    assert len({verdict.day.digest for verdict in verdicts.values()}) == 1
