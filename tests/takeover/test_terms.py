"""Terms of plans that change while there are two processes of one limiter.

Whatever ends the upgrade, each process applies the terms then in force, and no store is given out twice.
"""

from __future__ import annotations

import asyncio
from dataclasses import replace
from pathlib import Path

import pytest

from cypresspulley import interface as api
from cypresspulley.policy.store_share import RETAINED_PART
from cypresspulley.takeover.snapshot import StateSplit
from tests import world as w
from tests.loopback import SETTINGS, Origin, ask, listening, read_message, run
from tests.takeover.test_handover import Process, accepting, until
from tests.takeover.test_snapshot import CONFIG, PLAN, make_request, make_world

HALVED = replace(PLAN, rate=PLAN.rate / 2, ceiling_rate=2.0, ceiling_burst=6.0)
FREE = api.Plan("free")


def change_plans(world: w.World, *plans: api.Plan) -> None:
    world.feed(api.SettingsChanged(replace(CONFIG, plans=plans)))


@pytest.mark.parametrize("whole", [True, False])
@pytest.mark.parametrize(
    "plans", [(PLAN, FREE, api.Plan("new", 1.0, 5.0, 5.0)), (HALVED, FREE), (FREE,)],
    ids=["a plan that nobody knew", "known terms halved", "a plan dropped"],
)  # fmt: skip
def test_a_failed_upgrade_leaves_the_terms_that_came_into_force_meanwhile(
    plans: tuple[api.Plan, ...], whole: bool
) -> None:
    """Guards against a split that remembers terms: KeyError at a new plan, terms of before at a known one."""
    world = make_world()
    split = StateSplit(world.gateway)
    change_plans(world, *plans)
    split.undo(whole, world.now)
    quotas, in_force = world.gateway.quotas, {plan.name: plan for plan in plans}
    assert quotas.plans.current == in_force
    assert quotas.accounts and all(
        a.plan == in_force.get(a.plan.name, PLAN) for a in quotas.accounts.values()
    )


@pytest.mark.parametrize("plan", [replace(PLAN, ceiling_rate=8.0), HALVED], ids=["raised", "halved"])
def test_a_process_that_hands_over_refills_nothing_by_new_terms(plan: api.Plan) -> None:
    """Guards against a change of terms that lets both processes refill the whole store."""
    world = make_world()
    StateSplit(world.gateway)
    change_plans(world, plan, FREE)
    for account in world.gateway.quotas.accounts.values():
        before = account.ceiling_level
        account.refill(world.now + 100.0)
        assert account.ceiling_level <= min(before, RETAINED_PART * plan.ceiling_burst) + 1e-4
    world.feed(make_request(900, "read", "capped", "unseen"))
    assert world.gateway.quotas.accounts["capped", "unseen"].ceiling_level < 1e-3


def test_a_counter_that_settings_drop_meanwhile_is_not_called_after_a_failed_upgrade() -> None:
    """Guards against an undo that brings back the counter's calls of before the split."""
    world = w.World(w.settings(plans=(PLAN,), has_counter=True), 3)
    assert world.gateway.quotas.incarnation.is_enabled
    split = StateSplit(world.gateway)
    world.feed(api.SettingsChanged(w.settings(plans=(PLAN,), has_counter=False)))
    split.undo(False, world.now)
    assert world.gateway.quotas.incarnation.next_call(world.now + 10.0) is None


@pytest.mark.parametrize("is_new", [True, False], ids=["a plan that nobody knew", "known terms"])
def test_the_old_process_accepts_again_after_a_change_of_plans(is_new: bool, tmp_path: Path) -> None:
    """Guards against lookups that are never answered: the new process is killed after a plan came into force."""

    async def main() -> None:
        async with listening(Origin().talk) as dial:
            old, new = [await Process(tmp_path, dial).start() for _ in range(2)]
            assert new.inherited
            await until(lambda: old.service.lifecycle.handed_over)
            plans = (*SETTINGS.plans, api.Plan("new")) if is_new else (replace(SETTINGS.plans[0], rate=9.0),)
            old.node.feed(api.SettingsChanged(replace(SETTINGS, plans=plans)))
            new.die()
            await until(lambda: accepting(old))
            reader, writer = await asyncio.open_connection(*old.address)
            writer.write(ask())
            assert " 200 " in (await read_message(reader))[0]
            writer.close()
            await old.end()

    run(main())
