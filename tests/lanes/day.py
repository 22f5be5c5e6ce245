"""A simulated day in virtual time for lanes: real gateways and a simple model of servers, accounts and retries.

It is used by the tests and by ``benchmarks/lanes_shed.py``. Servers are the rehearsal's machines (processor sharing,
slots, a waiting queue), the work is lognormal, and the counter only adds. Clients send requests at times drawn in
advance (a Poisson process), retry a refused request after ``Retry-After`` at a limiter that the frontend chooses, and
disconnect at their deadline. Earnings are computed as ``rehearsal.service`` does. There is one heap of events, one seed
and no sleep, so the same seed gives the same day.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from heapq import heappop, heappush
from random import Random
from typing import Any

from cypresspulley import interface as api
from cypresspulley.histories.events import Kind
from cypresspulley.histories.writer import NoHistory
from cypresspulley.lanes.limiter import LoadShedder
from cypresspulley.lanes.options import Lane, LanesOptions
from cypresspulley.net.node import DecisionModule
from cypresspulley.policy.gateway import Gateway
from cypresspulley.rehearsal.standins.processor import Job, Machine, Processor
from tests.lanes.fabric import FakeFleet
from tests.world import SharedCounts

CLASSES = (
    api.RequestClass("bag-lookup", 1.2, 2.0, api.Effect.SAFE),
    api.RequestClass("handover-post", 2.0, 5.0, api.Effect.UNSAFE),
)
WORK_SECONDS = {"bag-lookup": 0.110, "handover-post": 0.290}
DEADLINE_SECONDS = {"bag-lookup": 4.0, "handover-post": 5.0}
POST_SHARE = 0.3  # share of the requests
WORK_VARIATION = 0.5  # coefficient of variation of the work
PLANS = (
    api.Plan("guesthouse", 0.5, 0.8, 4.0, 0, 0.2, 0.0),
    api.Plan("standard", 0.9, 0.9, 4.0, 0, 0.0, 0.5),
    api.Plan("business", 1.2, 2.8, 13.0, 0, 0.0, 0.5, 5.6, 26.0),
    api.Plan("chain", 1.8, 7.0, 13.0, 6, 0.0, 0.5),
)
LANES = LanesOptions(
    (
        Lane("premium", ("chain", "business"), 0.5),
        Lane("standard", ("standard",), 0.1),
        Lane("guest", ("guesthouse",), 0.05),
    )
)
PLAN_MIX = {"guesthouse": 0.3, "standard": 0.3, "business": 0.2, "chain": 0.2}
NETWORK_DELAY = 0.001  # seconds, one way, between limiter and server or counter
MAX_TRIES = 4  # times that a client sends a request, at most
MAX_HONOURED_WAIT = 2.0  # seconds of Retry-After that a client honours, at most
BACKOFF_SECONDS = 0.25  # seconds of a client's own backoff
HONOURED_SHARE = 0.8  # share of the refusals whose Retry-After a client honours at all
DAY_START = 1_000_000.0  # Unix seconds at which the day begins


@dataclass(frozen=True, slots=True)
class Account:
    """``demand`` is in units a second; ``limiters`` pairs each limiter that it uses with the frontend's weight."""

    name: str
    plan: api.Plan
    demand: float
    limiters: tuple[tuple[int, float], ...]


@dataclass(slots=True)
class ClientRequest:
    """A client's request with all its retries.

    ``within_quota`` says that one token bucket charged with all first requests would have had room.
    ``sent_within_quota`` says that one charged with all requests sent on had room when this one was first sent on;
    ``sent_over_quota`` counts how often it had none.
    """

    asked_at: float
    account: Account
    cls: api.RequestClass
    within_quota: bool
    tries: int = 0
    served: float | None = None  # seconds from the first try to the answer
    sent_within_quota: bool = True
    sent_over_quota: int = 0
    shed_count: int = 0  # times that a lane shed it
    first_result: str = ""  # result of its first try


class Buckets:
    """Each account's quota as one token bucket, and its requests in flight."""

    def __init__(self) -> None:
        self._levels, self._in_flight = dict[str, tuple[float, float]](), dict[str, list[float]]()

    def take(self, now: float, account: Account, until: float) -> bool:
        """Take one unit for a request in flight until ``until``; return whether there was room."""
        plan = account.plan
        in_flight = self._in_flight[account.name] = [
            t for t in self._in_flight.get(account.name, []) if t > now
        ]
        if 0 < plan.open_limit <= len(in_flight):
            return False
        level, at = self._levels.get(account.name, (plan.burst, now))
        level = min(plan.burst, level + plan.rate * (now - at))
        self._levels[account.name] = level - (level >= 1), now
        if level < 1:
            return False
        in_flight.append(until)
        return True


