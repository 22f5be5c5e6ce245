"""Captures without secrets: only the request model's values are written, accounts renamed by a keyed hash."""

from __future__ import annotations

import json
from collections.abc import Iterable
from hashlib import blake2b
from typing import TextIO

from cypresspulley.capture.model import Entry

MIN_KEY_BYTES = 16  # a key is at least so long


def pseudonym(account: str, key: bytes) -> str:
    """An account's new name: 16 hex digits below 2**33, the same for one key; without the key it tells nothing."""
    digest = blake2b(account.encode(), key=key, digest_size=8).digest()
    return f"{int.from_bytes(digest, 'big') % 2**33:016x}"


def write_scrubbed(entries: Iterable[Entry], key: bytes, out: TextIO) -> int:
    """Entries as JSON lines that every reader here takes; how many."""
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
