"""Computes the service figure: the worth answered within its aim over the worth asked inside quotas. No I/O.

A first try is offered at its full worth if a single gateway that saw all first tries would have room for it in the
account's quota, and at ``over_worth`` times its worth otherwise. For this, an attempt stays open for as long as an idle
server takes. A try that is forwarded takes its units from the account's bucket at that time; without enough units it is
beyond its quota. Beyond it, a served try earns ``over_worth`` of its worth, and every forwarded try costs ``over_cost``
of it. A client's retries belong to its first try.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass

from cypresspulley.rehearsal import records as log
from cypresspulley.rehearsal.rules import REFUSAL_STATUSES, first_sendings
from cypresspulley.rehearsal.timeline import Timeline, Try

FIGURE_WEIGHTS = {"whole": 0.55, "worst_10s": 0.20, "worst_plan": 0.25}
WINDOW_SECONDS = 10.0
# What each unit of ``_penalties`` takes off the service figure.
PENALTY_RATES = {"waste": 0.08, "late_fail": 0.05, "probe": 0.01, "cross_hall": 0.01, "counter": 0.005}


@dataclass(frozen=True, slots=True)
class Row:
    """One request with all its tries: when it was asked, what it was worth and what it earned."""

    t: float
    plan: str
    cls: str
    offered: float
    inside: bool
    earned: float  # less the costs beyond its quota
    earned_inside: float
    outcome: str  # served, late, refused, failed, unreached, left


@dataclass(frozen=True, slots=True)
class Service:
    """The figures of a run, as shares. ``service`` is at least 0."""

    service: float
    whole: float
    worst_10s: float
    worst_10s_at: float
    worst_plan: float
    by_class: dict[str, float]
    by_plan: dict[str, float]
    prices: dict[str, float]
    counts: dict[str, int]
    rows: tuple[Row, ...]


class _QuotaBucket:
    """A token bucket of units. Calls must be in order of time (seconds). ``try_admit`` also limits open attempts."""

    def __init__(self, plan: log.PlanFacts) -> None:
        self._plan, self._units, self._refilled_at = plan, plan.burst, -1e9
        self._open_until = list[float]()  # ends of the open attempts

    def try_admit(self, t: float, idle: float, units: float) -> bool:
        """Take units for a request that would stay open for ``idle`` seconds; return whether it had enough."""
        self._open_until = [end for end in self._open_until if end > t]
        if self._plan.open_limit and len(self._open_until) >= self._plan.open_limit:
            return False
        if not self.try_take(t, units):
            return False
        self._open_until.append(t + idle)
        return True

    def try_take(self, t: float, units: float) -> bool:
        """Take units if the bucket holds enough, and return whether it did."""
        self._units = min(self._plan.burst, self._units + self._plan.rate * (t - self._refilled_at))
        self._refilled_at = t
        if self._units < units:
            return False
        self._units -= units
        return True


def measure(timeline: Timeline) -> Service:
    """Compute the figures of a run."""
    inside = _inside_quota_by_try(timeline)
    rows = sorted(_request_rows(timeline, inside), key=lambda row: row.t)
    offered, earned = sum(r.offered for r in rows), sum(r.earned for r in rows)
    by_plan = _service_by(rows, "plan")
    worst_at, worst = _worst_window(rows, timeline.day.seconds)
    parts = {
        "whole": _clamped_ratio(earned, offered),
        "worst_10s": worst,
        "worst_plan": min(by_plan.values(), default=1.0),
    }
    prices = _penalties(timeline, rows, offered)
    figure = sum(FIGURE_WEIGHTS[key] * parts[key] for key in FIGURE_WEIGHTS) - sum(prices.values())
    return Service(
        service=max(0.0, figure), whole=parts["whole"], worst_10s=worst, worst_10s_at=worst_at,
        worst_plan=parts["worst_plan"], by_class=_service_by(rows, "cls"), by_plan=by_plan, prices=prices,
        counts=_outcome_counts(timeline, rows), rows=tuple(rows),
    )  # fmt: skip


def _clamped_ratio(part: float, whole: float) -> float:
    return max(0.0, min(1.0, part / whole)) if whole > 0 else 1.0


def _inside_quota_by_try(timeline: Timeline) -> dict[str, bool]:
    """Return for each forwarded try whether it was inside its account's quota when it was first forwarded."""
    buckets, inside = dict[tuple[str, str], _QuotaBucket](), dict[str, bool]()
    open_until = defaultdict[tuple[str, str], list[float]](list)  # ends of the open attempts
    for t, client_try in first_sendings(timeline):
        sent = client_try.sent[0]
        plan, key = timeline.plans[sent.plan], (sent.plan, sent.account)
        open_until[key] = [end for end in open_until[key] if end > t]
        has_capacity = not plan.open_limit or len(open_until[key]) < plan.open_limit
        inside[client_try.id] = has_capacity and buckets.setdefault(key, _QuotaBucket(plan)).try_take(
            t, sent.units
        )
        open_until[key] += [a.open_until for a in client_try.attempts]
    return inside


