"""The states of the lanes at one limiter, as a table.

Calm: nothing is held back. Pressed: the fleet refuses for want of room, and it is not yet sure that it goes on.
Shedding: lanes are in force. Easing: they still are, the pressure is gone and each spell lets more pass, until one is
open.

| state | high | level | low | a spell is in force | an open spell |
| --- | --- | --- | --- | --- | --- |
| calm | pressed, at once | - | - | shedding | - |
| pressed | shedding, after 2 | calm, after 4 | calm, after 2 | shedding | - |
| shedding | - | - | easing, after 6 | - | calm |
| easing | shedding, after 2 | - | - | - | calm |

Numbers are periods in a row with that signal: in is quicker than out. The signal is of the whole fleet's pressure. A
spell that another limiter made counts as much as an own one: states differ only for as long as rows travel.
"""

from __future__ import annotations

from enum import IntEnum


class State(IntEnum):
    CALM = 0
    PRESSED = 1
    SHEDDING = 2
    EASING = 3

    @property
    def in_force(self) -> bool:
        return self >= State.SHEDDING


class Signal(IntEnum):
    """Of the pressure, with room between high and low, so that what is near one of them changes nothing."""

    LOW = 0
    LEVEL = 1
    HIGH = 2


HIGH = 0.3  # of the pressure
LOW = 0.1  # of the pressure
TABLE: dict[tuple[State, Signal], tuple[State, int]] = {
    (State.CALM, Signal.HIGH): (State.PRESSED, 1),
    (State.PRESSED, Signal.HIGH): (State.SHEDDING, 2),
    (State.PRESSED, Signal.LEVEL): (State.CALM, 4),
    (State.PRESSED, Signal.LOW): (State.CALM, 2),
    (State.SHEDDING, Signal.LOW): (State.EASING, 6),
    (State.EASING, Signal.HIGH): (State.SHEDDING, 2),
}


def signal_of(pressure: float) -> Signal:
    return Signal.HIGH if pressure >= HIGH else Signal.LOW if pressure <= LOW else Signal.LEVEL


class Machine:
    """One limiter's state: a signal once a period, and whatever spell holds."""

    def __init__(self) -> None:
        self.state = State.CALM
        self._signal, self._row = Signal.LEVEL, 0

    def __repr__(self) -> str:
        return f"<Machine {self.state.name.lower()}, {self._signal.name.lower()} for {self._row}>"

    def heard(self, signal: Signal) -> bool:
        """A period's signal; True where the state is another now."""
        self._row = self._row + 1 if signal is self._signal else 1
        self._signal = signal
        then = TABLE.get((self.state, signal))
        if then is None or self._row < then[1]:
            return False
        return self._enter(then[0])

    def held(self, in_force: bool) -> bool:
        """A spell holds that is in force, or is open; True where the state is another now."""
        if in_force and not self.state.in_force:
            return self._enter(State.SHEDDING)
        return not in_force and self.state.in_force and self._enter(State.CALM)

    def off(self) -> bool:
        """There is no view to go by: as if lanes were off."""
        return self.state is not State.CALM and self._enter(State.CALM)

    def _enter(self, state: State) -> bool:
        self.state, self._row = state, 0
        return True
