"""The part of each store that this process may use, while a second process of the same limiter holds the rest.

The terms of a plan belong to the settings and the plan book alone, and may change at any moment of a takeover. A share
never changes them: it is applied to whatever terms are in force. No I/O and no clock.
"""

from __future__ import annotations

from dataclasses import replace
from enum import Enum
from functools import lru_cache

from cypresspulley import interface as api

RETAINED_PART = 0.1  # of each store, for the remaining work of a process that hands over
# Scales a refill rate to almost nothing; a rate of 0 would mean that there is no limit.
NEGLIGIBLE_FACTOR = 1e-9
MAX_CACHED_PLANS = 4096


class StoreShare(Enum):
    """Which part of each store a process may use."""

    WHOLE = "whole"
    RETAINED = "retained"  # RETAINED_PART of what is in each store; refills belong to the successor

    @property
    def part(self) -> float:
        """The part of a full store that an account has here that is new to this process; 0 to 1."""
        return 1.0 if self is StoreShare.WHOLE else RETAINED_PART

    def limit(self, terms: api.Plan) -> api.Plan:
        """Return the terms as this process may apply them."""
        return terms if self is StoreShare.WHOLE else _retained_terms(terms)


@lru_cache(MAX_CACHED_PLANS)
def _retained_terms(terms: api.Plan) -> api.Plan:
    return replace(
        terms,
        rate=terms.rate * NEGLIGIBLE_FACTOR,
        burst=terms.burst * RETAINED_PART,
        ceiling_rate=terms.ceiling_rate * NEGLIGIBLE_FACTOR,
        ceiling_burst=terms.ceiling_burst * RETAINED_PART,
    )
