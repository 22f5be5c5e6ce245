"""Both sides of a takeover as one table: what each message, end or time-out leads to. No I/O and no clock.

The predecessor stops taking connections, offers its listener and its state, and goes on where the successor says that
it serves. Until then nothing is given up: a successor that dies has served nobody, so that the predecessor takes all
of its state back. One that is only late may serve yet, so that what was split stays split. A successor that gets no
whole offer in time starts alone, with the little that a restart knows.
"""

from __future__ import annotations

from enum import Enum


class TakeoverState(Enum):
    """Where a side stands."""

    WATCHING = "watching"  # predecessor: nobody has come
    OFFERED = "offered"  # its connections wait in the kernel, its state is out
    HANDED_OVER = "handed"  # the successor serves
    ASKING = "asking"  # successor: has said hello
    RECEIVING = "receiving"  # the offer comes in parts
    SERVING = "serving"  # beside its predecessor
    ALONE = "alone"  # there is no predecessor, or none any more


class TakeoverEvent(Enum):
    """What a side hears of the other."""

    HELLO = "hello"
    OFFER = "offer"
    OFFER_COMPLETE = "whole"  # all parts, and version and checksum fit
    INVALID = "bad"  # a message or a snapshot that cannot be used
    SERVING = "serving"
    ENDED = "ended"  # the connection ended, or never came up
    TIMEOUT = "late"  # the wait for the next message is over


class TakeoverAction(Enum):
    """What a side does then, in this order."""

    PAUSE = "pause"  # take no connections; they wait in the kernel
    OFFER = "offer"
    HAND_OVER = "hand"  # pass connections on as they come to rest
    TAKE_BACK = "take back"  # all of the state that was split
    RESUME = "resume"  # take connections again
    CLOSE_CHANNEL = "drop"  # end the connection between the two
    ADOPT = "adopt"
    START = "start"  # alone, as after a restart
    FORGET_PREDECESSOR = "forget"  # what the predecessor held counts no more


TRANSITIONS: dict[tuple[TakeoverState, TakeoverEvent], tuple[TakeoverState, tuple[TakeoverAction, ...]]] = {
    (TakeoverState.WATCHING, TakeoverEvent.HELLO): (
        TakeoverState.OFFERED,
        (TakeoverAction.PAUSE, TakeoverAction.OFFER),
    ),
    (TakeoverState.WATCHING, TakeoverEvent.INVALID): (
        TakeoverState.WATCHING,
        (TakeoverAction.CLOSE_CHANNEL,),
    ),
    (TakeoverState.WATCHING, TakeoverEvent.TIMEOUT): (
        TakeoverState.WATCHING,
        (TakeoverAction.CLOSE_CHANNEL,),
    ),
    (TakeoverState.WATCHING, TakeoverEvent.ENDED): (TakeoverState.WATCHING, ()),
    (TakeoverState.OFFERED, TakeoverEvent.SERVING): (TakeoverState.HANDED_OVER, (TakeoverAction.HAND_OVER,)),
    (TakeoverState.OFFERED, TakeoverEvent.ENDED): (
        TakeoverState.WATCHING,
        (TakeoverAction.TAKE_BACK, TakeoverAction.RESUME),
    ),
    (TakeoverState.OFFERED, TakeoverEvent.INVALID): (
        TakeoverState.WATCHING,
        (TakeoverAction.CLOSE_CHANNEL, TakeoverAction.RESUME),
    ),
    (TakeoverState.OFFERED, TakeoverEvent.TIMEOUT): (
        TakeoverState.WATCHING,
        (TakeoverAction.CLOSE_CHANNEL, TakeoverAction.RESUME),
    ),
    (TakeoverState.HANDED_OVER, TakeoverEvent.ENDED): (TakeoverState.WATCHING, (TakeoverAction.RESUME,)),
    (TakeoverState.HANDED_OVER, TakeoverEvent.INVALID): (
        TakeoverState.WATCHING,
        (TakeoverAction.CLOSE_CHANNEL, TakeoverAction.RESUME),
    ),
    (TakeoverState.ASKING, TakeoverEvent.OFFER): (TakeoverState.RECEIVING, ()),
    (TakeoverState.ASKING, TakeoverEvent.ENDED): (TakeoverState.ALONE, (TakeoverAction.START,)),
    (TakeoverState.ASKING, TakeoverEvent.INVALID): (
        TakeoverState.ALONE,
        (TakeoverAction.CLOSE_CHANNEL, TakeoverAction.START),
    ),
    (TakeoverState.ASKING, TakeoverEvent.TIMEOUT): (
        TakeoverState.ALONE,
        (TakeoverAction.CLOSE_CHANNEL, TakeoverAction.START),
    ),
    (TakeoverState.RECEIVING, TakeoverEvent.OFFER_COMPLETE): (TakeoverState.SERVING, (TakeoverAction.ADOPT,)),
    (TakeoverState.RECEIVING, TakeoverEvent.ENDED): (TakeoverState.ALONE, (TakeoverAction.START,)),
    (TakeoverState.RECEIVING, TakeoverEvent.INVALID): (
        TakeoverState.ALONE,
        (TakeoverAction.CLOSE_CHANNEL, TakeoverAction.START),
    ),
    (TakeoverState.RECEIVING, TakeoverEvent.TIMEOUT): (
        TakeoverState.ALONE,
        (TakeoverAction.CLOSE_CHANNEL, TakeoverAction.START),
    ),
    (TakeoverState.SERVING, TakeoverEvent.ENDED): (TakeoverState.ALONE, (TakeoverAction.FORGET_PREDECESSOR,)),
    (TakeoverState.SERVING, TakeoverEvent.INVALID): (
        TakeoverState.ALONE,
        (TakeoverAction.CLOSE_CHANNEL, TakeoverAction.FORGET_PREDECESSOR),
    ),
}
# Seconds that each state may last. Connections wait in the kernel while an offer is out; the platform waits 6 s in all.
STATE_TIMEOUT_SECONDS = {TakeoverState.OFFERED: 2.0, TakeoverState.ASKING: 1.5, TakeoverState.RECEIVING: 1.5}


class TakeoverMachine:
    """One process's side. What has no row is of a peer that does not keep to the table:
    ``INVALID`` where that has one."""

    def __init__(self, state: TakeoverState) -> None:
        self.state = state

    def __repr__(self) -> str:
        return f"<Side {self.state.value}>"

    def handle(self, event: TakeoverEvent) -> tuple[TakeoverAction, ...]:
        """The state moves on; what is to be done for it."""
        row = TRANSITIONS.get((self.state, event)) or TRANSITIONS.get((self.state, TakeoverEvent.INVALID))
        if row is None:
            return ()
        self.state, actions = row
        return actions
