"""An asyncio event loop in virtual time: it never waits, it jumps to the next moment at which something happens.

No wall clock, no thread, no descriptor. What happens at one moment happens in the order in which it was asked for;
randomness comes from the network's seed alone. Connections are those of ``network.VirtualNetwork``.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

from cypresspulley.rehearsal.virtual.network import VirtualNetwork, VirtualServer, VirtualTransport

T = TypeVar("T")


class NothingLeftError(RuntimeError):
    """Everything waits and nothing will ever happen: a real loop would hang here."""


class _Jump:
    """Stands where a selector stands: in place of waiting it moves the loop's time."""

    def __init__(self, loop: VirtualLoop) -> None:
        self._loop = loop

    def select(self, timeout: float | None) -> list[Any]:
        if timeout is None:
            raise NothingLeftError(f"nothing is left to happen at {self._loop.time():.6f} s")
        self._loop.advance(timeout)
        return []

    def close(self) -> None: ...


class VirtualLoop(asyncio.BaseEventLoop):
    """The loop. ``seed`` decides how the network splits and delays; times are seconds from 0."""

    def __init__(self, seed: int = 0) -> None:
        super().__init__()
        self._virtual_now = 0.0
        self._selector = _Jump(self)
        self._clock_resolution = 1e-9
        self.network = VirtualNetwork(self, seed)
        self.signals = dict[int, Callable[[], object]]()

    def __repr__(self) -> str:
        return f"<VirtualLoop at {self._virtual_now:.6f} s, {self.network!r}>"

    def time(self) -> float:
        return self._virtual_now

    def advance(self, seconds: float) -> None:
        """Let time pass at once, as a paused machine's does."""
        self._virtual_now += seconds

    def _process_events(self, event_list: list[Any]) -> None: ...

    def _write_to_self(self) -> None: ...  # nobody waits in a selector: there is nothing to wake

    def add_signal_handler(self, sig: int, callback: Callable[..., object], *args: object) -> None:
        self.signals[sig] = lambda: callback(*args)

    def remove_signal_handler(self, sig: int) -> bool:
        return self.signals.pop(sig, None) is not None

    async def create_connection(  # type: ignore[override]
        self, protocol_factory: Callable[[], asyncio.BaseProtocol], host: str, port: int, **_: Any
    ) -> tuple[VirtualTransport, asyncio.BaseProtocol]:
        return await self.network.connect(protocol_factory, host, port)

    async def create_server(  # type: ignore[override]
        self, protocol_factory: Callable[[], asyncio.BaseProtocol], host: str, port: int, **_: Any
    ) -> VirtualServer:
        return self.network.listen(protocol_factory, host, port)


def run_virtual(main: Callable[[VirtualLoop], Coroutine[Any, Any, T]], seed: int = 0) -> T:
    """Run a coroutine function on a loop of its own; what it leaves running is cancelled."""
    loop = VirtualLoop(seed)
    try:
        asyncio.set_event_loop(loop)
        return loop.run_until_complete(main(loop))
    finally:
        left = asyncio.all_tasks(loop)
        for task in left:
            task.cancel()
        loop.run_until_complete(asyncio.gather(*left, return_exceptions=True))
        asyncio.set_event_loop(None)
        loop.close()
