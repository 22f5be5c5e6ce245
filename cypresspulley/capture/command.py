"""Implements ``fawnseam capture`` and ``fawnseam replay`` and defines their exit codes."""

from __future__ import annotations

import asyncio
import io
import json
import math
import os
import sys
from pathlib import Path

import jinja2
import uvloop
from matplotlib.figure import Figure
from rich.console import Console
from rich.table import Table

from cypresspulley.capture.arrivals import ReplayOptions
from cypresspulley.capture.load import LoadedCaptures, load_captures
from cypresspulley.capture.mapping import load_mapping
from cypresspulley.capture.model import CaptureError, printable
from cypresspulley.capture.planning import CaptureInput, build_plan, read_captures
from cypresspulley.capture.replay import ReplayReport, percentile, replay_against
from cypresspulley.capture.scrub import MIN_KEY_BYTES, write_scrubbed
from cypresspulley.capture.summary import Summary, summarise
from cypresspulley.console import fail
from cypresspulley.rehearsal import command as rehearsal
from cypresspulley.rehearsal.scenario import Goal, Load, ScenarioError, load_scenario

EXIT_OK = 0
EXIT_BAD_INPUT = 2
EXIT_TOOL_FAILED = 3  # an output could not be written, or the replay failed


def inspect(capture_input: CaptureInput, json_file: Path | None, html: Path | None) -> int:
    """Print a summary of the capture files and return the exit code."""
    try:
        entries, loaded, clocks = read_captures(capture_input)
        summary = summarise(entries, loaded, clocks)
        _print_summary(summary)
        if json_file is not None:
            json_file.write_text(json.dumps(summary.as_json(), indent=1) + "\n", encoding="utf-8")
        if html is not None:
            html.write_text(render_page(summary), encoding="utf-8")
    except CaptureError as error:
        return fail(error, EXIT_BAD_INPUT)
    except OSError as error:
        return fail(error, EXIT_TOOL_FAILED)
    return EXIT_OK


def scrub(capture_input: CaptureInput, out: Path, key: str | None) -> int:
    """Write a capture without secrets and with pseudonymous accounts, and return the exit code."""
    try:
        secret = _load_key(key)
        loaded = load_captures(
            capture_input.files,
            load_mapping(capture_input.mapping),
            capture_input.kind,
            capture_input.notation,
            capture_input.strict,
        )
        with out.open("w", encoding="utf-8") as file:
            count = write_scrubbed(sorted(loaded.entries, key=lambda e: e.t), secret, file)
    except CaptureError as error:
        return fail(error, EXIT_BAD_INPUT)
    except OSError as error:
        return fail(error, EXIT_TOOL_FAILED)
    _print_unread(loaded)
    print(f"{count} requests written to {out}", file=sys.stderr)
    return EXIT_OK


def _load_key(path: str | None) -> bytes:
    """Return the hash key for pseudonyms: the file's bytes, or a random key that is not stored.

    Raises ``CaptureError`` if the file is unreadable or its key is not ``MIN_KEY_BYTES`` to 64 bytes long.
    """
    if path is None:
        return os.urandom(32)
    try:
        key = Path(path).read_bytes().strip()
    except OSError as error:
        raise CaptureError(f"{path}: not readable: {error.strerror}") from None
    if not MIN_KEY_BYTES <= len(key) <= 64:
        raise CaptureError(f"{path}: a key of {len(key)} bytes; expected {MIN_KEY_BYTES} to 64")
    return key


def _print_unread(loaded: LoadedCaptures) -> None:
    for record in loaded.unreadable:
        print(
            f"fawnseam: not read: {printable(record.location)}: {printable(record.reason)}", file=sys.stderr
        )
    for name, count in loaded.unreadable_counts.items():
        print(f"fawnseam: {printable(name)}: {count} lines or entries were not read", file=sys.stderr)
    for reason, count in loaded.unmapped.most_common(10):
        print(f"fawnseam: not mapped, {count} times: {reason}", file=sys.stderr)


def _print_summary(summary: Summary) -> None:
    console = Console(highlight=False, markup=False, soft_wrap=True)
    span = summary.last - summary.first
    console.print(f"{summary.tries} tries of {summary.requests} requests over {span:.1f} s; "
                  f"{summary.retries} retries, {summary.accounts} accounts")  # fmt: skip
    for title, table in (("class", summary.by_class), ("plan", summary.by_plan), ("status", summary.by_status),
                         ("busiest accounts", dict(summary.top[:5]))):  # fmt: skip
        rendered = Table(title, "tries", box=None, pad_edge=False)
        for name, count in table.items():
            rendered.add_row(name, str(count))
        console.print(rendered)
    for clock in summary.clocks[1:]:
        error = f"+-{clock.error * 1000:.1f} ms" if math.isfinite(clock.error) else "unknown: nothing shared"
        drift = f"{clock.drift * 1e6:.0f} ppm" if math.isfinite(clock.error) else "-"
        console.print(
            f"clock of {printable(clock.source)}: add {clock.offset:.3f} s ({error}), drift {drift}"
        )
    for name, count in summary.broken.items():
        console.print(f"not read: {count} in {name}")
    for location, problem in summary.places[:10]:
        console.print(f"  {location}: {problem}")
    for reason, count in summary.unmapped.items():
        console.print(f"not mapped, {count} times: {reason}")


