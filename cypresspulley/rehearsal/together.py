"""What a scenario's limiters do together, on the kit's side: their tables, relay, clocks, calendars and histories."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from math import ceil
from typing import Any

from cypresspulley.histories.clock import Shift
from cypresspulley.histories.events import Kind
from cypresspulley.histories.read import HistoryError
from cypresspulley.histories.writer import AnyHistory
from cypresspulley.rehearsal import records as log
from cypresspulley.rehearsal.calendars import Calendars, keepers
from cypresspulley.rehearsal.harness import Harness
from cypresspulley.rehearsal.limiters import LimiterProcess
from cypresspulley.rehearsal.plan import Plan, PlannedFault
from cypresspulley.rehearsal.scenario import DATAGRAMS, Scenario
from cypresspulley.rehearsal.standins.datagrams import Address, Relay, Trouble, Way, ways_between
from cypresspulley.rehearsal.standins.stage import Stage

KEY = "a key of rehearsals only"
# Up to these, datagrams that are lost or late excuse no death; beyond, who they belong to counts as cut off.
MILD_LOSS, MILD_DELAY = (
    0.2,
    0.25,
)  # shares: of the datagrams, and of a period of probes by which they come later
Tables = dict[str, dict[str, Any]]


@dataclass(frozen=True, slots=True)
class Ground:
    """What differs between sockets and virtual time."""

    history: AnyHistory  # the kit's own
    address: Callable[
        [str, bool], Address
    ]  # of a limiter's socket for datagrams, or of its way into the relay
    check: Callable[[list[str]], list[log.Checked]]  # the verdicts of these checkers
    calendars: Callable[[], list[dict[str, Any]]]  # the events of calendars that limiters have written so far
    allowance: float  # seconds from now until the day may begin


class Side:
    """One day's. ``halls`` tells each limiter's; ``delay`` the seconds of a way between two."""

    def __init__(
        self, scenario: Scenario, plan: Plan, stage: Stage, limiters: dict[str, LimiterProcess],
        halls: dict[str, str], ground: Ground,
    ) -> None:  # fmt: skip
        assert scenario.together is not None
        self._scenario, self._stage, self._limiters, self._halls = scenario, stage, limiters, halls
        self._ground = ground
        self.start = ceil(stage.unix() + ground.allowance)  # Unix second of the day's second 0
        self.harness = Harness(ground.history, stage.unix())
        self._relay = Relay(plan.seed, self._delay, stage.clock)
        self._calendars: Calendars | None = None
        self._asked = Counter(arrival.account for arrival in plan.arrivals)
        self._keepers = dict[str, str]()
        if scenario.closing is not None:
            stage.tells_made = True
            self._keepers = keepers(scenario.closing, plan)
            self._calendars = Calendars(scenario.closing, self._keepers, self.start)
        self.late = {name for fault in plan.faults if fault.kind == "limiter-late" for name in fault.targets}
        self._old = {
            name for fault in plan.faults if fault.kind == "limiter-old-calendar" and fault.at <= 0
            for name in fault.targets
        }  # fmt: skip
        self._told = list[
            tuple[str, int, int]
        ]()  # place, Unix second and version of closings told on the way

    def __repr__(self) -> str:
        return f"<Side from {self.start}, {self._relay!r}, {self._calendars!r}>"

    def _delay(self, one: str, other: str) -> float:
        network = self._scenario.network
        return (
            network.same_ms if self._halls[one] == self._halls[other] else network.cross_ms
        ) / 1000 / 2  # fmt: skip

    def _closing_of(self, fault: PlannedFault) -> tuple[str, int]:
        """Place and Unix second of a closing that is told on the way."""
        assert self._scenario.closing is not None
        place = fault.spec.place or self._scenario.closing.places[0].name
        return place, ceil(self.start + fault.at + fault.spec.ahead)

    # Before the day.

    async def open(self) -> None:
        """Open the relay and give each limiter its tables. OSError names an address that is taken."""
        for name, limiter in self._limiters.items():
            await self._relay.open(name, self._ground.address(name, True), self._ground.address(name, False))
            limiter.equip(self._tables(name), KEY)
            if self._calendars is not None:
                limiter.calendar(self._calendars.old() if name in self._old else self._calendars.today())

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
        return self.start - self._stage.unix()

    def begin(self) -> None:
        """The day's second 0 has come."""
        closing = self._scenario.closing
        if closing is not None:
            self._stage.record(log.Keeping(self._stage.now(), tuple(self._keepers), closing.keep))

    def over(self) -> None:
        """The day is over: what was true of it. What limiters do from here on is their end."""
        closing, lanes = self._scenario.closing, self._scenario.lanes
        self.harness.put(
            Kind.TRUTH, closings=self._truth(), seconds=self._scenario.seconds,
            lanes=[list(lane.plans) for lane in lanes.lanes] if lanes is not None else [],
            clock_bound=closing.clock_bound_ms / 1000 if closing is not None else 0.0,
        )  # fmt: skip
        self.harness.over()

    def _truth(self) -> list[list[Any]]:
        if self._calendars is None:
            return []
        assert self._scenario.closing is not None
        # A closing that was told counts where a limiter took it with the notice that all need: one that was stopped, or
        # whose clock was off, may have refused it.
        notice = self._scenario.closing.notice
        taken = {
            event["version"] for event in self._ground.calendars()
            if event["state"] in ("held", "force") and event["mono"] <= event["in_force"] - notice
        }  # fmt: skip
        told = [[account, float(at)] for place, at, version in self._told if version in taken
                for account, home in self._keepers.items() if home == place]  # fmt: skip
        return sorted([*self._calendars.truth(), *told])

    # Faults.

    def strike(self, fault: PlannedFault) -> None:
        """Do what a fault between limiters does, and note what others do to them."""
        spec, lasts = fault.spec, fault.until - fault.at
        if fault.kind in DATAGRAMS:
            kind, sides, trouble = self._trouble(fault)
            self._spell(kind, sides, trouble, lasts)
        elif fault.kind == "hall-cut":
            for hall in fault.targets:
                self._cut_hall(hall, lasts)
        elif fault.kind == "limiter-pause":
            for name in fault.targets:
                self._note(fault.kind, [name], lasts)
        elif fault.kind == "limiter-clock":
            for name in fault.targets:
                self._limiters[name].shift(Shift(spec.offset, spec.ppm, self._stage.unix()))
                self.harness.fault(fault.kind, [name], True)
                if spec.lasts:
                    asyncio.get_running_loop().call_later(lasts, self._right, name)
        elif fault.kind == "limiter-old-calendar" and self._calendars is not None and fault.at > 0:
            self._tell(fault.targets, self._calendars.old())
        elif fault.kind == "closing-told" and self._calendars is not None:
            place, at = self._closing_of(fault)
            calendar = self._calendars.tell(place, at, self._stage.unix())
            self._told.append((place, at, self._calendars.version))
            self._tell(fault.targets, calendar)

    def _cut_hall(self, hall: str, lasts: float) -> None:
        """Datagrams go no other way than the rest."""
        members = [name for name, home in self._halls.items() if home == hall]
        others = [name for name in self._limiters if name not in members]
        if members and others:
            self._spell("fleet-cut", [members], Trouble(ways_between((members, others)), lost=1.0), lasts)

    def _note(self, kind: str, targets: list[str], lasts: float) -> None:
        self.harness.fault(kind, targets, True)
        asyncio.get_running_loop().call_later(lasts, self.harness.fault, kind, targets, False)

    def _right(self, name: str) -> None:
        self._limiters[name].shift(Shift())
        self.harness.fault("limiter-clock", [name], False)

    def _tell(self, names: tuple[str, ...], calendar: dict[str, Any]) -> None:
        for name in names:
            self._limiters[name].calendar(calendar, told=True)

    def _spell(self, kind: str, sides: list[list[str]], trouble: Trouble, lasts: float) -> None:
        self._relay.begin(trouble)
        asyncio.get_running_loop().call_later(lasts, self._relay.end, trouble)
        for side in sides:
            self._note(kind, side, lasts)

    def _trouble(self, fault: PlannedFault) -> tuple[str, list[list[str]], Trouble]:
        """A fault of datagrams as checkers know it: its kind, the sides that it parts from all others, and what the
        relay does."""
        spec, names, targets = fault.spec, list(self._limiters), list(fault.targets)
        ways: frozenset[Way] | None = None
        if targets:
            ways = frozenset(
                (a, b) for a in names for b in names if a != b and (a in targets or b in targets)
            )
        if (trouble := self._rough(fault, ways)) is not None:
            if self._mild(trouble):
                return f"fleet-{fault.kind.partition('-')[2]}", [targets], trouble
            return "fleet-cut", [[name] for name in targets or names], trouble
        groups = [list(group) for group in spec.groups]
        if not groups and targets:
            groups = [targets, [name for name in names if name not in targets]]
        between = ways_between(groups, spec.one_way) if groups else None
        # Where somebody hears both sides nobody is parted: no death there is excused.
        whole = not groups or sorted(name for group in groups for name in group) == sorted(names)
        parted = [groups[0]] if groups else [[name] for name in names]
        if fault.kind == "datagram-flap":
            now = self._stage.clock()
            return (
                "fleet-flap" if whole else "fleet-partial", parted,
                Trouble(between, lost=1.0, every=spec.every, since=now),
            )  # fmt: skip
        kind = "fleet-oneway" if spec.one_way else "fleet-cut"
        return (kind if whole else "fleet-partial"), parted, Trouble(between, lost=1.0)

    @staticmethod
    def _rough(fault: PlannedFault, ways: frozenset[Way] | None) -> Trouble | None:
        """What makes ways worse and does not cut them."""
        share, late = fault.spec.size, fault.spec.add_ms / 1000
        return {
            "datagram-loss": Trouble(ways, lost=share),
            "datagram-delay": Trouble(ways, held=1.0, by=late),
            "datagram-double": Trouble(ways, doubled=share),
            "datagram-reorder": Trouble(ways, held=share, by=late),
        }.get(fault.kind)

    def _mild(self, trouble: Trouble) -> bool:
        assert self._scenario.together is not None
        late = trouble.by > MILD_DELAY * self._scenario.together.period_ms / 1000
        return trouble.lost <= MILD_LOSS and not (late and trouble.held > MILD_LOSS)

    async def purge(self, name: str) -> None:
        """An operator's purge by hand at one limiter, of the account of those that keep which asks most."""
        if not self._keepers:
            return
        account = max(sorted(self._keepers), key=lambda id: self._asked[id])
        id = f"purge-{name}-{self._stage.now():.3f}"
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
            return self._stage.complain(f"the histories cannot be read: {error}")
        for one in found:
            self._stage.record(one)

    def close(self) -> None:
        self._relay.close()
        self.harness.close()
