"""Purges: this limiter's own, numbered and told, and the answer to one by hand: gone everywhere, or who may have it."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

from cypresspulley.closing.lease import Instance, Lease
from cypresspulley.closing.options import LEASE_WAIT_FACTOR
from cypresspulley.closing.peers import Peers
from cypresspulley.closing.purge_counters import echo
from cypresspulley.closing.row import ACCOUNT_PATTERN
from cypresspulley.histories.events import Kind
from cypresspulley.histories.writer import AnyHistory

ACCOUNTS = 2**33  # of the protocol's account numbers


def check_account(account: str) -> None:
    """``ValueError`` for what is no account."""
    if not ACCOUNT_PATTERN.fullmatch(account) or int(account, 16) >= ACCOUNTS:
        raise ValueError("expected an account of 16 hex digits in lower case, below 2**33")


class Waiting(NamedTuple):
    """A purge by hand that has no answer yet: its number, the lease's round at which it was said, its latest end."""

    number: int
    round: int
    until: float
    done: asyncio.Future[tuple[str, ...]]


class PurgeCoordinator:
    """``lost``: seconds for which a lost limiter holds up all others."""

    def __init__(self, peers: Peers, lease: Lease, history: AnyHistory, lost: float) -> None:
        self._peers, self._lease, self._history = peers, lease, history
        self._lost = lost / LEASE_WAIT_FACTOR
        self._waiting = list[Waiting]()
        self._again = dict[
            str, float
        ]()  # accounts whose change may still be running: when they are purged again

    def __repr__(self) -> str:
        return f"<Purging {self._peers.issued.count} issued, {len(self._waiting)} waiting, {len(self._again)} to come>"

    def issue(self, account: str) -> int:
        """Number one more of this limiter's own, which has applied it."""
        number = self._peers.issued.issue(account)
        for what in ("asked", "applied"):
            self.told(account, self._peers.me, number, what)
        return number

    def told(
        self, account: str, issuer: Instance, number: int, what: str, missing: tuple[str, ...] = ()
    ) -> None:
        self._history.put(
            Kind.PURGE, account=account, issuer=issuer.name, life=issuer.life, number=number, what=what,
            missing=list(missing),
        )  # fmt: skip

    def again(self, account: str, at: float) -> None:
        """Its change may still be running until then."""
        self._again[account] = at

    def due(self, now: float) -> list[str]:
        """Accounts whose change has surely ended by now."""
        found = [account for account, at in self._again.items() if at <= now]
        for account in found:
            del self._again[account]
        return found

    def wait(self, number: int, until: float) -> asyncio.Future[tuple[str, ...]]:
        """For the answer to a purge that was issued now."""
        done: asyncio.Future[tuple[str, ...]] = asyncio.get_running_loop().create_future()
        self._waiting.append(Waiting(number, self._lease.round, until, done))
        return done

    def close(self) -> None:
        """What has no answer gets none: its caller's connection ends with the process."""
        for waiting in self._waiting:
            waiting.done.cancel()
        self._waiting.clear()

    def answer(self, now: float) -> None:
        """Tell those whose answer is known by now."""
        for waiting in list(self._waiting):
            missing = [] if waiting.done.done() else self._find_missing(now, waiting)
            # Who is not there to say so holds its lease beyond the time that the caller is given.
            hopeless = any(
                self._lease.peer_expiry(life) > waiting.until
                for life in missing
                if life not in self._peers.rows
            )
            if missing and not hopeless and now < waiting.until:
                continue
            self._waiting.remove(waiting)
            if not waiting.done.done():
                waiting.done.set_result(tuple(sorted({life.name for life in missing})))

    def _find_missing(self, now: float, waiting: Waiting) -> list[Instance]:
        """Who may have something kept from before a purge."""
        if self._peers.alone():
            return []
        rows = self._peers.rows
        has = {life for life in rows if self._has(life, waiting)}
        missing = [
            life
            for life in {*self._lease.seen_instances(), *rows} - has
            if now < self._lease.peer_expiry(life)
        ]
        # Nobody goes on without this limiter before ``lost`` seconds, or while most others have just heard it. Cut off
        # for longer, or just started, it does not know who keeps.
        counted = self._lease.is_acknowledged_within(now, self._lost) or self._peers.roster.enough(
            len(has) + 1
        )
        return missing if missing or counted else [self._peers.me]

    def _has(self, life: Instance, waiting: Waiting) -> bool:
        """It says so itself, or by rule (1) of the lease: at two rounds later it has seen this limiter's row of the one
        after the purge, and acted on it."""
        said = self._peers.rows[life]
        if said is None:
            return False
        if said.acknowledges(echo(self._peers.me, waiting.number)):
            return True
        return (
            said.view_digest == self._lease.view_digest
            and said.round > said.since_round
            and said.round >= waiting.round + 2
        )
