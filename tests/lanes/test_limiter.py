"""Load shedding by several limiters whose decision modules have a fixed capacity: the difficult cases."""

from __future__ import annotations

import asyncio
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from itertools import pairwise

import pytest

from cypresspulley import interface as api
from cypresspulley.fleet.records import Member, MemberState, Row
from cypresspulley.histories.events import FACTS, Kind
from cypresspulley.lanes.limiter import VIEW_LOST_SECONDS, LoadShedder, inversion_bound
from cypresspulley.lanes.options import Lane, LanesOptions
from cypresspulley.lanes.peer_rows import PeerRows
from cypresspulley.lanes.rows import LaneRates, LanesRow, encode
from cypresspulley.lanes.shedding_policy import initial_policy
from cypresspulley.policy.gateway import Gateway
from tests.lanes.day import History
from tests.lanes.fabric import FakeFleet
from tests.world import settings

PLANS = (
    api.Plan("chain", rate=1000.0, burst=1000.0), api.Plan("standard", rate=1000.0, burst=1000.0),
    api.Plan("guest", rate=1000.0, burst=1000.0), api.Plan("small", rate=1.0, burst=4.0),
)  # fmt: skip
SETTINGS = settings(plans=PLANS, max_retry_after=2.0)
OPTIONS = LanesOptions(
    (
        Lane("premium", ("chain", "small"), 0.5),
        Lane("standard", ("standard",), 0.1),
        Lane("guest", ("guest",), 0.05),
    ),
    rotation_seconds=8.0,
)
NAMES = ("a", "b", "c", "d")
STEP = 0.1  # seconds between two batches of requests


class Servers:
    """The decision module of one limiter: sends on ``capacity`` units a second, refuses the rest for lack of room."""

    def __init__(self, capacity: float) -> None:
        self.capacity, self._available, self._at = capacity, 0.0, 0.0
        self.seen = list[api.Event]()

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        self.seen.append(event)
        if not isinstance(event, api.Request):
            return []
        self._available = min(self.capacity / 5, self._available + self.capacity * min(1.0, now - self._at))
        self._at = now
        if self._available < event.units:
            return [api.Refuse(event.id, 0.1, "no server")]
        self._available -= event.units
        return [api.Send(event.id, "s1", 1.0)]


@dataclass
class LimiterGroup:
    """Limiters with a capacity of 20 units a second each, and the requests of the plans at each of them."""

    demand: dict[str, dict[str, float]]  # units a second by limiter and plan
    now: float = 1000.0
    request_count: int = 0
    step_count: int = 0
    shed: Counter[str] = field(default_factory=Counter[str])
    admitted: Counter[str] = field(default_factory=Counter[str])
    pending: dict[tuple[str, str], float] = field(
        default_factory=lambda: defaultdict[tuple[str, str], float](float)
    )

    def __post_init__(self) -> None:
        self.fleet = FakeFleet(lambda: self.now, max_delay=0.4)
        self.load_shedders, self.servers, self.histories = (
            dict[str, LoadShedder](),
            dict[str, Servers](),
            dict[str, History](),
        )
        for name in self.demand:
            self.join(name)

    def join(self, name: str, life: int = 1) -> None:
        self.servers[name], self.histories[name] = Servers(20.0), History(lambda: self.now)
        view, gateway = self.fleet.join(name, life), Gateway(SETTINGS, 1, self.now)
        self.load_shedders[name] = LoadShedder(
            OPTIONS, view, gateway, SETTINGS, self.histories[name], lambda: self.now
        )
        self.load_shedders[name].wrap(self.servers[name])

    def send_request(self, name: str, plan: str, account: str, repeat: bool = False) -> api.Action:
        self.request_count += 1
        event = api.Request(self.request_count, "read", plan, 3.0, account, 1.0, 4, repeat)
        action = next(iter(self.load_shedders[name].module.handle(self.now, event)))
        shed = isinstance(action, api.Refuse) and action.why == "lane"
        (self.shed if shed else self.admitted)[plan] += 1
        return action

    def run(self, seconds: float) -> LimiterGroup:
        """Reset the counts of admitted and shed requests, and let the accounts of each plan send requests in turn."""
        self.shed.clear()
        self.admitted.clear()
        for _ in range(round(seconds / STEP)):
            self.now, self.step_count = self.now + STEP, self.step_count + 1
            for name in [name for name in self.demand if name not in self.fleet.dead]:
                for plan, rate in self.demand[name].items():
                    self.pending[name, plan] += rate * STEP
                    while self.pending[name, plan] >= 1:
                        self.pending[name, plan] -= 1
                        self.send_request(name, plan, f"{plan}-{self.request_count % 97}")
                if self.step_count % 5 == list(self.demand).index(name) % 5:
                    self.load_shedders[name].run_period(self.now)
        return self

    def states(self) -> set[str]:
        return {
            self.load_shedders[n].state_machine.state.name.lower()
            for n in self.demand
            if n not in self.fleet.dead
        }

    def policies(self) -> set[tuple[int, ...]]:
        return {
            (*shedder.active.policy.key, *shedder.active.policy.within_quota)
            for shedder in self.load_shedders.values()
        }


