"""One customer's quota at one gateway, and how many calls the shared counter bears."""

import math
from collections import deque
from collections.abc import Callable
from hashlib import blake2b

from cypresspulley import interface as api
from cypresspulley.interface import Action, Status
from cypresspulley.policy.slots import Slots
from cypresspulley.policy.windows import CeilingWindow, local_ceiling_part

OTHERS_DECAY_SECONDS = (
    1.0  # seconds over which the others' use, told by messages, is taken for what they go on using
)
SILENT_RETRY_SECONDS = 0.25  # seconds between two calls to a counter that is silent
MAX_CALLS_PER_SECOND = (
    300.0  # calls a second to the counter, thought possible at first by all, and at most by one
)
CountCallback = Callable[[float, api.Counted], None]


class CounterCalls:
    """How many calls the counter bears, and whether it answers at all."""

    def __init__(
        self, now: float, gateways: int, draw: float, emit: Callable[[Action], None] = lambda _action: None
    ) -> None:
        self._emit = emit
        # What each answer is for and when it was asked, by name: answers come in the order of the calls for a name.
        self._in_flight = dict[int, deque[tuple[CountCallback, float]]]()
        self.rate = MAX_CALLS_PER_SECOND / gateways
        self.min_rate = 2 * MAX_CALLS_PER_SECOND / gateways / 100
        self._rate_growth = 1.5  # by an answer: no settings tell what it bears; slow start up to a first miss
        self.tokens = 0.2 * self.rate + draw  # in random debt: fresh fleets call in turn
        self.refilled_at = now
        self.broken_at = now
        self.silent_until = 0.0
        self.misses = 0

    def set_gateways(self, gateways: int) -> None:
        """Another number of gateways shares the counter: what was learnt of it goes on, in proportion."""
        least = 2 * MAX_CALLS_PER_SECOND / gateways / 100
        self.rate, self.min_rate = (
            max(least, min(MAX_CALLS_PER_SECOND, self.rate * least / self.min_rate)),
            least,
        )

    def available(self, now: float) -> float:
        """Calls that may be made now."""
        self.tokens = min(2 + 0.2 * self.rate, self.tokens + self.rate * (now - self.refilled_at))
        self.refilled_at = now
        return self.tokens if now >= self.silent_until else 0.0

    def call(self, now: float, name: int, lifetime: float, amount: float, then: CountCallback) -> None:
        """Make a call. After a row of misses they go one at a time, until one is answered."""
        self.tokens -= 1
        if self.misses > 1:
            self.silent_until = now + SILENT_RETRY_SECONDS
        self._in_flight.setdefault(name, deque()).append((then, now))
        self._emit(api.Count(name, lifetime, amount))

    def on_answer(self, now: float, ev: api.Counted) -> None:
        """The counter's answer, to what asked for it."""
        if (line := self._in_flight.get(ev.name)) is not None:
            then, made = line.popleft()
            if not line:
                del self._in_flight[ev.name]
            self.record_result(now, ev.status, made)
            then(now, ev)

    def record_result(self, now: float, status: Status, made: float) -> None:
        """One miss is a queue or a break; two with no answer between are silence, which says nothing of how many calls
        the counter bears. Calls that were out together end together when their connection breaks: one miss."""
        if status is Status.OK:
            self.misses, self.silent_until = 0, 0.0
            self.rate = min(MAX_CALLS_PER_SECOND, self.rate * self._rate_growth)
        elif status is Status.BROKEN:
            self.misses, self.broken_at = self.misses + (made >= self.broken_at), now
        elif status is not Status.SPOILT:
            if status is Status.FULL or self.misses < 2:
                self.rate, self._rate_growth = max(self.min_rate, self.rate * 0.9), 1.01
            self.misses += status is not Status.FULL
        if status not in (Status.OK, Status.FULL, Status.SPOILT) and self.misses > 1:
            self.silent_until = now + SILENT_RETRY_SECONDS


