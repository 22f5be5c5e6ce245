"""The model of the request lifecycle reports every forbidden step and nothing that a correct limiter does."""

from __future__ import annotations

import pytest

from cypresspulley import interface as api
from cypresspulley.explore.lifecycle import (
    FORBIDDEN,
    CeilingBudgets,
    LifecycleModel,
    RepeatKind,
    RequestState,
    ServerFacts,
    Violation,
)
from cypresspulley.interface import Effect, Scope, Status
from cypresspulley.rehearsal.rules import RULES

REQUEST_LOST, EFFECT_TWICE, DRAIN_IGNORED, COLD_OVERLOAD, CEILING_EXCEEDED = RULES
CLASSES = {
    RepeatKind.SAFE: api.RequestClass("safe", 1.0, 1.0, Effect.SAFE),
    RepeatKind.KEYED: api.RequestClass("keyed", 1.0, 1.0, Effect.KEYED, window=2.0),
    RepeatKind.KEYED_PART: api.RequestClass("part", 1.0, 1.0, Effect.KEYED, scope=Scope.CELL, window=2.0),
    RepeatKind.UNSAFE: api.RequestClass("unsafe", 1.0, 1.0, Effect.UNSAFE),
}
HARD = api.Plan("hard", rate=1.0, burst=2.0, ceiling_rate=1.0, ceiling_burst=3.0)
SETTINGS = api.Settings(
    0, 2, "a", tuple(CLASSES.values()), (api.Plan("free"), HARD), max_attempts=3, cold_share=0.2, warm_after=10.0,
    fall_multiple=2.0, fall_window=1.0,
)  # fmt: skip
FLEET = ServerFacts(1.0, {c.name: 0.1 for c in CLASSES.values()}, drain_grace=1.0, mean_work=0.1)
UP, DRAINING = api.Health.UP, api.Health.DRAINING


class ModelHarness:
    """A lifecycle model with the violations and transitions that it reported."""

    def __init__(self) -> None:
        self.violations, self.met = list[Violation](), list[str]()
        ceilings = CeilingBudgets(SETTINGS.plans, 1.0)
        self.model = LifecycleModel(
            "limiter-0", SETTINGS, FLEET, ceilings, self.violations.append, self.met.append
        )
        entries = [api.ServerEntry(f"s{n}", UP, "ab"[n % 2], n) for n in range(3)]
        self.model.observe(0.0, api.ServerList(tuple(entries), True), [])

    def take(self, kind: RepeatKind, id: int = 1, now: float = 0.0, plan: str = "free") -> None:
        self.model.observe(now, api.Request(id, CLASSES[kind].name, plan, 4.0, "00"), [])

    def send(self, now: float = 0.0, server: str = "s0", id: int = 1) -> None:
        self.model.observe(now, api.TimerFired(0), [api.Send(id, server, 1.0)])

    def outcome(
        self, status: Status, attempt: int = 0, now: float = 0.1, server: str = "s0", id: int = 1
    ) -> None:
        self.model.observe(now, api.Outcome(id, attempt, server, status, 0.1, False, {}), [])

    def end(self, action: api.Action, now: float = 0.2) -> None:
        self.model.observe(now, api.TimerFired(0), [action])

    @property
    def rules(self) -> list[str]:
        return [violation.rule for violation in self.violations]


def bring_to_state(harness: ModelHarness, kind: RepeatKind, state: RequestState) -> None:
    harness.take(kind)
    if state is RequestState.IN_FLIGHT:
        harness.send()
    elif state in (RequestState.MAYBE_RAN, RequestState.MAYBE_RAN_IN_FLIGHT):
        harness.send()
        harness.outcome(Status.BROKEN)
        if state is RequestState.MAYBE_RAN_IN_FLIGHT:
            harness.send(0.1)
            harness.violations.clear()  # that send is already a violation for some kinds
    elif state is RequestState.ENDED:
        harness.send()  # keeps an attempt in flight, since an ended request without one is dropped
        harness.model.observe(0.1, api.ClientDisconnected(1), [])


ACTIONS: dict[str, api.Action] = {
    "send": api.Send(1, "s0", 1.0),
    "refuse": api.Refuse(1, 0.1),
    "fail": api.Fail(1),
}


