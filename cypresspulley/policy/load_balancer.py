"""The load balancer of a gateway: keeps the state of the servers and selects one for each attempt."""

import math
from collections.abc import Iterable
from random import Random

from cypresspulley import interface as api
from cypresspulley.interface import Effect, Status
from cypresspulley.policy.gate import (
    LOW_LOAD_SHARE,
    MAX_RESERVE_SHARE,
    REFERENCE_AIM_SHARE,
    REFERENCE_LOAD,
    TICK_SECONDS,
    Gate,
)
from cypresspulley.policy.request import Request
from cypresspulley.policy.ring import DeduplicationGroups, HashRing
from cypresspulley.policy.server import Server

# Servers whose time of birth is kept, so that operators who name an id that was never listed get an error.
MAX_KNOWN_SERVERS = 4096
BIRTH_TOLERANCE_SECONDS = 1e-6  # two births that differ by no more are the same
MIN_SUBSET_SIZE = 8  # servers that a gateway with little traffic uses
# Each server of the subset costs at least one connection. With sixteen times the servers, the operators' limits allow a
# limiter 2.5 times the connections plus 40, and twice the file descriptors plus 40.
MAX_SUBSET_SIZE = 64
SAMPLING_THRESHOLD = 24  # number of servers above which only a sample of them is compared
SAMPLE_SIZE = 8  # servers
IDLE_WORK_RATE = 1e-6  # finished work per second below which a server counts as unused
# A request of a class that is longer than the class with the shortest aim may add this multiple of the difference in
# work to a server's queue.
LONG_WORK_FACTOR = 3.0
RARE_ANSWER_RATE = (
    2.0  # answers per second and server below which load reports are better than own observations
)
REPORT_DECAY_SECONDS = 2.0  # time constant with which a load report decays towards the mean of all reports
REPORT_MAX_AGE_SECONDS = 8.0  # age at which a load report is dropped
MAX_COLD_LOAD_SHARE = 0.75  # share of the load that overloads a cold server, sent to it at most
STEADY_COLD_LOAD_SHARE = (
    0.5  # share of the load that overloads a cold server, sent to it continuously at most
)
ANSWER_STATUSES = (Status.OK, Status.ERROR, Status.FULL, Status.REJECTED)


class UnitCostModel:
    """Estimates how the work of a request grows with its units.

    The model is a straight line through the mean. Its slope is a least-squares fit of latency on units, each as a
    share of its mean. Queueing adds to the latency of all requests alike and does not change the slope.
    """

    def __init__(self) -> None:
        self.mean_units = 1.0
        self.slope = 0.0  # 0 (units do not matter) to 1 (work is proportional to units)
        self._units_variance = 0.0
        self._covariance = 0.0
        self._mean_latency = 1.0
        self._samples = 0

    def work_factor(self, units: float) -> float:
        """Return the work of a request of ``units`` relative to one of mean units, at least 0.2."""
        return max(0.2, 1 + self.slope * (units / self.mean_units - 1))

    def update(self, units: float, latency: float) -> None:
        """Add a sample; ``latency`` is relative to the idle latency of the request's class."""
        self._samples += 1
        weight = max(0.005, 1 / self._samples)
        self.mean_units += weight * (units - self.mean_units)
        self._mean_latency += weight * (min(latency, 10.0) - self._mean_latency)
        deviation = units / self.mean_units - 1
        self._units_variance += weight * (deviation * deviation - self._units_variance)
        self._covariance += weight * (
            deviation * (min(latency, 10.0) / self._mean_latency - 1) - self._covariance
        )
        if self._samples > 20 and self._units_variance > 1e-3:
            self.slope = min(1.0, max(0.0, self._covariance / self._units_variance))


