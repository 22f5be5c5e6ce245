"""Anti-entropy of views that do not fit in one response: the next response continues behind its end."""

from __future__ import annotations

import pytest

from benchmarks.fleet_bed import EPOCH, Host, SimulatedFleet, address
from cypresspulley.fleet import exchange, wire
from cypresspulley.fleet.exchange import Exchange
from cypresspulley.fleet.outbox import MAX_RESPONSE_DATAGRAMS
from cypresspulley.fleet.records import Member, MemberState
from cypresspulley.fleet.view import ROW_QUIET_SECONDS, GossipQueue

LARGE_FLEET_SIZE = 1024
LIFE = round(EPOCH * 1000)
ROW = b"x" * 150
IN_ORDER = 1e-20  # seconds; too short to reorder datagrams: a row that overtakes its member is rejected
LONG_AGO = -1000.0  # rows of this instant are in the digest already, and the records count as old


def start_large_fleet(fleet: SimulatedFleet, size: int = LARGE_FLEET_SIZE, rows: bool = True) -> Host:
    """Start the only running member of a large fleet, with records of all others."""
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


def count_records(host: Host) -> tuple[int, int]:
    """Return the numbers of present members and of rows."""
    view = host.detector.view
    return view.present_count, sum(len(view.rows(0.0, key)) for key in ("lanes", "closing"))


def test_one_that_joins_a_large_fleet_is_alive_once_it_has_the_whole_view() -> None:
    fleet = SimulatedFleet(1, delay=IN_ORDER)
    start_large_fleet(fleet)
    new = fleet.start("new", ["l0"])
    started_at = fleet.now
    assert fleet.run(
        started_at + 1.0, lambda: new.detector.view.local_member.state is MemberState.ALIVE, every=0.001
    )
    assert (
        count_records(new) == (LARGE_FLEET_SIZE + 1, 2 * (LARGE_FLEET_SIZE - 1))
        and fleet.now - started_at < 0.5
    )


def test_a_view_whose_digests_differ_for_long_still_comes_whole(monkeypatch: pytest.MonkeyPatch) -> None:
    """New rows do not change the digests of a joining member at first, so the same buckets differ each time."""
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
    assert fleet.run(fleet.now + ROW_QUIET_SECONDS / 2, lambda: count_records(new) == (41, 80)), (
        count_records(new)
    )


def test_one_answer_has_no_more_pieces_than_before() -> None:
    fleet, pieces = SimulatedFleet(1, delay=IN_ORDER), dict[int, int]()
    codec = wire.Codec("bed", b"a key of the bed only")

    def count(source: str, target: str, data: bytes) -> None:
        message = codec.decode(data).message
        if isinstance(message, wire.SyncPiece):
            pieces[message.number] = pieces.get(message.number, 0) + 1

    start_large_fleet(fleet)
    fleet.tap = count
    fleet.start("new", ["l0"])
    fleet.run(0.4)
    assert len(pieces) > 10 and max(pieces.values()) <= MAX_RESPONSE_DATAGRAMS


def test_one_that_is_always_answered_from_the_start_does_not_ask_for_ever(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Members of the previous version always respond from the first key."""
    original = exchange.Exchange.on_sync_request

    def respond_from_start(self: Exchange, envelope: wire.Envelope) -> None:
        self.forget(envelope.sender.name)
        original(self, envelope)

    monkeypatch.setattr(Exchange, "on_sync_request", respond_from_start)
    fleet = SimulatedFleet(1, delay=IN_ORDER)
    start_large_fleet(fleet)
    new = fleet.start("new", ["l0"])
    assert fleet.run(
        fleet.now + 0.4, lambda: new.detector.view.local_member.state is MemberState.ALIVE, every=0.001
    )
    assert new.detector.counts["sent"] < 20


def test_a_new_life_of_the_asker_is_answered_from_the_start() -> None:
    fleet = SimulatedFleet(1, delay=IN_ORDER)
    host = start_large_fleet(fleet)
    new = fleet.start("new", ["l0"])
    assert fleet.run(
        fleet.now + 0.4,
        lambda: bool(count_records(new)[1] and host.detector._exchange._cursors),
        every=0.0002,
    )
    fleet.kill("new")
    assert count_records(new)[0] < LARGE_FLEET_SIZE
    fleet.run(fleet.now + 0.01)
    again = fleet.start("new", ["l0"])
    assert fleet.run(
        fleet.now + 0.4, lambda: again.detector.view.local_member.state is MemberState.ALIVE, every=0.001
    )
    assert count_records(again) == (LARGE_FLEET_SIZE + 1, 2 * (LARGE_FLEET_SIZE - 1))
