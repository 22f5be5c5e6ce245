"""A day in virtual time for lanes: several real gateways before a simple model of servers, accounts, retries.

Used by the tests and by ``benchmarks/lanes_shed.py``. Servers are the rehearsal's machines (processor sharing, slots, a
waiting room), work is lognormal, the counter adds. Clients ask at times drawn ahead (Poisson), send a refused request
again after ``Retry-After``, wherever the front sends them, and leave when their time is up. What is earned is reckoned
as ``rehearsal.service`` does. One heap of events, one seed, no sleep: the same seed is the same day.
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
from cypresspulley.lanes.limiter import Lanes
from cypresspulley.lanes.options import Lane, LanesOptions
from cypresspulley.net.node import DecisionModule
from cypresspulley.policy.gateway import Gateway
from cypresspulley.rehearsal.standins.processor import Job, Machine, Processor
from tests.lanes.fabric import Fabric
from tests.world import SharedCounts

CLASSES = (
    api.RequestClass("bag-lookup", 1.2, 2.0, api.Effect.SAFE),
    api.RequestClass("handover-post", 2.0, 5.0, api.Effect.UNSAFE),
)
WORK = {"bag-lookup": 0.110, "handover-post": 0.290}
TTL = {"bag-lookup": 4.0, "handover-post": 5.0}
POSTS = 0.3  # share of the requests
SPREAD_OF_WORK = 0.5  # its coefficient of variation
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
MIX = {"guesthouse": 0.3, "standard": 0.3, "business": 0.2, "chain": 0.2}
WAY = 0.001  # seconds between limiter and server or counter
TRIES = 4  # of a client's
MOST_WAIT = 2.0  # seconds of Retry-After that a client honours, at most
BACKOFF = 0.25  # seconds of a client's own pause
HONOUR = 0.8  # share of the refusals whose Retry-After a client honours at all
START = 1_000_000.0  # Unix seconds at which the day begins


@dataclass(frozen=True, slots=True)
class Account:
    """``asks``: units a second that it asks; ``at``: its limiters with the weights by which the front chooses."""

    name: str
    plan: api.Plan
    asks: float
    at: tuple[tuple[int, float], ...]


@dataclass(slots=True)
class Ask:
    """A client's request over all its tries. ``inside``: one store that saw all first tries would have had room;
    ``within``: one that saw all sendings had room when it was first sent on, ``beyond`` how often it had none."""

    t: float
    account: Account
    cls: api.RequestClass
    inside: bool
    tries: int = 0
    served: float | None = None  # seconds from first try to answer
    within: bool = True
    beyond: int = 0
    lanes: int = 0  # times that a lane turned it away
    first: str = ""  # what became of its first try


class Buckets:
    """Each account's quota as one store, and what it has out."""

    def __init__(self) -> None:
        self._levels, self._out = dict[str, tuple[float, float]](), dict[str, list[float]]()

    def take(self, now: float, account: Account, until: float) -> bool:
        """Room for one unit that is out until then; taken where there is."""
        plan = account.plan
        out = self._out[account.name] = [t for t in self._out.get(account.name, []) if t > now]
        if 0 < plan.open_limit <= len(out):
            return False
        level, at = self._levels.get(account.name, (plan.burst, now))
        level = min(plan.burst, level + plan.rate * (now - at))
        self._levels[account.name] = level - (level >= 1), now
        if level < 1:
            return False
        out.append(until)
        return True


@dataclass(slots=True)
class Shape:
    """A day: spans of seconds, each with a load as a share of what the fleet bears (units a second)."""

    spans: tuple[tuple[float, float], ...]
    bears: float
    mix: dict[str, float] = field(default_factory=lambda: dict(MIX))
    heavy: float = 0.12  # share of accounts that ask twice their quota
    limiters: int = 8
    servers: int = 8
    uneven: str = "drawn"  # or "split": premium at the first limiters, the cheap at the others

    @property
    def seconds(self) -> float:
        return sum(span for span, _ in self.spans)


MACHINE = Machine(
    2.0, 8, 40, 0.02, 0.3, 10.0, 2.5, 2.0, mean_work=0.7 * WORK["bag-lookup"] + 0.3 * WORK["handover-post"]
)
REPORT = 0.4  # seconds for which a server tells one figure of its load


