"""The text of a message between limiters: an age and rows of a key and an amount, as digits to the base of 64.

Two digits for the sender's age in seconds, then eight for each row: six of a customer's key, two of an amount in
steps of a sixteenth of a unit, which may be below nothing.
"""

from __future__ import annotations

from collections.abc import Iterable

DIGITS = "0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz-_"
VALUES = {digit: value for value, digit in enumerate(DIGITS)}
MOST_BYTES = 256  # of a message
AGE = 2  # digits
KEY = 6  # digits
AMOUNT = 2  # digits
KEYS: int = 64**KEY  # keys there are
STEP = 1 / 16  # of a unit
ZERO: int = 64**AMOUNT // 2
ROWS = (MOST_BYTES - AGE) // (KEY + AMOUNT)  # that a message holds


def written(value: int, count: int) -> str:
    """The last ``count`` digits of a number that is not below 0."""
    return "".join(DIGITS[value >> 6 * place & 63] for place in reversed(range(count)))


def read(digits: str) -> int:
    """The number that digits stand for; ``KeyError`` for what is no digit."""
    value = 0
    for digit in digits:
        value = value << 6 | VALUES[digit]
    return value


def steps(units: float) -> int:
    """How many steps a message tells of so many units: what exceeds its digits is told the next time."""
    return max(-ZERO, min(ZERO - 1, round(units / STEP)))


def compose(age: float, rows: Iterable[tuple[int, int]]) -> str:
    """A message; ``rows`` are keys and steps."""
    told = (written(key, KEY) + written(amount + ZERO, AMOUNT) for key, amount in rows)
    return written(min(64**AGE - 1, int(age)), AGE) + "".join(told)


def parse(text: str) -> tuple[int, list[tuple[int, float]]] | None:
    """Age in seconds, and rows of key and units; None for what is no message."""
    size, rows = KEY + AMOUNT, text[AGE:]
    whole = AGE <= len(text) <= MOST_BYTES and len(rows) % size == 0
    if not whole or not all(c in VALUES for c in text):
        return None
    cut = (rows[at : at + size] for at in range(0, len(rows), size))
    return read(text[:AGE]), [(read(row[:KEY]), (read(row[KEY:]) - ZERO) * STEP) for row in cut]
