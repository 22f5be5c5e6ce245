"""Reads histories back: files of JSON lines, or lists of events from plays in virtual time.

Allowed is one thing alone: a last line without its end, as a SIGKILL leaves it; it is dropped. Anything else that is
wrong ends the reading with a ``HistoryError`` that names file, line and what was expected. Everything is bounded.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Union

import msgspec

from cypresspulley.histories.forms import FORMS, Event, Start

HARNESS = "harness"  # the name in its ``start``
MOST_FILES = 4096
MOST_BYTES = 128 * 1024 * 1024  # of one file: twice what a writer writes
MOST_LINE = 64 * 1024  # bytes, its end included; the harness's truths have a line a play
MOST_TRUTH = 4 * 1024 * 1024
MOST_EVENTS = 2_000_000  # of all histories together
PATTERN = "*.jsonl"

_FORM = Union[tuple(FORMS.values())]  # type: ignore[valid-type]  # noqa: UP007  # a union of what the table lists
_decoder: msgspec.json.Decoder[Any] = msgspec.json.Decoder(_FORM)


class HistoryError(ValueError):
    """A history that cannot be read; the text names file, line and what was expected."""


@dataclass(frozen=True, slots=True)
class History:
    """What one process wrote in one life, in order. ``cut`` is whether a last line was lost."""

    source: str
    events: tuple[Event, ...]
    cut: bool = False

    @property
    def start(self) -> Start:
        first = self.events[0]
        assert isinstance(first, Start)  # the reader made sure
        return first

    @property
    def name(self) -> str:
        return self.start.name

    @property
    def life(self) -> int:
        return self.start.life

    def __repr__(self) -> str:
        return f"<History of {self.name} life {self.life}, {len(self.events)} events{', cut' if self.cut else ''}>"


@dataclass(frozen=True, slots=True)
class Histories:
    """One history for each process and life, sorted by name and life, and the harness's own, if there is one."""

    lives: tuple[History, ...]
    harness: History | None


def read_folder(folder: Path) -> Histories:
    """All histories of a folder (``*.jsonl``). ``HistoryError`` also where it has none, ``OSError`` as it comes."""
    files = sorted(folder.glob(PATTERN))
    if not files:
        raise HistoryError(f"{folder}: expected at least one history {PATTERN}")
    return read_files(files)


def read_files(files: Sequence[Path]) -> Histories:
    """Histories of these files, in any order. A file whose writer was killed before its first line is passed over."""
    if len(files) > MOST_FILES:
        raise HistoryError(f"{len(files)} histories: expected at most {MOST_FILES}")
    room, found = MOST_EVENTS, []
    for file in files:
        size = file.stat().st_size
        if size > MOST_BYTES:
            raise HistoryError(f"{file}: {size} bytes: expected at most {MOST_BYTES}")
        with file.open("rb") as stream:
            history = read_lines(_lines(str(file), stream), str(file), room)
        room -= len(history.events)
        if history.events:
            found.append(history)
    return gathered(found)


def from_memory(lives: Iterable[Sequence[dict[str, Any]]]) -> Histories:
    """Histories from lists of events, as ``MemoryHistory.lives`` has them; empty ones are passed over."""
    found = []
    for number, events in enumerate(lives):
        source = f"memory {number}"
        checked = _checked(
            source, (_converted(source, at, event) for at, event in enumerate(events)), MOST_EVENTS
        )
        if checked:
            found.append(History(source, checked))
    return gathered(found)


def gathered(found: Iterable[History]) -> Histories:
    """Put histories together; ``HistoryError`` where two are of one process and life."""
    by_life: dict[tuple[str, int], History] = {}
    for history in found:
        key = history.name, history.life
        if key in by_life:
            raise HistoryError(
                f"{history.source}: {history.name} in life {history.life}: expected one history a process and life, "
                f"but {by_life[key].source} is of the same"
            )
        by_life[key] = history
    harness = [history for (name, _), history in by_life.items() if name == HARNESS]
    if len(harness) > 1:
        raise HistoryError(f"{harness[1].source}: expected one of the harness, as {harness[0].source} is")
    lives = tuple(history for (name, _), history in sorted(by_life.items()) if name != HARNESS)
    return Histories(lives, harness[0] if harness else None)


def read_lines(lines: Iterable[bytes], source: str, room: int = MOST_EVENTS) -> History:
    """One history from its lines, each with its end; the last may lack it (killed while it was written)."""
    cut = False

    def whole() -> Iterator[Event]:
        nonlocal cut
        for number, line in enumerate(lines, 1):
            if cut:
                raise HistoryError(
                    f"{source}: line {number - 1}: expected an end of line, since others follow"
                )
            if not line.endswith(b"\n"):
                cut = True
                continue
            yield _decoded(source, number, line)

    events = _checked(source, whole(), room)
    return History(source, events, cut)


def _lines(source: str, stream: Any) -> Iterator[bytes]:
    """Lines of a file, none longer than may be."""
    number = 0
    while line := stream.readline(MOST_TRUTH + 1):
        number += 1
        most = MOST_TRUTH if b'"kind":"truth"' in line[:200] else MOST_LINE
        if len(line) > most:
            raise HistoryError(f"{source}: line {number}: over {most} bytes: expected at most that many")
        yield line


def _decoded(source: str, number: int, line: bytes) -> Event:
    try:
        event: Event = _decoder.decode(line)
    except (msgspec.DecodeError, RecursionError) as error:  # a ValidationError is a DecodeError
        raise HistoryError(f"{source}: line {number}: {error}") from None
    return event


def _converted(source: str, at: int, event: dict[str, Any]) -> Event:
    try:
        converted: Event = msgspec.convert(event, _FORM)
    except msgspec.ValidationError as error:
        raise HistoryError(f"{source}: event {at + 1}: {error}") from None
    return converted


def _checked(source: str, events: Iterable[Event], room: int) -> tuple[Event, ...]:
    """Events of one life: the first a start and no other, ``seq`` without a gap, ``mono`` never back."""
    kept: list[Event] = []
    for event in events:
        line = len(kept) + 1
        if line > room:
            raise HistoryError(
                f"{source}: line {line}: expected at most {MOST_EVENTS} events in all histories"
            )
        if event.seq != len(kept):
            raise HistoryError(f"{source}: line {line}: seq {event.seq}: expected {len(kept)}, without a gap")
        if isinstance(event, Start) != (not kept):
            expected = "no second start" if kept else "start as the first event"
            raise HistoryError(f"{source}: line {line}: expected {expected}")
        if kept and event.mono < kept[-1].mono:
            raise HistoryError(
                f"{source}: line {line}: mono {event.mono}: expected at least {kept[-1].mono}, as the line before has"
            )
        kept.append(event)
    return tuple(kept)
