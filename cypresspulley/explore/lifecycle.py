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
from cypresspulley.rehearsal.rules import (
    CEILING_LATE_SECONDS,
    CEILING_SLACK_SHARE,
    RULES,
    SOCKET_SLACK_SECONDS,
)
from cypresspulley.rehearsal.standins.processor import fall_bound, warmth

ANSWER_SLACK_SECONDS = 0.06  # seconds past its time for a final answer
NOT_RUN_STATUSES = (Status.FULL, Status.UNREACHABLE, Status.DROPPED, Status.NOT_SENT)


class RequestState(Enum):
    """What a limiter knows of a request."""

    PENDING = "nothing sent"  # held for the counter, or between attempts of which none can have run
    IN_FLIGHT = "an attempt is out"
    MAYBE_RAN = "may have run, none out"
    MAYBE_RAN_IN_FLIGHT = "may have run, one out"
    ENDED = "ended"


class RepeatKind(Enum):
    """Classes by what a repeat does."""

    SAFE = "safe"
    KEYED = "keyed, remembered by all"
    KEYED_PART = "keyed, remembered by a zone or cell"
    UNSAFE = "unsafe"


REQUEST_LOST, EFFECT_TWICE, DRAIN_IGNORED, COLD_OVERLOAD, CEILING_EXCEEDED = RULES
ALL_KINDS = frozenset(RepeatKind)
NOT_REFUSABLE = frozenset((RepeatKind.KEYED_PART, RepeatKind.UNSAFE))
AT_MOST_ONCE = frozenset((RepeatKind.UNSAFE,))
# (state, symbol): the rule that it breaks, for which classes, and how to say it. What is not here may come.
FORBIDDEN: dict[tuple[RequestState, str], tuple[str, frozenset[RepeatKind], str]] = {
    (RequestState.IN_FLIGHT, "send"): (EFFECT_TWICE, AT_MOST_ONCE, "sent again while an attempt is out"),
    (RequestState.MAYBE_RAN, "send"): (EFFECT_TWICE, AT_MOST_ONCE, "sent again though it may have run"),
    (RequestState.MAYBE_RAN_IN_FLIGHT, "send"): (
        EFFECT_TWICE,
        AT_MOST_ONCE,
        "sent again though it may have run",
    ),
    (RequestState.IN_FLIGHT, "refuse"): (EFFECT_TWICE, NOT_REFUSABLE, "refused while an attempt is out"),
    (RequestState.MAYBE_RAN, "refuse"): (EFFECT_TWICE, NOT_REFUSABLE, "refused though it may have run"),
    (RequestState.MAYBE_RAN_IN_FLIGHT, "refuse"): (
        EFFECT_TWICE,
        NOT_REFUSABLE,
        "refused though it may have run",
    ),
    (RequestState.ENDED, "send"): (REQUEST_LOST, ALL_KINDS, "sent on after its end"),
    (RequestState.ENDED, "refuse"): (REQUEST_LOST, ALL_KINDS, "refused after its end"),
    (RequestState.ENDED, "fail"): (REQUEST_LOST, ALL_KINDS, "failed after its end"),
    (RequestState.PENDING, "take"): (REQUEST_LOST, ALL_KINDS, "an id was taken that is still open"),
    (RequestState.IN_FLIGHT, "take"): (REQUEST_LOST, ALL_KINDS, "an id was taken that is still open"),
    (RequestState.MAYBE_RAN, "take"): (REQUEST_LOST, ALL_KINDS, "an id was taken that is still open"),
    (RequestState.MAYBE_RAN_IN_FLIGHT, "take"): (
        REQUEST_LOST,
        ALL_KINDS,
        "an id was taken that is still open",
    ),
}


@dataclass(frozen=True, slots=True)
class Violation:
    """What a step showed: a rule, who, which request and in words."""

    rule: str
    t: float
    limiter: str
    request: int
    text: str


@dataclass(slots=True)
class TrackedRequest:
    """One request in one limiter."""

    request: api.Request
    kind: RepeatKind
    due: float
    window: float = 0.0
    out: dict[int, str] = field(default_factory=dict)  # attempt to server
    sent: int = 0
    maybe: str = ""  # the server at which it may have run first
    maybe_at: float = 0.0  # when it was sent there
    sent_at: dict[int, float] = field(default_factory=dict)
    ended: bool = False

    @property
    def state(self) -> RequestState:
        if self.ended:
            return RequestState.ENDED
        if self.maybe:
            return RequestState.MAYBE_RAN_IN_FLIGHT if self.out else RequestState.MAYBE_RAN
        return RequestState.IN_FLIGHT if self.out else RequestState.PENDING


