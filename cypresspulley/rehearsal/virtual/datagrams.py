"""Datagrams on the virtual network: each comes whole or not at all, at a time that the seed decides.

A socket ends with its owner. While its owner is stopped, what comes waits in a buffer of ``BUFFER`` bytes, as the
machine's; what does not fit is lost.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, Protocol

from cypresspulley.rehearsal.virtual.owner import OWNER, Owner, VirtualHandle

RECEIVE_BUFFER_BYTES = 212_992  # bytes, each datagram counted with ``OVERHEAD`` beside it
DATAGRAM_OVERHEAD_BYTES = 512
Address = tuple[str, int]


class Carrier(Protocol):
    """What a socket asks of its network."""

    def later(self, seconds: float, callback: Callable[..., Any], *args: Any) -> VirtualHandle: ...

    def handle(self, callback: Callable[..., Any], *args: Any) -> VirtualHandle: ...

    def delay(self) -> float: ...

    def is_cut(self, one: Address, other: Address) -> bool: ...


class DatagramSocket(asyncio.DatagramTransport):
    """One bound socket."""

    def __init__(
        self, carrier: Carrier, bound: dict[Address, DatagramSocket], address: Address, protocol: Any
    ) -> None:
        super().__init__()
        self._carrier, self._bound, self.address, self._protocol = carrier, bound, address, protocol
        self.owner: Owner | None = OWNER.get()
        self._closing, self._waiting = False, 0
        self.dropped = 0
        bound[address] = self

    def __repr__(self) -> str:
        state = "closed" if self._closing else "open"
        return f"<DatagramSocket {self.address[0]}:{self.address[1]} {state}, {self._waiting} bytes wait>"

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return self.address if name == "sockname" else default

    def is_closing(self) -> bool:
        return self._closing

    def sendto(self, data: Any, addr: Any = None) -> None:
        if self._closing or addr is None:
            return
        to = (str(addr[0]), int(addr[1]))
        if self._carrier.is_cut(self.address, to):
            return
        self._carrier.later(self._carrier.delay(), self._arrive, bytes(data), to)

    def _arrive(self, data: bytes, to: Address) -> None:
        """Nobody there: it is gone, as nobody asks for the machine's word on that."""
        target = self._bound.get(to)
        if target is not None:
            target.came(data, self.address)

    def came(self, data: bytes, source: Address) -> None:
        if self.owner is None or not self.owner.asleep:
            return self._tell(data, source)
        size = len(data) + DATAGRAM_OVERHEAD_BYTES
        if self._waiting + size > RECEIVE_BUFFER_BYTES:
            self.dropped += 1
            return
        self._waiting += size
        self.owner.held.append(self._carrier.handle(self._woken, data, source))

    def _woken(self, data: bytes, source: Address) -> None:
        self._waiting -= len(data) + DATAGRAM_OVERHEAD_BYTES
        self._tell(data, source)

    def _tell(self, data: bytes, source: Address) -> None:
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
            self.bury()
            self._carrier.later(0, self._protocol.connection_lost, None)

    def abort(self) -> None:
        self.close()

    def bury(self) -> None:
        """Its process is gone: nobody is told."""
        self._closing = True
        self._bound.pop(self.address, None)
