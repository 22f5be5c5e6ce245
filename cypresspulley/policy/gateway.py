"""The decisions of a limiter: takes one event at a time and returns a list of actions. See ``interface.py``."""

from bisect import bisect_left
from collections import deque
from collections.abc import Callable
from math import inf
from random import Random
from typing import Any

from cypresspulley import interface as api
from cypresspulley.interface import Action, Effect, Status
from cypresspulley.policy.classes import ClassRegistry
from cypresspulley.policy.gate import (
    MAX_RESERVE_SHARE,
    REFERENCE_AIM_SHARE,
    REFERENCE_LOAD,
    TICK_SECONDS,
    Gate,
)
from cypresspulley.policy.load_balancer import LoadBalancer
from cypresspulley.policy.quota import Quotas, Verdict
from cypresspulley.policy.request import Request
from cypresspulley.policy.server import Server

RETRIABLE_TIMEOUT_AIM_SHARE = (
    0.7  # timeout of an attempt that another may follow, as a share of the class's aim
)
NEVER_RAN = (Status.FULL, Status.UNREACHABLE, Status.DROPPED, Status.NOT_SENT)


class Gateway:
    """Decides which requests are admitted, which servers they go to, whether they are retried and how they end."""

    def __init__(self, settings: api.Settings, seed: int, now: float) -> None:
        self._settings = settings
        self._actions = list[Action]()
        rng = Random(seed)
        self.gate = Gate(now)
        self.load_balancer = LoadBalancer(settings, rng, self.gate)
        self._classes = ClassRegistry(settings)
        self._requests = dict[int, Request]()  # open requests
        self.refusal_counts = dict[str, int]()  # by cause, since they were last logged
        self.quotas = Quotas(
            settings, rng, now, lambda a: self._actions.append(a), self._requests, self._dispatch
        )
        self._timer_token = 0
        self._retry_tokens = 10.0  # retries that may be made; requests sent on add to them
        self._recent_values = deque[float](maxlen=300)  # worth per work of recent requests
        self._sorted_values = list[float]()
        self._handlers: dict[type, Callable[[float, Any], None]] = {
            api.Request: self._handle_request, api.BodyProgress: self._handle_body,
            api.ResponseStarted: self._handle_began, api.Outcome: self._handle_outcome,
            api.ServerList: self.load_balancer.update_servers,
            api.Suspend: self._handle_suspend, api.SettingsChanged: self._handle_retune,
            api.Probed: self.load_balancer.record_probe, api.PeerMessage: self.quotas.receive_usage,
            api.Counted: self.quotas.counter_calls.on_answer,
            api.WallClockStep: lambda _now, event: self.quotas.wall_time.set_offset(event.shift),
            api.TimerFired: lambda _now, _event: None,
            api.ClientDisconnected: lambda now, event: self._remove_request(now, event.id),
        }  # fmt: skip

    def handle(self, now: float, event: api.Event) -> list[Action]:
        """Handle an event and return the actions to take, in order. ``now`` is monotonic, in seconds."""
        self._actions, ticked = [], event == api.TimerFired(self._timer_token)
        self._handlers[type(event)](now, event)
        if ticked:
            self._tick(now)
        if ticked or not self._timer_token:
            self._timer_token += 1
            self._actions.append(api.SetTimer(TICK_SECONDS, self._timer_token))
        return self._actions

    def _tick(self, now: float) -> None:
        dt = self.gate.begin_tick(now)
        for r in list(self._requests.values()):
            if now >= r.deadline and not r.open_attempts:
                self._refuse_or_fail(now, r)
            elif r.holds_work and now - r.started_at > r.cls.aim * REFERENCE_AIM_SHARE / REFERENCE_LOAD:
                self.gate.record_overdue()
        self.gate.update(dt)
        if self._timer_token % 10 == 0 and self.refusal_counts:
            text = ", ".join(f"{k} {n}" for k, n in sorted(self.refusal_counts.items()))
            load = f"load {self.gate.load:.2f}, u {self.gate.admit_rate:.0f}/s"  # u: the admit rate
            silent = ", counter silent" * (now < self.quotas.counter_calls.silent_until)
            self._actions.append(api.Log(f"turned away: {text}; {load}{silent}"))
            self.refusal_counts = {}
        self._actions += self.load_balancer.tick(now, dt, self._requests.values())
        self.quotas.broadcast_usage(now)
        self._sorted_values = sorted(self._recent_values)
        self.quotas.tick(now)

    def _handle_request(self, now: float, event: api.Request) -> None:
        cls = (
            self._classes.find(now, event.request_class, event.effect)
            or self._classes.find_restricted(now, event.request_class)
            or api.RequestClass(event.request_class, max(event.ttl, 0.01), 1.0, Effect.UNSAFE)
        )
        account = self.quotas.get_or_create_account(now, event)
        self.quotas.broadcast_usage(now)
        request = self._requests[event.id] = Request(
            now, event, cls, account, self._classes.max_attempts(now)
        )
        request.work = self.load_balancer.expected_work(cls, event.units)
        self.gate.record_arrival(request.work, not event.repeat)
        value = request.worth / request.work
        self._recent_values.append(value)
        request.value_rank = (
            bisect_left(self._sorted_values, value) / len(self._sorted_values) if self._sorted_values else 1.0
        )
        if not self.quotas.is_tracked(event):
            self._refuse_or_fail(now, request, "accounts")
        elif request.bound and self.quotas.exceeds_capacity(request):
            self._refuse_or_fail(now, request, "too dear")
        elif not (self.quotas.ceiling_share_holds(request) or self.quotas.window_may_grant(now, request)):
            self._refuse_or_fail(now, request, "ceiling")
        elif not self.gate.allows(now, request.work, MAX_RESERVE_SHARE * (1 - request.value_rank)):
            self._refuse_or_fail(now, request, "gate")
        elif (verdict := self.quotas.check_quota(now, request)) is not None:
            self._dispatch(now, request, verdict)

    def _handle_suspend(self, now: float, event: api.Suspend) -> None:
        if self.load_balancer.set_ban(now, event):
            self._actions.append(api.Ban(event.server, event.out))

    def _handle_retune(self, now: float, event: api.SettingsChanged) -> None:
        """Apply new settings. Quota levels and loads are kept, and open requests keep their class records."""
        self._settings = event.settings
        self._classes.apply_settings(now, event.settings)
        self.load_balancer.apply_settings(now, event.settings)
        self.quotas.update_settings(now, event.settings)

    def _dispatch(self, now: float, request: Request, verdict: Verdict) -> None:
        """Send a request whose quota verdict is known, or refuse it."""
        plan = request.account.plan
        earns = plan.over_worth > plan.over_cost and 0 < self.gate.load < 0.6 * REFERENCE_LOAD
        has_capacity = verdict.within_quota and self.quotas.check_open_limit(now, request, verdict)
        if has_capacity is None:
            return None
        if not has_capacity and verdict.within_quota:
            verdict = self.quotas.revert_charge(now, request, verdict)
        if not (has_capacity or earns):
            return self._refuse_or_fail(now, request, verdict.refuse_reason)
        # The ceiling is checked again: requests that waited for the counter must not draw on it together.
        if not self.quotas.ceiling_share_holds(request) or not self._send_attempt(now, request):
            self.quotas.revert_charge(now, request, verdict)
            return self._refuse_or_fail(now, request, "no server")
        self.gate.charge(request.work)
        self._retry_tokens = min(10.0, self._retry_tokens + 0.1)
        self.quotas.record_sent(now, request, verdict)

    def _send_attempt(self, now: float, request: Request, latest: float = inf) -> bool:
        """Send an attempt, not after ``latest``; return False where no server should get it."""
        timeout = request.attempt_deadline - now
        server = self.load_balancer.pick_server(now, request) if timeout > 0 else None
        if server is None:
            return False
        if request.cls.effect is not Effect.UNSAFE and len(request.attempts) + 1 < request.max_attempts:
            timeout = min(
                timeout,
                max(
                    RETRIABLE_TIMEOUT_AIM_SHARE * request.cls.aim,
                    4 * max(1.0, server.latency_ratio) * request.work,
                ),
            )
        request.open_attempts[len(request.attempts)] = server
        request.attempts.append((server, now))
        server.sent_since_report += 1
        # A warm server charges nothing to the budget of its next slow start.
        server.cold_budget -= request.work if server.cold_since is not None else 0.0
        if not request.body_pending:
            self._begin_work(now, request, server)
        self._actions.append(api.Send(request.id, server.entry.name, timeout, latest))
        return True

    def _begin_work(self, now: float, request: Request, server: Server) -> None:
        """Count the request as outstanding at its server and its account."""
        request.holds_work, request.account.open_attempts = True, request.account.open_attempts + 1
        self.load_balancer.begin_attempt(now, server, request.work)

    def _handle_body(self, now: float, event: api.BodyProgress) -> None:
        """Update a request whose body is still being received.

        A server starts work when it has the whole body, so the client's time and the outstanding work count from there.
        """
        if (request := self._requests.get(event.id)) is None:
            return
        request.replayable = event.replayable
        if event.complete and request.body_pending:
            request.body_pending = False
            request.start_clock(now)
            self.quotas.on_body_complete(now, request)
            for s in request.open_attempts.values():
                self._begin_work(now, request, s)

    def _handle_began(self, now: float, event: api.ResponseStarted) -> None:
        """Measure a large answer by its first bytes; the attempt stays open until the last one."""
        request, server = self._requests.get(event.id), self.load_balancer.servers.get(event.server)
        if request is not None and server is not None and request.holds_work:
            outcome = api.Outcome(
                event.id, event.attempt, event.server, Status.OK, event.elapsed, False, event.report
            )
            self._record_outcome(now, request, server, outcome)

    def _record_outcome(self, now: float, request: Request, server: Server, event: api.Outcome) -> None:
        """Update the gate and the server's state by an attempt's answer, or by the lack of one."""
        request.holds_work = False
        server.release_work(request.work)
        if event.status not in (Status.TIMEOUT, Status.CANCELLED, Status.UNREACHABLE):
            server.silent_since = now if server.outstanding_work > 1e-9 else None
        self.gate.record_outcome(request.cls, event.status, event.elapsed)
        self.load_balancer.record_outcome(now, request, server, event)

    def _handle_outcome(self, now: float, event: api.Outcome) -> None:
        request, server = self._requests.get(event.id), self.load_balancer.servers.get(event.server)
        if server is None or request is None:
            return
        if request.open_attempts.pop(event.attempt, None) is not None:
            request.account.open_attempts -= not request.body_pending
            if request.holds_work:
                self._record_outcome(now, request, server, event)
            elif request.body_pending or event.status is not Status.OK:
                # It ended while its body or its answer was being transferred.
                self.load_balancer.record_outcome(now, request, server, event)
            self.quotas.settle(now, request, event)
            if server.outstanding_work <= 1e-9:
                # With no work outstanding no answer is expected of it, and none could ever end its silence.
                server.silent_since = None
        if (
            event.status not in NEVER_RAN
            and request.first_run is None
            and event.attempt < len(request.attempts)
        ):
            request.first_run = request.attempts[event.attempt]
        rejected = event.status is Status.REJECTED  # other servers would reject it as well
        if rejected and not event.finished:
            self._actions.append(api.Fail(request.id))
        if rejected or event.finished:
            self._remove_request(now, request.id)
        elif not request.open_attempts:
            self._retry(now, request, event.status)

    def _retry(self, now: float, request: Request, status: Status) -> None:
        """Send another attempt after one that ended with ``status``, or end the request."""
        if request.body_pending:
            request.start_clock(now)
        allowed = (
            request.replayable
            and len(request.attempts) < request.max_attempts
            and request.attempt_deadline - now > request.work
        )
        latest = inf
        if request.first_run is not None and request.cls.effect is not Effect.SAFE:
            latest = (
                request.first_run[1] + 0.95 * request.cls.window
                if request.cls.effect is Effect.KEYED
                else now
            )
        if not (allowed and now < latest and self._retry_tokens >= 1) or not self._send_attempt(
            now, request, latest
        ):
            return self._refuse_or_fail(now, request)
        self._retry_tokens -= status not in (Status.UNREACHABLE, Status.DROPPED)

    def _refuse_or_fail(self, now: float, request: Request, why: str = "attempts") -> None:
        """End a request without an answer: refused where a client may safely retry it, else failed."""
        self.refusal_counts[why] = self.refusal_counts.get(why, 0) + 1
        a, effect = request.account, request.cls.effect
        if (
            request.first_run is None
            or effect is Effect.SAFE
            or (effect, request.cls.scope) == (Effect.KEYED, api.Scope.ALL)
        ):
            refill_seconds = max(0.1, (request.units - a.level) / a.plan.rate if a.plan.rate else 0.0)
            left = max(0.0, min(a.level, a.plan.burst)) if a.plan.rate > 0 else -1.0
            self._actions.append(
                api.Refuse(request.id, min(self._settings.max_retry_after, refill_seconds), why, left)
            )
        else:
            self._actions.append(api.Fail(request.id, why))
        self._remove_request(now, request.id)

    def _remove_request(self, now: float, id: int) -> None:
        """Forget a request that has ended, and release what it holds."""
        if request := self._requests.pop(id, None):
            if not request.attempts:
                self.quotas.return_window_grant(request)
            self.quotas.release_slot(now, request)
            for s in request.open_attempts.values():
                s.release_work(request.work if request.holds_work else 0.0)
                request.account.open_attempts -= not request.body_pending
                # Nobody waits for an answer any more, so none is expected of the server.
                s.silent_since = s.silent_since if s.outstanding_work > 1e-9 else None
