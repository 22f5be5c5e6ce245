"""Purges, numbered per issuing process, as they are published in rows of a fixed size. No I/O and no clock.

A row states how many purges its owner has issued in this life and names the accounts of the last of them. A limiter
that reads it knows how many of that owner's purges it has applied already. If more are new than the row names, it has
to drop its whole cache.
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

MAX_ISSUERS = 4096


def encode_ack(issuer: Instance, count: int) -> bytes:
    """Encode the acknowledgement that the first ``count`` purges of an issuer have been applied."""
    return blake2s(repr(tuple(issuer)).encode(), digest_size=ACK_ISSUER_BYTES).digest() + count.to_bytes(
        ACK_BYTES - ACK_ISSUER_BYTES
    )


class IssuedPurges:
    """The purges that this limiter has issued."""

    def __init__(self) -> None:
        self.count = 0
        self._recent = deque[bytes](maxlen=MAX_RECENT_PURGES)

    def issue(self, account: str) -> int:
        """Count a purge of ``account`` and return its number."""
        self.count += 1
        self._recent.append(pack_account(account))
        return self.count

    @property
    def recent(self) -> bytes:
        """The packed accounts of the last purges, newest last."""
        return b"".join(self._recent)


class AppliedPurges:
    """The number of purges of each other limiter that have been applied here."""

    def __init__(self) -> None:
        self._counts = dict[Instance, int]()  # in the order of the last change
        self.acks = b""  # for this limiter's row: acknowledgements of the purges applied last

    def collect_new(self, issuer: Instance, row: LimiterRow) -> tuple[list[tuple[int, str]], bool]:
        """Count the purges that are new in a row as applied.

        Return their numbers and accounts, and whether there were more whose accounts the row does not name.
        """
        applied = self._counts.get(issuer, 0)
        if row.purge_count <= applied:
            return [], False
        self._counts.pop(issuer, None)
        self._counts[issuer] = row.purge_count
        last = list(self._counts)[-MAX_ACKS:]
        self.acks = b"".join(encode_ack(instance, self._counts[instance]) for instance in last)
        accounts = row.recent_accounts
        first = row.purge_count - len(accounts) + 1
        new = [(first + at, account) for at, account in enumerate(accounts) if first + at > applied]
        return new, applied + 1 < first

    def count(self, issuer: Instance) -> int:
        """Return how many of an issuer's purges have been applied."""
        return self._counts.get(issuer, 0)

    def prune(self, present: set[Instance]) -> None:
        """Bound the table by dropping issuers that are no longer present and so issue no further purges."""
        if len(self._counts) > MAX_ISSUERS:
            self._counts = {
                instance: count for instance, count in self._counts.items() if instance in present
            }
