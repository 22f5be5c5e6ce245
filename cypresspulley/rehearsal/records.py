"""The typed records of a run, which are the judge's only input and are saved as JSON lines.

``t`` is in seconds from the start of the run, and negative during the warm-up. ``id`` identifies one try of a client,
and ``first`` the first try of the same request.
"""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from dataclasses import MISSING, asdict, dataclass, fields
from typing import Any, TextIO


class RecordError(ValueError):
    """Raised for a line that is not a valid record. The message names the line and the expected value."""


@dataclass(frozen=True, slots=True)
class ClassFacts:
    name: str
    aim: float
    worth: float
    effect: str  # safe, keyed or unsafe
    group: str
    window: float
    idle: float  # mean seconds that it takes on an idle server


@dataclass(frozen=True, slots=True)
class PlanFacts:
    name: str
    rate: float
    burst: float
    price: float
    over_worth: float
    over_cost: float
    open_limit: int
    ceiling_rate: float
    ceiling_burst: float


@dataclass(frozen=True, slots=True)
class Day:
    """The first record: the facts of the run that the rules and the service figures need."""

    t: float
    scenario: str
    seed: int
    digest: str
    seconds: float
    goal: float
    classes: tuple[ClassFacts, ...]
    plans: tuple[PlanFacts, ...]
    limiters: dict[str, str]  # name to hall
    max_units: float
    drain_grace: float
    fall_multiple: float
    fall_seconds: float
    mean_work: float  # mean CPU seconds of a request on a machine of speed 1


@dataclass(frozen=True, slots=True)
class Sent:
    """A client wrote a whole request on a connection that the limiter's machine accepted."""

    t: float
    id: str
    first: str
    number: int  # of the try, from 0
    limiter: str
    account: str
    plan: str
    cls: str
    units: float
    ttl: float
    fresh: bool  # the first request of its connection


@dataclass(frozen=True, slots=True)
class Answered:
    """A client received a whole answer. ``t`` is the time of its last byte."""

    t: float
    id: str
    status: int
    retry_after: float | None
    body: str


@dataclass(frozen=True, slots=True)
class Broke:
    """The limiter closed the connection of an open request without a whole answer."""

    t: float
    id: str
    begun: bool  # a part of an answer had arrived


@dataclass(frozen=True, slots=True)
class Unreached:
    """The client could not connect to the limiter, which therefore received nothing."""

    t: float
    id: str
    first: str
    limiter: str


@dataclass(frozen=True, slots=True)
class Left:
    """The client gave up. ``why`` is "impatient" (before its deadline) or "over" (at it)."""

    t: float
    id: str
    why: str


@dataclass(frozen=True, slots=True)
class Surplus:
    """A client received bytes that belong to no answer."""

    t: float
    limiter: str
    id: str  # of the request answered before them
    size: int


@dataclass(frozen=True, slots=True)
class LimiterState:
    """A limiter changed its state.

    ``what`` is started, ready, killed (SIGKILL), stopping (SIGTERM), reloaded (SIGHUP), exited, crashed, upgraded (a
    successor process took over, and the life goes on), drained or activated (both by operators).
    """

    t: float
    limiter: str
    what: str
    code: int = 0


@dataclass(frozen=True, slots=True)
class ServerState:
    """A server changed its state. ``what`` is up, started (cold), draining, gone, crashed or fell (overloaded)."""

    t: float
    server: str
    hall: str
    cell: int
    what: str
    cores: float = 0.0
    cold_share: float = 1.0
    cold_seconds: float = 0.0


@dataclass(frozen=True, slots=True)
class Arrived:
    """The last byte of an attempt arrived at a server.

    ``began`` is the earliest time at which its first byte can have been sent: when it arrived, or the start of the
    network cut that delayed it.
    """

    t: float
    attempt: int  # number among all attempts of the run, from 0
    server: str
    limiter: str
    id: str
    work: float
    began: float
    told: float = -1.0  # its X-Timeout-Ms in seconds; negative if it has none


@dataclass(frozen=True, slots=True)
class Ran:
    """A server started to run an attempt, so its effect happens. With ``repeat`` it was dropped as a keyed repeat."""

    t: float
    attempt: int
    repeat: bool


@dataclass(frozen=True, slots=True)
class Replied:
    """A server wrote an answer. ``not_processed`` proves that the attempt never ran."""

    t: float
    attempt: int
    status: int
    not_processed: bool
    body: str
    work: float  # CPU seconds spent on it


@dataclass(frozen=True, slots=True)
class Ended:
    """An attempt's connection was closed by either side before an answer was written."""

    t: float
    attempt: int
    work: float


@dataclass(frozen=True, slots=True)
class Listed:
    """A limiter's discovery agent received a list, or with ``told`` wrote it: server to (health, born)."""

    t: float
    limiter: str
    told: bool
    whole: bool
    hosts: dict[str, tuple[str, float]]


@dataclass(frozen=True, slots=True)
class Banned:
    """A limiter confirmed an operators' call that bans a server (``out``) or lifts the ban."""

    t: float
    limiter: str
    server: str
    out: bool


@dataclass(frozen=True, slots=True)
class PlanMoved:
    """An account has this ceiling from ``t`` on. The change was announced ``ahead`` seconds before."""

    t: float
    account: str
    plan: str
    ceiling_rate: float
    ceiling_burst: float
    ahead: float


