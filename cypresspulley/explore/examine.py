"""One play in virtual time, all looked at: the rules by the judge, each step by the model, ends by what is left."""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from cypresspulley import interface as api
from cypresspulley.explore.coverage import NO_FAULT, Pair
from cypresspulley.explore.lifecycle import Ceilings, Fleet, Offence, Watch
from cypresspulley.histories.verdict import NOTHING
from cypresspulley.policy.gateway import Gateway
from cypresspulley.rehearsal import records as log
from cypresspulley.rehearsal.judge import judge
from cypresspulley.rehearsal.limiters import KitError, wire_settings
from cypresspulley.rehearsal.play import mean_work
from cypresspulley.rehearsal.scenario import Scenario
from cypresspulley.rehearsal.virtual.loop import DeadlockError, TurnLimitError, VirtualLoop
from cypresspulley.rehearsal.virtual.owner import Owner, VirtualHandle
from cypresspulley.rehearsal.virtual.play import Observer, digest, play_virtual
from cypresspulley.settings import parse_settings

AFTERMATH = 2.0  # seconds past its end for which a fault counts as met
MOST_TURNS = 3_000_000  # of the loop in one play: one that goes on and on is stuck
MOST_SAID = 5
# Timers that an exiting limiter may leave to the end of its process: each does nothing by then.
LEFT_OVER = (
    "CounterClient._give_up",
    "CounterClient._redial",
    "Node.feed",
    "Upstream._sweep",
    "Frontend._sweep",
    "VirtualTransport.close",
    "Owner.forget",
    "set.discard",
)


def left_of(gateway: Gateway) -> dict[str, float]:
    """What is left of requests: all 0 once each has had its answer."""
    accounts = gateway.quotas.accounts.values()
    return {
        "requests": len(gateway._requests),
        "of accounts": sum(a.open_attempts for a in accounts),
        "slots": sum(a.slots.open_attempts for a in accounts if a.slots is not None),
        "work": sum(s.outstanding_work for s in gateway.load_balancer.servers.values()),
    }


@dataclass(frozen=True, slots=True)
class Find:
    """What is wrong with a day: its sort (what shrinking must keep) and it in words."""

    sort: str
    text: str


@dataclass(frozen=True, slots=True)
class Examined:
    """One play: what was wrong, which pairs of transition and fault were met, and the trace's digest."""

    seed: int
    finds: tuple[Find, ...]
    met: tuple[tuple[Pair, int], ...]
    digest: str
    seconds: float = 0.0
    tries: int = 0

    def has(self, sort: str) -> bool:
        return any(find.sort == sort for find in self.finds)


class _Between:
    """The decisions of a limiter with its watch behind them."""

    def __init__(self, gateway: Gateway, watch: Watch) -> None:
        self._gateway, self._watch = gateway, watch

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        actions = self._gateway.handle(now, event)
        self._watch.step(now, event, actions)
        return actions


