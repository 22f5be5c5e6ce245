"""The part of each store that this process may use, while a second process of the same limiter holds the rest.

The terms of a plan belong to the settings and the plan book alone, and may change at any moment of a takeover. A share
never changes them: it is applied to whatever terms are in force. No I/O and no clock.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum
from functools import lru_cache

from cypresspulley import interface as api

RETAINED_PART = 0.1  # of each store, for the remaining work of a process that hands over
# Scales a refill rate to almost nothing; a rate of 0 would mean that there is no limit.
NEGLIGIBLE_FACTOR = 1e-9
MAX_CACHED_PLANS = 4096


@dataclass(frozen=True, slots=True)
class StoreLevels:
    """Amounts in an account's stores, in units of its plan; ``unreported`` is use that others were not told of."""

    level: float
    share_level: float
    ceiling_level: float
    unreported: float = 0.0

    def scaled(self, part: float) -> StoreLevels:
        """Return a part of each store that holds something; what is below 0 is no store."""
        return StoreLevels(
            part * max(0.0, self.level),
            part * max(0.0, self.share_level),
            part * max(0.0, self.ceiling_level),
        )


class StoreShare(Enum):
    """Which part of each store a process may use; the parts of two processes of a limiter make up the whole."""

    WHOLE = "whole"
    RETAINED = "retained"  # a process that hands over: RETAINED_PART, and no refills
    REFILLED = "refilled"  # the same with all refills, while the successor is late and serves nobody yet
    RECEIVED = "received"  # a successor until its predecessor has ended: the rest, and all refills

    def limit(self, terms: api.Plan) -> api.Plan:
        """Return the terms as this process may apply them."""
        return terms if self is StoreShare.WHOLE else _limit(terms, self)


@lru_cache(MAX_CACHED_PLANS)
def _limit(terms: api.Plan, share: StoreShare) -> api.Plan:
    part = 1 - RETAINED_PART if share is StoreShare.RECEIVED else RETAINED_PART
    refilled = NEGLIGIBLE_FACTOR if share is StoreShare.RETAINED else 1.0
    return replace(
        terms,
        rate=terms.rate * refilled,
        burst=terms.burst * part,
        ceiling_rate=terms.ceiling_rate * refilled,
        ceiling_burst=terms.ceiling_burst * part,
    )
