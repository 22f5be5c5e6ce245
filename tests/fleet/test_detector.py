"""The transitions of the detector's table."""

from __future__ import annotations

from random import Random

import pytest

from cypresspulley.fleet import timing, wire
from cypresspulley.fleet.actions import (
    DatagramReceived,
    LeaveRequested,
    LifeRaised,
    MemberChanged,
    Send,
    Started,
    TimerFired,
)
from cypresspulley.fleet.detector import MAX_CLOCK_DIFFERENCE_SECONDS, Detector
from cypresspulley.fleet.records import Member, MemberState

KEY = b"0123456789abcdef"
CODEC = wire.Codec("bed", KEY)
WALL = 1_800_000_000.0
LIFE = 1_700_000_000_000


class DetectorHarness:
    """A detector with a manual clock, and hand-made datagrams of other members."""

    def __init__(self, *others: str, seeds: tuple[str, ...] = (), period: float = 1.0) -> None:
        self.now, self.number = 0.0, 100
        me = Member("me", LIFE, 0, MemberState.JOINING, "a", "me:1")
        self.detector = Detector(me, CODEC, seeds, period, Random(1))
        self.sent = list[tuple[str, wire.Envelope]]()
        self.changes = list[tuple[str, MemberState, str]]()
        self.new_lives = list[int]()
        self.process(Started())
        for name in others:
            self.receive(name)
        self.sent.clear()
        self.changes.clear()

    def process(self, event: Started | TimerFired | DatagramReceived | LeaveRequested) -> None:
        for action in self.detector.handle(self.now, WALL + self.now, event):
            match action:
                case Send(address, data):
                    self.sent.append((address, CODEC.decode(data)))
                case MemberChanged(member, cause):
                    self.changes.append((member.name, member.state, cause))
                case LifeRaised(life):
                    self.new_lives.append(life)

    def receive(
        self, name: str, message: wire.Message | None = None, state: MemberState = MemberState.ALIVE,
        incarnation: int = 0, claims: tuple[wire.MemberRecord, ...] = (), life: int = LIFE,
        number: int | None = None, wall: float = WALL, digest: int | None = None,
    ) -> bytes:  # fmt: skip
        self.number += 1
        me = wire.MemberRecord(name, life, incarnation, state, "b", f"{name}:1", "")
        view = self.detector.view
        head = (
            number or self.number,
            round((wall + self.now) * 1000),
            digest or view.digest,
            view.rows_digest,
            0,
        )
        records = [wire.encode_record(entry) for entry in claims]
        data = CODEC.encode(
            head, wire.encode_record(me), wire.encode_record(message or wire.Gossip()), records, []
        )
        self.process(DatagramReceived(data))
        return data

    def advance(self, seconds: float) -> None:
        end = self.now + seconds
        while self.detector.due <= end:
            self.now = max(self.now, self.detector.due)
            self.process(TimerFired())
        self.now = end

    def state(self, name: str) -> MemberState | None:
        held = self.detector.view.get(name)
        return held.state if held else None

    def pings(self, name: str) -> list[wire.Ping]:
        messages = (envelope.message for _, envelope in self.sent)
        return [m for m in messages if isinstance(m, wire.Ping) and m.target == name]


def claim(
    name: str, state: MemberState, incarnation: int = 0, by: str = "", life: int = LIFE
) -> wire.MemberRecord:
    return wire.MemberRecord(name, life, incarnation, state, "b", f"{name}:1", by)


def test_one_that_no_probe_reaches_is_suspected_and_then_dead() -> None:
    harness = DetectorHarness("x")
    harness.advance(2.5)
    assert harness.changes == [("x", MemberState.SUSPECTED, "probe")]
    harness.advance(timing.suspicion_periods(2, 0))
    assert harness.changes[1:] == [("x", MemberState.DEAD, "probe")]


def test_others_are_asked_to_probe_and_their_word_counts() -> None:
    harness = DetectorHarness("x", "y", "z")
    asks = list[tuple[str, wire.PingRequest]]()
    while not asks:
        harness.advance(0.05)
        asks = [(where, e.message) for where, e in harness.sent if isinstance(e.message, wire.PingRequest)]
    assert len(asks) == 2  # all other members except the target
    target, nonce = asks[0][1].target, asks[0][1].nonce
    helper = asks[0][0].partition(":")[0]
    assert helper != target
    harness.receive(helper, wire.PingRequestAck(nonce))
    harness.advance(0.5)
    assert harness.state(target) is not MemberState.SUSPECTED


