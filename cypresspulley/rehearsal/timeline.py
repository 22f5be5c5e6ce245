"""Sorts and indexes the records of a log for the judge, without I/O.

Records may come in any order. They are sorted by time, and records with equal times by kind. No check depends on the
order of records with equal times: each compares times, and equal times are interpreted in the limiter's favour.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from cypresspulley.rehearsal import records as log

KIND_RANK = {kind: rank for rank, kind in enumerate(log.KINDS.values())}
FOREVER = float("inf")
# At equal times a limiter's exit sorts before its next start, and the cause of the exit before the exit.
STATE_ORDER = ("killed", "crashed", "exited", "started", "ready", "reloaded", "stopping")
RESUME_SECONDS = 0.1  # allowed to a resumed process for reading what arrived while it was stopped
AGENT_DELAY_SECONDS = 6.0  # after which a limiter counts as knowing what its agent has, read or not


def _sort_key(r: log.Record) -> tuple[float, int, int, str]:
    """Return the sort key of a record, which is total: any order of the lines gives the same timeline."""
    state = (
        STATE_ORDER.index(r.what)
        if isinstance(r, log.LimiterState) and r.what in STATE_ORDER
        else len(STATE_ORDER)
    )
    return r.t, KIND_RANK[type(r)], state, log.to_line(r)


class JudgeError(ValueError):
    """Raised for a log that cannot be judged."""


@dataclass(slots=True)
class Attempt:
    """One attempt at a server and its outcome."""

    arrived: log.Arrived
    ran: log.Ran | None = None
    replied: log.Replied | None = None
    ended: log.Ended | None = None

    @property
    def proved_not_run_at(self) -> float:
        """The time at which a reply proved that it never ran, or infinity."""
        return self.replied.t if self.replied is not None and self.replied.not_processed else FOREVER

    @property
    def open_until(self) -> float:
        """The time at which it was answered or its connection ended, or infinity."""
        ends = [r.t for r in (self.replied, self.ended) if r is not None]
        return min(ends, default=FOREVER)


@dataclass(slots=True)
class Try:
    """One try of a client, with the records of its id."""

    id: str
    sent: list[log.Sent] = field(default_factory=list)
    unreached: list[log.Unreached] = field(default_factory=list)
    answers: list[log.Answered] = field(default_factory=list)
    broke: list[log.Broke] = field(default_factory=list)
    left: list[log.Left] = field(default_factory=list)
    attempts: list[Attempt] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Life:
    """One process of a limiter. ``how`` it ended is killed, stopping, crashed or "" (still running)."""

    start: float
    end: float
    how: str


@dataclass(frozen=True, slots=True)
class KnownState:
    """The state of a server that a limiter knows, or counts as knowing, from ``t`` on."""

    t: float
    health: str
    born: float


class Timeline:
    """The indexed records of a run, for the rules and the service figures."""

    def __init__(self, records: Iterable[log.Record]) -> None:
        self.records = sorted(records, key=_sort_key)
        days = [r for r in self.records if isinstance(r, log.Day)]
        if len(days) != 1:
            raise JudgeError(f"a log holds one day record; this one holds {len(days)}")
        self.day = days[0]
        self.classes = {c.name: c for c in self.day.classes}
        self.plans = {p.name: p for p in self.day.plans}
        self.tries = dict[str, Try]()
        self.attempts = dict[int, Attempt]()
        self.gaps = list[str]()  # records that must be missing from the log, as text
        self.surplus = [r for r in self.records if isinstance(r, log.Surplus)]
        self.servers = [r for r in self.records if isinstance(r, log.ServerState)]
        self.halls = {r.server: r.hall for r in self.servers}
        self.cells = {r.server: (r.hall, r.cell) for r in self.servers}
        self._index_client_records()
        self._index_server_records()
        self.ids_answered_from_cache = {r.id for r in self.records if isinstance(r, log.FromKept)}
        self.caching_records = [r for r in self.records if isinstance(r, log.Keeping)]
        self._attempts_by_body: dict[str, list[Attempt]] | None = None
        self.pauses = self._limiter_pauses()
        self.lives = self._limiter_lives()
        self.known_states = self._known_states()
        self.bans = self._ban_periods()
        self.plan_changes = defaultdict[str, list[log.PlanMoved]](list)  # by account, ordered by time
        for r in sorted((r for r in self.records if isinstance(r, log.PlanMoved)), key=lambda r: r.t):
            self.plan_changes[r.account].append(r)
        if not any(isinstance(r, log.End) for r in self.records):
            self.gaps.append("the log has no end record")

    def records_of(self, kind: type[log.Record]) -> list[log.Record]:
        return [r for r in self.records if type(r) is kind]

    def _index_client_records(self) -> None:
        for r in self.records:
            if isinstance(r, log.Sent):
                if r.cls not in self.classes or r.plan not in self.plans:
                    raise JudgeError(f"{r.id} is of class {r.cls}, plan {r.plan}: the day has no such")
                self._get_or_add_try(r.id).sent.append(r)
            elif isinstance(r, log.Unreached):
                self._get_or_add_try(r.id).unreached.append(r)
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

    def _get_or_add_try(self, id: str) -> Try:
        if id not in self.tries:
            self.tries[id] = Try(id)
        return self.tries[id]

    def _index_server_records(self) -> None:
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

    def _limiter_lives(self) -> dict[str, list[Life]]:
        lives = defaultdict[str, list[Life]](list)
        started = dict[str, float]()
        for r in self.records:
            if not isinstance(r, log.LimiterState):
                continue
            if r.what == "started":
                started[r.limiter] = r.t
            elif r.what in ("killed", "crashed", "exited") and r.limiter in started:
                lives[r.limiter].append(Life(started.pop(r.limiter), r.t, r.what))
        for name, start in started.items():
            lives[name].append(Life(start, FOREVER, ""))
        return lives

    def killed_within(self, limiter: str, start: float, end: float) -> bool:
        """Return whether a process of the limiter was killed between two times (inclusive), or was dead at the start.

        Bytes that reach a process after SIGKILL are read by nobody.
        """
        lives = self.lives.get(limiter, [])
        if any(life.how == "killed" and start <= life.end <= end for life in lives):
            return True
        before = [life for life in lives if life.start <= start]
        return bool(before) and before[-1].how == "killed" and before[-1].end <= start

    def _limiter_pauses(self) -> dict[str, list[tuple[float, float]]]:
        pauses = defaultdict[str, list[tuple[float, float]]](list)
        for r in self.records:
            if isinstance(r, log.Happened) and r.kind == "limiter-pause":
                pauses[r.target].append((r.t, r.until))
        return pauses

    def paused_within(self, limiter: str, start: float, end: float) -> bool:
        """Return whether the limiter was stopped (SIGSTOP) at any time between; a stopped process cannot answer."""
        return any(a <= end and start <= b for a, b in self.pauses.get(limiter, ()))

    def earliest_read_time(self, limiter: str, t: float) -> float:
        """Return when a limiter can have read what was written to it at ``t``. A stopped one reads once resumed."""
        return max(
            [
                t,
                *(
                    b + RESUME_SECONDS
                    for a, b in self.pauses.get(limiter, ())
                    if a <= t <= b + RESUME_SECONDS
                ),
            ]
        )

    def _delay_past_pauses(self, limiter: str, states: list[KnownState]) -> list[KnownState]:
        """Move news received during a pause to the end of the pause, and keep the news in order.

        News that only reports a server as ready again applies at once, in the limiter's favour.
        """
        delayed, born = list[KnownState](), 0.0
        for state in states:
            gives_back = state.health == "ready" and state.born <= born
            delayed.append(
                state
                if gives_back
                else KnownState(self.earliest_read_time(limiter, state.t), state.health, state.born)
            )
            born = state.born
        for at in range(len(delayed) - 2, -1, -1):
            delayed[at] = KnownState(
                min(delayed[at].t, delayed[at + 1].t), delayed[at].health, delayed[at].born
            )
        return delayed

    def _ban_periods(self) -> dict[tuple[str, str], list[tuple[float, float]]]:
        """Return the periods in which operators banned a server, by limiter and server. A restart drops the ban."""
        bans, started = (
            defaultdict[tuple[str, str], list[tuple[float, float]]](list),
            dict[tuple[str, str], float](),
        )
        for r in self.records:
            if not isinstance(r, log.Banned):
                continue
            key = r.limiter, r.server
            if r.out:
                started.setdefault(key, r.t)
            elif key in started:
                since = started.pop(key)
                bans[key].append((since, min(r.t, self.life_at(r.limiter, since).end)))
        for key, since in started.items():
            bans[key].append((since, self.life_at(key[0], since).end))
        return bans

    def banned_since(self, limiter: str, server: str, t: float) -> float:
        """Return since when the server had been banned at the limiter at ``t``, or ``FOREVER`` if it was not."""
        return next((a for a, b in self.bans.get((limiter, server), ()) if a <= t < b), FOREVER)

    def life_at(self, limiter: str, t: float) -> Life:
        for life in self.lives[limiter]:
            if life.start <= t <= life.end:
                return life
        return Life(-FOREVER, FOREVER, "")

    def _known_states(self) -> dict[tuple[str, float, str], list[KnownState]]:
        """Return the states that limiters knew, by limiter, start of its life and server, ordered by time."""
        lists = defaultdict[str, list[log.Listed]](list)
        for r in self.records:
            if isinstance(r, log.Listed):
                lists[r.limiter].append(r)
        known_states = dict[tuple[str, float, str], list[KnownState]]()
        for limiter, rows in lists.items():
            for life in self.lives.get(limiter) or [Life(-FOREVER, FOREVER, "")]:
                for server, states in _states_in_life(rows, life).items():
                    known_states[limiter, life.start, server] = self._delay_past_pauses(limiter, states)
        return known_states

    def known_states_at(self, limiter: str, server: str, t: float) -> list[KnownState]:
        """Return the states of the server that the limiter's process at ``t`` had known by then."""
        states = self.known_states.get((limiter, self.life_at(limiter, t).start, server), [])
        return states[: bisect_right(states, t, key=lambda s: s.t)]

    def attempts_answering(self, body: str) -> list[Attempt]:
        """Return the attempts that a server answered with status 200 and this body."""
        if self._attempts_by_body is None:
            self._attempts_by_body = defaultdict(list)
            for attempt in self.attempts.values():
                if attempt.replied is not None and attempt.replied.status == 200:
                    self._attempts_by_body[attempt.replied.body].append(attempt)
        return self._attempts_by_body.get(body, [])

    def records_of_try(self, id: str) -> list[log.Record]:
        """Return all records of one try, for the HTML page."""
        numbers = {a.arrived.attempt for a in self.tries[id].attempts} if id in self.tries else set[int]()
        return [
            r for r in self.records if getattr(r, "id", None) == id or getattr(r, "attempt", None) in numbers
        ]


def _states_in_life(rows: list[log.Listed], life: Life) -> dict[str, list[KnownState]]:
    """Return the states of each server that one life knew.

    It counts as knowing what its agent has ``AGENT_DELAY_SECONDS`` later, unless newer news reached it directly.
    """
    events, known = list[tuple[float, bool, dict[str, tuple[str, float]]]](), set[str]()
    direct = [row for row in rows if row.told and life.start <= row.t <= life.end]
    for row in rows:
        if row.told:
            if life.start <= row.t <= life.end:
                events.append((row.t, row.whole, row.hosts))
        elif row.t <= life.end:
            # The list in its configuration is older than the agent's news, so only lists read after that supersede it.
            since = max(row.t, life.start)
            read = [r for r in direct if since < r.t <= since + AGENT_DELAY_SECONDS]
            if not any(r.whole for r in read):
                news = {s: state for s, state in row.hosts.items() if not any(s in r.hosts for r in read)}
                events.append((since + AGENT_DELAY_SECONDS, row.whole, news))
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
