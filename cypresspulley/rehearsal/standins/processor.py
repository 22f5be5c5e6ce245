"""The processor model of a bag server: processor sharing with slots, a queue, a cold start and overload crashes.

It does no I/O and takes the time as an argument. Work is CPU seconds on one core. ``n`` jobs in slots share ``cores``
of speed 1, each at most one core; every job beyond two per core costs ``thrash`` of the capacity. A cold server starts
with ``cold_share`` of its capacity, which rises linearly to the whole within ``cold_seconds``.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass

JOBS_PER_CORE = 2.0  # jobs in slots per core beyond which thrashing begins


@dataclass(frozen=True, slots=True)
class Machine:
    """The parameters of a server; times are in seconds."""

    cores: float
    slots: int
    waiting: int
    thrash: float
    cold_share: float
    cold_seconds: float
    fall_multiple: float
    fall_seconds: float
    mean_work: float  # mean CPU seconds of a request


def warm_up_share(age: float, cold_share: float, cold_seconds: float) -> float:
    """The share of its capacity, 0..1, that a server has ``age`` seconds after its start."""
    return min(1.0, cold_share + (1 - cold_share) * max(0.0, age) / cold_seconds)


def crash_bound(bearable: float, mean_work: float) -> float:
    """The CPU seconds of work within ``fall_seconds`` beyond which a cold server crashes.

    ``bearable`` are the CPU seconds that the settings allow at that time. As the operators' page says, the limit is
    N + 2 sqrt(N) + 2 requests of mean work, N being the allowed number of them: two standard deviations of a Poisson
    count, and two requests more for an N near 0.
    """
    allowed = bearable / mean_work
    return (allowed + 2 * math.sqrt(allowed) + 2) * mean_work


class Job:
    """The work of one attempt on a server."""

    __slots__ = ("begun", "left", "number", "work")

    def __init__(self, number: int, work: float) -> None:
        self.number, self.work, self.left, self.begun = number, work, work, False

    def __repr__(self) -> str:
        return f"<Job {self.number} {self.left:.3f} of {self.work:.3f} s {'runs' if self.begun else 'waits'}>"


class Processor:
    """The jobs of one server. ``advance`` brings them up to date."""

    def __init__(self, machine: Machine, now: float, cold: bool) -> None:
        self.machine, self._advanced_to = machine, now
        self.started: float | None = now if cold else None
        self.running, self.queue = list[Job](), deque[Job]()
        self.hung = False
        self._cold_arrivals = deque[tuple[float, float]]()  # time and work of each arrival while cold

    def capacity(self, now: float) -> float:
        """CPU seconds per second that the server can do at ``now``."""
        machine = self.machine
        if self.started is None:
            return machine.cores
        return machine.cores * warm_up_share(now - self.started, machine.cold_share, machine.cold_seconds)

    def _job_speed(self, now: float) -> float:
        """The speed of each running job, in CPU seconds per second."""
        n, machine = len(self.running), self.machine
        if not n or self.hung:
            return 0.0
        efficiency = 1 / (1 + machine.thrash * max(0.0, n - JOBS_PER_CORE * machine.cores))
        return min(self.capacity(now) / machine.cores, self.capacity(now) * efficiency / n)

    def advance(self, now: float) -> list[Job]:
        """Advance all running jobs to ``now``; return those that are done, oldest first."""
        speed, elapsed, self._advanced_to = self._job_speed(self._advanced_to), now - self._advanced_to, now
        for job in self.running:
            job.left -= speed * elapsed
        done = [job for job in self.running if job.left <= 1e-9]
        self.running = [job for job in self.running if job.left > 1e-9]
        return done

    def admit(self) -> list[Job]:
        """Fill free slots from the queue; return the jobs that start now."""
        begun = list[Job]()
        while self.queue and len(self.running) < self.machine.slots:
            job = self.queue.popleft()
            job.begun = True
            self.running.append(job)
            begun.append(job)
        return begun

    def add(self, job: Job) -> bool:
        """Queue a job; return False if the queue is full."""
        free = len(self.running) < self.machine.slots
        if not free and len(self.queue) >= self.machine.waiting:
            return False
        self.queue.append(job)
        return True

    def drop(self, job: Job, running_too: bool) -> None:
        """Drop a job whose limiter is gone: from the queue, and if ``running_too`` also from its slot."""
        if job in self.queue:
            self.queue.remove(job)
        elif running_too and job in self.running:
            self.running.remove(job)

    def seconds_until_done(self, now: float) -> float | None:
        """Return the seconds until the next job is done at the current speed; None if none is running."""
        speed = self._job_speed(now)
        return max(0.0, min(job.left for job in self.running) / speed) if speed > 0 else None

    def record_load(self, now: float, work: float) -> bool:
        """Record the work of an arrival, accepted or not; return True if a cold server crashes from it."""
        if self.started is None or self.capacity(now) >= self.machine.cores:
            return False
        machine, window = self.machine, self._cold_arrivals
        window.append((now, work))
        while window and window[0][0] <= now - machine.fall_seconds:
            window.popleft()
        bearable = machine.fall_multiple * self.capacity(now) * machine.fall_seconds
        return sum(amount for _, amount in window) > crash_bound(bearable, machine.mean_work)
