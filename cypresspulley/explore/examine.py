"""Plays one scenario in virtual time with every check.

The judge checks the rules on the recorded trace, the lifecycle model checks each decision as it is made, and every
limiter that exits is checked for leaked requests, timers and tasks.
"""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from cypresspulley import interface as api
from cypresspulley.explore.coverage import NO_FAULT, Pair
from cypresspulley.explore.lifecycle import CeilingBudgets, LifecycleModel, ServerFacts, Violation
from cypresspulley.histories.verdict import NOTHING_TO_CHECK
from cypresspulley.policy.gateway import Gateway
from cypresspulley.rehearsal import records as log
from cypresspulley.rehearsal.judge import judge
from cypresspulley.rehearsal.limiters import HarnessError, wire_settings
from cypresspulley.rehearsal.play import mean_work
from cypresspulley.rehearsal.scenario import Scenario
from cypresspulley.rehearsal.virtual.loop import DeadlockError, TurnLimitError, VirtualLoop
from cypresspulley.rehearsal.virtual.owner import Owner, VirtualHandle
from cypresspulley.rehearsal.virtual.play import Observer, digest, play_virtual
from cypresspulley.settings import parse_settings

FAULT_AFTERMATH_SECONDS = 2.0  # a transition this soon after a fault's end still counts as under that fault
MAX_LOOP_TURNS = 3_000_000  # event loop iterations in one play; a play that takes more counts as stuck
MAX_FAILURES_PER_RULE = 5
# Timers that may still be pending when a limiter exits: by then none of their callbacks has any effect.
HARMLESS_TIMERS = (
    "CounterClient._give_up",
    "CounterClient._redial",
    "Node.feed",
    "Upstream._sweep",
    "Frontend._sweep",
    "VirtualTransport.close",
    "Owner.forget",
    "set.discard",
)


def open_counts(gateway: Gateway) -> dict[str, float]:
    """Return counts of open requests, attempts and work; all are 0 once every request has been answered."""
    accounts = gateway.quotas.accounts.values()
    return {
        "requests": len(gateway._requests),
        "of accounts": sum(a.open_attempts for a in accounts),
        "slots": sum(a.slots.open_attempts for a in accounts if a.slots is not None),
        "work": sum(s.outstanding_work for s in gateway.load_balancer.servers.values()),
    }


@dataclass(frozen=True, slots=True)
class Failure:
    """A failed check: its category, which shrinking must preserve, and a description."""

    category: str
    text: str


@dataclass(frozen=True, slots=True)
class PlayResult:
    """The result of one play: failures, counts of (transition, fault kind) pairs, and the digest of the trace."""

    seed: int
    failures: tuple[Failure, ...]
    met: tuple[tuple[Pair, int], ...]
    digest: str
    seconds: float = 0.0
    tries: int = 0

    def has_failure(self, category: str) -> bool:
        return any(failure.category == category for failure in self.failures)


class _ObservedGateway:
    """Passes events to a limiter's gateway and shows each event with its actions to the lifecycle model."""

    def __init__(self, gateway: Gateway, model: LifecycleModel) -> None:
        self._gateway, self._model = gateway, model

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        actions = self._gateway.handle(now, event)
        self._model.observe(now, event, actions)
        return actions


