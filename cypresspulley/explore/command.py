"""The ``fawnseam explore`` command and its exit codes."""

from __future__ import annotations

import json
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from rich.console import Console

from cypresspulley.console import check_folders, fail
from cypresspulley.explore.examine import examine
from cypresspulley.explore.search import SearchOptions, SearchResult, search, write_scenario
from cypresspulley.rehearsal.scenario import Scenario, load_scenario, shipped_scenarios

NONE_FOUND, FOUND, INVALID_INPUT, OUTPUT_FAILED, INTERRUPTED = 0, 1, 2, 3, 130
MAX_UNMET_SHOWN = 12


@dataclass(frozen=True, slots=True)
class Outputs:
    """Output paths: failing scenarios go to the folder ``out``; None skips the JSON report or the plot."""

    out: Path
    json: Path | None = None
    png: Path | None = None


def explore(name: str, options: SearchOptions, outputs: Outputs) -> int:
    """Search a scenario, or with ``all`` every shipped one, and return the exit code."""
    results = list[SearchResult]()
    try:
        check_folders(outputs.json, outputs.png)
        scenarios = [load_scenario(each) for each in (shipped_scenarios() if name == "all" else [name])]
        if name == "all":  # virtual time runs in one process, so scenarios that need several are skipped
            scenarios = [each for each in scenarios if not each.on_sockets_only]
        outputs.out.mkdir(parents=True, exist_ok=True)
        for scenario in scenarios:
            results.append(search(scenario, options, _show_progress))
            _report(results[-1], outputs.out)
        _write_outputs(results, outputs)
    except ValueError as error:
        return fail(error, INVALID_INPUT)
    except KeyboardInterrupt:
        return fail("interrupted; nothing is concluded", INTERRUPTED)
    except OSError as error:
        return fail(f"cannot write {error.filename}: {error.strerror}", OUTPUT_FAILED)
    return FOUND if any(result.found for result in results) else NONE_FOUND


def replay(name: str) -> int:
    """Play one scenario file unchanged with all checks of the search and return the exit code."""
    try:
        scenario: Scenario = load_scenario(name)
        played = examine(scenario)
    except ValueError as error:
        return fail(error, INVALID_INPUT)
    except KeyboardInterrupt:
        return INTERRUPTED
    for failure in played.failures:
        print(f"{failure.category}: {failure.text}")
    print(f"trace {played.digest}: {len(played.failures) or 'nothing'} found in {played.tries} tries")
    return FOUND if played.failures else NONE_FOUND


def _show_progress(result: SearchResult) -> None:
    coverage = result.coverage.as_json()
    text = (
        f"{result.name}: {result.seeds} seeds, {result.tries} tries, {result.simulated_seconds:.0f} s simulated in "
        f"{result.wall_seconds:.0f} s; {coverage['pairs_met']} of {coverage['pairs']} pairs met; "
        f"{len(result.found)} found"
    )
    print(
        f"\r{text}" if sys.stderr.isatty() else text, end="" if sys.stderr.isatty() else "\n", file=sys.stderr
    )


def _report(result: SearchResult, folder: Path) -> None:
    console = Console(highlight=False, markup=False, soft_wrap=True)
    print(file=sys.stderr)
    console.print(
        f"{result.name}: {result.seeds} seeds, {result.tries} tries, "
        f"{result.simulated_seconds / max(1e-9, result.wall_seconds):.0f} simulated seconds a second"
    )
    for category, count in sorted(result.categories.items()):
        console.print(f"  {category}: on {count} of {result.seeds} seeds")
    for found in result.found:
        path = write_scenario(found, folder)
        console.print(f"  FOUND {found.failure.category}, seed {found.seed}: {found.failure.text}")
        console.print(f"    shrunk by {found.plays} plays to {found.size}: {path}")
    unmet = result.coverage.unmet_pairs()
    if unmet:
        shown = "; ".join(f"{name} x {kind}" for name, kind in unmet[:MAX_UNMET_SHOWN])
        console.print(f"  never met, {len(unmet)} pairs: {shown}{' ...' * (len(unmet) > MAX_UNMET_SHOWN)}")
    if not result.found:
        console.print("  nothing found")


def _write_outputs(results: list[SearchResult], outputs: Outputs) -> None:
    if outputs.json is not None:
        outputs.json.write_text(
            json.dumps([_result_json(r) for r in results], indent=1) + "\n", encoding="utf-8"
        )
    if outputs.png is not None:
        from cypresspulley.explore.plot import draw  # imported here because matplotlib loads slowly

        draw([result.coverage for result in results], outputs.png)


def _result_json(result: SearchResult) -> dict[str, Any]:
    return {
        "scenario": result.name, "seeds": result.seeds, "tries": result.tries,
        "simulated_seconds": round(result.simulated_seconds, 1), "wall_seconds": round(result.wall_seconds, 1),
        "sorts": dict(result.categories),
        "found": [
            {"seed": f.seed, "sort": f.failure.category, "text": f.failure.text, "size": f.size} for f in result.found
        ],
        "coverage": result.coverage.as_json(),
    }  # fmt: skip
