"""Abusive clients: GraphQL bodies that must each be answered with an error, sent at a steady rate."""

from __future__ import annotations

import asyncio
from collections import Counter

from cypresspulley.rehearsal.plan import random_for, request_id
from cypresspulley.rehearsal.standins.clients import Dialer, FrontBalancer
from cypresspulley.rehearsal.standins.graphql import abusive_bodies
from cypresspulley.rehearsal.standins.run_context import RunContext

ERROR_DEADLINE = 3.0  # seconds within which an abusive request must get an error or a close
FIRST_NUMBER = 1 << 40  # of a request; above the numbers of all other clients


class AbusiveClients:
    """Send ``rate`` bodies per second until second ``seconds`` of the run, drawn from the seed.

    ``answered`` counts responses by name of the body and status.
    """

    def __init__(
        self,
        context: RunContext,
        front: FrontBalancer,
        address: Dialer,
        seed: int,
        rate: float,
        seconds: float,
        plan: str,
    ) -> None:
        self._context, self._front, self._address = context, front, address
        self._seed, self._rate, self._seconds, self._plan = seed, rate, seconds, plan
        self._bodies = sorted(abusive_bodies().items())
        self._tasks = set[asyncio.Task[None]]()
        self.answered = Counter[tuple[str, int]]()

    async def play(self) -> None:
        rng, loop, number = random_for(self._seed, "abuse"), asyncio.get_running_loop(), 0
        while (wait := rng.expovariate(self._rate)) + self._context.now() < self._seconds:
            await asyncio.sleep(wait)
            name, body = rng.choice(self._bodies)
            task = loop.create_task(self._send_one(name, body, number := number + 1))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        if self._tasks:
            await asyncio.wait(self._tasks)

    async def _send_one(self, name: str, body: bytes, number: int) -> None:
        """Send one body and check that it gets an error, unless the limiter is down or dies meanwhile."""
        limiters = sorted(self._front.up_now) or None
        if limiters is None:
            return
        limiter = limiters[number % len(limiters)]
        head = (
            f"POST /graphql?account={1 + number % 7:016x} HTTP/1.1\r\nHost: x\r\n"
            f"X-Request-ID: {request_id(self._seed, FIRST_NUMBER + number, 0)}\r\nX-Plan: {self._plan}\r\n"
            "X-Timeout-Ms: 4000\r\nX-Quota: units=1,spread=2,first=0\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        try:
            async with asyncio.timeout(ERROR_DEADLINE):
                reader, writer = await asyncio.open_connection(*self._address(limiter))
                try:
                    writer.write(head.encode() + body)
                    line = await reader.readline()
                finally:
                    writer.transport.abort()
        except TimeoutError:
            if limiter in self._front.up_now:
                self._context.complain(f"{limiter} left {name!r} without an error for {ERROR_DEADLINE} s")
            return
        except OSError:
            return
        status = int(line.split()[1]) if line.startswith(b"HTTP/1.1 ") else 0
        self.answered[name, status] += 1
        if status and not 400 <= status < 500:
            self._context.complain(f"{limiter} answered {name!r} with {status}; expected a 4xx")
