"""Sends a plan's arrivals to running limiters, open loop: responses do not affect the timing of requests."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from cypresspulley.capture.model import CaptureError
from cypresspulley.net.http import split_address
from cypresspulley.rehearsal import records as log
from cypresspulley.rehearsal.plan import Plan
from cypresspulley.rehearsal.scenario import Scenario
from cypresspulley.rehearsal.standins.clients import ClientFleet, FrontBalancer
from cypresspulley.rehearsal.standins.run_context import RunContext

START_DELAY_S = 0.3  # before the first request
ANSWER_TIMEOUT_S = 10.0  # wait for outstanding responses after the last request


@dataclass(slots=True)
class ReplayReport:
    """Counts the requests sent and the responses received; ``late`` and ``latency`` are in milliseconds."""

    sent: int = 0
    unreached: int = 0
    late: list[float] = field(default_factory=list)
    latency: list[float] = field(default_factory=list)
    statuses: Counter[int] = field(default_factory=Counter)

    def as_json(self) -> dict[str, Any]:
        return {
            "sent": self.sent, "unreached": self.unreached, "statuses": dict(sorted(self.statuses.items())),
            "late_ms": {f"p{p}": round(percentile(self.late, p), 3) for p in (50, 99, 100)},
            "latency_ms": {f"p{p}": round(percentile(self.latency, p), 3) for p in (50, 99, 100)},
        }  # fmt: skip


def percentile(values: list[float], percent: float) -> float:
    """Return the given percentile of the values, or 0 if there are none."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * percent / 100))] if ordered else 0.0


async def replay_against(scenario: Scenario, plan: Plan, targets: tuple[str, ...]) -> ReplayReport:
    """Send all arrivals to the limiters at ``targets``, given as ``host:port``.

    Raises ``CaptureError`` for an invalid address.
    """
    try:
        addresses = {target: split_address(target) for target in targets}
    except ValueError as error:
        raise CaptureError(f"--against: {error}; expected HOST:PORT") from None
    report, sent_at = ReplayReport(), dict[str, float]()

    def record_event(record: log.Record) -> None:
        if isinstance(record, log.Sent):
            report.sent += 1
            sent_at[record.id] = record.t
        elif isinstance(record, log.Unreached):
            report.unreached += 1
        elif isinstance(record, log.Answered):
            report.statuses[record.status] += 1
            report.latency.append((record.t - sent_at.pop(record.id, record.t)) * 1000)

    context = RunContext(record_event, lambda _id, _cls: 0.0)
    front = FrontBalancer(list(addresses))
    for target in addresses:
        front.mark_up(target)
    classes = {c.name: c for c in scenario.classes}
    fleet = ClientFleet(
        context, front, lambda name: addresses[name], scenario.clients, classes, plan.seed, scenario.seconds
    )
    context.begin(START_DELAY_S)
    await fleet.play(plan.arrivals)
    await fleet.finish(ANSWER_TIMEOUT_S)
    report.late = [late * 1000 for late in fleet.lateness]
    return report
