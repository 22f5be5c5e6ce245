"""Computes the statistics of a capture. Does no I/O."""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from dataclasses import dataclass
from typing import Any

from cypresspulley.capture.load import LoadedCaptures
from cypresspulley.capture.model import Entry, printable
from cypresspulley.capture.skew import Clock

MAX_LISTED = 20  # accounts, and reasons for unmapped requests


@dataclass(frozen=True, slots=True)
class Summary:
    """The statistics of a merged capture. Rates are attempts per second, times are in Unix seconds."""

    requests: int
    tries: int
    retries: int
    first: float
    last: float
    by_class: dict[str, int]
    by_plan: dict[str, int]
    by_status: dict[str, int]
    accounts: int
    top: list[tuple[str, int]]
    rate: list[tuple[int, int]]  # seconds from the start, attempts in that second
    clocks: list[Clock]
    broken: dict[str, int]
    places: list[tuple[str, str]]
    unmapped: dict[str, int]
    ignored: int

    def as_json(self) -> dict[str, Any]:
        """Return the object that ``--json`` writes."""
        seconds = max(1e-9, self.last - self.first)
        return {
            "requests": self.requests, "tries": self.tries, "retries": self.retries, "first": self.first,
            "last": self.last, "mean_rate": round(self.tries / seconds, 3) if self.tries > 1 else 0.0,
            "by_class": self.by_class, "by_plan": self.by_plan, "by_status": self.by_status,
            "accounts": self.accounts, "top_accounts": dict(self.top), "rate": self.rate,
            "clocks": [
                {"source": printable(c.source), "offset_s": round(c.offset, 6), "drift_ppm": round(c.drift * 1e6, 2),
                 "error_s": round(c.error, 6) if math.isfinite(c.error) else None} for c in self.clocks
            ],
            "unread": self.broken, "unread_places": [list(p) for p in self.places],
            "unmapped": self.unmapped, "ignored": self.ignored,
        }  # fmt: skip


def summarise(entries: list[Entry], loaded: LoadedCaptures, clocks: list[Clock]) -> Summary:
    """Compute the statistics of merged entries whose retries are marked."""
    rate = defaultdict[int, int](int)
    first = entries[0].t if entries else 0.0
    for entry in entries:
        rate[int(entry.t - first)] += 1
    retries = sum(e.repeats >= 0 for e in entries)
    accounts = Counter(e.account for e in entries)
    return Summary(
        requests=len(entries) - retries, tries=len(entries), retries=retries, first=first,
        last=entries[-1].t if entries else 0.0,
        by_class=dict(sorted(Counter(printable(e.cls) for e in entries).items())),
        by_plan=dict(sorted(Counter(printable(e.plan) for e in entries).items())),
        by_status={str(k): n for k, n in sorted(Counter(e.status for e in entries).items())},
        accounts=len(accounts), top=[(printable(a), n) for a, n in accounts.most_common(MAX_LISTED)],
        rate=sorted(rate.items()), clocks=clocks, broken={printable(k): n for k, n in loaded.unreadable_counts.items()},
        places=[(printable(p.location), printable(p.reason)) for p in loaded.unreadable],
        unmapped=dict(loaded.unmapped.most_common(MAX_LISTED)), ignored=loaded.ignored,
    )  # fmt: skip
