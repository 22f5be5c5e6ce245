"""The scenario tables ``[together]``, ``[lanes]`` and ``[closing]`` for limiters as a fleet, each off by default.

They are written to each limiter's operators' file: see ``fleet/options.py``, ``lanes/options.py`` and
``closing/options.py``.
"""

from __future__ import annotations

from typing import Annotated
from zoneinfo import ZoneInfo, ZoneInfoNotFoundError

from pydantic import Field, field_validator, model_validator

from cypresspulley.rehearsal.fields import Name, Positive, Share, Strict

MAX_CLOSINGS = 6  # of one place; a calendar has at most 8 times a day, and faults may add some
LEASE_DRIFT_FACTOR = 1.1  # the limiters' allowance for clock drift, on the lease


class Together(Strict):
    """The limiters are one fleet and track each other's state. Their datagrams go through the harness's relay."""

    installation: Name = "rehearsal"
    period_ms: int = Field(200, ge=50, le=10_000, description="of probes")


class Lane(Strict):
    name: Name
    plans: tuple[Name, ...] = Field(min_length=1)
    floor: Share = 0.0


class Lanes(Strict):
    """Lanes in order of priority, highest first. Lower lanes are limited while the whole fleet is overloaded."""

    lanes: tuple[Lane, ...] = Field(alias="lane", min_length=2, max_length=8)
    period_ms: int | None = Field(None, ge=100, le=10_000)
    spell_s: Positive | None = None
    lease_s: Positive | None = None


class Place(Strict):
    """A place of business. ``closes`` are whole seconds of the run, which calendars have as local times of its zone."""

    name: Name
    zone: str
    closes: tuple[Annotated[int, Field(ge=0, le=600)], ...] = Field((), max_length=MAX_CLOSINGS)

    @field_validator("zone")
    @classmethod
    def _check_zone(cls, zone: str) -> str:
        try:
            ZoneInfo(zone)
        except (ZoneInfoNotFoundError, ValueError, OSError):
            raise ValueError("expected a time zone such as Asia/Kolkata") from None
        return zone


class Closing(Strict):
    """Limiters may cache answers of safe classes until the account's place of business closes."""

    keep: tuple[Name, ...] = Field(min_length=1, description="classes whose answers may be kept")
    share: Share = Field(0.5, description="of the accounts, which ask for it")
    places: tuple[Place, ...] = Field(alias="place", min_length=1, max_length=16)
    clock_bound_ms: int = Field(100, ge=50, le=60_000)
    lease_ms: int = Field(1500, ge=500, le=60_000)
    lost_seconds: int = Field(5, ge=0, le=86_400)
    purge_ms: int = Field(4000, ge=100, le=60_000)
    keep_seconds: int = Field(3600, ge=1, le=604_800)

    @property
    def notice(self) -> float:
        """The least notice in seconds that limiters require before a calendar version comes into force."""
        return (LEASE_DRIFT_FACTOR * self.lease_ms + 2 * self.clock_bound_ms) / 1000 + 0.5

    @model_validator(mode="after")
    def _check_unique_places(self) -> Closing:
        if len({place.name for place in self.places}) != len(self.places):
            raise ValueError("place: two have one name; expected each name once")
        return self


class FleetFault(Strict):
    """The keys of faults between limiters."""

    groups: tuple[tuple[Name, ...], ...] = Field(
        (), description="that do not hear each other; who is in none hears all"
    )
    one_way: bool = Field(
        False, description="what the targets, or the first group, say is not heard; they hear"
    )
    offset: float = Field(0.0, ge=-1e6, le=1e6, description="seconds that a wall clock is ahead")
    ppm: float = Field(0.0, ge=-200_000, le=200_000, description="by which it runs fast")
    place: str = Field("", description="whose closing is told; default: the first")
