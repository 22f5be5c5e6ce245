"""Scenario files (TOML). Every key is validated before anything starts.

Times are in seconds unless the key ends in ``_ms``. Shares are in 0..1. Rates are in requests per second.
"""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Annotated, Any, Literal

from pydantic import Field, ValidationError, model_validator

from cypresspulley.rehearsal.fields import Name, NotNegative, Positive, Share
from cypresspulley.rehearsal.fields import Strict as _Strict
from cypresspulley.rehearsal.sections import Closing, FleetFault, Lanes, Together

SHIPPED_FOLDER = Path(__file__).resolve().parent / "scenarios"  # in a checkout a link to examples/scenarios

# The keys that each kind of fault may have in addition to ``kind`` and ``at``. ``Fault`` is validated against it.
FAULT_KEYS: dict[str, frozenset[str]] = {
    "limiter-kill": frozenset(("targets", "count", "back_after", "known", "when", "after")),
    "limiter-pause": frozenset(("targets", "count", "lasts")),
    "limiter-restart": frozenset(("targets", "count", "back_after")),
    "limiter-reload": frozenset(("targets", "count")),
    "limiter-drain": frozenset(("targets", "count", "lasts")),
    "limiter-upgrade": frozenset(("targets", "count")),
    "server-by-hand": frozenset(("targets", "count", "lasts")),
    "server-errors": frozenset(("targets", "count", "lasts", "size")),
    "server-resets": frozenset(("targets", "count", "lasts", "size")),
    "server-hang": frozenset(("targets", "count", "lasts")),
    "server-slow": frozenset(("targets", "count", "lasts", "add_ms")),
    "server-spoilt": frozenset(("targets", "count", "lasts", "size")),
    "server-doubled": frozenset(("targets", "count", "lasts", "size")),
    "server-lies": frozenset(("targets", "count", "lasts", "size")),
    "server-crash": frozenset(("targets", "count", "back_after")),
    "server-move": frozenset(("targets", "count", "back_after")),
    "server-drain": frozenset(("targets", "count", "lasts")),
    "server-replace": frozenset(("targets", "count", "every", "reuse_address")),
    "hall-cut": frozenset(("targets", "lasts")),
    "account-flood": frozenset(("lasts", "size")),
    "account-surge": frozenset(("lasts", "size", "count")),
    "keeper-slow": frozenset(("lasts", "add_ms")),
    "keeper-stop": frozenset(("lasts",)),
    "keeper-empty": frozenset(()),
    "keeper-break": frozenset(()),
    "keeper-spoilt": frozenset(("lasts", "size")),
    "discovery-silent": frozenset(("lasts",)),
    "plan-churn": frozenset(("lasts", "every", "ahead", "size", "count")),
    "limiter-off-book": frozenset(("targets", "count", "lasts")),
    "writer-stop": frozenset(("back_after",)),
    "plan-reserve": frozenset(("lasts", "count", "size")),
    "datagram-loss": frozenset(("targets", "lasts", "size")),
    "datagram-delay": frozenset(("targets", "lasts", "add_ms")),
    "datagram-double": frozenset(("targets", "lasts", "size")),
    "datagram-reorder": frozenset(("targets", "lasts", "size", "add_ms")),
    "datagram-cut": frozenset(("targets", "lasts", "groups", "one_way")),
    "datagram-flap": frozenset(("targets", "lasts", "groups", "every")),
    "limiter-clock": frozenset(("targets", "count", "lasts", "offset", "ppm")),
    "limiter-late": frozenset(("targets", "count")),
    "limiter-restart-all-but-one": frozenset(("targets", "back_after")),
    "limiter-old-calendar": frozenset(("targets", "count")),
    "closing-told": frozenset(("targets", "count", "ahead", "place")),
    "purge": frozenset(("targets", "count")),
}


