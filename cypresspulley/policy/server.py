"""One server as this gateway knows it: what it has out there, how it answers, whether it is cold."""

from hashlib import blake2b

from cypresspulley import interface as api


class Server:
    def __init__(self, entry: api.ServerEntry, phase: float) -> None:
        self.entry = entry
        self.up = True
        self.ring_position = blake2b(entry.name.encode(), digest_size=8).digest()
        self.outstanding_work = 0.0  # own work that is out
        self.finished_work = 0.0  # own work since the last tick
        self.work_rate = 0.0  # own work a second
        self.latency_ratio = 0.0  # latency over idle latency (0: unknown)
        self.failure_rate = 0.0  # share of broken attempts
        self.ejected_until = 0.0
        self.ejection_seconds = 0.0
        self.cold_budget = 0.0
        self.cold_budget_at = 0.0
        self.budget_phase = (
            phase  # the part of a request's work, 0 to 1, from which the cold budget lets it pass
        )
        self.on_trial = False
        self.unreachable = False
        self.gone = False
        self.reported_inflight = 0.0  # requests in hand by its last report
        self.reported_at = -1e9  # when
        self.sent_since_report = 0  # sent since
        self.consecutive_breaks = 0  # breaks with no answer in between
        self.last_break_at = 0.0  # when the last came
        self.silent_since: float | None = None  # since when it owes answers and gives none
        self.cold_since: float | None = None
        self.listed_at = 0.0  # when a list last named it
        self.in_subset = False  # in this gateway's part

    def release_work(self, work: float) -> None:
        # Floating sums leave a remainder, and a server on trial that seems to have work out is asked no more.
        self.outstanding_work = left if (left := self.outstanding_work - work) > 1e-9 else 0.0
