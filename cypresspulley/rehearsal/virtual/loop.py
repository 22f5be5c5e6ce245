"""An asyncio event loop in virtual time: it never waits, it jumps to the next moment at which something happens.

No wall clock, no thread, no descriptor. What happens at one moment happens in the order in which it was asked for;
randomness comes from the network's seed alone. Connections are those of ``network.VirtualNetwork``.
"""

from __future__ import annotations

import asyncio
import inspect
from collections import deque
from collections.abc import Callable, Coroutine
from contextvars import Context, copy_context
from heapq import heappop, heappush
from typing import Any, TypeVar, cast

from cypresspulley.rehearsal.standins.network import Factory, Link
from cypresspulley.rehearsal.virtual.datagrams import DatagramSocket
from cypresspulley.rehearsal.virtual.listener import VirtualListener
from cypresspulley.rehearsal.virtual.network import VirtualNetwork, VirtualServer, VirtualTransport
from cypresspulley.rehearsal.virtual.owner import OWNER, Owner, VirtualHandle

T = TypeVar("T")


class TurnLimitError(RuntimeError):
    """The loop took more turns than a play may: something goes on and on."""


class DeadlockError(RuntimeError):
    """Everything waits and nothing will ever happen: a real loop would hang here."""


def _owned_task(
    loop: asyncio.AbstractEventLoop, coro: Any, context: Context | None = None
) -> asyncio.Task[Any]:
    task = asyncio.Task(coro, loop=loop, context=context)
    owner = context.get(OWNER) if context is not None else OWNER.get()
    if owner is not None and owner.dead:
        cast(VirtualLoop, loop).bury(task)  # killed in the middle of a turn, whose rest still runs
    elif owner is not None:
        owner.tasks[task] = None
        task.add_done_callback(owner.forget)
    return task


class VirtualLoop(asyncio.BaseEventLoop):
    """The loop. ``seed`` decides how the network splits and delays; times are seconds from 0."""

    def __init__(self, seed: int = 0) -> None:
        super().__init__()
        self._virtual_now = 0.0
        self._soon = deque[VirtualHandle]()
        # By time and then by the order of asking: tuples compare without a line of Python.
        self.turns_left = 0  # until the loop counts as stuck; 0: never
        self._timers, self._count = list[tuple[float, int, VirtualHandle]](), 0
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

    def _run_once(self) -> None:
        """One turn: jump to the next timer where nothing is due, then run what is due now."""
        timers, soon = self._timers, self._soon
        while timers and timers[0][2]._callback is None:
            heappop(timers)
        if not soon:
            if not timers:
                raise DeadlockError(f"nothing is left to happen at {self._virtual_now:.6f} s")
            self._virtual_now = max(self._virtual_now, timers[0][0])
        while timers and timers[0][0] <= self._virtual_now:
            soon.append(heappop(timers)[2])
        if self.turns_left:
            self.turns_left -= len(soon)
            if self.turns_left <= 0:
                self.turns_left = 0
                raise TurnLimitError(f"too many turns of the loop by {self._virtual_now:.6f} s")
        for _ in range(len(soon)):
            handle = soon.popleft()
            if handle._callback is not None:
                self._run_handle(handle)

    def _run_handle(self, handle: VirtualHandle) -> None:
        owner = handle.owner
        if owner is not None and owner.asleep:
            return owner.held.append(handle)
        try:
            handle._context.run(handle._callback, *handle._args)  # type: ignore[arg-type]
        except (SystemExit, KeyboardInterrupt):
            raise
        except BaseException as error:
            context = copy_context()  # the handler of whose code it was
            context.run(OWNER.set, owner)
            context.run(
                self.call_exception_handler, {"message": f"exception in {handle!r}", "exception": error}
            )
        if owner is not None and owner.turns_left:
            owner.turned()

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

    def stop_owner(self, owner: Owner) -> None:
        """SIGSTOP: its code does not run, its connections stay, the machine goes on taking bytes for it."""
        owner.asleep = True

    def resume_owner(self, owner: Owner) -> None:
        """SIGCONT: all that became due meanwhile runs now, in the order in which it did."""
        owner.asleep = False
        held, owner.held = owner.held, deque()
        self._soon.extend(handle for handle in held if not handle.cancelled())

    def kill(self, owner: Owner) -> None:
        """End an owner as SIGKILL does: nothing of it runs again, its connections are reset by the machine."""
        owner.dead, owner.asleep = True, False
        owner.held.clear()
        for handle in (*self._soon, *(timer[2] for timer in self._timers)):
            if handle.owner is owner:
                handle.cancel()
        for task in owner.tasks:
            self.bury(task)
        self._handlers = {key: value for key, value in self._handlers.items() if key[0] is not owner}
        self.network.bury(owner)

    # What the dead ask for does not happen.

    def bury(self, task: asyncio.Task[Any]) -> None:
        """It never runs again, and nobody is told."""
        task._log_destroy_pending = False  # type: ignore[attr-defined]
        self._buried[task] = None
        coro = task.get_coro()
        if inspect.iscoroutine(coro) and inspect.getcoroutinestate(coro) == inspect.CORO_CREATED:
            coro.close()  # it never began: nothing in it is to be undone

    def call_soon(self, callback: Any, *args: Any, context: Context | None = None) -> VirtualHandle:  # type: ignore[override]
        handle = VirtualHandle(
            callback, args, copy_context() if context is None else context, self._virtual_now
        )
        if handle.owner is not None and handle.owner.dead:
            handle.cancel()
        else:
            self._soon.append(handle)
        return handle

    def call_later(  # type: ignore[override]
        self, delay: float, callback: Any, *args: Any, context: Context | None = None
    ) -> VirtualHandle:
        return self.call_at(self._virtual_now + delay, callback, *args, context=context)

    def call_at(  # type: ignore[override]
        self, when: float, callback: Any, *args: Any, context: Context | None = None
    ) -> VirtualHandle:
        handle = VirtualHandle(callback, args, copy_context() if context is None else context, when)
        if handle.owner is not None and handle.owner.dead:
            handle.cancel()
        else:
            self._count += 1
            heappush(self._timers, (when, self._count, handle))
        return handle

    def pending_handles(self, owner: Owner) -> list[VirtualHandle]:
        """Handles of an owner that are still to run: what it would leave behind if it ended now."""
        handles = (*self._soon, *(timer[2] for timer in self._timers))
        return [handle for handle in handles if handle.owner is owner and not handle.cancelled()]

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

    def open_listener(self, host: str, port: int, factory: Callable[[], asyncio.Protocol]) -> VirtualServer:
        """What a front of a limiter listens with on this loop (``net.listener.open_listener``)."""
        return self.network.listen(factory, host, port)

    async def create_datagram_endpoint(  # type: ignore[override]
        self,
        protocol_factory: Callable[[], asyncio.BaseProtocol],
        local_addr: tuple[str, int],
        **_: Any,
    ) -> tuple[DatagramSocket, asyncio.BaseProtocol]:
        return self.network.bind(protocol_factory, *local_addr[:2])


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
