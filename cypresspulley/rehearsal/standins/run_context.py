"""What the stand-ins of a run share: its clock, its log of records, and the requests that clients have sent."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from cypresspulley.rehearsal.records import Complaint, Record

MAX_COMPLAINTS = 50


@dataclass(frozen=True, slots=True)
class KnownRequest:
    """An attempt that a client has sent: what must arrive unchanged, and what its request class says."""

    id: str
    method: str
    target: str
    body: bytes
    cls: str
    effect: str
    window: float  # seconds for which a group of servers answers keyed repeats without running them
    units: float = 1.0  # its true cost in units of the quota; its work is proportional to it
    reply: str = ""  # response of a GraphQL server, without the cost; "" for a plain response
    points: float = 0.0  # its true cost as a GraphQL server reports it


class ArrivalHook(Protocol):
    """Called when a server has received a whole attempt, before it acts on it."""

    def __call__(self, server: Any, limiter: str, known: KnownRequest) -> None: ...


class RunContext:
    """The clock and the log of one run. ``work`` gives the CPU seconds of an attempt, by id and class."""

    def __init__(
        self,
        sink: Callable[[Record], None],
        work: Callable[[str, str], float],
        clock: Callable[[], float] = time.monotonic,
        unix: Callable[[], float] = time.time,
    ) -> None:
        self._sink, self.clock, self.work = sink, clock, work
        self._start = clock()
        self._unix = unix() - self._start
        self._requests = dict[str, KnownRequest]()
        self._attempts = 0
        self.complaints = list[str]()
        self.on_arrival: ArrivalHook | None = None
        self.includes_time_made = False  # whether servers put the time of a response into its body

    def begin(self, after: float) -> None:
        """Start the run ``after`` seconds from now."""
        self._start = self.clock() + after

    def now(self) -> float:
        """Return the seconds since the start of the run; negative before it."""
        return self.clock() - self._start

    def unix_ms(self, t: float | None = None) -> int:
        """Unix time in milliseconds of second ``t`` of the run, by default of now."""
        return int((self._unix + self._start + (self.now() if t is None else t)) * 1000)

    def unix(self) -> float:
        """Unix time in seconds, by the clock of the run, which is never stepped."""
        return self._unix + self.clock()

    def record(self, record: Record) -> None:
        self._sink(record)

    def add_request(self, request: KnownRequest) -> None:
        self._requests[request.id] = request

    def find_request(self, id: str) -> KnownRequest | None:
        return self._requests.get(id)

    def forget_request(self, id: str) -> None:
        self._requests.pop(id, None)

    def next_attempt(self) -> int:
        self._attempts += 1
        return self._attempts - 1

    def arrived(self, server: Any, limiter: str, request: KnownRequest) -> None:
        if self.on_arrival is not None:
            self.on_arrival(server, limiter, request)

    def no_descriptors(self) -> None:
        self.complain("the kit has no descriptors left: raise `ulimit -n`")

    def complain(self, text: str) -> None:
        """Record an error that no rule covers. It voids the run."""
        if len(self.complaints) < MAX_COMPLAINTS:
            self.complaints.append(text)
            self.record(Complaint(self.now(), text))
