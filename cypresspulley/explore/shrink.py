"""Shrinks a failing scenario to fewer faults, limiters and requests and a shorter duration.

Performs no I/O of its own; the caller's predicate plays the candidates.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from functools import partial

from cypresspulley.explore.schedule import RawScenario, reduce_limiters, to_raw
from cypresspulley.rehearsal.scenario import (
    Scenario,
    ScenarioError,
    limiter_names,
    parse_scenario,
)

MAX_PLAYS = 150
MIN_INSIDE_RATE = 2.0  # requests per second within quota
MIN_SECONDS = 1.0  # duration of the scenario


def shrink(
    scenario: Scenario, still_fails: Callable[[Scenario], bool], plays: int = MAX_PLAYS
) -> tuple[Scenario, int]:
    """Return the smallest scenario found on which ``still_fails`` is true, and the number of plays used.

    The search is greedy and starts with large cuts.
    """
    used, improved = 0, True
    while improved:
        improved = False
        for raw in _smaller_scenarios(scenario):
            if used >= plays:
                return scenario, used
            try:
                candidate = parse_scenario(raw, scenario.name)
            except ScenarioError:
                continue  # one of its faults targets something that the cut removed
            used += 1
            if still_fails(candidate):
                scenario, improved = candidate, True
                break
    return scenario, used


def _smaller_scenarios(scenario: Scenario) -> Iterator[RawScenario]:
    """Yield variants of the scenario, each with one cut applied."""
    return (_apply_cut(scenario, cut) for cut in _cuts(scenario))


def _cuts(scenario: Scenario) -> Iterator[Callable[[RawScenario], object]]:
    faults = len(scenario.faults)
    if faults > 3:
        yield partial(_remove_faults, first=0, last=faults // 2)
        yield partial(_remove_faults, first=faults // 2, last=faults)
    for number in range(faults - 1, -1, -1):
        yield partial(_remove_faults, first=number, last=number + 1)
    if scenario.limiters.count > 1:
        yield _remove_limiter
    if scenario.load.inside > MIN_INSIDE_RATE:
        yield partial(_set_values, "load", inside=round(scenario.load.inside / 2, 3))
    for share in (0.5, 0.75, 0.9):
        if scenario.seconds * share >= MIN_SECONDS:
            yield partial(_shorten_duration, share=share)
    if scenario.clients.retries:
        yield partial(_set_values, "clients", retries=0)
    if scenario.fleet.servers > 1:
        yield partial(_set_values, "fleet", servers=max(1, scenario.fleet.servers // 2))
    if scenario.clients.impatient:
        yield partial(_set_values, "clients", impatient=0.0)


def _apply_cut(scenario: Scenario, change: Callable[[RawScenario], object]) -> RawScenario:
    raw = to_raw(scenario)
    change(raw)
    return raw


def _remove_faults(raw: RawScenario, first: int, last: int) -> None:
    del raw["fault"][first:last]


def _set_values(section: str, raw: RawScenario, **values: float) -> None:
    raw[section].update(values)


def _remove_limiter(raw: RawScenario) -> None:
    reduce_limiters(raw, raw["limiters"]["count"] - 1)


def _shorten_duration(raw: RawScenario, share: float) -> None:
    raw["seconds"] = round(raw["seconds"] * share, 3)
    raw["fault"] = [fault for fault in raw["fault"] if fault["at"] < raw["seconds"]]


def describe_size(scenario: Scenario) -> str:
    """Describe the scenario's size for the report."""
    return (
        f"{len(scenario.faults)} faults, {len(limiter_names(scenario))} limiters, {scenario.fleet.servers} servers, "
        f"{scenario.load.inside:g} requests a second, {scenario.seconds:g} s"
    )
