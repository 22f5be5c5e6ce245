"""A limiter that misreads a key of its settings breaks the rule for that key, and no other.

The scenario account-flood does not show a ceiling's rate read four times too high: a ceiling is above its quota, and
where a plan's excess costs more than it earns, quotas refuse before the ceiling is reached. So the plan here has an
excess that earns. A limiter that reads each class as safe to repeat breaks no rule: the method of a request says what
it is (GET is safe), and a request whose form does not match its class is refused.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest

from cypresspulley import interface as api
from cypresspulley.rehearsal.judge import Verdict, judge
from cypresspulley.rehearsal.scenario import Scenario
from cypresspulley.rehearsal.virtual.play import play_virtual
from cypresspulley.settings import parse_settings
from tests.rehearsal.small import small

SEEDS = range(3)
EARNS = {"over_worth": 0.5, "over_cost": 0.1}
Read = Callable[[api.Settings], api.Settings]


def ceiling_scenario() -> Scenario:
    """A scenario in which half of the accounts have a ceiling, exceed it by far, and earn beyond their quota."""
    return small(
        seconds=8,
        load={"inside": 30, "heavy": 0.0, "full": 0.5, "spiky": 0, "spread": [2, 2]},
        plan=[
            {"name": "free", "share": 0.5, "rate": 8, "burst": 20},
            {"name": "hard", "share": 0.5, "rate": 2, "burst": 3, "ceiling": 1.5, **EARNS},
        ],
        fault=[{"kind": "account-surge", "at": 0.5, "lasts": 7, "size": 2.0, "count": 6}],
    )


def plans(**times: float) -> Read:
    """Multiply figures of each plan by the given factors."""

    def read(settings: api.Settings) -> api.Settings:
        changed = [
            replace(plan, **{key: getattr(plan, key) * factor for key, factor in times.items()})
            for plan in settings.plans
        ]
        return replace(settings, plans=tuple(changed))

    return read


def each_class_safe(settings: api.Settings) -> api.Settings:
    return replace(settings, classes=tuple(replace(c, effect=api.Effect.SAFE) for c in settings.classes))


def verdict(monkeypatch: pytest.MonkeyPatch, day: Scenario, seed: int, read: Read | None) -> Verdict:
    def wrong(raw: dict[str, Any]) -> api.Settings:
        return read(parse_settings(raw)) if read is not None else parse_settings(raw)

    monkeypatch.setattr("cypresspulley.config.parse_settings", wrong)
    result = judge(play_virtual(day, seed))
    assert not result.void and not result.crash, result.void or result.crash
    return result


def broken_rules(result: Verdict) -> list[str]:
    return [rule.rule for rule in result.rules if not rule.kept]


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("read", [plans(ceiling_rate=4.0), plans(ceiling_burst=4.0)], ids=["rate", "burst"])
def test_one_that_reads_ceilings_too_high_passes_them(
    monkeypatch: pytest.MonkeyPatch, read: Read, seed: int
) -> None:
    assert broken_rules(verdict(monkeypatch, ceiling_scenario(), seed, read)) == ["ceilings kept"]


@pytest.mark.parametrize("seed", SEEDS)
def test_the_shipped_one_keeps_them(monkeypatch: pytest.MonkeyPatch, seed: int) -> None:
    assert broken_rules(verdict(monkeypatch, ceiling_scenario(), seed, None)) == []


@pytest.mark.parametrize("seed", SEEDS)
def test_one_that_takes_every_class_for_safe_serves_none_that_is_not(
    monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    """It breaks no rule, because it refuses requests whose form does not match; the service figures show it."""
    result = verdict(monkeypatch, ceiling_scenario(), seed, each_class_safe)
    assert broken_rules(result) == []
    assert result.service.by_class["hand"] == 0.0
    assert result.service.by_class["look"] > 0.5
