"""State by peer from its own datagrams: their sequence numbers, the last arrival and the last digest. No I/O."""

from __future__ import annotations

from dataclasses import dataclass

from cypresspulley.fleet.view import View
from cypresspulley.fleet.wire import Envelope, MemberRecord


class ReplayWindow:
    """Replay window over a sender's sequence numbers: each is accepted once, one 64 or more behind the top never."""

    __slots__ = ("bits", "life", "top")

    def __init__(self, life: int) -> None:
        self.life, self.top, self.bits = life, -1, 0

    def __repr__(self) -> str:
        return f"<Window of life {self.life} to {self.top}>"

    def accept(self, number: int) -> bool:
        """Record a number and return whether it is new."""
        if number > self.top:
            shift = min(64, number - self.top)
            self.bits = ((self.bits << shift) | 1) & (2**64 - 1)
            self.top = number
            return True
        bit = self.top - number
        if bit >= 64 or self.bits >> bit & 1:
            return False
        self.bits |= 1 << bit
        return True


@dataclass(slots=True)
class Peer:
    """A peer in its present life. ``digest`` is the one last reported, in the datagram numbered ``top``."""

    window: ReplayWindow
    last_contact_at: float
    digest: int = -1
    top: int = -1
    corrected: float = float("-inf")  # when it was last sent a newer record of itself


class Peers:
    """The peers that have been heard from, at most one per member of the view."""

    def __init__(self, view: View) -> None:
        self._view = view
        self._by_name = dict[str, Peer]()
        self._last_differing = -1  # index, in the view's other names, of the last member found to differ
        self.reported_settled = False  # as last reported to the history

    def __repr__(self) -> str:
        return f"<Peers: {len(self._by_name)} heard from, {'' if self.reported_settled else 'not '}settled>"

    def is_new(self, envelope: Envelope) -> bool:
        """Return whether a datagram is no replay. One of a former life passes: merging its claims changes nothing."""
        sender = envelope.sender
        peer = self._by_name.get(sender.name)
        if peer is None or peer.window.life < sender.life:
            return True
        return peer.window.life > sender.life or peer.window.accept(envelope.sequence)

    def record(self, now: float, envelope: Envelope) -> None:
        """Record a new datagram of a member's present life."""
        sender = envelope.sender
        peer = self._by_name.get(sender.name)
        if peer is None or peer.window.life != sender.life:
            peer = self._by_name[sender.name] = Peer(ReplayWindow(sender.life), now)
            peer.window.accept(envelope.sequence)
        peer.last_contact_at = now
        if envelope.sequence >= peer.top:
            peer.top, peer.digest = envelope.sequence, envelope.members_digest

    def may_correct(self, now: float, sender: MemberRecord, period: float) -> bool:
        """Return whether to send the peer a newer record of itself: at most once a period."""
        peer = self._by_name.get(sender.name)
        if peer is None or now - peer.corrected >= period:
            if peer is not None:
                peer.corrected = now
            return True
        return False

    def forget(self, name: str) -> None:
        self._by_name.pop(name, None)

    def list_forgotten(self) -> list[str]:
        """Return the names that are no longer in the view."""
        return [name for name in self._by_name if self._view.get(name) is None]

    def all_agree(self) -> bool:
        """Return whether the last digest reported by every other present member equals the local one."""
        digest, by_name = self._view.digest, self._by_name
        peers = (by_name.get(name) for name in self._view.other_names())
        return all(peer is not None and peer.digest == digest for peer in peers)

    def list_differing(self, limit: int) -> list[str]:
        """Return up to ``limit`` members whose last digest differs from the local one, in round-robin order."""
        others, found = self._view.other_names(), list[str]()
        for _ in range(len(others)):
            self._last_differing = (self._last_differing + 1) % len(others)
            peer = self._by_name.get(others[self._last_differing])
            if peer is None or peer.digest != self._view.digest:
                found.append(others[self._last_differing])
                if len(found) == limit:
                    break
        return found

    def count_responsive(self, now: float, within: float) -> int:
        """Return how many present members have sent a datagram within the last ``within`` seconds."""
        recent = (name for name, peer in self._by_name.items() if now - peer.last_contact_at <= within)
        return sum(
            1 for name in recent if (member := self._view.get(name)) is not None and member.state.present
        )