class CeilingBudgets:
    """What all limiters together have first sent of each account that has a hard ceiling."""

    def __init__(self, plans: Iterable[api.Plan], max_units: float) -> None:
        self._plans = {p.name: p for p in plans}
        self._max_units = max_units
        self._left = dict[tuple[str, str], tuple[float, float]]()  # units left, and when

    def charge(self, now: float, request: api.Request) -> float:
        """Units that this first sending goes over its ceiling and slack; 0 or less is kept."""
        plan = self._plans.get(request.plan)
        if plan is None or plan.ceiling_rate <= 0:
            return 0.0
        key = request.plan, request.account
        left, at = self._left.get(key, (plan.ceiling_burst, now))
        left = min(plan.ceiling_burst, left + plan.ceiling_rate * (now - at)) - request.units
        self._left[key] = left, now
        slack = (
            max(CEILING_SLACK_SHARE * plan.ceiling_burst, self._max_units)
            + CEILING_LATE_SECONDS * plan.ceiling_rate
        )
        return -left - slack


@dataclass(frozen=True, slots=True)
class ServerFacts:
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


class LifecycleModel:
    """Stands between a limiter's decisions and its node: tells nothing on, holds each step against the model."""

    def __init__(
        self, limiter: str, settings: api.Settings, fleet: ServerFacts, ceilings: CeilingBudgets,
        offence: Callable[[Violation], None], met: Callable[[str], None],
    ) -> None:  # fmt: skip
        self.limiter, self._set, self._fleet, self._ceilings = limiter, settings, fleet, ceilings
        self._offence, self._met = offence, met
        self._classes = {c.name: c for c in settings.classes}
        self.requests = dict[int, TrackedRequest]()
        self._servers = dict[str, _Server]()
        self._bans = dict[str, float]()  # servers taken out by hand, and when
        self._back = dict[str, float]()  # and when they were called back: as good as restarted

    def observe(self, now: float, event: api.Event, actions: list[api.Action]) -> None:
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
        if (life := self.requests.get(event.id)) is None:
            return
        if isinstance(event, api.ResponseStarted):
            life.due = float("inf")
        elif event.complete:
            life.due = now + life.request.ttl

    def on_resume(self, now: float) -> None:
        """The process was stopped and runs again: what fell due meanwhile is due now."""
        for life in self.requests.values():
            life.due = max(life.due, now + ANSWER_SLACK_SECONDS)

    def open_requests(self) -> list[TrackedRequest]:
        return [life for life in self.requests.values() if not life.ended]

    def _say(self, rule: str, now: float, request: int, text: str) -> None:
        self._offence(Violation(rule, now, self.limiter, request, text))

    def _check(self, now: float, id: int, life: TrackedRequest, symbol: str) -> None:
        found = FORBIDDEN.get((life.state, symbol))
        if found is not None and life.kind in found[1]:
            self._say(found[0], now, id, f"{found[2]} ({life.kind.value})")

    def _take(self, now: float, event: api.Request) -> None:
        self._met("taken again" if event.repeat else "taken")
        cls = self._classes[event.request_class]
        effect = event.effect or cls.effect  # the form in which it came is what its client goes by
        part = effect is Effect.KEYED and cls.scope is not Scope.ALL
        kind = {
            Effect.SAFE: RepeatKind.SAFE,
            Effect.UNSAFE: RepeatKind.UNSAFE,
            Effect.KEYED: RepeatKind.KEYED,
        }[effect]
        if (old := self.requests.get(event.id)) is not None and not old.ended:
            self._check(now, event.id, old, "take")
        kind = RepeatKind.KEYED_PART if part else kind
        due = float("inf") if event.body_pending else now + event.ttl
        self.requests[event.id] = TrackedRequest(event, kind, due, cls.window)

    def _send(self, now: float, action: api.Send) -> None:
        life = self.requests.get(action.id)
        if life is None:
            return self._say(REQUEST_LOST, now, action.id, "sent on, and was never taken")
        self._check(now, action.id, life, "send")
        self._met("sent" if not life.sent else "split" if life.out else "retried")
        server = self._servers.get(action.server)
        if server is not None:
            self._to_server(now, action.id, life, server)
        if life.maybe and life.kind in (RepeatKind.KEYED, RepeatKind.KEYED_PART):
            self._keyed(now, action, life)
        if not life.sent and (over := self._ceilings.charge(now, life.request)) > 1e-9:
            self._say(
                CEILING_EXCEEDED,
                now,
                action.id,
                f"account {life.request.account} is {over:.2f} units over ceiling and slack",
            )
        life.out[life.sent], life.sent_at[life.sent] = action.server, now
        life.sent += 1

    def _to_server(self, now: float, id: int, life: TrackedRequest, server: _Server) -> None:
        entry = server.entry
        if (
            entry.health is not api.Health.UP
            and now - server.since > self._fleet.grace + SOCKET_SLACK_SECONDS
        ):
            self._say(
                DRAIN_IGNORED,
                now,
                id,
                f"sent to {entry.name}, {entry.health.value} for {now - server.since:.2f} s",
            )
        if entry.name in self._bans:
            out = now - self._bans[entry.name]
            self._say(
                DRAIN_IGNORED,
                now,
                id,
                f"sent to {entry.name}, which was taken out by hand {out:.2f} s before",
            )
        born = max(entry.born, self._back.get(entry.name, 0.0))
        age = now - born
        if born <= 0 or age >= self._set.warm_after:
            return
        work = self._fleet.work[life.request.request_class]
        server.cold = [row for row in server.cold if row[0] > now - self._set.fall_window] + [(now, work)]
        bearable = self._fleet.cores * warmth(age, self._set.cold_share, self._set.warm_after)
        bound = fall_bound(self._set.fall_multiple * bearable * self._set.fall_window, self._fleet.mean_work)
        if sum(work for _, work in server.cold) > bound:
            self._say(
                COLD_OVERLOAD,
                now,
                id,
                f"alone it sent cold {entry.name} more than the {bound:.2f} s of work that fell it",
            )

    def _keyed(self, now: float, action: api.Send, life: TrackedRequest) -> None:
        if now - life.maybe_at > life.window + SOCKET_SLACK_SECONDS:
            text = f"a keyed repeat {now - life.maybe_at:.2f} s later; servers remember {life.window:g} s"
            self._say(EFFECT_TWICE, now, action.id, text)
        first, here = self._servers.get(life.maybe), self._servers.get(action.server)
        scope = self._classes[life.request.request_class].scope
        if first is None or here is None or life.kind is RepeatKind.KEYED:
            return
        same = first.entry.zone == here.entry.zone
        if not same or (scope is Scope.CELL and first.entry.cell != here.entry.cell):
            self._say(
                EFFECT_TWICE,
                now,
                action.id,
                f"a keyed request went on to {action.server}, outside {life.maybe}'s group",
            )

    def _outcome(self, event: api.Outcome) -> None:
        self._met(f"attempt {event.status.value}")
        life = self.requests.get(event.id)
        if life is None:
            return
        server = life.out.pop(event.attempt, "")
        if event.status is Status.OK and not life.ended:
            life.ended = True
            self._met("answered")
        elif event.status not in NOT_RUN_STATUSES and not life.maybe and server:
            life.maybe, life.maybe_at = server, life.sent_at[event.attempt]

    def _gone(self, id: int) -> None:
        life = self.requests.get(id)
        if life is not None and not life.ended:
            self._met("client gone")
            life.ended = True

    def _end(self, now: float, id: int, symbol: str, name: str) -> None:
        life = self.requests.get(id)
        if life is None:
            return self._say(REQUEST_LOST, now, id, f"{symbol} for what was never taken")
        self._check(now, id, life, symbol)
        self._met(name)
        life.ended = True

    def _overdue(self, now: float) -> None:
        """Say which requests are open past their time; forget those that ended with nothing out."""
        for id, life in list(self.requests.items()):
            if life.ended and not life.out:
                del self.requests[id]
            elif not life.ended and now > life.due + ANSWER_SLACK_SECONDS:
                self._say(REQUEST_LOST, now, id, f"open {now - life.due:.2f} s after its time")
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
TRANSITIONS = (
    "taken", "taken again", "sent", "split", "retried", "answered", "client gone",
    *(f"attempt {status.value}" for status in Status if status is not Status.MALFORMED),
    *(f"counted {s.value}" for s in (Status.OK, Status.FULL, Status.TIMEOUT, Status.UNREACHABLE)),
    *(f"counted {s.value}" for s in (Status.BROKEN, Status.MALFORMED)),
    *(f"probed {s.value}" for s in (Status.OK, Status.ERROR, Status.TIMEOUT, Status.UNREACHABLE)),
    *(f"listed {health.value}" for health in api.Health),
    "refused ceiling", "refused gate", "refused quota", "refused no server", "refused attempts",
    "failed attempts", "failed ",
)  # fmt: skip
OPERATOR_TRANSITIONS = frozenset(("taken out", "called back"))  # where operators call as well
