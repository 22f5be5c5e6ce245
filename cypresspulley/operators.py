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
    "history": {"path": str},
}
# Keys that a table may go without. ``clock`` sets this process's wall clock off: rehearsals only, never in service.
OPTIONAL: dict[str, dict[str, type]] = {"history": {"clock": str}}
LEAST_TALLY = 0.1  # seconds
OWN_CHECK = (
    "graphql",
    "fleet",
    "lanes",
    "closing",
)  # tables that the tool behind them checks, which is imported only where they are there

NEEDS_FLEET = ("lanes", "closing", "history")


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
    fleet: tuple[str, dict[str, Any]] | None = None  # these three: the file that it stands in, and the table
    lanes: tuple[str, dict[str, Any]] | None = None
    closing: tuple[str, dict[str, Any]] | None = None
    history: str | None = None  # path of this process's history; ``{name}`` and ``{life}`` are filled in
    clock: str | None = (
        None  # a file that says how the wall clock is off, for rehearsals: see ``histories/clock.py``
    )


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
    own = {table: (path, raw[table]) if table in raw else None for table in OWN_CHECK}
    keeper = raw.get("keeper", {}).get("url")
    tally = raw.get("tally", {}).get("every")
    if tally is not None and not LEAST_TALLY <= tally < float("inf"):  # no comparison holds for NaN
        raise OperatorsError(f"{path}: tally.every: expected at least {LEAST_TALLY:g} seconds, got {tally:g}")
    plans = (raw["plans"]["writer"], raw["plans"]["installation"]) if "plans" in raw else None
    log = access_log.replace("{name}", name) if access_log else None
    for table in NEEDS_FLEET:
        if table in raw and "fleet" not in raw:
            raise OperatorsError(f"{path}: {table}: expected [fleet] beside it, whose view it goes by")
    history = raw.get("history", {}).get("path")
    history = history.replace("{name}", name) if history else None
    clock = raw.get("history", {}).get("clock")
    return Operators(log, keeper, tally=tally, plans=plans, history=history, clock=clock, **own)


def _check(path: str, table: str, keys: Any) -> None:
    known = (*TABLES, *OWN_CHECK)
    if table not in known or not isinstance(keys, dict):
        raise OperatorsError(f"{path}: {table}: expected a table, one of {', '.join(known)}")
    if table in OWN_CHECK:
        return
    optional = OPTIONAL.get(table, {})
    for key, kind in (TABLES[table] | {key: kind for key, kind in optional.items() if key in keys}).items():
        if not isinstance(keys.get(key), kind) or not keys[key]:
            raise OperatorsError(
                f"{path}: {table}.{key}: expected a {kind.__name__}, got {keys.get(key)!r:.60}"
            )
    if extra := set(keys) - set(TABLES[table]) - set(optional):
        expected = ", ".join((*TABLES[table], *optional))
        raise OperatorsError(f"{path}: {table}.{min(extra)}: unknown; expected {expected}")
