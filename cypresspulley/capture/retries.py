"""Detects which attempts are retries. Does no I/O.

An attempt retries an earlier one of the same account, class, method and path that was refused, failed or got no
response, if it follows within ``max_retry_gap`` seconds. If the capture holds the client's own retry mark, the mark
decides and only the earlier attempt is searched for. Each attempt is retried at most once, so the attempts of a request
form a chain, which is identified by its first attempt.
"""

from __future__ import annotations

from collections import defaultdict

from cypresspulley.capture.model import Entry

MAX_RETRY_GAP_S = 5.0  # between the end of an attempt and its retry
MAX_EARLY_S = 0.05  # a retry may seem to start this early, since corrected clocks keep an error
RETRYABLE_STATUSES = frozenset((0, 408, 425, 429, 500, 502, 503, 504))


def mark_retries(entries: list[Entry], max_retry_gap: float = MAX_RETRY_GAP_S) -> int:
    """Set ``repeats`` of each entry to the index of its request's first attempt, and return the number of retries.

    The entries are in order of time.
    """
    candidates_by_key = defaultdict[tuple[str, str, str, str], list[int]](
        list
    )  # attempts that may still be retried
    marked = 0
    for index, entry in enumerate(entries):
        key = (entry.account, entry.cls, entry.method, entry.path)
        candidates = candidates_by_key[key]
        # An attempt that ended more than max_retry_gap ago can no longer be retried.
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
