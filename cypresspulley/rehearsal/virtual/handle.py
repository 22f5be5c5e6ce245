"""What is to be called on a virtual loop, and whose code it is."""

from __future__ import annotations

from collections.abc import Callable
from contextvars import Context
from typing import Any

from cypresspulley.rehearsal.virtual.owner import OWNER, Owner


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
