"""Decides which of several listed servers owns an address: the one that was started there last. No I/O and no clock.

A server that is replaced at its address comes under a new id, and discovery may tell the new one before the end of the
old one. Requests for the old id would then reach the new process, which is cold, under the name of a warm server.
Discovery's news come in order, so the owner is who was first told, or told with a new start, in the latest listing;
within one listing, who started last by its birth; both stay where that is the same. A server that has lost its address
stays out until it is told with another address or a new start.
"""

from __future__ import annotations

import logging
from collections.abc import Mapping
from dataclasses import dataclass, replace

from cypresspulley import interface as api

log = logging.getLogger(__name__)


@dataclass(slots=True)
class _Tenure:
    """A server at an address."""

    entry: api.ServerEntry
    address: str
    listing: int  # number of the listing that told it first, or with a new start
    is_superseded: bool = False

    @property
    def start(self) -> tuple[int, float]:
        """Orders the servers at an address by their starts."""
        return self.listing, self.entry.born


class AddressOwners:
    """The servers that are listed, by name and by address."""

    def __init__(self) -> None:
        self._listing = 0
        self._tenures = dict[str, _Tenure]()
        self._by_address = dict[str, dict[str, _Tenure]]()

    def resolve(
        self, servers: api.ServerList, addresses: Mapping[str, str], now: float
    ) -> tuple[api.ServerEntry, ...]:
        """Return the entries of a listing, with those as gone whose address belongs to another server.

        Servers that lose their address to an entry of the listing are added. A new owner whose birth is unknown is
        given ``now`` (Unix time in seconds): it has started since the server that it replaces was told.
        """
        self._listing += 1
        if servers.complete:
            named = {entry.name for entry in servers.entries}
            for name in [name for name in self._tenures if name not in named]:
                self._forget(name)
        changed = dict[str, api.ServerEntry]()
        for entry in servers.entries:
            self._apply(entry, addresses.get(entry.name, ""), changed, now)
        listed = [changed.pop(entry.name, entry) for entry in servers.entries]
        return (*listed, *changed.values())

    def _apply(
        self, entry: api.ServerEntry, address: str, changed: dict[str, api.ServerEntry], now: float
    ) -> None:
        """Apply one entry; put the entries that have to be told otherwise into ``changed``."""
        if entry.health is api.Health.GONE:
            return self._forget(entry.name)
        tenure = self._tenures.get(entry.name)
        address = address or (tenure.address if tenure is not None else "")
        if tenure is None or tenure.address != address or tenure.entry.born != entry.born:
            self._forget(entry.name)
            tenure = self._tenures[entry.name] = _Tenure(entry, address, self._listing)
            self._by_address.setdefault(address, {})[entry.name] = tenure
        tenure.entry = entry
        if address:
            self._settle(tenure, changed, now)
        if tenure.is_superseded:
            changed[entry.name] = replace(entry, health=api.Health.GONE)

    def _settle(self, tenure: _Tenure, changed: dict[str, api.ServerEntry], now: float) -> None:
        """Decide between a server and the others at its address."""
        for other in self._by_address[tenure.address].values():
            if other is tenure or other.is_superseded or tenure.is_superseded:
                continue
            if tenure.start == other.start:
                continue  # nothing tells which of them is there
            owner, loser = sorted((tenure, other), key=lambda each: each.start, reverse=True)
            loser.is_superseded = True
            log.info("server %s has taken the address of %s", owner.entry.name, loser.entry.name)
            changed[loser.entry.name] = replace(loser.entry, health=api.Health.GONE)
            if owner.entry.born == 0.0 and owner.listing == self._listing:
                changed[owner.entry.name] = replace(owner.entry, born=now)

    def _forget(self, name: str) -> None:
        tenure = self._tenures.pop(name, None)
        if tenure is not None:
            at_address = self._by_address[tenure.address]
            del at_address[name]
            if not at_address:
                del self._by_address[tenure.address]
