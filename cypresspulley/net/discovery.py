"""The list of servers: reads discovery's form and follows its watch."""

from __future__ import annotations

import asyncio
import json
import logging
import math
import re
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any, cast

import httptools

from cypresspulley import interface as api
from cypresspulley.net.http import split_address

log = logging.getLogger(__name__)

CHECK_INTERVAL = 0.25  # seconds between two looks at a watch
STALL_THRESHOLD = 0.25  # seconds by which a look may be late before the loop counts as held
TURNS_BEFORE_TIMEOUT = (
    3  # of the loop before a verdict: one that was held comes to its timers before it reads
)
TURNS_BEFORE_CALL = (
    8  # the same before the next call: a dial that came up has to be known to its own call first
)
OVERLOAD_STATUSES = frozenset(
    (429, 500, 502, 503, 504)
)  # of discovery itself; any other refusal may be of the version asked for
MAX_MESSAGE_BYTES = 4 * 1024 * 1024  # bytes of one message, over all of its lines
JSON_TOKEN = re.compile(
    rb'"[^"\\]*(?:\\.[^"\\]*)*"|[{}\[\]]'
)  # of JSON, what tells how deep a line leaves it
HEALTH_BY_NAME = {"ready": api.Health.UP, "draining": api.Health.DRAINING, "gone": api.Health.GONE}


@dataclass(frozen=True, slots=True)
class Listing:
    """One message of discovery: the list, or a part of it, and where to dial."""

    version: int
    servers: api.ServerList
    addresses: dict[str, str]


def parse_listing(raw: Any) -> Listing:
    """A message of discovery; ``ValueError`` where it cannot be read."""
    try:
        entries, addresses = [], {}
        for row in raw["hosts"]:
            health = HEALTH_BY_NAME[row["health"]]
            dial = str(row.get("dial") or "")
            if dial or health is not api.Health.GONE:
                split_address(dial)
            name, born = str(row["host"]), float(row.get("born_ms") or 0) / 1000
            size, cell = float(row.get("share") or 1.0), int(row.get("block") or 0)
            if not (0 <= born < math.inf and 0 < size < math.inf):
                raise ValueError(f"{name!r:.40}: a birth or a share that is no figure")
            entries.append(api.ServerEntry(name, health, str(row.get("site") or ""), cell, size, born))
            addresses[name] = dial
        return Listing(int(raw["seq"]), api.ServerList(tuple(entries), bool(raw.get("whole"))), addresses)
    except (KeyError, TypeError, AttributeError, ValueError, OverflowError) as error:
        raise ValueError(f"not a list of servers: {error!r:.80}") from None


class WatchState(Enum):
    """How far a watch has come."""

    DIALING = "dialing"
    AWAITING_ANSWER = "asked"  # no byte of an answer yet
    FOLLOWING = "following"
    PARTIAL_MESSAGE = "half a message"  # a message has begun and not ended


