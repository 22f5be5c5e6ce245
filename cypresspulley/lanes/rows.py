"""A limiter's row for ``lanes``: what it was asked, what went on, and the spell that it goes by; at most 200 bytes.

msgpack (``msgspec``), an array of integers by position. Whoever wrote it is a member with the fleet's key and is not
trusted beyond that: what cannot be read is None, every number has a range.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Annotated

import msgspec

from cypresspulley.fleet.records import MAX_ROW_BYTES
from cypresspulley.lanes.options import MOST_LANES
from cypresspulley.lanes.shedding_policy import WHOLE, Spell

VERSION = 1
TENTHS = 10  # figures are told in tenths of units a second, or where these are large in 2 ** scale of them
MOST_FIGURE = 65_535  # of an encoded figure
MOST_SCALE = 32  # bits by which encoded figures are shifted
EACH = 5  # figures of a lane
MOST_LEFT = 600_000  # ms
COARSE = 100  # steps of a threshold beyond quota

Count = Annotated[int, msgspec.Meta(ge=0, le=2**32 - 1)]
Figure = Annotated[int, msgspec.Meta(ge=0, le=MOST_FIGURE)]
Share = Annotated[int, msgspec.Meta(ge=0, le=WHOLE)]


@dataclass(frozen=True, slots=True)
class Figures:
    """One lane at one limiter, units a second of the recent: ``asked`` inside quota and ``over`` beyond it, ``passed``
    by the lane and ``short``, then refused for want of room (all these of first tries); ``sent`` on to servers."""

    asked: float = 0.0
    over: float = 0.0
    passed: float = 0.0
    short: float = 0.0
    sent: float = 0.0


@dataclass(frozen=True, slots=True)
class LanesRow:
    """``rate``: what its gate admits, units a second; ``load``: its last reading, 0 to 1; ``left``: seconds until the
    spell ends, by its owner."""

    state: int
    rate: float
    load: float
    figures: tuple[Figures, ...]
    spell: Spell
    left: float


class _Spell(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    number: Count
    maker: Annotated[int, msgspec.Meta(ge=0, le=65_535)]
    turn: Count
    until: Annotated[int, msgspec.Meta(ge=0, le=2**53)]
    left: Annotated[int, msgspec.Meta(ge=0, le=MOST_LEFT)]
    bears: Count
    inside: Annotated[list[Share], msgspec.Meta(min_length=1, max_length=MOST_LANES)]
    beyond: Annotated[
        list[Annotated[int, msgspec.Meta(ge=0, le=COARSE)]], msgspec.Meta(min_length=1, max_length=MOST_LANES)
    ]


class _Row(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    version: Annotated[int, msgspec.Meta(ge=VERSION, le=VERSION)]
    state: Annotated[int, msgspec.Meta(ge=0, le=3)]
    rate: Count
    load: Share
    scale: Annotated[int, msgspec.Meta(ge=0, le=MOST_SCALE)]
    figures: Annotated[list[Figure], msgspec.Meta(min_length=EACH, max_length=EACH * MOST_LANES)]
    spell: _Spell


_encoder, _decoder = msgspec.msgpack.Encoder(), msgspec.msgpack.Decoder(_Row)


def _tenths(figure: float) -> int:
    return min(2**32 - 1, round(figure * TENTHS)) if math.isfinite(figure) and figure > 0 else 0


def encode(row: LanesRow) -> bytes:
    """The row's bytes. Figures below 0 are told as 0, too large ones as the largest."""
    tenths = [_tenths(n) for f in row.figures for n in (f.asked, f.over, f.passed, f.short, f.sent)]
    scale = max(0, max(tenths).bit_length() - 16)
    left = max(0, min(MOST_LEFT, round(row.left * 1000)))
    beyond = [share * COARSE // WHOLE for share in row.spell.beyond]
    spell = row.spell
    told = _Spell(
        spell.number, spell.maker, spell.turn, spell.until, left, spell.bears, list(spell.inside), beyond
    )
    load = max(0, min(WHOLE, round(row.load * WHOLE)))
    figures = [n >> scale for n in tenths]
    body = _encoder.encode(_Row(VERSION, row.state, _tenths(row.rate), load, scale, figures, told))
    assert len(body) <= MAX_ROW_BYTES
    return body


def decode(body: bytes, lanes: int) -> LanesRow | None:
    """A row with so many lanes; None for what is none, or is of another form or another table of lanes."""
    if len(body) > MAX_ROW_BYTES:
        return None
    try:
        row = _decoder.decode(body)
    except msgspec.DecodeError:
        return None
    told = row.spell
    if len(row.figures) != EACH * lanes or len(told.inside) != lanes or len(told.beyond) != lanes:
        return None
    numbers = [(count << row.scale) / TENTHS for count in row.figures]
    figures = tuple(Figures(*numbers[n : n + EACH]) for n in range(0, len(numbers), EACH))
    beyond = tuple(share * WHOLE // COARSE for share in told.beyond)
    spell = Spell(told.number, told.maker, told.turn, told.until, told.bears, tuple(told.inside), beyond)
    return LanesRow(row.state, row.rate / TENTHS, row.load / WHOLE, figures, spell, told.left / 1000)
