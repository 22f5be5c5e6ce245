"""One customer's quota at one gateway: its store, its even floor and its share of a ceiling."""

from collections import deque
from hashlib import blake2b

from cypresspulley import interface as api


class Account:
    """A customer's quota as this gateway knows it."""

    def __init__(self, now: float, ev: api.Request, plan: api.Plan, born: float, most: float) -> None:
        self.plan, self.at, self.asked, self.synced = plan, now, now, born
        self.share = share = max(1, ev.gateways)
        label = f"{ev.plan} {ev.account}".encode()
        self.name = int.from_bytes(blake2b(label, digest_size=8).digest(), "big") >> 1
        self.level = plan.burst + plan.rate * (now - born)  # of the whole store; a reading cuts it
        self.thin = plan.burst < 2 * share  # the even share holds next to nothing
        self.floor = self.floor_cap = max(plan.burst / share, min(most, plan.burst) * self.thin)
        # A restart finds the ceiling's store used, so the share fills from this instance's birth.
        self.ceiling = min(plan.ceiling_burst, plan.ceiling_rate * (now - born)) / share
        self.total: float | None = None
        self.others = plan.rate * (share - 1) / share * 0.3  # their use a second
        self.pending, self.open = 0.0, 0  # own use that the counter has not been told; attempts out
        self.calls = deque[tuple[float, int | None, float]]()

    def refill(self, now: float) -> None:
        plan, dt, self.at = self.plan, max(0.0, now - self.at), now
        self.level = min(plan.burst + plan.rate * (now - self.synced), self.level + plan.rate * dt)
        self.floor = min(self.floor_cap, self.floor + plan.rate / self.share * dt)
        whole = self.ceiling * self.share + plan.ceiling_rate * dt
        self.ceiling = min(plan.ceiling_burst, whole) / self.share
