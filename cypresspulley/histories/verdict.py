"""The verdict of a history checker: its findings, each with the few events that prove it."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from cypresspulley.histories.forms import Event
from cypresspulley.histories.read import History

MAX_FINDINGS = 50  # per checker, since a guarantee that breaks once tends to break throughout the play
NOTHING_TO_CHECK = "nothing to check"


@dataclass(frozen=True, slots=True)
class ExcerptLine:
    """One event with the process and life that wrote it."""

    process: str
    life: int
    event: Event

    def as_json(self) -> dict[str, Any]:
        return {"process": self.process, "life": self.life, **msgspec.to_builtins(self.event)}

    def __repr__(self) -> str:
        facts = msgspec.to_builtins(self.event)
        facts_text = ", ".join(
            f"{key}={value}" for key, value in facts.items() if key not in ("seq", "wall", "mono", "kind")
        )
        return f"{facts['mono']:.3f} {self.process} #{facts['seq']} {facts['kind']}: {facts_text}"


def excerpt_line(history: History, event: Event) -> ExcerptLine:
    return ExcerptLine(history.name, history.life, event)


@dataclass(frozen=True, slots=True)
class Finding:
    """A broken guarantee (``promise``), a description, and the events that prove it."""

    promise: str
    text: str
    excerpt: tuple[ExcerptLine, ...] = ()

    @property
    def processes(self) -> tuple[str, ...]:
        return tuple(dict.fromkeys(line.process for line in self.excerpt))

    @property
    def instants(self) -> tuple[float, ...]:
        """The times of the events, in seconds of the monotonic clock."""
        return tuple(line.event.mono for line in self.excerpt)

    def as_json(self) -> dict[str, Any]:
        return {
            "promise": self.promise,
            "text": self.text,
            "processes": list(self.processes),
            "instants": list(self.instants),
            "excerpt": [line.as_json() for line in self.excerpt],
        }


@dataclass(frozen=True, slots=True)
class Verdict:
    """The verdict of one checker. ``checked`` counts the checks made, ``promises`` the same per guarantee."""

    name: str
    checked: int
    findings: tuple[Finding, ...]
    promises: dict[str, int] = field(default_factory=dict)

    @property
    def kept(self) -> bool:
        return not self.findings

    def as_json(self) -> dict[str, Any]:
        """Return the verdict as JSON data. A guarantee with 0 in ``promises`` was not checked at all."""
        findings = [finding.as_json() for finding in self.findings]
        return {
            "name": self.name, "kept": self.kept, "checked": self.checked, "findings": findings,
            "promises": self.promises,
        }  # fmt: skip


class Tally:
    """Counts checks and collects findings while a checker runs."""

    def __init__(self, name: str, promises: Iterable[str]) -> None:
        self._name, self._findings = name, dict[tuple[Any, ...], Finding]()
        self._checks = Counter(dict.fromkeys(promises, 0))

    def count_check(self, promise: str, times: int = 1) -> None:
        self._checks[promise] += times

    def add_finding(self, promise: str, text: str, excerpt: Iterable[ExcerptLine] = ()) -> None:
        """Add a finding. The same text with the same events for the same guarantee counts once."""
        finding = Finding(promise, text, tuple(sorted(excerpt, key=_line_order)))
        key = (promise, text, *((line.process, line.life, line.event.seq) for line in finding.excerpt))
        self._findings.setdefault(key, finding)

    def verdict(self) -> Verdict:
        findings = sorted(self._findings.values(), key=_finding_order)
        checked = sum(self._checks.values())
        if not checked:
            findings.append(
                Finding(NOTHING_TO_CHECK, f"no event here puts a promise of {self._name} to the test")
            )
        return Verdict(
            self._name, checked, tuple(findings[:MAX_FINDINGS]), dict(sorted(self._checks.items()))
        )


def _finding_order(finding: Finding) -> tuple[tuple[float, ...], str, str]:
    return finding.instants[:1], finding.promise, finding.text


def _line_order(line: ExcerptLine) -> tuple[float, str, int]:
    return line.event.mono, line.process, line.event.seq
