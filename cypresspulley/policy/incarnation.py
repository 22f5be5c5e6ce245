"""Whether a process is the first of its place for so long that all stores of ceilings are full again.

Two counts by the shared counter tell it, whose names say the place and nothing else. An incarnation marks each of them
by a random amount that it adds. A count is forgotten ``MAX_LIFETIME_SECONDS`` after the mark that began it, by the
counter's own clock, and an incarnation begins them ``MARK_INTERVAL_SECONDS`` apart: at any instant of its time one of them lives for
``MARK_INTERVAL_SECONDS`` more, however the wall clock steps. A new incarnation that finds both empty is the first one.
"""

from itertools import combinations
from random import Random

from cypresspulley import interface as api
from cypresspulley.interface import Status
from cypresspulley.policy.counts import MAX_LIFETIME_SECONDS, count_name

MARK_INTERVAL_SECONDS = MAX_LIFETIME_SECONDS / 2  # seconds between the beginnings of the two counts
CALL_JITTER_SECONDS = 0.4  # seconds over which the calls of gateways that start together are spread
MAX_UNANSWERED_MARKS = 4  # of a count in a row, after which nothing is learnt from it
MAX_UNANSWERED_READS = 12
READ_LIFETIME_SECONDS = 0.001  # seconds that a count lives which is only read
MAX_MARK_AMOUNT = 9999


class Mark:
    """One of the two counts as its incarnation knows it."""

    __slots__ = ("counter_name", "due_at", "unanswered_amounts")

    def __init__(self, name: int) -> None:
        self.counter_name = name
        self.due_at = 0.0  # the instant at which it is marked again
        self.unanswered_amounts = list[float]()  # amounts that may have been added since the last answer

    def __repr__(self) -> str:
        return f"<Mark due {self.due_at:.3f}, unanswered {self.unanswered_amounts}>"

    def is_own(self, others: float) -> bool:
        """Whether so much, besides what was added last, can have come from this incarnation alone."""
        amounts = [amount for amount in self.unanswered_amounts if amount]
        sums = (sum(some) for n in range(len(amounts) + 1) for some in combinations(amounts, n))
        return any(abs(others - own) < 1e-3 for own in sums)


class Incarnation:
    """The calls by which a process finds out whether it is the first of its place, and by which it tells its successor.

    ``is_enabled`` is whether there is a counter and a ceiling that fills within ``MARK_INTERVAL_SECONDS``.
    """

    def __init__(self, settings: api.Settings, rng: Random, now: float) -> None:
        fill_times = [p.ceiling_burst / p.ceiling_rate for p in settings.plans if p.ceiling_rate > 0]
        longest = max(fill_times, default=0.0)
        self.is_enabled = settings.has_counter and 0 < longest <= MARK_INTERVAL_SECONDS
        self.is_first = False
        self.marks = tuple(Mark(count_name("incarnation", settings.index, number)) for number in range(2))
        self.is_undecided = True  # it is not known yet whether this is the first one
        self._rng = rng
        self._retry_seconds = max(
            1.0, MARK_INTERVAL_SECONDS - longest
        )  # seconds until a count that another began is marked again
        self._next_call_at = now + rng.random() * CALL_JITTER_SECONDS
        self._pending_call: tuple[Mark, float] | None = (
            None  # the mark and amount of the call that is under way
        )

    def __repr__(self) -> str:
        state = (
            "asking" if self.is_undecided else "the first" if self.is_first else "not known to be the first"
        )
        return f"<Incarnation {state}, {self.marks}>"

    def update_settings(self, settings: api.Settings) -> None:
        """Without a counter nobody is asked; with one that came later nothing is known of the time before."""
        self.is_enabled = self.is_enabled and settings.has_counter

    def resume(self, now: float, is_first: bool) -> None:
        """Go on for another process of this incarnation, whose marks will be forgotten in their time."""
        self.is_first, self.is_undecided = is_first, False
        for number, mark in enumerate(self.marks):
            mark.due_at = now + self._retry_seconds * (number + 1) / 2

    def next_call(self, now: float) -> api.Count | None:
        """The call that is due."""
        if not self.is_enabled or self._pending_call is not None or now < self._next_call_at:
            return None
        if not self.is_undecided:
            due = [mark for mark in self.marks if mark.due_at <= now]
            return self._mark_count(due[0]) if due else None
        if self.marks[0].due_at <= now:
            return self._mark_count(self.marks[0])
        self._pending_call = self.marks[1], 0.0
        return api.Count(self.marks[1].counter_name, READ_LIFETIME_SECONDS, 0.0)

    def _mark_count(self, mark: Mark) -> api.Count:
        amount = float(self._rng.randint(1, MAX_MARK_AMOUNT))
        self._pending_call = mark, amount
        return api.Count(mark.counter_name, MAX_LIFETIME_SECONDS, amount)

    def on_answer(self, now: float, answer: api.Counted) -> bool:
        """The counter's answer; whether it tells that this incarnation is the first one."""
        if self._pending_call is None:
            return False
        (mark, amount), self._pending_call = self._pending_call, None
        self._next_call_at = now + self._rng.random() * CALL_JITTER_SECONDS
        if answer.status is not Status.OK:
            self._on_unanswered(now, mark, amount, answer.status)
            return False
        own = mark.is_own(answer.total - amount)
        mark.unanswered_amounts = []
        if amount:
            mark.due_at = now + (MAX_LIFETIME_SECONDS if own else self._retry_seconds)
        if not self.is_undecided:
            return False
        if own and amount:
            return False  # the other count is still to be read
        self.is_undecided, self.is_first = False, own
        self.marks[1].due_at = now + (MARK_INTERVAL_SECONDS if own else self._retry_seconds / 2)
        return self.is_first

    def _on_unanswered(self, now: float, mark: Mark, amount: float, status: Status) -> None:
        if status in api.NEVER_ADDED:
            return
        mark.unanswered_amounts.append(amount)  # 0 of a read
        if len(mark.unanswered_amounts) < (MAX_UNANSWERED_MARKS if amount else MAX_UNANSWERED_READS):
            return
        mark.unanswered_amounts, mark.due_at = [], now + self._retry_seconds
        if self.is_undecided:
            self.is_undecided = False
            self.marks[1].due_at = now + self._retry_seconds / 2
