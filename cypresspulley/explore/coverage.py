"""Which transitions of a request's life met which faults; free of I/O."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from cypresspulley.explore.lifecycle import OPERATOR_TRANSITIONS, TRANSITIONS

NO_FAULT = "no fault"
UNMET_WEIGHT = 3.0  # how much likelier a kind is drawn that has met nothing yet than one that has met all
Pair = tuple[str, str]  # a transition, a kind of fault


@dataclass(slots=True)
class Coverage:
    """Counts of pairs; ``kinds`` are the faults that can be drawn."""

    kinds: tuple[str, ...]
    met: Counter[Pair] = field(default_factory=Counter)
    plays: int = 0

    def add(self, met: Iterable[tuple[Pair, int]]) -> None:
        for pair, count in met:
            self.met[pair] += count
        self.plays += 1

    def unmet_pairs(self) -> list[Pair]:
        """Pairs that no play has met, in a fixed order."""
        return [(name, kind) for kind in self.kinds for name in TRANSITIONS if not self.met[name, kind]]

    def weights(self) -> dict[str, float]:
        """How likely each kind is drawn next: the more of its pairs were never met, the likelier."""
        missing = Counter(kind for _, kind in self.unmet_pairs())
        return {kind: round(1.0 + UNMET_WEIGHT * missing[kind] / len(TRANSITIONS), 6) for kind in self.kinds}

    def unlisted_transitions(self) -> list[str]:
        """Transitions that were met and that the model's list does not name."""
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
