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
from cypresspulley.explore.schedule import as_raw, drawn_day, kinds_of, small_day
from cypresspulley.explore.shrink import shrink, size
from cypresspulley.rehearsal.scenario import Scenario

ROUND = (
    64  # seeds of a round: a number of its own, so that the draws are the same for any number of processes
)
CHUNK = 4
MOST_FINDS = 20


@dataclass(frozen=True, slots=True)
class Wanted:
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
class Found:
    """A find: the seed, what was wrong, and the small scenario that shows it."""

    seed: int
    failure: Failure
    scenario: Scenario
    plays: int  # that shrinking took
    size: str


@dataclass(slots=True)
class Result:
    """What a search did."""

    name: str
    coverage: Coverage
    found: list[Found] = field(default_factory=list)
    categories: Counter[str] = field(default_factory=Counter)  # seeds that showed each sort
    tries: int = 0
    simulated: float = 0.0  # seconds of days
    wall: float = 0.0
    seeds: int = 0


Progress = Callable[[Result], None]
Play = Callable[[Scenario], PlayResult]


def search(
    scenario: Scenario, wanted: Wanted, progress: Progress = lambda _: None, play: Play = examine
) -> Result:
    """Look for a day that shows something wrong; stops at the first unless ``keep_going``.

    ``play`` is what is called for each day; with one job in this process. The seeds' days do not depend on jobs."""
    day = small_day(scenario, wanted.seconds, wanted.inside)
    result, start = (
        Result(scenario.name, Coverage(kinds_of(scenario, wanted.operators))),
        time.monotonic(),
    )
    with _mapper(wanted.jobs) as mapped:
        for first in range(wanted.first, wanted.first + wanted.seeds, ROUND):
            seeds = range(first, min(first + ROUND, wanted.first + wanted.seeds))
            weights = result.coverage.weights()
            examined = list(mapped(partial(_one, day, weights, play), seeds))
            _note(result, day, weights, examined, wanted.keep_going, play)
            result.wall = time.monotonic() - start
            progress(result)
            over = wanted.minutes > 0 and result.wall > 60 * wanted.minutes
            if over or (result.found and not wanted.keep_going) or len(result.found) >= MOST_FINDS:
                break
    return result


def _one(day: Scenario, weights: dict[str, float], play: Play, seed: int) -> PlayResult:
    return play(drawn_day(day, seed, weights))


Mapped = Callable[[Callable[[int], PlayResult], Iterable[int]], Iterable[PlayResult]]


@contextmanager
def _mapper(jobs: int) -> Iterator[Mapped]:
    if jobs <= 1:
        yield lambda function, seeds: map(function, seeds)
        return
    with ProcessPoolExecutor(jobs, mp_context=multiprocessing.get_context("spawn")) as pool:
        yield partial(pool.map, chunksize=CHUNK)


def _note(
    result: Result,
    day: Scenario,
    weights: dict[str, float],
    examined: list[PlayResult],
    keep_going: bool,
    play: Play,
) -> None:
    for one in examined:
        result.coverage.add(one.met)
        result.seeds, result.tries = result.seeds + 1, result.tries + one.tries
        result.simulated += one.seconds
        for category in dict.fromkeys(failure.category for failure in one.failures):
            result.categories[category] += 1
            known = any(found.failure.category == category for found in result.found)
            if known or (result.found and not keep_going) or len(result.found) >= MOST_FINDS:
                continue
            result.found.append(_shrunk(drawn_day(day, one.seed, weights), one, category, play))


def _shrunk(scenario: Scenario, one: PlayResult, category: str, play: Play) -> Found:
    small, plays = shrink(scenario, lambda candidate: play(candidate).has_failure(category))
    failure = next(
        (f for f in play(small).failures if f.category == category),
        next(f for f in one.failures if f.category == category),
    )
    return Found(one.seed, failure, small, plays, size(small))


def write(found: Found, folder: Path) -> Path:
    """The scenario file that plays a find again."""
    path = folder / f"{found.scenario.name}-{found.seed}-{found.failure.category.replace(' ', '-')}.toml"
    lines = [
        f"# Found by fawnseam explore: {found.failure.category}",
        f"# {_comment(found.failure.text)}",
        f"# Again: fawnseam explore {path.name} --again; as a rehearsal: fawnseam rehearse {path.name} --virtual",
        f"# {found.size}",
        "",
    ]
    raw = as_raw(found.scenario)
    raw["about"] = f"{raw['about']}; made small around a find of seed {found.seed}"
    path.write_text("\n".join(lines) + tomli_w.dumps(raw), encoding="utf-8")
    return path


def _comment(text: str) -> str:
    return "".join(c if c.isprintable() else "?" for c in text)[:300]
