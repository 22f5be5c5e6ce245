"""The operators' own file: what is switched on beside the platform's configuration. Without it, nothing is.

``python -m cypresspulley --operators deploy/operators.toml``; each table switches one thing on.
"""

from __future__ import annotations

import os
from dataclasses import dataclass
from typing import Any

TABLES: dict[str, dict[str, type]] = {
    "access_log": {"path": str},
    "keeper": {"url": str},
    "tally": {"every": float},
    "plans": {"writer": str, "installation": str},
}
LEAST_TALLY = 0.1  # seconds
OWN_CHECK = (
    "graphql",
)  # tables that the tool behind them checks, which is imported only where they are there


class OperatorsError(ValueError):
    """A file that cannot be used; the text names file, key and what was expected."""


@dataclass(frozen=True, slots=True)
class Operators:
    """What is on. ``access_log`` is the path of the access log, None for none; ``{name}`` in it is LB_NAME."""

    access_log: str | None = None
    keeper: str | None = None  # the URL of an engine that holds the shared counts
    graphql: tuple[str, dict[str, Any]] | None = None  # the file that it stands in, and the table
    tally: float | None = None  # seconds of the spells by which events and actions are counted
    plans: tuple[str, str] | None = None  # the address of a plan book's writer, and the installation


def load_operators(path: str) -> Operators:
    """Read the file; ``OperatorsError`` where it cannot be used."""
    import tomllib  # a start without the file, which is most, goes without the parser

    try:
        with open(path, "rb") as file:
            raw = tomllib.load(file)
    except (OSError, tomllib.TOMLDecodeError) as error:
        raise OperatorsError(f"{path}: not readable as TOML: {error}") from None
    for table, keys in raw.items():
        _check(path, table, keys)
    access_log = raw.get("access_log", {}).get("path")
    name = os.environ.get("LB_NAME", "limiter")
    graphql = (path, raw["graphql"]) if "graphql" in raw else None
    keeper = raw.get("keeper", {}).get("url")
    tally = raw.get("tally", {}).get("every")
    if tally is not None and tally < LEAST_TALLY:
        raise OperatorsError(f"{path}: tally.every: expected at least {LEAST_TALLY:g} seconds, got {tally:g}")
    plans = (raw["plans"]["writer"], raw["plans"]["installation"]) if "plans" in raw else None
    log = access_log.replace("{name}", name) if access_log else None
    return Operators(log, keeper, graphql, tally, plans)


def _check(path: str, table: str, keys: Any) -> None:
    known = (*TABLES, *OWN_CHECK)
    if table not in known or not isinstance(keys, dict):
        raise OperatorsError(f"{path}: {table}: expected a table, one of {', '.join(known)}")
    if table in OWN_CHECK:
        return
    for key, kind in TABLES[table].items():
        if not isinstance(keys.get(key), kind) or not keys[key]:
            raise OperatorsError(
                f"{path}: {table}.{key}: expected a {kind.__name__}, got {keys.get(key)!r:.60}"
            )
    if extra := set(keys) - set(TABLES[table]):
        raise OperatorsError(f"{path}: {table}.{min(extra)}: unknown; expected {', '.join(TABLES[table])}")
