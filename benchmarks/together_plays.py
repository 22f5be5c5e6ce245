"""Days in virtual time for ``together_mutants``: each returns the histories of its processes and of the harness.

    lanes      four gateways with modelled servers, loaded at 2.5 times their capacity for 45 seconds
               (``tests.lanes.day``)
    closing    four limiters with clocks of their own over two closings: one is paused, the clock of one steps back, one
               is partitioned; with purges and handovers (``tests.closing.world``)
    fleet      eight failure detectors on a lossy network: a kill and restart, a pause, a partition, a leave
               (``fleet_bed``)

The simulations are those of the packages' own tests. Here only their histories are used, which the checkers judge.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import replace
from datetime import UTC, datetime
from functools import partial
from random import Random
from typing import Any

from benchmarks.fleet_bed import EPOCH, Host, SimulatedFleet
from cypresspulley.closing.cache import CacheKey
from cypresspulley.closing.limiter import ClosingCache
from cypresspulley.closing.options import LEASE_WAIT_FACTOR, Options, calendar_from
from cypresspulley.fleet import timing
from cypresspulley.fleet.actions import Action, LifeRaised, MemberChanged, RowAccepted, Settled
from cypresspulley.histories.events import Kind
from cypresspulley.histories.read import HARNESS, Histories, from_memory
from cypresspulley.histories.writer import MemoryHistory
from cypresspulley.lanes.limiter import inversion_bound
from tests.closing import world as closing_world
from tests.lanes import day as lanes_day


def start_history(
    history: MemoryHistory, name: str, life: int, bounds: dict[str, float] | None = None
) -> MemoryHistory:
    """Write the first event of a life."""
    history.open_life(life)
    history.put(Kind.START, name=name, life=life, zone="", period=0.5, bounds=bounds or {})
    return history


# At a load of 2.5 the demand of premium is 1.5 times the capacity, so other lanes are admitted only by their floors.
MIX = {"guesthouse": 0.2, "standard": 0.2, "business": 0.3, "chain": 0.3}

# Accounts have a fifth of the rate, so that there are five times as many: shedding selects whole accounts, and a floor
# is the rate of a few of them.
ACCOUNT_DIVISOR = 5


def lanes(seed: int = 3) -> Histories:
    """Run a calm phase, an overload, and a calm phase."""
    histories: list[MemoryHistory] = []
    bounds = {"inversion": inversion_bound(lanes_day.LANES, 0.5)}

    def history(clock: Callable[[], float]) -> MemoryHistory:
        histories.append(start_history(MemoryHistory(clock, clock), f"limiter-{len(histories)}", 1, bounds))
        return histories[-1]

    lanes_day.History = history  # type: ignore[assignment,misc]
    lanes_day.PLANS = tuple(  # type: ignore[assignment]
        replace(plan, rate=plan.rate / ACCOUNT_DIVISOR, burst=plan.burst / 2) for plan in lanes_day.PLANS
    )
    options = lanes_day.DayOptions(
        phases=((10.0, 0.5), (45.0, 2.5), (15.0, 0.5)), capacity=40.0, mix=MIX, limiters=4, servers=4
    )
    lanes_day.Day(options, seed, lanes_day.with_lanes).run()
    return from_memory([events for recorded in histories for events in recorded.lives])


class RecordedBed(SimulatedFleet):
    """The fleet's test bed with a history for each process and one for the harness."""

    def __init__(self, seed: int, size: int) -> None:
        super().__init__(seed, loss=0.02, duplication=0.01)
        self._size = size
        self._histories = dict[str, MemoryHistory]()
        self._lives = list[MemoryHistory]()
        self.harness = start_history(MemoryHistory(self._clock, self._clock), HARNESS, 1)
        self.harness.put(Kind.TRUTH, closings=[], lanes=[], clock_bound=0.0, seconds=0.0)

    def _clock(self) -> float:
        return EPOCH + self.now

    def start(  # type: ignore[override]
        self, name: str, seeds: Sequence[str] = (), offset: float = 0.0, **more: Any
    ) -> Host:  # fmt: skip
        history = MemoryHistory(self._clock, lambda: self._clock() + offset)
        self._histories[name] = history
        self._lives.append(history)
        return super().start(name, seeds, offset, **more)

    def leave(self, name: str, after: float = 1.0) -> None:
        super().leave(name, after)
        self.at(self.now + after, lambda: self._histories[name].put(Kind.END, reason="asked to"))

    def _execute(self, host: Host, action: Action) -> None:
        history = self._histories[host.name]
        if not history.lives or isinstance(action, LifeRaised):
            size = self._size
            bounds = {"detect": timing.detect_bound(size, 0.5), "settle": timing.settle_bound(size, 0.5)}
            start_history(history, host.name, host.detector.view.local_member.life, bounds)
        match action:
            case MemberChanged(member, cause):
                history.put(
                    Kind.MEMBER, member=member.name, life=member.life, incarnation=member.incarnation,
                    state=member.state.name.lower(), cause=cause,
                )  # fmt: skip
            case RowAccepted(owner, life, subsystem):
                history.put(Kind.ROW, owner=owner, life=life, subsystem=subsystem)
            case Settled(settled, digest, members):
                history.put(Kind.SETTLED, settled=settled, digest=f"{digest:016x}", members=members)
        super()._execute(host, action)

    def fault(self, kind: str, targets: list[str], on: bool) -> None:
        self.harness.put(Kind.FAULT, kind_of=kind, targets=targets, on=on)

    def histories(self) -> Histories:
        self.harness.put(Kind.END, reason="over")
        return from_memory(
            [*(events for history in self._lives for events in history.lives), *self.harness.lives]
        )


