"""In-memory connections that obey TCP where a program can tell: order, split and joined bytes, delay, full
buffers, half-closed and silent peers, resets, refused and unanswered dials.

| event | what the other end sees |
| --- | --- |
| ``write`` | the bytes, in order, in pieces that the seed decides |
| ``close`` | what was written, then the end (``eof_received``) |
| ``abort``, SIGKILL | what the machine holds already, then the end; a reset, which overtakes it, if bytes lay unread |
| ``abort`` with SO_LINGER 0 | a reset: ``connection_lost`` with ConnectionResetError; bytes under way are lost |
| ``write_eof`` | the end, while it can still write |
| the link is cut | nothing; what is sent stays under way until it is healed |
"""

from __future__ import annotations

import asyncio
import errno
import os
import socket
from collections import deque
from collections.abc import Callable
from contextvars import Context
from random import Random
from typing import Any, Protocol, cast

from cypresspulley.rehearsal.virtual.datagrams import DatagramSocket
from cypresspulley.rehearsal.virtual.owner import OWNER, Owner, VirtualHandle

HIGH = 64 * 1024  # bytes that a transport holds before it says pause_writing
KERNEL = 128 * 1024  # bytes that lie between two ends while the reader reads nothing
LEAST_DELAY, MOST_DELAY = 1e-4, 4e-4  # seconds one way
BACKLOG = 128  # connections that a listener's process has not taken yet
DRAIN_RETRY = 0.02  # seconds between two looks whether a listener that ends has given all that waits
FIRST_PORT = 40_000
Address = tuple[str, int]


class Times(Protocol):
    """What the network asks of the loop that it belongs to."""

    def time(self) -> float: ...

    def call_later(
        self, delay: float, callback: Any, *args: Any, context: Context | None = None
    ) -> VirtualHandle: ...

    def create_future(self) -> asyncio.Future[Any]: ...


class Path:
    """One direction of a connection: bytes under way, and when they come."""

    def __init__(self, network: VirtualNetwork, reader: VirtualTransport) -> None:
        self._network, self._reader = network, reader
        self._under_way = deque[bytes | None]()  # None is the end
        self._timer: VirtualHandle | None = None
        self.size, self._pace = 0, 0.0

    def send(self, data: bytes | None) -> None:
        self._under_way.append(data)
        self.size += len(data or b"")
        self.wake()

    def wake(self) -> None:
        """Deliver the next piece a little later, unless the reader rests, the way is cut or one is coming."""
        cut = self._network.is_cut(self._reader.address, self._reader.peer_address)
        if self._timer is None and self._under_way and not self._reader.paused and not cut:
            self._timer = self._network.later(self._network.delay() + self._pace, self._deliver)
            self._pace = 0.0

    def drop(self) -> None:
        self._under_way.clear()
        self.size = 0
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _deliver(self) -> None:
        self._timer = None
        cut = self._network.is_cut(self._reader.address, self._reader.peer_address)
        if self._reader.paused or cut or not self._under_way:
            return
        data = self._under_way.popleft()
        if data is None:
            return self._reader.end_came()
        # Pieces are split anywhere and joined with what follows: bytes have no borders.
        while self._under_way and self._under_way[0] is not None and self._network.rng.random() < 0.5:
            data += cast(bytes, self._under_way.popleft())
        if len(data) > 1 and self._network.rng.random() < 0.5:
            at = self._network.rng.randrange(1, len(data))
            self._under_way.appendleft(data[at:])
            data = data[:at]
        self.size -= len(data)
        if self._network.bandwidth:
            self._pace = len(data) / self._network.bandwidth  # the next piece comes behind this one
        self._reader.data_came(data)
        self.wake()


