"""The five rules. Each function takes a timeline and returns what it checked and which violations it found; no I/O.

Every time limit is the contract's figure plus 50 ms for sockets (``SOCKET_SLACK_SECONDS``). Events with equal times are
interpreted in the limiter's favour.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass

from cypresspulley.plans.bucket_level import BucketLevel, max_ceiling_overshoot
from cypresspulley.plans.lease import LEASE_MS
from cypresspulley.rehearsal import records as log
from cypresspulley.rehearsal.standins.processor import crash_bound, warm_up_share
from cypresspulley.rehearsal.timeline import FOREVER, Attempt, Timeline, Try

SOCKET_SLACK_SECONDS = 0.05  # added to each time limit, because runs use real sockets
ROUND_TRIP_SECONDS = 0.001  # between a client and its limiter
ANSWER_SLACK_SECONDS = 0.008 + SOCKET_SLACK_SECONDS  # past the client's deadline
CEILING_SLACK_SHARE = 0.1  # of the ceiling's burst; the slack is at least one request of the largest size
# How long a limiter may use its plan book without hearing from the writer.
BOOK_LEASE_SECONDS = LEASE_MS / 1000
# The units that a ceiling's rate refills in this time are added to its slack on sockets.
CEILING_LATE_SECONDS = 0.15
# Least share of an overload that must come from limiters that knew that the server was cold.
MIN_KNOWING_SHARE = 2 / 3
REFUSAL_STATUSES = (429, 503)
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
    """The result of one rule: the number of events checked, and the violations found."""

    rule: str
    checked: int
    violations: tuple[Violation, ...]

    @property
    def kept(self) -> bool:
        return not self.violations


def judge_rules(timeline: Timeline) -> tuple[RuleVerdict, ...]:
    checks = (
        (len(timeline.tries), _lost_requests(timeline)),
        (len(timeline.attempts), _repeated_effects(timeline)),
        (len(timeline.attempts), _drain_violations(timeline)),
        _cold_overloads(timeline),
        _ceiling_violations(timeline),
    )
    return tuple(
        RuleVerdict(rule, checked, tuple(sorted(found, key=lambda v: (v.t, v.request, v.text))))
        for rule, (checked, found) in zip(RULES, checks, strict=True)
    )


# 1: no request lost.


def _lost_requests(timeline: Timeline) -> Iterator[Violation]:
    for client_try in timeline.tries.values():
        for number, sent in enumerate(client_try.sent):
            yield from _unanswered_sending(
                timeline, client_try, sent, is_last=number == len(client_try.sent) - 1
            )
        if client_try.sent:
            yield from _answer_violations(timeline, client_try)
    for r in timeline.surplus:
        yield Violation(r.t, r.limiter, r.id, f"{r.size} bytes came behind the final answer")


def _unanswered_sending(
    timeline: Timeline, client_try: Try, sent: log.Sent, is_last: bool
) -> Iterator[Violation]:
    """Yield a violation if a sending got no answer, unless the limiter was killed or the client left first."""
    broke = next((r for r in client_try.broke if r.t >= sent.t), None)
    until = broke.t if broke else sent.t + sent.ttl + ANSWER_SLACK_SECONDS
    if timeline.killed_within(sent.limiter, sent.t, until):
        return
    if broke is not None:
        # If the connection closes on its first request and nothing was forwarded, the request failed but is not lost.
        # A request that crosses the close of a reused connection was not read, and its client sends it once more.
        sent_on = any(sent.t <= a.arrived.t <= broke.t for a in client_try.attempts)
        answer_expected = is_last and not sent.fresh and not _closed_in_transit(client_try, sent, broke)
        if broke.begun or sent_on or answer_expected:
            part = "after a part of the answer" if broke.begun else "with no answer"
            yield Violation(broke.t, sent.limiter, client_try.id, f"its connection was ended {part}")
    elif timeline.paused_within(sent.limiter, sent.t - SOCKET_SLACK_SECONDS, until):
        return
    elif not any(r.t >= sent.t for r in client_try.answers) and any(r.why == "over" for r in client_try.left):
        yield Violation(until, sent.limiter, client_try.id, "no answer while the client waited")


def _closed_in_transit(client_try: Try, sent: log.Sent, broke: log.Broke) -> bool:
    """Return whether the connection was closed while the request was in transit and the client could not reconnect.

    This happens when the limiter restarts. A close that arrives in less than one round trip was sent before the
    request arrived.
    """
    return broke.t - sent.t < ROUND_TRIP_SECONDS and any(r.t >= broke.t for r in client_try.unreached)


def _answer_violations(timeline: Timeline, client_try: Try) -> Iterator[Violation]:
    sent = client_try.sent[-1]
    for extra in client_try.answers[1:]:
        yield Violation(extra.t, sent.limiter, client_try.id, "answered twice")
    if not client_try.answers:
        return
    answer = client_try.answers[0]
    due = sent.t + sent.ttl + ANSWER_SLACK_SECONDS
    if answer.t > due and not timeline.paused_within(sent.limiter, sent.t - SOCKET_SLACK_SECONDS, due):
        late = answer.t - sent.t - sent.ttl
        yield Violation(
            answer.t, sent.limiter, client_try.id, f"answered {late * 1000:.0f} ms after its time"
        )
    served = any(_produced(a, answer) for a in client_try.attempts) or _is_valid_cached_answer(
        timeline, client_try, answer
    )
    if answer.status == 200 and not served:
        yield Violation(answer.t, sent.limiter, client_try.id, "served with what no server made for it")
    for attempt in client_try.attempts:
        if (
            attempt.arrived.began > answer.t + SOCKET_SLACK_SECONDS
            and attempt.arrived.limiter == sent.limiter
        ):
            yield Violation(
                attempt.arrived.began, sent.limiter, client_try.id, "sent on after its final answer"
            )


def _is_valid_cached_answer(timeline: Timeline, client_try: Try, answer: log.Answered) -> bool:
    """Return whether an answer is a permitted answer from the cache.

    It must be marked as cached, its account and class must allow caching, and a server must have produced it earlier
    for the same account and class.
    """
    sent = client_try.sent[-1]
    asks = any(sent.account in r.accounts and sent.cls in r.classes for r in timeline.caching_records)
    if (
        client_try.id not in timeline.ids_answered_from_cache
        or not asks
        or timeline.classes[sent.cls].effect != "safe"
    ):
        return False
    for attempt in timeline.attempts_answering(answer.body):
        first = timeline.tries[attempt.arrived.id].sent if attempt.arrived.id in timeline.tries else []
        same = bool(first) and (first[0].account, first[0].cls) == (sent.account, sent.cls)
        if same and attempt.replied is not None and attempt.replied.t <= answer.t:
            return True
    return False


def _produced(attempt: Attempt, answer: log.Answered) -> bool:
    reply = attempt.replied
    return reply is not None and reply.status == 200 and reply.body == answer.body


# 2: no effect twice.


def _repeated_effects(timeline: Timeline) -> Iterator[Violation]:
    for client_try in timeline.tries.values():
        if not client_try.sent:
            continue
        cls = timeline.classes[client_try.sent[0].cls]
        if cls.effect == "safe":
            continue
        ordered = sorted(client_try.attempts, key=lambda a: (a.arrived.t, a.arrived.attempt))
        for number, attempt in enumerate(ordered):
            earlier = [a for a in ordered[:number] if a.proved_not_run_at > attempt.arrived.t]
            earlier = [
                a for a in earlier if _sending_number(client_try, a) == _sending_number(client_try, attempt)
            ]
            if earlier and (why := _repeat_violation(timeline, cls, earlier[0], attempt)):
                yield Violation(attempt.arrived.t, attempt.arrived.limiter, client_try.id, why)
        for answer in client_try.answers:
            sending = sum(
                sent.t <= answer.t for sent in client_try.sent
            )  # the number of the sending that this answers
            open_ = [a for a in ordered if _sending_number(client_try, a) == sending]
            open_ = [a for a in open_ if a.arrived.t <= answer.t < a.proved_not_run_at]
            if answer.status in REFUSAL_STATUSES and open_ and (cls.effect, cls.group) != ("keyed", "all"):
                at = open_[0].arrived.server
                text = f"refused with {answer.status} though it may have run at {at}"
                yield Violation(answer.t, client_try.sent[-1].limiter, client_try.id, text)


def _sending_number(client_try: Try, attempt: Attempt) -> int:
    """Return which sending of the client an attempt belongs to. Repeats by the client are not the limiter's fault."""
    return sum(sent.t <= attempt.arrived.t for sent in client_try.sent)


