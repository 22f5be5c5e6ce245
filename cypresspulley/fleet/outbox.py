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
        self._sequence = 0
        self._actions = list[Action]()
        self._sender = view.encode_member(view.local_name)
        self.now = self.wall = 0.0

    def __repr__(self) -> str:
        return f"<Outbox: {self._sequence} datagrams in this life>"

    def drain(self) -> list[Action]:
        done, self._actions = self._actions, []
        return done

    def add_action(self, action: Action) -> None:
        self._actions.append(action)

    def refresh_sender(self, new_life: bool = False) -> Raw:
        """Take this member's own record anew from the view; a new life counts its datagrams from 0."""
        self._sender = self._view.encode_member(self._view.local_name)
        if new_life:
            self._sequence = 0
        return self._sender

    def send_to_member(self, name: str, message: wire.Message) -> None:
        """Send to a member of the view."""
        member = self._view.get(name)
        if member is not None:
            self.send_with_gossip(member.address, message)

    def send_with_gossip(self, address: str, message: wire.Message, extra: Sequence[str] = ()) -> None:
        """Send with news beside it; ``first`` are members whose records go in any case."""
        message_bytes = wire.encode_record(message)
        member_records = [self._view.encode_member(name) for name in extra]
        room = self.record_room(message_bytes) - sum(wire.encoded_size(entry) for entry in member_records)
        news, row_records = self._view.gossip_queue.take(self.now, self._view, room)
        self.send(address, message_bytes, member_records + news, row_records)

    def record_room(self, message_bytes: Raw) -> int:
        """Bytes for records beside a message."""
        return (
            wire.MAX_DATAGRAM_BYTES
            - wire.HEADER_BYTES
            - ENVELOPE_BYTES
            - wire.encoded_size(self._sender)
            - wire.encoded_size(message_bytes)
        )

    def send(
        self, address: str, message_bytes: Raw, member_records: Sequence[Raw], row_records: Sequence[Raw]
    ) -> None:
        view = self._view
        wall = max(0, round(self.wall * 1000))
        head = (self._sequence, wall, view.digest, view.rows_digest, view.own_row_versions())
        self._sequence += 1
        data = self._codec.encode(head, self._sender, message_bytes, member_records, row_records)
        self._counts["sent"] += 1
        self._counts["sent bytes"] += len(data)
        self._actions.append(Send(address, data))

    def send_all(
        self, address: str, message: wire.Message, member_records: Sequence[Raw], row_records: Sequence[Raw]
    ) -> None:
        """Send all of the records, in as many datagrams as it takes, ``MOST_PIECES`` at most; none where none are."""
        message_bytes = wire.encode_record(message)
        whole = self.record_room(message_bytes)
        parts: tuple[list[Raw], list[Raw]] = ([], [])
        room, sent = whole, 0
        for kind, records in enumerate((member_records, row_records)):
            for record in records:
                if wire.encoded_size(record) > room:
                    self.send(address, message_bytes, *parts)
                    parts, room, sent = ([], []), whole, sent + 1
                    if sent == MAX_RESPONSE_DATAGRAMS:
                        return
                parts[kind].append(record)
                room -= wire.encoded_size(record)
        if parts[0] or parts[1]:
            self.send(address, message_bytes, *parts)
