"""Whole runs with plans that change meanwhile: the judge knows the book and finds limiters that do not follow it."""

from __future__ import annotations

from typing import Any

import pytest

from cypresspulley import interface as api
from cypresspulley.plans import limiter
from cypresspulley.rehearsal import records as log
from cypresspulley.rehearsal.judge import judge
from cypresspulley.rehearsal.scenario import Scenario, ScenarioError, load_scenario, parse_scenario
from cypresspulley.rehearsal.virtual.play import digest, play_virtual
from tests.rehearsal.small import small

CHURN = {"kind": "plan-churn", "at": 0.5, "lasts": 11.0, "every": 0.5, "size": 0.3, "count": 2, "ahead": 3.2}
SURGE = {"kind": "account-surge", "at": 1.0, "lasts": 10.0, "size": 1.0, "count": 4}


def day(*faults: dict[str, Any], **changes: Any) -> Scenario:
    return small(seconds=12, fault=[CHURN, SURGE, *faults], **changes)


def broken_rules(scenario: Scenario, seed: int) -> list[str]:
    verdict = judge(play_virtual(scenario, seed))
    assert not verdict.void and not verdict.crash, verdict.void or verdict.crash
    return [rule.rule for rule in verdict.rules if not rule.kept]


@pytest.mark.parametrize("seed", range(3))
def test_ceilings_hold_through_changes_a_dead_writer_and_a_cut(seed: int) -> None:
    lost = [
        {"kind": "writer-stop", "at": 3.0, "back_after": 4.0},
        {"kind": "limiter-kill", "at": 5.0, "targets": ["limiter-0"], "back_after": 0.5},
        {"kind": "limiter-off-book", "at": 8.0, "targets": ["limiter-1"], "lasts": 2.0},
    ]
    assert broken_rules(day(*lost), seed) == []


def test_one_seed_is_one_trace_with_a_book() -> None:
    one, other = (digest(play_virtual(day(), 5)) for _ in range(2))
    assert one == other
    moves = [r for r in play_virtual(day(), 5) if isinstance(r, log.PlanMoved)]
    assert len(moves) > 10 and all(move.ahead == 3.2 for move in moves)


class Forgiving(limiter.PlanBookDecisions):
    """Forgets the bucket levels of an account at a change of plan."""

    def _carry_level(self, now: float, ev: api.Request) -> None:
        for key in list(self._account_keys(ev)):
            self._gateway.quotas.accounts.pop(key, None)


class Deaf(limiter.PlanBookDecisions):
    """Ignores the plan book, so that the higher plan stays in force."""

    def _bind_request(self, now: float, ev: api.Request) -> api.Request:
        return ev


@pytest.mark.long
@pytest.mark.parametrize("mutant", [Forgiving, Deaf])
def test_a_limiter_that_does_not_go_by_the_book_is_convicted(
    mutant: type[limiter.PlanBookDecisions], monkeypatch: pytest.MonkeyPatch
) -> None:
    assert broken_rules(day(), 1) == []
    monkeypatch.setattr(limiter, "PlanBookDecisions", mutant)
    assert broken_rules(day(), 1) == ["ceilings kept"]


@pytest.mark.parametrize("name", ["plan-churn", "downgrade-while-over", "writer-dies", "book-split"])
def test_the_shipped_days_are_booked(name: str) -> None:
    assert load_scenario(name).uses_plan_book


@pytest.mark.parametrize(
    ("faults", "said"),
    [
        ([{"kind": "writer-stop", "at": 1.0}], "wants a plan-churn"),
        ([{**CHURN, "size": 1.5}], "expected at most 1"),
        ([{**CHURN, "ahead": -1}], "ahead"),
    ],
)
def test_bad_books_are_named(faults: list[dict[str, Any]], said: str) -> None:
    raw = {"name": "x", "about": "x", "seconds": 12, "fault": faults}
    with pytest.raises(ScenarioError, match=said):
        parse_scenario(raw, "x.toml")
