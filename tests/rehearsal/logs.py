"""Builds logs of correct runs for tests, which then add a violation."""

from __future__ import annotations

from itertools import count
from typing import Any

from cypresspulley.rehearsal import records as log


def day(**changes: Any) -> log.Day:
    facts: dict[str, Any] = {
        "t": -1.0, "scenario": "made", "seed": 1, "digest": "0", "seconds": 20.0, "goal": 0.5,
        "classes": (
            log.ClassFacts("look", 1.0, 2.0, "safe", "all", 0.0, 0.1),
            log.ClassFacts("hand", 2.0, 5.0, "unsafe", "all", 0.0, 0.3),
            log.ClassFacts("keyed", 2.0, 1.0, "keyed", "zone", 3.0, 0.1),
        ),
        "plans": (
            log.PlanFacts("free", 50.0, 50.0, 1.0, 0.0, 0.5, 0, 0.0, 0.0),
            log.PlanFacts("hard", 2.0, 4.0, 1.0, 0.0, 0.5, 0, 4.0, 8.0),
        ),
        "limiters": {"n0": "east", "n1": "west"}, "max_units": 1.0, "drain_grace": 2.0,
        "fall_multiple": 2.5, "fall_seconds": 2.0, "mean_work": 0.1,
    }  # fmt: skip
    return log.Day(**(facts | changes))


class LogBuilder:
    """A log under construction. Each method adds the records of one event."""

    def __init__(self, **changes: Any) -> None:
        self.records: list[log.Record] = [day(**changes)]
        self._attempts, self._ids = count(), count(1)
        for limiter in ("n0", "n1"):
            self.limiter(-0.5, limiter, "started")
            self.told(-0.4, limiter, True, s1=("ready", -1e9), s2=("ready", -1e9), s3=("ready", -1e9))
        for server, hall in (("s1", "east"), ("s2", "east"), ("s3", "west")):
            self.server(-0.5, server, "up", hall)

    def done(self, t: float = 30.0) -> list[log.Record]:
        return [*self.records, log.End(t)]

    def limiter(self, t: float, name: str, what: str) -> None:
        self.records.append(log.LimiterState(t, name, what))

    def server(self, t: float, name: str, what: str, hall: str = "east") -> None:
        self.records.append(log.ServerState(t, name, hall, 0, what, 2.0, 0.1, 10.0))

    def told(self, t: float, limiter: str, whole: bool, **hosts: tuple[str, float]) -> None:
        self.records.append(log.Listed(t, limiter, True, whole, dict(hosts)))

    def sent(self, t: float, cls: str = "hand", limiter: str = "n0", **more: Any) -> str:
        id = more.pop("id", None) or f"{next(self._ids):016x}"
        facts: dict[str, Any] = {
            "first": id,
            "number": 0,
            "plan": "free",
            "units": 1.0,
            "ttl": 3.0,
            "fresh": False,
        }
        facts |= more
        account, plan, units = str(facts.get("account", "a")), str(facts["plan"]), float(facts["units"])
        self.records.append(
            log.Sent(
                t, id, str(facts["first"]), int(facts["number"]), limiter, account, plan, cls, units,
                float(facts["ttl"]), bool(facts["fresh"]),
            )
        )  # fmt: skip
        return str(id)

    def arrived(self, t: float, id: str, server: str = "s1", limiter: str = "n0", work: float = 0.1) -> int:
        number = next(self._attempts)
        self.records.append(log.Arrived(t, number, server, limiter, id, work, t))
        return number

    def replied(
        self, t: float, attempt: int, status: int = 200, body: str = "b", proof: bool = False
    ) -> None:
        if status == 200:
            self.records.append(log.Ran(t, attempt, False))
        self.records.append(log.Replied(t, attempt, status, proof, body, 0.1))

    def ended(self, t: float, attempt: int) -> None:
        self.records += [log.Ran(t, attempt, False), log.Ended(t, attempt, 0.0)]

    def answered(self, t: float, id: str, status: int = 200, body: str = "b") -> None:
        self.records.append(log.Answered(t, id, status, None, body))

    def broke(self, t: float, id: str, begun: bool = False) -> None:
        self.records.append(log.Broke(t, id, begun))

    def left(self, t: float, id: str, why: str) -> None:
        self.records.append(log.Left(t, id, why))

    def served(
        self, t: float, cls: str = "hand", limiter: str = "n0", server: str = "s1", **more: Any
    ) -> str:
        """Adds a request that is served in 0.2 s and returns its id."""
        id = self.sent(t, cls, limiter, **more)
        attempt = self.arrived(t + 0.01, id, server, limiter)
        self.replied(t + 0.19, attempt, body=id)
        self.answered(t + 0.2, id, body=id)
        return id
