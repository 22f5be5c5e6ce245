"""Measures what is requested of each lane at one limiter and what becomes of it, by periods."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from cypresspulley import interface as api
from cypresspulley.lanes.rows import LaneRates

RECENT_SECONDS = 2.0  # window of the rates of admitted, refused and sent units
DEMAND_SECONDS = 8.0  # window of the demand, while it is steady
# Refusals in the first seconds after the first request are not counted: they are due to this limiter, which does not
# know any server's rate yet.
WARMUP_SECONDS = 8.0
STEADY_DEVIATIONS = (
    3.0  # standard deviations by which recent requests may differ from the mean of the earlier ones
)
# Causes of a refusal for lack of capacity; the others concern the account alone.
CAPACITY_REFUSAL_CAUSES = ("gate", "no server")
MAX_OPEN = 65_536  # requests that await their first action; a limiter has sockets for a few thousand


@dataclass(slots=True)
class LaneTotals:
    """One lane in one period, in units. The first four are of all requests, the others as in ``rows.LaneRates``."""

    requested: float = 0.0
    admitted: float = 0.0
    requested_over_quota: float = 0.0
    admitted_over_quota: float = 0.0
    demand: float = 0.0
    demand_over_quota: float = 0.0
    first_admitted: float = 0.0
    refused: float = 0.0
    sent: float = 0.0


@dataclass(slots=True)
class PeriodTotals:
    """All lanes in one period; ``seconds`` is set at its end."""

    lanes: list[LaneTotals]
    seconds: float = 0.0
    first_requests: int = 0  # requests that are no retries

    @property
    def has_requests(self) -> bool:
        return any(t.requested + t.requested_over_quota > 0 for t in self.lanes)


class Meter:
    """Counts requests, and follows each admitted request to its first action."""

    def __init__(self, lanes: int, period: float, now: float) -> None:
        self._lanes, self._began_at = lanes, now
        self._first_at: float | None = None  # when the period of the first request began
        self._recent_periods = max(2, round(RECENT_SECONDS / period))
        self._unchanged_periods = 0  # periods since thresholds changed
        self._ended = deque[PeriodTotals](maxlen=max(2, round(DEMAND_SECONDS / period)))
        self._current = self._new_period()
        self._open = dict[int, tuple[int, api.Request, bool]]()

    def __repr__(self) -> str:
        return f"<Meter {len(self._open)} open, {len(self._ended)} periods>"

    def _new_period(self) -> PeriodTotals:
        return PeriodTotals([LaneTotals() for _ in range(self._lanes)])

    def count_request(self, lane: int, event: api.Request, within_quota: bool, is_demand: bool) -> None:
        """Count a request that has arrived.

        ``is_demand`` says whether a first request counts as demand within quota. Retries add no demand.
        """
        self._first_at = self._began_at if self._first_at is None else self._first_at
        totals = self._current.lanes[lane]
        self._current.first_requests += not event.repeat
        if within_quota:
            totals.requested += event.units
        else:
            totals.requested_over_quota += event.units
        if not event.repeat:
            totals.demand += event.units * is_demand
            totals.demand_over_quota += event.units * (not is_demand)

    def count_admitted(self, lane: int, event: api.Request, within_quota: bool) -> None:
        """Count a request that the lane admits, which goes on to the decision module."""
        totals = self._current.lanes[lane]
        if within_quota:
            totals.admitted += event.units
            totals.first_admitted += 0.0 if event.repeat else event.units
        else:
            totals.admitted_over_quota += event.units
        if len(self._open) < MAX_OPEN:
            self._open[event.id] = lane, event, within_quota

    def count_actions(self, actions: list[api.Action]) -> None:
        """Count the decision module's answer to an event: the first action for a request shows its outcome."""
        for action in actions:
            if isinstance(action, api.Send):
                if (entry := self._open.pop(action.id, None)) is not None:
                    self._current.lanes[entry[0]].sent += entry[1].units
            elif isinstance(action, api.Refuse | api.Fail) and action.id in self._open:
                self._count_refused(*self._open.pop(action.id), action.why)

    def _count_refused(self, lane: int, event: api.Request, within_quota: bool, why: str) -> None:
        if not within_quota or event.repeat:
            return
        totals = self._current.lanes[lane]
        if why in CAPACITY_REFUSAL_CAUSES:
            totals.refused += (
                event.units if self._began_at - (self._first_at or self._began_at) >= WARMUP_SECONDS else 0.0
            )
        elif why != "attempts":  # the decision module found the request over its quota or a ceiling
            totals.first_admitted -= event.units

    def forget_request(self, id: int) -> None:
        self._open.pop(id, None)

    def reset_window(self) -> None:
        """Restart the recent window, as other thresholds apply from now on.

        What became of earlier requests says little about what becomes of requests under the new thresholds.
        """
        self._unchanged_periods = 0

    def end_period(self, now: float) -> PeriodTotals:
        """End the current period and return its totals."""
        self._unchanged_periods += 1
        ended, self._current = self._current, self._new_period()
        ended.seconds, self._began_at = max(1e-3, now - self._began_at), now
        self._ended.append(ended)
        return ended

    def rates(self) -> tuple[LaneRates, ...]:
        """Return the rates over the recent periods in units a second, lane by lane.

        The demand is a mean over a longer window: with a short one, a lower lane would be given capacity that the first
        lane demands again a moment later.
        """
        self._drop_old_periods()
        demand_window = list(self._ended)
        recent = demand_window[-max(self._recent_periods, self._unchanged_periods) :]

        def rate(lane: int, of: Callable[[LaneTotals], float], periods: list[PeriodTotals]) -> float:
            seconds = sum(period.seconds for period in periods)
            return max(0.0, sum(of(period.lanes[lane]) for period in periods)) / seconds if periods else 0.0

        return tuple(
            LaneRates(
                rate(lane, lambda t: t.demand, demand_window),
                rate(lane, lambda t: t.demand_over_quota, demand_window),
                rate(lane, lambda t: t.first_admitted, recent), rate(lane, lambda t: t.refused, recent),
                rate(lane, lambda t: t.sent, recent),
            )
            for lane in range(self._lanes)
        )  # fmt: skip

    def _drop_old_periods(self) -> None:
        """Drop the earlier periods where the recent ones differ from them significantly.

        Arrivals are assumed to be a Poisson process: where ``n`` requests are expected, the standard deviation is
        ``n ** 0.5``.
        """
        periods = list(self._ended)
        earlier, recent = periods[: -self._recent_periods], periods[-self._recent_periods :]
        if not earlier:
            return
        seconds = sum(p.seconds for p in recent)
        expected = sum(p.first_requests for p in earlier) / sum(p.seconds for p in earlier) * seconds
        if (
            abs(sum(p.first_requests for p in recent) - expected)
            > STEADY_DEVIATIONS * max(1.0, expected) ** 0.5
        ):
            self._ended = deque(recent, self._ended.maxlen)
