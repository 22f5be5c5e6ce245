"""Applies a plan book in a limiter, as a layer between the node and the decision module.

A request's plan is replaced by the one that its account is assigned to, and the plans' terms by those of the versions
in force. A version applies from its effective instant on, including to a request that arrives at that instant. When an
account's plan changes, its bucket levels are carried over by the rule of ``bucket_level.py``. Usage is counted under
the version that the request was admitted under, once for each request that may have run. Until the first book arrives,
the limiter's own settings apply. ``PlanBookDecisions`` does no I/O and takes the time from each event;
``PlanBookClient`` holds the connections that a limiter starts and closes.
"""

from __future__ import annotations

import logging
import math
from collections.abc import Callable, Iterator
from dataclasses import replace
from typing import Any

from cypresspulley import interface as api
from cypresspulley.interface import Status
from cypresspulley.plans.book import Stamp, Version
from cypresspulley.plans.bucket_level import BucketLevel
from cypresspulley.plans.channel import ConnectionEndedError, WriterAddress, WriterChannel
from cypresspulley.plans.export import UsageExporter
from cypresspulley.plans.follow import Follower, FollowerState
from cypresspulley.plans.reservations import MICRO_PER_UNIT
from cypresspulley.plans.usage import UsageKey, UsageRecorder
from cypresspulley.policy.account import Account
from cypresspulley.policy.gateway import NEVER_RAN, Gateway
from cypresspulley.policy.store_share import StoreLevels, StoreShare

log = logging.getLogger(__name__)

USAGE_PERIOD_SECONDS = 3600  # seconds; length of the periods that usage is summed by
DEFAULT_OVER_COST = 0.5  # for a plan that is in the book but not in the settings
NEVER_MS = 2**62  # later than any instant
UNVERSIONED = Stamp(0, 0)  # stands for the version of a plan that is not in the book


def plan_from_version(version: Version, base: api.Plan | None) -> api.Plan:
    """Return the plan that a version describes; what the book does not define comes from the settings' plan."""
    terms = version.terms
    over_cost, over_worth = (
        (base.over_cost, base.over_worth) if base is not None else (DEFAULT_OVER_COST, 0.0)
    )
    return api.Plan(
        version.plan, price=terms.worth, rate=terms.rate, burst=terms.burst, open_limit=terms.cap,
        over_worth=over_worth, over_cost=over_cost, ceiling_rate=terms.ceiling_rate,
        ceiling_burst=terms.ceiling_burst,
    )  # fmt: skip


def _limits_per_share(rate: float, burst: float, shares: int) -> tuple[float, float]:
    """Return rate and burst of an even share of a limit; both are infinite where there is no limit."""
    return (rate / max(1, shares), burst / max(1, shares)) if burst > 0 else (math.inf, math.inf)


def _ceiling_share(account: Account) -> BucketLevel:
    """Return an account's even share of its ceiling, as if the whole ceiling were divided into shares."""
    limits = _limits_per_share(account.plan.ceiling_rate, account.plan.ceiling_burst, account.gateways)
    units = (
        account.ceiling_level / account.local_ceiling_part
        if account.plan.ceiling_burst > 0 and account.local_ceiling_part > 0
        else limits[1]
    )
    return BucketLevel(units, account.refilled_at, *limits)