# The budget (docs/design/restarts.md): whatever failed before, a change counts as told 6 s after discovery had it and
# could be reached, and 6 s after a watch fell silent.
DELIVERY_LIMIT = 6.0
DELIVERY_MARGIN = 0.3  # seconds of it kept back, for looks that come late without counting as held
HEARTBEAT_INTERVAL = (
    2.0  # seconds between two signs of life of a watch: an empty line comes while nothing changes
)
# Seconds from the last byte (PARTIAL_MESSAGE: from the message's first) until a call is given up. Where lists are asked for, one
# that waits for its turn is answered or turned away within 2 s.
TIMEOUTS = {
    WatchState.DIALING: 0.5,
    WatchState.AWAITING_ANSWER: 2.5,
    WatchState.FOLLOWING: HEARTBEAT_INTERVAL + 0.5,
    WatchState.PARTIAL_MESSAGE: 1.5,
}
JITTER = 0.5  # each wait is drawn from so much less to so much more of it, that limiters do not ask in step
# Seconds until the next call after one that broke: the first wait, then four times the one before, up to the second.
INITIAL_BACKOFF = 0.1
MAX_BACKOFF = 0.25
# The longest wait between the beginnings of two calls, whatever came of the first: the second may take as long as a
# call may, its dial, its head and its list, and is through in time. 6 - 0.3 - 0.5 - 2.5 - 1.5 = 1.2 s.
MAX_CALL_INTERVAL = (
    DELIVERY_LIMIT
    - DELIVERY_MARGIN
    - TIMEOUTS[WatchState.DIALING]
    - TIMEOUTS[WatchState.AWAITING_ANSWER]
    - TIMEOUTS[WatchState.PARTIAL_MESSAGE]
)
# The same while what a silent watch missed does not count as told: six calls that fail leave time for a seventh.
# (6 - 0.3 - 2.5 - 0.15) / 6 = 0.51 s.
URGENT_CALLS = 6
MAX_URGENT_CALL_INTERVAL = (
    DELIVERY_LIMIT - DELIVERY_MARGIN - TIMEOUTS[WatchState.FOLLOWING] - INITIAL_BACKOFF * (1 + JITTER)
) / URGENT_CALLS
MAX_BACKOFF_BUSY = MAX_CALL_INTERVAL / (1 + JITTER)  # after a 503, at most
MAX_BACKOFF_URGENT = MAX_URGENT_CALL_INTERVAL / (1 + JITTER)  # the same
# Seconds without a step forward until the next call begins beside one that has said nothing (hedging). An agent on this
# machine answers at once and at no cost; where lists are asked for, a call takes its turn among those of others.
HEDGE_DELAYS = dict.fromkeys(WatchState, 0.25)
HEDGE_DELAYS_ASKED = HEDGE_DELAYS | dict.fromkeys(
    (WatchState.AWAITING_ANSWER, WatchState.FOLLOWING, WatchState.PARTIAL_MESSAGE), 0.6
)
HEDGE_DELAYS_BUSY = HEDGE_DELAYS_ASKED | {
    WatchState.AWAITING_ANSWER: MAX_BACKOFF_BUSY
}  # it turned the call before away: this one waits for its turn
HEDGE_DELAYS_URGENT = HEDGE_DELAYS | dict.fromkeys(
    (WatchState.AWAITING_ANSWER, WatchState.FOLLOWING, WatchState.PARTIAL_MESSAGE), MAX_BACKOFF_URGENT
)
# Calls at one time. Where lists are asked for, as many as leave each its whole time: 15 x 0.5 x 0.34 s.
MAX_CALLS_PUSHED = 4
MAX_CALLS_ASKED = 15


class WatchTimeoutError(ConnectionError):
    """A watch has said nothing for as long as it may."""


class MalformedMessageError(ConnectionError):
    """A message that is none: what it had to tell is asked for again."""


class OutdatedListError(ConnectionError):
    """A message older than what is known: it is asked for again."""


class MessageDecoder:
    """Puts a watch's lines together to messages: one a line, or one over several lines where lists come indented."""

    def __init__(self, skip: bool = False) -> None:
        """``skip``: what cannot be read is passed over, since asking again has not helped."""
        self._skips_malformed = skip
        self._partial_line = b""  # of a line without an end
        self._partial_message = list[bytes]()
        self._depth = 0
        self._partial_size = 0

    def __repr__(self) -> str:
        return f"<Messages {len(self._partial_message)} lines and {len(self._partial_line)} bytes of one>"

    @property
    def has_partial_message(self) -> bool:
        """Whether a message has begun and not ended."""
        return bool(self._partial_message or self._partial_line)

    def feed(self, data: bytes) -> list[Any]:
        """The messages that these bytes end; ``UnreadableError`` for one that is no JSON or too large."""
        *lines, self._partial_line = (self._partial_line + data).split(b"\n")
        found = [message for line in lines for message in self._decode_line(line.strip())]
        if self._partial_size + len(self._partial_line) > MAX_MESSAGE_BYTES:
            raise MalformedMessageError("a message without an end")
        return found

    def _decode_line(self, line: bytes) -> list[Any]:
        if not line:
            return []  # a sign of life, or white space inside a message
        if not self._partial_message:
            try:
                return [json.loads(line)]
            except (ValueError, RecursionError) as error:
                self._depth = depth(line)
                if self._depth <= 0:
                    return self._handle_malformed(error)
        else:
            self._depth += depth(line)
        self._partial_message.append(line)
        self._partial_size += len(line)
        if self._depth > 0:
            return []  # ``feed`` bounds it
        text, self._partial_message, self._partial_size = b"\n".join(self._partial_message), [], 0
        try:
            return [json.loads(text)]
        except (ValueError, RecursionError) as error:
            return self._handle_malformed(error)

    def _handle_malformed(self, error: Exception) -> list[Any]:
        if not self._skips_malformed:
            raise MalformedMessageError(f"not JSON: {error!r:.80}") from None
        log.warning("dropped an unreadable line of discovery: %r", error)
        return []


