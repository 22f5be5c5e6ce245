"""How requests end in the decisions: until when an attempt may be sent, and that no resource stays held."""

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


def single_send(actions: list[api.Action]) -> api.Send:
    (send,) = [a for a in actions if isinstance(a, api.Send)]
    return send


@pytest.mark.parametrize("kind", ["read", "entry", "post"])
def test_what_cannot_have_run_may_be_sent_at_any_time(kind: str) -> None:
    world = w.World(w.settings())
    world.feed(w.servers("s0", "s1", "s2", "s3"))
    first = single_send(world.feed(w.request(1, kind)))
    assert first.latest_start == math.inf
    world.advance(world.now + 0.5)
    assert (
        single_send(world.feed(w.outcome(1, 0, first.server, api.Status.UNREACHABLE))).latest_start
        == math.inf
    )


def test_a_repeat_of_a_keyed_request_leaves_inside_the_window_of_the_first_that_may_have_run() -> None:
    """Holds whenever the repeat is decided, and whichever attempts came before or after the first that may have run."""
    world = w.World(w.settings(max_attempts=4, classes=(replace(w.KEYED, window=WINDOW),)))
    world.feed(w.servers("s0", "s1", "s2", "s3"))
    send = single_send(world.feed(w.request(1, "entry", ttl=3.9)))
    world.advance(world.now + 0.3)
    send = single_send(world.feed(w.outcome(1, 0, send.server, api.Status.UNREACHABLE)))
    began = world.now
    for attempt, later in ((1, 0.2), (2, 0.4)):
        world.advance(world.now + later)
        send = single_send(world.feed(w.outcome(1, attempt, send.server, api.Status.BROKEN)))
        assert began + 0.5 * WINDOW < send.latest_start < began + WINDOW
    # An attempt whose latest instant has passed ends as not sent: no further attempt, and the request ends at once.
    world.now = send.latest_start
    actions = world.feed(w.outcome(1, 3, send.server, api.Status.NOT_SENT))
    assert [type(a) for a in actions if isinstance(a, api.Send | api.Fail | api.Refuse)] == [api.Fail]


def test_a_safe_repeat_has_no_window() -> None:
    world = w.World(w.settings())
    world.feed(w.servers("s0", "s1"))
    send = single_send(world.feed(w.request(1, "read")))
    assert single_send(world.feed(w.outcome(1, 0, send.server, api.Status.BROKEN))).latest_start == math.inf


# A client that leaves while its request waits for the counter: what the request took is returned.


def answer_count(world: w.World, call: api.Count, status: api.Status = api.Status.OK) -> list[api.Action]:
    world.counts.remove(call)
    total = world.totals.add(world.now, call) if status is api.Status.OK else 0.0
    return world.feed(api.Counted(call.name, status, total))


@pytest.mark.parametrize("status", [api.Status.OK, api.Status.TIMEOUT, api.Status.UNREACHABLE])
@pytest.mark.parametrize("leaves", ["before the answer", "behind it"])
def test_units_told_for_a_request_whose_client_left_waiting_for_a_place_are_taken_off_again(
    leaves: str, status: api.Status
) -> None:
    """The counter holds its units already, and the request waits for a slot of its account's limit on open requests."""
    plan = api.Plan("small", rate=5.0, burst=20.0, open_limit=4)
    world = w.World(w.settings(plans=(plan,)))
    world.feed(w.servers("s0", "s1"))
    quotas = world.gateway.quotas
    quotas.check_quota = lambda _now, r: Verdict(True, r.units)  # type: ignore[method-assign, assignment]
    world.feed(w.request(1, plan="small", units=3.0))
    (place,) = world.counts
    assert place.amount == 1.0 and not world.sends
    if leaves == "before the answer":
        world.feed(api.ClientDisconnected(1))
        answer_count(world, place, status)
    else:
        answer_count(world, place, status)
        assert len(world.sends) == 1, "it was sent on: its units are spent"
        world.feed(api.ClientDisconnected(1))
        del world.open_attempts[1, 0]
    account = quotas.accounts["small", "x"]
    back = [c.amount for c in world.counts if c.name == account.counter_name]
    assert back == ([-3.0] if leaves == "before the answer" else [])
    assert account.slots is not None and account.slots.open_attempts == 0
    held = sum(c.amount for c in world.counts if c.name == place.name) + account.slots.unreported
    assert held == (0.0 if status is api.Status.UNREACHABLE else -1.0), "the place is free again"
    assert account.open_attempts == 0 and not world.gateway._requests


