"""Accounts that a predecessor handed over under plans that are not known here yet.

A plan may be known to the plan book alone, and the first book arrives after a new process has taken its predecessor's
state over. Until then such an account counts as drawn under any other plan: its own store would start full a second
time. No I/O and no clock.
"""

from __future__ import annotations

from collections.abc import Container, ItemsView
from dataclasses import dataclass

from cypresspulley.policy.account import Account

MAX_WAIT_SECONDS = 60.0  # after that the plans are not waited for any longer
MAX_INHERITED_ACCOUNTS = 20_000
AccountKey = tuple[str, str]  # plan and account


@dataclass(frozen=True, slots=True)
class AdoptedAccount:
    """An account whose plan is known now, the accounts that it replaces, and the units that these have drawn."""

    key: AccountKey
    account: Account
    substitutes: tuple[AccountKey, ...]
    drawn: float


class InheritedAccounts:
    """The accounts that wait for their plans, and those that were created in their place meanwhile."""

    def __init__(self) -> None:
        self._waiting = dict[AccountKey, Account]()
        # Accounts of the same names under other plans, with what their ceilings had counted as drawn at first.
        self._substitutes = dict[str, dict[AccountKey, tuple[Account, float]]]()
        self._names = set[str]()
        self._until = 0.0

    def __repr__(self) -> str:
        return f"<InheritedAccounts {len(self._waiting)} waiting>"

    def __len__(self) -> int:
        return len(self._waiting)

    def items(self) -> ItemsView[AccountKey, Account]:
        """Return the accounts that wait; their plans' terms are not known, so that they must not be refilled."""
        return self._waiting.items()

    def add(self, now: float, key: AccountKey, account: Account) -> bool:
        """Keep an account until its plan is known; return False if there are too many."""
        if len(self._waiting) >= MAX_INHERITED_ACCOUNTS:
            return False
        self._waiting[key] = account
        self._names.add(key[1])
        self._until = now + MAX_WAIT_SECONDS
        return True

    def holds(self, name: str) -> bool:
        """Return whether an account of this name waits for its plan."""
        return name in self._names

    def add_substitute(self, key: AccountKey, account: Account) -> None:
        """Note an account that was created, with empty stores, while one of its name waits for its plan."""
        self._substitutes.setdefault(key[1], {})[key] = account, account.ceiling_drawn

    def take(self, plans: Container[str]) -> list[AdoptedAccount]:
        """Remove and return the accounts whose plans are known now."""
        found = [(key, account) for key, account in self._waiting.items() if key[0] in plans]
        taken = list[AdoptedAccount]()
        for key, account in found:
            del self._waiting[key]
            substitutes = self._substitutes.pop(key[1], {})
            drawn = sum(max(0.0, each.ceiling_drawn - at_first) for each, at_first in substitutes.values())
            taken.append(AdoptedAccount(key, account, tuple(substitutes), drawn))
        self._names = {name for _, name in self._waiting}
        return taken

    def expire(self, now: float) -> bool:
        """Drop all accounts once they have waited too long; return whether any was dropped."""
        if not self._waiting or now < self._until:
            return False
        self._waiting.clear()
        self._substitutes.clear()
        self._names.clear()
        return True
