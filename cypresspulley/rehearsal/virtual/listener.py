"""A listener of a stand-in on the virtual network; on sockets ``standins.network.Listener`` takes its place."""

from __future__ import annotations

from cypresspulley.rehearsal.standins.network import Factory, Link
from cypresspulley.rehearsal.virtual.network import VirtualNetwork


class VirtualListener:
    """A listener in memory. While it is blocked, connection attempts to it get no answer."""

    def __init__(self, network: VirtualNetwork, host: str, link: Link, factory: Factory, port: int) -> None:
        self._link = link
        self._server = network.listen(lambda: factory(link), host, port)
        self.host, self.port = self._server.address
        link.listeners[self] = None
        self._server.blocked = link.is_cut

    @property
    def address(self) -> str:
        return f"{self.host}:{self.port}"

    def block(self) -> None:
        self._server.blocked = True

    def unblock(self) -> None:
        self._server.blocked = False

    def close(self) -> None:
        self._link.listeners.pop(self, None)
        self._server.close()
