"""The admission gate: the PI loop on inferred load each second, and the token bucket that it fills."""

from cypresspulley import interface as api
from cypresspulley.interface import Status

REFERENCE_LOAD = 0.8  # the design's loop
GAIN = 20.0
RESET = 2.8
TICK_SECONDS = 1.0
STALL = 2.5  # intervals of a stall
REFERENCE_AIM_SHARE = 0.5  # latency / aim that reads as the reference
LOW_LOAD_SHARE = 0.5  # load / reference of plain room
DEPTH = 1.0  # seconds of u that the gate holds
MAX_RESERVE_SHARE = 0.6  # share kept from the least worthy work
THIN = 3.0  # requests that a thin gate holds
TRICKLE = 0.1  # share of the arrivals let in for readings


class Gate:
    """Readings of load go in, tokens come out. ``sum`` is the controller's; None: fresh, admits freely."""

    def __init__(self, now: float) -> None:
        self.integral: float | None = None
        self.admit_rate = 0.0  # admit rate a second
        self.load = 0.0  # last load
        self.mean_work = 0.0  # mean work of a request
        self.arrived_requests = 0.0  # since the last tick
        self.admitted_requests = 0.0  # since the last tick
        self._tokens = 0.0
        self._arrival_rate = 0.0  # first tries a second
        self._filled_at = now
        self._ticked = now
        self._load = list[float]()  # readings since they last counted
        self._held = 0  # ticks since

    def __repr__(self) -> str:
        state = "fresh" if self.integral is None else f"sum {self.integral:.1f}"
        return f"<Gate u {self.admit_rate:.1f}/s, load {self.load:.2f}, {state}>"

    def record_arrival(self, work: float, first: bool) -> None:
        """A try has come, with its expected work."""
        self.arrived_requests += first
        self.mean_work += (work - self.mean_work) * (0.02 if self.mean_work else 1)

    def record_overdue(self) -> None:
        """An answer overdue is a reading before it comes."""
        self._load.append(1.0)

    def record_outcome(self, cls: api.RequestClass, status: Status, elapsed: float) -> None:
        """An attempt's end: latency against the class's aim, or a refusal as full."""
        if status is Status.OK:
            self._load.append(min(1.0, elapsed / cls.aim * REFERENCE_LOAD / REFERENCE_AIM_SHARE))
        elif status in (Status.FULL, Status.TIMEOUT):
            self._load.append(1.0)

    def begin_tick(self, now: float) -> float:
        """Seconds since the last tick; a tick begins."""
        dt, self._ticked = max(1e-3, now - self._ticked), now
        return dt

    def update(self, dt: float) -> None:
        """The control law, once an interval."""
        arrivals, admitted = self.arrived_requests / dt, self.admitted_requests / dt
        self._arrival_rate += (0.3 if self._arrival_rate else 1.0) * (arrivals - self._arrival_rate)
        arrivals, self._held = max(arrivals, self._arrival_rate), self._held + 1
        # Where a gate sees one request a second its few readings wait for each other, or it would never move.
        enough = len(self._load) >= 3 or (self._held >= 4 and self._load)
        load = sum(self._load) / len(self._load) if enough else None
        # K is made for a stream of its size: at hundreds of thin gates whole ones add up to on and off.
        gain, self.arrived_requests, self.admitted_requests = min(GAIN, self._arrival_rate), 0.0, 0.0
        if dt > STALL * TICK_SECONDS:
            self.integral = None  # a stall: the sum belongs to a load that is gone
        elif load is not None:
            error, self.load = REFERENCE_LOAD - load, load
            self.admit_rate = gain * error + (admitted if self.integral is None else self.integral)
            self.integral = self.admit_rate - gain * error
            if load < LOW_LOAD_SHARE * REFERENCE_LOAD and self.admit_rate < arrivals:
                self.integral, self.admit_rate = arrivals - gain * error, arrivals
            if error < 0 or self.admit_rate <= arrivals:
                self.integral = max(0.0, self.integral + gain / RESET * error)
        if load is not None or dt > STALL * TICK_SECONDS:
            self._load, self._held = [], 0

    def allows(self, now: float, work: float, reserve: float) -> bool:
        """Whether the bucket lets work in, keeping ``reserve`` (a share of its depth) for what is worth more."""
        # A shut gate reads nothing and would stay shut; a full bucket lets any one request pass, into debt.
        rate = max(TRICKLE * self._arrival_rate, self.admit_rate)
        dt = now - self._filled_at
        self._filled_at = now
        depth = max(THIN, rate * DEPTH)
        self._tokens = min(depth, self._tokens + rate * dt)
        need = work / self.mean_work + reserve * max(0, depth - 2)
        return self.integral is None or self._tokens >= min(depth, need)

    def charge(self, work: float) -> None:
        """A request has been sent on: it pays its tokens."""
        self._tokens -= (
            work / self.mean_work if self.integral is not None else float("-inf")
        )  # full when fresh
        self.admitted_requests += 1
