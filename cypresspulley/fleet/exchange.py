"""Whole exchange between two members whose digests differ: compare by buckets, pieces, amends. No I/O and no clock.

    asker                                      asked
    Compare (digests of 64 buckets)  ------->
                                     <-------  Piece ... (all it holds in the buckets that differ, whole in a range)
    Amend (what the pieces lacked)   ------->
                                     <-------  Gossip (what it knows better of what it was amended)

Each datagram is of use alone; whatever is lost is compared again. One answer has ``MOST_PIECES`` datagrams at most, and
a large view does not fit in: the next answer to the same asker goes on behind the last one's end, whatever the digests
say by then. (Rows that are new to an asker count for its digests only later: the same buckets may differ for a while.)
"""

from __future__ import annotations

from msgspec import Raw

from cypresspulley.fleet import wire
from cypresspulley.fleet.outbox import MAX_RESPONSE_DATAGRAMS, Outbox
from cypresspulley.fleet.records import Member
from cypresspulley.fleet.view import View, bucket_of
from cypresspulley.fleet.wire import Envelope, Key

PIECE_KEY_BYTES = 200  # bytes that two keys of a piece may take
SPREADING_PERIODS = 2  # periods after a change in which others still hear of it
SPREADING_INTERVAL_PERIODS = 4  # periods between comparisons meanwhile
FIRST_KEY: Key = (0, "", "")
END_KEY: Key = (wire.BUCKET_COUNT, "", "")


class Exchange:
    """This member's comparison that is under way, and its answers to others'."""

    def __init__(self, view: View, outbox: Outbox, period: float) -> None:
        self._view, self._outbox, self._period = view, outbox, period
        self._started_at = float("-inf")
        self._pending = 0  # number of the comparison that is under way
        self._covered_to = FIRST_KEY  # where the last answer here ended; ``START`` where it was whole
        self._cursors = dict[str, Key]()  # by asker, of its present life: where my last answer stopped short

    def __repr__(self) -> str:
        return f"<Exchange, comparison {self._pending} under way>"

    def may_start(self, joining: bool) -> bool:
        """Whether a comparison may begin: one a period, fewer while news is on its way anyhow."""
        now = self._outbox.now
        moving = now - self._view.members_changed_at < SPREADING_PERIODS * self._period and not joining
        return now - self._started_at >= (SPREADING_INTERVAL_PERIODS if moving else 1) * self._period

    def start(self, number: int, address: str) -> None:
        self._started_at, self._pending = self._outbox.now, number
        self._outbox.send_with_gossip(address, wire.SyncRequest(number, self._view.bucket_digests()))

    def on_sync_request(self, envelope: Envelope) -> None:
        """Answer with all that I hold in the buckets that differ, in pieces, behind what my last answer got to."""
        compare, asker, out = envelope.message, envelope.sender, self._outbox
        assert isinstance(compare, wire.SyncRequest)
        address, mask = asker.address, self._view.differing_buckets(compare.buckets)
        after = self._cursors.pop(asker.name, FIRST_KEY)
        room = (
            out.record_room(
                wire.encode_record(wire.SyncPiece(compare.number, 2**64 - 1, FIRST_KEY, END_KEY, False))
            )
            - PIECE_KEY_BYTES
        )
        member_records, row_records, used, sent, up_to = list[Raw](), list[Raw](), 0, 0, after
        for key in self._view.list_keys(mask):
            if key <= after:
                continue
            record = self._view.encode_row(out.now, *key[1:]) if key[2] else self._view.encode_member(key[1])
            if record is None:
                continue
            if used + wire.encoded_size(record) > room:
                sent += 1
                done = sent == MAX_RESPONSE_DATAGRAMS
                piece = wire.SyncPiece(compare.number, mask, after, up_to, done)
                out.send(address, wire.encode_record(piece), member_records, row_records)
                if done:
                    self._cursors[asker.name] = up_to
                    return
                after, member_records, row_records, used = up_to, [], [], 0
            (row_records if key[2] else member_records).append(record)
            used += wire.encoded_size(record)
            up_to = key
        out.send(
            address,
            wire.encode_record(wire.SyncPiece(compare.number, mask, after, END_KEY, True)),
            member_records,
            row_records,
        )

    def accept_piece(self, piece: wire.SyncPiece) -> bool:
        """Whether it is of the comparison that is under way, which ends with the last."""
        if piece.number != self._pending:
            return False
        if piece.last:
            self._pending = 0
        return True

    def has_more(self, last: wire.SyncPiece) -> bool:
        """Whether there is more behind the last piece of an answer, and it came further than the answer before: one who
        always begins at the start would be asked for ever."""
        before, self._covered_to = self._covered_to, last.up_to if last.up_to < END_KEY else FIRST_KEY
        return before < self._covered_to

    def forget(self, name: str) -> None:
        """A member of that name has ended, or has a new life."""
        self._cursors.pop(name, None)

    def on_sync_piece(self, envelope: Envelope) -> None:
        """Answer with what I hold better in the range that the piece is whole in."""
        piece, view = envelope.message, self._view
        assert isinstance(piece, wire.SyncPiece)
        received = {entry.name: entry.member() for entry in envelope.member_records}
        rows = {(cell.owner, cell.subsystem): cell for cell in envelope.row_records}
        better = [key for key in view.list_keys(piece.mask) if piece.after < key <= piece.up_to]
        covered = {name for _, name, _ in better}
        better += [(bucket_of(name), name, "") for name in received if name not in covered]
        member_records, row_records = list[Raw](), list[Raw]()
        for _, name, subsystem in better:
            if subsystem and view.has_newer_row(name, subsystem, rows.get((name, subsystem))):
                if (record := view.encode_row(self._outbox.now, name, subsystem)) is not None:
                    row_records.append(record)
            elif not subsystem and self._knows_newer(name, received.get(name)):
                member_records.append(view.encode_member(name))
        self._outbox.send_all(envelope.sender.address, wire.SyncCorrections(), member_records, row_records)

    def on_sync_corrections(self, envelope: Envelope) -> None:
        better = [
            self._view.encode_member(e.name)
            for e in envelope.member_records
            if self._knows_newer(e.name, e.member())
        ]
        self._outbox.send_all(envelope.sender.address, wire.Gossip(), better, [])

    def _knows_newer(self, name: str, received: Member | None) -> bool:
        held = self._view.get(name)
        return held is not None and (received is None or held.rank > received.rank)
