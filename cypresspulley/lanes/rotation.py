"""Who gives way: an account's place on a ring that turns from spell to spell, the same at every limiter.

A lane of which a part ``p`` passes lets those pass whose place lies below ``p``. The place is a keyed hash of the
account, moved on by the golden ratio each spell. So accounts share the spells out evenly, and by the three-distance
theorem (Sos 1958) one that gives way passes again within ``longest_wait(p)`` spells, whatever its hash: a fresh hash
for each spell would leave some account out for as long as chance will have it.
"""

from __future__ import annotations

from hashlib import blake2b

from cypresspulley.lanes.shedding_policy import WHOLE

GOLDEN = (5**0.5 - 1) / 2
FRACTION = round(GOLDEN * 2**32)  # of the ring, which has 2**32 places
RING = 2**32
KEY = b"cypresspulley lanes"


def place(account: str) -> int:
    """An account's place on the ring before it turns, 0 to 2**32 - 1."""
    return int.from_bytes(blake2b(account.encode(), digest_size=4, key=KEY).digest(), "big")


def passes(account: str, spell: int, threshold: int) -> bool:
    """Whether an account passes in the spell of this number where so many thousandths of its lane do."""
    if threshold >= WHOLE:
        return True
    if threshold <= 0:
        return False
    return (place(account) + spell * FRACTION) % RING * WHOLE < threshold * RING


def longest_wait(part: float) -> int:
    """Most spells in a row that an account gives way where a part of its lane (above 0, at most 1) passes.

    Turns by the golden ratio ``g`` return into an arc of length ``p`` after ``F(k)``, ``F(k+1)`` or ``F(k+2)`` steps
    (Slater 1967), ``F(k)`` being the first Fibonacci number whose turn comes closer than ``p``: ``1 - g`` for 1 step,
    and ``g`` times as close for each number that follows. The step that returns is none of giving way.
    """
    if part >= 1:
        return 0
    before, now, distance = 1, 1, 1 - GOLDEN
    while distance >= part:
        before, now, distance = now, before + now, distance * GOLDEN
    return before + 2 * now - 1
