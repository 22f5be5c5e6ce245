"""Limiters with one fault each, made in memory from the shipped one: what a search must find.

A mutant is a line of a function replaced; ``applied`` recompiles the function and puts it back afterwards. A
``FINDERS`` row says which scenario shows it, which seed of it, and what is wrong then.
"""

from __future__ import annotations

import inspect
import sys
import textwrap
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Any

from cypresspulley.decide import Gateway
from cypresspulley.net.frontend import RequestReader
from cypresspulley.net.node import Node
from cypresspulley.net.upstream import Upstream
from cypresspulley.quota import Account
from cypresspulley.rehearsal.scenario import Scenario, load_scenario
from tests.rehearsal.small import small


@dataclass(frozen=True, slots=True)
class Mutant:
    """``old`` becomes ``new`` in ``owner.function``; found in ``scenario`` as one of ``sorts``."""

    name: str
    owner: type
    function: str
    old: str
    new: str
    scenario: str
    sorts: tuple[str, ...]


MUTANTS = (
    Mutant(
        "a retry after a reset of an unsafe class", Gateway, "_again",
        "if r.ran is not None and r.cls.effect is not Effect.SAFE:", "if False:",
        "killed-mid-handover", ("no effect twice",),
    ),
    Mutant(
        "a refusal where it may have run", Gateway, "_end",
        "if r.ran is None or effect is Effect.SAFE", "if True or effect is Effect.SAFE",
        "killed-mid-handover", ("no effect twice",),
    ),
    Mutant(
        "a drain heeded late",
        Node,
        "listed",
        "if listing.servers.complete:",
        "if any(entry.health is api.Health.DRAINING for entry in listing.servers.entries):\n"
        "        return  # until the next news\n"
        "    if listing.servers.complete:",
        "rolling-release",
        ("drains kept",),
    ),
    Mutant(
        "a lost answer", Node, "_fail",
        "opened.request.respond(502)", "pass",
        "fast-errors", ("no request lost", "leak"),
    ),
    Mutant(
        "an id reused", RequestReader, "read",
        "self._last_id += 1", "self._last_id = (self._last_id + 1) % 4",
        "calm-morning", ("no request lost", "no effect twice", "leak", "log"),
    ),
    Mutant(
        "a timer not cancelled", Node, "_close",
        "opened.timer.cancel()", "pass",
        "calm-morning", ("leak",),
    ),
    Mutant(
        "a ceiling drawn twice", Account, "refill",
        "min(plan.ceiling_burst, whole) / self.share", "min(plan.ceiling_burst, whole)",
        "small", ("ceilings kept",),
    ),
    Mutant(
        "a pool that hands out a half-read connection", Upstream, "_give_up",
        "connection.abort()", "self.release(connection, True)",
        "stale-return", ("no request lost", "no effect twice", "log"),
    ),
    Mutant(
        "a budget that forgets a restart", Gateway, "_cold_room",
        "return s.budget > r.work * self._rng.random()", "return True",
        "small", ("no cold server pushed over",),
    ),
)  # fmt: skip


def scenario_of(mutant: Mutant) -> Scenario:
    """A shipped scenario, or the tests' own with its low ceilings and very cold servers."""
    return small() if mutant.scenario == "small" else load_scenario(mutant.scenario)


@contextmanager
def applied(mutant: Mutant) -> Iterator[None]:
    """Run with the mutant in place of the shipped function."""
    right = mutant.owner.__dict__[mutant.function]
    source = textwrap.dedent(inspect.getsource(right))
    assert source.count(mutant.old) == 1, f"{mutant.name}: the line is not there any more"
    names: dict[str, Any] = {}
    code = compile(source.replace(mutant.old, mutant.new), f"<{mutant.name}>", "exec")
    exec(code, sys.modules[mutant.owner.__module__].__dict__, names)
    setattr(mutant.owner, mutant.function, names[mutant.function])
    try:
        yield
    finally:
        setattr(mutant.owner, mutant.function, right)
