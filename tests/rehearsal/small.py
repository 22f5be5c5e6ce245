"""A short scenario with the faults that each of the broken test limiters needs to break its rule."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any

import uvloop

from cypresspulley.rehearsal.play import play
from cypresspulley.rehearsal.scenario import Scenario, parse_scenario

BROKEN = Path(__file__).with_name("broken.py")


def small(**changes: Any) -> Scenario:
    """Returns a scenario of 5 s with two limiters and four servers.

    One server resets connections, one drains and one is cold; a surge exceeds a ceiling. ``changes`` replace top keys.
    """
    raw: dict[str, Any] = {
        "name": "small", "about": "a test's day", "seconds": 5,
        "fleet": {"servers": 4, "halls": ["east", "west"], "cold_share": 0.12, "cold_seconds": 20,
                  "fall_seconds": 0.5, "drain_grace": 0.5},
        "limiters": {"count": 2},
        "discovery": {"notice": [0.05, 0.1]},
        "clients": {"retries": 1, "backoff_ms": 100, "impatient": 0, "try_share": [1, 1]},
        "load": {"inside": 40, "heavy": 0, "full": 0, "spiky": 0, "spread": [2, 2]},
        "class": [
            {"name": "look", "share": 0.6, "work_ms": 20, "aim_ms": 500, "deadline_ms": 900, "worth": 2},
            {"name": "hand", "share": 0.4, "work_ms": 30, "aim_ms": 600, "deadline_ms": 1000, "worth": 5,
             "effect": "unsafe"},
        ],
        "plan": [
            {"name": "free", "share": 0.8, "rate": 8, "burst": 20},
            {"name": "hard", "share": 0.2, "rate": 2, "burst": 3, "ceiling": 1.5},
        ],
        "fault": [
            {"kind": "server-resets", "at": 0.5, "lasts": 4, "targets": ["bag-00"], "size": 0.4},
            {"kind": "server-crash", "at": 0.3, "targets": ["bag-02"], "back_after": 0.3},
            {"kind": "server-drain", "at": 1.0, "targets": ["bag-01"], "lasts": 3.5},
            {"kind": "account-surge", "at": 0.5, "lasts": 4, "size": 1.0, "count": 5},
        ],
    }  # fmt: skip
    return parse_scenario(raw | changes, "small")


def command(fault: str) -> list[str]:
    return [sys.executable, str(BROKEN), fault]


if __name__ == "__main__":
    # Each play runs in its own process, so that concurrent plays do not delay each other.
    uvloop.run(play(small(), int(sys.argv[2]), command=command(sys.argv[1]), logs=Path(sys.argv[3])))
