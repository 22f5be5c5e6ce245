"""The table of a process's states."""

from __future__ import annotations

from itertools import product

import pytest

from cypresspulley.lifecycle import TABLE, Lifecycle, LifecycleState, Step


def after(*steps: Step) -> Lifecycle:
    life = Lifecycle()
    for step in steps:
        assert life.step(step), f"no row for {step} in {life}"
    return life


def test_each_row_leads_on_and_nothing_leads_out_of_leaving() -> None:
    for (state, step), target in TABLE.items():
        assert state is not LifecycleState.LEAVING or target is LifecycleState.LEAVING, (state, step)
        assert target is not LifecycleState.STARTING
    assert {TABLE[state, Step.TERM] for state in LifecycleState} == {LifecycleState.LEAVING}


@pytest.mark.parametrize(
    "state", [s for s in LifecycleState if s not in (LifecycleState.STARTING, LifecycleState.LEAVING)]
)
def test_a_drain_and_its_end_undo_each_other_in_every_serving_state(state: LifecycleState) -> None:
    life = Lifecycle()
    life.state = state
    assert life.step(Step.ACTIVATE)
    calm = life.state
    assert life.step(Step.DRAIN) and life.drained and life.step(Step.DRAIN) and life.drained
    assert life.step(Step.ACTIVATE) and life.state is calm and not life.drained


def test_a_drain_outlasts_an_upgrade_on_both_sides() -> None:
    old = after(Step.SERVE, Step.DRAIN, Step.HAND)
    assert old.handed and old.drained and not old.ready
    assert old.step(Step.BACK) and old.state is LifecycleState.DRAINING
    new = after(Step.SUCCEED, Step.DRAIN)
    assert new.ready, "the platform waits for this yes"
    assert new.step(Step.ALONE) and new.state is LifecycleState.DRAINING and not new.ready


def test_a_successor_that_ends_leaves_its_predecessor_whole() -> None:
    life = after(Step.SERVE, Step.HAND)
    assert life.handed and life.ready
    assert life.step(Step.BACK) and life.state is LifecycleState.READY and not life.handed


def test_what_has_no_row_changes_nothing() -> None:
    for state, step in product(LifecycleState, Step):
        life = Lifecycle()
        life.state = state
        assert life.step(step) is ((state, step) in TABLE)
        assert life.state is TABLE.get((state, step), state)
    assert not after(Step.TERM).step(Step.DRAIN)
