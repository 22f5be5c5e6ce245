"""Wire format of the datagrams between members, and their authentication.

    byte 0        version of the format (``FORMAT_VERSION``)
    bytes 1-16    BLAKE2b over version and body, keyed with the installation's key (RFC 7693)
    rest          body: MessagePack, an array of the fields of ``Envelope``

A body is decoded only after its digest has been verified, and a datagram is dropped unless its body has exactly the
expected fields, each within its bounds. A replayed datagram has a valid digest: ``peers.ReplayWindow`` rejects it.

Structs are encoded as arrays (``array_like``): the order, types and tags of fields are the protocol, not their names.
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
MAX_DATAGRAM_BYTES = 1200  # below the minimum IPv6 MTU (1280), which leaves space for headers
DIGEST_BYTES = 16
HEADER_BYTES = 1 + DIGEST_BYTES
BUCKET_COUNT = 64  # of member names, by which anti-entropy compares two views
PART_BYTES = 900  # of a document in one datagram
MAX_PARTS = 73  # ceil(MAX_DOCUMENT_BYTES / PART_BYTES)
MAX_RECORDS = 64  # of each kind in one datagram; a valid record takes more than 20 bytes

Name = Annotated[str, Meta(min_length=1, max_length=40, pattern=f"^{NAME_PATTERN}$")]
OptionalName = Annotated[str, Meta(max_length=40)]
Zone = Annotated[str, Meta(max_length=64)]
Address = Annotated[str, Meta(max_length=80)]
Count = Annotated[int, Meta(ge=0, le=2**62)]
Hash64 = Annotated[int, Meta(ge=0)]  # MessagePack itself ends at 2**64 - 1
Hash = Annotated[bytes, Meta(min_length=16, max_length=16)]


class MemberRecord(Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """The record of a member. ``accuser`` suspects it or has found it dead; "" without one."""

    name: Name
    life: Count
    incarnation: Count
    state: MemberState
    zone: Zone
    address: Address
    accuser: OptionalName = ""

    def member(self) -> Member:
        """Return the record as a ``Member``, without its accuser."""
        return Member(self.name, self.life, self.incarnation, self.state, self.zone, self.address)


class RowRecord(Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """The row of a member for one subsystem; ``age_ms`` since its owner confirmed it, as known to the sender."""

    owner: Name
    subsystem: Name
    life: Count
    version: Count
    age_ms: Count
    body: Annotated[bytes, Meta(max_length=MAX_ROW_BYTES)]


class Ping(Struct, array_like=True, frozen=True, tag=1, forbid_unknown_fields=True):
    """Asks for an ``Ack``. ``target`` is the name of the receiver, "" for whoever is at the address."""

    nonce: Count
    target: OptionalName


class Ack(Struct, array_like=True, frozen=True, tag=2, forbid_unknown_fields=True):
    """Answers a ``Ping``."""

    nonce: Count


class PingRequest(Struct, array_like=True, frozen=True, tag=3, forbid_unknown_fields=True):
    """Asks the receiver to ping the target (SWIM's ping-req).

    It is answered by ``PingRequestAck`` or, on a time-out, by ``PingRequestNack``.
    """

    nonce: Count
    target: Name
    address: Address


class PingRequestAck(Struct, array_like=True, frozen=True, tag=4, forbid_unknown_fields=True):
    """Reports that the target of a ``PingRequest`` has answered."""

    nonce: Count


class PingRequestNack(Struct, array_like=True, frozen=True, tag=5, forbid_unknown_fields=True):
    """Reports that the target of a ``PingRequest`` has not answered (Lifeguard's nack)."""

    nonce: Count


class Gossip(Struct, array_like=True, frozen=True, tag=6, forbid_unknown_fields=True):
    """A datagram that carries only records."""


class SyncRequest(Struct, array_like=True, frozen=True, tag=7, forbid_unknown_fields=True):
    """Digests of all buckets, 8 bytes each; asks for ``SyncPiece`` datagrams of those that differ."""

    number: Count
    buckets: Annotated[bytes, Meta(min_length=BUCKET_COUNT * 8, max_length=BUCKET_COUNT * 8)]


Key = tuple[
    Annotated[int, Meta(ge=0, le=BUCKET_COUNT)], OptionalName, OptionalName
]  # bucket, name, subsystem ("" its member)


class SyncPiece(Struct, array_like=True, frozen=True, tag=8, forbid_unknown_fields=True):
    """Carries all records of the sender with keys in (``after``, ``up_to``] in the buckets of ``mask``."""

    number: Count
    mask: Hash64
    after: Key
    up_to: Key
    last: bool


class SyncCorrections(Struct, array_like=True, frozen=True, tag=9, forbid_unknown_fields=True):
    """Carries records that the receiver's pieces lacked or had older; newer ones are returned by ``Gossip``."""


class DocumentRequest(Struct, array_like=True, frozen=True, tag=10, forbid_unknown_fields=True):
    """Asks for the parts of a document whose bits are set in ``part_mask`` (little-endian)."""

    digest: Hash
    part_mask: Annotated[bytes, Meta(max_length=(MAX_PARTS + 7) // 8)]


class DocumentPart(Struct, array_like=True, frozen=True, tag=11, forbid_unknown_fields=True):
    """Part ``number`` of ``count`` of a document."""

    digest: Hash
    number: Annotated[int, Meta(ge=0, lt=MAX_PARTS)]
    count: Annotated[int, Meta(ge=1, le=MAX_PARTS)]
    body: Annotated[bytes, Meta(max_length=PART_BYTES)]


class DocumentMissing(Struct, array_like=True, frozen=True, tag=12, forbid_unknown_fields=True):
    """Reports that the sender does not have a requested document."""

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
    """The body of a datagram.

    ``sequence`` numbers the sender's datagrams in its life, and ``wall_ms`` is its wall clock. ``members_digest`` and
    ``rows_digest`` are the digests of its view, ``row_versions`` is the sum of the versions of its own rows, and
    ``sender`` is its own record.
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


class InvalidDatagram(Exception):  # noqa: N818 - it describes a received datagram, not an error of this program
    """A datagram that is dropped; ``cause`` is the name of its counter."""

    def __init__(self, cause: str) -> None:
        super().__init__(cause)
        self.cause = cause


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Envelope)


def encode_record(value: Struct) -> Raw:
    """Encode a record once, for embedding in any number of datagrams."""
    return Raw(_encoder.encode(value))


def encoded_size(value: Raw) -> int:
    """Return the bytes that an encoded record takes in a datagram."""
    return memoryview(value).nbytes


class Codec:
    """Encodes and decodes the datagrams of one installation, authenticated with its key."""

    def __init__(self, installation: str, key: bytes) -> None:
        self._installation = installation
        # Hashed because BLAKE2b takes keys of at most 64 bytes.
        self._key = blake2b(key, digest_size=32, person=b"fawnseam-fleet").digest()

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
        """Encode a datagram. The caller ensures that it is no longer than ``MAX_DATAGRAM_BYTES``.

        ``header`` is sequence, wall_ms, members_digest, rows_digest and row_versions, as in ``Envelope``.
        """
        body = _encoder.encode((self._installation, *header, sender, message, member_records, row_records))
        version = bytes((FORMAT_VERSION,))
        return version + self._digest(version, body) + body

    def decode(self, data: bytes) -> Envelope:
        """Verify and decode a datagram.

        Raise ``InvalidDatagram`` with the cause ``long``, ``cut``, ``form``, ``digest``, ``garbled`` or ``foreign``.
        """
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

    def _digest(self, version: bytes, body: bytes) -> bytes:
        mac = blake2b(version, key=self._key, digest_size=DIGEST_BYTES)
        mac.update(body)
        return mac.digest()
