"""Limits the CPU time spent on analyzing GraphQL documents. The module does no I/O and reads no clock.

A document that is not in the cache costs milliseconds of the core that all requests share. The time per second is
limited, in total and per account, so that a client that keeps sending new documents is rejected immediately and
blocks neither plain requests nor the documents of other accounts.
"""

from __future__ import annotations

# Twice what benchmarks/graphql_cost.py measures, to allow for slower cores.
SECONDS_PER_TOKEN = 2e-4
CHARACTERS_PER_TOKEN = 4
MAX_ACCOUNT_SHARE = 0.5  # share of the limit that one account may use


class AnalysisBudget:
    """The analysis time left in the current second. ``limit_s`` is the seconds of analysis per second, above 0."""

    def __init__(self, limit_s: float) -> None:
        self._limit_s = limit_s
        self._current_second = 0
        self._spent_s = 0.0
        # Seconds spent in the current second. Only accounts that spent some have an entry, which bounds its size.
        self._spent_by_account = dict[str, float]()

    def __repr__(self) -> str:
        return f"<AnalysisBudget {self._spent_s:.3f} of {self._limit_s:.3f} s, {len(self._spent_by_account)} accounts>"

    @staticmethod
    def estimate(characters: int, max_tokens: int) -> float:
        """Return an upper bound of the seconds to analyze a text. Analysis stops after ``max_tokens`` tokens."""
        return (1 + min(max_tokens, characters // CHARACTERS_PER_TOKEN)) * SECONDS_PER_TOKEN

    def try_spend(self, now: float, account: str, seconds: float) -> bool:
        """Spend the time and return True if the limits allow it.

        The first document in a second, and the first of an account, is not held against the respective limit, so that
        a document that exceeds it alone can still be analyzed.
        """
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
