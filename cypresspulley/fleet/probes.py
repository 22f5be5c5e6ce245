"""Probes under way, this member's own and those for others, and the order of their targets. No I/O and no clock."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random
from typing import NamedTuple

from cypresspulley.fleet.view import View

MAX_RELAYS = 64  # indirect probes under way for others


@dataclass(slots=True)
class Probe:
    """One probe of mine. ``asked`` counts the helpers, ``missed`` those who say that they did not reach it either."""

    target: str
    life: int
    sent: float
    accuses: bool = True  # whether its failing accuses: a word to the dead or a seed does not
    helpers: int = 0
    nacks: int = 0


class Relay(NamedTuple):
    """A probe for another: where it wants to be told, its nonce, and the target."""

    address: str
    nonce: int
    target: str


class Probes:
    """All draws are from ``rng``. A probe ends with its answer or its time-out, so that there are few at any time."""

    def __init__(self, view: View, rng: Random) -> None:
        self._view, self._rng = view, rng
        self._own = dict[int, Probe]()  # by nonce
        self._relays = dict[int, Relay]()  # by my nonce
        self.remaining_targets = list[str]()  # of targets, the next one last

    def __repr__(self) -> str:
        return f"<Probes: {len(self._own)} of mine, {len(self._relays)} for others>"

    def random_phase(self) -> float:
        """A number from 0 to 1."""
        return self._rng.random()

    def next_target(self) -> str | None:
        """Each member once a round, in an order drawn for it (SWIM, section 4.3)."""
        for _ in range(2):
            while self.remaining_targets:
                name = self.remaining_targets.pop()
                held = self._view.get(name)
                if held is not None and held.state.present:
                    return name
            self.remaining_targets = list(self._view.other_names())
            self._rng.shuffle(self.remaining_targets)
        return None

    def add_to_round(self, name: str) -> None:
        """A new member has its place in the round that is under way."""
        self.remaining_targets.insert(self._rng.randint(0, len(self.remaining_targets)), name)

    def sample_others(self, count: int) -> Sequence[str]:
        """So many present members, drawn."""
        names = self._view.other_names()
        return self._rng.sample(names, min(count, len(names)))

    def start(self, now: float, number: int, name: str, accuses: bool) -> int:
        """A probe of ``name``, "" for whoever is at an address; its nonce, which nobody else can guess."""
        nonce = self._nonce(number)
        held = self._view.get(name)
        self._own[nonce] = Probe(name, held.life if held else 0, now, accuses)
        return nonce

    def get(self, nonce: int) -> Probe | None:
        return self._own.get(nonce)

    def remove(self, nonce: int) -> Probe | None:
        return self._own.pop(nonce, None)

    def complete(self, nonce: int, sender: str, life: int) -> Probe | None:
        """The probe that this answer ends; None where nobody asked the sender in this life."""
        probe = self._own.get(nonce)
        if probe is None or (probe.target and (probe.target != sender or probe.life > life)):
            return None
        return self._own.pop(nonce)

    def stop_accusing(self) -> None:
        """This process stood still: none that is under way accuses."""
        for probe in self._own.values():
            probe.accuses = False

    def start_relay(self, number: int, relay: Relay) -> int | None:
        """Probe for another; the nonce, None where too many are under way."""
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
    """Whom to call who is not in the view: seeds until there is somebody, then now and then the dead and the unseen."""

    def __init__(self, seeds: tuple[str, ...], rng: Random) -> None:
        self.seeds = seeds
        self._rng = rng
        self._backoff = 1  # periods
        self.periods = 0  # that have begun

    def __repr__(self) -> str:
        return f"<Calls to {len(self.seeds)} seeds>"

    def sample_seeds(self) -> list[str]:
        """Addresses of some seeds."""
        return self._rng.sample(self.seeds, min(3, len(self.seeds)))

    def next_retry_periods(self) -> float:
        """Periods until the next knock: each longer than the last, up to 16 give or take a quarter."""
        periods = self._backoff * (0.75 + 0.5 * self._rng.random())
        self._backoff = min(16, 2 * self._backoff)
        return periods

    def choose_absent(self, dead: list[tuple[str, str]], held: set[str]) -> tuple[str, str] | None:
        """Name and address of one that is held dead, or of a seed ("") that nobody in the view has."""
        choice = dead + [("", seed) for seed in self.seeds if seed not in held]
        return self._rng.choice(choice) if choice else None
