"""A limiter's row for ``lanes``: its rates and the shedding policy that it applies; at most 200 bytes.

A row is msgpack (``msgspec``), an array of integers by position. Its writer is a member that holds the fleet's key and
is not trusted beyond that: what cannot be read is decoded as None, and every number has a range.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Annotated

import msgspec

from cypresspulley.fleet.records import MAX_ROW_BYTES
from cypresspulley.lanes.options import MAX_LANES
from cypresspulley.lanes.shedding_policy import THRESHOLD_SCALE, SheddingPolicy

VERSION = 1
RATE_STEPS = 10  # steps of an encoded rate in a unit a second; large rates are in 2 ** scale steps
MAX_ENCODED_RATE = 65_535
MAX_SCALE_BITS = 32
RATES_PER_LANE = 5
MAX_LEFT_MS = 600_000
OVER_QUOTA_STEPS = 100  # steps of an encoded over-quota threshold

Count = Annotated[int, msgspec.Meta(ge=0, le=2**32 - 1)]
EncodedRate = Annotated[int, msgspec.Meta(ge=0, le=MAX_ENCODED_RATE)]
Share = Annotated[int, msgspec.Meta(ge=0, le=THRESHOLD_SCALE)]


@dataclass(frozen=True, slots=True)
class LaneRates:
    """The recent rates of one lane at one limiter, in units a second.

    ``demand`` is what accounts request within quota and ``demand_over_quota`` beyond it. ``admitted`` is what the lane
    admitted, and ``refused`` the part of it that was then refused for lack of capacity. All these are of first
    requests. ``sent`` is what was sent on to servers.
    """

    demand: float = 0.0
    demand_over_quota: float = 0.0
    admitted: float = 0.0
    refused: float = 0.0
    sent: float = 0.0


@dataclass(frozen=True, slots=True)
class LanesRow:
    """``admit_rate`` is what the limiter's gate admits, in units a second; ``load`` is the gate's last reading, 0 to 1.

    ``seconds_left`` is the time until the rotation period ends, by the row's owner.
    """

    state: int
    admit_rate: float
    load: float
    rates: tuple[LaneRates, ...]
    policy: SheddingPolicy
    seconds_left: float


class _EncodedPolicy(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    revision: Count
    author: Annotated[int, msgspec.Meta(ge=0, le=65_535)]
    rotation: Count
    ends_at_ms: Annotated[int, msgspec.Meta(ge=0, le=2**53)]
    left_ms: Annotated[int, msgspec.Meta(ge=0, le=MAX_LEFT_MS)]
    capacity_tenths: Count
    within_quota: Annotated[list[Share], msgspec.Meta(min_length=1, max_length=MAX_LANES)]
    over_quota: Annotated[
        list[Annotated[int, msgspec.Meta(ge=0, le=OVER_QUOTA_STEPS)]],
        msgspec.Meta(min_length=1, max_length=MAX_LANES),
    ]


class _EncodedRow(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    version: Annotated[int, msgspec.Meta(ge=VERSION, le=VERSION)]
    state: Annotated[int, msgspec.Meta(ge=0, le=3)]
    admit_rate: Count
    load: Share
    scale: Annotated[int, msgspec.Meta(ge=0, le=MAX_SCALE_BITS)]
    rates: Annotated[
        list[EncodedRate], msgspec.Meta(min_length=RATES_PER_LANE, max_length=RATES_PER_LANE * MAX_LANES)
    ]
    policy: _EncodedPolicy


_encoder, _decoder = msgspec.msgpack.Encoder(), msgspec.msgpack.Decoder(_EncodedRow)


def _rate_steps(rate: float) -> int:
    return min(2**32 - 1, round(rate * RATE_STEPS)) if math.isfinite(rate) and rate > 0 else 0


def encode(row: LanesRow) -> bytes:
    """Return the row's bytes. Rates below 0 are encoded as 0, rates that are too large as the largest."""
    steps = [
        _rate_steps(n)
        for r in row.rates
        for n in (r.demand, r.demand_over_quota, r.admitted, r.refused, r.sent)
    ]
    scale = max(0, max(steps).bit_length() - 16)
    left_ms = max(0, min(MAX_LEFT_MS, round(row.seconds_left * 1000)))
    over_quota = [share * OVER_QUOTA_STEPS // THRESHOLD_SCALE for share in row.policy.over_quota]
    policy = row.policy
    encoded = _EncodedPolicy(
        policy.revision,
        policy.author,
        policy.rotation,
        policy.ends_at_ms,
        left_ms,
        policy.capacity_tenths,
        list(policy.within_quota),
        over_quota,
    )
    load = max(0, min(THRESHOLD_SCALE, round(row.load * THRESHOLD_SCALE)))
    rates = [n >> scale for n in steps]
    body = _encoder.encode(
        _EncodedRow(VERSION, row.state, _rate_steps(row.admit_rate), load, scale, rates, encoded)
    )
    assert len(body) <= MAX_ROW_BYTES
    return body


def decode(body: bytes, lanes: int) -> LanesRow | None:
    """Return the row with this number of lanes.

    None is returned for bytes that are no row, or are of another version or another number of lanes.
    """
    if len(body) > MAX_ROW_BYTES:
        return None
    try:
        row = _decoder.decode(body)
    except msgspec.DecodeError:
        return None
    encoded = row.policy
    if (
        len(row.rates) != RATES_PER_LANE * lanes
        or len(encoded.within_quota) != lanes
        or len(encoded.over_quota) != lanes
    ):
        return None
    numbers = [(count << row.scale) / RATE_STEPS for count in row.rates]
    rates = tuple(LaneRates(*numbers[n : n + RATES_PER_LANE]) for n in range(0, len(numbers), RATES_PER_LANE))
    over_quota = tuple(share * THRESHOLD_SCALE // OVER_QUOTA_STEPS for share in encoded.over_quota)
    policy = SheddingPolicy(
        encoded.revision,
        encoded.author,
        encoded.rotation,
        encoded.ends_at_ms,
        encoded.capacity_tenths,
        tuple(encoded.within_quota),
        over_quota,
    )
    return LanesRow(
        row.state,
        row.admit_rate / RATE_STEPS,
        row.load / THRESHOLD_SCALE,
        rates,
        policy,
        encoded.left_ms / 1000,
    )
