"""Which tries repeat an earlier one; free of I/O.

A try repeats an earlier one of the same account, class, method and path that was refused, failed or got no answer,
if it came within the client's patience. Where the capture tells what the client marked, that is believed and
only the earlier try is looked for. Each try is repeated once at most: a chain, whose first try names the request.
"""

from __future__ import annotations

from collections import defaultdict

from cypresspulley.capture.model import Entry

MAX_RETRY_GAP_S = 5.0  # seconds between a try's end and the next, at most
EARLY = 0.05  # seconds that it may seem to come before the end: clocks are corrected within an error
REPEATABLE = frozenset((0, 408, 425, 429, 500, 502, 503, 504))


def mark_retries(entries: list[Entry], max_retry_gap: float = MAX_RETRY_GAP_S) -> int:
    """Set ``repeats`` of each entry (in order of time) to the place of its request's first try; how many."""
    open_ = defaultdict[tuple[str, str, str, str], list[int]](list)  # tries that may still be repeated
    marked = 0
    for place, entry in enumerate(entries):
        key = (entry.account, entry.cls, entry.method, entry.path)
        waiting = open_[key]
        # What is out of patience can be repeated no more.
        waiting[:] = [n for n in waiting if entry.t - entries[n].end <= max_retry_gap]
        entry.repeats = -1
        if entry.marked is not False:
            earlier = next((n for n in waiting if entries[n].end <= entry.t + EARLY), None)
            if earlier is not None:
                waiting.remove(earlier)
                first = entries[earlier].repeats
                entry.repeats = earlier if first < 0 else first
                marked += 1
        if entry.status in REPEATABLE:
            waiting.append(place)
    return marked
