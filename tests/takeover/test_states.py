"""The state machine of both sides of a takeover."""

from __future__ import annotations

from itertools import product

import pytest

from cypresspulley.takeover.states import TakeoverAction, TakeoverEvent, TakeoverMachine, TakeoverState

PREDECESSOR_STATES = {
    TakeoverState.WATCHING,
    TakeoverState.OFFERED,
    TakeoverState.LATE,
    TakeoverState.HANDED_OVER,
    TakeoverState.LEAVING,
    TakeoverState.LEAVING_WITH_SUCCESSOR,
}


def run_events(state: TakeoverState, *heard: TakeoverEvent) -> tuple[TakeoverState, list[TakeoverAction]]:
    machine, done = TakeoverMachine(state), list[TakeoverAction]()
    for each in heard:
        done += machine.handle(each)
    return machine.state, done


def test_a_whole_takeover() -> None:
    assert run_events(TakeoverState.WATCHING, TakeoverEvent.HELLO, TakeoverEvent.SERVING) == (
        TakeoverState.HANDED_OVER,
        [TakeoverAction.PAUSE, TakeoverAction.OFFER, TakeoverAction.HAND_OVER],
    )
    assert run_events(
        TakeoverState.ASKING, TakeoverEvent.OFFER, TakeoverEvent.OFFER_COMPLETE, TakeoverEvent.ENDED
    ) == (TakeoverState.ALONE, [TakeoverAction.ADOPT, TakeoverAction.FORGET_PREDECESSOR])


def test_a_successor_that_dies_before_it_serves_leaves_the_predecessor_whole() -> None:
    state, done = run_events(TakeoverState.WATCHING, TakeoverEvent.HELLO, TakeoverEvent.ENDED)
    assert state is TakeoverState.WATCHING
    assert done[-3:] == [TakeoverAction.TAKE_BACK, TakeoverAction.RESUME, TakeoverAction.LISTEN]


@pytest.mark.parametrize("heard", [TakeoverEvent.TIMEOUT, TakeoverEvent.INVALID])
def test_one_that_may_serve_yet_keeps_what_it_was_given(heard: TakeoverEvent) -> None:
    state, done = run_events(TakeoverState.WATCHING, TakeoverEvent.HELLO, heard)
    assert TakeoverAction.TAKE_BACK not in done and TakeoverAction.RESUME in done
    assert done[-1] is TakeoverAction.LISTEN or state is TakeoverState.LATE
    _, done = run_events(
        TakeoverState.WATCHING, TakeoverEvent.HELLO, TakeoverEvent.SERVING, TakeoverEvent.ENDED
    )
    assert TakeoverAction.TAKE_BACK not in done
    assert done[-2:] == [TakeoverAction.RESUME, TakeoverAction.LISTEN]


def test_a_late_successor_that_serves_after_all_is_handed_over_to() -> None:
    state, done = run_events(
        TakeoverState.WATCHING, TakeoverEvent.HELLO, TakeoverEvent.TIMEOUT, TakeoverEvent.SERVING
    )
    assert state is TakeoverState.HANDED_OVER
    assert done[-3:] == [TakeoverAction.PAUSE, TakeoverAction.STOP_REFILLS, TakeoverAction.HAND_OVER]


def test_a_late_successor_that_dies_has_served_nobody_and_one_that_stays_late_may_have() -> None:
    late = (TakeoverEvent.HELLO, TakeoverEvent.TIMEOUT)
    state, done = run_events(TakeoverState.WATCHING, *late, TakeoverEvent.ENDED)
    assert state is TakeoverState.WATCHING and TakeoverAction.TAKE_BACK in done
    for heard in (TakeoverEvent.TIMEOUT, TakeoverEvent.INVALID):
        state, done = run_events(TakeoverState.WATCHING, *late, heard)
        assert state is TakeoverState.WATCHING and TakeoverAction.TAKE_BACK not in done
        assert TakeoverAction.COUNT_AS_USED in done


def is_paused(done: list[TakeoverAction]) -> bool:
    """Return whether the actions leave the listener paused."""
    changes = [each for each in done if each in (TakeoverAction.PAUSE, TakeoverAction.RESUME)]
    return bool(changes) and changes[-1] is TakeoverAction.PAUSE


@pytest.mark.parametrize("before", [(), (TakeoverEvent.OFFER,)])
@pytest.mark.parametrize("heard", [TakeoverEvent.TIMEOUT, TakeoverEvent.INVALID, TakeoverEvent.ENDED])
def test_a_successor_without_a_whole_offer_starts_alone(
    before: tuple[TakeoverEvent, ...], heard: TakeoverEvent
) -> None:
    state, done = run_events(TakeoverState.ASKING, *before, heard)
    assert state is TakeoverState.ALONE and done[-1] is TakeoverAction.START


def test_every_state_comes_to_rest_whatever_is_heard() -> None:
    """For any sequence of events, each pause is followed by a resume, and exactly one start or adoption happens."""
    for events in product(TakeoverEvent, repeat=4):
        state, done = run_events(TakeoverState.WATCHING, *events, TakeoverEvent.ENDED)
        assert state in PREDECESSOR_STATES and not is_paused(done)
        # Between two pauses there is a resume; a process that leaves while its successor is late resumes twice.
        assert done.count(TakeoverAction.PAUSE) <= done.count(TakeoverAction.RESUME)
        ends = [each for each in done if each in (TakeoverAction.TAKE_BACK, TakeoverAction.COUNT_AS_USED)]
        assert len(ends) == done.count(TakeoverAction.OFFER), "each split ends, and ends once"
        state, done = run_events(TakeoverState.ASKING, *events, TakeoverEvent.ENDED)
        assert (
            state is TakeoverState.ALONE
            and done.count(TakeoverAction.START) + done.count(TakeoverAction.ADOPT) == 1
        )


@pytest.mark.parametrize("before", [(), (TakeoverEvent.HELLO,), (TakeoverEvent.HELLO, TakeoverEvent.SERVING)])
def test_a_process_that_leaves_offers_nothing_and_waits_for_no_further_successor(
    before: tuple[TakeoverEvent, ...],
) -> None:
    """Guards against a leaving process that takes the takeover socket back and offers a listener that is closed."""
    for events in product(TakeoverEvent, repeat=3):
        state, done = run_events(
            TakeoverState.WATCHING, *before, TakeoverEvent.LEAVE, *events, TakeoverEvent.ENDED
        )
        after = done[len(run_events(TakeoverState.WATCHING, *before)[1]) :]
        assert state is TakeoverState.LEAVING
        assert TakeoverAction.LISTEN not in after and TakeoverAction.OFFER not in after
        assert not is_paused(done)
