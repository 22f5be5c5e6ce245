"""What a limiter says of itself through the view: its row, at most 200 bytes. Others' rows are read with distrust."""

from __future__ import annotations

import re

import msgspec

from cypresspulley.fleet.records import MAX_ROW_BYTES

MOST_RECENT = 16  # accounts of purges that a row names
ACCOUNT_BYTES = 5  # an account is a number below 2**33
MOST_ECHOES = 3  # issuers whose last purge a row says to be applied
ECHO = 11  # bytes of each
MOST_NUMBER = 2**53
AGREED = 8  # bytes
DIGEST = 16  # bytes
ISSUER = 6  # bytes of an echo that name the issuer; its count follows
ACCOUNT = re.compile(r"[0-9a-f]{16}")


class Said(msgspec.Struct, array_like=True, frozen=True):
    """A row. ``round``, ``since`` and ``agreed`` are the lease's (``lease.py``); ``version`` and ``digest`` name the
    newest calendar that its owner holds; ``roster`` is how many limiters it knows of; ``purges`` how many purges it has
    issued in this life, ``recent`` the accounts of the last of them, the newest last; ``echoes`` which purges of others
    it was the last to apply (``purges.echo``)."""

    round: int
    since: int
    agreed: bytes
    version: int
    digest: bytes
    roster: int
    purges: int
    recent: bytes
    echoes: bytes

    def echoed(self, echo: bytes) -> bool:
        """Whether it says that it has applied so many purges of that issuer, or more."""
        parts = (self.echoes[at : at + ECHO] for at in range(0, len(self.echoes), ECHO))
        return any(part[:ISSUER] == echo[:ISSUER] and part >= echo for part in parts)

    @property
    def accounts(self) -> list[str]:
        """The accounts of the last purges, the newest last."""
        parts = range(0, len(self.recent), ACCOUNT_BYTES)
        return [f"{int.from_bytes(self.recent[at : at + ACCOUNT_BYTES]):016x}" for at in parts]


_ENCODER, _DECODER = msgspec.msgpack.Encoder(), msgspec.msgpack.Decoder(Said)


def pack(account: str) -> bytes:
    return int(account, 16).to_bytes(ACCOUNT_BYTES)


def encode(said: Said) -> bytes:
    body = _ENCODER.encode(said)
    assert len(body) <= MAX_ROW_BYTES
    return body


def decode(body: bytes) -> Said | None:
    """A row; None for one that cannot be read: its owner then agrees with nobody."""
    try:
        said = _DECODER.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return None
    numbers = (said.round, said.since, said.version, said.roster, said.purges)
    if not all(0 <= number < MOST_NUMBER for number in numbers) or said.since > said.round:
        return None
    if len(said.agreed) != AGREED or len(said.digest) != DIGEST:
        return None
    count, rest = divmod(len(said.recent), ACCOUNT_BYTES)
    if rest or count > min(MOST_RECENT, said.purges):
        return None
    if len(said.echoes) % ECHO or len(said.echoes) > MOST_ECHOES * ECHO:
        return None
    return said
