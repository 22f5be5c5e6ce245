"""Faults of a limiter that the soak has to find."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager, contextmanager
from typing import Any
from unittest.mock import patch

from cypresspulley import interface as api
from cypresspulley.net.arrival import ArrivalClock
from cypresspulley.net.listener import AcceptResult, SocketListener
from cypresspulley.net.upstream import Exchange, Upstream
from cypresspulley.policy.load_balancer import LoadBalancer


@contextmanager
def accept_queue_dropped() -> Iterator[None]:
    """As the event loop's own servers: what waits is accepted and closed when accept fails."""
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
    """Servers are told a second more than there is, and a held loop takes nothing off."""
    start = Upstream.start

    def longer(upstream: Upstream, exchange: Exchange) -> None:
        exchange.expires += 1.0
        start(upstream, exchange)

    with patch.object(Upstream, "start", longer), patch.object(ArrivalClock, "data_age", lambda *_: 0.0):
        yield


@contextmanager
def birth_believed() -> Iterator[None]:
    """A server is as old as the wall clock says, and one that is told as older than before has not restarted."""

    def believed(_fleet: LoadBalancer, now: float, entry: api.ServerEntry, *_: Any) -> float | None:
        return now - entry.born + 100.0 if entry.born else None

    with patch.object(LoadBalancer, "_start_age", believed):
        yield


@contextmanager
def drained_server_used() -> Iterator[None]:
    """What the list says of a server's health is passed over."""
    update = Upstream.update_server

    def up(upstream: Upstream, name: str, dial: str, _up: bool, born: float = 0.0) -> None:
        update(upstream, name, dial, True, born)

    def usable(_fleet: LoadBalancer, server: Any) -> bool:
        return not server.gone

    with patch.object(Upstream, "update_server", up), patch.object(LoadBalancer, "_is_usable", usable):
        yield


MUTANTS: dict[str, Callable[[], AbstractContextManager[None]]] = {
    "accept queue dropped": accept_queue_dropped, "deadline not bounded": deadline_not_bounded,
    "birth believed": birth_believed, "drained server used": drained_server_used,
}  # fmt: skip
