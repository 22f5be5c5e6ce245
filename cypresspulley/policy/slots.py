"""What one customer has out over all gateways, where its plan limits that, as the shared counter has it.

Each try adds one to its customer's count of a spell of time and takes it off with its answer: what was lost on the way
is forgotten with the spell, what is still out goes over to the next one.
"""

from cypresspulley.policy.counts import count_name

LASTS = 8.0  # seconds of a spell


class Slots:
    """What one gateway has told of its part."""

    __slots__ = ("_label", "full_until", "held", "owed", "spell")

    def __init__(self, label: str) -> None:
        self._label = label
        self.spell = -1
        self.held = 0  # tries here that are out or wait to be
        self.owed = 0.0  # what the count has not been told
        self.full_until = 0.0  # until then there is most likely no room

    def late(self, wall: float) -> bool:
        """Whether the count has not been told all: it is a new one, or calls were lost or left out."""
        self.change(wall, 0)
        return self.owed != 0

    def change(self, wall: float, by: int) -> None:
        """One more is out here, or one less, at an instant of wall time: all gateways name spells alike."""
        if (spell := int(wall // LASTS)) != self.spell:
            self.spell, self.owed = spell, float(self.held)
        self.held, self.owed = self.held + by, self.owed + by

    def call(self) -> tuple[int, float, int]:
        """The count's name, the amount that brings it up to date, and its spell."""
        owed, self.owed = self.owed, 0.0
        return count_name("out", self._label, self.spell), owed, self.spell

    def missed(self, spell: int, amount: float) -> None:
        """A call has certainly not been added: the next one makes up for it."""
        self.owed += amount * (spell == self.spell)
