"""The failure detector: from events (datagrams, the passing of time) to actions (datagrams, news). No I/O, no clock.

What one member holds of another, and what changes it (SWIM; Lifeguard for suspicion and local health). A claim counts
only where its rank is larger than the one held; "told" is a claim by any other member, "says" one by itself:

    held           what happens                                      held from then on
    -------------  ------------------------------------------------  ----------------------------------------------
    unknown        says or told joining, alive, leaving, suspected   that
    unknown        told left, dead                                   that (a tombstone)
    joining        says alive                                        alive
    joining,alive  a probe fails, direct and by others               suspected, by me
    joining,alive  told suspected                                    suspected, by the teller
    joining,alive  told dead                                         suspected, for a shorter time (see ``timing.reported_death_periods``)
    joining,alive  says leaving (incarnation + 1)                    leaving
    suspected      says alive with a larger incarnation              alive (refuted)
    suspected      told suspected by one more, or my probe fails     suspected, for a shorter time
    suspected      told dead                                         suspected, for the shorter time at most
    suspected      its time is over, and I stand in no doubt         dead
    leaving        a probe fails, direct and by others               leaving, missed by me: nobody else is told
    leaving        missed, and then I or a helper of mine hear it    leaving, no longer missed
    leaving        missed for the time of a suspicion, no doubt      left: a leaver is never suspected, nor dead
    leaving        says or told left                                 left
    left, dead     says or told a larger life                        that: an end is final in a life (SWIM: confirm)
    any            a larger life                                     that, in the state it comes with

And of itself:

    joining        another's whole view is here, or no seed to ask   alive
    any            told of itself suspected                          the same state, incarnation above the one told
    any            told of itself left or dead                       the same state, in a life one above this one
    any            told of a later life of its own name              the same state, a life one above it
    joining,alive  leave                                             leaving, incarnation + 1
    any            end                                               left; nothing is said or heard from then on

Only a member itself ever raises its incarnation or life. That a death that is told is first held as a suspicion gives
the dead one the time to refute it before each view that hears of it: so no single member, slow or wrong, kills another.

A leaver drains and answers for seconds, so one probe that fails under loss says no more of it than of anybody else. It
is missed in silence, and any word of it in this life ends that; it need not refute what nobody was told. Were it held
left at once, it would be absent from views while it still works, and then present again by its own refutation.

A process that stood still (its timers come late) has no ground to accuse: it lets its open probes go, gives its
suspicions the time that it lost, and doubts itself for a while (local health).
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

MAX_CLOCK_DIFFERENCE_SECONDS = 24 * 3600.0  # seconds that a datagram's wall clock may differ from this one
MAX_LIFE_INCREASES = 8  # of this process's life: beyond, another process has its name
DEAD_RECALL_SECONDS = 3600.0  # seconds after its death that a member is still called
GOSSIP_FANOUT = 2  # datagrams a period that carry nothing but news
LEAVE_FANOUT = 8  # members that are told of an end directly


class Detector:
    """One member's detector. ``handle`` takes every event in order; ``due`` is when it next wants a ``Tick``.

    ``period`` in seconds; ``seeds`` are addresses, this member's own may be among them. All draws are from ``rng``.
    """

    def __init__(
        self, me: Member, codec: wire.Codec, seeds: tuple[str, ...], period: float, rng: Random
    ) -> None:
        self.view = View(me)
        self.clocks = ClockEstimates()
        self.documents = Documents()
        self.counts = Counter[str]()  # datagrams sent, taken, and dropped by cause
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
    def ended(self) -> bool:
        return self.view.local_member.state is MemberState.LEFT

    @property
    def due(self) -> float:
        """The instant of the next ``Tick``; infinity before ``Begin`` and after ``End``."""
        return float("inf") if self.ended else self._timers.next_due

    def handle(self, now: float, wall: float, event: Event) -> list[Action]:
        """``now`` in seconds of a clock that never steps, ``wall`` Unix seconds by the wall clock."""
        if self.ended:
            return []
        self._outbox.now, self._outbox.wall = now, wall
        if late := self._timers.absorb_stall(now):
            self._probes.stop_accusing()
            self._suspicions.postpone(late)
            self.health.record_stall(now, late, self._timers.period)
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

    def settled(self) -> bool:
        """Whether every other present member has last told the digest that is this one's own."""
        return self.view.local_member.state is not MemberState.JOINING and self.peers.all_agree()

    @property
    def _now(self) -> float:
        return self._outbox.now

    def _schedule_after(self, periods: float, kind: str, key: str = "") -> None:
        self._timers.schedule_after(self._now, periods, kind, key)

    # Beginning and end

    def _start(self) -> None:
        self._outbox.refresh_sender()  # the view may have been filled before
        self._report_change(self.view.local_member, "self")
        self._schedule_after(self._probes.random_phase(), "period")
        if self._contacts.seeds:
            self._ping_seeds("")
        else:
            self._finish_joining()

    def _ping_seeds(self, _: str) -> None:
        """Knock at some seeds, ever more seldom, until there is somebody."""
        if self.view.present_count > 1 and self.view.local_member.state is not MemberState.JOINING:
            return
        for address in self._contacts.sample_seeds():
            self._ping("", address, counts=False)
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
        raised = me.incarnation + (me.state < MemberState.LEAVING)
        self._update_self(replace(me, incarnation=raised, state=MemberState.LEFT), "self")
        self._announce_departure()

    def _announce_departure(self) -> None:
        """Tell some members of this one's end directly: the rest hear it from them."""
        for name in self._probes.sample_others(LEAVE_FANOUT):
            self._outbox.send_to_member(name, wire.Gossip())

    def _update_self(self, me: Member, cause: str) -> None:
        """Hold this of myself, and say it."""
        rose = me.life != self.view.local_member.life
        self.view.store(self._now, me)
        record = self._outbox.refresh_sender(rose)
        if rose:
            self.view.republish_rows(self._now)
            self._outbox.add_action(
                LifeRaised(me.life, self.view.all_other_members(), self._settled_action())
            )
        self.view.gossip_queue.add((me.name, ""), record)
        self._report_change(me, cause)

    # A period

    def _on_period(self, _: str) -> None:
        self._schedule_after(1, "period")
        self._contacts.periods += 1
        self.view.refresh(self._now)
        if target := self._probes.next_target():
            self._ping(target, self._address(target))
        if len(self.view.gossip_queue):
            for name in self._probes.sample_others(GOSSIP_FANOUT):
                self._outbox.send_to_member(name, wire.Gossip())
        recent = self._now - self.view.members_changed_at <= timing.DIGEST_CHECK_PERIODS * self._timers.period
        if recent and not self._suspicions:  # what is in suspense changes again
            for name in self.peers.list_differing(timing.DIGEST_CHECKS_PER_PERIOD):
                self._ping(name, self._address(name), counts=False)
        if self._contacts.periods % timing.RECALL_PERIODS == 0:
            self._ping_absent()
        for digest in self.documents.start_period():
            self._request_parts(digest)
        self._report_settled()

    def _ping_absent(self) -> None:
        """A word to one that is not in the view, so that a cut that ends is noticed."""
        dead = [(m.name, m.address) for m in self.view.recently_dead(self._now, DEAD_RECALL_SECONDS)]
        held = {m.address for m in self.view.members()} if self._contacts.seeds else set()
        if call := self._contacts.choose_absent(dead, held):
            self._ping(*call, counts=False)
        for name in self.peers.list_forgotten():  # its tombstone is gone
            self._forget_peer(name)

    def _report_settled(self) -> None:
        settled = self.settled()
        if settled != self.peers.reported_settled:
            self.peers.reported_settled = settled
            self._outbox.add_action(self._settled_action())

    def _settled_action(self) -> Settled:
        return Settled(self.settled(), self.view.digest, self.view.present_count)

    def _address(self, name: str) -> str:
        member = self.view.get(name)
        return "" if member is None else member.address

    # Probes

    def _ping(self, name: str, address: str, counts: bool = True) -> None:
        nonce = self._probes.start(self._now, self._timers.next_number(), name, counts)
        stretch = 1 + self.health.score
        if counts:
            self._schedule_after(timing.DIRECT_TIMEOUT_PERIODS * stretch, "direct", str(nonce))
        self._schedule_after(timing.PROBE_TIMEOUT_PERIODS * stretch, "failed", str(nonce))
        held = self.view.get(name)
        doubted = [name] if held is not None and held.state >= MemberState.SUSPECTED else []
        self._outbox.send_with_gossip(address, wire.Ping(nonce, name), doubted)

    def _on_direct_timeout(self, key: str) -> None:
        probe = self._probes.get(int(key))
        if probe is None or not probe.accuses:
            return
        drawn = self._probes.sample_others(timing.INDIRECT_PROBES + 1)
        helpers = [name for name in drawn if name != probe.target][: timing.INDIRECT_PROBES]
        probe.helpers = len(helpers)
        for name in helpers:
            self._outbox.send_to_member(
                name, wire.PingRequest(int(key), probe.target, self._address(probe.target))
            )

    def _on_probe_timeout(self, key: str) -> None:
        probe = self._probes.remove(int(key))
        if probe is None or not probe.accuses:
            return
        if (
            probe.nacks < probe.helpers or not probe.helpers
        ):  # a helper says nothing: it may be me who hears badly
            self.health.adjust(1)
        held = self.view.get(probe.target)
        if held is None or held.life != probe.life:
            return
        if held.state is MemberState.LEAVING:
            self._suspect_leaver(held.name)
        elif held.state <= MemberState.SUSPECTED:
            self._apply_claim(replace(held, state=MemberState.SUSPECTED), "probe", self.view.local_name)

    def _on_relay_timeout(self, key: str) -> None:
        if relay := self._probes.remove_relay(int(key)):
            self._outbox.send_with_gossip(relay.address, wire.PingRequestNack(relay.nonce))

    # Suspicion

    def _on_suspicion_timeout(self, name: str) -> None:
        until, held = self._suspicions.deadline(name, self.view.present_count), self.view.get(name)
        if until is None or held is None:
            return
        if until > self._now or self._now < self.health.no_deaths_until:
            self._schedule_suspicion_end(name, max(until, self.health.no_deaths_until))
            return
        suspicion = self._suspicions.remove(name)
        cause = "told" if suspicion is not None and suspicion.death_reported else "probe"
        over = MemberState.LEFT if held.state is MemberState.LEAVING else MemberState.DEAD
        self._store_claim(replace(held, state=over), cause, self.view.local_name)

    def _suspect_leaver(self, name: str) -> None:
        """A leaver does not answer: a suspicion that is kept to myself, and ends in ``left``."""
        _, until = self._suspicions.add_accuser(
            self._now, name, self.view.local_name, False, self.view.present_count
        )
        if until is not None:
            self._schedule_suspicion_end(name, until)

    def _clear_leaver_suspicion(self, name: str) -> None:
        """It has just answered: a leaver is no longer missed. Of one that is suspected, only a refutation tells."""
        held = self.view.get(name)
        if held is not None and held.state is MemberState.LEAVING:
            self._suspicions.remove(name)

    def _schedule_suspicion_end(self, name: str, until: float) -> None:
        self._timers.schedule_at(max(until, self._now + 1e-3), "suspicion", name)

    def _add_accuser(self, name: str, by: str, told: bool) -> None:
        """One more that suspects the member, or holds it dead: the time is shorter from here on."""
        new, until = self._suspicions.add_accuser(self._now, name, by, told, self.view.present_count)
        if new:
            self.view.gossip_queue.add((name, ""), self.view.encode_member(name, by))
        if until is not None:
            self._schedule_suspicion_end(name, until)

    # Claims

    def _is_redundant(self, entry: wire.MemberRecord, by: str) -> bool:
        """Whether the claim surely changes nothing: most do not, and this is quicker than to take them."""
        held = self.view.get(entry.name)
        if held is None:
            return False
        claimed, rank = entry.member().rank, held.rank
        if claimed[:3] != rank[:3] or entry.state < held.state:
            return claimed < rank
        suspicion = self._suspicions.get(entry.name)
        if suspicion is None:
            return entry.state == held.state and entry.zone == held.zone and entry.address == held.address
        dead = suspicion.death_reported and entry.state is MemberState.DEAD
        return suspicion.ignores_accuser(by) and (entry.state is MemberState.SUSPECTED or dead)

    def _apply_claim(self, claim: Member, cause: str, by: str) -> None:
        """A claim about a member, ``by`` its maker where it accuses."""
        if claim.name == self.view.local_name:
            self._apply_claim_about_self(claim)
            return
        held = self.view.get(claim.name)
        if (
            claim.state is MemberState.DEAD
            and held is not None
            and held.state.present
            and claim.rank > held.rank
        ):
            self._apply_death_claim(held, claim, cause, by)
            return
        if held is not None and claim.rank == held.rank:
            if claim.state is MemberState.SUSPECTED:
                self._add_accuser(claim.name, by, False)
            if self.view.merge(self._now, claim):  # another zone or address: the same life has spoken twice
                self.view.gossip_queue.add((claim.name, ""), self.view.encode_member(claim.name, by))
            return
        self._store_claim(claim, cause, by)
        if claim.state is MemberState.SUSPECTED and self.view.get(claim.name) == claim:
            self._add_accuser(claim.name, by, False)

    def _apply_death_claim(self, held: Member, claim: Member, cause: str, by: str) -> None:
        """A death that is told of one who is present here is a suspicion first. One that it has refuted meanwhile is
        none: it hears of it itself, and goes on in a new life."""
        said = replace(claim, state=MemberState.SUSPECTED)
        if claim.life == held.life and claim.incarnation < held.incarnation:
            return
        if said.rank > held.rank:
            self._store_claim(said, cause, by)
        self._add_accuser(claim.name, by, True)

    def _store_claim(self, claim: Member, cause: str, by: str) -> None:
        held = self.view.get(claim.name)
        if not self.view.merge(self._now, claim):
            return
        if claim.state is not MemberState.SUSPECTED or (held is not None and held.rank[:3] != claim.rank[:3]):
            self._suspicions.remove(claim.name)
        if held is not None and held.life != claim.life:
            self._forget_peer(claim.name)
        if held is not None and held.life == claim.life and claim.state < MemberState.SUSPECTED <= held.state:
            cause = "refuted"
        self.view.gossip_queue.add((claim.name, ""), self.view.encode_member(claim.name, by))
        if held is None and claim.state.present:
            self._probes.add_to_round(claim.name)
        if held is not None or claim.state.present:  # one that was never held here has not died here
            self._report_change(claim, cause)

    def _forget_peer(self, name: str) -> None:
        self.peers.forget(name)
        self.clocks.forget(name)
        self._exchange.forget(name)

    def _apply_claim_about_self(self, claim: Member) -> None:
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

    # Datagrams in

    def _receive_datagram(self, data: bytes) -> None:
        try:
            envelope = self._codec.decode(data)
        except wire.InvalidDatagram as error:
            self.counts[error.cause] += 1
            return
        sender = envelope.sender
        if abs(envelope.wall_ms / 1000 - self._outbox.wall) > MAX_CLOCK_DIFFERENCE_SECONDS:
            self.counts["stale"] += 1
        elif sender.name == self.view.local_name:  # an echo, or another life of mine that still speaks
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
        for entry in envelope.member_records:
            if not self._is_redundant(entry, entry.accuser or sender.name):
                self._apply_claim(entry.member(), "told", entry.accuser or sender.name)
        for cell in envelope.row_records:
            before = self.view.row_life(cell.owner, cell.subsystem)
            if self.view.merge_row(self._now, cell) and before != cell.life:
                self._outbox.add_action(RowAccepted(cell.owner, cell.life, cell.subsystem))
        held = self.view.get(sender.name)
        if held is None:  # no room for it
            self.counts["full"] += 1
            return
        if held.life == sender.life:
            self._clear_leaver_suspicion(sender.name)
            self.peers.record(self._now, envelope)
            self.view.confirm_rows(self._now, sender.name, sender.life, envelope.row_versions)
        _MESSAGE_HANDLERS[type(envelope.message)](self, envelope)
        self._resolve_difference(envelope)

    def _newer_record_of(self, sender: wire.MemberRecord) -> list[str]:
        """The sender's name, where more is known of it than it says itself."""
        held = self.view.get(sender.name)
        return [sender.name] if held is not None and held.rank > sender.member().rank else []

    def _resolve_difference(self, envelope: Envelope) -> None:
        """Tell the sender what it does not know of itself; compare views where digests differ."""
        sender, held = envelope.sender, self.view.get(envelope.sender.name)
        if held is None:
            return
        better = [] if isinstance(envelope.message, wire.Ping) else self._newer_record_of(sender)
        if better and self.peers.may_correct(self._now, sender, self._timers.period):
            self._outbox.send_with_gossip(sender.address, wire.Gossip(), better)
        joining = self.view.local_member.state is MemberState.JOINING
        differ = (envelope.members_digest, envelope.rows_digest) != (self.view.digest, self.view.rows_digest)
        if (differ or joining) and held.state.present and self._exchange.may_start(joining):
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
        ask = envelope.message
        assert isinstance(ask, wire.PingRequest)
        relay = Relay(envelope.sender.address, ask.nonce, ask.target)
        nonce = self._probes.start_relay(self._timers.next_number(), relay)
        if nonce is None:
            self.counts["relays refused"] += 1
            return
        self._schedule_after(timing.DIRECT_TIMEOUT_PERIODS, "relay", str(nonce))
        self._outbox.send_with_gossip(ask.address, wire.Ping(nonce, ask.target))

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
        """What stands beside it has been taken."""

    def _on_sync_request(self, envelope: Envelope) -> None:
        self._exchange.on_sync_request(envelope)

    def _on_sync_piece(self, envelope: Envelope) -> None:
        assert isinstance(envelope.message, wire.SyncPiece)
        if not self._exchange.accept_piece(envelope.message):
            self.counts["unasked"] += 1
            return
        if envelope.message.last:
            more = self._exchange.has_more(envelope.message)
            if more and self.view.local_member.state is MemberState.JOINING:
                self._exchange.start(self._timers.next_number(), envelope.sender.address)
            else:
                self._finish_joining()
        self._exchange.on_sync_piece(envelope)

    def _on_sync_corrections(self, envelope: Envelope) -> None:
        self._exchange.on_sync_corrections(envelope)

    # Documents

    def _request_parts(self, digest: bytes, name: str = "") -> None:
        """Ask one member, drawn where none is named, for the next parts."""
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