@pytest.mark.parametrize("kind", RepeatKind)
@pytest.mark.parametrize("state", RequestState)
@pytest.mark.parametrize("symbol", ["send", "refuse", "fail", "take"])
def test_the_table_is_what_is_said(state: RequestState, symbol: str, kind: RepeatKind) -> None:
    harness = ModelHarness()
    bring_to_state(harness, kind, state)
    if symbol == "take":
        harness.take(kind, now=0.2)
    else:
        harness.end(ACTIONS[symbol])
    row = FORBIDDEN.get((state, symbol))
    assert harness.rules == ([row[0]] if row is not None and kind in row[1] else [])


def test_a_life_with_a_retry_after_proof_that_it_never_ran_is_right() -> None:
    harness = ModelHarness()
    harness.take(RepeatKind.UNSAFE)
    harness.send()
    harness.outcome(Status.FULL)
    harness.send(0.2, "s1")
    harness.outcome(Status.OK, 1, 0.3, "s1")
    harness.model.observe(9.0, api.TimerFired(0), [])
    assert harness.violations == [] and harness.met[-3:] == ["retried", "attempt ok", "answered"]
    assert harness.model.requests == {}


def test_what_is_open_past_its_time_is_lost_unless_the_process_was_stopped() -> None:
    harness = ModelHarness()
    harness.take(RepeatKind.SAFE)
    harness.model.observe(4.05, api.TimerFired(0), [])
    assert harness.violations == []
    harness.model.observe(4.1, api.TimerFired(0), [])
    assert harness.rules == [REQUEST_LOST]
    resumed = ModelHarness()
    resumed.take(RepeatKind.SAFE)
    resumed.model.on_resume(9.0)
    resumed.model.observe(9.05, api.TimerFired(0), [])
    assert resumed.violations == [] and len(resumed.model.open_requests()) == 1


def test_a_keyed_repeat_past_the_window_or_outside_the_group_is_convicted() -> None:
    for server, now, rules in (("s0", 1.5, []), ("s1", 1.5, [EFFECT_TWICE]), ("s0", 2.5, [EFFECT_TWICE])):
        harness = ModelHarness()
        harness.take(RepeatKind.KEYED_PART)
        harness.send()
        harness.outcome(Status.BROKEN)
        harness.send(now, server)
        assert harness.rules == rules


def test_a_drain_has_its_grace_and_no_more() -> None:
    harness = ModelHarness()
    harness.model.observe(1.0, api.ServerList((api.ServerEntry("s0", DRAINING, "a"),), False), [])
    harness.take(RepeatKind.SAFE, now=1.5)
    harness.send(2.0)
    assert harness.violations == []
    harness.send(2.1)
    assert harness.rules == [DRAIN_IGNORED]
    harness.model.observe(2.2, api.ServerList((api.ServerEntry("s0", UP, "a"),), False), [])
    harness.take(RepeatKind.SAFE, 2, 2.3)
    harness.send(2.4, id=2)
    assert harness.rules == [DRAIN_IGNORED]


def test_a_cold_server_bears_its_share_and_no_more() -> None:
    harness = ModelHarness()
    harness.model.observe(1.0, api.ServerList((api.ServerEntry("s0", UP, "a", born=0.9),), False), [])
    for id in range(1, 12):  # 0.208 cores, times 2, for 1 s: N = 4.16, so 10.2 requests of 0.1 s
        harness.take(RepeatKind.SAFE, id, 1.0)
        harness.send(1.0, id=id)
    assert harness.rules == [COLD_OVERLOAD]
    warm = ModelHarness()
    for id in range(1, 20):
        warm.take(RepeatKind.SAFE, id, 1.0)
        warm.send(1.0, id=id)
    assert warm.violations == []


def test_a_ceiling_is_one_for_all_limiters() -> None:
    ceilings, violations = CeilingBudgets(SETTINGS.plans, 1.0), list[Violation]()
    models = [
        LifecycleModel(f"limiter-{n}", SETTINGS, FLEET, ceilings, violations.append, lambda _: None)
        for n in range(2)
    ]
    for id in range(1, 6):  # 3 of burst, 1.15 of slack
        model = models[id % 2]
        model.observe(0.0, api.Request(id, "safe", "hard", 4.0, "00"), [api.Send(id, "s0", 1.0)])
    assert [violation.rule for violation in violations] == [CEILING_EXCEEDED]
