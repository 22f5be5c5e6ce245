"""Reads the operators' file, which enables features beyond the platform's configuration; all are off by default.

It is given as ``python -m cypresspulley --operators deploy/operators.toml``; each table enables one feature.
"""

from __future__ import annotations

import os
from dataclasses import dataclass
from typing import Any

REQUIRED_KEYS: dict[str, dict[str, type]] = {
    "access_log": {"path": str},
    "keeper": {"url": str},
    "tally": {"every": float},
    "plans": {"writer": str, "installation": str},
    "history": {"path": str},
}
# ``clock`` shifts this process's wall clock; it is meant for rehearsals only, never for service.
OPTIONAL_KEYS: dict[str, dict[str, type]] = {"history": {"clock": str}}
MIN_TALLY_SECONDS = 0.1
# The feature that uses such a table checks it; its module is imported only if the table is present.
TABLES_CHECKED_LATER = (
    "graphql",
    "fleet",
    "lanes",
    "closing",
)

TABLES_NEEDING_FLEET = ("lanes", "closing", "history")


class OperatorsError(ValueError):
    """The file cannot be used; the text names the file, the key and what was expected."""


@dataclass(frozen=True, slots=True)
class Operators:
    """The enabled features; None: off.

    ``access_log`` is the path of the access log, in which ``{name}`` was replaced by LB_NAME.
    """

    access_log: str | None = None
    keeper: str | None = None  # URL of the storage engine that holds the shared counters
    graphql: tuple[str, dict[str, Any]] | None = None  # path of the file, and the table
    tally: float | None = None  # seconds between two lines of event and action counts
    plans: tuple[str, str] | None = None  # address of a plan book's writer, and the installation
    fleet: tuple[str, dict[str, Any]] | None = None  # this and the next two: path of the file, and the table
    lanes: tuple[str, dict[str, Any]] | None = None
    closing: tuple[str, dict[str, Any]] | None = None
    history: str | None = None  # path of this process's history; ``{life}`` is still to be replaced
    clock: str | None = None  # file with shifts of the wall clock, for rehearsals: see ``histories/clock.py``


def load_operators(path: str) -> Operators:
    """Read the file; raise ``OperatorsError`` if it cannot be used."""
    import tomllib  # imported here because most processes start without the file

    try:
        with open(path, "rb") as file:
            raw = tomllib.load(file)
    except (OSError, tomllib.TOMLDecodeError) as error:
        raise OperatorsError(f"{path}: not readable as TOML: {error}") from None
    for table, keys in raw.items():
        _check_table(path, table, keys)
    access_log = raw.get("access_log", {}).get("path")
    name = os.environ.get("LB_NAME", "limiter")
    unchecked = {table: (path, raw[table]) if table in raw else None for table in TABLES_CHECKED_LATER}
    keeper = raw.get("keeper", {}).get("url")
    tally = raw.get("tally", {}).get("every")
    if tally is not None and not MIN_TALLY_SECONDS <= tally < float(
        "inf"
    ):  # False for NaN, so NaN is rejected too
        raise OperatorsError(
            f"{path}: tally.every: expected at least {MIN_TALLY_SECONDS:g} seconds, got {tally:g}"
        )
    plans = (raw["plans"]["writer"], raw["plans"]["installation"]) if "plans" in raw else None
    log = access_log.replace("{name}", name) if access_log else None
    for table in TABLES_NEEDING_FLEET:
        if table in raw and "fleet" not in raw:
            raise OperatorsError(f"{path}: {table}: expected [fleet] beside it, whose view it goes by")
    history = raw.get("history", {}).get("path")
    history = history.replace("{name}", name) if history else None
    clock = raw.get("history", {}).get("clock")
    return Operators(log, keeper, tally=tally, plans=plans, history=history, clock=clock, **unchecked)


def _check_table(path: str, table: str, keys: Any) -> None:
    known = (*REQUIRED_KEYS, *TABLES_CHECKED_LATER)
    if table not in known or not isinstance(keys, dict):
        raise OperatorsError(f"{path}: {table}: expected a table, one of {', '.join(known)}")
    if table in TABLES_CHECKED_LATER:
        return
    optional = OPTIONAL_KEYS.get(table, {})
    for key, value_type in (
        REQUIRED_KEYS[table] | {key: value_type for key, value_type in optional.items() if key in keys}
    ).items():
        if not isinstance(keys.get(key), value_type) or not keys[key]:
            raise OperatorsError(
                f"{path}: {table}.{key}: expected a {value_type.__name__}, got {keys.get(key)!r:.60}"
            )
    if unknown := set(keys) - set(REQUIRED_KEYS[table]) - set(optional):
        expected = ", ".join((*REQUIRED_KEYS[table], *optional))
        raise OperatorsError(f"{path}: {table}.{min(unknown)}: unknown; expected {expected}")