@dataclass(slots=True)
class DayOptions:
    """The parameters of a day.

    ``phases`` are pairs of a duration in seconds and a load, as a multiple of the fleet's ``capacity`` in units a
    second.
    """

    phases: tuple[tuple[float, float], ...]
    capacity: float
    mix: dict[str, float] = field(default_factory=lambda: dict(PLAN_MIX))
    heavy_share: float = 0.12  # share of accounts whose demand is twice their quota
    limiters: int = 8
    servers: int = 8
    placement: str = "drawn"  # or "split": premium plans at the first limiters, the others at the rest

    @property
    def seconds(self) -> float:
        return sum(seconds for seconds, _ in self.phases)


MACHINE = Machine(
    2.0,
    8,
    40,
    0.02,
    0.3,
    10.0,
    2.5,
    2.0,
    mean_work=0.7 * WORK_SECONDS["bag-lookup"] + 0.3 * WORK_SECONDS["handover-post"],
)
REPORT_SECONDS = 0.4  # seconds for which a server reports the same load figure


class Server:
    """A server with the rehearsal's machine, run as in ``rehearsal.standins.bagserver``."""

    def __init__(self, day: Day, name: str) -> None:
        self._day, self.name = day, name
        self.cpu = Processor(MACHINE, day.now, cold=False)
        self._attempts = dict[int, Attempt]()
        self._wake = 0
        self._reported, self._reported_at = 0.0, 0.0

    def __repr__(self) -> str:
        return f"<Server {self.name} {len(self.cpu.running)} run, {len(self.cpu.queue)} wait>"

    def accept(self, attempt: Attempt) -> None:
        self._advance()
        if not self.cpu.add(attempt.job):
            self._day.schedule(
                self._day.now + NETWORK_DELAY, lambda: self._day.end_attempt(attempt, api.Status.FULL)
            )
            return
        self._attempts[attempt.job.number] = attempt
        self._advance()

    def cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt that nobody waits for: queued work is removed, running work continues."""
        if self._attempts.pop(attempt.job.number, None) is not None:
            self.cpu.drop(attempt.job, False)

    def _advance(self) -> None:
        now = self._day.now
        for job in self.cpu.advance(now):
            if (attempt := self._attempts.pop(job.number, None)) is not None:
                self._day.schedule(
                    now + NETWORK_DELAY,
                    lambda attempt=attempt: self._day.end_attempt(attempt, api.Status.OK),  # type: ignore[misc]
                )
        self.cpu.admit()
        self._wake += 1
        wake, wait = self._wake, self.cpu.seconds_until_done(now)
        if wait is not None:
            self._day.schedule(now + wait, lambda: self._advance() if wake == self._wake else None)

    def report(self) -> dict[str, float]:
        if self._day.now - self._reported_at >= REPORT_SECONDS:
            self._reported_at = self._day.now
            self._reported = float(len(self.cpu.running) + len(self.cpu.queue))
        return {"inflight": self._reported}


@dataclass(slots=True)
class Attempt:
    """One sending to a server. ``is_over`` says that its outcome was reported, or that nobody waits for it any more."""

    job: Job
    limiter: Limiter
    id: int
    index: int
    server: Server
    sent: float
    is_over: bool = False


class History(NoHistory):
    """Keeps the events that ``lanes`` writes."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock, self.events = clock, list[tuple[float, Kind, dict[str, Any]]]()

    def put(self, kind: Kind, **facts: Any) -> None:
        self.events.append((self._clock(), kind, facts))

    def of(self, kind: Kind) -> Iterator[tuple[float, dict[str, Any]]]:
        return ((t, facts) for t, found, facts in self.events if found is kind)


