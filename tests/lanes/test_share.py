"""What each lane may admit at each limiter: sums, floors, order, the same result from the same reports."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cypresspulley.lanes.allocation import (
    LimiterReport,
    allocate,
    estimate_capacity,
    measure_pressure,
    split_capacity,
)
from cypresspulley.lanes.options import Lane
from cypresspulley.lanes.rows import LaneRates

LANES = (
    Lane("premium", ("chain",), 0.4),
    Lane("standard", ("standard",), 0.1),
    Lane("guest", ("guest",), 0.0, 3.0),
)
RATES = st.floats(0, 1000, allow_nan=False).map(lambda rate: round(rate, 1))
LANE_RATES = st.builds(LaneRates, RATES, RATES, RATES, RATES, RATES)
REPORTS = st.lists(
    st.builds(
        LimiterReport, st.sampled_from([f"limiter-{n}" for n in range(9)]), st.tuples(*[LANE_RATES] * 3),
        st.floats(0, 1), st.booleans(),
    ),
    min_size=1, max_size=9, unique_by=lambda report: report.owner,
)  # fmt: skip
CAPACITIES = st.floats(0, 3000, allow_nan=False)


def make_report(
    owner: str, *demand: float, sent: float = 0.0, stale: bool = False, refused: float = 0.0
) -> LimiterReport:
    """Return a report where each lane admitted its whole demand, and ``refused`` of it was refused."""
    return LimiterReport(owner, tuple(LaneRates(a, 0.0, a, refused, sent) for a in demand), 0.5, stale)


@given(REPORTS, CAPACITIES)
@settings(deadline=None, max_examples=300)
def test_sums_floors_and_order(reports: list[LimiterReport], capacity: float) -> None:
    found = allocate(LANES, reports, capacity)
    demand = [sum(report.rates[n].demand for report in reports if not report.is_stale) for n in range(3)]
    taken = [sum(report.rates[n].sent for report in reports if report.is_stale) for n in range(3)]
    left = max(0.0, capacity - sum(taken))
    assert sum(found.within_quota) + sum(found.over_quota) <= left + 1e-6  # nothing is allocated twice
    for n, lane in enumerate(LANES):
        total = sum(found.by_limiter[report.owner][n] for report in reports if not report.is_stale)
        # The parts of the limiters add up to the lane's.
        assert total == pytest.approx(found.within_quota[n], abs=1e-6)
        assert found.within_quota[n] <= demand[n] + 1e-6
        floor = min(demand[n], max(0.0, lane.floor_rate(capacity) - taken[n]))
        room = max(
            0.0,
            left
            - sum(max(0.0, other.floor_rate(capacity) - taken[m]) for m, other in enumerate(LANES) if m < n),
        )
        assert found.within_quota[n] >= min(floor, room) - 1e-6
        if found.within_quota[n] < demand[n] - 1e-6:
            # The lane is shed: no lower lane exceeds its floor, and nothing over quota is admitted.
            for m in range(n + 1, 3):
                assert found.within_quota[m] <= LANES[m].floor_rate(capacity) + 1e-6
            assert sum(found.over_quota) <= 1e-6
    for report in reports:
        if report.is_stale:  # it may still be admitting what it last sent on
            assert found.by_limiter[report.owner] == tuple(f.sent for f in report.rates)


@given(REPORTS, CAPACITIES, st.integers(0, 99))
def test_the_same_rows_give_the_same_answer_in_whatever_order(
    reports: list[LimiterReport], capacity: float, seed: int
) -> None:
    mixed = Random(seed).sample(reports, len(reports))
    assert allocate(LANES, reports, capacity) == allocate(LANES, mixed, capacity)
    assert measure_pressure(reports) == measure_pressure(mixed)
    assert estimate_capacity(LANES, reports, capacity) == estimate_capacity(LANES, mixed, capacity)


@given(st.lists(RATES, min_size=3, max_size=3), CAPACITIES, st.integers(0, 2), RATES)
def test_asking_more_never_gives_a_lane_less(
    demand: list[float], capacity: float, lane: int, more: float
) -> None:
    over_quota = [0.0, 0.0, 0.0]
    before, _ = split_capacity(LANES, demand, over_quota, capacity)
    demand[lane] += more
    after, _ = split_capacity(LANES, demand, over_quota, capacity)
    assert after[lane] >= before[lane] - 1e-6


def test_one_limiter_has_all_the_premium_and_another_all_the_cheap() -> None:
    found = allocate(LANES, [make_report("a", 60, 0, 0), make_report("b", 0, 50, 50)], 80.0)
    assert found.within_quota == (60.0, 17.0, 3.0)
    assert found.by_limiter == {"a": (60.0, 0.0, 0.0), "b": (0.0, 17.0, 3.0)}
    assert found.admit_within_quota == (1.0, 0.34, 0.06)


def test_excess_waits_for_every_quota() -> None:
    report = LimiterReport("a", (LaneRates(30, 100), LaneRates(20, 100), LaneRates(20, 0)), 0.5)
    assert allocate(LANES, [report], 60.0).admit_over_quota == (0.0, 0.0, 0.0)
    assert allocate(LANES, [report], 80.0).admit_over_quota == (0.1, 0.0, 0.0)


def test_a_lane_that_asks_nothing_is_held_open_no_further_than_its_floor() -> None:
    found = allocate(LANES, [make_report("a", 100, 50, 0)], 80.0)
    assert found.admit_within_quota[2] == 1.0  # it has a floor
    without = (*LANES[:2], Lane("guest", ("guest",)))
    assert allocate(without, [make_report("a", 100, 50, 0)], 80.0).admit_within_quota[2] == 0.0
    assert allocate(without, [make_report("a", 10, 5, 0)], 80.0).admit_within_quota[2] == 1.0


def test_a_stale_row_keeps_what_it_last_passed() -> None:
    reports = [
        make_report("a", 60, 30, 30),
        LimiterReport("b", (LaneRates(sent=20.0), LaneRates(sent=10.0), LaneRates()), 0.5, True),
    ]
    found = allocate(LANES, reports, 80.0)
    # 80 less the 30 that are admitted at b; standard's floor of 8 is used up there.
    assert found.within_quota == (47.0, 0.0, 3.0)
    assert found.by_limiter["b"] == (20.0, 10.0, 0.0)


def test_both_halves_of_a_partition_pass_together_what_the_fleet_bore() -> None:
    """Each half of the fleet has its own reports, and the reports of the other half as they were at the partition."""
    reports = {name: make_report(name, 30, 20, 20, sent=6.0) for name in "abcd"}
    capacity = 72.0
    passed = 0.0
    for half in ("ab", "cd"):
        seen = [
            report if report.owner in half else LimiterReport(report.owner, report.rates, report.load, True)
            for report in reports.values()
        ]
        found = allocate(LANES, seen, capacity)
        passed += sum(sum(found.by_limiter[name]) for name in half)
    assert passed <= capacity + 1e-6


def test_pressure_is_of_more_than_one() -> None:
    alone = [
        make_report("a", 50, 50, 50, refused=25),
        make_report("b", 50, 50, 50),
        make_report("c", 50, 50, 50),
    ]
    assert measure_pressure(alone).unserved_share() == 0.0
    two = [alone[0], make_report("b", 50, 50, 50, refused=25), alone[2]]
    assert measure_pressure(two).unserved_share() == pytest.approx(1 / 3)
    assert measure_pressure(two).unserved_share(capacity=150.0) == pytest.approx(
        2 / 3
    )  # what lanes shed counts as well


def test_what_is_borne_falls_with_refusals_and_rises_without() -> None:
    full = [make_report(name, 50, 20, 20, sent=10, refused=40) for name in "ab"]
    # The initial estimate is what was sent on while the fleet was full.
    assert estimate_capacity(LANES, full, None) == pytest.approx(0.9 * 60)
    assert 54 <= estimate_capacity(LANES, full, 60.0) < 60.0
    free = [make_report(name, 20, 20, 20, sent=20) for name in "ab"]
    assert 110.0 < estimate_capacity(LANES, free, 110.0) <= 132.0
    quiet = [make_report(name, 1, 1, 1, sent=1) for name in "ab"]
    assert estimate_capacity(LANES, quiet, 60.0) == 60.0  # a lack of demand says nothing about the capacity


def test_the_first_lane_does_not_give_way_for_one_limiters_lack_of_room() -> None:
    reports = [LimiterReport("a", (LaneRates(50, 0, 50, 20, 30), LaneRates(), LaneRates()), 0.5)]
    reports.append(
        LimiterReport(
            "b", (LaneRates(20, 0, 20, 0, 20), LaneRates(30, 0, 4, 0, 4), LaneRates(30, 0, 3, 0, 3)), 0.5
        )
    )
    capacity = 90.0
    for _ in range(20):
        capacity = estimate_capacity(LANES, reports, capacity)
    found = allocate(LANES, reports, capacity)
    assert found.admit_within_quota[0] == pytest.approx(1.0)
    assert found.within_quota[1] <= LANES[1].floor_rate(capacity) + 1e-6
