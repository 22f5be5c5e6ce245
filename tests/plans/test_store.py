"""The store on a disk that crashes at any operation and loses data that was not synced, and on a full disk."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cypresspulley.plans.book import BookError, Terms
from cypresspulley.plans.files import DiskFolder
from cypresspulley.plans.plan_writer import PlanWriter
from cypresspulley.plans.reservations import ReservationRequest, ReservationState
from cypresspulley.plans.store import (
    FILE_HEADER,
    Record,
    Store,
    StoreError,
    check_generations,
    encode_frame,
    read_log,
)
from tests.plans.disk import CrashError, Disk


def committed_records(store: Store) -> list[Record]:
    return [r for r in store.records if r.get("kind") != "whole"]


def test_commits_survive_and_what_was_not_committed_is_gone() -> None:
    disk = Disk()
    store = Store(disk)
    store.add({"n": 1})
    store.add({"n": 2})
    store.commit()
    store.add({"n": 3})
    assert committed_records(Store(disk)) == [{"n": 1}, {"n": 2}]


@settings(deadline=None, max_examples=300)
@given(st.integers(0, 60), st.integers(0, 2**32), st.lists(st.integers(1, 4), max_size=8), st.integers(0, 8))
def test_at_whatever_operation_it_dies_what_was_acknowledged_is_there(
    left: int, seed: int, groups: list[int], compact_after: int
) -> None:
    """Commits are complete or absent and in order; no acknowledged one is missing, and at most one more is present."""
    rng, disk, acknowledged, sent = Random(seed), Disk(), list[Record](), list[list[Record]]()
    starts = 0
    while starts < 3:
        disk.operations_left = left + starts
        try:
            store = Store(disk)
            state = committed_records(store)
            assert state[: len(acknowledged)] == acknowledged
            extra = state[len(acknowledged) :]
            assert not extra or extra == sent[-1]
            acknowledged = state
            for number, size in enumerate(groups):
                sent.append([{"n": len(acknowledged) + k, "life": starts} for k in range(size)])
                for record in sent[-1]:
                    store.add(record)
                store.commit()
                acknowledged = acknowledged + sent[-1]
                if number == compact_after:
                    store.compact(acknowledged)
        except CrashError:
            pass
        disk = disk.after_crash(rng)
        starts += 1
    assert committed_records(Store(disk))[: len(acknowledged)] == acknowledged


def test_a_full_disk_takes_nothing_and_loses_nothing() -> None:
    disk = Disk()
    store = Store(disk)
    store.add({"n": 1})
    store.commit()
    disk.free_bytes = 10
    store.add({"n": 2, "text": "x" * 50})
    with pytest.raises(OSError, match="no space"):
        store.commit()
    with pytest.raises(OSError, match="takes nothing more"):
        store.commit()
    assert committed_records(Store(disk)) == [{"n": 1}]


def test_damage_in_the_middle_is_told_and_nothing_is_cut() -> None:
    disk = Disk()
    store = Store(disk)
    for n in range(4):
        store.add({"n": n})
        store.commit()
    (name,) = disk.names()
    data = bytearray(disk.read(name))
    at = bytes(data).index(b'{"n":1}')
    data[at + 5] ^= 1
    disk._files[name].content = data
    with pytest.raises(StoreError, match=rf"{name}: damaged at byte \d+, with 2 good records"):
        Store(disk)
    (found,) = check_generations(disk)
    assert found.damaged_at is not None and found.saved == 2 and not found.good and "DAMAGED" in str(found)
    assert disk.read(name) == bytes(data)


def test_a_torn_tail_is_cut_and_told() -> None:
    disk = Disk()
    Store(disk)
    (name,) = disk.names()
    whole = len(disk.read(name))
    disk._files[name].content += encode_frame([{"n": 1}])[:-1]
    (found,) = check_generations(disk)
    assert found.torn == len(encode_frame([{"n": 1}])) - 1 and found.good
    Store(disk)
    assert len(disk.read(name)) == whole


@given(st.binary(max_size=200))
def test_whatever_bytes_are_read_without_an_error(data: bytes) -> None:
    seen = read_log(FILE_HEADER + data)
    assert (seen.end <= seen.size and read_log(data).records == ()) or data.startswith(FILE_HEADER)


def test_one_writer_at_a_time(tmp_path: Path) -> None:
    folder = DiskFolder(str(tmp_path))
    with pytest.raises(OSError, match="one writer at a time"):
        DiskFolder(str(tmp_path))
    store = Store(folder)
    store.add({"n": 1})
    store.commit()
    store.compact([{"n": 1}])
    store.close()
    folder.close()
    assert committed_records(Store(DiskFolder(str(tmp_path)))) == [{"n": 1}]


TERMS = (Terms(1, 4, 2, 8), Terms(3, 12, 5, 24))


class Model:
    """The states that a start may show: everything acknowledged, with or without the operation in progress."""

    def __init__(self) -> None:
        self.books, self.epoch = {PlanWriter(Store(Disk()), "vadodara").book.digest()}, 0
        self.reserved = dict[str, set[ReservationState | None]]()

    def check(self, plan_writer: PlanWriter) -> None:
        assert plan_writer.epoch > self.epoch and plan_writer.book.digest() in self.books
        for key, states in self.reserved.items():
            found = plan_writer.reservations.by_key.get(key)
            assert (found.state if found is not None else None) in states
        self.acknowledge(plan_writer)

    def acknowledge(self, plan_writer: PlanWriter) -> None:
        self.epoch, self.books = plan_writer.epoch, {plan_writer.book.digest()}
        self.reserved = {key: {one.state} for key, one in plan_writer.reservations.by_key.items()}


def digest_after(plan_writer: PlanWriter, disk: Disk, operation: Callable[[PlanWriter], object]) -> str:
    """Returns the book's digest after an operation, which is applied to a copy."""
    copied_disk = Disk()
    for name in disk.names():
        copied_disk.append(name).write(disk.read(name))
    copied_writer = PlanWriter(Store(copied_disk), new_epoch=False)
    copied_writer.epoch = plan_writer.epoch
    operation(copied_writer)
    return copied_writer.book.digest()


