"""Finds out whether a process is the first in its position for so long that all ceilings' buckets are full again.

Two counts at the shared counter show this; their names hold the gateway's index and nothing else. An incarnation marks
each of them by adding a random amount. A count expires ``MAX_LIFETIME_SECONDS`` after the mark that started it, by the
counter's own clock, and an incarnation starts the two ``MARK_INTERVAL_SECONDS`` apart. So at any time of its life one
of them exists for another ``MARK_INTERVAL_SECONDS``, however the wall clock steps, and a new incarnation that finds
both empty is the first one.
"""

from itertools import combinations
from random import Random

from cypresspulley import interface as api
from cypresspulley.interface import Status
from cypresspulley.policy.counts import MAX_LIFETIME_SECONDS, count_name

MARK_INTERVAL_SECONDS = MAX_LIFETIME_SECONDS / 2  # between the starts of the two counts
CALL_JITTER_SECONDS = 0.4  # spreads the calls of gateways that start together
MAX_UNANSWERED_MARKS = 4  # of one count in a row; nothing is learned from it after that
MAX_UNANSWERED_READS = 12  # of one count in a row; nothing is learned from it after that
READ_LIFETIME_SECONDS = 0.001  # lifetime of a count that a read creates
MAX_MARK_AMOUNT = 9999


class Mark:
    """One of the two counts, as the incarnation that marks it knows it."""

    __slots__ = ("counter_name", "due_at", "unanswered_amounts")

    def __init__(self, name: int) -> None:
        self.counter_name = name
        self.due_at = 0.0  # when it is marked again
        self.unanswered_amounts = list[float]()  # amounts that may have been added since the last answer

    def __repr__(self) -> str:
        return f"<Mark due {self.due_at:.3f}, unanswered {self.unanswered_amounts}>"

    def is_own(self, remainder: float) -> bool:
        """Return whether the count without the amount added last can have come from this incarnation alone."""
        amounts = [amount for amount in self.unanswered_amounts if amount]
        sums = (sum(subset) for n in range(len(amounts) + 1) for subset in combinations(amounts, n))
        return any(abs(remainder - own_sum) < 1e-3 for own_sum in sums)


class Incarnation:
    """Makes the calls by which a process learns whether it is the first in its position, and marks its existence
    for its successor.

    ``is_enabled`` says whether there is a counter and a ceiling, and all ceilings fill within
    ``MARK_INTERVAL_SECONDS``.
    """

    def __init__(self, settings: api.Settings, rng: Random, now: float) -> None:
        fill_times = [p.ceiling_burst / p.ceiling_rate for p in settings.plans if p.ceiling_rate > 0]
        longest_fill = max(fill_times, default=0.0)
        self.is_enabled = settings.has_counter and 0 < longest_fill <= MARK_INTERVAL_SECONDS
        self.is_paused = False  # while another process of this incarnation makes the calls
        self.is_first = False
        self.marks = tuple(Mark(count_name("incarnation", settings.index, number)) for number in range(2))
        self.is_undecided = True  # whether this is the first one is not known yet
        self._rng = rng
        # Time until a count that another process started is marked again.
        self._retry_seconds = max(1.0, MARK_INTERVAL_SECONDS - longest_fill)
        self._next_call_at = now + rng.random() * CALL_JITTER_SECONDS
        self._pending_call: tuple[Mark, float] | None = None  # mark and amount of the call in flight

    def __repr__(self) -> str:
        state = (
            "asking" if self.is_undecided else "the first" if self.is_first else "not known to be the first"
        )
        return f"<Incarnation {state}, {self.marks}>"

    def update_settings(self, settings: api.Settings) -> None:
        """Stop calling where there is no counter any more. One that is added later changes nothing, because it knows
        nothing of the time before."""
        self.is_enabled = self.is_enabled and settings.has_counter

    def resume(self, now: float, is_first: bool) -> None:
        """Continue for another process of the same incarnation, whose marks expire in time."""
        self.is_first, self.is_undecided = is_first, False
        for number, mark in enumerate(self.marks):
            mark.due_at = now + self._retry_seconds * (number + 1) / 2

    def forget_first(self, now: float) -> None:
        """Count as not the first one from now on, whatever a call in flight is answered."""
        if self.is_undecided:
            self.resume(now, False)
        self.is_first = False

    def next_call(self, now: float) -> api.Count | None:
        """Return the call that is due, or None."""
        if (
            not self.is_enabled
            or self.is_paused
            or self._pending_call is not None
            or now < self._next_call_at
        ):
            return None
        if not self.is_undecided:
            due_marks = [mark for mark in self.marks if mark.due_at <= now]
            return self._mark_count(due_marks[0]) if due_marks else None
        if self.marks[0].due_at <= now:
            return self._mark_count(self.marks[0])
        self._pending_call = self.marks[1], 0.0
        return api.Count(self.marks[1].counter_name, READ_LIFETIME_SECONDS, 0.0)

    def _mark_count(self, mark: Mark) -> api.Count:
        amount = float(self._rng.randint(1, MAX_MARK_AMOUNT))
        self._pending_call = mark, amount
        return api.Count(mark.counter_name, MAX_LIFETIME_SECONDS, amount)

    def on_answer(self, now: float, event: api.Counted) -> bool:
        """Apply the counter's answer. Return whether it shows that this incarnation is the first one."""
        if self._pending_call is None:
            return False
        (mark, amount), self._pending_call = self._pending_call, None
        self._next_call_at = now + self._rng.random() * CALL_JITTER_SECONDS
        if event.status is not Status.OK:
            self._on_unanswered(now, mark, amount, event.status)
            return False
        is_own = mark.is_own(event.total - amount)
        mark.unanswered_amounts = []
        if amount:
            mark.due_at = now + (MAX_LIFETIME_SECONDS if is_own else self._retry_seconds)
        if not self.is_undecided:
            return False
        if is_own and amount:
            return False  # the other count has still to be read
        self.is_undecided, self.is_first = False, is_own
        self.marks[1].due_at = now + (MARK_INTERVAL_SECONDS if is_own else self._retry_seconds / 2)
        return self.is_first

    def _on_unanswered(self, now: float, mark: Mark, amount: float, status: Status) -> None:
        if status in api.NEVER_ADDED:
            return
        mark.unanswered_amounts.append(amount)  # a read adds 0
        if len(mark.unanswered_amounts) < (MAX_UNANSWERED_MARKS if amount else MAX_UNANSWERED_READS):
            return
        mark.unanswered_amounts, mark.due_at = [], now + self._retry_seconds
        if self.is_undecided:
            self.is_undecided = False
            self.marks[1].due_at = now + self._retry_seconds / 2
