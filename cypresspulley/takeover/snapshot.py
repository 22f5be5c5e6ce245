"""Snapshots of a limiter's state, as text from which another process continues. No I/O and no clock.

Under every rule, the two processes of one limiter count as one: the contents of each store are split between them, and
the total is conserved. The process that leaves keeps ``RETAINED_PART`` of each store for its remaining work, and
refills nothing. The terms of plans are no part of that: they belong to the settings and the plan book.
"""

from __future__ import annotations

import hashlib
import json
from collections.abc import Mapping
from dataclasses import asdict
from typing import Any

from cypresspulley import interface as api
from cypresspulley.policy.account import Account
from cypresspulley.policy.gateway import Gateway
from cypresspulley.policy.quota import Quotas
from cypresspulley.policy.store_share import RETAINED_PART

VERSION = 1
MAX_ACCOUNTS = 20_000  # in one snapshot; those idle longest are left out, and start as after a restart
# Each mapping below goes from the name of a field in the snapshot to the name of the attribute that holds it. The
# reader may be a process of another build: an attribute may be renamed, the name in the snapshot must stay.
GATE_FIELDS: Mapping[str, str] = {
    "sum": "integral", "u": "admit_rate", "reading": "load", "mean": "mean_work", "_tokens": "_tokens",
    "_arrivals": "_arrival_rate", "_filled": "_filled_at",
}  # fmt: skip
SERVER_FIELDS: Mapping[str, str] = {
    "rate": "work_rate", "slow": "latency_ratio", "fails": "failure_rate", "out_until": "ejected_until",
    "out_for": "ejection_seconds", "budget": "cold_budget", "budget_at": "cold_budget_at", "trial": "on_trial",
    "lost": "unreachable", "told": "reported_inflight", "told_at": "reported_at", "since": "sent_since_report",
    "row": "consecutive_breaks", "broke": "last_break_at", "cold_at": "cold_since",
}  # fmt: skip
ACCOUNT_FIELDS: Mapping[str, str] = {
    "at": "refilled_at", "asked": "last_call_at", "synced": "synced_at",
    "level": "level", "floor": "share_level", "ceiling": "ceiling_level",
    "drawn": "ceiling_drawn", "total": "last_total", "others": "others_rate",
    "pending": "unreported", "guessed": "extrapolated_use",
    "mine": "own_recent_use", "heard": "last_contact_at", "debt": "debt",
}  # fmt: skip
# Attributes of an account, used only with getattr and setattr: the stores that are split between the processes.
SPLIT_STORES = ("level", "share_level", "ceiling_level")
WINDOW_FIELDS: Mapping[str, str] = {
    "_seen": "_last_total", "_ends_after": "_earliest_end", "_ends_by": "_latest_end",
    "_ask_at": "_next_call_at",
    "_retry_by": "_latest_retry",
}  # fmt: skip
CALL_FIELDS: Mapping[str, str] = {
    "rate": "rate",
    "room": "tokens",
    "silent_until": "silent_until",
    "misses": "misses",
}
UNIT_COST_FIELDS: Mapping[str, str] = {
    "mean": "mean_units", "slope": "slope", "_spread": "_units_variance", "_common": "_covariance",
    "_latency": "_mean_latency", "_seen": "_samples",
}  # fmt: skip


class SnapshotError(ValueError):
    """Raised when a snapshot is unusable."""


def _read_attributes(owner: object, names: Mapping[str, str]) -> dict[str, Any]:
    return {written: getattr(owner, attribute) for written, attribute in names.items()}


def _write_attributes(owner: object, values: dict[str, Any], names: Mapping[str, str]) -> None:
    for written, attribute in names.items():
        value = values[written]
        if value is not None and not isinstance(value, int | float):
            raise SnapshotError(f"snapshot: {written}: expected a number, got {value!r:.40}")
        setattr(owner, attribute, value)


def _window(account: Account) -> dict[str, Any] | None:
    window = account.window
    return _read_attributes(window, WINDOW_FIELDS) if window is not None and window.is_known else None