def test_an_answer_counts_only_from_the_one_that_was_asked() -> None:
    harness = DetectorHarness("x", "y")
    while not harness.pings("x"):
        harness.advance(0.1)
    nonce = harness.pings("x")[-1].nonce
    harness.receive("y", wire.Ack(nonce))
    harness.receive("x", wire.Ack(nonce + 1))
    assert harness.detector.counts["unasked"] == 2
    harness.receive("x", wire.Ack(nonce))
    assert harness.detector.counts["unasked"] == 2
    harness.receive("x", wire.Ack(nonce))
    assert harness.detector.counts["unasked"] == 3


def test_a_death_that_is_told_is_a_suspicion_first() -> None:
    harness = DetectorHarness("x", "y", "z")
    harness.receive("y", claims=(claim("x", MemberState.DEAD, by="y"),))
    assert harness.state("x") is MemberState.SUSPECTED
    harness.receive("x", incarnation=1)
    assert harness.changes == [("x", MemberState.SUSPECTED, "told"), ("x", MemberState.ALIVE, "refuted")]
    harness.receive("y", claims=(claim("x", MemberState.DEAD, incarnation=1, by="y"),))
    harness.advance(timing.reported_death_periods(4) + 0.1)
    assert harness.state("x") is MemberState.DEAD and harness.changes[-1] == ("x", MemberState.DEAD, "told")


def test_more_accusers_shorten_a_suspicion_and_the_same_one_twice_does_not() -> None:
    def lasts(*accusers: str) -> float:
        harness = DetectorHarness(*"abcdefx")
        # Its own probes target only x, so that no other member is suspected.
        harness.detector._probes.remaining_targets = ["x"] * 99
        for name in accusers:
            harness.receive(name, claims=(claim("x", MemberState.SUSPECTED, by=name),))
        while harness.state("x") is not MemberState.DEAD:
            harness.advance(0.05)
        return harness.now

    alone, three = lasts("a"), lasts("a", "b", "c")
    assert lasts("a", "a", "a") == alone > three >= timing.suspicion_periods(8, 3)


def test_of_itself_it_refutes_above_what_is_told() -> None:
    harness = DetectorHarness("x")
    harness.receive("x", claims=(claim("me", MemberState.SUSPECTED, 4, by="x"),))
    me = harness.detector.view.local_member
    assert (me.incarnation, me.state) == (5, MemberState.ALIVE) or me.state is MemberState.JOINING
    harness.receive("x", claims=(claim("me", MemberState.SUSPECTED, 5, by="x"),))
    assert harness.detector.view.local_member.incarnation == 6
    harness.receive("x", claims=(claim("me", MemberState.SUSPECTED, 5, by="x"),))
    assert harness.detector.view.local_member.incarnation == 6
    harness.receive(
        "x", claims=(claim("me", MemberState.DEAD, 5, by="x"),)
    )  # the end of a life is final, whatever the incarnation
    assert harness.detector.view.local_member.rank[:3] == (LIFE + 1, False, 0)
    harness.receive("x", claims=(claim("me", MemberState.DEAD, 5, by="x"),))
    assert harness.detector.view.local_member.rank[:3] == (LIFE + 1, False, 0)


def test_a_later_life_of_its_name_lifts_its_own_above_and_says_its_rows_anew() -> None:
    harness = DetectorHarness("x")
    harness.detector.view.publish(0.0, "lanes", b"row")
    harness.receive("x", claims=(claim("me", MemberState.DEAD, 7, by="x", life=LIFE + 3_600_000),))
    assert harness.new_lives == [LIFE + 3_600_001]
    assert [row.life for row in harness.detector.view.rows(0.0, "lanes")] == [LIFE + 3_600_001]
    for n in range(20):
        harness.receive("x", claims=(claim("me", MemberState.ALIVE, 0, life=LIFE + 4_000_000 + n * 10),))
    assert len(harness.new_lives) == 8 and harness.detector.counts["risen"] == 21