class PlanBookDecisions:
    """Wraps a decision module and applies the plan book to its events.

    ``decide`` handles the events; ``gateway`` holds the bucket levels (the same object, unless ``decide`` wraps it).
    """

    def __init__(
        self, decide: Any, gateway: Gateway, settings: api.Settings, follower: Follower, usage_recorder: UsageRecorder
    ) -> None:  # fmt: skip
        self._decisions, self._gateway, self._base_settings, self.follower = (
            decide,
            gateway,
            settings,
            follower,
        )
        self.usage_recorder = usage_recorder
        self._seen_state: object = None  # the book and lease state that the terms in force were computed from
        # Unix milliseconds at which the next change takes effect. Those before the first event changed nothing here.
        self._next_effective_ms = NEVER_MS
        self._now = -math.inf  # time of the last event
        self._in_force = dict[str, Version]()
        self._uncounted = dict[int, tuple[UsageKey, int]]()  # usage of requests that was not counted yet
        self._open_attempts = dict[int, int]()  # attempts in flight of these requests

    def __repr__(self) -> str:
        return f"<PlanBookDecisions {len(self._in_force)} plans, {self.follower!r}, {self.usage_recorder!r}>"

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        actions = list[api.Action]()
        if isinstance(event, api.SettingsChanged):
            self._base_settings, self._seen_state = event.settings, None
        for at in self._pending_instants(int(now * 1000)):
            # Each change is applied at its own instant, however late: buckets refill by the old terms until then.
            self._now = max(self._now, min(now, at / 1000))
            if self._refresh_terms(at) or isinstance(event, api.SettingsChanged):
                actions += self._decisions.handle(self._now, api.SettingsChanged(self._settings()))
            self._carry_moved_accounts(at)
        self._now = max(self._now, now)
        if isinstance(event, api.SettingsChanged):
            return actions
        if isinstance(event, api.Request):
            event = self._bind_request(now, event)
        elif isinstance(event, api.Outcome):
            self._count_outcome(event)
        elif isinstance(event, api.ClientDisconnected):
            self._end_request(event.id)
        decided: list[api.Action] = self._decisions.handle(now, event)
        for action in decided:
            # A request that was counted needs no further tracking.
            if isinstance(action, api.Send) and action.id in self._uncounted:
                self._open_attempts[action.id] = self._open_attempts.get(action.id, 0) + 1
            elif isinstance(action, api.Refuse | api.Fail):
                self._end_request(action.id)
        return actions + decided

    def _pending_instants(self, now: int) -> list[int]:
        """Return, in order, the instants since the last call at which terms may have changed.

        ``now`` is the last of them; the list is empty where nothing can have changed.
        """
        self.follower.check_lease(now)
        state = (self.follower.book, self.follower.state is FollowerState.LAPSED)
        if self._seen_state == state and now < self._next_effective_ms:
            return []
        instants = list(self._change_instants())
        due = {at for at in instants if self._next_effective_ms <= at < now}
        self._seen_state = state
        self._next_effective_ms = min((at for at in instants if at > now), default=NEVER_MS)
        return [*sorted(due), now]

    def _change_instants(self) -> Iterator[int]:
        """Yield the instants at which a version takes effect, or an account that is known here moves."""
        book = self.follower.book
        yield from (version.effective for history in book.plans.values() for version in history)
        for _, name in self._gateway.quotas.accounts:
            yield from (assignment.effective for assignment in book.accounts.get(name, ()))

    def _carry_moved_accounts(self, at: int) -> None:
        """Move accounts at the instant of their assignment: a later change of terms refills them by the new plan."""
        for (plan, name), account in list(self._gateway.quotas.accounts.items()):
            assigned = self.follower.book.assignment_at(name, at)
            if assigned is not None and assigned.plan != plan and assigned.plan in self._in_force:
                request = api.Request(0, "", assigned.plan, 1.0, name, gateways=account.gateways)
                self._carry_level(self._now, request)

    def _refresh_terms(self, at: int) -> bool:
        """Compute the terms in force at an instant; return whether they differ from the previous ones."""
        before, book = self._in_force, self.follower.book
        found = (
            self.follower.with_fallback_ceiling(v, at)
            for plan in sorted(book.plans)
            if (v := book.version_at(plan, at))
        )
        self._in_force = {version.plan: version for version in found}
        return before != self._in_force

    def _settings(self) -> api.Settings:
        base = {plan.name: plan for plan in self._base_settings.plans}
        from_book = {
            name: plan_from_version(version, base.get(name)) for name, version in self._in_force.items()
        }
        return replace(self._base_settings, plans=tuple({**base, **from_book}.values()))

    def _bind_request(self, now: float, ev: api.Request) -> api.Request:
        """Return the request with its account's current plan, and carry the account's levels over to that plan."""
        assigned = self.follower.book.assignment_at(ev.account, int(now * 1000))
        plan = ev.plan if assigned is None or assigned.plan not in self._in_force else assigned.plan
        version = self._in_force.get(plan)
        stamp = version.stamp if version is not None else UNVERSIONED
        bound = ev if plan == ev.plan else replace(ev, plan=plan)
        self._uncounted[ev.id] = (
            UsageKey(ev.account, plan, stamp, int(now) // USAGE_PERIOD_SECONDS),
            round(ev.units * MICRO_PER_UNIT),
        )
        self._carry_level(now, bound)
        moves = self.follower.book.accounts.get(ev.account, ())
        next_move = min(
            (move.effective for move in moves if move.effective > int(now * 1000)), default=NEVER_MS
        )
        self._next_effective_ms = min(self._next_effective_ms, next_move)
        return bound

    def _carry_level(self, now: float, ev: api.Request) -> None:
        """Carry an account's levels through each plan that it was on since its last request.

        An account that is new to this limiter starts full at most, limited by each change that there was.
        """
        quotas = self._gateway.quotas
        key = next((k for k in self._account_keys(ev) if k in quotas.accounts), None)
        old = quotas.accounts[key] if key is not None else None
        since = old.refilled_at if old is not None else 0.0
        # Including ``since`` itself: a change of terms at that instant has refilled the account, and not moved it.
        instants = self.follower.book.change_instants(ev.account, int(since * 1000) - 1, int(now * 1000))
        if not instants and (key is None or key[0] == ev.plan):
            return
        ceiling = BucketLevel(math.inf, since, math.inf, math.inf)
        kept: StoreLevels | None = None  # of the account's stores, what this process may use
        if key is not None and old is not None:
            del quotas.accounts[key]
            kept = old.stores()
            old.take_back()
            old.apply_share(StoreShare.WHOLE)
            ceiling = _ceiling_share(old)
        for at in instants:
            if (version := self.follower.book.binding_version(ev.account, at, ev.plan)) is not None:
                terms = self.follower.with_fallback_ceiling(version, at).terms
                ceiling = ceiling.with_limits(
                    at / 1000, *_limits_per_share(terms.ceiling_rate, terms.ceiling_burst, ev.gateways)
                )
        new = quotas.get_or_create_account(now, ev)
        is_lent, kept = new.lent is not None, kept or new.stores()
        new.take_back()
        new.apply_share(StoreShare.WHOLE)
        if old is not None:
            old.refill(now)
            new.level, new.share_level = min(new.level, old.level), min(new.share_level, old.share_level)
        if new.plan.ceiling_rate > 0:
            new.ceiling_level = min(
                new.ceiling_level, new.local_ceiling_part * ceiling.refilled_until(now).units
            )
            # ``fill_ceiling`` must not give back the units that are missing here.
            new.ceiling_drawn = max(
                new.ceiling_drawn,
                new.local_ceiling_part * new.plan.ceiling_burst / new.gateways - new.ceiling_level,
            )
        new.apply_share(quotas.share)
        if is_lent:  # a successor holds the rest, and carries it over by itself
            new.lend(new.within_plan(kept))

    def _account_keys(self, ev: api.Request) -> Iterator[tuple[str, str]]:
        """Yield the keys under which the account may be stored: its current plan first, then every known plan."""
        yield ev.plan, ev.account
        for name in {**self._in_force, **{plan.name: None for plan in self._base_settings.plans}}:
            yield name, ev.account

    def _end_request(self, id: int) -> None:
        """Handle a request that ends without a server's answer: count it where an attempt in flight may have run."""
        usage, open_attempts = self._uncounted.pop(id, None), self._open_attempts.pop(id, 0)
        if usage is not None and open_attempts > 0:
            self.usage_recorder.add_usage(*usage)

    def _count_outcome(self, ev: api.Outcome) -> None:
        """Count a request's units once, for the first attempt that may have run; actual units replace the estimate."""
        if (usage := self._uncounted.get(ev.id)) is None:
            return
        if ev.status in NEVER_RAN:
            self._open_attempts[ev.id] = self._open_attempts.get(ev.id, 1) - 1
            return
        del self._uncounted[ev.id]
        self._open_attempts.pop(ev.id, None)
        key, units = usage
        actual_units = (
            round(ev.units * MICRO_PER_UNIT) if ev.status is Status.OK and ev.units is not None else units
        )
        self.usage_recorder.add_usage(key, actual_units)


class PlanBookClient:
    """The connections of one limiter to a plan book's writer. Raises ``ValueError`` where ``token`` is empty."""

    def __init__(
        self, address: tuple[str, int], token: str, installation: str, name: str, clock: Callable[[], float]
    ) -> None:
        if not token:
            raise ValueError("FAWNSEAM_PLANS_TOKEN: expected the token that the writer wants")
        self._clock = clock
        writer_address, follower = WriterAddress(*address, token), Follower(installation)
        # The epoch must grow with each start of the limiter; without a disk the start time serves as the epoch.
        self.usage_recorder = UsageRecorder(name, int(clock() * 1000))
        self._usage_exporter = UsageExporter(writer_address, self.usage_recorder)
        self._writer_channel = WriterChannel(
            writer_address, follower, self._log_change, lambda: int(clock() * 1000), self.usage_recorder.epoch
        )

    def wrap_decisions(self, decide: Any, gateway: Gateway, settings: api.Settings) -> PlanBookDecisions:
        return PlanBookDecisions(
            decide, gateway, settings, self._writer_channel.follower, self.usage_recorder
        )

    def _log_change(self) -> None:
        log.info("plans: %r", self._writer_channel.follower)

    def start(self) -> None:
        self._writer_channel.start()
        self._usage_exporter.start()

    async def close(self) -> None:
        """Close the connections and export the remaining usage, so that a planned stop loses none if possible."""
        self._writer_channel.close()
        self._usage_exporter.close()
        self.usage_recorder.cut_records()
        try:
            await self._usage_exporter.flush()
        except (OSError, EOFError, ConnectionEndedError, ValueError) as error:
            log.warning(
                "plans: %d usage records were not exported: %s",
                len(self.usage_recorder.unacknowledged),
                error,
            )
