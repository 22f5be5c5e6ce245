"""Faults of datagrams: what the relay does to them, and what checkers are to excuse; free of I/O."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from cypresspulley.rehearsal.plan import PlannedFault
from cypresspulley.rehearsal.standins.datagrams import DatagramFault, Route, routes_between

# Up to these, datagrams that are lost or late excuse no death; beyond, whom they belong to counts as cut off.
MILD_LOSS = 0.2  # share of them
MILD_DELAY = 0.25  # of a period of probes


@dataclass(frozen=True, slots=True)
class Struck:
    """One fault as checkers know it: its kind, and the sides that it touches, or parts from all others."""

    kind: str
    sides: tuple[tuple[str, ...], ...]
    trouble: DatagramFault


def struck(fault: PlannedFault, names: Sequence[str], period: float, now: float) -> Struck:
    """What a fault whose kind begins with ``datagram-`` does among limiters of these names.

    ``period`` is that of probes, ``now`` the time by the relay's clock at which it begins; both in seconds."""
    targets = fault.targets
    if (rough := _rough(fault, _ways(names, targets))) is not None:
        if _mild(rough, period):
            return Struck(f"fleet-{fault.kind.partition('-')[2]}", (targets,), rough)
        return Struck("fleet-cut", tuple((name,) for name in targets or names), rough)
    groups = fault.spec.groups
    if not groups and targets:
        groups = targets, tuple(name for name in names if name not in targets)
    between = routes_between(groups, fault.spec.one_way) if groups else None
    sides = groups[:-1] or tuple((name,) for name in names)
    # Where somebody hears both sides nobody is parted: no death there is excused.
    whole = not groups or sorted(name for group in groups for name in group) == sorted(names)
    if fault.kind == "datagram-flap":
        flap = DatagramFault(between, loss_share=1.0, flap_period=fault.spec.every, since=now)
        return Struck("fleet-flap" if whole else "fleet-partial", sides, flap)
    kind = "fleet-oneway" if fault.spec.one_way else "fleet-cut"
    return Struck(kind if whole else "fleet-partial", sides, DatagramFault(between, loss_share=1.0))


def _ways(names: Sequence[str], targets: Sequence[str]) -> frozenset[Route] | None:
    """Those from and to the targets; None, for all, where there are none."""
    if not targets:
        return None
    return frozenset((a, b) for a in names for b in names if a != b and (a in targets or b in targets))


def _rough(fault: PlannedFault, routes: frozenset[Route] | None) -> DatagramFault | None:
    """What makes ways worse and does not cut them."""
    share, late = fault.spec.size, fault.spec.add_ms / 1000
    return {
        "datagram-loss": DatagramFault(routes, loss_share=share),
        "datagram-delay": DatagramFault(routes, delay_share=1.0, delay_seconds=late),
        "datagram-double": DatagramFault(routes, duplicate_share=share),
        "datagram-reorder": DatagramFault(routes, delay_share=share, delay_seconds=late),
    }.get(fault.kind)


def _mild(trouble: DatagramFault, period: float) -> bool:
    late = trouble.delay_seconds > MILD_DELAY * period
    return trouble.loss_share <= MILD_LOSS and not (late and trouble.delay_share > MILD_LOSS)
