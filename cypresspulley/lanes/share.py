"""What the whole fleet bears, and what each lane may pass at each limiter: a pure function of the rows.

Lane by lane inside quota, each lane's floor first; what is beyond quota only after all of that. The same rows give the
same answer at every limiter: rows are taken by their owners' names, and nothing else comes in.

What the fleet bears is measured, not set: what was sent on to servers while gates refused for want of room. Where they
did not refuse and load is below the gates' reference, there is room beyond that, and it is said by how much.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from cypresspulley.lanes.options import Lane
from cypresspulley.lanes.rows import Figures
from cypresspulley.policy.gate import REFERENCE

HEADROOM = 0.06  # let pass beyond what is borne: the gates trim it, and so find out what more is borne
RISE = 0.6  # and where gates have room: of what is borne, for each whole share of the reference that is free
MOST_RISE = 0.5
FEW_SHORT = 0.01  # share refused for want of room that is none
MOST_EXTRA = 1.3  # times the asked that a lane is given at most, since gates refuse some of it


@dataclass(frozen=True, slots=True)
class Told:
    """One limiter's row as it counts here. ``stale``: not confirmed for a bound, or its owner dead for less than a
    lease: it asks as before, and may be letting pass what it last sent on."""

    owner: str
    figures: tuple[Figures, ...]
    load: float
    stale: bool = False


@dataclass(frozen=True, slots=True)
class Shares:
    """Units a second. ``inside`` and ``beyond``: over the fleet, lane by lane; ``at``: inside quota by limiter, lane by
    lane; ``passing`` and ``passing_beyond``: the parts of what is asked that may pass, 0 to 1."""

    bears: float
    inside: tuple[float, ...]
    beyond: tuple[float, ...]
    at: dict[str, tuple[float, ...]]
    passing: tuple[float, ...]
    passing_beyond: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class Pressure:
    """``refused``: share of what lanes let pass that was refused for want of room; ``load``: mean of the readings by
    what each limiter let pass; ``pressed``: limiters that refused."""

    refused: float
    load: float
    pressed: int
    limiters: int

    @property
    def value(self) -> float:
        """Above 0: more was asked of the servers than they do. Below: the free share of the gates' reference. What
        one limiter alone refuses is its own affair, and no pressure."""
        room = max(0.0, 1 - self.load / REFERENCE)
        refused = self.refused if self.pressed >= 2 else min(self.refused, FEW_SHORT)
        return refused - room


def pressure(rows: Iterable[Told]) -> Pressure:
    """That of the fleet, by the rows that are not stale."""
    fresh = sorted((row for row in rows if not row.stale), key=lambda row: row.owner)
    short = [math.fsum(f.short for f in row.figures) for row in fresh]
    passed = [math.fsum(f.sent + f.short for f in row.figures) for row in fresh]
    whole = math.fsum(passed)
    if whole <= 0:
        return Pressure(0.0, 0.0, 0, len(fresh))
    load = math.fsum(row.load * p for row, p in zip(fresh, passed, strict=True)) / whole
    pressed = sum(p > 0 and s >= FEW_SHORT * p for s, p in zip(short, passed, strict=True))
    return Pressure(math.fsum(short) / whole, load, pressed, len(fresh))


def fill(
    lanes: Sequence[Lane], asked: Sequence[float], over: Sequence[float], bears: float,
    taken: Sequence[float] | None = None,
) -> tuple[tuple[float, ...], tuple[float, ...]]:  # fmt: skip
    """What each lane may pass of what is asked inside quota, and beyond. ``taken``: what of each lane passes anyhow,
    where nobody can be told; it comes off all, and off the lane's floor."""
    off = taken or [0.0] * len(lanes)
    left = max(0.0, bears - math.fsum(off))
    given = list[float]()
    for lane, want, gone in zip(lanes, asked, off, strict=True):
        floor = min(want, max(0.0, lane.kept(bears) - gone), left)
        given.append(floor)
        left = max(0.0, left - floor)
    for number, want in enumerate(asked):
        more = min(want - given[number], left)
        given[number] += more
        left = max(0.0, left - more)
    beyond = list[float]()
    for want in over:
        beyond.append(min(want, left))
        left = max(0.0, left - beyond[-1])
    return tuple(given), tuple(beyond)


def shares(lanes: Sequence[Lane], rows: Iterable[Told], rising: bool = True) -> Shares:
    """What each may pass, by all rows. ``rising`` False: nothing beyond what is known to be borne."""
    told = sorted(rows, key=lambda row: row.owner)
    fresh, stale = [row for row in told if not row.stale], [row for row in told if row.stale]
    numbers = range(len(lanes))
    sent = [math.fsum(row.figures[n].sent for row in told) for n in numbers]
    taken = [math.fsum(row.figures[n].sent for row in stale) for n in numbers]
    asked = [math.fsum(row.figures[n].asked for row in fresh) for n in numbers]
    over = [math.fsum(row.figures[n].over for row in fresh) for n in numbers]
    bears = math.fsum(sent) * (1 + (room(pressure(told)) if rising and not stale else 0.0))
    # A lane whose tries the gates refuse is given more, and the lanes below it less: its asks count for more.
    extra = [_extra(fresh, n) for n in numbers]
    wanted = [a * e for a, e in zip(asked, extra, strict=True)]
    inside, beyond = fill(lanes, wanted, over, bears * (1 + HEADROOM), taken)
    given = tuple(min(a, g) for a, g in zip(asked, inside, strict=True))
    at = {row.owner: tuple(_part(given[n], row.figures[n].asked, asked[n]) for n in numbers) for row in fresh}
    at |= {row.owner: tuple(f.sent for f in row.figures) for row in stale}
    return Shares(
        bears, given, beyond, at,
        tuple(_share(inside[n], asked[n]) for n in numbers),
        tuple(_share(beyond[n], over[n]) for n in numbers),
    )  # fmt: skip


def room(found: Pressure) -> float:
    """By how much more than was sent on the fleet bears, a share of it: 0 while gates refuse."""
    free = max(0.0, 1 - found.load / REFERENCE)
    return min(MOST_RISE, RISE * free) if found.refused < FEW_SHORT else 0.0


def _extra(rows: Iterable[Told], number: int) -> float:
    short = math.fsum(row.figures[number].short for row in rows)
    sent = math.fsum(row.figures[number].sent for row in rows)
    return min(MOST_EXTRA, 1 + short / sent) if sent > 0 else 1.0


def _part(given: float, own: float, all_: float) -> float:
    return given * own / all_ if all_ > 0 else 0.0


def _share(given: float, asked: float) -> float:
    return min(1.0, given / asked) if asked > 0 else 1.0
