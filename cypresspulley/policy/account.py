"""One account's quota at one gateway, and the rate limit on calls to the shared counter."""

import math
from collections import deque
from collections.abc import Callable
from dataclasses import replace
from hashlib import blake2b

from cypresspulley import interface as api
from cypresspulley.interface import Action, Status
from cypresspulley.policy.slots import Slots
from cypresspulley.policy.store_share import RETAINED_PART, StoreLevels, StoreShare
from cypresspulley.policy.windows import CeilingWindow, local_ceiling_part

OTHERS_DECAY_SECONDS = 1.0  # time constant with which use reported by other gateways is extrapolated
SILENT_RETRY_SECONDS = 0.25  # between two calls to a counter that does not answer
# Calls to the counter that all gateways together assume it takes at first, and the most that one gateway makes.
MAX_CALLS_PER_SECOND = 300.0
CountCallback = Callable[[float, api.Counted], None]


class CounterCalls:
    """Makes the calls to the shared counter, at an adaptive rate that its answers raise and its failures lower."""

    def __init__(
        self, now: float, gateways: int, draw: float, emit: Callable[[Action], None] = lambda _action: None
    ) -> None:
        self._emit = emit
        # Callback and time of each call, by name; answers arrive in the order of the calls for a name.
        self._in_flight = dict[int, deque[tuple[CountCallback, float]]]()
        self.rate = MAX_CALLS_PER_SECOND / gateways
        self.min_rate = 2 * MAX_CALLS_PER_SECOND / gateways / 100
        # Factor per answer. The settings don't state the counter's capacity, so the rate starts with a slow-start
        # phase that ends with the first miss.
        self._rate_growth = 1.5
        # A random part of a token keeps the gateways of a freshly started fleet from all calling at once.
        self.tokens = 0.2 * self.rate + draw
        self.refilled_at = now
        self.broken_at = now  # time of the last call that ended with a broken connection
        self.silent_until = 0.0  # no call is made before
        self.misses = 0  # failed calls since the last answer

    def set_gateways(self, gateways: int) -> None:
        """Scale the learned rate to another number of gateways that share the counter."""
        min_rate = 2 * MAX_CALLS_PER_SECOND / gateways / 100
        self.rate, self.min_rate = (
            max(min_rate, min(MAX_CALLS_PER_SECOND, self.rate * min_rate / self.min_rate)),
            min_rate,
        )

    def available(self, now: float) -> float:
        """Return the number of calls that may be made now."""
        self.tokens = min(2 + 0.2 * self.rate, self.tokens + self.rate * (now - self.refilled_at))
        self.refilled_at = now
        return self.tokens if now >= self.silent_until else 0.0

    def call(self, now: float, name: int, lifetime: float, amount: float, callback: CountCallback) -> None:
        """Add ``amount`` to a count at the counter. After several misses in a row, calls are sent one at a time until
        one is answered."""
        self.tokens -= 1
        if self.misses > 1:
            self.silent_until = now + SILENT_RETRY_SECONDS
        self._in_flight.setdefault(name, deque()).append((callback, now))
        self._emit(api.Count(name, lifetime, amount))

    def on_answer(self, now: float, event: api.Counted) -> None:
        """Pass the end of a call to its callback."""
        if (calls := self._in_flight.get(event.name)) is not None:
            callback, called_at = calls.popleft()
            if not calls:
                del self._in_flight[event.name]
            self.record_result(now, event.status, called_at)
            callback(now, event)

    def record_result(self, now: float, status: Status, called_at: float) -> None:
        """Adapt the rate to the result of a call made at ``called_at``.

        One miss is a sign of a queue or a broken connection. Two misses without an answer between them mean that the
        counter is silent, which says nothing about its capacity. The calls in flight on a connection that breaks end
        together and count as one miss.
        """
        if status is Status.OK:
            self.misses, self.silent_until = 0, 0.0
            self.rate = min(MAX_CALLS_PER_SECOND, self.rate * self._rate_growth)
        elif status is Status.BROKEN:
            self.misses, self.broken_at = self.misses + (called_at >= self.broken_at), now
        elif status is not Status.MALFORMED:
            if status is Status.FULL or self.misses < 2:
                self.rate, self._rate_growth = max(self.min_rate, self.rate * 0.9), 1.01
            self.misses += status is not Status.FULL
        if status not in (Status.OK, Status.FULL, Status.MALFORMED) and self.misses > 1:
            self.silent_until = now + SILENT_RETRY_SECONDS


