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

from cypresspulley.histories.forms import EVENT_TYPES, Event, Start

HARNESS = "harness"  # the name in its ``start``
MAX_FILES = 4096
MAX_FILE_BYTES = 128 * 1024 * 1024  # of one file: twice what a writer writes
MAX_LINE_BYTES = 64 * 1024  # bytes, its end included; the harness's truths have a line a play
MAX_TRUTH_LINE_BYTES = 4 * 1024 * 1024
MAX_TOTAL_EVENTS = 2_000_000  # of all histories together
FILE_PATTERN = "*.jsonl"

_EVENT_UNION = Union[tuple(EVENT_TYPES.values())]  # type: ignore[valid-type]  # noqa: UP007  # a union of what the table lists
_decoder: msgspec.json.Decoder[Any] = msgspec.json.Decoder(_EVENT_UNION)


class HistoryError(ValueError):
    """A history that cannot be read; the text names file, line and what was expected."""


@dataclass(frozen=True, slots=True)
class History:
    """What one process wrote in one life, in order. ``cut`` is whether a last line was lost."""

    source: str
    events: tuple[Event, ...]
    truncated: bool = False

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
        return (
            f"<History of {self.name} life {self.life}, "
            f"{len(self.events)} events{', cut' if self.truncated else ''}>"
        )


@dataclass(frozen=True, slots=True)
class Histories:
    """One history for each process and life, sorted by name and life, and the harness's own, if there is one."""

    lives: tuple[History, ...]
    harness: History | None


def read_folder(folder: Path) -> Histories:
    """All histories of a folder (``*.jsonl``). ``HistoryError`` also where it has none, ``OSError`` as it comes."""
    files = sorted(folder.glob(FILE_PATTERN))
    if not files:
        raise HistoryError(f"{folder}: expected at least one history {FILE_PATTERN}")
    return read_files(files)


def read_files(files: Sequence[Path]) -> Histories:
    """Histories of these files, in any order. A file whose writer was killed before its first line is passed over."""
    if len(files) > MAX_FILES:
        raise HistoryError(f"{len(files)} histories: expected at most {MAX_FILES}")
    max_events, found = MAX_TOTAL_EVENTS, []
    for file in files:
        size = file.stat().st_size
        if size > MAX_FILE_BYTES:
            raise HistoryError(f"{file}: {size} bytes: expected at most {MAX_FILE_BYTES}")
        with file.open("rb") as stream:
            history = read_lines(_bounded_lines(str(file), stream), str(file), max_events)
        max_events -= len(history.events)
        if history.events:
            found.append(history)
    return merge_histories(found)


def from_memory(lives: Iterable[Sequence[dict[str, Any]]]) -> Histories:
    """Histories from lists of events, as ``MemoryHistory.lives`` has them; empty ones are passed over."""
    found = []
    for number, events in enumerate(lives):
        source = f"memory {number}"
        checked = _validate_events(
            source, (_convert_event(source, at, event) for at, event in enumerate(events)), MAX_TOTAL_EVENTS
        )
        if checked:
            found.append(History(source, checked))
    return merge_histories(found)


def merge_histories(found: Iterable[History]) -> Histories:
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


def read_lines(lines: Iterable[bytes], source: str, max_events: int = MAX_TOTAL_EVENTS) -> History:
    """One history from its lines, each with its end; the last may lack it (killed while it was written)."""
    truncated = False

    def complete_events() -> Iterator[Event]:
        nonlocal truncated
        for number, line in enumerate(lines, 1):
            if truncated:
                raise HistoryError(
                    f"{source}: line {number - 1}: expected an end of line, since others follow"
                )
            if not line.endswith(b"\n"):
                truncated = True
                continue
            yield _decode_event(source, number, line)

    events = _validate_events(source, complete_events(), max_events)
    return History(source, events, truncated)


def _bounded_lines(source: str, stream: Any) -> Iterator[bytes]:
    """Lines of a file, none longer than may be."""
    number = 0
    while line := stream.readline(MAX_TRUTH_LINE_BYTES + 1):
        number += 1
        most = MAX_TRUTH_LINE_BYTES if b'"kind":"truth"' in line[:200] else MAX_LINE_BYTES
        if len(line) > most:
            raise HistoryError(f"{source}: line {number}: over {most} bytes: expected at most that many")
        yield line


def _decode_event(source: str, number: int, line: bytes) -> Event:
    try:
        event: Event = _decoder.decode(line)
    except (msgspec.DecodeError, RecursionError) as error:  # a ValidationError is a DecodeError
        raise HistoryError(f"{source}: line {number}: {error}") from None
    return event


def _convert_event(source: str, at: int, event: dict[str, Any]) -> Event:
    try:
        converted: Event = msgspec.convert(event, _EVENT_UNION)
    except msgspec.ValidationError as error:
        raise HistoryError(f"{source}: event {at + 1}: {error}") from None
    return converted


def _validate_events(source: str, events: Iterable[Event], max_events: int) -> tuple[Event, ...]:
    """Events of one life: the first a start and no other, ``seq`` without a gap, ``mono`` never back."""
    kept: list[Event] = []
    for event in events:
        line = len(kept) + 1
        if line > max_events:
            raise HistoryError(
                f"{source}: line {line}: expected at most {MAX_TOTAL_EVENTS} events in all histories"
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
