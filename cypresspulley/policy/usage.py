"""Usage messages between gateways: what each one reports of its accounts' use to the others."""

from cypresspulley.messages import (
    KEY_COUNT,
    MAX_ROWS,
    UNITS_PER_STEP,
    decode_message,
    encode_message,
    units_to_steps,
)
from cypresspulley.policy.account import Account

INBOX_SHARE = 0.6  # of the messages that a gateway takes in, the share that usage messages may use
IDLE_MESSAGE_SECONDS = 1.0  # between two messages with nothing to report
MIN_AGE_LEAD_SECONDS = 3.0  # another gateway that is older by more was running before this one started
MAX_UNKNOWN_ACCOUNTS = 4096  # accounts that others report and that have sent no request here


class UsageBroadcast:
    """Writes this gateway's usage messages and keeps what others report of accounts that are unknown here.

    A lost message is not repeated. With nothing to report a message is sent every second, so that an idle gateway is
    not taken for one that is cut off.
    """

    def __init__(self, now: float, gateways: int, inbox: float) -> None:
        self.set_gateways(gateways, inbox)
        self.started_at = self.sent_at = self.last_contact_at = now
        # Whether the other gateways are older, so that this one has restarted and has lost what it had sent before.
        self.was_restarted = False
        self.unknown_use = dict[int, tuple[float, float]]()  # by key: units that others used, and since when
        self.unreported_accounts = dict[int, Account]()  # by counter name: accounts with use to report

    def set_gateways(self, gateways: int, inbox: float) -> None:
        """Set the interval between messages so that each gateway's inbox, of ``inbox`` messages a second, can take
        those of all others."""
        others = max(1, gateways - 1)
        self.interval = max(0.25, others / max(0.1, INBOX_SHARE * inbox))

    def is_due(self, now: float) -> bool:
        """Return whether a message is due."""
        return now - self.sent_at >= (
            self.interval if self.unreported_accounts else max(self.interval, IDLE_MESSAGE_SECONDS)
        )

    def write_message(self, now: float) -> str:
        """Write a message with the accounts that used the largest part of their burst; the rest waits for the next
        one."""
        self.sent_at = now
        used = [
            a
            for a in self.unreported_accounts.values()
            if abs(a.unreported) >= UNITS_PER_STEP and a.gateways > 1
        ]
        used.sort(key=lambda a: (-abs(a.unreported) / max(a.plan.burst, UNITS_PER_STEP), a.counter_name))
        rows = [(account, units_to_steps(account.unreported)) for account in used[:MAX_ROWS]]
        for account, reported_steps in rows:
            account.unreported -= reported_steps * UNITS_PER_STEP
        self.unreported_accounts = {a.counter_name: a for a in used if abs(a.unreported) >= UNITS_PER_STEP}
        return encode_message(
            now - self.started_at,
            ((account.counter_name, reported_steps) for account, reported_steps in rows),
        )

    def read_message(self, now: float, text: str) -> list[tuple[int, float]]:
        """Return the keys and units of a message, or an empty list for a text that is not a valid message."""
        if (message := decode_message(text)) is None:
            return []
        self.last_contact_at = now
        self.was_restarted = self.was_restarted or message[0] > now - self.started_at + MIN_AGE_LEAD_SECONDS
        return message[1]

    def store_unknown_use(self, now: float, key: int, units: float) -> None:
        """Keep what others report of an account that is unknown here. When the table is full, the least recently
        reported account is dropped."""
        used, since = self.unknown_use.pop(key, (0.0, now))
        self.unknown_use[key] = used + units, since
        if len(self.unknown_use) > MAX_UNKNOWN_ACCOUNTS:
            del self.unknown_use[next(iter(self.unknown_use))]

    def apply_unknown_use(self, now: float, account: Account) -> None:
        """Deduct what others reported of an account before its first request here."""
        used, since = self.unknown_use.pop(account.counter_name % KEY_COUNT, (0.0, now))
        account.level = min(account.level, account.plan.burst) - max(
            0.0, used - account.plan.rate * (now - since)
        )
        if self.was_restarted:
            self.cap_at_even_share(now, account)

    def cap_at_even_share(self, now: float, account: Account) -> None:
        """Cap an account's level at the even share plus the refill since this gateway started, because its use
        before a restart is not known."""
        account.level = min(
            account.level,
            account.plan.burst / account.gateways + account.plan.rate * (now - self.started_at),
        )
