"""The event kinds of a history and the facts of each kind, which processes write and checkers read.

A history is one file per process and process life. It consists of JSON lines, each
``{"seq", "wall", "mono", "kind", ...facts}``: ``seq`` counts from 0 in a life without gaps, ``wall`` is Unix seconds by
the process's own wall clock (which may be wrong), and ``mono`` is seconds of its monotonic clock. The first event of a
file is ``start``. Times in the harness's own history are true. Facts are numbers, strings, booleans, and lists or
objects of these.
"""

from __future__ import annotations

from enum import StrEnum


class Kind(StrEnum):
    """Event names. The part before the dot is the subsystem that writes the event; any process writes those without."""

    START = "start"
    END = "end"
    MEMBER = "fleet.member"
    SETTLED = "fleet.settled"
    ROW = "fleet.row"
    LANES_STATE = "lanes.state"
    LANES_PERIOD = "lanes.period"
    LANES_TURNED = "lanes.turned"
    LANES_LET = "lanes.let"
    CALENDAR = "closing.calendar"
    CLOSED = "closing.closed"
    KEPT = "closing.kept"
    SERVED = "closing.served"
    DOUBT = "closing.doubt"
    PURGE = "closing.purge"
    FAULT = "fault"
    CALL = "call"
    ANSWER = "answer"
    TRUTH = "truth"
    PURGE_CALL = "purge.call"
    PURGE_ANSWER = "purge.answer"


# The facts of each kind. All of them are always present.
FACTS: dict[Kind, tuple[str, ...]] = {
    # Written by every process. ``name`` is the limiter's name or "harness"; ``period`` is the fleet's probe period in
    # seconds; ``bounds`` is an object of the guaranteed bounds in seconds, by name (see ``BOUNDS``).
    Kind.START: ("name", "life", "zone", "period", "bounds"),
    Kind.END: ("reason",),
    # This process's view of a member changed: ``state`` is a State's name in lower case, ``cause`` is one of self,
    # probe (its own failure detector), told (learned from another process) and refuted. A process that begins a new
    # life first writes all that it knows of others, with cause told.
    Kind.MEMBER: ("member", "life", "incarnation", "state", "cause"),
    # ``settled`` became true or false; ``digest`` is that of this process's view, ``members`` the number present in it.
    Kind.SETTLED: ("settled", "digest", "members"),
    # A row of another member was accepted whose life differs from that of the row held in that subsystem, or the first.
    Kind.ROW: ("owner", "life", "subsystem"),
    # ``state``: calm, pressed, shedding or easing; ``pressure`` is the number that drives the state machine.
    Kind.LANES_STATE: ("state", "pressure"),
    # Sums of one period at this limiter, each an object by lane in rank order, highest first: units requested and
    # passed, within quota and beyond it; ``shares`` is the units per second within quota that this limiter may pass by
    # lane; ``floors`` is its part of each lane's floor, in the same unit; ``bears`` is the capacity of the whole fleet
    # in units per second; ``state`` is the state during the period. Written at the end of the period, which lasted
    # ``seconds``.
    Kind.LANES_PERIOD: (
        "state",
        "seconds",
        "asked",
        "passed",
        "asked_over",
        "passed_over",
        "shares",
        "floors",
        "bears",
    ),
    # A request that a lane rejected. ``spell`` is the number of the period and ``until`` its end (Unix seconds,
    # computed alike by all limiters); ``inside`` is whether the request was within quota.
    Kind.LANES_TURNED: ("id", "account", "lane", "inside", "spell", "until"),
    # The first request within quota that a lane let pass for this account in this period, while this limiter sheds.
    Kind.LANES_LET: ("account", "lane", "spell"),
    # A calendar version is stored (``state`` "held"), in force ("force") or refused ("refused", with the reason in
    # ``why``).
    Kind.CALENDAR: ("version", "state", "in_force", "why"),
    # A closing was noticed, each (place, version, ordinal) once per life; ``at`` is its time, ``dropped`` the number of
    # cached answers that were dropped.
    Kind.CLOSED: ("place", "version", "ordinal", "at", "dropped"),
    # An answer was cached under ``key``; ``generation`` is that of the time ``sent`` (wall clock) at which its request
    # was sent to a server.
    Kind.KEPT: ("account", "key", "generation", "sent"),
    # A cached answer was served; ``made`` is the wall time at which its request was sent to a server.
    Kind.SERVED: ("id", "account", "key", "generation", "made"),
    # While ``doubt`` is true, no answer is cached or served from the cache; ``cause`` is one word.
    Kind.DOUBT: ("doubt", "cause"),
    # A purge of ``account``, numbered by its issuer and life. ``what`` is asked, applied, yes (all limiters have
    # applied it) or no (``missing`` lists the limiters that may not have).
    Kind.PURGE: ("account", "issuer", "life", "number", "what", "missing"),
    # Written by the harness. ``on`` is true at a fault's start and false at its end; ``kind_of`` is the fault kind of
    # the scenario.
    Kind.FAULT: ("kind_of", "targets", "on"),
    # A client's call and its outcome. ``made`` is the true time at which a server made the answer, null where none did;
    # ``kept`` is whether it came from a limiter's cache.
    Kind.CALL: ("id", "account", "plan", "cls", "limiter"),
    Kind.ANSWER: ("id", "status", "made", "kept"),
    # The true facts of the play, for the checkers: ``closings`` is a list of [account, Unix second] pairs, each the
    # time by which the account's cached answers must be dropped; ``lanes`` has for each lane a list of its plans'
    # names, highest lane first; ``clock_bound`` and ``seconds`` (the duration of the play) are in seconds.
    Kind.TRUTH: ("closings", "lanes", "clock_bound", "seconds"),
    # A manual purge as the operator sees it.
    Kind.PURGE_CALL: ("id", "account", "limiter"),
    Kind.PURGE_ANSWER: ("id", "status", "missing"),
}

# The names of the bounds that ``start`` states, each in seconds.
BOUNDS = (
    "detect",  # from a death until every survivor has detected it
    "settle",  # from the last fault until all digests agree
    "inversion",  # longest time the highest lane is refused within quota while a lower lane passes anywhere
    "clock",  # largest difference of two wall clocks before caching stops
    "purge",  # from a purge request at one limiter until all others have dropped their cached answers
)
