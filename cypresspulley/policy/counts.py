"""Names of the numbers that all gateways share by the counter."""

from hashlib import blake2b

MAX_LIFETIME_SECONDS = 60.0  # seconds after which the counter forgets a number at the latest


def count_name(*parts: object) -> int:
    """The name of the number for a thing: the same at all gateways, from 0 to 2^63."""
    label = " ".join(map(str, parts))
    return int.from_bytes(blake2b(label.encode(), digest_size=8).digest(), "big") >> 1
