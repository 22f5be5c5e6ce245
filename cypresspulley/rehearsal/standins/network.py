"""The network between a limiter and a stand-in: delay, and silence that is no reset.

Silence on loopback needs no privileges. An open connection is cut by reading nothing from it and writing
nothing to it. A new one does not come up while its listener's queue is full: Linux drops the SYN then. So a
cut stops accepting, shrinks the queue to one and fills it with connections of its own.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections import deque
from collections.abc import Callable
from typing import Protocol, cast

BACKLOG = 256
FILLERS = 4  # connections that fill a listener's queue of one, with room for what the kernel counts otherwise
MAX_HELD = 1 << 20  # bytes a cut connection may owe its peer; a real one's buffers are no larger
RESET = struct.pack("ii", 1, 0)  # SO_LINGER with no time: close sends RST


class Link:
    """The way between one limiter and one stand-in; ``delay`` is one way, in seconds."""

    def __init__(self, limiter: str, delay: float = 0.0) -> None:
        self.limiter, self.delay = limiter, delay
        self.cut_at = 0.0  # when the silence began
        self._cuts = 0  # that last: cuts of one hall or of both ends' halls may overlap
        self.connections = dict[LinkedProtocol, None]()  # in the order of their coming, as all tables here
        self.listeners = dict[Listening, None]()

    def __repr__(self) -> str:
        return (
            f"<Link {self.limiter} {self.delay * 1000:.1f} ms{' cut' * self.is_cut}, {len(self.connections)} open>"
        )

    @property
    def is_cut(self) -> bool:
        return self._cuts > 0

    def cut(self, now: float) -> None:
        """Silence from ``now`` (seconds of the day) on. One that begins in another lengthens it: what is held back may
        have been sent since the first began."""
        self._cuts += 1
        if self._cuts > 1:
            return
        self.cut_at = now
        for end in list(self.connections):
            end.hold()
        for listener in self.listeners:
            listener.block()

    def heal(self) -> None:
        """A cut ends. With the last one what was held flows on, as after retransmission."""
        self._cuts -= 1
        if self.is_cut:
            return
        for listener in self.listeners:
            listener.unblock()
        for end in list(self.connections):
            end.release()


class LinkedProtocol(asyncio.Protocol):
    """One accepted connection behind a link. Subclasses see ``opened``, ``received`` and ``ended``."""

    def __init__(self, link: Link) -> None:
        self.link = link
        self.transport: asyncio.Transport | None = None
        self._coming, self._going = deque[bytes | None](), deque[bytes]()
        self._held = 0
        # Since when the bytes that come next may have been under way; None: they were sent just now. What a
        # cut held back tells nothing of when in the cut it was sent.
        self.sent_since: float | None = None

    def opened(self) -> None: ...

    def received(self, data: bytes) -> None: ...

    def ended(self) -> None: ...

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.link.connections[self] = None
        if self.link.is_cut:
            self.hold()
        self.opened()

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        if self.link.is_cut:
            self._coming.append(None)  # the peer's end is as silent as the rest
        else:
            self._later(None)

    def data_received(self, data: bytes) -> None:
        if self.link.is_cut:
            self._coming.append(data)  # it was under way in the loop when the cut came
        else:
            self._later(data)

    def send(self, data: bytes) -> None:
        """Write after the link's delay; in a cut it is held."""
        if self.link.is_cut:
            self._held += len(data)
            if self._held <= MAX_HELD:
                self._going.append(data)
        elif self.link.delay > 0:
            asyncio.get_running_loop().call_later(self.link.delay, self._write, data)
        else:
            self._write(data)

    def _write(self, data: bytes) -> None:
        if self.link.is_cut:
            self._going.append(data)
        elif self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def _later(self, data: bytes | None) -> None:
        if self.link.delay > 0:
            self._coming.append(data)
            asyncio.get_running_loop().call_later(self.link.delay, self._deliver)
        else:
            self._hand(data)

    def _deliver(self) -> None:
        # Each timer takes the oldest: what came first is heard first, whatever the timers' order.
        if self._coming and not self.link.is_cut:
            self._hand(self._coming.popleft())

    def _hand(self, data: bytes | None) -> None:
        if data is None:
            self.link.connections.pop(self, None)
            self.ended()
        elif self.transport is not None:
            self.received(data)

    def hold(self) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.pause_reading()

    def release(self) -> None:
        self.sent_since = self.link.cut_at
        if self.transport is not None and not self.transport.is_closing():
            with contextlib.suppress(RuntimeError):  # it was not paused
                self.transport.resume_reading()
        coming, self._coming = self._coming, deque()
        for data in coming:
            self._hand(data)
        going, self._going, self._held = self._going, deque(), 0
        for data in going:
            self._write(data)

    def close(self) -> None:
        """End in order: what was written still goes out."""
        if self.transport is not None:
            self.transport.close()

    def reset(self) -> None:
        """End as a dead process's connection does."""
        if self.transport is not None and not self.transport.is_closing():
            raw = self.transport.get_extra_info("socket")
            with contextlib.suppress(OSError):
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            self.transport.abort()


Factory = Callable[[Link], LinkedProtocol]


class Listening(Protocol):
    """What stands behind a link's addresses: a listener on sockets, or one in memory."""

    host: str
    port: int

    @property
    def address(self) -> str: ...

    def block(self) -> None: ...

    def unblock(self) -> None: ...

    def close(self) -> None: ...


def listen(host: str, link: Link, factory: Factory, port: int = 0) -> Listening:
    """Listen with what the running loop listens with; OSError names an address that is taken."""
    make = getattr(asyncio.get_running_loop(), "make_listener", None)
    made: Listening = make(host, link, factory, port) if make else Listener(host, link, factory, port)
    return made


class Listener:
    """A listening socket behind a link; gives each accepted connection a protocol of the factory's."""

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
            self._socket.listen(BACKLOG)
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
        for _ in range(BACKLOG):
            try:
                accepted, _peer = self._socket.accept()
            except (BlockingIOError, InterruptedError):
                return
            except OSError:
                return  # reset before it was accepted, or no descriptor left: the dialer's side tells
            accepted.setblocking(False)
            accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            task = self._loop.create_task(self._adopt(accepted))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _adopt(self, accepted: socket.socket) -> None:
        try:
            await self._loop.connect_accepted_socket(lambda: self._factory(self._link), accepted)
        except OSError:
            accepted.close()  # it was reset before it was looked at

    def block(self) -> None:
        """From now on no connection comes up, and none is refused."""
        if self._fillers or self._socket.fileno() < 0:
            return
        self._loop.remove_reader(self._socket.fileno())
        self._socket.listen(0)
        for _ in range(FILLERS):
            filler = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            filler.setblocking(False)
            with contextlib.suppress(BlockingIOError, OSError):
                filler.connect((self.host, self.port))
            self._fillers.append(filler)

    def unblock(self) -> None:
        if not self._fillers or self._socket.fileno() < 0:
            return
        self._drop_fillers()
        self._socket.listen(BACKLOG)
        self._loop.add_reader(self._socket.fileno(), self._accept)

    def _drop_fillers(self) -> None:
        for filler in self._fillers:
            filler.close()
        self._fillers = []

    def close(self) -> None:
        """From now on connections are refused; those that are open stay."""
        self._link.listeners.pop(self, None)
        self._drop_fillers()
        if self._socket.fileno() >= 0:
            self._loop.remove_reader(self._socket.fileno())
            self._socket.close()