def depth(line: bytes) -> int:
    """How much deeper a line of JSON leaves it; strings hold no line ends, so each line stands for itself."""
    return sum((token in b"{[") - (token in b"}]") for token in JSON_TOKEN.findall(line) if len(token) == 1)


class _Watch(asyncio.Protocol):
    """One call that stays open. It ends with an error; silence is counted from the last byte of any kind.

    A held loop reads late: what it finds then may have come at any time since its last look. Such a byte counts from
    that look, and the watch has one beat from the loop's return to say more; where nothing lay there, it was silent.
    """

    def __init__(
        self, on_message: Callable[[_Watch, Any], None], on_line: Callable[[_Watch], None], skip_malformed: bool,
        on_state_change: Callable[[], None],
    ) -> None:  # fmt: skip
        """``lived`` hears of each whole line, ``stepped`` of each step from one state to another."""
        self._loop = asyncio.get_running_loop()
        self._on_message = on_message
        self._on_line = on_line
        self._on_state_change = on_state_change
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._decoder = MessageDecoder(skip_malformed)
        self._state = WatchState.DIALING
        self._last_byte_at = self._loop_ran_at = (
            self._loop.time()
        )  # when a byte came last, at the latest; when the loop ran
        self._message_started_at: float | None = None  # when the message that has not ended yet began
        self._grace_until = self._stall_end = self._stall_start = -1e9
        self._timer: asyncio.TimerHandle | None = None
        self.ended: asyncio.Future[None] = self._loop.create_future()
        self.refusal_status = 0  # the status, where it is not 200
        self.has_line = False  # a whole line

    def __repr__(self) -> str:
        return f"<_Watch {self._state.value}, last byte at {self._last_byte_at:.3f}>"

    @property
    def state(self) -> WatchState:
        """How far it has come."""
        return self._state if self._message_started_at is None else WatchState.PARTIAL_MESSAGE

    @property
    def last_byte_at(self) -> float:
        """When its last byte came, at the latest."""
        return self._last_byte_at

    async def open(self, host: str, port: int, request: bytes) -> None:
        """Dial and ask; ``OSError`` where that fails, ``SilenceError`` where it does not come up."""
        dial = self._loop.create_task(self._loop.create_connection(lambda: self, host, port))
        try:
            await asyncio.wait({dial}, timeout=TIMEOUTS[WatchState.DIALING])
            for _ in range(TURNS_BEFORE_TIMEOUT):
                if not dial.done():
                    await asyncio.sleep(0)
            if not dial.done():
                raise WatchTimeoutError("a dial that did not come up")
            await dial
        finally:
            dial.cancel()
        assert self._transport is not None
        self._transport.write(request)
        self._state, self._last_byte_at = WatchState.AWAITING_ANSWER, self._loop.time()
        self._loop_ran_at = self._last_byte_at
        self._timer = self._loop.call_later(CHECK_INTERVAL, self._check_timeout)
        self._on_state_change()

    def close(self) -> None:
        self._finish(ConnectionError("closed here"))
        if not self.ended.cancelled():  # with the task that waited for it
            self.ended.exception()  # nobody waits for it any more
        if self._transport is not None:
            self._transport.abort()

    def _finish(self, error: Exception) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if not self.ended.done():
            self.ended.set_exception(error)

    # The clock.

    def _check_timeout(self) -> None:
        now = self._loop.time()
        if now - self._loop_ran_at > CHECK_INTERVAL + STALL_THRESHOLD:
            self._stall_end, self._stall_start = now, self._loop_ran_at
        self._loop_ran_at = now
        self._timer = self._loop.call_later(
            min(CHECK_INTERVAL, max(0.001, self._expires_at - now)), self._check_timeout
        )
        if now >= self._expires_at:
            self._loop.call_soon(self._expire_after_turns, TURNS_BEFORE_TIMEOUT)

    def _expire_after_turns(self, turns: int) -> None:
        """What lies in the machine is read first."""
        if self.ended.done() or self._loop.time() < self._expires_at:
            return
        if turns:
            self._loop.call_soon(self._expire_after_turns, turns - 1)
        else:
            self._finish(WatchTimeoutError(self.state.value))

    @property
    def _expires_at(self) -> float:
        """When the watch will have been silent for as long as it may."""
        due = max(self._last_byte_at + TIMEOUTS[self._state], self._grace_until)
        return (
            due
            if self._message_started_at is None
            else min(due, self._message_started_at + TIMEOUTS[WatchState.PARTIAL_MESSAGE])
        )

    # The connection.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        if self.ended.done():
            self._transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self._finish(exc or ConnectionError("closed by discovery"))

    def data_received(self, data: bytes) -> None:
        now = self._loop.time()
        if now - self._loop_ran_at > CHECK_INTERVAL + STALL_THRESHOLD:
            self._stall_end, self._stall_start, self._loop_ran_at = now, self._loop_ran_at, now
        if now - self._stall_end < CHECK_INTERVAL:
            self._last_byte_at, self._grace_until = (
                max(self._last_byte_at, self._stall_start),
                self._stall_end + HEARTBEAT_INTERVAL + STALL_THRESHOLD,
            )
        else:
            self._last_byte_at = now
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            cause = error.__context__
            return self._finish(cause if isinstance(cause, Exception) else error)
        if not self._decoder.has_partial_message:
            self._message_started_at = None
        elif self._message_started_at is None:
            self._message_started_at = now
            self._on_state_change()

    # The parser's callbacks.

    def on_headers_complete(self) -> None:
        if (code := self._parser.get_status_code()) != 200:
            self.refusal_status = code
            raise ConnectionError(f"status {code}")
        self._state = WatchState.FOLLOWING
        self._on_state_change()

    def on_body(self, body: bytes) -> None:
        # Chunks end where they like; only line ends part the messages.
        for message in self._decoder.feed(body):
            self._message_started_at = None
            self._on_message(self, message)
            self._handle_complete_line()
        if not self._decoder.has_partial_message:
            self._handle_complete_line()

    def _handle_complete_line(self) -> None:
        self.has_line = True
        self._on_line(self)

    def on_message_complete(self) -> None:
        raise ConnectionError("the watch was ended")


