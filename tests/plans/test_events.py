"""Reservations at the limiters: more quota inside the window, none after it, settled by the reported usage."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cypresspulley.plans.book import BookError, Stamp, Terms
from cypresspulley.plans.plan_writer import SETTLE_DELAY_MS, PlanWriter
from cypresspulley.plans.reservation_plans import drawn_units, reservation_plan_name, reservation_plan_terms
from cypresspulley.plans.reservations import MICRO_PER_UNIT, ReservationRequest, ReservationState
from cypresspulley.plans.store import Store
from cypresspulley.plans.usage import UsageKey, UsageRecord
from tests.plans.disk import Disk
from tests.plans.test_limiter import LimiterSetup

BASE = Terms(2.0, 8.0, 20.0, 200.0)
START, END = 120_000, 180_000
WISH = ReservationRequest("wedding", "hotel", START, END, 300 * MICRO_PER_UNIT, "a wedding")
PLAN = reservation_plan_name("p", "wedding")


def plan_writer_with(wish: ReservationRequest = WISH, disk: Disk | None = None) -> PlanWriter:
    plan_writer = PlanWriter(Store(disk or Disk()), "vadodara")
    plan_writer.set_terms("p", BASE, 90_000, 90_000, "m")
    plan_writer.assign_plan("hotel", "p", 90_000, 90_000, "m")
    assert plan_writer.reserve(wish, 100_000, 1000.0).state is ReservationState.HELD
    return plan_writer


def report_usage(plan_writer: PlanWriter, units: float, seq: int, plan: str = PLAN) -> None:
    key = UsageKey("hotel", plan, Stamp(1, 3), 0)
    assert plan_writer.accept_usage(UsageRecord("n1", 1, seq, ((key, round(units * MICRO_PER_UNIT)),)))


@given(st.floats(1, 1e4), st.integers(1, 3600))
def test_no_more_than_the_reservation_can_be_drawn_beyond_the_plan(units: float, seconds: int) -> None:
    wish = ReservationRequest("k", "hotel", 0, seconds * 1000, round(units * MICRO_PER_UNIT))
    base = Terms(2.0, 8.0)
    terms = reservation_plan_terms(base, wish)
    max_units = (terms.burst - base.burst) + (terms.rate - base.rate) * seconds
    assert max_units == pytest.approx(wish.units / MICRO_PER_UNIT)
    assert drawn_units(wish, wish.units * 2) == wish.units and drawn_units(wish, -5) == 0


def test_what_would_stand_above_the_ceiling_is_refused_whole() -> None:
    disk = Disk()
    plan_writer = plan_writer_with(disk=disk)
    before, changes = disk.read(disk.names()[0]), len(plan_writer.changes)
    with pytest.raises(BookError, match="ceiling: expected at least the quota"):
        plan_writer.reserve(
            ReservationRequest("more", "hotel", 200_000, 201_000, 30 * MICRO_PER_UNIT), 100_000, 1000.0
        )
    assert "more" not in plan_writer.reservations.by_key and len(plan_writer.changes) == changes
    assert disk.read(disk.names()[0]) == before


def test_the_account_is_on_the_event_s_plan_for_its_window() -> None:
    book = plan_writer_with().book
    bound = [
        v.plan
        for at in (START - 1, START, END - 1, END)
        if (v := book.binding_version("hotel", at)) is not None
    ]
    assert bound == ["p", PLAN, PLAN, "p"]


def test_a_limiter_lets_more_in_inside_the_window_and_not_after() -> None:
    plan_writer = plan_writer_with()
    admitted = list[int]()
    for instant in (START - 5000, START + 30_000, END + 30_000):
        setup = LimiterSetup(now=100.0)
        setup.follower.receive_book(
            1, replace(plan_writer.book, installation="vadodara"), 100_000, 10_000_000
        )
        setup.world.advance(instant / 1000)
        admitted.append(setup.send_burst(0, 40))
    assert admitted[1] > admitted[0] and admitted[1] > admitted[2] and admitted[0] == admitted[2]


def test_a_release_while_drawn_on_settles_by_what_limiters_tell() -> None:
    plan_writer = plan_writer_with()
    assert [reservation.state for reservation in plan_writer.tick(START)] == [ReservationState.ACTIVE]
    report_usage(plan_writer, 40, 1)
    reservation = plan_writer.release("wedding", START + 10_000)
    assert reservation.state is ReservationState.DRAINING and reservation.given_back == 0
    found = plan_writer.book.binding_version("hotel", START + 10_001)
    assert found is not None and found.plan == "p"
    report_usage(plan_writer, 25, 2)  # in flight at the release
    assert (
        plan_writer.release("wedding", START + 11_000) is reservation
        and plan_writer.tick(START + 11_000) == []
    )
    # One assignment back and one withdrawal, however often it is released.
    assert len(plan_writer.changes) == 7
    plan_writer.tick(START + 10_000 + SETTLE_DELAY_MS)
    assert plan_writer.reservations.by_key["wedding"].state is ReservationState.RELEASED
    assert reservation.drawn == 65 * MICRO_PER_UNIT and reservation.given_back == 235 * MICRO_PER_UNIT
    report_usage(plan_writer, 3, 3)  # a day late
    assert reservation.corrections == 3 * MICRO_PER_UNIT and reservation.given_back == 235 * MICRO_PER_UNIT


def test_a_window_that_ends_settles_and_what_is_beyond_it_is_plain_use() -> None:
    plan_writer = plan_writer_with()
    plan_writer.tick(START)
    report_usage(plan_writer, 400, 1)
    report_usage(plan_writer, 50, 2, "p")
    plan_writer.tick(END)
    plan_writer.tick(END + SETTLE_DELAY_MS)
    reservation = plan_writer.reservations.by_key["wedding"]
    assert (
        reservation.state is ReservationState.EXPIRED
        and reservation.drawn == WISH.units
        and reservation.given_back == 0
    )


def test_a_release_before_the_window_takes_the_account_off_it() -> None:
    plan_writer = plan_writer_with()
    assert plan_writer.release("wedding", 110_000).state is ReservationState.RELEASED
    assert [a.plan for a in plan_writer.book.accounts["hotel"]] == ["p"]


def test_where_an_account_is_put_after_a_release_it_stays() -> None:
    plan_writer = plan_writer_with()
    plan_writer.set_terms("low", Terms(1.0, 4.0, 2.0, 8.0), 100_000, 100_000, "m")
    plan_writer.tick(START)
    plan_writer.release("wedding", START + 1000)
    plan_writer.assign_plan("hotel", "low", START + 2000, START + 2000, "m")
    bound = [
        v.plan
        for at in (START + 1500, START + 2000, END)
        if (v := plan_writer.book.binding_version("hotel", at)) is not None
    ]
    assert bound == ["p", "low", "low"]


def test_an_office_that_starts_anew_goes_on_with_what_is_drawn_on() -> None:
    disk = Disk()
    plan_writer = plan_writer_with(disk=disk)
    plan_writer.tick(START)
    report_usage(plan_writer, 10, 1)
    plan_writer.release("wedding", START + 1000)
    restarted = PlanWriter(Store(disk), "vadodara")
    report_usage(restarted, 5, 2)
    restarted.tick(START + 1000 + SETTLE_DELAY_MS)
    reservation = restarted.reservations.by_key["wedding"]
    assert reservation.state is ReservationState.RELEASED and reservation.drawn == 15 * MICRO_PER_UNIT
    report_usage(restarted, 2, 3)
    restarted.compact()
    last = PlanWriter(Store(disk), "vadodara").reservations.by_key["wedding"]
    assert (last.drawn, last.corrections, last.plan) == (15 * MICRO_PER_UNIT, 2 * MICRO_PER_UNIT, PLAN)


def test_an_account_with_a_reservation_stays_where_it_is() -> None:
    plan_writer = plan_writer_with()
    with pytest.raises(BookError, match="has reservation wedding then; release it first"):
        plan_writer.assign_plan("hotel", "p", START + 5, 100_000, "m")
    plan_writer.assign_plan("hotel", "p", END + 5, 100_000, "m")
    with pytest.raises(BookError, match="another reservation then"):
        plan_writer.reserve(ReservationRequest("b", "hotel", END - 5, END + 5, 1), 100_000, 1000.0)
