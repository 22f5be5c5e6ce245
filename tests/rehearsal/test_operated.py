"""Short runs in which operators upgrade limiters, ban a server and drain a limiter."""

from __future__ import annotations

from pathlib import Path

import pytest
import uvloop

from cypresspulley.rehearsal import records as log
from cypresspulley.rehearsal.judge import judge
from cypresspulley.rehearsal.limiters import HarnessError
from cypresspulley.rehearsal.play import play
from cypresspulley.rehearsal.virtual.play import play_virtual
from tests.rehearsal.small import small

FAULTS = [
    {"kind": "server-by-hand", "at": 0.4, "lasts": 2.5, "targets": ["bag-01"]},
    {"kind": "limiter-upgrade", "at": 1.0, "targets": ["limiter-0"]},
    {"kind": "limiter-upgrade", "at": 2.5, "targets": ["limiter-0", "limiter-1"]},
    {"kind": "limiter-drain", "at": 4.0, "targets": ["limiter-1"], "lasts": 0.5},
]
pytestmark = pytest.mark.timed
MAX_PLAYS = 3  # a run is void and repeated if the harness itself was late


def test_upgrades_and_servers_out_by_hand_keep_all_rules(tmp_path: Path) -> None:
    for number in range(MAX_PLAYS):
        records = uvloop.run(play(small(fault=FAULTS), 5, logs=tmp_path / str(number)))
        verdict = judge(records)
        if not verdict.void:
            break
    assert not verdict.void and not verdict.crash
    assert [v for rule in verdict.rules for v in rule.violations] == []
    states = [r.what for r in records if isinstance(r, log.LimiterState)]
    assert states.count("upgraded") == 3 and {"drained", "activated"} <= set(states)
    bans = [r for r in records if isinstance(r, log.Banned)]
    assert [b.out for b in bans].count(True) == 2 and [b.out for b in bans].count(False) == 2


def test_an_upgrade_wants_two_processes() -> None:
    with pytest.raises(HarnessError, match="sockets only"):
        play_virtual(small(fault=FAULTS[1:2]), 5)


def test_bans_and_drains_keep_all_rules_in_virtual_time() -> None:
    verdict = judge(play_virtual(small(fault=[FAULTS[0], FAULTS[3]]), 5))
    assert not verdict.void and [v for rule in verdict.rules for v in rule.violations] == []
