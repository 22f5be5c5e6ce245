"""Quota reserved in advance for scheduled events, as a state machine. Amounts are whole micro-units. No I/O, no clock.

Requests draw on a reservation during its window. The undrawn rest is given back once, when the last request that drew
on it has ended. A draw is an estimate until the actual units are known; a difference that becomes known after the end
is a correction.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

MICRO_PER_UNIT = 1_000_000  # micro-units per unit
MAX_OPEN_RESERVATIONS = 10_000  # per installation
MAX_IN_FLIGHT_DRAWS = 100_000  # requests per reservation


class ReservationError(ValueError):
    """A reservation cannot be made or used as requested. The text names the expected value."""


class ReservationState(Enum):
    REQUESTED = "requested"
    HELD = "held"  # admitted; the window has not begun
    ACTIVE = "active"
    DRAINING = "draining"  # takes no new draws; some are in flight
    RELEASED = "released"
    EXPIRED = "expired"  # the window has ended and no draw is in flight
    REFUSED = "refused"


class ReservationEvent(Enum):
    ADMITTED = "admitted"
    REFUSED = "refused"
    BEGUN = "begun"  # the window has begun
    RELEASE = "release"
    OVER = "over"  # the window has ended
    EMPTY = "empty"  # the last draw in flight has ended before the end of the window
    SPENT = "spent"  # the last draw in flight has ended after the end of the window


TERMINAL_STATES = (ReservationState.RELEASED, ReservationState.EXPIRED, ReservationState.REFUSED)
# Other events change nothing, such as a release in a terminal state or the start of the window after a release.
TRANSITIONS: dict[tuple[ReservationState, ReservationEvent], ReservationState] = {
    (ReservationState.REQUESTED, ReservationEvent.ADMITTED): ReservationState.HELD,
    (ReservationState.REQUESTED, ReservationEvent.REFUSED): ReservationState.REFUSED,
    (ReservationState.REQUESTED, ReservationEvent.RELEASE): ReservationState.RELEASED,
    (ReservationState.HELD, ReservationEvent.BEGUN): ReservationState.ACTIVE,
    (ReservationState.HELD, ReservationEvent.RELEASE): ReservationState.RELEASED,
    (ReservationState.HELD, ReservationEvent.OVER): ReservationState.EXPIRED,
    (ReservationState.ACTIVE, ReservationEvent.RELEASE): ReservationState.DRAINING,
    (ReservationState.ACTIVE, ReservationEvent.OVER): ReservationState.DRAINING,
    (ReservationState.DRAINING, ReservationEvent.EMPTY): ReservationState.RELEASED,
    (ReservationState.DRAINING, ReservationEvent.SPENT): ReservationState.EXPIRED,
}


@dataclass(frozen=True, slots=True)
class ReservationRequest:
    """The request for a reservation. ``start`` and ``end`` are Unix milliseconds, ``units`` are micro-units."""

    key: str
    account: str
    start: int
    end: int
    units: int
    purpose: str = ""

    def check(self) -> None:
        if not self.key or not self.account:
            raise ReservationError("key, account: expected a name each")
        if self.end <= self.start:
            raise ReservationError(f"end: expected an instant after {self.start}, got {self.end}")
        if self.units <= 0:
            raise ReservationError(f"units: expected a number above 0, got {self.units / MICRO_PER_UNIT:g}")


@dataclass(slots=True)
class Reservation:
    """A requested reservation and its state."""

    request: ReservationRequest
    state: ReservationState = ReservationState.REQUESTED
    drawn: int = 0  # settled micro-units
    in_flight: dict[str, int] = field(default_factory=dict)  # estimated micro-units of requests in flight
    given_back: int = 0  # micro-units
    corrections: int = 0  # micro-units that were settled after the reservation ended
    window_ended: bool = False
    plan: str = ""  # name of the plan under which limiters draw on it
    draining_since: int = 0  # Unix milliseconds from which it takes no new draws

    def __repr__(self) -> str:
        request = self.request
        return (
            f"<Reservation {request.key} of {request.account}: {self.state.value}, "
            f"{self.drawn / MICRO_PER_UNIT:g} of {request.units / MICRO_PER_UNIT:g}>"
        )

    @property
    def available_units(self) -> int:
        """The micro-units available to a new draw; 0 unless the reservation is active."""
        if self.state is not ReservationState.ACTIVE:
            return 0
        return max(0, self.request.units - self.drawn - sum(self.in_flight.values()))

    def handle_event(self, event: ReservationEvent) -> bool:
        """Apply an event; return whether it changed the state."""
        new_state = TRANSITIONS.get((self.state, event))
        if new_state is None:
            return False
        self.state, self.window_ended = new_state, self.window_ended or event is ReservationEvent.OVER
        if new_state is ReservationState.DRAINING:
            self.finish_if_drained()
        elif new_state in (ReservationState.RELEASED, ReservationState.EXPIRED):
            self.given_back = max(0, self.request.units - self.drawn)
        return True

    def finish_if_drained(self) -> None:
        """End a draining reservation when its last draw has ended."""
        if not self.in_flight:
            self.handle_event(ReservationEvent.SPENT if self.window_ended else ReservationEvent.EMPTY)


@dataclass(frozen=True, slots=True)
class Capacity:
    """The limits that reservations must fit into.

    ``fleet_rate`` is what the fleet may set aside, in micro-units per second. The account's ceiling is a rate in
    micro-units per second and a burst in micro-units (0: none).
    """

    fleet_rate: int
    ceiling_rate: int = 0
    ceiling_burst: int = 0


def peak_rate(requests: Iterable[ReservationRequest]) -> float:
    """Return the highest total rate of the requests in micro-units per second, each spread evenly over its window."""
    edges = list[tuple[int, int, float]]()
    for request in requests:
        rate = request.units * 1000 / (request.end - request.start)
        # At one instant, windows that end are sorted before windows that begin.
        edges += [(request.start, 1, rate), (request.end, 0, -rate)]
    rate_now = peak = 0.0
    for _, _, rate in sorted(edges):
        rate_now += rate
        peak = max(peak, rate_now)
    return peak


class Reservations:
    """All reservations of one installation, by key."""

    def __init__(self) -> None:
        self.by_key = dict[str, Reservation]()

    def reserve(self, request: ReservationRequest, capacity: Capacity) -> Reservation:
        """Admit or refuse a reservation; repeating the same request changes nothing.

        Raise ``ReservationError`` for invalid input.
        """
        request.check()
        if (known := self.by_key.get(request.key)) is not None:
            if known.request != request:
                raise ReservationError(f"key: {request.key!r} names another reservation; expected a new key")
            return known
        open_reservations = [r for r in self.by_key.values() if r.state not in TERMINAL_STATES]
        if len(open_reservations) >= MAX_OPEN_RESERVATIONS:
            raise ReservationError(f"expected at most {MAX_OPEN_RESERVATIONS} reservations that are not over")
        reservation = self.by_key[request.key] = Reservation(request)
        reservation.handle_event(
            ReservationEvent.ADMITTED
            if self._fits(request, open_reservations, capacity)
            else ReservationEvent.REFUSED
        )
        return reservation

    @staticmethod
    def _fits(request: ReservationRequest, open_reservations: list[Reservation], capacity: Capacity) -> bool:
        concurrent = [
            r.request
            for r in open_reservations
            if r.request.start < request.end and request.start < r.request.end
        ]
        if peak_rate([*concurrent, request]) > capacity.fleet_rate:
            return False
        if capacity.ceiling_rate <= 0:
            return True
        own = [booked for booked in concurrent if booked.account == request.account]
        # Any span of the window must fit: the units reserved beyond the ceiling's rate are taken from its burst.
        over = peak_rate([*own, request]) - capacity.ceiling_rate
        return over <= 0 or request.units + sum(booked.units for booked in own) <= (
            capacity.ceiling_burst + capacity.ceiling_rate * (request.end - request.start) // 1000
        )

    def tick(self, now: int) -> list[Reservation]:
        """Start and end the windows that are due; return the reservations that changed."""
        changed = []
        for reservation in self.by_key.values():
            begun = reservation.request.start <= now and reservation.handle_event(ReservationEvent.BEGUN)
            ended = reservation.request.end <= now and reservation.handle_event(ReservationEvent.OVER)
            if begun or ended:
                changed.append(reservation)
        return changed

    def release(self, key: str) -> Reservation:
        """Release the undrawn rest; repeating it changes nothing. Raise ``ReservationError`` for an unknown key."""
        if (reservation := self.by_key.get(key)) is None:
            raise ReservationError(f"key: no reservation is named {key!r}")
        reservation.handle_event(ReservationEvent.RELEASE)
        return reservation

    def draw(self, key: str, request: str, units: int) -> bool:
        """Return whether a request may draw its estimated units; the same request draws only once."""
        reservation = self.by_key.get(key)
        if reservation is None or units < 0:
            return False
        if request in reservation.in_flight:
            return True
        if (
            reservation.state is not ReservationState.ACTIVE
            or reservation.available_units < units
            or len(reservation.in_flight) >= MAX_IN_FLIGHT_DRAWS
        ):
            return False
        reservation.in_flight[request] = units
        return True

    def settle(self, key: str, request: str, actual: int) -> int:
        """Settle a draw with the actual micro-units of its request (0: it never ran).

        Return the actual units less the estimate; 0 where the request has no draw in flight.
        """
        reservation = self.by_key.get(key)
        if reservation is None or actual < 0 or request not in reservation.in_flight:
            return 0
        estimate = reservation.in_flight.pop(request)
        reservation.drawn += actual
        reservation.finish_if_drained()
        return actual - estimate

    def correct(self, key: str, difference: int) -> None:
        """Record a difference to the settled units that became known late. It never changes what was given back."""
        if (reservation := self.by_key.get(key)) is not None:
            reservation.corrections += difference
