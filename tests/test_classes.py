"""The class records that are in force while settings change at run time."""

from __future__ import annotations

from dataclasses import replace

import pytest

from cypresspulley import interface as api
from cypresspulley.explore.examine import open_counts
from cypresspulley.net.requests import BadRequestError, RequestReader
from cypresspulley.policy.classes import CLIENT_UPDATE_SECONDS, REPLACED_RECORD_SECONDS, ClassRegistry
from cypresspulley.policy.store_share import RETAINED_PART
from cypresspulley.settings import SettingsError, check_no_missing_keys, check_positive_figures
from cypresspulley.takeover.snapshot import StateSplit
from tests import world as w

SAFE, KEYED, UNSAFE = api.Effect.SAFE, api.Effect.KEYED, api.Effect.UNSAFE
BASE = w.settings(plans=(api.Plan("free"),), has_counter=False, max_attempts=3)
# The new settings make the class "read" unsafe, drop "entry" and add "scan".
READ = replace(w.SAFE, effect=UNSAFE, aim=0.5)
OTHER = replace(BASE, classes=(READ, w.UNSAFE, api.RequestClass("scan", 1.0, 2.0, SAFE)), max_attempts=2)


def test_a_requests_form_tells_which_record_its_client_goes_by() -> None:
    classes = ClassRegistry(BASE)
    classes.apply_settings(100.0, OTHER)
    assert classes.find(100.1, "read", SAFE) is w.SAFE, "its client has not heard"
    assert classes.find(100.1, "read", UNSAFE) is READ
    assert classes.find(100.1, "entry", KEYED) is w.KEYED and classes.find(100.1, "entry", UNSAFE) is None
    assert classes.find(100.1, "scan", SAFE) is OTHER.classes[2]
    after = 100.0 + REPLACED_RECORD_SECONDS
    assert classes.find(after, "read", SAFE) is None and classes.find(after, "entry", KEYED) is None
    assert not classes.is_known(after, "entry") and classes.is_known(after, "read")


def test_a_request_whose_form_fits_no_record_goes_by_its_class_and_is_sent_once() -> None:
    """Such a request keeps the aim and worth of its class; no record was found for it, and one was made up."""
    world = w.World(BASE, 3)
    world.feed(w.servers("s0", "s1"))
    world.feed(api.SettingsChanged(OTHER))
    world.advance(world.now + REPLACED_RECORD_SECONDS + 1.0)
    world.feed(replace(w.request(7, "scan", "free"), effect=KEYED))
    assert world.gateway._requests[7].cls == replace(OTHER.classes[2], effect=UNSAFE)
    world.feed(replace(w.request(8, "entry", "free"), effect=KEYED))  # of a class that is gone
    assert world.gateway._requests[8].cls.effect is UNSAFE


def test_attempts_are_the_fewer_of_both_until_clients_have_heard() -> None:
    for before, then in ((3, 2), (2, 3)):
        classes = ClassRegistry(replace(BASE, max_attempts=before))
        assert classes.max_attempts(100.0) == before
        classes.apply_settings(100.0, replace(OTHER, max_attempts=then))
        assert (
            classes.max_attempts(100.1) == 2 and classes.max_attempts(100.1 + CLIENT_UPDATE_SECONDS) == then
        )


def count_broken_attempts(world: w.World, id: int, effect: api.Effect, change: api.Settings | None) -> int:
    """Return the attempts of a request that all break, with settings that change during the first."""
    world.feed(replace(w.request(id), effect=effect))
    if change is not None:
        world.feed(api.SettingsChanged(change))
    while (key := next((key for key in world.open_attempts if key[0] == id), None)) is not None:
        world.feed(w.outcome(*key, world.open_attempts[key][0], api.Status.BROKEN))
    return len(world.attempts[id])


def started_world() -> w.World:
    world = w.World(BASE)
    world.feed(w.servers("s0", "s1", "s2"))
    return world


def test_an_open_request_keeps_the_record_and_the_attempts_it_was_let_in_under() -> None:
    assert count_broken_attempts(started_world(), 1, SAFE, None) == 3
    assert count_broken_attempts(started_world(), 1, SAFE, OTHER) == 3, (
        "safe and three attempts, as it was let in"
    )
    world = started_world()
    world.feed(api.SettingsChanged(OTHER))
    assert count_broken_attempts(world, 1, UNSAFE, BASE) == 1, "unsafe, though safe again meanwhile"
    assert count_broken_attempts(world, 2, SAFE, None) == 2, "the fewer of both"


def test_a_request_of_a_class_that_is_dropped_while_it_waits_is_tried_again() -> None:
    world = started_world()
    world.feed(replace(w.request(1), effect=SAFE))
    world.feed(api.SettingsChanged(replace(OTHER, classes=OTHER.classes[1:])))
    (key,) = world.open_attempts
    world.feed(w.outcome(*key, world.open_attempts[key][0], api.Status.BROKEN))
    assert len(world.attempts[1]) == 2