def _overloaded(premium: float = 10.0, standard: float = 10.0, guest: float = 20.0) -> LimiterGroup:
    """Return limiters after 6 calm seconds and 20 seconds at twice the capacity."""
    group = LimiterGroup({name: {"chain": 2.0, "standard": 2.0, "guest": 2.0} for name in NAMES}).run(6)
    assert group.states() == {"calm"}
    assert not group.shed
    for demand in group.demand.values():
        demand.update({"chain": premium, "standard": standard, "guest": guest})
    group.run(20)
    assert group.states() == {"shedding"}
    return group


def test_cheaper_lanes_give_way_in_order_down_to_their_floors() -> None:
    group = _overloaded(standard=15.0).run(40)
    assert group.shed["chain"] == 0
    assert group.shed["guest"] > group.shed["standard"] > 0
    for plan, floor in (("standard", 0.1 * 80), ("guest", 0.05 * 80)):
        assert group.admitted[plan] / 40 >= 0.75 * floor  # of 97 accounts


def test_lanes_are_in_force_everywhere_within_the_stated_time() -> None:
    group = LimiterGroup({name: {"chain": 2.0} for name in NAMES}).run(8)
    for demand in group.demand.values():
        demand.update({"chain": 10.0, "standard": 10.0, "guest": 20.0})
    in_force_since = {name: 0.0 for name in NAMES}
    for _ in range(80):
        group.run(0.1)
        for name, shedder in group.load_shedders.items():
            in_force_since[name] = in_force_since[name] or group.now * shedder.active.in_force
    assert min(in_force_since.values()) > 1008.0
    assert max(in_force_since.values()) - 1008.0 <= 6.0
    assert max(in_force_since.values()) - min(in_force_since.values()) <= inversion_bound(OPTIONS, 0.4) + STEP
    # The same accounts are shed everywhere.
    assert {shedder.active.policy.rotation for shedder in group.load_shedders.values()} == {1}


def test_one_limiter_alone_never_sheds() -> None:
    group = LimiterGroup({name: {"chain": 3.0, "standard": 3.0, "guest": 3.0} for name in NAMES}).run(6)
    group.servers["b"].capacity = 1.0  # only its own path to the servers is cut
    group.run(20)
    assert group.states() == {"calm"}
    assert not group.shed


def test_one_has_all_the_premium_and_the_others_all_the_cheap() -> None:
    group = LimiterGroup(
        {"a": {"chain": 4.0}, "b": {"chain": 4.0}, "c": {"guest": 5.0}, "d": {"standard": 5.0}}
    ).run(6)
    group.demand = {"a": {"chain": 25.0}, "b": {"chain": 25.0}, "c": {"guest": 60.0}, "d": {"standard": 60.0}}
    group.run(25).run(20)
    assert group.shed["chain"] == 0
    assert group.shed["guest"] > 0
    assert group.shed["standard"] > 0


def test_a_retry_meets_the_same_verdict_at_every_limiter() -> None:
    group = _overloaded()
    assert len(group.policies()) == 1
    for number in range(60):
        verdicts = list[bool]()
        waits = set[float]()
        for name in NAMES:
            action = group.send_request(name, "guest", f"late-{number}", repeat=True)
            verdicts.append(isinstance(action, api.Refuse) and action.why == "lane")
            if isinstance(action, api.Refuse) and action.why == "lane":
                waits.add(round(action.retry_after, 1))
        assert len(set(verdicts)) == 1
        if waits:  # the end of the rotation period, bounded by the settings; rows arrive up to 0.4 s late
            assert max(waits) <= 2.0
            assert max(waits) - min(waits) <= 0.5


