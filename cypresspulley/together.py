"""Connects the services of a fleet of limiters: the fleet view, lanes, closing, and the history of this process.

This module is imported only where the operators' file has ``[fleet]``. ``lanes`` and ``closing`` read the fleet view
and write their own row of it. Neither depends on the other, and the decision module depends on none of the three.
"""

from __future__ import annotations

import os
from collections.abc import Callable
from typing import TYPE_CHECKING, TypeVar

from cypresspulley import interface as api
from cypresspulley.fleet import timing
from cypresspulley.fleet.limiter import DEFAULT_FLEET_SIZE, FleetMember
from cypresspulley.fleet.options import options_from as fleet_options
from cypresspulley.histories.clock import ShiftedClock
from cypresspulley.histories.writer import AnyHistory, History, NoHistory
from cypresspulley.net.node import DecisionModule, Node
from cypresspulley.operators import Operators, OperatorsError
from cypresspulley.policy.gateway import Gateway

if TYPE_CHECKING:
    from cypresspulley.closing.limiter import ClosingCache
    from cypresspulley.lanes.limiter import LoadShedder

N = TypeVar("N", bound=Node)


class FleetServices:
    """The services that one limiter of a fleet starts and stops.

    ``clock`` is a clock that never steps, and ``wall`` is the machine's wall clock; both return Unix seconds.
    ``history`` replaces the file that the operators name, for simulations in virtual time. ``OperatorsError`` is raised
    for a wrong table; it names the file, the key and what was expected. ``ImportError`` names an extra that is missing.
    """

    def __init__(
        self, operators: Operators, name: str, settings: api.Settings, seed: int,
        clock: Callable[[], float], wall: Callable[[], float], history: AnyHistory | None = None,
    ) -> None:  # fmt: skip
        assert operators.fleet is not None
        if operators.clock is not None:
            wall = ShiftedClock(operators.clock, wall)
        path, table = operators.fleet
        options = fleet_options(table, path, os.environ.get("FAWNSEAM_FLEET_KEY", ""))
        self.history: AnyHistory = history or NoHistory()
        if history is None and operators.history is not None:
            self.history = History(operators.history, clock, wall)
        bounds, closing_config = dict[str, float](), None
        if operators.closing is not None:
            from cypresspulley.closing.options import options_from as closing_options

            path, table = operators.closing
            closing_config = closing_options(table, path, settings)
            bounds = closing_config.bounds
        if operators.lanes is not None:
            from cypresspulley.lanes.limiter import inversion_bound
            from cypresspulley.lanes.options import options_from as lanes_options

            path, table = operators.lanes
            spread = timing.spread_periods(max(DEFAULT_FLEET_SIZE, len(options.seeds))) * options.period
            bounds |= {"inversion": inversion_bound(lanes_options(table, path, settings), spread)}
        self.fleet = FleetMember(options, name, settings.zone, seed, clock, wall, self.history, bounds)
        self._clock, self._wall, self._settings, self._operators = clock, wall, settings, operators
        self.load_shedder: LoadShedder | None = None
        self.closing: ClosingCache | None = None
        if closing_config is not None:
            from cypresspulley.closing.limiter import ClosingCache

            named = len({options.advertise, *options.seeds})
            self.closing = ClosingCache(closing_config, self.fleet.view, clock, wall, self.history, named)

    def wrap(self, decide: DecisionModule, gateway: Gateway) -> DecisionModule:
        """Return the decision module, with load shedding before it where the operators configured lanes."""
        if self._operators.lanes is None:
            return decide
        from cypresspulley.lanes.limiter import LoadShedder
        from cypresspulley.lanes.options import options_from as lanes_options

        path, table = self._operators.lanes
        options = lanes_options(table, path, self._settings)
        self.load_shedder = LoadShedder(
            options, self.fleet.view, gateway, self._settings, self.history, self._clock
        )
        return self.load_shedder.wrap(decide)

    def node(self, kind: type[N]) -> type[N]:
        """Return the class of the node; it is one that caches answers where closing is on."""
        return kind if self.closing is None else self.closing.node(kind)

    async def start(self) -> None:
        """Start all services; ``OSError`` is raised where the address for datagrams cannot be bound."""
        await self.fleet.start()
        for service in (self.load_shedder, self.closing):
            if service is not None:
                service.start()

    def leave(self) -> None:
        """Announce that the process is shutting down, so that no other member suspects it of having failed."""
        self.fleet.leave()

    async def close(self) -> None:
        for service in (self.load_shedder, self.closing):
            if service is not None:
                service.close()
        await self.fleet.close()
        self.history.close()


__all__ = ["FleetServices", "OperatorsError"]
