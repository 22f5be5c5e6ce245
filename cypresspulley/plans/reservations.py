"""Allowance set aside ahead for booked events. States as a table; no I/O, no clock. Units are whole micro-units.

A reservation is drawn on by requests in its window; what it holds is given back once, when the last request that drew
on it has ended. True units that differ from the guess settle when they are known; late, they are a correction.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

MICRO_PER_UNIT = 1_000_000  # micro-units of a unit
MAX_OPEN_RESERVATIONS = 10_000  # reservations that are not over, of one installation
MAX_IN_FLIGHT_DRAWS = 100_000  # requests that draw on one


class ReservationError(ValueError):
    """A reservation that cannot be made or used so; the text says what was expected."""


class ReservationState(Enum):
    REQUESTED = "requested"
    HELD = "held"  # admitted, its window has not begun
    ACTIVE = "active"
    DRAINING = "draining"  # takes no new draws; some are in flight
    RELEASED = "released"
    EXPIRED = "expired"  # its window is over, nothing is in flight
    REFUSED = "refused"


class ReservationEvent(Enum):
    ADMITTED = "admitted"
    REFUSED = "refused"
    BEGUN = "begun"  # its window has
    RELEASE = "release"
    OVER = "over"  # its window is
    EMPTY = "empty"  # the last draw in flight has ended
    SPENT = "spent"  # it has, and the window is over


TERMINAL_STATES = (ReservationState.RELEASED, ReservationState.EXPIRED, ReservationState.REFUSED)
# What is not here changes nothing: a release of what is over, a window's begin after a release.
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
    """What was asked for. ``start`` and ``end`` are Unix time in milliseconds, ``units`` micro-units."""

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
    """One wish and what became of it."""

    request: ReservationRequest
    state: ReservationState = ReservationState.REQUESTED
    drawn: int = 0  # settled micro-units
    in_flight: dict[str, int] = field(default_factory=dict)  # guesses of the requests in flight
    given_back: int = 0
    corrections: int = 0  # micro-units that were settled after it was over
    window_ended: bool = False  # its window is
    plan: str = ""  # the event's plan, under which limiters draw on it
    draining_since: int = 0  # Unix milliseconds from which it takes no new draws

    def __repr__(self) -> str:
        w = self.request
        return f"<Reservation {w.key} of {w.account}: {self.state.value}, {self.drawn / MICRO_PER_UNIT:g} of {w.units / MICRO_PER_UNIT:g}>"

    @property
    def available_units(self) -> int:
        """Micro-units that a new draw may have; 0 unless it is active."""
        if self.state is not ReservationState.ACTIVE:
            return 0
        return max(0, self.request.units - self.drawn - sum(self.in_flight.values()))

    def handle_event(self, what: ReservationEvent) -> bool:
        """Whether that changed anything."""
        now = TRANSITIONS.get((self.state, what))
        if now is None:
            return False
        self.state, self.window_ended = now, self.window_ended or what is ReservationEvent.OVER
        if now is ReservationState.DRAINING:
            self.finish_if_drained()
        elif now in (ReservationState.RELEASED, ReservationState.EXPIRED):
            self.given_back = max(0, self.request.units - self.drawn)
        return True

    def finish_if_drained(self) -> None:
        """A draw has ended: with the last one a reservation that drains is over."""
        if not self.in_flight:
            self.handle_event(ReservationEvent.SPENT if self.window_ended else ReservationEvent.EMPTY)


@dataclass(frozen=True, slots=True)
class Capacity:
    """What plan and fleet can hold: micro-units a second of the fleet that may be set aside, and an account's ceiling
    (rate a second and burst in micro-units; 0: none)."""

    fleet_rate: int
    ceiling_rate: int = 0
    ceiling_burst: int = 0


def peak_rate(wishes: Iterable[ReservationRequest]) -> float:
    """The most micro-units a second that wishes ask for at any one time, each spread evenly over its window."""
    edges = list[tuple[int, int, float]]()
    for request in wishes:
        rate = request.units * 1000 / (request.end - request.start)
        edges += [
            (request.start, 1, rate),
            (request.end, 0, -rate),
        ]  # what ends at an instant leaves before what begins
    now = most = 0.0
    for _, _, rate in sorted(edges):
        now += rate
        most = max(most, now)
    return most


class Reservations:
    """All reservations of one installation, by key."""

    def __init__(self) -> None:
        self.by_key = dict[str, Reservation]()

    def reserve(self, request: ReservationRequest, room: Capacity) -> Reservation:
        """Set aside, or refuse; the same key and wish again change nothing. ``ReservationError`` for bad input."""
        request.check()
        if (known := self.by_key.get(request.key)) is not None:
            if known.request != request:
                raise ReservationError(f"key: {request.key!r} names another reservation; expected a new key")
            return known
        open_ = [r for r in self.by_key.values() if r.state not in TERMINAL_STATES]
        if len(open_) >= MAX_OPEN_RESERVATIONS:
            raise ReservationError(f"expected at most {MAX_OPEN_RESERVATIONS} reservations that are not over")
        one = self.by_key[request.key] = Reservation(request)
        one.handle_event(
            ReservationEvent.ADMITTED if self._fits(request, open_, room) else ReservationEvent.REFUSED
        )
        return one

    @staticmethod
    def _fits(request: ReservationRequest, open_: list[Reservation], room: Capacity) -> bool:
        beside = [r.request for r in open_ if r.request.start < request.end and request.start < r.request.end]
        if peak_rate([*beside, request]) > room.fleet_rate:
            return False
        if room.ceiling_rate <= 0:
            return True
        own = [w for w in beside if w.account == request.account]
        # Any span of the window must hold it: what is reserved beyond the rate comes out of the burst.
        over = peak_rate([*own, request]) - room.ceiling_rate
        return over <= 0 or request.units + sum(w.units for w in own) <= (
            room.ceiling_burst + room.ceiling_rate * (request.end - request.start) // 1000
        )

    def tick(self, now: int) -> list[Reservation]:
        """Windows begin and end; what changed."""
        changed = []
        for one in self.by_key.values():
            begun = one.request.start <= now and one.handle_event(ReservationEvent.BEGUN)
            ended = one.request.end <= now and one.handle_event(ReservationEvent.OVER)
            if begun or ended:
                changed.append(one)
        return changed

    def release(self, key: str) -> Reservation:
        """Give back what is not drawn; a second time changes nothing."""
        if (one := self.by_key.get(key)) is None:
            raise ReservationError(f"key: no reservation is named {key!r}")
        one.handle_event(ReservationEvent.RELEASE)
        return one

    def draw(self, key: str, request: str, units: int) -> bool:
        """Whether a request may draw its guess; the same request again draws nothing more."""
        one = self.by_key.get(key)
        if one is None or units < 0:
            return False
        if request in one.in_flight:
            return True
        if (
            one.state is not ReservationState.ACTIVE
            or one.available_units < units
            or len(one.in_flight) >= MAX_IN_FLIGHT_DRAWS
        ):
            return False
        one.in_flight[request] = units
        return True

    def settle(self, key: str, request: str, true: int) -> int:
        """A request that drew has ended with so many true micro-units (0: it never ran). The correction that a late
        one makes: true units less the guess, of what was counted as drawn when the reservation was over."""
        one = self.by_key.get(key)
        if one is None or true < 0 or request not in one.in_flight:
            return 0
        guess = one.in_flight.pop(request)
        one.drawn += true
        one.finish_if_drained()
        return true - guess

    def correct(self, key: str, by: int) -> None:
        """True units that differ from what was settled, known after all: beside what was given back, never in it."""
        if (one := self.by_key.get(key)) is not None:
            one.corrections += by
