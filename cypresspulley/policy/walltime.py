"""Wall time, by which all gateways name the spells of what is out alike, over steps of the wall clock."""


class WallTime:
    """The wall clock as the decisions follow it. All machines read one clock: a step reaches all gateways at once."""

    def __init__(self) -> None:
        self._offset = 0.0  # seconds by which wall time is ahead of the decisions' clock

    def __repr__(self) -> str:
        return f"<WallTime {self._offset:+.3f} s>"

    def at(self, now: float) -> float:
        """Wall time at an instant of the decisions' clock."""
        return now + self._offset

    def set_offset(self, offset: float) -> None:
        """The wall clock is ``offset`` seconds ahead from now on."""
        self._offset = offset
