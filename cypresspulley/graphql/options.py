"""Reads and validates the table ``[graphql]`` of the operators' file, and loads the files that it names."""

from __future__ import annotations

import json
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass, field, fields
from pathlib import Path
from typing import Any

from cypresspulley.graphql.document import DocumentCache, document_hash
from cypresspulley.graphql.scan import Bounds
from cypresspulley.graphql.schema import PricedSchema, SchemaError, read_schema


class OptionsError(ValueError):
    """An invalid table or file. The text names the file, the key and what was expected."""


@dataclass(frozen=True, slots=True)
class Options:
    """The options of the table ``[graphql]``.

    ``points_per_unit`` is the number of points of a price that make one unit of quota. ``query``, ``mutation`` and
    ``keyed`` name request classes of the settings, which define aim, worth and effect. If ``keyed`` is empty, keyed
    mutations are treated as other mutations. ``reading`` is the seconds of document analysis allowed per second.
    """

    schema: str
    query: str
    mutation: str
    keyed: str = ""
    path: str = "/graphql"
    points_per_unit: float = 10.0
    longest_list: int = 100
    mutation_points: float = 10.0
    minimum_points: float = 1.0
    introspection: bool = True
    batch: str = "price"
    cost: str = "extensions"
    never_ran_codes: tuple[str, ...] = ()
    persisted: str = ""
    only_persisted: bool = False
    learned: str = ""
    cache_mb: float = 4.0
    reading: float = 0.2
    bounds: Bounds = field(default_factory=Bounds)


WORDS = {"batch": ("price", "refuse"), "cost": ("extensions", "header")}
POSITIVE = ("points_per_unit", "minimum_points", "longest_list", "cache_mb", "reading")


def options_from(raw: Mapping[str, Any], source: str) -> Options:
    """Validate a table and return its options. Raise OptionsError with ``source`` and the key."""
    known = {each.name: each for each in fields(Options)}
    if extra := sorted(set(raw) - set(known)):
        raise OptionsError(f"{source}: graphql.{extra[0]}: unknown; expected {', '.join(sorted(known))}")
    values = {key: _value(source, key, value, known[key].default) for key, value in raw.items()}
    for key in ("schema", "query", "mutation"):
        if not values.get(key):
            raise OptionsError(f"{source}: graphql.{key}: missing; expected a text")
    folder = Path(source).parent  # file names are relative to the operators' file
    for key in ("schema", "persisted", "learned"):
        if values.get(key):
            values[key] = str(folder / values[key])
    options = Options(**values)
    if not options.path.startswith("/") or "?" in options.path:
        raise OptionsError(f"{source}: graphql.path: {options.path!r}; expected a path like /graphql")
    return options


def _value(source: str, key: str, value: Any, default: Any) -> Any:
    def wrong(expected: str) -> OptionsError:
        return OptionsError(f"{source}: graphql.{key}: {value!r:.60}; expected {expected}")

    if key == "bounds":
        return _bounds(source, value)
    if key in WORDS:
        if value not in WORDS[key]:
            raise wrong(f"one of {', '.join(WORDS[key])}")
        return value
    if key == "never_ran_codes":
        if not isinstance(value, list) or not all(isinstance(each, str) for each in value):
            raise wrong("a list of texts")
        return tuple(value)
    if isinstance(default, bool):
        if not isinstance(value, bool):
            raise wrong("true or false")
        return value
    if isinstance(default, int | float):
        whole = isinstance(default, int)
        if isinstance(value, bool) or not isinstance(value, int if whole else int | float):
            raise wrong("a whole number" if whole else "a number")
        if value < 0 or (key in POSITIVE and value == 0) or value > 1e6:
            raise wrong("a number above 0, at most 1e6" if key in POSITIVE else "a number from 0 to 1e6")
        return value
    if not isinstance(value, str):
        raise wrong("a text")
    return value


def _bounds(source: str, raw: Any) -> Bounds:
    names = [each.name for each in fields(Bounds)]
    if not isinstance(raw, dict):
        raise OptionsError(f"{source}: graphql.bounds: expected a table of {', '.join(names)}")
    for key, value in raw.items():
        if key not in names:
            raise OptionsError(f"{source}: graphql.bounds.{key}: unknown; expected {', '.join(names)}")
        if isinstance(value, bool) or not isinstance(value, int) or not 1 <= value <= 100_000:
            raise OptionsError(f"{source}: graphql.bounds.{key}: {value!r:.60}; expected 1 to 100000")
    return Bounds(**raw)


def load_options(path: str) -> Options:
    """Load the options of an operators' file, for tools. Raise OptionsError if it has no table [graphql]."""
    try:
        raw = tomllib.loads(Path(path).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise OptionsError(f"{path}: not readable as TOML: {error}") from None
    if not isinstance(raw.get("graphql"), dict):
        raise OptionsError(f"{path}: no table [graphql]")
    return options_from(raw["graphql"], path)


def load_priced_schema(options: Options) -> PricedSchema:
    """Load the schema that the options name, with its prices. Raise OptionsError or SchemaError."""
    learned = _json_file(options.learned, "graphql.learned") if options.learned else {}
    if not isinstance(learned, dict) or not all(isinstance(each, dict) for each in learned.values()):
        raise OptionsError(f"{options.learned}: expected an object of Type.field to share")
    return read_schema(
        _text(options.schema, "graphql.schema"),
        options.schema,
        options.longest_list,
        options.mutation_points,
        learned,
    )


def load_document_cache(options: Options) -> DocumentCache:
    """Return an empty cache for the priced schema, with the persisted documents of the file that the options name.

    Raise OptionsError or SchemaError.
    """
    persisted = _json_file(options.persisted, "graphql.persisted") if options.persisted else {}
    if not isinstance(persisted, dict) or not all(isinstance(text, str) for text in persisted.values()):
        raise OptionsError(f"{options.persisted}: expected an object of SHA-256 to text")
    for key, text in persisted.items():
        if document_hash(text) != key:
            raise OptionsError(f"{options.persisted}: {key:.20}...: is not the SHA-256 of its text")
    if options.only_persisted and not persisted:
        raise OptionsError("graphql.only_persisted: rejects all requests without graphql.persisted")
    schema = load_priced_schema(options)
    return DocumentCache(
        schema, options.bounds, int(options.cache_mb * (1 << 20)), persisted, options.only_persisted
    )


def _text(path: str, key: str) -> str:
    try:
        return Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise OptionsError(f"{key}: cannot read {path}: {error}") from None


def _json_file(path: str, key: str) -> Any:
    try:
        return json.loads(_text(path, key))
    except ValueError as error:
        raise OptionsError(f"{key}: {path} is not JSON: {error}") from None


__all__ = [
    "Options",
    "OptionsError",
    "SchemaError",
    "load_document_cache",
    "load_options",
    "load_priced_schema",
    "options_from",
]
