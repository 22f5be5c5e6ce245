"""The bench of mutants, in small: the right program is acquitted on the day on which a mutant is convicted."""

from __future__ import annotations

import multiprocessing
from concurrent.futures import ProcessPoolExecutor

from benchmarks.together_mutants import MUTANTS, run_day


def test_a_member_that_never_raises_its_incarnation_is_convicted_and_the_right_one_is_not() -> None:
    assert MUTANTS[0].name == "incarnation not raised"
    context = multiprocessing.get_context("spawn")  # a patch stays in its process
    with ProcessPoolExecutor(2, mp_context=context, max_tasks_per_child=1) as pool:
        right, wrong = pool.map(run_day, (None, 0), ("fleet", "fleet"), (1, 1))
    assert right["checked"] > 300 and not right["found"], right
    assert MUTANTS[0].promises & set(wrong["found"]) and wrong["shown"]
