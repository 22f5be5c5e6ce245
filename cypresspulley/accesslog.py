"""The limiter's access log: a JSON line for each request, written by a thread so that the event loop never blocks.

It is off unless the operators' file enables it (``operators.py``). Lines that the disk cannot take in time are dropped
and counted; the next line that is written reports the count. SIGUSR1 reopens the file, for rotation.
"""

from __future__ import annotations

import json
import logging
import queue
import threading
from collections.abc import Callable

from cypresspulley import interface as api
from cypresspulley.net.client_request import ClientRequest
from cypresspulley.net.counter import Counter
from cypresspulley.net.node import DecisionModule, Node
from cypresspulley.net.upstream import Exchange, Upstream

log = logging.getLogger(__name__)

MAX_WAITING_BYTES = 8 << 20  # may wait for the disk; lines beyond that are dropped
CLOSE_TIMEOUT_SECONDS = 1.0  # for writing the waiting lines at shutdown
BATCH_LINES = 64  # lines passed to the thread at a time
FLUSH_INTERVAL_SECONDS = 0.1  # fewer lines are passed on this long after the first of them


class LogFile:
    """Writes lines to a file in its own thread, in batches because each batch wakes the thread."""

    def __init__(self, path: str, max_waiting_bytes: int = MAX_WAITING_BYTES) -> None:
        self._path = path
        self._max_waiting_bytes = max_waiting_bytes
        self._file = open(path, "ab", buffering=0)  # noqa: SIM115 -- the thread closes it
        self._queue = queue.SimpleQueue[tuple[bytes, int] | None]()
        self._pending = list[bytes]()
        self._waiting_bytes = (
            0  # passed to the thread and not written yet; the event loop adds, the thread subtracts
        )
        self._lock = threading.Lock()
        self._reopen = threading.Event()
        self._ends_in_partial_line = False
        self.dropped = 0  # lines dropped since the last line that was accepted
        self._thread = threading.Thread(target=self._run_writer, name="access-log", daemon=True)
        self._thread.start()

    def put(self, line: bytes) -> None:
        """Accept a line, given without its newline, or count it as dropped."""
        if self._waiting_bytes > self._max_waiting_bytes:
            self.dropped += 1
            return
        if self.dropped:
            self._pending.append(b'{"kind":"dropped","lines":%d}' % self.dropped)
            self.dropped = 0
        self._pending.append(line)
        if len(self._pending) >= BATCH_LINES:
            self.flush()

    def flush(self) -> None:
        """Pass the pending lines to the thread."""
        if self._pending:
            count, data = len(self._pending), b"\n".join(self._pending) + b"\n"
            self._pending = []
            with self._lock:
                self._waiting_bytes += len(data)
            self._queue.put((data, count))

    def reopen(self) -> None:
        """Reopen the path before the next batch, after a rotation has moved the file away."""
        self._reopen.set()

    def close(self) -> None:
        """Write the waiting lines, for at most ``CLOSE_TIMEOUT_SECONDS``."""
        self.flush()
        self._queue.put(None)
        self._thread.join(CLOSE_TIMEOUT_SECONDS)

    def _run_writer(self) -> None:
        while (batch := self._queue.get()) is not None:
            self._write_batch(*batch)
        self._file.close()

    def _write_batch(self, data: bytes, count: int) -> None:
        written = 0
        try:
            if self._reopen.is_set():
                self._reopen.clear()
                new = open(self._path, "ab", buffering=0)  # noqa: SIM115
                self._file.close()
                self._file, self._ends_in_partial_line = new, False
            if self._ends_in_partial_line:
                # The last batch broke off within a line, so this batch starts on a new one.
                self._ends_in_partial_line = self._file.write(b"\n") == 0
            while written < len(data):
                written += self._file.write(memoryview(data)[written:])
        except OSError as error:
            complete_lines = data.count(b"\n", 0, written)
            self._ends_in_partial_line = self._ends_in_partial_line or (
                written > 0 and data[written - 1 : written] != b"\n"
            )
            self.dropped += count - complete_lines
            log.error("the access log takes no lines: %s", error)
        with self._lock:
            self._waiting_bytes -= len(data)


