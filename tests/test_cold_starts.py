"""Cold servers under the traffic of many limiters: none is overloaded, and what the cold budgets count."""

from __future__ import annotations

import math
from dataclasses import replace

import pytest

from benchmarks.cold_starts import CASES, Case, overload_probability, poisson_tail
from cypresspulley import interface as api
from cypresspulley.interface import Status
from cypresspulley.policy.load_balancer import MAX_COLD_LOAD_SHARE, STEADY_COLD_LOAD_SHARE
from cypresspulley.policy.server import Server
from tests import world as w
from tests.cold_start import SETTINGS, ColdStartSimulation

SLICE = (
    "20, N 1, two thirds replaced", "30, N 1, two thirds replaced", "230, N 1, two thirds replaced",
    "20, N 3, joining", "230, N 3, starting together", "230, N 3, silence, then a burst", "30, N 12, uneven",
    "230, N 12, two thirds replaced", "30, N 31, starting together",
)  # fmt: skip


@pytest.mark.parametrize("case", [case for case in CASES if case.name in SLICE], ids=lambda case: case.name)
def test_no_server_falls_on_a_slice_of_the_simulation(case: Case) -> None:
    assert case.run(seed=1).overloaded_servers() == 0


def test_the_simulation_is_of_a_thousand_starts_and_more() -> None:
    assert 3 * sum(case.simulation.starts for case in CASES) > 1000
    assert {case.simulation.limiters for case in CASES} == {20, 30, 230}
    assert set(SLICE) <= {case.name for case in CASES}


def test_the_parts_are_safe_for_any_allowance() -> None:
    for tenth in range(1, 3000):
        n = tenth / 10
        least = math.floor(n + 2 * math.sqrt(n) + 2) + 1
        assert poisson_tail(STEADY_COLD_LOAD_SHARE * n, least) < 1.4e-4
        assert poisson_tail(MAX_COLD_LOAD_SHARE * n, least) < 1.3e-3


def test_the_bound_grows_with_what_is_sent_and_is_a_chance() -> None:
    quiet, silent = (
        overload_probability(25.0, SETTINGS),
        overload_probability(25.0, SETTINGS, silent_until=4.0),
    )
    assert 0 < quiet < silent < 0.01
    assert overload_probability(25.0, replace(SETTINGS, fall_multiple=1.0)) > quiet


@pytest.mark.parametrize("even", [True, False], ids=["even", "uneven"])
def test_what_all_send_at_first_is_what_their_budgets_hold(even: bool) -> None:
    """Guards against a cold budget that is drawn at random for each request.

    A limiter whose draw failed drew again at its next request, so that all sent their first request far too early.
    """
    simulation = ColdStartSimulation(1, notice_ages=(0.0, 0.0), is_even=even, limiters=230, starts=6).run()
    window = SETTINGS.fall_window
    due = (simulation.allowed_requests(0) + simulation.allowed_requests(window)) / 2 / SETTINGS.fall_multiple
    first = sum(age < window for ages in simulation.send_ages.values() for age in ages) / simulation.starts
    assert 0.6 * due < first < 1.2 * due


def test_uneven_seconds_do_not_make_cold_servers_pass_for_able_ones() -> None:
    """Guards against a mean of finished work that only rises, and so follows the noise, while most servers are cold."""
    world, id, cold = w.World(w.settings(warm_after=60.0)), 0, [f"s{n}" for n in range(5)]
    names = [f"s{n}" for n in range(8)]
    world.feed(w.servers(*names))
    began = world.now
    for second in range(60):
        if second == 20:
            began = world.now
            world.feed(api.ServerList(tuple(replace(world.up[n], born=world.now) for n in cold), False))
        for _ in range(18 if second % 2 else 2):
            world.advance(world.now + 0.05)
            world.feed(w.request(id, ttl=0.5))
            world.serve()
            id += 1
        world.advance(100.0 + second + 1)
    sent = [server for at, server, _ in world.sends if at >= began]
    each = sum(sent.count(name) for name in cold) / len(cold)
    warm = sum(sent.count(name) for name in names if name not in cold) / (len(names) - len(cold))
    assert 0.2 * warm < each < 0.5 * warm, "warmth was 0.2 to 0.73 and 0.47 in the mean"


def dial_until_unreachable(world: w.World, id: int, name: str) -> int:
    """Let dials to a server fail until it counts as unreachable, and return the next request id."""
    server = world.gateway.load_balancer.servers[name]
    for _ in range(500):
        if server.unreachable and server.ejected_until > world.now:
            return id
        world.advance(world.now + 0.02)
        for number in range(id, id + 6):
            world.feed(w.request(number))
        id += 6
        while world.open_attempts:
            key, (to, _) = next(iter(world.open_attempts.items()))
            world.feed(w.outcome(*key, to, Status.UNREACHABLE if to == name else Status.OK))
    raise AssertionError("the server never became unreachable")