def test_a_leaver_is_left_when_it_no_longer_answers_and_never_suspected() -> None:
    harness = DetectorHarness("x", "y")
    harness.receive("x", state=MemberState.LEAVING, incarnation=1)
    harness.receive("y", claims=(claim("x", MemberState.SUSPECTED, 0, by="y"),))
    harness.advance(40)
    assert [change for change in harness.changes if change[0] == "x"] == [
        ("x", MemberState.LEAVING, "told"),
        ("x", MemberState.LEFT, "probe"),
    ]


def test_a_leaver_that_missed_a_probe_and_speaks_again_was_never_left() -> None:
    harness = DetectorHarness("x")
    harness.receive("x", state=MemberState.LEAVING, incarnation=1)
    for _ in range(4):  # two rounds outlast the longest suspicion: only its datagrams keep it leaving
        harness.advance(timing.suspicion_periods(2, 0) - 2)
        assert harness.state("x") is MemberState.LEAVING
        harness.receive("x", state=MemberState.LEAVING, incarnation=1)
    missed = harness.now
    harness.advance(timing.suspicion_periods(2, 0) - 1)
    assert [change for change in harness.changes if change[0] == "x"] == [("x", MemberState.LEAVING, "told")]
    harness.advance(5)
    assert harness.now - missed > timing.suspicion_periods(2, 0) and harness.state("x") is MemberState.LEFT


def test_a_leaver_that_a_helper_reaches_is_no_longer_missed() -> None:
    harness = DetectorHarness("x", "y")
    harness.receive("x", state=MemberState.LEAVING, incarnation=1)
    harness.advance(8)
    assert harness.detector._suspicions.get("x") is not None
    harness.sent.clear()
    while not (
        asked := [e.message.nonce for _, e in harness.sent if isinstance(e.message, wire.PingRequest)]
    ):
        harness.advance(0.05)
    harness.receive("y", wire.PingRequestAck(asked[-1]))
    assert harness.state("x") is MemberState.LEAVING and harness.detector._suspicions.get("x") is None


def test_leaving_is_said_at_once_above_any_suspicion() -> None:
    harness = DetectorHarness("x", "y")
    harness.process(LeaveRequested())
    assert {where for where, _ in harness.sent} == {"x:1", "y:1"}
    assert all(e.sender.state is MemberState.LEAVING and e.sender.incarnation == 1 for _, e in harness.sent)


def test_one_that_stood_still_accuses_nobody_of_what_it_did_not_hear() -> None:
    harness = DetectorHarness("x", "y", "z")
    while not any(isinstance(e.message, wire.Ping) for _, e in harness.sent):
        harness.advance(0.05)
    assert harness.state("x") is harness.state("y") is harness.state("z") is MemberState.ALIVE
    target = next(e.message.target for _, e in harness.sent if isinstance(e.message, wire.Ping))
    other = "x" if target != "x" else "y"
    harness.receive("z", claims=(claim(other, MemberState.SUSPECTED, by="z"),))
    harness.now += 60
    harness.process(TimerFired())
    assert harness.detector.counts["stalls"] == 1 and harness.detector.health.score > 0
    harness.receive("z", claims=(claim(other, MemberState.SUSPECTED, by="w"),))
    harness.advance(1.2)
    assert harness.state(target) is MemberState.ALIVE  # its probe was pending during the stall
    harness.advance(2.0)
    assert harness.state(other) is MemberState.SUSPECTED  # suspected, but not dead by the time that was lost
    harness.receive(other, incarnation=1)
    assert harness.state(other) is MemberState.ALIVE


def test_one_that_wakes_at_the_end_of_a_suspicion_hears_first_what_was_said_meanwhile() -> None:
    harness = DetectorHarness("x")
    harness.detector._probes.remaining_targets = ["x"] * 99
    harness.receive("x", claims=(claim("x", MemberState.SUSPECTED, by="x"),))
    until = harness.detector._suspicions.deadline("x", 2)
    assert until is not None
    harness.advance(until - harness.now - 0.1)
    harness.now += 60
    harness.process(TimerFired())
    harness.advance(0.9)
    assert harness.state("x") is MemberState.SUSPECTED
    harness.receive("x", incarnation=1)
    harness.advance(0.5)
    assert harness.state("x") is MemberState.ALIVE