class Discovery:
    """Follows the list for ever, by one watch at a time; while there is none, what is known is kept.

    A watch that breaks or falls silent is begun anew. No try is waited for: while the newest says nothing, the next
    begins beside it, and the first that speaks is the watch. A silent one is listened to until then: where it only was
    late, what it tells is not lost.
    """

    def __init__(
        self, host: str, port: int, since: int | None, on_listing: Callable[[Listing], None],
        draw: Callable[[], float] = lambda: 0.5, pushed: bool = False,
        on_contact: Callable[[], None] = lambda: None,
    ) -> None:  # fmt: skip
        """``pushed``: an agent on this machine has what it was sent, and a call costs nobody anything. ``lived`` hears
        of each whole line of the watch, be it empty."""
        self._host = host
        self._port = port
        self._since = since
        self._on_listing = on_listing
        self._random = draw
        self._next_backoff = INITIAL_BACKOFF
        self.pushed = pushed
        self._on_contact = on_contact
        self._failure_logged = False
        self._is_overloaded = False
        self._malformed_retried = False  # the last message could not be read, and has been asked for again
        self._outdated_retried = (
            False  # the last message was older than what is known, and has been asked for again
        )
        self._calls = dict[_Watch, asyncio.Task[None]]()  # calls that have not ended, oldest first
        self._active_watch: _Watch | None = None  # the one that has spoken
        self._silent_watch: _Watch | None = None  # one that fell silent after it had
        self._silent_version: int | None = None  # the newest version that the silent one has told since
        self._last_contact_at: float | None = None  # when the last byte of a watch came
        self._progress = asyncio.Event()  # a call has come further, spoken or ended

    async def follow(self) -> None:
        try:
            while True:
                await self._open_watch()
                while self._active_watch is not None:
                    self._progress.clear()
                    await self._progress.wait()
                await asyncio.sleep(self.backoff())
        finally:
            self.close()

    def close(self) -> None:
        """End all calls at once; whoever follows cancels that as well."""
        for watch, task in self._calls.items():
            task.cancel()
            watch.close()
        self._close_silent_watch()

    def backoff(self) -> float:
        """Seconds until the next call after one that ended: longer after each, and not those of other limiters."""
        limit = MAX_BACKOFF
        if self._is_overloaded and not self.pushed:
            limit = MAX_BACKOFF_URGENT if self._is_urgent else MAX_BACKOFF_BUSY
        wait, self._next_backoff = min(limit, self._next_backoff), min(limit, 4 * self._next_backoff)
        return self._apply_jitter(wait)

    def _hedge_delay(self, state: WatchState) -> float:
        """Seconds until the next call beside one that stays in this state."""
        if self.pushed:
            table = HEDGE_DELAYS
        elif self._is_urgent:
            table = HEDGE_DELAYS_URGENT
        else:
            table = HEDGE_DELAYS_BUSY if self._is_overloaded else HEDGE_DELAYS_ASKED
        return self._apply_jitter(table[state])

    def _apply_jitter(self, wait: float) -> float:
        return wait * (1 - JITTER + 2 * JITTER * self._random())

    @property
    def _is_urgent(self) -> bool:
        """Whether what the last watch missed does not count as told yet."""
        return self._last_contact_at is not None and _now() < self._last_contact_at + DELIVERY_LIMIT

    async def _open_watch(self) -> None:
        """Up to a watch that has spoken."""
        while self._active_watch is None:
            newest, advanced = self._begin_call(), True
            while advanced and self._active_watch is None:
                state, ended_before = newest.state, newest.ended.done()
                wait = self.backoff() if ended_before else self._hedge_delay(state)
                advanced = await self._wait_for_progress(newest, state, ended_before, _now() + wait)

    async def _wait_for_progress(
        self, newest: _Watch, state: WatchState, ended_before: bool, until: float
    ) -> bool:
        """Wait for a watch that speaks, or for the newest try to leave its state; False where neither came in time."""
        waited = False
        while True:
            self._progress.clear()
            if self._active_watch is not None or (newest.state, newest.ended.done()) != (state, ended_before):
                return True
            if waited:
                return False
            try:
                async with asyncio.timeout_at(until):
                    await self._progress.wait()
            except TimeoutError:
                for _ in range(TURNS_BEFORE_CALL):
                    await asyncio.sleep(0)
                waited = True

    def _begin_call(self) -> _Watch:
        """The next call; a row of mute ones is bounded: of those that came least far, the oldest gives way."""
        if len(self._calls) >= (MAX_CALLS_PUSHED if self.pushed else MAX_CALLS_ASKED):
            stages = list(WatchState)
            self._calls.pop(min(self._calls, key=lambda watch: stages.index(watch.state))).cancel()
        watch = _Watch(self._handle_message, self._handle_line, self._malformed_retried, self._progress.set)
        self._calls[watch] = asyncio.get_running_loop().create_task(self._run_call(watch))
        return watch

    async def _run_call(self, watch: _Watch) -> None:
        """One call, up to its end."""
        since = "" if self._since is None else f"&since={self._since}"
        request = f"GET /v1/servers?follow=1{since} HTTP/1.1\r\nHost: {self._host}:{self._port}\r\n\r\n"
        keep_open = False
        try:
            await watch.open(self._host, self._port, request.encode())
            await watch.ended
        except WatchTimeoutError as error:
            keep_open = watch is self._active_watch
            self._log_failure(f"silence, {error}")
        except (OSError, httptools.HttpParserError) as error:
            self._malformed_retried = self._malformed_retried or isinstance(error, MalformedMessageError)
            self._is_overloaded = watch.refusal_status in OVERLOAD_STATUSES
            if watch.refusal_status and not self._is_overloaded:
                self._since = None  # it may be the version that is not taken
            self._log_failure(repr(error))
        except Exception:
            log.exception("the watch on discovery failed")
        finally:
            self._calls.pop(watch, None)
            if watch is self._active_watch:
                self._active_watch, self._last_contact_at = None, watch.last_byte_at
            if keep_open:
                self._silent_watch = watch
            else:
                watch.close()
            self._progress.set()

    def _log_failure(self, reason: str) -> None:
        if not self._failure_logged:  # once for a row of failures
            log.warning("the watch on discovery ended: %s", reason)
        self._failure_logged = True

    def _handle_line(self, watch: _Watch) -> None:
        """A watch has said something, be it an empty line: those before and beside it are done with."""
        if watch is self._active_watch:
            return self._on_contact()
        if watch is self._silent_watch or watch not in self._calls:
            return
        self._close_silent_watch()
        self._active_watch, self._is_overloaded = watch, False
        others, self._calls = self._calls, {watch: self._calls[watch]}  # what they still say counts no more
        for other, task in others.items():
            if other is not watch:
                task.cancel()
        self._progress.set()

    def _close_silent_watch(self) -> None:
        if self._silent_watch is not None:
            self._silent_watch.close()
            self._silent_watch = None

    def _handle_message(self, watch: _Watch, message: Any) -> None:
        try:
            listing = parse_listing(message)
        except ValueError as error:
            if not self._malformed_retried:
                raise MalformedMessageError(str(error)) from None
            return log.warning("dropped an unreadable message of discovery: %s", error)
        if watch is self._silent_watch:
            # It may have missed something: what it tells holds, but the next is asked from before.
            newest = max(self._since or 0, self._silent_version or 0)
            if listing.version > newest:
                self._silent_version = listing.version
                self._on_listing(listing)
            return
        if watch is not self._active_watch and watch not in self._calls:
            return  # another has spoken before
        self._check_version(listing)
        self._since, self._failure_logged, self._next_backoff, self._malformed_retried = (
            listing.version,
            False,
            INITIAL_BACKOFF,
            False,
        )
        self._on_listing(listing)

    def _check_version(self, listing: Listing) -> None:
        """Nothing goes back to what was before. What is older all the same when asked anew is another discovery's."""
        since, is_partial = self._since, not listing.servers.complete
        is_outdated = listing.version < (self._silent_version or 0) or (
            is_partial and listing.version < (since or 0)
        )
        if is_outdated and not self._outdated_retried:
            self._outdated_retried = True
            if is_partial and listing.version < (since or 0):
                self._since = None  # a part of a list that is not known
            raise OutdatedListError(
                f"version {listing.version} behind {max(self._silent_version or 0, since or 0)}"
            )
        self._outdated_retried, self._silent_version = False, None


