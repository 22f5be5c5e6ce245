"""When this limiter may keep: a table of doubts, and how far its wall clock can be trusted. No I/O and no clock.

Every doubt is found by comparing at the moment of serving, whatever timers did: a process that was stopped is right
when it wakes. ``mono`` is a clock that never steps, ``wall`` the machine's; both in seconds.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from enum import StrEnum

GAP = 1.0  # seconds between two looks at the fleet after which this process was asleep
NEAR = 0.7  # of the bound
REGAIN = 0.6  # of the bound
STEP = 0.125  # of the bound
FRESH = 0.25  # seconds for which what the view says of the clock holds


class BypassReason(StrEnum):
    """Why nothing is kept, and nothing served from what is kept. The first that holds is told.

    | doubt    | holds while                                                     | ends when                        |
    | -------- | --------------------------------------------------------------- | -------------------------------- |
    | starting | no lease was had in this life                                   | all others have heard of it      |
    | cut      | the lease has run out: not all that are needed agree and answer | all others have heard again      |
    | woken    | this process did not look at the fleet for longer than ``GAP``  | all have heard it since it woke  |
    | unknown  | the view does not know the others' clocks                       | it does                          |
    | clock    | the wall clock may be off by more than ``NEAR`` of the bound    | it is surely within ``REGAIN``   |
    | stepped  | the wall clock moved against the other by ``STEP`` of the bound | a lease later, and within        |
    | behind   | the wall clock is before the latest instant that was acted on   | it has passed that               |
    | calendar | no version is in force, or its days are over                    | one is                           |
    """

    NONE = ""
    STARTING = "starting"
    CUT = "cut"
    WOKEN = "woken"
    UNKNOWN = "unknown"
    CLOCK = "clock"
    STEPPED = "stepped"
    BEHIND = "behind"
    CALENDAR = "calendar"


Error = Callable[[float], tuple[float, float] | None]


class WallClockMonitor:
    """Trust in the wall clock. ``bound`` is by how much one that is trusted may be off the true time: ``NEAR`` of that
    off the middle of the others', ``STEP`` more between two confirmations, which lie ``settle`` seconds apart; the rest
    is for the middle of the others', which most clocks keep that near."""

    def __init__(self, bound: float, settle: float) -> None:
        self._bound, self._settle = bound, settle
        self._offset: float | None = None  # wall minus mono, when it was last confirmed
        self._confirmed = self._stepped = self._looked = -math.inf
        self._cause = self.doubt = BypassReason.UNKNOWN
        self.highest = -math.inf  # the latest instant that was acted on: nothing goes back before it

    def __repr__(self) -> str:
        return f"<WallClock {self.doubt or 'trusted'}, highest {self.highest:.3f}>"

    def check(self, mono: float, wall: float, error: Error | None) -> BypassReason:
        """Whether this reading may be acted on; it then is the highest. ``error``: None where nobody is there to
        compare with."""
        if error is None:
            self._cause = BypassReason.NONE
        else:
            self._step(mono, wall)
            if not 0 <= mono - self._looked < FRESH:
                self._looked, self._cause = mono, self._compare(mono, wall, error(mono))
        self.doubt = self._cause or (BypassReason.BEHIND if wall < self.highest else BypassReason.NONE)
        if not self.doubt:
            self.highest = wall
        return self.doubt

    def _step(self, mono: float, wall: float) -> None:
        if self._offset is not None and abs(wall - mono - self._offset) > self._bound * STEP:
            # What the view knows of the clock is of before: it has to be measured anew.
            self._offset, self._stepped, self._looked = None, mono, -math.inf

    def _compare(self, mono: float, wall: float, error: tuple[float, float] | None) -> BypassReason:
        if mono < self._stepped + self._settle:
            return BypassReason.STEPPED
        if error is None:
            return BypassReason.UNKNOWN
        # One that was in doubt has to be closer to be trusted again: at the edge it would be in and out of it.
        near = self._bound * (REGAIN if self._cause else NEAR)
        if error[0] < -near or error[1] > near:
            return BypassReason.CLOCK
        if self._offset is None or mono >= self._confirmed + self._settle:
            self._offset, self._confirmed = wall - mono, mono
        return BypassReason.NONE


class Sleep:
    """Whether this process was asleep: a gap between its looks at the fleet, also while one is overdue."""

    def __init__(self) -> None:
        self._looked = math.inf
        self.woke = -math.inf

    def look(self, mono: float) -> None:
        """A look at the fleet."""
        self.check(mono)
        self._looked = mono

    def check(self, mono: float) -> None:
        """Something is to be served."""
        if mono - self._looked > GAP:
            self.woke = self._looked = mono
