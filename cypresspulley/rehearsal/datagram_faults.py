"""Faults of datagrams: what the relay does to them, and what checkers are to excuse; free of I/O."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from cypresspulley.rehearsal.plan import PlannedFault
from cypresspulley.rehearsal.standins.datagrams import Trouble, Way, ways_between

# Up to these, datagrams that are lost or late excuse no death; beyond, whom they belong to counts as cut off.
MILD_LOSS = 0.2  # share of them
MILD_DELAY = 0.25  # of a period of probes


@dataclass(frozen=True, slots=True)
class DatagramFault:
    """One fault as checkers know it: its kind, and the sides that it touches, or parts from all others."""

    kind: str
    sides: tuple[tuple[str, ...], ...]
    trouble: Trouble


def datagram_fault(fault: PlannedFault, names: Sequence[str], period: float, now: float) -> DatagramFault:
    """What a fault whose kind begins with ``datagram-`` does among limiters of these names.

    ``period`` is that of probes, ``now`` the time by the relay's clock at which it begins; both in seconds."""
    targets = fault.targets
    if (rough := _rough(fault, _ways(names, targets))) is not None:
        if _mild(rough, period):
            return DatagramFault(f"fleet-{fault.kind.partition('-')[2]}", (targets,), rough)
        return DatagramFault("fleet-cut", tuple((name,) for name in targets or names), rough)
    groups = fault.spec.groups
    if not groups and targets:
        groups = targets, tuple(name for name in names if name not in targets)
    between = ways_between(groups, fault.spec.one_way) if groups else None
    sides = groups[:-1] or tuple((name,) for name in names)
    # Where somebody hears both sides nobody is parted: no death there is excused.
    whole = not groups or sorted(name for group in groups for name in group) == sorted(names)
    if fault.kind == "datagram-flap":
        flap = Trouble(between, lost=1.0, every=fault.spec.every, since=now)
        return DatagramFault("fleet-flap" if whole else "fleet-partial", sides, flap)
    kind = "fleet-oneway" if fault.spec.one_way else "fleet-cut"
    return DatagramFault(kind if whole else "fleet-partial", sides, Trouble(between, lost=1.0))


def _ways(names: Sequence[str], targets: Sequence[str]) -> frozenset[Way] | None:
    """Those from and to the targets; None, for all, where there are none."""
    if not targets:
        return None
    return frozenset((a, b) for a in names for b in names if a != b and (a in targets or b in targets))


def _rough(fault: PlannedFault, ways: frozenset[Way] | None) -> Trouble | None:
    """What makes ways worse and does not cut them."""
    share, late = fault.spec.size, fault.spec.add_ms / 1000
    return {
        "datagram-loss": Trouble(ways, lost=share),
        "datagram-delay": Trouble(ways, held=1.0, by=late),
        "datagram-double": Trouble(ways, doubled=share),
        "datagram-reorder": Trouble(ways, held=share, by=late),
    }.get(fault.kind)


def _mild(trouble: Trouble, period: float) -> bool:
    late = trouble.by > MILD_DELAY * period
    return trouble.lost <= MILD_LOSS and not (late and trouble.held > MILD_LOSS)
