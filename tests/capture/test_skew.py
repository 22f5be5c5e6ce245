"""Compares the estimated clocks of three logs and the detected retries with generated ground truth."""

from __future__ import annotations

import math
from random import Random

import pytest

from cypresspulley.capture.load import Source
from cypresspulley.capture.model import CaptureError, CounterCall, Entry
from cypresspulley.capture.retries import mark_retries
from cypresspulley.capture.skew import (
    Clock,
    OrderConstraint,
    deduplicate_entries,
    estimate_clocks,
    merge_sources,
    split_at_clock_jumps,
)
from tests.capture.truth import START, Skew, build_sources, generate_traffic


def actual_and_reported_errors(
    sources: list[Source], clocks: list[Clock], true: list[Skew]
) -> list[tuple[float, float]]:
    """Return, for each source but the first, the largest error of a corrected time and the reported error bound."""
    found = list[tuple[float, float]]()
    for source, clock in zip(sources[1:], clocks[1:], strict=True):
        skew = true[int(source.name[8])]
        moments = [START + k for k in range(0, 121, 10)]
        moments = [m for m in moments if source.entries[0].t <= skew.reading_at(m) <= source.entries[-1].end]
        reference = true[0]
        errors = [abs(clock.to_reference_time(skew.reading_at(m)) - reference.reading_at(m)) for m in moments]
        found.append((max(errors, default=0.0), clock.error))
    return found


@pytest.mark.parametrize("seed", range(200))
def test_the_printed_error_holds(seed: int) -> None:
    """Offsets up to 90 s and drifts up to 200 ppm in 200 generated cases; the reference clock is wrong as well."""
    rng = Random(seed)
    clocks = [Skew(rng.uniform(-90, 90), rng.choice((0.0, rng.uniform(-2e-4, 2e-4)))) for _ in range(3)]
    sources = build_sources(generate_traffic(rng, seconds=60, rate=rng.uniform(8, 30)), clocks)
    for error, printed in actual_and_reported_errors(sources, estimate_clocks(sources), clocks):
        assert error <= printed + 1e-6


def test_offset_drift_and_a_jump_are_found_within_20_ms() -> None:
    clocks = [Skew(0.0), Skew(90.0, 2e-4), Skew(-45.0, 0.0, 60.0, 3600.0 / 60)]
    sources = build_sources(generate_traffic(Random(3), rate=40), clocks)
    parts = [part for source in sources for part in split_at_clock_jumps(source)]
    assert [part.name for part in parts] == ["limiter-0", "limiter-1", "limiter-2", "limiter-2#2"]
    found = estimate_clocks(parts)
    for clock, (name, offset) in zip(
        found[1:], [("limiter-1", -90.012), ("limiter-2", 45.0), ("limiter-2#2", 105.0)], strict=True
    ):
        assert clock.source == name and clock.error <= 0.02
        assert abs(clock.offset - offset) <= 0.02 + 0.012  # the drift amounts to up to 24 ms over the log
    assert found[1].drift == pytest.approx(-2e-4, abs=1e-4)


def test_counts_that_expired_and_came_back_prove_nothing() -> None:
    """A counter that expires after 2 s reaches the same totals repeatedly, which would link moments seconds apart."""
    clocks = [Skew(0.0), Skew(5.0), Skew(-5.0)]
    sources = build_sources(generate_traffic(Random(5), seconds=60), clocks)
    for n, source in enumerate(sources):
        for k in range(30 - n):  # the last periods are in one log only
            for level in range(1, 4):
                moment = clocks[n].reading_at(START + 2 * k + 0.4 * level + 0.1 * n)
                source.counts.append(CounterCall(moment, moment + 0.001, "short", 1.0, float(level)))
    for error, printed in actual_and_reported_errors(sources, estimate_clocks(sources), clocks):
        assert error <= printed + 1e-6 < 0.05


