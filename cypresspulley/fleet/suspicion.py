"""Who is under suspicion here, since when, and by whose word. No I/O and no clock."""

from __future__ import annotations

from dataclasses import dataclass, field

from cypresspulley.fleet import timing


@dataclass(slots=True)
class Suspicion:
    """``since`` is when it began here, ``told`` whether another holds the member dead."""

    since: float
    accusers: set[str] = field(default_factory=set)
    death_reported: bool = False

    def deadline(self, members: int, period: float) -> float:
        """When it ends in a fleet of so many members."""
        periods = timing.suspicion_periods(members, max(0, len(self.accusers) - 1))
        if self.death_reported:
            periods = min(periods, timing.reported_death_periods(members))
        return self.since + periods * period

    def has_accuser(self, accuser: str) -> bool:
        """Whether this one's word would change nothing."""
        return accuser in self.accusers or len(self.accusers) > timing.SUSPICION_CONFIRMATIONS


class Suspicions:
    """One for each member that is held suspected."""

    def __init__(self, period: float) -> None:
        self._period = period
        self._by_name = dict[str, Suspicion]()

    def __repr__(self) -> str:
        return f"<Suspicions of {', '.join(self._by_name) or 'nobody'}>"

    def __len__(self) -> int:
        return len(self._by_name)

    def get(self, name: str) -> Suspicion | None:
        return self._by_name.get(name)

    def add_accuser(self, now: float, name: str, accuser: str, death_reported: bool, members: int) -> tuple[bool, float | None]:
        """One more suspects the member, or holds it dead: whether it is the first word of this one, and the instant
        at which the suspicion now ends where that is earlier than before."""
        suspicion = self._by_name.setdefault(name, Suspicion(now))
        before = suspicion.deadline(members, self._period) if suspicion.accusers else float("inf")
        new = not suspicion.has_accuser(accuser)
        if new:
            suspicion.accusers.add(accuser)
        suspicion.death_reported = suspicion.death_reported or death_reported
        until = suspicion.deadline(members, self._period)
        return new, until if until < before else None

    def deadline(self, name: str, members: int) -> float | None:
        """When it ends; None for one that is not suspected."""
        suspicion = self._by_name.get(name)
        return None if suspicion is None else suspicion.deadline(members, self._period)

    def remove(self, name: str) -> Suspicion | None:
        return self._by_name.pop(name, None)

    def postpone(self, seconds: float) -> None:
        """This process stood still for so many seconds, in which nobody could refute anything before it."""
        for suspicion in self._by_name.values():
            suspicion.since += seconds
