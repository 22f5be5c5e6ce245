"""Pending probes, this member's own and those relayed for others, and the choice of targets. No I/O and no clock."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random
from typing import NamedTuple

from cypresspulley.fleet.view import View

MAX_RELAYS = 64  # pending indirect probes for others


@dataclass(slots=True)
class Probe:
    """A probe by this member. ``helpers`` counts the ping requests sent, ``nacks`` the helpers that had no answer."""

    target: str
    life: int
    sent: float
    accuses: bool = True  # whether a failure raises a suspicion: not for pings to dead members and seeds
    helpers: int = 0
    nacks: int = 0


class Relay(NamedTuple):
    """A probe for another member: the requester's address and nonce, and the target's name."""

    address: str
    nonce: int
    target: str


class Probes:
    """Pending probes by nonce; answers and time-outs remove them, so that there are few. Randomness is from ``rng``."""

    def __init__(self, view: View, rng: Random) -> None:
        self._view, self._rng = view, rng
        self._own = dict[int, Probe]()  # by nonce
        self._relays = dict[int, Relay]()  # by the nonce of this member's ping
        self.remaining_targets = list[str]()  # of the present round; the next one is last

    def __repr__(self) -> str:
        return f"<Probes: {len(self._own)} own, {len(self._relays)} relayed>"

    def random_phase(self) -> float:
        """Return a random number from 0 to 1: the share of a period before the first one."""
        return self._rng.random()

    def next_target(self) -> str | None:
        """Return the next target: each present member once a round, in random order (SWIM, section 4.3)."""
        for _ in range(2):
            while self.remaining_targets:
                name = self.remaining_targets.pop()
                member = self._view.get(name)
                if member is not None and member.state.present:
                    return name
            self.remaining_targets = list(self._view.other_names())
            self._rng.shuffle(self.remaining_targets)
        return None

    def add_to_round(self, name: str) -> None:
        """Insert a new member at a random position of the present round."""
        self.remaining_targets.insert(self._rng.randint(0, len(self.remaining_targets)), name)

    def sample_others(self, count: int) -> Sequence[str]:
        """Return up to ``count`` random names of other present members."""
        names = self._view.other_names()
        return self._rng.sample(names, min(count, len(names)))

    def start(self, now: float, number: int, name: str, accuses: bool) -> int:
        """Start a probe of ``name`` ("" for whoever is at an address) and return its unguessable nonce."""
        nonce = self._nonce(number)
        member = self._view.get(name)
        self._own[nonce] = Probe(name, member.life if member else 0, now, accuses)
        return nonce

    def get(self, nonce: int) -> Probe | None:
        return self._own.get(nonce)

    def remove(self, nonce: int) -> Probe | None:
        return self._own.pop(nonce, None)

    def complete(self, nonce: int, sender: str, life: int) -> Probe | None:
        """Remove and return the probe that an answer completes; None if the sender was not probed in this life."""
        probe = self._own.get(nonce)
        if probe is None or (probe.target and (probe.target != sender or probe.life > life)):
            return None
        return self._own.pop(nonce)

    def stop_accusing(self) -> None:
        """Keep pending probes from raising suspicions, after a stall of this process."""
        for probe in self._own.values():
            probe.accuses = False

    def start_relay(self, number: int, relay: Relay) -> int | None:
        """Start a probe for another member and return its nonce; None if ``MAX_RELAYS`` are pending."""
        if len(self._relays) >= MAX_RELAYS:
            return None
        nonce = self._nonce(number)
        self._relays[nonce] = relay
        return nonce

    def get_relay(self, nonce: int) -> Relay | None:
        return self._relays.get(nonce)

    def remove_relay(self, nonce: int) -> Relay | None:
        return self._relays.pop(nonce, None)

    def _nonce(self, number: int) -> int:
        return number << 20 | self._rng.getrandbits(20)


class AbsentContacts:
    """Chooses addresses outside the view: seeds while alone, then at intervals dead members and absent seeds."""

    def __init__(self, seeds: tuple[str, ...], rng: Random) -> None:
        self.seeds = seeds
        self._rng = rng
        self._backoff = 1  # periods
        self.periods = 0  # periods started so far

    def __repr__(self) -> str:
        return f"<AbsentContacts with {len(self.seeds)} seeds>"

    def sample_seeds(self) -> list[str]:
        """Return the addresses of up to three random seeds."""
        return self._rng.sample(self.seeds, min(3, len(self.seeds)))

    def next_retry_periods(self) -> float:
        """Return the periods until the next ping of seeds: exponential backoff up to 16 with 25 % jitter."""
        periods = self._backoff * (0.75 + 0.5 * self._rng.random())
        self._backoff = min(16, 2 * self._backoff)
        return periods

    def choose_absent(self, dead: list[tuple[str, str]], present: set[str]) -> tuple[str, str] | None:
        """Return name and address of a dead member, or of a seed ("" as its name) that is no address in the view."""
        candidates = dead + [("", seed) for seed in self.seeds if seed not in present]
        return self._rng.choice(candidates) if candidates else None