# Operators' calls. The search draws these only on request.
OPERATOR_KINDS = frozenset(("limiter-drain", "limiter-upgrade", "server-by-hand"))
# Changes of plans during a run. A scenario with one of these has a plan book, which its limiters follow.
PLAN_BOOK_KINDS = frozenset(("plan-churn", "plan-reserve", "limiter-off-book", "writer-stop"))
SOCKET_ONLY_KINDS = frozenset(("limiter-upgrade",))  # need two processes, which virtual time does not have
# Faults between limiters, which need [together]. Those of ``CLOSING_KINDS`` need [closing] as well.
DATAGRAM_KINDS = frozenset(kind for kind in FAULT_KEYS if kind.startswith("datagram-"))
CLOSING_KINDS = frozenset(("limiter-old-calendar", "closing-told", "purge"))
FLEET_KINDS = (
    DATAGRAM_KINDS | CLOSING_KINDS | {"limiter-clock", "limiter-late", "limiter-restart-all-but-one"}
)
LIMITER_KIND_PREFIXES = (
    "limiter",
    "datagram",
    "closing",
    "purge",
)  # the targets of kinds with these prefixes are limiters
OPTIONAL_DURATION_KINDS = frozenset(("limiter-clock",))  # lasts until the end of the run without ``lasts``


# Triggers of a limiter-kill that only the virtual event loop can observe.
VIRTUAL_ONLY_TRIGGERS = ("turn", "write")


class ScenarioError(ValueError):
    """Raised for an invalid scenario. The message names the file, the key and the expected value."""


class Goal(_Strict):
    service: Share = Field(0.0, description="the least service figure")
    plans: dict[Name, Share] = Field(
        default_factory=dict, description="the least service inside quotas, by plan"
    )


class Fleet(_Strict):
    """The bag servers. Work is measured in CPU seconds on one core of speed 1."""

    servers: int = Field(9, ge=1, le=1024)
    halls: tuple[Name, ...] = Field(("east-hall", "west-hall", "dock-hall"), min_length=1, max_length=16)
    cores: Positive = 2.0
    slots: int = Field(8, ge=1, le=1000)
    waiting: int = Field(40, ge=0, le=10_000)
    thrash: NotNegative = 0.02
    cold_share: Annotated[float, Field(gt=0, le=1)] = 0.3
    cold_seconds: Positive = 10.0
    fall_multiple: Positive = 2.5
    fall_seconds: Positive = 2.0
    connections: int = Field(800, ge=1, le=4000)
    idle_seconds: Positive = 30.0
    drain_grace: Positive = 2.0
    report_ms: Positive = 400.0
    stops_running: bool = Field(False, description="whether a time-out stops running work too")


class Limiters(_Strict):
    count: int = Field(3, ge=1, le=1024)
    sockets: int = Field(512, ge=64, le=4096)
    memory_mb: int = Field(192, ge=32, le=4096)
    max_attempts: int = Field(4, ge=1, le=10)


class Keeper(_Strict):
    parts: int = Field(2, ge=1, le=16)
    calls_per_second: Positive = 480.0
    call_ms: Positive = 1.0
    waiting_ms: Positive = 150.0
    give_up_ms: Positive = 50.0


class Network(_Strict):
    same_ms: NotNegative = 0.2
    cross_ms: NotNegative = 1.0


class DiscoverySection(_Strict):
    notice: tuple[NotNegative, NotNegative] = (1.0, 3.0)


class Clients(_Strict):
    retries: int = Field(3, ge=0, le=10)
    backoff: Literal["none", "fixed", "exp"] = "fixed"
    backoff_ms: NotNegative = 250.0
    honour: Share = 0.8
    try_share: tuple[Share, Share] = (0.6, 1.0)
    impatient: Share = 0.005
    notice: tuple[NotNegative, NotNegative] = (2.0, 4.0)
    until_closed: bool = Field(False, description="a limiter that ends is used for as long as it takes them")


