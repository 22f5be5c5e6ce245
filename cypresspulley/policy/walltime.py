"""Wall time, by which all gateways agree on the periods of open attempts even when the wall clock steps."""


class WallTime:
    """Wall time on the clock of the decision module. All machines follow one time source, so that a step reaches all
    gateways at once."""

    def __init__(self) -> None:
        self._offset = 0.0  # seconds by which wall time is ahead of the decision clock

    def __repr__(self) -> str:
        return f"<WallTime {self._offset:+.3f} s>"

    def at(self, now: float) -> float:
        """Return the wall time at a time of the decision clock."""
        return now + self._offset

    def set_offset(self, offset: float) -> None:
        """Set how many seconds the wall clock is ahead of the decision clock from now on."""
        self._offset = offset
