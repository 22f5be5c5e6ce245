"""The state machine of both sides of a takeover: the effect of each message, disconnect or timeout.

The predecessor stops accepting connections, offers its listener and its state, and hands its connections over once the
successor reports that it is serving. It gives up nothing until then. If the successor dies first, it has served nobody,
so the predecessor takes all of its state back. If the successor is only late, it may still start to serve: the state
stays split, and the predecessor accepts connections again and has the refills meanwhile. A successor that does not
receive a complete offer in time starts alone, with the little that is known after a restart. A process that leaves and
has closed its listener offers nothing any more: however its own successor ends, the next one is left to whoever serves.
This module does no I/O and reads no clock.
"""

from __future__ import annotations

from enum import Enum


class TakeoverState(Enum):
    """The state of one side of a takeover."""

    WATCHING = "watching"  # predecessor: no successor has connected
    OFFERED = "offered"  # predecessor: new connections wait in the kernel, the state has been sent
    LATE = "late"  # predecessor: the same, but the successor takes too long; this process accepts connections again
    HANDED_OVER = "handed"  # predecessor: the successor is serving
    LEAVING = "leaving"  # predecessor: it has closed its listener, and no successor is connected
    LEAVING_WITH_SUCCESSOR = (
        "leaving, handed"  # the same, while a successor has been offered the state, or serves
    )
    ASKING = "asking"  # successor: has sent hello
    RECEIVING = "receiving"  # successor: is receiving the parts of the offer
    SERVING = "serving"  # successor: serves while its predecessor finishes
    ALONE = "alone"  # successor: there is no predecessor, or it has ended


class TakeoverEvent(Enum):
    """An event that one side observes of the other."""

    HELLO = "hello"
    OFFER = "offer"
    OFFER_COMPLETE = "whole"  # all parts have arrived, and version and checksum match
    INVALID = "bad"  # a message or a snapshot that cannot be used
    SERVING = "serving"
    ENDED = "ended"  # the connection closed, or was never established
    LEAVE = "leave"  # this process closes its listener, before it ends
    TIMEOUT = "late"  # no message arrived within the state's timeout


