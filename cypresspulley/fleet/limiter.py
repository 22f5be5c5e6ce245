"""One limiter's part in its fleet: the detector on a UDP socket, and the view that other rooms read.

Replies go to the address that a member tells of itself, never to where a datagram came from.
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

DEFAULT_FLEET_SIZE = 12  # members for which the stated bounds are, where there are not more seeds
MAX_ZONE_CHARACTERS = 64  # characters
RECEIVE_BUFFER_BYTES = 1 << 20  # bytes of the socket's receive buffer: a second of a burst of whole exchanges


class FleetMember:
    """This process's member of the fleet. ``clock`` never steps, ``wall`` is Unix seconds as the machine has it.

    ``bounds`` are other rooms' stated bounds in seconds, by the names in ``histories.events.BOUNDS``; ``size`` is how
    many members the view's own are for, at least. ``OperatorsError`` where the name or zone cannot be told to others.
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
        self._zone, self._me = zone, name
        me = Member(name, max(1, round(wall() * 1000)), 0, MemberState.JOINING, zone, options.advertise)
        codec = Codec(options.installation, options.key)
        self.detector = Detector(me, codec, options.seeds, options.period, Random(f"{seed}/{name}"))
        self.view = DetectorView(self.detector, clock, wall)
        self._transport: asyncio.DatagramTransport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._due = float("inf")
        self._addresses = Addresses(clock, options.listen[0])

    def __repr__(self) -> str:
        return f"<Fleet {self._me} {'open' if self._transport is not None else 'shut'}: {self.detector!r}>"

    async def start(self) -> None:
        """Open the socket and knock at the seeds. ``OSError`` where the address cannot be had."""
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: _Receiver(self), local_addr=self._options.listen
        )
        self._transport = transport
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self._open_history(self.view.life)
        self.handle_event(Started())

    def leave(self) -> None:
        """Say that this process ends, so that nobody suspects it."""
        self.handle_event(LeaveRequested())

    async def close(self) -> None:
        """Say that it has ended, and close the socket. No other call after it does anything."""
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
        await asyncio.sleep(0)  # the transport closes in the loop's next turn

    def handle_event(self, event: Event) -> None:
        """Hand one event to the detector and do what it says. A datagram that is not read right ends nothing."""
        if self._transport is None:
            return
        for action in self.detector.handle(self._clock(), self._wall(), event):
            self._do(action)
        self._set_timer()

    def _do(self, action: Action) -> None:
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
                log.warning("others know a later life of %s: this one is %d from here on", self._me, life)
                self._history.put(Kind.END, reason="life")
                self._open_history(life)
                for other in others:  # the new history knows nothing of the former one
                    self._put_member(other, "told")
                self._put_settled(settled)

    def _put_member(self, member: Member, cause: str) -> None:
        self._history.put(
            Kind.MEMBER, member=member.name, life=member.life, incarnation=member.incarnation,
            state=member.state.name.lower(), cause=cause,
        )  # fmt: skip

    def _put_settled(self, told: Settled) -> None:
        digest = f"{told.digest:016x}"
        self._history.put(Kind.SETTLED, settled=told.settled, digest=digest, members=told.members)

    def _open_history(self, life: int) -> None:
        self._history.opened_at(life)
        period = self._options.period
        mine = {
            "detect": timing.detect_bound(self._size, period),
            "settle": timing.settle_bound(self._size, period),
        }
        facts: dict[str, Any] = {"name": self._me, "life": life, "zone": self._zone, "period": period}
        self._history.put(Kind.START, **facts, bounds=mine | self._bounds)

    def _send(self, address: str, data: bytes) -> None:
        where = self._addresses.resolve(address)
        if where is None or self._transport is None:
            self.detector.counts["no address"] += 1
            return
        try:
            self._transport.sendto(data, where)
        except (
            OSError,
            ValueError,
        ) as error:  # what a member tells as its address may be of another family, or no host
            self.detector.counts["unsent"] += 1
            log.debug("to %s: %s", address, error)

    def _set_timer(self) -> None:
        """Keep one timer, at or before the detector's next instant."""
        due = self.detector.due
        if self._timer is not None:
            if self._due <= due:
                return
            self._timer.cancel()
        self._timer = None
        if due < float("inf"):
            self._due = due
            wait = max(0.0, due - self._clock())
            self._timer = asyncio.get_running_loop().call_later(wait, self._tick)

    def _tick(self) -> None:
        self._timer = None
        if self.detector.due <= self._clock():
            self.handle_event(TimerFired())
        else:
            self._set_timer()


class DetectorView:
    """The view as other rooms see it: ``records.FleetView``."""

    def __init__(self, detector: Detector, clock: Callable[[], float], wall: Callable[[], float]) -> None:
        self._detector, self._clock, self._wall = detector, clock, wall

    def __repr__(self) -> str:
        return f"<Seen {self._detector!r}>"

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
        return self._detector.settled()

    def count_heard(self, now: float, within: float) -> int:
        return self._detector.peers.count_heard(now, within)

    def clock_error(self, now: float) -> tuple[float, float] | None:
        detector = self._detector
        return detector.clocks.estimate_error(now, self._wall(), len(detector.view.other_names()))

    def store_document(self, body: bytes) -> str:
        return self._detector.documents.store(body)

    def request_document(self, digest: str) -> None:
        self._detector.documents.request(digest)

    def get_document(self, digest: str) -> bytes | None:
        return self._detector.documents.get(digest)


class _Receiver(asyncio.DatagramProtocol):
    """Hands datagrams to the fleet. An error that the machine tells of (a port that is shut) is no news of a member."""

    def __init__(self, fleet: FleetMember) -> None:
        self._fleet = fleet

    def datagram_received(self, data: bytes, addr: object) -> None:
        self._fleet.handle_event(DatagramReceived(data))

    def error_received(self, exc: Exception) -> None:
        self._fleet.detector.counts["refused"] += 1
