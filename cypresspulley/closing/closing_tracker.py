"""Which closings have been noticed in this life: each once, whatever the clock does. No I/O and no clock."""

from __future__ import annotations

from typing import NamedTuple

from cypresspulley.closing.calendar import Calendar

MOST = 256  # closings of one look: a limiter that slept for months tells the last of them


class Closed(NamedTuple):
    """One closing, with its identity: place, version, ordinal. ``at`` is its instant, Unix seconds."""

    place: str
    version: int
    ordinal: int
    at: int


class ClosingTracker:
    """Instants that are passed in come from a clock that is trusted and does not go back."""

    def __init__(self) -> None:
        self._collected_until: float | None = None  # all closings up to here are noticed

    def collect_closings(self, before: Calendar | None, after: Calendar | None, wall: float) -> list[Closed]:
        """The closings since the last look. A version has its own up to its successor's instant."""
        since = self._collected_until
        if since is None or wall <= since:
            self._collected_until = wall if since is None else since
            return []
        self._collected_until = wall
        if after is None or after is before:
            return _between(after, since, wall)[-MOST:]
        turn = max(since, after.in_force)
        old = [closed for closed in _between(before, since, min(turn, wall)) if closed.at < turn]
        new = [
            closed for closed in _between(after, turn - 1, wall) if closed.at >= turn and closed.at > since
        ]
        return (old + new)[-MOST:]


def _between(calendar: Calendar | None, t0: float, t1: float) -> list[Closed]:
    if calendar is None or not calendar.covers(t1):
        return []
    found = [
        Closed(place, calendar.version, ordinal, at)
        for place in sorted(calendar.places)
        for ordinal, at in calendar.timeline(place).closings_between(t0, t1)
    ]
    return sorted(found, key=lambda closed: closed.at)
