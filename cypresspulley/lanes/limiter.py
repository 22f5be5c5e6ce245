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
from cypresspulley.lanes import spells
from cypresspulley.lanes.heard import Heard
from cypresspulley.lanes.meter import Meter, Period
from cypresspulley.lanes.options import LanesOptions
from cypresspulley.lanes.rows import TENTHS, LanesRow, encode
from cypresspulley.lanes.share import Pressure, Shares, Told, borne, pressure, shares
from cypresspulley.lanes.spells import WHOLE, Spell
from cypresspulley.lanes.states import Machine, State, signal_of
from cypresspulley.lanes.stores import Stores
from cypresspulley.lanes.who import passes
from cypresspulley.net.node import Decisions
from cypresspulley.policy.gateway import Gateway

log = logging.getLogger(__name__)

SUBSYSTEM = "lanes"
STALE = 8  # periods past which a row is stale, and
LEAST_STALE = 4.0  # seconds at least
LOST = 10.0  # seconds without any other member heard, past which there is no view
PATIENCE = 2  # periods that each limiter leaves to the one before it by name to make the next spell
MOST_PATIENT = 3  # limiters that are waited for at most
REVIEW = 6.0  # seconds between two revisions: rows must show what the last one did
SOON = 3.0  # the same where gates refuse too much
TIGHT = 2.0  # times what is wanted of them, and lower lanes have more than their floors
STEADY = 0.08  # of a threshold: smaller revisions are not made
TURNED_AT_MOST = 20_000  # accounts of a spell that histories have been told of


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
        self.way = Way(options, self, settings)
        self._timer: asyncio.TimerHandle | None = None
        self._heard_at = now

    def __repr__(self) -> str:
        return f"<Lanes {self.machine!r}, {self.course!r}, {self.heard!r}>"

    def deciding(self, decide: Decisions) -> Decisions:
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
        self.heard.update(now, view.me, view.rows(now, SUBSYSTEM), view.member)
        mine = Told(view.me, self.meter.figures(), self._gateway.gate.reading)
        told = [mine, *self.heard.told()]
        found = pressure(told)
        if self._viewless(now, told):
            if course.off is False and self.machine.off():
                self._state(found)
            course.off = True
        else:
            course.off = False
            self._steer(now, told, found)
        self._publish(now, mine)
        if done.asked:
            bears = course.bears if course.in_force else max(borne(told, None), found.asked)
            self._report(done, shares(self._options.lanes, told, bears))

    def _viewless(self, now: float, told: list[Told]) -> bool:
        """Whether there is nobody to agree with: alone, or nobody heard for long."""
        if self._view.heard(now, self._options.period * STALE) > 0:
            self._heard_at = now
        return len(told) < 2 or now - self._heard_at > LOST

    def _steer(self, now: float, told: list[Told], found: Pressure) -> None:
        """States and spells."""
        course, machine = self.course, self.machine
        if course.join(now, self.heard.rows()):
            self.meter.changed()
            if machine.held(not course.spell.open):
                self._state(found)
        before = sum(owner < self._view.me for owner in self.heard.fresh())
        value = found.value(course.bears if course.in_force else None)
        if machine.heard(signal_of(value)):
            self._state(found)
        if course.due(now, machine.state, found, told, min(before, MOST_PATIENT)):
            maker = spells.maker_of(self._view.me, self._view.life)
            course.turn(now, machine.state, told, maker)
            self.meter.changed()
            if machine.held(not course.spell.open):
                self._state(found)

    def _state(self, found: Pressure) -> None:
        bears = self.course.bears if self.course.in_force else None
        state, value = self.machine.state.name.lower(), round(found.value(bears), 4)
        self._history.put(Kind.LANES_STATE, state=state, pressure=value)
        log.info("lanes: %s, pressure %.2f, %r", state, value, self.course)

    def _publish(self, now: float, mine: Told) -> None:
        gate, course = self._gateway.gate, self.course
        rate = gate.u if gate.sum is not None else 0.0
        row = LanesRow(self.machine.state, rate, gate.reading, mine.figures, course.spell, course.left(now))
        self._view.publish(SUBSYSTEM, encode(row))

    def _report(self, done: Period, found: Shares) -> None:
        """One event for a period in which anything was asked."""
        lanes, me = self._options.lanes, self._view.me
        names = [lane.name for lane in lanes]
        own = found.at[me]
        floors = [
            min(lane.kept(found.bears), whole) * (part / whole if whole > 0 else 0.0)
            for lane, whole, part in zip(lanes, found.inside, own, strict=True)
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

    def turned(self, now: float, ev: api.Request, lane: int, inside: bool) -> float:
        """A try gives way; seconds until the spell ends."""
        spell = self.course.spell
        if inside:
            self.stores.turned(now, ev)
        name = self._options.lanes[lane].name
        self._history.put(
            Kind.LANES_TURNED, id=ev.id, account=ev.account, lane=name, inside=inside, spell=spell.name,
            until=spell.until / 1000,
        )  # fmt: skip
        return self.course.left(now)

    def let(self, ev: api.Request, lane: int) -> None:
        """A try inside quota passes while a spell is in force: told once an account and spell."""
        if self.course.first_let(ev.account):
            name = self._options.lanes[lane].name
            self._history.put(Kind.LANES_LET, account=ev.account, lane=name, spell=self.course.spell.name)


class Course:
    """The spell that holds here, and when the next one is due."""

    def __init__(self, options: LanesOptions, count: int, now: float) -> None:
        self._options, self.spell = options, spells.first(count)
        self._since, self._ends, self._wanted = now, 0.0, None  # type: float, float, float | None
        self._let = set[str]()
        self.off = True  # until there is a view

    def __repr__(self) -> str:
        inside = "/".join(f"{share / WHOLE:.2f}" for share in self.spell.inside)
        return f"<spell {self.spell.number} {'open' if self.spell.open else inside}{', off' * self.off}>"

    @property
    def in_force(self) -> bool:
        return not self.off and not self.spell.open

    @property
    def bears(self) -> float:
        """What the fleet was held to bear when the spell was made, units a second."""
        return self.spell.bears / TENTHS

    def left(self, now: float) -> float:
        """Seconds until the spell ends; 0 for an open one."""
        return 0.0 if self.spell.open else max(0.0, self._ends - now)

    def first_let(self, account: str) -> bool:
        if account in self._let or len(self._let) >= TURNED_AT_MOST:
            return False
        self._let.add(account)
        return True

    def join(self, now: float, rows: list[LanesRow]) -> bool:
        """Take the spell that holds over all that are known; True where it is another one."""
        best = max(rows, key=lambda row: row.spell.key, default=None)
        if best is None:
            return False
        changed = best.spell.holds_over(self.spell)
        if changed:
            self._enter(now, best.spell, best.left)
        for row in rows:
            if (
                row.spell.key == self.spell.key
            ):  # the earliest end: rows are late by as long as they travelled
                self._ends = min(self._ends, now + row.left)
        return changed

    def _enter(self, now: float, spell: Spell, left: float) -> None:
        self.spell, self._since, self._wanted = spell, now, None
        self._ends = now + min(left, self._options.spell)
        self._let.clear()

    def due(self, now: float, state: State, found: Pressure, told: list[Told], before: int) -> bool:
        """Whether this limiter is to make the next spell now; ``before`` others have the word first."""
        wanted = self._wants(now, state, found, told)
        if not wanted:
            self._wanted = None
            return False
        self._wanted = now if self._wanted is None else self._wanted
        return now - self._wanted >= before * PATIENCE * self._options.period - 1e-6

    def _wants(self, now: float, state: State, found: Pressure, told: list[Told]) -> bool:
        if self.spell.open:
            return state.in_force
        if now - self._since < 2 * self._options.period:
            return False
        if now >= self._ends:
            return True
        return now - self._since >= (SOON if self._too_much(found, told) else REVIEW)

    def _too_much(self, found: Pressure, told: list[Told]) -> bool:
        """Whether gates refuse far more than is wanted, while lower lanes could give way."""
        if found.over < TIGHT or found.pressed < 2:
            return False
        wanted = shares(self._options.lanes, told, borne(told, self.bears)).passing
        held = self.spell.inside
        return any(share * WHOLE < 0.9 * mine for share, mine in zip(wanted[1:], held[1:], strict=True))

    def turn(self, now: float, state: State, told: list[Told], maker: int) -> None:
        """Make the next revision: by all rows, and let no more pass than before while someone is not heard."""
        bears = borne(told, None if self.spell.open else self.bears)
        found = shares(self._options.lanes, told, bears)
        inside, beyond = found.passing, found.passing_beyond
        if any(row.stale for row in told):
            inside = tuple(min(s, h / WHOLE) for s, h in zip(inside, self.spell.inside, strict=True))
            beyond = tuple(min(s, h / WHOLE) for s, h in zip(beyond, self.spell.beyond, strict=True))
        elif state is State.EASING and min(inside) >= 1:
            return self._enter(now, spells.opened(self.spell, maker), 0.0)
        over = self.spell.open or now >= self._ends
        if not over:
            inside = tuple(_steady(s, h / WHOLE) for s, h in zip(inside, self.spell.inside, strict=True))
        until = now + self._options.spell if over else 0.0
        spell = spells.revised(self.spell, maker, until, bears, inside, beyond)
        return self._enter(now, spell, self._options.spell if over else self.left(now))


def _steady(wanted: float, held: float) -> float:
    """A threshold is left where it is for a small difference: each change costs some account its place, whose clients
    then ask again in vain, or are let in too late to be of use."""
    return held if abs(wanted - held) < STEADY * max(wanted, held) else wanted


class Way:
    """The decisions as the node sees them: what a lane turns away never reaches those behind."""

    def __init__(self, options: LanesOptions, lanes: Lanes, settings: api.Settings) -> None:
        self.decide: Decisions | None = None
        self._lanes, self._most_wait = lanes, settings.max_retry_after
        self._meter, self._stores, self._course = lanes.meter, lanes.stores, lanes.course
        self._lane_of = {plan: n for n, lane in enumerate(options.lanes) for plan in lane.plans}
        self._last = len(options.lanes) - 1

    def __repr__(self) -> str:
        return f"<Way {self._lanes!r} before {self.decide!r}>"

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        assert self.decide is not None
        if isinstance(event, api.Request):
            if (refusal := self._judge(now, event)) is not None:
                return [refusal]
        elif isinstance(event, api.Departed):
            self._meter.departed(event.id)
        elif isinstance(event, api.Retune):
            self._most_wait = event.settings.max_retry_after
            self._stores.retune(event.settings)
        actions = self.decide.handle(now, event)
        self._meter.acted(actions)
        return actions

    def _judge(self, now: float, ev: api.Request) -> api.Refuse | None:
        """The refusal of a try that gives way; None lets it pass."""
        lane, inside = self._lane_of.get(ev.plan, self._last), self._stores.inside(now, ev)
        counts = inside and not ev.repeat and self._stores.counts(now, ev)
        self._meter.asked(lane, ev, inside, counts)
        if self._course.in_force:
            spell = self._course.spell
            threshold = (spell.inside if inside else spell.beyond)[lane]
            if not passes(ev.account, spell.turn, threshold):
                left = self._lanes.turned(now, ev, lane, inside)
                if not inside:  # its own store will have room before that
                    left = min(left, self._stores.short(now, ev))
                return api.Refuse(ev.id, min(self._most_wait, max(0.1, left)), "lane")
            if inside:
                self._lanes.let(ev, lane)
        self._meter.passed(lane, ev, inside)
        return None
