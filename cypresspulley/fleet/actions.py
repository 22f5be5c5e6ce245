"""What the detector is told, and what it wants done."""

from __future__ import annotations

from dataclasses import dataclass

from cypresspulley.fleet.records import Member

# Events


@dataclass(frozen=True, slots=True)
class Started:
    """The channel is open."""


@dataclass(frozen=True, slots=True)
class TimerFired:
    """``Detector.due`` has come."""


@dataclass(frozen=True, slots=True)
class DatagramReceived:
    data: bytes


@dataclass(frozen=True, slots=True)
class LeaveRequested:
    """This process has begun to end."""


@dataclass(frozen=True, slots=True)
class Stopped:
    """This process is about to end."""


Event = Started | TimerFired | DatagramReceived | LeaveRequested | Stopped

# Actions


@dataclass(frozen=True, slots=True)
class Send:
    """``address`` is ``host:port`` as a member tells it: it may be no address at all."""

    address: str
    data: bytes


@dataclass(frozen=True, slots=True)
class MemberChanged:
    """The view has another state of a member. ``cause`` as in ``histories.events``: self, probe, told or refuted."""

    member: Member
    cause: str


@dataclass(frozen=True, slots=True)
class Settled:
    settled: bool
    digest: int
    members: int


@dataclass(frozen=True, slots=True)
class LifeRaised:
    """This member has a new life, in which ``held`` is what it holds of the others, tombstones among it."""

    life: int
    held: tuple[Member, ...]
    settled: Settled


@dataclass(frozen=True, slots=True)
class RowAccepted:
    """Another's row is held now, of another life than the one that was held of it."""

    owner: str
    life: int
    subsystem: str


Action = Send | MemberChanged | LifeRaised | Settled | RowAccepted
