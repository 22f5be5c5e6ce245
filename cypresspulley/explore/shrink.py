"""A find made small: fewer faults, limiters and requests, a shorter day; free of I/O but for the plays it asks for."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from functools import partial

from cypresspulley.explore.schedule import Raw, as_raw, fewer_limiters
from cypresspulley.rehearsal.scenario import (
    Scenario,
    ScenarioError,
    limiter_names,
    parse_scenario,
)

MOST_PLAYS = 150
FEWEST_INSIDE = 2.0
SHORTEST = 1.0


def shrink(
    scenario: Scenario, still: Callable[[Scenario], bool], plays: int = MOST_PLAYS
) -> tuple[Scenario, int]:
    """The smallest scenario found on which ``still`` is true, and the plays that it took; greedy, large cuts first."""
    used, improved = 0, True
    while improved:
        improved = False
        for raw in _smaller(scenario):
            if used >= plays:
                return scenario, used
            try:
                candidate = parse_scenario(raw, scenario.name)
            except ScenarioError:
                continue  # a fault of it names what was cut away
            used += 1
            if still(candidate):
                scenario, improved = candidate, True
                break
    return scenario, used


def _smaller(scenario: Scenario) -> Iterator[Raw]:
    """Scenarios with one thing less each."""
    return (_changed(scenario, cut) for cut in _cuts(scenario))


def _cuts(scenario: Scenario) -> Iterator[Callable[[Raw], object]]:
    faults = len(scenario.faults)
    if faults > 3:
        yield partial(_without, first=0, last=faults // 2)
        yield partial(_without, first=faults // 2, last=faults)
    for number in range(faults - 1, -1, -1):
        yield partial(_without, first=number, last=number + 1)
    if scenario.limiters.count > 1:
        yield _fewer_limiters
    if scenario.load.inside > FEWEST_INSIDE:
        yield partial(_with, "load", inside=round(scenario.load.inside / 2, 3))
    for share in (0.5, 0.75, 0.9):
        if scenario.seconds * share >= SHORTEST:
            yield partial(_shorter, share=share)
    if scenario.clients.retries:
        yield partial(_with, "clients", retries=0)
    if scenario.fleet.servers > 1:
        yield partial(_with, "fleet", servers=max(1, scenario.fleet.servers // 2))
    if scenario.clients.impatient:
        yield partial(_with, "clients", impatient=0.0)


def _changed(scenario: Scenario, change: Callable[[Raw], object]) -> Raw:
    raw = as_raw(scenario)
    change(raw)
    return raw


def _without(raw: Raw, first: int, last: int) -> None:
    del raw["fault"][first:last]


def _with(section: str, raw: Raw, **values: float) -> None:
    raw[section].update(values)


def _fewer_limiters(raw: Raw) -> None:
    fewer_limiters(raw, raw["limiters"]["count"] - 1)


def _shorter(raw: Raw, share: float) -> None:
    raw["seconds"] = round(raw["seconds"] * share, 3)
    raw["fault"] = [fault for fault in raw["fault"] if fault["at"] < raw["seconds"]]


def size(scenario: Scenario) -> str:
    """In words, for the report."""
    return (
        f"{len(scenario.faults)} faults, {len(limiter_names(scenario))} limiters, {scenario.fleet.servers} servers, "
        f"{scenario.load.inside:g} requests a second, {scenario.seconds:g} s"
    )
