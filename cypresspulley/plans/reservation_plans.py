"""The plan through which a reservation reaches the limiters. No I/O, no clock.

A reservation becomes a plan of its own, which its account is assigned to for the window. It is the account's plan with
the reserved units added to its quota: nine tenths evenly over the window, one tenth as burst, so that all limiters
together can draw no more than the reservation beyond the plan. The ceiling is unchanged. Usage under the reservation's
plan is drawn from the reservation first.
"""

from __future__ import annotations

from dataclasses import replace

from cypresspulley.plans.book import BookError, Terms
from cypresspulley.plans.reservations import MICRO_PER_UNIT, ReservationRequest

BURST_SHARE = 0.1  # share of a reservation that may be drawn at once
NAME_SEPARATOR = "+"  # between the plan's name and the reservation's key


def reservation_plan_name(plan: str, key: str) -> str:
    return f"{plan}{NAME_SEPARATOR}{key}"


def reservation_plan_terms(base: Terms, request: ReservationRequest) -> Terms:
    """Return the account's terms plus the reservation. Raise ``BookError`` where they would exceed the ceiling."""
    units, seconds = request.units / MICRO_PER_UNIT, (request.end - request.start) / 1000
    terms = replace(
        base, rate=base.rate + (1 - BURST_SHARE) * units / seconds, burst=base.burst + BURST_SHARE * units
    )
    if (problem := next(terms.problems(), None)) is not None:
        raise BookError(f"units: with them the plan would not hold: {problem}")
    return terms


def drawn_units(request: ReservationRequest, used: int) -> int:
    """Return the micro-units of a reservation drawn by ``used`` micro-units of usage under its plan."""
    return max(0, min(request.units, used))
