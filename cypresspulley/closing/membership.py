"""The limiters that have to agree before this one uses its cache, and the quorum among them. No I/O and no clock.

A limiter that was lost without leaving may have received a new calendar. Or it may go on serving its clients, cut off
from the other limiters, which do not hear of the writes that it forwards. So for ``lost_seconds`` no limiter uses its
cache without it. After that, the cache is used again by those that are more than half of all known limiters. What only
the lost limiters know is then unknown to the others and not in force. A limiter that left in order is not waited for.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from cypresspulley.closing.lease import Instance
from cypresspulley.fleet.records import Member, MemberState

FORGET_LOST_SECONDS = 3600.0  # time after which a lost limiter no longer counts for the quorum
MAX_NAMES = 4096


class Membership:
    """``required`` are the instances that have to agree.

    ``lost_seconds`` is a time, and ``configured`` the number of limiters that the operators' file names.
    """

    def __init__(self, lost_seconds: float, configured: int) -> None:
        self._lost_seconds, self._configured = lost_seconds, configured
        self._lives = dict[str, int]()  # by name
        self._lost_since = dict[str, float]()  # by name of a lost limiter
        self.required = frozenset[Instance]()
        self._max_peer_size = 0  # the highest number of limiters that another one knows

    def __repr__(self) -> str:
        return f"<Membership of {self.size}, {len(self.required)} required, {len(self._lost_since)} lost>"

    @property
    def size(self) -> int:
        """The number of limiter names known here, lost ones included."""
        return len(self._lives)

    @property
    def lost_count(self) -> int:
        """The number of lost limiters that still count."""
        return len(self._lost_since)

    def update(
        self, now: float, present: Iterable[Member], find_member: Callable[[str], Member | None]
    ) -> frozenset[Instance]:  # fmt: skip
        """Apply the members of the fleet view; return the instances that have gone since the last update."""
        here = {member.name: member.life for member in present}
        before = {Instance(name, life) for name, life in self._lives.items() if name not in self._lost_since}
        self._lives |= here
        for name in [name for name in self._lives if name not in here]:
            member = find_member(name)
            since = self._lost_since.setdefault(name, now)
            if (member is not None and member.state is MemberState.LEFT) or now - since > max(
                FORGET_LOST_SECONDS, self._lost_seconds
            ):
                del self._lives[name], self._lost_since[name]
        for name in here:
            self._lost_since.pop(name, None)
        if len(self._lives) > MAX_NAMES:
            for name in sorted(self._lost_since, key=self._lost_since.__getitem__)[
                : len(self._lives) - MAX_NAMES
            ]:
                del self._lives[name], self._lost_since[name]
        self.required = frozenset(
            Instance(name, life)
            for name, life in self._lives.items()
            if name in here or now - self._lost_since[name] <= self._lost_seconds
        )
        return frozenset(instance for instance in before if here.get(instance.name) != instance.life)

    def record_peer_sizes(self, sizes: Iterable[int]) -> None:
        """Record how many limiters the others know, which a limiter that has just started cannot know itself."""
        self._max_peer_size = max(sizes, default=0)

    def is_majority(self, count: int) -> bool:
        """Return whether ``count`` limiters are more than half of all known or configured ones."""
        return 2 * count > max(self.size, self._max_peer_size, self._configured)