def _now() -> float:
    return asyncio.get_running_loop().time()


class DiscoveryClient:
    """Follows discovery at the newest address; the one before is followed until the newest has spoken."""

    def __init__(
        self, on_listing: Callable[[Listing], None], draw: Callable[[], float] = lambda: 0.5, pushed: bool = False,
        on_contact: Callable[[], None] = lambda: None,
    ) -> None:  # fmt: skip
        """``draw`` gives numbers from 0 to 1 of the limiter's own, so that many do not ask together. ``lived`` hears of
        each sign of life of the discovery that is followed."""
        self._on_listing = on_listing
        self._random = draw
        self._pushed = pushed
        self._on_contact = on_contact
        self._watches = dict[asyncio.Task[None], Discovery]()  # of both tasks below
        self._current: asyncio.Task[None] | None = None  # the watch that has spoken last
        self._next: asyncio.Task[None] | None = None
        self._address: tuple[str, int] | None = None

    def follow(self, host: str, port: int, since: int | None = None) -> None:
        if (host, port) == self._address:
            return
        self._address = (host, port)
        self._stop(self._next)  # told to move again before it said anything
        # Without a version another discovery tells the whole list: its numbers need not be the old one's.
        watch = Discovery(
            host, port, since, lambda listing: self._handle_listing(task, listing), self._random, self._pushed,
            lambda: self._handle_contact(task),
        )  # fmt: skip
        task = self._next = asyncio.get_running_loop().create_task(watch.follow())
        self._watches[task] = watch

    def set_pushed(self, pushed: bool) -> None:
        """Lists are pushed from now on, or asked for."""
        self._pushed = pushed
        for watch in self._watches.values():
            watch.pushed = pushed

    def close(self) -> None:
        for task in list(self._watches):
            self._stop(task)

    def _stop(self, task: asyncio.Task[None] | None) -> None:
        if task is not None and (watch := self._watches.pop(task, None)) is not None:
            watch.close()
            task.cancel()

    def _handle_contact(self, task: asyncio.Task[None]) -> None:
        if task is self._current:
            self._on_contact()

    def _handle_listing(self, task: asyncio.Task[None], listing: Listing) -> None:
        if task is self._next:
            old, self._current, self._next = self._current, task, None
            self._stop(old)
        if task is self._current:  # else it was cancelled and has not noticed yet
            self._on_listing(listing)