def fleet(seed: int = 1) -> Histories:
    """Run a fleet through several faults, each of which has time to settle before the next one."""
    bed, names = RecordedBed(seed, 8), [f"l{n}" for n in range(8)]
    captured: list[tuple[str, bytes]] = []
    bed.tap = lambda source, target, data: captured.append((target, data)) if source == "l7" else None
    for name in names:
        bed.start(name, names[:2], rows={"lanes": name.encode()})
    bed.run(40.0)
    bed.tap = None
    bed.fault("limiter-kill", ["l7"], True)
    bed.kill("l7")
    bed.run(95.0)
    bed.start("l7", names[:2], rows={"lanes": b"its second life"})
    bed.run(100.0)
    for target, data in captured:  # datagrams of the earlier life, which the network delayed until now
        bed.carry("l7", target, data)
    bed.run(135.0)
    bed.fault("limiter-pause", ["l3"], True)
    bed.pause("l3")
    bed.run(140.0)
    bed.fault("limiter-pause", ["l3"], False)
    bed.resume("l3")
    bed.run(185.0)
    cut_off = {"l0", "l1", "l2"}
    bed.fault("fleet-cut", sorted(cut_off), True)
    bed.cuts.append(lambda a, b: (a in cut_off) != (b in cut_off))
    bed.run(215.0)
    bed.cuts.clear()
    bed.fault("fleet-cut", sorted(cut_off), False)
    bed.run(260.0)
    bed.leave("l6")
    bed.run(320.0)
    return bed.histories()


ACCOUNTS = tuple(f"{number:016x}" for number in range(1, 5))
CALENDAR: dict[str, Any] = {
    "version": 1,
    "in_force": datetime(2026, 11, 30, tzinfo=UTC),
    "places": {
        "pune": {"zone": "Asia/Kolkata", "weekdays": {"tue": ["05:31", "05:32:30"]}}
    },  # seconds 60 and 150
    "accounts": dict.fromkeys(ACCOUNTS, "pune"),
}
LEASE = 1.5  # seconds: shorter than the fleet view takes to detect a partitioned limiter as dead