class Limiter:
    """A gateway with the module before it, and the node's part for both."""

    def __init__(self, day: Day, index: int, make_module: ModuleFactory) -> None:
        self.day, self.index, self.name = day, index, f"limiter-{index}"
        settings = day.make_settings(index)
        self.gateway = Gateway(settings, index + 1, day.now)
        self.history = History(lambda: day.now)
        self.load_shedder: LoadShedder | None = None
        self.in_force_changes = list[
            tuple[float, bool]
        ]()  # when a policy came into force here, and when it ended
        self.decide: DecisionModule = make_module(self, settings)
        self.open_requests = dict[int, ClientRequest]()
        self.attempts = dict[int, list[Attempt]]()
        self._events, self._busy = deque[api.Event](), False

    def deliver(self, event: api.Event) -> None:
        self._events.append(event)
        if self._busy:
            return
        self._busy = True
        while self._events:
            for action in self.decide.handle(self.day.now, self._events.popleft()):
                self.day.perform(self, action)
        self._busy = False


ModuleFactory = Callable[[Limiter, api.Settings], DecisionModule]


class Day:
    """``make_module`` returns the decision module of a limiter, which may stand before its gateway."""

    def __init__(
        self, options: DayOptions, seed: int, make_module: ModuleFactory, fleet: FakeFleet | None = None
    ) -> None:
        self.options, self.now, self._rng = options, DAY_START, Random(seed)
        self._heap, self._count = list[tuple[float, int, Callable[[], None]]](), 0
        self.fleet = fleet if fleet is not None else FakeFleet(lambda: self.now)
        self.fleet.clock = lambda: self.now
        self.servers = {f"s{i}": Server(self, f"s{i}") for i in range(options.servers)}
        self.totals = SharedCounts()
        self.client_requests = list[ClientRequest]()
        self._requested_quota, self._sent_quota = Buckets(), Buckets()
        self._numbers = 0
        self.limiters = [Limiter(self, index, make_module) for index in range(options.limiters)]
        self.accounts = self._draw_accounts(Random(seed + 1))

    def make_settings(self, index: int) -> api.Settings:
        return api.Settings(
            index=index, gateways=self.options.limiters, zone="a", classes=CLASSES, plans=PLANS, max_attempts=3,
            may_cancel=True, may_probe=True, has_counter=True, counter_timeout=0.05, max_retry_after=1.0,
            cold_share=0.2, warm_after=8.0, fall_multiple=2.0, fall_window=2.0,
        )  # fmt: skip

    def schedule(self, at: float, call: Callable[[], None]) -> None:
        self._count += 1
        heappush(self._heap, (at, self._count, call))

    # Clients.

    def _draw_accounts(self, rng: Random) -> list[Account]:
        """Draw accounts until their demand within quota amounts to a load of 1."""
        accounts = list[Account]()
        for plan in PLANS:
            want, have = self.options.mix.get(plan.name, 0.0) * self.options.capacity, 0.0
            while have < want:
                quota_use = 2.0 if rng.random() < self.options.heavy_share else rng.uniform(0.3, 0.8)
                quota_use = min(quota_use, (want - have) / plan.rate) if quota_use < 1 else quota_use
                accounts.append(self._draw_account(rng, plan, quota_use, len(accounts)))
                have += min(1.0, quota_use) * plan.rate
        return accounts

    def _draw_account(self, rng: Random, plan: api.Plan, quota_use: float, number: int) -> Account:
        count, first = self.options.limiters, int(self.options.limiters * rng.random() ** 1.7)
        places = [(first + k) % count for k in range(rng.randint(2, min(4, count)))]
        if self.options.placement == "split":
            third = max(1, count // 3)
            premium = plan.name in LANES.lanes[0].plans
            pool = range(third) if premium else range(third, count)
            places = rng.sample(list(pool), min(len(pool), 3))
        at = tuple((place, 0.15 + rng.random() ** 2) for place in places)
        return Account(f"{plan.name}-{number}", plan, quota_use * plan.rate, at)

    def _schedule_arrivals(self) -> None:
        rng, start = self._rng, DAY_START
        for seconds, load in self.options.phases:
            for account in self.accounts:
                t = start
                while (t := t + rng.expovariate(max(1e-9, account.demand * load))) < start + seconds:
                    cls = CLASSES[rng.random() < POST_SHARE]
                    self.schedule(t, lambda account=account, cls=cls: self._start_request(account, cls))  # type: ignore[misc]
            start += seconds

    def _start_request(self, account: Account, cls: api.RequestClass) -> None:
        request = ClientRequest(
            self.now,
            account,
            cls,
            self._requested_quota.take(self.now, account, self.now + WORK_SECONDS[cls.name]),
        )
        self.client_requests.append(request)
        self._send_to_limiter(request)

    def _send_to_limiter(self, request: ClientRequest) -> None:
        request.tries += 1
        reachable = [
            (n, w) for n, w in request.account.limiters if self.limiters[n].name not in self.fleet.dead
        ]
        places = reachable or [(n, 1.0) for n in range(len(self.limiters))]
        limiter = self.limiters[self._rng.choices([n for n, _ in places], [w for _, w in places])[0]]
        left = min(
            DEADLINE_SECONDS[request.cls.name] * self._rng.uniform(0.6, 1.0),
            DEADLINE_SECONDS[request.cls.name] + request.asked_at - self.now,
        )
        self._numbers += 1
        id, name = self._numbers, request.account.name
        limiter.open_requests[id] = request
        self.schedule(self.now + left, lambda: self._disconnect(limiter, id))
        limiter.deliver(
            api.Request(
                id, request.cls.name, request.account.plan.name, left - 0.02, name, 1.0, len(request.account.limiters),
                request.tries > 1, effect=request.cls.effect,
            )
        )  # fmt: skip

    def _disconnect(self, limiter: Limiter, id: int) -> None:
        if limiter.open_requests.pop(id, None) is not None:
            self._cancel_attempts(limiter, id)
            limiter.deliver(api.ClientDisconnected(id))

    def _handle_refusal(self, limiter: Limiter, action: api.Refuse | api.Fail) -> None:
        request = limiter.open_requests.pop(action.id, None)
        if request is None:
            return
        self._cancel_attempts(limiter, action.id)
        request.first_result = request.first_result or action.why or "failed"
        request.shed_count += action.why == "lane"
        wait = BACKOFF_SECONDS * self._rng.uniform(0.5, 1.5)
        if isinstance(action, api.Refuse) and self._rng.random() < HONOURED_SHARE:
            wait = max(wait, min(MAX_HONOURED_WAIT, action.retry_after))
        again = self.now + wait
        if (
            isinstance(action, api.Refuse)
            and request.tries < MAX_TRIES
            and again < request.asked_at + DEADLINE_SECONDS[request.cls.name] - 0.3
        ):
            self.schedule(again, lambda: self._send_to_limiter(request))

    # The node's part.

    def perform(self, limiter: Limiter, action: api.Action) -> None:
        if isinstance(action, api.Send):
            self._send(limiter, action)
        elif isinstance(action, api.Refuse | api.Fail):
            self._handle_refusal(limiter, action)
        elif isinstance(action, api.SetTimer):
            token = action.token
            self.schedule(self.now + action.delay, lambda: limiter.deliver(api.TimerFired(token)))
        elif isinstance(action, api.Count):
            self.schedule(self.now + 2 * NETWORK_DELAY, lambda: self._complete_count(limiter, action))
        elif isinstance(action, api.Probe):
            server = action.server
            probed = api.Probed(server, api.Status.OK, 2 * NETWORK_DELAY, {})
            self.schedule(self.now + 2 * NETWORK_DELAY, lambda: limiter.deliver(probed))

    def _complete_count(self, limiter: Limiter, action: api.Count) -> None:
        total = self.totals.add(self.now, action)
        limiter.deliver(api.Counted(action.name, api.Status.OK, total))

    def _send(self, limiter: Limiter, action: api.Send) -> None:
        if (request := limiter.open_requests.get(action.id)) is None:
            return
        request.first_result = request.first_result or "sent"
        attempts = limiter.attempts.setdefault(action.id, [])
        variance = math.log(1 + WORK_VARIATION**2)
        work = WORK_SECONDS[request.cls.name] * self._rng.lognormvariate(-variance / 2, math.sqrt(variance))
        if not attempts:
            request.sent_within_quota = self._sent_quota.take(
                self.now, request.account, self.now + WORK_SECONDS[request.cls.name]
            )
            request.sent_over_quota += not request.sent_within_quota
        self._numbers += 1
        server, job = self.servers[action.server], Job(self._numbers, work)
        attempt = Attempt(job, limiter, action.id, len(attempts), server, self.now)
        attempts.append(attempt)
        self.schedule(self.now + NETWORK_DELAY, lambda: None if attempt.is_over else server.accept(attempt))
        self.schedule(self.now + action.timeout, lambda: self.end_attempt(attempt, api.Status.TIMEOUT))

    def end_attempt(self, attempt: Attempt, status: api.Status) -> None:
        """End an attempt and report its outcome to its limiter."""
        if attempt.is_over:
            return
        attempt.is_over = True
        limiter, answered = attempt.limiter, status in (api.Status.OK, api.Status.FULL)
        if not answered:
            attempt.server.cancel(attempt)
        request = limiter.open_requests.get(attempt.id)
        if status is api.Status.OK and request is not None:
            del limiter.open_requests[attempt.id]
            request.served = self.now - request.asked_at
        finished = attempt.id not in limiter.open_requests
        if finished:
            limiter.attempts.pop(attempt.id, None)
        report, elapsed = attempt.server.report() if answered else {}, self.now - attempt.sent
        limiter.deliver(
            api.Outcome(attempt.id, attempt.index, attempt.server.name, status, elapsed, finished, report)
        )

    def _cancel_attempts(self, limiter: Limiter, id: int) -> None:
        """Cancel the attempts of a request that has ended."""
        for attempt in limiter.attempts.pop(id, []):
            if not attempt.is_over:
                attempt.is_over = True
                attempt.server.cancel(attempt)

    def run(self) -> Day:
        entries = tuple(api.ServerEntry(name, api.Health.UP, "a", 0, 1.0, 0.0) for name in self.servers)
        for limiter in self.limiters:
            limiter.deliver(api.ServerList(entries, True))
            if limiter.load_shedder is not None:
                self._schedule_periods(limiter, limiter.load_shedder, self._rng.random())
        self._schedule_arrivals()
        end = DAY_START + self.options.seconds
        while self._heap and self._heap[0][0] <= end + 6:
            self.now, _, call = heappop(self._heap)
            call()
        return self

    def _schedule_periods(self, limiter: Limiter, shedder: LoadShedder, phase: float) -> None:
        def tick() -> None:
            if limiter.name not in self.fleet.dead:
                shedder.run_period(self.now)
                if shedder.active.in_force != (
                    limiter.in_force_changes[-1][1] if limiter.in_force_changes else False
                ):
                    limiter.in_force_changes.append((self.now, shedder.active.in_force))
                self.schedule(self.now + LANES.period_seconds, tick)

        self.schedule(self.now + phase * LANES.period_seconds, tick)


def without_lanes(limiter: Limiter, settings: api.Settings) -> DecisionModule:
    return limiter.gateway


def with_lanes(limiter: Limiter, settings: api.Settings) -> DecisionModule:
    day = limiter.day
    view = day.fleet.join(limiter.name)
    limiter.load_shedder = LoadShedder(
        LANES, view, limiter.gateway, settings, limiter.history, lambda: day.now
    )
    return limiter.load_shedder.wrap(limiter.gateway)


@dataclass(frozen=True, slots=True)
class Results:
    """The results of the requests of an interval, by lane.

    ``offered`` and ``earned`` are the units within quota that were requested, and that were answered in time. ``worth``
    is the share of all worth that was earned, as ``rehearsal.service`` computes ``whole``.
    """

    seconds: float
    offered: dict[str, float]
    earned: dict[str, float]
    worth: float

    def served_share(self, lane: str) -> float:
        return self.earned[lane] / self.offered[lane] if self.offered[lane] else 1.0

    def served_rate(self, lane: str) -> float:
        """Return the units a second answered in time."""
        return self.earned[lane] / self.seconds


def measure(day: Day, start: float, end: float) -> Results:
    """Return the results of the requests first sent from ``start`` to ``end``, in seconds of the day."""
    names = {plan: lane.name for lane in LANES.lanes for plan in lane.plans}
    offered, earned = dict.fromkeys(names.values(), 0.0), dict.fromkeys(names.values(), 0.0)
    asked = got = 0.0
    for request in day.client_requests:
        if not start <= request.asked_at - DAY_START < end:
            continue
        plan, lane = request.account.plan, names[request.account.plan.name]
        worth, in_time = (
            request.cls.worth * plan.price,
            request.served is not None and request.served <= request.cls.aim,
        )
        offered[lane] += request.within_quota
        earned[lane] += in_time and request.sent_within_quota
        asked += worth if request.within_quota else worth * plan.over_worth
        got += worth * (1 if request.sent_within_quota else plan.over_worth) if in_time else 0.0
        got -= plan.over_cost * worth * request.sent_over_quota
    return Results(end - start, offered, earned, got / asked if asked else 1.0)
