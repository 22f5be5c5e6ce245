"""Generates the scenarios of a search: a scaled-down scenario plus faults drawn from a seed. Performs no I/O."""

from __future__ import annotations

from collections.abc import Callable
from math import ceil
from random import Random
from typing import Any

from cypresspulley.rehearsal.plan import random_for
from cypresspulley.rehearsal.scenario import (
    CLOSING_KINDS,
    FAULT_KEYS,
    FLEET_KINDS,
    LIMITER_KIND_PREFIXES,
    OPERATOR_KINDS,
    PLAN_BOOK_KINDS,
    SOCKET_ONLY_KINDS,
    Scenario,
    limiter_names,
    parse_scenario,
    server_names,
)

FAULT_KINDS = tuple(sorted(FAULT_KEYS.keys() - OPERATOR_KINDS - PLAN_BOOK_KINDS - FLEET_KINDS))
# Adds the faults that operators cause through the admin server.
OPERATOR_FAULT_KINDS = tuple(sorted(FAULT_KEYS.keys() - SOCKET_ONLY_KINDS - PLAN_BOOK_KINDS - FLEET_KINDS))
CLOCK_OFFSETS_SECONDS = (-3600.0, -2.0, -0.3, 0.05, 0.4, 5.0)  # choices of a limiter's wall clock error
# Lower bounds of the settings of limiters that cooperate when a scenario is scaled down.
MIN_TABLE_VALUES = {
    "period_ms": 50,
    "lease_ms": 500,
    "spell_s": 1.0,
    "lease_s": 1.0,
}
MAX_DRAWN_FAULTS = 4
MIN_SERVERS = 4
# Limiters of a scaled-down scenario in which they cooperate: every one communicates with every other, which is slow.
MAX_COOPERATING_LIMITERS = 5
MIN_IMPATIENT_SHARE = 0.03  # share of clients that disconnect early, higher than in most scenarios
RawScenario = dict[str, Any]


def drawable_kinds(scenario: Scenario, operators: bool = False) -> tuple[str, ...]:
    """Return the fault kinds that can be drawn for a scenario, those between limiters only where they cooperate."""
    kinds = set(OPERATOR_FAULT_KINDS if operators else FAULT_KINDS)
    if scenario.together is not None:
        kinds |= FLEET_KINDS - CLOSING_KINDS
    if scenario.closing is not None:
        kinds |= CLOSING_KINDS
    return tuple(sorted(kinds))


def scale_down(scenario: Scenario, seconds: float, inside: float) -> Scenario:
    """Scale a scenario down to ``seconds`` and to ``inside`` requests per second within quota.

    Servers and counter calls shrink in proportion and faults keep their relative position. Classes, plans and the
    timing parameters of the servers stay unchanged.
    """
    raw = to_raw(scenario)
    part, share = min(1.0, seconds / scenario.seconds), min(1.0, inside / scenario.load.inside)
    raw["seconds"] = round(scenario.seconds * part, 3)
    raw["load"]["inside"] = round(scenario.load.inside * share, 3)
    raw["fleet"]["servers"] = servers = max(
        min(MIN_SERVERS, scenario.fleet.servers), ceil(scenario.fleet.servers * share)
    )
    raw["keeper"]["calls_per_second"] = max(40.0, scenario.keeper.calls_per_second * share)
    raw["discovery"]["notice"] = [0.3 * t for t in scenario.discovery.notice]
    raw["clients"]["notice"] = [0.3 * t for t in scenario.clients.notice]
    raw["clients"]["impatient"] = max(MIN_IMPATIENT_SHARE, scenario.clients.impatient)
    raw["fault"] = [_scale_fault_and_targets(fault, part, servers) for fault in raw["fault"]]
    if scenario.together is not None:
        reduce_limiters(raw, min(MAX_COOPERATING_LIMITERS, scenario.limiters.count))
        _scale_cooperation(raw, part)
    return parse_scenario(raw, scenario.name)


def _scale_cooperation(raw: RawScenario, part: float) -> None:
    """Scale the periods, leases and closing times of limiters that cooperate to a scenario of that length."""
    for section in ("together", "lanes", "closing"):
        table = raw.get(section, {})
        for key, minimum in MIN_TABLE_VALUES.items():
            if key in table:
                minimum = 100 if (section, key) == ("lanes", "period_ms") else minimum
                table[key] = max(minimum, type(minimum)(part * table[key]))
    for place in raw.get("closing", {}).get("place", ()):
        place["closes"] = sorted({round(part * at) for at in place["closes"]})
    if "closing" in raw:
        raw["closing"]["clock_bound_ms"] = max(50, int(part * raw["closing"]["clock_bound_ms"]))


def reduce_limiters(raw: RawScenario, count: int) -> None:
    """Reduce the scenario to ``count`` limiters."""
    raw["limiters"]["count"] = count
    raw["load"]["spread"] = [min(s, raw["limiters"]["count"]) for s in raw["load"]["spread"]]
    _drop_missing_targets(raw)


