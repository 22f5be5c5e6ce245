"""A customer's ceiling that all gateways keep by the shared counter, in windows that the counter itself times.

One count for each customer has one name and a lifetime of B / 2R. The first call begins a window, the counter's
forgetting ends it, and what brings the count to B / 2 at most may go. No clock of a gateway takes part in that: a step
of the wall clock or a restart neither opens a window nor ends one. Clocks only say when a full window is worth another
call. Why that is enough, and what a lost count adds: ``docs/design/large-fleet.md``.
"""

from math import inf

from cypresspulley import interface as api
from cypresspulley.policy.counts import MAX_LIFETIME_SECONDS, count_name

LOCAL_SHARE_MIN_REQUESTS = (
    2.0  # of the largest request: an even share that holds so much is kept alone, without the counter
)
EPSILON = 1e-6  # units; seven digits of a total are exact


def window_length(plan: api.Plan) -> float:
    """Seconds of a window of a plan's ceiling: half of the time in which its store fills, as far as counts live."""
    return min(MAX_LIFETIME_SECONDS, plan.ceiling_burst / (2 * plan.ceiling_rate))


def local_ceiling_part(plan: api.Plan, share: int, largest: float, counter: bool) -> float:
    """The part of a ceiling that gateways keep in even shares, all or none of it: none where an even share holds next
    to nothing and a window holds the largest request. Alike at all of them."""
    if not counter or plan.ceiling_rate <= 0:
        return 1.0
    holds_requests = plan.ceiling_burst >= LOCAL_SHARE_MIN_REQUESTS * share * largest
    return float(holds_requests or plan.ceiling_rate * window_length(plan) < largest)


class CeilingWindow:
    """The window of one customer's ceiling as one gateway knows it. Instants are of the gateway's own clock.

    What is known of the count's end: it comes after ``_earliest_end`` and by ``_latest_end``, which only hold for the
    incarnation of the count that was seen last. ``_generation`` numbers those that may differ.
    """

    __slots__ = (
        "_credit",
        "_earliest_end",
        "_generation",
        "_last_total",
        "_latest_end",
        "_latest_retry",
        "_next_call_at",
        "capacity",
        "counter_name",
        "length",
    )  # fmt: skip

    def __init__(self, label: str, plan: api.Plan) -> None:
        self.counter_name = count_name("ceiling", label)
        self.length = window_length(plan)
        self.capacity = plan.ceiling_rate * self.length  # units
        self._last_total = 0.0  # the count's last total
        self._earliest_end, self._latest_end = -inf, -inf
        self._generation = 0
        self._credit = 0.0  # units granted here and not sent on
        self._next_call_at = -inf  # a full window is not asked before
        self._latest_retry = -inf  # the latest instant at which the full one most likely ends

    def __repr__(self) -> str:
        return f"<CeilingWindow {self._last_total:g} of {self.capacity:g}, ends by {self._latest_end:.3f}>"

    @property
    def is_known(self) -> bool:
        """Whether the counter has answered once."""
        return self._latest_end > -inf

    def may_grant(self, now: float, units: float) -> bool:
        """Whether the count may grant so many units, as far as is known here."""
        return units <= self.capacity + EPSILON and now >= self._next_call_at

    def apply_answer(self, asked: float, now: float, total: float, units: float, draw: float) -> int | None:
        """The count's answer to ``units`` more: the incarnation of the count that grants them, None where it does not.

        ``asked`` is when the call was made, ``draw`` a random number from 0 to 1.
        """
        fell = total < self._last_total + units - EPSILON
        if fell and now < self._earliest_end:
            # It cannot have ended yet: the counter lost it, with what others were granted.
            self._next_call_at = self._latest_end
            return None
        if fell or asked >= self._latest_end:
            self._start_count(asked, now, began_here=total <= units + EPSILON)
        elif now >= self._earliest_end:
            self._assume_new_count(asked, now)
        self._last_total = total
        if total <= self.capacity + EPSILON:
            return self._generation
        # What is left of a window that cannot hold the request is this gateway's: the others find the count full.
        self._credit += max(0.0, self.capacity - (total - units))
        self._schedule_call(now, draw)
        return None

    def _start_count(self, asked: float, now: float, began_here: bool) -> None:
        """The count that answered began behind the end of the one that was seen last."""
        self._generation += 1
        self._credit, self._next_call_at = 0.0, now
        # It began behind the end of the one before, and where the call itself began it, not before the call.
        began_after = max(asked, self._earliest_end) if began_here else self._earliest_end
        self._earliest_end = max(asked, began_after + self.length)
        self._latest_end = self._latest_retry = now + self.length

    def _assume_new_count(self, asked: float, now: float) -> None:
        """The count that was seen last may have ended meanwhile: nothing of it is relied on."""
        self._generation += 1
        self._credit = 0.0
        self._earliest_end, self._latest_end = max(asked, self._earliest_end), now + self.length
        if self._latest_retry <= now:
            self._latest_retry = self._latest_end

    def _schedule_call(self, now: float, draw: float) -> None:
        """The window is full: it is asked again at a random instant at which it may have ended."""
        earliest = max(now, self._earliest_end)
        latest = max(earliest, min(self._latest_retry, self._latest_end))
        self._next_call_at = earliest + draw * (latest - earliest)

    def add_credit(self, incarnation: int, units: float) -> None:
        """Units that were granted and not sent on: the next request here may use them, while the same count lives."""
        if incarnation == self._generation:
            self._credit += units

    def has_credit(self, now: float, units: float) -> bool:
        """Whether so many units are kept here, of a count that surely lives."""
        return now < self._earliest_end and units <= self._credit + EPSILON

    def use_credit(self, now: float, units: float) -> int | None:
        """Take units that are kept here: the incarnation of the count that granted them, None where there are none."""
        if not self.has_credit(now, units):
            return None
        self._credit -= units
        return self._generation
