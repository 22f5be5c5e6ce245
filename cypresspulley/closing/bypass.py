"""Reasons to bypass the cache, the monitor that decides whether the wall clock can be trusted, and sleep detection.

No I/O and no clock. Every reason is found by comparing times when a request is served, independently of timers, so a
process that was suspended gets it right when it resumes. ``mono`` is a monotonic clock and ``wall`` the machine's wall
clock, both in seconds.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from enum import StrEnum

MAX_POLL_GAP_SECONDS = (
    1.0  # a longer time between two polls of the fleet view means that the process was suspended
)
TRUST_SHARE = 0.7  # of the clock bound: a wall clock that may be off by more is not trusted
REGAIN_SHARE = 0.6  # of the clock bound: an untrusted wall clock has to be within this to be trusted again
STEP_SHARE = 0.125  # of the clock bound: a larger change against the monotonic clock counts as a step
CLOCK_ERROR_MAX_AGE_SECONDS = 0.25  # time for which the view's estimate of the clock error is reused


class BypassReason(StrEnum):
    """Why nothing is cached and nothing is served from the cache. The first one that applies is reported.

    | reason   | applies while                                                     | ends when                         |
    | -------- | ----------------------------------------------------------------- | --------------------------------- |
    | starting | this process has not had a lease yet                              | all others have heard from it     |
    | cut      | the lease has expired: not all required limiters agree and answer | all others have heard from it     |
    | woken    | this process did not poll the view for ``MAX_POLL_GAP_SECONDS``   | all have heard from it since then |
    | unknown  | the view has no estimate of the others' clocks                    | it has one                        |
    | clock    | the wall clock may be off by more than ``TRUST_SHARE``            | certainly within ``REGAIN_SHARE`` |
    | stepped  | the wall clock moved against ``mono`` by more than ``STEP_SHARE`` | one lease later, if close enough  |
    | behind   | the wall clock is before the latest instant acted on              | it has passed that instant        |
    | calendar | no version is in force, or its computed days have ended           | one is in force                   |

    The values are written to the history.
    """

    NONE = ""
    STARTING = "starting"
    LEASE_EXPIRED = "cut"
    RESUMED = "woken"
    CLOCK_UNKNOWN = "unknown"
    CLOCK_OFF = "clock"
    CLOCK_STEPPED = "stepped"
    CLOCK_BEHIND = "behind"
    NO_CALENDAR = "calendar"


ClockErrorSource = Callable[[float], tuple[float, float] | None]


class WallClockMonitor:
    """Decides whether the wall clock can be trusted.

    ``bound`` is the maximum error of a trusted clock against the true time. Of this, ``TRUST_SHARE`` covers the
    difference to the median of the others' clocks and ``STEP_SHARE`` the drift between two confirmations, which are
    ``settle_seconds`` apart. The rest covers the error of that median, which most clocks keep that small.
    """

    def __init__(self, bound: float, settle_seconds: float) -> None:
        self._bound, self._settle_seconds = bound, settle_seconds
        self._offset: float | None = None  # wall minus mono at the last confirmation
        self._confirmed_at = self._stepped_at = self._compared_at = -math.inf
        self._comparison = self.reason = BypassReason.CLOCK_UNKNOWN
        self.latest_trusted = -math.inf  # the latest instant acted on; no earlier instant is acted on

    def __repr__(self) -> str:
        return f"<WallClockMonitor {self.reason or 'trusted'}, latest {self.latest_trusted:.3f}>"

    def check(self, mono: float, wall: float, clock_error: ClockErrorSource | None) -> BypassReason:
        """Return why this reading cannot be trusted, or ``NONE``; a trusted reading becomes ``latest_trusted``.

        ``clock_error`` is None if there is no other limiter to compare with.
        """
        if clock_error is None:
            self._comparison = BypassReason.NONE
        else:
            self._detect_step(mono, wall)
            if not 0 <= mono - self._compared_at < CLOCK_ERROR_MAX_AGE_SECONDS:
                self._compared_at, self._comparison = mono, self._compare(mono, wall, clock_error(mono))
        self.reason = self._comparison or (
            BypassReason.CLOCK_BEHIND if wall < self.latest_trusted else BypassReason.NONE
        )
        if not self.reason:
            self.latest_trusted = wall
        return self.reason

    def _detect_step(self, mono: float, wall: float) -> None:
        if self._offset is not None and abs(wall - mono - self._offset) > self._bound * STEP_SHARE:
            # The view's estimate is from before the step, so the clock has to be compared again.
            self._offset, self._stepped_at, self._compared_at = None, mono, -math.inf

    def _compare(self, mono: float, wall: float, error: tuple[float, float] | None) -> BypassReason:
        if mono < self._stepped_at + self._settle_seconds:
            return BypassReason.CLOCK_STEPPED
        if error is None:
            return BypassReason.CLOCK_UNKNOWN
        # The stricter limit for regaining trust keeps a clock at the limit from alternating between the two states.
        limit = self._bound * (REGAIN_SHARE if self._comparison else TRUST_SHARE)
        if error[0] < -limit or error[1] > limit:
            return BypassReason.CLOCK_OFF
        if self._offset is None or mono >= self._confirmed_at + self._settle_seconds:
            self._offset, self._confirmed_at = wall - mono, mono
        return BypassReason.NONE


class SuspendDetector:
    """Detects that this process was suspended by a gap between its polls of the view, even while one is overdue."""

    def __init__(self) -> None:
        self._polled_at = math.inf
        self.resumed_at = -math.inf

    def record_poll(self, mono: float) -> None:
        """Record a poll of the fleet view."""
        self.check(mono)
        self._polled_at = mono

    def check(self, mono: float) -> None:
        """Check for a gap; called before anything is served."""
        if mono - self._polled_at > MAX_POLL_GAP_SECONDS:
            self.resumed_at = self._polled_at = mono