class ClosingDay:
    """The clients and operators of a simulation of closings, and the harness's history of their calls and answers."""

    def __init__(self, seed: int) -> None:
        calendar = calendar_from(CALENDAR, "the play")
        self.options = Options(
            calendar, frozenset(("lookup",)), lease_seconds=LEASE, purge_seconds=4.0, lost_seconds=6.0
        )
        self._lives = list[MemoryHistory]()
        self.world = closing_world.World(seed, make_cache=self._make, configured_limiters=4)
        self._rng, self._asked = Random(seed), 0
        clock = lambda: self.world.now  # noqa: E731  # both clocks of the harness show the true time
        self.harness = start_history(MemoryHistory(clock, clock), HARNESS, 1)
        closings = calendar.timeline("pune").closings_between(closing_world.BEGIN, closing_world.BEGIN + 200)
        pairs = [[account, float(at)] for account in ACCOUNTS for _, at in closings]
        self.harness.put(
            Kind.TRUTH, closings=pairs, lanes=[], clock_bound=self.options.clock_bound, seconds=200.0
        )

    def _make(
        self, options: Options, view: closing_world.View, clock: Callable[[], float], wall: Callable[[], float],
        history: object, named: int,
    ) -> ClosingCache:  # fmt: skip
        recorded = MemoryHistory(lambda: self.world.now, wall)
        bounds = {"clock": options.clock_bound, "purge": LEASE_WAIT_FACTOR * options.lease_seconds + 0.5}
        self._lives.append(start_history(recorded, view.local_name, view.life, bounds))
        return ClosingCache(options, view, clock, wall, recorded, named)

    def lookup(self, limiter: closing_world.Limiter, account: str) -> None:
        """Make a client's call now; a paused limiter reads it from its buffer later."""
        self._asked += 1
        id, target = str(self._asked), self._rng.choice((b"/a", b"/b"))
        self.harness.put(Kind.CALL, id=id, account=account, plan="basic", cls="lookup", limiter=limiter.name)
        limiter.deliver(
            lambda: self._look(limiter, id, account, ("lookup", "basic", target + account.encode()))
        )

    def _look(self, limiter: closing_world.Limiter, id: str, account: str, key: CacheKey) -> None:
        cache, now = limiter.cache, self.world.now
        found = cache.find_answer(id, account, key)
        if found is not None:
            self.harness.put(Kind.ANSWER, id=id, status=200, made=float(found[0].body), kept=True)
            return
        sent, took = cache.stamp_lookup(account), self._rng.uniform(0.005, 0.05)
        made = now + took / 2

        def answered() -> None:
            if sent is not None and limiter.cache is cache:
                cache.store_answer(account, key, sent, b"", repr(made).encode())
            self.harness.put(Kind.ANSWER, id=id, status=200, made=made, kept=False)

        self.world.call_at(now + took, lambda: limiter.deliver(answered))

    def handover(self, limiter: closing_world.Limiter, account: str) -> None:
        """Make a request that is not safe to repeat."""
        cache = limiter.cache

        def begins() -> None:
            cache.begin_write(account)
            self.world.call_at(
                self.world.now + 0.05, lambda: limiter.deliver(lambda: cache.end_write(account, True, True))
            )

        limiter.deliver(begins)

    async def purge(self, limiter: closing_world.Limiter, account: str) -> None:
        """Purge an account at an operator's call."""
        self._asked += 1
        id = f"purge {self._asked}"
        self.harness.put(Kind.PURGE_CALL, id=id, account=account, limiter=limiter.name)
        missing = await limiter.closing.purge(account)
        self.harness.put(Kind.PURGE_ANSWER, id=id, status=503 if missing else 200, missing=list(missing))

    def histories(self) -> Histories:
        self.harness.put(Kind.END, reason="over")
        return from_memory(
            [*(events for history in self._lives for events in history.lives), *self.harness.lives]
        )


async def _closing(seed: int) -> Histories:
    closing_day = ClosingDay(seed)
    world, purges = closing_day.world, list[asyncio.Task[None]]()
    a, b, c, d = (
        world.add(name, closing_day.options, off)
        for name, off in zip("abcd", (0.07, -0.07, 0.0, 0.02), strict=True)
    )

    def at(second: float, what: Callable[[], None]) -> None:
        world.call_at(closing_world.BEGIN + second, what)

    rng, everyone = Random(seed + 1), (a, b, c, d)
    for second in range(6, 200):
        near = min(abs(second - closing) for closing in (60, 150)) <= 1 or second in (
            90,
            91,
            102,
            103,
            170,
            171,
        )
        for _ in range(240 if near else 40):
            at(second + rng.random(), partial(closing_day.lookup, rng.choice(everyone), rng.choice(ACCOUNTS)))
    for moment in (20, 45, 75, 100.2, 104, 110, 130):
        at(moment, partial(closing_day.handover, a, ACCOUNTS[int(moment) % 4]))
    at(100, lambda: world.cut({"d"}, {"a", "b", "c"}))
    at(120, world.cuts.clear)
    at(145, lambda: d.pause(5.2))
    at(150.6, lambda: setattr(c, "clock_offset", -3.0))
    at(156, lambda: setattr(c, "clock_offset", 0.0))

    def purge_later(limiter: closing_world.Limiter) -> None:
        purges.append(asyncio.ensure_future(closing_day.purge(limiter, ACCOUNTS[1])))

    for moment, limiter in ((90, a), (100.4, b), (170, c)):
        at(moment, partial(purge_later, limiter))
    while world.now < closing_world.BEGIN + 200:
        world.run(world.now + 0.02)
        for _ in range(3):  # let the tasks that wait for an answer continue
            await asyncio.sleep(0)
    await asyncio.gather(*purges)
    return closing_day.histories()


def closing(seed: int = 1) -> Histories:
    """Run limiters over closings at seconds 60 and 150.

    d is partitioned from 100 to 120 and paused from 145 to 150.2; c's clock steps back by 3 s after the second closing.
    """
    return asyncio.run(_closing(seed))


SCENARIOS: dict[str, Callable[[int], Histories]] = {"fleet": fleet, "lanes": lanes, "closing": closing}
