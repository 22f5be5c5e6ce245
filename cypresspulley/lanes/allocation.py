"""Estimates the fleet's capacity and allocates it to the lanes at each limiter: a pure function of the rows.

Requests within quota are served lane by lane, each lane's floor first; requests over quota get only what remains after
that. The same rows give the same result at every limiter: rows are sorted by their owners' names, and there is no other
input.

The capacity is measured, not configured. It starts at the rate sent to servers while gates refused requests because the
servers were full. Each revision lowers or raises it by how far those refusals are from their targets: few of the first
lane's requests, and some of all requests, because a few refusals show that no capacity is left unused.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from cypresspulley.lanes.options import Lane
from cypresspulley.lanes.rows import LaneRates
from cypresspulley.policy.gate import REFERENCE_LOAD

# Targets of the gates' refusals. Some refusals keep the servers busy; more of them could have been avoided by shedding.
TARGET_REFUSED = (
    0.45  # share of admitted first requests refused for lack of capacity: most get it a moment later
)
TARGET_UNSENT_FIRST = 0.04  # share of what the first lane admits that is never sent on
TARGET_UNSENT_LANE = 0.3  # the same share of any other lane
INITIAL_FACTOR = 0.9  # initial capacity, as a share of the rate that was sent on while the fleet was full
DECREASE = 0.05  # share of the capacity by which a revision lowers it, for refusals of twice the target
MAX_DECREASE = 0.1  # share of the capacity by which a revision lowers it at most
FULL_REFUSED = 0.6  # refused share from which the rate sent on is all that the servers can do
INCREASE = 0.25  # share of the capacity by which a revision raises it where nothing is refused
MIN_SENT_FACTOR = 0.85  # lower bound of the capacity, as a multiple of the rate sent on
MAX_DEMAND_FACTOR = 1.1  # upper bound of the capacity, as a multiple of the demand
MIN_ADMITTED = 1.0  # units a second that a lane must admit for its unsent share to be meaningful
MIN_REFUSED = 0.02  # refused share below which a limiter is not under pressure


@dataclass(frozen=True, slots=True)
class LimiterReport:
    """One limiter's row, as input of the allocation.

    ``is_stale`` says that the row was not confirmed for longer than the bound, or that its owner has been dead for less
    than the lease. Such a limiter is assumed to have the same demand as before, and may still be admitting the rate
    that it last sent on.
    """

    owner: str
    rates: tuple[LaneRates, ...]
    load: float
    is_stale: bool = False


@dataclass(frozen=True, slots=True)
class Allocation:
    """The allocated capacity, in units a second.

    ``within_quota`` and ``over_quota`` are rates over the whole fleet, lane by lane. ``by_limiter`` is the part within
    quota of each limiter, lane by lane. ``admit_within_quota`` and ``admit_over_quota`` are the shares of the demand
    that may be admitted, from 0 to 1.
    """

    capacity: float
    within_quota: tuple[float, ...]
    over_quota: tuple[float, ...]
    by_limiter: dict[str, tuple[float, ...]]
    admit_within_quota: tuple[float, ...]
    admit_over_quota: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class Pressure:
    """The pressure on the fleet, by its fresh rows.

    ``refused_share`` is the share of the first requests admitted by lanes that was refused for lack of capacity.
    ``first_unsent`` is the share of what the first lane admitted that was not sent on, where a retry that is sent
    counts for the request that it repeats; ``worst_unsent`` is the same share of the other lane in which it is largest.
    ``load`` is the mean of the gates' readings, weighted by what each limiter admitted. ``pressed_limiters`` is the
    number of limiters that refused requests, and ``demand`` the units a second within quota.
    """

    refused_share: float
    first_unsent: float
    worst_unsent: float
    load: float
    pressed_limiters: int
    demand: float

    @property
    def load_error(self) -> float:
        """The control error of the gates' loop: by how much the load exceeds its reference, as a share of it."""
        return max(0.0, self.load / REFERENCE_LOAD - 1)

    def unserved_share(self, capacity: float | None = None) -> float:
        """Return a lower bound of the share of the demand that cannot be served; 0 means no pressure.

        Refusals of a single limiter are ignored, as they have a local cause. ``capacity`` in units a second is passed
        where lanes hold back the demand beyond it.
        """
        refused = self.refused_share + self.load_error if self.pressed_limiters >= 2 else 0.0
        held_back = 1 - capacity / self.demand if capacity is not None and self.demand > capacity else 0.0
        return max(refused, held_back)

    @property
    def refusal_ratio(self) -> float:
        """Refusals as a multiple of their targets: 1 is on target, 0 leaves capacity unused."""
        return max(self.refusal_ratio_any_lane, self.first_unsent / TARGET_UNSENT_FIRST)

    @property
    def refusal_ratio_any_lane(self) -> float:
        """The same multiple without the target of the first lane."""
        return max(
            (self.refused_share + self.load_error) / TARGET_REFUSED, self.worst_unsent / TARGET_UNSENT_LANE
        )


