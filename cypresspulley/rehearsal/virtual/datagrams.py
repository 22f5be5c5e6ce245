"""Datagrams on the virtual network: each arrives whole or not at all, at a time that the seed decides.

A socket is closed with its owner. While its owner is stopped, datagrams wait in a buffer of ``RECEIVE_BUFFER_BYTES``,
as in the kernel; those that do not fit are lost.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, Protocol

from cypresspulley.rehearsal.virtual.owner import OWNER, Owner, VirtualHandle

RECEIVE_BUFFER_BYTES = 212_992  # as the kernel counts them: with the overhead of each datagram
DATAGRAM_OVERHEAD_BYTES = 512
Address = tuple[str, int]


class DatagramNetwork(Protocol):
    """The part of the network that a socket uses."""

    def later(self, seconds: float, callback: Callable[..., Any], *args: Any) -> VirtualHandle: ...

    def handle(self, callback: Callable[..., Any], *args: Any) -> VirtualHandle: ...

    def delay(self) -> float: ...

    def is_cut(self, one: Address, other: Address) -> bool: ...


class DatagramSocket(asyncio.DatagramTransport):
    """One bound datagram socket."""

    def __init__(
        self, network: DatagramNetwork, bound: dict[Address, DatagramSocket], address: Address, protocol: Any
    ) -> None:
        super().__init__()
        self._network, self._bound, self.address, self._protocol = network, bound, address, protocol
        self.owner: Owner | None = OWNER.get()
        self._closing, self._buffered_bytes = False, 0
        self.dropped = 0
        bound[address] = self

    def __repr__(self) -> str:
        state = "closed" if self._closing else "open"
        return f"<DatagramSocket {self.address[0]}:{self.address[1]} {state}, {self._buffered_bytes} bytes buffered>"

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return self.address if name == "sockname" else default

    def is_closing(self) -> bool:
        return self._closing

    def sendto(self, data: Any, addr: Any = None) -> None:
        if self._closing or addr is None:
            return
        target = (str(addr[0]), int(addr[1]))
        if self._network.is_cut(self.address, target):
            return
        self._network.later(self._network.delay(), self._arrive, bytes(data), target)

    def _arrive(self, data: bytes, target: Address) -> None:
        """Deliver to the socket at ``target``. Without one the datagram is lost; no ICMP error is simulated."""
        receiver = self._bound.get(target)
        if receiver is not None:
            receiver.receive(data, self.address)

    def receive(self, data: bytes, source: Address) -> None:
        if self.owner is None or not self.owner.is_stopped:
            return self._deliver(data, source)
        size = len(data) + DATAGRAM_OVERHEAD_BYTES
        if self._buffered_bytes + size > RECEIVE_BUFFER_BYTES:
            self.dropped += 1
            return
        self._buffered_bytes += size
        self.owner.deferred.append(self._network.handle(self._deliver_deferred, data, source))

    def _deliver_deferred(self, data: bytes, source: Address) -> None:
        self._buffered_bytes -= len(data) + DATAGRAM_OVERHEAD_BYTES
        self._deliver(data, source)

    def _deliver(self, data: bytes, source: Address) -> None:
        if self._closing:
            return
        token = OWNER.set(self.owner)
        try:
            self._protocol.datagram_received(data, source)
        finally:
            OWNER.reset(token)

    def open(self) -> None:
        self._protocol.connection_made(self)

    def close(self) -> None:
        if not self._closing:
            self.discard()
            self._network.later(0, self._protocol.connection_lost, None)

    def abort(self) -> None:
        self.close()

    def discard(self) -> None:
        """Close the socket without a callback, because its process is gone."""
        self._closing = True
        self._bound.pop(self.address, None)
