"""The states of load shedding at one limiter, as a table.

Calm: nothing is shed. Pressed: the fleet refuses requests for lack of capacity, and it is not yet certain that this
lasts. Shedding: a policy that sheds load is in force. Easing: such a policy is still in force but the pressure is gone,
and each rotation period admits more until a policy is open.

| state | high | level | low | a policy is in force | an open policy |
| --- | --- | --- | --- | --- | --- |
| calm | pressed, at once | - | - | shedding | - |
| pressed | shedding, after 2 | calm, after 4 | calm, after 2 | shedding | - |
| shedding | - | - | easing, after 6 | - | calm |
| easing | shedding, after 2 | - | - | - | calm |

Numbers are consecutive periods with that signal; shedding starts faster than it ends. The signal is that of the
pressure on the whole fleet. A policy made by another limiter counts as much as one made here: states differ between
limiters only for as long as rows are in transit.
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
    """The level of the pressure. The gap between high and low is a hysteresis: values in it change no state."""

    LOW = 0
    LEVEL = 1
    HIGH = 2


HIGH_PRESSURE = 0.3  # unserved share of the demand from which the signal is high
LOW_PRESSURE = 0.1  # unserved share of the demand up to which the signal is low
TRANSITIONS: dict[tuple[State, Signal], tuple[State, int]] = {
    (State.CALM, Signal.HIGH): (State.PRESSED, 1),
    (State.PRESSED, Signal.HIGH): (State.SHEDDING, 2),
    (State.PRESSED, Signal.LEVEL): (State.CALM, 4),
    (State.PRESSED, Signal.LOW): (State.CALM, 2),
    (State.SHEDDING, Signal.LOW): (State.EASING, 6),
    (State.EASING, Signal.HIGH): (State.SHEDDING, 2),
}


def signal_of(pressure: float) -> Signal:
    return (
        Signal.HIGH if pressure >= HIGH_PRESSURE else Signal.LOW if pressure <= LOW_PRESSURE else Signal.LEVEL
    )


class StateMachine:
    """The state of one limiter, driven by one signal a period and by the policy that applies."""

    def __init__(self) -> None:
        self.state = State.CALM
        self._signal, self._consecutive = Signal.LEVEL, 0

    def __repr__(self) -> str:
        return (
            f"<StateMachine {self.state.name.lower()}, {self._signal.name.lower()} for {self._consecutive}>"
        )

    def handle_signal(self, signal: Signal) -> bool:
        """Process a period's signal; return whether the state has changed."""
        self._consecutive = self._consecutive + 1 if signal is self._signal else 1
        self._signal = signal
        transition = TRANSITIONS.get((self.state, signal))
        if transition is None or self._consecutive < transition[1]:
            return False
        return self._enter(transition[0])

    def handle_policy(self, in_force: bool) -> bool:
        """Process the policy that applies, in force or open; return whether the state has changed."""
        if in_force and not self.state.in_force:
            return self._enter(State.SHEDDING)
        return not in_force and self.state.in_force and self._enter(State.CALM)

    def reset(self) -> bool:
        """Return to calm where there is no fleet view, as if lanes were off; return whether the state has changed."""
        return self.state is not State.CALM and self._enter(State.CALM)

    def _enter(self, state: State) -> bool:
        self.state, self._consecutive = state, 0
        return True
