"""Typed records of events, one per kind, which the reader validates so that checkers can rely on them.

``events.FACTS`` documents the facts; this module declares their types. The reader rejects an event with a missing fact
or one of another type and ignores unknown facts. Seconds and Unix seconds are floats.
"""

from __future__ import annotations

import msgspec

from cypresspulley.histories.events import Kind


class Event(msgspec.Struct, frozen=True, kw_only=True, tag_field="kind"):
    """The fields of every event. ``seq`` counts from 0 in a life; ``mono`` is monotonic, ``wall`` may be wrong."""

    seq: int
    wall: float
    mono: float


class Start(Event, frozen=True, kw_only=True, tag=str(Kind.START)):
    name: str
    life: int
    zone: str
    period: float
    bounds: dict[str, float]


class End(Event, frozen=True, kw_only=True, tag=str(Kind.END)):
    reason: str


class MemberSeen(Event, frozen=True, kw_only=True, tag=str(Kind.MEMBER)):
    member: str
    life: int
    incarnation: int
    state: str
    cause: str


class Settled(Event, frozen=True, kw_only=True, tag=str(Kind.SETTLED)):
    settled: bool
    digest: str
    members: int


class RowTaken(Event, frozen=True, kw_only=True, tag=str(Kind.ROW)):
    owner: str
    life: int
    subsystem: str


class LanesState(Event, frozen=True, kw_only=True, tag=str(Kind.LANES_STATE)):
    state: str
    pressure: float


class LanesPeriod(Event, frozen=True, kw_only=True, tag=str(Kind.LANES_PERIOD)):
    state: str
    seconds: float
    asked: dict[str, float]
    passed: dict[str, float]
    asked_over: dict[str, float]
    passed_over: dict[str, float]
    shares: dict[str, float]
    floors: dict[str, float]
    bears: float


class LanesTurned(Event, frozen=True, kw_only=True, tag=str(Kind.LANES_TURNED)):
    id: int | str
    account: str
    lane: str
    inside: bool
    spell: int
    until: float


class LanesLet(Event, frozen=True, kw_only=True, tag=str(Kind.LANES_LET)):
    account: str
    lane: str
    spell: int


class Calendar(Event, frozen=True, kw_only=True, tag=str(Kind.CALENDAR)):
    version: int | str
    state: str
    in_force: float | None
    why: str


class Closed(Event, frozen=True, kw_only=True, tag=str(Kind.CLOSED)):
    place: str
    version: int | str
    ordinal: int
    at: float
    dropped: int


class Kept(Event, frozen=True, kw_only=True, tag=str(Kind.KEPT)):
    account: str
    key: str
    generation: int | str
    sent: float


class Served(Event, frozen=True, kw_only=True, tag=str(Kind.SERVED)):
    id: int | str
    account: str
    key: str
    generation: int | str
    made: float


class Doubt(Event, frozen=True, kw_only=True, tag=str(Kind.DOUBT)):
    doubt: bool
    cause: str


class Purge(Event, frozen=True, kw_only=True, tag=str(Kind.PURGE)):
    account: str
    issuer: str
    life: int
    number: int
    what: str
    missing: list[str]


class Fault(Event, frozen=True, kw_only=True, tag=str(Kind.FAULT)):
    kind_of: str
    targets: list[str]
    on: bool


class Call(Event, frozen=True, kw_only=True, tag=str(Kind.CALL)):
    id: int | str
    account: str
    plan: str
    cls: str
    limiter: str


class Answer(Event, frozen=True, kw_only=True, tag=str(Kind.ANSWER)):
    id: int | str
    status: int
    made: float | None
    kept: bool


class Truth(Event, frozen=True, kw_only=True, tag=str(Kind.TRUTH)):
    closings: list[tuple[str, float]]
    lanes: list[list[str] | str]
    clock_bound: float
    seconds: float


class PurgeCall(Event, frozen=True, kw_only=True, tag=str(Kind.PURGE_CALL)):
    id: int | str
    account: str
    limiter: str


class PurgeAnswer(Event, frozen=True, kw_only=True, tag=str(Kind.PURGE_ANSWER)):
    id: int | str
    status: int
    missing: list[str]


EVENT_TYPES: dict[Kind, type[Event]] = {
    Kind.START: Start,
    Kind.END: End,
    Kind.MEMBER: MemberSeen,
    Kind.SETTLED: Settled,
    Kind.ROW: RowTaken,
    Kind.LANES_STATE: LanesState,
    Kind.LANES_PERIOD: LanesPeriod,
    Kind.LANES_TURNED: LanesTurned,
    Kind.LANES_LET: LanesLet,
    Kind.CALENDAR: Calendar,
    Kind.CLOSED: Closed,
    Kind.KEPT: Kept,
    Kind.SERVED: Served,
    Kind.DOUBT: Doubt,
    Kind.PURGE: Purge,
    Kind.FAULT: Fault,
    Kind.CALL: Call,
    Kind.ANSWER: Answer,
    Kind.TRUTH: Truth,
    Kind.PURGE_CALL: PurgeCall,
    Kind.PURGE_ANSWER: PurgeAnswer,
}
