"""Changes of terms at each moment of an upgrade, for each way in which it ends: the ceiling, the terms, who serves."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from random import Random

import hypothesis
import pytest
from hypothesis import strategies as st

from cypresspulley import interface as api
from cypresspulley.plans.book import Terms
from cypresspulley.policy.store_share import RETAINED_PART
from cypresspulley.takeover.states import TakeoverEvent
from tests.takeover.two_processes import BASE, BASE_PLAN, CONFIG, LARGE, MIDDLE, SMALL, Limiter, halved

GOLD, WEDDING = "gold", "gold+wedding"


def with_book(limiter: Limiter) -> None:
    """Let the limiter have a book in which the account is on a plan of its own."""
    limiter.version(GOLD, MIDDLE)
    limiter.assign(GOLD)
    limiter.tell_book(limiter.old)


def first_book(limiter: Limiter) -> None:
    limiter.version(GOLD, MIDDLE)
    limiter.assign(GOLD)
    for process in limiter.processes:
        limiter.tell_book(process)


def begin_reservation(limiter: Limiter) -> None:
    limiter.version(WEDDING, LARGE)
    limiter.assign(WEDDING)


def end_reservation(limiter: Limiter) -> None:
    limiter.assign(GOLD)


def halve_version(limiter: Limiter) -> None:
    limiter.version(GOLD, SMALL)


def double_version(limiter: Limiter) -> None:
    limiter.version(GOLD, LARGE)


def change_often(limiter: Limiter) -> None:
    for terms in (SMALL, LARGE, SMALL, LARGE):
        limiter.version(GOLD, terms)
        limiter.advance(0.01)


def move_to_base(limiter: Limiter) -> None:
    limiter.version(BASE_PLAN, Terms(BASE.rate, BASE.burst, BASE.ceiling_rate, BASE.ceiling_burst))
    limiter.assign(BASE_PLAN)


def withdraw(limiter: Limiter) -> None:
    limiter.version(WEDDING, LARGE)
    stamp = limiter.assign(WEDDING, after=5.0)
    limiter.withdraw(stamp)


def lose_lease(limiter: Limiter) -> None:
    limiter.version(WEDDING, SMALL)
    limiter.lease_ms = 0
    for process in limiter.processes:
        process.follower.lease_until = int(limiter.now * 1000)
    limiter.advance(0.0)


def halve_settings(limiter: Limiter) -> None:
    limiter.change_settings(halved(limiter.config))


def drop_a_plan(limiter: Limiter) -> None:
    limiter.change_settings(replace(CONFIG, plans=(*CONFIG.plans, api.Plan("other"))))
    limiter.change_settings(CONFIG)


# Each change, and whether the limiter has a book before it.
CHANGES: dict[str, tuple[Callable[[Limiter], None], bool]] = {
    "nothing": (lambda _limiter: None, True),
    "reservation begins": (begin_reservation, True),
    "reservation ends": (end_reservation, True),
    "version halved": (halve_version, True),
    "version doubled": (double_version, True),
    "several versions": (change_often, True),
    "moved to the settings' plan": (move_to_base, True),
    "withdrawal": (withdraw, True),
    "lapsed lease": (lose_lease, True),
    "first book": (first_book, False),
    "settings halved": (halve_settings, False),
    "a plan dropped": (drop_a_plan, False),
}
MOMENTS = ("before", "offered", "handed over", "draining", "after")
ENDS = ("killed", "SIGTERM", "stopped and killed", "late", "bad message", "old one leaves")


def press(limiter: Limiter, seconds: float = 1.0) -> None:
    """Ask more than the ceiling gives at each process that serves or works off its requests."""
    for _ in range(4):
        limiter.advance(seconds / 4)
        for process in limiter.processes:
            if limiter.upgrade is None or process is not limiter.upgrade.new or limiter.upgrade.is_serving:
                limiter.ask(process, 3)


def play(limiter: Limiter, change: Callable[[Limiter], None], moment: str, end: str, has_book: bool) -> None:
    """Play one upgrade with a change of terms at a moment of it."""
    at = {each: (change if each == moment else lambda _limiter: None) for each in MOMENTS}
    at["before"](limiter)
    press(limiter, 0.5)
    limiter.offer(has_book)
    at["offered"](limiter)
    press(limiter, 0.4)
    if moment in ("handed over", "draining") or end in ("SIGTERM", "old one leaves"):
        limiter.serve()
        at["handed over"](limiter)
        press(limiter, 0.5)
    end_upgrade(limiter, end, at["draining"])
    at["after"](limiter)
    press(limiter)


def end_upgrade(limiter: Limiter, end: str, while_draining: Callable[[Limiter], None]) -> None:
    match end:
        case "killed":
            while_draining(limiter)
            limiter.end_new()
        case "SIGTERM":
            while_draining(limiter)
            press(limiter, 0.5)  # what the new process still has to do
            limiter.end_new()
        case "stopped and killed":
            limiter.advance(2.0)
            limiter.time_out()
            while_draining(limiter)
            limiter.advance(1.0)
            limiter.end_new()
        case "late":
            limiter.advance(2.0)
            limiter.time_out()
            limiter.serve()
            while_draining(limiter)
            press(limiter)
            limiter.leave()
            press(limiter)
            limiter.end_leaving()
        case "bad message":
            limiter.hear(TakeoverEvent.INVALID)
            while_draining(limiter)
            limiter.end_new()
        case "old one leaves":
            limiter.leave()
            while_draining(limiter)
            press(limiter)
            limiter.end_leaving()


@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("moment", MOMENTS)
@pytest.mark.parametrize("change", CHANGES)
def test_terms_and_stores_hold_over_an_upgrade_and_the_one_after_it(
    change: str, moment: str, end: str
) -> None:
    """Guards against terms of before, stores given out twice, and a process that doesn't accept again."""
    apply, has_book = CHANGES[change]
    for knows_book in (True, False):
        limiter = Limiter()
        if has_book:
            with_book(limiter)
        if change == "reservation ends":
            begin_reservation(limiter)
        play(limiter, apply, moment, end, knows_book)
        limiter.check_alone()
        play(limiter, lambda _limiter: None, "after", "old one leaves", True)
        limiter.check_alone()
        assert limiter.sent > 4


