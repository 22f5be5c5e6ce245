"""Parses the settings object of the wire and of the configuration file into typed records.

A key that is absent or null gets a default. It is 0 for a number that the specification describes as "0: no such ...",
and False for a permission that is not granted explicitly. Other defaults are those that the benchmark's specification
gives for site files. A key is required if neither defines a default, or if a wrong guess would break a rule; the error
names the key. Keys that this program does not read may be absent as well.

| key | if absent |
| --- | --- |
| ``me``, ``n_instances``, ``classes``, ``tariffs``, ``contract`` | an error |
| ``contract``: ``cold_from``, ``warm_after_s``, ``fall_multiple``, ``fall_s`` | an error |
| ``my_zone``, ``discovery`` | no zone, ``push`` |
| ``classes[]``: ``name``, ``aim_s``, ``effect``; of a keyed class ``group`` and ``window_s`` | an error |
| ``classes[]``: ``worth``, ``late_worth`` | 1, 0 |
| ``classes[]``: ``hard_limit_s`` | 3, the most that the shutdown of a process allows for |
| ``tariffs[]``: ``name``, ``quota_rate``; with one ``store_size``; of a ceiling both figures | an error |
| ``tariffs[]``: ``price``, ``over_worth``, ``over_cost`` | 1, 0, 0.5 |
| ``tariffs[]``: ``parallel``; ``never_over_rate`` and ``hard_burst`` together | 0: none |
| ``limits``: ``may_duplicate``, ``cancel``, ``probes``, ``peers``, ``retry_after`` | not allowed |
| ``limits``: ``max_attempts``, ``max_retry_after_s`` | 1: none is repeated; 1 |
| ``limits``: ``dial_timeout_s``, ``conn_idle_s`` | 0.25, 15 |
| ``specifics``: ``has_counter``, ``meter_s`` | none |
| ``specifics``: ``count_wait_s`` of a counter | an error |
| ``specifics``: ``max_units``, ``inbox_per_s`` | 6, 60 |
| ``report.how`` | loads come with answers, if at all |

Every number that is read lies between 0 and 2 ** 53, and is positive or an integer where the specification requires it.
An invalid value ends the program at its start, and leaves a running limiter with its previous settings; the error names
the key and what was expected.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, TypeVar

from cypresspulley import interface as api

EFFECTS = {"idempotent": api.Effect.SAFE, "deduplicated": api.Effect.KEYED, "at_most_once": api.Effect.UNSAFE}
SCOPES = {scope.value: scope for scope in api.Scope}
OPTIONAL_KEYS = frozenset({"aim_stretch"})  # the specification says that this key may be absent
# Floats above it do not represent all integers: a token bucket of that size would not shrink by one unit.
MAX_NUMBER = 2**53
T = TypeVar("T")


class SettingsError(ValueError):
    """The settings object is invalid; the message names the key and what was expected."""


# Seconds. The platform waits at most 0.7 s longer than this for a process that was asked to stop.
LONGEST_DEADLINE = 3.0


@dataclass(frozen=True, slots=True)
class SocketSettings:
    """Settings of the network code that the decisions do not use. Times are in seconds."""

    dial_timeout: float
    idle_timeout: float
    # Server lists are pushed to an agent on this machine; otherwise each request for a list burdens a remote one.
    discovery_pushes: bool = True
    longest_deadline: float = LONGEST_DEADLINE  # of all classes; bounds the time that a shutdown may take


def check_no_missing_keys(raw: dict[str, Any], before: dict[str, Any]) -> None:
    """Check that settings that are to replace ``before`` in a running limiter lack none of its keys.

    A truncated or hand-written file may parse without error, and each missing key would silently fall back to its
    default. Raise ``SettingsError`` with the name of the key.
    """
    for key, value in before.items():
        if key not in raw:
            raise SettingsError(f"settings: {key} is missing")
        if isinstance(value, dict) and isinstance(raw[key], dict):
            for subkey in value:
                if subkey not in raw[key]:
                    raise SettingsError(f"settings: {key}.{subkey} is missing")
    for key in ("classes", "tariffs"):
        old_rows, new_rows = _rows(before, key), _rows(raw, key)
        if old_rows and not new_rows:
            raise SettingsError(f"settings: {key}: expected at least one")
        required = set[str].intersection(*(set(row) for row in old_rows)) if old_rows else set[str]()
        for row in new_rows:
            if missing := required - set(row) - OPTIONAL_KEYS:
                raise SettingsError(f"settings: {key}: {row['name']!r:.40}: {min(missing)} is missing")


def check_positive_figures(raw: dict[str, Any]) -> None:
    """Raise ``SettingsError`` unless deadlines, aims, attempts and the number of limiters are above 0."""
    for row in _rows(raw, "classes"):
        for key in ("hard_limit_s", "aim_s"):
            _number(row, key, positive=True)
    _number(raw, "n_instances", positive=True, integer=True)
    _number(_section(raw, "limits"), "max_attempts", positive=True, integer=True)


def _lookup(table: dict[str, T], key: str, word: object) -> T:
    if not isinstance(word, str) or word not in table:
        raise SettingsError(f"settings: {key}: expected one of {', '.join(table)}, got {word!r:.60}")
    return table[word]


def _section(section: dict[str, Any], key: str) -> dict[str, Any]:
    value = section.get(key)
    if value is None:
        return {}
    if not isinstance(value, dict):
        raise SettingsError(f"settings: {key} is not an object")
    return value


def _number(
    section: dict[str, Any], key: str, default: float = 0.0, *, positive: bool = False, integer: bool = False
) -> float:
    """Return a number from 0 (above 0 if ``positive``) to ``MAX_NUMBER``, or ``default`` if there is none."""
    value = section.get(key)
    if value is None:
        return default
    # An int may be too large for a float, and is compared without conversion; every comparison with NaN is False.
    fits = isinstance(value, int | float) and not isinstance(value, bool) and 0 <= value <= MAX_NUMBER
    if not fits or (positive and not value) or (integer and value != int(value)):
        bounds = f"above 0, at most {MAX_NUMBER}" if positive else f"from 0 to {MAX_NUMBER}"
        raise _value_error(section, key, f"a {'whole ' * integer}number {bounds}")
    return float(value)


def _text(section: dict[str, Any], key: str) -> str:
    value = section.get(key)
    if value is not None and not isinstance(value, str):
        raise _value_error(section, key, "a text")
    return value or ""


def _flag(section: dict[str, Any], key: str) -> bool:
    value = section.get(key)
    if value is not None and not isinstance(value, bool):
        raise _value_error(section, key, "true or false")
    return bool(value)


def _value_error(section: dict[str, Any], key: str, expected: str) -> SettingsError:
    """Return an error for the value of a key in a section, or in a row, which the message names."""
    row = f"{section['name']!r:.40}: " if "name" in section else ""
    return SettingsError(f"settings: {row}{key}: expected {expected}, got {section[key]!r:.60}")


def _rows(section: dict[str, Any], key: str) -> list[dict[str, Any]]:
    rows = section.get(key) or []
    if not isinstance(rows, list) or not all(isinstance(row, dict) for row in rows):
        raise SettingsError(f"settings: {key} is not a list of objects")
    names = [row.get("name") for row in rows]
    if not all(isinstance(name, str) for name in names):
        raise SettingsError(f"settings: {key}: a name is missing")
    if len(set(names)) < len(names):
        raise SettingsError(f"settings: {key}: two of one name")
    return rows


def _require_keys(section: dict[str, Any], prefix: str, *keys: str) -> None:
    """Raise ``SettingsError`` for the first of the keys that is absent or null; ``prefix`` precedes its name."""
    for key in keys:
        if section.get(key) is None:
            raise SettingsError(f"settings: {prefix}{key} is missing")


def _check_required_keys(raw: dict[str, Any]) -> None:
    """Raise ``SettingsError`` for the first key without which the table above demands an error."""
    _require_keys(raw, "", "classes", "tariffs", "me", "n_instances", "contract")
    _require_keys(
        _section(raw, "contract"), "contract.", "cold_from", "warm_after_s", "fall_multiple", "fall_s"
    )
    specifics = _section(raw, "specifics")
    if _flag(specifics, "has_counter"):
        _require_keys(specifics, "specifics.", "count_wait_s")
    for row in _rows(raw, "classes"):
        prefix = f"classes: {row['name']!r:.40}: "
        _require_keys(row, prefix, "aim_s", "effect")
        if row["effect"] == "deduplicated":
            _require_keys(row, prefix, "group", "window_s")
    for row in _rows(raw, "tariffs"):
        prefix = f"tariffs: {row['name']!r:.40}: "
        _require_keys(row, prefix, "quota_rate")
        for rate_key, burst_key in (("quota_rate", "store_size"), ("never_over_rate", "hard_burst")):
            if _number(row, rate_key) > 0:
                _require_keys(row, prefix, burst_key)
            elif rate_key != "quota_rate" and _number(row, burst_key) > 0:
                _require_keys(row, prefix, rate_key)


def parse_settings(raw: dict[str, Any]) -> api.Settings:
    """Return the gateway's settings from the settings object; raise ``SettingsError`` if it is invalid."""
    limits, contract = _section(raw, "limits"), _section(raw, "contract")
    specifics, report = _section(raw, "specifics"), _section(raw, "report")
    _check_required_keys(raw)
    classes = tuple(
        api.RequestClass(
            name=row["name"],
            aim=_number(row, "aim_s"),
            worth=_number(row, "worth", 1.0),
            effect=_lookup(EFFECTS, "effect", row["effect"]),
            late_worth=_number(row, "late_worth"),
            scope=_lookup(SCOPES, "group", row.get("group") or "all"),
            window=_number(row, "window_s"),
        )
        for row in _rows(raw, "classes")
    )
    plans = tuple(
        api.Plan(
            name=row["name"],
            price=_number(row, "price", 1.0),
            rate=_number(row, "quota_rate"),
            burst=_number(row, "store_size"),
            open_limit=int(_number(row, "parallel", integer=True)),
            over_worth=_number(row, "over_worth"),
            over_cost=_number(row, "over_cost", 0.5),
            ceiling_rate=_number(row, "never_over_rate"),
            ceiling_burst=_number(row, "hard_burst"),
        )
        for row in _rows(raw, "tariffs")
    )
    return api.Settings(
        index=int(_number(raw, "me", integer=True)),
        gateways=int(_number(raw, "n_instances", 1, integer=True)),
        zone=_text(raw, "my_zone"),
        classes=classes,
        plans=plans,
        max_attempts=int(_number(limits, "max_attempts", 1, positive=True, integer=True)),
        may_duplicate=_flag(limits, "may_duplicate"),
        may_cancel=_flag(limits, "cancel"),
        may_probe=_flag(limits, "probes"),
        load_on_probe=_text(report, "how") == "on_probe",
        has_counter=_flag(specifics, "has_counter"),
        counter_timeout=_number(specifics, "count_wait_s"),
        max_units=_number(specifics, "max_units", 6.0),
        max_retry_after=_number(limits, "max_retry_after_s", 1.0) if _flag(limits, "retry_after") else 0.0,
        cold_share=_number(contract, "cold_from", 1.0, positive=True),
        warm_after=_number(contract, "warm_after_s"),
        fall_multiple=_number(contract, "fall_multiple", 1.0),
        fall_window=_number(contract, "fall_s", 1.0, positive=True),
        may_message_peers=_flag(limits, "peers"),
        inbox_rate=_number(specifics, "inbox_per_s", 60.0),
        usage_period=_number(specifics, "meter_s"),
    )


def parse_socket_settings(raw: dict[str, Any]) -> SocketSettings:
    """Return the settings of the network code from the settings object; raise ``SettingsError`` if it is invalid."""
    limits = _section(raw, "limits")
    return SocketSettings(
        _number(limits, "dial_timeout_s", 0.25, positive=True),
        _number(limits, "conn_idle_s", 15.0, positive=True),
        _text(raw, "discovery") != "ask",
        _longest_deadline(raw),
    )


def _longest_deadline(raw: dict[str, Any]) -> float:
    """Return the longest deadline of all classes, at most ``LONGEST_DEADLINE``; a class without one counts as that."""
    deadlines = [_number(row, "hard_limit_s") or LONGEST_DEADLINE for row in _rows(raw, "classes")]
    return min(LONGEST_DEADLINE, max(deadlines, default=LONGEST_DEADLINE))
