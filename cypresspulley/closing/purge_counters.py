"""Purges numbered by issuer and life, as they travel in rows of a fixed size. No I/O and no clock.

A row says how many purges its owner has issued in this life and names the accounts of the last of them. Who sees it
knows what it has applied of that owner already; where more are new than are named, everything that is kept goes.
"""

from __future__ import annotations

from collections import deque
from hashlib import blake2s

from cypresspulley.closing.lease import Instance
from cypresspulley.closing.row import (
    ACK_BYTES,
    ACK_ISSUER_BYTES,
    MAX_ACKS,
    MAX_RECENT_PURGES,
    LimiterRow,
    pack_account,
)

MOST_ISSUERS = 4096


def echo(issuer: Instance, count: int) -> bytes:
    """That the first so many purges of an issuer are applied."""
    return blake2s(repr(tuple(issuer)).encode(), digest_size=ACK_ISSUER_BYTES).digest() + count.to_bytes(
        ACK_BYTES - ACK_ISSUER_BYTES
    )


class Issued:
    """This limiter's own."""

    def __init__(self) -> None:
        self.count = 0
        self._recent = deque[bytes](maxlen=MAX_RECENT_PURGES)

    def issue(self, account: str) -> int:
        """Number one more."""
        self.count += 1
        self._recent.append(pack_account(account))
        return self.count

    @property
    def recent(self) -> bytes:
        return b"".join(self._recent)


class Applied:
    """What was applied here of others'."""

    def __init__(self) -> None:
        self._counts = dict[Instance, int]()  # whose news came last stands last
        self.echoes = b""  # for this limiter's row: what it was the last to apply

    def hear(self, issuer: Instance, said: LimiterRow) -> tuple[list[tuple[int, str]], bool]:
        """Numbers and accounts that are new in a row, and whether there were more of which it names no account."""
        done = self._counts.get(issuer, 0)
        if said.purge_count <= done:
            return [], False
        self._counts.pop(issuer, None)
        self._counts[issuer] = said.purge_count
        last = list(self._counts)[-MAX_ACKS:]
        self.echoes = b"".join(echo(life, self._counts[life]) for life in last)
        accounts = said.recent_accounts
        first = said.purge_count - len(accounts) + 1
        new = [(first + at, account) for at, account in enumerate(accounts) if first + at > done]
        return new, done + 1 < first

    def count(self, issuer: Instance) -> int:
        """How many of an issuer's purges were applied."""
        return self._counts.get(issuer, 0)

    def forget(self, present: set[Instance]) -> None:
        """Bound the table: an issuer that is gone says nothing more."""
        if len(self._counts) > MOST_ISSUERS:
            self._counts = {life: count for life, count in self._counts.items() if life in present}
