"""What each lane may pass at each limiter: sums, floors, order, the same answer from the same rows."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cypresspulley.lanes.allocation import Told, borne, fill, pressure, shares
from cypresspulley.lanes.options import Lane
from cypresspulley.lanes.rows import Figures

LANES = (
    Lane("premium", ("chain",), 0.4),
    Lane("standard", ("standard",), 0.1),
    Lane("guest", ("guest",), 0.0, 3.0),
)
RATES = st.floats(0, 1000, allow_nan=False).map(lambda rate: round(rate, 1))
FIGURES = st.builds(Figures, RATES, RATES, RATES, RATES, RATES)
ROWS = st.lists(
    st.builds(
        Told, st.sampled_from([f"limiter-{n}" for n in range(9)]), st.tuples(*[FIGURES] * 3), st.floats(0, 1),
        st.booleans(),
    ),
    min_size=1, max_size=9, unique_by=lambda row: row.owner,
)  # fmt: skip
BEARS = st.floats(0, 3000, allow_nan=False)


def told(owner: str, *asked: float, sent: float = 0.0, stale: bool = False, short: float = 0.0) -> Told:
    """A row where each lane passed all it was asked, and ``short`` of it was refused."""
    return Told(owner, tuple(Figures(a, 0.0, a, short, sent) for a in asked), 0.5, stale)


@given(ROWS, BEARS)
@settings(deadline=None, max_examples=300)
def test_sums_floors_and_order(rows: list[Told], bears: float) -> None:
    found = shares(LANES, rows, bears)
    asked = [sum(row.figures[n].asked for row in rows if not row.stale) for n in range(3)]
    taken = [sum(row.figures[n].sent for row in rows if row.stale) for n in range(3)]
    left = max(0.0, bears - sum(taken))
    assert sum(found.inside) + sum(found.beyond) <= left + 1e-6  # nothing is shared out twice
    for n, lane in enumerate(LANES):
        at = sum(found.at[row.owner][n] for row in rows if not row.stale)
        assert at == pytest.approx(found.inside[n], abs=1e-6)  # the limiters' parts are the lane's
        assert found.inside[n] <= asked[n] + 1e-6
        floor = min(asked[n], max(0.0, lane.kept(bears) - taken[n]))
        room = max(
            0.0, left - sum(max(0.0, other.kept(bears) - taken[m]) for m, other in enumerate(LANES) if m < n)
        )
        assert found.inside[n] >= min(floor, room) - 1e-6
        if (
            found.inside[n] < asked[n] - 1e-6
        ):  # it gives way: no lower lane has more than its floor, and no excess
            for m in range(n + 1, 3):
                assert found.inside[m] <= LANES[m].kept(bears) + 1e-6
            assert sum(found.beyond) <= 1e-6
    for row in rows:
        if row.stale:  # it may be letting pass what it last did
            assert found.at[row.owner] == tuple(f.sent for f in row.figures)


@given(ROWS, BEARS, st.integers(0, 99))
def test_the_same_rows_give_the_same_answer_in_whatever_order(
    rows: list[Told], bears: float, seed: int
) -> None:
    mixed = Random(seed).sample(rows, len(rows))
    assert shares(LANES, rows, bears) == shares(LANES, mixed, bears)
    assert pressure(rows) == pressure(mixed)
    assert borne(LANES, rows, bears) == borne(LANES, mixed, bears)


@given(st.lists(RATES, min_size=3, max_size=3), BEARS, st.integers(0, 2), RATES)
def test_asking_more_never_gives_a_lane_less(
    asked: list[float], bears: float, lane: int, more: float
) -> None:
    over = [0.0, 0.0, 0.0]
    before, _ = fill(LANES, asked, over, bears)
    asked[lane] += more
    after, _ = fill(LANES, asked, over, bears)
    assert after[lane] >= before[lane] - 1e-6


def test_one_limiter_has_all_the_premium_and_another_all_the_cheap() -> None:
    found = shares(LANES, [told("a", 60, 0, 0), told("b", 0, 50, 50)], 80.0)
    assert found.inside == (60.0, 17.0, 3.0)
    assert found.at == {"a": (60.0, 0.0, 0.0), "b": (0.0, 17.0, 3.0)}
    assert found.passing == (1.0, 0.34, 0.06)


def test_excess_waits_for_every_quota() -> None:
    row = Told("a", (Figures(30, 100), Figures(20, 100), Figures(20, 0)), 0.5)
    assert shares(LANES, [row], 60.0).passing_beyond == (0.0, 0.0, 0.0)
    assert shares(LANES, [row], 80.0).passing_beyond == (0.1, 0.0, 0.0)


def test_a_lane_that_asks_nothing_is_held_open_no_further_than_its_floor() -> None:
    found = shares(LANES, [told("a", 100, 50, 0)], 80.0)
    assert found.passing[2] == 1.0  # it has a floor
    without = (*LANES[:2], Lane("guest", ("guest",)))
    assert shares(without, [told("a", 100, 50, 0)], 80.0).passing[2] == 0.0
    assert shares(without, [told("a", 10, 5, 0)], 80.0).passing[2] == 1.0


def test_a_stale_row_keeps_what_it_last_passed() -> None:
    rows = [told("a", 60, 30, 30), Told("b", (Figures(sent=20.0), Figures(sent=10.0), Figures()), 0.5, True)]
    found = shares(LANES, rows, 80.0)
    assert found.inside == (
        47.0,
        0.0,
        3.0,
    )  # 80 less the 30 that pass at b; standard's floor of 8 is used up there
    assert found.at["b"] == (20.0, 10.0, 0.0)


def test_both_halves_of_a_partition_pass_together_what_the_fleet_bore() -> None:
    """Each half has its own rows, and those of the other as they were at the cut."""
    rows = {name: told(name, 30, 20, 20, sent=6.0) for name in "abcd"}
    bears = 72.0
    passed = 0.0
    for half in ("ab", "cd"):
        seen = [
            row if row.owner in half else Told(row.owner, row.figures, row.load, True)
            for row in rows.values()
        ]
        found = shares(LANES, seen, bears)
        passed += sum(sum(found.at[name]) for name in half)
    assert passed <= bears + 1e-6


def test_pressure_is_of_more_than_one() -> None:
    alone = [told("a", 50, 50, 50, short=25), told("b", 50, 50, 50), told("c", 50, 50, 50)]
    assert pressure(alone).value() == 0.0
    two = [alone[0], told("b", 50, 50, 50, short=25), alone[2]]
    assert pressure(two).value() == pytest.approx(1 / 3)
    assert pressure(two).value(bears=150.0) == pytest.approx(2 / 3)  # what lanes hold back counts as well


def test_what_is_borne_falls_with_refusals_and_rises_without() -> None:
    full = [told(name, 50, 20, 20, sent=10, short=40) for name in "ab"]
    assert borne(LANES, full, None) == pytest.approx(
        0.9 * 60
    )  # at first: what was sent on while all was full
    assert 54 <= borne(LANES, full, 60.0) < 60.0
    free = [told(name, 20, 20, 20, sent=20) for name in "ab"]
    assert 110.0 < borne(LANES, free, 110.0) <= 132.0
    quiet = [told(name, 1, 1, 1, sent=1) for name in "ab"]
    assert borne(LANES, quiet, 60.0) == 60.0  # what is not asked says nothing of what is borne


def test_the_first_lane_does_not_give_way_for_one_limiters_lack_of_room() -> None:
    rows = [Told("a", (Figures(50, 0, 50, 20, 30), Figures(), Figures()), 0.5)]
    rows.append(Told("b", (Figures(20, 0, 20, 0, 20), Figures(30, 0, 4, 0, 4), Figures(30, 0, 3, 0, 3)), 0.5))
    bears = 90.0
    for _ in range(20):
        bears = borne(LANES, rows, bears)
    found = shares(LANES, rows, bears)
    assert found.passing[0] == pytest.approx(1.0)
    assert found.inside[1] <= LANES[1].kept(bears) + 1e-6
