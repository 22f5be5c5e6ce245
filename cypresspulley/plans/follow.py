"""How a limiter follows a book: one table of states, free of I/O and clocks.

The writer publishes changes numbered without gaps through all its epochs, and a beat each second. A change behind a gap
is not taken before what is missing. A higher epoch is another writer: its book replaces the one here. A lower one is a
writer that was replaced and does not know it: whatever it says is dropped. A beat carries a lease; when it is over, the
limiter can no longer know that it has heard of everything, and goes by the lower of the ceiling it knows and the lowest
that any plan of its book has.
"""

from __future__ import annotations

from dataclasses import replace
from enum import Enum

from cypresspulley.plans.book import Book, Change, Stamp, Terms, Version

SKEW = 200  # milliseconds by which clocks may differ: taken off each lease


class At(Enum):
    EMPTY = "empty"  # no book yet: the limiter's own settings hold
    CURRENT = "current"
    BEHIND = "behind"  # something is missing, and was asked for
    LAPSED = "lapsed"  # the lease is over


class Heard(Enum):
    STALE = "stale"  # anything of a lower epoch
    ANOTHER = "another"  # anything of a higher epoch, but its whole book
    BOOK = "book"  # a whole book, of this epoch or a higher one
    NEXT = "next"  # the change behind the last one here
    KNOWN = "known"  # one that is here
    GAP = "gap"  # one further on
    BEAT = "beat"  # nothing is missing
    AHEAD = "ahead"  # a beat that tells of changes which are not here
    OVER = "over"  # the lease is


class Do(Enum):
    DROP = "drop"  # end the connection, say why
    REPLACE = "replace"
    APPLY = "apply"
    RENEW = "renew"  # the lease, by what the writer sent it with
    ASK_ALL = "ask all"
    ASK_FROM = "ask from"  # behind the last change here
    FALL_BACK = "fall back"
    RECOVER = "recover"  # from the fall-back


TABLE: dict[tuple[At, Heard], tuple[At, tuple[Do, ...]]] = {
    (At.EMPTY, Heard.ANOTHER): (At.EMPTY, (Do.ASK_ALL,)),
    (At.EMPTY, Heard.BOOK): (At.CURRENT, (Do.REPLACE, Do.RENEW)),
    (At.EMPTY, Heard.NEXT): (At.EMPTY, (Do.ASK_ALL,)),
    (At.EMPTY, Heard.GAP): (At.EMPTY, (Do.ASK_ALL,)),
    (At.EMPTY, Heard.AHEAD): (At.EMPTY, (Do.ASK_ALL,)),
    (At.EMPTY, Heard.BEAT): (At.EMPTY, (Do.ASK_ALL,)),
    (At.CURRENT, Heard.BOOK): (At.CURRENT, (Do.REPLACE, Do.RENEW)),
    (At.CURRENT, Heard.NEXT): (At.CURRENT, (Do.APPLY,)),
    (At.CURRENT, Heard.GAP): (At.BEHIND, (Do.ASK_FROM,)),
    (At.CURRENT, Heard.AHEAD): (At.BEHIND, (Do.ASK_FROM,)),
    (At.CURRENT, Heard.BEAT): (At.CURRENT, (Do.RENEW,)),
    (At.CURRENT, Heard.ANOTHER): (At.BEHIND, (Do.ASK_ALL,)),
    (At.CURRENT, Heard.OVER): (At.LAPSED, (Do.FALL_BACK,)),
    (At.BEHIND, Heard.BOOK): (At.CURRENT, (Do.REPLACE, Do.RENEW)),
    (At.BEHIND, Heard.NEXT): (At.BEHIND, (Do.APPLY,)),  # a beat tells when the last one is here
    (At.BEHIND, Heard.BEAT): (At.CURRENT, (Do.RENEW,)),
    (At.BEHIND, Heard.ANOTHER): (At.BEHIND, (Do.ASK_ALL,)),
    (At.BEHIND, Heard.OVER): (At.LAPSED, (Do.FALL_BACK,)),
    (At.LAPSED, Heard.BOOK): (At.CURRENT, (Do.REPLACE, Do.RENEW, Do.RECOVER)),
    (At.LAPSED, Heard.NEXT): (At.LAPSED, (Do.APPLY,)),
    (At.LAPSED, Heard.GAP): (At.LAPSED, (Do.ASK_FROM,)),
    (At.LAPSED, Heard.AHEAD): (At.LAPSED, (Do.ASK_FROM,)),
    (At.LAPSED, Heard.BEAT): (At.CURRENT, (Do.RENEW, Do.RECOVER)),
    (At.LAPSED, Heard.ANOTHER): (At.LAPSED, (Do.ASK_ALL,)),
} | {(at, Heard.STALE): (at, (Do.DROP,)) for at in At}


