"""Ceilings over many gateways: windows timed by the counter, and which process starts with a full share."""

from __future__ import annotations

from dataclasses import replace
from random import Random

import hypothesis
import pytest
from hypothesis import strategies as st

from cypresspulley import interface as api
from cypresspulley.policy.counts import MAX_LIFETIME_SECONDS
from cypresspulley.policy.incarnation import MARK_INTERVAL_SECONDS, MAX_UNANSWERED_MARKS, Incarnation
from cypresspulley.policy.windows import CeilingWindow, local_ceiling_part
from tests import world as w

PLAN = api.Plan("capped", rate=2.0, burst=13.0, ceiling_rate=4.0, ceiling_burst=24.0)


# Seconds between two requests: far above the ceiling's rate, with an occasional pause that delays answers.
GAPS = (*(0.0, 0.001, 0.02, 0.02, 0.1, 0.1, 0.3) * 10, 3.0)


def count(units: float, window: CeilingWindow) -> api.Count:
    return api.Count(window.counter_name, window.length, units)


def lowest_level(seed: int, lifetime: float = 1.0) -> float:
    """Return the lowest level of the ceiling's bucket, with 30 gateways that restart at random and answers that are as
    late as a time-out allows. A count lives for ``lifetime`` windows."""
    rng, now = Random(seed), start_time(seed)
    gateways = [CeilingWindow("a", PLAN) for _ in range(30)]
    totals, in_flight = w.SharedCounts(), list[tuple[float, float, int, float, float]]()
    level, drawn_at, lowest = PLAN.ceiling_burst, now, PLAN.ceiling_burst
    for _ in range(600):
        now += rng.choice(GAPS)
        index = rng.randrange(30)
        if rng.random() < 0.1:
            gateways[index] = CeilingWindow("a", PLAN)
        window, units, sent = gateways[index], rng.choice((1.0, 1.0, 2.0)), 0.0
        if window.use_credit(now, units) is not None:
            sent += units
        elif window.may_grant(now, units):
            call = replace(count(units, window), lifetime=lifetime * window.length)
            in_flight.append((now + rng.choice((0.0, 0.03)), now, index, totals.add(now, call), units))
        for answer in [answer for answer in in_flight if answer[0] <= now]:
            in_flight.remove(answer)
            _, asked, index, total, units = answer
            granted = gateways[index].apply_answer(asked, now, total, units, rng.random())
            if granted is not None and rng.random() < 0.2:
                gateways[index].add_credit(granted, units)
            elif granted is not None:
                sent += units
        if sent:
            level = min(PLAN.ceiling_burst, level + PLAN.ceiling_rate * (now - drawn_at)) - sent
            drawn_at, lowest = now, min(lowest, level)
    return lowest


def start_time(seed: int) -> float:
    return 1000.0 + Random(seed).random() * 60


@hypothesis.settings(derandomize=True, deadline=None, max_examples=60)
@hypothesis.given(st.integers(0, 2**32))
def test_windows_never_pass_the_ceiling(seed: int) -> None:
    # A request whose answer is 3 s late is sent in a later window.
    assert lowest_level(seed) >= -PLAN.ceiling_rate * 3.0


def test_windows_of_a_quarter_of_the_length_would_pass_it() -> None:
    assert min(lowest_level(seed, 0.25) for seed in range(20)) < -PLAN.ceiling_rate * 3.0


def is_granted(window: CeilingWindow, now: float, total: float, units: float = 1.0) -> bool:
    """Apply an answer that arrives at once and return whether it grants the units."""
    assert window.may_grant(now, units)
    return window.apply_answer(now, now, total, units, draw=1.0) is not None


def test_a_gateway_that_knows_nothing_reads_from_one_answer_what_is_left() -> None:
    fresh = CeilingWindow("a", PLAN)
    assert is_granted(fresh, 100.0, 12.0)
    assert not is_granted(fresh, 100.1, 13.0)
    assert not fresh.may_grant(100.2, 1.0), "a full window is not asked at once"
    assert fresh.may_grant(100.0 + fresh.length, 1.0)
    assert not fresh.may_grant(100.0 + fresh.length, 13.0), "more than a window ever holds"


@pytest.mark.parametrize("draw", [0.0, 0.5, 1.0])
def test_a_full_window_is_asked_again_by_its_end_and_not_before_it_can_end(draw: float) -> None:
    window = CeilingWindow("a", PLAN)
    assert window.apply_answer(100.0, 100.0, 1.0, 1.0, draw) is not None, "this call started the count"
    assert window.apply_answer(100.5, 100.5, 13.0, 1.0, draw) is None
    end = 100.0 + window.length
    assert not window.may_grant(end - 0.01, 1.0) and window.may_grant(end, 1.0)


