"""The limiter's own access log: a JSON line for each request, written by a thread so that the loop never waits.

Off unless the operators' own file switches it on (``operators.py``). What the disk cannot take in time is
dropped and counted; the count stands in the next line that is written. SIGUSR1 opens the file anew, for rotation.
"""

from __future__ import annotations

import json
import logging
import queue
import threading
from collections.abc import Callable
from typing import Any

from cypresspulley import interface as api
from cypresspulley.net.counter import CounterClient
from cypresspulley.net.frontend import ClientRequest
from cypresspulley.net.node import Decisions, Node
from cypresspulley.net.upstream import Exchange, Upstream

log = logging.getLogger(__name__)

MOST_WAITING = 8 << 20  # bytes that may wait for the disk; what comes beyond is dropped
STOP_WITHIN = 1.0  # seconds at the end for what still waits


class LogFile:
    """Lines to a file by a thread of its own."""

    def __init__(self, path: str, most: int = MOST_WAITING) -> None:
        self._path, self._most = path, most
        self._file = open(path, "ab", buffering=0)  # noqa: SIM115 -- the thread's until it ends
        self._queue = queue.SimpleQueue[bytes | None]()
        self._waiting = 0  # bytes; the loop adds, the thread takes off
        self._lock = threading.Lock()
        self._reopen = threading.Event()
        self.dropped = 0  # lines, since the last that was taken
        self._thread = threading.Thread(target=self._write, name="access-log", daemon=True)
        self._thread.start()

    def put(self, row: dict[str, Any]) -> None:
        """Take a line, or count it as dropped."""
        if self._waiting > self._most:
            self.dropped += 1
            return
        if self.dropped:
            row["dropped"], self.dropped = self.dropped, 0
        line = json.dumps(row, separators=(",", ":")).encode() + b"\n"
        with self._lock:
            self._waiting += len(line)
        self._queue.put(line)

    def reopen(self) -> None:
        """Open the path anew before the next line: the file of before was moved away."""
        self._reopen.set()

    def close(self) -> None:
        """Write what waits, for a bounded time."""
        self._queue.put(None)
        self._thread.join(STOP_WITHIN)

    def _write(self) -> None:
        while (line := self._queue.get()) is not None:
            batch = [line]
            while not self._queue.empty() and len(batch) < 1000:
                more = self._queue.get()
                if more is None:
                    self._queue.put(None)
                    break
                batch.append(more)
            self._put_out(b"".join(batch), len(batch))
        self._file.close()

    def _put_out(self, data: bytes, count: int) -> None:
        try:
            if self._reopen.is_set():
                self._reopen.clear()
                new = open(self._path, "ab", buffering=0)  # noqa: SIM115
                self._file.close()
                self._file = new
            rest = memoryview(data)
            while rest:
                rest = rest[self._file.write(rest) :]
        except OSError as error:
            self.dropped += count
            log.error("the access log takes no lines: %s", error)
        with self._lock:
            self._waiting -= len(data)


class LoggedNode(Node):
    """A node that tells each request's end to the access log; the plain one pays nothing for it."""

    def __init__(
        self, settings: api.Settings, gateway: Decisions, clock: Callable[[], float], upstream: Upstream,
        counter: CounterClient | None, file: LogFile,
    ) -> None:  # fmt: skip
        super().__init__(settings, gateway, clock, upstream, counter)
        self._file = file
        self._born = dict[int, tuple[float, float]]()  # of an open request: first and last byte came

    def arrived(self, request: ClientRequest) -> None:
        assert request.event is not None
        now = self._clock()
        self._born[request.event.id] = (now - request.took, now)
        super().arrived(request)

    def departed(self, request: ClientRequest) -> None:
        opened = self._open.get(request.event.id) if request.event is not None else None
        super().departed(request)
        if opened is not None:
            self._told(opened.request, len(opened.attempts), "left", 0, "")

    def _abandon(self, id: int, status: int) -> None:
        opened = self._open.get(id)
        super()._abandon(id, status)
        if opened is not None:
            self._told(opened.request, len(opened.attempts), "failed", status, "no decision in time")

    def _attempted(self, id: int, number: int, attempt: Exchange) -> None:
        opened = self._open.get(id)
        if opened is not None and attempt.status is api.Status.OK:
            self._told(opened.request, len(opened.attempts), "served", 200, "", len(attempt.answer))
        super()._attempted(id, number, attempt)

    def _refuse(self, action: api.Refuse) -> None:
        opened = self._open.get(action.id)
        super()._refuse(action)
        if opened is not None:
            self._told(opened.request, len(opened.attempts), "refused", 429, action.why)

    def _fail(self, action: api.Fail) -> None:
        opened = self._open.get(action.id)
        super()._fail(action)
        if opened is not None:
            self._told(opened.request, len(opened.attempts), "failed", 502, action.why)

    def _count(self, action: api.Count) -> None:
        if self._counter is None:
            return super()._count(action)
        name, made = action.name, self._clock()

        def counted(status: api.Status, total: float) -> None:
            if status is api.Status.OK:
                now = self._clock()
                self._file.put(
                    {"kind": "count", "time": round(made, 6), "answered": round(now, 6), "name": str(name),
                     "amount": round(action.amount, 6), "total": total}
                )  # fmt: skip
            self.feed(api.Counted(name, status, total))

        self._counter.call(name, action.amount, action.lifetime, counted)

    def _told(
        self, request: ClientRequest, attempts: int, outcome: str, status: int, why: str, sent: int = 0
    ) -> None:
        event = request.event
        assert event is not None
        began, whole = self._born.pop(event.id, (0.0, 0.0))
        now = self._clock()
        self._file.put(
            {
                "time": round(whole, 6), "id": request.id.decode("latin-1"), "account": event.account,
                "class": event.request_class, "plan": event.plan, "units": event.units,
                "method": request.head.partition(b" ")[0].decode("latin-1"), "path": f"/{event.request_class}",
                "retried": event.repeat, "attempts": attempts, "outcome": outcome, "status": status,
                "why": why, "sent": sent, "latency": round(now - whole, 6), "first_byte": round(began, 6),
                "last_byte": round(now, 6),
            }
        )  # fmt: skip
