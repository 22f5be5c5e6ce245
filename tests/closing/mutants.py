"""Mutants of the limiter, each without one safeguard, which must be detected by ``closing_stale.py --mutants``."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any
from unittest import mock

from cypresspulley.closing.bypass import BypassReason, WallClockMonitor
from cypresspulley.closing.cache import AnswerCache
from cypresspulley.closing.calendar import Timeline
from cypresspulley.closing.calendar_store import CalendarStore
from cypresspulley.closing.closing_tracker import ClosingEvent, ClosingTracker
from cypresspulley.closing.eligibility import Eligibility
from cypresspulley.closing.lease import Lease
from cypresspulley.closing.limiter import ClosingCache
from cypresspulley.closing.purge_coordinator import PurgeCoordinator

Patch = tuple[Any, str, Callable[..., Any]]


class _CurrentStamp:
    """A send stamp that always has the current time, as if the lookup had just been sent."""

    def __init__(self, closing: ClosingCache, account: str) -> None:
        self._closing, self._account = closing, account

    mono = property(lambda self: self._closing._clock())
    wall = property(lambda self: self._closing._wall())
    generation = property(lambda self: self._closing.generation(self._account))


def _stamp_on_arrival(self: ClosingCache, account: str) -> object:
    return None if self.generation(account) is None else _CurrentStamp(self, account)


def _trust_always(self: WallClockMonitor, mono: float, wall: float, error: object) -> BypassReason:
    self.reason, self.latest_trusted = BypassReason.NONE, wall
    return BypassReason.NONE


def _collect_again(self: ClosingTracker, before: Any, after: Any, wall: float) -> Any:
    self._collected_until, since = wall, self._collected_until
    found = (
        []
        if since is None or after is None
        else [(p, after.timeline(p).closings_between(since, wall)) for p in after.places]
    )
    return [ClosingEvent(place, after.version, ordinal, at) for place, each in found for ordinal, at in each]


MUTANTS: dict[str, tuple[Patch, ...]] = {
    "the generation is compared by nobody": ((Eligibility, "generation", lambda *_: 1),),
    "answers are of the moment at which they come": ((ClosingCache, "stamp_lookup", _stamp_on_arrival),),
    "round a close all goes on": (
        (Timeline, "is_near_closing", lambda *_: False),
        (CalendarStore, "is_near_switch", lambda *_: False),
    ),
    "the lease never ends": ((Lease, "is_held", lambda self, _now: self.acknowledged_at > 0),),
    "any clock is trusted": ((WallClockMonitor, "check", _trust_always),),
    "closings are told again after a step": (
        (WallClockMonitor, "check", _trust_always),
        (ClosingTracker, "collect_closings", _collect_again),
    ),
    "yes before all have it": ((PurgeCoordinator, "_find_missing", lambda *_: []),),
    "purges of others are not heard": ((ClosingCache, "_apply_peer_purges", lambda *_: None),),
    "a purge forgets what is on its way": ((AnswerCache, "_is_purged", lambda *_: False),),
    "a change under way holds up nothing": ((AnswerCache, "begin_write", lambda *_: None),),
}


@contextmanager
def applied(name: str) -> Iterator[None]:
    """Applies a mutant for the duration of the context."""
    patches = [mock.patch.object(owner, attribute, with_) for owner, attribute, with_ in MUTANTS[name]]
    for patch in patches:
        patch.start()
    try:
        yield
    finally:
        for patch in patches:
            patch.stop()
