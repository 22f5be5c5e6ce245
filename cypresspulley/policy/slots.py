"""How many attempts of an account are open over all gateways, counted by the shared counter where the plan limits them.

Time is divided into periods, each with a count of its own. An attempt adds 1 to its account's count of the period and
takes it off when it ends. An increment that gets lost expires with the period; attempts that are still open are carried
over to the next period.
"""

from cypresspulley.policy.counts import count_name

PERIOD_SECONDS = 8.0


class Slots:
    """The open attempts of one account at one gateway, and what of them has not been reported to the counter."""

    __slots__ = ("_label", "full_until", "open_attempts", "period", "unreported")

    def __init__(self, label: str) -> None:
        self._label = label
        self.period = -1
        self.open_attempts = 0  # attempts here that are open or wait for a slot
        self.unreported = 0.0  # what has not been reported to the period's count
        self.full_until = 0.0  # until then the limit is most likely reached

    def has_unreported(self, wall_time: float) -> bool:
        """Return whether anything is unreported to the counter, because the period is new or calls were lost or
        skipped."""
        self.add_open(wall_time, 0)
        return self.unreported != 0

    def add_open(self, wall_time: float, change: int) -> None:
        """Add ``change``, 1 or -1, to the open attempts. Periods follow wall time, so that all gateways agree on
        them."""
        if (period := int(wall_time // PERIOD_SECONDS)) != self.period:
            self.period, self.unreported = period, float(self.open_attempts)
        self.open_attempts, self.unreported = self.open_attempts + change, self.unreported + change

    def take_report(self) -> tuple[int, float, int]:
        """Return the count's name, the amount that brings it up to date, and its period."""
        unreported, self.unreported = self.unreported, 0.0
        return count_name("out", self._label, self.period), unreported, self.period

    def restore_report(self, period: int, amount: float) -> None:
        """Make the next call report an amount again that has certainly not been added."""
        self.unreported += amount * (period == self.period)
