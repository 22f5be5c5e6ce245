"""The row that a limiter publishes about itself in the fleet view, at most 200 bytes, and its validation on receipt."""

from __future__ import annotations

import re

import msgspec

from cypresspulley.fleet.records import MAX_ROW_BYTES

MAX_RECENT_PURGES = 16  # purges whose accounts a row names
ACCOUNT_BYTES = 5  # an account is a number below 2**33
MAX_ACKS = 3  # issuers whose latest applied purge a row acknowledges
ACK_BYTES = 11  # per acknowledgement
MAX_NUMBER = 2**53  # exclusive
VIEW_DIGEST_BYTES = 8
CALENDAR_DIGEST_BYTES = 16
ACK_ISSUER_BYTES = 6  # leading bytes of an acknowledgement that identify the issuer; its purge count follows
ACCOUNT_PATTERN = re.compile(r"[0-9a-f]{16}")


class LimiterRow(msgspec.Struct, array_like=True, frozen=True):
    """The state that one limiter publishes. It is encoded as an array, so the order of the fields is the wire format.

    ``round``, ``since_round`` and ``view_digest`` belong to the lease (``lease.py``). ``calendar_version`` and
    ``calendar_digest`` identify the newest calendar that the owner has. ``known_limiters`` is the number of limiters
    that it knows. ``purge_count`` is the number of purges it has issued in this life, and ``recent_purges`` holds the
    accounts of the last of them, newest last. ``acks`` holds acknowledgements of the purges of others that it applied
    last (``purge_counters.encode_ack``).
    """

    round: int
    since_round: int
    view_digest: bytes
    calendar_version: int
    calendar_digest: bytes
    known_limiters: int
    purge_count: int
    recent_purges: bytes
    acks: bytes

    def acknowledges(self, ack: bytes) -> bool:
        """Return whether the owner has applied at least as many purges of that issuer as ``ack`` states."""
        parts = (self.acks[at : at + ACK_BYTES] for at in range(0, len(self.acks), ACK_BYTES))
        return any(part[:ACK_ISSUER_BYTES] == ack[:ACK_ISSUER_BYTES] and part >= ack for part in parts)

    @property
    def recent_accounts(self) -> list[str]:
        """The accounts of the last purges, newest last."""
        parts = range(0, len(self.recent_purges), ACCOUNT_BYTES)
        return [f"{int.from_bytes(self.recent_purges[at : at + ACCOUNT_BYTES]):016x}" for at in parts]


_ENCODER, _DECODER = msgspec.msgpack.Encoder(), msgspec.msgpack.Decoder(LimiterRow)


def pack_account(account: str) -> bytes:
    return int(account, 16).to_bytes(ACCOUNT_BYTES)


def encode_row(row: LimiterRow) -> bytes:
    body = _ENCODER.encode(row)
    assert len(body) <= MAX_ROW_BYTES
    return body


def decode_row(body: bytes) -> LimiterRow | None:
    """Return the row, or None if it is invalid; its owner then counts as agreeing with nobody."""
    try:
        row = _DECODER.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return None
    numbers = (row.round, row.since_round, row.calendar_version, row.known_limiters, row.purge_count)
    if not all(0 <= number < MAX_NUMBER for number in numbers) or row.since_round > row.round:
        return None
    if len(row.view_digest) != VIEW_DIGEST_BYTES or len(row.calendar_digest) != CALENDAR_DIGEST_BYTES:
        return None
    count, rest = divmod(len(row.recent_purges), ACCOUNT_BYTES)
    if rest or count > min(MAX_RECENT_PURGES, row.purge_count):
        return None
    if len(row.acks) % ACK_BYTES or len(row.acks) > MAX_ACKS * ACK_BYTES:
        return None
    return row
