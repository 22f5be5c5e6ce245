"""The ring of usable servers, in an order that all gateways share, and the groups of servers that drop repeats."""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Iterable

from cypresspulley.policy.server import Server


def _ring_position(server: Server) -> bytes:
    return server.ring_position


class HashRing:
    """Servers in the order of the hashes of their names.

    A change takes time logarithmic in the number of servers, plus one move of memory.
    """

    def __init__(self) -> None:
        self._servers = list[Server]()

    def __len__(self) -> int:
        return len(self._servers)

    def rebuild(self, servers: Iterable[Server]) -> None:
        """Replace all servers."""
        self._servers = sorted(servers, key=_ring_position)

    def update(self, server: Server, usable: bool) -> None:
        """Add a usable server or remove another one."""
        servers, at = self._servers, bisect_left(self._servers, server.ring_position, key=_ring_position)
        while (
            at < len(servers)
            and servers[at] is not server
            and servers[at].ring_position == server.ring_position
        ):
            at += 1
        found = at < len(servers) and servers[at] is server
        if usable and not found:
            insort(servers, server, key=_ring_position)
        elif found and not usable:
            del servers[at]

    @property
    def servers(self) -> list[Server]:
        """All servers in ring order; callers must not change the list."""
        return self._servers

    def subset(self, index: int, gateways: int, size: int | None = None) -> list[Server]:
        """Return up to ``size`` servers, beginning at the offset of gateway ``index`` of ``gateways``.

        The offsets are spread evenly over the ring. Without a size all servers are returned.
        """
        servers = self._servers
        start = index * len(servers) // gateways
        if size is None or size >= len(servers):
            return servers[start:] + servers[:start]
        return servers[start : start + size] + servers[: max(0, start + size - len(servers))]


class DeduplicationGroups:
    """Usable servers by zone, and by zone and cell: a group drops a repeat of a request that one of it has run."""

    def __init__(self) -> None:
        self._rings = dict[GroupKey, HashRing]()
        self._keys = dict[Server, tuple[GroupKey, GroupKey]]()

    def rebuild(self, servers: Iterable[Server]) -> None:
        """Replace all servers."""
        members_by_key = dict[GroupKey, list[Server]]()
        self._keys = {server: _group_keys(server) for server in servers}
        for server, keys in self._keys.items():
            for key in keys:
                members_by_key.setdefault(key, []).append(server)
        self._rings = {}
        for key, members in members_by_key.items():
            self._rings[key] = HashRing()
            self._rings[key].rebuild(members)

    def update(self, server: Server, usable: bool) -> None:
        """Add a usable server, move it to the groups of its entry, or remove one that is not usable."""
        keys = _group_keys(server) if usable else None
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
        """Return the servers of a zone, or of one of its cells; callers must not change the list."""
        ring = self._rings.get((zone, cell))
        return ring.servers if ring is not None else []


GroupKey = tuple[str, int | None]  # zone and cell; without a cell the whole zone


def _group_keys(server: Server) -> tuple[GroupKey, GroupKey]:
    entry = server.entry
    return (entry.zone, None), (entry.zone, entry.cell)
