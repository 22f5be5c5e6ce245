"""A short soak test: fixed seeds, the unchanged limiter, and four mutants of it that must be found."""

from __future__ import annotations

import pytest

from tests.soak.judge import Result
from tests.soak.run import play_seed

UNCHANGED_SEEDS = (2, 5, 15)  # the last one has a crowd
MUTANT_SEEDS = {  # the seed that finds each mutant
    "accept queue dropped": 2, "deadline not bounded": 2, "drained server used": 2, "new connection makes room": 18,
}  # fmt: skip
MAX_PLAYS = 3  # of a seed whose plays are void because the kit itself is late


def played(seed: int, mutant: str = "") -> Result:
    """Plays a seed until a play is not void, ``MAX_PLAYS`` times at most."""
    for _ in range(MAX_PLAYS):
        if not (result := play_seed(seed, mutant)).void:
            return result
    pytest.fail(f"seed {seed} was void {MAX_PLAYS} times: {result.void}")


@pytest.mark.timed
@pytest.mark.parametrize("seed", UNCHANGED_SEEDS)
def test_a_day_of_drawn_faults_breaks_no_term(seed: int) -> None:
    result = played(seed)
    assert result.failures == () and result.attempts > 200


@pytest.mark.timed
@pytest.mark.parametrize(("mutant", "seed"), MUTANT_SEEDS.items(), ids=MUTANT_SEEDS)
def test_a_fault_of_the_limiter_is_found(mutant: str, seed: int) -> None:
    assert played(seed, mutant).failures
