"""The command line: verdicts, output files, exit codes and failures of the harness itself."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
from pathlib import Path
from typing import Any

import psutil
import pytest
import uvloop

from cypresspulley.rehearsal import records as log
from cypresspulley.rehearsal.judge import judge
from cypresspulley.rehearsal.limiters import HarnessError
from cypresspulley.rehearsal.page import render
from cypresspulley.rehearsal.play import play
from cypresspulley.rehearsal.timeline import Timeline
from tests.rehearsal.logs import LogBuilder
from tests.rehearsal.small import command, small

DAY = """
name = "tiny"
about = "a test's day"
seconds = 3
[goal]
service = {goal}
[fleet]
servers = 3
[limiters]
count = 2
[load]
inside = 25
heavy = 0
spread = [1, 2]
[clients]
impatient = 0
"""
pytestmark = pytest.mark.timed
FAWNSEAM = [sys.executable, "-m", "cypresspulley.cli"]
MAX_PLAYS = 3


def fawnseam(*arguments: str, **more: Any) -> subprocess.CompletedProcess[str]:
    return subprocess.run([*FAWNSEAM, *arguments], capture_output=True, text=True, timeout=60, **more)


def rehearse_until_valid(*arguments: str) -> subprocess.CompletedProcess[str]:
    """Runs the command, and again if the run is void because the harness itself was late."""
    for _ in range(MAX_PLAYS):
        done = fawnseam("rehearse", *arguments)
        if "VOID: the kit ran late" not in done.stdout:
            break
    return done


def write_day(folder: Path, goal: float = 0.2, extra: str = "") -> str:
    path = folder / "tiny.toml"
    path.write_text(DAY.format(goal=goal) + extra)
    return str(path)


def children() -> list[psutil.Process]:
    return [p for p in psutil.Process().children(recursive=True) if p.status() != psutil.STATUS_ZOMBIE]


def test_a_day_is_played_judged_written_and_judged_again(tmp_path: Path) -> None:
    day = write_day(tmp_path)
    files = [str(tmp_path / name) for name in ("a.json", "a.html", "logs")]
    done = rehearse_until_valid(
        day, "--seed", "9", "--json", files[0], "--html", files[1], "--logs", files[2]
    )
    assert done.returncode == 0, done.stdout + done.stderr
    assert "PASSED" in done.stdout and "limiters up" in done.stderr
    verdict = json.loads(Path(files[0]).read_text())
    assert {
        "scenario", "seed", "service", "service_by_class", "service_by_plan", "worst_10s", "rules", "counts",
        "faults", "limiters",
    } <= set(verdict)  # fmt: skip
    assert len(verdict["rules"]) == 5 and all(rule["kept"] for rule in verdict["rules"])
    assert {"offered", "served", "refused", "failed", "retried", "lost"} <= set(verdict["counts"])
    assert verdict["seed"] == 9 and verdict["limiters"]["limiter-0"]["cpu_seconds"] > 0
    page = Path(files[1]).read_text()
    assert "<svg" in page and "The five rules" in page
    assert 'src="' not in page and 'href="http' not in page  # self-contained
    again = fawnseam("judge", f"{files[2]}/records.jsonl", "--json", str(tmp_path / "b.json"))
    assert again.returncode == 0 and json.loads((tmp_path / "b.json").read_text()) == verdict
    assert children() == []


def test_virtual_time_gives_one_trace_and_the_same_kind_of_verdict(tmp_path: Path) -> None:
    done = [
        fawnseam("rehearse", write_day(tmp_path), "--virtual", "--logs", str(tmp_path / "l"))
        for _ in range(2)
    ]
    assert [one.returncode for one in done] == [0, 0] and done[0].stdout == done[1].stdout
    assert done[0].stdout.startswith("trace ") and "PASSED" in done[0].stdout
    again = fawnseam("judge", str(tmp_path / "l" / "records.jsonl"))
    assert again.stdout == done[0].stdout.partition("\n")[2]


def test_a_missed_goal_is_1(tmp_path: Path) -> None:
    done = rehearse_until_valid(write_day(tmp_path, goal=1.0, extra=KILL))
    assert done.returncode == 1 and "is under 1.00" in done.stdout


KILL = '[[fault]]\nkind = "limiter-kill"\nat = 0.5\ntargets = ["limiter-0", "limiter-1"]\nback_after = 1.5\n'


@pytest.mark.parametrize(
    ("arguments", "expected"),
    [
        (["rehearse", "nothing-like-it"], "neither a file nor a shipped scenario"),
        (["rehearse", "--check", "{bad}"], "bad.toml: seconds: Field required"),
        (["rehearse", "calm-morning", "--html", "/nowhere/at/all.html"], "its folder does not exist"),
        (["rehearse"], "SCENARIO is missing"),
        (["judge", "{bad}"], "bad.toml:1: not JSON"),
        (["judge", "/nowhere"], "/nowhere: not readable"),
    ],
)
def test_bad_input_is_2_and_says_what_was_expected(
    tmp_path: Path, arguments: list[str], expected: str
) -> None:
    bad = tmp_path / "bad.toml"
    bad.write_text('name = "x"\nabout = "y"\n')
    done = fawnseam(*(part.replace("{bad}", str(bad)) for part in arguments))
    assert done.returncode == 2 and expected in done.stderr


def test_the_lists_and_the_check(tmp_path: Path) -> None:
    assert "wedding-weekend" in fawnseam("rehearse", "--list").stdout
    checked = fawnseam("rehearse", "--check", write_day(tmp_path))
    assert checked.returncode == 0 and "tiny: good; " in checked.stdout
    assert fawnseam("limiter", "/nowhere").returncode == 2


def test_an_interrupt_says_what_was_seen_and_leaves_no_process(tmp_path: Path) -> None:
    process = subprocess.Popen(
        [*FAWNSEAM, "rehearse", write_day(tmp_path)],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )
    assert process.stderr is not None
    while "2 of 2 limiters up" not in (line := process.stderr.readline()):
        assert line, "it ended before its limiters were up"
    inside = psutil.Process(process.pid).children(recursive=True)
    process.send_signal(signal.SIGINT)
    out, err = process.communicate(timeout=20)
    assert process.returncode == 130 and "what was seen so far" in err and "held against" in out
    assert len(inside) == 2 and psutil.wait_procs(inside, timeout=5)[1] == []


def error_of(fault: list[str], **changes: Any) -> str:
    """Returns the error of a play with this limiter command. No process may be left."""
    with pytest.raises(HarnessError) as error:
        uvloop.run(play(small(**{"seconds": 1, "fault": [], **changes}), 1, command=fault))
    assert children() == []
    return str(error.value)


def test_a_limiter_that_does_not_start_is_an_error() -> None:
    assert "does not start" in error_of(["/nowhere/limiter"])
    text = error_of([sys.executable, "-c", "import sys; print('no luck'); sys.exit(7)"])
    assert "ended with code 7 before it was ready: no luck" in text


def test_a_port_in_use_is_an_error(monkeypatch: pytest.MonkeyPatch) -> None:
    taken = list[socket.socket]()

    def taken_port(host: str) -> int:
        taken.append(socket.create_server((host, 0)))
        port: int = taken[-1].getsockname()[1]
        return port

    monkeypatch.setattr("cypresspulley.rehearsal.play.free_port", taken_port)
    text = error_of([sys.executable, "-m", "cypresspulley"])
    assert "ended with code 2 before it was ready" in text and "cannot listen" in text
    for one in taken:
        one.close()


def test_too_few_descriptors_are_an_error_before_anything_starts(tmp_path: Path) -> None:
    line = ["bash", "-c", 'ulimit -n 90; exec "$@"', "bash", *FAWNSEAM, "rehearse", write_day(tmp_path)]
    done = subprocess.run(line, capture_output=True, text=True, timeout=60)
    assert done.returncode == 3 and "and may have 90: raise `ulimit -n`" in done.stderr


def test_a_limiter_that_ignores_sigterm_is_killed_and_named(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("cypresspulley.rehearsal.limiters.STOP_TIMEOUT_SECONDS", 0.5)
    assert "ignored SIGTERM for 0.5 s and was killed" in error_of(command("ignores-sigterm"))


def test_a_place_that_takes_no_logs_is_an_error(tmp_path: Path) -> None:
    (tmp_path / "file").write_text("")

    async def main() -> None:
        await play(small(seconds=1, fault=[]), 1, logs=tmp_path / "file" / "logs")

    with pytest.raises(HarnessError, match="cannot make"):
        uvloop.run(main())


def test_a_full_disk_is_an_error(tmp_path: Path) -> None:
    logs = tmp_path / "logs"
    logs.mkdir()
    os.symlink("/dev/full", logs / "records.jsonl")

    async def main() -> None:
        await play(small(seconds=1, fault=[]), 1, logs=logs, command=command("right"))

    with pytest.raises(HarnessError, match="No space left on device: free the disk"):
        uvloop.run(main())
    assert children() == []


def test_a_crash_is_told_and_fails_the_day() -> None:
    """The limiter exits by itself in the middle of the run."""
    text = f"""