@dataclass(frozen=True, slots=True)
class Exported:
    """The usage that limiters had reported to the plan book's writer by the end of the run, in micro-units."""

    t: float
    units: int


@dataclass(frozen=True, slots=True)
class Tallied:
    """The keeper (counter) handled a call. Without ``added`` it was rejected."""

    t: float
    limiter: str
    name: str
    amount: float
    total: float
    added: bool


@dataclass(frozen=True, slots=True)
class Wanted:
    """The goal for one plan: the least service inside quotas."""

    t: float
    plan: str
    service: float


@dataclass(frozen=True, slots=True)
class Keeping:
    """From ``t`` on, safe requests of these accounts and classes may be answered from the cache."""

    t: float
    accounts: tuple[str, ...]
    classes: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class FromKept:
    """The next answer of this try came from a limiter's cache. ``age`` is its ``Age`` header in seconds."""

    t: float
    id: str
    age: float


@dataclass(frozen=True, slots=True)
class Checked:
    """A checker's result on the run's histories: the number of events checked, and each finding as text."""

    t: float
    name: str
    checked: int
    findings: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Probed:
    t: float
    server: str
    limiter: str


@dataclass(frozen=True, slots=True)
class Happened:
    """A fault took effect, from ``t`` until ``until``. The report plots it."""

    t: float
    until: float
    kind: str
    target: str


@dataclass(frozen=True, slots=True)
class Lateness:
    """How late a heartbeat of the rehearsal process was, in seconds."""

    t: float
    late: float


@dataclass(frozen=True, slots=True)
class Complaint:
    """A problem outside the rules that makes the run void."""

    t: float
    text: str


@dataclass(frozen=True, slots=True)
class Usage:
    """The resources that a limiter's processes used during the run. The memory is the peak.

    In virtual time a limiter has no process of its own, so nothing is measured and both are 0.
    """

    t: float
    limiter: str
    cpu_seconds: float
    memory_mb: float
    restarts: int

    @property
    def measured(self) -> bool:
        return self.memory_mb > 0

    def shown(self) -> tuple[str, str]:
        """Return CPU seconds and MB as text for people."""
        return (f"{self.cpu_seconds:.2f}", f"{self.memory_mb:.0f}") if self.measured else ("-", "-")


@dataclass(frozen=True, slots=True)
class End:
    """The end of the run. ``unix_start`` is the Unix time of its second 0."""

    t: float
    unix_start: float = 0.0


Record = (
    Day | Sent | Answered | Broke | Unreached | Left | Surplus | LimiterState | ServerState | Arrived | Ran
    | Replied | Ended | Listed | Banned | PlanMoved | Exported | Tallied | Wanted | Keeping | FromKept | Checked
    | Probed | Happened | Lateness | Complaint | Usage | End
)  # fmt: skip
KINDS: dict[str, type[Record]] = {kind.__name__.lower(): kind for kind in Record.__args__}


def to_line(record: Record) -> str:
    """Encode a record as one line of JSON without a line end."""
    return json.dumps({"record": type(record).__name__.lower(), **asdict(record)}, separators=(",", ":"))


def from_line(line: str, place: str) -> Record:
    """Decode a record. Raise ``RecordError``, which names ``place`` and the expected value."""
    try:
        raw = json.loads(line)
    except (ValueError, RecursionError) as error:
        raise RecordError(f"{place}: not JSON: {error}") from None
    kind = KINDS.get(str(raw.pop("record", ""))) if isinstance(raw, dict) else None
    if kind is None:
        raise RecordError(f"{place}: expected an object with record, one of {', '.join(KINDS)}")
    names = {field.name for field in fields(kind)}
    needed = {field.name for field in fields(kind) if field.default is MISSING}
    if not needed <= set(raw) <= names:
        raise RecordError(f"{place}: a {kind.__name__} has {', '.join(sorted(names))}; got {sorted(raw)}")
    return kind(**{key: _convert_value(kind, key, value, place) for key, value in raw.items()})


NUMBER_HINTS = frozenset(("float", "int"))


def _convert_value(kind: type[Record], key: str, value: Any, place: str) -> Any:
    hint = next(str(field.type) for field in fields(kind) if field.name == key)
    try:
        if kind is Day and key in ("classes", "plans"):
            facts = ClassFacts if key == "classes" else PlanFacts
            return tuple(facts(**row) for row in value)
        if hint.startswith("dict[str, tuple"):
            return {str(name): (str(health), float(born)) for name, (health, born) in value.items()}
        expected: Any = {
            "float": (int, float), "int": int, "str": str, "bool": bool,
            "float | None": (int, float, type(None)), "dict[str, str]": dict, "tuple[str, ...]": list,
        }[hint]  # fmt: skip
        if not isinstance(value, expected) or (hint in NUMBER_HINTS and isinstance(value, bool)):
            raise TypeError(f"got {value!r:.40}")
        if expected is list:
            return tuple(str(each) for each in value)
        return value
    except (TypeError, ValueError, AttributeError) as error:
        raise RecordError(f"{place}: {kind.__name__}.{key}: expected {hint}: {error}") from None


def read_log(file: TextIO, name: str) -> Iterator[Record]:
    """Yield the records of a saved log in order. Raise ``RecordError`` for an invalid line."""
    for number, line in enumerate(file, 1):
        if line.strip():
            yield from_line(line, f"{name}:{number}")


def write_log(file: TextIO, records: Iterable[Record]) -> None:
    for record in records:
        file.write(to_line(record) + "\n")
