"""Lanes of several limiters before decisions that bear so much and no more: the hard cases."""

from __future__ import annotations

import asyncio
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from itertools import pairwise

import pytest

from cypresspulley import interface as api
from cypresspulley.fleet.records import Member, MemberState, Row
from cypresspulley.histories.events import FACTS, Kind
from cypresspulley.lanes.limiter import LOST, Lanes, inversion_bound
from cypresspulley.lanes.options import Lane, LanesOptions
from cypresspulley.lanes.peer_rows import Heard
from cypresspulley.lanes.rows import Figures, LanesRow, encode
from cypresspulley.lanes.shedding_policy import first
from cypresspulley.policy.gateway import Gateway
from tests.lanes.day import History
from tests.lanes.fabric import Fabric
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
    spell=8.0,
)
NAMES = ("a", "b", "c", "d")
STEP = 0.1  # seconds between two batches of tries


class Servers:
    """Decisions of one limiter that send on so many units a second and refuse the rest for want of room."""

    def __init__(self, bears: float) -> None:
        self.bears, self._room, self._at = bears, 0.0, 0.0
        self.seen = list[api.Event]()

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        self.seen.append(event)
        if not isinstance(event, api.Request):
            return []
        self._room = min(self.bears / 5, self._room + self.bears * min(1.0, now - self._at))
        self._at = now
        if self._room < event.units:
            return [api.Refuse(event.id, 0.1, "no server")]
        self._room -= event.units
        return [api.Send(event.id, "s1", 1.0)]


@dataclass
class Team:
    """Limiters ``names`` that bear 20 units a second each, and the plans' tries at each of them."""

    asks: dict[str, dict[str, float]]  # units a second by limiter and plan
    now: float = 1000.0
    count: int = 0
    steps: int = 0
    turned: Counter[str] = field(default_factory=Counter[str])
    passed: Counter[str] = field(default_factory=Counter[str])
    left: dict[tuple[str, str], float] = field(
        default_factory=lambda: defaultdict[tuple[str, str], float](float)
    )

    def __post_init__(self) -> None:
        self.fabric = Fabric(lambda: self.now, spread=0.4)
        self.lanes, self.servers, self.histories = (
            dict[str, Lanes](),
            dict[str, Servers](),
            dict[str, History](),
        )
        for name in self.asks:
            self.join(name)

    def join(self, name: str, life: int = 1) -> None:
        self.servers[name], self.histories[name] = Servers(20.0), History(lambda: self.now)
        view, gateway = self.fabric.join(name, life), Gateway(SETTINGS, 1, self.now)
        self.lanes[name] = Lanes(OPTIONS, view, gateway, SETTINGS, self.histories[name], lambda: self.now)
        self.lanes[name].deciding(self.servers[name])

    def ask(self, name: str, plan: str, account: str, repeat: bool = False) -> api.Action:
        self.count += 1
        ev = api.Request(self.count, "read", plan, 3.0, account, 1.0, 4, repeat)
        action = next(iter(self.lanes[name].way.handle(self.now, ev)))
        turned = isinstance(action, api.Refuse) and action.why == "lane"
        (self.turned if turned else self.passed)[plan] += 1
        return action

    def run(self, seconds: float) -> Team:
        """Accounts of each plan ask in turn; those that begin with nothing turned away."""
        self.turned.clear()
        self.passed.clear()
        for _ in range(round(seconds / STEP)):
            self.now, self.steps = self.now + STEP, self.steps + 1
            for name in [name for name in self.asks if name not in self.fabric.dead]:
                for plan, rate in self.asks[name].items():
                    self.left[name, plan] += rate * STEP
                    while self.left[name, plan] >= 1:
                        self.left[name, plan] -= 1
                        self.ask(name, plan, f"{plan}-{self.count % 97}")
                if self.steps % 5 == list(self.asks).index(name) % 5:
                    self.lanes[name].period(self.now)
        return self

    def states(self) -> set[str]:
        return {self.lanes[n].machine.state.name.lower() for n in self.asks if n not in self.fabric.dead}

    def spells(self) -> set[tuple[int, ...]]:
        return {(*lanes.course.spell.key, *lanes.course.spell.inside) for lanes in self.lanes.values()}


