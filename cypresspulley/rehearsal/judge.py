"""The judge computes a verdict from records, without I/O. Judging a saved log gives the same verdict again."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import asdict, dataclass
from typing import Any

from cypresspulley.rehearsal import records as log
from cypresspulley.rehearsal.rules import RuleVerdict, Violation, judge_rules
from cypresspulley.rehearsal.service import Service, measure
from cypresspulley.rehearsal.timeline import Timeline

# Heartbeats of the rehearsal process that are later than this void the run, because the measured delays may be its own.
MAX_LATE_P99_SECONDS = 0.03  # seconds, of the 99th percentile of the heartbeats
MAX_LATE_SECONDS = 0.4  # seconds, of a single heartbeat
MIN_HEARTBEATS = 20  # with fewer, a single stall at the start decides the percentile
MAX_SHOWN_GAPS = 20


@dataclass(frozen=True, slots=True)
class Verdict:
    """The result of a run.

    ``void`` says why the run is invalid, and ``crash`` which limiter exited unexpectedly. Both are "" by default.
    """

    day: log.Day
    rules: tuple[RuleVerdict, ...]
    service: Service
    void: str
    crash: str
    gaps: tuple[str, ...]
    late_p99: float
    late_max: float
    faults: tuple[log.Happened, ...]
    limiters: tuple[log.Usage, ...]
    kills: int
    histories: tuple[log.Checked, ...] = ()
    wanted: tuple[log.Wanted, ...] = ()

    @property
    def kept(self) -> bool:
        """Whether no rule is broken and the history checkers found nothing."""
        return all(rule.kept for rule in self.rules) and not any(
            history.findings for history in self.histories
        )

    @property
    def passed(self) -> bool:
        """Whether the run is valid, all rules were kept and the scenario's goals were reached."""
        return not self.void and not self.crash and self.kept and not self.missed_goals

    @property
    def missed_goals(self) -> tuple[str, ...]:
        """The goals that were missed, each as text for people."""
        figures = [("service", self.service.service, self.day.goal)]
        figures += [(r.plan, self.service.by_plan.get(r.plan, 1.0), r.service) for r in self.wanted]
        return tuple(f"{name} {got:.3f} is under {goal:.2f}" for name, got, goal in figures if got < goal)

    @property
    def lost_requests(self) -> int:
        return len({v.request for v in self.rules[0].violations})

    def as_json(self) -> dict[str, Any]:
        """Return the object that ``--json`` writes."""
        return {
            "scenario": self.day.scenario, "seed": self.day.seed, "plan": self.day.digest,
            "service": round(self.service.service, 4), "goal": self.day.goal, "met": self.passed,
            "void": self.void, "crash": self.crash, "whole": round(self.service.whole, 4),
            "service_by_class": _rounded(self.service.by_class),
            "service_by_plan": _rounded(self.service.by_plan),
            "worst_10s": {"service": round(self.service.worst_10s, 4), "from": self.service.worst_10s_at},
            "prices": _rounded(self.service.prices),
            "rules": [
                {"rule": rule.rule, "kept": rule.kept, "checked": rule.checked,
                 "violations": [_violation_json(v) for v in rule.violations]}
                for rule in self.rules
            ],
            **({"histories": [_history_json(history) for history in self.histories]} if self.histories else {}),
            "counts": {**self.service.counts, "lost": self.lost_requests},
            "faults": [asdict(fault) for fault in self.faults],
            "limiters": {u.limiter: {"cpu_seconds": round(u.cpu_seconds, 3) if u.measured else None,
                                     "memory_mb": round(u.memory_mb, 1) if u.measured else None,
                                     "restarts": u.restarts} for u in self.limiters},
            "kit": {"late_p99_ms": round(self.late_p99 * 1000, 1),
                    "late_max_ms": round(self.late_max * 1000, 1), "gaps": list(self.gaps)},
        }  # fmt: skip


def _rounded(table: dict[str, float]) -> dict[str, float]:
    return {key: round(value, 4) for key, value in table.items()}


def _history_json(history: log.Checked) -> dict[str, Any]:
    return {
        "name": history.name,
        "kept": not history.findings,
        "checked": history.checked,
        "findings": list(history.findings),
    }


def _violation_json(v: Violation) -> dict[str, Any]:
    return {"time": round(v.t, 4), "limiter": v.limiter, "request": v.request, "text": v.text}


def judge(records: Iterable[log.Record]) -> Verdict:
    """Judge the records of a run. Raise ``JudgeError`` if they are not a valid log."""
    return judge_timeline(Timeline(records))


def judge_timeline(timeline: Timeline) -> Verdict:
    heartbeats = sorted(r.late for r in timeline.records if isinstance(r, log.Lateness))
    # Below 100 heartbeats the 99th percentile would be the maximum, which has a limit of its own.
    late_p99 = (
        heartbeats[max(0, min(len(heartbeats) - 2, int(0.99 * len(heartbeats))))] if heartbeats else 0.0
    )
    late_max = heartbeats[-1] if heartbeats else 0.0
    return Verdict(
        day=timeline.day, rules=judge_rules(timeline), service=measure(timeline),
        void=_void_reason(timeline, late_p99 if len(heartbeats) >= MIN_HEARTBEATS else 0.0, late_max),
        crash=_crash_report(timeline), gaps=tuple(timeline.gaps[:MAX_SHOWN_GAPS]), late_p99=late_p99, late_max=late_max,
        faults=tuple(r for r in timeline.records if isinstance(r, log.Happened)),
        limiters=tuple(r for r in timeline.records if isinstance(r, log.Usage)),
        kills=sum(isinstance(r, log.LimiterState) and r.what == "killed" for r in timeline.records),
        histories=tuple(r for r in timeline.records if isinstance(r, log.Checked)),
        wanted=tuple(r for r in timeline.records if isinstance(r, log.Wanted)),
    )  # fmt: skip


def _void_reason(timeline: Timeline, late_p99: float, late_max: float) -> str:
    for r in timeline.records:
        if isinstance(r, log.Complaint):
            return r.text
    if late_p99 > MAX_LATE_P99_SECONDS or late_max > MAX_LATE_SECONDS:
        late = f"99th percentile {late_p99 * 1000:.0f} ms, once {late_max * 1000:.0f} ms"
        return f"the kit ran late ({late}): give it idle cores"
    return f"the log has gaps: {timeline.gaps[0]}" if timeline.gaps else ""


def _crash_report(timeline: Timeline) -> str:
    for r in timeline.records:
        if isinstance(r, log.LimiterState) and r.what == "crashed":
            return f"{r.limiter} ended by itself with code {r.code} at {r.t:.2f} s: see its log"
    return ""