def test_a_call_between_two_stretches_goes_to_the_nearer_clock() -> None:
    def line(t: float) -> Entry:
        return Entry(START + t, "a", "c", "p", "GET", "/c", str(t), 200, 1, 0.01, "log", "")

    source = Source("log", "json", [line(50), line(60), line(2), line(9)])
    before, behind = (CounterCall(START + t, START + t, "x", 1.0, t, entries_before=2) for t in (60.5, 1.5))
    source.counts = [before, behind]
    one, two = split_at_clock_jumps(source)
    assert one.counts == [before] and two.counts == [behind]


def test_what_excludes_each_other_is_refused() -> None:
    sources = build_sources(generate_traffic(Random(1), seconds=20), [Skew(), Skew(), Skew()])[:2]
    pairs = [OrderConstraint(0, 1, 10.0, 5.0), OrderConstraint(1, 0, 8.0, 5.0)]
    with pytest.raises(CaptureError, match="cannot be reconciled"):
        estimate_clocks(sources, pairs)


def test_sources_that_share_nothing_say_so() -> None:
    sources = build_sources(generate_traffic(Random(1), seconds=20), [Skew(), Skew(), Skew()])[:2]
    for source in sources:
        source.counts.clear()
    clocks = estimate_clocks(sources)
    assert math.isinf(clocks[1].error) and clocks[1].offset == 0.0


def test_a_try_in_a_har_and_in_a_log_is_one_and_ties_their_clocks() -> None:
    truth = generate_traffic(Random(4), seconds=60)
    log = Source("limiter.jsonl", "json")
    har = Source("tablet.har", "har")
    for entry in truth.attempts:
        there = Entry(**{k: getattr(entry, k) for k in Entry.__slots__})
        there.t, there.source = entry.t + 30.0, "limiter.jsonl"
        log.entries.append(there)
        here = Entry(**{k: getattr(entry, k) for k in Entry.__slots__})
        here.t, here.latency, here.source = entry.t - 0.002, entry.latency + 0.005, "tablet.har"
        har.entries.append(here)
    merged, clocks = merge_sources([har, log])
    assert len(merged) == len(truth.attempts)
    assert clocks[1].offset == pytest.approx(-30.0, abs=0.02) and clocks[1].error < 0.02


@pytest.mark.parametrize("seed", range(5))
def test_retries_are_marked_with_precision_and_recall(seed: int) -> None:
    truth = generate_traffic(Random(seed), rate=60)
    mark_retries(truth.attempts)
    detected = {(n, e.repeats) for n, e in enumerate(truth.attempts) if e.repeats >= 0}
    expected = {(n, first) for n, first in enumerate(truth.repeats) if first >= 0}
    assert len(expected) > 500
    assert (
        len(detected & expected) / len(detected) >= 0.99 and len(detected & expected) / len(expected) >= 0.99
    )


def test_what_the_client_marked_is_believed() -> None:
    def entry(t: float, status: int, marked: bool | None) -> Entry:
        return Entry(t, "a", "c", "p", "GET", "/c", str(t), status, 1, 0.01, "s", "", marked=marked)

    entries = [entry(0, 429, False), entry(1, 200, False), entry(2, 503, False), entry(3, 503, True)]
    entries += [entry(4, 200, True), entry(20, 200, True)]
    assert mark_retries(entries) == 2
    assert [e.repeats for e in entries] == [-1, -1, -1, 0, 2, -1]


def test_a_handover_that_stands_twice_is_one_with_two_tries() -> None:
    """The client's HAR holds both attempts, and the logs of two limiters hold one each."""

    def entry(t: float, id: str, status: int, source: str) -> Entry:
        return Entry(t, "a", "handover-post", "p", "POST", "/h", id, status, 1, 0.01, source, "")

    entries = [
        entry(0.0, "x", 503, "har"), entry(0.001, "x", 503, "one"), entry(0.5, "y", 200, "har"),
        entry(0.501, "y", 200, "two"),
    ]  # fmt: skip
    kept = deduplicate_entries(entries)
    assert [e.id for e in kept] == ["x", "y"] and mark_retries(kept) == 1 and kept[1].repeats == 0
