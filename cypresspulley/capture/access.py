"""Reads access logs: common, combined, HAProxy, Envoy, JSON lines, and formats in nginx's ``log_format`` notation.

Every pattern is a sequence of ``[^x]*``, each followed by its ``x``, so that matching takes time linear in the length
of the line.
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
HAPROXY_LINE = re.compile(
    r"(?:[^\[]{0,200}\[\d{1,9}\]: )?(?P<remote_addr>[^\s:]+|\S+):(?P<remote_port>\d{1,5}) "
    r"\[(?P<accept_date>[^\]]{1,40})\] (?P<frontend>\S+) (?P<backend>[^/\s]+)/(?P<upstream>\S+) "
    r"(?P<tq>-?\d{1,9})/(?P<tw>-?\d{1,9})/(?P<tc>-?\d{1,9})/(?P<tr>-?\d{1,9})/(?P<ta>\+?-?\d{1,9}) "
    r"(?P<status>-?\d{1,4}) (?P<bytes_sent>\+?\d{1,15}) \S+ \S+ (?P<termination>\S{2,4}) \S+ \S+ "
    r"(?:\{(?P<captured>[^}]*)\} )?(?:\{[^}]*\} )?\"(?P<request>[^\"]*)\"?",
    re.ASCII,
)
VARIABLE_PATTERN = re.compile(r"\$(?:\{([a-z0-9_]+)\}|([a-z0-9_]+))")
REQUEST_LINE = re.compile(r"([!-~]{1,20}) (\S{1,8192})(?: HTTP/[\d.]{1,4})?")
HEX_ESCAPE = re.compile(r"\\x([0-9A-Fa-f]{2})")
# Field names that logs use for one value; the first one present in a line is used.
TIME_FIELDS = ("time_local", "time_iso8601", "msec", "start_time", "time", "@timestamp", "timestamp", "ts")
# nginx takes these times when the response has been sent.
END_TIME_FIELDS = frozenset(("time_local", "time_iso8601", "msec"))
LATENCY_S_FIELDS = ("request_time", "latency")
LATENCY_MS_FIELDS = ("duration", "duration_ms", "ta", "response_time_ms")
SIZE_FIELDS = ("bytes_sent", "body_bytes_sent", "size", "sent")
STATUS_FIELDS = ("status", "response_code", "code")
METHOD_FIELDS = ("request_method", "method")
TARGET_FIELDS = ("request_uri", "path", "uri", "target", "url")
MAX_FIELDS = 200


@dataclass(frozen=True, slots=True)
class LogFormat:
    """A named log line format. ``parse`` returns the fields of a line, or None if the line has another format."""

    name: str
    parse: Callable[[str], dict[str, str] | None]


def nginx_format(notation: str, name: str = "") -> LogFormat:
    """Compile nginx's notation, ``$variables`` between literal text.

    Raises ``CaptureError`` if the notation has no variable or the end of a variable cannot be determined.
    """
    parts, at, names = list[str](), 0, set[str]()
    found = list(VARIABLE_PATTERN.finditer(notation))
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
                f"log format: ${key} and the next variable stand side by side, so its end is unknown"
            )
        value_pattern = (
            r"[^\"\\]*(?:\\.[^\"\\]*)*"
            if following == '"'
            else f"[^{re.escape(following)}]*"
            if following
            else ".*"
        )
        if key in names or not key.isidentifier():
            parts.append(f"(?:{value_pattern})")
        else:
            parts.append(f"(?P<{key}>{value_pattern})")
            names.add(key)
    pattern = re.compile("".join(parts) + re.escape(notation[at:]))

    def parse(line: str) -> dict[str, str] | None:
        match = pattern.fullmatch(line)
        return {key: _unescape(value) for key, value in match.groupdict().items()} if match else None

    return LogFormat(name or notation, parse)


def _unescape(text: str | None) -> str:
    if not text or text == "-":
        return ""
    return HEX_ESCAPE.sub(lambda m: chr(int(m[1], 16)), text) if "\\x" in text else text


def _parse_haproxy(line: str) -> dict[str, str] | None:
    match = HAPROXY_LINE.fullmatch(line)
    return {key: value or "" for key, value in match.groupdict().items()} if match else None


def _parse_json(line: str) -> dict[str, str] | None:
    if not line.startswith("{"):
        return None
    try:
        raw = json.loads(line)
    except (ValueError, RecursionError):
        return None
    if not isinstance(raw, dict) or len(raw) > MAX_FIELDS:
        return None
    return {
        str(key).lower(): _json_text(value)
        for key, value in raw.items()
        if not isinstance(value, dict | list)
    }


def _json_text(value: Any) -> str:
    if value is None:
        return ""
    if isinstance(value, bool):
        return "1" if value else "0"
    return repr(value) if isinstance(value, float) else str(value)


FORMATS = {
    "json": LogFormat("json", _parse_json),
    "combined": nginx_format(COMBINED, "combined"),
    "common": nginx_format(COMMON, "common"),
    "envoy": nginx_format(ENVOY, "envoy"),
    "haproxy": LogFormat("haproxy", _parse_haproxy),
}


def read_log(
    stream: io.BufferedReader, name: str, formats: tuple[LogFormat, ...] = ()
) -> Iterator[RawRequest | CounterCall | UnreadableRecord]:
    """Yield the requests of an access log. Lines may differ in format; the format that matched last is tried first."""
    order = list(formats or FORMATS.values())
    for number, line in read_lines(stream):
        location = f"{name}:{number}"
        if line is None:
            yield UnreadableRecord(location, "a line of over 1 MB")
            continue
        text = line.decode("utf-8", "replace")
        if not text.strip():
            continue
        for at, log_format in enumerate(order):
            if (fields := log_format.parse(text)) is not None:
                if at:
                    order.insert(0, order.pop(at))
                yield _parse_record(fields, location)
                break
        else:
            expected = (
                ", ".join(log_format.name for log_format in order) if len(order) < 6 else "a known format"
            )
            yield UnreadableRecord(location, f"fits none of {expected:.120}")


def _parse_record(fields: dict[str, str], location: str) -> RawRequest | CounterCall | UnreadableRecord:
    try:
        if fields.get("kind") == "count":
            return _parse_counter_call(fields)
        if fields.get("kind") == "dropped":
            return UnreadableRecord(
                location, f"the limiter dropped {fields.get('lines', '?'):.12} lines here: its disk was slow"
            )
        return _parse_request(fields, location)
    except (ValueError, OverflowError) as error:
        return UnreadableRecord(location, str(error)[:120])


def _parse_counter_call(fields: dict[str, str]) -> CounterCall:
    t, answered = parse_time(fields.get("time", "")), parse_time(fields.get("answered", ""))
    amount, total = float(fields.get("amount", "x")), float(fields.get("total", "x"))
    if not (math.isfinite(amount) and math.isfinite(total)):
        raise ValueError("the amount or total of a count is not finite")
    return CounterCall(t, answered, fields.get("name", ""), amount, total)


def _first_field(fields: dict[str, str], names: tuple[str, ...]) -> tuple[str, str]:
    return next(((key, fields[key]) for key in names if fields.get(key)), ("", ""))


def _finite_number(text: str, what: str) -> float:
    number = float(text)
    if not math.isfinite(number) or abs(number) > 1e12:
        raise ValueError(f"{what} out of range: {text:.30}")
    return number


def _parse_request(fields: dict[str, str], location: str) -> RawRequest:
    if "accept_date" in fields:
        key, t = "accept_date", parse_clf_time(fields["accept_date"])
    else:
        key, value = _first_field(fields, TIME_FIELDS)
        t = parse_time(value)
    latency = UNKNOWN
    if (text := _first_field(fields, LATENCY_S_FIELDS)[1]) != "":
        latency = max(UNKNOWN, _finite_number(text.split(",")[0], "a latency"))
    elif (text := _first_field(fields, LATENCY_MS_FIELDS)[1]) != "":
        latency = max(UNKNOWN, _finite_number(text.lstrip("+"), "a latency") / 1000)
    if key in END_TIME_FIELDS and latency > 0:
        t -= latency
    if not is_plausible_time(t):
        raise ValueError("a time out of range")
    method, target = _method_and_target(fields)
    status = int(_finite_number(_first_field(fields, STATUS_FIELDS)[1] or "0", "a status"))
    size = int(_finite_number((_first_field(fields, SIZE_FIELDS)[1] or "-1").lstrip("+"), "a size"))
    if not -1 <= status <= 999:
        raise ValueError(f"a status of {status}")
    for name in [key for key in fields if key.startswith("http_")]:
        fields[name[5:].replace("_", "-")] = fields[name]  # the header under its own name
    return RawRequest(t, method, target, max(0, status), size, latency, location, fields)


def _method_and_target(fields: dict[str, str]) -> tuple[str, str]:
    if fields.get("request"):
        match = REQUEST_LINE.fullmatch(fields["request"])
        if match is None:
            raise ValueError(f"not a request line: {fields['request']!r:.60}")
        return match[1], match[2]
    method, target = _first_field(fields, METHOD_FIELDS)[1], _first_field(fields, TARGET_FIELDS)[1]
    if not method or not target:
        raise ValueError("neither a request line nor method and path")
    return method, target[:8192]
