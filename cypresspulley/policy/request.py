"""A client's try while it is open, as all parts of the policy see it."""

from cypresspulley import interface as api
from cypresspulley.policy.account import Account
from cypresspulley.policy.server import Server


class Request:
    """Times are of the gateway's clock; ``work`` in seconds of an idle server."""

    __slots__ = (
        "account", "max_attempts", "started_at", "bound", "holds_work", "cls", "body_pending", "deadline", "attempt_deadline", "granted_incarnation", "id", "in_quota",
        "replayable", "max_units", "open_attempts", "first_run", "value_rank", "is_retry", "holds_slot", "attempts", "ttl", "units", "work", "worth",
    )  # fmt: skip

    def __init__(
        self, now: float, ev: api.Request, cls: api.RequestClass, account: Account, attempts: int
    ) -> None:
        self.id = ev.id
        self.cls = cls
        self.account = account
        self.units = ev.units
        self.max_attempts = attempts  # that it may have in all
        self.bound = ev.bound
        self.max_units = max(ev.units, ev.bound)  # a ceiling is held against the most
        self.is_retry = ev.repeat
        self.in_quota = False
        self.ttl = ev.ttl
        self.body_pending = ev.coming
        self.replayable = True
        self.holds_work = False  # its work counts at its server
        self.start_clock(now)
        self.holds_slot = False  # it counts among what its customer has out over all gateways
        self.granted_incarnation: int | None = (
            None  # the incarnation of its window's count that holds it, where no even share does
        )
        self.worth = cls.worth * account.plan.price * ev.units
        self.work = 0.0  # expected work
        self.value_rank = 1.0  # place among the recent by worth per work
        self.attempts = list[tuple[Server, float]]()
        self.open_attempts = dict[int, Server]()
        self.first_run: tuple[Server, float] | None = None  # first attempt that may have run

    def start_clock(self, now: float) -> None:
        """Its time counts from its last byte."""
        self.deadline, self.started_at = now + self.ttl, now
        # Past its aim an answer that earns nothing is only work; the time-out hands the server back.
        self.attempt_deadline = (
            self.deadline if self.cls.late_worth else min(self.deadline, now + self.cls.aim)
        )

    def __repr__(self) -> str:
        return f"<Request {self.id} {self.cls.name}, {len(self.attempts)} sent, {len(self.open_attempts)} out, ran {self.first_run}>"
