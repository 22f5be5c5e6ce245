"""Accounts on plans that a new process doesn't know yet, because only the plan book does."""

from __future__ import annotations

from dataclasses import replace

import pytest

from cypresspulley import interface as api
from cypresspulley.policy import inherited
from cypresspulley.policy.account import Account
from cypresspulley.policy.gateway import Gateway
from cypresspulley.policy.inherited import MAX_WAIT_SECONDS
from cypresspulley.policy.store_share import RETAINED_PART
from cypresspulley.takeover import snapshot
from cypresspulley.takeover.snapshot import StateSplit
from tests import world as w
from tests.takeover.test_snapshot import CONFIG, PLAN, make_request, successor
from tests.takeover.test_terms_table import GOLD
from tests.takeover.two_processes import ACCOUNT, BASE_PLAN, MIDDLE, Limiter

RESERVED = replace(PLAN, name="capped+wedding")
BOOK = replace(CONFIG, plans=(*CONFIG.plans, RESERVED))  # what the settings and the book give together


def drawn_world(units: int = 8, plan: str = RESERVED.name) -> w.World:
    """Return a limiter that knows the book, was the first in its position, and drew so many of 12 units."""
    world = w.World(BOOK, 3)
    world.gateway.quotas.incarnation.resume(world.now, is_first=True)
    world.feed(w.servers("s0", "s1", "s2"))
    for id in range(units):
        world.feed(make_request(id, "read", plan, "hotel"))
        world.serve()
    assert len(world.sends) == units
    return world


def learn_book(gateway: Gateway, now: float) -> None:
    gateway.handle(now, api.SettingsChanged(BOOK))


def account_of(gateway: Gateway, now: float, plan: str = RESERVED.name) -> Account:
    return gateway.quotas.get_or_create_account(now, make_request(0, "read", plan, "hotel"))


def test_an_account_on_a_plan_of_the_book_keeps_its_store_over_an_upgrade() -> None:
    """Guards against a full ceiling after an upgrade: the account was dropped where its plan was unknown yet."""
    world = drawn_world()
    level = world.gateway.quotas.accounts[RESERVED.name, "hotel"].ceiling_level
    new = successor(world)
    learn_book(new, world.now)
    assert account_of(new, world.now).ceiling_level == pytest.approx((1 - RETAINED_PART) * level)
    StateSplit(world.gateway)
    retained = world.gateway.quotas.accounts[RESERVED.name, "hotel"].ceiling_level
    assert account_of(new, world.now).ceiling_level + retained == pytest.approx(level)


def test_until_the_plan_is_known_the_account_counts_as_drawn_under_any_other() -> None:
    """Guards against a full store under the settings' plan, which the request names while there is no book."""
    world = drawn_world()
    new = successor(world)
    substitute = account_of(new, world.now, "capped")
    assert (substitute.ceiling_level, substitute.level, substitute.share_level) == (0.0, 0.0, 0.0)
    substitute.fill_ceiling()
    assert substitute.ceiling_level == 0.0
    other = new.quotas.get_or_create_account(world.now, make_request(1, "read", "capped", "another"))
    assert other.ceiling_level == pytest.approx((1 - RETAINED_PART) * 12.0)


def test_what_was_drawn_meanwhile_is_drawn_from_the_account_that_waited() -> None:
    world = drawn_world()
    level = world.gateway.quotas.accounts[RESERVED.name, "hotel"].ceiling_level
    new = w.World(CONFIG, 9, world.now)
    snapshot.restore_snapshot(new.gateway, new.now, snapshot.take_snapshot(world.gateway))
    new.feed(w.servers("s0", "s1"))
    new.feed(make_request(50, "read", "capped", "hotel"))  # refused: nothing is left that is known of
    new.advance(new.now + 0.5)  # 2 units come
    new.feed(make_request(51, "read", "capped", "hotel"))
    new.serve()
    assert [asked.id for _, _, asked in new.sends] == [51]
    learn_book(new.gateway, new.now)
    account = account_of(new.gateway, new.now)
    # The refill of that time, 2 units, makes up for the unit, and gives nothing beyond it.
    assert account.ceiling_level == pytest.approx((1 - RETAINED_PART) * level)
    assert ("capped", "hotel") not in new.gateway.quotas.accounts


def test_a_process_in_between_that_never_saw_the_book_hands_the_account_on() -> None:
    """Guards against a third process that starts the account full."""
    world = drawn_world()
    level = world.gateway.quotas.accounts[RESERVED.name, "hotel"].ceiling_level
    between = w.World(CONFIG, 9, world.now)
    snapshot.restore_snapshot(between.gateway, between.now, snapshot.take_snapshot(world.gateway))
    account_of(between.gateway, between.now, "capped")
    third = successor(between)
    StateSplit(between.gateway)
    for gateway, part in (
        (third, (1 - RETAINED_PART) ** 2),
        (between.gateway, (1 - RETAINED_PART) * RETAINED_PART),
    ):
        learn_book(gateway, between.now)
        assert account_of(gateway, between.now).ceiling_level == pytest.approx(part * level)


@pytest.mark.parametrize("plan", [GOLD, BASE_PLAN], ids=["a plan of the book", "a plan of the settings"])
def test_a_book_that_comes_before_the_first_event_refills_nothing(plan: str) -> None:
    """Guards against a full ceiling after an upgrade: changes of before its time were applied at their instants."""
    limiter = Limiter()
    limiter.advance(20.0)
    limiter.version(plan, MIDDLE)
    limiter.assign(plan)
    limiter.tell_book(limiter.old)
    for _ in range(10):
        limiter.advance(1.0)
        limiter.ask(limiter.old, 20)
    left = limiter.units_here()
    new = limiter.offer(has_book=True)
    account = new.gateway.quotas.accounts[plan, ACCOUNT]
    account.refill(limiter.now)
    assert account.ceiling_level == pytest.approx((1 - RETAINED_PART) * left, abs=1e-3)


def test_a_plan_that_does_not_come_is_not_waited_for_for_ever() -> None:
    world = drawn_world()
    new = w.World(CONFIG, 9, world.now)
    snapshot.restore_snapshot(new.gateway, new.now, snapshot.take_snapshot(world.gateway))
    new.feed(w.servers("s0"))
    assert len(new.gateway.quotas.inherited) == 1
    new.advance(new.now + MAX_WAIT_SECONDS + 2.0)
    assert len(new.gateway.quotas.inherited) == 0
    learn_book(new.gateway, new.now)
    assert account_of(new.gateway, new.now).ceiling_level <= 2.0 * RESERVED.ceiling_rate, (
        "it may have been drawn on"
    )


def test_more_accounts_than_can_wait_count_as_drawn(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(inherited, "MAX_INHERITED_ACCOUNTS", 0)
    world = drawn_world()
    new = successor(world)
    learn_book(new, world.now)
    assert account_of(new, world.now).ceiling_level == 0.0


def test_accounts_that_a_snapshot_has_no_room_for_count_as_drawn(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a full ceiling for an account that was left out of the snapshot."""
    world = drawn_world(plan="capped")
    world.feed(make_request(60, "read", "capped", "late"))
    monkeypatch.setattr(snapshot, "MAX_ACCOUNTS", 1)
    new = successor(world)
    levels = [
        new.quotas.get_or_create_account(world.now, make_request(0, "read", "capped", name)).ceiling_level
        for name in ("late", "hotel")
    ]
    assert min(levels) == 0.0
