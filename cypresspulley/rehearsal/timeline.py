"""A log put in order and indexed for the judge; free of I/O.

Records may come in any order: they are sorted by time, and what happened in the same tick by kind. No check
goes by the order within a tick; each compares times, and equal times speak for the limiter.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from cypresspulley.rehearsal import records as log

RANK = {kind: rank for rank, kind in enumerate(log.KINDS.values())}
FOREVER = float("inf")
# Within a tick a limiter's end comes before its next start, and what ended it before that it has ended.
STATES = ("killed", "crashed", "exited", "started", "ready", "reloaded", "stopping")
AWAKE = 0.1  # seconds that a process has for what has piled up while it was stopped
TOLD_AFTER = 6.0  # seconds until what an agent has counts as told, whether or not it arrived


def _place(r: log.Record) -> tuple[float, int, int, str]:
    """Where a record stands: one order for any order of the lines."""
    state = STATES.index(r.what) if isinstance(r, log.LimiterState) and r.what in STATES else len(STATES)
    return r.t, RANK[type(r)], state, log.to_line(r)


class JudgeError(ValueError):
    """A log that cannot be judged."""


@dataclass(slots=True)
class Attempt:
    """One attempt at a server, with what became of it."""

    arrived: log.Arrived
    ran: log.Ran | None = None
    replied: log.Replied | None = None
    ended: log.Ended | None = None

    @property
    def proved_not_run_at(self) -> float:
        """When it was proved that it never ran; infinity if never."""
        return self.replied.t if self.replied is not None and self.replied.not_processed else FOREVER

    @property
    def open_until(self) -> float:
        ends = [r.t for r in (self.replied, self.ended) if r is not None]
        return min(ends, default=FOREVER)


@dataclass(slots=True)
class Try:
    """One try of a client, by its id."""

    id: str
    sent: list[log.Sent] = field(default_factory=list)
    unreached: list[log.Unreached] = field(default_factory=list)
    answers: list[log.Answered] = field(default_factory=list)
    broke: list[log.Broke] = field(default_factory=list)
    left: list[log.Left] = field(default_factory=list)
    attempts: list[Attempt] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Life:
    """One process of a limiter; ``how`` it ended: killed, stopping, crashed or "" (still running)."""

    start: float
    end: float
    how: str


@dataclass(frozen=True, slots=True)
class KnownState:
    """From ``t`` on a limiter knows a server in this state (or counts as knowing it)."""

    t: float
    health: str
    born: float


class Timeline:
    """What the rules and figures look things up in."""

    def __init__(self, records: Iterable[log.Record]) -> None:
        self.records = sorted(records, key=_place)
        days = [r for r in self.records if isinstance(r, log.Day)]
        if len(days) != 1:
            raise JudgeError(f"a log holds one day record; this one holds {len(days)}")
        self.day = days[0]
        self.classes = {c.name: c for c in self.day.classes}
        self.plans = {p.name: p for p in self.day.plans}
        self.tries = dict[str, Try]()
        self.attempts = dict[int, Attempt]()
        self.gaps = list[str]()  # what the log must have lost
        self.surplus = [r for r in self.records if isinstance(r, log.Surplus)]
        self.servers = [r for r in self.records if isinstance(r, log.ServerState)]
        self.halls = {r.server: r.hall for r in self.servers}
        self.cells = {r.server: (r.hall, r.cell) for r in self.servers}
        self._index_clients()
        self._index_servers()
        self.ids_answered_from_cache = {r.id for r in self.records if isinstance(r, log.FromKept)}
        self.caching_records = [r for r in self.records if isinstance(r, log.Keeping)]
        self._made: dict[str, list[Attempt]] | None = None
        self.pauses = self._pauses()
        self.lives = self._lives()
        self.told = self._told()
        self.bans = self._bans()
        self.plan_changes = defaultdict[str, list[log.PlanMoved]](
            list
        )  # changes of an account's ceiling, by instant
        for r in sorted((r for r in self.records if isinstance(r, log.PlanMoved)), key=lambda r: r.t):
            self.plan_changes[r.account].append(r)
        if not any(isinstance(r, log.End) for r in self.records):
            self.gaps.append("the log has no end record")

    def records_of(self, kind: type[log.Record]) -> list[log.Record]:
        return [r for r in self.records if type(r) is kind]

    def _index_clients(self) -> None:
        for r in self.records:
            if isinstance(r, log.Sent):
                if r.cls not in self.classes or r.plan not in self.plans:
                    raise JudgeError(f"{r.id} is of class {r.cls}, plan {r.plan}: the day has no such")
                self._try(r.id).sent.append(r)
            elif isinstance(r, log.Unreached):
                self._try(r.id).unreached.append(r)
        for r in self.records:
            if isinstance(r, log.Answered | log.Broke | log.Left):
                known = self.tries.get(r.id)
                if known is None or not (known.sent or isinstance(r, log.Left)):
                    self.gaps.append(f"{type(r).__name__.lower()} {r.id} at {r.t:.3f}: it was never sent")
                elif isinstance(r, log.Answered):
                    known.answers.append(r)
                elif isinstance(r, log.Broke):
                    known.broke.append(r)
                else:
                    known.left.append(r)

    def _try(self, id: str) -> Try:
        if id not in self.tries:
            self.tries[id] = Try(id)
        return self.tries[id]

    def _index_servers(self) -> None:
        for r in self.records:
            if isinstance(r, log.Arrived):
                self.attempts[r.attempt] = attempt = Attempt(r)
                if r.id in self.tries and self.tries[r.id].sent:
                    self.tries[r.id].attempts.append(attempt)
                else:
                    self.gaps.append(f"arrived {r.id} at {r.t:.3f}: no client sent it")
        for r in self.records:
            if isinstance(r, log.Ran | log.Replied | log.Ended):
                found = self.attempts.get(r.attempt)
                if found is None:
                    self.gaps.append(f"{type(r).__name__.lower()} of attempt {r.attempt}: it never arrived")
                elif isinstance(r, log.Ran):
                    found.ran = r
                elif isinstance(r, log.Replied):
                    found.replied = r
                else:
                    found.ended = r

    def _lives(self) -> dict[str, list[Life]]:
        lives = defaultdict[str, list[Life]](list)
        begun = dict[str, float]()
        for r in self.records:
            if not isinstance(r, log.LimiterState):
                continue
            if r.what == "started":
                begun[r.limiter] = r.t
            elif r.what in ("killed", "crashed", "exited") and r.limiter in begun:
                lives[r.limiter].append(Life(begun.pop(r.limiter), r.t, r.what))
        for name, start in begun.items():
            lives[name].append(Life(start, FOREVER, ""))
        return lives

    def killed_within(self, limiter: str, start: float, end: float) -> bool:
        """Whether a process of the limiter was killed outright in that time, both ends included, or was dead
        at its start: what reached a process after SIGKILL was taken by nobody."""
        lives = self.lives.get(limiter, [])
        if any(life.how == "killed" and start <= life.end <= end for life in lives):
            return True
        before = [life for life in lives if life.start <= start]
        return bool(before) and before[-1].how == "killed" and before[-1].end <= start

    def _pauses(self) -> dict[str, list[tuple[float, float]]]:
        pauses = defaultdict[str, list[tuple[float, float]]](list)
        for r in self.records:
            if isinstance(r, log.Happened) and r.kind == "limiter-pause":
                pauses[r.target].append((r.t, r.until))
        return pauses

    def paused_within(self, limiter: str, start: float, end: float) -> bool:
        """Whether the limiter was stopped (SIGSTOP) at some time between; a stopped process answers nothing."""
        return any(a <= end and start <= b for a, b in self.pauses.get(limiter, ()))

    def heard(self, limiter: str, t: float) -> float:
        """When a limiter can have heard what was written to it at ``t``: once it runs again, if it was stopped."""
        return max([t, *(b + AWAKE for a, b in self.pauses.get(limiter, ()) if a <= t <= b + AWAKE)])

    def _heard(self, limiter: str, states: list[KnownState]) -> list[KnownState]:
        """What was told in a pause counts as heard at its end, unless it only gives a server back; and what was told
        later is heard no earlier."""
        heard, born = list[KnownState](), 0.0
        for one in states:
            gives_back = one.health == "ready" and one.born <= born
            heard.append(one if gives_back else KnownState(self.heard(limiter, one.t), one.health, one.born))
            born = one.born
        for at in range(len(heard) - 2, -1, -1):
            heard[at] = KnownState(min(heard[at].t, heard[at + 1].t), heard[at].health, heard[at].born)
        return heard

    def _bans(self) -> dict[tuple[str, str], list[tuple[float, float]]]:
        """By limiter and server: from when until when it was taken out by hand. A limiter that dies forgets it."""
        bans, begun = (
            defaultdict[tuple[str, str], list[tuple[float, float]]](list),
            dict[tuple[str, str], float](),
        )
        for r in self.records:
            if not isinstance(r, log.Banned):
                continue
            key = r.limiter, r.server
            if r.out:
                begun.setdefault(key, r.t)
            elif key in begun:
                since = begun.pop(key)
                bans[key].append((since, min(r.t, self.life_at(r.limiter, since).end)))
        for key, since in begun.items():
            bans[key].append((since, self.life_at(key[0], since).end))
        return bans

    def banned_since(self, limiter: str, server: str, t: float) -> float:
        """Since when the server was taken out at the limiter by then; ``FOREVER`` where it was not."""
        return next((a for a, b in self.bans.get((limiter, server), ()) if a <= t < b), FOREVER)

    def life_at(self, limiter: str, t: float) -> Life:
        for life in self.lives[limiter]:
            if life.start <= t <= life.end:
                return life
        return Life(-FOREVER, FOREVER, "")

    def _told(self) -> dict[tuple[str, float, str], list[KnownState]]:
        """By limiter, start of its life and server: what it was told, in order of time."""
        lists = defaultdict[str, list[log.Listed]](list)
        for r in self.records:
            if isinstance(r, log.Listed):
                lists[r.limiter].append(r)
        told = dict[tuple[str, float, str], list[KnownState]]()
        for limiter, rows in lists.items():
            for life in self.lives.get(limiter) or [Life(-FOREVER, FOREVER, "")]:
                for server, states in _states(rows, life).items():
                    told[limiter, life.start, server] = self._heard(limiter, states)
        return told

    def known_states_at(self, limiter: str, server: str, t: float) -> list[KnownState]:
        """What the limiter's process of that time had been told of the server by then."""
        states = self.told.get((limiter, self.life_at(limiter, t).start, server), [])
        return states[: bisect_right(states, t, key=lambda s: s.t)]

    def attempts_answering(self, body: str) -> list[Attempt]:
        """The attempts that a server answered with this body."""
        if self._made is None:
            self._made = defaultdict(list)
            for attempt in self.attempts.values():
                if attempt.replied is not None and attempt.replied.status == 200:
                    self._made[attempt.replied.body].append(attempt)
        return self._made.get(body, [])

    def records_of_try(self, id: str) -> list[log.Record]:
        """All records of one try, for people."""
        numbers = {a.arrived.attempt for a in self.tries[id].attempts} if id in self.tries else set[int]()
        return [
            r for r in self.records if getattr(r, "id", None) == id or getattr(r, "attempt", None) in numbers
        ]


