"""Estimates the clock skew of several sources from the events that they share. Does no I/O.

Each shared event proves that one moment preceded another: ``x`` in source A precedes ``y`` in source B in true time.
With true time = logged time + offset + drift * (logged time - middle), this is one linear constraint on the two clocks.
Together the constraints bound each clock relative to the first source's. Linear programming finds both bounds; the
estimate is their midpoint and its error half their distance. The error bound is guaranteed as long as the constraints
are true; contradictory constraints are rejected.
"""

from __future__ import annotations

import math
from bisect import bisect_right
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass

import numpy as np
from scipy.optimize import linprog

from cypresspulley.capture.load import Source
from cypresspulley.capture.model import CaptureError, CounterCall, Entry

# Bounds of the linear program; larger offsets and drifts are out of scope.
MAX_OFFSET_S = 3600.0
MAX_DRIFT = 1e-3  # seconds per second
MIN_JUMP_S = 1.0  # a log whose times run back further than this has had its clock set
MAX_DISTANCE_S = 3.0  # from the coarse offset; a shared event beyond it is taken for a coincidence
MAX_CONSTRAINTS = 4000  # for each pair of sources, the tightest of each time segment
TIME_SEGMENTS = 40  # for each pair of sources
FAILED_STATUSES = frozenset((0, 408, 425, 429, 500, 502, 503, 504))
ROUNDING_SLACK_S = 2e-3  # allowance for the rounding of logged times


@dataclass(frozen=True, slots=True)
class OrderConstraint:
    """States that ``x`` by the clock of source ``a`` preceded ``y`` by the clock of source ``b``."""

    a: int
    b: int
    x: float
    y: float


@dataclass(frozen=True, slots=True)
class Clock:
    """The correction of a source's times: ``offset`` at time ``middle``, plus ``drift`` in seconds per second."""

    source: str
    offset: float
    error: float  # seconds, of a corrected time within the source; infinite if nothing is shared
    drift: float
    middle: float

    def to_reference_time(self, t: float) -> float:
        return t + self.offset + self.drift * (t - self.middle)


def split_at_clock_jumps(source: Source) -> list[Source]:
    """Split a log whose clock was set back into one source for each segment between the jumps."""
    if source.kind == "har" or not source.entries:
        return [source]  # the entries of a HAR are in no order
    segments, starts, latest = [Source(source.name, source.kind)], [0], -math.inf
    for number, entry in enumerate(source.entries):
        # A line is written when its request ends.
        if entry.end < latest - MIN_JUMP_S - _duration_bound(entry):
            segments.append(Source(f"{source.name}#{len(segments) + 1}", source.kind))
            starts.append(number)
            latest = -math.inf
        latest = max(latest, entry.end)
        segments[-1].entries.append(entry)
    if len(segments) == 1:
        return [source]
    for count in source.counts:
        segments[_segment_of(count, segments, starts)].counts.append(count)
    for segment in segments:
        for entry in segment.entries:
            entry.source = segment.name
    return segments


def _segment_of(count: CounterCall, segments: list[Source], starts: list[int]) -> int:
    """Return the index of a call's segment; on a boundary, of the segment whose clock is nearer to the call."""
    at = bisect_right(starts, count.entries_before) - 1
    if at > 0 and starts[at] == count.entries_before:
        before, behind = segments[at - 1].entries[-1].end, segments[at].entries[0].end
        return at - (abs(count.answered - before) < abs(count.answered - behind))
    return at


def _duration_bound(entry: Entry) -> float:
    return max(0.0, entry.latency) if entry.latency >= 0 else 5.0


def find_constraints(sources: list[Source]) -> list[OrderConstraint]:
    """Return the order constraints from the events that each pair of sources shares."""
    found = list[OrderConstraint]()
    for a in range(len(sources)):
        for b in range(a + 1, len(sources)):
            pairs = _constraints_by_id(sources[a], sources[b], a, b)
            pairs += _constraints_by_count(sources[a], sources[b], a, b)
            found += _tightest_constraints(_without_coincidences(pairs))
    return found


