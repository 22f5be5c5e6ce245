"""Runs this build beside an older checkout: mixed fleets, takeovers both ways, and each build on the other's data.

    python -m benchmarks.beside_old CHECKOUT [--scenario NAME ...] [--no-fleets]

Fleets: scenarios are rehearsed on sockets, and every second limiter process is one of the older checkout, alternating
with each restart or upgrade of a limiter, so that a takeover goes from old to new and from new to old. Data: a plan
store, the records of a rehearsal and a HAR capture that one build writes are read by both, and the JSON that they print
has to be the same. Exits with 1 if a row differs or a rehearsal fails.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import subprocess
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from functools import partial
from pathlib import Path
from typing import Any

from click.exceptions import Exit

from cypresspulley.cli import main as command_line

ROOT = Path(__file__).resolve().parent.parent
LIMITER = ("-m", "cypresspulley")
# Membership with load shedding and closing; takeovers; plans with a writer; a slow shared counter.
SCENARIOS = ("wedding-close", "upgrade-under-load", "plan-churn", "slow-keeper")
LOAD = "calm-morning"  # whose records and capture are read
TIMEOUT_SECONDS = 600


class MixedBuilds:
    """Chooses the build of each limiter process by the limiter's number and its start."""

    def __init__(self, older: Path) -> None:
        self._older = older
        self._starts = Counter[str]()
        self.started = Counter[str]()  # processes by build

    def command(self, arguments: tuple[str, ...], environment: dict[str, str]) -> tuple[str, ...]:
        """Return the command in which every second process runs the older build."""
        if tuple(arguments[1:3]) != LIMITER:
            return arguments
        name = environment.get("LB_NAME", "limiter-0")
        number = int(name.rpartition("-")[2]) + self._starts[name]
        self._starts[name] += 1
        self.started["older" if number % 2 else "this"] += 1
        if not number % 2:
            return arguments
        return ("env", "-C", str(self._older), f"PYTHONPATH={self._older}", *arguments)


@contextmanager
def mixed_builds(older: Path) -> Iterator[MixedBuilds]:
    """Start the limiters of rehearsals in this process by turns from either build."""
    start, builds = asyncio.create_subprocess_exec, MixedBuilds(older)

    async def start_mixed(*arguments: str, **options: Any) -> asyncio.subprocess.Process:
        environment = options.get("env") or dict(os.environ)
        return await start(*builds.command(arguments, environment), **options)

    asyncio.create_subprocess_exec = start_mixed  # type: ignore[assignment]
    try:
        yield builds
    finally:
        asyncio.create_subprocess_exec = start


def rehearse_mixed(older: Path, scenario: str, logs: Path) -> bool:
    """Rehearse a scenario with both builds; return whether it passed and each build had processes."""
    with mixed_builds(older) as builds:
        try:
            code = command_line(["rehearse", scenario, "--logs", str(logs)], standalone_mode=False)
        except (SystemExit, Exit) as end:
            code = end.code if isinstance(end, SystemExit) else end.exit_code
    print(f"{scenario}: exit code {code or 0}, processes {dict(builds.started)}", flush=True)
    return not code and set(builds.started) == {"older", "this"}


class Build:
    """The command line of a checkout, run in processes of its own."""

    def __init__(self, name: str, checkout: Path) -> None:
        self.name, self._checkout = name, checkout

    def run(self, *arguments: object) -> tuple[int, str]:
        """Return exit code and standard output of ``fawnseam`` with these arguments."""
        done = subprocess.run(
            [sys.executable, "-m", "cypresspulley.cli", *map(str, arguments)],
            cwd=self._checkout, env={**os.environ, "PYTHONPATH": str(self._checkout)}, text=True,
            capture_output=True, check=False, timeout=TIMEOUT_SECONDS,
        )  # fmt: skip
        return done.returncode, done.stdout