class Follower:
    """A book as one limiter has it. What comes in is what the writer said, with its epoch and its clock."""

    def __init__(self, installation: str) -> None:
        self.at, self.epoch = At.EMPTY, 0
        self.book = Book(installation)
        self.lease_until = 0  # Unix milliseconds

    def __repr__(self) -> str:
        return f"<Follower {self.at.value}, epoch {self.epoch}, {self.book.last}, lease until {self.lease_until}>"

    def _hear(self, what: Heard) -> tuple[Do, ...]:
        self.at, does = TABLE.get((self.at, what), (self.at, ()))
        return does

    def _old_or_new(self, epoch: int) -> Heard | None:
        if epoch == self.epoch:
            return None
        return Heard.STALE if epoch < self.epoch else Heard.ANOTHER

    def whole(self, epoch: int, book: Book, sent: int, lease: int) -> tuple[Do, ...]:
        """A whole book. One of another installation is dropped, whatever its epoch."""
        if epoch < self.epoch or book.installation != self.book.installation:
            return self._hear(Heard.STALE)
        if epoch == self.epoch and book.last < self.book.last:
            return ()  # sent before what is here
        does = self._hear(Heard.BOOK)
        self.epoch, self.book = epoch, book
        self._renew(sent, lease)
        return does

    def change(self, epoch: int, change: Change) -> tuple[Do, ...]:
        """One change; what is missing before it is asked for first."""
        if (other := self._old_or_new(epoch)) is not None:
            return self._hear(other)
        last = self.book.last.seq
        if change.stamp.seq <= last:
            return self._hear(Heard.KNOWN)
        if change.stamp.seq > last + 1:
            return self._hear(Heard.GAP)
        does = self._hear(Heard.NEXT)
        if Do.APPLY in does:
            self.book = self.book.taking(change)
        return does

    def beat(self, epoch: int, last: Stamp, sent: int, lease: int) -> tuple[Do, ...]:
        """The writer lives, and its newest change is ``last``."""
        if (other := self._old_or_new(epoch)) is not None:
            return self._hear(other)
        does = self._hear(Heard.BEAT if last <= self.book.last else Heard.AHEAD)
        if Do.RENEW in does:
            self._renew(sent, lease)
        return does

    def _renew(self, sent: int, lease: int) -> None:
        self.lease_until = max(self.lease_until, sent + lease - SKEW)

    def tick(self, now: int) -> tuple[Do, ...]:
        """Time passes: the lease may be over."""
        over = self.at in (At.CURRENT, At.BEHIND) and now >= self.lease_until
        return self._hear(Heard.OVER) if over else ()

    def binding(self, account: str, now: int, fallback: str = "") -> Version | None:
        """What binds a request of an account now; a lapsed lease lowers its ceiling."""
        found = self.book.terms(account, now, fallback)
        return None if found is None else self.lowered(found, now)

    def lowered(self, version: Version, now: int) -> Version:
        """A version as it binds here: with the lower ceiling once the lease is over."""
        if self.at is not At.LAPSED:
            return version
        return replace(version, terms=self._lowered(version.terms, now))

    def _lowered(self, terms: Terms, now: int) -> Terms:
        rate, burst = self.book.lowest_ceiling(now)
        if rate <= 0:
            return terms
        own = terms.ceiling_rate > 0
        rate = min(rate, terms.ceiling_rate) if own else rate
        burst = min(burst, terms.ceiling_burst) if own else burst
        # The quota never stands above the ceiling.
        return replace(
            terms,
            rate=min(terms.rate, rate),
            burst=min(terms.burst, burst),
            ceiling_rate=rate,
            ceiling_burst=burst,
        )
