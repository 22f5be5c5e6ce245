"""Adapter between the bench's wire and ``policy.gateway.Gateway``: translation only."""

from __future__ import annotations

import gc
import json
import sys
from collections.abc import Callable, Iterable
from typing import Any, NoReturn, TextIO, TypeVar

from cypresspulley import interface as api
from cypresspulley.policy.gateway import Gateway
from cypresspulley.settings import SettingsError, parse_settings

STATUS = {
    "OK": api.Status.OK,
    "INTERNAL": api.Status.ERROR,
    "RESOURCE_EXHAUSTED": api.Status.FULL,
    "DEADLINE_EXCEEDED": api.Status.TIMEOUT,
    "UNAVAILABLE": api.Status.UNREACHABLE,
    "ABORTED": api.Status.BROKEN,
    "CANCELLED": api.Status.CANCELLED,
    "TOO_LATE": api.Status.NOT_SENT,
}
HEALTH = {"healthy": api.Health.UP, "cordoned": api.Health.DRAINING, "deregistered": api.Health.GONE}
REPEAT_BIT = 2
T = TypeVar("T")

# The fields of each message, in order; '?' marks one that may be null or left out at the end.
FIELDS = {
    "begin": ("salt:int", "settings:dict"),
    "register": ("list:int", "lines:list"),
    "membership": ("how:str", "list:int?", "index:int?"),
    "incoming": (
        "id:int", "profile:str?", "grade_of_service:str?", "ttl_s:num?", "opts:int?",
        "n_entries:num?", "set_from:num?", "account:str?", "price_units:num?",
    ),
    "begun": ("id:int", "try:int", "server:str", "rtt_s:num?"),
    "probe_result": ("server:str", "verdict:str", "rtt_s:num?", "server_stats:dict?"),
    "shutdown": (),
    "count_result": ("rtt_s:num?", "counter_key:int", "total:num?", "verdict:str"),
    "timeout_fired": ("mark:int",),
    "left": ("id:int",),
    "resolved": (
        "id:int", "try:int", "server:str", "verdict:str", "rtt_s:num?", "closed:bool?",
        "used:int?", "actual:num?", "server_stats:dict?",
    ),
    "peer": ("sender:int", "msg:str?"),
}  # fmt: skip
ENTRY = ("born_s:num?", "size:num?", "group:int?", "machine:str?", "server:str", "health:str", "dc:str?")
KINDS: dict[str, tuple[type, ...]] = {
    "int": (int,), "num": (int, float), "str": (str,), "bool": (bool,), "dict": (dict,), "list": (list,),
}  # fmt: skip


class WireError(Exception):
    """A message that the wire does not allow."""


def _compile(spec: Iterable[str]) -> list[tuple[str, tuple[type, ...], bool]]:
    fields = []
    for field in spec:
        name, kind = field.rstrip("?").split(":")
        fields.append((name, KINDS[kind], field.endswith("?")))
    return fields


LAYOUT = {message: _compile(spec) for message, spec in FIELDS.items()}
ENTRY_LAYOUT = _compile(ENTRY)


def _unpack(what: str, layout: list[tuple[str, tuple[type, ...], bool]], values: list[Any]) -> list[Any]:
    """Check one message's values against its layout; nulls and missing optional ones become None."""
    if len(values) > len(layout):
        raise WireError(f"{what}: {len(values)} values, {len(layout)} expected")
    padded = list(values) + [None] * (len(layout) - len(values))
    for value, (name, kinds, optional) in zip(padded, layout, strict=True):
        if value is None:
            if not optional:
                raise WireError(f"{what}: {name} is missing")
        elif not isinstance(value, kinds) or (isinstance(value, bool) and bool not in kinds):
            raise WireError(f"{what}: {name} has the wrong type: {value!r:.60}")
    return padded


def _word(table: dict[str, T], what: str, word: str) -> T:
    try:
        return table[word]
    except KeyError:
        raise WireError(f"{what}: unknown word {word!r:.60}") from None


def _entry(row: Any) -> api.ServerEntry:
    if not isinstance(row, list):
        raise WireError("register: an entry is not an array")
    born, size, group, _machine, server, health, zone = _unpack("register", ENTRY_LAYOUT, row)
    return api.ServerEntry(
        server,
        _word(HEALTH, "register", health),
        zone or "",
        group or 0,
        1.0 if size is None else size,
        born or 0.0,
    )


def _report(pairs: dict[str, Any] | None) -> dict[str, float]:
    found = pairs or {}
    for name, value in found.items():
        if value is not None and (isinstance(value, bool) or not isinstance(value, int | float)):
            raise WireError(f"server_stats: {name} has the wrong type: {value!r:.60}")
    return {name: value for name, value in found.items() if value is not None}


