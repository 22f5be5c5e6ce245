"""What ``fawnseam rehearse`` and ``fawnseam judge`` do: play, judge, show; their exit codes."""

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
from cypresspulley.rehearsal.limiters import KitError
from cypresspulley.rehearsal.plan import Plan, draw
from cypresspulley.rehearsal.play import Director, keep, play
from cypresspulley.rehearsal.report import print_verdict
from cypresspulley.rehearsal.scenario import Scenario, ScenarioError, load_scenario, shipped
from cypresspulley.rehearsal.timeline import JudgeError, Timeline

KEPT, MISSED, BAD_INPUT, BROKEN_KIT, INTERRUPTED = 0, 1, 2, 3, 130
PLAIN_EVERY = 5.0  # seconds between two lines of progress where there is no terminal


@dataclass(frozen=True, slots=True)
class Outputs:
    """Where to write; None for nowhere."""

    json: Path | None
    html: Path | None
    logs: Path | None
    har: Path | None = None

    def check(self) -> None:
        """Fail before the day is played, not after it."""
        check_folders(self.json, self.html, self.har)


def list_scenarios() -> int:
    """Print the shipped scenarios, a line each."""
    console = Console(highlight=False, soft_wrap=True)
    try:
        for name in shipped():
            scenario = load_scenario(name)
            console.print(f"{name:22} {scenario.seconds:3.0f} s  {scenario.about}", markup=False)
    except ScenarioError as error:
        return fail(str(error), BAD_INPUT)
    return KEPT


def check(name: str) -> int:
    """Validate a scenario without playing; prints its plan's digest."""
    try:
        scenario = load_scenario(name)
        scenario, plan = _planned(scenario, scenario.seed)
    except ValueError as error:
        return fail(str(error), BAD_INPUT)
    print(f"{scenario.name}: good; {len(plan.arrivals)} requests of {len(plan.accounts)} accounts, "
          f"{len(plan.faults)} faults, plan {plan.digest()}")  # fmt: skip
    return KEPT


class _Shown:
    """Progress: a bar on a terminal, a plain line now and then elsewhere."""

    def __init__(self, scenario: Scenario) -> None:
        self._seconds, self._next, self._up = scenario.seconds, 0.0, -1
        self._bar: Progress | None = None
        if sys.stderr.isatty():
            columns = (TextColumn("{task.description}"), BarColumn(), TimeElapsedColumn())
            self._bar = Progress(*columns, console=Console(stderr=True), auto_refresh=False)
            self._task = self._bar.add_task(scenario.name, total=scenario.seconds)

    def __enter__(self) -> _Shown:
        if self._bar is not None:
            self._bar.start()
        return self

    def __exit__(self, *_: object) -> None:
        if self._bar is not None:
            self._bar.stop()

    def __call__(self, now: float, director: Director) -> None:
        up = sum(limiter.running for limiter in director.limiters.values())
        text = f"{up} of {len(director.limiters)} limiters up, {director.clients.open} requests open"
        if self._bar is not None:
            at = min(max(0.0, now), self._seconds)
            self._bar.update(self._task, completed=at, description=text, refresh=True)
        elif now >= self._next or up != self._up:
            self._up = up
            print(f"{now:6.1f} s of {self._seconds:g}: {text}", file=sys.stderr)
            self._next = now - now % PLAIN_EVERY + PLAIN_EVERY


def rehearse(name: str, seed: int | None, outputs: Outputs, virtual: bool = False) -> int:
    """Play a scenario, on sockets or in virtual time, print and write what came of it; the exit code."""
    try:
        outputs.check()
        scenario = load_scenario(name)
        seed = scenario.seed if seed is None else seed
        scenario, plan = _planned(scenario, seed)  # bad sizes are bad input, said before anything starts
    except ValueError as error:
        return fail(str(error), BAD_INPUT)
    return play_and_judge(scenario, plan, outputs, virtual)


def _planned(scenario: Scenario, seed: int) -> tuple[Scenario, Plan]:
    if scenario.load.capture is None:
        return scenario, draw(scenario, seed)
    from cypresspulley.capture.planning import plan_captured_load

    return plan_captured_load(scenario, seed)


def play_and_judge(scenario: Scenario, plan: Plan, outputs: Outputs, virtual: bool = False) -> int:
    """Play a plan against limiters of its own, judge it, write what was asked for; the exit code."""
    records = list[log.Record]()
    if virtual:
        return _play_in_virtual_time(scenario, plan, outputs)

    async def main() -> None:
        loop, playing = asyncio.get_running_loop(), asyncio.current_task()
        assert playing is not None
        for number in (signal.SIGINT, signal.SIGTERM):
            loop.add_signal_handler(number, playing.cancel)
        with _Shown(scenario) as shown:
            await play(scenario, plan.seed, logs=outputs.logs, progress=shown, records=records, plan=plan)

    try:
        uvloop.run(main())
    except KitError as error:
        return fail(str(error), BROKEN_KIT)
    except asyncio.CancelledError:
        return _interrupted(records)
    return _conclude(records, outputs)


def _play_in_virtual_time(scenario: Scenario, plan: Plan, outputs: Outputs) -> int:
    from cypresspulley.rehearsal.virtual.play import digest, play_virtual

    try:
        with _Shown(scenario) as shown:
            records = play_virtual(scenario, plan.seed, plan, shown, logs=outputs.logs)
        if outputs.logs is not None:
            outputs.logs.mkdir(parents=True, exist_ok=True)
            keep(records, outputs.logs / "records.jsonl")
    except KeyboardInterrupt:
        return INTERRUPTED
    except (KitError, OSError) as error:
        return fail(str(error), BROKEN_KIT)
    print(f"trace {digest(records)}")
    return _conclude(records, outputs)


def _interrupted(records: list[log.Record]) -> int:
    """Say what was seen so far; nothing is concluded from it."""
    print("fawnseam: interrupted; what was seen so far:", file=sys.stderr)
    try:
        print_verdict(judge_timeline(Timeline(records)))
    except JudgeError:
        print("nothing: the day had not begun", file=sys.stderr)
    return INTERRUPTED


def judge_log(path: Path, outputs: Outputs) -> int:
    """Judge a kept log; the exit code."""
    try:
        outputs.check()
        with path.open(encoding="utf-8") as file:
            return _conclude(list(log.read_log(file, str(path))), outputs)
    except (OSError, UnicodeDecodeError) as error:
        return fail(f"{path}: not readable: {error}", BAD_INPUT)
    except ValueError as error:
        return fail(str(error), BAD_INPUT)


def _conclude(records: list[log.Record], outputs: Outputs) -> int:
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
            from cypresspulley.rehearsal.page import render  # plots load slowly

            outputs.html.write_text(render(line, verdict), encoding="utf-8")
    except OSError as error:
        return fail(f"cannot write {error.filename}: {error.strerror}", BROKEN_KIT)
    if verdict.void:
        return BROKEN_KIT
    return KEPT if verdict.met else MISSED


def _json(raw: dict[str, Any]) -> str:
    return json.dumps(raw, indent=1) + "\n"
