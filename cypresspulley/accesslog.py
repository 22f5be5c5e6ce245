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

from cypresspulley import interface as api
from cypresspulley.net.counter import Counter
from cypresspulley.net.frontend import ClientRequest
from cypresspulley.net.node import DecisionModule, Node
from cypresspulley.net.upstream import Exchange, Upstream

log = logging.getLogger(__name__)

MOST_WAITING = 8 << 20  # bytes that may wait for the disk; what comes beyond is dropped
STOP_WITHIN = 1.0  # seconds at the end for what still waits
HAND_OVER = 64  # lines at a time to the thread, or
EVERY = 0.1  # all that there are, so many seconds after the first of them


class LogFile:
    """Lines to a file by a thread of its own, handed over some at a time: each hand-over wakes it once."""

    def __init__(self, path: str, most: int = MOST_WAITING) -> None:
        self._path = path
        self._most = most
        self._file = open(path, "ab", buffering=0)  # noqa: SIM115 -- the thread's until it ends
        self._queue = queue.SimpleQueue[tuple[bytes, int] | None]()
        self._pending = list[bytes]()
        self._waiting = 0  # bytes handed over; the loop adds, the thread takes off
        self._lock = threading.Lock()
        self._reopen = threading.Event()
        self._torn = False  # whether the file ends in a part of a line
        self.dropped = 0  # lines, since the last that was taken
        self._thread = threading.Thread(target=self._write, name="access-log", daemon=True)
        self._thread.start()

    def put(self, line: bytes) -> None:
        """Take a line without its end, or count it as dropped."""
        if self._waiting > self._most:
            self.dropped += 1
            return
        if self.dropped:
            self._pending.append(b'{"kind":"dropped","lines":%d}' % self.dropped)
            self.dropped = 0
        self._pending.append(line)
        if len(self._pending) >= HAND_OVER:
            self.flush()

    def flush(self) -> None:
        """Hand over what is there."""
        if self._pending:
            count, data = len(self._pending), b"\n".join(self._pending) + b"\n"
            self._pending = []
            with self._lock:
                self._waiting += len(data)
            self._queue.put((data, count))

    def reopen(self) -> None:
        """Open the path anew before the next line: the file of before was moved away."""
        self._reopen.set()

    def close(self) -> None:
        """Write what waits, for a bounded time."""
        self.flush()
        self._queue.put(None)
        self._thread.join(STOP_WITHIN)

    def _write(self) -> None:
        while (batch := self._queue.get()) is not None:
            self._put_out(*batch)
        self._file.close()

    def _put_out(self, data: bytes, count: int) -> None:
        written = 0
        try:
            if self._reopen.is_set():
                self._reopen.clear()
                new = open(self._path, "ab", buffering=0)  # noqa: SIM115
                self._file.close()
                self._file, self._torn = new, False
            if self._torn:
                # Of the last batch a line was written in part: what comes now begins on one of its own.
                self._torn = self._file.write(b"\n") == 0
            while written < len(data):
                written += self._file.write(memoryview(data)[written:])
        except OSError as error:
            whole = data.count(b"\n", 0, written)
            self._torn = self._torn or (written > 0 and data[written - 1 : written] != b"\n")
            self.dropped += count - whole
            log.error("the access log takes no lines: %s", error)
        with self._lock:
            self._waiting -= len(data)


