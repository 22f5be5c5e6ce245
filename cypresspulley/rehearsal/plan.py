"""What one seed makes of a scenario: accounts, arrivals and faults, drawn ahead; free of I/O.

Arrivals do not wait for answers (open loop). The digest is over all that is drawn here: two plays with
equal digests meet the same requests, accounts and faults at the same times.
"""

from __future__ import annotations

import json
import math
from dataclasses import dataclass
from hashlib import blake2b
from random import Random
from typing import Any

from cypresspulley.rehearsal.scenario import (
    DATAGRAM_KINDS,
    LIMITER_KIND_PREFIXES,
    ClassRow,
    Fault,
    PlanRow,
    Scenario,
    limiter_names,
    server_names,
)
from cypresspulley.rehearsal.sections import FleetFault

ACCOUNTS_FROM = 0x1000_0000  # account numbers stay below 2**33; a flood's are taken from a range of its own
FLOOD_FROM = 0x1_0000_0000
MAX_ARRIVALS = 400_000


@dataclass(frozen=True, slots=True)
class Account:
    """A customer: ``use`` is the multiple of its quota's rate that it asks for."""

    id: str
    plan: str
    use: float
    spike: float  # multiple in a spike, 0 for none
    first: int
    spread: int


@dataclass(frozen=True, slots=True)
class Arrival:
    """The first try of a request; ``t`` in seconds from the start."""

    t: float
    number: int
    account: str
    plan: str
    cls: str
    units: float
    first: int
    spread: int
    repeats: int = -1  # number of the first try that a captured retry belongs to
    attempt: int = 0  # of that request


@dataclass(frozen=True, slots=True)
class PlannedFault:
    """A fault with its targets drawn; ``until`` is ``at`` for what happens once."""

    at: float
    until: float
    kind: str
    targets: tuple[str, ...]
    spec: Fault


@dataclass(frozen=True, slots=True)
class Plan:
    seed: int
    accounts: tuple[Account, ...]
    arrivals: tuple[Arrival, ...]
    faults: tuple[PlannedFault, ...]

    def digest(self) -> str:
        """16 hex digits over all that was drawn."""
        drawn = [_row(a) for a in self.accounts] + [_row(a) for a in self.arrivals]
        faults = [[f.at, f.until, f.kind, f.targets, _spec(f.spec)] for f in self.faults]
        text = json.dumps([self.seed, drawn, faults], sort_keys=True)
        return blake2b(text.encode(), digest_size=8).hexdigest()


def _spec(fault: Fault) -> dict[str, Any]:
    """Its keys; those of limiters together only where they are said, so that other days keep their digests."""
    unsaid = set(FleetFault.model_fields) - fault.model_fields_set
    return {key: value for key, value in fault.model_dump().items() if key not in unsaid}


def _row(drawn: Account | Arrival) -> dict[str, Any]:
    """Its fields by name; ``dataclasses.asdict`` would copy each value deeply first."""
    return {name: getattr(drawn, name) for name in drawn.__slots__}


def random_for(seed: int, *what: object) -> Random:
    """A stream of random numbers of its own for each thing that draws: no draw moves another's."""
    label = "/".join(map(str, (seed, *what)))
    return Random(int.from_bytes(blake2b(label.encode(), digest_size=8).digest(), "big"))


def request_id(seed: int, number: int, attempt: int) -> str:
    """The id of a client's try, 16 hex digits: new for each try."""
    return blake2b(f"{seed}/{number}/{attempt}".encode(), digest_size=8).hexdigest()


def sample_work(seed: int, id: str, cls: ClassRow) -> float:
    """CPU seconds that a try costs a server, lognormal with the class's mean and coefficient of variation."""
    variance = math.log(1 + cls.spread**2)
    factor = random_for(seed, "work", id).lognormvariate(-variance / 2, math.sqrt(variance))
    return cls.work_ms / 1000 * min(20.0, factor)


def draw_plan(scenario: Scenario, seed: int, captured: tuple[Arrival, ...] | None = None) -> Plan:
    """Everything that does not depend on answers, from one seed; ``captured`` arrivals replace drawn ones."""
    faults = _faults(scenario, random_for(seed, "faults"))
    if captured is not None:
        return Plan(seed, (), captured, tuple(faults))
    accounts = _accounts(scenario, random_for(seed, "accounts"))
    arrivals = [a for account in accounts for a in _own(scenario, account, random_for(seed, account.id))]
    for index, fault in enumerate(faults):
        rng = random_for(seed, "extra", index)
        if fault.kind == "account-flood":
            arrivals += _flood(scenario, fault, rng, index)
        elif fault.kind == "account-surge":
            arrivals += _surge(scenario, fault, rng, accounts)
    if len(arrivals) > MAX_ARRIVALS:
        raise ValueError(f"{len(arrivals)} requests; expected at most {MAX_ARRIVALS}: a smaller load or day")
    arrivals.sort(key=lambda a: (a[0], a[1].id, a[2]))
    rows = (
        Arrival(round(t, 6), n, account.id, account.plan, cls, 1.0, account.first, account.spread)
        for n, (t, account, cls) in enumerate(arrivals)
    )
    return Plan(seed, tuple(accounts), tuple(rows), tuple(faults))


