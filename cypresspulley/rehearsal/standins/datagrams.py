"""The network between limiters' datagrams: a relay on loopback that loses, delays, doubles, reorders and cuts.

Each limiter tells others the address of its own way into the relay (``advertise``) and sends from its own socket
(``listen``), so the relay knows who speaks by where a datagram came from and who is meant by where it arrived. It
passes it on from the speaker's way in: what comes back to that address finds the speaker again.
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

MOST_WAITING = 20_000  # datagrams that are delayed at once; what is more is lost, as in a full queue
MOST_SIZE = 64 * 1024  # bytes of one
Address = tuple[str, int]
Route = tuple[str, str]  # from whom, to whom


@dataclass(frozen=True, slots=True, eq=False)
class DatagramFault:
    """What befalls datagrams on some ways (None: on all) while it is on. Shares lie in 0..1, times are seconds.

    ``lost``, ``doubled``: shares of them. ``held`` of them come ``by`` later than the rest, so that others overtake
    them; with ``held`` 1 all are late alike. ``every``: it is on in the first half of each such span only.
    """

    routes: frozenset[Route] | None = None
    loss_share: float = 0.0
    duplicate_share: float = 0.0
    delay_share: float = 0.0
    delay_seconds: float = 0.0
    flap_period: float = 0.0
    since: float = field(default=0.0)

    def applies_to(self, way: Route, now: float) -> bool:
        if self.routes is not None and way not in self.routes:
            return False
        return not self.flap_period or (now - self.since) % self.flap_period < self.flap_period / 2


def routes_between(groups: Iterable[Iterable[str]], one_way: bool = False) -> frozenset[Route]:
    """The ways between members of different groups; ``one_way``: only those that lead out of the first group."""
    rows = [tuple(group) for group in groups]
    found = {(a, b) for i, ones in enumerate(rows) for j, others in enumerate(rows) if i != j
             for a in ones for b in others if i == 0 or not one_way}  # fmt: skip
    return frozenset(found)


class Relay:
    """All ways between the limiters of one play. ``delay`` is that of a way on a good day, in seconds."""

    def __init__(self, seed: int, delay: Callable[[str, str], float], clock: Callable[[], float]) -> None:
        self._seed, self._delay, self._clock = seed, delay, clock
        self._senders = dict[Address, str]()  # limiters by the address that they send from
        self._sockets = dict[str, Address]()  # and back
        self._ways_in = dict[str, asyncio.DatagramTransport]()
        self._rngs = dict[Route, Random]()
        self._troubles = dict[DatagramFault, None]()
        self._waiting = 0
        self.counts = Counter[str]()

    def __repr__(self) -> str:
        return (
            f"<Relay of {len(self._ways_in)} limiters, {len(self._troubles)} troubles, {dict(self.counts)}>"
        )

    async def open(self, limiter: str, listen: Address, socket: Address) -> None:
        """From now on ``listen`` leads to the limiter whose own socket is at ``socket``; OSError where it is taken."""
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(lambda: _WayIn(self, limiter), local_addr=listen)
        self._ways_in[limiter] = transport
        self._senders[socket], self._sockets[limiter] = limiter, socket

    def begin(self, trouble: DatagramFault) -> None:
        self._troubles[trouble] = None

    def end(self, trouble: DatagramFault) -> None:
        self._troubles.pop(trouble, None)

    def came(self, target: str, data: bytes, source: Address) -> None:
        """A datagram for a limiter: passed on now, later, twice or not at all."""
        sender = self._senders.get(source[:2])
        if sender is None or len(data) > MOST_SIZE:
            self.counts["foreign"] += 1
            return
        way, now = (sender, target), self._clock()
        if way not in self._rngs:
            self._rngs[way] = random_for(self._seed, "datagrams", *way)
        rng, delay, copies = self._rngs[way], self._delay(sender, target), 1
        for trouble in self._troubles:
            if not trouble.applies_to(way, now):
                continue
            if trouble.loss_share and (trouble.loss_share >= 1 or rng.random() < trouble.loss_share):
                self.counts["lost"] += 1
                return
            copies += bool(trouble.duplicate_share) and rng.random() < trouble.duplicate_share
            if trouble.delay_share and (trouble.delay_share >= 1 or rng.random() < trouble.delay_share):
                delay += trouble.delay_seconds
        for copy in range(copies):
            self._pass_on(way, data, delay * (1 + copy))

    def _pass_on(self, way: Route, data: bytes, delay: float) -> None:
        self.counts["passed"] += 1
        if delay <= 0:
            return self._send(way, data)
        if self._waiting >= MOST_WAITING:
            self.counts["lost"] += 1
            return
        self._waiting += 1
        asyncio.get_running_loop().call_later(delay, self._late, way, data)

    def _late(self, way: Route, data: bytes) -> None:
        self._waiting -= 1
        self._send(way, data)

    def _send(self, way: Route, data: bytes) -> None:
        way_in = self._ways_in.get(way[0])
        if way_in is not None and not way_in.is_closing():
            with contextlib.suppress(OSError):  # a dead limiter's socket is shut
                way_in.sendto(data, self._sockets[way[1]])

    def close(self) -> None:
        for way_in in self._ways_in.values():
            way_in.close()
        self._ways_in.clear()


class _WayIn(asyncio.DatagramProtocol):
    """One limiter's way in."""

    def __init__(self, relay: Relay, limiter: str) -> None:
        self._relay, self._limiter = relay, limiter

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self._relay.came(self._limiter, data, (addr[0], addr[1]))

    def error_received(self, exc: Exception) -> None: ...  # nobody is there: that is what is rehearsed
