"""Datagrams between members: what they say, and how a member tells one that it can believe from all others.

    byte 0        form of the datagram (``FORM``)
    bytes 1-16    BLAKE2b over form and body, keyed with the installation's key (RFC 7693)
    rest          body: MessagePack, an array of the fields of ``Envelope``

Nothing is read of a body before its digest has been found right; a body that then has not exactly the expected fields,
each inside its bounds, is dropped whole. An old or doubled datagram has a right digest: see ``detector.Window``.
"""

from __future__ import annotations

import hmac
from collections.abc import Sequence
from hashlib import blake2b
from typing import Annotated

import msgspec
from msgspec import Meta, Raw, Struct

from cypresspulley.fleet.records import MAX_ROW_BYTES, NAME_PATTERN, Member, MemberState

FORMAT_VERSION = 1
MAX_DATAGRAM_BYTES = (
    1200  # of a datagram: below the least path that IPv6 promises (1280), with room for headers
)
DIGEST_BYTES = 16  # bytes
HEADER_BYTES = 1 + DIGEST_BYTES
BUCKET_COUNT = 64  # of names, by which two members compare what they hold
PART_BYTES = 900  # bytes of a document in one datagram
MAX_PARTS = 73  # ceil(MOST_DOCUMENT / PART)
MAX_RECORDS = 64  # in one datagram; a record of a true member takes more than 20 bytes

Name = Annotated[str, Meta(min_length=1, max_length=40, pattern=f"^{NAME_PATTERN}$")]
NoName = Annotated[str, Meta(max_length=40)]
Zone = Annotated[str, Meta(max_length=64)]
Address = Annotated[str, Meta(max_length=80)]
Count = Annotated[int, Meta(ge=0, le=2**62)]
Hash64 = Annotated[int, Meta(ge=0)]  # MessagePack itself ends at 2**64 - 1
Hash = Annotated[bytes, Meta(min_length=16, max_length=16)]


