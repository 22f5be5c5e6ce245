"""What a server's answer to a GraphQL request says: its true cost, and whether it ran; free of I/O.

- ``data``, with ``errors`` or without, is an answer. It is passed on.
- ``errors`` and no ``data`` with a code that the operators' file names proves that nothing was executed.
- Any other is an answer too, passed on as it came, and the request may have run.
"""

from __future__ import annotations

import json
import math
from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class ResponseInfo:
    """``cost``: true points, None where none is told or what is told is absurd. ``never_ran``: proved."""

    cost: float | None
    not_executed: bool


def parse_response(
    body: bytes, never_ran_codes: frozenset[str], max_points: float, cost_in_extensions: bool
) -> ResponseInfo:
    """``most``: the upper bound in points; a cost beyond it, or below 0, is absurd and tells nothing.

    ``cost_inside``: whether ``extensions.cost.actual`` is read (else a header tells it). A batch's answers add up;
    where one of them tells none, the whole tells none. A batch never ran where none of its members did.
    """
    try:
        raw = json.loads(body)
    except (ValueError, RecursionError):
        return ResponseInfo(None, False)
    responses = raw if isinstance(raw, list) else [raw]
    if not responses or not all(isinstance(each, dict) for each in responses):
        return ResponseInfo(None, False)
    costs = [_actual_cost(each) for each in responses] if cost_in_extensions else [None]
    total = None if any(cost is None for cost in costs) else sum(cost for cost in costs if cost is not None)
    not_executed = all(_not_executed(each, never_ran_codes) for each in responses)
    return ResponseInfo(valid_cost(total, max_points), not_executed)


def valid_cost(cost: float | None, max_points: float) -> float | None:
    """A cost that can be true: a number from 0 to the bound (a little beyond for rounding)."""
    if cost is None or not math.isfinite(cost) or not 0 <= cost <= max_points * (1 + 1e-9) + 1e-9:
        return None
    return min(cost, max_points)


def _actual_cost(response: dict[str, Any]) -> float | None:
    found: Any = response
    for key in ("extensions", "cost", "actual"):
        found = found.get(key) if isinstance(found, dict) else None
    return float(found) if isinstance(found, int | float) and not isinstance(found, bool) else None


def _not_executed(response: dict[str, Any], codes: frozenset[str]) -> bool:
    errors = response.get("errors")
    if response.get("data") is not None or not isinstance(errors, list) or not errors:
        return False
    return all(_error_code(error) in codes for error in errors)


def _error_code(error: Any) -> str | None:
    extensions = error.get("extensions") if isinstance(error, dict) else None
    code = extensions.get("code") if isinstance(extensions, dict) else None
    return code if isinstance(code, str) else None
