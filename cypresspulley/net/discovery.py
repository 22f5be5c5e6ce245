"""The client of discovery: parses server lists and follows the watch on their changes."""

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

# A watch checks its timeouts this often, in seconds.
CHECK_INTERVAL = 0.25
# Seconds by which a check may be late before the event loop counts as stalled.
STALL_THRESHOLD = 0.25
# Turns of the event loop between a timeout and its effect: after a stall the loop runs timers before it reads sockets.
TURNS_BEFORE_TIMEOUT = 3
# The same before the next call: a completed dial has to reach its own call first.
TURNS_BEFORE_CALL = 8
# Statuses by which discovery says that it is overloaded; any other refusal may concern the requested version.
OVERLOAD_STATUSES = frozenset((429, 500, 502, 503, 504))
MAX_MESSAGE_BYTES = 4 * 1024 * 1024  # of one message, over all of its lines
# Strings and brackets of JSON, to count the nesting depth.
JSON_TOKEN = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"|[{}\[\]]')
HEALTH_BY_NAME = {"ready": api.Health.UP, "draining": api.Health.DRAINING, "gone": api.Health.GONE}


@dataclass(frozen=True, slots=True)
class Listing:
    """A message of discovery: the server list or a part of it, and the address of each server."""

    version: int
    servers: api.ServerList
    addresses: dict[str, str]


def parse_listing(raw: Any) -> Listing:
    """Parse a decoded message of discovery. Raise ValueError if it is malformed."""
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
                raise ValueError(f"{name!r:.40}: born_ms or share is out of range")
            entries.append(api.ServerEntry(name, health, str(row.get("site") or ""), cell, size, born))
            addresses[name] = dial
        return Listing(int(raw["seq"]), api.ServerList(tuple(entries), bool(raw.get("whole"))), addresses)
    except (KeyError, TypeError, AttributeError, ValueError, OverflowError) as error:
        raise ValueError(f"not a list of servers: {error!r:.80}") from None


class WatchState(Enum):
    """The progress of a watch."""

    DIALING = "dialing"
    AWAITING_ANSWER = "asked"  # the request is sent, and no byte of the response has arrived
    FOLLOWING = "following"
    PARTIAL_MESSAGE = "half a message"  # a message has started and is incomplete


# The limit (docs/design/restarts.md): whatever failed before, a change counts as known to this process 6 s after
# discovery had it and was reachable, and 6 s after a watch fell silent.
DELIVERY_LIMIT = 6.0
DELIVERY_MARGIN = 0.3  # seconds kept back for checks that are late without counting as stalled
HEARTBEAT_INTERVAL = 2.0  # seconds between the empty lines that a watch sends while nothing changes
# Seconds without a byte until a call is given up; for PARTIAL_MESSAGE, seconds since the message's first byte. A shared
# discovery service responds to a queued call or turns it away within 2 s.
TIMEOUTS = {
    WatchState.DIALING: 0.5,
    WatchState.AWAITING_ANSWER: 2.5,
    WatchState.FOLLOWING: HEARTBEAT_INTERVAL + 0.5,
    WatchState.PARTIAL_MESSAGE: 1.5,
}
# Each wait is drawn from its nominal length, minus to plus this share of it, so that limiters do not call in step.
JITTER = 0.5
# Seconds until the next call after one that failed: the initial backoff, quadrupled after each failure up to the limit.
INITIAL_BACKOFF = 0.1
MAX_BACKOFF = 0.25
# The longest time between the starts of two calls, whatever the first came to: the second may take as long as its
# timeouts allow, for the dial, the response's head and the list, and still meets the limit.
# 6 - 0.3 - 0.5 - 2.5 - 1.5 = 1.2 s.
MAX_CALL_INTERVAL = (
    DELIVERY_LIMIT
    - DELIVERY_MARGIN
    - TIMEOUTS[WatchState.DIALING]
    - TIMEOUTS[WatchState.AWAITING_ANSWER]
    - TIMEOUTS[WatchState.PARTIAL_MESSAGE]
)
# The same while the changes that a silent watch missed do not yet count as known: six failed calls leave time for a
# seventh. (6 - 0.3 - 2.5 - 0.15) / 6 = 0.51 s.
URGENT_CALLS = 6
MAX_URGENT_CALL_INTERVAL = (
    DELIVERY_LIMIT - DELIVERY_MARGIN - TIMEOUTS[WatchState.FOLLOWING] - INITIAL_BACKOFF * (1 + JITTER)
) / URGENT_CALLS
# The longest backoff after an overload status such as 503, in seconds before jitter.
MAX_BACKOFF_BUSY = MAX_CALL_INTERVAL / (1 + JITTER)
MAX_BACKOFF_URGENT = MAX_URGENT_CALL_INTERVAL / (1 + JITTER)
# Seconds without progress until a second call starts while the first has not responded (hedging). An agent on this
# machine responds at once and at no cost; at a shared discovery service, a call is queued behind those of others.
HEDGE_DELAYS = dict.fromkeys(WatchState, 0.25)
HEDGE_DELAYS_SHARED = HEDGE_DELAYS | dict.fromkeys(
    (WatchState.AWAITING_ANSWER, WatchState.FOLLOWING, WatchState.PARTIAL_MESSAGE), 0.6
)
# Discovery turned the previous call away and not this one, so this one is queued.
HEDGE_DELAYS_BUSY = HEDGE_DELAYS_SHARED | {WatchState.AWAITING_ANSWER: MAX_BACKOFF_BUSY}
HEDGE_DELAYS_URGENT = HEDGE_DELAYS | dict.fromkeys(
    (WatchState.AWAITING_ANSWER, WatchState.FOLLOWING, WatchState.PARTIAL_MESSAGE), MAX_BACKOFF_URGENT
)
# Concurrent calls, to an agent on this machine and to a shared discovery service. The latter are as many as leave each
# call its full timeout: 15 x 0.5 x 0.34 s.
MAX_CALLS_LOCAL = 4
MAX_CALLS_SHARED = 15


