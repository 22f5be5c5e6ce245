"""The states of one limiter process from its start to its end: one table, no I/O and no clock.

A drain is an operator's word and is kept apart from the upgrade: either may come first, and each is taken back by
itself. ``ready`` is what the door's ``readyz`` says, ``healthy`` what clients' fronts are told at ``/healthz``.

A limiter that was emptied by hand is not ready. A successor that takes over a drained limiter says yes all the same
until its predecessor has gone: the platform waits for that yes, and the drain is no fault of the new process.

A second table says what becomes of clients' connections once the process has been told to end (``SHUTDOWN_ACTIONS``).
"""

from __future__ import annotations

from enum import Enum


class LifecycleState(Enum):
    """Of a process: whether it serves, whether operators emptied it, and which side of an upgrade it is on."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"
    SUCCEEDING = "succeeding"  # it serves, and its predecessor is still there
    SUCCEEDING_DRAINED = "succeeding, drained"
    HANDING_OVER = "handing over"  # a successor serves; this process finishes what it has
    HANDING_OVER_DRAINED = "handing over, drained"
    LEAVING = "leaving"


class LifecycleEvent(Enum):
    """What happens to a process."""

    SERVE = "serve"  # clients' connections are taken from now on
    SERVE_AS_SUCCESSOR = "succeed"  # the same, beside a predecessor that is still there
    PREDECESSOR_ENDED = "alone"  # the predecessor has ended
    DRAIN = "drain"
    ACTIVATE = "activate"
    HAND_OVER = "hand over"  # a successor says that it serves
    TAKE_BACK = "take back"  # the successor has ended, and this process has not been told to
    TERMINATE = "term"


State = LifecycleState
Event = LifecycleEvent
TRANSITIONS: dict[tuple[LifecycleState, LifecycleEvent], LifecycleState] = {
    (State.STARTING, Event.SERVE): State.READY,
    (State.STARTING, Event.SERVE_AS_SUCCESSOR): State.SUCCEEDING,
    (State.READY, Event.DRAIN): State.DRAINING,
    (State.READY, Event.ACTIVATE): State.READY,
    (State.READY, Event.HAND_OVER): State.HANDING_OVER,
    (State.DRAINING, Event.DRAIN): State.DRAINING,
    (State.DRAINING, Event.ACTIVATE): State.READY,
    (State.DRAINING, Event.HAND_OVER): State.HANDING_OVER_DRAINED,
    (State.SUCCEEDING, Event.PREDECESSOR_ENDED): State.READY,
    (State.SUCCEEDING, Event.DRAIN): State.SUCCEEDING_DRAINED,
    (State.SUCCEEDING, Event.ACTIVATE): State.SUCCEEDING,
    (State.SUCCEEDING_DRAINED, Event.PREDECESSOR_ENDED): State.DRAINING,
    (State.SUCCEEDING_DRAINED, Event.DRAIN): State.SUCCEEDING_DRAINED,
    (State.SUCCEEDING_DRAINED, Event.ACTIVATE): State.SUCCEEDING,
    # A third process while the first has not ended: the one in the middle hands over like any other.
    (State.SUCCEEDING, Event.HAND_OVER): State.HANDING_OVER,
    (State.SUCCEEDING_DRAINED, Event.HAND_OVER): State.HANDING_OVER_DRAINED,
    (State.HANDING_OVER, Event.DRAIN): State.HANDING_OVER_DRAINED,
    (State.HANDING_OVER, Event.ACTIVATE): State.HANDING_OVER,
    (State.HANDING_OVER, Event.TAKE_BACK): State.READY,
    (State.HANDING_OVER, Event.PREDECESSOR_ENDED): State.HANDING_OVER,
    (State.HANDING_OVER_DRAINED, Event.DRAIN): State.HANDING_OVER_DRAINED,
    (State.HANDING_OVER_DRAINED, Event.ACTIVATE): State.HANDING_OVER,
    (State.HANDING_OVER_DRAINED, Event.TAKE_BACK): State.DRAINING,
    (State.HANDING_OVER_DRAINED, Event.PREDECESSOR_ENDED): State.HANDING_OVER_DRAINED,
    **{(state, Event.TERMINATE): State.LEAVING for state in State},
}
DRAINED_STATES = frozenset({State.DRAINING, State.SUCCEEDING_DRAINED, State.HANDING_OVER_DRAINED})
HANDED_OVER_STATES = frozenset({State.HANDING_OVER, State.HANDING_OVER_DRAINED})
READY_STATES = frozenset({State.READY, State.SUCCEEDING, State.SUCCEEDING_DRAINED, State.HANDING_OVER})


class Lifecycle:
    """Where a process stands. A step without a row in the table changes nothing and is told so."""

    def __init__(self) -> None:
        self.state = LifecycleState.STARTING

    def __repr__(self) -> str:
        return f"<Lifecycle {self.state.value}>"

    def apply(self, event: LifecycleEvent) -> bool:
        """Whether the step has a row from the present state; it is taken then."""
        after = TRANSITIONS.get((self.state, event))
        if after is None:
            return False
        self.state = after
        return True

    @property
    def ready(self) -> bool:
        """What ``readyz`` says."""
        return self.state in READY_STATES

    @property
    def drained(self) -> bool:
        """Whether operators have emptied the limiter, or the process leaves: fronts are told no."""
        return self.state in DRAINED_STATES or self.state is LifecycleState.LEAVING

    @property
    def handed_over(self) -> bool:
        """Whether a successor takes what comes."""
        return self.state in HANDED_OVER_STATES


class ShutdownPhase(Enum):
    """Of a process that was told to end, and that no successor takes over from."""

    ACCEPTING = "taking"  # clients have not heard: what they open and send is taken, and each answer closes its connection
    FINISHING = "finishing"  # no new connections; what was taken is answered
    FINAL = "last"  # SIGKILL is near: what is open has been failed, and what still comes is refused at once


class ConnectionState(Enum):
    """Where a client's connection stands."""

    QUEUED = "queued"  # taken by the machine, not yet by the process
    NEW = "new"  # it has sent nothing yet, and came a moment ago
    IDLE = "idle"  # at rest between two requests, or it came long ago and said nothing
    UNREAD = "unread"  # it looks idle, but bytes of it lie in the machine
    PARTIAL = "part"  # part of a request has come
    UPLOAD = "upload"  # a large body is under way, and passed on as it comes
    AWAITING_ANSWER = "asked"  # one request or several were taken, and the first has no answer yet
    ANSWERING = "answering"  # an answer flows
    LINGERING = "lingering"  # its last answer is written and its sending ended: it is read to the end


