"""Runs the decision module on real sockets: passes events to it, carries out its actions, and keeps the open requests.

This module makes no policy decisions. Every request gets exactly one final response: the one that the
decision module chooses or, if it stays silent, an error just before the client's deadline.
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
from cypresspulley.net.address_owners import AddressOwners
from cypresspulley.net.client_request import ClientRequest
from cypresspulley.net.counter import Counter
from cypresspulley.net.discovery import Listing
from cypresspulley.net.relay import Download
from cypresspulley.net.upstream import Exchange, Upstream, parse_load_report

log = logging.getLogger(__name__)

RESPONSE_MARGIN_SECONDS = 0.02  # taken off a request's time for the transfer of the response to the client
RESPONSE_MARGIN_SHARE = 0.1  # largest share of the request's time that the margin may take
GATEWAY_WAIT_SHARE = 0.5  # share of the margin for which the gateway may respond after the deadline
# Smaller changes are drift: a synchronized clock is slewed, which changes it by less than this in a minute.
MIN_WALL_CLOCK_STEP_SECONDS = 0.05
# A request whose time passed before it was read is responded to after this time.
MIN_TIME_LEFT_SECONDS = 0.001
PROBE_TIMEOUT_SECONDS = 0.25


class UnixClock:
    """Unix time that never steps: the wall clock is read once, and the monotonic clock is added to it.

    ``offset`` is the difference between the two clocks, in seconds. A process that takes over the state of a
    predecessor takes over its offset as well: the wall clock may have stepped between the two starts, while the
    monotonic clock is the same for all processes of the machine.
    """

    def __init__(self) -> None:
        self.offset = time.time() - time.monotonic()

    def __repr__(self) -> str:
        return f"<UnixClock, {self.offset:.3f} s over the monotonic clock>"

    def __call__(self) -> float:
        return self.offset + time.monotonic()


class DecisionModule(Protocol):
    """Responds to events with actions; implemented by ``policy.gateway.Gateway``."""

    def handle(self, now: float, event: api.Event) -> list[api.Action]: ...


class _OpenRequest:
    """A request without a final response."""

    __slots__ = ("attempts", "deadline", "request", "response_started", "timer")

    def __init__(self, request: ClientRequest, deadline: float) -> None:
        self.request = request
        self.deadline = deadline
        self.attempts = list[Exchange]()
        self.timer: asyncio.TimerHandle | None = None
        self.response_started = False  # a streamed response has begun to reach the client

    @property
    def is_repeatable(self) -> bool:
        """Whether the request may run any number of times."""
        return self.request.event is not None and self.request.event.effect is api.Effect.SAFE

    def __repr__(self) -> str:
        event, upload = self.request.event, self.request.upload
        kind = event.request_class if event is not None else "unknown class"
        body = "" if upload is None else f", {upload!r}"
        attempts = ", ".join(f"{each.server} {each.phase}" for each in self.attempts) or "none"
        return f"<request {self.request.id.decode('latin-1')} {kind}{body}, attempts: {attempts}>"


class Node:
    """Connects a decision module to the clients' and the servers' side of this process."""

    def __init__(
        self,
        settings: api.Settings,
        gateway: DecisionModule,
        clock: Callable[[], float],
        upstream: Upstream,
        counter: Counter | None,
    ) -> None:
        self._settings = settings
        self._gateway = gateway
        self._clock = clock
        self._wall_clock_shift = 0.0  # seconds by which the wall clock was last seen ahead of ``clock``
        self._upstream = upstream
        self._counter = counter
        self._max_attempts = settings.max_attempts
        self._address_owners = AddressOwners()
        self._loop = asyncio.get_running_loop()
        self._open_requests = dict[int, _OpenRequest]()
        self._events = deque[api.Event]()
        # Sends a text to the other limiters; None if no addresses of them are configured.
        self.broadcast: Callable[[str], None] | None = None
        self._is_handling_events = False
        self._ban_applied = False
        self._discovery_contact_at: float | None = None  # when discovery last sent anything
        self._action_handlers: dict[type, Callable[[Any], None]] = {
            api.Send: self._send, api.Refuse: self._refuse, api.Fail: self._fail, api.Cancel: self._cancel,
            api.Count: self._count, api.Broadcast: self._broadcast, api.Probe: self._probe, api.Ban: self._ban,
            api.SetTimer: self._set_timer, api.Log: self._log,
        }  # fmt: skip

    @property
    def open_requests(self) -> int:
        return len(self._open_requests)

    def feed(self, event: api.Event) -> None:
        """Pass an event to the decision module and carry out its actions, then those of the events that they cause."""
        self._events.append(event)
        self._handle_pending_events()

    def _handle_pending_events(self) -> None:
        if self._is_handling_events:
            return
        self._is_handling_events = True
        try:
            while self._events:
                self._handle_event(self._events.popleft())
        finally:
            self._is_handling_events = False

    def apply_listing(self, listing: Listing) -> None:
        """Apply a server list or an update of it from discovery.

        The connection pool applies all of it before the decision module handles the list, and the module handles the
        list before the outcomes of the attempts that it ended. Otherwise it would retry those on the next server that
        is draining.
        """
        entries = self._address_owners.resolve(listing.servers, listing.addresses, self._clock())
        previous = self._discovery_contact_at
        self._events.append(replace(listing.servers, entries=entries, previous=previous))
        self.record_discovery_contact()
        was_handling, self._is_handling_events = self._is_handling_events, True
        try:
            if listing.servers.complete:
                self._upstream.retain_servers(set(listing.addresses))
            for entry in entries:
                up = entry.health is api.Health.UP
                address = listing.addresses.get(entry.name, "")
                self._upstream.update_server(entry.name, address, up, entry.born)
        finally:
            self._is_handling_events = was_handling
        self._handle_pending_events()

    def use_counter(self, counter: Counter) -> None:
        """Send calls to this counter from now on."""
        self._counter = counter

    def record_discovery_contact(self) -> None:
        """Record that discovery sent something: the server list is known to be current up to now."""
        self._discovery_contact_at = self._clock()

    def arrived(self, request: ClientRequest) -> None:
        """Open a client's request, whose body may still be incomplete, and pass it to the decision module."""
        event = request.event
        assert event is not None
        left = max(MIN_TIME_LEFT_SECONDS, event.ttl - request.receive_delay)
        margin = min(RESPONSE_MARGIN_SECONDS, RESPONSE_MARGIN_SHARE * left)
        opened = self._open_requests[event.id] = _OpenRequest(request, float("inf"))
        if request.upload is None or request.upload.complete:
            self._set_deadline(opened, event, margin)
        else:
            event = replace(event, body_pending=True)
            request.upload.on_progress = partial(self._handle_body_progress, event, margin)
        self.feed(replace(event, ttl=left - margin))

    def _set_deadline(self, opened: _OpenRequest, event: api.Request, margin: float) -> None:
        """Set the deadline of a request, which counts from the arrival of its last byte at this machine."""
        left = max(MIN_TIME_LEFT_SECONDS, event.ttl - opened.request.receive_delay)
        opened.deadline = self._clock() + left - margin
        for attempt in opened.attempts:
            attempt.deadline = opened.deadline
        respond_after = left - GATEWAY_WAIT_SHARE * margin
        opened.timer = self._loop.call_later(respond_after, self._respond_for_gateway, event.id, 504)

    def _handle_body_progress(self, event: api.Request, margin: float, whole: bool, kept: bool) -> None:
        """Handle a streamed body that is complete or can no longer be sent again."""
        opened = self._open_requests.get(event.id)
        if opened is None:
            return
        if whole and opened.timer is None and not opened.response_started:
            self._set_deadline(opened, event, margin)
            for attempt in opened.attempts:
                self._upstream.start_response_timeout(attempt)  # it may still wait for its dial
        self.feed(api.BodyProgress(event.id, whole, kept))

    def _handle_response_start(self, id: int, number: int, attempt: Exchange, download: Download) -> None:
        """Stream a large response to the client as it arrives."""
        opened = self._open_requests.get(id)
        if opened is None:
            return download.drop()
        opened.response_started = True
        if opened.timer is not None:
            opened.timer.cancel()
        opened.request.begin_stream(download)
        self.feed(api.ResponseStarted(id, number, attempt.server, attempt.elapsed, attempt.report))

    def departed(self, request: ClientRequest) -> None:
        """Drop a request whose client has disconnected, and notify the decision module."""
        if request.event is not None and self._remove_request(request.event.id) is not None:
            self.feed(api.ClientDisconnected(request.event.id))

    def give_up(self, request: ClientRequest) -> None:
        """Respond to a request that cannot be kept any longer: 503 if it was never sent to a server, else 500."""
        event = request.event
        opened = None if event is None else self._open_requests.get(event.id)
        if event is not None and opened is not None:
            self._respond_for_gateway(event.id, 500 if opened.attempts else 503)

    def overdue(self, request: ClientRequest) -> None:
        """Respond to a request whose deadline has passed while a server held up its body."""
        if request.event is not None:
            self._respond_for_gateway(request.event.id, 504)

    def retune(self, settings: api.Settings) -> None:
        """Replace the settings.

        The larger of the old and the new ``max_attempts`` applies, because the decision module may go on with open
        requests by the old settings.
        """
        self._max_attempts = max(self._settings.max_attempts, settings.max_attempts)
        self._settings = settings
        self.feed(api.SettingsChanged(settings))

    def suspend(self, server: str, out: bool, sure: bool = False) -> bool:
        """Ban a server, or lift its ban with ``out`` false; return whether it took effect, which it does not for an
        unknown id unless ``sure`` is set."""
        self._ban_applied = False
        self.feed(api.Suspend(server, out, sure))
        return self._ban_applied

    def fail_open_requests(self) -> None:
        """Respond to all open requests with 504 before the process exits, so that none is lost."""
        for id in list(self._open_requests):
            self._respond_for_gateway(id, 504)

    def check_wall_clock(self, wall: Callable[[], float]) -> None:
        """Report a step of the wall clock to the decision module, because all limiters use it to name shared counts.

        To be called several times in the shortest window of a ceiling.
        """
        shift = wall() - self._clock()
        if abs(shift - self._wall_clock_shift) > MIN_WALL_CLOCK_STEP_SECONDS:
            log.warning("wall clock stepped by %.3f s", shift - self._wall_clock_shift)
            self._wall_clock_shift = shift
            self.feed(api.WallClockStep(shift))

    def _handle_event(self, event: api.Event) -> None:
        try:
            actions = self._gateway.handle(self._clock(), event)
        except Exception:
            log.exception("the decision module failed on %s", type(event).__name__)
            if isinstance(event, api.Request):
                self._respond_for_gateway(event.id, 500)
            elif isinstance(event, api.TimerFired):
                # These actions would have set the next timer; without it the module would never tick again.
                self._loop.call_later(1.0, self.feed, event)
            return
        for action in actions:
            try:
                self._action_handlers[type(action)](action)
            except Exception:
                log.exception("an action failed: %s", action)

    def _remove_request(self, id: int) -> _OpenRequest | None:
        """Remove a request from the open ones and cancel its attempts."""
        opened = self._open_requests.pop(id, None)
        if opened is not None:
            if opened.timer is not None:
                opened.timer.cancel()
            for attempt in opened.attempts:
                self._upstream.cancel(attempt)
            if not opened.is_repeatable:
                opened.request.may_have_run = any(attempt.may_have_run for attempt in opened.attempts)
        return opened

    def _respond_for_gateway(self, id: int, status: int) -> None:
        """Respond to a request for which the decision module failed or made no decision in time."""
        if (opened := self._remove_request(id)) is not None:
            log.warning("responded %d without a decision of the gateway: %r", status, opened)
            if opened.response_started:
                opened.request.end_stream(False)
            else:
                opened.request.respond(status)
            self.feed(api.ClientDisconnected(id))

    # Actions.

    def _send(self, action: api.Send) -> None:
        opened = self._open_requests.get(action.id)
        if opened is None:
            log.error("ignored a send action for a request that is not open")
            return
        number = len(opened.attempts)
        request, wait = opened.request, action.timeout or float("inf")
        upload_incomplete = request.upload is not None and not request.upload.complete
        expires = float("inf") if upload_incomplete else min(opened.deadline, self._clock() + wait)
        handler = self._handle_attempt_end if request.dialect is None else self._handle_dialect_attempt_end
        on_done = partial(handler, action.id, number)
        attempt = Exchange(action.server, request.head, request.body, expires, on_done, action.latest_start)
        attempt.deadline = 0.0 if upload_incomplete else opened.deadline
        attempt.check_client_present = request.check_client_present
        if (upload := request.upload) is not None:
            assert request.event is not None
            attempt.upload, attempt.response_timeout = (
                upload,
                min(wait, max(MIN_TIME_LEFT_SECONDS, request.event.ttl - request.receive_delay)),
            )
        if request.dialect is None:
            attempt.on_download = partial(self._handle_response_start, action.id, number)
        opened.attempts.append(attempt)
        if not opened.is_repeatable:
            request.announce_attempt()
        if number < self._max_attempts:
            self._upstream.start(attempt)
        else:
            self._upstream.finish(attempt, api.Status.NOT_SENT)

    def _handle_dialect_attempt_end(self, id: int, number: int, attempt: Exchange) -> None:
        """Let the request's dialect examine the response, which may say more than its status, before the attempt
        ends."""
        opened = self._open_requests.get(id)
        if opened is not None and opened.request.dialect is not None and attempt.status is api.Status.OK:
            try:
                opened.request.dialect.process_response(attempt)
            except Exception:
                log.exception("could not examine a response; it is passed on as it is")
        self._handle_attempt_end(id, number, attempt)

    def _handle_attempt_end(self, id: int, number: int, attempt: Exchange) -> None:
        if attempt.download is not None:
            if (opened := self._remove_request(id)) is not None:
                opened.request.end_stream(attempt.status is api.Status.OK)
        elif attempt.status is api.Status.OK and (opened := self._remove_request(id)) is not None:
            opened.request.respond(200, attempt.response_body, attempt.response_headers)
        finished = id not in self._open_requests
        reported = attempt.report, attempt.quota_used_share, attempt.charged_units
        self.feed(
            api.Outcome(id, number, attempt.server, attempt.status, attempt.elapsed, finished, *reported)
        )

    def _refuse(self, action: api.Refuse) -> None:
        if (opened := self._remove_request(action.id)) is not None:
            wait = max(0.0, action.retry_after)
            opened.request.respond(429, retry_after=wait, why=action.why, units_left=action.quota_left)

    def _fail(self, action: api.Fail) -> None:
        if (opened := self._remove_request(action.id)) is not None:
            opened.request.respond(502)

    def _cancel(self, action: api.Cancel) -> None:
        opened = self._open_requests.get(action.id)
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

    def _broadcast(self, action: api.Broadcast) -> None:
        if self.broadcast is not None:
            self.broadcast(action.text)

    def _probe(self, action: api.Probe) -> None:
        path = b"/load" if self._settings.load_on_probe else b"/healthz"
        head = b"GET %b HTTP/1.1\r\nHost: %b\r\n" % (path, action.server.encode())
        expires = self._clock() + PROBE_TIMEOUT_SECONDS
        self._upstream.start(Exchange(action.server, head, b"", expires, self._probed))

    def _probed(self, probe: Exchange) -> None:
        report = probe.report
        if self._settings.load_on_probe and probe.status is api.Status.OK and not report:
            report = parse_load_report(probe.response_body.decode("latin-1"))
        self.feed(api.Probed(probe.server, probe.status, probe.elapsed, report))

    def _ban(self, action: api.Ban) -> None:
        self._upstream.set_banned(action.server, action.out)
        self._ban_applied = True

    def _set_timer(self, action: api.SetTimer) -> None:
        self._loop.call_later(action.delay, self.feed, api.TimerFired(action.token))

    def _log(self, action: api.Log) -> None:
        log.info("%s", action.text)
