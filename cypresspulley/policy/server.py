"""The state of one server as a gateway knows it."""

from hashlib import blake2b

from cypresspulley import interface as api


class Server:
    """Holds a server's entry in the list, its load and failures, and its slow start. Work is in idle-server seconds."""

    def __init__(self, entry: api.ServerEntry, budget_phase: float) -> None:
        self.entry = entry
        self.up = True
        self.ring_position = blake2b(entry.name.encode(), digest_size=8).digest()
        self.outstanding_work = 0.0  # work of this gateway's open attempts
        self.finished_work = 0.0  # work of this gateway that was finished since the last tick
        self.work_rate = 0.0  # finished work per second, averaged
        self.latency_ratio = 0.0  # latency over idle latency, averaged; 0: unknown
        self.failure_rate = 0.0  # share of attempts that failed, averaged
        self.ejected_until = 0.0  # gets no attempts before
        self.ejection_seconds = 0.0  # length of the last ejection; 0: none since it recovered
        self.cold_budget = 0.0  # work that may be sent to it in slow start
        self.cold_budget_at = 0.0  # when the budget was last refilled
        self.budget_phase = (
            budget_phase  # share of a request's work, 0 to 1, above which the budget allows the request
        )
        self.on_trial = False  # after an ejection: one attempt at a time until one succeeds
        self.unreachable = False
        self.gone = False  # left the server list
        self.reported_inflight = 0.0  # requests in flight by its last load report
        self.reported_at = -1e9  # when the report came
        self.sent_since_report = 0  # attempts
        self.consecutive_breaks = 0  # broken attempts without an answer in between
        self.last_break_at = 0.0
        self.silent_since: float | None = None  # since when it has unanswered requests and has sent no answer
        self.cold_since: float | None = None  # None: warm
        self.listed_at = 0.0  # when a server list last named it
        self.in_subset = False  # used by this gateway

    def release_work(self, work: float) -> None:
        """Subtract the work of an attempt that has ended."""
        # Rounding errors must not remain: a server on trial that seemed to have work outstanding would never be tried
        # again.
        self.outstanding_work = left if (left := self.outstanding_work - work) > 1e-9 else 0.0
