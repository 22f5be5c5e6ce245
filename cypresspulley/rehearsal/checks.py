"""The checkers' verdicts on a day's histories, as records."""

from __future__ import annotations

from collections.abc import Iterable

from cypresspulley.histories.check import check_all
from cypresspulley.histories.read import Histories
from cypresspulley.histories.verdict import Finding
from cypresspulley.rehearsal import records as log

SHOWN = 8  # events of a finding's excerpt


def checked(histories: Histories, names: Iterable[str], at: float) -> list[log.Checked]:
    """Recorded at second ``at`` of the day."""
    return [
        log.Checked(at, one.name, one.checked, tuple(_words(finding) for finding in one.findings))
        for one in check_all(histories, names)
    ]


def _words(finding: Finding) -> str:
    """What broke, and below it the events that show it."""
    shown = [repr(line) for line in finding.excerpt[:SHOWN]]
    return "\n".join([f"{finding.promise}: {finding.text}", *shown])
