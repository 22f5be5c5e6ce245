"""Which tries repeat an earlier one; free of I/O.

A try repeats an earlier one of the same account, class, method and path that was refused, failed or got no answer,
if it came within the client's patience. Where the capture tells what the client marked, that is believed and
only the earlier try is looked for. Each try is repeated once at most: a chain, whose first try names the request.
"""

from __future__ import annotations

from collections import defaultdict

from cypresspulley.capture.model import Entry

MAX_RETRY_GAP_S = 5.0  # seconds between a try's end and the next, at most
MAX_EARLY_S = 0.05  # seconds that it may seem to come before the end: clocks are corrected within an error
RETRYABLE_STATUSES = frozenset((0, 408, 425, 429, 500, 502, 503, 504))


def mark_retries(entries: list[Entry], max_retry_gap: float = MAX_RETRY_GAP_S) -> int:
    """Set ``repeats`` of each entry (in order of time) to the place of its request's first try; how many."""
    candidates_by_key = defaultdict[tuple[str, str, str, str], list[int]](
        list
    )  # tries that may still be repeated
    marked = 0
    for index, entry in enumerate(entries):
        key = (entry.account, entry.cls, entry.method, entry.path)
        candidates = candidates_by_key[key]
        # What is out of patience can be repeated no more.
        candidates[:] = [n for n in candidates if entry.t - entries[n].end <= max_retry_gap]
        entry.repeats = -1
        if entry.marked is not False:
            previous = next((n for n in candidates if entries[n].end <= entry.t + MAX_EARLY_S), None)
            if previous is not None:
                candidates.remove(previous)
                first_index = entries[previous].repeats
                entry.repeats = previous if first_index < 0 else first_index
                marked += 1
        if entry.status in RETRYABLE_STATUSES:
            candidates.append(index)
    return marked
