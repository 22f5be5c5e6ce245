"""The ring of all usable servers, in an order that every gateway agrees on, and this gateway's place in it."""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Iterable

from cypresspulley.policy.server import Server


def _place(server: Server) -> bytes:
    return server.ring_position


class HashRing:
    """Servers by the hash of their names. A change costs the logarithm of their number, and one move of memory."""

    def __init__(self) -> None:
        self._order = list[Server]()

    def __len__(self) -> int:
        return len(self._order)

    def rebuild(self, servers: Iterable[Server]) -> None:
        """Hold just these servers."""
        self._order = sorted(servers, key=_place)

    def update(self, server: Server, usable: bool) -> None:
        """Add a server or take it off."""
        order, at = self._order, bisect_left(self._order, server.ring_position, key=_place)
        while at < len(order) and order[at] is not server and order[at].place == server.ring_position:
            at += 1
        found = at < len(order) and order[at] is server
        if usable and not found:
            insort(order, server, key=_place)
        elif found and not usable:
            del order[at]

    @property
    def servers(self) -> list[Server]:
        """All of them in their order, to be read only."""
        return self._order

    def subset(self, index: int, gateways: int, most: int | None = None) -> list[Server]:
        """Servers from the place of gateway ``index`` of ``gateways`` on; places are spread evenly."""
        order = self._order
        start = index * len(order) // gateways
        if most is None or most >= len(order):
            return order[start:] + order[:start]
        return order[start : start + most] + order[: max(0, start + most - len(order))]


class DeduplicationGroups:
    """Usable servers by zone, and by zone and cell: who drops a repeat of what another one may have run."""

    def __init__(self) -> None:
        self._rings = dict[Key, HashRing]()
        self._keys = dict[Server, tuple[Key, Key]]()

    def rebuild(self, servers: Iterable[Server]) -> None:
        """Hold just these servers."""
        found = dict[Key, list[Server]]()
        self._keys = {server: _keys(server) for server in servers}
        for server, keys in self._keys.items():
            for key in keys:
                found.setdefault(key, []).append(server)
        self._rings = {}
        for key, members in found.items():
            self._rings[key] = HashRing()
            self._rings[key].rebuild(members)

    def update(self, server: Server, usable: bool) -> None:
        """Add a server, take it off, or follow it to another group."""
        keys = _keys(server) if usable else None
        before = self._keys.pop(server, None)
        if keys is not None:
            self._keys[server] = keys
        if keys == before:
            return
        for key in before or ():
            self._rings[key].update(server, False)
            if not self._rings[key]:
                del self._rings[key]
        for key in keys or ():
            self._rings.setdefault(key, HashRing()).update(server, True)

    def members(self, zone: str, cell: int | None = None) -> list[Server]:
        """The servers of a zone, or of one cell of it, to be read only."""
        ring = self._rings.get((zone, cell))
        return ring.servers if ring is not None else []


Key = tuple[str, int | None]


def _keys(server: Server) -> tuple[Key, Key]:
    entry = server.entry
    return (entry.zone, None), (entry.zone, entry.cell)