class WatchTimeoutError(ConnectionError):
    """A watch has been silent for longer than its timeout."""


class MalformedMessageError(ConnectionError):
    """A message cannot be decoded; its content is requested again."""


class OutdatedListError(ConnectionError):
    """A message is older than the known version; the list is requested again."""


class MessageDecoder:
    """Decodes the messages of a watch: one JSON value per line, or one indented over several lines."""

    def __init__(self, skip: bool = False) -> None:
        """``skip``: drop what cannot be decoded instead of raising, because requesting it again has not helped."""
        self._skips_malformed = skip
        self._partial_line = b""
        self._partial_message = list[bytes]()
        self._depth = 0
        self._partial_size = 0

    def __repr__(self) -> str:
        return f"<MessageDecoder {len(self._partial_message)} lines, {len(self._partial_line)} more bytes>"

    @property
    def has_partial_message(self) -> bool:
        """Return whether a message has started and is incomplete."""
        return bool(self._partial_message or self._partial_line)

    def feed(self, data: bytes) -> list[Any]:
        """Return the messages that these bytes complete.

        Raise MalformedMessageError if a message is not JSON or exceeds ``MAX_MESSAGE_BYTES``.
        """
        *lines, self._partial_line = (self._partial_line + data).split(b"\n")
        found = [message for line in lines for message in self._decode_line(line.strip())]
        if self._partial_size + len(self._partial_line) > MAX_MESSAGE_BYTES:
            raise MalformedMessageError(f"a message exceeds {MAX_MESSAGE_BYTES} bytes")
        return found

    def _decode_line(self, line: bytes) -> list[Any]:
        if not line:
            return []  # a heartbeat, or white space inside a message
        if not self._partial_message:
            try:
                return [json.loads(line)]
            except (ValueError, RecursionError) as error:
                self._depth = nesting_change(line)
                if self._depth <= 0:
                    return self._handle_malformed(error)
        else:
            self._depth += nesting_change(line)
        self._partial_message.append(line)
        self._partial_size += len(line)
        if self._depth > 0:
            return []  # its size is limited by ``feed``
        text, self._partial_message, self._partial_size = b"\n".join(self._partial_message), [], 0
        try:
            return [json.loads(text)]
        except (ValueError, RecursionError) as error:
            return self._handle_malformed(error)

    def _handle_malformed(self, error: Exception) -> list[Any]:
        if not self._skips_malformed:
            raise MalformedMessageError(f"not JSON: {error!r:.80}") from None
        log.warning("dropped a malformed line from discovery: %r", error)
        return []


