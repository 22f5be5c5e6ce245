"""Events in, actions out: the only caller of the decisions, and the table of open requests.

No policy lives here. Every request that comes in gets exactly one final answer: the decisions',
or, if they are silent, a failure just before the client's time is up.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections import deque
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from typing import Any, Protocol

from cypresspulley import interface as api
from cypresspulley.net.counter import Counter
from cypresspulley.net.discovery import Listing
from cypresspulley.net.frontend import ClientRequest
from cypresspulley.net.relay import Download
from cypresspulley.net.upstream import Exchange, Upstream, load_report

log = logging.getLogger(__name__)

MARGIN, MARGIN_SHARE = 0.02, 0.1  # seconds kept for the way back of an answer; their share of a short time
SILENT_SHARE = 0.5  # of the margin that the decisions have for their answer at the deadline
WALL_STEP = 0.05  # seconds: clocks that are kept right are slewed, and drift less than this in a minute
LEAST_LEFT = 0.001  # seconds: a request that lay in the machine for all of its time is answered at once
PROBE_TIMEOUT = 0.25


class UnixClock:
    """Unix time that never jumps: it is read once, and goes on by the monotonic clock.

    ``offset`` is what lies between the two, in seconds. A process that goes on with another one's state goes on with
    its offset as well: the wall clock may have stepped between the starts of the two, and the monotonic clock is the
    machine's.
    """

    def __init__(self) -> None:
        self.offset = time.time() - time.monotonic()

    def __repr__(self) -> str:
        return f"<UnixClock, {self.offset:.3f} s over the monotonic clock>"

    def __call__(self) -> float:
        return self.offset + time.monotonic()


class Decisions(Protocol):
    """What answers events with actions: ``policy.gateway.Gateway``."""

    def handle(self, now: float, event: api.Event) -> list[api.Action]: ...


class _Open:
    """A request that has no final answer yet."""

    __slots__ = ("attempts", "begun", "deadline", "request", "timer")

    def __init__(self, request: ClientRequest, deadline: float) -> None:
        self.request, self.deadline = request, deadline
        self.attempts = list[Exchange]()
        self.timer: asyncio.TimerHandle | None = None
        self.begun = False  # an answer reaches the client already


class Node:
    """The decisions on real sockets."""

    def __init__(
        self,
        settings: api.Settings,
        gateway: Decisions,
        clock: Callable[[], float],
        upstream: Upstream,
        counter: Counter | None,
    ) -> None:
        self._settings, self._gateway, self._clock = settings, gateway, clock
        self._shift = 0.0  # seconds by which it was ahead of the decisions' clock
        self._upstream, self._counter = upstream, counter
        self._most_attempts = settings.max_attempts
        self._loop = asyncio.get_running_loop()
        self._open = dict[int, _Open]()
        self._events = deque[api.Event]()
        self.tell: Callable[[str], None] | None = None  # sends to the other limiters, where there is a way
        self._busy = self._ruled = False
        self._word_at: float | None = None  # when discovery spoke last
        self._actions: dict[type, Callable[[Any], None]] = {
            api.Send: self._send, api.Refuse: self._refuse, api.Fail: self._fail, api.Cancel: self._cancel,
            api.Count: self._count, api.Broadcast: self._tell, api.Probe: self._probe, api.Ban: self._ban,
            api.SetTimer: self._set_timer, api.Log: self._log,
        }  # fmt: skip

    @property
    def open_requests(self) -> int:
        return len(self._open)

    def feed(self, event: api.Event) -> None:
        """Hand an event to the decisions and carry out their actions; events that these cause follow on."""
        self._events.append(event)
        self._work_off()

    def _work_off(self) -> None:
        if self._busy:
            return
        self._busy = True
        try:
            while self._events:
                self._step(self._events.popleft())
        finally:
            self._busy = False

    def listed(self, listing: Listing) -> None:
        """Discovery has told something: the sockets heed all of it before the decisions hear of it, and these hear
        of it before what it ended: else they would send that on to the next server that drains."""
        self._events.append(replace(listing.servers, previous=self._word_at))
        self.confirmed()
        held, self._busy = self._busy, True
        try:
            if listing.servers.complete:
                self._upstream.keep_only(set(listing.dials))
            for entry in listing.servers.entries:
                up = entry.health is api.Health.UP
                self._upstream.update(entry.name, listing.dials[entry.name], up, entry.born)
        finally:
            self._busy = held
        self._work_off()

    def use_counter(self, counter: Counter) -> None:
        """Calls go to this counter from now on."""
        self._counter = counter

    def confirmed(self) -> None:
        """Discovery has said something: until now nothing else has changed than what it told."""
        self._word_at = self._clock()

    def arrived(self, request: ClientRequest) -> None:
        event = request.event
        assert event is not None
        left = max(LEAST_LEFT, event.ttl - request.receive_delay)
        margin = min(MARGIN, MARGIN_SHARE * left)
        opened = self._open[event.id] = _Open(request, float("inf"))
        if request.upload is None or request.upload.complete:
            self._time(opened, event, margin)
        else:
            event = replace(event, body_pending=True)
            request.upload.on_progress = partial(self._body, event, margin)
        self.feed(replace(event, ttl=left - margin))

    def _time(self, opened: _Open, event: api.Request, margin: float) -> None:
        """A request's time counts from when its last byte came to the machine."""
        left = max(LEAST_LEFT, event.ttl - opened.request.receive_delay)
        opened.deadline = self._clock() + left - margin
        last = left - SILENT_SHARE * margin
        opened.timer = self._loop.call_later(last, self._abandon, event.id, 504)

    def _body(self, event: api.Request, margin: float, whole: bool, kept: bool) -> None:
        """A body that flows is whole, or can no longer be sent again."""
        opened = self._open.get(event.id)
        if opened is None:
            return
        if whole and opened.timer is None and not opened.begun:
            self._time(opened, event, margin)
            for attempt in opened.attempts:
                self._upstream.whole(attempt)  # one that waits for its dial still
        self.feed(api.BodyProgress(event.id, whole, kept))

    def _began(self, id: int, number: int, attempt: Exchange, download: Download) -> None:
        """A large answer comes: the client gets it as it does."""
        opened = self._open.get(id)
        if opened is None:
            return download.drop()
        opened.begun = True
        if opened.timer is not None:
            opened.timer.cancel()
        opened.request.begin_stream(download)
        self.feed(api.ResponseStarted(id, number, attempt.server, attempt.elapsed, attempt.report))

    def departed(self, request: ClientRequest) -> None:
        if request.event is not None and self._close(request.event.id) is not None:
            self.feed(api.ClientDisconnected(request.event.id))

    def retune(self, settings: api.Settings) -> None:
        """Other settings hold from now on. Attempts: those of open requests are the decisions' affair."""
        self._most_attempts = max(self._settings.max_attempts, settings.max_attempts)
        self._settings = settings
        self.feed(api.SettingsChanged(settings))

    def suspend(self, server: str, out: bool, sure: bool = False) -> bool:
        """Operators take a server out or call it back. Whether the call is in force: not for an unknown id."""
        self._ruled = False
        self.feed(api.Suspend(server, out, sure))
        return self._ruled

    def abandon_all(self) -> None:
        """Fail what is still open: the process is about to end, and a request must not end with it."""
        for id in list(self._open):
            self._abandon(id, 504)

    def look_at(self, wall: Callable[[], float]) -> None:
        """Tell the decisions where the wall clock has stepped: all limiters name what they share by it. To be called
        some times in the shortest window of a ceiling."""
        shift = wall() - self._clock()
        if abs(shift - self._shift) > WALL_STEP:
            log.warning("the wall clock has stepped by %.3f s", shift - self._shift)
            self._shift = shift
            self.feed(api.WallClockStep(shift))

    def _step(self, event: api.Event) -> None:
        try:
            actions = self._gateway.handle(self._clock(), event)
        except Exception:
            log.exception("the decisions failed on %s", type(event).__name__)
            if isinstance(event, api.Request):
                self._abandon(event.id, 500)
            elif isinstance(event, api.TimerFired):
                # The next timer was to come with these actions: without it they would never tick again.
                self._loop.call_later(1.0, self.feed, event)
            return
        for action in actions:
            try:
                self._actions[type(action)](action)
            except Exception:
                log.exception("an action failed: %s", action)

    def _close(self, id: int) -> _Open | None:
        """Take a request off the table; attempts that are out are of no more use."""
        opened = self._open.pop(id, None)
        if opened is not None:
            if opened.timer is not None:
                opened.timer.cancel()
            for attempt in opened.attempts:
                self._upstream.cancel(attempt)
        return opened

    def _abandon(self, id: int, status: int) -> None:
        """Answer for decisions that are silent or broken."""
        if (opened := self._close(id)) is not None:
            log.warning("a request was answered %d in place of the decisions", status)
            if opened.begun:
                opened.request.end_stream(False)
            else:
                opened.request.respond(status)
            self.feed(api.ClientDisconnected(id))

    # Actions.

    def _send(self, action: api.Send) -> None:
        opened = self._open.get(action.id)
        if opened is None:
            log.error("a send for a request that has ended was dropped")
            return
        number = len(opened.attempts)
        request, wait = opened.request, action.timeout or float("inf")
        body_pending = request.upload is not None and not request.upload.complete
        expires = float("inf") if body_pending else min(opened.deadline, self._clock() + wait)
        told = self._attempted if request.dialect is None else self._answered
        done = partial(told, action.id, number)
        attempt = Exchange(action.server, request.head, request.body, expires, done, action.latest_start)
        attempt.present = request.check_client_present
        if (upload := request.upload) is not None:
            assert request.event is not None
            attempt.upload, attempt.wait = (
                upload,
                min(wait, max(LEAST_LEFT, request.event.ttl - request.receive_delay)),
            )
        if request.dialect is None:
            attempt.begun = partial(self._began, action.id, number)
        opened.attempts.append(attempt)
        if number < self._most_attempts:
            self._upstream.start(attempt)
        else:
            self._upstream.end(attempt, api.Status.NOT_SENT)

    def _answered(self, id: int, number: int, attempt: Exchange) -> None:
        """An attempt of a request with a dialect: its answer may say more than its status does."""
        opened = self._open.get(id)
        if opened is not None and opened.request.dialect is not None and attempt.status is api.Status.OK:
            try:
                opened.request.dialect.process_response(attempt)
            except Exception:
                log.exception("an answer was passed on unread")
        self._attempted(id, number, attempt)

    def _attempted(self, id: int, number: int, attempt: Exchange) -> None:
        if attempt.download is not None:
            if (opened := self._close(id)) is not None:
                opened.request.end_stream(attempt.status is api.Status.OK)
        elif attempt.status is api.Status.OK and (opened := self._close(id)) is not None:
            opened.request.respond(200, attempt.answer, attempt.answer_headers)
        finished = id not in self._open
        told = attempt.report, attempt.used, attempt.units
        self.feed(api.Outcome(id, number, attempt.server, attempt.status, attempt.elapsed, finished, *told))

    def _refuse(self, action: api.Refuse) -> None:
        if (opened := self._close(action.id)) is not None:
            wait = max(0.0, action.retry_after)
            opened.request.respond(429, retry_after=wait, why=action.why, units_left=action.quota_left)

    def _fail(self, action: api.Fail) -> None:
        if (opened := self._close(action.id)) is not None:
            opened.request.respond(502)

    def _cancel(self, action: api.Cancel) -> None:
        opened = self._open.get(action.id)
        if opened is not None and action.attempt < len(opened.attempts):
            self._upstream.cancel(opened.attempts[action.attempt])

    def _count(self, action: api.Count) -> None:
        name = action.name
        if self._counter is None:
            self.feed(api.Counted(name, api.Status.UNREACHABLE))
        else:
            self._counter.call(
                name,
                action.amount,
                action.lifetime,
                lambda status, total: self.feed(api.Counted(name, status, total)),
            )

    def _tell(self, action: api.Broadcast) -> None:
        if self.tell is not None:
            self.tell(action.text)

    def _probe(self, action: api.Probe) -> None:
        path = b"/load" if self._settings.load_on_probe else b"/healthz"
        head = b"GET %b HTTP/1.1\r\nHost: %b\r\n" % (path, action.server.encode())
        expires = self._clock() + PROBE_TIMEOUT
        self._upstream.start(Exchange(action.server, head, b"", expires, self._probed))

    def _probed(self, probe: Exchange) -> None:
        report = probe.report
        if self._settings.load_on_probe and probe.status is api.Status.OK and not report:
            report = load_report(probe.answer.decode("latin-1"))
        self.feed(api.Probed(probe.server, probe.status, probe.elapsed, report))

    def _ban(self, action: api.Ban) -> None:
        self._upstream.ban(action.server, action.out)
        self._ruled = True

    def _set_timer(self, action: api.SetTimer) -> None:
        self._loop.call_later(action.delay, self.feed, api.TimerFired(action.token))

    def _log(self, action: api.Log) -> None:
        log.info("%s", action.text)
