"""Documents, clock estimates, replay windows and the stated bounds."""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cypresspulley.fleet import timing
from cypresspulley.fleet.clocks import ClockEstimates
from cypresspulley.fleet.documents import MAX_DOCUMENTS, MAX_REQUESTED, PARTS_PER_FETCH, Documents
from cypresspulley.fleet.peers import ReplayWindow
from cypresspulley.fleet.wire import DocumentPart


@given(st.binary(max_size=20_000), st.randoms(use_true_random=False))
def test_a_document_comes_whole_through_loss_and_disorder(body: bytes, rng: random.Random) -> None:

    owner, asker = Documents(), Documents()
    digest = owner.store(body)
    asker.request(digest)
    for _ in range(200):
        request = asker.next_parts_request(bytes.fromhex(digest))
        if request is None:
            break
        parts = owner.requested_parts(request)
        assert parts is not None and len(parts) <= PARTS_PER_FETCH
        rng.shuffle(parts)
        for part in parts:
            if rng.random() < 0.8:
                asker.add_part(part)
    assert asker.get(digest) == body


def test_a_wrong_part_is_found_by_the_digest() -> None:
    owner, asker = Documents(), Documents()
    digest = owner.store(b"x" * 1000)
    asker.request(digest)
    key = bytes.fromhex(digest)
    asker.add_part(DocumentPart(key, 0, 2, b"y" * 900))
    asker.add_part(DocumentPart(key, 1, 2, b"x" * 100))
    assert asker.get(digest) is None and asker.start_period() == [key]
    asker.add_part(DocumentPart(key, 0, 2, b"x" * 900))
    asker.add_part(DocumentPart(key, 1, 3, b"x" * 100))
    assert asker.get(digest) is None
    asker.add_part(DocumentPart(key, 0, 2, b"x" * 900))
    asker.add_part(DocumentPart(key, 1, 2, b"x" * 100))
    assert asker.get(digest) == b"x" * 1000


def test_documents_and_wishes_are_bounded() -> None:
    documents = Documents()
    digests = [documents.store(bytes([n])) for n in range(MAX_DOCUMENTS + 2)]
    assert [documents.get(digest) is not None for digest in digests] == [False] * 2 + [True] * MAX_DOCUMENTS
    for n in range(MAX_REQUESTED + 3):
        documents.request(f"{n:032x}")
    assert len(documents.start_period()) == MAX_REQUESTED
    for bad in ("", "00", "zz" * 16):
        with pytest.raises(ValueError):
            documents.request(bad)
    with pytest.raises(ValueError, match="at most 65536 bytes"):
        documents.store(bytes(65_537))


@given(
    st.lists(st.tuples(st.floats(-10, 10), st.floats(0, 1), st.floats(0, 1)), min_size=1, max_size=9),
    st.floats(-100, 100),
)
def test_the_error_of_this_clock_lies_inside_its_bounds(
    others: list[tuple[float, float, float]], mine: float
) -> None:
    clocks = ClockEstimates()
    for n, (offset, there, back) in enumerate(others):
        clocks.record_answer(f"x{n}", 100.0 - there - back, 100.0, 1_000 + 100.0 - back + offset)
    bounds = clocks.estimate_error(100.0, 1_000 + 100.0 + mine, len(others))
    offsets = sorted(offset for offset, _, _ in others)
    middle = (offsets[(len(offsets) - 1) // 2] + offsets[len(offsets) // 2]) / 2
    assert bounds is not None
    assert bounds[0] - 1e-6 <= mine - middle <= bounds[1] + 1e-6


def test_too_few_or_old_answers_say_nothing_of_this_clock() -> None:
    clocks = ClockEstimates()
    assert clocks.estimate_error(0.0, 0.0, 0) is None
    clocks.record_answer("x", 0.0, 0.1, 50.0)
    assert clocks.estimate_error(1.0, 51.0, 3) is None and clocks.estimate_error(1.0, 51.0, 2) is not None
    assert clocks.estimate_error(61.0, 111.0, 1) is None
    low, high = clocks.estimate_error(1.0, 51.0 + 3600, 1) or (0.0, 0.0)
    assert 3599 < low <= high < 3602  # a step of the local clock shows in the next estimate


@given(st.lists(st.integers(0, 200), max_size=100))
def test_a_number_counts_once(numbers: list[int]) -> None:
    window, taken, top = ReplayWindow(1), list[int](), -1
    for number in numbers:
        if window.accept(number):
            taken.append(number)
        else:
            assert number in taken or number <= top - 64
        top = max(top, number)
    assert len(taken) == len(set(taken))


def test_suspicion_is_shorter_with_each_accuser_and_longer_with_size() -> None:
    assert [timing.suspicion_periods(8, n) for n in range(5)] == pytest.approx(
        [15, 12.5, 11.04, 10, 10], abs=0.01
    )
    assert timing.suspicion_periods(2, 0) == 10 and timing.suspicion_periods(998, 3) == pytest.approx(30)
    assert timing.detect_bound(8, 0.5) < timing.detect_bound(40, 0.5) < timing.detect_bound(1000, 0.5)
