"""The model of a request's life in one limiter, held against every event and action; free of I/O.

A request is in one of five states, by what its limiter knows of its attempts. ``FORBIDDEN`` is the state table: which
symbol must not come in which state, for which classes, and which rule it breaks. Rules 3 to 5 are held against each
attempt as it is sent, rule 1 also against the time. The judge sees what reached clients and servers; this sees
each decision, whether or not anything came of it.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum

from cypresspulley import interface as api
from cypresspulley.interface import Effect, Scope, Status
from cypresspulley.rehearsal.rules import CEILING_LATE, CEILING_SLACK, RULES, SOCKETS
from cypresspulley.rehearsal.standins.processor import crash_bound, warm_up_share

LATE = 0.06  # seconds past its time for a final answer
UNRUN = (Status.FULL, Status.UNREACHABLE, Status.DROPPED, Status.NOT_SENT)


class State(Enum):
    """What a limiter knows of a request."""

    WAITING = "nothing sent"  # held for the counter, or between attempts of which none can have run
    OUT = "an attempt is out"
    MAYBE = "may have run, none out"
    MAYBE_OUT = "may have run, one out"
    ENDED = "ended"


class Kind(Enum):
    """Classes by what a repeat does."""

    SAFE = "safe"
    KEYED = "keyed, remembered by all"
    KEYED_PART = "keyed, remembered by a zone or cell"
    UNSAFE = "unsafe"


LOST, TWICE, DRAINS, COLD, CEILINGS = RULES
EVERY = frozenset(Kind)
MAY_NOT_BE_REFUSED = frozenset((Kind.KEYED_PART, Kind.UNSAFE))
ONCE = frozenset((Kind.UNSAFE,))
# (state, symbol): the rule that it breaks, for which classes, and how to say it. What is not here may come.
FORBIDDEN: dict[tuple[State, str], tuple[str, frozenset[Kind], str]] = {
    (State.OUT, "send"): (TWICE, ONCE, "sent again while an attempt is out"),
    (State.MAYBE, "send"): (TWICE, ONCE, "sent again though it may have run"),
    (State.MAYBE_OUT, "send"): (TWICE, ONCE, "sent again though it may have run"),
    (State.OUT, "refuse"): (TWICE, MAY_NOT_BE_REFUSED, "refused while an attempt is out"),
    (State.MAYBE, "refuse"): (TWICE, MAY_NOT_BE_REFUSED, "refused though it may have run"),
    (State.MAYBE_OUT, "refuse"): (TWICE, MAY_NOT_BE_REFUSED, "refused though it may have run"),
    (State.ENDED, "send"): (LOST, EVERY, "sent on after its end"),
    (State.ENDED, "refuse"): (LOST, EVERY, "refused after its end"),
    (State.ENDED, "fail"): (LOST, EVERY, "failed after its end"),
    (State.WAITING, "take"): (LOST, EVERY, "an id was taken that is still open"),
    (State.OUT, "take"): (LOST, EVERY, "an id was taken that is still open"),
    (State.MAYBE, "take"): (LOST, EVERY, "an id was taken that is still open"),
    (State.MAYBE_OUT, "take"): (LOST, EVERY, "an id was taken that is still open"),
}


@dataclass(frozen=True, slots=True)
class Offence:
    """What a step showed: a rule, who, which request and in words."""

    rule: str
    t: float
    limiter: str
    request: int
    text: str


@dataclass(slots=True)
class Life:
    """One request in one limiter."""

    request: api.Request
    kind: Kind
    due: float
    window: float = 0.0
    out: dict[int, str] = field(default_factory=dict)  # attempt to server
    sent: int = 0
    maybe: str = ""  # the server at which it may have run first
    maybe_at: float = 0.0  # when it was sent there
    sent_at: dict[int, float] = field(default_factory=dict)
    ended: bool = False

    @property
    def state(self) -> State:
        if self.ended:
            return State.ENDED
        if self.maybe:
            return State.MAYBE_OUT if self.out else State.MAYBE
        return State.OUT if self.out else State.WAITING


class Ceilings:
    """What all limiters together have first sent of each account that has a hard ceiling."""

    def __init__(self, plans: Iterable[api.Plan], max_units: float) -> None:
        self._plans = {p.name: p for p in plans}
        self._max_units = max_units
        self._left = dict[tuple[str, str], tuple[float, float]]()  # units left, and when

    def drawn(self, now: float, request: api.Request) -> float:
        """Units that this first sending goes over its ceiling and slack; 0 or less is kept."""
        plan = self._plans.get(request.plan)
        if plan is None or plan.ceiling_rate <= 0:
            return 0.0
        key = request.plan, request.account
        left, at = self._left.get(key, (plan.ceiling_burst, now))
        left = min(plan.ceiling_burst, left + plan.ceiling_rate * (now - at)) - request.units
        self._left[key] = left, now
        slack = max(CEILING_SLACK * plan.ceiling_burst, self._max_units) + CEILING_LATE * plan.ceiling_rate
        return -left - slack


@dataclass(frozen=True, slots=True)
class Fleet:
    """What the model knows of servers beside the list: CPU ``cores`` and the mean work of each class, in seconds."""

    cores: float
    work: dict[str, float]
    grace: float  # seconds in which a drain must be heeded
    mean_work: float  # CPU seconds of a request in the mean over all classes


@dataclass(slots=True)
class _Server:
    entry: api.ServerEntry
    since: float  # when it was told to be no longer up
    cold: list[tuple[float, float]] = field(default_factory=list)  # when and how much work, while cold


class Watch:
    """Stands between a limiter's decisions and its node: tells nothing on, holds each step against the model."""

    def __init__(
        self, limiter: str, settings: api.Settings, fleet: Fleet, ceilings: Ceilings,
        offence: Callable[[Offence], None], met: Callable[[str], None],
    ) -> None:  # fmt: skip
        self.limiter, self._set, self._fleet, self._ceilings = limiter, settings, fleet, ceilings
        self._offence, self._met = offence, met
        self._classes = {c.name: c for c in settings.classes}
        self.lives = dict[int, Life]()
        self._servers = dict[str, _Server]()
        self._bans = dict[str, float]()  # servers taken out by hand, and when
        self._back = dict[str, float]()  # and when they were called back: as good as restarted

    def step(self, now: float, event: api.Event, actions: list[api.Action]) -> None:
        """One event and what the decisions made of it."""
        if isinstance(event, api.Request):
            self._take(now, event)
        elif isinstance(event, api.Outcome):
            self._outcome(event)
        elif isinstance(event, api.ClientDisconnected):
            self._gone(event.id)
        elif isinstance(event, api.ServerList):
            self._listed(now, event)
        elif isinstance(event, api.Counted):
            self._met(f"counted {event.status.value}")
        elif isinstance(event, api.Probed):
            self._met(f"probed {event.status.value}")
        elif isinstance(event, api.SettingsChanged):
            self._classes |= {c.name: c for c in event.settings.classes}
        elif isinstance(event, api.BodyProgress | api.ResponseStarted):
            self._flows(now, event)
        for action in actions:
            if isinstance(action, api.Send):
                self._send(now, action)
            elif isinstance(action, api.Ban):
                self._banned(now, action)
            elif isinstance(action, api.Refuse):
                self._end(now, action.id, "refuse", f"refused {action.why}")
            elif isinstance(action, api.Fail):
                self._end(now, action.id, "fail", f"failed {action.why}")
        self._overdue(now)

    def _banned(self, now: float, action: api.Ban) -> None:
        self._met("taken out" if action.out else "called back")
        if action.out:
            self._bans.setdefault(action.server, now)
        elif self._bans.pop(action.server, None) is not None:
            self._back[action.server] = now

    def _flows(self, now: float, event: api.BodyProgress | api.ResponseStarted) -> None:
        """A body's time counts from its last byte; an answer that has begun takes what it takes."""
        if (life := self.lives.get(event.id)) is None:
            return
        if isinstance(event, api.ResponseStarted):
            life.due = float("inf")
        elif event.complete:
            life.due = now + life.request.ttl

    def woke(self, now: float) -> None:
        """The process was stopped and runs again: what fell due meanwhile is due now."""
        for life in self.lives.values():
            life.due = max(life.due, now + LATE)

    def open(self) -> list[Life]:
        return [life for life in self.lives.values() if not life.ended]

    def _say(self, rule: str, now: float, request: int, text: str) -> None:
        self._offence(Offence(rule, now, self.limiter, request, text))

    def _check(self, now: float, id: int, life: Life, symbol: str) -> None:
        found = FORBIDDEN.get((life.state, symbol))
        if found is not None and life.kind in found[1]:
            self._say(found[0], now, id, f"{found[2]} ({life.kind.value})")

    def _take(self, now: float, event: api.Request) -> None:
        self._met("taken again" if event.repeat else "taken")
        cls = self._classes[event.request_class]
        effect = event.effect or cls.effect  # the form in which it came is what its client goes by
        part = effect is Effect.KEYED and cls.scope is not Scope.ALL
        kind = {Effect.SAFE: Kind.SAFE, Effect.UNSAFE: Kind.UNSAFE, Effect.KEYED: Kind.KEYED}[effect]
        if (old := self.lives.get(event.id)) is not None and not old.ended:
            self._check(now, event.id, old, "take")
        kind = Kind.KEYED_PART if part else kind
        due = float("inf") if event.body_pending else now + event.ttl
        self.lives[event.id] = Life(event, kind, due, cls.window)

    def _send(self, now: float, action: api.Send) -> None:
        life = self.lives.get(action.id)
        if life is None:
            return self._say(LOST, now, action.id, "sent on, and was never taken")
        self._check(now, action.id, life, "send")
        self._met("sent" if not life.sent else "split" if life.out else "retried")
        server = self._servers.get(action.server)
        if server is not None:
            self._to_server(now, action.id, life, server)
        if life.maybe and life.kind in (Kind.KEYED, Kind.KEYED_PART):
            self._keyed(now, action, life)
        if not life.sent and (over := self._ceilings.drawn(now, life.request)) > 1e-9:
            self._say(
                CEILINGS,
                now,
                action.id,
                f"account {life.request.account} is {over:.2f} units over ceiling and slack",
            )
        life.out[life.sent], life.sent_at[life.sent] = action.server, now
        life.sent += 1

    def _to_server(self, now: float, id: int, life: Life, server: _Server) -> None:
        entry = server.entry
        if entry.health is not api.Health.UP and now - server.since > self._fleet.grace + SOCKETS:
            self._say(
                DRAINS, now, id, f"sent to {entry.name}, {entry.health.value} for {now - server.since:.2f} s"
            )
        if entry.name in self._bans:
            out = now - self._bans[entry.name]
            self._say(
                DRAINS, now, id, f"sent to {entry.name}, which was taken out by hand {out:.2f} s before"
            )
        born = max(entry.born, self._back.get(entry.name, 0.0))
        age = now - born
        if born <= 0 or age >= self._set.warm_after:
            return
        work = self._fleet.work[life.request.request_class]
        server.cold = [row for row in server.cold if row[0] > now - self._set.fall_window] + [(now, work)]
        bearable = self._fleet.cores * warm_up_share(age, self._set.cold_share, self._set.warm_after)
        bound = crash_bound(self._set.fall_multiple * bearable * self._set.fall_window, self._fleet.mean_work)
        if sum(work for _, work in server.cold) > bound:
            self._say(
                COLD,
                now,
                id,
                f"alone it sent cold {entry.name} more than the {bound:.2f} s of work that fell it",
            )

    def _keyed(self, now: float, action: api.Send, life: Life) -> None:
        if now - life.maybe_at > life.window + SOCKETS:
            text = f"a keyed repeat {now - life.maybe_at:.2f} s later; servers remember {life.window:g} s"
            self._say(TWICE, now, action.id, text)
        first, here = self._servers.get(life.maybe), self._servers.get(action.server)
        scope = self._classes[life.request.request_class].scope
        if first is None or here is None or life.kind is Kind.KEYED:
            return
        same = first.entry.zone == here.entry.zone
        if not same or (scope is Scope.CELL and first.entry.cell != here.entry.cell):
            self._say(
                TWICE,
                now,
                action.id,
                f"a keyed request went on to {action.server}, outside {life.maybe}'s group",
            )

    def _outcome(self, event: api.Outcome) -> None:
        self._met(f"attempt {event.status.value}")
        life = self.lives.get(event.id)
        if life is None:
            return
        server = life.out.pop(event.attempt, "")
        if event.status is Status.OK and not life.ended:
            life.ended = True
            self._met("answered")
        elif event.status not in UNRUN and not life.maybe and server:
            life.maybe, life.maybe_at = server, life.sent_at[event.attempt]

    def _gone(self, id: int) -> None:
        life = self.lives.get(id)
        if life is not None and not life.ended:
            self._met("client gone")
            life.ended = True

    def _end(self, now: float, id: int, symbol: str, name: str) -> None:
        life = self.lives.get(id)
        if life is None:
            return self._say(LOST, now, id, f"{symbol} for what was never taken")
        self._check(now, id, life, symbol)
        self._met(name)
        life.ended = True

    def _overdue(self, now: float) -> None:
        """Say which requests are open past their time; forget those that ended with nothing out."""
        for id, life in list(self.lives.items()):
            if life.ended and not life.out:
                del self.lives[id]
            elif not life.ended and now > life.due + LATE:
                self._say(LOST, now, id, f"open {now - life.due:.2f} s after its time")
                life.ended = True

    def _listed(self, now: float, event: api.ServerList) -> None:
        told = {entry.name: entry for entry in event.entries}
        if event.complete:
            for name, server in self._servers.items():
                if name not in told:
                    told[name] = api.ServerEntry(name, api.Health.GONE, server.entry.zone, server.entry.cell)
        for name, entry in told.items():
            known = self._servers.get(name)
            if known is None or known.entry.health is not entry.health:
                self._met(f"listed {entry.health.value}")
            if known is None or entry.born != known.entry.born:
                self._servers[name] = _Server(entry, now)
            else:
                was_up = known.entry.health is api.Health.UP
                known.since = now if was_up and entry.health is not api.Health.UP else known.since
                known.entry = entry


# What coverage counts: every symbol above that a limiter can meet.
MET = (
    "taken", "taken again", "sent", "split", "retried", "answered", "client gone",
    *(f"attempt {status.value}" for status in Status if status is not Status.MALFORMED),
    *(f"counted {s.value}" for s in (Status.OK, Status.FULL, Status.TIMEOUT, Status.UNREACHABLE)),
    *(f"counted {s.value}" for s in (Status.BROKEN, Status.MALFORMED)),
    *(f"probed {s.value}" for s in (Status.OK, Status.ERROR, Status.TIMEOUT, Status.UNREACHABLE)),
    *(f"listed {health.value}" for health in api.Health),
    "refused ceiling", "refused gate", "refused quota", "refused no server", "refused attempts",
    "failed attempts", "failed ",
)  # fmt: skip
MET_AT_THE_DOOR = frozenset(("taken out", "called back"))  # where operators call as well
