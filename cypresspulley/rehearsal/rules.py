"""The five rules, one function each: a timeline in, what was checked and what broke it out; free of I/O.

Every slack is the contract's figure and, on sockets, 50 ms more (``SOCKETS``). Equal times speak for the
limiter.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass

from cypresspulley.plans.bucket_level import BucketLevel
from cypresspulley.plans.bucket_level import max_ceiling_overshoot as slack_of_change
from cypresspulley.plans.lease import LEASE_MS
from cypresspulley.rehearsal import records as log
from cypresspulley.rehearsal.standins.processor import crash_bound, warm_up_share
from cypresspulley.rehearsal.timeline import FOREVER, Attempt, Timeline, Try

SOCKETS = 0.05  # seconds by which each time limit is longer on sockets
ROUND_TRIP = 0.001  # seconds there and back between a client and its limiter
ANSWER_SLACK = 0.008 + SOCKETS  # past the client's time
CEILING_SLACK = 0.1  # of the ceiling's burst, one of the largest requests at least
BOOK_LEASE = LEASE_MS / 1000  # seconds that a limiter may go by a plan book without a word of it
CEILING_LATE = 0.15  # seconds of the ceiling's rate by which its slack is wider on sockets
TOLD_SHARE = 2 / 3  # of the work that pushed a cold server over must come from limiters that knew
REFUSALS = (429, 503)
RULES = (
    "no request lost",
    "no effect twice",
    "drains kept",
    "no cold server pushed over",
    "ceilings kept",
)


@dataclass(frozen=True, slots=True)
class Violation:
    t: float
    limiter: str
    request: str
    text: str


@dataclass(frozen=True, slots=True)
class RuleVerdict:
    """One rule: how many events it was held against, and what broke it."""

    rule: str
    checked: int
    violations: tuple[Violation, ...]

    @property
    def kept(self) -> bool:
        return not self.violations


def judge_rules(line: Timeline) -> tuple[RuleVerdict, ...]:
    checks = (
        (len(line.tries), _lost(line)),
        (len(line.attempts), _twice(line)),
        (len(line.attempts), _drains(line)),
        _cold(line),
        _ceilings(line),
    )
    return tuple(
        RuleVerdict(rule, checked, tuple(sorted(found, key=lambda v: (v.t, v.request, v.text))))
        for rule, (checked, found) in zip(RULES, checks, strict=True)
    )


# 1: no request lost.


def _lost(line: Timeline) -> Iterator[Violation]:
    for one in line.tries.values():
        for number, sent in enumerate(one.sent):
            yield from _unanswered(line, one, sent, is_last=number == len(one.sent) - 1)
        if one.sent:
            yield from _answers(line, one)
    for r in line.surplus:
        yield Violation(r.t, r.limiter, r.id, f"{r.size} bytes came behind the final answer")


def _unanswered(line: Timeline, one: Try, sent: log.Sent, is_last: bool) -> Iterator[Violation]:
    """What one sending of a try owes: an answer, unless the limiter died or the client left first."""
    broke = next((r for r in one.broke if r.t >= sent.t), None)
    until = broke.t if broke else sent.t + sent.ttl + ANSWER_SLACK
    if line.died_within(sent.limiter, sent.t, until):
        return
    if broke is not None:
        # The first request of a connection that is closed with nothing sent on has failed, and is not lost;
        # one that crosses the end of a kept connection was not read, and its client sends it once more.
        sent_on = any(sent.t <= a.arrived.t <= broke.t for a in one.attempts)
        owed = is_last and not sent.fresh and not _crossed_in_vain(one, sent, broke)
        if broke.begun or sent_on or owed:
            part = "after a part of the answer" if broke.begun else "with no answer"
            yield Violation(broke.t, sent.limiter, one.id, f"its connection was ended {part}")
    elif line.asleep_within(sent.limiter, sent.t - SOCKETS, until):
        return
    elif not any(r.t >= sent.t for r in one.answers) and any(r.why == "over" for r in one.left):
        yield Violation(until, sent.limiter, one.id, "no answer while the client waited")


def _crossed_in_vain(one: Try, sent: log.Sent, broke: log.Broke) -> bool:
    """Whether a request met the end of its connection on the way, and its client found nobody to send it to again: the
    limiter restarts. An end that came sooner than a byte can go there and back was sent before the request came."""
    return broke.t - sent.t < ROUND_TRIP and any(r.t >= broke.t for r in one.unreached)


def _answers(line: Timeline, one: Try) -> Iterator[Violation]:
    sent = one.sent[-1]
    for extra in one.answers[1:]:
        yield Violation(extra.t, sent.limiter, one.id, "answered twice")
    if not one.answers:
        return
    answer = one.answers[0]
    due = sent.t + sent.ttl + ANSWER_SLACK
    if answer.t > due and not line.asleep_within(sent.limiter, sent.t - SOCKETS, due):
        late = answer.t - sent.t - sent.ttl
        yield Violation(answer.t, sent.limiter, one.id, f"answered {late * 1000:.0f} ms after its time")
    served = any(_made(a, answer) for a in one.attempts) or _may_be_kept(line, one, answer)
    if answer.status == 200 and not served:
        yield Violation(answer.t, sent.limiter, one.id, "served with what no server made for it")
    for attempt in one.attempts:
        if attempt.arrived.began > answer.t + SOCKETS and attempt.arrived.limiter == sent.limiter:
            yield Violation(attempt.arrived.began, sent.limiter, one.id, "sent on after its final answer")


def _may_be_kept(line: Timeline, one: Try, answer: log.Answered) -> bool:
    """Whether it says that it was kept, may be, and is what a server made before for the same account and class."""
    sent = one.sent[-1]
    asks = any(sent.account in r.accounts and sent.cls in r.classes for r in line.keeping)
    if one.id not in line.from_kept or not asks or line.classes[sent.cls].effect != "safe":
        return False
    for attempt in line.made(answer.body):
        first = line.tries[attempt.arrived.id].sent if attempt.arrived.id in line.tries else []
        same = bool(first) and (first[0].account, first[0].cls) == (sent.account, sent.cls)
        if same and attempt.replied is not None and attempt.replied.t <= answer.t:
            return True
    return False


def _made(attempt: Attempt, answer: log.Answered) -> bool:
    reply = attempt.replied
    return reply is not None and reply.status == 200 and reply.body == answer.body


# 2: no effect twice.


def _twice(line: Timeline) -> Iterator[Violation]:
    for one in line.tries.values():
        if not one.sent:
            continue
        cls = line.classes[one.sent[0].cls]
        if cls.effect == "safe":
            continue
        ordered = sorted(one.attempts, key=lambda a: (a.arrived.t, a.arrived.attempt))
        for number, attempt in enumerate(ordered):
            earlier = [a for a in ordered[:number] if a.proved_unrun > attempt.arrived.t]
            earlier = [a for a in earlier if _sending(one, a) == _sending(one, attempt)]
            if earlier and (why := _forbidden(line, cls, earlier[0], attempt)):
                yield Violation(attempt.arrived.t, attempt.arrived.limiter, one.id, why)
        for answer in one.answers:
            sending = sum(sent.t <= answer.t for sent in one.sent)  # the one that it answers
            open_ = [a for a in ordered if _sending(one, a) == sending]
            open_ = [a for a in open_ if a.arrived.t <= answer.t < a.proved_unrun]
            if answer.status in REFUSALS and open_ and (cls.effect, cls.group) != ("keyed", "all"):
                at = open_[0].arrived.server
                text = f"refused with {answer.status} though it may have run at {at}"
                yield Violation(answer.t, one.sent[-1].limiter, one.id, text)


def _sending(one: Try, attempt: Attempt) -> int:
    """Which sending of the client an attempt belongs to: what the client sends again is the client's doing."""
    return sum(sent.t <= attempt.arrived.t for sent in one.sent)


