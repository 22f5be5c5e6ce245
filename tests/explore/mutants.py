"""Mutants of the limiter with one fault each, which a search must find.

A mutant replaces text in the source of one function; ``applied`` recompiles the function in memory and restores it
afterwards. Each row of ``MUTANTS`` names the scenario and the seed that show the fault and the expected failures.
"""

from __future__ import annotations

import inspect
import sys
import textwrap
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from types import ModuleType
from typing import Any

from cypresspulley.explore.schedule import to_raw
from cypresspulley.net.node import Node
from cypresspulley.net.requests import RequestReader
from cypresspulley.net.upstream import Upstream
from cypresspulley.policy.account import Account
from cypresspulley.policy.classes import ClassRegistry
from cypresspulley.policy.gateway import Gateway
from cypresspulley.policy.load_balancer import LoadBalancer
from cypresspulley.rehearsal.scenario import Scenario, load_scenario, parse_scenario
from tests.rehearsal.small import small


@dataclass(frozen=True, slots=True)
class Mutant:
    """Replaces ``old`` by ``new`` in ``owner.function``; found in ``scenario`` as a failure of ``categories``."""

    name: str
    owner: type | ModuleType
    function: str
    old: str
    new: str
    scenario: str
    categories: tuple[str, ...]
    shown_by: int = 0  # the first seed that shows it when all fault kinds have the same weight
    inside: float = 30.0


MUTANTS = (
    Mutant(
        "a retry after a reset of an unsafe class", Gateway, "_retry",
        "if request.first_run is not None and request.cls.effect is not Effect.SAFE:", "if False:",
        "killed-mid-handover", ("no effect twice",),
        shown_by=3,
    ),
    Mutant(
        "a refusal where it may have run", Gateway, "_refuse_or_fail",
        "request.first_run is None", "True",
        "killed-mid-handover", ("no effect twice",),
        shown_by=3,
    ),
    Mutant(
        "a drain heeded late",
        Node,
        "apply_listing",
        "self._events.append(replace(listing.servers, entries=entries, previous=previous))",
        "if any(entry.health is api.Health.DRAINING for entry in listing.servers.entries):\n"
        "        return  # until the next news\n"
        "    self._events.append(listing.servers)",
        "rolling-release",
        ("drains kept",),
        shown_by=0,
    ),
    Mutant(
        "a lost answer", Node, "_fail",
        "opened.request.respond(502)", "pass",
        "fast-errors", ("no request lost", "leak"),
        shown_by=2,
    ),
    Mutant(
        "an id reused", RequestReader, "next_id",
        "self._last_id += 1", "self._last_id = (self._last_id + 1) % 4",
        "calm-morning", ("no request lost", "no effect twice", "leak", "log"),
    ),
    Mutant(
        "a timer not cancelled", Node, "_remove_request",
        "opened.timer.cancel()", "pass",
        "calm-morning", ("leak",),
    ),
    Mutant(
        "a ceiling drawn twice", Account, "refill",
        "min(self.local_ceiling_part * plan.ceiling_burst, whole) / self.gateways",
        "min(self.local_ceiling_part * plan.ceiling_burst, whole)",
        "small", ("ceilings kept",),
    ),
    Mutant(
        "a pool that hands out a half-read connection", Upstream, "abort_exchange",
        "connection.abort()", "self.release(connection, True)",
        "slow", ("no request lost", "no effect twice", "log"),
    ),
    Mutant(
        "a budget that forgets a restart", LoadBalancer, "_has_cold_budget",
        "return server.cold_budget > server.budget_phase * request.work", "return True",
        "cold", ("no cold server pushed over",),
        inside=100.0,
        shown_by=2,
    ),
    Mutant(
        "a ban lost", LoadBalancer, "_is_usable",
        "server.up and server.entry.name not in self.bans", "server.up",
        "by hand", ("drains kept",),
    ),
    Mutant(
        "a server called back not cold", LoadBalancer, "set_ban",
        "self._begin_slow_start(now, server, now)", "server.cold_since = None",
        "cold by hand", ("no cold server pushed over",),
        inside=100.0,
        shown_by=1,
    ),
    Mutant(
        "every server taken for a long-running one", LoadBalancer, "_start_age",
        "if entry.born == 0.0:", "if entry.born >= 0.0:",
        "cold", ("no cold server pushed over",),
        inside=100.0,
        shown_by=2,
    ),
    Mutant(
        "every class taken for safe to repeat", ClassRegistry, "find",
        "record is not None and (effect is None or record.effect is effect):\n        return record",
        "record is not None and (effect is None or record.effect is effect):\n"
        '        return __import__("dataclasses").replace(record, effect=Effect.SAFE)',
        "killed-mid-handover", ("no effect twice",),
        shown_by=3,
    ),
)  # fmt: skip