def warmed_up_server(**changes: object) -> tuple[w.World, Server, int]:
    """Return a server that started cold, has become warm, and has a part of its budget left."""
    world, id = w.World(w.settings(warm_after=2.0, **changes)), 0
    world.feed(w.servers("s0", "s1", "s2"))
    for step in range(300):
        if step == 150:
            world.feed(api.ServerList((replace(world.up["s1"], born=world.now),), False))
        world.advance(world.now + 0.02)
        world.feed(w.request(id))
        world.serve()
        id += 1
    server = world.gateway.load_balancer.servers["s1"]
    assert server.cold_since is None
    server.cold_budget = 1.0
    return world, server, id


def test_a_server_found_again_by_a_probe_starts_with_an_empty_budget() -> None:
    world, server, id = warmed_up_server()
    dial_until_unreachable(world, id, "s1")
    world.feed(api.Probed("s1", Status.OK, 0.01, {}))
    assert server.cold_since == world.now and server.cold_budget == 0.0


def test_a_server_found_again_by_a_request_starts_with_an_empty_budget() -> None:
    world, server, id = warmed_up_server(may_probe=False)
    id = dial_until_unreachable(world, id, "s1")
    for _ in range(300):
        if server.cold_since is not None:
            break
        world.advance(world.now + 0.02)
        for number in range(id, id + 6):
            world.feed(w.request(number))
        id += 6
        world.serve()
    assert server.cold_since == server.cold_budget_at == world.now and server.cold_budget == 0.0


@pytest.mark.parametrize("told_first", [False, True], ids=["lost, then told", "told, then lost"])
def test_a_server_that_is_known_to_be_cold_is_not_probed(told_first: bool) -> None:
    """Probes of hundreds of limiters would exceed any cold budget, so a cold server is tried by requests within it."""
    world, server, id = warmed_up_server()
    born = api.ServerList((replace(world.up["s1"], born=world.now),), False)
    if told_first:
        world.feed(born)
        id = dial_until_unreachable(world, id, "s1")
    else:
        id = dial_until_unreachable(world, id, "s1")
        assert any(isinstance(a, api.Probe) for a in next_tick(world)), (
            "asked while nothing tells of its start"
        )
        world.feed(api.ServerList((replace(world.up["s1"], born=world.now),), False))
    before, probes = len(world.sends), list[api.Action]()
    for _ in range(3):
        probes += [a for a in next_tick(world) if isinstance(a, api.Probe)]
        for _ in range(20):
            world.feed(w.request(id))
            world.serve()
            id += 1
    assert not probes
    assert any(server == "s1" for _, server, _ in world.sends[before:]), (
        "a request within its budget tries it"
    )
    assert not server.unreachable


def next_tick(world: w.World) -> list[api.Action]:
    """Advance to the next tick, a second later, and return its actions."""
    at, token = min(world.timers)
    world.timers.remove((at, token))
    world.now = max(world.now, at)
    return world.feed(api.TimerFired(token))


def test_what_was_saved_up_while_a_cold_server_was_out_lapses() -> None:
    """Guards against an overload by what all limiters saved in ten seconds, sent at once when the server is back."""
    world, id = w.World(w.settings(warm_after=60.0)), 0
    world.feed(w.servers("s0", "s1", "s2"))

    def run(seconds: float) -> int:
        nonlocal id
        before = len(world.sends)
        for _ in range(round(seconds / 0.02)):
            world.advance(world.now + 0.02)
            world.feed(w.request(id))
            world.serve()
            id += 1
        return sum(server == "s1" for _, server, _ in world.sends[before:])

    run(10.0)
    world.feed(api.ServerList((replace(world.up["s1"], born=world.now),), False))
    world.gateway.load_balancer.servers["s1"].ejected_until = world.now + 10.0
    assert run(10.0) == 0
    rate, warmth, config = 50 / 3, 0.2 + 0.8 * 11 / 60, world.config
    # With the server ejected, each of the other two finished half of all requests instead of a third, and its budget
    # follows that rate.
    allowed = config.fall_multiple * warmth * rate * 1.5 * config.fall_window
    assert (
        0.8 * STEADY_COLD_LOAD_SHARE * allowed < run(config.fall_window) < 1.1 * MAX_COLD_LOAD_SHARE * allowed
    )
