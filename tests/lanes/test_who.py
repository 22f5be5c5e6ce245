"""The rotation of shed accounts: the same verdict everywhere, the intended part, and no account shed all the time."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cypresspulley.lanes.rotation import is_admitted, longest_shed_run

ACCOUNTS = [f"{0xA000 + n:016x}" for n in range(2000)]


@pytest.mark.parametrize("threshold", [20, 100, 333, 500, 800, 980])
def test_about_that_part_of_the_accounts_passes(threshold: int) -> None:
    for rotation in range(5):
        admitted_count = sum(is_admitted(account, rotation, threshold) for account in ACCOUNTS)
        assert admitted_count == pytest.approx(2 * threshold, abs=4 * (2000 * 0.25) ** 0.5)


def test_all_or_none() -> None:
    assert all(is_admitted(account, 7, 1000) for account in ACCOUNTS)
    assert not any(is_admitted(account, 7, 0) for account in ACCOUNTS)


@given(st.text(max_size=40), st.integers(0, 2**32 - 1), st.integers(0, 999), st.integers(1, 1000))
def test_a_higher_threshold_turns_nobody_away_who_passed(
    account: str, rotation: int, low: int, more: int
) -> None:
    assert is_admitted(account, rotation, low) <= is_admitted(account, rotation, low + more)


@pytest.mark.parametrize("threshold", [30, 62, 100, 145, 236, 382, 500, 618, 900])
def test_nobody_is_always_the_one(threshold: int) -> None:
    bound, rotations = longest_shed_run(threshold / 1000), 400
    longest_runs = list[int]()
    for account in ACCOUNTS[:200]:
        run = longest = admitted_count = 0
        for rotation in range(1000, 1000 + rotations):
            admitted = is_admitted(account, rotation, threshold)
            run, admitted_count = 0 if admitted else run + 1, admitted_count + admitted
            longest = max(longest, run)
        longest_runs.append(longest)
        # An even share of the rotation periods.
        assert admitted_count == pytest.approx(rotations * threshold / 1000, abs=4)
    assert max(longest_runs) <= bound
    assert max(longest_runs) >= bound - 1  # and the bound is tight
