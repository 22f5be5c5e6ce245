"""The rules of the decisions as invariants under arbitrary legal orders of events."""

from __future__ import annotations

import os
import subprocess
import sys
from dataclasses import replace
from random import Random

import hypothesis
from hypothesis import strategies as st

from cypresspulley import interface as api
from tests import world as w

hypothesis_settings = hypothesis.settings(derandomize=True, deadline=None, max_examples=60)


@hypothesis_settings
@hypothesis.given(st.integers(0, 2**32), st.integers(1, 4), st.booleans())
def test_rules_one_to_three_hold_in_any_legal_order(seed: int, attempts: int, counter: bool) -> None:
    w.random_run(seed, 150, w.settings(max_attempts=attempts, has_counter=counter))


@hypothesis_settings
@hypothesis.given(st.integers(0, 2**32))
def test_the_ceiling_holds_over_all_gateways_with_skewed_traffic_and_a_restart(seed: int) -> None:
    rng = Random(seed)
    plan = api.Plan("capped", 1.0, 3.0, 9.0, ceiling_rate=4.0, ceiling_burst=12.0)
    config = w.settings(plans=(plan,))
    worlds = [w.World(replace(config, index=i), seed + i) for i in range(3)]
    for world in worlds:
        world.totals = worlds[0].totals  # the gateways share one counter, which outlives them
        world.feed(w.servers("s0", "s1", "s2", "s3"))
    level, last, sent = 12.0, 100.0, 0.0
    now = 100.0
    for step in range(250):
        now += rng.choice((0.001, 0.02, 0.1))
        index = rng.choice((0, 0, 0, 0, 1, 2))
        if step == 120:  # this gateway restarts without any state
            worlds[0] = w.World(replace(config, index=0), seed + 9, now)
            worlds[0].totals = worlds[1].totals
            worlds[0].feed(w.servers("s0", "s1", "s2", "s3"))
        world = worlds[index]
        world.advance(now)
        world.serve()
        before = len(world.sends)
        units = rng.choice((1.0, 2.0))
        world.feed(w.request(step, "read", "capped", "acct", 3.0, units))
        world.answer_counts(
            rng.choice((api.Status.OK, api.Status.OK, api.Status.UNREACHABLE, api.Status.TIMEOUT))
        )
        level = min(12.0, level + 4.0 * (now - last))
        last = now
        for _, _, asked in world.sends[before:]:
            level -= asked.units
            sent += asked.units
        assert level >= -1e-6, "the ceiling was exceeded"
    assert sent > 0


def test_held_requests_do_not_draw_on_the_ceiling_together() -> None:
    plan = api.Plan("capped", 1.0, 0.5, 9.0, ceiling_rate=2.0, ceiling_burst=30.0)
    world = w.World(w.settings(plans=(plan,)))
    world.feed(w.servers("s0", "s1"))
    world.advance(world.now + 10)  # the share of the ceiling holds 6.7 units
    for id in range(3):
        world.feed(w.request(id, "read", "capped", "acct", 3.0, 3.2))
    assert not world.sends
    world.answer_counts()
    assert len(world.sends) == 2


def test_nothing_new_goes_to_a_draining_or_removed_server() -> None:
    world = w.World(w.settings())
    world.feed(w.servers("s0", "s1"))
    world.feed(api.ServerList((api.ServerEntry("s0", api.Health.DRAINING, "a"),), False))
    for id in range(20):
        world.feed(w.request(id))
        world.serve()
    assert {server for _, server, _ in world.sends} == {"s1"}
    world.feed(api.ServerList((), True))
    actions = world.feed(w.request(99))
    assert any(isinstance(a, api.Refuse) for a in actions)


