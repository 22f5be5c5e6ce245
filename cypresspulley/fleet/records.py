"""Records of the membership view: members, rows, and the interface of the view. No logic beyond the records' order.

Terms are those of SWIM (Das, Gupta, Motivala 2002): member, incarnation, suspicion. A *life* is the generation number
of a process: its wall clock in milliseconds at the start, or one above its former life if that is larger. Instants that
are passed in (``now``) are seconds of one monotonic clock; nothing here reads a clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple, Protocol

MAX_ROW_BYTES = 200  # of the row of one subsystem
MAX_SUBSYSTEMS = 4
MAX_DOCUMENT_BYTES = 65_536  # rows refer to a document by its digest
NAME_PATTERN = r"[A-Za-z0-9][A-Za-z0-9._-]{0,39}"


class MemberState(IntEnum):
    """The state of a member; of two states in one life and incarnation the higher one wins."""

    JOINING = 0  # it has announced itself and has not yet received the view of another member
    ALIVE = 1
    LEAVING = 2  # orderly shutdown: it is not suspected, and takes no new work
    SUSPECTED = 3
    LEFT = 4
    DEAD = 5

    @property
    def present(self) -> bool:
        """Whether the member counts as running: it has not left and is not dead."""
        return self < MemberState.LEFT


class Rank(NamedTuple):
    """The total order of records of one member; a merge keeps the larger one (the join of a chain).

    The end of a life is final regardless of the incarnation, like SWIM's confirm (section 4.2).
    """

    life: int
    ended: bool
    incarnation: int
    state: MemberState


@dataclass(frozen=True, slots=True)
class Member:
    """The record of one limiter. Others send datagrams to its ``address`` (``host:port``)."""

    name: str
    life: int
    incarnation: int
    state: MemberState
    zone: str = ""
    address: str = ""

    @property
    def rank(self) -> Rank:
        return Rank(self.life, not self.state.present, self.incarnation, self.state)


@dataclass(frozen=True, slots=True)
class Row:
    """The state that a member publishes for one subsystem. Only its owner writes it, and it ends with the owner's life.

    ``age`` is the time in seconds since the owner last confirmed the version, as far as this process knows.
    """

    owner: str
    life: int
    version: int
    state: MemberState
    age: float
    body: bytes


class FleetView(Protocol):
    """The interface of the view for ``lanes`` and ``closing``: membership, rows and documents."""

    @property
    def local_name(self) -> str:
        """The name of this limiter."""
        ...

    @property
    def life(self) -> int:
        """The life of this process; it is raised above any later life of this name that others know."""
        ...

    def members(self) -> tuple[Member, ...]:
        """Return all present members, this one included, sorted by name."""
        ...

    def get_member(self, name: str) -> Member | None:
        """Return the record of a member, dead ones included; None for an unknown or forgotten one."""
        ...

    def rows(self, now: float, subsystem: str) -> tuple[Row, ...]:
        """Return the rows of all present members, this one's own included, sorted by owner."""
        ...

    def publish(self, subsystem: str, body: bytes) -> None:
        """Replace this member's row of the subsystem. Raise ``ValueError`` over ``MAX_ROW_BYTES``."""
        ...

    def is_settled(self, now: float) -> bool:
        """Return whether the local digest equals the last digest reported by every present member."""
        ...

    def count_responsive(self, now: float, within: float) -> int:
        """Return how many other present members have sent a datagram within the last ``within`` seconds."""
        ...

    def clock_error(self, now: float) -> tuple[float, float] | None:
        """Return bounds (low, high), in seconds, on this wall clock minus the median of the others' clocks.

        They follow from the round trips of probes; None with too few answers. With ``low > 0`` this clock is ahead by
        at least ``low``.
        """
        ...

    def store_document(self, body: bytes) -> str:
        """Store a document for others and return its digest, 32 hex digits.

        Raise ``ValueError`` over ``MAX_DOCUMENT_BYTES``.
        """
        ...

    def request_document(self, digest: str) -> None:
        """Request a document from any member that has it; ``get_document`` returns it once it has arrived."""
        ...

    def get_document(self, digest: str) -> bytes | None:
        """Return a stored document, verified against its digest; None until it has arrived."""
        ...
