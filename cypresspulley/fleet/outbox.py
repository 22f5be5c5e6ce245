"""Lays out datagrams: a message, this member itself, and as much news beside it as there is room. No I/O, no clock."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence

from msgspec import Raw

from cypresspulley.fleet import wire
from cypresspulley.fleet.actions import Action, Send
from cypresspulley.fleet.view import View

MAX_RESPONSE_DATAGRAMS = 24  # datagrams of one answer
ENVELOPE_BYTES = 140  # bytes: more than an envelope takes beside its message, its sender and the records


class Outbox:
    """Actions gather in it until ``empty``. ``now`` and ``wall`` are the instants of the event that is handled."""

    def __init__(self, codec: wire.Codec, view: View, counts: Counter[str]) -> None:
        self._codec, self._view, self._counts = codec, view, counts
        self._number = 0
        self._actions = list[Action]()
        self._me = view.encode_member(view.local_name)
        self.now = self.wall = 0.0

    def __repr__(self) -> str:
        return f"<Outbox: {self._number} datagrams in this life>"

    def empty(self) -> list[Action]:
        done, self._actions = self._actions, []
        return done

    def act(self, action: Action) -> None:
        self._actions.append(action)

    def introduce(self, new_life: bool = False) -> Raw:
        """Take this member's own record anew from the view; a new life counts its datagrams from 0."""
        self._me = self._view.encode_member(self._view.local_name)
        if new_life:
            self._number = 0
        return self._me

    def say(self, name: str, message: wire.Message) -> None:
        """Send to a member of the view."""
        member = self._view.get(name)
        if member is not None:
            self.post(member.address, message)

    def post(self, address: str, message: wire.Message, first: Sequence[str] = ()) -> None:
        """Send with news beside it; ``first`` are members whose records go in any case."""
        told = wire.encode_record(message)
        entries = [self._view.encode_member(name) for name in first]
        room = self.room(told) - sum(wire.encoded_size(entry) for entry in entries)
        news, cells = self._view.gossip_queue.take(self.now, self._view, room)
        self.send(address, told, entries + news, cells)

    def room(self, told: Raw) -> int:
        """Bytes for records beside a message."""
        return (
            wire.MAX_DATAGRAM_BYTES
            - wire.HEADER_BYTES
            - ENVELOPE_BYTES
            - wire.encoded_size(self._me)
            - wire.encoded_size(told)
        )

    def send(self, address: str, told: Raw, entries: Sequence[Raw], cells: Sequence[Raw]) -> None:
        view = self._view
        wall = max(0, round(self.wall * 1000))
        head = (self._number, wall, view.digest, view.rows_digest, view.own_row_versions())
        self._number += 1
        data = self._codec.encode(head, self._me, told, entries, cells)
        self._counts["sent"] += 1
        self._counts["sent bytes"] += len(data)
        self._actions.append(Send(address, data))

    def send_all(
        self, address: str, message: wire.Message, entries: Sequence[Raw], cells: Sequence[Raw]
    ) -> None:
        """Send all of the records, in as many datagrams as it takes, ``MOST_PIECES`` at most; none where none are."""
        told = wire.encode_record(message)
        whole = self.room(told)
        parts: tuple[list[Raw], list[Raw]] = ([], [])
        room, sent = whole, 0
        for kind, records in enumerate((entries, cells)):
            for record in records:
                if wire.encoded_size(record) > room:
                    self.send(address, told, *parts)
                    parts, room, sent = ([], []), whole, sent + 1
                    if sent == MAX_RESPONSE_DATAGRAMS:
                        return
                parts[kind].append(record)
                room -= wire.encoded_size(record)
        if parts[0] or parts[1]:
            self.send(address, told, *parts)
