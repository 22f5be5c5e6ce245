"""The gateway that joins gate, quotas and fleet: one event in, a list of actions out. See ``interface.py``."""

from bisect import bisect_left
from collections import deque
from collections.abc import Callable
from math import inf
from random import Random
from typing import Any

from cypresspulley import interface as api
from cypresspulley.interface import Action, Effect, Status
from cypresspulley.policy.classes import Classes
from cypresspulley.policy.fleet import Fleet
from cypresspulley.policy.gate import AIM_SHARE, INTERVAL, REFERENCE, RESERVE, Gate
from cypresspulley.policy.quota import Quotas, Verdict
from cypresspulley.policy.request import Request
from cypresspulley.policy.server import Server

SPLIT = 0.7  # share of the aim until a second attempt
NEVER_RAN = (Status.FULL, Status.UNREACHABLE, Status.DROPPED, Status.NOT_SENT)


class Gateway:
    """All that one limiter decides: what is let in, where it goes, whether it is tried again, what is answered."""

    def __init__(self, settings: api.Settings, seed: int, now: float) -> None:
        self._set, self._out = settings, list[Action]()
        rng = Random(seed)
        self.gate = Gate(now)
        self.fleet = Fleet(settings, rng, self.gate)
        self._classes = Classes(settings)
        self._requests, self.why = dict[int, Request](), dict[str, int]()  # open ones; causes to log
        self.quotas = Quotas(settings, rng, now, lambda a: self._out.append(a), self._requests, self._launch)
        self._timer, self._retries = 0, 10.0  # further attempts that may be made
        self._seen, self._ranks = deque[float](maxlen=300), list[float]()  # worth per work of the recent
        self._handlers: dict[type, Callable[[float, Any], None]] = {
            api.Request: self._arrive, api.Body: self._body, api.Began: self._began, api.Outcome: self._outcome,
            api.ServerList: self.fleet.listed, api.Suspend: self._suspend, api.Retune: self._retune,
            api.Probed: self.fleet.probed, api.Heard: self.quotas.receive_usage,
            api.Counted: self.quotas.counter_calls.on_answer,
            api.WallClock: lambda _now, ev: self.quotas.wall_time.set_offset(ev.shift),
            api.TimerFired: lambda _now, _ev: None,
            api.Departed: lambda now, ev: self._forget(now, ev.id),
        }  # fmt: skip

    def handle(self, now: float, event: api.Event) -> list[Action]:
        self._out, ticked = [], event == api.TimerFired(self._timer)
        self._handlers[type(event)](now, event)
        if ticked:
            self._tick(now)
        if ticked or not self._timer:
            self._timer += 1
            self._out.append(api.SetTimer(INTERVAL, self._timer))
        return self._out

    def _tick(self, now: float) -> None:
        dt = self.gate.since(now)
        for r in list(self._requests.values()):
            if now >= r.deadline and not r.out:
                self._end(now, r)
            elif r.busy and now - r.born > r.cls.aim * AIM_SHARE / REFERENCE:
                self.gate.overdue()
        self.gate.tick(dt)
        if self._timer % 10 == 0 and self.why:
            text = ", ".join(f"{k} {n}" for k, n in sorted(self.why.items()))
            load = f"load {self.gate.reading:.2f}, u {self.gate.u:.0f}/s"
            silent = ", counter silent" * (now < self.quotas.counter_calls.silent_until)
            self._out.append(api.Log(f"turned away: {text}; {load}{silent}"))
            self.why = {}
        self._out += self.fleet.tick(now, dt, self._requests.values())
        self.quotas.broadcast_usage(now)
        self._ranks = sorted(self._seen)
        self.quotas.tick(now)

    def _arrive(self, now: float, ev: api.Request) -> None:
        unknown = api.RequestClass(ev.request_class, max(ev.ttl, 0.01), 1.0, Effect.UNSAFE)
        cls = self._classes.record(now, ev.request_class, ev.effect) or unknown
        a = self.quotas.get_or_create_account(now, ev)
        self.quotas.broadcast_usage(now)
        r = self._requests[ev.id] = Request(now, ev, cls, a, self._classes.attempts(now))
        r.work = self.fleet.expected(cls, ev.units)
        self.gate.arrived(r.work, not ev.repeat)
        value = r.worth / r.work
        self._seen.append(value)
        r.rank = bisect_left(self._ranks, value) / len(self._ranks) if self._ranks else 1.0
        if r.bound and self.quotas.exceeds_capacity(r):
            self._end(now, r, "too dear")
        elif not (self.quotas.ceiling_share_holds(r) or self.quotas.window_may_grant(now, r)):
            self._end(now, r, "ceiling")
        elif not self.gate.passes(now, r.work, RESERVE * (1 - r.rank)):
            self._end(now, r, "gate")
        elif (verdict := self.quotas.check_quota(now, r)) is not None:
            self._launch(now, r, verdict)

    def _suspend(self, now: float, ev: api.Suspend) -> None:
        if self.fleet.suspended(now, ev):
            self._out.append(api.Ban(ev.server, ev.out))

    def _retune(self, now: float, ev: api.Retune) -> None:
        """Levels, loads and what is out go on; open requests keep the records that they were let in under."""
        self._set = ev.settings
        self._classes.change(now, ev.settings)
        self.fleet.retune(now, ev.settings)
        self.quotas.update_settings(now, ev.settings)

    def _launch(self, now: float, r: Request, verdict: Verdict) -> None:
        plan = r.account.plan
        earns = plan.over_worth > plan.over_cost and 0 < self.gate.reading < 0.6 * REFERENCE
        room = verdict.within_quota and self.quotas.check_open_limit(now, r, verdict)
        if room is None:
            return None
        if not room and verdict.within_quota:
            verdict = self.quotas.revert_charge(now, r, verdict)
        if not (room or earns):
            return self._end(now, r, verdict.refuse_reason)
        # Requests held for the counter must not draw on the ceiling together.
        if not self.quotas.ceiling_share_holds(r) or not self._send(now, r):
            self.quotas.revert_charge(now, r, verdict)
            return self._end(now, r, "no server")
        self.gate.admit(r.work)
        self._retries = min(10.0, self._retries + 0.1)
        self.quotas.record_sent(now, r, verdict)

    def _send(self, now: float, r: Request, latest: float = inf) -> bool:
        wait = r.due - now
        s = self.fleet.pick(now, r) if wait > 0 else None
        if s is None:
            return False
        if r.cls.effect is not Effect.UNSAFE and len(r.tries) + 1 < r.attempts:
            wait = min(wait, max(SPLIT * r.cls.aim, 4 * max(1.0, s.slow) * r.work))
        r.out[len(r.tries)] = s
        r.tries.append((s, now))
        s.since += 1
        s.budget -= r.work if s.cold_at is not None else 0.0  # warm, it owes nothing when unsure again
        if not r.coming:
            self._busy(now, r, s)
        self._out.append(api.Send(r.id, s.entry.name, wait, latest))
        return True

    def _busy(self, now: float, r: Request, s: Server) -> None:
        """It is out from now on: its work is at the server, which owes an answer."""
        r.busy, r.account.open_attempts = True, r.account.open_attempts + 1
        self.fleet.begin(now, s, r.work)

    def _body(self, now: float, ev: api.Body) -> None:
        """A body that flows: a server begins with its last byte, and so do the client's time and the work."""
        if (r := self._requests.get(ev.id)) is None:
            return
        r.kept = ev.kept
        if ev.whole and r.coming:
            r.coming = False
            r.begin(now)
            self.quotas.on_body_complete(now, r)
            for s in r.out.values():
                self._busy(now, r, s)

    def _began(self, now: float, ev: api.Began) -> None:
        """The answer's first bytes are what is timed and read; the attempt is out until the last one."""
        r, s = self._requests.get(ev.id), self.fleet.servers.get(ev.server)
        if r is not None and s is not None and r.busy:
            told = api.Outcome(ev.id, ev.attempt, ev.server, Status.OK, ev.elapsed, False, ev.report)
            self._learn(now, r, s, told)

    def _learn(self, now: float, r: Request, s: Server, ev: api.Outcome) -> None:
        """What an attempt's answer, or the lack of one, tells of its server."""
        r.busy = False
        s.ended(r.work)
        if ev.status not in (Status.TIMEOUT, Status.CANCELLED, Status.UNREACHABLE):
            s.quiet = now if s.open > 1e-9 else None
        self.gate.read(r.cls, ev.status, ev.elapsed)
        self.fleet.learn(now, r, s, ev)

    def _outcome(self, now: float, ev: api.Outcome) -> None:
        r, s = self._requests.get(ev.id), self.fleet.servers.get(ev.server)
        if s is None or r is None:
            return
        if r.out.pop(ev.attempt, None) is not None:
            r.account.open_attempts -= not r.coming
            if r.busy:
                self._learn(now, r, s, ev)
            elif r.coming or ev.status is not Status.OK:
                self.fleet.learn(now, r, s, ev)  # it ended while its body or its answer flowed
            self.quotas.settle(now, r, ev)
            if s.open <= 1e-9:
                s.quiet = None  # with nothing out it owes no answer, and none could ever end its silence
        if ev.status not in NEVER_RAN and r.ran is None and ev.attempt < len(r.tries):
            r.ran = r.tries[ev.attempt]
        rejected = ev.status is Status.REJECTED  # no other server would take it either
        if rejected and not ev.finished:
            self._out.append(api.Fail(r.id))
        if rejected or ev.finished:
            self._forget(now, r.id)
        elif not r.out:
            self._again(now, r, ev.status)

    def _again(self, now: float, r: Request, status: Status) -> None:
        if r.coming:
            r.begin(now)
        allowed, latest = r.kept and len(r.tries) < r.attempts and r.due - now > r.work, inf
        if r.ran is not None and r.cls.effect is not Effect.SAFE:
            latest = r.ran[1] + 0.95 * r.cls.window if r.cls.effect is Effect.KEYED else now
        if not (allowed and now < latest and self._retries >= 1) or not self._send(now, r, latest):
            return self._end(now, r)
        self._retries -= status not in (Status.UNREACHABLE, Status.DROPPED)

    def _end(self, now: float, r: Request, why: str = "attempts") -> None:
        self.why[why] = self.why.get(why, 0) + 1
        a, effect = r.account, r.cls.effect
        if r.ran is None or effect is Effect.SAFE or (effect, r.cls.scope) == (Effect.KEYED, api.Scope.ALL):
            short = max(0.1, (r.units - a.level) / a.plan.rate if a.plan.rate else 0.0)
            left = max(0.0, min(a.level, a.plan.burst)) if a.plan.rate > 0 else -1.0
            self._out.append(api.Refuse(r.id, min(self._set.max_retry_after, short), why, left))
        else:
            self._out.append(api.Fail(r.id, why))
        self._forget(now, r.id)

    def _forget(self, now: float, request: int) -> None:
        if r := self._requests.pop(request, None):
            if not r.tries:
                self.quotas.return_window_grant(r)
            self.quotas.release_slot(now, r)
            for s in r.out.values():
                s.ended(r.work if r.busy else 0.0)
                r.account.open_attempts -= not r.coming
                s.quiet = s.quiet if s.open > 1e-9 else None  # nobody waits: it owes nothing any more
