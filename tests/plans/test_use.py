"""Usage is exported exactly once, with crashes between cutting, storing, sending and receiving the acknowledgement."""

from __future__ import annotations

import json
from random import Random
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cypresspulley.plans.book import Stamp
from cypresspulley.plans.usage import (
    UsageError,
    UsageKey,
    UsageLedger,
    UsageRecord,
    UsageRecorder,
    parse_usage_record,
)

HOTEL = UsageKey("hotel", "p", Stamp(1, 1), 7)
AFTER = UsageKey("hotel", "p", Stamp(1, 2), 7)  # the version after a change


def test_use_is_attributed_to_the_version_it_was_admitted_under() -> None:
    usage_recorder, usage_ledger = UsageRecorder("n1", 1), UsageLedger()
    usage_recorder.add_usage(HOTEL, 5)
    usage_recorder.add_usage(AFTER, 2)
    usage_recorder.add_usage(HOTEL, -1)  # the actual cost was lower
    (record,) = usage_recorder.cut_records()
    assert usage_ledger.accept(record) and not usage_recorder.cut_records()
    assert usage_ledger.totals == {HOTEL: 4, AFTER: 2}


def test_a_record_is_taken_once_and_acknowledged_each_time() -> None:
    record = UsageRecord("n1", 1, 1, ((HOTEL, 5),))
    usage_ledger = UsageLedger()
    assert usage_ledger.accept(record) and usage_ledger.accept(record) and usage_ledger.totals == {HOTEL: 5}
    assert not usage_ledger.accept(UsageRecord("n1", 1, 1, ((HOTEL, 6),)))
    assert len(usage_ledger.quarantined) == 1 and usage_ledger.totals == {HOTEL: 5}
    assert usage_ledger.accept(UsageRecord("n1", 1, 4, ())) and usage_ledger.missing_numbers("n1", 1) == [
        2,
        3,
    ]


def test_tables_are_bounded_and_what_is_lost_is_said(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("cypresspulley.plans.usage.MAX_ROWS", 3)
    monkeypatch.setattr("cypresspulley.plans.usage.MAX_UNACKNOWLEDGED_RECORDS", 2)
    monkeypatch.setattr("cypresspulley.plans.usage.MAX_RECORDS_PER_EPOCH", 1)
    usage_recorder = UsageRecorder("n1", 1)
    for n in range(5):
        usage_recorder.add_usage(UsageKey(f"a{n}", "p", Stamp(1, 1), 0), 2)
    assert usage_recorder.dropped_units == 4 and usage_recorder.pending_units == 6
    assert len(usage_recorder.cut_records()) == 1
    usage_recorder.add_usage(HOTEL, 1)
    assert len(usage_recorder.cut_records()) == 1
    usage_recorder.add_usage(HOTEL, 1)
    # Kept until a record is acknowledged.
    assert not usage_recorder.cut_records() and usage_recorder.pending_units == 1
    assert usage_recorder.acknowledge(1, 1) and not usage_recorder.acknowledge(1, 1)
    assert len(usage_recorder.cut_records()) == 1
    usage_ledger = UsageLedger()
    assert usage_ledger.accept(UsageRecord("n1", 1, 1, ()))
    with pytest.raises(UsageError, match="at most 1"):
        usage_ledger.accept(UsageRecord("n1", 1, 2, ()))


class RecordDisk:
    """The stored, unacknowledged records of a writer on a persistent disk."""

    def __init__(self) -> None:
        self.epoch, self.stored = 0, dict[tuple[int, int], dict[str, Any]]()

    def start(self, writer: str) -> UsageRecorder:
        self.epoch += 1
        usage_recorder = UsageRecorder(writer, self.epoch)
        for raw in self.stored.values():
            usage_recorder.restore_record(parse_usage_record(json.loads(json.dumps(raw))))
        return usage_recorder


@settings(max_examples=300)
@given(st.integers(0, 2**32), st.lists(st.integers(0, 5), max_size=60))
def test_exported_use_sums_exactly_but_for_what_a_crash_caught_before_it_was_cut(
    seed: int, steps: list[int]
) -> None:
    rng, disk, usage_ledger = Random(seed), RecordDisk(), UsageLedger()
    usage_recorder = disk.start("n1")
    counted = lost = 0
    for step in steps:
        if step <= 1:
            units = rng.randint(1, 9)
            counted += units
            usage_recorder.add_usage(rng.choice((HOTEL, AFTER)), units)
        elif step == 2:
            disk.stored |= {(each.epoch, each.seq): each.as_json() for each in usage_recorder.cut_records()}
        elif step == 3 and usage_recorder.unacknowledged:  # sent; the acknowledgement may be lost
            record = rng.choice(list(usage_recorder.unacknowledged.values()))
            assert usage_ledger.accept(record)
            if rng.random() < 0.5 and usage_recorder.acknowledge(record.epoch, record.seq):
                del disk.stored[record.epoch, record.seq]
        elif step == 4:  # killed
            lost += usage_recorder.pending_units
            usage_recorder = disk.start("n1")
        # Step 5: killed between cutting and storing.
        elif step == 5 and (cut := usage_recorder.cut_records()):
            lost += sum(units for each in cut for _, units in each.rows) + usage_recorder.pending_units
            usage_recorder = disk.start("n1")
    lost += usage_recorder.pending_units
    for record in list(usage_recorder.unacknowledged.values()):
        assert usage_ledger.accept(record)
    assert sum(usage_ledger.totals.values()) == counted - lost and not usage_ledger.quarantined


GOOD = UsageRecord("n1", 1, 1, ((HOTEL, 5),)).as_json()


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
    assert parse_usage_record(GOOD).as_json() == GOOD
    with pytest.raises(UsageError, match=said.replace(".", r"\.")):
        parse_usage_record({**GOOD, **change})


def test_a_later_life_takes_only_what_earlier_ones_left() -> None:
    with pytest.raises(UsageError, match="an epoch before 2"):
        UsageRecorder("n1", 2).restore_record(UsageRecord("n1", 2, 1, ()))
    with pytest.raises(UsageError, match="expected n1"):
        UsageRecorder("n1", 2).restore_record(UsageRecord("n2", 1, 1, ()))
