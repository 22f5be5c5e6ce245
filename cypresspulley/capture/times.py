"""Times as captures write them, to Unix seconds. ValueError where a text is no time."""

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


@lru_cache(maxsize=4096)  # a second's lines share most of their time
def _whole_seconds(year: int, month: int, day: int, hour: int, minute: int, second: int) -> float:
    return datetime(year, month, day, hour, minute, min(59, second), tzinfo=UTC).timestamp()


def _check_range(t: float, text: str) -> float:
    if not is_plausible_time(t):
        raise ValueError(f"a time out of range: {text:.40}")
    return t


def parse_clf_time(text: str) -> float:
    """``10/Oct/2026:13:55:36 +0530``, with milliseconds and without a zone (then UTC) as well."""
    match = CLF_TIME.fullmatch(text)
    if match is None or match[2] not in MONTHS:
        raise ValueError(f"no time: {text:.40}")
    t = _whole_seconds(
        int(match[3]), MONTHS[match[2]], int(match[1]), int(match[4]), int(match[5]), int(match[6])
    )
    if match[8]:
        zone_offset = int(match[9]) * 3600 + int(match[10]) * 60
        t -= zone_offset if match[8] == "+" else -zone_offset
    return _check_range(t + float(match[7] or 0), text)


def parse_iso_time(text: str) -> float:
    """ISO 8601 with any number of digits of a second; without a zone it is UTC."""
    match = ISO_TIME.fullmatch(text)
    if match is None:
        raise ValueError(f"no time: {text:.40}")
    whole_seconds = datetime.fromisoformat(match[1].replace(" ", "T") + (match[3] or "Z"))
    return _check_range(whole_seconds.timestamp() + float(match[2] or 0), text)


def parse_time(value: object) -> float:
    """A time in any of these forms, or seconds or milliseconds as a number."""
    if isinstance(value, bool) or not isinstance(value, int | float | str):
        raise ValueError(f"no time: {value!r:.40}")
    text = str(value).strip()
    if EPOCH_SECONDS.fullmatch(text):
        return _check_range(float(text), text)
    if EPOCH_MILLISECONDS.fullmatch(text):
        return _check_range(float(text) / 1000, text)
    return parse_clf_time(text) if "/" in text else parse_iso_time(text)
