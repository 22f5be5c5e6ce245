"""Whole exchange where one answer does not hold the view: it goes on behind its end."""

from __future__ import annotations

import pytest

from benchmarks.fleet_bed import EPOCH, Host, SimulatedFleet, address
from cypresspulley.fleet import exchange, wire
from cypresspulley.fleet.exchange import Exchange
from cypresspulley.fleet.outbox import MAX_RESPONSE_DATAGRAMS
from cypresspulley.fleet.records import Member, MemberState
from cypresspulley.fleet.view import ROW_QUIET_SECONDS, GossipQueue

MANY = 1024
LIFE = round(EPOCH * 1000)
ROW = b"x" * 150
IN_ORDER = 1e-20  # seconds of a delay that no clock tells: a row that overtakes its member is not taken
LONG_AGO = -1000.0  # rows of then count for the digest, and what is held is no news


def large(fleet: SimulatedFleet, size: int = MANY, rows: bool = True) -> Host:
    """The one member of a large fleet that answers in this bed."""
    known = [Member(f"l{n}", LIFE, 0, MemberState.ALIVE, "zone", address(f"l{n}")) for n in range(size)]
    host = fleet.start("l0", known=known)
    view = host.detector.view
    for n in range(1, size if rows else 0):
        for subsystem in ("lanes", "closing"):
            view.merge_row(LONG_AGO, wire.RowRecord(f"l{n}", subsystem, LIFE, 1, 0, ROW))
    view.refresh(fleet.now)
    for n in range(size):
        view.gossip_queue.drop_name(f"l{n}")
    return host


def held(host: Host) -> tuple[int, int]:
    """Members and rows."""
    view = host.detector.view
    return view.present_count, sum(len(view.rows(0.0, key)) for key in ("lanes", "closing"))


def test_one_that_joins_a_large_fleet_is_alive_once_it_has_the_whole_view() -> None:
    fleet = SimulatedFleet(1, delay=IN_ORDER)
    large(fleet)
    new = fleet.start("new", ["l0"])
    started_at = fleet.now
    assert fleet.run(
        started_at + 1.0, lambda: new.detector.view.local_member.state is MemberState.ALIVE, every=0.001
    )
    assert held(new) == (MANY + 1, 2 * (MANY - 1)) and fleet.now - started_at < 0.5


def test_a_view_whose_digests_differ_for_long_still_comes_whole(monkeypatch: pytest.MonkeyPatch) -> None:
    """Rows that are new to one that joins change none of its digests at first: what differs stays the same, for all."""
    monkeypatch.setattr(exchange, "MAX_RESPONSE_DATAGRAMS", 4)
    fleet = SimulatedFleet(1)
    names = fleet.start_members(40)
    for host in fleet.live():
        view = host.detector.view
        for subsystem in ("lanes", "closing"):
            view.publish(LONG_AGO, subsystem, ROW)
            for name in names:
                view.merge_row(LONG_AGO, wire.RowRecord(name, subsystem, LIFE, 1, 0, ROW))
        view.refresh(fleet.now)
        view.gossip_queue = GossipQueue()
    new = fleet.start("new", ["l0"])
    assert fleet.run(fleet.now + ROW_QUIET_SECONDS / 2, lambda: held(new) == (41, 80)), held(new)


def test_one_answer_has_no_more_pieces_than_before() -> None:
    fleet, pieces = SimulatedFleet(1, delay=IN_ORDER), dict[int, int]()
    codec = wire.Codec("bed", b"a key of the bed only")

    def count(source: str, target: str, data: bytes) -> None:
        message = codec.decode(data).message
        if isinstance(message, wire.SyncPiece):
            pieces[message.number] = pieces.get(message.number, 0) + 1

    large(fleet)
    fleet.tap = count
    fleet.start("new", ["l0"])
    fleet.run(0.4)
    assert len(pieces) > 10 and max(pieces.values()) <= MAX_RESPONSE_DATAGRAMS


def test_one_that_is_always_answered_from_the_start_does_not_ask_for_ever(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A member of the version before this one answers so."""
    begun = exchange.Exchange.on_sync_request

    def forgetful(self: Exchange, envelope: wire.Envelope) -> None:
        self.forget(envelope.sender.name)
        begun(self, envelope)

    monkeypatch.setattr(Exchange, "on_sync_request", forgetful)
    fleet = SimulatedFleet(1, delay=IN_ORDER)
    large(fleet)
    new = fleet.start("new", ["l0"])
    assert fleet.run(
        fleet.now + 0.4, lambda: new.detector.view.local_member.state is MemberState.ALIVE, every=0.001
    )
    assert new.detector.counts["sent"] < 20


def test_a_new_life_of_the_asker_is_answered_from_the_start() -> None:
    fleet = SimulatedFleet(1, delay=IN_ORDER)
    host = large(fleet)
    new = fleet.start("new", ["l0"])
    assert fleet.run(
        fleet.now + 0.4, lambda: bool(held(new)[1] and host.detector._exchange._cursors), every=0.0002
    )
    fleet.kill("new")
    assert held(new)[0] < MANY
    fleet.run(fleet.now + 0.01)
    again = fleet.start("new", ["l0"])
    assert fleet.run(
        fleet.now + 0.4, lambda: again.detector.view.local_member.state is MemberState.ALIVE, every=0.001
    )
    assert held(again) == (MANY + 1, 2 * (MANY - 1))
