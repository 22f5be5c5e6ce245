"""The fleet member of one limiter: the detector on a UDP socket, and the view for other subsystems.

Replies go to the address that a member advertises, never to the source address of a datagram.
"""

from __future__ import annotations

import asyncio
import logging
import re
import socket
from collections.abc import Callable, Mapping
from random import Random
from typing import Any

from cypresspulley.fleet import timing
from cypresspulley.fleet.actions import (
    Action,
    DatagramReceived,
    Event,
    LeaveRequested,
    LifeRaised,
    MemberChanged,
    RowAccepted,
    Send,
    Settled,
    Started,
    Stopped,
    TimerFired,
)
from cypresspulley.fleet.addresses import Addresses
from cypresspulley.fleet.detector import Detector
from cypresspulley.fleet.options import FleetOptions
from cypresspulley.fleet.records import NAME_PATTERN, Member, MemberState, Row
from cypresspulley.fleet.wire import Codec
from cypresspulley.histories.events import Kind
from cypresspulley.histories.writer import AnyHistory
from cypresspulley.operators import OperatorsError

log = logging.getLogger(__name__)

DEFAULT_FLEET_SIZE = 12  # fleet size for the stated bounds, unless there are more seeds
MAX_ZONE_CHARACTERS = 64
RECEIVE_BUFFER_BYTES = 1 << 20  # holds a second of a burst of anti-entropy responses


