"""What each lane was asked and what became of it, by periods, at one limiter."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from cypresspulley import interface as api
from cypresspulley.lanes.rows import Figures

WINDOW = 2.0  # seconds of which figures are a mean: less is noise, more is late
ROOM = ("gate", "no server")  # causes of a refusal for want of room; the others are the account's own affair
OPEN_AT_MOST = 65_536  # tries whose first action has not come; a limiter has sockets for a few thousand


@dataclass(slots=True)
class Sums:
    """One lane in one period, units. ``first``: of ``asked``, first tries alone; see ``rows.Figures``."""

    asked: float = 0.0
    passed: float = 0.0
    asked_over: float = 0.0
    passed_over: float = 0.0
    first: float = 0.0
    over: float = 0.0
    sent: float = 0.0
    short: float = 0.0


@dataclass(slots=True)
class Period:
    """All lanes in one period; ``seconds`` is set at its end."""

    lanes: list[Sums]
    seconds: float = field(default=0.0)

    @property
    def asked(self) -> bool:
        return any(s.asked + s.asked_over > 0 for s in self.lanes)


class Meter:
    """Counts tries, and follows each that a lane lets pass to its first action."""

    def __init__(self, lanes: int, period: float, now: float) -> None:
        self._lanes, self._began = lanes, now
        self._done = deque[Period](maxlen=max(2, round(WINDOW / period)))
        self._now = self._fresh()
        self._open = dict[int, tuple[int, api.Request, bool]]()

    def __repr__(self) -> str:
        return f"<Meter {len(self._open)} open, {len(self._done)} periods>"

    def _fresh(self) -> Period:
        return Period([Sums() for _ in range(self._lanes)])

    def asked(self, lane: int, ev: api.Request, inside: bool) -> None:
        """A try has come. Repeats belong to their first tries and ask for nothing more."""
        sums = self._now.lanes[lane]
        if inside:
            sums.asked += ev.units
            sums.first += 0.0 if ev.repeat else ev.units
        else:
            sums.asked_over += ev.units
            sums.over += 0.0 if ev.repeat else ev.units

    def passed(self, lane: int, ev: api.Request, inside: bool) -> None:
        """The lane lets it pass: the decisions have it next."""
        sums = self._now.lanes[lane]
        if inside:
            sums.passed += ev.units
        else:
            sums.passed_over += ev.units
        if len(self._open) < OPEN_AT_MOST:
            self._open[ev.id] = lane, ev, inside

    def acted(self, actions: list[api.Action]) -> None:
        """What the decisions answered to any event: the first action for a try tells what became of it."""
        for action in actions:
            if isinstance(action, api.Send):
                if (one := self._open.pop(action.id, None)) is not None:
                    self._now.lanes[one[0]].sent += one[1].units
            elif isinstance(action, api.Refuse | api.Fail) and action.id in self._open:
                self._refused(*self._open.pop(action.id), action.why)

    def _refused(self, lane: int, ev: api.Request, inside: bool, why: str) -> None:
        sums = self._now.lanes[lane]
        if why in ROOM:
            sums.short += ev.units if inside else 0.0
        elif inside and why != "attempts":  # the decisions know better: it was beyond its quota or a ceiling
            sums.first -= 0.0 if ev.repeat else ev.units
            sums.over += 0.0 if ev.repeat else ev.units

    def departed(self, id: int) -> None:
        self._open.pop(id, None)

    def cut(self, now: float) -> Period:
        """A period ends; its sums."""
        done, self._now = self._now, self._fresh()
        done.seconds, self._began = max(1e-3, now - self._began), now
        self._done.append(done)
        return done

    def figures(self) -> tuple[Figures, ...]:
        """Units a second over the recent periods, lane by lane."""
        seconds = sum(period.seconds for period in self._done)
        if seconds <= 0:
            return (Figures(),) * self._lanes

        def rate(lane: int, of: Callable[[Sums], float]) -> float:
            return max(0.0, sum(of(period.lanes[lane]) for period in self._done)) / seconds

        return tuple(
            Figures(
                rate(lane, lambda s: s.first), rate(lane, lambda s: s.over),
                rate(lane, lambda s: s.sent), rate(lane, lambda s: s.short),
            )
            for lane in range(self._lanes)
        )  # fmt: skip
