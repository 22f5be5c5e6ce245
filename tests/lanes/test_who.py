"""Who gives way: the same verdict everywhere, the part that was meant, and nobody always."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cypresspulley.lanes.rotation import longest_wait, passes

ACCOUNTS = [f"{0xA000 + n:016x}" for n in range(2000)]


@pytest.mark.parametrize("threshold", [20, 100, 333, 500, 800, 980])
def test_about_that_part_of_the_accounts_passes(threshold: int) -> None:
    for spell in range(5):
        passing = sum(passes(account, spell, threshold) for account in ACCOUNTS)
        assert passing == pytest.approx(2 * threshold, abs=4 * (2000 * 0.25) ** 0.5)


def test_all_or_none() -> None:
    assert all(passes(account, 7, 1000) for account in ACCOUNTS)
    assert not any(passes(account, 7, 0) for account in ACCOUNTS)


@given(st.text(max_size=40), st.integers(0, 2**32 - 1), st.integers(0, 999), st.integers(1, 1000))
def test_a_higher_threshold_turns_nobody_away_who_passed(
    account: str, spell: int, low: int, more: int
) -> None:
    assert passes(account, spell, low) <= passes(account, spell, low + more)


@pytest.mark.parametrize("threshold", [30, 62, 100, 145, 236, 382, 500, 618, 900])
def test_nobody_is_always_the_one(threshold: int) -> None:
    bound, spells = longest_wait(threshold / 1000), 400
    waits = list[int]()
    for account in ACCOUNTS[:200]:
        wait = longest = passed = 0
        for spell in range(1000, 1000 + spells):
            there = passes(account, spell, threshold)
            wait, passed = 0 if there else wait + 1, passed + there
            longest = max(longest, wait)
        waits.append(longest)
        assert passed == pytest.approx(spells * threshold / 1000, abs=4)  # an even share of the spells
    assert max(waits) <= bound
    assert max(waits) >= bound - 1  # and the bound is no larger than it must be
