"""Quotas and what gateways tell each other of them: the accounts, the counter's calls, the messages."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import partial
from random import Random

from cypresspulley import interface as api
from cypresspulley.interface import Action, Status
from cypresspulley.messages import KEYS
from cypresspulley.policy.account import Account, CountCallback, CounterCalls
from cypresspulley.policy.classes import Plans
from cypresspulley.policy.incarnation import Incarnation
from cypresspulley.policy.request import Request
from cypresspulley.policy.slots import PERIOD_SECONDS, Slots
from cypresspulley.policy.usage import UsageBroadcast
from cypresspulley.policy.walltime import WallTime
from cypresspulley.policy.windows import CeilingWindow

UNVERIFIED_COST_SHARE = 0.08  # of the worth asked inside quotas, what the rest may cost
ESTIMATE_WEIGHT = 0.1  # a weight
ACCOUNT_IDLE_SECONDS = 60.0  # idle seconds until an account is dropped
COUNT_LIFETIME_SECONDS = 60.0  # seconds that a shared count lives
MAX_MESSAGE_GAP_SECONDS = (
    3.0  # seconds with no message of another gateway after which the even share alone counts
)


@dataclass(frozen=True, slots=True)
class Verdict:
    """Whether a try is inside its quota. ``counted``: what the counter was told of it already, None for nothing."""

    within_quota: bool
    counted_units: float | None = None
    basis: str = "count"  # who vouches for its units: that, window, message, even share, level, nobody
    refuse_reason: str = "quota"  # what it is refused for where it is not


class Quotas:
    """``emit`` takes the actions; they are this gateway's alone, and so are all accounts here."""

    def __init__(
        self, settings: api.Settings, rng: Random, now: float, emit: Callable[[Action], None],
        open_: dict[int, Request], launch: Callable[[float, Request, Verdict], None],
    ) -> None:  # fmt: skip
        self._open_requests = open_
        self._launch = launch
        self._rng = rng
        self._started_at = now
        self._emit = emit
        self._apply_settings(settings)
        self.dropped_plans = Plans(settings)
        self.accounts = dict[tuple[str, str], Account]()
        self.usage_broadcast: UsageBroadcast | None = None
        self._accounts_by_key = dict[int, Account]()  # by the part of a name that messages carry
        self._configure_usage_broadcast(now, settings)
        self.counter_calls = CounterCalls(now, settings.gateways, rng.random(), emit)
        self.incarnation = Incarnation(settings, rng, now)
        self.wall_time = WallTime()
        self._unverified_allowance = 0.0  # left of what the rest may cost
        self._older_count_share = 0.5  # share of answers
        self._over_quota_share = 0.2  # share of answers

    def _apply_settings(self, settings: api.Settings) -> None:
        self._settings = settings
        self._plans = {p.name: p for p in settings.plans}
        self._mean_price = sum(p.price for p in settings.plans) / max(1, len(settings.plans)) or 1.0

    def _configure_usage_broadcast(self, now: float, settings: api.Settings) -> None:
        """Messages between gateways, where there is a way for them and no counter."""
        if not settings.may_tell or settings.inbox <= 0 or settings.gateways < 2 or settings.has_counter:
            self.usage_broadcast = None
        elif self.usage_broadcast is None:
            self.usage_broadcast = UsageBroadcast(now, settings.gateways, settings.inbox)
            self._accounts_by_key = {a.counter_name % KEYS: a for a in self.accounts.values()}
        else:
            self.usage_broadcast.set_gateways(settings.gateways, settings.inbox)

    def update_settings(self, now: float, settings: api.Settings) -> None:
        """Other settings. Levels go on, under the new plans' bounds; an account of a dropped plan keeps its own."""
        self._apply_settings(settings)
        self.dropped_plans.change(now, settings)
        for (_, account), a in self.accounts.items():
            a.refill(now)
            a.apply_plan(self._plans.get(a.plan.name, a.plan), f"{a.plan.name} {account}", settings)
        for r in self._open_requests.values():
            r.slot = r.slot and r.account.slots is not None
        self.counter_calls.set_gateways(settings.gateways)
        self.incarnation.update_settings(settings)
        self._configure_usage_broadcast(now, settings)

    def get_or_create_account(self, now: float, ev: api.Request) -> Account:
        """The account that a try is of, refilled to now."""
        key = ev.plan, ev.account
        if (a := self.accounts.get(key)) is None:
            plan = self._plans.get(ev.plan) or self.dropped_plans.record(now, ev.plan) or api.Plan(ev.plan)
            a = self.accounts[key] = Account(now, ev, plan, self._started_at, self._settings)
            if self.incarnation.is_first:
                a.fill_ceiling()
            if self.usage_broadcast is not None:
                self._accounts_by_key[a.counter_name % KEYS] = a
                self.usage_broadcast.apply_unknown_use(now, a)
                a.heard_at = now
        a.refill(now)
        self._call_for_incarnation(now)
        return a

    def _call_for_incarnation(self, now: float) -> None:
        """The counter is asked whether this gateway was there before, and told that it is, when that is due."""
        if (call := self.incarnation.next_call(now)) is not None:
            self.counter_calls.call(now, call.name, call.lifetime, call.amount, self._on_incarnation_answer)

    def _on_incarnation_answer(self, now: float, ev: api.Counted) -> None:
        for account in self.accounts.values() if self.incarnation.on_answer(now, ev) else ():
            account.fill_ceiling()

    def tick(self, now: float) -> None:
        """Once an interval: idle accounts go, what is owed to the counter is told."""
        self._call_for_incarnation(now)
        for key, a in list(self.accounts.items()):
            # A ceiling is full before it is forgotten: a new account would start with more than was left.
            grown = a.ceiling_level * a.gateways + a.local_ceiling_part * a.plan.ceiling_rate * (
                now - a.refilled_at
            )
            full = grown >= a.local_ceiling_part * a.plan.ceiling_burst
            if now - a.refilled_at > ACCOUNT_IDLE_SECONDS and not a.open_attempts and full:
                del self.accounts[key]
                self._accounts_by_key.pop(a.counter_name % KEYS, None)
                continue
            if (
                a.slots is not None
                and a.slots.has_unreported(self.wall_time.at(now))
                and self.counter_calls.available(now) >= 1
            ):
                self._report_open(now, a.slots)
            if abs(a.unreported) > 1e-9 and now - a.last_call_at > 1.0 and a.level < 0.7 * a.plan.burst:
                self.report_use(now, a)

    @staticmethod
    def exceeds_capacity(r: Request) -> bool:
        """Whether no store of the plan could ever hold it here: waiting for one would be in vain."""
        a, plan = r.account, r.account.plan
        most = max(
            a.local_ceiling_part * plan.ceiling_burst / a.gateways, a.window.capacity if a.window else 0.0
        )
        capped = plan.ceiling_rate > 0 and r.most > most + 1e-9
        return capped or (plan.rate > 0 and r.units > plan.burst + 1e-9)

    @staticmethod
    def ceiling_share_holds(r: Request) -> bool:
        """Whether the even share of the ceiling holds it, or a window that was asked."""
        return r.account.plan.ceiling_rate <= 0 or r.granted is not None or r.account.ceiling_level >= r.most

    def window_may_grant(self, now: float, r: Request) -> bool:
        """Whether its window may hold what the even share does not: by the counter, or by what is kept here."""
        window, in_time = r.account.window, r.deadline - now >= 3 * self._settings.counter_timeout
        if window is None:
            return False
        asks = in_time and window.may_grant(now, r.most) and self.counter_calls.available(now) >= 1
        return asks or window.has_credit(now, r.most)

    @staticmethod
    def return_window_grant(r: Request) -> None:
        """What a window holds for a try that was not sent on: no count is lowered, which could have ended meanwhile."""
        if r.granted is not None and r.account.window is not None:
            r.account.window.add_credit(r.granted, r.most)
        r.granted = None

    def _request_window_grant(self, now: float, r: Request, window: CeilingWindow) -> None:
        answered = partial(self._on_window_answer, r, now)
        self.counter_calls.call(now, window.counter_name, window.length, r.most, answered)

    def _on_window_answer(self, r: Request, asked: float, now: float, ev: api.Counted) -> None:
        r.account.refill(now)
        if ev.status is Status.OK and (window := r.account.window) is not None:
            r.granted = window.apply_answer(asked, now, ev.total, r.most, self._rng.random())
        if self._open_requests.get(r.id) is not r:
            self.return_window_grant(r)  # its client left meanwhile
        elif r.granted is not None:
            self._launch(now, r, self._check_by_level(now, r))
        else:
            self._launch(now, r, Verdict(False, refuse_reason="ceiling"))

    @staticmethod
    def _check_by_level(now: float, r: Request) -> Verdict:
        """Inside its quota as far as is known here: a ceiling kept by its windows bounds what passes unseen."""
        a = r.account
        level = min(a.plan.burst, a.level - a.others_rate * (now - a.synced_at))
        return Verdict(a.plan.rate <= 0 or level >= r.units, 0.0, "window")

    def check_quota(self, now: float, r: Request) -> Verdict | None:
        """Whether a try is inside its quota, by the first who can vouch for its units; None: the counter is asked."""
        a, plan = r.account, r.account.plan
        self._unverified_allowance = min(
            r.worth,
            self._unverified_allowance
            + UNVERIFIED_COST_SHARE * (1 - self._over_quota_share) * r.worth * (not r.repeat),
        )
        if a.window is not None or (a.low_traffic and plan.ceiling_rate > 0 and self._settings.has_counter):
            return self._check_by_window(now, r)
        expected, calls = min(plan.burst, a.level - a.others_rate * (now - a.synced_at)), self.counter_calls
        worst = min(
            0.9 * plan.burst * (1 - 1 / a.gateways), max(a.others_rate, plan.rate) * (now - a.synced_at)
        )
        plenty = expected - worst - 0.1 * plan.burst >= r.units or a.gateways <= 1
        # The fleet shares the counter: with few calls left one request in so many asks, and counts for all.
        chance = min(1.0, calls.available(now) / 2) * min(
            1.0, plan.price / self._mean_price
        )  # and by the stake
        if plan.rate <= 0 or not self.check_open_limit(now, r):
            return Verdict(bool(self.check_open_limit(now, r)), basis="level")
        if self.usage_broadcast is not None and now - self.usage_broadcast.heard_at < MAX_MESSAGE_GAP_SECONDS:
            return Verdict(a.level >= r.units, basis="message")
        if not self._settings.has_counter or now < calls.silent_until:
            inside = expected >= r.units if a.low_traffic else a.share_level >= r.units * self._rng.random()
            return Verdict(inside, basis="even share")
        if a.level < r.units or (plenty and not a.low_traffic):
            return Verdict(a.level >= r.units, basis="level")
        late = r.deadline - now < 3 * self._settings.counter_timeout
        if late or plan.over_worth > plan.over_cost or chance < max(0.05, self._rng.random()):
            return self._check_unverified(r, expected)
        # Near the quota the counter is asked first, with the units where they will likely be granted.
        step = 0.0 if r.repeat and a.low_traffic else r.units / (max(0.4, chance) if a.low_traffic else 1.0)
        self.report_use(now, a, r, step)
        return None

    def _check_by_window(self, now: float, r: Request) -> Verdict | None:
        """The verdict on a try whose ceiling is kept by a window, or by an even share of which little is known."""
        window, verdict = r.account.window, self._check_by_level(now, r)
        if window is None or self.ceiling_share_holds(r):
            return verdict
        if not verdict.within_quota and r.account.plan.over_worth <= r.account.plan.over_cost:
            return verdict  # it is refused anyway: it needs nothing of the window
        r.granted = window.use_credit(now, r.most)
        if r.granted is not None:
            return verdict
        self._request_window_grant(now, r, window)
        return None

    def _check_unverified(self, r: Request, expected: float) -> Verdict:
        """Nobody vouches for its units. What comes again or often here is most likely beyond its quota; of the rest so
        much passes as may cost a part of what is asked inside quotas here: summed over gateways, the same part."""
        a, allowed = r.account, self._unverified_allowance >= 0
        passes = expected >= r.units and (
            not a.low_traffic or (allowed and not r.repeat and a.share_level >= r.units)
        )
        self._unverified_allowance -= (
            passes * a.low_traffic * self._over_quota_share * a.plan.over_cost * r.worth
        )
        return Verdict(passes, 0.0 if a.low_traffic else None, "nobody")

    def record_sent(self, now: float, r: Request, verdict: Verdict) -> None:
        """A try was sent on: it takes its units."""
        a, plan = r.account, r.account.plan
        if plan.ceiling_rate > 0 and r.granted is None:
            a.ceiling_level, a.ceiling_drawn = a.ceiling_level - r.most, a.ceiling_drawn + r.most
        if not verdict.within_quota:
            return
        counted, r.inside = verdict.counted_units, True
        a.share_level = max(-r.units, a.share_level - r.units)
        a.level = max(0.0, a.level - (0.0 if counted else r.units))
        a.unreported += r.units * (counted is None)
        a.own_recent_use += r.units
        if self.usage_broadcast is not None:
            self.usage_broadcast.unreported_accounts[a.counter_name] = a
        due = a.unreported >= 0.3 * min(a.level, plan.burst) / a.gateways
        if counted is None and self._settings.has_counter and due and a.gateways > 1:
            self.report_use(now, a)

    def revert_charge(self, now: float, r: Request, verdict: Verdict) -> Verdict:
        """A try is not sent on inside its quota after all: the count gets back what it was told."""
        if verdict.counted_units:
            self.report_use(now, r.account, own=-verdict.counted_units)
        return Verdict(False)

    def report_use(self, now: float, a: Account, r: Request | None = None, own: float = 0.0) -> None:
        """Tell the counter what is owed and ``own`` more, with the try that waits for its answer."""
        a.unreported, a.level = a.unreported + own, a.level - own
        room = r is not None or own != 0 or self.counter_calls.available(now) >= 1  # what is owed cannot wait
        if room and self._settings.has_counter and a.plan.rate > 0:
            step, a.unreported, a.last_call_at = a.unreported, 0.0, now
            then = partial(self._on_use_counted, a, step, r, own if r is not None else 0.0)
            self.counter_calls.call(now, a.counter_name, COUNT_LIFETIME_SECONDS, step, then)

    def check_open_limit(self, now: float, r: Request, verdict: Verdict | None = None) -> bool | None:
        """Whether its customer may have one more out, as far as is known here: the even share, where nobody can be
        asked. With the verdict on its units it then counts as out; None where the counter is asked and it waits."""
        a, most, slots = r.account, r.account.plan.open_limit, r.account.slots
        if most <= 0 or r.slot:
            return True
        in_time = r.deadline - now >= 3 * self._settings.counter_timeout
        asks = slots is not None and not r.coming and in_time and self.counter_calls.available(now) >= 1
        room = (asks or a.open_attempts < -(-most // a.gateways)) and (
            slots is None or now >= slots.full_until
        )
        if verdict is None or not room or slots is None or r.coming:
            return room
        r.slot = True
        slots.add_open(self.wall_time.at(now), 1)
        if asks:
            self._report_open(now, slots, partial(self._on_open_reported, r, slots, verdict))
        return None if asks else True  # unasked, it is told with the next call

    def on_body_complete(self, now: float, r: Request) -> None:
        """The last byte of its body has come: from now on it counts as out."""
        if r.out and not r.slot and r.account.slots is not None:
            r.slot = True
            r.account.slots.add_open(self.wall_time.at(now), 1)

    def _report_open(self, now: float, slots: Slots, then: CountCallback = lambda _now, _ev: None) -> None:
        name, amount, period = slots.take_report()

        def told(now: float, ev: api.Counted) -> None:
            if ev.status in api.NEVER_ADDED:
                slots.restore_report(period, amount)
            then(now, ev)

        self.counter_calls.call(now, name, 2 * PERIOD_SECONDS, amount, told)

    def _on_open_reported(
        self, r: Request, slots: Slots, verdict: Verdict, now: float, ev: api.Counted
    ) -> None:
        a, most = r.account, r.account.plan.open_limit
        if self._open_requests.get(r.id) is not r:
            self.revert_charge(now, r, verdict)  # its client left meanwhile
            return
        room = ev.total <= most + 1e-6 if ev.status is Status.OK else a.open_attempts < -(-most // a.gateways)
        if most > 0 and not room:  # new settings may have taken the limit away
            self.release_slot(now, r)
            slots.full_until = now + r.work / most
        self._launch(now, r, verdict)

    def release_slot(self, now: float, r: Request) -> None:
        """A try no longer counts among what is out."""
        if r.slot and (slots := r.account.slots) is not None:
            r.slot, slots.full_until = False, 0.0
            slots.add_open(self.wall_time.at(now), -1)
            if slots.unreported and now >= self.counter_calls.silent_until:
                self._report_open(now, slots)

    def _on_use_counted(
        self, a: Account, step: float, r: Request | None, units: float, now: float, ev: api.Counted
    ) -> None:  # fmt: skip
        """The counter's answer; a try that waited for it is launched."""
        a.refill(now)
        if ev.status is Status.OK:
            if (
                older := a.apply_total(now, ev.total, step, units, self._older_count_share >= 0.5)
            ) is not None:
                self._older_count_share += ESTIMATE_WEIGHT * (older - self._older_count_share)
        elif ev.status in api.NEVER_ADDED:  # else it is taken for added: told twice it would be used twice
            a.unreported += step
        asked, r = r is not None, r if r is not None and self._open_requests.get(r.id) is r else None
        own = r.units if r is not None else 0.0
        left = a.level + units - own - (0 if ev.status is Status.OK else a.others_rate * (now - a.synced_at))
        # Where the guess in the step was wrong the count gets the units back, or gets them at all.
        lost = r is not None and a.low_traffic and ev.status is not Status.OK
        verdict = self._check_unverified(r, left + own) if r is not None and lost else Verdict(left >= -1e-6)
        used = own if verdict.within_quota else 0.0
        right = used if units == 0 else -units * (used == 0)
        if r is not None and not r.repeat and ev.status is Status.OK:
            self._over_quota_share += ESTIMATE_WEIGHT * ((used == 0) - self._over_quota_share)
        if asked and right:
            self.report_use(now, a, own=right)
        if r is not None:
            self._launch(now, r, replace(verdict, counted_units=(units or right) if used else 0.0))
        if a.unreported > 0.25 * a.plan.burst and ev.status is Status.OK:
            self.report_use(now, a)
        a.level = max(a.level, 0.0)

    def broadcast_usage(self, now: float) -> None:
        """A message to the others, where one is due."""
        if self.usage_broadcast is not None and self.usage_broadcast.is_due(now):
            self._emit(api.Tell(self.usage_broadcast.write_message(now)))

    def receive_usage(self, now: float, ev: api.Heard) -> None:
        """Another gateway's message."""
        if self.usage_broadcast is None or ev.sender == self._settings.index:
            return
        known, rows = self.usage_broadcast.was_restarted, self.usage_broadcast.read_message(now, ev.text)
        if self.usage_broadcast.was_restarted and not known:
            for account in self.accounts.values():
                account.refill(now)
                self.usage_broadcast.cap_at_even_share(now, account)
        for key, units in rows:
            if (a := self._accounts_by_key.get(key)) is not None:
                a.add_reported_use(now, units)
            else:
                self.usage_broadcast.store_unknown_use(now, key, units)

    def settle(self, _now: float, r: Request, ev: api.Outcome) -> None:
        """What an answer tells of its customer: the request's true units."""
        a = r.account
        # A figure that cannot be true settles nothing: what was taken stays taken, the ceiling's bound as well.
        true = ev.units if ev.status is Status.OK and ev.units is not None else -1.0
        known = 0 <= true <= max(self._settings.max_units, r.most)
        if known and r.bound and a.plan.ceiling_rate > 0 and r.granted is None:
            a.return_ceiling_units(r.most - true)
        if known and r.inside:
            a.settle(true - r.units)
            if self.usage_broadcast is not None:
                self.usage_broadcast.unreported_accounts[a.counter_name] = a
