"""A bag server: the machine of ``processor`` behind the protocol, on one address for each limiter."""

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

MAX_BODY = 64 * 1024
NOT_PROCESSED = b"X-Not-Processed: 1\r\n"
REASONS = {200: b"OK", 400: b"Bad Request", 404: b"Not Found", 500: b"Error", 503: b"Unavailable"}
SWEEP = 0.5
# Answers that are none: noise, a length that lies, one cut short that says so, a status out of range.
SPOILT = (
    b"\x00\xff\x00garbled\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: -3\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\n{",
    b"HTTP/1.1 99 Low\r\nContent-Length: 0\r\n\r\n",
)
SHOWN = 400  # characters of an answer that records keep; what makes it its server's own stands in front
LIES: tuple[object, ...] = (-5, 1_000_000_000, "many", None, 1e308)  # absurd costs, in turn
QPS_SPAN = 2.0  # seconds that the reported rate is a mean of


class KeyedResponseCache:
    """What a group of servers remembers of keyed requests, by id: the answer, until it is forgotten."""

    MOST = 100_000

    def __init__(self) -> None:
        self._kept = dict[str, tuple[float, str]]()

    def find(self, now: float, id: str) -> str | None:
        until, body = self._kept.get(id, (0.0, ""))
        return body if until > now else None

    def keep(self, until: float, id: str, body: str) -> None:
        if len(self._kept) >= self.MOST:
            del self._kept[next(iter(self._kept))]
        self._kept[id] = (until, body)


class _Attempt:
    __slots__ = ("connection", "id", "job", "known", "number")

    def __init__(self, number: int, id: str, known: KnownRequest, connection: _Connection, job: Job) -> None:
        self.number, self.id, self.known, self.connection, self.job = number, id, known, connection, job


class _Connection(LinkedProtocol):
    """One connection of a limiter: one request at a time, parsed as HTTP/1.1."""

    def __init__(self, server: BagServer, link: Link) -> None:
        super().__init__(link)
        self.server = server
        self.attempt: _Attempt | None = None
        self.over_cap = False
        self.quiet_since = 0.0
        self._parser = httptools.HttpRequestParser(self)
        self._began: float | None = None
        self._fields = dict[bytes, bytes]()
        self._url, self._body = b"", b""

    def opened(self) -> None:
        self.over_cap = not self.server.opened(self)
        self.quiet_since = self.server.context.now()

    def ended(self) -> None:
        self.server.closed(self)

    def received(self, data: bytes) -> None:
        if self._began is None:
            self._began = self.server.context.now() if self.sent_since is None else self.sent_since
        self.sent_since = None
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.close()  # what cannot be read: a server closes on it, whatever else waits here

    def on_message_begin(self) -> None:
        self._fields, self._url, self._body = {}, b"", b""

    def on_url(self, url: bytes) -> None:
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self._fields[name.lower()] = value

    def on_body(self, body: bytes) -> None:
        self._body += body
        if len(self._body) > MAX_BODY:
            raise ValueError("body too large")

    def on_message_complete(self) -> None:
        began, self._began = self._began or 0.0, None
        self.quiet_since = self.server.context.now()
        method, target = self._parser.get_method().decode(), self._url.decode("latin-1")
        id = self._fields.get(b"x-request-id", b"").decode("latin-1").lower()
        told = self._fields.get(b"x-timeout-ms", b"")
        seconds = int(told) / 1000 if told.isdigit() else -1.0
        self.server.requested(self, method, target, id, bytes(self._body), began, seconds)

    def answer(self, status: int, body: bytes, headers: bytes = b"", close: bool = False) -> None:
        head = b"HTTP/1.1 %d %b\r\nContent-Length: %d\r\n%b%b\r\n" % (
            status, REASONS[status], len(body), headers, b"Connection: close\r\n" * close
        )  # fmt: skip
        self.send(head + body)
        if close:
            asyncio.get_running_loop().call_later(self.link.delay + 0.01, self.close)


