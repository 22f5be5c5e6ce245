"""Test helpers: settings, events, and a driver that feeds a gateway legal events and checks the rules as invariants."""

from __future__ import annotations

from dataclasses import replace
from math import inf
from random import Random

from cypresspulley import interface as api
from cypresspulley.policy.gateway import Gateway

NEVER_RAN = {api.Status.FULL, api.Status.UNREACHABLE, api.Status.DROPPED, api.Status.NOT_SENT}
SAFE = api.RequestClass("read", 1.0, 1.0, api.Effect.SAFE)
KEYED = api.RequestClass("entry", 2.0, 3.0, api.Effect.KEYED, scope=api.Scope.CELL, window=4.0)
UNSAFE = api.RequestClass("post", 2.0, 5.0, api.Effect.UNSAFE, window=5.0)


def settings(**changes: object) -> api.Settings:
    base = api.Settings(
        index=0, gateways=3, zone="a", classes=(SAFE, KEYED, UNSAFE),
        plans=(api.Plan("free"), api.Plan("small", rate=2.0, burst=8.0, over_cost=0.5)),
        max_attempts=3, may_cancel=True, may_probe=True, has_counter=True, counter_timeout=0.05,
        max_units=4.0, max_retry_after=1.0,
        cold_share=0.2, warm_after=10.0, fall_multiple=2.0, fall_window=2.0,
    )  # fmt: skip
    return replace(base, **changes)  # type: ignore[arg-type]


