"""Reads a server's response to a GraphQL request: its actual cost and whether the request was executed.

A response is classified by its content:

- With ``data``, with or without ``errors``, it is a regular response and is forwarded.
- With ``errors`` and no ``data``, it proves that nothing was executed if all error codes are in ``never_ran_codes``.
- Any other response is forwarded unchanged, and the request may have been executed.

The module does no I/O.
"""

from __future__ import annotations

import json
import math
from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class ResponseInfo:
    """What a response says about a request.

    ``cost`` is the actual cost in points, or None if the response states none or an implausible one. ``not_executed``
    is True only if the response proves that nothing was executed.
    """

    cost: float | None
    not_executed: bool


def parse_response(
    body: bytes, never_ran_codes: frozenset[str], max_points: float, cost_in_extensions: bool
) -> ResponseInfo:
    """Parse the body of a response to one operation or to a batch.

    ``max_points`` is the upper bound of the request's price; a cost above it or below 0 is ignored. The cost is read
    from ``extensions.cost.actual`` if ``cost_in_extensions`` is set, otherwise it comes from a header. The costs of a
    batch are added up; if one of its responses states no cost, the batch has none. A batch counts as not executed
    only if none of its operations was executed.
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
    """Return the cost if it is from 0 to ``max_points`` (plus a tolerance of 1e-9 for rounding), otherwise None."""
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
