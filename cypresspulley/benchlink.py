"""Adapter between the benchmark simulator's protocol and ``policy.gateway.Gateway``.

It reads one batch of messages per line of standard input, as JSON, and writes one reply per line to standard output. It
only translates: all decisions are the gateway's.
"""

from __future__ import annotations

import gc
import json
import sys
from collections.abc import Callable, Iterable
from typing import Any, NoReturn, TextIO, TypeVar

from cypresspulley import interface as api
from cypresspulley.policy.gateway import Gateway
from cypresspulley.settings import SettingsError, parse_settings

STATUSES = {
    "OK": api.Status.OK,
    "INTERNAL": api.Status.ERROR,
    "RESOURCE_EXHAUSTED": api.Status.FULL,
    "DEADLINE_EXCEEDED": api.Status.TIMEOUT,
    "UNAVAILABLE": api.Status.UNREACHABLE,
    "ABORTED": api.Status.BROKEN,
    "CANCELLED": api.Status.CANCELLED,
    "TOO_LATE": api.Status.NOT_SENT,
}
HEALTH_STATES = {"healthy": api.Health.UP, "cordoned": api.Health.DRAINING, "deregistered": api.Health.GONE}
RETRY_FLAG = 2  # bit of ``opts`` that marks a client's retry
T = TypeVar("T")

