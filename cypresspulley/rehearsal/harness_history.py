"""Writes the harness's own history of a run: client calls and answers, faults, and the facts that checkers need.

It is written from the records as they come. Like the limiters' histories it uses Unix seconds that never step.
"""

from __future__ import annotations

import json
from collections.abc import Iterable
from typing import Any

from cypresspulley.histories.events import Kind
from cypresspulley.histories.writer import AnyHistory
from cypresspulley.rehearsal import records as log
from cypresspulley.rehearsal.scenario import FLEET_KINDS

HARNESS_NAME = "harness"
FAULT_BY_STATE = {
    "killed": "limiter-kill",
    "stopping": "limiter-restart",
}  # the fault that lasts from a limiter's state until it is ready


class HarnessHistory:
    """Converts records to events of a history. Faults that stop a limiter last until it is ready again."""

    def __init__(self, history: AnyHistory, now: float) -> None:
        self._history = history
        self._cached_ids = set[str]()
        self._fault_by_limiter = dict[str, str]()
        self._ended = False
        history.open_life(int(now * 1000))
        history.put(Kind.START, name=HARNESS_NAME, life=int(now * 1000), zone="", period=0.0, bounds={})

    def __repr__(self) -> str:
        return f"<HarnessHistory {self._history!r}, down {sorted(self._fault_by_limiter)}>"

    def put(self, kind: Kind, **facts: Any) -> None:
        if not self._ended:
            self._history.put(kind, **facts)

    def fault(self, kind: str, targets: Iterable[str], on: bool) -> None:
        self.put(Kind.FAULT, kind_of=kind, targets=sorted(targets), on=on)

    def end_run(self) -> None:
        """Mark the end of the run. Nothing that happens during the shutdown is written."""
        self.put(Kind.END, reason="over")
        self._ended = True

    def close(self) -> None:
        self._history.close()

    def record(self, record: log.Record) -> None:
        match record:
            case log.Sent():
                self.put(Kind.CALL, id=record.id, account=record.account, plan=record.plan, cls=record.cls,
                         limiter=record.limiter)  # fmt: skip
            case log.FromKept():
                self._cached_ids.add(record.id)
            case log.Answered():
                cached = record.id in self._cached_ids
                self._cached_ids.discard(record.id)
                made_time = read_made_time(record.body) if record.status == 200 else None
                self.put(Kind.ANSWER, id=record.id, status=record.status, made=made_time, kept=cached)
            case log.Broke() | log.Left():
                self.put(Kind.ANSWER, id=record.id, status=0, made=None, kept=False)
            case log.LimiterState():
                self._record_limiter_state(record)
            case log.Happened() if record.kind not in FLEET_KINDS and not record.kind.startswith("limiter-"):
                self.fault(record.kind, [record.target] if record.target else [], True)
            case _:
                pass

    def _record_limiter_state(self, record: log.LimiterState) -> None:
        if (kind := FAULT_BY_STATE.get(record.what)) is not None:
            self._fault_by_limiter[record.limiter] = kind
            self.fault(kind, [record.limiter], True)
        elif record.what == "ready" and record.limiter in self._fault_by_limiter:
            self.fault(self._fault_by_limiter.pop(record.limiter), [record.limiter], False)


def read_made_time(body: str) -> float | None:
    """Return the Unix time at which a server made an answer, as its body says, or None if it does not."""
    try:
        made_time = json.loads(body)["made"]
        return float(made_time)
    except (ValueError, TypeError, KeyError):
        return None
