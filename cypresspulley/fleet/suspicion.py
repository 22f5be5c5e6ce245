"""Members under suspicion, with the start of each suspicion and its accusers. No I/O and no clock."""

from __future__ import annotations

from dataclasses import dataclass, field

from cypresspulley.fleet import timing


@dataclass(slots=True)
class Suspicion:
    """A suspicion that began at ``since``; ``death_reported`` is set if another member holds the suspect dead."""

    since: float
    accusers: set[str] = field(default_factory=set)
    death_reported: bool = False

    def deadline(self, members: int, period: float) -> float:
        """Return the instant at which the suspicion ends in a fleet of ``members``."""
        periods = timing.suspicion_periods(members, max(0, len(self.accusers) - 1))
        if self.death_reported:
            periods = min(periods, timing.reported_death_periods(members))
        return self.since + periods * period

    def ignores_accuser(self, accuser: str) -> bool:
        """Return whether an accusation by this member changes nothing: it is known, or there are enough accusers."""
        return accuser in self.accusers or len(self.accusers) > timing.SUSPICION_CONFIRMATIONS


class Suspicions:
    """The suspicions of this member, by the name of the suspect."""

    def __init__(self, period: float) -> None:
        self._period = period
        self._by_name = dict[str, Suspicion]()

    def __repr__(self) -> str:
        return f"<Suspicions of {', '.join(self._by_name) or 'nobody'}>"

    def __len__(self) -> int:
        return len(self._by_name)

    def get(self, name: str) -> Suspicion | None:
        return self._by_name.get(name)

    def add_accuser(
        self, now: float, name: str, accuser: str, death_reported: bool, members: int
    ) -> tuple[bool, float | None]:
        """Add an accuser that suspects the member or reports its death.

        Return whether the accusation is new, and the new deadline if it is earlier than before.
        """
        suspicion = self._by_name.setdefault(name, Suspicion(now))
        before = suspicion.deadline(members, self._period) if suspicion.accusers else float("inf")
        new = not suspicion.ignores_accuser(accuser)
        if new:
            suspicion.accusers.add(accuser)
        suspicion.death_reported = suspicion.death_reported or death_reported
        until = suspicion.deadline(members, self._period)
        return new, until if until < before else None

    def deadline(self, name: str, members: int) -> float | None:
        """Return the instant at which the suspicion ends; None for a member that is not suspected."""
        suspicion = self._by_name.get(name)
        return None if suspicion is None else suspicion.deadline(members, self._period)

    def remove(self, name: str) -> Suspicion | None:
        return self._by_name.pop(name, None)

    def postpone(self, seconds: float) -> None:
        """Postpone all suspicions by a stall of this process, during which it could not receive a refutation."""
        for suspicion in self._by_name.values():
            suspicion.since += seconds
