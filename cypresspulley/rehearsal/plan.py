"""Draws the plan of a run from a scenario and a seed: accounts, arrivals and faults. No I/O.

Arrivals do not wait for answers (open loop). The digest covers everything that is drawn here: runs with equal digests
have the same requests, accounts and faults at the same times.
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

FIRST_ACCOUNT = 0x1000_0000  # account numbers stay below 2**33; floods use a separate range
FIRST_FLOOD_ACCOUNT = 0x1_0000_0000
MAX_ARRIVALS = 400_000


@dataclass(frozen=True, slots=True)
class Account:
    """A customer. ``use`` is its request rate as a multiple of its quota's rate."""

    id: str
    plan: str
    use: float
    spike: float  # the same multiple during a spike; 0 for none
    first: int
    spread: int


@dataclass(frozen=True, slots=True)
class Arrival:
    """The first try of a request, ``t`` seconds after the start."""

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
    """A fault with its targets drawn. ``until`` equals ``at`` for faults without a duration."""

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
        """Return a hash of everything that was drawn, as 16 hex digits."""
        drawn = [_fields_by_name(a) for a in self.accounts] + [_fields_by_name(a) for a in self.arrivals]
        faults = [[f.at, f.until, f.kind, f.targets, _fault_keys(f.spec)] for f in self.faults]
        text = json.dumps([self.seed, drawn, faults], sort_keys=True)
        return blake2b(text.encode(), digest_size=8).hexdigest()


def _fault_keys(fault: Fault) -> dict[str, Any]:
    """Return a fault's keys.

    Those of ``FleetFault`` are left out unless set, so that scenarios from before they existed keep their digests.
    """
    unsaid = set(FleetFault.model_fields) - fault.model_fields_set
    return {key: value for key, value in fault.model_dump().items() if key not in unsaid}


def _fields_by_name(drawn: Account | Arrival) -> dict[str, Any]:
    """Return the fields by name, without the deep copy that ``dataclasses.asdict`` makes."""
    return {name: getattr(drawn, name) for name in drawn.__slots__}


def random_for(seed: int, *what: object) -> Random:
    """Return a separate random generator for each purpose, so that draws for one do not change those for another."""
    label = "/".join(map(str, (seed, *what)))
    return Random(int.from_bytes(blake2b(label.encode(), digest_size=8).digest(), "big"))


def request_id(seed: int, number: int, attempt: int) -> str:
    """Return the id of a client's try: 16 hex digits, different for each try."""
    return blake2b(f"{seed}/{number}/{attempt}".encode(), digest_size=8).hexdigest()


def sample_work(seed: int, id: str, cls: ClassRow) -> float:
    """Draw the CPU seconds that a try costs: lognormal with the class's mean and coefficient of variation."""
    variance = math.log(1 + cls.spread**2)
    factor = random_for(seed, "work", id).lognormvariate(-variance / 2, math.sqrt(variance))
    return cls.work_ms / 1000 * min(20.0, factor)


def draw_plan(scenario: Scenario, seed: int, captured: tuple[Arrival, ...] | None = None) -> Plan:
    """Draw a plan from a seed. ``captured`` arrivals replace drawn ones.

    Raise ``ValueError`` for more than ``MAX_ARRIVALS`` arrivals.
    """
    faults = _plan_faults(scenario, random_for(seed, "faults"))
    if captured is not None:
        return Plan(seed, (), captured, tuple(faults))
    accounts = _draw_accounts(scenario, random_for(seed, "accounts"))
    arrivals = [
        a for account in accounts for a in _account_arrivals(scenario, account, random_for(seed, account.id))
    ]
    for index, fault in enumerate(faults):
        rng = random_for(seed, "extra", index)
        if fault.kind == "account-flood":
            arrivals += _flood_arrivals(scenario, fault, rng, index)
        elif fault.kind == "account-surge":
            arrivals += _surge_arrivals(scenario, fault, rng, accounts)
    if len(arrivals) > MAX_ARRIVALS:
        raise ValueError(f"{len(arrivals)} requests; expected at most {MAX_ARRIVALS}: a smaller load or day")
    arrivals.sort(key=lambda a: (a[0], a[1].id, a[2]))
    rows = (
        Arrival(round(t, 6), n, account.id, account.plan, cls, 1.0, account.first, account.spread)
        for n, (t, account, cls) in enumerate(arrivals)
    )
    return Plan(seed, tuple(accounts), tuple(rows), tuple(faults))


