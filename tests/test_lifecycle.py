"""The table of a process's states."""

from __future__ import annotations

from itertools import product

import pytest

from cypresspulley.lifecycle import TRANSITIONS, Lifecycle, LifecycleEvent, LifecycleState


def after(*steps: LifecycleEvent) -> Lifecycle:
    life = Lifecycle()
    for step in steps:
        assert life.apply(step), f"no row for {step} in {life}"
    return life


def test_each_row_leads_on_and_nothing_leads_out_of_leaving() -> None:
    for (state, step), target in TRANSITIONS.items():
        assert state is not LifecycleState.LEAVING or target is LifecycleState.LEAVING, (state, step)
        assert target is not LifecycleState.STARTING
    assert {TRANSITIONS[state, LifecycleEvent.TERMINATE] for state in LifecycleState} == {
        LifecycleState.LEAVING
    }


@pytest.mark.parametrize(
    "state", [s for s in LifecycleState if s not in (LifecycleState.STARTING, LifecycleState.LEAVING)]
)
def test_a_drain_and_its_end_undo_each_other_in_every_serving_state(state: LifecycleState) -> None:
    life = Lifecycle()
    life.state = state
    assert life.apply(LifecycleEvent.ACTIVATE)
    calm = life.state
    assert (
        life.apply(LifecycleEvent.DRAIN)
        and life.drained
        and life.apply(LifecycleEvent.DRAIN)
        and life.drained
    )
    assert life.apply(LifecycleEvent.ACTIVATE) and life.state is calm and not life.drained


def test_a_drain_outlasts_an_upgrade_on_both_sides() -> None:
    old = after(LifecycleEvent.SERVE, LifecycleEvent.DRAIN, LifecycleEvent.HAND_OVER)
    assert old.handed_over and old.drained and not old.ready
    assert old.apply(LifecycleEvent.TAKE_BACK) and old.state is LifecycleState.DRAINING
    new = after(LifecycleEvent.SERVE_AS_SUCCESSOR, LifecycleEvent.DRAIN)
    assert new.ready, "the platform waits for this yes"
    assert (
        new.apply(LifecycleEvent.PREDECESSOR_ENDED) and new.state is LifecycleState.DRAINING and not new.ready
    )


def test_a_successor_that_ends_leaves_its_predecessor_whole() -> None:
    life = after(LifecycleEvent.SERVE, LifecycleEvent.HAND_OVER)
    assert life.handed_over and life.ready
    assert (
        life.apply(LifecycleEvent.TAKE_BACK) and life.state is LifecycleState.READY and not life.handed_over
    )


def test_what_has_no_row_changes_nothing() -> None:
    for state, step in product(LifecycleState, LifecycleEvent):
        life = Lifecycle()
        life.state = state
        assert life.apply(step) is ((state, step) in TRANSITIONS)
        assert life.state is TRANSITIONS.get((state, step), state)
    assert not after(LifecycleEvent.TERMINATE).apply(LifecycleEvent.DRAIN)
