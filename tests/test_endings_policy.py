"""How requests end in the decisions: what a send may still carry, and that nothing stays owed."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable
from dataclasses import replace

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from cypresspulley import interface as api
from cypresspulley.policy.gateway import Gateway
from cypresspulley.policy.quota import Verdict
from tests import world as w

WINDOW = 2.0


def sent(actions: list[api.Action]) -> api.Send:
    (send,) = [a for a in actions if isinstance(a, api.Send)]
    return send


@pytest.mark.parametrize("kind", ["read", "entry", "post"])
def test_what_cannot_have_run_may_be_sent_at_any_time(kind: str) -> None:
    world = w.World(w.settings())
    world.feed(w.servers("s0", "s1", "s2", "s3"))
    first = sent(world.feed(w.request(1, kind)))
    assert first.latest == math.inf
    world.advance(world.now + 0.5)
    assert sent(world.feed(w.outcome(1, 0, first.server, api.Status.UNREACHABLE))).latest == math.inf


def test_a_repeat_of_a_keyed_request_leaves_inside_the_window_of_the_first_that_may_have_run() -> None:
    """Whenever the repeat is decided, and whatever came before that attempt or after it."""
    world = w.World(w.settings(max_attempts=4, classes=(replace(w.KEYED, window=WINDOW),)))
    world.feed(w.servers("s0", "s1", "s2", "s3"))
    send = sent(world.feed(w.request(1, "entry", ttl=3.9)))
    world.advance(world.now + 0.3)
    send = sent(world.feed(w.outcome(1, 0, send.server, api.Status.UNREACHABLE)))
    began = world.now
    for attempt, later in ((1, 0.2), (2, 0.4)):
        world.advance(world.now + later)
        send = sent(world.feed(w.outcome(1, attempt, send.server, api.Status.BROKEN)))
        assert began + 0.5 * WINDOW < send.latest < began + WINDOW
    # It comes back unsent when its latest instant has passed: no further attempt, and an answer at once.
    world.now = send.latest
    actions = world.feed(w.outcome(1, 3, send.server, api.Status.NOT_SENT))
    assert [type(a) for a in actions if isinstance(a, api.Send | api.Fail | api.Refuse)] == [api.Fail]


def test_a_safe_repeat_has_no_window() -> None:
    world = w.World(w.settings())
    world.feed(w.servers("s0", "s1"))
    send = sent(world.feed(w.request(1, "read")))
    assert sent(world.feed(w.outcome(1, 0, send.server, api.Status.BROKEN))).latest == math.inf


# A client that leaves while its request waits for the counter: what was taken for it is given back.


def answer(world: w.World, call: api.Count, status: api.Status = api.Status.OK) -> list[api.Action]:
    world.counts.remove(call)
    total = world.totals.add(world.now, call) if status is api.Status.OK else 0.0
    return world.feed(api.Counted(call.name, status, total))


@pytest.mark.parametrize("status", [api.Status.OK, api.Status.TIMEOUT, api.Status.UNREACHABLE])
@pytest.mark.parametrize("leaves", ["before the answer", "behind it"])
def test_units_told_for_a_request_whose_client_left_waiting_for_a_place_are_taken_off_again(
    leaves: str, status: api.Status
) -> None:
    """The counter holds its units already; then it asks for a place among what its customer has out."""
    plan = api.Plan("small", rate=5.0, burst=20.0, open_limit=4)
    world = w.World(w.settings(plans=(plan,)))
    world.feed(w.servers("s0", "s1"))
    quotas = world.gateway.quotas
    quotas.check_quota = lambda _now, r: Verdict(True, r.units)  # type: ignore[method-assign, assignment]
    world.feed(w.request(1, plan="small", units=3.0))
    (place,) = world.counts
    assert place.amount == 1.0 and not world.sends
    if leaves == "before the answer":
        world.feed(api.Departed(1))
        answer(world, place, status)
    else:
        answer(world, place, status)
        assert len(world.sends) == 1, "it was sent on: its units are spent"
        world.feed(api.Departed(1))
        del world.out[1, 0]
    account = quotas.accounts["small", "x"]
    back = [c.amount for c in world.counts if c.name == account.counter_name]
    assert back == ([-3.0] if leaves == "before the answer" else [])
    assert account.slots is not None and account.slots.open_attempts == 0
    held = sum(c.amount for c in world.counts if c.name == place.name) + account.slots.unreported
    assert held == (0.0 if status is api.Status.UNREACHABLE else -1.0), "the place is free again"
    assert account.open_attempts == 0 and not world.gateway._requests


def asked_for_three(world: w.World, id: int) -> None:
    """A request of three units, of an account that thirty gateways serve."""
    world.feed(replace(w.request(id, plan="thin", units=3.0), gateways=30))


def test_what_a_window_granted_to_a_request_that_left_waiting_for_a_place_serves_the_next_one() -> None:
    """A ceiling kept by its window granted the request; then it asks for a place."""
    plan = api.Plan("thin", 1.0, 100.0, 100.0, 4, ceiling_rate=4.0, ceiling_burst=12.0)
    world = w.World(w.settings(plans=(plan,), max_units=4.0, gateways=30))
    world.feed(w.servers("s0", "s1"))
    asked_for_three(world, 1)
    grant = next(c for c in world.counts if c.amount == 3.0)
    answer(world, grant)
    place = next(c for c in world.counts if c.amount == 1.0)
    assert not world.sends
    world.feed(api.Departed(1))
    answer(world, place)
    assert not world.gateway._requests
    asked_for_three(world, 2)
    assert not [c for c in world.counts if c.name == grant.name], "the window holds its units already"
    world.answer_counts()
    assert len(world.sends) == 1
    world.advance(world.now + 0.5)  # calls are left again
    asked_for_three(world, 3)
    assert [c.amount for c in world.counts if c.name == grant.name] == [3.0], "once"


@pytest.mark.parametrize("status", [api.Status.OK, api.Status.TIMEOUT])
def test_what_a_window_grants_to_a_request_whose_client_has_left_serves_the_next_one(
    status: api.Status,
) -> None:
    plan = api.Plan("thin", ceiling_rate=4.0, ceiling_burst=12.0)
    world = w.World(w.settings(plans=(plan,), max_units=4.0, gateways=30))
    world.feed(w.servers("s0", "s1"))
    asked_for_three(world, 1)
    grant = next(c for c in world.counts if c.amount == 3.0)
    world.feed(api.Departed(1))
    answer(world, grant, status)
    assert not world.sends
    asked_for_three(world, 2)
    # What may have been added and was not confirmed stays taken: a ceiling never gives twice.
    asked = [] if status is api.Status.OK else [3.0]
    assert [c.amount for c in world.counts if c.name == grant.name] == asked
    assert len(world.sends) == (status is api.Status.OK)


# Every way a request leaves the table, in random order: one final answer, nothing sent behind it, nothing owed.

PLANS = (
    api.Plan("free"),
    api.Plan("small", rate=4.0, burst=8.0, over_cost=0.5),
    api.Plan("slots", rate=50.0, burst=50.0, open_limit=4),
    api.Plan("thin", 1.0, 50.0, 50.0, 3, ceiling_rate=6.0, ceiling_burst=12.0),
    api.Plan("thick", 1.0, 50.0, 50.0, ceiling_rate=200.0, ceiling_burst=400.0),
)
CLASSES = (w.SAFE, replace(w.KEYED, window=1.0), w.UNSAFE)
NAMES = ("s0", "s1", "s2", "s3")


class Days:
    """What a node tells the decisions, and what it does for them, without its sockets."""

    def __init__(self, config: api.Settings) -> None:
        self.config, self.now = config, 1000.0
        self.gateway = Gateway(config, 3, self.now)
        self.waiting = deque[api.Event]()
        self.open = dict[int, api.Request]()  # no final answer yet
        self.deadlines, self.coming = dict[int, float](), set[int]()
        self.answers = dict[int, list[str]]()
        self.out = dict[tuple[int, int], tuple[api.Send, float]]()
        self.tries = dict[int, int]()
        self.calls = deque[tuple[api.Count, float]]()  # to the counter, and until when each may take
        self.totals = w.SharedCounts()
        self.timers = list[tuple[float, int]]()
        self.next = 0
        self.list(api.Health.UP, range(4))

    def feed(self, event: api.Event) -> None:
        self.waiting.append(event)
        while self.waiting:
            for action in self.gateway.handle(self.now, self.waiting.popleft()):
                self.do(action)

    def do(self, action: api.Action) -> None:
        if isinstance(action, api.Send):
            assert action.id in self.open, "sent behind its final answer"
            number = self.tries.get(action.id, 0)
            self.tries[action.id] = number + 1
            until = min(self.now + action.timeout, self.deadlines[action.id])
            self.out[action.id, number] = (action, math.inf if action.id in self.coming else until)
        elif isinstance(action, api.Refuse | api.Fail):
            self.final(action.id, type(action).__name__)
        elif isinstance(action, api.Count):
            self.calls.append((action, self.now + self.config.counter_timeout))
        elif isinstance(action, api.SetTimer):
            self.timers.append((self.now + action.delay, action.token))

    def final(self, id: int, how: str) -> None:
        """Off the node's table; attempts that are out are cancelled, and told as ended."""
        assert id in self.open, f"answered twice: {self.answers[id]}, {how}"
        del self.open[id]
        self.coming.discard(id)
        self.answers[id].append(how)
        for key in [key for key in self.out if key[0] == id]:
            self.ended(key, api.Status.CANCELLED)

    def ended(self, key: tuple[int, int], status: api.Status, units: float | None = None) -> None:
        send, _ = self.out.pop(key)
        if status is api.Status.OK and key[0] in self.open:
            self.final(key[0], "served")
        finished = key[0] not in self.open
        self.feed_later(
            api.Outcome(*key, send.server, status, 0.05, finished, {"inflight": 1.0}, None, units)
        )

    def feed_later(self, event: api.Event) -> None:
        self.waiting.append(event)

    def settle(self) -> None:
        while self.waiting:
            self.feed(self.waiting.popleft())

    def list(self, health: api.Health, which: Iterable[int], whole: bool = False, born: float = 0.0) -> None:
        entries = (api.ServerEntry(NAMES[n], health, "ab"[n % 2], n // 2, 1.0, born) for n in which)
        self.feed(api.ServerList(tuple(entries), whole))

    def move(self, seconds: float) -> None:
        """Time passes: timers fire, attempts run out, silent decisions are answered for."""
        end = self.now + seconds
        while True:
            due = [(at, 0, token, 0) for at, token in self.timers]
            due += [(until, 1, *key) for key, (_, until) in self.out.items()]
            due += [(self.deadlines[id] + 0.01, 2, id, 0) for id in self.open if id not in self.coming]
            due += [(until, 3, 0, 0) for _, until in list(self.calls)[:1]]
            due = [each for each in due if each[0] <= end]
            if not due:
                break
            at, kind, first, second = min(due)
            self.now = max(self.now, at)
            if kind == 0:
                self.timers.remove((at, first))
                self.feed(api.TimerFired(first))
            elif kind == 1:
                self.ended((first, second), api.Status.TIMEOUT)
            elif kind == 3:
                self.counter_answers(0, 7)
            else:
                self.final(first, "abandoned")
                self.feed_later(api.Departed(first))
            self.settle()
        self.now = end

    # What may happen.

    def arrive(self, a: int, b: int) -> None:
        self.next += 1
        ttl = (0.02, 0.2, 1.0, 3.0)[a % 4]
        event = api.Request(
            self.next, ("read", "entry", "post", "odd")[b % 4], (*PLANS, api.Plan("odd"))[a % 6].name, ttl, "xy"[b % 2],
            (1.0, 3.0)[a % 2], (3, 40)[b // 4 % 2], coming=b % 5 == 0, bound=4.0 * (b % 7 == 0),
        )  # fmt: skip
        self.open[event.id], self.answers[event.id] = event, []
        self.deadlines[event.id] = self.now + ttl
        if event.coming:
            self.coming.add(event.id)
        self.feed(event)

    def body(self, a: int, b: int) -> None:
        if self.coming:
            id = sorted(self.coming)[a % len(self.coming)]
            whole = b % 3 > 0
            if whole:
                self.coming.discard(id)
                self.deadlines[id] = self.now + self.open[id].ttl
                for key, (send, _) in self.out.items():
                    if key[0] == id:
                        self.out[key] = send, min(self.now + send.timeout, self.deadlines[id])
            self.feed(api.Body(id, whole, b % 2 == 0))

    def began(self, a: int, _b: int) -> None:
        keys = [key for key in self.out if key[0] in self.open and key[0] not in self.coming]
        if keys:
            key = keys[a % len(keys)]
            send, _ = self.out[key]
            self.out[key] = send, math.inf
            self.deadlines[key[0]] = math.inf
            self.feed(api.Began(*key, send.server, 0.02, {}))

    def attempt_ends(self, a: int, b: int) -> None:
        if self.out:
            statuses = (*[api.Status.OK] * 6, *api.Status)
            self.ended(list(self.out)[a % len(self.out)], statuses[b % len(statuses)], (None, 2.0)[b % 2])

    def client_leaves(self, a: int, _b: int) -> None:
        if self.open:
            id = list(self.open)[a % len(self.open)]
            self.final(id, "left")
            self.feed_later(api.Departed(id))

    def counter_answers(self, a: int, b: int) -> None:
        for _ in range(min(len(self.calls), 1 + a % 4)):
            call, _ = self.calls.popleft()
            status = (*[api.Status.OK] * 5, api.Status.FULL, api.Status.UNREACHABLE, api.Status.TIMEOUT)[
                b % 8
            ]
            if status in (api.Status.OK, api.Status.TIMEOUT):
                self.totals.add(self.now, call)
            self.feed(api.Counted(call.name, status, self.totals.get(call.name, 0.0)))

    def list_changes(self, a: int, b: int) -> None:
        health = tuple(api.Health)[a % 3]
        self.list(health, [n for n in range(4) if b >> n & 1], b % 5 == 0, self.now * (b % 2))

    def operators(self, a: int, b: int) -> None:
        self.feed(api.Suspend(NAMES[a % 4], b % 2 == 0))

    def retune(self, a: int, b: int) -> None:
        effects = list(api.Effect)
        classes = tuple(replace(c, effect=effects[(a + n) % 3]) for n, c in enumerate(CLASSES))
        plans = tuple(replace(p, open_limit=(0, 2, p.open_limit)[b % 3]) for p in PLANS[: 3 + a % 3])
        self.feed(api.Retune(replace(self.config, classes=classes, plans=plans, max_attempts=1 + b % 3)))

    def time_passes(self, a: int, _b: int) -> None:
        self.move((0.0, 0.01, 0.1, 0.4, 1.1)[a % 5])

    def finish(self) -> None:
        """All bodies come, all time runs out, all calls are answered."""
        while self.coming:
            self.body(0, 2)
            self.settle()
        for key, (send, until) in list(self.out.items()):
            if until == math.inf:
                self.out[key] = send, self.now + 1.0
        for id in self.open:
            self.deadlines[id] = min(self.deadlines[id], self.now + 5.0)
        for _ in range(12):
            self.move(0.5)
            self.counter_answers(3, 0)


MOVES = (
    *["arrive"] * 5, "body", "body", "began", *["attempt_ends"] * 4, *["client_leaves"] * 2, *["counter_answers"] * 4,
    "list_changes", "operators", "retune", *["time_passes"] * 3,
)  # fmt: skip
steps = st.lists(
    st.tuples(st.sampled_from(MOVES), st.integers(0, 419), st.integers(0, 419)), min_size=40, max_size=120
)


@settings(max_examples=250, suppress_health_check=list(HealthCheck))
@given(steps, st.booleans(), st.integers(1, 3))
def test_in_any_order_of_events_there_is_one_final_answer_and_nothing_is_owed(
    moves: list[tuple[str, int, int]], counter: bool, attempts: int
) -> None:
    days = Days(w.settings(plans=PLANS, classes=CLASSES, has_counter=counter, max_attempts=attempts))
    for name, a, b in moves:
        getattr(days, name)(a, b)
        days.settle()
    days.finish()
    assert not days.open and not days.out
    assert all(len(said) == 1 for said in days.answers.values())
    assert "abandoned" not in {said[0] for said in days.answers.values()}, "the decisions were silent"
    gateway = days.gateway
    assert not gateway._requests
    for account in gateway.quotas.accounts.values():
        assert account.open_attempts == 0, account.counter_name
        assert account.slots is None or account.slots.open_attempts == 0, account.counter_name
    for server in gateway.fleet.servers.values():
        assert server.open == 0.0 and server.quiet is None, server.entry.name


@pytest.mark.parametrize("status", [api.Status.OK, api.Status.TIMEOUT])
def test_a_limit_that_new_settings_take_away_holds_up_nobody_who_asked_for_a_place(
    status: api.Status,
) -> None:
    plan = api.Plan("small", rate=50.0, burst=50.0, open_limit=4)
    config = w.settings(plans=(plan,))
    world = w.World(config)
    world.feed(w.servers("s0", "s1"))
    world.feed(w.request(1, plan="small"))
    place = next(c for c in world.counts if c.amount == 1.0)
    world.totals[place.name] = 9.0
    world.feed(api.Retune(replace(config, plans=(replace(plan, open_limit=0),))))
    answer(world, place, status)
    assert len(world.sends) == 1
    world.serve()
    assert world.answered == {1: "served"} and not world.gateway._requests


# New settings: nothing of the old plan bounds or grants what the new one should.


@pytest.mark.parametrize("gateways", [3, 40], ids=["even share", "windows"])
def test_a_ceiling_that_new_settings_lower_holds_from_then_on(gateways: int) -> None:
    old = api.Plan("thin", 1.0, 500.0, 500.0, ceiling_rate=40.0, ceiling_burst=120.0)
    new = replace(old, ceiling_rate=4.0, ceiling_burst=12.0)
    config = w.settings(plans=(old,), max_units=2.0, gateways=gateways)
    world = w.World(config)
    world.feed(w.servers("s0", "s1"))

    def ask(first: int) -> int:
        before = len(world.sends)
        for id in range(first, first + 100):
            world.advance(world.now + 0.05)
            world.feed(replace(w.request(id, plan="thin"), gateways=gateways))
            for _ in range(4):
                world.answer_counts()
            world.serve(elapsed=0.01)
        return len(world.sends) - before

    ask(0)
    assert ask(100) > 30, "5 s of the old one"
    world.feed(api.Retune(replace(config, plans=(new,))))
    ask(200)  # what stood in the stores is used up
    assert ask(300) <= new.ceiling_burst + 5 * new.ceiling_rate + 1, "5 s of the new one"
    world.feed(api.Retune(config))
    ask(400)
    assert ask(500) > 30, "and of the old one again"
