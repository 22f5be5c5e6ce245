"""What a scenario's limiters do together, on the kit's side: their tables, relay, clocks, calendars and histories."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from math import ceil
from typing import Any

from cypresspulley.histories.clock import Shift
from cypresspulley.histories.events import Kind
from cypresspulley.histories.read import HistoryError
from cypresspulley.histories.writer import AnyHistory
from cypresspulley.rehearsal import records as log
from cypresspulley.rehearsal.closings import Closings
from cypresspulley.rehearsal.harness import Harness
from cypresspulley.rehearsal.limiters import LimiterProcess
from cypresspulley.rehearsal.plan import Plan, PlannedFault
from cypresspulley.rehearsal.scenario import DATAGRAMS, Scenario
from cypresspulley.rehearsal.standins.datagrams import Address, DatagramFault, Relay, routes_between
from cypresspulley.rehearsal.standins.run_context import RunContext
from cypresspulley.rehearsal.troubles import Struck, struck

KEY = "a key of rehearsals only"
Tables = dict[str, dict[str, Any]]


@dataclass(frozen=True, slots=True)
class Ground:
    """What differs between sockets and virtual time."""

    history: AnyHistory  # the kit's own
    address: Callable[[str, bool], Address]  # of a limiter's socket for datagrams; of its way into the relay
    check: Callable[[list[str]], list[log.Checked]]  # the verdicts of these checkers
    calendars: Callable[[], list[dict[str, Any]]]  # the events of calendars that limiters have written so far
    allowance: float  # seconds from now until the day may begin


class Side:
    """One day's. ``halls`` tells each limiter's."""

    def __init__(
        self, scenario: Scenario, plan: Plan, context: RunContext, limiters: dict[str, LimiterProcess],
        halls: dict[str, str], ground: Ground,
    ) -> None:  # fmt: skip
        assert scenario.together is not None
        self._scenario, self._context, self._limiters, self._halls = scenario, context, limiters, halls
        self._ground = ground
        self.start = ceil(context.unix() + ground.allowance)  # Unix second of the day's second 0
        self.harness = Harness(ground.history, context.unix())
        self._relay = Relay(plan.seed, self._delay, context.clock)
        self._closings: Closings | None = None
        if scenario.closing is not None:
            context.includes_time_made = True
            self._closings = Closings(scenario.closing, plan, limiters, self.start)
        self.late = {name for fault in plan.faults if fault.kind == "limiter-late" for name in fault.targets}

    def __repr__(self) -> str:
        return f"<Side from {self.start}, {self._relay!r}, {self._closings!r}>"

    def _delay(self, one: str, other: str) -> float:
        network = self._scenario.network
        ms = network.same_ms if self._halls[one] == self._halls[other] else network.cross_ms
        return ms / 1000

    # Before the day.

    async def open(self) -> None:
        """Open the relay and give each limiter its tables. OSError names an address that is taken."""
        for name, limiter in self._limiters.items():
            await self._relay.open(name, self._ground.address(name, True), self._ground.address(name, False))
            limiter.equip(self._tables(name), KEY)
        if self._closings is not None:
            self._closings.give()

    def _tables(self, name: str) -> Tables:
        def text(address: Address) -> str:
            return f"{address[0]}:{address[1]}"

        scenario, where = self._scenario, self._ground.address
        assert scenario.together is not None
        tables: Tables = {
            "fleet": {
                "installation": scenario.together.installation, "listen": text(where(name, False)),
                "advertise": text(where(name, True)), "seeds": [text(where(n, True)) for n in self._limiters][:16],
                "period_ms": scenario.together.period_ms,
            }
        }  # fmt: skip
        if scenario.lanes is not None:
            tables["lanes"] = scenario.lanes.model_dump(by_alias=True, exclude_none=True, mode="json")
        if (closing := scenario.closing) is not None:
            tables["closing"] = {
                "keep": list(closing.keep), "clock_bound_ms": closing.clock_bound_ms, "lease_ms": closing.lease_ms,
                "lost_seconds": closing.lost_seconds, "purge_ms": closing.purge_ms,
                "keep_seconds": closing.keep_seconds,
            }  # fmt: skip
        return tables

    def until_start(self) -> float:
        """Seconds from now until the day's second 0."""
        return self.start - self._context.unix()

    def begin(self) -> None:
        """The day's second 0 has come."""
        closing = self._scenario.closing
        if closing is not None and self._closings is not None:
            self._context.record(
                log.Keeping(self._context.now(), tuple(self._closings.keepers), closing.keep)
            )

    def over(self) -> None:
        """The day is over: what was true of it. What limiters do from here on is their end."""
        closing, lanes = self._scenario.closing, self._scenario.lanes
        self.harness.put(
            Kind.TRUTH, seconds=self._scenario.seconds,
            closings=self._closings.truth(self._ground.calendars()) if self._closings is not None else [],
            lanes=[list(lane.plans) for lane in lanes.lanes] if lanes is not None else [],
            clock_bound=closing.clock_bound_ms / 1000 if closing is not None else 0.0,
        )  # fmt: skip
        self.harness.over()

    # Faults.

    def strike(self, fault: PlannedFault) -> None:
        """Do what a fault between limiters does, and note what others do to them."""
        spec, lasts = fault.spec, fault.until - fault.at
        if fault.kind in DATAGRAMS:
            assert self._scenario.together is not None
            period = self._scenario.together.period_ms / 1000
            self._spell(struck(fault, list(self._limiters), period, self._context.clock()), lasts)
        elif fault.kind == "hall-cut":
            for hall in fault.targets:
                self._cut_hall(hall, lasts)
        elif fault.kind == "limiter-pause":
            for name in fault.targets:
                self._note(fault.kind, [name], lasts)
        elif fault.kind == "limiter-clock":
            for name in fault.targets:
                self._limiters[name].shift(Shift(spec.offset, spec.ppm, self._context.unix()))
                self.harness.fault(fault.kind, [name], True)
                if spec.lasts:
                    asyncio.get_running_loop().call_later(lasts, self._right, name)
        elif self._closings is not None:
            self._closings.strike(fault, self._context.unix())

    def _cut_hall(self, hall: str, lasts: float) -> None:
        """Datagrams go no other way than the rest."""
        members = [name for name, home in self._halls.items() if home == hall]
        others = [name for name in self._limiters if name not in members]
        if members and others:
            cut = DatagramFault(routes_between((members, others)), loss_share=1.0)
            self._spell(Struck("fleet-cut", (tuple(members),), cut), lasts)

    def _note(self, kind: str, targets: Sequence[str], lasts: float) -> None:
        self.harness.fault(kind, targets, True)
        asyncio.get_running_loop().call_later(lasts, self.harness.fault, kind, targets, False)

    def _right(self, name: str) -> None:
        self._limiters[name].shift(Shift())
        self.harness.fault("limiter-clock", [name], False)

    def _spell(self, fault: Struck, lasts: float) -> None:
        self._relay.begin(fault.trouble)
        asyncio.get_running_loop().call_later(lasts, self._relay.end, fault.trouble)
        for side in fault.sides:
            self._note(fault.kind, side, lasts)

    async def purge(self, name: str) -> None:
        """An operator's purge by hand at one limiter, of the account of those that keep which asks most."""
        account = self._closings.busiest() if self._closings is not None else None
        if account is None:
            return
        id = f"purge-{name}-{self._context.now():.3f}"
        self.harness.put(Kind.PURGE_CALL, id=id, account=account, limiter=name)
        status, body = await self._limiters[name].ask(
            "PUT", f"/v1/accounts/{account}/purge", self._purge_within()
        )
        missing = body.get("missing")
        self.harness.put(
            Kind.PURGE_ANSWER, id=id, status=status,
            missing=[str(each) for each in missing] if isinstance(missing, list) else [],
        )  # fmt: skip

    def _purge_within(self) -> float:
        return self._scenario.closing.purge_ms / 1000 + 1.0 if self._scenario.closing else 1.0

    # After it.

    def check(self) -> None:
        """Record what the checkers that apply say of the day's histories."""
        self.harness.close()
        names = ["fleet"]
        names += [name for name in ("lanes", "closing") if getattr(self._scenario, name) is not None]
        try:
            found = self._ground.check(names)
        except (HistoryError, OSError) as error:
            return self._context.complain(f"the histories cannot be read: {error}")
        for one in found:
            self._context.record(one)

    def close(self) -> None:
        self._relay.close()
        self.harness.close()
