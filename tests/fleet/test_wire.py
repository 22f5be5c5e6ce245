"""Datagrams: valid ones survive a round trip, all others are rejected."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from benchmarks.fleet_bed import SimulatedFleet
from cypresspulley.fleet import wire
from cypresspulley.fleet.records import MemberState

KEY = b"0123456789abcdef"
CODEC = wire.Codec("vadodara", KEY)
ME = wire.MemberRecord("l1", 5, 0, MemberState.ALIVE, "a", "10.0.0.1:8700")


def datagram(codec: wire.Codec = CODEC, message: wire.Message | None = None) -> bytes:
    told = wire.encode_record(message or wire.Ping(7, "l2"))
    return codec.encode((1, 2_000, 3, 4, 5), wire.encode_record(ME), told, [wire.encode_record(ME)], [])


def drop_cause(data: bytes, codec: wire.Codec = CODEC) -> str:
    with pytest.raises(wire.InvalidDatagram) as caught:
        codec.decode(data)
    return caught.value.cause


@pytest.mark.parametrize(
    "message",
    [
        wire.Ping(7, "l2"),
        wire.Ack(2**62),
        wire.PingRequest(1, "l2", "[::1]:9"),
        wire.PingRequestAck(1),
        wire.PingRequestNack(1),
        wire.Gossip(),
        wire.SyncRequest(9, bytes(512)),
        wire.SyncPiece(9, 2**64 - 1, (0, "", ""), (64, "l", "lanes"), True),
        wire.SyncCorrections(),
        wire.DocumentRequest(bytes(16), b"\xff"),
        wire.DocumentPart(bytes(16), 72, 73, b"x" * 900),
        wire.DocumentMissing(bytes(16)),
    ],
)
def test_every_message_comes_back_whole(message: wire.Message) -> None:
    data = datagram(message=message)
    assert len(data) <= wire.MAX_DATAGRAM_BYTES
    envelope = CODEC.decode(data)
    assert (envelope.sender, envelope.message, envelope.member_records) == (ME, message, [ME])
    assert (envelope.sequence, envelope.wall_ms, envelope.row_versions) == (1, 2_000, 5)


def test_what_cannot_be_believed_is_named_by_its_cause() -> None:
    data = datagram()
    assert drop_cause(b"") == drop_cause(data[:17]) == "cut"
    assert drop_cause(data[:-1]) == "digest"
    assert drop_cause(data + b"\0" * 1200) == "long"
    assert drop_cause(b"\x02" + data[1:]) == "form"
    assert drop_cause(datagram(wire.Codec("vadodara", KEY + b"!"))) == "digest"
    assert drop_cause(datagram(wire.Codec("surat", KEY))) == "foreign"


def authenticate(body: bytes) -> bytes:
    """Return a datagram of this body, authenticated with the right key."""
    form = bytes((wire.FORMAT_VERSION,))
    return form + CODEC._digest(form, body) + body


@given(st.binary(max_size=1300))
def test_no_bytes_are_taken_for_a_datagram(data: bytes) -> None:
    assert drop_cause(data) in {"cut", "long", "form", "digest"}


@given(st.binary(max_size=1100))
def test_no_body_under_the_right_key_ends_in_another_error(body: bytes) -> None:
    assert drop_cause(authenticate(body)) in {"garbled", "cut"}


@settings(max_examples=300)
@given(st.integers(0, 10_000), st.binary(min_size=1, max_size=4))
def test_a_mangled_body_under_the_right_key_is_read_or_dropped(at: int, replacement: bytes) -> None:
    body = bytearray(datagram()[wire.HEADER_BYTES :])
    at %= len(body)
    body[at : at + len(replacement)] = replacement
    try:
        envelope = CODEC.decode(authenticate(bytes(body)))
    except wire.InvalidDatagram as error:
        assert error.cause in {"garbled", "foreign"}
    else:
        assert envelope.sender.life >= 0 and len(envelope.sender.name) <= 40


def test_fields_outside_their_bounds_are_refused() -> None:
    good = list(msgspec.msgpack.decode(datagram()[wire.HEADER_BYTES :]))
    encode = msgspec.msgpack.encode
    assert CODEC.decode(authenticate(encode(good)))
    for place, value in (
        (1, -1), (2, "2"), (6, ["l1", 5, -1, 1, "a", "x", ""]), (6, ["", 5, 0, 1, "a", "x", ""]),
        (6, ["l/1", 5, 0, 1, "a", "x", ""]), (6, ["l1", 5, 0, 9, "a", "x", ""]), (7, [99]),
        (6, ["l1", 5, 0, 1, "a" * 65, "x", ""]), (8, [["l1"]]), (9, [["l1", "lanes", 1, 1, 0, bytes(201)]]),
        (8, [["l", 1, 0, 1, "", "", ""]] * 65),
    ):  # fmt: skip
        bad = [*good]
        bad[place] = value
        assert drop_cause(authenticate(encode(bad))) == "garbled", value
    assert drop_cause(authenticate(encode([*good, 1]))) == "garbled"


def test_no_member_ever_sends_more_than_a_datagram_holds() -> None:
    fleet = SimulatedFleet(3, loss=0.1)
    sizes = list[int]()
    fleet.tap = lambda source, target, data: sizes.append(len(data))
    names = [f"member-with-a-name-of-forty-letters-{n:04d}" for n in range(12)]
    for name in names:
        rows = {"lanes": b"x" * 200, "closing": b"y" * 200}
        fleet.start(name, names[:2], rows=rows)
    fleet.run(20)
    assert fleet.agree() and len(sizes) > 500
    assert 1000 < max(sizes) <= wire.MAX_DATAGRAM_BYTES
