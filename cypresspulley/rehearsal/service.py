"""The service figure: worth answered within its wanted time over worth asked inside quotas; free of I/O.

A first try is offered whole if one gateway that saw all first tries would find room in its account's quota,
else ``over_worth`` times (an attempt there is out for as long as an idle server takes). A try that is sent on
takes its units from the account's store then, or is beyond its quota: served, it earns ``over_worth`` of its
worth, and it costs ``over_cost`` of it either way. A client's retries belong to its first try.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass

from cypresspulley.rehearsal import records as log
from cypresspulley.rehearsal.rules import REFUSAL_STATUSES, first_sendings
from cypresspulley.rehearsal.timeline import Timeline, Try

WEIGHTS = {"whole": 0.55, "worst_10s": 0.20, "worst_plan": 0.25}
WINDOW = 10.0  # seconds
# Points of the figure for each unit: see `_prices`.
PRICES = {"waste": 0.08, "late_fail": 0.05, "probe": 0.01, "cross_hall": 0.01, "counter": 0.005}


@dataclass(frozen=True, slots=True)
class Row:
    """One request (all tries of it): when it was asked, what it was worth, what it earned."""

    t: float
    plan: str
    cls: str
    offered: float
    inside: bool
    earned: float  # with what beyond its quota cost taken off
    earned_inside: float
    outcome: str  # served, late, refused, failed, unreached, left


@dataclass(frozen=True, slots=True)
class Service:
    """All figures are shares; the service figure may not fall below 0."""

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


class _Store:
    """A token bucket in units; time in seconds, in order. ``room`` heeds the attempts that are out too."""

    def __init__(self, plan: log.PlanFacts) -> None:
        self._plan, self._level, self._at = plan, plan.burst, -1e9
        self._out = list[float]()  # ends of the attempts that are out

    def room(self, t: float, idle: float, units: float) -> bool:
        """Take units for a request that would be out for ``idle`` seconds, if the quota has room for it."""
        self._out = [end for end in self._out if end > t]
        if self._plan.open_limit and len(self._out) >= self._plan.open_limit:
            return False
        if not self.take(t, units):
            return False
        self._out.append(t + idle)
        return True

    def take(self, t: float, units: float) -> bool:
        self._level = min(self._plan.burst, self._level + self._plan.rate * (t - self._at))
        self._at = t
        if self._level < units:
            return False
        self._level -= units
        return True


def measure(timeline: Timeline) -> Service:
    """The figures of a day."""
    inside = _inside_when_sent(timeline)
    rows = sorted(_rows(timeline, inside), key=lambda row: row.t)
    offered, earned = sum(r.offered for r in rows), sum(r.earned for r in rows)
    by_plan = _ratio(rows, "plan")
    worst_at, worst = _worst(rows, timeline.day.seconds)
    parts = {
        "whole": _share(earned, offered),
        "worst_10s": worst,
        "worst_plan": min(by_plan.values(), default=1.0),
    }
    prices = _prices(timeline, rows, offered)
    figure = sum(WEIGHTS[key] * parts[key] for key in WEIGHTS) - sum(prices.values())
    return Service(
        service=max(0.0, figure), whole=parts["whole"], worst_10s=worst, worst_10s_at=worst_at,
        worst_plan=parts["worst_plan"], by_class=_ratio(rows, "cls"), by_plan=by_plan, prices=prices,
        counts=_counts(timeline, rows), rows=tuple(rows),
    )  # fmt: skip


def _share(part: float, whole: float) -> float:
    return max(0.0, min(1.0, part / whole)) if whole > 0 else 1.0


def _inside_when_sent(timeline: Timeline) -> dict[str, bool]:
    """By try: whether it was inside its account's quota when it was first sent on."""
    stores, inside = dict[tuple[str, str], _Store](), dict[str, bool]()
    out = defaultdict[tuple[str, str], list[float]](list)  # ends of the attempts that are out
    for t, client_try in first_sendings(timeline):
        sent = client_try.sent[0]
        plan, key = timeline.plans[sent.plan], (sent.plan, sent.account)
        out[key] = [end for end in out[key] if end > t]
        room = not plan.open_limit or len(out[key]) < plan.open_limit
        inside[client_try.id] = room and stores.setdefault(key, _Store(plan)).take(t, sent.units)
        out[key] += [a.open_until for a in client_try.attempts]
    return inside


