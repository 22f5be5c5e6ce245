"""How much time reading documents may take; free of I/O and clocks.

A document that is not in the cache costs milliseconds of the core that all requests share. Within each second only
so much of it may be spent, and on one account's documents only a part, so that whoever sends ever new texts is
refused at once and shuts out neither plain requests nor others' documents.
"""

from __future__ import annotations

# Seconds of reading a token costs, twice what benchmarks/graphql_cost.py measures, for slower cores.
TOKEN_SECONDS = 2e-4
CHARACTERS_A_TOKEN = 4
ACCOUNT_SHARE = 0.5


class ReadingBudget:
    """``share``: seconds of reading for each second, above 0."""

    def __init__(self, share: float) -> None:
        self._share = share
        self._second = 0
        self._spent = 0.0
        self._of = dict[str, float]()  # by account, of this second; each entry took some, so they are few

    def __repr__(self) -> str:
        return f"<ReadingBudget {self._spent:.3f} of {self._share:.3f} s, {len(self._of)} accounts>"

    @staticmethod
    def estimate(characters: int, most_tokens: int) -> float:
        """Seconds that reading a text takes at most: past the bound on tokens it is not read."""
        return (1 + min(most_tokens, characters // CHARACTERS_A_TOKEN)) * TOKEN_SECONDS

    def take(self, now: float, account: str, seconds: float) -> bool:
        """Whether there is time; a second's first document is always read, however long."""
        if int(now) != self._second:
            self._second, self._spent, self._of = int(now), 0.0, {}
        own = self._of.get(account, 0.0)
        if self._spent > 0 and self._spent + seconds > self._share:
            return False
        if own > 0 and own + seconds > ACCOUNT_SHARE * self._share:
            return False
        self._spent += seconds
        self._of[account] = own + seconds
        return True