def servers(*names: str, born: float = 0.0, health: api.Health = api.Health.UP) -> api.ServerList:
    entries = tuple(api.ServerEntry(n, health, "ab"[i % 2], i // 2, 1.0, born) for i, n in enumerate(names))
    return api.ServerList(entries, True)


def request(
    id: int, kind: str = "read", plan: str = "free", account: str = "x", ttl: float = 3.0, units: float = 1.0
) -> api.Request:
    return api.Request(id, kind, plan, ttl, account, units, 3)


def outcome(id: int, attempt: int, server: str, status: api.Status, elapsed: float = 0.1) -> api.Outcome:
    return api.Outcome(id, attempt, server, status, elapsed, status is api.Status.OK, {})


class SharedCounts(dict[int, float]):
    """The shared counter's totals by name. A name expires after the lifetime that its first call gave."""

    def __init__(self) -> None:
        super().__init__()
        self._until = dict[int, float]()

    def add(self, now: float, call: api.Count) -> float:
        """Add a call's amount at ``now``, in seconds of real time, and return the total."""
        if call.name not in self or self._until.get(call.name, inf) <= now:
            self[call.name], self._until[call.name] = 0.0, now + min(60.0, call.lifetime)
        self[call.name] += call.amount
        return self[call.name]


class World:
    """Feeds one gateway legal events and fails as soon as an action breaks a rule."""

    def __init__(self, config: api.Settings, seed: int = 1, now: float = 100.0) -> None:
        self.config, self.now = config, now
        self.gateway = Gateway(config, seed, now)
        self.up: dict[str, api.ServerEntry] = {}
        self.known: set[str] = set()
        self.requests: dict[int, tuple[api.Request, float]] = {}
        self.attempts: dict[int, list[tuple[str, float]]] = {}
        self.open_attempts: dict[tuple[int, int], tuple[str, float]] = {}
        self.first_runs: dict[int, tuple[str, float]] = {}
        self.answered: dict[int, str] = {}
        self.timers: list[tuple[float, int]] = []
        self.counts: list[api.Count] = []
        self.sends: list[tuple[float, str, api.Request]] = []
        self.totals = SharedCounts()

    def feed(self, event: api.Event) -> list[api.Action]:
        if isinstance(event, api.ServerList):
            listed = {e.name: e for e in event.entries}
            if event.complete:
                self.up = {}
            self.up.update(listed)
            self.known |= set(listed)
        if isinstance(event, api.Request):
            self.requests[event.id] = (event, self.now + event.ttl)
            self.attempts[event.id] = []
        if isinstance(event, api.Outcome):
            server, sent = self.open_attempts.pop((event.id, event.attempt))
            if event.status not in NEVER_RAN:
                self.first_runs.setdefault(event.id, (server, sent))
            if event.finished:
                self.answered[event.id] = "served"
        if isinstance(event, api.ClientDisconnected):
            self.answered.setdefault(event.id, "left")
        actions = self.gateway.handle(self.now, event)
        for action in actions:
            self._check(action)
        return actions

    def _class_of(self, asked: api.Request) -> api.RequestClass:
        unknown = api.RequestClass(asked.request_class, 1.0, 1.0, api.Effect.UNSAFE)
        return next((c for c in self.config.classes if c.name == asked.request_class), unknown)

    def _check(self, action: api.Action) -> None:
        if isinstance(action, api.SetTimer):
            self.timers.append((self.now + action.delay, action.token))
        elif isinstance(action, api.Count):
            self.counts.append(action)
        elif isinstance(action, api.Send):
            asked, deadline = self.requests[action.id]
            assert action.id not in self.answered, "sent after the final answer"
            assert 0 < action.timeout <= deadline - self.now + 1e-9
            assert self.up[action.server].health is api.Health.UP, "sent to a draining or gone server"
            attempts = self.attempts[action.id]
            assert len(attempts) < self.config.max_attempts
            assert not any(key[0] == action.id for key in self.open_attempts), "two attempts at once"
            kind = self._class_of(asked)
            if action.id in self.first_runs:
                assert kind.effect is not api.Effect.UNSAFE, "an unsafe request may have run"
                if kind.effect is api.Effect.KEYED:
                    server, sent = self.first_runs[action.id]
                    assert self.up[server].cell == self.up[action.server].cell, "left the group"
                    assert self.now - sent < kind.window, "past the window"
            self.open_attempts[(action.id, len(attempts))] = (action.server, self.now)
            attempts.append((action.server, self.now))
            self.sends.append((self.now, action.server, asked))
        elif isinstance(action, api.Refuse | api.Fail):
            assert action.id not in self.answered, "answered twice"
            asked, deadline = self.requests[action.id]
            kind = self._class_of(asked)
            if isinstance(action, api.Refuse) and action.id in self.first_runs:
                everywhere = kind.effect is api.Effect.KEYED and kind.scope is api.Scope.ALL
                assert kind.effect is api.Effect.SAFE or everywhere, "refused though it may have run"
            assert self.now <= deadline + 1e-6, "answered late"
            self.answered[action.id] = "refused" if isinstance(action, api.Refuse) else "failed"

    def advance(self, to: float) -> None:
        """Advance the clock; fire timers and time attempts out at their clients' deadlines."""
        while True:
            due = [(at, 0, token, 0) for at, token in self.timers if at <= to]
            due += [
                (self.requests[i][1], 1, i, n) for i, n in self.open_attempts if self.requests[i][1] <= to
            ]
            if not due:
                break
            at, kind, first, second = min(due)
            self.now = max(self.now, at)
            if kind == 0:
                self.timers.remove((at, first))
                self.feed(api.TimerFired(first))
            else:
                server = self.open_attempts[(first, second)][0]
                self.feed(outcome(first, second, server, api.Status.TIMEOUT))
        self.now = to

    def answer_counts(self, status: api.Status = api.Status.OK) -> None:
        while self.counts:
            call = self.counts.pop(0)
            total = self.totals.add(self.now, call) if status is api.Status.OK else 0.0
            self.feed(api.Counted(call.name, status, total))

    def serve(self, status: api.Status = api.Status.OK, elapsed: float = 0.1) -> None:
        for (id, attempt), (server, _) in list(self.open_attempts.items()):
            self.feed(outcome(id, attempt, server, status, elapsed))


def random_run(seed: int, steps: int, config: api.Settings | None = None) -> list[list[api.Action]]:
    """Run random but legal events and return all actions."""
    rng = Random(seed)
    world = World(config or settings(), seed)
    names = [f"s{i}" for i in range(6)]
    log = [world.feed(servers(*names))]
    statuses = [s for s in api.Status if s is not api.Status.OK]
    for step in range(steps):
        world.advance(world.now + rng.choice((0.0, 0.01, 0.1, 0.7)))
        move = rng.random()
        if move < 0.5:
            kind = rng.choice(("read", "entry", "post"))
            asked = request(
                step, kind, rng.choice(("free", "small", "odd")), rng.choice("abc"), rng.uniform(0.02, 4)
            )
            log.append(world.feed(asked))
        elif move < 0.8 and world.open_attempts:
            key = rng.choice(list(world.open_attempts))
            ended = world.answered.get(key[0])
            status = api.Status.OK if rng.random() < 0.5 else rng.choice(statuses)
            event = api.Outcome(
                *key,
                world.open_attempts[key][0],
                status,
                0.1,
                ended is not None or status is api.Status.OK,
                {},
            )
            log.append(world.feed(event))
        elif move < 0.9:
            world.answer_counts(
                rng.choice((api.Status.OK, api.Status.OK, api.Status.FULL, api.Status.TIMEOUT))
            )
        elif move < 0.95:
            health = rng.choice(list(api.Health))
            entry = api.ServerEntry(
                rng.choice(names), health, "a", rng.randrange(3), 1.0, rng.choice((0.0, world.now))
            )
            known = world.up.get(entry.name)
            if known is not None:
                entry = replace(entry, zone=known.zone, cell=known.cell)
            log.append(world.feed(api.ServerList((entry,), False)))
        elif world.requests:
            gone = rng.choice(list(world.requests))
            if gone not in world.answered and not any(key[0] == gone for key in world.open_attempts):
                log.append(world.feed(api.ClientDisconnected(gone)))
    world.answer_counts(api.Status.UNREACHABLE)
    world.advance(world.now + 10)
    assert set(world.requests) == set(world.answered), "a request was lost"
    return log