def _overloaded(premium: float = 10.0, standard: float = 10.0, guest: float = 20.0) -> Team:
    """After 6 calm seconds and 20 at twice what is borne."""
    team = Team({name: {"chain": 2.0, "standard": 2.0, "guest": 2.0} for name in NAMES}).run(6)
    assert team.states() == {"calm"}
    assert not team.turned
    for asks in team.asks.values():
        asks.update({"chain": premium, "standard": standard, "guest": guest})
    team.run(20)
    assert team.states() == {"shedding"}
    return team


def test_cheaper_lanes_give_way_in_order_down_to_their_floors() -> None:
    team = _overloaded(standard=15.0).run(40)
    assert team.turned["chain"] == 0
    assert team.turned["guest"] > team.turned["standard"] > 0
    for plan, floor in (("standard", 0.1 * 80), ("guest", 0.05 * 80)):
        assert team.passed[plan] / 40 >= 0.75 * floor  # of 97 accounts


def test_lanes_are_in_force_everywhere_within_the_stated_time() -> None:
    team = Team({name: {"chain": 2.0} for name in NAMES}).run(8)
    for asks in team.asks.values():
        asks.update({"chain": 10.0, "standard": 10.0, "guest": 20.0})
    began = {name: 0.0 for name in NAMES}
    for _ in range(80):
        team.run(0.1)
        for name, lanes in team.lanes.items():
            began[name] = began[name] or team.now * lanes.course.in_force
    assert min(began.values()) > 1008.0
    assert max(began.values()) - 1008.0 <= 6.0
    assert max(began.values()) - min(began.values()) <= inversion_bound(OPTIONS, 0.4) + STEP
    assert {lanes.course.spell.turn for lanes in team.lanes.values()} == {1}  # the same accounts give way


def test_one_limiter_alone_never_sheds() -> None:
    team = Team({name: {"chain": 3.0, "standard": 3.0, "guest": 3.0} for name in NAMES}).run(6)
    team.servers["b"].bears = 1.0  # its way to the servers is cut, the others' is not
    team.run(20)
    assert team.states() == {"calm"}
    assert not team.turned


def test_one_has_all_the_premium_and_the_others_all_the_cheap() -> None:
    team = Team({"a": {"chain": 4.0}, "b": {"chain": 4.0}, "c": {"guest": 5.0}, "d": {"standard": 5.0}}).run(
        6
    )
    team.asks = {"a": {"chain": 25.0}, "b": {"chain": 25.0}, "c": {"guest": 60.0}, "d": {"standard": 60.0}}
    team.run(25).run(20)
    assert team.turned["chain"] == 0
    assert team.turned["guest"] > 0
    assert team.turned["standard"] > 0


def test_a_retry_meets_the_same_verdict_at_every_limiter() -> None:
    team = _overloaded()
    assert len(team.spells()) == 1
    for number in range(60):
        verdicts = list[bool]()
        waits = set[float]()
        for name in NAMES:
            action = team.ask(name, "guest", f"late-{number}", repeat=True)
            verdicts.append(isinstance(action, api.Refuse) and action.why == "lane")
            if isinstance(action, api.Refuse) and action.why == "lane":
                waits.add(round(action.retry_after, 1))
        assert len(set(verdicts)) == 1
        if waits:  # the spell's end, bounded by the settings; rows come late by 0.4 s at most
            assert max(waits) <= 2.0
            assert max(waits) - min(waits) <= 0.5


def test_spells_turn_so_that_others_give_way() -> None:
    team = _overloaded(standard=5.0)
    gave = defaultdict[int, set[str]](set)
    for _ in range(50):
        team.run(1)
        for number in range(50):
            action = team.ask("a", "guest", f"guest-{number}")
            if isinstance(action, api.Refuse) and action.why == "lane":
                gave[team.lanes["a"].course.spell.turn].add(f"guest-{number}")
    spells = list(gave.values())
    assert len(spells) >= 5
    assert set.intersection(*spells) != set.union(*spells)
    assert any(one ^ other for one, other in pairwise(spells))


