"""A limiter that goes by a plan book: between the node and the decisions, seeing each event and action.

A request's plan becomes the one that its account is assigned to, the plans' terms those of the versions in force, from
their instants on and before the request that comes at one. An account whose plan changes takes its levels along by the
rule of ``bucket_level.py``.
Use is counted under the version that a request was admitted under, once for each try that may
have run. Where there is no book yet the settings hold as they are. ``Planned`` does no I/O, its clock comes with each
event; ``Plans`` is what a limiter starts and ends.
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

log = logging.getLogger(__name__)

USAGE_PERIOD_S = 3600  # seconds of a period of use
DEFAULT_OVER_COST = 0.5  # of a plan that only the book knows
UNVERSIONED = Stamp(0, 0)


def plan_from_version(version: Version, base: api.Plan | None) -> api.Plan:
    """A version as the decisions know plans; what the book does not say is the settings' own."""
    t = version.terms
    over_cost, over_worth = (
        (base.over_cost, base.over_worth) if base is not None else (DEFAULT_OVER_COST, 0.0)
    )
    return api.Plan(
        version.plan, price=t.worth, rate=t.rate, burst=t.burst, open_limit=t.cap, over_worth=over_worth,
        over_cost=over_cost, ceiling_rate=t.ceiling_rate, ceiling_burst=t.ceiling_burst,
    )  # fmt: skip


def _limits_per_share(rate: float, burst: float, share: int) -> tuple[float, float]:
    """How an even share fills; one of no ceiling at all is always full."""
    return (rate / max(1, share), burst / max(1, share)) if burst > 0 else (math.inf, math.inf)


def _ceiling_share(a: Account) -> BucketLevel:
    """An account's even share of its ceiling, as if all of it were kept in shares."""
    limits = _limits_per_share(a.plan.ceiling_rate, a.plan.ceiling_burst, a.gateways)
    units = (
        a.ceiling_level / a.local_ceiling_part
        if a.plan.ceiling_burst > 0 and a.local_ceiling_part > 0
        else limits[1]
    )
    return BucketLevel(units, a.refilled_at, *limits)


