"""Renders a verdict as a self-contained HTML page, with figures and faults on one time axis."""

from __future__ import annotations

import io
import re
from collections import Counter, defaultdict
from dataclasses import asdict
from importlib.resources import files
from typing import Any

import jinja2
import matplotlib
from matplotlib.axes import Axes
from matplotlib.figure import Figure

from cypresspulley.rehearsal import records as log
from cypresspulley.rehearsal.judge import Verdict
from cypresspulley.rehearsal.report import conclusion
from cypresspulley.rehearsal.rules import Violation
from cypresspulley.rehearsal.service import Row
from cypresspulley.rehearsal.timeline import Timeline

matplotlib.use("svg")

MAX_HISTORIES = 40  # violating requests shown with their records; the log has all
MAX_STEPS = 60  # records per request
COLORS = {
    "served": "#3a7d44",
    "late": "#d8a31a",
    "refused": "#8a8f98",
    "failed": "#b3261e",
    "left": "#c9b8d4",
}
PLAIN_WORDS = {
    "no request lost": "Every request that a running limiter took got exactly one final answer, in time.",
    "no effect twice": "Nothing that may have run was sent again beyond what its class allows.",
    "drains kept": "No new work went to a server past the grace after the limiter was told that it drains.",
    "no cold server pushed over": "No server that had just started was sent more than it bears.",
    "ceilings kept": "No account under a hard ceiling passed it, over all limiters together.",
}


def render(timeline: Timeline, verdict: Verdict) -> str:
    """Return the page. The template escapes all text from requests and answers."""
    environment = jinja2.Environment(autoescape=True, undefined=jinja2.StrictUndefined)
    template = environment.from_string(
        files("cypresspulley.rehearsal").joinpath("page.html.j2").read_text(encoding="utf-8")
    )
    return template.render(
        verdict=verdict, day=verdict.day, service=verdict.service, sentence=conclusion(verdict),
        words=PLAIN_WORDS, chart=chart(verdict), histories=_histories(timeline, verdict), faults=_faults(verdict),
    )  # fmt: skip


def chart(verdict: Verdict) -> str:
    """Plot service, outcomes and faults over time as an SVG element."""
    rows, seconds = verdict.service.rows, verdict.day.seconds
    figure = Figure(figsize=(10, 7.2), layout="constrained")
    axes = figure.subplots(3, 1, sharex=True, height_ratios=[2, 2, 1.4])
    _draw_service(axes[0], rows, seconds, verdict.day.goal)
    _draw_outcomes(axes[1], rows, seconds)
    _draw_faults(axes[2], _faults(verdict))
    axes[0].set_xlim(0, seconds)
    axes[2].set_xlabel("seconds from the start of the day")
    for mark in verdict.faults:
        for axis in axes[:2]:
            axis.axvspan(mark.t, max(mark.until, mark.t + 0.05), color="#f2c6a0", alpha=0.25, lw=0, zorder=0)
    text = io.StringIO()
    figure.savefig(text, format="svg", metadata=dict.fromkeys(("Date", "Type", "Format", "Creator")))
    svg = re.sub(r"^.*?(<svg )", r"\1", text.getvalue(), count=1, flags=re.DOTALL)
    return svg.replace("<svg ", '<svg role="img" aria-label="service, outcomes and faults over time" ', 1)


def _rows_by_second(rows: tuple[Row, ...]) -> dict[int, list[Row]]:
    by_second = defaultdict[int, list[Row]](list)
    for row in rows:
        by_second[int(row.t)].append(row)
    return by_second


def _draw_service(axis: Axes, rows: tuple[Row, ...], seconds: float, goal: float) -> None:
    by_second, points = _rows_by_second(rows), list[tuple[float, float]]()
    for second in range(int(seconds)):
        near = [row for k in (-1, 0, 1) for row in by_second.get(second + k, [])]
        offered = sum(row.offered for row in near)
        if offered > 0:
            points.append((second + 0.5, max(0.0, min(1.0, sum(r.earned for r in near) / offered))))
    axis.plot([t for t, _ in points], [share for _, share in points], color="#3a7d44", lw=1.8)
    axis.axhline(goal, color="#555", lw=0.8, ls="--")
    axis.set_ylim(0, 1.05)
    axis.set_ylabel("service (3 s mean)\ndashed: the goal")


def _draw_outcomes(axis: Axes, rows: tuple[Row, ...], seconds: float) -> None:
    count = max(1, int(seconds))
    per_second = {
        second: Counter(row.outcome for row in found) for second, found in _rows_by_second(rows).items()
    }
    floor = [0.0] * count
    for outcome, color in COLORS.items():
        wanted = ("failed", "unreached") if outcome == "failed" else (outcome,)
        values = [float(sum(per_second.get(s, Counter())[w] for w in wanted)) for s in range(count)]
        axis.bar(
            [s + 0.5 for s in range(count)], values, 1.0, bottom=floor, color=color, label=outcome, zorder=2
        )
        floor = [a + b for a, b in zip(floor, values, strict=True)]
    axis.set_ylim(0, 1.25 * max(1.0, *floor))  # room for the legend above the bars
    axis.set_ylabel("requests a second,\nby how they ended")
    axis.legend(ncols=len(COLORS), fontsize=8, loc="upper left")


def _draw_faults(axis: Axes, faults: list[dict[str, Any]]) -> None:
    for place, fault in enumerate(faults):
        width = max(0.15, fault["until"] - fault["t"])
        axis.barh(-place, width, left=fault["t"], height=0.7, color="#c96f2e")
        axis.annotate(f" {fault['kind']} {fault['targets']:.60}", (fault["t"] + width, -place), va="center",
                      fontsize=7, annotation_clip=True)  # fmt: skip
    axis.set_yticks([])
    axis.set_ylabel("faults")
    axis.set_ylim(-max(1, len(faults)) + 0.4, 0.6)


def _faults(verdict: Verdict) -> list[dict[str, Any]]:
    """Return one row per fault, with all targets that it affected at the same time."""
    rows = dict[tuple[float, float, str], list[str]]()
    for mark in verdict.faults:
        rows.setdefault((round(mark.t, 1), round(mark.until, 1), mark.kind), []).append(mark.target)
    return [
        {"t": t, "until": until, "kind": kind, "targets": ", ".join(filter(None, targets))}
        for (t, until, kind), targets in rows.items()
    ]


def _histories(timeline: Timeline, verdict: Verdict) -> list[dict[str, Any]]:
    """Return the requests behind the violations with their records."""
    shown, seen = list[dict[str, Any]](), set[str]()
    for violation in (v for rule in verdict.rules for v in rule.violations):
        if violation.request in seen or len(shown) >= MAX_HISTORIES:
            continue
        seen.add(violation.request)
        shown.append(_history(timeline, violation))
    return shown


def _history(timeline: Timeline, violation: Violation) -> dict[str, Any]:
    steps = [
        {"t": r.t, "what": type(r).__name__, "facts": _facts(r)}
        for r in timeline.records_of_try(violation.request)[:MAX_STEPS]
    ]
    return {"request": violation.request, "text": violation.text, "steps": steps}


def _facts(record: log.Record) -> str:
    return ", ".join(f"{key} {value}" for key, value in asdict(record).items() if key not in ("t", "id"))