def nesting_change(line: bytes) -> int:
    """Return by how much a line of JSON changes the nesting depth.

    JSON strings contain no line ends, so that each line can be counted by itself.
    """
    return sum((token in b"{[") - (token in b"}]") for token in JSON_TOKEN.findall(line) if len(token) == 1)


class _Watch(asyncio.Protocol):
    """One call to discovery that stays open until it ends with an error.

    Silence is measured from the last byte of any kind. A stalled event loop reads late: what it reads then may have
    arrived at any time since the loop last ran. Such a byte is dated to that time, and the watch has one heartbeat
    interval from the end of the stall to send more. If nothing was there to read, the watch was silent.
    """

    def __init__(
        self, on_message: Callable[[_Watch, Any], None], on_line: Callable[[_Watch], None], skip_malformed: bool,
        on_state_change: Callable[[], None],
    ) -> None:  # fmt: skip
        """``on_line`` is called for each complete line, ``on_state_change`` after each change of state."""
        self._loop = asyncio.get_running_loop()
        self._on_message = on_message
        self._on_line = on_line
        self._on_state_change = on_state_change
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._decoder = MessageDecoder(skip_malformed)
        self._state = WatchState.DIALING
        # The latest time at which the last byte can have arrived, and when the event loop last ran.
        self._last_byte_at = self._loop_ran_at = self._loop.time()
        self._message_started_at: float | None = None  # first byte of the incomplete message
        self._grace_until = self._stall_end = self._stall_start = -1e9
        self._timer: asyncio.TimerHandle | None = None
        self.ended: asyncio.Future[None] = self._loop.create_future()
        self.refusal_status = 0  # the status if it is not 200
        self.has_line = False  # whether a complete line has arrived

    def __repr__(self) -> str:
        return f"<_Watch {self._state.value}, last byte at {self._last_byte_at:.3f}>"

    @property
    def state(self) -> WatchState:
        """Return the progress of the watch."""
        return self._state if self._message_started_at is None else WatchState.PARTIAL_MESSAGE

    @property
    def last_byte_at(self) -> float:
        """Return the latest time at which its last byte can have arrived."""
        return self._last_byte_at

    async def open(self, host: str, port: int, request: bytes) -> None:
        """Dial and send the request. Raise OSError if that fails, WatchTimeoutError if the dial does not complete."""
        dial = self._loop.create_task(self._loop.create_connection(lambda: self, host, port))
        try:
            await asyncio.wait({dial}, timeout=TIMEOUTS[WatchState.DIALING])
            for _ in range(TURNS_BEFORE_TIMEOUT):
                if not dial.done():
                    await asyncio.sleep(0)
            if not dial.done():
                raise WatchTimeoutError("the dial timed out")
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
        self._finish(ConnectionError("closed by this process"))
        if not self.ended.cancelled():  # it is cancelled together with the task that awaits it
            self.ended.exception()  # retrieved here because nothing awaits it any more
        if self._transport is not None:
            self._transport.abort()

    def _finish(self, error: Exception) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if not self.ended.done():
            self.ended.set_exception(error)

    # Timeouts.

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
        """End the watch after ``turns`` more turns of the loop, unless data that has already arrived is read first."""
        if self.ended.done() or self._loop.time() < self._expires_at:
            return
        if turns:
            self._loop.call_soon(self._expire_after_turns, turns - 1)
        else:
            self._finish(WatchTimeoutError(self.state.value))

    @property
    def _expires_at(self) -> float:
        """Return the time at which the watch times out if nothing more arrives."""
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
        # Chunk boundaries are arbitrary: only line ends separate messages.
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
        raise ConnectionError("discovery ended the watch")


