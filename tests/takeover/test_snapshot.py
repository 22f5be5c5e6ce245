"""Snapshots between two processes: conservation of the stores, validation, and taking the state back."""

from __future__ import annotations

import hashlib
import json
from dataclasses import replace
from random import Random

import hypothesis
import pytest
from hypothesis import strategies as st

from cypresspulley import interface as api
from cypresspulley.messages import decode_message
from cypresspulley.policy.gateway import Gateway
from cypresspulley.policy.store_share import RETAINED_PART
from cypresspulley.takeover.snapshot import (
    SPLIT_STORES,
    PredecessorAttempts,
    SnapshotError,
    StateSplit,
    count_open_attempts,
    decode_snapshot,
    encode_snapshot,
    restore_snapshot,
    take_snapshot,
)
from tests import world as w
from tests.test_peers import Fleet, shared_settings

PLAN = api.Plan("capped", 1.0, 30.0, 90.0, ceiling_rate=4.0, ceiling_burst=12.0)
CONFIG = w.settings(plans=(PLAN, api.Plan("free")), gateways=1, has_counter=False)


def make_request(
    id: int, kind: str, plan: str, account: str, ttl: float = 3.0, units: float = 1.0
) -> api.Request:
    """Return a request of an account that only this limiter serves."""
    return replace(w.request(id, kind, plan, account, ttl, units), gateways=1)


def make_world(seed: int = 3) -> w.World:
    """Return a limiter that has served requests for some seconds."""
    world, rng = w.World(CONFIG, seed), Random(seed)
    world.feed(w.servers("s0", "s1", "s2"))
    for id in range(80):
        world.advance(world.now + 0.1)
        world.feed(make_request(id, "read", "capped", f"a{rng.randrange(3)}", 3.0, 1.0))
        for (request, attempt), (server, _) in list(world.open_attempts.items()):
            world.feed(w.outcome(request, attempt, server, api.Status.OK, 0.05))
    world.feed(api.Suspend("s1"))
    return world


def successor(world: w.World, config: api.Settings = CONFIG) -> Gateway:
    gateway = Gateway(config, 9, world.now)
    restore_snapshot(gateway, world.now, decode_snapshot(*encode_snapshot(take_snapshot(world.gateway))))
    return gateway


def test_each_store_is_split_and_conserved() -> None:
    world = make_world()
    before = {
        key: {s: getattr(a, s) for s in SPLIT_STORES} for key, a in world.gateway.quotas.accounts.items()
    }
    after = successor(world)
    StateSplit(world.gateway)
    assert before
    for key, stores in before.items():
        old, new = world.gateway.quotas.accounts[key], after.quotas.accounts[key]
        for store, amount in stores.items():
            assert getattr(old, store) + getattr(new, store) == pytest.approx(amount)
            assert getattr(old, store) == pytest.approx(RETAINED_PART * amount) or amount <= 0


def test_servers_bans_loads_and_rates_go_over() -> None:
    world = make_world()
    after, old = successor(world), world.gateway
    assert after.load_balancer.bans == {"s1"} and [s.entry.name for s in after.load_balancer.ring] == [
        s.entry.name for s in old.load_balancer.ring
    ]
    for name, server in old.load_balancer.servers.items():
        assert (
            after.load_balancer.servers[name].work_rate == server.work_rate
            and after.load_balancer.servers[name].latency_ratio == server.latency_ratio
        )
    assert (
        repr(after.gate) == repr(old.gate)
        and after.load_balancer.idle_latency == old.load_balancer.idle_latency
    )
    assert after.quotas._started_at == old.quotas._started_at


def test_taking_a_snapshot_changes_nothing() -> None:
    world = make_world()
    first = encode_snapshot(take_snapshot(world.gateway))
    assert encode_snapshot(take_snapshot(world.gateway)) == first


def test_what_was_split_can_be_taken_back_whole() -> None:
    world = make_world()
    before = {
        (key, s): getattr(a, s) for key, a in world.gateway.quotas.accounts.items() for s in SPLIT_STORES
    }
    plans, budgets = (
        dict(world.gateway.quotas.plans.current),
        [s.cold_budget for s in world.gateway.load_balancer.servers.values()],
    )
    StateSplit(world.gateway).undo(whole=True, now=world.now)
    after = {
        (key, s): getattr(a, s) for key, a in world.gateway.quotas.accounts.items() for s in SPLIT_STORES
    }
    assert after == pytest.approx(before) and world.gateway.quotas.plans.current == plans
    assert [s.cold_budget for s in world.gateway.load_balancer.servers.values()] == pytest.approx(budgets)
    assert all(a.plan is PLAN for a in world.gateway.quotas.accounts.values())


def test_a_successor_that_served_and_died_has_used_what_it_was_given() -> None:
    world = make_world()
    split = StateSplit(world.gateway)
    levels = {key: a.ceiling_level for key, a in world.gateway.quotas.accounts.items()}
    split.undo(whole=False, now=world.now)
    for key, a in world.gateway.quotas.accounts.items():
        assert a.ceiling_level == pytest.approx(levels[key]) and a.plan is PLAN
    fresh = world.gateway.quotas.get_or_create_account(world.now, make_request(999, "read", "capped", "new"))
    assert fresh.ceiling_level == 0.0, "it may have drawn units at the successor"