def apply_step(plan_writer: PlanWriter, disk: Disk, model: Model, step: int, number: int, now: int) -> None:
    """Applies one operation of an operator, after adding its possible results to the model."""
    operation: Callable[[PlanWriter], object] | None = None
    if step == 0 or "p" not in plan_writer.book.plans:
        operation = lambda w: w.set_terms("p", TERMS[number % 2], now, now, "m")  # noqa: E731
    elif step == 1:
        operation = lambda w: w.assign_plan("hotel", "p", now, now, "m")  # noqa: E731
    elif step == 2 and plan_writer.book.assignment_at("hotel", now) is not None:
        wish = ReservationRequest(f"ev{now}", "hotel", now + 50, now + 60, 1)
        model.reserved[wish.key] = {None, ReservationState.HELD, ReservationState.REFUSED}
        operation = lambda w: w.reserve(wish, now, 1e6 if number % 2 else 1e-9)  # noqa: E731
    elif model.reserved and step == 3:
        key = max(model.reserved)
        model.reserved[key].add(ReservationState.RELEASED)
        operation = lambda w: w.release(key, now)  # noqa: E731
    elif step == 4:
        plan_writer.compact()
    if operation is not None:
        try:
            model.books.add(digest_after(plan_writer, disk, operation))
        except BookError:
            model.acknowledge(plan_writer)
            return  # refused by the copy, and so by the writer
        operation(plan_writer)
    model.acknowledge(plan_writer)


@settings(deadline=None, max_examples=300)
@given(st.integers(0, 40), st.integers(0, 2**32), st.lists(st.integers(0, 4), min_size=1, max_size=12))
def test_an_office_that_dies_at_any_write_is_as_it_was_acknowledged(
    left: int, seed: int, steps: list[int]
) -> None:
    """No change is lost or partial, no reservation is made or given back twice, and epochs only grow."""
    rng, disk, model, now = Random(seed), Disk(), Model(), 1000
    for start in range(4):
        disk.operations_left = None if start == 3 else left + start
        try:
            plan_writer = PlanWriter(Store(disk), "vadodara")
            model.check(plan_writer)
            for number, step in enumerate(steps):
                now += 10
                apply_step(plan_writer, disk, model, step, number, now)
        except CrashError:
            pass
        disk = disk.after_crash(rng)


def test_a_store_of_another_installation_is_refused() -> None:
    disk = Disk()
    PlanWriter(Store(disk), "vadodara")
    with pytest.raises(StoreError, match="of 'vadodara'; expected 'semien'"):
        PlanWriter(Store(disk), "semien")
    with pytest.raises(StoreError, match="installation"):
        PlanWriter(Store(Disk()))


def test_what_is_refused_changes_nothing() -> None:
    disk = Disk()
    plan_writer = PlanWriter(Store(disk), "vadodara")
    plan_writer.set_terms("p", TERMS[0], 1000, 1000, "m")
    before, digest = disk.read(disk.names()[0]), plan_writer.book.digest()
    for bad in (Terms(float("inf"), 1), Terms(1, 1, 0.5, 1)):
        with pytest.raises(BookError):
            plan_writer.set_terms("p", bad, 2000, 1000, "m")
    with pytest.raises(BookError, match="has no plan"):
        plan_writer.reserve(ReservationRequest("k", "inn", 2000, 3000, 1), 1000, 1e6)
    assert disk.read(disk.names()[0]) == before and plan_writer.book.digest() == digest


def test_a_full_disk_refuses_a_reservation_and_a_release_whole() -> None:
    disk = Disk()
    plan_writer = PlanWriter(Store(disk), "vadodara")
    plan_writer.set_terms("p", TERMS[0], 1000, 1000, "m")
    plan_writer.assign_plan("hotel", "p", 1000, 1000, "m")
    plan_writer.reserve(ReservationRequest("a", "hotel", 2000, 3000, 1), 1000, 1e6)
    disk.free_bytes = 3
    with pytest.raises(OSError):
        plan_writer.release("a", 1000)
    assert plan_writer.reservations.by_key["a"].state is ReservationState.HELD
    with pytest.raises(OSError):
        plan_writer.reserve(ReservationRequest("b", "hotel", 4000, 5000, 1), 1000, 1e6)
    assert "b" not in plan_writer.reservations.by_key
    found = PlanWriter(Store(disk.after_crash(Random(1))), "vadodara")
    assert (
        found.reservations.by_key["a"].state is ReservationState.HELD and "b" not in found.reservations.by_key
    )
