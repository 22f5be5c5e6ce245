"""Tests that a replay keeps the mix, accounts and timing of a capture, and that scrubbed captures hold no secrets."""

from __future__ import annotations

import asyncio
import json
import subprocess
import sys
from collections import Counter
from pathlib import Path
from random import Random

import pytest

from cypresspulley.capture.arrivals import ReplayOptions, account_number, build_arrivals
from cypresspulley.capture.har_writer import write_har
from cypresspulley.capture.load import load_captures
from cypresspulley.capture.mapping import Mapping
from cypresspulley.capture.model import CaptureError, Entry
from cypresspulley.capture.planning import build_plan
from cypresspulley.capture.replay import replay_against
from cypresspulley.capture.retries import mark_retries
from cypresspulley.capture.scrub import pseudonym, write_scrubbed
from cypresspulley.rehearsal import records as log
from cypresspulley.rehearsal.judge import judge
from cypresspulley.rehearsal.play import play
from cypresspulley.rehearsal.scenario import Scenario
from tests.capture.truth import generate_traffic
from tests.loopback import Origin, listening, run
from tests.rehearsal.small import command, small

pytestmark = pytest.mark.timed
FAWNSEAM = [sys.executable, "-m", "cypresspulley.cli"]


def base() -> Scenario:
    classes = [
        {"name": "bag-lookup", "share": 1, "work_ms": 10, "aim_ms": 500, "deadline_ms": 900},
        {"name": "handover-post", "share": 1, "work_ms": 10, "aim_ms": 500, "deadline_ms": 900, "effect": "unsafe"},
    ]  # fmt: skip
    return small(
        fault=[], **{"class": classes, "plan": [{"name": "standard", "share": 1, "rate": 99, "burst": 99}]}
    )


def captured(seconds: float = 3.0, rate: float = 40.0) -> list[Entry]:
    truth = generate_traffic(Random(1), seconds, rate)
    mark_retries(truth.attempts)
    return truth.attempts


def test_timing_is_kept_or_scaled_and_retries_belong_to_their_first() -> None:
    entries, scenario = captured(), base()
    one = build_arrivals(entries, scenario, ReplayOptions(), 1)
    assert [a.t for a in one] == [pytest.approx(e.t - entries[0].t, abs=1e-6) for e in entries]
    assert Counter((a.account, a.cls) for a in one) == Counter((e.account, e.cls) for e in entries)
    assert [a.repeats for a in one] == [e.repeats for e in entries]
    assert {a.attempt for a in one if a.repeats >= 0} >= {1}
    double = build_arrivals(entries, scenario, ReplayOptions(speed=2.0), 1)
    assert [a.t for a in double] == [pytest.approx(a.t / 2, abs=1e-5) for a in one]
    alone = build_arrivals(entries, scenario, ReplayOptions(clients_retry=True), 1)
    assert len(alone) == sum(e.repeats < 0 for e in entries) and all(a.repeats < 0 for a in alone)
    part = build_arrivals(entries, scenario, ReplayOptions(start=1.0, end=2.0), 1)
    assert len(part) == sum(1 <= e.t - entries[0].t < 2 for e in entries) and part[0].t == 0


def test_stretched_accounts_ask_alike_under_new_names() -> None:
    entries, scenario = captured(), base()
    three = build_arrivals(entries, scenario, ReplayOptions(account_copies=3), 1)
    per_account = Counter(a.account for a in three)
    assert len(three) == 3 * len(entries) and len(per_account) == 3 * len({e.account for e in entries})
    assert three == build_arrivals(entries, scenario, ReplayOptions(account_copies=3), 1)
    by_number = {a.number: a for a in three}
    assert all(by_number[a.repeats].account == a.account for a in three if a.repeats >= 0)


def test_names_that_the_scenario_does_not_hold_are_told() -> None:
    entries = captured()
    entries[0].plan = "gold"
    with pytest.raises(
        CaptureError, match="plan 'gold', which the scenario does not: expected one of standard"
    ):
        build_arrivals(entries, base(), ReplayOptions(), 1)
    with pytest.raises(CaptureError, match="no captured request lies between"):
        build_arrivals(captured(), base(), ReplayOptions(start=99), 1)


def test_account_numbers_have_the_protocols_form() -> None:
    assert account_number("00000000b4d65521") == "00000000b4d65521"
    for name in ("hotel", "ffffffffffffffff", "00000000b4d65521"):
        made = account_number(name, copy=1)
        assert len(made) == 16 and int(made, 16) < 2**33 and made == account_number(name, copy=1) != name


