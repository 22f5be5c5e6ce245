"""An asyncio event loop in virtual time: it never waits, it jumps to the next moment at which something happens.

No wall clock, no thread, no descriptor. What happens at one moment happens in the order in which it was asked for;
randomness comes from the network's seed alone. Connections are those of ``network.VirtualNetwork``.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from contextvars import Context, copy_context
from typing import Any, TypeVar

from cypresspulley.rehearsal.standins.network import Factory, Link
from cypresspulley.rehearsal.virtual.listener import VirtualListener
from cypresspulley.rehearsal.virtual.network import VirtualNetwork, VirtualServer, VirtualTransport
from cypresspulley.rehearsal.virtual.owner import OWNER, Owner

T = TypeVar("T")
H = TypeVar("H", bound=asyncio.Handle)


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


def _owned_task(
    loop: asyncio.AbstractEventLoop, coro: Any, context: Context | None = None
) -> asyncio.Task[Any]:
    task = asyncio.Task(coro, loop=loop, context=context)
    owner = context.get(OWNER) if context is not None else OWNER.get()
    if owner is not None:
        owner.tasks[task] = None
        task.add_done_callback(lambda done: owner.tasks.pop(done, None))
    return task


class VirtualLoop(asyncio.BaseEventLoop):
    """The loop. ``seed`` decides how the network splits and delays; times are seconds from 0."""

    def __init__(self, seed: int = 0) -> None:
        super().__init__()
        self._virtual_now = 0.0
        self._selector = _Jump(self)
        self._clock_resolution = 1e-9
        self.network = VirtualNetwork(self, seed)
        self._handlers = dict[tuple[Owner | None, int], Callable[[], object]]()
        self._buried = dict[asyncio.Task[Any], None]()  # of the killed: they never run again
        self.set_task_factory(_owned_task)

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
        self._handlers[OWNER.get(), sig] = lambda: callback(*args)

    def remove_signal_handler(self, sig: int) -> bool:
        return self._handlers.pop((OWNER.get(), sig), None) is not None

    def deliver(self, owner: Owner, sig: int) -> None:
        """A signal for one of the made-up processes."""
        handler = self._handlers.get((owner, sig))
        if handler is not None:
            context = copy_context()
            context.run(OWNER.set, owner)
            self.call_soon(handler, context=context)

    def kill(self, owner: Owner) -> None:
        """End an owner as SIGKILL does: nothing of it runs again, its connections are reset by the machine."""
        owner.dead = True
        for handle in (*self._ready, *self._scheduled):  # type: ignore[attr-defined]
            if handle._context.get(OWNER) is owner:
                handle.cancel()
        for task in owner.tasks:
            task._log_destroy_pending = False  # type: ignore[attr-defined]
            self._buried[task] = None
        self._handlers = {key: value for key, value in self._handlers.items() if key[0] is not owner}
        self.network.bury(owner)

    def call_soon(self, callback: Any, *args: Any, context: Context | None = None) -> asyncio.Handle:  # type: ignore[override]
        return self._tagged(super().call_soon(callback, *args, context=context))

    def call_at(  # type: ignore[override]
        self, when: float, callback: Any, *args: Any, context: Context | None = None
    ) -> asyncio.TimerHandle:
        return self._tagged(super().call_at(when, callback, *args, context=context))

    def _tagged(self, handle: H) -> H:
        """What the dead ask for does not happen."""
        owner = handle._context.get(OWNER)  # type: ignore[attr-defined]
        if owner is not None and owner.dead:
            handle.cancel()
        return handle

    def make_listener(self, host: str, link: Link, factory: Factory, port: int) -> VirtualListener:
        """What the stand-ins listen with on this loop."""
        return VirtualListener(self.network, host, link, factory, port)

    def living(self) -> list[asyncio.Task[Any]]:
        """Tasks that can still run."""
        return [task for task in asyncio.all_tasks(self) if task not in self._buried]

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
        left = loop.living()
        for task in left:
            task.cancel()
        loop.run_until_complete(asyncio.gather(*left, return_exceptions=True))
        asyncio.set_event_loop(None)
        loop.network.close()
        loop.close()