def _drop_missing_targets(raw: RawScenario) -> None:
    """Drop targets that no longer exist, and faults that have no target left."""
    count, remaining_faults = raw["limiters"]["count"], list[RawScenario]()
    for fault in raw["fault"]:
        if fault["kind"].startswith(LIMITER_KIND_PREFIXES) and fault.get("targets"):
            remaining = [name for name in fault["targets"] if int(name.rpartition("-")[2]) < count]
            if not remaining:
                continue
            fault = {**fault, "targets": remaining}
        if fault.get("groups"):
            groups = [
                [name for name in group if int(name.rpartition("-")[2]) < count] for group in fault["groups"]
            ]
            if not all(groups):
                continue
            fault = {**fault, "groups": groups}
        remaining_faults.append(fault)
    raw["fault"] = remaining_faults


def scale_fault(fault: RawScenario, part: float) -> RawScenario:
    """Scale a fault's start and durations by ``part``, so that it keeps its relative position."""
    minimums = {"ahead": 3.0, "at": 0.0, "lasts": 0.05, "back_after": 0.05, "every": 0.05}
    return {k: round(max(minimums[k], v * part), 3) if k in minimums else v for k, v in fault.items()}


def _scale_fault_and_targets(fault: RawScenario, part: float, servers: int) -> RawScenario:
    changed = scale_fault(fault, part)
    if fault["kind"].startswith("server-"):
        changed["count"] = min(servers, fault.get("count", 1))
        changed["targets"] = [
            name for name in fault.get("targets", []) if int(name.partition("-")[2]) < servers
        ]
    return changed


def to_raw(scenario: Scenario) -> RawScenario:
    """Return the scenario as the table that its TOML file would hold."""
    raw = scenario.model_dump(by_alias=True, exclude_none=True, mode="json")
    raw["fault"] = [fault.model_dump(exclude_unset=True, mode="json") for fault in scenario.faults]
    return raw


def draw_scenario(base: Scenario, seed: int, weights: dict[str, float]) -> Scenario:
    """Return the scenario with ``seed`` and the faults drawn from it; playing it needs no other input."""
    rng, raw = random_for(seed, "explore", base.name), to_raw(base)
    raw["seed"] = seed
    kinds = list(weights)
    for _ in range(rng.randint(1, MAX_DRAWN_FAULTS)):
        kind = rng.choices(kinds, [weights[k] for k in kinds])[0]
        raw["fault"].append(_draw_fault(kind, base, rng))
    return parse_scenario(raw, f"{base.name}, seed {seed}")


def _draw_fault(kind: str, base: Scenario, rng: Random) -> RawScenario:
    keys, at = FAULT_KEYS[kind], round(rng.uniform(0.0, 0.8 * base.seconds), 3)
    fault: RawScenario = {"kind": kind, "at": at}
    pools = {
        **{name: limiter_names(base) for name in LIMITER_KIND_PREFIXES},
        "server": server_names(base),
        "hall": list(base.fleet.halls),
    }
    if (pool := pools.get(kind.partition("-")[0])) is not None:
        max_targets = {"hall-cut": 1, "limiter-late": len(pool) - 1}.get(kind, len(pool))
        fault["targets"] = sorted(rng.sample(pool, min(max_targets, 1 + int(rng.expovariate(1.0)))))
    draws: dict[str, Callable[[], Any]] = {
        "lasts": lambda: round(rng.uniform(0.1, 0.5 * base.seconds), 3),
        "size": lambda: round(rng.uniform(0.1, 1.0 if kind.startswith(("server", "keeper")) else 3.0), 3),
        "add_ms": lambda: round(rng.choice((30.0, 120.0, 600.0, 2500.0)) * rng.uniform(0.5, 1.5), 1),
        "back_after": lambda: round(rng.uniform(0.05, 1.5), 3),
        "every": lambda: round(rng.uniform(0.1, 1.0), 3),
        "reuse_address": lambda: rng.random() < 0.5,
        "one_way": lambda: rng.random() < 0.3,
        "offset": lambda: rng.choice(CLOCK_OFFSETS_SECONDS),
        "ppm": lambda: rng.choice((0.0, 0.0, 500.0, 50_000.0)),
        "ahead": lambda: round(rng.uniform(3.0, 4.0), 3),
        "known": lambda: "gone" if rng.random() < 0.15 else "last",
    }
    fault |= {key: draw() for key, draw in draws.items() if key in keys}
    if kind == "limiter-kill":
        fault |= _draw_kill_trigger(rng)
    return fault


def _draw_kill_trigger(rng: Random) -> RawScenario:
    when = rng.choice(("time", "handover-written", "turn", "write"))
    after = {"turn": rng.randint(1, 600), "write": rng.randint(1, 120)}
    return {"when": when, "after": after[when]} if when in after else {"when": when}
