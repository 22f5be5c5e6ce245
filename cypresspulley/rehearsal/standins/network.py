"""The network between a limiter and a stand-in: delays, and cuts that drop traffic without a reset.

A cut on loopback needs no privileges. An open connection is cut by reading nothing from it and writing nothing
to it. A new connection is not established while the accept queue of its listener is full, because Linux then
drops the SYN. So a cut stops accepting, shrinks the queue to one and fills it with connections of its own.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections import deque
from collections.abc import Callable
from typing import Protocol, cast

ACCEPT_BACKLOG = 256
# Connections that fill an accept queue of one, with spare ones because the kernel counts its length differently.
FILLER_COUNT = 4
MAX_HELD_BYTES = 1 << 20  # bytes held for the peer of a cut connection; socket buffers hold no more
LINGER_RESET = struct.pack("ii", 1, 0)  # SO_LINGER with a timeout of 0: close sends RST


class Link:
    """The path between one limiter and one stand-in; ``delay`` is the one-way delay in seconds."""

    def __init__(self, limiter: str, delay: float = 0.0) -> None:
        self.limiter, self.delay = limiter, delay
        self.cut_at = 0.0  # when the cut began, in seconds of the run
        self._cut_count = 0  # cuts in force: those of one hall or of both ends' halls may overlap
        self.connections = dict[LinkedProtocol, None]()  # in the order of arrival
        self.listeners = dict[Listening, None]()

    def __repr__(self) -> str:
        return f"<Link {self.limiter} {self.delay * 1000:.1f} ms{' cut' * self.is_cut}, {len(self.connections)} open>"

    @property
    def is_cut(self) -> bool:
        return self._cut_count > 0

    def cut(self, now: float) -> None:
        """Cut the link at ``now``, in seconds of the run. A cut that begins during another extends it: held data may
        have been sent at any time since the first began."""
        self._cut_count += 1
        if self._cut_count > 1:
            return
        self.cut_at = now
        for connection in list(self.connections):
            connection.pause()
        for listener in self.listeners:
            listener.block()

    def heal(self) -> None:
        """End one cut. With the last one, held data are delivered, as after a retransmission."""
        self._cut_count -= 1
        if self.is_cut:
            return
        for listener in self.listeners:
            listener.unblock()
        for connection in list(self.connections):
            connection.resume()


class LinkedProtocol(asyncio.Protocol):
    """One accepted connection on a link. Subclasses implement ``opened``, ``received`` and ``ended``."""

    def __init__(self, link: Link) -> None:
        self.link = link
        self.transport: asyncio.Transport | None = None
        self._incoming, self._outgoing = deque[bytes | None](), deque[bytes]()
        self._held_size = 0
        # Earliest time at which the next bytes may have been sent; None if they were sent just now. The time within a
        # cut at which held data were sent is unknown.
        self.sent_since: float | None = None

    def opened(self) -> None: ...

    def received(self, data: bytes) -> None: ...

    def ended(self) -> None: ...

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.link.connections[self] = None
        if self.link.is_cut:
            self.pause()
        self.opened()

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        if self.link.is_cut:
            self._incoming.append(None)  # a cut hides the peer's close as well
        else:
            self._schedule_delivery(None)

    def data_received(self, data: bytes) -> None:
        if self.link.is_cut:
            self._incoming.append(data)  # read by the loop before the cut began
        else:
            self._schedule_delivery(data)

    def send(self, data: bytes) -> None:
        """Write after the delay of the link; during a cut the data are held."""
        if self.link.is_cut:
            self._held_size += len(data)
            if self._held_size <= MAX_HELD_BYTES:
                self._outgoing.append(data)
        elif self.link.delay > 0:
            asyncio.get_running_loop().call_later(self.link.delay, self._write, data)
        else:
            self._write(data)

    def _write(self, data: bytes) -> None:
        if self.link.is_cut:
            self._outgoing.append(data)
        elif self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def _schedule_delivery(self, data: bytes | None) -> None:
        if self.link.delay > 0:
            self._incoming.append(data)
            asyncio.get_running_loop().call_later(self.link.delay, self._deliver)
        else:
            self._deliver_now(data)

    def _deliver(self) -> None:
        # Each timer delivers the oldest data, so that the order of arrival is kept whatever the order of the timers.
        if self._incoming and not self.link.is_cut:
            self._deliver_now(self._incoming.popleft())

    def _deliver_now(self, data: bytes | None) -> None:
        if data is None:
            self.link.connections.pop(self, None)
            self.ended()
        elif self.transport is not None:
            self.received(data)

    def pause(self) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.pause_reading()

    def resume(self) -> None:
        self.sent_since = self.link.cut_at
        if self.transport is not None and not self.transport.is_closing():
            with contextlib.suppress(RuntimeError):  # reading was not paused
                self.transport.resume_reading()
        incoming, self._incoming = self._incoming, deque()
        for data in incoming:
            self._deliver_now(data)
        outgoing, self._outgoing, self._held_size = self._outgoing, deque(), 0
        for data in outgoing:
            self._write(data)

    def close(self) -> None:
        """Close in order: data already written are still sent."""
        if self.transport is not None:
            self.transport.close()

    def reset(self) -> None:
        """Reset the connection, as the kernel does when a process dies."""
        if self.transport is not None and not self.transport.is_closing():
            raw = self.transport.get_extra_info("socket")
            with contextlib.suppress(OSError):
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
            self.transport.abort()


Factory = Callable[[Link], LinkedProtocol]


class Listening(Protocol):
    """A listener behind an address of a link: on a socket, or in memory on the virtual loop."""

    host: str
    port: int

    @property
    def address(self) -> str: ...

    def block(self) -> None: ...

    def unblock(self) -> None: ...

    def close(self) -> None: ...


def listen(host: str, link: Link, factory: Factory, port: int = 0) -> Listening:
    """Listen with the listener of the running loop. Raise OSError if the address is in use."""
    make_listener = getattr(asyncio.get_running_loop(), "make_listener", None)
    listener: Listening = (
        make_listener(host, link, factory, port) if make_listener else Listener(host, link, factory, port)
    )
    return listener


class Listener:
    """A listening socket on a link, which gives each accepted connection a protocol of the factory."""

    def __init__(self, host: str, link: Link, factory: Factory, port: int = 0) -> None:
        self._link, self._factory = link, factory
        self._loop = asyncio.get_running_loop()
        self._tasks = set[asyncio.Task[None]]()
        self._fillers = list[socket.socket]()
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self._socket.setblocking(False)
            self._socket.bind((host, port))
            self._socket.listen(ACCEPT_BACKLOG)
        except OSError as error:
            self._socket.close()
            raise OSError(error.errno, f"cannot listen on {host}:{port}: {error.strerror}") from None
        self.host, self.port = self._socket.getsockname()
        self._loop.add_reader(self._socket.fileno(), self._accept)
        link.listeners[self] = None
        if link.is_cut:
            self.block()

    @property
    def address(self) -> str:
        return f"{self.host}:{self.port}"

    def _accept(self) -> None:
        for _ in range(ACCEPT_BACKLOG):
            try:
                accepted, _peer = self._socket.accept()
            except (BlockingIOError, InterruptedError):
                return
            except OSError:
                return  # reset before it was accepted, or no descriptor left; the connecting side reports it
            accepted.setblocking(False)
            accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            task = self._loop.create_task(self._attach(accepted))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _attach(self, accepted: socket.socket) -> None:
        try:
            await self._loop.connect_accepted_socket(lambda: self._factory(self._link), accepted)
        except OSError:
            accepted.close()  # reset before it was attached

    def block(self) -> None:
        """Neither establish nor refuse new connections."""
        if self._fillers or self._socket.fileno() < 0:
            return
        self._loop.remove_reader(self._socket.fileno())
        self._socket.listen(0)
        for _ in range(FILLER_COUNT):
            filler = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            filler.setblocking(False)
            with contextlib.suppress(BlockingIOError, OSError):
                filler.connect((self.host, self.port))
            self._fillers.append(filler)

    def unblock(self) -> None:
        if not self._fillers or self._socket.fileno() < 0:
            return
        self._drop_fillers()
        self._socket.listen(ACCEPT_BACKLOG)
        self._loop.add_reader(self._socket.fileno(), self._accept)

    def _drop_fillers(self) -> None:
        for filler in self._fillers:
            filler.close()
        self._fillers = []

    def close(self) -> None:
        """Refuse new connections; open ones stay."""
        self._link.listeners.pop(self, None)
        self._drop_fillers()
        if self._socket.fileno() >= 0:
            self._loop.remove_reader(self._socket.fileno())
            self._socket.close()
