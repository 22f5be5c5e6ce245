"""Runs the history checkers on the histories of a run and converts their verdicts to records."""

from __future__ import annotations

import contextlib
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import msgspec

from cypresspulley.histories.check import check_all
from cypresspulley.histories.events import Kind
from cypresspulley.histories.read import FILE_PATTERN, Histories
from cypresspulley.histories.verdict import Finding
from cypresspulley.rehearsal import records as log

CALENDAR_MARK = f'"kind":"{Kind.CALENDAR}"'.encode()
MAX_SHOWN_EVENTS = 8  # of a finding's excerpt


def check_histories(histories: Histories, names: Iterable[str], at: float) -> list[log.Checked]:
    """Run the named checkers and return their verdicts as records of second ``at``."""
    return [
        log.Checked(at, one.name, one.checked, tuple(_finding_text(finding) for finding in one.findings))
        for one in check_all(histories, names)
    ]


def calendar_events(folder: Path) -> list[dict[str, Any]]:
    """Return the calendar events in a folder's histories so far, without a line that is still being written."""
    found = list[dict[str, Any]]()
    for file in sorted(folder.glob(FILE_PATTERN)):
        for line in file.read_bytes().splitlines():
            if CALENDAR_MARK in line:
                with contextlib.suppress(msgspec.DecodeError):
                    found.append(msgspec.json.decode(line, type=dict[str, Any]))
    return found


def _finding_text(finding: Finding) -> str:
    """Return the broken promise, followed by the events that show it, one per line."""
    shown = [repr(line) for line in finding.excerpt[:MAX_SHOWN_EVENTS]]
    return "\n".join([f"{finding.promise}: {finding.text}", *shown])