class PlanBookDecisions:
    """``decide`` is what decides, ``gateway`` the levels behind it (the same, unless something watches)."""

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
        self._seen_state: object = None  # the book and state that the terms in force were read from
        self._next_effective_ms = 0  # Unix milliseconds at which the next version is in force
        self._now = -math.inf  # of the last event
        self._in_force = dict[str, Version]()
        self._uncounted = dict[
            int, tuple[UsageKey, int]
        ]()  # tries that have not been counted: what they would count
        self._open_attempts = dict[int, int]()  # attempts of these that are out

    def __repr__(self) -> str:
        return f"<PlanBookDecisions {len(self._in_force)} plans, {self.follower!r}, {self.usage_recorder!r}>"

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        actions = list[api.Action]()
        if isinstance(event, api.SettingsChanged):
            self._base_settings, self._seen_state = event.settings, None
        for at in self._pending_instants(int(now * 1000)):
            # Each at its own instant, however late it is looked at: stores fill by the old terms until then.
            self._now = max(self._now, min(now, at / 1000))
            if self._refresh_terms(at) or isinstance(event, api.SettingsChanged):
                actions += self._decisions.handle(self._now, api.SettingsChanged(self._settings()))
        self._now = max(self._now, now)
        if isinstance(event, api.SettingsChanged):
            return actions
        if isinstance(event, api.Request):
            event = self._bind_request(now, event)
        elif isinstance(event, api.Outcome):
            self._count_outcome(event)
        elif isinstance(event, api.ClientDisconnected):
            self._end_request(event.id)
        more: list[api.Action] = self._decisions.handle(now, event)
        for action in more:
            if (
                isinstance(action, api.Send) and action.id in self._uncounted
            ):  # one that was counted is done here
                self._open_attempts[action.id] = self._open_attempts.get(action.id, 0) + 1
            elif isinstance(action, api.Refuse | api.Fail):
                self._end_request(action.id)
        return actions + more

    def _pending_instants(self, now: int) -> list[int]:
        """When other terms may have come into force since the last look, in order; now at last, if anything has."""
        self.follower.check_lease(now)
        state = (self.follower.book, self.follower.state is FollowerState.LAPSED)
        if self._seen_state == state and now < self._next_effective_ms:
            return []
        due = {v.effective for v in self._versions() if self._next_effective_ms <= v.effective < now}
        self._seen_state = state
        self._next_effective_ms = min(
            (v.effective for v in self._versions() if v.effective > now), default=2**62
        )
        return [*sorted(due), now]

    def _versions(self) -> Iterator[Version]:
        return (version for history in self.follower.book.plans.values() for version in history)

    def _refresh_terms(self, at: int) -> bool:
        """Whether other terms are in force at an instant than at the last one that was looked at."""
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
        told = {name: plan_from_version(version, base.get(name)) for name, version in self._in_force.items()}
        return replace(self._base_settings, plans=tuple({**base, **told}.values()))

    def _bind_request(self, now: float, ev: api.Request) -> api.Request:
        """The request under the plan that its account is on now; its levels come along where that is another."""
        assigned = self.follower.book.assignment_at(ev.account, int(now * 1000))
        plan = ev.plan if assigned is None or assigned.plan not in self._in_force else assigned.plan
        version = self._in_force.get(plan)
        stamp = version.stamp if version is not None else UNVERSIONED
        bound = ev if plan == ev.plan else replace(ev, plan=plan)
        self._uncounted[ev.id] = (
            UsageKey(ev.account, plan, stamp, int(now) // USAGE_PERIOD_S),
            round(ev.units * MICRO_PER_UNIT),
        )
        self._carry_level(now, bound)
        return bound

    def _carry_level(self, now: float, ev: api.Request) -> None:
        """An account whose plan has changed since it was last seen takes its levels along, by each plan in between; one
        that is new here was full at most, and bounded by each change that there was."""
        quotas = self._gateway.quotas
        key = next((k for k in self._account_keys(ev) if k in quotas.accounts), None)
        old = quotas.accounts[key] if key is not None else None
        since = old.refilled_at if old is not None else 0.0
        instants = self.follower.book.change_instants(ev.account, int(since * 1000), int(now * 1000))
        if not instants and (key is None or key[0] == ev.plan):
            return
        ceiling = BucketLevel(math.inf, since, math.inf, math.inf)
        if key is not None and old is not None:
            del quotas.accounts[key]
            ceiling = _ceiling_share(old)
        for at in instants:
            if (version := self.follower.book.binding_version(ev.account, at, ev.plan)) is not None:
                terms = self.follower.with_fallback_ceiling(version, at).terms
                ceiling = ceiling.with_limits(
                    at / 1000, *_limits_per_share(terms.ceiling_rate, terms.ceiling_burst, ev.gateways)
                )
        new = quotas.get_or_create_account(now, ev)
        if old is not None:
            old.refill(now)
            new.level, new.share_level = min(new.level, old.level), min(new.share_level, old.share_level)
        if new.plan.ceiling_rate > 0:
            new.ceiling_level = min(
                new.ceiling_level, new.local_ceiling_part * ceiling.refilled_until(now).units
            )
            # A start that is vouched for gives nothing of that back.
            new.ceiling_drawn = max(
                new.ceiling_drawn,
                new.local_ceiling_part * new.plan.ceiling_burst / new.gateways - new.ceiling_level,
            )

    def _account_keys(self, ev: api.Request) -> Iterator[tuple[str, str]]:
        """Where the account may be known: under its plan, or under one that it had."""
        yield ev.plan, ev.account
        for name in {**self._in_force, **{plan.name: None for plan in self._base_settings.plans}}:
            yield name, ev.account

    def _end_request(self, id: int) -> None:
        """A try is over with no answer of a server: it may have run where an attempt is still out."""
        counts, out = self._uncounted.pop(id, None), self._open_attempts.pop(id, 0)
        if counts is not None and out > 0:
            self.usage_recorder.add_usage(*counts)

    def _count_outcome(self, ev: api.Outcome) -> None:
        """An attempt that may have run counts its try's units, once; true units settle them."""
        if (counts := self._uncounted.get(ev.id)) is None:
            return
        if ev.status in NEVER_RAN:
            self._open_attempts[ev.id] = self._open_attempts.get(ev.id, 1) - 1
            return
        del self._uncounted[ev.id]
        self._open_attempts.pop(ev.id, None)
        key, units = counts
        true = round(ev.units * MICRO_PER_UNIT) if ev.status is Status.OK and ev.units is not None else units
        self.usage_recorder.add_usage(key, true)


class PlanBookClient:
    """The connections of one limiter to a book's writer. ``token`` may not be empty."""

    def __init__(
        self, address: tuple[str, int], token: str, installation: str, name: str, clock: Callable[[], float]
    ) -> None:
        if not token:
            raise ValueError("FAWNSEAM_PLANS_TOKEN: expected the token that the writer wants")
        self._clock = clock
        writer_address, follower = WriterAddress(*address, token), Follower(installation)
        # Without a disk the time of a start is what grows with each life.
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
        """A planned end loses nothing where the writer can be reached."""
        self._writer_channel.close()
        self._usage_exporter.close()
        self.usage_recorder.cut_record()
        try:
            await self._usage_exporter.flush()
        except (OSError, EOFError, ConnectionEndedError, ValueError) as error:
            log.warning(
                "plans: %d records of use were not exported: %s",
                len(self.usage_recorder.unacknowledged),
                error,
            )
