"""Clock skew of several sources, from what they share; free of I/O.

Each shared thing says that one moment came before another: ``x`` in source A, ``y`` in source B, x before y in
truth. With true time = written time + offset + drift * (written time - middle) that is one linear constraint on the
two clocks. All constraints together bound each clock against the first source's; the two ends are found by linear
programming, the estimate is their middle and its error half their distance. The error holds for certain as long as the
constraints are true; constraints that exclude each other are refused.
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

# Bounds of the linear program; clocks that are worse than this are not estimated.
MAX_OFFSET_S = 3600.0  # seconds
MAX_DRIFT = 1e-3  # seconds per second
MIN_JUMP_S = 1.0  # seconds by which a log's own time may run back before its clock is taken to have jumped
MAX_DISTANCE_S = 3.0  # seconds from the coarse offset within which a shared thing is believed
MAX_CONSTRAINTS = 4000  # constraints of a pair of sources, the tightest of each stretch of time
TIME_SEGMENTS = 40
FAILED_STATUSES = frozenset((0, 408, 425, 429, 500, 502, 503, 504))
ROUNDING_SLACK_S = 2e-3  # seconds that a log may round away


@dataclass(frozen=True, slots=True)
class OrderConstraint:
    """``x`` by the clock of source ``a`` came before ``y`` by the clock of source ``b``."""

    a: int
    b: int
    x: float
    y: float


@dataclass(frozen=True, slots=True)
class Clock:
    """What is added to a source's times: ``offset`` at ``middle``, and ``drift`` (seconds a second)."""

    source: str
    offset: float
    error: float  # of a corrected time within the source, in seconds; infinite: nothing shared
    drift: float
    middle: float

    def to_reference_time(self, t: float) -> float:
        return t + self.offset + self.drift * (t - self.middle)


def split_at_clock_jumps(source: Source) -> list[Source]:
    """A log whose clock was set back in the middle, as one source for each stretch."""
    if source.kind == "har" or not source.entries:
        return [source]  # a HAR's entries come in any order
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
    """The stretch that a call stands in; between two of them, the one whose clock is nearer."""
    at = bisect_right(starts, count.entries_before) - 1
    if at > 0 and starts[at] == count.entries_before:
        before, behind = segments[at - 1].entries[-1].end, segments[at].entries[0].end
        return at - (abs(count.answered - before) < abs(count.answered - behind))
    return at


def _duration_bound(entry: Entry) -> float:
    return max(0.0, entry.latency) if entry.latency >= 0 else 5.0


def find_constraints(sources: list[Source]) -> list[OrderConstraint]:
    """All that the sources share, as one moment before another."""
    found = list[OrderConstraint]()
    for a in range(len(sources)):
        for b in range(a + 1, len(sources)):
            pairs = _constraints_by_id(sources[a], sources[b], a, b)
            pairs += _constraints_by_count(sources[a], sources[b], a, b)
            found += _tightest_constraints(_without_coincidences(pairs))
    return found


def _constraints_by_id(one: Source, other: Source, a: int, b: int) -> list[tuple[OrderConstraint, float]]:
    """Tries with one id in both: seen from client and server, or refused here and tried again there."""
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
    """Calls to the keeper that follow one another: one's total is what the other found."""
    found = list[tuple[OrderConstraint, float]]()
    for first, second, p, q in ((one, other, a, b), (other, one, b, a)):
        ends = _unique_calls(first.counts, lambda c: c.total)
        starts = _unique_calls(second.counts, lambda c: c.total - c.amount)
        for key in ends.keys() & starts.keys():
            x, y = ends[key], starts[key]
            distance = (y.t - x.t) if p == a else (x.t - y.t)
            # The earlier was made before the later was answered: what lies between them is the keeper's.
            found.append((OrderConstraint(p, q, x.t, y.answered), distance))
    return found


def _unique_calls(
    counts: list[CounterCall], level: Callable[[CounterCall], float]
) -> dict[tuple[str, int], CounterCall]:
    """Calls by name and level of the count, without those whose level comes twice: they prove nothing."""
    seen, times = dict[tuple[str, int], CounterCall](), Counter[tuple[str, int]]()
    for count in counts:
        if count.amount > 0:
            key = (count.name, round(level(count) * 1000))
            times[key] += 1
            seen[key] = count
    return {key: count for key, count in seen.items() if times[key] == 1}


def _without_coincidences(pairs: list[tuple[OrderConstraint, float]]) -> list[OrderConstraint]:
    """Without chance meetings: those whose distance is near the most common one."""
    if not pairs:
        return []
    bins = Counter(round(distance) for _, distance in pairs)
    mode = max(bins, key=lambda k: (bins[k - 1] + bins[k] + bins[k + 1], -abs(k)))
    return [pair for pair, distance in pairs if abs(distance - mode) <= MAX_DISTANCE_S]


def _tightest_constraints(pairs: list[OrderConstraint]) -> list[OrderConstraint]:
    """The constraints that say most, of each direction and stretch of time."""
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
    """Each source's clock against the first's. ``CaptureError`` where what they share cannot all be true."""
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
    """x + o_a + d_a (x - m_a) <= y + o_b + d_b (y - m_b), a row each; columns: offsets, then drifts."""
    rows, bounds = np.zeros((len(pairs), 2 * count)), np.zeros(len(pairs))
    for n, p in enumerate(pairs):
        rows[n, p.a], rows[n, count + p.a] = 1.0, p.x - middles[p.a]
        rows[n, p.b], rows[n, count + p.b] = -1.0, -(p.y - middles[p.b])
        bounds[n] = p.y - p.x + ROUNDING_SLACK_S
    return rows, bounds


def _linked_sources(pairs: list[OrderConstraint], count: int) -> set[int]:
    """Sources that are tied to the first, over others if need be, from both sides."""
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
                f"{name}: its clock cannot be reconciled with the others': what they share excludes each other; "
                "expected clocks that differ by an offset and a drift (was a clock set in the middle?)"
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
    """Put all times on the first source's clock. Latencies stay: a drift of 1e-3 is nothing there."""
    for source, clock in zip(sources, clocks, strict=True):
        for entry in source.entries:
            entry.t = clock.to_reference_time(entry.t)


def merge_sources(sources: list[Source]) -> tuple[list[Entry], list[Clock]]:
    """All entries on one clock and in order, each try once, with the clocks that were found."""
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
    """Each try once: one id in two captures is one try seen twice, unless it was refused and tried again."""
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
