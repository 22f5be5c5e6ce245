"""The plans commands: their output, their exit codes, and dry runs, which change nothing."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest
from click.testing import CliRunner, Result

from cypresspulley.cli import main

CHANGE = ("change", "--author", "meera", "--plan", "business", "--rate", "3", "--burst", "12")
CEILING = ("--ceiling-rate", "5", "--ceiling-burst", "24")


def run_plans(*arguments: object) -> Result:
    return CliRunner().invoke(main, ["plans", *map(str, arguments)])


@pytest.fixture
def book(tmp_path: Path) -> Path:
    store = tmp_path / "book"
    result = run_plans(*CHANGE, *CEILING, "--store", store, "--installation", "vadodara", "--effective", "+0")
    assert result.exit_code == 0, result.output
    result = run_plans(
        "assign", "hotel", "business", "--store", store, "--author", "meera", "--effective", "+0"
    )
    assert result.exit_code == 0, result.output
    return store


def test_show_history_and_diff(book: Path, tmp_path: Path) -> None:
    shown = json.loads(run_plans("show", book, "--json").output)
    assert shown["installation"] == "vadodara" and shown["accounts"][0]["plan"] == "business"
    assert "hotel is on business" in run_plans("history", book, "hotel").output
    assert run_plans("history", book, "nobody").exit_code == 2
    assert run_plans("diff", book, book).exit_code == 0
    other = tmp_path / "other"
    run_plans(*CHANGE, "--store", other, "--installation", "vadodara", "--effective", "+0")
    assert run_plans("diff", book, other).exit_code == 1
    assert run_plans("show", tmp_path / "nix").exit_code == 2


def test_a_dry_run_says_who_would_be_over_and_changes_nothing(book: Path) -> None:
    lower = (*CHANGE[:5], "--rate", "1", "--burst", "4", "--ceiling-rate", "2", "--ceiling-burst", "8")
    before = run_plans("show", book, "--json").output
    result = run_plans(*lower, "--store", book, "--effective", "+1", "--dry-run", "--json")
    answer = json.loads(result.output)
    assert (
        result.exit_code == 0
        and answer["dry_run"]
        and answer["passed_by"] == {"hotel": pytest.approx(22, abs=0.1)}
    )
    after = json.loads(run_plans("show", book, "--json").output)
    assert after["digest"] == json.loads(before)["digest"]
    ahead = json.loads(run_plans(*lower, "--store", book, "--dry-run", "--json").output)
    assert ahead["passed_by"] == {}  # announced a lease ahead


@pytest.mark.parametrize(
    ("arguments", "said"),
    [
        ((*CHANGE, "--ceiling-rate", "1", "--ceiling-burst", "99"), "ceiling: expected at least the quota"),
        ((*CHANGE[:5], "--rate", "nan", "--burst", "1"), "terms.rate: expected a number above 0"),
        ((*CHANGE[:5], "--rate", "0", "--burst", "1"), "terms.rate"),
        ((*CHANGE, "--effective", "5"), "which is past"),
        ((*CHANGE, "--effective", "+x"), "effective: expected +SECONDS"),
        (("assign", "hotel", "nope", "--author", "m"), "plan: 'nope' is in force at no time"),
        ((*CHANGE, "--installation", "semien"), "of 'vadodara'; expected 'semien'"),
        (("release", "nope", "--author", "m"), "no reservation is named 'nope'"),
    ],
)
def test_bad_input_is_named_and_changes_nothing(book: Path, arguments: tuple[str, ...], said: str) -> None:
    digest = json.loads(run_plans("show", book, "--json").output)["digest"]
    result = run_plans(*arguments, "--store", book)
    assert result.exit_code == 1 and said in result.output
    assert json.loads(run_plans("show", book, "--json").output)["digest"] == digest


def test_reservations_are_idempotent_by_key(book: Path) -> None:
    window = ("--start", "4000000000000", "--end", "4000000100000", "--fleet-rate", "50")
    common = ("--store", book, "--author", "m")
    assert "held" in run_plans("reserve", "wedding", "hotel", "100", *window, *common).output
    assert run_plans("reserve", "wedding", "hotel", "100", *window, *common).exit_code == 0
    assert run_plans("reserve", "wedding", "hotel", "101", *window, *common).exit_code == 1
    refused = run_plans("reserve", "more", "hotel", "1e6", *window, *common)
    assert refused.exit_code == 1 and "refused" in refused.output
    for _ in range(2):
        assert "released" in run_plans("release", "wedding", *common).output


def test_check_tells_damage(book: Path) -> None:
    assert run_plans("check", book).exit_code == 0
    (log,) = book.glob("log.*")
    data = bytearray(log.read_bytes())
    data[data.index(b"business")] ^= 1
    log.write_bytes(data)
    result = run_plans("check", book)
    assert result.exit_code == 1 and "DAMAGED at byte" in result.output
    assert run_plans("show", book).exit_code == 2 and log.read_bytes() == data


def test_a_writer_serves_and_takes_changes(book: Path) -> None:
    environment = {**os.environ, "FAWNSEAM_PLANS_TOKEN": "t"}
    command = [
        sys.executable,
        "-m",
        "cypresspulley.cli",
        "plans",
        "serve",
        str(book),
        "--listen",
        "127.0.0.1:0",
    ]
    with subprocess.Popen(command, env=environment, stderr=subprocess.PIPE, text=True) as server:
        assert server.stderr is not None
        address = server.stderr.readline().rsplit(" ", 1)[1].strip()
        locked = run_plans("assign", "inn", "business", "--author", "m", "--store", book)
        assert locked.exit_code == 3 and "one writer at a time" in locked.output
        result = CliRunner().invoke(
            main, ["plans", "assign", "inn", "business", "--author", "m", "--to", address], env=environment
        )
        assert result.exit_code == 0, result.output
        wrong = CliRunner().invoke(
            main, ["plans", "assign", "x", "business", "--author", "m", "--to", address],
            env={"FAWNSEAM_PLANS_TOKEN": "no"},
        )  # fmt: skip
        assert wrong.exit_code == 2 and "Authorization" in wrong.output
        server.send_signal(signal.SIGTERM)
        assert server.wait(10) == 0
    assert "inn is on business" in run_plans("history", book, "inn").output


def test_a_writer_without_a_token_does_not_start(book: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.delenv("FAWNSEAM_PLANS_TOKEN", raising=False)
    assert run_plans("serve", book).exit_code == 2
    assert run_plans("assign", "x", "p", "--author", "m").exit_code == 2
