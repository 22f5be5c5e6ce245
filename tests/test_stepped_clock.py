"""Ceilings while the wall clock steps, for steps of every size, with restarts and failures of the counter.

Guards against a fault by which an account was served up to 7 of 16 units beyond its hard ceiling, for some seconds
after the wall clock had been set, with or without restarts of gateways. The names of shared counts contained wall
time. A step back by slightly more than two windows entered a window again whose count expired in its middle, so that
the window was drawn twice. Trace of seed 32, -5 s (real time, window, total, level): "25.00 sent 5010 2.0 9.78",
"25.06 forgotten 5010 8.0", "25.06 sent 5010 1.0 2.98". The name of the count that tells a restarted process of its
predecessor contained 30 s of wall time, so that after a step each process started with a full even share. Neither name
contains a time now; docs/incidents has the full account.
"""

from __future__ import annotations

from random import Random

import pytest

from cypresspulley import interface as api
from cypresspulley.policy.account import CountCallback, CounterCalls
from cypresspulley.policy.incarnation import Incarnation
from tests.stepped_clock import Case, Play, Trouble, drawn

DRAWN_SEEDS = range(160)
WINDOW_SECONDS = 2.0
# Steps back by so many windows enter a window again whose count expires in its middle.
REENTERING_STEPS = (-2.0, -2.125, -2.25, -2.375, -2.5)
RESTART_SEEDS = (
    108,
    182,
    276,
    315,
    319,
    368,
    438,
    481,
    806,
    1018,
)  # drawn seeds that passed the ceiling on 473daf2


def violations(cases: list[Case]) -> list[tuple[float, Case]]:
    """Return the cases that pass the ceiling, each with the units by which it does."""
    results = [(Play(case).run(), case) for case in cases]
    return [(round(result.beyond, 2), case) for result, case in results if result.beyond > 0]


@pytest.mark.long
def test_no_window_is_drawn_on_twice_where_a_step_back_enters_it_again() -> None:
    """Where an even share holds less than two requests, gateways draw on counts at the counter."""
    cases = [
        Case(seed, window, 30, (back * window,), phase, restarted=restarted, restart=restart)
        for seed in range(2)
        for window in (0.5, 2.0, 60.0)
        for back in REENTERING_STEPS
        for phase in (0.0, 0.05, 0.5)
        for restarted, restart in ((0.0, 0.0), (0.5, 0.0), (1.0, 1.05))
    ]
    assert not violations(cases)


@pytest.mark.long
def test_no_even_share_is_full_for_a_process_that_restarts_behind_a_step() -> None:
    """An even share that holds two requests or more is enforced locally, and only a first process starts with a full
    one."""
    assert not violations([drawn(seed) for seed in RESTART_SEEDS])


@pytest.mark.long
def test_no_ceiling_is_passed_in_drawn_cases() -> None:
    assert not violations([drawn(seed) for seed in DRAWN_SEEDS])


@pytest.mark.parametrize("step", [-3600.0, -45.0, -4.5, -0.9, 0.9, 4.5, 3600.0])
@pytest.mark.parametrize("gateways", [3, 30])
def test_a_ceiling_goes_on_being_used_behind_a_step(gateways: int, step: float) -> None:
    result = Play(Case(1, 2.0, gateways, (step,), 0.3)).run()
    assert result.sent > 0.5 * result.granted


def test_a_play_with_the_counter_away_refuses_and_does_not_pass_the_ceiling() -> None:
    result = Play(Case(1, 2.0, 30, (-4.5,), trouble=Trouble.SILENT)).run()
    assert result.beyond == 0 and result.sent > 0


def test_windows_whose_counts_are_forgotten_early_are_convicted(monkeypatch: pytest.MonkeyPatch) -> None:
    original_call = CounterCalls.call

    def call_short_lived(
        calls: CounterCalls, now: float, name: int, lifetime: float, amount: float, then: CountCallback
    ) -> None:
        original_call(
            calls, now, name, lifetime / 2 if lifetime == WINDOW_SECONDS else lifetime, amount, then
        )

    monkeypatch.setattr(CounterCalls, "call", call_short_lived)
    assert Play(Case(1, WINDOW_SECONDS, 30, (0.0,))).run().beyond > 0


def test_processes_that_all_take_themselves_for_the_first_are_convicted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    original_init = Incarnation.__init__

    def claim_first(incarnation: Incarnation, settings: api.Settings, rng: Random, now: float) -> None:
        original_init(incarnation, settings, rng, now)
        incarnation.is_first, incarnation.is_undecided = True, False

    monkeypatch.setattr(Incarnation, "__init__", claim_first)
    assert Play(Case(1, WINDOW_SECONDS, 3, (-3600.0,), restarted=1.0)).run().beyond > 0
