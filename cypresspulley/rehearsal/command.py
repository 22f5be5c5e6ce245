"""Implements ``fawnseam rehearse`` and ``fawnseam judge``: plays, judges, reports and returns the exit code."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import uvloop
from rich.console import Console
from rich.progress import BarColumn, Progress, TextColumn, TimeElapsedColumn

from cypresspulley.console import check_folders, fail
from cypresspulley.rehearsal import records as log
from cypresspulley.rehearsal.judge import judge_timeline
from cypresspulley.rehearsal.limiters import HarnessError
from cypresspulley.rehearsal.plan import Plan, draw_plan
from cypresspulley.rehearsal.play import ScenarioRunner, play, write_records
from cypresspulley.rehearsal.report import print_verdict
from cypresspulley.rehearsal.scenario import Scenario, ScenarioError, load_scenario, shipped_scenarios
from cypresspulley.rehearsal.timeline import JudgeError, Timeline

EXIT_PASSED = 0
EXIT_FAILED = 1
EXIT_BAD_INPUT = 2
EXIT_HARNESS_ERROR = 3
INTERRUPTED = 130
PLAIN_PROGRESS_SECONDS = 5.0  # between lines of progress without a terminal


@dataclass(frozen=True, slots=True)
class Outputs:
    """The files and folder to write to, each None for no output."""

    json: Path | None
    html: Path | None
    logs: Path | None
    har: Path | None = None

    def check(self) -> None:
        """Check the folders of the outputs, so that a run does not fail only at its end."""
        check_folders(self.json, self.html, self.har)


def list_scenarios() -> int:
    """Print the shipped scenarios, one per line, and return the exit code."""
    console = Console(highlight=False, soft_wrap=True)
    try:
        for name in shipped_scenarios():
            scenario = load_scenario(name)
            console.print(f"{name:22} {scenario.seconds:3.0f} s  {scenario.about}", markup=False)
    except ScenarioError as error:
        return fail(str(error), EXIT_BAD_INPUT)
    return EXIT_PASSED


def check(name: str) -> int:
    """Validate a scenario without playing it, print its plan's digest and return the exit code."""
    try:
        scenario = load_scenario(name)
        scenario, plan = _plan_run(scenario, scenario.seed)
    except ValueError as error:
        return fail(str(error), EXIT_BAD_INPUT)
    print(f"{scenario.name}: good; {len(plan.arrivals)} requests of {len(plan.accounts)} accounts, "
          f"{len(plan.faults)} faults, plan {plan.digest()}")  # fmt: skip
    return EXIT_PASSED


class _ProgressDisplay:
    """Shows progress: a bar on a terminal, otherwise a line every few seconds."""

    def __init__(self, scenario: Scenario) -> None:
        self._seconds, self._next, self._shown_up = scenario.seconds, 0.0, -1
        self._bar: Progress | None = None
        if sys.stderr.isatty():
            columns = (TextColumn("{task.description}"), BarColumn(), TimeElapsedColumn())
            self._bar = Progress(*columns, console=Console(stderr=True), auto_refresh=False)
            self._task = self._bar.add_task(scenario.name, total=scenario.seconds)

    def __enter__(self) -> _ProgressDisplay:
        if self._bar is not None:
            self._bar.start()
        return self

    def __exit__(self, *_: object) -> None:
        if self._bar is not None:
            self._bar.stop()

    def __call__(self, now: float, runner: ScenarioRunner) -> None:
        up = sum(limiter.running for limiter in runner.limiters.values())
        text = f"{up} of {len(runner.limiters)} limiters up, {runner.clients.open} requests open"
        if self._bar is not None:
            at = min(max(0.0, now), self._seconds)
            self._bar.update(self._task, completed=at, description=text, refresh=True)
        elif now >= self._next or up != self._shown_up:
            self._shown_up = up
            print(f"{now:6.1f} s of {self._seconds:g}: {text}", file=sys.stderr)
            self._next = now - now % PLAIN_PROGRESS_SECONDS + PLAIN_PROGRESS_SECONDS


