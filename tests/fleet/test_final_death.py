"""The end of a life is final, like SWIM's confirm: a member wrongly held dead returns in a new life.

Guards against a stopped limiter being held present again for up to the detection bound, with its last rows valid again.
The view ordered claims by life, incarnation and state, so that an older refutation with a larger incarnation overrode a
death; by SWIM's rules (section 4.2) a confirm overrides any incarnation. It showed in ``fawnseam explore
closing-paused``, seed 209 (days of 2 s): limiter-1 held limiter-2 dead at 3.972 s and alive in the same life at
3.991 s.
"""

from __future__ import annotations

from itertools import permutations

import pytest

from cypresspulley.explore.examine import examine
from cypresspulley.explore.schedule import draw_scenario, drawable_kinds, scale_down
from cypresspulley.fleet.records import Member, MemberState
from cypresspulley.fleet.view import View
from cypresspulley.rehearsal.scenario import load_scenario
from tests.fleet.test_detector import DetectorHarness, claim

LIFE = 1_700_000_000_000  # the life in records made by ``claim``


@pytest.mark.parametrize("ended", [MemberState.LEFT, MemberState.DEAD])
def test_no_incarnation_brings_a_life_back_in_whatever_order_it_is_told(ended: MemberState) -> None:
    claims = [
        Member("x", 7, 0, ended),
        Member("x", 7, 1, MemberState.ALIVE),
        Member("x", 7, 4, MemberState.SUSPECTED),
    ]
    for order in permutations(claims):
        view = View(Member("me", 1, 0, MemberState.ALIVE))
        for member in order:
            view.merge(1.0, member)
        held = view.get("x")
        assert held is not None and held.state is ended, order
        assert view.merge(2.0, Member("x", 8, 0, MemberState.ALIVE)), "a new life is accepted"


def test_who_is_told_that_it_is_dead_goes_on_in_a_new_life() -> None:
    harness = DetectorHarness("x")
    harness.receive("x", claims=(claim("me", MemberState.DEAD, 0, by="x"),))
    me = harness.detector.view.local_member
    assert (me.life, me.incarnation) == (LIFE + 1, 0) and me.state.present


def test_a_death_that_is_older_than_a_refutation_suspects_nobody() -> None:
    harness = DetectorHarness("x", "y")
    harness.receive("y", claims=(claim("x", MemberState.ALIVE, 2),))
    harness.receive("y", claims=(claim("x", MemberState.DEAD, 1, by="y"),))
    held = harness.detector.view.get("x")
    assert held is not None and held.state is MemberState.ALIVE
    assert harness.detector._suspicions.get("x") is None, "no suspicion is pending"


def test_the_day_that_showed_it_shows_nothing() -> None:
    scenario = load_scenario("closing-paused")
    kinds = dict.fromkeys(drawable_kinds(scenario), 1.0)
    assert examine(draw_scenario(scale_down(scenario, 2.0, 12.0), 209, kinds)).failures == ()