def write_store(build: Build, store: Path, plan: str, rate: float, effective: int) -> None:
    """Add a plan, an account and a reservation to a plan store; the first writer makes it."""
    author = ("--author", "meera", "--reason", "a test of two builds")
    common = ("--store", store, "--installation", "beside", *author)
    terms = ("--plan", plan, "--rate", rate, "--burst", 4 * rate, "--ceiling-rate", 2 * rate)
    change = (*terms, "--ceiling-burst", 8 * rate, "--worth", 2, "--cap", 9, "--effective", effective)
    account = f"{effective:016x}"
    start = effective + 60_000
    for arguments in (
        ("plans", "change", *common, *change),
        ("plans", "assign", *common, "--effective", effective + 1, account, plan),
        ("plans", "reserve", *common, "--start", start, "--end", start + 60_000, "--fleet-rate", 90,
         f"event-{plan}", account, 50),
        ("plans", "release", *common, f"event-{plan}"),
    ):  # fmt: skip
        code, said = build.run(*arguments)
        if code:
            raise RuntimeError(
                f"{build.name}: {' '.join(map(str, arguments))}: exit code {code}: {said[:400]}"
            )


def read_store(build: Build, store: Path, at: int) -> dict[str, str]:
    """Return what a build reads in a plan store. Raises RuntimeError where it cannot."""
    rows = dict[str, str]()
    for arguments in (
        ("check", store, "--json"),
        ("history", store, "small", "--json"),
        ("history", store, f"{at - 10:016x}", "--json"),
        ("show", store, "--at", at, "--json"),
    ):
        code, rows[arguments[0]] = build.run("plans", *arguments)
        if code:
            raise RuntimeError(f"{build.name}: plans {arguments[0]}: exit code {code}")
    return rows


def store_rows(builds: dict[str, Build], folder: Path) -> Iterator[tuple[str, Callable[[Build], Any]]]:
    """A store that both builds write in turn, either of them first."""
    begin = int(time.time() * 1000) + 30_000
    for first, second in (("older", "this"), ("this", "older")):
        store = folder / f"store-{first}"
        write_store(builds[first], store, "small", 2.0, begin)
        yield f"plan store of {first}", partial(read_store, store=store, at=begin + 10)
        write_store(builds[second], store, "large", 5.0, begin + 5)
        yield f"plan store of {first}, then {second}", partial(read_store, store=store, at=begin + 10)


def read_figures(figures: Path, arguments: tuple[object, ...], build: Build) -> tuple[int, object]:
    """Return the exit code and the JSON that a command of a build writes."""
    code, _ = build.run(*arguments, "--json", figures)
    return code, json.loads(figures.read_text())


def log_rows(builds: dict[str, Build], folder: Path) -> Iterator[tuple[str, Callable[[Build], Any]]]:
    """The records of a rehearsal and its HAR capture."""
    for writer, build in builds.items():
        logs, har, figures = folder / f"logs-{writer}", folder / f"{writer}.har", folder / "figures.json"
        code, said = build.run("rehearse", LOAD, "--virtual", "--logs", logs, "--har", har)
        if code:
            raise RuntimeError(f"{writer}: {LOAD}: exit code {code}: {said[-400:]}")
        yield f"records of {writer}", partial(read_figures, figures, ("judge", logs / "records.jsonl"))
        yield f"HAR of {writer}", partial(read_figures, figures, ("capture", "inspect", har))


def same(name: str, read: Callable[[Build], Any], builds: dict[str, Build]) -> bool:
    """Compare what both builds read, and print a row."""
    found = {who: read(build) for who, build in builds.items()}
    equal: bool = found["older"] == found["this"]
    print(f"{name}: {'the same' if equal else f'differs: {found}'}", flush=True)
    return equal


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("checkout", type=Path, help="a checkout of the older build")
    parser.add_argument("--scenario", action="append", help="rehearse this one only")
    parser.add_argument("--no-fleets", action="store_true", help="compare the data only")
    options = parser.parse_args()
    older = options.checkout.resolve()
    builds = {"older": Build("older", older), "this": Build("this", ROOT)}
    passed = list[bool]()
    with tempfile.TemporaryDirectory() as folder:
        for rows in (store_rows, log_rows):
            passed += [same(name, read, builds) for name, read in rows(builds, Path(folder))]
        for scenario in () if options.no_fleets else options.scenario or SCENARIOS:
            passed.append(rehearse_mixed(older, scenario, Path(folder) / scenario))
    print(f"{sum(passed)} of {len(passed)} passed")
    return 0 if all(passed) else 1


if __name__ == "__main__":
    sys.exit(main())
