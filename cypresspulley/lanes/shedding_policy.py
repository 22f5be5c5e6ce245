"""Shedding policies: which part of each lane is admitted, and until when. All limiters converge on the same policy.

Limiters exchange policies in their rows, as a replicated register. During one rotation period the same accounts are
shed (``rotation`` determines which), while the thresholds may be revised. Each revision is one immutable value, made by
one limiter. Of two policies the one with the larger ``key`` applies. This is a total order, so taking the larger is
commutative, associative and idempotent, and limiters that have received the same rows apply the same policy. The key
contains a hash of the author, so that two policies made at the same moment by different limiters can be distinguished.
"""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import blake2b

THRESHOLD_SCALE = 1000  # the threshold at which the whole lane is admitted
AUTHOR_IDS = 65_536
MAX_REVISION = 2**32 - 1


@dataclass(frozen=True, slots=True)
class SheddingPolicy:
    """One revision of the thresholds of all lanes.

    ``within_quota`` and ``over_quota`` are the thousandths of each lane that are admitted, for requests within their
    account's quota and beyond it. ``ends_at_ms`` is the end of the rotation period in Unix milliseconds, by the clock
    of the limiter that began it; 0 marks an open policy, which admits everything and has no end. ``rotation`` is the
    number of the rotation period. ``capacity_tenths`` is the estimated capacity of the whole fleet, in tenths of units
    a second.
    """

    revision: int
    author: int
    rotation: int
    ends_at_ms: int
    capacity_tenths: int
    within_quota: tuple[int, ...]
    over_quota: tuple[int, ...]

    @property
    def key(self) -> tuple[int, int]:
        return self.revision, self.author

    @property
    def history_id(self) -> int:
        """Both parts of the key as one number, as it is written to the history."""
        return self.revision * AUTHOR_IDS + self.author

    @property
    def is_open(self) -> bool:
        return self.ends_at_ms == 0

    def supersedes(self, other: SheddingPolicy) -> bool:
        """Return whether this policy applies where both are known.

        Different contents under one key are a fault; the smaller contents apply then.
        """
        if self.key != other.key:
            return self.key > other.key
        return (self.within_quota, self.over_quota, self.ends_at_ms) < (
            other.within_quota,
            other.over_quota,
            other.ends_at_ms,
        )


def initial_policy(lanes: int) -> SheddingPolicy:
    """Return the policy that applies before any limiter has made one."""
    return SheddingPolicy(0, 0, 0, 0, 0, (THRESHOLD_SCALE,) * lanes, (THRESHOLD_SCALE,) * lanes)


def author_id(name: str, life: int) -> int:
    """Return a limiter's part of the keys of the policies that it makes."""
    return int.from_bytes(blake2b(f"{name} {life}".encode(), digest_size=2).digest(), "big")


def open_policy(before: SheddingPolicy, author: int) -> SheddingPolicy:
    """Return the successor of a policy that admits everything again."""
    lanes = len(before.within_quota)
    revision = min(MAX_REVISION, before.revision + 1)
    return SheddingPolicy(
        revision,
        author,
        before.rotation,
        0,
        before.capacity_tenths,
        (THRESHOLD_SCALE,) * lanes,
        (THRESHOLD_SCALE,) * lanes,
    )


def revise_policy(
    before: SheddingPolicy,
    author: int,
    ends_at: float,
    capacity: float,
    within_quota: tuple[float, ...],
    over_quota: tuple[float, ...],
) -> SheddingPolicy:
    """Return the successor of a policy, with the admitted shares of the lanes as numbers from 0 to 1.

    ``ends_at`` is the Unix time in seconds at which a rotation period that begins with this policy ends; 0 continues
    the current one. ``capacity`` is in units a second.
    """

    def thresholds(shares: tuple[float, ...]) -> tuple[int, ...]:
        return tuple(max(0, min(THRESHOLD_SCALE, round(share * THRESHOLD_SCALE))) for share in shares)

    tenths = max(0, min(2**32 - 1, round(capacity * 10)))
    revision = min(MAX_REVISION, before.revision + 1)
    rotation = min(MAX_REVISION, before.rotation + (ends_at > 0))
    ends_at_ms = max(1, round(ends_at * 1000)) if ends_at > 0 else before.ends_at_ms
    return SheddingPolicy(
        revision, author, rotation, ends_at_ms, tenths, thresholds(within_quota), thresholds(over_quota)
    )