def test_of_a_window_that_others_began_the_end_is_found_between_two_looks() -> None:
    window = CeilingWindow("a", PLAN)
    assert not is_granted(window, 100.0, 13.0)
    assert window.apply_answer(102.0, 102.0, 14.0, 1.0, 0.5) is None, "still full"
    assert window.apply_answer(103.0, 103.0, 2.0, 1.0, 0.5) is not None, "a new one, which started after 102"
    assert window.apply_answer(103.1, 103.1, 13.0, 1.0, 0.0) is None
    assert not window.may_grant(102.0 + window.length - 0.01, 1.0)
    assert window.may_grant(102.0 + window.length, 1.0)


def test_what_is_left_of_a_window_that_cannot_hold_a_request_serves_smaller_ones_here() -> None:
    window = CeilingWindow("a", PLAN)
    assert is_granted(window, 100.0, 1.0)
    assert not is_granted(window, 100.1, 14.0, 4.0), "ten were used, four are too many"
    assert [window.use_credit(100.2, 1.0) is not None for _ in range(3)] == [True, True, False]


def test_units_that_were_not_sent_on_are_kept_while_their_count_surely_lives() -> None:
    window = CeilingWindow("a", PLAN)
    granted = window.apply_answer(100.0, 100.0, 1.0, 1.0, 0.5)
    assert granted is not None
    window.add_credit(granted, 1.0)
    assert window.use_credit(100.0 + window.length, 1.0) is None, "it may have ended"
    assert is_granted(window, 101.0 + window.length, 1.0), "the next count"
    window.add_credit(granted, 1.0)
    assert window.use_credit(101.1 + window.length, 1.0) is None, "units of the count before"


def test_a_lost_count_ends_the_window() -> None:
    window = CeilingWindow("a", PLAN)
    assert is_granted(window, 100.0, 3.0, 3.0)
    assert not is_granted(window, 100.5, 1.0), "less than was granted here"
    assert not window.may_grant(100.0 + window.length - 0.01, 1.0)
    assert is_granted(window, 100.0 + window.length, 1.0)


def test_a_window_that_lasts_longer_than_a_count_lives_is_cut() -> None:
    plan = replace(PLAN, ceiling_rate=0.1)  # half of its bucket fills in 120 s
    window = CeilingWindow("a", plan)
    assert window.length == MAX_LIFETIME_SECONDS
    assert window.capacity == pytest.approx(plan.ceiling_rate * MAX_LIFETIME_SECONDS)
    assert local_ceiling_part(plan, 40, 6.0, True) == 0.0
    assert local_ceiling_part(plan, 40, 6.1, True) == 1.0, "a window would not hold the largest request"


@pytest.mark.parametrize(
    "share, counter, kept",
    [(3, True, 1.0), (12, True, 1.0), (13, True, 0.0), (13, False, 1.0), (40, True, 0.0)],
)
def test_what_an_even_share_holds_is_kept_alone(share: int, counter: bool, kept: float) -> None:
    assert local_ceiling_part(PLAN, share, 1.0, counter) == kept


SETTINGS = replace(w.settings(plans=(PLAN,)), has_counter=True, index=4)
FILL_TIME = PLAN.ceiling_burst / PLAN.ceiling_rate  # seconds


class ProcessRun:
    """An incarnation that makes its calls until ``end``.

    The first ``refused`` calls are rejected, and the answers to the next ``lost`` calls get lost.
    """

    def __init__(
        self,
        counts: w.SharedCounts,
        begin: float,
        end: float,
        lost: int = 0,
        refused: int = 0,
        added: bool = True,
    ) -> None:
        self.incarnation = Incarnation(SETTINGS, Random(begin), begin)
        self.calls = 0
        for step in range(round((end - begin) * 10) + 1):
            now = begin + step / 10
            if (call := self.incarnation.next_call(now)) is None:
                continue
            self.calls += 1
            if self.calls <= refused:
                self.incarnation.on_answer(now, api.Counted(call.name, api.Status.FULL))
                continue
            total = counts.add(now, call) if added else 0.0
            status = api.Status.TIMEOUT if self.calls <= refused + lost else api.Status.OK
            self.incarnation.on_answer(now, api.Counted(call.name, status, total))


@pytest.mark.parametrize("lost, refused", [(0, 0), (2, 0), (0, 9), (1, 3)])
def test_a_first_incarnation_is_known_and_a_second_one_is_not(lost: int, refused: int) -> None:
    counts = w.SharedCounts()
    assert ProcessRun(counts, 20.0, 26.0, lost, refused).incarnation.is_first
    assert not ProcessRun(counts, 26.1, 32.0).incarnation.is_first


