"""Selects the accounts that are shed: each has a position on a ring that rotates, the same at every limiter.

A lane that admits a part ``p`` admits the accounts whose position lies below ``p``. The position is a keyed hash of the
account, advanced by the golden ratio in each rotation period. Accounts are therefore shed for equal shares of the time,
and by the three-distance theorem (Sos 1958) an account that is shed is admitted again within ``longest_shed_run(p)``
rotation periods, whatever its hash. A fresh hash for each period would have no such bound: it would keep shedding some
account for arbitrarily long by chance.
"""

from __future__ import annotations

from hashlib import blake2b

from cypresspulley.lanes.shedding_policy import THRESHOLD_SCALE

GOLDEN_RATIO = (5**0.5 - 1) / 2
RING_STEP = round(GOLDEN_RATIO * 2**32)  # positions by which the ring of 2**32 rotates each period
RING_SIZE = 2**32
HASH_KEY = b"cypresspulley lanes"


def ring_position(account: str) -> int:
    """Return an account's position on the ring before any rotation, from 0 to 2**32 - 1."""
    return int.from_bytes(blake2b(account.encode(), digest_size=4, key=HASH_KEY).digest(), "big")


def is_admitted(account: str, rotation: int, threshold: int) -> bool:
    """Return whether an account is admitted in this rotation period, at a threshold in thousandths of its lane."""
    if threshold >= THRESHOLD_SCALE:
        return True
    if threshold <= 0:
        return False
    return (
        ring_position(account) + rotation * RING_STEP
    ) % RING_SIZE * THRESHOLD_SCALE < threshold * RING_SIZE


def longest_shed_run(part: float) -> int:
    """Return the maximum number of rotation periods in a row that shed an account where a part of its lane is admitted.

    ``part`` is above 0 and at most 1. Rotations by the golden ratio ``g`` return into an arc of length ``p`` after
    ``F(k)``, ``F(k+1)`` or ``F(k+2)`` steps (Slater 1967), where ``F(k)`` is the first Fibonacci number whose rotation
    comes closer than ``p``: the distance is ``1 - g`` for 1 step, and ``g`` times as large for each number that
    follows. The account is admitted in the step that returns, so that step is not counted.
    """
    if part >= 1:
        return 0
    before, now, distance = 1, 1, 1 - GOLDEN_RATIO
    while distance >= part:
        before, now, distance = now, before + now, distance * GOLDEN_RATIO
    return before + 2 * now - 1
