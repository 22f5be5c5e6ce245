"""Loads capture files as entries, detects their formats, and counts the records that cannot be used."""

from __future__ import annotations

import io
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from typing import Any

from cypresspulley.capture.access import FORMATS, nginx_format, read_log
from cypresspulley.capture.har import read_har
from cypresspulley.capture.mapping import Mapper, Mapping
from cypresspulley.capture.model import CaptureError, CounterCall, Entry, RawRequest, UnreadableRecord
from cypresspulley.capture.source import open_capture

KINDS = ("auto", "har", *FORMATS)
MAX_REPORTED_PER_FILE = 20  # unreadable records listed with their location
DETECTION_BYTES = 4096  # inspected to tell a HAR from a log


@dataclass(slots=True)
class Source:
    """A capture file, or the part of one between two jumps of its clock."""

    name: str
    kind: str
    entries: list[Entry] = field(default_factory=list)
    counts: list[CounterCall] = field(default_factory=list)


@dataclass(slots=True)
class LoadedCaptures:
    """The entries read from all files, and the records that could not be read or mapped."""

    sources: list[Source]
    unreadable_counts: Counter[str]
    unreadable: list[UnreadableRecord]
    unmapped: Counter[str]
    ignored: int

    @property
    def entries(self) -> list[Entry]:
        return [entry for source in self.sources for entry in source.entries]


def read_records(
    name: str, kind: str = "auto", notation: str = ""
) -> Iterator[RawRequest | CounterCall | UnreadableRecord]:
    """Yield the records of a file. ``kind`` "auto" detects the format; ``notation`` is an nginx log_format."""
    with open_capture(name) as stream:
        yield from _read_stream(stream, name, _detect_kind(stream, kind, notation), notation)


def _detect_kind(stream: io.BufferedReader[Any], kind: str, notation: str) -> str:
    """Return ``har`` or the log format, or ``auto`` for a log whose format is detected line by line."""
    if kind == "auto" and not notation and is_har(stream.peek(DETECTION_BYTES)[:DETECTION_BYTES]):
        return "har"
    return kind


def _read_stream(
    stream: io.BufferedReader[Any], name: str, kind: str, notation: str
) -> Iterator[RawRequest | CounterCall | UnreadableRecord]:
    if notation:
        return read_log(stream, name, (nginx_format(notation),))
    if kind == "har":
        return read_har(stream, name)
    return read_log(stream, name, () if kind == "auto" else (FORMATS[kind],))


def is_har(first_bytes: bytes) -> bool:
    """Return whether the bytes begin a HAR file: a JSON object whose first key is ``log``."""
    text = first_bytes.lstrip()
    return text.startswith(b"{") and text[1:].lstrip().startswith(b'"log"')


def load_captures(
    names: tuple[str, ...], mapping: Mapping, kind: str = "auto", notation: str = "", strict: bool = False
) -> LoadedCaptures:
    """Load all files. With ``strict``, raises ``CaptureError`` at the first unreadable record."""
    mapper = Mapper(mapping)
    unreadable_counts = Counter[str]()
    unreadable = list[UnreadableRecord]()
    sources = list[Source]()
    for name in names:
        with open_capture(name) as stream:
            source = Source(name, _detect_kind(stream, kind, notation))
            sources.append(source)
            for record in _read_stream(stream, name, source.kind, notation):
                if isinstance(record, RawRequest):
                    entry = mapper.map_request(record, name)
                    if entry is not None:
                        source.entries.append(entry)
                elif isinstance(record, CounterCall):
                    source.counts.append(replace(record, entries_before=len(source.entries)))
                elif strict:
                    raise CaptureError(f"{record.location}: {record.reason}")
                else:
                    unreadable_counts[name] += 1
                    if unreadable_counts[name] <= MAX_REPORTED_PER_FILE:
                        unreadable.append(record)
    return LoadedCaptures(sources, unreadable_counts, unreadable, mapper.unmapped, mapper.ignored)