class VirtualTransport(asyncio.Transport):
    """One end of a connection."""

    def __init__(self, network: VirtualNetwork, protocol: Any, address: Address, peer: Address) -> None:
        super().__init__()
        self._network, self._protocol = network, protocol
        self.address, self.peer_address = address, peer
        self.paused = self._closing = self._lost = self._ended = self._held = False
        self._waiting = deque[bytes]()  # written, and not yet under way: the way is full
        self._waiting_size, self._high, self._low = 0, HIGH, HIGH // 4
        self._eof_sent = False
        self._socket = _Socket(network, self)
        self._unread = 0  # bytes that came while the process was stopped
        self.owner: Owner | None = None
        self.out: Path = cast(Path, None)
        self.other: VirtualTransport = cast(VirtualTransport, None)

    def __repr__(self) -> str:
        state = "lost" if self._lost else "closing" if self._closing else "open"
        return f"<VirtualTransport {self.address} to {self.peer_address} {state}{' paused' * self.paused}>"

    @property
    def has_unread(self) -> bool:
        """Whether bytes have come that the process has not read: it was stopped, or it reads nothing."""
        return self._unread > 0 or (self.paused and self.other.out.size > 0)

    # What a program asks.

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        known = {"peername": self.peer_address, "sockname": self.address, "socket": self._socket}
        return known.get(name, default)

    def get_protocol(self) -> asyncio.BaseProtocol:
        return cast(asyncio.BaseProtocol, self._protocol)

    def set_protocol(self, protocol: asyncio.BaseProtocol) -> None:
        self._protocol = protocol

    def is_closing(self) -> bool:
        return self._closing

    def is_reading(self) -> bool:
        return not self.paused and not self._closing

    def pause_reading(self) -> None:
        self.paused = True

    def resume_reading(self) -> None:
        self.paused = False
        if self.other is not None:
            self.other.out.wake()

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        self._high = HIGH if high is None else high
        self._low = self._high // 4 if low is None else low
        self._flow()

    def get_write_buffer_size(self) -> int:
        return self._waiting_size

    def write(self, data: bytes | bytearray | memoryview) -> None:
        if self._eof_sent:
            raise RuntimeError("Cannot call write() after write_eof()")
        if self._closing or not data:
            return
        self._waiting.append(bytes(data))
        self._waiting_size += len(data)
        self.move_on()
        if self.owner is not None and self.owner.writes_left:
            self.owner.wrote()

    def can_write_eof(self) -> bool:
        return True

    def write_eof(self) -> None:
        if not self._eof_sent and not self._closing:
            self._eof_sent = True
            self.move_on()

    def close(self) -> None:
        if not self._closing:
            self._closing = True
            self.move_on()
            if not self._waiting:
                self._network.later(0, self._lose, None)

    def abort(self) -> None:
        if self._lost:
            return
        self._closing = True
        self._waiting.clear()
        self._waiting_size = 0
        self._network.later(0, self._lose, None)
        self._end_at_once()

    def _end_at_once(self) -> None:
        """The machine's part of an end that waits for nothing. What it holds already still goes out, unless bytes
        lie here unread or the program asked for a reset: a reset overtakes what is under way."""
        if self.other._lost:
            return
        if self._socket.resets or self.other.out.size:
            self.out.drop()
            self._network.later(self._network.delay(), self.other.reset_came)
        elif not self._ended:
            self._ended = True
            self.out.send(None)

    # What the way does.

    def move_on(self) -> None:
        """Put what waits under way, as far as there is room."""
        while self._waiting and self.out.size < KERNEL:
            data = self._waiting.popleft()
            room = KERNEL - self.out.size
            if len(data) > room:
                self._waiting.appendleft(data[room:])
                data = data[:room]
            self._waiting_size -= len(data)
            self.out.send(data)
        if not self._waiting and not self._ended and (self._eof_sent or self._closing):
            self._ended = True
            self.out.send(None)
            if self._closing:
                self._network.later(0, self._lose, None)
        self._flow()

    def _flow(self) -> None:
        if not self._held and self._waiting_size > self._high:
            self._held = True
            self._tell(self._protocol.pause_writing)
        elif self._held and self._waiting_size <= self._low:
            self._held = False
            self._tell(self._protocol.resume_writing)

    def _later_if_asleep(self, callback: Callable[..., None], *args: Any) -> bool:
        """A stopped process reads nothing and is told nothing; the machine keeps it for its waking."""
        if self.owner is None or not self.owner.asleep:
            return False
        self.owner.held.append(self._network.handle(callback, *args))
        return True

    def opened(self) -> None:
        if not self._later_if_asleep(self.opened):
            self._tell(self._protocol.connection_made, self)

    def data_came(self, data: bytes) -> None:
        if self._later_if_asleep(self._read_late, data):
            self._unread += len(data)
            return
        if not self._closing:
            self._tell(self._protocol.data_received, data)
        self.other.move_on()

    def _read_late(self, data: bytes) -> None:
        self._unread -= len(data)
        self.data_came(data)

    def end_came(self) -> None:
        if self._later_if_asleep(self.end_came) or self._closing:
            return
        if not self._tell(self._protocol.eof_received):
            self.close()

    def reset_came(self) -> None:
        if not self._later_if_asleep(self.reset_came) and not self._lost:
            self._closing = True
            self.out.drop()
            self._lose(ConnectionResetError(104, "Connection reset by peer"))

    def _tell(self, callback: Callable[..., Any], *args: Any) -> Any:
        """Call the protocol as its owner: what it asks of the loop ends with that owner."""
        token = OWNER.set(self.owner)
        try:
            return callback(*args)
        finally:
            OWNER.reset(token)

    def bury(self) -> None:
        """Its process is gone: the machine resets the connection, the protocol is told nothing."""
        self._lost = self._closing = True
        self._waiting.clear()
        self._network.open.pop(self, None)
        self._end_at_once()

    def _lose(self, error: Exception | None) -> None:
        if not self._lost:
            self._lost = True
            self._network.closed(self)
            self._tell(self._protocol.connection_lost, error)


