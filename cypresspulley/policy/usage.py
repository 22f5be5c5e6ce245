"""Messages between gateways: what they tell each other of their customers' use."""

from cypresspulley.messages import KEYS, ROWS, STEP, compose, parse, steps
from cypresspulley.policy.account import Account

INBOX_SHARE = 0.6  # of what an inbox takes
IDLE_MESSAGE_SECONDS = 1.0  # seconds between two messages with nothing to tell
MIN_AGE_LEAD_SECONDS = 3.0  # seconds by which another must be older to have been there before
MAX_UNKNOWN_ACCOUNTS = 4096  # customers of others' messages that have not been met here


class UsageBroadcast:
    """What this gateway tells the others of its customers' use, and what it hears of customers it has not met. Lost
    messages are lost; with nothing to tell there is one a second, so that an idle gateway is not taken for a cut."""

    def __init__(self, now: float, gateways: int, inbox: float) -> None:
        self.set_gateways(gateways, inbox)
        self.started_at = self.sent_at = self.heard_at = now
        self.was_restarted = (
            False  # the others were there before: this one is back and has forgotten what it sent on
        )
        self.unknown_use = dict[int, tuple[float, float]]()  # units that others used; since when
        self.unreported_accounts = dict[int, Account]()  # whose use here the others may not know yet, by name

    def set_gateways(self, gateways: int, inbox: float) -> None:
        """So many gateways write to inboxes that take so many messages a second."""
        others = max(1, gateways - 1)
        self.interval = max(0.25, others / max(0.1, INBOX_SHARE * inbox))

    def is_due(self, now: float) -> bool:
        return now - self.sent_at >= (
            self.interval if self.unreported_accounts else max(self.interval, IDLE_MESSAGE_SECONDS)
        )

    def write_message(self, now: float) -> str:
        """The largest parts of their quotas first; what finds no room is told the next time."""
        self.sent_at = now
        used = [a for a in self.unreported_accounts.values() if abs(a.unreported) >= STEP and a.gateways > 1]
        used.sort(key=lambda a: (-abs(a.unreported) / max(a.plan.burst, STEP), a.counter_name))
        rows = [(a, steps(a.unreported)) for a in used[:ROWS]]
        for a, told in rows:
            a.unreported -= told * STEP
        self.unreported_accounts = {a.counter_name: a for a in used if abs(a.unreported) >= STEP}
        return compose(now - self.started_at, ((a.counter_name, told) for a, told in rows))

    def read_message(self, now: float, text: str) -> list[tuple[int, float]]:
        """Keys and units of a message; empty where it is none."""
        if (told := parse(text)) is None:
            return []
        self.heard_at = now
        self.was_restarted = self.was_restarted or told[0] > now - self.started_at + MIN_AGE_LEAD_SECONDS
        return told[1]

    def store_unknown_use(self, now: float, key: int, units: float) -> None:
        """Of a customer not met here: bounded, the longest known give way."""
        used, since = self.unknown_use.pop(key, (0.0, now))
        self.unknown_use[key] = used + units, since
        if len(self.unknown_use) > MAX_UNKNOWN_ACCOUNTS:
            del self.unknown_use[next(iter(self.unknown_use))]

    def apply_unknown_use(self, now: float, a: Account) -> None:
        """A customer comes here for the first time: what others told of it counts."""
        used, since = self.unknown_use.pop(a.counter_name % KEYS, (0.0, now))
        a.level = min(a.level, a.plan.burst) - max(0.0, used - a.plan.rate * (now - since))
        if self.was_restarted:
            self.cap_at_even_share(now, a)

    def cap_at_even_share(self, now: float, a: Account) -> None:
        """What was used before this gateway came back is not known: its store is taken to begin at the even share."""
        a.level = min(a.level, a.plan.burst / a.gateways + a.plan.rate * (now - self.started_at))
