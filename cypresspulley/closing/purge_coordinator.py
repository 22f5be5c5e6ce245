"""Issues this limiter's purges and finds out when a purge requested by an operator is complete at all limiters."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

from cypresspulley.closing.lease import Instance, Lease
from cypresspulley.closing.options import LEASE_WAIT_FACTOR
from cypresspulley.closing.peers import Peers
from cypresspulley.closing.purge_counters import encode_ack
from cypresspulley.closing.row import ACCOUNT_PATTERN
from cypresspulley.histories.events import Kind
from cypresspulley.histories.writer import AnyHistory

ACCOUNT_LIMIT = 2**33  # exclusive upper bound of the protocol's account numbers


def validate_account(account: str) -> None:
    """Raise ``ValueError`` if ``account`` is not an account."""
    if not ACCOUNT_PATTERN.fullmatch(account) or int(account, 16) >= ACCOUNT_LIMIT:
        raise ValueError("expected an account of 16 hex digits in lower case, below 2**33")


class PendingPurge(NamedTuple):
    """An operator's purge without an answer yet.

    ``round`` is the lease's round at which it was issued, and ``deadline`` the time by which it is answered.
    """

    number: int
    round: int
    deadline: float
    done: asyncio.Future[tuple[str, ...]]


class PurgeCoordinator:
    """``lost_seconds`` is the time for which a lost limiter keeps all others from using their caches."""

    def __init__(self, peers: Peers, lease: Lease, history: AnyHistory, lost_seconds: float) -> None:
        self._peers, self._lease, self._history = peers, lease, history
        self._lost_seconds = lost_seconds / LEASE_WAIT_FACTOR
        self._pending = list[PendingPurge]()
        # Accounts with a write that may still be running at a server, and the time at which they are purged again.
        self._scheduled = dict[str, float]()

    def __repr__(self) -> str:
        return (
            f"<PurgeCoordinator {self._peers.issued.count} issued, {len(self._pending)} pending, "
            f"{len(self._scheduled)} scheduled>"
        )

    def issue(self, account: str) -> int:
        """Issue a purge, which this limiter has applied already, and return its number."""
        number = self._peers.issued.issue(account)
        for what in ("asked", "applied"):
            self.record(account, self._peers.own_instance, number, what)
        return number

    def record(
        self, account: str, issuer: Instance, number: int, what: str, missing: tuple[str, ...] = ()
    ) -> None:
        """Write a purge to the history; ``what`` is one of asked, applied, yes and no."""
        self._history.put(
            Kind.PURGE, account=account, issuer=issuer.name, life=issuer.life, number=number, what=what,
            missing=list(missing),
        )  # fmt: skip

    def schedule(self, account: str, at: float) -> None:
        """Schedule a purge for the time by which a write of the account has certainly ended."""
        self._scheduled[account] = at

    def take_due(self, now: float) -> list[str]:
        """Remove and return the accounts whose scheduled purge is due."""
        due = [account for account, at in self._scheduled.items() if at <= now]
        for account in due:
            del self._scheduled[account]
        return due

    def wait_for(self, number: int, deadline: float) -> asyncio.Future[tuple[str, ...]]:
        """Return a future with the answer to a purge that has just been issued."""
        done: asyncio.Future[tuple[str, ...]] = asyncio.get_running_loop().create_future()
        self._pending.append(PendingPurge(number, self._lease.round, deadline, done))
        return done

    def close(self) -> None:
        """Cancel pending purges; their callers' connections end with the process."""
        for pending in self._pending:
            pending.done.cancel()
        self._pending.clear()

    def resolve_pending(self, now: float) -> None:
        """Answer the pending purges whose result is known by now."""
        for pending in list(self._pending):
            missing = [] if pending.done.done() else self._find_missing(now, pending)
            # A limiter that is not present to confirm the purge may hold its lease beyond the caller's deadline.
            unreachable = any(
                self._lease.peer_expiry(instance) > pending.deadline
                for instance in missing
                if instance not in self._peers.rows
            )
            if missing and not unreachable and now < pending.deadline:
                continue
            self._pending.remove(pending)
            if not pending.done.done():
                pending.done.set_result(tuple(sorted({instance.name for instance in missing})))

    def _find_missing(self, now: float, pending: PendingPurge) -> list[Instance]:
        """Return the limiters that may still have an answer cached from before the purge."""
        if self._peers.is_alone():
            return []
        rows = self._peers.rows
        confirmed = {instance for instance in rows if self._has_applied(instance, pending)}
        missing = [
            instance
            for instance in {*self._lease.seen_instances(), *rows} - confirmed
            if now < self._lease.peer_expiry(instance)
        ]
        # No other limiter uses its cache without this one for ``lost_seconds``, or while a majority has just heard from
        # it. If this limiter has been cut off for longer, or has just started, it does not know who uses a cache.
        is_counted = self._lease.is_acknowledged_within(
            now, self._lost_seconds
        ) or self._peers.membership.is_majority(len(confirmed) + 1)
        return missing if missing or is_counted else [self._peers.own_instance]

    def _has_applied(self, instance: Instance, pending: PendingPurge) -> bool:
        """Return whether a limiter has applied a purge.

        Either its row acknowledges it, or it follows from rule (1) of the lease: two rounds later it has seen this
        limiter's row of the round after the purge, and applied it.
        """
        row = self._peers.rows[instance]
        if row is None:
            return False
        if row.acknowledges(encode_ack(self._peers.own_instance, pending.number)):
            return True
        return (
            row.view_digest == self._lease.view_digest
            and row.round > row.since_round
            and row.round >= pending.round + 2
        )
