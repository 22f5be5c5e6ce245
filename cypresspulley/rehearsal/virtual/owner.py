"""Simulated processes on a virtual loop. Each owns handles, tasks and connections, which end with it."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from contextvars import Context, ContextVar
from typing import Any


class Owner:
    """One simulated process. Once it is killed, none of its code runs again and none is notified."""

    def __init__(self, name: str) -> None:
        self.name, self.is_killed = name, False
        self.tasks = dict[asyncio.Task[Any], None]()
        self.connections, self.descriptors = 0, 0  # open ones, and the limit on them; 0 for no limit
        self.is_stopped = False  # as by SIGSTOP; handles that become due wait in ``deferred``, in order
        self.deferred: deque[VirtualHandle] = deque()
        # Turns on the loop or writes until ``on_countdown`` is called; 0 counts none.
        self.turns_left = self.writes_left = 0
        self.on_countdown: Callable[[], object] | None = None

    def __repr__(self) -> str:
        return f"<Owner {self.name}{' killed' * self.is_killed}{' stopped' * self.is_stopped}, {len(self.tasks)} tasks>"

    def forget(self, task: asyncio.Task[Any]) -> None:
        self.tasks.pop(task, None)

    def set_countdown(self, turns: int, writes: int, on_countdown: Callable[[], object]) -> None:
        """Call ``on_countdown`` after that many turns or writes from now; the other number is 0."""
        self.turns_left, self.writes_left, self.on_countdown = turns, writes, on_countdown

    def count_turn(self) -> None:
        """Count the end of one turn on the loop; every await that suspends ends a turn."""
        self.turns_left -= 1
        if self.turns_left == 0 and self.on_countdown is not None:
            # In an empty context, because what it starts does not belong to this owner.
            Context().run(self.on_countdown)

    def count_write(self) -> None:
        """Count one write, which is delivered even if the process is killed afterwards."""
        self.writes_left -= 1
        if self.writes_left == 0 and self.on_countdown is not None:
            Context().run(self.on_countdown)


OWNER: ContextVar[Owner | None] = ContextVar("owner", default=None)


class VirtualHandle:
    """Replaces asyncio's Handle and TimerHandle, and knows the owner whose code it runs."""

    __slots__ = ("_args", "_callback", "_context", "_when", "owner")

    def __init__(
        self, callback: Callable[..., object] | None, args: tuple[Any, ...], context: Context, when: float
    ) -> None:
        self._callback, self._args, self._context, self._when = callback, args, context, when
        self.owner: Owner | None = context.get(OWNER)

    def __repr__(self) -> str:
        return f"<VirtualHandle {self._callback!r} at {self._when:.6f} s of {self.owner!r}>"

    @property
    def callback(self) -> Any:
        return self._callback

    @property
    def args(self) -> tuple[Any, ...]:
        return self._args

    def cancel(self) -> None:
        self._callback, self._args = None, ()

    def cancelled(self) -> bool:
        return self._callback is None

    def when(self) -> float:
        return self._when
