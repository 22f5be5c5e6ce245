"""Which class record binds a request while settings change in service."""

from cypresspulley import interface as api
from cypresspulley.interface import Effect

# Seconds until clients go by new settings; for which a record that was replaced still binds.
HEARD, OLD = 1.5, 6.0


class Classes:
    """Records by name. Clients learn of new settings a moment after this limiter, and a request's form tells which
    record its client goes by: the method and the key follow from the effect. A request that was let in keeps its
    record, and its number of attempts, to its final answer; that is the request's own affair."""

    def __init__(self, settings: api.Settings) -> None:
        self._now = {c.name: c for c in settings.classes}
        self._old = dict[str, tuple[api.RequestClass, float]]()  # replaced or dropped; until when they bind
        self._attempts = self._least = settings.max_attempts
        self._changed = float("-inf")

    def change(self, now: float, settings: api.Settings) -> None:
        """New settings: what they replace or drop goes on for those who have not heard of it."""
        new = {c.name: c for c in settings.classes}
        gone = (c for n, c in self._now.items() if n not in new or new[n].effect is not c.effect)
        self._old = {n: old for n, old in self._old.items() if now < old[1]}
        self._old |= {c.name: (c, now + OLD) for c in gone}
        self._now, self._changed = new, now
        self._least, self._attempts = min(self._attempts, settings.max_attempts), settings.max_attempts

    def known(self, now: float, name: str) -> bool:
        """Whether there is such a class, or was one a moment ago."""
        return name in self._now or (name in self._old and now < self._old[name][1])

    def record(self, now: float, name: str, effect: Effect | None = None) -> api.RequestClass | None:
        """The record that binds a request of this name and form; None where there is none. No form: the newest."""
        record, (old, until) = self._now.get(name), self._old.get(name, (None, 0.0))
        if record is not None and (effect is None or record.effect is effect):
            return record
        fits = old is not None and now < until and (effect is None or old.effect is effect)
        return old if fits else None

    def attempts(self, now: float) -> int:
        """Attempts for a request that comes now: until clients go by the new settings, the fewer of both."""
        return self._attempts if now - self._changed > HEARD else self._least