class Server:
    """The rehearsal's machine, as ``rehearsal.standins.bagserver`` runs it."""

    def __init__(self, day: Day, name: str) -> None:
        self._day, self.name = day, name
        self.cpu = Processor(MACHINE, day.now, cold=False)
        self._attempts = dict[int, Attempt]()
        self._wake = 0
        self._told, self._told_at = 0.0, 0.0

    def __repr__(self) -> str:
        return f"<Server {self.name} {len(self.cpu.running)} run, {len(self.cpu.queue)} wait>"

    def take(self, one: Attempt) -> None:
        self._advance()
        if not self.cpu.add(one.job):
            self._day.at(self._day.now + WAY, lambda: self._day.ended(one, api.Status.FULL))
            return
        self._attempts[one.job.number] = one
        self._advance()

    def drop(self, one: Attempt) -> None:
        """Nobody waits for it: waiting work goes, running work runs on."""
        if self._attempts.pop(one.job.number, None) is not None:
            self.cpu.drop(one.job, False)

    def _advance(self) -> None:
        now = self._day.now
        for job in self.cpu.advance(now):
            if (one := self._attempts.pop(job.number, None)) is not None:
                self._day.at(now + WAY, lambda one=one: self._day.ended(one, api.Status.OK))  # type: ignore[misc]
        self.cpu.admit()
        self._wake += 1
        wake, wait = self._wake, self.cpu.until_next(now)
        if wait is not None:
            self._day.at(now + wait, lambda: self._advance() if wake == self._wake else None)

    def report(self) -> dict[str, float]:
        if self._day.now - self._told_at >= REPORT:
            self._told_at = self._day.now
            self._told = float(len(self.cpu.running) + len(self.cpu.queue))
        return {"inflight": self._told}


@dataclass(slots=True)
class Attempt:
    """One sending. ``over``: its end was told, or nobody waits for it any more."""

    job: Job
    limiter: Limiter
    id: int
    index: int
    server: Server
    sent: float
    over: bool = False