class LoggedNode(Node):
    """A node that tells each request's end to the access log; the plain one pays nothing for it."""

    def __init__(
        self, settings: api.Settings, gateway: DecisionModule, clock: Callable[[], float], upstream: Upstream,
        counter: Counter | None, file: LogFile,
    ) -> None:  # fmt: skip
        super().__init__(settings, gateway, clock, upstream, counter)
        self._file = file
        self._timed = False
        self._names = {name: json.dumps(name) for name in _names(settings)}
        self._born = dict[int, tuple[float, float]]()  # of an open request: first and last byte came

    def retune(self, settings: api.Settings) -> None:
        self._names |= {name: json.dumps(name) for name in _names(settings)}
        super().retune(settings)

    def arrived(self, request: ClientRequest) -> None:
        assert request.event is not None
        now = self._clock()
        self._born[request.event.id] = (now - request.seconds_since_first_byte, now)
        super().arrived(request)

    def log_cached_response(self, request: ClientRequest, size: int) -> None:
        """A kept answer was given in place of a server's (``closing/node.py``)."""
        assert request.event is not None
        now = self._clock()
        self._born[request.event.id] = (now - request.seconds_since_first_byte, now)
        self._told(request, 0, "served", 200, "kept", size)

    def departed(self, request: ClientRequest) -> None:
        opened = self._open_requests.get(request.event.id) if request.event is not None else None
        super().departed(request)
        if opened is not None:
            self._told(opened.request, len(opened.attempts), "left", 0, "")

    def _respond_for_gateway(self, id: int, status: int) -> None:
        opened = self._open_requests.get(id)
        super()._respond_for_gateway(id, status)
        if opened is not None:
            self._told(opened.request, len(opened.attempts), "failed", status, "no decision in time")

    def _handle_attempt_end(self, id: int, number: int, attempt: Exchange) -> None:
        opened = self._open_requests.get(id)
        if opened is not None and attempt.download is not None:
            whole = attempt.status is api.Status.OK
            why = "" if whole else "the answer broke off"
            size = attempt.download.size
            self._told(opened.request, len(opened.attempts), "served" if whole else "failed", 200, why, size)
        elif opened is not None and attempt.status is api.Status.OK:
            self._told(opened.request, len(opened.attempts), "served", 200, "", len(attempt.response_body))
        super()._handle_attempt_end(id, number, attempt)

    def _refuse(self, action: api.Refuse) -> None:
        opened = self._open_requests.get(action.id)
        super()._refuse(action)
        if opened is not None:
            self._told(opened.request, len(opened.attempts), "refused", 429, action.why)

    def _fail(self, action: api.Fail) -> None:
        opened = self._open_requests.get(action.id)
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
                self._put(
                    f'{{"kind":"count","time":{made:.6f},"answered":{now:.6f},"name":"{name}",'
                    f'"amount":{action.amount:.6f},"total":{total!r}}}'
                )
            self.feed(api.Counted(name, status, total))

        self._counter.call(name, action.amount, action.lifetime, counted)

    def _told(
        self, request: ClientRequest, attempts: int, outcome: str, status: int, why: str, sent: int = 0
    ) -> None:
        event = request.event
        assert event is not None
        began, whole = self._born.pop(event.id, (0.0, 0.0))
        now, names = self._clock(), self._names
        method = "GET" if request.head.startswith(b"GET") else "POST"
        # Id and account are hex digits, class and plan come from the settings: only these need their quotes made.
        self._put(
            f'{{"time":{whole:.6f},"id":"{request.id.decode()}","account":"{event.account}",'
            f'"class":{names[event.request_class]},"plan":{names[event.plan]},"units":{event.units!r},'
            f'"method":"{method}","path":{names["/" + event.request_class]},'
            f'"retried":{"true" if event.repeat else "false"},"attempts":{attempts},"outcome":"{outcome}",'
            f'"status":{status},"why":"{why}","sent":{sent},"latency":{now - whole:.6f},'
            f'"first_byte":{began:.6f},"last_byte":{now:.6f}}}'
        )

    def _put(self, line: str) -> None:
        self._file.put(line.encode())
        if not self._timed:
            self._timed = True
            self._loop.call_later(EVERY, self._flush)

    def _flush(self) -> None:
        self._timed = False
        self._file.flush()


def _names(settings: api.Settings) -> list[str]:
    """All words of the settings that a line may hold."""
    classes = [c.name for c in settings.classes]
    return [*classes, *(f"/{name}" for name in classes), *(p.name for p in settings.plans)]
