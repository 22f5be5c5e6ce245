"""Ceilings over many gateways: windows that the counter keeps, and which life of a gateway starts with a full share."""

from __future__ import annotations

from dataclasses import replace
from random import Random

import hypothesis
import pytest
from hypothesis import strategies as st

from cypresspulley import interface as api
from cypresspulley.policy.windows import MARKS, SPELL, Life, Windows, kept_alone
from tests import world as w

PLAN = api.Plan("capped", rate=2.0, burst=13.0, ceiling_rate=4.0, ceiling_burst=24.0)


def lowest_store(seed: int, allowed: float = 1.0) -> float:
    """The ceiling's store at its lowest: 30 gateways that forget all, and answers as late as a time-out allows."""
    rng, now = Random(seed), rng_start(seed)
    gateways = [Windows("a", PLAN, allowed) for _ in range(30)]
    totals, late = dict[int, float](), list[tuple[float, int, int, float, float]]()
    store, at, lowest = PLAN.ceiling_burst, now, PLAN.ceiling_burst
    for _ in range(600):
        now += rng.choice((0.0, 0.001, 0.02, 0.3, 3.0))
        place = rng.randrange(30)
        if rng.random() < 0.1:
            gateways[place] = Windows("a", PLAN, allowed)
        window, units = gateways[place], rng.choice((1.0, 1.0, 2.0))
        if window.room(now, units):
            name = window.name(window.index)
            totals[name] = totals.get(name, 0.0) + units
            late.append((now + rng.choice((0.0, 0.03)), place, window.index, totals[name], units))
        for answer in [answer for answer in late if answer[0] <= now]:
            late.remove(answer)
            _, place, index, total, units = answer
            fits, back = gateways[place].granted(index, total, units)
            totals[gateways[place].name(index)] -= back
            if fits:
                store = min(PLAN.ceiling_burst, store + PLAN.ceiling_rate * (now - at)) - units
                at, lowest = now, min(lowest, store)
    return lowest


def rng_start(seed: int) -> float:
    return 1000.0 + Random(seed).random() * 60


@hypothesis.settings(derandomize=True, deadline=None, max_examples=60)
@hypothesis.given(st.integers(0, 2**32))
def test_windows_never_pass_the_ceiling(seed: int) -> None:
    # An answer late by 3 s (a step of the clock) is sent on in a later window: the same as a clock that is off.
    assert lowest_store(seed) >= -PLAN.ceiling_rate * 3.0


def test_windows_of_twice_the_size_would_pass_it() -> None:
    assert min(lowest_store(seed, 4.0) for seed in range(20)) < -PLAN.ceiling_rate * 3.0


def test_a_gateway_that_knows_nothing_reads_from_one_answer_what_is_left() -> None:
    fresh = Windows("a", PLAN, 1.0)
    assert fresh.room(100.0, 1.0)
    assert fresh.granted(fresh.index, 12.0, 1.0) == (True, 0.0)
    assert fresh.granted(fresh.index, 13.0, 1.0) == (False, 0.0)
    assert not fresh.room(100.0, 1.0), "a spent window is not asked again"
    assert fresh.room(100.0 + fresh.length, 1.0)


def test_a_request_too_large_for_what_is_left_gives_its_units_back() -> None:
    window = Windows("a", PLAN, 1.0)
    assert window.room(100.0, 4.0)
    assert window.granted(window.index, 14.0, 4.0) == (False, 4.0)
    assert window.room(100.0, 1.0)


def test_a_lost_count_ends_the_window() -> None:
    window = Windows("a", PLAN, 1.0)
    window.room(100.0, 1.0)
    assert window.granted(window.index, 5.0, 3.0)[0]
    assert not window.granted(window.index, 1.0, 1.0)[0]


@pytest.mark.parametrize(
    "share, counter, kept",
    [(3, True, 1.0), (12, True, 1.0), (13, True, 0.0), (13, False, 1.0), (40, True, 0.0)],
)
def test_what_an_even_share_holds_is_kept_alone(share: int, counter: bool, kept: float) -> None:
    assert kept_alone(PLAN, share, 1.0, counter) == kept


class Counter:
    def __init__(self) -> None:
        self.totals = dict[int, float]()

    def add(self, call: api.Count) -> api.Counted:
        self.totals[call.name] = self.totals.get(call.name, 0.0) + call.amount
        return api.Counted(call.name, api.Status.OK, self.totals[call.name])


SETTINGS = replace(w.settings(plans=(PLAN,)), has_counter=True, index=4)


def lived(counter: Counter, seed: int, now: float, lost: int = 0, refused: int = 0) -> Life:
    """A life that makes its calls; of the first ``lost`` the answers are lost, ``refused`` are turned away."""
    life = Life(SETTINGS, Random(seed), now)
    for step in range(60):
        if (call := life.call(now + step / 10)) is None:
            continue
        if refused:
            refused -= 1
            life.told(now + step / 10, api.Counted(call.name, api.Status.FULL))
            continue
        answer = counter.add(call)
        if lost:
            lost -= 1
            answer = api.Counted(call.name, api.Status.TIMEOUT)
        life.told(now + step / 10, answer)
    return life


@pytest.mark.parametrize("lost, refused", [(0, 0), (2, 0), (0, 9), (1, 3)])
def test_a_first_life_is_vouched_for_and_a_second_is_not(lost: int, refused: int) -> None:
    counter, now = Counter(), 10 * SPELL + 20
    assert lived(counter, 1, now, lost, refused).vouched
    assert not lived(counter, 2, now + 6).vouched


def test_a_life_that_began_before_the_spell_did_is_seen_in_the_one_before() -> None:
    counter, spell = Counter(), 10 * SPELL
    assert lived(counter, 1, spell - 7).vouched
    assert not lived(counter, 2, spell + 0.1).vouched
    assert lived(Counter(), 2, spell + 0.1).vouched


def test_without_answers_nobody_vouches_and_the_calls_end() -> None:
    life = lived(Counter(), 1, 10 * SPELL + 20, lost=99)
    assert not life.vouched
    assert repr(life).count("(10") == MARKS


def served_by_forty(restart: bool) -> int:
    """How many of 36 tries, at 12 of 40 gateways in their first second, are sent on for one capped account."""
    totals, sent = dict[int, float](), 0
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
    assert served_by_forty(restart=False) >= 12
    assert served_by_forty(restart=True) == 0


def test_the_answer_to_units_given_back_is_no_answer_to_the_next_try() -> None:
    world = w.World(replace(SETTINGS, gateways=40), 1, 315.0)

    def ask(id: int) -> None:
        world.feed(replace(w.request(id, "read", "capped", "acct", 3.0, 1.0), gateways=40))

    ask(1)  # no server is known: what its window grants is given back
    (first,) = [call for call in world.counts if call.amount == 1.0]
    world.counts.clear()
    world.feed(api.Counted(first.name, api.Status.OK, 12.0))
    assert [call.amount for call in world.counts if call.name == first.name] == [-1.0]
    world.feed(w.servers("s0", "s1"))
    world.advance(316.5)  # the same window, and calls are left again
    ask(2)
    assert [call.amount for call in world.counts if call.name == first.name] == [-1.0, 1.0]
    world.feed(api.Counted(first.name, api.Status.OK, 11.0))  # of what was given back
    assert not world.sends
    world.feed(api.Counted(first.name, api.Status.OK, 13.0))  # of the try: another took the last unit
    assert not world.sends and world.answered[2] == "refused"
