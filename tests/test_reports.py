"""Tests that load reports decide the choice of a server only if the gateway contacts each server rarely."""

from __future__ import annotations

from dataclasses import replace

from cypresspulley import interface as api
from tests import world as w

NAMES = [f"s{n}" for n in range(8)]


def count_choices(
    answers: int, requests: int = 40, reported: bool = True, pause: float = 0.0
) -> dict[str, int]:
    """Return how many of ``requests`` each server gets after it has answered ``answers`` times within a second.

    Only s3 has reported few requests in flight.
    """
    world = w.World(replace(w.settings(), gateways=40))
    world.feed(w.servers(*NAMES))
    id = 0
    for _ in range(answers * len(NAMES)):
        world.advance(world.now + 1.0 / (answers * len(NAMES)))
        id += 1
        world.feed(w.request(id, "read", "basic", f"{id}", 3.0))
        for (out, attempt), (server, _) in list(world.open_attempts.items()):
            report = {"inflight": 1.0 if server == "s3" else 9.0} if reported else {}
            world.feed(api.Outcome(out, attempt, server, api.Status.OK, 0.1, True, report))
    world.advance(world.now + 1.0 + pause)
    before = len(world.sends)
    for _ in range(requests):
        id += 1
        world.feed(w.request(id, "read", "basic", f"{id}", 3.0))
        for (out, attempt), (server, _) in list(world.open_attempts.items()):
            world.feed(api.Outcome(out, attempt, server, api.Status.OK, 0.1, True, {}))
    counts = dict.fromkeys(NAMES, 0)
    for _, server, _ in world.sends[before:]:
        counts[server] += 1
    return counts


def test_a_gateway_that_meets_servers_seldom_believes_their_reports() -> None:
    counts = count_choices(3, requests=6)
    assert counts["s3"] >= 4, counts
    assert count_choices(3)["s3"] < 20, "what was sent since the report counts on top"


def test_without_reports_all_are_alike() -> None:
    assert max(count_choices(3, reported=False).values()) < 20


def test_a_report_fades() -> None:
    assert max(count_choices(3, pause=30.0).values()) < 20


def test_a_gateway_that_meets_servers_often_goes_by_its_own_answers() -> None:
    counts = count_choices(40, requests=6)
    assert counts["s3"] < 4, counts
