"""Rounds of seeds over some processes: what was met steers the next round; the lowest seed's find is shrunk."""

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
    64  # seeds of a round: a number of its own, so that the draws are the same for any number of processes
)
SEEDS_PER_TASK = 4
MAX_FAILURES = 20


@dataclass(frozen=True, slots=True)
class SearchOptions:
    """What is searched. ``minutes`` 0: until the seeds are used up."""

    seeds: int = 1000
    first: int = 0
    jobs: int = 1
    minutes: float = 0.0
    seconds: float = 6.0
    inside: float = 30.0
    keep_going: bool = False
    operators: bool = False  # operators drain limiters and take servers out beside the faults


@dataclass(frozen=True, slots=True)
class FoundFailure:
    """A find: the seed, what was wrong, and the small scenario that shows it."""

    seed: int
    failure: Failure
    scenario: Scenario
    plays: int  # that shrinking took
    size: str


@dataclass(slots=True)
class SearchResult:
    """What a search did."""

    name: str
    coverage: Coverage
    found: list[FoundFailure] = field(default_factory=list)
    categories: Counter[str] = field(default_factory=Counter)  # seeds that showed each sort
    tries: int = 0
    simulated_seconds: float = 0.0  # seconds of days
    wall_seconds: float = 0.0
    seeds: int = 0


Progress = Callable[[SearchResult], None]
Play = Callable[[Scenario], PlayResult]


def search(
    scenario: Scenario, options: SearchOptions, progress: Progress = lambda _: None, play: Play = examine
) -> SearchResult:
    """Look for a day that shows something wrong; stops at the first unless ``keep_going``.

    ``play`` is what is called for each day; with one job in this process. The seeds' days do not depend on jobs."""
    day = scale_down(scenario, options.seconds, options.inside)
    result, start = (
        SearchResult(scenario.name, Coverage(drawable_kinds(scenario, options.operators))),
        time.monotonic(),
    )
    with _seed_mapper(options.jobs) as mapped:
        for first in range(options.first, options.first + options.seeds, SEEDS_PER_ROUND):
            seeds = range(first, min(first + SEEDS_PER_ROUND, options.first + options.seeds))
            weights = result.coverage.weights()
            examined = list(mapped(partial(_play_seed, day, weights, play), seeds))
            _add_round(result, day, weights, examined, options.keep_going, play)
            result.wall_seconds = time.monotonic() - start
            progress(result)
            over = options.minutes > 0 and result.wall_seconds > 60 * options.minutes
            if over or (result.found and not options.keep_going) or len(result.found) >= MAX_FAILURES:
                break
    return result


def _play_seed(day: Scenario, weights: dict[str, float], play: Play, seed: int) -> PlayResult:
    return play(draw_scenario(day, seed, weights))


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
    day: Scenario,
    weights: dict[str, float],
    examined: list[PlayResult],
    keep_going: bool,
    play: Play,
) -> None:
    for one in examined:
        result.coverage.add(one.met)
        result.seeds, result.tries = result.seeds + 1, result.tries + one.tries
        result.simulated_seconds += one.seconds
        for category in dict.fromkeys(failure.category for failure in one.failures):
            result.categories[category] += 1
            known = any(found.failure.category == category for found in result.found)
            if known or (result.found and not keep_going) or len(result.found) >= MAX_FAILURES:
                continue
            result.found.append(_shrink_failure(draw_scenario(day, one.seed, weights), one, category, play))


def _shrink_failure(scenario: Scenario, one: PlayResult, category: str, play: Play) -> FoundFailure:
    small, plays = shrink(scenario, lambda candidate: play(candidate).has_failure(category))
    failure = next(
        (f for f in play(small).failures if f.category == category),
        next(f for f in one.failures if f.category == category),
    )
    return FoundFailure(one.seed, failure, small, plays, describe_size(small))


def write_scenario(found: FoundFailure, folder: Path) -> Path:
    """The scenario file that plays a find again."""
    path = folder / f"{found.scenario.name}-{found.seed}-{found.failure.category.replace(' ', '-')}.toml"
    lines = [
        f"# Found by fawnseam explore: {found.failure.category}",
        f"# {_comment(found.failure.text)}",
        f"# Again: fawnseam explore {path.name} --again; as a rehearsal: fawnseam rehearse {path.name} --virtual",
        f"# {found.size}",
        "",
    ]
    raw = to_raw(found.scenario)
    raw["about"] = f"{raw['about']}; made small around a find of seed {found.seed}"
    path.write_text("\n".join(lines) + tomli_w.dumps(raw), encoding="utf-8")
    return path


def _comment(text: str) -> str:
    return "".join(c if c.isprintable() else "?" for c in text)[:300]
