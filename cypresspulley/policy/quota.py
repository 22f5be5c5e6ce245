"""Quotas and what gateways tell each other of them: the accounts, the counter's calls, the messages."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import partial
from random import Random

from cypresspulley import interface as api
from cypresspulley.interface import Action, Status
from cypresspulley.messages import KEYS
from cypresspulley.policy.account import Account, Answered, Calls
from cypresspulley.policy.classes import Plans
from cypresspulley.policy.incarnation import Incarnation
from cypresspulley.policy.request import Request
from cypresspulley.policy.slots import LASTS, Slots
from cypresspulley.policy.usage import UsageBroadcast
from cypresspulley.policy.walltime import WallTime
from cypresspulley.policy.windows import CeilingWindow

UNVOUCHED = 0.08  # of the worth asked inside quotas, what the rest may cost
SAMPLE = 0.1  # a weight
FORGET = 60.0  # idle seconds until an account is dropped
LIFETIME = 60.0  # seconds that a shared count lives
DEAF = 3.0  # seconds with no message of another gateway after which the even share alone counts


@dataclass(frozen=True, slots=True)
class Verdict:
    """Whether a try is inside its quota. ``counted``: what the counter was told of it already, None for nothing."""

    inside: bool
    counted: float | None = None
    voucher: str = "count"  # who vouches for its units: that, window, message, even share, level, nobody
    why: str = "quota"  # what it is refused for where it is not


class Quotas:
    """``emit`` takes the actions; they are this gateway's alone, and so are all accounts here."""

    def __init__(
        self, settings: api.Settings, rng: Random, now: float, emit: Callable[[Action], None],
        open_: dict[int, Request], launch: Callable[[float, Request, Verdict], None],
    ) -> None:  # fmt: skip
        self._open = open_
        self._launch = launch
        self._rng = rng
        self._born = now
        self._emit = emit
        self._settle(settings)
        self.dropped_plans = Plans(settings)
        self.accounts = dict[tuple[str, str], Account]()
        self.usage: UsageBroadcast | None = None
        self._keys = dict[int, Account]()  # by the part of a name that messages carry
        self._follow_usage(now, settings)
        self.calls = Calls(now, settings.gateways, rng.random(), emit)
        self.incarnation = Incarnation(settings, rng, now)
        self.wall = WallTime()
        self._spare = 0.0  # left of what the rest may cost
        self._young = 0.5  # share of answers
        self._beyond = 0.2  # share of answers

    def _settle(self, settings: api.Settings) -> None:
        self._set = settings
        self._plans = {p.name: p for p in settings.plans}
        self._price = sum(p.price for p in settings.plans) / max(1, len(settings.plans)) or 1.0

    def _follow_usage(self, now: float, settings: api.Settings) -> None:
        """Messages between gateways, where there is a way for them and no counter."""
        if not settings.may_tell or settings.inbox <= 0 or settings.gateways < 2 or settings.has_counter:
            self.usage = None
        elif self.usage is None:
            self.usage = UsageBroadcast(now, settings.gateways, settings.inbox)
            self._keys = {a.name % KEYS: a for a in self.accounts.values()}
        else:
            self.usage.follow(settings.gateways, settings.inbox)

    def retune(self, now: float, settings: api.Settings) -> None:
        """Other settings. Levels go on, under the new plans' bounds; an account of a dropped plan keeps its own."""
        self._settle(settings)
        self.dropped_plans.change(now, settings)
        for (_, account), a in self.accounts.items():
            a.refill(now)
            a.follow(self._plans.get(a.plan.name, a.plan), f"{a.plan.name} {account}", settings)
        for r in self._open.values():
            r.slot = r.slot and r.account.slots is not None
        self.calls.follow(settings.gateways)
        self.incarnation.follow(settings)
        self._follow_usage(now, settings)

    def account(self, now: float, ev: api.Request) -> Account:
        """The account that a try is of, refilled to now."""
        key = ev.plan, ev.account
        if (a := self.accounts.get(key)) is None:
            plan = self._plans.get(ev.plan) or self.dropped_plans.record(now, ev.plan) or api.Plan(ev.plan)
            a = self.accounts[key] = Account(now, ev, plan, self._born, self._set)
            if self.incarnation.first:
                a.begin_full()
            if self.usage is not None:
                self._keys[a.name % KEYS] = a
                self.usage.met(now, a)
                a.heard = now
        a.refill(now)
        self._mark_incarnation(now)
        return a

    def _mark_incarnation(self, now: float) -> None:
        """The counter is asked whether this gateway was there before, and told that it is, when that is due."""
        if (call := self.incarnation.call(now)) is not None:
            self.calls.ask(now, call.name, call.lifetime, call.amount, self._told_of_incarnation)

    def _told_of_incarnation(self, now: float, ev: api.Counted) -> None:
        for account in self.accounts.values() if self.incarnation.told(now, ev) else ():
            account.begin_full()

    def tick(self, now: float) -> None:
        """Once an interval: idle accounts go, what is owed to the counter is told."""
        self._mark_incarnation(now)
        for key, a in list(self.accounts.items()):
            # A ceiling is full before it is forgotten: a new account would start with more than was left.
            grown = a.ceiling * a.share + a.keep * a.plan.ceiling_rate * (now - a.at)
            full = grown >= a.keep * a.plan.ceiling_burst
            if now - a.at > FORGET and not a.open and full:
                del self.accounts[key]
                self._keys.pop(a.name % KEYS, None)
                continue
            if a.slots is not None and a.slots.late(self.wall.at(now)) and self.calls.left(now) >= 1:
                self._tell_out(now, a.slots)
            if abs(a.pending) > 1e-9 and now - a.asked > 1.0 and a.level < 0.7 * a.plan.burst:
                self.count(now, a)

    @staticmethod
    def too_dear(r: Request) -> bool:
        """Whether no store of the plan could ever hold it here: waiting for one would be in vain."""
        a, plan = r.account, r.account.plan
        most = max(a.keep * plan.ceiling_burst / a.share, a.window.most if a.window else 0.0)
        capped = plan.ceiling_rate > 0 and r.most > most + 1e-9
        return capped or (plan.rate > 0 and r.units > plan.burst + 1e-9)

    @staticmethod
    def under_ceiling(r: Request) -> bool:
        """Whether the even share of the ceiling holds it, or a window that was asked."""
        return r.account.plan.ceiling_rate <= 0 or r.granted is not None or r.account.ceiling >= r.most

    def window_may_hold(self, now: float, r: Request) -> bool:
        """Whether its window may hold what the even share does not: by the counter, or by what is kept here."""
        window, in_time = r.account.window, r.deadline - now >= 3 * self._set.counter_timeout
        if window is None:
            return False
        asks = in_time and window.has_room(now, r.most) and self.calls.left(now) >= 1
        return asks or window.has_credit(now, r.most)

    @staticmethod
    def give_back(r: Request) -> None:
        """What a window holds for a try that was not sent on: no count is lowered, which could have ended meanwhile."""
        if r.granted is not None and r.account.window is not None:
            r.account.window.keep(r.granted, r.most)
        r.granted = None

    def _ask_window(self, now: float, r: Request, window: CeilingWindow) -> None:
        answered = partial(self._window_answered, r, now)
        self.calls.ask(now, window.name, window.length, r.most, answered)

    def _window_answered(self, r: Request, asked: float, now: float, ev: api.Counted) -> None:
        r.account.refill(now)
        if ev.status is Status.OK and (window := r.account.window) is not None:
            r.granted = window.granted(asked, now, ev.total, r.most, self._rng.random())
        if self._open.get(r.id) is not r:
            self.give_back(r)  # its client left meanwhile
        elif r.granted is not None:
            self._launch(now, r, self._plainly(now, r))
        else:
            self._launch(now, r, Verdict(False, why="ceiling"))

    @staticmethod
    def _plainly(now: float, r: Request) -> Verdict:
        """Inside its quota as far as is known here: a ceiling kept by its windows bounds what passes unseen."""
        a = r.account
        level = min(a.plan.burst, a.level - a.others * (now - a.synced))
        return Verdict(a.plan.rate <= 0 or level >= r.units, 0.0, "window")

    def judge(self, now: float, r: Request) -> Verdict | None:
        """Whether a try is inside its quota, by the first who can vouch for its units; None: the counter is asked."""
        a, plan = r.account, r.account.plan
        self._spare = min(r.worth, self._spare + UNVOUCHED * (1 - self._beyond) * r.worth * (not r.repeat))
        if a.window is not None or (a.low_traffic and plan.ceiling_rate > 0 and self._set.has_counter):
            return self._judge_by_window(now, r)
        expected, calls = min(plan.burst, a.level - a.others * (now - a.synced)), self.calls
        worst = min(0.9 * plan.burst * (1 - 1 / a.share), max(a.others, plan.rate) * (now - a.synced))
        plenty = expected - worst - 0.1 * plan.burst >= r.units or a.share <= 1
        # The fleet shares the counter: with few calls left one request in so many asks, and counts for all.
        chance = min(1.0, calls.left(now) / 2) * min(1.0, plan.price / self._price)  # and by the stake
        if plan.rate <= 0 or not self.room_out(now, r):
            return Verdict(bool(self.room_out(now, r)), voucher="level")
        if self.usage is not None and now - self.usage.heard_at < DEAF:
            return Verdict(a.level >= r.units, voucher="message")
        if not self._set.has_counter or now < calls.silent_until:
            inside = expected >= r.units if a.low_traffic else a.floor >= r.units * self._rng.random()
            return Verdict(inside, voucher="even share")
        if a.level < r.units or (plenty and not a.low_traffic):
            return Verdict(a.level >= r.units, voucher="level")
        late = r.deadline - now < 3 * self._set.counter_timeout
        if late or plan.over_worth > plan.over_cost or chance < max(0.05, self._rng.random()):
            return self._unvouched(r, expected)
        # Near the quota the counter is asked first, with the units where they will likely be granted.
        step = 0.0 if r.repeat and a.low_traffic else r.units / (max(0.4, chance) if a.low_traffic else 1.0)
        self.count(now, a, r, step)
        return None

    def _judge_by_window(self, now: float, r: Request) -> Verdict | None:
        """The verdict on a try whose ceiling is kept by a window, or by an even share of which little is known."""
        window, verdict = r.account.window, self._plainly(now, r)
        if window is None or self.under_ceiling(r):
            return verdict
        if not verdict.inside and r.account.plan.over_worth <= r.account.plan.over_cost:
            return verdict  # it is refused anyway: it needs nothing of the window
        r.granted = window.use_credit(now, r.most)
        if r.granted is not None:
            return verdict
        self._ask_window(now, r, window)
        return None

    def _unvouched(self, r: Request, expected: float) -> Verdict:
        """Nobody vouches for its units. What comes again or often here is most likely beyond its quota; of the rest so
        much passes as may cost a part of what is asked inside quotas here: summed over gateways, the same part."""
        a, allowed = r.account, self._spare >= 0
        passes = expected >= r.units and (
            not a.low_traffic or (allowed and not r.repeat and a.floor >= r.units)
        )
        self._spare -= passes * a.low_traffic * self._beyond * a.plan.over_cost * r.worth
        return Verdict(passes, 0.0 if a.low_traffic else None, "nobody")

    def sent(self, now: float, r: Request, verdict: Verdict) -> None:
        """A try was sent on: it takes its units."""
        a, plan = r.account, r.account.plan
        if plan.ceiling_rate > 0 and r.granted is None:
            a.ceiling, a.drawn = a.ceiling - r.most, a.drawn + r.most
        if not verdict.inside:
            return
        counted, r.inside = verdict.counted, True
        a.floor = max(-r.units, a.floor - r.units)
        a.level = max(0.0, a.level - (0.0 if counted else r.units))
        a.pending += r.units * (counted is None)
        a.mine += r.units
        if self.usage is not None:
            self.usage.owed[a.name] = a
        due = a.pending >= 0.3 * min(a.level, plan.burst) / a.share
        if counted is None and self._set.has_counter and due and a.share > 1:
            self.count(now, a)

    def unsent(self, now: float, r: Request, verdict: Verdict) -> Verdict:
        """A try is not sent on inside its quota after all: the count gets back what it was told."""
        if verdict.counted:
            self.count(now, r.account, own=-verdict.counted)
        return Verdict(False)

    def count(self, now: float, a: Account, r: Request | None = None, own: float = 0.0) -> None:
        """Tell the counter what is owed and ``own`` more, with the try that waits for its answer."""
        a.pending, a.level = a.pending + own, a.level - own
        room = r is not None or own != 0 or self.calls.left(now) >= 1  # what is owed cannot wait
        if room and self._set.has_counter and a.plan.rate > 0:
            step, a.pending, a.asked = a.pending, 0.0, now
            then = partial(self._counted, a, step, r, own if r is not None else 0.0)
            self.calls.ask(now, a.name, LIFETIME, step, then)

    def room_out(self, now: float, r: Request, verdict: Verdict | None = None) -> bool | None:
        """Whether its customer may have one more out, as far as is known here: the even share, where nobody can be
        asked. With the verdict on its units it then counts as out; None where the counter is asked and it waits."""
        a, most, slots = r.account, r.account.plan.open_limit, r.account.slots
        if most <= 0 or r.slot:
            return True
        in_time = r.deadline - now >= 3 * self._set.counter_timeout
        asks = slots is not None and not r.coming and in_time and self.calls.left(now) >= 1
        room = (asks or a.open < -(-most // a.share)) and (slots is None or now >= slots.full_until)
        if verdict is None or not room or slots is None or r.coming:
            return room
        r.slot = True
        slots.change(self.wall.at(now), 1)
        if asks:
            self._tell_out(now, slots, partial(self._out_told, r, slots, verdict))
        return None if asks else True  # unasked, it is told with the next call

    def whole(self, now: float, r: Request) -> None:
        """The last byte of its body has come: from now on it counts as out."""
        if r.out and not r.slot and r.account.slots is not None:
            r.slot = True
            r.account.slots.change(self.wall.at(now), 1)

    def _tell_out(self, now: float, slots: Slots, then: Answered = lambda _now, _ev: None) -> None:
        name, amount, spell = slots.call()

        def told(now: float, ev: api.Counted) -> None:
            if ev.status in api.NEVER_ADDED:
                slots.missed(spell, amount)
            then(now, ev)

        self.calls.ask(now, name, 2 * LASTS, amount, told)

    def _out_told(self, r: Request, slots: Slots, verdict: Verdict, now: float, ev: api.Counted) -> None:
        a, most = r.account, r.account.plan.open_limit
        if self._open.get(r.id) is not r:
            self.unsent(now, r, verdict)  # its client left meanwhile
            return
        room = ev.total <= most + 1e-6 if ev.status is Status.OK else a.open < -(-most // a.share)
        if most > 0 and not room:  # new settings may have taken the limit away
            self.free(now, r)
            slots.full_until = now + r.work / most
        self._launch(now, r, verdict)

    def free(self, now: float, r: Request) -> None:
        """A try no longer counts among what is out."""
        if r.slot and (slots := r.account.slots) is not None:
            r.slot, slots.full_until = False, 0.0
            slots.change(self.wall.at(now), -1)
            if slots.owed and now >= self.calls.silent_until:
                self._tell_out(now, slots)

    def _counted(
        self, a: Account, step: float, r: Request | None, units: float, now: float, ev: api.Counted
    ) -> None:  # fmt: skip
        """The counter's answer; a try that waited for it is launched."""
        a.refill(now)
        if ev.status is Status.OK:
            if (older := a.told(now, ev.total, step, units, self._young >= 0.5)) is not None:
                self._young += SAMPLE * (older - self._young)
        elif ev.status in api.NEVER_ADDED:  # else it is taken for added: told twice it would be used twice
            a.pending += step
        asked, r = r is not None, r if r is not None and self._open.get(r.id) is r else None
        own = r.units if r is not None else 0.0
        left = a.level + units - own - (0 if ev.status is Status.OK else a.others * (now - a.synced))
        # Where the guess in the step was wrong the count gets the units back, or gets them at all.
        lost = r is not None and a.low_traffic and ev.status is not Status.OK
        verdict = self._unvouched(r, left + own) if r is not None and lost else Verdict(left >= -1e-6)
        used = own if verdict.inside else 0.0
        right = used if units == 0 else -units * (used == 0)
        if r is not None and not r.repeat and ev.status is Status.OK:
            self._beyond += SAMPLE * ((used == 0) - self._beyond)
        if asked and right:
            self.count(now, a, own=right)
        if r is not None:
            self._launch(now, r, replace(verdict, counted=(units or right) if used else 0.0))
        if a.pending > 0.25 * a.plan.burst and ev.status is Status.OK:
            self.count(now, a)
        a.level = max(a.level, 0.0)

    def tell(self, now: float) -> None:
        """A message to the others, where one is due."""
        if self.usage is not None and self.usage.due(now):
            self._emit(api.Tell(self.usage.write(now)))

    def heard(self, now: float, ev: api.Heard) -> None:
        """Another gateway's message."""
        if self.usage is None or ev.sender == self._set.index:
            return
        known, rows = self.usage.late, self.usage.read(now, ev.text)
        if self.usage.late and not known:
            for account in self.accounts.values():
                account.refill(now)
                self.usage.doubt(now, account)
        for key, units in rows:
            if (a := self._keys.get(key)) is not None:
                a.heard_of(now, units)
            else:
                self.usage.keep(now, key, units)

    def settle(self, _now: float, r: Request, ev: api.Outcome) -> None:
        """What an answer tells of its customer: the request's true units."""
        a = r.account
        # A figure that cannot be true settles nothing: what was taken stays taken, the ceiling's bound as well.
        true = ev.units if ev.status is Status.OK and ev.units is not None else -1.0
        known = 0 <= true <= max(self._set.max_units, r.most)
        if known and r.bound and a.plan.ceiling_rate > 0 and r.granted is None:
            a.ceiling_back(r.most - true)
        if known and r.inside:
            a.settled(true - r.units)
            if self.usage is not None:
                self.usage.owed[a.name] = a
