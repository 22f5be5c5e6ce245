"""Tests that tables with keys from outside stay bounded in a long-running process."""

from __future__ import annotations

import pytest

from cypresspulley import interface as api
from cypresspulley.policy import load_balancer, quota
from tests import world as w

ACCOUNTS = 1_000_000
INTERVAL_SECONDS = 0.002  # between two accounts: 500 per second


@pytest.mark.long
def test_a_million_one_off_accounts_leave_as_many_as_the_last_minute_brought() -> None:
    plan = api.Plan("capped", rate=2.0, burst=8.0, ceiling_rate=4.0, ceiling_burst=16.0)
    gateway_settings = w.settings(plans=(plan,), has_counter=False)
    quotas = w.World(gateway_settings).gateway.quotas
    now, largest = 100.0, 0
    for number in range(ACCOUNTS):
        now += INTERVAL_SECONDS
        quotas.get_or_create_account(now, w.request(number, plan="capped", account=f"{number:016x}"))
        if number % 5000 == 0:  # every 10 s; in service every second
            quotas.tick(now)
            largest = max(largest, len(quotas.accounts))
    max_accounts = (quota.ACCOUNT_IDLE_SECONDS + 12.0) / INTERVAL_SECONDS
    assert largest <= max_accounts, "an account that is idle for a minute and full is forgotten"
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