import runpy, sys, threading, os
threading.Timer(1.2, os._exit, (9,)).start()
sys.argv = [{command("right")[1]!r}, "right"]
runpy.run_path(sys.argv[0], run_name="__main__")
"""

    async def main() -> list[log.Record]:
        return await play(small(seconds=2, fault=[]), 1, command=[sys.executable, "-c", text])

    verdict = judge(uvloop.run(main()))
    assert "ended by itself with code 9" in verdict.crash and not verdict.passed


def test_the_same_seed_meets_the_same_arrivals() -> None:
    async def one(seed: int) -> list[tuple[str, str]]:
        records = await play(small(seconds=1, fault=[]), seed, command=command("right"))
        return sorted((r.first, r.account) for r in records if isinstance(r, log.Sent) and r.number == 0)

    async def main() -> None:
        first, second, other = await asyncio.gather(one(3), one(3), one(4))
        assert first == second != other and len(first) > 10

    uvloop.run(main())


def test_the_page_passes_nothing_on_unescaped() -> None:
    story = LogBuilder(scenario="<script>alert(1)</script>")
    id = story.sent(2.0, account="<b>x</b>")
    story.answered(2.5, id, 200, "<img src=x>")
    line = Timeline(story.done())
    page = render(line, judge(story.done()))
    assert "<script>" not in page and "<img" not in page and "<b>x</b>" not in page
    assert "served with what no server made for it" in page and "Answered" in page
