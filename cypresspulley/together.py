"""Joins what limiters do together: the fleet's view, lanes, closing, and the history of this process.

Imported only where the operators' file has ``[fleet]``. Arrows: ``lanes`` and ``closing`` read the view and write their
own row of it; neither knows the other, and the decisions know none of the three.
"""

from __future__ import annotations

import os
from collections.abc import Callable
from typing import TYPE_CHECKING, TypeVar

from cypresspulley import interface as api
from cypresspulley.fleet import timing
from cypresspulley.fleet.limiter import SIZE, Fleet
from cypresspulley.fleet.options import options_from as fleet_options
from cypresspulley.histories.clock import ShiftedClock
from cypresspulley.histories.writer import AnyHistory, History, NoHistory
from cypresspulley.net.node import Decisions, Node
from cypresspulley.operators import Operators, OperatorsError
from cypresspulley.policy.gateway import Gateway

if TYPE_CHECKING:
    from cypresspulley.closing.limiter import ClosingCache
    from cypresspulley.lanes.limiter import Lanes

N = TypeVar("N", bound=Node)


class Together:
    """What one limiter of a fleet starts and ends.

    ``clock`` never steps, ``wall`` is the wall clock as the machine has it; both are Unix seconds. ``history`` may be
    given in place of the file that the operators name, as plays in virtual time do. ``OperatorsError``
    names file, key and what was expected; ``ImportError`` an extra that is missing.
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
        bounds, keeping = dict[str, float](), None
        if operators.closing is not None:
            from cypresspulley.closing.options import options_from as closing_options

            path, table = operators.closing
            keeping = closing_options(table, path, settings)
            bounds = keeping.bounds
        if operators.lanes is not None:
            from cypresspulley.lanes.limiter import inversion_bound
            from cypresspulley.lanes.options import options_from as lanes_options

            path, table = operators.lanes
            spread = timing.spread(max(SIZE, len(options.seeds))) * options.period
            bounds |= {"inversion": inversion_bound(lanes_options(table, path, settings), spread)}
        self.fleet = Fleet(options, name, settings.zone, seed, clock, wall, self.history, bounds)
        self._clock, self._wall, self._settings, self._operators = clock, wall, settings, operators
        self.lanes: Lanes | None = None
        self.closing: ClosingCache | None = None
        if keeping is not None:
            from cypresspulley.closing.limiter import ClosingCache

            named = len({options.advertise, *options.seeds})
            self.closing = ClosingCache(keeping, self.fleet.view, clock, wall, self.history, named)

    def deciding(self, decide: Decisions, gateway: Gateway) -> Decisions:
        """The decisions with lanes before them, where the operators want these."""
        if self._operators.lanes is None:
            return decide
        from cypresspulley.lanes.limiter import Lanes
        from cypresspulley.lanes.options import options_from as lanes_options

        path, table = self._operators.lanes
        options = lanes_options(table, path, self._settings)
        self.lanes = Lanes(options, self.fleet.view, gateway, self._settings, self.history, self._clock)
        return self.lanes.deciding(decide)

    def node(self, kind: type[N]) -> type[N]:
        """The class of the node: one that keeps answers, where closing is on."""
        return kind if self.closing is None else self.closing.node(kind)

    async def start(self) -> None:
        """``OSError`` where the address for datagrams cannot be had."""
        await self.fleet.start()
        for part in (self.lanes, self.closing):
            if part is not None:
                part.start()

    def leave(self) -> None:
        """The process has begun to end: it says so, so that nobody suspects it."""
        self.fleet.leave()

    async def close(self) -> None:
        for part in (self.lanes, self.closing):
            if part is not None:
                part.close()
        await self.fleet.close()
        self.history.close()


__all__ = ["OperatorsError", "Together"]
