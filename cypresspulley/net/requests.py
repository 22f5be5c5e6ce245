"""Reads a client's request: its headers and target become the event that the decisions want.

The form is the protocol page's, "Clients to limiters". What is wrong is answered with the status that says why.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from typing import NamedTuple

from cypresspulley import interface as api
from cypresspulley.policy.classes import Classes, Plans

MAX_TIMEOUT_MS = 60_000
REQUEST_ID_HEADER = b"x-request-id"
CLASS_HEADER = b"x-priority-class"
PLAN_HEADER = b"x-plan"
TIMEOUT_HEADER = b"x-timeout-ms"
QUOTA_HEADER = b"x-quota"
RETRIED_HEADER = b"x-retried"
IDEMPOTENCY_KEY_HEADER = b"idempotency-key"
PARSED_HEADERS = frozenset(
    (
        REQUEST_ID_HEADER,
        CLASS_HEADER,
        PLAN_HEADER,
        TIMEOUT_HEADER,
        QUOTA_HEADER,
        RETRIED_HEADER,
        IDEMPOTENCY_KEY_HEADER,
    )
)
REQUEST_ID_PATTERN = re.compile(rb"[0-9a-fA-F]{16}")
ACCOUNT_PATTERN = re.compile(r"account=([0-9a-fA-F]{16})")
ACCOUNT_ID_BOUND = 2**33
WHOLE_NUMBER_PATTERN = re.compile(rb"[0-9]{1,9}")
QUOTA_PATTERN = re.compile(rb"units=([0-9]{1,9}(?:\.[0-9]{1,9})?),spread=([0-9]{1,9}),first=([0-9]{1,9})")


class BadRequestError(Exception):
    """A request that is answered here, with the status that says why."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


class RequestMetadata(NamedTuple):
    """Whose request it is, for how long its client waits, and its share of the quota's limiters."""

    account: str
    plan: str
    ttl: float
    units: float
    spread: int
    repeat: bool


class RequestReader:
    """Turns a request's headers and target into the event that the decisions want."""

    def __init__(self, settings: api.Settings, clock: Callable[[], float]) -> None:
        self._classes, self._plans = Classes(settings), Plans(settings)
        self._clock = clock
        self._gateways, self._max_units = settings.gateways, max(1.0, settings.max_units)
        self._last_id = 0

    def retune(self, settings: api.Settings) -> None:
        """Other settings: what clients who have not heard of them still send is read for a moment longer."""
        self._classes.change(self._clock(), settings)
        self._plans.change(self._clock(), settings)
        self._gateways, self._max_units = settings.gateways, max(1.0, settings.max_units)

    def read(self, method: bytes, target: str, fields: dict[bytes, bytes]) -> api.Request:
        path, _, query = target.partition("?")
        name = path[1:].partition("/")[0]
        now, key = self._clock(), bool(fields.get(IDEMPOTENCY_KEY_HEADER))
        if not self._classes.known(now, name):
            raise BadRequestError(404, "unknown path")
        if not fields.get(CLASS_HEADER):
            raise BadRequestError(400, "x-priority-class is missing")
        # The method follows from the class, and a GET with a body could hide another request in it. Servers drop
        # a repeat by its key: one sent again without would run twice. The class alone decides on further
        # attempts, so a key on a class that has none is another client's mistake, and not passed on.
        effect = api.Effect.SAFE if method == b"GET" else api.Effect.KEYED if key else api.Effect.UNSAFE
        if (effect is api.Effect.SAFE and key) or self._classes.record(now, name, effect) is None:
            newest = self._classes.record(now, name)
            safe = newest is not None and newest.effect is api.Effect.SAFE
            if (method == b"GET") is not safe:
                raise BadRequestError(405, "method")
            raise BadRequestError(400, "idempotency-key is missing, or stands where none belongs")
        if fields[CLASS_HEADER].decode("latin-1") != name:
            raise BadRequestError(400, "the class is not the path's")
        account, plan, ttl, units, spread, repeat = self.read_metadata(query, fields)
        return api.Request(self.next_id(), name, plan, ttl, account, units, spread, repeat, effect=effect)

    def next_id(self) -> int:
        """A number that no request of this limiter has had."""
        self._last_id += 1
        return self._last_id

    def read_metadata(self, query: str, fields: dict[bytes, bytes]) -> RequestMetadata:
        """What each request tells of its customer; BadRequestError where it does not."""
        for header in (REQUEST_ID_HEADER, PLAN_HEADER, TIMEOUT_HEADER, QUOTA_HEADER):
            if not fields.get(header):
                raise BadRequestError(400, f"{header.decode()} is missing")
        if not REQUEST_ID_PATTERN.fullmatch(fields[REQUEST_ID_HEADER]):
            raise BadRequestError(400, "x-request-id is wrong")
        plan = fields[PLAN_HEADER].decode("latin-1")
        if plan not in self._plans.newest and self._plans.record(self._clock(), plan) is None:
            raise BadRequestError(400, "unknown plan")
        # Given twice, this side and the server might each take another one for the customer.
        accounts = [part for part in query.split("&") if part.partition("=")[0].lower() == "account"]
        account = ACCOUNT_PATTERN.fullmatch(accounts[0]) if len(accounts) == 1 else None
        if account is None or int(account[1], 16) >= ACCOUNT_ID_BOUND:
            raise BadRequestError(400, "account is missing or wrong")
        if (
            not WHOLE_NUMBER_PATTERN.fullmatch(fields[TIMEOUT_HEADER])
            or not 0 < int(fields[TIMEOUT_HEADER]) <= MAX_TIMEOUT_MS
        ):
            raise BadRequestError(400, "x-timeout-ms is wrong")
        units, spread = self._quota(fields[QUOTA_HEADER])
        ttl = int(fields[TIMEOUT_HEADER]) / 1000
        return RequestMetadata(
            account[1].lower(), plan, ttl, units, spread, fields.get(RETRIED_HEADER) == b"1"
        )

    def _quota(self, text: bytes) -> tuple[float, int]:
        match = QUOTA_PATTERN.fullmatch(text)
        if match is None:
            raise BadRequestError(400, "x-quota is wrong")
        units, spread = float(match[1]), int(match[2])
        in_range = 1 <= spread <= self._gateways and int(match[3]) < self._gateways
        if not 0 < units <= self._max_units or not in_range:
            raise BadRequestError(400, "x-quota is wrong")
        return units, spread


class ShutdownRequestReader(RequestReader):
    """The process is about to end: whatever still comes is refused, and may be tried again elsewhere."""

    def read(self, method: bytes, target: str, fields: dict[bytes, bytes]) -> api.Request:
        raise BadRequestError(503, "the limiter ends")

    def read_metadata(self, query: str, fields: dict[bytes, bytes]) -> RequestMetadata:
        raise BadRequestError(503, "the limiter ends")
