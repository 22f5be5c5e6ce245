"""A limiter that applies a plan book: effective instants, levels across changes, usage by version, and the exporter."""

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
T0 = 100_000  # milliseconds; the time at which the clock of ``World`` starts


class LimiterSetup:
    """One of three gateways, wrapped by the decisions of a plan book."""

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

    def send_burst(self, first: int, count: int, plan: str = "small", kind: str = "read") -> int:
        """Sends ``count`` requests at once and answers all; returns how many were admitted."""
        for id in range(first, first + count):
            self.world.feed(w.request(id, kind, plan, "hotel"))
            self.world.serve()
        return sum(self.world.answered.get(id) == "served" for id in range(first, first + count))

    def ceiling_level(self, plan: str) -> float:
        return self.gateway.quotas.accounts[plan, "hotel"].ceiling_level


def version(plan: str, seq: int, terms: Terms, at: int = 0) -> Version:
    return Version(plan, at, Stamp(1, seq), terms)


def assigned(plan: str, seq: int, at: int = 0) -> Assignment:
    return Assignment("hotel", at, Stamp(1, seq), plan)


def test_terms_hold_from_their_instant_on_and_the_request_at_it_is_bound_by_them() -> None:
    setup = LimiterSetup(version("p", 1, LARGE), version("p", 2, SMALL, T0 + 5000), assigned("p", 3))
    setup.send_burst(0, 1)
    assert setup.gateway.quotas.accounts["p", "hotel"].plan.ceiling_burst == 60.0
    setup.world.advance(104.999)
    setup.send_burst(1, 1)
    assert setup.gateway.quotas.accounts["p", "hotel"].plan.ceiling_burst == 60.0
    setup.world.advance(105.0)
    setup.send_burst(2, 1)
    assert setup.gateway.quotas.accounts["p", "hotel"].plan.ceiling_burst == 12.0
    assert ("small", "hotel") not in setup.gateway.quotas.accounts


def test_without_a_book_the_settings_hold() -> None:
    setup = LimiterSetup()
    assert setup.send_burst(0, 1) == 1 and ("small", "hotel") in setup.gateway.quotas.accounts
    setup.world.feed(
        api.SettingsChanged(replace(setup.config, plans=(api.Plan("small", rate=9.0, burst=9.0),)))
    )
    setup.send_burst(1, 1)
    assert setup.gateway.quotas.accounts["small", "hotel"].plan.rate == 9.0


def test_other_settings_in_service_keep_the_book_s_terms() -> None:
    setup = LimiterSetup(version("small", 1, LARGE))
    setup.send_burst(0, 1)
    setup.world.feed(api.SettingsChanged(replace(setup.config, max_attempts=2)))
    setup.send_burst(1, 1)
    assert setup.gateway.quotas.accounts["small", "hotel"].plan.rate == 10.0


def test_a_downgrade_while_above_the_new_ceiling_keeps_nothing_above_it_and_forgives_nothing() -> None:
    setup = LimiterSetup(
        version("l", 1, LARGE), version("s", 2, SMALL), assigned("l", 3), assigned("s", 4, T0 + 30_000)
    )
    setup.world.advance(129.0)
    setup.send_burst(0, 1)
    assert setup.ceiling_level("l") > 4.0
    setup.world.advance(130.0)
    setup.send_burst(1, 1)
    assert (
        setup.ceiling_level("s") <= 12.0 / 3 - 1 + 1e-9
        and ("l", "hotel") not in setup.gateway.quotas.accounts
    )


def test_up_and_down_again_gives_no_store_back() -> None:
    """An empty bucket is moved up and down within a second: it gains only what refilled in between."""
    moves = (assigned("s", 3), assigned("l", 4, T0 + 30_400), assigned("s", 5, T0 + 30_800))
    setup = LimiterSetup(version("l", 1, LARGE), version("s", 2, SMALL), *moves)
    setup.world.advance(130.0)
    setup.send_burst(0, 10)
    used = setup.ceiling_level("s")
    assert used < 1
    setup.world.advance(130.4)
    setup.send_burst(10, 3)
    setup.world.advance(130.8)
    setup.send_burst(20, 3)
    assert setup.ceiling_level("s") <= used + 0.4 * 2.0 / 3 + 0.4 * 10.0 / 3 + 1e-6


