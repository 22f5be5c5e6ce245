"""Load shedding at one limiter, between the node and the decision module, where it sees each event and action.

A request either goes on to the decision module unchanged, or is refused at once. Nothing else is done to it, so no rule
and no ceiling of the decision module can be loosened here. Once a period this limiter publishes its row in the fleet
view, reads the rows of the others, and makes the next shedding policy where it is due (see ``shedding_policy.py``).
Without a fleet view (alone, or with no message from other members for long) it serves as if lanes were off.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from cypresspulley import interface as api
from cypresspulley.fleet.records import FleetView
from cypresspulley.histories.events import Kind
from cypresspulley.histories.writer import AnyHistory
from cypresspulley.lanes import shedding_policy
from cypresspulley.lanes.active_policy import MAX_PRECEDING, ActivePolicy
from cypresspulley.lanes.allocation import (
    Allocation,
    LimiterReport,
    Pressure,
    allocate,
    estimate_capacity,
    measure_pressure,
)
from cypresspulley.lanes.meter import Meter, PeriodTotals
from cypresspulley.lanes.options import LanesOptions
from cypresspulley.lanes.peer_rows import PeerRows
from cypresspulley.lanes.quota_estimate import QuotaEstimator
from cypresspulley.lanes.rows import LanesRow, encode
from cypresspulley.lanes.shedding_module import SheddingModule
from cypresspulley.lanes.states import StateMachine, signal_of
from cypresspulley.net.node import DecisionModule
from cypresspulley.policy.gateway import Gateway

log = logging.getLogger(__name__)

SUBSYSTEM = "lanes"
STALE_PERIODS = 8  # periods past which a row is stale, but not before MIN_STALE_SECONDS
MIN_STALE_SECONDS = 4.0
VIEW_LOST_SECONDS = 10.0  # without a message from any other member, past which there is no fleet view


def inversion_bound(options: LanesOptions, spread: float) -> float:
    """Return the longest time in seconds for which a priority inversion may last.

    An inversion means that the first lane sheds requests within quota while a lower lane admits more than its floor
    anywhere, or that a policy is in force here and not yet there. Rows travel for up to ``spread`` seconds, and are
    written and read once a period. See ``docs/design/lanes.md``.
    """
    return spread + 2 * options.period_seconds


class LoadShedder:
    """``clock`` is a clock that never steps; ``gateway`` is only read."""

    def __init__(
        self, options: LanesOptions, view: FleetView, gateway: Gateway, settings: api.Settings,
        history: AnyHistory, clock: Callable[[], float],
    ) -> None:  # fmt: skip
        self._options, self._view, self._gateway = options, view, gateway
        self._history, self._clock = history, clock
        now, count = clock(), len(options.lanes)
        self.state_machine, self.meter = StateMachine(), Meter(count, options.period_seconds, now)
        self.estimator = QuotaEstimator(gateway.quotas, settings)
        self.peer_rows = PeerRows(
            count, max(MIN_STALE_SECONDS, STALE_PERIODS * options.period_seconds), options.lease_seconds
        )
        self.active = ActivePolicy(options, count, now)
        self.module = SheddingModule(options, settings, self.estimator, self.meter, self.active, history)
        self._timer: asyncio.TimerHandle | None = None
        self._last_contact_at = now

    def __repr__(self) -> str:
        return f"<LoadShedder {self.state_machine!r}, {self.active!r}, {self.peer_rows!r}>"

    def wrap(self, decide: DecisionModule) -> DecisionModule:
        """Return a decision module that sheds load before ``decide``."""
        self.module.decide = decide
        return self.module

    def start(self) -> None:
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(self._options.period_seconds, self._tick)

    def close(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _tick(self) -> None:
        self._timer = asyncio.get_running_loop().call_later(self._options.period_seconds, self._tick)
        try:
            self.run_period(self._clock())
        except Exception:  # a fault must not stop the periods, or an outdated policy would stay in force
            log.exception("lanes: a period failed")

    def run_period(self, now: float) -> None:
        """Run the tasks of one period: read rows, update state and policy, publish this limiter's row."""
        ended, active, view = self.meter.end_period(now), self.active, self._view
        self.peer_rows.update(now, view.local_name, view.rows(now, SUBSYSTEM), view.get_member)
        own = LimiterReport(view.local_name, self.meter.rates(), self._gateway.gate.load)
        reports = [own, *self.peer_rows.reports()]
        pressure = measure_pressure(reports)
        active.is_suspended = self._has_no_view(now, reports)
        if not active.is_suspended:
            self._update_policy(now, reports, pressure)
        elif self.state_machine.reset():
            self._record_state(pressure)
        self._publish(now, own)
        if ended.has_requests:
            capacity = (
                active.capacity
                if active.in_force
                else max(estimate_capacity(self._options.lanes, reports, None), pressure.demand)
            )
            self._record_period(ended, allocate(self._options.lanes, reports, capacity), reports)

    def _has_no_view(self, now: float, reports: list[LimiterReport]) -> bool:
        """Return whether this limiter is alone, or has received nothing from any other for long."""
        if self._view.count_responsive(now, self._options.period_seconds * STALE_PERIODS) > 0:
            self._last_contact_at = now
        return len(reports) < 2 or now - self._last_contact_at > VIEW_LOST_SECONDS

    def _update_policy(self, now: float, reports: list[LimiterReport], pressure: Pressure) -> None:
        """Merge the policies of the others, update the state, and make a revision where one is due."""
        active, state_machine = self.active, self.state_machine
        if active.merge(now, self.peer_rows.rows()):
            self.meter.reset_window()
            self._apply_policy(pressure)
        elif active.in_force:  # the state may have been reset while there was no fleet view
            self._apply_policy(pressure)
        preceding = sum(owner < self._view.local_name for owner in self.peer_rows.fresh_owners())
        unserved_share = pressure.unserved_share(active.capacity if active.in_force else None)
        if state_machine.handle_signal(signal_of(unserved_share)):
            self._record_state(pressure)
        if active.is_due(now, state_machine.state, pressure, reports, min(preceding, MAX_PRECEDING)):
            author = shedding_policy.author_id(self._view.local_name, self._view.life)
            active.revise(now, state_machine.state, reports, author)
            self.meter.reset_window()
            self._apply_policy(pressure)

    def _apply_policy(self, pressure: Pressure) -> None:
        if self.state_machine.handle_policy(not self.active.policy.is_open):
            self._record_state(pressure)

    def _record_state(self, pressure: Pressure) -> None:
        capacity = self.active.capacity if self.active.in_force else None
        state, value = (
            self.state_machine.state.name.lower(),
            round(pressure.unserved_share(capacity), 4),
        )
        self._history.put(Kind.LANES_STATE, state=state, pressure=value)
        log.info("lanes: %s, pressure %.2f, %r", state, value, self.active)

    def _publish(self, now: float, own: LimiterReport) -> None:
        gate, active = self._gateway.gate, self.active
        admit_rate = gate.admit_rate if gate.integral is not None else 0.0
        row = LanesRow(
            self.state_machine.state,
            admit_rate,
            gate.load,
            own.rates,
            active.policy,
            active.seconds_left(now),
        )
        self._view.publish(SUBSYSTEM, encode(row))

    def _record_period(
        self, ended: PeriodTotals, allocation: Allocation, reports: list[LimiterReport]
    ) -> None:
        """Write one event for a period that had requests. Floors follow the demand, not the allocation."""
        lanes, me = self._options.lanes, self._view.local_name
        names = [lane.name for lane in lanes]
        own = allocation.by_limiter[me]
        demand = [
            sum(report.rates[n].demand for report in reports if not report.is_stale)
            for n in range(len(lanes))
        ]
        floors = [
            min(lane.floor_rate(allocation.capacity), total) * (rates.demand / total if total > 0 else 0.0)
            for lane, total, rates in zip(lanes, demand, reports[0].rates, strict=True)
        ]

        def by_lane(values: list[float]) -> dict[str, float]:
            return {name: round(value, 3) for name, value in zip(names, values, strict=True)}

        self._history.put(
            Kind.LANES_PERIOD,
            state=self.state_machine.state.name.lower(),
            seconds=round(ended.seconds, 4),
            asked=by_lane([t.requested for t in ended.lanes]),
            passed=by_lane([t.admitted for t in ended.lanes]),
            asked_over=by_lane([t.requested_over_quota for t in ended.lanes]),
            passed_over=by_lane([t.admitted_over_quota for t in ended.lanes]),
            shares=by_lane(list(own)),
            floors=by_lane(floors),
            bears=round(allocation.capacity, 3),
        )