class TakeoverAction(Enum):
    """An action that one side takes on a transition; actions are executed in the order given."""

    PAUSE = "pause"  # accept no connections; they wait in the kernel
    OFFER = "offer"
    HAND_OVER = "hand"  # pass connections to the successor as they become idle
    TAKE_BACK = "take back"  # restore all of the state that was split
    COUNT_AS_USED = "count as used"  # whatever was split and is not taken back
    REFILL = "refill"  # refill stores here, while a late successor serves nobody
    STOP_REFILLS = "stop refills"
    RESUME = "resume"  # accept connections again, unless this process leaves
    LISTEN = "listen"  # wait for the next successor
    STOP_LISTENING = "stop listening"
    CLOSE_CHANNEL = "drop"  # close the connection between the processes
    ADOPT = "adopt"
    START = "start"  # start alone, as after a restart
    FORGET_PREDECESSOR = "forget"  # stop counting the predecessor's open attempts


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
        (TakeoverAction.TAKE_BACK, TakeoverAction.RESUME, TakeoverAction.LISTEN),
    ),
    (TakeoverState.OFFERED, TakeoverEvent.INVALID): (
        TakeoverState.WATCHING,
        (
            TakeoverAction.CLOSE_CHANNEL,
            TakeoverAction.COUNT_AS_USED,
            TakeoverAction.RESUME,
            TakeoverAction.LISTEN,
        ),
    ),
    (TakeoverState.OFFERED, TakeoverEvent.TIMEOUT): (
        TakeoverState.LATE,
        (TakeoverAction.REFILL, TakeoverAction.RESUME),
    ),
    (TakeoverState.LATE, TakeoverEvent.SERVING): (
        TakeoverState.HANDED_OVER,
        (TakeoverAction.PAUSE, TakeoverAction.STOP_REFILLS, TakeoverAction.HAND_OVER),
    ),
    (TakeoverState.LATE, TakeoverEvent.ENDED): (
        TakeoverState.WATCHING,
        (TakeoverAction.TAKE_BACK, TakeoverAction.LISTEN),
    ),
    (TakeoverState.LATE, TakeoverEvent.INVALID): (
        TakeoverState.WATCHING,
        (TakeoverAction.CLOSE_CHANNEL, TakeoverAction.COUNT_AS_USED, TakeoverAction.LISTEN),
    ),
    (TakeoverState.LATE, TakeoverEvent.TIMEOUT): (
        TakeoverState.WATCHING,
        (TakeoverAction.CLOSE_CHANNEL, TakeoverAction.COUNT_AS_USED, TakeoverAction.LISTEN),
    ),
    (TakeoverState.LATE, TakeoverEvent.LEAVE): (TakeoverState.LEAVING_WITH_SUCCESSOR, ()),
    (TakeoverState.HANDED_OVER, TakeoverEvent.ENDED): (
        TakeoverState.WATCHING,
        (TakeoverAction.COUNT_AS_USED, TakeoverAction.RESUME, TakeoverAction.LISTEN),
    ),
    (TakeoverState.HANDED_OVER, TakeoverEvent.INVALID): (
        TakeoverState.WATCHING,
        (
            TakeoverAction.CLOSE_CHANNEL,
            TakeoverAction.COUNT_AS_USED,
            TakeoverAction.RESUME,
            TakeoverAction.LISTEN,
        ),
    ),
    (TakeoverState.WATCHING, TakeoverEvent.LEAVE): (
        TakeoverState.LEAVING,
        (TakeoverAction.STOP_LISTENING,),
    ),
    (TakeoverState.OFFERED, TakeoverEvent.LEAVE): (TakeoverState.LEAVING_WITH_SUCCESSOR, ()),
    (TakeoverState.HANDED_OVER, TakeoverEvent.LEAVE): (TakeoverState.LEAVING_WITH_SUCCESSOR, ()),
    (TakeoverState.LEAVING_WITH_SUCCESSOR, TakeoverEvent.SERVING): (
        TakeoverState.LEAVING_WITH_SUCCESSOR,
        (TakeoverAction.HAND_OVER,),
    ),
    (TakeoverState.LEAVING_WITH_SUCCESSOR, TakeoverEvent.ENDED): (
        TakeoverState.LEAVING,
        (TakeoverAction.COUNT_AS_USED, TakeoverAction.RESUME),
    ),
    (TakeoverState.LEAVING_WITH_SUCCESSOR, TakeoverEvent.INVALID): (
        TakeoverState.LEAVING,
        (TakeoverAction.CLOSE_CHANNEL, TakeoverAction.COUNT_AS_USED, TakeoverAction.RESUME),
    ),
    (TakeoverState.LEAVING, TakeoverEvent.ENDED): (TakeoverState.LEAVING, ()),
    (TakeoverState.LEAVING, TakeoverEvent.LEAVE): (TakeoverState.LEAVING, ()),
    (TakeoverState.LEAVING, TakeoverEvent.INVALID): (TakeoverState.LEAVING, (TakeoverAction.CLOSE_CHANNEL,)),
    (TakeoverState.LEAVING_WITH_SUCCESSOR, TakeoverEvent.LEAVE): (TakeoverState.LEAVING_WITH_SUCCESSOR, ()),
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
# Longest time in each state. New connections wait in the kernel while an offer is out; the platform allows 6 s for the
# whole takeover.
STATE_TIMEOUT_SECONDS = {
    TakeoverState.OFFERED: 2.0,
    TakeoverState.LATE: 6.0,
    TakeoverState.ASKING: 1.5,
    TakeoverState.RECEIVING: 1.5,
}


class TakeoverMachine:
    """The state machine of one process's side.

    An event without a transition means that the other process violates the protocol. It is handled as ``INVALID`` if
    the state has a transition for that.
    """

    def __init__(self, state: TakeoverState) -> None:
        self.state = state

    def __repr__(self) -> str:
        return f"<TakeoverMachine {self.state.value}>"

    def handle(self, event: TakeoverEvent) -> tuple[TakeoverAction, ...]:
        """Make the transition for an event, and return the actions to take."""
        row = TRANSITIONS.get((self.state, event)) or TRANSITIONS.get((self.state, TakeoverEvent.INVALID))
        if row is None:
            return ()
        self.state, actions = row
        return actions