def test_a_replayed_datagram_changes_nothing() -> None:
    harness = DetectorHarness("x", "y")
    data = harness.receive("x", digest=77)
    harness.advance(0.01)
    harness.receive("x", incarnation=1)
    detector = harness.detector
    before = (
        detector.view.digest,
        detector.peers.count_responsive(harness.now, 0.0),
        detector.is_settled(),
        len(harness.changes),
    )
    harness.advance(0.3)
    harness.process(DatagramReceived(data))
    assert detector.counts["replayed"] == 1 and detector.peers.count_responsive(harness.now, 0.2) == 0
    assert before[0] == detector.view.digest and before[2:] == (detector.is_settled(), len(harness.changes))


def test_settled_is_when_every_present_member_has_told_this_digest() -> None:
    harness = DetectorHarness("x", "y")
    harness.receive("x")
    assert not harness.detector.is_settled()  # y reported its digest before x was known
    harness.receive("y")
    assert harness.detector.is_settled()
    harness.receive("x", digest=77)
    assert not harness.detector.is_settled()
    harness.receive("x", number=3)  # older than the datagram with 77, received later
    assert not harness.detector.is_settled()
    harness.receive("x")
    assert harness.detector.is_settled()
    harness.receive("z", state=MemberState.LEFT, incarnation=1)
    assert harness.detector.is_settled()  # a member that has left need not agree
    harness.receive("z", life=LIFE + 1)
    assert not harness.detector.is_settled()


@pytest.mark.parametrize("life", [LIFE - 5, LIFE])
def test_an_old_life_never_comes_back(life: int) -> None:
    harness = DetectorHarness("x")
    old = harness.receive("x", number=5_000)
    harness.receive("x", life=LIFE + 1)
    harness.receive("x", life=life, incarnation=99)
    harness.process(DatagramReceived(old))
    held = harness.detector.view.get("x")
    assert held is not None and (held.life, held.incarnation) == (LIFE + 1, 0)
    claims = [e.member_records for where, e in harness.sent if where == "x:1" and e.member_records]
    assert any(entry.life == LIFE + 1 for entries in claims for entry in entries)


def test_a_datagram_of_another_day_is_dropped() -> None:
    harness = DetectorHarness()
    harness.receive("x", wall=WALL - MAX_CLOCK_DIFFERENCE_SECONDS - 10)
    harness.receive("y", wall=WALL + MAX_CLOCK_DIFFERENCE_SECONDS + 10)
    assert harness.detector.counts["stale"] == 2 and harness.state("x") is None and harness.state("y") is None
    harness.receive("x", wall=WALL - 3600)
    assert harness.state("x") is MemberState.ALIVE


def test_seeds_are_asked_ever_more_seldom_but_always() -> None:
    harness = DetectorHarness(seeds=("s:1", "me:1"))
    harness.advance(200)
    knocks = sum(1 for where, e in harness.sent if where == "s:1" and isinstance(e.message, wire.Ping))
    assert 10 <= knocks <= 60 and harness.detector.view.local_member.state is MemberState.JOINING
    assert {where for where, _ in harness.sent} == {"s:1"}


def test_one_without_other_seeds_is_alive_at_once() -> None:
    assert DetectorHarness(seeds=("me:1",)).detector.view.local_member.state is MemberState.ALIVE


def test_a_ping_meant_for_another_is_not_answered() -> None:
    harness = DetectorHarness("x")
    harness.receive("x", wire.Ping(5, "former"))
    assert not harness.sent and harness.detector.counts["astray"] == 1
    harness.receive("x", wire.Ping(5, "me"))
    assert [(where, e.message) for where, e in harness.sent] == [("x:1", wire.Ack(5))]


def test_relays_and_timers_stay_bounded_under_a_flood() -> None:
    harness = DetectorHarness("x")
    for n in range(300):
        harness.receive("x", wire.PingRequest(n, "y", "y:1"))
        harness.receive(
            "x", claims=(claim("z", MemberState.DEAD, n, by="x"), claim("x", MemberState.SUSPECTED, n))
        )
    assert harness.detector.counts["relays refused"] == 300 - 64
    assert len(harness.detector._timers) < 1_000
