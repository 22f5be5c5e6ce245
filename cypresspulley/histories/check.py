"""The registry of history checkers, run over the histories of one play."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

from cypresspulley.histories import check_closing, check_fleet, check_lanes
from cypresspulley.histories.read import Histories
from cypresspulley.histories.verdict import Verdict

CHECKERS: dict[str, Callable[[Histories], Verdict]] = {
    checker.NAME: checker.check for checker in (check_fleet, check_lanes, check_closing)
}


def check_all(histories: Histories, names: Iterable[str]) -> list[Verdict]:
    """Run the named checkers and return their verdicts in that order. Raise ``ValueError`` for an unknown name."""
    wanted = list(names)
    if unknown := [name for name in wanted if name not in CHECKERS]:
        raise ValueError(f"checker {unknown[0]!r}: expected one of {', '.join(CHECKERS)}")
    return [CHECKERS[name](histories) for name in wanted]


def as_json(verdicts: Iterable[Verdict]) -> list[dict[str, Any]]:
    """Return what ``rehearse --json`` writes under ``histories``."""
    return [verdict.as_json() for verdict in verdicts]
