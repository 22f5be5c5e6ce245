"""The fleet as this gateway knows it: which servers there are, how they do, and which one a request goes to."""

import math
from collections.abc import Iterable
from random import Random

from cypresspulley import interface as api
from cypresspulley.interface import Effect, Status
from cypresspulley.policy.gate import AIM_SHARE, INTERVAL, PLAIN_ROOM, REFERENCE_LOAD, RESERVE, Gate
from cypresspulley.policy.request import Request
from cypresspulley.policy.ring import Groups, HashRing
from cypresspulley.policy.server import Server

MAX_KNOWN_SERVERS = 4096  # servers whose births are kept: operators are told which ids were never listed
SAME_BIRTH = 1e-6  # seconds by which two births may differ and be one
FEW = 8  # servers that a thin gate keeps to
# And at most: each costs a connection. At sixteen times the servers a limiter may make 2.5 times the connections and
# 40 more, and hold twice the descriptors and 40 (operators' page).
MOST = 64
SAMPLED = 24  # servers above which a choice is among a sample
SAMPLE = 8  # servers of a sample
UNUSED = 1e-6  # work a second, below which a server counts as unused
LONGER = 3.0  # of its work beyond that of the class of the shortest aim, what a request may add to the queue
SELDOM = 2.0  # answers a second of a server, below which its reports tell more than they do
FADE = 2.0  # seconds in which a report fades
FADED = 8.0  # seconds in which a report is gone
MAX_COLD_LOAD_SHARE = 0.75  # of the load that fells a cold server, the most it gets at all
STEADY_COLD_LOAD_SHARE = 0.5  # of the load that fells a cold server, the most it gets steadily
ANSWERED = (Status.OK, Status.ERROR, Status.FULL, Status.REJECTED)


class UnitCostModel:
    """How the work of a request grows with its units: a straight line through the mean, its slope a least-squares
    fit of latency on units, each as a share of its mean. Queueing adds to all alike and does not bend it."""

    def __init__(self) -> None:
        self.mean_units = 1.0
        self.slope = 0.0
        self._units_variance = 0.0
        self._covariance = 0.0
        self._mean_latency = 1.0
        self._samples = 0

    def work_factor(self, units: float) -> float:
        return max(0.2, 1 + self.slope * (units / self.mean_units - 1))

    def update(self, units: float, latency: float) -> None:
        self._samples += 1
        part = max(0.005, 1 / self._samples)
        self.mean_units += part * (units - self.mean_units)
        self._mean_latency += part * (min(latency, 10.0) - self._mean_latency)
        off = units / self.mean_units - 1
        self._units_variance += part * (off * off - self._units_variance)
        self._covariance += part * (off * (min(latency, 10.0) / self._mean_latency - 1) - self._covariance)
        if self._samples > 20 and self._units_variance > 1e-3:
            self.slope = min(1.0, max(0.0, self._covariance / self._units_variance))


class FreshReports:
    """Load reports of some servers that have not faded yet, the oldest first, and their mean."""

    def __init__(self, servers: Iterable[Server] = ()) -> None:
        self._servers = {s: None for s in sorted(servers, key=lambda s: s.reported_at)}
        self._sum = sum([s.reported_inflight for s in self._servers])

    def renew(self, server: Server, held: float, now: float) -> None:
        """A server has told how many requests it holds. Of others than the gateway's part it is kept alone."""
        if server.in_subset:
            if server in self._servers:
                self._sum -= server.reported_inflight
                del self._servers[server]
            self._servers[server] = None
            self._sum += held
        server.reported_inflight = held
        server.reported_at = now
        server.sent_since_report = 0

    def count(self, now: float) -> int:
        """How many there are, without those that have faded."""
        while self._servers and (oldest := next(iter(self._servers))).reported_at <= now - FADED:
            del self._servers[oldest]
            self._sum -= oldest.reported_inflight
        return len(self._servers)

    def mean(self) -> float:
        """Requests that the servers hold in the mean by their own word."""
        return self._sum / len(self._servers)


