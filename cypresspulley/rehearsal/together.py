"""The harness of a fleet of limiters: their tables, datagram relay, clocks, calendars and histories."""

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
from cypresspulley.rehearsal.closing_schedule import ClosingSchedule
from cypresspulley.rehearsal.datagram_faults import ScheduledDatagramFault, datagram_fault
from cypresspulley.rehearsal.harness_history import HarnessHistory
from cypresspulley.rehearsal.limiters import LimiterProcess
from cypresspulley.rehearsal.plan import Plan, PlannedFault
from cypresspulley.rehearsal.scenario import DATAGRAM_KINDS, Scenario
from cypresspulley.rehearsal.standins.datagrams import Address, DatagramFault, Relay, routes_between
from cypresspulley.rehearsal.standins.run_context import RunContext

KEY = "a key of rehearsals only"
Tables = dict[str, dict[str, Any]]


@dataclass(frozen=True, slots=True)
class FleetEnvironment:
    """The functions that differ between sockets and virtual time."""

    history: AnyHistory  # of the harness itself
    address: Callable[
        [str, bool], Address
    ]  # a limiter's UDP address, or with True the relay's address for it
    check: Callable[[list[str]], list[log.Checked]]  # runs the named checkers
    calendars: Callable[[], list[dict[str, Any]]]  # calendar events that the limiters have written
    allowance: float  # seconds from now until the run may start


