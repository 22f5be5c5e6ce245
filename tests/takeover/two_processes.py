"""Two processes of one limiter on the real decisions, without sockets, beside one bucket that rules over both.

The reference is the ceiling of one account as a single process would keep it: the terms in force at each instant, and
every unit that any process sent. It may not fall below 0, but for the stated slack (``max_ceiling_overshoot``) of a
change that came while the new process had no book yet.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, replace
from itertools import count

from cypresspulley import interface as api
from cypresspulley.plans.book import Assignment, Book, Change, Stamp, Terms, Version, Withdrawal
from cypresspulley.plans.bucket_level import BucketLevel, max_ceiling_overshoot
from cypresspulley.plans.follow import Follower
from cypresspulley.plans.limiter import PlanBookDecisions
from cypresspulley.plans.usage import UsageRecorder
from cypresspulley.policy.gateway import Gateway
from cypresspulley.policy.store_share import StoreShare
from cypresspulley.takeover.handover import LATE_AFTER_SECONDS
from cypresspulley.takeover.snapshot import (
    StateSplit,
    decode_snapshot,
    encode_snapshot,
    restore_snapshot,
    take_snapshot,
)
from cypresspulley.takeover.states import (
    STATE_TIMEOUT_SECONDS,
    TakeoverAction,
    TakeoverEvent,
    TakeoverMachine,
    TakeoverState,
)
from tests import world as w

ACCOUNT, BASE_PLAN = "hotel", "basic"
BASE = api.Plan(BASE_PLAN, rate=100.0, burst=100.0, over_cost=0.5, ceiling_rate=1.0, ceiling_burst=6.0)
CONFIG = w.settings(plans=(BASE,), gateways=1, has_counter=False)
LARGE, MIDDLE, SMALL = (Terms(100.0, 100.0, rate, 3 * rate) for rate in (8.0, 4.0, 2.0))
LONG_LEASE_MS, START = 10_000_000, 100.0
EPSILON = 1e-4  # units; a store that is not to refill is refilled by next to nothing


class Process:
    """The decisions of one process, with its own copy of the plan book."""

    def __init__(self, config: api.Settings, now: float) -> None:
        self.world = w.World(config, 5, now)
        self.gateway: Gateway = self.world.gateway
        self.follower = Follower("vadodara")
        self.machine = TakeoverMachine(TakeoverState.WATCHING)
        self.split: StateSplit | None = None
        self.is_accepting, self.has_book = True, False
        self.world.gateway = PlanBookDecisions(  # type: ignore[assignment]
            self.gateway, self.gateway, config, self.follower, UsageRecorder("n1", 1)
        )

    def refresh(self, now: float) -> None:
        """Handle an event, which brings the terms of this instant into force."""
        self.world.advance(now)
        self.world.feed(w.servers("s0", "s1", "s2"))


@dataclass
class Upgrade:
    """A takeover that is under way: the state that was offered, and the new process once it serves."""

    offered: tuple[str, str]
    new: Process
    is_serving: bool = False


class Limiter:
    """One limiter: the process that serves, and while an upgrade goes on the new one."""

    def __init__(self, config: api.Settings = CONFIG) -> None:
        self.now, self.config, self.book = START, config, Book("vadodara")
        self.lease_ms = LONG_LEASE_MS
        self.old = Process(config, self.now)
        self.old.gateway.quotas.incarnation.resume(self.now, is_first=True)
        self.old.refresh(self.now)
        self.upgrade: Upgrade | None = None
        self.leaving: Process | None = None
        self._ids, self._numbers = count(1), count(1)
        self._unheard = list[tuple[float, tuple[float, float], tuple[float, float]]]()
        # Units by which the ceiling may be passed: a process that heard of changes late may have applied old terms.
        self.slack = 0.0
        self.sent = 0
        self.is_new = True
        self.reference = BucketLevel(BASE.ceiling_burst, self.now, BASE.ceiling_rate, BASE.ceiling_burst)
        self.lowest = self.reference.units

    # The plan book and the settings.

    def version(self, plan: str, terms: Terms, after: float = 0.0) -> None:
        self._publish(Version(plan, self._instant(after), self._stamp(), terms))

    def assign(self, plan: str, after: float = 0.0) -> Stamp:
        stamp = self._stamp()
        self._publish(Assignment(ACCOUNT, self._instant(after), stamp, plan))
        return stamp

    def withdraw(self, target: Stamp) -> None:
        self._publish(Withdrawal(target, self._instant(0.0), self._stamp()))

    def _stamp(self) -> Stamp:
        return Stamp(1, next(self._numbers))

    def _instant(self, after: float) -> int:
        return int((self.now + after) * 1000)

    def _publish(self, change: Change) -> None:
        self.book = self.book.with_change(change)
        for process in self.processes:
            if process.has_book:
                self.tell_book(process)
        self._follow_terms()

    def tell_book(self, process: Process) -> None:
        """Let a process have the whole book, as after its first connection to the writer."""
        if not process.has_book:
            self.slack += sum(
                max_ceiling_overshoot(old, new, self.now - at) for at, old, new in self._unheard
            )
            self._unheard.clear()
        process.has_book = True
        process.follower.receive_book(1, self.book, int(self.now * 1000), self.lease_ms)
        process.refresh(self.now)

    def change_settings(self, config: api.Settings) -> None:
        """Send SIGHUP to each process."""
        self.config = config
        for process in self.processes:
            process.world.feed(api.SettingsChanged(config))
        self._follow_terms()

    @property
    def terms(self) -> tuple[float, float]:
        """The ceiling in force for the account: rate and burst."""
        at = int(self.now * 1000)
        assigned = self.book.assignment_at(ACCOUNT, at)
        version = self.book.version_at(assigned.plan, at) if assigned is not None else None
        version = version or self.book.version_at(BASE_PLAN, at)
        if version is not None:
            bound = self.old.follower.with_fallback_ceiling(version, at)
            return bound.terms.ceiling_rate, bound.terms.ceiling_burst
        plan = next(plan for plan in self.config.plans if plan.name == BASE_PLAN)
        return plan.ceiling_rate, plan.ceiling_burst

    def _follow_terms(self) -> None:
        if self.terms == (self.reference.rate, self.reference.burst):
            return
        if any(not process.has_book for process in self.processes) and self.book.plans:
            self._unheard.append((self.now, (self.reference.rate, self.reference.burst), self.terms))
        # An account that is new to the limiter starts full at most, by each of the terms that there were.
        start = replace(self.reference, units=math.inf) if self.is_new else self.reference
        self.reference = start.with_limits(self.now, *self.terms)

    # Time and requests.

    @property
    def processes(self) -> list[Process]:
        others = [self.upgrade.new if self.upgrade is not None else None, self.leaving]
        return [self.old, *(each for each in others if each is not None)]

    def advance(self, seconds: float) -> None:
        self.now = round(self.now + seconds, 3)
        for process in self.processes:
            process.refresh(self.now)
        self.reference = self.reference.refilled_until(self.now)
        self._follow_terms()

    def ask(self, process: Process, requests: int) -> int:
        """Send requests of the account to a process; return how many it sent on."""
        before, self.is_new = len(process.world.sends), False
        for _ in range(requests):
            process.world.advance(self.now)
            process.world.feed(api.Request(next(self._ids), "read", BASE_PLAN, 3.0, ACCOUNT, 1.0, 1))
            process.world.serve()
        sent = len(process.world.sends) - before
        self.sent += sent
        self.reference = self.reference.with_units_drawn(sent)
        self.lowest = min(self.lowest, self.reference.units)
        assert self.reference.units >= -self.slack - EPSILON, f"the ceiling was passed: {self.reference}"
        return sent

    # An upgrade and its ends.

    def offer(self, has_book: bool = True) -> Process:
        """Start a new process, which gets the state; it knows the book at once, or later by ``tell_book``."""
        new = Process(self.config, self.now)
        self._drive(TakeoverEvent.HELLO)
        assert self._offered is not None
        self.upgrade = Upgrade(self._offered, new)
        restore_snapshot(new.gateway, self.now, decode_snapshot(*self._offered))
        if has_book and self.old.has_book:
            self.tell_book(new)  # before its first event
        new.refresh(self.now)
        return new

    def serve(self) -> None:
        """Let the new process serve, and say so; the book has arrived there by now."""
        assert self.upgrade is not None
        if self.upgrade.is_serving:
            return
        if self.old.has_book and not self.upgrade.new.has_book:
            self.tell_book(self.upgrade.new)
        self.upgrade.is_serving = True
        if self.now - self._offered_at > LATE_AFTER_SECONDS:
            self.upgrade.new.gateway.quotas.skip_refills(self.now)
        self._drive(TakeoverEvent.SERVING)

    def end_new(self, event: TakeoverEvent = TakeoverEvent.ENDED) -> None:
        """End the new process; ``event`` is what the old one hears."""
        self._drive(event)
        self.upgrade = None

    def leave(self) -> None:
        """Send SIGTERM to the old process, which still works off its requests; the new one goes on."""
        assert self.upgrade is not None
        self.old.machine.handle(TakeoverEvent.LEAVE)
        self.old, self.leaving, self.upgrade = self.upgrade.new, self.old, None

    def end_leaving(self) -> None:
        self.leaving = None
        self.old.gateway.quotas.set_predecessor(False)

    _offered: tuple[str, str] | None = None
    _offered_at = 0.0

    def _drive(self, event: TakeoverEvent) -> None:
        for action in self.old.machine.handle(event):
            match action:
                case TakeoverAction.PAUSE:
                    self.old.is_accepting = False
                case TakeoverAction.OFFER:
                    self.old.gateway.quotas.refill_accounts(self.now)
                    self._offered = encode_snapshot(take_snapshot(self.old.gateway))
                    self._offered_at = self.now
                    self.old.split = StateSplit(self.old.gateway)
                case TakeoverAction.TAKE_BACK:
                    self._undo(whole=True)
                case TakeoverAction.COUNT_AS_USED:
                    self._undo(whole=False)
                case TakeoverAction.REFILL | TakeoverAction.STOP_REFILLS:
                    self.old.gateway.quotas.set_late_successor(self.now, action is TakeoverAction.REFILL)
                case TakeoverAction.RESUME:
                    self.old.is_accepting = True

    def hear(self, event: TakeoverEvent) -> None:
        self._drive(event)

    def time_out(self) -> None:
        """Let the timeout of the old process's state come, if it has one."""
        if self.old.machine.state in STATE_TIMEOUT_SECONDS:
            self._drive(TakeoverEvent.TIMEOUT)

    def _undo(self, whole: bool) -> None:
        split, self.old.split = self.old.split, None
        if split is not None:
            split.undo(whole, self.now)

    def check_alone(self) -> None:
        """Check that one process is left which accepts, holds whole stores and applies the terms in force."""
        assert self.upgrade is None and self.leaving is None
        assert self.old.is_accepting and self.old.machine.state is TakeoverState.WATCHING
        assert self.old.gateway.quotas.share is StoreShare.WHOLE
        self.ask(self.old, 1)
        accounts = self.old.gateway.quotas.accounts
        bound = [account for (_, name), account in accounts.items() if name == ACCOUNT]
        assert len(bound) == 1 and bound[0].lent is None
        assert (bound[0].plan.ceiling_rate, bound[0].plan.ceiling_burst) == self.terms
        assert bound[0].plan is bound[0].terms

    def units_here(self) -> float:
        """Return what the process that serves holds of the account's ceiling."""
        self.old.refresh(self.now)
        bound = [a for (_, name), a in self.old.gateway.quotas.accounts.items() if name == ACCOUNT]
        for account in bound:
            account.refill(self.now)
        return sum(account.ceiling_level for account in bound)


def halved(config: api.Settings) -> api.Settings:
    """Return settings with half of the base plan's ceiling."""
    plan = replace(BASE, ceiling_rate=BASE.ceiling_rate / 2, ceiling_burst=BASE.ceiling_burst / 2)
    return replace(config, plans=(plan,))
