"""Settings, events and actions of the gateway, as typed records without logic.

Times are in seconds and rates per second. ``policy.gateway.Gateway`` is made from ``Settings``; it handles one event at
a time and returns a list of actions.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum


class Effect(Enum):
    """Whether a server may execute a request of this class more than once."""

    SAFE = "safe"  # repeats are harmless
    KEYED = "keyed"  # repeats are dropped by their key, within the class's scope and window
    UNSAFE = "unsafe"  # a repeat would take effect again


class Scope(Enum):
    """The group of servers that share the keys by which repeats of a keyed request are dropped."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Status(Enum):
    """How an attempt, a probe or a call to the counter ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    UNREACHABLE = "unreachable"  # no connection: refused, or not established in time
    DROPPED = "dropped"  # the connection broke before the whole request was sent: it did not run
    BROKEN = "broken"  # the connection broke after the whole request was sent: it may have run, or been added
    MALFORMED = "spoilt"  # the counter's answer cannot be parsed: the amount was or may have been added
    CANCELLED = "cancelled"
    NOT_SENT = "not sent"
    REJECTED = "rejected"  # the server rejected the request as the client's error


# Ends of a counter call after which nothing was added, and nothing will be.
NEVER_ADDED = (Status.FULL, Status.UNREACHABLE, Status.ERROR)


class Health(Enum):
    """A server's state in the server list."""

    UP = "up"
    DRAINING = "draining"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests.

    An answer within ``aim`` seconds earns ``worth``; a later one earns nothing if ``late_worth`` is 0. Servers drop
    repeats of a keyed request for ``window`` seconds, within the group that ``scope`` names.
    """

    name: str
    aim: float
    worth: float
    effect: Effect
    late_worth: float = 0.0
    scope: Scope = Scope.ALL
    window: float = 0.0


@dataclass(frozen=True, slots=True)
class Plan:
    """A quota plan, for one account over all gateways.

    The quota is ``rate`` units per second with a token bucket of ``burst`` units; rate 0 means no quota. ``open_limit``
    bounds the attempts in flight at the same time; 0 means no limit. A request that is sent beyond the quota costs
    ``over_cost`` of its worth, and earns ``over_worth`` of it if it is served. The ceiling is never exceeded; a ceiling
    rate of 0 means no ceiling.
    """

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
    """Settings of one gateway.

    ``index`` is this gateway's number among ``gateways``, from 0. A server that started less than ``warm_after``
    seconds ago is cold: its capacity rises from ``cold_share`` of the whole, and it crashes if the work that it is sent
    within ``fall_window`` seconds exceeds ``fall_multiple`` times what it can do in that time. ``max_units`` is the
    largest size of a request, ``max_retry_after`` the longest wait in seconds that a refusal may ask for.
    """

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
    may_message_peers: bool = False
    inbox_rate: float = 0.0  # messages per second that one gateway accepts from its peers
    usage_period: float = 0.0  # seconds over which the usage of an account is reported; 0: it is not reported

    def __post_init__(self) -> None:
        """Raise ``ValueError`` with the name of the first setting that is out of range."""
        at_least_one, positive = ("gateways", "max_attempts"), ("cold_share", "fall_window")
        for key in (*at_least_one, *positive, "warm_after", "counter_timeout"):
            if getattr(self, key) < (1 if key in at_least_one else 1e-9 if key in positive else 0):
                raise ValueError(f"impossible setting: {key}")


@dataclass(frozen=True, slots=True)
class ServerEntry:
    """A server of the server list.

    ``size`` is its capacity relative to others. ``born`` is its start in seconds of the wall clock; 0 if unknown or
    long ago.
    """

    name: str
    health: Health
    zone: str
    cell: int = 0
    size: float = 1.0
    born: float = 0.0


@dataclass(frozen=True, slots=True)
class ServerList:
    """The server list, or a part of it; a ``complete`` list removes all servers that it does not contain.

    ``previous`` is the time of discovery's message before this one, on the gateway's clock, or None if unknown: all
    differences came about after it.
    """

    entries: tuple[ServerEntry, ...]
    complete: bool
    previous: float | None = None


@dataclass(frozen=True, slots=True)
class Request:
    """A client's request, whose account is served by ``gateways`` gateways.

    ``ttl`` is the time in seconds that remains until the client's deadline. ``repeat`` marks a retry by the client.
    """

    id: int
    request_class: str
    plan: str
    ttl: float
    account: str
    units: float = 1.0
    gateways: int = 1
    repeat: bool = False
    bound: float = 0.0  # most units that it can cost if ``units`` is an estimate; 0: ``units`` is exact
    body_pending: bool = False  # its body is still being received; ``BodyProgress`` events follow
    effect: Effect | None = None  # effect of this request; None: that of its class


@dataclass(frozen=True, slots=True)
class Outcome:
    """An attempt ended after ``elapsed`` seconds; ``finished`` says whether the request has had its final answer.

    ``report`` holds the load figures that the server sent with its answer.
    """

    id: int
    attempt: int
    server: str
    status: Status
    elapsed: float
    finished: bool
    report: Mapping[str, float]
    # The account's usage over all gateways in a past period, as a share of its rate.
    usage_share: float | None = None
    units: float | None = None  # actual units of a request whose units were an estimate


@dataclass(frozen=True, slots=True)
class BodyProgress:
    """Progress of a request that arrived before its whole body.

    ``complete`` says whether all of the body was received, ``replayable`` whether it can be sent in another attempt.
    """

    id: int
    complete: bool
    replayable: bool


@dataclass(frozen=True, slots=True)
class ResponseStarted:
    """A large answer is being streamed to the client: there is no further attempt, and no time limit for the rest."""

    id: int
    attempt: int
    server: str
    elapsed: float
    report: Mapping[str, float]


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client disconnected; its request needs no answer any more."""

    id: int


