"""Which records of classes and plans bind a request while settings change in service."""

from collections.abc import Callable

from cypresspulley import interface as api
from cypresspulley.interface import Effect

CLIENT_UPDATE_SECONDS = 1.5  # seconds until clients go by new settings
REPLACED_RECORD_SECONDS = 6.0  # seconds for which a record that was replaced still binds


class PlanRegistry:
    """Plans by name. What new settings drop is known for as long as requests that name it may be on their way."""

    def __init__(self, settings: api.Settings) -> None:
        self.current = {plan.name: plan for plan in settings.plans}
        self._dropped = dict[str, tuple[api.Plan, float]]()  # and until when they are known

    def apply_settings(self, now: float, settings: api.Settings) -> None:
        """New settings."""
        new = {plan.name: plan for plan in settings.plans}
        kept = {name: old for name, old in self._dropped.items() if now < old[1]}
        kept |= {name: (plan, now + REPLACED_RECORD_SECONDS) for name, plan in self.current.items()}
        self.current, self._dropped = new, {name: old for name, old in kept.items() if name not in new}

    def transform_dropped(self, cut: Callable[[api.Plan], api.Plan]) -> None:
        """Change what is known of each dropped plan."""
        self._dropped = {name: (cut(plan), until) for name, (plan, until) in self._dropped.items()}

    def find(self, now: float, name: str) -> api.Plan | None:
        """The plan of this name; None where there is none, and was none a moment ago."""
        if (plan := self.current.get(name)) is not None:
            return plan
        dropped, until = self._dropped.get(name, (None, 0.0))
        return dropped if now < until else None


class ClassRegistry:
    """Records by name. Clients learn of new settings a moment after this limiter, and a request's form tells which
    record its client goes by: the method and the key follow from the effect. A request that was let in keeps its
    record, and its number of attempts, to its final answer; that is the request's own affair."""

    def __init__(self, settings: api.Settings) -> None:
        self._now = {c.name: c for c in settings.classes}
        # Replaced or dropped, by name and form, and until when they bind: settings may change several times in a row.
        self._old = dict[str, dict[Effect, tuple[api.RequestClass, float]]]()
        self._attempts = self._least = settings.max_attempts
        self._changed = float("-inf")

    def apply_settings(self, now: float, settings: api.Settings) -> None:
        """New settings: what they replace or drop goes on for those who have not heard of it."""
        new = {c.name: c for c in settings.classes}
        self._forget(now)
        for name, c in self._now.items():
            if name not in new or new[name].effect is not c.effect:
                self._old.setdefault(name, {})[c.effect] = c, now + REPLACED_RECORD_SECONDS
        self._now, self._changed = new, now
        self._least, self._attempts = min(self._attempts, settings.max_attempts), settings.max_attempts

    def _forget(self, now: float) -> None:
        for name, forms in list(self._old.items()):
            self._old[name] = {effect: old for effect, old in forms.items() if now < old[1]}
            if not self._old[name]:
                del self._old[name]

    def _replaced(self, now: float, name: str) -> list[api.RequestClass]:
        """The records of a name that still bind beside the newest, the latest first."""
        forms = sorted(self._old.get(name, {}).values(), key=lambda old: -old[1])
        return [record for record, until in forms if now < until]

    def is_known(self, now: float, name: str) -> bool:
        """Whether there is such a class, or was one a moment ago."""
        return name in self._now or bool(self._replaced(now, name))

    def find(self, now: float, name: str, effect: Effect | None = None) -> api.RequestClass | None:
        """The record that binds a request of this name and form; None where there is none. No form: the newest."""
        record = self._now.get(name)
        if record is not None and (effect is None or record.effect is effect):
            return record
        replaced = self._replaced(now, name)
        return next((old for old in replaced if effect is None or old.effect is effect), None)

    def max_attempts(self, now: float) -> int:
        """Attempts for a request that comes now: until clients go by the new settings, the fewer of both."""
        return self._attempts if now - self._changed > CLIENT_UPDATE_SECONDS else self._least
