"""Every decision of the quota gateway; its settings, events and actions are in interface.py."""

from bisect import bisect_left
from collections import deque
from collections.abc import Callable
from hashlib import blake2b
from random import Random
from typing import Any

from cypresspulley import interface as api
from cypresspulley.interface import Action, Effect, Status
from cypresspulley.quota import KEY_DIGITS, Account, Calls, Tells

REFERENCE, GAIN, RESET, INTERVAL, STALL = 0.8, 20.0, 2.8, 1.0, 2.5  # the design's loop; intervals of a stall
AIM_SHARE, PLAIN_ROOM = 0.5, 0.5  # latency / aim that reads as the reference; load / reference of plain room
SPLIT, FEW = 0.7, 8  # share of the aim until a second attempt; servers that a thin gate keeps to
DEPTH, RESERVE = 1.0, 0.6  # seconds of u that the gate holds; share kept from the least worthy work
THIN, TRICKLE = 3.0, 0.1  # requests that a thin gate holds; share of the arrivals let in for readings
FORGET, LIFETIME = 60.0, 60.0  # idle seconds until an account is dropped; seconds that a shared count lives
LONGER = 2.0  # of its work beyond that of the class of the shortest aim, what a request may add to the queue
DEAF = 3.0  # seconds with no message of another gateway after which the even share alone counts
COLD = 0.45  # of a load that fells a cold server
ANSWERED = (Status.OK, Status.ERROR, Status.FULL, Status.REJECTED)
NEVER_RAN = (Status.FULL, Status.UNREACHABLE, Status.DROPPED, Status.NOT_SENT)


class _Server:
    def __init__(self, entry: api.ServerEntry) -> None:
        self.entry, self.up, self.place = entry, True, blake2b(entry.name.encode(), digest_size=8).digest()
        self.open = self.done = self.rate = 0.0  # own work: out, since the last tick, a second
        self.slow = self.fails = 0.0  # latency over idle latency (0: unknown); share of broken attempts
        self.out_until = self.out_for = self.budget = self.budget_at = 0.0
        self.trial = self.lost = self.gone = False
        self.row, self.broke = 0, 0.0  # breaks with no answer in between; when the last came
        self.quiet: float | None = None  # since when it owes answers and gives none
        self.cold_at: float | None = None

    def ended(self, work: float) -> None:
        # Floating sums leave a remainder, and a server on trial that seems to have work out is asked no more.
        self.open = left if (left := self.open - work) > 1e-9 else 0.0


class _Sizes:
    """How the work of a request grows with its units: a straight line through the mean, its slope learned.

    The slope is that of a least-squares fit of the latency, as a share of its class's, on the units, as a share
    of their mean. Queueing adds to all alike and does not bend it; where every request counts one it stays 0.
    """

    def __init__(self) -> None:
        self.mean, self.slope, self._spread, self._common, self._latency = 1.0, 0.0, 0.0, 0.0, 1.0
        self._seen = 0

    def factor(self, units: float) -> float:
        return max(0.2, 1 + self.slope * (units / self.mean - 1))

    def learn(self, units: float, latency: float) -> None:
        self._seen += 1
        part = max(0.005, 1 / self._seen)
        self.mean += part * (units - self.mean)
        self._latency += part * (min(latency, 10.0) - self._latency)
        off = units / self.mean - 1
        self._spread += part * (off * off - self._spread)
        self._common += part * (off * (min(latency, 10.0) / self._latency - 1) - self._common)
        if self._seen > 20 and self._spread > 1e-3:
            self.slope = min(1.0, max(0.0, self._common / self._spread))


