"""GraphQL scenarios in virtual time. A limiter that handles them wrongly must break exactly one rule."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from cypresspulley import interface as api
from cypresspulley.explore.schedule import scale_down
from cypresspulley.graphql import handler
from cypresspulley.graphql.document import Effect
from cypresspulley.graphql.price import Price
from cypresspulley.rehearsal.judge import Verdict, judge
from cypresspulley.rehearsal.scenario import ScenarioError, load_scenario, parse_scenario
from cypresspulley.rehearsal.virtual.play import digest, play_virtual

DAY: dict[str, Any] = {
    "name": "graphql-small", "about": "-", "seconds": 5, "graphql": {},
    "fleet": {"servers": 6}, "limiters": {"count": 2}, "load": {"inside": 30, "spread": [2, 2], "heavy": 0.5},
    "class": [
        {"name": "bag-lookup", "share": 0.5, "work_ms": 40, "aim_ms": 1200, "deadline_ms": 4000},
        {"name": "handover-post", "share": 0.5, "work_ms": 60, "aim_ms": 2000, "deadline_ms": 5000, "effect": "unsafe"},
    ],
    "fault": [{"kind": "server-resets", "at": 0.5, "lasts": 4, "count": 6, "size": 0.3}],
}  # fmt: skip


def verdict(seed: int = 1, **changes: Any) -> Verdict:
    return judge(play_virtual(parse_scenario(DAY | changes, "test"), seed))


def broken(found: Verdict) -> list[str]:
    return [rule.rule for rule in found.rules if not rule.kept]


@pytest.mark.parametrize("name", ["graphql-floor", "graphql-handover-mix", "graphql-abuse"])
def test_the_shipped_days_keep_the_rules(name: str) -> None:
    found = judge(play_virtual(scale_down(load_scenario(name), 6.0, 25.0), 2))
    assert not found.void and not broken(found), found


def test_one_seed_is_one_trace() -> None:
    scenario = parse_scenario(DAY | {"seconds": 2}, "test")
    assert digest(play_virtual(scenario, 7)) == digest(play_virtual(scenario, 7))


def test_the_right_limiter_is_acquitted_and_one_that_takes_mutations_for_queries_is_not(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    assert broken(verdict()) == []
    real = handler._classes_by_effect

    def blind(*given: Any) -> dict[Effect, str]:
        return real(*given) | {Effect.MUTATION: "bag-lookup"}

    monkeypatch.setattr(handler, "_classes_by_effect", blind)
    assert broken(verdict()) == []  # a mutation of a safe class is sent once, since it has no key
    binding_effect = handler.GraphQLHandler._binding_effect

    def bind_as_query(self: Any, name: str, _effect: Effect, has_key: bool) -> api.Effect:
        return binding_effect(self, name, Effect.QUERY, has_key)

    monkeypatch.setattr(handler.GraphQLHandler, "_binding_effect", bind_as_query)
    assert broken(verdict()) == ["no effect twice"]


def test_a_limiter_that_charges_a_fraction_is_convicted_by_true_costs(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The judge counts the true costs of the queries, whatever units the limiter charges."""
    plans = [{"name": "business", "share": 1, "rate": 1.0, "burst": 6, "ceiling": 1.5}]
    load = {"inside": 6, "spread": [2, 2], "heavy": 1.0}
    surge = [{"kind": "account-surge", "at": 0.1, "lasts": 4.8, "size": 8, "count": 1}]
    lies = [{"kind": "server-lies", "at": 0, "lasts": 5, "count": 6, "size": 1.0}]
    changes: dict[str, Any] = {"plan": plans, "load": load, "fault": surge + lies}
    assert broken(verdict(**changes)) == []

    submit = handler.GraphQLHandler._submit

    def priced(self: Any, reading: Any, found: Any) -> None:
        price = Price(found.price.bound / 20, found.price.expected / 20)
        submit(self, reading, replace(found, price=price))

    monkeypatch.setattr(handler.GraphQLHandler, "_submit", priced)
    assert broken(verdict(**changes)) == ["ceilings kept"]


def test_a_scenario_says_what_graphql_needs() -> None:
    with pytest.raises(ScenarioError, match="safe and unsafe"):
        parse_scenario(DAY | {"class": DAY["class"][:1]}, "test")
    with pytest.raises(ScenarioError, match="abuse"):
        parse_scenario(DAY | {"graphql": {"abuse": -1}}, "test")
