"""Closing at one limiter: joins what is kept, whether it may be served at this moment, purges and calendars.

Decisions are in the modules beside this one; here they meet the fleet's view, a timer that looks at it, and the
history. The timer spreads and learns; no promise hangs on it.
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
from cypresspulley.closing.closing_tracker import Closed, ClosingTracker
from cypresspulley.closing.eligibility import Eligibility
from cypresspulley.closing.node import keeping
from cypresspulley.closing.options import Options
from cypresspulley.closing.peers import Peers
from cypresspulley.closing.purge_coordinator import PurgeCoordinator, check_account
from cypresspulley.fleet.records import FleetView
from cypresspulley.histories.events import Kind
from cypresspulley.histories.writer import AnyHistory
from cypresspulley.net.node import Node

log = logging.getLogger(__name__)

N = TypeVar("N", bound=Node)

TICK = 0.1  # seconds between two looks at the view
AT_ONCE = 0.001  # seconds that reading both clocks takes at most, where nothing holds it up
LINGER = 5.0  # seconds for which a change whose outcome nobody knows may still be running at a server
ALL = "*"  # in the history, for all accounts


class ClosingCache:
    """``clock`` never steps, ``wall`` may. ``named`` is how many limiters the operators' file names, this one among
    them: where it is the only one there is nobody to agree with until another is seen."""

    def __init__(
        self, options: Options, view: FleetView, clock: Callable[[], float], wall: Callable[[], float],
        history: AnyHistory, named: int = 2,
    ) -> None:  # fmt: skip
        self.options = options
        self.keep = AnswerCache(options.most_answers, options.most_bytes, options.keep_seconds)
        self._clock, self._wall, self._history = clock, wall, history
        self.peers = Peers(view, options, named)
        self.eligibility = Eligibility(options, view, self.peers.alone)
        self.purging = PurgeCoordinator(self.peers, self.eligibility.lease, history, options.lost_seconds)
        self.calendars = CalendarSync(
            options, view, self.eligibility.store, history, self.peers.alone, self._drop_all
        )
        self.doubt = BypassReason.STARTING
        self._noticed = ClosingTracker()
        self._timer: asyncio.TimerHandle | None = None

    def __repr__(self) -> str:
        return f"<Closing {self.doubt or 'keeps'}, {self.keep!r}, {self.eligibility!r}, {self.peers!r}>"

    def node(self, kind: type[N]) -> type[N]:
        """A node that serves from what is kept, and otherwise as ``kind`` does."""
        return keeping(kind, self, self.options.cached_classes)

    def begin(self) -> None:
        """The view is there from now on; ``look`` is to be called every ``TICK``."""
        self._history.put(Kind.DOUBT, doubt=True, cause=self.doubt.value)
        calendar = self.options.calendar
        self.calendars.adopt(calendar, encode_calendar(calendar), self.eligibility.wall_clock.latest_trusted)
        self.look()

    def start(self) -> None:
        """Begin, and look at the fleet from now on."""
        self.begin()
        self._timer = asyncio.get_running_loop().call_later(TICK, self._tick)

    def close(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self.purging.close()

    def reload(self) -> None:
        """Read the calendar file again; one that cannot be taken changes nothing but the log and the history."""
        self.calendars.reload(self._wall(), self.eligibility.wall_clock.latest_trusted)

    def tell(self, calendar: Calendar) -> None:
        """A calendar of this limiter's operators, as from its file; ``OperatorsError`` says why it cannot be taken."""
        self.calendars.announce(calendar, self._wall(), self.eligibility.wall_clock.latest_trusted)

    def _now(self) -> tuple[float, float]:
        """Both clocks at one moment: a process that is held up between two readings would take that for a step."""
        for _ in range(3):
            before, wall, now = self._clock(), self._wall(), self._clock()
            if now - before < AT_ONCE:
                break
        return now, wall

    # What the node asks. Each answer is by the moment, not by what a timer left.

    def asks(self, account: str) -> bool:
        """Whether an account asks for keeping, by the calendar in force or the one that follows."""
        book = self.eligibility.store
        newest = book.newest or self.options.calendar  # requests may come a moment before the view is there
        return account in newest.accounts or (book.current is not None and account in book.current.accounts)

    def generation(self, account: str) -> int | None:
        """The account's generation now; None where nothing may be kept or served from what is kept."""
        now, wall = self._now()
        return None if self._look_for_doubt(now, wall) else self.eligibility.generation(account, wall)

    def find_answer(self, id: str, account: str, key: CacheKey) -> tuple[CachedAnswer, float] | None:
        """A kept answer and its age in seconds, where one may be served for a request."""
        generation = self.generation(account)
        if generation is None:
            return None
        now = self._clock()
        kept = self.keep.get(key, generation, now)
        if kept is None:
            return None
        self._history.put(
            Kind.SERVED, id=id, account=account, key=_name(key), generation=kept.generation, made=kept.wall
        )
        return kept, now - kept.sent

    def stamp_lookup(self, account: str) -> SendStamp | None:
        """A lookup goes to a server now; None where its answer may not be kept, whenever it comes."""
        now, wall = self._now()
        generation = self.generation(account)
        return None if generation is None else SendStamp(now, wall, generation)

    def store_answer(self, account: str, key: CacheKey, sent: SendStamp, headers: bytes, body: bytes) -> None:
        """Its answer has come: it is kept if it is of this generation still, and nothing has changed meanwhile."""
        if self.generation(account) != sent.generation:
            return
        kept = CachedAnswer(account, sent.generation, sent.mono, sent.wall, headers, body)
        if self.keep.put(key, kept, self._clock()):
            self._history.put(
                Kind.KEPT, account=account, key=_name(key), generation=sent.generation, sent=sent.wall
            )

    def begin_write(self, account: str) -> None:
        """A request that is not safe to repeat has come: nothing of its account is served or kept until its end."""
        self.keep.begin_write(account)

    def end_write(self, account: str, reached_server: bool, is_finished: bool) -> None:
        """It has its final answer. ``reached_server``: it went to a server; ``is_finished``: nothing of it still runs there."""
        now = self._clock()
        if not reached_server:
            return self.keep.end_write(account, -float("inf"), now)
        self.keep.end_write(account, now if is_finished else now + LINGER, now)
        self.purging.issue(account)
        if not is_finished:
            self.purging.again(account, now + LINGER)

    async def purge(self, account: str) -> tuple[str, ...]:
        """Purge by hand: the names of who may still have something kept, none where it is gone everywhere.

        ``ValueError`` for what is no account. Returns within the options' ``purge`` seconds and a tick.
        """
        check_account(account)
        now = self._clock()
        self.keep.purge(account, now, now)
        number = self.purging.issue(account)
        answer = self.purging.wait(number, now + self.options.purge_seconds)
        self.look()
        missing = await answer
        self.purging.told(account, self.peers.me, number, "no" if missing else "yes", missing)
        return missing

    # Looking at the fleet, and at the clock.

    def _tick(self) -> None:
        self._timer = asyncio.get_running_loop().call_later(TICK, self._tick)
        try:
            self.look()
        except Exception:  # a fault must not end the looks: without them the lease runs out, and that is all
            log.exception("closing: a look at the fleet failed")

    def look(self) -> None:
        """Take in what the view knows, say what is new here, and notice what the clock has brought."""
        now, wall = self._now()
        eligibility = self.eligibility
        eligibility.suspend_detector.record_poll(now)
        if self.peers.look(now):
            self._drop_all()  # the last purges of who has gone may not have come here
        self._hear_purges(now)
        self.calendars.fetch_newest(now, self.peers.newest(), eligibility.wall_clock.latest_trusted)
        for account in self.purging.due(now):
            self.keep.purge(account, now, now)
            self.purging.issue(account)
        eligibility.lease.set_view_digest(now, self.peers.agreed(eligibility.store))
        eligibility.lease.record_rows(now, self.peers.rows)
        needed = self.peers.needed()
        if needed is not None:
            eligibility.lease.update(now, needed)
        self.peers.say(eligibility.store, eligibility.lease)
        if not eligibility.check_clock(now, wall):
            self._turn(wall)
        self._look_for_doubt(now, wall)
        self.purging.answer(now)

    def _hear_purges(self, now: float) -> None:
        for issuer, numbers, more in self.peers.news():
            if more:
                self._drop_all()
                self.purging.told(ALL, issuer, self.peers.applied.count(issuer), "applied")
            for number, account in numbers:
                self.keep.purge(account, now, now)
                self.purging.told(account, issuer, number, "applied")

    def _drop_all(self) -> None:
        self.keep.purge_all(self._clock())

    def _look_for_doubt(self, now: float, wall: float) -> BypassReason:
        """Whether there is doubt at this moment; its begin and end are told."""
        doubt = self.eligibility.find_bypass_reason(now, wall)
        if doubt is not self.doubt:
            self._history.put(Kind.DOUBT, doubt=bool(doubt), cause=(doubt or self.doubt).value)
            if doubt in (
                BypassReason.LEASE_EXPIRED,
                BypassReason.STARTING,
            ):  # others' purges may not have come here
                self._drop_all()
            self.doubt = doubt
        return doubt

    def _turn(self, wall: float) -> None:
        """The clock is trusted: closings and versions whose instants have come are noticed, each once."""
        book = self.eligibility.store
        before, turned = book.current, book.advance(wall)
        gone = self._noticed.collect_closings(before, book.current, wall)
        if turned and book.current is not None:
            self.calendars.record(book.current, AddResult.IN_FORCE)
        if (turned or gone) and book.current is not None and book.current.covers(wall):
            self._give_back(gone, book.current, wall)

    def _give_back(self, closings: list[Closed], calendar: Calendar, wall: float) -> None:
        """The memory of what may not be served any more; the closings are told."""

        def stays(kept: CachedAnswer) -> bool:
            place = calendar.accounts.get(kept.account)
            return place is not None and calendar.generation(place, wall) == kept.generation

        dropped = dict[str, int]()
        for kept in self.keep.remove_invalid(stays):
            place = calendar.accounts.get(kept.account, "")
            dropped[place] = dropped.get(place, 0) + 1
        for closed in closings:
            self._history.put(
                Kind.CLOSED, place=closed.place, version=closed.version, ordinal=closed.ordinal,
                at=float(closed.at), dropped=dropped.pop(closed.place, 0),
            )  # fmt: skip


def _name(key: CacheKey) -> str:
    """A kept answer's name in the history."""
    return blake2s(repr(key).encode(), digest_size=8).hexdigest()
