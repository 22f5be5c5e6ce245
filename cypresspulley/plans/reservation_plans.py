"""How a reservation reaches the limiters: as a plan of its own that its account is on for the window. No I/O, no clock.

The event's plan is the account's plan with the reserved units on top of its quota: nine tenths evenly over the window,
one tenth as burst, so that no more than the reservation can be drawn beyond the plan, by whichever limiters. The
ceiling stays where it is. What was used under the event's plan is drawn from the reservation first.
"""

from __future__ import annotations

from dataclasses import replace

from cypresspulley.plans.book import BookError, Terms
from cypresspulley.plans.reservations import MICRO_PER_UNIT, ReservationRequest

BURST_SHARE = 0.1  # of a reservation, that may be drawn in a moment
NAME_SEPARATOR = "+"  # between a plan's name and the reservation's key


def reservation_plan_name(plan: str, key: str) -> str:
    return f"{plan}{NAME_SEPARATOR}{key}"


def reservation_plan_terms(base: Terms, request: ReservationRequest) -> Terms:
    """The account's terms with the reservation on top; ``BookError`` where they would stand above the ceiling."""
    units, seconds = request.units / MICRO_PER_UNIT, (request.end - request.start) / 1000
    terms = replace(
        base, rate=base.rate + (1 - BURST_SHARE) * units / seconds, burst=base.burst + BURST_SHARE * units
    )
    if (problem := next(terms.problems(), None)) is not None:
        raise BookError(f"units: with them the plan would not hold: {problem}")
    return terms


def drawn_units(request: ReservationRequest, used: int) -> int:
    """Micro-units of the reservation that so much use under the event's plan has drawn."""
    return max(0, min(request.units, used))