class RecentLoadReports:
    """Servers of the subset whose load reports are recent, the oldest report first, and the mean of the reports."""

    def __init__(self, servers: Iterable[Server] = ()) -> None:
        self._servers = {s: None for s in sorted(servers, key=lambda s: s.reported_at)}
        self._sum = sum([s.reported_inflight for s in self._servers])

    def record(self, server: Server, inflight: float, now: float) -> None:
        """Store a server's report of its requests in flight. Only servers of the subset count towards the mean."""
        if server.in_subset:
            if server in self._servers:
                self._sum -= server.reported_inflight
                del self._servers[server]
            self._servers[server] = None
            self._sum += inflight
        server.reported_inflight = inflight
        server.reported_at = now
        server.sent_since_report = 0

    def count_recent(self, now: float) -> int:
        """Drop reports that are too old and return the number of those left."""
        while (
            self._servers
            and (oldest := next(iter(self._servers))).reported_at <= now - REPORT_MAX_AGE_SECONDS
        ):
            del self._servers[oldest]
            self._sum -= oldest.reported_inflight
        return len(self._servers)

    def mean_inflight(self) -> float:
        """Return the mean number of requests in flight that the servers report."""
        return self._sum / len(self._servers)


class LoadBalancer:
    """Holds the servers by name, the hash ring that all gateways share, and the subset that this gateway uses."""

    def __init__(self, settings: api.Settings, rng: Random, gate: Gate) -> None:
        self._rng, self._gate = rng, gate
        self.servers = dict[str, Server]()
        self._ring = HashRing()
        self.subset = list[Server]()
        self._groups = DeduplicationGroups()
        # Requests that may always be outstanding here: three per server, shared evenly between the gateways.
        self._min_outstanding_requests = 0.0
        self._subset_work_rate = 0.0  # sum of the subset's work rates, which change once per tick
        # Servers that a selection must consider beyond its sample. Each may hold servers that no longer belong there.
        self._busy = dict[Server, None]()  # work is outstanding
        self._cold_servers = dict[Server, None]()  # in slow start
        self._ejected = dict[Server, None]()  # get no attempts for some time
        self._load_reports = RecentLoadReports()
        self._active = dict[Server, None]()  # have a work rate or are unreachable
        self._removed = dict[Server, None]()  # left the server list
        self.bans = set[str]()  # names of servers that operators have banned
        self.births = dict[str, float]()  # birth of each server that was ever listed, in wall time
        self.idle_latency = dict[str, float]()  # seconds, by class
        self.unit_cost = UnitCostModel()
        self._mean_finish_rate = 0.0  # work that a warm server finishes per second
        self._derive_limits(settings)

    def _derive_limits(self, settings: api.Settings) -> None:
        self._settings = settings
        shortest = min(settings.classes, key=lambda c: c.aim, default=None)
        self._shortest_aim_class = shortest.name if shortest else ""
        self._silence_limit = REFERENCE_AIM_SHARE * (shortest.aim if shortest else 1.0)

    def apply_settings(self, now: float, settings: api.Settings) -> None:
        """Apply new settings. The state of the servers and of unchanged classes is kept."""
        unchanged = {c.name for c in settings.classes if c in self._settings.classes}
        self.idle_latency = {name: idle for name, idle in self.idle_latency.items() if name in unchanged}
        self._derive_limits(settings)
        self._rebuild(now)

    def expected_work(self, cls: api.RequestClass, units: float) -> float:
        """Return the seconds that a request is expected to take on an idle server."""
        return self.idle_latency.setdefault(cls.name, cls.aim * 0.1) * self.unit_cost.work_factor(units)

    @property
    def ring(self) -> list[Server]:
        """All usable servers in ring order, beginning at this gateway's offset."""
        return self._ring.subset(self._settings.index, self._settings.gateways)

    def begin_attempt(self, now: float, server: Server, work: float) -> None:
        """Add work that is outstanding at a server from now on, and expect an answer from the server."""
        server.outstanding_work += work
        server.silent_since = now if server.silent_since is None else server.silent_since
        self._busy[server] = None

    def tick(self, now: float, dt: float, open_: Iterable[Request]) -> list[api.Action]:
        """Update the work rates, probe unreachable servers and forget removed ones, once per tick.

        ``dt`` is the time in seconds since the last tick, ``open_`` are the open requests.
        """
        probes = list[api.Action]()
        # Measured by what warm servers finish: of what is sent, overloaded servers fail a part, and cold servers are
        # sent less than they could do.
        if warm := [s.finished_work for s in self.subset if s.cold_since is None]:
            self._mean_finish_rate += 0.3 * (sum(warm) / len(warm) / dt - self._mean_finish_rate)
        for s in list(self._active):
            s.work_rate, s.finished_work = s.work_rate + 0.3 * (s.finished_work / dt - s.work_rate), 0.0
            if (
                s.up
                and s.unreachable
                and s.on_trial
                and self._settings.may_probe
                and s.entry.name not in self.bans
            ):
                probes.append(api.Probe(s.entry.name))  # costs less than a trial with a request
                s.ejected_until = max(s.ejected_until, now + 1.5 * TICK_SECONDS)
                self._ejected[s] = None
            if s.work_rate < IDLE_WORK_RATE and not s.unreachable:
                s.work_rate = 0.0
                del self._active[s]
        if self._removed:
            self._forget_removed({s.ring_position for r in open_ for s in r.open_attempts.values()})
        self._choose_subset(now)
        self._subset_work_rate = sum([s.work_rate for s in self.subset])
        return probes

    def _forget_removed(self, busy: set[bytes]) -> None:
        """Delete removed servers without open attempts. Ids are never reused, so that these would pile up."""
        for s in list(self._removed):
            if s.gone and s.ring_position in busy:
                continue
            del self._removed[s]
            if s.gone:
                del self.servers[s.entry.name]
                self._active.pop(s, None)

    def record_probe(self, now: float, event: api.Probed) -> None:
        """Readmit an unreachable server that answered a probe, in slow start."""
        if event.status is Status.OK and (s := self.servers.get(event.server)) and s.unreachable:
            s.ejected_until = now
            s.silent_since = None
            s.unreachable = False
            self._begin_slow_start(now, s, now)

    def update_servers(self, now: float, event: api.ServerList) -> None:
        """Apply a server list or a part of one."""
        if event.complete:
            for old in self.servers.values():
                old.up, old.gone = False, True
        for e in event.entries:
            s = self.servers.get(e.name) or self.servers.setdefault(e.name, Server(e, self._rng.random()))
            start_age = self._start_age(now, e, s, event.previous)
            s.entry, s.up, s.gone = e, e.health is api.Health.UP, e.health is api.Health.GONE
            s.listed_at = now
            self.births[e.name] = e.born
            if start_age is not None and start_age < self._settings.warm_after:
                self._begin_slow_start(now, s, now - start_age)
                s.latency_ratio = 0.0
                s.ejected_until = min(s.ejected_until, now)
                s.on_trial = False
            if s.gone:
                self._removed[s] = None
            if not event.complete:
                self._update_membership(s)
        while len(self.births) > MAX_KNOWN_SERVERS:
            del self.births[next(iter(self.births))]
        if event.complete:
            self._removed = {s: None for s in self.servers.values() if s.gone}
            self._rebuild(now)
        else:
            self._choose_subset(now)

    def _update_membership(self, server: Server) -> None:
        """Add a server to the ring and its groups or remove it, by its health and its ban."""
        usable = self._is_usable(server)
        self._ring.update(server, usable)
        self._groups.update(server, usable)

    def _begin_slow_start(self, now: float, server: Server, since: float) -> None:
        """Limit what all gateways together send to a server that has been cold since ``since``."""
        server.cold_since = since
        server.cold_budget = 0.0
        server.cold_budget_at = now
        if server.in_subset:
            self._cold_servers[server] = None

    def _start_age(
        self, now: float, entry: api.ServerEntry, server: Server, previous: float | None
    ) -> float | None:
        """Return the seconds since a start that was not known yet; None where the entry shows none.

        A birth is wall time, and the wall clock may step. Any birth but the last known one is therefore a new start,
        which happened after the previous message of discovery. The wall clock is used only between that message and
        now.
        """
        last_known = self.births.get(entry.name)
        if entry.born == 0.0:  # started long ago
            return None
        if last_known is not None and abs(entry.born - last_known) <= BIRTH_TOLERANCE_SECONDS:
            return None
        earliest = previous
        if earliest is None and last_known is not None:
            earliest = server.listed_at
        age = max(0.0, now - entry.born)
        return age if earliest is None else min(age, max(0.0, now - earliest))

    def set_ban(self, now: float, event: api.Suspend) -> bool:
        """Ban a server or lift its ban at the operators' request; return False for an id that was never listed.

        A ban applies to the name and overrides the server list, so that it outlasts a server that leaves and returns.
        """
        if not (event.server_known or event.server in self.births or event.server in self.bans):
            return False
        unbanned, server = event.server in self.bans and not event.out, self.servers.get(event.server)
        (self.bans.add if event.out else self.bans.discard)(event.server)
        if unbanned and server is not None:  # it may have been restarted, whatever birth the list gives
            self._begin_slow_start(now, server, now)
            server.latency_ratio = 0.0
            server.ejected_until = now
            server.ejection_seconds = 0.0
            server.silent_since = None
            server.on_trial = False
            server.unreachable = False
        self._rebuild(now)
        return True

    def _is_usable(self, server: Server) -> bool:
        return server.up and server.entry.name not in self.bans

    def _rebuild(self, now: float) -> None:
        """Recompute all state that is derived from the servers."""
        usable = [s for s in self.servers.values() if self._is_usable(s)]
        self._ring.rebuild(usable)
        self._groups.rebuild(usable)
        self._ejected = {s: None for s in self.servers.values() if s.ejected_until > now}
        self._active = {
            s: None for s in self.servers.values() if s.work_rate > 0 or s.finished_work > 0 or s.unreachable
        }
        self._busy = {
            s: None for s in self.servers.values() if s.outstanding_work > 0 or s.silent_since is not None
        }
        self._choose_subset(now)

    def _choose_subset(self, now: float) -> None:
        """Choose the servers that this gateway uses.

        A gateway with little traffic uses few servers: with hundreds it would send to each once a minute and learn of
        each failure anew. All gateways take consecutive servers of the same ring, each from its own offset, so that
        the subsets together cover the servers evenly.
        """
        index, gateways = self._settings.index, self._settings.gateways
        self._min_outstanding_requests = 3.0 * len(self._ring) / gateways
        missing = min(MAX_SUBSET_SIZE, max(MIN_SUBSET_SIZE, -(-5 * len(self._ring) // gateways)))
        self._ejected = {s: None for s in self._ejected if s.ejected_until > now}
        if not self._ejected and not any(self._is_silent(now, s) for s in self._busy):
            return self._set_subset(self._ring.subset(index, gateways, missing))
        subset = list[Server]()
        for s in self._ring.subset(index, gateways):
            missing -= s.ejected_until <= now and not self._is_silent(now, s)
            subset.append(s)
            if missing <= 0:
                break
        self._set_subset(subset)

    def _is_silent(self, now: float, server: Server) -> bool:
        """Return whether a server has left requests unanswered for too long."""
        return server.silent_since is not None and now - server.silent_since > self._silence_limit

    def _set_subset(self, subset: list[Server]) -> None:
        if subset == self.subset:
            return
        before, after = set(self.subset), set(subset)
        self.subset = subset
        for s in before - after:
            s.in_subset = False
            self._cold_servers.pop(s, None)
        for s in after - before:
            s.in_subset = True
            if s.cold_since is not None:
                self._cold_servers[s] = None
        self._subset_work_rate = sum([s.work_rate for s in subset])
        self._load_reports = RecentLoadReports(subset)

    def _target_residence(self, cls: api.RequestClass) -> float:
        """Return the seconds that a request of a class may cause work to stay at a server.

        One queue serves all classes. A longer request may fill it beyond the shortest aim in proportion to its
        additional work, because it is most of that work itself.
        """
        longer = self.idle_latency.get(cls.name, 0.0) - self.idle_latency.get(self._shortest_aim_class, 0.0)
        return min(cls.aim * REFERENCE_AIM_SHARE, self._silence_limit + LONG_WORK_FACTOR * max(0.0, longer))

    def pick_server(self, now: float, request: Request) -> Server | None:
        """Select the server for an attempt; None where no server should get it now."""
        # Little's law: the work that may be outstanding is the work finished per second times the target residence
        # time, and at least about four requests per server over all gateways. A gateway with little traffic may have
        # up to three more outstanding while answers are quick, and the chance of one more under load.
        subset, residence, share = (
            self.subset,
            self._target_residence(request.cls),
            1 - MAX_RESERVE_SHARE * 0.5 * (1 - request.value_rank),
        )
        is_small = len(subset) <= SAMPLING_THRESHOLD
        work_rate = sum([s.work_rate for s in subset]) if is_small else self._subset_work_rate
        least = self._min_outstanding_requests
        slack = max(self._rng.random(), 3.0 - 2.5 * self._gate.load / REFERENCE_LOAD) * (least < 3)
        limit = max(residence * work_rate, self._gate.mean_work * least) + self._gate.mean_work * slack
        # Work rates are averaged over seconds and lag behind. While answers are quick, a burst may have twice the work
        # outstanding.
        headroom = max(0.0, 1 - self._gate.load / (LOW_LOAD_SHARE * REFERENCE_LOAD))
        limit *= 1 + headroom * (self._gate.integral is not None)
        # A server that has answered no request for long is cut off, hung or dead and gets nothing new. If most servers
        # are silent they are only slow.
        busy, silence_limit = subset if is_small else self._busy_in_subset(), self._silence_limit
        silent = [s for s in busy if s.silent_since is not None and now - s.silent_since > silence_limit]
        silent = silent if len(silent) <= len(subset) / 2 else []
        if (
            sum([s.outstanding_work for s in busy if s.ejected_until <= now and s not in silent])
            + 0.5 * request.work
            > limit * share
        ):
            return None
        least = max(0.5 * residence * work_rate / max(1, len(subset)), 3.5 * self._gate.mean_work)
        first, group, cold = request.first_run[0].entry if request.first_run else None, subset, list[Server]()
        # A keyed request that may have run must stay in the group that drops repeats.
        if first and request.cls.effect is Effect.KEYED and request.cls.scope is not api.Scope.ALL:
            group = self._groups.members(
                first.zone, first.cell if request.cls.scope is api.Scope.CELL else None
            )
        elif not is_small and self._cold_servers:
            cold = self._servers_with_capacity(
                now, request, self._sample_servers(list(self._cold_servers)), silent, residence, least, share
            )
        found = self._servers_with_capacity(
            now, request, group if is_small else self._sample_servers(group), silent, residence, least, share
        )
        # Cold servers with budget come first: if they were left to chance among all servers, a gateway with little
        # traffic would not use its part of their budget.
        cold = [
            s for s in cold or found if s.cold_since is not None and self._has_cold_budget(now, s, request)
        ]
        if cold:
            return self._least_loaded(now, cold, request, work_rate)
        warm = [s for s in found if s.cold_since is None]
        if not warm and len(group) > len(found) and not is_small:
            warm = [
                s
                for s in self._servers_with_capacity(now, request, group, silent, residence, least, share)
                if s.cold_since is None
            ]
        return self._least_loaded(now, warm, request, work_rate)

    def _servers_with_capacity(
        self, now: float, request: Request, group: list[Server], silent: list[Server], residence: float, least: float,
        share: float,
    ) -> list[Server]:  # fmt: skip
        """Return the servers of a group that have capacity for the request's work.

        A server may have as much work outstanding as it finishes in ``residence`` seconds, or ``least`` if that is
        more; a request may use a ``share`` of it.
        """
        pool = group
        if request.attempts:
            pool = [s for s in group if all(s is not x for x, _ in request.attempts)] or group
        if not all(
            s.ejected_until > now for s in self.subset
        ):  # if all are ejected, any server is better than none
            pool = [
                s
                for s in pool
                if s.ejected_until <= now and not (s.on_trial and s.outstanding_work > 0) and s not in silent
            ]
        return [
            s
            for s in pool
            if s.outstanding_work + request.work * 0.5 <= max(residence * s.work_rate, least) * share
        ]

    def _busy_in_subset(self) -> list[Server]:
        """Return the servers of the subset that have work outstanding or an unanswered request."""
        for s in [s for s in self._busy if s.outstanding_work <= 0 and s.silent_since is None]:
            del self._busy[s]
        return [s for s in self._busy if s.in_subset]

    def _sample_servers(self, servers: list[Server]) -> list[Server]:
        """Return all of a few servers, or a sample of many.

        A sample is consecutive on the ring, which the hashes of the names have shuffled. The least loaded server of a
        random sample is nearly as good as that of all: Mitzenmacher, "The Power of Two Choices in Randomized Load
        Balancing" (2001).
        """
        if len(servers) <= SAMPLING_THRESHOLD:
            return servers
        start = int(self._rng.random() * len(servers))
        return servers[start : start + SAMPLE_SIZE] + servers[: max(0, start + SAMPLE_SIZE - len(servers))]

    def _least_loaded(
        self, now: float, candidates: list[Server], request: Request, work_rate: float
    ) -> Server | None:
        """Return the candidate with the least expected wait; None where there is no candidate.

        Load reports are used where this gateway rarely sends to each server. A report is out of date when it is used:
        it decays towards the mean of all reports, and what was sent since is added to it. Where a gateway's own answers
        come more often than reports are renewed, its own observations are better: when three gateways trusted all
        reports, each report drew the traffic of all three to one server.
        """
        answers_often = work_rate > RARE_ANSWER_RATE * self._gate.mean_work * len(self.subset)
        reports = 0 if answers_often else self._load_reports.count_recent(now)
        if not reports or reports * 2 < len(self.subset):
            candidates = self._rng.sample(candidates, 2) if len(candidates) > 2 else candidates
            costs = {
                s.ring_position: max(1.0, s.latency_ratio)
                * (s.outstanding_work + request.work)
                / max(0.05, 1 - s.failure_rate) ** 2
                for s in candidates
            }
            return min(candidates, key=lambda s: costs[s.ring_position], default=None)
        mean = self._load_reports.mean_inflight()
        costs = {}
        for s in candidates:
            inflight = (
                mean
                + (s.reported_inflight - mean) * math.exp((s.reported_at - now) / REPORT_DECAY_SECONDS)
                + s.sent_since_report
                + 1
            )
            costs[s.ring_position] = (
                inflight / max(0.05, 1 - s.failure_rate) ** 2 * (1 + 0.2 * self._rng.random())
            )
        return min(candidates, key=lambda s: costs[s.ring_position], default=None)

    def _has_cold_budget(self, now: float, server: Server, request: Request) -> bool:
        """Refill a cold server's budget and return whether it allows the request."""
        low, age = self._settings.cold_share, max(0.0, now - (server.cold_since or 0.0))
        warmth = low + (1 - low) * age / max(1e-9, self._settings.warm_after)
        server.cold_since = server.cold_since if warmth < 1 else None
        # Keeps it as busy as the warm servers and no busier: it could take more without falling over, but not finish it
        # in time.
        share = min(STEADY_COLD_LOAD_SHARE, 1 / max(1e-9, self._settings.fall_multiple))
        refill_rate = share * self._settings.fall_multiple * min(1.0, warmth) * self._mean_finish_rate
        server.cold_budget, server.cold_budget_at = (
            server.cold_budget + refill_rate * (now - server.cold_budget_at),
            now,
        )
        # One request from each of hundreds of gateways would overload the server, so each gateway sends at a phase of
        # its own. Savings above the limit expire by whole requests, which keeps the phase.
        one = max(1e-9, self._gate.mean_work)
        savings_limit = refill_rate * self._settings.fall_window * (MAX_COLD_LOAD_SHARE / share - 1)
        server.cold_budget -= one * max(
            0, math.ceil((server.cold_budget - savings_limit) / one - server.budget_phase)
        )
        return server.cold_budget > server.budget_phase * request.work

    def record_outcome(self, now: float, request: Request, server: Server, event: api.Outcome) -> None:
        """Learn from the end of an attempt, and eject the server if it fails more than the others."""
        if (inflight := event.report.get("inflight")) is not None:
            self._load_reports.record(server, max(0.0, inflight), now)
        if event.status is Status.OK:
            server.finished_work += request.work
            self._active[server] = None
            idle = self.idle_latency.setdefault(request.cls.name, request.cls.aim * 0.1)
            factor = self.unit_cost.work_factor(request.units)
            latency = event.elapsed / factor
            self.idle_latency[request.cls.name] = idle + (latency - idle) * (0.01 if latency > idle else 0.02)
            server.latency_ratio += (0.1 if server.latency_ratio else 1.0) * (
                latency / idle - server.latency_ratio
            )
            self.unit_cost.update(request.units, event.elapsed / idle)
        is_mute = (
            event.status is Status.TIMEOUT
            and server.silent_since is not None
            and now - server.silent_since >= event.elapsed - 1e-6
        )
        # One broken connection does not make a server dead. It takes several in a row without an answer in between, and
        # the row must be long for the usual rate of breaks. Attempts that were outstanding together break together and
        # count once.
        is_broken = event.status in (Status.UNREACHABLE, Status.DROPPED, Status.BROKEN)
        peers = (
            [server]
            if event.status is Status.OK and not server.ejection_seconds
            else self._sample_servers(self.subset) or [server]
        )
        usual, ejected = (
            sorted(x.failure_rate for x in peers)[len(peers) // 2],
            sum(x.ejected_until > now for x in peers),
        )
        dial_failed = event.status is Status.UNREACHABLE  # each failed dial is a sign of its own
        if is_broken:
            server.consecutive_breaks = server.consecutive_breaks + (
                dial_failed or event.elapsed <= now - server.last_break_at
            )
            server.last_break_at = now
        elif event.status in ANSWER_STATUSES:
            server.consecutive_breaks = 0
        is_dead = is_mute or (
            is_broken
            and server.consecutive_breaks > 1
            and (dial_failed or max(0.05, usual) ** server.consecutive_breaks < 0.005)
        )
        is_failure = is_dead or is_broken or event.status is Status.ERROR
        if event.status not in (Status.CANCELLED, Status.NOT_SENT, Status.FULL, Status.REJECTED):
            server.failure_rate += (0.4 if is_dead else 0.2) * (is_failure - server.failure_rate)
        if event.status is Status.OK:
            if server.unreachable and server.cold_since is None:  # it may have restarted unnoticed
                self._begin_slow_start(now, server, now)
            server.unreachable = False
            server.on_trial = False
            server.ejection_seconds = server.ejection_seconds * (server.failure_rate >= max(0.05, usual))
        # An unreachable server may return restarted and cold. Only failed dials make it unreachable: a server that
        # accepts a connection and breaks it is running, and one that keeps its connections silently hangs or is slow.
        server.unreachable = server.unreachable or (is_dead and dial_failed)
        if server.unreachable:
            self._active[server] = None
        may_eject = is_dead or ejected < len(peers) / 2
        if (
            is_failure
            and may_eject
            and server.ejected_until <= now
            and server.failure_rate > usual * (2 - is_dead) + 0.25
        ):
            server.ejection_seconds = min(10.0, max(1.5, server.ejection_seconds * 2))
            server.ejected_until = now + server.ejection_seconds
            server.on_trial = server.cold_since is None  # a cold server is tried within its cold budget
            server.failure_rate = 0.2
            self._ejected[server] = None
            self._choose_subset(now)
