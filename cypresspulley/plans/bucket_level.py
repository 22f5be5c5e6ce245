"""How a bucket's level goes over a change of its plan. Arithmetic only.

The rule: nothing is given, nothing above the new store stays. ``level`` becomes ``min(level, new burst)`` and fills at
the new rate from the instant on. Use before the change is not reckoned anew under the new terms, so nothing is refused
longer than the new store takes to fill; and a change back and forth within a moment gives nothing, since a minimum
taken twice is the minimum. For stores kept in shares s_i of one ceiling, the sum of min(s_i, b / n) is at most
min(sum s_i, b): all limiters together hold no more than one that applied the rule to the whole.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class BucketLevel:
    """A store at an instant (seconds): ``units`` of ``burst`` at most, filling at ``rate`` a second."""

    units: float
    at: float
    rate: float
    burst: float

    def refilled_until(self, to: float) -> BucketLevel:
        """The same store later; a clock that goes back moves nothing."""
        if to <= self.at:
            return self
        return BucketLevel(
            min(self.burst, self.units + self.rate * (to - self.at)), to, self.rate, self.burst
        )

    def with_units_drawn(self, units: float) -> BucketLevel:
        return BucketLevel(self.units - units, self.at, self.rate, self.burst)

    def with_limits(self, at: float, rate: float, burst: float) -> BucketLevel:
        """Over a change at an instant: filled by the old terms until then, bounded by the new ones from then on."""
        old = self.refilled_until(at)
        return BucketLevel(min(old.units, burst), max(at, self.at), rate, burst)


def max_ceiling_overshoot(old: tuple[float, float], new: tuple[float, float], late: float) -> float:
    """The most units by which a ceiling in force may be passed where the last limiter acts ``late`` seconds after the
    instant: it fills by the old rate so long, and its store may stand above the new one's."""
    return max(0.0, old[0] - new[0]) * late + max(0.0, old[1] - new[1]) * (late > 0)
