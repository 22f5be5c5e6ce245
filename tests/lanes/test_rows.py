"""Rows and shedding policies: size, decoding, rejected rows, and the order of policies."""

from __future__ import annotations

from random import Random

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from cypresspulley.fleet.records import MAX_ROW_BYTES
from cypresspulley.lanes.options import MAX_LANES
from cypresspulley.lanes.rows import LaneRates, LanesRow, decode, encode
from cypresspulley.lanes.shedding_policy import (
    SheddingPolicy,
    author_id,
    initial_policy,
    open_policy,
    revise_policy,
)

STEPS = st.integers(0, 1000)
RATES = st.floats(0, 5e8, allow_nan=False)


def policies(lanes: int) -> st.SearchStrategy[SheddingPolicy]:
    thresholds = st.lists(STEPS, min_size=lanes, max_size=lanes).map(tuple)
    count = st.integers(0, 2**32 - 1)
    return st.builds(
        SheddingPolicy,
        count,
        st.integers(0, 65_535),
        count,
        st.integers(0, 2**53),
        count,
        thresholds,
        thresholds,
    )


@st.composite
def rows(draw: st.DrawFn) -> LanesRow:
    lanes = draw(st.integers(1, MAX_LANES))
    rates = draw(st.lists(st.builds(LaneRates, *[RATES] * 5), min_size=lanes, max_size=lanes))
    load, left = draw(st.floats(0, 1)), draw(st.floats(0, 600))
    return LanesRow(draw(st.integers(0, 3)), draw(RATES), load, tuple(rates), draw(policies(lanes)), left)


@given(rows())
def test_a_row_fits_and_is_read_back(row: LanesRow) -> None:
    body = encode(row)
    assert len(body) <= MAX_ROW_BYTES
    decoded = decode(body, len(row.rates))
    assert decoded is not None
    assert (decoded.state, decoded.policy.key, decoded.policy.within_quota) == (
        row.state,
        row.policy.key,
        row.policy.within_quota,
    )
    largest = max(max(r.demand, r.demand_over_quota, r.admitted, r.refused, r.sent) for r in row.rates)
    for mine, theirs in zip(row.rates, decoded.rates, strict=True):
        assert theirs.sent == pytest.approx(min(mine.sent, (2**32 - 1) / 10), abs=0.1 + largest / 30_000)


def test_the_largest_row_fits() -> None:
    policy = SheddingPolicy(
        2**32 - 1, 65_535, 2**32 - 1, 2**53, 2**32 - 1, (999,) * MAX_LANES, (999,) * MAX_LANES
    )
    row = LanesRow(3, 1e12, 1.0, (LaneRates(*[1e12] * 5),) * MAX_LANES, policy, 600.0)
    assert len(encode(row)) <= MAX_ROW_BYTES


@given(st.binary(max_size=300), st.integers(1, MAX_LANES))
def test_noise_is_no_row(body: bytes, lanes: int) -> None:
    decode(body, lanes)  # never raises


@given(rows(), st.integers(0, 200), st.integers(0, 255))
def test_a_row_with_a_byte_changed_is_none_or_in_range(row: LanesRow, at: int, byte: int) -> None:
    body = bytearray(encode(row))
    body[at % len(body)] = byte
    decoded = decode(bytes(body), len(row.rates))
    if decoded is not None:
        assert 0 <= decoded.seconds_left <= 600
        assert all(0 <= share <= 1000 for share in (*decoded.policy.within_quota, *decoded.policy.over_quota))


def test_another_table_of_lanes_or_version_is_not_read() -> None:
    body = encode(LanesRow(0, 1.0, 0.5, (LaneRates(),) * 3, initial_policy(3), 0.0))
    assert decode(body, 3) is not None
    assert decode(body, 2) is None
    other = [2, *msgspec.msgpack.decode(body)[1:]]
    assert decode(msgspec.msgpack.encode(other), 3) is None


@given(st.lists(policies(2), min_size=1, max_size=6), st.integers(0, 99))
def test_whoever_has_heard_the_same_goes_by_the_same_spell(received: list[SheddingPolicy], seed: int) -> None:
    def superseding(policies: list[SheddingPolicy]) -> SheddingPolicy:
        current = policies[0]
        for policy in policies[1:]:
            current = policy if policy.supersedes(current) else current
        return current

    mixed = Random(seed).sample(received, len(received))
    assert superseding(received).key == superseding(mixed).key
    found = superseding([superseding(received), *mixed, *received])
    assert (found.within_quota, found.over_quota) == (
        superseding(mixed).within_quota,
        superseding(mixed).over_quota,
    )


def test_revisions_go_on_and_spells_turn() -> None:
    author = author_id("limiter-0", 7)
    assert author != author_id("limiter-0", 8)
    first = revise_policy(initial_policy(2), author, 1000.5, 40.0, (1.0, 0.25), (0.0, 0.0))
    assert (first.rotation, first.ends_at_ms, first.capacity_tenths, first.within_quota) == (
        1,
        1_000_500,
        400,
        (1000, 250),
    )
    second = revise_policy(first, author, 0.0, 44.0, (1.0, 0.5), (0.0, 0.0))
    # The same accounts are shed, until the same time.
    assert (second.rotation, second.ends_at_ms) == (1, 1_000_500)
    assert second.supersedes(first)
    assert not first.supersedes(second)
    assert open_policy(second, author).is_open
    assert open_policy(second, author).supersedes(second)
