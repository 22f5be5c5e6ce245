"""The kinds of events of a history, and which facts each has: what processes write and checkers read.

A history is one file a process and life, JSON lines, each ``{"seq", "wall", "mono", "kind", ...facts}``: ``seq``
counts from 0 in a life without a gap, ``wall`` is Unix seconds by the process's own wall clock (which may be wrong),
``mono`` seconds of its clock that never steps. The first event of a file is ``start``. Times of the harness's own
history are the true ones. Facts are numbers, strings, booleans, and lists or objects of these.
"""

from __future__ import annotations

from enum import StrEnum


class Kind(StrEnum):
    """Names of events. The part before the dot is the room that writes it; those without one are every process's."""

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


# The facts that each kind has, all of them always there.
FACTS: dict[Kind, tuple[str, ...]] = {
    # Every process. ``name`` is the limiter's or "harness"; ``period`` the fleet's probe period in seconds;
    # ``bounds`` an object of the promises' bounds in seconds, by name (see ``BOUNDS``).
    Kind.START: ("name", "life", "zone", "period", "bounds"),
    Kind.END: ("reason",),
    # The view of this process changed: ``state`` is a State's name in lower case, ``cause`` one of self, probe (its own
    # detector), told (by another) and refuted. A life that rose begins with all that it holds of others, as told.
    Kind.MEMBER: ("member", "life", "incarnation", "state", "cause"),
    # ``settled`` became true or false; ``digest`` is this process's, ``members`` how many it holds present.
    Kind.SETTLED: ("settled", "digest", "members"),
    # A row of another member was taken, of another life than the one held of it in that subsystem (or none was).
    Kind.ROW: ("owner", "life", "subsystem"),
    # ``state``: calm, pressed, shedding or easing; ``pressure`` is the number that the table goes by.
    Kind.LANES_STATE: ("state", "pressure"),
    # Sums of one period at this limiter, each an object by lane in the lanes' order, premium first: units asked and
    # passed, inside quota and beyond; ``shares`` what this limiter may let pass a second inside quota by lane;
    # ``floors`` its part of each lane's floor, the same unit; ``bears`` what the whole fleet bears, units a second;
    # ``state`` the state in which the period was. Written at the period's end, ``seconds`` after its begin.
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
    # One try that a lane turned away. ``spell`` is the number of the spell and ``until`` its end (Unix seconds by the
    # shared reckoning of spells); ``inside`` whether it was inside its quota.
    Kind.LANES_TURNED: ("id", "account", "lane", "inside", "spell", "until"),
    # The first try inside its quota that a lane let pass for this account in this spell, while this limiter sheds.
    Kind.LANES_LET: ("account", "lane", "spell"),
    # A calendar version is held (``state`` "held"), in force ("force") or refused ("refused", ``why`` says it).
    Kind.CALENDAR: ("version", "state", "in_force", "why"),
    # A closing was noticed: one identity (place, version, ordinal) once in a life; ``at`` the instant, ``dropped`` how
    # many kept answers went with it.
    Kind.CLOSED: ("place", "version", "ordinal", "at", "dropped"),
    # An answer is kept from now on: ``key`` names it, ``generation`` that of the moment ``sent`` (wall) at which its
    # request went to a server.
    Kind.KEPT: ("account", "key", "generation", "sent"),
    # A kept answer was served, ``made`` being the wall moment at which its request went to a server.
    Kind.SERVED: ("id", "account", "key", "generation", "made"),
    # ``doubt`` true: from now on nothing is kept or served from what is kept; ``cause`` in a word.
    Kind.DOUBT: ("doubt", "cause"),
    # A purge of ``account``, numbered by its issuer and life. ``what``: asked, applied, yes (all have it), no (with
    # ``missing``, the names of who may not have it).
    Kind.PURGE: ("account", "issuer", "life", "number", "what", "missing"),
    # The harness. ``on`` true at a fault's begin, false at its end; ``kind_of`` is the scenario's kind of fault.
    Kind.FAULT: ("kind_of", "targets", "on"),
    # A client's try and its end. ``made`` is the true moment at which a server made the answer, null where none did;
    # ``kept`` whether it came from what a limiter had kept.
    Kind.CALL: ("id", "account", "plan", "cls", "limiter"),
    Kind.ANSWER: ("id", "status", "made", "kept"),
    # What is true of the day, for the checkers: ``closings`` a list of [account, unix second] pairs, each instant at
    # which what was kept for the account has to be gone; ``lanes`` a list for each lane, of its plans' names, premium
    # first; ``clock_bound`` and ``seconds`` (of the day) in seconds.
    Kind.TRUTH: ("closings", "lanes", "clock_bound", "seconds"),
    # A purge by hand as the operator sees it.
    Kind.PURGE_CALL: ("id", "account", "limiter"),
    Kind.PURGE_ANSWER: ("id", "status", "missing"),
}

# The names of the bounds that ``start`` states, in seconds.
BOUNDS = (
    "detect",  # from a death until every survivor has it dead
    "settle",  # from the last fault until all digests agree
    "inversion",  # of premium inside quota refused while a lower lane passes anywhere
    "clock",  # by which two wall clocks may differ before keeping stops
    "purge",  # from a handover at one limiter until all others have dropped what they kept
)
