"""Settings, events and actions of the gateway: plain typed records, no logic.

Times are seconds, rates are per second.  ``policy.gateway.Gateway`` takes ``Settings``
and one event at a time and answers with a list of actions.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum


class Effect(Enum):
    """What a second execution of a request would do."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Scope(Enum):
    """The group of servers that drops repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Status(Enum):
    """How an attempt, a probe or a counter call ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    UNREACHABLE = "unreachable"  # no connection: refused, or it never came up
    DROPPED = "dropped"  # a connection that came up and broke before the request was whole: it never ran
    BROKEN = "broken"  # the connection ended after it: it may have run, or been added
    MALFORMED = "spoilt"  # the counter answered what cannot be read: it was added, or may have been
    CANCELLED = "cancelled"
    NOT_SENT = "not sent"
    REJECTED = "rejected"  # the server has no use for the request: the client is to blame


# Of a call to the counter: nothing was added, and nothing will be.
NEVER_ADDED = (Status.FULL, Status.UNREACHABLE, Status.ERROR)


class Health(Enum):
    """A server's state in the server list."""

    UP = "up"
    DRAINING = "draining"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class RequestClass:
    name: str
    aim: float
    worth: float
    effect: Effect
    late_worth: float = 0.0
    scope: Scope = Scope.ALL
    window: float = 0.0


@dataclass(frozen=True, slots=True)
class Plan:
    name: str
    price: float = 1.0
    rate: float = 0.0
    burst: float = 0.0
    open_limit: int = 0
    over_worth: float = 0.0
    over_cost: float = 0.0
    ceiling_rate: float = 0.0
    ceiling_burst: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    index: int
    gateways: int
    zone: str
    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    max_attempts: int = 1
    may_duplicate: bool = False
    may_cancel: bool = False
    may_probe: bool = False
    load_on_probe: bool = False
    has_counter: bool = False
    counter_timeout: float = 0.0
    max_units: float = 1.0
    max_retry_after: float = 0.0
    cold_share: float = 1.0
    warm_after: float = 0.0
    fall_multiple: float = 1.0
    fall_window: float = 1.0
    may_message_peers: bool = False  # gateways may send each other messages
    inbox_rate: float = 0.0  # messages a second that one gateway takes in
    usage_period: float = 0.0  # seconds of the periods over which a customer's use is told; 0: it is not

    def __post_init__(self) -> None:
        """``ValueError`` names a setting that no gateway could go by."""
        one, above = ("gateways", "max_attempts"), ("cold_share", "fall_window")
        for key in (*one, *above, "warm_after", "counter_timeout"):
            if getattr(self, key) < (1 if key in one else 1e-9 if key in above else 0):
                raise ValueError(f"impossible setting: {key}")


@dataclass(frozen=True, slots=True)
class ServerEntry:
    name: str
    health: Health
    zone: str
    cell: int = 0
    size: float = 1.0
    born: float = 0.0


@dataclass(frozen=True, slots=True)
class ServerList:
    """The server list or a part of it; ``complete`` removes what it leaves out.

    ``previous`` is when discovery last spoke before, on the decisions' clock: what differs has changed since. None: it
    is not known.
    """

    entries: tuple[ServerEntry, ...]
    complete: bool
    previous: float | None = None


@dataclass(frozen=True, slots=True)
class Request:
    """A client's try; ``gateways`` of them serve its account."""

    id: int
    request_class: str
    plan: str
    ttl: float
    account: str
    units: float = 1.0
    gateways: int = 1
    repeat: bool = False
    bound: float = 0.0  # most units that it can come to, where units are a guess; 0: what units says
    body_pending: bool = False  # its body is still on its way; ``Body`` tells how that goes
    effect: Effect | None = None  # the form in which it came; None: that of its class


@dataclass(frozen=True, slots=True)
class Outcome:
    id: int
    attempt: int
    server: str
    status: Status
    elapsed: float
    finished: bool
    report: Mapping[str, float]
    usage_share: float | None = (
        None  # the customer's use over all gateways, a share of its rate, in a period past
    )
    units: float | None = None  # the true units of the request, where a guess came with it


@dataclass(frozen=True, slots=True)
class BodyProgress:
    """Of a request that came before its body was whole: whether it is now, and can still be sent again."""

    id: int
    complete: bool
    replayable: bool


@dataclass(frozen=True, slots=True)
class ResponseStarted:
    """A large answer has begun to reach the client: no other attempt, and the rest takes what it takes."""

    id: int
    attempt: int
    server: str
    elapsed: float
    report: Mapping[str, float]


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client left: nothing is owed any more."""

    id: int


@dataclass(frozen=True, slots=True)
class Counted:
    name: int
    status: Status
    total: float = 0.0


@dataclass(frozen=True, slots=True)
class Probed:
    server: str
    status: Status
    elapsed: float
    report: Mapping[str, float]


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message of another gateway; whoever can write to the address may have sent it."""

    sender: int
    text: str


@dataclass(frozen=True, slots=True)
class Suspend:
    """Operators take a server out until they call it back (``out`` false), whatever the list says."""

    server: str
    out: bool = True
    server_known: bool = False  # another process of this limiter knows the id


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """Other settings hold from now on, as a whole."""

    settings: Settings


@dataclass(frozen=True, slots=True)
class WallClockStep:
    """The wall clock has stepped: it is ``shift`` seconds ahead of the decisions' clock from now on."""

    shift: float


@dataclass(frozen=True, slots=True)
class TimerFired:
    token: int


@dataclass(frozen=True, slots=True)
class Send:
    id: int
    server: str
    timeout: float
    latest_start: float = math.inf  # instant by which its first byte goes out; else it ends as not sent


@dataclass(frozen=True, slots=True)
class Refuse:
    id: int
    retry_after: float
    why: str = ""
    quota_left: float = -1.0  # units of the quota that seem to be left; below 0: it has none


@dataclass(frozen=True, slots=True)
class Fail:
    id: int
    why: str = ""


@dataclass(frozen=True, slots=True)
class Cancel:
    id: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Count:
    """Add ``amount`` to a shared number that is forgotten after ``lifetime``."""

    name: int
    lifetime: float
    amount: float


@dataclass(frozen=True, slots=True)
class Broadcast:
    """Send a message of at most 256 bytes to all other gateways; it may be lost."""

    text: str


@dataclass(frozen=True, slots=True)
class Probe:
    server: str


@dataclass(frozen=True, slots=True)
class Ban:
    """A call of the operators is in force: nothing new goes to the server while it is ``out``."""

    server: str
    out: bool


@dataclass(frozen=True, slots=True)
class SetTimer:
    delay: float
    token: int


@dataclass(frozen=True, slots=True)
class Log:
    text: str


Event = (
    ServerList
    | Request
    | BodyProgress
    | ResponseStarted
    | Outcome
    | ClientDisconnected
    | Counted
    | Probed
    | PeerMessage
    | Suspend
    | SettingsChanged
    | WallClockStep
    | TimerFired
)
Action = Send | Refuse | Fail | Cancel | Count | Broadcast | Probe | Ban | SetTimer | Log
