"""The answer cache of one limiter, invalidated at business close: joins cache, eligibility, purges and calendars.

The decisions are made in the other modules of this package. Here they are connected with the fleet view, a timer that
polls it, and the history. The timer publishes and receives state; correctness does not depend on it.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from hashlib import blake2s
from typing import TypeVar

from cypresspulley.closing.bypass import BypassReason
from cypresspulley.closing.cache import AnswerCache, CachedAnswer, CacheKey, SendStamp
from cypresspulley.closing.calendar import Calendar
from cypresspulley.closing.calendar_store import AddResult, encode_calendar
from cypresspulley.closing.calendar_sync import CalendarSync
from cypresspulley.closing.closing_tracker import ClosingEvent, ClosingTracker
from cypresspulley.closing.eligibility import Eligibility
from cypresspulley.closing.node import make_caching_node
from cypresspulley.closing.options import Options
from cypresspulley.closing.peers import Peers
from cypresspulley.closing.purge_coordinator import PurgeCoordinator, validate_account
from cypresspulley.fleet.records import FleetView
from cypresspulley.histories.events import Kind
from cypresspulley.histories.writer import AnyHistory
from cypresspulley.net.node import Node

log = logging.getLogger(__name__)

N = TypeVar("N", bound=Node)

POLL_INTERVAL_SECONDS = 0.1  # time between two polls of the fleet view
MAX_CLOCK_READ_SECONDS = (
    0.001  # time for reading both clocks; a longer one means that the process was held up
)
UNFINISHED_WRITE_SECONDS = (
    5.0  # time for which a write with an unknown outcome may still be running at a server
)
ALL_ACCOUNTS = "*"  # stands for all accounts in the history


class ClosingCache:
    """The cache as the node and the operators' interface use it.

    ``clock`` is monotonic; ``wall`` may step. ``configured_limiters`` is the number of limiters that the operators'
    file names, this one included. If it is 1, there is no other limiter to agree with until one is seen.
    """

    def __init__(
        self, options: Options, view: FleetView, clock: Callable[[], float], wall: Callable[[], float],
        history: AnyHistory, configured_limiters: int = 2,
    ) -> None:  # fmt: skip
        self.options = options
        self.cache = AnswerCache(options.most_answers, options.most_bytes, options.keep_seconds)
        self._clock, self._wall, self._history = clock, wall, history
        self.peers = Peers(view, options, configured_limiters)
        self.eligibility = Eligibility(options, view, self.peers.is_alone)
        self.purges = PurgeCoordinator(self.peers, self.eligibility.lease, history, options.lost_seconds)
        self.calendar_sync = CalendarSync(
            options, view, self.eligibility.store, history, self.peers.is_alone, self._purge_all
        )
        self.bypass_reason = BypassReason.STARTING
        self._closing_tracker = ClosingTracker()
        self._timer: asyncio.TimerHandle | None = None

    def __repr__(self) -> str:
        return f"<ClosingCache {self.bypass_reason or 'active'}, {self.cache!r}, {self.eligibility!r}, {self.peers!r}>"

    def node(self, kind: type[N]) -> type[N]:
        """Return a node class that serves from the cache and otherwise behaves like ``kind``."""
        return make_caching_node(kind, self, self.options.cached_classes)

    def initialize(self) -> None:
        """Take over the configured calendar; the view has to be ready.

        From then on ``poll`` has to be called every ``POLL_INTERVAL_SECONDS``.
        """
        self._history.put(Kind.DOUBT, doubt=True, cause=self.bypass_reason.value)
        calendar = self.options.calendar
        self.calendar_sync.adopt(
            calendar, encode_calendar(calendar), self.eligibility.wall_clock.latest_trusted
        )
        self.poll()

    def start(self) -> None:
        """Initialize the cache and poll the fleet view from now on."""
        self.initialize()
        self._timer = asyncio.get_running_loop().call_later(POLL_INTERVAL_SECONDS, self._on_timer)

    def close(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self.purges.close()

    def reload(self) -> None:
        """Read the calendar file again. An invalid file is logged and recorded; the current calendar stays."""
        self.calendar_sync.reload(self._wall(), self.eligibility.wall_clock.latest_trusted)

    def announce(self, calendar: Calendar) -> None:
        """Take over a calendar as if from the calendar file. Raise ``OperatorsError`` if it cannot be used."""
        self.calendar_sync.announce(calendar, self._wall(), self.eligibility.wall_clock.latest_trusted)

    def _read_clocks(self) -> tuple[float, float]:
        """Read both clocks at one moment, since a delay between the readings would look like a step of the clock."""
        for _ in range(3):
            before, wall, now = self._clock(), self._wall(), self._clock()
            if now - before < MAX_CLOCK_READ_SECONDS:
                break
        return now, wall

    # The node's interface. Each answer is computed at the moment of the call, not from state that a timer left.

    def is_cached_account(self, account: str) -> bool:
        """Return whether the calendar in force or the one that follows it lists an account for caching."""
        store = self.eligibility.store
        newest = store.newest or self.options.calendar  # requests may arrive shortly before ``initialize``
        return account in newest.accounts or (store.current is not None and account in store.current.accounts)

    def generation(self, account: str) -> int | None:
        """Return the account's generation now, or None if nothing may be cached or served from the cache."""
        now, wall = self._read_clocks()
        return None if self._check_bypass(now, wall) else self.eligibility.generation(account, wall)

    def find_answer(self, id: str, account: str, key: CacheKey) -> tuple[CachedAnswer, float] | None:
        """Return the cached answer to a request and its age in seconds, or None if none may be served."""
        generation = self.generation(account)
        if generation is None:
            return None
        now = self._clock()
        answer = self.cache.get(key, generation, now)
        if answer is None:
            return None
        self._history.put(
            Kind.SERVED, id=id, account=account, key=_digest_key(key), generation=answer.generation,
            made=answer.wall,
        )  # fmt: skip
        return answer, now - answer.sent

    def stamp_lookup(self, account: str) -> SendStamp | None:
        """Return the stamp of a lookup that is being sent to a server, or None if its answer may not be cached."""
        now, wall = self._read_clocks()
        generation = self.generation(account)
        return None if generation is None else SendStamp(now, wall, generation)

    def store_answer(
        self, account: str, key: CacheKey, stamp: SendStamp, headers: bytes, body: bytes
    ) -> None:
        """Cache a lookup's answer if its generation is still current and nothing was purged in the meantime."""
        if self.generation(account) != stamp.generation:
            return
        answer = CachedAnswer(account, stamp.generation, stamp.mono, stamp.wall, headers, body)
        if self.cache.put(key, answer, self._clock()):
            self._history.put(
                Kind.KEPT, account=account, key=_digest_key(key), generation=stamp.generation, sent=stamp.wall
            )

    def begin_write(self, account: str) -> None:
        """Register a request that is not safe to repeat; until it ends, the account's answers are not used."""
        self.cache.begin_write(account)

    def end_write(self, account: str, reached_server: bool, is_finished: bool) -> None:
        """End a write that has its final answer.

        ``reached_server`` states whether it was sent to a server, ``is_finished`` whether it no longer runs at any.
        """
        now = self._clock()
        if not reached_server:
            return self.cache.end_write(account, -float("inf"), now)
        self.cache.end_write(account, now if is_finished else now + UNFINISHED_WRITE_SECONDS, now)
        self.purges.issue(account)
        if not is_finished:
            self.purges.schedule(account, now + UNFINISHED_WRITE_SECONDS)

    async def purge(self, account: str) -> tuple[str, ...]:
        """Purge an account at all limiters on an operator's request.

        Return the names of the limiters that may still have an answer of it cached, within the options'
        ``purge_seconds`` and one poll interval. Raise ``ValueError`` if ``account`` is not an account.
        """
        validate_account(account)
        now = self._clock()
        self.cache.purge(account, now, now)
        number = self.purges.issue(account)
        result = self.purges.wait_for(number, now + self.options.purge_seconds)
        self.poll()
        missing = await result
        self.purges.record(account, self.peers.own_instance, number, "no" if missing else "yes", missing)
        return missing

    # Polling of the fleet view and the clocks.

    def _on_timer(self) -> None:
        self._timer = asyncio.get_running_loop().call_later(POLL_INTERVAL_SECONDS, self._on_timer)
        try:
            self.poll()
        except Exception:  # an error must not stop the polling; at worst the lease expires
            log.exception("closing: polling the fleet view failed")

    def poll(self) -> None:
        """Read the fleet view, publish this limiter's state and report the closings that have passed."""
        now, wall = self._read_clocks()
        eligibility = self.eligibility
        eligibility.suspend_detector.record_poll(now)
        if self.peers.refresh(now):
            self._purge_all()  # the last purges of an instance that has gone may not have arrived
        self._apply_peer_purges(now)
        self.calendar_sync.fetch_newest(
            now, self.peers.newest_calendar(), eligibility.wall_clock.latest_trusted
        )
        for account in self.purges.take_due(now):
            self.cache.purge(account, now, now)
            self.purges.issue(account)
        eligibility.lease.set_view_digest(now, self.peers.view_digest(eligibility.store))
        eligibility.lease.record_rows(now, self.peers.rows)
        required = self.peers.required_rows()
        if required is not None:
            eligibility.lease.update(now, required)
        self.peers.publish_row(eligibility.store, eligibility.lease)
        if not eligibility.check_clock(now, wall):
            self._advance_calendar(wall)
        self._check_bypass(now, wall)
        self.purges.resolve_pending(now)

    def _apply_peer_purges(self, now: float) -> None:
        for issuer, purges, more in self.peers.collect_new_purges():
            if more:
                self._purge_all()
                self.purges.record(ALL_ACCOUNTS, issuer, self.peers.applied.count(issuer), "applied")
            for number, account in purges:
                self.cache.purge(account, now, now)
                self.purges.record(account, issuer, number, "applied")

    def _purge_all(self) -> None:
        self.cache.purge_all(self._clock())

    def _check_bypass(self, now: float, wall: float) -> BypassReason:
        """Return the reason to bypass the cache at this moment and write each change of it to the history."""
        reason = self.eligibility.find_bypass_reason(now, wall)
        if reason is not self.bypass_reason:
            self._history.put(Kind.DOUBT, doubt=bool(reason), cause=(reason or self.bypass_reason).value)
            # Without a lease, purges of other limiters may not have arrived.
            if reason in (BypassReason.LEASE_EXPIRED, BypassReason.STARTING):
                self._purge_all()
            self.bypass_reason = reason
        return reason

    def _advance_calendar(self, wall: float) -> None:
        """Report closings and calendar versions whose instants have passed, each once; the clock has to be trusted."""
        store = self.eligibility.store
        before, changed = store.current, store.advance(wall)
        closings = self._closing_tracker.collect_closings(before, store.current, wall)
        if changed and store.current is not None:
            self.calendar_sync.record(store.current, AddResult.IN_FORCE)
        if (changed or closings) and store.current is not None and store.current.covers(wall):
            self._remove_invalid(closings, store.current, wall)

    def _remove_invalid(self, closings: list[ClosingEvent], calendar: Calendar, wall: float) -> None:
        """Free the memory of answers that may no longer be served, and write the closings to the history."""

        def is_valid(answer: CachedAnswer) -> bool:
            place = calendar.accounts.get(answer.account)
            return place is not None and calendar.generation(place, wall) == answer.generation

        dropped = dict[str, int]()
        for answer in self.cache.remove_invalid(is_valid):
            place = calendar.accounts.get(answer.account, "")
            dropped[place] = dropped.get(place, 0) + 1
        for closing in closings:
            self._history.put(
                Kind.CLOSED, place=closing.place, version=closing.version, ordinal=closing.ordinal,
                at=float(closing.at), dropped=dropped.pop(closing.place, 0),
            )  # fmt: skip


def _digest_key(key: CacheKey) -> str:
    """Return the name of a cached answer in the history."""
    return blake2s(repr(key).encode(), digest_size=8).hexdigest()
