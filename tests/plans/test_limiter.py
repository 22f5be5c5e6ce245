"""A limiter that goes by a book: terms from their instants, levels over a change, use by version, and the whole way."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest

from cypresspulley import interface as api
from cypresspulley.plans import serve
from cypresspulley.plans.book import Assignment, Book, Change, Stamp, Terms, Version
from cypresspulley.plans.channel import WriterAddress
from cypresspulley.plans.export import UsageExporter
from cypresspulley.plans.follow import Follower
from cypresspulley.plans.limiter import PlanBookClient, PlanBookDecisions
from cypresspulley.plans.plan_writer import PlanWriter
from cypresspulley.plans.reservations import MICRO_PER_UNIT
from cypresspulley.plans.serve import Publisher
from cypresspulley.plans.store import Store
from cypresspulley.plans.usage import UsageKey, UsageRecorder
from cypresspulley.policy.gateway import Gateway
from tests import world as w
from tests.plans.disk import Disk

LARGE, SMALL = Terms(10.0, 20.0, 10.0, 60.0), Terms(2.0, 4.0, 2.0, 12.0)
BASE = (api.Plan("small", rate=1.0, burst=2.0, over_cost=0.5), api.Plan("free"))
T0 = 100_000  # milliseconds: where a world's clock begins


class Day:
    """One gateway of three behind a book."""

    def __init__(self, *changes: Change, lease: int = 10_000_000, now: float = 100.0) -> None:
        self.config = w.settings(plans=BASE, has_counter=False)
        self.world = w.World(self.config, now=now)
        self.book = Book("vadodara")
        for change in changes:
            self.book = self.book.with_change(change)
        self.follower, self.usage_recorder = Follower("vadodara"), UsageRecorder("n1", 1)
        self.follower.receive_book(1, self.book, T0, lease)
        gateway = self.world.gateway
        self.decisions = PlanBookDecisions(gateway, gateway, self.config, self.follower, self.usage_recorder)
        self.world.gateway = self.decisions  # type: ignore[assignment]
        self.gateway = gateway
        self.world.feed(w.servers("s0", "s1", "s2", "s3"))

    def burst(self, first: int, count: int, plan: str = "small", kind: str = "read") -> int:
        """So many tries at once, all answered; how many were let in."""
        for id in range(first, first + count):
            self.world.feed(w.request(id, kind, plan, "hotel"))
            self.world.serve()
        return sum(self.world.answered.get(id) == "served" for id in range(first, first + count))

    def ceiling(self, plan: str) -> float:
        return self.gateway.quotas.accounts[plan, "hotel"].ceiling_level


def version(plan: str, seq: int, terms: Terms, at: int = 0) -> Version:
    return Version(plan, at, Stamp(1, seq), terms)


def assigned(plan: str, seq: int, at: int = 0) -> Assignment:
    return Assignment("hotel", at, Stamp(1, seq), plan)


def test_terms_hold_from_their_instant_on_and_the_request_at_it_is_bound_by_them() -> None:
    day = Day(version("p", 1, LARGE), version("p", 2, SMALL, T0 + 5000), assigned("p", 3))
    day.burst(0, 1)
    assert day.gateway.quotas.accounts["p", "hotel"].plan.ceiling_burst == 60.0
    day.world.advance(104.999)
    day.burst(1, 1)
    assert day.gateway.quotas.accounts["p", "hotel"].plan.ceiling_burst == 60.0
    day.world.advance(105.0)
    day.burst(2, 1)
    assert day.gateway.quotas.accounts["p", "hotel"].plan.ceiling_burst == 12.0
    assert ("small", "hotel") not in day.gateway.quotas.accounts


def test_without_a_book_the_settings_hold() -> None:
    day = Day()
    assert day.burst(0, 1) == 1 and ("small", "hotel") in day.gateway.quotas.accounts
    day.world.feed(api.SettingsChanged(replace(day.config, plans=(api.Plan("small", rate=9.0, burst=9.0),))))
    day.burst(1, 1)
    assert day.gateway.quotas.accounts["small", "hotel"].plan.rate == 9.0


def test_other_settings_in_service_keep_the_book_s_terms() -> None:
    day = Day(version("small", 1, LARGE))
    day.burst(0, 1)
    day.world.feed(api.SettingsChanged(replace(day.config, max_attempts=2)))
    day.burst(1, 1)
    assert day.gateway.quotas.accounts["small", "hotel"].plan.rate == 10.0


def test_a_downgrade_while_above_the_new_ceiling_keeps_nothing_above_it_and_forgives_nothing() -> None:
    day = Day(version("l", 1, LARGE), version("s", 2, SMALL), assigned("l", 3), assigned("s", 4, T0 + 30_000))
    day.world.advance(129.0)
    day.burst(0, 1)
    assert day.ceiling("l") > 4.0
    day.world.advance(130.0)
    day.burst(1, 1)
    assert day.ceiling("s") <= 12.0 / 3 - 1 + 1e-9 and ("l", "hotel") not in day.gateway.quotas.accounts


def test_up_and_down_again_gives_no_store_back() -> None:
    """Drawn to the bottom, then up and down within a second: what was used stays used."""
    moves = (assigned("s", 3), assigned("l", 4, T0 + 30_400), assigned("s", 5, T0 + 30_800))
    day = Day(version("l", 1, LARGE), version("s", 2, SMALL), *moves)
    day.world.advance(130.0)
    day.burst(0, 10)
    used = day.ceiling("s")
    assert used < 1
    day.world.advance(130.4)
    day.burst(10, 3)
    day.world.advance(130.8)
    day.burst(20, 3)
    assert day.ceiling("s") <= used + 0.4 * 2.0 / 3 + 0.4 * 10.0 / 3 + 1e-6


def test_when_the_lease_is_over_the_lowest_ceiling_holds() -> None:
    day = Day(version("l", 1, LARGE), version("s", 2, SMALL), assigned("l", 3), lease=5200)
    day.burst(0, 1)
    assert day.gateway.quotas.accounts["l", "hotel"].plan.ceiling_burst == 60.0
    day.world.advance(105.0)
    day.burst(1, 1)
    plan = day.gateway.quotas.accounts["l", "hotel"].plan
    assert (plan.ceiling_rate, plan.ceiling_burst) == (2.0, 12.0)
    day.follower.receive_heartbeat(1, Stamp(1, 3), 106_000, 10_000)
    day.burst(2, 1)
    assert day.gateway.quotas.accounts["l", "hotel"].plan.ceiling_burst == 60.0


def test_a_change_heard_of_binds_with_the_next_request() -> None:
    day = Day(version("l", 1, LARGE), version("s", 2, SMALL), assigned("l", 3))
    day.burst(0, 1)
    day.follower.receive_change(1, assigned("s", 4, T0 + 100))
    day.world.advance(100.2)
    day.burst(1, 1)
    assert ("s", "hotel") in day.gateway.quotas.accounts


def test_use_is_counted_once_for_each_try_that_may_have_run_under_its_version() -> None:
    day = Day(version("p", 1, LARGE), assigned("p", 2), version("p", 3, SMALL, T0 + 11_000))
    period = 0  # all of it is in the first hour
    day.world.advance(110.5)
    day.world.feed(w.request(1, "read", "small", "hotel", units=2.0))
    day.world.advance(111.0)
    day.world.feed(w.request(2, "read", "small", "hotel"))
    ((first, (server, _)),) = [(key, out) for key, out in day.world.open_attempts.items() if key[0] == 1]
    day.world.feed(w.outcome(*first, server, api.Status.ERROR))  # it may have run: counted, and tried again
    day.world.serve()
    old, new = UsageKey("hotel", "p", Stamp(1, 1), period), UsageKey("hotel", "p", Stamp(1, 3), period)
    record = day.usage_recorder.cut_record()
    assert record is not None and dict(record.rows) == {old: 2 * MICRO_PER_UNIT, new: MICRO_PER_UNIT}
    assert (
        not day.decisions._uncounted and not day.decisions._open_attempts
    )  # nothing stays of a try that ran twice


def test_what_never_ran_or_was_refused_is_not_counted() -> None:
    day = Day(version("p", 1, LARGE), assigned("p", 2))
    day.world.advance(110.0)
    day.world.feed(w.request(1, "post", "small", "hotel"))
    assert day.world.open_attempts
    while day.world.open_attempts:
        day.world.serve(api.Status.UNREACHABLE)
    day.world.feed(w.request(2, "read", "small", "hotel", units=1000.0))
    assert (
        day.usage_recorder.cut_record() is None
        and not day.decisions._uncounted
        and not day.decisions._open_attempts
    )


def test_a_try_whose_client_left_while_it_was_out_may_have_run() -> None:
    day = Day(version("p", 1, LARGE), assigned("p", 2))
    day.world.advance(110.0)
    day.world.feed(w.request(3, "read", "small", "hotel"))
    assert day.world.open_attempts
    day.world.feed(api.ClientDisconnected(3))
    assert (
        day.usage_recorder.pending_units == MICRO_PER_UNIT
        and not day.decisions._uncounted
        and not day.decisions._open_attempts
    )


def test_true_units_take_the_place_of_the_guess() -> None:
    day = Day(version("p", 1, LARGE), assigned("p", 2))
    day.world.advance(110.0)
    day.world.feed(w.request(1, "read", "small", "hotel", units=2.0))
    ((key, (server, _)),) = day.world.open_attempts.items()
    day.world.feed(api.Outcome(*key, server, api.Status.OK, 0.1, True, {}, None, 3))
    assert day.usage_recorder.pending_units == 3 * MICRO_PER_UNIT


def test_the_open_table_does_not_grow() -> None:
    day = Day(version("p", 1, LARGE), assigned("p", 2))
    for id in range(500):
        day.world.advance(day.world.now + 0.01)
        day.world.feed(w.request(id, "read", "small", "hotel"))
        day.world.serve((api.Status.OK, api.Status.BROKEN, api.Status.UNREACHABLE)[id % 3])
    day.world.advance(day.world.now + 5)
    assert (
        len(day.decisions._uncounted) == len(day.decisions._open_attempts) == len(day.gateway._requests) == 0
    )


def test_use_reaches_the_writer_once_though_the_first_answer_is_lost(monkeypatch: pytest.MonkeyPatch) -> None:
    disk = Disk()

    async def run() -> None:
        plan_writer = PlanWriter(Store(disk), "vadodara")
        publisher = Publisher(plan_writer, "t")
        address = await publisher.listen("127.0.0.1", 0)
        usage_recorder = UsageRecorder("n1", 7)
        exporter = UsageExporter(WriterAddress(*address, "t"), usage_recorder)
        usage_recorder.add_usage(UsageKey("hotel", "p", Stamp(1, 1), 0), 5)
        assert usage_recorder.cut_record() is not None
        monkeypatch.setattr(
            usage_recorder, "acknowledge", lambda epoch, seq: False
        )  # killed before it heard of it
        await exporter.flush()
        monkeypatch.undo()
        await exporter.flush()
        assert not usage_recorder.unacknowledged and sum(plan_writer.usage_ledger.totals.values()) == 5
        plan_writer.compact()
        await publisher.close()
        again = PlanWriter(Store(disk), "vadodara")
        assert again.usage_ledger.totals == plan_writer.usage_ledger.totals
        usage_recorder.add_usage(UsageKey("hotel", "p", Stamp(1, 1), 0), 6)
        record = usage_recorder.cut_record()
        assert record is not None
        assert not again.accept_usage(replace(record, seq=1)) and len(again.usage_ledger.quarantined) == 1
        assert (
            again.accept_usage(record)
            and again.accept_usage(record)
            and sum(again.usage_ledger.totals.values()) == 11
        )

    asyncio.run(run())


def test_a_limiter_s_part_follows_and_exports_to_its_end() -> None:
    async def run() -> None:
        plan_writer = PlanWriter(Store(Disk()), "vadodara")
        publisher = Publisher(plan_writer, "t", heartbeat_s=0.05)
        address = await publisher.listen("127.0.0.1", 0)
        plans = PlanBookClient(address, "t", "vadodara", "n1", lambda: serve.unix_ms() / 1000)
        config = w.settings(plans=BASE)
        gateway = Gateway(config, 1, serve.unix_ms() / 1000)
        decisions = plans.wrap_decisions(gateway, gateway, config)
        plans.start()
        now = serve.unix_ms()
        plan_writer.set_terms("p", LARGE, now, now, "m")
        publisher.notify_followers()
        async with asyncio.timeout(10):
            while decisions.follower.book != plan_writer.book:
                await asyncio.sleep(0.005)
        plans.usage_recorder.add_usage(UsageKey("hotel", "p", Stamp(1, 1), 0), 9)
        await plans.close()
        assert sum(plan_writer.usage_ledger.totals.values()) == 9 and not plans.usage_recorder.unacknowledged
        await publisher.close()
        plans.usage_recorder.add_usage(UsageKey("hotel", "p", Stamp(1, 1), 0), 9)
        await plans.close()  # nobody is there: it is said, and ends all the same
        assert len(plans.usage_recorder.unacknowledged) == 1

    asyncio.run(run())


def test_no_token_is_no_start() -> None:
    with pytest.raises(ValueError, match="FAWNSEAM_PLANS_TOKEN"):
        PlanBookClient(("127.0.0.1", 1), "", "vadodara", "n1", lambda: 0.0)
