"""The state machine of a limiter that follows a plan book. No I/O; times come from the caller.

The writer publishes changes, numbered without gaps across all its epochs, and a heartbeat each second. A change after a
gap is not applied until the missing ones have arrived. A higher epoch belongs to a new writer, whose book replaces the
local one. A lower epoch belongs to a writer that was replaced and does not know it: its messages are dropped. A
heartbeat carries a lease. When the lease expires, the limiter can no longer know that it has every change, and applies
the lower of an account's ceiling and the lowest ceiling of any plan in its book.
"""

from __future__ import annotations

from dataclasses import replace
from enum import Enum

from cypresspulley.plans.book import Book, Change, Stamp, Terms, Version

MAX_CLOCK_SKEW_MS = 200  # milliseconds by which clocks may differ; subtracted from each lease


class FollowerState(Enum):
    EMPTY = "empty"  # no book yet; the limiter's own settings apply
    CURRENT = "current"
    BEHIND = "behind"  # changes are missing and have been requested
    LAPSED = "lapsed"  # the lease has expired


class FollowerEvent(Enum):
    STALE = "stale"  # any message of a lower epoch
    ANOTHER = "another"  # any message of a higher epoch except a whole book
    BOOK = "book"  # a whole book of this epoch or a higher one
    NEXT = "next"  # the change after the last one held
    KNOWN = "known"  # a change that is already held
    GAP = "gap"  # a change after missing ones
    BEAT = "beat"  # a heartbeat; no change is missing
    AHEAD = "ahead"  # a heartbeat that names changes which are missing
    OVER = "over"  # the lease expired


class FollowerAction(Enum):
    DROP = "drop"  # end the connection with an error
    REPLACE = "replace"
    APPLY = "apply"
    RENEW = "renew"  # extend the lease by the duration that the writer sent
    ASK_ALL = "ask all"
    ASK_FROM = "ask from"  # request the changes after the last one held
    FALL_BACK = "fall back"
    RECOVER = "recover"  # stop applying the fallback ceiling


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
    # Only a heartbeat confirms that the last missing change has arrived.
    (FollowerState.BEHIND, FollowerEvent.NEXT): (FollowerState.BEHIND, (FollowerAction.APPLY,)),
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
    """A limiter's copy of a plan book, updated by the writer's messages.

    ``sent`` (Unix milliseconds by the writer's clock) and ``lease`` (milliseconds) are those of the message.
    """

    def __init__(self, installation: str) -> None:
        self.state, self.epoch = FollowerState.EMPTY, 0
        self.book = Book(installation)
        self.lease_until = 0  # Unix milliseconds

    def __repr__(self) -> str:
        return (
            f"<Follower {self.state.value}, epoch {self.epoch}, {self.book.last_stamp}, "
            f"lease until {self.lease_until}>"
        )

    def _transition(self, event: FollowerEvent) -> tuple[FollowerAction, ...]:
        self.state, actions = TRANSITIONS.get((self.state, event), (self.state, ()))
        return actions

    def _compare_epoch(self, epoch: int) -> FollowerEvent | None:
        if epoch == self.epoch:
            return None
        return FollowerEvent.STALE if epoch < self.epoch else FollowerEvent.ANOTHER

    def receive_book(self, epoch: int, book: Book, sent: int, lease: int) -> tuple[FollowerAction, ...]:
        """Handle a whole book. A book of another installation is dropped, whatever its epoch."""
        if epoch < self.epoch or book.installation != self.book.installation:
            return self._transition(FollowerEvent.STALE)
        if epoch == self.epoch and book.last_stamp < self.book.last_stamp:
            return ()  # older than the book held
        actions = self._transition(FollowerEvent.BOOK)
        self.epoch, self.book = epoch, book
        self._renew_lease(sent, lease)
        return actions

    def receive_change(self, epoch: int, change: Change) -> tuple[FollowerAction, ...]:
        """Handle a change. Changes that are missing before it are requested first."""
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
        """Handle a heartbeat: the writer is alive and its newest change is ``last``."""
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
        """Check at ``now`` (Unix milliseconds) whether the lease has expired."""
        expired = self.state in (FollowerState.CURRENT, FollowerState.BEHIND) and now >= self.lease_until
        return self._transition(FollowerEvent.OVER) if expired else ()

    def binding_version(self, account: str, now: int, fallback: str = "") -> Version | None:
        """Return the version that limits an account now; after the lease expired, with the fallback ceiling."""
        found = self.book.binding_version(account, now, fallback)
        return None if found is None else self.with_fallback_ceiling(found, now)

    def with_fallback_ceiling(self, version: Version, now: int) -> Version:
        """Return the version as this limiter applies it: with the lower ceiling once the lease has expired."""
        if self.state is not FollowerState.LAPSED:
            return version
        return replace(version, terms=self._lower_terms(version.terms, now))

    def _lower_terms(self, terms: Terms, now: int) -> Terms:
        rate, burst = self.book.lowest_ceiling(now)
        if rate <= 0:
            return terms
        has_ceiling = terms.ceiling_rate > 0
        rate = min(rate, terms.ceiling_rate) if has_ceiling else rate
        burst = min(burst, terms.ceiling_burst) if has_ceiling else burst
        # The quota never stands above the ceiling.
        return replace(
            terms,
            rate=min(terms.rate, rate),
            burst=min(terms.burst, burst),
            ceiling_rate=rate,
            ceiling_burst=burst,
        )