def event_from(message: str, v: list[Any], lists: dict[int, tuple[api.ServerEntry, ...]]) -> api.Event | None:
    """One unpacked message as an event; None for what the module has no use for."""
    if message == "incoming":
        return api.Request(
            id=v[0], request_class=v[1] or "", plan=v[2] or "", ttl=v[3] or 0.0, account=v[7] or "",
            units=1.0 if v[8] is None else v[8], gateways=int(v[5] or 1),
            repeat=bool((v[4] or 0) & REPEAT_BIT),
        )  # fmt: skip
    if message == "resolved":
        status = _word(STATUS, message, v[3])
        used = (v[6] - 1) / 100 if v[6] else None
        return api.Outcome(
            v[0], v[1], v[2], status, v[4] or 0.0, bool(v[5]), _report(v[8]), used, v[7] or None
        )
    if message == "count_result":
        return api.Counted(v[1], _word(STATUS, message, v[3]), v[2] or 0.0)
    if message == "peer":
        return api.PeerMessage(v[0], v[1] or "")
    if message == "timeout_fired":
        return api.TimerFired(v[0])
    if message == "left":
        return api.ClientDisconnected(v[0])
    if message == "probe_result":
        return api.Probed(v[0], _word(STATUS, message, v[1]), v[2] or 0.0, _report(v[3]))
    if message == "membership" and v[0] != "FAILED":
        if v[0] not in ("INCREMENTAL", "FULL", "SAVED"):
            raise WireError(f"membership: unknown word {v[0]!r:.60}")
        if v[1] not in lists:
            raise WireError(f"membership: list {v[1]} was never registered")
        return api.ServerList(lists[v[1]], v[0] != "INCREMENTAL")
    return None


ENCODE: dict[type, Callable[[Any], list[Any]]] = {
    api.Send: lambda a: ["pass_on", a.id, a.timeout, a.server],
    api.Refuse: lambda a: ["deny", a.id, a.retry_after],
    api.Fail: lambda a: ["give_up", a.id],
    api.Cancel: lambda a: ["call_off", a.id, a.attempt],
    api.Count: lambda a: ["bump", a.name, a.lifetime, a.amount],
    api.Broadcast: lambda a: ["write_peer", "all", a.text],
    api.Probe: lambda a: ["check", a.server],
    api.SetTimer: lambda a: ["sleep", a.delay, a.token],
    api.Log: lambda a: ["journal_line", a.text],
}


class Link:
    """The instances of one process; each batch goes in, its reply comes out."""

    def __init__(self) -> None:
        self._gateways: dict[str, Gateway] = {}
        self._lists: dict[int, tuple[api.ServerEntry, ...]] = {}

    def batch(self, line: str) -> str:
        try:
            batch = json.loads(line)
        except ValueError as error:
            raise WireError(f"a line is not JSON: {error}") from None
        if not isinstance(batch, dict):
            raise WireError("a batch is not an object")
        now, parts = batch.get("moment_s"), batch.get("parts")
        if isinstance(now, bool) or not isinstance(now, int | float):
            raise WireError("batch: moment_s is missing or has the wrong type")
        if not isinstance(parts, list):
            raise WireError("batch: parts is missing or has the wrong type")
        replies = []
        for part in parts:
            if not isinstance(part, dict) or not isinstance(part.get("limiter_id"), str):
                raise WireError("batch: a part lacks its limiter_id")
            if not isinstance(part.get("news"), list):
                raise WireError("batch: news is missing or has the wrong type")
            actions: list[api.Action] = []
            for message in part["news"]:
                self._take(now, part["limiter_id"], message, actions)
            if actions:
                commands = [ENCODE[type(action)](action) for action in actions]
                replies.append({"limiter_id": part["limiter_id"], "cmds": commands})
        return json.dumps({"n": batch.get("n"), "parts": replies}, separators=(",", ":"))

    def _take(self, now: float, instance: str, message: Any, actions: list[api.Action]) -> None:
        if not isinstance(message, list) or not message or not isinstance(message[0], str):
            raise WireError("a message is not an array that starts with its name")
        name = message[0]
        values = _unpack(name, _word(LAYOUT, "message", name), message[1:])
        if name == "register":
            self._lists[values[0]] = tuple(_entry(row) for row in values[1])
        elif name == "begin":
            try:
                settings = parse_settings(values[1])
            except SettingsError as error:
                raise WireError(str(error)) from None
            self._gateways[instance] = Gateway(settings, values[0], now)
        elif name == "shutdown":
            self._gateways.pop(instance, None)
            actions.clear()
        else:
            event = event_from(name, values, self._lists)
            gateway = self._gateways.get(instance)
            if event is not None and gateway is not None:
                actions.extend(gateway.handle(now, event))
            elif event is not None:
                raise WireError(f"{name}: {instance} has not begun")


def _stop(text: str) -> NoReturn:
    print(f"benchlink: {text}", file=sys.stderr)
    raise SystemExit(2)


def main(source: TextIO = sys.stdin, sink: TextIO = sys.stdout) -> None:
    link = Link()
    gc.freeze()
    for line in source:
        if not line.strip():
            continue
        try:
            reply = link.batch(line)
        except (WireError, ValueError) as error:
            _stop(str(error))
        sink.write(reply + "\n")
        sink.flush()


if __name__ == "__main__":
    main()