class Account:
    """A customer's quota as this gateway knows it; many come once only, so it is kept small."""

    __slots__ = (
        "ceiling_drawn",
        "ceiling_level",
        "counter_name",
        "debt",
        "extrapolated_use",
        "gateways",
        "heard_at",
        "last_call_at",
        "last_total",
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
        "unreported",
        "window",
    )  # fmt: skip

    def __init__(
        self, now: float, ev: api.Request, plan: api.Plan, born: float, settings: api.Settings
    ) -> None:
        self.refilled_at = now
        self.last_call_at = now
        self.synced_at = born
        self.gateways = share = max(1, ev.gateways)
        label = f"{ev.plan} {ev.account}"
        self.slots: Slots | None = None
        self.apply_plan(plan, label, settings)
        self.counter_name = int.from_bytes(blake2b(label.encode(), digest_size=8).digest(), "big") >> 1
        # Of the whole store; a reading cuts it. Where nobody else draws on it, it is simply full.
        self.level = plan.burst + plan.rate * (now - born) * (share > 1)
        self.share_level = self.share_burst
        # A restart finds the ceiling's store used, so the share fills from this instance's birth.
        self.ceiling_level = (
            self.local_ceiling_part * min(plan.ceiling_burst, plan.ceiling_rate * (now - born)) / share
        )
        self.ceiling_drawn = 0.0  # units taken from it
        self.last_total: float | None = None
        self.others_rate = plan.rate * (share - 1) / share * 0.3  # their use a second
        self.unreported = 0.0  # own use that the others have not been told
        self.open_attempts = 0  # attempts out
        # Without a counter:
        self.extrapolated_use = 0.0  # the others' use taken off the level and not yet told
        self.own_recent_use = 0.0  # own use a second
        self.heard_at = 0.0  # since when
        self.debt = 0.0  # units that turned out to be due when the store held none: the next ones pay them

    def apply_plan(self, plan: api.Plan, label: str, settings: api.Settings) -> None:
        """What the plan bounds: at first, and when new settings hold. Levels go on under it."""
        self.plan = plan
        self.low_traffic = plan.burst < 2 * self.gateways  # the even share holds next to nothing
        self.share_burst = max(
            plan.burst / self.gateways, min(settings.max_units, plan.burst) * self.low_traffic
        )
        self.local_ceiling_part = local_ceiling_part(
            plan, self.gateways, settings.max_units, settings.has_counter
        )
        self.window = CeilingWindow(label, plan) if self.local_ceiling_part < 1 else None
        shared = plan.open_limit > 0 and self.gateways > 1 and settings.has_counter
        self.slots = (self.slots or Slots(label)) if shared else None

    def refill(self, now: float) -> None:
        plan, dt, self.refilled_at = self.plan, max(0.0, now - self.refilled_at), now
        if self.heard_at:
            self._extrapolate_others(dt)
        else:
            paid = min(self.debt, plan.rate * dt)
            self.debt -= paid
            gain = plan.rate * dt - paid
            unread = plan.rate * (now - self.synced_at) * (self.gateways > 1)
            self.level = min(plan.burst + unread, self.level + gain)
        self.share_level = min(self.share_burst, self.share_level + plan.rate / self.gateways * dt)
        whole = self.ceiling_level * self.gateways + self.local_ceiling_part * plan.ceiling_rate * dt
        self.ceiling_level = min(self.local_ceiling_part * plan.ceiling_burst, whole) / self.gateways

    def fill_ceiling(self) -> None:
        """No earlier incarnation of this gateway drew on the even share: it was full when this one began."""
        self.ceiling_level = max(
            self.ceiling_level,
            self.local_ceiling_part * self.plan.ceiling_burst / self.gateways - self.ceiling_drawn,
        )

    def return_ceiling_units(self, units: float) -> None:
        """Units that were taken from the even share of the ceiling and not used."""
        self.ceiling_level = min(
            self.local_ceiling_part * self.plan.ceiling_burst / self.gateways, self.ceiling_level + units
        )

    def _extrapolate_others(self, dt: float) -> None:
        """Between two messages the others go on as they did, ever less surely."""
        fade = math.exp(-dt / OTHERS_DECAY_SECONDS)
        use = self.others_rate * OTHERS_DECAY_SECONDS * (1 - fade)
        self.others_rate, self.own_recent_use = self.others_rate * fade, self.own_recent_use * fade
        self.extrapolated_use += use
        self.level = min(self.plan.burst, self.level + self.plan.rate * dt - use)

    def settle(self, units: float) -> None:
        """A request inside the quota truly cost so many units more than was taken for it (below 0: less)."""
        paid = min(self.debt, max(0.0, -units))
        self.debt -= paid
        self.level, self.share_level = self.level - units - paid, self.share_level - units
        self.unreported, self.own_recent_use = self.unreported + units, max(0.0, self.own_recent_use + units)
        if not self.heard_at and self.level < 0:
            self.level, self.debt = 0.0, self.debt - self.level

    def add_reported_use(self, now: float, units: float) -> None:
        """Another gateway tells what it sent on since it last told (below 0: what it gives back)."""
        if not self.heard_at:  # from now on the level is of the whole store, and no longer grows past it
            self.level, self.others_rate = min(self.level, self.plan.burst), 0.0
        self.heard_at = now
        self.refill(now)
        known = min(self.extrapolated_use, max(0.0, units))
        self.extrapolated_use -= known
        self.level = max(-self.plan.burst, self.level - (units - known))
        self.others_rate = max(0.0, self.others_rate + units / OTHERS_DECAY_SECONDS)

    def apply_total(self, now: float, total: float, step: float, units: float, young: bool) -> bool | None:
        """The count answers: what the others used since the last total, and so what the store holds. Of a first total:
        whether it is over what a store that was full at this gateway's start gave; ``young``: most are, being older."""
        # A total that fell has expired, was flushed or restarted empty: what it holds came since.
        fallen = total < (self.last_total or 0.0) * 0.5
        others = max(0.0, total - step) if fallen else total - step - (self.last_total or 0.0)
        age = max(0.05, now - self.synced_at)
        self.others_rate += min(1.0, age / 3) * (max(0.0, others) / age - self.others_rate)
        self.level -= others
        older = self.level < -self.plan.burst if self.last_total is None else None
        self.level = self.plan.burst / 2 if older and young else self.level  # such a count tells nothing yet
        self.last_total, self.synced_at = total, now
        # What a full store could not hold is counted as used: the count alone then tells the store.
        lost = max(0.0, self.level + units - self.plan.burst)
        self.level -= lost
        # Another may tell a thin gate's.
        self.unreported += lost * (not self.low_traffic or lost > 0.5 * self.plan.burst)
        return older
