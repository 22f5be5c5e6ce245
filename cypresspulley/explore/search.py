"""Searches a scenario for failures in rounds of seeds spread over worker processes.

The coverage of past rounds weights the faults drawn in the next one. The failure of the lowest seed is shrunk.
"""

from __future__ import annotations

import multiprocessing
import time
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from concurrent.futures import ProcessPoolExecutor
from contextlib import contextmanager
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path

import tomli_w

from cypresspulley.explore.coverage import Coverage
from cypresspulley.explore.examine import Failure, PlayResult, examine
from cypresspulley.explore.schedule import draw_scenario, drawable_kinds, scale_down, to_raw
from cypresspulley.explore.shrink import describe_size, shrink
from cypresspulley.rehearsal.scenario import Scenario

SEEDS_PER_ROUND = (
    64  # independent of the number of processes, so that the same faults are drawn for any number
)
SEEDS_PER_TASK = 4
MAX_FAILURES = 20


@dataclass(frozen=True, slots=True)
class SearchOptions:
    """The extent of a search. With ``minutes`` 0 it runs until the seeds are used up."""

    seeds: int = 1000
    first: int = 0
    jobs: int = 1
    minutes: float = 0.0
    seconds: float = 6.0
    inside: float = 30.0
    keep_going: bool = False
    operators: bool = False  # also draw the faults in which operators drain limiters and ban servers


@dataclass(frozen=True, slots=True)
class FoundFailure:
    """A failure, the seed that showed it, and the shrunk scenario that reproduces it."""

    seed: int
    failure: Failure
    scenario: Scenario
    plays: int  # number of plays that shrinking took
    size: str


@dataclass(slots=True)
class SearchResult:
    """The failures, coverage and totals of one search."""

    name: str
    coverage: Coverage
    found: list[FoundFailure] = field(default_factory=list)
    categories: Counter[str] = field(default_factory=Counter)  # number of seeds that showed each category
    tries: int = 0
    simulated_seconds: float = 0.0  # virtual time of all plays
    wall_seconds: float = 0.0
    seeds: int = 0


Progress = Callable[[SearchResult], None]
Play = Callable[[Scenario], PlayResult]


def search(
    scenario: Scenario, options: SearchOptions, progress: Progress = lambda _: None, play: Play = examine
) -> SearchResult:
    """Search for a drawn scenario that fails and stop at the first failure unless ``keep_going``.

    ``play`` is called for each drawn scenario, in this process if there is one job. What a seed draws does not depend
    on the number of jobs.
    """
    base = scale_down(scenario, options.seconds, options.inside)
    result, start = (
        SearchResult(scenario.name, Coverage(drawable_kinds(scenario, options.operators))),
        time.monotonic(),
    )
    with _seed_mapper(options.jobs) as map_seeds:
        for first in range(options.first, options.first + options.seeds, SEEDS_PER_ROUND):
            seeds = range(first, min(first + SEEDS_PER_ROUND, options.first + options.seeds))
            weights = result.coverage.weights()
            plays = list(map_seeds(partial(_play_seed, base, weights, play), seeds))
            _add_round(result, base, weights, plays, options.keep_going, play)
            result.wall_seconds = time.monotonic() - start
            progress(result)
            timed_out = options.minutes > 0 and result.wall_seconds > 60 * options.minutes
            if timed_out or (result.found and not options.keep_going) or len(result.found) >= MAX_FAILURES:
                break
    return result


def _play_seed(base: Scenario, weights: dict[str, float], play: Play, seed: int) -> PlayResult:
    return play(draw_scenario(base, seed, weights))


MapSeeds = Callable[[Callable[[int], PlayResult], Iterable[int]], Iterable[PlayResult]]


@contextmanager
def _seed_mapper(jobs: int) -> Iterator[MapSeeds]:
    if jobs <= 1:
        yield lambda function, seeds: map(function, seeds)
        return
    with ProcessPoolExecutor(jobs, mp_context=multiprocessing.get_context("spawn")) as pool:
        yield partial(pool.map, chunksize=SEEDS_PER_TASK)


def _add_round(
    result: SearchResult,
    base: Scenario,
    weights: dict[str, float],
    plays: list[PlayResult],
    keep_going: bool,
    play: Play,
) -> None:
    for played in plays:
        result.coverage.add(played.met)
        result.seeds, result.tries = result.seeds + 1, result.tries + played.tries
        result.simulated_seconds += played.seconds
        for category in dict.fromkeys(failure.category for failure in played.failures):
            result.categories[category] += 1
            known = any(found.failure.category == category for found in result.found)
            if known or (result.found and not keep_going) or len(result.found) >= MAX_FAILURES:
                continue
            result.found.append(
                _shrink_failure(draw_scenario(base, played.seed, weights), played, category, play)
            )


def _shrink_failure(scenario: Scenario, played: PlayResult, category: str, play: Play) -> FoundFailure:
    small, plays = shrink(scenario, lambda candidate: play(candidate).has_failure(category))
    failure = next(
        (f for f in play(small).failures if f.category == category),
        next(f for f in played.failures if f.category == category),
    )
    return FoundFailure(played.seed, failure, small, plays, describe_size(small))


def write_scenario(found: FoundFailure, folder: Path) -> Path:
    """Write the scenario file that reproduces a failure and return its path."""
    path = folder / f"{found.scenario.name}-{found.seed}-{found.failure.category.replace(' ', '-')}.toml"
    lines = [
        f"# Found by fawnseam explore: {found.failure.category}",
        f"# {_printable_line(found.failure.text)}",
        f"# Again: fawnseam explore {path.name} --again; as a rehearsal: fawnseam rehearse {path.name} --virtual",
        f"# {found.size}",
        "",
    ]
    raw = to_raw(found.scenario)
    raw["about"] = f"{raw['about']}; made small around a find of seed {found.seed}"
    path.write_text("\n".join(lines) + tomli_w.dumps(raw), encoding="utf-8")
    return path


def _printable_line(text: str) -> str:
    return "".join(c if c.isprintable() else "?" for c in text)[:300]