class Discovery:
    """Follows the server list at one address by one watch at a time. Without a watch, the known list stays in force.

    A watch that breaks or falls silent is replaced. Calls are hedged: while the newest makes no progress, the next
    starts in parallel, and the first that sends a line becomes the watch. Until then a silent watch stays open, so that
    what it sends is not lost if it was only late.
    """

    def __init__(
        self, host: str, port: int, since: int | None, on_listing: Callable[[Listing], None],
        draw: Callable[[], float] = lambda: 0.5, pushed: bool = False,
        on_contact: Callable[[], None] = lambda: None,
    ) -> None:  # fmt: skip
        """Prepare to follow the list at ``host``:``port`` from version ``since`` on.

        ``draw`` returns numbers from 0 to 1 for the jitter. ``pushed`` says that lists are pushed to an agent on this
        machine, so that a call costs discovery nothing. ``on_contact`` is called for each complete line of the
        watch, also for an empty one.
        """
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
        self._malformed_retried = False  # the last message was malformed and has been requested again
        self._outdated_retried = False  # the last message was outdated and has been requested again
        self._calls = dict[_Watch, asyncio.Task[None]]()  # calls in progress, oldest first
        self._active_watch: _Watch | None = None  # the call that has sent a line
        self._silent_watch: _Watch | None = None  # the previous watch, which timed out and is still open
        self._silent_version: int | None = None  # the newest version that the silent watch has sent since
        self._last_contact_at: float | None = None  # the last byte of the previous watch
        self._progress = asyncio.Event()  # set when a call changes state, sends a line or ends

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
        """Close all calls at once. The caller has to cancel the task that runs ``follow`` as well."""
        for watch, task in self._calls.items():
            task.cancel()
            watch.close()
        self._close_silent_watch()

    def backoff(self) -> float:
        """Return the seconds until the next call after one that ended: longer after each, and jittered."""
        limit = MAX_BACKOFF
        if self._is_overloaded and not self.pushed:
            limit = MAX_BACKOFF_URGENT if self._is_urgent else MAX_BACKOFF_BUSY
        wait, self._next_backoff = min(limit, self._next_backoff), min(limit, 4 * self._next_backoff)
        return self._apply_jitter(wait)

    def _hedge_delay(self, state: WatchState) -> float:
        """Return the seconds until a further call starts while one stays in this state."""
        if self.pushed:
            table = HEDGE_DELAYS
        elif self._is_urgent:
            table = HEDGE_DELAYS_URGENT
        else:
            table = HEDGE_DELAYS_BUSY if self._is_overloaded else HEDGE_DELAYS_SHARED
        return self._apply_jitter(table[state])

    def _apply_jitter(self, wait: float) -> float:
        return wait * (1 - JITTER + 2 * JITTER * self._random())

    @property
    def _is_urgent(self) -> bool:
        """Return whether the changes that the last watch missed do not yet count as known."""
        return self._last_contact_at is not None and _now() < self._last_contact_at + DELIVERY_LIMIT

    async def _open_watch(self) -> None:
        """Make hedged calls until one of them sends a line."""
        while self._active_watch is None:
            newest, advanced = self._begin_call(), True
            while advanced and self._active_watch is None:
                state, ended_before = newest.state, newest.ended.done()
                wait = self.backoff() if ended_before else self._hedge_delay(state)
                advanced = await self._wait_for_progress(newest, state, ended_before, _now() + wait)

    async def _wait_for_progress(
        self, newest: _Watch, state: WatchState, ended_before: bool, until: float
    ) -> bool:
        """Wait until a call sends a line or the newest leaves its state. Return False if neither happens in time."""
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
        """Start the next call. At the limit of calls, the oldest of those with the least progress is cancelled."""
        if len(self._calls) >= (MAX_CALLS_LOCAL if self.pushed else MAX_CALLS_SHARED):
            stages = list(WatchState)
            self._calls.pop(min(self._calls, key=lambda watch: stages.index(watch.state))).cancel()
        watch = _Watch(self._handle_message, self._handle_line, self._malformed_retried, self._progress.set)
        self._calls[watch] = asyncio.get_running_loop().create_task(self._run_call(watch))
        return watch

    async def _run_call(self, watch: _Watch) -> None:
        """Make one call and wait for its end."""
        since = "" if self._since is None else f"&since={self._since}"
        request = f"GET /v1/servers?follow=1{since} HTTP/1.1\r\nHost: {self._host}:{self._port}\r\n\r\n"
        keep_open = False
        try:
            await watch.open(self._host, self._port, request.encode())
            await watch.ended
        except WatchTimeoutError as error:
            keep_open = watch is self._active_watch
            self._log_failure(f"timed out, {error}")
        except (OSError, httptools.HttpParserError) as error:
            self._malformed_retried = self._malformed_retried or isinstance(error, MalformedMessageError)
            self._is_overloaded = watch.refusal_status in OVERLOAD_STATUSES
            if watch.refusal_status and not self._is_overloaded:
                self._since = None  # the refusal may concern the requested version
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
        if not self._failure_logged:  # once for a series of failures
            log.warning("the watch on discovery ended: %s", reason)
        self._failure_logged = True

    def _handle_line(self, watch: _Watch) -> None:
        """Make the call that sent this line the watch, and end the silent watch and the other calls."""
        if watch is self._active_watch:
            return self._on_contact()
        if watch is self._silent_watch or watch not in self._calls:
            return
        self._close_silent_watch()
        self._active_watch, self._is_overloaded = watch, False
        # Messages of the other calls are ignored from now on.
        others, self._calls = self._calls, {watch: self._calls[watch]}
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
            return log.warning("dropped a malformed message from discovery: %s", error)
        if watch is self._silent_watch:
            # It may have missed a message: this list is applied, but ``_since`` stays, so that the next call
            # requests the changes since before the silence.
            newest = max(self._since or 0, self._silent_version or 0)
            if listing.version > newest:
                self._silent_version = listing.version
                self._on_listing(listing)
            return
        if watch is not self._active_watch and watch not in self._calls:
            return  # another call has become the watch
        self._check_version(listing)
        self._since, self._failure_logged, self._next_backoff, self._malformed_retried = (
            listing.version,
            False,
            INITIAL_BACKOFF,
            False,
        )
        self._on_listing(listing)

    def _check_version(self, listing: Listing) -> None:
        """Raise OutdatedListError if the list is older than what is known.

        A list that is still older when requested again is accepted: it comes from another discovery service, whose
        versions are counted anew.
        """
        since, is_partial = self._since, not listing.servers.complete
        is_outdated = listing.version < (self._silent_version or 0) or (
            is_partial and listing.version < (since or 0)
        )
        if is_outdated and not self._outdated_retried:
            self._outdated_retried = True
            if is_partial and listing.version < (since or 0):
                self._since = None  # a partial update of an unknown list; request the complete one
            raise OutdatedListError(
                f"version {listing.version} behind {max(self._silent_version or 0, since or 0)}"
            )
        self._outdated_retried, self._silent_version = False, None


