"""The spell that holds at one limiter, and when the next revision is due. No clock: time is an argument.

Any limiter may make a revision. So that they do not all at once, each leaves it for a moment to those before it by
name.
"""

from __future__ import annotations

from cypresspulley.lanes import shedding_policy
from cypresspulley.lanes.allocation import Pressure, Told, borne, shares
from cypresspulley.lanes.options import LanesOptions
from cypresspulley.lanes.rows import TENTHS, LanesRow
from cypresspulley.lanes.shedding_policy import WHOLE, Spell
from cypresspulley.lanes.states import State

PATIENCE = 2  # periods that each limiter leaves to the one before it by name to make the next spell
MOST_PATIENT = 3  # limiters that are waited for at most
REVIEW = 6.0  # seconds between two revisions: rows must show what the last one did
SOON = 3.0  # the same where gates refuse too much
TIGHT = 2.0  # times what is wanted of them, and lower lanes have more than their floors
STEADY = 0.08  # of a threshold: smaller revisions are not made
TURNED_AT_MOST = 20_000  # accounts of a spell that histories have been told of


class Course:
    """The spell that holds here, and when the next one is due."""

    def __init__(self, options: LanesOptions, count: int, now: float) -> None:
        self._options, self.spell = options, shedding_policy.first(count)
        self._since: float = now
        self._ends: float = 0.0
        self._wanted: float | None = None
        self._let = set[str]()
        self.off = True  # until there is a view

    def __repr__(self) -> str:
        inside = "/".join(f"{share / WHOLE:.2f}" for share in self.spell.inside)
        return f"<spell {self.spell.number} {'open' if self.spell.open else inside}{', off' * self.off}>"

    @property
    def in_force(self) -> bool:
        return not self.off and not self.spell.open

    @property
    def bears(self) -> float:
        """What the fleet was held to bear when the spell was made, units a second."""
        return self.spell.bears / TENTHS

    def left(self, now: float) -> float:
        """Seconds until the spell ends; 0 for an open one."""
        return 0.0 if self.spell.open else max(0.0, self._ends - now)

    def first_let(self, account: str) -> bool:
        if account in self._let or len(self._let) >= TURNED_AT_MOST:
            return False
        self._let.add(account)
        return True

    def join(self, now: float, rows: list[LanesRow]) -> bool:
        """Take the spell that holds over all that are known; True where it is another one."""
        best = max(rows, key=lambda row: row.spell.key, default=None)
        if best is None:
            return False
        changed = best.spell.holds_over(self.spell)
        if changed:
            self._enter(now, best.spell, best.left)
        for row in rows:
            if row.spell.key == self.spell.key:
                self._ends = min(self._ends, now + row.left)  # the earliest: rows come late, never early
        return changed

    def _enter(self, now: float, spell: Spell, left: float) -> None:
        self.spell, self._since, self._wanted = spell, now, None
        self._ends = now + min(left, self._options.spell)
        self._let.clear()

    def due(self, now: float, state: State, found: Pressure, told: list[Told], before: int) -> bool:
        """Whether this limiter is to make the next spell now; ``before`` others have the word first."""
        wanted = self._wants(now, state, found, told)
        if not wanted:
            self._wanted = None
            return False
        self._wanted = now if self._wanted is None else self._wanted
        return now - self._wanted >= before * PATIENCE * self._options.period - 1e-6

    def _wants(self, now: float, state: State, found: Pressure, told: list[Told]) -> bool:
        if self.spell.open:
            return state.in_force
        if now - self._since < 2 * self._options.period:
            return False
        if now >= self._ends:
            return True
        return now - self._since >= (SOON if self._too_much(found, told) else REVIEW)

    def _too_much(self, found: Pressure, told: list[Told]) -> bool:
        """Whether gates refuse far more than is wanted, while lower lanes could give way."""
        if found.over < TIGHT or found.pressed < 2:
            return False
        wanted = shares(self._options.lanes, told, borne(self._options.lanes, told, self.bears)).passing
        held = self.spell.inside
        return any(share * WHOLE < 0.9 * mine for share, mine in zip(wanted[1:], held[1:], strict=True))

    def turn(self, now: float, state: State, told: list[Told], maker: int) -> None:
        """Make the next revision: by all rows, and let no more pass than before while someone is not heard."""
        bears = borne(self._options.lanes, told, None if self.spell.open else self.bears)
        found = shares(self._options.lanes, told, bears)
        inside, beyond = found.passing, found.passing_beyond
        if any(row.stale for row in told):
            inside = tuple(min(s, h / WHOLE) for s, h in zip(inside, self.spell.inside, strict=True))
            beyond = tuple(min(s, h / WHOLE) for s, h in zip(beyond, self.spell.beyond, strict=True))
        elif state is State.EASING and min(inside) >= 1:
            return self._enter(now, shedding_policy.opened(self.spell, maker), 0.0)
        over = self.spell.open or now >= self._ends
        if not over:
            inside = tuple(_steady(s, h / WHOLE) for s, h in zip(inside, self.spell.inside, strict=True))
        until = now + self._options.spell if over else 0.0
        spell = shedding_policy.revised(self.spell, maker, until, bears, inside, beyond)
        return self._enter(now, spell, self._options.spell if over else self.left(now))


def _steady(wanted: float, held: float) -> float:
    """A threshold is left where it is for a small difference: each change costs some account its place, whose clients
    then ask again in vain, or are let in too late to be of use."""
    return held if abs(wanted - held) < STEADY * max(wanted, held) else wanted