@dataclass(frozen=True, slots=True)
class Counted:
    """A call to the counter ended; ``total`` is the counter's value after it, if it succeeded."""

    name: int
    status: Status
    total: float = 0.0


@dataclass(frozen=True, slots=True)
class Probed:
    """A probe of a server ended."""

    server: str
    status: Status
    elapsed: float
    report: Mapping[str, float]


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message of another gateway. It is not authenticated: anyone who can reach the address may have sent it."""

    sender: int
    text: str


@dataclass(frozen=True, slots=True)
class Suspend:
    """Operators ban a server until they lift the ban (``out`` is False), whatever the server list says."""

    server: str
    out: bool = True
    server_known: bool = False  # another process of this limiter has verified that the server exists


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """New settings replace all of the old ones from now on."""

    settings: Settings


@dataclass(frozen=True, slots=True)
class WallClockStep:
    """The wall clock has stepped; from now on it is ``shift`` seconds ahead of the gateway's clock."""

    shift: float


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer of ``SetTimer`` expired."""

    token: int


@dataclass(frozen=True, slots=True)
class Send:
    """Start an attempt of a request, with a timeout in seconds; 0 means none but the client's deadline."""

    id: int
    server: str
    timeout: float
    latest_start: float = (
        math.inf
    )  # time of the first byte at the latest; after it the attempt ends as ``NOT_SENT``


@dataclass(frozen=True, slots=True)
class Refuse:
    """Refuse a request; the client may retry after ``retry_after`` seconds. ``why`` names the cause."""

    id: int
    retry_after: float
    why: str = ""
    quota_left: float = -1.0  # estimate of the units left of the quota; below 0: the plan has no quota


@dataclass(frozen=True, slots=True)
class Fail:
    """Answer a request with a failure."""

    id: int
    why: str = ""


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancel an attempt that is in flight."""

    id: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Count:
    """Add ``amount`` to the shared counter ``name``, which expires after ``lifetime`` seconds."""

    name: int
    lifetime: float
    amount: float


@dataclass(frozen=True, slots=True)
class Broadcast:
    """Send a message of at most 256 bytes to all other gateways. Delivery is not guaranteed."""

    text: str


@dataclass(frozen=True, slots=True)
class Probe:
    """Probe a server; ``Probed`` is the result."""

    server: str


@dataclass(frozen=True, slots=True)
class Ban:
    """An operators' ban is now in force, or lifted: no new attempts go to the server while ``out`` is True."""

    server: str
    out: bool


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Feed ``TimerFired`` with ``token`` after ``delay`` seconds."""

    delay: float
    token: int


@dataclass(frozen=True, slots=True)
class Log:
    """Write a log line."""

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
