"""Tests of consecutive configurations: for 6 s, requests from clients without the newest one still arrive."""

from __future__ import annotations

from dataclasses import replace

import pytest

from cypresspulley import interface as api
from cypresspulley.interface import Effect
from cypresspulley.net.requests import BadRequestError, RequestReader
from cypresspulley.policy.classes import REPLACED_RECORD_SECONDS, ClassRegistry
from tests import world as w
from tests.loopback import SETTINGS

TARGET = "/lookup?account=00000000b4d65521"
FIELDS = {
    b"x-request-id": b"9b1f03aa5c7e2d41", b"x-priority-class": b"lookup", b"x-plan": b"basic",
    b"x-timeout-ms": b"1000", b"x-quota": b"units=1,spread=3,first=1",
}  # fmt: skip


def test_each_form_of_a_class_binds_until_its_clients_have_heard_of_the_next() -> None:
    """A class has three records within 2 s; requests under the first arrive until 6 s after the first change."""
    lookup = SETTINGS.classes[0]
    classes = ClassRegistry(SETTINGS)
    classes.apply_settings(
        1.0, replace(SETTINGS, classes=(replace(lookup, effect=Effect.KEYED, window=4.0),))
    )
    classes.apply_settings(2.0, replace(SETTINGS, classes=(replace(lookup, effect=Effect.UNSAFE),)))
    classes.apply_settings(3.0, replace(SETTINGS, classes=()))
    for effect, until in (
        (Effect.SAFE, 1.0 + REPLACED_RECORD_SECONDS),
        (Effect.KEYED, 2.0 + REPLACED_RECORD_SECONDS),
        (Effect.UNSAFE, 3.0 + REPLACED_RECORD_SECONDS),
    ):
        bound = classes.find(until - 0.1, "lookup", effect)
        assert bound is not None and bound.effect is effect
        assert classes.find(until, "lookup", effect) is None
    assert classes.is_known(3.0 + REPLACED_RECORD_SECONDS - 0.1, "lookup") and not classes.is_known(
        3.0 + REPLACED_RECORD_SECONDS, "lookup"
    )


def test_a_plan_that_was_dropped_is_known_until_its_clients_have_heard() -> None:
    now = [100.0]
    reader = RequestReader(SETTINGS, lambda: now[0])
    reader.retune(replace(SETTINGS, plans=(api.Plan("other", rate=1.0, burst=1.0),)))
    now[0] += REPLACED_RECORD_SECONDS - 0.1
    assert reader.read(b"GET", TARGET, FIELDS).plan == "basic"
    reader.retune(replace(SETTINGS, plans=(api.Plan("third", rate=1.0, burst=1.0),)))
    assert reader.read(b"GET", TARGET, FIELDS | {b"x-plan": b"other"}).plan == "other"
    now[0] += 0.2
    with pytest.raises(BadRequestError):
        reader.read(b"GET", TARGET, FIELDS)
    assert count_requests_passed_by_dropped_plan() <= 4


def count_requests_passed_by_dropped_plan() -> int:
    """Return how many of 30 requests of a new account pass; without its plan's figures it would have no quota."""
    plan = api.Plan("small", rate=1.0, burst=3.0, over_cost=0.5, ceiling_rate=1.0, ceiling_burst=3.0)
    world = w.World(w.settings(plans=(plan,), gateways=1, has_counter=False), now=100.0)
    world.feed(w.servers("s0", "s1", "s2"))
    world.advance(110.0)
    world.feed(api.SettingsChanged(w.settings(plans=(api.Plan("free"),), gateways=1, has_counter=False)))
    for id in range(30):
        request = w.request(id, plan="small", account="new")
        world.feed(replace(request, gateways=1))
        world.serve(elapsed=0.01)
    return len(world.sends)
