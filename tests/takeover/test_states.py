"""The table of both sides of a takeover."""

from __future__ import annotations

from itertools import product

import pytest

from cypresspulley.takeover.states import At, Do, Heard, Side

OLD = {At.WATCHING, At.OFFERED, At.HANDED}


def walk(at: At, *heard: Heard) -> tuple[At, list[Do]]:
    side, done = Side(at), list[Do]()
    for each in heard:
        done += side.hear(each)
    return side.at, done


def test_a_whole_takeover() -> None:
    assert walk(At.WATCHING, Heard.HELLO, Heard.SERVING) == (At.HANDED, [Do.PAUSE, Do.OFFER, Do.HAND])
    assert walk(At.ASKING, Heard.OFFER, Heard.WHOLE, Heard.ENDED) == (At.ALONE, [Do.ADOPT, Do.FORGET])


def test_a_successor_that_dies_before_it_serves_leaves_the_predecessor_whole() -> None:
    at, done = walk(At.WATCHING, Heard.HELLO, Heard.ENDED)
    assert at is At.WATCHING and done[-2:] == [Do.TAKE_BACK, Do.RESUME]


@pytest.mark.parametrize("heard", [Heard.LATE, Heard.BAD])
def test_one_that_may_serve_yet_keeps_what_it_was_given(heard: Heard) -> None:
    _, done = walk(At.WATCHING, Heard.HELLO, heard)
    assert Do.TAKE_BACK not in done and done[-1] is Do.RESUME
    _, done = walk(At.WATCHING, Heard.HELLO, Heard.SERVING, Heard.ENDED)
    assert Do.TAKE_BACK not in done and done[-1] is Do.RESUME


@pytest.mark.parametrize("before", [(), (Heard.OFFER,)])
@pytest.mark.parametrize("heard", [Heard.LATE, Heard.BAD, Heard.ENDED])
def test_a_successor_without_a_whole_offer_starts_alone(before: tuple[Heard, ...], heard: Heard) -> None:
    at, done = walk(At.ASKING, *before, heard)
    assert at is At.ALONE and done[-1] is Do.START


def test_every_state_comes_to_rest_whatever_is_heard() -> None:
    """Each pause is followed by a resume or a hand-over, each start or adoption comes once, in any order of words."""
    for words in product(Heard, repeat=4):
        at, done = walk(At.WATCHING, *words, Heard.ENDED)
        assert at in OLD and done.count(Do.PAUSE) == done.count(Do.RESUME)
        at, done = walk(At.ASKING, *words, Heard.ENDED)
        assert at is At.ALONE and done.count(Do.START) + done.count(Do.ADOPT) == 1
