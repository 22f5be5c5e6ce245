"""What this wall clock may be off by, from the wall clocks that others tell of in their answers to probes. No I/O.

An answer that came between the instants s and e, told of the wall clock w: at some instant in [s, e] the other's clock
read w (Cristian, "Probabilistic clock synchronization", 1989). Kept is the other's clock less the one that never
steps, so that a step of this wall clock shows at once.
"""

from __future__ import annotations

from statistics import median

ESTIMATE_LIFETIME_SECONDS = 60.0  # seconds that an estimate counts
SUFFICIENT_ESTIMATES = 8  # estimates that do for a fleet of any size; of a small one half of the others


class ClockEstimates:
    """Bounds on the others' clocks, one for each member: at most as many as the view holds."""

    def __init__(self) -> None:
        self._bounds = dict[str, tuple[float, float, float]]()  # least, most, instant

    def __repr__(self) -> str:
        return f"<Clocks of {len(self._bounds)} others>"

    def record_answer(self, name: str, sent: float, now: float, wall: float) -> None:
        """``name``'s clock read ``wall`` (Unix seconds) between the instants ``sent`` and ``now``."""
        self._bounds[name] = (wall - now, wall - sent, now)

    def forget(self, name: str) -> None:
        self._bounds.pop(name, None)

    def estimate_error(self, now: float, wall: float, others: int) -> tuple[float, float] | None:
        """Bounds (low, high) in seconds on this wall clock less the median of the others'.

        Each of the n true differences lies in its interval, and a median only rises with any of its numbers: so the
        true median lies between the median of the lows and that of the highs. None where fewer than half of the others
        (or ``ENOUGH``) have answered in ``AGE`` seconds.
        """
        fresh = [
            (least, most)
            for least, most, at in self._bounds.values()
            if now - at <= ESTIMATE_LIFETIME_SECONDS
        ]
        if not fresh or len(fresh) < min(SUFFICIENT_ESTIMATES, (others + 1) // 2):
            return None
        mine = wall - now
        return mine - median(most for _, most in fresh), mine - median(least for least, _ in fresh)
