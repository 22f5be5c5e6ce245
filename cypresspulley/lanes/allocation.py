"""What the whole fleet bears, and what each lane may pass at each limiter: a pure function of the rows.

Lane by lane inside quota, each lane's floor first; what is beyond quota only after all of that. The same rows give the
same answer at every limiter: rows are taken by their owners' names, and nothing else comes in.

What the fleet bears is measured, not set. It begins with what servers were sent while gates refused for want of room,
and each revision it falls or rises by how far those refusals are from what is wanted of them: few of the first lane's,
and some of all, by which the gates tell that nothing is left unused.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from cypresspulley.lanes.options import Lane
from cypresspulley.lanes.rows import Figures
from cypresspulley.policy.gate import REFERENCE_LOAD

# What is wanted of the gates' refusals. Some of them keep servers busy; more of them lanes could have spared.
WANTED = 0.45  # share of first tries let pass that is refused for want of room: most find room a moment later
WANTED_FIRST = 0.04  # share of what the first lane lets pass that is never sent on
WANTED_LANE = 0.3  # the same of any other lane
ENTRY = 0.9  # of what was sent on while all was full: what is borne at first
FALL = 0.05  # of what is borne, a revision: for refusals of twice what is wanted
MOST_FALL = 0.1  # of what is borne, a revision, at most
FULL = 0.6  # share refused from which what is sent on is all that servers do
RISE = 0.25  # the same where nothing is refused
LEAST_SENT = 0.85  # times what is sent on: the least that is held to be borne
MOST_ASKED = 1.1  # times what is asked: the most that is held to be borne
SEEN = 1.0  # units a second that a lane must let pass to tell anything
FEW = 0.02  # share refused below which a limiter is not pressed


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
    """Of the fleet, by its fresh rows. ``refused``: share of the first tries that lanes let pass which was refused for
    want of room; ``first``: share of what the first lane let pass that was not sent on, repeats being sent for what
    they repeat; ``worst``: the same of the lane of which it is most; ``load``: mean of the gates' readings by what each
    limiter let pass; ``pressed``: limiters that refused; ``asked``: units a second inside quota."""

    refused: float
    first: float
    worst: float
    load: float
    pressed: int
    asked: float

    @property
    def error(self) -> float:
        """Of the gates' loop: by how much load is above its reference, as a share of it."""
        return max(0.0, self.load / REFERENCE_LOAD - 1)

    def value(self, bears: float | None = None) -> float:
        """The share of what is asked that cannot be served, at least: 0 is none. What one limiter alone refuses is its
        own affair. ``bears``: units a second, where lanes hold back what is beyond it."""
        refused = self.refused + self.error if self.pressed >= 2 else 0.0
        held = 1 - bears / self.asked if bears is not None and self.asked > bears else 0.0
        return max(refused, held)

    @property
    def over(self) -> float:
        """Refusals over what is wanted of them: 1 is as wanted, 0 leaves room unused."""
        return max(self.over_all, self.first / WANTED_FIRST)

    @property
    def over_all(self) -> float:
        """The same, whichever lane they are of."""
        return max((self.refused + self.error) / WANTED, self.worst / WANTED_LANE)


def pressure(rows: Iterable[Told]) -> Pressure:
    """That of the fleet, by the rows that are not stale."""
    fresh = sorted((row for row in rows if not row.stale), key=lambda row: row.owner)
    short = [math.fsum(f.short for f in row.figures) for row in fresh]
    passed = [math.fsum(f.passed for f in row.figures) for row in fresh]
    asked, whole = math.fsum(f.asked for row in fresh for f in row.figures), math.fsum(passed)
    if whole <= 0:
        return Pressure(0.0, 0.0, 0.0, 0.0, 0, asked)
    load = math.fsum(row.load * p for row, p in zip(fresh, passed, strict=True)) / whole
    pressed = sum(p > 0 and s >= FEW * p for s, p in zip(short, passed, strict=True))
    lost = [_lost(lane) for lane in zip(*(row.figures for row in fresh), strict=True)]
    return Pressure(
        min(1.0, math.fsum(short) / whole), lost[0], max(lost[1:], default=0.0), load, pressed, asked
    )


def _lost(lane: Iterable[Figures]) -> float:
    """The share of what a lane let pass that was not sent on; 0 for a lane of which next to nothing passed."""
    figures = list(lane)
    passed, sent = math.fsum(f.passed for f in figures), math.fsum(f.sent for f in figures)
    return max(0.0, 1 - sent / passed) if passed >= SEEN else 0.0


def borne(lanes: Sequence[Lane], rows: Iterable[Told], before: float | None) -> float:
    """What the fleet bears, units a second, by all rows and by what it was held to bear ``before`` this revision."""
    told = sorted(rows, key=lambda row: row.owner)
    sent = math.fsum(f.sent for row in told for f in row.figures)
    if before is None:
        return ENTRY * sent
    asked = math.fsum(f.asked + f.over for row in told for f in row.figures)
    found = pressure(told)
    change = RISE * (1 - found.over) ** 2 if found.over < 1 else -min(MOST_FALL, FALL * (found.over - 1))
    if found.refused + found.error >= FULL and sent < before:
        # All is full, and less goes on than was thought: servers have gone.
        return max(LEAST_SENT * sent, min(before * (1 + change), (before + sent) / 2))
    least = LEAST_SENT * sent
    if found.over_all < 1:
        # Only the first lane lacks room. It may have that of the others, but they cannot have less than their floors:
        # below this it would give way itself, for what is one limiter's lack of room.
        first = math.fsum(row.figures[0].asked for row in told)
        kept, units = (
            math.fsum(lane.floor for lane in lanes[1:]),
            math.fsum(lane.floor_units for lane in lanes[1:]),
        )
        least = max(least, min(before, (first + units) / max(0.1, 1 - kept)))
    # Not held down by what is sent on: where few accounts pass and ask little, that says nothing of what is borne.
    return max(least, min(before * (1 + change), max(before, MOST_ASKED * max(sent, asked))))


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


def shares(lanes: Sequence[Lane], rows: Iterable[Told], bears: float) -> Shares:
    """What each may pass, by all rows, where the fleet bears so many units a second."""
    told = sorted(rows, key=lambda row: row.owner)
    fresh, stale = [row for row in told if not row.stale], [row for row in told if row.stale]
    numbers = range(len(lanes))
    taken = [math.fsum(row.figures[n].sent for row in stale) for n in numbers]
    asked = [math.fsum(row.figures[n].asked for row in fresh) for n in numbers]
    over = [math.fsum(row.figures[n].over for row in fresh) for n in numbers]
    inside, beyond = fill(lanes, asked, over, bears, taken)
    left = math.fsum(asked) + math.fsum(over) + math.fsum(taken) < bears
    at = {
        row.owner: tuple(_part(inside[n], row.figures[n].asked, asked[n]) for n in numbers) for row in fresh
    }
    at |= {row.owner: tuple(f.sent for f in row.figures) for row in stale}
    return Shares(
        bears, inside, beyond, at,
        tuple(_share(inside[n], asked[n], left or lanes[n].kept(bears) > 0) for n in numbers),
        tuple(_share(beyond[n], over[n], left) for n in numbers),
    )  # fmt: skip


def _part(given: float, own: float, all_: float) -> float:
    return given * own / all_ if all_ > 0 else 0.0


def _share(given: float, asked: float, unasked: bool) -> float:
    """The part that passes; ``unasked`` says whether what comes all the same may, where nothing was asked."""
    return min(1.0, given / asked) if asked > 0 else float(unasked)