class _Socket:
    """Stands where a connection's socket stands: its options, and a descriptor that shows whether bytes are unread."""

    def __init__(self, network: VirtualNetwork, transport: VirtualTransport) -> None:
        self._network, self._transport, self.resets = network, transport, False

    def fileno(self) -> int:
        shown = self._network.unread_socket if self._transport.has_unread else self._network.bare_socket
        return shown.fileno()

    def getsockopt(self, level: int, option: int, size: int = 0) -> Any:
        raise OSError(errno.ENOPROTOOPT, os.strerror(errno.ENOPROTOOPT))

    def setsockopt(self, level: int, option: int, value: Any) -> None:
        self.resets = self.resets or (level, option) == (socket.SOL_SOCKET, socket.SO_LINGER)


class _Name:
    """Stands where a listening socket stands, for its address only."""

    def __init__(self, address: Address) -> None:
        self._address = address

    def getsockname(self) -> Address:
        return self._address


class VirtualServer:
    """A listening address. Blocked, it answers no dial, as a machine that is cut off.

    Connections that its process has no descriptor for wait in ``backlog``; once it is full, dials are not answered."""

    def __init__(self, network: VirtualNetwork, factory: Callable[[], Any], address: Address) -> None:
        self._network, self.factory, self.address, self.blocked = network, factory, address, False
        self.owner = OWNER.get()
        self.backlog = deque[VirtualTransport]()

    def close(self) -> None:
        self._network.listeners.pop(self.address, None)
        self.reset_waiting()

    def reset_waiting(self) -> None:
        """Nobody will accept them any more: the machine resets them."""
        while self.backlog:
            self.backlog.popleft().bury()

    async def wait_closed(self) -> None: ...

    @property
    def sockets(self) -> tuple[_Name, ...]:
        return (_Name(self.address),)

    def is_serving(self) -> bool:
        return self._network.listeners.get(self.address) is self

    # As a front's listener. Connections reach their process in the very step in which they are accepted.

    pending = 0

    def pause(self) -> None:
        raise NotImplementedError("a virtual listener is never handed over")

    def resume(self) -> None:
        raise NotImplementedError("a virtual listener is never handed over")

    async def drain(self, deadline: float) -> None:
        """Close once nothing waits for a descriptor any more, or at the deadline."""
        while self.backlog and self._network.loop.time() < deadline:
            await asyncio.sleep(DRAIN_RETRY)
        self.close()


