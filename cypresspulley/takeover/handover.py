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
        self._number = 0
        self._late: asyncio.TimerHandle | None = None

    def __repr__(self) -> str:
        return f"<{type(self).__name__} {self.machine.state.value}>"

    @property
    def connected(self) -> bool:
        return self._channel is not None and self._channel.is_open

    async def forward_call(self, name: str, id: str) -> bool:
        """Have a call in force in the other process too; whether it is, or there is no other."""
        if not self.connected or self._channel is None:
            return True
        self._number = number = self._number + 1
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

    def _call(self, message: Message) -> None:
        number, name, id = message.get("n"), message.get("name"), message.get("id")
        if not isinstance(number, int) or not isinstance(name, str) or not isinstance(id, str):
            raise ValueError("a call without number, name and id")
        assert self._host is not None and self._channel is not None
        self._host.apply_call(name, id, self)
        self._channel.send({"is": "done", "n": number})

    def _done(self, message: Message) -> None:
        if (done := self._calls.pop(message.get("n", 0), None)) is not None and not done.done():
            done.set_result(None)

    def _hung_up(self) -> None:
        """Calls that wait for a process that is no more are in force where they need to be."""
        calls, self._calls = self._calls, {}
        for done in calls.values():
            if not done.done():
                done.set_result(None)

    def _wait(self, heard: TakeoverEvent) -> None:
        """The table moves on; the wait of the state that is reached begins."""
        if self._late is not None:
            self._late.cancel()
            self._late = None
        before = self.machine.state
        for step in self.machine.handle(heard):
            self._do(step)
        if self.machine.state is not before:
            log.info("takeover: %s, now %s", heard.value, self.machine.state.value)
        if (wait := STATE_TIMEOUT_SECONDS.get(self.machine.state)) is not None:
            self._late = self._loop.call_later(wait, self._wait, TakeoverEvent.TIMEOUT)

    def _do(self, step: TakeoverAction) -> None:
        raise NotImplementedError

    def _drop(self) -> None:
        if self._channel is not None:
            self._channel.close(silent=True)
        self._hung_up()


class Predecessor(Peer):
    """Waits for a successor, all the life of a process."""

    def __init__(self, host: Host, folder: Folder) -> None:
        super().__init__(TakeoverState.WATCHING)
        self._host = host
        self._folder = folder
        self._sock: socket.socket | None = None
        self._telling: asyncio.TimerHandle | None = None
        self._watch()

    def _watch(self) -> None:
        self._unwatch()
        try:
            self._sock = self._folder.listen()
        except OSError as error:
            return log.error("takeover: no successor will find this process: %s", error)
        self._loop.add_reader(self._sock.fileno(), self._came)

    def _unwatch(self) -> None:
        if self._sock is not None:
            self._loop.remove_reader(self._sock.fileno())
            self._sock.close()
            self._sock = None

    def _came(self) -> None:
        assert self._sock is not None
        try:
            sock, _ = self._sock.accept()
        except OSError:
            return
        if self.connected or not same_user(sock):
            return sock.close()  # one successor at a time
        self._channel = Channel(sock, self._heard, self._ended)
        self._late = self._loop.call_later(
            STATE_TIMEOUT_SECONDS[TakeoverState.ASKING], self._wait, TakeoverEvent.TIMEOUT
        )  # it must say hello

    def _heard(self, channel: Channel, message: Message, fd: int | None) -> None:
        if fd is not None:
            os.close(fd)  # a successor has none to give
        try:
            match message.get("is"):
                case "hello":
                    self._wait(TakeoverEvent.HELLO)
                case "serving":
                    self._wait(TakeoverEvent.SERVING)
                case "call":
                    self._call(message)
                case "done":
                    self._done(message)
                case _:
                    self._wait(TakeoverEvent.INVALID)
        except ValueError as error:
            log.error("takeover: %s", error)
            self._wait(TakeoverEvent.INVALID)

    def _ended(self, channel: Channel) -> None:
        if channel is self._channel:
            self._hung_up()
            self._wait(TakeoverEvent.ENDED)

    def _do(self, step: TakeoverAction) -> None:
        host = self._host
        assert host is not None
        match step:
            case TakeoverAction.PAUSE:
                host.pause()
            case TakeoverAction.OFFER:
                self._offer(host)
            case TakeoverAction.HAND_OVER:
                self._unwatch()  # the successor is who the next one finds
                host.set_successor(self)
                self._tell_held()
            case TakeoverAction.TAKE_BACK:
                host.undo_split(whole=True)
            case TakeoverAction.RESUME:
                # Nothing to undo where all was taken back; else what was given may have been drawn.
                host.undo_split(whole=False)
                host.set_successor(None)
                host.resume()
                self._watch()
            case TakeoverAction.CLOSE_CHANNEL:
                self._drop()
            case _:
                raise AssertionError(step)

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
        self._channel.send({"is": "client"}, fd, self._unsent)
        return self.connected

    def _unsent(self, fd: int) -> None:
        """The successor went before it could be given this client's connection: it is served on here."""
        assert self._host is not None
        self._host.adopt_connection(socket.socket(fileno=fd))

    def _tell_held(self) -> None:
        self._telling = None
        if (
            self.machine.state is TakeoverState.HANDED_OVER
            and self._host is not None
            and self._channel is not None
        ):
            self._channel.send({"is": "held", "rows": self._host.count_open_attempts()[:500]})
            self._telling = self._loop.call_later(INFLIGHT_REPORT_SECONDS, self._tell_held)

    def close(self) -> None:
        for timer in (self._telling, self._late):
            if timer is not None:
                timer.cancel()
        self._unwatch()
        self._drop()


