"""Both sides of a takeover as one table: what each message, end or time-out leads to. No I/O and no clock.

The predecessor stops taking connections, offers its listener and its state, and goes on where the successor says that
it serves. Until then nothing is given up: a successor that dies has served nobody, so that the predecessor takes all
of its state back. One that is only late may serve yet, so that what was split stays split. A successor that gets no
whole offer in time starts alone, with the little that a restart knows.
"""

from __future__ import annotations

from enum import Enum


class At(Enum):
    """Where a side stands."""

    WATCHING = "watching"  # predecessor: nobody has come
    OFFERED = "offered"  # its connections wait in the kernel, its state is out
    HANDED = "handed"  # the successor serves
    ASKING = "asking"  # successor: has said hello
    RECEIVING = "receiving"  # the offer comes in parts
    SERVING = "serving"  # beside its predecessor
    ALONE = "alone"  # there is no predecessor, or none any more


class Heard(Enum):
    """What a side hears of the other."""

    HELLO = "hello"
    OFFER = "offer"
    WHOLE = "whole"  # all parts, and version and checksum fit
    BAD = "bad"  # a message or a snapshot that cannot be used
    SERVING = "serving"
    ENDED = "ended"  # the connection ended, or never came up
    LATE = "late"  # the wait for the next message is over


class Do(Enum):
    """What a side does then, in this order."""

    PAUSE = "pause"  # take no connections; they wait in the kernel
    OFFER = "offer"
    HAND = "hand"  # pass connections on as they come to rest
    TAKE_BACK = "take back"  # all of the state that was split
    RESUME = "resume"  # take connections again
    DROP = "drop"  # end the connection between the two
    ADOPT = "adopt"
    START = "start"  # alone, as after a restart
    FORGET = "forget"  # what the predecessor held counts no more


TABLE: dict[tuple[At, Heard], tuple[At, tuple[Do, ...]]] = {
    (At.WATCHING, Heard.HELLO): (At.OFFERED, (Do.PAUSE, Do.OFFER)),
    (At.WATCHING, Heard.BAD): (At.WATCHING, (Do.DROP,)),
    (At.WATCHING, Heard.LATE): (At.WATCHING, (Do.DROP,)),
    (At.WATCHING, Heard.ENDED): (At.WATCHING, ()),
    (At.OFFERED, Heard.SERVING): (At.HANDED, (Do.HAND,)),
    (At.OFFERED, Heard.ENDED): (At.WATCHING, (Do.TAKE_BACK, Do.RESUME)),
    (At.OFFERED, Heard.BAD): (At.WATCHING, (Do.DROP, Do.RESUME)),
    (At.OFFERED, Heard.LATE): (At.WATCHING, (Do.DROP, Do.RESUME)),
    (At.HANDED, Heard.ENDED): (At.WATCHING, (Do.RESUME,)),
    (At.HANDED, Heard.BAD): (At.WATCHING, (Do.DROP, Do.RESUME)),
    (At.ASKING, Heard.OFFER): (At.RECEIVING, ()),
    (At.ASKING, Heard.ENDED): (At.ALONE, (Do.START,)),
    (At.ASKING, Heard.BAD): (At.ALONE, (Do.DROP, Do.START)),
    (At.ASKING, Heard.LATE): (At.ALONE, (Do.DROP, Do.START)),
    (At.RECEIVING, Heard.WHOLE): (At.SERVING, (Do.ADOPT,)),
    (At.RECEIVING, Heard.ENDED): (At.ALONE, (Do.START,)),
    (At.RECEIVING, Heard.BAD): (At.ALONE, (Do.DROP, Do.START)),
    (At.RECEIVING, Heard.LATE): (At.ALONE, (Do.DROP, Do.START)),
    (At.SERVING, Heard.ENDED): (At.ALONE, (Do.FORGET,)),
    (At.SERVING, Heard.BAD): (At.ALONE, (Do.DROP, Do.FORGET)),
}
# Seconds that each state may last. Connections wait in the kernel while an offer is out; the platform waits 6 s in all.
WAITS = {At.OFFERED: 2.0, At.ASKING: 1.5, At.RECEIVING: 1.5}


class Side:
    """One process's side. What has no row is of a peer that does not keep to the table: ``BAD`` where that has one."""

    def __init__(self, at: At) -> None:
        self.at = at

    def __repr__(self) -> str:
        return f"<Side {self.at.value}>"

    def hear(self, heard: Heard) -> tuple[Do, ...]:
        """The state moves on; what is to be done for it."""
        row = TABLE.get((self.at, heard)) or TABLE.get((self.at, Heard.BAD))
        if row is None:
            return ()
        self.at, do = row
        return do
