"""Use exported once and only once: crashes between cutting, storing, telling and hearing the acknowledgement."""

from __future__ import annotations

import json
from random import Random
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cypresspulley.plans.book import Stamp
from cypresspulley.plans.use import Gatherer, Intake, Key, Record, UseError, record_from

HOTEL = Key("hotel", "p", Stamp(1, 1), 7)
AFTER = Key("hotel", "p", Stamp(1, 2), 7)  # the version after a change


def test_use_is_attributed_to_the_version_it_was_admitted_under() -> None:
    gatherer, intake = Gatherer("n1", 1), Intake()
    gatherer.used(HOTEL, 5)
    gatherer.used(AFTER, 2)
    gatherer.used(HOTEL, -1)  # it truly cost less
    record = gatherer.cut()
    assert record is not None and intake.take(record) and gatherer.cut() is None
    assert intake.totals == {HOTEL: 4, AFTER: 2}


def test_a_record_is_taken_once_and_acknowledged_each_time() -> None:
    record = Record("n1", 1, 1, ((HOTEL, 5),))
    intake = Intake()
    assert intake.take(record) and intake.take(record) and intake.totals == {HOTEL: 5}
    assert not intake.take(Record("n1", 1, 1, ((HOTEL, 6),)))
    assert len(intake.quarantined) == 1 and intake.totals == {HOTEL: 5}
    assert intake.take(Record("n1", 1, 4, ())) and intake.gaps("n1", 1) == [2, 3]


def test_tables_are_bounded_and_what_is_lost_is_said(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("cypresspulley.plans.use.MOST_ROWS", 3)
    monkeypatch.setattr("cypresspulley.plans.use.MOST_WAITING", 2)
    monkeypatch.setattr("cypresspulley.plans.use.MOST_RECORDS", 1)
    gatherer = Gatherer("n1", 1)
    for n in range(5):
        gatherer.used(Key(f"a{n}", "p", Stamp(1, 1), 0), 2)
    assert gatherer.lost == 4 and gatherer.gathered == 6
    assert gatherer.cut() is not None
    gatherer.used(HOTEL, 1)
    assert gatherer.cut() is not None
    gatherer.used(HOTEL, 1)
    assert gatherer.cut() is None and gatherer.gathered == 1  # held until one is acknowledged
    assert gatherer.acknowledged(1, 1) and not gatherer.acknowledged(1, 1)
    assert gatherer.cut() is not None
    intake = Intake()
    assert intake.take(Record("n1", 1, 1, ()))
    with pytest.raises(UseError, match="at most 1"):
        intake.take(Record("n1", 1, 2, ()))


class Disk:
    """A writer's records on a lasting disk: what was stored and what was struck out."""

    def __init__(self) -> None:
        self.epoch, self.kept = 0, dict[tuple[int, int], dict[str, Any]]()

    def start(self, writer: str) -> Gatherer:
        self.epoch += 1
        gatherer = Gatherer(writer, self.epoch)
        for raw in self.kept.values():
            gatherer.resume(record_from(json.loads(json.dumps(raw))))
        return gatherer


@settings(max_examples=300)
@given(st.integers(0, 2**32), st.lists(st.integers(0, 5), max_size=60))
def test_exported_use_sums_exactly_but_for_what_a_crash_caught_before_it_was_cut(
    seed: int, steps: list[int]
) -> None:
    rng, disk, intake = Random(seed), Disk(), Intake()
    gatherer = disk.start("n1")
    counted = lost = 0
    for step in steps:
        if step <= 1:
            units = rng.randint(1, 9)
            counted += units
            gatherer.used(rng.choice((HOTEL, AFTER)), units)
        elif step == 2 and (record := gatherer.cut()) is not None:
            disk.kept[record.epoch, record.seq] = record.as_json()
        elif step == 3 and gatherer.waiting:  # told, and the acknowledgement may be lost
            record = rng.choice(list(gatherer.waiting.values()))
            assert intake.take(record)
            if rng.random() < 0.5 and gatherer.acknowledged(record.epoch, record.seq):
                del disk.kept[record.epoch, record.seq]
        elif step == 4:  # killed
            lost += gatherer.gathered
            gatherer = disk.start("n1")
        elif step == 5 and (cut := gatherer.cut()) is not None:  # killed between cutting and storing
            lost += sum(units for _, units in cut.rows) + gatherer.gathered
            gatherer = disk.start("n1")
    lost += gatherer.gathered
    for record in list(gatherer.waiting.values()):
        assert intake.take(record)
    assert sum(intake.totals.values()) == counted - lost and not intake.quarantined


GOOD = Record("n1", 1, 1, ((HOTEL, 5),)).as_json()


@pytest.mark.parametrize(
    ("change", "said"),
    [
        ({"kind": "x"}, "record.kind"),
        ({"format": 2}, "record.format: expected 1"),
        ({"writer": ""}, "record.writer"),
        ({"epoch": True}, "record.epoch"),
        ({"seq": -1}, "record.seq"),
        ({"rows": 3}, "record.rows"),
        ({"rows": [["hotel", "p", 1, 1, 7, 0.5]]}, "record.rows.0"),
        ({"rows": [["hotel", "p", 1, 1, 7]]}, "record.rows.0"),
        ({"rows": [["hotel", 1, 1, 1, 7, 5]]}, "record.rows.0"),
    ],
)
def test_bad_records_are_named(change: dict[str, Any], said: str) -> None:
    assert record_from(GOOD).as_json() == GOOD
    with pytest.raises(UseError, match=said.replace(".", r"\.")):
        record_from({**GOOD, **change})


def test_a_later_life_takes_only_what_earlier_ones_left() -> None:
    with pytest.raises(UseError, match="an epoch before 2"):
        Gatherer("n1", 2).resume(Record("n1", 2, 1, ()))
    with pytest.raises(UseError, match="expected n1"):
        Gatherer("n1", 2).resume(Record("n2", 1, 1, ()))
