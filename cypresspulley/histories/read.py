"""Reads histories from files of JSON lines or from event lists of plays in virtual time.

The only defect tolerated is a last line without a line end, which a SIGKILL can leave; that line is dropped. Any other
defect raises a ``HistoryError`` that names the file, the line and what was expected. All sizes are bounded.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Union

import msgspec

from cypresspulley.histories.forms import EVENT_TYPES, Event, Start

HARNESS = "harness"  # the name in the ``start`` event of the harness
MAX_FILES = 4096
MAX_FILE_BYTES = 128 * 1024 * 1024  # twice the limit of the writer
MAX_LINE_BYTES = 64 * 1024  # line end included
MAX_TRUTH_LINE_BYTES = 4 * 1024 * 1024  # the harness writes the truth of a whole play in one line
MAX_TOTAL_EVENTS = 2_000_000  # in all histories together
FILE_PATTERN = "*.jsonl"

_EVENT_UNION = Union[tuple(EVENT_TYPES.values())]  # type: ignore[valid-type]  # noqa: UP007  # built from the table
_decoder: msgspec.json.Decoder[Any] = msgspec.json.Decoder(_EVENT_UNION)


class HistoryError(ValueError):
    """Raised for a history that cannot be read. The message names the file, the line and what was expected."""


@dataclass(frozen=True, slots=True)
class History:
    """The events that one process wrote in one life, in order.

    ``truncated`` is whether an incomplete last line was dropped.
    """

    source: str
    events: tuple[Event, ...]
    truncated: bool = False

    @property
    def start(self) -> Start:
        first = self.events[0]
        assert isinstance(first, Start)  # ensured by the reader
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
    """One history per process and life, sorted by name and life, and the harness's own if there is one."""

    lives: tuple[History, ...]
    harness: History | None


def read_folder(folder: Path) -> Histories:
    """Read all histories (``*.jsonl``) of a folder.

    Raise ``HistoryError`` if one is invalid or the folder has none, and ``OSError`` if a file cannot be read.
    """
    files = sorted(folder.glob(FILE_PATTERN))
    if not files:
        raise HistoryError(f"{folder}: expected at least one history {FILE_PATTERN}")
    return read_files(files)


def read_files(files: Sequence[Path]) -> Histories:
    """Read the histories of these files, in any order.

    A file whose writer was killed before its first line is skipped.
    """
    if len(files) > MAX_FILES:
        raise HistoryError(f"{len(files)} histories: expected at most {MAX_FILES}")
    max_events, histories = MAX_TOTAL_EVENTS, []
    for file in files:
        size = file.stat().st_size
        if size > MAX_FILE_BYTES:
            raise HistoryError(f"{file}: {size} bytes: expected at most {MAX_FILE_BYTES}")
        with file.open("rb") as stream:
            history = read_lines(_bounded_lines(str(file), stream), str(file), max_events)
        max_events -= len(history.events)
        if history.events:
            histories.append(history)
    return merge_histories(histories)


def from_memory(lives: Iterable[Sequence[dict[str, Any]]]) -> Histories:
    """Build histories from event lists as in ``MemoryHistory.lives``. Empty lists are skipped."""
    histories = []
    for number, events in enumerate(lives):
        source = f"memory {number}"
        checked = _validate_events(
            source, (_convert_event(source, at, event) for at, event in enumerate(events)), MAX_TOTAL_EVENTS
        )
        if checked:
            histories.append(History(source, checked))
    return merge_histories(histories)


def merge_histories(histories: Iterable[History]) -> Histories:
    """Combine histories. Raise ``HistoryError`` if two are of the same process and life."""
    by_life: dict[tuple[str, int], History] = {}
    for history in histories:
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
    """Read one history from its lines, which include their line ends; the last may lack it after a SIGKILL."""
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
    """Yield the lines of a file. Raise ``HistoryError`` for a line over the size limit."""
    number = 0
    while line := stream.readline(MAX_TRUTH_LINE_BYTES + 1):
        number += 1
        max_bytes = MAX_TRUTH_LINE_BYTES if b'"kind":"truth"' in line[:200] else MAX_LINE_BYTES
        if len(line) > max_bytes:
            raise HistoryError(f"{source}: line {number}: over {max_bytes} bytes: expected at most that many")
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
    """Validate the events of one life and return them.

    The first event, and no other, must be a start; ``seq`` must have no gap and ``mono`` must not decrease.
    """
    validated: list[Event] = []
    for event in events:
        line = len(validated) + 1
        if line > max_events:
            raise HistoryError(
                f"{source}: line {line}: expected at most {MAX_TOTAL_EVENTS} events in all histories"
            )
        if event.seq != len(validated):
            raise HistoryError(
                f"{source}: line {line}: seq {event.seq}: expected {len(validated)}, without a gap"
            )
        if isinstance(event, Start) != (not validated):
            expected = "no second start" if validated else "start as the first event"
            raise HistoryError(f"{source}: line {line}: expected {expected}")
        if validated and event.mono < validated[-1].mono:
            raise HistoryError(
                f"{source}: line {line}: mono {event.mono}: "
                f"expected at least {validated[-1].mono}, as the line before has"
            )
        validated.append(event)
    return tuple(validated)