@dataclass(slots=True)
class _Eyes(Observer):
    """What looks on during one play."""

    scenario: Scenario
    finds: list[Find] = field(default_factory=list)
    met: Counter[Pair] = field(default_factory=Counter)
    faults: list[tuple[float, float, str]] = field(default_factory=list)
    now: Callable[[], float] = field(default=lambda: 0.0)
    _watches: dict[str, tuple[Watch, Gateway]] = field(default_factory=dict)
    _ceilings: Ceilings | None = None

    def wrap_gateway(self, name: str, gateway: Gateway) -> _Between:
        settings = parse_settings(wire_settings(self.scenario, 0, self.scenario.fleet.halls[0]))
        if self._ceilings is None:
            self._ceilings = Ceilings(settings.plans, settings.max_units)
        fleet = self.scenario.fleet
        facts = Fleet(
            fleet.cores, {c.name: c.work_ms / 1000 for c in self.scenario.classes}, fleet.drain_grace,
            mean_work(self.scenario),
        )  # fmt: skip
        watch = Watch(name, settings, facts, self._ceilings, self._offended, self._met)
        self._watches[name] = watch, gateway
        return _Between(gateway, watch)

    def record(self, record: log.Record) -> None:
        if isinstance(record, log.Happened):
            self.faults.append((record.t, record.until + AFTERMATH, record.kind))

    def on_resumed(self, name: str, now: float) -> None:
        if name in self._watches:
            self._watches[name][0].woke(now)

    def on_exited(self, name: str, owner: Owner, loop: VirtualLoop) -> None:
        """A limiter ended in order: nothing of its requests may be left."""
        watch, gateway = self._watches.pop(name)
        if left := {what: count for what, count in left_of(gateway).items() if count}:
            self._find("leak", f"{name} ended with {left} still counted as open")
        if lives := watch.open():
            self._find("leak", f"{name} ended with {len(lives)} requests that had no end")
        timers = Counter(called(handle) for handle in loop.pending_handles(owner) if not _of_probe(handle))
        if strange := {what: n for what, n in timers.items() if what not in LEFT_OVER}:
            self._find("leak", f"{name} ended with timers left: {strange}")
        tasks = [task for task in owner.tasks if not task.done()]
        if tasks:
            names = sorted(getattr(task.get_coro(), "__qualname__", "a task") for task in tasks)
            self._find("leak", f"{name} ended with tasks left: {', '.join(names)}")

    def _offended(self, offence: Offence) -> None:
        self._find(offence.rule, f"{offence.limiter}: {offence.text}")

    def _find(self, sort: str, text: str) -> None:
        if len(self.finds) < 50:
            self.finds.append(Find(sort, text))

    def _met(self, transition: str) -> None:
        now, kinds = self.now(), list[str]()
        for begin, end, kind in self.faults:
            if begin <= now <= end and kind not in kinds:
                kinds.append(kind)
        for kind in kinds or (NO_FAULT,):
            self.met[transition, kind] += 1


def _of_probe(handle: VirtualHandle) -> bool:
    """A probe may be out at the end: no request waits for it."""
    done = getattr(handle.args[0], "on_done", None) if handle.args else None
    return called(handle) == "Upstream._expired" and getattr(done, "__name__", "") == "_probed"


def called(handle: VirtualHandle) -> str:
    """The name of what a handle would call."""
    callback = handle.callback
    while hasattr(callback, "func"):  # partials
        callback = callback.func
    return str(getattr(callback, "__qualname__", repr(callback)))


def examine(scenario: Scenario) -> Examined:
    """Play the scenario with its own seed and say all that is wrong with it. Deterministic."""
    eyes, records = _Eyes(scenario), list[log.Record]()
    try:
        records = play_virtual(scenario, scenario.seed, observer=eyes, max_turns=MOST_TURNS)
    except (DeadlockError, TurnLimitError) as error:
        eyes.finds.append(Find("stuck", str(error)))
    except KitError as error:
        eyes.finds.append(Find("kit", str(error)))
    except Exception as error:
        logging.getLogger(__name__).debug("the play failed", exc_info=error)
        eyes.finds.append(Find("kit", f"{type(error).__name__}: {error}"))
    tries = 0
    if any(isinstance(r, log.End) for r in records):
        eyes.finds += _judged(records)
        tries = sum(isinstance(r, log.Sent) for r in records)
    met = tuple(sorted(eyes.met.items()))
    return Examined(scenario.seed, tuple(eyes.finds), met, digest(records), scenario.seconds, tries)


def _judged(records: list[log.Record]) -> list[Find]:
    verdict, finds = judge(records), list[Find | None]()
    if verdict.crash:
        finds.append(Find("crash", verdict.crash))
    if verdict.void:
        finds.append(Find("log" if "logged an error" in verdict.void else "void", verdict.void))
    for rule in verdict.rules:
        finds += [
            Find(rule.rule, f"{v.limiter} at {v.t:.3f} s, {v.request}: {v.text}")
            for v in rule.violations[:MOST_SAID]
        ]
    for one in verdict.histories:
        finds += [_promise(one.name, text) for text in one.findings[:MOST_SAID]]
    return [find for find in finds if find is not None]


def _promise(checker: str, text: str) -> Find | None:
    """A promise of what limiters do together that broke. That a short day put none to the test is no find."""
    promise = text.partition(":")[0]
    return None if promise == NOTHING else Find(f"{checker} {promise}", text.replace("\n", "; "))
