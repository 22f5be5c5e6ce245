"""A customer's ceiling that all gateways keep by the shared counter, in windows that the counter itself times.

One count for each customer has one name and a lifetime of B / 2R. The first call begins a window, the counter's
forgetting ends it, and what brings the count to B / 2 at most may go. No clock of a gateway takes part in that: a step
of the wall clock or a restart neither opens a window nor ends one. Clocks only say when a full window is worth another
call. Why that is enough, and what a lost count adds: ``docs/design/large-fleet.md``.
"""

from math import inf

from cypresspulley import interface as api
from cypresspulley.policy.counts import LONGEST_LIFETIME, count_name

THICK = 2.0  # of the largest request: an even share that holds so much is kept alone, without the counter
EPSILON = 1e-6  # units; seven digits of a total are exact


def window_length(plan: api.Plan) -> float:
    """Seconds of a window of a plan's ceiling: half of the time in which its store fills, as far as counts live."""
    return min(LONGEST_LIFETIME, plan.ceiling_burst / (2 * plan.ceiling_rate))


def kept_alone(plan: api.Plan, share: int, largest: float, counter: bool) -> float:
    """The part of a ceiling that gateways keep in even shares, all or none of it: none where an even share holds next
    to nothing and a window holds the largest request. Alike at all of them."""
    if not counter or plan.ceiling_rate <= 0:
        return 1.0
    thick = plan.ceiling_burst >= THICK * share * largest
    return float(thick or plan.ceiling_rate * window_length(plan) < largest)


class CeilingWindow:
    """The window of one customer's ceiling as one gateway knows it. Instants are of the gateway's own clock.

    What is known of the count's end: it comes after ``_ends_after`` and by ``_ends_by``, which only hold for the
    incarnation of the count that was seen last. ``_incarnation`` numbers those that may differ.
    """

    __slots__ = (
        "_ask_at", "_credit", "_ends_after", "_ends_by", "_incarnation", "_retry_by", "_seen", "length", "most",
        "name",
    )  # fmt: skip

    def __init__(self, label: str, plan: api.Plan) -> None:
        self.name = count_name("ceiling", label)
        self.length = window_length(plan)
        self.most = plan.ceiling_rate * self.length  # units
        self._seen = 0.0  # the count's last total
        self._ends_after, self._ends_by = -inf, -inf
        self._incarnation = 0
        self._credit = 0.0  # units granted here and not sent on
        self._ask_at = -inf  # a full window is not asked before
        self._retry_by = -inf  # the latest instant at which the full one most likely ends

    def __repr__(self) -> str:
        return f"<CeilingWindow {self._seen:g} of {self.most:g}, ends by {self._ends_by:.3f}>"

    @property
    def known(self) -> bool:
        """Whether the counter has answered once."""
        return self._ends_by > -inf

    def has_room(self, now: float, units: float) -> bool:
        """Whether the count may grant so many units, as far as is known here."""
        return units <= self.most + EPSILON and now >= self._ask_at

    def granted(self, asked: float, now: float, total: float, units: float, draw: float) -> int | None:
        """The count's answer to ``units`` more: the incarnation of the count that grants them, None where it does not.

        ``asked`` is when the call was made, ``draw`` a random number from 0 to 1.
        """
        fell = total < self._seen + units - EPSILON
        if fell and now < self._ends_after:
            # It cannot have ended yet: the counter lost it, with what others were granted.
            self._ask_at = self._ends_by
            return None
        if fell or asked >= self._ends_by:
            self._begin(asked, now, began_here=total <= units + EPSILON)
        elif now >= self._ends_after:
            self._perhaps_another(asked, now)
        self._seen = total
        if total <= self.most + EPSILON:
            return self._incarnation
        # What is left of a window that cannot hold the request is this gateway's: the others find the count full.
        self._credit += max(0.0, self.most - (total - units))
        self._wait(now, draw)
        return None

    def _begin(self, asked: float, now: float, began_here: bool) -> None:
        """The count that answered began behind the end of the one that was seen last."""
        self._incarnation += 1
        self._credit, self._ask_at = 0.0, now
        # It began behind the end of the one before, and where the call itself began it, not before the call.
        began_after = max(asked, self._ends_after) if began_here else self._ends_after
        self._ends_after = max(asked, began_after + self.length)
        self._ends_by = self._retry_by = now + self.length

    def _perhaps_another(self, asked: float, now: float) -> None:
        """The count that was seen last may have ended meanwhile: nothing of it is relied on."""
        self._incarnation += 1
        self._credit = 0.0
        self._ends_after, self._ends_by = max(asked, self._ends_after), now + self.length
        if self._retry_by <= now:
            self._retry_by = self._ends_by

    def _wait(self, now: float, draw: float) -> None:
        """The window is full: it is asked again at a random instant at which it may have ended."""
        earliest = max(now, self._ends_after)
        latest = max(earliest, min(self._retry_by, self._ends_by))
        self._ask_at = earliest + draw * (latest - earliest)

    def keep(self, incarnation: int, units: float) -> None:
        """Units that were granted and not sent on: the next request here may use them, while the same count lives."""
        if incarnation == self._incarnation:
            self._credit += units

    def has_credit(self, now: float, units: float) -> bool:
        """Whether so many units are kept here, of a count that surely lives."""
        return now < self._ends_after and units <= self._credit + EPSILON

    def use_credit(self, now: float, units: float) -> int | None:
        """Take units that are kept here: the incarnation of the count that granted them, None where there are none."""
        if not self.has_credit(now, units):
            return None
        self._credit -= units
        return self._incarnation