def test_an_account_that_moves_as_its_plan_begins_refills_by_the_new_terms() -> None:
    """Guards against a refill by the old plan's rate that goes on until the account's next request."""
    begins, large, small = T0 + 30_000, Terms(100.0, 100.0, 10.0, 60.0), Terms(100.0, 100.0, 2.0, 12.0)
    setup = LimiterSetup(
        version("l", 1, large), assigned("l", 2), version("s", 3, small, begins), assigned("s", 4, begins)
    )
    setup.world.advance(129.9)
    setup.send_burst(0, 60)
    left = setup.ceiling_level("l")
    assert left < 1
    setup.world.advance(130.5)
    setup.send_burst(100, 1)
    before, after = 0.1 * large.ceiling_rate / 3, 0.5 * small.ceiling_rate / 3
    assert setup.ceiling_level("s") <= left + before + after + 1e-6


def test_a_change_of_terms_after_a_move_does_not_hide_the_move() -> None:
    """Guards against a refill by the plan that an account has left: other terms changed before its next request."""
    large, small = Terms(100.0, 100.0, 30.0, 60.0), Terms(100.0, 100.0, 3.0, 60.0)
    setup = LimiterSetup(
        version("l", 1, large), version("s", 2, small), assigned("l", 3), assigned("s", 4, T0 + 30_000)
    )
    setup.world.advance(129.9)
    setup.send_burst(0, 60)
    left = setup.ceiling_level("l")
    setup.world.advance(130.6)
    setup.follower.receive_change(1, version("other", 5, small, T0 + 30_600))
    setup.world.feed(w.servers("s0"))
    setup.world.advance(131.0)
    setup.send_burst(100, 1)
    assert setup.ceiling_level("s") <= left + 0.1 * 10.0 + 1.0 * 1.0 + 1e-6


def test_when_the_lease_is_over_the_lowest_ceiling_holds() -> None:
    setup = LimiterSetup(version("l", 1, LARGE), version("s", 2, SMALL), assigned("l", 3), lease=5200)
    setup.send_burst(0, 1)
    assert setup.gateway.quotas.accounts["l", "hotel"].plan.ceiling_burst == 60.0
    setup.world.advance(105.0)
    setup.send_burst(1, 1)
    plan = setup.gateway.quotas.accounts["l", "hotel"].plan
    assert (plan.ceiling_rate, plan.ceiling_burst) == (2.0, 12.0)
    setup.follower.receive_heartbeat(1, Stamp(1, 3), 106_000, 10_000)
    setup.send_burst(2, 1)
    assert setup.gateway.quotas.accounts["l", "hotel"].plan.ceiling_burst == 60.0


def test_a_change_heard_of_binds_with_the_next_request() -> None:
    setup = LimiterSetup(version("l", 1, LARGE), version("s", 2, SMALL), assigned("l", 3))
    setup.send_burst(0, 1)
    setup.follower.receive_change(1, assigned("s", 4, T0 + 100))
    setup.world.advance(100.2)
    setup.send_burst(1, 1)
    assert ("s", "hotel") in setup.gateway.quotas.accounts


def test_use_is_counted_once_for_each_try_that_may_have_run_under_its_version() -> None:
    setup = LimiterSetup(version("p", 1, LARGE), assigned("p", 2), version("p", 3, SMALL, T0 + 11_000))
    period = 0  # all requests are in the first hour
    setup.world.advance(110.5)
    setup.world.feed(w.request(1, "read", "small", "hotel", units=2.0))
    setup.world.advance(111.0)
    setup.world.feed(w.request(2, "read", "small", "hotel"))
    ((first, (server, _)),) = [(key, out) for key, out in setup.world.open_attempts.items() if key[0] == 1]
    setup.world.feed(w.outcome(*first, server, api.Status.ERROR))  # it may have run: counted and retried
    setup.world.serve()
    old, new = UsageKey("hotel", "p", Stamp(1, 1), period), UsageKey("hotel", "p", Stamp(1, 3), period)
    (record,) = setup.usage_recorder.cut_records()
    assert dict(record.rows) == {old: 2 * MICRO_PER_UNIT, new: MICRO_PER_UNIT}
    # No state is left of a request that ran twice.
    assert not setup.decisions._uncounted and not setup.decisions._open_attempts


