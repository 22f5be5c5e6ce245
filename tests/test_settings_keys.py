"""Removes each key of the settings in turn: the documented default applies, or an error names the key."""

from __future__ import annotations

import copy
import json
from collections.abc import Iterator
from contextlib import suppress
from typing import Any

import pytest

from cypresspulley import interface as api
from cypresspulley.config import Config, ConfigError, parse_config
from cypresspulley.reload import ConfigReloader
from cypresspulley.settings import SettingsError, check_no_missing_keys, parse_settings, parse_socket_settings
from tests.test_reload import CallRecorder

# The specification's example, with a keyed class, a plan with a limit on open attempts, and peer messages.
COMPLETE_SETTINGS: dict[str, Any] = {
    "classes": [
        {"aim_s": 1.2, "aim_stretch": 2.0, "effect": "idempotent", "group": "all", "hard_limit_s": 2.5,
         "late_worth": 0.25, "name": "look", "streaming": False, "window_s": 5.0, "worth": 2.0},
        {"aim_s": 0.8, "aim_stretch": 2.0, "effect": "deduplicated", "group": "zone", "hard_limit_s": 2.0,
         "late_worth": 0.5, "name": "hold", "streaming": False, "window_s": 0.7, "worth": 3.0},
        {"aim_s": 2.0, "aim_stretch": 2.0, "effect": "at_most_once", "group": "all", "hard_limit_s": 2.8,
         "late_worth": 0.1, "name": "pay", "streaming": False, "window_s": 5.0, "worth": 5.0},
    ],
    "clients": {"marks_retry": True},
    "contract": {"answer_slack_s": 0.008, "cold_from": 0.15, "fall_multiple": 2.5, "fall_s": 2.5,
                 "must_ask_in_s": 10.0, "stop_sending_within_s": 2.0, "warm_after_s": 15.0},
    "discovery": "ask",
    "failure_domains": ["a", "b"],
    "family": "gate",
    "kinds": ["small"],
    "layers": ["servers"],
    "limits": {"cancel": True, "conn_idle_s": 20.0, "cpu_us_per_request": 0.0, "cpu_us_per_s": 500000,
               "dial_timeout_s": 0.4, "max_attempts": 4, "max_retry_after_s": 2.0, "max_streams": 32,
               "may_duplicate": True, "open_cap": 20000, "peers": True, "probes": True, "retry_after": True},
    "me": 1,
    "my_zone": "a",
    "n_instances": 3,
    "period_s": 0.002,
    "prices": {"connection": 0.0, "cross_zone": 0.01, "waste": 0.08},
    "report": {"fields": ["queue", "qps", "inflight"], "how": "on_probe"},
    "result_mix": {"whole": 0.55, "worst_class": 0.0, "worst_tenant": 0.25, "worst_window": 0.2},
    "specifics": {"call_price": 0.005, "cost_after": False, "count_wait_s": 0.05, "has_counter": True,
                  "inbox_per_s": 40.0, "max_units": 8, "meter_s": 1.0},
    "tariffs": [
        {"hard_burst": 0.0, "name": "small", "never_over_rate": 0.0, "over_cost": 0.25, "over_worth": 0.2,
         "parallel": 0, "price": 0.5, "quota_rate": 0.95, "store_size": 4.0, "tolerance": 0.0},
        {"hard_burst": 28.0, "name": "middle", "never_over_rate": 4.8, "over_cost": 0.75, "over_worth": 0.1,
         "parallel": 0, "price": 1.2, "quota_rate": 2.7, "store_size": 16.0, "tolerance": 3.0},
        {"hard_burst": 0.0, "name": "large", "never_over_rate": 0.0, "over_cost": 0.25, "over_worth": 0.3,
         "parallel": 4, "price": 1.8, "quota_rate": 6.6, "store_size": 10.0, "tolerance": 0.0},
    ],
    "tier": 0,
    "weights": "off",
}  # fmt: skip
REQUIRED = object()
# The keys that the program reads and their defaults. "classes.*" is each class, "classes.hold" the class of that name.
DEFAULTS: dict[str, object] = {
    "classes": REQUIRED, "tariffs": REQUIRED, "me": REQUIRED, "n_instances": REQUIRED, "my_zone": "",
    "discovery": "push",
    "classes.*.name": REQUIRED, "classes.*.aim_s": REQUIRED, "classes.*.effect": REQUIRED, "classes.*.worth": 1.0,
    "classes.*.late_worth": 0.0, "classes.*.hard_limit_s": 3.0,
    "classes.hold.group": REQUIRED, "classes.hold.window_s": REQUIRED,
    "tariffs.*.name": REQUIRED, "tariffs.*.quota_rate": REQUIRED, "tariffs.*.store_size": REQUIRED,
    "tariffs.*.price": 1.0, "tariffs.*.over_worth": 0.0, "tariffs.*.over_cost": 0.5, "tariffs.*.parallel": 0,
    "tariffs.*.never_over_rate": 0.0, "tariffs.*.hard_burst": 0.0, "tariffs.middle.never_over_rate": REQUIRED,
    "tariffs.middle.hard_burst": REQUIRED,
    "contract": REQUIRED, "contract.cold_from": REQUIRED, "contract.warm_after_s": REQUIRED,
    "contract.fall_multiple": REQUIRED, "contract.fall_s": REQUIRED,
    "limits.may_duplicate": False, "limits.cancel": False, "limits.probes": False, "limits.peers": False,
    "limits.retry_after": False, "limits.max_attempts": 1, "limits.max_retry_after_s": 1.0,
    "limits.dial_timeout_s": 0.25, "limits.conn_idle_s": 15.0,
    "specifics.has_counter": False, "specifics.count_wait_s": REQUIRED, "specifics.max_units": 6.0,
    "specifics.inbox_per_s": 60.0, "specifics.meter_s": 0.0, "report.how": "inline",
}  # fmt: skip
# Keys that only matter for keyed classes: the decisions do not use them for the others.
UNUSED_KEYS = {f"classes.{name}.{key}" for name in ("look", "pay") for key in ("group", "window_s")}
Path = tuple[str | int, ...]