PAGE = """<!doctype html><html lang="en"><head><meta charset="utf-8"><title>Capture</title><style>
body { font: 15px/1.45 system-ui, sans-serif; max-width: 60rem; margin: 2rem auto; padding: 0 1rem }
td, th { padding: .15rem .9rem .15rem 0; text-align: left } td + td { text-align: right }
svg { width: 100%; height: auto } .side { display: flex; flex-wrap: wrap; gap: 3rem }
</style></head><body><h1>Capture</h1>
<p>{{ s.tries }} tries of {{ s.requests }} requests, {{ s.retries }} retries, {{ s.accounts }} accounts,
{{ "%.1f" | format(s.last - s.first) }} s.</p>{{ chart | safe }}
<div class="side">{% for title, table in tables %}<div><h2>{{ title }}</h2><table>
{% for name, n in table.items() %}<tr><td>{{ name }}</td><td>{{ n }}</td></tr>
{% else %}<tr><td>nothing</td></tr>{% endfor %}</table></div>
{% endfor %}</div>
{% if s.clocks | length > 1 %}<h2>Clocks, against {{ s.clocks[0].source }}</h2><table>
<tr><th>source</th><th>add, s</th><th>error, ms</th><th>drift, ppm</th></tr>{% for c in s.clocks[1:] %}
<tr><td>{{ c.source }}</td><td>{{ "%.3f" | format(c.offset) }}</td><td>{{ "%.1f" | format(c.error * 1000) }}</td>
<td>{{ "%.0f" | format(c.drift * 1e6) }}</td></tr>{% endfor %}</table>{% endif %}
{% if s.places %}<h2>Not read</h2><table>{% for place, why in s.places %}
<tr><td>{{ place }}</td><td>{{ why }}</td></tr>{% endfor %}</table>{% endif %}</body></html>
"""


def render_page(summary: Summary) -> str:
    """The summary as one self-contained page."""
    figure = Figure(figsize=(10, 3), layout="constrained")
    axis = figure.subplots()
    axis.step([t for t, _ in summary.rate], [n for _, n in summary.rate], where="post", color="#3a7d44")
    axis.set_xlabel("seconds from the first request")
    axis.set_ylabel("tries a second")
    axis.set_ylim(bottom=0)
    text = io.StringIO()
    figure.savefig(text, format="svg", metadata=dict.fromkeys(("Date", "Type", "Format", "Creator")))
    svg = text.getvalue()
    tables = [
        ("Classes", summary.by_class), ("Plans", summary.by_plan), ("Statuses", summary.by_status),
        ("Busiest accounts", dict(summary.top)), ("Not mapped", summary.unmapped),
    ]  # fmt: skip
    environment = jinja2.Environment(autoescape=True, undefined=jinja2.StrictUndefined)
    return environment.from_string(PAGE).render(s=summary, chart=svg[svg.index("<svg") :], tables=tables)


def replay(
    capture_input: CaptureInput,
    replay_options: ReplayOptions,
    seed: int,
    scenario: str,
    targets: tuple[str, ...],
    outputs: rehearsal.Outputs,
) -> int:
    """Replay captures against the rehearsal's own processes or running limiters, and return the exit code."""
    try:
        outputs.check()
        entries, loaded, _ = read_captures(capture_input)
        _print_unread(loaded)
        base = load_scenario(scenario)
        empty_scenario = base.model_copy(update={"name": "replay", "load": Load(), "goal": Goal()})
        replay_scenario, plan = build_plan(entries, empty_scenario, replay_options, seed)
    except (CaptureError, ScenarioError) as error:
        return fail(error, EXIT_BAD_INPUT)
    if not targets:
        return rehearsal.play_and_judge(replay_scenario, plan, outputs)
    try:
        report = uvloop.run(replay_against(replay_scenario, plan, targets))
    except (CaptureError, OSError) as error:
        return fail(error, EXIT_TOOL_FAILED)
    except asyncio.CancelledError:
        return rehearsal.INTERRUPTED
    _print_report(report)
    if outputs.json is not None:
        outputs.json.write_text(json.dumps(report.as_json(), indent=1) + "\n", encoding="utf-8")
    return EXIT_OK


def _print_report(report: ReplayReport) -> None:
    late = report.late
    print(f"{report.sent} tries sent, {report.unreached} reached nobody; late p50 {percentile(late, 50):.1f} ms, "
          f"p99 {percentile(late, 99):.1f} ms, worst {max(late, default=0.0):.1f} ms")  # fmt: skip
    print("answers: " + ", ".join(f"{status} {n}" for status, n in sorted(report.statuses.items())))
    print(f"latency p50 {percentile(report.latency, 50):.1f} ms, p99 {percentile(report.latency, 99):.1f} ms")
