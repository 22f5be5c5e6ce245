"""What one limiter keeps of servers' answers: bounded, by account, with what may no longer be kept. No I/O, no clock.

Times that are passed in are seconds of a clock that never steps. An answer belongs to the moment at which its request
was sent: nothing here looks at when it came. A purge sets its account's *floor*: what was sent at or before it is
neither served nor kept. While a request that changes something is under way for an account, nothing is either.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass

from cachetools import LRUCache

OVERHEAD = 600  # bytes that an answer costs beside its text, about
# Seconds from a request's sending to the last moment at which its answer is kept: clients wait for 60 at most. A floor
# that is older is forgotten.
LATEST = 120.0
MOST_FLOORS = 16_384  # accounts; beyond, one floor for all

CacheKey = tuple[str, str, bytes]  # class, plan, target: path and query


@dataclass(frozen=True, slots=True)
class Kept:
    """An answer. ``sent`` and ``wall`` are the moment at which its request was sent, ``wall`` in Unix seconds."""

    account: str
    generation: int
    sent: float
    wall: float
    headers: bytes
    body: bytes


@dataclass(frozen=True, slots=True)
class Sent:
    """The moment at which a lookup was sent to a server, by both clocks, and the generation that its answer is of."""

    mono: float
    wall: float
    generation: int


class _Answers(LRUCache[CacheKey, Kept]):
    """The least lately used give way; which keys an account has is known at all times."""

    def __init__(self, most_bytes: int) -> None:
        super().__init__(most_bytes, getsizeof=lambda kept: len(kept.body) + len(kept.headers) + OVERHEAD)
        self.by_account = dict[str, set[CacheKey]]()

    def __setitem__(self, key: CacheKey, kept: Kept) -> None:
        self.pop(key, None)
        super().__setitem__(key, kept)
        if key in self:
            self.by_account.setdefault(kept.account, set()).add(key)

    def __delitem__(self, key: CacheKey) -> None:
        account = self.peek(key).account
        super().__delitem__(key)
        keys = self.by_account[account]
        keys.discard(key)
        if not keys:
            del self.by_account[account]

    def peek(self, key: CacheKey) -> Kept:
        """Without counting it as a use."""
        kept: Kept = self._Cache__data[key]  # type: ignore[attr-defined]
        return kept


class Keep:
    """Kept answers. ``longest``: seconds for which one is kept at most."""

    def __init__(self, most_answers: int, most_bytes: int, longest: float) -> None:
        self._most, self._longest = most_answers, longest
        self._answers = _Answers(most_bytes)
        self._floors = dict[str, float]()
        self._floor = -math.inf  # of all accounts
        self._busy = dict[str, int]()  # requests that change something, open, by account

    def __repr__(self) -> str:
        return (
            f"<Keep {len(self._answers)} answers, {self._answers.currsize:.0f} bytes, {len(self._busy)} busy>"
        )

    def __len__(self) -> int:
        return len(self._answers)

    def get(self, key: CacheKey, generation: int, now: float) -> Kept | None:
        """What may be served at this generation; what may not goes."""
        kept = self._answers.get(key)
        if kept is None or kept.account in self._busy:
            return None
        if kept.generation == generation and now - kept.sent < self._longest and not self._old(kept):
            return kept
        self._answers.pop(key, None)
        return None

    def _old(self, kept: Kept) -> bool:
        return kept.sent <= max(self._floor, self._floors.get(kept.account, -math.inf))

    def put(self, key: CacheKey, kept: Kept, now: float) -> bool:
        """Keep an answer; whether it may be. One of an earlier request never takes the place of a later one's."""
        if kept.account in self._busy or self._old(kept) or now - kept.sent > LATEST:
            return False
        there = self._answers.get(key)
        if there is not None and there.sent >= kept.sent:
            return False
        try:
            self._answers[key] = kept
        except ValueError:  # larger than all that may be kept
            return False
        while len(self._answers) > self._most:
            self._answers.popitem()
        return True

    def purge(self, account: str, floor: float, now: float) -> int:
        """Drop what is kept for an account and was sent by ``floor``, and keep none of it later; how many went."""
        self._floors[account] = max(floor, self._floors.get(account, -math.inf))
        if len(self._floors) > MOST_FLOORS:
            self._floors = {a: at for a, at in self._floors.items() if at > now - LATEST}
        if len(self._floors) > MOST_FLOORS:
            self._floor = max(self._floor, *self._floors.values())
            self._floors.clear()
        return self._drop([key for key in self._answers.by_account.get(account, ()) if self._gone(key)])

    def _gone(self, key: CacheKey) -> bool:
        return self._old(self._answers.peek(key))

    def purge_all(self, now: float) -> int:
        """Drop everything, and keep nothing that was sent by now; how many went."""
        self._floor = max(self._floor, now)
        return self._drop(list(self._answers))

    def begin(self, account: str) -> None:
        """A request that changes something has come: until its end nothing of its account is served or kept."""
        self._busy[account] = self._busy.get(account, 0) + 1
        self._drop(list(self._answers.by_account.get(account, ())))

    def end(self, account: str, floor: float, now: float) -> None:
        """It has ended; what was sent by ``floor`` may be from before it, and is not kept."""
        left = self._busy.get(account, 0) - 1
        if left > 0:
            self._busy[account] = left
        else:
            self._busy.pop(account, None)
        self.purge(account, floor, now)

    def sweep(self, stays: Callable[[Kept], bool]) -> list[Kept]:
        """Give the memory of what does not stay back; what went."""
        gone = [(key, kept) for key in self._answers if not stays(kept := self._answers.peek(key))]
        self._drop([key for key, _ in gone])
        return [kept for _, kept in gone]

    def _drop(self, keys: list[CacheKey]) -> int:
        for key in keys:
            del self._answers[key]
        return len(keys)
