"""Compaction of a plan writer's store: nothing acknowledged is lost by it, whatever its size and wherever it fails."""

from __future__ import annotations

import errno
from random import Random

import pytest

from cypresspulley.plans import store as stores
from cypresspulley.plans.book import Stamp, Terms
from cypresspulley.plans.plan_writer import PlanWriter
from cypresspulley.plans.reservations import ReservationRequest
from cypresspulley.plans.store import Store
from cypresspulley.plans.usage import UsageKey, UsageRecord
from tests.plans.disk import CrashError, Disk

TERMS = Terms(2.0, 8.0, 4.0, 16.0)


def usage_record(seq: int, rows: int = 1, name: str = "hotel") -> UsageRecord:
    key = [UsageKey(f"{name}{seq}-{number}", "p", Stamp(1, 1), 0) for number in range(rows)]
    return UsageRecord("n0", 1, seq, tuple((each, 1_000_000) for each in key))


def total_units(plan_writer: PlanWriter) -> int:
    return sum(plan_writer.usage_ledger.totals.values())


def reopened(disk: Disk) -> PlanWriter:
    return PlanWriter(Store(disk))


@pytest.fixture
def always_compacting(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(stores, "COMPACTION_THRESHOLD_BYTES", 0)
    monkeypatch.setattr(stores, "COMPACTION_RETRY_BYTES", 0)


def test_what_makes_the_store_compact_is_in_the_new_generation(always_compacting: None) -> None:
    """Guards against a snapshot of the state before the commit: the record that triggered it was lost."""
    disk = Disk()
    plan_writer = PlanWriter(Store(disk), "vadodara")
    plan_writer.set_terms("p", TERMS, 1000, 1000, "m")
    assert set(reopened(disk).book.plans) == {"p"}
    plan_writer = reopened(disk)
    plan_writer.assign_plan("hotel", "p", 1000, 1000, "m")
    assert plan_writer.accept_usage(usage_record(1))
    plan_writer = reopened(disk)
    assert total_units(plan_writer) == 1_000_000 and "hotel" in plan_writer.book.accounts
    plan_writer.reserve(ReservationRequest("ev", "hotel", 1050, 1060, 1), 1000, 1e6)
    found = reopened(disk)
    assert "ev" in found.reservations.by_key and len(found.changes) == len(plan_writer.changes)


@pytest.mark.parametrize(
    ("records", "rows", "name"),
    [(40, 1000, "hotel"), (30, 10, "é" * 4000)],
    ids=["many rows", "long names"],
)
def test_use_of_many_accounts_is_compacted(records: int, rows: int, name: str) -> None:
    """Guards against frames by count: from some 20,000 rows on, a snapshot's frame was too large to be written."""
    disk = Disk()
    plan_writer = PlanWriter(Store(disk), "vadodara")
    for number in range(records):
        assert plan_writer.accept_usage(usage_record(number + 1, rows, name))
    plan_writer.compact()
    assert total_units(reopened(disk)) == records * rows * 1_000_000


class FailingDisk(Disk):
    """A disk whose operation ``fails`` raises EIO, once or always, while a new generation is written."""

    fails = ""
    once = True

    def fail(self, operation: str) -> None:
        if operation == self.fails:
            self.fails = "" if self.once else self.fails
            raise OSError(errno.EIO, f"{operation} failed")

    def rename(self, old: str, new: str) -> None:
        self.fail("rename")
        super().rename(old, new)

    def sync(self) -> None:
        self.fail("sync")
        super().sync()

    def remove(self, name: str) -> None:
        self.fail("remove")
        super().remove(name)


@pytest.mark.parametrize("operation", ["rename", "sync", "remove"])
def test_a_compaction_that_fails_leaves_the_old_generation_in_service(
    operation: str, always_compacting: None, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against an operation that is answered as refused although it is stored."""
    disk = FailingDisk()
    plan_writer = PlanWriter(Store(disk), "vadodara")
    disk.fails = operation
    plan_writer.set_terms("p", TERMS, 1000, 1000, "m")
    for number in range(1, 4):  # after the first one the compaction succeeds again
        assert plan_writer.accept_usage(usage_record(number))
    found = PlanWriter(Store(disk))
    assert total_units(found) == 3_000_000 and set(found.book.plans) == {"p"}
    # A stale generation that stays is harmless: the newest complete one is read.
    assert ("was not compacted" in caplog.text) is (operation != "remove")


def test_a_compaction_that_failed_is_tried_again_only_once_the_store_has_grown(
    always_compacting: None, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against the whole state being written again at each commit while the disk fails."""
    monkeypatch.setattr(stores, "COMPACTION_RETRY_BYTES", 4096)
    disk = FailingDisk()
    plan_writer = PlanWriter(Store(disk), "vadodara")
    disk.fails, disk.once = "rename", False
    attempts = list[int]()
    for number in range(1, 101):
        assert plan_writer.accept_usage(usage_record(number))
        attempts.append(caplog.text.count("was not compacted"))
    assert attempts[0] == attempts[9] == 1 < attempts[-1] < 10
    assert total_units(reopened(disk)) == 100_000_000


def test_a_compaction_that_cannot_be_undone_takes_nothing_more(always_compacting: None) -> None:
    """A start would read the new generation, which does not hold what is committed after it."""
    disk = FailingDisk()
    plan_writer = PlanWriter(Store(disk), "vadodara")
    disk.fails, disk.once = "sync", False
    plan_writer.set_terms("p", TERMS, 1000, 1000, "m")
    with pytest.raises(OSError, match="cannot be undone"):
        plan_writer.accept_usage(usage_record(1))
    assert set(reopened(disk).book.plans) == {"p"}


@pytest.mark.parametrize("seed", range(3))
def test_a_kill_at_any_operation_of_a_compaction_loses_nothing(seed: int, always_compacting: None) -> None:
    for left in range(60):
        rng, disk = Random(seed * 1000 + left), Disk(operations_left=left)
        acknowledged = 0
        try:
            plan_writer = PlanWriter(Store(disk), "vadodara")
            plan_writer.set_terms("p", TERMS, 1000, 1000, "m")
            for number in range(1, 6):
                assert plan_writer.accept_usage(usage_record(number))
                acknowledged = number
        except CrashError:
            pass
        found = PlanWriter(Store(disk.after_crash(rng)), "vadodara")
        assert acknowledged <= total_units(found) // 1_000_000 <= acknowledged + 1


def test_a_store_with_a_repeated_change_opens_and_names_it(caplog: pytest.LogCaptureFixture) -> None:
    """Releases before stored a change, answered it as refused, and stored its repeat under the same number."""
    disk = Disk()
    plan_writer = PlanWriter(Store(disk), "vadodara")
    plan_writer.set_terms("p", TERMS, 1000, 1000, "m")
    changes, book = list(plan_writer.changes), plan_writer.book
    plan_writer.assign_plan("hotel", "p", 1000, 1000, "m")
    plan_writer.changes, plan_writer.book = changes, book
    plan_writer.assign_plan("hotel", "p", 1000, 1000, "m")
    found = reopened(disk)
    assert [each.stamp.seq for each in found.changes] == [1, 2]
    assert "number 2 is a repeat" in caplog.text and "hotel" in caplog.text
    found.assign_plan("inn", "p", 2000, 2000, "m")
    assert len(reopened(disk).changes) == 3
