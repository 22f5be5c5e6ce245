"""One limiter's cache of server answers, bounded in size, indexed by account. No I/O, no clock.

Times passed in are seconds of a monotonic clock. An answer is dated by the moment at which its request was sent; the
moment at which the answer arrived is never used. A purge sets a watermark for its account: answers to requests that
were sent at or before it are neither served nor cached. The same holds for all answers of an account while a request
that may change its data (a write) is in progress.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass

from cachetools import LRUCache

ENTRY_OVERHEAD_BYTES = 600  # approximate memory per answer in addition to headers and body
# Maximum time from sending a request until its answer can be cached; clients wait for 60 s at most. Purge watermarks
# that are older than this are no longer needed and are dropped.
MAX_ANSWER_DELAY_SECONDS = 120.0
MAX_PURGE_WATERMARKS = (
    16_384  # accounts with a watermark of their own; beyond this, one watermark holds for all
)

CacheKey = tuple[str, str, bytes]  # request class, plan, target (path and query)


@dataclass(frozen=True, slots=True)
class CachedAnswer:
    """A cached answer.

    ``sent`` (monotonic) and ``wall`` (Unix seconds) are the moment at which its request was sent.
    """

    account: str
    generation: int
    sent: float
    wall: float
    headers: bytes
    body: bytes


@dataclass(frozen=True, slots=True)
class SendStamp:
    """The moment at which a lookup was sent to a server, by both clocks, and the generation of its answer."""

    mono: float
    wall: float
    generation: int


class _AnswersByKey(LRUCache[CacheKey, CachedAnswer]):
    """A cache that evicts the least recently used answers and indexes its keys by account."""

    def __init__(self, most_bytes: int) -> None:
        super().__init__(
            most_bytes, getsizeof=lambda answer: len(answer.body) + len(answer.headers) + ENTRY_OVERHEAD_BYTES
        )
        self.by_account = dict[str, set[CacheKey]]()

    def __setitem__(self, key: CacheKey, answer: CachedAnswer) -> None:
        self.pop(key, None)
        super().__setitem__(key, answer)
        if key in self:
            self.by_account.setdefault(answer.account, set()).add(key)

    def __delitem__(self, key: CacheKey) -> None:
        account = self.peek(key).account
        super().__delitem__(key)
        keys = self.by_account[account]
        keys.discard(key)
        if not keys:
            del self.by_account[account]

    def peek(self, key: CacheKey) -> CachedAnswer:
        """Return an answer without counting as a use of it."""
        answer: CachedAnswer = self._Cache__data[key]  # type: ignore[attr-defined]
        return answer


class AnswerCache:
    """Cached answers; each is served for at most ``max_age`` seconds after its request was sent."""

    def __init__(self, most_answers: int, most_bytes: int, max_age: float) -> None:
        self._max_answers, self._max_age = most_answers, max_age
        self._answers = _AnswersByKey(most_bytes)
        self._purge_watermarks = dict[str, float]()
        self._global_watermark = -math.inf  # for all accounts
        self._writes_in_progress = dict[str, int]()  # by account

    def __repr__(self) -> str:
        return (
            f"<AnswerCache {len(self._answers)} answers, {self._answers.currsize:.0f} bytes, "
            f"{len(self._writes_in_progress)} accounts with writes>"
        )

    def __len__(self) -> int:
        return len(self._answers)

    def get(self, key: CacheKey, generation: int, now: float) -> CachedAnswer | None:
        """Return the answer if it may be served at this generation; remove one that is no longer valid."""
        answer = self._answers.get(key)
        if answer is None or answer.account in self._writes_in_progress:
            return None
        if (
            answer.generation == generation
            and now - answer.sent < self._max_age
            and not self._is_purged(answer)
        ):
            return answer
        self._answers.pop(key, None)
        return None

    def _is_purged(self, answer: CachedAnswer) -> bool:
        return answer.sent <= max(
            self._global_watermark, self._purge_watermarks.get(answer.account, -math.inf)
        )

    def put(self, key: CacheKey, answer: CachedAnswer, now: float) -> bool:
        """Cache an answer unless it is too old or purged, and return whether it was cached.

        An answer never replaces one whose request was sent later.
        """
        if (
            answer.account in self._writes_in_progress
            or self._is_purged(answer)
            or now - answer.sent > MAX_ANSWER_DELAY_SECONDS
        ):
            return False
        existing = self._answers.get(key)
        if existing is not None and existing.sent >= answer.sent:
            return False
        try:
            self._answers[key] = answer
        except ValueError:  # larger than the whole cache
            return False
        while len(self._answers) > self._max_answers:
            self._answers.popitem()
        return True

    def purge(self, account: str, sent_until: float, now: float) -> int:
        """Remove an account's answers to requests sent at or before ``sent_until`` and cache none of them later.

        Return the number of removed answers.
        """
        self._purge_watermarks[account] = max(sent_until, self._purge_watermarks.get(account, -math.inf))
        if len(self._purge_watermarks) > MAX_PURGE_WATERMARKS:
            self._purge_watermarks = {
                a: at for a, at in self._purge_watermarks.items() if at > now - MAX_ANSWER_DELAY_SECONDS
            }
        if len(self._purge_watermarks) > MAX_PURGE_WATERMARKS:
            self._global_watermark = max(self._global_watermark, *self._purge_watermarks.values())
            self._purge_watermarks.clear()
        return self._remove(
            [key for key in self._answers.by_account.get(account, ()) if self._is_key_purged(key)]
        )

    def _is_key_purged(self, key: CacheKey) -> bool:
        return self._is_purged(self._answers.peek(key))

    def purge_all(self, now: float) -> int:
        """Remove all answers and cache no answer to a request sent at or before ``now``.

        Return the number of removed answers.
        """
        self._global_watermark = max(self._global_watermark, now)
        return self._remove(list(self._answers))

    def begin_write(self, account: str) -> None:
        """Register a write; until it ends, no answer of its account is served or cached."""
        self._writes_in_progress[account] = self._writes_in_progress.get(account, 0) + 1
        self._remove(list(self._answers.by_account.get(account, ())))

    def end_write(self, account: str, sent_until: float, now: float) -> None:
        """End a write. Answers to requests sent at or before ``sent_until`` may predate it and are not cached."""
        left = self._writes_in_progress.get(account, 0) - 1
        if left > 0:
            self._writes_in_progress[account] = left
        else:
            self._writes_in_progress.pop(account, None)
        self.purge(account, sent_until, now)

    def remove_invalid(self, is_valid: Callable[[CachedAnswer], bool]) -> list[CachedAnswer]:
        """Free the memory of the answers that are not valid any more and return them."""
        invalid = [(key, answer) for key in self._answers if not is_valid(answer := self._answers.peek(key))]
        self._remove([key for key, _ in invalid])
        return [answer for _, answer in invalid]

    def _remove(self, keys: list[CacheKey]) -> int:
        for key in keys:
            del self._answers[key]
        return len(keys)