def _repeat_violation(timeline: Timeline, cls: log.ClassFacts, first: Attempt, again: Attempt) -> str:
    """Return why another attempt after one that may have run breaks the rule, or "" if it does not."""
    a, b = first.arrived, again.arrived
    if cls.effect == "unsafe":
        return f"sent again to {b.server} though it may have run at {a.server}"
    same = {
        "all": True,
        "zone": timeline.halls.get(a.server) == timeline.halls.get(b.server),
        "cell": timeline.cells.get(a.server) == timeline.cells.get(b.server),
    }[cls.group]
    if not same:
        return f"a keyed request went on to {b.server}, outside the {cls.group} of {a.server}"
    if b.began - a.t > cls.window + SOCKET_SLACK_SECONDS:
        return f"a keyed request was repeated {b.began - a.t:.2f} s later; servers remember {cls.window} s"
    return ""


# 3: drains kept.


def _drain_violations(timeline: Timeline) -> Iterator[Violation]:
    for attempt in timeline.attempts.values():
        r = attempt.arrived
        states = timeline.known_states_at(r.limiter, r.server, r.began)
        since, health = FOREVER, ""
        for state in reversed(states):
            if state.health == "ready":
                break
            since, health = state.t, state.health
        late = r.began - since - timeline.day.drain_grace
        if late > SOCKET_SLACK_SECONDS:
            text = f"new work to {r.server} {late:.2f} s past the grace; told {health} at {since:.2f}"
            yield Violation(r.began, r.limiter, r.id, text)
            continue
        out = r.began - timeline.banned_since(r.limiter, r.server, r.began) - timeline.day.drain_grace
        if out > SOCKET_SLACK_SECONDS:
            text = f"new work to {r.server}, which was taken out by hand {out + timeline.day.drain_grace:.2f} s before"
            yield Violation(r.began, r.limiter, r.id, text)