def test_levels_loads_and_what_is_out_go_on_over_a_change() -> None:
    plan = api.Plan("capped", rate=2.0, burst=8.0, open_limit=4)
    world = w.World(replace(BASE, plans=(plan,)))
    world.feed(w.servers("s0", "s1"))
    for id in range(3):
        world.feed(w.request(id, plan="capped"))
    account = world.gateway.quotas.accounts["capped", "x"]
    before = account.level, account.open_attempts, open_counts(world.gateway)["work"]
    world.feed(api.SettingsChanged(replace(OTHER, plans=(replace(plan, rate=5.0),))))
    assert (account.level, account.open_attempts, open_counts(world.gateway)["work"]) == before
    assert account.plan.rate == 5.0


def test_settings_that_change_during_a_takeover_refill_only_one_side() -> None:
    plan = api.Plan("capped", rate=2.0, burst=8.0, ceiling_rate=4.0, ceiling_burst=12.0)
    world = w.World(replace(BASE, plans=(plan,)))
    world.feed(w.request(1, plan="capped"))
    split = StateSplit(world.gateway)
    changed = replace(plan, ceiling_rate=6.0)
    world.feed(api.SettingsChanged(replace(OTHER, plans=(changed,))))
    account = world.gateway.quotas.accounts["capped", "x"]
    account.refill(world.now + 100.0)
    assert account.ceiling_level <= RETAINED_PART * 12.0
    split.undo(whole=True, now=world.now + 100.0)
    assert account.plan == changed and world.gateway.quotas.plans.current == {"capped": changed}


def test_the_reader_goes_by_the_same_records() -> None:
    now = 0.0
    reader = RequestReader(BASE, lambda: now)
    fields = {
        b"x-request-id": b"9b1f03aa5c7e2d41", b"x-priority-class": b"read", b"x-plan": b"free",
        b"x-timeout-ms": b"500", b"x-quota": b"units=1,spread=1,first=0",
    }  # fmt: skip
    target = "/read?account=00000000b4d65521"
    reader.retune(OTHER)
    assert reader.read(b"GET", target, fields).effect is SAFE
    assert reader.read(b"POST", target, fields).effect is UNSAFE
    now = REPLACED_RECORD_SECONDS
    with pytest.raises(BadRequestError) as caught:
        reader.read(b"GET", target, fields)
    assert caught.value.status == 405
    with pytest.raises(BadRequestError) as caught:
        reader.read(b"GET", target.replace("read", "entry"), fields)
    assert caught.value.status == 404


SETTINGS = {
    "classes": [{"name": "a", "aim_s": 1.0, "hard_limit_s": 4.0, "effect": "idempotent"}],
    "tariffs": [{"name": "p", "quota_rate": 1.0}],
    "limits": {"max_attempts": 4, "probes": True},
    "n_instances": 3,
}


def test_whole_and_sound_settings_pass() -> None:
    more = SETTINGS | {"classes": [*SETTINGS["classes"], SETTINGS["classes"][0] | {"name": "b", "more": 1}]}  # type: ignore
    check_no_missing_keys(more, SETTINGS)
    check_positive_figures(more)


@pytest.mark.parametrize(
    ("change", "named"),
    [
        ({"n_instances": None}, "n_instances"),
        ({"limits": {"probes": True}}, "limits.max_attempts"),
        ({"classes": [{"name": "a", "aim_s": 1.0, "effect": "idempotent"}]}, "hard_limit_s"),
        ({"classes": []}, "classes"),
        ({"tariffs": [{"name": "p"}]}, "quota_rate"),
    ],
)
def test_a_key_that_is_missing_is_named(change: dict[str, object], named: str) -> None:
    raw = {key: value for key, value in (SETTINGS | change).items() if value is not None}
    with pytest.raises(SettingsError, match=named):
        check_no_missing_keys(raw, SETTINGS)


@pytest.mark.parametrize(
    ("change", "named"),
    [
        ({"limits": {"max_attempts": 0}}, "max_attempts"),
        ({"limits": {"max_attempts": -1}}, "max_attempts"),
        ({"limits": {"max_attempts": 1.5}}, "max_attempts"),
        ({"limits": {"max_attempts": "4"}}, "max_attempts"),
        ({"classes": [{"name": "a", "hard_limit_s": 0}]}, "hard_limit_s"),
        ({"classes": [{"name": "a", "hard_limit_s": -4.0}]}, "hard_limit_s"),
        ({"classes": [{"name": "a", "aim_s": 0.0}]}, "aim_s"),
    ],
)
def test_figures_that_cannot_be_served_by_are_named(change: dict[str, object], named: str) -> None:
    with pytest.raises(SettingsError, match=named):
        check_positive_figures(SETTINGS | change)