@pytest.mark.parametrize("lived", [0.6, 5.0, 29.0, 31.0, 59.0, 61.0, 89.0, 91.0, 200.0])
@pytest.mark.parametrize("away", [0.1, 2.0, FILL_TIME - 0.2])
def test_a_predecessor_is_seen_while_its_ceilings_fill_however_long_it_lived(
    lived: float, away: float
) -> None:
    counts = w.SharedCounts()
    assert ProcessRun(counts, 100.0, 100.0 + lived).incarnation.is_first
    assert not ProcessRun(counts, 100.0 + lived + away, 110.0 + lived + away).incarnation.is_first


@pytest.mark.parametrize("lived", [1.0, 29.0, 31.0, 100.0])
def test_each_of_many_in_a_row_sees_the_one_before(lived: float) -> None:
    counts, begin = w.SharedCounts(), 100.0
    for number in range(6):
        assert ProcessRun(counts, begin, begin + lived).incarnation.is_first == (number == 0)
        begin += lived + 3.0


def test_one_that_was_long_ago_is_forgotten() -> None:
    counts = w.SharedCounts()
    assert ProcessRun(counts, 100.0, 130.0).incarnation.is_first
    assert ProcessRun(counts, 130.0 + MAX_LIFETIME_SECONDS + 1.0, 200.0).incarnation.is_first


def test_marks_cost_a_call_in_thirty_seconds() -> None:
    lived = ProcessRun(w.SharedCounts(), 100.0, 100.0 + 20 * MARK_INTERVAL_SECONDS)
    assert lived.incarnation.is_first and lived.calls <= 23


@pytest.mark.parametrize("added", [True, False])
def test_without_answers_nobody_is_known_to_be_the_first_and_the_calls_end(added: bool) -> None:
    lived = ProcessRun(w.SharedCounts(), 20.0, 26.0, lost=99, added=added)
    assert not lived.incarnation.is_first
    assert lived.calls == MAX_UNANSWERED_MARKS


def test_a_successor_whose_answers_were_lost_leaves_marks() -> None:
    counts = w.SharedCounts()
    assert not ProcessRun(counts, 20.0, 26.0, lost=99).incarnation.is_first
    assert not ProcessRun(counts, 27.0, 40.0).incarnation.is_first


def sent_by_fleet(restart: bool) -> int:
    """Return how many of 36 requests of one capped account are sent, at 12 of 40 gateways in their first second."""
    totals, sent = w.SharedCounts(), 0
    config = replace(SETTINGS, gateways=40, counter_timeout=0.05)
    for turn in range(1 + restart):
        worlds = [w.World(replace(config, index=n), 7 * turn + n, 315.0 + turn) for n in range(12)]
        sent = 0
        for n, world in enumerate(worlds):
            world.totals = totals
            world.feed(w.servers("s0", "s1", "s2", "s3"))
            for step in range(20):
                world.advance(world.now + 0.05)
                id = 100 * n + step
                if step % 7 == 5:
                    asked = w.request(id, "read", "capped", "acct", 3.0, 1.0)
                    world.feed(replace(asked, gateways=12))
                world.answer_counts()
                world.serve()
            sent += len(world.sends)
    return sent


def test_a_fresh_fleet_serves_what_a_restarted_one_must_refuse() -> None:
    assert sent_by_fleet(restart=False) >= 12
    assert sent_by_fleet(restart=True) == 0


def test_units_that_found_no_server_serve_the_next_try_with_no_call() -> None:
    world = w.World(replace(SETTINGS, gateways=40), 1, 315.0)

    def ask(id: int) -> None:
        world.feed(replace(w.request(id, "read", "capped", "acct", 3.0, 1.0), gateways=40))

    ask(1)  # no server is known, so what the window grants is kept
    (first,) = [call for call in world.counts if call.amount == 1.0]
    world.counts.clear()
    world.feed(api.Counted(first.name, api.Status.OK, 1.0))  # the call started the count
    assert world.answered[1] == "refused"
    world.feed(w.servers("s0", "s1"))
    ask(2)
    assert not [call for call in world.counts if call.name == first.name] and len(world.sends) == 1
    world.advance(315.5)  # calls are available again
    ask(3)
    assert [call.amount for call in world.counts if call.name == first.name] == [1.0]
    world.feed(api.Counted(first.name, api.Status.OK, 13.0))  # another gateway took the last unit
    assert len(world.sends) == 1 and world.answered[3] == "refused"
