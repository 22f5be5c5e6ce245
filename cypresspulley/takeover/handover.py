"""The two sides of a takeover: feeds messages to the state machine and executes the resulting actions.

Effects on the limiter itself are left to the ``Host``. An action consists of steps. A step that raises keeps no other
one from being done: whatever could not be handed over or taken back, a process that is to serve accepts connections
and listens for the next successor.
"""

from __future__ import annotations

import asyncio
import logging
import os
import socket
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any, Protocol

from cypresspulley.takeover.channel import MAX_DESCRIPTORS, Channel, Folder, Message, same_user
from cypresspulley.takeover.snapshot import SnapshotError, decode_snapshot, encode_snapshot
from cypresspulley.takeover.states import (
    STATE_TIMEOUT_SECONDS,
    TakeoverAction,
    TakeoverEvent,
    TakeoverMachine,
    TakeoverState,
)

log = logging.getLogger(__name__)

MAX_PART_CHARACTERS = 16_000  # of a snapshot in one message; escaped, they fit in ``MAX_MESSAGE_BYTES``
MAX_PARTS = 4096
MAX_EARLY_MESSAGES = 256  # operators' calls that may arrive between an offer and the start of serving here
CALL_TIMEOUT_SECONDS = 0.5  # time for the other process to confirm that a call has taken effect there
ACCEPTS_PEER_SOCKET = "accepts_peer_socket"  # key of hello
SHARES_REQUEST_IDS = "shares_request_ids"  # key of hello and of an offer
MAX_IDS_IN_MESSAGE = 500
# A successor that serves later than this counts itself as late: shorter than the predecessor's timeout, which begins
# before the offer has arrived.
LATE_AFTER_SECONDS = 0.5 * STATE_TIMEOUT_SECONDS[TakeoverState.OFFERED]
INFLIGHT_REPORT_SECONDS = 0.05  # time between two reports of the open attempts
assert MAX_DESCRIPTORS == 1
Step = Callable[[], object]  # a part of an action; its result is not used


class Host(Protocol):
    """The operations on the limiter that a takeover needs."""

    def take_snapshot(self) -> dict[str, Any]:
        """Return the state from which a successor continues."""
        ...

    def duplicate_listener(self) -> int:
        """Return a duplicate descriptor of the clients' listener, owned by the caller."""
        ...

    def duplicate_peer_socket(self) -> int | None:
        """Return a duplicate descriptor of the socket for limiters' messages, owned by the caller; None without one."""
        ...

    def release_peer_address(self) -> None:
        """Unbind the address for limiters' messages, so that the successor can bind it."""
        ...

    def pause(self) -> None:
        """Accept no connections and read no messages of limiters; both wait in the kernel."""
        ...

    def resume(self) -> None: ...

    def split_state(self) -> None:
        """Give up the share of the state that is offered to the successor."""
        ...

    def undo_split(self, whole: bool) -> None: ...

    def set_late_successor(self, is_late: bool) -> None:
        """Refill stores here while the successor is late, and no longer once it serves."""
        ...

    def skip_refills(self) -> None:
        """Refill no store for the time before now: the predecessor did."""
        ...

    def set_successor(self, to: Peer | None) -> None:
        """Hand idle connections to the successor from now on; None: there is no successor any more."""
        ...

    def count_open_attempts(self) -> list[tuple[str, str, int]]: ...

    def set_predecessor_attempts(self, rows: list[tuple[str, str, int]]) -> None: ...

    def adopt_connection(self, sock: socket.socket) -> None:
        """Serve a client's connection that the other process handed over while it was idle."""
        ...

    def apply_call(self, name: str, id: str, source: Peer) -> None:
        """Apply an operators' call that the other process received."""
        ...

    def known_request_ids(self) -> list[str]:
        """Return the ids of requests that may have run here, or may be about to."""
        ...

    def remember_request_ids(self, ids: list[str]) -> None:
        """Reject these ids from now on: their requests may have run at the other process."""
        ...

    def on_request_announced(self, tell: Callable[[str], None] | None) -> None:
        """Call ``tell`` with each further id before an attempt that may not be repeated; None ends that."""
        ...

    def predecessor_ended(self) -> None:
        """Serve alone after the predecessor has ended."""
        ...