Early = tuple[float, Account, str]


def _accounts(scenario: Scenario, rng: Random) -> list[Account]:
    load, accounts = scenario.load, list[Account]()
    whole = sum(plan.share for plan in scenario.plans)
    for plan in scenario.plans:
        want, have = load.inside * plan.share / whole, 0.0
        while have < want:
            account = _account(scenario, rng, plan, len(accounts))
            accounts.append(account)
            have += min(1.0, account.use) * plan.rate
    return accounts


def _account(scenario: Scenario, rng: Random, plan: PlanRow, number: int) -> Account:
    load, kind = scenario.load, rng.random()
    use, spike = rng.uniform(0.2, 0.6), 0.0
    if kind < load.heavy:
        use = rng.uniform(1.5, 3.0)
    elif kind < load.heavy + load.full:
        use = rng.uniform(0.85, 0.98)
    elif kind < load.heavy + load.full + load.spiky:
        spike = rng.uniform(2.5, 6.0)
    spread = rng.randint(*load.spread)
    first = rng.randrange(scenario.limiters.count)
    return Account(f"{ACCOUNTS_FROM + number:016x}", plan.name, round(use, 4), round(spike, 4), first, spread)


def _class(scenario: Scenario, rng: Random) -> str:
    return rng.choices([c.name for c in scenario.classes], [c.share for c in scenario.classes])[0]


def _own(scenario: Scenario, account: Account, rng: Random) -> list[Early]:
    rate = next(plan.rate for plan in scenario.plans if plan.name == account.plan)
    times = _poisson(rng, account.use * rate, 0.0, scenario.seconds)
    if account.spike:
        at = rng.uniform(1, 8)
        while at < scenario.seconds:
            until = min(scenario.seconds, at + rng.uniform(0.8, 4))
            times += _poisson(rng, account.spike * rate, at, until)
            at = until + rng.uniform(8, 20)
    return [(t, account, _class(scenario, rng)) for t in times]


def _poisson(rng: Random, rate: float, start: float, end: float) -> list[float]:
    times, t = list[float](), start
    while rate > 0 and (t := t + rng.expovariate(rate)) < end:
        times.append(t)
    return times


def _flood(scenario: Scenario, fault: PlannedFault, rng: Random, index: int) -> list[Early]:
    rows = list[Early]()
    for n, t in enumerate(_poisson(rng, fault.spec.size * scenario.load.inside, fault.at, fault.until)):
        plan, spread = rng.choice(scenario.plans).name, rng.randint(*scenario.load.spread)
        number = FLOOD_FROM + index * 1_000_000 + n
        account = Account(f"{number:016x}", plan, 0.0, 0.0, rng.randrange(scenario.limiters.count), spread)
        rows.append((t, account, _class(scenario, rng)))
    return rows


def _surge(scenario: Scenario, fault: PlannedFault, rng: Random, accounts: list[Account]) -> list[Early]:
    chosen = rng.sample(accounts, min(fault.spec.count, len(accounts)))
    rate = fault.spec.size * scenario.load.inside / len(chosen)
    return [
        (t, account, _class(scenario, rng))
        for account in chosen
        for t in _poisson(rng, rate, fault.at, fault.until)
    ]


def _faults(scenario: Scenario, rng: Random) -> list[PlannedFault]:
    names = {
        **{kind: limiter_names(scenario) for kind in LIMITER_KIND_PREFIXES},
        "server": server_names(scenario),
        "hall": list(scenario.fleet.halls),
    }
    rows = list[PlannedFault]()
    for fault in scenario.faults:
        pool = names.get(fault.kind.partition("-")[0], [])
        if fault.kind in DATAGRAM_KINDS and not fault.targets:
            pool = []  # every way between limiters, or those that its groups say
        targets = fault.targets or tuple(sorted(rng.sample(pool, min(len(pool), fault.count))))
        until = min(scenario.seconds, fault.at + (fault.lasts or 0.0))
        rows.append(PlannedFault(fault.at, until, fault.kind, targets, fault))
    return sorted(rows, key=lambda f: (f.at, f.kind, f.targets))
