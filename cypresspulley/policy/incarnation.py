"""Whether a process is the first of its place for so long that all stores of ceilings are full again.

Two counts by the shared counter tell it, whose names say the place and nothing else. An incarnation marks each of them
by a random amount that it adds. A count is forgotten ``LONGEST_LIFETIME`` after the mark that began it, by the
counter's own clock, and an incarnation begins them ``REFRESH`` apart: at any instant of its time one of them lives for
``REFRESH`` more, however the wall clock steps. A new incarnation that finds both empty is the first one.
"""

from itertools import combinations
from random import Random

from cypresspulley import interface as api
from cypresspulley.interface import Status
from cypresspulley.policy.counts import LONGEST_LIFETIME, count_name

REFRESH = LONGEST_LIFETIME / 2  # seconds between the beginnings of the two counts
SPREAD = 0.4  # seconds over which the calls of gateways that start together are spread
UNANSWERED_MARKS = 4  # of a count in a row, after which nothing is learnt from it
UNANSWERED_READS = 12
READ_LIFETIME = 0.001  # seconds that a count lives which is only read
LARGEST_MARK = 9999


class Mark:
    """One of the two counts as its incarnation knows it."""

    __slots__ = ("due", "name", "unanswered")

    def __init__(self, name: int) -> None:
        self.name = name
        self.due = 0.0  # the instant at which it is marked again
        self.unanswered = list[float]()  # amounts that may have been added since the last answer

    def __repr__(self) -> str:
        return f"<Mark due {self.due:.3f}, unanswered {self.unanswered}>"

    def is_own(self, others: float) -> bool:
        """Whether so much, besides what was added last, can have come from this incarnation alone."""
        amounts = [amount for amount in self.unanswered if amount]
        sums = (sum(some) for n in range(len(amounts) + 1) for some in combinations(amounts, n))
        return any(abs(others - own) < 1e-3 for own in sums)


class Incarnation:
    """The calls by which a process finds out whether it is the first of its place, and by which it tells its successor.

    ``wanted`` is whether there is a counter and a ceiling that fills within ``REFRESH``.
    """

    def __init__(self, settings: api.Settings, rng: Random, now: float) -> None:
        fill_times = [p.ceiling_burst / p.ceiling_rate for p in settings.plans if p.ceiling_rate > 0]
        longest = max(fill_times, default=0.0)
        self.wanted = settings.has_counter and 0 < longest <= REFRESH
        self.first = False
        self.marks = tuple(Mark(count_name("incarnation", settings.index, number)) for number in range(2))
        self.asking = True  # it is not known yet whether this is the first one
        self._rng = rng
        self._retry = max(1.0, REFRESH - longest)  # seconds until a count that another began is marked again
        self._due = now + rng.random() * SPREAD
        self._call: tuple[Mark, float] | None = None  # the mark and amount of the call that is under way

    def __repr__(self) -> str:
        state = "asking" if self.asking else "the first" if self.first else "not known to be the first"
        return f"<Incarnation {state}, {self.marks}>"

    def follow(self, settings: api.Settings) -> None:
        """Without a counter nobody is asked; with one that came later nothing is known of the time before."""
        self.wanted = self.wanted and settings.has_counter

    def resume(self, now: float, first: bool) -> None:
        """Go on for another process of this incarnation, whose marks will be forgotten in their time."""
        self.first, self.asking = first, False
        for number, mark in enumerate(self.marks):
            mark.due = now + self._retry * (number + 1) / 2

    def call(self, now: float) -> api.Count | None:
        """The call that is due."""
        if not self.wanted or self._call is not None or now < self._due:
            return None
        if not self.asking:
            due = [mark for mark in self.marks if mark.due <= now]
            return self._mark(due[0]) if due else None
        if self.marks[0].due <= now:
            return self._mark(self.marks[0])
        self._call = self.marks[1], 0.0
        return api.Count(self.marks[1].name, READ_LIFETIME, 0.0)

    def _mark(self, mark: Mark) -> api.Count:
        amount = float(self._rng.randint(1, LARGEST_MARK))
        self._call = mark, amount
        return api.Count(mark.name, LONGEST_LIFETIME, amount)

    def told(self, now: float, answer: api.Counted) -> bool:
        """The counter's answer; whether it tells that this incarnation is the first one."""
        if self._call is None:
            return False
        (mark, amount), self._call = self._call, None
        self._due = now + self._rng.random() * SPREAD
        if answer.status is not Status.OK:
            self._unanswered(now, mark, amount, answer.status)
            return False
        own = mark.is_own(answer.total - amount)
        mark.unanswered = []
        if amount:
            mark.due = now + (LONGEST_LIFETIME if own else self._retry)
        if not self.asking:
            return False
        if own and amount:
            return False  # the other count is still to be read
        self.asking, self.first = False, own
        self.marks[1].due = now + (REFRESH if own else self._retry / 2)
        return self.first

    def _unanswered(self, now: float, mark: Mark, amount: float, status: Status) -> None:
        if status in api.NEVER_ADDED:
            return
        mark.unanswered.append(amount)  # 0 of a read
        if len(mark.unanswered) < (UNANSWERED_MARKS if amount else UNANSWERED_READS):
            return
        mark.unanswered, mark.due = [], now + self._retry
        if self.asking:
            self.asking = False
            self.marks[1].due = now + self._retry / 2
