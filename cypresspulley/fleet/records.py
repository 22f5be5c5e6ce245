"""Records of the fleet's view: members, rows, and what others may ask of the view. No logic beyond their order.

Terms are those of SWIM (Das, Gupta, Motivala 2002): member, incarnation, suspicion. A *life* is a process's own: the
wall clock in milliseconds at its start, or one above its former life where that is larger. Times that are passed in
(``now``) are seconds of one clock that never steps; nothing here reads a clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple, Protocol

MAX_ROW_BYTES = 200  # bytes of one subsystem's row
MAX_SUBSYSTEMS = 4
MAX_DOCUMENT_BYTES = 65_536  # bytes of a document, which rows name by its digest
NAME_PATTERN = r"[A-Za-z0-9][A-Za-z0-9._-]{0,39}"


class MemberState(IntEnum):
    """A member's state; of one life and incarnation the higher one holds."""

    JOINING = 0  # it has said that it is here, and has not yet the others' view
    ALIVE = 1
    LEAVING = 2  # it ends in order: it is not suspected, and takes nothing new
    SUSPECTED = 3
    LEFT = 4
    DEAD = 5

    @property
    def present(self) -> bool:
        """Whether it counts as running: all but those that have left or are dead."""
        return self < MemberState.LEFT


class Rank(NamedTuple):
    """The order of what is known of one member: the larger one holds. A merge takes the larger (a join of a chain).

    The end of a life is final in it, whatever the incarnation, as SWIM's confirm is (section 4.2).
    """

    life: int
    ended: bool
    incarnation: int
    state: MemberState


@dataclass(frozen=True, slots=True)
class Member:
    """One limiter as the view knows it. ``address`` (``host:port``) is where others send datagrams to it."""

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
    """What a member says of itself for one subsystem. Only its owner writes it; a dead life's row ends with it.

    ``age`` is the seconds since a version of it was last confirmed by its owner, as far as this process knows.
    """

    owner: str
    life: int
    version: int
    state: MemberState
    age: float
    body: bytes


class FleetView(Protocol):
    """What ``lanes`` and ``closing`` may ask of the view, and say through it."""

    @property
    def local_name(self) -> str:
        """This limiter's own name."""
        ...

    @property
    def life(self) -> int:
        """This process's life; it rises above any later one of this name that the others know of."""
        ...

    def members(self) -> tuple[Member, ...]:
        """All members that are present, this one among them, sorted by name."""
        ...

    def get_member(self, name: str) -> Member | None:
        """What is known of one, dead ones included; None for one that was never heard of or is forgotten."""
        ...

    def rows(self, now: float, subsystem: str) -> tuple[Row, ...]:
        """The rows of all present members that have one, this one's own among them, sorted by owner."""
        ...

    def publish(self, subsystem: str, body: bytes) -> None:
        """Say this in place of what was said before. ``ValueError`` over ``MOST_ROW`` bytes."""
        ...

    def is_settled(self, now: float) -> bool:
        """Whether this digest equals that of every member that is held alive, as last told by them."""
        ...

    def count_heard(self, now: float, within: float) -> int:
        """How many other present members have been heard from directly in so many seconds."""
        ...

    def clock_error(self, now: float) -> tuple[float, float] | None:
        """Bounds (low, high), in seconds, on this wall clock minus the middle of the others', by round trips of probes;
        None where too few of the others are known. ``low > 0`` means: this clock is surely ahead by at least that."""
        ...

    def store_document(self, body: bytes) -> str:
        """Hold a document for others to fetch; its digest, 32 hex digits. ``ValueError`` over ``MOST_DOCUMENT``."""
        ...

    def request_document(self, digest: str) -> None:
        """Fetch a document from whichever member has it; ``document`` gives it once it is here."""
        ...

    def get_document(self, digest: str) -> bytes | None:
        """A document that is held, checked against its digest."""
        ...