class ConnectionAction(Enum):
    """What is done with a connection."""

    KEEP = "keep"
    ACCEPT = "take"
    HALF_CLOSE = "half-close"  # end the sending, read to the end: what crosses is not met by a reset
    REFUSE = "refuse"  # answer 503 and half-close


Phase = ShutdownPhase
Connection = ConnectionState
Action = ConnectionAction
SHUTDOWN_ACTIONS: dict[tuple[ShutdownPhase, ConnectionState], ConnectionAction] = {
    (Phase.ACCEPTING, Connection.QUEUED): Action.ACCEPT,
    **{(Phase.ACCEPTING, place): Action.KEEP for place in Connection if place is not Connection.QUEUED},
    (
        Phase.FINISHING,
        Connection.QUEUED,
    ): Action.ACCEPT,  # once more, before the listener goes: it resets what waits there
    (
        Phase.FINISHING,
        Connection.NEW,
    ): Action.KEEP,  # a request that crosses the end of a connection's first would be priced
    (Phase.FINISHING, Connection.IDLE): Action.HALF_CLOSE,
    (Phase.FINISHING, Connection.UNREAD): Action.KEEP,
    (Phase.FINISHING, Connection.PARTIAL): Action.KEEP,
    (Phase.FINISHING, Connection.UPLOAD): Action.KEEP,
    (Phase.FINISHING, Connection.AWAITING_ANSWER): Action.KEEP,
    (Phase.FINISHING, Connection.ANSWERING): Action.KEEP,
    (Phase.FINISHING, Connection.LINGERING): Action.KEEP,
    (Phase.FINAL, Connection.QUEUED): Action.KEEP,  # there is no listener left
    (Phase.FINAL, Connection.NEW): Action.HALF_CLOSE,
    (Phase.FINAL, Connection.IDLE): Action.HALF_CLOSE,
    (Phase.FINAL, Connection.UNREAD): Action.KEEP,  # it is read in the next turn, and refused
    (
        Phase.FINAL,
        Connection.PARTIAL,
    ): Action.REFUSE,  # not taken yet: nobody has it, and trying again is harmless
    (
        Phase.FINAL,
        Connection.UPLOAD,
    ): Action.KEEP,  # these have been answered in the decisions' place, or flow
    (Phase.FINAL, Connection.AWAITING_ANSWER): Action.KEEP,
    (Phase.FINAL, Connection.ANSWERING): Action.KEEP,
    (Phase.FINAL, Connection.LINGERING): Action.KEEP,
}