class Successor(Peer):
    """Asks the process that serves for what it has."""

    def __init__(self, folder: Folder) -> None:
        super().__init__(TakeoverState.ASKING)
        self._settled = asyncio.Event()
        self._offer: Offer | None = None
        self._listener: socket.socket | None = None
        self._wanted = 0  # parts of the snapshot
        self._checksum = ""
        self._parts = list[str]()
        self._early = list[Message]()  # what comes before this process serves
        sock = folder.connect()
        if sock is not None and same_user(sock):
            self._channel = Channel(sock, self._heard, self._ended)
            self._channel.send({"is": "hello"})
            self._late = self._loop.call_later(
                STATE_TIMEOUT_SECONDS[TakeoverState.ASKING], self._wait, TakeoverEvent.TIMEOUT
            )
        else:
            self._wait(TakeoverEvent.ENDED)

    async def wait_for_offer(self) -> Offer | None:
        """What there is to go on from; None where this process starts alone."""
        await self._settled.wait()
        return self._offer

    def reject(self) -> None:
        """The offer cannot be used after all: the predecessor goes on, and this process starts alone."""
        log.error("takeover: the offer was rejected, this process starts alone")
        self._offer = None
        self.machine.state = TakeoverState.RECEIVING
        self._wait(TakeoverEvent.INVALID)

    def serve(self, host: Host) -> None:
        """From now on this process takes the connections."""
        self._host = host
        if self.machine.state is TakeoverState.SERVING and self._channel is not None:
            self._channel.send({"is": "serving"})
        early, self._early = self._early, []
        for message in early:
            self._from_predecessor(host, message)
        if self.machine.state is TakeoverState.ALONE:
            host.predecessor_ended()

    def _heard(self, channel: Channel, message: Message, fd: int | None) -> None:
        sock = socket.socket(fileno=fd) if fd is not None else None
        try:
            match message.get("is"):
                case "offer":
                    self._begin(message, sock)
                case "client" if self._host is not None and sock is not None:
                    self._host.adopt_connection(sock)
                case _ if sock is not None:
                    raise ValueError(f"a descriptor where none belongs: {message.get('is')!r:.40}")
                case "part":
                    self._part(message)
                case _ if self._host is None:
                    if len(self._early) >= MAX_EARLY_MESSAGES:
                        raise ValueError("too much before this process serves")
                    self._early.append(message)
                case _:
                    self._from_predecessor(self._host, message)
        except (ValueError, TypeError, KeyError) as error:
            if sock is not None:
                sock.close()
            log.error("takeover: %s", error)
            self._wait(TakeoverEvent.INVALID)

    def _begin(self, message: Message, listener: socket.socket | None) -> None:
        self._wanted, self._checksum = int(message["parts"]), str(message["checksum"])
        if listener is None or not 0 < self._wanted <= MAX_PARTS or self._listener is not None:
            raise ValueError("an offer without a listener, of too many parts or a second one")
        self._listener = listener
        self._wait(TakeoverEvent.OFFER)

    def _part(self, message: Message) -> None:
        self._parts.append(str(message["text"]))
        if len(self._parts) < self._wanted or self._listener is None:
            return
        try:
            state = decode_snapshot("".join(self._parts), self._checksum)
        except SnapshotError as error:
            raise ValueError(str(error)) from None
        self._offer = Offer(self._listener, state)
        self._wait(TakeoverEvent.OFFER_COMPLETE)

    def _from_predecessor(self, host: Host, message: Message) -> None:
        match message.get("is"):
            case "held":
                host.set_predecessor_attempts(
                    [(str(plan), str(account), int(n)) for plan, account, n in message["rows"]]
                )
            case "call":
                self._call(message)
            case "done":
                self._done(message)
            case kind:
                raise ValueError(f"an unknown message: {kind!r:.40}")

    def _ended(self, channel: Channel) -> None:
        self._hung_up()
        self._wait(TakeoverEvent.ENDED)

    def _do(self, step: TakeoverAction) -> None:
        match step:
            case TakeoverAction.ADOPT:
                self._settled.set()
            case TakeoverAction.START:
                self._offer = None
                if self._listener is not None:
                    self._listener.close()
                self._settled.set()
            case TakeoverAction.FORGET_PREDECESSOR:
                if self._host is not None:
                    self._host.set_predecessor_attempts([])
                    self._host.predecessor_ended()
            case TakeoverAction.CLOSE_CHANNEL:
                self._drop()
            case _:
                raise AssertionError(step)

    def close(self) -> None:
        if self._late is not None:
            self._late.cancel()
        self._drop()
