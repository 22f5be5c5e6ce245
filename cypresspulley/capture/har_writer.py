"""Writes the requests and responses of a rehearsal's scripted clients as a HAR file."""

from __future__ import annotations

import json
from collections.abc import Iterable
from datetime import UTC, datetime
from typing import Any, TextIO

from cypresspulley.rehearsal import records as log


def write_har(records: Iterable[log.Record], out: TextIO) -> int:
    """Write every attempt as an entry, in order of time, and return the number of entries."""
    records = list(records)
    unix_start = next((r.unix_start for r in records if isinstance(r, log.End)), 0.0)
    answers = {r.id: r for r in records if isinstance(r, log.Answered)}
    start_record = next(r for r in records if isinstance(r, log.Day))
    safe_classes = {c.name for c in start_record.classes if c.effect == "safe"}
    sent = sorted((r for r in records if isinstance(r, log.Sent)), key=lambda r: (r.t, r.id))
    entries = [_entry(r, answers.get(r.id), unix_start, r.cls in safe_classes) for r in sent]
    creator = {"name": "fawnseam", "version": "1"}
    json.dump({"log": {"version": "1.2", "creator": creator, "entries": entries}}, out)
    return len(entries)


def _entry(
    sent: log.Sent, answer: log.Answered | None, unix_start: float, safe_classes: bool
) -> dict[str, Any]:
    started = datetime.fromtimestamp(unix_start + sent.t, UTC).isoformat(timespec="microseconds")
    headers = {
        "x-request-id": sent.id, "x-priority-class": sent.cls, "x-plan": sent.plan,
        "x-quota": f"units={sent.units:g}", "x-retried": "1" if sent.number else "0",
    }  # fmt: skip
    url = f"http://{sent.limiter}/{sent.cls}?account={sent.account}"
    return {
        "startedDateTime": started,
        "time": round((answer.t - sent.t) * 1000, 3) if answer else -1,
        "request": {
            "method": "GET" if safe_classes else "POST", "url": url, "httpVersion": "HTTP/1.1", "cookies": [],
            "headers": [{"name": key, "value": value} for key, value in headers.items()],
            "queryString": [{"name": "account", "value": sent.account}], "headersSize": -1, "bodySize": -1,
        },
        "response": {
            "status": answer.status if answer else 0, "statusText": "", "httpVersion": "HTTP/1.1",
            "cookies": [], "headers": [], "redirectURL": "", "headersSize": -1,
            "bodySize": len(answer.body) if answer else -1,
            "content": {"size": len(answer.body) if answer else 0, "mimeType": "application/json"},
        },
        "cache": {}, "timings": {"send": 0, "wait": -1, "receive": 0},
    }  # fmt: skip
