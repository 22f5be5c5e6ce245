"""Estimates the error of this wall clock from the wall clocks that other members report in probe answers. No I/O.

A probe sent at s and answered at e with the wall clock reading w bounds the other clock: it read w at some instant in
[s, e] (Cristian, "Probabilistic clock synchronization", 1989). The bounds are stored relative to the local monotonic
clock, so that a step of the local wall clock shows at once.
"""

from __future__ import annotations

from statistics import median

ESTIMATE_LIFETIME_SECONDS = 60.0
SUFFICIENT_ESTIMATES = 8  # enough for a fleet of any size; a small fleet needs half of the other members


class ClockEstimates:
    """Bounds on the clocks of other members, one pair per member, so never more than the view holds."""

    def __init__(self) -> None:
        self._bounds = dict[str, tuple[float, float, float]]()  # lower and upper bound, instant of the answer

    def __repr__(self) -> str:
        return f"<ClockEstimates of {len(self._bounds)} members>"

    def record_answer(self, name: str, sent: float, now: float, wall: float) -> None:
        """Record that the clock of ``name`` read ``wall`` (Unix seconds) between the instants ``sent`` and ``now``."""
        self._bounds[name] = (wall - now, wall - sent, now)

    def forget(self, name: str) -> None:
        self._bounds.pop(name, None)

    def estimate_error(self, now: float, wall: float, others: int) -> tuple[float, float] | None:
        """Return bounds (low, high), in seconds, on this wall clock minus the median of the other clocks.

        Each true difference lies in its interval and the median is monotonic in each of its inputs, so the true median
        lies between the median of the lower bounds and the median of the upper bounds. Return None if fewer than half
        of the ``others`` (or ``SUFFICIENT_ESTIMATES``) answered within ``ESTIMATE_LIFETIME_SECONDS``.
        """
        recent = [
            (low, high) for low, high, at in self._bounds.values() if now - at <= ESTIMATE_LIFETIME_SECONDS
        ]
        if not recent or len(recent) < min(SUFFICIENT_ESTIMATES, (others + 1) // 2):
            return None
        offset = wall - now
        return offset - median(high for _, high in recent), offset - median(low for low, _ in recent)
