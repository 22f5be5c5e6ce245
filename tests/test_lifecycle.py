"""Transitions of a limiter process between its states."""

from __future__ import annotations

from itertools import product

import pytest

from cypresspulley.lifecycle import TRANSITIONS, Lifecycle, LifecycleEvent, LifecycleState


def lifecycle_after(*events: LifecycleEvent) -> Lifecycle:
    lifecycle = Lifecycle()
    for event in events:
        assert lifecycle.apply(event), f"no transition for {event} in {lifecycle}"
    return lifecycle


def test_each_row_leads_on_and_nothing_leads_out_of_leaving() -> None:
    for (state, event), target in TRANSITIONS.items():
        assert state is not LifecycleState.LEAVING or target is LifecycleState.LEAVING, (state, event)
        assert target is not LifecycleState.STARTING
    assert {TRANSITIONS[state, LifecycleEvent.TERMINATE] for state in LifecycleState} == {
        LifecycleState.LEAVING
    }


@pytest.mark.parametrize(
    "state",
    [s for s in LifecycleState if s not in (LifecycleState.STARTING, LifecycleState.LEAVING)],
)
def test_a_drain_and_its_end_undo_each_other_in_every_serving_state(state: LifecycleState) -> None:
    lifecycle = Lifecycle()
    lifecycle.state = state
    assert lifecycle.apply(LifecycleEvent.ACTIVATE)
    active_state = lifecycle.state
    assert (
        lifecycle.apply(LifecycleEvent.DRAIN)
        and lifecycle.drained
        and lifecycle.apply(LifecycleEvent.DRAIN)
        and lifecycle.drained
    )
    assert (
        lifecycle.apply(LifecycleEvent.ACTIVATE) and lifecycle.state is active_state and not lifecycle.drained
    )


def test_a_drain_outlasts_an_upgrade_on_both_sides() -> None:
    predecessor = lifecycle_after(LifecycleEvent.SERVE, LifecycleEvent.DRAIN, LifecycleEvent.HAND_OVER)
    assert predecessor.handed_over and predecessor.drained and not predecessor.ready
    assert predecessor.apply(LifecycleEvent.TAKE_BACK) and predecessor.state is LifecycleState.DRAINING
    successor = lifecycle_after(LifecycleEvent.SERVE_AS_SUCCESSOR, LifecycleEvent.DRAIN)
    assert successor.ready, "the platform waits until the successor is ready"
    assert (
        successor.apply(LifecycleEvent.PREDECESSOR_ENDED)
        and successor.state is LifecycleState.DRAINING
        and not successor.ready
    )


def test_a_successor_that_ends_leaves_its_predecessor_whole() -> None:
    lifecycle = lifecycle_after(LifecycleEvent.SERVE, LifecycleEvent.HAND_OVER)
    assert lifecycle.handed_over and lifecycle.ready
    assert (
        lifecycle.apply(LifecycleEvent.TAKE_BACK)
        and lifecycle.state is LifecycleState.READY
        and not lifecycle.handed_over
    )


def test_what_has_no_row_changes_nothing() -> None:
    for state, event in product(LifecycleState, LifecycleEvent):
        lifecycle = Lifecycle()
        lifecycle.state = state
        assert lifecycle.apply(event) is ((state, event) in TRANSITIONS)
        assert lifecycle.state is TRANSITIONS.get((state, event), state)
    assert not lifecycle_after(LifecycleEvent.TERMINATE).apply(LifecycleEvent.DRAIN)
