"""Reservations and levels over a change: tables, and a search for orders that give something twice."""

from __future__ import annotations

from itertools import product

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cypresspulley.plans.bucket_level import BucketLevel, max_ceiling_overshoot
from cypresspulley.plans.reservations import (
    TERMINAL_STATES,
    TRANSITIONS,
    Capacity,
    Reservation,
    ReservationError,
    ReservationEvent,
    ReservationRequest,
    Reservations,
    ReservationState,
    peak_rate,
)  # fmt: skip

WISH = ReservationRequest("ev", "hotel", 1000, 2000, 100)
ROOMY = Capacity(10**9)


def made(wish: ReservationRequest = WISH, room: Capacity = ROOMY) -> Reservations:
    all_ = Reservations()
    all_.reserve(wish, room)
    return all_


@pytest.mark.parametrize(("at", "heard"), list(product(ReservationState, ReservationEvent)))
def test_each_cell_of_the_table(at: ReservationState, heard: ReservationEvent) -> None:
    one = Reservation(WISH, at, in_flight={"r": 5})
    assert one.handle_event(heard) == ((at, heard) in TRANSITIONS)
    assert one.state is TRANSITIONS.get((at, heard), at)
    assert at not in TERMINAL_STATES or one.state is at


def test_a_release_while_drawn_on_settles_by_what_is_in_flight() -> None:
    all_ = made()
    all_.tick(1000)
    assert all_.draw("ev", "r1", 30) and all_.draw("ev", "r2", 20) and all_.draw("ev", "r1", 30)
    one = all_.release("ev")
    assert one.state is ReservationState.DRAINING and one.given_back == 0 and not all_.draw("ev", "r3", 1)
    all_.settle("ev", "r1", 35)
    assert all_.release("ev").state is ReservationState.DRAINING  # a second time changes nothing
    all_.settle("ev", "r2", 0)  # it never ran
    assert all_.by_key["ev"].state is ReservationState.RELEASED and one.drawn == 35 and one.given_back == 65
    assert all_.settle("ev", "r2", 50) == 0 and one.given_back == 65


def test_the_window_s_end_lets_what_is_in_flight_end() -> None:
    all_ = made()
    all_.tick(1500)
    assert all_.draw("ev", "r", 100) and not all_.draw("ev", "s", 1)
    assert [r.state for r in all_.tick(2000)] == [ReservationState.DRAINING]
    all_.settle("ev", "r", 90)
    assert all_.by_key["ev"].state is ReservationState.EXPIRED and all_.by_key["ev"].given_back == 10
    all_.correct("ev", 4)
    assert all_.by_key["ev"].given_back == 10 and all_.by_key["ev"].corrections == 4


def test_a_key_names_one_reservation() -> None:
    all_ = made()
    assert all_.reserve(WISH, Capacity(0)) is all_.by_key["ev"]
    with pytest.raises(ReservationError, match="names another"):
        all_.reserve(ReservationRequest("ev", "hotel", 1000, 2000, 101), ROOMY)
    with pytest.raises(ReservationError, match="no reservation"):
        all_.release("other")


@pytest.mark.parametrize(
    ("wish", "room", "at"),
    [
        (WISH, Capacity(100), ReservationState.HELD),
        (WISH, Capacity(99), ReservationState.REFUSED),  # the fleet has less
        (WISH, Capacity(100, 50, 50), ReservationState.HELD),  # out of the ceiling's rate and its burst
        (WISH, Capacity(100, 50, 49), ReservationState.REFUSED),
    ],
)
def test_only_what_plan_and_fleet_can_hold_is_admitted(
    wish: ReservationRequest, room: Capacity, at: ReservationState
) -> None:
    assert made(wish, room).by_key["ev"].state is at


def test_what_others_hold_at_the_time_counts() -> None:
    all_ = made()
    assert (
        all_.reserve(ReservationRequest("b", "inn", 1999, 2999, 50), Capacity(149)).state
        is ReservationState.REFUSED
    )
    assert (
        all_.reserve(ReservationRequest("c", "inn", 2000, 3000, 50), Capacity(149)).state
        is ReservationState.HELD
    )
    all_.release("ev")
    assert (
        all_.reserve(ReservationRequest("d", "inn", 1000, 2000, 100), Capacity(149)).state
        is ReservationState.HELD
    )
    assert peak_rate([]) == 0


