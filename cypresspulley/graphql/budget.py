"""How much time reading documents may take; free of I/O and clocks.

A document that is not in the cache costs milliseconds of the core that all requests share. Within each second only
so much of it may be spent, and on one account's documents only a part, so that whoever sends ever new texts is
refused at once and shuts out neither plain requests nor others' documents.
"""

from __future__ import annotations

# Seconds of reading a token costs, twice what benchmarks/graphql_cost.py measures, for slower cores.
SECONDS_PER_TOKEN = 2e-4
CHARACTERS_PER_TOKEN = 4
MAX_ACCOUNT_SHARE = 0.5


class AnalysisBudget:
    """``share``: seconds of reading for each second, above 0."""

    def __init__(self, limit_s: float) -> None:
        self._limit_s = limit_s
        self._current_second = 0
        self._spent_s = 0.0
        self._spent_by_account = dict[
            str, float
        ]()  # by account, of this second; each entry took some, so they are few

    def __repr__(self) -> str:
        return f"<AnalysisBudget {self._spent_s:.3f} of {self._limit_s:.3f} s, {len(self._spent_by_account)} accounts>"

    @staticmethod
    def estimate(characters: int, max_tokens: int) -> float:
        """Seconds that reading a text takes at most: past the bound on tokens it is not read."""
        return (1 + min(max_tokens, characters // CHARACTERS_PER_TOKEN)) * SECONDS_PER_TOKEN

    def try_spend(self, now: float, account: str, seconds: float) -> bool:
        """Whether there is time; a second's first document is always read, however long."""
        if int(now) != self._current_second:
            self._current_second, self._spent_s, self._spent_by_account = int(now), 0.0, {}
        account_spent = self._spent_by_account.get(account, 0.0)
        if self._spent_s > 0 and self._spent_s + seconds > self._limit_s:
            return False
        if account_spent > 0 and account_spent + seconds > MAX_ACCOUNT_SHARE * self._limit_s:
            return False
        self._spent_s += seconds
        self._spent_by_account[account] = account_spent + seconds
        return True