class ClassRow(_Strict):
    name: Name
    share: Positive
    work_ms: Positive
    spread: NotNegative = Field(0.6, description="coefficient of variation of the work")
    aim_ms: Positive
    deadline_ms: Positive = Field(le=60_000)
    worth: Positive = 1.0
    effect: Literal["safe", "keyed", "unsafe"] = "safe"
    group: Literal["all", "zone", "cell"] = "all"
    window: NotNegative = 5.0


class PlanRow(_Strict):
    name: Name
    share: Positive
    rate: Positive
    burst: Positive
    price: Positive = 1.0
    over_worth: Share = 0.0
    over_cost: Share = 0.5
    open_limit: int = Field(0, ge=0, le=10_000)
    ceiling: NotNegative = Field(0.0, description="hard ceiling, in times rate and burst; 0: none")


class Load(_Strict):
    inside: Positive = Field(60.0, description="requests a second asked inside the quotas", le=5000)
    heavy: Share = Field(0.05, description="share of the accounts that ask for a multiple all day")
    full: Share = Field(0.15, description="share of the accounts that use nearly all")
    spiky: Share = Field(0.15, description="share of the accounts that ask for a multiple now and then")
    spread: tuple[int, int] = (2, 3)
    capture: str | None = Field(None, description="a captured file in place of drawn arrivals")
    mapping: str | None = Field(None, description="how account, class and plan are found in it")
    speed: Annotated[float, Field(gt=0, le=1000)] = 1.0
    stretch_accounts: int = Field(1, ge=1, le=1000)
    scripted_clients: bool = Field(
        False, description="clients retry by themselves; captured retries stay out"
    )


class GraphQL(_Strict):
    """GraphQL clients: safe classes send queries, unsafe ones mutations. Units are the true costs of the documents."""

    abuse: NotNegative = Field(0.0, description="abusive requests a second beside them", le=200)


class Fault(FleetFault):
    kind: str
    at: NotNegative
    lasts: Positive | None = None
    targets: tuple[Name, ...] = ()
    count: int = Field(1, ge=1, le=1024)
    size: Annotated[float, Field(gt=0, le=20)] = 0.5
    back_after: Positive = 4.0
    known: Literal["last", "gone"] = "last"
    when: Literal["time", "handover-written", "turn", "write"] = "time"
    after: int = Field(1, ge=1, le=1_000_000, description="turns or writes of the limiter until it is killed")
    add_ms: Positive = 40.0
    every: Positive = 2.0
    ahead: NotNegative = Field(0.0, description="seconds by which a change of plan is announced", le=60)
    reuse_address: bool = False

    @model_validator(mode="after")
    def _check_keys(self) -> Fault:
        if self.kind not in FAULT_KEYS:
            raise ValueError(f"kind {self.kind!r} is none of {', '.join(sorted(FAULT_KEYS))}")
        allowed = FAULT_KEYS[self.kind]
        if extra := sorted(self.model_fields_set - {"kind", "at"} - allowed):
            raise ValueError(f"a {self.kind} has no {', '.join(extra)}; expected {sorted(allowed) or 'none'}")
        if "after" in self.model_fields_set and self.when not in VIRTUAL_ONLY_TRIGGERS:
            raise ValueError(
                f"after counts turns or writes; expected when to be one of {', '.join(VIRTUAL_ONLY_TRIGGERS)}"
            )
        if self.kind == "datagram-cut" and not self.targets and len(self.groups) < 2:
            raise ValueError("a datagram-cut needs targets, or two groups at least")
        if "lasts" in allowed and self.lasts is None and self.kind not in OPTIONAL_DURATION_KINDS:
            raise ValueError(f"a {self.kind} needs lasts (seconds)")
        return self


