"""Shares of the memory: how much each part of a limiter may hold. No I/O.

What the process needs at rest is measured at its start. The connections that it may open come off the rest first, and
what remains is divided among the consumers that clients and servers can fill.
"""

from __future__ import annotations

from dataclasses import dataclass

BYTES_PER_MEGABYTE = 1024 * 1024
DEFAULT_LIMIT_MB = 192  # the most that the platform gives
CONNECTION_BYTES = 5 * 1024  # of a client's connection and of the one to its server, with their parsers
ACCOUNT_BYTES = 1024  # of an account's record with its keys
MIN_ROOM_BYTES = 2 * BYTES_PER_MEGABYTE  # without it no limiter works
MAX_TRANSFER_BYTES = 24 * BYTES_PER_MEGABYTE
MIN_ACCOUNTS = 500
MAX_ACCOUNTS = 20_000  # each tick of the decisions visits all of them


@dataclass(frozen=True, slots=True)
class Consumer:
    """A part of the limiter that others can fill, and its share of the memory."""

    name: str
    share: float
    at_bound: str


REQUESTS = Consumer(
    "requests: heads, small bodies, and responses that clients do not read", 0.25, "the largest is ended"
)
TRANSFERS = Consumer("transfers: large bodies in both directions", 0.3, "reading pauses")
ACCOUNTS = Consumer("accounts", 0.2, "the one that was idle for longest is dropped, or a new one is refused")
# The rest is for fragmentation, messages, lists of discovery, calls to the counter, the log and a takeover.
CONSUMERS = (REQUESTS, TRANSFERS, ACCOUNTS)


@dataclass(frozen=True, slots=True)
class MemoryBudget:
    """The bounds of the consumers."""

    request_bytes: int
    transfer_bytes: int
    accounts: int  # number of records


def find_least_limit(resident_bytes: int) -> int:
    """Return the limit in megabytes without which a process that takes ``resident_bytes`` at rest cannot work."""
    return -(-(resident_bytes + MIN_ROOM_BYTES) // BYTES_PER_MEGABYTE)


def divide_memory(
    limit_bytes: int, resident_bytes: int, connections: int, processes: int = 1
) -> MemoryBudget:
    """Divide what ``limit_bytes`` leaves beside a process at rest and ``connections`` of clients.

    The two ``processes`` of an upgrade share the limit; the budget is that of one of them.
    """
    room = max(MIN_ROOM_BYTES, limit_bytes // processes - resident_bytes)
    room = max(room // 2, room - connections * CONNECTION_BYTES // processes)
    accounts = int(ACCOUNTS.share * room) // ACCOUNT_BYTES
    return MemoryBudget(
        request_bytes=int(REQUESTS.share * room),
        transfer_bytes=min(MAX_TRANSFER_BYTES, int(TRANSFERS.share * room)),
        accounts=max(MIN_ACCOUNTS, min(MAX_ACCOUNTS, accounts)),
    )