def test_spells_turn_so_that_others_give_way() -> None:
    group = _overloaded(standard=5.0)
    shed_accounts = defaultdict[int, set[str]](set)
    for _ in range(50):
        group.run(1)
        for number in range(50):
            action = group.send_request("a", "guest", f"guest-{number}")
            if isinstance(action, api.Refuse) and action.why == "lane":
                shed_accounts[group.load_shedders["a"].active.policy.rotation].add(f"guest-{number}")
    shed_by_rotation = list(shed_accounts.values())
    assert len(shed_by_rotation) >= 5
    assert set.intersection(*shed_by_rotation) != set.union(*shed_by_rotation)
    assert any(earlier ^ later for earlier, later in pairwise(shed_by_rotation))


def test_excess_goes_before_any_quota() -> None:
    group = _overloaded()
    answers = Counter[str]()
    for _ in range(200):
        group.run(0.1)
        action = group.send_request("a", "small", "heavy")  # ten times its quota, in the first lane
        answers["lane" if isinstance(action, api.Refuse) and action.why == "lane" else "passed"] += 1
    shed = [facts for _, facts in group.histories["a"].of(Kind.LANES_TURNED) if facts["account"] == "heavy"]
    assert answers["passed"] + len(shed) == 200
    assert not any(facts["inside"] for facts in shed)


def test_an_empty_lane_leaves_its_part_to_the_others() -> None:
    group = _overloaded(standard=0.0).run(20)
    assert group.shed["chain"] == 0
    assert group.admitted["guest"] / 20 >= 20  # of a capacity of about 80, premium has 40


def test_release_without_a_swing() -> None:
    group = _overloaded()
    for demand in group.demand.values():
        demand.update({"chain": 5.0, "standard": 4.0, "guest": 4.0})
    before = sum(1 for _ in group.histories["a"].of(Kind.LANES_STATE))
    group.run(20)
    assert group.states() == {"calm"}
    after = [facts["state"] for _, facts in group.histories["a"].of(Kind.LANES_STATE)][before:]
    assert after == ["easing", "calm"]
    group.run(30)
    assert not group.shed


def test_a_dead_limiter_keeps_its_share_for_the_lease_and_no_longer() -> None:
    group = _overloaded()
    capacity = group.load_shedders["a"].active.capacity
    group.fleet.kill("d")
    demand = group.demand["d"]
    group.run(group.fleet.detection_seconds)
    for name in "abc":  # its clients move to the others at once
        for plan, rate in demand.items():
            group.demand[name][plan] += rate / 3
    group.run(3)
    assert [row.owner for row in group.load_shedders["a"].peer_rows.reports() if row.is_stale] == ["d"]
    admitted = sum(group.admitted.values()) / 3
    assert admitted <= capacity + 20
    group.run(OPTIONS.lease_seconds)
    assert "d" not in {row.owner for row in group.load_shedders["a"].peer_rows.reports()}


def test_rows_of_a_dead_life_are_not_read() -> None:
    group = _overloaded()
    group.fleet.kill("d")
    group.run(1)
    group.join("d", life=2)
    group.run(2)
    reports = {row.owner: row for row in group.load_shedders["a"].peer_rows.reports()}
    assert not reports["d"].is_stale
    assert len(group.policies()) == 1  # and its new life applies the policy of the others


def test_two_halves_pass_no_more_than_before_the_cut() -> None:
    group = _overloaded().run(10)
    before = sum(group.admitted.values()) / 10
    policy_before_cut = group.load_shedders["a"].active.policy
    group.fleet.cut(["a", "b"], ["c", "d"])
    group.run(OPTIONS.lease_seconds + group.fleet.detection_seconds)
    assert (
        sum(group.admitted.values()) / (OPTIONS.lease_seconds + group.fleet.detection_seconds)
        <= 1.15 * before
    )
    for shedder in group.load_shedders.values():  # no threshold was raised while some limiters were not heard
        assert all(
            now <= then
            for now, then in zip(
                shedder.active.policy.within_quota, policy_before_cut.within_quota, strict=True
            )
        )
    group.fleet.heal()
    group.run(3)
    assert len(group.policies()) == 1


def test_late_and_lost_rows() -> None:
    group = _overloaded()
    group.fleet.loss, group.fleet.max_delay = 0.3, 1.5
    group.run(30)
    assert group.shed["chain"] <= 0.02 * group.admitted["chain"]
    assert group.states() == {"shedding"}


def test_without_a_view_it_serves_as_if_lanes_were_off() -> None:
    group = _overloaded()
    for name in NAMES:
        group.fleet.cut([name], [other for other in NAMES if other != name])
    group.run(VIEW_LOST_SECONDS + group.fleet.detection_seconds + OPTIONS.lease_seconds + 1).run(10)
    assert group.states() == {"calm"}
    assert not group.shed