class VirtualNetwork:
    """All listeners and connections of one loop. ``bandwidth`` is bytes a second of each way; 0: no bound."""

    def __init__(self, loop: Times, seed: int, bandwidth: float = 0.0) -> None:
        self.loop, self.rng, self.bandwidth = loop, Random(seed), bandwidth
        self.listeners = dict[Address, VirtualServer]()
        # What a program may ask of a connection's socket (options, unread bytes): one that is never connected, and one
        # on which a byte is always unread.
        self.bare_socket = socket.socket()
        self.unread_socket, self._writer = socket.socketpair()
        self._writer.send(b"\0")
        self.open = dict[VirtualTransport, None]()
        self.sockets = dict[Address, DatagramSocket]()
        self._cuts = set[frozenset[str]]()
        self._last_port = FIRST_PORT

    def __repr__(self) -> str:
        return f"<VirtualNetwork {len(self.listeners)} listeners, {len(self.open)} ends open>"

    def later(self, seconds: float, callback: Callable[..., Any], *args: Any) -> VirtualHandle:
        """What the network does belongs to no process: it happens also after one that caused it is gone."""
        return self.loop.call_later(seconds, callback, *args, context=Context())

    def handle(self, callback: Callable[..., Any], *args: Any) -> VirtualHandle:
        """What the network is to do at a time that something else decides."""
        return VirtualHandle(callback, args, Context(), self.loop.time())

    def bury(self, owner: Owner) -> None:
        """A process is gone: its listeners refuse, its connections are reset."""
        for server in [server for server in self.listeners.values() if server.owner is owner]:
            server.close()
        for end in [end for end in self.open if end.owner is owner]:
            end.bury()
        for bound in [bound for bound in self.sockets.values() if bound.owner is owner]:
            bound.bury()

    def close(self) -> None:
        for each in (self.bare_socket, self.unread_socket, self._writer):
            each.close()

    def delay(self) -> float:
        return self.rng.uniform(LEAST_DELAY, MOST_DELAY)

    def is_cut(self, one: Address, other: Address) -> bool:
        return bool(self._cuts) and frozenset((one[0], other[0])) in self._cuts

    def cut(self, one: str, other: str) -> None:
        """Silence between two hosts: nothing arrives, no dial comes up, nothing is reset."""
        self._cuts.add(frozenset((one, other)))

    def heal(self, one: str, other: str) -> None:
        """What was under way arrives."""
        self._cuts.discard(frozenset((one, other)))
        for end in list(self.open):
            end.out.wake()

    def listen(self, factory: Callable[[], Any], host: str, port: int) -> VirtualServer:
        address = (host, port or self._port())
        if address in self.listeners:
            raise OSError(98, f"address already in use: {host}:{address[1]}")
        server = self.listeners[address] = VirtualServer(self, factory, address)
        return server

    def bind(self, factory: Callable[[], Any], host: str, port: int) -> tuple[DatagramSocket, Any]:
        """A socket for datagrams, as its owner's that asks for it."""
        address = (host, port or self._port())
        if address in self.sockets:
            raise OSError(98, f"address already in use: {host}:{address[1]}")
        protocol = factory()
        bound = DatagramSocket(self, self.sockets, address, protocol)
        bound.open()
        return bound, protocol

    def _port(self) -> int:
        self._last_port += 1
        return self._last_port

    async def connect(
        self, factory: Callable[[], Any], host: str, port: int, source: str = "127.0.0.1"
    ) -> tuple[VirtualTransport, Any]:
        """Dial; ConnectionRefusedError where nobody listens, for ever silent where the way is cut."""
        caller = OWNER.get()
        if not self._room(caller):
            raise OSError(24, "Too many open files")
        await asyncio.sleep(2 * self.delay())
        server = self.listeners.get((host, port))
        full = server is not None and (server.blocked or len(server.backlog) >= BACKLOG)
        if self.is_cut((source, 0), (host, port)) or full:
            await self.loop.create_future()
        if server is None:
            raise ConnectionRefusedError(111, f"Connect call failed ('{host}', {port})")
        here, there = (source, self._port()), (host, port)
        near_protocol = factory()
        near = VirtualTransport(self, near_protocol, here, there)
        far = VirtualTransport(self, None, there, here)
        near.other, far.other = far, near
        near.out, far.out = Path(self, far), Path(self, near)
        near.owner, far.owner = caller, server.owner
        self._count_in(near)
        far.paused = True  # until it is accepted
        server.backlog.append(far)
        self._accept(server)
        near.opened()
        return near, near_protocol

    def _room(self, owner: Owner | None) -> bool:
        """Whether a process has a descriptor left for one more connection."""
        if owner is None or owner.descriptors == 0:
            return True
        return owner.connections < owner.descriptors

    def _count_in(self, end: VirtualTransport) -> None:
        self.open[end] = None
        if end.owner is not None:
            end.owner.connections += 1

    def _accept(self, server: VirtualServer) -> None:
        """Give the process the connections that wait, as far as it has descriptors."""
        while server.backlog and self._room(server.owner):
            far = server.backlog.popleft()
            if far._lost:
                continue  # the dialer has gone meanwhile
            token = OWNER.set(server.owner)
            far._protocol = server.factory()
            OWNER.reset(token)
            self._count_in(far)
            far.opened()
            far.resume_reading()

    def closed(self, end: VirtualTransport) -> None:
        """An end is gone: its process may have room for one that waits."""
        known = self.open.pop(end, end) is None
        if end.owner is not None and known:
            end.owner.connections -= 1
            for server in list(self.listeners.values()):
                if server.owner is end.owner and server.backlog:
                    self.later(0, self._accept, server)
