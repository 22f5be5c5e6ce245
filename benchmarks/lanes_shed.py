"""A fleet over what it bears: premium's service with lanes, without, and with fixed partitions, in virtual time.

    python -m benchmarks.lanes_shed [--seeds N] [--loads 1.5,2] [--mix even,platform,split] [--jobs 2]

Eight real gateways before the rehearsal's machines (``tests/lanes/day.py``); 20 s at 0.6 of what the fleet bears, 60 s
at so many times of it, 20 s at 0.6 again. What the fleet bears is measured first: units a second that the same day
without lanes answers in time, inside quota, at twice a guess. One line a load and way, medians over seeds; ``worth`` is
all worth together as the rehearsal reckons it. Rows travel for up to 0.5 s.
"""

from __future__ import annotations

import argparse
import statistics
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass

from cypresspulley import interface as api
from cypresspulley.histories.events import Kind
from cypresspulley.lanes.allocation import fill
from cypresspulley.lanes.limiter import inversion_bound
from cypresspulley.net.node import DecisionModule
from tests.lanes.day import LANES, MIX, PLANS, START, Day, Limiter, Shape, no_lanes, span, with_lanes

GUESS = 66.0  # units a second that the fleet bears
CALM = 0.6  # times what the fleet bears
SPANS = (20.0, 60.0, 20.0)  # seconds: calm, overloaded, calm
SPREAD = 0.5  # seconds that a row travels at most
WARM = 10.0  # seconds of the overload after which it is steady
PLATFORM = {"guesthouse": 0.2, "standard": 0.2, "business": 0.3, "chain": 0.3}
MODES = ("none", "fixed", "lanes")


@dataclass(frozen=True, slots=True)
class Job:
    mix: str
    load: float
    mode: str
    seed: int
    bears: float


@dataclass(frozen=True, slots=True)
class Figures:
    """Shares and units a second of the overload, ``after`` its first seconds as well; times in seconds."""

    worth: float
    steady: float
    premium: float
    premium_steady: float
    rates: tuple[float, ...]
    floors: tuple[float, ...]
    release: float
    forced: float | None
    inversion: float
    swings: int


def shape(mix: str, load: float, bears: float) -> Shape:
    spans = tuple(zip(SPANS, (CALM, load, CALM), strict=True))
    return Shape(
        spans,
        bears,
        PLATFORM if mix == "platform" else dict(MIX),
        uneven="split" if mix == "split" else "drawn",
    )


class Partition:
    """Each lane has a fixed part of the fleet, the same at every limiter, sized by an oracle for the day's mean."""

    def __init__(self, limiter: Limiter, mix: dict[str, float], load: float, bears: float) -> None:
        asked = [sum(mix[plan] for plan in lane.plans) * load * bears for lane in LANES.lanes]
        given, _ = fill(LANES.lanes, asked, [0.0] * len(asked), bears)
        count = limiter.day.shape.limiters
        self._rates = [rate / count for rate in given]
        self._levels, self._at = [2.0] * len(asked), limiter.day.now
        self._decide, self._over = limiter.gateway, load > 1
        self._lane = {plan: n for n, lane in enumerate(LANES.lanes) for plan in lane.plans}

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        if isinstance(event, api.Request) and SPANS[0] <= now - START < SPANS[0] + SPANS[1]:
            lane, dt, self._at = self._lane[event.plan], now - self._at, now
            self._levels = [
                min(max(2.0, r), v + r * dt) for v, r in zip(self._levels, self._rates, strict=True)
            ]
            if self._levels[lane] < event.units:
                return [api.Refuse(event.id, 0.5, "lane")]
            self._levels[lane] -= event.units
        return self._decide.handle(now, event)


def play(job: Job) -> tuple[Job, Figures]:
    wanted = shape(job.mix, job.load, job.bears)

    def before(limiter: Limiter, settings: api.Settings) -> DecisionModule:
        if job.mode == "fixed":
            return Partition(limiter, wanted.mix, job.load, job.bears)
        return with_lanes(limiter, settings) if job.mode == "lanes" else no_lanes(limiter, settings)

    day = Day(wanted, job.seed, before).run()
    start, end = SPANS[0], SPANS[0] + SPANS[1]
    whole, steady = span(day, start, end), span(day, start + WARM, end)
    names = [lane.name for lane in LANES.lanes]
    asked = [steady.offered[name] / steady.seconds for name in names]
    floors = tuple(min(a, lane.kept(job.bears)) for a, lane in zip(asked, LANES.lanes, strict=True))
    forced = [next((t for t, on in limiter.forced if on), None) for limiter in day.limiters]
    late = [t - START - start for t in forced if t is not None]
    return job, Figures(
        whole.worth, steady.worth, whole.share(names[0]), steady.share(names[0]),
        tuple(steady.rate(name) for name in names), floors, span(day, end, end + SPANS[2]).worth,
        max(late) if len(late) == len(forced) else None, _inversion(day),
        max(sum(on for _, on in limiter.forced) for limiter in day.limiters),
    )  # fmt: skip


