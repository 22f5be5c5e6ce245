"""The state machine: shedding starts by the fleet's pressure, faster than it ends; a level signal changes nothing."""

from __future__ import annotations

from cypresspulley.lanes.states import (
    HIGH_PRESSURE,
    LOW_PRESSURE,
    TRANSITIONS,
    Signal,
    State,
    StateMachine,
    signal_of,
)


def _count_signals(machine: StateMachine, signal: Signal, limit: int = 50) -> int:
    """Return the number of signals until the state changes."""
    return next(n for n in range(1, limit) if machine.handle_signal(signal))


def test_the_way_in_and_out() -> None:
    machine = StateMachine()
    first, states = _count_signals(machine, Signal.HIGH), [machine.state]
    signals_in = first + _count_signals(machine, Signal.HIGH)
    states.append(machine.state)
    signals_out = _count_signals(machine, Signal.LOW)
    assert [*states, machine.state] == [State.PRESSED, State.SHEDDING, State.EASING]
    assert first == 1
    assert signals_out > signals_in
    assert not any(machine.handle_signal(Signal.LOW) for _ in range(50))  # only an open policy ends it
    assert machine.handle_policy(in_force=False)
    assert not machine.state.in_force


def test_one_high_period_sheds_nothing() -> None:
    machine = StateMachine()
    for _ in range(20):
        machine.handle_signal(Signal.HIGH)
        machine.handle_signal(Signal.LEVEL)
    assert not machine.state.in_force


def test_what_lies_between_changes_nothing_while_lanes_are_in_force() -> None:
    for state in (State.SHEDDING, State.EASING):
        machine = StateMachine()
        machine.state = state
        assert not any(machine.handle_signal(Signal.LEVEL) for _ in range(100))


def test_pressure_that_returns_while_easing() -> None:
    machine = StateMachine()
    machine.state = State.EASING
    _count_signals(machine, Signal.HIGH)
    assert machine.state is State.SHEDDING


def test_a_spell_that_another_made_is_in_force_here() -> None:
    machine = StateMachine()
    assert machine.handle_policy(in_force=True)
    assert machine.state is State.SHEDDING
    assert not machine.handle_policy(in_force=True)
    assert machine.reset()
    assert not machine.reset()


def test_signals_and_the_printed_table() -> None:
    assert [
        signal_of(p) for p in (0.0, LOW_PRESSURE, (LOW_PRESSURE + HIGH_PRESSURE) / 2, HIGH_PRESSURE, 1.0)
    ] == [0, 0, 1, 2, 2]
    import cypresspulley.lanes.states as module

    for (state, _), (target, periods) in TRANSITIONS.items():
        line = next(
            line
            for line in (module.__doc__ or "").splitlines()
            if line.startswith(f"| {state.name.lower()} |")
        )
        expected = f"{target.name.lower()}, " + ("at once" if periods == 1 else f"after {periods}")
        assert expected in line
