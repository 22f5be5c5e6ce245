"""Writes captures without secrets: only the request model's values, with accounts replaced by a keyed hash."""

from __future__ import annotations

import json
from collections.abc import Iterable
from hashlib import blake2b
from typing import TextIO

from cypresspulley.capture.model import Entry

MIN_KEY_BYTES = 16


def pseudonym(account: str, key: bytes) -> str:
    """Return the keyed hash of an account: 16 hex digits, below 2**33, which reveal nothing without the key."""
    digest = blake2b(account.encode(), key=key, digest_size=8).digest()
    return f"{int.from_bytes(digest, 'big') % 2**33:016x}"


def write_scrubbed(entries: Iterable[Entry], key: bytes, out: TextIO) -> int:
    """Write entries as JSON lines that the access log reader accepts, and return their number."""
    count = 0
    for entry in entries:
        row = {
            "time": round(entry.t, 6), "id": pseudonym(entry.id, key) if entry.id else "",
            "account": pseudonym(entry.account, key), "class": entry.cls, "plan": entry.plan,
            "method": entry.method, "path": entry.path, "status": entry.status, "sent": entry.bytes_sent,
            "latency": round(entry.latency, 6), "units": entry.units,
        }  # fmt: skip
        if entry.marked is not None:
            row["retried"] = entry.marked
        out.write(json.dumps(row) + "\n")
        count += 1
    return count
