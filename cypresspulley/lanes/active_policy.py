"""The shedding policy that applies at one limiter, and when its next revision is due. Time is always an argument.

Any limiter may make a revision. To avoid simultaneous revisions, each limiter waits for those whose names sort before
its own.
"""

from __future__ import annotations

from cypresspulley.lanes import shedding_policy
from cypresspulley.lanes.allocation import LimiterReport, Pressure, allocate, estimate_capacity
from cypresspulley.lanes.options import LanesOptions
from cypresspulley.lanes.rows import RATE_STEPS, LanesRow
from cypresspulley.lanes.shedding_policy import THRESHOLD_SCALE, SheddingPolicy
from cypresspulley.lanes.states import State

WAIT_PERIODS = (
    2  # periods for which a limiter leaves the next revision to each limiter that precedes it by name
)
MAX_PRECEDING = 3  # preceding limiters that are waited for at most
REVISION_SECONDS = 6.0  # between two revisions: rows must show the effect of the last one
FAST_REVISION_SECONDS = 3.0  # the same where gates refuse too much
FAST_REFUSAL_RATIO = (
    2.0  # refusals over their target from which revisions are fast, if lower lanes exceed their floors
)
MIN_CHANGE = 0.08  # of a threshold: smaller changes are not made
MAX_RECORDED_ACCOUNTS = 20_000  # admitted accounts of a policy that are written to the history


class ActivePolicy:
    """The policy that applies at this limiter, and when the next one is due."""

    def __init__(self, options: LanesOptions, count: int, now: float) -> None:
        self._options, self.policy = options, shedding_policy.initial_policy(count)
        self._adopted_at: float = now
        self._ends_at: float = 0.0
        self._due_since: float | None = None
        self._recorded = set[str]()
        self.is_suspended = True  # until there is a fleet view

    def __repr__(self) -> str:
        thresholds = "/".join(f"{share / THRESHOLD_SCALE:.2f}" for share in self.policy.within_quota)
        return (
            f"<policy {self.policy.revision} {'open' if self.policy.is_open else thresholds}"
            f"{', suspended' * self.is_suspended}>"
        )

    @property
    def in_force(self) -> bool:
        return not self.is_suspended and not self.policy.is_open

    @property
    def capacity(self) -> float:
        """The estimated capacity of the fleet when the policy was made, in units a second."""
        return self.policy.capacity_tenths / RATE_STEPS

    def seconds_left(self, now: float) -> float:
        """Return the seconds until the rotation period ends; 0 for an open policy."""
        return 0.0 if self.policy.is_open else max(0.0, self._ends_at - now)

    def record_admitted(self, account: str) -> bool:
        """Return whether the account's admission in this policy is yet to be written to the history."""
        if account in self._recorded or len(self._recorded) >= MAX_RECORDED_ACCOUNTS:
            return False
        self._recorded.add(account)
        return True

    def merge(self, now: float, rows: list[LanesRow]) -> bool:
        """Adopt the policy that supersedes all known ones; return whether the policy has changed."""
        best = max(rows, key=lambda row: row.policy.key, default=None)
        if best is None:
            return False
        changed = best.policy.supersedes(self.policy)
        if changed:
            self._adopt(now, best.policy, best.seconds_left)
        for row in rows:
            if row.policy.key == self.policy.key:
                # The earliest end is right: rows arrive late, never early.
                self._ends_at = min(self._ends_at, now + row.seconds_left)
        return changed

    def _adopt(self, now: float, policy: SheddingPolicy, seconds_left: float) -> None:
        self.policy, self._adopted_at, self._due_since = policy, now, None
        self._ends_at = now + min(seconds_left, self._options.rotation_seconds)
        self._recorded.clear()

    def is_due(
        self, now: float, state: State, pressure: Pressure, reports: list[LimiterReport], preceding: int
    ) -> bool:
        """Return whether this limiter has to make the next revision now; ``preceding`` limiters come before it."""
        wanted = self._needs_revision(now, state, pressure, reports)
        if not wanted:
            self._due_since = None
            return False
        self._due_since = now if self._due_since is None else self._due_since
        return now - self._due_since >= preceding * WAIT_PERIODS * self._options.period_seconds - 1e-6

    def _needs_revision(
        self, now: float, state: State, pressure: Pressure, reports: list[LimiterReport]
    ) -> bool:
        if self.policy.is_open:
            return state.in_force
        if now - self._adopted_at < 2 * self._options.period_seconds:
            return False
        if now >= self._ends_at:
            return True
        return now - self._adopted_at >= (
            FAST_REVISION_SECONDS if self._refuses_too_much(pressure, reports) else REVISION_SECONDS
        )

    def _refuses_too_much(self, pressure: Pressure, reports: list[LimiterReport]) -> bool:
        """Return whether gates refuse far more than their target while lower lanes could be shed further."""
        if pressure.refusal_ratio < FAST_REFUSAL_RATIO or pressure.pressed_limiters < 2:
            return False
        wanted = allocate(
            self._options.lanes, reports, estimate_capacity(self._options.lanes, reports, self.capacity)
        ).admit_within_quota
        current = self.policy.within_quota
        return any(
            share * THRESHOLD_SCALE < 0.9 * threshold
            for share, threshold in zip(wanted[1:], current[1:], strict=True)
        )

    def revise(self, now: float, state: State, reports: list[LimiterReport], author: int) -> None:
        """Make the next revision by all reports.

        While any report is stale, the revision admits no more than the current policy.
        """
        capacity = estimate_capacity(
            self._options.lanes, reports, None if self.policy.is_open else self.capacity
        )
        allocation = allocate(self._options.lanes, reports, capacity)
        within_quota, over_quota = allocation.admit_within_quota, allocation.admit_over_quota
        if any(report.is_stale for report in reports):
            within_quota = tuple(
                min(s, t / THRESHOLD_SCALE)
                for s, t in zip(within_quota, self.policy.within_quota, strict=True)
            )
            over_quota = tuple(
                min(s, t / THRESHOLD_SCALE) for s, t in zip(over_quota, self.policy.over_quota, strict=True)
            )
        elif state is State.EASING and min(within_quota) >= 1:
            return self._adopt(now, shedding_policy.open_policy(self.policy, author), 0.0)
        rotates = self.policy.is_open or now >= self._ends_at
        if not rotates:
            within_quota = tuple(
                _ignore_small_change(s, t / THRESHOLD_SCALE)
                for s, t in zip(within_quota, self.policy.within_quota, strict=True)
            )
        ends_at = now + self._options.rotation_seconds if rotates else 0.0
        policy = shedding_policy.revise_policy(
            self.policy, author, ends_at, capacity, within_quota, over_quota
        )
        return self._adopt(now, policy, self._options.rotation_seconds if rotates else self.seconds_left(now))


def _ignore_small_change(wanted: float, current: float) -> float:
    """Return the wanted threshold, or the current one where the difference is small.

    Each change sheds some accounts that were admitted, whose clients then retry in vain, or admits others too late to
    be of use.
    """
    return current if abs(wanted - current) < MIN_CHANGE * max(wanted, current) else wanted
