"""Reservations and bucket levels across changes: each transition, and a search for orders that grant units twice."""

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
LARGE_CAPACITY = Capacity(10**9)


def reserved(wish: ReservationRequest = WISH, room: Capacity = LARGE_CAPACITY) -> Reservations:
    reservations = Reservations()
    reservations.reserve(wish, room)
    return reservations


@pytest.mark.parametrize(("at", "heard"), list(product(ReservationState, ReservationEvent)))
def test_each_cell_of_the_table(at: ReservationState, heard: ReservationEvent) -> None:
    reservation = Reservation(WISH, at, in_flight={"r": 5})
    assert reservation.handle_event(heard) == ((at, heard) in TRANSITIONS)
    assert reservation.state is TRANSITIONS.get((at, heard), at)
    assert at not in TERMINAL_STATES or reservation.state is at


def test_a_release_while_drawn_on_settles_by_what_is_in_flight() -> None:
    reservations = reserved()
    reservations.tick(1000)
    assert (
        reservations.draw("ev", "r1", 30)
        and reservations.draw("ev", "r2", 20)
        and reservations.draw("ev", "r1", 30)
    )
    reservation = reservations.release("ev")
    assert (
        reservation.state is ReservationState.DRAINING
        and reservation.given_back == 0
        and not reservations.draw("ev", "r3", 1)
    )
    reservations.settle("ev", "r1", 35)
    assert reservations.release("ev").state is ReservationState.DRAINING  # a second time changes nothing
    reservations.settle("ev", "r2", 0)  # it never ran
    assert (
        reservations.by_key["ev"].state is ReservationState.RELEASED
        and reservation.drawn == 35
        and reservation.given_back == 65
    )
    assert reservations.settle("ev", "r2", 50) == 0 and reservation.given_back == 65


def test_the_window_s_end_lets_what_is_in_flight_end() -> None:
    reservations = reserved()
    reservations.tick(1500)
    assert reservations.draw("ev", "r", 100) and not reservations.draw("ev", "s", 1)
    assert [r.state for r in reservations.tick(2000)] == [ReservationState.DRAINING]
    reservations.settle("ev", "r", 90)
    assert (
        reservations.by_key["ev"].state is ReservationState.EXPIRED
        and reservations.by_key["ev"].given_back == 10
    )
    reservations.correct("ev", 4)
    assert reservations.by_key["ev"].given_back == 10 and reservations.by_key["ev"].corrections == 4


def test_a_key_names_one_reservation() -> None:
    reservations = reserved()
    assert reservations.reserve(WISH, Capacity(0)) is reservations.by_key["ev"]
    with pytest.raises(ReservationError, match="names another"):
        reservations.reserve(ReservationRequest("ev", "hotel", 1000, 2000, 101), LARGE_CAPACITY)
    with pytest.raises(ReservationError, match="no reservation"):
        reservations.release("other")


@pytest.mark.parametrize(
    ("wish", "room", "at"),
    [
        (WISH, Capacity(100), ReservationState.HELD),
        (WISH, Capacity(99), ReservationState.REFUSED),  # the fleet has less capacity
        (WISH, Capacity(100, 50, 50), ReservationState.HELD),  # fits into the ceiling's rate plus its burst
        (WISH, Capacity(100, 50, 49), ReservationState.REFUSED),
    ],
)
def test_only_what_plan_and_fleet_can_hold_is_admitted(
    wish: ReservationRequest, room: Capacity, at: ReservationState
) -> None:
    assert reserved(wish, room).by_key["ev"].state is at


def test_what_others_hold_at_the_time_counts() -> None:
    reservations = reserved()
    assert (
        reservations.reserve(ReservationRequest("b", "inn", 1999, 2999, 50), Capacity(149)).state
        is ReservationState.REFUSED
    )
    assert (
        reservations.reserve(ReservationRequest("c", "inn", 2000, 3000, 50), Capacity(149)).state
        is ReservationState.HELD
    )
    reservations.release("ev")
    assert (
        reservations.reserve(ReservationRequest("d", "inn", 1000, 2000, 100), Capacity(149)).state
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
        reserved(bad)


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
    reservations = reserved()
    reservation, settled, states = reservations.by_key["ev"], 0, [ReservationState.HELD]
    for kind, number, units in steps:
        was_over, given_back = reservation.state in TERMINAL_STATES, reservation.given_back
        if kind == "draw":
            reservations.draw("ev", f"r{number}", units)
        elif kind == "settle":
            settled += units if f"r{number}" in reservation.in_flight else 0
            reservations.settle("ev", f"r{number}", units)
        elif kind == "release":
            reservations.release("ev")
        else:
            reservations.tick(number)
        assert reservation.drawn == settled
        assert not was_over or (
            reservation.state in TERMINAL_STATES
            and reservation.given_back == given_back
            and not reservation.in_flight
        )
        assert reservation.state not in TERMINAL_STATES or reservation.given_back == max(
            0, WISH.units - reservation.drawn
        )
        assert reservation.state is ReservationState.ACTIVE or reservation.available_units == 0
        if reservation.state is not states[-1]:
            states.append(reservation.state)
    assert len(states) == len(set(states))  # no state is entered twice


POSITIVE_NUMBERS = st.floats(0.1, 50)


@given(
    st.lists(st.tuples(POSITIVE_NUMBERS, POSITIVE_NUMBERS), min_size=1, max_size=6),
    st.lists(POSITIVE_NUMBERS, min_size=6, max_size=6),
)
def test_shares_together_hold_no_more_than_the_whole(
    terms: list[tuple[float, float]], delays: list[float]
) -> None:
    """Across any series of changes, n shares together hold at most as much as one bucket for the whole."""
    n, at = 5, 0.0
    whole = BucketLevel(20.0, 0.0, 2.0, 20.0)
    shares = [BucketLevel(20.0 / n * k / 2, 0.0, 2.0 / n, 20.0 / n) for k in range(n) if k <= 2] + [
        BucketLevel(0, 0, 0.4, 4.0)
    ] * 2
    for (rate, burst), delay in zip(terms, delays, strict=False):
        at += delay
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
