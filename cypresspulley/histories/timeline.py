"""When what happened: faults as spans, lives from start to end, and who could answer whom.

All times are seconds of the clock that never steps (``mono``), on one base for the harness and all processes of a play;
a process's own wall clock may be wrong and orders nothing.

The names of faults that count here (``kind_of``), with limiters as targets; see ``docs/design/histories.md``:

    ended      SIGKILL or SIGTERM of the targets: no end of its own, a return is the new life's start
    silent     the targets answer nobody from begin to end
    parted     the targets are one side: between them and all others nothing is sure to pass
    any other  excuses no silence; while one of the fleet is on, the view need not be settled
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
FLEET_KIND_PREFIX = "fleet-"  # how the kinds begin that befall datagrams
CLOCK_SKEW_SECONDS = 0.02  # seconds by which two processes' clocks that never step may differ on one machine


_Kind = TypeVar("_Kind", bound=Event)


@dataclass(frozen=True, slots=True)
class FaultSpan:
    """A fault from ``begin`` to ``end`` (infinite where no end was written), and the event that began it."""

    kind: str
    targets: frozenset[str]
    begin: float
    end: float
    event: Fault

    @property
    def may_unsettle(self) -> bool:
        """Whether the view may be unsettled while it lasts. A clock that is off is no reason."""
        return (
            self.kind in PAUSE_KINDS
            or self.kind in PARTITION_KINDS
            or self.kind.startswith(FLEET_KIND_PREFIX)
        )

    def overlaps(self, begin: float, end: float) -> bool:
        return self.begin <= end and begin <= self.end


@dataclass(frozen=True, slots=True)
class Life:
    """One process's life: from its start until it ended in order, was killed or ended with the play."""

    history: History
    begin: float
    end: float
    killed: Fault | None  # what killed it
    ended: End | None  # its own last word

    @property
    def name(self) -> str:
        return self.history.name

    def covers(self, begin: float, end: float) -> bool:
        return self.begin <= begin and end <= self.end


class Timeline:
    """A play's faults and lives. Without a harness there are no faults, and nothing is known to have been killed."""

    def __init__(self, histories: Histories) -> None:
        self.harness = histories.harness
        self.stop = _stop(histories)
        self.faults = tuple(_spans(self.harness)) if self.harness else ()
        self.lives = tuple(self._lives(histories.lives))
        self.truth = _truth(self.harness)
        self._by_name: dict[str, list[Life]] = defaultdict(list)
        for life in self.lives:
            self._by_name[life.name].append(life)

    def __repr__(self) -> str:
        return f"<Timeline until {self.stop:.3f}, {len(self.lives)} lives, {len(self.faults)} faults>"

    def life(self, name: str, number: int) -> Life | None:
        return next((life for life in self._by_name.get(name, ()) if life.history.life == number), None)

    def was_paused(self, name: str, begin: float, end: float) -> bool:
        """Whether a process of this name was stopped at some moment from ``begin`` to ``end``."""
        return any(
            span.kind in PAUSE_KINDS and name in span.targets and span.overlaps(begin, end)
            for span in self.faults
        )

    def was_partitioned(self, one: str, other: str, begin: float, end: float) -> bool:
        """Whether a cut lay between the two at some moment from ``begin`` to ``end``."""
        return any(
            span.kind in PARTITION_KINDS
            and (one in span.targets) != (other in span.targets)
            and span.overlaps(begin, end)
            for span in self.faults
        )

    def had_partition(self, begin: float, end: float) -> bool:
        """Whether there was any cut in that time."""
        return any(span.kind in PARTITION_KINDS and span.overlaps(begin, end) for span in self.faults)

    def could_answer(self, observer: str, member: str, number: int, begin: float, end: float) -> bool:
        """Whether this life of the member could answer the observer all the while."""
        life = self.life(member, number)
        if life is None or not life.covers(begin, end):
            return False
        return not self.was_paused(member, begin, end) and not self.was_partitioned(
            observer, member, begin, end
        )

    def _lives(self, histories: tuple[History, ...]) -> Iterator[Life]:
        """``histories`` are sorted by name and life, so that the next of one name ends the one before."""
        for number, history in enumerate(histories):
            begin = history.start.mono
            last = history.events[-1]
            ended = last if isinstance(last, End) else None
            following = histories[number + 1] if number + 1 < len(histories) else None
            end = self.stop if ended is None else ended.mono
            if following is not None and following.name == history.name:
                end = min(end, following.start.mono)
            killed = self._ended(KILL_KINDS, history.name, begin, end)
            told = killed or (
                self._ended(PROCESS_END_KINDS, history.name, begin, end) if ended is None else None
            )
            yield Life(history, begin, told.mono if told else end, killed, ended)

    def _ended(self, kinds: frozenset[str], name: str, begin: float, end: float) -> Fault | None:
        """The first fault of these kinds that struck this life."""
        for span in self.faults:
            if span.kind in kinds and name in span.targets and begin <= span.begin <= end:
                return span.event
        return None


def _stop(histories: Histories) -> float:
    """When the play ended: the harness's end, else the last event of all."""
    if histories.harness is not None:
        return histories.harness.events[-1].mono
    return max((history.events[-1].mono for history in histories.lives), default=0.0)


def _spans(harness: History) -> Iterator[FaultSpan]:
    """Faults, each begin with the first end after it of the same kind and targets."""
    faults = [event for event in harness.events if isinstance(event, Fault)]
    ends: dict[tuple[str, frozenset[str]], list[float]] = defaultdict(list)
    for event in faults:
        if not event.on:
            ends[event.kind_of, frozenset(event.targets)].append(event.mono)
    for event in faults:
        if event.on:
            key = event.kind_of, frozenset(event.targets)
            at_end = next((moment for moment in ends[key] if moment >= event.mono), None)
            if at_end is not None:
                ends[key].remove(at_end)
            yield FaultSpan(*key, event.mono, math.inf if at_end is None else at_end, event)


def _truth(harness: History | None) -> Truth | None:
    return next((event for event in harness.events if isinstance(event, Truth)), None) if harness else None


def events_of(history: History, kind: type[_Kind]) -> Iterator[_Kind]:
    return (event for event in history.events if isinstance(event, kind))


def stated_bound(history: History, name: str) -> float | None:
    """The bound that this process stated at its start, in seconds; None where it stated none."""
    return history.start.bounds.get(name)
