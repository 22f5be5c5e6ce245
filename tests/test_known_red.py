"""Tests KNOWN-RED.txt: only the listed tests may fail, and invalid or outdated lines fail the run."""

from __future__ import annotations

import os
import shutil
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent
TESTS = """
import pytest
def test_red(): assert False
def test_green(): pass
@pytest.mark.parametrize("n", [1, 2])
def test_half(n): assert n == 1
"""
RED = "tests/test_some.py::test_red | pytest tests/test_some.py, seed 1 | the sum is wrong | 34"
HALF = "tests/test_some.py::test_half[2] | pytest tests/test_some.py, n 2 | one of two | 34"
GREEN = "tests/test_some.py::test_green | pytest tests/test_some.py | it was mended | 34"
OK, FAILED, USAGE = 0, 1, 4


@pytest.fixture
def folder(tmp_path: Path) -> Path:
    (tmp_path / "tests").mkdir()
    shutil.copy(ROOT / "tests/conftest.py", tmp_path / "tests/conftest.py")
    shutil.copy(ROOT / "pyproject.toml", tmp_path / "pyproject.toml")
    (tmp_path / "tests/test_some.py").write_text(TESTS)
    (tmp_path / "tests/test_other.py").write_text("def test_other(): pass\n")
    return tmp_path


def run_tests(folder: Path, *lines: str, asked: tuple[str, ...] = ()) -> tuple[int, str]:
    """Run the folder's tests with a KNOWN-RED.txt of these lines, and return the exit code and output."""
    (folder / "KNOWN-RED.txt").write_text("".join(f"{line}\n" for line in lines))
    environment = {key: value for key, value in os.environ.items() if not key.startswith("PYTEST_")}
    command = [sys.executable, "-m", "pytest", "-rx", *asked]
    done = subprocess.run(command, cwd=folder, env=environment, capture_output=True, text=True, timeout=100)
    return done.returncode, done.stdout + done.stderr


def test_the_tests_that_it_names_may_fail_and_say_why(folder: Path) -> None:
    code, output = run_tests(folder, RED, "", HALF)
    assert code == OK and "2 xfailed" in output and "the sum is wrong (34)" in output


def test_as_many_may_fail_as_are_listed(folder: Path) -> None:
    names = [f"test_{n}" for n in range(5)]
    text = "".join(f"def {name}(): assert False\n" for name in names)
    (folder / "tests/test_some.py").write_text(text)
    code, output = run_tests(
        folder, *(f"tests/test_some.py::{name} | pytest | it fails | 34" for name in names)
    )
    assert code == OK and "5 xfailed" in output


def test_others_may_not(folder: Path) -> None:
    code, output = run_tests(folder, RED)
    assert code == FAILED and "test_half[2]" in output and "test_half[1]" not in output
    (folder / "KNOWN-RED.txt").unlink()
    (folder / "tests/test_some.py").write_text("def test_green(): pass\n")
    assert subprocess.run([sys.executable, "-m", "pytest"], cwd=folder, capture_output=True).returncode == OK


def test_one_that_passes_is_red(folder: Path) -> None:
    code, output = run_tests(folder, RED, HALF, GREEN)
    assert code == FAILED and "XPASS(strict)" in output and "it was mended" in output


@pytest.mark.parametrize("dist", [(), ("-n", "2", "--dist", "loadgroup")], ids=["alone", "workers"])
@pytest.mark.parametrize("asked", [(), ("tests",), (".",)], ids=["none", "tests", "root"])
def test_one_that_names_no_test_fails_a_run_of_all(
    folder: Path, dist: tuple[str, ...], asked: tuple[str, ...]
) -> None:
    gone = "tests/test_some.py::test_gone | pytest tests | it was renamed | 34"
    code, output = run_tests(folder, RED, HALF, gone, asked=(*asked, *dist))
    assert code == FAILED and "KNOWN-RED.txt names no test: tests/test_some.py::test_gone" in output
    assert "2 xfailed" in output


@pytest.mark.parametrize("dist", [(), ("-n", "2", "--dist", "loadgroup")], ids=["alone", "workers"])
def test_scripts_and_scenarios_are_printed_and_not_run(folder: Path, dist: tuple[str, ...]) -> None:
    script = folder / "case/run.sh"
    script.parent.mkdir()
    script.write_text("#!/bin/sh\ntouch ran\n")
    script.chmod(0o755)
    lines = (
        "case/run.sh | case/run.sh, seed 1 | it loses one | 34",
        "fawnseam rehearse wedding-close --seed 2 | the same | a lane | 35",
    )
    code, output = run_tests(folder, RED, HALF, *lines, asked=dist)
    assert code == OK and "2 xfailed" in output and not (folder / "ran").exists()
    assert "known red, not run: case/run.sh: it loses one (34)" in output
    assert output.count("known red, not run: fawnseam rehearse wedding-close --seed 2: a lane (35)") == 1


@pytest.mark.parametrize(
    "name", ["case/gone.sh", "pyproject.toml", "../conftest.py", "fawnseam rehearse no-such-day", "fawnseam"]
)
def test_one_that_names_no_script_and_no_scenario_fails_a_run_of_all(folder: Path, name: str) -> None:
    code, output = run_tests(folder, RED, HALF, f"{name} | by hand | it was moved | 34")
    assert code == FAILED and f"KNOWN-RED.txt names no test: {name}" in output


@pytest.mark.parametrize("dist", [(), ("-n", "2", "--dist", "loadgroup")], ids=["alone", "workers"])
def test_a_run_of_some_files_asks_for_no_other(folder: Path, dist: tuple[str, ...]) -> None:
    assert run_tests(folder, RED, HALF, asked=("tests/test_other.py", *dist))[0] == OK
    assert run_tests(folder, RED, HALF, asked=("tests/test_some.py::test_red", *dist))[0] == OK


@pytest.mark.parametrize(
    "lines",
    [
        ("tests/test_some.py::test_red",), ("tests/test_some.py::test_red | how",),
        ("tests/test_some.py::test_red | how | 34",), (f"{RED} | more",), ("a::b | | c | 34",), ("a::b | c | | 34",),
        ("| b | c | 34",), ("a::b | c | d |",), (RED, RED), ("# a remark",),
    ],
    ids=[
        "no command", "nothing seen", "no issue", "too much", "empty command", "empty sight", "empty test",
        "empty issue", "twice", "remark",
    ],
)  # fmt: skip
@pytest.mark.parametrize("asked", [(), ("tests/test_other.py",)], ids=["all", "one file"])
def test_a_file_of_another_form_ends_the_run(
    folder: Path, lines: tuple[str, ...], asked: tuple[str, ...]
) -> None:
    code, output = run_tests(folder, *lines, asked=asked)
    assert code == USAGE and "KNOWN-RED.txt: " in output and "passed" not in output


def test_the_check_prints_its_lines() -> None:
    text = (ROOT / ".ci/run").read_text()
    assert text.index("cat KNOWN-RED.txt") < text.index("make test VENV")
