"""Tracks which closings have been reported in this life, so that each is reported once whatever the clock does.

No I/O and no clock.
"""

from __future__ import annotations

from typing import NamedTuple

from cypresspulley.closing.calendar import Calendar

MAX_CLOSINGS = (
    256  # closings reported per call: a limiter that was suspended for months reports only the last ones
)


class ClosingEvent(NamedTuple):
    """One closing, identified by place, version and ordinal. ``at`` is its instant in Unix seconds."""

    place: str
    version: int
    ordinal: int
    at: int


class ClosingTracker:
    """Instants passed in come from a trusted clock that does not go back."""

    def __init__(self) -> None:
        self._collected_until: float | None = None  # all closings up to this instant have been reported

    def collect_closings(
        self, before: Calendar | None, after: Calendar | None, wall: float
    ) -> list[ClosingEvent]:
        """Return the closings since the last call. Each version's closings count until its successor's instant."""
        since = self._collected_until
        if since is None or wall <= since:
            self._collected_until = wall if since is None else since
            return []
        self._collected_until = wall
        if after is None or after is before:
            return _closings_between(after, since, wall)[-MAX_CLOSINGS:]
        switch = max(since, after.in_force)
        old = [event for event in _closings_between(before, since, min(switch, wall)) if event.at < switch]
        new = [
            event
            for event in _closings_between(after, switch - 1, wall)
            if event.at >= switch and event.at > since
        ]
        return (old + new)[-MAX_CLOSINGS:]


def _closings_between(calendar: Calendar | None, t0: float, t1: float) -> list[ClosingEvent]:
    if calendar is None or not calendar.covers(t1):
        return []
    found = [
        ClosingEvent(place, calendar.version, ordinal, at)
        for place in sorted(calendar.places)
        for ordinal, at in calendar.timeline(place).closings_between(t0, t1)
    ]
    return sorted(found, key=lambda event: event.at)