def test_a_cold_server_gets_only_its_budget_from_all_gateways() -> None:
    config = w.settings()
    total = {"cold": 0.0, "warm": 0.0}
    for index in range(3):
        world = w.World(config, index)
        world.feed(w.servers("s0", "s1", "s2"))
        id = 0
        for _ in range(300):
            world.advance(world.now + 0.02)
            world.feed(w.request(id, "read"))
            world.serve()
            id += 1
        start = world.now
        entry = api.ServerEntry("new", api.Health.UP, "a", 0, 1.0, world.now)
        world.feed(api.ServerList((entry,), False))
        for _ in range(int(config.fall_window / 0.02)):
            world.advance(world.now + 0.02)
            world.feed(w.request(id, "read"))
            world.serve()
            id += 1
        late = [server for at, server, _ in world.sends if at >= start]
        total["cold"] += late.count("new")
        total["warm"] += late.count("s0")
    assert 0 < total["cold"] < config.fall_multiple * config.cold_share * total["warm"] * 1.1


def test_unsafe_is_resent_only_with_proof_and_failed_otherwise() -> None:
    for status, resent in (
        (api.Status.FULL, True),
        (api.Status.UNREACHABLE, True),
        (api.Status.DROPPED, True),
        (api.Status.BROKEN, False),
        (api.Status.ERROR, False),
    ):
        world = w.World(w.settings())
        world.feed(w.servers("s0", "s1"))
        world.feed(w.request(1, "post"))
        actions = world.feed(w.outcome(1, 0, world.sends[0][1], status))
        assert any(isinstance(a, api.Send) for a in actions) is resent
        assert any(isinstance(a, api.Fail) for a in actions) is not resent


def test_keyed_is_resent_within_its_cell_only() -> None:
    world = w.World(w.settings())
    world.feed(w.servers("s0", "s1", "s2", "s3", "s4"))  # s4 is alone in its cell
    seen = set()
    for id in range(60):
        world.feed(w.request(id, "entry"))
        first = world.sends[-1][1]
        for action in world.feed(w.outcome(id, 0, first, api.Status.ERROR)):
            if isinstance(action, api.Send):
                seen.add((world.up[first].cell, world.up[action.server].cell))
                world.feed(w.outcome(id, 1, action.server, api.Status.OK))
        world.advance(world.now + 2)
    assert seen and all(a == b for a, b in seen)


def test_the_same_events_give_the_same_actions_under_any_hash_seed() -> None:
    code = (
        "from tests.world import random_run; import hashlib;"
        "print(hashlib.sha256(repr(random_run(7, 400)).encode()).hexdigest())"
    )
    digests = set()
    for seed in ("0", "1", "4242"):
        env = dict(os.environ, PYTHONHASHSEED=seed)
        done = subprocess.run(
            [sys.executable, "-c", code], env=env, capture_output=True, text=True, check=True
        )
        digests.add(done.stdout)
    assert len(digests) == 1


def test_hundreds_of_gateways_together_stay_within_a_cold_servers_budget() -> None:
    """Guards against an overload by 200 gateways with a request per second each.

    One request from each at once would be a hundred times the cold budget.
    """
    gateways, names = 200, [f"s{i}" for i in range(20)]
    config = w.settings(gateways=gateways, has_counter=False)
    start, warm, cold = 0.0, 0, list[float]()
    for index in range(gateways):
        rng, world = Random(index), w.World(replace(config, index=index), index)
        world.feed(w.servers(*names))
        start = world.now + 8
        entry = api.ServerEntry("new", api.Health.UP, "a", 0, 1.0, start)
        for id in range(20):
            world.advance(world.now + rng.uniform(0.8, 1.2))
            if world.now >= start and "new" not in world.known:
                world.feed(api.ServerList((entry,), False))
            world.feed(w.request(id, "read"))
            world.serve()
        cold += [at for at, server, _ in world.sends if server == "new"]
        warm += sum(server != "new" and at >= start for at, server, _ in world.sends)
    window, multiple = config.fall_window, config.fall_multiple
    rate = warm / 12 / len(names)
    for at in cold:
        warm_rate = rate * min(1, 0.2 + 0.8 * (at + window - start) / 10)
        assert sum(at <= other < at + window for other in cold) < multiple * warm_rate * window
    assert len(cold) > 5