def measure_pressure(reports: Iterable[LimiterReport]) -> Pressure:
    """Return the pressure on the fleet, by the reports that are not stale."""
    fresh = sorted((report for report in reports if not report.is_stale), key=lambda report: report.owner)
    refused = [math.fsum(r.refused for r in report.rates) for report in fresh]
    admitted = [math.fsum(r.admitted for r in report.rates) for report in fresh]
    demand, total = math.fsum(r.demand for report in fresh for r in report.rates), math.fsum(admitted)
    if total <= 0:
        return Pressure(0.0, 0.0, 0.0, 0.0, 0, demand)
    load = math.fsum(report.load * a for report, a in zip(fresh, admitted, strict=True)) / total
    pressed = sum(a > 0 and r >= MIN_REFUSED * a for r, a in zip(refused, admitted, strict=True))
    unsent = [_unsent_share(lane) for lane in zip(*(report.rates for report in fresh), strict=True)]
    return Pressure(
        min(1.0, math.fsum(refused) / total),
        unsent[0],
        max(unsent[1:], default=0.0),
        load,
        pressed,
        demand,
    )


def _unsent_share(lane: Iterable[LaneRates]) -> float:
    """Return the share of what a lane admitted that was not sent on; 0 for a lane that admitted next to nothing."""
    rates = list(lane)
    admitted, sent = math.fsum(r.admitted for r in rates), math.fsum(r.sent for r in rates)
    return max(0.0, 1 - sent / admitted) if admitted >= MIN_ADMITTED else 0.0


def estimate_capacity(lanes: Sequence[Lane], reports: Iterable[LimiterReport], before: float | None) -> float:
    """Return the fleet's capacity in units a second, by all reports and by the estimate ``before`` this revision."""
    ordered = sorted(reports, key=lambda report: report.owner)
    sent = math.fsum(r.sent for report in ordered for r in report.rates)
    if before is None:
        return INITIAL_FACTOR * sent
    demand = math.fsum(r.demand + r.demand_over_quota for report in ordered for r in report.rates)
    pressure = measure_pressure(ordered)
    change = (
        INCREASE * (1 - pressure.refusal_ratio) ** 2
        if pressure.refusal_ratio < 1
        else -min(MAX_DECREASE, DECREASE * (pressure.refusal_ratio - 1))
    )
    if pressure.refused_share + pressure.load_error >= FULL_REFUSED and sent < before:
        # The fleet is full, and sends on less than the estimate: servers were lost.
        return max(MIN_SENT_FACTOR * sent, min(before * (1 + change), (before + sent) / 2))
    least = MIN_SENT_FACTOR * sent
    if pressure.refusal_ratio_any_lane < 1:
        # Only the first lane lacks capacity. It may take that of the other lanes, but those cannot be given less than
        # their floors: with a lower estimate the first lane itself would be shed because one limiter lacks capacity.
        first = math.fsum(report.rates[0].demand for report in ordered)
        floors, floor_units = (
            math.fsum(lane.floor for lane in lanes[1:]),
            math.fsum(lane.floor_units for lane in lanes[1:]),
        )
        least = max(least, min(before, (first + floor_units) / max(0.1, 1 - floors)))
    # The rate sent on does not lower the estimate: where few accounts are admitted and their demand is small, it says
    # nothing about the capacity.
    return max(least, min(before * (1 + change), max(before, MAX_DEMAND_FACTOR * max(sent, demand))))


