"""Messages between gateways: what they tell each other of their customers' use."""

from cypresspulley.policy.account import Account

DIGITS = "0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz-_"
VALUES = {digit: value for value, digit in enumerate(DIGITS)}
TELL_BYTES, TELL_SHARE, STEP = 256, 0.6, 1 / 16  # of a message; of what an inbox takes; units of an amount
KEY_DIGITS, AMOUNT_DIGITS = 6, 2
AGE_DIGITS, RECENT_BIRTH = 2, 3.0  # seconds by which another must be older to have been there before
IDLE_TELL = 1.0  # seconds between two messages with nothing to tell
ZERO = 64**AMOUNT_DIGITS // 2  # an amount may be below 0: units that are given back
HEARD_AT_MOST = 4096  # customers of others' messages that have not been met here


class Tells:
    """What this gateway tells the others of its customers' use, and what it hears of customers it has not met.

    A message is two digits to the base of 64 for the gateway's age in seconds and eight for each customer: six of
    its name, two of the units sent on since it was last told. Lost messages are lost: the error is their share of
    the use. With nothing to tell there is one a second, so that an idle gateway is not taken for a cut.
    """

    def __init__(self, now: float, gateways: int, inbox: float) -> None:
        others = max(1, gateways - 1)
        self.every = max(0.25, others / max(0.1, TELL_SHARE * inbox))
        self.born = self.at = self.heard_at = now
        self.late = False  # the others were there before: this one is back and has forgotten what it sent on
        self.strange = dict[int, tuple[float, float]]()  # units that others used; since when
        self.owed = dict[int, Account]()  # whose use here the others may not know yet, by name

    def due(self, now: float) -> bool:
        return now - self.at >= (self.every if self.owed else max(self.every, IDLE_TELL))

    def write(self, now: float) -> str:
        """The largest parts of their quotas first; what finds no room is told the next time."""
        self.at = now
        most = (TELL_BYTES - AGE_DIGITS) // (KEY_DIGITS + AMOUNT_DIGITS)
        used = [a for a in self.owed.values() if abs(a.pending) >= STEP and a.share > 1]
        used.sort(key=lambda a: (-abs(a.pending) / max(a.plan.burst, STEP), a.name))
        age = _digits(min(64**AGE_DIGITS - 1, int(now - self.born)), AGE_DIGITS)
        text = age + "".join(self._entry(a) for a in used[:most])
        self.owed = {a.name: a for a in used if abs(a.pending) >= STEP}
        return text

    @staticmethod
    def _entry(a: Account) -> str:
        steps = max(-ZERO, min(ZERO - 1, round(a.pending / STEP)))
        a.pending -= steps * STEP
        return _digits(a.name, KEY_DIGITS) + _digits(steps + ZERO, AMOUNT_DIGITS)

    def read(self, now: float, text: str) -> list[tuple[int, float]]:
        """Keys and units of a message; empty where it is none."""
        size, rows = KEY_DIGITS + AMOUNT_DIGITS, text[AGE_DIGITS:]
        whole = AGE_DIGITS <= len(text) <= TELL_BYTES and len(rows) % size == 0
        if not whole or not all(c in VALUES for c in text):
            return []
        self.heard_at = now
        self.late = self.late or _value(text[:AGE_DIGITS]) > now - self.born + RECENT_BIRTH
        cut = (rows[at : at + size] for at in range(0, len(rows), size))
        return [(_value(row[:KEY_DIGITS]), (_value(row[KEY_DIGITS:]) - ZERO) * STEP) for row in cut]

    def keep(self, now: float, key: int, units: float) -> None:
        """Of a customer not met here: bounded, the longest known give way."""
        used, since = self.strange.pop(key, (0.0, now))
        self.strange[key] = used + units, since
        if len(self.strange) > HEARD_AT_MOST:
            del self.strange[next(iter(self.strange))]

    def met(self, now: float, a: Account) -> None:
        """A customer comes here for the first time: what others told of it counts."""
        used, since = self.strange.pop(a.name % 64**KEY_DIGITS, (0.0, now))
        a.level = min(a.level, a.plan.burst) - max(0.0, used - a.plan.rate * (now - since))
        if self.late:
            self.doubt(now, a)

    def doubt(self, now: float, a: Account) -> None:
        """What was used before this gateway came back is not known: its store is taken to begin at the even share."""
        a.level = min(a.level, a.plan.burst / a.share + a.plan.rate * (now - self.born))


def _digits(value: int, count: int) -> str:
    return "".join(DIGITS[value >> 6 * place & 63] for place in reversed(range(count)))


def _value(digits: str) -> int:
    value = 0
    for digit in digits:
        value = value << 6 | VALUES[digit]
    return value
