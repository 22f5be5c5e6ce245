"""Defines the request model shared by all capture formats, and the record of a line or entry that cannot be read.

Times are in Unix seconds, latencies in seconds, sizes in bytes. A value missing from the capture is -1 if numeric and
"" if text; status 0 marks an attempt without a response.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field

UNKNOWN = -1.0
# 1990 and 2100, in Unix seconds: a time outside this range was read from a wrong field.
EARLIEST_TIME = 631_152_000.0
LATEST_TIME = 4_102_444_800.0
MAX_PRINTABLE_LENGTH = 120
TOKEN_PATTERN = re.compile(r"[A-Za-z0-9_\-+=.]{20,}")  # a part of a path that may be a secret


class CaptureError(ValueError):
    """Raised for an unusable capture; the message names the file, the location and what was expected."""


@dataclass(frozen=True, slots=True)
class RawRequest:
    """A request as read from a file. ``fields`` holds headers and log fields by lower-case name."""

    t: float  # start time
    method: str
    target: str  # path and query
    status: int
    bytes_sent: int
    latency: float
    location: str
    fields: dict[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class UnreadableRecord:
    """The location of a line or entry that could not be read, and the reason."""

    location: str
    reason: str


@dataclass(frozen=True, slots=True)
class CounterCall:
    """A call to the shared counter, from a limiter's log. Its total orders it among the calls of all limiters."""

    t: float  # when the call was made
    answered: float
    name: str
    amount: float
    total: float
    entries_before: int = 0  # entries that precede it in its log


@dataclass(slots=True)
class Entry:
    """An attempt of a client. ``repeats`` is the list index of the first attempt that it retries, or -1."""

    t: float
    account: str
    cls: str
    plan: str
    method: str
    path: str
    id: str
    status: int
    bytes_sent: int
    latency: float
    source: str
    location: str
    units: float = 1.0
    marked: bool | None = None  # whether the client marked it as a retry; None if unknown
    repeats: int = -1

    @property
    def end(self) -> float:
        """The end time, or the start time if the latency is unknown."""
        return self.t + max(0.0, self.latency)


def is_plausible_time(t: float) -> bool:
    return EARLIEST_TIME < t < LATEST_TIME


def printable(text: str) -> str:
    """Return untrusted text with control characters escaped and its length bounded, for a terminal or a page."""
    plain = "".join(c if c.isprintable() else f"\\x{ord(c):02x}" for c in text[: MAX_PRINTABLE_LENGTH + 1])
    return plain if len(plain) <= MAX_PRINTABLE_LENGTH else plain[:MAX_PRINTABLE_LENGTH] + "..."


def bare_path(target: str) -> str:
    """Return a target's path without its query and with parts that look like tokens replaced by ``{}``."""
    path = target.partition("?")[0].partition("#")[0]
    if "://" in path[:10]:
        path = "/" + path.split("://", 1)[1].partition("/")[2]
    return TOKEN_PATTERN.sub("{}", printable(path))
