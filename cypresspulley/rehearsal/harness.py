"""The kit's own history of a day: what clients asked and got, what befell limiters, and what is true of the day.

Written from the records as they come, on the clock that limiters' histories have too: Unix seconds that never step.
"""

from __future__ import annotations

import json
from collections.abc import Iterable
from typing import Any

from cypresspulley.histories.events import Kind
from cypresspulley.histories.writer import AnyHistory
from cypresspulley.rehearsal import records as log
from cypresspulley.rehearsal.scenario import FLEET

NAME = "harness"
ENDING = {
    "killed": "limiter-kill",
    "stopping": "limiter-restart",
}  # that a limiter's state begins, until it is ready


class Harness:
    """Puts records into a history. Faults that end a limiter last until it is ready again."""

    def __init__(self, history: AnyHistory, now: float) -> None:
        self._history = history
        self._kept = set[str]()
        self._down = dict[str, str]()
        self._over = False
        history.open_life(int(now * 1000))
        history.put(Kind.START, name=NAME, life=int(now * 1000), zone="", period=0.0, bounds={})

    def __repr__(self) -> str:
        return f"<Harness {self._history!r}, down {sorted(self._down)}>"

    def put(self, kind: Kind, **facts: Any) -> None:
        if not self._over:
            self._history.put(kind, **facts)

    def fault(self, kind: str, targets: Iterable[str], on: bool) -> None:
        self.put(Kind.FAULT, kind_of=kind, targets=sorted(targets), on=on)

    def over(self) -> None:
        """The day is over: what limiters do from here on is their end."""
        self.put(Kind.END, reason="over")
        self._over = True

    def close(self) -> None:
        self._history.close()

    def record(self, record: log.Record) -> None:
        match record:
            case log.Sent():
                self.put(Kind.CALL, id=record.id, account=record.account, plan=record.plan, cls=record.cls,
                         limiter=record.limiter)  # fmt: skip
            case log.FromKept():
                self._kept.add(record.id)
            case log.Answered():
                kept = record.id in self._kept
                self._kept.discard(record.id)
                made = made_at(record.body) if record.status == 200 else None
                self.put(Kind.ANSWER, id=record.id, status=record.status, made=made, kept=kept)
            case log.Broke() | log.Left():
                self.put(Kind.ANSWER, id=record.id, status=0, made=None, kept=False)
            case log.LimiterState():
                self._state(record)
            case log.Happened() if record.kind not in FLEET and not record.kind.startswith("limiter-"):
                self.fault(record.kind, [record.target] if record.target else [], True)
            case _:
                pass

    def _state(self, record: log.LimiterState) -> None:
        if (kind := ENDING.get(record.what)) is not None:
            self._down[record.limiter] = kind
            self.fault(kind, [record.limiter], True)
        elif record.what == "ready" and record.limiter in self._down:
            self.fault(self._down.pop(record.limiter), [record.limiter], False)


def made_at(body: str) -> float | None:
    """When a server made an answer, as it says in it; Unix seconds."""
    try:
        made = json.loads(body)["made"]
        return float(made)
    except (ValueError, TypeError, KeyError):
        return None