def paths(value: Any, at: Path = ()) -> Iterator[Path]:
    """Yield the path of every key, nested ones and those of rows included."""
    items = value.items() if isinstance(value, dict) else enumerate(value) if isinstance(value, list) else ()
    for key, inner in items:
        if isinstance(value, dict):
            yield (*at, key)
        yield from paths(inner, (*at, key))


def path_names(path: Path) -> tuple[str, str]:
    """Return a path as written in ``DEFAULTS``: for the row of that name, and for each row."""
    if len(path) < 3:
        return ".".join(map(str, path)), ""
    section, row, key = path
    return f"{section}.{COMPLETE_SETTINGS[str(section)][row]['name']}.{key}", f"{section}.*.{key}"


def changed(path: Path, *value: object) -> dict[str, Any]:
    """Return the settings with a key set to the value, or without the key."""
    raw = copy.deepcopy(COMPLETE_SETTINGS)
    owner: Any = raw
    for key in path[:-1]:
        owner = owner[key]
    if value:
        owner[path[-1]] = value[0]
    else:
        del owner[path[-1]]
    return raw


def parse_both(raw: dict[str, Any]) -> tuple[object, ...]:
    settings, socket_settings = parse_settings(raw), parse_socket_settings(raw)
    return settings, socket_settings


def value_at(path: Path) -> Any:
    value: Any = COMPLETE_SETTINGS
    for key in path:
        value = value[key]
    return value


def default_of(path: Path) -> object:
    """Return the value that applies without a key; None if the program does not read the key."""
    name, row_name = path_names(path)
    if name in DEFAULTS or len(path) > 1:
        return DEFAULTS.get(name, DEFAULTS.get(row_name))
    # The default of a section consists of the defaults of its keys.
    subkeys = {key.partition(".")[2]: value for key, value in DEFAULTS.items() if key.startswith(f"{name}.")}
    return {key: value for key, value in subkeys.items() if value is not REQUIRED} or None


@pytest.mark.parametrize("absent", ["taken away", "null"])
@pytest.mark.parametrize("path", paths(COMPLETE_SETTINGS), ids=lambda path: ".".join(map(str, path)))
def test_a_key_that_is_absent_has_its_default_or_is_named(path: Path, absent: str) -> None:
    raw, default = changed(path) if absent == "taken away" else changed(path, None), default_of(path)
    if path_names(path)[0] in UNUSED_KEYS:
        parse_settings(raw)
    elif default is REQUIRED:
        with pytest.raises(SettingsError, match=rf"\b{path[-1]}\b"):
            parse_settings(raw)
    elif default is None:
        assert parse_both(raw) == parse_both(COMPLETE_SETTINGS), "the program does not read it"
    else:
        assert parse_both(raw) == parse_both(changed(path, default))


