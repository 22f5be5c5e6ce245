"""Parses the time formats of captures to Unix seconds; raises ``ValueError`` for text that is not a time."""

from __future__ import annotations

import re
from datetime import UTC, datetime
from functools import lru_cache

from cypresspulley.capture.model import is_plausible_time

MONTH_NAMES = ("Jan", "Feb", "Mar", "Apr", "May", "Jun", "Jul", "Aug", "Sep", "Oct", "Nov", "Dec")
MONTHS = {name: number for number, name in enumerate(MONTH_NAMES, 1)}
CLF_TIME = re.compile(
    r"(\d\d)/([A-Z][a-z]{2})/(\d{4}):(\d\d):(\d\d):(\d\d)(\.\d{1,9})?(?: ([+-])(\d\d)(\d\d))?", re.ASCII
)
ISO_TIME = re.compile(r"(\d{4}-\d\d-\d\d[T ]\d\d:\d\d:\d\d)(\.\d{1,12})?(Z|[+-]\d\d:?\d\d)?", re.ASCII)
EPOCH_SECONDS = re.compile(r"\d{9,10}(?:\.\d{1,9})?", re.ASCII)
EPOCH_MILLISECONDS = re.compile(r"\d{12,13}(?:\.\d{1,9})?", re.ASCII)


@lru_cache(maxsize=4096)  # lines logged in the same second share it
def _whole_seconds(year: int, month: int, day: int, hour: int, minute: int, second: int) -> float:
    return datetime(year, month, day, hour, minute, min(59, second), tzinfo=UTC).timestamp()


def _check_range(t: float, text: str) -> float:
    if not is_plausible_time(t):
        raise ValueError(f"a time out of range: {text:.40}")
    return t


def parse_clf_time(text: str) -> float:
    """Parse ``10/Oct/2026:13:55:36 +0530``; milliseconds and the zone are optional, the default zone is UTC."""
    match = CLF_TIME.fullmatch(text)
    if match is None or match[2] not in MONTHS:
        raise ValueError(f"not a time: {text:.40}")
    t = _whole_seconds(
        int(match[3]), MONTHS[match[2]], int(match[1]), int(match[4]), int(match[5]), int(match[6])
    )
    if match[8]:
        zone_offset = int(match[9]) * 3600 + int(match[10]) * 60
        t -= zone_offset if match[8] == "+" else -zone_offset
    return _check_range(t + float(match[7] or 0), text)


def parse_iso_time(text: str) -> float:
    """Parse ISO 8601 with up to 12 fractional digits; the default zone is UTC."""
    match = ISO_TIME.fullmatch(text)
    if match is None:
        raise ValueError(f"not a time: {text:.40}")
    whole_seconds = datetime.fromisoformat(match[1].replace(" ", "T") + (match[3] or "Z"))
    return _check_range(whole_seconds.timestamp() + float(match[2] or 0), text)


def parse_time(value: object) -> float:
    """Parse a time in CLF or ISO 8601 form, or a number of seconds or milliseconds since the epoch."""
    if isinstance(value, bool) or not isinstance(value, int | float | str):
        raise ValueError(f"not a time: {value!r:.40}")
    text = str(value).strip()
    if EPOCH_SECONDS.fullmatch(text):
        return _check_range(float(text), text)
    if EPOCH_MILLISECONDS.fullmatch(text):
        return _check_range(float(text) / 1000, text)
    return parse_clf_time(text) if "/" in text else parse_iso_time(text)
