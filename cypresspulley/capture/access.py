"""Access logs: common, combined, HAProxy, Envoy, JSON lines, and formats in nginx's ``log_format`` notation.

Every pattern is a row of ``[^x]*`` each followed by its ``x``: a line is read in time linear in its length.
"""

from __future__ import annotations

import io
import json
import math
import re
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any

from cypresspulley.capture.model import (
    UNKNOWN,
    CaptureError,
    CounterCall,
    RawRequest,
    UnreadableRecord,
    is_plausible_time,
)
from cypresspulley.capture.source import read_lines
from cypresspulley.capture.times import parse_clf_time, parse_time

COMMON = '$remote_addr - $remote_user [$time_local] "$request" $status $body_bytes_sent'
COMBINED = COMMON + ' "$http_referer" "$http_user_agent"'
ENVOY = (
    '[$start_time] "$request" $status $response_flags $bytes_received $bytes_sent $duration '
    '$upstream_service_time "$http_x_forwarded_for" "$http_user_agent" "$http_x_request_id" "$http_authority" '
    '"$upstream_host"'
)
HAPROXY = re.compile(
    r"(?:[^\[]{0,200}\[\d{1,9}\]: )?(?P<remote_addr>[^\s:]+|\S+):(?P<remote_port>\d{1,5}) "
    r"\[(?P<accept_date>[^\]]{1,40})\] (?P<frontend>\S+) (?P<backend>[^/\s]+)/(?P<upstream>\S+) "
    r"(?P<tq>-?\d{1,9})/(?P<tw>-?\d{1,9})/(?P<tc>-?\d{1,9})/(?P<tr>-?\d{1,9})/(?P<ta>\+?-?\d{1,9}) "
    r"(?P<status>-?\d{1,4}) (?P<bytes_sent>\+?\d{1,15}) \S+ \S+ (?P<termination>\S{2,4}) \S+ \S+ "
    r"(?:\{(?P<captured>[^}]*)\} )?(?:\{[^}]*\} )?\"(?P<request>[^\"]*)\"?",
    re.ASCII,
)
VARIABLE = re.compile(r"\$(?:\{([a-z0-9_]+)\}|([a-z0-9_]+))")
REQUEST = re.compile(r"([!-~]{1,20}) (\S{1,8192})(?: HTTP/[\d.]{1,4})?")
ESCAPED = re.compile(r"\\x([0-9A-Fa-f]{2})")
# Names that logs give to one thing; the first that a line has is taken.
TIMES = ("time_local", "time_iso8601", "msec", "start_time", "time", "@timestamp", "timestamp", "ts")
ENDS = frozenset(("time_local", "time_iso8601", "msec"))  # nginx writes these when the answer is out
SECONDS = ("request_time", "latency")
MILLIS = ("duration", "duration_ms", "ta", "response_time_ms")
SIZES = ("bytes_sent", "body_bytes_sent", "size", "sent")
STATUS = ("status", "response_code", "code")
METHODS = ("request_method", "method")
TARGETS = ("request_uri", "path", "uri", "target", "url")
MAX_FIELDS = 200


@dataclass(frozen=True, slots=True)
class LogFormat:
    """One form of line: a name and what takes a line apart (None: not of this form)."""

    name: str
    parse: Callable[[str], dict[str, str] | None]


def nginx_format(notation: str, name: str = "") -> LogFormat:
    """A format from nginx's notation, ``$variables`` between literal text."""
    parts, at, names = list[str](), 0, set[str]()
    found = list(VARIABLE.finditer(notation))
    if not found:
        raise CaptureError(f"log format {notation!r:.60}: expected $variables, as in $status")
    for number, variable in enumerate(found):
        parts.append(re.escape(notation[at : variable.start()]))
        at = variable.end()
        key = variable[1] or variable[2]
        following = notation[at : at + 1]
        if not following and number + 1 < len(found):
            raise CaptureError(f"log format: ${key} is followed by nothing")
        if number + 1 < len(found) and found[number + 1].start() == at:
            raise CaptureError(
                f"log format: ${key} and the next variable stand side by side: where does it end?"
            )
        inner = (
            r"[^\"\\]*(?:\\.[^\"\\]*)*"
            if following == '"'
            else f"[^{re.escape(following)}]*"
            if following
            else ".*"
        )
        if key in names or not key.isidentifier():
            parts.append(f"(?:{inner})")
        else:
            parts.append(f"(?P<{key}>{inner})")
            names.add(key)
    pattern = re.compile("".join(parts) + re.escape(notation[at:]))

    def fields(line: str) -> dict[str, str] | None:
        form = pattern.fullmatch(line)
        return {key: _unescaped(value) for key, value in form.groupdict().items()} if form else None

    return LogFormat(name or notation, fields)


def _unescaped(text: str | None) -> str:
    if not text or text == "-":
        return ""
    return ESCAPED.sub(lambda m: chr(int(m[1], 16)), text) if "\\x" in text else text