def _forbidden(line: Timeline, cls: log.ClassFacts, first: Attempt, again: Attempt) -> str:
    """Why a further attempt after one that may have run is against the rule; "" if it is not."""
    a, b = first.arrived, again.arrived
    if cls.effect == "unsafe":
        return f"sent again to {b.server} though it may have run at {a.server}"
    same = {
        "all": True,
        "zone": line.halls.get(a.server) == line.halls.get(b.server),
        "cell": line.cells.get(a.server) == line.cells.get(b.server),
    }[cls.group]
    if not same:
        return f"a keyed request went on to {b.server}, outside the {cls.group} of {a.server}"
    if b.began - a.t > cls.window + SOCKETS:
        return f"a keyed request was repeated {b.began - a.t:.2f} s later; servers remember {cls.window} s"
    return ""


# 3: drains kept.


def _drains(line: Timeline) -> Iterator[Violation]:
    for attempt in line.attempts.values():
        r = attempt.arrived
        states = line.told_at(r.limiter, r.server, r.began)
        since, health = FOREVER, ""
        for state in reversed(states):
            if state.health == "ready":
                break
            since, health = state.t, state.health
        late = r.began - since - line.day.drain_grace
        if late > SOCKETS:
            text = f"new work to {r.server} {late:.2f} s past the grace; told {health} at {since:.2f}"
            yield Violation(r.began, r.limiter, r.id, text)
            continue
        out = r.began - line.banned_since(r.limiter, r.server, r.began) - line.day.drain_grace
        if out > SOCKETS:
            text = f"new work to {r.server}, which was taken out by hand {out + line.day.drain_grace:.2f} s before"
            yield Violation(r.began, r.limiter, r.id, text)


# 4: no cold server pushed over.