def _rows(timeline: Timeline, inside: dict[str, bool]) -> list[Row]:
    groups = defaultdict[str, list[Try]](list)
    for client_try in timeline.tries.values():
        first = (client_try.sent or client_try.unreached)[0].first
        groups[first].append(client_try)
    # What one gateway would let in is decided in the order in which the requests were asked.
    ordered = sorted(groups.values(), key=lambda tries: min(_asked_at(client_try) for client_try in tries))
    stores, rows = dict[tuple[str, str], _Store](), list[Row]()
    for tries in ordered:
        tries.sort(key=_asked_at)
        sent = next((client_try.sent[0] for client_try in tries if client_try.sent), None)
        if sent is not None:  # one that reached no limiter ever says neither class nor plan
            rows.append(_row(timeline, tries, sent, stores, inside))
    return rows


def _asked_at(client_try: Try) -> float:
    return (client_try.sent or client_try.unreached)[0].t


def _row(
    timeline: Timeline,
    tries: list[Try],
    sent: log.Sent,
    stores: dict[tuple[str, str], _Store],
    inside: dict[str, bool],
) -> Row:
    plan, cls, asked = timeline.plans[sent.plan], timeline.classes[sent.cls], _asked_at(tries[0])
    worth = cls.worth * plan.price * sent.units
    store = stores.setdefault((sent.plan, sent.account), _Store(plan))
    fits = store.room(asked, cls.idle, sent.units)
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


def _ratio(rows: list[Row], key: str) -> dict[str, float]:
    """Inside quotas: worth earned over worth offered, by class or plan."""
    offered, earned = defaultdict[str, float](float), defaultdict[str, float](float)
    for row in rows:
        offered[getattr(row, key)] += row.offered if row.inside else 0.0
        earned[getattr(row, key)] += row.earned_inside
    return {name: _share(earned[name], offered[name]) for name in sorted(offered)}


def _worst(rows: list[Row], seconds: float) -> tuple[float, float]:
    """Where the worst 10 s begin, and the share that they earned; windows begin at each whole second."""
    offered, earned = defaultdict[int, float](float), defaultdict[int, float](float)
    for row in rows:
        offered[int(row.t)] += row.offered
        earned[int(row.t)] += row.earned
    span = range(int(WINDOW))
    starts = range(max(1, int(seconds) - int(WINDOW) + 1))
    found = [
        (_share(sum(earned[s + k] for k in span), sum(offered[s + k] for k in span)), float(s))
        for s in starts
    ]
    worst, at = min(found)
    return at, worst


def _prices(timeline: Timeline, rows: list[Row], offered: float) -> dict[str, float]:
    """What comes off: work that served nobody, failures past the wanted time, probes, ways across, calls."""
    if not rows:
        return dict.fromkeys(PRICES, 0.0)
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
        "waste": _share(spent - useful, asked) if asked else 0.0,
        "late_fail": _share(late, offered),
        "probe": len(timeline.records_of(log.Probed)) / len(rows),
        "cross_hall": crossed / len(rows),
        "counter": len(timeline.records_of(log.Tallied)) / len(rows),
    }
    return {key: PRICES[key] * units[key] for key in PRICES}


def _counts(timeline: Timeline, rows: list[Row]) -> dict[str, int]:
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
        "beyond_quota": sum(not ok for ok in _inside_when_sent(timeline).values()),
        **({"from_kept": len(timeline.ids_answered_from_cache)} if timeline.caching_records else {}),
        # Asked anew under a new id after a death, a request may run again: the client's choice, no rule.
        "asked_anew_and_ran": sum(n > 1 for n in effects.values()),
    }
