"""Rounds of a fleet, and the lease to keep that each of its limiters draws from them. No I/O and no clock.

Leases as in Gray and Cheriton (1989), granted by all to each, through rows of a fixed size. Each limiter says a round,
which only grows, and what it *agrees* to: a digest of who belongs to the fleet, in which life, and of the newest
calendar. It takes the step to round k once it sees all others at k - 1 or more, agreeing to the same as itself;
``since`` is the round at which it began to agree to that. Hence:

(1) A limiter at (agreed, k) with k > since has seen each other one, agreeing to the same, at k - 1 or more.
(2) So if I see all others agree with me, each beyond its ``since``, and the least of their rounds is m, each has seen
    my row at m - 1 or more. I first said that at a time s, which I noted: my lease runs to s + ``lease``.
(3) Whoever stops agreeing with me (another calendar, another member), or no longer hears me, stops stepping. What it
    saw of me last was said before that, so my lease ends by then + ``lease``, on any clock that runs at the same rate;
    whoever waits for that end waits for 1.1 times as long.

Nothing here needs a timer: whether a lease holds is a comparison at the moment of serving.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Mapping
from typing import NamedTuple

from cypresspulley.closing.options import LEASE_WAIT_FACTOR
from cypresspulley.closing.row import LimiterRow

ROUNDS = 64  # of which the times are kept: a lease that goes back further has run out long since
MOST_SEEN = 4096  # lives of others
MOST_ROUND = 2**50  # that is gone along with: no fleet lives for so long


class Life(NamedTuple):
    """One life of one limiter."""

    name: str
    life: int


class Lease:
    """``length`` and ``step`` in seconds; a fleet that agrees takes a step each ``step`` at most."""

    def __init__(self, length: float, step: float) -> None:
        self._length, self._step = length, step
        self.round = self.since = 0
        self.agreed = b""
        self.expires_at = (
            self.acknowledged_at
        ) = -math.inf  # it may keep before ``until``; all had heard it at ``base``
        self.cause = "starting"  # why it does not grow, in a word
        self._stepped = -math.inf
        self._said = deque[tuple[int, float]](maxlen=ROUNDS)  # a round, and when it was first said
        self._seen = dict[Life, tuple[int, float]]()  # of others: a round, and when it was first seen

    def __repr__(self) -> str:
        return f"<Lease at round {self.round} since {self.since}, until {self.expires_at:.3f}, {self.cause or 'grows'}>"

    def is_held(self, now: float) -> bool:
        return now < self.expires_at

    def agree(self, now: float, agreed: bytes) -> None:
        """What this limiter agrees to from now on."""
        if agreed != self.agreed or not self._said:
            self.agreed, self.since = agreed, self.round
            self._said.append((self.round, now))

    def see(self, now: float, rows: Mapping[Life, LimiterRow | None]) -> None:
        """The rows of all others that are there, needed or not."""
        for life, said in rows.items():
            if said is not None and (life not in self._seen or said.round > self._seen[life][0]):
                self._seen[life] = (said.round, now)
        if len(self._seen) > MOST_SEEN:
            self._seen = {life: seen for life, seen in self._seen.items() if now < self.out(life)}

    def hear(self, now: float, others: Mapping[Life, LimiterRow | None]) -> None:
        """The rows of all others that are needed, as they are now; None for one that says nothing."""
        rows = [said for said in others.values() if said is not None and said.view_digest == self.agreed]
        if len(rows) < len(others):
            self.cause = "cut" if None in others.values() else "disagreed"
            return
        self._catch_up(now, max((said.round for said in rows), default=0))
        self._take_step(now, [said.round for said in rows])
        if not rows or not all(said.round > said.since_round for said in rows):
            self.cause = "starting"
            return
        self.cause = ""
        self._extend(min(said.round for said in rows) - 1)

    def _catch_up(self, now: float, most: int) -> None:
        """Who has just begun to agree begins where the others are: rule (1) says nothing of that round."""
        if self.round == self.since and self.round < most < MOST_ROUND:
            self.round = self.since = most
            self._said.append((most, now))

    def _take_step(self, now: float, rounds: list[int]) -> None:
        """Rule (1). Who is behind follows at once; who leads waits for ``step``."""
        least = min(rounds, default=self.round)
        if least < self.round or (max(rounds, default=0) <= self.round and now < self._stepped + self._step):
            return
        self.round, self._stepped = least + 1, now
        self._said.append((self.round, now))

    def _extend(self, heard: int) -> None:
        """Rule (2): all have heard this limiter say ``heard`` or more."""
        said = next((at for number, at in self._said if number >= heard), None)
        if said is None or self._said[0][0] > heard:
            return  # so long ago that it is forgotten
        self.acknowledged_at = max(self.acknowledged_at, said)
        self.expires_at = max(self.expires_at, said + self._length)

    def out(self, life: Life) -> float:
        """The moment by which another's lease has run out unless it is heard of again: rule (3)."""
        seen = self._seen.get(life)
        return -math.inf if seen is None else seen[1] + LEASE_WAIT_FACTOR * self._length

    def counted(self, now: float, seconds: float) -> bool:
        """Whether all others had heard of this limiter within so many seconds."""
        return now < self.acknowledged_at + seconds

    def known(self) -> tuple[Life, ...]:
        """All whose row was ever seen, as far as that is remembered."""
        return tuple(self._seen)
