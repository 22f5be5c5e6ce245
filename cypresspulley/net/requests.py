"""Reads a client's request: its headers and target become the event that the decisions want.

The form is the protocol page's, "Clients to limiters". What is wrong is answered with the status that says why.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from typing import NamedTuple

from cypresspulley import interface as api
from cypresspulley.policy.classes import ClassRegistry, PlanRegistry

MAX_TIMEOUT_MS = 60_000
REQUEST_ID, CLASS, PLAN = b"x-request-id", b"x-priority-class", b"x-plan"
TIMEOUT, QUOTA, RETRIED, KEY = b"x-timeout-ms", b"x-quota", b"x-retried", b"idempotency-key"
READ = frozenset((REQUEST_ID, CLASS, PLAN, TIMEOUT, QUOTA, RETRIED, KEY))
ID = re.compile(rb"[0-9a-fA-F]{16}")
ACCOUNT = re.compile(r"account=([0-9a-fA-F]{16})")
ACCOUNTS = 2**33
WHOLE = re.compile(rb"[0-9]{1,9}")
QUOTA_FORM = re.compile(rb"units=([0-9]{1,9}(?:\.[0-9]{1,9})?),spread=([0-9]{1,9}),first=([0-9]{1,9})")


class BadRequestError(Exception):
    """A request that is answered here, with the status that says why."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


class Customer(NamedTuple):
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
        self._classes, self._plans = ClassRegistry(settings), PlanRegistry(settings)
        self._clock = clock
        self._gateways, self._max_units = settings.gateways, max(1.0, settings.max_units)
        self._last_id = 0

    def retune(self, settings: api.Settings) -> None:
        """Other settings: what clients who have not heard of them still send is read for a moment longer."""
        self._classes.apply_settings(self._clock(), settings)
        self._plans.apply_settings(self._clock(), settings)
        self._gateways, self._max_units = settings.gateways, max(1.0, settings.max_units)

    def read(self, method: bytes, target: str, fields: dict[bytes, bytes]) -> api.Request:
        path, _, query = target.partition("?")
        name = path[1:].partition("/")[0]
        now, key = self._clock(), bool(fields.get(KEY))
        if not self._classes.is_known(now, name):
            raise BadRequestError(404, "unknown path")
        if not fields.get(CLASS):
            raise BadRequestError(400, "x-priority-class is missing")
        # The method follows from the class, and a GET with a body could hide another request in it. Servers drop
        # a repeat by its key: one sent again without would run twice. The class alone decides on further
        # attempts, so a key on a class that has none is another client's mistake, and not passed on.
        effect = api.Effect.SAFE if method == b"GET" else api.Effect.KEYED if key else api.Effect.UNSAFE
        if (effect is api.Effect.SAFE and key) or self._classes.find(now, name, effect) is None:
            newest = self._classes.find(now, name)
            safe = newest is not None and newest.effect is api.Effect.SAFE
            if (method == b"GET") is not safe:
                raise BadRequestError(405, "method")
            raise BadRequestError(400, "idempotency-key is missing, or stands where none belongs")
        if fields[CLASS].decode("latin-1") != name:
            raise BadRequestError(400, "the class is not the path's")
        account, plan, ttl, units, spread, repeat = self.customer(query, fields)
        return api.Request(self.next_id(), name, plan, ttl, account, units, spread, repeat, effect=effect)

    def next_id(self) -> int:
        """A number that no request of this limiter has had."""
        self._last_id += 1
        return self._last_id

    def customer(self, query: str, fields: dict[bytes, bytes]) -> Customer:
        """What each request tells of its customer; BadRequestError where it does not."""
        for header in (REQUEST_ID, PLAN, TIMEOUT, QUOTA):
            if not fields.get(header):
                raise BadRequestError(400, f"{header.decode()} is missing")
        if not ID.fullmatch(fields[REQUEST_ID]):
            raise BadRequestError(400, "x-request-id is wrong")
        plan = fields[PLAN].decode("latin-1")
        if plan not in self._plans.current and self._plans.find(self._clock(), plan) is None:
            raise BadRequestError(400, "unknown plan")
        # Given twice, this side and the server might each take another one for the customer.
        accounts = [part for part in query.split("&") if part.partition("=")[0].lower() == "account"]
        account = ACCOUNT.fullmatch(accounts[0]) if len(accounts) == 1 else None
        if account is None or int(account[1], 16) >= ACCOUNTS:
            raise BadRequestError(400, "account is missing or wrong")
        if not WHOLE.fullmatch(fields[TIMEOUT]) or not 0 < int(fields[TIMEOUT]) <= MAX_TIMEOUT_MS:
            raise BadRequestError(400, "x-timeout-ms is wrong")
        units, spread = self._quota(fields[QUOTA])
        ttl = int(fields[TIMEOUT]) / 1000
        return Customer(account[1].lower(), plan, ttl, units, spread, fields.get(RETRIED) == b"1")

    def _quota(self, text: bytes) -> tuple[float, int]:
        form = QUOTA_FORM.fullmatch(text)
        if form is None:
            raise BadRequestError(400, "x-quota is wrong")
        units, spread = float(form[1]), int(form[2])
        inside = 1 <= spread <= self._gateways and int(form[3]) < self._gateways
        if not 0 < units <= self._max_units or not inside:
            raise BadRequestError(400, "x-quota is wrong")
        return units, spread


class RefusingReader(RequestReader):
    """The process is about to end: whatever still comes is refused, and may be tried again elsewhere."""

    def read(self, method: bytes, target: str, fields: dict[bytes, bytes]) -> api.Request:
        raise BadRequestError(503, "the limiter ends")

    def customer(self, query: str, fields: dict[bytes, bytes]) -> Customer:
        raise BadRequestError(503, "the limiter ends")
