"""Encoding of the usage messages that limiters send each other, as ASCII text in base-64 digits.

A message is the sender's age in seconds (two digits), followed by rows of eight digits: six for an account's key, and
two for an amount in steps of a sixteenth of a unit. Amounts may be negative.
"""

from __future__ import annotations

from collections.abc import Iterable

DIGITS = "0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz-_"
DIGIT_VALUES = {digit: value for value, digit in enumerate(DIGITS)}
MAX_MESSAGE_BYTES = 256
AGE_DIGITS = 2
KEY_DIGITS = 6
AMOUNT_DIGITS = 2
KEY_COUNT: int = 64**KEY_DIGITS  # number of distinct keys
UNITS_PER_STEP = 1 / 16
AMOUNT_OFFSET: int = (
    64**AMOUNT_DIGITS // 2
)  # added to the steps of an amount, so that no encoded number is negative
MAX_ROWS = (MAX_MESSAGE_BYTES - AGE_DIGITS) // (KEY_DIGITS + AMOUNT_DIGITS)  # per message


def encode_digits(value: int, count: int) -> str:
    """Return the last ``count`` digits of a number, which must be at least 0."""
    return "".join(DIGITS[value >> 6 * place & 63] for place in reversed(range(count)))


def decode_digits(digits: str) -> int:
    """Return the number that the digits encode; raise ``KeyError`` for any other character."""
    value = 0
    for digit in digits:
        value = value << 6 | DIGIT_VALUES[digit]
    return value


def units_to_steps(units: float) -> int:
    """Return an amount as a number of steps that fits into one row; the caller sends the rest in a later message."""
    return max(-AMOUNT_OFFSET, min(AMOUNT_OFFSET - 1, round(units / UNITS_PER_STEP)))


def encode_message(age: float, rows: Iterable[tuple[int, int]]) -> str:
    """Return a message from the sender's age in seconds and rows of a key and a number of steps."""
    encoded_rows = (
        encode_digits(key, KEY_DIGITS) + encode_digits(steps + AMOUNT_OFFSET, AMOUNT_DIGITS)
        for key, steps in rows
    )
    return encode_digits(min(64**AGE_DIGITS - 1, int(age)), AGE_DIGITS) + "".join(encoded_rows)


def decode_message(text: str) -> tuple[int, list[tuple[int, float]]] | None:
    """Return the sender's age in seconds and rows of a key and units, or None if the text is not a message."""
    row_size, body = KEY_DIGITS + AMOUNT_DIGITS, text[AGE_DIGITS:]
    has_valid_size = AGE_DIGITS <= len(text) <= MAX_MESSAGE_BYTES and len(body) % row_size == 0
    if not has_valid_size or not all(character in DIGIT_VALUES for character in text):
        return None
    rows = (body[at : at + row_size] for at in range(0, len(body), row_size))
    return decode_digits(text[:AGE_DIGITS]), [
        (decode_digits(row[:KEY_DIGITS]), (decode_digits(row[KEY_DIGITS:]) - AMOUNT_OFFSET) * UNITS_PER_STEP)
        for row in rows
    ]
