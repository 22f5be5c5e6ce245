"""Writes a process's history: one JSON line per event, each written completely before the next one begins.

A SIGKILL loses at most the line that is being written. Requests cost nothing here unless a history is enabled. A disk
error ends the history, never the limiter.
"""

from __future__ import annotations

import logging
import os
from collections.abc import Callable
from typing import Any

import msgspec

from cypresspulley.histories.events import Kind

log = logging.getLogger(__name__)

MAX_FILE_BYTES = 64 * 1024 * 1024  # per history; a rehearsal of a full day writes some MB
MAX_EVENTS_IN_MEMORY = 1_000_000  # per life


class NoHistory:
    """Discards all events, for processes without a history."""

    def open_life(self, life: int) -> None: ...

    def put(self, kind: Kind, **facts: Any) -> None: ...

    def close(self) -> None: ...


class History:
    """The history of one process in a file, created once the process life is known.

    ``path`` may contain the placeholder ``{life}``. ``clock`` is monotonic and ``wall`` returns Unix seconds.
    """

    def __init__(self, path: str, clock: Callable[[], float], wall: Callable[[], float]) -> None:
        self._path, self._clock, self._wall = path, clock, wall
        self._encoder = msgspec.json.Encoder()
        self._file: int | None = None
        self._seq = self._bytes = 0

    def __repr__(self) -> str:
        return f"<History {self._path}, {self._seq} events, {'open' if self._file is not None else 'shut'}>"

    def open_life(self, life: int) -> None:
        """Open the file of this life. Raise ``OSError`` if it cannot be created."""
        self.close()
        self._seq = self._bytes = 0
        path = self._path.replace("{life}", str(life))
        self._file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC, 0o644)

    def put(self, kind: Kind, **facts: Any) -> None:
        """Write one event with the facts that ``events.FACTS`` lists. Before ``open_life`` nothing is written."""
        if self._file is None:
            return
        event = {"seq": self._seq, "wall": self._wall(), "mono": self._clock(), "kind": str(kind), **facts}
        line = self._encoder.encode(event) + b"\n"
        self._seq, self._bytes = self._seq + 1, self._bytes + len(line)
        try:
            if self._bytes > MAX_FILE_BYTES:
                raise OSError(f"history exceeds {MAX_FILE_BYTES} bytes")
            # One system call per line, so that a kill between two lines loses none. A full disk may write part of a
            # line without an error.
            if os.write(self._file, line) != len(line):
                raise OSError("a line was written only in part")
        except OSError as error:
            log.error("closing the history after a write error: %s: %s", self._path, error)
            self.close()

    def close(self) -> None:
        if self._file is not None:
            os.close(self._file)
            self._file = None


class MemoryHistory:
    """A history in memory, for plays in virtual time, with the same events as ``History`` writes, as plain objects.

    ``lives`` has one list of events per life, in the order in which the lives were opened.
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
        """The events of the life opened last."""
        return self.lives[-1] if self.lives else []

    def open_life(self, life: int) -> None:
        self.lives.append([])
        self._open = True

    def put(self, kind: Kind, **facts: Any) -> None:
        if not self._open:
            return
        events = self.lives[-1]
        event = {"seq": len(events), "wall": self._wall(), "mono": self._clock(), "kind": str(kind), **facts}
        events.append(msgspec.to_builtins(event))  # a copy, which later changes by the caller do not affect
        if len(events) >= MAX_EVENTS_IN_MEMORY:
            log.error("closing the history: it has reached the limit of %d events", MAX_EVENTS_IN_MEMORY)
            self.close()

    def close(self) -> None:
        self._open = False


AnyHistory = History | NoHistory | MemoryHistory