def test_alone_it_never_sheds() -> None:
    group = LimiterGroup({"a": {"chain": 50.0, "guest": 50.0}}).run(30)
    assert group.states() == {"calm"}
    assert not group.shed


def test_what_passes_reaches_the_decisions_unchanged_and_what_does_not_never_does() -> None:
    group = _overloaded()
    servers, was_shed = group.servers["a"], dict[int, bool]()
    servers.seen.clear()
    for number in range(100):
        action = group.send_request("a", "guest", f"guest-{number}")
        was_shed[group.request_count] = isinstance(action, api.Refuse) and action.why == "lane"
    seen = {event.id: event for event in servers.seen if isinstance(event, api.Request)}
    assert {id for id, shed in was_shed.items() if not shed} == set(seen)
    assert seen[min(seen)] == api.Request(min(seen), "read", "guest", 3.0, seen[min(seen)].account, 1.0, 4)
    others: list[api.Event] = [
        api.TimerFired(3),
        api.ClientDisconnected(group.request_count),
        api.SettingsChanged(SETTINGS),
    ]
    for event in others:
        group.load_shedders["a"].module.handle(group.now, event)
    assert servers.seen[-3:] == others


def test_histories_have_all_facts() -> None:
    group = _overloaded().run(5)
    kinds = Counter[Kind]()
    for history in group.histories.values():
        for _, kind, facts in history.events:
            kinds[kind] += 1
            assert set(facts) == set(FACTS[kind])
    assert set(kinds) == {Kind.LANES_STATE, Kind.LANES_PERIOD, Kind.LANES_TURNED, Kind.LANES_LET}
    _, period = list(group.histories["a"].of(Kind.LANES_PERIOD))[-1]
    assert list(period["floors"]) == ["premium", "standard", "guest"]
    for name, history in group.histories.items():  # each account is recorded once a policy
        recorded = Counter((f["account"], f["spell"]) for _, f in history.of(Kind.LANES_LET))
        assert set(recorded.values()) == {1}, name
    shed_accounts = {
        (f["account"], f["spell"]) for h in group.histories.values() for _, f in h.of(Kind.LANES_TURNED)
    }
    admitted_accounts = {
        (f["account"], f["spell"]) for h in group.histories.values() for _, f in h.of(Kind.LANES_LET)
    }
    assert not shed_accounts & admitted_accounts


def test_periods_go_on_by_the_loop_and_end(caplog: pytest.LogCaptureFixture) -> None:
    group = LimiterGroup({"a": {}, "b": {}})

    async def run() -> None:
        shedder = group.load_shedders["a"]
        shedder.start()
        timer = shedder._timer
        assert timer is not None
        shedder._tick()
        assert shedder._timer is not timer
        group.fleet.views.clear()  # a fault is logged, and periods continue
        shedder._clock = lambda: 1 / 0
        shedder._tick()
        assert shedder._timer is not None
        shedder.close()
        assert shedder._timer is None

    asyncio.run(run())
    assert "a period failed" in caplog.text


def test_nobody_heard_for_long_is_no_view_even_before_anyone_is_held_dead() -> None:
    group = _overloaded()
    group.fleet.detection_seconds = 1000.0
    for name in NAMES:
        group.fleet.cut([name], [other for other in NAMES if other != name])
    group.run(VIEW_LOST_SECONDS - 5)
    assert all(shedder.active.in_force for shedder in group.load_shedders.values())
    group.run(10)
    assert not any(shedder.active.in_force for shedder in group.load_shedders.values())
    group.fleet.heal()
    group.run(5)
    assert all(shedder.active.in_force for shedder in group.load_shedders.values())


def test_a_row_of_an_earlier_life_does_not_come_back() -> None:
    peer_rows, member = PeerRows(1, 4.0, 5.0), Member("b", 2, 0, MemberState.ALIVE)

    def body(sent: float) -> bytes:
        return encode(LanesRow(0, 0.0, 0.0, (LaneRates(sent=sent),), initial_policy(1), 0.0))

    for life, sent in ((2, 7.0), (1, 99.0)):
        peer_rows.update(
            0.0, "a", [Row("b", life, 1, MemberState.ALIVE, 0.1, body(sent))], lambda _name: member
        )
    assert [row.rates[0].sent for row in peer_rows.reports()] == [7.0]