def rehearse(name: str, seed: int | None, outputs: Outputs, virtual: bool = False) -> int:
    """Play a scenario on sockets or in virtual time, report the verdict and return the exit code."""
    try:
        outputs.check()
        scenario = load_scenario(name)
        seed = scenario.seed if seed is None else seed
        scenario, plan = _plan_run(scenario, seed)  # invalid sizes are reported before anything starts
    except ValueError as error:
        return fail(str(error), EXIT_BAD_INPUT)
    return play_and_judge(scenario, plan, outputs, virtual)


def _plan_run(scenario: Scenario, seed: int) -> tuple[Scenario, Plan]:
    if scenario.load.capture is None:
        return scenario, draw_plan(scenario, seed)
    from cypresspulley.capture.planning import plan_captured_load

    return plan_captured_load(scenario, seed)


def play_and_judge(scenario: Scenario, plan: Plan, outputs: Outputs, virtual: bool = False) -> int:
    """Play a plan against its own limiters, report the verdict and return the exit code."""
    records = list[log.Record]()
    if virtual:
        return _play_in_virtual_time(scenario, plan, outputs)

    async def main() -> None:
        loop, playing = asyncio.get_running_loop(), asyncio.current_task()
        assert playing is not None
        for number in (signal.SIGINT, signal.SIGTERM):
            loop.add_signal_handler(number, playing.cancel)
        with _ProgressDisplay(scenario) as display:
            await play(scenario, plan.seed, logs=outputs.logs, progress=display, records=records, plan=plan)

    try:
        uvloop.run(main())
    except HarnessError as error:
        return fail(str(error), EXIT_HARNESS_ERROR)
    except asyncio.CancelledError:
        return _report_interrupted(records)
    return _report_verdict(records, outputs)


def _play_in_virtual_time(scenario: Scenario, plan: Plan, outputs: Outputs) -> int:
    from cypresspulley.rehearsal.virtual.play import digest, play_virtual

    try:
        with _ProgressDisplay(scenario) as display:
            records = play_virtual(scenario, plan.seed, plan, display, logs=outputs.logs)
        if outputs.logs is not None:
            outputs.logs.mkdir(parents=True, exist_ok=True)
            write_records(records, outputs.logs / "records.jsonl")
    except KeyboardInterrupt:
        return INTERRUPTED
    except (HarnessError, OSError) as error:
        return fail(str(error), EXIT_HARNESS_ERROR)
    print(f"trace {digest(records)}")
    return _report_verdict(records, outputs)


def _report_interrupted(records: list[log.Record]) -> int:
    """Print the figures so far, which are not a verdict, and return the exit code."""
    print("fawnseam: interrupted; what was seen so far:", file=sys.stderr)
    try:
        print_verdict(judge_timeline(Timeline(records)))
    except JudgeError:
        print("nothing: the day had not begun", file=sys.stderr)
    return INTERRUPTED


def judge_log(path: Path, outputs: Outputs) -> int:
    """Judge a saved log and return the exit code."""
    try:
        outputs.check()
        with path.open(encoding="utf-8") as file:
            return _report_verdict(list(log.read_log(file, str(path))), outputs)
    except (OSError, UnicodeDecodeError) as error:
        return fail(f"{path}: not readable: {error}", EXIT_BAD_INPUT)
    except ValueError as error:
        return fail(str(error), EXIT_BAD_INPUT)


def _report_verdict(records: list[log.Record], outputs: Outputs) -> int:
    line = Timeline(records)
    verdict = judge_timeline(line)
    print_verdict(verdict)
    try:
        if outputs.json is not None:
            outputs.json.write_text(_json(verdict.as_json()), encoding="utf-8")
        if outputs.har is not None:
            from cypresspulley.capture.har_writer import write_har

            with outputs.har.open("w", encoding="utf-8") as file:
                write_har(records, file)
        if outputs.html is not None:
            from cypresspulley.rehearsal.page import render  # imports matplotlib, which is slow

            outputs.html.write_text(render(line, verdict), encoding="utf-8")
    except OSError as error:
        return fail(f"cannot write {error.filename}: {error.strerror}", EXIT_HARNESS_ERROR)
    if verdict.void:
        return EXIT_HARNESS_ERROR
    return EXIT_PASSED if verdict.passed else EXIT_FAILED


def _json(raw: dict[str, Any]) -> str:
    return json.dumps(raw, indent=1) + "\n"