CLASSES = (
    ClassRow(name="bag-lookup", share=0.7, work_ms=110, aim_ms=1200, deadline_ms=4000, worth=2),
    ClassRow(
        name="handover-post", share=0.3, work_ms=290, aim_ms=2000, deadline_ms=5000, worth=5, effect="unsafe"
    ),
)
PLANS = (
    PlanRow(name="guesthouse", share=0.2, rate=0.8, burst=4, price=0.5, over_worth=0.2, over_cost=0.0),
    PlanRow(name="standard", share=0.2, rate=0.9, burst=4, price=0.9),
    PlanRow(name="business", share=0.3, rate=2.8, burst=13, price=1.2, ceiling=2.0),
    PlanRow(name="chain", share=0.3, rate=7.0, burst=13, price=1.8, open_limit=6),
)


class Scenario(_Strict):
    name: Name
    about: str = Field(min_length=1)
    seconds: Annotated[float, Field(ge=1, le=600)]
    seed: int = Field(1, ge=0, lt=2**63)
    goal: Goal = Goal()
    fleet: Fleet = Fleet()
    limiters: Limiters = Limiters()
    keeper: Keeper = Keeper()
    network: Network = Network()
    discovery: DiscoverySection = DiscoverySection()
    clients: Clients = Clients()
    load: Load = Load()
    graphql: GraphQL | None = None
    together: Together | None = None
    lanes: Lanes | None = None
    closing: Closing | None = None
    classes: tuple[ClassRow, ...] = Field(CLASSES, alias="class", min_length=1)
    plans: tuple[PlanRow, ...] = Field(PLANS, alias="plan", min_length=1)
    faults: tuple[Fault, ...] = Field((), alias="fault")

    @property
    def uses_operator_calls(self) -> bool:
        """Whether operators call its limiters, which then listen on an operator address."""
        return any(fault.kind in OPERATOR_KINDS or fault.kind == "purge" for fault in self.faults)

    @property
    def uses_plan_book(self) -> bool:
        """Whether its plans change during the run, so that its limiters follow a plan book."""
        return any(fault.kind in PLAN_BOOK_KINDS for fault in self.faults)

    @property
    def on_sockets_only(self) -> bool:
        """Whether it has a fault that cannot be played in virtual time."""
        return any(fault.kind in SOCKET_ONLY_KINDS for fault in self.faults)

    @model_validator(mode="after")
    def _check_consistency(self) -> Scenario:
        known = {
            **{kind: set(limiter_names(self)) for kind in LIMITER_KIND_PREFIXES},
            "server": set(server_names(self)),
            "hall": set(self.fleet.halls),
        }
        for rows, what in ((self.classes, "class"), (self.plans, "plan")):
            if len({row.name for row in rows}) != len(rows):
                raise ValueError(f"{what}: two have one name; expected each name once")
        for number, fault in enumerate(self.faults):
            if fault.at >= self.seconds:
                raise ValueError(f"fault.{number}.at: {fault.at} is past the end; expected < {self.seconds}")
            names = known.get(fault.kind.partition("-")[0], set[str]())
            named = (*fault.targets, *(name for group in fault.groups for name in group))
            if wrong := [target for target in named if target not in names]:
                raise ValueError(
                    f"fault.{number}.targets: {wrong[0]!r} is none of {', '.join(sorted(names))}"
                )
            if names and not fault.targets and fault.count > len(names):
                raise ValueError(f"fault.{number}.count: {fault.count}; expected at most {len(names)}")
        if self.graphql is not None and {c.effect for c in self.classes} != {"safe", "unsafe"}:
            raise ValueError("graphql: expected classes that are safe and unsafe, for queries and mutations")
        if self.graphql is not None and self.load.capture is not None:
            raise ValueError("graphql: expected drawn arrivals, not load.capture")
        churns = [fault for fault in self.faults if fault.kind == "plan-churn"]
        if self.uses_plan_book and not (churns and any(plan.ceiling > 0 for plan in self.plans)):
            raise ValueError(
                "fault: a plan book wants a plan-churn, and a plan with a ceiling for it to move"
            )
        if any(fault.size > 1 for fault in churns):
            raise ValueError("fault: the size of a plan-churn is the lower plan's part; expected at most 1")
        self._check_fleet_tables()
        low, high = self.load.spread
        if not 1 <= low <= high <= self.limiters.count:
            raise ValueError(f"load.spread: {low}..{high}; expected 1 <= low <= high <= limiters.count")
        return self

    def _check_fleet_tables(self) -> None:
        """Check that lanes, closing and faults between limiters have the tables and names that they need."""
        for part in ("lanes", "closing"):
            if getattr(self, part) is not None and self.together is None:
                raise ValueError(f"{part}: expected [together] beside it")
        if self.together is not None and (self.graphql is not None or self.uses_plan_book):
            raise ValueError("together: expected neither [graphql] nor a plan book beside it")
        plans = {plan.name for plan in self.plans}
        if unknown := self.goal.plans.keys() - plans:
            raise ValueError(f"goal.plans: {min(unknown)!r} is none of {', '.join(sorted(plans))}")
        lanes = [plan for lane in self.lanes.lanes for plan in lane.plans] if self.lanes else []
        if lanes and sorted(lanes) != sorted(plans):
            raise ValueError(f"lanes: expected each plan in one lane: {', '.join(sorted(plans))}")
        safe = {row.name for row in self.classes if row.effect == "safe"}
        if self.closing is not None and (wrong := set(self.closing.keep) - safe):
            raise ValueError(f"closing.keep: {min(wrong)!r} is none of the safe classes {', '.join(safe)}")
        places = [place.name for place in self.closing.places] if self.closing else []
        for number, fault in enumerate(self.faults):
            if fault.kind in FLEET_KINDS and self.together is None:
                raise ValueError(f"fault.{number}: a {fault.kind} wants [together]")
            if fault.kind in CLOSING_KINDS and self.closing is None:
                raise ValueError(f"fault.{number}: a {fault.kind} wants [closing]")
            if fault.place and fault.place not in places:
                raise ValueError(f"fault.{number}.place: {fault.place!r} is none of {', '.join(places)}")
            if (
                fault.kind == "closing-told"
                and self.closing is not None
                and fault.ahead <= self.closing.notice + 1
            ):
                raise ValueError(
                    f"fault.{number}.ahead: expected more than {self.closing.notice + 1:g} s, the notice"
                )


