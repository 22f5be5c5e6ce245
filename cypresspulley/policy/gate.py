"""The admission gate: a PI controller on inferred load sets, once per tick, the rate at which a token bucket fills."""

from cypresspulley import interface as api
from cypresspulley.interface import Status

# The controller's set point, gains and period are those of its design.
REFERENCE_LOAD = 0.8  # set point, on a scale where 1 is overload
PROPORTIONAL_GAIN = 20.0  # requests per second for a load error of 1
INTEGRAL_TICKS = 2.8  # reset time of the integral term
TICK_SECONDS = 1.0
STALL_TICKS = 2.5  # a longer time between two ticks is a stall of the process
REFERENCE_AIM_SHARE = 0.5  # latency, as a share of the class's aim, that counts as the reference load
LOW_LOAD_SHARE = 0.5  # share of the reference load below which there is plainly room for more
BUCKET_SECONDS = 1.0  # depth of the token bucket, in seconds of the admit rate
MAX_RESERVE_SHARE = 0.6  # share of the bucket that is kept from the requests of least worth
MIN_BUCKET_TOKENS = 3.0  # depth of the bucket of a gateway with little traffic, in requests of mean work
MIN_ADMIT_SHARE = 0.1  # share of the arrivals that is always admitted, so that there are load readings


class Gate:
    """Turns load readings into tokens. While ``integral`` is None the gate is fresh and admits everything."""

    def __init__(self, now: float) -> None:
        self.integral: float | None = None  # integral term of the controller, in requests per second
        self.admit_rate = 0.0  # requests of mean work per second
        self.load = 0.0  # last load that the controller used
        self.mean_work = 0.0  # seconds of an idle server per request
        self.arrived_requests = 0.0  # since the last tick, without clients' retries
        self.admitted_requests = 0.0  # since the last tick
        self._tokens = 0.0
        self._arrival_rate = 0.0  # requests per second, without clients' retries
        self._filled_at = now
        self._ticked_at = now
        self._readings = list[float]()  # since the controller last used them
        self._ticks_held = 0  # ticks since then

    def __repr__(self) -> str:
        state = "fresh" if self.integral is None else f"integral {self.integral:.1f}"
        return f"<Gate admit rate {self.admit_rate:.1f}/s, load {self.load:.2f}, {state}>"

    def record_arrival(self, work: float, first: bool) -> None:
        """Count a request with its expected work; ``first`` is false for a client's retry."""
        self.arrived_requests += first
        self.mean_work += (work - self.mean_work) * (0.02 if self.mean_work else 1)

    def record_overdue(self) -> None:
        """Add a reading of overload for an answer that is overdue, before it comes."""
        self._readings.append(1.0)

    def record_outcome(self, cls: api.RequestClass, status: Status, elapsed: float) -> None:
        """Add a reading for the end of an attempt: its latency against the class's aim, or overload."""
        if status is Status.OK:
            self._readings.append(min(1.0, elapsed / cls.aim * REFERENCE_LOAD / REFERENCE_AIM_SHARE))
        elif status in (Status.FULL, Status.TIMEOUT):
            self._readings.append(1.0)

    def begin_tick(self, now: float) -> float:
        """Begin a tick and return the seconds since the last one."""
        dt, self._ticked_at = max(1e-3, now - self._ticked_at), now
        return dt

    def update(self, dt: float) -> None:
        """Run the controller, once per tick; ``dt`` is the time in seconds since the last tick."""
        arrivals, admitted = self.arrived_requests / dt, self.admitted_requests / dt
        self._arrival_rate += (0.3 if self._arrival_rate else 1.0) * (arrivals - self._arrival_rate)
        arrivals, self._ticks_held = max(arrivals, self._arrival_rate), self._ticks_held + 1
        # A gateway with one request per second collects readings over several ticks; otherwise its rate would never
        # change.
        has_enough = len(self._readings) >= 3 or (self._ticks_held >= 4 and self._readings)
        load = sum(self._readings) / len(self._readings) if has_enough else None
        # The gain is meant for a stream of at least as many requests per second. With the full gain, hundreds of
        # gateways with little traffic would together switch between open and closed.
        gain, self.arrived_requests, self.admitted_requests = (
            min(PROPORTIONAL_GAIN, self._arrival_rate),
            0.0,
            0.0,
        )
        if dt > STALL_TICKS * TICK_SECONDS:
            self.integral = None  # the integral belongs to the load before the stall
        elif load is not None:
            error, self.load = REFERENCE_LOAD - load, load
            self.admit_rate = gain * error + (admitted if self.integral is None else self.integral)
            self.integral = self.admit_rate - gain * error
            if load < LOW_LOAD_SHARE * REFERENCE_LOAD and self.admit_rate < arrivals:
                self.integral, self.admit_rate = arrivals - gain * error, arrivals
            if error < 0 or self.admit_rate <= arrivals:
                self.integral = max(0.0, self.integral + gain / INTEGRAL_TICKS * error)
        if load is not None or dt > STALL_TICKS * TICK_SECONDS:
            self._readings, self._ticks_held = [], 0

    def allows(self, now: float, work: float, reserve: float) -> bool:
        """Return whether the bucket has the tokens for ``work``; ``charge`` takes them.

        ``reserve`` is the share of the bucket, 0 to 1, that is kept for requests of more worth.
        """
        # A closed gate would get no readings and stay closed, so a part of the arrivals is always admitted. A full
        # bucket admits any single request and may go into debt.
        rate = max(MIN_ADMIT_SHARE * self._arrival_rate, self.admit_rate)
        dt = now - self._filled_at
        self._filled_at = now
        depth = max(MIN_BUCKET_TOKENS, rate * BUCKET_SECONDS)
        self._tokens = min(depth, self._tokens + rate * dt)
        need = work / self.mean_work + reserve * max(0, depth - 2)
        return self.integral is None or self._tokens >= min(depth, need)

    def charge(self, work: float) -> None:
        """Take the tokens of a request that was sent to a server."""
        # While the gate is fresh, the bucket is set to full.
        self._tokens -= work / self.mean_work if self.integral is not None else float("-inf")
        self.admitted_requests += 1