@dataclass(frozen=True, slots=True)
class Offer:
    """The listener, the state and the socket for limiters' messages that a predecessor hands over."""

    listener: socket.socket
    state: dict[str, Any]
    peer_socket: socket.socket | None = None  # None: the predecessor holds none, or is of an older version


class Peer:
    """The base class of both sides: the channel, and the forwarding of operators' calls."""

    def __init__(self, state: TakeoverState) -> None:
        self.machine = TakeoverMachine(state)
        self._channel: Channel | None = None
        self._host: Host | None = None
        self._loop = asyncio.get_running_loop()
        self._calls = dict[int, asyncio.Future[None]]()
        self._last_call_number = 0
        self._timer: asyncio.TimerHandle | None = None
        self._shares_request_ids = False  # whether the other process takes them; an older version does not
        self.failed_steps = 0  # steps of actions that have raised, since the start of the process

    def __repr__(self) -> str:
        return f"<{type(self).__name__} {self.machine.state.value}>"

    @property
    def connected(self) -> bool:
        return self._channel is not None and self._channel.is_open

    async def forward_call(self, name: str, id: str) -> bool:
        """Apply a call in the other process too.

        Return True once it has taken effect there or if there is no other process, and False after
        ``CALL_TIMEOUT_SECONDS`` without confirmation.
        """
        if not self.connected or self._channel is None:
            return True
        self._last_call_number = number = self._last_call_number + 1
        done = self._calls[number] = self._loop.create_future()
        self._channel.send({"is": "call", "n": number, "name": name, "id": id})
        try:
            async with asyncio.timeout(CALL_TIMEOUT_SECONDS):
                await done
        except TimeoutError:
            return False
        finally:
            self._calls.pop(number, None)
        return True

    def _receive_call(self, message: Message) -> None:
        number, name, id = message.get("n"), message.get("name"), message.get("id")
        if not isinstance(number, int) or not isinstance(name, str) or not isinstance(id, str):
            raise ValueError("call message without number, name and id")
        assert self._host is not None and self._channel is not None
        self._host.apply_call(name, id, self)
        self._channel.send({"is": "done", "n": number})

    def _send_request_ids(self, ids: list[str]) -> None:
        if self._channel is None or not self._shares_request_ids:
            return
        for at in range(0, len(ids), MAX_IDS_IN_MESSAGE):
            self._channel.send({"is": "request_ids", "ids": ids[at : at + MAX_IDS_IN_MESSAGE]})

    def _receive_request_ids(self, message: Message) -> None:
        if self._host is not None:
            self._host.remember_request_ids([str(each) for each in message["ids"]])

    def _receive_done(self, message: Message) -> None:
        if (done := self._calls.pop(message.get("n", 0), None)) is not None and not done.done():
            done.set_result(None)

    def _complete_calls(self) -> None:
        """Complete the calls that wait for the other process: after its end they need to be in effect only here."""
        calls, self._calls = self._calls, {}
        for done in calls.values():
            if not done.done():
                done.set_result(None)

    def _handle_event(self, event: TakeoverEvent) -> None:
        """Make the transition for an event, execute its actions and start the timeout of the new state."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        previous = self.machine.state
        for action in self.machine.handle(event):
            if not self._execute(action) and self.machine.state is TakeoverState.OFFERED:
                return self._handle_event(TakeoverEvent.INVALID)  # the successor cannot use half an offer
        if self.machine.state is not previous:
            log.info("takeover: %s, now %s", event.value, self.machine.state.value)
        if (wait := STATE_TIMEOUT_SECONDS.get(self.machine.state)) is not None:
            self._timer = self._loop.call_later(wait, self._handle_event, TakeoverEvent.TIMEOUT)

    def _execute(self, action: TakeoverAction) -> bool:
        """Do every step of an action; return whether none of them raised."""
        succeeded = [self._try_step(action, step) for step in self._steps(action)]
        return all(succeeded)

    def _try_step(self, action: TakeoverAction, step: Step) -> bool:
        """Do one step; log and count an error, and return whether there was none."""
        try:
            step()
        except Exception:
            self.failed_steps += 1
            log.exception(
                "takeover: a step of %r failed in state %s, failed steps so far: %d",
                action.value,
                self.machine.state.value,
                self.failed_steps,
            )
            return False
        return True

    def _steps(self, action: TakeoverAction) -> Iterable[Step]:
        """Return the steps of an action, in order."""
        raise NotImplementedError

    def _reject_message(self) -> None:
        """Handle a message whose processing raised the current exception."""
        log.exception("takeover: a message was rejected")
        self._handle_event(TakeoverEvent.INVALID)

    def _close_channel(self) -> None:
        if self._channel is not None:
            self._channel.close(silent=True)
        self._complete_calls()


class Predecessor(Peer):
    """The side of the serving process, which waits for a successor throughout its life."""

    def __init__(self, host: Host, folder: Folder) -> None:
        super().__init__(TakeoverState.WATCHING)
        self._host = host
        self._folder = folder
        self._sock: socket.socket | None = None
        self._report_timer: asyncio.TimerHandle | None = None
        self._passes_peer_socket = False  # whether the successor accepts it; an older version does not
        self._start_listening()

    def _start_listening(self) -> None:
        self._stop_listening()
        try:
            self._sock = self._folder.listen()
        except OSError as error:
            return log.error("takeover: cannot listen for a successor: %s", error)
        self._loop.add_reader(self._sock.fileno(), self._accept_successor)

    def _stop_listening(self) -> None:
        if self._sock is not None:
            self._loop.remove_reader(self._sock.fileno())
            self._sock.close()
            self._sock = None

    def _accept_successor(self) -> None:
        assert self._sock is not None
        try:
            sock, _ = self._sock.accept()
        except OSError:
            return
        if self.machine.state is TakeoverState.LATE:
            self._handle_event(TakeoverEvent.TIMEOUT)  # a further process replaces the late one
        if self.connected or not same_user(sock):
            return sock.close()  # one successor at a time
        self._channel = Channel(sock, self._receive, self._on_channel_close)
        self._timer = self._loop.call_later(
            STATE_TIMEOUT_SECONDS[TakeoverState.ASKING], self._handle_event, TakeoverEvent.TIMEOUT
        )  # it must send hello

    def _receive(self, channel: Channel, message: Message, fd: int | None) -> None:
        if fd is not None:
            os.close(fd)  # a successor sends no descriptors
        try:
            match message.get("is"):
                case "hello":
                    self._passes_peer_socket = message.get(ACCEPTS_PEER_SOCKET) is True
                    self._shares_request_ids = message.get(SHARES_REQUEST_IDS) is True
                    self._handle_event(TakeoverEvent.HELLO)
                case "serving":
                    self._handle_event(TakeoverEvent.SERVING)
                case "call":
                    self._receive_call(message)
                case "done":
                    self._receive_done(message)
                case "request_ids":
                    self._receive_request_ids(message)
                case _:
                    self._handle_event(TakeoverEvent.INVALID)
        except Exception:
            self._reject_message()

    def _on_channel_close(self, channel: Channel) -> None:
        if channel is self._channel:
            self._complete_calls()
            self._handle_event(TakeoverEvent.ENDED)

    def _steps(self, action: TakeoverAction) -> Iterable[Step]:
        host = self._host
        assert host is not None
        match action:
            case TakeoverAction.PAUSE:
                return (host.pause,)
            case TakeoverAction.OFFER:
                return (lambda: self._offer(host),)
            case TakeoverAction.HAND_OVER:
                return (
                    self._stop_listening,  # a further process must find the successor
                    lambda: host.set_successor(self),
                    lambda: self._send_request_ids(host.known_request_ids()),
                    lambda: host.on_request_announced(lambda id: self._send_request_ids([id])),
                    self._report_open_attempts,
                )
            case TakeoverAction.TAKE_BACK:
                return (lambda: host.undo_split(whole=True),)
            case TakeoverAction.COUNT_AS_USED:
                return (lambda: host.undo_split(whole=False),)
            case TakeoverAction.REFILL:
                return (lambda: host.set_late_successor(True),)
            case TakeoverAction.STOP_REFILLS:
                return (lambda: host.set_late_successor(False),)
            case TakeoverAction.RESUME:
                return (
                    lambda: host.set_successor(None),
                    lambda: host.on_request_announced(None),
                    host.resume,
                )
            case TakeoverAction.LISTEN:
                return (self._start_listening,)
            case TakeoverAction.STOP_LISTENING:
                return (self._stop_listening,)
            case TakeoverAction.CLOSE_CHANNEL:
                return (self._close_channel,)
            case _:
                raise AssertionError(action)

    def _offer(self, host: Host) -> None:
        assert self._channel is not None
        text, checksum = encode_snapshot(host.take_snapshot())
        parts = [text[at : at + MAX_PART_CHARACTERS] for at in range(0, len(text), MAX_PART_CHARACTERS)]
        host.split_state()
        self._channel.send(
            {"is": "offer", "parts": len(parts), "checksum": checksum, SHARES_REQUEST_IDS: True},
            host.duplicate_listener(),
        )
        if not self.connected:
            return  # the successor has ended, and what was offered has been taken back
        self._send_request_ids(host.known_request_ids())
        if not self._passes_peer_socket:
            host.release_peer_address()
        elif (peer_socket := host.duplicate_peer_socket()) is not None:
            self._channel.send({"is": "peer_socket"}, peer_socket)
        for part in parts:
            self._channel.send({"is": "part", "text": part})

    def pass_client(self, fd: int) -> bool:
        """Hand a client's connection to the successor and close the descriptor here.

        Return whether a successor was connected.
        """
        if not self.connected or self._channel is None:
            os.close(fd)
            return False
        self._channel.send({"is": "client"}, fd, self._serve_unsent_client)
        return self.connected

    def _serve_unsent_client(self, fd: int) -> None:
        """Continue to serve a connection here whose successor disconnected before it was sent."""
        assert self._host is not None
        self._host.adopt_connection(socket.socket(fileno=fd))

    def _report_open_attempts(self) -> None:
        self._report_timer = None
        if (
            self.machine.state in (TakeoverState.HANDED_OVER, TakeoverState.LEAVING_WITH_SUCCESSOR)
            and self._host is not None
            and self._channel is not None
        ):
            self._report_timer = self._loop.call_later(INFLIGHT_REPORT_SECONDS, self._report_open_attempts)
            self._channel.send({"is": "held", "rows": self._host.count_open_attempts()[:500]})

    def leave(self) -> None:
        """Offer nothing from now on, because this process closes its listener."""
        self._handle_event(TakeoverEvent.LEAVE)

    def close(self) -> None:
        for timer in (self._report_timer, self._timer):
            if timer is not None:
                timer.cancel()
        self._stop_listening()
        self._close_channel()


class Successor(Peer):
    """The side of a new process, which requests the listener and the state of the serving one."""

    def __init__(self, folder: Folder) -> None:
        super().__init__(TakeoverState.ASKING)
        self._offer_settled = asyncio.Event()
        self._offer: Offer | None = None
        self._listener: socket.socket | None = None
        self._peer_socket: socket.socket | None = None
        self._part_count = 0  # parts of the snapshot
        self._checksum = ""
        self._parts = list[str]()
        self._early_messages = list[Message]()  # received before this process serves
        self._offered_at = 0.0  # by the loop's clock
        sock = folder.connect()
        if sock is not None and same_user(sock):
            self._channel = Channel(sock, self._receive, self._on_channel_close)
            self._channel.send({"is": "hello", ACCEPTS_PEER_SOCKET: True, SHARES_REQUEST_IDS: True})
            self._timer = self._loop.call_later(
                STATE_TIMEOUT_SECONDS[TakeoverState.ASKING], self._handle_event, TakeoverEvent.TIMEOUT
            )
        else:
            self._handle_event(TakeoverEvent.ENDED)

    async def wait_for_offer(self) -> Offer | None:
        """Wait for the predecessor's offer; return None if this process starts alone."""
        await self._offer_settled.wait()
        return self._offer

    def reject(self) -> None:
        """Reject an unusable offer: the predecessor continues to serve, and this process starts alone."""
        log.error("takeover: the offer was rejected, this process starts alone")
        self._offer = None
        self.machine.state = TakeoverState.RECEIVING
        self._handle_event(TakeoverEvent.INVALID)

    def serve(self, host: Host) -> None:
        """Start serving: tell the predecessor, and process the messages that arrived early."""
        self._host = host
        if self._offer is not None and self._loop.time() - self._offered_at > LATE_AFTER_SECONDS:
            host.skip_refills()
        if self.machine.state is TakeoverState.SERVING and self._channel is not None:
            host.on_request_announced(lambda id: self._send_request_ids([id]))
            self._channel.send({"is": "serving"})
        early, self._early_messages = self._early_messages, []
        for message in early:
            self._receive_from_predecessor(host, message)
        if self.machine.state is TakeoverState.ALONE:
            host.predecessor_ended()

    def _receive(self, channel: Channel, message: Message, fd: int | None) -> None:
        sock = socket.socket(fileno=fd) if fd is not None else None
        try:
            match message.get("is"):
                case "offer":
                    self._receive_offer(message, sock)
                case "client" if self._host is not None and sock is not None:
                    self._host.adopt_connection(sock)
                case "peer_socket" if sock is not None:
                    self._receive_peer_socket(sock)
                case _ if sock is not None:
                    raise ValueError(f"unexpected descriptor with message {message.get('is')!r:.40}")
                case "part":
                    self._receive_part(message)
                case _ if self._host is None:
                    if len(self._early_messages) >= MAX_EARLY_MESSAGES:
                        raise ValueError("too many messages before this process serves")
                    self._early_messages.append(message)
                case _:
                    self._receive_from_predecessor(self._host, message)
        except Exception:
            if sock is not None:
                sock.close()
            self._reject_message()

    def _receive_offer(self, message: Message, listener: socket.socket | None) -> None:
        self._part_count, self._checksum = int(message["parts"]), str(message["checksum"])
        self._shares_request_ids = message.get(SHARES_REQUEST_IDS) is True
        if listener is None or not 0 < self._part_count <= MAX_PARTS or self._listener is not None:
            raise ValueError("offer without a listener, with an invalid number of parts, or sent twice")
        self._listener = listener
        self._handle_event(TakeoverEvent.OFFER)

    def _receive_peer_socket(self, sock: socket.socket) -> None:
        if self.machine.state is not TakeoverState.RECEIVING or self._peer_socket is not None:
            raise ValueError("a socket for limiters' messages outside an offer, or sent twice")
        self._peer_socket = sock

    def _receive_part(self, message: Message) -> None:
        self._parts.append(str(message["text"]))
        if len(self._parts) < self._part_count or self._listener is None:
            return
        try:
            state = decode_snapshot("".join(self._parts), self._checksum)
        except SnapshotError as error:
            raise ValueError(str(error)) from None
        self._offer = Offer(self._listener, state, self._peer_socket)
        self._offered_at = self._loop.time()
        self._handle_event(TakeoverEvent.OFFER_COMPLETE)

    def _receive_from_predecessor(self, host: Host, message: Message) -> None:
        match message.get("is"):
            case "held":
                host.set_predecessor_attempts(
                    [(str(plan), str(account), int(n)) for plan, account, n in message["rows"]]
                )
            case "call":
                self._receive_call(message)
            case "done":
                self._receive_done(message)
            case "request_ids":
                self._receive_request_ids(message)
            case kind:
                raise ValueError(f"unknown message: {kind!r:.40}")

    def _on_channel_close(self, channel: Channel) -> None:
        self._complete_calls()
        self._handle_event(TakeoverEvent.ENDED)

    def _steps(self, action: TakeoverAction) -> Iterable[Step]:
        match action:
            case TakeoverAction.ADOPT:
                return (self._offer_settled.set,)
            case TakeoverAction.START:
                return (self._discard_offer, self._offer_settled.set)
            case TakeoverAction.FORGET_PREDECESSOR:
                return () if self._host is None else self._steps_after_predecessor(self._host)
            case TakeoverAction.CLOSE_CHANNEL:
                return (self._close_channel,)
            case _:
                raise AssertionError(action)

    @staticmethod
    def _steps_after_predecessor(host: Host) -> Iterable[Step]:
        return (
            lambda: host.set_predecessor_attempts([]),
            lambda: host.on_request_announced(None),
            host.predecessor_ended,
        )

    def _discard_offer(self) -> None:
        self._offer = None
        for sock in (self._listener, self._peer_socket):
            if sock is not None:
                sock.close()

    def close(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._close_channel()