def limiter_names(scenario: Scenario) -> list[str]:
    return [f"limiter-{i}" for i in range(scenario.limiters.count)]


def server_names(scenario: Scenario) -> list[str]:
    return [f"bag-{i:02d}" for i in range(scenario.fleet.servers)]


def _error_text(error: dict[str, Any]) -> str:
    where = ".".join(str(part) for part in error["loc"])
    text = str(error["msg"]).removeprefix("Value error, ")
    got = error.get("input")
    shown = f" (got {got!r:.60})" if isinstance(got, str | int | float | bool) else ""
    return f"{where}: {text}{shown}" if where else text


def parse_scenario(raw: dict[str, Any], source: str) -> Scenario:
    """Build a scenario from parsed TOML.

    Raise ``ScenarioError``, which names ``source``, each invalid key and the expected value.
    """
    try:
        return Scenario.model_validate(raw)
    except ValidationError as error:
        lines = [_error_text(dict(one)) for one in error.errors()]
        raise ScenarioError("\n".join(f"{source}: {line}" for line in lines)) from None


def shipped_scenarios() -> dict[str, Path]:
    """Return the paths of the shipped scenarios by name."""
    return {path.stem: path for path in sorted(SHIPPED_FOLDER.glob("*.toml"))}


def load_scenario(name: str) -> Scenario:
    """Load a shipped scenario by name, or any scenario by the path of its TOML file.

    Raise ``ScenarioError`` if it does not exist or is invalid.
    """
    path = shipped_scenarios().get(name, Path(name))
    if not path.is_file():
        raise ScenarioError(
            f"{name}: neither a file nor a shipped scenario; expected {', '.join(shipped_scenarios())}"
        )
    try:
        raw = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise ScenarioError(f"{path}: not readable as TOML: {error}") from None
    return parse_scenario(raw, str(path))
