"""Writes a process's history: one JSON line an event, each handed to the machine whole before the next begins.

A SIGKILL loses at most the line that is being written. Nothing here is on a request's way unless a history is on; a
disk that fails ends the history, never the limiter.
"""

from __future__ import annotations

import logging
import os
from collections.abc import Callable
from typing import Any

import msgspec

from cypresspulley.histories.events import Kind

log = logging.getLogger(__name__)

MAX_FILE_BYTES = 64 * 1024 * 1024  # of one history: a day's rehearsal writes some MB
MAX_EVENTS_IN_MEMORY = 1_000_000  # of one life in memory


class NoHistory:
    """Where no history is wanted."""

    def open_life(self, life: int) -> None: ...

    def put(self, kind: Kind, **facts: Any) -> None: ...

    def close(self) -> None: ...


class History:
    """One process's history. ``path`` may hold ``{life}``; the file is made when the life is known."""

    def __init__(self, path: str, clock: Callable[[], float], wall: Callable[[], float]) -> None:
        self._path, self._clock, self._wall = path, clock, wall
        self._encoder = msgspec.json.Encoder()
        self._file: int | None = None
        self._seq = self._bytes = 0

    def __repr__(self) -> str:
        return f"<History {self._path}, {self._seq} events, {'open' if self._file is not None else 'shut'}>"

    def open_life(self, life: int) -> None:
        """Begin the file of this life. ``OSError`` where it cannot be made."""
        self.close()
        self._seq = self._bytes = 0
        path = self._path.replace("{life}", str(life))
        self._file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC, 0o644)

    def put(self, kind: Kind, **facts: Any) -> None:
        """Write one event; see ``events.FACTS`` for what each kind has. Before ``open_life`` nothing is written."""
        if self._file is None:
            return
        event = {"seq": self._seq, "wall": self._wall(), "mono": self._clock(), "kind": str(kind), **facts}
        line = self._encoder.encode(event) + b"\n"
        self._seq, self._bytes = self._seq + 1, self._bytes + len(line)
        try:
            if self._bytes > MAX_FILE_BYTES:
                raise OSError(f"over {MAX_FILE_BYTES} bytes")
            # One call a line: what is killed between two lines loses none. A full disk takes part of one and no error.
            if os.write(self._file, line) != len(line):
                raise OSError("a line was written in part")
        except OSError as error:
            log.error("the history ends here: %s: %s", self._path, error)
            self.close()

    def close(self) -> None:
        if self._file is not None:
            os.close(self._file)
            self._file = None


class MemoryHistory:
    """A history kept in a list, for plays in virtual time: the same events as ``History`` writes, as plain objects.

    ``lives`` has one list of events for each life that was opened, in the order in which they were.
    """

    def __init__(self, clock: Callable[[], float], wall: Callable[[], float]) -> None:
        self._clock, self._wall = clock, wall
        self.lives: list[list[dict[str, Any]]] = []
        self._open = False

    def __repr__(self) -> str:
        state = "open" if self._open else "shut"
        return f"<MemoryHistory of {len(self.lives)} lives, {len(self.events)} events, {state}>"

    @property
    def events(self) -> list[dict[str, Any]]:
        """Those of the last life that was opened."""
        return self.lives[-1] if self.lives else []

    def open_life(self, life: int) -> None:
        self.lives.append([])
        self._open = True

    def put(self, kind: Kind, **facts: Any) -> None:
        if not self._open:
            return
        events = self.lives[-1]
        event = {"seq": len(events), "wall": self._wall(), "mono": self._clock(), "kind": str(kind), **facts}
        events.append(msgspec.to_builtins(event))  # a copy: what the writer changes later stays out
        if len(events) >= MAX_EVENTS_IN_MEMORY:
            log.error("the history ends here: over %d events", MAX_EVENTS_IN_MEMORY)
            self.close()

    def close(self) -> None:
        self._open = False


AnyHistory = History | NoHistory | MemoryHistory