def take_snapshot(gateway: Gateway) -> dict[str, Any]:
    """Return the state of the gateway, without changing it."""
    load_balancer, quotas = gateway.load_balancer, gateway.quotas
    incarnation, usage = quotas.incarnation, quotas.usage_broadcast
    accounts = sorted(quotas.accounts.items(), key=lambda each: -each[1].refilled_at)
    accounts = [*quotas.inherited.items(), *accounts][:MAX_ACCOUNTS]
    return {
        "retries": gateway._retry_tokens,
        "seen": list(gateway._recent_values),
        "gate": _read_attributes(gateway.gate, GATE_FIELDS),
        "base": load_balancer.idle_latency,
        "sizes": _read_attributes(load_balancer.unit_cost, UNIT_COST_FIELDS),
        "done_rate": load_balancer._mean_finish_rate,
        "bans": sorted(load_balancer.bans),
        "known": list(load_balancer.births),
        "births": load_balancer.births,
        "servers": [
            {"entry": asdict(s.entry) | {"health": s.entry.health.value}, "up": s.up,
             **_read_attributes(s, SERVER_FIELDS)}
            for s in load_balancer.servers.values()
            if not s.gone
        ],
        "born": quotas._started_at,
        "calls": _read_attributes(quotas.counter_calls, CALL_FIELDS),
        "first": incarnation.is_first,
        "tells": None if usage is None else [usage.started_at, usage.was_restarted, list(usage.unknown_use.items())],
        "accounts": [
            [*key, a.gateways, a.open_attempts, _read_attributes(a, ACCOUNT_FIELDS), _window(a)]
            for key, a in accounts
        ],
    }  # fmt: skip


def restore_snapshot(gateway: Gateway, now: float, state: dict[str, Any]) -> None:
    """Restore a predecessor's state in a new gateway, less the share that the predecessor keeps.

    Raise SnapshotError if the state is unusable; the gateway must then be discarded.
    """
    try:
        _restore(gateway, now, state)
    except (KeyError, TypeError, ValueError, AttributeError, IndexError) as error:
        raise SnapshotError(f"snapshot: invalid state: {error!r:.120}") from None


def _entry(raw: dict[str, Any]) -> api.ServerEntry:
    return api.ServerEntry(
        str(raw["name"]), api.Health(raw["health"]), str(raw["zone"]), int(raw["cell"]), float(raw["size"]),
        float(raw["born"]),
    )  # fmt: skip


def _restore(gateway: Gateway, now: float, state: dict[str, Any]) -> None:
    load_balancer, quotas = gateway.load_balancer, gateway.quotas
    gateway._retry_tokens = float(state["retries"])
    gateway._recent_values.extend(map(float, state["seen"]))
    gateway._sorted_values = sorted(gateway._recent_values)
    _write_attributes(gateway.gate, state["gate"], GATE_FIELDS)
    load_balancer.idle_latency.update({str(name): float(value) for name, value in state["base"].items()})
    _write_attributes(load_balancer.unit_cost, state["sizes"], UNIT_COST_FIELDS)
    load_balancer._mean_finish_rate = float(state["done_rate"])
    load_balancer.bans.update(map(str, state["bans"]))
    births = state.get("births", {})  # a predecessor of an older version sends none
    load_balancer.births.update({str(name): births.get(name) for name in state["known"]})
    rows = [(_entry(row["entry"]), row) for row in state["servers"]]
    load_balancer.update_servers(now, api.ServerList(tuple(entry for entry, _ in rows), True))
    for entry, row in rows:
        server = load_balancer.servers[entry.name]
        _write_attributes(server, row, SERVER_FIELDS)
        server.up = bool(row["up"])
        server.cold_budget *= 1 - RETAINED_PART if server.cold_budget > 0 else 1
    load_balancer._rebuild(now)
    quotas._started_at = float(state["born"])
    _write_attributes(quotas.counter_calls, state["calls"], CALL_FIELDS)
    # A predecessor of an older version sends it as "life".
    quotas.incarnation.resume(now, bool(state["first"] if "first" in state else state["life"]["vouched"]))
    if state["tells"] is not None and quotas.usage_broadcast is not None:
        quotas.usage_broadcast.started_at, quotas.usage_broadcast.was_restarted = (
            float(state["tells"][0]),
            bool(state["tells"][1]),
        )
        quotas.usage_broadcast.unknown_use.update(
            {int(key): (float(u), float(at)) for key, (u, at) in state["tells"][2]}
        )
    # Accounts that wait for their plans come first: others of their names then count as substitutes.
    for plan, name, gateways, _open, values, window in sorted(
        state["accounts"], key=lambda row: row[0] in quotas.plans.current
    ):
        request = api.Request(0, "", str(plan), 1.0, str(name), gateways=int(gateways))
        _restore_account(quotas, now, request, values, window)
    quotas.set_predecessor(True)
    if len(state["accounts"]) >= MAX_ACCOUNTS:
        quotas.forget_first_incarnation(now)  # the accounts that were left out may have been drawn on


