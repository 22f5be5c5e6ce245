"""Checks that the history checkers detect limiters with one fault each, on days in virtual time.

    python -m benchmarks.together_mutants [--seeds 2] [--jobs 2] [--json FILE]

Each mutant is a patch of the program in a process of its own. The unpatched program runs on the same days and must
pass the checkers. A mutant for which no seed shows a broken promise of its list has escaped: exit code 1. Where either
of two guards is sufficient, the mutant removes both, and its name says so.
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

from benchmarks.together_plays import SCENARIOS
from cypresspulley.closing.bypass import BypassReason, WallClockMonitor
from cypresspulley.closing.calendar import Calendar, Timeline
from cypresspulley.closing.closing_tracker import ClosingTracker
from cypresspulley.closing.lease import Lease
from cypresspulley.closing.purge_coordinator import PurgeCoordinator
from cypresspulley.fleet import detector
from cypresspulley.fleet.detector import Detector
from cypresspulley.fleet.records import MemberState
from cypresspulley.fleet.view import StoredRow, View
from cypresspulley.histories.check import CHECKERS
from cypresspulley.lanes import allocation, shedding_policy


@dataclass(frozen=True)
class Mutant:
    """``patch`` changes the program in this process; a finding of any of ``promises``, which it breaks, detects it."""

    name: str
    scenario: str
    promises: frozenset[str]
    patch: Callable[[], None]


def _incarnation_not_raised() -> None:
    def of_me(self: Detector, claim: Any) -> None:
        me = self.view.local_member
        if claim.life == me.life and claim.rank > me.rank and claim.state >= MemberState.SUSPECTED:
            self._update_self(replace(me, incarnation=claim.incarnation), "refuted")

    Detector._apply_claim_about_self = of_me  # type: ignore[method-assign]


def _death_without_suspicion() -> None:
    def failed(self: Detector, key: str) -> None:
        probe = self._probes.remove(int(key))
        held = self.view.get(probe.target) if probe is not None and probe.accuses else None
        if probe is not None and held is not None and held.life == probe.life and held.state.present:
            self._store_claim(replace(held, state=MemberState.DEAD), "probe", self.view.local_name)

    detector._TIMER_HANDLERS["failed"] = failed


def _old_rows_taken() -> None:
    def merge_row(self: View, now: float, row_record: Any) -> bool:
        if self.get(row_record.owner) is None or row_record.owner == self.local_name:
            return False
        held = self._rows.setdefault(row_record.owner, {}).get(row_record.subsystem)
        if held is not None and (held.version, held.body) >= (row_record.version, row_record.body):
            return False
        self._store_row(
            now,
            row_record.owner,
            row_record.subsystem,
            StoredRow(row_record.life, row_record.version, row_record.body, now, now),
        )
        return True

    View.merge_row = merge_row  # type: ignore[method-assign]


def _floor_ignored() -> None:
    split_capacity = allocation.split_capacity

    def no_floors(lanes: Any, *rest: Any) -> Any:
        return split_capacity([replace(lane, floor=0.0, floor_units=0.0) for lane in lanes], *rest)

    allocation.split_capacity = no_floors  # type: ignore[assignment]


def _excess_first() -> None:
    revise_policy = shedding_policy.revise_policy

    def excess_first(
        before: Any, author: int, ends_at: float, capacity: float, within_quota: Any, over_quota: Any
    ) -> Any:
        return revise_policy(before, author, ends_at, capacity, within_quota, (1.0,) * len(over_quota))

    shedding_policy.revise_policy = excess_first


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


def run_day(number: int | None, scenario: str, seed: int) -> dict[str, Any]:
    """Run one day with a mutant, or with the unpatched program, and return the checker's verdict."""
    if number is not None:
        MUTANTS[number].patch()
    began = time.process_time()
    verdict = CHECKERS[scenario](SCENARIOS[scenario](seed))
    found: dict[str, int] = {}
    for finding in verdict.findings:
        found[finding.promise] = found.get(finding.promise, 0) + 1
    first = verdict.findings[0] if verdict.findings else None
    return {
        "seed": seed, "checked": verdict.checked, "found": found, "cpu": round(time.process_time() - began, 1),
        "shown": [first.text, *map(repr, first.excerpt)] if first is not None else [],
    }  # fmt: skip


def _verdict(number: int | None, days: list[dict[str, Any]]) -> tuple[bool, str]:
    """Return whether the verdict is as expected, and the verdict in a word."""
    if number is None:
        is_expected = all(not day["found"] and day["checked"] for day in days)
        return is_expected, "acquitted" if is_expected else "CONVICTED"
    is_expected = any(MUTANTS[number].promises & set(day["found"]) for day in days)
    return is_expected, "convicted" if is_expected else "ESCAPED"


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--seeds", type=int, default=2)
    parser.add_argument("--jobs", type=int, default=2)
    parser.add_argument("--json", type=Path)
    options = parser.parse_args()
    runs = [(None, scenario) for scenario in SCENARIOS] + [
        (n, mutant.scenario) for n, mutant in enumerate(MUTANTS)
    ]
    rows, all_expected = list[dict[str, Any]](), True
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(options.jobs, mp_context=context, max_tasks_per_child=1) as pool:
        seeds = range(1, options.seeds + 1)
        submitted = [
            [pool.submit(run_day, number, scenario, seed) for seed in seeds] for number, scenario in runs
        ]
        for (number, scenario), futures in zip(runs, submitted, strict=True):
            days = [future.result() for future in futures]
            name = "none" if number is None else MUTANTS[number].name
            is_expected, word = _verdict(number, days)
            all_expected = all_expected and is_expected
            rows.append({"mutant": name, "play": scenario, "verdict": word, "days": days})
            found = "; ".join(", ".join(f"{k} {v}" for k, v in day["found"].items()) or "-" for day in days)
            print(
                f"{scenario:8} {name:58} {word:10} {sum(day['checked'] for day in days):7}  {found}",
                flush=True,
            )
    if options.json:
        options.json.write_text(json.dumps(rows, indent=1) + "\n")
    return 0 if all_expected else 1


if __name__ == "__main__":
    sys.exit(main())