@dataclass(slots=True)
class _PlayObserver(Observer):
    """Collects failures and transition counts during one play."""

    scenario: Scenario
    failures: list[Failure] = field(default_factory=list)
    met: Counter[Pair] = field(default_factory=Counter)
    faults: list[tuple[float, float, str]] = field(default_factory=list)
    now: Callable[[], float] = field(default=lambda: 0.0)
    _models: dict[str, tuple[LifecycleModel, Gateway]] = field(default_factory=dict)
    _ceilings: CeilingBudgets | None = None

    def wrap_gateway(self, name: str, gateway: Gateway) -> _ObservedGateway:
        settings = parse_settings(wire_settings(self.scenario, 0, self.scenario.fleet.halls[0]))
        if self._ceilings is None:
            self._ceilings = CeilingBudgets(settings.plans, settings.max_units)
        fleet = self.scenario.fleet
        server_facts = ServerFacts(
            fleet.cores, {c.name: c.work_ms / 1000 for c in self.scenario.classes}, fleet.drain_grace,
            mean_work(self.scenario),
        )  # fmt: skip
        model = LifecycleModel(
            name, settings, server_facts, self._ceilings, self._add_violation, self._count_transition
        )
        self._models[name] = model, gateway
        return _ObservedGateway(gateway, model)

    def record(self, record: log.Record) -> None:
        if isinstance(record, log.Happened):
            self.faults.append((record.t, record.until + FAULT_AFTERMATH_SECONDS, record.kind))

    def on_resumed(self, name: str, now: float) -> None:
        if name in self._models:
            self._models[name][0].on_resume(now)

    def on_exited(self, name: str, owner: Owner, loop: VirtualLoop) -> None:
        """Report requests, timers and tasks that a limiter left behind after an orderly exit."""
        model, gateway = self._models.pop(name)
        if open_counters := {what: count for what, count in open_counts(gateway).items() if count}:
            self._add_failure("leak", f"{name} ended with {open_counters} still counted as open")
        if unfinished := model.open_requests():
            self._add_failure("leak", f"{name} ended with {len(unfinished)} requests that had no end")
        timers = Counter(
            callback_name(handle) for handle in loop.pending_handles(owner) if not _is_probe_timeout(handle)
        )
        if leaked := {what: n for what, n in timers.items() if what not in HARMLESS_TIMERS}:
            self._add_failure("leak", f"{name} ended with timers left: {leaked}")
        tasks = [task for task in owner.tasks if not task.done()]
        if tasks:
            names = sorted(getattr(task.get_coro(), "__qualname__", "a task") for task in tasks)
            self._add_failure("leak", f"{name} ended with tasks left: {', '.join(names)}")

    def _add_violation(self, violation: Violation) -> None:
        self._add_failure(violation.rule, f"{violation.limiter}: {violation.text}")

    def _add_failure(self, category: str, text: str) -> None:
        if len(self.failures) < 50:
            self.failures.append(Failure(category, text))

    def _count_transition(self, transition: str) -> None:
        now, kinds = self.now(), list[str]()
        for begin, end, kind in self.faults:
            if begin <= now <= end and kind not in kinds:
                kinds.append(kind)
        for kind in kinds or (NO_FAULT,):
            self.met[transition, kind] += 1


def _is_probe_timeout(handle: VirtualHandle) -> bool:
    """Return whether the handle is the timeout of a probe, which may be pending at exit as no request waits for it."""
    done = getattr(handle.args[0], "on_done", None) if handle.args else None
    return callback_name(handle) == "Upstream._expired" and getattr(done, "__name__", "") == "_probed"


def callback_name(handle: VirtualHandle) -> str:
    """Return the qualified name of the function that a handle would call."""
    callback = handle.callback
    while hasattr(callback, "func"):  # unwraps functools.partial
        callback = callback.func
    return str(getattr(callback, "__qualname__", repr(callback)))


def examine(scenario: Scenario) -> PlayResult:
    """Play the scenario with its own seed and return every failure found. The result is deterministic."""
    observer, records = _PlayObserver(scenario), list[log.Record]()
    try:
        records = play_virtual(scenario, scenario.seed, observer=observer, max_turns=MAX_LOOP_TURNS)
    except (DeadlockError, TurnLimitError) as error:
        observer.failures.append(Failure("stuck", str(error)))
    except HarnessError as error:
        observer.failures.append(Failure("kit", str(error)))
    except Exception as error:
        logging.getLogger(__name__).debug("play raised an exception", exc_info=error)
        observer.failures.append(Failure("kit", f"{type(error).__name__}: {error}"))
    tries = 0
    if any(isinstance(r, log.End) for r in records):
        observer.failures += _failures_of_trace(records)
        tries = sum(isinstance(r, log.Sent) for r in records)
    met = tuple(sorted(observer.met.items()))
    return PlayResult(scenario.seed, tuple(observer.failures), met, digest(records), scenario.seconds, tries)


def _failures_of_trace(records: list[log.Record]) -> list[Failure]:
    verdict, failures = judge(records), list[Failure | None]()
    if verdict.crash:
        failures.append(Failure("crash", verdict.crash))
    if verdict.void:
        failures.append(Failure("log" if "logged an error" in verdict.void else "void", verdict.void))
    for rule in verdict.rules:
        failures += [
            Failure(rule.rule, f"{v.limiter} at {v.t:.3f} s, {v.request}: {v.text}")
            for v in rule.violations[:MAX_FAILURES_PER_RULE]
        ]
    for checked in verdict.histories:
        failures += [_broken_promise(checked.name, text) for text in checked.findings[:MAX_FAILURES_PER_RULE]]
    return [failure for failure in failures if failure is not None]


def _broken_promise(checker: str, text: str) -> Failure | None:
    """Return the failure for a history checker's finding, or None where the play was too short to check anything."""
    promise = text.partition(":")[0]
    return None if promise == NOTHING_TO_CHECK else Failure(f"{checker} {promise}", text.replace("\n", "; "))
