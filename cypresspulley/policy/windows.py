"""An account's ceiling that all gateways enforce through the shared counter, in windows that the counter times.

With B the burst and R the rate of the ceiling, each account has one count, under one name and with a lifetime of
B / 2R. The first call starts a window and the expiry of the count ends it; a call that brings the total to at most
B / 2 is granted. No clock of a gateway takes part in that, so that neither a step of the wall clock nor a restart opens
or ends a window. Clocks only determine when a full window is worth another call. Why that is enough, and what a lost
count adds: ``docs/design/large-fleet.md``.
"""

from math import inf

from cypresspulley import interface as api
from cypresspulley.policy.counts import MAX_LIFETIME_SECONDS, count_name

# An even share that holds this many of the largest requests is enforced locally, without the counter.
LOCAL_SHARE_MIN_REQUESTS = 2.0
EPSILON = 1e-6  # units; a total is exact to seven digits


def window_length(plan: api.Plan) -> float:
    """Return the length of a window of a plan's ceiling, in seconds: half of the time in which the ceiling's bucket
    fills, but at most the longest lifetime of a count."""
    return min(MAX_LIFETIME_SECONDS, plan.ceiling_burst / (2 * plan.ceiling_rate))


def local_ceiling_part(plan: api.Plan, gateways: int, max_units: float, has_counter: bool) -> float:
    """Return the part of a ceiling that gateways enforce locally in even shares: 1 or 0.

    It is 0 where an even share holds next to nothing and a window holds the largest request, of ``max_units``. All
    gateways come to the same result.
    """
    if not has_counter or plan.ceiling_rate <= 0:
        return 1.0
    holds_requests = plan.ceiling_burst >= LOCAL_SHARE_MIN_REQUESTS * gateways * max_units
    return float(holds_requests or plan.ceiling_rate * window_length(plan) < max_units)


class CeilingWindow:
    """The window of one account's ceiling as one gateway knows it. Times are of the gateway's own clock.

    The count that was seen last ends after ``_earliest_end`` and by ``_latest_end``. ``_generation`` changes whenever
    the count may have been replaced by a new one.
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
    )

    def __init__(self, label: str, plan: api.Plan) -> None:
        self.counter_name = count_name("ceiling", label)
        self.length = window_length(plan)
        self.capacity = plan.ceiling_rate * self.length  # units
        self._last_total = 0.0
        self._earliest_end, self._latest_end = -inf, -inf
        self._generation = 0
        self._credit = 0.0  # units that were granted here and not sent
        self._next_call_at = -inf  # a full window is not called before
        self._latest_retry = -inf  # a full window has most likely ended by then

    def __repr__(self) -> str:
        return f"<CeilingWindow {self._last_total:g} of {self.capacity:g}, ends by {self._latest_end:.3f}>"

    @property
    def is_known(self) -> bool:
        """Whether the counter has answered once."""
        return self._latest_end > -inf

    def may_grant(self, now: float, units: float) -> bool:
        """Return whether a call for so many units may be granted, as far as this gateway knows."""
        return units <= self.capacity + EPSILON and now >= self._next_call_at

    def apply_answer(self, asked: float, now: float, total: float, units: float, draw: float) -> int | None:
        """Apply the counter's answer to a call for ``units``, made at ``asked``; ``draw`` is random, from 0 to 1.

        Return the generation of the count that grants the units, or None where they are not granted.
        """
        has_dropped = total < self._last_total + units - EPSILON
        if has_dropped and now < self._earliest_end:
            # The count cannot have expired yet: the counter has lost it, with what other gateways were granted.
            self._next_call_at = self._latest_end
            return None
        if has_dropped or asked >= self._latest_end:
            self._start_count(asked, now, started_here=total <= units + EPSILON)
        elif now >= self._earliest_end:
            self._assume_new_count(asked, now)
        self._last_total = total
        if total <= self.capacity + EPSILON:
            return self._generation
        # What remains of a window that is too full for the request belongs to this gateway, because the others find
        # the count full.
        self._credit += max(0.0, self.capacity - (total - units))
        self._schedule_call(now, draw)
        return None

    def _start_count(self, asked: float, now: float, started_here: bool) -> None:
        """Note that the answer came from a count that started after the end of the one seen before."""
        self._generation += 1
        self._credit, self._next_call_at = 0.0, now
        # Where the call itself started the count, the count did not start before the call either.
        started_after = max(asked, self._earliest_end) if started_here else self._earliest_end
        self._earliest_end = max(asked, started_after + self.length)
        self._latest_end = self._latest_retry = now + self.length

    def _assume_new_count(self, asked: float, now: float) -> None:
        """Rely on nothing of the count that was seen last, because it may have ended since."""
        self._generation += 1
        self._credit = 0.0
        self._earliest_end, self._latest_end = max(asked, self._earliest_end), now + self.length
        if self._latest_retry <= now:
            self._latest_retry = self._latest_end

    def _schedule_call(self, now: float, draw: float) -> None:
        """Schedule the next call on a full window, at a random time at which the window may have ended."""
        earliest = max(now, self._earliest_end)
        latest = max(earliest, min(self._latest_retry, self._latest_end))
        self._next_call_at = earliest + draw * (latest - earliest)

    def add_credit(self, generation: int, units: float) -> None:
        """Keep granted units that were not sent for the next request here, while the same count exists."""
        if generation == self._generation:
            self._credit += units

    def has_credit(self, now: float, units: float) -> bool:
        """Return whether so many units are kept here, of a count that has certainly not ended."""
        return now < self._earliest_end and units <= self._credit + EPSILON

    def use_credit(self, now: float, units: float) -> int | None:
        """Take units that are kept here. Return the generation of the count that granted them, or None where there
        are not enough."""
        if not self.has_credit(now, units):
            return None
        self._credit -= units
        return self._generation
