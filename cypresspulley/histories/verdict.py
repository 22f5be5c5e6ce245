"""What a checker says: a verdict with findings, each with the few events that show it."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from cypresspulley.histories.forms import Event
from cypresspulley.histories.read import History

MAX_FINDINGS = 50  # of one checker: a broken promise tends to break all day
NOTHING_TO_CHECK = "nothing to check"


@dataclass(frozen=True, slots=True)
class ExcerptLine:
    """One event as its process wrote it."""

    process: str
    life: int
    event: Event

    def as_json(self) -> dict[str, Any]:
        return {"process": self.process, "life": self.life, **msgspec.to_builtins(self.event)}

    def __repr__(self) -> str:
        facts = msgspec.to_builtins(self.event)
        said = ", ".join(
            f"{key}={value}" for key, value in facts.items() if key not in ("seq", "wall", "mono", "kind")
        )
        return f"{facts['mono']:.3f} {self.process} #{facts['seq']} {facts['kind']}: {said}"


def excerpt_line(history: History, event: Event) -> ExcerptLine:
    return ExcerptLine(history.name, history.life, event)


@dataclass(frozen=True, slots=True)
class Finding:
    """A promise that broke: who, when (seconds of the clock that never steps), and the events that show it."""

    promise: str
    text: str
    excerpt: tuple[ExcerptLine, ...] = ()

    @property
    def processes(self) -> tuple[str, ...]:
        return tuple(dict.fromkeys(line.process for line in self.excerpt))

    @property
    def instants(self) -> tuple[float, ...]:
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
    """One checker's. ``checked`` is how many times a promise was put to the test, ``promises`` the same by promise."""

    name: str
    checked: int
    findings: tuple[Finding, ...]
    promises: dict[str, int] = field(default_factory=dict)

    @property
    def kept(self) -> bool:
        return not self.findings

    def as_json(self) -> dict[str, Any]:
        """``promises`` beside the rest: one with 0 was not put to the test, whatever the verdict says of the others."""
        found = [finding.as_json() for finding in self.findings]
        return {
            "name": self.name, "kept": self.kept, "checked": self.checked, "findings": found,
            "promises": self.promises,
        }  # fmt: skip


class Tally:
    """Counts what was checked and gathers what was found, while a checker runs."""

    def __init__(self, name: str, promises: Iterable[str]) -> None:
        self._name, self._found = name, dict[tuple[Any, ...], Finding]()
        self._checked = Counter(dict.fromkeys(promises, 0))

    def count_check(self, promise: str, times: int = 1) -> None:
        self._checked[promise] += times

    def add_finding(self, promise: str, text: str, excerpt: Iterable[ExcerptLine] = ()) -> None:
        """Note a finding; the same events for the same promise count once."""
        finding = Finding(promise, text, tuple(sorted(excerpt, key=_when)))
        key = (promise, text, *((shown.process, shown.life, shown.event.seq) for shown in finding.excerpt))
        self._found.setdefault(key, finding)

    def verdict(self) -> Verdict:
        findings = sorted(self._found.values(), key=_first)
        checked = sum(self._checked.values())
        if not checked:
            findings.append(
                Finding(NOTHING_TO_CHECK, f"no event here puts a promise of {self._name} to the test")
            )
        return Verdict(
            self._name, checked, tuple(findings[:MAX_FINDINGS]), dict(sorted(self._checked.items()))
        )


def _first(finding: Finding) -> tuple[tuple[float, ...], str, str]:
    return finding.instants[:1], finding.promise, finding.text


def _when(shown: ExcerptLine) -> tuple[float, str, int]:
    return shown.event.mono, shown.process, shown.event.seq
