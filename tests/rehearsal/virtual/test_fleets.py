"""Forty limiters and sixty servers in virtual time: guards against effects that only show in a large fleet."""

from __future__ import annotations

from typing import Any

import pytest

from cypresspulley.policy.load_balancer import LoadBalancer
from cypresspulley.rehearsal.judge import Verdict, judge
from cypresspulley.rehearsal.scenario import Scenario, load_scenario
from cypresspulley.rehearsal.virtual.play import play_virtual

NAMES = ("fleet-release", "fleet-hall-lost", "fleet-replaced")


def shortened(name: str, seconds: float) -> Scenario:
    return load_scenario(name).model_copy(update={"seconds": seconds})


def played(scenario: Scenario) -> Verdict:
    return judge(play_virtual(scenario, scenario.seed))


@pytest.mark.long
@pytest.mark.parametrize("name", NAMES)
def test_a_large_fleet_keeps_the_rules_and_its_goal(name: str) -> None:
    verdict = played(shortened(name, 12.0))
    assert verdict.kept and not verdict.void and not verdict.crash
    assert verdict.passed


@pytest.mark.long
def test_a_fleet_that_learns_nothing_of_bad_servers_misses_its_goal(monkeypatch: pytest.MonkeyPatch) -> None:
    learn = LoadBalancer.record_outcome

    def forgetful(fleet: LoadBalancer, now: float, r: Any, s: Any, ev: Any) -> None:
        learn(fleet, now, r, s, ev)
        s.failure_rate, s.ejected_until, s.on_trial = 0.0, 0.0, False

    monkeypatch.setattr(LoadBalancer, "record_outcome", forgetful)
    verdict = played(shortened("fleet-release", 12.0))
    assert verdict.kept and not verdict.passed
