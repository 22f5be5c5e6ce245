"""Whether a try is inside its account's quota, as the decisions behind would most likely call it.

Read from the decisions' own levels, which this never changes: stores that fill until the moment of the question. In
doubt a try is inside, since the decisions judge it once more. What a lane turned away drew nothing there, so an account
that gives way would seem inside however much it asks: what it was turned away inside quota is drawn from a store here.

What an account *counts* for where the fleet is shared out is another question. Where gates refuse, they do so before
they look at quotas, and each of an account's limiters sees a full store: all of them would count its excess. So each
counts what fits an even share of the quota, and whatever limiters its tries come through, they count its quota once.
"""

from __future__ import annotations

import math

from cachetools import LRUCache

from cypresspulley import interface as api
from cypresspulley.policy.account import OTHERS_DECAY_SECONDS, Account
from cypresspulley.policy.quota import Quotas

MOST_STORES = 20_000  # accounts that are kept, the longest unseen forgotten
UNEVEN = 1.25  # times the even share that counts: tries come unevenly


def level_at(a: Account, now: float) -> float:
    """Units that an account's store seems to hold at ``now``: what ``Account.refill`` would make of it."""
    plan, dt = a.plan, max(0.0, now - a.refilled_at)
    if a.heard_at:
        used = a.others_rate * OTHERS_DECAY_SECONDS * (1 - math.exp(-dt / OTHERS_DECAY_SECONDS))
        return min(plan.burst, a.level + plan.rate * dt - used)
    paid = min(a.debt, plan.rate * dt)
    unread = plan.rate * (now - a.synced_at) * (a.gateways > 1)
    return min(plan.burst + unread, a.level + plan.rate * dt - paid)


def floor_at(a: Account, now: float) -> float:
    """Units of this limiter's even share of the store."""
    return min(a.share_burst, a.share_level + a.plan.rate / a.gateways * max(0.0, now - a.refilled_at))


class Stores:
    """Reckons by the decisions' ``quotas``, and by what was asked and turned away here."""

    def __init__(self, quotas: Quotas, settings: api.Settings) -> None:
        self._quotas, self._set = quotas, settings
        self._plans = {plan.name: plan for plan in settings.plans}
        # Level, as of when: of the quota less what was turned away; of the even share of it.
        self._turned = LRUCache[tuple[str, str], tuple[float, float]](MOST_STORES)
        self._shares = LRUCache[tuple[str, str], tuple[float, float]](MOST_STORES)

    def __repr__(self) -> str:
        return f"<Stores of {len(self._shares)} accounts, {len(self._turned)} turned away>"

    def retune(self, settings: api.Settings) -> None:
        self._set = settings
        self._plans = {plan.name: plan for plan in settings.plans}

    def counts(self, now: float, ev: api.Request) -> bool:
        """Whether a first try counts for what its account asks inside its quota; it then draws its units."""
        plan = self._plans.get(ev.plan)
        if plan is None or plan.rate <= 0:
            return True
        share = max(1, ev.gateways)
        most = max(plan.burst / share, ev.units)
        level, at = self._shares.get((ev.plan, ev.account), (most, now))
        level = min(most, level + UNEVEN * plan.rate / share * max(0.0, now - at))
        fits = level >= ev.units
        self._shares[ev.plan, ev.account] = level - ev.units * fits, now
        return fits

    def inside(self, now: float, ev: api.Request) -> bool:
        """Whether a try that comes now is inside its quota."""
        a = self._quotas.accounts.get((ev.plan, ev.account))
        plan = a.plan if a is not None else self._plans.get(ev.plan)
        if plan is None or plan.rate <= 0:
            return a is None or plan is None or not 0 < plan.open_limit <= a.open_attempts
        if (ev.plan, ev.account) in self._turned and self._level(now, plan, ev) < ev.units:
            return False
        if a is None:
            return ev.units <= plan.burst + 1e-9
        if 0 < plan.open_limit <= a.open_attempts:
            return False
        if level_at(a, now) >= ev.units:
            return True
        alone = a.low_traffic or not self._set.has_counter or now < self._quotas.counter_calls.silent_until
        return alone and floor_at(a, now) >= ev.units

    def short(self, now: float, ev: api.Request) -> float:
        """Seconds until its account's store seems to hold what the try asks; 0 for an account that is not known."""
        a = self._quotas.accounts.get((ev.plan, ev.account))
        if a is None or a.plan.rate <= 0:
            return 0.0
        return max(0.0, (ev.units - level_at(a, now)) / a.plan.rate)

    def turned(self, now: float, ev: api.Request) -> None:
        """A lane turned away a first try that was inside: it would have drawn its units."""
        plan = self._plans.get(ev.plan)
        if plan is not None and plan.rate > 0 and not ev.repeat:
            self._turned[ev.plan, ev.account] = self._level(now, plan, ev) - ev.units, now

    def _level(self, now: float, plan: api.Plan, ev: api.Request) -> float:
        level, at = self._turned.get((ev.plan, ev.account), (plan.burst, now))
        return min(plan.burst, level + plan.rate * max(0.0, now - at))
