"""The calendar in force, the one scheduled to follow it, and their encoding as documents for other limiters.

No I/O, no clock. The newest calendar is the one with the highest version, then the highest digest, so that all
limiters choose the same one. It is in force from its instant on and replaces every earlier version, including one that
has not come into force yet. The store never goes back to an older version.
"""

from __future__ import annotations

from datetime import UTC, datetime, time
from enum import Enum
from typing import Any

import msgspec

from cypresspulley.closing.calendar import Calendar, Place
from cypresspulley.closing.options import WEEKDAY_KEYS, calendar_from
from cypresspulley.closing.row import ACCOUNT_BYTES, pack_account
from cypresspulley.fleet.records import MAX_DOCUMENT_BYTES
from cypresspulley.operators import OperatorsError


class AddResult(Enum):
    """The result of adding a calendar to a store. The values are written to the history."""

    SCHEDULED = "held"
    IN_FORCE = "force"
    DUPLICATE = "known"
    OUTDATED = "older"


def encode_calendar(calendar: Calendar) -> bytes:
    """Encode a calendar as a document. Equal calendars give equal bytes.

    Raise ``OperatorsError`` if the document would exceed ``MAX_DOCUMENT_BYTES`` bytes.
    """
    places = {name: _place_table(place) for name, place in sorted(calendar.places.items())}
    accounts = {name: b"" for name in places}
    for account, place in sorted(calendar.accounts.items()):
        accounts[place] += pack_account(account)
    body = msgspec.msgpack.encode([calendar.version, calendar.in_force, places, accounts])
    if len(body) > MAX_DOCUMENT_BYTES:
        raise OperatorsError(
            f"calendar {calendar.version}: expected at most {MAX_DOCUMENT_BYTES} bytes of places and accounts, "
            f"got {len(body)}"
        )
    return body


def _place_table(place: Place) -> dict[str, Any]:
    def days(table: Any) -> dict[str, list[str]]:
        return {day.isoformat(): _format_times(times) for day, times in sorted(table.items())}

    return {
        "zone": place.zone,
        "weekdays": {day: _format_times(t) for day, t in zip(WEEKDAY_KEYS, place.weekdays, strict=True)},
        "holidays": sorted(day.isoformat() for day in place.holidays), "special": days(place.special),
        "changes": [{"date": day, "closes": times} for day, times in days(place.changes).items()],
    }  # fmt: skip


def _format_times(times: tuple[time, ...]) -> list[str]:
    return [each.isoformat() for each in times]


def decode_calendar(body: bytes) -> Calendar:
    """Decode a document and validate it like a calendar file. Raise ``OperatorsError`` if it is invalid."""
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


class CalendarStore:
    """Holds ``newest``, the calendar that limiters agree on, and ``current``, the one last found in force."""

    def __init__(self) -> None:
        self.current: Calendar | None = None
        self.newest: Calendar | None = None
        self.digest = ""

    def __repr__(self) -> str:
        return f"<CalendarStore {self.current!r}, newest {self.newest!r}>"

    @property
    def rank(self) -> tuple[int, str]:
        """The version and digest of the newest calendar. The calendar of the higher rank is the newer one."""
        return (self.newest.version if self.newest is not None else 0), self.digest

    def add(self, calendar: Calendar, digest: str, wall: float) -> AddResult:
        """Add a calendar that was loaded or received. ``wall`` is the latest instant that has certainly passed."""
        rank = calendar.version, digest
        if rank <= self.rank:
            return AddResult.DUPLICATE if rank == self.rank else AddResult.OUTDATED
        self.advance(wall)  # a scheduled calendar survives only if its instant has passed
        self.newest, self.digest = calendar, digest
        return AddResult.IN_FORCE if self.advance(wall) else AddResult.SCHEDULED

    def in_force_at(self, wall: float) -> Calendar | None:
        """Return the calendar in force at an instant, which must not be earlier than in previous calls."""
        newest = self.newest
        return newest if newest is not None and wall >= newest.in_force else self.current

    def advance(self, wall: float) -> bool:
        """Move to the calendar in force at ``wall``, a trusted instant. Return whether that is another one."""
        found = self.in_force_at(wall)
        changed, self.current = found is not self.current, found
        return changed

    def is_near_switch(self, wall: float, bound: float) -> bool:
        """Return whether the newest version comes into force at most ``bound`` seconds before or after ``wall``."""
        return self.newest is not None and abs(wall - self.newest.in_force) <= bound


__all__ = ["AddResult", "CalendarStore", "decode_calendar", "encode_calendar"]
