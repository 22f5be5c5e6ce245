"""Days for the search: a scenario made small, and the faults that a seed adds to it; free of I/O."""

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

KINDS = tuple(sorted(FAULT_KEYS.keys() - OPERATOR_KINDS - PLAN_BOOK_KINDS - FLEET_KINDS))
WITH_OPERATORS = tuple(
    sorted(FAULT_KEYS.keys() - SOCKET_ONLY_KINDS - PLAN_BOOK_KINDS - FLEET_KINDS)
)  # what the door brings beside them
OFFSETS = (-3600.0, -2.0, -0.3, 0.05, 0.4, 5.0)  # seconds that a drawn clock is off
LEAST = {
    "period_ms": 50,
    "lease_ms": 500,
    "spell_s": 1.0,
    "lease_s": 1.0,
}  # of a small day
MOST_FAULTS = 4
FEWEST_SERVERS = 4
MOST_TOGETHER = 5  # limiters of a small day on which they do something together: each speaks with each
IMPATIENT = 0.03  # share of the clients that go away: more than on a usual day
Raw = dict[str, Any]


def kinds_of(scenario: Scenario, operators: bool = False) -> tuple[str, ...]:
    """What may be drawn on a scenario's days: faults between limiters where these do something together."""
    kinds = set(WITH_OPERATORS if operators else KINDS)
    if scenario.together is not None:
        kinds |= FLEET_KINDS - CLOSING_KINDS
    if scenario.closing is not None:
        kinds |= CLOSING_KINDS
    return tuple(sorted(kinds))


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
    if scenario.together is not None:
        fewer_limiters(raw, min(MOST_TOGETHER, scenario.limiters.count))
        _sooner_together(raw, part)
    return parse_scenario(raw, scenario.name)


def _sooner_together(raw: Raw, part: float) -> None:
    """Periods, leases and closings of limiters together keep their place in a day of that part."""
    for section in ("together", "lanes", "closing"):
        table = raw.get(section, {})
        for key, least in LEAST.items():
            if key in table:
                least = 100 if (section, key) == ("lanes", "period_ms") else least
                table[key] = max(least, type(least)(part * table[key]))
    for place in raw.get("closing", {}).get("place", ()):
        place["closes"] = sorted({round(part * at) for at in place["closes"]})
    if "closing" in raw:
        raw["closing"]["clock_bound_ms"] = max(50, int(part * raw["closing"]["clock_bound_ms"]))


def fewer_limiters(raw: Raw, count: int) -> None:
    """Leave that many of a day's limiters."""
    raw["limiters"]["count"] = count
    raw["load"]["spread"] = [min(s, raw["limiters"]["count"]) for s in raw["load"]["spread"]]
    _keep_targets(raw)


def _keep_targets(raw: Raw) -> None:
    """Faults lose the targets that are no longer there, and go with the last of them."""
    count, kept = raw["limiters"]["count"], list[Raw]()
    for fault in raw["fault"]:
        if fault["kind"].startswith(LIMITER_KIND_PREFIXES) and fault.get("targets"):
            there = [name for name in fault["targets"] if int(name.rpartition("-")[2]) < count]
            if not there:
                continue
            fault = {**fault, "targets": there}
        if fault.get("groups"):
            groups = [
                [name for name in group if int(name.rpartition("-")[2]) < count] for group in fault["groups"]
            ]
            if not all(groups):
                continue
            fault = {**fault, "groups": groups}
        kept.append(fault)
    raw["fault"] = kept


def sooner(fault: Raw, part: float) -> Raw:
    """A fault at the same place of a day that lasts that part as long."""
    least = {"ahead": 3.0, "at": 0.0, "lasts": 0.05, "back_after": 0.05, "every": 0.05}
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
    pools = {
        **{name: limiter_names(day) for name in LIMITER_KIND_PREFIXES},
        "server": server_names(day),
        "hall": list(day.fleet.halls),
    }
    if (pool := pools.get(kind.partition("-")[0])) is not None:
        most = {"hall-cut": 1, "limiter-late": len(pool) - 1}.get(kind, len(pool))
        fault["targets"] = sorted(rng.sample(pool, min(most, 1 + int(rng.expovariate(1.0)))))
    draws: dict[str, Callable[[], Any]] = {
        "lasts": lambda: round(rng.uniform(0.1, 0.5 * day.seconds), 3),
        "size": lambda: round(rng.uniform(0.1, 1.0 if kind.startswith(("server", "keeper")) else 3.0), 3),
        "add_ms": lambda: round(rng.choice((30.0, 120.0, 600.0, 2500.0)) * rng.uniform(0.5, 1.5), 1),
        "back_after": lambda: round(rng.uniform(0.05, 1.5), 3),
        "every": lambda: round(rng.uniform(0.1, 1.0), 3),
        "reuse_address": lambda: rng.random() < 0.5,
        "one_way": lambda: rng.random() < 0.3,
        "offset": lambda: rng.choice(OFFSETS),
        "ppm": lambda: rng.choice((0.0, 0.0, 500.0, 50_000.0)),
        "ahead": lambda: round(rng.uniform(3.0, 4.0), 3),
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