def split_capacity(
    lanes: Sequence[Lane], demand: Sequence[float], demand_over_quota: Sequence[float], capacity: float,
    taken: Sequence[float] | None = None,
) -> tuple[tuple[float, ...], tuple[float, ...]]:  # fmt: skip
    """Return the units a second that each lane may admit within quota, and over quota.

    ``taken`` is the rate of each lane that is admitted anyway by limiters that cannot be reached; it is deducted from
    the capacity and from the lane's floor.
    """
    unreachable = taken or [0.0] * len(lanes)
    left = max(0.0, capacity - math.fsum(unreachable))
    given = list[float]()
    for lane, wanted, gone in zip(lanes, demand, unreachable, strict=True):
        floor = min(wanted, max(0.0, lane.floor_rate(capacity) - gone), left)
        given.append(floor)
        left = max(0.0, left - floor)
    for number, wanted in enumerate(demand):
        more = min(wanted - given[number], left)
        given[number] += more
        left = max(0.0, left - more)
    over_quota = list[float]()
    for wanted in demand_over_quota:
        over_quota.append(min(wanted, left))
        left = max(0.0, left - over_quota[-1])
    return tuple(given), tuple(over_quota)


def allocate(lanes: Sequence[Lane], reports: Iterable[LimiterReport], capacity: float) -> Allocation:
    """Return what each lane and limiter may admit, by all reports, at a capacity in units a second."""
    ordered = sorted(reports, key=lambda report: report.owner)
    fresh, stale = (
        [report for report in ordered if not report.is_stale],
        [report for report in ordered if report.is_stale],
    )
    numbers = range(len(lanes))
    taken = [math.fsum(report.rates[n].sent for report in stale) for n in numbers]
    demand = [math.fsum(report.rates[n].demand for report in fresh) for n in numbers]
    demand_over_quota = [math.fsum(report.rates[n].demand_over_quota for report in fresh) for n in numbers]
    within_quota, over_quota = split_capacity(lanes, demand, demand_over_quota, capacity, taken)
    has_spare = math.fsum(demand) + math.fsum(demand_over_quota) + math.fsum(taken) < capacity
    by_limiter = {
        report.owner: tuple(
            _limiter_part(within_quota[n], report.rates[n].demand, demand[n]) for n in numbers
        )
        for report in fresh
    }
    by_limiter |= {report.owner: tuple(r.sent for r in report.rates) for report in stale}
    return Allocation(
        capacity, within_quota, over_quota, by_limiter,
        tuple(
            _admitted_share(within_quota[n], demand[n], has_spare or lanes[n].floor_rate(capacity) > 0)
            for n in numbers
        ),
        tuple(_admitted_share(over_quota[n], demand_over_quota[n], has_spare) for n in numbers),
    )  # fmt: skip


def _limiter_part(given: float, own_demand: float, total_demand: float) -> float:
    return given * own_demand / total_demand if total_demand > 0 else 0.0


def _admitted_share(given: float, demand: float, admit_unexpected: bool) -> float:
    """Return the share to admit; ``admit_unexpected`` says whether to admit all requests of a lane without demand."""
    return min(1.0, given / demand) if demand > 0 else float(admit_unexpected)
