"""Drives both sides of a takeover: messages in, the table's steps out. What it does to the limiter is its host's."""

from __future__ import annotations

import asyncio
import logging
import os
import socket
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

MAX_PART_CHARACTERS = 16_000  # characters of a snapshot in one message: escaped they are under its bound
MAX_PARTS = 4096
MAX_EARLY_MESSAGES = (
    256  # calls of operators that may come between an offer and the word that this process serves
)
CALL_TIMEOUT_SECONDS = 0.5  # seconds for the other process to say that a call is in force there
INFLIGHT_REPORT_SECONDS = 0.05  # seconds between two tellings of what is still out
assert MAX_DESCRIPTORS == 1


class Host(Protocol):
    """The limiter, as a takeover sees it."""

    def take_snapshot(self) -> dict[str, Any]:
        """What a successor goes on from."""
        ...

    def duplicate_listener(self) -> int:
        """A descriptor of the clients' listener, the caller's own."""
        ...

    def pause(self) -> None: ...

    def resume(self) -> None: ...

    def split_state(self) -> None:
        """What is offered is no longer this process's."""
        ...

    def undo_split(self, whole: bool) -> None: ...

    def set_successor(self, to: Peer | None) -> None:
        """Connections that come to rest go to the successor; None: there is none any more."""
        ...

    def count_open_attempts(self) -> list[tuple[str, str, int]]: ...

    def set_predecessor_attempts(self, rows: list[tuple[str, str, int]]) -> None: ...

    def adopt_connection(self, sock: socket.socket) -> None:
        """A client's connection, passed on at rest."""
        ...

    def apply_call(self, name: str, id: str, source: Peer) -> None:
        """An operators' call that the other process was told."""
        ...

    def predecessor_ended(self) -> None:
        """The predecessor has ended."""
        ...


@dataclass(frozen=True, slots=True)
class Offer:
    """What a predecessor hands over."""

    listener: socket.socket
    state: dict[str, Any]


