"""How a limiter follows a book: one table of states, free of I/O and clocks.

The writer publishes changes numbered without gaps through all its epochs, and a beat each second. A change behind a gap
is not taken before event is missing. A higher epoch is another writer: its book replaces the one here. A lower one is a
writer that was replaced and does not know it: whatever it says is dropped. A beat carries a lease; when it is over, the
limiter can no longer know that it has heard of everything, and goes by the lower of the ceiling it knows and the lowest
that any plan of its book has.
"""

from __future__ import annotations

from dataclasses import replace
from enum import Enum

from cypresspulley.plans.book import Book, Change, Stamp, Terms, Version

MAX_CLOCK_SKEW_MS = 200  # milliseconds by which clocks may differ: taken off each lease


class FollowerState(Enum):
    EMPTY = "empty"  # no book yet: the limiter's own settings hold
    CURRENT = "current"
    BEHIND = "behind"  # something is missing, and was asked for
    LAPSED = "lapsed"  # the lease is over


class FollowerEvent(Enum):
    STALE = "stale"  # anything of a lower epoch
    ANOTHER = "another"  # anything of a higher epoch, but its whole book
    BOOK = "book"  # a whole book, of this epoch or a higher one
    NEXT = "next"  # the change behind the last one here
    KNOWN = "known"  # one that is here
    GAP = "gap"  # one further on
    BEAT = "beat"  # nothing is missing
    AHEAD = "ahead"  # a beat that tells of changes which are not here
    OVER = "over"  # the lease is


class FollowerAction(Enum):
    DROP = "drop"  # end the connection, say why
    REPLACE = "replace"
    APPLY = "apply"
    RENEW = "renew"  # the lease, by what the writer sent it with
    ASK_ALL = "ask all"
    ASK_FROM = "ask from"  # behind the last change here
    FALL_BACK = "fall back"
    RECOVER = "recover"  # from the fall-back


TRANSITIONS: dict[tuple[FollowerState, FollowerEvent], tuple[FollowerState, tuple[FollowerAction, ...]]] = {
    (FollowerState.EMPTY, FollowerEvent.ANOTHER): (FollowerState.EMPTY, (FollowerAction.ASK_ALL,)),
    (FollowerState.EMPTY, FollowerEvent.BOOK): (
        FollowerState.CURRENT,
        (FollowerAction.REPLACE, FollowerAction.RENEW),
    ),
    (FollowerState.EMPTY, FollowerEvent.NEXT): (FollowerState.EMPTY, (FollowerAction.ASK_ALL,)),
    (FollowerState.EMPTY, FollowerEvent.GAP): (FollowerState.EMPTY, (FollowerAction.ASK_ALL,)),
    (FollowerState.EMPTY, FollowerEvent.AHEAD): (FollowerState.EMPTY, (FollowerAction.ASK_ALL,)),
    (FollowerState.EMPTY, FollowerEvent.BEAT): (FollowerState.EMPTY, (FollowerAction.ASK_ALL,)),
    (FollowerState.CURRENT, FollowerEvent.BOOK): (
        FollowerState.CURRENT,
        (FollowerAction.REPLACE, FollowerAction.RENEW),
    ),
    (FollowerState.CURRENT, FollowerEvent.NEXT): (FollowerState.CURRENT, (FollowerAction.APPLY,)),
    (FollowerState.CURRENT, FollowerEvent.GAP): (FollowerState.BEHIND, (FollowerAction.ASK_FROM,)),
    (FollowerState.CURRENT, FollowerEvent.AHEAD): (FollowerState.BEHIND, (FollowerAction.ASK_FROM,)),
    (FollowerState.CURRENT, FollowerEvent.BEAT): (FollowerState.CURRENT, (FollowerAction.RENEW,)),
    (FollowerState.CURRENT, FollowerEvent.ANOTHER): (FollowerState.BEHIND, (FollowerAction.ASK_ALL,)),
    (FollowerState.CURRENT, FollowerEvent.OVER): (FollowerState.LAPSED, (FollowerAction.FALL_BACK,)),
    (FollowerState.BEHIND, FollowerEvent.BOOK): (
        FollowerState.CURRENT,
        (FollowerAction.REPLACE, FollowerAction.RENEW),
    ),
    (FollowerState.BEHIND, FollowerEvent.NEXT): (
        FollowerState.BEHIND,
        (FollowerAction.APPLY,),
    ),  # a beat tells when the last one is here
    (FollowerState.BEHIND, FollowerEvent.BEAT): (FollowerState.CURRENT, (FollowerAction.RENEW,)),
    (FollowerState.BEHIND, FollowerEvent.ANOTHER): (FollowerState.BEHIND, (FollowerAction.ASK_ALL,)),
    (FollowerState.BEHIND, FollowerEvent.OVER): (FollowerState.LAPSED, (FollowerAction.FALL_BACK,)),
    (FollowerState.LAPSED, FollowerEvent.BOOK): (
        FollowerState.CURRENT,
        (FollowerAction.REPLACE, FollowerAction.RENEW, FollowerAction.RECOVER),
    ),
    (FollowerState.LAPSED, FollowerEvent.NEXT): (FollowerState.LAPSED, (FollowerAction.APPLY,)),
    (FollowerState.LAPSED, FollowerEvent.GAP): (FollowerState.LAPSED, (FollowerAction.ASK_FROM,)),
    (FollowerState.LAPSED, FollowerEvent.AHEAD): (FollowerState.LAPSED, (FollowerAction.ASK_FROM,)),
    (FollowerState.LAPSED, FollowerEvent.BEAT): (
        FollowerState.CURRENT,
        (FollowerAction.RENEW, FollowerAction.RECOVER),
    ),
    (FollowerState.LAPSED, FollowerEvent.ANOTHER): (FollowerState.LAPSED, (FollowerAction.ASK_ALL,)),
} | {(at, FollowerEvent.STALE): (at, (FollowerAction.DROP,)) for at in FollowerState}


