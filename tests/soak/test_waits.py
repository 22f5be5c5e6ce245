"""A failure of a timing term counts only if its limiter was not kept waiting for a CPU; any other always counts."""

from __future__ import annotations

from pathlib import Path

import pytest

from cypresspulley.rehearsal import records as log
from cypresspulley.rehearsal.judge import judge
from cypresspulley.rehearsal.virtual.play import play_virtual
from tests.rehearsal.small import small
from tests.soak import judge as soak
from tests.soak.processor import CpuWaits, cpu_wait_seconds

MEMORY_LIMIT_MB = 64
FAILURE_AT = 2.0  # seconds into the play


@pytest.fixture(scope="module")
def records() -> list[log.Record]:
    """Returns the records of a play without a failure."""
    day = list(play_virtual(small(seconds=3), 1))
    assert judge(day).kept
    return [record for record in day if not isinstance(record, log.End)] + [log.End(3.0, 1000.0)]


def verdict(
    monkeypatch: pytest.MonkeyPatch, folder: Path, records: list[log.Record], is_timing: bool, waits: str
) -> soak.Result:
    failure = soak.Failure("a find", "limiter-1", FAILURE_AT, is_timing)
    for term in ("_attempts_after_disconnect", "_connections_closed_unanswered"):
        monkeypatch.setattr(soak, term, lambda _: [])
    monkeypatch.setattr(soak, "_deadline_violations", lambda _: [failure])
    (folder / "limiter-1-77").write_text(waits)
    return soak.judge_day(1, records, folder, MEMORY_LIMIT_MB)


@pytest.mark.parametrize(
    "is_timing, waits, void",
    [
        (True, "", False), (True, "1001.900000 0.140000\n", False),
        (True, "1001.500000 0.080000\n1001.900000 0.080000\n", True), (True, "1000.900000 0.500000\n", False),
        (True, "1002.500000 0.500000\n", False), (False, "1001.900000 0.500000\n", False),
    ],
    ids=["no wait", "bearable", "two waits", "long before", "behind it", "another rule"],
)  # fmt: skip
def test_a_find_is_void_only_behind_a_wait_that_no_term_bears(
    monkeypatch: pytest.MonkeyPatch,
    tmp_path: Path,
    records: list[log.Record],
    is_timing: bool,
    waits: str,
    void: bool,
) -> None:
    result = verdict(monkeypatch, tmp_path, records, is_timing, waits)
    assert bool(result.void) is void and bool(result.failures) is not void
    assert "waited" in (result.void + " ".join(result.failures))


def test_waits_are_kept_apart_by_limiter(tmp_path: Path) -> None:
    (tmp_path / "limiter-1-7").write_text("1001.000000 0.100000\n")
    (tmp_path / "limiter-1-8").write_text("1001.100000 0.200000\n")
    (tmp_path / "limiter-2-9").write_text("1001.000000 0.400000\n")
    waits = CpuWaits(tmp_path, 1000.0)
    assert waits.total_between("limiter-1", 0.5, 1.5) == pytest.approx(0.3)
    assert waits.total_between("limiter-3", 0.5, 1.5) == 0.0


def test_the_kernel_tells_how_long_a_process_waited() -> None:
    assert 0.0 <= cpu_wait_seconds() < 1e6


def test_a_limiter_over_its_memory_limit_is_found_at_any_time() -> None:
    records: list[log.Record] = [
        log.Usage(9.0, "limiter-1", 1.0, 67.0, 0), log.Usage(9.0, "limiter-2", 1.0, 67.2, 0),
    ]  # fmt: skip
    found = list(soak._memory_violations(records, MEMORY_LIMIT_MB))
    assert [failure.limiter for failure in found] == ["limiter-2"]
