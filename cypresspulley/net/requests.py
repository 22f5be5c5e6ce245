"""Validates a client's request and turns its headers and target into an event for the decision module.

The format is described on the protocol page under "Clients to limiters". An invalid request is rejected with the status
that fits the error.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from typing import NamedTuple

from cypresspulley import interface as api
from cypresspulley.policy.classes import ClassRegistry, PlanRegistry

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
    """Raised for a request that the limiter rejects itself, with the HTTP status to send."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


class RequestMetadata(NamedTuple):
    """What the query and headers of a request say about its account, plan, timeout and quota."""

    account: str  # 16 hexadecimal digits in lower case
    plan: str
    ttl: float  # seconds for which the client waits
    units: float
    spread: int  # number of limiters over which the client spreads the quota
    repeat: bool  # the client sends the request again


class RequestReader:
    """Turns a request's headers and target into an event for the decision module."""

    def __init__(self, settings: api.Settings, clock: Callable[[], float]) -> None:
        self._classes, self._plans = ClassRegistry(settings), PlanRegistry(settings)
        self._clock = clock
        self._gateways, self._max_units = settings.gateways, max(1.0, settings.max_units)
        self._last_id = 0

    def retune(self, settings: api.Settings) -> None:
        """Apply new settings.

        Classes and plans that the new settings drop remain valid for a moment, until clients know the new settings.
        """
        self._classes.apply_settings(self._clock(), settings)
        self._plans.apply_settings(self._clock(), settings)
        self._gateways, self._max_units = settings.gateways, max(1.0, settings.max_units)

    def read(self, method: bytes, target: str, fields: dict[bytes, bytes]) -> api.Request:
        """Return the event of a request. ``fields`` maps lower-case header names to values.

        Raise BadRequestError if the request is invalid.
        """
        path, _, query = target.partition("?")
        name = path[1:].partition("/")[0]
        now, key = self._clock(), bool(fields.get(IDEMPOTENCY_KEY_HEADER))
        if not self._classes.is_known(now, name):
            raise BadRequestError(404, "unknown path")
        if not fields.get(CLASS_HEADER):
            raise BadRequestError(400, "x-priority-class is missing")
        # The class determines the method; a GET with a body could hide another request in the body. Servers
        # deduplicate by idempotency key, so a retry without a key would run twice. Only the class decides whether
        # there are further attempts, so a key on a class without keys is a client error and is not forwarded.
        effect = api.Effect.SAFE if method == b"GET" else api.Effect.KEYED if key else api.Effect.UNSAFE
        if (effect is api.Effect.SAFE and key) or self._classes.find(now, name, effect) is None:
            newest = self._classes.find(now, name)
            safe = newest is not None and newest.effect is api.Effect.SAFE
            if (method == b"GET") is not safe:
                raise BadRequestError(405, "the method does not fit the class")
            raise BadRequestError(400, "idempotency-key is missing, or the class does not allow one")
        if fields[CLASS_HEADER].decode("latin-1") != name:
            raise BadRequestError(400, "x-priority-class does not match the path")
        account, plan, ttl, units, spread, repeat = self.read_metadata(query, fields)
        return api.Request(self.next_id(), name, plan, ttl, account, units, spread, repeat, effect=effect)

    def next_id(self) -> int:
        """Return a number that no other request of this limiter has."""
        self._last_id += 1
        return self._last_id

    def read_metadata(self, query: str, fields: dict[bytes, bytes]) -> RequestMetadata:
        """Return the account, plan, timeout and quota of a request.

        Raise BadRequestError if one of them is missing or invalid.
        """
        for header in (REQUEST_ID_HEADER, PLAN_HEADER, TIMEOUT_HEADER, QUOTA_HEADER):
            if not fields.get(header):
                raise BadRequestError(400, f"{header.decode()} is missing")
        if not REQUEST_ID_PATTERN.fullmatch(fields[REQUEST_ID_HEADER]):
            raise BadRequestError(400, "x-request-id is not 16 hexadecimal digits")
        plan = fields[PLAN_HEADER].decode("latin-1")
        if plan not in self._plans.current and self._plans.find(self._clock(), plan) is None:
            raise BadRequestError(400, "unknown plan")
        # If the account were given twice, the limiter and the server could each pick a different one.
        accounts = [part for part in query.split("&") if part.partition("=")[0].lower() == "account"]
        account = ACCOUNT_PATTERN.fullmatch(accounts[0]) if len(accounts) == 1 else None
        if account is None or int(account[1], 16) >= ACCOUNT_ID_BOUND:
            raise BadRequestError(400, "account is missing, repeated or invalid")
        if (
            not WHOLE_NUMBER_PATTERN.fullmatch(fields[TIMEOUT_HEADER])
            or not 0 < int(fields[TIMEOUT_HEADER]) <= MAX_TIMEOUT_MS
        ):
            raise BadRequestError(400, "x-timeout-ms is not between 1 and 60000")
        units, spread = self._quota(fields[QUOTA_HEADER])
        ttl = int(fields[TIMEOUT_HEADER]) / 1000
        return RequestMetadata(
            account[1].lower(), plan, ttl, units, spread, fields.get(RETRIED_HEADER) == b"1"
        )

    def _quota(self, text: bytes) -> tuple[float, int]:
        """Return the units and spread of an X-Quota header. Raise BadRequestError if it is invalid."""
        match = QUOTA_PATTERN.fullmatch(text)
        if match is None:
            raise BadRequestError(400, "x-quota is malformed")
        units, spread = float(match[1]), int(match[2])
        in_range = 1 <= spread <= self._gateways and int(match[3]) < self._gateways
        if not 0 < units <= self._max_units or not in_range:
            raise BadRequestError(400, "x-quota has units, spread or first out of range")
        return units, spread


class ShutdownRequestReader(RequestReader):
    """Rejects every request because the process is about to end; clients may retry at another limiter."""

    def read(self, method: bytes, target: str, fields: dict[bytes, bytes]) -> api.Request:
        raise BadRequestError(503, "the limiter is shutting down")

    def read_metadata(self, query: str, fields: dict[bytes, bytes]) -> RequestMetadata:
        raise BadRequestError(503, "the limiter is shutting down")
