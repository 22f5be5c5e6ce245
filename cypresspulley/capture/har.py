"""HAR 1.2 files, streamed: memory grows with the largest value, never with the file.

Only what the request model wants is kept; bodies, cookies and the like pass by. Entries come in any order, with
``time`` of -1, status 0 for aborted ones, HTTP/2 pseudo-headers, names in any case.
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
MAX_VALUE = 8192  # characters
ENTRY = "log.entries.item"
WANTED = {
    f"{ENTRY}.startedDateTime": "started", f"{ENTRY}.time": "time", f"{ENTRY}.request.method": "method",
    f"{ENTRY}.request.url": "url", f"{ENTRY}.response.status": "status",
    f"{ENTRY}.response.bodySize": "size", f"{ENTRY}._error": "error",
}  # fmt: skip
HEADER = f"{ENTRY}.request.headers.item"


class _Entry:
    """The values of one entry, as they come by."""

    def __init__(self) -> None:
        self.values = dict[str, Any]()
        self.fields = dict[str, str]()
        self.name = ""

    def header(self, value: str) -> None:
        if self.name and len(self.fields) < MAX_HEADERS:
            self.fields[self.name.lower()] = value[:MAX_VALUE]

    def raw(self, place: str) -> RawRequest | UnreadableRecord:
        v = self.values
        try:
            started = parse_iso_time(str(v["started"]))
            method, url = str(v["method"]), str(v["url"])
        except KeyError as error:
            return UnreadableRecord(place, f"an entry without {error}")
        except ValueError as error:
            return UnreadableRecord(place, str(error))
        if not method or not url:
            return UnreadableRecord(place, "an entry without a method or url")
        millis = _number(v.get("time"))
        status = int(_number(v.get("status"), 0.0))
        if not 0 <= status <= 999:
            return UnreadableRecord(place, f"a status of {status}")
        latency = millis / 1000 if millis >= 0 else UNKNOWN
        fields = {name.lstrip(":") if name.startswith(":") else name: x for name, x in self.fields.items()}
        return RawRequest(
            started, method, url[:MAX_VALUE], status, int(_number(v.get("size"))), latency, place, fields
        )


def _number(value: Any, missing: float = UNKNOWN) -> float:
    try:
        number = float(value)
    except (TypeError, ValueError, OverflowError):
        return missing
    return number if math.isfinite(number) and abs(number) < 1e12 else missing


def read_har(stream: io.BufferedReader, name: str) -> Iterator[RawRequest | UnreadableRecord]:
    """The requests of a HAR file. What is broken within an entry is told; a file that is no JSON ends it."""
    entry, number, depth = _Entry(), 0, 0
    try:
        for path, event, value in ijson.parse(stream, use_float=True):
            if event in ("start_map", "start_array"):
                depth += 1
                if depth > MAX_DEPTH:
                    raise CaptureError(f"{name}: nested over {MAX_DEPTH} deep behind entry {number}")
                if path == ENTRY and event == "start_map":
                    entry, number = _Entry(), number + 1
            elif event in ("end_map", "end_array"):
                depth -= 1
                if path == ENTRY and event == "end_map":
                    yield entry.raw(f"{name}: entry {number}")
            elif path in WANTED:
                entry.values[WANTED[path]] = value
            elif path == f"{HEADER}.name":
                entry.name = str(value)[:MAX_VALUE]
            elif path == f"{HEADER}.value":
                entry.header(str(value))
    except (ijson.JSONError, UnicodeDecodeError, ValueError) as error:
        if isinstance(error, CaptureError):
            raise
        why = " ".join(str(error).split())[:120]
        yield UnreadableRecord(f"{name}: behind entry {number}", f"not JSON from here on: {why}")
