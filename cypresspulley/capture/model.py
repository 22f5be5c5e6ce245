"""The one request model of all captures, and what a reader says of a line or entry that it cannot read.

Times are Unix seconds, latencies seconds, sizes bytes. What a capture does not tell is -1 for a number, "" for
a text; status 0 is a try that got no answer.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field

UNKNOWN = -1.0
# 1990 and 2100, in Unix seconds: a time outside this range was read from a wrong field.
EARLIEST_TIME = 631_152_000.0
LATEST_TIME = 4_102_444_800.0
MAX_PRINTABLE_LENGTH = 120
TOKEN_PATTERN = re.compile(r"[A-Za-z0-9_\-+=.]{20,}")  # a path's part that may be a secret


class CaptureError(ValueError):
    """A capture that cannot be used; the text names file, place and what was expected."""


@dataclass(frozen=True, slots=True)
class RawRequest:
    """One request as a reader found it. ``fields`` holds headers and log fields by lower-case name."""

    t: float  # when it began
    method: str
    target: str  # path and query
    status: int
    bytes_sent: int
    latency: float
    location: str
    fields: dict[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class UnreadableRecord:
    """What could not be read, and why."""

    location: str
    reason: str


@dataclass(frozen=True, slots=True)
class CounterCall:
    """A call to the count keeper that a limiter's own log tells: its total orders it among all limiters'."""

    t: float  # when it was made
    answered: float
    name: str
    amount: float
    total: float
    entries_before: int = 0  # entries of its log that stand before it


@dataclass(slots=True)
class Entry:
    """One try of a client. ``repeats`` is the place in the list of the first try that it repeats, or -1."""

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
    marked: bool | None = None  # whether the client marked it as a retry; None: the capture does not tell
    repeats: int = -1

    @property
    def end(self) -> float:
        """When it was over, as far as the capture tells."""
        return self.t + max(0.0, self.latency)


def is_plausible_time(t: float) -> bool:
    return EARLIEST_TIME < t < LATEST_TIME


def printable(text: str) -> str:
    """A text from outside made safe for a terminal or a page: no control characters, of bounded length."""
    plain = "".join(c if c.isprintable() else f"\\x{ord(c):02x}" for c in text[: MAX_PRINTABLE_LENGTH + 1])
    return plain if len(plain) <= MAX_PRINTABLE_LENGTH else plain[:MAX_PRINTABLE_LENGTH] + "..."


def bare_path(target: str) -> str:
    """A target's path with nothing that may be secret: no query, no part that looks like a token."""
    path = target.partition("?")[0].partition("#")[0]
    if "://" in path[:10]:
        path = "/" + path.split("://", 1)[1].partition("/")[2]
    return TOKEN_PATTERN.sub("{}", printable(path))
