"""Timer queue and local health of the failure detector. No I/O and no clock."""

from __future__ import annotations

import heapq

from cypresspulley.fleet import timing


class Timers:
    """A heap of (instant, number, kind, key). The tables of probes, relays and suspicions bound its size."""

    def __init__(self, period: float) -> None:
        self.period = period  # seconds, of probes
        self._heap = list[tuple[float, int, str, str]]()
        self._last_number = 0

    def __repr__(self) -> str:
        return f"<Timers: {len(self._heap)}, next at {self.next_due:.3f}>"

    def __len__(self) -> int:
        return len(self._heap)

    @property
    def next_due(self) -> float:
        """The instant of the next timer; infinity without one."""
        return self._heap[0][0] if self._heap else float("inf")

    def next_number(self) -> int:
        """Return a number that was not returned before."""
        self._last_number += 1
        return self._last_number

    def schedule_at(self, instant: float, kind: str, key: str = "") -> None:
        heapq.heappush(self._heap, (instant, self.next_number(), kind, key))

    def schedule_after(self, now: float, periods: float, kind: str, key: str = "") -> None:
        self.schedule_at(now + periods * self.period, kind, key)

    def pop_due(self, now: float) -> tuple[str, str] | None:
        """Remove the next timer that is due and return its kind and key."""
        if not self._heap or self._heap[0][0] > now:
            return None
        _, _, kind, key = heapq.heappop(self._heap)
        return kind, key

    def absorb_stall(self, now: float) -> float:
        """Return the seconds for which the process was stalled and postpone all timers by them; 0 without a stall.

        The process counts as stalled if its next timer is later than normal scheduling delays explain.
        """
        delay = now - self.next_due
        if delay <= max(timing.STALL_PERIODS * self.period, timing.MIN_STALL_SECONDS):
            return 0.0
        self._heap = [(at + delay, number, kind, key) for at, number, kind, key in self._heap]
        heapq.heapify(self._heap)
        return delay


class LocalHealth:
    """Local health (Lifeguard, section IV-A): 0 is good; probe time-outs are multiplied by the score plus one."""

    def __init__(self) -> None:
        self.score = 0
        self.no_deaths_until = float("-inf")  # no suspicion ends before this instant

    def __repr__(self) -> str:
        return f"<LocalHealth {self.score}>"

    def adjust(self, change: int) -> None:
        self.score = min(timing.MAX_HEALTH_SCORE, max(0, self.score + change))

    def record_stall(self, now: float, delay: float, period: float) -> None:
        """Lower the health after a stall of ``delay`` seconds: datagrams missed meanwhile say nothing about others."""
        periods = delay / period
        self.no_deaths_until = now + (1 + min(periods, 1.0)) * period
        self.adjust(1 + int(min(periods, 2.0)))
