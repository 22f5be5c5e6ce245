"""The text of a message between limiters: an age and rows of a key and an amount, as digits to the base of 64.

Two digits for the sender's age in seconds, then eight for each row: six of a customer's key, two of an amount in
steps of a sixteenth of a unit, which may be below nothing.
"""

from __future__ import annotations

from collections.abc import Iterable

DIGITS = "0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz-_"
DIGIT_VALUES = {digit: value for value, digit in enumerate(DIGITS)}
MAX_MESSAGE_BYTES = 256  # of a message
AGE_DIGITS = 2  # digits
KEY_DIGITS = 6  # digits
AMOUNT_DIGITS = 2  # digits
KEY_COUNT: int = 64**KEY_DIGITS  # keys there are
UNITS_PER_STEP = 1 / 16  # of a unit
AMOUNT_OFFSET: int = 64**AMOUNT_DIGITS // 2
MAX_ROWS = (MAX_MESSAGE_BYTES - AGE_DIGITS) // (KEY_DIGITS + AMOUNT_DIGITS)  # that a message holds


def encode_digits(value: int, count: int) -> str:
    """The last ``count`` digits of a number that is not below 0."""
    return "".join(DIGITS[value >> 6 * place & 63] for place in reversed(range(count)))


def decode_digits(digits: str) -> int:
    """The number that digits stand for; ``KeyError`` for what is no digit."""
    value = 0
    for digit in digits:
        value = value << 6 | DIGIT_VALUES[digit]
    return value


def units_to_steps(units: float) -> int:
    """How many steps a message tells of so many units: what exceeds its digits is told the next time."""
    return max(-AMOUNT_OFFSET, min(AMOUNT_OFFSET - 1, round(units / UNITS_PER_STEP)))


def encode_message(age: float, rows: Iterable[tuple[int, int]]) -> str:
    """A message; ``rows`` are keys and steps."""
    told = (
        encode_digits(key, KEY_DIGITS) + encode_digits(amount + AMOUNT_OFFSET, AMOUNT_DIGITS)
        for key, amount in rows
    )
    return encode_digits(min(64**AGE_DIGITS - 1, int(age)), AGE_DIGITS) + "".join(told)


def decode_message(text: str) -> tuple[int, list[tuple[int, float]]] | None:
    """Age in seconds, and rows of key and units; None for what is no message."""
    size, rows = KEY_DIGITS + AMOUNT_DIGITS, text[AGE_DIGITS:]
    whole = AGE_DIGITS <= len(text) <= MAX_MESSAGE_BYTES and len(rows) % size == 0
    if not whole or not all(c in DIGIT_VALUES for c in text):
        return None
    cut = (rows[at : at + size] for at in range(0, len(rows), size))
    return decode_digits(text[:AGE_DIGITS]), [
        (decode_digits(row[:KEY_DIGITS]), (decode_digits(row[KEY_DIGITS:]) - AMOUNT_OFFSET) * UNITS_PER_STEP)
        for row in cut
    ]
