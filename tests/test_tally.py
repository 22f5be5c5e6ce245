"""Tests of the counts of events and actions, and of their sums over a fleet."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from benchmarks.fleet_counts import main, read_counts, sum_counts
from cypresspulley import interface as api
from cypresspulley.tally import LINE_PREFIX, MAX_KINDS, Tally
from tests import world as w


class FixedDecisions:
    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        if isinstance(event, api.Request):
            return [api.Send(event.id, "s1", 1.0)]
        return [api.Refuse(1, 0.5, "gate")] if isinstance(event, api.Outcome) else []


def write_sample_lines() -> list[str]:
    lines = list[str]()
    tally = Tally(FixedDecisions(), 0.1, 10.0, lambda: 7, lines.append, lambda: 0.0)
    tally.handle(100.0, api.ServerList((api.ServerEntry("s1", api.Health.UP, "a", born=99.0),), True))
    tally.handle(100.01, w.request(1, "read", "gold", "acct", 3.0))
    tally.handle(100.02, api.Outcome(1, 0, "s1", api.Status.ERROR, 0.1, False, {}))
    tally.handle(100.2, api.TimerFired(1))
    return lines


def test_a_spell_is_a_line_of_counts_by_kind() -> None:
    rows = [json.loads(line.removeprefix(LINE_PREFIX)) for line in write_sample_lines()]
    assert rows[-1]["counts"] == {
        "try gold first": 1, "send gold": 1, "cold s1": 1, "outcome error": 1, "bad s1 error": 1,
        "refuse gold gate": 1, "list whole": 1, "processor us": 0,
    }  # fmt: skip
    assert rows[0]["counts"] == {"dial": 7, "processor us": 0}


def test_kinds_that_come_from_outside_are_bounded() -> None:
    lines = list[str]()
    tally = Tally(FixedDecisions(), 0.1, 10.0, write=lines.append)
    tally.handle(100.0, api.TimerFired(1))
    for id in range(2 * MAX_KINDS):
        tally.handle(100.01, w.request(id, "read", f"plan-{id}", "acct", 3.0))
    tally.handle(101.0, api.TimerFired(2))
    counts = json.loads(lines[-1].removeprefix(LINE_PREFIX))["counts"]
    assert len(counts) <= MAX_KINDS + 2 and counts["other"] > MAX_KINDS


def test_logs_of_a_fleet_add_up_and_cut_lines_are_passed_over(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    for name in ("n0", "n1"):
        lines = [f"0.5 {line}" for line in write_sample_lines()]
        (tmp_path / f"{name}.log").write_text("ready\n" + "".join(lines) + lines[-1][:30])
    logs = [read_counts(path) for path in sorted(tmp_path.glob("*.log"))]
    table, limiters = sum_counts(logs, 0.1)
    assert table["send gold"] == {0: 2} and limiters["send gold"] == 2
    assert main([str(tmp_path), "--kinds", "send"]) == 0
    assert "send gold" in capsys.readouterr().out


def test_a_folder_with_no_counts_is_told(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    (tmp_path / "n0.log").write_text("ready\n")
    assert main([str(tmp_path)]) == 1
    assert "no log holds a count" in capsys.readouterr().err