# 4: no cold server pushed over.


def _cold_overloads(timeline: Timeline) -> tuple[int, list[Violation]]:
    checked, found = 0, list[Violation]()
    by_server = dict[str, list[log.Arrived]]()
    for attempt in timeline.attempts.values():
        by_server.setdefault(attempt.arrived.server, []).append(attempt.arrived)
    for number, start in enumerate(timeline.servers):
        if start.what != "started":
            continue
        ends = [
            s.t for s in timeline.servers[number + 1 :] if s.server == start.server and s.what != "draining"
        ]
        until = min([*ends, start.t + start.cold_seconds])
        arrivals = [a for a in by_server.get(start.server, []) if start.t <= a.t <= until]
        checked += len(arrivals)
        if (
            violation := _cold_overload(timeline, start, sorted(arrivals, key=lambda a: (a.t, a.attempt)))
        ) is not None:
            found.append(violation)
    return checked, found


def _cold_overload(
    timeline: Timeline, start: log.ServerState, arrivals: list[log.Arrived]
) -> Violation | None:
    """Return a violation if the work in any window overloaded the cold server and most of it was sent knowingly."""
    day, window = timeline.day, deque[log.Arrived]()
    for last in arrivals:
        window.append(last)
        while window[0].t <= last.t - day.fall_seconds:
            window.popleft()
        capacity = start.cores * warm_up_share(last.t - start.t, start.cold_share, start.cold_seconds)
        work = sum(a.work for a in window)
        bound = crash_bound(day.fall_multiple * capacity * day.fall_seconds, day.mean_work)
        if work <= bound:
            continue
        knowing = sum(a.work for a in window if _knew_of_start(timeline, a, start))
        if knowing >= MIN_KNOWING_SHARE * work:
            what = f"{work:.2f} s of work to cold {start.server}"
            text = f"{what} within {day.fall_seconds:g} s; bound {bound:.2f}"
            return Violation(last.t, last.limiter, last.id, text)
    return None


