"""How long limiters go by a plan book without a word of its writer."""

LEASE_MS = 3_000  # milliseconds, told with each beat
