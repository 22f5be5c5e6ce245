"""An overloaded fleet: premium's service with lanes, without, and with fixed partitions, in virtual time.

    python -m benchmarks.lanes_shed [--seeds N] [--loads 1.5,2] [--mix even,platform,split] [--jobs 2]

Eight real gateways send to the rehearsal's machines (``tests/lanes/day.py``) for 20 s at 0.6 of the fleet's capacity,
60 s at the given multiple of it, and 20 s at 0.6 again. The capacity is measured first: the units a second that the
same day without lanes answers in time, within quota, at twice an initial guess. One line is printed for each load and
mode, with medians over seeds; ``worth`` is the whole worth as the rehearsal computes it. Rows travel for up to 0.5 s.
"""

from __future__ import annotations

import argparse
import statistics
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass

from cypresspulley import interface as api
from cypresspulley.histories.events import Kind
from cypresspulley.lanes.allocation import split_capacity
from cypresspulley.lanes.limiter import inversion_bound
from cypresspulley.net.node import DecisionModule
from tests.lanes.day import (
    DAY_START,
    LANES,
    PLAN_MIX,
    PLANS,
    Day,
    DayOptions,
    Limiter,
    measure,
    with_lanes,
    without_lanes,
)

CAPACITY_GUESS = 66.0  # initial guess of the fleet's capacity, in units a second
CALM_LOAD = 0.6  # load as a multiple of the capacity
PHASE_SECONDS = (20.0, 60.0, 20.0)  # calm, overloaded, calm
MAX_ROW_DELAY = 0.5  # seconds that a row travels at most
WARMUP = 10.0  # seconds of the overload until it is steady
PLATFORM = {"guesthouse": 0.2, "standard": 0.2, "business": 0.3, "chain": 0.3}
MODES = ("none", "fixed", "lanes")


@dataclass(frozen=True, slots=True)
class Job:
    mix: str
    load: float
    mode: str
    seed: int
    capacity: float


@dataclass(frozen=True, slots=True)
class Measured:
    """Shares, units a second and times in seconds of the overload; ``steady`` values leave out its first seconds."""

    worth: float
    steady: float
    premium: float
    premium_steady: float
    rates: tuple[float, ...]
    floors: tuple[float, ...]
    worth_after: float
    in_force_after: float | None
    inversion_seconds: float
    times_in_force: int


def day_options(mix: str, load: float, capacity: float) -> DayOptions:
    phases = tuple(zip(PHASE_SECONDS, (CALM_LOAD, load, CALM_LOAD), strict=True))
    return DayOptions(
        phases,
        capacity,
        PLATFORM if mix == "platform" else dict(PLAN_MIX),
        placement="split" if mix == "split" else "drawn",
    )


class Partition:
    """Gives each lane a fixed part of the fleet, the same at every limiter, sized for the mean load of the day."""

    def __init__(self, limiter: Limiter, mix: dict[str, float], load: float, capacity: float) -> None:
        asked = [sum(mix[plan] for plan in lane.plans) * load * capacity for lane in LANES.lanes]
        given, _ = split_capacity(LANES.lanes, asked, [0.0] * len(asked), capacity)
        count = limiter.day.options.limiters
        self._rates = [rate / count for rate in given]
        self._levels, self._at = [2.0] * len(asked), limiter.day.now
        self._decide, self._over = limiter.gateway, load > 1
        self._lane = {plan: n for n, lane in enumerate(LANES.lanes) for plan in lane.plans}

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        if (
            isinstance(event, api.Request)
            and PHASE_SECONDS[0] <= now - DAY_START < PHASE_SECONDS[0] + PHASE_SECONDS[1]
        ):
            lane, dt, self._at = self._lane[event.plan], now - self._at, now
            self._levels = [
                min(max(2.0, r), v + r * dt) for v, r in zip(self._levels, self._rates, strict=True)
            ]
            if self._levels[lane] < event.units:
                return [api.Refuse(event.id, 0.5, "lane")]
            self._levels[lane] -= event.units
        return self._decide.handle(now, event)


