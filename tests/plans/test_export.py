"""Use that is exported late or in bulk: records by bytes, refused ones set aside, and what happens at the bounds."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable

import pytest

from cypresspulley.plans import serve, usage
from cypresspulley.plans.book import Stamp
from cypresspulley.plans.channel import WriterAddress
from cypresspulley.plans.export import UsageExporter
from cypresspulley.plans.plan_writer import PlanWriter
from cypresspulley.plans.serve import Publisher
from cypresspulley.plans.store import Store
from cypresspulley.plans.usage import UsageError, UsageKey, UsageRecord, UsageRecorder
from tests.plans.disk import Disk

TOKEN = "t0ken"
OLD_MAX_BODY_BYTES = 65_536  # of the writer in earlier versions
Scenario = Callable[[PlanWriter, UsageExporter, UsageRecorder], Awaitable[None]]


def usage_key(number: int) -> UsageKey:
    return UsageKey(f"{number:016x}", "standard", Stamp(1, 1), 490_000)


def with_exporter(scenario: Scenario) -> None:
    async def main() -> None:
        plan_writer, recorder = PlanWriter(Store(Disk()), "vadodara"), UsageRecorder("n0", 1)
        publisher = Publisher(plan_writer, TOKEN)
        address = await publisher.listen("127.0.0.1", 0)
        try:
            await scenario(plan_writer, UsageExporter(WriterAddress(*address, TOKEN), recorder), recorder)
        finally:
            await publisher.close()

    asyncio.run(main())


def exported_units(plan_writer: PlanWriter) -> int:
    return sum(plan_writer.usage_ledger.totals.values())


def test_use_of_many_accounts_is_exported_to_a_writer_of_any_version(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a record that the writer refuses for its size each second, with all later ones behind it."""
    monkeypatch.setattr(serve, "MAX_BODY_BYTES", OLD_MAX_BODY_BYTES)

    async def scenario(plan_writer: PlanWriter, exporter: UsageExporter, recorder: UsageRecorder) -> None:
        for number in range(usage.MAX_ROWS):
            recorder.add_usage(usage_key(number), 1 + number)
        recorder.cut_records()
        await exporter.flush()
        assert exported_units(plan_writer) == sum(range(1, usage.MAX_ROWS + 1))
        assert not recorder.unacknowledged and recorder.pending_units == 0

    with_exporter(scenario)


def test_the_largest_record_of_an_older_limiter_gets_through_as_it_is() -> None:
    async def scenario(plan_writer: PlanWriter, exporter: UsageExporter, recorder: UsageRecorder) -> None:
        rows = tuple((usage_key(number), 1) for number in range(usage.MAX_ROWS))
        recorder.unacknowledged[1, 1] = record = UsageRecord("n0", 1, 1, rows)
        assert len(json.dumps(record.as_json())) > OLD_MAX_BODY_BYTES
        await exporter.flush()
        assert exported_units(plan_writer) == usage.MAX_ROWS and not recorder.unacknowledged

    with_exporter(scenario)