def request_three_units(world: w.World, id: int) -> None:
    """Send a request of three units, of an account that thirty gateways serve."""
    world.feed(replace(w.request(id, plan="thin", units=3.0), gateways=30))


def test_what_a_window_granted_to_a_request_that_left_waiting_for_a_place_serves_the_next_one() -> None:
    """The window of the ceiling granted the request, and it waits for a slot of its account's limit."""
    plan = api.Plan("thin", 1.0, 100.0, 100.0, 4, ceiling_rate=4.0, ceiling_burst=12.0)
    world = w.World(w.settings(plans=(plan,), max_units=4.0, gateways=30))
    world.feed(w.servers("s0", "s1"))
    request_three_units(world, 1)
    grant = next(c for c in world.counts if c.amount == 3.0)
    answer_count(world, grant)
    place = next(c for c in world.counts if c.amount == 1.0)
    assert not world.sends
    world.feed(api.ClientDisconnected(1))
    answer_count(world, place)
    assert not world.gateway._requests
    request_three_units(world, 2)
    assert not [c for c in world.counts if c.name == grant.name], "the window holds its units already"
    world.answer_counts()
    assert len(world.sends) == 1
    world.advance(world.now + 0.5)  # calls to the counter may be made again
    request_three_units(world, 3)
    assert [c.amount for c in world.counts if c.name == grant.name] == [3.0], "once"


@pytest.mark.parametrize("status", [api.Status.OK, api.Status.TIMEOUT])
def test_what_a_window_grants_to_a_request_whose_client_has_left_serves_the_next_one(
    status: api.Status,
) -> None:
    plan = api.Plan("thin", ceiling_rate=4.0, ceiling_burst=12.0)
    world = w.World(w.settings(plans=(plan,), max_units=4.0, gateways=30))
    world.feed(w.servers("s0", "s1"))
    request_three_units(world, 1)
    grant = next(c for c in world.counts if c.amount == 3.0)
    world.feed(api.ClientDisconnected(1))
    answer_count(world, grant, status)
    assert not world.sends
    request_three_units(world, 2)
    # Units that may have been added without a confirmation stay used, so that a ceiling never grants them twice.
    asked = [] if status is api.Status.OK else [3.0]
    assert [c.amount for c in world.counts if c.name == grant.name] == asked
    assert len(world.sends) == (status is api.Status.OK)


# Every way in which a request ends, in random order: one final answer, nothing sent after it, nothing held.

PLANS = (
    api.Plan("free"),
    api.Plan("small", rate=4.0, burst=8.0, over_cost=0.5),
    api.Plan("slots", rate=50.0, burst=50.0, open_limit=4),
    api.Plan("thin", 1.0, 50.0, 50.0, 3, ceiling_rate=6.0, ceiling_burst=12.0),
    api.Plan("thick", 1.0, 50.0, 50.0, ceiling_rate=200.0, ceiling_burst=400.0),
)
CLASSES = (w.SAFE, replace(w.KEYED, window=1.0), w.UNSAFE)
NAMES = ("s0", "s1", "s2", "s3")