def _restore_account(
    quotas: Quotas, now: float, request: api.Request, values: dict[str, Any], window: dict[str, Any] | None
) -> None:
    """Restore an account; one whose plan is not known here waits until it is."""
    if request.plan in quotas.plans.current:
        account = quotas.get_or_create_account(now, request)
        # An older version writes windows with other field names. They are skipped: the counter knows their contents.
        if account.window is not None and window is not None and set(WINDOW_FIELDS) <= set(window):
            _write_attributes(account.window, window, WINDOW_FIELDS)
    else:
        account = quotas.keep_inherited_account(now, request)
    _write_attributes(account, values, ACCOUNT_FIELDS)
    if quotas.usage_broadcast is not None and account.unreported:
        quotas.usage_broadcast.unreported_accounts[account.counter_name] = account
    for store in SPLIT_STORES:
        amount = getattr(account, store)
        setattr(account, store, (1 - RETAINED_PART) * amount if amount > 0 else amount)


class StateSplit:
    """The leaving process's split of the state.

    It keeps ``RETAINED_PART`` of each store, refills nothing, and can take back what it gave. It holds amounts only:
    plans that change while there are two processes are those of the settings, here and afterwards.
    """

    def __init__(self, gateway: Gateway) -> None:
        self._gateway = gateway
        self._budgets = [
            (s, (1 - RETAINED_PART) * max(0.0, s.cold_budget)) for s in gateway.load_balancer.servers.values()
        ]
        for server, budget in self._budgets:
            server.cold_budget -= budget
        gateway.quotas.hand_over()

    def undo(self, whole: bool, now: float) -> None:
        """Serve alone again, by the terms in force.

        With ``whole`` the successor has drawn nothing, and its share is taken back; otherwise the share counts as
        used.
        """
        quotas = self._gateway.quotas
        if whole:
            quotas.take_back()
            for server, budget in self._budgets:
                server.cold_budget += budget
            return
        quotas.refill_accounts(now)
        self.abandon(now)

    def abandon(self, now: float) -> None:
        """Serve alone again; all that was given counts as used, also by accounts that are new here."""
        self._gateway.quotas.count_lent_as_used(now)


class PredecessorAttempts:
    """The predecessor's open attempts, which also count against this process's limits on open attempts."""

    def __init__(self, gateway: Gateway) -> None:
        self._gateway = gateway
        self._held = dict[tuple[str, str], tuple[Account, int]]()  # where each number was counted

    def update(self, attempts: dict[tuple[str, str], int]) -> None:
        """Set the predecessor's open attempts by plan and account; empty after its end.

        An account may have been replaced since the last report, under another plan or the same one.
        """
        for account, number in self._held.values():
            account.open_attempts -= number
        accounts = self._gateway.quotas.accounts
        self._held = {key: (accounts[key], number) for key, number in attempts.items() if key in accounts}
        for account, number in self._held.values():
            account.open_attempts += number


def count_open_attempts(gateway: Gateway) -> list[tuple[str, str, int]]:
    """Return the plan, account and number of open attempts of each account that has any."""
    return [(*key, a.open_attempts) for key, a in gateway.quotas.accounts.items() if a.open_attempts > 0]


def encode_snapshot(state: dict[str, Any]) -> tuple[str, str]:
    """Return the text of a snapshot and its checksum."""
    text = json.dumps({"version": VERSION, "state": state}, separators=(",", ":"))
    return text, hashlib.sha256(text.encode()).hexdigest()


def decode_snapshot(text: str, checksum: str) -> dict[str, Any]:
    """Return the state in a snapshot. Raise SnapshotError if text, checksum or version do not match."""
    if hashlib.sha256(text.encode()).hexdigest() != checksum:
        raise SnapshotError("snapshot: checksum mismatch")
    try:
        raw = json.loads(text)
        version, state = raw["version"], raw["state"]
    except (ValueError, KeyError, TypeError):
        raise SnapshotError("snapshot: expected an object with version and state") from None
    if version != VERSION or not isinstance(state, dict):
        raise SnapshotError(f"snapshot: unsupported version {version!r:.20}, expected {VERSION}")
    return state