def _cold(line: Timeline) -> tuple[int, list[Violation]]:
    checked, found = 0, list[Violation]()
    by_server = dict[str, list[log.Arrived]]()
    for attempt in line.attempts.values():
        by_server.setdefault(attempt.arrived.server, []).append(attempt.arrived)
    for number, start in enumerate(line.servers):
        if start.what != "started":
            continue
        ends = [s.t for s in line.servers[number + 1 :] if s.server == start.server and s.what != "draining"]
        until = min([*ends, start.t + start.cold_seconds])
        arrivals = [a for a in by_server.get(start.server, []) if start.t <= a.t <= until]
        checked += len(arrivals)
        if (violation := _pushed(line, start, sorted(arrivals, key=lambda a: (a.t, a.attempt)))) is not None:
            found.append(violation)
    return checked, found


def _pushed(line: Timeline, start: log.ServerState, arrivals: list[log.Arrived]) -> Violation | None:
    """Whether work within some window was too much for the cold server, most of it sent knowingly."""
    day, window = line.day, deque[log.Arrived]()
    for last in arrivals:
        window.append(last)
        while window[0].t <= last.t - day.fall_seconds:
            window.popleft()
        capacity = start.cores * warm_up_share(last.t - start.t, start.cold_share, start.cold_seconds)
        work = sum(a.work for a in window)
        bound = crash_bound(day.fall_multiple * capacity * day.fall_seconds, day.mean_work)
        if work <= bound:
            continue
        knowing = sum(a.work for a in window if _knew(line, a, start))
        if knowing >= TOLD_SHARE * work:
            what = f"{work:.2f} s of work to cold {start.server}"
            text = f"{what} within {day.fall_seconds:g} s; bound {bound:.2f}"
            return Violation(last.t, last.limiter, last.id, text)
    return None


def _knew(line: Timeline, sent: log.Arrived, start: log.ServerState) -> bool:
    return any(s.born >= start.t - SOCKETS for s in line.told_at(sent.limiter, sent.server, sent.t))


# 5: ceilings kept.


def _ceilings(line: Timeline) -> tuple[int, list[Violation]]:
    worst = dict[tuple[str, str], Violation]()
    checked = 0
    for t, one, level, slack in ceiling_levels(line):
        sent = one.sent[0]
        checked += 1
        key = (sent.plan, sent.account)
        if level < -slack - 1e-9 and key not in worst:
            text = f"account {sent.account} went {-level:.2f} units over its ceiling; slack {slack:.2f}"
            worst[key] = Violation(t, one.attempts[0].arrived.limiter, one.id, text)
    return checked, list(worst.values())


def ceiling_levels(line: Timeline) -> Iterator[tuple[float, Try, float, float]]:
    """For each try under a ceiling that was sent on: when, the try, the ceiling's level behind it, its slack.

    Where plans change in service the store is that of the ceiling in force, carried over each change as the design of
    plans says, and the slack is wider by what the last to hear of a change may let in."""
    stores = dict[tuple[str, str], BucketLevel]()
    wider = _wider(line)
    for t, one in first_sendings(line):
        sent, plan = one.sent[0], line.plans[one.sent[0].plan]
        if plan.ceiling_rate <= 0:
            continue
        key = (sent.plan, sent.account)
        store = stores.get(key) or BucketLevel(
            plan.ceiling_burst, -1e9, plan.ceiling_rate, plan.ceiling_burst
        )
        for move in line.moves.get(sent.account, ()):
            if store.at < move.t <= t:
                store = store.with_limits(move.t, move.ceiling_rate, move.ceiling_burst)
        store = stores[key] = store.refilled_until(t).with_units_drawn(sent.units)
        slack = max(CEILING_SLACK * plan.ceiling_burst, line.day.max_units)
        slack += CEILING_LATE * plan.ceiling_rate + wider.get(sent.account, 0.0)
        yield t, one, store.units, slack


def _wider(line: Timeline) -> dict[str, float]:
    """Units by account that changes announced less than a lease ahead add to a ceiling's slack."""
    found = dict[str, float]()
    for account, moves in line.moves.items():
        terms = [(move.ceiling_rate, move.ceiling_burst) for move in moves]
        terms += [(p.ceiling_rate, p.ceiling_burst) for p in line.plans.values() if p.name == moves[0].plan]
        high, low = max(terms), min(terms)
        late = max(max(0.0, BOOK_LEASE - move.ahead) for move in moves)
        found[account] = slack_of_change(high, low, late)
    return found


def first_sendings(line: Timeline) -> list[tuple[float, Try]]:
    """When each try was first sent on, that is: whole at a server; in order of time."""
    rows = [(min(a.arrived.t for a in one.attempts), one) for one in line.tries.values() if one.attempts]
    return sorted(rows, key=lambda row: (row[0], row[1].id))
