"""Lanes at one limiter: between the node and the decisions, seeing each event and action.

A try either goes on to the decisions unchanged, or is turned away at once. Nothing else is ever done to it, so no rule
and no ceiling of the decisions can be loosened here. Once a period this limiter's row is told through the view, the
others' are read, and where it is time the next spell is made (see ``spells.py``). Without a view to go by (alone, or
nobody heard for long) it serves as if lanes were off.
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
from cypresspulley.lanes.active_policy import MOST_PATIENT, Course
from cypresspulley.lanes.allocation import Pressure, Shares, Told, borne, pressure, shares
from cypresspulley.lanes.meter import Meter, Period
from cypresspulley.lanes.options import LanesOptions
from cypresspulley.lanes.peer_rows import Heard
from cypresspulley.lanes.quota_estimate import Stores
from cypresspulley.lanes.rows import LanesRow, encode
from cypresspulley.lanes.shedding_module import Way
from cypresspulley.lanes.states import Machine, signal_of
from cypresspulley.net.node import DecisionModule
from cypresspulley.policy.gateway import Gateway

log = logging.getLogger(__name__)

SUBSYSTEM = "lanes"
STALE = 8  # periods past which a row is stale, and
LEAST_STALE = 4.0  # seconds at least
LOST = 10.0  # seconds without any other member heard, past which there is no view


def inversion_bound(options: LanesOptions, spread: float) -> float:
    """Seconds, at most, in which a first lane's try inside quota is turned away by a lane while a lower lane passes
    above its floor anywhere, or lanes are in force here and not yet there: rows travel for ``spread`` seconds, and are
    written and read once a period. See ``docs/design/lanes.md``."""
    return spread + 2 * options.period


class Lanes:
    """``clock`` never steps; ``view`` may be anyone's; ``gateway`` is read only."""

    def __init__(
        self, options: LanesOptions, view: FleetView, gateway: Gateway, settings: api.Settings,
        history: AnyHistory, clock: Callable[[], float],
    ) -> None:  # fmt: skip
        self._options, self._view, self._gateway = options, view, gateway
        self._history, self._clock = history, clock
        now, count = clock(), len(options.lanes)
        self.machine, self.meter = Machine(), Meter(count, options.period, now)
        self.stores = Stores(gateway.quotas, settings)
        self.heard = Heard(count, max(LEAST_STALE, STALE * options.period), options.lease)
        self.course = Course(options, count, now)
        self.way = Way(options, settings, self.stores, self.meter, self.course, history)
        self._timer: asyncio.TimerHandle | None = None
        self._heard_at = now

    def __repr__(self) -> str:
        return f"<Lanes {self.machine!r}, {self.course!r}, {self.heard!r}>"

    def deciding(self, decide: DecisionModule) -> DecisionModule:
        """``decide`` with lanes before it."""
        self.way.decide = decide
        return self.way

    def start(self) -> None:
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(self._options.period, self._tick)

    def close(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _tick(self) -> None:
        self._timer = asyncio.get_running_loop().call_later(self._options.period, self._tick)
        try:
            self.period(self._clock())
        except Exception:  # a fault here must not end the periods: what passes would be held by an old spell
            log.exception("lanes: a period failed")

    def period(self, now: float) -> None:
        """What is done once a period."""
        done, course, view = self.meter.cut(now), self.course, self._view
        self.heard.update(now, view.local_name, view.rows(now, SUBSYSTEM), view.get_member)
        mine = Told(view.local_name, self.meter.figures(), self._gateway.gate.load)
        told = [mine, *self.heard.told()]
        found = pressure(told)
        course.off = self._viewless(now, told)
        if not course.off:
            self._steer(now, told, found)
        elif self.machine.off():
            self._state(found)
        self._publish(now, mine)
        if done.asked:
            bears = (
                course.bears if course.in_force else max(borne(self._options.lanes, told, None), found.asked)
            )
            self._report(done, shares(self._options.lanes, told, bears), told)

    def _viewless(self, now: float, told: list[Told]) -> bool:
        """Whether there is nobody to agree with: alone, or nobody heard for long."""
        if self._view.count_heard(now, self._options.period * STALE) > 0:
            self._heard_at = now
        return len(told) < 2 or now - self._heard_at > LOST

    def _steer(self, now: float, told: list[Told], found: Pressure) -> None:
        """States and spells."""
        course, machine = self.course, self.machine
        if course.join(now, self.heard.rows()):
            self.meter.changed()
            self._held(found)
        elif course.in_force:  # it may have been without a view
            self._held(found)
        before = sum(owner < self._view.local_name for owner in self.heard.fresh())
        value = found.value(course.bears if course.in_force else None)
        if machine.heard(signal_of(value)):
            self._state(found)
        if course.due(now, machine.state, found, told, min(before, MOST_PATIENT)):
            maker = shedding_policy.maker_of(self._view.local_name, self._view.life)
            course.turn(now, machine.state, told, maker)
            self.meter.changed()
            self._held(found)

    def _held(self, found: Pressure) -> None:
        if self.machine.held(not self.course.spell.open):
            self._state(found)

    def _state(self, found: Pressure) -> None:
        bears = self.course.bears if self.course.in_force else None
        state, value = self.machine.state.name.lower(), round(found.value(bears), 4)
        self._history.put(Kind.LANES_STATE, state=state, pressure=value)
        log.info("lanes: %s, pressure %.2f, %r", state, value, self.course)

    def _publish(self, now: float, mine: Told) -> None:
        gate, course = self._gateway.gate, self.course
        rate = gate.admit_rate if gate.integral is not None else 0.0
        row = LanesRow(self.machine.state, rate, gate.load, mine.figures, course.spell, course.left(now))
        self._view.publish(SUBSYSTEM, encode(row))

    def _report(self, done: Period, found: Shares, told: list[Told]) -> None:
        """One event for a period in which anything was asked. Floors are by what is asked, not by what was given."""
        lanes, me = self._options.lanes, self._view.local_name
        names = [lane.name for lane in lanes]
        own = found.at[me]
        asked = [sum(row.figures[n].asked for row in told if not row.stale) for n in range(len(lanes))]
        floors = [
            min(lane.kept(found.bears), whole) * (figures.asked / whole if whole > 0 else 0.0)
            for lane, whole, figures in zip(lanes, asked, told[0].figures, strict=True)
        ]

        def by_lane(values: list[float]) -> dict[str, float]:
            return {name: round(value, 3) for name, value in zip(names, values, strict=True)}

        self._history.put(
            Kind.LANES_PERIOD,
            state=self.machine.state.name.lower(),
            seconds=round(done.seconds, 4),
            asked=by_lane([s.asked for s in done.lanes]),
            passed=by_lane([s.passed for s in done.lanes]),
            asked_over=by_lane([s.asked_over for s in done.lanes]),
            passed_over=by_lane([s.passed_over for s in done.lanes]),
            shares=by_lane(list(own)),
            floors=by_lane(floors),
            bears=round(found.bears, 3),
        )
