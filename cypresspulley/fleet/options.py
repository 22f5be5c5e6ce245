"""Validation of the operators' table ``[fleet]`` at startup.

    [fleet]
    installation = "vadodara"              # datagrams of other installations are dropped
    listen = "10.0.0.5:8700"               # UDP address of this limiter's socket
    advertise = "10.0.0.5:8700"            # address for other members; default: listen
    seeds = ["10.0.0.5:8700", "10.0.0.6:8700"]   # may include its own address
    period_ms = 500                        # probe period; 50 to 10000

``FAWNSEAM_FLEET_KEY`` holds the authentication key of the datagrams: at least 16 characters, the same at all members.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from typing import Any

from cypresspulley.fleet.records import NAME_PATTERN
from cypresspulley.fleet.view import MAX_MEMBERS
from cypresspulley.net.http import split_address
from cypresspulley.operators import OperatorsError

MIN_KEY_CHARACTERS = 16
MAX_SEEDS = MAX_MEMBERS  # all members may be seeds, and a view holds no more
PERIOD_MS_RANGE = (50, 10_000)


@dataclass(frozen=True, slots=True)
class FleetOptions:
    """The validated table. ``period`` is in seconds; ``listen`` is host and port, other addresses are ``host:port``."""

    installation: str
    listen: tuple[str, int]
    advertise: str
    seeds: tuple[str, ...]
    period: float
    key: bytes = field(repr=False)


def options_from(table: dict[str, Any], path: str, key: str) -> FleetOptions:
    """Parse the table. Raise ``OperatorsError``, which names the file, the key and the expected value."""

    def fail(name: str, expected: str) -> OperatorsError:
        return OperatorsError(f"{path}: fleet.{name}: expected {expected}, got {table.get(name)!r:.60}")

    known = ("installation", "listen", "advertise", "seeds", "period_ms")
    if extra := set(table) - set(known):
        raise OperatorsError(f"{path}: fleet.{min(extra)}: unknown; expected {', '.join(known)}")
    installation, listen = table.get("installation"), table.get("listen")
    if not isinstance(installation, str) or not re.fullmatch(NAME_PATTERN, installation):
        raise fail("installation", "a name of at most 40 letters, digits, dots and dashes")
    advertise, seeds = table.get("advertise", listen), table.get("seeds")
    for name, address in (("listen", listen), ("advertise", advertise)):
        if not _is_address(address):
            raise fail(name, "an address host:port")
    is_valid = (
        isinstance(seeds, list) and len(seeds) <= MAX_SEEDS and all(_is_address(seed) for seed in seeds)
    )
    if not isinstance(seeds, list) or not is_valid:
        raise fail("seeds", f"a list of at most {MAX_SEEDS} addresses host:port")
    period = table.get("period_ms", 500)
    if (
        not isinstance(period, int)
        or isinstance(period, bool)
        or not PERIOD_MS_RANGE[0] <= period <= PERIOD_MS_RANGE[1]
    ):
        raise fail("period_ms", f"whole milliseconds from {PERIOD_MS_RANGE[0]} to {PERIOD_MS_RANGE[1]}")
    if len(key) < MIN_KEY_CHARACTERS:
        raise OperatorsError(
            f"FAWNSEAM_FLEET_KEY: expected a key of at least {MIN_KEY_CHARACTERS} characters"
        )
    return FleetOptions(
        installation, split_address(str(listen)), str(advertise), tuple(seeds), period / 1000, key.encode()
    )


def _is_address(text: object) -> bool:
    try:
        return isinstance(text, str) and split_address(text)[1] > 0
    except ValueError:
        return False
