"""A relay on loopback for the limiters' datagrams, which loses, delays, duplicates, reorders or blocks them.

Each limiter advertises an address of the relay (``advertise``) and sends from its own socket (``listen``). The relay
knows the sender by the source address of a datagram and the target by the address at which it arrived. It forwards
the datagram from the sender's address in the relay, so that a reply to that address reaches the sender.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from random import Random
from typing import Any

from cypresspulley.rehearsal.plan import random_for

MAX_DELAYED = 20_000  # datagrams that are delayed at once; further ones are lost, as in a full queue
MAX_DATAGRAM_BYTES = 64 * 1024
Address = tuple[str, int]
Route = tuple[str, str]  # sender, receiver


@dataclass(frozen=True, slots=True, eq=False)
class DatagramFault:
    """A fault that applies to datagrams on some routes (None: on all). Shares lie in 0..1, times are in seconds.

    ``loss_share`` of the datagrams are lost, ``duplicate_share`` sent twice. ``delay_share`` of them arrive
    ``delay_seconds`` late, so that others overtake them; with a share of 1 all are late alike. With a ``flap_period``
    the fault applies only in the first half of each period, counted from ``since``.
    """

    routes: frozenset[Route] | None = None
    loss_share: float = 0.0
    duplicate_share: float = 0.0
    delay_share: float = 0.0
    delay_seconds: float = 0.0
    flap_period: float = 0.0
    since: float = field(default=0.0)

    def applies_to(self, route: Route, now: float) -> bool:
        if self.routes is not None and route not in self.routes:
            return False
        return not self.flap_period or (now - self.since) % self.flap_period < self.flap_period / 2


def routes_between(groups: Iterable[Iterable[str]], one_way: bool = False) -> frozenset[Route]:
    """The routes between members of different groups; with ``one_way`` only those out of the first group."""
    rows = [tuple(group) for group in groups]
    found = {(a, b) for i, senders in enumerate(rows) for j, receivers in enumerate(rows) if i != j
             for a in senders for b in receivers if i == 0 or not one_way}  # fmt: skip
    return frozenset(found)


class Relay:
    """All routes between the limiters of one run. ``delay`` gives the delay of a route without faults, in seconds."""

    def __init__(self, seed: int, delay: Callable[[str, str], float], clock: Callable[[], float]) -> None:
        self._seed, self._delay, self._clock = seed, delay, clock
        self._senders = dict[Address, str]()  # limiter by the address that it sends from
        self._sockets = dict[str, Address]()  # and the reverse
        self._inlets = dict[str, asyncio.DatagramTransport]()
        self._rngs = dict[Route, Random]()
        self._faults = dict[DatagramFault, None]()
        self._delayed_count = 0
        self.counts = Counter[str]()

    def __repr__(self) -> str:
        return f"<Relay of {len(self._inlets)} limiters, {len(self._faults)} faults, {dict(self.counts)}>"

    async def open(self, limiter: str, listen: Address, socket: Address) -> None:
        """Forward datagrams for ``listen`` to the limiter's own ``socket``. Raise OSError if ``listen`` is in use."""
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(lambda: _Inlet(self, limiter), local_addr=listen)
        self._inlets[limiter] = transport
        self._senders[socket], self._sockets[limiter] = limiter, socket

    def begin(self, fault: DatagramFault) -> None:
        self._faults[fault] = None

    def end(self, fault: DatagramFault) -> None:
        self._faults.pop(fault, None)

    def forward(self, target: str, data: bytes, source: Address) -> None:
        """Forward a datagram for a limiter now, later, twice or not at all, as the faults say."""
        sender = self._senders.get(source[:2])
        if sender is None or len(data) > MAX_DATAGRAM_BYTES:
            self.counts["foreign"] += 1
            return
        route, now = (sender, target), self._clock()
        if route not in self._rngs:
            self._rngs[route] = random_for(self._seed, "datagrams", *route)
        rng, delay, copies = self._rngs[route], self._delay(sender, target), 1
        for fault in self._faults:
            if not fault.applies_to(route, now):
                continue
            if fault.loss_share and (fault.loss_share >= 1 or rng.random() < fault.loss_share):
                self.counts["lost"] += 1
                return
            copies += bool(fault.duplicate_share) and rng.random() < fault.duplicate_share
            if fault.delay_share and (fault.delay_share >= 1 or rng.random() < fault.delay_share):
                delay += fault.delay_seconds
        for copy in range(copies):
            self._schedule(route, data, delay * (1 + copy))

    def _schedule(self, route: Route, data: bytes, delay: float) -> None:
        self.counts["passed"] += 1
        if delay <= 0:
            return self._send(route, data)
        if self._delayed_count >= MAX_DELAYED:
            self.counts["lost"] += 1
            return
        self._delayed_count += 1
        asyncio.get_running_loop().call_later(delay, self._send_delayed, route, data)

    def _send_delayed(self, route: Route, data: bytes) -> None:
        self._delayed_count -= 1
        self._send(route, data)

    def _send(self, route: Route, data: bytes) -> None:
        inlet = self._inlets.get(route[0])
        if inlet is not None and not inlet.is_closing():
            with contextlib.suppress(OSError):  # the socket of a dead limiter is closed
                inlet.sendto(data, self._sockets[route[1]])

    def close(self) -> None:
        for inlet in self._inlets.values():
            inlet.close()
        self._inlets.clear()


class _Inlet(asyncio.DatagramProtocol):
    """The socket of the relay that one limiter advertises."""

    def __init__(self, relay: Relay, limiter: str) -> None:
        self._relay, self._limiter = relay, limiter

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self._relay.forward(self._limiter, data, (addr[0], addr[1]))

    # The limiter is down, which a run provokes on purpose.
    def error_received(self, exc: Exception) -> None: ...
