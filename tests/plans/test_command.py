"""The command line of plans: what it says, its exit codes, and that a dry run changes nothing."""

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


def plans(*arguments: object) -> Result:
    return CliRunner().invoke(main, ["plans", *map(str, arguments)])


@pytest.fixture
def book(tmp_path: Path) -> Path:
    store = tmp_path / "book"
    done = plans(*CHANGE, *CEILING, "--store", store, "--installation", "vadodara", "--effective", "+0")
    assert done.exit_code == 0, done.output
    done = plans("assign", "hotel", "business", "--store", store, "--author", "meera", "--effective", "+0")
    assert done.exit_code == 0, done.output
    return store


def test_show_history_and_diff(book: Path, tmp_path: Path) -> None:
    shown = json.loads(plans("show", book, "--json").output)
    assert shown["installation"] == "vadodara" and shown["accounts"][0]["plan"] == "business"
    assert "hotel is on business" in plans("history", book, "hotel").output
    assert plans("history", book, "nobody").exit_code == 2
    assert plans("diff", book, book).exit_code == 0
    other = tmp_path / "other"
    plans(*CHANGE, "--store", other, "--installation", "vadodara", "--effective", "+0")
    assert plans("diff", book, other).exit_code == 1
    assert plans("show", tmp_path / "nix").exit_code == 2


def test_a_dry_run_says_who_would_be_over_and_changes_nothing(book: Path) -> None:
    lower = (*CHANGE[:5], "--rate", "1", "--burst", "4", "--ceiling-rate", "2", "--ceiling-burst", "8")
    before = plans("show", book, "--json").output
    done = plans(*lower, "--store", book, "--effective", "+1", "--dry-run", "--json")
    told = json.loads(done.output)
    assert (
        done.exit_code == 0 and told["dry_run"] and told["passed_by"] == {"hotel": pytest.approx(22, abs=0.1)}
    )
    after = json.loads(plans("show", book, "--json").output)
    assert after["digest"] == json.loads(before)["digest"]
    ahead = json.loads(plans(*lower, "--store", book, "--dry-run", "--json").output)
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
    digest = json.loads(plans("show", book, "--json").output)["digest"]
    done = plans(*arguments, "--store", book)
    assert done.exit_code == 1 and said in done.output
    assert json.loads(plans("show", book, "--json").output)["digest"] == digest


def test_reservations_are_idempotent_by_key(book: Path) -> None:
    window = ("--start", "4000000000000", "--end", "4000000100000", "--fleet-rate", "50")
    told = ("--store", book, "--author", "m")
    assert "held" in plans("reserve", "wedding", "hotel", "100", *window, *told).output
    assert plans("reserve", "wedding", "hotel", "100", *window, *told).exit_code == 0
    assert plans("reserve", "wedding", "hotel", "101", *window, *told).exit_code == 1
    refused = plans("reserve", "more", "hotel", "1e6", *window, *told)
    assert refused.exit_code == 1 and "refused" in refused.output
    for _ in range(2):
        assert "released" in plans("release", "wedding", *told).output


def test_check_tells_damage(book: Path) -> None:
    assert plans("check", book).exit_code == 0
    (log,) = book.glob("log.*")
    data = bytearray(log.read_bytes())
    data[data.index(b"business")] ^= 1
    log.write_bytes(data)
    done = plans("check", book)
    assert done.exit_code == 1 and "DAMAGED at byte" in done.output
    assert plans("show", book).exit_code == 2 and log.read_bytes() == data


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
        locked = plans("assign", "inn", "business", "--author", "m", "--store", book)
        assert locked.exit_code == 3 and "one writer at a time" in locked.output
        done = CliRunner().invoke(
            main, ["plans", "assign", "inn", "business", "--author", "m", "--to", address], env=environment
        )
        assert done.exit_code == 0, done.output
        wrong = CliRunner().invoke(
            main, ["plans", "assign", "x", "business", "--author", "m", "--to", address],
            env={"FAWNSEAM_PLANS_TOKEN": "no"},
        )  # fmt: skip
        assert wrong.exit_code == 2 and "Authorization" in wrong.output
        server.send_signal(signal.SIGTERM)
        assert server.wait(10) == 0
    assert "inn is on business" in plans("history", book, "inn").output


def test_a_writer_without_a_token_does_not_start(book: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.delenv("FAWNSEAM_PLANS_TOKEN", raising=False)
    assert plans("serve", book).exit_code == 2
    assert plans("assign", "x", "p", "--author", "m").exit_code == 2
