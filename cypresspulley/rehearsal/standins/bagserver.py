"""A simulated bag server: the processor model behind HTTP/1.1, with one listening address for each limiter."""

from __future__ import annotations

import asyncio
import json
from collections import deque
from collections.abc import Callable
from random import Random

import httptools

from cypresspulley.rehearsal import records as log
from cypresspulley.rehearsal.standins.network import Link, LinkedProtocol, Listening, listen
from cypresspulley.rehearsal.standins.processor import Job, Machine, Processor
from cypresspulley.rehearsal.standins.run_context import KnownRequest, RunContext

MAX_BODY_BYTES = 64 * 1024
NOT_PROCESSED = b"X-Not-Processed: 1\r\n"
REASONS = {200: b"OK", 400: b"Bad Request", 404: b"Not Found", 500: b"Error", 503: b"Unavailable"}
IDLE_SWEEP_INTERVAL = 0.5  # seconds between two checks for idle connections
# Malformed responses: random bytes, a negative length, a body shorter than its length, a status out of range.
MALFORMED_RESPONSES = (
    b"\x00\xff\x00garbled\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: -3\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\n{",
    b"HTTP/1.1 99 Low\r\nContent-Length: 0\r\n\r\n",
)
# Characters of a response body that records keep. The id, server and run that identify a response come first in it.
MAX_RECORDED_CHARS = 400
FALSE_COSTS: tuple[object, ...] = (-5, 1_000_000_000, "many", None, 1e308)  # wrong costs, reported in turn
QPS_WINDOW = 2.0  # seconds over which the reported request rate is averaged


class KeyedResponseCache:
    """Responses to keyed requests by id, shared by a group of servers; each entry expires."""

    MAX_ENTRIES = 100_000

    def __init__(self) -> None:
        self._entries = dict[str, tuple[float, str]]()

    def find(self, now: float, id: str) -> str | None:
        until, body = self._entries.get(id, (0.0, ""))
        return body if until > now else None

    def keep(self, until: float, id: str, body: str) -> None:
        if len(self._entries) >= self.MAX_ENTRIES:
            del self._entries[next(iter(self._entries))]
        self._entries[id] = (until, body)


class _Attempt:
    __slots__ = ("connection", "id", "job", "number", "request")

    def __init__(
        self, number: int, id: str, request: KnownRequest, connection: _Connection, job: Job
    ) -> None:
        self.number, self.id, self.request, self.connection, self.job = number, id, request, connection, job


class _Connection(LinkedProtocol):
    """One connection of a limiter, which carries one HTTP/1.1 request at a time."""

    def __init__(self, server: BagServer, link: Link) -> None:
        super().__init__(link)
        self.server = server
        self.attempt: _Attempt | None = None
        self.is_over_limit = False
        self.idle_since = 0.0
        self._parser = httptools.HttpRequestParser(self)
        self._sent_at: float | None = None
        self._headers = dict[bytes, bytes]()
        self._url, self._body = b"", b""

    def opened(self) -> None:
        self.is_over_limit = not self.server.opened(self)
        self.idle_since = self.server.context.now()

    def ended(self) -> None:
        self.server.closed(self)

    def received(self, data: bytes) -> None:
        if self._sent_at is None:
            self._sent_at = self.server.context.now() if self.sent_since is None else self.sent_since
        self.sent_since = None
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.close()  # a server closes a connection that it cannot parse, even with a request open on it

    def on_message_begin(self) -> None:
        self._headers, self._url, self._body = {}, b"", b""

    def on_url(self, url: bytes) -> None:
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers[name.lower()] = value

    def on_body(self, body: bytes) -> None:
        self._body += body
        if len(self._body) > MAX_BODY_BYTES:
            raise ValueError("body too large")

    def on_message_complete(self) -> None:
        sent_at, self._sent_at = self._sent_at or 0.0, None
        self.idle_since = self.server.context.now()
        method, target = self._parser.get_method().decode(), self._url.decode("latin-1")
        id = self._headers.get(b"x-request-id", b"").decode("latin-1").lower()
        timeout_ms = self._headers.get(b"x-timeout-ms", b"")
        timeout_seconds = int(timeout_ms) / 1000 if timeout_ms.isdigit() else -1.0
        self.server.handle_request(self, method, target, id, bytes(self._body), sent_at, timeout_seconds)

    def answer(self, status: int, body: bytes, headers: bytes = b"", close: bool = False) -> None:
        head = b"HTTP/1.1 %d %b\r\nContent-Length: %d\r\n%b%b\r\n" % (
            status, REASONS[status], len(body), headers, b"Connection: close\r\n" * close
        )  # fmt: skip
        self.send(head + body)
        if close:
            asyncio.get_running_loop().call_later(self.link.delay + 0.01, self.close)