def test_each_key_of_the_table_stands_in_the_object_and_matters() -> None:
    """A default that equals the value in the example would not show that the key is read."""
    for path in paths(COMPLETE_SETTINGS):
        default = default_of(path)
        if default not in (None, REQUIRED) and value_at(path) != default:
            assert parse_both(changed(path, default)) != parse_both(COMPLETE_SETTINGS), path
    known_names = {name for path in paths(COMPLETE_SETTINGS) for name in path_names(path)}
    assert set(DEFAULTS) <= known_names
    unchanged = {
        path_names(path)[0] for path in paths(COMPLETE_SETTINGS) if value_at(path) == default_of(path)
    }
    assert all(key.startswith("tariffs.") for key in unchanged), "a plan may have no quota of one kind"


@pytest.mark.parametrize("path", paths(COMPLETE_SETTINGS), ids=lambda path: ".".join(map(str, path)))
@pytest.mark.parametrize("value", ["yes", {"x": 1}, [3]], ids=str)
def test_a_value_of_another_kind_is_named_or_was_not_read(path: Path, value: object) -> None:
    """In particular, a string is not accepted as true."""
    if isinstance(value, type(value_at(path))):
        return  # an empty section, a list without rows or an unknown word: covered by other tests
    if default_of(path) is None and path_names(path)[0] not in UNUSED_KEYS:
        assert parse_both(changed(path, value)) == parse_both(COMPLETE_SETTINGS), (
            "the program does not read it"
        )
        return
    with pytest.raises(SettingsError, match=rf"\b({path[-1]}|{path[0]})\b"):
        parse_both(changed(path, value))


POSITIVE = {
    "n_instances", "classes.*.aim_s", "classes.*.hard_limit_s", "contract.cold_from", "contract.fall_s",
    "limits.max_attempts", "limits.dial_timeout_s", "limits.conn_idle_s",
}  # fmt: skip
INTEGERS = {"n_instances", "me", "limits.max_attempts", "tariffs.*.parallel"}
INVALID_NUMBERS = {
    "negative": -1, "a little below 0": -1e-9, "too large to count by": 2**53 + 1, "a larger one": 1e308,
    "too large for a float": 10**400, "infinite": float("inf"), "not a number": float("nan"),
}  # fmt: skip


def number_paths() -> Iterator[Path]:
    """Yield the path of every number that the program reads."""
    for path in paths(COMPLETE_SETTINGS):
        value = value_at(path)
        if isinstance(value, int | float) and not isinstance(value, bool) and default_of(path) is not None:
            yield path


@pytest.mark.parametrize("value", INVALID_NUMBERS.values(), ids=INVALID_NUMBERS)
@pytest.mark.parametrize("path", number_paths(), ids=lambda path: ".".join(map(str, path)))
def test_a_figure_that_is_absurd_is_named_with_what_was_expected(path: Path, value: float) -> None:
    """A negative limit would mean no limit, and a token bucket of a huge size would not shrink by one unit."""
    kind = "whole number" if INTEGERS & set(path_names(path)) else "number"
    bounds = r"above 0, at most \d+" if POSITIVE & set(path_names(path)) else r"from 0 to \d+"
    row = f"'{COMPLETE_SETTINGS[str(path[0])][path[1]]['name']}': " if len(path) == 3 else ""
    with pytest.raises(ConfigError, match=rf"^settings: {row}{path[-1]}: expected a {kind} {bounds}, got "):
        parse_config(configuration(changed(path, value)))


@pytest.mark.parametrize("path", number_paths(), ids=lambda path: ".".join(map(str, path)))
def test_nothing_and_a_half_are_taken_but_where_they_make_no_sense(path: Path) -> None:
    for value, wrong in ((0, POSITIVE), (0.5, INTEGERS)):
        raw = configuration(changed(path, value))
        if wrong & set(path_names(path)):
            with pytest.raises(ConfigError, match=rf"\b{path[-1]}: expected a (whole )?number "):
                parse_config(raw)
        else:
            parse_config(raw)