@hypothesis.settings(derandomize=True, deadline=None, max_examples=25)
@hypothesis.given(st.integers(0, 2**32), st.booleans())
def test_a_ceiling_holds_over_two_processes_and_a_second_upgrade(seed: int, dies: bool) -> None:
    rng, old = Random(seed), make_world(seed % 7)
    last, sent = old.now, 0.0
    new: w.World | None = None
    id = 1000
    # Units drawn earlier count, so the bound starts at the current level of the account's store.
    store = old.gateway.quotas.get_or_create_account(
        old.now, make_request(0, "read", "capped", "a0")
    ).ceiling_level
    for step in range(160):
        now = last + (rng.choice((0.01, 0.05, 0.2)) if step not in (40, 100) else 3.0)  # the store fills up
        if step in (40, 100):
            if new is not None:
                old, new = new, None
            old.advance(now)
            text = encode_snapshot(take_snapshot(old.gateway))
            split = StateSplit(old.gateway)
            if dies and step == 40:
                split.undo(whole=True, now=old.now)  # the successor ended before it served
            else:
                new = w.World(CONFIG, seed, old.now)
                restore_snapshot(new.gateway, old.now, decode_snapshot(*text))
                new.up, new.known = dict(old.up), set(old.known)
        world = rng.choice([each for each in (old, new) if each is not None])
        world.advance(now)
        before, id = len(world.sends), id + 1
        world.feed(make_request(id, "read", "capped", "a0", 3.0, rng.choice((1.0, 2.0))))
        for (request, attempt), (server, _) in list(world.open_attempts.items()):
            world.feed(w.outcome(request, attempt, server, api.Status.OK, 0.05))
        store = min(12.0, store + 4.0 * (now - last))
        last = now
        drawn = sum(asked.units for _, _, asked in world.sends[before:])
        store, sent = store - drawn, sent + drawn
        assert store >= -1e-6, "the ceiling was exceeded"
    assert sent > 10


def test_what_is_out_there_counts_here_until_it_has_ended() -> None:
    world = make_world()
    world.advance(world.now + 3.0)
    world.feed(make_request(500, "read", "capped", "a0"))
    rows = count_open_attempts(world.gateway)
    assert rows == [("capped", "a0", 1)]
    after = successor(world)
    attempts, account = PredecessorAttempts(after), after.quotas.accounts["capped", "a0"]
    for rows_told, wanted in ((rows, 1), (rows, 1), ([], 0), (rows, 1), ([], 0)):
        attempts.update({(plan, name): n for plan, name, n in rows_told})
        assert account.open_attempts == wanted


def test_attempts_of_the_predecessor_leave_with_the_account_that_counted_them() -> None:
    """Guards against a number below 0, which lets too many attempts out: the account was replaced between reports."""
    world = make_world()
    after = successor(world)
    attempts, key = PredecessorAttempts(after), ("capped", "a0")
    attempts.update({key: 3})
    del after.quotas.accounts[key]  # as for a move to another plan and back
    replaced = after.quotas.get_or_create_account(world.now, make_request(1, "read", *key))
    attempts.update({key: 2})
    assert replaced.open_attempts == 2
    attempts.update({})
    assert replaced.open_attempts == 0


def test_a_dropped_plan_is_left_out_and_the_rest_goes_over() -> None:
    after = successor(make_world(), replace(CONFIG, plans=(api.Plan("free"),)))
    assert after.quotas.accounts == {} and after.load_balancer.bans == {"s1"}


def test_wrong_snapshots_are_told_apart() -> None:
    state = take_snapshot(make_world().gateway)
    text, checksum = encode_snapshot(state)
    with pytest.raises(SnapshotError, match="checksum"):
        decode_snapshot(text[:-1] + " ", checksum)
    for bad in ('{"version":2,"state":{}}', '{"version":1}', "[]", '{"version":1,"state":3}', "{"):
        with pytest.raises(SnapshotError):
            decode_snapshot(bad, hashlib.sha256(bad.encode()).hexdigest())


@pytest.mark.parametrize("seed", range(40))
def test_a_spoilt_snapshot_is_rejected_or_changes_only_figures(seed: int) -> None:
    """With one value replaced, a snapshot either raises SnapshotError or leaves a gateway that works."""
    rng, state = Random(seed), json.loads(json.dumps(take_snapshot(make_world().gateway)))
    places = list[tuple[object, object]]()

    def walk(node: object) -> None:
        for key in (
            list(node) if isinstance(node, dict) else range(len(node)) if isinstance(node, list) else ()
        ):
            places.append((node, key))
            walk(node[key])  # type: ignore[index]

    walk(state)
    owner, key = rng.choice(places)
    owner[key] = rng.choice([None, "x", [], {}, -1.0, True])  # type: ignore[index]
    gateway = Gateway(CONFIG, 9, 200.0)
    try:
        restore_snapshot(gateway, 200.0, state)
    except SnapshotError:
        return
    assert take_snapshot(gateway)


def units_in_next_message(gateway: Gateway, now: float) -> float:
    """Return the units that the next usage message reports of all accounts together."""
    assert gateway.quotas.usage_broadcast is not None
    message = decode_message(gateway.quotas.usage_broadcast.write_message(now))
    assert message is not None
    return sum(units for _, units in message[1])


@pytest.mark.parametrize("is_taken_back", [False, True])
def test_use_that_is_not_reported_yet_is_reported_once_by_the_two_processes(is_taken_back: bool) -> None:
    """Guards against use that neither process reports: the successor reported only accounts that came again."""
    fleet = Fleet()
    for id in range(6):
        assert fleet.ask(0, 100.0, id)
    world, config = fleet.worlds[0], replace(shared_settings(), index=0)
    used = sum(account.unreported for account in world.gateway.quotas.accounts.values())
    assert used > 0
    after = successor(world, config)
    split = StateSplit(world.gateway)
    if is_taken_back:
        split.undo(True, world.now)
        assert units_in_next_message(world.gateway, world.now + 1.0) == pytest.approx(used)
    else:
        reported = [units_in_next_message(each, world.now + 1.0) for each in (world.gateway, after)]
        assert reported == pytest.approx([0.0, used])
