"""Times as captures write them, to Unix seconds. ValueError where a text is no time."""

from __future__ import annotations

import re
from datetime import UTC, datetime
from functools import lru_cache

from cypresspulley.capture.model import is_plausible_time

NAMES = ("Jan", "Feb", "Mar", "Apr", "May", "Jun", "Jul", "Aug", "Sep", "Oct", "Nov", "Dec")
MONTHS = {name: number for number, name in enumerate(NAMES, 1)}
CLF = re.compile(
    r"(\d\d)/([A-Z][a-z]{2})/(\d{4}):(\d\d):(\d\d):(\d\d)(\.\d{1,9})?(?: ([+-])(\d\d)(\d\d))?", re.ASCII
)
ISO = re.compile(r"(\d{4}-\d\d-\d\d[T ]\d\d:\d\d:\d\d)(\.\d{1,12})?(Z|[+-]\d\d:?\d\d)?", re.ASCII)
NUMBER = re.compile(r"\d{9,10}(?:\.\d{1,9})?", re.ASCII)
MILLIS = re.compile(r"\d{12,13}(?:\.\d{1,9})?", re.ASCII)


@lru_cache(maxsize=4096)  # a second's lines share most of their time
def _whole(year: int, month: int, day: int, hour: int, minute: int, second: int) -> float:
    return datetime(year, month, day, hour, minute, min(59, second), tzinfo=UTC).timestamp()


def _checked(t: float, text: str) -> float:
    if not is_plausible_time(t):
        raise ValueError(f"a time out of range: {text:.40}")
    return t


def parse_clf_time(text: str) -> float:
    """``10/Oct/2026:13:55:36 +0530``, with milliseconds and without a zone (then UTC) as well."""
    form = CLF.fullmatch(text)
    if form is None or form[2] not in MONTHS:
        raise ValueError(f"no time: {text:.40}")
    t = _whole(int(form[3]), MONTHS[form[2]], int(form[1]), int(form[4]), int(form[5]), int(form[6]))
    if form[8]:
        away = int(form[9]) * 3600 + int(form[10]) * 60
        t -= away if form[8] == "+" else -away
    return _checked(t + float(form[7] or 0), text)


def parse_iso_time(text: str) -> float:
    """ISO 8601 with any number of digits of a second; without a zone it is UTC."""
    form = ISO.fullmatch(text)
    if form is None:
        raise ValueError(f"no time: {text:.40}")
    whole = datetime.fromisoformat(form[1].replace(" ", "T") + (form[3] or "Z"))
    return _checked(whole.timestamp() + float(form[2] or 0), text)


def parse_time(value: object) -> float:
    """A time in any of these forms, or seconds or milliseconds as a number."""
    if isinstance(value, bool) or not isinstance(value, int | float | str):
        raise ValueError(f"no time: {value!r:.40}")
    text = str(value).strip()
    if NUMBER.fullmatch(text):
        return _checked(float(text), text)
    if MILLIS.fullmatch(text):
        return _checked(float(text) / 1000, text)
    return parse_clf_time(text) if "/" in text else parse_iso_time(text)