class LoggedNode(Node):
    """A node that logs the end of each request; a separate class, so that the plain node has no cost from it."""

    def __init__(
        self, settings: api.Settings, gateway: DecisionModule, clock: Callable[[], float], upstream: Upstream,
        counter: Counter | None, file: LogFile,
    ) -> None:  # fmt: skip
        super().__init__(settings, gateway, clock, upstream, counter)
        self._file = file
        self._flush_scheduled = False
        self._quoted_names = {name: json.dumps(name) for name in _list_names(settings)}
        self._arrival_times = dict[
            int, tuple[float, float]
        ]()  # by id of an open request: times of its first and last byte

    def retune(self, settings: api.Settings) -> None:
        self._quoted_names |= {name: json.dumps(name) for name in _list_names(settings)}
        super().retune(settings)

    def arrived(self, request: ClientRequest) -> None:
        assert request.event is not None
        now = self._clock()
        self._arrival_times[request.event.id] = (now - request.seconds_since_first_byte, now)
        super().arrived(request)

    def log_cached_response(self, request: ClientRequest, size: int) -> None:
        """Log a request that was answered from the cache (``closing/node.py``)."""
        assert request.event is not None
        now = self._clock()
        self._arrival_times[request.event.id] = (now - request.seconds_since_first_byte, now)
        self._log_request(request, 0, "served", 200, "kept", size)

    def departed(self, request: ClientRequest) -> None:
        opened = self._open_requests.get(request.event.id) if request.event is not None else None
        super().departed(request)
        if opened is not None:
            self._log_request(opened.request, len(opened.attempts), "left", 0, "")

    def _respond_for_gateway(self, id: int, status: int) -> None:
        opened = self._open_requests.get(id)
        super()._respond_for_gateway(id, status)
        if opened is not None:
            self._log_request(opened.request, len(opened.attempts), "failed", status, "no decision in time")

    def _handle_attempt_end(self, id: int, number: int, attempt: Exchange) -> None:
        opened = self._open_requests.get(id)
        if opened is not None and attempt.download is not None:
            is_complete = attempt.status is api.Status.OK
            why = "" if is_complete else "the answer broke off"
            size = attempt.download.size
            self._log_request(
                opened.request, len(opened.attempts), "served" if is_complete else "failed", 200, why, size
            )
        elif opened is not None and attempt.status is api.Status.OK:
            self._log_request(
                opened.request, len(opened.attempts), "served", 200, "", len(attempt.response_body)
            )
        super()._handle_attempt_end(id, number, attempt)

    def _refuse(self, action: api.Refuse) -> None:
        opened = self._open_requests.get(action.id)
        super()._refuse(action)
        if opened is not None:
            self._log_request(opened.request, len(opened.attempts), "refused", 429, action.why)

    def _fail(self, action: api.Fail) -> None:
        opened = self._open_requests.get(action.id)
        super()._fail(action)
        if opened is not None:
            self._log_request(opened.request, len(opened.attempts), "failed", 502, action.why)

    def _count(self, action: api.Count) -> None:
        if self._counter is None:
            return super()._count(action)
        name, sent_at = action.name, self._clock()

        def handle_count(status: api.Status, total: float) -> None:
            if status is api.Status.OK:
                now = self._clock()
                self._put_line(
                    f'{{"kind":"count","time":{sent_at:.6f},"answered":{now:.6f},"name":"{name}",'
                    f'"amount":{action.amount:.6f},"total":{total!r}}}'
                )
            self.feed(api.Counted(name, status, total))

        self._counter.call(name, action.amount, action.lifetime, handle_count)

    def _log_request(
        self, request: ClientRequest, attempts: int, outcome: str, status: int, why: str, sent: int = 0
    ) -> None:
        event = request.event
        assert event is not None
        first_byte_at, received_at = self._arrival_times.pop(event.id, (0.0, 0.0))
        now, names = self._clock(), self._quoted_names
        method = "GET" if request.head.startswith(b"GET") else "POST"
        # Only class and plan, which come from the settings, need JSON escaping; id and account are hex digits.
        self._put_line(
            f'{{"time":{received_at:.6f},"id":"{request.id.decode()}","account":"{event.account}",'
            f'"class":{names[event.request_class]},"plan":{names[event.plan]},"units":{event.units!r},'
            f'"method":"{method}","path":{names["/" + event.request_class]},'
            f'"retried":{"true" if event.repeat else "false"},"attempts":{attempts},"outcome":"{outcome}",'
            f'"status":{status},"why":"{why}","sent":{sent},"latency":{now - received_at:.6f},'
            f'"first_byte":{first_byte_at:.6f},"last_byte":{now:.6f}}}'
        )

    def _put_line(self, line: str) -> None:
        self._file.put(line.encode())
        if not self._flush_scheduled:
            self._flush_scheduled = True
            self._loop.call_later(FLUSH_INTERVAL_SECONDS, self._flush)

    def _flush(self) -> None:
        self._flush_scheduled = False
        self._file.flush()


def _list_names(settings: api.Settings) -> list[str]:
    """Return all names from the settings that a line may contain."""
    classes = [c.name for c in settings.classes]
    return [*classes, *(f"/{name}" for name in classes), *(p.name for p in settings.plans)]