class FleetHarness:
    """The fleet harness of one run. ``halls`` gives the hall of each limiter."""

    def __init__(
        self, scenario: Scenario, plan: Plan, context: RunContext, limiters: dict[str, LimiterProcess],
        halls: dict[str, str], environment: FleetEnvironment,
    ) -> None:  # fmt: skip
        assert scenario.together is not None
        self._scenario = scenario
        self._context = context
        self._limiters = limiters
        self._halls = halls
        self._environment = environment
        self.start = ceil(context.unix() + environment.allowance)  # second 0 of the run in Unix seconds
        self.harness = HarnessHistory(environment.history, context.unix())
        self._relay = Relay(plan.seed, self._link_delay, context.clock)
        self._closings: ClosingSchedule | None = None
        if scenario.closing is not None:
            context.includes_time_made = True
            self._closings = ClosingSchedule(scenario.closing, plan, limiters, self.start)
        self.late = {name for fault in plan.faults if fault.kind == "limiter-late" for name in fault.targets}

    def __repr__(self) -> str:
        return f"<FleetHarness from {self.start}, {self._relay!r}, {self._closings!r}>"

    def _link_delay(self, one: str, other: str) -> float:
        network = self._scenario.network
        ms = network.same_ms if self._halls[one] == self._halls[other] else network.cross_ms
        return ms / 1000

    # Setup.

    async def open(self) -> None:
        """Open the relay and write the limiters' tables. Raise ``OSError``, which names an address in use."""
        for name, limiter in self._limiters.items():
            await self._relay.open(
                name, self._environment.address(name, True), self._environment.address(name, False)
            )
            limiter.configure_fleet(self._tables(name), KEY)
        if self._closings is not None:
            self._closings.write_initial_calendars()

    def _tables(self, name: str) -> Tables:
        def text(address: Address) -> str:
            return f"{address[0]}:{address[1]}"

        scenario, where = self._scenario, self._environment.address
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

    def seconds_until_start(self) -> float:
        """Return the seconds from now until second 0 of the run."""
        return self.start - self._context.unix()

    def begin(self) -> None:
        """Record at second 0 which accounts and classes may get cached answers."""
        closing = self._scenario.closing
        if closing is not None and self._closings is not None:
            self._context.record(
                log.Keeping(self._context.now(), tuple(self._closings.caching_accounts), closing.keep)
            )

    def end_run(self) -> None:
        """Write the facts of the run to the harness's history and end it."""
        closing, lanes = self._scenario.closing, self._scenario.lanes
        self.harness.put(
            Kind.TRUTH, seconds=self._scenario.seconds,
            closings=(self._closings.expected_closings(self._environment.calendars())
                      if self._closings is not None else []),
            lanes=[list(lane.plans) for lane in lanes.lanes] if lanes is not None else [],
            clock_bound=closing.clock_bound_ms / 1000 if closing is not None else 0.0,
        )  # fmt: skip
        self.harness.end_run()

    # Faults.

    def apply_fault(self, fault: PlannedFault) -> None:
        """Apply a fault between limiters, and record those other faults that affect their datagrams."""
        spec, lasts = fault.spec, fault.until - fault.at
        if fault.kind in DATAGRAM_KINDS:
            assert self._scenario.together is not None
            period = self._scenario.together.period_ms / 1000
            self._begin_datagram_fault(
                datagram_fault(fault, list(self._limiters), period, self._context.clock()), lasts
            )
        elif fault.kind == "hall-cut":
            for hall in fault.targets:
                self._cut_hall(hall, lasts)
        elif fault.kind == "limiter-pause":
            for name in fault.targets:
                self._record_fault_period(fault.kind, [name], lasts)
        elif fault.kind == "limiter-clock":
            for name in fault.targets:
                self._limiters[name].set_clock_shift(Shift(spec.offset, spec.ppm, self._context.unix()))
                self.harness.fault(fault.kind, [name], True)
                if spec.lasts:
                    asyncio.get_running_loop().call_later(lasts, self._reset_clock, name)
        elif self._closings is not None:
            self._closings.apply_fault(fault, self._context.unix())

    def _cut_hall(self, hall: str, lasts: float) -> None:
        """Cut a hall's datagrams as its other links are cut."""
        members = [name for name, home in self._halls.items() if home == hall]
        others = [name for name in self._limiters if name not in members]
        if members and others:
            cut = DatagramFault(routes_between((members, others)), loss_share=1.0)
            self._begin_datagram_fault(ScheduledDatagramFault("fleet-cut", (tuple(members),), cut), lasts)

    def _record_fault_period(self, kind: str, targets: Sequence[str], lasts: float) -> None:
        self.harness.fault(kind, targets, True)
        asyncio.get_running_loop().call_later(lasts, self.harness.fault, kind, targets, False)

    def _reset_clock(self, name: str) -> None:
        self._limiters[name].set_clock_shift(Shift())
        self.harness.fault("limiter-clock", [name], False)

    def _begin_datagram_fault(self, fault: ScheduledDatagramFault, lasts: float) -> None:
        self._relay.begin(fault.trouble)
        asyncio.get_running_loop().call_later(lasts, self._relay.end, fault.trouble)
        for side in fault.sides:
            self._record_fault_period(fault.kind, side, lasts)

    async def purge(self, name: str) -> None:
        """Purge, at one limiter, the cached answers of the busiest account that uses the cache."""
        account = self._closings.busiest() if self._closings is not None else None
        if account is None:
            return
        id = f"purge-{name}-{self._context.now():.3f}"
        self.harness.put(Kind.PURGE_CALL, id=id, account=account, limiter=name)
        status, body = await self._limiters[name].call_for_json(
            "PUT", f"/v1/accounts/{account}/purge", self._purge_timeout()
        )
        missing = body.get("missing")
        self.harness.put(
            Kind.PURGE_ANSWER, id=id, status=status,
            missing=[str(each) for each in missing] if isinstance(missing, list) else [],
        )  # fmt: skip

    def _purge_timeout(self) -> float:
        return self._scenario.closing.purge_ms / 1000 + 1.0 if self._scenario.closing else 1.0

    # Checks.

    def check(self) -> None:
        """Run the checkers that apply on the run's histories and record their verdicts."""
        self.harness.close()
        names = ["fleet"]
        names += [name for name in ("lanes", "closing") if getattr(self._scenario, name) is not None]
        try:
            found = self._environment.check(names)
        except (HistoryError, OSError) as error:
            return self._context.complain(f"the histories cannot be read: {error}")
        for one in found:
            self._context.record(one)

    def close(self) -> None:
        self._relay.close()
        self.harness.close()
