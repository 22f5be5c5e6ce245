"""An open request as the parts of the policy see it."""

from cypresspulley import interface as api
from cypresspulley.policy.account import Account
from cypresspulley.policy.server import Server


class Request:
    """State of an open request. Times are of the gateway's clock, ``work`` is in seconds of an idle server."""

    __slots__ = (
        "account", "attempt_deadline", "attempts", "body_pending", "bound", "cls", "deadline", "first_run",
        "granted_incarnation", "holds_slot", "holds_work", "id", "in_quota", "is_retry", "max_attempts", "max_units",
        "open_attempts", "replayable", "started_at", "ttl", "units", "value_rank", "work", "worth",
    )  # fmt: skip

    def __init__(
        self, now: float, event: api.Request, cls: api.RequestClass, account: Account, max_attempts: int
    ) -> None:
        self.id = event.id
        self.cls = cls
        self.account = account
        self.units = event.units
        self.max_attempts = max_attempts
        self.bound = event.bound
        self.max_units = max(event.units, event.bound)  # units that a ceiling must hold for it
        self.is_retry = event.repeat  # the client sent it before
        self.in_quota = False
        self.ttl = event.ttl
        self.body_pending = event.body_pending
        self.replayable = True  # its body can be sent again
        self.holds_work = False  # its work counts as outstanding at its server
        self.start_clock(now)
        self.holds_slot = False  # it counts towards its account's limit on open requests over all gateways
        # Incarnation of the ceiling window's count that granted its units; None where the even share of the ceiling
        # holds them.
        self.granted_incarnation: int | None = None
        self.worth = cls.worth * account.plan.price * event.units
        self.work = 0.0  # expected work
        self.value_rank = 1.0  # rank by worth per work among the recent requests, 0 to 1
        self.attempts = list[tuple[Server, float]]()  # server and time of each
        self.open_attempts = dict[int, Server]()  # by the attempt's number
        self.first_run: tuple[Server, float] | None = None  # first attempt that may have run

    def start_clock(self, now: float) -> None:
        """Start the client's time, which counts from the last byte of the request."""
        self.deadline, self.started_at = now + self.ttl, now
        # Where a late answer earns nothing, an attempt past the aim is wasted work: its timeout frees the server.
        self.attempt_deadline = (
            self.deadline if self.cls.late_worth else min(self.deadline, now + self.cls.aim)
        )

    def __repr__(self) -> str:
        return (
            f"<Request {self.id} {self.cls.name}, {len(self.attempts)} attempts,"
            f" {len(self.open_attempts)} open, first run {self.first_run}>"
        )