def _haproxy(line: str) -> dict[str, str] | None:
    form = HAPROXY.fullmatch(line)
    return {key: value or "" for key, value in form.groupdict().items()} if form else None


def _json(line: str) -> dict[str, str] | None:
    if not line.startswith("{"):
        return None
    try:
        raw = json.loads(line)
    except (ValueError, RecursionError):
        return None
    if not isinstance(raw, dict) or len(raw) > MAX_FIELDS:
        return None
    return {
        str(key).lower(): _text(value) for key, value in raw.items() if not isinstance(value, dict | list)
    }


def _text(value: Any) -> str:
    if value is None:
        return ""
    if isinstance(value, bool):
        return "1" if value else "0"
    return repr(value) if isinstance(value, float) else str(value)


FORMATS = {
    "json": LogFormat("json", _json),
    "combined": nginx_format(COMBINED, "combined"),
    "common": nginx_format(COMMON, "common"),
    "envoy": nginx_format(ENVOY, "envoy"),
    "haproxy": LogFormat("haproxy", _haproxy),
}


def read_log(
    stream: io.BufferedReader, name: str, formats: tuple[LogFormat, ...] = ()
) -> Iterator[RawRequest | CounterCall | UnreadableRecord]:
    """The requests of an access log. Each line may be of another form: the one that fitted last is tried first."""
    order = list(formats or FORMATS.values())
    for number, line in read_lines(stream):
        place = f"{name}:{number}"
        if line is None:
            yield UnreadableRecord(place, "a line of over 1 MB")
            continue
        text = line.decode("utf-8", "replace")
        if not text.strip():
            continue
        for at, form in enumerate(order):
            if (fields := form.parse(text)) is not None:
                if at:
                    order.insert(0, order.pop(at))
                yield _record(fields, place)
                break
        else:
            expected = ", ".join(form.name for form in order) if len(order) < 6 else "a known format"
            yield UnreadableRecord(place, f"fits none of {expected:.120}")


def _record(fields: dict[str, str], place: str) -> RawRequest | CounterCall | UnreadableRecord:
    try:
        if fields.get("kind") == "count":
            return _counted(fields)
        if fields.get("kind") == "dropped":
            return UnreadableRecord(
                place, f"the limiter dropped {fields.get('lines', '?'):.12} lines here: its disk was slow"
            )
        return _raw(fields, place)
    except (ValueError, OverflowError) as error:
        return UnreadableRecord(place, str(error)[:120])


def _counted(fields: dict[str, str]) -> CounterCall:
    t, answered = parse_time(fields.get("time", "")), parse_time(fields.get("answered", ""))
    amount, total = float(fields.get("amount", "x")), float(fields.get("total", "x"))
    if not (math.isfinite(amount) and math.isfinite(total)):
        raise ValueError("a count that is no number")
    return CounterCall(t, answered, fields.get("name", ""), amount, total)


def _first(fields: dict[str, str], names: tuple[str, ...]) -> tuple[str, str]:
    return next(((key, fields[key]) for key in names if fields.get(key)), ("", ""))


def _number(text: str, what: str) -> float:
    number = float(text)
    if not math.isfinite(number) or abs(number) > 1e12:
        raise ValueError(f"{what} out of range: {text:.30}")
    return number


def _raw(fields: dict[str, str], place: str) -> RawRequest:
    if "accept_date" in fields:
        key, t = "accept_date", parse_clf_time(fields["accept_date"])
    else:
        key, value = _first(fields, TIMES)
        t = parse_time(value)
    latency = UNKNOWN
    if (text := _first(fields, SECONDS)[1]) != "":
        latency = max(UNKNOWN, _number(text.split(",")[0], "a latency"))
    elif (text := _first(fields, MILLIS)[1]) != "":
        latency = max(UNKNOWN, _number(text.lstrip("+"), "a latency") / 1000)
    if key in ENDS and latency > 0:
        t -= latency
    if not is_plausible_time(t):
        raise ValueError("a time out of range")
    method, target = _request(fields)
    status = int(_number(_first(fields, STATUS)[1] or "0", "a status"))
    size = int(_number((_first(fields, SIZES)[1] or "-1").lstrip("+"), "a size"))
    if not -1 <= status <= 999:
        raise ValueError(f"a status of {status}")
    for name in [key for key in fields if key.startswith("http_")]:
        fields[name[5:].replace("_", "-")] = fields[name]  # a header under its own name
    return RawRequest(t, method, target, max(0, status), size, latency, place, fields)


def _request(fields: dict[str, str]) -> tuple[str, str]:
    if fields.get("request"):
        form = REQUEST.fullmatch(fields["request"])
        if form is None:
            raise ValueError(f"no request line: {fields['request']!r:.60}")
        return form[1], form[2]
    method, target = _first(fields, METHODS)[1], _first(fields, TARGETS)[1]
    if not method or not target:
        raise ValueError("neither a request line nor method and path")
    return method, target[:8192]
