"""Whether the checkers convict limiters with one fault each, by the histories of days in virtual time.

    python -m benchmarks.together_mutants [--seeds 2] [--jobs 2] [--json FILE]

Each mutant is a patch of the program in a process of its own; the right program is played on the same days and has to
be acquitted. A mutant that no seed convicts of a promise that it breaks has escaped: exit code 1. Where two guards
each hold alone, the mutant has both taken out, and says so.
"""

from __future__ import annotations

import argparse
import json
import multiprocessing
import sys
import time
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from benchmarks.together_plays import PLAYS
from cypresspulley.closing.bypass import BypassReason, WallClockMonitor
from cypresspulley.closing.calendar import Calendar, Timeline
from cypresspulley.closing.closing_tracker import ClosingTracker
from cypresspulley.closing.lease import Lease
from cypresspulley.closing.purge_coordinator import PurgeCoordinator
from cypresspulley.fleet import detector
from cypresspulley.fleet.detector import Detector
from cypresspulley.fleet.records import State
from cypresspulley.fleet.view import Held, View
from cypresspulley.histories.check import CHECKERS
from cypresspulley.lanes import share, spells


@dataclass(frozen=True)
class Mutant:
    """``patch`` changes the program in this process; ``promises`` are those that it breaks, any of which convicts."""

    name: str
    play: str
    promises: frozenset[str]
    patch: Callable[[], None]


def _incarnation_not_raised() -> None:
    def of_me(self: Detector, claim: Any) -> None:
        me = self.view.myself
        if claim.life == me.life and claim.rank > me.rank and claim.state >= State.SUSPECTED:
            self._become(replace(me, incarnation=claim.incarnation), "refuted")

    Detector._take_of_me = of_me  # type: ignore[method-assign]


def _death_without_suspicion() -> None:
    def failed(self: Detector, key: str) -> None:
        probe = self._probes.end(int(key))
        held = self.view.get(probe.target) if probe is not None and probe.counts else None
        if probe is not None and held is not None and held.life == probe.life and held.state.present:
            self._hold(replace(held, state=State.DEAD), "probe", self.view.me)

    detector._TIMERS["failed"] = failed


def _old_rows_taken() -> None:
    def merge_row(self: View, now: float, cell: Any) -> bool:
        if self.get(cell.owner) is None or cell.owner == self.me:
            return False
        held = self._rows.setdefault(cell.owner, {}).get(cell.subsystem)
        if held is not None and (held.version, held.body) >= (cell.version, cell.body):
            return False
        self._hold(now, cell.owner, cell.subsystem, Held(cell.life, cell.version, cell.body, now, now))
        return True

    View.merge_row = merge_row  # type: ignore[method-assign]


def _floor_ignored() -> None:
    fill = share.fill

    def no_floors(lanes: Any, *rest: Any) -> Any:
        return fill([replace(lane, floor=0.0, floor_units=0.0) for lane in lanes], *rest)

    share.fill = no_floors  # type: ignore[assignment]


def _excess_first() -> None:
    revised = spells.revised

    def excess(before: Any, maker: int, until: float, bears: float, inside: Any, beyond: Any) -> Any:
        return revised(before, maker, until, bears, inside, (1.0,) * len(beyond))

    spells.revised = excess


def _lease_without_end() -> None:
    Lease.is_held = lambda self, now: self.expires_at > float("-inf")  # type: ignore[method-assign]


def _no_bypass() -> None:
    Timeline.is_near_closing = lambda self, t, bound: False  # type: ignore[method-assign]


def _time_only() -> None:
    Calendar.generation = lambda self, place, t: 0  # type: ignore[method-assign]


def _refire() -> None:
    notice = ClosingTracker.collect_closings

    def again(self: ClosingTracker, before: Any, after: Any, wall: float) -> Any:
        if self._collected_until is not None and wall < self._collected_until:
            self._collected_until = wall
        return notice(self, before, after, wall)

    ClosingTracker.collect_closings = again  # type: ignore[method-assign]
    WallClockMonitor.check = lambda self, mono, wall, clock_error: BypassReason.NONE  # type: ignore[method-assign]


