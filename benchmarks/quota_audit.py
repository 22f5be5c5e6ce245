"""Each try held against its account's true store: ``python -m benchmarks.quota_audit [SCENARIO ...] [--seeds 2]``.

Plays scenarios in virtual time and watches all limiters' decisions from outside. What one limiter that saw everything
would know is kept beside them: each account's store over all limiters. Prints, by plan, the tries that were first sent
on and those that were refused unsent, by the reason that the limiter gave, each as inside its quota or beyond it.
"""

from __future__ import annotations

import argparse
import sys
from collections import Counter
from collections.abc import Callable
from typing import Any

from cypresspulley import interface as api
from cypresspulley.net.node import DecisionModule
from cypresspulley.plans.carry import Level
from cypresspulley.policy.gateway import Gateway
from cypresspulley.rehearsal.scenario import PlanRow, load_scenario
from cypresspulley.rehearsal.virtual.play import Observer, play_virtual

FLEETS = ("fleet-release", "fleet-hall-lost", "fleet-replaced")


class Audit(Observer):
    """The true stores of all accounts, and what was done with their tries."""

    def __init__(self, plans: tuple[PlanRow, ...]) -> None:
        self._plans = {plan.name: plan for plan in plans}
        self._stores = dict[tuple[str, str], Level]()
        self.seen = Counter[tuple[str, str, bool]]()  # plan, what became of it, whether it was inside

    def watched(self, name: str, gateway: Gateway) -> DecisionModule:
        return Audited(gateway, self.tried)

    def tried(self, now: float, request: api.Request, became: str) -> None:
        """A try was first sent on (``sent``: it takes its units if they are there), or refused unsent."""
        plan, key = self._plans[request.plan], (request.plan, request.account)
        store = self._stores.get(key) or Level(plan.burst, now, plan.rate, plan.burst)
        store = store.moved(now)
        inside = store.units >= request.units - 1e-9
        self._stores[key] = store.drawn(request.units) if inside and became == "sent" else store
        self.seen[request.plan, became, inside] += 1


class Audited:
    """One limiter's decisions, passed on as they are."""

    def __init__(self, gateway: Gateway, tell: Callable[[float, api.Request, str], None]) -> None:
        self._gateway, self._tell = gateway, tell
        self._open = dict[int, api.Request]()  # tries that were neither sent on nor refused

    def handle(self, now: float, event: Any) -> list[api.Action]:
        if isinstance(event, api.Request):
            self._open[event.id] = event
        elif isinstance(event, api.Departed):
            self._open.pop(event.id, None)
        actions = self._gateway.handle(now, event)
        for action in actions:
            if not isinstance(action, api.Send | api.Refuse | api.Fail):
                continue
            if (request := self._open.pop(action.id, None)) is not None:
                became = "sent" if isinstance(action, api.Send) else f"refused: {action.why}"
                self._tell(now, request, became)
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
            total += audit.seen
        print(f"{name}, {options.seeds} seeds: {sum(total.values())} tries")
        for plan, became in sorted({key[:2] for key in total}):
            inside, beyond = total[plan, became, True], total[plan, became, False]
            print(f"  {plan:12} {became:24} inside {inside:6}  beyond {beyond:6}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