class MemberRecord(Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """A member as it is told. ``by`` is who suspects or has found it dead, "" where nobody does."""

    name: Name
    life: Count
    incarnation: Count
    state: MemberState
    zone: Zone
    address: Address
    accuser: NoName = ""

    def member(self) -> Member:
        return Member(self.name, self.life, self.incarnation, self.state, self.zone, self.address)


class RowRecord(Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """One subsystem's row of one member; ``age`` in ms since its owner confirmed it, as the sender knows."""

    owner: Name
    subsystem: Name
    life: Count
    version: Count
    age_ms: Count
    body: Annotated[bytes, Meta(max_length=MAX_ROW_BYTES)]


class Ping(Struct, array_like=True, frozen=True, tag=1, forbid_unknown_fields=True):
    """Asks for an ``Ack``. ``to`` is the name of who is meant, "" for whoever is at the address."""

    nonce: Count
    target: NoName


class Ack(Struct, array_like=True, frozen=True, tag=2, forbid_unknown_fields=True):
    nonce: Count


class PingRequest(Struct, array_like=True, frozen=True, tag=3, forbid_unknown_fields=True):
    """Asks the receiver to ping another; answered by ``Reached`` or, in time, by ``Missed``."""

    nonce: Count
    target: Name
    address: Address


class PingRequestAck(Struct, array_like=True, frozen=True, tag=4, forbid_unknown_fields=True):
    nonce: Count


class PingRequestNack(Struct, array_like=True, frozen=True, tag=5, forbid_unknown_fields=True):
    """The asked one answers, the one that it was asked to ping did not (Lifeguard's nack)."""

    nonce: Count


class Gossip(Struct, array_like=True, frozen=True, tag=6, forbid_unknown_fields=True):
    """Nothing but what stands beside it."""


class SyncRequest(Struct, array_like=True, frozen=True, tag=7, forbid_unknown_fields=True):
    """Digests of all buckets of names, 8 bytes each; asks for ``Piece`` datagrams of those that differ."""

    number: Count
    buckets: Annotated[bytes, Meta(min_length=BUCKET_COUNT * 8, max_length=BUCKET_COUNT * 8)]


Key = tuple[
    Annotated[int, Meta(ge=0, le=BUCKET_COUNT)], NoName, NoName
]  # bucket, name, subsystem ("" its member)


class SyncPiece(Struct, array_like=True, frozen=True, tag=8, forbid_unknown_fields=True):
    """Beside it stands all that the sender holds with keys in (``after``, ``upto``] in the buckets of ``mask``."""

    number: Count
    mask: Hash64
    after: Key
    up_to: Key
    last: bool


class SyncCorrections(Struct, array_like=True, frozen=True, tag=9, forbid_unknown_fields=True):
    """Beside it stands what the other's pieces lacked. What it knows better in turn it answers by ``Gossip``."""


class DocumentRequest(Struct, array_like=True, frozen=True, tag=10, forbid_unknown_fields=True):
    """Asks for parts of a document: those whose bit is set."""

    digest: Hash
    part_mask: Annotated[bytes, Meta(max_length=(MAX_PARTS + 7) // 8)]


class DocumentPart(Struct, array_like=True, frozen=True, tag=11, forbid_unknown_fields=True):
    digest: Hash
    number: Annotated[int, Meta(ge=0, lt=MAX_PARTS)]
    count: Annotated[int, Meta(ge=1, le=MAX_PARTS)]
    body: Annotated[bytes, Meta(max_length=PART_BYTES)]


class DocumentMissing(Struct, array_like=True, frozen=True, tag=12, forbid_unknown_fields=True):
    digest: Hash


Message = (
    Ping
    | Ack
    | PingRequest
    | PingRequestAck
    | PingRequestNack
    | Gossip
    | SyncRequest
    | SyncPiece
    | SyncCorrections
    | DocumentRequest
    | DocumentPart
    | DocumentMissing
)


class Envelope(Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """One datagram's body.

    ``number`` counts the sender's datagrams in its life; ``wall`` its wall clock in ms; ``members`` and ``rows`` its
    digests; ``versions`` the sum of its own rows' versions; ``me`` itself.
    """

    installation: Name
    sequence: Count
    wall_ms: Count
    members_digest: Hash64
    rows_digest: Hash64
    row_versions: Count
    sender: MemberRecord
    message: Message
    member_records: Annotated[list[MemberRecord], Meta(max_length=MAX_RECORDS)]
    row_records: Annotated[list[RowRecord], Meta(max_length=MAX_RECORDS)]


class InvalidDatagram(Exception):  # noqa: N818 - it names a datagram, no fault of this program
    """A datagram that is dropped; ``cause`` is a word for the counters."""

    def __init__(self, cause: str) -> None:
        super().__init__(cause)
        self.cause = cause


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Envelope)


def encode_record(value: Struct) -> Raw:
    """A value's bytes, to be laid into a datagram as they are."""
    return Raw(_encoder.encode(value))


def encoded_size(value: Raw) -> int:
    """Bytes that it takes in a datagram."""
    return memoryview(value).nbytes


class Codec:
    """Datagrams of one installation under one key."""

    def __init__(self, installation: str, key: bytes) -> None:
        self._installation = installation
        self._key = blake2b(
            key, digest_size=32, person=b"fawnseam-fleet"
        ).digest()  # any length of key will do

    def __repr__(self) -> str:
        return f"<Codec {self._installation}>"

    def encode(
        self,
        header: tuple[int, int, int, int, int],
        sender: Raw,
        message: Raw,
        member_records: Sequence[Raw],
        row_records: Sequence[Raw],
    ) -> bytes:
        """``head`` is number, wall, members, rows and versions, as in ``Envelope``; the caller minds the size."""
        body = _encoder.encode((self._installation, *header, sender, message, member_records, row_records))
        form = bytes((FORMAT_VERSION,))
        return form + self._digest(form, body) + body

    def decode(self, data: bytes) -> Envelope:
        """What a datagram says; ``Unreadable`` with the cause ``long``, ``cut``, ``form``, ``digest``, ``garbled`` or
        ``foreign``."""
        if len(data) > MAX_DATAGRAM_BYTES:
            raise InvalidDatagram("long")
        if len(data) <= HEADER_BYTES:
            raise InvalidDatagram("cut")
        if data[0] != FORMAT_VERSION:
            raise InvalidDatagram("form")
        body = data[HEADER_BYTES:]
        if not hmac.compare_digest(self._digest(data[:1], body), data[1:HEADER_BYTES]):
            raise InvalidDatagram("digest")
        try:
            envelope = _decoder.decode(body)
        except (msgspec.MsgspecError, ValueError, RecursionError):
            raise InvalidDatagram("garbled") from None
        if envelope.installation != self._installation:
            raise InvalidDatagram("foreign")
        return envelope

    def _digest(self, form: bytes, body: bytes) -> bytes:
        keyed = blake2b(form, key=self._key, digest_size=DIGEST_BYTES)
        keyed.update(body)
        return keyed.digest()
