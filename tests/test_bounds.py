"""Tables keyed by what comes from outside stay bounded over a long life."""

from __future__ import annotations

import pytest

from cypresspulley import interface as api
from cypresspulley.policy import load_balancer, quota
from tests import world as w

ACCOUNTS = 1_000_000
EVERY = 0.002  # seconds between two of them: 500 a second


@pytest.mark.long
def test_a_million_one_off_accounts_leave_as_many_as_the_last_minute_brought() -> None:
    plan = api.Plan("capped", rate=2.0, burst=8.0, ceiling_rate=4.0, ceiling_burst=16.0)
    gateway_settings = w.settings(plans=(plan,), has_counter=False)
    quotas = w.World(gateway_settings).gateway.quotas
    now, largest = 100.0, 0
    for number in range(ACCOUNTS):
        now += EVERY
        quotas.get_or_create_account(now, w.request(number, plan="capped", account=f"{number:016x}"))
        if number % 5000 == 0:  # every 10 s; in service it is each second
            quotas.tick(now)
            largest = max(largest, len(quotas.accounts))
    lived = (quota.ACCOUNT_IDLE_SECONDS + 12.0) / EVERY
    assert largest <= lived, "an account that is idle for a minute and full is forgotten"
    quotas.tick(now + quota.ACCOUNT_IDLE_SECONDS + 10.0)
    assert not quotas.accounts


def test_servers_that_come_and_go_are_forgotten_and_their_names_bounded() -> None:
    world = w.World(w.settings(plans=(api.Plan("free"),), has_counter=False))
    for number in range(3 * load_balancer.MAX_KNOWN_SERVERS):
        world.feed(w.servers(f"s{number}"))
        if number % 500 == 0:
            world.advance(world.now + 1.1)
    world.advance(world.now + 3.0)
    assert (
        len(world.gateway.load_balancer.births) == load_balancer.MAX_KNOWN_SERVERS
        and len(world.gateway.load_balancer.servers) <= 2
    )