def _request_rows(timeline: Timeline, inside: dict[str, bool]) -> list[Row]:
    groups = defaultdict[str, list[Try]](list)
    for client_try in timeline.tries.values():
        first = (client_try.sent or client_try.unreached)[0].first
        groups[first].append(client_try)
    # The quota admits requests in the order in which they were asked.
    ordered = sorted(
        groups.values(), key=lambda tries: min(_first_sent_at(client_try) for client_try in tries)
    )
    buckets, rows = dict[tuple[str, str], _QuotaBucket](), list[Row]()
    for tries in ordered:
        tries.sort(key=_first_sent_at)
        sent = next((client_try.sent[0] for client_try in tries if client_try.sent), None)
        if sent is not None:  # a request that never reached a limiter has no known class or plan
            rows.append(_request_row(timeline, tries, sent, buckets, inside))
    return rows


def _first_sent_at(client_try: Try) -> float:
    return (client_try.sent or client_try.unreached)[0].t


def _request_row(
    timeline: Timeline,
    tries: list[Try],
    sent: log.Sent,
    buckets: dict[tuple[str, str], _QuotaBucket],
    inside: dict[str, bool],
) -> Row:
    plan, cls, asked = timeline.plans[sent.plan], timeline.classes[sent.cls], _first_sent_at(tries[0])
    worth = cls.worth * plan.price * sent.units
    bucket = buckets.setdefault((sent.plan, sent.account), _QuotaBucket(plan))
    fits = bucket.try_admit(asked, cls.idle, sent.units)
    beyond = [client_try for client_try in tries if inside.get(client_try.id) is False]
    served = next(
        (client_try for client_try in tries if any(a.status == 200 for a in client_try.answers)), None
    )
    earned = earned_inside = 0.0
    outcome = _outcome(tries[-1])
    if served is not None:
        in_time = served.answers[0].t <= asked + cls.aim
        outcome = "served" if in_time else "late"
        if in_time:
            within = inside.get(served.id, True)
            earned = worth if within else worth * plan.over_worth
            earned_inside = worth if within else 0.0
    earned -= plan.over_cost * worth * len(beyond)
    return Row(
        t=asked, plan=sent.plan, cls=sent.cls, offered=worth if fits else worth * plan.over_worth,
        inside=fits, earned=earned, earned_inside=earned_inside, outcome=outcome,
    )  # fmt: skip


def _outcome(last: Try) -> str:
    if not last.sent:
        return "unreached"
    if last.answers:
        return "refused" if last.answers[0].status in REFUSAL_STATUSES else "failed"
    return "left" if any(r.why == "impatient" for r in last.left) else "failed"