def _constraints_by_id(one: Source, other: Source, a: int, b: int) -> list[tuple[OrderConstraint, float]]:
    """Return constraints from a shared request id.

    Either both sources saw the same attempt, as client and server, or one saw a failed attempt and the other its retry.
    """
    there = defaultdict[str, list[Entry]](list)
    for entry in other.entries:
        if entry.id:
            there[entry.id].append(entry)
    found = list[tuple[OrderConstraint, float]]()
    for x in one.entries:
        for y in there.get(x.id, []) if x.id else []:
            distance = y.t - x.t
            if x.status == y.status and x.latency >= 0 and y.latency >= 0:
                outer, inner = (x, y) if x.latency >= y.latency else (y, x)
                p, q = (a, b) if outer is x else (b, a)
                found.append((OrderConstraint(p, q, outer.t, inner.t), distance))
                found.append((OrderConstraint(q, p, inner.end, outer.end), distance))
            elif x.status in FAILED_STATUSES and y.status not in FAILED_STATUSES:
                found.append((OrderConstraint(a, b, x.end, y.t), distance))
            elif y.status in FAILED_STATUSES and x.status not in FAILED_STATUSES:
                found.append((OrderConstraint(b, a, y.end, x.t), distance))
    return found


def _constraints_by_count(one: Source, other: Source, a: int, b: int) -> list[tuple[OrderConstraint, float]]:
    """Return constraints from consecutive calls to the shared counter: the second starts from the first's total."""
    found = list[tuple[OrderConstraint, float]]()
    for first, second, p, q in ((one, other, a, b), (other, one, b, a)):
        ends = _unique_calls(first.counts, lambda c: c.total)
        starts = _unique_calls(second.counts, lambda c: c.total - c.amount)
        for key in ends.keys() & starts.keys():
            x, y = ends[key], starts[key]
            distance = (y.t - x.t) if p == a else (x.t - y.t)
            # The first call was made before the second was answered; the counter processed them in between.
            found.append((OrderConstraint(p, q, x.t, y.answered), distance))
    return found


def _unique_calls(
    counts: list[CounterCall], level: Callable[[CounterCall], float]
) -> dict[tuple[str, int], CounterCall]:
    """Return the calls by name and count level. Levels that occur twice prove no order and are left out."""
    seen, times = dict[tuple[str, int], CounterCall](), Counter[tuple[str, int]]()
    for count in counts:
        if count.amount > 0:
            key = (count.name, round(level(count) * 1000))
            times[key] += 1
            seen[key] = count
    return {key: count for key, count in seen.items() if times[key] == 1}


def _without_coincidences(pairs: list[tuple[OrderConstraint, float]]) -> list[OrderConstraint]:
    """Return the constraints whose distance is near the most common one; the others are coincidences."""
    if not pairs:
        return []
    bins = Counter(round(distance) for _, distance in pairs)
    mode = max(bins, key=lambda k: (bins[k - 1] + bins[k] + bins[k + 1], -abs(k)))
    return [pair for pair, distance in pairs if abs(distance - mode) <= MAX_DISTANCE_S]