class Account:
    """An account's quota as this gateway knows it.

    Many accounts send only one request, so an instance is kept small. Levels are in units of the plan. ``terms`` are
    the plan's terms in force, ``plan`` the part of them that this process may use: the same, except while it hands over
    to another one. ``lent`` is what that one holds of the stores meanwhile.
    """

    __slots__ = (
        "ceiling_drawn",
        "ceiling_level",
        "counter_name",
        "debt",
        "extrapolated_use",
        "gateways",
        "last_call_at",
        "last_contact_at",
        "last_total",
        "lent",
        "level",
        "local_ceiling_part",
        "low_traffic",
        "open_attempts",
        "others_rate",
        "own_recent_use",
        "plan",
        "refilled_at",
        "share_burst",
        "share_level",
        "slots",
        "synced_at",
        "terms",
        "unreported",
        "window",
    )

    def __init__(
        self, now: float, event: api.Request, terms: api.Plan, started_at: float, settings: api.Settings
    ) -> None:
        self.refilled_at = now
        self.last_call_at = now  # time of the last report to the counter
        self.synced_at = started_at  # time of the last total that the counter answered
        self.gateways = gateways = max(1, event.gateways)  # number of gateways that serve this account
        label = f"{event.plan} {event.account}"
        self.slots: Slots | None = None
        self.lent: StoreLevels | None = None
        self.apply_terms(terms, label, settings, StoreShare.WHOLE)
        plan = terms
        self.counter_name = int.from_bytes(blake2b(label.encode(), digest_size=8).digest(), "big") >> 1
        # Level of the whole token bucket, which may exceed its burst until the first total is known, because the
        # total is deducted from it. Where no other gateway draws on the bucket, it starts full.
        self.level = plan.burst + plan.rate * (now - started_at) * (gateways > 1)
        self.share_level = self.share_burst  # level of this gateway's even share of the bucket
        # Level of this gateway's even share of the ceiling. It fills from this process's start, because the process
        # before a restart may have used up the bucket.
        self.ceiling_level = (
            self.local_ceiling_part
            * min(plan.ceiling_burst, plan.ceiling_rate * (now - started_at))
            / gateways
        )
        self.ceiling_drawn = 0.0  # units taken from it since
        self.last_total: float | None = None  # the last total that the counter answered
        self.others_rate = (
            plan.rate * (gateways - 1) / gateways * 0.3
        )  # the other gateways' use, in units per second
        self.unreported = 0.0  # own use not yet reported to the counter or the other gateways
        self.open_attempts = 0
        # The three below serve usage messages, where there is no counter.
        self.extrapolated_use = 0.0  # others' use that was deducted before they reported it
        self.own_recent_use = 0.0  # own use, decaying like the others'
        self.last_contact_at = 0.0  # time of the last message; 0 where messages are not used
        self.debt = 0.0  # units charged when the bucket was empty; deducted from the next refills

    def apply_terms(self, terms: api.Plan, label: str, settings: api.Settings, share: StoreShare) -> None:
        """Set what depends on the plan's terms and the settings, initially and after each change. Levels are kept."""
        self.terms = plan = terms
        self.apply_share(share)
        self.low_traffic = (
            plan.burst < 2 * self.gateways
        )  # an even share of the bucket holds less than 2 units
        self.share_burst = max(
            plan.burst / self.gateways, min(settings.max_units, plan.burst) * self.low_traffic
        )
        self.local_ceiling_part = local_ceiling_part(
            plan, self.gateways, settings.max_units, settings.has_counter
        )
        self.window = CeilingWindow(label, plan) if self.local_ceiling_part < 1 else None
        limits_open_globally = plan.open_limit > 0 and self.gateways > 1 and settings.has_counter
        self.slots = (self.slots or Slots(label)) if limits_open_globally else None
        if self.lent is not None:
            self._cap_stores(self.lent)

    def apply_share(self, share: StoreShare) -> None:
        """Limit the terms in force to the part of the stores that this process may use. Levels are kept."""
        self.plan = share.limit(self.terms)

    def stores(self) -> StoreLevels:
        """Return what is in the stores here."""
        return StoreLevels(self.level, self.share_level, self.ceiling_level, self.unreported)

    def lend(self, kept: StoreLevels | None = None) -> None:
        """Keep at most ``kept`` of each store; the rest, and what is unreported, is held by a successor.

        By default ``RETAINED_PART`` is kept.
        """
        whole = self.stores()
        kept = kept or whole.scaled(RETAINED_PART)
        self.level = min(whole.level, kept.level)
        self.share_level = min(whole.share_level, kept.share_level)
        self.ceiling_level = min(whole.ceiling_level, kept.ceiling_level)
        self.unreported = 0.0
        self.lent = StoreLevels(
            whole.level - self.level,
            whole.share_level - self.share_level,
            whole.ceiling_level - self.ceiling_level,
            whole.unreported,
        )

    def within_plan(self, stores: StoreLevels) -> StoreLevels:
        """Return as much of ``stores`` as this process may hold."""
        ceiling = self.local_ceiling_part * self.plan.ceiling_burst / self.gateways
        return replace(
            stores, level=min(stores.level, self.plan.burst), ceiling_level=min(stores.ceiling_level, ceiling)
        )

    def _cap_stores(self, lent: StoreLevels) -> None:
        """Drop what the stores, with what is lent of them, cannot hold by the terms in force."""
        kept = self.within_plan(self.stores())
        self.level, self.ceiling_level = kept.level, kept.ceiling_level
        ceiling = self.local_ceiling_part * self.terms.ceiling_burst / self.gateways
        self.lent = replace(
            lent,
            level=max(0.0, min(lent.level, self.terms.burst - self.level)),
            share_level=max(0.0, min(lent.share_level, self.share_burst - self.share_level)),
            ceiling_level=max(0.0, min(lent.ceiling_level, ceiling - self.ceiling_level)),
        )

    def take_back(self) -> None:
        """Hold the whole stores again: a successor has drawn nothing of what it held."""
        lent, self.lent = self.lent, None
        if lent is not None:
            self.level += lent.level
            self.share_level += lent.share_level
            self.ceiling_level += lent.ceiling_level
            self.unreported += lent.unreported

    def refill(self, now: float) -> None:
        """Refill all levels up to ``now``."""
        plan, elapsed = self.plan, max(0.0, now - self.refilled_at)
        self.refilled_at = max(now, self.refilled_at)
        if self.last_contact_at:
            self._extrapolate_others(elapsed)
        else:
            paid = min(self.debt, plan.rate * elapsed)
            self.debt -= paid
            gain = plan.rate * elapsed - paid
            # Until the next total arrives, the level may exceed the burst by what was refilled since the last one.
            refilled_since_sync = plan.rate * (now - self.synced_at) * (self.gateways > 1)
            self.level = min(plan.burst + refilled_since_sync, self.level + gain)
        self.share_level = min(self.share_burst, self.share_level + plan.rate / self.gateways * elapsed)
        whole = self.ceiling_level * self.gateways + self.local_ceiling_part * plan.ceiling_rate * elapsed
        self.ceiling_level = min(self.local_ceiling_part * plan.ceiling_burst, whole) / self.gateways

    def has_full_ceiling(self, now: float) -> bool:
        """Whether this gateway's part of the ceiling will be full again at ``now``."""
        units = self.ceiling_level * self.gateways + self.local_ceiling_part * self.plan.ceiling_rate * (
            now - self.refilled_at
        )
        return units >= self.local_ceiling_part * self.plan.ceiling_burst

    def fill_ceiling(self) -> None:
        """Fill the even share of the ceiling, less what was drawn since. No earlier incarnation of this gateway drew
        on it, so it was full when this one started."""
        self.ceiling_level = max(
            self.ceiling_level,
            self.local_ceiling_part * self.plan.ceiling_burst / self.gateways - self.ceiling_drawn,
        )

    def empty(self) -> None:
        """Count all stores as drawn, because their contents are not known."""
        self.level = self.share_level = self.ceiling_level = 0.0
        self.ceiling_drawn = self.local_ceiling_part * self.plan.ceiling_burst / self.gateways

    def resume_after_wait(self, now: float, drawn: float) -> None:
        """Go on at ``now`` after units were drawn elsewhere while the terms were not known.

        The terms of that time stay unknown: its refill makes up for what was drawn, and gives nothing beyond that.
        """
        elapsed = max(0.0, now - self.refilled_at)
        self.refilled_at = max(now, self.refilled_at)
        part = self.local_ceiling_part / self.gateways
        self.level = max(0.0, self.level - max(0.0, drawn - self.plan.rate * elapsed))
        self.share_level -= max(0.0, drawn - self.plan.rate / self.gateways * elapsed)
        self.ceiling_level -= max(0.0, drawn - part * self.plan.ceiling_rate * elapsed)
        self.ceiling_drawn += drawn

    def return_ceiling_units(self, units: float) -> None:
        """Return units that were taken from the even share of the ceiling and not used."""
        self.ceiling_level = min(
            self.local_ceiling_part * self.plan.ceiling_burst / self.gateways, self.ceiling_level + units
        )

    def _extrapolate_others(self, elapsed: float) -> None:
        """Deduct the use to expect from the other gateways between two messages: their last rate, decaying."""
        decay = math.exp(-elapsed / OTHERS_DECAY_SECONDS)
        expected_use = self.others_rate * OTHERS_DECAY_SECONDS * (1 - decay)
        self.others_rate, self.own_recent_use = self.others_rate * decay, self.own_recent_use * decay
        self.extrapolated_use += expected_use
        self.level = min(self.plan.burst, self.level + self.plan.rate * elapsed - expected_use)

    def settle(self, units: float) -> None:
        """Charge the difference between a request's true units and those charged for it (below 0: a refund)."""
        paid = min(self.debt, max(0.0, -units))
        self.debt -= paid
        self.level, self.share_level = self.level - units - paid, self.share_level - units
        self.unreported, self.own_recent_use = self.unreported + units, max(0.0, self.own_recent_use + units)
        if not self.last_contact_at and self.level < 0:
            self.level, self.debt = 0.0, self.debt - self.level

    def add_reported_use(self, now: float, units: float) -> None:
        """Deduct what another gateway reports as used since its last message (below 0: a refund)."""
        if not self.last_contact_at:
            # With messages, the level is that of the whole bucket and no longer exceeds the burst.
            self.level, self.others_rate = min(self.level, self.plan.burst), 0.0
        self.last_contact_at = now
        self.refill(now)
        already_deducted = min(self.extrapolated_use, max(0.0, units))
        self.extrapolated_use -= already_deducted
        self.level = max(-self.plan.burst, self.level - (units - already_deducted))
        self.others_rate = max(0.0, self.others_rate + units / OTHERS_DECAY_SECONDS)

    def apply_total(
        self, now: float, total: float, reported: float, advance_units: float, most_are_older: bool
    ) -> bool | None:
        """Deduct what the other gateways used since the last total, from the counter's new ``total``.

        ``reported`` is what the call itself added, ``advance_units`` the part of it for a request that is not sent
        yet. Of a first total, returns whether it exceeds what a bucket can have given that was full when this gateway
        started, so that the count is older than the gateway; None otherwise. ``most_are_older`` says that most first
        totals were: then such a count is no evidence of overuse.
        """
        # A total that has dropped has expired, was flushed, or restarted at 0: all that it holds came since.
        has_dropped = total < (self.last_total or 0.0) * 0.5
        others_use = (
            max(0.0, total - reported) if has_dropped else total - reported - (self.last_total or 0.0)
        )
        age = max(0.05, now - self.synced_at)
        self.others_rate += min(1.0, age / 3) * (max(0.0, others_use) / age - self.others_rate)
        self.level -= others_use
        is_older = self.level < -self.plan.burst if self.last_total is None else None
        self.level = self.plan.burst / 2 if is_older and most_are_older else self.level
        self.last_total, self.synced_at = total, now
        # Refill beyond a full bucket is lost. It is reported as used, so that the level follows from the count alone.
        lost = max(0.0, self.level + advance_units - self.plan.burst)
        self.level -= lost
        # With low traffic here, another gateway may report the loss: only a large one is reported.
        self.unreported += lost * (not self.low_traffic or lost > 0.5 * self.plan.burst)
        return is_older
