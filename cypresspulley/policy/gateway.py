"""The gateway that joins gate, quotas and fleet: one event in, a list of actions out. See ``interface.py``."""

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
    REFERENCE_AIM_SHARE,
    TICK_SECONDS,
    REFERENCE_LOAD,
    MAX_RESERVE_SHARE,
    Gate,
)
from cypresspulley.policy.load_balancer import LoadBalancer
from cypresspulley.policy.quota import Quotas, Verdict
from cypresspulley.policy.request import Request
from cypresspulley.policy.server import Server

SPLIT = 0.7  # share of the aim until a second attempt
NEVER_RAN = (Status.FULL, Status.UNREACHABLE, Status.DROPPED, Status.NOT_SENT)


class Gateway:
    """All that one limiter decides: what is let in, where it goes, whether it is tried again, what is answered."""

    def __init__(self, settings: api.Settings, seed: int, now: float) -> None:
        self._set = settings
        self._out = list[Action]()
        rng = Random(seed)
        self.gate = Gate(now)
        self.load_balancer = LoadBalancer(settings, rng, self.gate)
        self._classes = ClassRegistry(settings)
        self._requests = dict[int, Request]()  # open ones
        self.refusal_counts = dict[str, int]()  # causes to log
        self.quotas = Quotas(
            settings, rng, now, lambda a: self._out.append(a), self._requests, self._dispatch
        )
        self._timer = 0
        self._retry_tokens = 10.0  # further attempts that may be made
        self._recent_values = deque[float](maxlen=300)  # worth per work of the recent
        self._sorted_values = list[float]()
        self._handlers: dict[type, Callable[[float, Any], None]] = {
            api.Request: self._arrive, api.Body: self._body, api.Began: self._began, api.Outcome: self._outcome,
            api.ServerList: self.load_balancer.update_servers, api.Suspend: self._suspend, api.Retune: self._retune,
            api.Probed: self.load_balancer.record_probe, api.Heard: self.quotas.heard, api.Counted: self.quotas.calls.answered,
            api.WallClock: lambda _now, ev: self.quotas.wall.step(ev.shift), api.TimerFired: lambda _now, _ev: None,
            api.Departed: lambda now, ev: self._forget(now, ev.id),
        }  # fmt: skip

    def handle(self, now: float, event: api.Event) -> list[Action]:
        self._out, ticked = [], event == api.TimerFired(self._timer)
        self._handlers[type(event)](now, event)
        if ticked:
            self._tick(now)
        if ticked or not self._timer:
            self._timer += 1
            self._out.append(api.SetTimer(TICK_SECONDS, self._timer))
        return self._out

    def _tick(self, now: float) -> None:
        dt = self.gate.begin_tick(now)
        for r in list(self._requests.values()):
            if now >= r.deadline and not r.open_attempts:
                self._refuse_or_fail(now, r)
            elif r.holds_work and now - r.started_at > r.cls.aim * REFERENCE_AIM_SHARE / REFERENCE_LOAD:
                self.gate.record_overdue()
        self.gate.update(dt)
        if self._timer % 10 == 0 and self.refusal_counts:
            text = ", ".join(f"{k} {n}" for k, n in sorted(self.refusal_counts.items()))
            load = f"load {self.gate.load:.2f}, u {self.gate.admit_rate:.0f}/s"
            silent = ", counter silent" * (now < self.quotas.calls.silent_until)
            self._out.append(api.Log(f"turned away: {text}; {load}{silent}"))
            self.refusal_counts = {}
        self._out += self.load_balancer.tick(now, dt, self._requests.values())
        self.quotas.tell(now)
        self._sorted_values = sorted(self._recent_values)
        self.quotas.tick(now)

    def _arrive(self, now: float, ev: api.Request) -> None:
        unknown = api.RequestClass(ev.request_class, max(ev.ttl, 0.01), 1.0, Effect.UNSAFE)
        cls = self._classes.record(now, ev.request_class, ev.effect) or unknown
        a = self.quotas.account(now, ev)
        self.quotas.tell(now)
        r = self._requests[ev.id] = Request(now, ev, cls, a, self._classes.attempts(now))
        r.work = self.load_balancer.expected_work(cls, ev.units)
        self.gate.record_arrival(r.work, not ev.repeat)
        value = r.worth / r.work
        self._recent_values.append(value)
        r.value_rank = (
            bisect_left(self._sorted_values, value) / len(self._sorted_values) if self._sorted_values else 1.0
        )
        if r.bound and self.quotas.too_dear(r):
            self._refuse_or_fail(now, r, "too dear")
        elif not (self.quotas.under_ceiling(r) or self.quotas.window_may_hold(now, r)):
            self._refuse_or_fail(now, r, "ceiling")
        elif not self.gate.allows(now, r.work, MAX_RESERVE_SHARE * (1 - r.value_rank)):
            self._refuse_or_fail(now, r, "gate")
        elif (verdict := self.quotas.judge(now, r)) is not None:
            self._dispatch(now, r, verdict)

    def _suspend(self, now: float, ev: api.Suspend) -> None:
        if self.load_balancer.set_ban(now, ev):
            self._out.append(api.Ban(ev.server, ev.out))

    def _retune(self, now: float, ev: api.Retune) -> None:
        """Levels, loads and what is out go on; open requests keep the records that they were let in under."""
        self._set = ev.settings
        self._classes.change(now, ev.settings)
        self.load_balancer.apply_settings(now, ev.settings)
        self.quotas.retune(now, ev.settings)

    def _dispatch(self, now: float, r: Request, verdict: Verdict) -> None:
        plan = r.account.plan
        earns = plan.over_worth > plan.over_cost and 0 < self.gate.load < 0.6 * REFERENCE_LOAD
        room = verdict.inside and self.quotas.room_out(now, r, verdict)
        if room is None:
            return None
        if not room and verdict.inside:
            verdict = self.quotas.unsent(now, r, verdict)
        if not (room or earns):
            return self._refuse_or_fail(now, r, verdict.why)
        # Requests held for the counter must not draw on the ceiling together.
        if not self.quotas.under_ceiling(r) or not self._send(now, r):
            self.quotas.unsent(now, r, verdict)
            return self._refuse_or_fail(now, r, "no server")
        self.gate.charge(r.work)
        self._retry_tokens = min(10.0, self._retry_tokens + 0.1)
        self.quotas.sent(now, r, verdict)

    def _send(self, now: float, r: Request, latest: float = inf) -> bool:
        wait = r.attempt_deadline - now
        s = self.load_balancer.pick_server(now, r) if wait > 0 else None
        if s is None:
            return False
        if r.cls.effect is not Effect.UNSAFE and len(r.attempts) + 1 < r.max_attempts:
            wait = min(wait, max(SPLIT * r.cls.aim, 4 * max(1.0, s.latency_ratio) * r.work))
        r.open_attempts[len(r.attempts)] = s
        r.attempts.append((s, now))
        s.sent_since_report += 1
        s.cold_budget -= (
            r.work if s.cold_since is not None else 0.0
        )  # warm, it owes nothing when unsure again
        if not r.body_pending:
            self._busy(now, r, s)
        self._out.append(api.Send(r.id, s.entry.name, wait, latest))
        return True

    def _busy(self, now: float, r: Request, s: Server) -> None:
        """It is out from now on: its work is at the server, which owes an answer."""
        r.holds_work, r.account.open = True, r.account.open + 1
        self.load_balancer.begin_attempt(now, s, r.work)

    def _body(self, now: float, ev: api.Body) -> None:
        """A body that flows: a server begins with its last byte, and so do the client's time and the work."""
        if (r := self._requests.get(ev.id)) is None:
            return
        r.replayable = ev.kept
        if ev.whole and r.body_pending:
            r.body_pending = False
            r.start_clock(now)
            self.quotas.whole(now, r)
            for s in r.open_attempts.values():
                self._busy(now, r, s)

    def _began(self, now: float, ev: api.Began) -> None:
        """The answer's first bytes are what is timed and read; the attempt is out until the last one."""
        r, s = self._requests.get(ev.id), self.load_balancer.servers.get(ev.server)
        if r is not None and s is not None and r.holds_work:
            told = api.Outcome(ev.id, ev.attempt, ev.server, Status.OK, ev.elapsed, False, ev.report)
            self._learn(now, r, s, told)

    def _learn(self, now: float, r: Request, s: Server, ev: api.Outcome) -> None:
        """What an attempt's answer, or the lack of one, tells of its server."""
        r.holds_work = False
        s.release_work(r.work)
        if ev.status not in (Status.TIMEOUT, Status.CANCELLED, Status.UNREACHABLE):
            s.silent_since = now if s.outstanding_work > 1e-9 else None
        self.gate.record_outcome(r.cls, ev.status, ev.elapsed)
        self.load_balancer.record_outcome(now, r, s, ev)

    def _outcome(self, now: float, ev: api.Outcome) -> None:
        r, s = self._requests.get(ev.id), self.load_balancer.servers.get(ev.server)
        if s is None or r is None:
            return
        if r.open_attempts.pop(ev.attempt, None) is not None:
            r.account.open -= not r.body_pending
            if r.holds_work:
                self._learn(now, r, s, ev)
            elif r.body_pending or ev.status is not Status.OK:
                self.load_balancer.record_outcome(
                    now, r, s, ev
                )  # it ended while its body or its answer flowed
            self.quotas.settle(now, r, ev)
            if s.outstanding_work <= 1e-9:
                s.silent_since = (
                    None  # with nothing out it owes no answer, and none could ever end its silence
                )
        if ev.status not in NEVER_RAN and r.first_run is None and ev.attempt < len(r.attempts):
            r.first_run = r.attempts[ev.attempt]
        rejected = ev.status is Status.REJECTED  # no other server would take it either
        if rejected and not ev.finished:
            self._out.append(api.Fail(r.id))
        if rejected or ev.finished:
            self._forget(now, r.id)
        elif not r.open_attempts:
            self._retry(now, r, ev.status)

    def _retry(self, now: float, r: Request, status: Status) -> None:
        if r.body_pending:
            r.start_clock(now)
        allowed = r.replayable and len(r.attempts) < r.max_attempts and r.attempt_deadline - now > r.work
        latest = inf
        if r.first_run is not None and r.cls.effect is not Effect.SAFE:
            latest = r.first_run[1] + 0.95 * r.cls.window if r.cls.effect is Effect.KEYED else now
        if not (allowed and now < latest and self._retry_tokens >= 1) or not self._send(now, r, latest):
            return self._refuse_or_fail(now, r)
        self._retry_tokens -= status not in (Status.UNREACHABLE, Status.DROPPED)

    def _refuse_or_fail(self, now: float, r: Request, why: str = "attempts") -> None:
        self.refusal_counts[why] = self.refusal_counts.get(why, 0) + 1
        a, effect = r.account, r.cls.effect
        if (
            r.first_run is None
            or effect is Effect.SAFE
            or (effect, r.cls.scope) == (Effect.KEYED, api.Scope.ALL)
        ):
            short = max(0.1, (r.units - a.level) / a.plan.rate if a.plan.rate else 0.0)
            left = max(0.0, min(a.level, a.plan.burst)) if a.plan.rate > 0 else -1.0
            self._out.append(api.Refuse(r.id, min(self._set.max_retry_after, short), why, left))
        else:
            self._out.append(api.Fail(r.id, why))
        self._forget(now, r.id)

    def _forget(self, now: float, request: int) -> None:
        if r := self._requests.pop(request, None):
            if not r.attempts:
                self.quotas.give_back(r)
            self.quotas.free(now, r)
            for s in r.open_attempts.values():
                s.release_work(r.work if r.holds_work else 0.0)
                r.account.open -= not r.body_pending
                s.silent_since = (
                    s.silent_since if s.outstanding_work > 1e-9 else None
                )  # nobody waits: it owes nothing any more
