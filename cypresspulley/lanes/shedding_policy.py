"""Spells: for how long which part of each lane passes. Everywhere the same one holds, by a register in all rows.

In a spell the same accounts give way (``turn`` says which), while thresholds may be revised. Each revision is one
immutable value, made by one limiter. Of two the one with the larger ``key`` holds: a total order, so
that taking the larger is commutative, associative and idempotent, and whoever has heard the same rows goes by the same
spell. The key holds a hash of its maker, so that two made at one moment are never taken for one.
"""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import blake2b

WHOLE = 1000  # of a threshold: all of the lane passes
MAKERS = 65_536
MOST_NUMBER = 2**32 - 1


@dataclass(frozen=True, slots=True)
class Spell:
    """One revision. ``inside`` and ``beyond``: thousandths of each lane that pass, inside quota and beyond it;
    ``until``: the spell's end in Unix milliseconds by the clock of who began it, 0 where it is open: everything passes
    and there is no end. ``turn`` is the spell's number, ``bears`` what the whole fleet was held to bear, tenths of
    units a second."""

    number: int
    maker: int
    turn: int
    until: int
    bears: int
    inside: tuple[int, ...]
    beyond: tuple[int, ...]

    @property
    def key(self) -> tuple[int, int]:
        return self.number, self.maker

    @property
    def name(self) -> int:
        """One number for both parts of the key, as histories tell it."""
        return self.number * MAKERS + self.maker

    @property
    def open(self) -> bool:
        return self.until == 0

    def holds_over(self, other: Spell) -> bool:
        """Whether this one holds where both are known. What differs under one key is a fault; the smaller holds."""
        if self.key != other.key:
            return self.key > other.key
        return (self.inside, self.beyond, self.until) < (other.inside, other.beyond, other.until)


def first(lanes: int) -> Spell:
    """What holds before anyone has made a spell."""
    return Spell(0, 0, 0, 0, 0, (WHOLE,) * lanes, (WHOLE,) * lanes)


def maker_of(name: str, life: int) -> int:
    """A limiter's part in the keys of the spells that it makes."""
    return int.from_bytes(blake2b(f"{name} {life}".encode(), digest_size=2).digest(), "big")


def opened(before: Spell, maker: int) -> Spell:
    """The spell that lets everything pass again."""
    lanes = len(before.inside)
    number = min(MOST_NUMBER, before.number + 1)
    return Spell(number, maker, before.turn, 0, before.bears, (WHOLE,) * lanes, (WHOLE,) * lanes)


def revised(
    before: Spell,
    maker: int,
    until: float,
    bears: float,
    inside: tuple[float, ...],
    beyond: tuple[float, ...],
) -> Spell:
    """What follows, with shares 0 to 1 of lanes. ``until``: Unix seconds at which a spell ends that begins with it; 0
    goes on with the one that is. ``bears`` in units a second."""

    def steps(shares: tuple[float, ...]) -> tuple[int, ...]:
        return tuple(max(0, min(WHOLE, round(share * WHOLE))) for share in shares)

    tenths = max(0, min(2**32 - 1, round(bears * 10)))
    number = min(MOST_NUMBER, before.number + 1)
    turn = min(MOST_NUMBER, before.turn + (until > 0))
    ends = max(1, round(until * 1000)) if until > 0 else before.until
    return Spell(number, maker, turn, ends, tenths, steps(inside), steps(beyond))
