"""A model of the request lifecycle in one limiter, checked against every event and action. Performs no I/O.

A request is in one of five states, which follow from what its limiter knows of its attempts. ``FORBIDDEN`` is the
state table: it lists the symbols that must not occur in a state, for which classes, and the rule that each breaks.
Rules 3 to 5 are checked for each attempt as it is sent, and rule 1 also against the request's deadline. The judge sees
only what reached clients and servers, whereas this model sees every decision, whether or not it had an effect.
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
from cypresspulley.rehearsal.standins.processor import crash_bound, warm_up_share

ANSWER_SLACK_SECONDS = 0.06  # a final answer may come this long after the request's deadline
NOT_RUN_STATUSES = (Status.FULL, Status.UNREACHABLE, Status.DROPPED, Status.NOT_SENT)


class RequestState(Enum):
    """What a limiter knows of a request's attempts."""

    PENDING = "nothing sent"  # waits for the counter, or no attempt is in flight and none can have run
    IN_FLIGHT = "an attempt is out"
    MAYBE_RAN = "may have run, none out"
    MAYBE_RAN_IN_FLIGHT = "may have run, one out"
    ENDED = "ended"


class RepeatKind(Enum):
    """Request classes by the effect of executing a request again."""

    SAFE = "safe"
    KEYED = "keyed, remembered by all"
    KEYED_PART = "keyed, remembered by a zone or cell"
    UNSAFE = "unsafe"


REQUEST_LOST, EFFECT_TWICE, DRAIN_IGNORED, COLD_OVERLOAD, CEILING_EXCEEDED = RULES
ALL_KINDS = frozenset(RepeatKind)
NOT_REFUSABLE = frozenset((RepeatKind.KEYED_PART, RepeatKind.UNSAFE))
AT_MOST_ONCE = frozenset((RepeatKind.UNSAFE,))
# (state, symbol): the rule it breaks, the kinds of class it applies to, and its description. Any other pair is allowed.
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
    """A broken rule: when, at which limiter, for which request, and a description."""

    rule: str
    t: float
    limiter: str
    request: int
    text: str


@dataclass(slots=True)
class TrackedRequest:
    """The model's state of one request in one limiter."""

    request: api.Request
    kind: RepeatKind
    deadline: float
    window: float = 0.0
    in_flight: dict[int, str] = field(default_factory=dict)  # attempt number to server name
    send_count: int = 0
    possible_run_server: str = ""  # the first server on which it may have run; empty if none
    possible_run_sent_at: float = 0.0  # when that attempt was sent
    sent_at: dict[int, float] = field(default_factory=dict)
    ended: bool = False

    @property
    def state(self) -> RequestState:
        if self.ended:
            return RequestState.ENDED
        if self.possible_run_server:
            return RequestState.MAYBE_RAN_IN_FLIGHT if self.in_flight else RequestState.MAYBE_RAN
        return RequestState.IN_FLIGHT if self.in_flight else RequestState.PENDING


class CeilingBudgets:
    """Token buckets of the accounts with a hard ceiling, charged for first attempts sent by all limiters together."""

    def __init__(self, plans: Iterable[api.Plan], max_units: float) -> None:
        self._plans = {p.name: p for p in plans}
        self._max_units = max_units
        self._balances = dict[tuple[str, str], tuple[float, float]]()  # (plan, account): units left, and when

    def charge(self, now: float, request: api.Request) -> float:
        """Charge a first attempt and return by how many units the account exceeds its ceiling plus slack.

        A result of 0 or less means that the ceiling is kept.
        """
        plan = self._plans.get(request.plan)
        if plan is None or plan.ceiling_rate <= 0:
            return 0.0
        key = request.plan, request.account
        left, at = self._balances.get(key, (plan.ceiling_burst, now))
        left = min(plan.ceiling_burst, left + plan.ceiling_rate * (now - at)) - request.units
        self._balances[key] = left, now
        slack = (
            max(CEILING_SLACK_SHARE * plan.ceiling_burst, self._max_units)
            + CEILING_LATE_SECONDS * plan.ceiling_rate
        )
        return -left - slack


