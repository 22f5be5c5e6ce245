"""What one limiter does, counted by kind in short spells: a line of JSON a spell on standard error.

``benchmarks.fleet_counts`` adds up the lines of a whole fleet. Off by itself; switched on by the table ``[tally]``
of the operators' file.
"""

from __future__ import annotations

import json
import sys
import time
from collections import Counter
from collections.abc import Callable
from typing import Protocol

from cypresspulley import interface as api

LINE_PREFIX = "tally "  # what a line begins with
MAX_KINDS = 16 * 1024  # in one spell: 1,024 servers by status; what goes beyond is counted as "other"
HEALTHY = frozenset({api.Status.OK, api.Status.CANCELLED, api.Status.REJECTED})


class Decisions(Protocol):
    """What answers events with actions: ``policy.gateway.Gateway``."""

    def handle(self, now: float, event: api.Event) -> list[api.Action]: ...


def to_stderr(line: str) -> None:
    sys.stderr.write(line)
    sys.stderr.flush()


class Tally:
    """Stands between the node and the decisions, counts events and actions, and changes none of them.

    ``every`` is the length of a spell in seconds, ``dials`` the number of connections begun so far; ``write`` takes a
    line. A spell ends with the first event after its time, so that a limiter at rest writes nothing.
    """

    def __init__(
        self,
        inner: Decisions,
        every: float,
        warm_after: float,
        dials: Callable[[], int] = lambda: 0,
        write: Callable[[str], None] = to_stderr,
        processor: Callable[[], float] = time.process_time,
    ) -> None:
        self._inner = inner
        self._every = every
        self._warm_after = warm_after
        self._dials = dials
        self._write = write
        self._processor = processor
        self._used = processor()
        self._dialled = 0
        self._since = 0.0
        self._counts = Counter[str]()
        self._plans = dict[int, str]()
        self._born = dict[str, float]()

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        actions = self._inner.handle(now, event)
        if now - self._since >= self._every:
            self._flush(now)
        self._event(event)
        for action in actions:
            self._action(now, action)
        return actions

    def _add(self, kind: str, amount: int = 1) -> None:
        known = kind in self._counts or len(self._counts) < MAX_KINDS
        self._counts[kind if known else "other"] += amount

    def _event(self, event: api.Event) -> None:
        match event:
            case api.Request():
                self._plans[event.id] = event.plan
                self._add(f"try {event.plan} {'again' if event.repeat else 'first'}")
            case api.Outcome():
                self._add(f"outcome {event.status.value}")
                if event.status not in HEALTHY:
                    self._add(f"bad {event.server} {event.status.value}")
                if event.finished:
                    self._plans.pop(event.id, None)
            case api.ClientDisconnected():
                self._plans.pop(event.id, None)
            case api.Counted():
                self._add(f"counter {event.status.value}")
            case api.Probed():
                self._add(f"probed {event.status.value}")
            case api.ServerList():
                self._add("list whole" if event.complete else "list change")
                for entry in event.entries:
                    self._born[entry.name] = entry.born
            case _:
                pass

    def _action(self, now: float, action: api.Action) -> None:
        match action:
            case api.Send():
                self._add(f"send {self._plans.get(action.id, '?')}")
                if now - self._born.get(action.server, 0.0) < self._warm_after:
                    self._add(f"cold {action.server}")
            case api.Refuse() | api.Fail():
                word = "refuse" if isinstance(action, api.Refuse) else "fail"
                self._add(f"{word} {self._plans.pop(action.id, '?')} {action.why or 'attempts'}")
            case api.Probe():
                self._add("probe")
            case api.Count():
                self._add("counter call")
            case _:
                pass

    def _flush(self, now: float) -> None:
        dialled, used = self._dials(), self._processor()
        if dialled > self._dialled:
            self._add("dial", dialled - self._dialled)
        if self._counts:
            self._add("processor us", round(1e6 * (used - self._used)))
            row = {"from": round(self._since, 3), "counts": self._counts}
            self._write(LINE_PREFIX + json.dumps(row, separators=(",", ":")) + "\n")
        self._dialled, self._used = dialled, used
        self._since, self._counts = now, Counter()