def _states(rows: list[log.Listed], life: Life) -> dict[str, list[KnownState]]:
    """What one life was told of each server. What its agent has counts as told some seconds later."""
    events, known = list[tuple[float, bool, dict[str, tuple[str, float]]]](), set[str]()
    direct = [row for row in rows if row.told and life.start <= row.t <= life.end]
    for row in rows:
        if row.told:
            if life.start <= row.t <= life.end:
                events.append((row.t, row.whole, row.hosts))
        elif row.t <= life.end:
            # The list that it was started with is older than what its agent had: only what came after counts.
            since = max(row.t, life.start)
            heard = [r for r in direct if since < r.t <= since + TOLD_AFTER]
            if not any(r.whole for r in heard):
                news = {s: state for s, state in row.hosts.items() if not any(s in r.hosts for r in heard)}
                events.append((since + TOLD_AFTER, row.whole, news))
    states = defaultdict[str, list[KnownState]](list)
    for t, whole, hosts in sorted(events, key=lambda e: e[0]):
        known |= hosts.keys()
        for server in known:
            if server in hosts:
                health, born = hosts[server]
            elif whole:
                health, born = "gone", 0.0
            else:
                continue
            if not states[server] or states[server][-1].health != health or states[server][-1].born != born:
                states[server].append(KnownState(t, health, born))
    return states
