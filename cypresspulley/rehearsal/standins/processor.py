"""A bag server's machine: processor sharing with slots, a waiting room, a cold start and a fall; no I/O.

Work is CPU seconds on one core. ``n`` jobs in slots share ``cores`` of speed 1, each at most one core; every
job beyond two a core costs ``thrash`` of the capacity. Cold, the machine has ``cold_share`` of its capacity,
rising evenly to the whole within ``cold_seconds``. Time comes in as an argument.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass

BUSY_A_CORE = 2.0


@dataclass(frozen=True, slots=True)
class Machine:
    """What a server is made of; times in seconds."""

    cores: float
    slots: int
    waiting: int
    thrash: float
    cold_share: float
    cold_seconds: float
    fall_multiple: float
    fall_seconds: float
    mean_work: float  # CPU seconds of a request in the mean


def warm_up_share(age: float, cold_share: float, cold_seconds: float) -> float:
    """Share of its capacity that a server has ``age`` seconds after its start, 0..1."""
    return min(1.0, cold_share + (1 - cold_share) * max(0.0, age) / cold_seconds)


def crash_bound(bearable: float, mean_work: float) -> float:
    """CPU seconds within ``fall_seconds`` beyond which a cold server falls, where ``bearable`` are what it may get.

    By the operators' page: N + 2 sqrt(N) + 2 requests of mean work, N being what the settings allow at that time.
    Two standard deviations of a Poisson count, and two requests for a count that is next to none.
    """
    allowed = bearable / mean_work
    return (allowed + 2 * math.sqrt(allowed) + 2) * mean_work


class Job:
    """One attempt in the machine."""

    __slots__ = ("begun", "left", "number", "work")

    def __init__(self, number: int, work: float) -> None:
        self.number, self.work, self.left, self.begun = number, work, work, False

    def __repr__(self) -> str:
        return f"<Job {self.number} {self.left:.3f} of {self.work:.3f} s {'runs' if self.begun else 'waits'}>"


class Processor:
    """The jobs of one server, moved on by ``advance``."""

    def __init__(self, machine: Machine, now: float, cold: bool) -> None:
        self.machine, self._at = machine, now
        self.started: float | None = now if cold else None
        self.running, self.queue = list[Job](), deque[Job]()
        self.hung = False
        self._pressure = deque[tuple[float, float]]()  # when and how much work came while cold

    def capacity(self, now: float) -> float:
        """CPU seconds a second that the machine can do now."""
        m = self.machine
        if self.started is None:
            return m.cores
        return m.cores * warm_up_share(now - self.started, m.cold_share, m.cold_seconds)

    def _share(self, now: float) -> float:
        """The speed of each running job."""
        n, m = len(self.running), self.machine
        if not n or self.hung:
            return 0.0
        worn = 1 / (1 + m.thrash * max(0.0, n - BUSY_A_CORE * m.cores))
        return min(self.capacity(now) / m.cores, self.capacity(now) * worn / n)

    def advance(self, now: float) -> list[Job]:
        """Bring all jobs to ``now``; gives those that are done, oldest first."""
        speed, dt, self._at = self._share(self._at), now - self._at, now
        for job in self.running:
            job.left -= speed * dt
        done = [job for job in self.running if job.left <= 1e-9]
        self.running = [job for job in self.running if job.left > 1e-9]
        return done

    def admit(self) -> list[Job]:
        """Fill free slots from the waiting room; gives the jobs that begin now."""
        begun = list[Job]()
        while self.queue and len(self.running) < self.machine.slots:
            job = self.queue.popleft()
            job.begun = True
            self.running.append(job)
            begun.append(job)
        return begun

    def add(self, job: Job) -> bool:
        """Take a job, or say False: the waiting room is full."""
        free = len(self.running) < self.machine.slots
        if not free and len(self.queue) >= self.machine.waiting:
            return False
        self.queue.append(job)
        return True

    def drop(self, job: Job, running_too: bool) -> None:
        """A job that nobody waits for: waiting work goes, running work where the machine stops it."""
        if job in self.queue:
            self.queue.remove(job)
        elif running_too and job in self.running:
            self.running.remove(job)

    def seconds_until_done(self, now: float) -> float | None:
        """Seconds until the next job is done at today's speed; None with none running."""
        speed = self._share(now)
        return max(0.0, min(job.left for job in self.running) / speed) if speed > 0 else None

    def record_load(self, now: float, work: float) -> bool:
        """Work has come, taken or not; True if a cold machine falls over by it."""
        if self.started is None or self.capacity(now) >= self.machine.cores:
            return False
        m, window = self.machine, self._pressure
        window.append((now, work))
        while window and window[0][0] <= now - m.fall_seconds:
            window.popleft()
        bearable = m.fall_multiple * self.capacity(now) * m.fall_seconds
        return sum(amount for _, amount in window) > crash_bound(bearable, m.mean_work)
