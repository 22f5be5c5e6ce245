"""Faults of the limiter that the soak test has to find."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager, contextmanager
from typing import Any
from unittest.mock import patch

from cypresspulley import interface as api
from cypresspulley.net import frontend
from cypresspulley.net.arrival import ArrivalClock
from cypresspulley.net.listener import AcceptResult, SocketListener
from cypresspulley.net.upstream import Exchange, Upstream
from cypresspulley.policy.load_balancer import LoadBalancer


@contextmanager
def accept_queue_dropped() -> Iterator[None]:
    """Accepts and closes waiting connections when accept fails, as the servers of the event loop do."""
    accept = SocketListener._accept

    def dropping(listener: SocketListener) -> AcceptResult:
        step = accept(listener)
        while step is AcceptResult.BLOCKED:
            try:
                listener.sock.accept()[0].close()
            except BlockingIOError:
                return AcceptResult.EMPTY
            except OSError:
                continue
        return step

    with patch.object(SocketListener, "_accept", dropping):
        yield


@contextmanager
def deadline_not_bounded() -> Iterator[None]:
    """Tells servers one second more than remains, and does not deduct the delay of a blocked event loop."""
    start = Upstream.start

    def longer(upstream: Upstream, exchange: Exchange) -> None:
        exchange.expires += 1.0
        start(upstream, exchange)

    with patch.object(Upstream, "start", longer), patch.object(ArrivalClock, "data_age", lambda *_: 0.0):
        yield


@contextmanager
def birth_believed() -> Iterator[None]:
    """Computes a server's age from the wall clock, and treats one reported older than before as not restarted."""

    def believed(_fleet: LoadBalancer, now: float, entry: api.ServerEntry, *_: Any) -> float | None:
        return now - entry.born + 100.0 if entry.born else None

    with patch.object(LoadBalancer, "_start_age", believed):
        yield


@contextmanager
def drained_server_used() -> Iterator[None]:
    """Ignores the health of servers in the server list."""
    update = Upstream.update_server

    def up(upstream: Upstream, name: str, dial: str, _up: bool, born: float = 0.0) -> None:
        update(upstream, name, dial, True, born)

    def usable(_fleet: LoadBalancer, server: Any) -> bool:
        return not server.gone

    with patch.object(Upstream, "update_server", up), patch.object(LoadBalancer, "_is_usable", usable):
        yield


@contextmanager
def new_connection_makes_room() -> Iterator[None]:
    """Evicts a connection that was only just opened before those with a partial request."""
    with patch.object(frontend, "NEW_CONNECTION_SECONDS", 0.0):
        yield


MUTANTS: dict[str, Callable[[], AbstractContextManager[None]]] = {
    "accept queue dropped": accept_queue_dropped, "deadline not bounded": deadline_not_bounded,
    "birth believed": birth_believed, "drained server used": drained_server_used,
    "new connection makes room": new_connection_makes_room,
}  # fmt: skip