class BagServer:
    """One server process. ``crash`` ends it; ``start`` runs it again, cold if asked, at the same addresses."""

    def __init__(
        self, context: RunContext, name: str, hall: str, cell: int, machine: Machine,
        response_cache: KeyedResponseCache, rng: Random, report_every: float, idle: float, connections: int,
        stops_running: bool,
    ) -> None:  # fmt: skip
        self.context, self.name, self.hall, self.cell = context, name, hall, cell
        self.machine, self._response_cache, self._rng = machine, response_cache, rng
        self._report_every, self._idle_timeout, self._max_connections = report_every, idle, connections
        self._stops_running = stops_running
        self._links = dict[str, Link]()
        self._listeners = dict[str, Listening]()
        self._hosts = dict[str, tuple[str, int]]()
        self._connections = dict[_Connection, None]()
        self._attempts = dict[int, _Attempt]()
        self._timer: asyncio.TimerHandle | None = None
        self._sweep_timer: asyncio.TimerHandle | None = None
        self._recent_arrivals = deque[float]()
        self._report, self._reported_at = b"", -1e9
        self._completed_count = 0
        self.cpu = Processor(machine, context.now(), cold=False)
        self.error_share = self.reset_share = self.spoilt_share = self.doubled_share = self.lie_share = 0.0
        self.slow_by = 0.0  # seconds by which each response is delayed
        self.draining = self.gone = False
        self.alive = False
        self.born_ms = 0

    def __repr__(self) -> str:
        state = "hung" if self.cpu.hung else "draining" if self.draining else "up" if self.alive else "down"
        return f"<BagServer {self.name} {state}, {len(self.cpu.running)} run, {len(self.cpu.queue)} wait>"

    def add_address(self, link: Link, host: str, port: int = 0) -> None:
        """Set the address at which a limiter reaches this server once started; port 0 lets the system choose."""
        self._links[link.limiter], self._hosts[link.limiter] = link, (host, port)

    def release_ports(self) -> None:
        """Let the system choose new ports at the next start."""
        self._hosts = {limiter: (host, 0) for limiter, (host, _) in self._hosts.items()}

    def start(self, cold: bool) -> None:
        """Start the process and listen on all its addresses. Raise OSError if one of them is in use."""
        self.alive, self.draining = True, False
        self.cpu = Processor(self.machine, self.context.now(), cold)
        self.born_ms = self.context.unix_ms() if cold else 0
        for limiter, (host, port) in self._hosts.items():
            listener = listen(host, self._links[limiter], lambda link: _Connection(self, link), port)
            self._listeners[limiter], self._hosts[limiter] = listener, (host, listener.port)
        self._sweep()
        self._record_state("started" if cold else "up")

    def get_address(self, limiter: str) -> str:
        host, port = self._hosts[limiter]
        return f"{host}:{port}"

    def crash(self, what: str = "crashed") -> None:
        """Kill the process: its connections are reset, new ones are refused and its work is lost."""
        self.gone = self.gone or what == "gone"
        if not self.alive:
            return
        self.alive = False
        for handle in (self._timer, self._sweep_timer):
            if handle is not None:
                handle.cancel()
        self._timer = self._sweep_timer = None
        for listener in self._listeners.values():
            listener.close()
        for attempt in list(self._attempts.values()):
            self._drop(attempt)
        for connection in list(self._connections):
            connection.reset()
        self._connections.clear()
        self._record_state(what)

    def drain(self) -> None:
        self.draining = True
        self._record_state("draining")

    def undrain(self) -> None:
        self.draining = False
        self._record_state("up")

    def set_hung(self, hung: bool) -> None:
        """Hang or resume the process. While hung it accepts requests and does not work on them."""
        self._advance()
        self.cpu.hung = hung
        self._advance()

    def _record_state(self, what: str) -> None:
        machine = self.machine
        self.context.record(
            log.ServerState(
                self.context.now(),
                self.name,
                self.hall,
                self.cell,
                what,
                machine.cores,
                machine.cold_share,
                machine.cold_seconds,
            )
        )

    # Connections.

    def opened(self, connection: _Connection) -> bool:
        """Register a connection; return False if it exceeds the limit on connections."""
        self._connections[connection] = None
        return len(self._connections) <= self._max_connections

    def closed(self, connection: _Connection) -> None:
        self._connections.pop(connection, None)
        if connection.attempt is not None:
            self._drop(connection.attempt)
            self._advance()

    def _drop(self, attempt: _Attempt) -> None:
        """End an attempt whose limiter has gone or whose process died."""
        if self._attempts.pop(attempt.number, None) is None:
            return
        attempt.connection.attempt = None
        spent = attempt.job.work - max(0.0, attempt.job.left)
        self.cpu.drop(attempt.job, self._stops_running)
        self.context.record(log.Ended(self.context.now(), attempt.number, spent))

    def _sweep(self) -> None:
        self._sweep_timer = asyncio.get_running_loop().call_later(IDLE_SWEEP_INTERVAL, self._sweep)
        now = self.context.now()
        for connection in list(self._connections):
            if connection.attempt is None and now - connection.idle_since > self._idle_timeout:
                connection.close()

    # Requests.

    def handle_request(
        self, connection: _Connection, method: str, target: str, id: str, body: bytes, sent_at: float,
        timeout_seconds: float = -1.0,
    ) -> None:  # fmt: skip
        path, now, limiter = target.partition("?")[0], self.context.now(), connection.link.limiter
        if method == "GET" and path in ("/healthz", "/load"):
            self.context.record(log.Probed(now, self.name, limiter))
            if not self.cpu.hung:
                load = self.load_report() if path == "/load" else b""
                connection.answer(503 if self.draining else 200, load)
            return
        request = self.context.find_request(id)
        if (
            not id
            or request is None
            or (request.method, request.target, request.body) != (method, target, body)
        ):
            # No client sent a request of this id and content: it is answered, and recorded as a complaint.
            self.context.complain(
                f"{limiter} sent {self.name} a request that no client made: {id or 'no id'}"
            )
            return connection.answer(400 if id else 404, b"", close=True)
        work = self.context.work(id, request.cls) * request.units
        number = self.context.next_attempt()
        self.context.record(log.Arrived(now, number, self.name, limiter, id, work, sent_at, timeout_seconds))
        self._recent_arrivals.append(now)
        if self.cpu.record_load(now, work):
            return self.crash("fell")
        attempt = _Attempt(number, id, request, connection, Job(number, work))
        self.context.arrived(self, limiter, request)
        if not self.alive:
            return
        self._admit(attempt, now)

    def _admit(self, attempt: _Attempt, now: float) -> None:
        connection = attempt.connection
        if connection.is_over_limit or connection.attempt is not None:
            return self._reject(attempt, close=True)
        if self.cpu.hung:
            connection.attempt, self._attempts[attempt.number] = attempt, attempt
            self.cpu.queue.append(attempt.job)
            return
        if self._rng.random() < self.reset_share:
            self.context.record(log.Ran(now, attempt.number, False))
            self.context.record(log.Ended(now, attempt.number, 0.0))
            return connection.reset()
        if self._rng.random() < self.error_share:
            return self._send_reply(attempt, 500, b"")
        kept = self._response_cache.find(now, attempt.id) if attempt.request.effect == "keyed" else None
        if kept is not None:
            self.context.record(log.Ran(now, attempt.number, True))
            return self._send_reply(attempt, 200, kept.encode())
        self._advance()
        if not self.cpu.add(attempt.job):
            return self._reject(attempt)
        connection.attempt, self._attempts[attempt.number] = attempt, attempt
        self._advance()

    def _reject(self, attempt: _Attempt, close: bool = False) -> None:
        self.context.record(log.Replied(self.context.now(), attempt.number, 503, True, "", 0.0))
        attempt.connection.answer(503, b"", NOT_PROCESSED + self._load_header(), close)

    def _send_reply(self, attempt: _Attempt, status: int, body: bytes) -> None:
        spent = attempt.job.work if status == 200 and attempt.job.begun else 0.0
        text = body.decode("latin-1")[:MAX_RECORDED_CHARS]
        self.context.record(log.Replied(self.context.now(), attempt.number, status, False, text, spent))
        headers = self._load_header()
        if self.slow_by > 0:
            asyncio.get_running_loop().call_later(
                self.slow_by, self._write_response, attempt.connection, status, body, headers
            )
        else:
            self._write_response(attempt.connection, status, body, headers)

    def _write_response(self, connection: _Connection, status: int, body: bytes, headers: bytes) -> None:
        if self.spoilt_share > 0 and self._rng.random() < self.spoilt_share:
            return connection.send(MALFORMED_RESPONSES[self._rng.randrange(len(MALFORMED_RESPONSES))])
        connection.answer(status, body, headers)
        if self.doubled_share > 0 and self._rng.random() < self.doubled_share:
            connection.answer(status, body, headers)

    def _advance(self) -> None:
        """Advance the processor to now, answer finished jobs, start jobs that have a slot and set the next timer."""
        now = self.context.now()
        for job in self.cpu.advance(now):
            self._finish(now, job)
        for job in self.cpu.admit():
            self.context.record(log.Ran(now, job.number, False))
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        wait = self.cpu.seconds_until_done(now)
        if wait is not None and self.alive:
            # A cold server becomes faster over time, so its finish times are recomputed at least every 0.25 s.
            self._timer = asyncio.get_running_loop().call_later(min(wait, 0.25), self._advance)

    def _finish(self, now: float, job: Job) -> None:
        attempt = self._attempts.pop(job.number, None)
        if attempt is None:
            return  # its limiter closed the connection; the job ran to its end regardless
        attempt.connection.attempt = None
        attempt.connection.idle_since = now
        self._completed_count += 1
        made = f',"made":{self.context.unix():.6f}' if self.context.includes_time_made else ""
        body = f'{{"id":"{attempt.id}","server":"{self.name}","run":{self._completed_count}{made}}}'
        if attempt.request.reply:
            body = self._graphql_body(attempt.request, body)
        if attempt.request.effect == "keyed":
            self._response_cache.keep(now + attempt.request.window, attempt.id, body)
        self._send_reply(attempt, 200, body.encode())

    def _graphql_body(self, request: KnownRequest, made_by: str) -> str:
        """A GraphQL response: data and true cost, or a false one. ``made_by`` comes first, for the judge to read."""
        cost: object = request.points
        if self.lie_share > 0 and self._rng.random() < self.lie_share:
            cost = FALSE_COSTS[self._completed_count % len(FALSE_COSTS)]
        made = f'{{"made":{made_by},"cost":{{"actual":{json.dumps(cost)}}}}}'
        if request.reply.startswith("["):  # the first response of a batch carries the cost of the whole batch
            answers = json.loads(request.reply)
            parts = [made] + ['{"cost":{"actual":0}}'] * (len(answers) - 1)
            rows = (
                f'{{"extensions":{e},"data":{json.dumps(a.get("data"))}}}'
                for e, a in zip(parts, answers, strict=True)
            )
            return f"[{','.join(rows)}]"
        return f'{{"extensions":{made},{request.reply[1:]}'

    def load_report(self) -> bytes:
        """The value of the load header: queue, qps and inflight, refreshed every ``report_every`` seconds."""
        now = self.context.now()
        if now - self._reported_at >= self._report_every:
            while self._recent_arrivals and self._recent_arrivals[0] < now - QPS_WINDOW:
                self._recent_arrivals.popleft()
            self._reported_at = now
            queue, inflight = len(self.cpu.queue), len(self.cpu.queue) + len(self.cpu.running)
            self._report = b"queue=%d,qps=%.1f,inflight=%d" % (
                queue,
                len(self._recent_arrivals) / QPS_WINDOW,
                inflight,
            )
        return self._report

    def _load_header(self) -> bytes:
        return b"X-Server-Load: %b\r\n" % self.load_report()


Arrival = Callable[[BagServer, str, KnownRequest], None]