class History(NoHistory):
    """Keeps what ``lanes`` writes."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock, self.events = clock, list[tuple[float, Kind, dict[str, Any]]]()

    def put(self, kind: Kind, **facts: Any) -> None:
        self.events.append((self._clock(), kind, facts))

    def of(self, kind: Kind) -> Iterator[tuple[float, dict[str, Any]]]:
        return ((t, facts) for t, found, facts in self.events if found is kind)


class Limiter:
    """A gateway with what stands before it, and what the node would do for both."""

    def __init__(self, day: Day, index: int, before: Before) -> None:
        self.day, self.index, self.name = day, index, f"limiter-{index}"
        settings = day.settings(index)
        self.gateway = Gateway(settings, index + 1, day.now)
        self.history = History(lambda: day.now)
        self.lanes: Lanes | None = None
        self.forced = list[tuple[float, bool]]()  # when lanes came into force here, and ended
        self.decide: DecisionModule = before(self, settings)
        self.open = dict[int, Ask]()
        self.out = dict[int, list[Attempt]]()
        self._events, self._busy = deque[api.Event](), False

    def feed(self, event: api.Event) -> None:
        self._events.append(event)
        if self._busy:
            return
        self._busy = True
        while self._events:
            for action in self.decide.handle(self.day.now, self._events.popleft()):
                self.day.act(self, action)
        self._busy = False


Before = Callable[[Limiter, api.Settings], DecisionModule]


class Day:
    """``before`` puts something between a limiter's node and its gateway."""

    def __init__(self, shape: Shape, seed: int, before: Before, fabric: Fabric | None = None) -> None:
        self.shape, self.now, self._rng = shape, START, Random(seed)
        self._heap, self._count = list[tuple[float, int, Callable[[], None]]](), 0
        self.fabric = fabric if fabric is not None else Fabric(lambda: self.now)
        self.fabric.clock = lambda: self.now
        self.servers = {f"s{i}": Server(self, f"s{i}") for i in range(shape.servers)}
        self.totals = SharedCounts()
        self.asks = list[Ask]()
        self._asked_of, self._sent_of = Buckets(), Buckets()
        self._numbers = 0
        self.limiters = [Limiter(self, index, before) for index in range(shape.limiters)]
        self.accounts = self._drawn(Random(seed + 1))

    def settings(self, index: int) -> api.Settings:
        return api.Settings(
            index=index, gateways=self.shape.limiters, zone="a", classes=CLASSES, plans=PLANS, max_attempts=3,
            may_cancel=True, may_probe=True, has_counter=True, counter_timeout=0.05, max_retry_after=1.0,
            cold_share=0.2, warm_after=8.0, fall_multiple=2.0, fall_window=2.0,
        )  # fmt: skip

    def at(self, t: float, do: Callable[[], None]) -> None:
        self._count += 1
        heappush(self._heap, (t, self._count, do))

    # Clients.

    def _drawn(self, rng: Random) -> list[Account]:
        """Accounts until their asks inside quota come to a load of 1."""
        accounts = list[Account]()
        for plan in PLANS:
            want, have = self.shape.mix.get(plan.name, 0.0) * self.shape.bears, 0.0
            while have < want:
                use = 2.0 if rng.random() < self.shape.heavy else rng.uniform(0.3, 0.8)
                use = min(use, (want - have) / plan.rate) if use < 1 else use
                accounts.append(self._account(rng, plan, use, len(accounts)))
                have += min(1.0, use) * plan.rate
        return accounts

    def _account(self, rng: Random, plan: api.Plan, use: float, number: int) -> Account:
        count, first = self.shape.limiters, int(self.shape.limiters * rng.random() ** 1.7)
        places = [(first + k) % count for k in range(rng.randint(2, min(4, count)))]
        if self.shape.uneven == "split":
            third = max(1, count // 3)
            premium = plan.name in LANES.lanes[0].plans
            pool = range(third) if premium else range(third, count)
            places = rng.sample(list(pool), min(len(pool), 3))
        at = tuple((place, 0.15 + rng.random() ** 2) for place in places)
        return Account(f"{plan.name}-{number}", plan, use * plan.rate, at)

    def _arrivals(self) -> None:
        rng, start = self._rng, START
        for seconds, load in self.shape.spans:
            for account in self.accounts:
                t = start
                while (t := t + rng.expovariate(max(1e-9, account.asks * load))) < start + seconds:
                    cls = CLASSES[rng.random() < POSTS]
                    self.at(t, lambda account=account, cls=cls: self._ask(account, cls))  # type: ignore[misc]
            start += seconds

    def _ask(self, account: Account, cls: api.RequestClass) -> None:
        ask = Ask(self.now, account, cls, self._asked_of.take(self.now, account, self.now + WORK[cls.name]))
        self.asks.append(ask)
        self._try(ask)

    def _try(self, ask: Ask) -> None:
        ask.tries += 1
        there = [(n, w) for n, w in ask.account.at if self.limiters[n].name not in self.fabric.dead]
        places = there or [(n, 1.0) for n in range(len(self.limiters))]
        limiter = self.limiters[self._rng.choices([n for n, _ in places], [w for _, w in places])[0]]
        left = min(TTL[ask.cls.name] * self._rng.uniform(0.6, 1.0), TTL[ask.cls.name] + ask.t - self.now)
        self._numbers += 1
        id, name = self._numbers, ask.account.name
        limiter.open[id] = ask
        self.at(self.now + left, lambda: self._leaves(limiter, id))
        limiter.feed(
            api.Request(
                id, ask.cls.name, ask.account.plan.name, left - 0.02, name, 1.0, len(ask.account.at),
                ask.tries > 1, effect=ask.cls.effect,
            )
        )  # fmt: skip

    def _leaves(self, limiter: Limiter, id: int) -> None:
        if limiter.open.pop(id, None) is not None:
            self._call_off(limiter, id)
            limiter.feed(api.ClientDisconnected(id))

    def _refused(self, limiter: Limiter, action: api.Refuse | api.Fail) -> None:
        ask = limiter.open.pop(action.id, None)
        if ask is None:
            return
        self._call_off(limiter, action.id)
        ask.first = ask.first or action.why or "failed"
        ask.lanes += action.why == "lane"
        wait = BACKOFF * self._rng.uniform(0.5, 1.5)
        if isinstance(action, api.Refuse) and self._rng.random() < HONOUR:
            wait = max(wait, min(MOST_WAIT, action.retry_after))
        again = self.now + wait
        if isinstance(action, api.Refuse) and ask.tries < TRIES and again < ask.t + TTL[ask.cls.name] - 0.3:
            self.at(again, lambda: self._try(ask))

    # What the node would do.

    def act(self, limiter: Limiter, action: api.Action) -> None:
        if isinstance(action, api.Send):
            self._send(limiter, action)
        elif isinstance(action, api.Refuse | api.Fail):
            self._refused(limiter, action)
        elif isinstance(action, api.SetTimer):
            token = action.token
            self.at(self.now + action.delay, lambda: limiter.feed(api.TimerFired(token)))
        elif isinstance(action, api.Count):
            self.at(self.now + 2 * WAY, lambda: self._counted(limiter, action))
        elif isinstance(action, api.Probe):
            server = action.server
            ended = api.Probed(server, api.Status.OK, 2 * WAY, {})
            self.at(self.now + 2 * WAY, lambda: limiter.feed(ended))

    def _counted(self, limiter: Limiter, action: api.Count) -> None:
        total = self.totals.add(self.now, action)
        limiter.feed(api.Counted(action.name, api.Status.OK, total))

    def _send(self, limiter: Limiter, action: api.Send) -> None:
        if (ask := limiter.open.get(action.id)) is None:
            return
        ask.first = ask.first or "sent"
        attempts = limiter.out.setdefault(action.id, [])
        variance = math.log(1 + SPREAD_OF_WORK**2)
        work = WORK[ask.cls.name] * self._rng.lognormvariate(-variance / 2, math.sqrt(variance))
        if not attempts:
            ask.within = self._sent_of.take(self.now, ask.account, self.now + WORK[ask.cls.name])
            ask.beyond += not ask.within
        self._numbers += 1
        server, job = self.servers[action.server], Job(self._numbers, work)
        one = Attempt(job, limiter, action.id, len(attempts), server, self.now)
        attempts.append(one)
        self.at(self.now + WAY, lambda: None if one.over else server.take(one))
        self.at(self.now + action.timeout, lambda: self.ended(one, api.Status.TIMEOUT))

    def ended(self, one: Attempt, status: api.Status) -> None:
        """An attempt's end, told to its limiter."""
        if one.over:
            return
        one.over = True
        limiter, answered = one.limiter, status in (api.Status.OK, api.Status.FULL)
        if not answered:
            one.server.drop(one)
        ask = limiter.open.get(one.id)
        if status is api.Status.OK and ask is not None:
            del limiter.open[one.id]
            ask.served = self.now - ask.t
        finished = one.id not in limiter.open
        if finished:
            limiter.out.pop(one.id, None)
        report, elapsed = one.server.report() if answered else {}, self.now - one.sent
        limiter.feed(api.Outcome(one.id, one.index, one.server.name, status, elapsed, finished, report))

    def _call_off(self, limiter: Limiter, id: int) -> None:
        """The request has ended: its attempts are of no more use."""
        for one in limiter.out.pop(id, []):
            if not one.over:
                one.over = True
                one.server.drop(one)

    def run(self) -> Day:
        entries = tuple(api.ServerEntry(name, api.Health.UP, "a", 0, 1.0, 0.0) for name in self.servers)
        for limiter in self.limiters:
            limiter.feed(api.ServerList(entries, True))
            if limiter.lanes is not None:
                self._periods(limiter, limiter.lanes, self._rng.random())
        self._arrivals()
        end = START + self.shape.seconds
        while self._heap and self._heap[0][0] <= end + 6:
            self.now, _, do = heappop(self._heap)
            do()
        return self

    def _periods(self, limiter: Limiter, lanes: Lanes, phase: float) -> None:
        def tick() -> None:
            if limiter.name not in self.fabric.dead:
                lanes.period(self.now)
                if lanes.course.in_force != (limiter.forced[-1][1] if limiter.forced else False):
                    limiter.forced.append((self.now, lanes.course.in_force))
                self.at(self.now + LANES.period, tick)

        self.at(self.now + phase * LANES.period, tick)


def no_lanes(limiter: Limiter, settings: api.Settings) -> DecisionModule:
    return limiter.gateway


def with_lanes(limiter: Limiter, settings: api.Settings) -> DecisionModule:
    day = limiter.day
    view = day.fabric.join(limiter.name)
    limiter.lanes = Lanes(LANES, view, limiter.gateway, settings, limiter.history, lambda: day.now)
    return limiter.lanes.deciding(limiter.gateway)


@dataclass(frozen=True, slots=True)
class Span:
    """What became of the requests of some seconds, by lane. ``offered`` and ``earned``: units inside quota asked, and
    answered in time; ``worth``: the share of all worth earned, as ``rehearsal.service`` reckons ``whole``."""

    seconds: float
    offered: dict[str, float]
    earned: dict[str, float]
    worth: float

    def share(self, lane: str) -> float:
        return self.earned[lane] / self.offered[lane] if self.offered[lane] else 1.0

    def rate(self, lane: str) -> float:
        """Units a second answered in time."""
        return self.earned[lane] / self.seconds


def span(day: Day, start: float, end: float) -> Span:
    """Requests asked from ``start`` to ``end``, in seconds of the day."""
    names = {plan: lane.name for lane in LANES.lanes for plan in lane.plans}
    offered, earned = dict.fromkeys(names.values(), 0.0), dict.fromkeys(names.values(), 0.0)
    asked = got = 0.0
    for ask in day.asks:
        if not start <= ask.t - START < end:
            continue
        plan, lane = ask.account.plan, names[ask.account.plan.name]
        worth, in_time = ask.cls.worth * plan.price, ask.served is not None and ask.served <= ask.cls.aim
        offered[lane] += ask.inside
        earned[lane] += in_time and ask.within
        asked += worth if ask.inside else worth * plan.over_worth
        got += worth * (1 if ask.within else plan.over_worth) if in_time else 0.0
        got -= plan.over_cost * worth * ask.beyond
    return Span(end - start, offered, earned, got / asked if asked else 1.0)