def _knew_of_start(timeline: Timeline, sent: log.Arrived, start: log.ServerState) -> bool:
    return any(
        s.born >= start.t - SOCKET_SLACK_SECONDS
        for s in timeline.known_states_at(sent.limiter, sent.server, sent.t)
    )


# 5: ceilings kept.


def _ceiling_violations(timeline: Timeline) -> tuple[int, list[Violation]]:
    worst = dict[tuple[str, str], Violation]()
    checked = 0
    for t, client_try, level, slack in ceiling_levels(timeline):
        sent = client_try.sent[0]
        checked += 1
        key = (sent.plan, sent.account)
        if level < -slack - 1e-9 and key not in worst:
            text = f"account {sent.account} went {-level:.2f} units over its ceiling; slack {slack:.2f}"
            worst[key] = Violation(t, client_try.attempts[0].arrived.limiter, client_try.id, text)
    return checked, list(worst.values())


def ceiling_levels(timeline: Timeline) -> Iterator[tuple[float, Try, float, float]]:
    """Yield time, try, level of the ceiling after it and slack, for each forwarded try under a ceiling.

    If plans change during the run, the bucket has the limits of the ceiling in force and is carried over each change
    with ``BucketLevel.with_limits``. The slack then includes what the last limiter to learn of a change may admit.
    """
    buckets = dict[tuple[str, str], BucketLevel]()
    change_slack = _plan_change_slack(timeline)
    for t, client_try in first_sendings(timeline):
        sent, plan = client_try.sent[0], timeline.plans[client_try.sent[0].plan]
        if plan.ceiling_rate <= 0:
            continue
        key = (sent.plan, sent.account)
        bucket = buckets.get(key) or BucketLevel(
            plan.ceiling_burst, -1e9, plan.ceiling_rate, plan.ceiling_burst
        )
        for move in timeline.plan_changes.get(sent.account, ()):
            if bucket.at < move.t <= t:
                bucket = bucket.with_limits(move.t, move.ceiling_rate, move.ceiling_burst)
        bucket = buckets[key] = bucket.refilled_until(t).with_units_drawn(sent.units)
        slack = max(CEILING_SLACK_SHARE * plan.ceiling_burst, timeline.day.max_units)
        slack += CEILING_LATE_SECONDS * plan.ceiling_rate + change_slack.get(sent.account, 0.0)
        yield t, client_try, bucket.units, slack


def _plan_change_slack(timeline: Timeline) -> dict[str, float]:
    """Return, by account, the units that plan changes announced less than a lease ahead add to the ceiling's slack."""
    found = dict[str, float]()
    for account, plan_changes in timeline.plan_changes.items():
        terms = [(move.ceiling_rate, move.ceiling_burst) for move in plan_changes]
        terms += [
            (p.ceiling_rate, p.ceiling_burst)
            for p in timeline.plans.values()
            if p.name == plan_changes[0].plan
        ]
        high, low = max(terms), min(terms)
        late = max(max(0.0, BOOK_LEASE_SECONDS - move.ahead) for move in plan_changes)
        found[account] = max_ceiling_overshoot(high, low, late)
    return found


def first_sendings(timeline: Timeline) -> list[tuple[float, Try]]:
    """Return each forwarded try with the time at which it first arrived whole at a server, ordered by time."""
    rows = [
        (min(a.arrived.t for a in client_try.attempts), client_try)
        for client_try in timeline.tries.values()
        if client_try.attempts
    ]
    return sorted(rows, key=lambda row: (row[0], row[1].id))