class Follower:
    """A book as one limiter has it. What comes in is what the writer said, with its epoch and its clock."""

    def __init__(self, installation: str) -> None:
        self.state, self.epoch = FollowerState.EMPTY, 0
        self.book = Book(installation)
        self.lease_until = 0  # Unix milliseconds

    def __repr__(self) -> str:
        return f"<Follower {self.state.value}, epoch {self.epoch}, {self.book.last_stamp}, lease until {self.lease_until}>"

    def _transition(self, event: FollowerEvent) -> tuple[FollowerAction, ...]:
        self.state, actions = TRANSITIONS.get((self.state, event), (self.state, ()))
        return actions

    def _compare_epoch(self, epoch: int) -> FollowerEvent | None:
        if epoch == self.epoch:
            return None
        return FollowerEvent.STALE if epoch < self.epoch else FollowerEvent.ANOTHER

    def receive_book(self, epoch: int, book: Book, sent: int, lease: int) -> tuple[FollowerAction, ...]:
        """A whole book. One of another installation is dropped, whatever its epoch."""
        if epoch < self.epoch or book.installation != self.book.installation:
            return self._transition(FollowerEvent.STALE)
        if epoch == self.epoch and book.last_stamp < self.book.last_stamp:
            return ()  # sent before what is here
        actions = self._transition(FollowerEvent.BOOK)
        self.epoch, self.book = epoch, book
        self._renew_lease(sent, lease)
        return actions

    def receive_change(self, epoch: int, change: Change) -> tuple[FollowerAction, ...]:
        """One change; what is missing before it is asked for first."""
        if (epoch_event := self._compare_epoch(epoch)) is not None:
            return self._transition(epoch_event)
        last = self.book.last_stamp.seq
        if change.stamp.seq <= last:
            return self._transition(FollowerEvent.KNOWN)
        if change.stamp.seq > last + 1:
            return self._transition(FollowerEvent.GAP)
        actions = self._transition(FollowerEvent.NEXT)
        if FollowerAction.APPLY in actions:
            self.book = self.book.with_change(change)
        return actions

    def receive_heartbeat(self, epoch: int, last: Stamp, sent: int, lease: int) -> tuple[FollowerAction, ...]:
        """The writer lives, and its newest change is ``last``."""
        if (epoch_event := self._compare_epoch(epoch)) is not None:
            return self._transition(epoch_event)
        actions = self._transition(
            FollowerEvent.BEAT if last <= self.book.last_stamp else FollowerEvent.AHEAD
        )
        if FollowerAction.RENEW in actions:
            self._renew_lease(sent, lease)
        return actions

    def _renew_lease(self, sent: int, lease: int) -> None:
        self.lease_until = max(self.lease_until, sent + lease - MAX_CLOCK_SKEW_MS)

    def check_lease(self, now: int) -> tuple[FollowerAction, ...]:
        """Time passes: the lease may be over."""
        over = self.state in (FollowerState.CURRENT, FollowerState.BEHIND) and now >= self.lease_until
        return self._transition(FollowerEvent.OVER) if over else ()

    def binding_version(self, account: str, now: int, fallback: str = "") -> Version | None:
        """What binds a request of an account now; a lapsed lease lowers its ceiling."""
        found = self.book.binding_version(account, now, fallback)
        return None if found is None else self.with_fallback_ceiling(found, now)

    def with_fallback_ceiling(self, version: Version, now: int) -> Version:
        """A version as it binds here: with the lower ceiling once the lease is over."""
        if self.state is not FollowerState.LAPSED:
            return version
        return replace(version, terms=self._lower_terms(version.terms, now))

    def _lower_terms(self, terms: Terms, now: int) -> Terms:
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