@pytest.mark.parametrize("path", number_paths(), ids=lambda path: ".".join(map(str, path)))
def test_a_figure_that_is_absurd_leaves_a_limiter_in_service_as_it_is(
    path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    config = parse_config(configuration(COMPLETE_SETTINGS))
    files = [configuration(changed(path, value)) for value in (10**400, -1, "many")]
    counted: Any = CallRecorder()
    reload = ConfigReloader(config, counted, lambda: parse_config(files.pop()), counted.retune)
    for _ in range(len(files)):
        assert not reload()
    assert counted.calls == [] and caplog.text.count(f"{path[-1]}: expected ") == 3


def configuration(settings: dict[str, Any]) -> dict[str, Any]:
    host = {"host": "s1", "dial": "127.0.0.1:7070", "site": "a", "block": 0, "health": "ready", "born_ms": 0}
    return {
        "name": "n0", "listen": "127.0.0.1:7000", "discovery": "127.0.0.1:8500", "counter": "127.0.0.1:6400",
        "seed": "8c1f30d27a5be964", "limits": {"sockets": 512},
        "known": {"seq": 41, "whole": True, "hosts": [host]}, "settings": settings,
    }  # fmt: skip


# Keys of the configuration file: the field of ``Config`` and its default; None for a required key.
FILE_DEFAULTS: dict[str, tuple[str, object] | None] = {
    "listen": None, "discovery": None, "settings": None, "counter": ("counter", None), "seed": ("seed", 0),
    "limits": ("sockets", 1024), "known": ("known", None), "name": ("seed", 0x8C1F30D27A5BE964),
}  # fmt: skip


@pytest.mark.parametrize("key", FILE_DEFAULTS)
def test_a_key_of_the_file_too(key: str) -> None:
    raw = configuration(COMPLETE_SETTINGS)
    assert set(FILE_DEFAULTS) == set(raw)
    del raw[key]
    expected = FILE_DEFAULTS[key]
    if expected is None:
        with pytest.raises(ConfigError, match=key):
            parse_config(raw)
    else:
        assert getattr(parse_config(raw), expected[0]) == expected[1]


@pytest.mark.parametrize(
    ("word", "effect", "group", "scope"),
    [
        ("idempotent", api.Effect.SAFE, "all", api.Scope.ALL),
        ("deduplicated", api.Effect.KEYED, "zone", api.Scope.ZONE),
        ("deduplicated", api.Effect.KEYED, "cell", api.Scope.CELL),
        ("deduplicated", api.Effect.KEYED, "all", api.Scope.ALL),
        ("at_most_once", api.Effect.UNSAFE, "all", api.Scope.ALL),
    ],
)
def test_the_words_of_another_customer_are_read(
    word: str, effect: api.Effect, group: str, scope: api.Scope
) -> None:
    raw = copy.deepcopy(COMPLETE_SETTINGS)
    raw["classes"] = [raw["classes"][1] | {"effect": word, "group": group, "window_s": 0.25}]
    assert parse_settings(raw).classes == (api.RequestClass("hold", 0.8, 3.0, effect, 0.5, scope, 0.25),)


@pytest.mark.parametrize("path", [("classes", 0, "effect"), ("classes", 1, "group")])
def test_a_word_that_is_none_is_named_not_taken_for_another(path: Path) -> None:
    with pytest.raises(SettingsError, match=str(path[-1])):
        parse_settings(changed(path, "safe-ish"))


def test_two_rows_of_one_name_are_named() -> None:
    for section in ("classes", "tariffs"):
        raw = copy.deepcopy(COMPLETE_SETTINGS)
        raw[section].append(raw[section][0])
        with pytest.raises(SettingsError, match=section):
            parse_settings(raw)


def test_every_key_that_goes_missing_in_service_is_named_but_the_one_that_may() -> None:
    for path in paths(COMPLETE_SETTINGS):
        if path[-1] == "aim_stretch" or (path[-1] == "name" and len(path) == 3):
            continue
        with pytest.raises(SettingsError, match=str(path[-1])):
            check_no_missing_keys(changed(path), COMPLETE_SETTINGS)
    raw = json.loads(json.dumps(COMPLETE_SETTINGS))
    for row in raw["classes"]:
        del row["aim_stretch"]
    check_no_missing_keys(raw, COMPLETE_SETTINGS)


def test_a_cut_object_never_passes() -> None:
    """A configuration file that was truncated at any byte is rejected."""
    text, accepted = json.dumps(configuration(COMPLETE_SETTINGS)), list[Config]()
    for end in range(len(text)):
        with suppress(ValueError, ConfigError):
            accepted.append(parse_config(json.loads(text[:end])))
    assert not accepted