class _Request:
    __slots__ = (
        "account", "born", "bound", "cls", "deadline", "due", "id", "inside", "most", "out", "ran", "rank",
        "repeat", "tries", "units", "work",
    )  # fmt: skip

    def __init__(self, now: float, ev: api.Request, cls: api.RequestClass, acct: Account) -> None:
        self.id, self.cls, self.account, self.units = ev.id, cls, acct, ev.units
        self.bound, self.most = ev.bound, max(ev.units, ev.bound)  # a ceiling is held against the most
        self.deadline, self.born, self.repeat, self.inside = now + ev.ttl, now, ev.repeat, False
        # Past its aim an answer that earns nothing is only work; the time-out hands the server back.
        self.due = self.deadline if cls.late_worth else min(self.deadline, now + cls.aim)
        self.work, self.rank = 0.0, 1.0  # expected work; place among the recent by worth per work
        self.tries, self.out = list[tuple[_Server, float]](), dict[int, _Server]()
        self.ran: tuple[_Server, float] | None = None  # first attempt that may have run


class Gateway:
    def __init__(self, settings: api.Settings, seed: int, now: float) -> None:
        self._check(settings)
        self._set, self._rng, self._born = settings, Random(seed), now
        self._classes = {c.name: c for c in settings.classes}
        self._plans = {p.name: p for p in settings.plans}
        self._servers, self._requests = dict[str, _Server](), dict[int, _Request]()
        self._ring, self._mine, self._out = list[_Server](), list[_Server](), list[Action]()
        self._accounts, self._names = dict[tuple[str, str], Account](), dict[int, Account]()
        many = settings.may_tell and settings.inbox > 0 and settings.gateways > 1 and not settings.has_counter
        self._tells = Tells(now, settings.gateways, settings.inbox) if many else None
        self._keys = dict[int, Account]()  # by the part of a name that messages carry
        self._base, self._why = dict[str, float](), dict[str, int]()  # idle latency of a class; causes to log
        self._sum: float | None = None  # the controller's sum; None: fresh, admits freely
        self._u = self._tokens = self._reading = self._tries = self._admitted = self._done_rate = 0.0
        self._arrivals, self._held, self._timer = 0.0, 0, 0  # first tries a second; age of the readings
        self._sizes = _Sizes()
        self._mean, self._retries = 0.0, 10.0  # mean work of a request; further attempts that may be made
        self._filled = self._ticked = now
        self._calls = Calls(now, settings.gateways, self._rng.random())
        self._seen, self._ranks, self._load = deque[float](maxlen=300), list[float](), list[float]()
        self._handlers: dict[type, Callable[[float, Any], None]] = {
            api.Request: self._arrive, api.Outcome: self._outcome, api.Counted: self._counted,
            api.ServerList: self._listed, api.Probed: self._probed, api.Heard: self._heard,
            api.TimerFired: lambda _now, _ev: None, api.Departed: lambda _now, ev: self._forget(ev.id),
        }  # fmt: skip
        shortest = min(settings.classes, key=lambda c: c.aim, default=None)
        self._tightest = shortest.name if shortest else ""
        self._patience = AIM_SHARE * (shortest.aim if shortest else 1.0)

    def _check(self, s: api.Settings) -> None:
        one, above = ("gateways", "max_attempts"), ("cold_share", "fall_window")
        for key in (*one, *above, "warm_after", "counter_timeout"):
            if getattr(s, key) < (1 if key in one else 1e-9 if key in above else 0):
                raise ValueError(f"impossible setting: {key}")

    @property
    def held(self) -> dict[str, float]:
        """What is left of requests: all 0 once each has had its answer."""
        accounts = sum(a.open for a in self._accounts.values())
        return {"requests": len(self._requests), "of accounts": accounts,
                "work": sum(s.open for s in self._servers.values())}  # fmt: skip

    def handle(self, now: float, event: api.Event) -> list[Action]:
        self._out, ticked = [], event == api.TimerFired(self._timer)
        self._handlers[type(event)](now, event)
        if ticked:
            self._tick(now)
        if ticked or not self._timer:
            self._timer += 1
            self._out.append(api.SetTimer(INTERVAL, self._timer))
        return self._out

    def _tick(self, now: float) -> None:
        dt, self._ticked = max(1e-3, now - self._ticked), now
        for r in list(self._requests.values()):
            if now >= r.deadline and not r.out:
                self._end(now, r)
            elif r.out and now - r.born > r.cls.aim * AIM_SHARE / REFERENCE:
                self._load.append(1.0)  # an answer overdue is a reading before it comes
        arrivals, admitted = self._tries / dt, self._admitted / dt
        self._arrivals += (0.3 if self._arrivals else 1.0) * (arrivals - self._arrivals)
        arrivals, self._held = max(arrivals, self._arrivals), self._held + 1
        # Where a gate sees one request a second its few readings wait for each other, or it would never move.
        enough = len(self._load) >= 3 or (self._held >= 4 and self._load)
        load = sum(self._load) / len(self._load) if enough else None
        # K is made for a stream of its size: at hundreds of thin gates whole ones add up to on and off.
        gain, self._tries, self._admitted = min(GAIN, self._arrivals), 0.0, 0.0
        if dt > STALL * INTERVAL:
            self._sum = None  # a stall: the sum belongs to a load that is gone
        elif load is not None:
            error, self._reading = REFERENCE - load, load
            self._u = gain * error + (admitted if self._sum is None else self._sum)
            self._sum = self._u - gain * error
            if load < PLAIN_ROOM * REFERENCE and self._u < arrivals:
                self._sum, self._u = arrivals - gain * error, arrivals
            if error < 0 or self._u <= arrivals:
                self._sum = max(0.0, self._sum + gain / RESET * error)
        if load is not None or dt > STALL * INTERVAL:
            self._load, self._held = [], 0
        if self._timer % 10 == 0 and self._why:
            text = ", ".join(f"{k} {n}" for k, n in sorted(self._why.items())) + f"; load {self._reading:.2f}"
            text += f", u {self._u:.0f}/s{', counter silent' * (now < self._calls.silent_until)}"
            self._out, self._why = [*self._out, api.Log(f"turned away: {text}")], {}
        # By what was finished: by what was sent, overdriven servers would pass for able ones.
        done = sum(s.done for s in self._servers.values()) / dt / max(1, len(self._mine)) - self._done_rate
        # What cold ones are let do says nothing of what a warm one bears. Where it counted, each cold server
        # cut the budget of the others, and a fleet that looked cold stood still for good.
        if done > 0 or sum(s.cold_at is None for s in self._mine) > len(self._mine) / 2:
            self._done_rate += 0.3 * done
        for s in self._servers.values():
            s.rate, s.done = s.rate + 0.3 * (s.done / dt - s.rate), 0.0
            if s.up and s.lost and s.trial and self._set.may_probe:
                self._out.append(api.Probe(s.entry.name))  # a probe is a cheaper trial than a request
                s.out_until = max(s.out_until, now + 1.5 * INTERVAL)
        if any(s.gone for s in self._servers.values()):
            # Ids are ever new: one that is gone is forgotten once nothing is out there.
            busy = {s.place for r in self._requests.values() for s in r.out.values()}
            self._servers = {n: s for n, s in self._servers.items() if not s.gone or s.place in busy}
        self._choose(now)
        self._tell(now)
        self._ranks = sorted(self._seen)
        for key, a in list(self._accounts.items()):
            # A ceiling is full before it is forgotten: a new account would start with more than was left.
            full = a.ceiling * a.share + a.plan.ceiling_rate * (now - a.at) >= a.plan.ceiling_burst
            if now - a.at > FORGET and not a.open and full:
                del self._names[a.name], self._accounts[key]
                self._keys.pop(a.name % 64**KEY_DIGITS, None)
            elif abs(a.pending) > 1e-9 and now - a.asked > 1.0 and a.level < 0.7 * a.plan.burst:
                self._count(now, a)

    def _gate(self, now: float, r: _Request, reserve: float) -> bool:
        # A shut gate reads nothing and would stay shut; a full bucket lets any one request pass, into debt.
        rate, dt, self._filled = max(TRICKLE * self._arrivals, self._u), now - self._filled, now
        depth = max(THIN, rate * DEPTH)
        self._tokens = min(depth, self._tokens + rate * dt)
        need = r.work / self._mean + reserve * max(0, depth - 2)
        return self._sum is None or self._tokens >= min(depth, need)

    def _arrive(self, now: float, ev: api.Request) -> None:
        unknown = api.RequestClass(ev.request_class, max(ev.ttl, 0.01), 1.0, Effect.UNSAFE)
        cls, key = self._classes.get(ev.request_class, unknown), (ev.plan, ev.account)
        if (a := self._accounts.get(key)) is None:
            plan = self._plans.get(ev.plan, api.Plan(ev.plan))
            a = self._accounts[key] = Account(now, ev, plan, self._born, self._set.max_units)
            self._names[a.name] = a
            if self._tells is not None:
                self._keys[a.name % 64**KEY_DIGITS] = a
                self._tells.met(now, a)
                a.heard = now
        a.refill(now)
        self._tries += not ev.repeat
        self._tell(now)
        r = self._requests[ev.id] = _Request(now, ev, cls, a)
        r.work = self._base.setdefault(cls.name, cls.aim * 0.1) * self._sizes.factor(ev.units)
        self._mean += (r.work - self._mean) * (0.02 if self._mean else 1)
        value = cls.worth * a.plan.price * r.units / r.work
        self._seen.append(value)
        r.rank = bisect_left(self._ranks, value) / len(self._ranks) if self._ranks else 1.0
        if r.bound and self._too_dear(r):
            self._end(now, r, "too dear")
        elif a.plan.ceiling_rate > 0 and a.ceiling < r.most:
            self._end(now, r, "ceiling")
        elif self._gate(now, r, RESERVE * (1 - r.rank)):
            self._quota(now, r)
        else:
            self._end(now, r, "gate")

    @staticmethod
    def _too_dear(r: _Request) -> bool:
        """Whether no store of the plan could ever hold it here: waiting for one would be in vain."""
        plan, share = r.account.plan, r.account.share
        capped = plan.ceiling_rate > 0 and r.most > plan.ceiling_burst / share + 1e-9
        return capped or (plan.rate > 0 and r.units > plan.burst + 1e-9)

    def _quota(self, now: float, r: _Request) -> None:
        a, plan = r.account, r.account.plan
        expected = min(plan.burst, a.level - a.others * (now - a.synced))
        worst = min(0.9 * plan.burst * (1 - 1 / a.share), max(a.others, plan.rate) * (now - a.synced))
        plain = expected - worst - 0.1 * plan.burst >= r.units or a.share <= 1
        many = plan.open_limit > 0 and a.open >= -(-plan.open_limit // a.share)  # past the even share
        # The fleet shares the counter: with few calls left one request in so many asks, and counts for all.
        chance = min(1.0, self._calls.left(now) / 2)
        calm = a.thin and expected - 0.3 * plan.rate * (now - a.synced) > 0.6 * plan.burst  # not long ago
        chance *= 0.3 if calm else 1.0
        if many or plan.rate <= 0:
            inside = not many
        elif self._tells is not None and now - self._tells.heard_at < DEAF:
            inside = a.level >= r.units
        elif not self._set.has_counter or now < self._calls.silent_until:
            inside = expected >= r.units if a.thin else a.floor >= r.units * self._rng.random()  # even share
        elif a.level < r.units or (plain and not a.thin):
            inside = a.level >= r.units
        elif r.deadline - now < 3 * self._set.counter_timeout or chance < max(0.05, self._rng.random()):
            # Unasked, what comes again or often to this one gateway is most likely beyond its quota.
            likely = expected >= r.units and (calm or not (a.thin and (r.repeat or a.floor < r.units)))
            return self._launch(now, r, likely, counted=0.0 if a.thin else None)
        else:  # near the quota the counter is asked first, with the units where they will likely be granted
            step = 0.0 if r.repeat and a.thin else r.units / (max(0.4, chance) if a.thin else 1.0)
            return self._count(now, a, r.id, step)
        self._launch(now, r, inside)

    def _launch(self, now: float, r: _Request, inside: bool, counted: float | None = None) -> None:
        a, plan = r.account, r.account.plan
        if not (inside or (plan.over_worth > plan.over_cost and 0 < self._reading < 0.6 * REFERENCE)):
            return self._end(now, r, "quota")
        # Requests held for the counter must not draw on the ceiling together.
        if (plan.ceiling_rate > 0 and a.ceiling < r.most) or not self._send(now, r):
            if counted:
                self._count(now, a, own=-counted)
            return self._end(now, r, "no server")
        self._tokens -= r.work / self._mean if self._sum is not None else float("-inf")  # full when fresh
        self._admitted, self._retries = self._admitted + 1, min(10.0, self._retries + 0.1)
        a.ceiling -= r.most if plan.ceiling_rate > 0 else 0.0
        if inside:
            a.floor = max(-r.units, a.floor - r.units)
            a.level = max(0.0, a.level - (0.0 if counted else r.units))
            a.pending += r.units * (counted is None)
            a.mine, r.inside = a.mine + r.units, True
            if self._tells is not None:
                self._tells.owed[a.name] = a
            if (
                counted is None
                and self._set.has_counter
                and a.pending >= 0.3 * min(a.level, plan.burst) / a.share
                and a.share > 1
            ):
                self._count(now, a)

    def _count(self, now: float, a: Account, held: int | None = None, own: float = 0) -> None:
        a.pending, a.level = a.pending + own, a.level - own
        room = held is not None or own != 0 or self._calls.left(now) >= 1  # what is owed cannot wait
        if room and self._set.has_counter and a.plan.rate > 0:
            a.calls.append((a.pending, held, own if held is not None else 0.0, now))
            self._out.append(api.Count(a.name, LIFETIME, a.pending))
            self._calls.room, a.pending, a.asked = self._calls.room - 1, 0.0, now

    def _counted(self, now: float, ev: api.Counted) -> None:
        a = self._names.get(ev.name)
        if a is None or not a.calls:
            return
        step, held, units, made = a.calls.pop(0)
        a.refill(now)
        self._calls.ended(now, ev.status, made)
        if ev.status is Status.OK:
            a.told(now, ev.total, step, units)
        else:
            # What may have been added is taken for added: told twice it would be used twice.
            maybe = ev.status in (Status.TIMEOUT, Status.BROKEN, Status.SPOILT)
            a.pending += 0.0 if maybe else step
        r = self._requests.get(-1 if held is None else held)
        own = r.units if r else 0.0
        left = a.level + units - own - (0 if ev.status is Status.OK else a.others * (now - a.synced))
        if held is not None:
            # Where the guess in the step was wrong the count gets the units back, or gets them at all.
            used = own if left >= -1e-6 else 0.0
            right = used if units == 0 else -units * (used == 0)
            if right:
                self._count(now, a, own=right)
            if r is not None:
                self._launch(now, r, used > 0, counted=(units or right) if used else 0.0)
        if a.pending > 0.25 * a.plan.burst and ev.status is Status.OK:
            self._count(now, a)
        a.level = max(a.level, 0.0)

    def _tell(self, now: float) -> None:
        if self._tells is not None and self._tells.due(now):
            self._out.append(api.Tell(self._tells.write(now)))

    def _heard(self, now: float, ev: api.Heard) -> None:
        if self._tells is None or ev.sender == self._set.index:
            return
        known = self._tells.late
        rows = self._tells.read(now, ev.text)
        if self._tells.late and not known:
            for account in self._accounts.values():
                account.refill(now)
                self._tells.doubt(now, account)
        for key, units in rows:
            if (a := self._keys.get(key)) is not None:
                a.heard_of(now, units)
            else:
                self._tells.keep(now, key, units)

    def _settle(self, now: float, r: _Request, ev: api.Outcome) -> None:
        """What an answer tells of its customer: the request's true units, and the use of all gateways."""
        a = r.account
        # A figure that cannot be true settles nothing: what was taken stays taken, the ceiling's bound as well.
        true = ev.units if ev.status is Status.OK and ev.units is not None else -1.0
        known = 0 <= true <= max(self._set.max_units, r.most)
        if known and r.bound and a.plan.ceiling_rate > 0:
            a.ceiling = min(a.plan.ceiling_burst / a.share, a.ceiling + r.most - true)
        if known and r.inside:
            a.settled(true - r.units)
            if self._tells is not None:
                self._tells.owed[a.name] = a
        if ev.used is not None and a.plan.rate > 0 and self._tells is None and not self._set.has_counter:
            a.metered(now, ev.used * a.plan.rate)

    def _probed(self, now: float, ev: api.Probed) -> None:
        if ev.status is Status.OK and (s := self._servers.get(ev.server)) and s.lost:
            s.out_until, s.quiet, s.lost, s.cold_at, s.budget_at = now, None, False, now, now

    def _listed(self, now: float, ev: api.ServerList) -> None:
        for old in self._servers.values():
            old.up, old.gone = old.up and not ev.complete, old.gone or ev.complete
        for e in ev.entries:
            s = self._servers.setdefault(e.name, _Server(e))
            restarted = e.born > (s.entry.born + 1e-6 if s.entry is not e else 0.0)
            s.entry, s.up, s.gone = e, e.health is api.Health.UP, e.health is api.Health.GONE
            if s.up and restarted and now - e.born < self._set.warm_after:
                s.cold_at, s.budget, s.budget_at, s.slow = e.born, 0.0, now, 0.0
                s.out_until = min(s.out_until, now)
        # All gateways see one ring of servers, each from a place of its own: parts of it add up evenly.
        ring = sorted((s for s in self._servers.values() if s.up), key=lambda s: s.place)
        start = self._set.index * len(ring) // self._set.gateways
        self._ring = ring[start:] + ring[:start]
        self._choose(now)

    def _choose(self, now: float) -> None:
        """A thin gate keeps to few: of hundreds it meets each once a minute and learns each failure anew."""
        want, self._mine = max(FEW, -(-5 * len(self._ring) // self._set.gateways)), list[_Server]()
        for s in self._ring:
            want -= s.out_until <= now and (s.quiet is None or now - s.quiet <= self._patience)
            self._mine.append(s)
            if want <= 0:
                break

    def _stay(self, cls: api.RequestClass) -> float:
        """The stay at a server that work of a class may bring about, in seconds.

        One queue serves all classes. Where each filled it to its own aim, those of long aims left no room for
        the class of the shortest. A longer request may fill it by what it is longer, being most of it itself.
        """
        longer = self._base.get(cls.name, 0.0) - self._base.get(self._tightest, 0.0)
        return min(cls.aim * AIM_SHARE, self._patience + LONGER * max(0.0, longer))

    def _pick(self, now: float, r: _Request) -> _Server | None:
        # By Little's law: work out is the finished work a second times the stay that is wanted; four a server
        # over all gates at least. Quick answers give a thin gate three more, a load the chance of one.
        up, stay, part = self._mine, self._stay(r.cls), 1 - RESERVE * 0.5 * (1 - r.rank)
        total, least = stay * sum(s.rate for s in up), 4.0 * len(self._ring) / self._set.gateways
        slack = max(self._rng.random(), 3.0 - 2.5 * self._reading / REFERENCE) * (least < 3)
        fleet = max(total, self._mean * least) + self._mean * slack
        # Rates are a mean of seconds and lag; where answers are quick a burst may have twice the work out.
        fleet *= 1 + max(0.0, 1 - self._reading / (PLAIN_ROOM * REFERENCE)) * (self._sum is not None)
        # Where answers are owed for long nothing new goes: a cut, hung or lost server. All alike is slowness.
        quiet = [s for s in up if s.quiet is not None and now - s.quiet > self._patience]
        quiet = quiet if len(quiet) <= len(up) / 2 else []
        if sum(s.open for s in up if s not in quiet and s.out_until <= now) + 0.5 * r.work > fleet * part:
            return None
        least = max(0.5 * total / max(1, len(up)), 3.5 * self._mean)
        group, first = up, r.ran[0].entry if r.ran else None
        if first and r.cls.effect is Effect.KEYED and r.cls.scope is not api.Scope.ALL:  # it may have run
            group = [s for s in self._ring if s.entry.zone == first.zone]
            group = [s for s in group if r.cls.scope is not api.Scope.CELL or s.entry.cell == first.cell]
        pool = [s for s in group if s not in [x for x, _ in r.tries]] or group
        well = [s for s in pool if s.out_until <= now and not (s.trial and s.open > 0) and s not in quiet]
        well = pool if all(s.out_until > now for s in up) else well  # every server is out: any beats none
        fit = [s for s in well if s.open + r.work * 0.5 <= max(stay * s.rate, least) * part]
        fit = [s for s in fit if s.cold_at is None or self._cold_room(now, s, r)]
        fit = self._rng.sample(fit, 2) if len(fit) > 2 else fit
        costs = {s.place: max(1.0, s.slow) * (s.open + r.work) / max(0.05, 1 - s.fails) ** 2 for s in fit}
        return min(fit, key=lambda s: costs[s.place], default=None)

    def _cold_room(self, now: float, s: _Server, r: _Request) -> bool:
        low, age = self._set.cold_share, max(0.0, now - (s.cold_at or 0.0))
        warmth = low + (1 - low) * age / max(1e-9, self._set.warm_after)
        s.cold_at = s.cold_at if warmth < 1 else None
        fill = COLD * self._set.fall_multiple * min(1.0, warmth) * self._done_rate
        s.budget += fill * (now - s.budget_at)
        s.budget, s.budget_at = min(fill * self._set.fall_window * 0.5, s.budget), now
        # One request at each of hundreds of gates pushes it over: it passes as often as its part is there.
        return s.budget > r.work * self._rng.random()

    def _send(self, now: float, r: _Request) -> bool:
        wait = r.due - now
        s = self._pick(now, r) if wait > 0 else None
        if s is None:
            return False
        if r.cls.effect is not Effect.UNSAFE and len(r.tries) + 1 < self._set.max_attempts:
            wait = min(wait, max(SPLIT * r.cls.aim, 4 * max(1.0, s.slow) * r.work))
        r.out[len(r.tries)] = s
        r.tries.append((s, now))
        r.account.open += 1
        s.open, s.quiet = s.open + r.work, now if s.quiet is None else s.quiet
        s.budget -= r.work if s.cold_at is not None else 0.0  # warm, it owes nothing when unsure again
        self._out.append(api.Send(r.id, s.entry.name, wait))
        return True

    def _outcome(self, now: float, ev: api.Outcome) -> None:
        r, s = self._requests.get(ev.id), self._servers.get(ev.server)
        if s is None or r is None:
            return
        if r.out.pop(ev.attempt, None) is not None:
            s.ended(r.work)
            r.account.open -= 1
            if ev.status not in (Status.TIMEOUT, Status.CANCELLED, Status.UNREACHABLE):
                s.quiet = now if s.open > 1e-9 else None
            self._learn(now, r, s, ev)
            self._settle(now, r, ev)
            if s.open <= 1e-9:
                s.quiet = None  # with nothing out it owes no answer, and none could ever end its silence
        if ev.status not in NEVER_RAN and r.ran is None and ev.attempt < len(r.tries):
            r.ran = r.tries[ev.attempt]
        if ev.status is Status.REJECTED and not ev.finished:
            self._out.append(api.Fail(r.id))  # no other server would take it either
            self._forget(r.id)
        elif ev.finished:
            self._forget(ev.id)
        elif not r.out:
            self._again(now, r, ev.status)

    def _learn(self, now: float, r: _Request, s: _Server, ev: api.Outcome) -> None:
        if ev.status is Status.OK:
            s.done += r.work
            base, size = self._base[r.cls.name], self._sizes.factor(r.units)
            own = ev.elapsed / size
            self._base[r.cls.name] = base + (own - base) * (0.01 if own > base else 0.02)
            s.slow += (0.1 if s.slow else 1.0) * (own / base - s.slow)
            self._sizes.learn(r.units, ev.elapsed / base)
            self._load.append(min(1.0, ev.elapsed / r.cls.aim * REFERENCE / AIM_SHARE))
        elif ev.status in (Status.FULL, Status.TIMEOUT):
            self._load.append(1.0)
        mute = ev.status is Status.TIMEOUT and s.quiet is not None and now - s.quiet >= ev.elapsed - 1e-6
        # One connection that breaks is no dead server: more must, one behind the other (what was out together
        # breaks together), with no answer in between, in a row that is as long as breaks are usual. Where the
        # whole fleet breaks so often, a server that is dead but takes connections is found some tries later.
        snapped, up = ev.status in (Status.UNREACHABLE, Status.DROPPED, Status.BROKEN), self._mine or [s]
        usual, outs = sorted(x.fails for x in up)[len(up) // 2], sum(x.out_until > now for x in up)
        vain = ev.status is Status.UNREACHABLE  # each such dial is a sign of its own
        if snapped:
            s.row, s.broke = s.row + (vain or ev.elapsed <= now - s.broke), now
        elif ev.status in ANSWERED:
            s.row = 0
        dead = mute or (snapped and s.row > 1 and (vain or max(0.05, usual) ** s.row < 0.005))
        bad = dead or snapped or ev.status is Status.ERROR
        if ev.status not in (Status.CANCELLED, Status.NOT_SENT, Status.FULL, Status.REJECTED):
            s.fails += (0.4 if dead else 0.2) * (bad - s.fails)
        if ev.status is Status.OK:
            s.cold_at = now if s.lost and s.cold_at is None else s.cold_at  # it may have restarted unseen
            s.lost, s.trial, s.out_for = False, False, s.out_for * (s.fails >= max(0.05, usual))
        # Lost, it may come back restarted and cold: that takes dials in vain. Who takes one and breaks it is
        # there, and one that keeps its connections and is silent hangs or is slow. A restart between two
        # requests is not seen so; such a server is cold only once the list tells its birth.
        s.lost = s.lost or (dead and vain)
        if (
            bad
            and s.out_until <= now
            and s.fails > usual * (2 - dead) + 0.25
            and (dead or outs < len(up) / 2)
        ):
            s.out_for = min(10.0, max(1.5, s.out_for * 2))
            s.out_until, s.trial, s.fails = now + s.out_for, True, 0.2
            self._choose(now)

    def _again(self, now: float, r: _Request, status: Status) -> None:
        allowed = len(r.tries) < self._set.max_attempts and r.due - now > r.work and self._retries >= 1
        if r.ran is not None and r.cls.effect is not Effect.SAFE:
            allowed = allowed and r.cls.effect is Effect.KEYED and now - r.ran[1] < 0.95 * r.cls.window
        if not allowed or not self._send(now, r):
            return self._end(now, r)
        self._retries -= status not in (Status.UNREACHABLE, Status.DROPPED)

    def _end(self, now: float, r: _Request, why: str = "attempts") -> None:
        self._why[why] = self._why.get(why, 0) + 1
        a, effect = r.account, r.cls.effect
        if r.ran is None or effect is Effect.SAFE or (effect, r.cls.scope) == (Effect.KEYED, api.Scope.ALL):
            short = max(0.1, (r.units - a.level) / a.plan.rate if a.plan.rate else 0.0)
            left = max(0.0, min(a.level, a.plan.burst)) if a.plan.rate > 0 else -1.0
            self._out.append(api.Refuse(r.id, min(self._set.max_retry_after, short), why, left))
        else:
            self._out.append(api.Fail(r.id, why))
        self._forget(r.id)

    def _forget(self, request: int) -> None:
        if r := self._requests.pop(request, None):
            for s in r.out.values():
                s.ended(r.work)
                r.account.open -= 1
                s.quiet = s.quiet if s.open > 1e-9 else None  # nobody waits: it owes nothing any more
