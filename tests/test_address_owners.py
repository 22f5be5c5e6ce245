"""Where two listed servers name one address, the one that was started there last gets the requests, and is cold."""

from __future__ import annotations

import asyncio
from random import Random

import pytest

from cypresspulley import interface as api
from cypresspulley.net.address_owners import AddressOwners
from cypresspulley.net.discovery import Listing
from tests.loopback import Limiter, Origin, Script, ask, forward, listening, run

UP, GONE = api.Health.UP, api.Health.GONE
NOW = 1_000_000.0


def entry(name: str, health: api.Health = UP, born: float = 0.0) -> api.ServerEntry:
    return api.ServerEntry(name, health, "a", born=born)


def told(
    owners: AddressOwners, *entries: api.ServerEntry, complete: bool = False, address: str = "x:1"
) -> dict[str, api.ServerEntry]:
    listed = owners.resolve(api.ServerList(entries, complete), {each.name: address for each in entries}, NOW)
    return {each.name: each for each in listed}


@pytest.mark.parametrize("born", [0.0, NOW - 3600, NOW])
def test_a_new_server_at_an_address_ends_the_old_one_however_its_birth_reads(born: float) -> None:
    owners = AddressOwners()
    told(owners, entry("old", born=NOW - 60))
    seen = told(owners, entry("new", born=born))
    assert seen["old"].health is GONE and seen["new"].health is UP
    assert seen["new"].born == (born or NOW), "a birth that is unknown is that of a start just now"


def test_news_of_the_old_server_do_not_bring_it_back() -> None:
    owners = AddressOwners()
    told(owners, entry("old", born=1.0))
    told(owners, entry("new", born=2.0))
    assert told(owners, entry("old", born=1.0))["old"].health is GONE
    seen = told(owners, entry("new", born=2.0), entry("old", born=1.0), complete=True)
    assert seen["old"].health is GONE and seen["new"].health is UP
    told(owners, entry("new", GONE))
    assert told(owners, entry("old", born=1.0))["old"].health is GONE, (
        "its process ended when it was replaced"
    )
    assert told(owners, entry("old", born=3.0))["old"].health is UP, "a new start"


@pytest.mark.parametrize("names", [("old", "new"), ("new", "old")])
def test_within_one_listing_the_later_birth_decides(names: tuple[str, str]) -> None:
    births = {"old": 1.0, "new": 2.0}
    seen = told(AddressOwners(), *(entry(name, born=births[name]) for name in names), complete=True)
    assert seen["old"].health is GONE and seen["new"].health is UP


def test_servers_at_addresses_of_their_own_are_left_alone() -> None:
    owners = AddressOwners()
    told(owners, entry("a"))
    seen = told(owners, entry("b"), address="x:2")
    assert seen == {"b": entry("b")}


def test_in_any_order_of_news_each_address_has_one_owner() -> None:
    for seed in range(300):
        rng, owners, health = Random(seed), AddressOwners(), dict[str, tuple[api.Health, str]]()
        for step in range(30):
            name, address = f"s{rng.randrange(6)}", f"x:{rng.randrange(3)}"
            new = entry(name, rng.choice((UP, UP, GONE)), rng.choice((0.0, float(step), float(step // 4))))
            for each in told(owners, new, address=address).values():
                where = address if each.name == name else health[each.name][1]
                health[each.name] = each.health, where
            up = [where for state, where in health.values() if state is UP]
            assert len(up) == len(set(up)), seed


def test_no_request_goes_to_a_new_process_under_the_name_of_the_old_one() -> None:
    async def main() -> None:
        origin = Origin()
        async with listening(origin.talk) as dial, Limiter(Script(forward), {"s1": dial}) as limiter:
            assert " 200 " in (await limiter.fetch(ask()))[0]
            new = Listing(2, api.ServerList((entry("s2", born=NOW),), False), {"s2": dial})
            limiter.node.apply_listing(new)
            assert " 429 " in (await limiter.fetch(ask()))[0], "s1 is used no longer"
            assert len(origin.seen) == 1
            limiter.script.answer = lambda event: (
                [api.Send(event.id, "s2", event.ttl)] if isinstance(event, api.Request) else []
            )
            assert " 200 " in (await limiter.fetch(ask()))[0]
            assert origin.connections == 2, "a connection of the old server is not used for the new one"
            await asyncio.sleep(0)

    run(main())
