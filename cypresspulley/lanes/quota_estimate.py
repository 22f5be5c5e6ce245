"""Estimates whether a request is within its account's quota, as the decision module is likely to decide.

The estimate reads the decision module's token buckets, refilled until the moment of the question, and never changes
them. Where this is uncertain a request counts as within quota, because the decision module checks it once more. A
request that a lane shed took no tokens there, so an account that is shed would seem to be within quota however much it
requests. Therefore the requests within quota that were shed are charged to a token bucket here.

What an account contributes to the demand, by which the fleet's capacity is allocated, is a different question. Gates
refuse requests before they look at quotas, and each of an account's limiters sees a full token bucket, so all of them
would count the account's excess. Therefore each limiter counts only what fits an even share of the quota; whichever
limiters the account's requests come through, they count its quota once in total.
"""

from __future__ import annotations

import math

from cachetools import LRUCache

from cypresspulley import interface as api
from cypresspulley.policy.account import OTHERS_DECAY_SECONDS, Account
from cypresspulley.policy.quota import Quotas

MAX_ACCOUNTS = 20_000  # accounts that are kept; the least recently used one is evicted
UNEVEN_FACTOR = 1.25  # multiple of the even share that is counted, as requests arrive unevenly


def level_at(account: Account, now: float) -> float:
    """Return the estimated units in an account's token bucket at ``now``, as ``Account.refill`` would compute them."""
    plan, dt = account.plan, max(0.0, now - account.refilled_at)
    if account.last_contact_at:
        used = account.others_rate * OTHERS_DECAY_SECONDS * (1 - math.exp(-dt / OTHERS_DECAY_SECONDS))
        return min(plan.burst, account.level + plan.rate * dt - used)
    paid = min(account.debt, plan.rate * dt)
    unread = plan.rate * (now - account.synced_at) * (account.gateways > 1)
    return min(plan.burst + unread, account.level + plan.rate * dt - paid)


def even_share_at(account: Account, now: float) -> float:
    """Return the units in this limiter's even share of the token bucket at ``now``."""
    return min(
        account.share_burst,
        account.share_level + account.plan.rate / account.gateways * max(0.0, now - account.refilled_at),
    )


class QuotaEstimator:
    """Estimates by the decision module's ``quotas`` and by the requests that came and were shed here."""

    def __init__(self, quotas: Quotas, settings: api.Settings) -> None:
        self._quotas, self._settings = quotas, settings
        self._plans = {plan.name: plan for plan in settings.plans}
        # Level and the time that it was computed: of the quota less what was shed, and of the even share of the quota.
        self._after_shed = LRUCache[tuple[str, str], tuple[float, float]](MAX_ACCOUNTS)
        self._even_shares = LRUCache[tuple[str, str], tuple[float, float]](MAX_ACCOUNTS)

    def __repr__(self) -> str:
        return f"<QuotaEstimator of {len(self._even_shares)} accounts, {len(self._after_shed)} shed>"

    def update_settings(self, settings: api.Settings) -> None:
        self._settings = settings
        self._plans = {plan.name: plan for plan in settings.plans}

    def draw_even_share(self, now: float, event: api.Request) -> bool:
        """Return whether a first request counts as demand within quota; if so, its units are taken."""
        plan = self._plans.get(event.plan)
        if plan is None or plan.rate <= 0:
            return True
        limiters = max(1, event.gateways)
        burst = max(plan.burst / limiters, event.units)
        level, at = self._even_shares.get((event.plan, event.account), (burst, now))
        level = min(burst, level + UNEVEN_FACTOR * plan.rate / limiters * max(0.0, now - at))
        fits = level >= event.units
        self._even_shares[event.plan, event.account] = level - event.units * fits, now
        return fits

    def is_within_quota(self, now: float, event: api.Request) -> bool:
        """Return whether a request that arrives now is within its account's quota."""
        account = self._quotas.accounts.get((event.plan, event.account))
        plan = account.plan if account is not None else self._plans.get(event.plan)
        if plan is None or plan.rate <= 0:
            return account is None or plan is None or not 0 < plan.open_limit <= account.open_attempts
        if (event.plan, event.account) in self._after_shed and self._level_after_shed(
            now, plan, event
        ) < event.units:
            return False
        if account is None:
            return event.units <= plan.burst + 1e-9
        if 0 < plan.open_limit <= account.open_attempts:
            return False
        if level_at(account, now) >= event.units:
            return True
        uses_even_share = (
            account.low_traffic
            or not self._settings.has_counter
            or now < self._quotas.counter_calls.silent_until
        )
        return uses_even_share and even_share_at(account, now) >= event.units

    def seconds_until_available(self, now: float, event: api.Request) -> float:
        """Return the seconds until the token bucket holds the request's units; 0 for an unknown account."""
        account = self._quotas.accounts.get((event.plan, event.account))
        if account is None or account.plan.rate <= 0:
            return 0.0
        return max(0.0, (event.units - level_at(account, now)) / account.plan.rate)

    def charge_shed(self, now: float, event: api.Request) -> None:
        """Charge the units of a first request within quota that a lane shed, which would have taken them."""
        plan = self._plans.get(event.plan)
        if plan is not None and plan.rate > 0 and not event.repeat:
            self._after_shed[event.plan, event.account] = (
                self._level_after_shed(now, plan, event) - event.units,
                now,
            )

    def _level_after_shed(self, now: float, plan: api.Plan, event: api.Request) -> float:
        level, at = self._after_shed.get((event.plan, event.account), (plan.burst, now))
        return min(plan.burst, level + plan.rate * max(0.0, now - at))
