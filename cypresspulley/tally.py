"""Counts the events and actions of one limiter by kind and writes a JSON line per interval to standard error.

``benchmarks.fleet_counts`` adds up the lines of a whole fleet. It is off by default; the table ``[tally]`` of the
operators' file enables it.
"""

from __future__ import annotations

import json
import sys
import time
from collections import Counter
from collections.abc import Callable
from typing import Protocol

from cypresspulley import interface as api

LINE_PREFIX = "tally "
MAX_KINDS = 16 * 1024  # per interval: room for 1,024 servers by status; further kinds are counted as "other"
NON_FAILURE_STATUSES = frozenset({api.Status.OK, api.Status.CANCELLED, api.Status.REJECTED})


class Decisions(Protocol):
    """Answers events with actions, as ``policy.gateway.Gateway`` does."""

    def handle(self, now: float, event: api.Event) -> list[api.Action]: ...


def write_to_stderr(line: str) -> None:
    sys.stderr.write(line)
    sys.stderr.flush()


class Tally:
    """Counts events and actions between the node and the decisions, and changes none of them.

    ``interval`` is the length of an interval in seconds and ``warm_after`` the age in seconds from which a server is
    warm. ``count_dials`` returns the number of connections begun so far, ``cpu_time`` the CPU seconds used by the
    process; ``write`` accepts a line. An interval ends with the first event after its length has passed, so that an
    idle limiter writes nothing.
    """

    def __init__(
        self,
        inner: Decisions,
        interval: float,
        warm_after: float,
        count_dials: Callable[[], int] = lambda: 0,
        write: Callable[[str], None] = write_to_stderr,
        cpu_time: Callable[[], float] = time.process_time,
    ) -> None:
        self._inner = inner
        self._interval = interval
        self._warm_after = warm_after
        self._count_dials = count_dials
        self._write = write
        self._cpu_time = cpu_time
        self._cpu_seconds = cpu_time()
        self._reported_dials = 0
        self._interval_start = 0.0
        self._counts = Counter[str]()
        self._plan_by_request = dict[int, str]()
        self._births = dict[str, float]()

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        actions = self._inner.handle(now, event)
        if now - self._interval_start >= self._interval:
            self._flush(now)
        self._count_event(event)
        for action in actions:
            self._count_action(now, action)
        return actions

    def _add(self, kind: str, amount: int = 1) -> None:
        known = kind in self._counts or len(self._counts) < MAX_KINDS
        self._counts[kind if known else "other"] += amount

    def _count_event(self, event: api.Event) -> None:
        match event:
            case api.Request():
                self._plan_by_request[event.id] = event.plan
                self._add(f"try {event.plan} {'again' if event.repeat else 'first'}")
            case api.Outcome():
                self._add(f"outcome {event.status.value}")
                if event.status not in NON_FAILURE_STATUSES:
                    self._add(f"bad {event.server} {event.status.value}")
                if event.finished:
                    self._plan_by_request.pop(event.id, None)
            case api.ClientDisconnected():
                self._plan_by_request.pop(event.id, None)
            case api.Counted():
                self._add(f"counter {event.status.value}")
            case api.Probed():
                self._add(f"probed {event.status.value}")
            case api.ServerList():
                self._add("list whole" if event.complete else "list change")
                for entry in event.entries:
                    self._births[entry.name] = entry.born
            case _:
                pass

    def _count_action(self, now: float, action: api.Action) -> None:
        match action:
            case api.Send():
                self._add(f"send {self._plan_by_request.get(action.id, '?')}")
                if now - self._births.get(action.server, 0.0) < self._warm_after:
                    self._add(f"cold {action.server}")
            case api.Refuse() | api.Fail():
                kind = "refuse" if isinstance(action, api.Refuse) else "fail"
                self._add(f"{kind} {self._plan_by_request.pop(action.id, '?')} {action.why or 'attempts'}")
            case api.Probe():
                self._add("probe")
            case api.Count():
                self._add("counter call")
            case _:
                pass

    def _flush(self, now: float) -> None:
        dials_so_far, cpu_seconds = self._count_dials(), self._cpu_time()
        if dials_so_far > self._reported_dials:
            self._add("dial", dials_so_far - self._reported_dials)
        if self._counts:
            self._add("processor us", round(1e6 * (cpu_seconds - self._cpu_seconds)))
            row = {"from": round(self._interval_start, 3), "counts": self._counts}
            self._write(LINE_PREFIX + json.dumps(row, separators=(",", ":")) + "\n")
        self._reported_dials, self._cpu_seconds = dials_so_far, cpu_seconds
        self._interval_start, self._counts = now, Counter()