@pytest.mark.parametrize(
    "bad",
    [
        ReservationRequest("", "h", 0, 1, 1),
        ReservationRequest("k", "h", 5, 5, 1),
        ReservationRequest("k", "h", 0, 1, 0),
    ],
)
def test_bad_wishes_are_refused(bad: ReservationRequest) -> None:
    with pytest.raises(ReservationError, match="expected"):
        made(bad)


STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("draw"), st.integers(0, 9), st.integers(0, 60)),
        st.tuples(st.just("settle"), st.integers(0, 9), st.integers(0, 60)),
        st.tuples(st.just("release"), st.just(0), st.just(0)),
        st.tuples(st.just("tick"), st.integers(0, 2500), st.just(0)),
    ),
    max_size=40,
)


@given(STEPS)
def test_units_are_drawn_or_given_back_once_in_any_order(steps: list[tuple[str, int, int]]) -> None:
    all_ = made()
    one, settled, states = all_.by_key["ev"], 0, [ReservationState.HELD]
    for kind, number, units in steps:
        was_over, back = one.state in TERMINAL_STATES, one.given_back
        if kind == "draw":
            all_.draw("ev", f"r{number}", units)
        elif kind == "settle":
            settled += units if f"r{number}" in one.in_flight else 0
            all_.settle("ev", f"r{number}", units)
        elif kind == "release":
            all_.release("ev")
        else:
            all_.tick(number)
        assert one.drawn == settled
        assert not was_over or (one.state in TERMINAL_STATES and one.given_back == back and not one.in_flight)
        assert one.state not in TERMINAL_STATES or one.given_back == max(0, WISH.units - one.drawn)
        assert one.state is ReservationState.ACTIVE or one.available_units == 0
        if one.state is not states[-1]:
            states.append(one.state)
    assert len(states) == len(set(states))  # no state twice


FIGURES = st.floats(0.1, 50)


@given(
    st.lists(st.tuples(FIGURES, FIGURES), min_size=1, max_size=6), st.lists(FIGURES, min_size=6, max_size=6)
)
def test_shares_together_hold_no_more_than_the_whole(
    terms: list[tuple[float, float]], gaps: list[float]
) -> None:
    """Up, down and up again: n shares that carry over hold at most what one store that does would."""
    n, at = 5, 0.0
    whole = BucketLevel(20.0, 0.0, 2.0, 20.0)
    shares = [BucketLevel(20.0 / n * k / 2, 0.0, 2.0 / n, 20.0 / n) for k in range(n) if k <= 2] + [
        BucketLevel(0, 0, 0.4, 4.0)
    ] * 2
    for (rate, burst), gap in zip(terms, gaps, strict=False):
        at += gap
        whole = whole.with_limits(at, rate, burst)
        shares = [s.with_limits(at, rate / n, burst / n) for s in shares]
        assert sum(s.units for s in shares) <= whole.units + 1e-9
        assert whole.units <= burst + 1e-9


def test_a_change_back_and_forth_gives_nothing_and_forgives_nothing() -> None:
    level = BucketLevel(3.0, 0.0, 1.0, 20.0)
    assert level.with_limits(1.0, 2.0, 8.0).with_limits(1.0, 1.0, 20.0).units == 4.0
    assert (
        BucketLevel(15.0, 0.0, 1.0, 20.0).with_limits(0.0, 2.0, 8.0).with_limits(0.0, 1.0, 20.0).units == 8.0
    )
    assert level.refilled_until(-5.0) is level and level.with_units_drawn(4.0).units == -1.0


def test_the_slack_is_what_the_last_to_hear_may_let_in() -> None:
    assert max_ceiling_overshoot((5.0, 24.0), (3.0, 12.0), 0.5) == pytest.approx(2 * 0.5 + 12)
    assert (
        max_ceiling_overshoot((5.0, 24.0), (3.0, 12.0), 0.0) == 0
        and max_ceiling_overshoot((3.0, 12.0), (5.0, 24.0), 9.0) == 0
    )