def test_a_refused_record_is_kept_and_holds_up_none_behind_it(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    async def scenario(plan_writer: PlanWriter, exporter: UsageExporter, recorder: UsageRecorder) -> None:
        recorder.unacknowledged[1, 1] = UsageRecord(
            "n0", 1, 1, ((UsageKey("x" * 600, "p", Stamp(1, 1), 0), 1),)
        )
        recorder.unacknowledged[1, 2] = UsageRecord("n0", 1, 2, ((usage_key(2), 5),))
        monkeypatch.setattr(serve, "MAX_BODY_BYTES", 500)
        for _ in range(2):
            await exporter.flush()
            assert exported_units(plan_writer) == 5 and set(recorder.unacknowledged) == {(1, 1)}
        assert caplog.text.count("use record n0/1/1 was refused; it is kept") == 1
        monkeypatch.setattr(serve, "MAX_BODY_BYTES", 5000)
        monkeypatch.setattr(exporter, "_retry_at", {(1, 1): 0.0})  # the time for the next attempt has come
        await exporter.flush()
        assert exported_units(plan_writer) == 6 and not recorder.unacknowledged

    with_exporter(scenario)


def test_a_record_whose_number_has_other_content_is_not_sent_each_second() -> None:
    async def scenario(plan_writer: PlanWriter, exporter: UsageExporter, recorder: UsageRecorder) -> None:
        plan_writer.accept_usage(UsageRecord("n0", 1, 1, ((usage_key(1), 3),)))
        recorder.unacknowledged[1, 1] = UsageRecord("n0", 1, 1, ((usage_key(1), 4),))
        for _ in range(3):
            await exporter.flush()
        assert exported_units(plan_writer) == 3 and len(plan_writer.usage_ledger.quarantined) == 1
        assert (1, 1) in recorder.unacknowledged

    with_exporter(scenario)


def test_use_counted_while_the_writer_was_away_is_exported_when_it_is_back() -> None:
    async def main() -> None:
        plan_writer, recorder = PlanWriter(Store(Disk()), "vadodara"), UsageRecorder("n0", 1)
        first = Publisher(plan_writer, TOKEN)
        address = await first.listen("127.0.0.1", 0)
        await first.close()
        exporter = UsageExporter(WriterAddress(*address, TOKEN), recorder, interval_s=0.01)
        exporter.start()
        for number in range(4000):
            recorder.add_usage(usage_key(number), 7)
            if number % 100 == 0:
                await asyncio.sleep(0.001)
        second = Publisher(plan_writer, TOKEN)
        await second.listen(*address)
        async with asyncio.timeout(10):
            while exported_units(plan_writer) < 28_000:
                await asyncio.sleep(0.01)
        exporter.close()
        await second.close()
        assert exported_units(plan_writer) == 28_000

    asyncio.run(main())


def test_a_record_too_many_is_refused_before_it_is_stored(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a store that holds what was refused, and that cannot be opened because of it."""
    monkeypatch.setattr(usage, "MAX_RECORDS_PER_EPOCH", 2)
    disk = Disk()
    plan_writer = PlanWriter(Store(disk), "vadodara")
    for seq in (1, 2):
        assert plan_writer.accept_usage(UsageRecord("n0", 1, seq, ((usage_key(seq), 1),)))
    with pytest.raises(UsageError, match="at most 2"):
        plan_writer.accept_usage(UsageRecord("n0", 1, 3, ((usage_key(3), 1),)))
    assert exported_units(PlanWriter(Store(disk))) == 2
    plan_writer._commit(UsageRecord("n0", 1, 3, ((usage_key(3), 1),)).as_json())  # as earlier versions did
    assert exported_units(PlanWriter(Store(disk))) == 3


def test_a_limiter_goes_on_in_the_next_epoch_where_its_numbers_are_used_up(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against use that is refused for good from the millionth record on."""
    monkeypatch.setattr(usage, "MAX_RECORDS_PER_EPOCH", 2)

    async def scenario(plan_writer: PlanWriter, exporter: UsageExporter, recorder: UsageRecorder) -> None:
        for _ in range(5):
            recorder.add_usage(usage_key(1), 1)
            recorder.cut_records()
            await exporter.flush()
        assert exported_units(plan_writer) == 5 and recorder.epoch == 3

    with_exporter(scenario)


def test_use_that_is_dropped_is_logged_once_for_each_amount(caplog: pytest.LogCaptureFixture) -> None:
    async def main() -> None:
        recorder, rounds = UsageRecorder("n0", 1), asyncio.Semaphore(0)
        exporter = UsageExporter(WriterAddress("127.0.0.1", 1, TOKEN), recorder, interval_s=0.001)

        async def flush() -> None:
            rounds.release()

        exporter.flush = flush  # type: ignore[method-assign]
        recorder.dropped_units = 5
        exporter.start()
        for _ in range(3):
            await rounds.acquire()
        recorder.dropped_units = 9
        for _ in range(3):
            await rounds.acquire()
        exporter.close()

    asyncio.run(main())
    assert [text.count("micro-units were dropped") for text in caplog.messages] == [1, 1]
    assert "5 micro-units" in caplog.messages[0] and "9 micro-units" in caplog.messages[1]
