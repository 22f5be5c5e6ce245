"""Events that the detector handles and actions that it returns."""

from __future__ import annotations

from dataclasses import dataclass

from cypresspulley.fleet.records import Member

# Events


@dataclass(frozen=True, slots=True)
class Started:
    """The socket is open."""


@dataclass(frozen=True, slots=True)
class TimerFired:
    """The instant ``Detector.due`` has been reached."""


@dataclass(frozen=True, slots=True)
class DatagramReceived:
    """A datagram has arrived, as raw bytes."""

    data: bytes


@dataclass(frozen=True, slots=True)
class LeaveRequested:
    """This process has begun an orderly shutdown."""


@dataclass(frozen=True, slots=True)
class Stopped:
    """This process is about to exit."""


Event = Started | TimerFired | DatagramReceived | LeaveRequested | Stopped

# Actions


@dataclass(frozen=True, slots=True)
class Send:
    """Send a datagram to ``address``, the ``host:port`` that a member advertises; it is not validated."""

    address: str
    data: bytes


@dataclass(frozen=True, slots=True)
class MemberChanged:
    """The record of a member has changed. ``cause``, as in ``histories.events``, is self, probe, told or refuted."""

    member: Member
    cause: str


@dataclass(frozen=True, slots=True)
class Settled:
    """This member has begun (or ceased) to agree with all others; ``digest`` and ``members`` are its own."""

    settled: bool
    digest: int
    members: int


@dataclass(frozen=True, slots=True)
class LifeRaised:
    """This member has started a new life. ``others`` are its records of the others, tombstones included."""

    life: int
    others: tuple[Member, ...]
    settled: Settled


@dataclass(frozen=True, slots=True)
class RowAccepted:
    """A row of another member was stored that is of another life than the stored row before it."""

    owner: str
    life: int
    subsystem: str


Action = Send | MemberChanged | LifeRaised | Settled | RowAccepted
