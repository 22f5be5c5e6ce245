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

    wish: ReservationRequest
    at: ReservationState = ReservationState.REQUESTED
    drawn: int = 0  # settled micro-units
    flying: dict[str, int] = field(default_factory=dict)  # guesses of the requests in flight
    given_back: int = 0
    corrections: int = 0  # micro-units that were settled after it was over
    past: bool = False  # its window is
    plan: str = ""  # the event's plan, under which limiters draw on it
    since: int = 0  # Unix milliseconds from which it takes no new draws

    def __repr__(self) -> str:
        w = self.wish
        return f"<Reservation {w.key} of {w.account}: {self.at.value}, {self.drawn / MICRO_PER_UNIT:g} of {w.units / MICRO_PER_UNIT:g}>"

    @property
    def left(self) -> int:
        """Micro-units that a new draw may have; 0 unless it is active."""
        if self.at is not ReservationState.ACTIVE:
            return 0
        return max(0, self.wish.units - self.drawn - sum(self.flying.values()))

    def hear(self, what: ReservationEvent) -> bool:
        """Whether that changed anything."""
        now = TRANSITIONS.get((self.at, what))
        if now is None:
            return False
        self.at, self.past = now, self.past or what is ReservationEvent.OVER
        if now is ReservationState.DRAINING:
            self.ended()
        elif now in (ReservationState.RELEASED, ReservationState.EXPIRED):
            self.given_back = max(0, self.wish.units - self.drawn)
        return True

    def ended(self) -> None:
        """A draw has ended: with the last one a reservation that drains is over."""
        if not self.flying:
            self.hear(ReservationEvent.SPENT if self.past else ReservationEvent.EMPTY)


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
    for wish in wishes:
        rate = wish.units * 1000 / (wish.end - wish.start)
        edges += [
            (wish.start, 1, rate),
            (wish.end, 0, -rate),
        ]  # what ends at an instant leaves before what begins
    now = most = 0.0
    for _, _, rate in sorted(edges):
        now += rate
        most = max(most, now)
    return most


class Reservations:
    """All reservations of one installation, by key."""

    def __init__(self) -> None:
        self.all = dict[str, Reservation]()

    def ask(self, wish: ReservationRequest, room: Capacity) -> Reservation:
        """Set aside, or refuse; the same key and wish again change nothing. ``ReservationError`` for bad input."""
        wish.check()
        if (known := self.all.get(wish.key)) is not None:
            if known.wish != wish:
                raise ReservationError(f"key: {wish.key!r} names another reservation; expected a new key")
            return known
        open_ = [r for r in self.all.values() if r.at not in TERMINAL_STATES]
        if len(open_) >= MAX_OPEN_RESERVATIONS:
            raise ReservationError(f"expected at most {MAX_OPEN_RESERVATIONS} reservations that are not over")
        one = self.all[wish.key] = Reservation(wish)
        one.hear(ReservationEvent.ADMITTED if self._fits(wish, open_, room) else ReservationEvent.REFUSED)
        return one

    @staticmethod
    def _fits(wish: ReservationRequest, open_: list[Reservation], room: Capacity) -> bool:
        beside = [r.wish for r in open_ if r.wish.start < wish.end and wish.start < r.wish.end]
        if peak_rate([*beside, wish]) > room.fleet_rate:
            return False
        if room.ceiling_rate <= 0:
            return True
        own = [w for w in beside if w.account == wish.account]
        # Any span of the window must hold it: what is reserved beyond the rate comes out of the burst.
        over = peak_rate([*own, wish]) - room.ceiling_rate
        return over <= 0 or wish.units + sum(w.units for w in own) <= (
            room.ceiling_burst + room.ceiling_rate * (wish.end - wish.start) // 1000
        )

    def tick(self, now: int) -> list[Reservation]:
        """Windows begin and end; what changed."""
        changed = []
        for one in self.all.values():
            begun = one.wish.start <= now and one.hear(ReservationEvent.BEGUN)
            ended = one.wish.end <= now and one.hear(ReservationEvent.OVER)
            if begun or ended:
                changed.append(one)
        return changed

    def release(self, key: str) -> Reservation:
        """Give back what is not drawn; a second time changes nothing."""
        if (one := self.all.get(key)) is None:
            raise ReservationError(f"key: no reservation is named {key!r}")
        one.hear(ReservationEvent.RELEASE)
        return one

    def draw(self, key: str, request: str, units: int) -> bool:
        """Whether a request may draw its guess; the same request again draws nothing more."""
        one = self.all.get(key)
        if one is None or units < 0:
            return False
        if request in one.flying:
            return True
        if (
            one.at is not ReservationState.ACTIVE
            or one.left < units
            or len(one.flying) >= MAX_IN_FLIGHT_DRAWS
        ):
            return False
        one.flying[request] = units
        return True

    def settle(self, key: str, request: str, true: int) -> int:
        """A request that drew has ended with so many true micro-units (0: it never ran). The correction that a late
        one makes: true units less the guess, of what was counted as drawn when the reservation was over."""
        one = self.all.get(key)
        if one is None or true < 0 or request not in one.flying:
            return 0
        guess = one.flying.pop(request)
        one.drawn += true
        one.ended()
        return true - guess

    def correct(self, key: str, by: int) -> None:
        """True units that differ from what was settled, known after all: beside what was given back, never in it."""
        if (one := self.all.get(key)) is not None:
            one.corrections += by
