"""The settings object of the wire and of the configuration, as typed records.

What stands for a key that is absent or null, in the page's words: a number whose page says "0: no such ..." is 0, and
what is not allowed in so many words is not allowed. Other figures are those that the bench's page gives for a site
file that leaves them out. Where neither says anything, or a wrong guess would break a rule, the key is needed, and the
error names it. What this program does not read may be absent, too.

| key | absent |
| --- | --- |
| ``me``, ``n_instances``, ``classes``, ``tariffs``, ``contract`` | an error |
| ``contract``: ``cold_from``, ``warm_after_s``, ``fall_multiple``, ``fall_s`` | an error |
| ``my_zone``, ``discovery`` | no zone, ``push`` |
| ``classes[]``: ``name``, ``aim_s``, ``effect``; of a keyed class ``group`` and ``window_s`` | an error |
| ``classes[]``: ``worth``, ``late_worth`` | 1, 0 |
| ``classes[]``: ``hard_limit_s`` | 3, the longest that the end of a process goes by |
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

Every figure that is read is a number from 0 to 2 ** 53, and above 0 or whole where its page needs that. What is not
ends a start and leaves a limiter in service with the settings it has; the error names the key and what was expected.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, TypeVar

from cypresspulley import interface as api

EFFECT = {"idempotent": api.Effect.SAFE, "deduplicated": api.Effect.KEYED, "at_most_once": api.Effect.UNSAFE}
SCOPE = {scope.value: scope for scope in api.Scope}
MAY_GO = frozenset({"aim_stretch"})  # the page says that this key may be absent
MAX_NUMBER = (
    2**53
)  # beyond it floats leave whole numbers out: a store of that size would not notice a unit that is taken
T = TypeVar("T")


class SettingsError(ValueError):
    """A settings object that cannot be read."""


LONGEST_DEADLINE = 3.0  # seconds: the platform waits no longer for a process that was told to end, and 0.7 s


@dataclass(frozen=True, slots=True)
class SocketSettings:
    """What the sockets need of the settings and the decisions do not."""

    dial_timeout: float
    idle_timeout: float
    discovery_pushes: bool = (
        True  # lists are pushed to an agent on this machine; else each call for one is work for others
    )
    longest_deadline: float = LONGEST_DEADLINE  # seconds, of all classes; for the time that an end may take


def check_no_missing_keys(raw: dict[str, Any], before: dict[str, Any]) -> None:
    """A settings object that is to replace ``before`` in service: no key may have gone missing.

    A file that was cut short or written by hand parses all too well, and each key that it lacks would silently fall
    back to a default. ``SettingsError`` names the key.
    """
    for key, value in before.items():
        if key not in raw:
            raise SettingsError(f"settings: {key} is missing")
        if isinstance(value, dict) and isinstance(raw[key], dict):
            for inner in value:
                if inner not in raw[key]:
                    raise SettingsError(f"settings: {key}.{inner} is missing")
    for key in ("classes", "tariffs"):
        old, new = _rows(before, key), _rows(raw, key)
        if old and not new:
            raise SettingsError(f"settings: {key}: expected at least one")
        wanted = set[str].intersection(*(set(row) for row in old)) if old else set[str]()
        for row in new:
            if missing := wanted - set(row) - MAY_GO:
                raise SettingsError(f"settings: {key}: {row['name']!r:.40}: {min(missing)} is missing")


def check_positive_figures(raw: dict[str, Any]) -> None:
    """Figures that no limiter can serve by: deadlines, aims, attempts and a number of limiters that are not above 0."""
    for row in _rows(raw, "classes"):
        for key in ("hard_limit_s", "aim_s"):
            _number(row, key, above=True)
    _number(raw, "n_instances", above=True, whole=True)
    _number(_section(raw, "limits"), "max_attempts", above=True, whole=True)


def _word(table: dict[str, T], what: str, word: object) -> T:
    if not isinstance(word, str) or word not in table:
        raise SettingsError(f"settings: {what}: expected one of {', '.join(table)}, got {word!r:.60}")
    return table[word]


def _section(owner: dict[str, Any], key: str) -> dict[str, Any]:
    value = owner.get(key)
    if value is None:
        return {}
    if not isinstance(value, dict):
        raise SettingsError(f"settings: {key} is not an object")
    return value


def _number(
    owner: dict[str, Any], key: str, missing: float = 0.0, *, above: bool = False, whole: bool = False
) -> float:
    """A figure from 0, or ``above`` it, to ``MOST``; ``missing`` where there is none."""
    value = owner.get(key)
    if value is None:
        return missing
    # A whole number may be too large for a float, and is compared as it is; no comparison holds for NaN.
    fits = isinstance(value, int | float) and not isinstance(value, bool) and 0 <= value <= MAX_NUMBER
    if not fits or (above and not value) or (whole and value != int(value)):
        bounds = f"above 0, at most {MAX_NUMBER}" if above else f"from 0 to {MAX_NUMBER}"
        raise _unfit(owner, key, f"a {'whole ' * whole}number {bounds}")
    return float(value)


def _text(owner: dict[str, Any], key: str) -> str:
    value = owner.get(key)
    if value is not None and not isinstance(value, str):
        raise _unfit(owner, key, "a text")
    return value or ""


def _flag(owner: dict[str, Any], key: str) -> bool:
    value = owner.get(key)
    if value is not None and not isinstance(value, bool):
        raise _unfit(owner, key, "true or false")
    return bool(value)


def _unfit(owner: dict[str, Any], key: str, expected: str) -> SettingsError:
    """``owner`` is a section, or a row with its name."""
    row = f"{owner['name']!r:.40}: " if "name" in owner else ""
    return SettingsError(f"settings: {row}{key}: expected {expected}, got {owner[key]!r:.60}")


def _rows(owner: dict[str, Any], key: str) -> list[dict[str, Any]]:
    rows = owner.get(key) or []
    if not isinstance(rows, list) or not all(isinstance(row, dict) for row in rows):
        raise SettingsError(f"settings: {key} is not a list of objects")
    names = [row.get("name") for row in rows]
    if not all(isinstance(name, str) for name in names):
        raise SettingsError(f"settings: {key}: a name is missing")
    if len(set(names)) < len(names):
        raise SettingsError(f"settings: {key}: two of one name")
    return rows


def _need(owner: dict[str, Any], where: str, *keys: str) -> None:
    """A key that no default can stand for is there."""
    for key in keys:
        if owner.get(key) is None:
            raise SettingsError(f"settings: {where}{key} is missing")


def _check_needed(raw: dict[str, Any]) -> None:
    """What the table above calls an error; the first key that is missing is named."""
    _need(raw, "", "classes", "tariffs", "me", "n_instances", "contract")
    _need(_section(raw, "contract"), "contract.", "cold_from", "warm_after_s", "fall_multiple", "fall_s")
    specifics = _section(raw, "specifics")
    if _flag(specifics, "has_counter"):
        _need(specifics, "specifics.", "count_wait_s")
    for row in _rows(raw, "classes"):
        where = f"classes: {row['name']!r:.40}: "
        _need(row, where, "aim_s", "effect")
        if row["effect"] == "deduplicated":
            _need(row, where, "group", "window_s")
    for row in _rows(raw, "tariffs"):
        where = f"tariffs: {row['name']!r:.40}: "
        _need(row, where, "quota_rate")
        for rate, store in (("quota_rate", "store_size"), ("never_over_rate", "hard_burst")):
            if _number(row, rate) > 0:
                _need(row, where, store)
            elif rate != "quota_rate" and _number(row, store) > 0:
                _need(row, where, rate)


def parse_settings(raw: dict[str, Any]) -> api.Settings:
    """The settings object as the module's settings."""
    limits, contract = _section(raw, "limits"), _section(raw, "contract")
    specifics, report = _section(raw, "specifics"), _section(raw, "report")
    _check_needed(raw)
    classes = tuple(
        api.RequestClass(
            name=row["name"],
            aim=_number(row, "aim_s"),
            worth=_number(row, "worth", 1.0),
            effect=_word(EFFECT, "effect", row["effect"]),
            late_worth=_number(row, "late_worth"),
            scope=_word(SCOPE, "group", row.get("group") or "all"),
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
            open_limit=int(_number(row, "parallel", whole=True)),
            over_worth=_number(row, "over_worth"),
            over_cost=_number(row, "over_cost", 0.5),
            ceiling_rate=_number(row, "never_over_rate"),
            ceiling_burst=_number(row, "hard_burst"),
        )
        for row in _rows(raw, "tariffs")
    )
    return api.Settings(
        index=int(_number(raw, "me", whole=True)),
        gateways=int(_number(raw, "n_instances", 1, whole=True)),
        zone=_text(raw, "my_zone"),
        classes=classes,
        plans=plans,
        max_attempts=int(_number(limits, "max_attempts", 1, above=True, whole=True)),
        may_duplicate=_flag(limits, "may_duplicate"),
        may_cancel=_flag(limits, "cancel"),
        may_probe=_flag(limits, "probes"),
        load_on_probe=_text(report, "how") == "on_probe",
        has_counter=_flag(specifics, "has_counter"),
        counter_timeout=_number(specifics, "count_wait_s"),
        max_units=_number(specifics, "max_units", 6.0),
        max_retry_after=_number(limits, "max_retry_after_s", 1.0) if _flag(limits, "retry_after") else 0.0,
        cold_share=_number(contract, "cold_from", 1.0, above=True),
        warm_after=_number(contract, "warm_after_s"),
        fall_multiple=_number(contract, "fall_multiple", 1.0),
        fall_window=_number(contract, "fall_s", 1.0, above=True),
        may_message_peers=_flag(limits, "peers"),
        inbox_rate=_number(specifics, "inbox_per_s", 60.0),
        usage_period=_number(specifics, "meter_s"),
    )


def parse_socket_settings(raw: dict[str, Any]) -> SocketSettings:
    """The connection times of the settings object."""
    limits = _section(raw, "limits")
    return SocketSettings(
        _number(limits, "dial_timeout_s", 0.25, above=True),
        _number(limits, "conn_idle_s", 15.0, above=True),
        _text(raw, "discovery") != "ask",
        _longest_deadline(raw),
    )


def _longest_deadline(raw: dict[str, Any]) -> float:
    """Of the classes' deadlines, ``LONGEST_DEADLINE`` at most, and where one is not told."""
    deadlines = [_number(row, "hard_limit_s") or LONGEST_DEADLINE for row in _rows(raw, "classes")]
    return min(LONGEST_DEADLINE, max(deadlines, default=LONGEST_DEADLINE))
