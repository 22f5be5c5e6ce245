"""Rounds of a fleet, and the lease for using the cache that each limiter derives from them. No I/O and no clock.

Leases as in Gray and Cheriton (1989), granted to each limiter by all others, by rows of a fixed size. Each limiter
publishes a round, which only grows, and its *view digest*: a digest of the members of the fleet with their life
numbers, and of the newest calendar. A limiter advances to round k once it sees all others at k - 1 or more with the
same digest as its own; ``since_round`` is the round at which it adopted that digest. Therefore:

(1) A limiter at round k > ``since_round`` with some digest has seen every other one with that digest at k - 1 or more.
(2) If I see all others with my digest, each beyond its ``since_round``, and the lowest of their rounds is m, then each
    of them has seen my row at m - 1 or more. I first published that at a known time s, so my lease runs until s plus
    the lease's duration.
(3) A limiter that no longer has my digest (another calendar, another member), or that no longer hears me, stops
    advancing. I published what it last saw of me before that moment, so my lease ends one duration after it, on any
    clock that runs at the same rate. A limiter that waits for that end waits 1.1 times as long.

No timer is involved: whether a lease is held is a comparison when a request is served.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Mapping
from typing import NamedTuple

from cypresspulley.closing.options import LEASE_WAIT_FACTOR
from cypresspulley.closing.row import LimiterRow

ROUND_HISTORY = 64  # rounds whose publication times are kept; a lease from an earlier one has long expired
MAX_SEEN_INSTANCES = 4096  # instances of other limiters
MAX_ADOPTED_ROUND = 2**50  # higher rounds are not adopted; no fleet runs long enough to reach this one


class Instance(NamedTuple):
    """One process of a limiter, identified by the limiter's name and the process's life."""

    name: str
    life: int


class Lease:
    """The lease of one limiter.

    ``duration`` and ``step_interval`` are in seconds. A fleet whose limiters agree advances at most one round per
    ``step_interval``.
    """

    def __init__(self, duration: float, step_interval: float) -> None:
        self._duration, self._step_interval = duration, step_interval
        self.round = self.since_round = 0
        self.view_digest = b""
        # The cache may be used before ``expires_at``. By ``acknowledged_at`` this limiter had published the state that
        # all others have seen.
        self.expires_at = self.acknowledged_at = -math.inf
        self.stalled_by = "starting"  # why the lease is not extended; "" while it is
        self._stepped_at = -math.inf
        self._published = deque[tuple[int, float]](maxlen=ROUND_HISTORY)  # rounds with first publication
        self._seen = dict[
            Instance, tuple[int, float]
        ]()  # the highest round of others, and when it was first seen

    def __repr__(self) -> str:
        return (
            f"<Lease at round {self.round} since {self.since_round}, until {self.expires_at:.3f}, "
            f"{self.stalled_by or 'extended'}>"
        )

    def is_held(self, now: float) -> bool:
        return now < self.expires_at

    def set_view_digest(self, now: float, view_digest: bytes) -> None:
        """Set the digest that this limiter has from now on."""
        if view_digest != self.view_digest or not self._published:
            self.view_digest, self.since_round = view_digest, self.round
            self._published.append((self.round, now))

    def record_rows(self, now: float, rows: Mapping[Instance, LimiterRow | None]) -> None:
        """Record the rows of all other limiters that are present, whether they are required or not."""
        for instance, row in rows.items():
            if row is not None and (instance not in self._seen or row.round > self._seen[instance][0]):
                self._seen[instance] = (row.round, now)
        if len(self._seen) > MAX_SEEN_INSTANCES:
            self._seen = {
                instance: seen for instance, seen in self._seen.items() if now < self.peer_expiry(instance)
            }

    def update(self, now: float, others: Mapping[Instance, LimiterRow | None]) -> None:
        """Advance the round and extend the lease by the current rows of all other required limiters.

        A row is None if that limiter has not published a valid one.
        """
        rows = [row for row in others.values() if row is not None and row.view_digest == self.view_digest]
        if len(rows) < len(others):
            self.stalled_by = "cut" if None in others.values() else "disagreed"
            return
        self._catch_up(now, max((row.round for row in rows), default=0))
        self._advance_round(now, [row.round for row in rows])
        if not rows or not all(row.round > row.since_round for row in rows):
            self.stalled_by = "starting"
            return
        self.stalled_by = ""
        self._extend(min(row.round for row in rows) - 1)

    def _catch_up(self, now: float, highest: int) -> None:
        """Adopt the others' round directly after a change of the digest; rule (1) says nothing about that round."""
        if self.round == self.since_round and self.round < highest < MAX_ADOPTED_ROUND:
            self.round = self.since_round = highest
            self._published.append((highest, now))

    def _advance_round(self, now: float, rounds: list[int]) -> None:
        """Apply rule (1). A limiter that is behind advances at once; one that leads waits for the step interval."""
        lowest = min(rounds, default=self.round)
        if lowest < self.round or (
            max(rounds, default=0) <= self.round and now < self._stepped_at + self._step_interval
        ):
            return
        self.round, self._stepped_at = lowest + 1, now
        self._published.append((self.round, now))

    def _extend(self, seen_round: int) -> None:
        """Apply rule (2): all others have seen this limiter at ``seen_round`` or more."""
        published_at = next((at for number, at in self._published if number >= seen_round), None)
        if published_at is None or self._published[0][0] > seen_round:
            return  # the round is older than the history
        self.acknowledged_at = max(self.acknowledged_at, published_at)
        self.expires_at = max(self.expires_at, published_at + self._duration)

    def peer_expiry(self, instance: Instance) -> float:
        """Return the time by which another limiter's lease has expired unless a new row arrives, by rule (3)."""
        seen = self._seen.get(instance)
        return -math.inf if seen is None else seen[1] + LEASE_WAIT_FACTOR * self._duration

    def is_acknowledged_within(self, now: float, seconds: float) -> bool:
        """Return whether all others have seen a state that this limiter published in the last ``seconds``."""
        return now < self.acknowledged_at + seconds

    def seen_instances(self) -> tuple[Instance, ...]:
        """Return the instances whose rows were seen, as far as they are remembered."""
        return tuple(self._seen)
