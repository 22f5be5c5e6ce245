"""The calendar in force, the one that is to follow, and their form as a document for other limiters. No I/O, no clock.

The newest version is the one of the highest number, then of the highest digest: all limiters come to the same. It is in
force from its instant on, and replaces all before it, also what has not come into force yet. It never goes back.
"""

from __future__ import annotations

from datetime import UTC, datetime, time
from enum import Enum
from typing import Any

import msgspec

from cypresspulley.closing.calendar import Calendar, Place
from cypresspulley.closing.options import DAYS, calendar_from
from cypresspulley.closing.row import ACCOUNT_BYTES, pack_account
from cypresspulley.fleet.records import MOST_DOCUMENT
from cypresspulley.operators import OperatorsError


class Taken(Enum):
    """What became of a calendar that was offered to a book."""

    HELD = "held"
    FORCE = "force"
    KNOWN = "known"
    OLDER = "older"


def encode(calendar: Calendar) -> bytes:
    """A calendar as a document; ``OperatorsError`` where it is too large for one. Equal calendars give equal bytes."""
    places = {name: _place(place) for name, place in sorted(calendar.places.items())}
    accounts = {name: b"" for name in places}
    for account, place in sorted(calendar.accounts.items()):
        accounts[place] += pack_account(account)
    body = msgspec.msgpack.encode([calendar.version, calendar.in_force, places, accounts])
    if len(body) > MOST_DOCUMENT:
        raise OperatorsError(
            f"calendar {calendar.version}: expected at most {MOST_DOCUMENT} bytes of places and accounts, "
            f"got {len(body)}"
        )
    return body


def _place(place: Place) -> dict[str, Any]:
    def days(table: Any) -> dict[str, list[str]]:
        return {day.isoformat(): _times(times) for day, times in sorted(table.items())}

    return {
        "zone": place.zone, "weekdays": {day: _times(t) for day, t in zip(DAYS, place.weekdays, strict=True)},
        "holidays": sorted(day.isoformat() for day in place.holidays), "special": days(place.special),
        "changes": [{"date": day, "closes": times} for day, times in days(place.changes).items()],
    }  # fmt: skip


def _times(times: tuple[time, ...]) -> list[str]:
    return [each.isoformat() for each in times]


def decode(body: bytes) -> Calendar:
    """A document as a calendar, checked as a file is; ``OperatorsError`` where it is none."""
    source = "a calendar from another limiter"
    try:
        version, instant, places, packed = msgspec.msgpack.decode(
            body, type=tuple[int, float, dict[str, dict[str, Any]], dict[str, bytes]]
        )
        in_force = datetime.fromtimestamp(instant, UTC)
    except (msgspec.MsgspecError, ValueError, OverflowError, OSError, RecursionError) as error:
        raise OperatorsError(f"{source}: not readable: {error}") from None
    accounts = dict[str, str]()
    for place, ids in packed.items():
        for at in range(0, len(ids), ACCOUNT_BYTES):
            accounts[f"{int.from_bytes(ids[at : at + ACCOUNT_BYTES]):016x}"] = place
    raw = {"version": version, "in_force": in_force, "places": places, "accounts": accounts}
    return calendar_from(raw, source)


class Book:
    """``newest`` is the one that limiters agree on; ``current`` what was last found in force."""

    def __init__(self) -> None:
        self.current: Calendar | None = None
        self.newest: Calendar | None = None
        self.digest = ""

    def __repr__(self) -> str:
        return f"<Book {self.current!r}, newest {self.newest!r}>"

    @property
    def rank(self) -> tuple[int, str]:
        """What decides which of two versions is the newer one."""
        return (self.newest.version if self.newest is not None else 0), self.digest

    def take(self, calendar: Calendar, digest: str, wall: float) -> Taken:
        """A calendar that was read or heard of. ``wall`` is the latest instant that is surely over."""
        rank = calendar.version, digest
        if rank <= self.rank:
            return Taken.KNOWN if rank == self.rank else Taken.OLDER
        self.advance(wall)  # what was to follow stays only where its instant lies behind
        self.newest, self.digest = calendar, digest
        return Taken.FORCE if self.advance(wall) else Taken.HELD

    def at(self, wall: float) -> Calendar | None:
        """The one in force at an instant that is not before any that was asked for."""
        newest = self.newest
        return newest if newest is not None and wall >= newest.in_force else self.current

    def advance(self, wall: float) -> bool:
        """The clock is known to be there: whether another version is in force now than before."""
        found = self.at(wall)
        changed, self.current = found is not self.current, found
        return changed

    def turning(self, wall: float, bound: float) -> bool:
        """Whether the change from one version to the next lies within ``bound`` seconds, either way."""
        return self.newest is not None and abs(wall - self.newest.in_force) <= bound


__all__ = ["Book", "Taken", "decode", "encode"]
