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
class Told:
    """``cost``: true points, None where none is told or what is told is absurd. ``never_ran``: proved."""

    cost: float | None
    never_ran: bool


def read_answer(body: bytes, never_ran_codes: frozenset[str], most: float, cost_inside: bool) -> Told:
    """``most``: the upper bound in points; a cost beyond it, or below 0, is absurd and tells nothing.

    ``cost_inside``: whether ``extensions.cost.actual`` is read (else a header tells it). A batch's answers add up;
    where one of them tells none, the whole tells none. A batch never ran where none of its members did.
    """
    try:
        raw = json.loads(body)
    except (ValueError, RecursionError):
        return Told(None, False)
    answers = raw if isinstance(raw, list) else [raw]
    if not answers or not all(isinstance(each, dict) for each in answers):
        return Told(None, False)
    costs = [_cost(each) for each in answers] if cost_inside else [None]
    total = None if any(cost is None for cost in costs) else sum(cost for cost in costs if cost is not None)
    never = all(_never_ran(each, never_ran_codes) for each in answers)
    return Told(believed(total, most), never)


def believed(cost: float | None, most: float) -> float | None:
    """A cost that can be true: a number from 0 to the bound (a little beyond for rounding)."""
    if cost is None or not math.isfinite(cost) or not 0 <= cost <= most * (1 + 1e-9) + 1e-9:
        return None
    return min(cost, most)


def _cost(answer: dict[str, Any]) -> float | None:
    found: Any = answer
    for key in ("extensions", "cost", "actual"):
        found = found.get(key) if isinstance(found, dict) else None
    return float(found) if isinstance(found, int | float) and not isinstance(found, bool) else None


def _never_ran(answer: dict[str, Any], codes: frozenset[str]) -> bool:
    errors = answer.get("errors")
    if answer.get("data") is not None or not isinstance(errors, list) or not errors:
        return False
    return all(_code(error) in codes for error in errors)


def _code(error: Any) -> str | None:
    extensions = error.get("extensions") if isinstance(error, dict) else None
    code = extensions.get("code") if isinstance(extensions, dict) else None
    return code if isinstance(code, str) else None