@pytest.mark.parametrize("change", [name for name in CHANGES if name != "lapsed lease"])
def test_a_successor_that_served_nobody_leaves_the_store_as_it_was(change: str) -> None:
    """Guards against units that are lost with the part that was given: nothing was drawn from it."""
    apply, has_book = CHANGES[change]
    limiter = Limiter()
    if has_book:
        with_book(limiter)
    limiter.advance(2.0)
    limiter.ask(limiter.old, 2)
    limiter.offer()
    apply(limiter)
    limiter.ask(limiter.old, 1)
    limiter.end_new()
    assert limiter.units_here() == pytest.approx(limiter.reference.units, abs=0.1)
    limiter.check_alone()


def test_a_successor_that_served_leaves_the_retained_part() -> None:
    limiter = Limiter()
    with_book(limiter)
    limiter.advance(2.0)
    units = limiter.reference.units
    limiter.ask(limiter.old, 1)
    limiter.offer()
    limiter.serve()
    limiter.end_new()
    assert limiter.units_here() == pytest.approx(RETAINED_PART * (units - 1), abs=0.01)
    limiter.check_alone()


@hypothesis.settings(derandomize=True, deadline=None, max_examples=40)
@hypothesis.given(st.integers(0, 2**32))
def test_several_changes_over_several_upgrades(seed: int) -> None:
    rng, limiter = Random(seed), Limiter()
    with_book(limiter)
    names = [name for name, (_, has_book) in CHANGES.items() if has_book and name != "lapsed lease"]
    for _ in range(4):
        chosen = [CHANGES[rng.choice(names)][0] for _ in range(rng.randint(1, 3))]

        def apply(limiter: Limiter, chosen: list[Callable[[Limiter], None]] = chosen) -> None:
            for change in chosen:
                change(limiter)
                limiter.advance(rng.choice((0.0, 0.01, 0.3)))

        play(limiter, apply, rng.choice(MOMENTS), rng.choice(ENDS), rng.random() < 0.7)
        limiter.check_alone()
        limiter.advance(rng.choice((0.0, 0.5, 4.0)))
