"""Days for the search: a scenario made small, and the faults that a seed adds to it; free of I/O."""

from __future__ import annotations

from collections.abc import Callable
from math import ceil
from random import Random
from typing import Any

from cypresspulley.rehearsal.plan import random_for
from cypresspulley.rehearsal.scenario import (
    BOOKED,
    FAULT_KEYS,
    OPERATED,
    SOCKETS_ONLY,
    Scenario,
    limiter_names,
    parse_scenario,
    server_names,
)

KINDS = tuple(sorted(FAULT_KEYS.keys() - OPERATED - BOOKED))
WITH_OPERATORS = tuple(sorted(FAULT_KEYS.keys() - SOCKETS_ONLY - BOOKED))  # what the door brings beside them
MOST_FAULTS = 4
FEWEST_SERVERS = 4
IMPATIENT = 0.03  # share of the clients that go away: more than on a usual day
Raw = dict[str, Any]


def small_day(scenario: Scenario, seconds: float, inside: float) -> Scenario:
    """The scenario in ``seconds`` and with ``inside`` requests a second: as many servers and calls less, its faults
    at the same place of the day. Classes, plans and times of the fleet stay."""
    raw = as_raw(scenario)
    part, share = min(1.0, seconds / scenario.seconds), min(1.0, inside / scenario.load.inside)
    raw["seconds"] = round(scenario.seconds * part, 3)
    raw["load"]["inside"] = round(scenario.load.inside * share, 3)
    raw["fleet"]["servers"] = servers = max(
        min(FEWEST_SERVERS, scenario.fleet.servers), ceil(scenario.fleet.servers * share)
    )
    raw["keeper"]["calls_per_second"] = max(40.0, scenario.keeper.calls_per_second * share)
    raw["discovery"]["notice"] = [0.3 * t for t in scenario.discovery.notice]
    raw["clients"]["notice"] = [0.3 * t for t in scenario.clients.notice]
    raw["clients"]["impatient"] = max(IMPATIENT, scenario.clients.impatient)
    raw["fault"] = [_earlier(fault, part, servers) for fault in raw["fault"]]
    return parse_scenario(raw, scenario.name)


def sooner(fault: Raw, part: float) -> Raw:
    """A fault at the same place of a day that lasts that part as long."""
    least = {"at": 0.0, "lasts": 0.05, "back_after": 0.05, "every": 0.05}
    return {k: round(max(least[k], v * part), 3) if k in least else v for k, v in fault.items()}


def _earlier(fault: Raw, part: float, servers: int) -> Raw:
    changed = sooner(fault, part)
    if fault["kind"].startswith("server-"):
        changed["count"] = min(servers, fault.get("count", 1))
        changed["targets"] = [
            name for name in fault.get("targets", []) if int(name.partition("-")[2]) < servers
        ]
    return changed


def as_raw(scenario: Scenario) -> Raw:
    """The scenario as its file would say it."""
    raw = scenario.model_dump(by_alias=True, exclude_none=True, mode="json")
    raw["fault"] = [fault.model_dump(exclude_unset=True, mode="json") for fault in scenario.faults]
    return raw


def drawn_day(day: Scenario, seed: int, weights: dict[str, float]) -> Scenario:
    """The day with a seed of its own and faults added: all that the play needs is in the scenario that comes out."""
    rng, raw = random_for(seed, "explore", day.name), as_raw(day)
    raw["seed"] = seed
    kinds = list(weights)
    for _ in range(rng.randint(1, MOST_FAULTS)):
        kind = rng.choices(kinds, [weights[k] for k in kinds])[0]
        raw["fault"].append(_fault(kind, day, rng))
    return parse_scenario(raw, f"{day.name}, seed {seed}")


def _fault(kind: str, day: Scenario, rng: Random) -> Raw:
    keys, at = FAULT_KEYS[kind], round(rng.uniform(0.0, 0.8 * day.seconds), 3)
    fault: Raw = {"kind": kind, "at": at}
    pools = {"limiter": limiter_names(day), "server": server_names(day), "hall": list(day.fleet.halls)}
    if (pool := pools.get(kind.partition("-")[0])) is not None:
        most = len(pool) if kind != "hall-cut" else 1
        fault["targets"] = sorted(rng.sample(pool, min(most, 1 + int(rng.expovariate(1.0)))))
    draws: dict[str, Callable[[], Any]] = {
        "lasts": lambda: round(rng.uniform(0.1, 0.5 * day.seconds), 3),
        "size": lambda: round(rng.uniform(0.1, 1.0 if kind.startswith(("server", "keeper")) else 3.0), 3),
        "add_ms": lambda: round(rng.choice((30.0, 120.0, 600.0, 2500.0)) * rng.uniform(0.5, 1.5), 1),
        "back_after": lambda: round(rng.uniform(0.05, 1.5), 3),
        "every": lambda: round(rng.uniform(0.1, 1.0), 3),
        "reuse_address": lambda: rng.random() < 0.5,
        "known": lambda: "gone" if rng.random() < 0.15 else "last",
    }
    fault |= {key: draw() for key, draw in draws.items() if key in keys}
    if kind == "limiter-kill":
        fault |= _when(rng)
    return fault


def _when(rng: Random) -> Raw:
    when = rng.choice(("time", "handover-written", "turn", "write"))
    after = {"turn": rng.randint(1, 600), "write": rng.randint(1, 120)}
    return {"when": when, "after": after[when]} if when in after else {"when": when}
