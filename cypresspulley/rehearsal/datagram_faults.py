"""Datagram faults: what the relay does to datagrams, and what the history checkers excuse. No I/O."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from cypresspulley.rehearsal.plan import PlannedFault
from cypresspulley.rehearsal.standins.datagrams import DatagramFault, Route, routes_between

# Up to these limits, lost or late datagrams excuse no death verdict. Beyond them the targets count as cut off.
MAX_MILD_LOSS = 0.2  # share of the datagrams
MAX_MILD_DELAY = 0.25  # in probe periods


@dataclass(frozen=True, slots=True)
class ScheduledDatagramFault:
    """A fault as the checkers know it: its kind and the groups that it affects or separates from all others."""

    kind: str
    sides: tuple[tuple[str, ...], ...]
    trouble: DatagramFault


def datagram_fault(
    fault: PlannedFault, names: Sequence[str], period: float, now: float
) -> ScheduledDatagramFault:
    """Convert a fault whose kind begins with ``datagram-`` for limiters of these names.

    ``period`` is the probe period, and ``now`` its start by the relay's clock, both in seconds.
    """
    targets = fault.targets
    if (degraded := _degraded_links(fault, _links_of_targets(names, targets))) is not None:
        if _is_mild(degraded, period):
            return ScheduledDatagramFault(f"fleet-{fault.kind.partition('-')[2]}", (targets,), degraded)
        return ScheduledDatagramFault("fleet-cut", tuple((name,) for name in targets or names), degraded)
    groups = fault.spec.groups
    if not groups and targets:
        groups = targets, tuple(name for name in names if name not in targets)
    between = routes_between(groups, fault.spec.one_way) if groups else None
    sides = groups[:-1] or tuple((name,) for name in names)
    # A limiter in no group hears all of them, so no limiter is isolated and no death verdict is excused.
    whole = not groups or sorted(name for group in groups for name in group) == sorted(names)
    if fault.kind == "datagram-flap":
        flap = DatagramFault(between, loss_share=1.0, flap_period=fault.spec.every, since=now)
        return ScheduledDatagramFault("fleet-flap" if whole else "fleet-partial", sides, flap)
    kind = "fleet-oneway" if fault.spec.one_way else "fleet-cut"
    return ScheduledDatagramFault(
        kind if whole else "fleet-partial", sides, DatagramFault(between, loss_share=1.0)
    )


def _links_of_targets(names: Sequence[str], targets: Sequence[str]) -> frozenset[Route] | None:
    """Return the links from and to the targets, or None (all links) without targets."""
    if not targets:
        return None
    return frozenset((a, b) for a in names for b in names if a != b and (a in targets or b in targets))


def _degraded_links(fault: PlannedFault, routes: frozenset[Route] | None) -> DatagramFault | None:
    """Return the effect of a fault that degrades links without cutting them, or None for other faults."""
    share, late = fault.spec.size, fault.spec.add_ms / 1000
    return {
        "datagram-loss": DatagramFault(routes, loss_share=share),
        "datagram-delay": DatagramFault(routes, delay_share=1.0, delay_seconds=late),
        "datagram-double": DatagramFault(routes, duplicate_share=share),
        "datagram-reorder": DatagramFault(routes, delay_share=share, delay_seconds=late),
    }.get(fault.kind)


def _is_mild(trouble: DatagramFault, period: float) -> bool:
    late = trouble.delay_seconds > MAX_MILD_DELAY * period
    return trouble.loss_share <= MAX_MILD_LOSS and not (late and trouble.delay_share > MAX_MILD_LOSS)
