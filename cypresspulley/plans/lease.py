"""How long limiters may apply a plan book without hearing from its writer."""

LEASE_MS = 3_000  # milliseconds; sent with each heartbeat
