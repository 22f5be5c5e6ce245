"""A small run of the mutant benchmark: the checkers report a mutant and accept the original on the same play."""

from __future__ import annotations

import multiprocessing
from concurrent.futures import ProcessPoolExecutor

from benchmarks.together_mutants import MUTANTS, run_day


def test_a_member_that_never_raises_its_incarnation_is_convicted_and_the_right_one_is_not() -> None:
    assert MUTANTS[0].name == "incarnation not raised"
    context = multiprocessing.get_context("spawn")  # keeps the mutant's patch in its own process
    with ProcessPoolExecutor(2, mp_context=context, max_tasks_per_child=1) as pool:
        original, mutated = pool.map(run_day, (None, 0), ("fleet", "fleet"), (1, 1))
    assert original["checked"] > 300 and not original["found"], original
    assert MUTANTS[0].promises & set(mutated["found"]) and mutated["shown"]