def test_excess_goes_before_any_quota() -> None:
    team = _overloaded()
    answers = Counter[str]()
    for _ in range(200):
        team.run(0.1)
        action = team.ask("a", "small", "heavy")  # ten times its quota, in the first lane
        answers["lane" if isinstance(action, api.Refuse) and action.why == "lane" else "passed"] += 1
    turned = [facts for _, facts in team.histories["a"].of(Kind.LANES_TURNED) if facts["account"] == "heavy"]
    assert answers["passed"] + len(turned) == 200
    assert not any(facts["inside"] for facts in turned)


def test_an_empty_lane_leaves_its_part_to_the_others() -> None:
    team = _overloaded(standard=0.0).run(20)
    assert team.turned["chain"] == 0
    assert team.passed["guest"] / 20 >= 20  # of some 80 that are borne, 40 are premium's


def test_release_without_a_swing() -> None:
    team = _overloaded()
    for asks in team.asks.values():
        asks.update({"chain": 5.0, "standard": 4.0, "guest": 4.0})
    before = sum(1 for _ in team.histories["a"].of(Kind.LANES_STATE))
    team.run(20)
    assert team.states() == {"calm"}
    after = [facts["state"] for _, facts in team.histories["a"].of(Kind.LANES_STATE)][before:]
    assert after == ["easing", "calm"]
    team.run(30)
    assert not team.turned


def test_a_dead_limiter_keeps_its_share_for_the_lease_and_no_longer() -> None:
    team = _overloaded()
    borne = team.lanes["a"].course.bears
    team.fabric.kill("d")
    asks = team.asks["d"]
    team.run(team.fabric.detect)
    for name in "abc":  # its clients come to the others at once
        for plan, rate in asks.items():
            team.asks[name][plan] += rate / 3
    team.run(3)
    assert [row.owner for row in team.lanes["a"].heard.told() if row.stale] == ["d"]
    passed = sum(team.passed.values()) / 3
    assert passed <= borne + 20
    team.run(OPTIONS.lease)
    assert "d" not in {row.owner for row in team.lanes["a"].heard.told()}


def test_rows_of_a_dead_life_are_not_read() -> None:
    team = _overloaded()
    team.fabric.kill("d")
    team.run(1)
    team.join("d", life=2)
    team.run(2)
    told = {row.owner: row for row in team.lanes["a"].heard.told()}
    assert not told["d"].stale
    assert len(team.spells()) == 1  # and its new life goes by the spell of the others


def test_two_halves_pass_no_more_than_before_the_cut() -> None:
    team = _overloaded().run(10)
    before = sum(team.passed.values()) / 10
    first = team.lanes["a"].course.spell
    team.fabric.cut(["a", "b"], ["c", "d"])
    team.run(OPTIONS.lease + team.fabric.detect)
    assert sum(team.passed.values()) / (OPTIONS.lease + team.fabric.detect) <= 1.15 * before
    for lanes in team.lanes.values():  # nothing was loosened while some were not heard
        assert all(now <= then for now, then in zip(lanes.course.spell.inside, first.inside, strict=True))
    team.fabric.heal()
    team.run(3)
    assert len(team.spells()) == 1


def test_late_and_lost_rows() -> None:
    team = _overloaded()
    team.fabric.loss, team.fabric.spread = 0.3, 1.5
    team.run(30)
    assert team.turned["chain"] <= 0.02 * team.passed["chain"]
    assert team.states() == {"shedding"}


def test_without_a_view_it_serves_as_if_lanes_were_off() -> None:
    team = _overloaded()
    for name in NAMES:
        team.fabric.cut([name], [other for other in NAMES if other != name])
    team.run(LOST + team.fabric.detect + OPTIONS.lease + 1).run(10)
    assert team.states() == {"calm"}
    assert not team.turned