UnnumberedArrival = tuple[float, Account, str]


def _draw_accounts(scenario: Scenario, rng: Random) -> list[Account]:
    load, accounts = scenario.load, list[Account]()
    total_share = sum(plan.share for plan in scenario.plans)
    for plan in scenario.plans:
        want, have = load.inside * plan.share / total_share, 0.0
        while have < want:
            account = _draw_account(scenario, rng, plan, len(accounts))
            accounts.append(account)
            have += min(1.0, account.use) * plan.rate
    return accounts


def _draw_account(scenario: Scenario, rng: Random, plan: PlanRow, number: int) -> Account:
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
    return Account(f"{FIRST_ACCOUNT + number:016x}", plan.name, round(use, 4), round(spike, 4), first, spread)


def _draw_class(scenario: Scenario, rng: Random) -> str:
    return rng.choices([c.name for c in scenario.classes], [c.share for c in scenario.classes])[0]


def _account_arrivals(scenario: Scenario, account: Account, rng: Random) -> list[UnnumberedArrival]:
    rate = next(plan.rate for plan in scenario.plans if plan.name == account.plan)
    times = _poisson_times(rng, account.use * rate, 0.0, scenario.seconds)
    if account.spike:
        at = rng.uniform(1, 8)
        while at < scenario.seconds:
            until = min(scenario.seconds, at + rng.uniform(0.8, 4))
            times += _poisson_times(rng, account.spike * rate, at, until)
            at = until + rng.uniform(8, 20)
    return [(t, account, _draw_class(scenario, rng)) for t in times]


def _poisson_times(rng: Random, rate: float, start: float, end: float) -> list[float]:
    times, t = list[float](), start
    while rate > 0 and (t := t + rng.expovariate(rate)) < end:
        times.append(t)
    return times


def _flood_arrivals(
    scenario: Scenario, fault: PlannedFault, rng: Random, index: int
) -> list[UnnumberedArrival]:
    rows = list[UnnumberedArrival]()
    for n, t in enumerate(_poisson_times(rng, fault.spec.size * scenario.load.inside, fault.at, fault.until)):
        plan, spread = rng.choice(scenario.plans).name, rng.randint(*scenario.load.spread)
        number = FIRST_FLOOD_ACCOUNT + index * 1_000_000 + n
        account = Account(f"{number:016x}", plan, 0.0, 0.0, rng.randrange(scenario.limiters.count), spread)
        rows.append((t, account, _draw_class(scenario, rng)))
    return rows


def _surge_arrivals(
    scenario: Scenario, fault: PlannedFault, rng: Random, accounts: list[Account]
) -> list[UnnumberedArrival]:
    chosen = rng.sample(accounts, min(fault.spec.count, len(accounts)))
    rate = fault.spec.size * scenario.load.inside / len(chosen)
    return [
        (t, account, _draw_class(scenario, rng))
        for account in chosen
        for t in _poisson_times(rng, rate, fault.at, fault.until)
    ]


def _plan_faults(scenario: Scenario, rng: Random) -> list[PlannedFault]:
    names = {
        **{kind: limiter_names(scenario) for kind in LIMITER_KIND_PREFIXES},
        "server": server_names(scenario),
        "hall": list(scenario.fleet.halls),
    }
    rows = list[PlannedFault]()
    for fault in scenario.faults:
        pool = names.get(fault.kind.partition("-")[0], [])
        if fault.kind in DATAGRAM_KINDS and not fault.targets:
            pool = []  # applies to all links between limiters, or to those between its groups
        targets = fault.targets or tuple(sorted(rng.sample(pool, min(len(pool), fault.count))))
        until = min(scenario.seconds, fault.at + (fault.lasts or 0.0))
        rows.append(PlannedFault(fault.at, until, fault.kind, targets, fault))
    return sorted(rows, key=lambda f: (f.at, f.kind, f.targets))
