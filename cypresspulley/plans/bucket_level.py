"""The level of a token bucket across a change of its limits. Arithmetic only.

A change adds no units and keeps none above the new burst: the level becomes ``min(level, new burst)`` and refills at
the new rate from that instant on. Usage before the change is not recomputed under the new terms, so requests are
refused for no longer than the new bucket takes to fill. Changing back and forth within a moment gains nothing, because
taking the minimum twice gives the same minimum. For buckets that are kept in shares s_i of one ceiling, the sum of
min(s_i, b / n) is at most min(sum s_i, b): all limiters together hold no more than a single one that applied the rule
to the whole.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class BucketLevel:
    """A token bucket at instant ``at`` (seconds): ``units``, at most ``burst``, refilled at ``rate`` per second."""

    units: float
    at: float
    rate: float
    burst: float

    def refilled_until(self, instant: float) -> BucketLevel:
        """Return the bucket at a later instant. A clock that steps back changes nothing."""
        if instant <= self.at:
            return self
        return BucketLevel(
            min(self.burst, self.units + self.rate * (instant - self.at)), instant, self.rate, self.burst
        )

    def with_units_drawn(self, units: float) -> BucketLevel:
        return BucketLevel(self.units - units, self.at, self.rate, self.burst)

    def with_limits(self, at: float, rate: float, burst: float) -> BucketLevel:
        """Return the bucket after a change at ``at``: refilled by the old rate until then, capped by the new burst."""
        old = self.refilled_until(at)
        return BucketLevel(min(old.units, burst), max(at, self.at), rate, burst)


def max_ceiling_overshoot(old: tuple[float, float], new: tuple[float, float], late: float) -> float:
    """Return the maximum units by which a ceiling (rate, burst) may be exceeded after a change from ``old`` to ``new``.

    The last limiter applies the change ``late`` seconds after it takes effect. Until then its bucket refills at the old
    rate and may hold more than the new burst.
    """
    return max(0.0, old[0] - new[0]) * late + max(0.0, old[1] - new[1]) * (late > 0)
