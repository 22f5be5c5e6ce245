"""An asyncio event loop in virtual time: it never waits, but sets its clock to the time of the next timer.

It uses no wall clock, thread or selector. Callbacks that are due at the same time run in the order in which they were
scheduled; all randomness comes from the seed of the network. Connections are those of ``network.VirtualNetwork``.
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
    """The loop ran more callbacks than its limit allows, so the run does not end by itself."""


class DeadlockError(RuntimeError):
    """All tasks wait and no callback or timer is scheduled; a real loop would hang here."""


def _create_owned_task(
    loop: asyncio.AbstractEventLoop, coro: Any, context: Context | None = None
) -> asyncio.Task[Any]:
    task = asyncio.Task(coro, loop=loop, context=context)
    owner = context.get(OWNER) if context is not None else OWNER.get()
    if owner is not None and owner.is_killed:
        cast(VirtualLoop, loop).abandon_task(task)  # killed during a turn, the rest of which still runs
    elif owner is not None:
        owner.tasks[task] = None
        task.add_done_callback(owner.forget)
    return task


class VirtualLoop(asyncio.BaseEventLoop):
    """The loop. ``seed`` decides how the network splits and delays data; time is in seconds and starts at 0."""

    def __init__(self, seed: int = 0) -> None:
        super().__init__()
        self._virtual_now = 0.0
        self._due = deque[VirtualHandle]()
        self.turns_left = 0  # callbacks until the loop counts as stuck; 0 for no limit
        # A heap by time and then by order of scheduling; comparing tuples runs no Python code.
        self._timers, self._timer_count = list[tuple[float, int, VirtualHandle]](), 0
        self.network = VirtualNetwork(self, seed)
        self._owner_signal_handlers = dict[tuple[Owner | None, int], Callable[[], object]]()
        self._abandoned_tasks = dict[asyncio.Task[Any], None]()  # of killed owners; they never run again
        self.set_task_factory(_create_owned_task)

    def __repr__(self) -> str:
        return f"<VirtualLoop at {self._virtual_now:.6f} s, {self.network!r}>"

    def time(self) -> float:
        return self._virtual_now

    def advance(self, seconds: float) -> None:
        """Set the clock forward at once, as after a pause of the machine."""
        self._virtual_now += seconds

    def _run_once(self) -> None:
        """Run one turn: if nothing is due, go to the time of the next timer; then run what is due."""
        timers, due = self._timers, self._due
        while timers and timers[0][2]._callback is None:
            heappop(timers)
        if not due:
            if not timers:
                raise DeadlockError(f"nothing is left to happen at {self._virtual_now:.6f} s")
            self._virtual_now = max(self._virtual_now, timers[0][0])
        while timers and timers[0][0] <= self._virtual_now:
            due.append(heappop(timers)[2])
        if self.turns_left:
            self.turns_left -= len(due)
            if self.turns_left <= 0:
                self.turns_left = 0
                raise TurnLimitError(f"too many turns of the loop by {self._virtual_now:.6f} s")
        for _ in range(len(due)):
            handle = due.popleft()
            if handle._callback is not None:
                self._run_handle(handle)

    def _run_handle(self, handle: VirtualHandle) -> None:
        owner = handle.owner
        if owner is not None and owner.is_stopped:
            return owner.deferred.append(handle)
        try:
            handle._context.run(handle._callback, *handle._args)  # type: ignore[arg-type]
        except (SystemExit, KeyboardInterrupt):
            raise
        except BaseException as error:
            context = copy_context()  # the exception handler runs as the owner whose code failed
            context.run(OWNER.set, owner)
            context.run(
                self.call_exception_handler, {"message": f"exception in {handle!r}", "exception": error}
            )
        if owner is not None and owner.turns_left:
            owner.count_turn()

    def _write_to_self(self) -> None: ...  # there is no selector to wake

    def add_signal_handler(self, sig: int, callback: Callable[..., object], *args: object) -> None:
        self._owner_signal_handlers[OWNER.get(), sig] = lambda: callback(*args)

    def remove_signal_handler(self, sig: int) -> bool:
        return self._owner_signal_handlers.pop((OWNER.get(), sig), None) is not None

    def deliver_signal(self, owner: Owner, sig: int) -> None:
        """Deliver a signal to a simulated process."""
        handler = self._owner_signal_handlers.get((owner, sig))
        if handler is not None:
            context = copy_context()
            context.run(OWNER.set, owner)
            self.call_soon(handler, context=context)

    def stop_owner(self, owner: Owner) -> None:
        """Stop an owner as SIGSTOP does: its code does not run, its connections stay open and still receive data."""
        owner.is_stopped = True

    def resume_owner(self, owner: Owner) -> None:
        """Resume an owner as SIGCONT does: all that became due meanwhile runs now, in that order."""
        owner.is_stopped = False
        deferred, owner.deferred = owner.deferred, deque()
        self._due.extend(handle for handle in deferred if not handle.cancelled())

    def kill(self, owner: Owner) -> None:
        """End an owner as SIGKILL does: none of its code runs again, and its connections are reset."""
        owner.is_killed, owner.is_stopped = True, False
        owner.deferred.clear()
        for handle in (*self._due, *(timer[2] for timer in self._timers)):
            if handle.owner is owner:
                handle.cancel()
        for task in owner.tasks:
            self.abandon_task(task)
        self._owner_signal_handlers = {
            key: value for key, value in self._owner_signal_handlers.items() if key[0] is not owner
        }
        self.network.discard(owner)

    # Scheduling. What a killed owner schedules does not run.

    def abandon_task(self, task: asyncio.Task[Any]) -> None:
        """Make sure that a task of a killed owner never runs again, without a warning."""
        task._log_destroy_pending = False  # type: ignore[attr-defined]
        self._abandoned_tasks[task] = None
        coro = task.get_coro()
        if inspect.iscoroutine(coro) and inspect.getcoroutinestate(coro) == inspect.CORO_CREATED:
            coro.close()  # it never started, so no cleanup in it runs

    def call_soon(self, callback: Any, *args: Any, context: Context | None = None) -> VirtualHandle:  # type: ignore[override]
        handle = VirtualHandle(
            callback, args, copy_context() if context is None else context, self._virtual_now
        )
        if handle.owner is not None and handle.owner.is_killed:
            handle.cancel()
        else:
            self._due.append(handle)
        return handle

    def call_later(  # type: ignore[override]
        self, delay: float, callback: Any, *args: Any, context: Context | None = None
    ) -> VirtualHandle:
        return self.call_at(self._virtual_now + delay, callback, *args, context=context)

    def call_at(  # type: ignore[override]
        self, when: float, callback: Any, *args: Any, context: Context | None = None
    ) -> VirtualHandle:
        handle = VirtualHandle(callback, args, copy_context() if context is None else context, when)
        if handle.owner is not None and handle.owner.is_killed:
            handle.cancel()
        else:
            self._timer_count += 1
            heappush(self._timers, (when, self._timer_count, handle))
        return handle

    def pending_handles(self, owner: Owner) -> list[VirtualHandle]:
        """Return the handles of an owner that are still to run, which it would leave behind if it ended now."""
        handles = (*self._due, *(timer[2] for timer in self._timers))
        return [handle for handle in handles if handle.owner is owner and not handle.cancelled()]

    def make_listener(self, host: str, link: Link, factory: Factory, port: int) -> VirtualListener:
        """Listen for a stand-in; ``standins.network.listen`` calls this."""
        return VirtualListener(self.network, host, link, factory, port)

    def live_tasks(self) -> list[asyncio.Task[Any]]:
        """Return the tasks that can still run."""
        return [task for task in asyncio.all_tasks(self) if task not in self._abandoned_tasks]

    async def create_connection(  # type: ignore[override]
        self, protocol_factory: Callable[[], asyncio.BaseProtocol], host: str, port: int, **_: Any
    ) -> tuple[VirtualTransport, asyncio.BaseProtocol]:
        return await self.network.connect(protocol_factory, host, port)

    async def create_server(  # type: ignore[override]
        self, protocol_factory: Callable[[], asyncio.BaseProtocol], host: str, port: int, **_: Any
    ) -> VirtualServer:
        return self.network.listen(protocol_factory, host, port)

    def open_listener(self, host: str, port: int, factory: Callable[[], asyncio.Protocol]) -> VirtualServer:
        """Listen for the front of a limiter; ``net.listener.open_listener`` calls this."""
        return self.network.listen(factory, host, port)

    async def create_datagram_endpoint(  # type: ignore[override]
        self,
        protocol_factory: Callable[[], asyncio.BaseProtocol],
        local_addr: tuple[str, int],
        **_: Any,
    ) -> tuple[DatagramSocket, asyncio.BaseProtocol]:
        return self.network.bind(protocol_factory, *local_addr[:2])


def run_virtual(main: Callable[[VirtualLoop], Coroutine[Any, Any, T]], seed: int = 0) -> T:
    """Run a coroutine function on a new virtual loop; tasks that it leaves running are cancelled."""
    loop = VirtualLoop(seed)
    try:
        asyncio.set_event_loop(loop)
        return loop.run_until_complete(main(loop))
    finally:
        remaining = loop.live_tasks()
        for task in remaining:
            task.cancel()
        loop.run_until_complete(asyncio.gather(*remaining, return_exceptions=True))
        asyncio.set_event_loop(None)
        loop.network.close()
        loop.close()
