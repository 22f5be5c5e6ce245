"""Sums up what the requests and responses of all clients hold in memory, and ends the largest beyond a bound."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

DEFAULT_LIMIT_BYTES = 32 * 1024 * 1024
TARGET_SHARE = 0.9  # of the bound, down to which holders are ended


class Holder(Protocol):
    """A client connection."""

    @property
    def held_bytes(self) -> int: ...

    def shed(self) -> None:
        """End what holds the memory: answer an error, or close."""
        ...


class MemoryLedger:
    """The bytes that are held, and their bound."""

    def __init__(self) -> None:
        self.limit_bytes = DEFAULT_LIMIT_BYTES
        self.held_bytes = 0

    def __repr__(self) -> str:
        return f"<MemoryLedger {self.held_bytes} of {self.limit_bytes} bytes>"

    def adjust(self, change: int) -> None:
        """Count a change of what a holder holds."""
        self.held_bytes += change

    @property
    def is_exceeded(self) -> bool:
        return self.held_bytes > self.limit_bytes

    def shed(self, holders: Iterable[Holder]) -> None:
        """End the largest holders, the last of equals first, until the sum is below the bound again."""
        newest_first = reversed(list(holders))
        for holder in sorted(newest_first, key=lambda each: -each.held_bytes):
            if self.held_bytes <= TARGET_SHARE * self.limit_bytes or holder.held_bytes == 0:
                return
            holder.shed()
