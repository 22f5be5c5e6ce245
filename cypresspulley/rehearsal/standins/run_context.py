"""What the stand-ins share: the day's clock, the log of records, and what clients have sent."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from cypresspulley.rehearsal.records import Complaint, Record

MAX_COMPLAINTS = 50


@dataclass(frozen=True, slots=True)
class KnownRequest:
    """A try that a client has sent: what must arrive unchanged, and what its class says."""

    id: str
    method: str
    target: str
    body: bytes
    cls: str
    effect: str
    window: float  # seconds for which a server's group drops keyed repeats
    units: float = 1.0  # what it truly costs, in units of the quota; work grows with them
    reply: str = ""  # what a GraphQL server answers it, without the cost; "": the plain answer
    points: float = 0.0  # its true cost as a GraphQL server tells it


class ArrivalHook(Protocol):
    """Told when an attempt is whole at a server, before the server acts on it."""

    def __call__(self, server: Any, limiter: str, known: KnownRequest) -> None: ...


class RunContext:
    """One day's clock and log. ``work`` gives the CPU seconds that a try costs, by id and class."""

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
        self._known = dict[str, KnownRequest]()
        self._attempts = 0
        self.complaints = list[str]()
        self.on_arrival: ArrivalHook | None = None
        self.tells_made = False  # whether servers say in their answers when these were made

    def begin(self, after: float) -> None:
        """The day starts ``after`` seconds from now."""
        self._start = self.clock() + after

    def now(self) -> float:
        """Seconds from the day's start."""
        return self.clock() - self._start

    def unix_ms(self, t: float | None = None) -> int:
        """Unix time in milliseconds of a time of the day, today's by default."""
        return int((self._unix + self._start + (self.now() if t is None else t)) * 1000)

    def unix(self) -> float:
        """Unix seconds now, by the day's clock, which never steps."""
        return self._unix + self.clock()

    def record(self, record: Record) -> None:
        self._sink(record)

    def sent(self, known: KnownRequest) -> None:
        self._known[known.id] = known

    def find(self, id: str) -> KnownRequest | None:
        return self._known.get(id)

    def forget(self, id: str) -> None:
        self._known.pop(id, None)

    def next_attempt(self) -> int:
        self._attempts += 1
        return self._attempts - 1

    def arrived(self, server: Any, limiter: str, known: KnownRequest) -> None:
        if self.on_arrival is not None:
            self.on_arrival(server, limiter, known)

    def no_descriptors(self) -> None:
        self.complain("the kit has no descriptors left: raise `ulimit -n`")

    def complain(self, text: str) -> None:
        """What no limiter may do and no rule covers: it voids the run."""
        if len(self.complaints) < MAX_COMPLAINTS:
            self.complaints.append(text)
            self.record(Complaint(self.now(), text))