class LoadBalancer:
    """Servers by name, all gateways' ring of them, and the part of it that this gateway uses."""

    def __init__(self, settings: api.Settings, rng: Random, gate: Gate) -> None:
        self._rng, self._gate = rng, gate
        self.servers = dict[str, Server]()
        self._ring = HashRing()
        self.subset = list[Server]()
        self._groups = Groups()
        self._least_out = 0.0  # requests that may be out here in any case: three a server over all gateways
        self._rates = 0.0  # of ``mine``, work a second: they change by the tick
        # What a choice has to look at beyond a sample. Each may hold some that no longer belong there.
        self._busy = dict[Server, None]()  # work is out there
        self._cold = dict[Server, None]()  # slow start
        self._out = dict[Server, None]()  # nothing goes there for a while
        self._reported = FreshReports()
        self._used = dict[Server, None]()  # have a rate or are lost
        self._gone = dict[Server, None]()  # left the list
        self.bans = set[str]()  # servers taken out by hand
        self.births = dict[str, float]()  # births of all ever listed, where told
        self.idle_latency = dict[str, float]()  # idle latency of a class
        self.unit_cost = UnitCostModel()
        self._mean_finish_rate = 0.0
        self._settle(settings)

    def _settle(self, settings: api.Settings) -> None:
        self._set = settings
        shortest = min(settings.classes, key=lambda c: c.aim, default=None)
        self._tightest = shortest.name if shortest else ""
        self._patience = AIM_SHARE * (shortest.aim if shortest else 1.0)

    def apply_settings(self, now: float, settings: api.Settings) -> None:
        """Other settings; what is known of the servers goes on, and of classes that are what they were."""
        same = {c.name for c in settings.classes if c in self._set.classes}
        self.idle_latency = {name: idle for name, idle in self.idle_latency.items() if name in same}
        self._settle(settings)
        self._rebuild(now)

    def expected_work(self, cls: api.RequestClass, units: float) -> float:
        """Seconds that a request's work is likely to take an idle server."""
        return self.idle_latency.setdefault(cls.name, cls.aim * 0.1) * self.unit_cost.work_factor(units)

    @property
    def ring(self) -> list[Server]:
        """All usable servers, from this gateway's place on."""
        return self._ring.part(self._set.index, self._set.gateways)

    def begin_attempt(self, now: float, server: Server, work: float) -> None:
        """Work is out at a server from now on, which owes an answer."""
        server.outstanding_work += work
        server.silent_since = now if server.silent_since is None else server.silent_since
        self._busy[server] = None

    def tick(self, now: float, dt: float, open_: Iterable[Request]) -> list[api.Action]:
        """Once an interval: rates, trials of lost servers, those that are gone."""
        probes = list[api.Action]()
        # By what warm ones finish: of what is sent the overdriven fail, and cold ones are let do less than they could.
        if warm := [s.finished_work for s in self.subset if s.cold_since is None]:
            self._mean_finish_rate += 0.3 * (sum(warm) / len(warm) / dt - self._mean_finish_rate)
        for s in list(self._used):
            s.work_rate, s.finished_work = s.work_rate + 0.3 * (s.finished_work / dt - s.work_rate), 0.0
            if (
                s.up
                and s.unreachable
                and s.on_trial
                and self._set.may_probe
                and s.entry.name not in self.bans
            ):
                probes.append(api.Probe(s.entry.name))  # a probe is a cheaper trial than a request
                s.ejected_until = max(s.ejected_until, now + 1.5 * INTERVAL)
                self._out[s] = None
            if s.work_rate < UNUSED and not s.unreachable:
                s.work_rate = 0.0
                del self._used[s]
        if self._gone:
            self._forget_gone({s.ring_position for r in open_ for s in r.open_attempts.values()})
        self._choose(now)
        self._rates = sum([s.work_rate for s in self.subset])
        return probes

    def _forget_gone(self, busy: set[bytes]) -> None:
        """Ids are ever new: a server that is gone is forgotten once nothing is out there."""
        for s in list(self._gone):
            if s.gone and s.ring_position in busy:
                continue
            del self._gone[s]
            if s.gone:
                del self.servers[s.entry.name]
                self._used.pop(s, None)

    def record_probe(self, now: float, ev: api.Probed) -> None:
        if ev.status is Status.OK and (s := self.servers.get(ev.server)) and s.unreachable:
            s.ejected_until = now
            s.silent_since = None
            s.unreachable = False
            self._begin_slow_start(now, s, now)

    def update_servers(self, now: float, ev: api.ServerList) -> None:
        if ev.complete:
            for old in self.servers.values():
                old.up, old.gone = False, True
        for e in ev.entries:
            s = self.servers.get(e.name) or self.servers.setdefault(e.name, Server(e, self._rng.random()))
            started = self._start_age(now, e, s, ev.previous)
            s.entry, s.up, s.gone = e, e.health is api.Health.UP, e.health is api.Health.GONE
            s.listed_at = now
            self.births[e.name] = e.born
            if started is not None and started < self._set.warm_after:
                self._begin_slow_start(now, s, now - started)
                s.latency_ratio = 0.0
                s.ejected_until = min(s.ejected_until, now)
                s.on_trial = False
            if s.gone:
                self._gone[s] = None
            if not ev.complete:
                self._update(s)
        while len(self.births) > MAX_KNOWN_SERVERS:
            del self.births[next(iter(self.births))]
        if ev.complete:
            self._gone = {s: None for s in self.servers.values() if s.gone}
            self._rebuild(now)
        else:
            self._choose(now)

    def _update(self, server: Server) -> None:
        """Take a server in or off by what the list and operators say of it now."""
        usable = self._is_usable(server)
        self._ring.update(server, usable)
        self._groups.update(server, usable)

    def _begin_slow_start(self, now: float, server: Server, since: float) -> None:
        """A server does less than its share from ``since`` on, and what all gateways send it is bounded."""
        server.cold_since = since
        server.cold_budget = 0.0
        server.cold_budget_at = now
        if server.in_subset:
            self._cold[server] = None

    def _start_age(
        self, now: float, entry: api.ServerEntry, server: Server, previous: float | None
    ) -> float | None:
        """Seconds since a start that is news; None where the entry tells of none.

        A birth is wall time, and the wall clock may step: any birth but the last one known is a new start, which came
        about after discovery spoke last. The clock is believed only between then and now.
        """
        last_known = self.births.get(entry.name)
        if entry.born == 0.0:  # long ago
            return None
        if last_known is not None and abs(entry.born - last_known) <= SAME_BIRTH:
            return None
        known_otherwise = previous
        if known_otherwise is None and last_known is not None:
            known_otherwise = server.listed_at
        age = max(0.0, now - entry.born)
        return age if known_otherwise is None else min(age, max(0.0, now - known_otherwise))

    def set_ban(self, now: float, ev: api.Suspend) -> bool:
        """Operators take a server out or call it back; False for an id that was never listed.

        A ban goes by the name and lies over the list, so that it outlasts a server that leaves and returns.
        """
        if not (ev.sure or ev.server in self.births or ev.server in self.bans):
            return False
        back, s = ev.server in self.bans and not ev.out, self.servers.get(ev.server)
        (self.bans.add if ev.out else self.bans.discard)(ev.server)
        if back and s is not None:  # it may have been restarted, whatever the list says of its birth
            self._begin_slow_start(now, s, now)
            s.latency_ratio = 0.0
            s.ejected_until = now
            s.ejection_seconds = 0.0
            s.silent_since = None
            s.on_trial = False
            s.unreachable = False
        self._rebuild(now)
        return True

    def _is_usable(self, server: Server) -> bool:
        return server.up and server.entry.name not in self.bans

    def _rebuild(self, now: float) -> None:
        """Make all that is derived from the servers anew."""
        usable = [s for s in self.servers.values() if self._is_usable(s)]
        self._ring.rebuild(usable)
        self._groups.rebuild(usable)
        self._out = {s: None for s in self.servers.values() if s.ejected_until > now}
        self._used = {
            s: None for s in self.servers.values() if s.work_rate > 0 or s.finished_work > 0 or s.unreachable
        }
        self._busy = {
            s: None for s in self.servers.values() if s.outstanding_work > 0 or s.silent_since is not None
        }
        self._choose(now)

    def _choose(self, now: float) -> None:
        """A gateway of little traffic keeps to few: of hundreds it meets each once a minute and learns each failure
        anew. All gateways see one ring of servers, each from a place of its own: parts of it add up evenly."""
        index, gateways = self._set.index, self._set.gateways
        self._least_out = 3.0 * len(self._ring) / gateways
        want = min(MOST, max(FEW, -(-5 * len(self._ring) // gateways)))
        self._out = {s: None for s in self._out if s.ejected_until > now}
        if not self._out and not any(self._is_quiet(now, s) for s in self._busy):
            return self._take(self._ring.part(index, gateways, want))
        mine = list[Server]()
        for s in self._ring.part(index, gateways):
            want -= s.ejected_until <= now and not self._is_quiet(now, s)
            mine.append(s)
            if want <= 0:
                break
        self._take(mine)

    def _is_quiet(self, now: float, server: Server) -> bool:
        """Whether a server has owed answers for too long."""
        return server.silent_since is not None and now - server.silent_since > self._patience

    def _take(self, mine: list[Server]) -> None:
        """These servers are this gateway's part from now on."""
        if mine == self.subset:
            return
        before, after = set(self.subset), set(mine)
        self.subset = mine
        for s in before - after:
            s.in_subset = False
            self._cold.pop(s, None)
        for s in after - before:
            s.in_subset = True
            if s.cold_since is not None:
                self._cold[s] = None
        self._rates = sum([s.work_rate for s in mine])
        self._reported = FreshReports(mine)

    def _stay(self, cls: api.RequestClass) -> float:
        """The stay at a server that work of a class may bring about, in seconds. One queue serves all classes:
        a longer request may fill it beyond the shortest aim by what it is longer, being most of it itself."""
        longer = self.idle_latency.get(cls.name, 0.0) - self.idle_latency.get(self._tightest, 0.0)
        return min(cls.aim * AIM_SHARE, self._patience + LONGER * max(0.0, longer))

    def pick_server(self, now: float, r: Request) -> Server | None:
        """The server for an attempt; None where none should get it now."""
        # By Little's law: work out is the finished work a second times the stay that is wanted; four a server
        # over all gates at least. Quick answers give a thin gate three more, a load the chance of one.
        up, stay, part = self.subset, self._stay(r.cls), 1 - RESERVE * 0.5 * (1 - r.value_rank)
        few = len(up) <= SAMPLED
        rates = sum([s.work_rate for s in up]) if few else self._rates
        least = self._least_out
        slack = max(self._rng.random(), 3.0 - 2.5 * self._gate.load / REFERENCE_LOAD) * (least < 3)
        fleet = max(stay * rates, self._gate.mean_work * least) + self._gate.mean_work * slack
        # Rates are a mean of seconds and lag; where answers are quick a burst may have twice the work out.
        calm = max(0.0, 1 - self._gate.load / (PLAIN_ROOM * REFERENCE_LOAD))
        fleet *= 1 + calm * (self._gate.integral is not None)
        # Where answers are owed for long nothing new goes: a cut, hung or lost server. All alike is slowness.
        busy, patience = up if few else self._busy_of_mine(), self._patience
        quiet = [s for s in busy if s.silent_since is not None and now - s.silent_since > patience]
        quiet = quiet if len(quiet) <= len(up) / 2 else []
        if (
            sum([s.outstanding_work for s in busy if s.ejected_until <= now and s not in quiet])
            + 0.5 * r.work
            > fleet * part
        ):
            return None
        least = max(0.5 * stay * rates / max(1, len(up)), 3.5 * self._gate.mean_work)
        first, group, cold = r.first_run[0].entry if r.first_run else None, up, list[Server]()
        if first and r.cls.effect is Effect.KEYED and r.cls.scope is not api.Scope.ALL:  # it may have run
            group = self._groups.members(first.zone, first.cell if r.cls.scope is api.Scope.CELL else None)
        elif not few and self._cold:
            cold = self._fit(now, r, self._sample(list(self._cold)), quiet, stay, least, part)
        found = self._fit(now, r, group if few else self._sample(group), quiet, stay, least, part)
        # A cold one whose part is there comes first: left to chance among all, a thin gate's parts went unused.
        cold = [s for s in cold or found if s.cold_since is not None and self._has_cold_budget(now, s, r)]
        if cold:
            return self._least(now, cold, r, rates)
        warm = [s for s in found if s.cold_since is None]
        if not warm and len(group) > len(found) and not few:
            warm = [s for s in self._fit(now, r, group, quiet, stay, least, part) if s.cold_since is None]
        return self._least(now, warm, r, rates)

    def _fit(
        self, now: float, r: Request, group: list[Server], quiet: list[Server], stay: float, least: float, part: float
    ) -> list[Server]:  # fmt: skip
        """Those of a group that take the request's work, each up to ``stay`` seconds of what it does."""
        pool = group
        if r.attempts:
            pool = [s for s in group if all(s is not x for x, _ in r.attempts)] or group
        if not all(s.ejected_until > now for s in self.subset):  # every server is out: any beats none
            pool = [
                s
                for s in pool
                if s.ejected_until <= now and not (s.on_trial and s.outstanding_work > 0) and s not in quiet
            ]
        return [s for s in pool if s.outstanding_work + r.work * 0.5 <= max(stay * s.work_rate, least) * part]

    def _busy_of_mine(self) -> list[Server]:
        """Servers of this gateway's part that have work out or owe an answer."""
        for s in [s for s in self._busy if s.outstanding_work <= 0 and s.silent_since is None]:
            del self._busy[s]
        return [s for s in self._busy if s.in_subset]

    def _sample(self, servers: list[Server]) -> list[Server]:
        """All of a few servers; of more as many neighbours on the ring, which their names' hashes have shuffled.

        The least loaded of some drawn at random is nearly as good as that of all: Mitzenmacher, "The Power of Two
        Choices in Randomized Load Balancing" (2001).
        """
        if len(servers) <= SAMPLED:
            return servers
        start = int(self._rng.random() * len(servers))
        return servers[start : start + SAMPLE] + servers[: max(0, start + SAMPLE - len(servers))]

    def _least(self, now: float, fit: list[Server], r: Request, rates: float) -> Server | None:
        """The server of the least expected wait, by its own reports where this gateway meets each seldom.

        A report is of a moment past: it fades into the mean of the others', and what was sent since counts on top.
        Whose own answers come more often than reports are renewed knows more than these tell: with three gateways
        that believed them all, each report drew all of them to one server.
        """
        often = rates > SELDOM * self._gate.mean_work * len(self.subset)
        told = 0 if often else self._reported.count(now)
        if not told or told * 2 < len(self.subset):
            fit = self._rng.sample(fit, 2) if len(fit) > 2 else fit
            costs = {
                s.ring_position: max(1.0, s.latency_ratio)
                * (s.outstanding_work + r.work)
                / max(0.05, 1 - s.failure_rate) ** 2
                for s in fit
            }
            return min(fit, key=lambda s: costs[s.ring_position], default=None)
        mean = self._reported.mean()
        costs = {}
        for s in fit:
            held = (
                mean
                + (s.reported_inflight - mean) * math.exp((s.reported_at - now) / FADE)
                + s.sent_since_report
                + 1
            )
            costs[s.ring_position] = (
                held / max(0.05, 1 - s.failure_rate) ** 2 * (1 + 0.2 * self._rng.random())
            )
        return min(fit, key=lambda s: costs[s.ring_position], default=None)

    def _has_cold_budget(self, now: float, s: Server, r: Request) -> bool:
        low, age = self._set.cold_share, max(0.0, now - (s.cold_since or 0.0))
        warmth = low + (1 - low) * age / max(1e-9, self._set.warm_after)
        s.cold_since = s.cold_since if warmth < 1 else None
        # As busy as the warm ones, and no more: what it may get beyond that without falling it could not do in time.
        part = min(STEADY_COLD_LOAD_SHARE, 1 / max(1e-9, self._set.fall_multiple))
        fill = part * self._set.fall_multiple * min(1.0, warmth) * self._mean_finish_rate
        s.cold_budget, s.cold_budget_at = s.cold_budget + fill * (now - s.cold_budget_at), now
        # One at each of hundreds of gates pushes it over: each lets pass at its phase; savings lapse by whole ones.
        one = max(1e-9, self._gate.mean_work)
        saved = fill * self._set.fall_window * (MAX_COLD_LOAD_SHARE / part - 1)
        s.cold_budget -= one * max(0, math.ceil((s.cold_budget - saved) / one - s.budget_phase))
        return s.cold_budget > s.budget_phase * r.work

    def record_outcome(self, now: float, r: Request, s: Server, ev: api.Outcome) -> None:
        if (held := ev.report.get("inflight")) is not None:
            self._reported.renew(s, max(0.0, held), now)
        if ev.status is Status.OK:
            s.finished_work += r.work
            self._used[s] = None
            base = self.idle_latency.setdefault(r.cls.name, r.cls.aim * 0.1)
            size = self.unit_cost.work_factor(r.units)
            own = ev.elapsed / size
            self.idle_latency[r.cls.name] = base + (own - base) * (0.01 if own > base else 0.02)
            s.latency_ratio += (0.1 if s.latency_ratio else 1.0) * (own / base - s.latency_ratio)
            self.unit_cost.update(r.units, ev.elapsed / base)
        mute = (
            ev.status is Status.TIMEOUT
            and s.silent_since is not None
            and now - s.silent_since >= ev.elapsed - 1e-6
        )
        # One connection that breaks is no dead server: more must, one behind the other (what was out together
        # breaks together), with no answer in between, in a row that is as long as breaks are usual.
        snapped = ev.status in (Status.UNREACHABLE, Status.DROPPED, Status.BROKEN)
        up = [s] if ev.status is Status.OK and not s.ejection_seconds else self._sample(self.subset) or [s]
        usual, outs = sorted(x.failure_rate for x in up)[len(up) // 2], sum(x.ejected_until > now for x in up)
        vain = ev.status is Status.UNREACHABLE  # each such dial is a sign of its own
        if snapped:
            s.consecutive_breaks = s.consecutive_breaks + (vain or ev.elapsed <= now - s.last_break_at)
            s.last_break_at = now
        elif ev.status in ANSWERED:
            s.consecutive_breaks = 0
        dead = mute or (
            snapped
            and s.consecutive_breaks > 1
            and (vain or max(0.05, usual) ** s.consecutive_breaks < 0.005)
        )
        bad = dead or snapped or ev.status is Status.ERROR
        if ev.status not in (Status.CANCELLED, Status.NOT_SENT, Status.FULL, Status.REJECTED):
            s.failure_rate += (0.4 if dead else 0.2) * (bad - s.failure_rate)
        if ev.status is Status.OK:
            if s.unreachable and s.cold_since is None:  # it may have restarted unseen
                self._begin_slow_start(now, s, now)
            s.unreachable = False
            s.on_trial = False
            s.ejection_seconds = s.ejection_seconds * (s.failure_rate >= max(0.05, usual))
        # Lost, it may come back restarted and cold: that takes dials in vain. Who takes one and breaks it is there,
        # and one that keeps its connections and is silent hangs or is slow.
        s.unreachable = s.unreachable or (dead and vain)
        if s.unreachable:
            self._used[s] = None
        few = dead or outs < len(up) / 2
        if bad and few and s.ejected_until <= now and s.failure_rate > usual * (2 - dead) + 0.25:
            s.ejection_seconds = min(10.0, max(1.5, s.ejection_seconds * 2))
            s.ejected_until = now + s.ejection_seconds
            s.on_trial = s.cold_since is None  # or the budget tries it
            s.failure_rate = 0.2
            self._out[s] = None
            self._choose(now)
