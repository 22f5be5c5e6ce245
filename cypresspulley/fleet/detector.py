"""The failure detector: maps events (datagrams, timers) to actions (datagrams, changes of the view). No I/O, no clock.

Records of other members and their transitions (SWIM; Lifeguard for suspicion and local health). A claim takes effect
only if its rank is larger than the rank held. "reported" is a claim by another member, "announces" one by the member
itself:

    held           event                                             held afterwards
    -------------  ------------------------------------------------  ----------------------------------------------
    unknown        announced or reported joining, alive, leaving or  that state
                   suspected
    unknown        reported left or dead                             that state (a tombstone)
    joining        announces alive                                   alive
    joining,alive  a probe fails, direct and indirect                suspected, by this member
    joining,alive  reported suspected                                suspected, by the reporter
    joining,alive  reported dead                                     suspected, for a shorter time (see
                                                                     ``timing.reported_death_periods``)
    joining,alive  announces leaving (incarnation + 1)               leaving
    suspected      announces alive with a larger incarnation         alive (refuted)
    suspected      one more accuser, or a probe of its own fails     suspected, for a shorter time
    suspected      reported dead                                     suspected, for the shorter time at most
    suspected      the suspicion ends and no stall was recent        dead
    leaving        a probe fails, direct and indirect                leaving, unreachable; others are not notified
    leaving        unreachable, then heard from or reached by a      leaving, reachable
                   helper
    leaving        unreachable for the time of a suspicion, without  left: a leaving member is never suspected or dead
                   a recent stall
    leaving        announced or reported left                        left
    left, dead     announced or reported with a larger life          that state: an end is final in a life (SWIM's
                                                                     confirm)
    any            a larger life                                     the state of that life's record

The record of the member itself:

    joining        another member's whole view received, or no seed  alive
    any            reported suspected                                same state, incarnation above the reported one
    any            reported left or dead                             same state, in a life one above its own
    any            a later life of its own name is reported          same state, a life one above the reported one
    joining,alive  ``LeaveRequested``                                leaving, incarnation + 1
    any            ``Stopped``                                       left; nothing is sent or received from then on

Only a member itself raises its incarnation or life. Because a reported death is first held as a suspicion, the member
can refute it before each view that hears of it accepts it: no single member, slow or faulty, can kill another one.

A leaving member drains and answers for seconds, so that one probe lost under datagram loss means no more for it than
for any other member. Its unreachability is not disseminated, and any datagram from it in this life ends it; it need not
refute what was never disseminated. If it counted as left at once, it would be absent from views while it still works
and then present again by its own refutation.

A process that was stalled (its timers come late) has no ground to accuse: it drops its open probes, extends its
suspicions by the lost time and lowers its local health for a while.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from random import Random

from cypresspulley.fleet import timing, wire
from cypresspulley.fleet.actions import (
    Action,
    DatagramReceived,
    Event,
    LeaveRequested,
    LifeRaised,
    MemberChanged,
    RowAccepted,
    Settled,
    Started,
    Stopped,
    TimerFired,
)
from cypresspulley.fleet.clocks import ClockEstimates
from cypresspulley.fleet.documents import Documents
from cypresspulley.fleet.exchange import Exchange
from cypresspulley.fleet.outbox import Outbox
from cypresspulley.fleet.peers import Peers
from cypresspulley.fleet.probes import AbsentContacts, Probes, Relay
from cypresspulley.fleet.records import Member, MemberState
from cypresspulley.fleet.suspicion import Suspicions
from cypresspulley.fleet.timers import LocalHealth, Timers
from cypresspulley.fleet.view import View
from cypresspulley.fleet.wire import Envelope

MAX_CLOCK_DIFFERENCE_SECONDS = 24 * 3600.0  # of wall clocks; other datagrams are stale
MAX_LIFE_INCREASES = 8  # beyond it, another process evidently uses this name
DEAD_RECALL_SECONDS = 3600.0  # time after a death during which the member is still pinged
GOSSIP_FANOUT = 2  # gossip datagrams a period
LEAVE_FANOUT = 8  # members that this one notifies directly when it leaves


class Detector:
    """The detector of one member. ``handle`` takes all events in order; ``due`` is the instant of the next timer.

    ``period`` is in seconds; ``seeds`` are addresses and may include its own. All randomness is from ``rng``.
    """

    def __init__(
        self, me: Member, codec: wire.Codec, seeds: tuple[str, ...], period: float, rng: Random
    ) -> None:
        self.view = View(me)
        self.clocks = ClockEstimates()
        self.documents = Documents()
        self.counts = Counter[str]()  # datagrams sent, accepted, and dropped by cause
        self.health = LocalHealth()
        self.peers = Peers(self.view)
        self._codec = codec
        self._timers = Timers(period)
        self._probes = Probes(self.view, rng)
        self._contacts = AbsentContacts(
            tuple(seed for seed in dict.fromkeys(seeds) if seed != me.address), rng
        )
        self._suspicions = Suspicions(period)
        self._outbox = Outbox(codec, self.view, self.counts)
        self._exchange = Exchange(self.view, self._outbox, period)

    def __repr__(self) -> str:
        return f"<Detector {self.view!r}, {self.health!r}, {self._suspicions!r}>"

    @property
    def has_left(self) -> bool:
        """Whether this member has stopped; it handles no further events."""
        return self.view.local_member.state is MemberState.LEFT

    @property
    def due(self) -> float:
        """The instant of the next ``TimerFired``; infinity before ``Started`` and after ``Stopped``."""
        return float("inf") if self.has_left else self._timers.next_due

    def handle(self, now: float, wall: float, event: Event) -> list[Action]:
        """Handle an event at ``now`` (monotonic seconds) and ``wall`` (Unix seconds); return the actions to take."""
        if self.has_left:
            return []
        self._outbox.now, self._outbox.wall = now, wall
        if stall := self._timers.absorb_stall(now):
            self._probes.stop_accusing()
            self._suspicions.postpone(stall)
            self.health.record_stall(now, stall, self._timers.period)
            self.counts["stalls"] += 1
        match event:
            case DatagramReceived(data):
                self._receive_datagram(data)
            case TimerFired():
                while timer := self._timers.pop_due(now):
                    _TIMER_HANDLERS[timer[0]](self, timer[1])
            case Started():
                self._start()
            case LeaveRequested():
                self._announce_leaving()
            case Stopped():
                self._announce_left()
        return self._outbox.drain()

    def is_settled(self) -> bool:
        """Return whether the last digest reported by every other present member equals the local one."""
        return self.view.local_member.state is not MemberState.JOINING and self.peers.all_agree()

    @property
    def _now(self) -> float:
        return self._outbox.now

    def _schedule_after(self, periods: float, kind: str, key: str = "") -> None:
        self._timers.schedule_after(self._now, periods, kind, key)

    # Joining and leaving

    def _start(self) -> None:
        self._outbox.refresh_sender()  # the view may have been filled before the start
        self._report_change(self.view.local_member, "self")
        self._schedule_after(self._probes.random_phase(), "period")
        if self._contacts.seeds:
            self._ping_seeds("")
        else:
            self._finish_joining()

    def _ping_seeds(self, _: str) -> None:
        """Ping some seeds, with exponential backoff, until another member is present and joining is over."""
        if self.view.present_count > 1 and self.view.local_member.state is not MemberState.JOINING:
            return
        for address in self._contacts.sample_seeds():
            self._ping("", address, accuses=False)
        self._schedule_after(self._contacts.next_retry_periods(), "seed")

    def _finish_joining(self) -> None:
        if self.view.local_member.state is MemberState.JOINING:
            self._update_self(replace(self.view.local_member, state=MemberState.ALIVE), "self")

    def _announce_leaving(self) -> None:
        me = self.view.local_member
        if me.state < MemberState.LEAVING:
            self._update_self(replace(me, incarnation=me.incarnation + 1, state=MemberState.LEAVING), "self")
            self._announce_departure()

    def _announce_left(self) -> None:
        me = self.view.local_member
        incarnation = me.incarnation + (me.state < MemberState.LEAVING)
        self._update_self(replace(me, incarnation=incarnation, state=MemberState.LEFT), "self")
        self._announce_departure()

    def _announce_departure(self) -> None:
        """Send the own record to some members directly; gossip carries it to the rest."""
        for name in self._probes.sample_others(LEAVE_FANOUT):
            self._outbox.send_to_member(name, wire.Gossip())

    def _update_self(self, me: Member, cause: str) -> None:
        """Store a new record of this member and disseminate it."""
        is_new_life = me.life != self.view.local_member.life
        self.view.store(self._now, me)
        record = self._outbox.refresh_sender(is_new_life)
        if is_new_life:
            self.view.republish_rows(self._now)
            self._outbox.add_action(
                LifeRaised(me.life, self.view.all_other_members(), self._settled_action())
            )
        self.view.gossip_queue.add((me.name, ""), record)
        self._report_change(me, cause)

    # Probe periods

    def _on_period(self, _: str) -> None:
        self._schedule_after(1, "period")
        self._contacts.periods += 1
        self.view.refresh(self._now)
        if target := self._probes.next_target():
            self._ping(target, self._address(target))
        if len(self.view.gossip_queue):
            for name in self._probes.sample_others(GOSSIP_FANOUT):
                self._outbox.send_to_member(name, wire.Gossip())
        recently_changed = (
            self._now - self.view.members_changed_at <= timing.DIGEST_CHECK_PERIODS * self._timers.period
        )
        if recently_changed and not self._suspicions:  # a running suspicion changes the digest again
            for name in self.peers.list_differing(timing.DIGEST_CHECKS_PER_PERIOD):
                self._ping(name, self._address(name), accuses=False)
        if self._contacts.periods % timing.RECALL_PERIODS == 0:
            self._ping_absent()
        for digest in self.documents.start_period():
            self._request_parts(digest)
        self._report_settled()

    def _ping_absent(self) -> None:
        """Ping a member or seed that is not in the view, so that the end of a partition is noticed."""
        dead = [(m.name, m.address) for m in self.view.recently_dead(self._now, DEAD_RECALL_SECONDS)]
        present = {m.address for m in self.view.members()} if self._contacts.seeds else set()
        if contact := self._contacts.choose_absent(dead, present):
            self._ping(*contact, accuses=False)
        for name in self.peers.list_forgotten():  # their tombstones were removed
            self._forget_peer(name)

    def _report_settled(self) -> None:
        settled = self.is_settled()
        if settled != self.peers.reported_settled:
            self.peers.reported_settled = settled
            self._outbox.add_action(self._settled_action())

    def _settled_action(self) -> Settled:
        return Settled(self.is_settled(), self.view.digest, self.view.present_count)

    def _address(self, name: str) -> str:
        member = self.view.get(name)
        return "" if member is None else member.address

    # Probes

    def _ping(self, name: str, address: str, accuses: bool = True) -> None:
        nonce = self._probes.start(self._now, self._timers.next_number(), name, accuses)
        timeout_factor = 1 + self.health.score
        if accuses:
            self._schedule_after(timing.DIRECT_TIMEOUT_PERIODS * timeout_factor, "direct", str(nonce))
        self._schedule_after(timing.PROBE_TIMEOUT_PERIODS * timeout_factor, "failed", str(nonce))
        current = self.view.get(name)
        extra = [name] if current is not None and current.state >= MemberState.SUSPECTED else []
        self._outbox.send_with_gossip(address, wire.Ping(nonce, name), extra)

    def _on_direct_timeout(self, key: str) -> None:
        probe = self._probes.get(int(key))
        if probe is None or not probe.accuses:
            return
        candidates = self._probes.sample_others(timing.INDIRECT_PROBES + 1)
        helpers = [name for name in candidates if name != probe.target][: timing.INDIRECT_PROBES]
        probe.helpers = len(helpers)
        for name in helpers:
            self._outbox.send_to_member(
                name, wire.PingRequest(int(key), probe.target, self._address(probe.target))
            )

    def _on_probe_timeout(self, key: str) -> None:
        probe = self._probes.remove(int(key))
        if probe is None or not probe.accuses:
            return
        # A helper that sends not even a nack suggests that this member itself loses datagrams.
        if probe.nacks < probe.helpers or not probe.helpers:
            self.health.adjust(1)
        current = self.view.get(probe.target)
        if current is None or current.life != probe.life:
            return
        if current.state is MemberState.LEAVING:
            self._suspect_leaver(current.name)
        elif current.state <= MemberState.SUSPECTED:
            self._apply_claim(replace(current, state=MemberState.SUSPECTED), "probe", self.view.local_name)

    def _on_relay_timeout(self, key: str) -> None:
        if relay := self._probes.remove_relay(int(key)):
            self._outbox.send_with_gossip(relay.address, wire.PingRequestNack(relay.nonce))

    # Suspicion

    def _on_suspicion_timeout(self, name: str) -> None:
        until, current = self._suspicions.deadline(name, self.view.present_count), self.view.get(name)
        if until is None or current is None:
            return
        if until > self._now or self._now < self.health.no_deaths_until:
            self._schedule_suspicion_end(name, max(until, self.health.no_deaths_until))
            return
        suspicion = self._suspicions.remove(name)
        cause = "told" if suspicion is not None and suspicion.death_reported else "probe"
        end_state = MemberState.LEFT if current.state is MemberState.LEAVING else MemberState.DEAD
        self._store_claim(replace(current, state=end_state), cause, self.view.local_name)

    def _suspect_leaver(self, name: str) -> None:
        """Start a suspicion of an unreachable leaving member, which is not disseminated and ends in ``LEFT``."""
        _, until = self._suspicions.add_accuser(
            self._now, name, self.view.local_name, False, self.view.present_count
        )
        if until is not None:
            self._schedule_suspicion_end(name, until)

    def _clear_leaver_suspicion(self, name: str) -> None:
        """End the suspicion of a leaving member that has sent a message; other suspicions end only by a refutation."""
        current = self.view.get(name)
        if current is not None and current.state is MemberState.LEAVING:
            self._suspicions.remove(name)

    def _schedule_suspicion_end(self, name: str, until: float) -> None:
        self._timers.schedule_at(max(until, self._now + 1e-3), "suspicion", name)

    def _add_accuser(self, name: str, accuser: str, death_reported: bool) -> None:
        """Add an accuser that suspects the member or reports its death, which shortens the suspicion."""
        is_new, until = self._suspicions.add_accuser(
            self._now, name, accuser, death_reported, self.view.present_count
        )
        if is_new:
            self.view.gossip_queue.add((name, ""), self.view.encode_member(name, accuser))
        if until is not None:
            self._schedule_suspicion_end(name, until)

    # Claims

    def _is_redundant(self, record: wire.MemberRecord, accuser: str) -> bool:
        """Return whether a claim certainly changes nothing: true of most claims, and cheaper to check than to apply."""
        current = self.view.get(record.name)
        if current is None:
            return False
        claimed, rank = record.member().rank, current.rank
        if claimed[:3] != rank[:3] or record.state < current.state:
            return claimed < rank
        suspicion = self._suspicions.get(record.name)
        if suspicion is None:
            return (
                record.state == current.state
                and record.zone == current.zone
                and record.address == current.address
            )
        dead = suspicion.death_reported and record.state is MemberState.DEAD
        return suspicion.ignores_accuser(accuser) and (record.state is MemberState.SUSPECTED or dead)

    def _apply_claim(self, claim: Member, cause: str, by: str) -> None:
        """Apply a claim about a member; ``by`` is the accuser if it is an accusation."""
        if claim.name == self.view.local_name:
            self._apply_claim_about_self(claim)
            return
        current = self.view.get(claim.name)
        if (
            claim.state is MemberState.DEAD
            and current is not None
            and current.state.present
            and claim.rank > current.rank
        ):
            self._apply_death_claim(current, claim, cause, by)
            return
        if current is not None and claim.rank == current.rank:
            if claim.state is MemberState.SUSPECTED:
                self._add_accuser(claim.name, by, False)
            if self.view.merge(self._now, claim):  # the same life with another zone or address
                self.view.gossip_queue.add((claim.name, ""), self.view.encode_member(claim.name, by))
            return
        self._store_claim(claim, cause, by)
        if claim.state is MemberState.SUSPECTED and self.view.get(claim.name) == claim:
            self._add_accuser(claim.name, by, False)

    def _apply_death_claim(self, current: Member, claim: Member, cause: str, by: str) -> None:
        """Hold a reported death of a present member as a suspicion first.

        A death claim that the member has refuted since is ignored: the member hears of it and continues in a new life.
        """
        suspected = replace(claim, state=MemberState.SUSPECTED)
        if claim.life == current.life and claim.incarnation < current.incarnation:
            return
        if suspected.rank > current.rank:
            self._store_claim(suspected, cause, by)
        self._add_accuser(claim.name, by, True)

    def _store_claim(self, claim: Member, cause: str, by: str) -> None:
        """Merge a claim into the view and, if it changes the view, disseminate and report it."""
        current = self.view.get(claim.name)
        if not self.view.merge(self._now, claim):
            return
        if claim.state is not MemberState.SUSPECTED or (
            current is not None and current.rank[:3] != claim.rank[:3]
        ):
            self._suspicions.remove(claim.name)
        if current is not None and current.life != claim.life:
            self._forget_peer(claim.name)
        if (
            current is not None
            and current.life == claim.life
            and claim.state < MemberState.SUSPECTED <= current.state
        ):
            cause = "refuted"
        self.view.gossip_queue.add((claim.name, ""), self.view.encode_member(claim.name, by))
        if current is None and claim.state.present:
            self._probes.add_to_round(claim.name)
        if current is not None or claim.state.present:  # the tombstone of an unknown member is no change
            self._report_change(claim, cause)

    def _forget_peer(self, name: str) -> None:
        self.peers.forget(name)
        self.clocks.forget(name)
        self._exchange.forget(name)

    def _apply_claim_about_self(self, claim: Member) -> None:
        """Refute a claim about this member by a higher incarnation or, after a reported end, by a higher life."""
        me = self.view.local_member
        if claim.life > me.life:
            self.counts["risen"] += 1
            if self.counts["risen"] <= MAX_LIFE_INCREASES:
                self._update_self(replace(me, life=claim.life + 1, incarnation=0), "self")
        elif claim.life == me.life and claim.rank > me.rank:
            if claim.state >= MemberState.SUSPECTED:
                self.health.adjust(1)
            if claim.state.present:
                self._update_self(replace(me, incarnation=claim.incarnation + 1), "refuted")
            else:
                self._update_self(replace(me, life=me.life + 1, incarnation=0), "refuted")

    def _report_change(self, member: Member, cause: str) -> None:
        self._outbox.add_action(MemberChanged(member, cause))
        if self.peers.reported_settled:
            self._report_settled()

    # Received datagrams

    def _receive_datagram(self, data: bytes) -> None:
        try:
            envelope = self._codec.decode(data)
        except wire.InvalidDatagram as error:
            self.counts[error.cause] += 1
            return
        sender = envelope.sender
        if abs(envelope.wall_ms / 1000 - self._outbox.wall) > MAX_CLOCK_DIFFERENCE_SECONDS:
            self.counts["stale"] += 1
        elif sender.name == self.view.local_name:  # a reflected datagram, or another process of this name
            self.counts["own"] += 1
            self._apply_claim_about_self(sender.member())
        elif not self.peers.is_new(envelope):
            self.counts["replayed"] += 1
        else:
            self.counts["taken"] += 1
            self._apply_datagram(envelope)

    def _apply_datagram(self, envelope: Envelope) -> None:
        sender = envelope.sender
        self._apply_claim(sender.member(), "told", sender.accuser)
        for record in envelope.member_records:
            if not self._is_redundant(record, record.accuser or sender.name):
                self._apply_claim(record.member(), "told", record.accuser or sender.name)
        for row in envelope.row_records:
            former_life = self.view.row_life(row.owner, row.subsystem)
            if self.view.merge_row(self._now, row) and former_life != row.life:
                self._outbox.add_action(RowAccepted(row.owner, row.life, row.subsystem))
        current = self.view.get(sender.name)
        if current is None:  # the view is full
            self.counts["full"] += 1
            return
        if current.life == sender.life:
            self._clear_leaver_suspicion(sender.name)
            self.peers.record(self._now, envelope)
            self.view.confirm_rows(self._now, sender.name, sender.life, envelope.row_versions)
        _MESSAGE_HANDLERS[type(envelope.message)](self, envelope)
        self._resolve_difference(envelope)

    def _newer_record_of(self, sender: wire.MemberRecord) -> list[str]:
        """Return the sender's name if the view holds a newer record of it, else nothing."""
        current = self.view.get(sender.name)
        return [sender.name] if current is not None and current.rank > sender.member().rank else []

    def _resolve_difference(self, envelope: Envelope) -> None:
        """Send the sender a newer record of itself; start a comparison of the views if the digests differ."""
        sender, current = envelope.sender, self.view.get(envelope.sender.name)
        if current is None:
            return
        newer = [] if isinstance(envelope.message, wire.Ping) else self._newer_record_of(sender)
        if newer and self.peers.may_correct(self._now, sender, self._timers.period):
            self._outbox.send_with_gossip(sender.address, wire.Gossip(), newer)
        joining = self.view.local_member.state is MemberState.JOINING
        differ = (envelope.members_digest, envelope.rows_digest) != (self.view.digest, self.view.rows_digest)
        if (differ or joining) and current.state.present and self._exchange.may_start(joining):
            self._exchange.start(self._timers.next_number(), sender.address)

    def _on_ping(self, envelope: Envelope) -> None:
        ping, sender = envelope.message, envelope.sender
        assert isinstance(ping, wire.Ping)
        if ping.target and ping.target != self.view.local_name:
            self.counts["astray"] += 1
            return
        self._outbox.send_with_gossip(sender.address, wire.Ack(ping.nonce), self._newer_record_of(sender))

    def _on_ack(self, envelope: Envelope) -> None:
        ack, sender = envelope.message, envelope.sender
        assert isinstance(ack, wire.Ack)
        if (relay := self._probes.get_relay(ack.nonce)) is not None:
            if relay.target == sender.name:
                self._probes.remove_relay(ack.nonce)
                self._outbox.send_with_gossip(relay.address, wire.PingRequestAck(relay.nonce))
            return
        probe = self._probes.complete(ack.nonce, sender.name, sender.life)
        if probe is None:
            self.counts["unasked"] += 1
            return
        if probe.accuses:
            self.health.adjust(-1)
        self.clocks.record_answer(sender.name, probe.sent, self._now, envelope.wall_ms / 1000)

    def _on_ping_request(self, envelope: Envelope) -> None:
        request = envelope.message
        assert isinstance(request, wire.PingRequest)
        relay = Relay(envelope.sender.address, request.nonce, request.target)
        nonce = self._probes.start_relay(self._timers.next_number(), relay)
        if nonce is None:
            self.counts["relays refused"] += 1
            return
        self._schedule_after(timing.DIRECT_TIMEOUT_PERIODS, "relay", str(nonce))
        self._outbox.send_with_gossip(request.address, wire.Ping(nonce, request.target))

    def _on_ping_request_ack(self, envelope: Envelope) -> None:
        assert isinstance(envelope.message, wire.PingRequestAck)
        probe = self._probes.get(envelope.message.nonce)
        if probe is not None and probe.accuses and probe.helpers:
            self._probes.remove(envelope.message.nonce)
            self.health.adjust(-1)
            self._clear_leaver_suspicion(probe.target)

    def _on_ping_request_nack(self, envelope: Envelope) -> None:
        assert isinstance(envelope.message, wire.PingRequestNack)
        probe = self._probes.get(envelope.message.nonce)
        if probe is not None and probe.nacks < probe.helpers:
            probe.nacks += 1

    def _on_gossip(self, envelope: Envelope) -> None:
        """The records of the datagram have been applied already."""

    def _on_sync_request(self, envelope: Envelope) -> None:
        self._exchange.on_sync_request(envelope)

    def _on_sync_piece(self, envelope: Envelope) -> None:
        assert isinstance(envelope.message, wire.SyncPiece)
        if not self._exchange.accept_piece(envelope.message):
            self.counts["unasked"] += 1
            return
        if envelope.message.last:
            has_more = self._exchange.has_more(envelope.message)
            if has_more and self.view.local_member.state is MemberState.JOINING:
                self._exchange.start(self._timers.next_number(), envelope.sender.address)
            else:
                self._finish_joining()
        self._exchange.on_sync_piece(envelope)

    def _on_sync_corrections(self, envelope: Envelope) -> None:
        self._exchange.on_sync_corrections(envelope)

    # Documents

    def _request_parts(self, digest: bytes, name: str = "") -> None:
        """Request the next parts of a document from a member, a random one if no name is given."""
        request = self.documents.next_parts_request(digest)
        names = [name] if name else self._probes.sample_others(1)
        if request is not None and names:
            self._outbox.send_to_member(names[0], request)

    def _on_document_request(self, envelope: Envelope) -> None:
        assert isinstance(envelope.message, wire.DocumentRequest)
        address = envelope.sender.address
        parts = self.documents.requested_parts(envelope.message)
        if parts is None:
            self._outbox.send_with_gossip(address, wire.DocumentMissing(envelope.message.digest))
        for part in parts or ():
            self._outbox.send(address, wire.encode_record(part), [], [])

    def _on_document_part(self, envelope: Envelope) -> None:
        assert isinstance(envelope.message, wire.DocumentPart)
        if self.documents.add_part(envelope.message):
            self._request_parts(envelope.message.digest, envelope.sender.name)

    def _on_document_missing(self, envelope: Envelope) -> None:
        assert isinstance(envelope.message, wire.DocumentMissing)
        if self.documents.may_retry():
            self._request_parts(envelope.message.digest)


_TIMER_HANDLERS: dict[str, Callable[[Detector, str], None]] = {
    "period": Detector._on_period,
    "seed": Detector._ping_seeds,
    "direct": Detector._on_direct_timeout,
    "failed": Detector._on_probe_timeout,
    "relay": Detector._on_relay_timeout,
    "suspicion": Detector._on_suspicion_timeout,
}

_MESSAGE_HANDLERS: dict[type, Callable[[Detector, Envelope], None]] = {
    wire.Ping: Detector._on_ping,
    wire.Ack: Detector._on_ack,
    wire.PingRequest: Detector._on_ping_request,
    wire.PingRequestAck: Detector._on_ping_request_ack,
    wire.PingRequestNack: Detector._on_ping_request_nack,
    wire.Gossip: Detector._on_gossip,
    wire.SyncRequest: Detector._on_sync_request,
    wire.SyncPiece: Detector._on_sync_piece,
    wire.SyncCorrections: Detector._on_sync_corrections,
    wire.DocumentRequest: Detector._on_document_request,
    wire.DocumentPart: Detector._on_document_part,
    wire.DocumentMissing: Detector._on_document_missing,
}
