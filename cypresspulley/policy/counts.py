"""Names of the counts that all gateways share at the counter."""

from hashlib import blake2b

MAX_LIFETIME_SECONDS = 60.0  # the longest lifetime that the counter gives a count


def count_name(*parts: object) -> int:
    """Return the name of a count, from 0 to 2^63; the same parts give the same name at all gateways."""
    label = " ".join(map(str, parts))
    return int.from_bytes(blake2b(label.encode(), digest_size=8).digest(), "big") >> 1
