"""Compares requests with their accounts' true levels: ``python -m benchmarks.quota_audit [SCENARIO ...] [--seeds 2]``.

Plays scenarios in virtual time and observes the decisions of all limiters. Beside them it tracks each account's true
level over all limiters. Prints, by plan, the requests that were sent and those that were refused without having been
sent, by the reason that the limiter gave, each as within its quota or over it.
"""

from __future__ import annotations

import argparse
import sys
from collections import Counter
from collections.abc import Callable
from typing import Any

from cypresspulley import interface as api
from cypresspulley.net.node import DecisionModule
from cypresspulley.plans.bucket_level import BucketLevel
from cypresspulley.policy.gateway import Gateway
from cypresspulley.rehearsal.scenario import PlanRow, load_scenario
from cypresspulley.rehearsal.virtual.play import Observer, play_virtual

FLEETS = ("fleet-release", "fleet-hall-lost", "fleet-replaced")


class Audit(Observer):
    """The true levels of all accounts, and the decisions on their requests."""

    def __init__(self, plans: tuple[PlanRow, ...]) -> None:
        self._plans = {plan.name: plan for plan in plans}
        self._levels = dict[tuple[str, str], BucketLevel]()
        self.decisions = Counter[tuple[str, str, bool]]()  # plan, decision, whether it was within quota

    def wrap_gateway(self, name: str, gateway: Gateway) -> DecisionModule:
        return Audited(gateway, self.record_decision)

    def record_decision(self, now: float, request: api.Request, decision: str) -> None:
        """Record that a request was sent for the first time (``sent``, which charges its units if they are there), or
        refused without having been sent."""
        plan, key = self._plans[request.plan], (request.plan, request.account)
        level = self._levels.get(key) or BucketLevel(plan.burst, now, plan.rate, plan.burst)
        level = level.refilled_until(now)
        inside = level.units >= request.units - 1e-9
        self._levels[key] = level.with_units_drawn(request.units) if inside and decision == "sent" else level
        self.decisions[request.plan, decision, inside] += 1


class Audited:
    """Passes one limiter's decisions on unchanged and reports them."""

    def __init__(self, gateway: Gateway, report: Callable[[float, api.Request, str], None]) -> None:
        self._gateway, self._report = gateway, report
        self._open = dict[int, api.Request]()  # requests that were neither sent nor refused

    def handle(self, now: float, event: Any) -> list[api.Action]:
        if isinstance(event, api.Request):
            self._open[event.id] = event
        elif isinstance(event, api.ClientDisconnected):
            self._open.pop(event.id, None)
        actions = self._gateway.handle(now, event)
        for action in actions:
            if not isinstance(action, api.Send | api.Refuse | api.Fail):
                continue
            if (request := self._open.pop(action.id, None)) is not None:
                decision = "sent" if isinstance(action, api.Send) else f"refused: {action.why}"
                self._report(now, request, decision)
        return actions


def main(arguments: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(description=__doc__.split("\n", 1)[0])
    parser.add_argument("scenarios", nargs="*", default=list(FLEETS))
    parser.add_argument("--seeds", type=int, default=2)
    parser.add_argument("--seconds", type=float, help="of a day; its own by itself")
    options = parser.parse_args(arguments)
    for name in options.scenarios:
        scenario = load_scenario(name)
        if options.seconds:
            scenario = scenario.model_copy(update={"seconds": options.seconds})
        total = Counter[tuple[str, str, bool]]()
        for seed in range(options.seeds):
            audit = Audit(scenario.plans)
            play_virtual(scenario, seed, observer=audit)
            total += audit.decisions
        print(f"{name}, {options.seeds} seeds: {sum(total.values())} tries")
        for plan, decision in sorted({key[:2] for key in total}):
            inside, beyond = total[plan, decision, True], total[plan, decision, False]
            print(f"  {plan:12} {decision:24} inside {inside:6}  beyond {beyond:6}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
