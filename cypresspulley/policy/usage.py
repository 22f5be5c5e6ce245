"""Messages between gateways: what they tell each other of their customers' use."""

from cypresspulley.messages import KEYS, ROWS, STEP, compose, parse, steps
from cypresspulley.policy.account import Account

TELL_SHARE = 0.6  # of what an inbox takes
IDLE_TELL = 1.0  # seconds between two messages with nothing to tell
RECENT_BIRTH = 3.0  # seconds by which another must be older to have been there before
HEARD_AT_MOST = 4096  # customers of others' messages that have not been met here


class UsageBroadcast:
    """What this gateway tells the others of its customers' use, and what it hears of customers it has not met. Lost
    messages are lost; with nothing to tell there is one a second, so that an idle gateway is not taken for a cut."""

    def __init__(self, now: float, gateways: int, inbox: float) -> None:
        self.follow(gateways, inbox)
        self.born = self.at = self.heard_at = now
        self.late = False  # the others were there before: this one is back and has forgotten what it sent on
        self.strange = dict[int, tuple[float, float]]()  # units that others used; since when
        self.owed = dict[int, Account]()  # whose use here the others may not know yet, by name

    def follow(self, gateways: int, inbox: float) -> None:
        """So many gateways write to inboxes that take so many messages a second."""
        others = max(1, gateways - 1)
        self.every = max(0.25, others / max(0.1, TELL_SHARE * inbox))

    def due(self, now: float) -> bool:
        return now - self.at >= (self.every if self.owed else max(self.every, IDLE_TELL))

    def write(self, now: float) -> str:
        """The largest parts of their quotas first; what finds no room is told the next time."""
        self.at = now
        used = [a for a in self.owed.values() if abs(a.unreported) >= STEP and a.gateways > 1]
        used.sort(key=lambda a: (-abs(a.unreported) / max(a.plan.burst, STEP), a.counter_name))
        rows = [(a, steps(a.unreported)) for a in used[:ROWS]]
        for a, told in rows:
            a.unreported -= told * STEP
        self.owed = {a.counter_name: a for a in used if abs(a.unreported) >= STEP}
        return compose(now - self.born, ((a.counter_name, told) for a, told in rows))

    def read(self, now: float, text: str) -> list[tuple[int, float]]:
        """Keys and units of a message; empty where it is none."""
        if (told := parse(text)) is None:
            return []
        self.heard_at = now
        self.late = self.late or told[0] > now - self.born + RECENT_BIRTH
        return told[1]

    def keep(self, now: float, key: int, units: float) -> None:
        """Of a customer not met here: bounded, the longest known give way."""
        used, since = self.strange.pop(key, (0.0, now))
        self.strange[key] = used + units, since
        if len(self.strange) > HEARD_AT_MOST:
            del self.strange[next(iter(self.strange))]

    def met(self, now: float, a: Account) -> None:
        """A customer comes here for the first time: what others told of it counts."""
        used, since = self.strange.pop(a.counter_name % KEYS, (0.0, now))
        a.level = min(a.level, a.plan.burst) - max(0.0, used - a.plan.rate * (now - since))
        if self.late:
            self.doubt(now, a)

    def doubt(self, now: float, a: Account) -> None:
        """What was used before this gateway came back is not known: its store is taken to begin at the even share."""
        a.level = min(a.level, a.plan.burst / a.gateways + a.plan.rate * (now - self.born))
