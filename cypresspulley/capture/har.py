"""Reads HAR 1.2 files as a stream: memory use is bounded by the largest value, not by the file.

Keeps only what the request model needs; bodies and cookies are skipped. Accepts entries in any order, a ``time`` of
-1, status 0 for aborted requests, HTTP/2 pseudo-headers, and header names in any case.
"""

from __future__ import annotations

import io
import math
from collections.abc import Iterator
from typing import Any

import ijson

from cypresspulley.capture.model import UNKNOWN, CaptureError, RawRequest, UnreadableRecord
from cypresspulley.capture.times import parse_iso_time

MAX_DEPTH = 64  # levels of JSON nesting
MAX_HEADERS = 200  # per request
MAX_VALUE_LENGTH = 8192  # characters
ENTRY_PATH = "log.entries.item"
WANTED_PATHS = {
    f"{ENTRY_PATH}.startedDateTime": "started", f"{ENTRY_PATH}.time": "time", f"{ENTRY_PATH}.request.method": "method",
    f"{ENTRY_PATH}.request.url": "url", f"{ENTRY_PATH}.response.status": "status",
    f"{ENTRY_PATH}.response.bodySize": "size", f"{ENTRY_PATH}._error": "error",
}  # fmt: skip
HEADER_PATH = f"{ENTRY_PATH}.request.headers.item"


class _EntryBuilder:
    """Collects the values of one entry while the file is parsed."""

    def __init__(self) -> None:
        self.values = dict[str, Any]()
        self.fields = dict[str, str]()
        self.name = ""

    def add_header(self, value: str) -> None:
        if self.name and len(self.fields) < MAX_HEADERS:
            self.fields[self.name.lower()] = value[:MAX_VALUE_LENGTH]

    def build_request(self, location: str) -> RawRequest | UnreadableRecord:
        values = self.values
        try:
            started = parse_iso_time(str(values["started"]))
            method, url = str(values["method"]), str(values["url"])
        except KeyError as error:
            return UnreadableRecord(location, f"an entry without {error}")
        except ValueError as error:
            return UnreadableRecord(location, str(error))
        if not method or not url:
            return UnreadableRecord(location, "an entry without a method or url")
        duration_ms = _finite_number(values.get("time"))
        status = int(_finite_number(values.get("status"), 0.0))
        if not 0 <= status <= 999:
            return UnreadableRecord(location, f"a status of {status}")
        latency = duration_ms / 1000 if duration_ms >= 0 else UNKNOWN
        fields = {name.lstrip(":") if name.startswith(":") else name: x for name, x in self.fields.items()}
        return RawRequest(
            started,
            method,
            url[:MAX_VALUE_LENGTH],
            status,
            int(_finite_number(values.get("size"))),
            latency,
            location,
            fields,
        )


def _finite_number(value: Any, default: float = UNKNOWN) -> float:
    try:
        number = float(value)
    except (TypeError, ValueError, OverflowError):
        return default
    return number if math.isfinite(number) and abs(number) < 1e12 else default


def read_har(stream: io.BufferedReader, name: str) -> Iterator[RawRequest | UnreadableRecord]:
    """Yield the requests of a HAR file.

    Yields an ``UnreadableRecord`` for an invalid entry, and as the last record where the JSON becomes invalid. Raises
    ``CaptureError`` if the nesting exceeds ``MAX_DEPTH``.
    """
    entry, number, depth = _EntryBuilder(), 0, 0
    try:
        for path, event, value in ijson.parse(stream, use_float=True):
            if event in ("start_map", "start_array"):
                depth += 1
                if depth > MAX_DEPTH:
                    raise CaptureError(f"{name}: nested over {MAX_DEPTH} deep behind entry {number}")
                if path == ENTRY_PATH and event == "start_map":
                    entry, number = _EntryBuilder(), number + 1
            elif event in ("end_map", "end_array"):
                depth -= 1
                if path == ENTRY_PATH and event == "end_map":
                    yield entry.build_request(f"{name}: entry {number}")
            elif path in WANTED_PATHS:
                entry.values[WANTED_PATHS[path]] = value
            elif path == f"{HEADER_PATH}.name":
                entry.name = str(value)[:MAX_VALUE_LENGTH]
            elif path == f"{HEADER_PATH}.value":
                entry.add_header(str(value))
    except (ijson.JSONError, UnicodeDecodeError, ValueError) as error:
        if isinstance(error, CaptureError):
            raise
        reason = " ".join(str(error).split())[:120]
        yield UnreadableRecord(f"{name}: behind entry {number}", f"not JSON from here on: {reason}")