def _hasty_yes() -> None:
    PurgeCoordinator._find_missing = lambda *_: []  # type: ignore[method-assign]


MUTANTS = (
    Mutant(
        "incarnation not raised", "fleet", frozenset(("no false death", "settled")), _incarnation_not_raised
    ),
    Mutant("death without suspicion", "fleet", frozenset(("suspected first",)), _death_without_suspicion),
    Mutant("rows of an old life taken", "fleet", frozenset(("no old row",)), _old_rows_taken),
    Mutant("floor ignored", "lanes", frozenset(("floor",)), _floor_ignored),
    Mutant("excess let before quota", "lanes", frozenset(("excess first", "no inversion")), _excess_first),
    Mutant(
        "lease never ends", "closing", frozenset(("purged in time", "yes means gone")), _lease_without_end
    ),
    Mutant("bypass at the close left out", "closing", frozenset(("gone at close", "never back")), _no_bypass),
    Mutant(
        "generation compared by time only",
        "closing",
        frozenset(("gone at close", "never back", "one generation")),
        _time_only,
    ),
    Mutant(
        "refire after a clock step (the trust in the clock out too)",
        "closing",
        frozenset(("fired once",)),
        _refire,
    ),
    Mutant("yes before all have it", "closing", frozenset(("yes means gone",)), _hasty_yes),
)


def played(number: int | None, play: str, seed: int) -> dict[str, Any]:
    """One day with a mutant, or with the right program, and what its checker says."""
    if number is not None:
        MUTANTS[number].patch()
    began = time.process_time()
    verdict = CHECKERS[play](PLAYS[play](seed))
    found: dict[str, int] = {}
    for finding in verdict.findings:
        found[finding.promise] = found.get(finding.promise, 0) + 1
    first = verdict.findings[0] if verdict.findings else None
    return {
        "seed": seed, "checked": verdict.checked, "found": found, "cpu": round(time.process_time() - began, 1),
        "shown": [first.text, *map(repr, first.excerpt)] if first is not None else [],
    }  # fmt: skip


def _verdict(number: int | None, days: list[dict[str, Any]]) -> tuple[bool, str]:
    """Whether it is as it has to be, in a word too."""
    if number is None:
        right = all(not day["found"] and day["checked"] for day in days)
        return right, "acquitted" if right else "CONVICTED"
    right = any(MUTANTS[number].promises & set(day["found"]) for day in days)
    return right, "convicted" if right else "ESCAPED"


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--seeds", type=int, default=2)
    parser.add_argument("--jobs", type=int, default=2)
    parser.add_argument("--json", type=Path)
    options = parser.parse_args()
    wanted = [(None, play) for play in PLAYS] + [(n, mutant.play) for n, mutant in enumerate(MUTANTS)]
    rows, right = list[dict[str, Any]](), True
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(options.jobs, mp_context=context, max_tasks_per_child=1) as pool:
        seeds = range(1, options.seeds + 1)
        under_way = [[pool.submit(played, number, play, seed) for seed in seeds] for number, play in wanted]
        for (number, play), futures in zip(wanted, under_way, strict=True):
            days = [future.result() for future in futures]
            name = "none" if number is None else MUTANTS[number].name
            as_wanted, word = _verdict(number, days)
            right = right and as_wanted
            rows.append({"mutant": name, "play": play, "verdict": word, "days": days})
            found = "; ".join(", ".join(f"{k} {v}" for k, v in day["found"].items()) or "-" for day in days)
            print(
                f"{play:8} {name:58} {word:10} {sum(day['checked'] for day in days):7}  {found}", flush=True
            )
    if options.json:
        options.json.write_text(json.dumps(rows, indent=1) + "\n")
    return 0 if right else 1


if __name__ == "__main__":
    sys.exit(main())