def scenario_of(mutant: Mutant) -> Scenario:
    """Returns the mutant's scenario: a shipped one, or one of those defined here."""
    if mutant.scenario == "small":
        return small()
    local_scenarios: dict[str, Callable[[], Scenario]] = {
        "cold": cold,
        "slow": slow,
        "by hand": by_hand,
        "cold by hand": cold_by_hand,
    }
    return (
        local_scenarios[mutant.scenario]()
        if mutant.scenario in local_scenarios
        else load_scenario(mutant.scenario)
    )


def slow() -> Scenario:
    """Servers answer late repeatedly, so attempts are abandoned while their answers are still to come."""
    spells = [
        {"kind": "server-slow", "at": 0.5 + n, "lasts": 0.7, "count": 4, "add_ms": 700} for n in range(4)
    ]
    return small(fault=spells)


def cold(limiters: int = 6) -> Scenario:
    """Servers restart one by one.

    With long latency aims and late load reports, only the cold budget limits the work sent to each server. Each limiter
    handles some tens of requests per second at most.
    """
    fleet = {"servers": 5, "halls": ["east", "west"], "cores": 1, "cold_share": 0.04, "cold_seconds": 30,
             "fall_seconds": 2, "fall_multiple": 1.0, "drain_grace": 0.5, "report_ms": 1500}  # fmt: skip
    crashes = [
        {"kind": "server-crash", "at": 1.0 + n, "targets": [f"bag-0{n}"], "back_after": 0.3} for n in range(3)
    ]
    classes = [{"name": "look", "share": 1, "work_ms": 28, "aim_ms": 3000, "deadline_ms": 5000, "worth": 2}]
    load = {"inside": 100, "heavy": 0, "full": 0, "spiky": 0, "spread": [1, min(2, limiters)]}
    return small(fleet=fleet, limiters={"count": limiters}, load=load, fault=crashes, **{"class": classes})


def by_hand() -> Scenario:
    """Operators ban one server after another and lift the ban again."""
    spells = [
        {"kind": "server-by-hand", "at": 0.4 + n, "lasts": 3.0, "targets": [f"bag-0{n}"]} for n in range(3)
    ]
    return small(fault=spells)


def cold_by_hand() -> Scenario:
    """Like ``cold``, with restarts by operators; discovery reports the new start times too late to be of use."""
    spells = [
        {"kind": "server-by-hand", "at": 0.3 + n, "lasts": 1.5, "targets": [f"bag-0{n}"]} for n in range(3)
    ]
    raw = to_raw(cold(limiters=1)) | {"discovery": {"notice": [50, 60]}, "fault": spells}
    # A single limiter avoids servers that answer late and sends each a dozen requests at most, hence the low share.
    raw["fleet"] |= {"cold_share": 0.01}
    return parse_scenario(raw, "cold by hand")


@contextmanager
def applied(mutant: Mutant) -> Iterator[None]:
    """Runs the block with the mutant in place of the original function."""
    original = mutant.owner.__dict__[mutant.function]
    source = textwrap.dedent(inspect.getsource(original))
    assert source.count(mutant.old) == 1, f"{mutant.name}: the line is no longer in the function"
    names: dict[str, Any] = {}
    code = compile(source.replace(mutant.old, mutant.new), f"<{mutant.name}>", "exec")
    module = mutant.owner if isinstance(mutant.owner, ModuleType) else sys.modules[mutant.owner.__module__]
    exec(code, module.__dict__, names)
    setattr(mutant.owner, mutant.function, names[mutant.function])
    try:
        yield
    finally:
        setattr(mutant.owner, mutant.function, original)
