"""What one customer has out over all gateways, where its plan limits that, as the shared counter has it.

Each try adds one to its customer's count of a spell of time and takes it off with its answer: what was lost on the way
is forgotten with the spell, what is still out goes over to the next one.
"""

from cypresspulley.policy.counts import count_name

PERIOD_SECONDS = 8.0  # seconds of a spell


class Slots:
    """What one gateway has told of its part."""

    __slots__ = ("_label", "full_until", "open_attempts", "period", "unreported")

    def __init__(self, label: str) -> None:
        self._label = label
        self.period = -1
        self.open_attempts = 0  # tries here that are out or wait to be
        self.unreported = 0.0  # what the count has not been told
        self.full_until = 0.0  # until then there is most likely no room

    def has_unreported(self, wall: float) -> bool:
        """Whether the count has not been told all: it is a new one, or calls were lost or left out."""
        self.add_open(wall, 0)
        return self.unreported != 0

    def add_open(self, wall: float, by: int) -> None:
        """One more is out here, or one less, at an instant of wall time: all gateways name spells alike."""
        if (period := int(wall // PERIOD_SECONDS)) != self.period:
            self.period, self.unreported = period, float(self.open_attempts)
        self.open_attempts, self.unreported = self.open_attempts + by, self.unreported + by

    def take_report(self) -> tuple[int, float, int]:
        """The count's name, the amount that brings it up to date, and its spell."""
        unreported, self.unreported = self.unreported, 0.0
        return count_name("out", self._label, self.period), unreported, self.period

    def restore_report(self, period: int, amount: float) -> None:
        """A call has certainly not been added: the next one makes up for it."""
        self.unreported += amount * (period == self.period)
