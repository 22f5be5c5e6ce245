"""Who owns what on a virtual loop: handles, tasks and connections of one process, which end with it."""

from __future__ import annotations

import asyncio
from contextvars import ContextVar
from typing import Any


class Owner:
    """One made-up process. Killed, nothing of it runs again and nothing of it is told so."""

    def __init__(self, name: str) -> None:
        self.name, self.dead = name, False
        self.tasks = dict[asyncio.Task[Any], None]()

    def __repr__(self) -> str:
        return f"<Owner {self.name}{' dead' * self.dead}, {len(self.tasks)} tasks>"


OWNER: ContextVar[Owner | None] = ContextVar("owner", default=None)
