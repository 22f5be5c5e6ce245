"""The table of states: in by the fleet's pressure, quicker than out, and never by what is in between."""

from __future__ import annotations

from cypresspulley.lanes.states import HIGH, LOW, TABLE, Machine, Signal, State, signal_of


def _steps(machine: Machine, signal: Signal, most: int = 50) -> int:
    """Signals until the state is another."""
    return next(n for n in range(1, most) if machine.heard(signal))


def test_the_way_in_and_out() -> None:
    machine = Machine()
    first, states = _steps(machine, Signal.HIGH), [machine.state]
    inward = first + _steps(machine, Signal.HIGH)
    states.append(machine.state)
    outward = _steps(machine, Signal.LOW)
    assert [*states, machine.state] == [State.PRESSED, State.SHEDDING, State.EASING]
    assert first == 1
    assert outward > inward
    assert not any(machine.heard(Signal.LOW) for _ in range(50))  # only an open spell ends it
    assert machine.held(in_force=False)
    assert not machine.state.in_force


def test_one_high_period_sheds_nothing() -> None:
    machine = Machine()
    for _ in range(20):
        machine.heard(Signal.HIGH)
        machine.heard(Signal.LEVEL)
    assert not machine.state.in_force


def test_what_lies_between_changes_nothing_while_lanes_are_in_force() -> None:
    for state in (State.SHEDDING, State.EASING):
        machine = Machine()
        machine.state = state
        assert not any(machine.heard(Signal.LEVEL) for _ in range(100))


def test_pressure_that_returns_while_easing() -> None:
    machine = Machine()
    machine.state = State.EASING
    _steps(machine, Signal.HIGH)
    assert machine.state is State.SHEDDING


def test_a_spell_that_another_made_is_in_force_here() -> None:
    machine = Machine()
    assert machine.held(in_force=True)
    assert machine.state is State.SHEDDING
    assert not machine.held(in_force=True)
    assert machine.off()
    assert not machine.off()


def test_signals_and_the_printed_table() -> None:
    assert [signal_of(p) for p in (0.0, LOW, (LOW + HIGH) / 2, HIGH, 1.0)] == [0, 0, 1, 2, 2]
    import cypresspulley.lanes.states as module

    for (state, _), (then, periods) in TABLE.items():
        line = next(
            line
            for line in (module.__doc__ or "").splitlines()
            if line.startswith(f"| {state.name.lower()} |")
        )
        said = f"{then.name.lower()}, " + ("at once" if periods == 1 else f"after {periods}")
        assert said in line
