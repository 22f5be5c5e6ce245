"""Who belongs to the fleet, as one limiter must reckon with it before it keeps anything. No I/O and no clock.

A limiter that was lost without leaving may have been told of a new calendar, or may serve on, cut off from the others
and not from its clients, whose changes nobody else hears of: for ``lost`` seconds nobody keeps anything without it.
After that those go on who are more than half of all that are known; what only the lost ones were told is not known to
the others then, and not in force. One that left in order is not waited for.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from cypresspulley.closing.lease import Instance
from cypresspulley.fleet.records import Member, State

FORGET = 3600.0  # seconds after which a lost limiter no longer counts for the half
MOST = 4096  # names


class Roster:
    """``needed`` is who has to agree; ``lost`` is in seconds, ``named`` how many limiters the operators' file names."""

    def __init__(self, lost: float, named: int) -> None:
        self._lost, self._named = lost, named
        self._lives = dict[str, int]()
        self._since = dict[str, float]()  # of those that are lost: since when
        self.needed = frozenset[Instance]()
        self._told = 0  # the largest number that another told

    def __repr__(self) -> str:
        return f"<Roster of {self.size}, {len(self.needed)} needed, {len(self._since)} lost>"

    @property
    def size(self) -> int:
        """Names that this limiter itself knows of."""
        return len(self._lives)

    @property
    def lost(self) -> int:
        """How many are lost, and still reckoned with."""
        return len(self._since)

    def look(
        self, now: float, present: Iterable[Member], known: Callable[[str], Member | None]
    ) -> frozenset[Instance]:  # fmt: skip
        """Take the view in; the lives that were there at the last look and are no more."""
        here = {member.name: member.life for member in present}
        before = {Instance(name, life) for name, life in self._lives.items() if name not in self._since}
        self._lives |= here
        for name in [name for name in self._lives if name not in here]:
            member = known(name)
            since = self._since.setdefault(name, now)
            if (member is not None and member.state is State.LEFT) or now - since > max(FORGET, self._lost):
                del self._lives[name], self._since[name]
        for name in here:
            self._since.pop(name, None)
        if len(self._lives) > MOST:
            for name in sorted(self._since, key=self._since.__getitem__)[: len(self._lives) - MOST]:
                del self._lives[name], self._since[name]
        self.needed = frozenset(
            Instance(name, life)
            for name, life in self._lives.items()
            if name in here or now - self._since[name] <= self._lost
        )
        return frozenset(life for life in before if here.get(life.name) != life.life)

    def told(self, sizes: Iterable[int]) -> None:
        """How many the others know of; a limiter that has just started cannot know."""
        self._told = max(sizes, default=0)

    def enough(self, count: int) -> bool:
        """Whether so many are more than half of all that are known."""
        return 2 * count > max(self.size, self._told, self._named)