def _service_by(rows: list[Row], key: str) -> dict[str, float]:
    """Return the worth earned over the worth offered inside quotas, by class or plan (``key``)."""
    offered, earned = defaultdict[str, float](float), defaultdict[str, float](float)
    for row in rows:
        offered[getattr(row, key)] += row.offered if row.inside else 0.0
        earned[getattr(row, key)] += row.earned_inside
    return {name: _clamped_ratio(earned[name], offered[name]) for name in sorted(offered)}


def _worst_window(rows: list[Row], seconds: float) -> tuple[float, float]:
    """Return the start of the worst 10 s and the share that they earned. Windows start at whole seconds."""
    offered, earned = defaultdict[int, float](float), defaultdict[int, float](float)
    for row in rows:
        offered[int(row.t)] += row.offered
        earned[int(row.t)] += row.earned
    span = range(int(WINDOW_SECONDS))
    starts = range(max(1, int(seconds) - int(WINDOW_SECONDS) + 1))
    found = [
        (_clamped_ratio(sum(earned[s + k] for k in span), sum(offered[s + k] for k in span)), float(s))
        for s in starts
    ]
    worst, at = min(found)
    return at, worst


def _penalties(timeline: Timeline, rows: list[Row], offered: float) -> dict[str, float]:
    """Return the deductions for wasted work, late failures, probes, attempts in another hall and counter calls."""
    if not rows:
        return dict.fromkeys(PENALTY_RATES, 0.0)
    served = {
        (a.id, a.body)
        for client_try in timeline.tries.values()
        for a in client_try.answers
        if a.status == 200
    }
    spent = useful = 0.0
    for attempt in timeline.attempts.values():
        end = attempt.replied or attempt.ended
        spent += end.work if end else 0.0
        if attempt.replied is not None and (attempt.arrived.id, attempt.replied.body) in served:
            useful += attempt.replied.work
    works = [a.arrived.work for a in timeline.attempts.values()]
    asked = len(rows) * sum(works) / len(works) if works else 0.0
    late = sum(r.offered for r in rows if r.outcome in ("late", "failed"))
    halls = timeline.day.limiters
    crossed = sum(
        halls.get(a.arrived.limiter) != timeline.halls.get(a.arrived.server)
        for a in timeline.attempts.values()
    )
    units = {
        "waste": _clamped_ratio(spent - useful, asked) if asked else 0.0,
        "late_fail": _clamped_ratio(late, offered),
        "probe": len(timeline.records_of(log.Probed)) / len(rows),
        "cross_hall": crossed / len(rows),
        "counter": len(timeline.records_of(log.Tallied)) / len(rows),
    }
    return {key: PENALTY_RATES[key] * units[key] for key in PENALTY_RATES}


def _outcome_counts(timeline: Timeline, rows: list[Row]) -> dict[str, int]:
    tries = timeline.tries.values()
    effects = defaultdict[str, int](int)
    for client_try in tries:
        if client_try.sent and timeline.classes[client_try.sent[0].cls].effect == "unsafe":
            effects[client_try.sent[0].first] += sum(a.ran is not None for a in client_try.attempts)
    return {
        "offered": len(rows),
        "inside": sum(r.inside for r in rows),
        "tries": sum(len(client_try.sent) for client_try in tries),
        "served": sum(r.outcome == "served" for r in rows),
        "late": sum(r.outcome == "late" for r in rows),
        "refused": sum(r.outcome == "refused" for r in rows),
        "failed": sum(r.outcome in ("failed", "unreached") for r in rows),
        "left": sum(r.outcome == "left" for r in rows),
        "retried": sum(any(s.id != s.first for s in client_try.sent) for client_try in tries),
        "attempts": len(timeline.attempts),
        "beyond_quota": sum(not ok for ok in _inside_quota_by_try(timeline).values()),
        **({"from_kept": len(timeline.ids_answered_from_cache)} if timeline.caching_records else {}),
        # After a limiter died, a client may repeat a request under a new id, so it may run again; no rule forbids it.
        "asked_anew_and_ran": sum(n > 1 for n in effects.values()),
    }