def test_what_never_ran_or_was_refused_is_not_counted() -> None:
    setup = LimiterSetup(version("p", 1, LARGE), assigned("p", 2))
    setup.world.advance(110.0)
    setup.world.feed(w.request(1, "post", "small", "hotel"))
    assert setup.world.open_attempts
    while setup.world.open_attempts:
        setup.world.serve(api.Status.UNREACHABLE)
    setup.world.feed(w.request(2, "read", "small", "hotel", units=1000.0))
    assert (
        not setup.usage_recorder.cut_records()
        and not setup.decisions._uncounted
        and not setup.decisions._open_attempts
    )


def test_a_try_whose_client_left_while_it_was_out_may_have_run() -> None:
    setup = LimiterSetup(version("p", 1, LARGE), assigned("p", 2))
    setup.world.advance(110.0)
    setup.world.feed(w.request(3, "read", "small", "hotel"))
    assert setup.world.open_attempts
    setup.world.feed(api.ClientDisconnected(3))
    assert (
        setup.usage_recorder.pending_units == MICRO_PER_UNIT
        and not setup.decisions._uncounted
        and not setup.decisions._open_attempts
    )


def test_true_units_take_the_place_of_the_guess() -> None:
    setup = LimiterSetup(version("p", 1, LARGE), assigned("p", 2))
    setup.world.advance(110.0)
    setup.world.feed(w.request(1, "read", "small", "hotel", units=2.0))
    ((key, (server, _)),) = setup.world.open_attempts.items()
    setup.world.feed(api.Outcome(*key, server, api.Status.OK, 0.1, True, {}, None, 3))
    assert setup.usage_recorder.pending_units == 3 * MICRO_PER_UNIT


def test_the_open_table_does_not_grow() -> None:
    setup = LimiterSetup(version("p", 1, LARGE), assigned("p", 2))
    for id in range(500):
        setup.world.advance(setup.world.now + 0.01)
        setup.world.feed(w.request(id, "read", "small", "hotel"))
        setup.world.serve((api.Status.OK, api.Status.BROKEN, api.Status.UNREACHABLE)[id % 3])
    setup.world.advance(setup.world.now + 5)
    assert (
        len(setup.decisions._uncounted)
        == len(setup.decisions._open_attempts)
        == len(setup.gateway._requests)
        == 0
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
        assert len(usage_recorder.cut_records()) == 1
        # Killed before it received the acknowledgement.
        monkeypatch.setattr(usage_recorder, "acknowledge", lambda epoch, seq: False)
        await exporter.flush()
        monkeypatch.undo()
        await exporter.flush()
        assert not usage_recorder.unacknowledged and sum(plan_writer.usage_ledger.totals.values()) == 5
        plan_writer.compact()
        await publisher.close()
        restarted = PlanWriter(Store(disk), "vadodara")
        assert restarted.usage_ledger.totals == plan_writer.usage_ledger.totals
        usage_recorder.add_usage(UsageKey("hotel", "p", Stamp(1, 1), 0), 6)
        (record,) = usage_recorder.cut_records()
        assert (
            not restarted.accept_usage(replace(record, seq=1))
            and len(restarted.usage_ledger.quarantined) == 1
        )
        assert (
            restarted.accept_usage(record)
            and restarted.accept_usage(record)
            and sum(restarted.usage_ledger.totals.values()) == 11
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
        await plans.close()  # the writer is gone: logged, and closed all the same
        assert len(plans.usage_recorder.unacknowledged) == 1

    asyncio.run(run())


def test_no_token_is_no_start() -> None:
    with pytest.raises(ValueError, match="FAWNSEAM_PLANS_TOKEN"):
        PlanBookClient(("127.0.0.1", 1), "", "vadodara", "n1", lambda: 0.0)