# Fields of each message, in order. '?' marks a field that may be null, or absent at the end of the message.
MESSAGE_FIELDS = {
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
SERVER_FIELDS = (
    "born_s:num?",
    "size:num?",
    "group:int?",
    "machine:str?",
    "server:str",
    "health:str",
    "dc:str?",
)
FIELD_TYPES: dict[str, tuple[type, ...]] = {
    "int": (int,), "num": (int, float), "str": (str,), "bool": (bool,), "dict": (dict,), "list": (list,),
}  # fmt: skip


class WireError(Exception):
    """The input violates the protocol; the message says where."""


def _compile(spec: Iterable[str]) -> list[tuple[str, tuple[type, ...], bool]]:
    """Return the layout of a message: for each field its name, its types and whether it is optional."""
    fields = []
    for field in spec:
        name, kind = field.rstrip("?").split(":")
        fields.append((name, FIELD_TYPES[kind], field.endswith("?")))
    return fields


MESSAGE_LAYOUTS = {message: _compile(spec) for message, spec in MESSAGE_FIELDS.items()}
SERVER_LAYOUT = _compile(SERVER_FIELDS)


def _unpack(message: str, layout: list[tuple[str, tuple[type, ...], bool]], values: list[Any]) -> list[Any]:
    """Return the values of a message padded with None to its layout; raise ``WireError`` if they do not match it."""
    if len(values) > len(layout):
        raise WireError(f"{message}: {len(values)} values, {len(layout)} expected")
    padded = list(values) + [None] * (len(layout) - len(values))
    for value, (name, kinds, optional) in zip(padded, layout, strict=True):
        if value is None:
            if not optional:
                raise WireError(f"{message}: {name} is missing")
        elif not isinstance(value, kinds) or (isinstance(value, bool) and bool not in kinds):
            raise WireError(f"{message}: {name} has the wrong type: {value!r:.60}")
    return padded


def _lookup(table: dict[str, T], message: str, word: str) -> T:
    try:
        return table[word]
    except KeyError:
        raise WireError(f"{message}: unknown word {word!r:.60}") from None


def _server_entry(row: Any) -> api.ServerEntry:
    """Return the entry of one server in a ``register`` message; raise ``WireError`` if it is malformed."""
    if not isinstance(row, list):
        raise WireError("register: an entry is not an array")
    born, size, group, _machine, server, health, zone = _unpack("register", SERVER_LAYOUT, row)
    return api.ServerEntry(
        server,
        _lookup(HEALTH_STATES, "register", health),
        zone or "",
        group or 0,
        1.0 if size is None else size,
        born or 0.0,
    )


def _load_report(stats: dict[str, Any] | None) -> dict[str, float]:
    """Return the figures of a server's load report without nulls; raise ``WireError`` for a value that is no number."""
    figures = stats or {}
    for name, value in figures.items():
        if value is not None and (isinstance(value, bool) or not isinstance(value, int | float)):
            raise WireError(f"server_stats: {name} has the wrong type: {value!r:.60}")
    return {name: value for name, value in figures.items() if value is not None}


def decode_event(
    name: str, values: list[Any], lists: dict[int, tuple[api.ServerEntry, ...]]
) -> api.Event | None:
    """Return the event of an unpacked message, or None if the gateway does not use the message.

    Raise ``WireError`` for an unknown word or server list.
    """
    if name == "incoming":
        return api.Request(
            id=values[0], request_class=values[1] or "", plan=values[2] or "", ttl=values[3] or 0.0,
            account=values[7] or "",
            units=1.0 if values[8] is None else values[8], gateways=int(values[5] or 1),
            repeat=bool((values[4] or 0) & RETRY_FLAG),
        )  # fmt: skip
    if name == "resolved":
        status = _lookup(STATUSES, name, values[3])
        # The usage is sent as a percentage plus 1; 0 or null: not known.
        usage_share = (values[6] - 1) / 100 if values[6] else None
        return api.Outcome(
            values[0],
            values[1],
            values[2],
            status,
            values[4] or 0.0,
            bool(values[5]),
            _load_report(values[8]),
            usage_share,
            values[7] or None,
        )
    if name == "count_result":
        return api.Counted(values[1], _lookup(STATUSES, name, values[3]), values[2] or 0.0)
    if name == "peer":
        return api.PeerMessage(values[0], values[1] or "")
    if name == "timeout_fired":
        return api.TimerFired(values[0])
    if name == "left":
        return api.ClientDisconnected(values[0])
    if name == "probe_result":
        return api.Probed(
            values[0], _lookup(STATUSES, name, values[1]), values[2] or 0.0, _load_report(values[3])
        )
    if name == "membership" and values[0] != "FAILED":
        if values[0] not in ("INCREMENTAL", "FULL", "SAVED"):
            raise WireError(f"membership: unknown word {values[0]!r:.60}")
        if values[1] not in lists:
            raise WireError(f"membership: list {values[1]} was never registered")
        return api.ServerList(lists[values[1]], values[0] != "INCREMENTAL")
    return None


ENCODERS: dict[type, Callable[[Any], list[Any]]] = {
    api.Send: lambda action: ["pass_on", action.id, action.timeout, action.server],
    api.Refuse: lambda action: ["deny", action.id, action.retry_after],
    api.Fail: lambda action: ["give_up", action.id],
    api.Cancel: lambda action: ["call_off", action.id, action.attempt],
    api.Count: lambda action: ["bump", action.name, action.lifetime, action.amount],
    api.Broadcast: lambda action: ["write_peer", "all", action.text],
    api.Probe: lambda action: ["check", action.server],
    api.SetTimer: lambda action: ["sleep", action.delay, action.token],
    api.Log: lambda action: ["journal_line", action.text],
}


class BenchAdapter:
    """The gateways that one adapter process simulates, by instance; ``handle_batch`` answers one batch."""

    def __init__(self) -> None:
        self._gateways: dict[str, Gateway] = {}
        self._lists: dict[int, tuple[api.ServerEntry, ...]] = {}

    def handle_batch(self, line: str) -> str:
        """Return the reply to one line of input; raise ``WireError`` if the line violates the protocol."""
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
                self._handle_message(now, part["limiter_id"], message, actions)
            if actions:
                commands = [ENCODERS[type(action)](action) for action in actions]
                replies.append({"limiter_id": part["limiter_id"], "cmds": commands})
        return json.dumps({"n": batch.get("n"), "parts": replies}, separators=(",", ":"))

    def _handle_message(self, now: float, instance: str, message: Any, actions: list[api.Action]) -> None:
        """Handle one message to an instance and append the gateway's actions to ``actions``."""
        if not isinstance(message, list) or not message or not isinstance(message[0], str):
            raise WireError("a message is not an array that starts with its name")
        name = message[0]
        values = _unpack(name, _lookup(MESSAGE_LAYOUTS, "message", name), message[1:])
        if name == "register":
            self._lists[values[0]] = tuple(_server_entry(row) for row in values[1])
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
            event = decode_event(name, values, self._lists)
            gateway = self._gateways.get(instance)
            if event is not None and gateway is not None:
                actions.extend(gateway.handle(now, event))
            elif event is not None:
                raise WireError(f"{name}: {instance} has not begun")


def _exit_with_error(text: str) -> NoReturn:
    print(f"benchlink: {text}", file=sys.stderr)
    raise SystemExit(2)


def main(source: TextIO = sys.stdin, sink: TextIO = sys.stdout) -> None:
    """Answer batches until the input ends; a protocol violation ends the process with exit code 2."""
    adapter = BenchAdapter()
    gc.freeze()
    for line in source:
        if not line.strip():
            continue
        try:
            reply = adapter.handle_batch(line)
        except (WireError, ValueError) as error:
            _exit_with_error(str(error))
        sink.write(reply + "\n")
        sink.flush()


if __name__ == "__main__":
    main()
