"""What each lane was asked and what became of it, by periods, at one limiter."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from cypresspulley import interface as api
from cypresspulley.lanes.rows import Figures

WINDOW = 2.0  # seconds of which figures are a mean
LONG = 8.0  # seconds of which what is asked is a mean, while it is steady
YOUNG = (
    8.0  # seconds from the first try, in which refusals tell of this limiter: it knows no server's rate yet
)
STEADY = 3.0  # standard deviations by which tries in the window may be off the mean of the long one
ROOM = ("gate", "no server")  # causes of a refusal for want of room; the others are the account's own affair
OPEN_AT_MOST = 65_536  # tries whose first action has not come; a limiter has sockets for a few thousand


@dataclass(slots=True)
class Sums:
    """One lane in one period, units. The first four are of all tries, the others as in ``rows.Figures``."""

    asked: float = 0.0
    passed: float = 0.0
    asked_over: float = 0.0
    passed_over: float = 0.0
    first: float = 0.0
    over: float = 0.0
    let: float = 0.0
    short: float = 0.0
    sent: float = 0.0


@dataclass(slots=True)
class Period:
    """All lanes in one period; ``seconds`` is set at its end."""

    lanes: list[Sums]
    seconds: float = 0.0
    tries: int = 0  # first ones

    @property
    def asked(self) -> bool:
        return any(s.asked + s.asked_over > 0 for s in self.lanes)


class Meter:
    """Counts tries, and follows each that a lane lets pass to its first action."""

    def __init__(self, lanes: int, period: float, now: float) -> None:
        self._lanes, self._began = lanes, now
        self._first: float | None = None  # when the period of the first try began
        self._recent = max(2, round(WINDOW / period))
        self._since = 0  # periods since thresholds changed
        self._done = deque[Period](maxlen=max(2, round(LONG / period)))
        self._now = self._fresh()
        self._open = dict[int, tuple[int, api.Request, bool]]()

    def __repr__(self) -> str:
        return f"<Meter {len(self._open)} open, {len(self._done)} periods>"

    def _fresh(self) -> Period:
        return Period([Sums() for _ in range(self._lanes)])

    def asked(self, lane: int, ev: api.Request, inside: bool, counts: bool) -> None:
        """A try has come; a first one ``counts`` for what its account asks. Repeats ask for nothing more."""
        self._first = self._began if self._first is None else self._first
        sums = self._now.lanes[lane]
        self._now.tries += not ev.repeat
        if inside:
            sums.asked += ev.units
        else:
            sums.asked_over += ev.units
        if not ev.repeat:
            sums.first += ev.units * counts
            sums.over += ev.units * (not counts)

    def passed(self, lane: int, ev: api.Request, inside: bool) -> None:
        """The lane lets it pass: the decisions have it next."""
        sums = self._now.lanes[lane]
        if inside:
            sums.passed += ev.units
            sums.let += 0.0 if ev.repeat else ev.units
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
        if not inside or ev.repeat:
            return
        sums = self._now.lanes[lane]
        if why in ROOM:
            sums.short += ev.units if self._began - (self._first or self._began) >= YOUNG else 0.0
        elif why != "attempts":  # the decisions know better: it was beyond its quota or a ceiling
            sums.let -= ev.units

    def departed(self, id: int) -> None:
        self._open.pop(id, None)

    def changed(self) -> None:
        """Other thresholds hold from now on: what became of tries before says little of what becomes of them now."""
        self._since = 0

    def cut(self, now: float) -> Period:
        """A period ends; its sums."""
        self._since += 1
        done, self._now = self._now, self._fresh()
        done.seconds, self._began = max(1e-3, now - self._began), now
        self._done.append(done)
        return done

    def figures(self) -> tuple[Figures, ...]:
        """Units a second over the recent periods, lane by lane. What is asked is a longer mean: by a short one a lower
        lane would get what the first asks again a moment later."""
        self._forget()
        long = list(self._done)
        recent = long[-max(self._recent, self._since) :]

        def rate(lane: int, of: Callable[[Sums], float], periods: list[Period]) -> float:
            seconds = sum(period.seconds for period in periods)
            return max(0.0, sum(of(period.lanes[lane]) for period in periods)) / seconds if periods else 0.0

        return tuple(
            Figures(
                rate(lane, lambda s: s.first, long), rate(lane, lambda s: s.over, long),
                rate(lane, lambda s: s.let, recent), rate(lane, lambda s: s.short, recent),
                rate(lane, lambda s: s.sent, recent),
            )
            for lane in range(self._lanes)
        )  # fmt: skip

    def _forget(self) -> None:
        """Where the recent are not of a kind with those before, what was before is over. Arrivals are taken for
        Poisson's: of ``n`` that were to come, some ``n ** 0.5`` more or fewer do."""
        periods = list(self._done)
        before, recent = periods[: -self._recent], periods[-self._recent :]
        if not before:
            return
        seconds = sum(p.seconds for p in recent)
        due = sum(p.tries for p in before) / sum(p.seconds for p in before) * seconds
        if abs(sum(p.tries for p in recent) - due) > STEADY * max(1.0, due) ** 0.5:
            self._done = deque(recent, self._done.maxlen)
