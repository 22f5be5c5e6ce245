"""A day's plan book: the shipped writer, at an address for each limiter, with changes drawn from the day's seed."""

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
LOWER = "-low"  # behind a plan's name: the one that its accounts are moved to and back from


def terms_of(plan: PlanRow, part: float = 1.0) -> Terms:
    """A plan's terms, or a part of them; a ceiling never stands under its quota."""
    ceiling = plan.ceiling * part
    return Terms(
        plan.rate * part, plan.burst * part, plan.rate * ceiling, plan.burst * ceiling, plan.price, plan.open_limit
    )  # fmt: skip


class PlanBookServer:
    """``part`` is the lower plan's part of a plan with a ceiling."""

    def __init__(self, context: RunContext, plans: tuple[PlanRow, ...], part: float, rng: Random) -> None:
        self._context, self._rng, self._folder = context, rng, MemoryFolder()
        self._plans = {plan.name: plan for plan in plans}
        self._ceilings = {plan.name: plan for plan in plans if plan.ceiling > 0}
        self._part, self._low = part, set[str]()  # accounts that are on the lower plan
        self.addresses = dict[str, tuple[str, int]]()  # of a limiter's way to the writer
        self._publishers = dict[str, Publisher]()
        os.environ["FAWNSEAM_PLANS_TOKEN"] = TOKEN  # limiters of this process and its children read it there
        self.plan_writer = PlanWriter(Store(self._folder), INSTALLATION)
        now = context.unix_ms()
        for plan in plans:
            self.plan_writer.set_terms(plan.name, terms_of(plan), now, now, "rehearsal")
            if plan.ceiling > 0:
                self.plan_writer.set_terms(plan.name + LOWER, terms_of(plan, part), now, now, "rehearsal")

    def __repr__(self) -> str:
        return f"<PlanBookServer {self.plan_writer!r}, {len(self._publishers)} ways open>"

    async def open(self, limiter: str) -> None:
        """Let a limiter reach the writer, at the same address as before."""
        if limiter in self._publishers:
            return
        clock = self._context.unix_ms
        publisher = self._publishers[limiter] = Publisher(self.plan_writer, TOKEN, clock)
        self.addresses[limiter] = await publisher.listen(*self.addresses[limiter])

    async def disconnect(self, limiter: str) -> None:
        """Its connection ends, and new ones are refused."""
        if (publisher := self._publishers.pop(limiter, None)) is not None:
            await publisher.close()

    async def restart(self, back_after: float) -> None:
        """The writer dies, and another starts from what was stored: a new epoch."""
        ways = list(self._publishers)
        for limiter in ways:
            await self.disconnect(limiter)
        await asyncio.sleep(back_after)
        self.plan_writer = PlanWriter(Store(self._folder), INSTALLATION)
        for limiter in ways:
            await self.open(limiter)

    async def churn(self, accounts: list[tuple[str, str]], until: float, every: float, ahead: float) -> None:
        """Move accounts (with their plans) down and up again, one each ``every`` seconds."""
        chosen = [(account, plan) for account, plan in accounts if plan in self._ceilings]
        while chosen and self._context.now() < until:
            self._move(*self._rng.choice(chosen), ahead)
            await asyncio.sleep(every)

    async def reserve(self, accounts: list[tuple[str, str]], lasts: float, part: float) -> None:
        """Set allowance aside for accounts, a part of what their plans give meanwhile, and release it half way."""
        now, keys = self._context.unix_ms(), list[str]()
        for account, plan in accounts:
            units = round(part * self._plans[plan].rate * lasts * MICRO_PER_UNIT)
            wish = ReservationRequest(
                f"ev-{account}", account, now + 300, now + round(lasts * 1000), units, "rehearsal"
            )
            if self.plan_writer.book.assignment_at(account, now) is None:
                self.plan_writer.assign_plan(account, plan, now, now, "rehearsal")
            keys += (
                [wish.key] if self.plan_writer.reserve(wish, now, 1e6).state is ReservationState.HELD else []
            )
        self._changed()
        await asyncio.sleep(lasts / 2)
        self.plan_writer.tick(self._context.unix_ms())
        for key in keys:
            self.plan_writer.release(key, self._context.unix_ms())
        self._changed()

    def _changed(self) -> None:
        for publisher in self._publishers.values():
            publisher.notify_followers()

    def _move(self, account: str, plan: str, ahead: float) -> None:
        down = account not in self._low
        row, part = self._ceilings[plan], self._part if down else 1.0
        now = self._context.unix_ms()
        effective = now + round(ahead * 1000) + 1
        if any(one.effective == effective for one in self.plan_writer.book.accounts.get(account, ())):
            return
        try:
            self.plan_writer.assign_plan(account, plan + LOWER * down, effective, now, "rehearsal", "churn")
        except BookError:
            return  # it has a reservation then
        (self._low.add if down else self._low.discard)(account)
        terms = terms_of(row, part)
        at = effective / 1000 - self._context.unix_ms(0) / 1000
        self._context.record(PlanMoved(at, account, plan, terms.ceiling_rate, terms.ceiling_burst, ahead))
        self._changed()

    async def close(self) -> None:
        for limiter in list(self._publishers):
            await self.disconnect(limiter)
