"""Who owns what on a virtual loop: handles, tasks and connections of one process, which end with it."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from contextvars import Context, ContextVar
from typing import Any


class Owner:
    """One made-up process. Killed, nothing of it runs again and nothing of it is told so."""

    def __init__(self, name: str) -> None:
        self.name, self.dead = name, False
        self.tasks = dict[asyncio.Task[Any], None]()
        self.connections, self.descriptors = 0, 0  # that it has open, and may have; 0: no bound
        self.asleep = False  # stopped as SIGSTOP does: what is due waits here, in order
        self.held: deque[VirtualHandle] = deque()
        # What strikes after so many of its turns on the loop, or of its writes; 0 counts nothing.
        self.turns_left = self.writes_left = 0
        self.strike: Callable[[], object] | None = None

    def __repr__(self) -> str:
        return f"<Owner {self.name}{' dead' * self.dead}{' asleep' * self.asleep}, {len(self.tasks)} tasks>"

    def forget(self, task: asyncio.Task[Any]) -> None:
        self.tasks.pop(task, None)

    def call_after_steps(self, turns: int, writes: int, strike: Callable[[], object]) -> None:
        """Call ``strike`` behind its n-th turn or its n-th write from now; the other number is 0."""
        self.turns_left, self.writes_left, self.strike = turns, writes, strike

    def turned(self) -> None:
        """One turn is over: every await that is reached ends one."""
        self.turns_left -= 1
        if self.turns_left == 0 and self.strike is not None:
            Context().run(self.strike)  # what it starts is not this owner's

    def wrote(self) -> None:
        """One write has left for the machine, which delivers it whatever becomes of the process."""
        self.writes_left -= 1
        if self.writes_left == 0 and self.strike is not None:
            Context().run(self.strike)


OWNER: ContextVar[Owner | None] = ContextVar("owner", default=None)


class VirtualHandle:
    """What asyncio's Handle and TimerHandle are to a program, with the owner whose code it runs."""

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