def test_a_scrubbed_capture_keeps_the_load_and_no_secret(tmp_path: Path) -> None:
    entries, path = captured(), tmp_path / "clean.jsonl"
    with path.open("w") as file:
        write_scrubbed(entries, b"k" * 16, file)
    text = path.read_text()
    assert not any(account in text for account in {e.account for e in entries})
    again = load_captures((str(path),), Mapping(), strict=True).entries
    assert [(e.cls, e.plan, e.status) for e in again] == [(e.cls, e.plan, e.status) for e in entries]
    assert len({e.account for e in again}) == len({e.account for e in entries})
    assert pseudonym("hotel", b"k" * 16) != pseudonym("hotel", b"l" * 16)


def test_a_har_of_a_rehearsal_is_read_as_what_was_sent(tmp_path: Path) -> None:
    async def main() -> None:
        scenario, plan = build_plan(captured(1.0), base(), ReplayOptions(), 1)
        records = await play(scenario, 1, command=command("right"), plan=plan)
        sent = [r for r in records if isinstance(r, log.Sent)]
        assert len(sent) == len(plan.arrivals) and judge(records).kept
        firsts = {r.first for r in sent}
        assert len(firsts) == sum(a.repeats < 0 for a in plan.arrivals)  # a retry is not a new request
        path = tmp_path / "clients.har"
        with path.open("w") as file:
            write_har(records, file)
        entries = sorted(load_captures((str(path),), Mapping(), strict=True).entries, key=lambda e: e.t)
        assert Counter((e.account, e.cls) for e in entries) == Counter((r.account, r.cls) for r in sent)
        assert [e.marked for e in entries] == [r.number > 0 for r in sorted(sent, key=lambda r: (r.t, r.id))]

    run(main())


def test_running_limiters_get_the_captured_load() -> None:
    async def main() -> None:
        origin = Origin()
        scenario, plan = build_plan(captured(0.5), base(), ReplayOptions(), 1)
        async with listening(origin.talk) as one, listening(origin.talk) as two:
            report = await replay_against(scenario, plan, (one, two))
        assert report.sent == len(plan.arrivals) == len(origin.seen) and report.statuses == {200: report.sent}
        assert len(report.late) == report.sent
        seen = Counter(line.split()[1].partition("account=")[2] for line, _, _ in origin.seen)
        assert seen == Counter(a.account for a in plan.arrivals)
        with pytest.raises(CaptureError, match="expected HOST:PORT"):
            await replay_against(scenario, plan, ("nowhere",))

    run(main())


def test_answers_that_never_come_hold_no_arrival_back() -> None:
    async def main() -> None:
        async def silent(reader: asyncio.StreamReader, _writer: asyncio.StreamWriter) -> None:
            await reader.read()

        scenario, plan = build_plan(captured(0.5, rate=100.0), base(), ReplayOptions(), 1)
        async with listening(silent) as address:
            report = await replay_against(scenario, plan, (address,))
        assert report.sent == len(plan.arrivals) > 30 and not report.statuses

    run(main())


def fawnseam(*arguments: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run([*FAWNSEAM, *arguments], capture_output=True, text=True, timeout=60)


def test_the_commands(tmp_path: Path) -> None:
    capture = tmp_path / "morning.jsonl"
    with capture.open("w") as file:
        write_scrubbed(captured(), b"k" * 16, file)
        file.write("not a line\n")
    page, figures = tmp_path / "page.html", tmp_path / "figures.json"
    done = fawnseam("capture", "inspect", str(capture), "--html", str(page), "--json", str(figures))
    assert done.returncode == 0 and "not read: 1" in done.stdout and "<svg" in page.read_text()
    summary = json.loads(figures.read_text())
    assert summary["tries"] == len(captured()) and summary["retries"] == sum(
        e.repeats >= 0 for e in captured()
    )
    strict = fawnseam("capture", "inspect", str(capture), "--strict")
    assert strict.returncode == 2 and f"{capture}:{len(captured()) + 1}: fits none" in strict.stderr
    assert fawnseam("capture", "inspect", "/nowhere").returncode == 2
    clean = tmp_path / "clean.jsonl"
    assert fawnseam("capture", "scrub", str(capture), "--out", str(clean)).returncode == 0
    assert len(clean.read_text().splitlines()) == len(captured())
    verdict = tmp_path / "verdict.json"
    # Exit code 3 marks a run as void because the machine was too busy; it is repeated.
    for _ in range(3):
        played = fawnseam("replay", str(capture), "--to", "2", "--json", str(verdict))
        if played.returncode != 3:
            break
    assert played.returncode == 0 and json.loads(verdict.read_text())["scenario"] == "replay"
    scenario = tmp_path / "mine.toml"
    scenario.write_text(f'name="mine"\nabout="x"\nseconds=9\n[load]\ncapture="{capture}"\nspeed=2\n')
    checked = fawnseam("rehearse", "--check", str(scenario))
    assert checked.returncode == 0 and f"{len(captured())} requests" in checked.stdout
