"""Whole runs in virtual time: a seed gives one trace, the rules hold through faults, and broken limiters are found."""

from __future__ import annotations

import asyncio
import gc
import os
import subprocess
import sys
from contextvars import copy_context
from typing import Any

import pytest

from cypresspulley.net.node import Node
from cypresspulley.rehearsal import records as log
from cypresspulley.rehearsal.judge import judge
from cypresspulley.rehearsal.play import reduced_gc
from cypresspulley.rehearsal.scenario import Scenario
from cypresspulley.rehearsal.virtual.loop import VirtualLoop, run_virtual
from cypresspulley.rehearsal.virtual.owner import OWNER, Owner
from cypresspulley.rehearsal.virtual.play import digest, play_virtual
from tests.rehearsal.small import small

FAULTS = [
    {
        "kind": "limiter-kill",
        "at": 0.6,
        "targets": ["limiter-0"],
        "when": "handover-written",
        "back_after": 1,
    },
    {"kind": "limiter-restart", "at": 2.0, "targets": ["limiter-1"], "back_after": 0.5},
    {"kind": "limiter-reload", "at": 4.0, "count": 2},
    {"kind": "hall-cut", "at": 1.0, "lasts": 1.5, "targets": ["west"]},
    {"kind": "server-crash", "at": 3.0, "targets": ["bag-02"], "back_after": 0.3},
    {"kind": "keeper-empty", "at": 2.5},
    {"kind": "server-resets", "at": 0.5, "lasts": 4, "targets": ["bag-00"], "size": 0.3},
]


def rough(**changes: Any) -> Scenario:
    return small(fault=FAULTS, **changes)


def test_one_seed_is_one_trace_in_any_process_on_any_day() -> None:
    text = (
        "from tests.rehearsal.virtual.test_play import rough; from cypresspulley.rehearsal.virtual.play import *;"
        "print(digest(play_virtual(rough(), 3)))"
    )
    found = {
        subprocess.run(
            [sys.executable, "-c", text], env={**os.environ, "PYTHONHASHSEED": seed, "TZ": zone}, check=True,
            capture_output=True, text=True,
        ).stdout.strip()
        for seed, zone in (("1", "UTC"), ("2", "Asia/Kolkata"))
    }  # fmt: skip
    assert found == {digest(play_virtual(rough(), 3))}
    assert digest(play_virtual(rough(), 4)) not in found


@pytest.mark.parametrize("seed", range(6))
def test_the_limiter_keeps_the_rules_through_kills_cuts_and_reloads(seed: int) -> None:
    records = play_virtual(rough(), seed)
    verdict = judge(records)
    assert not verdict.void and not verdict.crash
    assert [v for rule in verdict.rules for v in rule.violations] == []
    states = [r.what for r in records if isinstance(r, log.LimiterState)]
    assert {"killed", "stopping", "reloaded", "exited"} <= set(states) and states.count("ready") == 4
    assert verdict.service.counts["served"] > 100


def test_a_refusal_after_a_reset_is_seen(monkeypatch: pytest.MonkeyPatch) -> None:
    """A limiter patched to answer 429 instead of 502 after a reset breaks rule 2."""
    monkeypatch.setattr(Node, "_fail", lambda self, action: _refuse_in_place_of(self, action))
    verdict = judge(play_virtual(rough(), 1))
    assert [rule.rule for rule in verdict.rules if not rule.kept] == ["no effect twice"]


def _refuse_in_place_of(node: Any, action: Any) -> None:
    opened = node._remove_request(action.id)
    if opened is not None:
        opened.request.respond(429, retry_after=0.1)


def test_an_error_in_a_limiters_log_voids_the_run(monkeypatch: pytest.MonkeyPatch) -> None:
    def broken(node: Any, action: Any) -> None:
        raise ValueError("broken on purpose")

    monkeypatch.setattr(Node, "_refuse", broken)
    assert "a limiter logged an error: an action failed" in judge(play_virtual(rough(), 1)).void