def _inversion(day: Day) -> float:
    """The longest time in which a lane turned away premium inside quota while a lower one passed above its floor."""
    turned, above = set[int](), set[int]()
    first = LANES.lanes[0].name
    sums = dict[tuple[int, str], list[float]]()
    for limiter in day.limiters:
        for t, facts in limiter.history.of(Kind.LANES_PERIOD):
            at = int((t - START) / LANES.period)
            if facts["asked"][first] > facts["passed"][first]:
                turned.add(at)
            for name in list(facts["floors"])[1:]:
                both = sums.setdefault((at, name), [0.0, 0.0])
                both[0] += facts["passed"][name]
                both[1] += facts["floors"][name] * facts["seconds"]
    # Of accounts that pass or do not, some more than the floor pass by chance.
    above = {at for (at, _), (passed, floor) in sums.items() if passed > floor + 2 * max(1.0, floor) ** 0.5}
    longest = run = 0
    for at in range(int(day.shape.seconds / LANES.period) + 1):
        run = run + 1 if at in turned and at in above else 0
        longest = max(longest, run)
    return longest * LANES.period


def calm(seed: int) -> int:
    """Tries inside quota that a lane turned away on a day at 0.6 to 0.75 of what the fleet bears."""
    day = Day(Shape(((40, 0.6), (40, 0.75)), GUESS), seed, with_lanes).run()
    return sum(
        facts["inside"] for limiter in day.limiters for _, facts in limiter.history.of(Kind.LANES_TURNED)
    )


def borne(mix: str) -> float:
    """Units a second inside quota that the fleet answers in time where twice a guess is asked, without lanes."""
    rates = [span(Day(shape(mix, 2.0, GUESS), seed, no_lanes).run(), 30, 80).earned for seed in (1, 2)]
    return statistics.mean(sum(rate.values()) / 50 for rate in rates)


def _told(mix: str, load: float, found: list[tuple[Job, Figures]]) -> Iterator[str]:
    for mode in MODES:
        some = [figures for job, figures in found if (job.mix, job.load, job.mode) == (mix, load, mode)]

        def median(values: list[float]) -> float:
            return statistics.median(values)

        rates = [median([f.rates[n] for f in some]) for n in range(len(LANES.lanes))]
        floors = [median([f.floors[n] for f in some]) for n in range(len(LANES.lanes))]
        lanes = ", ".join(
            f"{lane.name} {r:.1f}/{f:.1f}"
            for lane, r, f in zip(LANES.lanes[1:], rates[1:], floors[1:], strict=True)
        )
        least = min(f.premium for f in some)
        line = (
            f"{mix:9} {load:g}x {mode:6} premium {median([f.premium for f in some]):.3f} (least {least:.3f}; "
            f"after {WARM:g} s {median([f.premium_steady for f in some]):.3f})  worth "
            f"{median([f.worth for f in some]):.3f} (after {WARM:g} s {median([f.steady for f in some]):.3f})  "
            f"units/s and floors: {lanes}  release {median([f.release for f in some]):.3f}"
        )
        if mode == "lanes":
            forced = [f.forced for f in some]
            worst = (
                "never everywhere" if None in forced else f"{max(t for t in forced if t is not None):.1f} s"
            )
            bound = inversion_bound(LANES, SPREAD)
            line += f"  in force {worst}  inversion {max(f.inversion for f in some):g} s (bound {bound:g})"
            line += f"  times in force {max(f.swings for f in some)}"
        yield line


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--loads", default="1.5,2")
    parser.add_argument("--mix", default="even,split,platform")
    parser.add_argument("--calm", type=int, default=10, help="calm days")
    parser.add_argument("--jobs", type=int, default=2)
    options = parser.parse_args()
    mixes, loads = options.mix.split(","), [float(load) for load in options.loads.split(",")]
    assert {plan.name for plan in PLANS} == set(PLATFORM) == set(MIX)
    with ProcessPoolExecutor(options.jobs) as pool:
        bears = dict(zip(mixes, pool.map(borne, mixes), strict=True))
        print(
            "bears, units a second:",
            ", ".join(f"{mix} {rate:.1f}" for mix, rate in bears.items()),
            flush=True,
        )
        jobs = [
            Job(mix, load, mode, seed, bears[mix])
            for mix in mixes for load in loads for mode in MODES for seed in range(1, options.seeds + 1)
        ]  # fmt: skip
        found = list(pool.map(play, jobs))
        for mix in mixes:
            for load in loads:
                print("\n".join(_told(mix, load, found)), flush=True)
        turned = list(pool.map(calm, range(1, options.calm + 1)))
    print(f"turned away inside quota by a lane on {len(turned)} calm days: {sum(turned)}")


if __name__ == "__main__":
    main()