@dataclass(frozen=True, slots=True)
class ServerFacts:
    """What the model knows of the servers beyond the server list."""

    cores: float  # CPU cores of each server
    work: dict[str, float]  # mean CPU seconds of a request, by class
    drain_grace: float  # seconds within which limiters must stop sending to a draining server
    mean_work: float  # mean CPU seconds of a request over all classes


@dataclass(slots=True)
class _Server:
    entry: api.ServerEntry
    not_up_since: float  # when the list first showed it as no longer up
    # (time, work) of each request sent while the server was cold.
    cold_work: list[tuple[float, float]] = field(default_factory=list)


class LifecycleModel:
    """Checks each event of a limiter and the actions taken on it against the model, and influences neither."""

    def __init__(
        self, limiter: str, settings: api.Settings, server_facts: ServerFacts, ceilings: CeilingBudgets,
        on_violation: Callable[[Violation], None], on_transition: Callable[[str], None],
    ) -> None:  # fmt: skip
        self.limiter, self._settings, self._server_facts, self._ceilings = (
            limiter,
            settings,
            server_facts,
            ceilings,
        )
        self._on_violation, self._on_transition = on_violation, on_transition
        self._classes = {c.name: c for c in settings.classes}
        self.requests = dict[int, TrackedRequest]()
        self._servers = dict[str, _Server]()
        self._banned_at = dict[str, float]()  # servers that an operator has banned, and when
        self._unbanned_at = dict[str, float]()  # when bans were lifted; such a server counts as restarted

    def observe(self, now: float, event: api.Event, actions: list[api.Action]) -> None:
        """Check one event and the actions that the gateway took on it."""
        if isinstance(event, api.Request):
            self._begin_request(now, event)
        elif isinstance(event, api.Outcome):
            self._end_attempt(event)
        elif isinstance(event, api.ClientDisconnected):
            self._disconnect_client(event.id)
        elif isinstance(event, api.ServerList):
            self._update_servers(now, event)
        elif isinstance(event, api.Counted):
            self._on_transition(f"counted {event.status.value}")
        elif isinstance(event, api.Probed):
            self._on_transition(f"probed {event.status.value}")
        elif isinstance(event, api.SettingsChanged):
            self._classes |= {c.name: c for c in event.settings.classes}
        elif isinstance(event, api.BodyProgress | api.ResponseStarted):
            self._extend_deadline(now, event)
        for action in actions:
            if isinstance(action, api.Send):
                self._check_send(now, action)
            elif isinstance(action, api.Ban):
                self._record_ban(now, action)
            elif isinstance(action, api.Refuse):
                self._end_request(now, action.id, "refuse", f"refused {action.why}")
            elif isinstance(action, api.Fail):
                self._end_request(now, action.id, "fail", f"failed {action.why}")
        self._check_deadlines(now)

    def _record_ban(self, now: float, action: api.Ban) -> None:
        self._on_transition("taken out" if action.out else "called back")
        if action.out:
            self._banned_at.setdefault(action.server, now)
        elif self._banned_at.pop(action.server, None) is not None:
            self._unbanned_at[action.server] = now

    def _extend_deadline(self, now: float, event: api.BodyProgress | api.ResponseStarted) -> None:
        """Start the deadline at the request body's last byte and lift it once the response has started."""
        if (tracked := self.requests.get(event.id)) is None:
            return
        if isinstance(event, api.ResponseStarted):
            tracked.deadline = float("inf")
        elif event.complete:
            tracked.deadline = now + tracked.request.ttl

    def on_resume(self, now: float) -> None:
        """Extend the deadlines that passed while the process was stopped, now that it runs again."""
        for tracked in self.requests.values():
            tracked.deadline = max(tracked.deadline, now + ANSWER_SLACK_SECONDS)

    def open_requests(self) -> list[TrackedRequest]:
        return [tracked for tracked in self.requests.values() if not tracked.ended]

    def _report(self, rule: str, now: float, request: int, text: str) -> None:
        self._on_violation(Violation(rule, now, self.limiter, request, text))

    def _check_symbol(self, now: float, id: int, tracked: TrackedRequest, symbol: str) -> None:
        found = FORBIDDEN.get((tracked.state, symbol))
        if found is not None and tracked.kind in found[1]:
            self._report(found[0], now, id, f"{found[2]} ({tracked.kind.value})")

    def _begin_request(self, now: float, event: api.Request) -> None:
        self._on_transition("taken again" if event.repeat else "taken")
        cls = self._classes[event.request_class]
        effect = (
            event.effect or cls.effect
        )  # the client relies on the effect of the form in which it sent the request
        part = effect is Effect.KEYED and cls.scope is not Scope.ALL
        kind = {
            Effect.SAFE: RepeatKind.SAFE,
            Effect.UNSAFE: RepeatKind.UNSAFE,
            Effect.KEYED: RepeatKind.KEYED,
        }[effect]
        if (old := self.requests.get(event.id)) is not None and not old.ended:
            self._check_symbol(now, event.id, old, "take")
        kind = RepeatKind.KEYED_PART if part else kind
        due = float("inf") if event.body_pending else now + event.ttl
        self.requests[event.id] = TrackedRequest(event, kind, due, cls.window)

    def _check_send(self, now: float, action: api.Send) -> None:
        tracked = self.requests.get(action.id)
        if tracked is None:
            return self._report(REQUEST_LOST, now, action.id, "sent on, and was never taken")
        self._check_symbol(now, action.id, tracked, "send")
        self._on_transition("sent" if not tracked.send_count else "split" if tracked.in_flight else "retried")
        server = self._servers.get(action.server)
        if server is not None:
            self._check_server(now, action.id, tracked, server)
        if tracked.possible_run_server and tracked.kind in (RepeatKind.KEYED, RepeatKind.KEYED_PART):
            self._check_keyed_repeat(now, action, tracked)
        if not tracked.send_count and (over := self._ceilings.charge(now, tracked.request)) > 1e-9:
            self._report(
                CEILING_EXCEEDED,
                now,
                action.id,
                f"account {tracked.request.account} is {over:.2f} units over ceiling and slack",
            )
        tracked.in_flight[tracked.send_count], tracked.sent_at[tracked.send_count] = action.server, now
        tracked.send_count += 1

    def _check_server(self, now: float, id: int, tracked: TrackedRequest, server: _Server) -> None:
        entry = server.entry
        if (
            entry.health is not api.Health.UP
            and now - server.not_up_since > self._server_facts.drain_grace + SOCKET_SLACK_SECONDS
        ):
            self._report(
                DRAIN_IGNORED,
                now,
                id,
                f"sent to {entry.name}, {entry.health.value} for {now - server.not_up_since:.2f} s",
            )
        if entry.name in self._banned_at:
            out = now - self._banned_at[entry.name]
            self._report(
                DRAIN_IGNORED,
                now,
                id,
                f"sent to {entry.name}, which was taken out by hand {out:.2f} s before",
            )
        born = max(entry.born, self._unbanned_at.get(entry.name, 0.0))
        age = now - born
        if born <= 0 or age >= self._settings.warm_after:
            return
        work = self._server_facts.work[tracked.request.request_class]
        server.cold_work = [row for row in server.cold_work if row[0] > now - self._settings.fall_window] + [
            (now, work)
        ]
        bearable = self._server_facts.cores * warm_up_share(
            age, self._settings.cold_share, self._settings.warm_after
        )
        bound = crash_bound(
            self._settings.fall_multiple * bearable * self._settings.fall_window, self._server_facts.mean_work
        )
        if sum(work for _, work in server.cold_work) > bound:
            self._report(
                COLD_OVERLOAD,
                now,
                id,
                f"alone it sent cold {entry.name} more than the {bound:.2f} s of work that fell it",
            )

    def _check_keyed_repeat(self, now: float, action: api.Send, tracked: TrackedRequest) -> None:
        if now - tracked.possible_run_sent_at > tracked.window + SOCKET_SLACK_SECONDS:
            text = (
                f"a keyed repeat {now - tracked.possible_run_sent_at:.2f} s later; "
                f"servers remember {tracked.window:g} s"
            )
            self._report(EFFECT_TWICE, now, action.id, text)
        first_server, server = (
            self._servers.get(tracked.possible_run_server),
            self._servers.get(action.server),
        )
        scope = self._classes[tracked.request.request_class].scope
        if first_server is None or server is None or tracked.kind is RepeatKind.KEYED:
            return
        same_zone = first_server.entry.zone == server.entry.zone
        if not same_zone or (scope is Scope.CELL and first_server.entry.cell != server.entry.cell):
            self._report(
                EFFECT_TWICE,
                now,
                action.id,
                f"a keyed request went on to {action.server}, outside {tracked.possible_run_server}'s group",
            )

    def _end_attempt(self, event: api.Outcome) -> None:
        self._on_transition(f"attempt {event.status.value}")
        tracked = self.requests.get(event.id)
        if tracked is None:
            return
        server = tracked.in_flight.pop(event.attempt, "")
        if event.status is Status.OK and not tracked.ended:
            tracked.ended = True
            self._on_transition("answered")
        elif event.status not in NOT_RUN_STATUSES and not tracked.possible_run_server and server:
            tracked.possible_run_server, tracked.possible_run_sent_at = server, tracked.sent_at[event.attempt]

    def _disconnect_client(self, id: int) -> None:
        tracked = self.requests.get(id)
        if tracked is not None and not tracked.ended:
            self._on_transition("client gone")
            tracked.ended = True

    def _end_request(self, now: float, id: int, symbol: str, name: str) -> None:
        tracked = self.requests.get(id)
        if tracked is None:
            return self._report(REQUEST_LOST, now, id, f"{symbol} for what was never taken")
        self._check_symbol(now, id, tracked, symbol)
        self._on_transition(name)
        tracked.ended = True

    def _check_deadlines(self, now: float) -> None:
        """Report requests that are open past their deadline and drop ended ones with no attempt in flight."""
        for id, tracked in list(self.requests.items()):
            if tracked.ended and not tracked.in_flight:
                del self.requests[id]
            elif not tracked.ended and now > tracked.deadline + ANSWER_SLACK_SECONDS:
                self._report(REQUEST_LOST, now, id, f"open {now - tracked.deadline:.2f} s after its time")
                tracked.ended = True

    def _update_servers(self, now: float, event: api.ServerList) -> None:
        listed = {entry.name: entry for entry in event.entries}
        if event.complete:
            for name, server in self._servers.items():
                if name not in listed:
                    listed[name] = api.ServerEntry(
                        name, api.Health.GONE, server.entry.zone, server.entry.cell
                    )
        for name, entry in listed.items():
            known = self._servers.get(name)
            if known is None or known.entry.health is not entry.health:
                self._on_transition(f"listed {entry.health.value}")
            if known is None or entry.born != known.entry.born:
                self._servers[name] = _Server(entry, now)
            else:
                was_up = known.entry.health is api.Health.UP
                known.not_up_since = (
                    now if was_up and entry.health is not api.Health.UP else known.not_up_since
                )
                known.entry = entry


# The transitions that coverage counts: every symbol above that can occur in a limiter.
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
OPERATOR_TRANSITIONS = frozenset(("taken out", "called back"))  # occur only where operators act too