@pytest.mark.parametrize("seed", range(4))
def test_an_id_at_another_address_and_another_server_at_its_old_one(seed: int) -> None:
    """Pooled connections lead to the old addresses; still each server must only get requests meant for it."""
    moves = [
        {"kind": "server-move", "at": 1.0 + n, "targets": [f"bag-0{n}"], "back_after": 0.1} for n in range(3)
    ]
    records = play_virtual(small(fault=moves), seed)
    verdict = judge(records)
    assert verdict.kept and not verdict.void and not verdict.crash
    served = {r.server for r in records if isinstance(r, log.Arrived) and r.t > 1.2}
    assert served & {"bag-00", "bag-01"} and served & {"bag-04", "bag-05", "bag-06"}


def test_a_limiter_killed_while_it_is_away_is_started_once() -> None:
    faults = [
        {"kind": "limiter-restart", "at": 1.0, "targets": ["limiter-0"], "back_after": 1.0},
        {"kind": "limiter-kill", "at": 1.9, "targets": ["limiter-0"], "back_after": 0.1},
        {"kind": "limiter-restart", "at": 2.0, "targets": ["limiter-0"], "back_after": 0.1},
    ]
    records = play_virtual(small(fault=faults), 1)
    states = [r.what for r in records if isinstance(r, log.LimiterState) and r.limiter == "limiter-0"]
    assert states.count("started") == 2 and states.count("exited") == 2 and not judge(records).crash


def test_a_server_replaced_twice_while_it_is_down_gives_its_address_on_once() -> None:
    replace = {"kind": "server-replace", "targets": ["bag-00"], "every": 0.1, "reuse_address": True}
    crash = {"kind": "server-crash", "at": 0.7, "targets": ["bag-00"], "back_after": 2.5}
    faults = [{**replace, "at": 0.5}, {**replace, "at": 0.6}, crash]
    records = play_virtual(small(fault=faults), 1)
    started = [r.server for r in records if isinstance(r, log.ServerState) and r.what == "started"]
    assert started == ["bag-04"]


def test_a_limiter_stopped_while_it_ends_wakes_and_ends() -> None:
    faults = [
        {"kind": "limiter-restart", "at": 1.0, "targets": ["limiter-0"], "back_after": 0.1},
        {"kind": "limiter-pause", "at": 1.1, "targets": ["limiter-0"], "lasts": 0.8},
    ]
    records = play_virtual(small(fault=faults), 1)
    ends = [r.t for r in records if isinstance(r, log.LimiterState) and r.what == "exited"]
    assert len(ends) == 3 and 1.9 < ends[0] < 3.0 and not judge(records).crash


def test_what_is_begun_in_the_turn_of_a_kill_never_runs_and_hangs_nothing() -> None:
    ran = list[str]()

    async def begun() -> None:
        ran.append("begun")

    async def main(loop: VirtualLoop) -> None:
        process = Owner("limiter")

        async def turn() -> None:
            loop.kill(process)
            loop.create_task(begun())  # the code of a killed process still runs to the end of its turn
            loop.call_later(1.0, ran.append, "timer")

        context = copy_context()
        context.run(OWNER.set, process)
        loop.create_task(turn(), context=context)
        await asyncio.sleep(5.0)

    run_virtual(main)
    assert ran == []


def test_what_was_not_measured_is_not_shown_as_zero() -> None:
    verdict = judge(play_virtual(small(seconds=1, fault=[]), 1))
    used = verdict.as_json()["limiters"]["limiter-0"]
    assert used == {"cpu_seconds": None, "memory_mb": None, "restarts": 0}
    assert {usage.shown() for usage in verdict.limiters} == {("-", "-")}
    assert log.Usage(1.0, "n", 0.0, 20.4, 0).shown() == ("0.00", "20")


def test_the_kits_lateness_counts_from_the_days_first_second_on() -> None:
    records = play_virtual(rough(), 3)
    beats = [n for n, r in enumerate(records) if isinstance(r, log.Lateness)]
    ready = [n for n, r in enumerate(records) if isinstance(r, log.LimiterState) and r.what == "ready"]
    assert beats and beats[0] > ready[1] and all(records[n].t >= 0 for n in beats)


def test_a_day_leaves_the_collector_as_it_was() -> None:
    before, frozen = gc.get_threshold(), gc.get_freeze_count()
    with reduced_gc():
        assert gc.get_freeze_count() > frozen and gc.get_threshold() != before
    assert gc.get_threshold() == before and gc.get_freeze_count() == 0