class FleetMember:
    """This process's member of the fleet. ``clock`` is monotonic, ``wall`` is the machine's wall clock in Unix seconds.

    ``bounds`` are the stated bounds of other subsystems in seconds, by the names in ``histories.events.BOUNDS``;
    ``size`` is the least fleet size for the view's own bounds. Raises ``OperatorsError`` for an invalid name or zone.
    """

    def __init__(
        self, options: FleetOptions, name: str, zone: str, seed: int,
        clock: Callable[[], float], wall: Callable[[], float], history: AnyHistory,
        bounds: Mapping[str, float] | None = None, size: int = DEFAULT_FLEET_SIZE,
    ) -> None:  # fmt: skip
        if not re.fullmatch(NAME_PATTERN, name):
            raise OperatorsError(
                f"LB_NAME: expected at most 40 letters, digits, dots and dashes, got {name!r:.60}"
            )
        if len(zone) > MAX_ZONE_CHARACTERS:
            raise OperatorsError(f"zone: expected at most {MAX_ZONE_CHARACTERS} characters, got {zone!r:.80}")
        self._options, self._clock, self._wall, self._history = options, clock, wall, history
        self._bounds, self._size = dict(bounds or {}), max(size, len(options.seeds))
        self._zone, self._name = zone, name
        me = Member(name, max(1, round(wall() * 1000)), 0, MemberState.JOINING, zone, options.advertise)
        codec = Codec(options.installation, options.key)
        self.detector = Detector(me, codec, options.seeds, options.period, Random(f"{seed}/{name}"))
        self.view = DetectorView(self.detector, clock, wall)
        self._transport: asyncio.DatagramTransport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._due = float("inf")
        self._addresses = Addresses(clock, options.listen[0])

    def __repr__(self) -> str:
        return f"<FleetMember {self._name} {'open' if self._transport is not None else 'closed'}: {self.detector!r}>"

    async def start(self) -> None:
        """Open the socket and ping the seeds. Raise ``OSError`` if the address cannot be bound."""
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: _DatagramReceiver(self), local_addr=self._options.listen
        )
        self._transport = transport
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self._open_history(self.view.life)
        self.handle_event(Started())

    def leave(self) -> None:
        """Announce that this process shuts down, so that it is not suspected."""
        self.handle_event(LeaveRequested())

    async def close(self) -> None:
        """Announce that this process has left and close the socket; later calls have no effect."""
        if self._transport is None:
            return
        self.handle_event(Stopped())
        if self._timer is not None:
            self._timer.cancel()
        self._addresses.close()
        self._transport.close()
        self._transport = None
        self._history.put(Kind.END, reason="closed")
        log.info("left the fleet; datagrams: %s", dict(self.detector.counts))
        await asyncio.sleep(0)  # the transport closes in the next iteration of the loop

    def handle_event(self, event: Event) -> None:
        """Pass an event to the detector and execute its actions; invalid datagrams are only counted."""
        if self._transport is None:
            return
        for action in self.detector.handle(self._clock(), self._wall(), event):
            self._execute(action)
        self._set_timer()

    def _execute(self, action: Action) -> None:
        match action:
            case Send(address, data):
                self._send(address, data)
            case MemberChanged(member, cause):
                log.info(
                    "%s of life %d is %s (%s)", member.name, member.life, member.state.name.lower(), cause
                )
                self._put_member(member, cause)
            case Settled():
                self._put_settled(action)
            case RowAccepted(owner, life, subsystem):
                self._history.put(Kind.ROW, owner=owner, life=life, subsystem=subsystem)
            case LifeRaised(life, others, settled):
                log.warning("other members know a later life of %s; continuing as life %d", self._name, life)
                self._history.put(Kind.END, reason="life")
                self._open_history(life)
                for other in others:  # the history of a new life starts with all known members
                    self._put_member(other, "told")
                self._put_settled(settled)

    def _put_member(self, member: Member, cause: str) -> None:
        self._history.put(
            Kind.MEMBER, member=member.name, life=member.life, incarnation=member.incarnation,
            state=member.state.name.lower(), cause=cause,
        )  # fmt: skip

    def _put_settled(self, action: Settled) -> None:
        digest = f"{action.digest:016x}"
        self._history.put(Kind.SETTLED, settled=action.settled, digest=digest, members=action.members)

    def _open_history(self, life: int) -> None:
        self._history.open_life(life)
        period = self._options.period
        own_bounds = {
            "detect": timing.detect_bound(self._size, period),
            "settle": timing.settle_bound(self._size, period),
        }
        facts: dict[str, Any] = {"name": self._name, "life": life, "zone": self._zone, "period": period}
        self._history.put(Kind.START, **facts, bounds=own_bounds | self._bounds)

    def _send(self, address: str, data: bytes) -> None:
        target = self._addresses.resolve(address)
        if target is None or self._transport is None:
            self.detector.counts["no address"] += 1
            return
        try:
            self._transport.sendto(data, target)
        # The advertised address of a member may be invalid or of another address family.
        except (OSError, ValueError) as error:
            self.detector.counts["unsent"] += 1
            log.debug("cannot send to %s: %s", address, error)

    def _set_timer(self) -> None:
        """Keep a single timer, at or before the instant of the detector's next timer."""
        due = self.detector.due
        if self._timer is not None:
            if self._due <= due:
                return
            self._timer.cancel()
        self._timer = None
        if due < float("inf"):
            self._due = due
            delay = max(0.0, due - self._clock())
            self._timer = asyncio.get_running_loop().call_later(delay, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        if self.detector.due <= self._clock():
            self.handle_event(TimerFired())
        else:
            self._set_timer()


class DetectorView:
    """The view for other subsystems: implements ``records.FleetView``."""

    def __init__(self, detector: Detector, clock: Callable[[], float], wall: Callable[[], float]) -> None:
        self._detector, self._clock, self._wall = detector, clock, wall

    def __repr__(self) -> str:
        return f"<DetectorView {self._detector!r}>"

    @property
    def local_name(self) -> str:
        return self._detector.view.local_name

    @property
    def life(self) -> int:
        return self._detector.view.local_member.life

    def members(self) -> tuple[Member, ...]:
        return self._detector.view.members()

    def get_member(self, name: str) -> Member | None:
        return self._detector.view.get(name)

    def rows(self, now: float, subsystem: str) -> tuple[Row, ...]:
        return self._detector.view.rows(now, subsystem)

    def publish(self, subsystem: str, body: bytes) -> None:
        self._detector.view.publish(self._clock(), subsystem, body)

    def is_settled(self, now: float) -> bool:
        return self._detector.is_settled()

    def count_responsive(self, now: float, within: float) -> int:
        return self._detector.peers.count_responsive(now, within)

    def clock_error(self, now: float) -> tuple[float, float] | None:
        detector = self._detector
        return detector.clocks.estimate_error(now, self._wall(), len(detector.view.other_names()))

    def store_document(self, body: bytes) -> str:
        return self._detector.documents.store(body)

    def request_document(self, digest: str) -> None:
        self._detector.documents.request(digest)

    def get_document(self, digest: str) -> bytes | None:
        return self._detector.documents.get(digest)


class _DatagramReceiver(asyncio.DatagramProtocol):
    """Passes datagrams to the member. Socket errors (a closed port) are counted and say nothing about members."""

    def __init__(self, fleet: FleetMember) -> None:
        self._fleet = fleet

    def datagram_received(self, data: bytes, addr: object) -> None:
        self._fleet.handle_event(DatagramReceived(data))

    def error_received(self, exc: Exception) -> None:
        self._fleet.detector.counts["refused"] += 1