def run_job(job: Job) -> tuple[Job, Measured]:
    options = day_options(job.mix, job.load, job.capacity)

    def make_module(limiter: Limiter, settings: api.Settings) -> DecisionModule:
        if job.mode == "fixed":
            return Partition(limiter, options.mix, job.load, job.capacity)
        return with_lanes(limiter, settings) if job.mode == "lanes" else without_lanes(limiter, settings)

    day = Day(options, job.seed, make_module).run()
    start, end = PHASE_SECONDS[0], PHASE_SECONDS[0] + PHASE_SECONDS[1]
    whole, steady = measure(day, start, end), measure(day, start + WARMUP, end)
    names = [lane.name for lane in LANES.lanes]
    asked = [steady.offered[name] / steady.seconds for name in names]
    floors = tuple(min(a, lane.floor_rate(job.capacity)) for a, lane in zip(asked, LANES.lanes, strict=True))
    forced = [next((t for t, on in limiter.in_force_changes if on), None) for limiter in day.limiters]
    delays = [t - DAY_START - start for t in forced if t is not None]
    return job, Measured(
        whole.worth, steady.worth, whole.served_share(names[0]), steady.served_share(names[0]),
        tuple(steady.served_rate(name) for name in names), floors, measure(day, end, end + PHASE_SECONDS[2]).worth,
        max(delays) if len(delays) == len(forced) else None, _longest_inversion(day),
        max(sum(on for _, on in limiter.in_force_changes) for limiter in day.limiters),
    )  # fmt: skip


def _longest_inversion(day: Day) -> float:
    """Return the longest time for which premium within quota was shed while a lower lane exceeded its floor."""
    shed, above = set[int](), set[int]()
    first = LANES.lanes[0].name
    sums = dict[tuple[int, str], list[float]]()
    for limiter in day.limiters:
        for t, facts in limiter.history.of(Kind.LANES_PERIOD):
            at = int((t - DAY_START) / LANES.period_seconds)
            if facts["asked"][first] > facts["passed"][first]:
                shed.add(at)
            for name in list(facts["floors"])[1:]:
                both = sums.setdefault((at, name), [0.0, 0.0])
                both[0] += facts["passed"][name]
                both[1] += facts["floors"][name] * facts["seconds"]
    # Accounts are admitted or shed as a whole, so a lane may exceed its floor by chance.
    above = {at for (at, _), (passed, floor) in sums.items() if passed > floor + 2 * max(1.0, floor) ** 0.5}
    longest = run = 0
    for at in range(int(day.options.seconds / LANES.period_seconds) + 1):
        run = run + 1 if at in shed and at in above else 0
        longest = max(longest, run)
    return longest * LANES.period_seconds


def count_calm_sheds(seed: int) -> int:
    """Return the requests within quota that a lane shed on a day at 0.6 to 0.75 of the fleet's capacity."""
    day = Day(DayOptions(((40, 0.6), (40, 0.75)), CAPACITY_GUESS), seed, with_lanes).run()
    return sum(
        facts["inside"] for limiter in day.limiters for _, facts in limiter.history.of(Kind.LANES_TURNED)
    )


def measure_capacity(mix: str) -> float:
    """Return the units a second within quota that the fleet answers in time at twice the guess, without lanes."""
    rates = [
        measure(Day(day_options(mix, 2.0, CAPACITY_GUESS), seed, without_lanes).run(), 30, 80).earned
        for seed in (1, 2)
    ]
    return statistics.mean(sum(rate.values()) / 50 for rate in rates)


def _report_lines(mix: str, load: float, found: list[tuple[Job, Measured]]) -> Iterator[str]:
    for mode in MODES:
        some = [measured for job, measured in found if (job.mix, job.load, job.mode) == (mix, load, mode)]

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
            f"after {WARMUP:g} s {median([f.premium_steady for f in some]):.3f})  worth "
            f"{median([f.worth for f in some]):.3f} (after {WARMUP:g} s {median([f.steady for f in some]):.3f})  "
            f"units/s and floors: {lanes}  release {median([f.worth_after for f in some]):.3f}"
        )
        if mode == "lanes":
            forced = [f.in_force_after for f in some]
            worst = (
                "never everywhere" if None in forced else f"{max(t for t in forced if t is not None):.1f} s"
            )
            bound = inversion_bound(LANES, MAX_ROW_DELAY)
            line += f"  in force {worst}  inversion {max(f.inversion_seconds for f in some):g} s (bound {bound:g})"
            line += f"  times in force {max(f.times_in_force for f in some)}"
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
    assert {plan.name for plan in PLANS} == set(PLATFORM) == set(PLAN_MIX)
    with ProcessPoolExecutor(options.jobs) as pool:
        capacities = dict(zip(mixes, pool.map(measure_capacity, mixes), strict=True))
        print(
            "bears, units a second:",
            ", ".join(f"{mix} {rate:.1f}" for mix, rate in capacities.items()),
            flush=True,
        )
        jobs = [
            Job(mix, load, mode, seed, capacities[mix])
            for mix in mixes for load in loads for mode in MODES for seed in range(1, options.seeds + 1)
        ]  # fmt: skip
        found = list(pool.map(run_job, jobs))
        for mix in mixes:
            for load in loads:
                print("\n".join(_report_lines(mix, load, found)), flush=True)
        shed = list(pool.map(count_calm_sheds, range(1, options.calm + 1)))
    print(f"turned away inside quota by a lane on {len(shed)} calm days: {sum(shed)}")


if __name__ == "__main__":
    main()
