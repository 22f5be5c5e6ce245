"""The timeline of a play: faults as time spans, process lives from start to end, and who could answer whom.

All times are seconds of the monotonic clock (``mono``), which the harness and all processes of a play share. A
process's own wall clock may be wrong and orders nothing.

The fault kinds (``kind_of``) that matter here have limiters as targets; see ``docs/design/histories.md``:

    process end  SIGKILL or SIGTERM of the targets; it has no fault end, a return shows as the start of a new life
    pause        the targets answer nobody from begin to end
    partition    the targets are one side; messages between them and all others may be lost
    any other    excuses no missing answer; while a fleet fault is active, the view need not be settled
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass
from typing import TypeVar

from cypresspulley.histories.forms import End, Event, Fault, Truth
from cypresspulley.histories.read import Histories, History

KILL_KINDS = frozenset(("limiter-kill",))
PROCESS_END_KINDS = KILL_KINDS | {"limiter-restart"}
PAUSE_KINDS = frozenset(("limiter-pause",))
PARTITION_KINDS = frozenset(("fleet-cut", "fleet-oneway", "fleet-flap", "fleet-partition"))
FLEET_KIND_PREFIX = "fleet-"  # prefix of the fault kinds that affect datagrams between limiters
CLOCK_SKEW_SECONDS = 0.02  # largest difference of two processes' monotonic clocks on one machine


_EventT = TypeVar("_EventT", bound=Event)


@dataclass(frozen=True, slots=True)
class FaultSpan:
    """A fault from ``begin`` to ``end`` (infinite if no end was written) and the event that began it."""

    kind: str
    targets: frozenset[str]
    begin: float
    end: float
    event: Fault

    @property
    def may_unsettle(self) -> bool:
        """Whether the membership view may be unsettled during the fault. A wrong clock is no such fault."""
        return (
            self.kind in PAUSE_KINDS
            or self.kind in PARTITION_KINDS
            or self.kind.startswith(FLEET_KIND_PREFIX)
        )

    def overlaps(self, begin: float, end: float) -> bool:
        return self.begin <= end and begin <= self.end


@dataclass(frozen=True, slots=True)
class Life:
    """One process life, from its start until an orderly end, a kill or the end of the play."""

    history: History
    begin: float
    end: float
    killed: Fault | None  # the fault that killed it
    ended: End | None  # the end event that the process wrote itself

    @property
    def name(self) -> str:
        return self.history.name

    def covers(self, begin: float, end: float) -> bool:
        return self.begin <= begin and end <= self.end


class Timeline:
    """The faults and process lives of a play. Without a harness history there are no faults and no known kills."""

    def __init__(self, histories: Histories) -> None:
        self.harness = histories.harness
        self.stop = _play_end(histories)
        self.faults = tuple(_fault_spans(self.harness)) if self.harness else ()
        self.lives = tuple(self._lives(histories.lives))
        self.truth = _truth_of(self.harness)
        self._by_name: dict[str, list[Life]] = defaultdict(list)
        for life in self.lives:
            self._by_name[life.name].append(life)

    def __repr__(self) -> str:
        return f"<Timeline until {self.stop:.3f}, {len(self.lives)} lives, {len(self.faults)} faults>"

    def life(self, name: str, number: int) -> Life | None:
        return next((life for life in self._by_name.get(name, ()) if life.history.life == number), None)

    def was_paused(self, name: str, begin: float, end: float) -> bool:
        """Return whether the process of this name was paused at any time from ``begin`` to ``end``."""
        return any(
            span.kind in PAUSE_KINDS and name in span.targets and span.overlaps(begin, end)
            for span in self.faults
        )

    def was_partitioned(self, one: str, other: str, begin: float, end: float) -> bool:
        """Return whether a partition separated the two at any time from ``begin`` to ``end``."""
        return any(
            span.kind in PARTITION_KINDS
            and (one in span.targets) != (other in span.targets)
            and span.overlaps(begin, end)
            for span in self.faults
        )

    def had_partition(self, begin: float, end: float) -> bool:
        """Return whether any partition was active at any time from ``begin`` to ``end``."""
        return any(span.kind in PARTITION_KINDS and span.overlaps(begin, end) for span in self.faults)

    def could_answer(self, observer: str, member: str, number: int, begin: float, end: float) -> bool:
        """Return whether this life of the member could answer the observer during all of ``begin`` to ``end``."""
        life = self.life(member, number)
        if life is None or not life.covers(begin, end):
            return False
        return not self.was_paused(member, begin, end) and not self.was_partitioned(
            observer, member, begin, end
        )

    def _lives(self, histories: tuple[History, ...]) -> Iterator[Life]:
        """Yield the lives. ``histories`` are sorted by name and life, so the next one of a name ends the previous."""
        for number, history in enumerate(histories):
            begin = history.start.mono
            last = history.events[-1]
            ended = last if isinstance(last, End) else None
            next_history = histories[number + 1] if number + 1 < len(histories) else None
            end = self.stop if ended is None else ended.mono
            if next_history is not None and next_history.name == history.name:
                end = min(end, next_history.start.mono)
            killed = self._first_fault(KILL_KINDS, history.name, begin, end)
            end_fault = killed or (
                self._first_fault(PROCESS_END_KINDS, history.name, begin, end) if ended is None else None
            )
            yield Life(history, begin, end_fault.mono if end_fault else end, killed, ended)

    def _first_fault(self, kinds: frozenset[str], name: str, begin: float, end: float) -> Fault | None:
        """Return the first fault of these kinds that hit the process in that time."""
        for span in self.faults:
            if span.kind in kinds and name in span.targets and begin <= span.begin <= end:
                return span.event
        return None


def _play_end(histories: Histories) -> float:
    """Return when the play ended: the harness's last event, or without a harness the last event of all."""
    if histories.harness is not None:
        return histories.harness.events[-1].mono
    return max((history.events[-1].mono for history in histories.lives), default=0.0)


def _fault_spans(harness: History) -> Iterator[FaultSpan]:
    """Yield fault spans, pairing each begin with the first later end of the same kind and targets."""
    faults = [event for event in harness.events if isinstance(event, Fault)]
    ends: dict[tuple[str, frozenset[str]], list[float]] = defaultdict(list)
    for event in faults:
        if not event.on:
            ends[event.kind_of, frozenset(event.targets)].append(event.mono)
    for event in faults:
        if event.on:
            key = event.kind_of, frozenset(event.targets)
            end = next((moment for moment in ends[key] if moment >= event.mono), None)
            if end is not None:
                ends[key].remove(end)
            yield FaultSpan(*key, event.mono, math.inf if end is None else end, event)


def _truth_of(harness: History | None) -> Truth | None:
    return next((event for event in harness.events if isinstance(event, Truth)), None) if harness else None


def events_of(history: History, kind: type[_EventT]) -> Iterator[_EventT]:
    return (event for event in history.events if isinstance(event, kind))


def stated_bound(history: History, name: str) -> float | None:
    """Return the bound in seconds that this process stated in its start event, or None."""
    return history.start.bounds.get(name)