class BagServer:
    """One process of a server. ``restart`` begins it anew, cold, at the same addresses."""

    def __init__(
        self, context: RunContext, name: str, hall: str, cell: int, machine: Machine, memory: KeyedResponseCache,
        rng: Random, report_every: float, idle: float, connections: int, stops_running: bool,
    ) -> None:  # fmt: skip
        self.context, self.name, self.hall, self.cell = context, name, hall, cell
        self.machine, self._memory, self._rng = machine, memory, rng
        self._report_every, self._idle, self._cap = report_every, idle, connections
        self._stops_running = stops_running
        self._links = dict[str, Link]()
        self._listeners = dict[str, Listening]()
        self._hosts = dict[str, tuple[str, int]]()
        self._connections = dict[_Connection, None]()
        self._attempts = dict[int, _Attempt]()
        self._timer: asyncio.TimerHandle | None = None
        self._sweeper: asyncio.TimerHandle | None = None
        self._recent = deque[float]()
        self._report, self._reported = b"", -1e9
        self._runs = 0
        self.cpu = Processor(machine, context.now(), cold=False)
        self.error_share = self.reset_share = self.spoilt_share = self.doubled_share = self.lie_share = 0.0
        self.slow_by = 0.0  # seconds that each answer comes later
        self.draining = self.gone = False
        self.alive = False
        self.born_ms = 0

    def __repr__(self) -> str:
        state = "hung" if self.cpu.hung else "draining" if self.draining else "up" if self.alive else "down"
        return f"<BagServer {self.name} {state}, {len(self.cpu.running)} run, {len(self.cpu.queue)} wait>"

    def add_address(self, link: Link, host: str, port: int = 0) -> None:
        """Where one limiter finds this server, once it is started; port 0 lets the system choose."""
        self._links[link.limiter], self._hosts[link.limiter] = link, (host, port)

    def release_ports(self) -> None:
        """Be found under other ports once it is started again."""
        self._hosts = {limiter: (host, 0) for limiter, (host, _) in self._hosts.items()}

    def start(self, cold: bool) -> None:
        """Listen on all its addresses; OSError names one that is taken."""
        self.alive, self.draining = True, False
        self.cpu = Processor(self.machine, self.context.now(), cold)
        self.born_ms = self.context.unix_ms() if cold else 0
        for limiter, (host, port) in self._hosts.items():
            listener = listen(host, self._links[limiter], lambda link: _Connection(self, link), port)
            self._listeners[limiter], self._hosts[limiter] = listener, (host, listener.port)
        self._sweep()
        self._state("started" if cold else "up")

    def get_address(self, limiter: str) -> str:
        host, port = self._hosts[limiter]
        return f"{host}:{port}"

    def crash(self, what: str = "crashed") -> None:
        """The process dies: its connections are reset, new ones refused, its work is gone."""
        self.gone = self.gone or what == "gone"
        if not self.alive:
            return
        self.alive = False
        for handle in (self._timer, self._sweeper):
            if handle is not None:
                handle.cancel()
        self._timer = self._sweeper = None
        for listener in self._listeners.values():
            listener.close()
        for attempt in list(self._attempts.values()):
            self._drop(attempt)
        for connection in list(self._connections):
            connection.reset()
        self._connections.clear()
        self._state(what)

    def drain(self) -> None:
        self.draining = True
        self._state("draining")

    def undrain(self) -> None:
        self.draining = False
        self._state("up")

    def set_hung(self, hung: bool) -> None:
        """While hung it takes all and does nothing."""
        self._advance()
        self.cpu.hung = hung
        self._advance()

    def _state(self, what: str) -> None:
        m = self.machine
        self.context.record(
            log.ServerState(
                self.context.now(),
                self.name,
                self.hall,
                self.cell,
                what,
                m.cores,
                m.cold_share,
                m.cold_seconds,
            )
        )

    # Connections.

    def opened(self, connection: _Connection) -> bool:
        """Count a connection in; False where it is beyond the cap."""
        self._connections[connection] = None
        return len(self._connections) <= self._cap

    def closed(self, connection: _Connection) -> None:
        self._connections.pop(connection, None)
        if connection.attempt is not None:
            self._drop(connection.attempt)
            self._advance()

    def _drop(self, attempt: _Attempt) -> None:
        """Nobody waits for it any more, or the process died."""
        if self._attempts.pop(attempt.number, None) is None:
            return
        attempt.connection.attempt = None
        spent = attempt.job.work - max(0.0, attempt.job.left)
        self.cpu.drop(attempt.job, self._stops_running)
        self.context.record(log.Ended(self.context.now(), attempt.number, spent))

    def _sweep(self) -> None:
        self._sweeper = asyncio.get_running_loop().call_later(SWEEP, self._sweep)
        now = self.context.now()
        for connection in list(self._connections):
            if connection.attempt is None and now - connection.quiet_since > self._idle:
                connection.close()

    # Requests.

    def requested(
        self, connection: _Connection, method: str, target: str, id: str, body: bytes, began: float,
        told: float = -1.0,
    ) -> None:  # fmt: skip
        path, now, limiter = target.partition("?")[0], self.context.now(), connection.link.limiter
        if method == "GET" and path in ("/healthz", "/load"):
            self.context.record(log.Probed(now, self.name, limiter))
            if not self.cpu.hung:
                load = self.load_report() if path == "/load" else b""
                connection.answer(503 if self.draining else 200, load)
            return
        known = self.context.find(id)
        if not id or known is None or (known.method, known.target, known.body) != (method, target, body):
            # An id that no client sent in this form: answered, and told to whoever reads the report.
            self.context.complain(
                f"{limiter} sent {self.name} a request that no client made: {id or 'no id'}"
            )
            return connection.answer(400 if id else 404, b"", close=True)
        work = self.context.work(id, known.cls) * known.units
        number = self.context.next_attempt()
        self.context.record(log.Arrived(now, number, self.name, limiter, id, work, began, told))
        self._recent.append(now)
        if self.cpu.record_load(now, work):
            return self.crash("fell")
        attempt = _Attempt(number, id, known, connection, Job(number, work))
        self.context.arrived(self, limiter, known)
        if not self.alive:
            return
        self._take(attempt, now)

    def _take(self, attempt: _Attempt, now: float) -> None:
        connection = attempt.connection
        if connection.over_cap or connection.attempt is not None:
            return self._turn_away(attempt, close=True)
        if self.cpu.hung:
            connection.attempt, self._attempts[attempt.number] = attempt, attempt
            self.cpu.queue.append(attempt.job)
            return
        if self._rng.random() < self.reset_share:
            self.context.record(log.Ran(now, attempt.number, False))
            self.context.record(log.Ended(now, attempt.number, 0.0))
            return connection.reset()
        if self._rng.random() < self.error_share:
            return self._reply(attempt, 500, b"")
        kept = self._memory.find(now, attempt.id) if attempt.known.effect == "keyed" else None
        if kept is not None:
            self.context.record(log.Ran(now, attempt.number, True))
            return self._reply(attempt, 200, kept.encode())
        self._advance()
        if not self.cpu.add(attempt.job):
            return self._turn_away(attempt)
        connection.attempt, self._attempts[attempt.number] = attempt, attempt
        self._advance()

    def _turn_away(self, attempt: _Attempt, close: bool = False) -> None:
        self.context.record(log.Replied(self.context.now(), attempt.number, 503, True, "", 0.0))
        attempt.connection.answer(503, b"", NOT_PROCESSED + self._load_header(), close)

    def _reply(self, attempt: _Attempt, status: int, body: bytes) -> None:
        spent = attempt.job.work if status == 200 and attempt.job.begun else 0.0
        text = body.decode("latin-1")[:SHOWN]
        self.context.record(log.Replied(self.context.now(), attempt.number, status, False, text, spent))
        headers = self._load_header()
        if self.slow_by > 0:
            asyncio.get_running_loop().call_later(
                self.slow_by, self._write, attempt.connection, status, body, headers
            )
        else:
            self._write(attempt.connection, status, body, headers)

    def _write(self, connection: _Connection, status: int, body: bytes, headers: bytes) -> None:
        if self.spoilt_share > 0 and self._rng.random() < self.spoilt_share:
            return connection.send(SPOILT[self._rng.randrange(len(SPOILT))])
        connection.answer(status, body, headers)
        if self.doubled_share > 0 and self._rng.random() < self.doubled_share:
            connection.answer(status, body, headers)

    def _advance(self) -> None:
        """Move the machine on; answer what is done, begin what has a slot, wake for the next."""
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
            # A cold machine speeds up: looking again soon keeps its finish times right.
            self._timer = asyncio.get_running_loop().call_later(min(wait, 0.25), self._advance)

    def _finish(self, now: float, job: Job) -> None:
        attempt = self._attempts.pop(job.number, None)
        if attempt is None:
            return  # its limiter left; the machine did the work all the same
        attempt.connection.attempt = None
        attempt.connection.quiet_since = now
        self._runs += 1
        made = f',"made":{self.context.unix():.6f}' if self.context.tells_made else ""
        body = f'{{"id":"{attempt.id}","server":"{self.name}","run":{self._runs}{made}}}'
        if attempt.known.reply:
            body = self._graphql_body(attempt.known, body)
        if attempt.known.effect == "keyed":
            self._memory.keep(now + attempt.known.window, attempt.id, body)
        self._reply(attempt, 200, body.encode())

    def _graphql_body(self, known: KnownRequest, who: str) -> str:
        """Its data and its true cost, or a lie about it; who made it stands in front, for the judge."""
        cost: object = known.points
        if self.lie_share > 0 and self._rng.random() < self.lie_share:
            cost = LIES[self._runs % len(LIES)]
        made = f'{{"made":{who},"cost":{{"actual":{json.dumps(cost)}}}}}'
        if known.reply.startswith("["):  # of a batch the first tells the whole
            answers = json.loads(known.reply)
            parts = [made] + ['{"cost":{"actual":0}}'] * (len(answers) - 1)
            rows = (
                f'{{"extensions":{e},"data":{json.dumps(a.get("data"))}}}'
                for e, a in zip(parts, answers, strict=True)
            )
            return f"[{','.join(rows)}]"
        return f'{{"extensions":{made},{known.reply[1:]}'

    def load_report(self) -> bytes:
        """The fields queue, qps and inflight, refreshed every ``report_every`` seconds."""
        now = self.context.now()
        if now - self._reported >= self._report_every:
            while self._recent and self._recent[0] < now - QPS_SPAN:
                self._recent.popleft()
            self._reported = now
            queue, inflight = len(self.cpu.queue), len(self.cpu.queue) + len(self.cpu.running)
            self._report = b"queue=%d,qps=%.1f,inflight=%d" % (queue, len(self._recent) / QPS_SPAN, inflight)
        return self._report

    def _load_header(self) -> bytes:
        return b"X-Server-Load: %b\r\n" % self.load_report()


Arrival = Callable[[BagServer, str, KnownRequest], None]
