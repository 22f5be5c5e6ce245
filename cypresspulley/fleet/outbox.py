"""Builds datagrams: a message, the sender's own record, and as much gossip as fits. No I/O, no clock."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence

from msgspec import Raw

from cypresspulley.fleet import wire
from cypresspulley.fleet.actions import Action, Send
from cypresspulley.fleet.view import View

MAX_RESPONSE_DATAGRAMS = 24  # bound on the datagrams of one anti-entropy response
ENVELOPE_BYTES = 140  # upper bound on an envelope without its message, sender and records


class Outbox:
    """Collects the actions of one event until ``drain``; ``now`` and ``wall`` are the instants of that event."""

    def __init__(self, codec: wire.Codec, view: View, counts: Counter[str]) -> None:
        self._codec, self._view, self._counts = codec, view, counts
        self._sequence = 0
        self._actions = list[Action]()
        self._sender = view.encode_member(view.local_name)
        self.now = self.wall = 0.0

    def __repr__(self) -> str:
        return f"<Outbox: {self._sequence} datagrams in this life>"

    def drain(self) -> list[Action]:
        """Remove the collected actions and return them."""
        actions, self._actions = self._actions, []
        return actions

    def add_action(self, action: Action) -> None:
        self._actions.append(action)

    def refresh_sender(self, new_life: bool = False) -> Raw:
        """Encode this member's own record again and return it; a new life numbers its datagrams from 0."""
        self._sender = self._view.encode_member(self._view.local_name)
        if new_life:
            self._sequence = 0
        return self._sender

    def send_to_member(self, name: str, message: wire.Message) -> None:
        """Send a message to a member of the view, with gossip; an unknown name is ignored."""
        member = self._view.get(name)
        if member is not None:
            self.send_with_gossip(member.address, message)

    def send_with_gossip(self, address: str, message: wire.Message, extra: Sequence[str] = ()) -> None:
        """Send a message with gossip; the records of the members ``extra`` are always included."""
        message_bytes = wire.encode_record(message)
        member_records = [self._view.encode_member(name) for name in extra]
        space = self.record_space(message_bytes) - sum(wire.encoded_size(record) for record in member_records)
        gossip, row_records = self._view.gossip_queue.take_records(self.now, self._view, space)
        self.send(address, message_bytes, member_records + gossip, row_records)

    def record_space(self, message_bytes: Raw) -> int:
        """Return the bytes left for records after a message."""
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
        """Send one datagram with exactly these records; the caller ensures that they fit."""
        view = self._view
        wall_ms = max(0, round(self.wall * 1000))
        header = (self._sequence, wall_ms, view.digest, view.rows_digest, view.own_row_versions())
        self._sequence += 1
        data = self._codec.encode(header, self._sender, message_bytes, member_records, row_records)
        self._counts["sent"] += 1
        self._counts["sent bytes"] += len(data)
        self._actions.append(Send(address, data))

    def send_all(
        self, address: str, message: wire.Message, member_records: Sequence[Raw], row_records: Sequence[Raw]
    ) -> None:
        """Send records in as many datagrams as needed, at most ``MAX_RESPONSE_DATAGRAMS``; none without records."""
        message_bytes = wire.encode_record(message)
        full_space = self.record_space(message_bytes)
        parts: tuple[list[Raw], list[Raw]] = ([], [])
        space, sent = full_space, 0
        for kind, records in enumerate((member_records, row_records)):
            for record in records:
                if wire.encoded_size(record) > space:
                    self.send(address, message_bytes, *parts)
                    parts, space, sent = ([], []), full_space, sent + 1
                    if sent == MAX_RESPONSE_DATAGRAMS:
                        return
                parts[kind].append(record)
                space -= wire.encoded_size(record)
        if parts[0] or parts[1]:
            self.send(address, message_bytes, *parts)
