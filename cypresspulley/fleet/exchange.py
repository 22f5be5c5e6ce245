"""Anti-entropy between two members whose digests differ: compares buckets and sends records. No I/O and no clock.

    requester                                    responder
    SyncRequest (digests of 64 buckets) ------->
                                        <-------  SyncPiece ... (all records of a key range in the buckets that differ)
    SyncCorrections (missing or newer)  ------->
                                        <-------  Gossip (records that are newer than the corrections)

Each datagram is useful alone; what is lost is found by the next comparison. A response has at most
``MAX_RESPONSE_DATAGRAMS`` datagrams, which do not hold a large view: the next response to the same requester continues
behind the end of the last one, whatever the digests are by then. (Rows that are new to a requester enter its digests
only later, so that the same buckets may differ for a while.)
"""

from __future__ import annotations

from msgspec import Raw

from cypresspulley.fleet import wire
from cypresspulley.fleet.outbox import MAX_RESPONSE_DATAGRAMS, Outbox
from cypresspulley.fleet.records import Member
from cypresspulley.fleet.view import View, bucket_of
from cypresspulley.fleet.wire import Envelope, Key

PIECE_KEY_BYTES = 200  # bytes reserved for the two keys of a piece
SPREADING_PERIODS = 2  # time after a membership change in which gossip still spreads it
SPREADING_INTERVAL_PERIODS = 4  # interval of comparisons during that time
FIRST_KEY: Key = (0, "", "")
END_KEY: Key = (wire.BUCKET_COUNT, "", "")


class Exchange:
    """The running comparison of this member, and its responses to the comparisons of others."""

    def __init__(self, view: View, outbox: Outbox, period: float) -> None:
        self._view, self._outbox, self._period = view, outbox, period
        self._started_at = float("-inf")
        self._pending = 0  # number of the running comparison; 0 without one
        self._covered_to = FIRST_KEY  # end of the last response; ``FIRST_KEY`` if it was complete
        self._cursors = dict[str, Key]()  # by requester: end of an incomplete response

    def __repr__(self) -> str:
        return f"<Exchange, comparison {self._pending} running>"

    def may_start(self, joining: bool) -> bool:
        """Return whether a comparison may start: one a period, fewer while gossip still spreads a change."""
        now = self._outbox.now
        spreading = now - self._view.members_changed_at < SPREADING_PERIODS * self._period and not joining
        return now - self._started_at >= (SPREADING_INTERVAL_PERIODS if spreading else 1) * self._period

    def start(self, number: int, address: str) -> None:
        self._started_at, self._pending = self._outbox.now, number
        self._outbox.send_with_gossip(address, wire.SyncRequest(number, self._view.bucket_digests()))

    def on_sync_request(self, envelope: Envelope) -> None:
        """Send the records of the buckets that differ, in pieces, from the end of the last response."""
        request, requester, outbox = envelope.message, envelope.sender, self._outbox
        assert isinstance(request, wire.SyncRequest)
        address, mask = requester.address, self._view.differing_buckets(request.buckets)
        after = self._cursors.pop(requester.name, FIRST_KEY)
        space = (
            outbox.record_space(
                wire.encode_record(wire.SyncPiece(request.number, 2**64 - 1, FIRST_KEY, END_KEY, False))
            )
            - PIECE_KEY_BYTES
        )
        member_records, row_records, used, sent, up_to = list[Raw](), list[Raw](), 0, 0, after
        for key in self._view.list_keys(mask):
            if key <= after:
                continue
            record = (
                self._view.encode_row(outbox.now, *key[1:]) if key[2] else self._view.encode_member(key[1])
            )
            if record is None:
                continue
            if used + wire.encoded_size(record) > space:
                sent += 1
                is_last = sent == MAX_RESPONSE_DATAGRAMS
                piece = wire.SyncPiece(request.number, mask, after, up_to, is_last)
                outbox.send(address, wire.encode_record(piece), member_records, row_records)
                if is_last:
                    self._cursors[requester.name] = up_to
                    return
                after, member_records, row_records, used = up_to, [], [], 0
            (row_records if key[2] else member_records).append(record)
            used += wire.encoded_size(record)
            up_to = key
        outbox.send(
            address,
            wire.encode_record(wire.SyncPiece(request.number, mask, after, END_KEY, True)),
            member_records,
            row_records,
        )

    def accept_piece(self, piece: wire.SyncPiece) -> bool:
        """Return whether the piece belongs to the running comparison, which the last piece ends."""
        if piece.number != self._pending:
            return False
        if piece.last:
            self._pending = 0
        return True

    def has_more(self, last: wire.SyncPiece) -> bool:
        """Return whether records remain behind the last piece of a response that got further than the one before.

        A responder that starts from the first key each time would otherwise be asked forever.
        """
        previous, self._covered_to = self._covered_to, last.up_to if last.up_to < END_KEY else FIRST_KEY
        return previous < self._covered_to

    def forget(self, name: str) -> None:
        """Restart responses to this member, which has ended or has a new life, from the first key."""
        self._cursors.pop(name, None)

    def on_sync_piece(self, envelope: Envelope) -> None:
        """Reply with the records of the piece's key range that the sender lacks or holds in an older version."""
        piece, view = envelope.message, self._view
        assert isinstance(piece, wire.SyncPiece)
        received = {entry.name: entry.member() for entry in envelope.member_records}
        rows = {(row.owner, row.subsystem): row for row in envelope.row_records}
        candidates = [key for key in view.list_keys(piece.mask) if piece.after < key <= piece.up_to]
        covered = {name for _, name, _ in candidates}
        candidates += [(bucket_of(name), name, "") for name in received if name not in covered]
        member_records, row_records = list[Raw](), list[Raw]()
        for _, name, subsystem in candidates:
            if subsystem and view.has_newer_row(name, subsystem, rows.get((name, subsystem))):
                if (record := view.encode_row(self._outbox.now, name, subsystem)) is not None:
                    row_records.append(record)
            elif not subsystem and self._knows_newer(name, received.get(name)):
                member_records.append(view.encode_member(name))
        self._outbox.send_all(envelope.sender.address, wire.SyncCorrections(), member_records, row_records)

    def on_sync_corrections(self, envelope: Envelope) -> None:
        """Reply with member records that are newer than the corrections."""
        newer = [
            self._view.encode_member(record.name)
            for record in envelope.member_records
            if self._knows_newer(record.name, record.member())
        ]
        self._outbox.send_all(envelope.sender.address, wire.Gossip(), newer, [])

    def _knows_newer(self, name: str, received: Member | None) -> bool:
        known = self._view.get(name)
        return known is not None and (received is None or known.rank > received.rank)
