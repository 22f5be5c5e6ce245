"""Quota checks: accounts, calls to the shared counter, and usage messages between gateways."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from functools import partial
from itertools import islice
from random import Random

from cypresspulley import interface as api
from cypresspulley.interface import Action, Status
from cypresspulley.messages import KEY_COUNT
from cypresspulley.policy.account import Account, CountCallback, CounterCalls
from cypresspulley.policy.classes import PlanRegistry
from cypresspulley.policy.incarnation import Incarnation
from cypresspulley.policy.inherited import AccountKey, InheritedAccounts
from cypresspulley.policy.request import Request
from cypresspulley.policy.slots import PERIOD_SECONDS, Slots
from cypresspulley.policy.store_share import RETAINED_PART, StoreShare
from cypresspulley.policy.usage import UsageBroadcast
from cypresspulley.policy.walltime import WallTime
from cypresspulley.policy.windows import CeilingWindow

# Expected cost of requests that are sent without verification, as a share of the worth requested within quotas.
UNVERIFIED_COST_SHARE = 0.08
ESTIMATE_WEIGHT = 0.1  # weight of a new sample in an exponential moving average
ACCOUNT_IDLE_SECONDS = 60.0  # an account that is idle for longer is dropped
DEFAULT_MAX_ACCOUNTS = 100_000
MAX_DROP_CANDIDATES = 8  # accounts that are considered for dropping when a new one needs room
COUNT_LIFETIME_SECONDS = 60.0  # lifetime of an account's usage count at the counter
MAX_MESSAGE_GAP_SECONDS = 3.0  # without a message from another gateway for longer, only the even share counts


@dataclass(frozen=True, slots=True)
class Verdict:
    """The result of the quota check of one request.

    ``counted_units`` is what was reported to the counter for the request in advance: above 0, its level is charged
    already; 0 means that nothing was reported and nothing will be; None means that its units are reported later.
    """

    within_quota: bool
    counted_units: float | None = None
    basis: str = "count"  # what the verdict rests on: count, window, message, even share, level, or nobody
    refuse_reason: str = "quota"


class Quotas:
    """The quotas of all accounts at one gateway; actions are passed to ``emit``."""

    def __init__(
        self, settings: api.Settings, rng: Random, now: float, emit: Callable[[Action], None],
        open_requests: dict[int, Request], launch: Callable[[float, Request, Verdict], None],
    ) -> None:  # fmt: skip
        self._open_requests = open_requests
        self._launch = launch
        self._rng = rng
        self._started_at = now
        self._emit = emit
        self._apply_settings(settings)
        self.plans = PlanRegistry(settings)  # the terms in force
        self._is_handing_over = self._has_late_successor = self._has_predecessor = False
        self.accounts = dict[AccountKey, Account]()
        self.inherited = InheritedAccounts()
        self.max_accounts = DEFAULT_MAX_ACCOUNTS
        self.usage_broadcast: UsageBroadcast | None = None
        self._accounts_by_key = dict[int, Account]()  # by the part of the counter name that messages carry
        self._configure_usage_broadcast(now, settings)
        self.counter_calls = CounterCalls(now, settings.gateways, rng.random(), emit)
        self.incarnation = Incarnation(settings, rng, now)
        self.wall_time = WallTime()
        self._unverified_allowance = 0.0  # worth that unverified requests may still cost
        self._older_count_share = 0.5  # moving share of first totals that began before this gateway started
        self._over_quota_share = 0.2  # moving share of counted first requests that were over quota

    def _apply_settings(self, settings: api.Settings) -> None:
        self._settings = settings
        self._mean_price = sum(plan.price for plan in settings.plans) / max(1, len(settings.plans)) or 1.0

    def _configure_usage_broadcast(self, now: float, settings: api.Settings) -> None:
        """Usage messages are used where gateways can send them and there is no counter."""
        if (
            not settings.may_message_peers
            or settings.inbox_rate <= 0
            or settings.gateways < 2
            or settings.has_counter
        ):
            self.usage_broadcast = None
        elif self.usage_broadcast is None:
            self.usage_broadcast = UsageBroadcast(now, settings.gateways, settings.inbox_rate)
            self._accounts_by_key = {
                account.counter_name % KEY_COUNT: account for account in self.accounts.values()
            }
        else:
            self.usage_broadcast.set_gateways(settings.gateways, settings.inbox_rate)

    def update_settings(self, now: float, settings: api.Settings) -> None:
        """Apply new settings. Accounts keep their levels, bounded by the new plans; the accounts of a dropped plan
        keep that plan."""
        self._apply_settings(settings)
        self.plans.apply_settings(now, settings)
        for (plan, name), account in self.accounts.items():
            account.refill(now)
            terms = self.plans.current.get(plan, account.terms)
            account.apply_terms(terms, f"{plan} {name}", settings, self.share)
        self._adopt_inherited(now)
        for request in self._open_requests.values():
            request.holds_slot = request.holds_slot and request.account.slots is not None
        self.counter_calls.set_gateways(settings.gateways)
        self.incarnation.update_settings(settings)
        self._configure_usage_broadcast(now, settings)

    def keep_inherited_account(self, now: float, event: api.Request) -> Account:
        """Return an account of a predecessor that waits for its plan; its levels are the caller's to set.

        If too many wait, all accounts that are new here count as drawn instead.
        """
        account = Account(now, event, api.Plan(event.plan), now, self._settings)
        if not self.inherited.add(now, (event.plan, event.account), account):
            self.forget_first_incarnation(now)
        return account

    def _adopt_inherited(self, now: float) -> None:
        """Continue the accounts of a predecessor whose plans are known now, in place of what stood in for them."""
        for adopted in self.inherited.take(self.plans.current):
            for substitute in adopted.substitutes:
                self._remove_account(substitute)
            account, (plan, name) = adopted.account, adopted.key
            account.apply_terms(self.plans.current[plan], f"{plan} {name}", self._settings, self.share)
            account.resume_after_wait(now, adopted.drawn)
            self.accounts[adopted.key] = account
            self._accounts_by_key[account.counter_name % KEY_COUNT] = account

    def _remove_account(self, key: AccountKey) -> None:
        account = self.accounts.pop(key, None)
        if account is not None:
            self._accounts_by_key.pop(account.counter_name % KEY_COUNT, None)

    def _all_accounts(self) -> Iterator[Account]:
        yield from self.accounts.values()
        yield from (waiting for _, waiting in self.inherited.items())

    @property
    def share(self) -> StoreShare:
        """The part of each store that this process may use now."""
        if self._is_handing_over:
            return StoreShare.REFILLED if self._has_late_successor else StoreShare.RETAINED
        return StoreShare.RECEIVED if self._has_predecessor else StoreShare.WHOLE

    def set_predecessor(self, has_predecessor: bool) -> None:
        """Note whether a predecessor is still running, which keeps a part of each store until it ends."""
        self._has_predecessor = has_predecessor
        self._apply_share()

    def hand_over(self) -> None:
        """Leave all but a part of each store, and all refills, to a successor."""
        for account in self._all_accounts():
            account.lend()
        self._is_handing_over = True
        self._apply_share()

    def set_late_successor(self, now: float, is_late: bool) -> None:
        """Take the refills, though not the stores, back from a successor that is late, until it serves."""
        self.refill_accounts(now)
        self._has_late_successor = is_late
        self._apply_share()

    def refill_accounts(self, now: float) -> None:
        """Refill the stores of all accounts up to ``now``."""
        for account in self.accounts.values():
            account.refill(now)

    def skip_refills(self, now: float) -> None:
        """Start to refill now: until now the predecessor had the refills, because this process was late."""
        for account in self._all_accounts():
            account.refilled_at = now

    def _share_new_account(self, account: Account) -> None:
        """Limit an account that is new here; its ceiling is left to a successor, where it is new as well."""
        if self._is_handing_over:
            account.lend(replace(account.stores().scaled(RETAINED_PART), ceiling_level=0.0))
        account.apply_share(self.share)

    def take_back(self) -> None:
        """Use the whole stores again: the successor has drawn nothing of what it held."""
        self._is_handing_over = self._has_late_successor = False
        self._apply_share()
        for account in self._all_accounts():
            account.take_back()

    def count_lent_as_used(self, now: float) -> None:
        """Use the stores as they are here from now on: the successor may have drawn what it held.

        It may have drawn on accounts that are new here as well.
        """
        for account in self._all_accounts():
            account.lent = None
        self._is_handing_over = self._has_late_successor = False
        self._apply_share()
        self.forget_first_incarnation(now)

    def _apply_share(self) -> None:
        """Limit the terms in force to this process's share. One that hands over leaves the marks to its successor."""
        self.incarnation.is_paused = self._is_handing_over
        for account in self.accounts.values():
            account.apply_share(self.share)

    def forget_first_incarnation(self, now: float) -> None:
        """Count the ceiling of each account that is new here as drawn: another process may have used it."""
        self._started_at = now
        self.incarnation.forget_first(now)

    def get_or_create_account(self, now: float, event: api.Request) -> Account:
        """Return the account of a request, refilled up to ``now``.

        If ``max_accounts`` others are in use, a new account is not kept, and ``is_tracked`` tells so.
        """
        key = event.plan, event.account
        if (account := self.accounts.get(key)) is None:
            terms = self.plans.find(now, event.plan) or api.Plan(event.plan)
            account = Account(now, event, terms, self._started_at, self._settings)
            if self.incarnation.is_first:
                account.fill_ceiling()
            if self.inherited.holds(event.account):
                account.empty()
                self.inherited.add_substitute(key, account)
            if self.share is not StoreShare.WHOLE:
                self._share_new_account(account)
            if not self._has_room(now):
                return account
            self.accounts[key] = account
            if self.usage_broadcast is not None:
                self._accounts_by_key[account.counter_name % KEY_COUNT] = account
                self.usage_broadcast.apply_unknown_use(now, account)
                account.last_contact_at = now
        account.refill(now)
        self._call_for_incarnation(now)
        return account

    def is_tracked(self, event: api.Request) -> bool:
        """Whether the request's account is kept, so that its use is counted."""
        return (event.plan, event.account) in self.accounts

    def _has_room(self, now: float) -> bool:
        """Whether one more account may be kept; drop one that stands as a new one would, to make room."""
        if len(self.accounts) < self.max_accounts:
            return True
        for key in list(islice(self.accounts, MAX_DROP_CANDIDATES)):
            account = self.accounts.pop(key)
            if self._is_as_new(now, account):
                self._accounts_by_key.pop(account.counter_name % KEY_COUNT, None)
                return True
            self.accounts[key] = account  # it is considered again after all others
        return False

    @staticmethod
    def _is_as_new(now: float, account: Account) -> bool:
        """Whether dropping the account now gives it nothing: its bucket and its ceiling are full, nothing is open."""
        level = account.level + account.plan.rate * (now - account.refilled_at)
        has_full_bucket = account.plan.rate <= 0 or level >= account.plan.burst
        return has_full_bucket and not account.open_attempts and account.has_full_ceiling(now)

    def _call_for_incarnation(self, now: float) -> None:
        """Make the call that asks the counter for an earlier incarnation, or marks this one, if one is due."""
        if (call := self.incarnation.next_call(now)) is not None:
            self.counter_calls.call(now, call.name, call.lifetime, call.amount, self._on_incarnation_answer)

    def _on_incarnation_answer(self, now: float, event: api.Counted) -> None:
        is_first = self.incarnation.on_answer(now, event)
        for account in self.accounts.values() if is_first and not self._is_handing_over else ():
            account.fill_ceiling()

    def tick(self, now: float) -> None:
        """Once per interval, drop idle accounts and report to the counter what is still unreported."""
        self._call_for_incarnation(now)
        if self.inherited.expire(now):
            self.forget_first_incarnation(now)
        for key, account in list(self.accounts.items()):
            # An account is dropped only when its ceiling is full again, because a new account may start with more
            # than was left in it.
            is_idle = now - account.refilled_at > ACCOUNT_IDLE_SECONDS and not account.open_attempts
            if is_idle and account.has_full_ceiling(now):
                self._remove_account(key)
                continue
            if (
                account.slots is not None
                and account.slots.has_unreported(self.wall_time.at(now))
                and self.counter_calls.available(now) >= 1
            ):
                self._report_open(now, account.slots)
            if (
                abs(account.unreported) > 1e-9
                and now - account.last_call_at > 1.0
                and account.level < 0.7 * account.plan.burst
            ):
                self.report_use(now, account)

    @staticmethod
    def exceeds_capacity(request: Request) -> bool:
        """Return whether the request needs more than the plan's buckets can ever hold here, so that a retry would
        never succeed."""
        account, terms = request.account, request.account.terms
        ceiling_capacity = max(
            account.local_ceiling_part * terms.ceiling_burst / account.gateways,
            account.window.capacity if account.window else 0.0,
        )
        over_ceiling = terms.ceiling_rate > 0 and request.max_units > ceiling_capacity + 1e-9
        return over_ceiling or (terms.rate > 0 and request.units > terms.burst + 1e-9)

    @staticmethod
    def ceiling_share_holds(request: Request) -> bool:
        """Return whether the even share of the ceiling covers the request, or a window has granted it."""
        return (
            request.account.plan.ceiling_rate <= 0
            or request.granted_incarnation is not None
            or request.account.ceiling_level >= request.max_units
        )

    def window_may_grant(self, now: float, request: Request) -> bool:
        """Return whether the ceiling's window may cover the request, by a call to the counter or by local credit."""
        window, in_time = (
            request.account.window,
            request.deadline - now >= 3 * self._settings.counter_timeout,
        )
        if window is None:
            return False
        can_call = (
            in_time and window.may_grant(now, request.max_units) and self.counter_calls.available(now) >= 1
        )
        return can_call or window.has_credit(now, request.max_units)

    @staticmethod
    def return_window_grant(request: Request) -> None:
        """Keep the units that a window granted to a request that was not sent, as local credit. The count itself is
        not decremented, because it may have ended and a new one may have begun."""
        if request.granted_incarnation is not None and request.account.window is not None:
            request.account.window.add_credit(request.granted_incarnation, request.max_units)
        request.granted_incarnation = None

    def _request_window_grant(self, now: float, request: Request, window: CeilingWindow) -> None:
        on_answer = partial(self._on_window_answer, request, now)
        self.counter_calls.call(now, window.counter_name, window.length, request.max_units, on_answer)

    def _on_window_answer(self, request: Request, asked: float, now: float, event: api.Counted) -> None:
        request.account.refill(now)
        if event.status is Status.OK and (window := request.account.window) is not None:
            request.granted_incarnation = window.apply_answer(
                asked, now, event.total, request.max_units, self._rng.random()
            )
        if self._open_requests.get(request.id) is not request:
            self.return_window_grant(request)  # the client disconnected while the call was in flight
        elif request.granted_incarnation is not None:
            self._launch(now, request, self._check_by_level(now, request))
        else:
            self._launch(now, request, Verdict(False, refuse_reason="ceiling"))

    @staticmethod
    def _check_by_level(now: float, request: Request) -> Verdict:
        """Check the quota by the local level alone. A ceiling that is kept by windows already bounds the use that
        this gateway does not see."""
        account = request.account
        level = min(account.plan.burst, account.level - account.others_rate * (now - account.synced_at))
        return Verdict(account.plan.rate <= 0 or level >= request.units, 0.0, "window")

    def check_quota(self, now: float, request: Request) -> Verdict | None:
        """Check a request against its quota by the best source of information at hand.

        Return None where the counter is called first; its answer launches the request.
        """
        account, plan = request.account, request.account.plan
        self._unverified_allowance = min(
            request.worth,
            self._unverified_allowance
            + UNVERIFIED_COST_SHARE * (1 - self._over_quota_share) * request.worth * (not request.is_retry),
        )
        if account.window is not None or (
            account.low_traffic and plan.ceiling_rate > 0 and self._settings.has_counter
        ):
            return self._check_by_window(now, request)
        expected, calls = (
            min(plan.burst, account.level - account.others_rate * (now - account.synced_at)),
            self.counter_calls,
        )
        # What the other gateways may have drawn at most since the last total.
        worst_case_use = min(
            0.9 * plan.burst * (1 - 1 / account.gateways),
            max(account.others_rate, plan.rate) * (now - account.synced_at),
        )
        is_ample = expected - worst_case_use - 0.1 * plan.burst >= request.units or account.gateways <= 1
        # All gateways share the counter. When few calls are left, only a random part of the requests calls it, and
        # each call also stands for the requests that did not. Plans of a low price call less often.
        call_chance = min(1.0, calls.available(now) / 2) * min(1.0, plan.price / self._mean_price)
        if plan.rate <= 0 or not self.check_open_limit(now, request):
            return Verdict(bool(self.check_open_limit(now, request)), basis="level")
        if (
            self.usage_broadcast is not None
            and now - self.usage_broadcast.last_contact_at < MAX_MESSAGE_GAP_SECONDS
        ):
            return Verdict(account.level >= request.units, basis="message")
        if not self._settings.has_counter or now < calls.silent_until:
            within_share = (
                expected >= request.units
                if account.low_traffic
                else account.share_level >= request.units * self._rng.random()
            )
            return Verdict(within_share, basis="even share")
        if account.level < request.units or (is_ample and not account.low_traffic):
            return Verdict(account.level >= request.units, basis="level")
        too_late = request.deadline - now < 3 * self._settings.counter_timeout
        if too_late or plan.over_worth > plan.over_cost or call_chance < max(0.05, self._rng.random()):
            return self._check_unverified(request, expected)
        # Close to the quota, the counter is asked before the request is sent. The call already adds the request's
        # units where they will most likely be granted.
        advance_units = (
            0.0
            if request.is_retry and account.low_traffic
            else request.units / (max(0.4, call_chance) if account.low_traffic else 1.0)
        )
        self.report_use(now, account, request, advance_units)
        return None

    def _check_by_window(self, now: float, request: Request) -> Verdict | None:
        """Check a request whose ceiling is kept by a window, or whose account has too little traffic here for its
        even share to mean much. Return None where the counter is called first."""
        window, verdict = request.account.window, self._check_by_level(now, request)
        if window is None or self.ceiling_share_holds(request):
            return verdict
        if not verdict.within_quota and request.account.plan.over_worth <= request.account.plan.over_cost:
            return verdict  # it is refused in any case, so no units of the window are spent on it
        request.granted_incarnation = window.use_credit(now, request.max_units)
        if request.granted_incarnation is not None:
            return verdict
        self._request_window_grant(now, request, window)
        return None

    def _check_unverified(self, request: Request, expected: float) -> Verdict:
        """Check a request whose units no source can verify.

        On accounts with low traffic, retries and further requests here are most likely over quota and are refused.
        The rest is sent as long as its expected cost stays within a share of the worth requested within quotas at
        this gateway; summed over all gateways, it then stays within the same share.
        """
        account, has_allowance = request.account, self._unverified_allowance >= 0
        passes = expected >= request.units and (
            not account.low_traffic
            or (has_allowance and not request.is_retry and account.share_level >= request.units)
        )
        self._unverified_allowance -= (
            passes * account.low_traffic * self._over_quota_share * account.plan.over_cost * request.worth
        )
        return Verdict(passes, 0.0 if account.low_traffic else None, "nobody")

    def record_sent(self, now: float, request: Request, verdict: Verdict) -> None:
        """Charge a request that has been sent to its account."""
        account, plan = request.account, request.account.plan
        if plan.ceiling_rate > 0 and request.granted_incarnation is None:
            account.ceiling_level, account.ceiling_drawn = (
                account.ceiling_level - request.max_units,
                account.ceiling_drawn + request.max_units,
            )
        if not verdict.within_quota:
            return
        counted_units, request.in_quota = verdict.counted_units, True
        account.share_level = max(-request.units, account.share_level - request.units)
        account.level = max(0.0, account.level - (0.0 if counted_units else request.units))
        account.unreported += request.units * (counted_units is None)
        account.own_recent_use += request.units
        if self.usage_broadcast is not None:
            self.usage_broadcast.unreported_accounts[account.counter_name] = account
        is_due = account.unreported >= 0.3 * min(account.level, plan.burst) / account.gateways
        if counted_units is None and self._settings.has_counter and is_due and account.gateways > 1:
            self.report_use(now, account)

    def revert_charge(self, now: float, request: Request, verdict: Verdict) -> Verdict:
        """Take back the units that were reported to the counter in advance, for a request that is not sent within its
        quota after all."""
        if verdict.counted_units:
            self.report_use(now, request.account, extra_units=-verdict.counted_units)
        return Verdict(False)

    def report_use(
        self, now: float, account: Account, request: Request | None = None, extra_units: float = 0.0
    ) -> None:
        """Report the account's unreported use and ``extra_units`` to the counter. ``request`` waits for the answer.

        Without a free call the units stay unreported, unless a request waits or ``extra_units`` is not 0.
        """
        account.unreported, account.level = account.unreported + extra_units, account.level - extra_units
        # A waiting request and units reported in advance cannot be postponed.
        may_call = request is not None or extra_units != 0 or self.counter_calls.available(now) >= 1
        if may_call and self._settings.has_counter and account.plan.rate > 0:
            reported, account.unreported, account.last_call_at = account.unreported, 0.0, now
            on_answer = partial(
                self._on_use_counted, account, reported, request, extra_units if request is not None else 0.0
            )
            self.counter_calls.call(now, account.counter_name, COUNT_LIFETIME_SECONDS, reported, on_answer)

    def check_open_limit(self, now: float, request: Request, verdict: Verdict | None = None) -> bool | None:
        """Return whether the account may have one more attempt open.

        Where the counter cannot be asked, the even share of the limit decides. With the verdict on its units, the
        request then occupies a slot; None is returned where it waits for the counter's answer.
        """
        account, limit, slots = request.account, request.account.plan.open_limit, request.account.slots
        if limit <= 0 or request.holds_slot:
            return True
        in_time = request.deadline - now >= 3 * self._settings.counter_timeout
        can_call = (
            slots is not None
            and not request.body_pending
            and in_time
            and self.counter_calls.available(now) >= 1
        )
        has_capacity = (can_call or account.open_attempts < -(-limit // account.gateways)) and (
            slots is None or now >= slots.full_until
        )
        if verdict is None or not has_capacity or slots is None or request.body_pending:
            return has_capacity
        request.holds_slot = True
        slots.add_open(self.wall_time.at(now), 1)
        if can_call:
            self._report_open(now, slots, partial(self._on_open_reported, request, slots, verdict))
        return None if can_call else True  # without a call now, the slot is reported with the next one

    def on_body_complete(self, now: float, request: Request) -> None:
        """Occupy a slot for a request whose body has arrived completely; until then it does not count as open."""
        if request.open_attempts and not request.holds_slot and request.account.slots is not None:
            request.holds_slot = True
            request.account.slots.add_open(self.wall_time.at(now), 1)

    def _report_open(
        self, now: float, slots: Slots, callback: CountCallback = lambda _now, _event: None
    ) -> None:
        name, amount, period = slots.take_report()

        def on_answer(now: float, event: api.Counted) -> None:
            if event.status in api.NEVER_ADDED:
                slots.restore_report(period, amount)
            callback(now, event)

        self.counter_calls.call(now, name, 2 * PERIOD_SECONDS, amount, on_answer)

    def _on_open_reported(
        self, request: Request, slots: Slots, verdict: Verdict, now: float, event: api.Counted
    ) -> None:
        account, limit = request.account, request.account.plan.open_limit
        if self._open_requests.get(request.id) is not request:
            self.revert_charge(now, request, verdict)  # the client disconnected while the call was in flight
            return
        has_capacity = (
            event.total <= limit + 1e-6
            if event.status is Status.OK
            else account.open_attempts < -(-limit // account.gateways)
        )
        if limit > 0 and not has_capacity:  # new settings may have removed the limit meanwhile
            self.release_slot(now, request)
            slots.full_until = now + request.work / limit
        self._launch(now, request, verdict)

    def release_slot(self, now: float, request: Request) -> None:
        """Release the slot that a request occupies under its plan's open limit, if any."""
        if request.holds_slot and (slots := request.account.slots) is not None:
            request.holds_slot, slots.full_until = False, 0.0
            slots.add_open(self.wall_time.at(now), -1)
            if slots.unreported and now >= self.counter_calls.silent_until:
                self._report_open(now, slots)

    def _on_use_counted(
        self, account: Account, reported: float, request: Request | None, advance_units: float, now: float,
        event: api.Counted,
    ) -> None:  # fmt: skip
        """Apply the counter's answer to a report of use, and launch the request that waited for it."""
        account.refill(now)
        if event.status is Status.OK:
            if (
                is_older := account.apply_total(
                    now, event.total, reported, advance_units, self._older_count_share >= 0.5
                )
            ) is not None:
                self._older_count_share += ESTIMATE_WEIGHT * (is_older - self._older_count_share)
        elif event.status in api.NEVER_ADDED:
            # After any other failure the units count as added, because reporting them twice would charge them twice.
            account.unreported += reported
        had_request, request = (
            request is not None,
            request if request is not None and self._open_requests.get(request.id) is request else None,
        )
        request_units = request.units if request is not None else 0.0
        remaining = (
            account.level
            + advance_units
            - request_units
            - (0 if event.status is Status.OK else account.others_rate * (now - account.synced_at))
        )
        is_unverified = request is not None and account.low_traffic and event.status is not Status.OK
        verdict = (
            self._check_unverified(request, remaining + request_units)
            if request is not None and is_unverified
            else Verdict(remaining >= -1e-6)
        )
        charged = request_units if verdict.within_quota else 0.0
        # Where the units reported in advance turn out wrong, they are taken back at the counter, or reported now.
        correction = charged if advance_units == 0 else -advance_units * (charged == 0)
        if request is not None and not request.is_retry and event.status is Status.OK:
            self._over_quota_share += ESTIMATE_WEIGHT * ((charged == 0) - self._over_quota_share)
        if had_request and correction:
            self.report_use(now, account, extra_units=correction)
        if request is not None:
            self._launch(
                now,
                request,
                replace(verdict, counted_units=(advance_units or correction) if charged else 0.0),
            )
        if account.unreported > 0.25 * account.plan.burst and event.status is Status.OK:
            self.report_use(now, account)
        account.level = max(account.level, 0.0)

    def broadcast_usage(self, now: float) -> None:
        """Send a usage message to the other gateways, if one is due."""
        if self.usage_broadcast is not None and self.usage_broadcast.is_due(now):
            self._emit(api.Broadcast(self.usage_broadcast.write_message(now)))

    def receive_usage(self, now: float, event: api.PeerMessage) -> None:
        """Apply another gateway's usage message; a text that is not a valid message changes nothing."""
        if self.usage_broadcast is None or event.sender == self._settings.index:
            return
        was_restarted, rows = (
            self.usage_broadcast.was_restarted,
            self.usage_broadcast.read_message(now, event.text),
        )
        if self.usage_broadcast.was_restarted and not was_restarted:
            for known_account in self.accounts.values():
                known_account.refill(now)
                self.usage_broadcast.cap_at_even_share(now, known_account)
        for key, units in rows:
            if (account := self._accounts_by_key.get(key)) is not None:
                account.add_reported_use(now, units)
            else:
                self.usage_broadcast.store_unknown_use(now, key, units)

    def settle(self, _now: float, request: Request, event: api.Outcome) -> None:
        """Correct the charge of a request by the true units that its answer reports."""
        account = request.account
        # An implausible figure corrects nothing: the units charged stay charged, to the ceiling as well.
        true_units = event.units if event.status is Status.OK and event.units is not None else -1.0
        is_plausible = 0 <= true_units <= max(self._settings.max_units, request.max_units)
        if (
            is_plausible
            and request.bound
            and account.plan.ceiling_rate > 0
            and request.granted_incarnation is None
        ):
            account.return_ceiling_units(request.max_units - true_units)
        if is_plausible and request.in_quota:
            account.settle(true_units - request.units)
            if self.usage_broadcast is not None:
                self.usage_broadcast.unreported_accounts[account.counter_name] = account
