"""Serves the plan book of a run: the production writer at one address per limiter, with changes drawn from the seed."""

from __future__ import annotations

import asyncio
import os
from random import Random

from cypresspulley.plans.book import BookError, Terms
from cypresspulley.plans.files import MemoryFolder
from cypresspulley.plans.plan_writer import PlanWriter
from cypresspulley.plans.reservations import MICRO_PER_UNIT, ReservationRequest, ReservationState
from cypresspulley.plans.serve import Publisher
from cypresspulley.plans.store import Store
from cypresspulley.rehearsal.records import PlanMoved
from cypresspulley.rehearsal.scenario import PlanRow
from cypresspulley.rehearsal.standins.run_context import RunContext

INSTALLATION, TOKEN = "rehearsal", "rehearsal"
LOWER_PLAN_SUFFIX = "-low"  # of the name of the lower plan to which accounts of a plan are moved for a time


def terms_of(plan: PlanRow, share: float = 1.0) -> Terms:
    """The terms of a plan, scaled by ``share``; a ceiling scales with its quota and never falls below it."""
    ceiling = plan.ceiling * share
    return Terms(
        plan.rate * share, plan.burst * share, plan.rate * ceiling, plan.burst * ceiling, plan.price, plan.open_limit
    )  # fmt: skip


class PlanBookServer:
    """Runs the plan writer. ``share`` is what a lower plan grants of the plan with a ceiling that it belongs to."""

    def __init__(self, context: RunContext, plans: tuple[PlanRow, ...], share: float, rng: Random) -> None:
        self._context, self._rng, self._folder = context, rng, MemoryFolder()
        self._plans = {plan.name: plan for plan in plans}
        self._ceilings = {plan.name: plan for plan in plans if plan.ceiling > 0}
        self._lower_share, self._on_lower_plan = share, set[str]()
        self.addresses = dict[str, tuple[str, int]]()  # at which each limiter reaches the writer
        self._publishers = dict[str, Publisher]()
        os.environ["FAWNSEAM_PLANS_TOKEN"] = TOKEN  # read by limiters in this process and its children
        self.plan_writer = PlanWriter(Store(self._folder), INSTALLATION)
        now = context.unix_ms()
        for plan in plans:
            self.plan_writer.set_terms(plan.name, terms_of(plan), now, now, "rehearsal")
            if plan.ceiling > 0:
                self.plan_writer.set_terms(
                    plan.name + LOWER_PLAN_SUFFIX, terms_of(plan, share), now, now, "rehearsal"
                )

    def __repr__(self) -> str:
        return f"<PlanBookServer {self.plan_writer!r}, {len(self._publishers)} addresses open>"

    async def open(self, limiter: str) -> None:
        """Let a limiter reach the writer, at the same address as before a ``disconnect``."""
        if limiter in self._publishers:
            return
        clock = self._context.unix_ms
        publisher = self._publishers[limiter] = Publisher(self.plan_writer, TOKEN, clock)
        self.addresses[limiter] = await publisher.listen(*self.addresses[limiter])

    async def disconnect(self, limiter: str) -> None:
        """Close the connection of a limiter and refuse new ones."""
        if (publisher := self._publishers.pop(limiter, None)) is not None:
            await publisher.close()

    async def restart(self, back_after: float) -> None:
        """Stop the writer; ``back_after`` seconds later another starts from the stored state, in a new epoch."""
        limiters = list(self._publishers)
        for limiter in limiters:
            await self.disconnect(limiter)
        await asyncio.sleep(back_after)
        self.plan_writer = PlanWriter(Store(self._folder), INSTALLATION)
        for limiter in limiters:
            await self.open(limiter)

    async def churn(
        self, accounts: list[tuple[str, str]], until: float, interval: float, ahead: float
    ) -> None:
        """Move accounts to their lower plan and back, one every ``interval`` seconds."""
        chosen = [(account, plan) for account, plan in accounts if plan in self._ceilings]
        while chosen and self._context.now() < until:
            self._move_account(*self._rng.choice(chosen), ahead)
            await asyncio.sleep(interval)

    async def reserve(self, accounts: list[tuple[str, str]], duration: float, share: float) -> None:
        """Reserve a share of what the plans grant within ``duration`` seconds; release the reservations half way."""
        now, keys = self._context.unix_ms(), list[str]()
        for account, plan in accounts:
            units = round(share * self._plans[plan].rate * duration * MICRO_PER_UNIT)
            request = ReservationRequest(
                f"ev-{account}", account, now + 300, now + round(duration * 1000), units, "rehearsal"
            )
            if self.plan_writer.book.assignment_at(account, now) is None:
                self.plan_writer.assign_plan(account, plan, now, now, "rehearsal")
            keys += (
                [request.key]
                if self.plan_writer.reserve(request, now, 1e6).state is ReservationState.HELD
                else []
            )
        self._notify_followers()
        await asyncio.sleep(duration / 2)
        self.plan_writer.tick(self._context.unix_ms())
        for key in keys:
            self.plan_writer.release(key, self._context.unix_ms())
        self._notify_followers()

    def _notify_followers(self) -> None:
        for publisher in self._publishers.values():
            publisher.notify_followers()

    def _move_account(self, account: str, plan: str, ahead: float) -> None:
        down = account not in self._on_lower_plan
        row, share = self._ceilings[plan], self._lower_share if down else 1.0
        now = self._context.unix_ms()
        effective = now + round(ahead * 1000) + 1
        if any(one.effective == effective for one in self.plan_writer.book.accounts.get(account, ())):
            return
        try:
            self.plan_writer.assign_plan(
                account, plan + LOWER_PLAN_SUFFIX * down, effective, now, "rehearsal", "churn"
            )
        except BookError:
            return  # the account has a reservation at that time
        (self._on_lower_plan.add if down else self._on_lower_plan.discard)(account)
        terms = terms_of(row, share)
        at = effective / 1000 - self._context.unix_ms(0) / 1000
        self._context.record(PlanMoved(at, account, plan, terms.ceiling_rate, terms.ceiling_burst, ahead))
        self._notify_followers()

    async def close(self) -> None:
        for limiter in list(self._publishers):
            await self.disconnect(limiter)
