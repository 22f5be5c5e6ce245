"""The checkers' verdicts on a day's histories, as records."""

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

MARK = f'"kind":"{Kind.CALENDAR}"'.encode()
SHOWN = 8  # events of a finding's excerpt


def checked(histories: Histories, names: Iterable[str], at: float) -> list[log.Checked]:
    """Recorded at second ``at`` of the day."""
    return [
        log.Checked(at, one.name, one.checked, tuple(_words(finding) for finding in one.findings))
        for one in check_all(histories, names)
    ]


def calendar_events(folder: Path) -> list[dict[str, Any]]:
    """Events of calendars in a folder's histories so far; a line that is being written is passed over."""
    found = list[dict[str, Any]]()
    for file in sorted(folder.glob(FILE_PATTERN)):
        for line in file.read_bytes().splitlines():
            if MARK in line:
                with contextlib.suppress(msgspec.DecodeError):
                    found.append(msgspec.json.decode(line, type=dict[str, Any]))
    return found


def _words(finding: Finding) -> str:
    """What broke, and below it the events that show it."""
    shown = [repr(line) for line in finding.excerpt[:SHOWN]]
    return "\n".join([f"{finding.promise}: {finding.text}", *shown])