class Peer:
    """What both sides share: the channel, and the operators' calls that either was told."""

    def __init__(self, state: TakeoverState) -> None:
        self.machine = TakeoverMachine(state)
        self._channel: Channel | None = None
        self._host: Host | None = None
        self._loop = asyncio.get_running_loop()
        self._calls = dict[int, asyncio.Future[None]]()
        self._last_call_number = 0
        self._timer: asyncio.TimerHandle | None = None

    def __repr__(self) -> str:
        return f"<{type(self).__name__} {self.machine.state.value}>"

    @property
    def connected(self) -> bool:
        return self._channel is not None and self._channel.is_open

    async def forward_call(self, name: str, id: str) -> bool:
        """Have a call in force in the other process too; whether it is, or there is no other."""
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
            raise ValueError("a call without number, name and id")
        assert self._host is not None and self._channel is not None
        self._host.apply_call(name, id, self)
        self._channel.send({"is": "done", "n": number})

    def _receive_done(self, message: Message) -> None:
        if (done := self._calls.pop(message.get("n", 0), None)) is not None and not done.done():
            done.set_result(None)

    def _complete_calls(self) -> None:
        """Calls that wait for a process that is no more are in force where they need to be."""
        calls, self._calls = self._calls, {}
        for done in calls.values():
            if not done.done():
                done.set_result(None)

    def _handle_event(self, event: TakeoverEvent) -> None:
        """The table moves on; the wait of the state that is reached begins."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        previous = self.machine.state
        for action in self.machine.handle(event):
            self._execute(action)
        if self.machine.state is not previous:
            log.info("takeover: %s, now %s", event.value, self.machine.state.value)
        if (wait := STATE_TIMEOUT_SECONDS.get(self.machine.state)) is not None:
            self._timer = self._loop.call_later(wait, self._handle_event, TakeoverEvent.TIMEOUT)

    def _execute(self, action: TakeoverAction) -> None:
        raise NotImplementedError

    def _close_channel(self) -> None:
        if self._channel is not None:
            self._channel.close(silent=True)
        self._complete_calls()


class Predecessor(Peer):
    """Waits for a successor, all the life of a process."""

    def __init__(self, host: Host, folder: Folder) -> None:
        super().__init__(TakeoverState.WATCHING)
        self._host = host
        self._folder = folder
        self._sock: socket.socket | None = None
        self._report_timer: asyncio.TimerHandle | None = None
        self._start_listening()

    def _start_listening(self) -> None:
        self._stop_listening()
        try:
            self._sock = self._folder.listen()
        except OSError as error:
            return log.error("takeover: no successor will find this process: %s", error)
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
        if self.connected or not same_user(sock):
            return sock.close()  # one successor at a time
        self._channel = Channel(sock, self._receive, self._on_channel_close)
        self._timer = self._loop.call_later(
            STATE_TIMEOUT_SECONDS[TakeoverState.ASKING], self._handle_event, TakeoverEvent.TIMEOUT
        )  # it must say hello

    def _receive(self, channel: Channel, message: Message, fd: int | None) -> None:
        if fd is not None:
            os.close(fd)  # a successor has none to give
        try:
            match message.get("is"):
                case "hello":
                    self._handle_event(TakeoverEvent.HELLO)
                case "serving":
                    self._handle_event(TakeoverEvent.SERVING)
                case "call":
                    self._receive_call(message)
                case "done":
                    self._receive_done(message)
                case _:
                    self._handle_event(TakeoverEvent.INVALID)
        except ValueError as error:
            log.error("takeover: %s", error)
            self._handle_event(TakeoverEvent.INVALID)

    def _on_channel_close(self, channel: Channel) -> None:
        if channel is self._channel:
            self._complete_calls()
            self._handle_event(TakeoverEvent.ENDED)

    def _execute(self, action: TakeoverAction) -> None:
        host = self._host
        assert host is not None
        match action:
            case TakeoverAction.PAUSE:
                host.pause()
            case TakeoverAction.OFFER:
                self._offer(host)
            case TakeoverAction.HAND_OVER:
                self._stop_listening()  # the successor is who the next one finds
                host.set_successor(self)
                self._report_open_attempts()
            case TakeoverAction.TAKE_BACK:
                host.undo_split(whole=True)
            case TakeoverAction.RESUME:
                # Nothing to undo where all was taken back; else what was given may have been drawn.
                host.undo_split(whole=False)
                host.set_successor(None)
                host.resume()
                self._start_listening()
            case TakeoverAction.CLOSE_CHANNEL:
                self._close_channel()
            case _:
                raise AssertionError(action)

    def _offer(self, host: Host) -> None:
        assert self._channel is not None
        text, checksum = encode_snapshot(host.take_snapshot())
        parts = [text[at : at + MAX_PART_CHARACTERS] for at in range(0, len(text), MAX_PART_CHARACTERS)]
        host.split_state()
        self._channel.send(
            {"is": "offer", "parts": len(parts), "checksum": checksum}, host.duplicate_listener()
        )
        for part in parts:
            self._channel.send({"is": "part", "text": part})

    def pass_client(self, fd: int) -> bool:
        """Pass a client's connection on; the descriptor is closed here. Whether there was somebody to take it."""
        if not self.connected or self._channel is None:
            os.close(fd)
            return False
        self._channel.send({"is": "client"}, fd, self._serve_unsent_client)
        return self.connected

    def _serve_unsent_client(self, fd: int) -> None:
        """The successor went before it could be given this client's connection: it is served on here."""
        assert self._host is not None
        self._host.adopt_connection(socket.socket(fileno=fd))

    def _report_open_attempts(self) -> None:
        self._report_timer = None
        if (
            self.machine.state is TakeoverState.HANDED_OVER
            and self._host is not None
            and self._channel is not None
        ):
            self._channel.send({"is": "held", "rows": self._host.count_open_attempts()[:500]})
            self._report_timer = self._loop.call_later(INFLIGHT_REPORT_SECONDS, self._report_open_attempts)

    def close(self) -> None:
        for timer in (self._report_timer, self._timer):
            if timer is not None:
                timer.cancel()
        self._stop_listening()
        self._close_channel()