class NodeSimulation:
    """Simulates the events and actions between a node and its gateway, without sockets."""

    def __init__(self, config: api.Settings) -> None:
        self.config, self.now = config, 1000.0
        self.gateway = Gateway(config, 3, self.now)
        self.queued_events = deque[api.Event]()
        self.open_requests = dict[int, api.Request]()  # without a final answer
        self.deadlines, self.pending_bodies = dict[int, float](), set[int]()
        self.answers = dict[int, list[str]]()
        self.open_attempts = dict[tuple[int, int], tuple[api.Send, float]]()
        self.attempt_counts = dict[int, int]()
        self.calls = deque[tuple[api.Count, float]]()  # to the counter, and until when each may take
        self.totals = w.SharedCounts()
        self.timers = list[tuple[float, int]]()
        self.last_id = 0
        self.update_list(api.Health.UP, range(4))

    def feed(self, event: api.Event) -> None:
        self.queued_events.append(event)
        while self.queued_events:
            for action in self.gateway.handle(self.now, self.queued_events.popleft()):
                self.execute(action)

    def execute(self, action: api.Action) -> None:
        if isinstance(action, api.Send):
            assert action.id in self.open_requests, "sent after the final answer"
            number = self.attempt_counts.get(action.id, 0)
            self.attempt_counts[action.id] = number + 1
            until = min(self.now + action.timeout, self.deadlines[action.id])
            self.open_attempts[action.id, number] = (
                action,
                math.inf if action.id in self.pending_bodies else until,
            )
        elif isinstance(action, api.Refuse | api.Fail):
            self.end_request(action.id, type(action).__name__)
        elif isinstance(action, api.Count):
            self.calls.append((action, self.now + self.config.counter_timeout))
        elif isinstance(action, api.SetTimer):
            self.timers.append((self.now + action.delay, action.token))

    def end_request(self, id: int, how: str) -> None:
        """End a request as the node does: its open attempts are cancelled, and their ends are reported."""
        assert id in self.open_requests, f"answered twice: {self.answers[id]}, {how}"
        del self.open_requests[id]
        self.pending_bodies.discard(id)
        self.answers[id].append(how)
        for key in [key for key in self.open_attempts if key[0] == id]:
            self.end_attempt(key, api.Status.CANCELLED)

    def end_attempt(self, key: tuple[int, int], status: api.Status, units: float | None = None) -> None:
        send, _ = self.open_attempts.pop(key)
        if status is api.Status.OK and key[0] in self.open_requests:
            self.end_request(key[0], "served")
        finished = key[0] not in self.open_requests
        self.feed_later(
            api.Outcome(*key, send.server, status, 0.05, finished, {"inflight": 1.0}, None, units)
        )

    def feed_later(self, event: api.Event) -> None:
        self.queued_events.append(event)

    def settle(self) -> None:
        while self.queued_events:
            self.feed(self.queued_events.popleft())

    def update_list(
        self, health: api.Health, which: Iterable[int], whole: bool = False, born: float = 0.0
    ) -> None:
        entries = (api.ServerEntry(NAMES[n], health, "ab"[n % 2], n // 2, 1.0, born) for n in which)
        self.feed(api.ServerList(tuple(entries), whole))

    def advance(self, seconds: float) -> None:
        """Advance the clock: timers fire, attempts time out, and requests without a decision are abandoned."""
        end = self.now + seconds
        while True:
            due = [(at, 0, token, 0) for at, token in self.timers]
            due += [(until, 1, *key) for key, (_, until) in self.open_attempts.items()]
            due += [
                (self.deadlines[id] + 0.01, 2, id, 0)
                for id in self.open_requests
                if id not in self.pending_bodies
            ]
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
                self.end_attempt((first, second), api.Status.TIMEOUT)
            elif kind == 3:
                self.counter_answers(0, 7)
            else:
                self.end_request(first, "abandoned")
                self.feed_later(api.ClientDisconnected(first))
            self.settle()
        self.now = end

    # Moves of the random test.

    def arrive(self, a: int, b: int) -> None:
        self.last_id += 1
        ttl = (0.02, 0.2, 1.0, 3.0)[a % 4]
        event = api.Request(
            self.last_id, ("read", "entry", "post", "odd")[b % 4], (*PLANS, api.Plan("odd"))[a % 6].name, ttl,
            "xy"[b % 2], (1.0, 3.0)[a % 2], (3, 40)[b // 4 % 2], body_pending=b % 5 == 0, bound=4.0 * (b % 7 == 0),
        )  # fmt: skip
        self.open_requests[event.id], self.answers[event.id] = event, []
        self.deadlines[event.id] = self.now + ttl
        if event.body_pending:
            self.pending_bodies.add(event.id)
        self.feed(event)

    def body(self, a: int, b: int) -> None:
        if self.pending_bodies:
            id = sorted(self.pending_bodies)[a % len(self.pending_bodies)]
            whole = b % 3 > 0
            if whole:
                self.pending_bodies.discard(id)
                self.deadlines[id] = self.now + self.open_requests[id].ttl
                for key, (send, _) in self.open_attempts.items():
                    if key[0] == id:
                        self.open_attempts[key] = send, min(self.now + send.timeout, self.deadlines[id])
            self.feed(api.BodyProgress(id, whole, b % 2 == 0))

    def began(self, a: int, _b: int) -> None:
        keys = [
            key
            for key in self.open_attempts
            if key[0] in self.open_requests and key[0] not in self.pending_bodies
        ]
        if keys:
            key = keys[a % len(keys)]
            send, _ = self.open_attempts[key]
            self.open_attempts[key] = send, math.inf
            self.deadlines[key[0]] = math.inf
            self.feed(api.ResponseStarted(*key, send.server, 0.02, {}))

    def attempt_ends(self, a: int, b: int) -> None:
        if self.open_attempts:
            statuses = (*[api.Status.OK] * 6, *api.Status)
            self.end_attempt(
                list(self.open_attempts)[a % len(self.open_attempts)],
                statuses[b % len(statuses)],
                (None, 2.0)[b % 2],
            )

    def client_leaves(self, a: int, _b: int) -> None:
        if self.open_requests:
            id = list(self.open_requests)[a % len(self.open_requests)]
            self.end_request(id, "left")
            self.feed_later(api.ClientDisconnected(id))

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
        self.update_list(health, [n for n in range(4) if b >> n & 1], b % 5 == 0, self.now * (b % 2))

    def operators(self, a: int, b: int) -> None:
        self.feed(api.Suspend(NAMES[a % 4], b % 2 == 0))

    def retune(self, a: int, b: int) -> None:
        effects = list(api.Effect)
        classes = tuple(replace(c, effect=effects[(a + n) % 3]) for n, c in enumerate(CLASSES))
        plans = tuple(replace(p, open_limit=(0, 2, p.open_limit)[b % 3]) for p in PLANS[: 3 + a % 3])
        self.feed(
            api.SettingsChanged(replace(self.config, classes=classes, plans=plans, max_attempts=1 + b % 3))
        )

    def time_passes(self, a: int, _b: int) -> None:
        self.advance((0.0, 0.01, 0.1, 0.4, 1.1)[a % 5])

    def finish(self) -> None:
        """Complete all bodies, let all deadlines pass and answer all counter calls."""
        while self.pending_bodies:
            self.body(0, 2)
            self.settle()
        for key, (send, until) in list(self.open_attempts.items()):
            if until == math.inf:
                self.open_attempts[key] = send, self.now + 1.0
        for id in self.open_requests:
            self.deadlines[id] = min(self.deadlines[id], self.now + 5.0)
        for _ in range(12):
            self.advance(0.5)
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
    simulation = NodeSimulation(
        w.settings(plans=PLANS, classes=CLASSES, has_counter=counter, max_attempts=attempts)
    )
    for name, a, b in moves:
        getattr(simulation, name)(a, b)
        simulation.settle()
    simulation.finish()
    assert not simulation.open_requests and not simulation.open_attempts
    assert all(len(said) == 1 for said in simulation.answers.values())
    assert "abandoned" not in {said[0] for said in simulation.answers.values()}, "a request had no decision"
    gateway = simulation.gateway
    assert not gateway._requests
    for account in gateway.quotas.accounts.values():
        assert account.open_attempts == 0, account.counter_name
        assert account.slots is None or account.slots.open_attempts == 0, account.counter_name
    for server in gateway.load_balancer.servers.values():
        assert server.outstanding_work == 0.0 and server.silent_since is None, server.entry.name


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
    world.feed(api.SettingsChanged(replace(config, plans=(replace(plan, open_limit=0),))))
    answer_count(world, place, status)
    assert len(world.sends) == 1
    world.serve()
    assert world.answered == {1: "served"} and not world.gateway._requests


# New settings: no limit and no grant of the old plan remains.


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
    assert ask(100) > 30, "5 s of the old plan"
    world.feed(api.SettingsChanged(replace(config, plans=(new,))))
    ask(200)  # uses up what the stores held
    assert ask(300) <= new.ceiling_burst + 5 * new.ceiling_rate + 1, "5 s of the new plan"
    world.feed(api.SettingsChanged(config))
    ask(400)
    assert ask(500) > 30, "5 s of the old plan again"
