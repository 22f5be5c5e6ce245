"""Rows and spells: their size, what is read back, what is refused, and the order of spells."""

from __future__ import annotations

from random import Random

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from cypresspulley.fleet.records import MAX_ROW_BYTES
from cypresspulley.lanes.options import MOST_LANES
from cypresspulley.lanes.rows import Figures, LanesRow, decode, encode
from cypresspulley.lanes.shedding_policy import Spell, first, maker_of, opened, revised

STEPS = st.integers(0, 1000)
RATES = st.floats(0, 5e8, allow_nan=False)


def spells(lanes: int) -> st.SearchStrategy[Spell]:
    many = st.lists(STEPS, min_size=lanes, max_size=lanes).map(tuple)
    count = st.integers(0, 2**32 - 1)
    return st.builds(Spell, count, st.integers(0, 65_535), count, st.integers(0, 2**53), count, many, many)


@st.composite
def rows(draw: st.DrawFn) -> LanesRow:
    lanes = draw(st.integers(1, MOST_LANES))
    figures = draw(st.lists(st.builds(Figures, *[RATES] * 5), min_size=lanes, max_size=lanes))
    load, left = draw(st.floats(0, 1)), draw(st.floats(0, 600))
    return LanesRow(draw(st.integers(0, 3)), draw(RATES), load, tuple(figures), draw(spells(lanes)), left)


@given(rows())
def test_a_row_fits_and_is_read_back(row: LanesRow) -> None:
    body = encode(row)
    assert len(body) <= MAX_ROW_BYTES
    told = decode(body, len(row.figures))
    assert told is not None
    assert (told.state, told.spell.key, told.spell.inside) == (row.state, row.spell.key, row.spell.inside)
    largest = max(max(f.asked, f.over, f.passed, f.short, f.sent) for f in row.figures)
    for mine, theirs in zip(row.figures, told.figures, strict=True):
        assert theirs.sent == pytest.approx(min(mine.sent, (2**32 - 1) / 10), abs=0.1 + largest / 30_000)


def test_the_largest_row_fits() -> None:
    spell = Spell(2**32 - 1, 65_535, 2**32 - 1, 2**53, 2**32 - 1, (999,) * MOST_LANES, (999,) * MOST_LANES)
    row = LanesRow(3, 1e12, 1.0, (Figures(*[1e12] * 5),) * MOST_LANES, spell, 600.0)
    assert len(encode(row)) <= MAX_ROW_BYTES


@given(st.binary(max_size=300), st.integers(1, MOST_LANES))
def test_noise_is_no_row(body: bytes, lanes: int) -> None:
    decode(body, lanes)  # never raises


@given(rows(), st.integers(0, 200), st.integers(0, 255))
def test_a_row_with_a_byte_changed_is_none_or_in_range(row: LanesRow, at: int, byte: int) -> None:
    body = bytearray(encode(row))
    body[at % len(body)] = byte
    told = decode(bytes(body), len(row.figures))
    if told is not None:
        assert 0 <= told.left <= 600
        assert all(0 <= share <= 1000 for share in (*told.spell.inside, *told.spell.beyond))


def test_another_table_of_lanes_or_version_is_not_read() -> None:
    body = encode(LanesRow(0, 1.0, 0.5, (Figures(),) * 3, first(3), 0.0))
    assert decode(body, 3) is not None
    assert decode(body, 2) is None
    other = [2, *msgspec.msgpack.decode(body)[1:]]
    assert decode(msgspec.msgpack.encode(other), 3) is None


@given(st.lists(spells(2), min_size=1, max_size=6), st.integers(0, 99))
def test_whoever_has_heard_the_same_goes_by_the_same_spell(heard: list[Spell], seed: int) -> None:
    def last(many: list[Spell]) -> Spell:
        held = many[0]
        for spell in many[1:]:
            held = spell if spell.holds_over(held) else held
        return held

    mixed = Random(seed).sample(heard, len(heard))
    assert last(heard).key == last(mixed).key
    found = last([last(heard), *mixed, *heard])
    assert (found.inside, found.beyond) == (last(mixed).inside, last(mixed).beyond)


def test_revisions_go_on_and_spells_turn() -> None:
    maker = maker_of("limiter-0", 7)
    assert maker != maker_of("limiter-0", 8)
    one = revised(first(2), maker, 1000.5, 40.0, (1.0, 0.25), (0.0, 0.0))
    assert (one.turn, one.until, one.bears, one.inside) == (1, 1_000_500, 400, (1000, 250))
    two = revised(one, maker, 0.0, 44.0, (1.0, 0.5), (0.0, 0.0))
    assert (two.turn, two.until) == (1, 1_000_500)  # the same accounts give way, until the same time
    assert two.holds_over(one)
    assert not one.holds_over(two)
    assert opened(two, maker).open
    assert opened(two, maker).holds_over(two)
