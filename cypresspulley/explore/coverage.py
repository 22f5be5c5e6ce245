"""Counts which request lifecycle transitions occurred under which kinds of fault. Performs no I/O."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from cypresspulley.explore.lifecycle import OPERATOR_TRANSITIONS, TRANSITIONS

NO_FAULT = "no fault"
# Extra draw weight, over the base weight of 1, of a fault kind under which no transition has occurred yet.
UNMET_WEIGHT = 3.0
Pair = tuple[str, str]  # (transition, fault kind)


@dataclass(slots=True)
class Coverage:
    """Counts of (transition, fault kind) pairs over all plays; ``kinds`` are the fault kinds that can be drawn."""

    kinds: tuple[str, ...]
    met: Counter[Pair] = field(default_factory=Counter)
    plays: int = 0

    def add(self, met: Iterable[tuple[Pair, int]]) -> None:
        for pair, count in met:
            self.met[pair] += count
        self.plays += 1

    def unmet_pairs(self) -> list[Pair]:
        """Return the pairs that occurred in no play, in a fixed order."""
        return [(name, kind) for kind in self.kinds for name in TRANSITIONS if not self.met[name, kind]]

    def weights(self) -> dict[str, float]:
        """Return the draw weight of each fault kind, which grows with the share of its pairs that are unmet."""
        unmet_counts = Counter(kind for _, kind in self.unmet_pairs())
        return {
            kind: round(1.0 + UNMET_WEIGHT * unmet_counts[kind] / len(TRANSITIONS), 6) for kind in self.kinds
        }

    def unlisted_transitions(self) -> list[str]:
        """Return transitions that occurred but are not in the model's list."""
        return sorted({name for name, _ in self.met} - set(TRANSITIONS) - OPERATOR_TRANSITIONS)

    def as_json(self) -> dict[str, object]:
        rows = sorted(self.met.items())
        return {
            "plays": self.plays,
            "pairs_met": len({p for p in self.met if p[1] in self.kinds and p[0] in TRANSITIONS}),
            "pairs": len(TRANSITIONS) * len(self.kinds),
            "met": [{"transition": name, "fault": kind, "times": count} for (name, kind), count in rows],
            "never": [{"transition": name, "fault": kind} for name, kind in self.unmet_pairs()],
        }