def _tightest_constraints(pairs: list[OrderConstraint]) -> list[OrderConstraint]:
    """Return the tightest constraints of each direction and time segment, ``MAX_CONSTRAINTS`` in all."""
    if len(pairs) <= MAX_CONSTRAINTS:
        return pairs
    first, last = min(p.x for p in pairs), max(p.x for p in pairs)
    groups = defaultdict[tuple[int, int], list[OrderConstraint]](list)
    for pair in pairs:
        time_segment = int((pair.x - first) / max(1e-9, last - first) * TIME_SEGMENTS)
        groups[pair.a, time_segment].append(pair)
    kept_per_group = max(1, MAX_CONSTRAINTS // max(1, len(groups)))
    return [p for group in groups.values() for p in sorted(group, key=lambda p: p.y - p.x)[:kept_per_group]]


def estimate_clocks(sources: list[Source], pairs: list[OrderConstraint] | None = None) -> list[Clock]:
    """Estimate each source's clock relative to the first's; raises ``CaptureError`` for contradictory constraints."""
    pairs = find_constraints(sources) if pairs is None else pairs
    spans = [_time_span(source) for source in sources]
    middles = [(low + high) / 2 for low, high in spans]
    rows, bounds = _matrix(pairs, middles, len(sources))
    clocks = [Clock(sources[0].name, 0.0, 0.0, 0.0, middles[0])]
    linked = _linked_sources(pairs, len(sources))
    for number in range(1, len(sources)):
        if number not in linked:
            clocks.append(Clock(sources[number].name, 0.0, math.inf, 0.0, middles[number]))
            continue
        clocks.append(
            _estimate_clock(sources[number].name, number, spans[number], middles[number], rows, bounds)
        )
    return clocks


def _time_span(source: Source) -> tuple[float, float]:
    times = [e.t for e in source.entries] + [c.t for c in source.counts]
    return (min(times), max(times)) if times else (0.0, 0.0)


def _matrix(pairs: list[OrderConstraint], middles: list[float], count: int) -> tuple[np.ndarray, np.ndarray]:
    """Return the rows and bounds of x + o_a + d_a (x - m_a) <= y + o_b + d_b (y - m_b).

    The columns are the offsets of all sources, then their drifts.
    """
    rows, bounds = np.zeros((len(pairs), 2 * count)), np.zeros(len(pairs))
    for n, p in enumerate(pairs):
        rows[n, p.a], rows[n, count + p.a] = 1.0, p.x - middles[p.a]
        rows[n, p.b], rows[n, count + p.b] = -1.0, -(p.y - middles[p.b])
        bounds[n] = p.y - p.x + ROUNDING_SLACK_S
    return rows, bounds


def _linked_sources(pairs: list[OrderConstraint], count: int) -> set[int]:
    """Return the sources that are connected to the first by constraints, directly or through others."""
    linked_pairs = {frozenset((p.a, p.b)) for p in pairs} if pairs else set()
    reached, has_grown = {0}, True
    while has_grown:
        has_grown = False
        for pair in linked_pairs:
            a, b = sorted(pair)
            if (a in reached) != (b in reached):
                reached |= {a, b}
                has_grown = True
    return reached


def _estimate_clock(
    name: str, number: int, span: tuple[float, float], middle: float, rows: np.ndarray, bounds: np.ndarray
) -> Clock:
    count = rows.shape[1] // 2
    variable_bounds = [(0.0, 0.0) if n == 0 else (-MAX_OFFSET_S, MAX_OFFSET_S) for n in range(count)]
    variable_bounds += [(0.0, 0.0) if n == 0 else (-MAX_DRIFT, MAX_DRIFT) for n in range(count)]
    ends = list[tuple[float, float]]()
    for t in (span[0], span[1]):
        objective = np.zeros(2 * count)
        objective[number], objective[count + number] = 1.0, t - middle
        low, high = (
            linprog(sign * objective, rows, bounds, bounds=variable_bounds, method="highs")
            for sign in (1, -1)
        )
        if low.status == 2 or high.status == 2:
            raise CaptureError(
                f"{name}: its clock cannot be reconciled with the others': the events they share contradict "
                "each other; expected clocks that differ by an offset and a drift (was a clock set in the middle?)"
            )
        if low.status != 0 or high.status != 0:
            raise CaptureError(f"{name}: its clock could not be estimated: {low.message}")
        ends.append((float(low.fun), -float(high.fun)))
    (low0, high0), (low1, high1) = ends
    first, last = (low0 + high0) / 2, (low1 + high1) / 2
    error = max(high0 - low0, high1 - low1) / 2
    if error >= MAX_OFFSET_S / 2:
        error = math.inf
        first = last = 0.0
    width = span[1] - span[0]
    drift = (last - first) / width if width > 0 else 0.0
    return Clock(name, (first + last) / 2, error, drift, middle)


def correct_times(sources: list[Source], clocks: list[Clock]) -> None:
    """Convert all times to the first source's clock. Latencies stay, since a drift of 1e-3 is negligible there."""
    for source, clock in zip(sources, clocks, strict=True):
        for entry in source.entries:
            entry.t = clock.to_reference_time(entry.t)


def merge_sources(sources: list[Source]) -> tuple[list[Entry], list[Clock]]:
    """Return the deduplicated entries of all sources in order on the first source's clock, and the estimated clocks."""
    segments = [segment for source in sources for segment in split_at_clock_jumps(source) if segment.entries]
    if not segments:
        return [], []
    clocks = estimate_clocks(segments) if len(segments) > 1 else [Clock(segments[0].name, 0.0, 0.0, 0.0, 0.0)]
    correct_times(segments, clocks)
    entries = sorted(
        (e for segment in segments for e in segment.entries), key=lambda e: (e.t, e.id, e.location)
    )
    return deduplicate_entries(entries), clocks


def deduplicate_entries(entries: list[Entry]) -> list[Entry]:
    """Keep each attempt once. One id in two captures is the same attempt unless it failed and was retried."""
    kept, by_id = list[Entry](), dict[str, list[Entry]]()
    for entry in entries:
        same = by_id.setdefault(entry.id, []) if entry.id else []
        duplicate = next((e for e in same if e.source != entry.source and _is_same_attempt(e, entry)), None)
        if duplicate is None:
            kept.append(entry)
            same.append(entry)
        else:
            duplicate.latency = max(duplicate.latency, entry.latency)
            duplicate.marked = entry.marked if duplicate.marked is None else duplicate.marked
    return kept


def _is_same_attempt(a: Entry, b: Entry) -> bool:
    return a.status == b.status or 0 in (a.status, b.status) or b.t < a.end
