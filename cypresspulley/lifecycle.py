"""State machines of a limiter process, as two transition tables without I/O or clock.

``TRANSITIONS`` covers the process from start to exit. A drain ordered by operators and an upgrade are independent:
either may come first, and each is undone on its own. ``ready`` is the answer to ``readyz`` on the operators' interface;
``drained`` is what load balancers in front of the limiter learn from ``/healthz``.

A limiter that operators drained is not ready. A successor that takes over from a drained limiter reports ready
nevertheless until its predecessor has exited: the platform waits for a ready successor, and the drain says nothing
about the health of the new process.

``SHUTDOWN_ACTIONS`` says what happens to each client connection after the process was asked to stop.
"""

from __future__ import annotations

from enum import Enum


class LifecycleState(Enum):
    """State of a process: whether it serves, whether it is drained, and which side of an upgrade it is on."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"
    SUCCEEDING = "succeeding"  # serves while its predecessor is still running
    SUCCEEDING_DRAINED = "succeeding, drained"
    HANDING_OVER = "handing over"  # a successor serves; this process finishes its open requests
    HANDING_OVER_DRAINED = "handing over, drained"
    LEAVING = "leaving"


class LifecycleEvent(Enum):
    """Event that may change the state of a process."""

    SERVE = "serve"  # client connections are accepted from now on
    SERVE_AS_SUCCESSOR = "succeed"  # the same, while a predecessor is still running
    PREDECESSOR_ENDED = "alone"
    DRAIN = "drain"
    ACTIVATE = "activate"
    HAND_OVER = "hand over"  # a successor reports that it serves
    TAKE_BACK = "take back"  # the successor ended, and this process was not asked to stop
    TERMINATE = "term"


# Short names for the table below.
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
    # A third process may start before the first has ended: the one between them hands over like any other.
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
    """Current state of a process; ``apply`` moves it along ``TRANSITIONS``."""

    def __init__(self) -> None:
        self.state = LifecycleState.STARTING
        self.drained_by_operators = False  # outlasts the process, which is drained by itself once it leaves

    def __repr__(self) -> str:
        return f"<Lifecycle {self.state.value}>"

    def apply(self, event: LifecycleEvent) -> bool:
        """Apply an event and return True; return False and change nothing if the state has no transition for it."""
        next_state = TRANSITIONS.get((self.state, event))
        if next_state is None:
            return False
        self.state = next_state
        if next_state is not LifecycleState.LEAVING:
            self.drained_by_operators = next_state in DRAINED_STATES
        return True

    @property
    def ready(self) -> bool:
        """Whether ``readyz`` answers that the process is ready."""
        return self.state in READY_STATES

    @property
    def drained(self) -> bool:
        """Whether ``/healthz`` turns clients away: operators drained the limiter, or the process is leaving."""
        return self.state in DRAINED_STATES or self.state is LifecycleState.LEAVING

    @property
    def handed_over(self) -> bool:
        """Whether a successor accepts new connections instead of this process."""
        return self.state in HANDED_OVER_STATES


class ShutdownPhase(Enum):
    """Phase of a process that was asked to stop and has no successor."""

    # Clients do not know yet: their connections and requests are accepted, and each answer closes its connection.
    ACCEPTING = "taking"
    FINISHING = "finishing"  # no new connections; accepted requests are answered
    FINAL = "last"  # SIGKILL is near: open requests have been failed, and new ones are refused at once


class ConnectionState(Enum):
    """State of a client connection."""

    QUEUED = "queued"  # in the kernel's accept queue, not accepted by the process yet
    NEW = "new"  # accepted a moment ago, and nothing received on it
    IDLE = "idle"  # between two requests, or accepted long ago with nothing received
    UNREAD = "unread"  # looks idle, but the kernel holds received bytes
    PARTIAL = "part"  # part of a request was received
    UPLOAD = "upload"  # a large body is being received and forwarded as it arrives
    AWAITING_ANSWER = "asked"  # one or more requests were accepted, and the first has no answer yet
    ANSWERING = "answering"  # an answer is being sent
    LINGERING = "lingering"  # the last answer was sent and the write side shut down; input is read to its end


class ConnectionAction(Enum):
    """What the process does with a client connection."""

    KEEP = "keep"
    ACCEPT = "take"
    HALF_CLOSE = (
        "half-close"  # shut down the write side and read to the end, so that bytes in flight cause no reset
    )
    REFUSE = "refuse"  # answer 503 and half-close


# Short names for the table below.
Phase = ShutdownPhase
Connection = ConnectionState
Action = ConnectionAction
SHUTDOWN_ACTIONS: dict[tuple[ShutdownPhase, ConnectionState], ConnectionAction] = {
    (Phase.ACCEPTING, Connection.QUEUED): Action.ACCEPT,
    **{(Phase.ACCEPTING, state): Action.KEEP for state in Connection if state is not Connection.QUEUED},
    # Accepts once more before the listener closes: closing it resets the connections that are still queued.
    (Phase.FINISHING, Connection.QUEUED): Action.ACCEPT,
    # The first request of a connection may be in flight, and would count as failed if the connection were closed.
    (Phase.FINISHING, Connection.NEW): Action.KEEP,
    (Phase.FINISHING, Connection.IDLE): Action.HALF_CLOSE,
    (Phase.FINISHING, Connection.UNREAD): Action.KEEP,
    (Phase.FINISHING, Connection.PARTIAL): Action.KEEP,
    (Phase.FINISHING, Connection.UPLOAD): Action.KEEP,
    (Phase.FINISHING, Connection.AWAITING_ANSWER): Action.KEEP,
    (Phase.FINISHING, Connection.ANSWERING): Action.KEEP,
    (Phase.FINISHING, Connection.LINGERING): Action.KEEP,
    (Phase.FINAL, Connection.QUEUED): Action.KEEP,  # the listener is closed already
    (Phase.FINAL, Connection.NEW): Action.HALF_CLOSE,
    (Phase.FINAL, Connection.IDLE): Action.HALF_CLOSE,
    (Phase.FINAL, Connection.UNREAD): Action.KEEP,  # read and refused in the next iteration of the loop
    (Phase.FINAL, Connection.PARTIAL): Action.REFUSE,  # not passed on yet, so that a retry is harmless
    # The requests of the next three were failed on behalf of the decisions, or their answers are being sent.
    (Phase.FINAL, Connection.UPLOAD): Action.KEEP,
    (Phase.FINAL, Connection.AWAITING_ANSWER): Action.KEEP,
    (Phase.FINAL, Connection.ANSWERING): Action.KEEP,
    (Phase.FINAL, Connection.LINGERING): Action.KEEP,
}