class Successor(Peer):
    """Asks the process that serves for what it has."""

    def __init__(self, folder: Folder) -> None:
        super().__init__(TakeoverState.ASKING)
        self._offer_settled = asyncio.Event()
        self._offer: Offer | None = None
        self._listener: socket.socket | None = None
        self._part_count = 0  # parts of the snapshot
        self._checksum = ""
        self._parts = list[str]()
        self._early_messages = list[Message]()  # what comes before this process serves
        sock = folder.connect()
        if sock is not None and same_user(sock):
            self._channel = Channel(sock, self._receive, self._on_channel_close)
            self._channel.send({"is": "hello"})
            self._timer = self._loop.call_later(
                STATE_TIMEOUT_SECONDS[TakeoverState.ASKING], self._handle_event, TakeoverEvent.TIMEOUT
            )
        else:
            self._handle_event(TakeoverEvent.ENDED)

    async def wait_for_offer(self) -> Offer | None:
        """What there is to go on from; None where this process starts alone."""
        await self._offer_settled.wait()
        return self._offer

    def reject(self) -> None:
        """The offer cannot be used after all: the predecessor goes on, and this process starts alone."""
        log.error("takeover: the offer was rejected, this process starts alone")
        self._offer = None
        self.machine.state = TakeoverState.RECEIVING
        self._handle_event(TakeoverEvent.INVALID)

    def serve(self, host: Host) -> None:
        """From now on this process takes the connections."""
        self._host = host
        if self.machine.state is TakeoverState.SERVING and self._channel is not None:
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
                case _ if sock is not None:
                    raise ValueError(f"a descriptor where none belongs: {message.get('is')!r:.40}")
                case "part":
                    self._receive_part(message)
                case _ if self._host is None:
                    if len(self._early_messages) >= MAX_EARLY_MESSAGES:
                        raise ValueError("too much before this process serves")
                    self._early_messages.append(message)
                case _:
                    self._receive_from_predecessor(self._host, message)
        except (ValueError, TypeError, KeyError) as error:
            if sock is not None:
                sock.close()
            log.error("takeover: %s", error)
            self._handle_event(TakeoverEvent.INVALID)

    def _receive_offer(self, message: Message, listener: socket.socket | None) -> None:
        self._part_count, self._checksum = int(message["parts"]), str(message["checksum"])
        if listener is None or not 0 < self._part_count <= MAX_PARTS or self._listener is not None:
            raise ValueError("an offer without a listener, of too many parts or a second one")
        self._listener = listener
        self._handle_event(TakeoverEvent.OFFER)

    def _receive_part(self, message: Message) -> None:
        self._parts.append(str(message["text"]))
        if len(self._parts) < self._part_count or self._listener is None:
            return
        try:
            state = decode_snapshot("".join(self._parts), self._checksum)
        except SnapshotError as error:
            raise ValueError(str(error)) from None
        self._offer = Offer(self._listener, state)
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
            case kind:
                raise ValueError(f"an unknown message: {kind!r:.40}")

    def _on_channel_close(self, channel: Channel) -> None:
        self._complete_calls()
        self._handle_event(TakeoverEvent.ENDED)

    def _execute(self, action: TakeoverAction) -> None:
        match action:
            case TakeoverAction.ADOPT:
                self._offer_settled.set()
            case TakeoverAction.START:
                self._offer = None
                if self._listener is not None:
                    self._listener.close()
                self._offer_settled.set()
            case TakeoverAction.FORGET_PREDECESSOR:
                if self._host is not None:
                    self._host.set_predecessor_attempts([])
                    self._host.predecessor_ended()
            case TakeoverAction.CLOSE_CHANNEL:
                self._close_channel()
            case _:
                raise AssertionError(action)

    def close(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._close_channel()