def test_alone_it_never_sheds() -> None:
    team = Team({"a": {"chain": 50.0, "guest": 50.0}}).run(30)
    assert team.states() == {"calm"}
    assert not team.turned


def test_what_passes_reaches_the_decisions_unchanged_and_what_does_not_never_does() -> None:
    team = _overloaded()
    servers, tries = team.servers["a"], dict[int, bool]()
    servers.seen.clear()
    for number in range(100):
        action = team.ask("a", "guest", f"guest-{number}")
        tries[team.count] = isinstance(action, api.Refuse) and action.why == "lane"
    seen = {event.id: event for event in servers.seen if isinstance(event, api.Request)}
    assert {id for id, turned in tries.items() if not turned} == set(seen)
    assert seen[min(seen)] == api.Request(min(seen), "read", "guest", 3.0, seen[min(seen)].account, 1.0, 4)
    others: list[api.Event] = [
        api.TimerFired(3),
        api.ClientDisconnected(team.count),
        api.SettingsChanged(SETTINGS),
    ]
    for event in others:
        team.lanes["a"].way.handle(team.now, event)
    assert servers.seen[-3:] == others


def test_histories_have_all_facts() -> None:
    team = _overloaded().run(5)
    kinds = Counter[Kind]()
    for history in team.histories.values():
        for _, kind, facts in history.events:
            kinds[kind] += 1
            assert set(facts) == set(FACTS[kind])
    assert set(kinds) == {Kind.LANES_STATE, Kind.LANES_PERIOD, Kind.LANES_TURNED, Kind.LANES_LET}
    _, period = list(team.histories["a"].of(Kind.LANES_PERIOD))[-1]
    assert list(period["floors"]) == ["premium", "standard", "guest"]
    for name, history in team.histories.items():  # one account and spell is told once
        let = Counter((f["account"], f["spell"]) for _, f in history.of(Kind.LANES_LET))
        assert set(let.values()) == {1}, name
    gave = {(f["account"], f["spell"]) for h in team.histories.values() for _, f in h.of(Kind.LANES_TURNED)}
    kept = {(f["account"], f["spell"]) for h in team.histories.values() for _, f in h.of(Kind.LANES_LET)}
    assert not gave & kept


def test_periods_go_on_by_the_loop_and_end(caplog: pytest.LogCaptureFixture) -> None:
    team = Team({"a": {}, "b": {}})

    async def play() -> None:
        lanes = team.lanes["a"]
        lanes.start()
        timer = lanes._timer
        assert timer is not None
        lanes._tick()
        assert lanes._timer is not timer
        team.fabric.views.clear()  # a fault: it is told, and periods go on
        lanes._clock = lambda: 1 / 0
        lanes._tick()
        assert lanes._timer is not None
        lanes.close()
        assert lanes._timer is None

    asyncio.run(play())
    assert "a period failed" in caplog.text


def test_nobody_heard_for_long_is_no_view_even_before_anyone_is_held_dead() -> None:
    team = _overloaded()
    team.fabric.detect = 1000.0
    for name in NAMES:
        team.fabric.cut([name], [other for other in NAMES if other != name])
    team.run(LOST - 5)
    assert all(lanes.course.in_force for lanes in team.lanes.values())
    team.run(10)
    assert not any(lanes.course.in_force for lanes in team.lanes.values())
    team.fabric.heal()
    team.run(5)
    assert all(lanes.course.in_force for lanes in team.lanes.values())


def test_a_row_of_an_earlier_life_does_not_come_back() -> None:
    heard, member = Heard(1, 4.0, 5.0), Member("b", 2, 0, MemberState.ALIVE)

    def body(sent: float) -> bytes:
        return encode(LanesRow(0, 0.0, 0.0, (Figures(sent=sent),), first(1), 0.0))

    for life, sent in ((2, 7.0), (1, 99.0)):
        heard.update(0.0, "a", [Row("b", life, 1, MemberState.ALIVE, 0.1, body(sent))], lambda _name: member)
    assert [row.figures[0].sent for row in heard.told()] == [7.0]
