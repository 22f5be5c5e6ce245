"""What a member knows of the others by their own datagrams: which have come, when, and with which digest. No I/O."""

from __future__ import annotations

from dataclasses import dataclass

from cypresspulley.fleet.view import View
from cypresspulley.fleet.wire import Envelope, MemberRecord


class ReplayWindow:
    """Which of a sender's datagrams have come, by number: each counts once, one older than 64 others not at all."""

    __slots__ = ("bits", "life", "top")

    def __init__(self, life: int) -> None:
        self.life, self.top, self.bits = life, -1, 0

    def __repr__(self) -> str:
        return f"<Window of life {self.life} to {self.top}>"

    def accept(self, number: int) -> bool:
        """Whether this one is new."""
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
    """Another member in its present life. ``digest`` is the one that it last told, in the datagram numbered ``top``."""

    window: ReplayWindow
    heard_at: float
    digest: int = -1
    top: int = -1
    corrected: float = float("-inf")  # when it was last told better of itself


class Peers:
    """One for each member of the view that has been heard, at most."""

    def __init__(self, view: View) -> None:
        self._view = view
        self._by_name = dict[str, Peer]()
        self._last_differing = -1  # place among the others of who was last found to differ
        self.reported_settled = False  # as last said in the history

    def __repr__(self) -> str:
        return f"<Peers: {len(self._by_name)} heard, {'' if self.reported_settled else 'not '}settled>"

    def is_new(self, envelope: Envelope) -> bool:
        """Whether it has not come before. One of a life that is over is: its claims are merged, and change nothing."""
        sender = envelope.sender
        peer = self._by_name.get(sender.name)
        if peer is None or peer.window.life < sender.life:
            return True
        return peer.window.life > sender.life or peer.window.accept(envelope.sequence)

    def record(self, now: float, envelope: Envelope) -> None:
        """Hear a fresh datagram of a member's present life."""
        sender = envelope.sender
        peer = self._by_name.get(sender.name)
        if peer is None or peer.window.life != sender.life:
            peer = self._by_name[sender.name] = Peer(ReplayWindow(sender.life), now)
            peer.window.accept(envelope.sequence)
        peer.heard_at = now
        if envelope.sequence >= peer.top:
            peer.top, peer.digest = envelope.sequence, envelope.members_digest

    def may_correct(self, now: float, sender: MemberRecord, period: float) -> bool:
        """Whether to tell it that others know better of it: once a period."""
        peer = self._by_name.get(sender.name)
        if peer is None or now - peer.corrected >= period:
            if peer is not None:
                peer.corrected = now
            return True
        return False

    def forget(self, name: str) -> None:
        self._by_name.pop(name, None)

    def list_forgotten(self) -> list[str]:
        """Names that the view has forgotten."""
        return [name for name in self._by_name if self._view.get(name) is None]

    def all_agree(self) -> bool:
        """Whether every other present member has last told the digest that is this one's own."""
        digest, by_name = self._view.digest, self._by_name
        told = (by_name.get(name) for name in self._view.other_names())
        return all(peer is not None and peer.digest == digest for peer in told)

    def list_differing(self, limit: int) -> list[str]:
        """Members whose digest, as last told, is not mine: all in turn."""
        others, found = self._view.other_names(), list[str]()
        for _ in range(len(others)):
            self._last_differing = (self._last_differing + 1) % len(others)
            peer = self._by_name.get(others[self._last_differing])
            if peer is None or peer.digest != self._view.digest:
                found.append(others[self._last_differing])
                if len(found) == limit:
                    break
        return found

    def count_heard(self, now: float, within: float) -> int:
        """Present members that have been heard from directly in so many seconds."""
        found = (name for name, peer in self._by_name.items() if now - peer.heard_at <= within)
        return sum(1 for name in found if (held := self._view.get(name)) is not None and held.state.present)