def _now() -> float:
    return asyncio.get_running_loop().time()


class DiscoveryClient:
    """Follows discovery at the newest address, and at the previous one until the newest has sent a list."""

    def __init__(
        self, on_listing: Callable[[Listing], None], draw: Callable[[], float] = lambda: 0.5, pushed: bool = False,
        on_contact: Callable[[], None] = lambda: None,
    ) -> None:  # fmt: skip
        """``draw`` returns numbers from 0 to 1, seeded per limiter so that many limiters do not call in step.
        ``on_contact`` is called for each complete line of the watch that is followed."""
        self._on_listing = on_listing
        self._random = draw
        self._pushed = pushed
        self._on_contact = on_contact
        self._watches = dict[asyncio.Task[None], Discovery]()  # of both tasks below
        self._current: asyncio.Task[None] | None = None  # the address whose list was applied last
        self._next: asyncio.Task[None] | None = None  # the newest address, until it has sent a list
        self._address: tuple[str, int] | None = None

    def follow(self, host: str, port: int, since: int | None = None) -> None:
        if (host, port) == self._address:
            return
        self._address = (host, port)
        self._stop(self._next)  # the address changed again before it sent a list
        # Without a version, another discovery service sends the complete list; its versions are its own.
        watch = Discovery(
            host, port, since, lambda listing: self._handle_listing(task, listing), self._random, self._pushed,
            lambda: self._handle_contact(task),
        )  # fmt: skip
        task = self._next = asyncio.get_running_loop().create_task(watch.follow())
        self._watches[task] = watch

    def set_pushed(self, pushed: bool) -> None:
        """Change whether lists are pushed to an agent on this machine."""
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
        if task is self._current:  # otherwise it is cancelled and has not ended yet
            self._on_listing(listing)
